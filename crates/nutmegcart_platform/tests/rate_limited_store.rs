//! Checks that entry instances keep within the store's rate limits, also after an outage.

use std::sync::Arc;
use std::time::Duration;

use nutmegcart_platform::MemoryStore;
use nutmegcart_platform::RateLimitedStore;
use nutmegcart_platform::Reachability;
use nutmegcart_platform::Store;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;
use nutmegcart_platform::rate_limited_store::Clock;
use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Number of entry instances that share the rate limits.
const MEMBERS: usize = 9;

/// A simulated store and clock that the entry instances of a test share.
#[derive(Clone, Default)]
struct SimulatedStore {
    memory: MemoryStore,
    now: Arc<Mutex<Duration>>,
    down: Arc<Mutex<bool>>,
    /// Simulated latency of each call.
    latency: Arc<Mutex<Duration>>,
    /// Times at which calls were sent to the store, also while it was down.
    calls: Arc<Mutex<Vec<Duration>>>,
}

impl SimulatedStore {
    fn limited_store(&self, seed: u64) -> RateLimitedStore {
        let simulation = self.clone();
        let inner = Store::new(move |call| {
            simulation.calls.lock().push(*simulation.now.lock());
            *simulation.now.lock() += *simulation.latency.lock();
            if *simulation.down.lock() {
                let reason = "simulated outage".into();
                return Err(StoreError::Unreachable { reason });
            }
            simulation.memory.call(call)
        });
        let (now, slept) = (self.now.clone(), self.now.clone());
        let random = Mutex::new(StdRng::seed_from_u64(seed));
        let clock = Clock {
            now: Arc::new(move || *now.lock()),
            sleep: Arc::new(move |time| *slept.lock() += time),
            random: Arc::new(move || random.lock().random()),
        };
        RateLimitedStore::new(inner, MEMBERS, clock)
    }

    fn advance(&self, time: Duration) {
        *self.now.lock() += time;
    }

    /// Returns the largest number of calls in any window of the given length.
    fn max_calls(&self, window: Duration) -> usize {
        let mut calls = self.calls.lock().clone();
        calls.sort_unstable();
        let starts = calls.iter().enumerate();
        let counts = starts
            .map(|(index, &start)| calls[index..].partition_point(|&time| time < start + window));
        counts.max().unwrap_or(0)
    }
}

#[test]
fn one_entry_instance_stays_within_its_share() {
    let simulation = SimulatedStore::default();
    let store = simulation.limited_store(1).store();
    for _ in 0..200 {
        store.txn(&Txn::default().put("a", Vec::new())).unwrap();
    }
    // The share is 300 / 9 writes per second, plus a burst of a tenth of that.
    assert!(simulation.max_calls(Duration::from_secs(1)) <= 38);
}

#[test]
fn watch_counts_as_one_call_and_reads_do_not_use_write_tokens() {
    let simulation = SimulatedStore::default();
    let limited_store = simulation.limited_store(1);
    for _ in 0..100 {
        limited_store.store().range("a").unwrap();
    }
    let before = *simulation.now.lock();
    limited_store
        .store()
        .txn(&Txn::default().put("a", Vec::new()))
        .unwrap();
    assert_eq!(*simulation.now.lock(), before);
    assert_eq!(
        limited_store.store().wait_for_write("a", 1, Duration::ZERO),
        Ok(true)
    );
    let counters = limited_store.counters();
    assert_eq!(
        (
            counters.range.sent,
            counters.watch.sent,
            counters.write.sent
        ),
        (100, 1, 1)
    );
    assert!(counters.range.waited > 0);
}

#[test]
fn calls_are_refused_when_the_wait_would_be_long() {
    let simulation = SimulatedStore::default();
    let limited_store = simulation.limited_store(1);
    // Sleeping does not advance the clock, as if all calls were made concurrently.
    let clock = Clock {
        now: Arc::new(|| Duration::ZERO),
        sleep: Arc::new(|_| ()),
        random: Arc::new(|| 0.5),
    };
    let store = RateLimitedStore::new(limited_store.store(), MEMBERS, clock).store();
    let write = Txn::default().put("a", Vec::new());
    let refused = (0..100).filter(|_| store.txn(&write).is_err()).count();
    assert!(refused > 50, "{refused} of 100 writes refused");
}

#[test]
fn entry_instances_spread_their_calls_when_the_store_recovers() {
    let simulation = SimulatedStore::default();
    let limited_stores: Vec<RateLimitedStore> = (0..MEMBERS as u64)
        .map(|seed| simulation.limited_store(seed))
        .collect();
    *simulation.down.lock() = true;
    let read_all = || {
        for limited_store in &limited_stores {
            let _ = limited_store.store().range("a");
        }
        simulation.advance(Duration::from_millis(1));
    };
    for _ in 0..10_000 {
        read_all();
    }
    assert!(
        limited_stores
            .iter()
            .all(|limited_store| limited_store.reachability() == Reachability::Unreachable)
    );
    // During the outage each entry instance sends a few attempts per second, although it has a
    // thousand calls per second to make.
    let attempts = simulation.calls.lock().len();
    assert!(attempts < MEMBERS * 10 * 5, "{attempts} attempts in 10 s");
    simulation.calls.lock().clear();
    *simulation.down.lock() = false;
    let recovery = *simulation.now.lock();
    let mut resumed = vec![Duration::ZERO; MEMBERS];
    for _ in 0..2_100 {
        read_all();
        for (limited_store, time) in limited_stores.iter().zip(&mut resumed) {
            if time.is_zero() && limited_store.reachability() == Reachability::Reachable {
                *time = simulation.now.lock().saturating_sub(recovery);
            }
        }
    }
    assert!(resumed.iter().all(|time| !time.is_zero()));
    // The entry instances resume one after another and keep within the rate from the start.
    resumed.sort_unstable();
    let spread = resumed[MEMBERS - 1].saturating_sub(resumed[0]);
    assert!(spread > Duration::from_millis(500), "{resumed:?}");
    assert!(simulation.max_calls(Duration::from_millis(100)) <= 330);
}

#[test]
fn store_with_high_latency_is_slow_until_latency_falls() {
    let simulation = SimulatedStore::default();
    let limited_store = simulation.limited_store(1);
    *simulation.latency.lock() = Duration::from_millis(500);
    for _ in 0..10 {
        limited_store.store().range("a").unwrap();
    }
    assert_eq!(limited_store.reachability(), Reachability::Slow);
    *simulation.latency.lock() = Duration::from_millis(2);
    for _ in 0..10 {
        limited_store.store().range("a").unwrap();
    }
    assert_eq!(limited_store.reachability(), Reachability::Reachable);
}

#[test]
fn token_buckets_are_emptied_when_the_store_recovers() {
    let simulation = SimulatedStore::default();
    let limited_store = simulation.limited_store(1);
    *simulation.down.lock() = true;
    for _ in 0..2 {
        assert!(limited_store.store().range("a").is_err());
    }
    *simulation.down.lock() = false;
    simulation.advance(Duration::from_secs(10));
    limited_store.store().range("a").unwrap();
    assert_eq!(limited_store.counters().range.waited, 0);
    limited_store.store().range("a").unwrap();
    assert_eq!(limited_store.counters().range.waited, 1);
}
