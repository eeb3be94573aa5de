//! A backend server with a limited number of slots and scripted faults.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use nutmegcart_http::HandlerError;
use nutmegcart_model::InstanceId;
use parking_lot::Mutex;
use tokio::time::sleep;

use crate::oracle::Oracle;
use crate::server;
use crate::server::Request;
use crate::server::Response;

/// Result of handling a request; the connection is closed after an error.
type Result<T> = std::result::Result<T, HandlerError>;

/// Number of requests that a runner processes at once; it refuses further ones.
pub const SLOTS: usize = 8;

/// The way in which a runner handles requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behaviour {
    /// Runs each request and responds.
    #[default]
    Healthy,
    /// Refuses each request with status 503 before running it.
    Draining,
    /// Closes the connection without running the request.
    ClosesConnections,
    /// Runs the request, then closes the connection without a response.
    DropsResponses,
    /// Runs the request and sends only half of the response body.
    TruncatesResponses,
    /// Runs the request and responds with the identifier of another request.
    MismatchesResponses,
    /// Responds with status 500 without running the request.
    ReturnsErrors,
}

#[derive(Default)]
struct State {
    behaviour: Behaviour,
    service_time: Duration,
    in_flight: usize,
    started: u64,
}

/// A backend server on loopback; clones share it.
#[derive(Clone)]
pub struct FakeRunner {
    /// Identifier of its entry in the instance list.
    pub id: InstanceId,
    /// Address on which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    oracle: Oracle,
}

impl FakeRunner {
    /// Starts a runner that spends `service_time` on each request.
    #[must_use]
    pub fn start(id: impl Into<InstanceId>, oracle: &Oracle, service_time: Duration) -> Self {
        let state = Arc::new(Mutex::new(State {
            service_time,
            ..State::default()
        }));
        let handler_state = state.clone();
        let handler_oracle = oracle.clone();
        let address = server::start_async(move |request| {
            let (state, oracle) = (handler_state.clone(), handler_oracle.clone());
            async move { handle(request, &state, &oracle).await }
        });
        Self {
            id: id.into(),
            address,
            state,
            oracle: oracle.clone(),
        }
    }

    /// Changes the handling of all further requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.lock().behaviour = behaviour;
    }

    /// Changes the time spent on each further request.
    pub fn set_service_time(&self, time: Duration) {
        self.state.lock().service_time = time;
    }

    /// Returns the number of requests that are running now.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.state.lock().in_flight
    }

    /// Returns the number of requests started so far.
    #[must_use]
    pub fn started(&self) -> u64 {
        self.state.lock().started
    }

    /// Stops for a reboot and records the requests in flight as interrupted.
    pub fn stop(&self) {
        let mut state = self.state.lock();
        state.behaviour = Behaviour::ClosesConnections;
        self.oracle.record_interrupted(state.in_flight as u64);
    }
}

/// Returns the error that closes the connection.
fn disconnected<T>() -> Result<T> {
    Err(Box::new(io::Error::from(io::ErrorKind::ConnectionAborted)))
}

async fn handle(request: Request, state: &Mutex<State>, oracle: &Oracle) -> Result<Response> {
    let token = String::from_utf8_lossy(request.body()).into_owned();
    let request_id = server::header(&request, "nutmegcart-request").unwrap_or("");
    let (behaviour, time) = {
        let mut state = state.lock();
        let full = state.in_flight >= SLOTS;
        match state.behaviour {
            Behaviour::ClosesConnections => return disconnected(),
            Behaviour::ReturnsErrors => {
                return Ok(with_request_id(server::response(500, "failed"), request_id));
            }
            behaviour if full || behaviour == Behaviour::Draining => {
                return Ok(refuse(request_id));
            }
            behaviour => {
                state.in_flight += 1;
                state.started += 1;
                (behaviour, state.service_time)
            }
        }
    };
    oracle.record_start(&token);
    if !time.is_zero() {
        sleep(time).await;
    }
    oracle.record_finish(&token);
    state.lock().in_flight -= 1;
    respond(behaviour, &token, request_id)
}

fn respond(behaviour: Behaviour, token: &str, request_id: &str) -> Result<Response> {
    let text = format!("{token} done");
    match behaviour {
        Behaviour::DropsResponses => disconnected(),
        Behaviour::TruncatesResponses => {
            // The body is sent in chunks; the connection closes before the last one.
            let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
            let (sender, receiver) = tokio::sync::mpsc::channel(1);
            tokio::task::spawn_local(async move {
                // The connection may be gone already.
                let _ = sender.send(Ok(Frame::data(half))).await;
                let aborted = io::Error::from(io::ErrorKind::ConnectionAborted);
                let _ = sender.send(Err(aborted)).await;
            });
            let body = StreamBody::new(server::ReceiverStream(receiver)).boxed_unsync();
            let response = server::response(200, "").map(|_| body);
            Ok(with_request_id(response, request_id))
        }
        Behaviour::MismatchesResponses => Ok(with_request_id(
            server::response(200, text),
            "another-request",
        )),
        _ => Ok(with_request_id(server::response(200, text), request_id)),
    }
}

fn refuse(request_id: &str) -> Response {
    let mut response = with_request_id(server::response(503, "refused"), request_id);
    let value = "before-start".parse().expect("header value is valid");
    response.headers_mut().insert("nutmegcart-refused", value);
    response
}

fn with_request_id(mut response: Response, request_id: &str) -> Response {
    if let Ok(value) = request_id.parse() {
        response.headers_mut().insert("nutmegcart-request", value);
    }
    response
}
