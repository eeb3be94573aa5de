//! Drawn faults around the end of a gang and its next start: no member waits in vain.

mod support;

use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fakes::cell::worker::FakeWorker;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::Step;
use nutmegcart_model::WorkerId;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::assert_no_violations;
use support::batch_step;
use support::completed;
use support::seconds;
use support::submit;
use support::world;

/// Number of plays of each case.
const PLAYS: u64 = 40;
/// Largest number of faults of a play.
const MAX_FAULTS: usize = 4;
/// Largest number of tasks of a gang.
const MAX_SIZE: u32 = 5;
/// Longest time that a stop takes.
const MAX_STOP: Duration = Duration::from_millis(400);

fn drawn_span(rng: &mut StdRng, from: f64, to: f64) -> Duration {
    seconds(rng.random_range(from..to))
}

/// Returns a drawn worker that runs a task of the job.
fn host(world: &CellSimulation, rng: &mut StdRng, job: &JobId) -> Option<WorkerId> {
    let runs = |worker: &FakeWorker| worker.up && worker.runs.keys().any(|key| key.job == *job);
    let workers = world.workers.iter().filter(|(_, worker)| runs(worker));
    let hosts: Vec<&WorkerId> = workers.map(|(id, _)| id).collect();
    let index = (!hosts.is_empty()).then(|| rng.random_range(0..hosts.len()))?;
    Some(hosts[index].clone())
}

/// Causes a fault that may end a gang or delay its next start.
type Fault = fn(&mut CellSimulation, &mut StdRng, &JobId);

fn empty(world: &mut CellSimulation, rng: &mut StdRng, job: &JobId) {
    if let Some(id) = host(world, rng, job) {
        let notice = drawn_span(rng, 0.1, 2.5);
        world.withdraw(&id, notice);
    }
}

fn crash(world: &mut CellSimulation, rng: &mut StdRng, job: &JobId) {
    if let Some(id) = host(world, rng, job) {
        world.crash(&id);
        let down = drawn_span(rng, 0.05, 2.0);
        world.after(down, move |world| world.restart(&id));
    }
}

fn lose_orders(world: &mut CellSimulation, rng: &mut StdRng, _job: &JobId) {
    world.delayed_share = 0.3;
    let span = drawn_span(rng, 0.1, 1.0);
    world.after(span, |world| world.delayed_share = 0.0);
}

fn silence(world: &mut CellSimulation, rng: &mut StdRng, job: &JobId) {
    if let Some(id) = host(world, rng, job) {
        let index = world.owners.len() - 1;
        world.owners[index].unreachable.insert(id.clone());
        let span = drawn_span(rng, 0.1, 2.0);
        world.after(span, move |world| {
            world.owners[index].unreachable.remove(&id);
        });
    }
}

/// Lets a worker refuse starts for want of room that its owner does not know of.
fn refuse(world: &mut CellSimulation, rng: &mut StdRng, job: &JobId) {
    if let Some(id) = host(world, rng, job) {
        let span = drawn_span(rng, 0.1, 3.0);
        let worker = world.workers.get_mut(&id).expect("a known worker");
        let capacity = std::mem::take(&mut worker.listing.capacity);
        world.after(span, move |world| {
            if let Some(worker) = world.workers.get_mut(&id) {
                worker.listing.capacity = capacity;
            }
        });
    }
}

fn change_owner(world: &mut CellSimulation, rng: &mut StdRng, _job: &JobId) {
    let index = world.owners.len() - 1;
    world.owners[index].up = false;
    let span = drawn_span(rng, 0.0, 0.6);
    world.after(span, |world| {
        world.take_over();
    });
}

fn stop_store(world: &mut CellSimulation, rng: &mut StdRng, _job: &JobId) {
    world.store.down = true;
    let span = drawn_span(rng, 0.5, 4.0);
    world.after(span, |world| world.store.down = false);
}

/// Plays a gang beside batch jobs and drawn faults.
fn play(seed: u64, faults: &[Fault]) {
    let mut rng = StdRng::seed_from_u64(seed);
    // Enough workers remain for the gang whichever are emptied.
    let mut world = world(seed, MAX_SIZE as usize + MAX_FAULTS);
    world.pools.truncate(1);
    for worker in world.workers.values_mut() {
        worker.stop_duration = MAX_STOP.mul_f64(rng.random_range(0.0..1.0));
    }
    world.take_over();
    world.run(seconds(1.0));
    let gang = Step {
        gang: true,
        checkpoints: rng.random_bool(0.7),
        per_worker: 1,
        ..batch_step(rng.random_range(2..=MAX_SIZE), 20_000, 6_000)
    };
    let job = submit(&mut world, 1, vec![gang]);
    let other = rng.random_range(1..6_000);
    submit(&mut world, 2, vec![batch_step(30, 12_000, other)]);
    for _ in 0..rng.random_range(1..=MAX_FAULTS) {
        let pause = drawn_span(&mut rng, 0.0, 2.5);
        world.run(pause);
        let fault = faults[rng.random_range(0..faults.len())];
        fault(&mut world, &mut rng, &job);
    }
    world.run(seconds(60.0));
    assert_no_violations(&world);
    assert_eq!(world.alone, 0, "seed {seed}: members that waited in vain");
    assert!(completed(&world, &job), "seed {seed}");
}

/// Guards against members that wait for each other until they give up, because the next start of
/// their gang is incomplete or gives them different checkpoints.
fn no_member_waits_in_vain(faults: &[Fault]) {
    for seed in 0..PLAYS {
        play(seed, faults);
    }
}

cases! { no_member_waits_in_vain:
    workers_are_emptied => &[empty];
    workers_restart => &[crash];
    orders_are_carried_out_late => &[lose_orders, empty];
    workers_fall_silent => &[silence, empty];
    workers_refuse_starts => &[refuse, empty];
    owners_change => &[change_owner, empty];
    the_store_is_away => &[stop_store, empty];
    all_of_them => &[empty, crash, lose_orders, silence, refuse, change_owner, stop_store];
}
