//! Lives of workers: when one is listed, lost, replaced or certainly over, and what becomes of its
//! runs.

use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::PoolName;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;

use crate::job::TaskKey;
use crate::scheduler::Scheduler;
use crate::worker::RunState;
use crate::worker::StopReason;
use crate::worker::Worker;
use crate::worker::WorkerListing;
use crate::worker::max_elapsed;

impl Scheduler {
    /// Notes what service discovery says about a worker.
    pub fn worker_listed(&mut self, listing: WorkerListing, now: Duration) {
        let id = listing.id.clone();
        if self
            .ended_incarnations
            .get(&id)
            .is_some_and(|born| listing.incarnation <= *born)
        {
            return;
        }
        let Some(worker) = self.workers.get_mut(&id) else {
            log_event!(
                Event::WorkerListed,
                worker = id,
                pool = listing.pool,
                born = listing.incarnation
            );
            self.workers.insert(id, Worker::new(listing));
            return;
        };
        let replaced = listing.incarnation != 0
            && worker.incarnation != 0
            && listing.incarnation > worker.incarnation;
        let pool_changed = worker.listing.pool != listing.pool;
        if !worker.listed {
            log_event!(
                Event::WorkerListed,
                worker = id,
                pool = listing.pool,
                born = listing.incarnation
            );
        }
        if listing.draining && !worker.listing.draining {
            log_event!(
                Event::WorkerLeaving,
                worker = id,
                left_ms = listing.remaining.as_millis()
            );
        }
        let born = listing.incarnation;
        worker.listing = listing;
        worker.listed = true;
        if worker.incarnation == 0 {
            worker.incarnation = born;
        }
        if pool_changed {
            worker.enrolled = false;
        }
        if replaced {
            self.replace_incarnation(&id, born, now);
        }
    }

    /// Notes that service discovery no longer lists a worker.
    pub fn worker_unlisted(&mut self, id: &WorkerId, now: Duration) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.listed
        {
            worker.listed = false;
            worker.unlisted_at = now;
            log_event!(Event::WorkerUnlisted, worker = id, runs = worker.runs.len());
        }
        self.ended_incarnations.remove(id);
    }

    /// Notes that a machine's worker was replaced, which ends every run on it.
    pub fn end_incarnation(&mut self, id: &WorkerId, now: Duration) {
        self.release_all_runs(id, now);
        if let Some(worker) = self.workers.remove(id) {
            self.ended_incarnations
                .insert(id.clone(), worker.incarnation);
        }
    }

    /// Forgets the runs of an earlier life, except those whose order may still be carried out.
    pub(crate) fn replace_incarnation(&mut self, id: &WorkerId, born: u64, now: Duration) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        log_event!(
            Event::WorkerReplaced,
            worker = id,
            runs = worker.runs.len(),
            born = born
        );
        worker.incarnation = born;
        worker.fenced = false;
        worker.enrolled = false;
        worker.inherited = false;
        worker.unknown_runs = 0;
        worker.contact = None;
        worker.lease_end = 0;
        worker.last_end = 0;
        worker.acked_end = 0;
        worker.pending_ends.clear();
        worker.failed_jobs.clear();
        let mut gone = Vec::new();
        for (task, run) in &mut worker.runs {
            let unsettled = match run.state {
                RunState::Ordered => true,
                RunState::Stopping { reason, .. } => reason == StopReason::Unanswered,
                RunState::Running => false,
            };
            if unsettled {
                run.state = RunState::Stopping {
                    reason: StopReason::Unanswered,
                    sent: false,
                    confirmed_at: None,
                };
            } else {
                gone.push(task.clone());
            }
        }
        // The new life does not know which late orders the earlier one was told to refuse.
        let late: Vec<(TaskKey, u32)> = worker.unanswered_starts(now);
        for task in gone {
            self.release_run(id, &task, now);
        }
        for (task, run) in late {
            self.orphan_runs.insert((id.clone(), task, run));
        }
    }

    /// Ends all runs on a worker.
    pub(crate) fn release_all_runs(&mut self, id: &WorkerId, now: Duration) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let tasks: Vec<TaskKey> = worker.runs.keys().cloned().collect();
        for task in tasks {
            self.release_run(id, &task, now);
        }
    }

    /// Notes that a run has certainly ended without finishing; its task may run elsewhere.
    pub(crate) fn release_run(&mut self, id: &WorkerId, key: &TaskKey, now: Duration) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(run) = worker.runs.remove(key) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if let Some(task) = job.task(key) {
            task.live_runs = task.live_runs.saturating_sub(1);
            task.waiting_since = now;
            if run.checkpoint.is_some() {
                task.checkpoint = run.checkpoint;
            }
        }
        self.forget_if_ended(&key.job);
    }

    /// Returns whether tasks of an inherited job may still run where this owner cannot look.
    pub(crate) fn has_unreached_workers(&self, pool: &PoolName) -> bool {
        let unsettled =
            |worker: &Worker| worker.inherited && !worker.fenced && worker.listing.pool == *pool;
        self.workers.values().any(unsettled)
    }

    /// Ends the runs of workers whose leases have run out in silence.
    ///
    /// Only a certain owner may conclude this: once another may exist, that one may reach the
    /// worker and renew the lease, and the runs go on.
    pub(crate) fn expire_workers(&mut self, now: Duration) {
        if now >= self.machines.exclusive_until {
            return;
        }
        let inherited =
            self.taken_over_at + self.settings.owner_validity + max_elapsed(self.settings.lease);
        let mut dead = Vec::new();
        for (id, worker) in &self.workers {
            let silent = worker.unreachable_since.is_some() || !worker.listed;
            let over = match worker.runs_end() {
                Some(end) => now >= end,
                None if worker.inherited => now >= inherited,
                None => worker.runs.is_empty() && !worker.listed,
            };
            if silent && over && !(worker.runs.is_empty() && worker.listed && !worker.inherited) {
                dead.push((id.clone(), worker.listed));
            }
        }
        for (id, listed) in dead {
            if let Some(worker) = self.workers.get(&id)
                && !worker.runs.is_empty()
            {
                log_event!(
                    Event::WorkerLeasesExpired,
                    worker = id,
                    runs = worker.runs.len()
                );
            }
            self.release_all_runs(&id, now);
            if listed {
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.inherited = false;
                }
            } else {
                self.workers.remove(&id);
            }
        }
    }
}
