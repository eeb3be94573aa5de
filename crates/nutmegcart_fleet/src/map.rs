//! The pool map of a data centre, and the instance list as a duty holder last saw it.

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

/// Prefix of the pool maps in the store.
pub const MAP_PREFIX: &str = "/nutmegcart/map/";

/// Age after which a line of the instance list says nothing about the instance any more.
///
/// The platform refreshes the list every few seconds; six missed refreshes of 5 s are not lag.
pub const MAX_OBSERVATION_AGE: Duration = Duration::from_secs(30);

/// Start of the operation identifiers of operators' drains, which do not lead to a reboot.
pub const HOLD_PREFIX: &str = "hold.";

/// What the duty holder is doing with an instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MaintenanceState {
    /// Carries its pool's service.
    #[default]
    Service,
    /// The intent to drain is written.
    Draining,
    /// The intent to reboot is written.
    Rebooting,
    /// The intent to return the instance without a reboot is written.
    Restoring,
    /// Failed during or after its maintenance.
    Failed,
}

impl MaintenanceState {
    /// Returns whether an operation is under way.
    #[must_use]
    pub const fn is_out(self) -> bool {
        matches!(self, Self::Draining | Self::Rebooting | Self::Restoring)
    }
}

/// What the map says of one instance.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MapEntry {
    /// The one pool that the instance belongs to.
    pub pool: PoolName,
    /// What the instance is for.
    pub role: Role,
    /// Failure domain.
    pub rack: Rack,
    /// What is being done with the instance.
    #[serde(default, skip_serializing_if = "is_default")]
    pub state: MaintenanceState,
    /// Identifier of the operation under way or, when failed, of the one that failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<Arc<str>>,
    /// Reboots before the operation; a higher number shows that the reboot happened.
    #[serde(rename = "boots", default, skip_serializing_if = "is_default")]
    pub boots_before: u64,
    /// Last run of a wave that maintained the instance, as `<wave>.<run>`.
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

    /// Returns whether an operator's drain holds the instance.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.operation
            .as_ref()
            .is_some_and(|operation| operation.starts_with(HOLD_PREFIX))
    }

    /// Returns whether the operation belongs to the run `<wave>.<run>`.
    #[must_use]
    pub fn belongs_to(&self, run: &str) -> bool {
        self.operation
            .as_ref()
            .and_then(|operation| operation.strip_prefix(run))
            .is_some_and(|rest| rest.starts_with('.'))
    }

    /// Puts the instance back into service.
    pub(crate) fn finish(&mut self) {
        self.state = MaintenanceState::Service;
        self.operation = None;
        self.boots_before = 0;
    }
}

/// Which pool each instance of a data centre belongs to.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PoolMap {
    /// Instances in ascending order of identifier.
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

/// A value with the revision of its last write; zero if it was never written.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Versioned<T> {
    /// Value.
    pub value: T,
    /// Revision of the last write.
    pub modified: Revision,
}

/// Maps of all data centres.
pub type PoolMaps = BTreeMap<DataCentre, Versioned<PoolMap>>;

/// What the instance list said of an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObservedInstance {
    /// State as last known to the platform.
    pub state: InstanceState,
    /// Reboots carried out so far.
    pub boots: u64,
    /// Time of the observation, on the clock of the duty holder.
    pub at: Duration,
    /// What the instance is for.
    pub role: Role,
    /// Data centre.
    pub centre: DataCentre,
    /// Rack.
    pub rack: Rack,
}

/// The instance list; lines from before a fetch that failed keep their time.
#[derive(Clone, Debug, Default)]
pub struct InstanceCache {
    /// Time of the last fetch that succeeded; none before the first.
    pub fetched: Option<Duration>,
    instances: BTreeMap<InstanceId, ObservedInstance>,
}

impl InstanceCache {
    /// Records a list that was fetched just now.
    ///
    /// ```
    /// # use nutmegcart_fleet::InstanceCache;
    /// # use std::time::Duration;
    /// let mut listing = InstanceCache::default();
    /// listing.record(&[], Duration::from_secs(5));
    /// assert!(listing.is_fresh(Duration::from_secs(6)));
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

    /// Returns whether the list was fetched recently enough to be used.
    #[must_use]
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.fetched
            .is_some_and(|at| now.saturating_sub(at) <= MAX_OBSERVATION_AGE)
    }

    /// Returns what is known of an instance; none if it is absent or the line is too old.
    #[must_use]
    pub fn known(&self, id: &str, now: Duration) -> Option<&ObservedInstance> {
        self.instances
            .get(id)
            .filter(|observed| now.saturating_sub(observed.at) <= MAX_OBSERVATION_AGE)
    }

    /// Returns whether a recent list lacks the instance.
    #[must_use]
    pub fn is_absent(&self, id: &str, now: Duration) -> bool {
        self.is_fresh(now) && !self.instances.contains_key(id)
    }

    /// Returns all lines in ascending order of identifier.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &ObservedInstance)> {
        self.instances.iter()
    }
}
