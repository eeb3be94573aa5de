//! Jobs with a schedule: hundreds of occurrences, and what is stored of them.

mod support;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fleet::IndexRanges;
use nutmegcart_jobs::AcceptedJob;
use nutmegcart_jobs::CellRecord;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::TaskKey;
use nutmegcart_jobs::job::Job;
use nutmegcart_jobs::job::Schedule;
use nutmegcart_jobs::record::TaskProgress;
use nutmegcart_jobs::record::decode;
use nutmegcart_jobs::record::encode;
use nutmegcart_jobs::record::encode_cell;
use support::assert_no_violations;
use support::batch_step;
use support::completed;
use support::job_id;
use support::seconds;
use support::submit;
use support::world;

/// Tasks of each occurrence.
const WIDTH: u32 = 8;
/// Time between two occurrences in milliseconds.
const PERIOD_MS: u64 = 100;

/// Submits a job with `count` occurrences of [`WIDTH`] tasks; the first was due at `first_ms`.
fn submit_timed(world: &mut CellSimulation, number: usize, count: u32, first_ms: u64) -> JobId {
    let id = job_id(number);
    let accepted = AcceptedJob {
        waited_ms: 0,
        progress: Vec::new(),
        organisation: None,
        queue: world.queues[0].clone(),
        at: world.unix_ms(),
        job: Job {
            spec: "spec".into(),
            steps: vec![batch_step(WIDTH, 500, 60)],
            schedule: Some(Schedule {
                first_ms,
                period_ms: PERIOD_MS,
                count,
            }),
        },
    };
    world.submit(&id, &accepted);
    id
}

fn state_size(world: &CellSimulation) -> usize {
    world.store.state.as_ref().map_or(0, Vec::len)
}

/// Returns the progress of a finished task as versions without finished occurrences store it.
fn done(job: &JobId, occurrence: u32, index: u32) -> TaskProgress {
    TaskProgress {
        task: TaskKey {
            job: job.clone(),
            occurrence,
            step: 0,
            index,
        },
        done: true,
        failed: Vec::new(),
        run: 1,
        checkpoint: None,
    }
}

/// Guards against a stored state that grows with every occurrence of a job until the store refuses
/// it, and against a successor that runs finished occurrences again.
#[test]
fn state_does_not_grow_with_finished_occurrences() {
    let mut world = world(41, 8);
    world.take_over();
    world.run(seconds(1.0));
    let first_ms = world.unix_ms();
    let id = submit_timed(&mut world, 1, 600, first_ms);
    world.run(seconds(15.0));
    let early = state_size(&world);
    world.run(seconds(15.0));
    world.owners[0].up = false;
    world.run(seconds(0.5));
    world.take_over();
    world.run(seconds(25.0));
    let late = state_size(&world);
    assert!(!completed(&world, &id), "occurrences are still to come");
    assert!(
        late < early + 500,
        "{early} B after 15 s, {late} B after 55 s"
    );
    world.run(seconds(15.0));
    assert!(completed(&world, &id));
    assert_eq!(world.checker.starts, 600 * WIDTH as usize);
    assert_no_violations(&world);
}

/// Guards against an occurrence that waits for long and makes the state list every later one.
#[test]
fn state_does_not_grow_beside_an_open_occurrence() {
    let mut world = world(42, 8);
    world.queues[0].attempts = 100_000;
    world.take_over();
    world.run(seconds(1.0));
    let first_ms = world.unix_ms();
    let id = submit_timed(&mut world, 1, 300, first_ms);
    let open = done(&id, 3, 5).task;
    world.failing_tasks.insert(open.clone());
    world.run(seconds(10.0));
    let early = state_size(&world);
    world.run(seconds(15.0));
    let late = state_size(&world);
    // Each failed run of the open task is listed with five bytes.
    let failures = world.checker.failures(&open) as usize;
    assert!(
        late < early + 500 + 5 * failures,
        "{early} B after 10 s, {late} B after 25 s, {failures} failures"
    );
    assert!(!completed(&world, &id), "an occurrence is open");
    assert_no_violations(&world);
}

/// Guards against a cell that cannot go on from a state that is already too large for the store.
#[test]
fn state_that_lists_finished_occurrences_shrinks() {
    let mut world = world(43, 8);
    let first_ms = world.unix_ms() - 5_000 * PERIOD_MS;
    let id = submit_timed(&mut world, 1, 5_050, first_ms);
    let tasks = (0..5_000).flat_map(|number| (0..WIDTH).map(move |index| (number, index)));
    let record = CellRecord {
        tasks: tasks
            .map(|(number, index)| done(&id, number, index))
            .collect(),
        ..CellRecord::default()
    };
    world.store.state = Some(encode(&record));
    assert!(state_size(&world) > 1_048_576);
    world.take_over();
    world.run(seconds(1.0));
    assert!(state_size(&world) < 10_000, "{} B", state_size(&world));
    world.run(seconds(10.0));
    assert!(completed(&world, &id));
    assert_eq!(world.checker.starts, 50 * WIDTH as usize);
    assert_no_violations(&world);
}

/// Guards against a version without finished occurrences that runs the tasks of a job with few of
/// them again.
#[test]
fn earlier_version_reads_few_finished_occurrences() {
    let mut world = world(44, 8);
    world.take_over();
    world.run(seconds(1.0));
    let first_ms = world.unix_ms();
    let id = submit_timed(&mut world, 1, 600, first_ms);
    world.run(seconds(3.0));
    submit(&mut world, 2, vec![batch_step(2, 500, 60)]);
    world.run(seconds(1.0));
    let state = world.store.state.as_ref().expect("a state");
    let record: CellRecord = decode(state).expect("the version before reads the state");
    for (occurrence, index) in (0..30).flat_map(|each| (0..WIDTH).map(move |index| (each, index))) {
        let task = done(&id, occurrence, index).task;
        let found = record
            .tasks
            .iter()
            .any(|each| each.task == task && each.done);
        assert!(found, "{task} is missing");
    }
}

/// Guards against a successor whose clock is behind, and which drops the progress of occurrences that
/// it does not yet count as due.
#[test]
fn successor_with_a_late_clock_repeats_no_task() {
    let mut world = world(45, 8);
    let first_ms = world.unix_ms() + 1_000;
    let id = submit_timed(&mut world, 1, 20, first_ms);
    let mut tasks: Vec<TaskProgress> = (0..WIDTH).map(|index| done(&id, 0, index)).collect();
    tasks.extend((0..WIDTH / 2).map(|index| done(&id, 1, index)));
    let record = CellRecord {
        tasks,
        ..CellRecord::default()
    };
    world.store.state = Some(encode(&record));
    world.take_over();
    world.run(seconds(8.0));
    assert!(completed(&world, &id));
    assert_eq!(world.checker.starts, (18 * WIDTH + WIDTH / 2) as usize);
    assert_no_violations(&world);
}

/// Guards against a successor that forgets the progress of late occurrences, because it has not yet
/// added all of those that were open under its predecessor.
#[test]
fn successor_knows_occurrences_far_behind_an_open_one() {
    let mut world = world(46, 8);
    let first_ms = world.unix_ms() - 20_000 * PERIOD_MS;
    let id = submit_timed(&mut world, 1, 20_050, first_ms);
    let ended = (0..20_000).filter(|number| *number != 2_000);
    let record = CellRecord {
        past: vec![(id.clone(), IndexRanges::from_indexes(ended.collect()))],
        tasks: (0..WIDTH).map(|index| done(&id, 20_003, index)).collect(),
        ..CellRecord::default()
    };
    world.store.state = Some(encode_cell(&record));
    world.take_over();
    world.run(seconds(10.0));
    assert!(completed(&world, &id));
    assert_eq!(world.checker.starts, 50 * WIDTH as usize);
    assert_no_violations(&world);
}
