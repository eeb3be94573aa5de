//! What reports, answers and the passing of time change in the scheduler's state.

use std::time::Duration;

use nutmegcart_model::WorkerId;

use crate::job_state::OrphanedAttempt;
use crate::quarantine::BAD_JOB;
use crate::resources::Resources;
use crate::task::AttemptId;
use crate::task::TaskPhase;
use crate::task_scheduler::TaskScheduler;
use crate::worker::AttemptState;
use crate::worker::ReceivedReport;

/// Longest delay before a failed task is tried again.
const MAX_BACKOFF: Duration = Duration::from_mins(1);
/// Time in which a task grows to its usual size; learning from it earlier packs workers too
/// densely, and they run out of memory.
const WARM_UP: Duration = Duration::from_secs(30);

impl TaskScheduler {
    /// Takes in a report of a worker.
    pub fn apply_report(&mut self, now: Duration, report: &ReceivedReport) {
        let Some(&place) = self.places.get(&report.worker) else {
            return;
        };
        let station = &mut self.stations[place];
        if report.boot < station.boot {
            return;
        }
        let newer = station.heard.is_none_or(|heard| heard < report.at);
        if newer {
            station.heard = Some(report.at);
            station.usage.clear();
            let running = report.attempts.iter();
            station.usage.extend(
                running
                    .filter(|line| line.outcome == AttemptState::Running)
                    .map(|line| (line.attempt.number, line.usage)),
            );
        }
        // The outcomes of the report come first: an attempt that ended before the reboot is known.
        for line in &report.attempts {
            if newer && line.outcome == AttemptState::Running {
                self.learn(now, &line.attempt, line.usage);
            }
            self.record_outcome(now, &report.worker, &line.attempt, line.outcome);
        }
        if report.boot > self.stations[place].boot {
            self.stations[place].boot = report.boot;
            self.end_earlier_boots(&report.worker, report.boot);
        }
    }

    /// Takes in what a worker said of an attempt, in a report or in the answer to a call.
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
            self.settle_unknown(worker, attempt, outcome);
            return;
        };
        if outcome == AttemptState::Running {
            if task.phase == TaskPhase::Starting {
                task.phase = TaskPhase::Running;
                task.since = now;
                self.dirty = true;
            }
            return;
        }
        self.ended.push((worker.clone(), attempt.clone()));
        self.end(now, worker, attempt, outcome);
    }

    /// Learns from usage; that of a young task counts only if it exceeds what is reserved.
    fn learn(&mut self, now: Duration, attempt: &AttemptId, usage: Resources) {
        if let Some(job) = self.state.jobs.get_mut(&attempt.job)
            && let Some(task) = job.tasks.get(&attempt.index)
            && task.attempt == attempt.number
            && task.limit.is_none()
            && usage.cpu > 0
            && (task.since + WARM_UP <= now || !usage.fits(job.size()))
        {
            job.estimate.observe(usage);
        }
    }

    fn settle_unknown(&mut self, worker: &WorkerId, attempt: &AttemptId, outcome: AttemptState) {
        let entry = (worker.clone(), attempt.clone());
        if outcome == AttemptState::Running {
            self.foreign.push(entry);
            return;
        }
        if let Some(job) = self.state.jobs.get_mut(&attempt.job) {
            let before = job.orphans.len();
            job.orphans.retain(|stray| stray.attempt != attempt.number);
            self.dirty |= job.orphans.len() != before;
        }
        self.ended.push(entry);
    }

    fn end(
        &mut self,
        now: Duration,
        worker: &WorkerId,
        attempt: &AttemptId,
        outcome: AttemptState,
    ) {
        self.dirty = true;
        let Some(job) = self.state.jobs.get_mut(&attempt.job) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(&attempt.index) else {
            return;
        };
        task.phase = TaskPhase::Waiting;
        task.worker = None;
        task.limit = None;
        task.sent = None;
        task.ran |= outcome != AttemptState::NotRun;
        task.unknown |= outcome == AttemptState::Lost;
        match outcome {
            AttemptState::Done => {
                job.tasks.remove(&attempt.index);
                job.done.insert(attempt.index);
                self.state.blame.succeeded(&attempt.job, worker);
                return;
            }
            AttemptState::Failed => {
                if !task.failed.contains(worker) {
                    task.failed.push(worker.clone());
                }
                let tries = u32::try_from(task.failed.len()).unwrap_or(6).min(6);
                let delay = Duration::from_secs(1) * (1 << tries);
                task.not_before = now + delay.min(MAX_BACKOFF);
                let blame = &self.state.blame;
                let healthy = task
                    .failed
                    .iter()
                    .filter(|id| blame.is_healthy(&attempt.job, id));
                if healthy.count() >= BAD_JOB {
                    job.tasks.remove(&attempt.index);
                    job.failed.insert(attempt.index);
                }
                self.state.blame.failed(&attempt.job, worker);
            }
            AttemptState::Checkpointed => task.saved = Some(attempt.number),
            AttemptState::Running | AttemptState::Stopped | AttemptState::Lost => {}
            AttemptState::NotRun => task.not_before = now + self.settings.repeat,
        }
        job.close(attempt.index);
    }

    /// Ends every attempt that started under an earlier boot of the worker.
    fn end_earlier_boots(&mut self, worker: &WorkerId, boot: u64) {
        for job in self.state.jobs.values_mut() {
            let tasks = job.tasks.iter_mut();
            let stopped: Vec<u32> = tasks
                .filter(|(_, task)| {
                    task.is_live() && task.worker.as_ref() == Some(worker) && task.boot < boot
                })
                .map(|(index, task)| {
                    task.lose();
                    *index
                })
                .collect();
            self.dirty |= !stopped.is_empty();
            for index in stopped {
                job.close(index);
            }
        }
    }

    /// Ends attempts whose lease is over everywhere, and gives up idempotent ones on silent
    /// workers.
    pub(crate) fn expire(&mut self, now: Duration) {
        let error = self.settings.clock_error;
        let began = self.began.unwrap_or(now);
        for job in self.state.jobs.values_mut() {
            let before = job.orphans.len();
            job.orphans.retain(|stray| now <= stray.until + error);
            self.dirty |= job.orphans.len() != before;
            let idempotent = job.spec.as_ref().is_some_and(|spec| spec.idempotent);
            let mut lost = Vec::new();
            for (index, task) in job.tasks.iter_mut().filter(|(_, task)| task.is_live()) {
                let place = task.worker.as_ref().and_then(|id| self.places.get(id));
                let heard = place.and_then(|&place| self.stations[place].heard);
                let silent = heard.unwrap_or(began) + self.settings.silent < now;
                if now > task.until + error {
                    lost.push((*index, None));
                } else if idempotent && silent && now > task.since + self.settings.silent {
                    lost.push((*index, Some((task.attempt, task.until))));
                }
            }
            self.dirty |= !lost.is_empty();
            for (index, stray) in lost {
                if let Some((attempt, until)) = stray {
                    job.orphans.push(OrphanedAttempt { attempt, until });
                }
                if let Some(task) = job.tasks.get_mut(&index) {
                    task.lose();
                }
                job.close(index);
            }
        }
    }
}
