//! A fake platform: store, instance list and instance operations, over HTTP on loopback.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_model::DataCentre;
use nutmegcart_model::InstanceId;
use nutmegcart_model::Rack;
use nutmegcart_platform::Instance;
use nutmegcart_platform::InstanceState;
use nutmegcart_platform::MemoryStore;
use nutmegcart_platform::Role;
use nutmegcart_platform::fleet_api::OperationBody;
use parking_lot::Mutex;
use tokio::task::JoinError;
use tokio::task::spawn_blocking;

use crate::faulty_store::FaultyStore;
use crate::list_log::ListLog;
use crate::runner::Behaviour;
use crate::runner::FakeRunner;
use crate::server;
use crate::server::Request;
use crate::server::Response;
use crate::store_api;

/// Writes that the platform's store accepts per second.
const WRITE_RATE: u32 = 400;
/// Other calls that the platform's store accepts per second.
const READ_RATE: u32 = 2000;

/// Faults of the platform; the default has none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PlatformFaults {
    /// The store closes every connection.
    pub store_down: bool,
    /// The instance list closes every connection.
    pub list_down: bool,
    /// The instance list accepts connections and does not respond until this is switched off.
    pub list_hangs: bool,
    /// Age of the state that the instance list shows.
    pub list_lag: Duration,
    /// Instances missing from the list.
    pub hidden: BTreeSet<InstanceId>,
    /// Time added to each store call.
    pub latency: Duration,
    /// Number of next transactions whose response is lost after they took effect.
    pub lost_responses: u32,
}

/// A fake platform on loopback; clones share it.
#[derive(Clone)]
pub struct FakePlatform {
    /// Address of the store, the instance list and the instance operations.
    pub address: SocketAddr,
    /// Contents of the store, accessible without limits and faults.
    pub store: MemoryStore,
    /// The store with its rate limits and faults.
    pub faulty_store: FaultyStore,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    faults: PlatformFaults,
    entries: BTreeMap<InstanceId, InstanceEntry>,
    /// Executed operations, as verb and operation identifier.
    operations: BTreeSet<String>,
    reboot_time: Duration,
    list: ListLog,
    /// Lists that later changes replaced, with the time of the change.
    past_lists: VecDeque<(Instant, Vec<Instance>)>,
}

/// Number of past lists kept for a list that lags.
const MAX_PAST_LISTS: usize = 256;

struct InstanceEntry {
    instance: Instance,
    runner: Option<FakeRunner>,
}

impl FakePlatform {
    /// Starts a platform on which an instance takes `reboot_time` to reboot.
    #[must_use]
    pub fn start(reboot_time: Duration) -> Self {
        let faulty = FaultyStore::default();
        faulty.set_faults(|faults| {
            (faults.write_rate, faults.read_rate) = (WRITE_RATE, READ_RATE);
        });
        let state = Arc::new(Mutex::new(State {
            reboot_time,
            ..State::default()
        }));
        let start = Instant::now();
        let handler_store = faulty.clone();
        let handler_state = state.clone();
        let address = server::start_async(move |request| {
            let (store, state) = (handler_store.clone(), handler_state.clone());
            async move {
                store.set_clock(start.elapsed());
                Ok(handle(request, store, &state).await?)
            }
        });
        Self {
            address,
            store: faulty.memory.clone(),
            faulty_store: faulty,
            state,
        }
    }

    /// Adds a runner to the instance list as a live instance.
    pub fn add_runner(&self, runner: &FakeRunner, centre: &DataCentre, rack: &Rack) {
        let instance = Instance {
            id: runner.id.clone(),
            role: Role::Runner,
            address: runner.address,
            centre: centre.clone(),
            rack: rack.clone(),
            state: InstanceState::Live,
            age_ms: 0,
            boots: 0,
        };
        let entry = InstanceEntry {
            instance,
            runner: Some(runner.clone()),
        };
        let mut state = self.state.lock();
        state.save_list();
        state.entries.insert(runner.id.clone(), entry);
    }

    /// Changes the faults for all further requests.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        let mut state = self.state.lock();
        let store = self.faulty_store.faults();
        let faults = &mut state.faults;
        faults.lost_responses = store.lost_responses;
        change(faults);
        self.faulty_store.set_faults(|store| {
            store.down = faults.store_down;
            store.latency = faults.latency;
            store.lost_responses = faults.lost_responses;
        });
    }

    /// Changes the state of an instance in the list without an operation, as a failure does.
    pub fn set_state(&self, id: &str, state: InstanceState) {
        let mut shared = self.state.lock();
        shared.save_list();
        if let Some(entry) = shared.entries.get_mut(id) {
            entry.instance.state = state;
        }
    }

    /// Sets the age of the last report from an instance.
    pub fn set_age(&self, id: &str, age_ms: u64) {
        if let Some(entry) = self.state.lock().entries.get_mut(id) {
            entry.instance.age_ms = age_ms;
        }
    }

    /// Returns the current instance list without faults.
    #[must_use]
    pub fn instances(&self) -> Vec<Instance> {
        self.state.lock().instances()
    }

    /// Returns the number of store calls so far; a watch counts once, however long it waits.
    #[must_use]
    pub fn store_calls(&self) -> u64 {
        let calls = self.faulty_store.calls();
        calls.writes + calls.reads
    }
}

impl State {
    fn instances(&self) -> Vec<Instance> {
        let entries = self.entries.values();
        entries.map(|entry| entry.instance.clone()).collect()
    }

    /// Saves the current list; must be called before an instance is added or changes its state.
    fn save_list(&mut self) {
        let list = self.instances();
        self.past_lists.push_back((Instant::now(), list));
        if self.past_lists.len() > MAX_PAST_LISTS {
            self.past_lists.pop_front();
        }
    }

    /// Returns the list under the current faults.
    fn visible_instances(&self) -> Vec<Instance> {
        let lag = self.faults.list_lag;
        // The list at a past time is the one that the first later change replaced.
        let past = self.past_lists.iter().find(|past| past.0.elapsed() < lag);
        let mut list = past.map_or_else(|| self.instances(), |past| past.1.clone());
        list.retain(|instance| !self.faults.hidden.contains(&instance.id));
        for instance in &mut list {
            instance.age_ms += u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
        }
        list
    }
}

type Shared = Arc<Mutex<State>>;

/// Interval at which a draining instance is checked for requests in flight.
const DRAIN_CHECK_PERIOD: Duration = Duration::from_millis(5);
/// Interval at which a hanging request checks whether the fault is switched off.
const HANG_CHECK_PERIOD: Duration = Duration::from_millis(5);

async fn handle(
    request: Request,
    store: FaultyStore,
    state: &Shared,
) -> Result<Response, JoinError> {
    let path = request.uri().path().to_owned();
    if path.starts_with("/v3/") {
        let call = move || {
            let path = request.uri().path().trim_start_matches("/v3/");
            store_api::handle(path, request.body(), &store)
        };
        // A slow store blocks its thread.
        return if state.lock().faults.latency.is_zero() {
            Ok(call())
        } else {
            spawn_blocking(call).await
        };
    }
    while state.lock().faults.list_hangs {
        tokio::time::sleep(HANG_CHECK_PERIOD).await;
    }
    Ok(handle_list(&request, state))
}

/// Handles a call of the instance list or an operation on an instance.
fn handle_list(request: &Request, state: &Shared) -> Response {
    let path = request.uri().path();
    let body = request.body();
    if state.lock().faults.list_down {
        server::disconnect();
    }
    if path == "/v1/instances" {
        return list(state, request.uri().query());
    }
    let parts: Vec<&str> = path.split('/').collect();
    let ["", "v1", "instances", id, verb] = parts[..] else {
        return server::response(404, "no such path");
    };
    let Ok(body) = serde_json::from_slice::<OperationBody>(body) else {
        return server::response(400, "no operation identifier");
    };
    execute_operation(state, id, verb, &body.operation)
}

/// Handles a list request; the query `since=<version>` requests only later changes.
fn list(state: &Shared, query: Option<&str>) -> Response {
    let since = query.and_then(|query| query.strip_prefix("since="));
    let since = since.and_then(|version| version.parse().ok()).unwrap_or(0);
    let mut state = state.lock();
    let current = state.visible_instances();
    let list = serde_json::to_vec(&state.list.since(since, current));
    server::response(200, list.expect("list is serialisable"))
}

/// Executes drain, reboot or restore; a repeated operation identifier has no further effect.
fn execute_operation(shared: &Shared, id: &str, verb: &str, operation: &str) -> Response {
    let mut state = shared.lock();
    let repeated = state.operations.contains(&format!("{verb} {operation}"));
    let reboot_time = state.reboot_time;
    state.save_list();
    let Some(entry) = state.entries.get_mut(id) else {
        return server::response(404, "no such instance");
    };
    if repeated {
        return server::response(200, "{}");
    }
    match (verb, entry.instance.state) {
        ("drain", InstanceState::Live) => {
            entry.instance.state = InstanceState::Leaving;
            if let Some(runner) = &entry.runner {
                runner.set_behaviour(Behaviour::Draining);
            }
            let shared = shared.clone();
            let id = InstanceId::from(id);
            server::spawn(move || async move { finish_drain(&shared, &id).await });
        }
        ("reboot", InstanceState::Drained) => {
            entry.instance.state = InstanceState::Rebooting;
            if let Some(runner) = &entry.runner {
                runner.stop();
            }
            let shared = shared.clone();
            let id = InstanceId::from(id);
            server::spawn(move || async move { finish_reboot(&shared, &id, reboot_time).await });
        }
        ("restore", InstanceState::Leaving | InstanceState::Drained) => {
            entry.instance.state = InstanceState::Live;
            if let Some(runner) = &entry.runner {
                runner.set_behaviour(Behaviour::Healthy);
            }
        }
        _ => return server::response(409, "the instance's state does not allow it"),
    }
    state.operations.insert(format!("{verb} {operation}"));
    server::response(200, "{}")
}

async fn finish_drain(shared: &Shared, id: &InstanceId) {
    loop {
        tokio::time::sleep(DRAIN_CHECK_PERIOD).await;
        let mut state = shared.lock();
        let Some(entry) = state.entries.get_mut(id) else {
            return;
        };
        if entry.instance.state != InstanceState::Leaving {
            return;
        }
        if entry
            .runner
            .as_ref()
            .is_none_or(|runner| runner.in_flight() == 0)
        {
            state.save_list();
            if let Some(entry) = state.entries.get_mut(id) {
                entry.instance.state = InstanceState::Drained;
            }
            return;
        }
    }
}

async fn finish_reboot(shared: &Shared, id: &InstanceId, time: Duration) {
    tokio::time::sleep(time).await;
    let mut state = shared.lock();
    state.save_list();
    if let Some(entry) = state.entries.get_mut(id) {
        entry.instance.state = InstanceState::Live;
        entry.instance.boots += 1;
        if let Some(runner) = &entry.runner {
            runner.set_behaviour(Behaviour::Healthy);
        }
    }
}
