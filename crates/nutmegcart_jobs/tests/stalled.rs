//! Jobs that count as stalled, and what the log tells about them.

mod support;

use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fakes::cell::worker::FakeWorker;
use nutmegcart_fakes::cell::worker::listing;
use nutmegcart_fleet::Resources;
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
use support::worker;
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

/// Takes the first workers away as a platform that shrinks a pool does: it lists them as leaving, and
/// switches them off when the notice has passed.
fn withdraw(world: &mut CellSimulation, count: usize, notice: Duration) {
    for id in (0..count).map(worker) {
        let leaving = world.workers.get_mut(&id).expect("the worker exists");
        leaving.listing.draining = true;
        leaving.listing.remaining = notice;
        world.list_worker(&id);
        world.after(notice, move |world| world.remove_for_good(&id, None));
    }
}

/// Guards against work that waits unnoticed after all its workers, or some, have left at short
/// notice, and against a line while it still runs.
fn work_without_its_workers_stalls((step, left, kind): (Step, usize, StalledKind)) {
    let limit = match kind {
        StalledKind::Batch => BATCH_LIMIT,
        StalledKind::LongRunning => LONG_RUNNING_LIMIT,
    };
    let mut world = started_world(43, 3);
    submit(&mut world, 1, vec![step]);
    world.run(BATCH_LIMIT + seconds(5.0));
    assert_eq!(stalled(&world), [], "a running job is not stalled");
    let notice = seconds(2.0);
    withdraw(&mut world, left, notice);
    world.run(notice + limit.saturating_sub(seconds(0.5)).saturating_sub(notice));
    assert_eq!(stalled(&world), []);
    // The runs end within the time of a lease after the notice.
    world.run(notice + seconds(7.0));
    let found = stalled(&world);
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!((&found[0].job, found[0].kind), (&job_id(1), kind));
    let size = Resources::new(64_000, 262_144, 0);
    for index in 3..6 {
        let name = support::worker_name(index);
        let other = listing(&name, "gates", "r1-9", size);
        world.add_worker(FakeWorker::new(other, world.now));
    }
    world.run(seconds(3.0));
    assert_eq!(stalled(&world), []);
}

cases! { work_without_its_workers_stalls:
    long_running_job_whose_workers_all_left_stalls =>
        (long_running_step(3), 3, StalledKind::LongRunning);
    long_running_job_that_lost_some_workers_stalls =>
        (long_running_step(3), 2, StalledKind::LongRunning);
    begun_batch_job_whose_workers_left_stalls =>
        (batch_step(60, 50_000, 4_000), 3, StalledKind::Batch);
}

/// Guards against a long-running task that is told as stalled as soon as the step before it has
/// finished.
#[test]
fn wait_begins_when_the_step_before_has_finished() {
    let mut world = started_world(44, 1);
    let mut second = long_running_step(2);
    second.after = vec![0];
    submit(&mut world, 1, vec![batch_step(1, 4_000, 20_000), second]);
    for _ in 0..60 {
        world.run(seconds(0.5));
        assert_eq!(stalled(&world), []);
    }
    world.run(LONG_RUNNING_LIMIT);
    assert_eq!(stalled(&world).len(), 1, "one of two tasks has no worker");
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
