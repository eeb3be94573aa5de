//! The faults of a seed.

use std::fmt;
use std::time::Duration;

use nutmegcart_stand_in::gate::Conduct;
use nutmegcart_stand_in::runner::Side;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;

/// Length of a round of faults in milliseconds; each is followed by a calm stretch.
const ROUND_MS: u64 = 8_000;
/// Fewest and most faults of a round, in which a series counts as one.
const FAULTS_PER_ROUND: (u32, u32) = (2, 5);
/// Longest time from the start of a round to the start of a fault, in milliseconds.
const LATEST_START_MS: u64 = 5_000;
/// Time between the faults of a series, in milliseconds.
const SERIES_GAP_MS: u64 = 700;
/// Number of workers.
pub const WORKERS: usize = 3;
/// Latest version of schedules. Version 2 adds [`Kind::Configure`] and [`Kind::Reset`], version 3
/// [`Kind::Partition`], version 4 organisations and a configuration that revokes a key while instances
/// are killed.
pub const VERSION: u32 = 4;
/// First version in which the configuration has organisations.
const ORGANISATIONS_VERSION: u32 = 4;
/// Combined with a seed for the faults that a later version adds, so that the earlier ones stay.
const ADDED_STREAM: u64 = 0x9e37_79b9_7f4a_7c15;
const PARTITION_STREAM: u64 = 0xd1b5_4a32_d192_ed03;
const REVOCATION_STREAM: u64 = 0x8cb9_2ba7_2f3d_8dd7;
/// Longest time from a revocation to the end of the first process, in milliseconds.
const MAX_REVOCATION_GAP_MS: u64 = 400;
/// Latest start of a partition, its shortest length, and that of the fault of the store in it.
const LATEST_PARTITION_MS: u64 = 1_500;
const MIN_PARTITION_MS: u64 = 6_000;
const STORE_LOSS_MS: u64 = 5_000;
/// Most configurations of one series, and the longest gap between them in milliseconds.
const MAX_CONFIGURATIONS: u64 = 4;
const MAX_CONFIGURATION_GAP_MS: u64 = 900;

/// Size of a run; together with the seed it determines the faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Size {
    /// Version of the schedule, 1 to [`VERSION`].
    pub version: u32,
    /// Number of instances.
    pub instances: usize,
    /// Number of cells, at most [`WORKERS`]; each has a worker.
    pub cells: u32,
    /// Time of faults in seconds.
    pub seconds: u64,
}

impl Size {
    /// Returns whether the configuration has organisations.
    #[must_use]
    pub const fn has_organisations(&self) -> bool {
        self.version >= ORGANISATIONS_VERSION
    }
}

impl Default for Size {
    fn default() -> Self {
        Self {
            version: VERSION,
            instances: 3,
            cells: 1,
            seconds: 16,
        }
    }
}

/// What a fault does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// SIGSTOP for an instance, and SIGCONT at the end.
    Pause(usize),
    /// SIGKILL for an instance, which is started again at the end.
    Kill(usize),
    /// SIGTERM for an instance, which is started again at the end.
    Terminate(usize),
    /// SIGHUP for an instance.
    Reload(usize),
    /// Conduct of the store for every n-th call of one instance.
    Store(usize, Conduct, u32),
    /// Conduct of the store for every n-th call of each instance.
    WholeStore(Conduct, u32),
    /// The store forgets its history.
    Forget,
    /// Conduct of a worker for every n-th call.
    Worker(usize, Conduct, u32),
    /// A worker crashes; at the end it starts again under its identifier and address.
    Crash(usize),
    /// As a crash, but the entry of the worker is missing until it starts again.
    Leave(usize),
    /// A partition of the network, with a worker on one of its sides.
    Partition(usize, Side),
    /// The operator writes the next configuration.
    Configure,
    /// Callers reset half of their connections to an instance, at any point of a call.
    Reset(usize),
}

/// A fault and its time in milliseconds from the start of its round.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Start of the fault.
    pub from_ms: u64,
    /// End of the fault.
    pub until_ms: u64,
    /// What the fault does.
    pub kind: Kind,
}

impl Fault {
    /// Returns whether an operator or other callers cause it, and a caller must not notice.
    #[must_use]
    pub fn is_planned(&self) -> bool {
        matches!(
            self.kind,
            Kind::Terminate(_) | Kind::Reload(_) | Kind::Configure | Kind::Reset(_)
        )
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            from_ms,
            until_ms,
            kind,
        } = self;
        write!(f, "{from_ms:>6} to {until_ms:>6} ms  {kind}")
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Kind::Pause(instance) => write!(f, "instance {instance} paused"),
            Kind::Kill(instance) => write!(f, "instance {instance} killed and restarted"),
            Kind::Terminate(instance) => write!(f, "instance {instance} shut down and restarted"),
            Kind::Reload(instance) => write!(f, "instance {instance} reloads its settings"),
            Kind::Store(instance, conduct, every) => {
                write!(
                    f,
                    "store to instance {instance}: {conduct:?}, 1 call of {every}"
                )
            }
            Kind::WholeStore(conduct, every) => write!(f, "store: {conduct:?}, 1 call of {every}"),
            Kind::Forget => write!(f, "store forgets its history"),
            Kind::Worker(worker, conduct, every) => {
                write!(f, "worker {worker}: {conduct:?}, 1 call of {every}")
            }
            Kind::Crash(worker) => write!(f, "worker {worker} crashes and restarts"),
            Kind::Leave(worker) => write!(f, "worker {worker} leaves and returns"),
            Kind::Partition(worker, Side::Present) => {
                write!(f, "worker {worker} is reached by the present owner only")
            }
            Kind::Partition(worker, Side::Later) => {
                write!(f, "worker {worker} is reached by later owners only")
            }
            Kind::Configure => write!(f, "operator writes a configuration"),
            Kind::Reset(instance) => write!(f, "callers of instance {instance} reset connections"),
        }
    }
}

/// The faults of a seed, in rounds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Schedule {
    /// Seed from which the faults were drawn.
    pub seed: u64,
    /// Size of the run.
    pub size: Size,
    /// Faults of each round, ordered by their start.
    pub rounds: Vec<Vec<Fault>>,
}

impl Schedule {
    /// Draws the faults of a seed.
    ///
    /// ```
    /// use nutmegcart_soak::schedule::Schedule;
    /// use nutmegcart_soak::schedule::Size;
    ///
    /// let schedule = Schedule::draw(7, Size::default());
    /// assert_eq!(schedule.rounds.len(), 2);
    /// assert_eq!(schedule, Schedule::draw(7, Size::default()));
    /// ```
    #[must_use]
    pub fn draw(seed: u64, size: Size) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut added = StdRng::seed_from_u64(seed ^ ADDED_STREAM);
        let mut partitions = StdRng::seed_from_u64(seed ^ PARTITION_STREAM);
        let mut revocations = StdRng::seed_from_u64(seed ^ REVOCATION_STREAM);
        let rounds = (size.seconds * 1_000).div_ceil(ROUND_MS);
        let rounds = (0..rounds).map(|_| {
            let mut faults = draw_round(&mut rng, size.instances);
            if size.version > 1 {
                faults.extend(draw_added(&mut added, size.instances));
            }
            if size.version > 2 {
                faults.extend(draw_partition(&mut partitions, size.instances));
            }
            if size.has_organisations() {
                faults.extend(draw_revocation(&mut revocations, size.instances));
            }
            if size.version > 1 {
                faults.sort_by_key(|fault| (fault.from_ms, fault.until_ms));
            }
            faults
        });
        Self {
            seed,
            size,
            rounds: rounds.collect(),
        }
    }
}

/// Draws the faults that version 4 adds to a round: each configuration revokes the key of the one
/// before, and meanwhile instances are killed one after the other, the owners among them.
fn draw_revocation(rng: &mut StdRng, instances: usize) -> Vec<Fault> {
    let from_ms = rng.random_range(0..LATEST_START_MS);
    let gap = rng.random_range(0..MAX_REVOCATION_GAP_MS);
    let first = rng.random_range(0..instances);
    let killed = rng.random_range(1..instances.max(2));
    let mut faults = vec![Fault {
        from_ms,
        until_ms: from_ms + 1,
        kind: Kind::Configure,
    }];
    faults.extend((0..killed).zip(0..).map(|(number, step)| {
        let from_ms = (from_ms + gap + step * SERIES_GAP_MS).min(LATEST_START_MS);
        Fault {
            from_ms,
            until_ms: from_ms + rng.random_range(50..2_500),
            kind: Kind::Kill((first + number) % instances),
        }
    }));
    faults
}

/// Draws the faults that version 3 adds to a round: an instance loses the store, and if
/// it owns a cell, it reaches other workers than its successor.
fn draw_partition(rng: &mut StdRng, instances: usize) -> Vec<Fault> {
    if rng.random() {
        return Vec::new();
    }
    let from_ms = rng.random_range(0..LATEST_PARTITION_MS);
    let until_ms = rng.random_range(from_ms + MIN_PARTITION_MS..=ROUND_MS);
    let instance = rng.random_range(0..instances);
    let alone = rng.random_range(0..WORKERS);
    let (one, others) = if rng.random() {
        (Side::Present, Side::Later)
    } else {
        (Side::Later, Side::Present)
    };
    let side = |worker| if worker == alone { one } else { others };
    let mut faults: Vec<Fault> = (0..WORKERS)
        .map(|worker| Fault {
            from_ms,
            until_ms,
            kind: Kind::Partition(worker, side(worker)),
        })
        .collect();
    faults.push(Fault {
        from_ms,
        until_ms: from_ms + STORE_LOSS_MS,
        kind: Kind::Store(instance, Conduct::Close, 1),
    });
    faults
}

/// Draws the faults that version 2 adds to a round.
fn draw_added(rng: &mut StdRng, instances: usize) -> Vec<Fault> {
    let mut faults = Vec::new();
    if rng.random_ratio(2, 3) {
        let first = rng.random_range(0..LATEST_START_MS);
        let gap = rng.random_range(0..MAX_CONFIGURATION_GAP_MS);
        for step in 0..rng.random_range(1..=MAX_CONFIGURATIONS) {
            let from_ms = (first + step * gap).min(LATEST_START_MS);
            faults.push(Fault {
                from_ms,
                until_ms: from_ms + 1,
                kind: Kind::Configure,
            });
        }
    }
    if rng.random_ratio(1, 2) {
        let from_ms = rng.random_range(0..LATEST_START_MS);
        let length = rng.random_range(300..4_000);
        let first = rng.random_range(0..instances);
        let count = if rng.random_ratio(1, 3) { instances } else { 1 };
        faults.extend((0..count).map(|number| Fault {
            from_ms,
            until_ms: (from_ms + length).min(ROUND_MS),
            kind: Kind::Reset((first + number) % instances),
        }));
    }
    faults
}

fn draw_round(rng: &mut StdRng, instances: usize) -> Vec<Fault> {
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(FAULTS_PER_ROUND.0..=FAULTS_PER_ROUND.1) {
        let from_ms = rng.random_range(0..LATEST_START_MS);
        let kind = draw_kind(rng, instances);
        let fault = |from_ms: u64, length: u64, kind| Fault {
            from_ms,
            until_ms: (from_ms + length).min(ROUND_MS),
            kind,
        };
        let length = draw_length(rng, kind);
        faults.push(fault(from_ms, length, kind));
        // A series hits the instances in turn; without a gap it hits all of them at once.
        if rng.random_ratio(1, 4) {
            let gap = if rng.random() { SERIES_GAP_MS } else { 0 };
            for (number, step) in (1..instances).zip(1..) {
                let from_ms = (from_ms + step * gap).min(LATEST_START_MS);
                let kind = next_target(kind, number, instances);
                faults.push(fault(from_ms, length, kind));
            }
        }
    }
    faults.sort_by_key(|fault| (fault.from_ms, fault.until_ms));
    faults
}

/// Returns the fault for the instance or worker that comes `number` places later.
fn next_target(kind: Kind, number: usize, instances: usize) -> Kind {
    let instance = |each: usize| (each + number) % instances;
    let worker = |each: usize| (each + number) % WORKERS;
    match kind {
        Kind::Pause(each) => Kind::Pause(instance(each)),
        Kind::Kill(each) => Kind::Kill(instance(each)),
        Kind::Terminate(each) => Kind::Terminate(instance(each)),
        Kind::Reload(each) => Kind::Reload(instance(each)),
        Kind::Store(each, conduct, every) => Kind::Store(instance(each), conduct, every),
        Kind::Worker(each, conduct, every) => Kind::Worker(worker(each), conduct, every),
        Kind::Crash(each) => Kind::Crash(worker(each)),
        Kind::Leave(each) => Kind::Leave(worker(each)),
        Kind::Reset(each) => Kind::Reset(instance(each)),
        Kind::Partition(each, side) => Kind::Partition(worker(each), side),
        Kind::WholeStore(..) | Kind::Forget | Kind::Configure => kind,
    }
}

fn draw_kind(rng: &mut StdRng, instances: usize) -> Kind {
    let instance = rng.random_range(0..instances);
    let worker = rng.random_range(0..WORKERS);
    match rng.random_range(0..16) {
        0..3 => Kind::Pause(instance),
        3..5 => Kind::Kill(instance),
        5..7 => Kind::Terminate(instance),
        7 => Kind::Reload(instance),
        8..10 => {
            let (conduct, every) = draw_conduct(rng);
            Kind::Store(instance, conduct, every)
        }
        10 => {
            let (conduct, every) = draw_conduct(rng);
            Kind::WholeStore(conduct, every)
        }
        11 => Kind::Forget,
        12..14 => {
            let (conduct, every) = draw_conduct(rng);
            Kind::Worker(worker, conduct, every)
        }
        14 => Kind::Crash(worker),
        _ => Kind::Leave(worker),
    }
}

fn draw_conduct(rng: &mut StdRng) -> (Conduct, u32) {
    let every = rng.random_range(1..=3);
    let delay = Duration::from_millis(rng.random_range(50..900));
    let late = Duration::from_millis(rng.random_range(500..4_000));
    let conduct = match rng.random_range(0..6) {
        0 => Conduct::Refuse,
        1 => Conduct::Close,
        2 => Conduct::Ignore,
        3 => Conduct::Delay(delay),
        4 => Conduct::LoseAnswer,
        _ => Conduct::Postpone(late),
    };
    (conduct, every)
}

/// Returns the length of a fault in milliseconds. Pauses are shorter or longer than the lease of an
/// owner.
fn draw_length(rng: &mut StdRng, kind: Kind) -> u64 {
    match kind {
        Kind::Pause(_) => rng.random_range(300..6_000),
        Kind::Kill(_) => rng.random_range(50..2_500),
        Kind::Terminate(_) => rng.random_range(2_500..5_000),
        Kind::Reload(_) | Kind::Forget | Kind::Configure => 1,
        Kind::Store(..) | Kind::WholeStore(..) => rng.random_range(300..5_000),
        Kind::Worker(..) | Kind::Partition(..) => rng.random_range(300..7_000),
        Kind::Crash(_) | Kind::Leave(_) => rng.random_range(100..5_000),
        Kind::Reset(_) => rng.random_range(300..4_000),
    }
}
