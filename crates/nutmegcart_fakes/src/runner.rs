//! A backend server with slots that can fail in scripted ways.

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

/// Slots of a runner.
pub const SLOTS: usize = 8;

/// How a runner treats requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behaviour {
    /// Runs requests and answers.
    #[default]
    Healthy,
    /// Refuses before starting.
    Draining,
    /// Closes connections without running anything.
    ClosesConnections,
    /// Runs the request, then closes the connection without an answer.
    DropsResponses,
    /// Runs the request and answers with half of the body.
    TruncatesResponses,
    /// Runs the request and answers with another request's identifier.
    MismatchesResponses,
    /// Answers 500 without running anything.
    ReturnsErrors,
}

#[derive(Default)]
struct State {
    behaviour: Behaviour,
    service_time: Duration,
    active: usize,
    started: u64,
}

/// A backend server on loopback; clones share it.
#[derive(Clone)]
pub struct FakeRunner {
    /// Identifier in the instance list.
    pub id: InstanceId,
    /// Address that it serves.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    oracle: Oracle,
}

impl FakeRunner {
    /// Starts a runner that takes the given time for each request.
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

    /// Changes how requests are treated from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.lock().behaviour = behaviour;
    }

    /// Changes the time for each request.
    pub fn set_service_time(&self, time: Duration) {
        self.state.lock().service_time = time;
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.state.lock().active
    }

    /// Returns the number of runs started.
    #[must_use]
    pub fn started(&self) -> u64 {
        self.state.lock().started
    }

    /// Stops for a reboot; requests still in flight are recorded as cut.
    pub fn stop(&self) {
        let mut state = self.state.lock();
        state.behaviour = Behaviour::ClosesConnections;
        self.oracle.record_interrupted(state.active as u64);
    }
}

fn handle(request: &mut Request<Body>, state: &Mutex<State>, oracle: &Oracle) -> Response<Body> {
    let token = String::from_utf8_lossy(&server::read_body(request)).into_owned();
    let echo = server::header(request, "nutmegcart-request")
        .unwrap_or("")
        .to_owned();
    let (behaviour, time) = {
        let mut state = state.lock();
        let full = state.active >= SLOTS;
        match state.behaviour {
            Behaviour::ClosesConnections => {
                drop(state);
                server::disconnect()
            }
            Behaviour::ReturnsErrors => return with_echo(server::response(500, "failed"), &echo),
            behaviour if full || behaviour == Behaviour::Draining => {
                return refusal(&echo);
            }
            behaviour => {
                state.active += 1;
                state.started += 1;
                (behaviour, state.service_time)
            }
        }
    };
    oracle.record_start(&token);
    sleep(time);
    oracle.record_finish(&token);
    state.lock().active -= 1;
    reply(behaviour, &token, &echo)
}

fn reply(behaviour: Behaviour, token: &str, echo: &str) -> Response<Body> {
    let text = format!("{token} done");
    match behaviour {
        Behaviour::DropsResponses => server::disconnect(),
        Behaviour::TruncatesResponses => {
            // The body is sent in chunks and the connection ends before the last one.
            let half = text.as_bytes()[..text.len() / 2].to_vec();
            let broken = io::Cursor::new(half).chain(Broken);
            let mut response = server::response(200, "");
            *response.body_mut() = Body::from_read(broken);
            with_echo(response, echo)
        }
        Behaviour::MismatchesResponses => with_echo(server::response(200, text), "another-request"),
        _ => with_echo(server::response(200, text), echo),
    }
}

/// A body that cannot be read; the server closes the connection.
struct Broken;

impl Read for Broken {
    fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}

fn refusal(echo: &str) -> Response<Body> {
    let mut response = with_echo(server::response(503, "refused"), echo);
    let value = "before-start".parse().expect("header value is valid");
    response.headers_mut().insert("nutmegcart-refused", value);
    response
}

fn with_echo(mut response: Response<Body>, echo: &str) -> Response<Body> {
    if let Ok(value) = echo.parse() {
        response.headers_mut().insert("nutmegcart-request", value);
    }
    response
}
