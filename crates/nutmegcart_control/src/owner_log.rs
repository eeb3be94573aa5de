//! The stored log of a cell's latest owners.
//!
//! An owner's key is gone once its lease has ended, and an instance that has just started, or whose
//! store has forgotten its history, has not seen the owners before. So each owner adds its
//! predecessor to a log, in the transaction that writes its key. Its successors know from the log
//! all owners that may still act, and ask them.

use std::ops::RangeInclusive;

use nutmegcart_jobs::record;
use nutmegcart_jobs::record::decode_extended;
use nutmegcart_jobs::record::encode;
use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use nutmegcart_platform::Revision;
use nutmegcart_platform::Txn;
use serde::Deserialize;
use serde::Serialize;

use crate::keys;
use crate::keys::CellKeys;
use crate::node::OwnerRecord;
use crate::port::KeyStore;
use crate::port::StoreResult;

/// Owners kept in a log. A log from which one was dropped is not complete.
const MAX_LOGGED: usize = 16;

/// An earlier owner in the log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoggedOwner {
    /// Fencing token: the revision at which its key was written.
    pub fence: u64,
    /// Its record.
    pub record: OwnerRecord,
    /// Whether its lease had ended when the log was written.
    pub lease_ended: bool,
}

/// Owners of a cell that may act, oldest first.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct OwnerLog {
    /// Owners that had their key before the log was written.
    pub earlier: Vec<LoggedOwner>,
    /// Owner that wrote the log with its key; its fencing token is the revision of the log.
    pub writer: Option<OwnerRecord>,
    /// Whether no other owner can act.
    pub complete: bool,
    /// Fencing token of an owner that acted after all others and has released the cell.
    #[serde(skip)]
    pub released: Option<u64>,
    /// Fencing token of the first of the latest owners that start no long-running task before they
    /// have stored its assignment, if it is not that of the latest one alone.
    #[serde(skip)]
    pub states_since: Option<u64>,
}

impl OwnerLog {
    /// Returns the fencing token of the latest earlier owner that may have acted, if it is known.
    #[must_use]
    pub fn latest(&self) -> Option<u64> {
        let last = self.earlier.last();
        self.released.or(last.map(|owner| owner.fence))
    }

    /// Returns the fencing tokens of the owners whose stored state lists all long-running tasks that
    /// may run. Those that came after the one that wrote the state have started no other.
    #[must_use]
    pub fn state_writers(&self) -> Option<RangeInclusive<u64>> {
        let latest = self.latest()?;
        Some(self.states_since.unwrap_or(latest)..=latest)
    }

    /// Records that an owner which stores assignments follows the latest one.
    pub(crate) fn extend_states(&mut self) {
        self.states_since = self.states_since.or(self.latest());
    }

    /// Encodes the log. The fencing tokens follow the record, where programs of versions without them
    /// do not read.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = encode(self);
        let latest = self.latest().filter(|_| self.states_since.is_some());
        for fence in self
            .released
            .or(latest)
            .into_iter()
            .chain(self.states_since)
        {
            bytes.extend(encode(&fence));
        }
        bytes
    }

    fn decode(bytes: &[u8]) -> record::Result<Self> {
        let (log, fences) = decode_extended::<Self, u64>(bytes)?;
        Ok(Self {
            released: fences.first().copied(),
            states_since: fences.get(1).copied(),
            ..log
        })
    }

    /// Returns the transaction by which an owner that grants no more leases gives up its key, and
    /// stores the log without itself. It changes nothing once the key is gone.
    ///
    /// A later change of the log by the same owner requires the key, so it has no effect.
    #[must_use]
    pub fn release(&self, cell: u32, fence: Revision) -> Txn {
        let owner = CellKeys::new(cell).owner();
        let released = Self {
            writer: None,
            ..self.clone()
        };
        Txn::default()
            .unchanged(owner.clone(), fence)
            .delete(owner)
            .delete(keys::owner_copy(cell))
            .put(keys::owner_log(cell), released.encode())
    }
}

/// How an owner got its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Acquisition {
    /// The cell had no owner, since the lease of the one before had ended.
    Vacant,
    /// The owner before handed the cell over; its lease lives on.
    HandedOver,
}

/// A log as it was read from the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredLog {
    /// The log; empty and incomplete if it does not exist.
    pub log: OwnerLog,
    /// Revision of its key; 0 if it does not exist.
    pub revision: Revision,
    /// Whether the cell has no stored state either. An owner starts nothing before it has stored
    /// one, so such a cell has no earlier owner.
    pub unused: bool,
}

impl StoredLog {
    /// Returns the log that a new owner writes with its key, without the owner itself.
    ///
    /// ```
    /// # use nutmegcart_control::owner_log::{Acquisition, StoredLog};
    /// let unused = StoredLog { unused: true, ..StoredLog::default() };
    /// assert!(unused.succeed(Acquisition::Vacant).complete);
    /// // An older version, which writes no log, may have owned the cell.
    /// assert!(!StoredLog::default().succeed(Acquisition::Vacant).complete);
    /// ```
    #[must_use]
    pub fn succeed(&self, how: Acquisition) -> OwnerLog {
        let mut earlier = self.log.earlier.clone();
        if let Some(record) = &self.log.writer {
            earlier.push(LoggedOwner {
                fence: u64::try_from(self.revision).unwrap_or_default(),
                record: record.clone(),
                lease_ended: false,
            });
        }
        if let Some(last) = earlier.last_mut()
            && how == Acquisition::Vacant
        {
            last.lease_ended = true;
        }
        let dropped = earlier.len().saturating_sub(MAX_LOGGED);
        earlier.drain(..dropped);
        OwnerLog {
            earlier,
            writer: None,
            complete: dropped == 0 && (self.log.complete || self.unused),
            released: self.log.released.filter(|_| self.log.writer.is_none()),
            states_since: self.log.states_since,
        }
    }

    /// Adds the write of the log to the transaction that writes the owner's key, and the conditions
    /// that nothing has changed since the log was read.
    #[must_use]
    pub fn extend(&self, txn: Txn, cell: u32, log: &OwnerLog, owner: OwnerRecord) -> Txn {
        let key = keys::owner_log(cell);
        let conditional = match (self.revision, self.unused) {
            (0, true) => txn.absent(key.clone()).absent(CellKeys::new(cell).state()),
            (0, false) => txn.absent(key.clone()),
            (revision, _) => txn.unchanged(key.clone(), revision),
        };
        let mut written = OwnerLog {
            writer: Some(owner),
            ..log.clone()
        };
        written.extend_states();
        conditional.put(key, written.encode())
    }
}

/// Reads the log of a cell's owners. One that cannot be decoded counts as empty and incomplete.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn read(store: &KeyStore, cell: u32) -> StoreResult<StoredLog> {
    let key = keys::owner_log(cell);
    let Some(item) = (store.get)(key.clone()).await? else {
        let state = (store.get)(CellKeys::new(cell).state()).await?;
        return Ok(StoredLog {
            unused: state.is_none(),
            ..StoredLog::default()
        });
    };
    let log = OwnerLog::decode(&item.value).unwrap_or_else(|error| {
        log_event!(Event::JobRecordInvalid, key = key, reason = error);
        OwnerLog::default()
    });
    Ok(StoredLog {
        log,
        revision: item.modified,
        unused: false,
    })
}
