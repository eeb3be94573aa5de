//! One test for each rule of waves, budgets, moves between pools and the duty, which fails if the
//! rule is removed.

mod simulation;

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
use simulation::CENTRES;
use simulation::POOLS;
use simulation::Simulation;
use simulation::WAVE;

/// Starts a wave in a simulation with three pools of eight instances, two in each rack.
fn started(allowance: u32) -> Simulation {
    let sim = Simulation::new(2, Allowance::Count(allowance));
    sim.start().expect("the wave starts");
    sim
}

/// Runs rounds until this many instances are out.
fn run_until_out(sim: &mut Simulation, count: usize) {
    for _ in 0..200 {
        if sim.instances_out().len() == count {
            return;
        }
        sim.run_rounds(1);
    }
    panic!("{count} instances were never out at the same time");
}

#[test]
fn a_failed_or_unknown_instance_uses_up_the_budget() {
    for vanish in [false, true] {
        let mut sim = Simulation::new(2, Allowance::Count(1));
        for pool in &POOLS[..2] {
            let id = &sim.members(pool)[0];
            if vanish {
                sim.true_instances.remove(id);
            } else {
                sim.fail(id);
            }
        }
        sim.advance_time(1);
        sim.start().expect("the wave starts");
        sim.run_rounds(20);
        assert_eq!(sim.progress().serial, 0, "nothing was taken out");
    }
}

#[test]
fn a_list_that_is_too_old_counts_as_unknown() {
    let mut sim = started(2);
    sim.list_lag = Duration::from_secs(40);
    sim.run_rounds(20);
    let progress = sim.progress();
    // The list is empty at first, which must not finish the wave either.
    assert_eq!((progress.serial, progress.phase), (0, WavePhase::Running));
}

#[test]
fn two_data_centres_cannot_use_the_same_budget() {
    let mut sim = started(1);
    // All holders plan from the same revision of the store.
    for index in 0..4 {
        sim.plan(index);
    }
    let committed = (0..4).filter(|index| sim.commit(*index)).count();
    assert_eq!(committed, 1);
}

#[test]
fn a_change_in_another_data_centre_fences_a_step() {
    let mut sim = started(1);
    sim.plan(0);
    // The other data centre's map changes, but not the wave's progress.
    let store = sim.memory_store.store();
    let snapshot = store.range("/nutmegcart/map/b").expect("store answers");
    let map = snapshot.entries[0].clone();
    store
        .txn(&Txn::default().put(map.key, map.value))
        .expect("store answers");
    assert!(!sim.commit(0), "the step depends on an older map");
}

#[test]
fn a_budget_lowered_after_planning_fences_a_step() {
    let mut sim = started(1);
    sim.plan(0);
    sim.settings
        .budgets
        .insert(POOLS[0].into(), Allowance::Count(0));
    sim.publish();
    assert!(!sim.commit(0));
}

#[test]
fn a_holder_paused_past_its_lease_changes_nothing() {
    let mut sim = started(1);
    sim.plan(0);
    sim.advance_time(15);
    // The successor claims the duty but has not written anything yet.
    sim.plan(1);
    let before = sim.maps();
    assert!(!sim.commit(0));
    assert_eq!(sim.maps(), before);
    assert!(sim.holders[0].duty.held(sim.now).is_none());
}

#[test]
fn a_drain_that_a_former_holder_sends_late_changes_nothing() {
    let mut sim = started(1);
    sim.run_round(0);
    sim.plan(0);
    assert_eq!(
        sim.holders[0]
            .pending
            .as_ref()
            .map(|pending| pending.0.calls.len()),
        Some(1)
    );
    sim.pause().expect("the wave pauses");
    sim.advance_time(15);
    for _ in 0..4 {
        sim.run_round(1);
        sim.advance_time(5);
    }
    assert!(
        sim.instances_out().is_empty(),
        "the successor returned the instance"
    );
    sim.make_calls(0);
    sim.advance_time(20);
    sim.check();
}

#[test]
fn a_successor_resumes_under_the_same_identifier() {
    let mut sim = started(1);
    sim.run_round(0);
    sim.plan(0);
    let first = sim.holders[0].pending.clone().expect("a plan").0.calls;
    sim.make_calls(0);
    sim.advance_time(15);
    sim.plan(1);
    sim.plan(1);
    let second = sim.holders[1].pending.clone().expect("a plan").0.calls;
    assert_eq!((first.len(), &first), (1, &second));
}

#[test]
fn the_step_size_grows_on_success_and_resets_on_failure() {
    let mut sim = started(2);
    sim.run_rounds(2);
    assert_eq!(
        sim.instances_out().len(),
        1,
        "the first step takes one instance"
    );
    run_until_out(&mut sim, 4);
    assert!(sim.progress().maintained >= 3);
    let id = sim.instances_out()[0].0.clone();
    sim.fail(&id);
    sim.run_rounds(2);
    assert_eq!((sim.progress().step_size, sim.progress().failures), (1, 1));
}

#[test]
fn only_one_rack_of_a_pool_has_instances_out() {
    let mut sim = started(6);
    for _ in 0..120 {
        sim.run_rounds(1);
        let mut racks: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for (_, entry) in sim.instances_out() {
            let pool = racks.entry(entry.pool.to_string()).or_default();
            pool.insert(entry.rack.to_string());
        }
        assert!(racks.values().all(|racks| racks.len() == 1), "{racks:?}");
    }
    assert_eq!(sim.progress().phase, WavePhase::Finished);
}

#[test]
fn repeated_halts_return_all_instances_and_require_an_operator() {
    let mut sim = started(2);
    let mut halts = 0;
    for _ in 0..2000 {
        for (id, entry) in sim.instances_out() {
            if entry.state == MaintenanceState::Rebooting {
                sim.fail(&id);
            }
        }
        sim.run_rounds(1);
        for id in sim.true_instances.keys().cloned().collect::<Vec<_>>() {
            if sim.progress().phase == WavePhase::Halted {
                sim.repair(&id);
            }
        }
        halts = sim.progress().halts;
    }
    assert_eq!(
        (halts, sim.progress().phase),
        (MAX_HALTS + 1, WavePhase::Halted)
    );
    assert!(sim.instances_out().is_empty());
    sim.start().expect("an operator resumes it");
    assert_eq!(sim.progress().phase, WavePhase::Running);
}

#[test]
fn failures_of_maintained_instances_halt_the_wave() {
    let mut sim = started(2);
    run_until_out(&mut sim, 4);
    let maps = sim.maps();
    let entries = maps.values().flat_map(|map| &map.value.instances);
    let done = entries.filter(|(_, entry)| entry.last_run.is_some());
    for (id, _) in done.take(2) {
        sim.fail(id);
    }
    sim.run_rounds(2);
    assert_eq!(sim.progress().phase, WavePhase::Halted);
}

#[test]
fn a_wave_that_cannot_meet_its_deadline_or_has_no_budget_is_refused() {
    let mut sim = Simulation::new(2, Allowance::Count(1));
    let set = |sim: &mut Simulation, deadline| {
        let wave = sim.settings.waves.get_mut(WAVE);
        wave.expect("wave exists").deadline = Some(deadline);
    };
    // Before an operation was measured, the estimate refuses no wave.
    set(&mut sim, 300);
    sim.start().expect("the wave starts");
    while sim.progress().phase != WavePhase::Finished {
        sim.run_rounds(1);
    }
    assert_eq!(sim.start(), Err(Code::WavePastDeadline));
    set(&mut sim, 900);
    assert_eq!(sim.start(), Ok(true));
    sim.settings.budgets.remove(POOLS[0]);
    assert_eq!(sim.start(), Err(Code::WaveWithoutBudget));
}

#[test]
fn a_wave_keeps_the_capacity_that_demand_needs() {
    let mut sim = Simulation::new(2, Allowance::Count(2));
    let busy = Demand {
        runners: 7.2,
        workers: 0.0,
    };
    let idle = Demand::default();
    sim.demand = [(POOLS[0].into(), busy), (POOLS[1].into(), idle)].into();
    sim.start().expect("the wave starts");
    for _ in 0..100 {
        sim.run_rounds(1);
        let out = sim
            .instances_out()
            .into_iter()
            .filter(|(_, entry)| &*entry.pool == POOLS[0])
            .count();
        // A demand of 7.2 runners and the reserve need all eight.
        assert!(out == 0 || sim.members(POOLS[0]).len() - out >= 8);
    }
    assert!(
        sim.progress().maintained >= 8,
        "the idle pool was maintained"
    );
}

#[test]
fn an_operators_drain_keeps_to_the_budget_and_ends_with_a_reboot() {
    let mut sim = Simulation::new(2, Allowance::Count(1));
    let members = sim.members(POOLS[0]);
    assert_eq!(sim.drain(&members[0]), Ok(true));
    assert_eq!(sim.drain(&members[0]), Err(Code::InstanceBusy));
    assert_eq!(sim.drain(&members[1]), Err(Code::BudgetExhausted));
    assert_eq!(sim.drain("nowhere"), Err(Code::NotInPool));
    sim.run_rounds(10);
    assert_eq!(
        sim.true_instances[&members[0]].instance.state,
        InstanceState::Drained
    );
    sim.fail(&members[0]);
    sim.repair(&members[0]);
    sim.advance_time(1);
    sim.run_rounds(10);
    assert!(sim.instances_out().is_empty());
}

#[test]
fn bursts_move_no_instance_and_lasting_demand_moves_few() {
    let mut sim = Simulation::new(2, Allowance::Count(2));
    let set = |sim: &mut Simulation, runners: f64| {
        let idle = Demand {
            runners: 4.0,
            workers: 0.0,
        };
        sim.demand = POOLS.map(|pool| (pool.into(), idle)).into();
        let busy = Demand {
            runners,
            workers: 0.0,
        };
        sim.demand.insert(POOLS[0].into(), busy);
    };
    for _ in 0..60 {
        set(&mut sim, 20.0);
        sim.run_rounds(1);
        set(&mut sim, 0.2);
        sim.run_rounds(4);
    }
    let moves = |sim: &Simulation| sim.log.iter().filter(|line| line.contains("move")).count();
    let to_busy = |sim: &Simulation| sim.members(POOLS[0]).len() > 8;
    assert!(!to_busy(&sim), "bursts moved instances");
    let before = moves(&sim);
    set(&mut sim, 8.0);
    sim.run_rounds(300);
    assert!(to_busy(&sim), "lasting demand moved nothing");
    assert!(moves(&sim) - before <= 4, "{:?}", sim.log);
}

#[test]
fn moves_leave_a_pool_large_enough_for_waves() {
    let mut sim = Simulation::new(2, Allowance::Percent(25));
    sim.demand = POOLS.map(|pool| (pool.into(), Demand::default())).into();
    sim.run_rounds(300);
    assert_eq!(
        sim.members(POOLS[0]).len(),
        4,
        "25 % of three members allow none out"
    );
    assert_eq!(sim.start(), Ok(true));
}

#[test]
fn a_vanished_instance_is_replaced_in_its_pool() {
    let mut sim = Simulation::new(2, Allowance::Count(2));
    let id = sim.members(POOLS[1])[0].clone();
    let gone = sim.true_instances.remove(&id).expect("exists").instance;
    sim.add_instance(&gone.centre, &gone.rack);
    sim.advance_time(1);
    sim.run_rounds(2);
    let members = sim.members(POOLS[1]);
    assert_eq!((members.len(), members.contains(&id)), (8, false));
}

#[test]
fn a_new_instance_goes_to_the_pool_of_one_that_fails_or_leaves() {
    for state in [InstanceState::Failed, InstanceState::Leaving] {
        let mut sim = Simulation::new(2, Allowance::Count(2));
        let id = sim.members(POOLS[1])[0].clone();
        let lost = sim.true_instances.get_mut(&id).expect("exists");
        lost.instance.state = state;
        let (centre, rack) = (lost.instance.centre.clone(), lost.instance.rack.clone());
        sim.advance_time(1);
        sim.run_rounds(2);
        let known: BTreeSet<String> = sim.true_instances.keys().cloned().collect();
        sim.add_instance(&centre, &rack);
        sim.advance_time(1);
        sim.run_rounds(2);
        let mut added = sim.true_instances.keys().filter(|id| !known.contains(*id));
        let added = added.next().expect("it was added");
        assert_eq!(sim.pool_of(added), POOLS[1], "{state:?}");
    }
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
    assert!(a.reserve < b.reserve && a.surplus_delay < b.surplus_delay);
    assert!(policy(1.0, 1.0, 3.0).shortage_delay > a.shortage_delay);
    assert_eq!(policy(0.0, 0.0, 0.0), policy(1.0, 1.0, 1.0));
}

#[test]
fn instances_are_taken_out_gradually_after_a_store_outage() {
    let mut sim = started(2);
    run_until_out(&mut sim, 4);
    sim.run_rounds(4);
    sim.store_down = true;
    sim.run_rounds(30);
    sim.store_down = false;
    let before = sim.progress();
    assert_eq!(
        sim.instances_out().len(),
        4,
        "nothing changed during the outage"
    );
    for index in 0..4 {
        sim.plan(index);
        sim.make_calls(index);
    }
    sim.advance_time(1);
    (0..4).for_each(|index| sim.run_round(index));
    assert_eq!(
        sim.progress().serial,
        before.serial,
        "no instance is taken out before the jitter has passed"
    );
    assert!(sim.progress().maintained > before.maintained);
    sim.advance_time(4);
    (0..4).for_each(|index| sim.run_round(index));
    let taken = sim.progress().serial - before.serial;
    assert!(
        (1..=2).contains(&taken),
        "two data centres took out {taken} instances"
    );
}

#[test]
fn an_operation_ends_only_after_its_calls_were_answered() {
    let mut sim = started(1);
    sim.run_round(0);
    sim.pause().expect("the wave pauses");
    for _ in 0..5 {
        // The platform cannot be reached, so no call is made.
        sim.plan(0);
        sim.commit(0);
        sim.advance_time(2);
    }
    assert_eq!(sim.instances_out().len(), 1);
}

#[test]
fn a_lagging_list_does_not_end_an_operation() {
    let mut sim = started(1);
    sim.run_round(0);
    sim.run_round(0);
    sim.pause().expect("the wave pauses");
    sim.list_lag = Duration::from_secs(15);
    for _ in 0..4 {
        sim.run_round(0);
        sim.advance_time(2);
    }
    assert_eq!(
        sim.instances_out().len(),
        1,
        "the list still shows the state before the drain"
    );
    sim.run_rounds(5);
    assert!(sim.instances_out().is_empty());
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
    // Numbers of rounds of 5 s; with equal weights the delays are one and four minutes.
    for (runners, rounds_before, rounds_after) in [(8.0, 8, 10), (1.0, 40, 15)] {
        let mut sim = Simulation::new(2, Allowance::Percent(25));
        sim.demand = [busy(runners), idle.clone()].into();
        sim.run_rounds(rounds_before);
        assert_eq!(
            sim.members(POOLS[0]).len(),
            8,
            "moved too early with {runners}"
        );
        sim.run_rounds(rounds_after);
        assert_ne!(
            sim.members(POOLS[0]).len(),
            8,
            "not moved in time with {runners}"
        );
        let mut sim = Simulation::new(2, Allowance::Percent(25));
        sim.demand = [busy(runners), idle.clone()].into();
        for pool in [POOLS[0], POOLS[2]] {
            for id in &sim.members(pool)[..2] {
                sim.fail(id);
            }
        }
        sim.run_rounds(rounds_before + rounds_after);
        assert_eq!(
            sim.members(POOLS[0]).len(),
            8,
            "25 % of seven members allow one out"
        );
    }
}

#[test]
fn platform_calls_stop_before_the_lease_can_have_ended() {
    let memory = MemoryStore::default();
    let store = memory.store();
    let mut duty = DutyLease::new(&CENTRES[0].into(), Incarnation(1));
    let zero = Duration::ZERO;
    duty.granted(
        store.grant_lease(Duration::from_hours(1)).expect("granted"),
        zero,
    );
    let DutyStep::Claim(txn) = duty.next_step(zero) else {
        panic!("a holder with a lease must claim the key");
    };
    // The answer to the claim is lost, so only the read decides.
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
fn a_cancelled_operation_drains_before_it_restores() {
    let mut sim = started(1);
    sim.run_round(0);
    sim.pause().expect("the wave pauses");
    let mut verbs = Vec::new();
    for _ in 0..6 {
        sim.plan(0);
        let plan = sim.holders[0].pending.clone().expect("a plan").0;
        verbs.extend(plan.calls.iter().map(|call| call.kind));
        sim.make_calls(0);
        sim.commit(0);
        sim.advance_time(2);
    }
    assert_eq!(verbs, [CallKind::Drain, CallKind::Restore]);
}
