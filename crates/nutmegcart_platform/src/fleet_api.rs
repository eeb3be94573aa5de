//! Client of the platform's instance list, and of its drain, reboot and restore calls.

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

/// Result of a [`FleetCall`].
pub type Result<T> = std::result::Result<T, HttpError>;

/// Function of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Handles callers' requests.
    Runner,
    /// Runs tasks.
    Worker,
    /// Entry instance: runs nutmegcart.
    Entry,
}

/// State of an instance as listed by the platform; the list lags behind the actual state.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// In service.
    Live,
    /// Draining: finishes the work that it has.
    Leaving,
    /// Drained: no work is in flight.
    Drained,
    /// Being rebooted.
    Rebooting,
    /// Not reachable from the platform.
    Failed,
}

/// Largest age in milliseconds of an unchanged instance that a list of changes may leave out.
///
/// An older instance counts as changed in each answer. Otherwise a client that reads only changes
/// would take a state that the platform no longer confirms for a current one.
pub const MAX_FRESH_AGE_MS: u64 = 1_000;

/// One instance in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Identifier, stable over reboots.
    pub id: InstanceId,
    /// Function of the instance.
    pub role: Role,
    /// Address at which it accepts connections.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub centre: DataCentre,
    /// Rack in which it runs, a failure domain.
    pub rack: Rack,
    /// State as last known to the platform.
    pub state: InstanceState,
    /// Time in milliseconds since the platform last confirmed the state.
    pub age_ms: u64,
    /// Reboots carried out so far.
    pub boots: u64,
}

/// One call to the fleet API.
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
    /// Operation identifier; a repeated one has no effect.
    pub operation: String,
}

/// Answer to the list call: the full list, or the changes since the requested version.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct InstanceList {
    /// Version of the list; zero if the platform does not number its lists.
    #[serde(default)]
    pub version: u64,
    /// Whether all instances are listed, not only the changed ones.
    #[serde(default = "full_by_default")]
    pub full: bool,
    /// Instances in ascending order of identifier.
    pub instances: Vec<Instance>,
    /// Instances that left the list since the requested version.
    #[serde(default)]
    pub removed: Vec<InstanceId>,
}

/// A platform that does not support lists of changes omits the field and sends full lists.
fn full_by_default() -> bool {
    true
}

/// The instance list as of the latest answer.
#[derive(Default)]
struct InstanceCache {
    version: u64,
    instances: BTreeMap<InstanceId, Instance>,
}

impl InstanceCache {
    fn update(&mut self, list: InstanceList) {
        if list.full {
            self.instances.clear();
        }
        for id in &list.removed {
            self.instances.remove(id);
        }
        let instances = list.instances.into_iter();
        self.instances
            .extend(instances.map(|instance| (instance.id.clone(), instance)));
        self.version = list.version;
    }
}

/// Client of the platform's fleet API; a closure carries out its calls.
#[derive(Clone)]
pub struct FleetApi {
    call: Arc<dyn Fn(FleetCall) -> Result<Vec<Instance>> + Send + Sync>,
}

impl FleetApi {
    /// Creates a client from the closure that carries out its calls.
    pub fn new(call: impl Fn(FleetCall) -> Result<Vec<Instance>> + Send + Sync + 'static) -> Self {
        Self {
            call: Arc::new(call),
        }
    }

    /// Creates a client that calls the platform at the address over HTTP, as described in
    /// `docs/interfaces.md`.
    #[must_use]
    pub fn http(address: SocketAddr, timeout: Duration) -> Self {
        let agent = http::agent(timeout);
        let post = move |id: InstanceId, verb: &str, operation: String| {
            let url = format!("http://{address}/v1/instances/{id}/{verb}");
            let body = OperationBody { operation };
            http::post::<serde_json::Value>(&agent, &url, &body).map(|_| Vec::new())
        };
        let list_agent = http::agent(timeout);
        let cache = Mutex::new(InstanceCache::default());
        Self::new(move |call| match call {
            FleetCall::List => {
                let since = cache.lock().version;
                let url = format!("http://{address}/v1/instances?since={since}");
                let list = http::get::<InstanceList>(&list_agent, &url)?;
                let mut cache = cache.lock();
                // Changes apply to the version that was asked for. If a concurrent call has updated
                // the cache meanwhile, its answer already covers them.
                if list.full || cache.version == since {
                    cache.update(list);
                }
                Ok(cache.instances.values().cloned().collect())
            }
            FleetCall::Drain(id, operation) => post(id, "drain", operation),
            FleetCall::Reboot(id, operation) => post(id, "reboot", operation),
            FleetCall::Restore(id, operation) => post(id, "restore", operation),
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

    /// Starts draining an instance; a repeated operation identifier has no effect.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer; the call may then be repeated.
    pub fn drain(&self, id: &InstanceId, operation: &str) -> Result<()> {
        (self.call)(FleetCall::Drain(id.clone(), operation.to_owned())).map(drop)
    }

    /// Reboots a drained instance; a repeated operation identifier has no effect.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer; the call may then be repeated.
    pub fn reboot(&self, id: &InstanceId, operation: &str) -> Result<()> {
        (self.call)(FleetCall::Reboot(id.clone(), operation.to_owned())).map(drop)
    }

    /// Returns a draining or drained instance to service; a repeated operation identifier has no
    /// effect.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer; the call may then be repeated.
    pub fn restore(&self, id: &InstanceId, operation: &str) -> Result<()> {
        (self.call)(FleetCall::Restore(id.clone(), operation.to_owned())).map(drop)
    }
}
