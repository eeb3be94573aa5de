//! Callers that send requests in bursts through any ready entry instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::thread::sleep;
use std::thread::spawn;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use ureq::Agent;

use crate::demo::deployment::Deployment;
use crate::demo::deployment::SERVICES;

/// Callers, as threads.
const CALLERS: u64 = 144;
/// Time for which one service is in its burst.
const BURST: Duration = Duration::from_millis(1500);
/// Share of requests that go to the service in its burst.
const BURST_SHARE: f64 = 0.8;
/// Mean pause of a caller between requests in milliseconds.
const PAUSE_MS: u64 = 4;
/// Times that a caller sends a request whose outcome is unknown.
const TRIES: u64 = 8;
/// Pause before a caller sends it again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_secs(15);

/// What a caller was told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Told {
    /// The whole answer to this request.
    Whole,
    /// A success whose body is not the answer to this request.
    Wrong,
    /// Not run, or refused by the backend server.
    Refused,
    /// The outcome is unknown.
    Unknown,
    /// The connection to the entry instance broke.
    Cut,
}

/// A request as its caller saw it.
pub struct Request {
    /// Token that the runner recorded.
    pub token: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// What the caller was told.
    pub told: Told,
    /// Time to the answer.
    pub time: Duration,
    /// Times that the request was sent, under one key.
    pub tries: u64,
    /// Result code of a request that got no answer of a runner.
    pub code: Option<String>,
}

/// Callers under way.
pub struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<Request>>>,
}

impl Load {
    /// Starts all callers.
    pub fn start(deployment: &Deployment, seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let addresses = deployment.addresses();
        let begin = Instant::now();
        let caller = |index: u64| {
            let stop = stop.clone();
            let addresses = addresses.clone();
            let rng = SmallRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(index));
            spawn(move || call_until(&stop, &addresses, rng, begin, index))
        };
        let callers = (0..CALLERS).map(caller).collect();
        Self { stop, callers }
    }

    /// Stops all callers and returns their requests.
    pub fn stop(self) -> Vec<Request> {
        self.stop.store(true, Ordering::Release);
        let results = self.callers.into_iter().map(JoinHandle::join);
        results
            .flat_map(|result| result.expect("a caller does not panic"))
            .collect()
    }
}

fn call_until(
    stop: &AtomicBool,
    addresses: &[SocketAddr],
    mut rng: SmallRng,
    begin: Instant,
    caller: u64,
) -> Vec<Request> {
    let agent: Agent = Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build()
        .into();
    let mut requests = Vec::new();
    while !stop.load(Ordering::Acquire) {
        let turn = begin.elapsed().as_millis() / BURST.as_millis();
        let burst = usize::try_from(turn).unwrap_or(0) % SERVICES.len();
        let service = if rng.random_bool(BURST_SHARE) {
            burst
        } else {
            rng.random_range(0..SERVICES.len())
        };
        let token = format!("caller-{caller}-{}", requests.len());
        let idempotent = rng.random_bool(0.5);
        let sent = Instant::now();
        let mut tries = 0;
        let (told, code) = loop {
            let entry = balance(&agent, addresses, &mut rng);
            let answer = call(&agent, entry, SERVICES[service], &token, idempotent, caller);
            tries += 1;
            // Any entry instance may be asked again under the same key.
            if answer.0 != Told::Unknown || tries == TRIES {
                break answer;
            }
            sleep(RETRY_PAUSE);
        };
        requests.push(Request {
            token,
            idempotent,
            told,
            time: sent.elapsed(),
            code,
            tries,
        });
        sleep(Duration::from_millis(rng.random_range(0..2 * PAUSE_MS)));
    }
    requests
}

/// Picks a ready entry instance, as the platform's balancer does.
fn balance(agent: &Agent, addresses: &[SocketAddr], rng: &mut SmallRng) -> SocketAddr {
    loop {
        let address = addresses[rng.random_range(0..addresses.len())];
        let ready = agent.get(format!("http://{address}/readyz")).call();
        if ready.is_ok_and(|answer| answer.status().is_success()) {
            return address;
        }
    }
}

fn call(
    agent: &Agent,
    entry: SocketAddr,
    service: &str,
    token: &str,
    idempotent: bool,
    caller: u64,
) -> (Told, Option<String>) {
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
        return (Told::Cut, None);
    };
    let Ok(body) = answer.body_mut().read_to_string() else {
        return (Told::Cut, None);
    };
    if answer.status().is_success() {
        let whole = body == format!("{token} done");
        return (if whole { Told::Whole } else { Told::Wrong }, None);
    }
    let body: Value = serde_json::from_str(&body).unwrap_or_default();
    let told = match body["verdict"].as_str() {
        Some("not_run" | "refused_by_backend" | "invalid") => Told::Refused,
        _ => Told::Unknown,
    };
    (told, body["code"].as_str().map(str::to_owned))
}
