//! Invariants that hold under all faults, checked against the runs on the workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use nutmegcart_jobs::JobId;
use nutmegcart_jobs::TaskKey;
use nutmegcart_model::WorkerId;

/// Time after the cancellation of a job from which none of its tasks may start.
const CANCELLATION_DEADLINE: Duration = Duration::from_secs(3);

/// Counts starts and completed runs, and collects violations of the invariants.
#[derive(Clone, Debug, Default)]
pub struct InvariantChecker {
    /// Messages that describe each violation with its virtual time.
    pub violations: Vec<String>,
    /// Number of runs started.
    pub starts: usize,
    /// Number of runs that completed.
    pub completed: usize,
    /// Runs that have not ended, with their workers.
    live: BTreeMap<TaskKey, BTreeSet<(WorkerId, u32)>>,
    /// Tasks whose completion an owner has acknowledged to the worker.
    acknowledged: BTreeSet<TaskKey>,
    completed_tasks: BTreeSet<TaskKey>,
    accepted: BTreeSet<JobId>,
    cancelled: BTreeMap<JobId, Duration>,
    failures: BTreeMap<TaskKey, u32>,
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
