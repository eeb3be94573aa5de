//! The platform: store, instance list, drain and reboot, over HTTP on loopback.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::sleep;
use std::thread::spawn;
use std::time::Duration;

use nutmegcart_model::DataCentre;
use nutmegcart_model::InstanceId;
use nutmegcart_model::Rack;
use nutmegcart_platform::Instance;
use nutmegcart_platform::InstanceState;
use nutmegcart_platform::MemoryStore;
use nutmegcart_platform::Role;
use nutmegcart_platform::fleet::OperationBody;
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::Response;
use parking_lot::Mutex;

use crate::list_log::ListLog;
use crate::runner::Behaviour;
use crate::runner::Runner;
use crate::server;
use crate::store_api;

/// Faults of the platform, switchable at any time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// The store closes every connection.
    pub store_down: bool,
    /// The instance list closes every connection.
    pub list_down: bool,
    /// Delay of each store call.
    pub slow: Duration,
    /// Number of transactions to come whose answer is lost after the write took effect.
    pub lose_answers: u32,
}

/// The platform's stand-in; clones share it.
#[derive(Clone)]
pub struct Platform {
    /// Address of store and instance list.
    pub address: SocketAddr,
    /// Contents of the store.
    pub store: MemoryStore,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    faults: Faults,
    machines: BTreeMap<InstanceId, Machine>,
    operations: BTreeSet<String>,
    reboot: Duration,
    store_calls: u64,
    list: ListLog,
}

struct Machine {
    instance: Instance,
    runner: Option<Runner>,
}

impl Platform {
    /// Starts a platform whose reboots take the given time.
    #[must_use]
    pub fn start(reboot: Duration) -> Self {
        let store = MemoryStore::default();
        let state = Arc::new(Mutex::new(State {
            reboot,
            ..State::default()
        }));
        let handler_store = store.clone();
        let handler_state = state.clone();
        let address = server::start(move |request| handle(request, &handler_store, &handler_state));
        Self {
            address,
            store,
            state,
        }
    }

    /// Adds a runner to the instance list.
    pub fn add_runner(&self, runner: &Runner, centre: &DataCentre, rack: &Rack) {
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
        self.state
            .lock()
            .machines
            .insert(runner.id.clone(), machine);
    }

    /// Changes the faults in force.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.state.lock().faults);
    }

    /// Changes the state of an instance in the list, as a failure would.
    pub fn set_state(&self, id: &str, state: InstanceState) {
        if let Some(machine) = self.state.lock().machines.get_mut(id) {
            machine.instance.state = state;
        }
    }

    /// Returns the instance list without lag.
    #[must_use]
    pub fn instances(&self) -> Vec<Instance> {
        let state = self.state.lock();
        state
            .machines
            .values()
            .map(|machine| machine.instance.clone())
            .collect()
    }

    /// Returns the number of store calls so far; a waiting watch counts as one.
    #[must_use]
    pub fn store_calls(&self) -> u64 {
        self.state.lock().store_calls
    }
}

type Shared = Arc<Mutex<State>>;

fn handle(request: &mut Request<Body>, store: &MemoryStore, state: &Shared) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let body = server::body(request);
    if let Some(call) = path.strip_prefix("/v3/") {
        return handle_store(call, &body, store, state);
    }
    if state.lock().faults.list_down {
        server::disconnect();
    }
    if path == "/v1/instances" {
        return list(state, request.uri().query());
    }
    let parts: Vec<&str> = path.split('/').collect();
    let ["", "v1", "instances", id, verb] = parts[..] else {
        return server::answer(404, "no such path");
    };
    let Ok(body) = serde_json::from_slice::<OperationBody>(&body) else {
        return server::answer(400, "no operation identifier");
    };
    act(state, id, verb, &body.operation)
}

/// Answers the list call; `since=<version>` asks for changes only.
fn list(state: &Shared, query: Option<&str>) -> Response<Body> {
    let since = query.and_then(|query| query.strip_prefix("since="));
    let since = since.and_then(|version| version.parse().ok()).unwrap_or(0);
    let mut state = state.lock();
    let machines = state.machines.values();
    let present = machines.map(|machine| machine.instance.clone()).collect();
    let list = state.list.since(since, present);
    server::answer(
        200,
        serde_json::to_vec(&list).expect("list is serialisable"),
    )
}

fn handle_store(call: &str, body: &[u8], store: &MemoryStore, state: &Shared) -> Response<Body> {
    let faults = {
        let mut state = state.lock();
        state.store_calls += 1;
        state.faults.clone()
    };
    if faults.store_down {
        server::disconnect();
    }
    sleep(faults.slow);
    let response = store_api::handle(call, body, store);
    if call == "kv/txn" {
        let faults = &mut state.lock().faults;
        if faults.lose_answers > 0 {
            faults.lose_answers -= 1;
            server::disconnect();
        }
    }
    response
}

/// Carries out drain, reboot or restore; a repeated operation identifier changes nothing.
fn act(shared: &Shared, id: &str, verb: &str, operation: &str) -> Response<Body> {
    let mut state = shared.lock();
    let fresh = state.operations.insert(format!("{verb} {operation}"));
    let reboot = state.reboot;
    let Some(machine) = state.machines.get_mut(id) else {
        return server::answer(404, "no such instance");
    };
    if !fresh {
        return server::answer(200, "{}");
    }
    match (verb, machine.instance.state) {
        ("drain", InstanceState::Live) => {
            machine.instance.state = InstanceState::Leaving;
            if let Some(runner) = &machine.runner {
                runner.behave(Behaviour::Draining);
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
                runner.behave(Behaviour::Healthy);
            }
        }
        _ => return server::answer(409, "the instance's state does not allow it"),
    }
    server::answer(200, "{}")
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
            .is_none_or(|runner| runner.active() == 0)
        {
            machine.instance.state = InstanceState::Drained;
            return;
        }
    }
}

fn finish_reboot(shared: &Shared, id: &InstanceId, time: Duration) {
    sleep(time);
    let mut state = shared.lock();
    if let Some(machine) = state.machines.get_mut(id) {
        machine.instance.state = InstanceState::Live;
        machine.instance.boots += 1;
        if let Some(runner) = &machine.runner {
            runner.behave(Behaviour::Healthy);
        }
    }
}
