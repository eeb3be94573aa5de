//! Snapshots of whole placement sessions: every action except renewals, with its time in ms.

mod cluster;

use cluster::Cluster;
use cluster::job;
use cluster::ms;
use cluster::team;
use nutmegcart_fleet::Resources;
use serde_json::json;

#[test]
fn mixed_load_with_restart_and_cancellation() {
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
    let mut cluster = Cluster::new(&[("a", 2)], jobs, vec![team("t", 8000)]);
    cluster.run(ms(4000));
    cluster.log.push("urgent burst".into());
    cluster.jobs.get_mut("check").expect("job exists").tasks = 2;
    cluster.configure();
    cluster.run(ms(6000));
    cluster.log.push("restart, answers lost".into());
    cluster.restart();
    cluster.lose_answers = 2;
    cluster.run(ms(6000));
    cluster.log.push("cancellation of one job".into());
    cluster.cancel("report", 0..4);
    cluster.run(ms(6000));
    insta::assert_snapshot!(cluster.log.join("\n"));
}

#[test]
fn cpu_overload_of_a_pool() {
    let spec = json!({"tasks": 5, "cpu": 3000, "checkpoint": true, "seconds": 30});
    let mut cluster = Cluster::new(&[("a", 2)], vec![job("grows", &spec)], Vec::new());
    cluster.run(ms(3000));
    cluster.log.push("real use doubles".into());
    cluster
        .real_usage
        .insert("grows".into(), Resources::new(6000, 4000, 0));
    cluster.run(ms(20_000));
    insta::assert_snapshot!(cluster.log.join("\n"));
}
