//! Failed runs of a task.
//!
//! Load pattern: a worker with a failed run falls silent together with the owner of its cell. The
//! successor does not know the run, so its own first run has the same number. Once the worker is
//! back, both runs have failed, and count as two attempts. A report that the worker repeats to a
//! successor counts once.
//!
//! The members of a gang start with one run number, and several of them may fail in a run, which is
//! one attempt. So the entries of a gang's members tell the number of the run, beside the worker.

use std::collections::BTreeSet;

use nutmegcart_model::WorkerId;
use nutmegcart_model::rendezvous;

/// Bit that distinguishes identities from the plain run numbers that earlier versions stored.
const IDENTITY: u32 = 1 << 31;

/// Bits of a run number in the entry of a gang's member; the others tell the worker.
const RUN_BITS: u32 = 16;
const RUN_MASK: u32 = (1 << RUN_BITS) - 1;

/// Distinct failed runs of a task.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FailedRuns(Vec<u32>);

impl FailedRuns {
    /// Restores the runs from their stored form.
    #[must_use]
    pub const fn restore(stored: Vec<u32>) -> Self {
        Self(stored)
    }

    /// Returns the stored form of the runs.
    #[must_use]
    pub fn stored(&self) -> Vec<u32> {
        self.0.clone()
    }

    /// Adds a run, unless it is known.
    ///
    /// ```
    /// # use nutmegcart_jobs::failed_runs::FailedRuns;
    /// let mut failed = FailedRuns::default();
    /// failed.record(&"i-1".into(), 17);
    /// failed.record(&"i-2".into(), 17);
    /// failed.record(&"i-1".into(), 17);
    /// assert_eq!(failed.count(), 2);
    /// ```
    pub fn record(&mut self, worker: &WorkerId, run: u32) {
        let identity = identity(worker, run);
        if !self.0.contains(&identity) && !self.0.contains(&run) {
            self.0.push(identity);
        }
    }

    /// Drops all runs but the latest one.
    ///
    /// ```
    /// # use nutmegcart_jobs::failed_runs::FailedRuns;
    /// let mut failed = FailedRuns::restore(vec![1, 2, 3]);
    /// failed.keep_latest();
    /// assert_eq!(failed.stored(), [3]);
    /// ```
    pub fn keep_latest(&mut self) {
        let earlier = self.0.len().saturating_sub(1);
        self.0.drain(..earlier);
    }

    /// Adds a run of a gang's member, unless it is known.
    pub fn record_member(&mut self, worker: &WorkerId, run: u32) {
        let entry = member_entry(worker, run);
        let known = [entry, identity(worker, run), run];
        if !known.iter().any(|each| self.0.contains(each)) {
            self.0.push(entry);
        }
    }

    /// Returns the number of runs of a gang in which a member has failed.
    ///
    /// Those of one member are different runs, also if two owners gave them the same number. Earlier
    /// versions stored identities for the members of a gang too, which don't tell the number.
    ///
    /// ```
    /// # use nutmegcart_jobs::failed_runs::FailedRuns;
    /// let mut members = [FailedRuns::default(), FailedRuns::default()];
    /// members[0].record_member(&"i-1".into(), 17);
    /// members[1].record_member(&"i-2".into(), 17);
    /// assert_eq!(FailedRuns::count_of_gang(&members), 1);
    /// members[0].record_member(&"i-3".into(), 17);
    /// assert_eq!(FailedRuns::count_of_gang(&members), 2);
    /// ```
    pub fn count_of_gang<'a>(members: impl IntoIterator<Item = &'a Self>) -> usize {
        let mut runs = BTreeSet::new();
        let (mut most, mut unknown) = (0, 0);
        for member in members {
            let (identities, entries): (Vec<u32>, Vec<u32>) =
                member.0.iter().partition(|run| **run & IDENTITY != 0);
            unknown = unknown.max(identities.len());
            most = most.max(entries.len());
            runs.extend(entries.iter().map(|entry| entry & RUN_MASK));
        }
        runs.len().max(most) + unknown
    }

    /// Returns whether no run has failed.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of runs.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.0.len()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "the lower half of the hash"
)]
fn identity(worker: &WorkerId, run: u32) -> u32 {
    rendezvous::weight(worker.as_bytes(), &run.to_le_bytes()) as u32 | IDENTITY
}

fn member_entry(worker: &WorkerId, run: u32) -> u32 {
    let host = identity(worker, 0) << RUN_BITS;
    (host | run & RUN_MASK) & !IDENTITY
}
