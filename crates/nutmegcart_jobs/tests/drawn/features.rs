//! What a session may use beside plain batch jobs, and what its seed draws of it.

use std::fmt;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Latest version of the draws. Version 1 is that of the sessions in `long_running.rs`.
pub const VERSION: u32 = 2;

/// A feature of the protocol or of the surroundings.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Feature {
    DenseTimedJobs,
    SparseTimedJobs,
    OverdueTimedJobs,
    Gangs,
    Checkpoints,
    ShortTasks,
    LongTasks,
    WrongEstimates,
    Outages,
    ManyEnds,
    ValueLimit,
    Tickets,
    LargePool,
    RareLabels,
    Clocks,
    Waves,
}

/// Name of a feature, the version that introduced it, and the share of the seeds that draw it.
struct Entry {
    feature: Feature,
    name: &'static str,
    since: u32,
    share: f64,
}

const fn entry(feature: Feature, name: &'static str, since: u32, share: f64) -> Entry {
    Entry {
        feature,
        name,
        since,
        share,
    }
}

/// All features; the position of one belongs to the meaning of a seed, so new ones come last.
const ENTRIES: &[Entry] = &[
    entry(Feature::DenseTimedJobs, "hundreds of occurrences", 2, 0.4),
    entry(
        Feature::SparseTimedJobs,
        "idle time between occurrences",
        2,
        0.3,
    ),
    entry(Feature::OverdueTimedJobs, "overdue occurrences", 2, 0.3),
    entry(Feature::Gangs, "gangs without checkpoints", 2, 0.4),
    entry(Feature::Checkpoints, "gangs with checkpoints", 2, 0.4),
    entry(Feature::ShortTasks, "tasks of 10 to 100 ms", 2, 0.4),
    entry(Feature::LongTasks, "tasks of 1 min to 1 h", 2, 0.25),
    entry(
        Feature::WrongEstimates,
        "estimates wrong by up to ten",
        2,
        0.4,
    ),
    entry(Feature::Outages, "outages of the store up to 200 s", 2, 0.4),
    entry(
        Feature::ManyEnds,
        "1,000 unacknowledged ends at once",
        2,
        0.0,
    ),
    entry(
        Feature::ValueLimit,
        "limit of a value, 12 KiB to 1 MiB",
        2,
        0.3,
    ),
    entry(Feature::Tickets, "tickets", 2, 0.4),
    entry(Feature::LargePool, "pool of 60 to 300 workers", 2, 0.3),
    entry(Feature::RareLabels, "label of the last workers", 2, 0.4),
    entry(Feature::Clocks, "owners whose clocks differ", 2, 0.5),
    entry(Feature::Waves, "waves", 2, 0.3),
];

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entry = ENTRIES.iter().find(|entry| entry.feature == *self);
        f.pad(entry.map_or("", |entry| entry.name))
    }
}

/// Returns all features in the order of their table.
pub fn all() -> impl Iterator<Item = Feature> {
    ENTRIES.iter().map(|entry| entry.feature)
}

/// What a seed draws under a version.
pub struct Draw {
    pub seed: u64,
    features: Vec<Feature>,
}

impl Draw {
    /// Draws each feature by itself, so that a later version adds some and changes no other.
    pub fn new(seed: u64, version: u32) -> Self {
        let known = ENTRIES.iter().filter(|entry| entry.since <= version);
        let drawn = known.filter(|entry| rng(seed, entry.feature).random_bool(entry.share));
        Self {
            seed,
            features: drawn.map(|entry| entry.feature).collect(),
        }
    }

    pub fn has(&self, feature: Feature) -> bool {
        self.features.contains(&feature)
    }

    /// Returns the numbers that determine the details of a feature.
    pub fn details(&self, feature: Feature) -> StdRng {
        let mut rng = rng(self.seed, feature);
        let _ = rng.random::<u64>();
        rng
    }
}

fn rng(seed: u64, feature: Feature) -> StdRng {
    let position = (1..)
        .zip(ENTRIES)
        .find(|(_, entry)| entry.feature == feature);
    let position = position.map_or(0, |(position, _)| position);
    StdRng::seed_from_u64((seed << 8) | position)
}
