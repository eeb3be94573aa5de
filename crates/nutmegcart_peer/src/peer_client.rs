//! Sends messages to peers over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use nutmegcart_http::ClientLimits;
use nutmegcart_http::DeliveryError;
use nutmegcart_http::HttpClient;
use nutmegcart_http::request;

use crate::message;
use crate::message::Message;

/// Result of a call to a peer.
pub type Result<T> = std::result::Result<T, PeerCallError>;

/// Limits of the connections to peers.
const LIMITS: ClientLimits = ClientLimits {
    connect: Duration::from_millis(500),
    // Requests to the same owner are forwarded in parallel, each on its own connection.
    idle_connections: 64,
    response_bytes: 64 << 20,
};

/// Failure of a call to a peer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum PeerCallError {
    /// The message was not sent, so the peer cannot have acted on it.
    #[display("message to peer {address} was not sent: {reason}")]
    NotSent {
        /// Address of the peer.
        address: SocketAddr,
        /// Error text of the HTTP client, or what is wrong with the answer.
        reason: String,
    },
    /// The message was sent without a valid answer, so the peer may have acted on it.
    #[display("no valid answer from peer {address}: {reason}")]
    NoAnswer {
        /// Address of the peer.
        address: SocketAddr,
        /// Error text of the HTTP client, or what is wrong with the answer.
        reason: String,
    },
}

/// Client for messages to peers; each call waits for the answer up to a timeout.
///
/// Clones share the connections. Calls are made inside a [`tokio::task::LocalSet`], for example on
/// a [`nutmegcart_http::LocalExecutor`].
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: HttpClient,
    timeout: Duration,
}

impl PeerClient {
    /// Creates a client; `timeout` applies to [`PeerClient::call`].
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(LIMITS),
            timeout,
        }
    }

    /// Sends a message and returns the answer.
    ///
    /// # Errors
    ///
    /// Fails if no complete answer arrives in time; the error distinguishes whether the peer may
    /// have acted on the message.
    pub async fn call<M: Message>(&self, address: SocketAddr, request: &M) -> Result<M::Answer> {
        self.call_with_timeout(address, request, self.timeout).await
    }

    /// Sends a message and waits for its answer, with a timeout for this call.
    ///
    /// # Errors
    ///
    /// Fails as [`PeerClient::call`] does.
    pub async fn call_with_timeout<M: Message>(
        &self,
        address: SocketAddr,
        message: &M,
        timeout: Duration,
    ) -> Result<M::Answer> {
        let no_answer = |reason: String| PeerCallError::NoAnswer { address, reason };
        let path = format!("/peer/v1/{}", M::PATH);
        let host = address.to_string();
        let body = message::encode(message).into();
        let request = request("POST", &path, &[("host", &host)], body);
        let answer = self.client.call(address, request, timeout).await;
        let answer = answer.map_err(|error| match error {
            DeliveryError::NotSent { reason } => PeerCallError::NotSent { address, reason },
            DeliveryError::Lost { reason } => no_answer(reason),
        })?;
        if !answer.status().is_success() {
            return Err(no_answer(format!("status {}", answer.status())));
        }
        message::decode(answer.body()).map_err(|error| no_answer(error.to_string()))
    }
}
