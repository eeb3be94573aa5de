//! Forwarding throughput of an entry instance against a bare pass-through with the same libraries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_entry::EntryInstance;
use nutmegcart_entry::EntrySettings;
use nutmegcart_fakes::FakePlatform;
use nutmegcart_fakes::FakeRunner;
use nutmegcart_fakes::Oracle;
use nutmegcart_fakes::server;
use nutmegcart_fakes::server::free_address;
use nutmegcart_model::Incarnation;
use nutmegcart_platform::FleetApi;
use nutmegcart_platform::etcd;
use ureq::Agent;
use ureq::http::Request;

use crate::comparison::Comparison;

/// Runners behind each forwarder.
const RUNNERS: usize = 4;

/// Concurrent callers, each with one connection.
const CALLERS: usize = 16;

/// Rounds of which the median is reported. The forwarders alternate, because other processes share
/// the machine.
const ROUNDS: usize = 9;

/// Duration of a round for each forwarder.
const ROUND_TIME: Duration = Duration::from_millis(600);

/// Longest wait for a call of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);

/// Compares answers per second through the entry instance with those through the pass-through.
pub fn comparisons() -> Vec<Comparison> {
    let pass_through = start_pass_through(
        start_runners()
            .iter()
            .map(|runner| runner.address)
            .collect(),
    );
    let entry = start_entry();
    let mut rounds: Vec<(f64, f64)> = (0..ROUNDS)
        .map(|_| {
            (
                answers_per_second(pass_through),
                answers_per_second(entry.settings.listen),
            )
        })
        .collect();
    rounds.sort_by(|a, b| (a.1 / a.0).total_cmp(&(b.1 / b.0)));
    let (baseline, current) = rounds[ROUNDS / 2];
    entry.stop_control_loops();
    let name = "forwarding over loopback, against a bare pass-through";
    vec![Comparison::new(
        name,
        "answers per second",
        baseline,
        current,
    )]
}

fn start_runners() -> Vec<FakeRunner> {
    let oracle = Oracle::default();
    (0..RUNNERS)
        .map(|index| FakeRunner::start(format!("runner-{index}"), &oracle, Duration::ZERO))
        .collect()
}

fn client() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(CALLERS * RUNNERS)
        .max_idle_connections_per_host(CALLERS)
        .build()
        .into()
}

/// Starts a server that forwards requests to the runners in turn.
fn start_pass_through(runners: Vec<SocketAddr>) -> SocketAddr {
    let agent = client();
    let next = Arc::new(AtomicUsize::new(0));
    server::start(move |request| {
        let address = runners[next.fetch_add(1, Ordering::Relaxed) % runners.len()];
        let body = request.body();
        let forwarded = Request::builder()
            .method(request.method().as_str())
            .uri(format!("http://{address}{}", request.uri().path()))
            .header("nutmegcart-request", "1")
            .body(&body[..])
            .expect("request is valid");
        match agent.run(forwarded) {
            Ok(mut answer) => {
                let body = answer.body_mut().read_to_vec().unwrap_or_default();
                server::response(answer.status().as_u16(), body)
            }
            Err(_) => server::response(502, ""),
        }
    })
}

/// Starts an entry instance and waits until it forwards requests to the runners of a service.
fn start_entry() -> Arc<EntryInstance> {
    let platform = FakePlatform::start(Duration::ZERO);
    for runner in start_runners() {
        platform.add_runner(&runner, &"local".into(), &"rack".into());
    }
    let listen = free_address();
    let settings = EntrySettings::read(|name| match name {
        "listen" => Some(listen.to_string()),
        "platform" => Some(platform.address.to_string()),
        "round-ms" => Some("50".into()),
        _ => None,
    });
    let store = etcd::connect(platform.address, PLATFORM_TIMEOUT);
    let fleet = FleetApi::http(platform.address, PLATFORM_TIMEOUT);
    let settings = settings.expect("settings are accepted");
    let entry = EntryInstance::start(settings, Incarnation::random(), store, fleet);
    let entry = entry.expect("the entry instance starts");
    let records =
        r#"{"documents":[{"schema":1,"kind":"pool","name":"gates","service":"gates","size":4}]}"#;
    while !post_succeeds(&client(), listen, "/admin/v1/apply", records.as_bytes()) {
        thread::sleep(ROUND_TIME);
    }
    while !post_succeeds(&client(), listen, "/v1/services/gates/tally", b"0") {
        thread::sleep(Duration::from_millis(20));
    }
    entry
}

/// Returns whether a request gets a complete answer with status 200.
fn post_succeeds(agent: &Agent, address: SocketAddr, path: &str, body: &[u8]) -> bool {
    let request = agent.post(format!("http://{address}{path}"));
    let answer = request.header("nutmegcart-idempotent", "true").send(body);
    answer.is_ok_and(|mut answer| {
        let complete = answer.body_mut().read_to_vec().is_ok();
        complete && answer.status().as_u16() == 200
    })
}

/// Measures complete, successful answers per second.
fn answers_per_second(address: SocketAddr) -> f64 {
    let stop = AtomicBool::new(false);
    let answers = AtomicUsize::new(0);
    let start = Instant::now();
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                let agent = client();
                while !stop.load(Ordering::Relaxed) {
                    if post_succeeds(&agent, address, "/v1/services/gates/tally", b"1") {
                        answers.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
        thread::sleep(ROUND_TIME);
        stop.store(true, Ordering::Relaxed);
    });
    answers.into_inner() as f64 / start.elapsed().as_secs_f64()
}
