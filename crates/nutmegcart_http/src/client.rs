//! A client that keeps connections open.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::connection::AnswerError;
use crate::connection::DeliveryError;
use crate::connection::HttpConnection;
use crate::connection::Result;

/// Limits of an [`HttpClient`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// Timeout for opening a connection; the round trip to a peer takes milliseconds.
    pub connect: Duration,
    /// Idle connections kept open to one address.
    pub idle_connections: usize,
    /// Maximum size of a response body in bytes.
    pub response_bytes: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(600),
            idle_connections: 4,
            // A page of the store has about 1 MB in base64.
            response_bytes: 16 << 20,
        }
    }
}

/// Time limits of a call with a response that may be large.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerLimits {
    /// Longest time from the start of the call to the head of the response.
    pub head: Duration,
    /// Longest time without a byte of the body.
    pub idle: Duration,
    /// Longest time from the head to the end of the body.
    pub body: Duration,
}

/// An HTTP client that reuses connections. Clones share the idle connections.
#[derive(Clone, Debug, Default)]
pub struct HttpClient {
    limits: ClientLimits,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<HttpConnection>>>>,
}

impl HttpClient {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            idle: Arc::default(),
        }
    }

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

    /// Sends a request and returns the complete response. A body takes as long as its bytes keep
    /// arriving, within `limits`.
    ///
    /// # Errors
    ///
    /// Returns [`AnswerError::Cut`] if the response began and did not end.
    pub async fn call_steadily(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limits: AnswerLimits,
    ) -> std::result::Result<Response<Bytes>, AnswerError> {
        let (connection, response) = match timeout(limits.head, self.send(address, request)).await {
            Ok(sent) => sent?,
            Err(_) => return Err(DeliveryError::lost("timeout").into()),
        };
        let (head, mut body) = response.into_parts();
        let end = Instant::now() + limits.body;
        let mut bytes = Vec::new();
        loop {
            let until = end.min(Instant::now() + limits.idle);
            let Ok(frame) = timeout_at(until, body.frame()).await else {
                return Err(AnswerError::cut("timeout", bytes.len()));
            };
            let Some(frame) = frame else {
                break;
            };
            let frame = frame.map_err(|error| AnswerError::cut(error, bytes.len()))?;
            // Trailers are not used.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if bytes.len() + data.len() > self.limits.response_bytes {
                return Err(AnswerError::cut("too large", bytes.len()));
            }
            bytes.extend_from_slice(&data);
            // A body that keeps arriving may be late without a single late frame.
            if Instant::now() > end {
                return Err(AnswerError::cut("timeout", bytes.len()));
            }
        }
        self.keep_idle(address, connection);
        Ok(Response::from_parts(head, bytes.into()))
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>> {
        let (connection, response) = self.send(address, request).await?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, self.limits.response_bytes)
            .collect()
            .await;
        let body = body.map_err(DeliveryError::lost)?.to_bytes();
        self.keep_idle(address, connection);
        Ok(Response::from_parts(head, body))
    }

    /// Sends a request on an idle connection or a new one, and returns the head of the response.
    async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(HttpConnection, Response<Incoming>)> {
        while let Some(mut connection) = self.take_idle(address) {
            match connection.try_send(request).await {
                Ok(response) => return Ok((connection, response)),
                // The server closed the idle connection before any byte was written to it.
                Err((_, Some(unsent))) => request = unsent,
                Err((error, None)) => return Err(error),
            }
        }
        let mut connection = HttpConnection::open(address, self.limits.connect).await?;
        let response = connection.send(request).await?;
        Ok((connection, response))
    }

    fn take_idle(&self, address: SocketAddr) -> Option<HttpConnection> {
        let mut closed = Vec::new();
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&address)?;
        let mut found = None;
        while let Some(connection) = connections.pop() {
            if connection.is_ready() {
                found = Some(connection);
                break;
            }
            closed.push(connection);
        }
        // Closed connections are dropped after the lock, which `idle` releases first.
        drop(idle);
        drop(closed);
        found
    }

    fn keep_idle(&self, address: SocketAddr, connection: HttpConnection) {
        let mut idle = self.idle.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < self.limits.idle_connections && !connection.is_closed() {
            connections.push(connection);
        }
    }
}
