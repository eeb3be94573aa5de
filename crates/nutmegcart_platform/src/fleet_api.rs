//! The platform's list of instances, and its drain and reboot calls.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::DataCentre;
use nutmegcart_model::InstanceId;
use nutmegcart_model::Rack;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

use crate::http;
use crate::http::HttpError;

/// Result of a call to the instance list.
pub type Result<T> = std::result::Result<T, HttpError>;

/// What an instance is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Handles callers' requests.
    Runner,
    /// Runs tasks.
    Worker,
    /// Runs nutmegcart.
    Entry,
}

/// What the platform says of an instance; the list lags.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// In service.
    Live,
    /// Going away; finishes what it has.
    Leaving,
    /// Drained: nothing in flight.
    Drained,
    /// Being rebooted.
    Rebooting,
    /// Not reachable for the platform.
    Failed,
}

/// Largest age in milliseconds of a line that need not be sent again when it is unchanged.
///
/// Older lines count as changed in each answer: a state that ages without being confirmed must
/// not look fresh to a reader of changes.
pub const MAX_FRESH_AGE_MS: u64 = 1_000;

/// One line of the instance list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Identifier, stable over reboots.
    pub id: InstanceId,
    /// What the instance is for.
    pub role: Role,
    /// Address that it serves.
    pub address: SocketAddr,
    /// Data centre.
    pub centre: DataCentre,
    /// Rack, a failure domain.
    pub rack: Rack,
    /// State as last known to the platform.
    pub state: InstanceState,
    /// Age of the state in milliseconds.
    pub age_ms: u64,
    /// Reboots carried out so far.
    pub boots: u64,
}

/// One call to the fleet interface.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FleetCall {
    /// Lists the instances.
    List,
    /// Starts draining an instance, under an operation identifier.
    Drain(InstanceId, String),
    /// Reboots a drained instance, under an operation identifier.
    Reboot(InstanceId, String),
    /// Returns an instance to service, under an operation identifier.
    Restore(InstanceId, String),
}

/// Body of the drain, reboot and restore calls.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OperationBody {
    /// Operation identifier; a repeated one changes nothing.
    pub operation: String,
}

/// Answer to the list call, whole or as changes after the version that was asked for.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct InstanceList {
    /// Version of the list; zero if the platform does not number its lists.
    #[serde(default)]
    pub version: u64,
    /// Whether all instances are listed, not only changed ones.
    #[serde(default = "whole")]
    pub full: bool,
    /// Instances in ascending order of identifier.
    pub instances: Vec<Instance>,
    /// Instances that left the list since the version asked for.
    #[serde(default)]
    pub removed: Vec<InstanceId>,
}

/// A platform that does not know changes answers with whole lists.
fn whole() -> bool {
    true
}

/// The list as known after the latest answer.
#[derive(Default)]
struct Known {
    version: u64,
    instances: BTreeMap<InstanceId, Instance>,
}

impl Known {
    fn update(&mut self, list: InstanceList) {
        if list.full {
            self.instances.clear();
        }
        for id in &list.removed {
            self.instances.remove(id);
        }
        let lines = list.instances.into_iter();
        self.instances
            .extend(lines.map(|line| (line.id.clone(), line)));
        self.version = list.version;
    }
}

/// The platform's fleet interface behind a closure.
#[derive(Clone)]
pub struct FleetApi {
    call: Arc<dyn Fn(FleetCall) -> Result<Vec<Instance>> + Send + Sync>,
}

impl FleetApi {
    /// Creates the interface from the closure that carries its calls.
    pub fn new(call: impl Fn(FleetCall) -> Result<Vec<Instance>> + Send + Sync + 'static) -> Self {
        Self {
            call: Arc::new(call),
        }
    }

    /// Talks to the platform at the address over HTTP; `docs/interfaces.md` has the details.
    #[must_use]
    pub fn http(address: SocketAddr, timeout: Duration) -> Self {
        let agent = http::agent(timeout);
        let act = move |id: InstanceId, verb: &str, operation: String| {
            let url = format!("http://{address}/v1/instances/{id}/{verb}");
            let body = OperationBody { operation };
            http::post::<serde_json::Value>(&agent, &url, &body).map(|_| Vec::new())
        };
        let reader = http::agent(timeout);
        let known = Mutex::new(Known::default());
        Self::new(move |call| match call {
            FleetCall::List => {
                let since = known.lock().version;
                let url = format!("http://{address}/v1/instances?since={since}");
                let list = http::get::<InstanceList>(&reader, &url)?;
                let mut known = known.lock();
                // Of two concurrent calls the later answer already covers the earlier one.
                if list.full || known.version == since {
                    known.update(list);
                }
                Ok(known.instances.values().cloned().collect())
            }
            FleetCall::Drain(id, operation) => act(id, "drain", operation),
            FleetCall::Reboot(id, operation) => act(id, "reboot", operation),
            FleetCall::Restore(id, operation) => act(id, "restore", operation),
        })
    }

    /// Lists the instances.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    pub fn list(&self) -> Result<Vec<Instance>> {
        (self.call)(FleetCall::List)
    }

    /// Starts draining an instance; a repeated operation identifier changes nothing.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer; the call may then be repeated.
    pub fn drain(&self, id: &InstanceId, operation: &str) -> Result<()> {
        (self.call)(FleetCall::Drain(id.clone(), operation.to_owned())).map(drop)
    }

    /// Reboots a drained instance; a repeated operation identifier changes nothing.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer; the call may then be repeated.
    pub fn reboot(&self, id: &InstanceId, operation: &str) -> Result<()> {
        (self.call)(FleetCall::Reboot(id.clone(), operation.to_owned())).map(drop)
    }

    /// Returns a draining or drained instance to service.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer; the call may then be repeated.
    pub fn restore(&self, id: &InstanceId, operation: &str) -> Result<()> {
        (self.call)(FleetCall::Restore(id.clone(), operation.to_owned())).map(drop)
    }
}
