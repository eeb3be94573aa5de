//! Operators' HTTP interface.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use nutmegcart_config::Apply;
use nutmegcart_config::Generation;
use nutmegcart_config::Outcome;
use nutmegcart_config::Repair;
use nutmegcart_config::accept;
use nutmegcart_model::Code;
use nutmegcart_model::Document;
use nutmegcart_model::Event;
use nutmegcart_model::WaveName;
use nutmegcart_model::log_event;
use nutmegcart_model::record::Fault;
use nutmegcart_platform::Role;
use nutmegcart_platform::Txn;
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::Response;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use crate::config_sync;
use crate::entry::Entry;
use crate::http;
use crate::pool_map::WAVES;
use crate::pool_map::WaveProgress;
use crate::pool_map::WaveState;

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
pub fn handle(entry: &Arc<Entry>, request: &mut Request<Body>, path: &str) -> Response<Body> {
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
        ("POST", ["waves", name, "start"]) => wave_set(entry, name, WaveState::Running),
        ("POST", ["waves", name, "pause"]) => wave_set(entry, name, WaveState::Paused),
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

fn apply(entry: &Entry, body: &[u8]) -> Response<Body> {
    let body: ApplyBody = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => return http::error(Code::NotJson, "", &error.to_string()),
    };
    let documents = match documents(body.documents) {
        Ok(documents) => documents,
        Err(fault) => return refused(&fault),
    };
    let apply = Apply {
        fresh: body.operation.is_none(),
        since: body.since,
        operation: body.operation.unwrap_or_else(|| Uuid::new_v4().to_string()),
        documents,
        deletions: body.delete,
        based_on: body.based_on,
    };
    let operation = &apply.operation;
    let standing = config_sync::standing(entry);
    let outcome = accept(&entry.store, &apply, &standing);
    answer(entry, operation, outcome)
}

/// Body of the repair call.
#[derive(Deserialize)]
struct RepairBody {
    #[serde(default)]
    discard: bool,
}

/// Writes the configuration in force here to a store that lost it.
fn repair(entry: &Entry, body: &[u8]) -> Response<Body> {
    let body: RepairBody = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => return http::error(Code::NotJson, "", &error.to_string()),
    };
    let repair = Repair {
        operation: Uuid::new_v4().to_string(),
        discard: body.discard,
    };
    let standing = config_sync::standing(entry);
    let outcome = nutmegcart_config::repair(&entry.store, &repair, &standing);
    answer(entry, &repair.operation, outcome)
}

fn answer(entry: &Entry, operation: &str, outcome: Outcome) -> Response<Body> {
    match outcome {
        Outcome::Accepted(generation) => {
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
        Outcome::Refused(fault) => refused(&fault),
        Outcome::Conflict(generation) => {
            log_event!(
                Event::ConfigConflict,
                operation = operation,
                generation = generation
            );
            http::error(Code::GenerationConflict, operation, &generation.to_string())
        }
        Outcome::Unavailable => http::error(Code::StoreUnavailable, operation, ""),
        Outcome::Unknown => http::error(Code::ApplyUnknown, operation, ""),
        Outcome::Forgotten(generation) => {
            http::error(Code::ApplyForgotten, operation, &generation.to_string())
        }
    }
}

fn records(entry: &Entry, filter: &[&str]) -> Response<Body> {
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

fn status(entry: &Entry) -> Response<Body> {
    let loaded = entry.tables.in_force.get();
    let peers: Vec<Value> = entry
        .tables
        .peers
        .lock()
        .values()
        .map(|peer| {
            json!({
                "id": peer.sender.id,
                "centre": peer.sender.centre,
                "address": peer.sender.address,
                "incarnation": peer.sender.incarnation.to_string(),
                "generation": peer.generation,
                "established": peer.report.established,
                "draining": peer.draining,
                "suspect": peer.suspect,
            })
        })
        .collect();
    let mut pools = serde_json::Map::new();
    for map in entry.tables.maps.read().values() {
        for seat in map.seats.values() {
            let count = pools.entry(seat.pool.to_string()).or_insert(json!(0));
            *count = json!(count.as_u64().unwrap_or(0) + 1);
        }
    }
    http::json(
        200,
        &json!({
            "id": entry.settings.id,
            "centre": entry.settings.centre,
            "incarnation": entry.sender.incarnation.to_string(),
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

fn wave_status(entry: &Entry, name: &str) -> Response<Body> {
    let key = format!("{WAVES}{name}");
    let Ok(snapshot) = entry.store.range(&key) else {
        return http::error(Code::StoreUnavailable, "", "");
    };
    let found = snapshot.get(&key);
    let progress =
        found.and_then(|found| serde_json::from_slice::<WaveProgress>(&found.value).ok());
    let Some(progress) = progress else {
        return http::error(Code::WaveNotFound, "", name);
    };
    // The maps are read after the wave, since a wave is finished only after its last map was.
    if config_sync::read_once(entry).is_err() {
        return http::error(Code::StoreUnavailable, "", "");
    }
    let maps = entry.tables.maps.read().clone();
    let boots = |id: &str| {
        let seat = maps.values().find_map(|map| map.seats.get(id));
        seat.map_or(0, |seat| seat.boots)
    };
    let done = progress
        .baseline
        .iter()
        .filter(|(id, base)| boots(id) > **base)
        .count();
    http::json(
        200,
        &json!({
            "wave": name,
            "state": progress.state,
            "done": done,
            "total": progress.baseline.len(),
        }),
    )
}

/// Starts, resumes or pauses a wave.
fn wave_set(entry: &Entry, name: &str, state: WaveState) -> Response<Body> {
    let loaded = entry.tables.in_force.get();
    let Some(wave) = loaded.view.waves.get(name) else {
        return http::error(Code::WaveNotFound, "", name);
    };
    let key = format!("{WAVES}{name}");
    let Ok(snapshot) = entry.store.range(&key) else {
        return http::error(Code::StoreUnavailable, "", "");
    };
    let found = snapshot.get(&key);
    let present = found.and_then(|found| serde_json::from_slice::<WaveProgress>(&found.value).ok());
    let mut progress = match present {
        Some(progress) if progress.state != WaveState::Finished => progress,
        _ if state == WaveState::Running => fresh(entry, &wave.name, &wave.pools),
        _ => return http::error(Code::WaveNotFound, "", "the wave is not running"),
    };
    progress.state = state;
    let modified = found.map_or(0, |found| found.modified);
    let value = serde_json::to_vec(&progress).expect("progress is serialisable");
    match entry
        .store
        .txn(&Txn::default().unchanged(&key, modified).put(&key, value))
    {
        Ok(reply) if reply.committed => {
            let total = progress.baseline.len();
            http::json(200, &json!({"wave": name, "state": state, "total": total}))
        }
        Ok(_) => http::error(Code::GenerationConflict, "", "the wave changed meanwhile"),
        Err(error) => http::error(Code::StoreUnavailable, "", &error.to_string()),
    }
}

/// Notes how often each instance of the pools was rebooted before the wave.
fn fresh(entry: &Entry, name: &WaveName, pools: &[nutmegcart_model::PoolName]) -> WaveProgress {
    let maps = entry.tables.maps.read().clone();
    let seats = maps.values().flat_map(|map| &map.seats);
    let runners = entry.tables.instances.read().clone();
    let boots = |id: &nutmegcart_model::InstanceId| {
        let listed = runners
            .instances
            .get(id)
            .filter(|listed| listed.role == Role::Runner);
        listed.map_or(0, |listed| listed.boots)
    };
    let chosen = seats.filter(|(_, seat)| pools.contains(&seat.pool));
    WaveProgress {
        wave: name.clone(),
        state: WaveState::Running,
        baseline: chosen.map(|(id, _)| (id.clone(), boots(id))).collect(),
    }
}
