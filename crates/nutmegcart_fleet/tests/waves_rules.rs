//! Guards each rule of waves, budgets, lending and duty against being taken out.

mod world;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use nutmegcart_fleet::CapacityPolicy;
use nutmegcart_fleet::Demand;
use nutmegcart_fleet::DutyLease;
use nutmegcart_fleet::MaintenanceState;
use nutmegcart_fleet::WavePhase;
use nutmegcart_fleet::duty::DEFAULT_LEASE;
use nutmegcart_fleet::duty::DutyStep;
use nutmegcart_fleet::planner::CallKind;
use nutmegcart_fleet::wave::MAX_HALTS;
use nutmegcart_model::Code;
use nutmegcart_model::Incarnation;
use nutmegcart_model::record::Allowance;
use nutmegcart_model::record::Weights;
use nutmegcart_platform::InstanceState;
use nutmegcart_platform::MemoryStore;
use nutmegcart_platform::Txn;
use world::CENTRES;
use world::POOLS;
use world::WAVE;
use world::World;

/// Starts a wave in a world of three pools of eight, two instances to a rack of a pool.
fn started(allowance: u32) -> World {
    let world = World::new(2, Allowance::Count(allowance));
    world.start().expect("the wave starts");
    world
}

/// Runs rounds until a wave has this many instances out.
fn until_out(world: &mut World, count: usize) {
    for _ in 0..200 {
        if world.out().len() == count {
            return;
        }
        world.rounds(1);
    }
    panic!("{count} instances were never out at once");
}

#[test]
fn a_failed_or_unknown_instance_uses_up_the_budget() {
    for vanish in [false, true] {
        let mut world = World::new(2, Allowance::Count(1));
        for pool in &POOLS[..2] {
            let id = &world.members(pool)[0];
            if vanish {
                world.machines.remove(id);
            } else {
                world.fail(id);
            }
        }
        world.pass(1);
        world.start().expect("the wave starts");
        world.rounds(20);
        assert_eq!(world.progress().serial, 0, "nothing was taken out");
    }
}

#[test]
fn a_list_that_is_too_old_counts_as_unknown() {
    let mut world = started(2);
    world.lag = Duration::from_secs(40);
    world.rounds(20);
    let progress = world.progress();
    // An empty list at the beginning must not end the wave either.
    assert_eq!((progress.serial, progress.phase), (0, WavePhase::Running));
}

#[test]
fn two_data_centres_cannot_use_the_same_budget() {
    let mut world = started(1);
    // Each holder of a data centre plans from the same revision.
    for index in 0..4 {
        world.plan(index);
    }
    let committed = (0..4).filter(|index| world.commit(*index)).count();
    assert_eq!(committed, 1);
}

#[test]
fn a_change_in_another_data_centre_fences_a_step() {
    let mut world = started(1);
    world.plan(0);
    // The other data centre's map changes without the wave's progress.
    let store = world.memory.store();
    let snapshot = store.range("/nutmegcart/map/b").expect("store answers");
    let map = snapshot.entries[0].clone();
    store
        .txn(&Txn::default().put(map.key, map.value))
        .expect("store answers");
    assert!(!world.commit(0), "the step rested on an older map");
}

#[test]
fn a_budget_lowered_after_planning_fences_a_step() {
    let mut world = started(1);
    world.plan(0);
    world
        .settings
        .budgets
        .insert(POOLS[0].into(), Allowance::Count(0));
    world.publish();
    assert!(!world.commit(0));
}

#[test]
fn a_holder_paused_past_its_lease_changes_nothing() {
    let mut world = started(1);
    world.plan(0);
    world.pass(15);
    // The successor claims the duty and has not written anything yet.
    world.plan(1);
    let before = world.maps();
    assert!(!world.commit(0));
    assert_eq!(world.maps(), before);
    assert!(world.holders[0].duty.held(world.now).is_none());
}

#[test]
fn a_drain_that_a_former_holder_sends_late_changes_nothing() {
    let mut world = started(1);
    world.round(0);
    world.plan(0);
    assert_eq!(
        world.holders[0]
            .pending
            .as_ref()
            .map(|pending| pending.0.calls.len()),
        Some(1)
    );
    world.pause().expect("the wave pauses");
    world.pass(15);
    for _ in 0..4 {
        world.round(1);
        world.pass(5);
    }
    assert!(
        world.out().is_empty(),
        "the successor returned the instance"
    );
    world.call(0);
    world.pass(20);
    world.check();
}

#[test]
fn a_successor_resumes_under_the_same_identifier() {
    let mut world = started(1);
    world.round(0);
    world.plan(0);
    let first = world.holders[0].pending.clone().expect("a plan").0.calls;
    world.call(0);
    world.pass(15);
    world.plan(1);
    world.plan(1);
    let second = world.holders[1].pending.clone().expect("a plan").0.calls;
    assert_eq!((first.len(), &first), (1, &second));
}

#[test]
fn the_step_grows_only_on_success_and_falls_back_on_failure() {
    let mut world = started(2);
    world.rounds(2);
    assert_eq!(world.out().len(), 1, "the first step takes one instance");
    until_out(&mut world, 4);
    assert!(world.progress().maintained >= 3);
    let id = world.out()[0].0.clone();
    world.fail(&id);
    world.rounds(2);
    assert_eq!(
        (world.progress().step_size, world.progress().failures),
        (1, 1)
    );
}

#[test]
fn only_one_rack_of_a_pool_has_instances_out() {
    let mut world = started(6);
    for _ in 0..120 {
        world.rounds(1);
        let mut racks: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for (_, entry) in world.out() {
            let pool = racks.entry(entry.pool.to_string()).or_default();
            pool.insert(entry.rack.to_string());
        }
        assert!(racks.values().all(|racks| racks.len() == 1), "{racks:?}");
    }
    assert_eq!(world.progress().phase, WavePhase::Finished);
}

#[test]
fn a_halt_returns_drains_and_people_are_asked_after_too_many() {
    let mut world = started(2);
    let mut halts = 0;
    for _ in 0..2000 {
        for (id, entry) in world.out() {
            if entry.state == MaintenanceState::Rebooting {
                world.fail(&id);
            }
        }
        world.rounds(1);
        for id in world.machines.keys().cloned().collect::<Vec<_>>() {
            if world.progress().phase == WavePhase::Halted {
                world.repair(&id);
            }
        }
        halts = world.progress().halts;
    }
    assert_eq!(
        (halts, world.progress().phase),
        (MAX_HALTS + 1, WavePhase::Halted)
    );
    assert!(world.out().is_empty());
    world.start().expect("an operator resumes it");
    assert_eq!(world.progress().phase, WavePhase::Running);
}

#[test]
fn failures_of_maintained_instances_halt_the_wave() {
    let mut world = started(2);
    until_out(&mut world, 4);
    let maps = world.maps();
    let entries = maps.values().flat_map(|map| &map.value.instances);
    let done = entries.filter(|(_, entry)| entry.last_run.is_some());
    for (id, _) in done.take(2) {
        world.fail(id);
    }
    world.rounds(2);
    assert_eq!(world.progress().phase, WavePhase::Halted);
}

#[test]
fn a_wave_that_cannot_meet_its_deadline_or_has_no_budget_is_refused() {
    let mut world = World::new(2, Allowance::Count(1));
    let set = |world: &mut World, deadline| {
        let wave = world.settings.waves.get_mut(WAVE);
        wave.expect("wave exists").deadline = Some(deadline);
    };
    // Before anything is learnt, the estimate is reported only.
    set(&mut world, 300);
    world.start().expect("the wave starts");
    while world.progress().phase != WavePhase::Finished {
        world.rounds(1);
    }
    assert_eq!(world.start(), Err(Code::WavePastDeadline));
    set(&mut world, 900);
    assert_eq!(world.start(), Ok(true));
    world.settings.budgets.remove(POOLS[0]);
    assert_eq!(world.start(), Err(Code::WaveWithoutBudget));
}

#[test]
fn a_wave_takes_nothing_that_the_demand_needs() {
    let mut world = World::new(2, Allowance::Count(2));
    let busy = Demand {
        runners: 7.2,
        workers: 0.0,
    };
    let idle = Demand::default();
    world.demand = [(POOLS[0].into(), busy), (POOLS[1].into(), idle)].into();
    world.start().expect("the wave starts");
    for _ in 0..100 {
        world.rounds(1);
        let out = world
            .out()
            .into_iter()
            .filter(|(_, entry)| &*entry.pool == POOLS[0])
            .count();
        // 7.2 runners' worth of demand and the reserve need all eight.
        assert!(out == 0 || world.members(POOLS[0]).len() - out >= 8);
    }
    assert!(
        world.progress().maintained >= 8,
        "the idle pool was maintained"
    );
}

#[test]
fn an_operators_drain_keeps_to_the_budget_and_ends_with_a_reboot() {
    let mut world = World::new(2, Allowance::Count(1));
    let members = world.members(POOLS[0]);
    assert_eq!(world.drain(&members[0]), Ok(true));
    assert_eq!(world.drain(&members[0]), Err(Code::InstanceBusy));
    assert_eq!(world.drain(&members[1]), Err(Code::BudgetExhausted));
    assert_eq!(world.drain("nowhere"), Err(Code::NotInPool));
    world.rounds(10);
    assert_eq!(
        world.machines[&members[0]].line.state,
        InstanceState::Drained
    );
    world.fail(&members[0]);
    world.repair(&members[0]);
    world.pass(1);
    world.rounds(10);
    assert!(world.out().is_empty());
}

#[test]
fn bursts_move_nothing_and_lasting_demand_moves_once() {
    let mut world = World::new(2, Allowance::Count(2));
    let set = |world: &mut World, runners: f64| {
        let idle = Demand {
            runners: 4.0,
            workers: 0.0,
        };
        world.demand = POOLS.map(|pool| (pool.into(), idle)).into();
        let busy = Demand {
            runners,
            workers: 0.0,
        };
        world.demand.insert(POOLS[0].into(), busy);
    };
    for _ in 0..60 {
        set(&mut world, 20.0);
        world.rounds(1);
        set(&mut world, 0.2);
        world.rounds(4);
    }
    let moves = |world: &World| {
        world
            .log
            .iter()
            .filter(|line| line.contains("move"))
            .count()
    };
    let to_busy = |world: &World| world.members(POOLS[0]).len() > 8;
    assert!(!to_busy(&world), "bursts moved instances");
    let before = moves(&world);
    set(&mut world, 8.0);
    world.rounds(300);
    assert!(to_busy(&world), "lasting demand moved nothing");
    assert!(moves(&world) - before <= 4, "{:?}", world.log);
}

#[test]
fn lending_leaves_a_pool_open_to_waves() {
    let mut world = World::new(2, Allowance::Percent(25));
    world.demand = POOLS.map(|pool| (pool.into(), Demand::default())).into();
    world.rounds(300);
    assert_eq!(
        world.members(POOLS[0]).len(),
        4,
        "a quarter of three is none"
    );
    assert_eq!(world.start(), Ok(true));
}

#[test]
fn a_vanished_instance_is_replaced_in_its_pool() {
    let mut world = World::new(2, Allowance::Count(2));
    let id = world.members(POOLS[1])[0].clone();
    let gone = world.machines.remove(&id).expect("exists").line;
    world.add_machine(&gone.centre, &gone.rack);
    world.pass(1);
    world.rounds(2);
    let members = world.members(POOLS[1]);
    assert_eq!((members.len(), members.contains(&id)), (8, false));
}

#[test]
fn weights_decide_reserve_and_hysteresis() {
    let policy = |buffer, rollout, moves| {
        CapacityPolicy::from(Weights {
            buffer,
            rollout,
            moves,
        })
    };
    let (a, b) = (policy(3.0, 1.0, 1.0), policy(1.0, 3.0, 1.0));
    assert!(a.reserve < b.reserve && a.surplus < b.surplus);
    assert!(policy(1.0, 1.0, 3.0).shortage > a.shortage);
    assert_eq!(policy(0.0, 0.0, 0.0), policy(1.0, 1.0, 1.0));
}

#[test]
fn the_end_of_an_outage_brings_no_rush() {
    let mut world = started(2);
    until_out(&mut world, 4);
    world.rounds(4);
    world.store_down = true;
    world.rounds(30);
    world.store_down = false;
    let before = world.progress();
    assert_eq!(world.out().len(), 4, "nothing changed meanwhile");
    for index in 0..4 {
        world.plan(index);
        world.call(index);
    }
    world.pass(1);
    (0..4).for_each(|index| world.round(index));
    assert_eq!(
        world.progress().serial,
        before.serial,
        "it is quiet at first"
    );
    assert!(world.progress().maintained > before.maintained);
    world.pass(4);
    (0..4).for_each(|index| world.round(index));
    let taken = world.progress().serial - before.serial;
    assert!(
        (1..=2).contains(&taken),
        "{taken} were taken out by two data centres"
    );
}

#[test]
fn an_operation_ends_only_after_its_calls_were_answered() {
    let mut world = started(1);
    world.round(0);
    world.pause().expect("the wave pauses");
    for _ in 0..5 {
        // The platform cannot be reached.
        world.plan(0);
        world.commit(0);
        world.pass(2);
    }
    assert_eq!(world.out().len(), 1);
}

#[test]
fn a_lagging_list_does_not_end_an_operation() {
    let mut world = started(1);
    world.round(0);
    world.round(0);
    world.pause().expect("the wave pauses");
    world.lag = Duration::from_secs(15);
    for _ in 0..4 {
        world.round(0);
        world.pass(2);
    }
    assert_eq!(
        world.out().len(),
        1,
        "the list still shows the time before the drain"
    );
    world.rounds(5);
    assert!(world.out().is_empty());
}

#[test]
fn shortage_and_surplus_must_last_and_a_move_keeps_to_the_budget() {
    let busy = |runners| {
        (
            POOLS[0].into(),
            Demand {
                runners,
                workers: 0.0,
            },
        )
    };
    let idle = (POOLS[2].into(), Demand::default());
    // Time in rounds of five seconds, with equal weights: one minute and four minutes.
    for (runners, early, late) in [(8.0, 8, 10), (1.0, 40, 15)] {
        let mut world = World::new(2, Allowance::Percent(25));
        world.demand = [busy(runners), idle.clone()].into();
        world.rounds(early);
        assert_eq!(world.members(POOLS[0]).len(), 8, "too early with {runners}");
        world.rounds(late);
        assert_ne!(world.members(POOLS[0]).len(), 8, "too late with {runners}");
        let mut world = World::new(2, Allowance::Percent(25));
        world.demand = [busy(runners), idle.clone()].into();
        for pool in [POOLS[0], POOLS[2]] {
            for id in &world.members(pool)[..2] {
                world.fail(id);
            }
        }
        world.rounds(early + late);
        assert_eq!(
            world.members(POOLS[0]).len(),
            8,
            "a quarter of seven is one"
        );
    }
}

#[test]
fn effects_stop_before_the_lease_can_have_ended() {
    let memory = MemoryStore::default();
    let store = memory.store();
    let mut duty = DutyLease::new(&CENTRES[0].into(), Incarnation(1));
    let zero = Duration::ZERO;
    duty.granted(
        store.grant_lease(Duration::from_hours(1)).expect("granted"),
        zero,
    );
    let DutyStep::Claim(txn) = duty.next_step(zero) else {
        panic!("a lease without the key claims it");
    };
    // The answer is lost: only the read decides.
    store.txn(&txn).expect("store answers");
    let snapshot = store.range(&duty.key).expect("store answers");
    assert!(duty.claim_read(snapshot.get(&duty.key), zero));
    assert!(duty.held(DEFAULT_LEASE / 2).is_some());
    assert_eq!(duty.held(DEFAULT_LEASE * 7 / 10), None);
    let mut rival = DutyLease::new(&CENTRES[0].into(), Incarnation(2));
    rival.granted(99, zero);
    assert!(!rival.claim_read(snapshot.get(&duty.key), zero));
    assert!(matches!(rival.next_step(zero), DutyStep::Wait(_)));
}

#[test]
fn a_cancelled_operation_uses_up_its_drain_before_the_restore() {
    let mut world = started(1);
    world.round(0);
    world.pause().expect("the wave pauses");
    let mut verbs = Vec::new();
    for _ in 0..6 {
        world.plan(0);
        let plan = world.holders[0].pending.clone().expect("a plan").0;
        verbs.extend(plan.calls.iter().map(|effect| effect.kind));
        world.call(0);
        world.commit(0);
        world.pass(2);
    }
    assert_eq!(verbs, [CallKind::Drain, CallKind::Restore]);
}
