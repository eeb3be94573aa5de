//! Jobs that count as stalled, and what the log tells about them.

mod support;

use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::stalled::BATCH_LIMIT;
use nutmegcart_jobs::stalled::LONG_RUNNING_LIMIT;
use nutmegcart_jobs::stalled::MAX_TOLD;
use nutmegcart_jobs::stalled::StallChanges;
use nutmegcart_jobs::stalled::StallLog;
use nutmegcart_jobs::stalled::StalledJob;
use nutmegcart_jobs::stalled::StalledKind;
use support::batch_step;
use support::first_busy_worker;
use support::job_id;
use support::long_running_step;
use support::seconds;
use support::submit;
use support::world;

fn stalled(world: &CellSimulation) -> Vec<StalledJob> {
    let owner = world.owners.last().expect("the cell has an owner");
    owner.scheduler.stalled_jobs(world.now)
}

fn started_world(seed: u64, workers: usize) -> CellSimulation {
    let mut world = world(seed, workers);
    world.pools.truncate(1);
    world.take_over();
    world.run(seconds(1.0));
    world
}

/// Guards against a job without a worker that nothing tells of, and against one that is told early.
fn stalls_after_its_limit((step, kind, limit): (Step, StalledKind, Duration)) {
    let mut world = started_world(41, 0);
    submit(&mut world, 1, vec![step]);
    world.run(limit.saturating_sub(seconds(0.5)));
    assert_eq!(stalled(&world), []);
    world.run(seconds(1.0));
    let found = stalled(&world);
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!((&found[0].job, found[0].kind), (&job_id(1), kind));
    world.cancel(&job_id(1));
    world.run(seconds(0.5));
    assert_eq!(stalled(&world), []);
}

cases! { stalls_after_its_limit:
    long_running_task_without_a_worker_stalls => (long_running_step(1), StalledKind::LongRunning, LONG_RUNNING_LIMIT);
    batch_job_without_a_worker_stalls => (batch_step(1, 1_000, 100), StalledKind::Batch, BATCH_LIMIT);
}

/// Guards against a long-running job that has run before, whose workers were taken away at short
/// notice, and which nothing tells of.
#[test]
fn long_running_task_whose_workers_were_taken_away_stalls() {
    let mut world = started_world(42, 1);
    submit(&mut world, 1, vec![long_running_step(1)]);
    world.run(seconds(20.0));
    assert_eq!(stalled(&world), [], "a running job is not stalled");
    let host = first_busy_worker(&world);
    world.remove_for_good(&host, None);
    world.run(LONG_RUNNING_LIMIT + seconds(15.0));
    let found = stalled(&world);
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].kind, StalledKind::LongRunning);
}

fn stalled_jobs(count: usize) -> Vec<StalledJob> {
    let job = |number| StalledJob {
        job: job_id(number),
        pool: "gates".into(),
        kind: StalledKind::Batch,
        since: Duration::from_secs(1),
    };
    (1..=count).map(job).collect()
}

/// Guards against a line for each second of a stall, and against an end without a line.
#[test]
fn each_stall_is_told_once() {
    let mut log = StallLog::default();
    let jobs = stalled_jobs(2);
    assert_eq!(log.update(&jobs).stalled, jobs);
    for _ in 0..10 {
        assert_eq!(log.update(&jobs), StallChanges::default());
    }
    let changes = log.update(&jobs[1..]);
    assert_eq!(changes.resumed, [(jobs[0].job.clone(), jobs[0].since)]);
    assert_eq!(log.update(&jobs).stalled, [jobs[0].clone()]);
}

/// Guards against a flood of lines after the loss of a pool, and against jobs that are never told.
#[test]
fn number_of_jobs_told_at_a_time_is_bounded() {
    let mut log = StallLog::default();
    let jobs = stalled_jobs(MAX_TOLD + 5);
    assert_eq!(log.update(&jobs).stalled, jobs[..MAX_TOLD]);
    let changes = log.update(&jobs[3..]);
    assert_eq!(changes.resumed.len(), 3);
    assert_eq!(changes.stalled, jobs[MAX_TOLD..MAX_TOLD + 3]);
}
