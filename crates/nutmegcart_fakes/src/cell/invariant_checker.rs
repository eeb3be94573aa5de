//! What must hold whatever the owners do, judged by what workers saw.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use nutmegcart_jobs::JobId;
use nutmegcart_jobs::TaskKey;
use nutmegcart_model::WorkerId;

/// Time after a cancellation from which no task of the job may start.
const CANCELLED_START: Duration = Duration::from_secs(3);

/// Counts starts and ends, and collects violations.
#[derive(Clone, Debug, Default)]
pub struct InvariantChecker {
    /// What was broken, in words.
    pub violations: Vec<String>,
    /// Starts.
    pub starts: usize,
    /// Runs that finished.
    pub done: usize,
    live: BTreeMap<TaskKey, BTreeSet<(WorkerId, u32)>>,
    noted: BTreeSet<TaskKey>,
    finished: BTreeSet<TaskKey>,
    accepted: BTreeSet<JobId>,
    cancelled: BTreeMap<JobId, Duration>,
    failures: BTreeMap<TaskKey, u32>,
}

impl InvariantChecker {
    /// Notes an accepted job.
    pub fn accept(&mut self, id: &JobId) {
        self.accepted.insert(id.clone());
    }

    /// Notes a cancelled job.
    pub fn cancel(&mut self, id: &JobId, now: Duration) {
        self.cancelled.insert(id.clone(), now);
    }

    /// Judges a start.
    pub fn start(&mut self, worker: &WorkerId, task: &TaskKey, run: u32, now: Duration) {
        self.starts += 1;
        let at = now.as_millis();
        if !self.accepted.contains(&task.job) {
            self.violations
                .push(format!("{at} ms: {task} was never accepted"));
        }
        let cancelled = self.cancelled.get(&task.job);
        if cancelled.is_some_and(|when| now > *when + CANCELLED_START) {
            self.violations.push(format!(
                "{at} ms: {task} started long after its job was cancelled"
            ));
        }
        if self.noted.contains(task) {
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

    /// Notes the end of a run.
    pub fn end(&mut self, worker: &WorkerId, task: &TaskKey, run: u32, done: bool, failed: bool) {
        if let Some(live) = self.live.get_mut(task) {
            live.remove(&(worker.clone(), run));
        }
        if done {
            self.done += 1;
            self.finished.insert(task.clone());
        }
        if failed {
            *self.failures.entry(task.clone()).or_default() += 1;
        }
    }

    /// Notes that an end was acknowledged to its worker.
    pub fn acknowledge(&mut self, task: &TaskKey, done: bool) {
        if done {
            self.noted.insert(task.clone());
        }
    }

    /// Returns whether a task has finished at least once.
    #[must_use]
    pub fn finished(&self, task: &TaskKey) -> bool {
        self.finished.contains(task)
    }

    /// Returns how often a task failed.
    #[must_use]
    pub fn failures(&self, task: &TaskKey) -> u32 {
        self.failures.get(task).copied().unwrap_or_default()
    }
}
