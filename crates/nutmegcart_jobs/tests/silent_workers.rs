//! Workers that are silent, or missing in service discovery, for less time than their leases last.

mod support;

use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_model::WorkerId;
use support::assert_no_violations;
use support::batch_step;
use support::completed;
use support::first_busy_worker;
use support::live_long_running_runs;
use support::long_running_step;
use support::seconds;
use support::submit;
use support::world;

/// Makes a worker silent or missing, or undoes that.
type Fault = fn(&mut CellSimulation, &WorkerId, bool);

fn set_silent(world: &mut CellSimulation, id: &WorkerId, silent: bool) {
    for owner in &mut world.owners {
        if silent {
            owner.unreachable.insert(id.clone());
        } else {
            owner.unreachable.remove(id);
        }
    }
}

fn set_missing(world: &mut CellSimulation, id: &WorkerId, missing: bool) {
    if missing {
        world.unlist_worker(id);
    } else {
        world.list_worker(id);
    }
}

/// Guards against tasks that are started again or given up because their worker was silent or slow
/// to report for a while, under one owner or around a change of the owner.
fn runs_go_on((fault, length, successor): (Fault, Duration, bool)) {
    let mut world = world(62, 4);
    let first = world.take_over();
    world.run(seconds(1.0));
    let batch = submit(&mut world, 1, vec![batch_step(4, 30_000, 9_000)]);
    submit(&mut world, 2, vec![long_running_step(4)]);
    world.run(seconds(2.0));
    let starts = world.checker.starts;
    assert_eq!(starts, 8);
    let host = first_busy_worker(&world);
    fault(&mut world, &host, true);
    if successor {
        world.owners[first].up = false;
        world.take_over();
        fault(&mut world, &host, true);
    }
    world.run(length);
    fault(&mut world, &host, false);
    world.run(seconds(14.0));
    assert_no_violations(&world);
    assert_eq!(world.checker.starts, starts, "nothing is started again");
    assert_eq!(live_long_running_runs(&world), 4);
    assert!(completed(&world, &batch));
}

cases! { runs_go_on:
    silent_for_half_a_second => (set_silent, seconds(0.5), false);
    silent_for_three_seconds => (set_silent, seconds(3.0), false);
    silent_for_three_seconds_around_a_change_of_the_owner => (set_silent, seconds(3.0), true);
    missing_for_two_seconds => (set_missing, seconds(2.0), false);
    missing_for_two_seconds_around_a_change_of_the_owner => (set_missing, seconds(2.0), true);
}

/// Returns the number of runs on the worker that the latest owner counts as live.
fn counted_runs(world: &CellSimulation, id: &WorkerId) -> usize {
    let owner = world.owners.last().expect("an owner");
    owner.scheduler.worker(id).map_or(0, |each| each.runs.len())
}

/// Guards against an owner that is cut off from the store, and takes the runs of a silent worker for
/// ended although a successor may have renewed their leases. What follows from their end, such as
/// a job that passes, is then wrong too.
#[test]
fn owner_without_the_store_counts_runs_of_silent_workers() {
    let mut world = world(63, 4);
    world.pools.truncate(1);
    let first = world.take_over();
    world.run(seconds(1.0));
    submit(&mut world, 1, vec![batch_step(4, 30_000, 25_000)]);
    world.run(seconds(1.0));
    let host = first_busy_worker(&world);
    let runs = counted_runs(&world, &host);
    assert!(runs > 0);
    world.owners[first].reaches_store = false;
    set_silent(&mut world, &host, true);
    // Its leases have ended, and the owner still acts.
    world.run(seconds(5.8));
    assert_eq!(counted_runs(&world, &host), runs);
}
