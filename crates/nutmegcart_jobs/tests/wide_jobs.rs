//! Jobs of the largest number of tasks, and the memory that their owner and its successor take.

mod support;

use std::alloc::System;
use std::sync::Mutex;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_jobs::AcceptedJob;
use nutmegcart_jobs::Job;
use nutmegcart_jobs::Schedule;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::job::MAX_STEPS;
use nutmegcart_jobs::job::MAX_TASKS;
use stats_alloc::INSTRUMENTED_SYSTEM;
use stats_alloc::Region;
use stats_alloc::StatsAlloc;
use support::assert_all_completed;
use support::assert_no_violations;
use support::batch_step;
use support::job_id;
use support::seconds;
use support::submit;
use support::world;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Allocations are counted for the whole process, so its tests take turns.
static TURN: Mutex<()> = Mutex::new(());

/// Number of wide jobs.
const JOBS: usize = 6;
/// Largest memory of an owner and its successor in bytes; the smallest machine has 160 MB.
const MAX_MEMORY: usize = 64 << 20;

/// Returns a job of the largest number of tasks, whose steps follow one another or run side by side.
fn wide_job(step: &Step, chained: bool) -> Job {
    let step = |number: u16| Step {
        count: MAX_TASKS,
        after: number
            .checked_sub(1)
            .filter(|_| chained)
            .into_iter()
            .collect(),
        ..step.clone()
    };
    let numbers = (0..MAX_STEPS).filter_map(|number| u16::try_from(number).ok());
    Job {
        spec: "spec".into(),
        steps: numbers.map(step).collect(),
        schedule: None,
    }
}

fn submit_wide(world: &mut CellSimulation, job: &Job) {
    for number in 0..JOBS {
        let accepted = AcceptedJob {
            waited_ms: 0,
            progress: Vec::new(),
            organisation: None,
            queue: world.queues[0].clone(),
            at: world.unix_ms(),
            job: job.clone(),
        };
        world.submit(&job_id(1_000 + number), &accepted);
    }
}

fn assert_memory(region: &Region<'_, System>) {
    let change = region.change();
    let used = change
        .bytes_allocated
        .saturating_sub(change.bytes_deallocated);
    assert!(used <= MAX_MEMORY, "{} MB are in use", used >> 20);
}

/// Guards against owners that a few small submissions end by memory, one after the other, so that no
/// accepted job of the cell starts any more.
fn owners_bear_wide_jobs((job, others_run): (Job, bool)) {
    let _turn = TURN
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let region = Region::new(ALLOCATOR);
    let mut world = world(95, 4);
    let first = world.take_over();
    world.run(seconds(1.0));
    submit_wide(&mut world, &job);
    assert_memory(&region);
    let other = submit(&mut world, 1, vec![batch_step(2, 4_000, 300)]);
    world.run(seconds(2.0));
    assert_memory(&region);
    world.owners[first].up = false;
    world.take_over();
    assert_memory(&region);
    let later = submit(&mut world, 2, vec![batch_step(2, 4_000, 300)]);
    world.run(seconds(8.0));
    assert_memory(&region);
    if others_run {
        assert_all_completed(&world, &[other, later]);
    }
    assert_no_violations(&world);
}

fn timed(mut job: Job) -> Job {
    job.schedule = Some(Schedule {
        first_ms: 0,
        period_ms: 100,
        count: 1_000,
    });
    job
}

cases! { owners_bear_wide_jobs:
    steps_that_follow_one_another => (wide_job(&batch_step(1, 4_000, 300), true), true);
    steps_side_by_side => (wide_job(&batch_step(1, 4_000, 300), false), true);
    wide_occurrences => (timed(wide_job(&batch_step(1, 4_000, 300), true)), true);
    wide_gangs => (
        wide_job(&Step { gang: true, ..batch_step(1, 4_000, 300) }, false),
        true
    );
    // These take all workers for good.
    long_running_steps => (
        wide_job(&Step { long_running: true, ..batch_step(1, 4_000, 300) }, false),
        false
    );
}
