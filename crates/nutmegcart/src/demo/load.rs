//! Load of the demo: callers that send requests through any ready entry instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_http::HttpClient;
use nutmegcart_http::LocalExecutor;
use nutmegcart_http::request;
use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use serde_json::Value;
use tokio::time::sleep;

use crate::demo::deployment::Deployment;
use crate::demo::deployment::SERVICES;

/// Number of callers, each with one request at a time.
const CALLER_COUNT: u64 = 100;
/// Duration of a burst; the services have theirs one after the other.
const BURST_DURATION: Duration = Duration::from_millis(1500);
/// Share of requests that are addressed to the service in its burst; the others go to a
/// random service.
const BURST_SHARE: f64 = 0.8;
/// Mean pause of a caller between two requests in milliseconds.
const MEAN_PAUSE_MS: u64 = 80;
/// Maximum number of times that a caller sends a request whose outcome is unknown.
const MAX_ATTEMPTS: u64 = 8;
/// Pause before a request is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which the load balancer probes the readiness of each entry instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
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
    records: Receiver<Vec<RequestRecord>>,
    /// Thread on which the callers run.
    _executor: LocalExecutor,
}

impl Load {
    /// Starts all callers.
    ///
    /// # Errors
    ///
    /// Fails if the thread of the callers cannot be started.
    pub fn start(deployment: &Deployment, seed: u64) -> std::io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let (sender, records) = mpsc::channel();
        let start = Instant::now();
        let executor = LocalExecutor::start("callers", 1)?;
        let ready = Arc::new(Mutex::new(Vec::new()));
        let (balancer, probed) = (ready.clone(), deployment.addresses());
        executor.spawn(move || async move { probe_entries(&probed, &balancer).await });
        for index in 0..CALLER_COUNT {
            let (stop, sender, ready) = (stop.clone(), sender.clone(), ready.clone());
            let rng = SmallRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(index));
            executor.spawn(move || async move {
                let records = call_until_stopped(&stop, &ready, rng, start, index).await;
                // The receiver is there until every caller has stopped.
                let _ = sender.send(records);
            });
        }
        Ok(Self {
            stop,
            records,
            _executor: executor,
        })
    }

    /// Stops all callers after their present request and returns the records of all requests.
    pub fn stop(self) -> Vec<RequestRecord> {
        self.stop.store(true, Ordering::Release);
        self.records.into_iter().flatten().collect()
    }
}

/// Sends requests one after the other until `stop` is set.
async fn call_until_stopped(
    stop: &AtomicBool,
    ready: &Mutex<Vec<SocketAddr>>,
    mut rng: SmallRng,
    start: Instant,
    caller: u64,
) -> Vec<RequestRecord> {
    let client = HttpClient::default();
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
            let entry = pick_ready_entry(ready, &mut rng).await;
            let answer = send_request(
                &client,
                entry,
                SERVICES[service],
                &token,
                idempotent,
                caller,
            )
            .await;
            attempts += 1;
            // Any entry instance may get the repeat: it has the same idempotency key, or is idempotent.
            if answer.0 != CallerOutcome::Unknown || attempts == MAX_ATTEMPTS {
                break answer;
            }
            sleep(RETRY_PAUSE).await;
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
        ))
        .await;
    }
    requests
}

/// Keeps the list of ready entry instances, as the load balancer of the platform does.
async fn probe_entries(addresses: &[SocketAddr], ready: &Mutex<Vec<SocketAddr>>) {
    let client = HttpClient::default();
    loop {
        let mut found = Vec::new();
        for &address in addresses {
            let probe = request("GET", "/readyz", &[("host", "demo")], "".into());
            let answer = client.call(address, probe, PROBE_INTERVAL).await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                found.push(address);
            }
        }
        *ready.lock() = found;
        sleep(PROBE_INTERVAL).await;
    }
}

/// Picks a random ready entry instance; waits until there is one.
async fn pick_ready_entry(ready: &Mutex<Vec<SocketAddr>>, rng: &mut SmallRng) -> SocketAddr {
    loop {
        if let Some(&entry) = ready.lock().choose(rng) {
            return entry;
        }
        sleep(PROBE_INTERVAL).await;
    }
}

/// Sends a request once; returns its outcome and, if it was not answered, its result code.
async fn send_request(
    client: &HttpClient,
    entry: SocketAddr,
    service: &str,
    token: &str,
    idempotent: bool,
    caller: u64,
) -> (CallerOutcome, Option<String>) {
    let path = format!("/v1/services/{service}/tally");
    let member = format!("member-{}", caller % 8);
    let identity = if idempotent {
        ("nutmegcart-idempotent", "true")
    } else {
        ("idempotency-key", token)
    };
    let headers = [
        ("host", "demo"),
        ("nutmegcart-caller", member.as_str()),
        ("nutmegcart-deadline-ms", "5000"),
        identity,
    ];
    let sent = request("POST", &path, &headers, token.to_owned().into());
    let Ok(answer) = client.call(entry, sent, CALL_TIMEOUT).await else {
        return (CallerOutcome::ConnectionLost, None);
    };
    let body = String::from_utf8_lossy(answer.body());
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
