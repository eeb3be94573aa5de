//! Size of the stored state of a cell, by the number of tasks that have finished.

mod support;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fleet::IndexRanges;
use nutmegcart_jobs::AcceptedJob;
use nutmegcart_jobs::CellRecord;
use nutmegcart_jobs::Job;
use nutmegcart_jobs::job::MAX_TASKS;
use nutmegcart_jobs::job::Schedule;
use nutmegcart_jobs::record::FinishedTasks;
use nutmegcart_jobs::record::decode_cell;
use nutmegcart_jobs::record::encode;
use nutmegcart_jobs::record::encode_cell;
use support::assert_no_violations;
use support::batch_step;
use support::job_id;
use support::long_running_step;
use support::queue;
use support::seconds;
use support::submit;
use support::task;
use support::world;

/// Numbers of finished occurrences or tasks.
const COUNTS: [u32; 3] = [1_000, 10_000, 100_000];
/// Unfinished occurrences or tasks beside these.
const OPEN: u32 = 20;
/// Time between two occurrences in milliseconds.
const PERIOD_MS: u64 = 10_000;
/// Duration of a task that doesn't end during the test, in milliseconds.
const LONG_MS: u64 = 60_000;
/// Size of a state without progress, in bytes.
const BASE_SIZE: usize = 600;
/// Largest size of a step with finished tasks in one range, in bytes.
const STEP_SIZE: usize = 40;

/// Returns the state that a successor stores, for a job with the given progress.
fn stored_state(job: Job, record: &CellRecord, max_value: usize) -> Vec<u8> {
    let mut world: CellSimulation = world(61, 4);
    world.settings.max_value = max_value;
    let accepted = AcceptedJob {
        waited_ms: 0,
        progress: Vec::new(),
        organisation: None,
        queue: queue("gates"),
        at: world.unix_ms(),
        job,
    };
    world.submit(&job_id(1), &accepted);
    world.store.state = Some(encode_cell(record));
    world.take_over();
    world.run(seconds(3.0));
    assert_no_violations(&world);
    world.store.state.expect("a state")
}

/// Returns the state beside a timed job of which `count` occurrences have finished.
fn state_after_occurrences(count: u32) -> Vec<u8> {
    let first_ms = world(61, 0).unix_ms() - u64::from(count) * PERIOD_MS + PERIOD_MS / 2;
    let job = Job {
        spec: "spec".into(),
        steps: vec![batch_step(8, 500, LONG_MS)],
        schedule: Some(Schedule {
            first_ms,
            period_ms: PERIOD_MS,
            count: count + OPEN,
        }),
    };
    let record = CellRecord {
        past: vec![(job_id(1), range(count))],
        ..CellRecord::default()
    };
    stored_state(job, &record, 1 << 20)
}

/// Returns the state beside a job of which `count` tasks have finished, in steps of the largest size.
fn state_after_tasks(count: u32, max_value: usize) -> Vec<u8> {
    let mut left = count;
    let mut finished = Vec::new();
    let mut steps = Vec::new();
    while left > 0 {
        let done = left.min(MAX_TASKS);
        finished.push(FinishedTasks {
            job: job_id(1),
            occurrence: 0,
            step: u16::try_from(steps.len()).expect("few steps"),
            indexes: range(done),
        });
        steps.push(batch_step(done, 500, LONG_MS));
        left -= done;
    }
    steps.push(batch_step(OPEN, 500, LONG_MS));
    let job = Job {
        spec: "spec".into(),
        steps,
        schedule: None,
    };
    let record = CellRecord {
        finished,
        ..CellRecord::default()
    };
    stored_state(job, &record, max_value)
}

fn range(count: u32) -> IndexRanges {
    IndexRanges::from_indexes((0..count).collect())
}

/// Guards against a state that grows with the finished occurrences of a timed job.
#[test]
fn state_is_flat_over_finished_occurrences() {
    for count in COUNTS {
        let state = state_after_occurrences(count);
        println!("{count} finished occurrences: {} B", state.len());
        let record = decode_cell(&state).expect("a record");
        let past: u32 = record.past.iter().map(|(_, past)| past.len()).sum();
        assert!(past >= count, "{past} of {count} occurrences");
        assert!(state.len() < BASE_SIZE + STEP_SIZE, "{} B", state.len());
    }
}

/// Guards against a state that grows with the finished tasks of a job beyond what the store accepts.
#[test]
fn state_is_bounded_over_finished_tasks() {
    for max_value in [12_000, 1 << 20] {
        for count in COUNTS {
            let state = state_after_tasks(count, max_value);
            let record = decode_cell(&state).expect("a record");
            let (listed, steps) = (record.tasks.len(), record.finished.len());
            println!(
                "{count} finished tasks, limit {max_value} B: {} B, {listed} listed, {steps} steps",
                state.len()
            );
            let ranges: u32 = record.finished.iter().map(|each| each.indexes.len()).sum();
            assert_eq!(listed + ranges as usize, count as usize);
            assert!(state.len() <= max_value);
            let bound = BASE_SIZE + steps * STEP_SIZE;
            assert!(listed > 0 || state.len() < bound, "{} B", state.len());
        }
    }
}

/// Guards against ranges that take more room than the tasks in them would if they were listed.
#[test]
fn scattered_tasks_take_less_room_as_ranges() {
    let indexes = (0..MAX_TASKS).step_by(2).collect();
    let finished = FinishedTasks {
        job: job_id(1),
        occurrence: 0,
        step: 0,
        indexes: IndexRanges::from_indexes(indexes),
    };
    let size = encode(&finished).len();
    println!("{} scattered tasks: {size} B", MAX_TASKS / 2);
    assert!(size < 8 * MAX_TASKS as usize / 2);
}

/// Guards against a state that grows with each failed run of a long-running task, which has no limit
/// of attempts.
#[test]
fn state_does_not_grow_with_failures_of_a_long_running_task() {
    let mut world = world(62, 3);
    for worker in world.workers.values_mut() {
        worker.failing = true;
    }
    world.take_over();
    world.run(seconds(1.0));
    let id = submit(&mut world, 1, vec![long_running_step(1)]);
    for _ in 0..2 {
        world.run(seconds(60.0));
        world.owners.last_mut().expect("an owner").up = false;
        world.take_over();
    }
    world.run(seconds(60.0));
    let failures = world.checker.failures(&task(&id, 0, 0));
    assert!(failures > 30, "{failures} failures");
    let state = world.store.state.as_ref().expect("a state");
    let record = decode_cell(state).expect("a record");
    let stored: Vec<usize> = record.tasks.iter().map(|each| each.failed.len()).collect();
    assert_eq!(stored, [1], "failed runs of {failures}");
    assert!(record.tasks[0].run >= failures, "the number of runs");
    assert_no_violations(&world);
}
