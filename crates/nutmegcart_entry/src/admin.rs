//! Operators' HTTP interface.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use nutmegcart_config::ChangeOutcome;
use nutmegcart_config::ChangeRequest;
use nutmegcart_config::Generation;
use nutmegcart_config::RepairRequest;
use nutmegcart_config::accept_change;
use nutmegcart_fleet::MaintenanceState;
use nutmegcart_fleet::WavePhase;
use nutmegcart_fleet::duty::DUTY_PREFIX;
use nutmegcart_fleet::planner;
use nutmegcart_fleet::wave;
use nutmegcart_model::Code;
use nutmegcart_model::Document;
use nutmegcart_model::Event;
use nutmegcart_model::InstanceId;
use nutmegcart_model::WaveName;
use nutmegcart_model::log_event;
use nutmegcart_model::record::Fault;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::Response;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use crate::config_sync;
use crate::entry_instance::EntryInstance;
use crate::fleet_state::FleetState;
use crate::http;

/// Largest body of an operator's call in bytes.
const BODY_LIMIT: usize = 64 << 20;

/// Body of the apply call.
#[derive(Deserialize)]
struct ApplyBody {
    operation: Option<String>,
    based_on: Option<Generation>,
    #[serde(default)]
    since: Generation,
    #[serde(default)]
    documents: Vec<Value>,
    #[serde(default)]
    delete: Vec<String>,
}

/// Handles `/admin/v1/<path>`.
pub fn handle(
    entry: &Arc<EntryInstance>,
    request: &mut Request<Body>,
    path: &str,
) -> Response<Body> {
    let method = request.method().as_str().to_owned();
    let body = match http::read_body(request, BODY_LIMIT) {
        Ok(body) => body,
        Err(code) => return http::error(code, "", ""),
    };
    let parts: Vec<&str> = path.split('/').collect();
    match (method.as_str(), &parts[..]) {
        ("POST", ["apply"]) => apply(entry, &body),
        ("POST", ["repair"]) => repair(entry, &body),
        ("GET", ["records", filter @ ..]) => records(entry, filter),
        ("GET", ["status"]) => status(entry),
        ("GET", ["waves", name]) => wave_status(entry, name),
        ("POST", ["waves", name, "start"]) => wave_set(entry, name, true),
        ("POST", ["waves", name, "pause"]) => wave_set(entry, name, false),
        ("POST", ["drain", id]) => drain(entry, id),
        _ => http::error(Code::NotFound, "", path),
    }
}

fn refused(fault: &Fault) -> Response<Body> {
    let body = json!({
        "code": format!("NC{}", fault.code.number()),
        "verdict": fault.code.verdict(),
        "message": fault.code.text(),
        "path": fault.path,
        "detail": fault.reason,
    });
    http::json(fault.code.status(), &body)
}

fn documents(values: Vec<Value>) -> Result<Vec<Document>, Fault> {
    let read = |(index, value)| {
        Document::from_value(value).map_err(|mut fault: Fault| {
            fault.path = format!("/documents/{index}{}", fault.path);
            fault
        })
    };
    values.into_iter().enumerate().map(read).collect()
}

fn apply(entry: &EntryInstance, body: &[u8]) -> Response<Body> {
    let body: ApplyBody = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => return http::error(Code::NotJson, "", &error.to_string()),
    };
    let documents = match documents(body.documents) {
        Ok(documents) => documents,
        Err(fault) => return refused(&fault),
    };
    let apply = ChangeRequest {
        first_attempt: body.operation.is_none(),
        since: body.since,
        operation: body.operation.unwrap_or_else(|| Uuid::new_v4().to_string()),
        documents,
        deletions: body.delete,
        based_on: body.based_on,
    };
    let operation = &apply.operation;
    let standing = config_sync::standing(entry);
    let outcome = accept_change(&entry.store, &apply, &standing);
    answer(entry, operation, outcome)
}

/// Body of the repair call.
#[derive(Deserialize)]
struct RepairBody {
    #[serde(default)]
    discard: bool,
}

/// Writes the configuration in force here to a store that lost it.
fn repair(entry: &EntryInstance, body: &[u8]) -> Response<Body> {
    let body: RepairBody = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => return http::error(Code::NotJson, "", &error.to_string()),
    };
    let repair = RepairRequest {
        operation: Uuid::new_v4().to_string(),
        discard: body.discard,
    };
    let standing = config_sync::standing(entry);
    let outcome = nutmegcart_config::repair_store(&entry.store, &repair, &standing);
    answer(entry, &repair.operation, outcome)
}

fn answer(entry: &EntryInstance, operation: &str, outcome: ChangeOutcome) -> Response<Body> {
    match outcome {
        ChangeOutcome::Accepted(generation) => {
            log_event!(
                Event::ConfigAccepted,
                generation = generation,
                operation = operation
            );
            // Peers and this instance's watch also bring the change, so a failure costs little.
            let _ = config_sync::read_once(entry);
            http::json(
                200,
                &json!({"generation": generation, "operation": operation}),
            )
        }
        ChangeOutcome::Refused(fault) => refused(&fault),
        ChangeOutcome::Conflict(generation) => {
            log_event!(
                Event::ConfigConflict,
                operation = operation,
                generation = generation
            );
            http::error(Code::GenerationConflict, operation, &generation.to_string())
        }
        ChangeOutcome::Unavailable => http::error(Code::StoreUnavailable, operation, ""),
        ChangeOutcome::Unknown => http::error(Code::ApplyUnknown, operation, ""),
        ChangeOutcome::Forgotten(generation) => {
            http::error(Code::ApplyForgotten, operation, &generation.to_string())
        }
    }
}

fn records(entry: &EntryInstance, filter: &[&str]) -> Response<Body> {
    let loaded = entry.tables.in_force.get();
    let prefix = filter.join("/");
    let matches = |document: &&Document| {
        let key = document.key();
        prefix.is_empty() || key == prefix || key.starts_with(&format!("{prefix}/"))
    };
    let found: Vec<&Value> = loaded
        .configuration
        .documents()
        .filter(matches)
        .map(Document::value)
        .collect();
    if filter.len() == 2 && found.is_empty() {
        return http::error(Code::NotFound, "", &prefix);
    }
    let generation = loaded.configuration.generation();
    http::json(200, &json!({"generation": generation, "records": found}))
}

fn status(entry: &EntryInstance) -> Response<Body> {
    let loaded = entry.tables.in_force.get();
    let peers: Vec<Value> = entry
        .tables
        .peers
        .lock()
        .values()
        .map(|peer| {
            json!({
                "id": peer.identity.id,
                "centre": peer.identity.centre,
                "address": peer.identity.address,
                "incarnation": peer.identity.incarnation.to_string(),
                "generation": peer.generation,
                "established": peer.report.established,
                "draining": peer.draining,
                "suspect": peer.suspect,
            })
        })
        .collect();
    let mut pools = serde_json::Map::new();
    for map in entry.tables.pool_maps.read().values() {
        for seat in map.instances.values() {
            let count = pools.entry(seat.pool.to_string()).or_insert(json!(0));
            *count = json!(count.as_u64().unwrap_or(0) + 1);
        }
    }
    http::json(
        200,
        &json!({
            "id": entry.settings.id,
            "centre": entry.settings.centre,
            "incarnation": entry.identity.incarnation.to_string(),
            "generation": loaded.configuration.generation(),
            "established": entry.tables.established.load(Ordering::Acquire),
            "store": entry.guard.reach().to_string(),
            "lineage": loaded.configuration.history.lineage,
            "ready": entry.is_ready(),
            "instances": entry.tables.instances.read().instances.len(),
            "pools": pools,
            "peers": peers,
        }),
    )
}

/// Reads the fleet's state for an operator's call.
fn fleet_state(entry: &EntryInstance) -> Result<FleetState, Code> {
    let mut state = FleetState::default();
    state.observe(entry);
    let fresh = state.read(entry).map_err(|_| Code::StoreUnavailable)?;
    // A change that was just accepted may not be in effect here yet.
    let fresh = fresh
        || config_sync::read_once(entry).is_ok()
            && state.read(entry).map_err(|_| Code::StoreUnavailable)?;
    fresh.then_some(state).ok_or(Code::FleetUnreadable)
}

/// Returns progress, step size and what is left of a wave.
fn wave_body(entry: &EntryInstance, state: &FleetState, name: &str) -> Result<Value, Code> {
    let (name, wave) = state
        .settings
        .waves
        .get_key_value(name)
        .ok_or(Code::WaveNotFound)?;
    let stored = state.waves.get(name).ok_or(Code::WaveNotFound)?;
    let progress = &stored.value;
    let mark = progress.run_id(name);
    let entries = state
        .maps
        .values()
        .flat_map(|map| map.value.instances.values());
    let members: Vec<_> = entries
        .filter(|member| wave.pools.contains(&member.pool))
        .collect();
    let count = |is: &dyn Fn(&nutmegcart_fleet::MapEntry) -> bool| {
        members.iter().filter(|member| is(member)).count()
    };
    let view = state.view(&entry.settings.centre, ("", 0), true);
    let now = entry.started.elapsed();
    let estimate = wave::estimate_wave(&view, wave, progress.mean_seconds, now);
    Ok(json!({
        "wave": name,
        "state": progress.phase,
        "done": count(&|member| member.last_run.as_ref() == Some(&mark)),
        "total": members.len(),
        "out": count(&|member| member.state.is_out() && member.belongs_to(&mark)),
        "failed": count(&|member| member.state == MaintenanceState::Failed),
        "left": progress.unmaintained,
        "step": progress.step_size,
        "halts": progress.halts,
        "needs_operator": progress.phase == WavePhase::Halted && progress.recovery_period().is_none(),
        "estimate_seconds": estimate.map(|estimate| estimate.as_secs()),
        "deadline_seconds": wave.deadline,
        "late": estimate.zip(wave.deadline).is_some_and(|(estimate, deadline)| {
            estimate.as_secs() > deadline
        }),
    }))
}

fn wave_status(entry: &EntryInstance, name: &str) -> Response<Body> {
    match fleet_state(entry).and_then(|state| wave_body(entry, &state, name)) {
        Ok(body) => http::json(200, &body),
        Err(code) => http::error(code, "", name),
    }
}

/// Starts, resumes or pauses a wave.
fn wave_set(entry: &EntryInstance, name: &str, start: bool) -> Response<Body> {
    let change = || {
        let state = fleet_state(entry)?;
        let view = state.view(&entry.settings.centre, ("", 0), true);
        let wave = WaveName::from(name);
        let now = entry.started.elapsed();
        commit(
            entry,
            &if start {
                wave::start(&view, &wave, now)?
            } else {
                wave::pause(&view, &wave)?
            },
        )?;
        wave_body(entry, &fleet_state(entry)?, name)
    };
    match change() {
        Ok(body) => http::json(200, &body),
        Err(code) => http::error(code, "", name),
    }
}

/// Takes an instance out of service on an operator's behalf.
fn drain(entry: &EntryInstance, id: &str) -> Response<Body> {
    let operation = Uuid::new_v4().to_string();
    let change = || {
        let state = fleet_state(entry)?;
        let id = InstanceId::from(id);
        let mut maps = state.maps.iter();
        let found = maps.find(|(_, map)| map.value.instances.contains_key(&id));
        let (centre, _) = found.ok_or(Code::NotInPool)?;
        // The holder of the duty carries the drain out, so the write is fenced by its key.
        let key = format!("{DUTY_PREFIX}{centre}");
        let snapshot = entry
            .store
            .range(&key)
            .map_err(|_| Code::StoreUnavailable)?;
        let created = snapshot.get(&key).ok_or(Code::DutyVacant)?.created;
        let view = state.view(centre, (&key, created), true);
        commit(
            entry,
            &planner::drain(&view, &id, &operation, entry.started.elapsed())?,
        )
    };
    match change() {
        Ok(()) => http::json(200, &json!({"instance": id, "operation": operation})),
        Err(code) => http::error(code, "", id),
    }
}

fn commit(entry: &EntryInstance, txn: &Txn) -> Result<(), Code> {
    match entry.store.txn(txn) {
        Ok(reply) if reply.committed => Ok(()),
        Ok(_) => Err(Code::GenerationConflict),
        Err(StoreError::AnswerLost { .. }) => Err(Code::ApplyUnknown),
        Err(_) => Err(Code::StoreUnavailable),
    }
}
