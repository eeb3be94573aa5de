//! Whether the store answers, as seen by one entry instance.

use std::time::Duration;

use derive_more::Display;
use nutmegcart_model::Event;
use nutmegcart_model::log_event;

/// Calls that fail in a row before the store counts as away; one lost answer is no outage.
const FAILURES: u32 = 2;
/// Smoothed time of a call above which the store counts as slow. The platform promises
/// milliseconds.
const SLOW: Duration = Duration::from_millis(200);
/// Smoothed time below which a slow store counts as reachable again.
const FAST: Duration = Duration::from_millis(100);
/// Weight of the latest call in the smoothed time.
const WEIGHT: f64 = 0.2;
/// Upper bound of the first delay between attempts.
const FIRST_DELAY: Duration = Duration::from_millis(100);
/// Upper bound of all delays; a change must be in effect within 5 s of the store's return.
const LONGEST_DELAY: Duration = Duration::from_secs(2);

/// State of the store as seen from here.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum Reachability {
    /// Calls are answered in time.
    #[default]
    #[display("reachable")]
    Reachable,
    /// Calls are answered late.
    #[display("slow")]
    Slow,
    /// Calls are not answered; attempts are spaced out.
    #[display("away")]
    Unreachable,
}

/// Follows the outcomes of calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct HealthTracker {
    reach: Reachability,
    failures: u32,
    /// Smoothed time of a call in seconds.
    time: f64,
    /// Time of the next attempt while the store is away.
    attempt: Duration,
}

impl HealthTracker {
    /// Returns the present state.
    #[must_use]
    pub fn reachability(&self) -> Reachability {
        self.reach
    }

    /// Returns whether a call may be sent now; `random` in 0..1 spreads the attempts of entry
    /// instances that lost the store together.
    pub fn permit(&mut self, now: Duration, random: f64) -> bool {
        if self.reach != Reachability::Unreachable {
            return true;
        }
        if now < self.attempt {
            return false;
        }
        // Others wait for the outcome of this attempt.
        self.attempt = now + self.delay(random);
        true
    }

    /// Records that a call was answered, after a time that tells of the store's speed or none;
    /// returns whether the store was away.
    pub fn answered(&mut self, took: Option<Duration>) -> bool {
        self.failures = 0;
        if let Some(took) = took {
            self.time += WEIGHT * (took.as_secs_f64() - self.time);
        }
        let next = match self.reach {
            Reachability::Slow if self.time > FAST.as_secs_f64() => Reachability::Slow,
            _ if self.time > SLOW.as_secs_f64() => Reachability::Slow,
            _ => Reachability::Reachable,
        };
        self.change(next) == Reachability::Unreachable
    }

    /// Records that a call was not answered.
    pub fn failed(&mut self, now: Duration, random: f64) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILURES {
            self.attempt = now + self.delay(random);
            self.change(Reachability::Unreachable);
        }
    }

    /// Full jitter: a random share of an exponentially growing bound.
    fn delay(&self, random: f64) -> Duration {
        let doublings = self.failures.saturating_sub(FAILURES).min(16);
        let bound = FIRST_DELAY.saturating_mul(1 << doublings);
        bound.min(LONGEST_DELAY).mul_f64(random.clamp(0.0, 1.0))
    }

    fn change(&mut self, next: Reachability) -> Reachability {
        let last = std::mem::replace(&mut self.reach, next);
        if last != next {
            let event = match next {
                Reachability::Reachable => Event::StoreReachable,
                Reachability::Slow => Event::StoreSlow,
                Reachability::Unreachable => Event::StoreUnreachable,
            };
            log_event!(event, before = last, seconds = self.time);
        }
        last
    }
}
