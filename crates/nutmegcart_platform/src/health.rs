//! Tracks from the results of calls whether the store answers, and how fast.

use std::time::Duration;

use derive_more::Display;
use nutmegcart_model::Event;
use nutmegcart_model::log_event;

/// Consecutive failures after which the store counts as unreachable; one lost answer is no outage.
const MIN_OUTAGE_FAILURES: u32 = 2;
/// Smoothed latency above which the store counts as slow. The platform guarantees answers within
/// milliseconds.
const SLOW_LATENCY: Duration = Duration::from_millis(200);
/// Smoothed latency at or below which a slow store counts as reachable again; the gap to
/// [`SLOW_LATENCY`] avoids flapping.
const RECOVERED_LATENCY: Duration = Duration::from_millis(100);
/// Weight of the latest call in the exponentially smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Upper bound of the first delay between attempts; it doubles with each further failure.
const INITIAL_MAX_DELAY: Duration = Duration::from_millis(100);
/// Upper bound of all delays: a configuration change must be in effect within 5 s after the store
/// recovers.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// State of the store as seen by this entry instance.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
pub enum Reachability {
    /// Calls are answered in time.
    #[default]
    #[display("reachable")]
    Reachable,
    /// Calls are answered with high latency.
    #[display("slow")]
    Slow,
    /// Calls are not answered; attempts are delayed with exponential backoff.
    #[display("away")]
    Unreachable,
}

/// Derives the [`Reachability`] of the store from the results of calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct HealthTracker {
    reachability: Reachability,
    /// Consecutive calls that were not answered.
    failures: u32,
    /// Smoothed latency of a call in seconds.
    latency: f64,
    /// Time before which no call is sent while the store is unreachable.
    next_attempt: Duration,
}

impl HealthTracker {
    /// Returns the current state.
    #[must_use]
    pub fn reachability(&self) -> Reachability {
        self.reachability
    }

    /// Returns whether a call may be sent now.
    ///
    /// The random number from 0 to 1 spreads the attempts of entry instances that lost the store at
    /// the same time.
    pub fn admit_call(&mut self, now: Duration, random: f64) -> bool {
        if self.reachability != Reachability::Unreachable {
            return true;
        }
        if now < self.next_attempt {
            return false;
        }
        // Until this attempt is answered or the delay ends, other calls are refused.
        self.next_attempt = now + self.backoff(random);
        true
    }

    /// Records that a call was answered and returns whether the store was unreachable before.
    ///
    /// The latency is absent for calls whose duration does not depend on the store's speed.
    pub fn record_answer(&mut self, latency: Option<Duration>) -> bool {
        self.failures = 0;
        if let Some(latency) = latency {
            self.latency += LATENCY_WEIGHT * (latency.as_secs_f64() - self.latency);
        }
        let next = match self.reachability {
            Reachability::Slow if self.latency > RECOVERED_LATENCY.as_secs_f64() => {
                Reachability::Slow
            }
            _ if self.latency > SLOW_LATENCY.as_secs_f64() => Reachability::Slow,
            _ => Reachability::Reachable,
        };
        self.transition(next) == Reachability::Unreachable
    }

    /// Records that a call was not answered.
    pub fn record_failure(&mut self, now: Duration, random: f64) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= MIN_OUTAGE_FAILURES {
            self.next_attempt = now + self.backoff(random);
            self.transition(Reachability::Unreachable);
        }
    }

    /// Returns a delay with full jitter: a random share of an exponentially growing bound.
    fn backoff(&self, random: f64) -> Duration {
        let doublings = self.failures.saturating_sub(MIN_OUTAGE_FAILURES).min(16);
        let bound = INITIAL_MAX_DELAY.saturating_mul(1 << doublings);
        bound.min(MAX_DELAY).mul_f64(random.clamp(0.0, 1.0))
    }

    /// Changes the state, logs a change and returns the previous state.
    fn transition(&mut self, next: Reachability) -> Reachability {
        let last = std::mem::replace(&mut self.reachability, next);
        if last != next {
            let event = match next {
                Reachability::Reachable => Event::StoreReachable,
                Reachability::Slow => Event::StoreSlow,
                Reachability::Unreachable => Event::StoreUnreachable,
            };
            log_event!(event, before = last, seconds = self.latency);
        }
        last
    }
}
