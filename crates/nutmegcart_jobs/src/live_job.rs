//! Accepted jobs, with the state of every task.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_fleet::IndexRanges;
use nutmegcart_model::PoolName;
use nutmegcart_platform::Revision;

use crate::estimate::Estimates;
use crate::failed_runs::FailedRuns;
use crate::gang::Origin;
use crate::job::Job;
use crate::job::JobId;
use crate::job::Step;
use crate::job::TaskKey;
use crate::live_task::LiveTask;
use crate::record::AcceptedJob;
use crate::record::FinalState;
use crate::record::JobState;
use crate::record::TaskProgress;
use crate::scheduler::INHERITED_RUN_GAP;
use crate::task_table::TaskTable;

/// Occurrences that may be due by the clock of another owner and not by that of this one.
const MAX_EARLY_OCCURRENCES: u32 = 10_000;
/// Same as a number of tasks.
const MAX_EARLY_TASKS: u32 = 1_000_000;
/// Tasks of the open occurrences of a schedule from which on no further occurrence is added.
pub const MAX_OPEN_TASKS: u64 = 10_000;

/// Maximum number of waiting tasks of one step that a decision considers. The others follow as these are
/// started.
pub(crate) const MAX_CONSIDERED: usize = 256;

/// State of one step.
#[derive(Clone, Debug, Default)]
pub struct LiveStep {
    /// Tasks by index.
    pub tasks: TaskTable,
    /// Whether all steps that it depends on have finished.
    pub ready: bool,
    /// Number of finished tasks.
    pub done: u32,
    /// Where the checkpoint of a gang comes from, if it has one.
    pub(crate) checkpoint_origin: Option<Origin>,
}

impl LiveStep {
    /// Returns the tasks that wait for a run.
    pub fn pending(&self) -> impl Iterator<Item = u32> + '_ {
        self.tasks.matching(Self::waits)
    }

    /// Returns the number of tasks that wait for a run.
    #[must_use]
    pub fn pending_count(&self) -> usize {
        self.tasks.count(Self::waits)
    }

    /// Returns whether a task waits for a run.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        self.tasks.states().any(Self::waits)
    }

    const fn waits(task: &LiveTask) -> bool {
        !task.done && task.live_runs == 0
    }

    /// Returns whether all tasks have finished.
    #[must_use]
    pub const fn finished(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Returns whether a run of any of its tasks may be live.
    #[must_use]
    pub fn has_live_runs(&self) -> bool {
        self.tasks.states().any(|task| task.live_runs > 0)
    }

    /// Returns when the latest run of its tasks ended under this owner, or when it became due.
    #[must_use]
    pub fn latest_end(&self) -> Option<Duration> {
        self.tasks.states().map(|task| task.waiting_since).max()
    }
}

/// One execution of all steps of a job.
#[derive(Clone, Debug)]
pub struct Occurrence {
    /// Steps by number.
    pub steps: Vec<LiveStep>,
    /// Time at which it became due.
    pub due: Duration,
    /// Predicted duration of the remaining critical path.
    pub remaining: Duration,
}

impl Occurrence {
    fn new(job: &Job, due: Duration, remaining: Duration) -> Self {
        let state = |step: &Step| {
            let waiting = LiveTask {
                waiting_since: due,
                ..LiveTask::default()
            };
            LiveStep {
                tasks: TaskTable::new(step.count as usize, waiting),
                ready: step.after.is_empty(),
                ..LiveStep::default()
            }
        };
        Self {
            steps: job.steps.iter().map(state).collect(),
            due,
            remaining,
        }
    }

    /// Numbers the next runs of all tasks above `gap`.
    pub(crate) fn skip_runs(&mut self, gap: u32) {
        for step in &mut self.steps {
            step.tasks.update_all(|task| task.last_run = gap);
        }
    }

    /// Returns whether every task has finished.
    #[must_use]
    pub fn finished(&self) -> bool {
        self.steps.iter().all(LiveStep::finished)
    }

    /// Returns the steps whose tasks have all finished.
    #[must_use]
    pub fn done_steps(&self) -> BTreeSet<u16> {
        let numbered = (0_u16..).zip(&self.steps);
        let done = numbered.filter(|(_, step)| step.finished());
        done.map(|(number, _)| number).collect()
    }
}

/// An accepted job, as its owner tracks it.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the conditions are independent of each other"
)]
pub struct LiveJob {
    /// Identifier, chosen by the caller.
    pub id: JobId,
    /// Job and queue as accepted.
    pub accepted: AcceptedJob,
    /// Revision of its key in the store.
    pub revision: Revision,
    /// Time at which it was accepted, on the clock of this process.
    pub accepted_at: Duration,
    /// Pool whose workers run its tasks.
    pub pool: PoolName,
    /// Whether it may have tasks in another pool, to which its queue belonged.
    pub moved: bool,
    /// Predicted duration of one task, by step.
    pub durations: Vec<Duration>,
    /// Predicted work of one occurrence in core-seconds.
    pub work: f64,
    /// Predicted duration of the critical path.
    pub critical_path: Duration,
    /// Latency objective, from the critical path and the queue's settings.
    pub objective: Duration,
    /// Occurrences that have become due, by number, without those in `past`.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Numbers of the occurrences of a schedule whose tasks have all finished. Nothing else is kept
    /// of them, so that a job that goes on for long takes no more room than its open occurrences.
    pub past: IndexRanges,
    /// Number of occurrences that have become due.
    pub spawned: u32,
    /// Final state, whether or not it is stored.
    pub ended: Option<FinalState>,
    /// Whether the final state is stored.
    pub stored: bool,
    /// Whether an earlier owner may have started tasks that this owner does not know.
    pub inherited: bool,
    /// Whether any task has certainly started, also under an earlier owner.
    pub started: bool,
    /// Whether this owner has emitted a start order for any task, which may yet be refused.
    pub ordered: bool,
    /// Whether it was started in excess of what the weight of its organisation covers.
    pub excess: bool,
    /// Whether a transaction may pass it to another cell, so that nothing may be started here.
    pub passing: bool,
}

impl LiveJob {
    /// Creates the state of an accepted job; [`LiveJob::spawn`] adds its first occurrence.
    #[must_use]
    pub fn new(
        id: JobId,
        accepted: AcceptedJob,
        revision: Revision,
        accepted_at: Duration,
        estimates: &Estimates,
    ) -> Self {
        let job = &accepted.job;
        let queue = &accepted.queue;
        let predict = |step: &Step| estimates.duration(&queue.key, step);
        let durations: Vec<Duration> = job.steps.iter().map(predict).collect();
        let work = job.work(predict);
        let critical_path = job.critical_path(&BTreeSet::new(), predict);
        let objective =
            critical_path.mul_f64(queue.stretch.max(0.0)) + Duration::from_millis(queue.target_ms);
        Self {
            id,
            pool: queue.pool.clone(),
            moved: false,
            revision,
            accepted_at,
            durations,
            work,
            critical_path,
            objective,
            occurrences: BTreeMap::new(),
            past: IndexRanges::default(),
            spawned: 0,
            ended: None,
            stored: false,
            inherited: false,
            started: false,
            ordered: false,
            excess: false,
            passing: false,
            accepted,
        }
    }

    /// Sets the pool to which its queue belongs.
    pub(crate) fn set_pool(&mut self, pool: &PoolName) {
        self.moved |= self.pool != *pool;
        self.pool = pool.clone();
    }

    /// Adds the occurrences that are due at `unix`, in milliseconds since 1970. Of those with
    /// [`MAX_OPEN_TASKS`] tasks or more, the others follow as earlier ones end.
    pub fn spawn(&mut self, unix: u64, now: Duration) {
        let Some(schedule) = self.accepted.job.schedule else {
            if self.spawned == 0 {
                let occurrence =
                    Occurrence::new(&self.accepted.job, self.accepted_at, self.critical_path);
                self.occurrences.insert(0, occurrence);
                self.spawned = 1;
            }
            return;
        };
        while self.spawned < schedule.count && self.open_tasks() < MAX_OPEN_TASKS {
            let elapsed = u64::from(self.spawned).saturating_mul(schedule.period_ms);
            let due = schedule.first_ms.saturating_add(elapsed);
            let Some(late_ms) = unix.checked_sub(due) else {
                break;
            };
            let due = now.saturating_sub(Duration::from_millis(late_ms));
            self.spawn_next(due.max(self.accepted_at));
        }
    }

    /// Returns the number of tasks of one occurrence.
    pub(crate) fn width(&self) -> u64 {
        let steps = self.accepted.job.steps.iter();
        steps.map(|step| u64::from(step.count)).sum()
    }

    /// Returns the number of tasks of the occurrences that have not ended.
    fn open_tasks(&self) -> u64 {
        self.width() * self.occurrences.len() as u64
    }

    /// Returns whether another owner may have added an occurrence that this one has not. Its clock
    /// may be ahead, and it knows ends that are not stored.
    fn may_exist(&self, occurrence: u32) -> bool {
        let width = u32::try_from(self.width()).unwrap_or(u32::MAX);
        let most = MAX_EARLY_OCCURRENCES.min(MAX_EARLY_TASKS / width.max(1));
        let missing = occurrence.saturating_sub(self.spawned);
        if missing > most.saturating_add(self.past.len()) {
            return false;
        }
        let mut next = self.spawned;
        for _ in 0..most {
            if next >= occurrence {
                break;
            }
            next = self.past.next_absent(next.saturating_add(1));
        }
        next >= occurrence
    }

    /// Returns the state of a task that an owner has started; its occurrence was due by the clock of
    /// that owner.
    pub(crate) fn started_task(&mut self, key: &TaskKey, now: Duration) -> Option<&mut LiveTask> {
        let timed = self.accepted.job.schedule.is_some() && self.may_exist(key.occurrence);
        while timed && self.has_future() && self.spawned <= key.occurrence {
            self.spawn_next(now);
        }
        self.task(key)
    }

    /// Adds the next occurrence of a schedule.
    fn spawn_next(&mut self, due: Duration) {
        if !self.past.contains(self.spawned) {
            let mut occurrence = Occurrence::new(&self.accepted.job, due, self.critical_path);
            if self.inherited {
                occurrence.skip_runs(INHERITED_RUN_GAP);
            }
            self.occurrences.insert(self.spawned, occurrence);
        }
        self.spawned = self.past.next_absent(self.spawned + 1);
    }

    /// Restores the numbers of the occurrences that another owner has recorded as finished.
    pub fn restore_past(&mut self, past: &IndexRanges) {
        self.past.merge(past);
        self.occurrences.retain(|number, _| !past.contains(*number));
        self.spawned = self.past.next_absent(self.spawned);
        self.started |= !past.is_empty();
    }

    /// Drops an occurrence of a schedule if all its tasks have finished.
    fn drop_finished(&mut self, number: u32) {
        let occurrence = self.occurrences.get(&number);
        if self.accepted.job.schedule.is_some() && occurrence.is_some_and(Occurrence::finished) {
            self.occurrences.remove(&number);
            self.past.insert(number);
        }
    }

    /// Returns the number of tasks in finished occurrences of a schedule.
    #[must_use]
    pub fn past_tasks(&self) -> u64 {
        self.width() * u64::from(self.past.len())
    }

    /// Returns the progress of the tasks in finished occurrences of a schedule.
    pub fn past_progress(&self) -> impl Iterator<Item = TaskProgress> {
        let numbers = (0..self.spawned).filter(|number| self.past.contains(*number));
        numbers.flat_map(move |occurrence| {
            let steps = (0_u16..).zip(&self.accepted.job.steps);
            steps.flat_map(move |(step, definition)| {
                (0..definition.count).map(move |index| TaskProgress {
                    task: TaskKey {
                        job: self.id.clone(),
                        occurrence,
                        step,
                        index,
                    },
                    done: true,
                    failed: Vec::new(),
                    run: 0,
                    checkpoint: None,
                })
            })
        })
    }

    /// Returns the progress of the tasks for which `keep` is true.
    #[must_use]
    pub fn progress(&self, keep: impl Fn(&LiveTask) -> bool) -> Vec<TaskProgress> {
        let mut progress = Vec::new();
        for (number, occurrence) in &self.occurrences {
            for (step, state) in (0_u16..).zip(&occurrence.steps) {
                for index in state.tasks.matching(&keep) {
                    let task = &state.tasks[index as usize];
                    progress.push(TaskProgress {
                        task: TaskKey {
                            job: self.id.clone(),
                            occurrence: *number,
                            step,
                            index,
                        },
                        done: task.done,
                        failed: task.failed_runs.stored(),
                        run: task.last_run,
                        checkpoint: task.checkpoint.clone(),
                    });
                }
            }
        }
        progress
    }

    /// Restores the progress of a task that another owner has recorded; its next run is numbered
    /// above `run_gap` more.
    pub fn restore(&mut self, progress: &TaskProgress, run_gap: u32) {
        if progress.done {
            self.started = true;
            self.finish(&progress.task);
        }
        let long_running = self
            .step(&progress.task)
            .is_some_and(|step| step.long_running);
        if let Some(task) = self.task(&progress.task) {
            task.failed_runs = FailedRuns::restore(progress.failed.clone());
            if long_running {
                task.failed_runs.keep_latest();
            }
            task.last_run = task.last_run.max(progress.run.saturating_add(run_gap));
            task.started = true;
            self.started = true;
        }
        self.restore_checkpoint(progress);
    }

    /// Returns whether further occurrences will become due.
    #[must_use]
    pub fn has_future(&self) -> bool {
        let count = self
            .accepted
            .job
            .schedule
            .map_or(1, |schedule| schedule.count);
        self.spawned < count
    }

    /// Returns the definition of a task's step.
    #[must_use]
    pub fn step(&self, key: &TaskKey) -> Option<&Step> {
        self.accepted.job.steps.get(usize::from(key.step))
    }

    /// Returns whether a task belongs to a gang.
    #[must_use]
    pub fn is_gang(&self, key: &TaskKey) -> bool {
        self.step(key).is_some_and(|step| step.gang)
    }

    /// Returns the states of the tasks of a task's step, none if its occurrence is not open.
    #[must_use]
    pub fn tasks_of_step(&self, key: &TaskKey) -> Option<&TaskTable> {
        let occurrence = self.occurrences.get(&key.occurrence)?;
        let step = occurrence.steps.get(usize::from(key.step))?;
        Some(&step.tasks)
    }

    /// Drops the states of finished tasks around a task.
    pub(crate) fn compact(&mut self, key: &TaskKey) {
        if let Some(step) = self.step_state(key) {
            step.tasks.compact(key.index as usize);
        }
    }

    /// Returns the state of a task's step.
    pub fn step_state(&mut self, key: &TaskKey) -> Option<&mut LiveStep> {
        let occurrence = self.occurrences.get_mut(&key.occurrence)?;
        occurrence.steps.get_mut(usize::from(key.step))
    }

    /// Returns the state of a task.
    pub fn task(&mut self, key: &TaskKey) -> Option<&mut LiveTask> {
        let step = self.step_state(key)?;
        step.tasks.get_mut(usize::try_from(key.index).ok()?)
    }

    /// Marks a task as finished and updates the steps that depend on it; returns false if it
    /// already was finished.
    pub fn finish(&mut self, key: &TaskKey) -> bool {
        let Some(task) = self.task(key) else {
            return false;
        };
        if task.done {
            return false;
        }
        task.done = true;
        if let Some(step) = self.step_state(key) {
            step.done += 1;
            step.tasks.compact(key.index as usize);
        }
        self.update_ready(key.occurrence);
        self.drop_finished(key.occurrence);
        true
    }

    /// Marks several tasks of the step of `key` as finished.
    pub(crate) fn finish_all(&mut self, key: &TaskKey, indexes: &IndexRanges) {
        let Some(step) = self.step_state(key) else {
            return;
        };
        step.done += step.tasks.finish(indexes);
        self.update_ready(key.occurrence);
        self.drop_finished(key.occurrence);
    }

    fn update_ready(&mut self, number: u32) {
        let Some(occurrence) = self.occurrences.get_mut(&number) else {
            return;
        };
        let done = occurrence.done_steps();
        let steps = self.accepted.job.steps.iter();
        for (step, state) in steps.zip(&mut occurrence.steps) {
            if !state.ready && step.after.iter().all(|on| done.contains(on)) {
                state.ready = true;
            }
        }
        let steps = &self.accepted.job.steps;
        let duration = |step: &Step| {
            let number = steps.iter().position(|each| std::ptr::eq(each, step));
            number.map_or(Duration::ZERO, |number| self.durations[number])
        };
        occurrence.remaining = self.accepted.job.critical_path(&done, duration);
    }

    /// Returns whether all tasks of all occurrences have finished, and none will become due.
    #[must_use]
    pub fn finished(&self) -> bool {
        !self.has_future() && self.occurrences.values().all(Occurrence::finished)
    }

    /// Returns whether a task waits for a run.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        let steps = self.occurrences.values().flat_map(|each| &each.steps);
        let mut open = steps.filter(|step| step.ready);
        self.ended.is_none() && open.any(LiveStep::has_pending)
    }

    /// Returns the largest number of workers that a waiting gang without a limit for each worker
    /// needs, where `fitting` tasks of its step fit on one.
    pub(crate) fn gang_workers(&self, fitting: impl Fn(&Step) -> u32) -> usize {
        let occurrences = self.occurrences.values();
        let all = occurrences.flat_map(|each| self.accepted.job.steps.iter().zip(&each.steps));
        let waiting = all.filter(|(step, state)| {
            let shared = step.gang && step.per_worker == 0 && !step.long_running;
            shared && state.ready && state.pending_count() == state.tasks.len()
        });
        let workers = waiting.map(|(step, _)| step.count.div_ceil(fitting(step).max(1)) as usize);
        workers.max().unwrap_or_default()
    }

    /// Returns the largest number of workers that the waiting tasks of one step need which is
    /// long-running, or a gang with a limit for each worker, without those for which `has_worker`
    /// is true, by label that the workers must have. A gang that needs more than `most` workers in
    /// all can never start and needs none.
    pub(crate) fn missing_workers(
        &self,
        most: usize,
        has_worker: impl Fn(&TaskKey) -> bool,
    ) -> BTreeMap<Option<Arc<str>>, usize> {
        let mut workers: BTreeMap<Option<Arc<str>>, usize> = BTreeMap::new();
        for (number, occurrence) in &self.occurrences {
            let steps = self.accepted.job.steps.iter().zip(&occurrence.steps);
            for (index, (step, state)) in (0_u16..).zip(steps) {
                let needed = step.count.div_ceil(step.per_worker.max(1)) as usize;
                let gang = step.gang && step.per_worker > 0 && needed <= most;
                let spread = step.long_running || gang;
                if spread && state.ready {
                    let lacks_worker = |task: &u32| {
                        !has_worker(&TaskKey {
                            job: self.id.clone(),
                            occurrence: *number,
                            step: index,
                            index: *task,
                        })
                    };
                    let waiting = state.pending().filter(lacks_worker);
                    let waiting = waiting.take(MAX_CONSIDERED).count();
                    let needed = waiting.div_ceil(step.per_worker.max(1) as usize);
                    let most = workers.entry(step.label.clone()).or_default();
                    *most = needed.max(*most);
                }
            }
        }
        workers
    }

    /// Returns the predicted work of tasks that have not finished, in core-seconds.
    #[must_use]
    pub fn work_left(&self) -> f64 {
        self.work_by_label(|_| true).map(|(_, work)| work).sum()
    }

    /// Returns the predicted work of unfinished tasks by the label that their worker must have; a
    /// label may occur more than once. Only the steps for which `counts` is true count.
    pub fn work_by_label(
        &self,
        counts: impl Fn(&Step) -> bool + Copy,
    ) -> impl Iterator<Item = (Option<&Arc<str>>, f64)> {
        self.occurrences.values().flat_map(move |occurrence| {
            let steps = self.accepted.job.steps.iter().zip(&self.durations);
            let states = steps.zip(&occurrence.steps);
            let states = states.filter(move |((step, _), _)| counts(step));
            states.map(|((step, duration), state)| {
                let count = state.tasks.len() as f64 - f64::from(state.done);
                let work = count * step.need.cpu as f64 / 1_000.0 * duration.as_secs_f64();
                (step.label.as_ref(), work)
            })
        })
    }

    /// Returns the state that callers see; a job counts as ended once its final state is stored.
    #[must_use]
    pub fn state(&self) -> JobState {
        match self.ended {
            Some(how) if self.stored => JobState::Ended(how),
            _ if self.started => JobState::Running,
            _ => JobState::Pending,
        }
    }
}
