//! Earlier owners of cells, as far as the watch of the shared keys has shown them, and the time
//! until which they can have granted leases.

use std::collections::HashMap;
use std::time::Duration;

use crate::node::OwnerRecord;
use crate::owner_log::LoggedOwner;
use crate::owner_log::OwnerLog;

/// Owners kept for each cell. An owner that is dropped counts as one that was never seen.
const MAX_OWNERS: usize = 16;

/// An owner of a cell that this instance has seen.
#[derive(Clone, Debug)]
pub struct SeenOwner {
    /// Fencing token: the revision at which its key was written.
    pub fence: u64,
    /// Its record, unless it cannot be read.
    pub record: Option<OwnerRecord>,
    /// When this instance saw that another owner had replaced its key. Its lease may live on.
    pub replaced_at: Option<Duration>,
    /// By when its lease had certainly ended, so that it was not renewed later.
    pub lease_end: Option<Duration>,
    /// When this instance learned from its process that it had ended.
    pub confirmed_at: Option<Duration>,
}

impl SeenOwner {
    /// Returns until when the owner can have granted leases, if that is known.
    #[must_use]
    pub fn acts_until(&self, owner_validity: Duration) -> Option<Duration> {
        let lapsed = self.lease_end.map(|end| end + owner_validity);
        lapsed.into_iter().chain(self.confirmed_at).min()
    }
}

/// The time until which earlier owners of a cell can have granted leases.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ActingEnd {
    /// The time.
    pub until: Duration,
    /// Whether it is that of owners which this instance may not have seen, so that no confirmation
    /// moves it forward.
    pub unseen: bool,
}

/// Owners of all cells, in the order in which the watch of the shared keys reported them.
///
/// The watch reports every change after a complete read of the keys. An owner that it did not
/// report had lost its key before the latest read was answered.
#[derive(Clone, Debug, Default)]
pub struct OwnerHistory {
    /// When the latest complete read was answered, or an owner was dropped.
    complete_since: Option<Duration>,
    cells: HashMap<u32, Vec<SeenOwner>>,
    /// Fencing tokens by cell of owners before which all owners are known from the stored log.
    logged: HashMap<u32, u64>,
    /// Fencing tokens by cell of this instance's latest ownerships.
    taken: HashMap<u32, u64>,
}

impl OwnerHistory {
    /// Records a complete read of the keys, which may have skipped owners.
    pub const fn record_read(&mut self, now: Duration) {
        self.complete_since = Some(now);
    }

    /// Records that a cell's owner has written its key; `record` is `None` if it is unreadable.
    pub fn record_owner(
        &mut self,
        cell: u32,
        fence: u64,
        record: Option<OwnerRecord>,
        now: Duration,
    ) {
        if self.logged.get(&cell).is_some_and(|logged| fence < *logged) {
            return;
        }
        let owners = self.cells.entry(cell).or_default();
        if owners.iter().any(|owner| owner.fence >= fence) {
            return;
        }
        if let Some(last) = owners.last_mut()
            && last.lease_end.is_none()
        {
            last.replaced_at.get_or_insert(now);
        }
        owners.push(SeenOwner {
            fence,
            record,
            replaced_at: None,
            lease_end: None,
            confirmed_at: None,
        });
        self.drop_oldest(cell, now);
    }

    fn drop_oldest(&mut self, cell: u32, now: Duration) {
        let owners = self.cells.entry(cell).or_default();
        let dropped = owners.len().saturating_sub(MAX_OWNERS);
        if dropped > 0 {
            owners.drain(..dropped);
            self.complete_since = self.complete_since.map(|since| since.max(now));
            self.logged.remove(&cell);
        }
    }

    /// Records the stored log of the owners before the one with the fencing token, which got its key
    /// by `taken_at`.
    pub fn record_log(&mut self, cell: u32, fence: u64, log: &OwnerLog, taken_at: Duration) {
        self.taken.insert(cell, fence);
        let owners = self.cells.entry(cell).or_default();
        for logged in &log.earlier {
            let known = owners.iter().position(|owner| owner.fence == logged.fence);
            let at = known.unwrap_or_else(|| {
                owners.push(SeenOwner {
                    fence: logged.fence,
                    record: None,
                    replaced_at: Some(taken_at),
                    lease_end: None,
                    confirmed_at: None,
                });
                owners.len() - 1
            });
            owners[at]
                .record
                .get_or_insert_with(|| logged.record.clone());
            if logged.lease_ended {
                owners[at].lease_end.get_or_insert(taken_at);
            }
        }
        owners.sort_by_key(|owner| owner.fence);
        if log.complete {
            // The watch may have shown owners that the log no longer names. They have ended, and
            // their processes may be gone, so that they cannot confirm it.
            let named = |owner: &SeenOwner| log.earlier.iter().any(|l| l.fence == owner.fence);
            owners.retain(|owner| owner.fence >= fence || named(owner));
            self.logged.insert(cell, fence);
        }
        self.drop_oldest(cell, taken_at);
    }

    /// Records that a cell's owner key is gone, which happens only when its lease ends.
    ///
    /// Until the watch has reported this instance's own key, the one that is gone belongs to an
    /// owner before it, and the latest one in the log may have a lease that lives on.
    pub fn record_vacancy(&mut self, cell: u32, now: Duration) {
        let taken = self.taken.get(&cell).copied().unwrap_or_default();
        let last = self
            .cells
            .get_mut(&cell)
            .and_then(|owners| owners.last_mut());
        if let Some(last) = last
            && last.fence >= taken
        {
            last.lease_end.get_or_insert(now);
        }
    }

    /// Records that an owner's lease had certainly ended by `now`.
    pub fn record_lease_end(&mut self, cell: u32, fence: u64, now: Duration) {
        if let Some(owner) = self.owner(cell, fence) {
            owner.lease_end.get_or_insert(now);
        }
    }

    /// Returns whether the owner with the fencing token is known to have lost its key.
    #[must_use]
    pub fn has_lease_ended(&self, cell: u32, fence: u64) -> bool {
        let owners = self.cells.get(&cell).into_iter().flatten();
        let mut ended = owners.filter(|owner| owner.lease_end.is_some());
        ended.any(|owner| owner.fence == fence)
    }

    /// Records that an owner's process has confirmed its end.
    pub fn record_confirmation(&mut self, cell: u32, fence: u64, now: Duration) {
        if let Some(owner) = self.owner(cell, fence) {
            owner.confirmed_at.get_or_insert(now);
        }
    }

    fn owner(&mut self, cell: u32, fence: u64) -> Option<&mut SeenOwner> {
        let owners = self.cells.get_mut(&cell)?;
        owners.iter_mut().find(|owner| owner.fence == fence)
    }

    /// Returns the owners before the one with the fencing token that may act at `now` or later.
    #[must_use]
    pub fn possibly_acting(
        &self,
        cell: u32,
        fence: u64,
        owner_validity: Duration,
        now: Duration,
    ) -> Vec<SeenOwner> {
        let owners = self.cells.get(&cell).into_iter().flatten();
        let acting = owners.filter(|owner| {
            let until = owner.acts_until(owner_validity);
            owner.fence < fence && until.is_none_or(|until| now < until)
        });
        acting.cloned().collect()
    }

    /// Returns the log of the earlier owners that may act at `now` or later, for the owner with the
    /// fencing token that wrote `log` with its key. If `log` is not complete, `now` must be so late
    /// that owners which this instance has not seen can no longer act.
    #[must_use]
    pub fn settle(
        &self,
        log: &OwnerLog,
        (cell, fence): (u32, u64),
        owner_validity: Duration,
        now: Duration,
    ) -> OwnerLog {
        let open = self.possibly_acting(cell, fence, owner_validity, now);
        let is_named = |fence: u64| log.earlier.iter().any(|logged| logged.fence == fence);
        let owners = self.cells.get(&cell).into_iter().flatten();
        let known: Vec<u64> = owners.map(|owner| owner.fence).collect();
        let is_open = |logged: &LoggedOwner| {
            // The history may have dropped an owner, whose end it then does not know.
            !known.contains(&logged.fence) || open.iter().any(|each| each.fence == logged.fence)
        };
        let mut earlier = log.earlier.clone();
        earlier.retain(is_open);
        // Owners of a version that writes no log are known from the watch only.
        let mut complete = true;
        for owner in open.iter().filter(|owner| !is_named(owner.fence)) {
            complete &= owner.record.is_some();
            earlier.extend(owner.record.clone().map(|record| LoggedOwner {
                fence: owner.fence,
                record,
                lease_ended: owner.lease_end.is_some(),
            }));
        }
        earlier.sort_by_key(|logged| logged.fence);
        OwnerLog {
            earlier,
            writer: None,
            complete,
            released: log.released,
            states_since: log.states_since,
        }
    }

    /// Returns the time until which any owner before the one with the fencing token can have
    /// granted leases, if that is known.
    ///
    /// Without a complete log, it is unknown until the watch has reported this owner's own key, because
    /// the watch reports all earlier owners before it. Owners that it did not report had lost their
    /// keys by `taken_at`, when this one got its own.
    #[must_use]
    pub fn acting_end(
        &self,
        cell: u32,
        fence: u64,
        owner_validity: Duration,
        taken_at: Duration,
    ) -> Option<ActingEnd> {
        let owners = self.cells.get(&cell)?;
        let unseen = if self.logged.get(&cell) == Some(&fence) {
            Duration::ZERO
        } else if owners.iter().any(|owner| owner.fence == fence) {
            self.complete_since?.min(taken_at) + owner_validity
        } else {
            return None;
        };
        let earlier = owners.iter().filter(|owner| owner.fence < fence);
        let seen = earlier
            .map(|owner| owner.acts_until(owner_validity))
            .try_fold(Duration::ZERO, |end, until| {
                until.map(|until| end.max(until))
            })?;
        Some(ActingEnd {
            until: seen.max(unseen),
            unseen: unseen > seen,
        })
    }
}
