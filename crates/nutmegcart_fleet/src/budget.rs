//! How many instances of a pool are unavailable, and how many more may become so.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use nutmegcart_model::DataCentre;
use nutmegcart_model::PoolName;
use nutmegcart_model::Rack;
use nutmegcart_model::record::Allowance;
use nutmegcart_platform::InstanceState;
use nutmegcart_platform::Role;

use crate::map::InstanceCache;
use crate::map::MaintenanceState;
use crate::map::MapEntry;
use crate::map::ObservedInstance;
use crate::map::PoolMap;

/// Allowance of a pool without a budget record: nothing may be taken out.
pub const NO_BUDGET: Allowance = Allowance::Count(0);

/// Instances of one role in a pool, by availability; each counts once.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Instances in the pool.
    pub members: u32,
    /// Out for a wave or held by an operator.
    pub out: u32,
    /// Failed according to the map or the list.
    pub failed: u32,
    /// Leaving, drained or rebooting on their own account.
    pub leaving: u32,
    /// Absent from the list, or the list is too old.
    pub unknown: u32,
}

impl Counts {
    /// Returns the instances that do not carry the service.
    ///
    /// ```
    /// # use nutmegcart_fleet::budget::Counts;
    /// let counts = Counts { members: 10, out: 1, unknown: 2, ..Counts::default() };
    /// assert_eq!((counts.unavailable(), counts.available()), (3, 7));
    /// ```
    #[must_use]
    pub const fn unavailable(&self) -> u32 {
        self.out + self.failed + self.leaving + self.unknown
    }

    /// Returns the instances that carry the service.
    #[must_use]
    pub const fn available(&self) -> u32 {
        self.members.saturating_sub(self.unavailable())
    }

    fn count(&mut self, entry: &MapEntry, observed: Option<&ObservedInstance>) {
        self.members += 1;
        let place = match (entry.state, observed.map(|observed| observed.state)) {
            (state, _) if state.is_out() => &mut self.out,
            (MaintenanceState::Failed, _) | (_, Some(InstanceState::Failed)) => &mut self.failed,
            (_, Some(InstanceState::Live)) => return,
            (_, Some(_)) => &mut self.leaving,
            (_, None) => &mut self.unknown,
        };
        *place += 1;
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

/// A pool's instances over all data centres.
#[derive(Clone, Debug, Default)]
pub struct PoolAvailability {
    /// Runners.
    pub runners: Counts,
    /// Workers.
    pub workers: Counts,
    /// Data centres in which the pool has instances.
    pub centres: BTreeSet<DataCentre>,
    /// Rack that has instances out; a second one may not open before they are back.
    pub open: Option<(DataCentre, Rack)>,
}

impl PoolAvailability {
    /// Returns the counts of a role; entry instances belong to no pool and count as workers.
    #[must_use]
    pub const fn of(&self, role: Role) -> &Counts {
        match role {
            Role::Runner => &self.runners,
            Role::Worker | Role::Entry => &self.workers,
        }
    }

    /// Returns the counts of a role for changing.
    pub(crate) const fn of_mut(&mut self, role: Role) -> &mut Counts {
        match role {
            Role::Runner => &mut self.runners,
            Role::Worker | Role::Entry => &mut self.workers,
        }
    }

    /// Returns the counts over both roles.
    #[must_use]
    pub fn total(&self) -> Counts {
        self.runners.sum(&self.workers)
    }

    /// Returns whether the pool is over its budget.
    #[must_use]
    pub fn is_over(&self, allowance: Allowance) -> bool {
        [self.runners, self.workers, self.total()]
            .iter()
            .any(|counts| counts.unavailable() > allowance.max_unavailable(counts.members))
    }

    /// Returns how many more instances of a role may become unavailable.
    ///
    /// A share is taken of the role and of the pool, so that a budget holds under both readings.
    ///
    /// ```
    /// # use nutmegcart_fleet::{PoolAvailability, budget::Counts};
    /// # use nutmegcart_model::record::Allowance;
    /// # use nutmegcart_platform::Role;
    /// let runners = Counts { members: 10, failed: 1, ..Counts::default() };
    /// let standing = PoolAvailability { runners, ..PoolAvailability::default() };
    /// assert_eq!(standing.room(Role::Runner, Allowance::Percent(20)), 1);
    /// ```
    #[must_use]
    pub fn room(&self, role: Role, allowance: Allowance) -> u32 {
        let room = |counts: &Counts| {
            let allowed = allowance.max_unavailable(counts.members);
            allowed.saturating_sub(counts.unavailable())
        };
        room(self.of(role)).min(room(&self.total()))
    }
}

/// Standing of every pool.
pub type AvailabilityByPool = BTreeMap<PoolName, PoolAvailability>;

/// Counts every instance of all maps once.
#[must_use]
pub fn availability_by_pool<'a>(
    maps: impl Iterator<Item = (&'a DataCentre, &'a PoolMap)>,
    listing: &InstanceCache,
    now: Duration,
) -> AvailabilityByPool {
    let mut availability_by_pool = AvailabilityByPool::new();
    for (centre, map) in maps {
        for (id, entry) in &map.instances {
            if !availability_by_pool.contains_key(&entry.pool) {
                availability_by_pool.insert(entry.pool.clone(), PoolAvailability::default());
            }
            let Some(standing) = availability_by_pool.get_mut(&entry.pool) else {
                continue;
            };
            let observed = listing.known(id, now);
            standing.of_mut(entry.role).count(entry, observed);
            if !standing.centres.contains(centre) {
                standing.centres.insert(centre.clone());
            }
            if entry.state.is_out() && !entry.is_held() {
                standing.open = Some((centre.clone(), entry.rack.clone()));
            }
        }
    }
    availability_by_pool
}
