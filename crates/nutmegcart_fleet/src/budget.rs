//! Availability of pools, and the room that their availability budgets leave.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use nutmegcart_model::DataCentre;
use nutmegcart_model::PoolName;
use nutmegcart_model::Rack;
use nutmegcart_model::record::Allowance;
use nutmegcart_platform::InstanceState;
use nutmegcart_platform::Role;

use crate::map::MaintenanceState;
use crate::map::MapEntry;
use crate::map::ObservedInstance;
use crate::map::ObservedInstances;
use crate::map::PoolMap;

/// Budget of a pool without a budget record: no instance may be taken out.
pub const NO_BUDGET: Allowance = Allowance::Count(0);

/// Numbers of instances of one role in a pool; an unavailable one has exactly one reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct InstanceCounts {
    /// All instances, available or not.
    pub members: u32,
    /// Taken out by a wave or by an operator's drain.
    pub out: u32,
    /// Failed according to the pool map or the instance list.
    pub failed: u32,
    /// Leaving, drained or rebooting without an operation in the pool map.
    pub leaving: u32,
    /// Absent from the instance list, or not observed recently.
    pub unknown: u32,
}

impl InstanceCounts {
    /// Returns the number of instances that do not serve.
    ///
    /// ```
    /// # use nutmegcart_fleet::budget::InstanceCounts;
    /// let counts = InstanceCounts { members: 10, out: 1, unknown: 2, ..InstanceCounts::default() };
    /// assert_eq!((counts.unavailable(), counts.available()), (3, 7));
    /// ```
    #[must_use]
    pub const fn unavailable(&self) -> u32 {
        self.out + self.failed + self.leaving + self.unknown
    }

    /// Returns the number of instances that serve.
    #[must_use]
    pub const fn available(&self) -> u32 {
        self.members.saturating_sub(self.unavailable())
    }

    fn count(&mut self, entry: &MapEntry, observed: Option<&ObservedInstance>) {
        self.members += 1;
        let counter = match (entry.state, observed.map(|observed| observed.state)) {
            (state, _) if state.is_out() => &mut self.out,
            (MaintenanceState::Failed, _) | (_, Some(InstanceState::Failed)) => &mut self.failed,
            (_, Some(InstanceState::Live)) => return,
            (_, Some(_)) => &mut self.leaving,
            (_, None) => &mut self.unknown,
        };
        *counter += 1;
    }

    fn sum(&self, other: &Self) -> Self {
        Self {
            members: self.members + other.members,
            out: self.out + other.out,
            failed: self.failed + other.failed,
            leaving: self.leaving + other.leaving,
            unknown: self.unknown + other.unknown,
        }
    }
}

/// Availability of a pool over all data centres.
#[derive(Clone, Debug, Default)]
pub struct PoolAvailability {
    /// Counts of the runners.
    pub runners: InstanceCounts,
    /// Counts of the workers.
    pub workers: InstanceCounts,
    /// Data centres in which the pool has instances.
    pub centres: BTreeSet<DataCentre>,
    /// Rack that has instances out for a wave; no other rack of the pool may have any at the same
    /// time.
    pub open_rack: Option<(DataCentre, Rack)>,
}

impl PoolAvailability {
    /// Returns the counts of a role.
    ///
    /// Entry instances belong to no pool; their role maps to the workers.
    #[must_use]
    pub const fn of(&self, role: Role) -> &InstanceCounts {
        match role {
            Role::Runner => &self.runners,
            Role::Worker | Role::Entry => &self.workers,
        }
    }

    /// Returns the counts of a role, mutably.
    pub(crate) const fn of_mut(&mut self, role: Role) -> &mut InstanceCounts {
        match role {
            Role::Runner => &mut self.runners,
            Role::Worker | Role::Entry => &mut self.workers,
        }
    }

    /// Returns the sum of the counts of both roles.
    #[must_use]
    pub fn total(&self) -> InstanceCounts {
        self.runners.sum(&self.workers)
    }

    /// Returns whether more instances are unavailable than the budget allows.
    #[must_use]
    pub fn is_over(&self, allowance: Allowance) -> bool {
        [self.runners, self.workers, self.total()]
            .iter()
            .any(|counts| counts.unavailable() > allowance.max_unavailable(counts.members))
    }

    /// Returns how many more instances of a role may become unavailable.
    ///
    /// A budget in percent applies to the members of the role as well as to those of the pool; the
    /// smaller room counts.
    ///
    /// ```
    /// # use nutmegcart_fleet::{PoolAvailability, budget::InstanceCounts};
    /// # use nutmegcart_model::record::Allowance;
    /// # use nutmegcart_platform::Role;
    /// let runners = InstanceCounts { members: 10, failed: 1, ..InstanceCounts::default() };
    /// let pool_availability = PoolAvailability { runners, ..PoolAvailability::default() };
    /// assert_eq!(pool_availability.room(Role::Runner, Allowance::Percent(20)), 1);
    /// ```
    #[must_use]
    pub fn room(&self, role: Role, allowance: Allowance) -> u32 {
        let room = |counts: &InstanceCounts| {
            let allowed = allowance.max_unavailable(counts.members);
            allowed.saturating_sub(counts.unavailable())
        };
        room(self.of(role)).min(room(&self.total()))
    }
}

/// Availability of every pool that has instances.
pub type AvailabilityByPool = BTreeMap<PoolName, PoolAvailability>;

/// Returns the availability of every pool in the given maps.
#[must_use]
pub fn availability_by_pool<'a>(
    maps: impl Iterator<Item = (&'a DataCentre, &'a PoolMap)>,
    instances: &ObservedInstances,
    now: Duration,
) -> AvailabilityByPool {
    let mut availability_by_pool = AvailabilityByPool::new();
    for (centre, map) in maps {
        for (id, entry) in &map.instances {
            if !availability_by_pool.contains_key(&entry.pool) {
                availability_by_pool.insert(entry.pool.clone(), PoolAvailability::default());
            }
            let Some(pool_availability) = availability_by_pool.get_mut(&entry.pool) else {
                continue;
            };
            let observed = instances.known(id, now);
            pool_availability.of_mut(entry.role).count(entry, observed);
            if !pool_availability.centres.contains(centre) {
                pool_availability.centres.insert(centre.clone());
            }
            if entry.state.is_out() && !entry.is_held() {
                pool_availability.open_rack = Some((centre.clone(), entry.rack.clone()));
            }
        }
    }
    availability_by_pool
}
