//! HTTP calls to the platform with JSON bodies.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

/// Result of an HTTP call.
pub type Result<T> = std::result::Result<T, HttpError>;

/// Why an HTTP call failed.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum HttpError {
    /// No connection was opened, so the server cannot have acted on the call.
    #[display("not sent: {reason}")]
    NotSent {
        /// What the client reported.
        reason: String,
    },
    /// The call may have been carried out.
    #[display("no answer: {reason}")]
    NoAnswer {
        /// What the client reported.
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

/// Creates an agent that keeps connections alive and bounds each call.
#[must_use]
pub fn agent(timeout: Duration) -> Agent {
    Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .max_idle_connections_per_host(4)
        .build()
        .into()
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

pub(crate) fn failed(error: &ureq::Error) -> HttpError {
    let reason = error.to_string();
    if is_not_sent(error) {
        HttpError::NotSent { reason }
    } else {
        HttpError::NoAnswer { reason }
    }
}

/// Posts a JSON body and reads a JSON answer.
///
/// # Errors
///
/// Tells a call that was certainly not sent from one that may have been carried out.
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
    read(answer.map_err(|error| failed(&error))?)
}

/// Gets a JSON answer.
///
/// # Errors
///
/// Fails as [`post`] does.
pub fn get<T: DeserializeOwned>(agent: &Agent, url: &str) -> Result<T> {
    read(agent.get(url).call().map_err(|error| failed(&error))?)
}

fn read<T: DeserializeOwned>(mut answer: ureq::http::Response<ureq::Body>) -> Result<T> {
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
