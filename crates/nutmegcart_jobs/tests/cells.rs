//! Partition of a fleet, and of waves, into cells.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use bolero::produce;
use nutmegcart_jobs::WaveRequest;
use nutmegcart_jobs::WaveState;
use nutmegcart_jobs::layout::CELL_SIZE;
use nutmegcart_jobs::layout::CellLayout;
use nutmegcart_jobs::layout::apportion;
use nutmegcart_jobs::wave_partition::WavePartition;
use nutmegcart_model::PoolName;

use crate::support::job_id;
use crate::support::live_long_running_runs;
use crate::support::long_running_step;
use crate::support::seconds;
use crate::support::submit;
use crate::support::world;

/// Number of inputs of a fuzz test.
const FUZZ_INPUTS: u64 = 500;

fn machines(pools: &[(&str, usize)]) -> Vec<(Arc<str>, PoolName)> {
    let in_pool = |(pool, count): &(&str, usize)| {
        let pool = PoolName::from(*pool);
        let name = |number| Arc::from(format!("m-{pool}-{number}"));
        let named: Vec<_> = (0..*count)
            .map(|number| (name(number), pool.clone()))
            .collect();
        named
    };
    pools.iter().flat_map(in_pool).collect()
}

/// Guards against a fleet of the usual size that is divided into cells too small for its bursts.
#[test]
fn fleet_up_to_cell_size_is_one_cell() {
    for size in [0, 1, 48, CELL_SIZE] {
        assert_eq!(
            CellLayout::divide(machines(&[("gates", size)])).cells(),
            1,
            "{size}"
        );
    }
    assert_eq!(
        CellLayout::divide(machines(&[("gates", CELL_SIZE + 1)])).cells(),
        2
    );
}

/// Guards against a cell without machines of a pool, whose jobs would wait for moves.
#[test]
fn pools_are_divided_evenly_among_cells() {
    let all = machines(&[
        ("gates", 61),
        ("reef", 69),
        ("market", 78),
        ("ferry", 85),
        ("shared", 56),
    ]);
    let layout = CellLayout::divide(all.clone());
    assert_eq!(layout.cells(), 4);
    let mut counts: BTreeMap<(PoolName, u32), usize> = BTreeMap::new();
    for (name, pool) in &all {
        *counts
            .entry((pool.clone(), layout.cell_of_machine(name)))
            .or_default() += 1;
    }
    for pool in ["gates", "reef", "market", "ferry", "shared"] {
        let of_pool: Vec<usize> = (0..4)
            .map(|cell| counts[&(PoolName::from(pool), cell)])
            .collect();
        let (least, most) = (of_pool.iter().min(), of_pool.iter().max());
        assert!(
            most.zip(least)
                .is_some_and(|(most, least)| most - least <= 1),
            "{pool}: {of_pool:?}"
        );
    }
}

/// Guards against jobs that accumulate in one cell while the others are idle.
#[test]
fn jobs_are_spread_evenly_over_cells() {
    let layout = CellLayout::divide(machines(&[("gates", 4 * CELL_SIZE)]));
    let mut counts = [0; 4];
    for number in 0..4_000 {
        counts[layout.cell_of_job(&job_id(number)) as usize] += 1;
    }
    assert!(
        counts.iter().all(|count| (900..1_100).contains(count)),
        "{counts:?}"
    );
}

/// Guards against two owners that together exceed a wave's limit because one of them does not know
/// yet that a third has finished.
#[test]
fn seats_of_a_cell_never_shrink_when_another_finishes() {
    let inputs = produce::<(u8, Vec<u8>, u8)>();
    nutmegcart_fuzz::for_each(FUZZ_INPUTS, &inputs, |(max_down, counts, finished)| {
        let counts: Vec<usize> = counts
            .iter()
            .take(12)
            .map(|count| usize::from(*count))
            .collect();
        let max_down = usize::from(*max_down);
        let before = apportion(max_down, &counts);
        assert_eq!(
            before.iter().sum::<usize>(),
            max_down.min(counts.iter().sum())
        );
        if counts.is_empty() {
            return;
        }
        let finished = usize::from(*finished) % counts.len();
        let mut left = counts.clone();
        left[finished] = 0;
        let after = apportion(max_down, &left);
        for cell in (0..counts.len()).filter(|cell| *cell != finished) {
            assert!(
                after[cell] >= before[cell],
                "{max_down} {counts:?} without {finished}"
            );
        }
    });
}

/// Guards against a wave that is reported as completed while a cell still works on it, and against
/// machines that belong to no part.
#[test]
fn wave_is_complete_when_every_part_is() {
    let all = machines(&[("gates", 250)]);
    let layout = CellLayout::divide(all.clone());
    let wave = WaveRequest {
        number: 9,
        machines: all.into_iter().map(|(name, _)| name).collect(),
        duration: seconds(60.0),
        max_down: 7,
    };
    let parts = WavePartition::new(&layout, &wave);
    let of = |cell| parts.part(cell, &wave, |_| false);
    assert_eq!(
        (0..3).map(|cell| of(cell).machines.len()).sum::<usize>(),
        250
    );
    assert_eq!((0..3).map(|cell| of(cell).max_down).sum::<usize>(), 7);
    assert!(!parts.others_finished(0, |cell| cell == 1));
    assert!(parts.others_finished(0, |cell| cell != 0));
    assert_eq!(parts.part(2, &wave, |cell| cell != 2).max_down, 7);
}

/// Guards against a cell that drains its machines while other cells use the wave's whole limit.
#[test]
fn cell_with_limit_zero_drains_no_machine() {
    let mut world = world(21, 8);
    world.pools.truncate(1);
    let owner = world.take_over();
    submit(&mut world, 1, vec![long_running_step(8)]);
    world.run(seconds(3.0));
    assert_eq!(live_long_running_runs(&world), 8);
    let (starts, now) = (world.checker.starts, world.now);
    let mut wave = WaveRequest {
        number: 1,
        machines: world.machines.keys().cloned().collect(),
        duration: seconds(40.0),
        max_down: 0,
    };
    world.owners[owner].scheduler.update_wave(wave.clone(), now);
    world.run(seconds(5.0));
    assert_eq!(
        (world.checker.starts, world.operations_started),
        (starts, 0)
    );
    assert_eq!(
        world.owners[owner].scheduler.wave_state(1),
        Some(WaveState::Running)
    );
    wave.max_down = 2;
    let now = world.now;
    world.owners[owner].scheduler.update_wave(wave, now);
    world.run(seconds(5.0));
    assert!(
        world.operations_started > 0,
        "the wave continues once the cell has a limit above zero"
    );
}
