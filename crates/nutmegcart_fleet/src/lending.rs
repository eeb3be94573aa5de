//! Lending between pools and the spare pool, by a demand estimate over minutes.
//!
//! Bursts of seconds are absorbed on the request path; moving an instance for one would cost a
//! move and come too late.

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

/// Time constant of the demand estimate, longer than the bursts of some seconds.
pub const ESTIMATE_TIME: Duration = Duration::from_mins(3);

/// Part of an instance by which the estimate must fall below a surplus, against moving back and
/// forth at a boundary.
const GAP: f64 = 0.5;

/// Largest number of instances that a data centre moves in one round.
const MOVES_PER_ROUND: usize = 4;

/// Demand for a pool's instances, in instances.
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

/// A pool and whether its runners are meant.
type Side = (PoolName, bool);

/// Demand estimates, and since when pools have a shortage or a surplus.
#[derive(Clone, Debug, Default)]
pub struct DemandEstimator {
    estimates: BTreeMap<PoolName, Demand>,
    observed: Duration,
    short: BTreeMap<Side, Duration>,
    surplus: BTreeMap<Side, Duration>,
}

impl DemandEstimator {
    /// Takes the present demand into the estimate.
    ///
    /// ```
    /// # use nutmegcart_fleet::{Demand, DemandEstimator};
    /// # use std::time::Duration;
    /// let mut lending = DemandEstimator::default();
    /// let demand = |runners| [("gates".into(), Demand { runners, workers: 0.0 })].into();
    /// lending.observe(&demand(2.0), Duration::ZERO);
    /// lending.observe(&demand(10.0), Duration::from_secs(5));
    /// assert!(lending.estimate("gates").unwrap().runners < 2.3);
    /// ```
    pub fn observe(&mut self, demand: &BTreeMap<PoolName, Demand>, now: Duration) {
        let passed = now.saturating_sub(self.observed).as_secs_f64();
        let rate = 1.0 - (-passed / ESTIMATE_TIME.as_secs_f64()).exp();
        self.observed = now;
        for (pool, demand) in demand {
            let estimate = self.estimates.entry(pool.clone()).or_insert(*demand);
            estimate.runners += rate * (demand.runners - estimate.runners);
            estimate.workers += rate * (demand.workers - estimate.workers);
        }
        self.estimates.retain(|pool, _| demand.contains_key(pool));
    }

    /// Returns the estimated demand of a pool; none if nobody reported any.
    #[must_use]
    pub fn estimate(&self, pool: &str) -> Option<&Demand> {
        self.estimates.get(pool)
    }

    /// Returns how many available instances the estimated demand asks for.
    pub(crate) fn needed(&self, pool: &PoolName, role: Role, policy: CapacityPolicy) -> u32 {
        let need = self.need(pool, role).unwrap_or(0.0);
        ceiling(need * (1.0 + policy.reserve))
    }

    fn need(&self, pool: &PoolName, role: Role) -> Option<f64> {
        self.estimates.get(pool).map(|demand| demand.of(role))
    }

    /// Restarts the times of shortage and surplus, since demand was not acted on meanwhile.
    pub(crate) fn forget_timers(&mut self) {
        self.short.clear();
        self.surplus.clear();
    }

    fn lasts(
        timers: &mut BTreeMap<Side, Duration>,
        side: Side,
        is: bool,
        now: Duration,
    ) -> Duration {
        if !is {
            timers.remove(&side);
            return Duration::ZERO;
        }
        now.saturating_sub(*timers.entry(side).or_insert(now))
    }
}

/// Rounds up; demand is far below the range of the type.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
const fn ceiling(need: f64) -> u32 {
    need.ceil().max(0.0) as u32
}

/// What a pool wants of one role.
struct Want<'a> {
    pool: &'a Pool,
    short: u32,
    surplus: u32,
}

/// Returns the instances of the own map that move, with the pools that they move to.
pub(crate) fn moves(
    view: &FleetView,
    map: &PoolMap,
    availability_by_pool: &mut AvailabilityByPool,
    blocked: &BTreeSet<PoolName>,
    lending: &mut DemandEstimator,
    now: Duration,
) -> Vec<(InstanceId, PoolName)> {
    if lending.estimates.is_empty() {
        return Vec::new();
    }
    let policy = CapacityPolicy::from(view.config.weights());
    let mut moves = Vec::new();
    for role in [Role::Runner, Role::Worker] {
        let wants = wants(
            view.config,
            availability_by_pool,
            blocked,
            lending,
            policy,
            role,
            now,
        );
        let mut donors: Vec<&Want> = wants.iter().filter(|want| want.surplus > 0).collect();
        // Spare pools give first, then whoever has most to give.
        donors.sort_by_key(|want| (!want.pool.spare, u32::MAX - want.surplus));
        let mut takers: Vec<&Want> = wants.iter().filter(|want| want.short > 0).collect();
        takers.sort_by_key(|want| u32::MAX - want.short);
        let spare = wants.iter().find(|want| want.pool.spare);
        for donor in donors {
            let taker = takers
                .iter()
                .position(|taker| taker.pool.name != donor.pool.name)
                .map(|index| takers.remove(index));
            let taker = taker.or_else(|| spare.filter(|_| !donor.pool.spare));
            let Some(taker) = taker.filter(|_| moves.len() < MOVES_PER_ROUND) else {
                continue;
            };
            let found = movable(
                view,
                map,
                availability_by_pool,
                (donor, &taker.pool.name),
                role,
                now,
            );
            if let Some(id) = found {
                shift(
                    availability_by_pool,
                    &donor.pool.name,
                    &taker.pool.name,
                    role,
                );
                moves.push((id, taker.pool.name.clone()));
            }
        }
    }
    moves
}

fn wants<'a>(
    settings: &'a FleetConfig,
    availability_by_pool: &AvailabilityByPool,
    blocked: &BTreeSet<PoolName>,
    lending: &mut DemandEstimator,
    policy: CapacityPolicy,
    role: Role,
    now: Duration,
) -> Vec<Want<'a>> {
    let mut wants = Vec::new();
    for pool in settings.pools.values() {
        let standing = availability_by_pool.get(&pool.name);
        let (Some(standing), Some(need)) = (standing, lending.need(&pool.name, role)) else {
            continue;
        };
        // A pool that has no capacity to spare borrows what its budget lets go at once.
        let borrows = blocked.contains(&pool.name);
        let allowed = settings
            .allowance(&pool.name)
            .max_unavailable(standing.of(role).members);
        let extra = if borrows { allowed.max(1) } else { 0 };
        let minimum = if role == Role::Runner {
            pool.minimum
        } else {
            0
        };
        let needed = lending.needed(&pool.name, role, policy) + extra;
        let desired = needed.max(minimum);
        let generous = ceiling(need * (1.0 + policy.reserve) + GAP) + extra;
        let counts = standing.of(role);
        // Instances that are out come back by themselves within minutes.
        let present = counts.available() + counts.out;
        let short = desired.saturating_sub(present);
        let surplus = counts.available().saturating_sub(generous.max(desired));
        let side = (pool.name.clone(), role == Role::Runner);
        let waited = DemandEstimator::lasts(&mut lending.short, side.clone(), short > 0, now);
        let idle = DemandEstimator::lasts(&mut lending.surplus, side, surplus > 0, now);
        let free = pool.spare || idle >= policy.surplus;
        wants.push(Want {
            pool,
            short: if waited >= policy.shortage { short } else { 0 },
            surplus: if free { surplus } else { 0 },
        });
    }
    wants
}

/// Returns an instance that the donor can give without exceeding its budget.
fn movable(
    view: &FleetView,
    map: &PoolMap,
    availability_by_pool: &AvailabilityByPool,
    (donor, taker): (&Want, &PoolName),
    role: Role,
    now: Duration,
) -> Option<InstanceId> {
    let mut after: PoolAvailability = availability_by_pool.get(&donor.pool.name)?.clone();
    after.of_mut(role).members = after.of(role).members.checked_sub(1)?;
    let allowance = view.config.allowance(&donor.pool.name);
    // A share of a small pool rounds down to nothing, and a wave could never finish there.
    let closes = allowance.max_unavailable(after.of(role).members) == 0 && allowance != NO_BUDGET;
    if closes || after.total().unavailable() > 0 && after.is_over(allowance) {
        return None;
    }
    if !after.centres.contains(view.centre) {
        return None;
    }
    // A wave opens one rack of a pool at a time, so pools that spread over many racks by ones
    // and twos are slow to maintain: stragglers of the donor go first, to racks of the taker.
    let mut racks: BTreeMap<&Rack, (u32, u32)> = BTreeMap::new();
    for entry in map.instances.values() {
        let counts = racks.entry(&entry.rack).or_default();
        counts.0 += u32::from(entry.pool == donor.pool.name);
        counts.1 += u32::from(entry.pool == *taker);
    }
    map.instances
        .iter()
        .filter(|(id, entry)| {
            let line = view.instances.known(id, now);
            entry.pool == donor.pool.name && is_movable(entry, line, role)
        })
        .min_by_key(|(_, entry)| {
            let (own, theirs) = racks.get(&entry.rack).copied().unwrap_or_default();
            (own, u32::MAX - theirs)
        })
        .map(|(id, _)| id.clone())
}

fn shift(
    availability_by_pool: &mut AvailabilityByPool,
    from: &PoolName,
    to: &PoolName,
    role: Role,
) {
    if let Some(standing) = availability_by_pool.get_mut(from) {
        standing.of_mut(role).members -= 1;
    }
    if let Some(standing) = availability_by_pool.get_mut(to) {
        standing.of_mut(role).members += 1;
    }
}

/// Returns whether an instance may move: it carries its service and nothing is done with it.
fn is_movable(entry: &MapEntry, line: Option<&ObservedInstance>, role: Role) -> bool {
    entry.role == role
        && entry.state == MaintenanceState::Service
        && line.is_some_and(|line| line.state == InstanceState::Live)
}
