//! One planning round over the scheduler's state.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use nutmegcart_model::JobName;
use nutmegcart_model::PoolName;
use nutmegcart_model::TeamName;
use nutmegcart_model::WorkerId;
use nutmegcart_model::record::Team;

use crate::job_state::JobState;
use crate::placement::RackSpread;
use crate::placement::Reservation;
use crate::placement::WorkerLoad;
use crate::placement::best;
use crate::quarantine::FailureTracker;
use crate::quota::QuotaLedger;
use crate::resources::Resources;
use crate::scheduler_action::SchedulerAction;
use crate::task::Task;
use crate::task::TaskPhase;
use crate::task_scheduler::SchedulerSettings;
use crate::task_scheduler::SchedulerState;
use crate::task_scheduler::TRIAL;
use crate::task_scheduler::TaskScheduler;
use crate::task_scheduler::TrackedWorker;

/// A move must gain this many times its cost.
const HYSTERESIS: f64 = 2.0;

/// A job during a round, next to its state.
#[derive(Debug, Default)]
pub(crate) struct RoundJob {
    /// Size to reserve for a task.
    pub size: Resources,
    /// Number of the pool, if the pool has workers.
    pub pool: Option<usize>,
    /// Tasks that wait for another attempt.
    pub retries: VecDeque<u32>,
    /// First task never attempted that was not considered in this round.
    pub cursor: u32,
    /// Tasks in each rack.
    pub spread: RackSpread,
    pub urgent: bool,
    pub idempotent: bool,
    pub checkpoint: bool,
}

impl RoundJob {
    /// Returns whether a running task may be ended to make room.
    pub fn gives_way(&self) -> bool {
        !self.urgent && (self.checkpoint || self.idempotent)
    }
}

/// The scheduler's state, indexed for one round.
pub(crate) struct SchedulingRound<'a> {
    pub now: Duration,
    pub settings: &'a SchedulerSettings,
    pub jobs: Vec<(&'a JobName, &'a mut JobState)>,
    pub entries: Vec<RoundJob>,
    pub stations: &'a mut [TrackedWorker],
    pub seats: Vec<WorkerLoad>,
    /// Seats of each pool.
    pub pools: Vec<Vec<usize>>,
    pub ledger: QuotaLedger,
    pub teams: &'a BTreeMap<TeamName, Team>,
    pub blame: &'a FailureTracker,
    pub counter: &'a mut u64,
    pub dirty: &'a mut bool,
}

impl<'a> SchedulingRound<'a> {
    /// Runs one round and appends its effects.
    pub fn run(
        scheduler: &'a mut TaskScheduler,
        now: Duration,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let mut pass = Self::open(scheduler, now);
        pass.relieve(actions);
        pass.empty_leaving();
        pass.start_urgent(actions);
        pass.restore(actions);
        pass.start_deferrable();
        pass.unblock();
        pass.call(actions);
    }

    fn open(scheduler: &'a mut TaskScheduler, now: Duration) -> Self {
        let TaskScheduler {
            settings,
            state,
            teams,
            stations,
            places,
            pools: numbers,
            dirty,
            ..
        } = scheduler;
        let SchedulerState {
            counter,
            jobs,
            blame,
            ..
        } = state;
        let mut pools = vec![Vec::new(); numbers.len()];
        for (number, station) in stations.iter().enumerate() {
            pools[station.pool].push(number);
        }
        let seats = stations
            .iter()
            .map(|station| seat(station, now, settings, blame))
            .collect();
        let mut pass = Self {
            now,
            settings,
            jobs: jobs.iter_mut().collect(),
            entries: Vec::new(),
            stations,
            seats,
            pools,
            ledger: QuotaLedger::default(),
            teams,
            blame,
            counter,
            dirty,
        };
        pass.enter(places, numbers);
        pass
    }

    /// Reserves room for every task that may run, and ends tasks that are not wanted.
    fn enter(&mut self, places: &HashMap<WorkerId, usize>, numbers: &HashMap<PoolName, usize>) {
        for (number, (_, job)) in self.jobs.iter_mut().enumerate() {
            let mut entry = entry(job, numbers);
            for _ in &job.orphans {
                self.ledger.charge(&job.charge);
            }
            let mut unwanted = Vec::new();
            let indexes: Vec<u32> = job.tasks.keys().copied().collect();
            for index in indexes {
                let wanted = job.wants(index);
                let Some(task) = job.tasks.get_mut(&index) else {
                    continue;
                };
                if !task.is_live() {
                    if !wanted {
                        unwanted.push(index);
                    } else if task.not_before <= self.now {
                        entry.retries.push_back(index);
                    }
                    continue;
                }
                if !wanted && task.phase != TaskPhase::Stopping {
                    begin(task, TaskPhase::Stopping, self.now);
                    *self.dirty = true;
                }
                self.ledger.charge(&job.charge);
                let place = task.worker.as_ref().and_then(|id| places.get(id));
                let Some(&place) = place else {
                    continue;
                };
                let seat = &mut self.seats[place];
                let usage = self.stations[place].usage.get(&task.attempt);
                let mut size = entry.size.max(usage.copied().unwrap_or_default());
                if let Some(limit) = task.limit {
                    size.cpu = size.cpu.min(limit);
                }
                entry.spread.add(seat.rack);
                seat.take(Reservation {
                    job: number,
                    index,
                    size,
                });
                if task.is_leaving() {
                    seat.leaving += size;
                }
            }
            for index in unwanted {
                let before = job.tasks.len();
                job.close(index);
                *self.dirty |= job.tasks.len() != before;
            }
            self.entries.push(entry);
        }
    }

    /// Ends tasks on workers that are to be emptied; others finish by themselves.
    fn empty_leaving(&mut self) {
        for place in 0..self.seats.len() {
            if self.stations[place].worker.leaving {
                for at in 0..self.seats[place].tasks.len() {
                    self.end(place, at);
                }
            }
        }
    }

    /// Starts deferrable tasks, one of each job in turn, the job that waited longest first.
    fn start_deferrable(&mut self) {
        let mut order: Vec<usize> = (0..self.jobs.len())
            .filter(|&job| !self.entries[job].urgent && self.jobs[job].1.may_start(self.now))
            .collect();
        order.sort_by_key(|&job| self.jobs[job].1.started);
        let mut queue = VecDeque::from(order);
        while let Some(job) = queue.pop_front() {
            let Some(index) = self.candidate(job) else {
                self.jobs[job].1.blocked = None;
                continue;
            };
            if !self.ledger.allows(&self.jobs[job].1.charge, self.teams) {
                self.jobs[job].1.blocked = None;
                continue;
            }
            if let Some(place) = self.choose(job, index, WorkerLoad::spare) {
                self.start(job, index, place);
                self.jobs[job].1.blocked = None;
                queue.push_back(job);
            } else {
                self.jobs[job].1.blocked.get_or_insert(self.now);
            }
        }
    }

    /// Moves a task away for one that waited long, if that gains more than the move costs.
    fn unblock(&mut self) {
        for job in 0..self.jobs.len() {
            let Some(since) = self.jobs[job].1.blocked else {
                continue;
            };
            let Some(pool) = self.entries[job].pool else {
                continue;
            };
            let waited = self.now.saturating_sub(since);
            let moving = |&place: &usize| self.seats[place].leaving != Resources::default();
            // A job that has tasks running waits because the pool is full, which no move changes.
            if self.jobs[job].1.tasks.values().any(Task::is_live) {
                continue;
            }
            if waited < self.settings.blocked || self.pools[pool].iter().any(moving) {
                continue;
            }
            if let Some((place, at)) = self.worthwhile(job, pool, waited) {
                let holding = self.seats[place].tasks[at];
                self.end(place, at);
                let settled = self.now + self.settings.settle;
                if let Some(task) = self.jobs[holding.job].1.tasks.get_mut(&holding.index) {
                    task.settled = settled;
                }
            }
        }
    }

    /// Returns a task that fits elsewhere and whose move makes room at a low enough cost.
    fn worthwhile(&self, job: usize, pool: usize, waited: Duration) -> Option<(usize, usize)> {
        let size = self.entries[job].size;
        let mut chosen: Option<(f64, usize, usize)> = None;
        for &place in &self.pools[pool] {
            let seat = &self.seats[place];
            if !seat.accepts() {
                continue;
            }
            let gain = waited.as_secs_f64() * size.share(seat.capacity);
            for (at, &holding) in seat.tasks.iter().enumerate() {
                let share = holding.size.share(seat.capacity);
                let cost = HYSTERESIS * self.settings.move_cost.as_secs_f64() * share;
                let settled = self
                    .task(holding)
                    .is_some_and(|task| task.settled <= self.now);
                if !self.entries[holding.job].checkpoint
                    || !self.can_end(holding)
                    || !settled
                    || cost >= gain
                    || chosen.is_some_and(|(least, ..)| cost >= least)
                    || !size.fits(
                        seat.capacity
                            .saturating_sub(seat.used.saturating_sub(holding.size)),
                    )
                {
                    continue;
                }
                let elsewhere = self.pools[pool].iter().any(|&other| {
                    let seat = &self.seats[other];
                    other != place && seat.accepts() && holding.size.fits(seat.spare())
                });
                if elsewhere {
                    chosen = Some((cost, place, at));
                }
            }
        }
        chosen.map(|(_, place, at)| (place, at))
    }

    /// Begins to end a running task: by a checkpoint if it can, else by stopping it.
    ///
    /// A task that is neither checkpointable nor idempotent is left running.
    pub fn end(&mut self, place: usize, at: usize) {
        let holding = self.seats[place].tasks[at];
        let entry = &self.entries[holding.job];
        let phase = match (entry.checkpoint, entry.idempotent) {
            (true, _) => TaskPhase::Checkpointing,
            (false, true) => TaskPhase::Stopping,
            (false, false) => return,
        };
        let Some(task) = self.jobs[holding.job].1.tasks.get_mut(&holding.index) else {
            return;
        };
        if task.phase == TaskPhase::Running {
            begin(task, phase, self.now);
            self.seats[place].leaving += holding.size;
            *self.dirty = true;
        }
    }

    pub fn task(&self, holding: Reservation) -> Option<&Task> {
        self.jobs[holding.job].1.tasks.get(&holding.index)
    }

    /// Returns the next task of the job to start: one that was attempted, or else a fresh one.
    pub fn candidate(&mut self, job: usize) -> Option<u32> {
        if !self.jobs[job].1.may_start(self.now) {
            return None;
        }
        let entry = &mut self.entries[job];
        entry.pool?;
        if let Some(index) = entry.retries.pop_front() {
            return Some(index);
        }
        let state = &self.jobs[job].1;
        let index = state.fresh(entry.cursor)?;
        entry.cursor = index + 1;
        Some(index)
    }

    pub fn choose(
        &self,
        job: usize,
        index: u32,
        room: fn(&WorkerLoad) -> Resources,
    ) -> Option<usize> {
        let entry = &self.entries[job];
        let pool = &self.pools[entry.pool?];
        let (name, state) = &self.jobs[job];
        let task = state.tasks.get(&index);
        let evidence = self.blame.has_evidence(name);
        best(
            &self.seats,
            pool,
            entry.size,
            &entry.spread,
            room,
            |place| {
                let worker = &self.stations[place].worker.id;
                let job_failed = evidence && self.blame.has_failed_on(name, worker);
                let task_failed = task.is_some_and(|task| task.failed.contains(worker));
                usize::from(job_failed) + usize::from(task_failed)
            },
        )
    }

    pub fn start(&mut self, job: usize, index: u32, place: usize) {
        *self.counter += 1;
        *self.dirty = true;
        let size = self.entries[job].size;
        let station = &self.stations[place];
        let state = &mut *self.jobs[job].1;
        let task = state.tasks.entry(index).or_default();
        task.attempt = *self.counter;
        task.worker = Some(station.worker.id.clone());
        task.boot = station.boot;
        task.granted = size.cpu;
        task.until = self.now + self.settings.lease;
        begin(task, TaskPhase::Starting, self.now);
        state.next = state.next.max(index + 1);
        state.started = self.now;
        state.trial = self.now + TRIAL;
        self.ledger.charge(&state.charge);
        self.entries[job].spread.add(self.seats[place].rack);
        self.seats[place].take(Reservation { job, index, size });
    }
}

fn seat(
    station: &TrackedWorker,
    now: Duration,
    settings: &SchedulerSettings,
    blame: &FailureTracker,
) -> WorkerLoad {
    let id = &station.worker.id;
    WorkerLoad {
        pool: station.pool,
        rack: station.rack,
        capacity: station.worker.capacity,
        open: !station.worker.leaving
            && !station.is_silent(now, settings)
            && !blame.is_quarantined(id),
        row: blame.row(id),
        ..WorkerLoad::default()
    }
}

fn entry(job: &JobState, numbers: &HashMap<PoolName, usize>) -> RoundJob {
    let Some(spec) = &job.spec else {
        return RoundJob::default();
    };
    RoundJob {
        size: job.size(),
        pool: numbers.get(&spec.pool).copied(),
        cursor: job.next,
        urgent: spec.urgent,
        idempotent: spec.idempotent,
        checkpoint: spec.checkpoint,
        ..RoundJob::default()
    }
}

/// Puts a task into a phase in which the worker is called.
pub(crate) fn begin(task: &mut Task, phase: TaskPhase, now: Duration) {
    task.phase = phase;
    task.since = now;
    task.sent = None;
}
