//! Sends messages to peers over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use nutmegcart_platform::http::agent_with;
use nutmegcart_platform::http::is_not_sent;
use ureq::Agent;

use crate::message;
use crate::message::Message;

/// Result of a call to a peer.
pub type Result<T> = std::result::Result<T, PeerCallError>;

/// Maximum size of an answer.
const ANSWER_LIMIT_BYTES: u64 = 64 << 20;

/// Maximum number of idle connections that are kept open to each peer.
const MAX_IDLE_CONNECTIONS: usize = 64;

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
pub struct PeerClient {
    agent: Agent,
}

impl PeerClient {
    /// Creates a client; `timeout` applies to [`PeerClient::call`].
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(timeout))
            .http_status_as_error(false)
            // Requests to the same owner are forwarded in parallel, each on its own thread.
            .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS);
        Self {
            agent: agent_with(config.build()),
        }
    }

    /// Sends a message and returns the answer.
    ///
    /// # Errors
    ///
    /// Fails if no complete answer arrives in time; the error distinguishes whether the peer may
    /// have acted on the message.
    pub fn call<M: Message>(&self, address: SocketAddr, request: &M) -> Result<M::Answer> {
        self.exchange(address, request, None)
    }

    /// Sends a message and waits for its answer, with a timeout for this call.
    ///
    /// # Errors
    ///
    /// Fails as [`PeerClient::call`] does.
    pub fn call_with_timeout<M: Message>(
        &self,
        address: SocketAddr,
        request: &M,
        timeout: Duration,
    ) -> Result<M::Answer> {
        self.exchange(address, request, Some(timeout))
    }

    fn exchange<M: Message>(
        &self,
        address: SocketAddr,
        request: &M,
        timeout: Option<Duration>,
    ) -> Result<M::Answer> {
        let no_answer = |reason: String| PeerCallError::NoAnswer { address, reason };
        let url = format!("http://{address}/peer/v1/{}", M::PATH);
        let body = message::encode(request);
        let mut call = self.agent.post(&url);
        if let Some(timeout) = timeout {
            call = call.config().timeout_global(Some(timeout)).build();
        }
        let answer = call.send(&body[..]);
        let mut answer = answer.map_err(|error| {
            let reason = error.to_string();
            if is_not_sent(&error) {
                PeerCallError::NotSent { address, reason }
            } else {
                PeerCallError::NoAnswer { address, reason }
            }
        })?;
        if !answer.status().is_success() {
            return Err(no_answer(format!("status {}", answer.status())));
        }
        let body = answer
            .body_mut()
            .with_config()
            .limit(ANSWER_LIMIT_BYTES)
            .read_to_vec();
        let body = body.map_err(|error| no_answer(error.to_string()))?;
        message::decode(&body).map_err(|error| no_answer(error.to_string()))
    }
}
