//! Sends messages to peers.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use nutmegcart_platform::http::is_not_sent;
use ureq::Agent;

use crate::message;
use crate::message::Message;

/// Result of a call to a peer.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Largest answer of a peer in bytes.
const ANSWER_LIMIT: u64 = 64 << 20;

/// Connections kept open to a peer.
const IDLE_CONNECTIONS: usize = 64;

/// Why a call to a peer failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum PeerError {
    /// No connection was opened, so the peer cannot have acted on the message.
    #[display("peer {address}, not sent: {reason}")]
    NotSent {
        /// Address of the peer.
        address: SocketAddr,
        /// What the client reported.
        reason: String,
    },
    /// The peer may have acted on the message.
    #[display("peer {address}, no answer: {reason}")]
    NoAnswer {
        /// Address of the peer.
        address: SocketAddr,
        /// What the client reported.
        reason: String,
    },
}

/// Sends messages and waits for the answers, each call at most for the timeout.
pub struct PeerClient {
    agent: Agent,
}

impl PeerClient {
    /// Creates a client.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(timeout))
            .http_status_as_error(false)
            // Requests to an owner run in parallel on threads of their own.
            .max_idle_connections_per_host(IDLE_CONNECTIONS);
        Self {
            agent: config.build().into(),
        }
    }

    /// Sends a message and returns the answer.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer arrives in time, and tells whether the peer may have acted.
    pub fn call<M: Message>(&self, address: SocketAddr, request: &M) -> Result<M::Answer> {
        self.exchange(address, request, None)
    }

    /// Sends a message and waits for its answer for at most the given time.
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
        let no_answer = |reason: String| PeerError::NoAnswer { address, reason };
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
                PeerError::NotSent { address, reason }
            } else {
                PeerError::NoAnswer { address, reason }
            }
        })?;
        if !answer.status().is_success() {
            return Err(no_answer(format!("status {}", answer.status())));
        }
        let body = answer
            .body_mut()
            .with_config()
            .limit(ANSWER_LIMIT)
            .read_to_vec();
        let body = body.map_err(|error| no_answer(error.to_string()))?;
        message::decode(&body).map_err(|error| no_answer(error.to_string()))
    }
}
