//! Tasks that wait although a worker has room for them, because of earlier failures.

mod support;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fakes::cell::worker::FakeWorker;
use nutmegcart_fakes::cell::worker::listing;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::FinalState;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobState;
use nutmegcart_jobs::PoolConfig;
use nutmegcart_jobs::RunEnd;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::TaskKey;
use nutmegcart_model::WorkerId;
use support::add_spares;
use support::assert_no_violations;
use support::batch_step;
use support::completed;
use support::job_id;
use support::long_running_step;
use support::queue;
use support::seconds;
use support::submit;
use support::submit_to;
use support::task;
use support::world;

/// Creates a cell without a spare pool, with an owner.
fn calm_cell(seed: u64, workers: usize) -> CellSimulation {
    let mut world = world(seed, workers);
    world.pools.truncate(1);
    world.take_over();
    world.run(seconds(1.0));
    world
}

fn long_running(count: u32, cpu: u64, per_worker: u32) -> Step {
    Step {
        need: Resources::new(cpu, 1_000, 0),
        per_worker,
        ..long_running_step(count)
    }
}

/// Returns the worker that runs a task.
fn host(world: &CellSimulation, key: &TaskKey) -> Option<WorkerId> {
    let mut workers = world.workers.iter();
    let host = workers.find(|(_, worker)| worker.up && worker.runs.contains_key(key));
    host.map(|(id, _)| id.clone())
}

fn live_runs(world: &CellSimulation, id: &JobId) -> usize {
    let runs = world.workers.values().flat_map(|worker| worker.runs.keys());
    runs.filter(|key| key.job == *id).count()
}

/// Lets the run of a task fail; returns the worker on which it was.
fn fail_run(world: &mut CellSimulation, key: &TaskKey) -> WorkerId {
    let id = host(world, key).expect("the task runs");
    let worker = world.workers.get_mut(&id).expect("a known worker");
    let number = worker.runs[key].number;
    worker.end_run(key, RunEnd::Failed, world.now);
    world.checker.record_end(&id, key, number, false, true);
    id
}

/// Submits a job whose only task fails all of its attempts.
fn submit_failing(world: &mut CellSimulation, number: usize) -> JobId {
    world.failing_tasks.insert(task(&job_id(number), 0, 0));
    submit(world, number, vec![batch_step(1, 1_000, 300)])
}

fn failed(world: &CellSimulation, id: &JobId) -> bool {
    world.stored_state(id) == Some(JobState::Ended(FinalState::Failed))
}

/// Runs until a condition holds, up to a limit in seconds.
fn run_until(world: &mut CellSimulation, limit: f64, condition: impl Fn(&CellSimulation) -> bool) {
    let end = world.now + seconds(limit);
    while !condition(world) && world.now < end {
        world.run(seconds(0.05));
    }
}

/// Guards against a failing job that stays open for ever, because a long-running task runs on the
/// only worker.
#[test]
fn failing_job_ends_beside_a_long_running_task() {
    let mut world = calm_cell(71, 1);
    let failing = submit_failing(&mut world, 1);
    let lasting = submit(&mut world, 2, vec![long_running(1, 5_000, 1)]);
    world.run(seconds(40.0));
    assert_eq!(live_runs(&world, &lasting), 1);
    assert_eq!(
        (
            failed(&world, &failing),
            world.checker.failures(&task(&failing, 0, 0))
        ),
        (true, 2),
        "whether the job ended, and its failed runs"
    );
    assert_no_violations(&world);
}

/// Guards against long-running tasks that wait for ever because a task failed on the only worker
/// and the first of them runs there.
#[test]
fn all_long_running_tasks_start_after_a_failed_job() {
    let mut world = calm_cell(72, 1);
    let failing = submit_failing(&mut world, 1);
    world.run(seconds(3.0));
    assert!(failed(&world, &failing));
    let lasting = submit(&mut world, 2, vec![long_running(140, 400, 0)]);
    world.run(seconds(6.0));
    assert_eq!(live_runs(&world, &lasting), 140);
    assert_no_violations(&world);
}

/// Guards against tasks that wait for ever because on every worker a task has failed and a
/// long-running one runs.
#[test]
fn tasks_start_when_every_worker_has_a_failure_and_a_long_running_task() {
    let mut world = calm_cell(73, 2);
    let first = submit(&mut world, 1, vec![long_running(2, 5_000, 1)]);
    world.run(seconds(2.0));
    assert_eq!(live_runs(&world, &first), 2);
    let failing = submit_failing(&mut world, 2);
    world.run(seconds(3.0));
    assert!(failed(&world, &failing));
    let second = submit(&mut world, 3, vec![long_running(1, 5_000, 1)]);
    let batch = submit(&mut world, 4, vec![batch_step(4, 1_000, 300)]);
    world.run(seconds(6.0));
    assert_eq!(
        (live_runs(&world, &second), completed(&world, &batch)),
        (1, true),
        "runs of the long-running task, and whether the batch job ended"
    );
    assert_no_violations(&world);
}

/// Guards against a long-running task that waits as long as a batch task takes that runs on a
/// worker with a failure.
#[test]
fn long_running_task_starts_beside_a_long_batch_task_after_a_failure() {
    let mut world = calm_cell(74, 1);
    let batch = submit(&mut world, 1, vec![batch_step(1, 5_000, 60_000)]);
    world.run(seconds(2.0));
    submit_failing(&mut world, 2);
    world.run(seconds(2.0));
    let lasting = submit(&mut world, 3, vec![long_running(1, 5_000, 1)]);
    world.run(seconds(6.0));
    assert_eq!(
        (live_runs(&world, &lasting), live_runs(&world, &batch)),
        (1, 1)
    );
    assert_no_violations(&world);
}

/// Guards against a failed long-running task that never runs again because the other workers are at
/// its per-worker limit.
#[test]
fn failed_long_running_task_returns_when_others_are_at_the_limit() {
    let mut world = calm_cell(75, 3);
    let lasting = submit(&mut world, 1, vec![long_running(3, 5_000, 1)]);
    world.run(seconds(2.0));
    assert_eq!(live_runs(&world, &lasting), 3);
    fail_run(&mut world, &task(&lasting, 0, 1));
    world.run(seconds(6.0));
    assert_eq!(live_runs(&world, &lasting), 3);
    assert_no_violations(&world);
}

/// Guards against a failed long-running task that never runs again because the other workers are
/// full of long-running tasks.
#[test]
fn failed_long_running_task_returns_when_others_are_full() {
    let mut world = calm_cell(76, 3);
    let filling = submit(&mut world, 1, vec![long_running(2, 62_000, 1)]);
    world.run(seconds(1.0));
    assert_eq!(live_runs(&world, &filling), 2);
    let lasting = submit(&mut world, 2, vec![long_running(1, 5_000, 1)]);
    world.run(seconds(2.0));
    fail_run(&mut world, &task(&lasting, 0, 0));
    world.run(seconds(6.0));
    assert_eq!(live_runs(&world, &lasting), 1);
    assert_no_violations(&world);
}

/// Guards against a job that stays open for ever because its task failed once and the other workers
/// are full of long-running tasks.
#[test]
fn batch_task_returns_to_its_worker_when_others_stay_full() {
    let mut world = calm_cell(77, 2);
    let filling = submit(&mut world, 1, vec![long_running(1, 62_000, 1)]);
    world.run(seconds(1.0));
    assert_eq!(live_runs(&world, &filling), 1);
    let batch = submit(&mut world, 2, vec![batch_step(1, 5_000, 900)]);
    world.run(seconds(0.3));
    fail_run(&mut world, &task(&batch, 0, 0));
    world.run(seconds(20.0));
    assert!(completed(&world, &batch));
    assert_no_violations(&world);
}

/// Guards against a batch task that uses its last attempt on the worker on which it failed,
/// although another one becomes free soon.
#[test]
fn batch_task_waits_for_another_worker_that_becomes_free_soon() {
    let mut world = calm_cell(78, 2);
    let filling = submit(&mut world, 1, vec![batch_step(1, 62_000, 5_000)]);
    world.run(seconds(0.5));
    let batch = submit(&mut world, 2, vec![batch_step(1, 5_000, 900)]);
    world.run(seconds(0.3));
    let key = task(&batch, 0, 0);
    let (busy, first) = (
        host(&world, &task(&filling, 0, 0)).expect("it runs"),
        fail_run(&mut world, &key),
    );
    assert_ne!(busy, first);
    run_until(&mut world, 15.0, |world| host(world, &key).is_some());
    assert_eq!(host(&world, &key), Some(busy));
    run_until(&mut world, 5.0, |world| completed(world, &batch));
    assert!(completed(&world, &batch));
}

/// Guards against a worker that fails all batch tasks and drains the queue while a long-running
/// task works on it.
#[test]
fn worker_with_long_running_task_that_fails_all_others_is_penalised() {
    let mut world = calm_cell(79, 8);
    let lasting = submit(&mut world, 1, vec![long_running(1, 5_000, 1)]);
    world.run(seconds(2.0));
    let bad = host(&world, &task(&lasting, 0, 0)).expect("it runs");
    world.workers.get_mut(&bad).expect("a worker").failing = true;
    let jobs: Vec<_> = (0..30)
        .map(|number| {
            let id = submit(&mut world, 100 + number, vec![batch_step(6, 3_500, 600)]);
            world.run(seconds(0.1));
            id
        })
        .collect();
    world.run(seconds(6.0));
    let failed = jobs.iter().filter(|id| failed(&world, id)).count();
    assert_eq!(failed, 0, "no job failed because of the worker alone");
    assert!(jobs.iter().all(|id| completed(&world, id)));
    assert_eq!(live_runs(&world, &lasting), 1);
}

/// Guards against a long-running task that waits for ever because another one fails again and again
/// on the only worker.
#[test]
fn long_running_task_starts_beside_one_that_fails_repeatedly() {
    let mut world = calm_cell(80, 1);
    let crashing = submit(&mut world, 1, vec![long_running(1, 5_000, 1)]);
    world.run(seconds(1.0));
    let key = task(&crashing, 0, 0);
    fail_run(&mut world, &key);
    let lasting = submit(&mut world, 2, vec![long_running(1, 5_000, 1)]);
    for _ in 0..60 {
        world.run(seconds(0.1));
        if host(&world, &key).is_some() {
            fail_run(&mut world, &key);
        }
    }
    assert_eq!(live_runs(&world, &lasting), 1);
}

/// Guards against tasks that wait although a worker has room for them, because an earlier task of
/// their step avoids that worker.
#[test]
fn tasks_start_on_a_worker_that_a_sibling_avoids() {
    let mut world = calm_cell(81, 2);
    let filling = submit(&mut world, 1, vec![long_running(1, 62_000, 1)]);
    world.run(seconds(1.0));
    assert_eq!(live_runs(&world, &filling), 1);
    let batch = submit(&mut world, 2, vec![batch_step(30, 5_000, 900)]);
    world.run(seconds(0.3));
    fail_run(&mut world, &task(&batch, 0, 0));
    world.run(seconds(5.0));
    let open = (1..30).filter(|index| !world.checker.is_completed(&task(&batch, 0, *index)));
    assert_eq!(open.count(), 0, "siblings that have not finished");
    assert_no_violations(&world);
}

/// Creates a cell with three workers in one pool and `boats` workers in another, and its owner.
fn cell_with_boats(seed: u64, boats: usize) -> CellSimulation {
    let mut world = world(seed, 3);
    world.queues.push(queue("boats"));
    world
        .pools
        .insert(1, ("boats".into(), PoolConfig { spare: false }));
    let size = Resources::new(64_000, 262_144, 0);
    for index in 0..boats {
        let id = format!("boat-{index}");
        let worker = FakeWorker::new(listing(&id, "boats", "r2-0", size), world.now);
        world.add_worker(worker);
    }
    world.take_over();
    world
}

/// Guards against a long-running task that waits for a machine as long as the burst of another pool
/// lasts, because all free machines go to the pool with the larger shortage.
#[test]
fn long_running_task_gets_a_machine_during_the_burst_of_another_pool() {
    let mut world = cell_with_boats(81, 2);
    let lasting = submit(&mut world, 1, vec![long_running(3, 5_000, 1)]);
    world.run(seconds(1.0));
    assert_eq!(live_runs(&world, &lasting), 3);
    let lost = host(&world, &task(&lasting, 0, 0)).expect("the task runs");
    for number in 0..8 {
        submit_to(
            &mut world,
            1,
            10 + number,
            vec![batch_step(80, 8_000, 3_000)],
        );
    }
    world.remove_for_good(&lost, None);
    world.run(seconds(1.0));
    add_spares(&mut world, 3);
    world.run(seconds(7.0));
    assert_eq!(live_runs(&world, &lasting), 3);
    assert_no_violations(&world);
}

/// Creates a cell with long-running tasks on all three workers of one pool, while jobs of `steps`
/// keep all workers of another pool busy, and loses one of the three. Returns the cell and the job.
fn cell_with_a_lost_machine_beside_a_burst(steps: &[Step]) -> (CellSimulation, JobId) {
    let mut world = cell_with_boats(82, 6);
    // Before any machine is idle long enough to move.
    let lasting = submit(&mut world, 1, vec![long_running(3, 40_000, 1)]);
    for number in 0..60 {
        submit_to(&mut world, 1, 10 + number, steps.to_vec());
    }
    world.run(seconds(2.0));
    assert_eq!(live_runs(&world, &lasting), 3);
    let lost = host(&world, &task(&lasting, 0, 0)).expect("the task runs");
    world.remove_for_good(&lost, None);
    (world, lasting)
}

/// Guards against a long-running task that waits as long as another pool's burst keeps all machines
/// of the cell busy, so that none is ever idle.
#[test]
fn long_running_task_gets_a_busy_machine_of_another_pool() {
    let (mut world, lasting) =
        cell_with_a_lost_machine_beside_a_burst(&[batch_step(60, 8_000, 900)]);
    run_until(&mut world, 10.0, |world| live_runs(world, &lasting) == 3);
    assert_eq!(live_runs(&world, &lasting), 3);
    assert_no_violations(&world);
}

/// Guards against machines that stay reserved for a task that no longer waits.
#[test]
fn vacated_machine_is_used_again_when_it_is_not_needed() {
    let (mut world, lasting) =
        cell_with_a_lost_machine_beside_a_burst(&[batch_step(16, 8_000, 40_000)]);
    let reserved = |world: &CellSimulation| {
        let owner = world.owners.last().expect("a cell has an owner");
        let workers = owner.scheduler.workers();
        workers.filter(|worker| worker.reserved).count()
    };
    run_until(&mut world, 10.0, |world| reserved(world) > 0);
    assert!(reserved(&world) > 0, "no machine is vacated");
    world.cancel(&lasting);
    world.run(seconds(1.0));
    assert_eq!(reserved(&world), 0);
    assert_no_violations(&world);
}
