//! Outlier ejection based on the outcomes of requests.

use std::time::Duration;

use crate::load::decay_factor;
use crate::outcome::Outcome;

/// Time after which an outcome counts half.
const MEMORY: Duration = Duration::from_secs(10);

/// Settings of outlier ejection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectorSettings {
    /// Failures in a row that eject a runner.
    pub consecutive_failures: u32,
    /// Share of failures, 0 to 1, that ejects a runner.
    pub failure_ratio: f64,
    /// Recent outcomes needed before the share counts.
    pub min_outcomes: f64,
    /// Time out of use after the first ejection; it doubles with each further one.
    pub base_ejection: Duration,
    /// Longest time out of use.
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

/// Largest number of runners of a service that may be ejected at the same time: a third.
///
/// ```
/// # use nutmegcart_request::ejector::max_ejected;
/// assert_eq!((max_ejected(2), max_ejected(10)), (0, 3));
/// ```
#[must_use]
pub const fn max_ejected(runners: usize) -> usize {
    runners / 3
}

/// What an outcome changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EjectionChange {
    /// Nothing.
    None,
    /// The runner is out of use until the given time.
    Ejected(Duration),
    /// An ejected runner answered and is back in use.
    Returned,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
    #[default]
    In,
    Out {
        until: Duration,
    },
}

/// Recent outcomes of one runner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunnerHealth {
    state: State,
    consecutive: u32,
    ejections: u32,
    failures: f64,
    total: f64,
    at: Duration,
}

impl RunnerHealth {
    /// Records an outcome; `room` states whether one more runner may be ejected.
    ///
    /// `random` spreads the returns of runners that were ejected together.
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
        room: bool,
        now: Duration,
        random: u64,
        settings: &EjectorSettings,
    ) -> EjectionChange {
        if outcome.is_neutral() {
            return EjectionChange::None;
        }
        let failed = outcome.is_failure();
        self.count(failed, now);
        match self.state {
            State::In if failed && room && self.is_outlier(settings) => {
                self.eject(now, random, settings)
            }
            State::In => EjectionChange::None,
            // Attempts from before the ejection still end; only later ones decide.
            State::Out { until } if now < until => EjectionChange::None,
            State::Out { .. } if failed => self.eject(now, random, settings),
            State::Out { .. } => {
                *self = Self {
                    ejections: self.ejections,
                    at: now,
                    ..Self::default()
                };
                EjectionChange::Returned
            }
        }
    }

    /// Returns until when the runner is out of use.
    #[must_use]
    pub fn ejected_until(&self) -> Option<Duration> {
        match self.state {
            State::In => None,
            State::Out { until } => Some(until),
        }
    }

    /// Returns the recent share of failures, 0 to 1.
    #[must_use]
    pub fn failure_ratio(&self) -> f64 {
        // One success is assumed, so that a single failure does not count in full.
        self.failures / (self.total + 1.0)
    }

    fn count(&mut self, failed: bool, now: Duration) {
        let kept = decay_factor(now.saturating_sub(self.at), MEMORY);
        self.failures = self.failures * kept + f64::from(u8::from(failed));
        self.total = self.total * kept + 1.0;
        self.at = now;
        if failed {
            self.consecutive += 1;
        } else {
            self.consecutive = 0;
            self.ejections = self.ejections.saturating_sub(u32::from(self.total > 8.0));
        }
    }

    fn is_outlier(&self, settings: &EjectorSettings) -> bool {
        self.consecutive >= settings.consecutive_failures
            || self.total >= settings.min_outcomes
                && self.failures > settings.failure_ratio * self.total
    }

    fn eject(&mut self, now: Duration, random: u64, settings: &EjectorSettings) -> EjectionChange {
        let time = settings
            .base_ejection
            .saturating_mul(1 << self.ejections.min(8))
            .min(settings.max_ejection);
        // Up to a quarter longer.
        let jitter = time.mul_f64((random >> 11) as f64 / (1_u64 << 53) as f64 / 4.0);
        let until = now + time + jitter;
        self.state = State::Out { until };
        self.ejections += 1;
        EjectionChange::Ejected(until)
    }
}
