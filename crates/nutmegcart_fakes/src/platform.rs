//! The platform: store, instance list, drain and reboot, over HTTP on loopback.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::sleep;
use std::thread::spawn;
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
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::Response;
use parking_lot::Mutex;

use crate::list_log::ListLog;
use crate::runner::Behaviour;
use crate::runner::FakeRunner;
use crate::server;
use crate::store_api;
use crate::store_faults::FaultyStore;

/// Writes a second that the store takes.
const WRITE_RATE: u32 = 400;
/// Other calls a second that the store takes.
const READ_RATE: u32 = 2000;

/// Faults of the platform, switchable at any time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PlatformFaults {
    /// The store closes every connection.
    pub store_down: bool,
    /// The instance list closes every connection.
    pub list_down: bool,
    /// The instance list accepts connections and answers only when this is switched off.
    pub list_hangs: bool,
    /// Time by which the instance list lags behind.
    pub list_lag: Duration,
    /// Instances that the list leaves out.
    pub hidden: BTreeSet<InstanceId>,
    /// Delay of each store call.
    pub latency: Duration,
    /// Number of transactions to come whose answer is lost after the write took effect.
    pub lost_responses: u32,
}

/// The platform's stand-in; clones share it.
#[derive(Clone)]
pub struct FakePlatform {
    /// Address of store and instance list.
    pub address: SocketAddr,
    /// Contents of the store.
    pub store: MemoryStore,
    /// The store with its rates and faults.
    pub faulty_store: FaultyStore,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    faults: PlatformFaults,
    machines: BTreeMap<InstanceId, Machine>,
    operations: BTreeSet<String>,
    reboot: Duration,
    list: ListLog,
    /// The list as it was after each change, for a list that lags.
    past: VecDeque<(Instant, Vec<Instance>)>,
}

/// Past lists that are kept.
const PAST_LISTS: usize = 256;

struct Machine {
    instance: Instance,
    runner: Option<FakeRunner>,
}

impl FakePlatform {
    /// Starts a platform whose reboots take the given time.
    #[must_use]
    pub fn start(reboot: Duration) -> Self {
        let faulty = FaultyStore::default();
        faulty.set_faults(|faults| {
            (faults.write_rate, faults.read_rate) = (WRITE_RATE, READ_RATE);
        });
        let state = Arc::new(Mutex::new(State {
            reboot,
            ..State::default()
        }));
        let start = Instant::now();
        let handler_store = faulty.clone();
        let handler_state = state.clone();
        let address = server::start(move |request| {
            handler_store.set_clock(start.elapsed());
            handle(request, &handler_store, &handler_state)
        });
        Self {
            address,
            store: faulty.memory.clone(),
            faulty_store: faulty,
            state,
        }
    }

    /// Adds a runner to the instance list.
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
        let machine = Machine {
            instance,
            runner: Some(runner.clone()),
        };
        let mut state = self.state.lock();
        state.record();
        state.machines.insert(runner.id.clone(), machine);
    }

    /// Changes the faults in force.
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

    /// Changes the state of an instance in the list, as a failure would.
    pub fn set_state(&self, id: &str, state: InstanceState) {
        let mut shared = self.state.lock();
        shared.record();
        if let Some(machine) = shared.machines.get_mut(id) {
            machine.instance.state = state;
        }
    }

    /// Lets the platform's knowledge of an instance age, as if the instance were silent.
    pub fn set_age(&self, id: &str, age_ms: u64) {
        if let Some(machine) = self.state.lock().machines.get_mut(id) {
            machine.instance.age_ms = age_ms;
        }
    }

    /// Returns the instance list without lag.
    #[must_use]
    pub fn instances(&self) -> Vec<Instance> {
        self.state.lock().instances()
    }

    /// Returns the number of store calls so far; a waiting watch counts as one.
    #[must_use]
    pub fn store_calls(&self) -> u64 {
        let calls = self.faulty_store.calls();
        calls.writes + calls.reads
    }
}

impl State {
    fn instances(&self) -> Vec<Instance> {
        let machines = self.machines.values();
        machines.map(|machine| machine.instance.clone()).collect()
    }

    /// Keeps the present list; called before each change.
    fn record(&mut self) {
        let list = self.instances();
        self.past.push_back((Instant::now(), list));
        if self.past.len() > PAST_LISTS {
            self.past.pop_front();
        }
    }

    /// Returns the list as callers see it.
    fn listed(&self) -> Vec<Instance> {
        let lag = self.faults.list_lag;
        // The list at a past time is what the first change after that time replaced.
        let past = self.past.iter().find(|past| past.0.elapsed() < lag);
        let mut list = past.map_or_else(|| self.instances(), |past| past.1.clone());
        list.retain(|instance| !self.faults.hidden.contains(&instance.id));
        for instance in &mut list {
            instance.age_ms += u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
        }
        list
    }
}

type Shared = Arc<Mutex<State>>;

/// Interval at which a silent list looks whether it may answer.
const SILENCE: Duration = Duration::from_millis(5);

fn handle(request: &mut Request<Body>, store: &FaultyStore, state: &Shared) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let body = server::read_body(request);
    if let Some(call) = path.strip_prefix("/v3/") {
        return store_api::handle(call, &body, store);
    }
    while state.lock().faults.list_hangs {
        sleep(SILENCE);
    }
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
    let Ok(body) = serde_json::from_slice::<OperationBody>(&body) else {
        return server::response(400, "no operation identifier");
    };
    act(state, id, verb, &body.operation)
}

/// Answers the list call; `since=<version>` asks for changes only.
fn list(state: &Shared, query: Option<&str>) -> Response<Body> {
    let since = query.and_then(|query| query.strip_prefix("since="));
    let since = since.and_then(|version| version.parse().ok()).unwrap_or(0);
    let mut state = state.lock();
    let present = state.listed();
    let list = serde_json::to_vec(&state.list.since(since, present));
    server::response(200, list.expect("list is serialisable"))
}

/// Carries out drain, reboot or restore; a repeated operation identifier changes nothing.
fn act(shared: &Shared, id: &str, verb: &str, operation: &str) -> Response<Body> {
    let mut state = shared.lock();
    let repeated = state.operations.contains(&format!("{verb} {operation}"));
    let reboot = state.reboot;
    state.record();
    let Some(machine) = state.machines.get_mut(id) else {
        return server::response(404, "no such instance");
    };
    if repeated {
        return server::response(200, "{}");
    }
    match (verb, machine.instance.state) {
        ("drain", InstanceState::Live) => {
            machine.instance.state = InstanceState::Leaving;
            if let Some(runner) = &machine.runner {
                runner.set_behaviour(Behaviour::Draining);
            }
            let shared = shared.clone();
            let id = InstanceId::from(id);
            spawn(move || finish_drain(&shared, &id));
        }
        ("reboot", InstanceState::Drained) => {
            machine.instance.state = InstanceState::Rebooting;
            if let Some(runner) = &machine.runner {
                runner.stop();
            }
            let shared = shared.clone();
            let id = InstanceId::from(id);
            spawn(move || finish_reboot(&shared, &id, reboot));
        }
        ("restore", InstanceState::Leaving | InstanceState::Drained) => {
            machine.instance.state = InstanceState::Live;
            if let Some(runner) = &machine.runner {
                runner.set_behaviour(Behaviour::Healthy);
            }
        }
        _ => return server::response(409, "the instance's state does not allow it"),
    }
    state.operations.insert(format!("{verb} {operation}"));
    server::response(200, "{}")
}

fn finish_drain(shared: &Shared, id: &InstanceId) {
    loop {
        sleep(Duration::from_millis(2));
        let mut state = shared.lock();
        let Some(machine) = state.machines.get_mut(id) else {
            return;
        };
        if machine.instance.state != InstanceState::Leaving {
            return;
        }
        if machine
            .runner
            .as_ref()
            .is_none_or(|runner| runner.in_flight() == 0)
        {
            state.record();
            if let Some(machine) = state.machines.get_mut(id) {
                machine.instance.state = InstanceState::Drained;
            }
            return;
        }
    }
}

fn finish_reboot(shared: &Shared, id: &InstanceId, time: Duration) {
    sleep(time);
    let mut state = shared.lock();
    state.record();
    if let Some(machine) = state.machines.get_mut(id) {
        machine.instance.state = InstanceState::Live;
        machine.instance.boots += 1;
        if let Some(runner) = &machine.runner {
            runner.set_behaviour(Behaviour::Healthy);
        }
    }
}
