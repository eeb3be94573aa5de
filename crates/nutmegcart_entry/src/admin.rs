//! HTTP interface for operators, below `/admin/v1/`.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
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
use nutmegcart_model::record::DocumentError;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;
use nutmegcart_platform::store::WriteOp;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::task::spawn_blocking;
use uuid::Uuid;

use crate::config_sync;
use crate::entry_instance::EntryInstance;
use crate::fleet_state::FleetState;
use crate::http;

/// Maximum body size of an operator's call.
const BODY_LIMIT_BYTES: usize = 64 << 20;
/// Time within which the body of an operator's call must arrive.
const BODY_TIMEOUT: Duration = Duration::from_mins(1);

/// Attempts to commit a transaction whose answers are lost. The store may be refused for a while
/// after each lost answer.
const MAX_COMMIT_ATTEMPTS: usize = 50;
/// Pause before a transaction is sent again.
const COMMIT_PAUSE: Duration = Duration::from_millis(100);

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
pub async fn handle(
    entry: &Arc<EntryInstance>,
    request: &mut Request<Incoming>,
    path: &str,
) -> Response<Bytes> {
    let method = request.method().as_str().to_owned();
    let body = match http::read_body(request, BODY_LIMIT_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(code) => return http::error_response(code, "", ""),
    };
    let (entry, path) = (entry.clone(), path.to_owned());
    // Operators' calls wait for the store.
    let call = spawn_blocking(move || respond(&entry, &method, &path, &body));
    call.await.unwrap_or_else(|error| {
        log_event!(Event::HandlerFailed, reason = error);
        http::error_response(Code::InternalError, "", "")
    })
}

fn respond(entry: &EntryInstance, method: &str, path: &str, body: &[u8]) -> Response<Bytes> {
    let parts: Vec<&str> = path.split('/').collect();
    match (method, &parts[..]) {
        ("POST", ["apply"]) => apply(entry, body),
        ("POST", ["repair"]) => repair(entry, body),
        ("GET", ["records", filter @ ..]) => records(entry, filter),
        ("GET", ["status"]) => status(entry),
        ("GET", ["waves", name]) => wave_status(entry, name),
        ("POST", ["waves", name, "start"]) => set_wave_running(entry, name, true),
        ("POST", ["waves", name, "pause"]) => set_wave_running(entry, name, false),
        ("POST", ["drain", id]) => drain(entry, id),
        _ => http::error_response(Code::NotFound, "", path),
    }
}

fn fault_response(fault: &DocumentError) -> Response<Bytes> {
    let body = json!({
        "code": format!("NC{}", fault.code.number()),
        "verdict": fault.code.verdict(),
        "message": fault.code.text(),
        "path": fault.path,
        "detail": fault.reason,
    });
    http::json_response(fault.code.status(), &body)
}

fn parse_documents(values: Vec<Value>) -> Result<Vec<Document>, DocumentError> {
    let read = |(index, value)| {
        Document::from_value(value).map_err(|mut fault: DocumentError| {
            fault.path = format!("/documents/{index}{}", fault.path);
            fault
        })
    };
    values.into_iter().enumerate().map(read).collect()
}

fn apply(entry: &EntryInstance, body: &[u8]) -> Response<Bytes> {
    let body: ApplyBody = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => return http::error_response(Code::NotJson, "", &error.to_string()),
    };
    let documents = match parse_documents(body.documents) {
        Ok(documents) => documents,
        Err(fault) => return fault_response(&fault),
    };
    let request = ChangeRequest {
        first_attempt: body.operation.is_none(),
        since: body.since,
        operation: body.operation.unwrap_or_else(|| Uuid::new_v4().to_string()),
        documents,
        deletions: body.delete,
        based_on: body.based_on,
    };
    let operation = &request.operation;
    let cluster = config_sync::collect_cluster_state(entry);
    let outcome = accept_change(&entry.store, &request, &cluster);
    outcome_response(entry, operation, outcome)
}

/// Body of the repair call.
#[derive(Deserialize)]
struct RepairBody {
    #[serde(default)]
    discard: bool,
}

/// Writes the configuration in force on this instance to a store that has lost it.
fn repair(entry: &EntryInstance, body: &[u8]) -> Response<Bytes> {
    let body: RepairBody = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => return http::error_response(Code::NotJson, "", &error.to_string()),
    };
    let request = RepairRequest {
        operation: Uuid::new_v4().to_string(),
        discard: body.discard,
    };
    let cluster = config_sync::collect_cluster_state(entry);
    let outcome = nutmegcart_config::repair_store(&entry.store, &request, &cluster);
    outcome_response(entry, &request.operation, outcome)
}

fn outcome_response(
    entry: &EntryInstance,
    operation: &str,
    outcome: ChangeOutcome,
) -> Response<Bytes> {
    match outcome {
        ChangeOutcome::Accepted(generation) => {
            log_event!(
                Event::ConfigAccepted,
                generation = generation,
                operation = operation
            );
            // If this read fails, the change still arrives through the watch and from peers.
            let _ = config_sync::read_once(entry);
            http::json_response(
                200,
                &json!({"generation": generation, "operation": operation}),
            )
        }
        ChangeOutcome::Refused(fault) => fault_response(&fault),
        ChangeOutcome::Conflict(generation) => {
            log_event!(
                Event::ConfigConflict,
                operation = operation,
                generation = generation
            );
            http::error_response(Code::GenerationConflict, operation, &generation.to_string())
        }
        ChangeOutcome::Unavailable => http::error_response(Code::StoreUnavailable, operation, ""),
        ChangeOutcome::Unknown => http::error_response(Code::ApplyUnknown, operation, ""),
        ChangeOutcome::Forgotten(generation) => {
            http::error_response(Code::ApplyForgotten, operation, &generation.to_string())
        }
    }
}

fn records(entry: &EntryInstance, filter: &[&str]) -> Response<Bytes> {
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
        return http::error_response(Code::NotFound, "", &prefix);
    }
    let generation = loaded.configuration.generation();
    http::json_response(200, &json!({"generation": generation, "records": found}))
}

fn status(entry: &EntryInstance) -> Response<Bytes> {
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
        for assignment in map.instances.values() {
            let count = pools.entry(assignment.pool.to_string()).or_insert(json!(0));
            *count = json!(count.as_u64().unwrap_or(0) + 1);
        }
    }
    http::json_response(
        200,
        &json!({
            "id": entry.settings.id,
            "centre": entry.settings.centre,
            "incarnation": entry.identity.incarnation.to_string(),
            "generation": loaded.configuration.generation(),
            "established": entry.tables.established.load(Ordering::Acquire),
            "store": entry.limited_store.reachability().to_string(),
            "lineage": loaded.configuration.history.lineage,
            "ready": entry.is_ready(),
            "instances": entry.tables.instances.read().instances.len(),
            "pools": pools,
            "peers": peers,
        }),
    )
}

/// Reads the fleet's state; reads the configuration first if the one in force is out of date.
fn read_fleet_state(entry: &EntryInstance) -> Result<FleetState, Code> {
    let mut state = FleetState::default();
    state.update_listing(entry);
    let is_current = state.read(entry).map_err(|_| Code::StoreUnavailable)?;
    // A change that was just accepted may not be in force on this instance yet.
    let is_current = is_current
        || config_sync::read_once(entry).is_ok()
            && state.read(entry).map_err(|_| Code::StoreUnavailable)?;
    is_current.then_some(state).ok_or(Code::FleetUnreadable)
}

/// Returns a wave's state, counts of its members, step size and estimated time as JSON.
fn wave_progress(entry: &EntryInstance, state: &FleetState, name: &str) -> Result<Value, Code> {
    let (name, wave) = state
        .config
        .waves
        .get_key_value(name)
        .ok_or(Code::WaveNotFound)?;
    let stored = state.waves.get(name).ok_or(Code::WaveNotFound)?;
    let progress = &stored.value;
    let run_id = progress.run_id(name);
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
        "done": count(&|member| member.last_run.as_ref() == Some(&run_id)),
        "total": members.len(),
        "out": count(&|member| member.state.is_out() && member.belongs_to(&run_id)),
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

fn wave_status(entry: &EntryInstance, name: &str) -> Response<Bytes> {
    match read_fleet_state(entry).and_then(|state| wave_progress(entry, &state, name)) {
        Ok(body) => http::json_response(200, &body),
        Err(code) => http::error_response(code, "", name),
    }
}

/// Starts or resumes a wave, or pauses it.
fn set_wave_running(entry: &EntryInstance, name: &str, start: bool) -> Response<Bytes> {
    let change = || {
        let state = read_fleet_state(entry)?;
        let view = state.view(&entry.settings.centre, ("", 0), true);
        let wave = WaveName::from(name);
        let now = entry.started.elapsed();
        let txn = if start {
            wave::start(&view, &wave, now)?
        } else {
            wave::pause(&view, &wave)?
        };
        let committed = commit_txn(entry, &txn);
        if committed == Err(Code::ApplyUnknown) {
            // The wave itself may show that it is in the requested state.
            let state = read_fleet_state(entry).map_err(|_| Code::ApplyUnknown)?;
            let progress = wave_progress(entry, &state, name).map_err(|_| Code::ApplyUnknown)?;
            let wanted: &[&str] = if start {
                &["running", "finished"]
            } else {
                &["paused"]
            };
            let shown = progress["state"].as_str();
            return if shown.is_some_and(|shown| wanted.contains(&shown)) {
                Ok(progress)
            } else {
                Err(Code::ApplyUnknown)
            };
        }
        committed?;
        wave_progress(entry, &read_fleet_state(entry)?, name)
    };
    match change() {
        Ok(body) => http::json_response(200, &body),
        Err(code) => http::error_response(code, "", name),
    }
}

/// Requests that an instance be taken out of service.
fn drain(entry: &EntryInstance, id: &str) -> Response<Bytes> {
    let operation = Uuid::new_v4().to_string();
    let change = || {
        let state = read_fleet_state(entry)?;
        let id = InstanceId::from(id);
        let mut maps = state.maps.iter();
        let found = maps.find(|(_, map)| map.value.instances.contains_key(&id));
        let (centre, _) = found.ok_or(Code::NotInPool)?;
        // The duty holder performs the drain, so the write is fenced by the duty key.
        let key = format!("{DUTY_PREFIX}{centre}");
        let snapshot = entry
            .store
            .range(&key)
            .map_err(|_| Code::StoreUnavailable)?;
        let created = snapshot.get(&key).ok_or(Code::DutyVacant)?.created;
        let view = state.view(centre, (&key, created), true);
        commit_txn(
            entry,
            &planner::drain(&view, &id, &operation, entry.started.elapsed())?,
        )
    };
    match change() {
        Ok(()) => http::json_response(200, &json!({"instance": id, "operation": operation})),
        Err(code) => http::error_response(code, "", id),
    }
}

/// Commits a transaction that compares revisions, so that a repeated copy takes effect once.
fn commit_txn(entry: &EntryInstance, txn: &Txn) -> Result<(), Code> {
    let mut lost = false;
    for attempt in 0..MAX_COMMIT_ATTEMPTS {
        if attempt > 0 {
            sleep(COMMIT_PAUSE);
        }
        match entry.store.txn(txn) {
            Ok(reply) if reply.committed => return Ok(()),
            // An earlier copy may have been committed and made this one fail.
            Ok(_) if lost => match holds_writes(entry, txn) {
                Ok(true) => return Ok(()),
                // Either another change was accepted first, or this one was and was changed since.
                Ok(false) => return Err(Code::ApplyUnknown),
                // The next attempt fails in the same way and asks once more.
                Err(_) => {}
            },
            Ok(_) => return Err(Code::GenerationConflict),
            Err(StoreError::AnswerLost { .. }) => lost = true,
            Err(_) if !lost => return Err(Code::StoreUnavailable),
            Err(_) => {}
        }
    }
    Err(Code::ApplyUnknown)
}

/// Returns whether the store holds everything that the transaction writes.
fn holds_writes(entry: &EntryInstance, txn: &Txn) -> Result<bool, StoreError> {
    for write in &txn.writes {
        let (key, value) = match write {
            WriteOp::Put(key, value, _) => (key, Some(value)),
            WriteOp::Delete(key) => (key, None),
        };
        let snapshot = entry.store.range(key)?;
        if snapshot.get(key).map(|stored| &stored.value) != value {
            return Ok(false);
        }
    }
    Ok(true)
}
