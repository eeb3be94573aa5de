//! Workers that end for good, and what a successor of their owner knows about them.

mod support;

use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fakes::cell::worker::FakeWorker;
use nutmegcart_fakes::cell::worker::listing;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::MachineState;
use nutmegcart_model::WorkerId;
use support::assert_no_violations;
use support::batch_step;
use support::completed;
use support::first_busy_worker;
use support::live_long_running_runs;
use support::long_running_step;
use support::seconds;
use support::submit;
use support::worker;
use support::world;

/// Time from the loss of a worker within which its long-running tasks run again.
const RESTART_TIME: Duration = Duration::from_secs(6);
/// Time from the release of an owner until its successor may act.
const TAKE_OVER_TIME: Duration = Duration::from_millis(500);
/// Step in which the tests observe the cell.
const STEP: Duration = Duration::from_millis(100);
/// Time after which the tests stop waiting.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Runs the cell until it has the given number of live long-running runs, and returns how long that
/// took.
fn time_until_live(world: &mut CellSimulation, count: usize) -> Duration {
    let start = world.now;
    while live_long_running_runs(world) != count && world.now < start + MAX_WAIT {
        world.run(STEP);
    }
    world.now.saturating_sub(start)
}

/// Returns a cell of six workers without a spare pool, of which four run a long-running task.
fn busy_cell(seed: u64) -> CellSimulation {
    let mut world = world(seed, 6);
    world.pools.truncate(1);
    world.take_over();
    world.run(seconds(1.0));
    submit(&mut world, 1, vec![long_running_step(4)]);
    world.run(seconds(3.0));
    assert_eq!(live_long_running_runs(&world), 4);
    world
}

/// Releases the latest owner after a delay.
fn release_after(world: &mut CellSimulation, delay: Duration) {
    world.after(delay, |world| {
        let latest = world.owners.len() - 1;
        world.release_owner(latest);
    });
}

/// Guards against long-running tasks of a lost worker that wait for the longest lease anew after
/// each change of the owner.
#[test]
fn successive_owners_do_not_restart_the_wait_for_a_lost_worker() {
    let mut world = busy_cell(1);
    let host = first_busy_worker(&world);
    world.remove_for_good(&host, None);
    release_after(&mut world, seconds(0.23));
    release_after(&mut world, seconds(10.0));
    let took = time_until_live(&mut world, 4);
    assert_no_violations(&world);
    assert!(
        took <= RESTART_TIME + TAKE_OVER_TIME,
        "the task ran again after {took:?}"
    );
}

/// Guards against jobs that wait for the workers of machines that an earlier owner switched off.
#[test]
fn successor_knows_workers_of_switched_off_machines_as_ended() {
    let mut world = world(2, 8);
    let first = world.take_over();
    let start = world.now;
    while world.operations_started == 0 && world.now < start + MAX_WAIT {
        world.run(seconds(0.01));
    }
    world.owners[first].up = false;
    submit(&mut world, 1, vec![long_running_step(2)]);
    // The machines have arrived in the spare pool, where they run no worker.
    world.run(seconds(2.0));
    world.take_over();
    let took = time_until_live(&mut world, 2);
    assert_no_violations(&world);
    assert!(took <= seconds(2.0), "the tasks ran after {took:?}");
}

/// Guards against a successor that waits for a worker although another one answers at its address.
#[test]
fn reused_address_shows_that_the_worker_ended() {
    let mut world = busy_cell(3);
    world.lists_machines = false;
    let host = first_busy_worker(&world);
    let size = Resources::new(64_000, 262_144, 0);
    let mut next = listing("i-next", "gates", "r1-0", size);
    next.machine = Some("m-next".into());
    next.address = world.workers[&host].listing.address.clone();
    let next = FakeWorker::new(next, world.now);
    world.remove_for_good(&host, Some(next));
    release_after(&mut world, seconds(0.23));
    let took = time_until_live(&mut world, 4);
    assert_no_violations(&world);
    assert!(took <= RESTART_TIME, "the task ran again after {took:?}");
}

/// Guards against a pool whose accepted jobs all wait because one idle worker, removed together
/// with its machine, does not answer the new owner.
#[test]
fn inherited_jobs_of_a_pool_do_not_wait_for_a_removed_machine() {
    let mut world = world(4, 4);
    world.pools.truncate(1);
    let first = world.take_over();
    world.run(seconds(2.0));
    world.remove_for_good(&worker(3), None);
    world.owners[first].up = false;
    submit(&mut world, 1, vec![long_running_step(2)]);
    let batch = submit(&mut world, 2, vec![batch_step(4, 4_000, 500)]);
    world.run(seconds(0.5));
    world.take_over();
    let took = time_until_live(&mut world, 2);
    world.run(seconds(2.0));
    assert_no_violations(&world);
    assert!(took <= seconds(2.0), "the tasks ran after {took:?}");
    assert!(completed(&world, &batch));
}

/// Guards against a successor that waits for workers of which its predecessor knew that nothing runs
/// on them any more.
fn successor_learns_that_a_worker_ended(idle: bool) {
    let mut world = busy_cell(5);
    world.lists_machines = false;
    let busy = first_busy_worker(&world);
    let ended = if idle {
        let other = world
            .workers
            .keys()
            .find(|id| world.workers[*id].runs.is_empty());
        other.cloned().expect("a worker is idle")
    } else {
        busy
    };
    // Its entry in service discovery stays.
    world.crash(&ended);
    world.run(if idle { seconds(2.0) } else { seconds(7.0) });
    assert_eq!(live_long_running_runs(&world), 4);
    let latest = world.owners.len() - 1;
    world.owners[latest].up = false;
    let batch = submit(&mut world, 2, vec![batch_step(2, 4_000, 500)]);
    world.run(seconds(0.5));
    world.take_over();
    world.run(seconds(2.0));
    assert_no_violations(&world);
    assert!(completed(&world, &batch), "the job waits for the worker");
}

cases! { successor_learns_that_a_worker_ended:
    /// The predecessor saw the leases of the worker's runs expire.
    successor_does_not_wait_for_a_worker_with_expired_leases => false;
    /// Nothing ran on the worker when it stopped answering.
    successor_does_not_wait_for_an_idle_worker => true;
}

/// Ends a worker's process; its machine stays listed, and its entry is removed 4.5 s later.
fn crash_for_good(world: &mut CellSimulation, id: &WorkerId) {
    world.crash(id);
    let crashed = id.clone();
    world.after(seconds(4.5), move |world| world.unlist_worker(&crashed));
}

/// Guards against a successor that assumes the longest lease for a worker which it has just
/// reached, so that the tasks stay away if the worker crashes soon after.
#[test]
fn worker_lost_after_take_over_does_not_hold_its_tasks() {
    let mut world = busy_cell(5);
    release_after(&mut world, seconds(0.0));
    world.run(seconds(1.5));
    let host = first_busy_worker(&world);
    crash_for_good(&mut world, &host);
    let took = time_until_live(&mut world, 4);
    assert_no_violations(&world);
    assert!(took <= RESTART_TIME, "the task ran again after {took:?}");
}

/// Guards against an owner that assumes the longest lease for a worker which has just been listed
/// for the first time, so that the tasks stay away if the worker crashes soon after.
#[test]
fn new_worker_lost_soon_does_not_hold_its_tasks() {
    let mut world = world(6, 6);
    world.pools.truncate(1);
    world.take_over();
    submit(&mut world, 1, vec![long_running_step(4)]);
    world.run(seconds(1.0));
    assert_eq!(live_long_running_runs(&world), 4);
    let host = first_busy_worker(&world);
    crash_for_good(&mut world, &host);
    let took = time_until_live(&mut world, 4);
    assert_no_violations(&world);
    assert!(took <= RESTART_TIME, "the task ran again after {took:?}");
}

/// Guards against a successor that starts no inherited job of a pool because a crashed worker,
/// whose machine is still listed with it, does not answer.
#[test]
fn crashed_worker_does_not_block_the_jobs_of_its_pool() {
    let mut world = busy_cell(7);
    let host = first_busy_worker(&world);
    crash_for_good(&mut world, &host);
    release_after(&mut world, seconds(0.23));
    let took = time_until_live(&mut world, 4);
    assert_no_violations(&world);
    assert!(
        took <= RESTART_TIME + TAKE_OVER_TIME,
        "the task ran again after {took:?}"
    );
}

/// Guards against a second run of a task whose worker is cut off, although the list of machines has
/// an entry of its machine that cannot be interpreted.
#[test]
fn machine_in_an_unknown_state_still_has_its_worker() {
    let mut world = busy_cell(8);
    let host = first_busy_worker(&world);
    let latest = world.owners.len() - 1;
    world.owners[latest].unreachable.insert(host.clone());
    let machine = world.workers[&host].listing.machine.clone();
    let machine = machine.and_then(|name| world.machines.get_mut(&name));
    machine.expect("a listed machine").state = MachineState::Unknown;
    world.run(seconds(4.0));
    assert_no_violations(&world);
}

/// Guards against a second run of a task on a worker that restarted, and whose lease is longer than
/// a usual one, because a late order to its earlier incarnation named a time of another clock.
#[test]
fn restarted_worker_is_awaited_for_the_longest_lease() {
    let mut world = busy_cell(9);
    let host = first_busy_worker(&world);
    world.crash(&host);
    world.restart(&host);
    if let Some(worker) = world.workers.get_mut(&host) {
        worker.lease_end = 10_000;
    }
    world.run(seconds(2.0));
    submit(&mut world, 2, vec![long_running_step(6)]);
    world.run(seconds(0.3));
    assert!(!world.workers[&host].runs.is_empty(), "a task runs on it");
    let size = Resources::new(64_000, 262_144, 0);
    let other = FakeWorker::new(listing("i-other", "gates", "r1-3", size), world.now);
    world.add_worker(other);
    let latest = world.owners.len() - 1;
    world.owners[latest].unreachable.insert(host);
    world.run(seconds(6.5));
    assert_no_violations(&world);
}

/// Guards against tasks of a crashed worker that wait until its leases have expired, because the
/// owner is killed with it and cannot confirm its end.
#[test]
fn list_shows_a_worker_that_crashed_with_the_owner() {
    let mut world = busy_cell(10);
    let host = first_busy_worker(&world);
    crash_for_good(&mut world, &host);
    let latest = world.owners.len() - 1;
    world.owners[latest].up = false;
    world.after(TAKE_OVER_TIME, |world| {
        world.take_over();
    });
    let took = time_until_live(&mut world, 4);
    assert_no_violations(&world);
    assert!(
        took <= RESTART_TIME + TAKE_OVER_TIME,
        "the task ran again after {took:?}"
    );
}

/// Guards against an owner that counts a worker as ended after its restart, because the list of
/// machines still shows the time before it.
#[test]
fn outdated_list_does_not_end_a_restarted_worker() {
    let mut world = world(11, 3);
    world.pools.truncate(1);
    let owner = world.take_over();
    world.run(seconds(1.0));
    world.crash(&worker(0));
    world.after(seconds(1.0), |world| world.restart(&worker(0)));
    let restarted_at = world.now + seconds(1.0);
    submit(&mut world, 1, vec![batch_step(40, 9_000, 4_000)]);
    world.run(seconds(1.0));
    let deadline = restarted_at + seconds(0.5);
    while world.workers[&worker(0)].runs.is_empty() && world.now < deadline {
        world.run(seconds(0.01));
    }
    assert!(
        world.now < deadline,
        "tasks run on it while it is listed as down"
    );
    while world.now < restarted_at + seconds(2.0) {
        world.run(seconds(0.01));
        let known = world.owners[owner].scheduler.worker(&worker(0));
        assert!(known.is_some_and(|worker| !worker.runs.is_empty()));
    }
    world.run(seconds(10.0));
    assert_no_violations(&world);
}

/// Returns the first worker without a run.
fn first_idle_worker(world: &CellSimulation) -> WorkerId {
    let mut workers = world.workers.iter();
    let idle = workers.find(|(_, worker)| worker.runs.is_empty());
    idle.expect("a worker is idle").0.clone()
}

/// Guards against a long-running task that waits for a silent worker on which no run of it was
/// started, because the owner is lost for good and cannot be asked.
#[test]
fn silent_worker_holds_back_only_its_own_long_running_tasks() {
    let mut world = busy_cell(12);
    let host = first_busy_worker(&world);
    let silent = first_idle_worker(&world);
    world.remove_for_good(&host, None);
    let latest = world.owners.len() - 1;
    world.owners[latest].up = false;
    world.after(TAKE_OVER_TIME, |world| {
        world.take_over_partitioned([silent]);
    });
    let took = time_until_live(&mut world, 4);
    assert_no_violations(&world);
    assert!(
        took <= RESTART_TIME + TAKE_OVER_TIME,
        "the task ran again after {took:?}"
    );
}
