//! Workers that a wave reserves while it drains their machines get tasks again if it cannot go on.

mod support;

use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fakes::cell::worker::FakeWorker;
use nutmegcart_fakes::cell::worker::listing;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::TaskKey;
use nutmegcart_jobs::WaveRequest;
use nutmegcart_jobs::WaveState;
use support::assert_no_violations;
use support::batch_step;
use support::completed;
use support::long_running_step;
use support::seconds;
use support::submit;
use support::task;
use support::worker;
use support::world;

/// Time within which a job has to start that needs a worker of the wave. Callers ask for their jobs
/// 14 s after the last one was handed in, and a job with free capacity may then wait for 3 s.
const START_LIMIT: Duration = Duration::from_secs(17);
/// Label of the workers under the wave.
const LABEL: &str = "b";

/// Creates a cell of four plain workers and three with [`LABEL`], and an owner at work.
fn labelled_world(seed: u64) -> (CellSimulation, usize) {
    let mut world = world(seed, 4);
    world.pools.truncate(1);
    for index in 4..7 {
        let size = Resources::new(64_000, 262_144, 0);
        let mut listing = listing(&support::worker_name(index), "gates", "r1-1", size);
        listing.labels[0] = LABEL.into();
        world.add_worker(FakeWorker::new(listing, world.now));
    }
    let owner = world.take_over();
    world.run(seconds(1.0));
    (world, owner)
}

/// Starts a wave over the machines with [`LABEL`].
fn start_wave(world: &mut CellSimulation, owner: usize, max_down: usize) {
    let machines = (4..7).filter_map(|index| world.workers[&worker(index)].listing.machine.clone());
    let wave = WaveRequest {
        number: 1,
        machines: machines.collect(),
        duration: seconds(60.0),
        max_down,
    };
    let now = world.now;
    world.owners[owner].scheduler.update_wave(wave, now);
}

/// Runs until a task has a run, and returns how long that took.
fn time_until_started(world: &mut CellSimulation, task: &TaskKey) -> Duration {
    let from = world.now;
    let runs = |world: &CellSimulation| {
        let mut workers = world.workers.values();
        workers.any(|worker| worker.runs.contains_key(task))
    };
    while !runs(world) && world.now < from + 2 * START_LIMIT {
        world.run(seconds(0.05));
    }
    world.now.saturating_sub(from)
}

fn labelled_step() -> Step {
    Step {
        label: Some(LABEL.into()),
        ..batch_step(1, 1_000, 500)
    }
}

/// What keeps a wave from emptying its machines.
type Obstacle = fn(&mut CellSimulation, usize);

fn lose_a_worker(world: &mut CellSimulation, _owner: usize) {
    submit(world, 1, vec![long_running_step(7)]);
    world.run(seconds(2.0));
    world.remove_for_good(&worker(3), None);
    world.run(seconds(8.0));
}

fn forbid_interruptions(world: &mut CellSimulation, _owner: usize) {
    let step = Step {
        max_unavailable: Some(0),
        ..long_running_step(7)
    };
    submit(world, 1, vec![step]);
    world.run(seconds(2.0));
}

fn run_long_tasks(world: &mut CellSimulation, _owner: usize) {
    let step = Step {
        per_worker: 1,
        ..batch_step(7, 1_000, 300_000)
    };
    submit(world, 1, vec![step]);
    world.run(seconds(2.0));
}

/// Guards against jobs that never start beside idle workers, because a wave that cannot empty its
/// machines keeps their workers reserved.
fn job_starts_beside_a_wave(obstacle: Obstacle) {
    let (mut world, owner) = labelled_world(141);
    obstacle(&mut world, owner);
    start_wave(&mut world, owner, 1);
    world.run(seconds(2.0));
    let job = submit(&mut world, 2, vec![labelled_step()]);
    let took = time_until_started(&mut world, &task(&job, 0, 0));
    assert!(took <= START_LIMIT, "the job started after {took:?}");
    world.run(seconds(2.0));
    assert!(completed(&world, &job));
    assert_no_violations(&world);
}

cases! { job_starts_beside_a_wave:
    budget_is_used_up_by_a_lost_worker => lose_a_worker;
    tasks_may_never_be_interrupted => forbid_interruptions;
    tasks_take_far_longer_than_the_wave => run_long_tasks;
}

/// Guards against workers that stay reserved for a wave whose limit other cells use by now.
#[test]
fn wave_without_a_share_of_the_limit_reserves_nothing() {
    let (mut world, owner) = labelled_world(142);
    forbid_interruptions(&mut world, owner);
    start_wave(&mut world, owner, 1);
    world.run(seconds(0.5));
    start_wave(&mut world, owner, 0);
    world.run(seconds(0.5));
    let job = submit(&mut world, 2, vec![labelled_step()]);
    let took = time_until_started(&mut world, &task(&job, 0, 0));
    assert!(took <= seconds(0.5), "the job started after {took:?}");
}

/// Guards against a wave that stands still after its reservations have expired, although the
/// budget allows it to go on.
#[test]
fn wave_goes_on_once_the_budget_allows() {
    let (mut world, owner) = labelled_world(143);
    lose_a_worker(&mut world, owner);
    start_wave(&mut world, owner, 1);
    world.run(seconds(12.0));
    assert_eq!(world.operations_started, 0, "there is no budget");
    let size = Resources::new(64_000, 262_144, 0);
    let other = FakeWorker::new(listing("i-other", "gates", "r1-3", size), world.now);
    world.add_worker(other);
    world.run(seconds(20.0));
    let state = world.owners[owner].scheduler.wave_state(1);
    assert_eq!(state, Some(WaveState::Completed));
    assert_no_violations(&world);
}
