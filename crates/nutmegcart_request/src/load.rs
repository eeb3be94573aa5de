//! Load reports between entry instances and estimates of times.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegcart_model::InstanceId;
use serde::Deserialize;
use serde::Serialize;

/// Time after which a peer's report counts half.
///
/// Reports arrive every second, and most requests finish within a second.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// What an entry instance tells its peers about the runners that it uses.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in flight per runner, without the runners that have none.
    pub in_flight: BTreeMap<InstanceId, u32>,
    /// Runners that refused this entry instance itself; hearsay is not passed on.
    pub leaving: Vec<InstanceId>,
}

/// A sum whose parts lose weight as they age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingSum {
    value: f64,
    at: Duration,
}

impl DecayingSum {
    /// Returns the present value.
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
        self.value * report_weight(now.saturating_sub(self.at))
    }

    /// Adds to the sum; a negative amount takes an earlier part back.
    pub fn add(&mut self, amount: f64, now: Duration) {
        self.value = (self.value(now) + amount).max(0.0);
        self.at = now;
    }
}

/// Returns the weight of a report of the given age, 1 for a fresh one.
///
/// ```
/// # use std::time::Duration;
/// # use nutmegcart_request::load::report_weight;
/// assert_eq!(report_weight(Duration::from_secs(2)), 0.25);
/// ```
#[must_use]
pub fn report_weight(age: Duration) -> f64 {
    decay_factor(age, HALF_LIFE)
}

/// Returns the weight of something of the given age that halves in each half-life.
#[must_use]
pub fn decay_factor(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

/// Running mean and mean deviation of a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyEstimate {
    mean: f64,
    deviation: f64,
}

/// Weight of a new sample in the mean.
const GAIN: f64 = 0.1;

/// Deviations added to the mean for the time by which nearly all samples end.
const MARGIN: f64 = 6.0;

impl LatencyEstimate {
    /// Creates an estimate from a first guess.
    #[must_use]
    pub fn new(guess: Duration) -> Self {
        Self {
            mean: guess.as_secs_f64(),
            deviation: guess.as_secs_f64() / 2.0,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        let error = sample.as_secs_f64() - self.mean;
        self.mean += GAIN * error;
        self.deviation += GAIN * (error.abs() - self.deviation);
    }

    /// Returns the mean.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_request::load::LatencyEstimate;
    /// let estimate = LatencyEstimate::new(Duration::from_millis(100));
    /// assert_eq!(estimate.mean(), Duration::from_millis(100));
    /// ```
    #[must_use]
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean.max(0.0))
    }

    /// Returns the time by which nearly all samples end.
    #[must_use]
    pub fn upper_bound(&self) -> Duration {
        self.with_margin(MARGIN)
    }

    /// Returns the mean and the given number of deviations.
    #[must_use]
    pub fn with_margin(&self, deviations: f64) -> Duration {
        Duration::from_secs_f64((self.mean + deviations * self.deviation).max(0.0))
    }
}
