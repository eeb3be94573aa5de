//! HTTP server, and the routing of paths to handlers.

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

/// Timeout of reads and writes on a socket.
const SOCKET_TIMEOUT: Duration = Duration::from_mins(1);

/// Connections that are accepted beyond the limit so that their requests can be refused.
const REFUSAL_CONNECTIONS: usize = 64;

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
        .with_max_concurrent_connections(entry.settings.max_connections + REFUSAL_CONNECTIONS)
        .spawn()
        .map(drop)
}

/// Counts a request as in flight; dropped when its answer has been written.
pub struct ActiveRequest(Arc<EntryInstance>);

impl ActiveRequest {
    fn begin(entry: &Arc<EntryInstance>) -> Self {
        entry
            .lifecycle
            .active_requests
            .fetch_add(1, Ordering::AcqRel);
        entry.metrics.active.inc();
        Self(entry.clone())
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.metrics.active.dec();
        self.0
            .lifecycle
            .active_requests
            .fetch_sub(1, Ordering::AcqRel);
    }
}

fn handle(entry: &Arc<EntryInstance>, request: &mut Request<Body>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if let Some(rest) = path.strip_prefix("/v1/services/") {
        let active = ActiveRequest::begin(entry);
        // The request is counted before this check, so a shutdown that sees no request in flight
        // has not missed one that passed the check.
        let response = if entry.lifecycle.refusing.load(Ordering::Acquire) {
            let code = operation::refusal_before_lookup(request, Code::ShuttingDown);
            entry.metrics.count(code);
            http::error_response(code, "", "")
        } else if entry.lifecycle.active_requests.load(Ordering::Acquire)
            > entry.settings.max_connections
        {
            let code = operation::refusal_before_lookup(request, Code::TooManyConnections);
            entry.metrics.count(code);
            http::error_response(code, "", "")
        } else {
            forward::handle(entry, request, rest)
        };
        return http::keep_until_written(response, active);
    }
    if let Some(message) = path.strip_prefix("/peer/v1/") {
        let active = (message == ForwardMessage::PATH).then(|| ActiveRequest::begin(entry));
        return http::keep_until_written(peering::handle(entry, request, message), active);
    }
    if path == "/v1/tickets" {
        return tickets::issue(entry, request);
    }
    if let Some(rest) = path.strip_prefix("/admin/v1/") {
        return admin::handle(entry, request, rest);
    }
    match path.as_str() {
        "/healthz" => http::response(200, "text/plain", "ok\n"),
        "/readyz" if entry.is_ready() => http::response(200, "text/plain", "ready\n"),
        "/readyz" => http::response(503, "text/plain", "not ready\n"),
        "/metrics" => http::response(200, "text/plain; version=0.0.4", entry.metrics.text()),
        _ => http::error_response(Code::NotFound, "", &path),
    }
}
