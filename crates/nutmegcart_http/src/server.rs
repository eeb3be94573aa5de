//! A server for one listener.

use std::error::Error;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;

/// Error of a handler; the connection is closed without a response.
pub type HandlerError = Box<dyn Error + Send + Sync>;

/// Pause after a connection could not be accepted, for example for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Smallest limit of a request's head that the HTTP library takes, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Limits of an HTTP server's connections.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Maximum size of a request's head in bytes; values below 8 KiB count as 8 KiB.
    pub head_bytes: usize,
    /// Timeout for a request's head, which also limits how long a connection may be idle.
    pub idle_timeout: Duration,
    /// One permit for each connection that may be open; further ones wait to be accepted.
    pub connections: Arc<Semaphore>,
    /// Whether a client may end its side of the connection before it has read the response. If not,
    /// the handler of its request is dropped.
    pub half_close: bool,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            idle_timeout: Duration::from_secs(15),
            connections: Arc::new(Semaphore::new(Semaphore::MAX_PERMITS)),
            half_close: false,
        }
    }
}

/// Serves requests. Once `stop` is true, connections close after their current request, and new
/// ones after one request.
///
/// # Panics
///
/// Panics outside a [`tokio::task::LocalSet`].
pub async fn serve<H, F, B>(
    listener: TcpListener,
    limits: ServerLimits,
    stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<HandlerError>,
{
    let handler = move |request| {
        let response = handler(request);
        async move { Ok(response.await) }
    };
    serve_fallible(listener, limits, stop, handler).await;
}

/// Serves requests as [`serve`]; closes a connection without a response if its handler fails.
///
/// # Panics
///
/// Panics outside a [`tokio::task::LocalSet`].
pub async fn serve_fallible<H, F, B>(
    listener: TcpListener,
    limits: ServerLimits,
    stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Result<Response<B>, HandlerError>> + 'static,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<HandlerError>,
{
    loop {
        let permit = limits.connections.clone().acquire_owned().await;
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("connection lost before its first request: {error}");
            continue;
        }
        let connection = serve_connection(stream, limits.clone(), stop.clone(), handler.clone());
        tokio::task::spawn_local(async move {
            connection.await;
            drop(permit);
        });
    }
}

async fn serve_connection<H, F, B>(
    stream: TcpStream,
    limits: ServerLimits,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Result<Response<B>, HandlerError>> + 'static,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<HandlerError>,
{
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(TokioTimer::new());
    builder.half_close(limits.half_close);
    builder.header_read_timeout(limits.idle_timeout);
    builder.max_buf_size(limits.head_bytes.max(MIN_HEAD_BYTES));
    let stopped = *stop.borrow();
    builder.keep_alive(!stopped);
    let connection = builder.serve_connection(TokioIo::new(stream), service_fn(handler));
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = stop.wait_for(|stop| *stop), if !stopped => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("connection closed with an error: {error}");
    }
}
