//! Runs whose progress is slow or stands still.

mod support;

use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::Step;
use support::assert_no_violations;
use support::batch_step;
use support::completed;
use support::seconds;
use support::submit;
use support::worker;
use support::world;

/// A cell with one pool, whose workers take `slowdown` times as long as jobs estimate.
fn cell(workers: usize, slowdown: u32) -> CellSimulation {
    let mut world = world(91, workers);
    world.pools.truncate(1);
    for each in world.workers.values_mut() {
        each.slowdown = slowdown;
    }
    world.take_over();
    world.run(seconds(1.0));
    world
}

/// Submits a job with one task that only the first worker may run if `labelled`.
fn submit_task(world: &mut CellSimulation, estimate_ms: u64, labelled: bool) -> JobId {
    let step = Step {
        label: labelled.then(|| "only".into()),
        ..batch_step(1, 4_000, estimate_ms)
    };
    submit(world, 1, vec![step])
}

fn label_first_worker(world: &mut CellSimulation) {
    let first = world.workers.get_mut(&worker(0)).expect("a worker");
    first.listing.labels.push("only".into());
    world.list_worker(&worker(0));
}

/// Guards against sound tasks that are stopped as stalled again and again, since their progress
/// moves by one percent in seconds.
fn sound_task_ends((estimate_ms, slowdown, labelled, starts): (u64, u32, bool, usize)) {
    let mut world = cell(8, slowdown);
    label_first_worker(&mut world);
    world.run(seconds(0.5));
    let job = submit_task(&mut world, estimate_ms, labelled);
    let duration = Duration::from_millis(estimate_ms) * slowdown;
    world.run(duration + Duration::from_secs(if starts > 1 { 300 } else { 1 }));
    assert_no_violations(&world);
    assert!(completed(&world, &job), "{} starts", world.checker.starts);
    assert!(
        world.checker.starts <= starts,
        "{} starts",
        world.checker.starts
    );
}

cases! { sound_task_ends:
    ten_times_as_long_as_estimated => (30_000, 10, false, 1);
    ten_times_as_long_on_the_only_worker => (30_000, 10, true, 1);
    an_hour_as_estimated => (3_600_000, 1, false, 1);
    an_hour_instead_of_a_second => (1_000, 3_600, false, 8);
    an_hour_instead_of_a_second_on_the_only_worker => (1_000, 3_600, true, 8);
}

/// Guards against workers that are blamed for a task that takes much longer than estimated.
#[test]
fn workers_of_a_slow_task_are_not_penalised() {
    let mut world = cell(8, 3_600);
    submit_task(&mut world, 1_000, false);
    world.run(seconds(120.0));
    let owner = &world.owners[0].scheduler;
    for worker in owner.workers() {
        assert!(worker.failed_jobs.is_empty(), "{}", worker.listing.id);
        assert_eq!(worker.penalties, 0, "{}", worker.listing.id);
    }
}

/// Guards against a successor that stops a run whose progress is slow, because it has not seen it
/// from its start.
#[test]
fn successor_leaves_a_slow_run_alone() {
    let mut world = cell(8, 3_600);
    let job = submit_task(&mut world, 1_000, false);
    world.run(seconds(600.0));
    let starts = world.checker.starts;
    world.owners[0].up = false;
    world.run(seconds(0.5));
    world.take_over();
    world.run(seconds(3_600.0));
    assert_no_violations(&world);
    assert_eq!(world.checker.starts, starts);
    assert!(completed(&world, &job));
}

/// Guards against a hung worker that is found late: within 1.5 s, or a fifth of the prediction, and
/// two polls.
fn hung_worker_is_found((estimate_ms, limit): (u64, f64)) {
    let mut world = cell(2, 1);
    for each in world.workers.values_mut() {
        each.hung = true;
    }
    submit_task(&mut world, estimate_ms, false);
    world.run(seconds(0.1));
    assert_eq!(world.checker.starts, 1);
    for each in world.workers.values_mut() {
        if each.runs.is_empty() {
            each.hung = false;
        }
    }
    world.run(seconds(limit));
    assert_eq!(world.checker.starts, 2, "the task runs elsewhere");
    assert_no_violations(&world);
}

cases! { hung_worker_is_found:
    task_of_a_second => (1_000, 2.6);
    task_of_seven_seconds => (7_500, 2.6);
    task_of_five_minutes => (300_000, 62.1);
}

/// Guards against a worker that is found late because polls, which it answers every second while
/// nothing ends, are taken for the pace of its runs.
#[test]
fn worker_that_hangs_midway_is_found() {
    let mut world = cell(2, 10);
    submit_task(&mut world, 1_000, false);
    world.run(seconds(3.5));
    assert_eq!(world.checker.starts, 1);
    for each in world.workers.values_mut() {
        each.hung = !each.runs.is_empty();
    }
    world.run(seconds(3.7));
    assert_eq!(world.checker.starts, 2, "the task runs elsewhere");
    assert_no_violations(&world);
}
