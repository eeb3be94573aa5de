//! Tests the invariants of placement under random sequences of faults.

mod cluster;

use bolero::TypeGenerator;
use bolero::produce;
use cluster::Cluster;
use cluster::job;
use cluster::ms;
use cluster::team;
use nutmegcart_fleet::Resources;
use nutmegcart_fleet::SetAsideReason;
use nutmegcart_fleet::TaskStatus;
use serde_json::json;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Fault {
    Wait(u8),
    Pause(u8),
    Restart,
    LoseWrite,
    LoseAnswers(u8),
    LoseCalls(u8),
    DelayCalls(u8),
    Disconnect(u8),
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

/// Number of fault sequences.
const RUNS: u64 = 2000;
/// Tasks of each job that can run.
const TASKS: u32 = 6;
/// Steps of 1 s within which all tasks must be done once the faults have ended.
const RECOVERY_STEPS: u64 = 60 * 60;

fn cluster_with_all_job_kinds() -> Cluster {
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
    let mut cluster = Cluster::new(&[("a", 12), ("b", 4)], jobs, vec![team("t", 20_000)]);
    cluster.failing_jobs.insert("broken".into());
    cluster
        .real_usage
        .insert("liar".into(), Resources::new(9000, 9000, 0));
    cluster
}

fn apply(cluster: &mut Cluster, fault: Fault) {
    let count = cluster.workers.len();
    let name = |index: u8| {
        let at = usize::from(index) % count;
        if at < 12 {
            format!("a{at:02}")
        } else {
            format!("b{:02}", at - 12)
        }
    };
    match fault {
        Fault::Wait(steps) => (0..steps % 40).for_each(|_| cluster.step(ms(250))),
        Fault::Pause(seconds) => {
            cluster.paused = true;
            (0..seconds % 64).for_each(|_| cluster.step(ms(1000)));
            cluster.paused = false;
        }
        Fault::Restart => cluster.restart(),
        Fault::LoseWrite => cluster.lose_write = true,
        Fault::LoseAnswers(count) => cluster.lose_answers = u32::from(count % 8),
        Fault::LoseCalls(count) => cluster.lose_calls = u32::from(count % 8),
        Fault::DelayCalls(count) => cluster.delay_calls = u32::from(count % 8),
        Fault::Disconnect(index) => cluster.worker_mut(&name(index)).reachable = false,
        Fault::Crash(index) => {
            cluster.reboot(&name(index));
            cluster.worker_mut(&name(index)).up = false;
        }
        Fault::CrashRack(index) => (0..4).for_each(|number| {
            let at = index / 4 * 4 + number;
            cluster.reboot(&name(at));
            cluster.worker_mut(&name(at)).up = false;
        }),
        Fault::Reboot(index) => cluster.reboot(&name(index)),
        Fault::FailAll(index) => cluster.worker_mut(&name(index)).fails_all = true,
        Fault::Heal(index) => {
            let simulated = cluster.worker_mut(&name(index));
            (simulated.up, simulated.reachable, simulated.fails_all) = (true, true, false);
        }
        Fault::Lag(tenths) => cluster.report_delay = ms(u64::from(tenths % 50) * 100),
        Fault::Cancel(index, last) => {
            let name = ["batch", "saved", "again", "liar", "broken"][usize::from(index % 5)];
            cluster.cancel(name, u32::from(last % 4)..u32::from(last % 8));
        }
        Fault::Burst(tasks) => {
            let urgent = cluster.jobs.get_mut("urgent").expect("job exists");
            urgent.tasks = (urgent.tasks + u32::from(tasks % 4)).min(40);
            cluster.configure();
        }
        Fault::Leave(index) => {
            let simulated = cluster.worker_mut(&name(index));
            simulated.worker.leaving ^= true;
            cluster.configure();
        }
    }
}

/// Ends all faults, and requires that all tasks that can run are done and that the job that is too
/// large is still set aside.
fn recover(cluster: &mut Cluster) {
    for simulated in cluster.workers.values_mut() {
        (simulated.up, simulated.reachable, simulated.fails_all) = (true, true, false);
        simulated.worker.leaving = false;
    }
    (
        cluster.lose_calls,
        cluster.lose_answers,
        cluster.delay_calls,
    ) = (0, 0, 0);
    cluster.report_delay = ms(0);
    cluster.configure();
    let runnable = ["batch", "saved", "again", "liar", "urgent"];
    let open = |cluster: &Cluster| {
        let all = runnable.iter().flat_map(|name| {
            let tasks = cluster.jobs[*name].tasks;
            (0..tasks).map(move |index| (*name, index))
        });
        let open = all.filter(|(name, index)| {
            cluster.scheduler.task_status(name, *index) == TaskStatus::Open
        });
        open.collect::<Vec<_>>()
    };
    for _ in 0..RECOVERY_STEPS {
        if open(cluster).is_empty() {
            break;
        }
        cluster.step(ms(1000));
    }
    assert!(
        open(cluster).is_empty(),
        "tasks were never done: {:?}",
        open(cluster)
    );
    let giant = cluster.scheduler.job("giant").expect("job exists");
    assert_eq!(giant.set_aside, Some(SetAsideReason::TooLarge));
    for (name, job) in &cluster.jobs {
        for index in 0..job.tasks {
            let not_run = cluster.scheduler.task_status(name, index) == TaskStatus::NotRun;
            assert!(
                !not_run || !cluster.ran(name, index),
                "{name}/{index} ran but is reported as not run"
            );
        }
    }
}

#[test]
fn invariants_hold_under_faults() {
    nutmegcart_fuzz::for_each(RUNS, &produce::<Vec<Fault>>(), |faults| {
        let mut cluster = cluster_with_all_job_kinds();
        cluster.run(ms(2000));
        for fault in faults {
            apply(&mut cluster, *fault);
            cluster.step(ms(250));
        }
        recover(&mut cluster);
    });
}
