//! Ended jobs whose retention time has expired.

mod support;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_jobs::FlushOutcome;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobRecord;
use support::assert_all_completed;
use support::assert_no_violations;
use support::batch_step;
use support::job_id;
use support::seconds;
use support::submit;
use support::world;

/// Jobs in these tests, twice as many as one transaction removes.
const JOBS: usize = 28;

/// Creates a cell with an owner and jobs that have just ended.
fn ended_jobs(seed: u64) -> (CellSimulation, Vec<JobId>) {
    let mut world = world(seed, 4);
    world.settings.retention = seconds(8.0);
    world.take_over();
    world.run(seconds(1.0));
    let jobs: Vec<JobId> = (0..JOBS)
        .map(|number| submit(&mut world, number, vec![batch_step(1, 500, 200)]))
        .collect();
    world.run(seconds(3.0));
    assert_all_completed(&world, &jobs);
    (world, jobs)
}

/// Guards against keys of ended jobs that stay in the store because the transaction which removes
/// them failed.
fn expired_jobs_are_removed_after(outcome: &FlushOutcome) {
    let (mut world, _) = ended_jobs(71);
    world.run(seconds(4.5));
    // The simulated cell begins no transaction meanwhile.
    world.store.down = true;
    world.run(seconds(2.5));
    let now = world.now;
    let scheduler = &mut world.owners[0].scheduler;
    let flush = scheduler.next_flush(now).expect("a transaction");
    assert_eq!(flush.expired.len(), JOBS / 2);
    scheduler.handle_flush_outcome(outcome, now);
    world.store.down = false;
    world.run(seconds(10.0));
    assert_eq!(world.store.jobs.len(), 0);
    assert_no_violations(&world);
}

cases! {
    expired_jobs_are_removed_after:
    expired_jobs_are_removed_after_an_outage => &FlushOutcome::NotStored;
    expired_jobs_are_removed_after_a_rejection => &FlushOutcome::Rejected;
    expired_jobs_are_removed_after_a_conflict => &FlushOutcome::Changed(Vec::new());
}

/// Guards against an owner whose memory grows with every job that has ever ended.
#[test]
fn removed_jobs_are_forgotten() {
    let (mut world, jobs) = ended_jobs(72);
    let known = |world: &CellSimulation| {
        let scheduler = &world.owners[0].scheduler;
        let states = jobs.iter().map(|id| scheduler.job_state(id));
        states.flatten().count()
    };
    assert_eq!(known(&world), JOBS);
    world.run(seconds(10.0));
    assert_eq!(world.store.jobs.len(), 0);
    assert_eq!(known(&world), 0);
}

/// Guards against tombstones that stay in the store, and against a job that nobody submitted being shown.
#[test]
fn tombstone_is_removed_after_the_retention_time() {
    let (mut world, jobs) = ended_jobs(73);
    let cancelled: Vec<JobId> = (0..JOBS).map(|number| job_id(1_000 + number)).collect();
    assert!(cancelled.iter().all(|id| !jobs.contains(id)));
    for id in &cancelled {
        let record = JobRecord::Tombstone {
            at: 7,
            organisation: None,
        };
        world.store.jobs.insert(id.clone(), (record, 1));
    }
    world.take_over();
    world.run(seconds(1.0));
    for id in &cancelled {
        assert_eq!(world.owners[1].scheduler.job_state(id), None);
    }
    world.run(seconds(12.0));
    assert_eq!(world.store.jobs.len(), 0);
    assert_no_violations(&world);
}
