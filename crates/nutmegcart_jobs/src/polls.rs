//! Polls of workers: what they ask for, and what follows when they fail.

use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;

use crate::scheduler::Scheduler;
use crate::worker::Worker;
use crate::worker::millis;

/// Longest wait of a poll while no run ends.
const POLL_WAIT: Duration = Duration::from_secs(1);
/// Longest wait of a poll of workers on which serving and best-effort tasks share the processor.
const SHARED_POLL_WAIT: Duration = Duration::from_millis(400);

/// A poll: it renews the lease of a worker's runs, acknowledges ends and requests a report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PollRequest {
    /// New lease end on the worker's clock in milliseconds; none while its clock is not known.
    pub lease_end: Option<u64>,
    /// Highest sequence number of an end that is acknowledged.
    pub acked_end: u64,
    /// Longest time to wait for a run to end before responding.
    pub max_wait: Duration,
}

impl Scheduler {
    /// Returns a poll that the worker answers at once.
    pub fn immediate_poll(&mut self, id: &WorkerId, now: Duration) -> Option<PollRequest> {
        let poll = self.next_poll(id, now)?;
        Some(PollRequest {
            max_wait: Duration::ZERO,
            ..poll
        })
    }

    /// Returns the next poll of a worker.
    ///
    /// The lease of an unreachable worker is not renewed, so that the time at which its runs have
    /// certainly ended does not move. A worker that may have started again since its clock was read
    /// is asked for its incarnation first.
    pub fn next_poll(&mut self, id: &WorkerId, now: Duration) -> Option<PollRequest> {
        let lease = self.settings.lease;
        let worker = self.workers.get_mut(id)?;
        let fresh = worker.is_clock_fresh(now);
        let renew = worker.unreachable_since.is_none() && worker.fenced && fresh;
        let lease_end = worker
            .clock(now)
            .filter(|_| renew)
            .map(|clock| clock + millis(lease));
        if let Some(lease_end) = lease_end {
            worker.extend_lease(lease_end);
        }
        let max_wait = if !renew {
            Duration::ZERO
        } else if worker.shares_processor() {
            SHARED_POLL_WAIT
        } else {
            POLL_WAIT
        };
        Some(PollRequest {
            lease_end,
            // A later incarnation numbers its ends anew.
            acked_end: if fresh { worker.acked_end } else { 0 },
            max_wait,
        })
    }

    /// Records that a poll failed, and marks the worker as unreachable.
    pub fn poll_failed(&mut self, id: &WorkerId, reason: &str, now: Duration) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.unreachable_since.is_none()
        {
            worker.unreachable_since = Some(now);
            log_event!(
                Event::WorkerSilent,
                worker = id,
                runs = worker.runs.len(),
                reason = reason
            );
        }
        self.withdraw_held_starts(id, now);
    }
}

impl Worker {
    /// Returns whether serving and best-effort tasks share the processor.
    fn shares_processor(&self) -> bool {
        self.runs.values().any(|run| run.serving) && self.runs.values().any(|run| run.best_effort)
    }
}
