//! Forwarding throughput against a bare pass-through built on the same libraries.

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
use oxhttp::model::Request;
use ureq::Agent;

use crate::measure::Measure;

/// Runners behind each forwarder.
const RUNNERS: usize = 4;

/// Callers, each with one connection.
const CALLERS: usize = 16;

/// Rounds, of which the median counts; both forwarders take turns, since others share the machine.
const ROUNDS: usize = 9;

/// Time of a round for each forwarder.
const ROUND: Duration = Duration::from_millis(600);

/// Longest wait for a call of the platform.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Returns answers per second through the entry instance and through the bare pass-through.
pub fn measures() -> Vec<Measure> {
    let bare = pass_through(runners().iter().map(|runner| runner.address).collect());
    let entry = entry();
    let mut rounds: Vec<(f64, f64)> = (0..ROUNDS)
        .map(|_| (rate(bare), rate(entry.settings.listen)))
        .collect();
    rounds.sort_by(|a, b| (a.1 / a.0).total_cmp(&(b.1 / b.0)));
    let (baseline, current) = rounds[ROUNDS / 2];
    entry.stop_control_loops();
    let name = "forwarding over loopback, against a bare pass-through";
    vec![Measure::new(name, "answers per second", baseline, current)]
}

fn runners() -> Vec<FakeRunner> {
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

/// Starts a server that passes each request on to the next runner.
fn pass_through(runners: Vec<SocketAddr>) -> SocketAddr {
    let agent = client();
    let next = Arc::new(AtomicUsize::new(0));
    server::start(move |request| {
        let address = runners[next.fetch_add(1, Ordering::Relaxed) % runners.len()];
        let body = server::read_body(request);
        let onward = Request::builder()
            .method(request.method().as_str())
            .uri(format!("http://{address}{}", request.uri().path()))
            .header("nutmegcart-request", "1")
            .body(&body[..])
            .expect("request is valid");
        match agent.run(onward) {
            Ok(mut answer) => {
                let body = answer.body_mut().read_to_vec().unwrap_or_default();
                server::response(answer.status().as_u16(), body)
            }
            Err(_) => server::response(502, ""),
        }
    })
}

/// Starts an entry instance that knows the runners of a service.
fn entry() -> Arc<EntryInstance> {
    let platform = FakePlatform::start(Duration::ZERO);
    for runner in runners() {
        platform.add_runner(&runner, &"local".into(), &"rack".into());
    }
    let listen = free_address();
    let settings = EntrySettings::read(|name| match name {
        "listen" => Some(listen.to_string()),
        "platform" => Some(platform.address.to_string()),
        "round-ms" => Some("50".into()),
        _ => None,
    });
    let store = etcd::connect(platform.address, TIMEOUT);
    let fleet = FleetApi::http(platform.address, TIMEOUT);
    let settings = settings.expect("settings are accepted");
    let entry = EntryInstance::start(settings, Incarnation::random(), store, fleet);
    let entry = entry.expect("the entry instance starts");
    let records =
        r#"{"documents":[{"schema":1,"kind":"pool","name":"gates","service":"gates","size":4}]}"#;
    while !call(&client(), listen, "/admin/v1/apply", records.as_bytes()) {
        thread::sleep(ROUND);
    }
    while !call(&client(), listen, "/v1/services/gates/tally", b"0") {
        thread::sleep(Duration::from_millis(20));
    }
    entry
}

fn call(agent: &Agent, address: SocketAddr, path: &str, body: &[u8]) -> bool {
    let request = agent.post(format!("http://{address}{path}"));
    let answer = request.header("nutmegcart-idempotent", "true").send(body);
    answer.is_ok_and(|mut answer| {
        let whole = answer.body_mut().read_to_vec().is_ok();
        whole && answer.status().as_u16() == 200
    })
}

/// Returns whole answers per second.
fn rate(address: SocketAddr) -> f64 {
    let stop = AtomicBool::new(false);
    let answers = AtomicUsize::new(0);
    let start = Instant::now();
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                let agent = client();
                while !stop.load(Ordering::Relaxed) {
                    if call(&agent, address, "/v1/services/gates/tally", b"1") {
                        answers.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
        thread::sleep(ROUND);
        stop.store(true, Ordering::Relaxed);
    });
    answers.into_inner() as f64 / start.elapsed().as_secs_f64()
}
