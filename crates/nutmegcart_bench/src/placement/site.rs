//! Simulated workers, the work given to them, and the scheduler as a policy.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_fleet::AttemptId;
use nutmegcart_fleet::AttemptState;
use nutmegcart_fleet::ReceivedReport;
use nutmegcart_fleet::Resources;
use nutmegcart_fleet::SchedulerAction;
use nutmegcart_fleet::SchedulerSettings;
use nutmegcart_fleet::TaskScheduler;
use nutmegcart_fleet::Worker;
use nutmegcart_fleet::worker::AttemptReport;
use nutmegcart_model::record::Job;
use rand::Rng;
use rand::rngs::SmallRng;

/// Time of one step; also the time between two planning rounds.
const STEP: Duration = Duration::from_millis(250);
/// Steps between two reports of a worker, and steps that a report takes.
const REPORT: usize = 8;
const LAG: usize = 8;
/// Time that a checkpoint takes.
const SAVE: Duration = Duration::from_millis(500);
/// Time in which a task grows to its real size.
const RAMP: f64 = 20.0;
/// Pools, workers of a pool, deferrable jobs of a pool and tasks of a job.
const POOLS: usize = 5;
const WORKERS: usize = 10;
const JOBS: usize = 6;
const TASKS: u32 = 80;
/// Time between urgent bursts, and tasks of a burst.
const BURST: Duration = Duration::from_mins(2);
const BURST_TASKS: u32 = 24;
/// Time after which a run is given up.
const END: Duration = Duration::from_hours(12);

/// A deployment of today.
#[derive(Clone, Copy)]
pub struct Deployment {
    pub name: &'static str,
    /// Memory of a worker in MB.
    pub memory: u64,
}

/// What one run measured.
#[derive(Default)]
pub struct Figures {
    /// Core-hours that were idle while deferrable tasks waited for room.
    pub held: f64,
    pub moves: f64,
    pub done: Duration,
    pub urgent_mean: Duration,
    pub urgent_worst: Duration,
}

/// A job with what its tasks really need.
pub struct Work {
    pub job: Arc<Job>,
    pub pool: usize,
    real: Resources,
    seconds: f64,
}

/// A running attempt.
pub struct Live {
    pub work: usize,
    pub index: u32,
    pub worker: usize,
    pub attempt: AttemptId,
    age: f64,
    left: f64,
    noise: f64,
    limit: Option<u64>,
    saving: Option<Duration>,
}

/// What a policy asks of the site.
pub enum Order {
    Start(usize, u32, usize, AttemptId),
    Stop(AttemptId),
    Checkpoint(AttemptId),
    Limit(AttemptId, Option<u64>),
}

/// Workers and work.
pub struct Site {
    pub now: Duration,
    pub workers: Vec<Worker>,
    pub works: Vec<Work>,
    pub lives: Vec<Live>,
    /// Tasks that ended since the last step.
    pub ended: Vec<(usize, AttemptId, AttemptState)>,
    saved: BTreeMap<(usize, u32), f64>,
    submitted: BTreeMap<(usize, u32), Duration>,
    waits: Vec<Duration>,
    done: u32,
    /// Finished deferrable tasks of each pool.
    finished: [u32; POOLS],
    figures: Figures,
    random: SmallRng,
}

/// A way to place tasks.
pub trait Policy {
    /// Takes in what happened and returns orders.
    fn step(&mut self, site: &Site) -> Vec<Order>;
    /// Takes in the outcome of an order that was carried out.
    fn settle(&mut self, site: &Site, worker: usize, attempt: &AttemptId, outcome: AttemptState);
    /// Takes in changed jobs.
    fn configure(&mut self, site: &Site);
}

impl Site {
    /// Generates a site; nine of ten jobs declare too much, the others too little.
    pub fn new(deployment: Deployment, random: &mut SmallRng) -> Self {
        let mut workers = Vec::new();
        let mut works = Vec::new();
        for pool in 0..POOLS {
            for number in 0..WORKERS {
                workers.push(Worker {
                    id: format!("p{pool}-w{number:02}").into(),
                    pool: format!("p{pool}").into(),
                    rack: format!("p{pool}-r{}", number / 4).into(),
                    capacity: Resources::new(64_000, deployment.memory, 0),
                    leaving: false,
                });
            }
            for number in 0..=JOBS {
                let urgent = number == JOBS;
                let cpu = random.random_range(4_000..16_000);
                let memory = random.random_range(6_000..28_000);
                // Declared sizes are mostly far too large, and sometimes too small.
                let factor = match random.random_range(0..10) {
                    0 => random.random_range(1.2..1.6),
                    _ => random.random_range(0.2..0.6),
                };
                let job = Job {
                    name: format!("p{pool}-j{number}").into(),
                    pool: format!("p{pool}").into(),
                    team: None,
                    cpu,
                    memory,
                    accelerators: 0,
                    tasks: if urgent { 0 } else { TASKS },
                    urgent,
                    idempotent: true,
                    checkpoint: true,
                    seconds: None,
                    cancel: Vec::new(),
                };
                works.push(Work {
                    real: Resources::new(scale(cpu, factor), scale(memory, factor), 0),
                    pool,
                    seconds: if urgent {
                        20.0
                    } else {
                        random.random_range(60.0..300.0)
                    },
                    job: Arc::new(job),
                });
            }
        }
        Self {
            now: Duration::from_hours(1),
            workers,
            works,
            lives: Vec::new(),
            ended: Vec::new(),
            saved: BTreeMap::new(),
            submitted: BTreeMap::new(),
            waits: Vec::new(),
            done: 0,
            finished: [0; POOLS],
            figures: Figures::default(),
            random: random.clone(),
        }
    }

    /// Runs until all deferrable work is done.
    pub fn run(mut self, policy: &mut dyn Policy) -> Figures {
        let begin = self.now;
        let total = u32::try_from(POOLS * JOBS).expect("small") * TASKS;
        policy.configure(&self);
        let mut next = begin + BURST;
        let mut burst = 0;
        while self.done < total && self.now < begin + END {
            self.now += STEP;
            if self.now >= next {
                next += BURST;
                self.submit(burst % POOLS);
                burst += 1;
                policy.configure(&self);
            }
            self.advance();
            let orders = policy.step(&self);
            self.ended.clear();
            for order in orders {
                self.carry_out(order, policy);
            }
            self.observe();
        }
        let waiting = self
            .submitted
            .values()
            .map(|at| self.now.saturating_sub(*at));
        self.waits.extend(waiting);
        let count = u32::try_from(self.waits.len()).expect("small").max(1);
        self.figures.urgent_mean = self.waits.iter().sum::<Duration>() / count;
        self.figures.urgent_worst = self.waits.iter().max().copied().unwrap_or_default();
        self.figures.done = self.now.saturating_sub(begin);
        self.figures
    }

    /// Submits an urgent burst to a pool.
    fn submit(&mut self, pool: usize) {
        let urgent = |work: &Work| work.job.urgent && work.pool == pool;
        let at = self.works.iter().position(urgent).expect("urgent job");
        let work = &mut self.works[at];
        let first = work.job.tasks;
        Arc::make_mut(&mut work.job).tasks += BURST_TASKS;
        for index in first..first + BURST_TASKS {
            self.submitted.insert((at, index), self.now);
        }
    }

    /// Returns what an attempt uses now; a throttled one is held at its limit.
    fn wanted(&self, live: &Live) -> Resources {
        let real = self.works[live.work].real;
        let grown = (live.age / RAMP).min(1.0) * live.noise;
        Resources::new(
            scale(real.cpu, grown).min(live.limit.unwrap_or(u64::MAX)),
            scale(real.memory, grown),
            0,
        )
    }

    fn used(&self) -> Vec<Resources> {
        let mut used = vec![Resources::default(); self.workers.len()];
        for live in &self.lives {
            used[live.worker] += self.wanted(live);
        }
        used
    }

    /// Lets a step pass: tasks progress, end, and are killed where memory runs out.
    fn advance(&mut self) {
        let used = self.used();
        let step = STEP.as_secs_f64();
        for at in 0..self.lives.len() {
            let worker = self.lives[at].worker;
            let crowding = used[worker].cpu as f64 / self.workers[worker].capacity.cpu as f64;
            let real = self.works[self.lives[at].work].real.cpu as f64;
            let wanted = self.wanted(&self.lives[at]).cpu as f64;
            let live = &mut self.lives[at];
            let full = real * (live.age / RAMP).min(1.0) * live.noise;
            let speed = (wanted / full.max(1.0)).min(1.0) / crowding.max(1.0);
            live.age += step;
            live.left -= step * speed;
            if self.random.random_range(0..40) == 0 {
                live.noise = self.random.random_range(0.85..1.15);
            }
        }
        self.kill(&used);
        let now = self.now;
        let mut rest = Vec::new();
        for live in std::mem::take(&mut self.lives) {
            let key = (live.work, live.index);
            if live.left <= 0.0 {
                let work = &self.works[live.work];
                self.done += u32::from(!work.job.urgent);
                self.finished[work.pool] += u32::from(!work.job.urgent);
                self.ended
                    .push((live.worker, live.attempt, AttemptState::Done));
            } else if live.saving.is_some_and(|end| end <= now) {
                self.saved.insert(key, live.left);
                self.figures.moves += 1.0;
                self.ended
                    .push((live.worker, live.attempt, AttemptState::Checkpointed));
            } else {
                rest.push(live);
            }
        }
        self.lives = rest;
    }

    /// Ends the newest task of each worker that is out of memory; its progress is lost.
    fn kill(&mut self, used: &[Resources]) {
        for (worker, used) in used.iter().enumerate() {
            if used.memory <= self.workers[worker].capacity.memory {
                continue;
            }
            let newest = (0..self.lives.len())
                .filter(|&at| self.lives[at].worker == worker)
                .min_by(|&a, &b| self.lives[a].age.total_cmp(&self.lives[b].age));
            if let Some(at) = newest {
                let live = self.lives.remove(at);
                self.figures.moves += 1.0;
                self.ended
                    .push((worker, live.attempt, AttemptState::Stopped));
            }
        }
    }

    fn carry_out(&mut self, order: Order, policy: &mut dyn Policy) {
        match order {
            Order::Start(work, index, worker, attempt) => {
                if !self.lives.iter().any(|live| live.attempt == attempt) {
                    self.start(work, index, worker, attempt.clone());
                }
                policy.settle(self, worker, &attempt, AttemptState::Running);
            }
            Order::Stop(attempt) => {
                let found = self.lives.iter().position(|live| live.attempt == attempt);
                if let Some(at) = found {
                    let live = self.lives.remove(at);
                    self.figures.moves += 1.0;
                    policy.settle(self, live.worker, &attempt, AttemptState::Stopped);
                }
            }
            Order::Checkpoint(attempt) => {
                let end = self.now + SAVE;
                let mut lives = self.lives.iter_mut();
                if let Some(live) = lives.find(|live| live.attempt == attempt) {
                    live.saving.get_or_insert(end);
                }
            }
            Order::Limit(attempt, limit) => {
                let mut lives = self.lives.iter_mut();
                if let Some(live) = lives.find(|live| live.attempt == attempt) {
                    live.limit = limit;
                }
            }
        }
    }

    fn start(&mut self, work: usize, index: u32, worker: usize, attempt: AttemptId) {
        if let Some(at) = self.submitted.remove(&(work, index)) {
            self.waits.push(self.now.saturating_sub(at));
        }
        let left = self.saved.get(&(work, index)).copied();
        self.lives.push(Live {
            work,
            index,
            worker,
            attempt,
            age: 0.0,
            left: left.unwrap_or(self.works[work].seconds),
            noise: 1.0,
            limit: None,
            saving: None,
        });
    }

    /// Adds the idle capacity of pools in which deferrable tasks wait.
    fn observe(&mut self) {
        let used = self.used();
        let mut open = [0_u32; POOLS];
        for work in self.works.iter().filter(|work| !work.job.urgent) {
            open[work.pool] += work.job.tasks;
        }
        let waiting = self.waiting(&mut open);
        for (worker, used) in used.iter().enumerate() {
            if !waiting[worker / WORKERS] {
                continue;
            }
            let capacity = self.workers[worker].capacity;
            // The scarcer of the two resources is the one that holds tasks back.
            let cpu = used.cpu as f64 / capacity.cpu as f64;
            let memory = used.memory as f64 / capacity.memory as f64;
            let idle = (1.0 - cpu.max(memory)).max(0.0);
            let hours = STEP.as_secs_f64() / 3600.0;
            self.figures.held += idle * hours * capacity.cpu as f64 / 1000.0;
        }
    }

    fn waiting(&mut self, open: &mut [u32; POOLS]) -> [bool; POOLS] {
        for live in &self.lives {
            let work = &self.works[live.work];
            if !work.job.urgent {
                open[work.pool] -= 1;
            }
        }
        let mut waiting = [false; POOLS];
        for (pool, open) in open.iter().enumerate() {
            waiting[pool] = *open > self.finished[pool];
        }
        waiting
    }
}

/// Multiplies an amount by a positive factor.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scale(amount: u64, factor: f64) -> u64 {
    (amount as f64 * factor) as u64
}

/// The scheduler as a policy, with reports that lag.
pub struct Scheduled {
    scheduler: TaskScheduler,
    step: usize,
    ended: Vec<(usize, AttemptId, AttemptState)>,
    late: Vec<(usize, ReceivedReport)>,
}

impl Default for Scheduled {
    fn default() -> Self {
        Self {
            scheduler: TaskScheduler::new(SchedulerSettings::default()),
            step: 0,
            ended: Vec::new(),
            late: Vec::new(),
        }
    }
}

impl Scheduled {
    /// Collects the reports of one step's share of the workers.
    fn collect(&mut self, site: &Site) {
        let due = |worker: usize| worker % REPORT == self.step % REPORT;
        let mut reports: BTreeMap<usize, Vec<AttemptReport>> = (0..site.workers.len())
            .filter(|&worker| due(worker))
            .map(|worker| (worker, Vec::new()))
            .collect();
        let line = |attempt: &AttemptId, outcome, usage| AttemptReport {
            attempt: attempt.clone(),
            outcome,
            usage,
        };
        for live in &site.lives {
            if let Some(lines) = reports.get_mut(&live.worker) {
                lines.push(line(
                    &live.attempt,
                    AttemptState::Running,
                    site.wanted(live),
                ));
            }
        }
        self.ended.retain(|(worker, attempt, outcome)| {
            let lines = reports.get_mut(worker);
            let is_kept = lines.is_none();
            if let Some(lines) = lines {
                lines.push(line(attempt, *outcome, Resources::default()));
            }
            is_kept
        });
        for (worker, attempts) in reports {
            let report = ReceivedReport {
                worker: site.workers[worker].id.clone(),
                at: site.now,
                boot: 1,
                attempts,
            };
            self.late.push((self.step + LAG, report));
        }
    }
}

impl Policy for Scheduled {
    fn step(&mut self, site: &Site) -> Vec<Order> {
        self.step += 1;
        for ended in &site.ended {
            if ended.2 == AttemptState::Checkpointed {
                // The answer to the repeated call tells at once that the checkpoint is complete.
                let worker = &site.workers[ended.0].id;
                self.scheduler
                    .record_outcome(site.now, worker, &ended.1, ended.2);
            } else {
                self.ended.push(ended.clone());
            }
        }
        self.collect(site);
        for (_, report) in self.late.extract_if(.., |(due, _)| *due <= self.step) {
            self.scheduler.apply_report(site.now, &report);
        }
        let plan = self.scheduler.plan(site.now);
        if plan.needs_write {
            self.scheduler.mark_written();
        }
        let worker = |id: &str| site.workers.iter().position(|worker| &*worker.id == id);
        let work = |name: &str| site.works.iter().position(|work| &*work.job.name == name);
        let orders = plan.actions.into_iter().filter_map(|action| match action {
            SchedulerAction::Start {
                worker: id,
                attempt,
                ..
            } => {
                let (work, worker) = (work(&attempt.job)?, worker(&id)?);
                Some(Order::Start(work, attempt.index, worker, attempt))
            }
            SchedulerAction::Stop { attempt, .. } => Some(Order::Stop(attempt)),
            SchedulerAction::Checkpoint { attempt, .. } => Some(Order::Checkpoint(attempt)),
            SchedulerAction::Throttle { attempt, cpu, .. } => Some(Order::Limit(attempt, cpu)),
            _ => None,
        });
        orders.collect()
    }

    fn settle(&mut self, site: &Site, worker: usize, attempt: &AttemptId, outcome: AttemptState) {
        let worker = &site.workers[worker].id;
        self.scheduler
            .record_outcome(site.now, worker, attempt, outcome);
    }

    fn configure(&mut self, site: &Site) {
        let jobs = site.works.iter().map(|work| work.job.clone());
        self.scheduler.set_jobs(1, jobs);
        self.scheduler.set_workers(site.workers.iter().cloned());
    }
}
