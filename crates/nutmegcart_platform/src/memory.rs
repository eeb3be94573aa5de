//! A key-value store in the memory of one process.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Condvar;
use parking_lot::Mutex;

use crate::store::Call;
use crate::store::Change;
use crate::store::Compare;
use crate::store::KeyValue;
use crate::store::LeaseId;
use crate::store::Reply;
use crate::store::Revision;
use crate::store::Snapshot;
use crate::store::Store;
use crate::store::Txn;
use crate::store::TxnReply;

/// A store that lives as long as the process; clones share the contents.
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
    /// Revision of the last deletion.
    deleted: Revision,
    next_lease: LeaseId,
    entries: BTreeMap<String, KeyValue>,
    leases: BTreeMap<LeaseId, Lease>,
}

#[derive(Clone, Copy)]
struct Lease {
    length: Duration,
    expiry: Instant,
}

/// A copy of a store's contents, for tests that restore an older state.
#[derive(Clone)]
pub struct Backup(State);

impl MemoryStore {
    /// Returns the calling interface.
    #[must_use]
    pub fn store(&self) -> Store {
        let memory = self.clone();
        Store::new(move |call| Ok(memory.call(call)))
    }

    /// Carries out one call.
    #[must_use]
    pub fn call(&self, call: Call) -> Reply {
        match call {
            Call::Range(prefix) => Reply::Range(self.range(&prefix)),
            Call::Txn(txn) => Reply::Txn(self.txn(&txn)),
            Call::Grant(length) => Reply::Lease(self.grant(length)),
            Call::KeepAlive(lease) => Reply::Flag(self.keep_alive(lease)),
            Call::Revoke(lease) => {
                self.expire(lease);
                Reply::Done
            }
            Call::Wait(prefix, from, time) => Reply::Flag(self.wait(&prefix, from, time)),
        }
    }

    /// Ends a lease at once, as if its holder had been silent for too long.
    pub fn expire(&self, lease: LeaseId) {
        let mut state = self.shared.state.lock();
        state.end_lease(lease);
        self.shared.written.notify_all();
    }

    /// Copies the contents.
    #[must_use]
    pub fn backup(&self) -> Backup {
        Backup(self.shared.state.lock().clone())
    }

    /// Replaces the contents by an earlier copy.
    pub fn restore(&self, backup: &Backup) {
        *self.shared.state.lock() = backup.0.clone();
        self.shared.written.notify_all();
    }

    fn range(&self, prefix: &str) -> Snapshot {
        let mut state = self.shared.state.lock();
        state.end_expired();
        Snapshot {
            revision: state.revision,
            entries: state.matching(prefix).cloned().collect(),
        }
    }

    fn txn(&self, txn: &Txn) -> TxnReply {
        let mut state = self.shared.state.lock();
        state.end_expired();
        let committed = txn.compare.iter().all(|compare| state.holds(compare));
        if committed && !txn.change.is_empty() {
            state.revision += 1;
            for change in &txn.change {
                state.apply(change);
            }
            self.shared.written.notify_all();
        }
        TxnReply {
            committed,
            revision: state.revision,
        }
    }

    fn grant(&self, length: Duration) -> LeaseId {
        let mut state = self.shared.state.lock();
        state.next_lease += 1;
        let id = state.next_lease;
        let expiry = Instant::now() + length;
        state.leases.insert(id, Lease { length, expiry });
        id
    }

    fn keep_alive(&self, lease: LeaseId) -> bool {
        let mut state = self.shared.state.lock();
        state.end_expired();
        let Some(lease) = state.leases.get_mut(&lease) else {
            return false;
        };
        lease.expiry = Instant::now() + lease.length;
        true
    }

    fn wait(&self, prefix: &str, from: Revision, time: Duration) -> bool {
        let end = Instant::now() + time;
        let mut state = self.shared.state.lock();
        loop {
            state.end_expired();
            if state.changed_since(prefix, from) {
                return true;
            }
            let lease_end = state.leases.values().map(|lease| lease.expiry).min();
            let wake = lease_end.map_or(end, |expiry| expiry.min(end));
            if self.shared.written.wait_until(&mut state, wake).timed_out() && Instant::now() >= end
            {
                return false;
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

    /// Deletions are not tracked by key, so any newer revision counts as a possible change.
    fn changed_since(&self, prefix: &str, from: Revision) -> bool {
        self.revision >= from
            && (self.matching(prefix).any(|entry| entry.modified >= from) || self.deleted >= from)
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

    fn apply(&mut self, change: &Change) {
        let revision = self.revision;
        match change {
            Change::Put(key, value, lease) => {
                let entry = self.entries.entry(key.clone()).or_insert_with(|| KeyValue {
                    key: key.clone(),
                    created: revision,
                    ..KeyValue::default()
                });
                entry.value.clone_from(value);
                entry.modified = revision;
                entry.lease = *lease;
            }
            Change::Delete(key) => {
                self.entries.remove(key);
                self.deleted = revision;
            }
        }
    }

    fn end_lease(&mut self, lease: LeaseId) {
        if self.leases.remove(&lease).is_some() {
            self.revision += 1;
            self.deleted = self.revision;
            self.entries.retain(|_, entry| entry.lease != lease);
        }
    }

    fn end_expired(&mut self) {
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
