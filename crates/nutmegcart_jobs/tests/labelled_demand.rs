//! Machines for waiting long-running tasks that require a label.

mod support;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fakes::cell::worker::FakeWorker;
use nutmegcart_fakes::cell::worker::listing;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::PoolConfig;
use nutmegcart_jobs::Step;
use support::add_machine;
use support::assert_no_violations;
use support::batch_step;
use support::long_running_step;
use support::queue;
use support::seconds;
use support::submit;
use support::submit_to;
use support::worker;
use support::world;

const SIZE: Resources = Resources::new(64_000, 262_144, 0);

/// Creates a cell with four workers, the first with label `x`, and a second pool of six, the last two
/// with label `x`.
fn cell_with_boats(seed: u64) -> CellSimulation {
    let mut world = world(seed, 4);
    world.queues.push(queue("boats"));
    let pool = ("boats".into(), PoolConfig { spare: false });
    world.pools.insert(1, pool);
    for index in 0..6 {
        let id = format!("boat-{index:02}");
        let mut listing = listing(&id, "boats", "r2-0", SIZE);
        if index >= 4 {
            listing.labels.push("x".into());
        }
        let now = world.now;
        world.add_worker(FakeWorker::new(listing, now));
    }
    label_worker(&mut world, 0);
    world
}

/// Gives the label `x` to a worker and its machine.
fn label_worker(world: &mut CellSimulation, index: usize) {
    let worker = world.workers.get_mut(&worker(index));
    let listing = &mut worker.expect("the worker exists").listing;
    listing.labels.push("x".into());
    let name = listing.machine.clone().expect("it has a machine");
    let machine = world.machines.get_mut(&name);
    machine.expect("the machine exists").labels.push("x".into());
}

fn labelled_step(count: u32) -> Step {
    Step {
        label: Some("x".into()),
        ..long_running_step(count)
    }
}

/// Returns the number of tasks of a job that run.
fn live_runs(world: &CellSimulation, id: &JobId) -> usize {
    let workers = world.workers.values().filter(|worker| worker.up);
    let tasks = workers.flat_map(|worker| worker.runs.keys());
    tasks.filter(|task| task.job == *id).count()
}

/// Guards against demand that is counted without the label, so that any machine of the pool, or the
/// first idle one, seems to serve it.
#[test]
fn idle_machine_with_the_label_moves() {
    let mut world = world(301, 3);
    for index in 0..4 {
        add_machine(&mut world, &format!("spare-{index}"), "shared", "a");
    }
    add_machine(&mut world, "spare-4", "shared", "x");
    world.take_over();
    world.run(seconds(1.0));
    let id = submit(&mut world, 1, vec![labelled_step(1)]);
    world.run(seconds(4.0));
    assert_eq!(live_runs(&world, &id), 1);
    let orders = world.machine_orders.iter();
    let moved = orders.filter(|(name, ..)| name.starts_with("spare"));
    assert_eq!(moved.count(), 1, "spare machines that move");
    assert_no_violations(&world);
}

/// Guards against a withdrawn worker with the label whose tasks wait while its pool gets machines
/// without the label.
#[test]
fn withdrawn_worker_with_the_label_is_replaced() {
    let mut world = world(302, 6);
    for index in 0..3 {
        label_worker(&mut world, index);
    }
    for index in 0..4 {
        add_machine(&mut world, &format!("spare-{index}"), "shared", "a");
    }
    for index in 4..7 {
        add_machine(&mut world, &format!("spare-{index}"), "shared", "x");
    }
    world.take_over();
    let id = submit(&mut world, 1, vec![labelled_step(3)]);
    world.run(seconds(1.0));
    assert_eq!(live_runs(&world, &id), 3);
    for index in 0..2 {
        world.withdraw(&worker(index), seconds(8.0));
    }
    world.run(seconds(5.0));
    let leaving = (0..2).map(|index| world.workers[&worker(index)].runs.len());
    assert_eq!((live_runs(&world, &id), leaving.sum::<usize>()), (3, 0));
    assert_no_violations(&world);
}

/// Guards against busy machines without the label that are vacated for a task that requires it.
#[test]
fn busy_machine_with_the_label_is_vacated() {
    let mut world = cell_with_boats(303);
    world.take_over();
    let id = submit(&mut world, 1, vec![labelled_step(1)]);
    for number in 0..60 {
        submit_to(&mut world, 1, 10 + number, vec![batch_step(60, 8_000, 900)]);
    }
    world.run(seconds(2.0));
    assert_eq!(live_runs(&world, &id), 1);
    world.remove_for_good(&worker(0), None);
    world.run(seconds(6.0));
    assert_eq!(live_runs(&world, &id), 1);
    assert_no_violations(&world);
}

/// Guards against a label that no machine has, and that keeps machines of any kind from the pool.
#[test]
fn missing_label_does_not_keep_other_machines_away() {
    let mut world = world(304, 3);
    for index in 0..6 {
        add_machine(&mut world, &format!("spare-{index}"), "shared", "a");
    }
    world.take_over();
    world.run(seconds(1.0));
    let labelled = submit(&mut world, 1, vec![labelled_step(9)]);
    let other = submit(&mut world, 2, vec![long_running_step(7)]);
    world.run(seconds(5.0));
    assert_eq!(
        (live_runs(&world, &labelled), live_runs(&world, &other)),
        (0, 7)
    );
    assert_no_violations(&world);
}
