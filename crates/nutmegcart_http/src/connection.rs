//! One client connection.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Error;
use derive_more::From;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Result of an HTTP call.
pub type Result<T> = std::result::Result<T, DeliveryError>;

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
    pub(crate) fn not_sent(error: impl Display) -> Self {
        let reason = error.to_string();
        Self::NotSent { reason }
    }

    pub(crate) fn lost(error: impl Display) -> Self {
        let reason = error.to_string();
        Self::Lost { reason }
    }
}

/// Why a call has no complete response.
#[derive(Clone, Debug, derive_more::Display, Eq, Error, From, PartialEq)]
pub enum AnswerError {
    /// No head of a response arrived.
    Delivery(DeliveryError),
    /// The response began and did not end in time.
    #[display("the response ended after {received} bytes: {reason}")]
    #[from(skip)]
    Cut {
        /// What failed.
        reason: String,
        /// Bytes of the body that arrived.
        received: usize,
    },
}

impl AnswerError {
    pub(crate) fn cut(error: impl Display, received: usize) -> Self {
        let reason = error.to_string();
        Self::Cut { reason, received }
    }
}

/// A request that was not sent, which may be sent on another connection.
pub(crate) type Unsent = Option<Request<Full<Bytes>>>;

/// A connection to a server, which is reset when dropped.
///
/// After a network partition, the kernel delivers buffered bytes unless their connection was
/// reset. A request that timed out must not arrive seconds later, when it may contradict newer
/// ones.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl HttpConnection {
    /// Opens a connection within `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`DeliveryError::NotSent`] if no connection is established in time.
    ///
    /// # Panics
    ///
    /// Panics outside a [`tokio::task::LocalSet`].
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self> {
        let stream = match timeout(limit, TcpStream::connect(address)).await {
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
        Ok(Self {
            sender,
            task: task.abort_handle(),
        })
    }

    /// Sends a request and returns the head of its response.
    ///
    /// # Errors
    ///
    /// Returns [`DeliveryError::Lost`] if the server may have received the request.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        self.try_send(request).await.map_err(|(error, _)| error)
    }

    pub(crate) async fn try_send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<Incoming>, (DeliveryError, Unsent)> {
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| {
                let unsent = error.take_message();
                let error = error.into_error();
                if unsent.is_some() {
                    (DeliveryError::not_sent(error), unsent)
                } else {
                    (DeliveryError::lost(error), None)
                }
            })
    }

    /// Returns whether the connection can take a request now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the server or an error has closed the connection.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}
