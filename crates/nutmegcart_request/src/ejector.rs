//! Outlier ejection based on the outcomes of requests.

use std::time::Duration;

use crate::load::halved;
use crate::outcome::Outcome;

/// Time after which an outcome counts half.
const MEMORY: Duration = Duration::from_secs(10);

/// Settings of outlier ejection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectorSettings {
    /// Failures in a row that eject a runner.
    pub consecutive: u32,
    /// Share of failures, 0 to 1, that ejects a runner.
    pub share: f64,
    /// Recent outcomes needed before the share counts.
    pub volume: f64,
    /// Time out of use after the first ejection; it doubles with each further one.
    pub base: Duration,
    /// Longest time out of use.
    pub longest: Duration,
}

impl Default for EjectorSettings {
    fn default() -> Self {
        Self {
            consecutive: 3,
            share: 0.5,
            volume: 5.0,
            base: Duration::from_secs(5),
            longest: Duration::from_mins(1),
        }
    }
}

/// Largest number of runners of a service that may be ejected at the same time: a third.
///
/// ```
/// # use nutmegcart_request::ejector::cap;
/// assert_eq!((cap(2), cap(10)), (0, 3));
/// ```
#[must_use]
pub const fn cap(runners: usize) -> usize {
    runners / 3
}

/// What an outcome changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
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
pub struct Health {
    state: State,
    consecutive: u32,
    ejections: u32,
    failures: f64,
    total: f64,
    at: Duration,
}

impl Health {
    /// Records an outcome; `room` states whether one more runner may be ejected.
    ///
    /// `random` spreads the returns of runners that were ejected together.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_request::ejector::{Change, EjectorSettings, Health};
    /// # use nutmegcart_request::outcome::Outcome;
    /// let settings = EjectorSettings { consecutive: 1, ..EjectorSettings::default() };
    /// let mut health = Health::default();
    /// let change = health.record(Outcome::ServerError, true, Duration::ZERO, 0, &settings);
    /// assert_eq!(change, Change::Ejected(Duration::from_secs(5)));
    /// ```
    pub fn record(
        &mut self,
        outcome: Outcome,
        room: bool,
        now: Duration,
        random: u64,
        settings: &EjectorSettings,
    ) -> Change {
        if outcome.is_neutral() {
            return Change::None;
        }
        let failed = outcome.is_failure();
        self.count(failed, now);
        match self.state {
            State::In if failed && room && self.is_outlier(settings) => {
                self.eject(now, random, settings)
            }
            State::In => Change::None,
            // Attempts from before the ejection still end; only later ones decide.
            State::Out { until } if now < until => Change::None,
            State::Out { .. } if failed => self.eject(now, random, settings),
            State::Out { .. } => {
                *self = Self {
                    ejections: self.ejections,
                    at: now,
                    ..Self::default()
                };
                Change::Returned
            }
        }
    }

    /// Returns until when the runner is out of use.
    #[must_use]
    pub fn out_until(&self) -> Option<Duration> {
        match self.state {
            State::In => None,
            State::Out { until } => Some(until),
        }
    }

    /// Returns the recent share of failures, 0 to 1.
    #[must_use]
    pub fn failure_share(&self) -> f64 {
        // One success is assumed, so that a single failure does not count in full.
        self.failures / (self.total + 1.0)
    }

    fn count(&mut self, failed: bool, now: Duration) {
        let kept = halved(now.saturating_sub(self.at), MEMORY);
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
        self.consecutive >= settings.consecutive
            || self.total >= settings.volume && self.failures > settings.share * self.total
    }

    fn eject(&mut self, now: Duration, random: u64, settings: &EjectorSettings) -> Change {
        let time = settings
            .base
            .saturating_mul(1 << self.ejections.min(8))
            .min(settings.longest);
        // Up to a quarter longer.
        let jitter = time.mul_f64((random >> 11) as f64 / (1_u64 << 53) as f64 / 4.0);
        let until = now + time + jitter;
        self.state = State::Out { until };
        self.ejections += 1;
        Change::Ejected(until)
    }
}
