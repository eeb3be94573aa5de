//! Sizes learnt per job from observed usage.

use serde::Deserialize;
use serde::Serialize;

use crate::resources::Resources;

/// Share of observations that the learnt processor use covers; the rest is met by throttling.
const CPU_QUANTILE: f32 = 0.95;
/// Share of observations that the learnt memory covers; the rest costs a move.
const MEMORY_QUANTILE: f32 = 0.99;
/// Weight of the declared size, in observations. It stops counting after about 20 observations of
/// processor use and 100 of memory.
const PRIOR: f32 = 1.0;
/// Observations that are remembered; older ones fade, so a job that changes is learnt anew.
const MEMORY: f32 = 400.0;
/// Buckets for each doubling; the learnt size is at most a fifth above the true quantile.
const STEPS: f64 = 4.0;

/// Decayed histogram of one resource over geometric buckets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
struct Histogram(Vec<(u8, f32)>);

impl Histogram {
    /// Truncation and sign are safe: a base-2 logarithm of a `u64` is in 0 to 64.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn bucket(amount: u64) -> u8 {
        ((amount.max(1) as f64).log2() * STEPS).ceil() as u8
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn edge(bucket: u8) -> u64 {
        (f64::from(bucket) / STEPS).exp2().ceil() as u64
    }

    fn add(&mut self, amount: u64) {
        let bucket = Self::bucket(amount);
        if self.total() >= MEMORY {
            for entry in &mut self.0 {
                entry.1 *= 1.0 - 1.0 / MEMORY;
            }
        }
        match self.0.binary_search_by_key(&bucket, |entry| entry.0) {
            Ok(at) => self.0[at].1 += 1.0,
            Err(at) => self.0.insert(at, (bucket, 1.0)),
        }
    }

    fn total(&self) -> f32 {
        self.0.iter().map(|entry| entry.1).sum()
    }

    /// Returns the quantile when the declared amount counts as `PRIOR` observations.
    fn quantile(&self, declared: u64, share: f32) -> u64 {
        if self.0.is_empty() {
            return declared;
        }
        let prior = Self::bucket(declared);
        let mut above = (self.total() + PRIOR) * (1.0 - share);
        let mut declared_counts = true;
        for &(bucket, weight) in self.0.iter().rev() {
            if declared_counts && bucket <= prior {
                declared_counts = false;
                above -= PRIOR;
                if above < 0.0 {
                    return declared;
                }
            }
            above -= weight;
            if above < 0.0 {
                return Self::edge(bucket);
            }
        }
        declared
    }
}

/// What is known of the real size of a job's tasks.
///
/// ```
/// # use nutmegcart_fleet::{UsageEstimate, Resources};
/// let declared = Resources::new(4_000, 4_000, 0);
/// let mut estimate = UsageEstimate::default();
/// assert_eq!(estimate.size(declared), declared);
/// for _ in 0..100 {
///     estimate.observe(Resources::new(1_000, 1_000, 0));
/// }
/// assert!(estimate.size(declared).cpu <= 1_200);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageEstimate {
    cpu: Histogram,
    memory: Histogram,
}

impl UsageEstimate {
    /// Adds the usage of one task in one report.
    pub fn observe(&mut self, usage: Resources) {
        self.cpu.add(usage.cpu);
        self.memory.add(usage.memory);
    }

    /// Returns the size to reserve for a task.
    ///
    /// Accelerators are exclusive devices, so their number is always the declared one.
    #[must_use]
    pub fn size(&self, declared: Resources) -> Resources {
        Resources::new(
            self.cpu.quantile(declared.cpu, CPU_QUANTILE),
            self.memory.quantile(declared.memory, MEMORY_QUANTILE),
            declared.accelerators,
        )
    }
}
