//! Orders that are lost, delayed, or reach another incarnation of their worker.

mod support;

use nutmegcart_fleet::Resources;
use nutmegcart_jobs::FinalState;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobState;
use support::assert_all_completed;
use support::assert_no_violations;
use support::batch_step;
use support::completed;
use support::first_busy_worker;
use support::job_id;
use support::live_long_running_runs;
use support::long_running_step;
use support::seconds;
use support::submit;
use support::task;
use support::worker;
use support::world;

/// Submits jobs while orders are delayed and workers restart.
fn late_orders_start_no_task_twice(seed: u64) {
    let mut world = world(seed, 8);
    world.take_over();
    world.run(seconds(1.0));
    world.delayed_share = 0.1;
    world.duration_spread = 1.5;
    let mut jobs = Vec::new();
    for number in 0..30 {
        jobs.push(submit(&mut world, number, vec![batch_step(6, 5_000, 700)]));
        world.run(seconds(0.15));
        if number % 10 == 4 {
            let restarting = worker(number % 8);
            world.crash(&restarting);
            world.after(seconds(1.5), move |world| world.restart(&restarting));
        }
    }
    world.delayed_share = 0.0;
    world.run(seconds(30.0));
    assert_no_violations(&world);
    assert_all_completed(&world, &jobs);
}

cases! { late_orders_start_no_task_twice:
    /// Guards against starts that are carried out seconds after their task was started on another
    /// worker.
    late_orders_seed_11 => 11;
    /// Same as above, with other orders delayed.
    late_orders_seed_12 => 12;
    /// Same as above, with other orders delayed.
    late_orders_seed_13 => 13;
    /// Same as above, with other orders delayed.
    late_orders_seed_14 => 14;
}

/// Guards against a start that is under way when its worker restarts, and reaches the new
/// incarnation, which carries it out seconds later.
#[test]
fn late_order_is_refused_by_next_incarnation() {
    for seed in 40..60 {
        let mut world = world(seed, 3);
        let owner = world.take_over();
        world.run(seconds(1.0));
        world.delayed_share = 1.0;
        let id = submit(&mut world, 1, vec![batch_step(1, 5_000, 40_000)]);
        world.run(seconds(0.01));
        world.delayed_share = 0.0;
        let scheduler = &world.owners[owner].scheduler;
        let ordered = scheduler.workers().find(|worker| !worker.runs.is_empty());
        let host = ordered.map(|worker| worker.listing.id.clone());
        let host = host.expect("a start is under way");
        world.crash(&host);
        world.run(seconds(0.05));
        world.restart(&host);
        world.run(seconds(2.0));
        let runs = world.workers.values().map(|worker| worker.runs.len());
        assert_eq!(runs.sum::<usize>(), 1, "{id} runs again");
        let stopped = world.workers[&host].last_runs.get(&task(&id, 0, 0));
        assert_eq!(stopped, Some(&1), "the new incarnation refuses the start");
        world.run(seconds(14.0));
        assert_no_violations(&world);
    }
}

/// Submits jobs while owners succeed each other, each killed without warning.
fn successive_owners(seed: u64) {
    let mut world = world(seed, 8);
    let mut owner = world.take_over();
    world.run(seconds(1.0));
    world.delayed_share = 0.03;
    world.duration_spread = 1.5;
    let mut jobs = Vec::new();
    for number in 0..30 {
        jobs.push(submit(&mut world, number, vec![batch_step(5, 6_000, 900)]));
        world.run(seconds(0.2));
        if number % 7 == 6 {
            world.owners[owner].up = false;
            world.run(seconds(0.4));
            owner = world.take_over();
        }
    }
    world.delayed_share = 0.0;
    world.run(seconds(40.0));
    assert_no_violations(&world);
    assert_all_completed(&world, &jobs);
}

cases! { successive_owners:
    /// Guards against tasks that are lost or repeated when several owners are killed in succession.
    successive_owners_seed_21 => 21;
    /// Same as above, with other orders delayed.
    successive_owners_seed_22 => 22;
    /// Same as above, with other orders delayed.
    successive_owners_seed_23 => 23;
}

/// Guards against a task that starts or continues after its job was cancelled.
#[test]
fn cancelled_job_is_stopped() {
    let mut world = world(31, 4);
    world.take_over();
    world.run(seconds(1.0));
    let id = submit(
        &mut world,
        1,
        vec![long_running_step(3), batch_step(40, 20_000, 5_000)],
    );
    world.run(seconds(2.0));
    world.cancel(&id);
    world.run(seconds(1.0));
    assert_eq!(
        world
            .workers
            .values()
            .map(|worker| worker.runs.len())
            .sum::<usize>(),
        0
    );
    assert_eq!(
        world.stored_state(&id),
        Some(JobState::Ended(FinalState::Cancelled))
    );
    assert_no_violations(&world);
}

/// Guards against a job that can never succeed and is retried for ever, or fails too early.
#[test]
fn job_fails_after_its_attempts() {
    let mut world = world(32, 4);
    world.take_over();
    world.run(seconds(1.0));
    world.failing_tasks.insert(task(&job_id(1), 0, 0));
    let id = submit(&mut world, 1, vec![batch_step(2, 1_000, 300)]);
    world.run(seconds(3.0));
    assert_eq!(
        world.stored_state(&id),
        Some(JobState::Ended(FinalState::Failed))
    );
    assert_eq!(world.checker.failures(&task(&id, 0, 0)), 2);
}

/// Guards against a worker that fails all tasks at once, appears empty and drains the whole queue.
#[test]
fn worker_that_fails_all_tasks_is_penalised() {
    let mut world = world(33, 8);
    world.take_over();
    world.run(seconds(1.0));
    if let Some(bad) = world.workers.get_mut(&worker(0)) {
        bad.failing = true;
    }
    let jobs: Vec<_> = (0..30)
        .map(|number| {
            let id = submit(&mut world, number, vec![batch_step(6, 3_500, 600)]);
            world.run(seconds(0.1));
            id
        })
        .collect();
    world.run(seconds(6.0));
    let failed = jobs
        .iter()
        .filter(|id| world.stored_state(id) == Some(JobState::Ended(FinalState::Failed)))
        .count();
    assert_eq!(failed, 0, "no job failed because of the worker alone");
    assert!(jobs.iter().all(|id| completed(&world, id)));
}

/// Guards against tasks that hang for ever on a worker that answers polls.
#[test]
fn tasks_on_hung_worker_restart_on_others() {
    let mut world = world(34, 4);
    world.take_over();
    world.run(seconds(1.0));
    if let Some(hung) = world.workers.get_mut(&worker(1)) {
        hung.hung = true;
    }
    let jobs: Vec<_> = (0..8)
        .map(|number| submit(&mut world, number, vec![batch_step(8, 7_000, 500)]))
        .collect();
    world.run(seconds(12.0));
    assert_no_violations(&world);
    assert!(jobs.iter().all(|id| completed(&world, id)));
}

/// Guards against long-running tasks that do not start again after their worker crashed without
/// being unlisted.
#[test]
fn long_running_tasks_restart_after_worker_crash() {
    let mut world = world(35, 6);
    world.take_over();
    world.run(seconds(1.0));
    submit(&mut world, 1, vec![long_running_step(4)]);
    world.run(seconds(2.0));
    let host = first_busy_worker(&world);
    world.crash(&host);
    let crashed = host.clone();
    world.after(seconds(4.5), move |world| world.unlist_worker(&crashed));
    world.run(seconds(10.0));
    assert_no_violations(&world);
    assert_eq!(live_long_running_runs(&world), 4);
}

/// Guards against long-running tasks that wait for ever because their pool has too few workers,
/// while machines in the spare pool are free.
#[test]
fn long_running_tasks_get_machines_from_spare_pool() {
    let mut world = world(37, 8);
    world.take_over();
    // After 12 s all machines but the ones that the pool keeps are in the spare pool.
    world.run(seconds(12.0));
    submit(&mut world, 1, vec![long_running_step(7)]);
    world.run(seconds(6.0));
    assert_eq!(live_long_running_runs(&world), 7);
    assert_no_violations(&world);
}

/// Guards against long-running tasks that stay on a worker that is shutting down.
#[test]
fn draining_worker_is_evacuated() {
    let mut world = world(36, 4);
    world.take_over();
    world.run(seconds(1.0));
    submit(&mut world, 1, vec![long_running_step(3)]);
    world.run(seconds(1.5));
    let host = first_busy_worker(&world);
    if let Some(leaving) = world.workers.get_mut(&host) {
        leaving.listing.draining = true;
        leaving.listing.remaining = seconds(2.0);
    }
    world.list_worker(&host);
    world.run(seconds(1.5));
    assert!(world.workers[&host].runs.is_empty());
    assert_eq!(live_long_running_runs(&world), 3);
    assert_no_violations(&world);
}

/// Guards against jobs whose start orders are refused, and that callers are told to be running and no
/// longer waiting.
#[test]
fn jobs_with_refused_starts_wait() {
    let mut world = world(67, 2);
    world.pools.truncate(1);
    let owner = world.take_over();
    world.run(seconds(1.0));
    let capacity = world.workers[&worker(0)].listing.capacity;
    for fake in world.workers.values_mut() {
        fake.listing.capacity = Resources::default();
    }
    let jobs: Vec<JobId> = (1..5)
        .map(|number| submit(&mut world, number, vec![batch_step(1, 1_000, 500)]))
        .collect();
    world.run(seconds(1.0));
    let scheduler = &world.owners[owner].scheduler;
    assert_eq!(scheduler.waiting_in(&world.queues[0].key), jobs.len());
    assert_eq!(scheduler.waiting_total(), jobs.len());
    for job in &jobs {
        assert_eq!(scheduler.job_state(job), Some(JobState::Pending));
    }
    for fake in world.workers.values_mut() {
        fake.listing.capacity = capacity;
    }
    world.run(seconds(0.3));
    let scheduler = &world.owners[owner].scheduler;
    assert_eq!(scheduler.waiting_in(&world.queues[0].key), 0);
    world.run(seconds(2.0));
    assert_all_completed(&world, &jobs);
    assert_no_violations(&world);
}
