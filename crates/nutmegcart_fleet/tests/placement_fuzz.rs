//! Guards the placement invariants under every combination of faults.

mod world;

use bolero::TypeGenerator;
use bolero::check;
use nutmegcart_fleet::Fate;
use nutmegcart_fleet::SetAside;
use nutmegcart_fleet::Size;
use serde_json::json;
use world::World;
use world::job;
use world::ms;
use world::team;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Fault {
    Wait(u8),
    Pause(u8),
    Restart,
    LoseWrite,
    LoseAnswers(u8),
    LoseCalls(u8),
    DelayCalls(u8),
    Cut(u8),
    Crash(u8),
    CrashRack(u8),
    Reboot(u8),
    FailAll(u8),
    Heal(u8),
    Lag(u8),
    Cancel(u8, u8),
    Burst(u8),
    Leave(u8),
}

/// Tasks of each runnable job.
const TASKS: u32 = 6;
/// Virtual time within which everything must be done once the faults are over.
const RECOVERY: u64 = 60 * 60;

fn setting() -> World {
    let jobs = vec![
        job("batch", &json!({"tasks": TASKS, "team": "t", "seconds": 9})),
        job(
            "saved",
            &json!({"tasks": TASKS, "checkpoint": true, "idempotent": true, "seconds": 30}),
        ),
        job(
            "again",
            &json!({"tasks": TASKS, "idempotent": true, "cpu": 9000, "pool": "b"}),
        ),
        job(
            "liar",
            &json!({"tasks": TASKS, "checkpoint": true, "cpu": 1000}),
        ),
        job(
            "urgent",
            &json!({"tasks": 0, "urgent": true, "team": "t", "idempotent": true}),
        ),
        job("broken", &json!({"tasks": 40, "pool": "b"})),
        job("giant", &json!({"tasks": 3, "cpu": 17000})),
    ];
    let mut world = World::new(&[("a", 12), ("b", 4)], jobs, vec![team("t", 20_000)]);
    world.broken.insert("broken".into());
    world.real.insert("liar".into(), Size::new(9000, 9000, 0));
    world
}

fn apply(world: &mut World, fault: Fault) {
    let count = world.machines.len();
    let name = |pick: u8| {
        let at = usize::from(pick) % count;
        if at < 12 {
            format!("a{at:02}")
        } else {
            format!("b{:02}", at - 12)
        }
    };
    match fault {
        Fault::Wait(steps) => (0..steps % 40).for_each(|_| world.step(ms(250))),
        Fault::Pause(seconds) => {
            world.paused = true;
            (0..seconds % 64).for_each(|_| world.step(ms(1000)));
            world.paused = false;
        }
        Fault::Restart => world.restart(),
        Fault::LoseWrite => world.lose_write = true,
        Fault::LoseAnswers(count) => world.lose_answers = u32::from(count % 8),
        Fault::LoseCalls(count) => world.lose_calls = u32::from(count % 8),
        Fault::DelayCalls(count) => world.delay_calls = u32::from(count % 8),
        Fault::Cut(pick) => world.machine(&name(pick)).linked = false,
        Fault::Crash(pick) => {
            world.reboot(&name(pick));
            world.machine(&name(pick)).up = false;
        }
        Fault::CrashRack(pick) => (0..4).for_each(|number| {
            let at = pick / 4 * 4 + number;
            world.reboot(&name(at));
            world.machine(&name(at)).up = false;
        }),
        Fault::Reboot(pick) => world.reboot(&name(pick)),
        Fault::FailAll(pick) => world.machine(&name(pick)).fails = true,
        Fault::Heal(pick) => {
            let machine = world.machine(&name(pick));
            (machine.up, machine.linked, machine.fails) = (true, true, false);
        }
        Fault::Lag(tenths) => world.lag = ms(u64::from(tenths % 50) * 100),
        Fault::Cancel(pick, last) => {
            let name = ["batch", "saved", "again", "liar", "broken"][usize::from(pick % 5)];
            world.cancel(name, u32::from(last % 4)..u32::from(last % 8));
        }
        Fault::Burst(tasks) => {
            let urgent = world.jobs.get_mut("urgent").expect("job exists");
            urgent.tasks = (urgent.tasks + u32::from(tasks % 4)).min(40);
            world.configure();
        }
        Fault::Leave(pick) => {
            let machine = world.machine(&name(pick));
            machine.worker.leaving ^= true;
            world.configure();
        }
    }
}

/// Ends every fault and requires that all work that can run is done, and nothing else is blamed.
fn recover(world: &mut World) {
    for machine in world.machines.values_mut() {
        (machine.up, machine.linked, machine.fails) = (true, true, false);
        machine.worker.leaving = false;
    }
    (world.lose_calls, world.lose_answers, world.delay_calls) = (0, 0, 0);
    world.lag = ms(0);
    world.configure();
    let runnable = ["batch", "saved", "again", "liar", "urgent"];
    let open = |world: &World| {
        let all = runnable.iter().flat_map(|name| {
            let tasks = world.jobs[*name].tasks;
            (0..tasks).map(move |index| (*name, index))
        });
        let open = all.filter(|(name, index)| world.scheduler.fate(name, *index) == Fate::Open);
        open.collect::<Vec<_>>()
    };
    for _ in 0..RECOVERY {
        if open(world).is_empty() {
            break;
        }
        world.step(ms(1000));
    }
    assert!(open(world).is_empty(), "never done: {:?}", open(world));
    let giant = world.scheduler.job("giant").expect("job exists");
    assert_eq!(giant.aside, Some(SetAside::TooLarge));
    for (name, job) in &world.jobs {
        for index in 0..job.tasks {
            let not_run = world.scheduler.fate(name, index) == Fate::NotRun;
            assert!(!not_run || !world.ran(name, index), "{name}/{index} ran");
        }
    }
}

#[test]
fn invariants_hold_under_faults() {
    check!()
        .with_type::<Vec<Fault>>()
        .cloned()
        .for_each(|faults| {
            let mut world = setting();
            world.run(ms(2000));
            for fault in faults {
                apply(&mut world, fault);
                world.step(ms(250));
            }
            recover(&mut world);
        });
}
