//! Workers with more unacknowledged ends than one of their reports lists.

mod support;

use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_jobs::JobId;
use support::assert_all_completed;
use support::assert_no_violations;
use support::batch_step;
use support::first_busy_worker;
use support::seconds;
use support::submit;
use support::world;

/// Ends that a report of a worker lists in these tests, unless it lists more than there are.
const MAX_ENDS: usize = 40;
/// Tasks of the job in these tests.
const TASKS: u32 = 1_200;

fn set_max_ends(world: &mut CellSimulation, max_ends: usize) {
    for worker in world.workers.values_mut() {
        worker.max_ends = max_ends;
    }
}

/// Returns the largest number of unacknowledged ends of a worker.
fn most_ends(world: &CellSimulation) -> usize {
    let workers = world.workers.values();
    workers
        .map(|worker| worker.ended.len())
        .max()
        .unwrap_or_default()
}

/// Creates a cell with an owner and short tasks that are being worked on, of which a worker runs
/// about 100 at a time.
fn busy_world(seed: u64, max_ends: usize) -> (CellSimulation, usize, JobId) {
    let mut world = world(seed, 3);
    set_max_ends(&mut world, max_ends);
    let owner = world.take_over();
    world.run(seconds(1.0));
    let job = submit(&mut world, 1, vec![batch_step(TASKS, 600, 300)]);
    world.run(seconds(0.5));
    assert!(world.checker.starts > 0);
    (world, owner, job)
}

fn assert_each_task_ran_once(world: &CellSimulation, job: &JobId) {
    assert_no_violations(world);
    assert_all_completed(world, std::slice::from_ref(job));
    assert_eq!(world.checker.starts, TASKS as usize, "starts");
}

/// Guards against tasks that run again after an outage of the store because their ends were not
/// listed, and against ones that never run because an owner waits for a list that stays truncated.
fn outage_of_the_store((max_ends, length): (usize, Duration)) {
    let (mut world, _, job) = busy_world(71, max_ends);
    world.store.down = true;
    world.run(length);
    world.store.down = false;
    world.run(seconds(60.0));
    assert_each_task_ran_once(&world, &job);
}

cases! { outage_of_the_store:
    short_outage => (MAX_ENDS, seconds(1.2));
    outage_of_four_seconds => (MAX_ENDS, seconds(4.2));
    outage_in_which_the_owner_stops_acting => (MAX_ENDS, seconds(8.0));
    outage_with_few_ends_in_a_report => (8, seconds(4.2));
    outage_with_many_ends_in_a_report => (500, seconds(4.2));
}

/// Guards against an owner that starts tasks until the ends of a worker exceed what a report lists.
#[test]
fn starts_stop_before_a_report_is_truncated() {
    let (mut world, _, job) = busy_world(72, MAX_ENDS);
    world.store.down = true;
    let mut most = 0;
    for _ in 0..200 {
        world.run(Duration::from_millis(20));
        most = most.max(most_ends(&world));
    }
    assert!(most > MAX_ENDS / 2, "the worker goes on: {most} ends");
    assert!(
        most < MAX_ENDS,
        "{most} ends, of which a report lists {MAX_ENDS}"
    );
    world.store.down = false;
    world.run(seconds(30.0));
    assert_each_task_ran_once(&world, &job);
}

/// Guards against a successor that takes the first report of a worker for complete, and starts tasks
/// again whose ends that report did not list.
#[test]
fn take_over_with_truncated_reports() {
    let (mut world, first, job) = busy_world(73, 500);
    world.store.down = true;
    world.run(seconds(1.0));
    world.owners[first].up = false;
    world.store.down = false;
    world.run(seconds(0.4));
    let ends = most_ends(&world);
    set_max_ends(&mut world, 10);
    assert!(ends > 100, "only {ends} ends");
    world.take_over();
    world.run(seconds(60.0));
    assert_each_task_ran_once(&world, &job);
}

/// Guards against a confirmed stop of a run that is taken for the cause of its absence, although its
/// end is one that the report does not list.
#[test]
fn confirmed_stop_of_a_run_whose_end_is_not_listed() {
    let (mut world, _, job) = busy_world(74, 500);
    world.store.down = true;
    // The owner orders the stops before the ends have been reported.
    let host = first_busy_worker(&world);
    let now = world.now;
    let worker = world.workers.get_mut(&host).expect("a worker");
    worker.max_ends = 10;
    worker.listing.draining = true;
    let live: Vec<_> = worker.runs.keys().cloned().collect();
    for task in &live {
        worker.end_run(task, nutmegcart_jobs::RunEnd::Done, now);
    }
    assert!(live.len() > 50, "only {} runs", live.len());
    world.list_worker(&host);
    world.run(seconds(1.0));
    world.store.down = false;
    world.run(seconds(60.0));
    assert_each_task_ran_once(&world, &job);
}
