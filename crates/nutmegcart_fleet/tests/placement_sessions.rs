//! Golden files of whole placement sessions: every order to a worker, with its time in ms.

mod world;

use nutmegcart_fleet::Size;
use serde_json::json;
use world::World;
use world::job;
use world::ms;
use world::team;

#[test]
fn session_of_a_night() {
    let jobs = vec![
        job("batch", &json!({"tasks": 3, "team": "t", "seconds": 8})),
        job(
            "report",
            &json!({"tasks": 4, "cpu": 6000, "checkpoint": true, "seconds": 40}),
        ),
        job(
            "check",
            &json!({"tasks": 0, "urgent": true, "cpu": 8000, "seconds": 2}),
        ),
        job("giant", &json!({"cpu": 99_000})),
    ];
    let mut world = World::new(&[("a", 2)], jobs, vec![team("t", 8000)]);
    world.run(ms(4000));
    world.log.push("urgent burst".into());
    world.jobs.get_mut("check").expect("job exists").tasks = 2;
    world.configure();
    world.run(ms(6000));
    world.log.push("restart, answers lost".into());
    world.restart();
    world.lose_answers = 2;
    world.run(ms(6000));
    world.log.push("cancellation of one job".into());
    world.cancel("report", 0..4);
    world.run(ms(6000));
    insta::assert_snapshot!(world.log.join("\n"));
}

#[test]
fn session_of_overload() {
    let spec = json!({"tasks": 5, "cpu": 3000, "checkpoint": true, "seconds": 30});
    let mut world = World::new(&[("a", 2)], vec![job("grows", &spec)], Vec::new());
    world.run(ms(3000));
    world.log.push("real use doubles".into());
    world.real.insert("grows".into(), Size::new(6000, 4000, 0));
    world.run(ms(20_000));
    insta::assert_snapshot!(world.log.join("\n"));
}
