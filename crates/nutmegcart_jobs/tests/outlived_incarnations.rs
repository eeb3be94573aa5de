//! Orders, answers and lists that outlive the incarnation for which they were made.

mod support;

use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fakes::cell::worker::FakeWorker;
use nutmegcart_fakes::cell::worker::listing;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::Action;
use nutmegcart_jobs::JobRecord;
use nutmegcart_jobs::MachineState;
use nutmegcart_jobs::OrderOutcome;
use nutmegcart_jobs::PollRequest;
use nutmegcart_jobs::WorkerOrder;
use nutmegcart_model::WorkerId;
use support::assert_no_violations;
use support::batch_step;
use support::completed;
use support::seconds;
use support::submit;
use support::task;
use support::worker;
use support::world;

fn hear_of_workers(world: &mut CellSimulation) {
    let tasks = batch_step(16, 16_000, 20);
    let job = submit(world, 99, vec![tasks]);
    while !completed(world, &job) {
        world.run(seconds(0.01));
    }
}

fn restart_unlisted(world: &mut CellSimulation, id: &WorkerId) {
    let now = world.now;
    let entry = world.workers[id].listing.clone();
    world.late_entries.insert(id.clone(), entry);
    let restarted = world.workers.get_mut(id);
    restarted.expect("a known worker").restart(now);
}

fn add_other_worker(world: &mut CellSimulation) {
    let size = Resources::new(64_000, 262_144, 0);
    let other = FakeWorker::new(listing("i-other", "gates", "r1-3", size), world.now);
    world.add_worker(other);
}

fn hand_over(world: &mut CellSimulation, first: usize) {
    world.owners[first].up = false;
    let end = world.now;
    let second = world.take_over_partitioned([worker(0)]);
    world.owners[second].scheduler.set_earlier_owners_end(end);
    add_other_worker(world);
    world.run(seconds(14.0));
}

/// Guards against a second run of a task whose start was sent to a worker that had just lost power,
/// and is carried out by the next incarnation within the timeout of the call.
fn start_under_way_while_the_worker_restarts(seed: u64) {
    let mut world = world(seed, 3);
    world.pools.truncate(1);
    let first = world.take_over();
    world.run(seconds(20.4));
    hear_of_workers(&mut world);
    world.crash(&worker(0));
    world.run(seconds(0.1));
    submit(&mut world, 1, vec![batch_step(150, 1_000, 12_000)]);
    world.run(seconds(0.4));
    restart_unlisted(&mut world, &worker(0));
    world.run(seconds(0.1));
    assert!(
        !world.workers[&worker(0)].runs.is_empty(),
        "no start arrived late"
    );
    hand_over(&mut world, first);
    assert_no_violations(&world);
}

cases! { start_under_way_while_the_worker_restarts:
    start_under_way_before_a_change_of_the_owner => 501;
    start_under_way_before_a_change_of_the_owner_again => 502;
}

/// Guards against a second run of a task after an owner stood still for 0.45 s, during which a worker
/// restarted, and then read an answer that the former incarnation had sent.
fn answer_read_late(cut: bool) {
    let mut world = world(503, 3);
    world.pools.truncate(1);
    let first = world.take_over();
    world.run(seconds(20.4));
    let sent = world.now;
    let answer = world.workers[&worker(0)].poll_response(sent);
    world.crash(&worker(0));
    world.run(seconds(0.45));
    restart_unlisted(&mut world, &worker(0));
    let now = world.now;
    let scheduler = &mut world.owners[first].scheduler;
    scheduler.handle_poll_response(&worker(0), sent, &answer, now);
    submit(&mut world, 1, vec![batch_step(150, 1_000, 12_000)]);
    // The start is answered 5 ms later by the new incarnation, whose clock began anew.
    world.run(seconds(0.006));
    let known = world.owners[first].scheduler.worker(&worker(0));
    let restarted = known.expect("a known worker").restarted_at;
    assert!(restarted.is_some(), "event 745 told of the restart");
    if cut {
        world.owners[first].unreachable.insert(worker(0));
        world.lists_machines = false;
        add_other_worker(&mut world);
        world.run(seconds(14.0));
    } else {
        hand_over(&mut world, first);
    }
    assert_no_violations(&world);
}

cases! { answer_read_late:
    answer_read_late_before_a_change_of_the_owner => false;
    answer_read_late_before_a_cut => true;
}

/// Guards against a second run of a task whose start was under way when its worker, which had lost
/// power, was cut off, and is carried out by the next incarnation. The list of machines shows that the
/// worker was down, or nothing does.
fn start_is_under_way_before_a_cut(listed: bool) {
    let mut world = world(504, 3);
    world.pools.truncate(1);
    let first = world.take_over();
    world.run(seconds(20.4));
    hear_of_workers(&mut world);
    world.crash(&worker(0));
    world.run(seconds(0.04));
    submit(&mut world, 1, vec![batch_step(150, 1_000, 12_000)]);
    world.run(seconds(0.02));
    world.owners[first].unreachable.insert(worker(0));
    let now = world.now;
    let scheduler = &mut world.owners[first].scheduler;
    scheduler.poll_failed(&worker(0), "reset", now);
    world.run(seconds(0.44));
    restart_unlisted(&mut world, &worker(0));
    if listed {
        // The list lags by 0.7 s.
        let name = world.workers[&worker(0)].listing.machine.clone();
        let name = name.expect("it has a machine");
        for (after, state) in [(0.2, MachineState::Down), (0.7, MachineState::Up)] {
            let name = name.clone();
            world.after(seconds(after), move |world| {
                let machine = world.machines.get_mut(&name);
                machine.expect("a known machine").state = state;
            });
        }
    }
    world.run(seconds(0.15));
    assert!(
        !world.workers[&worker(0)].runs.is_empty(),
        "no start arrived late"
    );
    add_other_worker(&mut world);
    world.run(seconds(if listed { 2.0 } else { 14.0 }));
    assert_no_violations(&world);
}

cases! { start_is_under_way_before_a_cut:
    start_under_way_before_a_silent_restart => false;
    start_under_way_before_the_list_shows_the_crash => true;
}

/// Guards against a second run of a task of a worker that a list of machines ends, which lags and
/// shows the machine as it was before the worker started.
fn list_older_than_the_worker((state, named): (MachineState, Option<&str>)) {
    let mut world = world(505, 3);
    world.pools.truncate(1);
    let first = world.take_over();
    world.run(seconds(20.4));
    let mut next = world.workers[&worker(0)].listing.clone();
    world.crash(&worker(0));
    world.unlist_worker(&worker(0));
    world.run(seconds(5.0));
    submit(&mut world, 1, vec![batch_step(150, 1_000, 12_000)]);
    world.run(seconds(1.0));
    next.id = "i-next".into();
    next.incarnation = world.unix_ms();
    let next = FakeWorker::new(next, world.now);
    world.add_worker(next);
    world.run(seconds(0.1));
    let id: WorkerId = "i-next".into();
    assert!(
        !world.workers[&id].runs.is_empty(),
        "it got tasks within 0.1 s"
    );
    let mut list: Vec<_> = world.machines.values().cloned().collect();
    for machine in &mut list {
        if machine.worker.as_ref() == Some(&id) {
            machine.state = state;
            machine.worker = named.map(Into::into);
        }
    }
    let now = world.now;
    world.owners[first]
        .scheduler
        .update_machines(list, now, now);
    add_other_worker(&mut world);
    world.run(seconds(14.0));
    assert_no_violations(&world);
}

cases! { list_older_than_the_worker:
    list_still_shows_the_maintenance => (MachineState::Maintained, None);
    list_still_names_the_former_worker => (MachineState::Up, Some("i-00"));
}

/// Guards against a worker that counts as restarted because its owner stood still for 0.8 s and then
/// read the answer to an order.
#[test]
fn paused_owner_takes_no_worker_for_restarted() {
    let mut world = world(506, 3);
    world.pools.truncate(1);
    let first = world.take_over();
    world.run(seconds(20.4));
    let job = submit(&mut world, 1, vec![batch_step(3, 1_000, 12_000)]);
    world.run(seconds(0.1));
    let id = support::first_busy_worker(&world);
    let read_at = world.now;
    let clock = Some(world.workers[&id].clock_ms(read_at));
    let answer = world.workers[&id].poll_response(read_at);
    let scheduler = &mut world.owners[first].scheduler;
    scheduler.handle_poll_response(&id, read_at, &answer, read_at);
    let order = WorkerOrder::Throttle {
        task: task(&job, 0, 0),
        run: 1,
        percent: 100,
    };
    let resumed = read_at + Duration::from_millis(800);
    scheduler.handle_order_outcome(&id, &order, OrderOutcome::Done { clock }, resumed);
    let known = scheduler.worker(&id).expect("a known worker");
    assert_eq!(known.restarted_at, None, "it has not started again");
}

/// Guards against a second run of a task whose lease was extended by a poll for the former
/// incarnation, which the next one carried out 5 s late before it was cut off.
fn poll_carried_out_late(same_owner: bool) {
    let mut world = world(507, 3);
    world.pools.truncate(1);
    let first = world.take_over();
    world.run(seconds(20.4));
    let lease_end = world.workers[&worker(0)].clock_ms(world.now) + 5_000;
    world.crash(&worker(0));
    world.run(seconds(0.5));
    world.restart(&worker(0));
    world.run(seconds(1.0));
    submit(&mut world, 1, vec![batch_step(150, 1_000, 16_000)]);
    world.run(seconds(4.0));
    let (now, fence) = (world.now, world.owners[first].fence);
    let late = PollRequest {
        lease_end: Some(lease_end),
        acked_end: 0,
        max_wait: Duration::ZERO,
    };
    let accepted = world.workers.get_mut(&worker(0)).expect("a known worker");
    assert!(
        accepted.accept_poll(fence, &late, now),
        "its sender has the same token"
    );
    assert!(!accepted.runs.is_empty());
    if same_owner {
        world.owners[first].unreachable.insert(worker(0));
        add_other_worker(&mut world);
        world.run(seconds(9.0));
    } else {
        world.owners[first].up = false;
        let second = world.take_over_partitioned([worker(0)]);
        world.owners[second].scheduler.set_earlier_owners_end(now);
        add_other_worker(&mut world);
        world.run(seconds(9.0));
    }
    assert_no_violations(&world);
}

cases! { poll_carried_out_late:
    poll_carried_out_late_before_a_cut => true;
    poll_carried_out_late_before_a_change_of_the_owner => false;
}

/// Returns how long a task waits for its start order if every call takes `round_trip`, for a task
/// that arrives `offset` after an answer to a poll.
fn time_to_start(round_trip: Duration, offset: Duration) -> Duration {
    let mut world = world(508, 1);
    world.pools.truncate(1);
    let first = world.take_over();
    world.run(seconds(20.4));
    world.owners[first].up = false;
    let id = worker(0);
    let fake = world.workers[&id].clone();
    let job = submit(&mut world, 1, vec![batch_step(1, 1_000, 500)]);
    let accepted = match &world.store.jobs[&job].0 {
        JobRecord::Accepted(accepted) => (**accepted).clone(),
        JobRecord::Ended { .. } | JobRecord::Tombstone { .. } => panic!("it was accepted"),
    };
    let unix = world.unix_ms();
    let scheduler = &mut world.owners[first].scheduler;
    let begin = world.now;
    scheduler.set_ownership(begin, begin + seconds(60.0));
    scheduler.handle_poll_response(&id, begin, &fake.poll_response(begin), begin);
    // Calls that return at a time: the time at which the worker reads its clock, and whether it is
    // the call of the loop.
    let mut calls = Vec::new();
    let call = |calls: &mut Vec<_>, sent: Duration, wait: Duration, looped: bool| {
        calls.push((
            sent + round_trip + wait,
            sent + round_trip / 2 + wait,
            sent,
            looped,
        ));
    };
    let request = scheduler.next_poll(&id, begin).expect("a known worker");
    call(&mut calls, begin, request.max_wait, true);
    let mut added = false;
    let mut now = begin;
    while now < begin + seconds(20.0) {
        now += Duration::from_millis(5);
        let due: Vec<_> = calls.iter().copied().filter(|each| each.0 <= now).collect();
        calls.retain(|each| each.0 > now);
        for (_, read_at, sent, looped) in due {
            scheduler.handle_poll_response(&id, sent, &fake.poll_response(read_at), now);
            if looped {
                let request = scheduler.next_poll(&id, now).expect("a known worker");
                call(&mut calls, now, request.max_wait, true);
            }
        }
        if !added && now >= begin + offset {
            added = true;
            scheduler.add_job(&job, accepted.clone(), 1, false, unix, now);
        }
        if now.saturating_sub(begin).as_millis().is_multiple_of(50) {
            scheduler.tick(unix, now);
        }
        scheduler.run_pass(now);
        for action in scheduler.take_actions() {
            match action {
                Action::Poll { worker } => {
                    let request = scheduler.immediate_poll(&worker, now);
                    request.expect("a known worker");
                    call(&mut calls, now, Duration::ZERO, false);
                }
                Action::Order {
                    order: WorkerOrder::Start(_),
                    ..
                } => {
                    return now.saturating_sub(begin + offset);
                }
                _ => {}
            }
        }
    }
    seconds(20.0)
}

/// Guards against tasks that wait for seconds because calls take 0.35 s, within their timeout: the
/// hold of a start ends before the answer, and the pause after it when the answer is no longer fresh.
#[test]
fn slow_link_delays_no_start_for_seconds() {
    let offsets = (0_u32..60).map(|step| Duration::from_millis(25) * step);
    let times = offsets.map(|offset| time_to_start(Duration::from_millis(350), offset));
    let longest = times.max().expect("some times");
    assert!(longest < seconds(1.0), "a start order took {longest:?}");
}
