//! Waiting jobs that pass to a cell which can start them sooner.
//!
//! Load pattern: a cell loses most workers of a pool for good, or gets far more work than others.
//! Its jobs would wait for many seconds beside idle workers of other cells. Between cells that are
//! equally loaded, as in a burst that fills them all, nothing passes, and a cell that is busy itself
//! gets nothing.
//!
//! A job passes at most once and only while nothing of it can be running, with the progress that it
//! has made, so it never runs in two cells and never returns.

use std::time::Duration;

use nutmegcart_model::PoolName;
use serde::Deserialize;
use serde::Serialize;

use crate::job::JobId;
use crate::live_job::LiveJob;
use crate::live_job::LiveStep;
use crate::rank::Rank;
use crate::rank::rank;
use crate::record::AcceptedJob;
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Time that a job waits in its own cell first; a placement pass or a new worker may start it.
const MIN_WAIT: Duration = Duration::from_secs(1);
/// Difference between the waits of two cells below which no job passes. Moving a machine to
/// another pool takes about as long.
const MIN_GAIN: Duration = Duration::from_secs(2);
/// Wait of a cell above which it gets no jobs. Beyond it, late jobs of one cell would only delay
/// those of another that can still be on time.
const MAX_TARGET_WAIT: Duration = Duration::from_secs(1);
/// Maximum number of tasks of a job that passes, since its record lists those that may have been started.
const MAX_WIDTH: u64 = 10_000;
/// Jobs that pass in one round, each with a transaction of its own.
pub const MAX_PASSED: usize = 16;

/// Work and capacity of a cell in one pool, without long-running tasks.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Pool whose jobs and workers are counted.
    pub pool: PoolName,
    /// Predicted work of jobs that have not ended, in milliseconds of one core.
    pub work_ms: u64,
    /// Processor of usable workers that long-running tasks leave, and of machines of the spare pool
    /// that can join them, in thousandths of a core.
    pub cpu: u64,
}

impl PoolLoad {
    /// Returns the time in which the workers finish the work; `None` without any worker.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_jobs::passing::PoolLoad;
    /// let mut load = PoolLoad { pool: "gates".into(), work_ms: 9_000, cpu: 4_500 };
    /// assert_eq!(load.wait(), Some(Duration::from_secs(2)));
    /// load.cpu = 0;
    /// assert_eq!(load.wait(), None);
    /// ```
    #[must_use]
    pub const fn wait(&self) -> Option<Duration> {
        match (self.work_ms * 1_000).checked_div(self.cpu) {
            Some(millis) => Some(Duration::from_millis(millis)),
            None => None,
        }
    }

    /// Returns the processor that is missing to finish the work in [`MAX_TARGET_WAIT`].
    fn lack(&self) -> u64 {
        let wait = u64::try_from(MAX_TARGET_WAIT.as_millis()).unwrap_or(u64::MAX);
        let wanted = self.work_ms.saturating_mul(1_000) / wait.max(1);
        wanted.saturating_sub(self.cpu)
    }
}

/// Latest load of another cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellLoad {
    /// Number of the cell.
    pub cell: u32,
    /// Load by pool.
    pub pools: Vec<PoolLoad>,
}

/// A job that is to pass to another cell.
#[derive(Clone, Debug, PartialEq)]
pub struct JobPass {
    /// Identifier of the job, under which the other cell stores it too.
    pub job: JobId,
    /// Number of the cell that it passes to.
    pub cell: u32,
    /// Revision of its key in the store.
    pub revision: i64,
    /// Job as it is stored in the other cell.
    pub accepted: AcceptedJob,
}

/// Outcome of a transaction that passes a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PassOutcome {
    /// The store holds the job in the other cell.
    Passed,
    /// The job stays; it may be stored under a later revision.
    Kept(Option<i64>),
}

fn work_ms(job: &LiveJob) -> u64 {
    let millis = Duration::try_from_secs_f64(job.work_left()).unwrap_or_default();
    u64::try_from(millis.as_millis()).unwrap_or(u64::MAX)
}

fn is_batch(job: &LiveJob) -> bool {
    job.ended.is_none() && !job.accepted.job.is_long_running()
}

/// Returns the processor of a worker that long-running tasks leave to others.
pub(crate) fn batch_cpu(worker: &Worker) -> u64 {
    let long_running = worker.runs.values().filter(|run| run.long_running);
    let used = long_running
        .map(|run| run.allocation.cpu)
        .fold(0, u64::saturating_add);
    worker.listing.capacity.cpu.saturating_sub(used)
}

impl Scheduler {
    /// Returns the load of every pool that has work or workers.
    #[must_use]
    pub fn pool_loads(&self, now: Duration) -> Vec<PoolLoad> {
        let mut loads: Vec<PoolLoad> = Vec::new();
        let serving = self.pools.iter().filter(|(_, config)| !config.spare);
        for (pool, _) in serving {
            let jobs = self.jobs.values();
            let jobs = jobs.filter(|job| job.pool == *pool && is_batch(job));
            let workers = self.workers.values();
            let workers =
                workers.filter(|worker| worker.listing.pool == *pool && worker.usable(now));
            loads.push(PoolLoad {
                pool: pool.clone(),
                work_ms: jobs.map(work_ms).fold(0, u64::saturating_add),
                cpu: workers.map(batch_cpu).fold(0, u64::saturating_add),
            });
        }
        let lacks: Vec<u64> = loads.iter().map(PoolLoad::lack).collect();
        let lacking = lacks.iter().copied().fold(0, u64::saturating_add);
        let spare_cpu = self.spare_cpu(now);
        for (load, lack) in loads.iter_mut().zip(lacks) {
            // Machines that other pools need do not join this one.
            let others = lacking.saturating_sub(lack);
            load.cpu = load.cpu.saturating_add(spare_cpu.saturating_sub(others));
        }
        loads.retain(|load| load.work_ms > 0 || load.cpu > 0);
        loads
    }

    /// Returns the processor of the machines of the spare pool that may get an order.
    fn spare_cpu(&self, now: Duration) -> u64 {
        let is_spare = |pool: &PoolName| self.pools.get(pool).is_some_and(|config| config.spare);
        let machines = self.machines.known.values();
        let available =
            machines.filter(|machine| is_spare(&machine.pool) && self.may_order(machine, now));
        let capacities = available.map(|machine| machine.capacity.cpu);
        capacities.fold(0, u64::saturating_add)
    }

    /// Returns whether the job waits, and nothing of it can be running under any owner.
    fn may_pass(&self, job: &LiveJob, now: Duration) -> bool {
        let occurrences = job.occurrences.values();
        let mut steps = occurrences.flat_map(|occurrence| &occurrence.steps);
        is_batch(job)
            && !job.passing
            && job.accepted.job.schedule.is_none()
            && job.accepted.waited_ms == 0
            && job.width() <= MAX_WIDTH
            && now >= job.accepted_at + MIN_WAIT
            && job.has_pending()
            && !steps.any(LiveStep::has_live_runs)
            && !self.is_blocked(job)
    }

    /// Returns whether the loads of other cells have to be known.
    #[must_use]
    pub fn has_jobs_to_pass(&self, now: Duration) -> bool {
        let overloaded = |load: &PoolLoad| load.wait().is_none_or(|wait| wait > MIN_GAIN);
        let loads = self.pool_loads(now);
        let mut loads = loads.iter().filter(|load| overloaded(load));
        loads.any(|load| {
            let mut jobs = self.jobs.values();
            jobs.any(|job| job.pool == load.pool && self.may_pass(job, now))
        })
    }

    /// Chooses the jobs that pass to other cells, and keeps their tasks from being started here.
    ///
    /// Those go that would be started last. `others` are the latest loads of other cells; each of
    /// the `cells` may pass jobs at the same time.
    pub fn begin_passes(&mut self, others: &[CellLoad], cells: u32, now: Duration) -> Vec<JobPass> {
        let mut passes = Vec::new();
        for own in self.pool_loads(now) {
            passes.extend(self.choose_passes(own, others, u64::from(cells), now));
        }
        passes.truncate(MAX_PASSED);
        for pass in &passes {
            if let Some(job) = self.jobs.get_mut(&pass.job) {
                job.passing = true;
            }
        }
        passes
    }

    fn choose_passes(
        &self,
        mut own: PoolLoad,
        others: &[CellLoad],
        cells: u64,
        now: Duration,
    ) -> Vec<JobPass> {
        let mut targets: Vec<(u32, PoolLoad)> = Vec::new();
        for other in others {
            let load = other.pools.iter().find(|load| load.pool == own.pool);
            targets.extend(load.map(|load| (other.cell, load.clone())));
        }
        let mut candidates: Vec<(Rank, &LiveJob)> = Vec::new();
        for job in self.jobs.values() {
            if job.pool == own.pool
                && self.may_pass(job, now)
                && let Some(occurrence) = job.occurrences.values().next()
            {
                candidates.push((rank(job, occurrence, job.work, 1.0, now), job));
            }
        }
        candidates.sort_by(|a, b| b.0.compare(&a.0).then_with(|| a.1.id.cmp(&b.1.id)));
        let mut passes = Vec::new();
        for (_, job) in candidates.into_iter().take(MAX_PASSED) {
            let with_room = targets
                .iter_mut()
                .filter(|(_, load)| load.wait().is_some_and(|wait| wait <= MAX_TARGET_WAIT));
            let Some((cell, target)) = with_room.min_by_key(|(cell, load)| (load.wait(), *cell))
            else {
                break;
            };
            let gain = match (own.wait(), target.wait()) {
                (Some(own), Some(target)) => own.saturating_sub(target),
                _ => MIN_GAIN,
            };
            if gain < MIN_GAIN {
                break;
            }
            let work = work_ms(job);
            own.work_ms = own.work_ms.saturating_sub(work);
            // Other cells may pass as much to the same one in this round.
            target.work_ms += work * cells.max(1);
            let waited = now.saturating_sub(job.accepted_at).as_millis();
            passes.push(JobPass {
                job: job.id.clone(),
                cell: *cell,
                revision: job.revision,
                accepted: AcceptedJob {
                    waited_ms: u64::try_from(waited).unwrap_or(u64::MAX),
                    // All tasks that may have been started.
                    progress: job.progress(|task| task.done || task.last_run > 0),
                    ..job.accepted.clone()
                },
            });
        }
        passes
    }

    /// Records the outcome of a transaction that passes a job.
    pub fn finish_pass(&mut self, id: &JobId, outcome: PassOutcome) {
        match outcome {
            PassOutcome::Passed => {
                self.jobs.remove(id);
            }
            PassOutcome::Kept(revision) => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.passing = false;
                    job.revision = revision.unwrap_or(job.revision);
                }
            }
        }
    }
}
