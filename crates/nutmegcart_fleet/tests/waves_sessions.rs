//! Snapshots of whole wave sessions. Each line is a committed change with its time in seconds and
//! its data centre.

mod simulation;

use nutmegcart_fleet::WavePhase;
use nutmegcart_model::record::Allowance;
use simulation::Simulation;

/// Runs rounds until the wave is finished and returns the log and the final progress.
fn finish(sim: &mut Simulation) -> String {
    for _ in 0..400 {
        if sim.progress().phase == WavePhase::Finished {
            break;
        }
        sim.run_rounds(1);
    }
    let progress = serde_json::to_string(&sim.progress()).expect("progress is serialisable");
    format!("{}\n{progress}\n", sim.log.join("\n"))
}

#[test]
fn an_uneventful_wave_maintains_everything_once() {
    let mut sim = Simulation::new(2, Allowance::Count(2));
    sim.log.clear();
    sim.start().expect("the wave starts");
    insta::assert_snapshot!(finish(&mut sim));
}

#[test]
fn two_failures_halt_a_wave_until_a_healthy_period_has_passed() {
    let mut sim = Simulation::new(2, Allowance::Count(2));
    sim.log.clear();
    sim.start().expect("the wave starts");
    sim.run_rounds(14);
    let out = sim.instances_out();
    assert!(out.len() >= 2, "two instances are out: {out:?}");
    for (id, _) in &out[..2] {
        sim.fail(id);
    }
    sim.run_rounds(24);
    for (id, _) in &out[..2] {
        sim.repair(id);
    }
    insta::assert_snapshot!(finish(&mut sim));
}

#[test]
fn a_store_outage_stops_the_wave_and_its_end_resumes_it_gradually() {
    let mut sim = Simulation::new(2, Allowance::Count(2));
    sim.log.clear();
    sim.start().expect("the wave starts");
    sim.run_rounds(14);
    sim.store_down = true;
    sim.run_rounds(60);
    sim.store_down = false;
    insta::assert_snapshot!(finish(&mut sim));
}
