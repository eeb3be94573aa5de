//! Work that arrives for a pool, and its trend.
//!
//! Load pattern: queues burst one after another, and the demand of each rises over seconds. A machine
//! that is ordered for the demand of the moment arrives when the demand has doubled.

use std::time::Duration;

/// Time constant of the average of arriving work, in seconds. It is short compared with a burst,
/// and long enough that a single large job does not count as one.
const ARRIVAL_SECONDS: f64 = 0.7;
/// Time constant of the slower average that shows the trend, in seconds.
const TREND_SECONDS: f64 = 1.4;
/// Largest ratio of a prediction to the present average. The demand at the beginning of a burst grows by
/// no more in the time that a move takes.
const MAX_GROWTH: f64 = 2.0;

/// Exponentially weighted averages of the work that arrives for a pool, in cores.
///
/// An average lags behind a steady rise by its time constant, so the difference of two with different
/// constants shows the rise.
///
/// ```
/// # use std::time::Duration;
/// # use nutmegcart_jobs::arrivals::Arrivals;
/// let mut arrivals = Arrivals::default();
/// for tick in 0..300_u32 {
///     // The rate rises by 50 cores a second.
///     let now = Duration::from_millis(u64::from(tick) * 10);
///     arrivals.record(f64::from(tick) * 0.01 * 50.0 * 0.01, now);
/// }
/// let now = Duration::from_secs(3);
/// assert!(arrivals.mean(now) < 130.0);
/// assert!((180.0..260.0).contains(&arrivals.expected(Duration::from_secs(2), now)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrivals {
    fast: f64,
    slow: f64,
    /// Difference of the two that the largest of the latest jobs makes alone.
    largest: f64,
    updated_at: Duration,
}

impl Arrivals {
    /// Records the work of a new job in core-seconds.
    pub fn record(&mut self, work: f64, now: Duration) {
        let (fast, slow, largest) = self.decayed(now);
        let (to_fast, to_slow) = (work / ARRIVAL_SECONDS, work / TREND_SECONDS);
        *self = Self {
            fast: fast + to_fast,
            slow: slow + to_slow,
            largest: largest.max(to_fast - to_slow),
            updated_at: now,
        };
    }

    /// Returns the average in cores.
    #[must_use]
    pub fn mean(&self, now: Duration) -> f64 {
        self.decayed(now).0
    }

    /// Returns the demand in cores that is to be expected after `lead`, at least the present average.
    #[must_use]
    pub fn expected(&self, lead: Duration, now: Duration) -> f64 {
        let (fast, slow, largest) = self.decayed(now);
        // In a small fleet one large job would else look like a burst and take machines from others.
        let rise = (fast - slow - largest).max(0.0) / (TREND_SECONDS - ARRIVAL_SECONDS);
        let ahead = ARRIVAL_SECONDS + lead.as_secs_f64();
        (fast + rise * ahead).min(fast * MAX_GROWTH)
    }

    fn decayed(&self, now: Duration) -> (f64, f64, f64) {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let part = |seconds: f64| (-age / seconds).exp();
        (
            self.fast * part(ARRIVAL_SECONDS),
            self.slow * part(TREND_SECONDS),
            self.largest * part(TREND_SECONDS),
        )
    }
}
