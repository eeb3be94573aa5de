//! Interface to the platform's key-value store: transactions, leases and watches.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

/// Revision of the store; every write increases it.
pub type Revision = i64;

/// Identifier of a lease, never zero.
pub type LeaseId = i64;

/// Result of a call to the store.
pub type Result<T> = std::result::Result<T, StoreError>;

/// Reason for which a call to the store failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The call never reached the store.
    #[display("the store cannot be reached: {reason}")]
    Unreachable {
        /// Error that the transport reported.
        reason: String,
    },
    /// The answer was lost; a write may have taken effect.
    #[display("the store's answer was lost: {reason}")]
    AnswerLost {
        /// Error that the transport reported.
        reason: String,
    },
    /// The answer to a read began and did not end in time; a smaller one may pass.
    #[display("the store's answer was cut off: {reason}")]
    AnswerCut {
        /// Error that the transport reported.
        reason: String,
    },
    /// The store refused the call, for example because of its rate limit; nothing was written.
    #[display("the store refused the call: {reason}")]
    Refused {
        /// Error that the store reported.
        reason: String,
    },
    /// The store does not accept the content of the call, and would refuse it again; nothing was
    /// written.
    #[display("the store does not accept the call: {reason}")]
    Rejected {
        /// Error that the store reported.
        reason: String,
    },
    /// The store has compacted the history from which a watch was to start; the caller must read
    /// the keys again.
    #[display("the store's history starts at revision {oldest}")]
    Compacted {
        /// Oldest revision that can be watched.
        oldest: Revision,
    },
}

/// A key with its value and revisions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyValue {
    /// Name of the key.
    pub key: String,
    /// Value in bytes, at most 1 MB.
    pub value: Vec<u8>,
    /// Revision at which the key was created.
    pub created: Revision,
    /// Revision of the last write.
    pub modified: Revision,
    /// Lease whose end removes the key, or zero.
    pub lease: LeaseId,
}

/// A condition of a transaction; revision zero requires that the key does not exist.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Compare {
    /// The revision of the key's last write equals this one.
    Modified(String, Revision),
    /// The revision at which the key was created equals this one.
    Created(String, Revision),
}

/// A write of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOp {
    /// Writes a value; a lease other than zero removes it when the lease ends.
    Put(String, Vec<u8>, LeaseId),
    /// Deletes a key.
    Delete(String),
}

/// An atomic compare-and-swap over any number of keys.
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
    /// Requires that the key was last written at the revision.
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

    /// Writes a value that is removed when the lease ends.
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

    /// Returns whether the transaction writes if its conditions hold.
    #[must_use]
    pub fn has_writes(&self) -> bool {
        !self.writes.is_empty()
    }
}

/// Result of a transaction.
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
    /// Grants a lease with this time to live.
    Grant(Duration),
    /// Renews a lease.
    KeepAlive(LeaseId),
    /// Ends a lease and removes its keys.
    Revoke(LeaseId),
    /// Waits until a key with the prefix is written at or after the revision, or the timeout ends.
    Wait(String, Revision, Duration),
}

/// Answer of the store to a [`StoreCall`].
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

/// Client of the platform's key-value store; a closure carries out its calls.
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
    /// Creates a store from the closure that carries out its calls.
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
        expect_reply!(
            (self.call)(StoreCall::Range(prefix.into()))?,
            StoreReply::Range(snapshot) => snapshot
        )
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

    /// Carries out one call; wrappers pass calls on to an inner store with it.
    ///
    /// # Errors
    ///
    /// Fails as the method for this kind of call does.
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

    /// Grants a lease with the time to live.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub fn grant_lease(&self, ttl: Duration) -> Result<LeaseId> {
        expect_reply!((self.call)(StoreCall::Grant(ttl))?, StoreReply::Lease(lease) => lease)
    }

    /// Renews a lease and returns whether it still exists.
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

    /// Waits until a key with the prefix is written at or after the revision; returns false on
    /// timeout.
    ///
    /// Returns true at once if the store's revision is older than one that the caller has read.
    /// After the store was restored from a backup, the caller would otherwise wait until the store
    /// reaches that revision again.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer, and with [`StoreError::Compacted`] if the store no
    /// longer holds the history since the revision.
    pub fn wait_for_write(&self, prefix: &str, from: Revision, timeout: Duration) -> Result<bool> {
        let call = StoreCall::Wait(prefix.into(), from, timeout);
        expect_reply!((self.call)(call)?, StoreReply::Flag(changed) => changed)
    }
}
