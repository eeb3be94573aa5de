//! Loopback HTTP servers on free ports.

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

/// Attempts to start a server before giving up; another process may take a free port first.
const ATTEMPTS: usize = 20;

/// Number of loopback addresses handed out by this process.
static ADDRESSES: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address whose port was free a moment ago.
///
/// Each call returns another IP address of the loopback range. Outgoing connections come from
/// 127.0.0.1, so that none of them can take the port before it is bound.
///
/// # Panics
///
/// Panics if the machine has no free port.
#[must_use]
pub fn free_address() -> SocketAddr {
    let number = ADDRESSES.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = number.to_be_bytes();
    let process = std::process::id().to_be_bytes()[3] % 200;
    // The second byte tells test processes that run side by side apart.
    let address = Ipv4Addr::new(127, 1 + process, high, low.max(1));
    TcpListener::bind((address, 0))
        .and_then(|listener| listener.local_addr())
        .expect("a loopback port is free")
}

/// Starts a server on a free loopback port and returns its address.
///
/// The server lives as long as the process, since the library has no shutdown call.
///
/// # Panics
///
/// Panics if no port can be bound.
pub fn start(
    handle: impl Fn(&mut Request<Body>) -> Response<Body> + Clone + Send + Sync + 'static,
) -> SocketAddr {
    for _ in 0..ATTEMPTS {
        let address = free_address();
        if Server::new(handle.clone()).bind(address).spawn().is_ok() {
            return address;
        }
    }
    panic!("no loopback port could be bound");
}

/// Closes the connection of the current request without an answer.
pub fn disconnect() -> ! {
    // Unwinding ends the connection's thread; `resume_unwind` skips the panic message.
    resume_unwind(Box::new("connection closed on purpose"))
}

/// Reads the whole request body; an unreadable one closes the connection.
pub fn read_body(request: &mut Request<Body>) -> Vec<u8> {
    let mut bytes = Vec::new();
    if request.body_mut().read_to_end(&mut bytes).is_err() {
        disconnect();
    }
    bytes
}

/// Returns an answer with status and body.
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

/// Returns a request header as text.
pub fn header<'a>(request: &'a Request<Body>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
