//! Learns the resources of a job's tasks from their usage.

use serde::Deserialize;
use serde::Serialize;

use crate::resources::Resources;

/// Share of observations that the learnt processor use covers; higher use is throttled.
const CPU_QUANTILE: f32 = 0.95;
/// Share of observations that the learnt memory covers; higher use may cost a move.
const MEMORY_QUANTILE: f32 = 0.99;
/// Weight of the declared size, in observations. It has no effect after about 20 observations of
/// processor use and 100 of memory.
const PRIOR_WEIGHT: f32 = 1.0;
/// Largest total weight of the observations. Beyond it, older ones decay, so that the estimate
/// follows a job that changes.
const MAX_WEIGHT: f32 = 400.0;
/// Histogram buckets per doubling; a learnt amount is at most a fifth above the true quantile.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Decaying histogram of one resource with geometric buckets, as pairs of bucket and weight.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
struct Histogram(Vec<(u8, f32)>);

impl Histogram {
    /// Returns the bucket of an amount.
    ///
    /// Truncation and sign are safe, since the base-2 logarithm of a `u64` is in 0 to 64.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn bucket(amount: u64) -> u8 {
        ((amount.max(1) as f64).log2() * BUCKETS_PER_DOUBLING).ceil() as u8
    }

    /// Returns the largest amount of a bucket.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn upper_bound(bucket: u8) -> u64 {
        (f64::from(bucket) / BUCKETS_PER_DOUBLING).exp2().ceil() as u64
    }

    fn add(&mut self, amount: u64) {
        let bucket = Self::bucket(amount);
        if self.total() >= MAX_WEIGHT {
            for entry in &mut self.0 {
                entry.1 *= 1.0 - 1.0 / MAX_WEIGHT;
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

    /// Returns a quantile of the observations and the declared amount, which has `PRIOR_WEIGHT`.
    fn quantile(&self, declared: u64, share: f32) -> u64 {
        if self.0.is_empty() {
            return declared;
        }
        let declared_bucket = Self::bucket(declared);
        let mut excess = (self.total() + PRIOR_WEIGHT) * (1.0 - share);
        let mut prior_pending = true;
        for &(bucket, weight) in self.0.iter().rev() {
            if prior_pending && bucket <= declared_bucket {
                prior_pending = false;
                excess -= PRIOR_WEIGHT;
                if excess < 0.0 {
                    return declared;
                }
            }
            excess -= weight;
            if excess < 0.0 {
                return Self::upper_bound(bucket);
            }
        }
        declared
    }
}

/// Estimate of the resources that a job's tasks use.
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
    /// Adds the usage of one task from one report.
    pub fn observe(&mut self, usage: Resources) {
        self.cpu.add(usage.cpu);
        self.memory.add(usage.memory);
    }

    /// Returns the resources to reserve for a task.
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
