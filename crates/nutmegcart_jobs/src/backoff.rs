//! Waits between the attempts of long-running tasks that fail wherever they start.
//!
//! Failure that it answers: the attempts of a long-running task have no limit. One that fails at
//! once on each worker started again as fast as its assignments could be stored, for as long as its
//! job was open.
//!
//! Only failed runs count that never came to work. This owner alone knows the waits, so a task whose
//! owner has changed starts at once.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegcart_model::WorkerId;

use crate::job::JobId;
use crate::job::TaskKey;
use crate::live_job::LiveJob;
use crate::reports::ReportedEnd;
use crate::scheduler::Scheduler;
use crate::worker::RunState;

/// Wait after the first failed run; it doubles with each further one.
const FIRST_WAIT: Duration = Duration::from_millis(100);
/// Longest wait. With the time of a start, a task has a run within 6 s after its last one.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Time from the end of a wait in which the pool's own workers get the task, if they have room.
const PLACEMENT_TIME: Duration = Duration::from_millis(100);

/// Failed runs of a task since it was last at work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Backoff {
    /// Number of failed runs; the members of a gang that fail in one run count once.
    pub(crate) failures: u32,
    /// Number of the latest of these runs.
    run: u32,
    /// Until when no further run starts.
    until: Duration,
}

impl Backoff {
    /// Returns the time left until the next run may start.
    pub(crate) const fn left(self, now: Duration) -> Duration {
        self.until.saturating_sub(now)
    }
}

/// Long-running tasks that have failed since they were last at work; a gang counts as its first task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backoffs {
    tasks: BTreeMap<TaskKey, Backoff>,
}

impl Backoffs {
    fn record_failure(&mut self, task: TaskKey, run: u32, now: Duration) {
        let known = self.tasks.get(&task).copied();
        if known.is_some_and(|known| known.run == run) {
            return;
        }
        let failures = known.map_or(0, |known| known.failures);
        let wait = FIRST_WAIT.saturating_mul(2_u32.saturating_pow(failures));
        let backoff = Backoff {
            failures: failures.saturating_add(1),
            run,
            until: now + wait.min(MAX_WAIT),
        };
        self.tasks.insert(task, backoff);
    }

    /// Forgets the failed runs of a task that is at work.
    pub(crate) fn reset(&mut self, job: &LiveJob, task: &TaskKey) {
        if !self.tasks.is_empty() {
            self.tasks.remove(&counted_task(job, task));
        }
    }

    /// Forgets the tasks of the jobs for which `is_open` is false.
    pub(crate) fn retain(&mut self, is_open: impl Fn(&JobId) -> bool) {
        self.tasks.retain(|task, _| is_open(&task.job));
    }
}

/// Returns the task for which the failed runs of a task count.
fn counted_task(job: &LiveJob, task: &TaskKey) -> TaskKey {
    let index = if job.is_gang(task) { 0 } else { task.index };
    TaskKey {
        index,
        ..task.clone()
    }
}

impl Scheduler {
    /// Returns when the next task may start that waits after a failed run, if one waits. A placement
    /// pass is due then.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_jobs::{JobSettings, Scheduler};
    /// let now = Duration::from_secs(5);
    /// let scheduler = Scheduler::new(JobSettings::default(), 1, now);
    /// assert_eq!(scheduler.next_attempt(now), None);
    /// ```
    #[must_use]
    pub fn next_attempt(&self, now: Duration) -> Option<Duration> {
        let ends = self.backoffs.tasks.values().map(|each| each.until);
        ends.filter(|until| *until > now).min()
    }

    /// Counts a failed run of a long-running task that never came to work. A run that an earlier owner
    /// knew may have been at work, and one that is being stopped is no attempt.
    pub(crate) fn record_failed_attempt(
        &mut self,
        id: &WorkerId,
        end: &ReportedEnd,
        now: Duration,
    ) {
        let worker = self.workers.get(id);
        let run = worker.and_then(|worker| worker.runs.get(&end.task));
        let counts = run.is_some_and(|run| {
            let stopping = matches!(run.state, RunState::Stopping { .. });
            run.number == end.run && run.long_running && !run.was_at_work && !stopping
        });
        if let Some(job) = self.jobs.get(&end.task.job).filter(|_| counts) {
            let task = counted_task(job, &end.task);
            self.backoffs.record_failure(task, end.run, now);
        }
    }

    /// Returns the failed runs of a task that waits for its next attempt.
    pub(crate) fn backoff(&self, job: &LiveJob, task: &TaskKey, now: Duration) -> Option<Backoff> {
        let backoff = self.find_backoff(job, task)?;
        (now < backoff.until).then_some(backoff)
    }

    /// Returns whether a task demands no machines, because it waits for its next attempt or the
    /// placement that follows.
    pub(crate) fn demands_nothing(&self, job: &LiveJob, task: &TaskKey, now: Duration) -> bool {
        let backoff = self.find_backoff(job, task);
        backoff.is_some_and(|backoff| now < backoff.until + PLACEMENT_TIME)
    }

    /// Returns whether any long-running task has failed since it was last at work.
    pub(crate) fn has_backoffs(&self) -> bool {
        !self.backoffs.tasks.is_empty()
    }

    fn find_backoff(&self, job: &LiveJob, task: &TaskKey) -> Option<Backoff> {
        if !self.has_backoffs() {
            return None;
        }
        self.backoffs.tasks.get(&counted_task(job, task)).copied()
    }
}
