//! Guards against budget breaches, doubled operations and stale writes under random faults.

mod world;

use std::time::Duration;

use bolero::TypeGenerator;
use bolero::produce;
use nutmegcart_fleet::Demand;
use nutmegcart_fleet::MaintenanceState;
use nutmegcart_fleet::WavePhase;
use nutmegcart_model::record::Allowance;
use nutmegcart_platform::InstanceState;
use world::POOLS;
use world::World;

/// Something that happens to the deployment.
#[derive(Clone, Debug, TypeGenerator)]
enum Step {
    Pass(u8),
    Rounds(u8),
    Round(u8),
    Plan(u8),
    Commit(u8),
    Call(u8),
    StoreDown(bool),
    StaleSettings(bool),
    LoseCalls(u8),
    Lag(u8),
    Fail(u8),
    FailRack(u8),
    Repair(u8),
    Hang(u8),
    Vanish(u8),
    Budget(u8, u8),
    Minimum(u8, u8),
    Start,
    Pause,
    Drain(u8),
    Demand(u8, u8),
}

fn pick(world: &World, index: u8) -> String {
    let count = world.machines.len();
    let id = world.machines.keys().nth(usize::from(index) % count);
    id.cloned().expect("there are machines")
}

fn pool(index: u8) -> &'static str {
    POOLS[usize::from(index) % POOLS.len()]
}

fn apply(world: &mut World, step: &Step) {
    let holder = |index: &u8| usize::from(*index) % 4;
    match step {
        Step::Pass(seconds) => world.pass(u64::from(*seconds % 16)),
        Step::Rounds(count) => world.rounds(usize::from(*count % 8)),
        Step::Round(index) => world.round(holder(index)),
        Step::Plan(index) => world.plan(holder(index)),
        Step::Commit(index) => drop(world.commit(holder(index))),
        Step::Call(index) => world.call(holder(index)),
        Step::StoreDown(down) => world.store_down = *down,
        Step::StaleSettings(stale) => world.stale_settings = *stale,
        Step::LoseCalls(count) => world.lose_calls = u32::from(*count % 4),
        Step::Lag(seconds) => world.lag = Duration::from_secs(u64::from(*seconds % 45)),
        Step::Fail(index) => world.fail(&pick(world, *index)),
        Step::FailRack(index) => {
            let rack = world.machines[&pick(world, *index)].line.rack.clone();
            let ids: Vec<String> = world.machines.keys().cloned().collect();
            for id in ids {
                if world.machines[&id].line.rack == rack {
                    world.fail(&id);
                }
            }
        }
        Step::Repair(index) => world.repair(&pick(world, *index)),
        Step::Hang(index) => {
            let id = pick(world, *index);
            world.machines.get_mut(&id).expect("exists").stuck = true;
        }
        Step::Vanish(index) => {
            let id = pick(world, *index);
            let gone = world.machines.remove(&id).expect("exists").line;
            world.add_machine(&gone.centre, &gone.rack);
        }
        Step::Budget(index, count) => {
            let allowance = Allowance::Count(u32::from(*count % 4));
            world
                .settings
                .budgets
                .insert(pool(*index).into(), allowance);
            world.publish();
        }
        Step::Minimum(index, count) => {
            let found = world.settings.pools.get_mut(pool(*index));
            found.expect("pool exists").minimum = u32::from(*count % 5);
            world.publish();
        }
        Step::Start => drop(world.start()),
        Step::Pause => drop(world.pause()),
        Step::Drain(index) => drop(world.drain(&pick(world, *index))),
        Step::Demand(index, count) => {
            let runners = f64::from(*count % 8);
            let demand = Demand {
                runners,
                workers: 0.0,
            };
            world.demand.insert(pool(*index).into(), demand);
        }
    }
    world.check();
}

/// Ends all faults and requires that everything returns to service and the wave finishes.
fn settle(world: &mut World) {
    world.store_down = false;
    world.stale_settings = false;
    world.lose_calls = 0;
    world.lag = Duration::ZERO;
    world.demand.clear();
    for pool in POOLS {
        world
            .settings
            .budgets
            .insert(pool.into(), Allowance::Count(2));
    }
    world.publish();
    // Reboots that hang are only given up after their time limit.
    for minutes in [0, 16, 31, 1] {
        let ids: Vec<String> = world.machines.keys().cloned().collect();
        for id in &ids {
            world.repair(id);
            let machine = world.machines.get_mut(id).expect("exists");
            let held = matches!(
                machine.line.state,
                InstanceState::Leaving | InstanceState::Drained
            );
            if held && is_held(world, id) {
                // Whoever asked for the drain reboots the instance.
                world.fail(id);
                world.repair(id);
            }
        }
        world.pass(minutes * 60);
        world.rounds(8);
    }
    let _ = world.start();
    for _ in 0..30 {
        if world.progress().phase != WavePhase::Finished {
            world.rounds(5);
        }
    }
    world.check();
    assert_eq!(
        world.progress().phase,
        WavePhase::Finished,
        "the wave hangs: {:?}",
        world.progress()
    );
    for map in world.maps().values() {
        for (id, entry) in &map.value.instances {
            let known = world.machines.get(&**id);
            let fine = known.is_none_or(|machine| machine.line.state == InstanceState::Live);
            let service = known.is_none() || entry.state == MaintenanceState::Service;
            assert!(fine && service, "{id} did not return: {entry:?}");
        }
    }
}

fn is_held(world: &World, id: &str) -> bool {
    let maps = world.maps();
    let mut entries = maps.values().filter_map(|map| map.value.instances.get(id));
    entries.any(nutmegcart_fleet::MapEntry::is_held)
}

#[test]
fn no_fault_breaks_an_invariant_or_hangs_the_wave() {
    let sessions = produce::<Vec<Step>>().with().len(20..120_usize);
    nutmegcart_fuzz::for_each(1_500, &sessions, |steps| {
        let mut world = World::new(1, Allowance::Count(1));
        let _ = world.start();
        for step in steps {
            apply(&mut world, step);
        }
        settle(&mut world);
    });
}
