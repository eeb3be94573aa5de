//! Reasons why waiting long-running tasks are not started.

mod support;

use std::cell::RefCell;
use std::fmt::Write;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fakes::cell::worker::FakeWorker;
use nutmegcart_fakes::cell::worker::listing;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::PoolConfig;
use nutmegcart_jobs::TicketTiming;
use nutmegcart_jobs::WaitReason;
use nutmegcart_jobs::waiting::MAX_REASONS;
use nutmegcart_jobs::waiting::Rejection;
use nutmegcart_jobs::waiting::Unusable;
use nutmegcart_jobs::waiting::WaitingPool;
use nutmegcart_jobs::worker::ClockReading;
use nutmegcart_jobs::worker::Worker;
use nutmegcart_model::Event;
use nutmegcart_model::log;
use support::batch_step;
use support::first_busy_worker;
use support::long_running_step;
use support::queue;
use support::seconds;
use support::submit;
use support::submit_to;
use support::task;
use support::worker;
use support::world;

/// A state of a cell in which a long-running task waits, and the expected reason.
#[derive(Clone, Copy)]
struct Case {
    workers: usize,
    script: fn(&mut CellSimulation),
    reason: fn(&CellSimulation) -> WaitReason,
}

fn waits(world: &CellSimulation) -> Vec<WaitingPool> {
    let owner = world.owners.last().expect("the cell has an owner");
    owner.scheduler.waiting_long_running(world.now)
}

fn reason_of_state(case: Case) {
    let mut world = world(31, case.workers);
    world.pools.truncate(1);
    world.take_over();
    world.run(seconds(1.0));
    (case.script)(&mut world);
    let pools = waits(&world);
    let tasks: Vec<_> = pools.iter().flat_map(|pool| &pool.tasks).collect();
    let reasons: Vec<_> = tasks.iter().map(|task| task.reason.clone()).collect();
    assert_eq!(reasons, [(case.reason)(&world)]);
    let label = reasons[0].to_string();
    assert!(WaitReason::LABELS.contains(&label.as_str()), "{label}");
}

fn rejected(causes: &[(Rejection, usize)]) -> WaitReason {
    WaitReason::NoneAdmits(causes.iter().copied().collect())
}

fn unusable(cause: Unusable) -> WaitReason {
    WaitReason::NoneUsable([(cause, 1)].into())
}

/// Replaces the owner by one that does not reach the worker with the task.
fn lose_worker_and_owner(world: &mut CellSimulation) {
    submit(world, 1, vec![long_running_step(1)]);
    world.run(seconds(1.0));
    let host = first_busy_worker(world);
    world.owners[0].up = false;
    world.take_over_partitioned([host]);
    world.run(seconds(2.0));
}

fn drain_only_worker(world: &mut CellSimulation) {
    let id = worker(0);
    let state = world.workers.get_mut(&id).expect("the worker exists");
    state.listing.draining = true;
    world.list_worker(&id);
    world.run(seconds(1.0));
}

/// Lets a task fail `count` times, and 0.1 s pass after that.
fn fail_everywhere(world: &mut CellSimulation, count: u32) {
    let key = task(&support::job_id(1), 0, 0);
    world.failing_tasks.insert(key.clone());
    submit(world, 1, vec![long_running_step(1)]);
    while world.checker.failures(&key) < count {
        world.run(seconds(0.001));
    }
    // The owner learns of the end a millisecond later.
    world.run(seconds(0.101));
}

fn submit_with(world: &mut CellSimulation, change: impl FnOnce(&mut nutmegcart_jobs::Step)) {
    let mut step = long_running_step(1);
    change(&mut step);
    submit(world, 1, vec![step]);
    world.run(seconds(1.0));
}

cases! { reason_of_state:
    /// Guards against a blocked task whose reason does not name the worker and the end of the wait.
    unreached_worker_blocks_an_inherited_task => Case {
        workers: 4,
        script: lose_worker_and_owner,
        reason: |world| {
            let since = world.now.saturating_sub(seconds(2.0));
            WaitReason::Blocked {
                worker: first_busy_worker(world),
                since,
                // Validity of the earlier owner, its lease on a clock that is 2 % slow, and the time
                // to kill the run.
                until: since + seconds(6.0) + seconds(5.0).div_f64(0.98) + seconds(0.3),
                workers: 1,
            }
        },
    };
    /// Guards against a task that waits for certain ownership and is reported as without a worker.
    uncertain_ownership_holds_back_a_started_task => Case {
        workers: 1,
        script: |world| {
            submit(world, 1, vec![long_running_step(1)]);
            world.run(seconds(1.0));
            drain_only_worker(world);
            let now = world.now;
            world.owners[0].scheduler.set_ownership(now, now);
        },
        reason: |_| WaitReason::Ownership,
    };
    /// Guards against a leaving worker that is not counted as such.
    draining_worker_is_unusable => Case {
        workers: 1,
        script: |world| {
            drain_only_worker(world);
            submit_with(world, |_| {});
        },
        reason: |_| unusable(Unusable::Draining),
    };
    /// Guards against a silent worker that is not counted as such.
    silent_worker_is_unusable => Case {
        workers: 1,
        script: |world| {
            world.owners[0].unreachable.insert(worker(0));
            world.run(seconds(2.0));
            submit_with(world, |_| {});
        },
        reason: |_| unusable(Unusable::Unreachable),
    };
    /// Guards against a worker that waits for the store and is reported as usable.
    worker_outside_the_stored_state_is_unusable => Case {
        workers: 0,
        script: |world| {
            submit(world, 1, vec![long_running_step(1)]);
            world.store.down = true;
            let size = Resources::new(64_000, 262_144, 0);
            let state = FakeWorker::new(listing("i-00", "gates", "r1-0", size), world.now);
            world.add_worker(state);
            world.run(seconds(0.5));
        },
        reason: |_| unusable(Unusable::NotEnrolled),
    };
    /// Guards against a pool without workers whose tasks have no reason.
    pool_without_workers_has_no_causes => Case {
        workers: 0,
        script: |world| submit_with(world, |_| {}),
        reason: |_| WaitReason::NoneUsable([].into()),
    };
    /// Guards against a missing label that is reported as missing room.
    label_is_missing => Case {
        workers: 3,
        script: |world| submit_with(world, |step| step.label = Some("gpu".into())),
        reason: |_| rejected(&[(Rejection::Label, 3)]),
    };
    /// Guards against the limit per worker that is reported as missing room.
    worker_has_its_share_of_the_step => Case {
        workers: 1,
        script: |world| submit_with(world, |step| step.count = 2),
        reason: |_| rejected(&[(Rejection::WorkerLimit, 1)]),
    };
    /// Guards against a task that fits nowhere and has no reason.
    no_worker_has_room => Case {
        workers: 2,
        script: |world| submit_with(world, |step| step.need = Resources::new(65_000, 8_000, 0)),
        reason: |_| rejected(&[(Rejection::Room, 2)]),
    };
    /// Guards against a missing ticket that is reported as missing room.
    tickets_are_missing => Case {
        workers: 2,
        script: |world| {
            world.queues[0].ticket_timing = Some(TicketTiming { valid_ms: 1_000, fixed_ms: 100, each_ms: 10 });
            submit_with(world, |_| {});
        },
        reason: |_| rejected(&[(Rejection::Ticket, 2)]),
    };
    /// Guards against a task that avoids the only worker with room and is reported as without room.
    task_avoids_a_worker => Case {
        workers: 2,
        script: |world| {
            for number in [1, 2] {
                let need = Resources::new(63_000, 8_000, 0);
                let step = nutmegcart_jobs::Step { need, ..long_running_step(1) };
                submit(world, number, vec![step]);
            }
            world.run(seconds(0.5));
            world.cancel(&support::job_id(2));
            world.run(seconds(0.5));
            let full = first_busy_worker(world);
            let others = world.workers.iter_mut().filter(|(id, _)| **id != full);
            others.for_each(|(_, worker)| worker.failing = true);
            submit(world, 3, vec![long_running_step(1)]);
            world.run(seconds(1.0));
        },
        reason: |_| rejected(&[(Rejection::Avoided, 1), (Rejection::Room, 1)]),
    };
    /// Guards against a task that waits for a suspect worker and is reported as without room.
    worker_with_failures_is_suspect => Case {
        workers: 1,
        script: |world| {
            let id = support::job_id(1);
            world.failing_tasks.insert(task(&id, 0, 0));
            submit(world, 1, vec![batch_step(1, 1_000, 100)]);
            world.run(seconds(0.5));
            // A run without progress has not proved itself.
            world.workers.values_mut().for_each(|worker| worker.hung = true);
            submit(world, 2, vec![long_running_step(1)]);
            world.run(seconds(0.1));
            submit(world, 3, vec![long_running_step(1)]);
            world.run(seconds(0.1));
        },
        reason: |_| rejected(&[(Rejection::Suspect, 1)]),
    };
    /// Guards against a task that waits after failed runs and is reported as startable.
    failed_task_waits_for_its_next_attempt => Case {
        workers: 3,
        script: |world| fail_everywhere(world, 4),
        reason: |_| WaitReason::Backoff {
            failures: 4,
            left: seconds(0.7),
        },
    };
    /// Guards against a task of a gang that waits for the others and is reported as startable.
    another_task_of_the_gang_is_live => Case {
        workers: 3,
        script: |world| {
            submit_with(world, |step| {
                step.count = 2;
                step.gang = true;
            });
            let id = first_busy_worker(world);
            // The end of the other member is not known to the owner.
            let workers = world.workers.iter();
            let mut others = workers.filter(|(other, each)| **other != id && !each.runs.is_empty());
            let other = others.next().expect("another worker runs a task").0.clone();
            world.owners[0].unreachable.insert(other);
            let state = world.workers.get_mut(&id).expect("the worker exists");
            state.listing.draining = true;
            world.list_worker(&id);
            world.run(seconds(0.5));
        },
        reason: |_| WaitReason::Gang,
    };
    /// Guards against a task that is about to be started and is reported as held back.
    admitted_task_is_startable => Case {
        workers: 1,
        script: |world| { submit(world, 1, vec![long_running_step(1)]); },
        reason: |_| WaitReason::Startable,
    };
}

/// Returns a worker that may get tasks.
fn usable_worker() -> Worker {
    let size = Resources::new(64_000, 262_144, 0);
    let mut worker = Worker::new(listing("i-00", "gates", "r1-0", size));
    worker.fenced = true;
    worker.enrolled = true;
    worker.clock_reading = Some(ClockReading {
        clock: 1,
        at: seconds(1.0),
    });
    worker
}

fn cause_of_unusable_worker((change, cause): (fn(&mut Worker), Option<Unusable>)) {
    let mut worker = usable_worker();
    change(&mut worker);
    assert_eq!(worker.unusable(seconds(2.0)), cause);
    assert_eq!(worker.usable(seconds(2.0)), cause.is_none());
}

cases! { cause_of_unusable_worker:
    /// Guards against a worker without faults that gets no tasks.
    worker_without_faults => (|_| {}, None);
    unlisted_worker => (|worker| worker.listed = false, Some(Unusable::Unlisted));
    draining_worker => (|worker| worker.listing.draining = true, Some(Unusable::Draining));
    reserved_worker => (|worker| worker.reserved = true, Some(Unusable::Reserved));
    unreachable_worker => (
        |worker| worker.unreachable_since = Some(seconds(1.0)),
        Some(Unusable::Unreachable),
    );
    unfenced_worker => (|worker| worker.fenced = false, Some(Unusable::NotFenced));
    unenrolled_worker => (|worker| worker.enrolled = false, Some(Unusable::NotEnrolled));
    worker_without_clock => (|worker| worker.clock_reading = None, Some(Unusable::NoClock));
    worker_with_unknown_runs => (|worker| worker.unknown_runs = 1, Some(Unusable::UnknownRuns));
    penalised_worker => (
        |worker| worker.penalised_until = seconds(3.0),
        Some(Unusable::Penalised),
    );
}

thread_local! {
    /// Events that the present thread has logged, with their fields.
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

struct Recorder;

impl log::Log for Recorder {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        struct Fields(String);
        impl<'kvs> log::kv::VisitSource<'kvs> for Fields {
            fn visit_pair(
                &mut self,
                key: log::kv::Key<'kvs>,
                value: log::kv::Value<'kvs>,
            ) -> Result<(), log::kv::Error> {
                write!(self.0, "{key}={value} ")?;
                Ok(())
            }
        }
        let mut fields = Fields(String::new());
        if record.key_values().visit(&mut fields).is_ok() {
            LINES.with_borrow_mut(|lines| lines.push(fields.0));
        }
    }

    fn flush(&self) {}
}

/// Returns the lines of an event that the present thread has logged since the latest call.
fn logged(event: Event) -> Vec<String> {
    let start = format!("event={} ", event.number());
    let lines = LINES.take();
    let of_event = lines.into_iter().filter(|line| line.starts_with(&start));
    of_event.collect()
}

fn record_log() {
    // Another test of this process may have set it.
    let _ = log::set_logger(&Recorder);
    log::set_max_level(log::LevelFilter::Trace);
    LINES.take();
}

fn log_waits(world: &CellSimulation) -> Vec<String> {
    LINES.take();
    let owner = world.owners.last().expect("the cell has an owner");
    owner.scheduler.log_waiting(0, &waits(world), world.now);
    logged(Event::TaskWaiting)
}

/// Guards against a line for each waiting task, and against lines about short waits.
#[test]
fn one_line_a_pool_tells_the_longest_wait() {
    record_log();
    let mut world = world(32, 0);
    world.pools.truncate(1);
    world.queues.push(queue("boats"));
    world
        .pools
        .push(("boats".into(), PoolConfig { spare: false }));
    world.take_over();
    let first = submit(&mut world, 1, vec![long_running_step(1)]);
    world.run(seconds(0.9));
    assert!(log_waits(&world).is_empty());
    for number in 2..92 {
        submit_to(&mut world, number % 2, number, vec![long_running_step(1)]);
    }
    submit(&mut world, 92, vec![batch_step(1, 1_000, 100)]);
    world.run(seconds(0.2));
    let lines = log_waits(&world);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains(&format!(
        "task={first}.0.0.0 tasks=46 age_ms=1100 reason=unusable"
    )));
    world.run(seconds(1.0));
    assert_eq!(log_waits(&world).len(), 2);
    submit(&mut world, 93, vec![long_running_step(90)]);
    let pools = waits(&world);
    assert_eq!((pools[1].total, pools[1].tasks.len()), (136, MAX_REASONS));
}

/// Guards against a wait after failed runs of which the log does not tell how long it lasts.
#[test]
fn log_tells_how_long_a_task_waits_for_its_next_attempt() {
    record_log();
    let mut world = world(36, 3);
    world.pools.truncate(1);
    world.take_over();
    world.run(seconds(1.0));
    fail_everywhere(&mut world, 6);
    world.run(seconds(1.0));
    let lines = log_waits(&world);
    assert_eq!(lines.len(), 1, "{lines:?}");
    let wanted = "age_ms=1100 reason=backoff failures=6 left_ms=2100";
    assert!(lines[0].contains(wanted), "{lines:?}");
    let details = waits(&world)[0].tasks[0].reason.details();
    assert_eq!(details, "failed runs: 6, left: 2100 ms");
}

/// Guards against a lost worker that blocks a task and is not named, and against an end of the
/// block without a line.
#[test]
fn log_names_the_blocking_worker_and_the_end_of_the_block() {
    record_log();
    let mut world = world(33, 4);
    world.pools.truncate(1);
    world.take_over();
    world.run(seconds(1.0));
    lose_worker_and_owner(&mut world);
    let host = first_busy_worker(&world);
    let lines = log_waits(&world);
    assert_eq!(lines.len(), 1, "{lines:?}");
    let wanted = format!("age_ms=2000 reason=blocked worker={host} workers=1 blocked_ms=2000");
    assert!(lines[0].contains(&wanted), "{lines:?}");
    assert!(lines[0].contains("left_ms=9402"), "{lines:?}");
    world.owners[1].unreachable.clear();
    world.run(seconds(2.0));
    let fenced = logged(Event::WorkerFenced);
    let blocker = |line: &&String| line.contains(&format!("worker={host} "));
    let line = fenced.iter().find(blocker).expect("the worker answered");
    assert!(!line.contains("blocked_ms=0"), "{line}");
    assert!(waits(&world).is_empty(), "the run was adopted");
}

/// Guards against a block that ends with the leases and leaves no line, because this owner knew no
/// run of the worker.
#[test]
fn log_tells_that_the_leases_of_a_blocking_worker_expired() {
    record_log();
    let mut world = world(34, 4);
    world.pools.truncate(1);
    world.take_over();
    world.run(seconds(1.0));
    lose_worker_and_owner(&mut world);
    let host = first_busy_worker(&world);
    world.run(seconds(10.0));
    let lines = logged(Event::WorkerLeasesExpired);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(
        lines[0].contains(&format!("worker={host} runs=0 blocked_ms=114")),
        "{lines:?}"
    );
    let clock = "restarted=false clock_age_ms=never read";
    assert!(lines[0].contains(clock), "{lines:?}");
}

/// Guards against a block that ends with the list of machines, and a line that does not tell so.
#[test]
fn log_tells_that_the_list_of_machines_ended_the_block() {
    record_log();
    let mut world = world(35, 4);
    world.pools.truncate(1);
    world.take_over();
    world.run(seconds(1.0));
    submit(&mut world, 1, vec![long_running_step(1)]);
    world.run(seconds(1.0));
    let host = first_busy_worker(&world);
    world.owners[0].up = false;
    world.remove_for_good(&host, None);
    world.take_over();
    LINES.take();
    world.run(seconds(5.0));
    let lines = logged(Event::WorkerReplaced);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("reason=list of machines"), "{lines:?}");
    assert!(!lines[0].contains("blocked_ms=0 "), "{lines:?}");
    assert!(lines[0].contains(&format!("worker={host} ")), "{lines:?}");
    assert!(waits(&world).is_empty(), "the task runs again");
}
