//! Tests of the operators' calls for waves and drains over loopback.

mod site;

use std::time::Duration;

use serde_json::Value;

use crate::site::Site;
use crate::site::budget;
use crate::site::pool;
use crate::site::wait_until;
use crate::site::wave;

#[test]
fn operators_drain_and_pause_within_the_budget() {
    let site = Site::start(&["suva", "nadi"], 2, Duration::from_millis(1));
    let records = [
        pool("gates", 4),
        budget("gates", 1),
        wave("monthly", &["gates"]),
    ];
    site.apply(0, &records);
    let node = &site.nodes[0];
    let post = |path: &str| node.post(&format!("/admin/v1/{path}"), &Value::Null);
    let status = || node.get("/admin/v1/waves/monthly");
    wait_until(|| node.get("/admin/v1/status")["pools"]["gates"] == 4);
    assert_eq!(post("drain/nowhere")["code"], "NC3003");
    // The instance is in the other data centre, whose duty holder performs the drain.
    assert_eq!(post("drain/nadi-0")["instance"], "nadi-0");
    assert_eq!(post("drain/suva-0")["code"], "NC3004");
    wait_until(|| site.out_of_service() == 1);
    assert_eq!(status()["code"], "NC3001", "the wave was never started");
    assert_eq!(post("waves/monthly/start")["total"], 4);
    assert_eq!(post("waves/monthly/pause")["state"], "paused");
    assert_eq!(post("waves/monthly/pause")["code"], "NC3011");
    assert_eq!(status()["done"], 0, "the drain uses the budget up");
}

/// Guards against a change of a wave that is reported as unknown, or as a conflict, because the
/// store's answer was lost after the change was made.
#[test]
fn wave_call_whose_answer_is_lost_is_settled() {
    let site = Site::start(&["suva"], 2, Duration::from_millis(1));
    let records = [
        pool("gates", 2),
        budget("gates", 0),
        wave("monthly", &["gates"]),
    ];
    site.apply(0, &records);
    site.apply(0, &[budget("gates", 1)]);
    let node = &site.nodes[0];
    wait_until(|| node.get("/admin/v1/status")["pools"]["gates"] == 2);
    // The drain uses the budget up, so the wave does not go on and change by itself.
    node.post("/admin/v1/drain/suva-0", &Value::Null);
    wait_until(|| site.out_of_service() == 1);
    for (action, state) in [("start", "running"), ("pause", "paused")] {
        // The control loops of the instance may use one of the lost answers up.
        site.platform.set_faults(|faults| faults.lost_responses = 6);
        let answer = node.post(&format!("/admin/v1/waves/monthly/{action}"), &Value::Null);
        site.platform.set_faults(|faults| faults.lost_responses = 0);
        assert_eq!(answer["state"], state, "{action}: {answer}");
    }
}
