//! Load reports between entry instances, and estimates of run times.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegcart_model::InstanceId;
use serde::Deserialize;
use serde::Serialize;

/// Half-life of the weight of a peer's report.
///
/// Reports arrive every second, and most requests finish within a second.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Load that an entry instance puts on runners, as sent to its peers.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in flight per runner; runners without any are omitted.
    pub in_flight: BTreeMap<InstanceId, u32>,
    /// Runners that refused a request of the sender itself; reports of other peers are not passed
    /// on.
    pub leaving: Vec<InstanceId>,
}

/// A sum whose terms decay exponentially with [`report_weight`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingSum {
    value: f64,
    updated: Duration,
}

impl DecayingSum {
    /// Returns the decayed value at the given time.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_request::load::DecayingSum;
    /// let mut load = DecayingSum::default();
    /// load.add(4.0, Duration::ZERO);
    /// assert_eq!(load.value(Duration::from_secs(1)), 2.0);
    /// ```
    #[must_use]
    pub fn value(&self, now: Duration) -> f64 {
        self.value * report_weight(now.saturating_sub(self.updated))
    }

    /// Adds to the sum; a negative amount subtracts an earlier term.
    pub fn add(&mut self, amount: f64, now: Duration) {
        self.value = (self.value(now) + amount).max(0.0);
        self.updated = now;
    }
}

/// Returns the weight of a report of the given age, 1 for a new one.
///
/// ```
/// # use std::time::Duration;
/// # use nutmegcart_request::load::report_weight;
/// assert_eq!(report_weight(Duration::from_secs(2)), 0.25);
/// ```
#[must_use]
pub fn report_weight(age: Duration) -> f64 {
    decay_factor(age, REPORT_HALF_LIFE)
}

/// Returns the exponential decay factor for an age, 1 at age 0 and 0.5 at one half-life.
#[must_use]
pub fn decay_factor(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

/// Exponential moving average and mean deviation of a duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyEstimate {
    mean_s: f64,
    deviation_s: f64,
}

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Mean deviations above the mean within which nearly all samples lie.
const BOUND_DEVIATIONS: f64 = 6.0;

impl LatencyEstimate {
    /// Creates an estimate from an initial mean; the initial deviation is half of it.
    #[must_use]
    pub fn new(initial_mean: Duration) -> Self {
        Self {
            mean_s: initial_mean.as_secs_f64(),
            deviation_s: initial_mean.as_secs_f64() / 2.0,
        }
    }

    /// Updates the estimate with a measured duration.
    pub fn add(&mut self, sample: Duration) {
        let error = sample.as_secs_f64() - self.mean_s;
        self.mean_s += SAMPLE_WEIGHT * error;
        self.deviation_s += SAMPLE_WEIGHT * (error.abs() - self.deviation_s);
    }

    /// Returns the estimated mean.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_request::load::LatencyEstimate;
    /// let estimate = LatencyEstimate::new(Duration::from_millis(100));
    /// assert_eq!(estimate.mean(), Duration::from_millis(100));
    /// ```
    #[must_use]
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s.max(0.0))
    }

    /// Returns a duration that nearly all samples stay below.
    #[must_use]
    pub fn upper_bound(&self) -> Duration {
        self.with_margin(BOUND_DEVIATIONS)
    }

    /// Returns the mean plus the given number of mean deviations.
    #[must_use]
    pub fn with_margin(&self, deviations: f64) -> Duration {
        Duration::from_secs_f64((self.mean_s + deviations * self.deviation_s).max(0.0))
    }
}
