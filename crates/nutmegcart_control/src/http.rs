//! HTTP/1.1 client and server for a single-threaded runtime.

use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::fmt::Display;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Error;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Result of an HTTP call.
pub type Result<T> = std::result::Result<T, DeliveryError>;

/// Timeout for opening a connection; the round trip to a peer takes milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Idle connections kept open to one address.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Maximum size of a response body; a page of the store has about 1 MB in base64.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Why a call has no response, and whether the server may have received the request.
#[derive(Clone, Debug, derive_more::Display, Eq, Error, PartialEq)]
pub enum DeliveryError {
    /// No byte of the request was sent.
    #[display("request not sent: {reason}")]
    NotSent {
        /// What failed.
        reason: String,
    },
    /// The request may have been received, but no complete response arrived.
    #[display("no complete response: {reason}")]
    Lost {
        /// What failed.
        reason: String,
    },
}

impl DeliveryError {
    fn not_sent(error: impl Display) -> Self {
        let reason = error.to_string();
        Self::NotSent { reason }
    }

    fn lost(error: impl Display) -> Self {
        let reason = error.to_string();
        Self::Lost { reason }
    }
}

/// A connection of [`HttpClient`], which is reset when dropped.
///
/// After a network partition, the kernel delivers buffered bytes unless their connection was
/// reset. A request that timed out must not arrive seconds later, when it may contradict newer
/// ones.
#[derive(Debug)]
struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An HTTP client that reuses connections. Clones share the idle connections.
#[derive(Clone, Debug, Default)]
pub struct HttpClient {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<HttpConnection>>>>,
}

impl HttpClient {
    /// Sends a request and returns the complete response within `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`DeliveryError::Lost`] if the server may have processed the request.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>> {
        match timeout(limit, self.exchange(address, request)).await {
            Ok(response) => response,
            Err(_) => Err(DeliveryError::lost("timeout")),
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>> {
        while let Some(mut connection) = self.take_idle(address) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return self.read_response(address, connection, response).await,
                Err(mut error) => match error.take_message() {
                    // The server closed the idle connection before any byte was written to it.
                    Some(unsent) => request = unsent,
                    None => return Err(DeliveryError::lost(error.into_error())),
                },
            }
        }
        let mut connection = connect(address).await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => self.read_response(address, connection, response).await,
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let error = error.into_error();
                Err(if unsent {
                    DeliveryError::not_sent(error)
                } else {
                    DeliveryError::lost(error)
                })
            }
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<HttpConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    async fn read_response(
        &self,
        address: SocketAddr,
        connection: HttpConnection,
        response: Response<Incoming>,
    ) -> Result<Response<Bytes>> {
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(DeliveryError::lost)?.to_bytes();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS && !connection.sender.is_closed() {
            connections.push(connection);
        }
        Ok(Response::from_parts(head, body))
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }
}

async fn connect(address: SocketAddr) -> Result<HttpConnection> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(stream) => stream.map_err(DeliveryError::not_sent)?,
        Err(_) => return Err(DeliveryError::not_sent("connect timeout")),
    };
    stream.set_nodelay(true).map_err(DeliveryError::not_sent)?;
    stream.set_zero_linger().map_err(DeliveryError::not_sent)?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(DeliveryError::not_sent)?;
    let task = tokio::task::spawn_local(async move {
        // Errors are reported to the sender of the request.
        drop(connection.await);
    });
    Ok(HttpConnection {
        sender,
        task: task.abort_handle(),
    })
}

/// Builds a request.
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

/// Limits of an HTTP server's connections.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum size of a request's head in bytes; values below 8 KiB count as 8 KiB.
    pub head_bytes: usize,
    /// Timeout for a request's head, which also limits how long a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Serves requests. Once `stop` is true, connections close after their current request.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ServerLimits,
    stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("connection lost before its first request: {error}");
            continue;
        }
        let handler = handler.clone();
        let mut stop = stop.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder.timer(TokioTimer::new());
            builder.header_read_timeout(limits.idle_timeout);
            builder.max_buf_size(limits.head_bytes.max(8 << 10));
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
            let result = tokio::select! {
                result = connection.as_mut() => result,
                _ = stop.wait_for(|stop| *stop) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(error) = result {
                log::debug!("connection closed with an error: {error}");
            }
        });
    }
}
