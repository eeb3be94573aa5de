//! Tests that budgets hold, operations run once and stale writes fail under random faults.

mod simulation;

use std::time::Duration;

use bolero::TypeGenerator;
use bolero::produce;
use nutmegcart_fleet::Demand;
use nutmegcart_fleet::MaintenanceState;
use nutmegcart_fleet::WavePhase;
use nutmegcart_model::record::Allowance;
use nutmegcart_platform::InstanceState;
use simulation::POOLS;
use simulation::Simulation;

/// An event in the simulated deployment.
#[derive(Clone, Debug, TypeGenerator)]
enum Event {
    AdvanceTime(u8),
    Rounds(u8),
    Round(u8),
    Plan(u8),
    Commit(u8),
    MakeCalls(u8),
    StoreDown(bool),
    StaleSettings(bool),
    LoseAnswers(u8),
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

fn instance_at(sim: &Simulation, index: u8) -> String {
    let count = sim.true_instances.len();
    let id = sim.true_instances.keys().nth(usize::from(index) % count);
    id.cloned().expect("there are instances")
}

fn pool(index: u8) -> &'static str {
    POOLS[usize::from(index) % POOLS.len()]
}

fn apply(sim: &mut Simulation, event: &Event) {
    let holder = |index: &u8| usize::from(*index) % 4;
    match event {
        Event::AdvanceTime(seconds) => sim.advance_time(u64::from(*seconds % 16)),
        Event::Rounds(count) => sim.run_rounds(usize::from(*count % 8)),
        Event::Round(index) => sim.run_round(holder(index)),
        Event::Plan(index) => sim.plan(holder(index)),
        Event::Commit(index) => drop(sim.commit(holder(index))),
        Event::MakeCalls(index) => sim.make_calls(holder(index)),
        Event::StoreDown(down) => sim.store_down = *down,
        Event::StaleSettings(stale) => sim.stale_settings = *stale,
        Event::LoseAnswers(count) => sim.lost_answers = u32::from(*count % 4),
        Event::Lag(seconds) => sim.list_lag = Duration::from_secs(u64::from(*seconds % 45)),
        Event::Fail(index) => sim.fail(&instance_at(sim, *index)),
        Event::FailRack(index) => {
            let rack = sim.true_instances[&instance_at(sim, *index)]
                .instance
                .rack
                .clone();
            let ids: Vec<String> = sim.true_instances.keys().cloned().collect();
            for id in ids {
                if sim.true_instances[&id].instance.rack == rack {
                    sim.fail(&id);
                }
            }
        }
        Event::Repair(index) => sim.repair(&instance_at(sim, *index)),
        Event::Hang(index) => {
            let id = instance_at(sim, *index);
            sim.true_instances
                .get_mut(&id)
                .expect("exists")
                .reboot_hangs = true;
        }
        Event::Vanish(index) => {
            let id = instance_at(sim, *index);
            let gone = sim.true_instances.remove(&id).expect("exists").instance;
            sim.add_instance(&gone.centre, &gone.rack);
        }
        Event::Budget(index, count) => {
            let allowance = Allowance::Count(u32::from(*count % 4));
            sim.settings.budgets.insert(pool(*index).into(), allowance);
            sim.publish();
        }
        Event::Minimum(index, count) => {
            let found = sim.settings.pools.get_mut(pool(*index));
            found.expect("pool exists").minimum = u32::from(*count % 5);
            sim.publish();
        }
        Event::Start => drop(sim.start()),
        Event::Pause => drop(sim.pause()),
        Event::Drain(index) => drop(sim.drain(&instance_at(sim, *index))),
        Event::Demand(index, count) => {
            let runners = f64::from(*count % 8);
            let demand = Demand {
                runners,
                workers: 0.0,
            };
            sim.demand.insert(pool(*index).into(), demand);
        }
    }
    sim.check();
}

/// Ends all faults, and requires that all instances return to service and the wave finishes.
fn recover(sim: &mut Simulation) {
    sim.store_down = false;
    sim.stale_settings = false;
    sim.lost_answers = 0;
    sim.list_lag = Duration::ZERO;
    sim.demand.clear();
    for pool in POOLS {
        sim.settings
            .budgets
            .insert(pool.into(), Allowance::Count(2));
    }
    sim.publish();
    // Hanging reboots fail only after their time limit.
    for minutes in [0, 16, 31, 1] {
        let ids: Vec<String> = sim.true_instances.keys().cloned().collect();
        for id in &ids {
            sim.repair(id);
            let simulated = sim.true_instances.get_mut(id).expect("exists");
            let held = matches!(
                simulated.instance.state,
                InstanceState::Leaving | InstanceState::Drained
            );
            if held && is_held(sim, id) {
                // The operator who drained the instance also reboots it.
                sim.fail(id);
                sim.repair(id);
            }
        }
        sim.advance_time(minutes * 60);
        sim.run_rounds(8);
    }
    let _ = sim.start();
    for _ in 0..30 {
        if sim.progress().phase != WavePhase::Finished {
            sim.run_rounds(5);
        }
    }
    sim.check();
    assert_eq!(
        sim.progress().phase,
        WavePhase::Finished,
        "the wave did not finish: {:?}",
        sim.progress()
    );
    for map in sim.maps().values() {
        for (id, entry) in &map.value.instances {
            let known = sim.true_instances.get(&**id);
            let fine =
                known.is_none_or(|simulated| simulated.instance.state == InstanceState::Live);
            let service = known.is_none() || entry.state == MaintenanceState::Service;
            assert!(fine && service, "{id} did not return: {entry:?}");
        }
    }
}

fn is_held(sim: &Simulation, id: &str) -> bool {
    let maps = sim.maps();
    let mut entries = maps.values().filter_map(|map| map.value.instances.get(id));
    entries.any(nutmegcart_fleet::MapEntry::is_held)
}

#[test]
fn no_fault_breaks_an_invariant_or_hangs_the_wave() {
    let sessions = produce::<Vec<Event>>().with().len(20..120_usize);
    nutmegcart_fuzz::for_each(1_500, &sessions, |events| {
        let mut sim = Simulation::new(1, Allowance::Count(1));
        let _ = sim.start();
        for event in events {
            apply(&mut sim, event);
        }
        recover(&mut sim);
    });
}
