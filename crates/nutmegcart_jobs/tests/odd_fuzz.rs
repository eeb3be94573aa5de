//! Generated entries, reports, lists of machines and waves with extreme numbers, beside sound ones.

mod support;

use std::time::Duration;

use bolero::TypeGenerator;
use bolero::produce;
use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::Machine;
use nutmegcart_jobs::MachineState;
use nutmegcart_jobs::PollResponse;
use nutmegcart_jobs::ReportedRun;
use nutmegcart_jobs::WaveRequest;
use support::assert_all_completed;
use support::assert_no_violations;
use support::batch_step;
use support::job_id;
use support::seconds;
use support::submit;
use support::task;
use support::worker;
use support::world;

/// Number of generated sequences.
const RUNS: u64 = 200;
const WORKERS: usize = 4;
/// Times that are too large for any clock, or not stated.
const TIMES: [u64; 5] = [0, 1 << 53, 1 << 63, u64::MAX - 1, u64::MAX];
const AMOUNTS: [u64; 6] = [0, 1, 64_000, 1 << 40, 1 << 63, u64::MAX];

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Odd {
    Wait(u8),
    Successor,
    Entry {
        worker: u8,
        born: u8,
        cpu: u8,
        memory: u8,
        remaining: u8,
        draining: bool,
        elsewhere: bool,
        labels: u8,
    },
    Sound(u8),
    Report {
        worker: u8,
        born: u8,
        clock: u8,
        run: u32,
    },
    Machines {
        cpu: u8,
        named: bool,
    },
    Wave {
        number: u64,
        seconds: u64,
        count: u8,
    },
}

fn pick(values: &[u64], index: u8) -> u64 {
    values[usize::from(index) % values.len()]
}

fn apply(world: &mut CellSimulation, owner: &mut usize, odd: Odd) {
    let now = world.now;
    let id = |index: u8| worker(usize::from(index) % WORKERS);
    let scheduler = &mut world.owners[*owner].scheduler;
    match odd {
        Odd::Wait(tenths) => world.run(Duration::from_millis(u64::from(tenths % 20) * 100)),
        Odd::Successor => {
            world.owners[*owner].up = false;
            *owner = world.take_over();
        }
        Odd::Entry {
            worker,
            born,
            cpu,
            memory,
            remaining,
            draining,
            elsewhere,
            labels,
        } => {
            let mut listing = world.workers[&id(worker)].listing.clone();
            if pick(&TIMES, born) > 0 {
                listing.incarnation = pick(&TIMES, born);
            }
            listing.capacity =
                Resources::new(pick(&AMOUNTS, cpu), pick(&AMOUNTS, memory), u32::MAX);
            listing.remaining = Duration::from_millis(pick(&AMOUNTS, remaining));
            listing.draining = draining;
            if elsewhere {
                listing.pool = "elsewhere".into();
            }
            listing.labels = vec!["r-".into(); usize::from(labels)];
            scheduler.worker_listed(listing, now);
        }
        Odd::Sound(worker) => world.list_worker(&id(worker)),
        Odd::Report {
            worker,
            born,
            clock,
            run,
        } => {
            let clock = pick(&TIMES, clock);
            let report = PollResponse {
                incarnation: pick(&TIMES, born),
                clock: if clock == 0 { u64::MAX } else { clock },
                running: vec![ReportedRun {
                    task: task(&job_id(99), u16::MAX, u32::MAX),
                    run,
                    checkpoint: None,
                    progress: u32::MAX,
                    metric: u32::MAX,
                }],
                ended: Vec::new(),
            };
            scheduler.handle_poll_response(&id(worker), now, &report, now);
        }
        Odd::Machines { cpu, named } => {
            let mut list: Vec<Machine> = world.machines.values().cloned().collect();
            let state = if named {
                MachineState::Up
            } else {
                MachineState::Unknown
            };
            list.push(Machine {
                name: if named { "m-odd" } else { "" }.into(),
                pool: "gates".into(),
                state,
                worker: Some("nobody".into()),
                capacity: Resources::new(pick(&AMOUNTS, cpu), u64::MAX, u32::MAX),
                labels: Vec::new(),
            });
            scheduler.update_machines(list, now, now);
        }
        Odd::Wave {
            number,
            seconds,
            count,
        } => {
            let request = WaveRequest {
                number,
                machines: vec!["".into(), "m-odd".into()],
                duration: Duration::from_secs(seconds),
                max_down: usize::try_from(pick(&AMOUNTS, count)).unwrap_or(usize::MAX),
            };
            scheduler.update_wave(request, now);
        }
    }
}

/// Guards against an owner that fails on odd values, and against jobs that are lost after them.
#[test]
fn jobs_complete_beside_odd_values() {
    nutmegcart_fuzz::for_each(RUNS, &produce::<[Odd; 12]>(), |sequence| {
        let mut world = world(78, WORKERS);
        world.pools.truncate(1);
        let mut owner = world.take_over();
        world.run(seconds(1.0));
        let steps = vec![batch_step(6, 16_000, 2_000)];
        let first = submit(&mut world, 1, steps.clone());
        world.run(seconds(0.5));
        for odd in sequence {
            apply(&mut world, &mut owner, *odd);
            let now = world.now;
            let _ = world.owners[owner].scheduler.pool_loads(now);
        }
        let second = submit(&mut world, 2, steps);
        for index in 0..WORKERS {
            world.list_worker(&worker(index));
        }
        world.run(seconds(30.0));
        assert_all_completed(&world, &[first, second]);
        assert_no_violations(&world);
    });
}
