//! Attempts of long-running tasks that fail wherever they start.

mod support;

use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::RunEnd;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::TaskKey;
use nutmegcart_model::WorkerId;
use support::add_spares;
use support::assert_no_violations;
use support::batch_step;
use support::long_running_step;
use support::seconds;
use support::submit;
use support::task;
use support::world;

/// Time between two looks at the runs.
const LOOK: Duration = Duration::from_millis(1);
/// Waits before the first attempts after the one that failed first.
const WAITS: [Duration; 8] = [
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
    Duration::from_millis(1_600),
    Duration::from_millis(3_200),
    Duration::from_secs(5),
    Duration::from_secs(5),
];
/// Time from the end of a run until the next one begins if nothing delays it.
const START_TIME: Duration = Duration::from_millis(25);
/// Time after the start of a run from which its worker reports that it is at work, and until the
/// owner knows.
const WORK_TIME: Duration = Duration::from_millis(1_400);

fn started_world(seed: u64, workers: usize) -> CellSimulation {
    let mut world = world(seed, workers);
    world.take_over();
    world.run(seconds(1.0));
    world
}

/// Submits a job of one step, of which the first `failing` tasks fail wherever they start.
fn submit_failing(world: &mut CellSimulation, step: Step, failing: u32) -> JobId {
    let id = support::job_id(1);
    let keys = (0..failing).map(|index| task(&id, 0, index));
    world.failing_tasks.extend(keys);
    submit(world, 1, vec![step])
}

/// Runs until the condition holds, and returns how long that took.
fn run_until(world: &mut CellSimulation, condition: impl Fn(&CellSimulation) -> bool) -> Duration {
    let from = world.now;
    while !condition(world) {
        world.run(LOOK);
        world.check_long_running();
        assert!(world.now < from + seconds(30.0), "the condition never held");
    }
    world.now.saturating_sub(from)
}

/// Lets a task fail `count` times.
fn fail_times(world: &mut CellSimulation, key: &TaskKey, count: u32) {
    run_until(world, |world| world.checker.failures(key) >= count);
}

fn host(world: &CellSimulation, key: &TaskKey) -> WorkerId {
    let mut workers = world.workers.iter();
    let host = workers.find(|(_, worker)| worker.up && worker.runs.contains_key(key));
    host.expect("the task runs").0.clone()
}

/// Ends the run of a task in the given way.
fn end_run(world: &mut CellSimulation, key: &TaskKey, how: RunEnd) {
    let id = host(world, key);
    let worker = world.workers.get_mut(&id).expect("a known worker");
    let number = worker.runs[key].number;
    worker.end_run(key, how, world.now);
    let failed = how == RunEnd::Failed;
    world.checker.record_end(&id, key, number, false, failed);
}

/// Lets the task of a job fail five times and then start, and returns the task.
fn start_after_failures(world: &mut CellSimulation) -> TaskKey {
    let id = submit_failing(world, long_running_step(1), 1);
    let key = task(&id, 0, 0);
    fail_times(world, &key, 5);
    world.failing_tasks.clear();
    run_until(world, |world| world.checker.is_live(&key));
    key
}

/// Guards against attempts that follow each other as fast as the owner can start them, and against a
/// wait of more than 5 s.
fn attempts_are_spaced(step: Step) {
    let mut world = started_world(71, 4);
    let id = submit_failing(&mut world, step, 1);
    let key = task(&id, 0, 0);
    fail_times(&mut world, &key, 1);
    for (failed, wait) in (1..).zip(WAITS) {
        let waited = run_until(&mut world, |world| world.checker.failures(&key) > failed);
        assert_eq!(world.checker.failures(&key), failed + 1);
        let expected = wait..wait + START_TIME;
        assert!(expected.contains(&waited), "{waited:?} for {wait:?}");
    }
    assert_no_violations(&world);
}

cases! { attempts_are_spaced:
    attempts_of_a_task_are_spaced => long_running_step(1);
    attempts_of_a_gang_are_spaced => Step { gang: true, ..long_running_step(3) };
}

/// Guards against a wait that leaves the task without a run for too long where others fill the pool.
#[test]
fn attempts_go_on_in_a_full_pool() {
    let mut world = started_world(77, 4);
    submit(&mut world, 2, vec![batch_step(4_000, 8_000, 500)]);
    let id = submit_failing(&mut world, long_running_step(1), 1);
    for _ in 0..400 {
        world.run(seconds(0.1));
        world.check_long_running();
    }
    let failures = world.checker.failures(&task(&id, 0, 0));
    assert!((11..=14).contains(&failures), "{failures} failures");
    assert_no_violations(&world);
}

/// Guards against a job whose other tasks are held back, or stopped, for the one that fails.
#[test]
fn other_tasks_of_the_job_run() {
    let mut world = started_world(72, 4);
    let id = submit_failing(&mut world, long_running_step(3), 1);
    run_until(&mut world, |world| {
        (1..3).all(|index| world.checker.is_live(&task(&id, 0, index)))
    });
    for _ in 0..200 {
        world.run(seconds(0.1));
        for index in 1..3 {
            assert!(world.checker.is_live(&task(&id, 0, index)), "task {index}");
        }
    }
    end_run(&mut world, &task(&id, 0, 1), RunEnd::Lapsed);
    let away = run_until(&mut world, |world| world.checker.is_live(&task(&id, 0, 1)));
    assert!(away < seconds(1.0) + START_TIME, "{away:?}");
    assert_no_violations(&world);
}

/// Guards against a task that has worked and still waits for the failures before.
#[test]
fn run_at_work_resets_the_wait() {
    let mut world = started_world(73, 4);
    let key = start_after_failures(&mut world);
    world.run(WORK_TIME);
    end_run(&mut world, &key, RunEnd::Failed);
    let worked = run_until(&mut world, |world| world.checker.is_live(&key));
    // The poll that waits on the worker is answered when the longest wait has passed.
    assert!(worked < seconds(1.0) + START_TIME, "{worked:?}");
    world.failing_tasks.insert(key.clone());
    end_run(&mut world, &key, RunEnd::Failed);
    let first = world.checker.failures(&key);
    fail_times(&mut world, &key, first + 1);
    let waited = run_until(&mut world, |world| world.checker.failures(&key) > first + 1);
    assert!(waited < seconds(0.3), "{waited:?}");
}

/// Guards against a run that its worker or its owner ended and that counts as an attempt.
fn other_ends_do_not_delay(how: RunEnd) {
    let mut world = started_world(74, 4);
    let key = start_after_failures(&mut world);
    world.run(seconds(0.1));
    end_run(&mut world, &key, how);
    let waited = run_until(&mut world, |world| world.checker.is_live(&key));
    assert!(waited < seconds(1.0) + START_TIME, "{waited:?}");
    assert_no_violations(&world);
}

cases! { other_ends_do_not_delay:
    stopped_run_does_not_delay => RunEnd::Stopped;
    lapsed_run_does_not_delay => RunEnd::Lapsed;
}

/// Guards against a task that waits longer because its worker was leaving.
#[test]
fn evacuated_run_does_not_delay() {
    let mut world = started_world(75, 4);
    let key = start_after_failures(&mut world);
    world.run(seconds(0.1));
    let id = host(&world, &key);
    let worker = world.workers.get_mut(&id).expect("a known worker");
    worker.listing.draining = true;
    world.list_worker(&id);
    run_until(&mut world, |world| !world.checker.is_live(&key));
    let waited = run_until(&mut world, |world| world.checker.is_live(&key));
    assert!(waited < seconds(1.0) + START_TIME, "{waited:?}");
    assert_no_violations(&world);
}

/// Guards against machines that move because of tasks which wait between two attempts.
fn machines_stay(step: Step) {
    let mut world = started_world(76, 4);
    add_spares(&mut world, 8);
    world.run(seconds(3.0));
    let failing = step.count;
    submit_failing(&mut world, step, failing);
    world.run(seconds(15.0));
    let orders = world.machine_orders.len();
    let demand = |world: &CellSimulation| {
        let owner = world.owners.last().expect("an owner");
        let demand = owner.scheduler.pool_demand(&"gates".into());
        demand.expect("the owner lists machines")
    };
    for _ in 0..2_000 {
        world.run(seconds(0.01));
        let demand = demand(&world);
        assert_eq!(demand.urgent, 0, "{demand:?}");
        assert!(demand.wanted <= demand.held, "{demand:?}");
    }
    let moved = &world.machine_orders[orders..];
    assert_eq!(moved, [], "orders for machines");
    assert_no_violations(&world);
}

cases! { machines_stay:
    tasks_with_a_limit_for_each_worker_move_no_machines => long_running_step(4);
    tasks_that_share_a_worker_move_no_machines => Step {
        per_worker: 0,
        need: Resources::new(1_000, 1_000, 0),
        ..long_running_step(8)
    };
    gang_moves_no_machines => Step { gang: true, ..long_running_step(3) };
}
