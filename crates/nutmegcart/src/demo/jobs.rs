//! A cell of workers that runs jobs in virtual time, while its owner dies and machines are
//! maintained.

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

/// Pools whose queues take turns in their demand.
const POOLS: [&str; 4] = ["gates", "reef", "market", "ferry"];
/// Workers of each pool.
const WORKERS: usize = 6;
/// Turns, each of a second and a half.
const TURNS: usize = 8;
/// Jobs handed in during a turn.
const JOBS: usize = 30;
/// Length of a turn.
const TURN: Duration = Duration::from_millis(1_500);

/// What became of the jobs, as workers and the store saw it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct JobsReport {
    /// Jobs handed in.
    pub jobs: usize,
    /// Jobs that the store holds as completed.
    pub jobs_completed: usize,
    /// Tasks started.
    pub task_starts: usize,
    /// Machines moved to another pool or maintained.
    pub machine_orders: usize,
    /// Tasks that ran twice at once or after their end, or that nobody handed in.
    pub job_violations: usize,
}

fn queue(pool: &str) -> Queue {
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
        advice: None,
    }
}

fn world(seed: u64) -> CellSimulation {
    let mut world = CellSimulation::new(seed);
    world.duration_spread = 1.5;
    world.queues = POOLS.map(queue).to_vec();
    world.pools = POOLS
        .iter()
        .map(|pool| ((*pool).into(), PoolConfig { spare: false }))
        .chain([("shared".into(), PoolConfig { spare: true })])
        .collect();
    for (place, pool) in POOLS.iter().enumerate() {
        for number in 0..WORKERS {
            let id = format!("{pool}-{number}");
            let rack = format!("r1-{}", place * WORKERS + number / 4);
            let size = Resources::new(64_000, 262_144, 0);
            let entry = listing(&id, pool, &rack, size);
            world.add_worker(FakeWorker::new(entry, world.now));
        }
    }
    world
}

fn submit(world: &mut CellSimulation, number: usize, queue: usize) -> Option<JobId> {
    let id = JobId::parse(&format!("{number:016x}")).ok()?;
    let step = |after| Step {
        count: 6,
        need: Resources::new(3_500, 4_000, 0),
        estimate_ms: 640,
        after,
        ..Step::default()
    };
    let accepted = AcceptedJob {
        queue: world.queues[queue].clone(),
        at: world.unix_ms(),
        job: Job {
            spec: "tally".into(),
            steps: vec![step(Vec::new()), step(vec![0])],
            schedule: None,
        },
    };
    world.submit(&id, &accepted);
    Some(id)
}

/// Plays the cell and reports what became of its jobs.
pub fn play(seed: u64) -> JobsReport {
    let mut world = world(seed);
    let mut owner = world.take_over();
    world.run(Duration::from_secs(3));
    let mut jobs = Vec::new();
    for turn in 0..TURNS {
        if turn == TURNS / 2 {
            world.owners[owner].up = false;
            world.run(Duration::from_millis(1_700));
            owner = world.take_over();
        }
        let wave = WaveRequest {
            number: 1,
            machines: world.machines.keys().take(WORKERS).cloned().collect(),
            duration: Duration::from_secs(20),
            max_down: 2,
        };
        let now = world.now;
        world.owners[owner].scheduler.update_wave(wave, now);
        for _ in 0..JOBS {
            jobs.extend(submit(&mut world, jobs.len(), turn % POOLS.len()));
            world.run(TURN / u32::try_from(JOBS).unwrap_or(1));
        }
    }
    world.run(Duration::from_secs(20));
    let completed = JobState::Ended(FinalState::Completed);
    let done = jobs
        .iter()
        .filter(|id| world.stored_state(id) == Some(completed));
    JobsReport {
        jobs: jobs.len(),
        jobs_completed: done.count(),
        task_starts: world.checker.starts,
        machine_orders: world.operations_started,
        job_violations: world.checker.violations.len(),
    }
}
