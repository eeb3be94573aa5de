//! A store with the platform's rates and scripted faults, in memory or behind the HTTP stand-in.

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use nutmegcart_platform::MemoryStore;
use nutmegcart_platform::Store;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::memory::Backup;
use nutmegcart_platform::store::Result;
use nutmegcart_platform::store::StoreCall;
use nutmegcart_platform::store::StoreReply;
use nutmegcart_platform::store::Txn;
use nutmegcart_platform::store::WriteOp;
use parking_lot::Mutex;

/// Largest value in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Operations that one transaction may hold, as in the published API's default configuration.
pub const MAX_OPERATIONS: usize = 128;
/// Largest transaction in bytes, as in the published API's default configuration.
pub const MAX_TRANSACTION_BYTES: usize = 3 << 19;

/// Faults of the store, switchable at any time; the default has none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreFaults {
    /// No call reaches the store.
    pub down: bool,
    /// Delay of each call.
    pub latency: Duration,
    /// Number of transactions to come whose answer is lost after the write took effect.
    pub lost_responses: u32,
    /// Number of transactions to come that are lost before they take effect.
    pub lost_requests: u32,
    /// Delay of each watch event.
    pub watch_delay: Duration,
    /// Number of watch events to come that are never reported.
    pub skipped_events: u32,
    /// Writes a second before calls are refused; zero for no limit.
    pub write_rate: u32,
    /// Other calls a second before calls are refused; zero for no limit.
    pub read_rate: u32,
}

/// Counts of calls; a waiting watch counts as one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Transactions that write, and lease calls.
    pub writes: u64,
    /// Reads and watches.
    pub reads: u64,
    /// Calls refused because of the rates.
    pub refused: u64,
}

/// A [`MemoryStore`] behind rates and faults; clones share everything.
///
/// ```
/// # use nutmegcart_fakes::FaultyStore;
/// let faulty = FaultyStore::default();
/// faulty.set_faults(|faults| faults.down = true);
/// assert!(faulty.store().range("/").is_err());
/// ```
#[derive(Clone, Default)]
pub struct FaultyStore {
    /// Contents of the store.
    pub memory: MemoryStore,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    faults: StoreFaults,
    calls: CallCounts,
    /// Contents from which stale reads are served.
    stale: Option<Backup>,
    /// Second in which the counts of the rates were started, and the counts.
    second: u64,
    writes: u32,
    reads: u32,
    /// Time on the clock of the rates; advanced by the test or by the HTTP stand-in.
    now: Duration,
}

impl FaultyStore {
    /// Wraps contents that others reach by other ways.
    #[must_use]
    pub fn new(memory: MemoryStore) -> Self {
        Self {
            memory,
            ..Self::default()
        }
    }

    /// Returns the calling interface.
    #[must_use]
    pub fn store(&self) -> Store {
        let faulty = self.clone();
        Store::new(move |call| faulty.call(call))
    }

    /// Changes the faults in force.
    pub fn set_faults(&self, change: impl FnOnce(&mut StoreFaults)) {
        change(&mut self.state.lock().faults);
    }

    /// Returns the faults in force.
    #[must_use]
    pub fn faults(&self) -> StoreFaults {
        self.state.lock().faults.clone()
    }

    /// Serves reads, but not transactions, from the present contents until switched off.
    pub fn serve_stale_reads(&self, stale: bool) {
        self.state.lock().stale = stale.then(|| self.memory.backup());
    }

    /// Returns the calls so far.
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        self.state.lock().calls
    }

    /// Sets the clock of the rates.
    pub fn set_clock(&self, now: Duration) {
        self.state.lock().now = now;
    }

    /// Carries out one call under the faults in force.
    ///
    /// # Errors
    ///
    /// Fails as scripted.
    pub fn call(&self, call: StoreCall) -> Result<StoreReply> {
        let write = is_write(&call);
        let faults = {
            let mut state = self.state.lock();
            state.count(write)?;
            state.faults.clone()
        };
        sleep(faults.latency);
        if faults.down {
            return Err(unreachable());
        }
        match call {
            StoreCall::Txn(txn) => self.txn(&txn),
            StoreCall::Range(_) | StoreCall::RangeSince(..) => self.read(call),
            StoreCall::Wait(prefix, from, time) => {
                self.wait(&prefix, from, time).map(StoreReply::Flag)
            }
            other => self.memory.call(other),
        }
    }

    fn txn(&self, txn: &Txn) -> Result<StoreReply> {
        check(txn)?;
        if self.spend(|faults| &mut faults.lost_requests) {
            return Err(lost());
        }
        let reply = self.memory.call(StoreCall::Txn(txn.clone()))?;
        if self.spend(|faults| &mut faults.lost_responses) {
            return Err(lost());
        }
        Ok(reply)
    }

    fn read(&self, call: StoreCall) -> Result<StoreReply> {
        match self.state.lock().stale.clone() {
            Some(backup) => {
                let stale = MemoryStore::default();
                stale.restore(&backup);
                stale.call(call)
            }
            None => self.memory.call(call),
        }
    }

    /// Waits for an event that is not skipped.
    pub(crate) fn wait(&self, prefix: &str, mut from: i64, time: Duration) -> Result<bool> {
        loop {
            let call = StoreCall::Wait(prefix.to_owned(), from, time);
            let StoreReply::Flag(true) = self.memory.call(call)? else {
                return Ok(false);
            };
            let faults = self.faults();
            if faults.down {
                return Err(lost());
            }
            sleep(faults.watch_delay);
            let (events, revision) = self.memory.events(prefix, from)?;
            if events.is_empty() || !self.spend(|faults| &mut faults.skipped_events) {
                return Ok(true);
            }
            from = revision + 1;
        }
    }

    /// Uses up one of a number of scripted faults.
    pub(crate) fn spend(&self, count: impl FnOnce(&mut StoreFaults) -> &mut u32) -> bool {
        let mut state = self.state.lock();
        let count = count(&mut state.faults);
        let spent = *count > 0;
        *count = count.saturating_sub(1);
        spent
    }
}

impl State {
    fn count(&mut self, write: bool) -> Result<()> {
        if self.second != self.now.as_secs() {
            (self.second, self.writes, self.reads) = (self.now.as_secs(), 0, 0);
        }
        let (count, rate) = if write {
            self.calls.writes += 1;
            (&mut self.writes, self.faults.write_rate)
        } else {
            self.calls.reads += 1;
            (&mut self.reads, self.faults.read_rate)
        };
        *count += 1;
        if rate > 0 && *count > rate {
            self.calls.refused += 1;
            let reason = "too many requests".into();
            return Err(StoreError::Refused { reason });
        }
        Ok(())
    }
}

/// Returns whether a call counts as a write.
pub(crate) fn is_write(call: &StoreCall) -> bool {
    match call {
        StoreCall::Txn(txn) => txn.has_writes(),
        StoreCall::Grant(_) | StoreCall::KeepAlive(_) | StoreCall::Revoke(_) => true,
        StoreCall::Range(_) | StoreCall::RangeSince(..) | StoreCall::Wait(..) => false,
    }
}

/// Refuses transactions that the published API refuses.
fn check(txn: &Txn) -> Result<()> {
    let largest = txn.compare.len().max(txn.writes.len());
    let mut bytes = 0;
    let mut keys = Vec::new();
    for change in &txn.writes {
        let (WriteOp::Put(key, ..) | WriteOp::Delete(key)) = change;
        keys.push(key);
        if let WriteOp::Put(key, value, _) = change {
            bytes += key.len() + value.len();
            if value.len() > MAX_VALUE_BYTES {
                return Err(refused("etcdserver: request is too large"));
            }
        }
    }
    let all = keys.len();
    keys.sort_unstable();
    keys.dedup();
    if largest > MAX_OPERATIONS {
        return Err(refused("etcdserver: too many operations in txn request"));
    }
    if bytes > MAX_TRANSACTION_BYTES {
        return Err(refused("etcdserver: request is too large"));
    }
    if keys.len() < all {
        return Err(refused("etcdserver: duplicate key given in txn request"));
    }
    Ok(())
}

fn refused(reason: &str) -> StoreError {
    StoreError::Refused {
        reason: reason.into(),
    }
}

fn unreachable() -> StoreError {
    let reason = "scripted outage".into();
    StoreError::Unreachable { reason }
}

fn lost() -> StoreError {
    let reason = "scripted loss".into();
    StoreError::AnswerLost { reason }
}
