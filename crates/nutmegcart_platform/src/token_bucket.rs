//! Token buckets that keep an entry instance within its share of the store's rate limits.

use std::time::Duration;

/// Rate limit of writes for all entry instances together.
pub const MAX_WRITES_PER_SECOND: f64 = 300.0;
/// Rate limit of reads for all entry instances together.
pub const MAX_READS_PER_SECOND: f64 = 1500.0;
/// Time whose tokens a bucket holds at most. All entry instances together can exceed the rate by
/// this share once; the store's own limit leaves room for it.
const BURST_DURATION: Duration = Duration::from_millis(100);

/// A token bucket that refills at a constant rate and allows tokens to be taken in advance.
///
/// ```
/// # use nutmegcart_platform::TokenBucket;
/// # use std::time::Duration;
/// let mut bucket = TokenBucket::new(10.0, Duration::ZERO);
/// assert_eq!(bucket.take(Duration::ZERO), Duration::ZERO);
/// assert_eq!(bucket.take(Duration::ZERO), Duration::from_millis(100));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    /// Tokens held; negative while callers wait for tokens taken in advance.
    tokens: f64,
    /// Time of the latest refill.
    refilled: Duration,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(rate: f64, now: Duration) -> Self {
        let mut bucket = Self {
            rate,
            tokens: 0.0,
            refilled: now,
        };
        bucket.tokens = bucket.capacity();
        bucket
    }

    fn capacity(&self) -> f64 {
        (self.rate * BURST_DURATION.as_secs_f64()).max(1.0)
    }

    /// Changes the rate; needed when the number of entry instances changes.
    pub fn set_rate(&mut self, rate: f64, now: Duration) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Takes a token and returns the time until it may be used.
    pub fn take(&mut self, now: Duration) -> Duration {
        self.refill(now);
        self.tokens -= 1.0;
        self.time_to_wait()
    }

    /// Puts back a token that was taken and not used.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
    }

    /// Removes the tokens held, so that the next calls are sent at the rate and not as a burst.
    pub fn clear(&mut self, now: Duration) {
        self.refill(now);
        self.tokens = self.tokens.min(0.0);
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.capacity());
        self.refilled = now;
    }

    fn time_to_wait(&self) -> Duration {
        Duration::from_secs_f64((-self.tokens).max(0.0) / self.rate)
    }
}
