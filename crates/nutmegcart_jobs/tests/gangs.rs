//! Gangs: their members start together, with one checkpoint.

mod support;

use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_jobs::CellRecord;
use nutmegcart_jobs::FinalState;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobState;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::record::TaskProgress;
use nutmegcart_jobs::record::encode;
use nutmegcart_model::WorkerId;
use support::assert_no_violations;
use support::batch_step;
use support::completed;
use support::live_long_running_runs;
use support::seconds;
use support::submit;
use support::task;
use support::worker;

/// Number of tasks of the gang.
const SIZE: u32 = 4;
/// Duration of its work.
const WORK: Duration = Duration::from_secs(8);

/// Disturbs a gang that has been at work for 2.7 s.
type Disturbance = fn(&mut CellSimulation, &JobId);

fn gang_step() -> Step {
    Step {
        gang: true,
        checkpoints: true,
        per_worker: 1,
        ..batch_step(SIZE, 4_000, 8_000)
    }
}

/// Creates a simulated cell with one pool, whose machines stay there.
fn world(seed: u64, workers: usize) -> CellSimulation {
    let mut world = support::world(seed, workers);
    world.pools.truncate(1);
    world
}

fn host(world: &CellSimulation, job: &JobId, index: u32) -> WorkerId {
    let key = task(job, 0, index);
    let mut workers = world.workers.iter();
    let found = workers.find(|(_, worker)| worker.up && worker.runs.contains_key(&key));
    found.expect("the member runs").0.clone()
}

fn empty_worker(world: &mut CellSimulation, job: &JobId) {
    let id = host(world, job, 1);
    let worker = world.workers.get_mut(&id).expect("a known worker");
    worker.listing.draining = true;
    worker.listing.remaining = seconds(2.0);
    world.list_worker(&id);
    world.after(seconds(2.5), move |world| {
        world.crash(&id);
        world.unlist_worker(&id);
    });
}

fn crash_worker(world: &mut CellSimulation, job: &JobId) {
    let id = host(world, job, 2);
    world.crash(&id);
    world.after(seconds(1.0), move |world| world.restart(&id));
}

fn lose_worker(world: &mut CellSimulation, job: &JobId) {
    let id = host(world, job, 3);
    world.remove_for_good(&id, None);
}

fn fail(world: &mut CellSimulation, job: &JobId) {
    world.fail_member(&task(job, 0, 0));
}

fn change_owner(world: &mut CellSimulation, _: &JobId) {
    world.owners[0].up = false;
    world.after(seconds(0.5), |world| {
        world.take_over();
    });
}

/// Guards against members that are started again with different checkpoints, so that they wait for
/// each other until they give up, again and again.
fn gang_works_again((disturb, limit): (Disturbance, f64)) {
    let mut world = world(81, 8);
    world.take_over();
    world.run(seconds(1.0));
    let job = submit(&mut world, 1, vec![gang_step()]);
    world.run(seconds(2.7));
    disturb(&mut world, &job);
    world.run(seconds(limit - 2.7));
    assert_no_violations(&world);
    assert_eq!(world.alone, 0, "members that waited in vain");
    assert!(completed(&world, &job), "{:?}", world.stored_state(&job));
}

cases! { gang_works_again:
    undisturbed => (|_, _| {}, 8.5);
    worker_of_a_member_is_emptied => (empty_worker, 10.0);
    worker_of_a_member_crashes => (crash_worker, 10.5);
    worker_of_a_member_is_lost => (lose_worker, 16.0);
    member_fails => (fail, 10.0);
    owner_changes => (change_owner, 8.7);
}

/// Guards against a successor that takes over while the members end or start again, and gives them
/// different checkpoints.
#[test]
fn owner_changes_while_the_gang_ends() {
    for delay in (0..600).step_by(20) {
        let mut world = world(82, 8);
        world.take_over();
        world.run(seconds(1.0));
        let job = submit(&mut world, 1, vec![gang_step()]);
        world.run(seconds(2.7));
        empty_worker(&mut world, &job);
        world.run(Duration::from_millis(delay));
        world.owners[0].up = false;
        world.run(seconds(0.3));
        world.take_over();
        world.run(WORK + seconds(4.0));
        assert_no_violations(&world);
        assert_eq!(world.alone, 0, "taken over after {delay} ms");
        assert!(completed(&world, &job), "taken over after {delay} ms");
    }
}

/// Guards against a successor that lets the members wait for those that its predecessor has not
/// started.
#[test]
fn owner_changes_between_the_starts_of_two_members() {
    let mut world = world(83, SIZE as usize);
    world.take_over();
    world.run(seconds(1.0));
    world.owners[0].unreachable.extend([worker(2), worker(3)]);
    let job = submit(&mut world, 1, vec![gang_step()]);
    world.run(seconds(0.1));
    assert_eq!(world.checker.starts, 2);
    world.owners[0].up = false;
    world.run(seconds(0.3));
    world.take_over();
    world.run(WORK + seconds(1.0));
    assert_no_violations(&world);
    assert_eq!(world.alone, 0, "members that waited in vain");
    assert!(completed(&world, &job), "{:?}", world.stored_state(&job));
}

/// Guards against members that wait for one whose start order was lost until they give up.
#[test]
fn start_of_a_member_is_lost() {
    let mut world = world(84, 8);
    world.take_over();
    world.run(seconds(1.0));
    world.owners[0].unreachable.extend((0..3).map(worker));
    let job = submit(&mut world, 1, vec![gang_step()]);
    world.after(seconds(0.1), |world| world.owners[0].unreachable.clear());
    world.run(WORK + seconds(3.0));
    assert_no_violations(&world);
    assert_eq!(world.alone, 0, "members that waited in vain");
    assert!(completed(&world, &job), "{:?}", world.stored_state(&job));
}

/// Guards against a successor that finds different checkpoints in the state that an earlier version
/// stored.
#[test]
fn stored_checkpoints_differ() {
    let mut world = world(85, 8);
    let job = submit(&mut world, 1, vec![gang_step()]);
    let progress = |index: u32| TaskProgress {
        task: task(&job, 0, index),
        done: false,
        failed: Vec::new(),
        run: 3,
        checkpoint: (index != 1).then(|| format!("{}-{index}", 500 * index + 500).into()),
    };
    let record = CellRecord {
        tasks: (0..SIZE).map(progress).collect(),
        ..CellRecord::default()
    };
    world.store.state = Some(encode(&record));
    world.take_over();
    world.run(WORK + seconds(5.0));
    assert_no_violations(&world);
    assert_eq!(world.alone, 0, "members that waited in vain");
    assert!(completed(&world, &job), "{:?}", world.stored_state(&job));
}

/// Guards against a pool that gives away the workers that a gang needs to start again, and never
/// gets them back.
#[test]
fn gang_gets_workers_back_that_its_pool_has_given_away() {
    let mut world = support::world(86, 8);
    world.take_over();
    world.run(seconds(1.0));
    let job = submit(&mut world, 1, vec![gang_step()]);
    world.run(seconds(2.7));
    empty_worker(&mut world, &job);
    world.run(WORK + seconds(12.0));
    assert_no_violations(&world);
    assert!(completed(&world, &job), "{:?}", world.stored_state(&job));
}

/// Guards against members that wait in vain for one whose start order went to a worker that falls
/// silent, until they give up.
#[test]
fn worker_of_a_member_falls_silent_before_its_start() {
    let mut started = 0;
    for silent in 0..5 {
        let mut world = world(87, 5);
        world.take_over();
        world.run(seconds(1.0));
        world.owners[0].unreachable.insert(worker(silent));
        // A member may stand still for longer than it waits for the others.
        let step = Step {
            estimate_ms: 20_000,
            ..gang_step()
        };
        let job = submit(&mut world, 1, vec![step]);
        world.after(seconds(5.0), |world| world.owners[0].unreachable.clear());
        world.run(seconds(0.1));
        started += world.checker.starts;
        world.run(seconds(28.0));
        assert_no_violations(&world);
        assert_eq!(world.alone, 0, "members that waited in vain");
        assert!(completed(&world, &job), "{:?}", world.stored_state(&job));
    }
    // One of the workers gets no member.
    assert_eq!(started, 16);
}

/// Lets a different member of a gang fail in each of two runs, of which its queue allows two, with a
/// change of the owner between them if `changes` is true.
fn members_fail_in_turn(changes: bool) {
    let mut world = world(88, 8);
    world.take_over();
    world.run(seconds(1.0));
    let job = submit(&mut world, 1, vec![gang_step()]);
    world.run(seconds(2.7));
    fail(&mut world, &job);
    world.run(seconds(1.0));
    if changes {
        change_owner(&mut world, &job);
    }
    world.run(seconds(2.0));
    let starts = world.checker.starts;
    assert_eq!(starts, 2 * SIZE as usize);
    world.fail_member(&task(&job, 0, 1));
    world.run(WORK + seconds(5.0));
    assert_eq!(world.checker.starts, starts, "a third run");
    let state = Some(JobState::Ended(FinalState::Failed));
    assert_eq!(world.stored_state(&job), state);
    assert_no_violations(&world);
}

/// Guards against a gang that runs again and again because the attempts of each member are counted
/// alone.
#[test]
fn gang_uses_up_its_attempts() {
    members_fail_in_turn(false);
}

/// Guards against the same after a change of the owner.
#[test]
fn gang_uses_up_its_attempts_under_two_owners() {
    members_fail_in_turn(true);
}

/// Returns the state of a job of one gang, of whose members each has failed in the given runs
/// according to the stored state, and the number of its starts.
fn inherited_failures(failed: [Vec<u32>; SIZE as usize]) -> (Option<JobState>, usize) {
    let mut world = world(89, 8);
    let job = submit(&mut world, 1, vec![gang_step()]);
    let progress = |(index, failed): (u32, Vec<u32>)| TaskProgress {
        task: task(&job, 0, index),
        done: false,
        failed,
        run: 3,
        checkpoint: None,
    };
    let record = CellRecord {
        tasks: (0..SIZE).zip(failed).map(progress).collect(),
        ..CellRecord::default()
    };
    world.store.state = Some(encode(&record));
    world.take_over();
    world.run(WORK + seconds(5.0));
    assert_no_violations(&world);
    (world.stored_state(&job), world.checker.starts)
}

/// Guards against a run in which two members have failed that counts as two attempts, and against a
/// successor that starts a gang without attempts left.
#[test]
fn attempts_of_a_gang_are_runs() {
    let one_run = [vec![2], vec![2], Vec::new(), vec![2]];
    let done = Some(JobState::Ended(FinalState::Completed));
    assert_eq!(inherited_failures(one_run), (done, SIZE as usize));
    // An earlier version stored hashes of worker and run, here of two members in one run.
    let hashes = [vec![1 << 31 | 5], Vec::new(), vec![1 << 31 | 9], Vec::new()];
    assert_eq!(inherited_failures(hashes), (done, SIZE as usize));
    let two_runs = [vec![2], Vec::new(), vec![3], Vec::new()];
    let failed = Some(JobState::Ended(FinalState::Failed));
    assert_eq!(inherited_failures(two_runs), (failed, 0));
}

/// Guards against a sound gang that is stopped as stalled again and again, because the stalls of each
/// member are counted alone: the first percent of the one on the slow worker takes longer than its
/// estimate suggests.
#[test]
fn stalls_count_for_the_gang() {
    let mut world = world(90, SIZE as usize);
    for (index, fake) in world.workers.values_mut().enumerate() {
        fake.slowdown = if index == 0 { 250 } else { 100 };
    }
    world.take_over();
    world.run(seconds(1.0));
    let step = Step {
        checkpoints: false,
        estimate_ms: 1_000,
        ..gang_step()
    };
    let job = submit(&mut world, 1, vec![step]);
    world.run(seconds(30.0));
    let starts = world.checker.starts;
    world.run(seconds(100.0));
    assert_no_violations(&world);
    assert_eq!((starts, world.checker.starts), (3 * SIZE as usize, starts));
    assert!(completed(&world, &job), "{:?}", world.stored_state(&job));
}

/// Guards against a gang whose members take turns on a worker that hangs.
#[test]
fn gang_avoids_a_worker_that_hangs() {
    for hung in 0..SIZE as usize {
        let mut world = world(91, SIZE as usize + 1);
        let fake = world.workers.get_mut(&worker(hung)).expect("a worker");
        fake.hung = true;
        world.take_over();
        world.run(seconds(1.0));
        let step = Step {
            checkpoints: false,
            ..gang_step()
        };
        let job = submit(&mut world, 1, vec![step]);
        world.run(WORK + seconds(4.0));
        assert_no_violations(&world);
        assert_eq!(world.checker.starts, 2 * SIZE as usize);
        assert!(completed(&world, &job), "{:?}", world.stored_state(&job));
    }
}

/// Guards against a long-running gang that never starts again in a pool that is full of shorter
/// tasks, because what becomes free there goes to them one by one.
fn gang_gets_room((size, cpu, per_worker): (u32, u64, u32)) {
    let mut world = world(92, 7);
    let owner = world.take_over();
    world.run(seconds(1.0));
    let step = Step {
        long_running: true,
        checkpoints: false,
        per_worker,
        ..batch_step(size, cpu, 900)
    };
    let gang = Step { gang: true, ..step };
    submit(&mut world, 1, vec![gang]);
    world.run(seconds(1.0));
    for number in 2..200 {
        let length = if number % 2 == 0 { 1_500 } else { 2_500 };
        submit(&mut world, number, vec![batch_step(8, 8_000, length)]);
    }
    world.run(seconds(5.0));
    assert_eq!(live_long_running_runs(&world), size as usize);
    assert!(world.owners[owner].scheduler.waiting_total() > 0);
    let job = support::job_id(1);
    let id = host(&world, &job, 0);
    world.remove_for_good(&id, None);
    // A long-running task may wait for 6 s after its last run, and for 3 s with free capacity.
    world.run(seconds(9.0));
    assert!(world.owners[owner].scheduler.waiting_total() > 0);
    assert_eq!(live_long_running_runs(&world), size as usize);
    assert_no_violations(&world);
}

cases! { gang_gets_room:
    /// Each member needs most of a worker.
    of_two_large_members => (2, 56_000, 1);
    of_one_member_on_each_worker => (6, 30_000, 1);
    /// Several members share a worker.
    of_members_without_a_limit => (8, 30_000, 0);
}
