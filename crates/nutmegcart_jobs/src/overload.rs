//! Decides which waiting work is delayed while a pool has little room left.
//!
//! Load pattern: a burst leaves work behind that has missed its objective. If it takes each bit of
//! room as it becomes free, the pool stays full, and the next jobs wait for running tasks although
//! they could still be in time. Late work earns 0.07 of its value, work in time all of it.
//!
//! Only cells with organisations delay work; docs/design/overload.md tells why.

use std::collections::HashMap;
use std::time::Duration;

use nutmegcart_model::PoolName;

use crate::fair_shares::Candidate;
use crate::fair_shares::MAX_AGE;
use crate::passing::batch_cpu;
use crate::rank::Coverage;
use crate::rank::Rank;
use crate::rank::Urgency;
use crate::scheduler::Scheduler;
use crate::slot::Constraints;
use crate::slot::Slot;
use crate::slot::Slots;

/// Share of the room of a pool that is kept free for work which can be in time. 0.1 earned less on
/// the loads with missed objectives and urgent jobs, and 0.35 no more on most.
const KEPT_SHARE: f64 = 0.2;

/// Processor of the usable workers of a pool, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Room {
    /// What no task uses.
    pub free: u64,
    /// All that long-running tasks leave.
    pub all: u64,
}

/// What happens to waiting work in a placement pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It is placed if it fits.
    Place,
    /// It waits for a later pass.
    Delay,
}

/// Decides about a waiting occurrence that became due `age` ago.
///
/// Work that has not started and will miss its objective is delayed while less than a fifth of the
/// pool's room is free, and at most until it is [`MAX_AGE`] old: from then on it may take any room.
///
/// ```
/// # use std::time::Duration;
/// # use nutmegcart_jobs::overload::{Decision, Room, decide};
/// # use nutmegcart_jobs::rank::{Coverage, Rank, Urgency};
/// let late = Rank {
///     priority: 0,
///     urgency: Urgency::Late,
///     key: 1.0,
///     started: false,
///     coverage: Coverage::Covered,
/// };
/// let age = Duration::from_secs(3);
/// assert_eq!(decide(&late, age, Room { free: 4_000, all: 64_000 }), Decision::Delay);
/// assert_eq!(decide(&late, age, Room { free: 32_000, all: 64_000 }), Decision::Place);
/// let age = Duration::from_secs(20);
/// assert_eq!(decide(&late, age, Room { free: 4_000, all: 64_000 }), Decision::Place);
/// ```
#[must_use]
pub fn decide(rank: &Rank, age: Duration, room: Room) -> Decision {
    let missed = matches!(rank.urgency, Urgency::Late | Urgency::Overdue);
    let is_turn = rank.coverage == Coverage::Turn;
    let scarce = (room.free as f64) < room.all as f64 * KEPT_SHARE;
    if scarce && missed && !rank.started && !is_turn && age < MAX_AGE {
        Decision::Delay
    } else {
        Decision::Place
    }
}

impl Scheduler {
    /// Returns the processor of the usable workers of a pool that long-running tasks leave.
    pub(crate) fn batch_room(&self, pool: &PoolName, now: Duration) -> u64 {
        let workers = self.workers.values();
        let workers = workers.filter(|worker| worker.listing.pool == *pool && worker.usable(now));
        workers.map(batch_cpu).fold(0, u64::saturating_add)
    }

    /// Keeps the worker with most room free for the tasks that still wait in a job whose turn it is.
    ///
    /// Smaller tasks would otherwise take all room as it becomes free, before it suffices for a
    /// large one.
    pub(crate) fn keep_room(&self, slots: &mut Slots, candidate: &Candidate) {
        let Some(job) = self.jobs.get(&candidate.job) else {
            return;
        };
        let occurrence = job.occurrences.get(&candidate.occurrence);
        let states = occurrence.iter().flat_map(|each| &each.steps);
        let steps = job.accepted.job.steps.iter().zip(states);
        let waiting = steps.filter(|(_, state)| state.ready && state.has_pending());
        let Some((step, _)) = waiting.max_by_key(|(step, _)| step.need.cpu) else {
            return;
        };
        // A worker would stay empty for as long as the limit of its organisation holds the job back.
        if !self.limit_admits(job, step, 1) {
            return;
        }
        let counts = HashMap::new();
        let constraints = Constraints {
            avoid: None,
            preferred_rack: None,
            runs_per_worker: &counts,
            tickets: None,
        };
        let fits = |slot: &&mut Slot| {
            slot.admits(step, &constraints) && step.allocation().fits(slot.capacity)
        };
        let fitting = slots.items.iter_mut().filter(fits);
        if let Some(slot) = fitting.max_by_key(|slot| slot.free.cpu) {
            slot.reserved = true;
        }
        slots.update_largest_free();
    }
}
