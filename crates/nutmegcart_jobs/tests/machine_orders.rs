//! Orders for machines whose worker changes before the platform carries them out.

mod support;

use std::sync::Arc;
use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fakes::cell::MachineService;
use nutmegcart_fakes::cell::worker::FakeWorker;
use nutmegcart_fakes::cell::worker::listing;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::WaveRequest;
use nutmegcart_jobs::WaveState;
use support::assert_no_violations;
use support::live_long_running_runs;
use support::long_running_step;
use support::seconds;
use support::submit;
use support::worker;
use support::world;

/// Label of the only machine of the wave.
const LABEL: &str = "b";
/// Number of tasks of the job that needs it, of which one may be unavailable.
const TASKS: u32 = 4;
/// Longest time for which an order without an outcome keeps tasks from a machine: it is repeated for
/// 20 s, and may be carried out for another 14 s.
const SETTLED_AFTER: Duration = Duration::from_secs(35);

fn labelled(id: &str, machine: &Arc<str>, now: Duration) -> FakeWorker {
    let size = Resources::new(64_000, 262_144, 0);
    let mut listing = listing(id, "gates", "r1-1", size);
    listing.labels[0] = LABEL.into();
    listing.machine = Some(machine.clone());
    FakeWorker::new(listing, now)
}

/// Creates a cell of six plain workers and one with [`LABEL`], and an owner at work; returns the
/// machine of that one.
fn labelled_world(seed: u64) -> (CellSimulation, Arc<str>) {
    let mut world = world(seed, 6);
    world.pools.truncate(1);
    let machine: Arc<str> = "m-b".into();
    let fake = labelled("i-06", &machine, world.now);
    world.add_worker(fake);
    world.take_over();
    world.run(seconds(1.0));
    (world, machine)
}

fn start_wave(world: &mut CellSimulation, machine: &Arc<str>) {
    let wave = WaveRequest {
        number: 1,
        machines: vec![machine.clone()],
        duration: seconds(60.0),
        max_down: 1,
    };
    let now = world.now;
    world.owners[0].scheduler.update_wave(wave, now);
}

fn submit_labelled(world: &mut CellSimulation) -> JobId {
    let step = Step {
        label: Some(LABEL.into()),
        per_worker: 0,
        ..long_running_step(TASKS)
    };
    submit(world, 1, vec![step])
}

/// Starts a wave whose order the platform does not carry out, and replaces the worker of its machine
/// 0.6 s later.
fn replace_worker(world: &mut CellSimulation, machine: &Arc<str>) {
    start_wave(world, machine);
    world.run(seconds(0.6));
    world.crash(&worker(6));
    world.unlist_worker(&worker(6));
    world.run(seconds(0.5));
    let mut next = labelled("i-next", machine, world.now);
    next.listing.incarnation = 2;
    world.add_worker(next);
    submit_labelled(world);
}

/// Panics if more tasks have no run than may be unavailable.
fn assert_budget_kept(world: &CellSimulation) {
    let live = live_long_running_runs(world);
    assert!(live + 1 >= TASKS as usize, "{live} of {TASKS} tasks live");
}

/// Runs for a span, and panics if the budget is exceeded at any time of it.
fn run_within_budget(world: &mut CellSimulation, span: Duration) {
    let end = world.now + span;
    while world.now < end {
        world.run(seconds(0.01));
        assert_budget_kept(world);
    }
}

/// Guards against an order that the platform refused at first and that is repeated when tasks run on
/// the next worker of its machine, so that it ends more of them than their budget allows.
fn refused_order_is_not_repeated_for_the_next_worker(lists_machines: bool) {
    let (mut world, machine) = labelled_world(151);
    world.machine_service = MachineService::Refuses;
    world.lists_machines = lists_machines;
    replace_worker(&mut world, &machine);
    world.run(seconds(3.7));
    assert_budget_kept(&world);
    world.machine_service = MachineService::Answers;
    world.lists_machines = true;
    run_within_budget(&mut world, seconds(15.0));
    assert_no_violations(&world);
}

cases! { refused_order_is_not_repeated_for_the_next_worker:
    platform_lists_the_next_worker => true;
    platform_lists_no_machines_meanwhile => false;
}

/// Guards against an order without an outcome that keeps tasks from a machine for ever, or that is
/// repeated when tasks run there.
fn order_without_an_outcome_is_settled(service: MachineService) {
    let (mut world, machine) = labelled_world(152);
    world.machine_service = service;
    replace_worker(&mut world, &machine);
    world.run(SETTLED_AFTER);
    assert_budget_kept(&world);
    world.machine_service = MachineService::Answers;
    run_within_budget(&mut world, seconds(10.0));
    assert_no_violations(&world);
}

cases! { order_without_an_outcome_is_settled:
    response_is_lost => MachineService::Loses;
    sender_never_learns_of_it => MachineService::Hangs;
}

/// Guards against an order that is refused for a long time and keeps its machine from all tasks.
#[test]
fn order_that_is_refused_for_long_frees_its_machine() {
    let (mut world, machine) = labelled_world(153);
    world.machine_service = MachineService::Refuses;
    start_wave(&mut world, &machine);
    world.run(seconds(0.5));
    submit_labelled(&mut world);
    world.run(seconds(9.0));
    assert_budget_kept(&world);
}

/// Guards against a wave that gives up an order which the platform refused for a while.
#[test]
fn wave_completes_after_refusals() {
    let (mut world, machine) = labelled_world(154);
    world.machine_service = MachineService::Refuses;
    start_wave(&mut world, &machine);
    world.run(seconds(20.0));
    world.machine_service = MachineService::Answers;
    world.run(seconds(5.0));
    let state = world.owners[0].scheduler.wave_state(1);
    assert_eq!(state, Some(WaveState::Completed));
}
