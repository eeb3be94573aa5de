//! One test for each mechanism of placement; each fails when its mechanism is taken out.

mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegcart_fleet::Fate;
use nutmegcart_fleet::Scheduler;
use nutmegcart_fleet::SetAside;
use nutmegcart_fleet::Settings;
use nutmegcart_fleet::Size;
use nutmegcart_model::WorkerId;
use nutmegcart_model::record::Job;
use serde_json::json;
use world::Machine;
use world::World;
use world::job;
use world::ms;
use world::team;

/// A world with one pool `a`.
fn pool(size: usize, jobs: Vec<Job>) -> World {
    World::new(&[("a", size)], jobs, Vec::new())
}

fn running(world: &World, job: &str) -> usize {
    let attempts = world.machines.values().flat_map(Machine::running);
    attempts.filter(|attempt| &*attempt.job == job).count()
}

fn logged(world: &World, text: &str) -> usize {
    world.log.iter().filter(|line| line.contains(text)).count()
}

/// Returns the worker that runs the job's only task.
fn place(world: &World, job: &str) -> WorkerId {
    let mut machines = world.machines.values();
    let found = machines.find(|machine| machine.running().any(|attempt| &*attempt.job == job));
    found.expect("the task runs").worker.id.clone()
}

fn running_at(world: &World, worker: &str) -> usize {
    world.machines[worker].running().count()
}

#[test]
fn sizes_too_large_in_the_record_do_not_waste_workers() {
    let spec = json!({"tasks": 60, "cpu": 8000, "memory": 8000, "seconds": 600});
    let mut world = pool(4, vec![job("over", &spec)]);
    world.real.insert("over".into(), Size::new(1000, 1000, 0));
    world.run(ms(3000));
    assert_eq!(running(&world, "over"), 8);
    world.run(ms(60_000));
    assert!(running(&world, "over") >= 48, "{}", running(&world, "over"));
}

#[test]
fn tasks_of_a_job_survive_a_rack() {
    let spec = json!({"tasks": 6, "cpu": 1000, "seconds": 600});
    let mut world = pool(12, vec![job("spread", &spec)]);
    world.run(ms(3000));
    let mut racks: BTreeMap<&str, usize> = BTreeMap::new();
    for machine in world.machines.values() {
        *racks.entry(&machine.worker.rack).or_default() += machine.running().count();
    }
    assert_eq!(racks.into_values().collect::<Vec<_>>(), [2, 2, 2]);
}

#[test]
fn overload_throttles_before_it_moves() {
    let light = json!({"tasks": 4, "cpu": 3000, "checkpoint": true, "seconds": 600});
    let mut world = pool(1, vec![job("grows", &light)]);
    world.run(ms(3000));
    world.real.insert("grows".into(), Size::new(4500, 4000, 0));
    world.run(ms(10_000));
    assert!(logged(&world, "throttle") > 0);
    assert_eq!(logged(&world, "checkpoint"), 0, "{:#?}", world.log);
}

#[test]
fn memory_overload_checkpoints_since_throttling_frees_none() {
    let light = json!({"tasks": 4, "memory": 12_000, "checkpoint": true, "seconds": 600});
    let mut world = pool(1, vec![job("grows", &light)]);
    world.run(ms(3000));
    world
        .real
        .insert("grows".into(), Size::new(4000, 20_000, 0));
    world.run(ms(10_000));
    assert_eq!(logged(&world, "throttle"), 0);
    assert_eq!(running(&world, "grows"), 3);
}

#[test]
fn overload_ends_only_tasks_that_can_be_saved_or_repeated() {
    let fixed = json!({"tasks": 2, "memory": 12_000, "seconds": 600});
    let saved = json!({"tasks": 2, "memory": 12_000, "checkpoint": true, "seconds": 600});
    let mut world = pool(1, vec![job("fixed", &fixed), job("saved", &saved)]);
    world.run(ms(3000));
    world
        .real
        .insert("fixed".into(), Size::new(4000, 24_000, 0));
    world.run(ms(10_000));
    assert_eq!((running(&world, "fixed"), running(&world, "saved")), (2, 1));
}

#[test]
fn tasks_that_cannot_be_saved_or_repeated_outlast_an_overload() {
    let light = json!({"tasks": 4, "memory": 12_000, "seconds": 600});
    let mut world = pool(1, vec![job("fixed", &light)]);
    world.run(ms(3000));
    world
        .real
        .insert("fixed".into(), Size::new(4000, 20_000, 0));
    world.run(ms(10_000));
    assert_eq!(running(&world, "fixed"), 4);
}

/// Cuts the worker of a task off and returns the time until the task starts elsewhere.
fn restart_time(idempotent: bool) -> Duration {
    let spec = json!({"idempotent": idempotent, "seconds": 600});
    let mut world = pool(4, vec![job("one", &spec)]);
    world.run(ms(3000));
    let worker = place(&world, "one");
    world.machine(&worker).linked = false;
    // A clock this far behind ends the task late; `World` fails if it then runs twice.
    world.machine(&worker).behind = ms(1900);
    let cut = world.now;
    while world.started.len() < 2 && world.now < cut + Duration::from_mins(5) {
        world.step(ms(250));
    }
    world.now.saturating_sub(cut)
}

#[test]
fn lapsed_lease_plus_clock_error_precedes_a_second_start() {
    // The lease was last renewed up to 5 s before the cut, and reports end the renewals.
    let time = restart_time(false);
    assert!(time > ms(17_000) && time < ms(40_000), "{time:?}");
}

#[test]
fn idempotent_task_does_not_wait_for_the_lease() {
    let time = restart_time(true);
    assert!(time < ms(12_000), "{time:?}");
}

#[test]
fn successor_distrusts_leases_that_its_predecessor_may_have_renewed() {
    let mut world = pool(4, vec![job("one", &json!({"seconds": 3600}))]);
    world.run(ms(3000));
    let worker = place(&world, "one");
    let mut paused = world.scheduler.clone();
    world.machine(&worker).linked = false;
    world.restart();
    world.run(ms(15_000));
    // The predecessor still reaches the worker and keeps the task alive within its permit.
    for _ in 0..20 {
        world.machine(&worker).linked = true;
        paused.report(world.now, &world.snapshot(&worker));
        for action in paused.renew(world.now) {
            world.carry_out(&action);
        }
        world.machine(&worker).linked = false;
        world.run(ms(5000));
    }
    assert_eq!(running(&world, "one"), 1);
    world.run(Duration::from_mins(16));
    assert_eq!(
        world.started.len(),
        2,
        "the task must start elsewhere in the end"
    );
}

#[test]
fn renewal_without_the_store_ends_at_the_written_permit() {
    let mut world = pool(1, vec![job("one", &json!({"seconds": 36_000}))]);
    world.run(ms(3000));
    let permit = world.scheduler.stored().permit;
    while world.now < permit + ms(60_000) {
        world.paused = true;
        world.step(ms(1000));
        world.deliver_reports();
        for action in world.scheduler.renew(world.now) {
            world.carry_out(&action);
        }
        let expected = usize::from(world.now + ms(5000) < permit);
        assert!(
            running(&world, "one") >= expected,
            "lapsed before the permit"
        );
    }
    assert_eq!(running(&world, "one"), 0);
}

#[test]
fn start_lost_before_a_reboot_is_not_reported_as_not_run() {
    let mut world = pool(1, vec![job("one", &json!({"seconds": 600}))]);
    world.lose_answers = 1;
    world.lag = ms(60_000);
    world.machine("a00").linked = true;
    world.scheduler.report(world.now, &world.snapshot("a00"));
    world.step(ms(250));
    assert!(world.ran("one", 0));
    world.reboot("a00");
    world.cancel("one", 0..1);
    world.run(ms(3000));
    assert_eq!(world.scheduler.fate("one", 0), Fate::Unknown);
}

#[test]
fn job_larger_than_every_worker_waits_for_a_larger_one() {
    let jobs = vec![
        job("giant", &json!({"cpu": 17_000})),
        job("small", &json!({"tasks": 9})),
    ];
    let mut world = pool(4, jobs);
    world.run(ms(20_000));
    let giant = world.scheduler.job("giant").expect("job exists");
    assert_eq!(giant.aside, Some(SetAside::TooLarge));
    assert_eq!(
        world.scheduler.job("small").expect("job exists").done.len(),
        9
    );
    world.machine("a00").worker.capacity = Size::new(32_000, 64_000, 0);
    world.configure();
    world.run(ms(10_000));
    assert_eq!(world.scheduler.fate("giant", 0), Fate::Done);
}

#[test]
fn broken_job_costs_a_few_starts_and_quarantines_nobody() {
    let jobs = vec![
        job("broken", &json!({"tasks": 1000, "cpu": 4000})),
        job("sound", &json!({"tasks": 20})),
    ];
    let mut world = pool(30, jobs);
    world.broken.insert("broken".into());
    world.run(ms(60_000));
    let broken = world.scheduler.job("broken").expect("job exists");
    assert_eq!(broken.aside, Some(SetAside::Failing));
    assert_eq!(world.most_quarantined, 0);
    assert_eq!(
        world.scheduler.job("sound").expect("job exists").done.len(),
        20
    );
    let before = world.started.len();
    world.run(Duration::from_mins(30));
    assert!(world.started.len() - before <= 3, "only trials may start");
}

#[test]
fn repaired_job_resumes_without_an_operator() {
    let mut world = pool(12, vec![job("broken", &json!({"tasks": 40}))]);
    world.broken.insert("broken".into());
    world.run(ms(30_000));
    assert!(
        world
            .scheduler
            .job("broken")
            .expect("job exists")
            .aside
            .is_some()
    );
    world.broken.clear();
    world.run(Duration::from_mins(15));
    assert_eq!(
        world.scheduler.job("broken").expect("job exists").aside,
        None
    );
}

#[test]
fn worker_that_fails_everything_is_quarantined_and_tried_again() {
    let names = ["j1", "j2", "j3", "j4"];
    let spec = json!({"tasks": 200, "cpu": 1000, "seconds": 20});
    let mut world = pool(10, names.map(|name| job(name, &spec)).to_vec());
    world.machine("a03").fails = true;
    world.run(ms(60_000));
    assert!(world.scheduler.is_quarantined("a03"));
    for name in names {
        assert_eq!(world.scheduler.job(name).expect("job exists").aside, None);
    }
    let before = running_at(&world, "a03");
    world.machine("a03").fails = false;
    world.run(Duration::from_mins(11));
    assert!(!world.scheduler.is_quarantined("a03"));
    assert_eq!(before, 0);
}

#[test]
fn bad_roll_out_quarantines_at_most_a_tenth() {
    let names = ["j1", "j2", "j3", "j4", "j5", "j6"];
    let mut world = pool(
        20,
        names.map(|name| job(name, &json!({"tasks": 50}))).to_vec(),
    );
    world
        .machines
        .values_mut()
        .for_each(|machine| machine.fails = true);
    // `World::check` compares the number in quarantine with the cap after every step.
    world.run(Duration::from_mins(5));
    world
        .machines
        .values_mut()
        .for_each(|machine| machine.fails = false);
    world.run(Duration::from_mins(25));
    let done = |name: &str| world.scheduler.job(name).expect("job exists").done.len();
    assert!(names.iter().all(|name| done(name) > 0));
}

#[test]
fn three_bad_workers_do_not_set_a_job_aside() {
    // Found by fuzzing: each bad worker had failed only two jobs, and one of them was blamed.
    let names = ["j1", "j2", "j3"];
    let spec = json!({"tasks": 40, "cpu": 2000, "seconds": 3});
    let mut world = pool(12, names.map(|name| job(name, &spec)).to_vec());
    for worker in ["a00", "a01", "a02"] {
        world.machine(worker).fails = true;
    }
    world.run(Duration::from_mins(2));
    for name in names {
        let job = world.scheduler.job(name).expect("job exists");
        assert_eq!((job.aside, job.done.len()), (None, 40), "{name}");
    }
}

#[test]
fn quota_counts_declared_sizes() {
    let spec = json!({"tasks": 20, "team": "t", "seconds": 60});
    let mut world = World::new(
        &[("a", 10)],
        vec![job("one", &spec)],
        vec![team("t", 20_000)],
    );
    world.real.insert("one".into(), Size::new(500, 500, 0));
    world.run(ms(30_000));
    assert_eq!(running(&world, "one"), 5);
}

/// Fills a pool, submits an urgent task and returns the time until it really starts.
fn urgent_time(deferrable: &serde_json::Value) -> Duration {
    let jobs = vec![
        job("full", deferrable),
        job("late", &json!({"tasks": 0, "urgent": true, "cpu": 6000})),
    ];
    let mut world = pool(8, jobs);
    world.run(ms(5000));
    assert!(running(&world, "full") >= 32);
    world.jobs.get_mut("late").expect("job exists").tasks = 3;
    world.configure();
    let begin = world.now;
    while running(&world, "late") < 3 && world.now < begin + ms(60_000) {
        world.step(ms(250));
    }
    world.now.saturating_sub(begin)
}

#[test]
fn urgent_task_starts_within_limit_by_checkpointing() {
    let full = json!({"tasks": 99, "memory": 16_000, "checkpoint": true, "seconds": 600});
    let time = urgent_time(&full);
    assert!(time <= ms(1700), "{time:?}");
}

#[test]
fn urgent_task_starts_within_limit_by_stopping_what_may_run_again() {
    let full = json!({"tasks": 99, "memory": 16_000, "idempotent": true, "seconds": 600});
    let time = urgent_time(&full);
    assert!(time <= ms(1700), "{time:?}");
}

#[test]
fn slow_checkpoint_does_not_delay_an_urgent_task() {
    let jobs = vec![
        job(
            "full",
            &json!({"tasks": 32, "memory": 16_000, "checkpoint": true, "idempotent": true, "seconds": 600}),
        ),
        job("late", &json!({"tasks": 0, "urgent": true})),
    ];
    let mut world = pool(8, jobs);
    world.save = Duration::from_mins(1);
    world.run(ms(5000));
    world.jobs.get_mut("late").expect("job exists").tasks = 1;
    world.configure();
    world.run(ms(1700));
    assert_eq!(running(&world, "late"), 1);
}

#[test]
fn urgent_task_throttles_processor_use_instead_of_moving_tasks() {
    let jobs = vec![
        job("full", &json!({"tasks": 4, "seconds": 100})),
        job("late", &json!({"tasks": 0, "urgent": true, "seconds": 10})),
    ];
    let mut world = pool(1, jobs);
    world.run(ms(5000));
    world.jobs.get_mut("late").expect("job exists").tasks = 1;
    world.configure();
    world.run(ms(1000));
    assert_eq!((running(&world, "full"), running(&world, "late")), (4, 1));
    world.run(ms(30_000));
    assert_eq!(logged(&world, "to None"), logged(&world, "to Some"));
}

#[test]
fn deferrable_task_does_not_take_the_room_made_for_an_urgent_one() {
    let jobs = vec![
        job(
            "full",
            &json!({"tasks": 1, "memory": 50_000, "checkpoint": true, "seconds": 600}),
        ),
        job(
            "late",
            &json!({"tasks": 0, "urgent": true, "memory": 60_000, "seconds": 600}),
        ),
        job("more", &json!({"tasks": 0, "memory": 10_000, "cpu": 1000})),
    ];
    let mut world = pool(1, jobs);
    world.run(ms(5000));
    for name in ["late", "more"] {
        world.jobs.get_mut(name).expect("job exists").tasks = 1;
    }
    world.configure();
    world.run(ms(1700));
    assert_eq!((running(&world, "late"), running(&world, "more")), (1, 0));
}

#[test]
fn bulk_cancellation_is_one_small_change_and_idempotent() {
    let mut world = pool(
        4,
        vec![job("bulk", &json!({"tasks": 100_000, "seconds": 600}))],
    );
    world.run(ms(3000));
    assert_eq!(running(&world, "bulk"), 16);
    world.cancel("bulk", 0..99_000);
    world.run(ms(3000));
    let stops = logged(&world, "-stop");
    let bytes = serde_json::to_string(world.scheduler.stored())
        .expect("state is JSON")
        .len();
    assert!((16..=32).contains(&stops), "{stops}");
    assert!(bytes < 5000, "{bytes}");
    world.configure();
    world.run(ms(3000));
    assert_eq!(logged(&world, "-stop"), stops);
    assert_eq!(world.scheduler.fate("bulk", 0), Fate::Stopped);
    assert_eq!(world.scheduler.fate("bulk", 98_000), Fate::NotRun);
    assert_eq!(running(&world, "bulk"), 16);
}

#[test]
fn cancellation_survives_the_record_that_named_it() {
    let mut world = pool(2, vec![job("one", &json!({"tasks": 40, "seconds": 2}))]);
    world.cancel("one", 10..40);
    world
        .jobs
        .get_mut("one")
        .expect("job exists")
        .cancel
        .clear();
    world.configure();
    world.run(ms(60_000));
    assert_eq!(world.scheduler.fate("one", 20), Fate::NotRun);
}

/// A pool whose free room is split between two workers, and a job that needs it in one piece.
fn fragmented(seconds: u64) -> World {
    let jobs = vec![
        job(
            "small",
            &json!({"tasks": 2, "cpu": 6000, "checkpoint": true, "seconds": seconds}),
        ),
        job("wide", &json!({"tasks": 0, "cpu": 12_000})),
    ];
    let mut world = pool(2, jobs);
    world.machine("a01").worker.rack = "a-r1".into();
    world.configure();
    world.run(ms(3000));
    world.jobs.get_mut("wide").expect("job exists").tasks = 1;
    world.configure();
    world
}

#[test]
fn blocked_job_gets_room_by_one_move() {
    let mut world = fragmented(6000);
    world.run(Duration::from_mins(5));
    assert_eq!(world.scheduler.fate("wide", 0), Fate::Done);
    assert_eq!(
        logged(&world, "-checkpoint on"),
        logged(&world, "small/0#1-") + logged(&world, "small/1#2-")
    );
}

#[test]
fn move_that_costs_more_than_the_wait_is_not_made() {
    let mut world = fragmented(6000);
    world.run(ms(50_000));
    assert_eq!(logged(&world, "checkpoint"), 0);
}

#[test]
fn leaving_worker_is_emptied_and_receives_nothing() {
    let spec = json!({"tasks": 8, "checkpoint": true, "seconds": 600});
    let mut world = pool(4, vec![job("kept", &spec)]);
    world.run(ms(3000));
    world.machine("a01").worker.leaving = true;
    world.configure();
    world.run(ms(5000));
    assert_eq!(running_at(&world, "a01"), 0);
    assert_eq!(running(&world, "kept"), 8);
}

#[test]
fn task_that_cannot_be_saved_finishes_on_a_leaving_worker() {
    let mut world = pool(4, vec![job("fixed", &json!({"tasks": 8, "seconds": 60}))]);
    world.run(ms(3000));
    let before = running_at(&world, "a01");
    world.machine("a01").worker.leaving = true;
    world.configure();
    world.run(ms(5000));
    assert_eq!(running_at(&world, "a01"), before);
}

#[test]
fn successor_repeats_an_unconfirmed_start_under_the_same_identifier() {
    let mut world = pool(1, vec![job("one", &json!({"seconds": 600}))]);
    world.lose_calls = 1;
    world.run(ms(1250));
    let first = world
        .log
        .last()
        .expect("a start")
        .split(' ')
        .nth(4)
        .map(str::to_owned);
    world.restart();
    world.run(ms(2000));
    assert_eq!(world.started.len(), 1);
    let attempt = world.started.keys().next().expect("a start").to_string();
    assert_eq!(logged(&world, &attempt), world.log.len(), "{first:?}");
}

#[test]
fn outcome_is_forgotten_only_after_it_was_written() {
    let mut world = pool(1, vec![job("one", &json!({"seconds": 1}))]);
    world.run(ms(2000));
    world.lose_write = true;
    world.run(ms(20_000));
    assert_eq!(world.started.len(), 1, "a finished task ran again");
    assert_eq!(world.scheduler.fate("one", 0), Fate::Done);
}

#[test]
fn state_written_by_one_planner_is_read_by_the_next() {
    let mut world = pool(4, vec![job("one", &json!({"tasks": 30, "seconds": 3}))]);
    world.run(ms(5000));
    let text = serde_json::to_string(world.scheduler.stored()).expect("state is JSON");
    let read = serde_json::from_str(&text).expect("state is readable");
    let next = Scheduler::load(Settings::default(), read);
    let again = serde_json::to_string(next.stored()).expect("state is JSON");
    assert_eq!(again.len(), text.len());
}
