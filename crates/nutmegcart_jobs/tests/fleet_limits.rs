//! Fleet-wide limits of organisations, within one cell.

mod support;

use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::Organisation;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::WaitReason;

use crate::support::assert_all_completed;
use crate::support::batch_step;
use crate::support::long_running_step;
use crate::support::seconds;
use crate::support::submit_as;
use crate::support::worker;
use crate::support::world;

const NAME: &str = "ferries";

/// Creates a cell, one of `cells`, with an organisation that has a limit of processor.
fn limited(workers: usize, cells: u32, cpu: u64) -> CellSimulation {
    let mut world = world(7, workers);
    world.cells = cells;
    world.organisations = vec![organisation(cpu)];
    world.take_over();
    let owner = world.owners.last_mut().expect("a cell has an owner");
    owner.scheduler.load_allocations(Vec::new());
    let nothing = Resources::default();
    owner.scheduler.set_excess_elsewhere(&NAME.into(), nothing);
    world.run(seconds(0.5));
    world
}

fn organisation(cpu: u64) -> Organisation {
    Organisation::new(NAME.into(), 1.0, Resources::new(cpu, 0, 0))
}

fn set_limit(world: &mut CellSimulation, cpu: u64) {
    world.organisations = vec![organisation(cpu)];
    let owner = world.owners.last_mut().expect("a cell has an owner");
    owner.scheduler.set_organisations(&world.organisations);
}

fn submit(world: &mut CellSimulation, number: usize, step: Step) -> nutmegcart_jobs::JobId {
    submit_as(world, Some(NAME.into()), 0, number, vec![step])
}

/// Returns the processor that runs occupy on the workers.
fn running(world: &CellSimulation) -> u64 {
    world.workers.values().map(|each| each.used().cpu).sum()
}

/// Returns the largest use within a span, sampled after each millisecond.
fn most_running(world: &mut CellSimulation, span: f64) -> u64 {
    let end = world.now + seconds(span);
    let mut most = 0;
    while world.now < end {
        world.run(Duration::from_millis(1));
        most = most.max(running(world));
    }
    most
}

struct Case {
    cells: u32,
    limit: u64,
    step: Step,
    most: u64,
}

fn occupies(case: Case) {
    let mut world = limited(4, case.cells, case.limit);
    submit(&mut world, 1, case.step);
    assert_eq!(most_running(&mut world, 3.0), case.most);
}

fn gang(count: u32) -> Step {
    Step {
        gang: true,
        ..batch_step(count, 2_000, 500)
    }
}

cases! { occupies:
    /// Guards against a cell that uses the part of another one.
    tasks_fill_the_equal_allocation => Case {
        cells: 2, limit: 16_000, step: batch_step(40, 3_000, 400), most: 6_000,
    };
    /// Guards against a task larger than the limit that never runs, and against two at once.
    task_above_the_limit_runs_alone => Case {
        cells: 1, limit: 2_000, step: batch_step(3, 3_000, 400), most: 3_000,
    };
    /// Guards against two cells that each exceed their half.
    half_of_all_does_not_admit_a_larger_task => Case {
        cells: 2, limit: 4_000, step: batch_step(3, 3_000, 400), most: 0,
    };
    /// Guards against a reservation that does not count until its task starts.
    long_running_tasks_count_when_reserved => Case {
        cells: 1, limit: 10_000, step: long_running_step(4), most: 10_000,
    };
    /// Guards against a gang of which the last tasks exceed the limit.
    gang_above_the_limit_does_not_start => Case {
        cells: 1, limit: 6_000, step: gang(4), most: 0,
    };
    /// Guards against a gang that never starts although it exceeds the limit by less than a task.
    gang_starts_as_a_whole => Case {
        cells: 1, limit: 7_000, step: gang(4), most: 8_000,
    };
}

/// Guards against best-effort tasks beyond the limit; they occupy no processor of a worker.
#[test]
fn best_effort_tasks_stay_within_the_limit() {
    let mut world = limited(4, 1, 6_000);
    let step = Step {
        best_effort: true,
        ..batch_step(9, 3_000, 60_000)
    };
    submit(&mut world, 1, step);
    world.run(seconds(2.0));
    let runs: usize = world.workers.values().map(|each| each.runs.len()).sum();
    assert_eq!(runs, 2);
}

/// Guards against work within the limit that is lost or waits for ever.
#[test]
fn all_work_completes_within_the_limit() {
    let mut world = limited(4, 1, 16_000);
    let jobs: Vec<_> = (0..6)
        .map(|number| submit(&mut world, number, batch_step(8, 2_000, 300)))
        .collect();
    assert_eq!(most_running(&mut world, 8.0), 16_000);
    assert_all_completed(&world, &jobs);
}

/// Guards against a successor that does not count what its predecessor has started on a worker which
/// does not answer, and starts as much again.
#[test]
fn successor_counts_runs_on_unreached_workers() {
    let mut world = limited(2, 1, 80_000);
    submit(&mut world, 1, batch_step(20, 4_000, 60_000));
    world.run(seconds(1.0));
    assert_eq!(running(&world), 80_000);
    let owner = world.owners.len() - 1;
    world.owners[owner].up = false;
    world.take_over_partitioned([worker(0)]);
    submit(&mut world, 2, batch_step(30, 4_000, 60_000));
    assert_eq!(most_running(&mut world, 4.0), 80_000);
}

/// Guards against starts under a limit that was lowered, and against stops because of it.
#[test]
fn lowered_limit_starts_nothing_and_stops_nothing() {
    let mut world = limited(4, 1, 40_000);
    submit(&mut world, 1, batch_step(10, 4_000, 2_000));
    world.run(seconds(0.5));
    assert_eq!(running(&world), 40_000);
    submit(&mut world, 2, batch_step(40, 4_000, 400));
    set_limit(&mut world, 8_000);
    let starts = world.checker.starts;
    world.run(seconds(1.0));
    assert_eq!(world.checker.starts, starts);
    world.run(seconds(2.0));
    assert_eq!(most_running(&mut world, 2.0), 8_000);
}

/// Guards against an operator who does not see that the limit holds a task back.
#[test]
fn limit_is_the_reason_of_a_waiting_task() {
    let mut world = limited(4, 2, 8_000);
    submit(&mut world, 1, long_running_step(1));
    world.run(seconds(1.0));
    let owner = world.owners.last().expect("a cell has an owner");
    let waiting = owner.scheduler.waiting_long_running(world.now);
    let reasons: Vec<_> = waiting.iter().flat_map(|pool| &pool.tasks).collect();
    assert_eq!(reasons.len(), 1);
    assert_eq!(reasons[0].reason, WaitReason::OrganisationLimit);
}

/// Guards against a limit that holds jobs of others, or of an organisation that was removed.
#[test]
fn jobs_of_others_have_no_limit() {
    let mut world = limited(4, 2, 1_000);
    let other = submit_as(&mut world, None, 0, 1, vec![batch_step(4, 8_000, 200)]);
    let removed = submit_as(
        &mut world,
        Some("tidewater".into()),
        0,
        2,
        vec![batch_step(4, 8_000, 200)],
    );
    world.run(seconds(2.0));
    assert_all_completed(&world, &[other, removed]);
}

/// Guards against an operator who does not see how much of its limit an organisation uses, how many of
/// its jobs wait and why.
#[test]
fn status_tells_use_and_reason() {
    let mut world = limited(4, 2, 8_000);
    for number in 0..3 {
        submit(&mut world, number, batch_step(1, 4_000, 60_000));
    }
    world.run(seconds(1.0));
    let owner = world.owners.last().expect("a cell has an owner");
    let statuses = owner.scheduler.organisation_statuses();
    assert_eq!(statuses.len(), 1);
    let status = &statuses[0];
    assert_eq!((status.allocation, status.used.cpu), (500_000, 4_000));
    assert_eq!(status.waiting_jobs, 2);
    assert_eq!(status.reason, "organisation's limit");
}
