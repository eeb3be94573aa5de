//! A backend server with a limited number of slots and scripted faults.

use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use nutmegcart_model::InstanceId;
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::Response;
use parking_lot::Mutex;

use crate::oracle::Oracle;
use crate::server;

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
        let address =
            server::start(move |request| handle(request, &handler_state, &handler_oracle));
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

fn handle(request: &mut Request<Body>, state: &Mutex<State>, oracle: &Oracle) -> Response<Body> {
    let token = String::from_utf8_lossy(&server::read_body(request)).into_owned();
    let request_id = server::header(request, "nutmegcart-request")
        .unwrap_or("")
        .to_owned();
    let (behaviour, time) = {
        let mut state = state.lock();
        let full = state.in_flight >= SLOTS;
        match state.behaviour {
            Behaviour::ClosesConnections => {
                drop(state);
                server::disconnect()
            }
            Behaviour::ReturnsErrors => {
                return with_request_id(server::response(500, "failed"), &request_id);
            }
            behaviour if full || behaviour == Behaviour::Draining => {
                return refuse(&request_id);
            }
            behaviour => {
                state.in_flight += 1;
                state.started += 1;
                (behaviour, state.service_time)
            }
        }
    };
    oracle.record_start(&token);
    sleep(time);
    oracle.record_finish(&token);
    state.lock().in_flight -= 1;
    respond(behaviour, &token, &request_id)
}

fn respond(behaviour: Behaviour, token: &str, request_id: &str) -> Response<Body> {
    let text = format!("{token} done");
    match behaviour {
        Behaviour::DropsResponses => server::disconnect(),
        Behaviour::TruncatesResponses => {
            // The body is sent in chunks; the connection closes before the last one.
            let half = text.as_bytes()[..text.len() / 2].to_vec();
            let truncated = io::Cursor::new(half).chain(FailingBody);
            let mut response = server::response(200, "");
            *response.body_mut() = Body::from_read(truncated);
            with_request_id(response, request_id)
        }
        Behaviour::MismatchesResponses => {
            with_request_id(server::response(200, text), "another-request")
        }
        _ => with_request_id(server::response(200, text), request_id),
    }
}

/// A body whose read fails, so that the server closes the connection.
struct FailingBody;

impl Read for FailingBody {
    fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}

fn refuse(request_id: &str) -> Response<Body> {
    let mut response = with_request_id(server::response(503, "refused"), request_id);
    let value = "before-start".parse().expect("header value is valid");
    response.headers_mut().insert("nutmegcart-refused", value);
    response
}

fn with_request_id(mut response: Response<Body>, request_id: &str) -> Response<Body> {
    if let Ok(value) = request_id.parse() {
        response.headers_mut().insert("nutmegcart-request", value);
    }
    response
}
