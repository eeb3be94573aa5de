//! Invariants that hold under all faults, checked against the runs on the workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use nutmegcart_jobs::JobId;
use nutmegcart_jobs::TaskKey;
use nutmegcart_model::WorkerId;

/// Time after the cancellation of a job from which none of its tasks may start.
const CANCELLATION_DEADLINE: Duration = Duration::from_secs(3);

/// Time from the end of its last run within which a long-running task runs again.
const RESTART_TIME: Duration = Duration::from_secs(6);
/// Time without scripted faults before the restart of a long-running task is demanded.
const CALM_TIME: Duration = Duration::from_secs(7);
/// Time for which there has to be room for it before the restart of a long-running task is
/// demanded.
const ROOM_TIME: Duration = Duration::from_secs(3);

/// Counts starts and completed runs, and collects violations of the invariants.
#[derive(Clone, Debug, Default)]
pub struct InvariantChecker {
    /// Messages that describe each violation with its virtual time.
    pub violations: Vec<String>,
    /// Number of runs started.
    pub starts: usize,
    /// Number of runs that completed.
    pub completed: usize,
    /// Starts of tasks of which a running worker holds an end as done: the time, the task and that
    /// worker. They are right only if the owner could not ask it.
    pub repeated: Vec<(Duration, TaskKey, WorkerId)>,
    /// Runs that have not ended, with their workers.
    live: BTreeMap<TaskKey, BTreeSet<(WorkerId, u32)>>,
    /// Tasks whose completion an owner has acknowledged to the worker.
    acknowledged: BTreeSet<TaskKey>,
    completed_tasks: BTreeSet<TaskKey>,
    accepted: BTreeSet<JobId>,
    cancelled: BTreeMap<JobId, Duration>,
    failures: BTreeMap<TaskKey, u32>,
    /// Time until which a scripted fault lasts.
    fault_until: Duration,
    /// When each long-running task last had a run, or its job was accepted.
    last_live: BTreeMap<TaskKey, Duration>,
    /// Since when each of them has been without a run although there was room for it.
    missing_since: BTreeMap<TaskKey, Duration>,
}

impl InvariantChecker {
    /// Records that a job was accepted.
    pub fn record_accepted(&mut self, id: &JobId) {
        self.accepted.insert(id.clone());
    }

    /// Records the time at which a job was cancelled.
    pub fn record_cancelled(&mut self, id: &JobId, now: Duration) {
        self.cancelled.insert(id.clone(), now);
    }

    /// Records the start of a run and checks that the run is allowed.
    pub fn check_start(&mut self, worker: &WorkerId, task: &TaskKey, run: u32, now: Duration) {
        self.starts += 1;
        let at = now.as_millis();
        if !self.accepted.contains(&task.job) {
            self.violations.push(format!(
                "{at} ms: {task} started although its job was never accepted"
            ));
        }
        let cancelled = self.cancelled.get(&task.job);
        if cancelled.is_some_and(|when| now > *when + CANCELLATION_DEADLINE) {
            self.violations.push(format!(
                "{at} ms: {task} started more than 3 s after its job was cancelled"
            ));
        }
        if self.acknowledged.contains(task) {
            self.violations.push(format!(
                "{at} ms: {task} started after its end was acknowledged"
            ));
        }
        let live = self.live.entry(task.clone()).or_default();
        if let Some((other, number)) = live.first() {
            self.violations.push(format!(
                "{at} ms: {task} run {run} on {worker} while run {number} is alive on {other}"
            ));
        }
        live.insert((worker.clone(), run));
        if let Some(last_live) = self.last_live.get_mut(task) {
            *last_live = now;
        }
    }

    /// Records a scripted fault that lasts until the given time.
    pub fn record_fault(&mut self, until: Duration) {
        self.fault_until = self.fault_until.max(until);
    }

    /// Returns whether no scripted fault has lasted for the time that a restart may take.
    #[must_use]
    pub fn is_calm(&self, now: Duration) -> bool {
        now >= self.fault_until + CALM_TIME
    }

    /// Returns whether a task has a run that has not ended.
    #[must_use]
    pub fn is_live(&self, task: &TaskKey) -> bool {
        self.live.get(task).is_some_and(|runs| !runs.is_empty())
    }

    /// Checks that a long-running task of an open job is not left without a run although there is
    /// room for it; returns whether it is.
    pub fn check_long_running(&mut self, task: &TaskKey, has_room: bool, now: Duration) -> bool {
        let live = self.is_live(task);
        let last_live = self.last_live.entry(task.clone()).or_insert(now);
        if live {
            *last_live = now;
        }
        let last_live = *last_live;
        if live || !has_room {
            self.missing_since.remove(task);
            return false;
        }
        let missing_since = *self.missing_since.entry(task.clone()).or_insert(now);
        if !self.is_calm(now) || now < last_live + RESTART_TIME || now < missing_since + ROOM_TIME {
            return false;
        }
        // One message for each gap between two runs.
        self.last_live.insert(task.clone(), now);
        let (at, last_live) = (now.as_millis(), last_live.as_millis());
        self.violations.push(format!(
            "{at} ms: {task} has not run since {last_live} ms although there is room for it"
        ));
        true
    }

    /// Records the end of a run, and whether it completed or failed.
    pub fn record_end(
        &mut self,
        worker: &WorkerId,
        task: &TaskKey,
        run: u32,
        completed: bool,
        failed: bool,
    ) {
        if let Some(live) = self.live.get_mut(task) {
            live.remove(&(worker.clone(), run));
        }
        if completed {
            self.completed += 1;
            self.completed_tasks.insert(task.clone());
        }
        if failed {
            *self.failures.entry(task.clone()).or_default() += 1;
        }
    }

    /// Records that an owner acknowledged the end of a run, and whether the run had completed.
    pub fn record_acknowledged(&mut self, task: &TaskKey, completed: bool) {
        if completed {
            self.acknowledged.insert(task.clone());
        }
    }

    /// Returns whether a run of the task has completed.
    #[must_use]
    pub fn is_completed(&self, task: &TaskKey) -> bool {
        self.completed_tasks.contains(task)
    }

    /// Returns the number of failed runs of a task.
    #[must_use]
    pub fn failures(&self, task: &TaskKey) -> u32 {
        self.failures.get(task).copied().unwrap_or_default()
    }
}
