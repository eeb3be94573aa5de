//! Room on workers during one planning round, and the choice of a worker.

use std::cmp::Ordering;

use crate::resources::Resources;

/// A task that may run on a worker, with what is reserved for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// Number of the job.
    pub job: usize,
    /// Index of the task.
    pub index: u32,
    /// What is reserved.
    pub size: Resources,
}

/// One worker during a round.
#[derive(Clone, Debug, Default)]
pub struct WorkerLoad {
    /// Number of the pool.
    pub pool: usize,
    /// Number of the rack.
    pub rack: usize,
    /// What the worker has.
    pub capacity: Resources,
    /// What is reserved for tasks that may run.
    pub used: Resources,
    /// The part of `used` that is about to be freed.
    pub leaving: Resources,
    /// What waiting urgent tasks will take as soon as it is free.
    pub claimed: Resources,
    /// Whether starts are accepted.
    pub open: bool,
    /// Failures in a row; a worker with fewer is preferred.
    pub row: usize,
    /// Tasks that may run.
    pub tasks: Vec<Reservation>,
}

/// Failures in a row from which a worker that is not quarantined gets one task at a time.
const PROBE_ROW: usize = 3;

impl WorkerLoad {
    /// Returns the room for a start now.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(self.used)
    }

    /// Returns the room that is left once leaving tasks are gone and claims are served.
    #[must_use]
    pub fn later(&self) -> Resources {
        self.capacity
            .saturating_sub(self.used.saturating_sub(self.leaving))
            .saturating_sub(self.claimed)
    }

    /// Returns the room for a start that must not delay a claim.
    #[must_use]
    pub fn spare(&self) -> Resources {
        self.free().min(self.later())
    }

    /// Returns whether a task may start here at all.
    #[must_use]
    pub fn accepts(&self) -> bool {
        self.open && (self.row < PROBE_ROW || self.tasks.is_empty())
    }

    /// Reserves room for a task.
    pub fn take(&mut self, holding: Reservation) {
        self.used += holding.size;
        self.tasks.push(holding);
    }
}

/// How well a worker suits a task; the smallest is chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Rank {
    failures: usize,
    spread: u32,
    devices: u32,
    rest: f64,
}

impl Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        self.failures
            .cmp(&other.failures)
            .then(self.spread.cmp(&other.spread))
            .then(self.devices.cmp(&other.devices))
            .then(self.rest.total_cmp(&other.rest))
    }
}

/// Tasks of one job in each rack, indexed by the rack's number.
#[derive(Clone, Debug, Default)]
pub struct RackSpread(Vec<(usize, u32)>);

impl RackSpread {
    /// Counts one task.
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

/// Returns the best worker of a pool for a task, by number.
///
/// Workers that failed less come first, then racks with fewer tasks of the job, then workers
/// whose accelerators would not be wasted, then the tightest fit.
///
/// ```
/// # use nutmegcart_fleet::Resources;
/// # use nutmegcart_fleet::placement::{WorkerLoad, RackSpread, best};
/// let seat = |cpu| WorkerLoad { open: true, capacity: Resources::new(cpu, 100, 0), ..WorkerLoad::default() };
/// let seats = [seat(8), seat(4), seat(2)];
/// let size = Resources::new(3, 1, 0);
/// let chosen = best(&seats, &[0, 1, 2], size, &RackSpread::default(), WorkerLoad::spare, |_| 0);
/// assert_eq!(chosen, Some(1));
/// ```
pub fn best(
    seats: &[WorkerLoad],
    pool: &[usize],
    size: Resources,
    spread: &RackSpread,
    room: impl Fn(&WorkerLoad) -> Resources,
    failures: impl Fn(usize) -> usize,
) -> Option<usize> {
    let mut chosen: Option<(Rank, usize)> = None;
    for &number in pool {
        let seat = &seats[number];
        let room = room(seat);
        if !seat.accepts() || !size.fits(room) {
            continue;
        }
        let rest = room.saturating_sub(size);
        let rank = Rank {
            failures: seat.row.min(PROBE_ROW) + failures(number),
            spread: spread.count(seat.rack),
            devices: rest.accelerators,
            rest: rest.share(seat.capacity),
        };
        if chosen.is_none_or(|(best, _)| rank.cmp(&best) == Ordering::Less) {
            chosen = Some((rank, number));
        }
    }
    chosen.map(|(_, number)| number)
}
