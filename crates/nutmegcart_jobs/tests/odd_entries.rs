//! Entries and reports of workers with values that no sound program writes.

mod support;

use std::sync::Arc;
use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::Machine;
use nutmegcart_jobs::MachineState;
use nutmegcart_jobs::PollResponse;
use nutmegcart_jobs::ReportedRun;
use nutmegcart_jobs::WorkerListing;
use nutmegcart_model::WorkerId;
use support::assert_all_completed;
use support::assert_no_violations;
use support::batch_step;
use support::first_busy_worker;
use support::seconds;
use support::submit;
use support::task;
use support::worker;
use support::world;

/// Largest value of a key of the store.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Shows an odd entry in place of a worker's own to an owner, as its watch reports it.
fn list_odd(world: &mut CellSimulation, owner: usize, id: &WorkerId, odd: fn(&mut WorkerListing)) {
    let mut listing = world.workers[id].listing.clone();
    odd(&mut listing);
    let now = world.now;
    world.owners[owner].scheduler.worker_listed(listing, now);
}

fn submit_jobs(world: &mut CellSimulation) -> Vec<JobId> {
    let jobs = 1..=3;
    jobs.map(|number| submit(world, number, vec![batch_step(6, 16_000, 2_000)]))
        .collect()
}

/// Guards against losing a worker, its runs or its cell to an odd entry that replaces its own for a
/// while, across a change of the owner.
fn odd_entry_of_a_known_worker(odd: fn(&mut WorkerListing)) {
    let mut world = world(71, 4);
    world.pools.truncate(1);
    let first = world.take_over();
    world.run(seconds(1.0));
    let jobs = submit_jobs(&mut world);
    world.run(seconds(0.5));
    let id = first_busy_worker(&world);
    list_odd(&mut world, first, &id, odd);
    world.run(seconds(1.0));
    world.owners[first].up = false;
    let second = world.take_over();
    world.run(seconds(0.5));
    list_odd(&mut world, second, &id, odd);
    world.run(seconds(2.0));
    let stored = world.store.state.as_ref().map_or(0, Vec::len);
    assert!(
        stored < MAX_VALUE_BYTES,
        "the cell state has {stored} bytes"
    );
    world.list_worker(&id);
    world.run(seconds(9.0));
    assert_all_completed(&world, &jobs);
    let known = world.owners[second].scheduler.worker(&id);
    let known = known.expect("the worker is known");
    assert_eq!(known.unusable(world.now), None, "{id} gets no tasks");
    assert_no_violations(&world);
}

fn long_name() -> Arc<str> {
    "x".repeat(MAX_VALUE_BYTES).into()
}

cases! { odd_entry_of_a_known_worker:
    incarnation_in_another_unit => |listing| listing.incarnation = 1_800_000_000_000_000;
    incarnation_above_signed_numbers => |listing| listing.incarnation = 1 << 63;
    largest_incarnation => |listing| listing.incarnation = u64::MAX;
    largest_capacity => |listing| listing.capacity = Resources::new(u64::MAX, u64::MAX, u32::MAX);
    no_capacity => |listing| listing.capacity = Resources::default();
    leaving_for_ever => |listing| {
        listing.draining = true;
        listing.remaining = Duration::from_millis(u64::MAX);
    };
    pool_that_no_queue_names => |listing| listing.pool = "elsewhere".into();
    pool_with_a_long_name => |listing| listing.pool = (&*long_name()).into();
    machine_with_a_long_name => |listing| listing.machine = Some(long_name());
    many_labels => |listing| listing.labels = vec!["a".into(); 100_000];
}

/// Guards against an owner that fails on the report of one worker, or never uses the worker again.
fn odd_report(odd: fn(&JobId) -> PollResponse) {
    let mut world = world(73, 4);
    world.pools.truncate(1);
    let first = world.take_over();
    world.run(seconds(1.0));
    let jobs = submit_jobs(&mut world);
    world.run(seconds(0.5));
    let (id, now) = (worker(3), world.now);
    let incarnation = world.workers[&id].listing.incarnation;
    let mut report = odd(&jobs[0]);
    if report.incarnation == 0 {
        report.incarnation = incarnation;
    }
    let scheduler = &mut world.owners[first].scheduler;
    scheduler.handle_poll_response(&id, now, &report, now);
    let _ = scheduler.next_poll(&id, now);
    world.run(seconds(2.0));
    world.owners[first].up = false;
    let second = world.take_over();
    world.run(seconds(9.0));
    assert_all_completed(&world, &jobs);
    let known = world.owners[second].scheduler.worker(&id);
    assert_eq!(known.expect("it is known").unusable(world.now), None);
    assert_no_violations(&world);
}

fn running(id: &JobId, run: u32) -> ReportedRun {
    ReportedRun {
        task: task(id, 9, u32::MAX),
        run,
        checkpoint: None,
        progress: u32::MAX,
        metric: u32::MAX,
    }
}

cases! { odd_report:
    report_of_the_largest_clock => |_| PollResponse { clock: u64::MAX, ..PollResponse::default() };
    report_of_a_clock_above_signed_numbers => |_| PollResponse { clock: 1 << 63, ..PollResponse::default() };
    report_of_the_largest_incarnation => |_| PollResponse { incarnation: u64::MAX, ..PollResponse::default() };
    report_of_a_task_that_no_job_has => |id| PollResponse {
        clock: 1_500,
        running: vec![running(id, u32::MAX)],
        ..PollResponse::default()
    };
}

/// Guards against taking a machine for gone because an incomplete list does not name it.
fn silent_worker_is_missing_from_the_list(complete: bool) {
    let mut world = world(77, 2);
    world.pools.truncate(1);
    let first = world.take_over();
    world.run(seconds(1.0));
    submit_jobs(&mut world);
    world.run(seconds(0.5));
    let machine = |name: &str, state| Machine {
        name: name.into(),
        pool: "gates".into(),
        state,
        worker: None,
        capacity: Resources::default(),
        labels: Vec::new(),
    };
    let mut list = vec![machine("m-i-00", MachineState::Up)];
    if !complete {
        list.push(machine("", MachineState::Unknown));
    }
    let now = world.now;
    let scheduler = &mut world.owners[first].scheduler;
    scheduler.poll_failed(&worker(1), "timeout", now);
    for second in 1..=3 {
        let at = now + Duration::from_secs(second);
        scheduler.update_machines(list.clone(), at, at);
    }
    assert_eq!(scheduler.worker(&worker(1)).is_some(), !complete);
}

cases! { silent_worker_is_missing_from_the_list:
    machine_that_lists_do_not_name_has_ended => true;
    machine_that_incomplete_lists_do_not_name_may_run => false;
}
