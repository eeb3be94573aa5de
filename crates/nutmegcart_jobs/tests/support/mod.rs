//! Simulated cells and assertions for the tests of this crate.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod overload;

use std::sync::Arc;
use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fakes::cell::worker::FakeWorker;
use nutmegcart_fakes::cell::worker::listing;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::AcceptedJob;
use nutmegcart_jobs::FinalState;
use nutmegcart_jobs::Job;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobState;
use nutmegcart_jobs::Machine;
use nutmegcart_jobs::MachineState;
use nutmegcart_jobs::PoolConfig;
use nutmegcart_jobs::Queue;
use nutmegcart_jobs::QueueKey;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::TaskKey;
use nutmegcart_model::OrganisationName;
use nutmegcart_model::WorkerId;

/// Defines a named test for each argument of a test function.
#[macro_export]
macro_rules! cases {
    ($test:ident: $($(#[$doc:meta])* $name:ident => $argument:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $test($argument); })*
    };
}

pub fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

pub fn queue(pool: &str) -> Queue {
    Queue {
        key: QueueKey {
            host: "counts.example".into(),
            prefix: format!("/{pool}/").into(),
        },
        pool: pool.into(),
        priority: 0,
        attempts: 2,
        stretch: 1.6,
        target_ms: 600,
        ticket_timing: None,
    }
}

/// Creates a simulated cell with a spare pool, and one pool of `workers` workers with 64 cores
/// each.
pub fn world(seed: u64, workers: usize) -> CellSimulation {
    let mut world = CellSimulation::new(seed);
    world.queues = vec![queue("gates")];
    world.pools = vec![
        ("gates".into(), PoolConfig { spare: false }),
        ("shared".into(), PoolConfig { spare: true }),
    ];
    for index in 0..workers {
        let rack = format!("r1-{}", index / 4);
        let size = Resources::new(64_000, 262_144, 0);
        world.add_worker(FakeWorker::new(
            listing(&worker_name(index), "gates", &rack, size),
            world.now,
        ));
    }
    world
}

/// Adds a machine without a worker, and with the label, to a pool.
pub fn add_machine(world: &mut CellSimulation, name: &str, pool: &str, label: &str) {
    let name: Arc<str> = name.into();
    let machine = Machine {
        name: name.clone(),
        pool: pool.into(),
        state: MachineState::Up,
        worker: None,
        capacity: Resources::new(64_000, 262_144, 0),
        labels: vec![label.into(), "r3-0".into()],
    };
    world.machines.insert(name, machine);
}

/// Adds machines to the spare pool.
pub fn add_spares(world: &mut CellSimulation, count: usize) {
    for index in 0..count {
        add_machine(world, &format!("spare-{index}"), "shared", "a");
    }
}

pub fn worker_name(index: usize) -> String {
    format!("i-{index:02}")
}

pub fn worker(index: usize) -> WorkerId {
    WorkerId::from(worker_name(index))
}

pub fn job_id(number: usize) -> JobId {
    JobId::parse(&format!("{number:016x}")).expect("sixteen digits")
}

pub fn batch_step(count: u32, cpu: u64, estimate_ms: u64) -> Step {
    Step {
        count,
        need: Resources::new(cpu, 4_000, 0),
        estimate_ms,
        ..Step::default()
    }
}

pub fn long_running_step(count: u32) -> Step {
    Step {
        count,
        need: Resources::new(5_000, 8_000, 0),
        estimate_ms: 900,
        long_running: true,
        per_worker: 1,
        max_unavailable: Some(1),
        ..Step::default()
    }
}

pub fn submit(world: &mut CellSimulation, number: usize, steps: Vec<Step>) -> JobId {
    submit_to(world, 0, number, steps)
}

/// Submits a job to the queue with the given index.
pub fn submit_to(
    world: &mut CellSimulation,
    queue: usize,
    number: usize,
    steps: Vec<Step>,
) -> JobId {
    submit_as(world, None, queue, number, steps)
}

/// Submits a job of an organisation to the queue with the given index.
pub fn submit_as(
    world: &mut CellSimulation,
    organisation: Option<OrganisationName>,
    queue: usize,
    number: usize,
    steps: Vec<Step>,
) -> JobId {
    let id = job_id(number);
    let accepted = AcceptedJob {
        waited_ms: 0,
        progress: Vec::new(),
        organisation,
        queue: world.queues[queue].clone(),
        at: world.unix_ms(),
        job: Job {
            spec: "spec".into(),
            steps,
            schedule: None,
        },
    };
    world.submit(&id, &accepted);
    id
}

pub fn completed(world: &CellSimulation, id: &JobId) -> bool {
    world.stored_state(id) == Some(JobState::Ended(FinalState::Completed))
}

pub fn task(id: &JobId, step: u16, index: u32) -> TaskKey {
    TaskKey {
        job: id.clone(),
        occurrence: 0,
        step,
        index,
    }
}

/// Panics if the store does not contain all jobs as completed, and lists the others.
pub fn assert_all_completed(world: &CellSimulation, jobs: &[JobId]) {
    let open: Vec<String> = jobs
        .iter()
        .filter(|id| !completed(world, id))
        .map(|id| {
            let owner = world.owners.last().expect("a cell has an owner");
            let live = owner.scheduler.jobs().find(|job| job.id == *id);
            let state = live.map(nutmegcart_jobs::LiveJob::state);
            let runs: Vec<String> = owner
                .scheduler
                .workers()
                .flat_map(|worker| {
                    worker
                        .runs
                        .iter()
                        .map(move |(task, run)| (worker, task, run))
                })
                .filter(|(_, task, _)| task.job == *id)
                .map(|(worker, task, run)| {
                    let (id, failing) = (&worker.listing.id, worker.unreachable_since);
                    format!("{task} on {id} (failing {failing:?}): {run:?}")
                })
                .collect();
            format!(
                "{id}: stored {:?}, shown {state:?}, runs {runs:#?}",
                world.stored_state(id)
            )
        })
        .collect();
    assert!(open.is_empty(), "{}", open.join("\n"));
}

/// Panics with the violations that the checker has found.
pub fn assert_no_violations(world: &CellSimulation) {
    assert!(
        world.checker.violations.is_empty(),
        "{}",
        world.checker.violations.join("\n")
    );
}

/// Returns the first worker with a live run.
pub fn first_busy_worker(world: &CellSimulation) -> WorkerId {
    let workers = world.workers.iter();
    let mut busy = workers.filter(|(_, worker)| !worker.runs.is_empty());
    busy.next().expect("a worker runs a task").0.clone()
}

pub fn live_long_running_runs(world: &CellSimulation) -> usize {
    let runs = world
        .workers
        .values()
        .filter(|worker| worker.up)
        .flat_map(|worker| worker.runs.values());
    runs.filter(|run| run.long_running).count()
}
