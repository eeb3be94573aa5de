//! Arithmetic on the largest numbers that lists, reports, waves and configurations can state.

mod support;

use std::sync::Arc;
use std::time::Duration;

use nutmegcart_fleet::Resources;
use nutmegcart_jobs::Machine;
use nutmegcart_jobs::MachineState;
use nutmegcart_jobs::PollResponse;
use nutmegcart_jobs::ReportedEnd;
use nutmegcart_jobs::RunEnd;
use nutmegcart_jobs::TicketTiming;
use nutmegcart_jobs::WaveRequest;
use support::assert_all_completed;
use support::assert_no_violations;
use support::batch_step;
use support::seconds;
use support::submit;
use support::task;
use support::worker;
use support::world;

/// Guards against arithmetic that fails on the sum of large capacities.
#[test]
fn capacities_are_added_without_overflow() {
    let mut world = world(72, 2);
    let first = world.take_over();
    world.run(seconds(1.0));
    let now = world.now;
    let large = Resources::new(u64::MAX, u64::MAX, u32::MAX);
    let machine = |name: &str, pool: &str| Machine {
        name: name.into(),
        pool: pool.into(),
        state: MachineState::Up,
        worker: None,
        capacity: large,
        labels: Vec::new(),
    };
    let scheduler = &mut world.owners[first].scheduler;
    let machines = vec![machine("m-1", "shared"), machine("m-2", "shared")];
    scheduler.update_machines(machines, now, now);
    assert!(
        scheduler
            .pool_loads(now)
            .iter()
            .all(|load| load.cpu == u64::MAX)
    );
}

/// Guards against run numbers that overflow at a start or at a change of the owner.
fn largest_run_number_is_followed_by_starts(successor: bool) {
    let mut world = world(74, 1);
    let first = world.take_over();
    world.run(seconds(1.0));
    let id = submit(&mut world, 1, vec![batch_step(8, 32_000, 1_000)]);
    world.run(seconds(0.3));
    let (now, key) = (world.now, task(&id, 0, 7));
    let report = PollResponse {
        incarnation: world.workers[&worker(0)].listing.incarnation,
        clock: 1_300,
        ended: vec![ReportedEnd {
            number: 1,
            task: key,
            run: u32::MAX,
            how: RunEnd::Stopped,
            checkpoint: None,
        }],
        ..PollResponse::default()
    };
    let scheduler = &mut world.owners[first].scheduler;
    scheduler.handle_poll_response(&worker(0), now, &report, now);
    world.run(seconds(1.0));
    if successor {
        world.owners[first].up = false;
        world.take_over();
    }
    world.run(seconds(7.0));
    assert_all_completed(&world, &[id]);
}

cases! { largest_run_number_is_followed_by_starts:
    largest_run_number_under_one_owner => false;
    largest_run_number_before_a_successor => true;
}

/// Guards against a wave whose numbers are at the limits of their types.
#[test]
fn wave_with_extreme_numbers_stops_nothing() {
    let mut world = world(75, 4);
    let first = world.take_over();
    world.run(seconds(1.0));
    let request = WaveRequest {
        number: u64::MAX,
        machines: vec!["".into(), Arc::from("x".repeat(1 << 20)), "m-i-00".into()],
        duration: Duration::try_from_secs_f64(1.8e19).expect("a duration"),
        max_down: usize::MAX,
    };
    let now = world.now;
    world.owners[first].scheduler.update_wave(request, now);
    let jobs = [submit(&mut world, 1, vec![batch_step(6, 16_000, 2_000)])];
    world.run(seconds(9.0));
    assert_all_completed(&world, &jobs);
    assert_no_violations(&world);
}

/// Guards against a queue whose tickets take the longest time.
#[test]
fn longest_ticket_times_do_not_overflow() {
    let mut world = world(76, 2);
    world.queues[0].ticket_timing = Some(TicketTiming {
        fixed_ms: u64::MAX,
        each_ms: u64::MAX,
        valid_ms: u64::MAX,
    });
    let first = world.take_over();
    world.run(seconds(1.0));
    let id = submit(&mut world, 1, vec![batch_step(2, 4_000, 300)]);
    world.run(seconds(1.0));
    let (now, key) = (world.now, task(&id, 0, 0));
    let tickets = [(worker(0), "t".into())];
    let valid = Duration::from_millis(u64::MAX);
    let scheduler = &mut world.owners[first].scheduler;
    scheduler.add_tickets(&key, &tickets, valid, now);
    world.run(seconds(2.0));
}
