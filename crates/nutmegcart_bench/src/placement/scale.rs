//! Cost of one planning round over the size of the fleet.

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
use nutmegcart_fleet::worker::AttemptReport;
use nutmegcart_model::WorkerId;
use nutmegcart_model::record::Job;
use nutmegcart_model::record::Team;

use crate::cost;
use crate::measure::Measure;

/// Numbers of workers.
const WORKERS: [usize; 3] = [50, 500, 2_600];
/// The fleet in two years has 2,600 workers in 275 pools, 120 teams and 3,300 accelerators.
const FLEET: usize = 2_600;
const POOLS: usize = 275;
const TEAMS: usize = 120;
const ACCELERATORS: usize = 3_300;
/// Jobs of a pool and tasks of a job; about 12 tasks run on each worker.
const JOBS: usize = 4;
const TASKS: usize = 30;
/// Rounds that are measured; the median counts.
const ROUNDS: usize = 41;

/// Returns the cost of a round, bytes of memory and bytes of the stored state at each size.
///
/// The baseline of each figure is the first size's, scaled linearly, so a ratio of 1 is linear.
pub fn rounds() -> Vec<Measure> {
    let mut measures = Vec::new();
    let mut first: Option<[f64; 4]> = None;
    for workers in WORKERS {
        let mut fleet = Fleet::new(workers);
        fleet.settle();
        let memory = cost::heap(|| fleet.scheduler.clone());
        let (steady, busy) = fleet.measure();
        let stored = serde_json::to_vec(fleet.scheduler.state()).expect("state is JSON");
        let figures = [steady, busy, memory, stored.len() as f64];
        let linear = workers as f64 / WORKERS[0] as f64;
        let base = first.get_or_insert(figures).map(|figure| figure * linear);
        let names = [
            ("round with nothing to do", "us"),
            ("round after all reports", "us"),
            ("memory", "bytes"),
            ("stored state", "bytes"),
        ];
        for (at, (name, unit)) in names.into_iter().enumerate() {
            let name = format!("placement, {workers} workers: {name}");
            measures.push(Measure::new(name, unit, base[at], figures[at]));
        }
    }
    measures
}

struct Fleet {
    now: Duration,
    scheduler: TaskScheduler,
    workers: Vec<Worker>,
    running: Vec<(WorkerId, AttemptId)>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let part = |whole: usize| (whole * count).div_ceil(FLEET);
        let pools = part(POOLS);
        let teams = part(TEAMS);
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
                    u32::try_from(ACCELERATORS * (number + 1) / FLEET).expect("small")
                        - u32::try_from(ACCELERATORS * number / FLEET).expect("small"),
                ),
                leaving: false,
            })
            .collect();
        scheduler.set_workers(workers.iter().cloned());
        scheduler.set_jobs(
            1,
            (0..pools * JOBS).map(|number| {
                Arc::new(Job {
                    name: format!("job-{number}").into(),
                    pool: format!("pool-{}", number % pools).into(),
                    team: Some(format!("team-{}", number % teams).into()),
                    cpu: 4_000,
                    memory: 16_000,
                    accelerators: u32::from(number % 8 == 0),
                    tasks: u32::try_from(TASKS).expect("small"),
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

    /// Starts everything that fits and lets each worker report a few times.
    fn settle(&mut self) {
        for _ in 0..20 {
            self.report();
            self.round();
        }
    }

    fn round(&mut self) {
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

    fn report(&mut self) {
        let mut lines: HashMap<&WorkerId, Vec<AttemptReport>> = HashMap::new();
        for (worker, attempt) in &self.running {
            lines.entry(worker).or_default().push(AttemptReport {
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

    /// Returns the median time of a round without and with reports, in microseconds.
    fn measure(&mut self) -> (f64, f64) {
        let steady = cost::processor(ROUNDS, || self.round());
        let busy = cost::processor(ROUNDS, || {
            self.report();
            self.round();
        });
        (steady, busy)
    }
}
