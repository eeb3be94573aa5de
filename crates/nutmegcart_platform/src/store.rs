//! The narrow interface to the platform's key-value store.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

/// Revision of the store; grows with every write.
pub type Revision = i64;

/// Identifier of a lease, never zero.
pub type LeaseId = i64;

/// Result of a call to the store.
pub type Result<T> = std::result::Result<T, StoreError>;

/// Why a call to the store failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The call never reached the store.
    #[display("the store cannot be reached: {reason}")]
    Unreachable {
        /// What the transport reported.
        reason: String,
    },
    /// The answer was lost; a write may have taken effect.
    #[display("the store's answer was lost: {reason}")]
    AnswerLost {
        /// What the transport reported.
        reason: String,
    },
    /// The store refused the call, for example because of its rate limit; nothing was written.
    #[display("the store refused the call: {reason}")]
    Refused {
        /// What the store reported.
        reason: String,
    },
    /// The store no longer holds the history that a watch asked for; read the keys again.
    #[display("the store's history starts at revision {oldest}")]
    Compacted {
        /// Oldest revision that can be watched.
        oldest: Revision,
    },
}

/// A key with its value and revisions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyValue {
    /// Key.
    pub key: String,
    /// Value in bytes, at most 1 MB.
    pub value: Vec<u8>,
    /// Revision at which the key was created.
    pub created: Revision,
    /// Revision of the last write.
    pub modified: Revision,
    /// Lease that removes the key when it ends, or zero.
    pub lease: LeaseId,
}

/// A condition of a transaction; revision zero means that the key does not exist.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Compare {
    /// The key's last write has this revision.
    Modified(String, Revision),
    /// The key was created at this revision.
    Created(String, Revision),
}

/// A write of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOp {
    /// Writes a value, attached to a lease unless it is zero.
    Put(String, Vec<u8>, LeaseId),
    /// Deletes a key.
    Delete(String),
}

/// A compare-and-swap over any number of keys.
///
/// ```
/// # use nutmegcart_platform::{MemoryStore, Txn};
/// let store = MemoryStore::default().store();
/// let txn = Txn::default().absent("k").put("k", b"v".to_vec());
/// assert!(store.txn(&txn).unwrap().committed);
/// assert!(!store.txn(&txn).unwrap().committed);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Txn {
    /// Conditions, all of which must hold.
    pub compare: Vec<Compare>,
    /// Writes made if the conditions hold.
    pub writes: Vec<WriteOp>,
    /// Keys read at the same revision if the conditions do not hold.
    pub else_reads: Vec<String>,
}

impl Txn {
    /// Requires that the key's last write has the revision.
    #[must_use]
    pub fn unchanged(mut self, key: impl Into<String>, modified: Revision) -> Self {
        self.compare.push(Compare::Modified(key.into(), modified));
        self
    }

    /// Requires that the key was created at the revision.
    #[must_use]
    pub fn created_at(mut self, key: impl Into<String>, created: Revision) -> Self {
        self.compare.push(Compare::Created(key.into(), created));
        self
    }

    /// Requires that the key does not exist.
    #[must_use]
    pub fn absent(self, key: impl Into<String>) -> Self {
        self.created_at(key, 0)
    }

    /// Writes a value.
    #[must_use]
    pub fn put(self, key: impl Into<String>, value: Vec<u8>) -> Self {
        self.put_leased(key, value, 0)
    }

    /// Writes a value that the end of the lease removes.
    #[must_use]
    pub fn put_leased(mut self, key: impl Into<String>, value: Vec<u8>, lease: LeaseId) -> Self {
        self.writes.push(WriteOp::Put(key.into(), value, lease));
        self
    }

    /// Deletes a key.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(WriteOp::Delete(key.into()));
        self
    }

    /// Reads a key if the conditions do not hold; the read is never stale.
    ///
    /// ```
    /// # use nutmegcart_platform::{MemoryStore, Txn};
    /// let store = MemoryStore::default().store();
    /// let txn = Txn::default().absent("k").put("k", b"v".to_vec()).or_read("k");
    /// assert!(store.txn(&txn).unwrap().found.is_empty());
    /// assert_eq!(store.txn(&txn).unwrap().found[0].value, b"v");
    /// ```
    #[must_use]
    pub fn or_read(mut self, key: impl Into<String>) -> Self {
        self.else_reads.push(key.into());
        self
    }

    /// Returns whether the transaction writes.
    #[must_use]
    pub fn has_writes(&self) -> bool {
        !self.writes.is_empty()
    }
}

/// Outcome of a transaction.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TxnReply {
    /// Whether the conditions held and the writes were made.
    pub committed: bool,
    /// Revision of the store after the transaction.
    pub revision: Revision,
    /// Existing keys among [`Txn::else_reads`] if the conditions did not hold.
    pub found: Vec<KeyValue>,
}

/// A consistent read of all keys with a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Revision of the store at the read.
    pub revision: Revision,
    /// Keys in ascending order.
    pub entries: Vec<KeyValue>,
}

impl Snapshot {
    /// Returns the entry of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&KeyValue> {
        let found = self
            .entries
            .binary_search_by(|entry| entry.key.as_str().cmp(key));
        found.ok().map(|index| &self.entries[index])
    }
}

/// One call to the store.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// Reads all keys with the prefix.
    Range(String),
    /// Reads the keys with the prefix that were written at or after the revision.
    RangeSince(String, Revision),
    /// Runs a transaction.
    Txn(Txn),
    /// Grants a lease for the time.
    Grant(Duration),
    /// Renews a lease.
    KeepAlive(LeaseId),
    /// Ends a lease and removes its keys.
    Revoke(LeaseId),
    /// Waits until a key with the prefix is written at or after the revision, or the time is over.
    Wait(String, Revision, Duration),
}

/// Answer of the store.
#[derive(Clone, Debug)]
pub enum StoreReply {
    /// Answers [`StoreCall::Range`] and [`StoreCall::RangeSince`].
    Range(Snapshot),
    /// Answers [`StoreCall::Txn`].
    Txn(TxnReply),
    /// Answers [`StoreCall::Grant`].
    Lease(LeaseId),
    /// Answers [`StoreCall::KeepAlive`] and [`StoreCall::Wait`]: whether the lease is alive, or
    /// whether a write happened.
    Flag(bool),
    /// Answers [`StoreCall::Revoke`].
    Done,
}

/// The platform's key-value store behind a closure.
#[derive(Clone)]
pub struct Store {
    call: Arc<dyn Fn(StoreCall) -> Result<StoreReply> + Send + Sync>,
}

macro_rules! expect_reply {
    ($reply:expr, $variant:pat => $value:expr) => {
        match $reply {
            $variant => Ok($value),
            other => Err(StoreError::Refused {
                reason: format!("unexpected answer {other:?}"),
            }),
        }
    };
}

impl Store {
    /// Creates a store from the closure that carries its calls.
    pub fn new(call: impl Fn(StoreCall) -> Result<StoreReply> + Send + Sync + 'static) -> Self {
        Self {
            call: Arc::new(call),
        }
    }

    /// Reads all keys with the prefix at one revision.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub fn range(&self, prefix: &str) -> Result<Snapshot> {
        let call = StoreCall::Range(prefix.into());
        expect_reply!((self.call)(call)?, StoreReply::Range(snapshot) => snapshot)
    }

    /// Reads the keys with the prefix that were written at or after the revision.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub fn range_since(&self, prefix: &str, from: Revision) -> Result<Snapshot> {
        let call = StoreCall::RangeSince(prefix.into(), from);
        expect_reply!((self.call)(call)?, StoreReply::Range(snapshot) => snapshot)
    }

    /// Carries out one call, for wrappers around the store.
    ///
    /// # Errors
    ///
    /// Fails as the call's own method does.
    pub fn call(&self, call: StoreCall) -> Result<StoreReply> {
        (self.call)(call)
    }

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// After [`StoreError::AnswerLost`] the writes may have been made.
    pub fn txn(&self, txn: &Txn) -> Result<TxnReply> {
        expect_reply!((self.call)(StoreCall::Txn(txn.clone()))?, StoreReply::Txn(reply) => reply)
    }

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub fn grant_lease(&self, time: Duration) -> Result<LeaseId> {
        expect_reply!((self.call)(StoreCall::Grant(time))?, StoreReply::Lease(lease) => lease)
    }

    /// Renews a lease and returns whether it is still alive.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub fn keep_alive(&self, lease: LeaseId) -> Result<bool> {
        expect_reply!((self.call)(StoreCall::KeepAlive(lease))?, StoreReply::Flag(alive) => alive)
    }

    /// Ends a lease and removes its keys.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub fn revoke_lease(&self, lease: LeaseId) -> Result<()> {
        expect_reply!((self.call)(StoreCall::Revoke(lease))?, StoreReply::Done => ())
    }

    /// Waits for a write with the prefix at or after the revision; false when the time is over.
    ///
    /// Returns true at once if the store is at an older revision than the caller has seen, since
    /// a restored store would otherwise keep the caller waiting for a revision that it has read.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer, and with [`StoreError::Compacted`] if the store no
    /// longer holds the history since the revision.
    pub fn wait_for_write(&self, prefix: &str, from: Revision, time: Duration) -> Result<bool> {
        let call = StoreCall::Wait(prefix.into(), from, time);
        expect_reply!((self.call)(call)?, StoreReply::Flag(changed) => changed)
    }
}
