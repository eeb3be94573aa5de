//! A key-value store in memory, for a single process and for tests.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Condvar;
use parking_lot::Mutex;

use crate::store::Compare;
use crate::store::KeyValue;
use crate::store::LeaseId;
use crate::store::Result;
use crate::store::Revision;
use crate::store::Snapshot;
use crate::store::Store;
use crate::store::StoreCall;
use crate::store::StoreError;
use crate::store::StoreReply;
use crate::store::Txn;
use crate::store::TxnReply;
use crate::store::WriteOp;

/// Number of writes kept for watches; older ones are compacted.
const MAX_HISTORY_WRITES: usize = 4096;

/// An in-memory store whose contents are lost when the process ends; clones share the contents.
///
/// ```
/// # use nutmegcart_platform::{MemoryStore, Txn};
/// let memory = MemoryStore::default();
/// memory.store().txn(&Txn::default().put("a", b"1".to_vec())).unwrap();
/// assert_eq!(memory.store().range("a").unwrap().entries.len(), 1);
/// ```
#[derive(Clone, Default)]
pub struct MemoryStore {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    written: Condvar,
}

#[derive(Clone, Default)]
struct State {
    revision: Revision,
    /// Latest writes in ascending order of revision.
    history: VecDeque<WriteEvent>,
    /// Revision of the latest write that is no longer in the history.
    compacted: Revision,
    next_lease: LeaseId,
    entries: BTreeMap<String, KeyValue>,
    leases: BTreeMap<LeaseId, Lease>,
}

/// One write, as watches report it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WriteEvent {
    /// The entry after the write; after a deletion only its key and revision are set.
    pub entry: KeyValue,
    /// Whether the key was deleted.
    pub deleted: bool,
}

#[derive(Clone, Copy)]
struct Lease {
    ttl: Duration,
    expiry: Instant,
}

/// A copy of a store's contents, for tests that restore an older state.
#[derive(Clone)]
pub struct Backup(State);

impl MemoryStore {
    /// Returns a client of this store.
    #[must_use]
    pub fn store(&self) -> Store {
        let memory = self.clone();
        Store::new(move |call| memory.call(call))
    }

    /// Carries out one call.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Compacted`] if a watch starts at a compacted revision, and with
    /// [`StoreError::Refused`] if a write is attached to a lease that does not exist.
    pub fn call(&self, call: StoreCall) -> Result<StoreReply> {
        Ok(match call {
            StoreCall::Range(prefix) => StoreReply::Range(self.range(&prefix, 0)),
            StoreCall::RangeSince(prefix, from) => StoreReply::Range(self.range(&prefix, from)),
            StoreCall::Txn(txn) => StoreReply::Txn(self.txn(&txn)?),
            StoreCall::Grant(ttl) => StoreReply::Lease(self.grant(ttl)),
            StoreCall::KeepAlive(lease) => StoreReply::Flag(self.keep_alive(lease)),
            StoreCall::Revoke(lease) => {
                self.expire_lease(lease);
                StoreReply::Done
            }
            StoreCall::Wait(prefix, from, timeout) => {
                StoreReply::Flag(self.wait(&prefix, from, timeout)?)
            }
        })
    }

    /// Ends a lease at once, as if its holder had not renewed it in time.
    pub fn expire_lease(&self, lease: LeaseId) {
        let mut state = self.shared.state.lock();
        state.end_lease(lease);
        self.shared.written.notify_all();
    }

    /// Returns a copy of the contents, including leases and history.
    #[must_use]
    pub fn backup(&self) -> Backup {
        Backup(self.shared.state.lock().clone())
    }

    /// Replaces the contents with an earlier copy.
    pub fn restore(&self, backup: &Backup) {
        *self.shared.state.lock() = backup.0.clone();
        self.shared.written.notify_all();
    }

    /// Returns the writes with the prefix at or after the revision, and the store's revision.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Compacted`] if writes since the revision are compacted.
    pub fn events(&self, prefix: &str, from: Revision) -> Result<(Vec<WriteEvent>, Revision)> {
        let mut state = self.shared.state.lock();
        state.end_expired_leases();
        Ok((
            state.events(prefix, from)?.cloned().collect(),
            state.revision,
        ))
    }

    /// Compacts the history up to the current revision.
    pub fn compact(&self) {
        let mut state = self.shared.state.lock();
        state.history.clear();
        state.compacted = state.revision;
    }

    fn range(&self, prefix: &str, from: Revision) -> Snapshot {
        let mut state = self.shared.state.lock();
        state.end_expired_leases();
        Snapshot {
            revision: state.revision,
            entries: state
                .matching(prefix)
                .filter(|entry| entry.modified >= from)
                .cloned()
                .collect(),
        }
    }

    fn txn(&self, txn: &Txn) -> Result<TxnReply> {
        let mut state = self.shared.state.lock();
        state.end_expired_leases();
        let committed = txn.compare.iter().all(|compare| state.holds(compare));
        let mut found = Vec::new();
        if committed && txn.has_writes() {
            state.check_leases(txn)?;
            state.revision += 1;
            for change in &txn.writes {
                state.apply(change);
            }
            self.shared.written.notify_all();
        } else if !committed {
            let keys = txn.else_reads.iter();
            found.extend(keys.filter_map(|key| state.entries.get(key).cloned()));
        }
        Ok(TxnReply {
            committed,
            revision: state.revision,
            found,
        })
    }

    fn grant(&self, ttl: Duration) -> LeaseId {
        let mut state = self.shared.state.lock();
        state.next_lease += 1;
        let id = state.next_lease;
        let expiry = Instant::now() + ttl;
        state.leases.insert(id, Lease { ttl, expiry });
        id
    }

    fn keep_alive(&self, lease: LeaseId) -> bool {
        let mut state = self.shared.state.lock();
        state.end_expired_leases();
        let Some(lease) = state.leases.get_mut(&lease) else {
            return false;
        };
        lease.expiry = Instant::now() + lease.ttl;
        true
    }

    fn wait(&self, prefix: &str, from: Revision, timeout: Duration) -> Result<bool> {
        let end = Instant::now() + timeout;
        let mut state = self.shared.state.lock();
        loop {
            state.end_expired_leases();
            if state.revision + 1 < from || state.events(prefix, from)?.next().is_some() {
                return Ok(true);
            }
            let lease_end = state.leases.values().map(|lease| lease.expiry).min();
            let wake = lease_end.map_or(end, |expiry| expiry.min(end));
            if self.shared.written.wait_until(&mut state, wake).timed_out() && Instant::now() >= end
            {
                return Ok(false);
            }
        }
    }
}

impl State {
    fn matching<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a KeyValue> {
        self.entries
            .range(prefix.to_owned()..)
            .map(|(_, entry)| entry)
            .take_while(move |entry| entry.key.starts_with(prefix))
    }

    fn events<'a>(
        &'a self,
        prefix: &'a str,
        from: Revision,
    ) -> Result<impl Iterator<Item = &'a WriteEvent>> {
        if from <= self.compacted {
            let oldest = self.compacted + 1;
            return Err(StoreError::Compacted { oldest });
        }
        let start = self
            .history
            .partition_point(|event| event.entry.modified < from);
        let events = self.history.range(start..);
        Ok(events.filter(move |event| event.entry.key.starts_with(prefix)))
    }

    fn record(&mut self, entry: KeyValue, deleted: bool) {
        self.history.push_back(WriteEvent { entry, deleted });
        if self.history.len() > MAX_HISTORY_WRITES
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted = oldest.entry.modified;
        }
    }

    /// Refuses writes attached to a lease that does not exist, since no lease would remove them.
    fn check_leases(&self, txn: &Txn) -> Result<()> {
        for change in &txn.writes {
            if let WriteOp::Put(_, _, lease) = change
                && *lease != 0
                && !self.leases.contains_key(lease)
            {
                let reason = "requested lease not found".into();
                return Err(StoreError::Refused { reason });
            }
        }
        Ok(())
    }

    fn holds(&self, compare: &Compare) -> bool {
        match compare {
            Compare::Modified(key, revision) => {
                self.entries.get(key).map_or(0, |entry| entry.modified) == *revision
            }
            Compare::Created(key, revision) => {
                self.entries.get(key).map_or(0, |entry| entry.created) == *revision
            }
        }
    }

    fn apply(&mut self, change: &WriteOp) {
        let revision = self.revision;
        match change {
            WriteOp::Put(key, value, lease) => {
                let entry = self.entries.entry(key.clone()).or_insert_with(|| KeyValue {
                    key: key.clone(),
                    created: revision,
                    ..KeyValue::default()
                });
                entry.value.clone_from(value);
                entry.modified = revision;
                entry.lease = *lease;
                let entry = entry.clone();
                self.record(entry, false);
            }
            WriteOp::Delete(key) => self.delete(key),
        }
    }

    fn delete(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            let entry = KeyValue {
                key: key.to_owned(),
                modified: self.revision,
                ..KeyValue::default()
            };
            self.record(entry, true);
        }
    }

    fn end_lease(&mut self, lease: LeaseId) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let attached = self.entries.values().filter(|entry| entry.lease == lease);
        let keys: Vec<String> = attached.map(|entry| entry.key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key);
        }
    }

    fn end_expired_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expiry <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }
}
