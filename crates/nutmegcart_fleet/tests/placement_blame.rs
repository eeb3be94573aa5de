//! Guards the decisions whether a job or a worker is at fault, and what follows from them.

mod cluster;

use std::time::Duration;

use cluster::Cluster;
use cluster::job;
use cluster::ms;
use nutmegcart_fleet::FailureTracker;
use nutmegcart_fleet::Resources;
use nutmegcart_fleet::SetAsideReason;
use nutmegcart_fleet::TaskStatus;
use nutmegcart_model::WorkerId;
use nutmegcart_model::record::Job;
use serde_json::json;

/// A cluster with one pool `a`.
fn pool(size: usize, jobs: Vec<Job>) -> Cluster {
    Cluster::new(&[("a", size)], jobs, Vec::new())
}

fn running_at(cluster: &Cluster, worker: &str) -> usize {
    cluster.machines[worker].running().count()
}

#[test]
fn job_larger_than_every_worker_waits_for_a_larger_one() {
    let jobs = vec![
        job("giant", &json!({"cpu": 17_000})),
        job("small", &json!({"tasks": 9})),
    ];
    let mut cluster = pool(4, jobs);
    cluster.run(ms(20_000));
    let giant = cluster.scheduler.job("giant").expect("job exists");
    assert_eq!(giant.set_aside, Some(SetAsideReason::TooLarge));
    assert_eq!(
        cluster
            .scheduler
            .job("small")
            .expect("job exists")
            .done
            .len(),
        9
    );
    cluster.machine("a00").worker.capacity = Resources::new(32_000, 64_000, 0);
    cluster.configure();
    cluster.run(ms(10_000));
    assert_eq!(cluster.scheduler.task_status("giant", 0), TaskStatus::Done);
}

#[test]
fn broken_job_costs_a_few_starts_and_quarantines_nobody() {
    let jobs = vec![
        job("broken", &json!({"tasks": 1000, "cpu": 4000})),
        job("sound", &json!({"tasks": 20})),
    ];
    let mut cluster = pool(30, jobs);
    cluster.broken.insert("broken".into());
    cluster.run(ms(60_000));
    let broken = cluster.scheduler.job("broken").expect("job exists");
    assert_eq!(broken.set_aside, Some(SetAsideReason::Failing));
    assert_eq!(cluster.most_quarantined, 0);
    assert_eq!(
        cluster
            .scheduler
            .job("sound")
            .expect("job exists")
            .done
            .len(),
        20
    );
    let before = cluster.started.len();
    cluster.run(Duration::from_mins(30));
    assert!(cluster.started.len() - before <= 3, "only trials may start");
}

#[test]
fn repaired_job_resumes_without_an_operator() {
    let mut cluster = pool(12, vec![job("broken", &json!({"tasks": 40}))]);
    cluster.broken.insert("broken".into());
    cluster.run(ms(30_000));
    assert!(
        cluster
            .scheduler
            .job("broken")
            .expect("job exists")
            .set_aside
            .is_some()
    );
    cluster.broken.clear();
    cluster.run(Duration::from_mins(15));
    assert_eq!(
        cluster
            .scheduler
            .job("broken")
            .expect("job exists")
            .set_aside,
        None
    );
}

#[test]
fn worker_that_fails_everything_is_quarantined_and_tried_again() {
    let names = ["j1", "j2", "j3", "j4"];
    let spec = json!({"tasks": 200, "cpu": 1000, "seconds": 20});
    let mut cluster = pool(10, names.map(|name| job(name, &spec)).to_vec());
    cluster.machine("a03").fails = true;
    cluster.run(ms(60_000));
    assert!(cluster.scheduler.is_quarantined("a03"));
    for name in names {
        assert_eq!(
            cluster.scheduler.job(name).expect("job exists").set_aside,
            None
        );
    }
    let before = running_at(&cluster, "a03");
    cluster.machine("a03").fails = false;
    cluster.run(Duration::from_mins(11));
    assert!(!cluster.scheduler.is_quarantined("a03"));
    assert_eq!(before, 0);
}

#[test]
fn bad_roll_out_quarantines_at_most_a_tenth() {
    let names = ["j1", "j2", "j3", "j4", "j5", "j6"];
    let mut cluster = pool(
        20,
        names.map(|name| job(name, &json!({"tasks": 50}))).to_vec(),
    );
    cluster
        .machines
        .values_mut()
        .for_each(|machine| machine.fails = true);
    // `Cluster::check` compares the number in quarantine with the cap after every step.
    cluster.run(Duration::from_mins(5));
    cluster
        .machines
        .values_mut()
        .for_each(|machine| machine.fails = false);
    cluster.run(Duration::from_mins(25));
    let done = |name: &str| cluster.scheduler.job(name).expect("job exists").done.len();
    assert!(names.iter().all(|name| done(name) > 0));
}

#[test]
fn three_bad_workers_do_not_set_a_job_aside() {
    // Found by fuzzing: each bad worker had failed only two jobs, and one of them was blamed.
    let names = ["j1", "j2", "j3"];
    let spec = json!({"tasks": 40, "cpu": 2000, "seconds": 3});
    let mut cluster = pool(12, names.map(|name| job(name, &spec)).to_vec());
    for worker in ["a00", "a01", "a02"] {
        cluster.machine(worker).fails = true;
    }
    cluster.run(Duration::from_mins(2));
    for name in names {
        let job = cluster.scheduler.job(name).expect("job exists");
        assert_eq!((job.set_aside, job.done.len()), (None, 40), "{name}");
    }
}

#[test]
fn failures_of_jobs_set_aside_do_not_count_against_workers() {
    let names = ["j1", "j2", "j3"];
    let spec = json!({"tasks": 60, "cpu": 1000});
    let mut cluster = pool(30, names.map(|name| job(name, &spec)).to_vec());
    cluster.broken.extend(names.map(Into::into));
    cluster.run(ms(60_000));
    let quarantined = |worker: &&WorkerId| cluster.scheduler.is_quarantined(worker);
    assert_eq!(cluster.machines.keys().filter(quarantined).count(), 0);
}

#[test]
fn failures_on_doubtful_workers_weigh_half() {
    let mut blame = FailureTracker::default();
    for number in 0..6 {
        assert!(!blame.is_bad_job("a"), "after {number} workers");
        for name in ["a", "b"] {
            blame.failed(&name.into(), &format!("w{number}").into());
        }
    }
    assert!(blame.is_bad_job("a"));
}

#[test]
fn suspect_worker_of_a_small_pool_gets_one_task_at_a_time() {
    let names = ["j1", "j2", "j3", "j4"];
    let spec = json!({"tasks": 200, "cpu": 1000, "seconds": 20});
    let mut cluster = pool(4, names.map(|name| job(name, &spec)).to_vec());
    cluster.machine("a03").fails = true;
    cluster.run(ms(5000));
    for _ in 0..200 {
        cluster.step(ms(100));
        assert!(running_at(&cluster, "a03") <= 1);
    }
}
