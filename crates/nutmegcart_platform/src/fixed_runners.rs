//! A fixed set of runners, for a deployment without a platform.
//!
//! An operator restarts a drained runner by hand. The restart is detected when the runner's address
//! refuses connections for a while and then accepts them again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_model::DataCentre;
use nutmegcart_model::Event;
use nutmegcart_model::InstanceId;
use nutmegcart_model::Rack;
use nutmegcart_model::log_event;
use parking_lot::Mutex;

use crate::fleet_api::FleetApi;
use crate::fleet_api::FleetCall;
use crate::fleet_api::Instance;
use crate::fleet_api::InstanceState;
use crate::fleet_api::Result;
use crate::fleet_api::Role;
use crate::http::HttpError;

/// Timeout of the connections that detect the restart of a runner.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// A runner with the progress of its maintenance.
struct FixedRunner {
    instance: Instance,
    /// Time at which the latest drain began.
    drain_start: Instant,
    /// Operation identifier of the latest drain, reboot and restore; a repeated one has no effect.
    operations: BTreeMap<&'static str, String>,
    /// Whether a connection to the address has failed since the drain began.
    was_down: bool,
}

impl FleetApi {
    /// Creates a client for a fixed set of runners, for a deployment without a platform.
    ///
    /// A draining runner counts as drained after `drain_time`, which should exceed the longest
    /// request.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_platform::{FleetApi, InstanceState};
    /// let address = "127.0.0.1:9".parse().unwrap();
    /// let fleet = FleetApi::fixed(&"local".into(), &[address], Duration::ZERO);
    /// fleet.drain(&"runner-1".into(), "operation-1").unwrap();
    /// assert_eq!(fleet.list().unwrap()[0].state, InstanceState::Drained);
    /// ```
    #[must_use]
    pub fn fixed(centre: &DataCentre, runners: &[SocketAddr], drain_time: Duration) -> Self {
        let new_runner = |(index, address): (usize, &SocketAddr)| {
            let instance = Instance {
                id: format!("runner-{}", index + 1).into(),
                role: Role::Runner,
                address: *address,
                centre: centre.clone(),
                rack: Rack::from(format!("rack-{}", index + 1)),
                state: InstanceState::Live,
                age_ms: 0,
                boots: 0,
            };
            let runner = FixedRunner {
                instance,
                drain_start: Instant::now(),
                operations: BTreeMap::new(),
                was_down: false,
            };
            (runner.instance.id.clone(), runner)
        };
        let runners: BTreeMap<InstanceId, FixedRunner> =
            runners.iter().enumerate().map(new_runner).collect();
        let runners = Mutex::new(runners);
        Self::new(move |call| match call {
            FleetCall::List => Ok(list(&runners, drain_time)),
            FleetCall::Drain(id, operation) => apply(&runners, &id, "drain", operation),
            FleetCall::Reboot(id, operation) => apply(&runners, &id, "reboot", operation),
            FleetCall::Restore(id, operation) => apply(&runners, &id, "restore", operation),
        })
    }
}

type Runners = Mutex<BTreeMap<InstanceId, FixedRunner>>;

/// Probes the runners that await their restart, updates all states and returns the instances.
fn list(runners: &Runners, drain_time: Duration) -> Vec<Instance> {
    let probed: Vec<(InstanceId, SocketAddr)> = runners
        .lock()
        .values()
        .filter(|runner| runner.awaits_restart())
        .map(|runner| (runner.instance.id.clone(), runner.instance.address))
        .collect();
    for (id, address) in probed {
        let up = TcpStream::connect_timeout(&address, PROBE_TIMEOUT).is_ok();
        if let Some(runner) = runners.lock().get_mut(&id) {
            runner.record_probe(up);
        }
    }
    let mut runners = runners.lock();
    for runner in runners.values_mut() {
        if runner.instance.state == InstanceState::Leaving
            && runner.drain_start.elapsed() >= drain_time
        {
            runner.instance.state = InstanceState::Drained;
            let (id, address) = (&runner.instance.id, runner.instance.address);
            log_event!(Event::RestartAwaited, instance = id, address = address);
        }
    }
    runners
        .values()
        .map(|runner| runner.instance.clone())
        .collect()
}

impl FixedRunner {
    /// Returns whether the runner awaits its restart.
    ///
    /// A drained runner counts without a reboot call too: only a wave makes this call after a drain,
    /// an operator who drains a runner restarts it directly.
    fn awaits_restart(&self) -> bool {
        let state = self.instance.state;
        matches!(state, InstanceState::Drained | InstanceState::Rebooting)
    }

    fn record_probe(&mut self, up: bool) {
        self.was_down |= !up;
        if up && self.was_down && self.awaits_restart() {
            self.instance.state = InstanceState::Live;
            self.instance.boots += 1;
        }
    }
}

/// Carries out a call; a call that the runner's state does not allow has no effect.
fn apply(
    runners: &Runners,
    id: &InstanceId,
    verb: &'static str,
    operation: String,
) -> Result<Vec<Instance>> {
    let mut runners = runners.lock();
    let runner = runners.get_mut(id).ok_or_else(|| HttpError::Status {
        status: 404,
        reason: format!("there is no instance {id}"),
    })?;
    if runner.operations.get(verb) == Some(&operation) {
        return Ok(Vec::new());
    }
    let next = match (verb, runner.instance.state) {
        ("drain", InstanceState::Live) => {
            runner.drain_start = Instant::now();
            runner.was_down = false;
            InstanceState::Leaving
        }
        ("reboot", InstanceState::Drained) => InstanceState::Rebooting,
        ("restore", InstanceState::Leaving | InstanceState::Drained) => InstanceState::Live,
        _ => return Ok(Vec::new()),
    };
    runner.instance.state = next;
    runner.operations.insert(verb, operation);
    Ok(Vec::new())
}
