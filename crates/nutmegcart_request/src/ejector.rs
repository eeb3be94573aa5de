//! Outlier ejection of runners, based on the outcomes of attempts.

use std::time::Duration;

use crate::load::decay_factor;
use crate::outcome::Outcome;

/// Half-life of the weight of an outcome in the failure ratio.
const OUTCOME_HALF_LIFE: Duration = Duration::from_secs(10);

/// Settings of outlier ejection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectorSettings {
    /// Number of failures in a row that ejects a runner.
    pub consecutive_failures: u32,
    /// Failure ratio, 0 to 1, above which a runner is ejected.
    pub failure_ratio: f64,
    /// Decayed number of outcomes needed before the failure ratio is considered.
    pub min_outcomes: f64,
    /// Duration of the first ejection; doubles with each further one.
    pub base_ejection: Duration,
    /// Upper limit of the duration of an ejection, before jitter.
    pub max_ejection: Duration,
}

impl Default for EjectorSettings {
    fn default() -> Self {
        Self {
            consecutive_failures: 3,
            failure_ratio: 0.5,
            min_outcomes: 5.0,
            base_ejection: Duration::from_secs(5),
            max_ejection: Duration::from_mins(1),
        }
    }
}

/// Returns how many runners of a service may be ejected at the same time: a third, rounded down.
///
/// ```
/// # use nutmegcart_request::ejector::max_ejected;
/// assert_eq!((max_ejected(2), max_ejected(10)), (0, 3));
/// ```
#[must_use]
pub const fn max_ejected(runners: usize) -> usize {
    runners / 3
}

/// Effect of an outcome on the ejection state of a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EjectionChange {
    /// The state is unchanged.
    None,
    /// The runner is ejected until the given time.
    Ejected(Duration),
    /// An ejected runner passed its probe and is in use again.
    Returned,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
    #[default]
    Active,
    Ejected {
        until: Duration,
    },
}

/// Recent outcomes and ejection state of one runner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunnerHealth {
    state: State,
    consecutive_failures: u32,
    ejections: u32,
    failures: f64,
    total: f64,
    updated: Duration,
}

impl RunnerHealth {
    /// Records an outcome.
    ///
    /// `may_eject` is whether one more runner of the service may be ejected. `random` adds
    /// jitter so that runners ejected together do not return at the same time.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_request::ejector::{EjectionChange, EjectorSettings, RunnerHealth};
    /// # use nutmegcart_request::outcome::Outcome;
    /// let settings = EjectorSettings { consecutive_failures: 1, ..EjectorSettings::default() };
    /// let mut health = RunnerHealth::default();
    /// let change = health.record(Outcome::ServerError, true, Duration::ZERO, 0, &settings);
    /// assert_eq!(change, EjectionChange::Ejected(Duration::from_secs(5)));
    /// ```
    pub fn record(
        &mut self,
        outcome: Outcome,
        may_eject: bool,
        now: Duration,
        random: u64,
        settings: &EjectorSettings,
    ) -> EjectionChange {
        if outcome.is_neutral() {
            return EjectionChange::None;
        }
        let failed = outcome.is_failure();
        self.add_outcome(failed, now);
        match self.state {
            State::Active if failed && may_eject && self.is_outlier(settings) => {
                self.eject(now, random, settings)
            }
            State::Active => EjectionChange::None,
            // Attempts that started before the ejection may still finish. They are recorded, but
            // neither end nor extend the ejection.
            State::Ejected { until } if now < until => EjectionChange::None,
            State::Ejected { .. } if failed => self.eject(now, random, settings),
            State::Ejected { .. } => {
                *self = Self {
                    ejections: self.ejections,
                    updated: now,
                    ..Self::default()
                };
                EjectionChange::Returned
            }
        }
    }

    /// Returns the end of the ejection, or `None` if the runner is not ejected.
    ///
    /// The runner stays ejected after this time until a probe succeeds.
    #[must_use]
    pub fn ejected_until(&self) -> Option<Duration> {
        match self.state {
            State::Active => None,
            State::Ejected { until } => Some(until),
        }
    }

    /// Returns the recent failure ratio, 0 to 1.
    #[must_use]
    pub fn failure_ratio(&self) -> f64 {
        // One assumed success keeps a single failure from giving a ratio of 1.
        self.failures / (self.total + 1.0)
    }

    fn add_outcome(&mut self, failed: bool, now: Duration) {
        let kept = decay_factor(now.saturating_sub(self.updated), OUTCOME_HALF_LIFE);
        self.failures = self.failures * kept + f64::from(u8::from(failed));
        self.total = self.total * kept + 1.0;
        self.updated = now;
        if failed {
            self.consecutive_failures += 1;
        } else {
            self.consecutive_failures = 0;
            // A success after more than eight recent outcomes reduces the backoff by one step.
            self.ejections = self.ejections.saturating_sub(u32::from(self.total > 8.0));
        }
    }

    fn is_outlier(&self, settings: &EjectorSettings) -> bool {
        self.consecutive_failures >= settings.consecutive_failures
            || self.total >= settings.min_outcomes
                && self.failures > settings.failure_ratio * self.total
    }

    fn eject(&mut self, now: Duration, random: u64, settings: &EjectorSettings) -> EjectionChange {
        let duration = settings
            .base_ejection
            .saturating_mul(1 << self.ejections.min(8))
            .min(settings.max_ejection);
        // Up to 25 % longer.
        let jitter = duration.mul_f64((random >> 11) as f64 / (1_u64 << 53) as f64 / 4.0);
        let until = now + duration + jitter;
        self.state = State::Ejected { until };
        self.ejections += 1;
        EjectionChange::Ejected(until)
    }
}
