//! Guards against entry instances exceeding the store's rates, also after an outage.

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

/// Entry instances of a deployment.
const MEMBERS: usize = 9;

/// A scripted store and clock shared by the entry instances of a test.
#[derive(Clone, Default)]
struct Bench {
    memory: MemoryStore,
    now: Arc<Mutex<Duration>>,
    down: Arc<Mutex<bool>>,
    /// Time that each call takes.
    takes: Arc<Mutex<Duration>>,
    /// Times at which calls reached the store, or would have while it was away.
    calls: Arc<Mutex<Vec<Duration>>>,
}

impl Bench {
    fn guard(&self, seed: u64) -> RateLimitedStore {
        let bench = self.clone();
        let inner = Store::new(move |call| {
            bench.calls.lock().push(*bench.now.lock());
            *bench.now.lock() += *bench.takes.lock();
            if *bench.down.lock() {
                let reason = "scripted".into();
                return Err(StoreError::Unreachable { reason });
            }
            bench.memory.call(call)
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

    fn pass(&self, time: Duration) {
        *self.now.lock() += time;
    }

    /// Returns the largest number of calls in any window of the length.
    fn peak(&self, window: Duration) -> usize {
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
    let bench = Bench::default();
    let store = bench.guard(1).store();
    for _ in 0..200 {
        store.txn(&Txn::default().put("a", Vec::new())).unwrap();
    }
    // 300 / 9 writes a second, and a tenth of that at once.
    assert!(bench.peak(Duration::from_secs(1)) <= 38);
}

#[test]
fn a_waiting_watch_counts_once_and_reads_do_not_use_up_writes() {
    let bench = Bench::default();
    let guard = bench.guard(1);
    for _ in 0..100 {
        guard.store().range("a").unwrap();
    }
    let before = *bench.now.lock();
    guard
        .store()
        .txn(&Txn::default().put("a", Vec::new()))
        .unwrap();
    assert_eq!(*bench.now.lock(), before);
    assert_eq!(
        guard.store().wait_for_write("a", 1, Duration::ZERO),
        Ok(true)
    );
    let counters = guard.counters();
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
    let bench = Bench::default();
    let guard = bench.guard(1);
    // Nobody sleeps: concurrent callers all ask at the same moment.
    let clock = Clock {
        now: Arc::new(|| Duration::ZERO),
        sleep: Arc::new(|_| ()),
        random: Arc::new(|| 0.5),
    };
    let store = RateLimitedStore::new(guard.store(), MEMBERS, clock).store();
    let write = Txn::default().put("a", Vec::new());
    let refused = (0..100).filter(|_| store.txn(&write).is_err()).count();
    assert!(refused > 50, "{refused} of 100 writes refused");
}

#[test]
fn nine_entry_instances_do_not_rush_a_store_that_returns() {
    let bench = Bench::default();
    let guards: Vec<RateLimitedStore> = (0..MEMBERS as u64).map(|seed| bench.guard(seed)).collect();
    *bench.down.lock() = true;
    let ask_all = || {
        for guard in &guards {
            let _ = guard.store().range("a");
        }
        bench.pass(Duration::from_millis(1));
    };
    for _ in 0..10_000 {
        ask_all();
    }
    assert!(
        guards
            .iter()
            .all(|guard| guard.reachability() == Reachability::Unreachable)
    );
    // Attempts while away: a few a second from each, although each asks a thousand times.
    let attempts = bench.calls.lock().len();
    assert!(attempts < MEMBERS * 10 * 5, "{attempts} attempts in 10 s");
    bench.calls.lock().clear();
    *bench.down.lock() = false;
    let back = *bench.now.lock();
    let mut returned = vec![Duration::ZERO; MEMBERS];
    for _ in 0..2_100 {
        ask_all();
        for (guard, time) in guards.iter().zip(&mut returned) {
            if time.is_zero() && guard.reachability() == Reachability::Reachable {
                *time = bench.now.lock().saturating_sub(back);
            }
        }
    }
    assert!(returned.iter().all(|time| !time.is_zero()));
    // They return one after another, and the rate holds from the start.
    returned.sort_unstable();
    let spread = returned[MEMBERS - 1].saturating_sub(returned[0]);
    assert!(spread > Duration::from_millis(500), "{returned:?}");
    assert!(bench.peak(Duration::from_millis(100)) <= 330);
}

#[test]
fn a_store_that_answers_late_is_slow_and_recovers() {
    let bench = Bench::default();
    let guard = bench.guard(1);
    *bench.takes.lock() = Duration::from_millis(500);
    for _ in 0..10 {
        guard.store().range("a").unwrap();
    }
    assert_eq!(guard.reachability(), Reachability::Slow);
    *bench.takes.lock() = Duration::from_millis(2);
    for _ in 0..10 {
        guard.store().range("a").unwrap();
    }
    assert_eq!(guard.reachability(), Reachability::Reachable);
}

#[test]
fn a_store_that_returns_is_not_met_by_a_full_bucket_of_calls() {
    let bench = Bench::default();
    let guard = bench.guard(1);
    *bench.down.lock() = true;
    for _ in 0..2 {
        assert!(guard.store().range("a").is_err());
    }
    *bench.down.lock() = false;
    bench.pass(Duration::from_secs(10));
    guard.store().range("a").unwrap();
    assert_eq!(guard.counters().range.waited, 0);
    guard.store().range("a").unwrap();
    assert_eq!(guard.counters().range.waited, 1);
}
