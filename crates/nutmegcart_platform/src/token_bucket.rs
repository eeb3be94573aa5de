//! Token buckets that keep an entry instance within its share of the store's rates.

use std::time::Duration;

/// Writes a second for all entry instances together.
pub const MAX_WRITES_PER_SECOND: f64 = 300.0;
/// Reads a second for all entry instances together.
pub const MAX_READS_PER_SECOND: f64 = 1500.0;
/// Time whose worth of tokens a bucket holds. All entry instances together can exceed the rate by
/// this share once, which the store's own limit leaves room for.
const BURST: Duration = Duration::from_millis(100);

/// A bucket that fills at a fixed rate; a taker may be told to wait.
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
    /// Tokens held; negative while takers wait.
    tokens: f64,
    filled: Duration,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(rate: f64, now: Duration) -> Self {
        let mut bucket = Self {
            rate,
            tokens: 0.0,
            filled: now,
        };
        bucket.tokens = bucket.size();
        bucket
    }

    fn size(&self) -> f64 {
        (self.rate * BURST.as_secs_f64()).max(1.0)
    }

    /// Changes the rate, as the roster's size changes.
    pub fn set_rate(&mut self, rate: f64, now: Duration) {
        self.fill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.size());
    }

    /// Takes a token and returns the time until it may be used.
    pub fn take(&mut self, now: Duration) -> Duration {
        self.fill(now);
        self.tokens -= 1.0;
        self.missing()
    }

    /// Returns a token that was taken and not used.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
    }

    /// Removes the tokens held, so that the next takers are spaced out.
    pub fn clear(&mut self, now: Duration) {
        self.fill(now);
        self.tokens = self.tokens.min(0.0);
    }

    fn fill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.size());
        self.filled = now;
    }

    fn missing(&self) -> Duration {
        Duration::from_secs_f64((-self.tokens).max(0.0) / self.rate)
    }
}
