//! Workers that have started again under their identifier a short time ago.
//!
//! Failure that it answers: a call that was meant for the former incarnation gets no answer, and the
//! next incarnation carries it out seconds later, which extends the lease of what runs there to the
//! longest one. The owner that saw the restart waits for that long if the worker falls silent. The
//! stored cell state tells a successor of it, before anything starts on the new incarnation.

use std::collections::BTreeSet;
use std::time::Duration;

use nutmegcart_model::WorkerId;

use crate::record::RestartedWorker;
use crate::scheduler::Scheduler;
use crate::worker::MAX_ORDER_DELAY;
use crate::worker::millis;

impl Scheduler {
    /// Returns the workers that may still carry out orders for an earlier incarnation.
    pub(crate) fn recent_restarts(&self, now: Duration) -> Vec<RestartedWorker> {
        let mut recent = Vec::new();
        for (id, worker) in &self.workers {
            let end = worker.late_orders_end().filter(|end| now < *end);
            if let Some(end) = end.filter(|_| worker.is_stored()) {
                recent.push(RestartedWorker {
                    worker: id.clone(),
                    left_ms: millis(end.saturating_sub(now)),
                });
            }
        }
        recent
    }

    /// Returns whether the stored cell state names other restarted workers than it should.
    pub(crate) fn has_unstored_restarts(&self, now: Duration) -> bool {
        let recent = self.recent_restarts(now);
        let recent: BTreeSet<WorkerId> = recent.into_iter().map(|each| each.worker).collect();
        recent != self.stored_restarts
    }

    /// Restores the restarts that an earlier owner knew.
    pub(crate) fn inherit_restarts(&mut self, restarted: &[RestartedWorker]) {
        for each in restarted {
            if let Some(worker) = self.workers.get_mut(&each.worker) {
                let left = Duration::from_millis(each.left_ms).min(MAX_ORDER_DELAY);
                let passed = MAX_ORDER_DELAY.saturating_sub(left);
                worker.restarted_at = Some(self.taken_over_at.saturating_sub(passed));
            }
            self.stored_restarts.insert(each.worker.clone());
        }
    }
}
