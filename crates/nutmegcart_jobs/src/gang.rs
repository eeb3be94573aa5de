//! Gangs: tasks of a step that work only together.
//!
//! The checkpoint of any member is valid for the whole gang, and the members begin only if all of
//! them have the same. So a gang has one checkpoint, which each of its tasks carries: starts and the
//! stored state take it from there.

use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;

use crate::failed_runs::FailedRuns;
use crate::job::TaskKey;
use crate::live_job::LiveJob;
use crate::record::TaskProgress;
use crate::reports::ReportedEnd;
use crate::reports::ReportedRun;
use crate::reports::RunEnd;
use crate::scheduler::Scheduler;
use crate::worker::StopReason;

/// Longest part of a checkpoint that a log line contains, in characters.
const LOGGED_CHECKPOINT: usize = 32;

/// Where a checkpoint comes from; the greater, the more work it contains, as far as can be known.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Origin {
    /// Whether a worker reported it to this owner; a stored one may be of any run before.
    reported: bool,
    /// Number of its run.
    run: u32,
    /// Whether it was written when the run was stopped.
    stopped: bool,
    /// Progress of the run when it was first reported, in percent.
    progress: u32,
    /// When it was first reported.
    seen_at: Duration,
}

impl Origin {
    /// Returns the origin of a checkpoint that a live run reports.
    pub(crate) const fn live(run: u32, progress: u32, seen_at: Duration) -> Self {
        Self {
            reported: true,
            run,
            stopped: false,
            progress,
            seen_at,
        }
    }

    /// Returns the origin of a checkpoint with which a run ended; `progress` is the latest that the
    /// run reported.
    pub(crate) fn ended(end: &ReportedEnd, progress: u32, seen_at: Duration) -> Self {
        Self {
            stopped: end.how == RunEnd::Stopped,
            ..Self::live(end.run, progress, seen_at)
        }
    }

    fn stored(progress: &TaskProgress) -> Self {
        Self {
            run: progress.run,
            ..Self::default()
        }
    }
}

impl LiveJob {
    /// Records the checkpoint of a task; that of a gang's member becomes the checkpoint of all
    /// members, unless they have one that contains more work.
    pub(crate) fn record_checkpoint(
        &mut self,
        key: &TaskKey,
        checkpoint: Option<&Arc<str>>,
        origin: Origin,
    ) {
        let Some(checkpoint) = checkpoint else {
            return;
        };
        if !self.is_gang(key) {
            if let Some(task) = self.task(key) {
                task.checkpoint = Some(checkpoint.clone());
            }
            return;
        }
        let Some(state) = self.step_state(key) else {
            return;
        };
        if state.checkpoint_origin.is_some_and(|known| origin <= known) {
            return;
        }
        state.checkpoint_origin = Some(origin);
        state
            .tasks
            .update_all(|task| task.checkpoint = Some(checkpoint.clone()));
    }

    /// Records the checkpoint of a live run for its gang, if its task belongs to one.
    pub(crate) fn share_checkpoint(&mut self, reported: &ReportedRun, now: Duration) {
        if self.is_gang(&reported.task) {
            let origin = Origin::live(reported.run, reported.progress, now);
            self.record_checkpoint(&reported.task, reported.checkpoint.as_ref(), origin);
        }
    }

    /// Records a failed run of a task.
    pub(crate) fn record_failure(&mut self, key: &TaskKey, worker: &WorkerId, run: u32) {
        let gang = self.is_gang(key);
        let Some(task) = self.task(key) else {
            return;
        };
        if gang {
            task.failed_runs.record_member(worker, run);
        } else {
            task.failed_runs.record(worker, run);
        }
    }

    /// Returns the number of attempts that a task has used up; those of a gang count for each of its
    /// tasks.
    pub(crate) fn failed_attempts(&self, key: &TaskKey) -> usize {
        let Some(tasks) = self.tasks_of_step(key) else {
            return 0;
        };
        if self.is_gang(key) {
            return FailedRuns::count_of_gang(tasks.states().map(|task| &task.failed_runs));
        }
        let index = usize::try_from(key.index).ok();
        let task = index.and_then(|index| tasks.get(index));
        task.map_or(0, |task| task.failed_runs.count())
    }

    /// Records that a run of a gang's member has stalled. It holds up the whole gang, so all members
    /// avoid the worker, and the stall counts for all unless the worker is to blame.
    pub(crate) fn record_gang_stall(
        &mut self,
        key: &TaskKey,
        avoid: Option<&WorkerId>,
        blamed: bool,
    ) {
        let Some(state) = self.step_state(key) else {
            return;
        };
        state.tasks.update_all(|task| {
            task.stalls += u32::from(!blamed);
            task.avoid = avoid.cloned();
        });
    }

    /// Records the checkpoint of a task that another owner has stored.
    pub(crate) fn restore_checkpoint(&mut self, progress: &TaskProgress) {
        let origin = Origin::stored(progress);
        self.record_checkpoint(&progress.task, progress.checkpoint.as_ref(), origin);
    }
}

impl Scheduler {
    /// Logs the start of a gang with its checkpoint and where that comes from, so that the log tells
    /// why members wait in vain.
    pub(crate) fn log_gang_start(&mut self, key: &TaskKey, run: u32, members: usize) {
        let job = self.jobs.get_mut(&key.job);
        let Some(state) = job.and_then(|job| job.step_state(key)) else {
            return;
        };
        let checkpoints = state.tasks.states().map(|task| task.checkpoint.as_deref());
        let checkpoint = checkpoints.flatten().next().unwrap_or_default();
        let origin = state.checkpoint_origin.unwrap_or_default();
        log_event!(
            Event::GangStarted,
            task = key,
            run = run,
            members = members,
            checkpoint = checkpoint
                .chars()
                .take(LOGGED_CHECKPOINT)
                .collect::<String>(),
            written_by = origin.run,
            stopped = origin.stopped,
            progress = origin.progress,
            stored = !origin.reported
        );
    }

    /// Stops the live runs of the gang to which a task belongs whose run is stopped, if it belongs to
    /// one, since they wait in vain.
    pub(crate) fn stop_rest_of_gang(&mut self, key: &TaskKey) {
        let job = self.jobs.get(&key.job);
        if job.is_some_and(|job| job.is_gang(key)) {
            self.stop_incomplete_gang(key);
        }
    }

    /// Stops the live runs of a gang of which some tasks have no run, since they wait in vain.
    pub(crate) fn stop_incomplete_gang(&mut self, key: &TaskKey) {
        let mut runs = Vec::new();
        for worker in self.workers.values() {
            let members = worker.runs.keys().filter(|task| {
                (&task.job, task.occurrence, task.step) == (&key.job, key.occurrence, key.step)
            });
            runs.extend(members.map(|task| (worker.listing.id.clone(), task.clone())));
        }
        for (worker, task) in runs {
            self.stop(&worker, &task, StopReason::Incomplete);
        }
    }
}
