//! A cell whose state exceeds the largest value of the store.

mod support;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fleet::IndexRanges;
use nutmegcart_jobs::CellRecord;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::record::FinishedTasks;
use nutmegcart_jobs::record::decode;
use nutmegcart_jobs::record::decode_cell;
use nutmegcart_jobs::record::encode;
use nutmegcart_jobs::record::encode_cell;
use support::assert_all_completed;
use support::assert_no_violations;
use support::batch_step;
use support::completed;
use support::job_id;
use support::seconds;
use support::submit;
use support::world;

/// Size of the largest value that the store accepts, in bytes.
const MAX_VALUE: usize = 12_000;
/// The same in a store that accepts neither form of the progress of [`OPEN_JOBS`].
const SMALL_VALUE: usize = 1_500;
/// Jobs with one finished and one long task each.
const OPEN_JOBS: usize = 60;
/// Tasks of the large job.
const TASKS: u32 = 4_000;
/// Smallest size of a finished task that is listed, in bytes.
const MIN_LISTED_SIZE: usize = 26;

/// Creates a cell with an owner, on a store with a limit. `known` tells whether the owner knows the
/// limit.
fn limited_world(seed: u64, max_value: usize, known: bool) -> CellSimulation {
    let mut world = world(seed, 8);
    world.store.max_value = Some(max_value);
    if known {
        world.settings.max_value = max_value;
    }
    world.take_over();
    world.run(seconds(1.0));
    world
}

fn submit_large_job(world: &mut CellSimulation) -> JobId {
    submit(world, 1, vec![batch_step(TASKS, 2_000, 400)])
}

fn submit_small_jobs(world: &mut CellSimulation) -> Vec<JobId> {
    let mut jobs = Vec::new();
    for number in 2..22 {
        jobs.push(submit(world, number, vec![batch_step(1, 500, 200)]));
        world.run(seconds(0.1));
    }
    jobs
}

fn submit_open_jobs(world: &mut CellSimulation) -> Vec<JobId> {
    let steps = vec![batch_step(1, 500, 200), batch_step(1, 500, 6_000)];
    (0..OPEN_JOBS)
        .map(|number| submit(world, 1_000 + number, steps.clone()))
        .collect()
}

fn stored(world: &CellSimulation) -> CellRecord {
    let state = world.store.state.as_ref().expect("a state");
    decode_cell(state).expect("a record")
}

/// Returns the number of finished tasks of a job that the stored state contains.
fn stored_tasks(world: &CellSimulation, id: &JobId) -> usize {
    let record = stored(world);
    let listed = record.tasks.iter();
    let listed = listed.filter(|each| each.task.job == *id && each.done);
    let finished = record.finished.iter().filter(|each| each.job == *id);
    let ranges: u32 = finished.map(|each| each.indexes.len()).sum();
    listed.count() + ranges as usize
}

/// Panics unless the store has accepted the state of the cell, and it is below the limit.
fn assert_state_below(world: &CellSimulation, limit: usize) {
    assert_eq!(rejected_state(world), None);
    let state = world.store.state.as_ref();
    assert!(state.is_some_and(|state| state.len() < limit));
}

fn rejected_state(world: &CellSimulation) -> Option<usize> {
    let owner = world.owners.last().expect("an owner");
    owner.scheduler.rejected_state()
}

/// Guards against an owner that repeats a transaction which the store never accepts, and with it
/// withholds the final states of all jobs of its cell, and against one that never acknowledges the
/// ends of a job whose finished tasks do not fit when they are listed one by one.
fn jobs_end_beside_a_state_that_is_too_large(known: bool) {
    let mut world = limited_world(51, MAX_VALUE, known);
    let large = submit_large_job(&mut world);
    world.run(seconds(3.0));
    let jobs = submit_small_jobs(&mut world);
    let progress = stored_tasks(&world, &large);
    assert!(
        progress * MIN_LISTED_SIZE > MAX_VALUE,
        "{progress} tasks are stored"
    );
    assert_eq!(rejected_state(&world), None);
    world.run(seconds(1.5));
    assert!(!completed(&world, &large), "the large job is still at work");
    assert!(stored_tasks(&world, &large) > progress);
    assert_all_completed(&world, &jobs);
    world.run(seconds(15.0));
    assert!(completed(&world, &large));
    assert_state_below(&world, MAX_VALUE);
    assert_eq!(world.checker.starts, TASKS as usize + 20);
    assert_no_violations(&world);
}

cases! {
    jobs_end_beside_a_state_that_is_too_large:
    state_above_the_known_limit_of_the_store => true;
    state_above_an_unknown_limit_of_the_store => false;
}

/// Guards against an owner that withholds the final states of all jobs while the store accepts the
/// state in no form.
fn jobs_end_beside_a_state_without_room(known: bool) {
    let mut world = limited_world(53, SMALL_VALUE, known);
    let open = submit_open_jobs(&mut world);
    world.run(seconds(1.0));
    let jobs = submit_small_jobs(&mut world);
    let now = world.now;
    let rejected = rejected_state(&world);
    assert!(
        rejected.is_some_and(|size| size > SMALL_VALUE),
        "at {now:?}"
    );
    world.run(seconds(1.5));
    assert!(open.iter().all(|id| !completed(&world, id)));
    assert_all_completed(&world, &jobs);
    world.run(seconds(15.0));
    assert_all_completed(&world, &open);
    assert_state_below(&world, SMALL_VALUE);
    assert_eq!(world.checker.starts, 2 * OPEN_JOBS + 20);
    assert_no_violations(&world);
}

cases! {
    jobs_end_beside_a_state_without_room:
    state_without_room_below_the_known_limit => true;
    state_without_room_below_an_unknown_limit => false;
}

/// Guards against workers that get no tasks after the store has accepted the state in no form for
/// so long that their unacknowledged ends reached the limit.
fn large_job_goes_on_once_the_state_fits(known: bool) {
    let mut world = limited_world(54, SMALL_VALUE, known);
    let mut jobs = submit_open_jobs(&mut world);
    jobs.push(submit_large_job(&mut world));
    world.run(seconds(5.5));
    let starts = world.checker.starts;
    assert!(rejected_state(&world).is_some());
    world.run(seconds(0.5));
    assert_eq!(world.checker.starts, starts, "the workers are full of ends");
    world.run(seconds(20.0));
    assert_all_completed(&world, &jobs);
    assert_eq!(rejected_state(&world), None);
    assert_eq!(world.checker.starts, TASKS as usize + 2 * OPEN_JOBS);
    assert_no_violations(&world);
}

cases! {
    large_job_goes_on_once_the_state_fits:
    large_job_goes_on_below_the_known_limit => true;
    large_job_goes_on_below_an_unknown_limit => false;
}

/// Guards against a successor that runs tasks again whose ends were acknowledged and which the state
/// does not list one by one.
fn successor_repeats_no_task(known: bool) {
    let mut world = limited_world(55, MAX_VALUE, known);
    let large = submit_large_job(&mut world);
    for _ in 0..3 {
        world.run(seconds(1.5));
        world.owners.last_mut().expect("an owner").up = false;
        world.run(seconds(0.3));
        world.take_over();
    }
    assert!(stored_tasks(&world, &large) * MIN_LISTED_SIZE > MAX_VALUE);
    assert!(!stored(&world).finished.is_empty());
    world.run(seconds(25.0));
    assert!(completed(&world, &large));
    assert_eq!(world.checker.starts, TASKS as usize);
    assert_no_violations(&world);
}

cases! {
    successor_repeats_no_task:
    successor_repeats_no_task_below_the_known_limit => true;
    successor_repeats_no_task_below_an_unknown_limit => false;
}

/// Guards against a state with ranges while an instance that does not read them may become the
/// owner, and would run finished tasks again.
fn ranges_wait_for_earlier_versions(known: bool) {
    let mut world = limited_world(58, MAX_VALUE, known);
    world.owners[0].scheduler.allow_ranges(false);
    let large = submit_large_job(&mut world);
    for _ in 0..60 {
        world.run(seconds(0.1));
        assert_eq!(stored(&world).finished, Vec::new());
    }
    assert!(rejected_state(&world).is_some_and(|size| size > MAX_VALUE));
    assert!(!completed(&world, &large));
    world.owners[0].scheduler.allow_ranges(true);
    world.run(seconds(15.0));
    assert!(completed(&world, &large));
    assert_eq!(world.checker.starts, TASKS as usize);
    assert_no_violations(&world);
}

cases! {
    ranges_wait_for_earlier_versions:
    ranges_wait_for_earlier_versions_below_the_known_limit => true;
    ranges_wait_for_earlier_versions_below_an_unknown_limit => false;
}

/// Guards against a state that earlier versions misread although they could read it whole.
#[test]
fn state_that_fits_lists_every_finished_task() {
    let mut world = limited_world(56, MAX_VALUE, true);
    let open = submit_open_jobs(&mut world);
    world.run(seconds(3.0));
    let record = stored(&world);
    assert_eq!(record.finished, Vec::new());
    assert_eq!(record.tasks.len(), open.len());
}

/// Guards against a successor that fails on numbers of tasks which a job doesn't have.
#[test]
fn unknown_finished_tasks_have_no_effect() {
    let mut world = world(57, 8);
    let id = submit(&mut world, 1, vec![batch_step(4, 500, 60)]);
    let entry = |job: JobId, occurrence: u32, step: u16, last: u32| FinishedTasks {
        job,
        occurrence,
        step,
        indexes: ranges(&[(1, 2), (3, last)]),
    };
    let record = CellRecord {
        finished: vec![
            entry(job_id(9), 0, 0, 4),
            entry(id.clone(), u32::MAX, 0, u32::MAX),
            entry(id.clone(), 0, 7, u32::MAX),
            entry(id.clone(), 0, 0, u32::MAX),
        ],
        ..CellRecord::default()
    };
    world.store.state = Some(encode_cell(&record));
    assert_eq!(stored(&world), record);
    world.take_over();
    world.run(seconds(8.0));
    assert!(completed(&world, &id));
    assert_eq!(world.checker.starts, 2);
    assert_no_violations(&world);
}

/// Returns ranges as a store may hold them.
fn ranges(ranges: &[(u32, u32)]) -> IndexRanges {
    decode(&encode(&ranges)).expect("ranges")
}
