//! Simulation of workers and tasks in virtual time, and the task scheduler as a placement policy.

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
use nutmegcart_fleet::worker::ReportedAttempt;
use nutmegcart_model::record::Job;
use rand::Rng;
use rand::rngs::SmallRng;

/// Virtual time of one step, with one planning round per step.
const STEP: Duration = Duration::from_millis(250);
/// Steps between two reports of a worker, and steps until a report arrives.
const REPORT_STEPS: usize = 8;
const REPORT_LAG_STEPS: usize = 8;
/// Time to take a checkpoint.
const CHECKPOINT_TIME: Duration = Duration::from_millis(500);
/// Seconds in which the usage of a task grows linearly to its actual need.
const RAMP_UP_S: f64 = 20.0;
/// Number of pools, and per pool: workers, deferrable jobs, and tasks of each such job.
const POOLS: usize = 5;
const WORKERS_PER_POOL: usize = 10;
const JOBS_PER_POOL: usize = 6;
const TASKS_PER_JOB: u32 = 80;
/// Time between two bursts of urgent tasks, and tasks per burst.
const BURST_INTERVAL: Duration = Duration::from_mins(2);
const BURST_TASKS: u32 = 24;
/// Virtual time after which an unfinished run ends.
const TIME_LIMIT: Duration = Duration::from_hours(12);

/// A present-day deployment.
#[derive(Clone, Copy)]
pub struct PlacementDeployment {
    pub name: &'static str,
    /// Memory of a worker in MB.
    pub memory: u64,
}

/// Results of one run.
#[derive(Default)]
pub struct PlacementResults {
    /// Core-hours that were idle while deferrable tasks waited for room.
    pub idle_core_hours: f64,
    /// Tasks stopped, killed or ended by a checkpoint before they finished.
    pub moves: f64,
    /// Virtual time until all deferrable tasks were finished.
    pub completion: Duration,
    /// Mean time from the submission of an urgent task to its start.
    pub urgent_mean: Duration,
    pub urgent_worst: Duration,
}

/// A job, with the actual needs of its tasks.
pub struct SimulatedJob {
    pub spec: Arc<Job>,
    pub pool: usize,
    actual: Resources,
    duration_s: f64,
}

/// A running attempt of a task.
pub struct RunningTask {
    pub job: usize,
    pub index: u32,
    pub worker: usize,
    pub attempt: AttemptId,
    /// Seconds since the start.
    age_s: f64,
    /// Seconds of work that remain at full speed.
    remaining_s: f64,
    /// Random fluctuation of the usage.
    usage_factor: f64,
    cpu_limit: Option<u64>,
    checkpoint_end: Option<Duration>,
}

/// An action that a policy requests.
pub enum PolicyAction {
    /// Start of an attempt: index of the job, index of the task in it, index of the worker.
    Start(usize, u32, usize, AttemptId),
    Stop(AttemptId),
    Checkpoint(AttemptId),
    /// CPU limit in thousandths of a core; `None` removes it.
    Throttle(AttemptId, Option<u64>),
}

/// State of the simulated workers and tasks.
pub struct PlacementSimulation {
    pub now: Duration,
    pub workers: Vec<Worker>,
    pub jobs: Vec<SimulatedJob>,
    pub running: Vec<RunningTask>,
    /// Attempts that ended since the last step, with their workers.
    pub ended: Vec<(usize, AttemptId, AttemptState)>,
    /// Remaining seconds at the last checkpoint, by job and task.
    checkpoints: BTreeMap<(usize, u32), f64>,
    /// Submission times of urgent tasks that have not started, by job and task.
    urgent_waiting: BTreeMap<(usize, u32), Duration>,
    urgent_waits: Vec<Duration>,
    /// Finished deferrable tasks.
    finished: u32,
    /// Finished deferrable tasks, by pool.
    finished_by_pool: [u32; POOLS],
    results: PlacementResults,
    random: SmallRng,
}

/// A placement policy.
pub trait Policy {
    /// Reads the events of the last step and returns the actions of this one.
    fn plan(&mut self, simulation: &PlacementSimulation) -> Vec<PolicyAction>;
    /// Records the outcome of an action that was applied.
    fn record_outcome(
        &mut self,
        simulation: &PlacementSimulation,
        worker: usize,
        attempt: &AttemptId,
        outcome: AttemptState,
    );
    /// Updates jobs and workers after the specification of a job changed.
    fn update_jobs(&mut self, simulation: &PlacementSimulation);
}

impl PlacementSimulation {
    /// Generates workers and jobs.
    pub fn new(deployment: PlacementDeployment, random: &mut SmallRng) -> Self {
        let mut workers = Vec::new();
        let mut jobs = Vec::new();
        for pool in 0..POOLS {
            for number in 0..WORKERS_PER_POOL {
                workers.push(Worker {
                    id: format!("p{pool}-w{number:02}").into(),
                    pool: format!("p{pool}").into(),
                    rack: format!("p{pool}-r{}", number / 4).into(),
                    capacity: Resources::new(64_000, deployment.memory, 0),
                    leaving: false,
                });
            }
            for number in 0..=JOBS_PER_POOL {
                let urgent = number == JOBS_PER_POOL;
                let cpu = random.random_range(4_000..16_000);
                let memory = random.random_range(6_000..28_000);
                // Nine of ten jobs declare far more than they need, the others too little.
                let factor = match random.random_range(0..10) {
                    0 => random.random_range(1.2..1.6),
                    _ => random.random_range(0.2..0.6),
                };
                let spec = Job {
                    name: format!("p{pool}-j{number}").into(),
                    pool: format!("p{pool}").into(),
                    team: None,
                    cpu,
                    memory,
                    accelerators: 0,
                    tasks: if urgent { 0 } else { TASKS_PER_JOB },
                    urgent,
                    idempotent: true,
                    checkpoint: true,
                    seconds: None,
                    cancel: Vec::new(),
                };
                jobs.push(SimulatedJob {
                    actual: Resources::new(scaled(cpu, factor), scaled(memory, factor), 0),
                    pool,
                    duration_s: if urgent {
                        20.0
                    } else {
                        random.random_range(60.0..300.0)
                    },
                    spec: Arc::new(spec),
                });
            }
        }
        Self {
            now: Duration::from_hours(1),
            workers,
            jobs,
            running: Vec::new(),
            ended: Vec::new(),
            checkpoints: BTreeMap::new(),
            urgent_waiting: BTreeMap::new(),
            urgent_waits: Vec::new(),
            finished: 0,
            finished_by_pool: [0; POOLS],
            results: PlacementResults::default(),
            random: random.clone(),
        }
    }

    /// Runs until all deferrable tasks are finished, or until the time limit.
    pub fn run(mut self, policy: &mut dyn Policy) -> PlacementResults {
        let begin = self.now;
        let total = u32::try_from(POOLS * JOBS_PER_POOL).expect("small") * TASKS_PER_JOB;
        policy.update_jobs(&self);
        let mut next = begin + BURST_INTERVAL;
        let mut burst = 0;
        while self.finished < total && self.now < begin + TIME_LIMIT {
            self.now += STEP;
            if self.now >= next {
                next += BURST_INTERVAL;
                self.submit_burst(burst % POOLS);
                burst += 1;
                policy.update_jobs(&self);
            }
            self.advance();
            let actions = policy.plan(&self);
            self.ended.clear();
            for action in actions {
                self.apply_action(action, policy);
            }
            self.record_idle_capacity();
        }
        let waiting = self
            .urgent_waiting
            .values()
            .map(|at| self.now.saturating_sub(*at));
        self.urgent_waits.extend(waiting);
        let count = u32::try_from(self.urgent_waits.len())
            .expect("small")
            .max(1);
        self.results.urgent_mean = self.urgent_waits.iter().sum::<Duration>() / count;
        self.results.urgent_worst = self.urgent_waits.iter().max().copied().unwrap_or_default();
        self.results.completion = self.now.saturating_sub(begin);
        self.results
    }

    /// Submits a burst of urgent tasks to a pool.
    fn submit_burst(&mut self, pool: usize) {
        let urgent = |job: &SimulatedJob| job.spec.urgent && job.pool == pool;
        let index = self.jobs.iter().position(urgent).expect("urgent job");
        let job = &mut self.jobs[index];
        let first = job.spec.tasks;
        Arc::make_mut(&mut job.spec).tasks += BURST_TASKS;
        for task in first..first + BURST_TASKS {
            self.urgent_waiting.insert((index, task), self.now);
        }
    }

    /// Returns the current usage of a task; the CPU usage of a throttled one is capped.
    fn current_usage(&self, task: &RunningTask) -> Resources {
        let actual = self.jobs[task.job].actual;
        let grown = (task.age_s / RAMP_UP_S).min(1.0) * task.usage_factor;
        Resources::new(
            scaled(actual.cpu, grown).min(task.cpu_limit.unwrap_or(u64::MAX)),
            scaled(actual.memory, grown),
            0,
        )
    }

    fn worker_usage(&self) -> Vec<Resources> {
        let mut worker_usage = vec![Resources::default(); self.workers.len()];
        for task in &self.running {
            worker_usage[task.worker] += self.current_usage(task);
        }
        worker_usage
    }

    /// Advances the tasks by one step: they progress, finish, or are killed for lack of memory.
    fn advance(&mut self) {
        let worker_usage = self.worker_usage();
        let step = STEP.as_secs_f64();
        for index in 0..self.running.len() {
            let worker = self.running[index].worker;
            let cpu_pressure =
                worker_usage[worker].cpu as f64 / self.workers[worker].capacity.cpu as f64;
            let actual = self.jobs[self.running[index].job].actual.cpu as f64;
            let current_usage = self.current_usage(&self.running[index]).cpu as f64;
            let task = &mut self.running[index];
            let full = actual * (task.age_s / RAMP_UP_S).min(1.0) * task.usage_factor;
            let speed = (current_usage / full.max(1.0)).min(1.0) / cpu_pressure.max(1.0);
            task.age_s += step;
            task.remaining_s -= step * speed;
            if self.random.random_range(0..40) == 0 {
                task.usage_factor = self.random.random_range(0.85..1.15);
            }
        }
        self.kill_out_of_memory(&worker_usage);
        let now = self.now;
        let mut still_running = Vec::new();
        for task in std::mem::take(&mut self.running) {
            let key = (task.job, task.index);
            if task.remaining_s <= 0.0 {
                let job = &self.jobs[task.job];
                self.finished += u32::from(!job.spec.urgent);
                self.finished_by_pool[job.pool] += u32::from(!job.spec.urgent);
                self.ended
                    .push((task.worker, task.attempt, AttemptState::Done));
            } else if task.checkpoint_end.is_some_and(|end| end <= now) {
                self.checkpoints.insert(key, task.remaining_s);
                self.results.moves += 1.0;
                self.ended
                    .push((task.worker, task.attempt, AttemptState::Checkpointed));
            } else {
                still_running.push(task);
            }
        }
        self.running = still_running;
    }

    /// Kills the newest task of each worker that is out of memory; its progress is lost.
    fn kill_out_of_memory(&mut self, worker_usage: &[Resources]) {
        for (worker, worker_usage) in worker_usage.iter().enumerate() {
            if worker_usage.memory <= self.workers[worker].capacity.memory {
                continue;
            }
            let newest = (0..self.running.len())
                .filter(|&index| self.running[index].worker == worker)
                .min_by(|&a, &b| self.running[a].age_s.total_cmp(&self.running[b].age_s));
            if let Some(index) = newest {
                let task = self.running.remove(index);
                self.results.moves += 1.0;
                self.ended
                    .push((worker, task.attempt, AttemptState::Stopped));
            }
        }
    }

    fn apply_action(&mut self, action: PolicyAction, policy: &mut dyn Policy) {
        match action {
            PolicyAction::Start(job, index, worker, attempt) => {
                if !self.running.iter().any(|task| task.attempt == attempt) {
                    self.start(job, index, worker, attempt.clone());
                }
                policy.record_outcome(self, worker, &attempt, AttemptState::Running);
            }
            PolicyAction::Stop(attempt) => {
                let found = self.running.iter().position(|task| task.attempt == attempt);
                if let Some(index) = found {
                    let task = self.running.remove(index);
                    self.results.moves += 1.0;
                    policy.record_outcome(self, task.worker, &attempt, AttemptState::Stopped);
                }
            }
            PolicyAction::Checkpoint(attempt) => {
                let end = self.now + CHECKPOINT_TIME;
                let mut running = self.running.iter_mut();
                if let Some(task) = running.find(|task| task.attempt == attempt) {
                    task.checkpoint_end.get_or_insert(end);
                }
            }
            PolicyAction::Throttle(attempt, limit) => {
                let mut running = self.running.iter_mut();
                if let Some(task) = running.find(|task| task.attempt == attempt) {
                    task.cpu_limit = limit;
                }
            }
        }
    }

    fn start(&mut self, job: usize, index: u32, worker: usize, attempt: AttemptId) {
        if let Some(at) = self.urgent_waiting.remove(&(job, index)) {
            self.urgent_waits.push(self.now.saturating_sub(at));
        }
        let remaining_s = self.checkpoints.get(&(job, index)).copied();
        self.running.push(RunningTask {
            job,
            index,
            worker,
            attempt,
            age_s: 0.0,
            remaining_s: remaining_s.unwrap_or(self.jobs[job].duration_s),
            usage_factor: 1.0,
            cpu_limit: None,
            checkpoint_end: None,
        });
    }

    /// Adds the idle capacity of pools in which deferrable tasks wait to the results.
    fn record_idle_capacity(&mut self) {
        let worker_usage = self.worker_usage();
        let mut unfinished = [0_u32; POOLS];
        for job in self.jobs.iter().filter(|job| !job.spec.urgent) {
            unfinished[job.pool] += job.spec.tasks;
        }
        let waiting = self.pools_with_backlog(&mut unfinished);
        for (worker, worker_usage) in worker_usage.iter().enumerate() {
            if !waiting[worker / WORKERS_PER_POOL] {
                continue;
            }
            let capacity = self.workers[worker].capacity;
            // The scarcer of the two resources limits the number of tasks.
            let cpu = worker_usage.cpu as f64 / capacity.cpu as f64;
            let memory = worker_usage.memory as f64 / capacity.memory as f64;
            let idle = (1.0 - cpu.max(memory)).max(0.0);
            let hours = STEP.as_secs_f64() / 3600.0;
            self.results.idle_core_hours += idle * hours * capacity.cpu as f64 / 1000.0;
        }
    }

    /// Returns for each pool whether deferrable tasks wait, from the number of all its deferrable
    /// tasks.
    fn pools_with_backlog(&mut self, unfinished: &mut [u32; POOLS]) -> [bool; POOLS] {
        for task in &self.running {
            let job = &self.jobs[task.job];
            if !job.spec.urgent {
                unfinished[job.pool] -= 1;
            }
        }
        let mut waiting = [false; POOLS];
        for (pool, unfinished) in unfinished.iter().enumerate() {
            waiting[pool] = *unfinished > self.finished_by_pool[pool];
        }
        waiting
    }
}

/// Multiplies an amount by a positive factor and rounds down.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scaled(amount: u64, factor: f64) -> u64 {
    (amount as f64 * factor) as u64
}

/// The task scheduler as a policy, with delayed reports.
pub struct SchedulerPolicy {
    scheduler: TaskScheduler,
    step: usize,
    /// Ended attempts that the next report of their worker includes.
    ended: Vec<(usize, AttemptId, AttemptState)>,
    /// Reports in transit, with the step in which they arrive.
    delayed: Vec<(usize, ReceivedReport)>,
}

impl Default for SchedulerPolicy {
    fn default() -> Self {
        Self {
            scheduler: TaskScheduler::new(SchedulerSettings::default()),
            step: 0,
            ended: Vec::new(),
            delayed: Vec::new(),
        }
    }
}

impl SchedulerPolicy {
    /// Queues the reports of the workers that are due in this step.
    fn queue_reports(&mut self, simulation: &PlacementSimulation) {
        let due = |worker: usize| worker % REPORT_STEPS == self.step % REPORT_STEPS;
        let mut reports: BTreeMap<usize, Vec<ReportedAttempt>> = (0..simulation.workers.len())
            .filter(|&worker| due(worker))
            .map(|worker| (worker, Vec::new()))
            .collect();
        let entry = |attempt: &AttemptId, outcome, usage| ReportedAttempt {
            attempt: attempt.clone(),
            outcome,
            usage,
        };
        for task in &simulation.running {
            if let Some(entries) = reports.get_mut(&task.worker) {
                entries.push(entry(
                    &task.attempt,
                    AttemptState::Running,
                    simulation.current_usage(task),
                ));
            }
        }
        self.ended.retain(|(worker, attempt, outcome)| {
            let entries = reports.get_mut(worker);
            let is_kept = entries.is_none();
            if let Some(entries) = entries {
                entries.push(entry(attempt, *outcome, Resources::default()));
            }
            is_kept
        });
        for (worker, attempts) in reports {
            let report = ReceivedReport {
                worker: simulation.workers[worker].id.clone(),
                at: simulation.now,
                boot: 1,
                attempts,
            };
            self.delayed.push((self.step + REPORT_LAG_STEPS, report));
        }
    }
}

impl Policy for SchedulerPolicy {
    fn plan(&mut self, simulation: &PlacementSimulation) -> Vec<PolicyAction> {
        self.step += 1;
        for ended in &simulation.ended {
            if ended.2 == AttemptState::Checkpointed {
                // The response to the repeated checkpoint call reports completion without delay.
                let worker = &simulation.workers[ended.0].id;
                self.scheduler
                    .record_outcome(simulation.now, worker, &ended.1, ended.2);
            } else {
                self.ended.push(ended.clone());
            }
        }
        self.queue_reports(simulation);
        for (_, report) in self.delayed.extract_if(.., |(due, _)| *due <= self.step) {
            self.scheduler.apply_report(simulation.now, &report);
        }
        let plan = self.scheduler.plan(simulation.now);
        if plan.needs_write {
            self.scheduler.mark_written();
        }
        let worker = |id: &str| {
            simulation
                .workers
                .iter()
                .position(|worker| &*worker.id == id)
        };
        let job = |name: &str| {
            simulation
                .jobs
                .iter()
                .position(|job| &*job.spec.name == name)
        };
        let actions = plan.actions.into_iter().filter_map(|action| match action {
            SchedulerAction::Start {
                worker: id,
                attempt,
                ..
            } => {
                let (job, worker) = (job(&attempt.job)?, worker(&id)?);
                Some(PolicyAction::Start(job, attempt.index, worker, attempt))
            }
            SchedulerAction::Stop { attempt, .. } => Some(PolicyAction::Stop(attempt)),
            SchedulerAction::Checkpoint { attempt, .. } => Some(PolicyAction::Checkpoint(attempt)),
            SchedulerAction::Throttle { attempt, cpu, .. } => {
                Some(PolicyAction::Throttle(attempt, cpu))
            }
            _ => None,
        });
        actions.collect()
    }

    fn record_outcome(
        &mut self,
        simulation: &PlacementSimulation,
        worker: usize,
        attempt: &AttemptId,
        outcome: AttemptState,
    ) {
        let worker = &simulation.workers[worker].id;
        self.scheduler
            .record_outcome(simulation.now, worker, attempt, outcome);
    }

    fn update_jobs(&mut self, simulation: &PlacementSimulation) {
        let updated = simulation.jobs.iter().map(|job| job.spec.clone());
        self.scheduler.set_jobs(1, updated);
        self.scheduler
            .set_workers(simulation.workers.iter().cloned());
    }
}
