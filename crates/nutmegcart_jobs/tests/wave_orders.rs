//! Which machines of a wave get orders: none of an earlier owner's, and none whose workers leave.

mod support;

use std::sync::Arc;
use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_jobs::Machine;
use nutmegcart_jobs::MachineState;
use nutmegcart_jobs::WaveRequest;
use nutmegcart_jobs::WaveState;
use support::assert_no_violations;
use support::seconds;
use support::worker;
use support::world;

fn wave_of_all(world: &CellSimulation, max_down: usize) -> WaveRequest {
    WaveRequest {
        number: 1,
        machines: world.machines.keys().cloned().collect(),
        duration: seconds(60.0),
        max_down,
    }
}

fn start_wave(world: &mut CellSimulation, owner: usize, wave: &WaveRequest) {
    let now = world.now;
    let scheduler = &mut world.owners[owner].scheduler;
    scheduler.update_wave(wave.clone(), now);
}

/// Creates a cell of one pool with an owner at work, and a wave over all of its machines.
fn world_with_wave(
    seed: u64,
    workers: usize,
    max_down: usize,
) -> (CellSimulation, usize, WaveRequest) {
    let mut world = world(seed, workers);
    world.pools.truncate(1);
    let wave = wave_of_all(&world, max_down);
    let owner = world.take_over();
    world.run(seconds(1.0));
    (world, owner, wave)
}

/// Starts the wave and runs until its first order has been sent.
fn order_first(world: &mut CellSimulation, owner: usize, wave: &WaveRequest) {
    start_wave(world, owner, wave);
    while world.machine_orders.is_empty() {
        world.run(seconds(0.001));
    }
}

/// Panics unless the wave is completed, as its owner tells.
fn assert_completed(world: &CellSimulation, owner: usize) {
    let state = world.owners[owner].scheduler.wave_state(1);
    assert_eq!(state, Some(WaveState::Completed));
    assert_no_violations(world);
}

/// Runs the wave to its end under a successor, and panics if that has repeated an order too early.
fn finish_under_successor(world: &mut CellSimulation, wave: &WaveRequest, case: &str) {
    let successor = world.take_over();
    start_wave(world, successor, wave);
    world.run(seconds(15.0));
    let gap = shortest_gap(world);
    assert!(
        gap.is_none_or(|gap| gap >= world.settings.order_gap),
        "{case}: {gap:?}"
    );
    assert_completed(world, successor);
}

/// Returns the shortest time between orders of different owners for the same machine.
fn shortest_gap(world: &CellSimulation) -> Option<Duration> {
    let mut gaps = Vec::new();
    let orders = &world.machine_orders;
    for (index, (machine, owner, at)) in orders.iter().enumerate() {
        let later = orders[index + 1..].iter();
        let other = later.filter(|(name, by, _)| name == machine && by != owner);
        gaps.extend(other.map(|(_, _, then)| then.saturating_sub(*at)));
    }
    gaps.into_iter().min()
}

/// Guards against a successor that repeats the order of a wave for a machine that its predecessor
/// ordered a moment before.
#[test]
fn successor_leaves_ordered_machines_of_a_wave_alone() {
    for delay in [0.004, 0.05, 0.5, 1.0, 1.9, 2.1, 2.5] {
        let (mut world, first, wave) = world_with_wave(131, 6, 5);
        order_first(&mut world, first, &wave);
        world.run(seconds(delay));
        world.owners[first].up = false;
        world.run(seconds(0.2));
        finish_under_successor(&mut world, &wave, &format!("after {delay} s"));
    }
}

/// Guards against a wave that waits for machines of leaving workers, whose orders the platform
/// rejects.
#[test]
fn wave_goes_on_beside_leaving_workers() {
    let (mut world, owner, wave) = world_with_wave(132, 6, 1);
    let leaving: Vec<Arc<str>> = (0..3)
        .filter_map(|index| world.workers[&worker(index)].listing.machine.clone())
        .collect();
    for index in 0..3 {
        world.withdraw(&worker(index), seconds(20.0));
    }
    start_wave(&mut world, owner, &wave);
    world.run(seconds(10.0));
    let orders = world.machine_orders.iter();
    let refused = orders.filter(|(name, ..)| leaving.contains(name)).count();
    assert_eq!((world.operations_started, refused), (3, 0));
    world.run(seconds(12.0));
    assert_completed(&world, owner);
}

/// Guards against a first stored state of a successor without the machines that its predecessor
/// ordered: if the successor is lost as well, the next one repeats their orders.
#[test]
fn second_successor_leaves_ordered_machines_of_a_wave_alone() {
    for lived in [0.005, 0.01, 0.03, 0.06, 0.2] {
        let mut world = world(133, 6);
        world.pools.truncate(1);
        // The machines are up again before the orders may be repeated.
        world.settings.maintenance_time = seconds(0.2);
        let wave = wave_of_all(&world, 5);
        let first = world.take_over();
        world.run(seconds(1.0));
        order_first(&mut world, first, &wave);
        // It does not learn that the orders were carried out.
        world.owners[first].up = false;
        let second = world.take_over();
        world.run(seconds(lived));
        world.owners[second].up = false;
        world.run(seconds(0.3));
        finish_under_successor(&mut world, &wave, &format!("after {lived} s"));
    }
}

/// Returns the number of machines that are being maintained.
fn maintained(world: &CellSimulation) -> usize {
    let machines = world.machines.values();
    let maintained = machines.filter(|machine| machine.state == MachineState::Maintained);
    maintained.count()
}

/// Runs a wave over six machines, of which two may be down at once, while each list shows another
/// machine as `hidden` tells: not at all, or in an unknown state.
fn wave_beside_incomplete_lists(hidden: Option<MachineState>) {
    let mut world = world(133, 6);
    world.pools.truncate(1);
    world.lists_machines = false;
    let wave = wave_of_all(&world, 2);
    let owner = world.take_over();
    let mut most = 0;
    for step in 0..120 {
        let mut list: Vec<Machine> = world.machines.values().cloned().collect();
        if step > 4 {
            let index = step % list.len();
            match hidden {
                Some(state) => list[index].state = state,
                None => drop(list.remove(index)),
            }
        }
        let now = world.now;
        let scheduler = &mut world.owners[owner].scheduler;
        scheduler.update_machines(list, now, now);
        if step == 4 {
            start_wave(&mut world, owner, &wave);
        }
        for _ in 0..20 {
            world.run(seconds(0.01));
            most = most.max(maintained(&world));
        }
    }
    assert_eq!((world.operations_started, most), (6, 2));
    assert_completed(&world, owner);
}

cases! { wave_beside_incomplete_lists:
    /// Guards against an order that is forgotten because one list lacks its machine, so that the wave
    /// orders more machines than may be down at once.
    wave_keeps_its_limit_beside_missing_machines => None;
    /// Same for a machine that is listed in a state of a newer interface.
    wave_keeps_its_limit_beside_unknown_states => Some(MachineState::Unknown);
}

/// Guards against a wave that is said to be completed because a list lacks its last machine.
#[test]
fn wave_is_not_completed_by_an_incomplete_list() {
    let (mut world, owner, wave) = world_with_wave(134, 3, 1);
    let remaining = wave.machines.last().expect("the wave has machines").clone();
    let pending = |world: &CellSimulation| world.operations_started < 2 || maintained(world) > 0;
    let busy = world.workers[&worker(2)].listing.machine.clone();
    assert_eq!(busy.as_ref(), Some(&remaining));
    start_wave(&mut world, owner, &wave);
    while pending(&world) {
        world.run(seconds(0.001));
    }
    // Both others are done.
    world.lists_machines = false;
    let mut list: Vec<Machine> = world.machines.values().cloned().collect();
    list.retain(|machine| machine.name != remaining);
    let now = world.now;
    let scheduler = &mut world.owners[owner].scheduler;
    scheduler.update_machines(list, now, now);
    world.run(seconds(0.1));
    let scheduler = &world.owners[owner].scheduler;
    assert_eq!(
        (scheduler.wave_state(1), world.operations_started),
        (Some(WaveState::Running), 2)
    );
    world.lists_machines = true;
    world.run(seconds(8.0));
    assert_eq!(world.operations_started, 3);
    assert_completed(&world, owner);
}

/// Guards against a wave that reserves one more worker with each order that the platform rejects.
#[test]
fn rejected_orders_reserve_no_more_workers() {
    let (mut world, owner, wave) = world_with_wave(135, 12, 1);
    for index in 0..8 {
        // The announcement has not reached the owner.
        let leaving = world.workers.get_mut(&worker(index));
        leaving.expect("the worker exists").listing.draining = true;
    }
    start_wave(&mut world, owner, &wave);
    let mut most = 0;
    for _ in 0..400 {
        world.run(seconds(0.005));
        let workers = world.owners[owner].scheduler.workers();
        most = most.max(workers.filter(|worker| worker.reserved).count());
    }
    // One is ordered, and two are drained ahead.
    assert_eq!(most, 3);
    assert_no_violations(&world);
}

/// Guards against a machine that goes down when its maintenance ends, and holds a place of its wave
/// until it is up again.
#[test]
fn wave_goes_on_beside_a_machine_that_went_down() {
    let (mut world, owner, wave) = world_with_wave(136, 4, 1);
    start_wave(&mut world, owner, &wave);
    while maintained(&world) == 0 {
        world.run(seconds(0.01));
    }
    let machines = world.machines.values();
    let mut first = machines.filter(|machine| machine.state == MachineState::Maintained);
    let first = first.next().expect("a machine is maintained").name.clone();
    while maintained(&world) > 0 {
        world.run(seconds(0.001));
    }
    let machine = world.machines.get_mut(&first).expect("it is listed");
    machine.state = MachineState::Down;
    let next = machine.worker.clone().expect("a worker starts there");
    world.crash(&next);
    world.run(seconds(12.0));
    assert_eq!(world.operations_started, 4);
    assert_completed(&world, owner);
}
