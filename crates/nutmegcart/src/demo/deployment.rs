//! Deployment of the demo: platform stand-in, runners and entry instances on loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_entry::EntryInstance;
use nutmegcart_entry::EntrySettings;
use nutmegcart_fakes::FakePlatform;
use nutmegcart_fakes::FakeRunner;
use nutmegcart_fakes::Oracle;
use nutmegcart_fakes::server::free_address;
use nutmegcart_http::LocalExecutor;
use nutmegcart_model::Incarnation;
use nutmegcart_platform::FleetApi;
use nutmegcart_platform::etcd;
use serde_json::Value;
use serde_json::json;

/// Services, each with a pool of the same name; the last pool is the spare one.
pub const SERVICES: [&str; 5] = [
    "resort-gates",
    "reef-tours",
    "markets",
    "ferry-arrivals",
    "shared-reporting",
];
/// Number of runners in all data centres.
pub const RUNNER_COUNT: usize = 50;
/// Availability budget of each pool: instances that may be unavailable at the same time.
pub const BUDGET: u32 = 2;
const CENTRES: [&str; 4] = ["suva", "nadi", "labasa", "lautoka"];
const ENTRY_COUNT: usize = 9;
const RUNNERS_PER_RACK: usize = 4;
/// Time that a runner takes for one request.
const REQUEST_DURATION: Duration = Duration::from_millis(120);
/// Time that an instance takes to reboot.
const REBOOT_DURATION: Duration = Duration::from_millis(100);
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);
/// Threads for operators' calls at all entry instances.
const OPERATOR_CALL_THREADS: usize = 8;
/// Attempts to start an entry instance; a start fails if another process took its port.
const START_ATTEMPTS: usize = 20;

/// A running deployment.
pub struct Deployment {
    /// Platform stand-in.
    pub platform: FakePlatform,
    /// Runners, registered with the platform.
    pub runners: Vec<FakeRunner>,
    /// Entry instances, each configured with all others as its peers.
    pub entries: Vec<Arc<EntryInstance>>,
    /// Record of the requests that the runners really ran.
    pub oracle: Oracle,
}

impl Deployment {
    /// Starts all processes of the deployment on loopback, as threads.
    pub fn start() -> Self {
        let oracle = Oracle::default();
        let platform = FakePlatform::start(REBOOT_DURATION);
        let runners: Vec<FakeRunner> = (0..RUNNER_COUNT)
            .map(|index| {
                let runner =
                    FakeRunner::start(format!("runner-{index:02}"), &oracle, REQUEST_DURATION);
                let centre = CENTRES[index % CENTRES.len()];
                let rack = index / CENTRES.len() / RUNNERS_PER_RACK;
                let rack = format!("{centre}-rack-{rack}").as_str().into();
                platform.add_runner(&runner, &centre.into(), &rack);
                runner
            })
            .collect();
        Self {
            entries: start_entries(platform.address),
            platform,
            runners,
            oracle,
        }
    }

    /// Returns the addresses of the entry instances.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .map(|entry| entry.settings.listen)
            .collect()
    }

    /// Returns the number of runners that every entry instance knows to be assigned to a pool.
    pub fn assigned_runners(&self) -> usize {
        let counts = self.entries.iter().map(|entry| {
            let maps = entry.tables.pool_maps.read().clone();
            let list = entry.tables.instances.read().clone();
            let assigned: usize = maps.values().map(|map| map.instances.len()).sum();
            assigned.min(list.instances.len())
        });
        counts.min().unwrap_or(0)
    }

    /// Shuts the last entry instance down gracefully, in the background.
    pub fn shut_down_last(&self) {
        if let Some(entry) = self.entries.last().cloned() {
            std::thread::spawn(move || entry.shut_down());
        }
    }
}

/// Starts all entry instances, each with the addresses of the others as its peers.
fn start_entries(platform: SocketAddr) -> Vec<Arc<EntryInstance>> {
    let addresses: Vec<SocketAddr> = (0..ENTRY_COUNT).map(|_| free_address()).collect();
    let executor = LocalExecutor::start("entries", OPERATOR_CALL_THREADS);
    let executor = executor.expect("a thread can be started");
    let start = |(index, &listen): (usize, &SocketAddr)| {
        let others: Vec<String> = addresses
            .iter()
            .filter(|other| **other != listen)
            .map(ToString::to_string)
            .collect();
        let settings = EntrySettings::read(|name| match name {
            "listen" => Some(listen.to_string()),
            "id" => Some(format!("entry-{index}")),
            "centre" => Some(CENTRES[index % CENTRES.len()].to_owned()),
            "platform" => Some(platform.to_string()),
            "peers" => Some(others.join(",")),
            "round-ms" => Some("100".into()),
            "grace-ms" => Some("300".into()),
            _ => None,
        });
        let settings = settings.expect("demo settings are accepted");
        (0..START_ATTEMPTS)
            .find_map(|_| {
                let store = etcd::connect(platform, PLATFORM_TIMEOUT);
                let fleet = FleetApi::http(platform, PLATFORM_TIMEOUT);
                let incarnation = Incarnation::random();
                let (executor, settings) = (executor.clone(), settings.clone());
                EntryInstance::start_on(executor, settings, incarnation, store, fleet).ok()
            })
            .expect("an entry instance can be started")
    };
    addresses.iter().enumerate().map(start).collect()
}

/// Returns a pool record in schema version 2.
pub fn pool_record(name: &str, spare: bool, size: u32, minimum: u32) -> Value {
    json!({
        "schema": 2, "kind": "pool", "name": name, "service": name,
        "size": size, "spare": spare, "minimum": minimum,
    })
}

/// Returns the records that the demo applies; they use both schema versions.
pub fn records() -> Vec<Value> {
    let mut records = Vec::new();
    for service in SERVICES {
        records.push(pool_record(service, service == "shared-reporting", 10, 0));
        records.push(json!({
            "schema": 1, "kind": "budget", "name": service, "pool": service,
            "unavailable": BUDGET,
        }));
        records.push(json!({
            "schema": 1, "kind": "job", "name": format!("{service}-nightly"), "pool": service,
            "cpu": 2000, "memory": 4096, "tasks": 0,
        }));
    }
    records.push(json!({
        "schema": 2, "kind": "wave", "name": "nightly", "pools": SERVICES, "deadline": 3600,
        "weights": {"buffer": 3.0, "rollout": 1.0, "moves": 1.0},
    }));
    records
}
