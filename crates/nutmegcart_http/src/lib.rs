//! HTTP/1.1 on an event loop: one client, one server and the thread that runs them.
//!
//! * [`HttpClient`]: calls that keep connections open and tell whether a server may have received
//!   a request;
//! * [`HttpConnection`]: one connection of a client, for callers that manage their own;
//! * [`serve`]: a server for one listener;
//! * [`serve_clients`]: the same for clients outside our control, within the limits of a
//!   [`ClientGuard`];
//! * [`LocalExecutor`]: a thread that runs tasks, with a bounded number of threads for calls that
//!   block.
//!
//! Client and server start tasks with `spawn_local`, so they run inside a
//! [`tokio::task::LocalSet`].

pub mod body;
pub mod client;
pub mod client_body;
pub mod client_connection;
pub mod client_guard;
pub mod client_server;
mod client_stream;
pub mod connection;
pub mod executor;
pub mod server;

pub use body::BodyError;
pub use body::keep_until_written;
pub use client::AnswerLimits;
pub use client::ClientLimits;
pub use client::HttpClient;
pub use client_body::BodyBuffer;
pub use client_body::ClientBody;
pub use client_connection::ConnectionState;
pub use client_guard::ClientGuard;
pub use client_guard::CloseReason;
pub use client_guard::GuardLimits;
pub use client_guard::GuardStatus;
pub use client_guard::ListenerKind;
pub use client_guard::RequestLimits;
pub use client_server::serve_clients;
pub use connection::AnswerError;
pub use connection::DeliveryError;
pub use connection::HttpConnection;
pub use executor::LocalExecutor;
pub use server::HandlerError;
pub use server::ServerLimits;
pub use server::serve;
pub use server::serve_fallible;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

/// Builds a request with a complete body.
///
/// ```
/// let request = nutmegcart_http::request("GET", "/healthz", &[("host", "a")], "".into());
/// assert_eq!(request.uri(), "/healthz");
/// ```
///
/// # Panics
///
/// Panics if the path or a header is malformed.
#[must_use]
pub fn request(
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut builder = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder
        .body(Full::new(body))
        .expect("path and headers are well-formed")
}
