//! Lives of workers: when one is listed, lost, replaced or certainly over, and what becomes of its
//! runs.

use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::PoolName;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;

use crate::job::TaskKey;
use crate::scheduler::Scheduler;
use crate::worker::Listing;
use crate::worker::RunState;
use crate::worker::StopReason;
use crate::worker::Worker;
use crate::worker::slowest;

impl Scheduler {
    /// Notes what service discovery says about a worker.
    pub fn see_worker(&mut self, listing: Listing, now: Duration) {
        let id = listing.id.clone();
        if self
            .buried
            .get(&id)
            .is_some_and(|born| listing.born <= *born)
        {
            return;
        }
        let Some(worker) = self.workers.get_mut(&id) else {
            log_event!(
                Event::WorkerListed,
                worker = id,
                pool = listing.pool,
                born = listing.born
            );
            self.workers.insert(id, Worker::new(listing));
            return;
        };
        let replaced = listing.born != 0 && worker.born != 0 && listing.born > worker.born;
        let pool_changed = worker.listing.pool != listing.pool;
        if !worker.listed {
            log_event!(
                Event::WorkerListed,
                worker = id,
                pool = listing.pool,
                born = listing.born
            );
        }
        if listing.draining && !worker.listing.draining {
            log_event!(
                Event::WorkerLeaving,
                worker = id,
                left_ms = listing.remaining.as_millis()
            );
        }
        let born = listing.born;
        worker.listing = listing;
        worker.listed = true;
        if worker.born == 0 {
            worker.born = born;
        }
        if pool_changed {
            worker.enrolled = false;
        }
        if replaced {
            self.replace_life(&id, born, now);
        }
    }

    /// Notes that service discovery no longer lists a worker.
    pub fn lose_worker(&mut self, id: &WorkerId, now: Duration) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.listed
        {
            worker.listed = false;
            worker.missing = now;
            log_event!(Event::WorkerUnlisted, worker = id, runs = worker.runs.len());
        }
        self.buried.remove(id);
    }

    /// Notes that a machine's worker was replaced, which ends every run on it.
    pub fn end_life(&mut self, id: &WorkerId, now: Duration) {
        self.release_all(id, now);
        if let Some(worker) = self.workers.remove(id) {
            self.buried.insert(id.clone(), worker.born);
        }
    }

    /// Forgets the runs of an earlier life, except those whose order may still be carried out.
    pub(crate) fn replace_life(&mut self, id: &WorkerId, born: u64, now: Duration) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        log_event!(
            Event::WorkerReplaced,
            worker = id,
            runs = worker.runs.len(),
            born = born
        );
        worker.born = born;
        worker.fenced = false;
        worker.enrolled = false;
        worker.inherited = false;
        worker.strangers = 0;
        worker.contact = None;
        worker.lease = 0;
        worker.seen = 0;
        worker.acked = 0;
        worker.ends.clear();
        worker.streak.clear();
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
                    settled: None,
                };
            } else {
                gone.push(task.clone());
            }
        }
        // The new life does not know which late orders the earlier one was told to refuse.
        let late: Vec<(TaskKey, u32)> = worker.late_orders(now);
        for task in gone {
            self.release(id, &task, now);
        }
        for (task, run) in late {
            self.strays.insert((id.clone(), task, run));
        }
    }

    /// Ends all runs on a worker.
    pub(crate) fn release_all(&mut self, id: &WorkerId, now: Duration) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let tasks: Vec<TaskKey> = worker.runs.keys().cloned().collect();
        for task in tasks {
            self.release(id, &task, now);
        }
    }

    /// Notes that a run has certainly ended without finishing; its task may run elsewhere.
    pub(crate) fn release(&mut self, id: &WorkerId, key: &TaskKey, now: Duration) {
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
            task.live = task.live.saturating_sub(1);
            task.waiting = now;
            if run.saved.is_some() {
                task.saved = run.saved;
            }
        }
        self.drop_if_over(&key.job);
    }

    /// Returns whether tasks of an inherited job may still run where this owner cannot look.
    pub(crate) fn unsettled(&self, pool: &PoolName) -> bool {
        let unsettled =
            |worker: &Worker| worker.inherited && !worker.fenced && worker.listing.pool == *pool;
        self.workers.values().any(unsettled)
    }

    /// Ends the runs of workers whose leases have run out in silence.
    ///
    /// Only a certain owner may conclude this: once another may exist, that one may reach the
    /// worker and renew the lease, and the runs go on.
    pub(crate) fn bury_workers(&mut self, now: Duration) {
        if now >= self.machines.until {
            return;
        }
        let inherited = self.taken + self.settings.authority + slowest(self.settings.hold);
        let mut dead = Vec::new();
        for (id, worker) in &self.workers {
            let silent = worker.failing.is_some() || !worker.listed;
            let over = match worker.dead_at() {
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
                log_event!(Event::WorkerBuried, worker = id, runs = worker.runs.len());
            }
            self.release_all(&id, now);
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
