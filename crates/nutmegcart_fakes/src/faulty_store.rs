//! An in-memory store with rate limits and scripted faults.
//!
//! Tests call it directly or through the HTTP server of [`FakePlatform`](crate::FakePlatform).

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

/// Largest size of a value.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Largest number of comparisons or of changes in one transaction, as in etcd's default
/// configuration.
pub const MAX_OPERATIONS: usize = 128;
/// Largest total size of keys and values in one transaction, as in etcd's default configuration.
pub const MAX_TRANSACTION_BYTES: usize = 3 << 19;

/// Faults of a store; the default has none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreFaults {
    /// Every call fails without reaching the store.
    pub down: bool,
    /// Time added to each call.
    pub latency: Duration,
    /// Number of next transactions whose response is lost after they took effect.
    pub lost_responses: u32,
    /// Number of next transactions that are lost before they take effect.
    pub lost_requests: u32,
    /// Time added before a watch reports events.
    pub watch_delay: Duration,
    /// Number of next batches of watch events that are never reported.
    pub skipped_events: u32,
    /// Writes allowed per second; further ones are refused, and zero allows any number.
    pub write_rate: u32,
    /// Other calls allowed per second; further ones are refused, and zero allows any number.
    pub read_rate: u32,
}

/// Number of calls that the store received, by kind; a watch counts once, however long it waits.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReceivedCalls {
    /// Transactions that write, and lease calls.
    pub writes: u64,
    /// Reads and watches.
    pub reads: u64,
    /// Calls refused by the rate limits; they are counted by kind as well.
    pub refused: u64,
}

/// A [`MemoryStore`] with rate limits and scripted faults; clones share everything.
///
/// ```
/// # use nutmegcart_fakes::FaultyStore;
/// let faulty = FaultyStore::default();
/// faulty.set_faults(|faults| faults.down = true);
/// assert!(faulty.store().range("/").is_err());
/// ```
#[derive(Clone, Default)]
pub struct FaultyStore {
    /// Contents of the store, accessible without limits and faults.
    pub memory: MemoryStore,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    faults: StoreFaults,
    calls: ReceivedCalls,
    /// Contents that reads return while stale reads are switched on.
    stale: Option<Backup>,
    /// Current second of the rate limits; `writes` and `reads` count its calls.
    second: u64,
    writes: u32,
    reads: u32,
    /// Time on the clock of the rate limits, set by the test or the HTTP server.
    now: Duration,
}

impl FaultyStore {
    /// Creates a store without faults over existing contents.
    #[must_use]
    pub fn new(memory: MemoryStore) -> Self {
        Self {
            memory,
            ..Self::default()
        }
    }

    /// Returns a client of this store.
    #[must_use]
    pub fn store(&self) -> Store {
        let store = self.clone();
        Store::new(move |call| store.call(call))
    }

    /// Changes the faults for all further calls.
    pub fn set_faults(&self, change: impl FnOnce(&mut StoreFaults)) {
        change(&mut self.state.lock().faults);
    }

    /// Returns the current faults.
    #[must_use]
    pub fn faults(&self) -> StoreFaults {
        self.state.lock().faults.clone()
    }

    /// While on, reads return the contents of the time of this call; transactions do not.
    pub fn serve_stale_reads(&self, stale: bool) {
        self.state.lock().stale = stale.then(|| self.memory.backup());
    }

    /// Returns the number of calls so far.
    #[must_use]
    pub fn calls(&self) -> ReceivedCalls {
        self.state.lock().calls
    }

    /// Sets the clock of the rate limits.
    pub fn set_clock(&self, now: Duration) {
        self.state.lock().now = now;
    }

    /// Executes a call under the current rate limits and faults.
    ///
    /// # Errors
    ///
    /// Fails if a limit or a scripted fault applies, or if the store refuses the call.
    pub fn call(&self, call: StoreCall) -> Result<StoreReply> {
        let write = is_write(&call);
        let faults = {
            let mut state = self.state.lock();
            state.count_call(write)?;
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
        check_limits(txn)?;
        if self.consume(|faults| &mut faults.lost_requests) {
            return Err(response_lost());
        }
        let reply = self.memory.call(StoreCall::Txn(txn.clone()))?;
        if self.consume(|faults| &mut faults.lost_responses) {
            return Err(response_lost());
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

    /// Waits until there are events that are not skipped, and returns false on timeout.
    pub(crate) fn wait(&self, prefix: &str, mut from: i64, time: Duration) -> Result<bool> {
        loop {
            let call = StoreCall::Wait(prefix.to_owned(), from, time);
            let StoreReply::Flag(true) = self.memory.call(call)? else {
                return Ok(false);
            };
            let faults = self.faults();
            if faults.down {
                return Err(response_lost());
            }
            sleep(faults.watch_delay);
            let (events, revision) = self.memory.events(prefix, from)?;
            if events.is_empty() || !self.consume(|faults| &mut faults.skipped_events) {
                return Ok(true);
            }
            from = revision + 1;
        }
    }

    /// Decrements the counter of a scripted fault and returns whether the fault applies.
    pub(crate) fn consume(&self, count: impl FnOnce(&mut StoreFaults) -> &mut u32) -> bool {
        let mut state = self.state.lock();
        let count = count(&mut state.faults);
        let applies = *count > 0;
        *count = count.saturating_sub(1);
        applies
    }
}

impl State {
    fn count_call(&mut self, write: bool) -> Result<()> {
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

/// Returns whether a call counts towards the write rate.
pub(crate) fn is_write(call: &StoreCall) -> bool {
    match call {
        StoreCall::Txn(txn) => txn.has_writes(),
        StoreCall::Grant(_) | StoreCall::KeepAlive(_) | StoreCall::Revoke(_) => true,
        StoreCall::Range(_) | StoreCall::RangeSince(..) | StoreCall::Wait(..) => false,
    }
}

/// Refuses transactions that exceed etcd's limits or change a key twice.
fn check_limits(txn: &Txn) -> Result<()> {
    let operations = txn.compare.len().max(txn.writes.len());
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
    let count = keys.len();
    keys.sort_unstable();
    keys.dedup();
    if operations > MAX_OPERATIONS {
        return Err(refused("etcdserver: too many operations in txn request"));
    }
    if bytes > MAX_TRANSACTION_BYTES {
        return Err(refused("etcdserver: request is too large"));
    }
    if keys.len() < count {
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

fn response_lost() -> StoreError {
    let reason = "scripted loss".into();
    StoreError::AnswerLost { reason }
}
