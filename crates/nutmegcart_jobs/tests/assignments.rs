//! Workers of long-running tasks, which are stored before the tasks are started.

mod support;

use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_jobs::CellRecord;
use nutmegcart_jobs::FlushOutcome;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::WaitReason;
use nutmegcart_jobs::record::decode_cell;
use nutmegcart_jobs::record::encode;
use nutmegcart_jobs::record::encode_cell;
use nutmegcart_model::WorkerId;
use support::assert_no_violations;
use support::batch_step;
use support::completed;
use support::first_busy_worker;
use support::live_long_running_runs;
use support::long_running_step;
use support::seconds;
use support::submit;
use support::task;
use support::worker;
use support::world;

/// Time within which a successor starts a task that nothing holds back.
const START_TIME: Duration = Duration::from_millis(500);
/// Time after which a silent worker still blocks, if no earlier owner can be asked.
const BLOCKED_TIME: Duration = Duration::from_secs(10);
/// Time after which a silent worker does not block any more.
const BLOCK_END: Duration = Duration::from_secs(12);

/// Returns a cell without a spare pool whose owner knows its workers.
fn cell(seed: u64, workers: usize) -> CellSimulation {
    let mut world = world(seed, workers);
    world.pools.truncate(1);
    world.take_over();
    world.run(seconds(1.0));
    world
}

/// Ends the latest owner, which its successor cannot ask, and takes over without some workers.
fn replace_owner(world: &mut CellSimulation, silent: &[WorkerId]) {
    let latest = world.owners.len() - 1;
    world.owners[latest].up = false;
    world.take_over_partitioned(silent.iter().cloned());
}

fn stored_record(world: &CellSimulation) -> CellRecord {
    let state = world.store.state.as_ref().expect("the state is stored");
    decode_cell(state).expect("the stored state decodes")
}

/// Panics unless one long-running task waits, for this worker alone.
fn assert_blocked_by(world: &CellSimulation, host: &WorkerId) {
    let reasons = reasons(world);
    assert!(
        matches!(&reasons[..], [WaitReason::Blocked { worker, workers: 1, .. }] if worker == host),
        "{reasons:?}"
    );
}

fn reasons(world: &CellSimulation) -> Vec<WaitReason> {
    let owner = world.owners.last().expect("the cell has an owner");
    let pools = owner.scheduler.waiting_long_running(world.now);
    let tasks = pools.into_iter().flat_map(|pool| pool.tasks);
    tasks.map(|task| task.reason).collect()
}

/// Returns the workers with a run, and those without.
fn split_workers(world: &CellSimulation) -> (Vec<WorkerId>, Vec<WorkerId>) {
    let ids = world.workers.keys().cloned();
    ids.partition(|id| !world.workers[id].runs.is_empty())
}

/// Guards against a second run of a task whose owner is lost at any time between its acceptance and
/// the first report of its run, while any one worker does not answer the successor.
#[test]
fn owner_lost_around_a_start_causes_no_second_run() {
    let mut blocked = 0;
    for lost_after in 0..40 {
        for silent in 0..3 {
            let mut world = cell(21, 3);
            submit(&mut world, 1, vec![long_running_step(1)]);
            world.run(Duration::from_millis(lost_after));
            replace_owner(&mut world, &[worker(silent)]);
            world.run(START_TIME);
            blocked += usize::from(!reasons(&world).is_empty());
            world.run(BLOCK_END);
            assert_no_violations(&world);
            assert_eq!(
                live_long_running_runs(&world),
                1,
                "lost after {lost_after} ms"
            );
        }
    }
    // From the time at which its assignment is stored, one of the three workers blocks it.
    assert!(
        (10..40).contains(&blocked),
        "blocked {blocked} times of 120"
    );
}

/// Guards against a start that no successor would learn of.
#[test]
fn every_run_is_in_the_stored_state() {
    let mut world = cell(22, 6);
    for number in 1..5 {
        submit(&mut world, number, vec![long_running_step(3)]);
    }
    for _ in 0..300 {
        world.run(Duration::from_millis(1));
        let record = stored_record(&world);
        for (id, state) in &world.workers {
            let stored = record.assigned_to(id).unwrap_or_default();
            let unstored = state.runs.keys().find(|task| !stored.contains(task));
            assert_eq!(unstored, None, "on {id}");
        }
    }
    assert_eq!(live_long_running_runs(&world), 12);
}

/// Guards against a second run of a task on a worker that is cut off from the successor.
#[test]
fn silent_worker_that_holds_a_task_blocks_it() {
    let mut world = cell(23, 4);
    submit(&mut world, 1, vec![long_running_step(1)]);
    world.run(seconds(1.0));
    let host = first_busy_worker(&world);
    replace_owner(&mut world, std::slice::from_ref(&host));
    world.run(BLOCKED_TIME);
    assert_eq!(world.checker.starts, 1);
    assert_blocked_by(&world, &host);
    world.run(BLOCK_END.saturating_sub(BLOCKED_TIME));
    assert_eq!(world.checker.starts, 2);
    assert_no_violations(&world);
}

/// Guards against a successor that relies on a record whose writer did not store where it started
/// tasks, or that an owner which came later did not write.
fn incomplete_record_blocks_every_task(spoil: fn(&mut CellSimulation)) {
    let mut world = cell(24, 4);
    submit(&mut world, 1, vec![long_running_step(2)]);
    world.run(seconds(1.0));
    let (busy, idle) = split_workers(&world);
    world.remove_for_good(&busy[0], None);
    spoil(&mut world);
    replace_owner(&mut world, &idle[..1]);
    world.run(BLOCKED_TIME);
    assert_eq!(live_long_running_runs(&world), 1);
    assert_eq!(reasons(&world).len(), 1);
    let record = stored_record(&world);
    assert_eq!(record.assigned_to(&idle[0]), None);
    assert!(
        record
            .assigned_to(&busy[1])
            .is_some_and(|tasks| tasks.len() == 1)
    );
    // What the successor does not know it passes on as not known.
    replace_owner(&mut world, &idle[..1]);
    world.run(BLOCKED_TIME);
    assert_eq!(live_long_running_runs(&world), 1);
    world.run(BLOCK_END.saturating_sub(BLOCKED_TIME));
    assert_eq!(live_long_running_runs(&world), 2);
    assert_no_violations(&world);
}

cases! { incomplete_record_blocks_every_task:
    record_without_assignments_blocks_every_task => |world| {
        let record = stored_record(world);
        world.store.state = Some(encode(&record));
    };
    record_of_an_owner_before_the_latest_blocks_every_task => |world| {
        let mut record = stored_record(world);
        record.fence -= 1;
        world.store.state = Some(encode_cell(&record));
    };
}

/// Guards against a second successor that does not know of a worker which its predecessor never
/// reached, or that waits for one which holds nothing.
#[test]
fn second_successor_waits_for_the_same_workers() {
    let mut world = cell(25, 6);
    submit(&mut world, 1, vec![long_running_step(3)]);
    world.run(seconds(1.0));
    let (busy, idle) = split_workers(&world);
    let silent = [busy[0].clone(), idle[0].clone()];
    replace_owner(&mut world, &silent);
    world.run(seconds(1.0));
    world.remove_for_good(&busy[1], None);
    replace_owner(&mut world, &silent);
    world.run(seconds(4.0));
    // The task of the removed worker runs again, and that of the silent one waits; its first run
    // lives until its lease ends.
    assert_eq!(world.checker.starts, 4);
    assert_blocked_by(&world, &busy[0]);
    world.run(BLOCK_END);
    assert_eq!(live_long_running_runs(&world), 3);
    assert_no_violations(&world);
}

/// Guards against a task that waits for a worker on which nothing runs, and against a second run,
/// after an owner that was lost before it stored anything: at once, or after a time in which it
/// reached no store.
#[test]
fn successor_of_an_owner_that_stored_nothing_waits_for_the_same_workers() {
    for lived in [0.0, 0.002, 0.3] {
        let mut world = cell(32, 6);
        submit(&mut world, 1, vec![long_running_step(3)]);
        world.run(seconds(1.0));
        let (busy, idle) = split_workers(&world);
        let silent = [busy[0].clone(), idle[0].clone()];
        replace_owner(&mut world, &silent);
        let lost = world.owners.len() - 1;
        world.owners[lost].reaches_store = false;
        world.run(seconds(lived));
        assert_ne!(stored_record(&world).fence, world.store.owner);
        world.remove_for_good(&busy[1], None);
        replace_owner(&mut world, &silent);
        // The first run of the task lives until its lease ends.
        world.run(seconds(4.0));
        assert_eq!(world.checker.starts, 4, "lost after {lived} s");
        assert_blocked_by(&world, &busy[0]);
        world.run(BLOCK_END);
        assert_eq!(live_long_running_runs(&world), 3);
        assert_no_violations(&world);
    }
}

/// Guards against a second run of a task whose owner is lost around its start, if the next owner is
/// lost at any time around its first transaction.
#[test]
fn owners_lost_in_a_row_cause_no_second_run() {
    for lost_after in 0..20 {
        for (next_lost_after, silent) in (0..12).zip((0..3).cycle()) {
            let mut world = cell(33, 3);
            submit(&mut world, 1, vec![long_running_step(1)]);
            world.run(Duration::from_millis(lost_after));
            replace_owner(&mut world, &[worker(0)]);
            world.run(Duration::from_millis(next_lost_after));
            replace_owner(&mut world, &[worker(silent)]);
            world.run(BLOCK_END);
            assert_no_violations(&world);
            assert_eq!(live_long_running_runs(&world), 1);
        }
    }
}

/// Guards against a start without a stored assignment while the store does not answer, and against
/// other tasks that wait with it or use its room.
#[test]
fn task_waits_for_the_store_beside_others() {
    let mut world = cell(26, 1);
    let batch = submit(&mut world, 1, vec![batch_step(1, 1_000, 300)]);
    let large = Step {
        need: nutmegcart_fleet::Resources::new(40_000, 8_000, 0),
        ..long_running_step(1)
    };
    let id = submit(&mut world, 2, vec![large]);
    let other = submit(&mut world, 3, vec![batch_step(1, 40_000, 300)]);
    world.store.down = true;
    world.run(seconds(0.4));
    assert_eq!(reasons(&world), [WaitReason::Unstored(worker(0))]);
    let runs = &world.workers[&worker(0)].runs;
    let running = |id: &nutmegcart_jobs::JobId| runs.contains_key(&task(id, 0, 0));
    assert!(!running(&id), "the assignment is not stored");
    assert!(!running(&other), "its room is set aside");
    assert_eq!(world.checker.starts, 1, "the small task has started");
    world.store.down = false;
    world.run(seconds(1.0));
    assert_eq!(live_long_running_runs(&world), 1);
    assert!(completed(&world, &batch));
    world.cancel(&id);
    world.run(seconds(1.0));
    assert!(completed(&world, &other));
    assert_no_violations(&world);
}

/// Guards against room that stays set aside for a cancelled job.
#[test]
fn cancelled_job_frees_its_reserved_room() {
    let mut world = cell(27, 1);
    world.store.down = true;
    let large = Step {
        need: nutmegcart_fleet::Resources::new(60_000, 8_000, 0),
        ..long_running_step(1)
    };
    let id = submit(&mut world, 1, vec![large]);
    world.run(seconds(0.1));
    assert_eq!(reasons(&world), [WaitReason::Unstored(worker(0))]);
    world.cancel(&id);
    submit(&mut world, 2, vec![batch_step(1, 60_000, 300)]);
    world.run(seconds(0.1));
    assert_eq!(world.checker.starts, 1);
}

/// Guards against a reservation that outlives its worker.
#[test]
fn reservation_moves_from_a_worker_that_leaves() {
    let mut world = cell(28, 2);
    world.store.down = true;
    submit(&mut world, 1, vec![long_running_step(1)]);
    world.run(seconds(0.1));
    let [WaitReason::Unstored(first)] = &reasons(&world)[..] else {
        panic!("the task waits for the store");
    };
    let state = world.workers.get_mut(first).expect("the worker exists");
    state.listing.draining = true;
    world.list_worker(first);
    world.run(seconds(0.1));
    let other = usize::from(*first == worker(0));
    assert_eq!(reasons(&world), [WaitReason::Unstored(worker(other))]);
    world.store.down = false;
    world.run(seconds(1.0));
    assert_eq!(first_busy_worker(&world), worker(other));
    assert_no_violations(&world);
}

/// Guards against tasks that reserve the same room, and against a transaction for each of them.
#[test]
fn tasks_of_a_pass_share_a_transaction() {
    let mut world = cell(29, 6);
    let before = world.store.revision;
    submit(&mut world, 1, vec![long_running_step(6)]);
    let second = Step {
        per_worker: 2,
        need: nutmegcart_fleet::Resources::new(29_000, 8_000, 0),
        ..long_running_step(12)
    };
    submit(&mut world, 2, vec![second]);
    world.run(seconds(1.0));
    assert_eq!(live_long_running_runs(&world), 18);
    // Two submissions, and one transaction for the tasks of both.
    assert!(
        world.store.revision <= before + 4,
        "{}",
        world.store.revision - before
    );
    assert_no_violations(&world);
}

/// Guards against ordinary tasks and gangs, whose starts are not stored, that start beside a silent
/// worker of their pool, and against a long-running task that waits with them.
#[test]
fn only_assigned_steps_start_beside_a_silent_worker() {
    let mut world = cell(30, 4);
    let gang = Step {
        gang: true,
        ..long_running_step(2)
    };
    let steps = vec![long_running_step(1), batch_step(1, 4_000, 300), gang];
    let latest = world.owners.len() - 1;
    world.owners[latest].up = false;
    let id = submit(&mut world, 1, steps);
    world.run(seconds(0.1));
    world.take_over_partitioned([worker(3)]);
    world.run(START_TIME);
    let runs = world.workers.values().flat_map(|worker| worker.runs.keys());
    assert_eq!(runs.collect::<Vec<_>>(), [&task(&id, 0, 0)]);
    let blocked = reasons(&world);
    let blocked = blocked.iter().filter(
        |reason| matches!(reason, WaitReason::Blocked { worker: id, .. } if *id == worker(3)),
    );
    assert_eq!(blocked.count(), 2);
    world.run(BLOCK_END);
    assert_eq!(live_long_running_runs(&world), 3);
    assert_eq!(world.checker.completed, 1);
    assert_no_violations(&world);
}

/// Guards against an owner that stores the state of its cell again and again for a reservation on a
/// worker that is gone, until a pass chooses another one; a pass waits while the view is late.
#[test]
fn reservation_on_a_removed_worker_is_not_stored_for_ever() {
    let mut world = cell(31, 3);
    submit(&mut world, 1, vec![long_running_step(1)]);
    let host = loop {
        world.run(Duration::from_millis(1));
        if let [WaitReason::Unstored(host)] = &reasons(&world)[..] {
            break host.clone();
        }
        assert_eq!(live_long_running_runs(&world), 0, "it was never reserved");
    };
    let now = world.now;
    let scheduler = &mut world.owners.last_mut().expect("an owner").scheduler;
    scheduler.handle_flush_outcome(&FlushOutcome::NotStored, now);
    scheduler.end_incarnation(&host, now);
    let mut writes = 0;
    while writes < 10 && scheduler.next_flush(now).is_some() {
        scheduler.handle_flush_outcome(&FlushOutcome::Stored, now);
        writes += 1;
    }
    assert_eq!(writes, 1);
}
