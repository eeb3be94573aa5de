//! Requests for tickets in pools of any size.

mod support;

use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::job::TicketTiming;
use support::assert_no_violations;
use support::batch_step;
use support::completed;
use support::seconds;
use support::submit;
use support::worker;
use support::world;

/// Time that a request with all its candidates takes in these tests, in milliseconds.
const REQUEST_MS: u64 = 20 + 30;

/// Creates a cell with a queue that requires tickets, which only workers from `first` on get.
fn ticketed_world(workers: usize, first: usize) -> CellSimulation {
    let mut world = world(81, workers);
    // No machine moves to another pool, so the workers stay the same.
    world.pools.truncate(1);
    world.queues[0].ticket_timing = Some(TicketTiming {
        fixed_ms: 20,
        each_ms: 1,
        valid_ms: 2_000,
    });
    world.permitted = (first..workers).map(worker).collect();
    world.take_over();
    world.run(seconds(2.0));
    world
}

/// Runs until the job has completed, at most for a minute; returns the time it took.
fn run_until_completed(world: &mut CellSimulation, job: &JobId) -> Duration {
    let begin = world.now;
    while !completed(world, job) && world.now < begin + seconds(60.0) {
        world.run(Duration::from_millis(10));
    }
    assert!(completed(world, job), "not completed after a minute");
    assert_no_violations(world);
    world.now.saturating_sub(begin)
}

/// Guards against a step that only workers may run which are never asked for, since as many others
/// as a request names have room. The bound is one request for each 30 workers, with the time of a
/// pass, and a second for the task itself.
fn last_workers_are_asked((workers, permitted): (usize, usize)) {
    let mut world = ticketed_world(workers, workers - permitted);
    let job = submit(&mut world, 1, vec![batch_step(4, 1_000, 300)]);
    let took = run_until_completed(&mut world, &job);
    let requests = u64::try_from(workers.div_ceil(30)).expect("a small number");
    let bound = Duration::from_millis(requests * (REQUEST_MS + 10)) + seconds(1.0);
    assert!(took < bound, "{took:?}, and the bound is {bound:?}");
}

cases! { last_workers_are_asked:
    /// As many workers as a request names.
    pool_of_thirty => (30, 8);
    pool_of_forty => (40, 8);
    pool_of_a_hundred => (100, 1);
    /// The largest pool of a cell, of which a single worker may run the step.
    largest_pool => (300, 1);
}

/// Guards against a worker that is not asked again in bounded time once its ticket has expired.
#[test]
fn worker_with_an_expired_ticket_is_asked_again() {
    let mut world = ticketed_world(300, 299);
    // Each task fills the worker, so that the second starts after the first ticket has expired.
    let job = submit(&mut world, 1, vec![batch_step(2, 64_000, 3_000)]);
    let took = run_until_completed(&mut world, &job);
    let bound = Duration::from_millis(10 * (REQUEST_MS + 10)) + seconds(2.0 * 3.0 + 1.0);
    assert!(took < bound, "{took:?}, and the bound is {bound:?}");
}
