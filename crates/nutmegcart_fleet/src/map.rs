//! Pool map of a data centre, and a duty holder's cache of the instance list.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::DataCentre;
use nutmegcart_model::InstanceId;
use nutmegcart_model::PoolName;
use nutmegcart_model::Rack;
use nutmegcart_platform::Instance;
use nutmegcart_platform::InstanceState;
use nutmegcart_platform::Role;
use nutmegcart_platform::store::Revision;
use serde::Deserialize;
use serde::Serialize;

/// Store key prefix of the pool maps.
pub const MAP_PREFIX: &str = "/nutmegcart/map/";

/// Age after which an observation of an instance is ignored.
///
/// The platform refreshes the list about every 5 s; six missed refreshes are more than usual lag.
pub const MAX_OBSERVATION_AGE: Duration = Duration::from_secs(30);

/// Prefix of the operation identifiers of operators' drains, after which the planner does not
/// reboot.
pub const HOLD_PREFIX: &str = "hold.";

/// Maintenance state of an instance in the pool map.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MaintenanceState {
    /// In service, with no operation under way.
    #[default]
    Service,
    /// The intent to drain is stored.
    Draining,
    /// The intent to reboot is stored.
    Rebooting,
    /// The intent to return the instance to service without a reboot is stored.
    Restoring,
    /// Failed during or after its maintenance.
    Failed,
}

impl MaintenanceState {
    /// Returns whether an operation keeps the instance out of service.
    #[must_use]
    pub const fn is_out(self) -> bool {
        matches!(self, Self::Draining | Self::Rebooting | Self::Restoring)
    }
}

/// Entry of an instance in the pool map.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MapEntry {
    /// Pool of the instance; it belongs to exactly one.
    pub pool: PoolName,
    /// What the instance is for.
    pub role: Role,
    /// Rack of the instance, its failure domain.
    pub rack: Rack,
    /// Maintenance state.
    #[serde(default, skip_serializing_if = "is_default")]
    pub state: MaintenanceState,
    /// Identifier of the operation under way or, after a failure, of the failed one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<Arc<str>>,
    /// Reboot count before the operation; a higher count proves that the instance has rebooted.
    #[serde(rename = "boots", default, skip_serializing_if = "is_default")]
    pub boots_before: u64,
    /// Last wave run that maintained the instance, as `<wave>.<run>`.
    #[serde(rename = "done", default, skip_serializing_if = "Option::is_none")]
    pub last_run: Option<Arc<str>>,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl MapEntry {
    /// Creates an entry in service.
    ///
    /// ```
    /// # use nutmegcart_fleet::{MapEntry, MaintenanceState};
    /// # use nutmegcart_platform::Role;
    /// let entry = MapEntry::new("gates".into(), Role::Runner, "rack-1".into());
    /// assert_eq!(entry.state, MaintenanceState::Service);
    /// ```
    #[must_use]
    pub fn new(pool: PoolName, role: Role, rack: Rack) -> Self {
        Self {
            pool,
            role,
            rack,
            state: MaintenanceState::Service,
            operation: None,
            boots_before: 0,
            last_run: None,
        }
    }

    /// Returns whether an operator's drain keeps the instance out of service.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.operation
            .as_ref()
            .is_some_and(|operation| operation.starts_with(HOLD_PREFIX))
    }

    /// Returns whether the operation belongs to the wave run `<wave>.<run>`.
    #[must_use]
    pub fn belongs_to(&self, run: &str) -> bool {
        self.operation
            .as_ref()
            .and_then(|operation| operation.strip_prefix(run))
            .is_some_and(|rest| rest.starts_with('.'))
    }

    /// Ends the operation and puts the instance back into service.
    pub(crate) fn finish(&mut self) {
        self.state = MaintenanceState::Service;
        self.operation = None;
        self.boots_before = 0;
    }
}

/// Pool and maintenance state of each instance of a data centre.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PoolMap {
    /// Entries by instance identifier.
    pub instances: BTreeMap<InstanceId, MapEntry>,
}

impl PoolMap {
    /// Returns the store key of a data centre's map.
    ///
    /// ```
    /// # use nutmegcart_fleet::PoolMap;
    /// assert_eq!(PoolMap::key(&"suva".into()), "/nutmegcart/map/suva");
    /// ```
    #[must_use]
    pub fn key(centre: &DataCentre) -> String {
        format!("{MAP_PREFIX}{centre}")
    }
}

/// A stored value with the revision of its last write.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Versioned<T> {
    /// Decoded value; the default if it was never written.
    pub value: T,
    /// Revision of the last write; zero if there was none.
    pub modified: Revision,
}

/// Pool maps of all data centres, with the revisions of the stored values.
pub type PoolMaps = BTreeMap<DataCentre, Versioned<PoolMap>>;

/// An instance as the platform listed it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObservedInstance {
    /// State of the instance.
    pub state: InstanceState,
    /// Number of reboots so far.
    pub boots: u64,
    /// Time of the platform's observation, by the duty holder's clock.
    pub at: Duration,
    /// What the instance is for.
    pub role: Role,
    /// Data centre that the instance runs in.
    pub centre: DataCentre,
    /// Rack of the instance, its failure domain.
    pub rack: Rack,
}

/// The platform's instance list as last fetched.
///
/// A failed fetch leaves the observations and their times as they are, so that they age.
#[derive(Clone, Debug, Default)]
pub struct ObservedInstances {
    /// Time of the last successful fetch; none before the first.
    pub fetched: Option<Duration>,
    instances: BTreeMap<InstanceId, ObservedInstance>,
}

impl ObservedInstances {
    /// Replaces the list by one that was fetched just now.
    ///
    /// ```
    /// # use nutmegcart_fleet::ObservedInstances;
    /// # use std::time::Duration;
    /// let mut instances = ObservedInstances::default();
    /// instances.record(&[], Duration::from_secs(5));
    /// assert!(instances.is_fresh(Duration::from_secs(6)));
    /// ```
    pub fn record(&mut self, list: &[Instance], now: Duration) {
        self.fetched = Some(now);
        self.instances = list
            .iter()
            .map(|instance| {
                let observed = ObservedInstance {
                    state: instance.state,
                    boots: instance.boots,
                    at: now.saturating_sub(Duration::from_millis(instance.age_ms)),
                    role: instance.role,
                    centre: instance.centre.clone(),
                    rack: instance.rack.clone(),
                };
                (instance.id.clone(), observed)
            })
            .collect();
    }

    /// Returns whether the last fetch is recent enough to rely on.
    #[must_use]
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.fetched
            .is_some_and(|at| now.saturating_sub(at) <= MAX_OBSERVATION_AGE)
    }

    /// Returns the observation of an instance; none if it is absent or older than
    /// [`MAX_OBSERVATION_AGE`].
    #[must_use]
    pub fn known(&self, id: &str, now: Duration) -> Option<&ObservedInstance> {
        self.instances
            .get(id)
            .filter(|observed| now.saturating_sub(observed.at) <= MAX_OBSERVATION_AGE)
    }

    /// Returns whether the instance is absent from a recent list.
    #[must_use]
    pub fn is_absent(&self, id: &str, now: Duration) -> bool {
        self.is_fresh(now) && !self.instances.contains_key(id)
    }

    /// Returns all observations in ascending order of identifier, whatever their age.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &ObservedInstance)> {
        self.instances.iter()
    }
}
