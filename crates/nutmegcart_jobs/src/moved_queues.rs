//! Queues that configurations have moved between pools while they had open jobs.
//!
//! Load pattern: configurations in quick succession, and a change of the owner among them. Tasks of
//! a moved queue may be live in any pool that it had, and a successor knows the latest one only. The
//! stored cell state therefore names the queue before any of its jobs is started in another pool.

use std::collections::BTreeSet;

use crate::job::QueueKey;
use crate::live_job::LiveJob;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Returns the queues with open jobs that may have tasks in a pool other than their present one.
    pub(crate) fn moved_queues(&self) -> BTreeSet<QueueKey> {
        let jobs = self.jobs.values();
        let moved = jobs.filter(|job| job.moved && job.ended.is_none());
        moved.map(|job| job.accepted.queue.key.clone()).collect()
    }

    /// Returns whether the job was moved to another pool, and the stored cell state does not tell so
    /// yet.
    pub(crate) fn has_unstored_move(&self, job: &LiveJob) -> bool {
        job.moved && !self.stored_moves.contains(&job.accepted.queue.key)
    }

    /// Restores the queues that an earlier owner knew as moved.
    pub(crate) fn inherit_moved_queues(&mut self, queues: &[QueueKey]) {
        self.stored_moves = queues.iter().cloned().collect();
        for job in self.jobs.values_mut().filter(|job| job.inherited) {
            job.moved |= self.stored_moves.contains(&job.accepted.queue.key);
        }
    }
}
