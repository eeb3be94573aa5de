//! Load of the demo: callers that send requests through any ready entry instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::thread::sleep;
use std::thread::spawn;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_platform::http::agent_with;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use ureq::Agent;

use crate::demo::deployment::Deployment;
use crate::demo::deployment::SERVICES;

/// Number of callers, each a thread.
const CALLER_COUNT: u64 = 144;
/// Duration of a burst; the services have theirs one after the other.
const BURST_DURATION: Duration = Duration::from_millis(1500);
/// Share of requests that are addressed to the service in its burst; the others go to a
/// random service.
const BURST_SHARE: f64 = 0.8;
/// Mean pause of a caller between two requests in milliseconds.
const MEAN_PAUSE_MS: u64 = 4;
/// Maximum number of times that a caller sends a request whose outcome is unknown.
const MAX_ATTEMPTS: u64 = 8;
/// Pause before a request is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Outcome of a request as reported to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerOutcome {
    /// The complete answer to this request.
    Answered,
    /// A success status with a body that is not the answer to this request.
    WrongAnswer,
    /// Reported as not run, refused by the backend server or invalid.
    Refused,
    /// The outcome is unknown.
    Unknown,
    /// The connection to the entry instance was lost.
    ConnectionLost,
}

/// Record of one request, as seen by its caller.
pub struct RequestRecord {
    /// Unique body of the request, under which the oracle counts its runs.
    pub token: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Outcome reported to the caller.
    pub outcome: CallerOutcome,
    /// Time from the first attempt to the final answer, pauses included.
    pub latency: Duration,
    /// Number of times that the request was sent, under the same idempotency key if it has one.
    pub attempts: u64,
    /// Result code, if the request got no answer of a runner.
    pub code: Option<String>,
}

/// Running callers.
pub struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<RequestRecord>>>,
}

impl Load {
    /// Starts all callers.
    pub fn start(deployment: &Deployment, seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let addresses = deployment.addresses();
        let start = Instant::now();
        let caller = |index: u64| {
            let stop = stop.clone();
            let addresses = addresses.clone();
            let rng = SmallRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(index));
            spawn(move || call_until_stopped(&stop, &addresses, rng, start, index))
        };
        let callers = (0..CALLER_COUNT).map(caller).collect();
        Self { stop, callers }
    }

    /// Stops all callers after their present request and returns the records of all requests.
    pub fn stop(self) -> Vec<RequestRecord> {
        self.stop.store(true, Ordering::Release);
        let results = self.callers.into_iter().map(JoinHandle::join);
        results
            .flat_map(|result| result.expect("a caller does not panic"))
            .collect()
    }
}

/// Sends requests one after the other until `stop` is set.
fn call_until_stopped(
    stop: &AtomicBool,
    addresses: &[SocketAddr],
    mut rng: SmallRng,
    start: Instant,
    caller: u64,
) -> Vec<RequestRecord> {
    let config = Agent::config_builder()
        .timeout_global(Some(CALL_TIMEOUT))
        .http_status_as_error(false)
        .build();
    let agent = agent_with(config);
    let mut requests = Vec::new();
    while !stop.load(Ordering::Acquire) {
        let turn = start.elapsed().as_millis() / BURST_DURATION.as_millis();
        let burst = usize::try_from(turn).unwrap_or(0) % SERVICES.len();
        let service = if rng.random_bool(BURST_SHARE) {
            burst
        } else {
            rng.random_range(0..SERVICES.len())
        };
        let token = format!("caller-{caller}-{}", requests.len());
        let idempotent = rng.random_bool(0.5);
        let sent = Instant::now();
        let mut attempts = 0;
        let (outcome, code) = loop {
            let entry = pick_ready_entry(&agent, addresses, &mut rng);
            let answer = send_request(&agent, entry, SERVICES[service], &token, idempotent, caller);
            attempts += 1;
            // Any entry instance may get the repeat: it has the same idempotency key, or is idempotent.
            if answer.0 != CallerOutcome::Unknown || attempts == MAX_ATTEMPTS {
                break answer;
            }
            sleep(RETRY_PAUSE);
        };
        requests.push(RequestRecord {
            token,
            idempotent,
            outcome,
            latency: sent.elapsed(),
            code,
            attempts,
        });
        sleep(Duration::from_millis(
            rng.random_range(0..2 * MEAN_PAUSE_MS),
        ));
    }
    requests
}

/// Picks a random ready entry instance, as the load balancer of the platform does.
fn pick_ready_entry(agent: &Agent, addresses: &[SocketAddr], rng: &mut SmallRng) -> SocketAddr {
    loop {
        let address = addresses[rng.random_range(0..addresses.len())];
        let ready = agent.get(format!("http://{address}/readyz")).call();
        if ready.is_ok_and(|answer| answer.status().is_success()) {
            return address;
        }
    }
}

/// Sends a request once; returns its outcome and, if it was not answered, its result code.
fn send_request(
    agent: &Agent,
    entry: SocketAddr,
    service: &str,
    token: &str,
    idempotent: bool,
    caller: u64,
) -> (CallerOutcome, Option<String>) {
    let url = format!("http://{entry}/v1/services/{service}/tally");
    let mut request = agent
        .post(url)
        .header("nutmegcart-caller", format!("member-{}", caller % 8))
        .header("nutmegcart-deadline-ms", "5000");
    if idempotent {
        request = request.header("nutmegcart-idempotent", "true");
    } else {
        request = request.header("idempotency-key", token);
    }
    let Ok(mut answer) = request.send(token.as_bytes()) else {
        return (CallerOutcome::ConnectionLost, None);
    };
    let Ok(body) = answer.body_mut().read_to_string() else {
        return (CallerOutcome::ConnectionLost, None);
    };
    if answer.status().is_success() {
        let matches = body == format!("{token} done");
        return (
            if matches {
                CallerOutcome::Answered
            } else {
                CallerOutcome::WrongAnswer
            },
            None,
        );
    }
    let body: Value = serde_json::from_str(&body).unwrap_or_default();
    let outcome = match body["verdict"].as_str() {
        Some("not_run" | "refused_by_backend" | "invalid") => CallerOutcome::Refused,
        _ => CallerOutcome::Unknown,
    };
    (outcome, body["code"].as_str().map(str::to_owned))
}
