//! Load of workers during a scheduling round, and the choice of a worker for a task.

use std::cmp::Ordering;

use crate::resources::Resources;

/// Resources reserved on a worker for a task that may run there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// Index of the job in the round.
    pub job: usize,
    /// Index of the task in its job.
    pub index: u32,
    /// Reserved resources.
    pub size: Resources,
}

/// Capacity and reservations of one worker during a round.
#[derive(Clone, Debug, Default)]
pub struct WorkerLoad {
    /// Index of the pool.
    pub pool: usize,
    /// Index of the rack.
    pub rack: usize,
    /// Resources of the worker.
    pub capacity: Resources,
    /// Sum of the reservations.
    pub reserved: Resources,
    /// Part of `reserved` whose tasks are being ended.
    pub ending: Resources,
    /// Resources that waiting urgent tasks will take as soon as they are free.
    pub claimed: Resources,
    /// Whether the worker is live, reporting and not quarantined.
    pub accepting: bool,
    /// Failures in a row; workers with fewer are preferred.
    pub failure_streak: usize,
    /// Reservations of the tasks that may run.
    pub reservations: Vec<Reservation>,
}

/// Failures in a row from which on a worker gets only one task at a time.
const PROBE_FAILURES: usize = 3;

impl WorkerLoad {
    /// Returns the resources that are free now.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(self.reserved)
    }

    /// Returns the resources that will be free once ending tasks have ended and claims are served.
    #[must_use]
    pub fn room_later(&self) -> Resources {
        self.capacity
            .saturating_sub(self.reserved.saturating_sub(self.ending))
            .saturating_sub(self.claimed)
    }

    /// Returns the free resources that can be used without delaying a claim.
    #[must_use]
    pub fn spare(&self) -> Resources {
        self.free().min(self.room_later())
    }

    /// Returns whether a task may start on the worker, whatever its size.
    #[must_use]
    pub fn accepts(&self) -> bool {
        self.accepting && (self.failure_streak < PROBE_FAILURES || self.reservations.is_empty())
    }

    /// Reserves resources for a task.
    pub fn reserve(&mut self, reservation: Reservation) {
        self.reserved += reservation.size;
        self.reservations.push(reservation);
    }
}

/// Rank of a worker for a task; the smallest is chosen, compared in the order of the fields.
#[derive(Clone, Copy, Debug, PartialEq)]
struct WorkerRank {
    failures: usize,
    spread: u32,
    idle_accelerators: u32,
    leftover: f64,
}

impl WorkerRank {
    fn cmp(&self, other: &Self) -> Ordering {
        self.failures
            .cmp(&other.failures)
            .then(self.spread.cmp(&other.spread))
            .then(self.idle_accelerators.cmp(&other.idle_accelerators))
            .then(self.leftover.total_cmp(&other.leftover))
    }
}

/// Number of tasks of one job in each rack, by rack index.
#[derive(Clone, Debug, Default)]
pub struct RackSpread(Vec<(usize, u32)>);

impl RackSpread {
    /// Counts one more task in a rack.
    pub fn add(&mut self, rack: usize) {
        match self.0.iter_mut().find(|entry| entry.0 == rack) {
            Some(entry) => entry.1 += 1,
            None => self.0.push((rack, 1)),
        }
    }

    /// Returns the number of tasks in a rack.
    #[must_use]
    pub fn count(&self, rack: usize) -> u32 {
        let entry = self.0.iter().find(|entry| entry.0 == rack);
        entry.map_or(0, |entry| entry.1)
    }
}

/// Returns the index of the best worker of a pool for a task; none if it fits on no worker.
///
/// Prefers workers with fewer failures, then racks with fewer tasks of the job, then workers with
/// fewer accelerators left idle, then the tightest fit.
///
/// ```
/// # use nutmegcart_fleet::Resources;
/// # use nutmegcart_fleet::placement::{WorkerLoad, RackSpread, best_worker};
/// let load = |cpu| WorkerLoad { accepting: true, capacity: Resources::new(cpu, 100, 0), ..WorkerLoad::default() };
/// let loads = [load(8), load(4), load(2)];
/// let size = Resources::new(3, 1, 0);
/// let chosen = best_worker(&loads, &[0, 1, 2], size, &RackSpread::default(), WorkerLoad::spare, |_| 0);
/// assert_eq!(chosen, Some(1));
/// ```
pub fn best_worker(
    loads: &[WorkerLoad],
    pool: &[usize],
    size: Resources,
    spread: &RackSpread,
    room: impl Fn(&WorkerLoad) -> Resources,
    failures: impl Fn(usize) -> usize,
) -> Option<usize> {
    let mut chosen: Option<(WorkerRank, usize)> = None;
    for &worker in pool {
        let load = &loads[worker];
        let room = room(load);
        if !load.accepts() || !size.fits(room) {
            continue;
        }
        let leftover = room.saturating_sub(size);
        let rank = WorkerRank {
            failures: load.failure_streak.min(PROBE_FAILURES) + failures(worker),
            spread: spread.count(load.rack),
            idle_accelerators: leftover.accelerators,
            leftover: leftover.share(load.capacity),
        };
        if chosen.is_none_or(|(best_worker, _)| rank.cmp(&best_worker) == Ordering::Less) {
            chosen = Some((rank, worker));
        }
    }
    chosen.map(|(_, worker)| worker)
}
