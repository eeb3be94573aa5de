//! Limits of organisations in a fleet of several cells: moves of allocations, faults drawn by seed, and
//! calls to the store.

mod limits;
mod support;

use std::time::Duration;

use nutmegcart_jobs::Step;
use rand::Rng;

use crate::limits::Fleet;
use crate::limits::organisation;
use crate::support::batch_step;
use crate::support::seconds;

const SEEDS: std::ops::Range<u64> = 0..6;
/// Environment variable with other sessions, as `first..end`.
const SEEDS_VARIABLE: &str = "LIMIT_SEEDS";
const NAMES: [&str; 2] = ["ferries", "tidewater"];

fn seeds() -> std::ops::Range<u64> {
    let Ok(range) = std::env::var(SEEDS_VARIABLE) else {
        return SEEDS;
    };
    let (first, end) = range.split_once("..").expect("a range of seeds");
    first.parse().expect("a seed")..end.parse().expect("a seed")
}

fn assert_kept(fleet: &Fleet) {
    let broken = fleet.checks.violations.iter().take(10);
    let broken: Vec<&str> = broken.map(String::as_str).collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
    for cell in &fleet.cells {
        let broken = &cell.checker.violations;
        assert!(broken.is_empty(), "{}", broken.join("\n"));
    }
}

/// Returns the processor that runs occupy in a cell.
fn running(fleet: &Fleet, cell: usize) -> u64 {
    let workers = fleet.cells[cell].workers.values();
    workers.map(|worker| worker.used().cpu).sum()
}

struct Demand {
    cells: u32,
    limit: u64,
    step: Step,
    reached: u64,
    within: Duration,
}

/// Demand in one cell gets the allocations of the others, which have none.
fn demand_in_one_cell(case: Demand) {
    let mut fleet = Fleet::new(3, case.cells, 2, &[organisation(NAMES[0], case.limit)]);
    fleet.run(seconds(2.0));
    let calls = fleet.calls;
    fleet.submit(0, &NAMES[0].into(), case.step);
    let begin = fleet.now;
    while fleet.now < begin + case.within && running(&fleet, 0) < case.reached {
        fleet.run(Duration::from_millis(1));
    }
    let (used, took) = (running(&fleet, 0), fleet.now.saturating_sub(begin));
    println!(
        "{} cells: {used} in use after {} ms, {} store calls",
        case.cells,
        took.as_millis(),
        fleet.calls - calls
    );
    assert!(used >= case.reached, "{used} of {}", case.reached);
    assert_kept(&fleet);
}

cases! { demand_in_one_cell:
    /// Guards against an organisation that waits although other cells do not need its allocation.
    one_of_four_cells_gets_what_it_needs => Demand {
        cells: 4, limit: 32_000, step: batch_step(10, 2_000, 60_000), reached: 20_000,
        within: seconds(0.5),
    };
    one_of_twelve_cells_gets_what_it_needs => Demand {
        cells: 12, limit: 48_000, step: batch_step(12, 2_000, 60_000), reached: 24_000,
        within: seconds(1.0),
    };
    one_of_many_cells_gets_what_it_needs => Demand {
        cells: 36, limit: 72_000, step: batch_step(18, 2_000, 60_000), reached: 36_000,
        within: seconds(3.0),
    };
    /// Guards against a task larger than each equal allocation that never starts.
    task_above_equal_allocation_starts => Demand {
        cells: 4, limit: 8_000, step: batch_step(1, 8_000, 60_000), reached: 8_000,
        within: seconds(0.5),
    };
    /// Guards against a task larger than the limit that never starts.
    task_above_the_limit_starts => Demand {
        cells: 4, limit: 4_000, step: batch_step(1, 6_000, 60_000), reached: 6_000,
        within: seconds(0.5),
    };
}

/// Guards against cells with large tasks that wait for each other for ever.
#[test]
fn large_tasks_in_all_cells_run_one_after_the_other() {
    let mut fleet = Fleet::new(5, 4, 2, &[organisation(NAMES[0], 8_000)]);
    for cell in 0..4 {
        fleet.submit(cell, &NAMES[0].into(), batch_step(2, 8_000, 300));
    }
    fleet.run(seconds(12.0));
    let completed: usize = fleet.cells.iter().map(|cell| cell.checker.completed).sum();
    assert_eq!(completed, 8);
    assert_kept(&fleet);
}

/// Guards against starts within the allocations of other cells while old runs of a cell that is above
/// its allocation go on after a limit has fallen.
#[test]
fn fallen_limit_counts_old_runs_in_other_cells() {
    let mut fleet = Fleet::new(9, 4, 2, &[organisation(NAMES[0], 80_000)]);
    fleet.submit(0, &NAMES[0].into(), batch_step(10, 4_000, 60_000));
    fleet.run(seconds(2.0));
    assert_eq!(running(&fleet, 0), 40_000);
    fleet.set_limits(&[organisation(NAMES[0], 20_000)]);
    fleet.run(seconds(4.0));
    for cell in 1..4 {
        fleet.submit(cell, &NAMES[0].into(), batch_step(9, 1_000, 60_000));
    }
    fleet.run(seconds(10.0));
    assert_kept(&fleet);
}

/// Guards against store calls while no cell lacks allocation.
#[test]
fn no_store_calls_while_nothing_is_lacking() {
    let mut fleet = Fleet::new(11, 4, 2, &[organisation(NAMES[0], 64_000)]);
    let calls = fleet.calls;
    for cell in 0..4 {
        fleet.submit(cell, &NAMES[0].into(), batch_step(4, 2_000, 300));
    }
    fleet.run(seconds(5.0));
    assert_eq!(fleet.calls, calls);
    assert_kept(&fleet);
}

fn any_step(fleet: &mut Fleet) -> Step {
    let rng = &mut fleet.rng;
    let cpu = [1_000, 2_000, 4_000, 9_000][rng.random_range(0..4)];
    let gang = rng.random_bool(0.1);
    // A gang that exceeds the smallest limit could never start.
    let most = if gang { 12_000 / cpu } else { 8 };
    let count = rng.random_range(1..=u32::try_from(most).expect("a small number"));
    Step {
        gang,
        ..batch_step(count, cpu, rng.random_range(200..2_000))
    }
}

fn disturb(fleet: &mut Fleet) {
    let cell = fleet.rng.random_range(0..fleet.cells.len());
    let owner = fleet.cells[cell].owners.len() - 1;
    let span = seconds(fleet.rng.random_range(0.3..4.0));
    fleet.checks.fault_until = Duration::MAX.saturating_sub(seconds(60.0));
    match fleet.rng.random_range(0..8) {
        0 => {
            fleet.cells[cell].owners[owner].up = false;
            fleet.run(seconds(1.7));
            fleet.take_over(cell);
        }
        1 => {
            // The successor does not reach some of the workers, on which runs still live.
            let workers: Vec<_> = fleet.cells[cell].workers.keys().cloned().collect();
            let rng = &mut fleet.rng;
            let silent: Vec<_> = workers
                .into_iter()
                .filter(|_| rng.random_bool(0.6))
                .collect();
            fleet.cells[cell].owners[owner].up = false;
            fleet.run(seconds(0.1));
            let index = fleet.cells[cell].take_over_partitioned(silent);
            fleet.versions.insert((cell, index), fleet.version);
            fleet.cells[cell].after(seconds(3.0), move |cell| {
                cell.owners[index].unreachable.clear();
            });
        }
        2 => {
            fleet.cells[cell].owners[owner].reaches_store = false;
            fleet.run(seconds(2.6));
            fleet.take_over(cell);
        }
        3 => {
            fleet.store_down = true;
            fleet.run(span);
            fleet.store_down = false;
        }
        4 => {
            fleet.isolated = Some((cell, owner));
            fleet.run(span);
            fleet.isolated = None;
        }
        5 => {
            let workers: Vec<_> = fleet.cells[cell].workers.keys().cloned().collect();
            let id = &workers[fleet.rng.random_range(0..workers.len())];
            fleet.cells[cell].crash(id);
            fleet.run(span);
            fleet.cells[cell].restart(id);
        }
        6 => {
            fleet.cells[cell].delayed_share = 0.3;
            fleet.run(span);
            fleet.cells[cell].delayed_share = 0.0;
        }
        _ => {
            let limits = [12_000, 24_000, 40_000, 60_000];
            let mut any = || limits[fleet.rng.random_range(0..4)];
            let limits = [organisation(NAMES[0], any()), organisation(NAMES[1], any())];
            fleet.set_limits(&limits);
        }
    }
    fleet.checks.fault_until = fleet.now;
}

fn play(seed: u64) -> Fleet {
    let limits = [
        organisation(NAMES[0], 40_000),
        organisation(NAMES[1], 16_000),
    ];
    let cells = 2 + u32::try_from(seed % 4).expect("a small number");
    let mut fleet = Fleet::new(seed, cells, 3, &limits);
    let end = fleet.now + seconds(60.0);
    while fleet.now < end {
        (fleet.lost, fleet.late) = if fleet.rng.random_bool(0.5) {
            (0.3, 0.5)
        } else {
            (0.0, 0.0)
        };
        for _ in 0..fleet.rng.random_range(1..6) {
            let cell = fleet.rng.random_range(0..fleet.cells.len());
            let name = NAMES[fleet.rng.random_range(0..2)].into();
            let step = any_step(&mut fleet);
            fleet.submit(cell, &name, step);
        }
        if fleet.rng.random_bool(0.4) {
            disturb(&mut fleet);
        }
        let pause = seconds(fleet.rng.random_range(0.1..1.5));
        fleet.run(pause);
    }
    (fleet.lost, fleet.late) = (0.0, 0.0);
    fleet.checks.fault_until = fleet.now;
    fleet.run(seconds(40.0));
    fleet
}

/// Guards against starts beyond a limit, allocations above the whole, and waits under half of a limit,
/// under faults that no single test was written for.
#[test]
fn drawn_sessions_keep_the_limits() {
    let mut broken = Vec::new();
    for seed in seeds() {
        let fleet = play(seed);
        let starts: usize = fleet.cells.iter().map(|cell| cell.checker.starts).sum();
        println!(
            "seed {seed}: {} cells, {} jobs, {starts} starts, {} store calls, {} moves, {} % at most, {} broken",
            fleet.cells.len(),
            fleet.submitted,
            fleet.calls,
            fleet.revision,
            fleet.checks.most_used,
            fleet.checks.violations.len()
        );
        let found = fleet.checks.violations.iter().take(4);
        broken.extend(found.map(|each| format!("seed {seed}: {each}")));
        let of_cells = fleet.cells.iter().flat_map(|cell| &cell.checker.violations);
        broken.extend(of_cells.take(4).map(|each| format!("seed {seed}: {each}")));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
