//! Jobs of the drawn kinds.

use std::time::Duration;

use nutmegcart_fleet::Resources;
use nutmegcart_jobs::AcceptedJob;
use nutmegcart_jobs::Job;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::job::Schedule;
use rand::Rng;

use super::features::Feature;
use super::session::Session;
use crate::support::batch_step;
use crate::support::job_id;

/// Label that only the last workers have.
pub const RARE_LABEL: &str = "rare";
/// Processor time of a worker, in thousandths of a core.
pub const WORKER_CPU: u64 = 64_000;
/// Largest factor by which tasks are shorter or longer than estimated in some sessions.
pub const WRONG_BY: f64 = 10.0;

/// Kinds of jobs that a feature adds.
const KINDS: [Feature; 9] = [
    Feature::DenseTimedJobs,
    Feature::SparseTimedJobs,
    Feature::OverdueTimedJobs,
    Feature::Gangs,
    Feature::Checkpoints,
    Feature::ShortTasks,
    Feature::LongTasks,
    Feature::Tickets,
    Feature::RareLabels,
];

impl Session {
    /// Submits a job of one of the drawn kinds, or a plain one.
    pub fn submit_any(&mut self) {
        let kinds: Vec<Feature> = KINDS
            .into_iter()
            .filter(|kind| self.draw.has(*kind))
            .collect();
        let choice = self.rng.random_range(0..=kinds.len());
        match kinds.get(choice) {
            Some(kind) => self.submit_kind(*kind),
            None => self.submit_plain(0),
        }
    }

    fn submit_plain(&mut self, queue: usize) {
        let (tasks, cpu) = (self.rng.random_range(1..12), self.rng.random_range(1..16));
        let estimate = self.rng.random_range(200..6_000);
        let mut steps = vec![batch_step(tasks, 1_000 * cpu, estimate)];
        if self.rng.random_bool(0.3) {
            steps.push(Step {
                after: vec![0],
                ..batch_step(2, 1_000, 300)
            });
        }
        self.submit(queue, steps, None);
    }

    fn submit_kind(&mut self, kind: Feature) {
        self.used.insert(kind);
        match kind {
            Feature::DenseTimedJobs => {
                let (width, estimate) =
                    (self.rng.random_range(1..6), self.rng.random_range(20..400));
                let schedule = Schedule {
                    first_ms: self.world.unix_ms() + self.rng.random_range(0..3_000),
                    period_ms: self.rng.random_range(50..400),
                    count: self.rng.random_range(100..400),
                };
                self.submit(0, vec![batch_step(width, 500, estimate)], Some(schedule));
            }
            Feature::SparseTimedJobs => {
                let (width, estimate) = (
                    self.rng.random_range(1..6),
                    self.rng.random_range(20..9_000),
                );
                let schedule = Schedule {
                    first_ms: self.world.unix_ms() + self.rng.random_range(0..60_000),
                    period_ms: self.rng.random_range(20_000..90_000),
                    count: self.rng.random_range(2..6),
                };
                self.submit(0, vec![batch_step(width, 2_000, estimate)], Some(schedule));
            }
            Feature::OverdueTimedJobs => {
                let (width, estimate) =
                    (self.rng.random_range(1..4), self.rng.random_range(20..400));
                let (period_ms, count) = (
                    self.rng.random_range(50..400),
                    self.rng.random_range(20..200),
                );
                let schedule = Schedule {
                    first_ms: self.world.unix_ms() - period_ms * u64::from(count) / 2,
                    period_ms,
                    count,
                };
                self.submit(0, vec![batch_step(width, 500, estimate)], Some(schedule));
            }
            Feature::Gangs | Feature::Checkpoints => {
                let most = u32::try_from(self.workers.min(10)).unwrap_or(10);
                let step = Step {
                    gang: true,
                    checkpoints: kind == Feature::Checkpoints,
                    per_worker: self.rng.random_range(0..2),
                    ..batch_step(
                        self.rng.random_range(2..=most),
                        1_000 * self.rng.random_range(1..8),
                        self.rng.random_range(1_000..20_000),
                    )
                };
                self.submit(0, vec![step], None);
            }
            Feature::ShortTasks => {
                let (tasks, estimate) = (
                    self.rng.random_range(100..800),
                    self.rng.random_range(10..100),
                );
                let cpu = self.rng.random_range(100..1_000);
                self.submit(0, vec![small_step(tasks, cpu, estimate)], None);
            }
            Feature::LongTasks => {
                let wrong = self.draw.has(Feature::WrongEstimates);
                let longest = match (self.draw.has(Feature::LargePool), wrong) {
                    (true, _) => 120_000,
                    (false, true) => 600_000,
                    (false, false) => 3_600_000,
                };
                let (tasks, cpu) = (self.rng.random_range(1..5), self.rng.random_range(1..16));
                let estimate = self.rng.random_range(60_000..longest);
                self.submit(0, vec![batch_step(tasks, 1_000 * cpu, estimate)], None);
            }
            Feature::Tickets => self.submit_plain(1),
            _ => {
                let (tasks, cpu) = (self.rng.random_range(1..6), self.rng.random_range(1..8));
                let estimate = self.rng.random_range(100..2_000);
                let step = Step {
                    label: Some(RARE_LABEL.into()),
                    ..batch_step(tasks, 1_000 * cpu, estimate)
                };
                self.submit(0, vec![step], None);
            }
        }
    }

    /// Submits so many short tasks that thousands end in an outage that begins a moment later.
    pub fn submit_flood(&mut self) {
        for _ in 0..2 {
            let (tasks, estimate) = (
                self.rng.random_range(1_000..3_000),
                self.rng.random_range(50..400),
            );
            let cpu = self.rng.random_range(100..600);
            self.submit(0, vec![small_step(tasks, cpu, estimate)], None);
        }
    }

    fn submit(&mut self, queue: usize, steps: Vec<Step>, schedule: Option<Schedule>) -> JobId {
        let id = job_id(self.jobs.len() + 1);
        let factor = self.world.duration_spread;
        let unix = self.world.unix_ms();
        let last = schedule.map_or(unix, |schedule| {
            schedule.first_ms + schedule.period_ms * u64::from(schedule.count)
        });
        let occurrences = schedule.map_or(1, |schedule| schedule.count);
        let mut longest = Duration::from_millis(last.saturating_sub(unix));
        for step in &steps {
            longest += step.declared().mul_f64(factor);
            let tasks = f64::from(step.count) * f64::from(occurrences);
            let cores = step.need.cpu.max(1_000);
            let share = tasks * u32::try_from(cores).map_or(0.0, f64::from) / self.capacity();
            self.work += step.declared().mul_f64(factor.sqrt() * share);
        }
        self.latest_end = self.latest_end.max(self.world.now + longest);
        let mut queue = self.world.queues[queue].clone();
        queue.stretch = 1.6;
        let accepted = AcceptedJob {
            waited_ms: 0,
            progress: Vec::new(),
            organisation: None,
            queue,
            at: unix,
            job: Job {
                spec: "spec".into(),
                steps,
                schedule,
            },
        };
        accepted.job.check().expect("a valid job");
        self.world.submit(&id, &accepted);
        self.jobs.push(id.clone());
        id
    }

    /// Returns the processor time of all workers, in thousandths of a core.
    fn capacity(&self) -> f64 {
        let workers = u32::try_from(self.workers).unwrap_or(1);
        f64::from(workers) * 64_000.0
    }
}

fn small_step(count: u32, cpu: u64, estimate_ms: u64) -> Step {
    Step {
        need: Resources::new(cpu, 200, 0),
        ..batch_step(count, cpu, estimate_ms)
    }
}
