//! Incarnations of workers: how they are listed, unlisted, replaced and expired, and the effect on
//! their runs.

use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;

use crate::action::Action;
use crate::gang::Origin;
use crate::job::TaskKey;
use crate::listing::WorkerListing;
use crate::live_job::LiveJob;
use crate::scheduler::Scheduler;
use crate::worker::KILL_TIME;
use crate::worker::RunState;
use crate::worker::StopReason;
use crate::worker::Worker;
use crate::worker::max_elapsed;

/// Time for which a worker without runs must have been silent before the stored cell state drops it.
/// It gets no tasks until the state that names it again is stored.
const IDLE_SILENCE: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Updates a worker from its entry in service discovery. An entry beyond the limits of its fields
    /// lists no worker.
    pub fn worker_listed(&mut self, listing: WorkerListing, now: Duration) {
        let id = listing.id.clone();
        if let Err(reason) = listing.check() {
            log_event!(Event::WorkerInvalid, key = id, reason = reason);
            self.worker_unlisted(&id, now);
            return;
        }
        if self
            .ended_incarnations
            .get(&id)
            .is_some_and(|ended| listing.incarnation <= *ended)
        {
            return;
        }
        self.record_machine_of(&listing);
        let Some(worker) = self.workers.get_mut(&id) else {
            log_event!(
                Event::WorkerListed,
                worker = id,
                pool = listing.pool,
                born = listing.incarnation
            );
            let mut worker = Worker::new(listing);
            worker.known_at = now;
            self.workers.insert(id, worker);
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
        let incarnation = listing.incarnation;
        worker.listing = listing;
        worker.listed = true;
        if worker.incarnation == 0 {
            worker.incarnation = incarnation;
        }
        if pool_changed {
            worker.enrolled = false;
        }
        if replaced {
            self.replace_incarnation(&id, incarnation, now);
        }
    }

    /// Records that service discovery no longer lists a worker.
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

    /// Logs that an incarnation was replaced, before it is removed.
    pub(crate) fn log_replaced(&self, id: &WorkerId, reason: &str, now: Duration) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        log_event!(
            Event::WorkerReplaced,
            worker = id,
            runs = worker.runs.len(),
            blocked_ms = worker.blocked_ms(self.taken_over_at, now),
            reason = reason
        );
    }

    /// Removes an incarnation that was replaced on its machine, which ended all its runs.
    pub fn end_incarnation(&mut self, id: &WorkerId, now: Duration) {
        self.release_all_runs(id, now);
        if let Some(worker) = self.workers.remove(id) {
            self.flush_queue.outdated |= worker.enrolled;
            self.ended_incarnations
                .insert(id.clone(), worker.incarnation);
        }
    }

    /// Resets a worker to a new incarnation, and releases the runs that ended with the earlier one:
    /// those that it listed in a report.
    ///
    /// All others may live on the new incarnation, which accepts orders before this owner learns of
    /// it. Its first report tells. Runs whose start order has no response are stopped.
    pub(crate) fn replace_incarnation(&mut self, id: &WorkerId, incarnation: u64, now: Duration) {
        self.withdraw_held_starts(id, now);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        self.flush_queue.outdated |= worker.enrolled;
        worker.incarnation = incarnation;
        worker.known_at = now;
        worker.restarted_at = Some(now);
        worker.fenced = false;
        worker.enrolled = false;
        worker.unknown_runs = 0;
        worker.unknown_tasks.clear();
        worker.clock_reading = None;
        worker.heard_at = None;
        worker.lease_end = 0;
        worker.last_end = 0;
        worker.acked_end = 0;
        worker.pending_ends.clear();
        worker.failed_jobs.clear();
        let mut ended = Vec::new();
        for (task, run) in &mut worker.runs {
            let reason = match run.state {
                RunState::Ordered => Some(StopReason::Unanswered),
                RunState::Stopping { reason, .. } => Some(reason),
                RunState::Running => None,
            };
            if run.reported && reason != Some(StopReason::Unanswered) {
                ended.push(task.clone());
            } else if let Some(reason) = reason {
                run.state = RunState::Stopping {
                    reason,
                    sent: false,
                    confirmed_at: None,
                };
            }
        }
        let uncertain = worker.runs.len() - ended.len();
        log_event!(
            Event::WorkerReplaced,
            worker = id,
            runs = worker.runs.len(),
            uncertain = uncertain,
            born = incarnation,
            blocked_ms = worker.blocked_ms(self.taken_over_at, now),
            reason = "another incarnation"
        );
        if uncertain > 0 {
            // The poll that waits may be held on a connection of the earlier incarnation.
            self.actions.push(Action::Poll { worker: id.clone() });
        }
        // The new incarnation does not know which delayed starts the earlier one was ordered to
        // refuse.
        let unanswered: Vec<(TaskKey, u32)> = worker.unanswered_starts(now);
        for task in ended {
            self.release_run(id, &task, now);
        }
        for (task, run) in unanswered {
            self.orphan_runs.insert((id.clone(), task, run));
        }
    }

    /// Releases all runs on a worker.
    pub(crate) fn release_all_runs(&mut self, id: &WorkerId, now: Duration) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let tasks: Vec<TaskKey> = worker.runs.keys().cloned().collect();
        for task in tasks {
            self.release_run(id, &task, now);
        }
    }

    /// Returns the runs of a silent worker that have ended with its leases. A start that got no answer
    /// may have been taken by an incarnation that is not known.
    fn ended_runs(&self, worker: &Worker, now: Duration) -> Vec<TaskKey> {
        let max_lease = self.settings.max_lease;
        let ended = worker.runs.iter().filter(|(_, run)| {
            let until = run.unanswered_until(max_lease);
            until.is_none_or(|until| now >= until)
        });
        ended.map(|(task, _)| task.clone()).collect()
    }

    /// Removes a run that has certainly ended, so that an unfinished task can start again.
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
        }
        // A gang has had the checkpoint since it was reported, with its origin.
        if !job.is_gang(key) {
            let origin = Origin::live(run.number, run.progress, now);
            job.record_checkpoint(key, run.checkpoint.as_ref(), origin);
        }
        job.compact(key);
        self.forget_if_ended(&key.job);
    }

    /// Returns the workers that have not answered this owner, and on which an earlier owner may have
    /// started tasks of the job.
    ///
    /// Tasks of a job whose queue was moved to another pool may run in any pool that it had.
    pub(crate) fn unreached_workers(&self, job: &LiveJob) -> impl Iterator<Item = &Worker> {
        let candidates = self
            .workers
            .values()
            .filter(move |worker| job.moved || worker.listing.pool == job.pool);
        candidates.filter(|worker| worker.is_unreached())
    }

    /// Returns when the leases that an earlier owner may have granted on a worker have certainly
    /// expired.
    pub(crate) fn inherited_runs_end(&self, worker: &Worker) -> Duration {
        let longest = self.taken_over_at + self.settings.owner_validity;
        // A worker that has only not been asked yet may report finished tasks, so the wait does not
        // begin before the take-over.
        let granted_until = self
            .earlier_end
            .map_or(longest, |end| end.max(self.taken_over_at));
        granted_until + max_elapsed(worker.longest_lease(self.settings)) + KILL_TIME
    }

    /// Returns when every run on a worker has certainly ended if it is not reached any more; none if
    /// nothing is known of leases there.
    pub(crate) fn leases_end(&self, worker: &Worker) -> Option<Duration> {
        let inherited = worker
            .inherited
            .then(|| self.inherited_runs_end(worker))
            .filter(|_| worker.clock_reading.is_none());
        let late = worker.late_leases_end(self.settings.max_lease);
        worker.runs_end().or(inherited).max(late)
    }

    /// Releases the runs of unreachable workers whose leases have expired.
    ///
    /// Only an owner that is certainly the only one may do so. Another owner could reach the worker
    /// and renew the lease, and the runs would continue.
    pub(crate) fn expire_workers(&mut self, now: Duration) {
        if !self.is_exclusive(now) {
            return;
        }
        let mut expired = Vec::new();
        for (id, worker) in &self.workers {
            let unreachable = worker.unreachable_since.is_some() || !worker.listed;
            let lease_over = match self.leases_end(worker) {
                Some(end) => now >= end,
                None => worker.runs.is_empty() && !worker.listed,
            };
            if unreachable
                && lease_over
                && !(worker.runs.is_empty() && worker.listed && !worker.inherited)
            {
                expired.push((id.clone(), worker.listed));
            }
        }
        for (id, listed) in expired {
            let Some(worker) = self.workers.get(&id) else {
                continue;
            };
            let ended = self.ended_runs(worker, now);
            let all = ended.len() == worker.runs.len();
            if !ended.is_empty() || (all && worker.is_unreached()) {
                log_event!(
                    Event::WorkerLeasesExpired,
                    worker = id,
                    runs = ended.len(),
                    blocked_ms = worker.blocked_ms(self.taken_over_at, now),
                    born = worker.incarnation,
                    restarted = worker.restarted_at.is_some(),
                    clock_age_ms = worker.clock_age(now)
                );
            }
            for task in ended {
                self.release_run(&id, &task, now);
            }
            if !all {
                continue;
            }
            if listed {
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.inherited = false;
                }
            } else if let Some(worker) = self.workers.remove(&id) {
                self.flush_queue.outdated |= worker.enrolled;
            }
        }
    }

    /// Removes silent workers on which nothing runs from the stored cell state, so that a successor
    /// does not wait for them.
    pub(crate) fn unenrol_idle_workers(&mut self, now: Duration) {
        for worker in self.workers.values_mut() {
            let idle = !worker.may_have_runs() && worker.unanswered_starts(now).is_empty();
            let silent = worker
                .unreachable_since
                .is_some_and(|since| now >= since + IDLE_SILENCE);
            if worker.enrolled && silent && idle {
                worker.enrolled = false;
                self.flush_queue.outdated = true;
            }
        }
    }
}
