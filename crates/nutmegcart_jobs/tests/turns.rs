//! Demand that takes turns, replayed in virtual time.

mod support;

use std::time::Duration;

use nutmegcart_fakes::cell::World;
use nutmegcart_jobs::PoolConfig;
use nutmegcart_jobs::burst_forecast::BurstForecast;

use crate::support::assert_all_completed;
use crate::support::assert_sound;
use crate::support::queue;
use crate::support::seconds;
use crate::support::submit_to;
use crate::support::tally;
use crate::support::world;

/// Time between two bursts of one queue.
const PERIOD: f64 = 16.0;

/// Hands in a burst of small jobs for each queue in turn, and returns the machines that the first
/// pool has at the start of its bursts.
fn machines_at_onset(world: &mut World, turns: usize) -> Vec<usize> {
    let mut machines = Vec::new();
    let mut jobs = Vec::new();
    let mut number = 0;
    for turn in 0..turns {
        let pool = world.queues[turn % 4].pool.clone();
        if turn % 4 == 0 {
            let here = world.machines.values().filter(|each| each.pool == pool);
            machines.push(here.count());
        }
        for _ in 0..20 {
            for _ in 0..3 {
                jobs.push(submit_to(
                    world,
                    turn % 4,
                    number,
                    vec![tally(6, 6_000, 640)],
                ));
                number += 1;
            }
            world.run(seconds(PERIOD / 4.0 / 20.0));
        }
    }
    world.run(seconds(5.0));
    assert_all_completed(world, &jobs);
    assert_sound(world);
    machines
}

/// Guards against bursts whose first jobs wait for machines although the turns are known by then.
#[test]
fn a_pool_has_its_machines_when_its_next_turn_begins() {
    let mut world = world(31, 24);
    for pool in ["reef", "market", "ferry"] {
        world.queues.push(queue(pool));
        world.pools.push((pool.into(), PoolConfig { spare: false }));
    }
    world.take_over();
    world.run(seconds(6.0));
    let machines = machines_at_onset(&mut world, 9);
    // 15 jobs a second of 6 tasks with 6 cores for 0.64 s, on machines of 64 cores.
    let asked = 5;
    assert!(
        machines[0] < asked,
        "the first burst comes as a surprise: {machines:?}"
    );
    assert!(
        machines[1..].iter().all(|count| *count >= asked),
        "{machines:?}"
    );
}

/// Guards against machines that wait for turns which noise has suggested.
#[test]
fn steady_demand_with_single_large_jobs_has_no_turns() {
    let mut turns = BurstForecast::default();
    let pool = "gates".into();
    for tick in 0..600_u64 {
        // A large job every 7 s, which the average forgets within half a second.
        let demand = if tick % 70 < 5 { 900.0 } else { 300.0 };
        let now = Duration::from_millis(tick * 100);
        turns.observe(&pool, demand, 250.0, now);
        if tick > 100 {
            assert_eq!(turns.forecast(&pool, seconds(2.0), now), None, "{tick}");
        }
    }
}
