//! Jobs of which one value alone is extreme, beside ordinary jobs of the same cell.

mod support;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fakes::cell::worker::FakeWorker;
use nutmegcart_fakes::cell::worker::listing;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::AcceptedJob;
use nutmegcart_jobs::Job;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::PollResponse;
use nutmegcart_jobs::ReportedRun;
use nutmegcart_jobs::Schedule;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::TaskKey;
use nutmegcart_jobs::job::MAX_STEPS;
use nutmegcart_jobs::job::MAX_TASKS;
use support::assert_all_completed;
use support::assert_no_violations;
use support::batch_step;
use support::completed;
use support::job_id;
use support::seconds;
use support::submit;
use support::worker;
use support::world;

/// Largest stored state of a cell with 4 workers and a few jobs, in bytes: 28 for each finished task of
/// the open occurrences of a schedule, and what the rest takes.
const MAX_STATE: usize = 28 * MAX_TASKS as usize + (64 << 10);
/// Largest number of tasks that an owner keeps in memory for one job with a schedule.
const MAX_KEPT: usize = 2_000_000;

fn submit_job(world: &mut CellSimulation, number: usize, job: Job) -> JobId {
    let id = job_id(number);
    let accepted = AcceptedJob {
        waited_ms: 0,
        progress: Vec::new(),
        organisation: None,
        queue: world.queues[0].clone(),
        at: world.unix_ms(),
        job,
    };
    world.submit(&id, &accepted);
    id
}

fn kept_tasks(world: &CellSimulation, id: &JobId) -> usize {
    let owner = world.owners.last().expect("an owner");
    let job = owner.scheduler.jobs().find(|job| job.id == *id);
    let occurrences = job.iter().flat_map(|job| job.occurrences.values());
    let steps = occurrences.flat_map(|each| &each.steps);
    steps.map(|step| step.tasks.len()).sum()
}

/// Guards against a job that ends its owner, or stops the other jobs of its cell, by one value.
/// `ends` tells whether it can be completed.
fn others_run_beside((job, ends): (Job, bool)) {
    let mut world = world(91, 4);
    let first = world.take_over();
    world.run(seconds(1.0));
    let large = submit_job(&mut world, 1, job);
    let other = submit(&mut world, 2, vec![batch_step(2, 4_000, 300)]);
    world.run(seconds(3.0));
    assert_all_completed(&world, &[other]);
    world.owners[first].up = false;
    world.take_over();
    let later = submit(&mut world, 3, vec![batch_step(2, 4_000, 300)]);
    world.run(seconds(9.0));
    assert_all_completed(&world, &[later]);
    assert_eq!(completed(&world, &large), ends);
    let kept = kept_tasks(&world, &large);
    assert!(kept <= MAX_KEPT, "{kept} tasks are kept");
    let stored = world.store.state.as_ref().map_or(0, Vec::len);
    assert!(stored <= MAX_STATE, "the cell state has {stored} bytes");
    assert_no_violations(&world);
}

fn once(step: Step) -> Job {
    Job {
        spec: "spec".into(),
        steps: vec![step],
        schedule: None,
    }
}

fn timed(width: u32, first_ms: u64, period_ms: u64, count: u32) -> Job {
    let schedule = Some(Schedule {
        first_ms,
        period_ms,
        count,
    });
    Job {
        schedule,
        ..once(batch_step(width, 500, 60))
    }
}

fn gang(count: u32, cpu: u64, per_worker: u32) -> Job {
    once(Step {
        gang: true,
        per_worker,
        ..batch_step(count, cpu, 300)
    })
}

fn needing(need: Resources) -> Job {
    once(Step {
        need,
        ..batch_step(4, 0, 300)
    })
}

fn long_name() -> String {
    "x".repeat(200_000)
}

cases! { others_run_beside:
    estimate_of_nothing => (once(batch_step(4, 4_000, 0)), true);
    estimate_of_years => (once(batch_step(4, 4_000, 100_000_000_000)), false);
    largest_estimate => (once(batch_step(4, 4_000, u64::MAX)), false);
    schedule_that_is_due_at_once => (timed(8, 0, 0, u32::MAX), false);
    schedule_that_began_long_ago => (timed(8, 0, 1, u32::MAX), false);
    schedule_of_wide_occurrences => (timed(MAX_TASKS, 0, 0, 1_000_000), false);
    schedule_with_the_largest_period => (timed(8, 1_000, u64::MAX, u32::MAX), false);
    schedule_with_the_largest_first_time => (timed(8, u64::MAX, 1, u32::MAX), false);
    gang_larger_than_its_pool => (gang(5, 64_000, 1), false);
    gang_larger_than_the_fleet => (gang(MAX_TASKS, 4_000, 1), false);
    gang_larger_than_the_fleet_without_a_limit_for_each_worker => (gang(MAX_TASKS, 64_000, 0), false);
    more_processors_than_any_machine => (needing(Resources::new(64_001, 0, 0)), false);
    more_memory_than_any_machine => (needing(Resources::new(0, 1 << 40, 0)), false);
    tasks_that_need_nothing => (
        once(Step { need: Resources::default(), ..batch_step(MAX_TASKS, 0, 300) }),
        true
    );
    accelerators_that_no_machine_has => (needing(Resources::new(0, 0, 1)), false);
    largest_needs => (needing(Resources::new(u64::MAX, u64::MAX, u32::MAX)), false);
    image_with_a_long_name => (
        once(Step { image: Some(long_name().into()), ..batch_step(4, 4_000, 300) }),
        true
    );
    label_with_a_long_name => (
        once(Step { label: Some(long_name().into()), ..batch_step(4, 4_000, 300) }),
        false
    );
    rack_with_a_long_name => (
        once(Step { rack: Some((&*long_name()).into()), ..batch_step(4, 4_000, 300) }),
        true
    );
    largest_limits_of_a_step => (
        once(Step {
            per_worker: u32::MAX,
            max_unavailable: Some(u32::MAX),
            target_ms: u64::MAX,
            ..batch_step(4, 4_000, 300)
        }),
        true
    );
    long_running_tasks_that_fit_nowhere => (
        once(Step {
            long_running: true,
            per_worker: 1,
            max_unavailable: Some(u32::MAX),
            target_ms: u64::MAX,
            ..batch_step(1_000, 64_001, 300)
        }),
        false
    );
}

/// Guards against durations that overflow once finished tasks have shown that a declared one is
/// far too short.
#[test]
fn learnt_factor_of_the_largest_estimates_does_not_overflow() {
    let mut world = world(92, 4);
    let first = world.take_over();
    world.run(seconds(1.0));
    for worker in world.workers.values_mut() {
        worker.slowdown = 100;
    }
    let slow = submit(&mut world, 1, vec![batch_step(200, 1_000, 20)]);
    world.run(seconds(9.0));
    assert_all_completed(&world, &[slow]);
    let chained = |number: u16| Step {
        after: number.checked_sub(1).into_iter().collect(),
        ..batch_step(1, 4_000, u64::MAX)
    };
    let steps = (0..MAX_STEPS).filter_map(|number| u16::try_from(number).ok());
    submit(&mut world, 2, steps.map(chained).collect());
    let other = submit(&mut world, 3, vec![batch_step(2, 4_000, 3)]);
    world.run(seconds(4.0));
    assert_all_completed(&world, &[other]);
    world.owners[first].up = false;
    world.take_over();
    world.run(seconds(4.0));
    assert_no_violations(&world);
}

/// Reports a run of a later occurrence, as after a change of the owner; returns the tasks that are
/// kept of the job, which is due in an hour.
fn kept_after_report(width: u32, occurrence: u32) -> usize {
    let mut world = world(93, 4);
    let first = world.take_over();
    world.run(seconds(1.0));
    let due = world.unix_ms() + 3_600_000;
    let job = submit_job(&mut world, 1, timed(width, due, 100, 1_000_000));
    let (id, now) = (worker(3), world.now);
    let run = ReportedRun {
        task: TaskKey {
            job: job.clone(),
            occurrence,
            step: 0,
            index: 0,
        },
        run: 1,
        checkpoint: None,
        progress: 1,
        metric: 0,
    };
    let report = PollResponse {
        incarnation: world.workers[&id].listing.incarnation,
        clock: 1_500,
        running: vec![run],
        ..PollResponse::default()
    };
    let scheduler = &mut world.owners[first].scheduler;
    scheduler.handle_poll_response(&id, now, &report, now);
    kept_tasks(&world, &job)
}

/// Guards against a run that is not known because its occurrence was due by another clock, and
/// against a report of one run that lets a job take any amount of memory.
fn report_of_a_later_occurrence((width, occurrence, kept): (u32, u32, usize)) {
    assert_eq!(kept_after_report(width, occurrence), kept);
}

cases! { report_of_a_later_occurrence:
    occurrence_that_is_slightly_early => (8, 50, 8 * 51);
    latest_occurrence_that_may_be_early => (1, 10_000, 10_001);
    occurrence_that_cannot_be_early => (1, 10_001, 0);
    wide_occurrence_that_is_slightly_early => (MAX_TASKS, 20, 21 * MAX_TASKS as usize);
    wide_occurrence_that_cannot_be_early => (MAX_TASKS, 10_000, 0);
}

/// Creates a cell with four workers in a pool, and eight in the spare pool.
fn world_with_spare(seed: u64) -> CellSimulation {
    let mut world = world(seed, 4);
    for index in 0..8 {
        let size = Resources::new(64_000, 262_144, 0);
        let listing = listing(&format!("s-{index:02}"), "shared", "r1-9", size);
        let added = FakeWorker::new(listing, world.now);
        world.add_worker(added);
    }
    world
}

/// Guards against a gang that waits for ever beside idle machines, because its pool has too few
/// workers and its demand is not counted.
fn gang_gets_workers_from_the_spare_pool(gang: Job) {
    let mut world = world_with_spare(94);
    world.take_over();
    world.run(seconds(1.0));
    let id = submit_job(&mut world, 1, gang);
    world.run(seconds(12.0));
    assert_all_completed(&world, &[id]);
    assert_no_violations(&world);
}

cases! { gang_gets_workers_from_the_spare_pool:
    gang_with_a_limit_for_each_worker => gang(7, 4_000, 1);
    gang_whose_tasks_fill_a_worker => gang(7, 64_000, 0);
    gang_of_which_two_tasks_fit_on_a_worker => gang(14, 30_000, 0);
}

/// Guards against a gang that draws machines to its pool although it can never start.
fn gang_draws_no_machines(gang: Job) {
    let mut world = world_with_spare(95);
    world.take_over();
    world.run(seconds(1.0));
    let id = submit_job(&mut world, 1, gang);
    world.run(seconds(20.0));
    assert!(!completed(&world, &id));
    let moved = world.operations_started;
    assert!(moved <= 2, "{moved} moves for a job that cannot start");
}

cases! { gang_draws_no_machines:
    gang_with_more_members_than_machines => gang(100, 100, 1);
    gang_that_shares_workers_and_needs_more_than_there_are => gang(100, 100, 2);
    tasks_that_no_machine_can_run => once(batch_step(4, 64_001, 100_000));
}
