//! HTTP calls to the platform with JSON bodies.
//!
//! An error shows whether the server may have carried out the call.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::ResolvedSocketAddrs;
use ureq::unversioned::resolver::Resolver;
use ureq::unversioned::transport::DefaultConnector;
use ureq::unversioned::transport::NextTimeout;

/// Result of an HTTP call to the platform.
pub type Result<T> = std::result::Result<T, HttpError>;

/// Reason for which an HTTP call failed.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum HttpError {
    /// No connection was opened, so the server cannot have acted on the call.
    #[display("not sent: {reason}")]
    NotSent {
        /// Error that the HTTP client reported.
        reason: String,
    },
    /// No complete answer arrived; the server may have carried out the call.
    #[display("no answer: {reason}")]
    NoAnswer {
        /// Error that the HTTP client reported.
        reason: String,
    },
    /// The server answered with an error status.
    #[display("status {status}: {reason}")]
    Status {
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        reason: String,
    },
}

/// Resolver for URIs whose host is an IP address.
///
/// The default resolver of the client starts a thread for each request with a timeout, even if
/// the host is an address.
#[derive(Debug)]
struct AddressResolver;

impl Resolver for AddressResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> std::result::Result<ResolvedSocketAddrs, ureq::Error> {
        let authority = uri.authority();
        let address = authority.and_then(|authority| authority.as_str().parse().ok());
        let mut found = self.empty();
        let address: SocketAddr = address.ok_or(ureq::Error::HostNotFound)?;
        found.push(address);
        Ok(found)
    }
}

/// Creates an agent for URIs whose host is an IP address; requests start no threads.
///
/// ```
/// use nutmegcart_platform::http::agent_with;
///
/// let agent = agent_with(ureq::Agent::config_builder().build());
/// // Port 9 is not served here, and a name is not resolved at all.
/// assert!(agent.get("http://127.0.0.1:9/").call().is_err());
/// assert!(agent.get("http://localhost:9/").call().is_err());
/// ```
#[must_use]
pub fn agent_with(config: Config) -> Agent {
    Agent::with_parts(config, DefaultConnector::default(), AddressResolver)
}

/// Creates an agent that keeps connections alive and limits the duration of each call.
#[must_use]
pub fn agent(timeout: Duration) -> Agent {
    agent_with(
        Agent::config_builder()
            .timeout_global(Some(timeout))
            .http_status_as_error(false)
            .max_idle_connections_per_host(4)
            .build(),
    )
}

/// Returns whether the error proves that no byte of the request was sent.
#[must_use]
pub fn is_not_sent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

pub(crate) fn call_error(error: &ureq::Error) -> HttpError {
    let reason = error.to_string();
    if is_not_sent(error) {
        HttpError::NotSent { reason }
    } else {
        HttpError::NoAnswer { reason }
    }
}

/// Sends a POST request with a JSON body and reads a JSON answer.
///
/// # Errors
///
/// The error distinguishes a call that was not sent from one that may have been carried out.
///
/// # Panics
///
/// Panics if the body cannot be represented as JSON.
pub fn post<T: DeserializeOwned>(agent: &Agent, url: &str, body: &impl Serialize) -> Result<T> {
    let body = serde_json::to_vec(body).expect("body is serialisable");
    let answer = agent
        .post(url)
        .content_type("application/json")
        .send(&body[..]);
    read_json(answer.map_err(|error| call_error(&error))?)
}

/// Sends a GET request and reads a JSON answer.
///
/// # Errors
///
/// Fails as [`post`] does.
pub fn get<T: DeserializeOwned>(agent: &Agent, url: &str) -> Result<T> {
    read_json(agent.get(url).call().map_err(|error| call_error(&error))?)
}

fn read_json<T: DeserializeOwned>(mut answer: ureq::http::Response<ureq::Body>) -> Result<T> {
    let status = answer.status().as_u16();
    let body = answer
        .body_mut()
        .with_config()
        .limit(64 << 20)
        .read_to_vec();
    let body = body.map_err(|error| HttpError::NoAnswer {
        reason: error.to_string(),
    })?;
    if status >= 400 {
        let reason = String::from_utf8_lossy(&body).into_owned();
        return Err(HttpError::Status { status, reason });
    }
    serde_json::from_slice(&body).map_err(|error| HttpError::NoAnswer {
        reason: error.to_string(),
    })
}
