//! HTTP client of the commands that call an entry instance.

use std::env;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use nutmegcart_model::Code;
use nutmegcart_platform::http::agent_with;
use serde_json::Value;
use ureq::Agent;

/// Result of a call; on success, the body of the answer.
pub type Result<T> = std::result::Result<T, CallError>;

/// Limit for a whole call, from connecting to the end of the answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Times that a call whose outcome is unknown is repeated with the same operation identifier.
const MAX_REPEATS: usize = 10;
/// Pause before a repeated call.
const REPEAT_PAUSE: Duration = Duration::from_millis(500);

/// Why a call failed.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum CallError {
    /// The entry instance did not answer, or its answer could not be read.
    #[display("{address} does not answer: {reason}")]
    NoAnswer {
        /// Address that was called.
        address: SocketAddr,
        /// Error of the HTTP client.
        reason: String,
    },
    /// The entry instance answered with an error status.
    #[display("{}", describe(answer))]
    Refused {
        /// Body of the answer; a string if it is not JSON.
        answer: Value,
    },
}

/// Formats the code, the message and the optional details of an error answer.
fn describe(answer: &Value) -> String {
    let text = |field: &str| answer[field].as_str().unwrap_or("").to_owned();
    let mut parts = vec![format!("{} {}", text("code"), text("message"))];
    for field in ["path", "detail", "request"] {
        if !text(field).is_empty() {
            parts.push(format!("{field}: {}", text(field)));
        }
    }
    parts.join("; ")
}

/// Blocking client of one entry instance.
pub struct Client {
    address: SocketAddr,
    agent: Agent,
}

impl Client {
    /// Creates a client for `entry`, else for the address in `NUTMEGCART_ENTRY`, else for
    /// `127.0.0.1:8080`.
    ///
    /// # Errors
    ///
    /// Fails if `NUTMEGCART_ENTRY` is needed and is not an IP address and port.
    pub fn new(entry: Option<SocketAddr>) -> std::result::Result<Self, String> {
        let address = match (entry, env::var("NUTMEGCART_ENTRY")) {
            (Some(address), _) => address,
            (None, Ok(text)) => text
                .parse()
                .map_err(|_| format!("NUTMEGCART_ENTRY: {text:?} is not an IP address and port"))?,
            (None, Err(_)) => SocketAddr::from((Ipv4Addr::LOCALHOST, 8080)),
        };
        let config = Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Ok(Self {
            address,
            agent: agent_with(config),
        })
    }

    fn no_answer(&self, error: &ureq::Error) -> CallError {
        CallError::NoAnswer {
            address: self.address,
            reason: error.to_string(),
        }
    }

    fn read(&self, mut answer: ureq::http::Response<ureq::Body>) -> Result<Value> {
        let text = answer.body_mut().read_to_string();
        let text = text.map_err(|error| self.no_answer(&error))?;
        let value: Value = serde_json::from_str(&text).unwrap_or(Value::String(text));
        if answer.status().is_success() {
            Ok(value)
        } else {
            Err(CallError::Refused { answer: value })
        }
    }

    /// Sends a GET request to `/admin/v1/<path>`.
    ///
    /// # Errors
    ///
    /// Fails if the instance does not answer or answers with an error status.
    pub fn get(&self, path: &str) -> Result<Value> {
        let url = format!("http://{}/admin/v1/{path}", self.address);
        self.read(
            self.agent
                .get(url)
                .call()
                .map_err(|error| self.no_answer(&error))?,
        )
    }

    /// Sends a GET request as [`Client::get`]; returns `None` if the instance has no such path.
    ///
    /// # Errors
    ///
    /// Fails as [`Client::get`] does.
    pub fn get_if_found(&self, path: &str) -> Result<Option<Value>> {
        let url = format!("http://{}/admin/v1/{path}", self.address);
        let answer = self.agent.get(url).call();
        let answer = answer.map_err(|error| self.no_answer(&error))?;
        if answer.status() == 404 {
            return Ok(None);
        }
        self.read(answer).map(Some)
    }

    /// Sends a request to any path, with the key of an organisation and a JSON body if they are given.
    ///
    /// # Errors
    ///
    /// Fails if the instance does not answer or answers with an error status.
    pub fn send(
        &self,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: Option<&Value>,
    ) -> Result<Value> {
        let body = body.map(Value::to_string).unwrap_or_default();
        let mut request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json");
        if let Some(key) = key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        let request = request
            .body(body.into_bytes())
            .map_err(|error| self.no_answer(&error.into()))?;
        let answer = self.agent.run(request);
        self.read(answer.map_err(|error| self.no_answer(&error))?)
    }

    /// Sends a POST request with a JSON body to `/admin/v1/<path>`.
    ///
    /// # Errors
    ///
    /// Fails if the instance does not answer or answers with an error status.
    pub fn post(&self, path: &str, body: &Value) -> Result<Value> {
        let url = format!("http://{}/admin/v1/{path}", self.address);
        let body = body.to_string();
        let answer = self.agent.post(url).send(body.as_bytes());
        self.read(answer.map_err(|error| self.no_answer(&error))?)
    }

    /// Sends a POST request as [`Client::post`], and repeats it while the instance asks for that.
    ///
    /// The body must name an operation, under which a repeated call takes effect once.
    ///
    /// # Errors
    ///
    /// Fails as [`Client::post`] does; the outcome may still be unknown after the last repetition.
    pub fn post_until_known(&self, path: &str, body: &Value) -> Result<Value> {
        let asks_for_repeat = |result: &Result<Value>| {
            matches!(result, Err(CallError::Refused { answer })
                if answer["code"] == format!("NC{}", Code::ApplyUnknown.number()))
        };
        let mut result = self.post(path, body);
        for _ in 0..MAX_REPEATS {
            if !asks_for_repeat(&result) {
                break;
            }
            sleep(REPEAT_PAUSE);
            result = self.post(path, body);
        }
        result
    }
}
