//! HTTP servers on free loopback ports, and helpers for their handlers.

use std::future::Future;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::panic::resume_unwind;
use std::pin::Pin;
use std::sync::OnceLock;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_core::Stream;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use nutmegcart_http::HandlerError;
use nutmegcart_http::LocalExecutor;
use nutmegcart_http::ServerLimits;
use nutmegcart_http::serve_fallible;
use parking_lot::Mutex;
use tokio::sync::watch;

/// A request with its complete body.
pub type Request = hyper::Request<Bytes>;
/// A response, whose body may be a stream that fails.
pub type Response = hyper::Response<UnsyncBoxBody<Bytes, io::Error>>;

/// Attempts to bind a free port; another process may bind it first.
const BIND_ATTEMPTS: usize = 20;
/// Threads for the handlers and streams of all servers of the process that block.
const BLOCKING_THREADS: usize = 256;

/// Number of ranges of loopback addresses that processes may claim.
const RANGE_COUNT: u32 = 200 * 256;
/// Port on which the claim of a range listens, outside the range for outgoing connections.
const CLAIM_PORT: u16 = 7_059;

/// Ranges of loopback addresses that this process has claimed.
static RANGES: Mutex<Vec<AddressRange>> = Mutex::new(Vec::new());
/// Thread of all servers of this process.
static EXECUTOR: OnceLock<LocalExecutor> = OnceLock::new();

/// Frames of a streamed body, sent through a channel.
pub type FrameReceiver = tokio::sync::mpsc::Receiver<io::Result<Frame<Bytes>>>;

/// The stream of a body whose frames come from a channel.
pub(crate) struct ReceiverStream(pub(crate) FrameReceiver);

impl Stream for ReceiverStream {
    type Item = io::Result<Frame<Bytes>>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_recv(context)
    }
}

/// Loopback addresses 127.b.c.2 to 127.b.c.254, which no other process is given meanwhile.
struct AddressRange {
    /// Listener on 127.b.c.1; the kernel closes it when the process ends, however it ends.
    _claim: TcpListener,
    network: Ipv4Addr,
    last: u8,
}

impl AddressRange {
    /// Claims the first range that is free, beginning with the one of this number.
    fn claim(first: u32) -> Option<Self> {
        (0..RANGE_COUNT).find_map(|offset| {
            let [_, _, high, low] = ((first + offset) % RANGE_COUNT).to_be_bytes();
            let network = Ipv4Addr::new(127, 1 + high, low, 1);
            let claim = TcpListener::bind((network, CLAIM_PORT)).ok()?;
            Some(Self {
                _claim: claim,
                network,
                last: 1,
            })
        })
    }

    fn next(&mut self) -> Option<Ipv4Addr> {
        let [first, second, third, _] = self.network.octets();
        self.last = self.last.checked_add(1).filter(|last| *last < 255)?;
        Some(Ipv4Addr::new(first, second, third, self.last))
    }
}

fn next_address() -> Option<Ipv4Addr> {
    let mut ranges = RANGES.lock();
    if let Some(address) = ranges.last_mut().and_then(AddressRange::next) {
        return Some(address);
    }
    let mut range = AddressRange::claim(std::process::id() % RANGE_COUNT)?;
    let address = range.next();
    ranges.push(range);
    address
}

/// Returns a loopback address with a port that was free when it was checked.
///
/// Each call returns a different IP address of the loopback range, which no other running process
/// is given. Outgoing connections use 127.0.0.1 as their source, so none of them can occupy the
/// port before it is bound.
///
/// # Panics
///
/// Panics if the machine has no free address or port.
#[must_use]
pub fn free_address() -> SocketAddr {
    let address = next_address().expect("a range of loopback addresses is free");
    TcpListener::bind((address, 0))
        .and_then(|listener| listener.local_addr())
        .expect("a loopback port is free")
}

fn bind_free_port() -> (TcpListener, SocketAddr) {
    let bound = (0..BIND_ATTEMPTS).find_map(|_| {
        let address = free_address();
        let listener = TcpListener::bind(address).ok()?;
        Some((listener, address))
    });
    bound.unwrap_or_else(|| panic!("no loopback port could be bound in {BIND_ATTEMPTS} attempts"))
}

/// Starts a server on a free loopback port and returns its address.
///
/// The handler may block; it runs on a thread of its own until it returns. The server runs until
/// the process exits.
///
/// # Panics
///
/// Panics if no port can be bound.
pub fn start(handle: impl Fn(&Request) -> Response + Clone + Send + Sync + 'static) -> SocketAddr {
    start_async(move |request| {
        let handle = handle.clone();
        async move {
            let response = tokio::task::spawn_blocking(move || handle(&request)).await;
            // The handler has disconnected.
            response.map_err(HandlerError::from)
        }
    })
}

/// Starts a server as [`start`] whose handler does not block.
///
/// The connection is closed without a response if the handler fails.
///
/// # Panics
///
/// Panics if no port can be bound.
pub fn start_async<F>(handle: impl Fn(Request) -> F + Clone + Send + 'static) -> SocketAddr
where
    F: Future<Output = Result<Response, HandlerError>> + 'static,
{
    let (listener, address) = bind_free_port();
    listener
        .set_nonblocking(true)
        .expect("the listener can be set up");
    spawn(move || async move {
        let listener = tokio::net::TcpListener::from_std(listener);
        let listener = listener.expect("the listener can be registered");
        // The sender is never dropped, so that the server never stops.
        let (_stop, stopped) = watch::channel(false);
        let handler = move |request: hyper::Request<Incoming>| {
            let handle = handle.clone();
            async move {
                let (head, body) = request.into_parts();
                let body = body.collect().await?.to_bytes();
                let task = tokio::task::spawn_local(handle(Request::from_parts(head, body)));
                // A handler that has begun runs to its end, also if the client disconnects.
                task.await?
            }
        };
        serve_fallible(listener, ServerLimits::default(), stopped, handler).await;
    });
    address
}

/// Runs a future on the thread of all servers.
pub(crate) fn spawn<F: Future<Output = ()> + 'static>(task: impl FnOnce() -> F + Send + 'static) {
    let executor = EXECUTOR.get_or_init(|| {
        LocalExecutor::start("fakes", BLOCKING_THREADS).expect("a thread can be started")
    });
    executor.spawn(task);
}

/// Closes the connection of the current request without a response.
///
/// May be called by handlers of [`start`] only.
pub fn disconnect() -> ! {
    // Unwinding ends the handler; `resume_unwind` skips the panic message.
    resume_unwind(Box::new("connection closed by a scripted fault"))
}

/// Creates a response with the given status and body.
///
/// # Panics
///
/// Panics if the status is not a valid HTTP status.
#[must_use]
pub fn response(status: u16, body: impl Into<Vec<u8>>) -> Response {
    let body = Full::new(Bytes::from(body.into()));
    hyper::Response::builder()
        .status(status)
        .body(body.map_err(|never| match never {}).boxed_unsync())
        .expect("status is valid")
}

/// Returns the value of a request header, if it is present and visible ASCII.
#[must_use]
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
