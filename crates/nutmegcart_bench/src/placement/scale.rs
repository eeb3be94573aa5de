//! Cost of one planning round of the task scheduler over the size of the fleet.

use std::collections::HashMap;
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
use nutmegcart_model::WorkerId;
use nutmegcart_model::record::Job;
use nutmegcart_model::record::Team;

use crate::comparison::Comparison;
use crate::cost;

/// Numbers of workers at which a round is measured.
const WORKER_COUNTS: [usize; 3] = [50, 500, 2_600];
/// The fleet planned in two years: 2,600 workers in 275 pools, 120 teams and 3,300 accelerators.
/// Smaller fleets have proportionally fewer of each.
const TARGET_WORKERS: usize = 2_600;
const TARGET_POOLS: usize = 275;
const TARGET_TEAMS: usize = 120;
const TARGET_ACCELERATORS: usize = 3_300;
/// Jobs per pool and tasks per job; they give about 12 running tasks per worker.
const JOBS_PER_POOL: usize = 4;
const TASKS_PER_JOB: usize = 30;
/// Rounds of which the median is reported.
const ROUNDS: usize = 41;

/// Returns the CPU time of a round, heap memory and size of the stored state for each fleet size.
///
/// The baseline is the cost at the smallest size, scaled linearly: a ratio of 1 is linear growth.
pub fn comparisons() -> Vec<Comparison> {
    let mut comparisons = Vec::new();
    let mut first: Option<[f64; 4]> = None;
    for workers in WORKER_COUNTS {
        let mut loaded = LoadedScheduler::new(workers);
        loaded.warm_up();
        let memory = cost::retained_heap_bytes(|| loaded.scheduler.clone());
        let (idle, busy) = loaded.round_times_us();
        let stored = serde_json::to_vec(loaded.scheduler.state()).expect("state is JSON");
        let costs = [idle, busy, memory, stored.len() as f64];
        let linear = workers as f64 / WORKER_COUNTS[0] as f64;
        let baseline = first.get_or_insert(costs).map(|cost| cost * linear);
        let names = [
            ("round with nothing to do", "us"),
            ("round after all reports", "us"),
            ("memory", "bytes"),
            ("stored state", "bytes"),
        ];
        for (index, (name, unit)) in names.into_iter().enumerate() {
            let name = format!("placement, {workers} workers: {name}");
            comparisons.push(Comparison::new(name, unit, baseline[index], costs[index]));
        }
    }
    comparisons
}

/// A task scheduler with workers, jobs and running tasks.
struct LoadedScheduler {
    now: Duration,
    scheduler: TaskScheduler,
    workers: Vec<Worker>,
    running: Vec<(WorkerId, AttemptId)>,
}

impl LoadedScheduler {
    fn new(count: usize) -> Self {
        let share = |target: usize| (target * count).div_ceil(TARGET_WORKERS);
        let pools = share(TARGET_POOLS);
        let teams = share(TARGET_TEAMS);
        let mut scheduler = TaskScheduler::new(SchedulerSettings::default());
        scheduler.set_teams((0..teams).map(|team| Team {
            name: format!("team-{team}").into(),
            cpu: 1 << 40,
            memory: 1 << 40,
            accelerators: 1 << 20,
            urgent: None,
        }));
        let workers: Vec<Worker> = (0..count)
            .map(|number| Worker {
                id: format!("w{number:04}").into(),
                pool: format!("pool-{}", number % pools).into(),
                rack: format!("rack-{}", number / pools / 4).into(),
                capacity: Resources::new(
                    64_000,
                    256_000,
                    u32::try_from(TARGET_ACCELERATORS * (number + 1) / TARGET_WORKERS)
                        .expect("small")
                        - u32::try_from(TARGET_ACCELERATORS * number / TARGET_WORKERS)
                            .expect("small"),
                ),
                leaving: false,
            })
            .collect();
        scheduler.set_workers(workers.iter().cloned());
        scheduler.set_jobs(
            1,
            (0..pools * JOBS_PER_POOL).map(|number| {
                Arc::new(Job {
                    name: format!("job-{number}").into(),
                    pool: format!("pool-{}", number % pools).into(),
                    team: Some(format!("team-{}", number % teams).into()),
                    cpu: 4_000,
                    memory: 16_000,
                    accelerators: u32::from(number % 8 == 0),
                    tasks: u32::try_from(TASKS_PER_JOB).expect("small"),
                    urgent: number % 16 == 1,
                    idempotent: number % 2 == 0,
                    checkpoint: true,
                    seconds: None,
                    cancel: Vec::new(),
                })
            }),
        );
        Self {
            now: Duration::from_hours(1),
            scheduler,
            workers,
            running: Vec::new(),
        }
    }

    /// Starts every task that fits and sends several reports from each worker.
    fn warm_up(&mut self) {
        for _ in 0..20 {
            self.send_reports();
            self.run_round();
        }
    }

    fn run_round(&mut self) {
        self.now += Duration::from_millis(250);
        let plan = self.scheduler.plan(self.now);
        self.scheduler.mark_written();
        for action in plan.actions {
            if let SchedulerAction::Start {
                worker, attempt, ..
            } = action
            {
                self.scheduler
                    .record_outcome(self.now, &worker, &attempt, AttemptState::Running);
                self.running.push((worker, attempt));
            }
        }
    }

    fn send_reports(&mut self) {
        let mut lines: HashMap<&WorkerId, Vec<ReportedAttempt>> = HashMap::new();
        for (worker, attempt) in &self.running {
            lines.entry(worker).or_default().push(ReportedAttempt {
                attempt: attempt.clone(),
                outcome: AttemptState::Running,
                usage: Resources::new(3_900, 15_000, 0),
            });
        }
        for worker in &self.workers {
            let report = ReceivedReport {
                worker: worker.id.clone(),
                at: self.now,
                boot: 1,
                attempts: lines.remove(&worker.id).unwrap_or_default(),
            };
            self.scheduler.apply_report(self.now, &report);
        }
    }

    /// Returns the median CPU time of a round without and with new reports, in microseconds.
    fn round_times_us(&mut self) -> (f64, f64) {
        let idle = cost::cpu_time_us(ROUNDS, || self.run_round());
        let busy = cost::cpu_time_us(ROUNDS, || {
            self.send_reports();
            self.run_round();
        });
        (idle, busy)
    }
}
