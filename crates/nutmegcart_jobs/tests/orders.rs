//! Orders that are lost, late, or meet another life of their worker.

mod support;

use nutmegcart_jobs::FinalState;
use nutmegcart_jobs::JobState;
use support::assert_all_completed;
use support::assert_sound;
use support::completed;
use support::host;
use support::job_id;
use support::lasting_runs;
use support::seconds;
use support::standing;
use support::submit;
use support::tally;
use support::task;
use support::worker;
use support::world;

/// Plays a load with late orders and a restarting worker.
fn late_orders_start_nothing_twice(seed: u64) {
    let mut world = world(seed, 8);
    world.take_over();
    world.run(seconds(1.0));
    world.late = 0.1;
    world.spread = 1.5;
    let mut jobs = Vec::new();
    for number in 0..30 {
        jobs.push(submit(&mut world, number, vec![tally(6, 5_000, 700)]));
        world.run(seconds(0.15));
        if number % 10 == 4 {
            let restarting = worker(number % 8);
            world.crash(&restarting);
            world.after(seconds(1.5), move |world| world.restart(&restarting));
        }
    }
    world.late = 0.0;
    world.run(seconds(30.0));
    assert_sound(&world);
    assert_all_completed(&world, &jobs);
}

cases! { late_orders_start_nothing_twice:
    /// Guards against starts that are carried out seconds after their task was started elsewhere.
    late_orders_seed_11 => 11;
    /// The same with other losses.
    late_orders_seed_12 => 12;
    /// The same with other losses.
    late_orders_seed_13 => 13;
    /// The same with other losses.
    late_orders_seed_14 => 14;
}

/// Guards against a late start that meets a new life of its worker, which does not know that the
/// earlier one was told to refuse it.
#[test]
fn a_late_order_is_refused_by_the_next_life_of_its_worker() {
    for seed in 40..60 {
        let mut world = world(seed, 3);
        world.take_over();
        world.run(seconds(1.0));
        world.late = 1.0;
        let id = submit(&mut world, 1, vec![tally(1, 5_000, 40_000)]);
        world.run(seconds(0.05));
        world.late = 0.0;
        world.run(seconds(1.0));
        assert!(
            world.workers.values().any(|worker| !worker.runs.is_empty()),
            "{id} runs elsewhere"
        );
        for index in 0..3 {
            if world.workers[&worker(index)].runs.is_empty() {
                world.crash(&worker(index));
                world.run(seconds(0.3));
                world.restart(&worker(index));
            }
        }
        world.run(seconds(15.0));
        assert_sound(&world);
    }
}

/// Plays a load while owners follow each other, each stopped at once.
fn owners_in_turn(seed: u64) {
    let mut world = world(seed, 8);
    let mut owner = world.take_over();
    world.run(seconds(1.0));
    world.late = 0.03;
    world.spread = 1.5;
    let mut jobs = Vec::new();
    for number in 0..30 {
        jobs.push(submit(&mut world, number, vec![tally(5, 6_000, 900)]));
        world.run(seconds(0.2));
        if number % 7 == 6 {
            world.owners[owner].up = false;
            world.run(seconds(0.4));
            owner = world.take_over();
        }
    }
    world.late = 0.0;
    world.run(seconds(40.0));
    assert_sound(&world);
    assert_all_completed(&world, &jobs);
}

cases! { owners_in_turn:
    /// Guards against tasks that are lost or repeated when owners are killed in a row.
    owners_in_turn_seed_21 => 21;
    /// The same with other losses.
    owners_in_turn_seed_22 => 22;
    /// The same with other losses.
    owners_in_turn_seed_23 => 23;
}

/// Guards against a task that starts after its job was cancelled, or goes on.
#[test]
fn a_cancelled_job_stops() {
    let mut world = world(31, 4);
    world.take_over();
    world.run(seconds(1.0));
    let id = submit(&mut world, 1, vec![standing(3), tally(40, 20_000, 5_000)]);
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
        world.stored(&id),
        Some(JobState::Ended(FinalState::Cancelled))
    );
    assert_sound(&world);
}

/// Guards against a job that can never be done and is tried for ever, or given up too early.
#[test]
fn a_job_that_cannot_be_done_fails_after_its_attempts() {
    let mut world = world(32, 4);
    world.take_over();
    world.run(seconds(1.0));
    world.poison.insert(task(&job_id(1), 0, 0));
    let id = submit(&mut world, 1, vec![tally(2, 1_000, 300)]);
    world.run(seconds(3.0));
    assert_eq!(world.stored(&id), Some(JobState::Ended(FinalState::Failed)));
    assert_eq!(world.oracle.failures(&task(&id, 0, 0)), 2);
}

/// Guards against a worker that fails at once all that it starts and draws the whole queue.
#[test]
fn a_worker_that_fails_everything_gets_little_work() {
    let mut world = world(33, 8);
    world.take_over();
    world.run(seconds(1.0));
    if let Some(bad) = world.workers.get_mut(&worker(0)) {
        bad.failing = true;
    }
    let jobs: Vec<_> = (0..30)
        .map(|number| {
            let id = submit(&mut world, number, vec![tally(6, 3_500, 600)]);
            world.run(seconds(0.1));
            id
        })
        .collect();
    world.run(seconds(6.0));
    let failed = jobs
        .iter()
        .filter(|id| world.stored(id) == Some(JobState::Ended(FinalState::Failed)))
        .count();
    assert_eq!(failed, 0, "no job failed through the worker alone");
    assert!(jobs.iter().all(|id| completed(&world, id)));
}

/// Guards against tasks that stand still for good on a worker that looks healthy.
#[test]
fn tasks_on_a_hung_worker_start_again_elsewhere() {
    let mut world = world(34, 4);
    world.take_over();
    world.run(seconds(1.0));
    if let Some(hung) = world.workers.get_mut(&worker(1)) {
        hung.hung = true;
    }
    let jobs: Vec<_> = (0..8)
        .map(|number| submit(&mut world, number, vec![tally(8, 7_000, 500)]))
        .collect();
    world.run(seconds(12.0));
    assert_sound(&world);
    assert!(jobs.iter().all(|id| completed(&world, id)));
}

/// Guards against lasting tasks that do not come back after their worker was lost in silence.
#[test]
fn lasting_tasks_come_back_after_a_silent_loss() {
    let mut world = world(35, 6);
    world.take_over();
    world.run(seconds(1.0));
    submit(&mut world, 1, vec![standing(4)]);
    world.run(seconds(2.0));
    let host = host(&world);
    world.crash(&host);
    let gone = host.clone();
    world.after(seconds(4.5), move |world| world.unlist(&gone));
    world.run(seconds(10.0));
    assert_sound(&world);
    assert_eq!(lasting_runs(&world), 4);
}

/// Guards against lasting tasks that wait for ever because the pool has too few workers for them
/// while machines of the spare pool are free.
#[test]
fn lasting_tasks_fetch_machines_from_the_spare_pool() {
    let mut world = world(37, 8);
    world.take_over();
    // By then all but the kept machines are in the spare pool.
    world.run(seconds(12.0));
    submit(&mut world, 1, vec![standing(7)]);
    world.run(seconds(6.0));
    assert_eq!(lasting_runs(&world), 7);
    assert_sound(&world);
}

/// Guards against work left on a worker that is shutting down.
#[test]
fn a_draining_worker_is_emptied() {
    let mut world = world(36, 4);
    world.take_over();
    world.run(seconds(1.0));
    submit(&mut world, 1, vec![standing(3)]);
    world.run(seconds(1.5));
    let host = host(&world);
    if let Some(leaving) = world.workers.get_mut(&host) {
        leaving.listing.draining = true;
        leaving.listing.remaining = seconds(2.0);
    }
    world.announce(&host);
    world.run(seconds(1.5));
    assert!(world.workers[&host].runs.is_empty());
    assert_eq!(lasting_runs(&world), 3);
    assert_sound(&world);
}
