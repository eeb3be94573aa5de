//! Simulation of one cell in virtual time: its workers run jobs while the owner of the cell fails
//! and machines are maintained.

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
use nutmegcart_jobs::PoolConfig;
use nutmegcart_jobs::Queue;
use nutmegcart_jobs::QueueKey;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::WaveRequest;
use serde::Serialize;

/// Pools, each with one queue; in every turn, all jobs go to the queue of the next pool.
const POOLS: [&str; 4] = ["gates", "reef", "market", "ferry"];
const WORKERS_PER_POOL: usize = 6;
const TURN_COUNT: usize = 8;
const JOBS_PER_TURN: usize = 30;
const TURN_DURATION: Duration = Duration::from_millis(1_500);

/// Outcome of the jobs, as recorded by the workers and the store.
#[derive(Clone, Debug, Default, Serialize)]
pub struct JobsReport {
    /// Jobs submitted.
    pub jobs: usize,
    /// Jobs that are stored as completed.
    pub jobs_completed: usize,
    /// Task runs started by workers.
    pub task_starts: usize,
    /// Machines moved to another pool or maintained.
    pub machine_orders: usize,
    /// Tasks that ran twice at the same time or after their end, or that were never submitted.
    pub job_violations: usize,
}

fn build_queue(pool: &str) -> Queue {
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

/// Builds a cell with the workers and the queues of all pools and an empty spare pool.
fn build_cell(seed: u64) -> CellSimulation {
    let mut cell = CellSimulation::new(seed);
    cell.duration_spread = 1.5;
    cell.queues = POOLS.map(build_queue).to_vec();
    cell.pools = POOLS
        .iter()
        .map(|pool| ((*pool).into(), PoolConfig { spare: false }))
        .chain([("shared".into(), PoolConfig { spare: true })])
        .collect();
    for (pool_index, pool) in POOLS.iter().enumerate() {
        for number in 0..WORKERS_PER_POOL {
            let id = format!("{pool}-{number}");
            let rack = format!("r1-{}", pool_index * WORKERS_PER_POOL + number / 4);
            let size = Resources::new(64_000, 262_144, 0);
            let entry = listing(&id, pool, &rack, size);
            cell.add_worker(FakeWorker::new(entry, cell.now));
        }
    }
    cell
}

/// Submits a job of two steps to a queue, given by its index, and returns its identifier.
fn submit(cell: &mut CellSimulation, number: usize, queue_index: usize) -> Option<JobId> {
    let id = JobId::parse(&format!("{number:016x}")).ok()?;
    let step = |after| Step {
        count: 6,
        need: Resources::new(3_500, 4_000, 0),
        estimate_ms: 640,
        after,
        ..Step::default()
    };
    let accepted = AcceptedJob {
        waited_ms: 0,
        progress: Vec::new(),
        organisation: None,
        queue: cell.queues[queue_index].clone(),
        at: cell.unix_ms(),
        job: Job {
            spec: "tally".into(),
            steps: vec![step(Vec::new()), step(vec![0])],
            schedule: None,
        },
    };
    cell.submit(&id, &accepted);
    Some(id)
}

/// Simulates the cell and reports the outcome of its jobs.
pub fn simulate(seed: u64) -> JobsReport {
    let mut cell = build_cell(seed);
    let mut owner = cell.take_over();
    cell.run(Duration::from_secs(3));
    let mut jobs = Vec::new();
    for turn in 0..TURN_COUNT {
        if turn == TURN_COUNT / 2 {
            cell.owners[owner].up = false;
            cell.run(Duration::from_millis(1_700));
            owner = cell.take_over();
        }
        let wave = WaveRequest {
            number: 1,
            machines: cell
                .machines
                .keys()
                .take(WORKERS_PER_POOL)
                .cloned()
                .collect(),
            duration: Duration::from_secs(20),
            max_down: 2,
        };
        let now = cell.now;
        cell.owners[owner].scheduler.update_wave(wave, now);
        for _ in 0..JOBS_PER_TURN {
            jobs.extend(submit(&mut cell, jobs.len(), turn % POOLS.len()));
            cell.run(TURN_DURATION / u32::try_from(JOBS_PER_TURN).unwrap_or(1));
        }
    }
    cell.run(Duration::from_secs(20));
    let completed = JobState::Ended(FinalState::Completed);
    let done = jobs
        .iter()
        .filter(|id| cell.stored_state(id) == Some(completed));
    JobsReport {
        jobs: jobs.len(),
        jobs_completed: done.count(),
        task_starts: cell.checker.starts,
        machine_orders: cell.operations_started,
        job_violations: cell.checker.violations.len(),
    }
}
