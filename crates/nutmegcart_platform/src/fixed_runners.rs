//! A fixed set of runners, for a site without a platform.
//!
//! Somebody restarts a drained runner by hand; the restart is found by its address, which refuses
//! connections for a while and then accepts them again.

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

/// Longest wait for a connection to a runner whose restart is awaited.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// A runner with what is known of its maintenance.
struct Runner {
    instance: Instance,
    /// When the drain began.
    drained: Instant,
    /// Latest operation of each call; a repeated one changes nothing.
    operations: BTreeMap<&'static str, String>,
    /// Whether the address has refused a connection since the drain began.
    down: bool,
}

impl FleetApi {
    /// Lists a fixed set of runners, for a site without a platform.
    ///
    /// A drained runner counts as empty after `settle`, which should exceed the longest request.
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
    pub fn fixed(centre: &DataCentre, runners: &[SocketAddr], settle: Duration) -> Self {
        let line = |(index, address): (usize, &SocketAddr)| {
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
            let runner = Runner {
                instance,
                drained: Instant::now(),
                operations: BTreeMap::new(),
                down: false,
            };
            (runner.instance.id.clone(), runner)
        };
        let runners: BTreeMap<InstanceId, Runner> = runners.iter().enumerate().map(line).collect();
        let runners = Mutex::new(runners);
        Self::new(move |call| match call {
            FleetCall::List => Ok(list(&runners, settle)),
            FleetCall::Drain(id, operation) => act(&runners, &id, "drain", operation),
            FleetCall::Reboot(id, operation) => act(&runners, &id, "reboot", operation),
            FleetCall::Restore(id, operation) => act(&runners, &id, "restore", operation),
        })
    }
}

type Runners = Mutex<BTreeMap<InstanceId, Runner>>;

fn list(runners: &Runners, settle: Duration) -> Vec<Instance> {
    let awaited: Vec<(InstanceId, SocketAddr)> = runners
        .lock()
        .values()
        .filter(|runner| runner.is_awaited())
        .map(|runner| (runner.instance.id.clone(), runner.instance.address))
        .collect();
    for (id, address) in awaited {
        let up = TcpStream::connect_timeout(&address, PROBE_TIMEOUT).is_ok();
        if let Some(runner) = runners.lock().get_mut(&id) {
            runner.probed(up);
        }
    }
    let mut runners = runners.lock();
    for runner in runners.values_mut() {
        if runner.instance.state == InstanceState::Leaving && runner.drained.elapsed() >= settle {
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

impl Runner {
    /// A wave asks for a reboot, and an operator's drain leaves it to people.
    fn is_awaited(&self) -> bool {
        let state = self.instance.state;
        matches!(state, InstanceState::Drained | InstanceState::Rebooting)
    }

    fn probed(&mut self, up: bool) {
        self.down |= !up;
        if up && self.down && self.is_awaited() {
            self.instance.state = InstanceState::Live;
            self.instance.boots += 1;
        }
    }
}

/// Carries out a call; one that the runner's state does not allow changes nothing.
fn act(
    runners: &Runners,
    id: &InstanceId,
    verb: &'static str,
    operation: String,
) -> Result<Vec<Instance>> {
    let mut runners = runners.lock();
    let runner = runners.get_mut(id).ok_or_else(|| HttpError::Status {
        status: 404,
        reason: format!("there is no {id}"),
    })?;
    if runner.operations.get(verb) == Some(&operation) {
        return Ok(Vec::new());
    }
    let next = match (verb, runner.instance.state) {
        ("drain", InstanceState::Live) => {
            runner.drained = Instant::now();
            runner.down = false;
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
