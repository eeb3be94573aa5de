//! Configurations in quick succession that move a queue between pools, together with a change of
//! the owner.

mod support;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fakes::cell::worker::FakeWorker;
use nutmegcart_fakes::cell::worker::listing;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::CellRecord;
use nutmegcart_jobs::PoolConfig;
use nutmegcart_jobs::Queue;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::WaitReason;
use nutmegcart_jobs::record::decode;
use nutmegcart_jobs::record::decode_cell;
use nutmegcart_jobs::record::encode;
use nutmegcart_jobs::record::encode_cell;
use support::assert_no_violations;
use support::batch_step;
use support::long_running_step;
use support::queue;
use support::seconds;
use support::submit;
use support::worker;
use support::world;

const FIRST: &str = "gates";
const SECOND: &str = "boats";

fn add_worker(world: &mut CellSimulation, index: usize, pool: &str) {
    let size = Resources::new(64_000, 262_144, 0);
    let name = support::worker_name(index);
    world.add_worker(FakeWorker::new(
        listing(&name, pool, &format!("r1-{index}"), size),
        world.now,
    ));
}

/// Creates a cell with two pools and no spare one, whose first owner has the given pool for the
/// queue.
fn two_pools(seed: u64, pool: &str) -> CellSimulation {
    let mut world = world(seed, 0);
    world.pools = [FIRST, SECOND]
        .map(|pool| (pool.into(), PoolConfig { spare: false }))
        .to_vec();
    world.queues[0].pool = pool.into();
    world.take_over();
    world.run(seconds(1.0));
    world
}

/// Applies a configuration with the queue in the given pool, or without the queue.
fn configure(world: &mut CellSimulation, pool: Option<&str>) {
    let queue = pool.map(|pool| Queue {
        pool: pool.into(),
        ..queue(FIRST)
    });
    world.queues = queue.into_iter().collect();
    let owner = world.owners.last_mut().expect("the cell has an owner");
    owner.scheduler.configure(&world.queues, &world.pools);
}

/// Lets another owner take over that does not reach the worker on which the job runs, and checks
/// that the job is not started elsewhere before that run has ended, and that it is afterwards.
fn change_owner(world: &mut CellSimulation, host: usize) {
    let runs = world.workers[&worker(host)].runs.len();
    assert_eq!(runs, 1, "the job runs");
    world.owners.last_mut().expect("an owner").up = false;
    world.take_over_partitioned([worker(host)]);
    world.run(seconds(4.0));
    assert_no_violations(world);
    assert_eq!(world.checker.starts, 1, "nothing may start twice");
    world.run(seconds(12.0));
    assert_no_violations(world);
    assert_eq!(world.checker.starts, 2, "the task starts again");
}

/// Guards against a second run after the queue was moved to another pool and back while the job
/// was started in that pool.
fn moved_and_back(step: Step) {
    let mut world = two_pools(51, FIRST);
    add_worker(&mut world, 1, SECOND);
    world.run(seconds(1.0));
    submit(&mut world, 1, vec![step]);
    world.run(seconds(0.5));
    assert_eq!(world.checker.starts, 0, "its pool has no worker");
    configure(&mut world, Some(SECOND));
    world.run(seconds(1.0));
    configure(&mut world, Some(FIRST));
    add_worker(&mut world, 0, FIRST);
    world.run(seconds(1.0));
    change_owner(&mut world, 1);
}

/// Guards against a second run of a job that was accepted by an instance with a newer configuration
/// than the owner's.
fn accepted_by_a_newer_configuration(step: Step) {
    let mut world = two_pools(52, FIRST);
    add_worker(&mut world, 0, FIRST);
    world.run(seconds(1.0));
    // The accepting instance has read the configuration that moves the queue, the owner has not.
    world.queues[0].pool = SECOND.into();
    submit(&mut world, 1, vec![step]);
    world.run(seconds(1.0));
    configure(&mut world, Some(SECOND));
    add_worker(&mut world, 1, SECOND);
    world.run(seconds(1.0));
    change_owner(&mut world, 0);
}

/// Guards against a second run after the queue was moved to another pool, and then removed.
fn moved_and_removed(step: Step) {
    let mut world = two_pools(53, FIRST);
    add_worker(&mut world, 1, SECOND);
    world.run(seconds(1.0));
    submit(&mut world, 1, vec![step]);
    configure(&mut world, Some(SECOND));
    world.run(seconds(1.0));
    configure(&mut world, None);
    add_worker(&mut world, 0, FIRST);
    world.run(seconds(1.0));
    change_owner(&mut world, 1);
}

/// Guards against a second run after two changes of the owner.
fn moved_back_before_two_owners(step: Step) {
    let mut world = two_pools(54, FIRST);
    add_worker(&mut world, 1, SECOND);
    world.run(seconds(1.0));
    submit(&mut world, 1, vec![step]);
    configure(&mut world, Some(SECOND));
    world.run(seconds(1.0));
    configure(&mut world, Some(FIRST));
    world.run(seconds(0.5));
    world.owners.last_mut().expect("an owner").up = false;
    world.take_over();
    world.run(seconds(1.0));
    add_worker(&mut world, 0, FIRST);
    world.run(seconds(1.0));
    change_owner(&mut world, 1);
}

macro_rules! both_kinds {
    ($test:ident: $batch:ident, $long_running:ident) => {
        cases! { $test:
            $batch => batch_step(1, 4_000, 30_000);
            $long_running => long_running_step(1);
        }
    };
}

both_kinds! { moved_and_back:
    batch_job_of_a_queue_moved_and_back_runs_once,
    long_running_job_of_a_queue_moved_and_back_runs_once
}
both_kinds! { accepted_by_a_newer_configuration:
    batch_job_of_a_newer_configuration_runs_once,
    long_running_job_of_a_newer_configuration_runs_once
}
both_kinds! { moved_and_removed:
    batch_job_of_a_moved_and_removed_queue_runs_once,
    long_running_job_of_a_moved_and_removed_queue_runs_once
}
both_kinds! { moved_back_before_two_owners:
    batch_job_of_a_moved_queue_runs_once_under_three_owners,
    long_running_job_of_a_moved_queue_runs_once_under_three_owners
}

fn stored_queues(world: &CellSimulation) -> usize {
    let state = world.store.state.as_ref().expect("the state is stored");
    let record = decode_cell(state).expect("a record");
    record.moved_queues.len()
}

/// Guards against an owner that dies between a start in another pool and the write that tells its
/// successor about that pool, and against a stored state that names moved queues for ever.
#[test]
fn job_starts_in_another_pool_once_the_store_tells_the_move() {
    let mut world = two_pools(55, FIRST);
    add_worker(&mut world, 1, SECOND);
    world.run(seconds(1.0));
    let id = submit(&mut world, 1, vec![long_running_step(1)]);
    world.run(seconds(0.5));
    world.store.down = true;
    configure(&mut world, Some(SECOND));
    world.run(seconds(1.0));
    assert_eq!(world.checker.starts, 0);
    let owner = world.owners.last().expect("an owner");
    let pools = owner.scheduler.waiting_long_running(world.now);
    assert_eq!(pools[0].tasks[0].reason, WaitReason::UnstoredMove);
    world.store.down = false;
    world.run(seconds(0.5));
    assert_eq!(world.checker.starts, 1);
    assert_eq!(stored_queues(&world), 1);
    world.cancel(&id);
    world.run(seconds(1.0));
    assert_eq!(stored_queues(&world), 0);
    assert_no_violations(&world);
}

/// Guards against records that versions before the list of moved queues cannot read. An owner of such
/// a version would know no worker, and start inherited tasks again at once.
#[test]
fn records_are_readable_without_moved_queues() {
    let record = CellRecord {
        ordered_machines: vec!["r1-0".into()],
        ..CellRecord::default()
    };
    let fields = (
        record.workers.clone(),
        record.tasks.clone(),
        record.maintained.clone(),
        record.ordered_machines.clone(),
    );
    assert_eq!(encode(&record), encode(&fields));
    assert_eq!(decode_cell(&encode(&fields)), Ok(record.clone()));
    let moved = CellRecord {
        moved_queues: vec![queue(FIRST).key],
        ..record.clone()
    };
    for record in [record, moved] {
        let bytes = encode_cell(&record);
        let read = decode(&bytes);
        assert_eq!(read.as_ref(), Ok(&fields));
        assert_eq!(decode_cell(&bytes), Ok(record));
    }
}
