//! Why waiting long-running tasks are not started.
//!
//! The reasons are computed on demand from the state that placement decides on, with the same
//! predicates.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt::Display;
use std::time::Duration;

use derive_more::Display;
use nutmegcart_model::Event;
use nutmegcart_model::PoolName;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;

use crate::assignments::is_assigned;
use crate::job::Step;
use crate::job::TaskKey;
use crate::live_job::LiveJob;
use crate::live_job::LiveStep;
use crate::live_job::MAX_CONSIDERED;
use crate::live_task::LiveTask;
use crate::placement::waited_to_return;
use crate::scheduler::Scheduler;
use crate::slot::Constraints;
pub use crate::slot::Rejection;
use crate::slot::Slots;
pub use crate::worker::Unusable;
use crate::worker::Worker;
use crate::worker::millis;

/// Time that a long-running task waits before a line tells why.
pub const WAIT_LOG_DELAY: Duration = Duration::from_secs(1);
/// Waiting tasks of a pool for which the reason is computed, those that have waited longest.
pub const MAX_REASONS: usize = 50;

/// Number of workers by cause.
pub type Counts<T> = BTreeMap<T, usize>;

/// Why a waiting long-running task is not started.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum WaitReason {
    /// An earlier owner may have started it on a worker that has not answered this owner.
    #[display("blocked")]
    Blocked {
        /// The worker that blocks it for longest.
        worker: WorkerId,
        /// Since when this owner has waited for the worker.
        since: Duration,
        /// When the worker's runs count as ended at the latest, if this owner remains the only one.
        until: Duration,
        /// Number of workers that block it.
        workers: usize,
    },
    /// It was started before, and this owner is no longer certainly the only one.
    #[display("ownership")]
    Ownership,
    /// Its queue was moved to another pool, and the stored cell state does not tell so yet.
    #[display("unstored")]
    UnstoredMove,
    /// The stored cell state does not name the worker that is reserved for it yet.
    #[display("unstored")]
    Unstored(WorkerId),
    /// It has failed wherever it started, and waits for its next attempt.
    #[display("backoff")]
    Backoff {
        /// Runs that failed since it was last at work.
        failures: u32,
        /// Time left until it may start.
        left: Duration,
    },
    /// Its organisation may have nothing more running in this cell.
    #[display("organisation's limit")]
    OrganisationLimit,
    /// No worker of its pool is usable.
    #[display("unusable")]
    NoneUsable(Counts<Unusable>),
    /// Another task of its gang may still be live; they start together.
    #[display("gang")]
    Gang,
    /// No usable worker admits it.
    #[display("rejected")]
    NoneAdmits(Counts<Rejection>),
    /// A usable worker admits it, so a placement pass starts it, unless other work takes the room
    /// or its gang does not fit as a whole.
    #[display("startable")]
    Startable,
}

impl WaitReason {
    /// Texts of all reasons, which are the values of a metric's label.
    pub const LABELS: [&str; 9] = [
        "blocked",
        "ownership",
        "unstored",
        "backoff",
        "organisation's limit",
        "unusable",
        "gang",
        "rejected",
        "startable",
    ];

    /// Returns the worker that blocks the task or is reserved for it, the failed runs after which it
    /// waits, or the causes with their numbers of workers.
    ///
    /// ```
    /// # use nutmegcart_jobs::WaitReason;
    /// # use nutmegcart_jobs::waiting::Unusable;
    /// let reason = WaitReason::NoneUsable([(Unusable::Draining, 2)].into());
    /// assert_eq!(reason.details(), "draining: 2");
    /// ```
    #[must_use]
    pub fn details(&self) -> String {
        match self {
            Self::Blocked { worker, .. } | Self::Unstored(worker) => worker.to_string(),
            Self::Backoff { failures, left } => {
                format!("failed runs: {failures}, left: {} ms", millis(*left))
            }
            Self::NoneUsable(counts) => format_counts(counts),
            Self::NoneAdmits(counts) => format_counts(counts),
            Self::Ownership
            | Self::UnstoredMove
            | Self::OrganisationLimit
            | Self::Gang
            | Self::Startable => String::new(),
        }
    }
}

/// A waiting long-running task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingTask {
    /// The task.
    pub task: TaskKey,
    /// Since when it has waited for a start under this owner.
    pub since: Duration,
    /// Why it is not started.
    pub reason: WaitReason,
}

/// Waiting long-running tasks of a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingPool {
    /// Pool of the tasks.
    pub pool: PoolName,
    /// Number of waiting tasks.
    pub total: usize,
    /// The first [`MAX_REASONS`] of them, those that have waited longest first.
    pub tasks: Vec<WaitingTask>,
}

impl Scheduler {
    /// Returns whether an earlier owner may have started tasks of the job on a worker that has not
    /// answered this owner, so that none of its tasks may be started without a stored assignment.
    pub(crate) fn is_blocked(&self, job: &LiveJob) -> bool {
        job.inherited && self.unreached_workers(job).next().is_some()
    }

    /// Returns whether the job is blocked and none of its steps is assigned.
    pub(crate) fn is_wholly_blocked(&self, job: &LiveJob) -> bool {
        let mut steps = job.accepted.job.steps.iter();
        !steps.any(is_assigned) && self.is_blocked(job)
    }

    /// Returns whether any task of the job may not be started because of a worker that has not
    /// answered this owner.
    pub(crate) fn has_blocked_tasks(&self, job: &LiveJob) -> bool {
        let mut steps = job.accepted.job.steps.iter();
        if !steps.all(is_assigned) {
            return self.is_blocked(job);
        }
        let waiting = self.waiting_tasks(job);
        let mut waiting = waiting.iter();
        waiting.any(|(_, task)| self.blockers(job, task).next().is_some())
    }

    /// Returns the number of workers that have not answered this owner, and on which an earlier
    /// owner may have started tasks.
    #[must_use]
    pub fn blocking_workers(&self) -> usize {
        let unreached = |worker: &&Worker| worker.is_unreached();
        self.workers.values().filter(unreached).count()
    }

    /// Returns the waiting long-running tasks by pool, with the reasons why they wait.
    #[must_use]
    pub fn waiting_long_running(&self, now: Duration) -> Vec<WaitingPool> {
        let mut pools: BTreeMap<PoolName, (usize, Vec<(Duration, TaskKey)>)> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.ended.is_none()) {
            let count = Self::waiting_count(job);
            if count > 0 {
                let (total, tasks) = pools.entry(job.pool.clone()).or_default();
                *total += count;
                tasks.extend(self.waiting_tasks(job));
                tasks.sort();
                tasks.truncate(MAX_REASONS);
            }
        }
        let pools = pools.into_iter().map(|(pool, (total, tasks))| {
            let mut slots = self.slots_of_pool(&pool, now);
            self.set_reservations_aside(&mut slots);
            let explained = tasks.into_iter().filter_map(|(since, task)| {
                let reason = self.reason(&pool, &slots, &task, now)?;
                Some(WaitingTask {
                    task,
                    since,
                    reason,
                })
            });
            WaitingPool {
                total,
                tasks: explained.collect(),
                pool,
            }
        });
        pools.collect()
    }

    /// Returns the number of waiting long-running tasks of a job.
    fn waiting_count(job: &LiveJob) -> usize {
        let occurrences = job.occurrences.values();
        let steps = occurrences.flat_map(|each| job.accepted.job.steps.iter().zip(&each.steps));
        let waiting = steps.filter(|(step, state)| step.long_running && state.ready);
        waiting.map(|(_, state)| state.pending_count()).sum()
    }

    /// Returns waiting long-running tasks of a job, with the times since when they wait. Of each step
    /// they are at most [`MAX_CONSIDERED`].
    pub(crate) fn waiting_tasks(&self, job: &LiveJob) -> Vec<(Duration, TaskKey)> {
        let mut waiting = Vec::new();
        for (number, occurrence) in &job.occurrences {
            let steps = job.accepted.job.steps.iter().zip(&occurrence.steps);
            for (index, (step, state)) in (0_u16..).zip(steps) {
                if !step.long_running || !state.ready {
                    continue;
                }
                let before = step.after.iter();
                let before = before.filter_map(|on| occurrence.steps.get(usize::from(*on)));
                let ready_since = before.filter_map(LiveStep::latest_end).max();
                let considered = state.pending().take(MAX_CONSIDERED);
                waiting.extend(considered.map(|task| {
                    let since = state.tasks[task as usize].waiting_since;
                    let since = ready_since.map_or(since, |ready| since.max(ready));
                    let key = TaskKey {
                        job: job.id.clone(),
                        occurrence: *number,
                        step: index,
                        index: task,
                    };
                    // How long the task waited under earlier owners is not known.
                    (since.max(self.taken_over_at), key)
                }));
            }
        }
        waiting
    }

    fn reason(
        &self,
        pool: &PoolName,
        slots: &Slots,
        key: &TaskKey,
        now: Duration,
    ) -> Option<WaitReason> {
        let job = self.jobs.get(&key.job)?;
        let state = job
            .occurrences
            .get(&key.occurrence)?
            .steps
            .get(usize::from(key.step))?;
        let task = state.tasks.get(usize::try_from(key.index).ok()?)?;
        let step = job.step(key)?;
        if let Some(blocked) = self.blocked(job, key) {
            return Some(blocked);
        }
        if self.has_unstored_move(job) {
            return Some(WaitReason::UnstoredMove);
        }
        if !task.may_start(self.is_exclusive(now)) {
            return Some(WaitReason::Ownership);
        }
        if let Some(backoff) = self.backoff(job, key, now) {
            return Some(WaitReason::Backoff {
                failures: backoff.failures,
                left: backoff.left(now),
            });
        }
        if let Some(worker) = self.assignments.reserved(key) {
            return Some(WaitReason::Unstored(worker.clone()));
        }
        let together = if step.gang { step.count } else { 1 };
        if !self.limit_admits(job, step, together) {
            return Some(WaitReason::OrganisationLimit);
        }
        if slots.items.is_empty() {
            let workers = self.workers.values();
            let of_pool = workers.filter(|worker| worker.listing.pool == *pool);
            let causes = of_pool.filter_map(|worker| worker.unusable(now));
            return Some(WaitReason::NoneUsable(count(causes)));
        }
        if step.gang && state.pending_count() != step.count as usize {
            return Some(WaitReason::Gang);
        }
        Some(self.rejections(slots, key, step, task, now))
    }

    fn blocked(&self, job: &LiveJob, task: &TaskKey) -> Option<WaitReason> {
        let end = |worker: &Worker| {
            let known = self.leases_end(worker);
            known.unwrap_or_else(|| self.inherited_runs_end(worker))
        };
        let last = self.blockers(job, task).max_by_key(|each| end(each))?;
        Some(WaitReason::Blocked {
            worker: last.listing.id.clone(),
            since: self.taken_over_at,
            until: end(last),
            workers: self.blockers(job, task).count(),
        })
    }

    fn rejections(
        &self,
        slots: &Slots,
        key: &TaskKey,
        step: &Step,
        task: &LiveTask,
        now: Duration,
    ) -> WaitReason {
        let job = self.jobs.get(&key.job);
        let ticketed = job.is_some_and(|job| job.accepted.queue.ticket_timing.is_some());
        let permits = |worker: &WorkerId| self.tickets.get(key, worker, now).is_some();
        let runs: HashMap<WorkerId, u32> = self.runs_per_worker(key);
        let acceptable = waited_to_return(task, step, now) || slots.may_relax_avoid();
        let constraints = Constraints {
            avoid: task.avoid.as_ref().filter(|_| !acceptable),
            preferred_rack: None,
            runs_per_worker: &runs,
            tickets: ticketed.then_some(&permits as &dyn Fn(&WorkerId) -> bool),
        };
        let obstacles = slots.items.iter();
        let obstacles: Vec<Rejection> = obstacles
            .filter_map(|slot| slot.obstacle(step, &constraints))
            .collect();
        if obstacles.len() < slots.items.len() {
            return WaitReason::Startable;
        }
        WaitReason::NoneAdmits(count(obstacles))
    }

    /// Logs for each pool why the long-running task that has waited longest is not started, if it
    /// has waited for [`WAIT_LOG_DELAY`].
    pub fn log_waiting(&self, cell: u32, pools: &[WaitingPool], now: Duration) {
        for pool in pools {
            let Some(first) = pool.tasks.first() else {
                continue;
            };
            let age = now.saturating_sub(first.since);
            if age < WAIT_LOG_DELAY {
                continue;
            }
            if let WaitReason::Blocked {
                worker,
                since,
                until,
                workers,
            } = &first.reason
            {
                let silent = self.workers.get(worker);
                let silent = silent.and_then(|worker| worker.unreachable_since);
                log_event!(
                    Event::TaskWaiting,
                    cell = cell,
                    pool = pool.pool,
                    task = first.task,
                    tasks = pool.total,
                    age_ms = millis(age),
                    reason = first.reason,
                    worker = worker,
                    workers = workers,
                    blocked_ms = millis(now.saturating_sub(*since)),
                    silent_ms = millis(silent.map_or(Duration::ZERO, |at| now.saturating_sub(at))),
                    left_ms = millis(until.saturating_sub(now)),
                );
                continue;
            }
            if let WaitReason::Backoff { failures, left } = &first.reason {
                log_event!(
                    Event::TaskWaiting,
                    cell = cell,
                    pool = pool.pool,
                    task = first.task,
                    tasks = pool.total,
                    age_ms = millis(age),
                    reason = first.reason,
                    failures = failures,
                    left_ms = millis(*left),
                );
                continue;
            }
            log_event!(
                Event::TaskWaiting,
                cell = cell,
                pool = pool.pool,
                task = first.task,
                tasks = pool.total,
                age_ms = millis(age),
                reason = first.reason,
                causes = first.reason.details(),
            );
            if matches!(
                first.reason,
                WaitReason::NoneUsable(_) | WaitReason::NoneAdmits(_)
            ) {
                self.log_shortage(cell, &pool.pool, now);
            }
        }
    }
}

fn count<T: Ord>(causes: impl IntoIterator<Item = T>) -> Counts<T> {
    let mut counts = Counts::new();
    for cause in causes {
        *counts.entry(cause).or_default() += 1;
    }
    counts
}

/// Formats counts as `cause: count`, separated by commas.
fn format_counts<T: Display>(counts: &Counts<T>) -> String {
    let texts: Vec<String> = counts
        .iter()
        .map(|(cause, count)| format!("{cause}: {count}"))
        .collect();
    texts.join(", ")
}
