//! Waiting jobs of several cells, one of which has lost most of its workers.

mod support;

use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fakes::cell::worker::FakeWorker;
use nutmegcart_fakes::cell::worker::listing;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobRecord;
use nutmegcart_jobs::MachineState;
use nutmegcart_jobs::PoolConfig;
use nutmegcart_jobs::passing::CellLoad;
use nutmegcart_jobs::passing::PassOutcome;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::support::add_spares;
use crate::support::assert_all_completed;
use crate::support::assert_no_violations;
use crate::support::batch_step;
use crate::support::completed;
use crate::support::queue;
use crate::support::seconds;
use crate::support::submit;
use crate::support::world;

/// Interval between two rounds in which the owners pass jobs.
const ROUND: Duration = Duration::from_millis(500);
/// Seeds of the session of random losses.
const SESSION_SEEDS: u64 = 12;

/// Several cells with an owner each; jobs pass between their stores.
struct Cells {
    worlds: Vec<CellSimulation>,
    owners: Vec<usize>,
    passed: usize,
}

impl Cells {
    /// Starts a cell for each number of workers.
    fn start(seed: u64, workers: &[usize]) -> Self {
        let worlds = workers.iter().map(|count| world(seed, *count));
        let mut worlds: Vec<CellSimulation> = worlds.collect();
        let owners = worlds.iter_mut().map(CellSimulation::take_over).collect();
        let mut cells = Self {
            worlds,
            owners,
            passed: 0,
        };
        cells.run(seconds(3.0));
        cells
    }

    fn run(&mut self, span: Duration) {
        for world in &mut self.worlds {
            world.run(span);
        }
    }

    fn loads_except(&self, cell: usize) -> Vec<CellLoad> {
        let numbered = (0_u32..).zip(&self.worlds).zip(&self.owners);
        let others = numbered.filter(|((number, _), _)| *number as usize != cell);
        others
            .map(|((number, world), owner)| CellLoad {
                cell: number,
                pools: world.owners[*owner].scheduler.pool_loads(world.now),
            })
            .collect()
    }

    /// Passes the jobs that one cell chooses; `lose` drops the transactions instead.
    fn pass_from(&mut self, cell: usize, lose: bool) {
        let loads = self.loads_except(cell);
        let count = u32::try_from(self.worlds.len()).expect("few cells");
        let (world, owner) = (&mut self.worlds[cell], self.owners[cell]);
        let scheduler = &mut world.owners[owner].scheduler;
        let passes = scheduler.begin_passes(&loads, count, world.now);
        for pass in passes {
            let workers = self.worlds[cell].workers.values();
            let mut runs = workers.flat_map(|worker| worker.runs.keys());
            assert!(runs.all(|task| task.job != pass.job), "{} runs", pass.job);
            let scheduler = &mut self.worlds[cell].owners[owner].scheduler;
            if lose {
                scheduler.finish_pass(&pass.job, PassOutcome::Kept(None));
                continue;
            }
            scheduler.finish_pass(&pass.job, PassOutcome::Passed);
            self.worlds[cell].store.jobs.remove(&pass.job);
            self.worlds[pass.cell as usize].submit(&pass.job, &pass.accepted);
            self.passed += 1;
        }
    }

    fn run_with_passes(&mut self, span: Duration) {
        let end = self.worlds[0].now + span;
        while self.worlds[0].now < end {
            for cell in 0..self.worlds.len() {
                self.pass_from(cell, false);
            }
            self.run(ROUND);
        }
    }

    /// Returns the only cell whose store holds the job.
    fn holder(&self, job: &JobId) -> usize {
        let holds = |cell: &usize| self.worlds[*cell].store.jobs.contains_key(job);
        let holders: Vec<usize> = (0..self.worlds.len()).filter(holds).collect();
        assert_eq!(holders.len(), 1, "{job} is in the cells {holders:?}");
        holders[0]
    }

    fn completed(&self, jobs: &[JobId]) -> usize {
        let done = |job: &&JobId| completed(&self.worlds[self.holder(job)], job);
        jobs.iter().filter(done).count()
    }

    fn assert_completed(&self, jobs: &[JobId]) {
        for job in jobs {
            assert_all_completed(&self.worlds[self.holder(job)], std::slice::from_ref(job));
        }
        self.worlds.iter().for_each(assert_no_violations);
    }
}

/// Submits jobs of 30 core-seconds each to one cell.
fn submit_jobs(cells: &mut Cells, cell: usize, numbers: std::ops::Range<usize>) -> Vec<JobId> {
    let world = &mut cells.worlds[cell];
    let steps = || vec![batch_step(6, 5_000, 1_000)];
    numbers
        .map(|number| submit(world, number, steps()))
        .collect()
}

/// Guards against a backlog in a cell that has lost its workers, beside another with room.
#[test]
fn jobs_of_a_starved_cell_run_in_one_with_room() {
    let mut alone = Cells::start(1, &[1, 12]);
    let jobs = submit_jobs(&mut alone, 0, 0..60);
    alone.run(seconds(12.0));
    assert!(alone.completed(&jobs) < 40, "the cell is not starved");

    let mut cells = Cells::start(1, &[1, 12]);
    let jobs = submit_jobs(&mut cells, 0, 0..60);
    cells.run_with_passes(seconds(12.0));
    assert!(cells.passed > 20, "only {} jobs passed", cells.passed);
    cells.assert_completed(&jobs);
}

/// Guards against jobs that move about in a burst which fills all cells alike.
#[test]
fn nothing_passes_between_cells_that_are_equally_loaded() {
    let mut cells = Cells::start(2, &[6, 6, 6]);
    let mut jobs = Vec::new();
    for cell in 0..3 {
        jobs.extend(submit_jobs(&mut cells, cell, cell * 100..cell * 100 + 50));
    }
    cells.run_with_passes(seconds(30.0));
    assert_eq!(cells.passed, 0);
    cells.assert_completed(&jobs);
}

/// Guards against late jobs of an overloaded cell that delay jobs of one which is busy itself and can
/// still end them on time.
#[test]
fn nothing_passes_to_a_busy_cell() {
    let mut cells = Cells::start(2, &[1, 6]);
    let mut jobs = submit_jobs(&mut cells, 0, 0..40);
    jobs.extend(submit_jobs(&mut cells, 1, 100..180));
    cells.run(seconds(1.5));
    cells.pass_from(0, false);
    assert_eq!(cells.passed, 0);
    cells.run_with_passes(seconds(30.0));
    assert!(cells.passed > 0, "nothing passed when there was room");
    cells.assert_completed(&jobs);
}

/// Guards against a second run of a job of which a task runs where it is.
#[test]
fn job_with_a_running_task_does_not_pass() {
    let mut cells = Cells::start(3, &[1, 12]);
    let long = submit(
        &mut cells.worlds[0],
        900,
        vec![batch_step(2, 5_000, 30_000)],
    );
    cells.run(seconds(1.0));
    let jobs = submit_jobs(&mut cells, 0, 0..40);
    cells.run_with_passes(seconds(15.0));
    assert!(cells.passed > 0);
    assert_eq!(cells.holder(&long), 0);
    cells.run_with_passes(seconds(40.0));
    cells.assert_completed(&jobs);
    cells.assert_completed(&[long]);
}

/// Guards against a job that has begun and waits to the end of the day in a cell without room, and
/// against a second run of its finished tasks in the cell that it passes to.
#[test]
fn begun_job_passes_with_its_progress() {
    let mut cells = Cells::start(7, &[1, 12]);
    let steps = vec![
        batch_step(6, 5_000, 500),
        nutmegcart_jobs::Step {
            after: vec![0],
            ..batch_step(6, 30_000, 1_000)
        },
    ];
    let begun = submit(&mut cells.worlds[0], 900, steps);
    cells.run(seconds(0.3));
    // Long tasks take the room as soon as the first step has ended.
    let long = submit(
        &mut cells.worlds[0],
        901,
        vec![batch_step(13, 5_000, 40_000)],
    );
    cells.run(seconds(4.0));
    let owner = &cells.worlds[0].owners[cells.owners[0]];
    let state = owner.scheduler.jobs().find(|job| job.id == begun);
    let done: Vec<u32> = state.expect("known").occurrences[&0]
        .steps
        .iter()
        .map(|step| step.done)
        .collect();
    assert_eq!(done, [6, 0]);
    let before = cells.worlds[1].checker.starts;
    cells.run_with_passes(seconds(10.0));
    assert_eq!(cells.holder(&begun), 1);
    cells.assert_completed(&[begun]);
    let starts = cells.worlds[1].checker.starts - before;
    assert_eq!(starts, 6, "the tasks of the second step");
    assert_eq!(cells.holder(&long), 0);
}

/// Guards against a start in a cell while the transaction that passes the job may be committed.
#[test]
fn job_is_not_started_while_it_may_pass() {
    let mut cells = Cells::start(4, &[1, 12]);
    let jobs = submit_jobs(&mut cells, 0, 0..40);
    cells.run(seconds(2.0));
    let loads = cells.loads_except(0);
    let (world, owner) = (&mut cells.worlds[0], cells.owners[0]);
    let passes = world.owners[owner]
        .scheduler
        .begin_passes(&loads, 2, world.now);
    assert!(!passes.is_empty());
    world.run(seconds(30.0));
    for pass in &passes {
        let mut known = world.owners[owner].scheduler.jobs();
        let job = known.find(|job| job.id == pass.job);
        assert!(job.is_some_and(|job| !job.started), "{}", pass.job);
    }
    // The store refused them, so they run where they are.
    for pass in passes {
        let scheduler = &mut world.owners[owner].scheduler;
        scheduler.finish_pass(&pass.job, PassOutcome::Kept(None));
    }
    cells.run(seconds(60.0));
    cells.assert_completed(&jobs);
}

/// Guards against a job that wanders between cells, so that no instance finds it.
#[test]
fn job_passes_once() {
    let mut cells = Cells::start(5, &[1, 2, 12]);
    let jobs = submit_jobs(&mut cells, 0, 0..40);
    cells.run(seconds(2.0));
    cells.pass_from(0, false);
    let moved: Vec<(JobId, usize)> = jobs
        .iter()
        .map(|job| (job.clone(), cells.holder(job)))
        .filter(|(_, cell)| *cell != 0)
        .collect();
    assert!(!moved.is_empty());
    cells.run_with_passes(seconds(40.0));
    for (job, cell) in moved {
        assert_eq!(cells.holder(&job), cell, "{job}");
    }
    cells.assert_completed(&jobs);
}

/// Guards against a passed job that counts as new, and so goes before others that wait as long.
#[test]
fn passed_job_keeps_the_time_that_it_has_waited() {
    let mut cells = Cells::start(6, &[1, 12]);
    submit_jobs(&mut cells, 0, 0..40);
    cells.run(seconds(2.0));
    cells.pass_from(0, false);
    let stored = cells.worlds[1].store.jobs.values();
    let waits: Vec<u64> = stored
        .map(|(record, _)| match record {
            JobRecord::Accepted(accepted) => accepted.waited_ms,
            JobRecord::Ended { .. } | JobRecord::Tombstone { .. } => panic!("ended at once"),
        })
        .collect();
    assert!(!waits.is_empty() && waits.iter().all(|wait| (1_900..2_100).contains(wait)));
    cells.run(seconds(0.1));
    let (world, owner) = (&cells.worlds[1], cells.owners[1]);
    for job in world.owners[owner].scheduler.jobs() {
        let waited = world.now.saturating_sub(job.accepted_at);
        assert!(waited >= seconds(1.9), "{waited:?}");
    }
}

/// Guards against jobs that stay, double or get lost after random losses, with transactions that
/// fail, in a fleet whose workers suffice for all.
#[test]
fn all_jobs_end_after_random_losses() {
    for seed in 0..SESSION_SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut workers: Vec<usize> = (0..4).map(|_| rng.random_range(1..10)).collect();
        workers[rng.random_range(0..4)] = 14;
        let mut cells = Cells::start(seed, &workers);
        let mut jobs = Vec::new();
        for round in 0..20 {
            for cell in 0..4 {
                let first = 10_000 * cell + 100 * round;
                let count = rng.random_range(0..6);
                jobs.extend(submit_jobs(&mut cells, cell, first..first + count));
            }
            for cell in 0..4 {
                let lose = rng.random_bool(0.3);
                cells.pass_from(cell, lose);
            }
            cells.run(ROUND);
        }
        cells.run_with_passes(seconds(10.0));
        assert_eq!(
            cells.completed(&jobs),
            jobs.len(),
            "seed {seed}, {workers:?}"
        );
        cells.assert_completed(&jobs);
    }
}

/// Creates a cell with three workers in each of two pools and four machines in the spare pool.
fn cell_with_spares(seed: u64) -> CellSimulation {
    let mut world = world(seed, 3);
    world.queues.push(queue("boats"));
    let pool = ("boats".into(), PoolConfig { spare: false });
    world.pools.insert(1, pool);
    let size = Resources::new(64_000, 262_144, 0);
    for index in 0..3 {
        let id = format!("boat-{index}");
        let worker = FakeWorker::new(listing(&id, "boats", "r2-0", size), world.now);
        world.add_worker(worker);
    }
    add_spares(&mut world, 4);
    world.take_over();
    world.run(seconds(1.0));
    world
}

/// Returns the processor that a cell tells for a pool, in thousandths of a core.
fn told_cpu(world: &CellSimulation, pool: &str) -> u64 {
    let owner = world.owners.last().expect("a cell has an owner");
    let loads = owner.scheduler.pool_loads(world.now);
    let load = loads.iter().find(|load| &*load.pool == pool);
    load.map_or(0, |load| load.cpu)
}

/// Guards against spare machines that are told as room although the platform refuses to move them.
#[test]
fn machines_that_cannot_move_are_not_told() {
    let mut world = cell_with_spares(201);
    assert_eq!(told_cpu(&world, "boats"), 7 * 64_000);
    // The owner's list still shows them as up.
    world.lists_machines = false;
    for machine in world.machines.values_mut() {
        if &*machine.pool == "shared" {
            machine.state = MachineState::Down;
        }
    }
    submit(&mut world, 1, vec![batch_step(400, 8_000, 3_000)]);
    world.run(seconds(0.5));
    // One of its own three moves.
    assert_eq!(told_cpu(&world, "boats"), 2 * 64_000);
    assert_no_violations(&world);
}

/// Guards against spare machines that are told to each pool, although one pool needs them all.
#[test]
fn spare_machines_that_a_pool_needs_are_not_told_for_others() {
    let mut world = cell_with_spares(202);
    submit(&mut world, 1, vec![batch_step(400, 8_000, 3_000)]);
    assert_eq!(
        (told_cpu(&world, "gates"), told_cpu(&world, "boats")),
        (7 * 64_000, 3 * 64_000)
    );
    assert_no_violations(&world);
}
