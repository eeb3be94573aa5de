//! Scheduling round: places, moves and ends tasks.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use nutmegcart_model::JobName;
use nutmegcart_model::PoolName;
use nutmegcart_model::TeamName;
use nutmegcart_model::WorkerId;
use nutmegcart_model::record::Team;

use crate::job_scheduling_state::JobSchedulingState;
use crate::placement::RackSpread;
use crate::placement::Reservation;
use crate::placement::WorkerLoad;
use crate::placement::best_worker;
use crate::quarantine::FailureTracker;
use crate::quota::QuotaLedger;
use crate::resources::Resources;
use crate::scheduler_action::SchedulerAction;
use crate::task::Task;
use crate::task::TaskPhase;
use crate::task_scheduler::SchedulerSettings;
use crate::task_scheduler::SchedulerState;
use crate::task_scheduler::TRIAL_INTERVAL;
use crate::task_scheduler::TaskScheduler;
use crate::task_scheduler::TrackedWorker;

/// Factor by which the gain of a move must exceed its cost.
const MOVE_GAIN_FACTOR: f64 = 2.0;

/// Data of a job that is used during one round only.
#[derive(Debug, Default)]
pub(crate) struct RoundJob {
    /// Size to reserve for a task.
    pub size: Resources,
    /// Index of the pool; none if the pool has no workers.
    pub pool: Option<usize>,
    /// Tasks that may be retried now.
    pub retries: VecDeque<u32>,
    /// First task without an attempt that this round has not considered yet.
    pub cursor: u32,
    /// Number of running tasks in each rack.
    pub spread: RackSpread,
    pub urgent: bool,
    pub idempotent: bool,
    pub checkpoint: bool,
}

impl RoundJob {
    /// Returns whether running tasks of the job may be ended to free resources for others.
    pub fn is_preemptible(&self) -> bool {
        !self.urgent && (self.checkpoint || self.idempotent)
    }
}

/// The scheduler's state, indexed for one round.
pub(crate) struct SchedulingRound<'a> {
    pub now: Duration,
    pub settings: &'a SchedulerSettings,
    pub jobs: Vec<(&'a JobName, &'a mut JobSchedulingState)>,
    /// Data of each job for this round, by the same index as `jobs`.
    pub round_jobs: Vec<RoundJob>,
    pub workers: &'a mut [TrackedWorker],
    /// Load of each worker, by the same index as `workers`.
    pub loads: Vec<WorkerLoad>,
    /// Indexes of the workers of each pool.
    pub pools: Vec<Vec<usize>>,
    pub ledger: QuotaLedger,
    pub teams: &'a BTreeMap<TeamName, Team>,
    pub failures: &'a FailureTracker,
    /// Last operation number that was used.
    pub counter: &'a mut u64,
    pub needs_write: &'a mut bool,
}

impl<'a> SchedulingRound<'a> {
    /// Runs one round and appends its actions.
    pub fn run(
        scheduler: &'a mut TaskScheduler,
        now: Duration,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let mut round = Self::new(scheduler, now);
        round.relieve_overload(actions);
        round.empty_leaving_workers();
        round.start_urgent(actions);
        round.lift_throttles(actions);
        round.start_deferrable();
        round.move_for_blocked();
        round.emit_calls(actions);
    }

    fn new(scheduler: &'a mut TaskScheduler, now: Duration) -> Self {
        let TaskScheduler {
            settings,
            state,
            teams,
            workers,
            slots,
            pools: pool_indexes,
            needs_write,
            ..
        } = scheduler;
        let SchedulerState {
            counter,
            jobs,
            failures,
            ..
        } = state;
        let mut pools = vec![Vec::new(); pool_indexes.len()];
        for (slot, tracked) in workers.iter().enumerate() {
            pools[tracked.pool].push(slot);
        }
        let loads = workers
            .iter()
            .map(|tracked| worker_load(tracked, now, settings, failures))
            .collect();
        let mut round = Self {
            now,
            settings,
            jobs: jobs.iter_mut().collect(),
            round_jobs: Vec::new(),
            workers,
            loads,
            pools,
            ledger: QuotaLedger::default(),
            teams,
            failures,
            counter,
            needs_write,
        };
        round.reserve_live_tasks(slots, pool_indexes);
        round
    }

    /// Reserves resources for every task that may run, and ends tasks that are no longer wanted.
    fn reserve_live_tasks(
        &mut self,
        slots: &HashMap<WorkerId, usize>,
        pool_indexes: &HashMap<PoolName, usize>,
    ) {
        for (job_index, (_, job)) in self.jobs.iter_mut().enumerate() {
            let mut round_job = round_job(job, pool_indexes);
            for _ in &job.orphans {
                self.ledger.charge(&job.charge);
            }
            let mut unwanted = Vec::new();
            let indexes: Vec<u32> = job.tasks.keys().copied().collect();
            for index in indexes {
                let wanted = job.is_wanted(index);
                let Some(task) = job.tasks.get_mut(&index) else {
                    continue;
                };
                if !task.is_live() {
                    if !wanted {
                        unwanted.push(index);
                    } else if task.not_before <= self.now {
                        round_job.retries.push_back(index);
                    }
                    continue;
                }
                if !wanted && task.phase != TaskPhase::Stopping {
                    enter_phase(task, TaskPhase::Stopping, self.now);
                    *self.needs_write = true;
                }
                self.ledger.charge(&job.charge);
                let slot = task.worker.as_ref().and_then(|id| slots.get(id));
                let Some(&slot) = slot else {
                    continue;
                };
                let load = &mut self.loads[slot];
                let usage = self.workers[slot].usage.get(&task.attempt);
                let mut size = round_job.size.max(usage.copied().unwrap_or_default());
                if let Some(limit) = task.cpu_limit {
                    size.cpu = size.cpu.min(limit);
                }
                round_job.spread.add(load.rack);
                load.reserve(Reservation {
                    job: job_index,
                    index,
                    size,
                });
                if task.is_ending() {
                    load.ending += size;
                }
            }
            for index in unwanted {
                let before = job.tasks.len();
                job.close_unwanted(index);
                *self.needs_write |= job.tasks.len() != before;
            }
            self.round_jobs.push(round_job);
        }
    }

    /// Ends the tasks on leaving workers that can be saved or run again; the others run to their
    /// end.
    fn empty_leaving_workers(&mut self) {
        for slot in 0..self.loads.len() {
            if self.workers[slot].worker.leaving {
                for at in 0..self.loads[slot].reservations.len() {
                    self.end_task(slot, at);
                }
            }
        }
    }

    /// Starts deferrable tasks, one of each job in turn; jobs with the earliest last start go
    /// first.
    fn start_deferrable(&mut self) {
        let mut order: Vec<usize> = (0..self.jobs.len())
            .filter(|&job| !self.round_jobs[job].urgent && self.jobs[job].1.may_start(self.now))
            .collect();
        order.sort_by_key(|&job| self.jobs[job].1.last_start);
        let mut queue = VecDeque::from(order);
        while let Some(job) = queue.pop_front() {
            let Some(index) = self.next_task(job) else {
                self.jobs[job].1.blocked_since = None;
                continue;
            };
            if !self.ledger.allows(&self.jobs[job].1.charge, self.teams) {
                self.jobs[job].1.blocked_since = None;
                continue;
            }
            if let Some(slot) = self.choose_worker(job, index, WorkerLoad::spare) {
                self.start(job, index, slot);
                self.jobs[job].1.blocked_since = None;
                queue.push_back(job);
            } else {
                self.jobs[job].1.blocked_since.get_or_insert(self.now);
            }
        }
    }

    /// Moves tasks away for jobs that have waited long, if the gain exceeds the cost of the move.
    fn move_for_blocked(&mut self) {
        for job in 0..self.jobs.len() {
            let Some(since) = self.jobs[job].1.blocked_since else {
                continue;
            };
            let Some(pool) = self.round_jobs[job].pool else {
                continue;
            };
            let waited = self.now.saturating_sub(since);
            let is_ending = |&slot: &usize| self.loads[slot].ending != Resources::default();
            // A job with running tasks waits because the pool is full, and a move would not change
            // that.
            if self.jobs[job].1.tasks.values().any(Task::is_live) {
                continue;
            }
            if waited < self.settings.blocked_limit || self.pools[pool].iter().any(is_ending) {
                continue;
            }
            if let Some((slot, at)) = self.best_move(job, pool, waited) {
                let reservation = self.loads[slot].reservations[at];
                self.end_task(slot, at);
                let pinned_until = self.now + self.settings.move_cooldown;
                if let Some(task) = self.jobs[reservation.job]
                    .1
                    .tasks
                    .get_mut(&reservation.index)
                {
                    task.pinned_until = pinned_until;
                }
            }
        }
    }

    /// Returns worker and position of the cheapest task to move, if a move is worth its cost.
    ///
    /// The task must fit on another worker, and its move must free enough for the blocked job.
    fn best_move(&self, job: usize, pool: usize, waited: Duration) -> Option<(usize, usize)> {
        let size = self.round_jobs[job].size;
        let mut chosen: Option<(f64, usize, usize)> = None;
        for &slot in &self.pools[pool] {
            let load = &self.loads[slot];
            if !load.accepts() {
                continue;
            }
            let gain = waited.as_secs_f64() * size.share(load.capacity);
            for (at, &reservation) in load.reservations.iter().enumerate() {
                let share = reservation.size.share(load.capacity);
                let cost = MOVE_GAIN_FACTOR * self.settings.move_cost.as_secs_f64() * share;
                let movable = self
                    .task(reservation)
                    .is_some_and(|task| task.pinned_until <= self.now);
                if !self.round_jobs[reservation.job].checkpoint
                    || !self.can_end(reservation)
                    || !movable
                    || cost >= gain
                    || chosen.is_some_and(|(least, ..)| cost >= least)
                    || !size.fits(
                        load.capacity
                            .saturating_sub(load.reserved.saturating_sub(reservation.size)),
                    )
                {
                    continue;
                }
                let fits_elsewhere = self.pools[pool].iter().any(|&other| {
                    let load = &self.loads[other];
                    other != slot && load.accepts() && reservation.size.fits(load.spare())
                });
                if fits_elsewhere {
                    chosen = Some((cost, slot, at));
                }
            }
        }
        chosen.map(|(_, slot, at)| (slot, at))
    }

    /// Begins to end a running task, by a checkpoint if possible and otherwise by a stop.
    ///
    /// A task that can neither be checkpointed nor run again keeps running.
    pub fn end_task(&mut self, slot: usize, at: usize) {
        let reservation = self.loads[slot].reservations[at];
        let round_job = &self.round_jobs[reservation.job];
        let phase = match (round_job.checkpoint, round_job.idempotent) {
            (true, _) => TaskPhase::Checkpointing,
            (false, true) => TaskPhase::Stopping,
            (false, false) => return,
        };
        let Some(task) = self.jobs[reservation.job]
            .1
            .tasks
            .get_mut(&reservation.index)
        else {
            return;
        };
        if task.phase == TaskPhase::Running {
            enter_phase(task, phase, self.now);
            self.loads[slot].ending += reservation.size;
            *self.needs_write = true;
        }
    }

    pub fn task(&self, reservation: Reservation) -> Option<&Task> {
        self.jobs[reservation.job].1.tasks.get(&reservation.index)
    }

    /// Returns the next task of the job to start; retries come before tasks without an attempt.
    pub fn next_task(&mut self, job: usize) -> Option<u32> {
        if !self.jobs[job].1.may_start(self.now) {
            return None;
        }
        let round_job = &mut self.round_jobs[job];
        round_job.pool?;
        if let Some(index) = round_job.retries.pop_front() {
            return Some(index);
        }
        let state = &self.jobs[job].1;
        let index = state.next_unattempted(round_job.cursor)?;
        round_job.cursor = index + 1;
        Some(index)
    }

    /// Returns the index of the best worker for a task, with free resources as given by `room`.
    pub fn choose_worker(
        &self,
        job: usize,
        index: u32,
        room: fn(&WorkerLoad) -> Resources,
    ) -> Option<usize> {
        let round_job = &self.round_jobs[job];
        let pool = &self.pools[round_job.pool?];
        let (name, state) = &self.jobs[job];
        let task = state.tasks.get(&index);
        let job_has_failed = self.failures.has_failed(name);
        best_worker(
            &self.loads,
            pool,
            round_job.size,
            &round_job.spread,
            room,
            |slot| {
                let worker = &self.workers[slot].worker.id;
                let job_failed = job_has_failed && self.failures.has_failed_on(name, worker);
                let task_failed = task.is_some_and(|task| task.failed_workers.contains(worker));
                usize::from(job_failed) + usize::from(task_failed)
            },
        )
    }

    /// Starts a new attempt of a task on a worker.
    pub fn start(&mut self, job: usize, index: u32, slot: usize) {
        *self.counter += 1;
        *self.needs_write = true;
        let size = self.round_jobs[job].size;
        let tracked = &self.workers[slot];
        let state = &mut *self.jobs[job].1;
        let task = state.tasks.entry(index).or_default();
        task.attempt = *self.counter;
        task.worker = Some(tracked.worker.id.clone());
        task.boot = tracked.boot;
        task.granted_cpu = size.cpu;
        let idempotent = self.round_jobs[job].idempotent;
        task.lease_end = self.now + self.settings.start_lease(idempotent);
        task.granted_until = task.lease_end;
        enter_phase(task, TaskPhase::Starting, self.now);
        state.first_unattempted = state.first_unattempted.max(index + 1);
        state.last_start = self.now;
        state.next_trial = self.now + TRIAL_INTERVAL;
        self.ledger.charge(&state.charge);
        self.round_jobs[job].spread.add(self.loads[slot].rack);
        self.loads[slot].reserve(Reservation { job, index, size });
    }
}

fn worker_load(
    tracked: &TrackedWorker,
    now: Duration,
    settings: &SchedulerSettings,
    failures: &FailureTracker,
) -> WorkerLoad {
    let id = &tracked.worker.id;
    WorkerLoad {
        pool: tracked.pool,
        rack: tracked.rack,
        capacity: tracked.worker.capacity,
        accepting: !tracked.worker.leaving
            && !tracked.is_silent(now, settings)
            && !failures.is_quarantined(id),
        failure_streak: failures.failure_streak(id),
        ..WorkerLoad::default()
    }
}

fn round_job(job: &JobSchedulingState, pool_indexes: &HashMap<PoolName, usize>) -> RoundJob {
    let Some(spec) = &job.spec else {
        return RoundJob::default();
    };
    RoundJob {
        size: job.size(),
        pool: pool_indexes.get(&spec.pool).copied(),
        cursor: job.first_unattempted,
        urgent: spec.urgent,
        idempotent: spec.idempotent,
        checkpoint: spec.checkpoint,
        ..RoundJob::default()
    }
}

/// Puts a task into a phase whose call to the worker is due now.
pub(crate) fn enter_phase(task: &mut Task, phase: TaskPhase, now: Duration) {
    task.phase = phase;
    task.phase_start = now;
    task.last_call = None;
}
