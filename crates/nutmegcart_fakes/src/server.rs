//! HTTP servers on free loopback ports, and helpers for their handlers.

use std::io::Read;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::panic::resume_unwind;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use oxhttp::Server;
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::Response;

/// Attempts to bind a free port; another process may bind it first.
const BIND_ATTEMPTS: usize = 20;

/// Number of loopback addresses that this process has used.
static ADDRESS_COUNT: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address with a port that was free when it was checked.
///
/// Each call returns a different IP address of the loopback range. Outgoing connections use
/// 127.0.0.1 as their source, so none of them can occupy the port before it is bound.
///
/// # Panics
///
/// Panics if the machine has no free port.
#[must_use]
pub fn free_address() -> SocketAddr {
    let number = ADDRESS_COUNT.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = number.to_be_bytes();
    let process = std::process::id().to_be_bytes()[3] % 200;
    // The second byte differs between most test processes that run concurrently.
    let address = Ipv4Addr::new(127, 1 + process, high, low.max(1));
    TcpListener::bind((address, 0))
        .and_then(|listener| listener.local_addr())
        .expect("a loopback port is free")
}

/// Starts a server on a free loopback port and returns its address.
///
/// The server runs until the process exits, since the library has no shutdown call.
///
/// # Panics
///
/// Panics if no port can be bound.
pub fn start(
    handle: impl Fn(&mut Request<Body>) -> Response<Body> + Clone + Send + Sync + 'static,
) -> SocketAddr {
    for _ in 0..BIND_ATTEMPTS {
        let address = free_address();
        if Server::new(handle.clone()).bind(address).spawn().is_ok() {
            return address;
        }
    }
    panic!("no loopback port could be bound in {BIND_ATTEMPTS} attempts");
}

/// Closes the connection of the current request without a response.
pub fn disconnect() -> ! {
    // Unwinding ends the connection's thread; `resume_unwind` skips the panic message.
    resume_unwind(Box::new("connection closed by a scripted fault"))
}

/// Reads the whole request body, or closes the connection if it cannot be read.
pub fn read_body(request: &mut Request<Body>) -> Vec<u8> {
    let mut bytes = Vec::new();
    if request.body_mut().read_to_end(&mut bytes).is_err() {
        disconnect();
    }
    bytes
}

/// Creates a response with the given status and body.
///
/// # Panics
///
/// Panics if the status is not a valid HTTP status.
#[must_use]
pub fn response(status: u16, body: impl Into<Vec<u8>>) -> Response<Body> {
    Response::builder()
        .status(status)
        .body(Body::from(body.into()))
        .expect("status is valid")
}

/// Returns the value of a request header, if it is present and visible ASCII.
pub fn header<'a>(request: &'a Request<Body>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
