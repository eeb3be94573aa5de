//! Applies reports, answers of workers and expired leases to the scheduler's state.

use std::time::Duration;

use nutmegcart_model::WorkerId;

use crate::job_scheduling_state::OrphanedAttempt;
use crate::quarantine::JOB_FAULT_WORKERS;
use crate::resources::Resources;
use crate::task::AttemptId;
use crate::task::TaskPhase;
use crate::task_scheduler::TaskScheduler;
use crate::worker::AttemptState;
use crate::worker::ReceivedReport;

/// Longest delay before a failed task is tried again.
const MAX_BACKOFF: Duration = Duration::from_mins(1);
/// Time in which a task grows to its usual size. Learning from earlier usage would pack workers too
/// densely, and they would run out of memory.
const WARM_UP: Duration = Duration::from_secs(30);

impl TaskScheduler {
    /// Applies a report of a worker; reports of earlier boots are ignored.
    pub fn apply_report(&mut self, now: Duration, report: &ReceivedReport) {
        let Some(&slot) = self.slots.get(&report.worker) else {
            return;
        };
        let tracked = &mut self.workers[slot];
        if report.boot < tracked.boot {
            return;
        }
        let newer = tracked
            .last_report
            .is_none_or(|reported_at| reported_at < report.at);
        if newer {
            tracked.last_report = Some(report.at);
            tracked.usage.clear();
            let running = report.attempts.iter();
            tracked.usage.extend(
                running
                    .filter(|entry| entry.outcome == AttemptState::Running)
                    .map(|entry| (entry.attempt.number, entry.usage)),
            );
        }
        // Outcomes are applied before the reboot, since the report may contain attempts that ended
        // before it.
        for entry in &report.attempts {
            if newer && entry.outcome == AttemptState::Running {
                self.learn(now, &entry.attempt, entry.usage);
            }
            self.record_outcome(now, &report.worker, &entry.attempt, entry.outcome);
        }
        if report.boot > self.workers[slot].boot {
            self.workers[slot].boot = report.boot;
            self.end_earlier_boots(&report.worker, report.boot);
        }
    }

    /// Applies the outcome of an attempt from a report or from the answer to a call.
    pub fn record_outcome(
        &mut self,
        now: Duration,
        worker: &WorkerId,
        attempt: &AttemptId,
        outcome: AttemptState,
    ) {
        let job = self.state.jobs.get_mut(&attempt.job);
        let known = job.and_then(|job| {
            job.tasks
                .get_mut(&attempt.index)
                .filter(|task| task.attempt == attempt.number && task.is_live())
        });
        let Some(task) = known else {
            self.record_stale_outcome(worker, attempt, outcome);
            return;
        };
        if outcome == AttemptState::Running {
            if task.phase == TaskPhase::Starting {
                task.phase = TaskPhase::Running;
                task.phase_start = now;
                self.needs_write = true;
            }
            return;
        }
        self.to_forget.push((worker.clone(), attempt.clone()));
        self.end_attempt(now, worker, attempt, outcome);
    }

    /// Learns from usage; that of a recently started task counts only if it exceeds the
    /// reservation.
    fn learn(&mut self, now: Duration, attempt: &AttemptId, usage: Resources) {
        if let Some(job) = self.state.jobs.get_mut(&attempt.job)
            && let Some(task) = job.tasks.get(&attempt.index)
            && task.attempt == attempt.number
            && task.cpu_limit.is_none()
            && usage.cpu > 0
            && (task.phase_start + WARM_UP <= now || !usage.fits(job.size()))
        {
            job.estimate.observe(usage);
        }
    }

    /// Applies the outcome of an attempt that is not the live attempt of its task.
    fn record_stale_outcome(
        &mut self,
        worker: &WorkerId,
        attempt: &AttemptId,
        outcome: AttemptState,
    ) {
        let entry = (worker.clone(), attempt.clone());
        if outcome == AttemptState::Running {
            self.to_stop.push(entry);
            return;
        }
        if let Some(job) = self.state.jobs.get_mut(&attempt.job) {
            let before = job.orphans.len();
            job.orphans
                .retain(|orphan| orphan.attempt != attempt.number);
            self.needs_write |= job.orphans.len() != before;
        }
        self.to_forget.push(entry);
    }

    /// Ends the live attempt of a task with an outcome.
    fn end_attempt(
        &mut self,
        now: Duration,
        worker: &WorkerId,
        attempt: &AttemptId,
        outcome: AttemptState,
    ) {
        self.needs_write = true;
        let Some(job) = self.state.jobs.get_mut(&attempt.job) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(&attempt.index) else {
            return;
        };
        task.phase = TaskPhase::Waiting;
        task.worker = None;
        task.cpu_limit = None;
        task.last_call = None;
        task.has_run |= outcome != AttemptState::NotRun;
        task.outcome_unknown |= outcome == AttemptState::Lost;
        match outcome {
            AttemptState::Done => {
                job.tasks.remove(&attempt.index);
                job.done.insert(attempt.index);
                self.state.failures.record_success(&attempt.job, worker);
                return;
            }
            AttemptState::Failed => {
                if !task.failed_workers.contains(worker) {
                    task.failed_workers.push(worker.clone());
                }
                let tries = u32::try_from(task.failed_workers.len()).unwrap_or(6).min(6);
                let delay = Duration::from_secs(1) * (1 << tries);
                task.not_before = now + delay.min(MAX_BACKOFF);
                let failures = &self.state.failures;
                let healthy = task
                    .failed_workers
                    .iter()
                    .filter(|id| failures.is_healthy(&attempt.job, id));
                if healthy.count() >= JOB_FAULT_WORKERS {
                    job.tasks.remove(&attempt.index);
                    job.failed.insert(attempt.index);
                }
                self.state.failures.record_failure(&attempt.job, worker);
            }
            AttemptState::Checkpointed => task.checkpoint = Some(attempt.number),
            AttemptState::Running | AttemptState::Stopped | AttemptState::Lost => {}
            AttemptState::NotRun => task.not_before = now + self.settings.start_retry,
        }
        job.close_unwanted(attempt.index);
    }

    /// Ends every attempt that started before the worker's last reboot, with an unknown outcome.
    fn end_earlier_boots(&mut self, worker: &WorkerId, boot: u64) {
        for job in self.state.jobs.values_mut() {
            let tasks = job.tasks.iter_mut();
            let stopped: Vec<u32> = tasks
                .filter(|(_, task)| {
                    task.is_live() && task.worker.as_ref() == Some(worker) && task.boot < boot
                })
                .map(|(index, task)| {
                    task.mark_lost();
                    *index
                })
                .collect();
            self.needs_write |= !stopped.is_empty();
            for index in stopped {
                job.close_unwanted(index);
            }
        }
    }

    /// Ends attempts whose lease has expired by every clock, and gives up idempotent ones on silent
    /// workers.
    pub(crate) fn expire(&mut self, now: Duration) {
        let error = self.settings.clock_error;
        let first_round = self.first_round.unwrap_or(now);
        for job in self.state.jobs.values_mut() {
            let before = job.orphans.len();
            job.orphans.retain(|orphan| now <= orphan.lease_end + error);
            self.needs_write |= job.orphans.len() != before;
            let idempotent = job.spec.as_ref().is_some_and(|spec| spec.idempotent);
            let mut lost = Vec::new();
            for (index, task) in job.tasks.iter_mut().filter(|(_, task)| task.is_live()) {
                let slot = task.worker.as_ref().and_then(|id| self.slots.get(id));
                let last_report = slot.and_then(|&slot| self.workers[slot].last_report);
                let silent = last_report.unwrap_or(first_round) + self.settings.silence_limit < now;
                if now > task.lease_end + error {
                    lost.push((*index, None));
                } else if idempotent
                    && silent
                    && now > task.phase_start + self.settings.silence_limit
                {
                    lost.push((*index, Some((task.attempt, task.lease_end))));
                }
            }
            self.needs_write |= !lost.is_empty();
            for (index, orphan) in lost {
                if let Some((attempt, lease_end)) = orphan {
                    job.orphans.push(OrphanedAttempt { attempt, lease_end });
                }
                if let Some(task) = job.tasks.get_mut(&index) {
                    task.mark_lost();
                }
                job.close_unwanted(index);
            }
        }
    }
}
