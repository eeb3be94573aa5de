//! Runs that make no progress.
//!
//! Load pattern: all runs of a worker hang while it still answers polls. Progress is reported in
//! whole percent, so a sound run of hours reports no change for minutes; the time that a run may
//! stay at its percent follows from its predicted duration, from what it has shown, and from
//! earlier runs of its task.

use std::collections::BTreeSet;
use std::time::Duration;

use nutmegcart_model::WorkerId;

use crate::job::TaskKey;
use crate::live_task::LiveTask;
use crate::scheduler::Scheduler;
use crate::worker::Run;
use crate::worker::RunState;
use crate::worker::StopReason;

/// Shortest time without progress after which a run counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Same as a share of the predicted duration: twice the time of one percent of a task that takes
/// ten times as long as predicted.
const PREDICTION_SHARE: f64 = 0.2;
/// Same in relation to the longest time that the run has needed for a percent so far.
const SHOWN_FACTOR: u32 = 3;
/// Stalled runs of a task from which its estimate is doubted instead of the workers.
const DOUBT_STALLS: u32 = 2;
/// Largest number of doublings of the time for a task whose estimate is doubted.
const MAX_DOUBLINGS: u32 = 12;

/// Returns the time without progress after which a run counts as stalled, from the predicted
/// duration, the longest time that the run has needed for a percent, and the number of runs of the
/// task that have stalled on workers without other failures.
fn stall_time(predicted: Duration, percent_time: Duration, stalls: u32) -> Duration {
    let base = STALL_TIMEOUT.max(predicted.mul_f64(PREDICTION_SHARE));
    let doublings = stalls.saturating_sub(DOUBT_STALLS - 1).min(MAX_DOUBLINGS);
    (base * 2_u32.pow(doublings)).max(percent_time * SHOWN_FACTOR)
}

impl LiveTask {
    /// Returns whether the estimate is doubted, because runs have stalled on several workers.
    pub(crate) const fn is_doubted(&self) -> bool {
        self.stalls >= DOUBT_STALLS
    }
}

impl Run {
    /// Records a report in which the progress, in percent, or the checkpoint has changed.
    pub(crate) fn record_progress(&mut self, progress: u32, now: Duration) {
        let since = self.confirmed_at.unwrap_or(now).max(self.progressed_at);
        let percents = progress.abs_diff(self.progress);
        if percents > 0 {
            let time = now.saturating_sub(since) / percents;
            self.percent_time = self.percent_time.max(time);
        }
        self.progressed_at = now;
    }
}

impl Scheduler {
    /// Returns an upper bound of the time that a run which an earlier owner started has needed for
    /// each percent; zero while nothing is known.
    pub(crate) fn inherited_percent_time(
        &self,
        task: &TaskKey,
        progress: u32,
        now: Duration,
    ) -> Duration {
        let job = self.jobs.get(&task.job).filter(|_| progress > 0);
        job.map_or(Duration::ZERO, |job| {
            now.saturating_sub(job.accepted_at) / progress.max(1)
        })
    }

    /// Stops runs that make no progress, so that their tasks start again on other workers.
    ///
    /// The time without progress counts up to the latest response, so the runs of an unreachable
    /// worker are not stopped.
    pub(crate) fn stop_stalled(&mut self, now: Duration) {
        let mut stalled = Vec::new();
        for worker in self.workers.values() {
            let Some(reading) = worker
                .clock_reading
                .filter(|_| worker.unreachable_since.is_none())
            else {
                continue;
            };
            for (key, run) in &worker.runs {
                let throttled = run.speed_limit < 100 || run.best_effort;
                if run.state != RunState::Running || run.long_running || throttled {
                    continue;
                }
                let idle = reading
                    .at
                    .saturating_sub(run.progressed_at.max(run.confirmed_at.unwrap_or(now)));
                if idle > STALL_TIMEOUT && idle > self.stall_time_of(key, run) {
                    stalled.push((worker.listing.id.clone(), key.clone()));
                }
            }
        }
        let mut steps = BTreeSet::new();
        for (id, key) in &stalled {
            let first = steps.insert((&key.job, key.occurrence, key.step));
            self.stop_stalled_run(id, key, first, now);
        }
        // The others would count as stalled too until their gang has ended.
        for (_, key) in &stalled {
            self.stop_rest_of_gang(key);
        }
    }

    fn stall_time_of(&self, key: &TaskKey, run: &Run) -> Duration {
        let Some(job) = self.jobs.get(&key.job) else {
            return STALL_TIMEOUT;
        };
        let learnt = job.durations.get(usize::from(key.step)).copied();
        let declared = job.step(key).map(crate::job::Step::declared);
        let predicted = learnt.max(declared).unwrap_or_default();
        let index = usize::try_from(key.index).ok();
        let task = index.and_then(|index| job.tasks_of_step(key)?.get(index));
        let stalls = task.map_or(0, |task| task.stalls);
        stall_time(predicted, run.percent_time, stalls)
    }

    /// Stops a stalled run; `first` is false if another one of its step has been stopped before.
    fn stop_stalled_run(&mut self, id: &WorkerId, key: &TaskKey, first: bool, now: Duration) {
        let avoid = self.has_alternative(id, key).then_some(id);
        let worker = self.workers.get(id);
        // Where runs of other jobs have failed too, the worker is to blame.
        let suspect = worker.is_some_and(|each| each.failed_jobs.iter().any(|job| *job != key.job));
        let job = self.jobs.get_mut(&key.job);
        let gang = job.as_ref().is_some_and(|job| job.is_gang(key));
        let mut doubted = false;
        if let Some(job) = job {
            if gang && first {
                job.record_gang_stall(key, avoid, suspect);
            }
            if let Some(task) = job.task(key) {
                task.stalls += u32::from(!suspect && !gang);
                doubted = task.is_doubted();
                task.avoid = avoid.cloned();
            }
        }
        self.stop(id, key, StopReason::Stalled);
        if doubted {
            for worker in self.workers.values_mut() {
                worker.failed_jobs.retain(|job| *job != key.job);
            }
        } else if !gang {
            // Which member holds a gang up is not known.
            self.penalise(id, key, now);
        }
    }

    /// Returns whether other workers of the pool may run the task, or all members of its gang, when
    /// they have room.
    fn has_alternative(&self, id: &WorkerId, key: &TaskKey) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let Some(step) = job.step(key) else {
            return false;
        };
        let needed = match step.per_worker {
            most @ 1.. if step.gang => step.count.div_ceil(most),
            _ => 1,
        };
        let others = self.workers.values().filter(|worker| {
            let listing = &worker.listing;
            worker.listed && !listing.draining && listing.id != *id && listing.pool == job.pool
        });
        let suitable = others.filter(|worker| {
            let labels = &worker.listing.labels;
            let labelled = step
                .label
                .as_ref()
                .is_none_or(|label| labels.contains(label));
            labelled && step.allocation().fits(worker.listing.capacity)
        });
        suitable.count() >= needed as usize
    }

    /// Returns whether a run that was stopped as stalled counts against its worker.
    pub(crate) fn blames_worker(&mut self, key: &TaskKey) -> bool {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return true;
        };
        let gang = job.is_gang(key);
        !gang && job.task(key).is_none_or(|task| !task.is_doubted())
    }
}
