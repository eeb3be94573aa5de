//! HTTP server, and the routing of paths to handlers.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use nutmegcart_http::ServerLimits;
use nutmegcart_http::keep_until_written;
use nutmegcart_http::serve;
use nutmegcart_model::Code;
use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use nutmegcart_peer::ForwardMessage;
use nutmegcart_peer::Message;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::admin;
use crate::entry_instance::EntryInstance;
use crate::forward;
use crate::http;
use crate::operation;
use crate::peering;
use crate::tickets;

/// Result of starting the server.
pub type Result<T> = std::io::Result<T>;

/// Time for which a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Connections that are accepted beyond the limit so that their requests can be refused.
const REFUSAL_CONNECTIONS: usize = 64;

/// Starts the HTTP server of an entry instance.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn start(entry: &Arc<EntryInstance>) -> Result<()> {
    let listener = TcpListener::bind(entry.settings.listen)?;
    listener.set_nonblocking(true)?;
    let limits = ServerLimits {
        head_bytes: entry.settings.header_limit,
        idle_timeout: IDLE_TIMEOUT,
        connections: Arc::new(Semaphore::new(
            entry.settings.max_connections + REFUSAL_CONNECTIONS,
        )),
        half_close: true,
    };
    let entry_for_server = entry.clone();
    entry.executor.spawn(move || async move {
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => {
                log_event!(Event::HandlerFailed, reason = error);
                return;
            }
        };
        // The server answers until the process ends, so that no caller is left without an answer.
        let (_stop, stopped) = watch::channel(false);
        let handler = move |request| respond(entry_for_server.clone(), request);
        serve(listener, limits, stopped, handler).await;
    });
    Ok(())
}

/// Handles a request to its end, also if its caller disconnects.
async fn respond(
    entry: Arc<EntryInstance>,
    mut request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    // A task that ended with its connection would leave the state of its operation behind.
    let owned = entry.clone();
    let task = spawn_local(async move { handle(&owned, &mut request).await });
    let mut response = task.await.unwrap_or_else(|error| {
        log_event!(Event::HandlerFailed, reason = error);
        http::error_response(Code::InternalError, "", "")
    });
    if entry.is_refusing() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response.map(Full::new)
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

async fn handle(entry: &Arc<EntryInstance>, request: &mut Request<Incoming>) -> Response<Bytes> {
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
            forward::handle(entry, request, rest).await
        };
        return keep_until_written(response, active);
    }
    if let Some(message) = path.strip_prefix("/peer/v1/") {
        let active = (message == ForwardMessage::PATH).then(|| ActiveRequest::begin(entry));
        return keep_until_written(peering::handle(entry, request, message).await, active);
    }
    if path == "/v1/tickets" {
        return tickets::issue(entry, request);
    }
    if let Some(rest) = path.strip_prefix("/admin/v1/") {
        return admin::handle(entry, request, rest).await;
    }
    match path.as_str() {
        "/healthz" => http::response(200, "text/plain", "ok\n"),
        "/readyz" if entry.is_ready() => http::response(200, "text/plain", "ready\n"),
        "/readyz" => http::response(503, "text/plain", "not ready\n"),
        "/metrics" => http::response(200, "text/plain; version=0.0.4", entry.metrics.text()),
        _ => http::error_response(Code::NotFound, "", &path),
    }
}
