//! Periodic bursts of demand, simulated in virtual time.

mod support;

use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_jobs::PoolConfig;
use nutmegcart_jobs::burst_forecast::BurstForecast;

use crate::support::assert_all_completed;
use crate::support::assert_no_violations;
use crate::support::batch_step;
use crate::support::queue;
use crate::support::seconds;
use crate::support::submit_to;
use crate::support::world;

/// Time between two bursts of one queue, in seconds.
const PERIOD: f64 = 16.0;

/// Submits a burst of small jobs to one queue after another, and returns the number of machines
/// that the first pool has at the start of each of its bursts.
fn machines_at_onset(world: &mut CellSimulation, bursts: usize) -> Vec<usize> {
    let mut machines = Vec::new();
    let mut jobs = Vec::new();
    let mut number = 0;
    for burst in 0..bursts {
        let pool = world.queues[burst % 4].pool.clone();
        if burst % 4 == 0 {
            let here = world.machines.values().filter(|each| each.pool == pool);
            machines.push(here.count());
        }
        for _ in 0..20 {
            for _ in 0..3 {
                jobs.push(submit_to(
                    world,
                    burst % 4,
                    number,
                    vec![batch_step(6, 6_000, 640)],
                ));
                number += 1;
            }
            world.run(seconds(PERIOD / 4.0 / 20.0));
        }
    }
    world.run(seconds(5.0));
    assert_all_completed(world, &jobs);
    assert_no_violations(world);
    machines
}

/// Guards against bursts whose first jobs wait for machines although the burst was predictable.
#[test]
fn machines_arrive_before_predicted_burst() {
    let mut world = world(31, 24);
    for pool in ["reef", "market", "ferry"] {
        world.queues.push(queue(pool));
        world.pools.push((pool.into(), PoolConfig { spare: false }));
    }
    world.take_over();
    world.run(seconds(6.0));
    let machines = machines_at_onset(&mut world, 9);
    // 15 jobs a second of 6 tasks with 6 cores for 0.64 s, on machines of 64 cores.
    let needed = 5;
    assert!(
        machines[0] < needed,
        "the first burst cannot be predicted: {machines:?}"
    );
    assert!(
        machines[1..].iter().all(|count| *count >= needed),
        "{machines:?}"
    );
}

/// Guards against machines that are moved for bursts which noise suggests.
#[test]
fn single_large_jobs_are_not_bursts() {
    let mut forecast = BurstForecast::default();
    let pool = "gates".into();
    for tick in 0..600_u64 {
        // A large job every 7 s, which the average forgets within half a second.
        let demand = if tick % 70 < 5 { 900.0 } else { 300.0 };
        let now = Duration::from_millis(tick * 100);
        forecast.observe(&pool, demand, 250.0, now);
        if tick > 100 {
            assert_eq!(
                forecast.expected_demand(&pool, seconds(2.0), now),
                None,
                "{tick}"
            );
        }
    }
}
