//! Guards against unintended changes of whole sessions; each line is a committed action with its
//! time in seconds and the data centre that took it.

mod world;

use nutmegcart_fleet::WavePhase;
use nutmegcart_model::record::Allowance;
use world::World;

fn finish(world: &mut World) -> String {
    for _ in 0..400 {
        if world.progress().phase == WavePhase::Finished {
            break;
        }
        world.rounds(1);
    }
    let progress = serde_json::to_string(&world.progress()).expect("progress is serialisable");
    format!("{}\n{progress}\n", world.log.join("\n"))
}

#[test]
fn an_uneventful_wave_maintains_everything_once() {
    let mut world = World::new(2, Allowance::Count(2));
    world.log.clear();
    world.start().expect("the wave starts");
    insta::assert_snapshot!(finish(&mut world));
}

#[test]
fn two_failures_halt_a_wave_until_a_healthy_period_has_passed() {
    let mut world = World::new(2, Allowance::Count(2));
    world.log.clear();
    world.start().expect("the wave starts");
    world.rounds(14);
    let out = world.out();
    assert!(out.len() >= 2, "two instances are out: {out:?}");
    for (id, _) in &out[..2] {
        world.fail(id);
    }
    world.rounds(24);
    for (id, _) in &out[..2] {
        world.repair(id);
    }
    insta::assert_snapshot!(finish(&mut world));
}

#[test]
fn a_store_outage_takes_nothing_out_and_its_end_brings_no_rush() {
    let mut world = World::new(2, Allowance::Count(2));
    world.log.clear();
    world.start().expect("the wave starts");
    world.rounds(14);
    world.store_down = true;
    world.rounds(60);
    world.store_down = false;
    insta::assert_snapshot!(finish(&mut world));
}
