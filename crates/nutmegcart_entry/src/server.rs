//! Listening, and the way from a path to its handler.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nutmegcart_model::Code;
use nutmegcart_peer::ForwardMessage;
use nutmegcart_peer::Message;
use oxhttp::Server;
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::Response;

use crate::admin;
use crate::entry_instance::EntryInstance;
use crate::forward;
use crate::http;
use crate::operation;
use crate::peering;
use crate::tickets;

/// Longest wait for a byte from or to a caller.
const SOCKET_TIMEOUT: Duration = Duration::from_mins(1);

/// Connections beyond the limit that are accepted so that their requests receive a refusal.
const SPARE_CONNECTIONS: usize = 64;

/// Starts the HTTP server of an entry instance.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn start(entry: &Arc<EntryInstance>) -> std::io::Result<()> {
    let handler = entry.clone();
    Server::new(move |request| handle(&handler, request))
        .bind(entry.settings.listen)
        .with_global_timeout(SOCKET_TIMEOUT)
        .with_max_concurrent_connections(entry.settings.max_connections + SPARE_CONNECTIONS)
        .spawn()
        .map(drop)
}

/// Counts a request in flight until its answer is written.
pub struct Active(Arc<EntryInstance>);

impl Active {
    fn begin(entry: &Arc<EntryInstance>) -> Self {
        entry.lifecycle.active.fetch_add(1, Ordering::AcqRel);
        entry.metrics.active.inc();
        Self(entry.clone())
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.metrics.active.dec();
        self.0.lifecycle.active.fetch_sub(1, Ordering::AcqRel);
    }
}

fn handle(entry: &Arc<EntryInstance>, request: &mut Request<Body>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if let Some(rest) = path.strip_prefix("/v1/services/") {
        let active = Active::begin(entry);
        // The refusal is checked after counting, so a drain that sees no request in flight
        // cannot miss one that passed the check.
        let response = if entry.lifecycle.refusing.load(Ordering::Acquire) {
            let code = operation::unheard(request, Code::ShuttingDown);
            entry.metrics.count(code);
            http::error(code, "", "")
        } else if entry.lifecycle.active.load(Ordering::Acquire) > entry.settings.max_connections {
            let code = operation::unheard(request, Code::TooManyConnections);
            entry.metrics.count(code);
            http::error(code, "", "")
        } else {
            forward::handle(entry, request, rest)
        };
        return http::hold(response, active);
    }
    if let Some(message) = path.strip_prefix("/peer/v1/") {
        let active = (message == ForwardMessage::PATH).then(|| Active::begin(entry));
        return http::hold(peering::handle(entry, request, message), active);
    }
    if path == "/v1/tickets" {
        return tickets::issue(entry, request);
    }
    if let Some(rest) = path.strip_prefix("/admin/v1/") {
        return admin::handle(entry, request, rest);
    }
    match path.as_str() {
        "/healthz" => http::answer(200, "text/plain", "ok\n"),
        "/readyz" if entry.is_ready() => http::answer(200, "text/plain", "ready\n"),
        "/readyz" => http::answer(503, "text/plain", "not ready\n"),
        "/metrics" => http::answer(200, "text/plain; version=0.0.4", entry.metrics.text()),
        _ => http::error(Code::NotFound, "", &path),
    }
}
