//! Failed runs of a task around changes of the cell's owner.

mod support;

use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_jobs::FinalState;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobState;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::failed_runs::FailedRuns;
use support::assert_no_violations;
use support::batch_step;
use support::queue;
use support::seconds;
use support::submit;
use support::task;
use support::worker;
use support::world;

/// Interval between two moments at which a change of the owner is tried.
const STEP: Duration = Duration::from_millis(11);
/// Time from the submission until a job whose task fails has ended in calm conditions.
const JOB_TIME: Duration = Duration::from_millis(420);

/// How the owner ends.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// Its process ends, and a successor takes over at once.
    Crash,
    /// It shuts down.
    Release,
    /// It loses the store, and goes on acting until it meets a worker with a higher token.
    Partition,
    /// Its process ends while the store fails, so that nothing that it has learned is stored.
    Outage,
}

/// Submits a job with one task that fails at its end.
fn submit_failing(world: &mut CellSimulation, duration_ms: u64) -> JobId {
    let id = submit(world, 1, vec![batch_step(1, 1_000, duration_ms)]);
    world.failing_tasks.insert(task(&id, 0, 0));
    id
}

fn change_owner(world: &mut CellSimulation, owner: usize, change: Change) {
    match change {
        Change::Crash => {
            world.owners[owner].up = false;
            world.take_over();
        }
        Change::Release => world.release_owner(owner),
        Change::Partition => {
            world.owners[owner].reaches_store = false;
            world.run(seconds(0.03));
            world.take_over();
        }
        Change::Outage => {
            world.store.down = true;
            world.run(seconds(0.15));
            world.owners[owner].up = false;
            world.run(seconds(0.15));
            world.store.down = false;
            world.take_over();
        }
    }
}

/// Panics unless the job has failed, after no more failed runs of its task than its queue allows.
fn assert_attempts(world: &CellSimulation, id: &JobId, case: &str) {
    assert_no_violations(world);
    let failed = Some(JobState::Ended(FinalState::Failed));
    assert_eq!(world.stored_state(id), failed, "{case}");
    let failures = world.checker.failures(&task(id, 0, 0));
    assert_eq!(failures, queue("gates").attempts, "{case}");
}

/// Changes the owner at every moment of the two runs of a failing task, and once more `gap` later.
fn failed_ends_survive(change: Change) {
    for workers in [1, 3] {
        for gap in [seconds(0.02), seconds(0.2)] {
            let mut moment = Duration::ZERO;
            while moment < JOB_TIME {
                let mut world = world(11, workers);
                let first = world.take_over();
                world.run(seconds(1.0));
                let id = submit_failing(&mut world, 90);
                world.run(moment);
                change_owner(&mut world, first, change);
                world.run(gap);
                let last = world.owners.len() - 1;
                if world.owners[last].up && !world.owners[last].released {
                    change_owner(&mut world, last, Change::Crash);
                }
                world.run(seconds(15.0));
                let case = format!("{change:?} at {moment:?}, {gap:?}, {workers} workers");
                assert_attempts(&world, &id, &case);
                moment += STEP;
            }
        }
    }
}

cases! { failed_ends_survive:
    /// Guards against a failed run that is forgotten because the owner's process ends.
    failed_ends_survive_crashes => Change::Crash;
    /// Guards against a failed run that is forgotten at a shutdown.
    failed_ends_survive_releases => Change::Release;
    /// Guards against a failed run of which only an owner without the store knows.
    failed_ends_survive_partitions => Change::Partition;
    /// Guards against a failed run that was reported while the store fails.
    failed_ends_survive_outages => Change::Outage;
}

fn runs_of_two_owners_count(gang: bool) {
    let mut world = world(12, 2);
    // The job is older than the ownership of both owners.
    let step = Step {
        gang,
        ..batch_step(1, 1_000, 900)
    };
    let id = submit(&mut world, 1, vec![step]);
    world.failing_tasks.insert(task(&id, 0, 0));
    let first = world.take_over_partitioned([worker(1)]);
    let key = task(&id, 0, 0);
    while !world.checker.is_live(&key) {
        world.run(seconds(0.01));
    }
    world.owners[first].up = false;
    world.run(seconds(2.0));
    assert_eq!(world.checker.failures(&key), 1);
    let second = world.take_over_partitioned([worker(0)]);
    while !world.checker.is_live(&key) {
        world.run(seconds(0.01));
    }
    // The first worker reports its end while the second run is at work.
    world.owners[second].unreachable.clear();
    world.run(seconds(30.0));
    assert_attempts(&world, &id, "two owners");
}

cases! { runs_of_two_owners_count:
    /// Guards against two failed runs under two owners that count as one because both owners gave
    /// them the same number.
    runs_of_two_owners_count_separately => false;
    /// Same for the members of a gang, whose runs in one attempt have one number.
    runs_of_a_gang_under_two_owners_count_separately => true;
}

/// Guards against a failed run that counts twice because an earlier version has stored its number, or
/// because its worker reports it again to a successor.
#[test]
fn stored_runs_are_known() {
    let mut failed = FailedRuns::restore(vec![17]);
    failed.record(&worker(0), 17);
    assert_eq!(failed.count(), 1);
    failed.record(&worker(0), 18);
    let mut restored = FailedRuns::restore(failed.stored());
    restored.record(&worker(0), 18);
    assert_eq!(restored.count(), 2);
    restored.record(&worker(1), 18);
    assert_eq!(restored.count(), 3);
}
