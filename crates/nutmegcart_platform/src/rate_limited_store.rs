//! A store client that keeps within this entry instance's share of the rate limits, and that
//! delays calls while the store is unreachable.

use std::hash::BuildHasher;
use std::hash::RandomState;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::health::HealthTracker;
use crate::health::Reachability;
use crate::store::Result;
use crate::store::Store;
use crate::store::StoreCall;
use crate::store::StoreError;
use crate::store::StoreReply;
use crate::token_bucket;
use crate::token_bucket::TokenBucket;

/// Longest time for which a call waits for a token; a call that would wait longer is refused.
const MAX_TOKEN_WAIT: Duration = Duration::from_secs(1);

/// Sources of time and randomness of a [`RateLimitedStore`]; tests replace them.
#[derive(Clone)]
pub struct Clock {
    /// Returns the time since the process started.
    pub now: Arc<dyn Fn() -> Duration + Send + Sync>,
    /// Blocks the calling thread for the time.
    pub sleep: Arc<dyn Fn(Duration) + Send + Sync>,
    /// Returns a random number from 0 to 1.
    pub random: Arc<dyn Fn() -> f64 + Send + Sync>,
}

impl Default for Clock {
    fn default() -> Self {
        let start = Instant::now();
        // The standard library seeds its hashers from the system's entropy.
        let seed = RandomState::new().hash_one(0);
        let random = Mutex::new(StdRng::seed_from_u64(seed));
        Self {
            now: Arc::new(move || start.elapsed()),
            sleep: Arc::new(std::thread::sleep),
            random: Arc::new(move || random.lock().random()),
        }
    }
}

/// Counts of one kind of call since the process started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Calls sent to the store.
    pub sent: u64,
    /// Calls sent that were not answered.
    pub failed: u64,
    /// Calls sent after a wait for a token.
    pub waited: u64,
    /// Calls refused by this entry instance because of its rate limit.
    pub limited: u64,
    /// Calls refused by this entry instance because the store is unreachable.
    pub skipped: u64,
}

/// [`CallCounts`] of each kind of call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounters {
    /// Reads of a range.
    pub range: CallCounts,
    /// Transactions that write.
    pub write: CallCounts,
    /// Transactions that only compare and read.
    pub check: CallCounts,
    /// Calls that grant, renew or revoke a lease.
    pub lease: CallCounts,
    /// Watches; each counts once, however long it waits.
    pub watch: CallCounts,
}

impl CallCounters {
    /// Returns the counts with the metric label of each kind.
    #[must_use]
    pub fn by_label(&self) -> [(&'static str, CallCounts); 5] {
        [
            ("range", self.range),
            ("write", self.write),
            ("check", self.check),
            ("lease", self.lease),
            ("watch", self.watch),
        ]
    }

    fn of(&mut self, kind: Kind) -> &mut CallCounts {
        match kind {
            Kind::Range => &mut self.range,
            Kind::Write => &mut self.write,
            Kind::Check => &mut self.check,
            Kind::Lease => &mut self.lease,
            Kind::Watch => &mut self.watch,
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Range,
    Write,
    Check,
    Lease,
    Watch,
}

impl Kind {
    fn of(call: &StoreCall) -> Self {
        match call {
            StoreCall::Range(_) | StoreCall::RangeSince(..) => Self::Range,
            StoreCall::Txn(txn) if txn.has_writes() => Self::Write,
            StoreCall::Txn(_) => Self::Check,
            StoreCall::Grant(_) | StoreCall::KeepAlive(_) | StoreCall::Revoke(_) => Self::Lease,
            StoreCall::Wait(..) => Self::Watch,
        }
    }
}

/// A store with rate limits, health tracking and call counters; clones share all three.
///
/// ```
/// # use nutmegcart_platform::{MemoryStore, RateLimitedStore, Reachability};
/// # use nutmegcart_platform::rate_limited_store::Clock;
/// let limited_store = RateLimitedStore::new(MemoryStore::default().store(), 9, Clock::default());
/// limited_store.store().range("/").unwrap();
/// assert_eq!(limited_store.counters().range.sent, 1);
/// assert_eq!(limited_store.reachability(), Reachability::Reachable);
/// ```
#[derive(Clone)]
pub struct RateLimitedStore {
    inner: Store,
    clock: Clock,
    state: Arc<Mutex<State>>,
}

struct State {
    writes: TokenBucket,
    reads: TokenBucket,
    health: HealthTracker,
    counters: CallCounters,
}

impl State {
    fn bucket(&mut self, kind: Kind) -> &mut TokenBucket {
        match kind {
            Kind::Write | Kind::Lease => &mut self.writes,
            Kind::Range | Kind::Check | Kind::Watch => &mut self.reads,
        }
    }
}

impl RateLimitedStore {
    /// Wraps a store; each of the entry instances gets an equal share of the rate limits.
    #[must_use]
    pub fn new(inner: Store, members: usize, clock: Clock) -> Self {
        let now = (clock.now)();
        let share = 1.0 / members.max(1) as f64;
        let state = Arc::new(Mutex::new(State {
            writes: TokenBucket::new(token_bucket::MAX_WRITES_PER_SECOND * share, now),
            reads: TokenBucket::new(token_bucket::MAX_READS_PER_SECOND * share, now),
            health: HealthTracker::default(),
            counters: CallCounters::default(),
        }));
        Self {
            inner,
            clock,
            state,
        }
    }

    /// Changes the number of entry instances that share the rate limits.
    pub fn set_members(&self, members: usize) {
        let now = (self.clock.now)();
        let share = 1.0 / members.max(1) as f64;
        let mut state = self.state.lock();
        state
            .writes
            .set_rate(token_bucket::MAX_WRITES_PER_SECOND * share, now);
        state
            .reads
            .set_rate(token_bucket::MAX_READS_PER_SECOND * share, now);
    }

    /// Returns the state of the store as seen by this entry instance.
    #[must_use]
    pub fn reachability(&self) -> Reachability {
        self.state.lock().health.reachability()
    }

    /// Returns the counts since the process started.
    #[must_use]
    pub fn counters(&self) -> CallCounters {
        self.state.lock().counters
    }

    /// Returns a store whose calls are rate-limited.
    #[must_use]
    pub fn store(&self) -> Store {
        let limited = self.clone();
        Store::new(move |call| limited.call(call))
    }

    fn call(&self, call: StoreCall) -> Result<StoreReply> {
        let kind = Kind::of(&call);
        let wait = self.admit(kind)?;
        if !wait.is_zero() {
            (self.clock.sleep)(wait);
        }
        let start = (self.clock.now)();
        let result = self.inner.call(call);
        let now = (self.clock.now)();
        self.record_result(kind, &result, start, now);
        result
    }

    fn record_result(
        &self,
        kind: Kind,
        result: &Result<StoreReply>,
        start: Duration,
        now: Duration,
    ) {
        let random = (self.clock.random)();
        let mut state = self.state.lock();
        let unanswered = matches!(
            result,
            Err(StoreError::Unreachable { .. } | StoreError::AnswerLost { .. })
        );
        if unanswered {
            state.counters.of(kind).failed += 1;
            state.health.record_failure(now, random);
            return;
        }
        if kind == Kind::Watch && matches!(result, Ok(StoreReply::Flag(false))) {
            // A watch that timed out does not show whether the store answers.
            return;
        }
        // The duration of a watch depends on the next write, not on the store's latency.
        let latency = (kind != Kind::Watch).then(|| now.saturating_sub(start));
        if state.health.record_answer(latency) {
            state.writes.clear(now);
            state.reads.clear(now);
        }
    }

    /// Takes a token for a call and returns the time until the call may be sent.
    fn admit(&self, kind: Kind) -> Result<Duration> {
        let now = (self.clock.now)();
        let random = (self.clock.random)();
        let mut state = self.state.lock();
        if !state.health.admit_call(now, random) {
            state.counters.of(kind).skipped += 1;
            let reason = "no answer to earlier calls; the next attempt is delayed".into();
            return Err(StoreError::Unreachable { reason });
        }
        let wait = state.bucket(kind).take(now);
        if wait > MAX_TOKEN_WAIT {
            state.bucket(kind).refund();
            let count = state.counters.of(kind);
            count.limited += 1;
            log_event!(Event::StoreLimited, limited = count.limited);
            let reason = "this entry instance's share of the rate limit is used up".into();
            return Err(StoreError::Refused { reason });
        }
        let count = state.counters.of(kind);
        count.sent += 1;
        count.waited += u64::from(!wait.is_zero());
        Ok(wait)
    }
}
