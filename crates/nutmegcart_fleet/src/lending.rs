//! Moves instances between pools and the spare pool by an estimate of demand over minutes.
//!
//! Bursts of a few seconds are absorbed on the request path. A move for such a burst would come too
//! late.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use nutmegcart_model::InstanceId;
use nutmegcart_model::PoolName;
use nutmegcart_model::Rack;
use nutmegcart_model::record::Pool;
use nutmegcart_platform::InstanceState;
use nutmegcart_platform::Role;

use crate::budget::AvailabilityByPool;
use crate::budget::NO_BUDGET;
use crate::budget::PoolAvailability;
use crate::map::MaintenanceState;
use crate::map::MapEntry;
use crate::map::ObservedInstance;
use crate::map::PoolMap;
use crate::planner::FleetConfig;
use crate::planner::FleetView;
use crate::wave::CapacityPolicy;

/// Time constant of the demand estimate, longer than bursts of a few seconds.
pub const ESTIMATE_TIME: Duration = Duration::from_mins(3);

/// Instances that a pool keeps beyond its estimated need, as hysteresis against moving an instance
/// back and forth.
const SURPLUS_MARGIN: f64 = 0.5;

/// Largest number of instances that a data centre moves in one round.
const MOVES_PER_ROUND: usize = 4;

/// Demand for a pool, as a number of busy instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Runners that the requests would keep busy.
    pub runners: f64,
    /// Workers that the tasks would keep busy.
    pub workers: f64,
}

impl Demand {
    const fn of(&self, role: Role) -> f64 {
        match role {
            Role::Runner => self.runners,
            Role::Worker | Role::Entry => self.workers,
        }
    }
}

/// A pool, and whether its runners or its workers are meant (`true` for runners).
type PoolRole = (PoolName, bool);

/// Estimates the demand for each pool, and tracks since when pools have a shortage or a surplus.
#[derive(Clone, Debug, Default)]
pub struct DemandEstimator {
    estimates: BTreeMap<PoolName, Demand>,
    /// Time of the last update.
    observed: Duration,
    short_since: BTreeMap<PoolRole, Duration>,
    surplus_since: BTreeMap<PoolRole, Duration>,
}

impl DemandEstimator {
    /// Updates the estimates with the current demand.
    ///
    /// ```
    /// # use nutmegcart_fleet::{Demand, DemandEstimator};
    /// # use std::time::Duration;
    /// let mut estimator = DemandEstimator::default();
    /// let demand = |runners| [("gates".into(), Demand { runners, workers: 0.0 })].into();
    /// estimator.observe(&demand(2.0), Duration::ZERO);
    /// estimator.observe(&demand(10.0), Duration::from_secs(5));
    /// assert!(estimator.estimate("gates").unwrap().runners < 2.3);
    /// ```
    pub fn observe(&mut self, demand: &BTreeMap<PoolName, Demand>, now: Duration) {
        let elapsed = now.saturating_sub(self.observed).as_secs_f64();
        let rate = 1.0 - (-elapsed / ESTIMATE_TIME.as_secs_f64()).exp();
        self.observed = now;
        for (pool, demand) in demand {
            let estimate = self.estimates.entry(pool.clone()).or_insert(*demand);
            estimate.runners += rate * (demand.runners - estimate.runners);
            estimate.workers += rate * (demand.workers - estimate.workers);
        }
        self.estimates.retain(|pool, _| demand.contains_key(pool));
    }

    /// Returns the estimated demand of a pool; none if none was reported.
    #[must_use]
    pub fn estimate(&self, pool: &str) -> Option<&Demand> {
        self.estimates.get(pool)
    }

    /// Returns the number of available instances that the estimated demand and the reserve need.
    pub(crate) fn needed(&self, pool: &PoolName, role: Role, policy: CapacityPolicy) -> u32 {
        let need = self.need(pool, role).unwrap_or(0.0);
        ceil_count(need * (1.0 + policy.reserve))
    }

    fn need(&self, pool: &PoolName, role: Role) -> Option<f64> {
        self.estimates.get(pool).map(|demand| demand.of(role))
    }

    /// Restarts the timers of shortage and surplus, after a time in which no instance could be
    /// moved.
    pub(crate) fn reset_timers(&mut self) {
        self.short_since.clear();
        self.surplus_since.clear();
    }

    /// Starts or clears a timer and returns for how long the condition has held.
    fn elapsed_in_state(
        timers: &mut BTreeMap<PoolRole, Duration>,
        key: PoolRole,
        holds: bool,
        now: Duration,
    ) -> Duration {
        if !holds {
            timers.remove(&key);
            return Duration::ZERO;
        }
        now.saturating_sub(*timers.entry(key).or_insert(now))
    }
}

/// Rounds up; demand is far below the limit of `u32`.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
const fn ceil_count(need: f64) -> u32 {
    need.ceil().max(0.0) as u32
}

/// Shortage and surplus of a pool's instances of one role, zero unless they have lasted.
struct PoolNeed<'a> {
    pool: &'a Pool,
    short: u32,
    surplus: u32,
}

/// Returns the instances of the own map to move, with their new pools.
pub(crate) fn moves(
    view: &FleetView,
    map: &PoolMap,
    availability: &mut AvailabilityByPool,
    blocked: &BTreeSet<PoolName>,
    estimator: &mut DemandEstimator,
    now: Duration,
) -> Vec<(InstanceId, PoolName)> {
    if estimator.estimates.is_empty() {
        return Vec::new();
    }
    let policy = CapacityPolicy::from(view.config.weights());
    let mut moves = Vec::new();
    for role in [Role::Runner, Role::Worker] {
        let pool_needs = pool_needs(
            view.config,
            availability,
            blocked,
            estimator,
            policy,
            role,
            now,
        );
        let mut donors: Vec<&PoolNeed> =
            pool_needs.iter().filter(|need| need.surplus > 0).collect();
        // Spare pools give first, then the pools with the largest surplus.
        donors.sort_by_key(|need| (!need.pool.spare, u32::MAX - need.surplus));
        let mut receivers: Vec<&PoolNeed> =
            pool_needs.iter().filter(|need| need.short > 0).collect();
        receivers.sort_by_key(|need| u32::MAX - need.short);
        let spare = pool_needs.iter().find(|need| need.pool.spare);
        for donor in donors {
            let receiver = receivers
                .iter()
                .position(|receiver| receiver.pool.name != donor.pool.name)
                .map(|index| receivers.remove(index));
            let receiver = receiver.or_else(|| spare.filter(|_| !donor.pool.spare));
            let Some(receiver) = receiver.filter(|_| moves.len() < MOVES_PER_ROUND) else {
                continue;
            };
            let found = choose_instance(
                view,
                map,
                availability,
                (donor, &receiver.pool.name),
                role,
                now,
            );
            if let Some(id) = found {
                record_move(availability, &donor.pool.name, &receiver.pool.name, role);
                moves.push((id, receiver.pool.name.clone()));
            }
        }
    }
    moves
}

/// Returns shortage and surplus of every pool with an estimate.
fn pool_needs<'a>(
    config: &'a FleetConfig,
    availability: &AvailabilityByPool,
    blocked: &BTreeSet<PoolName>,
    estimator: &mut DemandEstimator,
    policy: CapacityPolicy,
    role: Role,
    now: Duration,
) -> Vec<PoolNeed<'a>> {
    let mut pool_needs = Vec::new();
    for pool in config.pools.values() {
        let pool_availability = availability.get(&pool.name);
        let (Some(pool_availability), Some(need)) =
            (pool_availability, estimator.need(&pool.name, role))
        else {
            continue;
        };
        // A pool without free capacity for maintenance needs as many further instances as its
        // budget allows to be out at the same time.
        let is_blocked = blocked.contains(&pool.name);
        let allowed = config
            .allowance(&pool.name)
            .max_unavailable(pool_availability.of(role).members);
        let maintenance_reserve = if is_blocked { allowed.max(1) } else { 0 };
        let minimum = if role == Role::Runner {
            pool.minimum
        } else {
            0
        };
        let needed = estimator.needed(&pool.name, role, policy) + maintenance_reserve;
        let desired = needed.max(minimum);
        let retained =
            ceil_count(need * (1.0 + policy.reserve) + SURPLUS_MARGIN) + maintenance_reserve;
        let counts = pool_availability.of(role);
        // Instances that are out return to service within minutes.
        let present = counts.available() + counts.out;
        let short = desired.saturating_sub(present);
        let surplus = counts.available().saturating_sub(retained.max(desired));
        let key = (pool.name.clone(), role == Role::Runner);
        let short_for = DemandEstimator::elapsed_in_state(
            &mut estimator.short_since,
            key.clone(),
            short > 0,
            now,
        );
        let surplus_for =
            DemandEstimator::elapsed_in_state(&mut estimator.surplus_since, key, surplus > 0, now);
        let may_donate = pool.spare || surplus_for >= policy.surplus_delay;
        pool_needs.push(PoolNeed {
            pool,
            short: if short_for >= policy.shortage_delay {
                short
            } else {
                0
            },
            surplus: if may_donate { surplus } else { 0 },
        });
    }
    pool_needs
}

/// Returns an instance that the donor can give up within its budget.
fn choose_instance(
    view: &FleetView,
    map: &PoolMap,
    availability: &AvailabilityByPool,
    (donor, receiver): (&PoolNeed, &PoolName),
    role: Role,
    now: Duration,
) -> Option<InstanceId> {
    let mut after: PoolAvailability = availability.get(&donor.pool.name)?.clone();
    after.of_mut(role).members = after.of(role).members.checked_sub(1)?;
    let allowance = view.config.allowance(&donor.pool.name);
    // A percentage of a small pool may round down to zero, and no wave could then finish there.
    let blocks_waves =
        allowance.max_unavailable(after.of(role).members) == 0 && allowance != NO_BUDGET;
    if blocks_waves || after.total().unavailable() > 0 && after.is_over(allowance) {
        return None;
    }
    if !after.centres.contains(view.centre) {
        return None;
    }
    // A wave takes instances out of one rack of a pool at a time, so a pool with few instances in
    // each of many racks is slow to maintain. Instances from racks where the donor has few members
    // go first, preferably those in racks where the receiver has many.
    let mut racks: BTreeMap<&Rack, (u32, u32)> = BTreeMap::new();
    for entry in map.instances.values() {
        let counts = racks.entry(&entry.rack).or_default();
        counts.0 += u32::from(entry.pool == donor.pool.name);
        counts.1 += u32::from(entry.pool == *receiver);
    }
    map.instances
        .iter()
        .filter(|(id, entry)| {
            let observed = view.instances.known(id, now);
            entry.pool == donor.pool.name && is_movable(entry, observed, role)
        })
        .min_by_key(|(_, entry)| {
            let (own, theirs) = racks.get(&entry.rack).copied().unwrap_or_default();
            (own, u32::MAX - theirs)
        })
        .map(|(id, _)| id.clone())
}

/// Counts a planned move in the availability of both pools.
fn record_move(availability: &mut AvailabilityByPool, from: &PoolName, to: &PoolName, role: Role) {
    if let Some(pool_availability) = availability.get_mut(from) {
        pool_availability.of_mut(role).members -= 1;
    }
    if let Some(pool_availability) = availability.get_mut(to) {
        pool_availability.of_mut(role).members += 1;
    }
}

/// Returns whether an instance of the role may move: it is live and has no operation under way.
fn is_movable(entry: &MapEntry, observed: Option<&ObservedInstance>, role: Role) -> bool {
    entry.role == role
        && entry.state == MaintenanceState::Service
        && observed.is_some_and(|observed| observed.state == InstanceState::Live)
}
