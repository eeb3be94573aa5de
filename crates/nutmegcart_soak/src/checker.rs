//! The promises to callers, checked against what callers and workers have seen.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_jobs::RunEnd;
use nutmegcart_jobs::TaskKey;
use nutmegcart_stand_in::runner::Occurrence;
use serde::Serialize;

use crate::history::Entry;
use crate::history::Fact;
use crate::history::Nature;
use crate::history::is_done;
use crate::history::job_of;
use crate::schedule::Fault;

/// Time after a fault for which promises with a time bound do not hold.
pub const CONTACT: Duration = Duration::from_secs(3);
/// Time from an acknowledged cancellation to the last start, without faults.
pub const CANCEL_BOUND: Duration = Duration::from_secs(3);
/// Time from an acceptance until every instance knows the job, without faults.
const VISIBLE_BOUND: Duration = Duration::from_secs(3);
/// Shortest time after a request for its connection to end that counts as an interruption.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Number of failed runs after which a task does not start again, as configured.
const MAX_ATTEMPTS: usize = 2;

/// A broken promise.
#[derive(Clone, Debug, Serialize)]
pub struct Broken {
    /// Time since the start of the run in milliseconds.
    pub at_ms: u64,
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub detail: String,
}

/// What has been seen of a job.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each one is an independent observation"
)]
#[derive(Clone, Debug)]
pub struct JobView {
    /// What it consists of.
    pub nature: Nature,
    /// Number of its tasks.
    pub tasks: u32,
    /// Time at which its submission was first acknowledged.
    pub accepted: Option<Duration>,
    /// Whether a cancellation was sent.
    pub cancelling: bool,
    /// Time at which its cancellation was first acknowledged.
    pub cancelled: Option<Duration>,
    refused: bool,
    unanswered: bool,
    /// Whether a submission has been sent that has no answer yet.
    submitting: bool,
    started: bool,
    /// Whether it was cancelled and had nothing running in a settled state.
    buried: bool,
}

/// What has been seen of a task.
#[derive(Clone, Debug, Default)]
struct TaskView {
    /// Worker and number of each run that has not ended.
    alive: Vec<(usize, u32)>,
    /// Time of the latest start.
    started: Duration,
    /// Whether a run ended as done.
    done: bool,
    /// Whether such an end was acknowledged while its lease held.
    settled: bool,
    /// Number of failed runs that were acknowledged.
    failed: usize,
}

/// Faults that are in force, and the time since which there are none.
#[derive(Clone, Debug, Default)]
struct Disturbance {
    active: usize,
    last: Option<Duration>,
}

impl Disturbance {
    fn begin(&mut self) {
        self.active += 1;
    }

    fn end(&mut self, at: Duration) {
        self.active -= 1;
        self.last = Some(at);
    }

    /// Returns the length of the calm stretch that lasts until now, counted from a time.
    fn calm(&self, since: Duration, now: Duration) -> Duration {
        if self.active > 0 {
            return Duration::ZERO;
        }
        let start = self.last.map_or(since, |last| since.max(last + CONTACT));
        now.saturating_sub(start)
    }
}

/// Checks facts in the order of their times.
#[derive(Clone, Debug)]
pub struct Checker {
    /// Promises that were broken so far.
    pub broken: Vec<Broken>,
    /// What has been seen of each job.
    pub jobs: BTreeMap<Arc<str>, JobView>,
    /// Number of runs that have started.
    pub starts: usize,
    /// Number of calls of callers.
    pub calls: usize,
    tasks: HashMap<TaskKey, TaskView>,
    /// Whether promises with a time bound are checked.
    timed: bool,
    all: Disturbance,
    unplanned: Disturbance,
}

impl Checker {
    /// Creates a checker; `timed` adds the promises with a time bound.
    ///
    /// ```
    /// use nutmegcart_soak::checker::Checker;
    ///
    /// assert!(Checker::new(true).broken.is_empty());
    /// ```
    #[must_use]
    pub fn new(timed: bool) -> Self {
        Self {
            broken: Vec::new(),
            jobs: BTreeMap::new(),
            starts: 0,
            calls: 0,
            tasks: HashMap::new(),
            timed,
            all: Disturbance::default(),
            unplanned: Disturbance::default(),
        }
    }

    /// Notes a broken promise.
    pub fn report(&mut self, at: Duration, promise: &'static str, detail: String) {
        let at_ms = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
        self.broken.push(Broken {
            at_ms,
            promise,
            detail,
        });
    }

    /// Takes note of a fact and checks the promises that it concerns.
    pub fn observe(&mut self, entry: &Entry) {
        let at = entry.at;
        match &entry.fact {
            Fact::Planned { job, nature, tasks } => {
                let view = JobView {
                    nature: *nature,
                    tasks: *tasks,
                    accepted: None,
                    cancelling: false,
                    cancelled: None,
                    refused: false,
                    unanswered: false,
                    submitting: false,
                    started: false,
                    buried: false,
                };
                self.jobs.insert(job.clone(), view);
            }
            Fact::Submitting { job } => {
                if let Some(view) = self.jobs.get_mut(job) {
                    view.submitting = true;
                }
            }
            Fact::Submitted { job, answer } => self.submitted(at, job, *answer),
            Fact::Cancelling { job } => {
                if let Some(view) = self.jobs.get_mut(job) {
                    view.cancelling = true;
                }
            }
            Fact::Cancelled { job, answer, sent } => self.cancelled(at, job, *answer, *sent),
            Fact::Shown {
                job,
                answer,
                state,
                sent,
            } => {
                self.calls += 1;
                self.shown(at, job, *answer, state, *sent);
            }
            Fact::Dropped {
                instance,
                waited,
                partial,
            } => self.dropped(at, *instance, *waited, *partial),
            Fact::Admitted { instance } => {
                let promise = "a request with an unknown key is refused";
                self.report(at, promise, format!("instance {instance}"));
            }
            Fact::Worker { worker, what } => self.occurred(at, *worker, what),
            Fact::Exited {
                instance,
                how,
                expected,
            } => {
                if !expected {
                    let detail = format!("instance {instance}: {how}");
                    self.report(at, "a process that was not signalled runs", detail);
                }
            }
            Fact::Began(fault) => self.begin(fault),
            Fact::Over(fault) => self.end(at, fault),
            Fact::Settled => self.bury(),
        }
    }

    fn begin(&mut self, fault: &Fault) {
        self.all.begin();
        if !fault.is_planned() {
            self.unplanned.begin();
        }
    }

    fn end(&mut self, at: Duration, fault: &Fault) {
        self.all.end(at);
        if !fault.is_planned() {
            self.unplanned.end(at);
        }
    }

    fn submitted(&mut self, at: Duration, job: &Arc<str>, answer: Option<u16>) {
        self.calls += 1;
        let Some(view) = self.jobs.get_mut(job) else {
            return;
        };
        view.submitting = false;
        match answer {
            Some(200..=299) => {
                view.accepted.get_or_insert(at);
            }
            Some(400..=429 | 503) => {
                view.refused = true;
                self.check_refused(at, job);
            }
            // Such a submission may have been carried out.
            _ => view.unanswered = true,
        }
    }

    /// Reports a job that ran although every answer was a refusal. While a submission is in
    /// progress, its answer decides.
    fn check_refused(&mut self, at: Duration, job: &Arc<str>) {
        let ran = self.jobs.get(job).is_some_and(|view| {
            let undecided = view.submitting || view.unanswered || view.accepted.is_some();
            view.started && view.refused && !undecided
        });
        if ran {
            let detail = format!("job {job}: every answer was a refusal");
            self.report(at, "a refused job does not run", detail);
        }
    }

    fn cancelled(&mut self, at: Duration, job: &Arc<str>, answer: Option<u16>, sent: Duration) {
        self.calls += 1;
        let Some(view) = self.jobs.get_mut(job) else {
            return;
        };
        match answer {
            Some(200..=299) => {
                view.cancelled.get_or_insert(at);
            }
            Some(410) => {
                let since = view.accepted.unwrap_or(sent);
                if self.timed && self.all.calm(since, sent) > VISIBLE_BOUND {
                    let detail = format!("job {job}: its cancellation was answered 410");
                    self.report(at, "an accepted job is known", detail);
                }
            }
            _ => {}
        }
    }

    /// Returns the number of tasks of a job of which a run has ended as done.
    fn count_done(&self, job: &str) -> usize {
        let tasks = self.tasks.iter();
        tasks
            .filter(|(task, view)| &*task.job == job && view.done)
            .count()
    }

    fn shown(&mut self, at: Duration, job: &Arc<str>, answer: u16, state: &str, sent: Duration) {
        let Some(view) = self.jobs.get(job).cloned() else {
            return;
        };
        let tasks = view.tasks as usize;
        let calm = view.accepted.map(|since| self.all.calm(since, sent));
        match (answer, state) {
            (410, _) if self.timed && calm.is_some_and(|calm| calm > VISIBLE_BOUND) => {
                let detail = format!("job {job}: answered 410");
                self.report(at, "an accepted job is known", detail);
            }
            (200, "completed") if self.count_done(job) < tasks => {
                let detail = format!("job {job}: {} of {tasks} done", self.count_done(job));
                self.report(at, "a completed job has done all its tasks", detail);
            }
            (200, "failed") if view.nature != Nature::Failing => {
                let detail = format!("job {job}: shown as failed");
                self.report(at, "a job fails only by its own runs", detail);
            }
            (200, "canceled") if !view.cancelling => {
                let detail = format!("job {job}: shown as canceled");
                self.report(at, "only callers cancel", detail);
            }
            _ => {}
        }
    }

    fn dropped(&mut self, at: Duration, instance: usize, waited: Duration, partial: bool) {
        self.calls += 1;
        let since = at.saturating_sub(waited);
        let steady = self.unplanned.calm(since, at) >= waited;
        if steady && partial {
            let detail = format!("instance {instance}: the answer ended early after {waited:?}");
            self.report(at, "an answer that has begun is complete", detail);
        } else if self.timed && steady && waited > LOSS_SLACK {
            let detail = format!("instance {instance}: no answer after {waited:?}");
            self.report(at, "a request is answered without unplanned faults", detail);
        }
    }

    fn occurred(&mut self, at: Duration, worker: usize, what: &Occurrence) {
        match what {
            Occurrence::Started { task, run, late } => self.started(at, worker, task, *run, *late),
            Occurrence::Ended { task, run, how } => {
                let view = self.tasks.entry(task.clone()).or_default();
                view.alive.retain(|alive| *alive != (worker, *run));
                if is_done(*how) {
                    view.done = true;
                }
            }
            Occurrence::Acknowledged {
                task,
                run,
                how,
                after,
                lapsed,
            } if is_done(*how) && !lapsed => self.acknowledged(at, task, *run, *after),
            Occurrence::Acknowledged { task, how, .. } => {
                if *how == RunEnd::Failed {
                    self.tasks.entry(task.clone()).or_default().failed += 1;
                }
            }
            Occurrence::Crashed => {
                for view in self.tasks.values_mut() {
                    view.alive.retain(|alive| alive.0 != worker);
                }
            }
        }
    }

    fn started(&mut self, at: Duration, worker: usize, task: &TaskKey, run: u32, late: bool) {
        self.starts += 1;
        let job = job_of(task);
        let task_view = self.tasks.entry(task.clone()).or_default();
        let former = std::mem::replace(&mut task_view.started, at);
        let alive = task_view.alive.clone();
        task_view.alive.push((worker, run));
        let (settled, failed) = (task_view.settled, task_view.failed);
        let detail = format!("task {task}: run {run} on worker {worker}, late: {late}");
        if !alive.is_empty() {
            let detail = format!("{detail}, beside (worker, run) {alive:?} started at {former:?}");
            self.report(at, "no two runs of a task are alive", detail);
        }
        if settled {
            let promise = "no start after an end was acknowledged as done";
            self.report(at, promise, detail.clone());
        }
        if failed >= MAX_ATTEMPTS {
            let promise = "no start after all attempts have failed";
            self.report(at, promise, detail.clone());
        }
        let Some(view) = self.jobs.get_mut(&job) else {
            self.report(at, "only handed-in jobs run", detail);
            return;
        };
        view.started = true;
        let (cancelled, buried) = (view.cancelled, view.buried);
        self.check_refused(at, &job);
        let calm = cancelled.map(|since| self.all.calm(since, at));
        let overdue = self.timed && calm.is_some_and(|calm| calm > CANCEL_BOUND);
        if !late && (buried || overdue) {
            let detail = format!("{detail}, cancelled at {cancelled:?}");
            self.report(at, "a cancelled job does not start again", detail);
        }
    }

    /// Takes note of the acknowledgement of an end as done. A successor may give a run the number of
    /// an earlier one, so the time of the end tells which one it is.
    fn acknowledged(&mut self, at: Duration, task: &TaskKey, run: u32, after: Duration) {
        let view = self.tasks.entry(task.clone()).or_default();
        view.settled = true;
        let ended = at.saturating_sub(after);
        if view.started > ended {
            let started = view.started;
            let detail = format!(
                "task {task}: started again at {started:?}; run {run}, which ended at {ended:?}, \
                 was acknowledged later"
            );
            self.report(at, "no start after an end that is acknowledged", detail);
        }
    }

    /// Returns the number of tasks of a job that have a run.
    #[must_use]
    pub fn count_alive(&self, job: &str) -> usize {
        let tasks = self.tasks.iter();
        tasks
            .filter(|(task, view)| &*task.job == job && !view.alive.is_empty())
            .count()
    }

    /// Returns whether a job whose state is shown has settled, and nothing of it runs that should
    /// not.
    #[must_use]
    pub fn has_settled(&self, job: &str, state: &str) -> bool {
        let Some(view) = self.jobs.get(job) else {
            return false;
        };
        let alive = self.count_alive(job);
        match view.nature {
            Nature::LongRunning if !view.cancelling => {
                state == "running" && alive == view.tasks as usize
            }
            _ if view.cancelling => {
                alive == 0 && matches!(state, "canceled" | "completed" | "failed")
            }
            Nature::Failing => alive == 0 && state == "failed",
            _ => alive == 0 && state == "completed",
        }
    }

    fn bury(&mut self) {
        for view in self.jobs.values_mut() {
            view.buried |= view.cancelled.is_some();
        }
    }
}
