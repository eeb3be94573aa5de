//! Exchanges heartbeats with peers, and pulls newer configurations from them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use nutmegcart_config::Generation;
use nutmegcart_config::active_config::OfferOutcome;
use nutmegcart_model::Code;
use nutmegcart_model::DataCentre;
use nutmegcart_model::Event;
use nutmegcart_model::InstanceId;
use nutmegcart_model::log_event;
use nutmegcart_peer::ConfigChangesRequest;
use nutmegcart_peer::DispatchError;
use nutmegcart_peer::ForwardMessage;
use nutmegcart_peer::Heartbeat;
use nutmegcart_peer::Message;
use nutmegcart_peer::MessageDispatcher;
use nutmegcart_peer::message;
use nutmegcart_request::load::LoadReport;

use crate::config_sync;
use crate::entry_instance::EntryInstance;
use crate::http;
use crate::operation;
use crate::tables::PeerState;

/// Control rounds between two heartbeats: one second with the default round interval.
const ROUNDS_PER_HEARTBEAT: u32 = 2;
/// Time without a heartbeat after which a peer is suspect: three missed heartbeats.
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a peer's message.
const MESSAGE_LIMIT_BYTES: usize = 64 << 20;
/// Time within which a peer's message must arrive.
const MESSAGE_TIMEOUT: Duration = Duration::from_mins(1);

/// Sends heartbeats until the instance stops.
pub fn run(entry: &Arc<EntryInstance>) {
    while !entry.is_stopped() {
        for &address in &entry.settings.peers {
            let entry_for_call = entry.clone();
            entry.spawn_call(move || async move {
                exchange_heartbeats(&entry_for_call, address).await;
            });
        }
        mark_suspects(entry);
        config_sync::update_established(entry);
        for _ in 0..ROUNDS_PER_HEARTBEAT {
            entry.wait_for_next_round();
        }
    }
}

/// Returns this instance's heartbeat for a peer; `centre` is the peer's data centre, if known.
fn heartbeat(entry: &EntryInstance, centre: Option<&DataCentre>) -> Heartbeat {
    Heartbeat {
        sender: entry.identity.clone(),
        generation: entry.tables.in_force.get().configuration.generation(),
        report: config_sync::own_report(entry),
        draining: entry.lifecycle.draining.load(Ordering::Acquire),
        roster: entry.operations.roster_version(),
        newer_roster: None,
        load: load_report_for(entry, centre),
    }
}

/// Returns the load on the runners of a data centre, or on all runners if it is `None`.
///
/// A peer routes to runners of its own data centre first. With 275 pools, the load on the other
/// runners would make up most of a heartbeat and be of little use. A peer that has not sent a
/// heartbeat yet gets the complete report, since its data centre is not known.
fn load_report_for(entry: &EntryInstance, centre: Option<&DataCentre>) -> LoadReport {
    let mut load = entry.dispatcher.load_report();
    if let Some(centre) = centre {
        let listed = entry.tables.instances.read().clone();
        let is_relevant = |id: &InstanceId| {
            let instance = listed.instances.get(id);
            instance.is_none_or(|instance| instance.centre == *centre)
        };
        load.in_flight.retain(|id, _| is_relevant(id));
        load.leaving.retain(is_relevant);
    }
    load
}

async fn exchange_heartbeats(entry: &EntryInstance, address: SocketAddr) {
    let centre = {
        let peers = entry.tables.peers.lock();
        peers.get(&address).map(|peer| peer.identity.centre.clone())
    };
    let message = heartbeat(entry, centre.as_ref());
    if let Ok(mut answer) = entry.peer_client.call(address, &message).await {
        entry
            .operations
            .record_address(answer.sender.incarnation, address);
        if let Some(roster) = answer.newer_roster.take() {
            entry.operations.offer(&roster, entry.now());
        }
        record_heartbeat(entry, &answer);
        pull_configuration(entry, address, &answer).await;
    }
}

fn record_heartbeat(entry: &EntryInstance, heartbeat: &Heartbeat) {
    entry.operations.record_heartbeat(heartbeat, entry.now());
    let load = heartbeat.load.clone();
    entry
        .dispatcher
        .record_load_report(&heartbeat.sender.id, load);
    let peer = PeerState {
        identity: heartbeat.sender.clone(),
        generation: heartbeat.generation,
        report: heartbeat.report.clone(),
        draining: heartbeat.draining,
        last_heard: Instant::now(),
        suspect: false,
    };
    let old = entry
        .tables
        .peers
        .lock()
        .insert(heartbeat.sender.address, peer);
    if old.is_some_and(|old| old.suspect) {
        log_event!(Event::PeerReturned, peer = heartbeat.sender.id);
    }
}

async fn pull_configuration(entry: &EntryInstance, address: SocketAddr, heartbeat: &Heartbeat) {
    let from = entry.tables.in_force.get().configuration.generation();
    if heartbeat.generation <= from {
        return;
    }
    let request = ConfigChangesRequest {
        sender: entry.identity.clone(),
        from,
    };
    let Ok(changes) = entry.peer_client.call(address, &request).await else {
        return;
    };
    let in_force = &entry.tables.in_force;
    if in_force.offer_delta(&changes, &heartbeat.sender.id) == OfferOutcome::Gap {
        let from = Generation(0);
        let full_request = ConfigChangesRequest { from, ..request };
        if let Ok(changes) = entry.peer_client.call(address, &full_request).await {
            in_force.offer_delta(&changes, &heartbeat.sender.id);
        }
    }
}

fn mark_suspects(entry: &EntryInstance) {
    for peer in entry.tables.peers.lock().values_mut() {
        if !peer.suspect && peer.last_heard.elapsed() > SUSPECT_TIMEOUT {
            peer.suspect = true;
            log_event!(Event::PeerSuspect, peer = peer.identity.id);
        }
    }
}

/// Handles `/peer/v1/<message>`.
pub async fn handle(
    entry: &Arc<EntryInstance>,
    request: &mut Request<Incoming>,
    path: &str,
) -> Response<Bytes> {
    let body = match http::read_body(request, MESSAGE_LIMIT_BYTES, MESSAGE_TIMEOUT).await {
        Ok(body) => body,
        Err(code) => return http::error_response(code, "", ""),
    };
    let answer = if path == ForwardMessage::PATH {
        on_forward(entry, &body).await
    } else {
        dispatcher().dispatch(entry, path, &body)
    };
    match answer {
        Ok(body) => http::response(200, "application/msgpack", body),
        Err(DispatchError::UnknownPath { path }) => http::error_response(Code::NotFound, "", &path),
        Err(DispatchError::Malformed { reason }) => {
            http::error_response(Code::BadRequest, "", &reason)
        }
    }
}

async fn on_forward(entry: &Arc<EntryInstance>, body: &[u8]) -> Result<Vec<u8>, DispatchError> {
    let decoded = message::decode(body).map_err(|error| DispatchError::Malformed {
        reason: error.to_string(),
    })?;
    Ok(message::encode(
        &operation::on_forward(entry, decoded).await,
    ))
}

/// Returns the handlers of all messages that are answered at once.
fn dispatcher() -> &'static MessageDispatcher<Arc<EntryInstance>> {
    static DISPATCHER: OnceLock<MessageDispatcher<Arc<EntryInstance>>> = OnceLock::new();
    DISPATCHER.get_or_init(|| {
        let dispatcher = MessageDispatcher::default()
            .on(|entry: &Arc<EntryInstance>, message: Heartbeat| {
                record_heartbeat(entry, &message);
                Heartbeat {
                    newer_roster: entry.operations.roster_newer_than(message.roster),
                    ..heartbeat(entry, Some(&message.sender.centre))
                }
            })
            .on(
                |entry: &Arc<EntryInstance>, message: ConfigChangesRequest| {
                    let loaded = entry.tables.in_force.get();
                    loaded.configuration.delta_since(message.from)
                },
            );
        operation::register(dispatcher)
    })
}
