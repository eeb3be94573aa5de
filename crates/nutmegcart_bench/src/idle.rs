//! Cost of idle entry instances, and the size of their heartbeats.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use cpu_time::ProcessTime;
use nutmegcart_config::ConfigReport;
use nutmegcart_config::Generation;
use nutmegcart_entry::EntryInstance;
use nutmegcart_entry::EntrySettings;
use nutmegcart_fakes::FakePlatform;
use nutmegcart_fakes::FakeRunner;
use nutmegcart_fakes::Oracle;
use nutmegcart_fakes::server::free_address;
use nutmegcart_model::Incarnation;
use nutmegcart_peer::Heartbeat;
use nutmegcart_peer::PeerIdentity;
use nutmegcart_peer::message;
use nutmegcart_platform::FleetApi;
use nutmegcart_platform::etcd;
use nutmegcart_request::load::LoadReport;

use crate::linear_fit::LinearFit;

/// Numbers of entry instances that are measured; the last is that of a deployment.
const ENTRY_COUNTS: [usize; 3] = [3, 6, 9];
/// Numbers of runners with requests in flight: none, today's number, and that of one of eight data
/// centres with 275 pools of 10 runners.
const ACTIVE_RUNNER_COUNTS: [usize; 3] = [0, 50, 344];
/// Runners in the instance list during the idle measurement.
const RUNNERS: usize = 20;
const CENTRES: usize = 4;
/// Longest wait for a call of the platform; also the wait for the control loops to end.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the start in which caches, watches and leases reach a steady state.
const WARM_UP: Duration = Duration::from_secs(3);
const MEASUREMENT_TIME: Duration = Duration::from_secs(5);

fn heartbeat_bytes(active: usize) -> f64 {
    let sender = PeerIdentity {
        id: "entry-1".into(),
        incarnation: Incarnation(u64::MAX),
        centre: "centre-1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 8080)),
    };
    let runners = (0..active).map(|index| (format!("runner-{index:04}").as_str().into(), 8));
    let heartbeat = Heartbeat {
        sender,
        generation: Generation(1_000_000),
        report: ConfigReport::default(),
        draining: false,
        roster: nutmegcart_request::RosterVersion::default(),
        newer_roster: None,
        load: LoadReport {
            in_flight: runners.collect(),
            leaving: Vec::new(),
        },
    };
    message::encode(&heartbeat).len() as f64
}

fn start_entry(
    platform: SocketAddr,
    listen: SocketAddr,
    index: usize,
    all: &[SocketAddr],
) -> Arc<EntryInstance> {
    let others: Vec<String> = all
        .iter()
        .filter(|other| **other != listen)
        .map(ToString::to_string)
        .collect();
    let settings = EntrySettings::read(|name| match name {
        "listen" => Some(listen.to_string()),
        "id" => Some(format!("entry-{index}")),
        "centre" => Some(format!("centre-{}", index % CENTRES)),
        "platform" => Some(platform.to_string()),
        "peers" => Some(others.join(",")),
        _ => None,
    });
    let (store, fleet) = (
        etcd::connect(platform, PLATFORM_TIMEOUT),
        FleetApi::http(platform, PLATFORM_TIMEOUT),
    );
    let settings = settings.expect("settings are accepted");
    EntryInstance::start(settings, Incarnation::random(), store, fleet)
        .expect("the instance starts")
}

/// Returns store calls per second, and CPU seconds per second including those of the stand-ins for
/// platform and runners.
fn idle_cost(entries: usize) -> (f64, f64) {
    let platform = FakePlatform::start(Duration::from_secs(1));
    let oracle = Oracle::default();
    for index in 0..RUNNERS {
        let runner = FakeRunner::start(format!("runner-{index}"), &oracle, Duration::ZERO);
        let centre = format!("centre-{}", index % CENTRES).as_str().into();
        platform.add_runner(&runner, &centre, &format!("rack-{index}").as_str().into());
    }
    let all: Vec<SocketAddr> = (0..entries).map(|_| free_address()).collect();
    let started: Vec<Arc<EntryInstance>> = all
        .iter()
        .enumerate()
        .map(|(index, listen)| start_entry(platform.address, *listen, index, &all))
        .collect();
    sleep(WARM_UP);
    let (calls, cpu_time, start) = (platform.store_calls(), ProcessTime::now(), Instant::now());
    sleep(MEASUREMENT_TIME);
    let seconds = start.elapsed().as_secs_f64();
    let call_rate = (platform.store_calls() - calls) as f64 / seconds;
    let cpu_share = cpu_time.elapsed().as_secs_f64() / seconds;
    for entry in started {
        entry.stop_control_loops();
    }
    // The control loops end within a round; wait so that the next measurement does not count them.
    sleep(PLATFORM_TIMEOUT);
    (call_rate, cpu_share)
}

/// Returns the idle cost over the number of entry instances, and the heartbeat size over the number
/// of runners with requests in flight.
pub fn fits() -> Vec<LinearFit> {
    let measured = ENTRY_COUNTS.map(|entries| (entries as f64, idle_cost(entries)));
    let points =
        |field: fn((f64, f64)) -> f64| measured.map(|(size, cost)| (size, field(cost))).to_vec();
    let heartbeats = ACTIVE_RUNNER_COUNTS.map(|active| (active as f64, heartbeat_bytes(active)));
    vec![
        LinearFit::fit(
            "idle: store calls a second",
            "calls/s",
            "entry",
            points(|cost| cost.0),
            9.0,
        ),
        LinearFit::fit(
            "idle: processor share, with stand-ins",
            "% of a core",
            "entry",
            points(|cost| cost.1 * 100.0),
            9.0,
        ),
        LinearFit::fit("heartbeat", "bytes", "runner", heartbeats.to_vec(), 344.0),
    ]
}
