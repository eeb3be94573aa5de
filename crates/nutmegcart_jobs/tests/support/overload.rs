//! Jobs of drawn sizes, and what their callers earn from them.

use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::AcceptedJob;
use nutmegcart_jobs::FinalState;
use nutmegcart_jobs::Job;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobRecord;
use nutmegcart_jobs::Organisation;
use nutmegcart_jobs::Step;
use rand::Rng;
use rand::rngs::SmallRng;

use super::batch_step;
use super::job_id;
use super::seconds;

/// Part of a job's value that does not depend on its work; a job of mean size has value 1.
const FIXED_VALUE: f64 = 0.3;
/// Upper bound on a job's value; a job of mean size has value 1.
const MAX_VALUE: f64 = 4.0;
/// Part of its value that a late job keeps.
const LATE_VALUE: f64 = 0.07;
/// Mean work of a drawn job in core-seconds.
pub const MEAN_WORK: f64 = 46.0;

/// A job that is submitted at a time after the start of a play.
#[derive(Clone)]
pub struct Arrival {
    pub after: Duration,
    /// Index of its organisation, if it belongs to one.
    pub organisation: Option<usize>,
    /// Index of its queue.
    pub queue: usize,
    pub steps: Vec<Step>,
}

/// A submitted job.
pub struct Submitted {
    pub id: JobId,
    pub at: u64,
    pub organisation: Option<usize>,
    pub queue: usize,
    /// Work in core-seconds.
    pub work: f64,
    pub objective: Duration,
}

/// Draws a number around a mean, with the relative spread of a logarithmic normal distribution.
fn draw(rng: &mut SmallRng, mean: f64, spread: f64, max: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    (mean * (spread * normal - spread * spread / 2.0).exp()).clamp(1.0, max)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small positive numbers"
)]
pub fn draw_steps(rng: &mut SmallRng) -> Vec<Step> {
    let count = draw(rng, 1.6, 0.4, 4.0).round() as u16;
    let cpu = draw(rng, 6_200.0, 0.45, 19_000.0) as u64;
    let steps = (0..count).map(|number| {
        let width = draw(rng, 8.0, 0.6, 32.0).round() as u32;
        let estimate = draw(rng, 640.0, 0.5, 1_600.0) as u64;
        Step {
            after: number.checked_sub(1).into_iter().collect(),
            ..batch_step(width, cpu, estimate)
        }
    });
    steps.collect()
}

pub fn work(steps: &[Step]) -> f64 {
    let tasks = steps.iter().map(|step| {
        f64::from(step.count) * step.need.cpu as f64 / 1_000.0 * step.estimate_ms as f64 / 1_000.0
    });
    tasks.sum()
}

/// Returns the time after which a job whose steps follow one another loses value.
pub fn objective(steps: &[Step]) -> Duration {
    let critical_path: u64 = steps.iter().map(|step| step.estimate_ms).sum();
    Duration::from_millis(critical_path).mul_f64(1.6) + seconds(0.6)
}

/// Returns the value of a job that ends in time.
pub fn full_value(work: f64, mean: f64) -> f64 {
    (FIXED_VALUE + (1.0 - FIXED_VALUE) * work / mean).min(MAX_VALUE)
}

/// Returns the part of its value that a job has earned.
pub fn value_share(world: &CellSimulation, id: &JobId, at: u64, objective: Duration) -> f64 {
    let Some((JobRecord::Ended { how, at: end, .. }, _)) = world.store.jobs.get(id) else {
        return 0.0;
    };
    assert_eq!(*how, FinalState::Completed);
    let took = Duration::from_millis(end.saturating_sub(at));
    if took <= objective {
        1.0
    } else if took <= objective * 3 {
        LATE_VALUE
    } else {
        0.0
    }
}

/// Returns the part of the value of jobs that was earned, from 0 to 1.
pub fn earned<'a>(
    world: &CellSimulation,
    jobs: impl Iterator<Item = &'a Submitted>,
    mean: f64,
) -> f64 {
    let (mut owed, mut earned) = (0.0, 0.0);
    for job in jobs {
        let value = full_value(job.work, mean);
        owed += value;
        earned += value * value_share(world, &job.id, job.at, job.objective);
    }
    if owed > 0.0 { earned / owed } else { 1.0 }
}

/// Draws the arrivals of jobs between two times in seconds, at `rate(time)` jobs a second.
pub fn draw_arrivals(
    rng: &mut SmallRng,
    (from, to): (f64, f64),
    rate: impl Fn(f64) -> f64,
    mut steps: impl FnMut(&mut SmallRng) -> Vec<Step>,
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut time = from;
    loop {
        // A step is short beside each change of the rate.
        time += (-rng.random_range(0.001_f64..1.0).ln() / rate(time).max(0.01)).min(1.0);
        if time >= to {
            return arrivals;
        }
        arrivals.push(Arrival {
            after: seconds(time),
            organisation: None,
            queue: 0,
            steps: steps(rng),
        });
    }
}

/// Submits jobs at their times, and runs the cell for `rest` seconds after the last one.
pub fn submit_all(
    world: &mut CellSimulation,
    mut arrivals: Vec<Arrival>,
    rest: f64,
) -> Vec<Submitted> {
    arrivals.sort_by_key(|arrival| arrival.after);
    let start = world.now;
    let mut submitted = Vec::new();
    for arrival in arrivals {
        world.run((start + arrival.after).saturating_sub(world.now));
        let id = job_id(submitted.len());
        let organisation = arrival
            .organisation
            .map(|index| &world.organisations[index]);
        let accepted = AcceptedJob {
            waited_ms: 0,
            progress: Vec::new(),
            organisation: organisation.map(|organisation| organisation.name.clone()),
            queue: world.queues[arrival.queue].clone(),
            at: world.unix_ms(),
            job: Job {
                spec: "spec".into(),
                steps: arrival.steps,
                schedule: None,
            },
        };
        world.submit(&id, &accepted);
        submitted.push(Submitted {
            id,
            at: accepted.at,
            organisation: arrival.organisation,
            queue: arrival.queue,
            work: work(&accepted.job.steps),
            objective: objective(&accepted.job.steps),
        });
    }
    world.run(seconds(rest));
    submitted
}

/// Returns organisations of equal weight without limits.
pub fn organisations(count: usize, weight: f64) -> Vec<Organisation> {
    let names = (0..count).map(|index| format!("member-{index}"));
    names
        .map(|name| Organisation::new(name.as_str().into(), weight, Resources::default()))
        .collect()
}
