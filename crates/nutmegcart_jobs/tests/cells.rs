//! The division of a fleet, and of waves, into cells.

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
use crate::support::lasting_runs;
use crate::support::seconds;
use crate::support::standing;
use crate::support::submit;
use crate::support::world;

/// Inputs of a fuzzed test.
const RUNS: u64 = 500;

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

/// Guards against a fleet of today that is cut into cells too small for its bursts.
#[test]
fn a_fleet_of_the_size_of_a_cell_is_one_cell() {
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

/// Guards against a cell without machines of some pool, whose jobs would wait for moves.
#[test]
fn every_cell_has_its_part_of_every_pool() {
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

/// Guards against jobs that gather in one cell while the others stand idle.
#[test]
fn jobs_spread_over_all_cells() {
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

/// Guards against two owners that together exceed a wave's largest number because one of them has
/// not yet learnt that a third has finished.
#[test]
fn shares_never_shrink_when_a_cell_finishes() {
    let inputs = produce::<(u8, Vec<u8>, u8)>();
    nutmegcart_fuzz::for_each(RUNS, &inputs, |(most, counts, gone)| {
        let counts: Vec<usize> = counts
            .iter()
            .take(12)
            .map(|count| usize::from(*count))
            .collect();
        let most = usize::from(*most);
        let before = apportion(most, &counts);
        assert_eq!(before.iter().sum::<usize>(), most.min(counts.iter().sum()));
        if counts.is_empty() {
            return;
        }
        let gone = usize::from(*gone) % counts.len();
        let mut left = counts.clone();
        left[gone] = 0;
        let after = apportion(most, &left);
        for cell in (0..counts.len()).filter(|cell| *cell != gone) {
            assert!(
                after[cell] >= before[cell],
                "{most} {counts:?} without {gone}"
            );
        }
    });
}

/// Guards against a wave that is told as completed while a cell still works on it, and against
/// machines that belong to no part.
#[test]
fn a_wave_is_complete_when_every_part_is() {
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

/// Guards against a cell that moves work off its machines for a wave whose turn is elsewhere.
#[test]
fn a_cell_without_a_turn_leaves_its_machines_alone() {
    let mut world = world(21, 8);
    world.pools.truncate(1);
    let owner = world.take_over();
    submit(&mut world, 1, vec![standing(8)]);
    world.run(seconds(3.0));
    assert_eq!(lasting_runs(&world), 8);
    let (starts, now) = (world.oracle.starts, world.now);
    let mut wave = WaveRequest {
        number: 1,
        machines: world.machines.keys().cloned().collect(),
        duration: seconds(40.0),
        max_down: 0,
    };
    world.owners[owner].scheduler.update_wave(wave.clone(), now);
    world.run(seconds(5.0));
    assert_eq!((world.oracle.starts, world.moves), (starts, 0));
    assert_eq!(
        world.owners[owner].scheduler.wave(1),
        Some(WaveState::Running)
    );
    wave.max_down = 2;
    let now = world.now;
    world.owners[owner].scheduler.update_wave(wave, now);
    world.run(seconds(5.0));
    assert!(
        world.moves > 0,
        "the wave goes on once it is the cell's turn"
    );
}
