//! Sends messages to peers.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use ureq::Agent;

use crate::message;
use crate::message::Message;

/// Result of a call to a peer.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Largest answer of a peer in bytes.
const ANSWER_LIMIT: u64 = 64 << 20;

/// Why a call to a peer failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("peer {address}: {reason}")]
pub struct PeerError {
    /// Address of the peer.
    pub address: SocketAddr,
    /// What the client reported.
    pub reason: String,
}

/// Sends messages and waits for the answers, each call at most for the timeout.
pub struct Client {
    agent: Agent,
}

impl Client {
    /// Creates a client.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(timeout))
            .http_status_as_error(false);
        Self {
            agent: config.build().into(),
        }
    }

    /// Sends a message and returns the answer.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer arrives in time.
    pub fn call<M: Message>(&self, address: SocketAddr, request: &M) -> Result<M::Answer> {
        let failed = |reason: String| PeerError { address, reason };
        let url = format!("http://{address}/peer/v1/{}", M::PATH);
        let body = message::encode(request);
        let answer = self.agent.post(&url).send(&body[..]);
        let mut answer = answer.map_err(|error| failed(error.to_string()))?;
        if !answer.status().is_success() {
            return Err(failed(format!("status {}", answer.status())));
        }
        let body = answer
            .body_mut()
            .with_config()
            .limit(ANSWER_LIMIT)
            .read_to_vec();
        let body = body.map_err(|error| failed(error.to_string()))?;
        message::decode(&body).map_err(|error| failed(error.to_string()))
    }
}
