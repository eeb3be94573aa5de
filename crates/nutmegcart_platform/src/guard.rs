//! A store behind this entry instance's share of the rates and spaced-out attempts.

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

use crate::health::Health;
use crate::health::Reach;
use crate::limit;
use crate::limit::TokenBucket;
use crate::store::Call;
use crate::store::Reply;
use crate::store::Result;
use crate::store::Store;
use crate::store::StoreError;

/// Longest time that a call waits for its turn before it is refused.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// Time and randomness of a [`Guard`]; tests replace them.
#[derive(Clone)]
pub struct Clock {
    /// Returns the time since the process started.
    pub now: Arc<dyn Fn() -> Duration + Send + Sync>,
    /// Waits.
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

/// Counts of one kind of call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// Calls sent to the store.
    pub sent: u64,
    /// Calls sent that were not answered.
    pub failed: u64,
    /// Calls that waited for their turn.
    pub waited: u64,
    /// Calls refused here because of the rate.
    pub limited: u64,
    /// Calls refused here because the store is away.
    pub spared: u64,
}

/// Counts by kind of call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Reads of a range.
    pub range: Count,
    /// Transactions that write.
    pub write: Count,
    /// Transactions that only compare and read.
    pub check: Count,
    /// Granted, renewed and revoked leases.
    pub lease: Count,
    /// Watches; a waiting one counts once.
    pub watch: Count,
}

impl Counters {
    /// Returns the counts with their names, as metrics are labelled.
    #[must_use]
    pub fn named(&self) -> [(&'static str, Count); 5] {
        [
            ("range", self.range),
            ("write", self.write),
            ("check", self.check),
            ("lease", self.lease),
            ("watch", self.watch),
        ]
    }

    fn of(&mut self, kind: Kind) -> &mut Count {
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
    fn of(call: &Call) -> Self {
        match call {
            Call::Range(_) | Call::RangeSince(..) => Self::Range,
            Call::Txn(txn) if txn.writes() => Self::Write,
            Call::Txn(_) => Self::Check,
            Call::Grant(_) | Call::KeepAlive(_) | Call::Revoke(_) => Self::Lease,
            Call::Wait(..) => Self::Watch,
        }
    }
}

/// Wraps a store; clones share rates, health and counters.
///
/// ```
/// # use nutmegcart_platform::{Guard, MemoryStore, Reach, guard::Clock};
/// let guard = Guard::new(MemoryStore::default().store(), 9, Clock::default());
/// guard.store().range("/").unwrap();
/// assert_eq!(guard.counters().range.sent, 1);
/// assert_eq!(guard.reach(), Reach::Reachable);
/// ```
#[derive(Clone)]
pub struct Guard {
    inner: Store,
    clock: Clock,
    state: Arc<Mutex<State>>,
}

struct State {
    writes: TokenBucket,
    reads: TokenBucket,
    health: Health,
    counters: Counters,
}

impl State {
    fn bucket(&mut self, kind: Kind) -> &mut TokenBucket {
        match kind {
            Kind::Write | Kind::Lease => &mut self.writes,
            Kind::Range | Kind::Check | Kind::Watch => &mut self.reads,
        }
    }
}

impl Guard {
    /// Wraps a store for one of a number of entry instances.
    #[must_use]
    pub fn new(inner: Store, members: usize, clock: Clock) -> Self {
        let now = (clock.now)();
        let share = 1.0 / members.max(1) as f64;
        let state = Arc::new(Mutex::new(State {
            writes: TokenBucket::new(limit::WRITES * share, now),
            reads: TokenBucket::new(limit::READS * share, now),
            health: Health::default(),
            counters: Counters::default(),
        }));
        Self {
            inner,
            clock,
            state,
        }
    }

    /// Changes the number of entry instances that share the rates.
    pub fn set_members(&self, members: usize) {
        let now = (self.clock.now)();
        let share = 1.0 / members.max(1) as f64;
        let mut state = self.state.lock();
        state.writes.set_rate(limit::WRITES * share, now);
        state.reads.set_rate(limit::READS * share, now);
    }

    /// Returns the state of the store as seen from here.
    #[must_use]
    pub fn reach(&self) -> Reach {
        self.state.lock().health.reach()
    }

    /// Returns the counters so far.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.state.lock().counters
    }

    /// Returns the guarded store.
    #[must_use]
    pub fn store(&self) -> Store {
        let guard = self.clone();
        Store::new(move |call| guard.call(call))
    }

    fn call(&self, call: Call) -> Result<Reply> {
        let kind = Kind::of(&call);
        let wait = self.admit(kind)?;
        if !wait.is_zero() {
            (self.clock.sleep)(wait);
        }
        let start = (self.clock.now)();
        let result = self.inner.call(call);
        let now = (self.clock.now)();
        self.note(kind, &result, start, now);
        result
    }

    fn note(&self, kind: Kind, result: &Result<Reply>, start: Duration, now: Duration) {
        let random = (self.clock.random)();
        let mut state = self.state.lock();
        let unanswered = matches!(
            result,
            Err(StoreError::Unreachable { .. } | StoreError::AnswerLost { .. })
        );
        if unanswered {
            state.counters.of(kind).failed += 1;
            state.health.failed(now, random);
            return;
        }
        if kind == Kind::Watch && matches!(result, Ok(Reply::Flag(false))) {
            // A watch that saw nothing may have been silent.
            return;
        }
        // The time of a watch says nothing of the store's speed.
        let took = (kind != Kind::Watch).then(|| now.saturating_sub(start));
        if state.health.answered(took) {
            state.writes.empty(now);
            state.reads.empty(now);
        }
    }

    /// Returns the time until the call may be sent.
    fn admit(&self, kind: Kind) -> Result<Duration> {
        let now = (self.clock.now)();
        let random = (self.clock.random)();
        let mut state = self.state.lock();
        if !state.health.permit(now, random) {
            state.counters.of(kind).spared += 1;
            let reason = "away; the next attempt is delayed".into();
            return Err(StoreError::Unreachable { reason });
        }
        let wait = state.bucket(kind).take(now);
        if wait > LONGEST_WAIT {
            state.bucket(kind).give_back();
            let count = state.counters.of(kind);
            count.limited += 1;
            log_event!(Event::StoreLimited, limited = count.limited);
            let reason = "this entry instance's share of the rate is used up".into();
            return Err(StoreError::Refused { reason });
        }
        let count = state.counters.of(kind);
        count.sent += 1;
        count.waited += u64::from(!wait.is_zero());
        Ok(wait)
    }
}
