//! Guards against an accepted configuration being lost, or not reaching an entry instance, when the
//! store is restored or unreachable. Runs over loopback connections.

mod site;

use std::time::Duration;

use serde_json::json;

use crate::site::Site;
use crate::site::pool;
use crate::site::wait_until;

/// Starts three entry instances in three data centres and applies a first change.
fn start() -> Site {
    let site = Site::start(&["suva", "nadi", "labasa"], 1, Duration::ZERO);
    assert_eq!(site.apply(0, &[pool("gates", 1)])["generation"], 1);
    wait_until(|| site.generations() == [1, 1, 1]);
    site
}

#[test]
fn restored_store_is_refused_until_it_is_repaired() {
    let site = start();
    let backup = site.platform.store.backup();
    assert_eq!(site.apply(1, &[pool("tours", 1)])["generation"], 2);
    wait_until(|| site.generations() == [2, 2, 2]);
    site.platform.store.restore(&backup);
    for node in 0..3 {
        assert_eq!(site.apply(node, &[pool("ferries", 1)])["code"], "NC2104");
    }
    assert_eq!(site.generations(), [2, 2, 2]);
    let repaired = site.nodes[2].post("/admin/v1/repair", &json!({}));
    assert_eq!(repaired["generation"], 2);
    assert_eq!(site.apply(0, &[pool("ferries", 1)])["generation"], 3);
    wait_until(|| site.generations() == [3, 3, 3]);
    let records = &site.nodes[1].get("/admin/v1/records/pool")["records"];
    assert_eq!(records.as_array().map(Vec::len), Some(3));
}

#[test]
fn instance_without_the_store_gets_the_configuration_from_peers() {
    let site = start();
    site.nodes[2].platform_link.disconnect();
    wait_until(|| site.nodes[2].get("/admin/v1/status")["store"] == "away");
    assert_eq!(site.apply(0, &[pool("tours", 1)])["generation"], 2);
    wait_until(|| site.generations() == [2, 2, 2]);
    assert_eq!(site.apply(2, &[pool("tours", 2)])["code"], "NC2102");
    site.nodes[2].platform_link.reconnect();
    wait_until(|| site.apply(2, &[pool("tours", 2)])["generation"] == 3);
    wait_until(|| site.generations() == [3, 3, 3]);
}

#[test]
fn instance_cut_off_from_its_peers_accepts_no_change() {
    let site = start();
    for (_, link) in &site.nodes[2].peer_links {
        link.disconnect();
    }
    for node in &site.nodes[..2] {
        let towards = node
            .peer_links
            .iter()
            .filter(|(centre, _)| *centre == "labasa");
        towards.for_each(|(_, link)| link.disconnect());
    }
    wait_until(|| site.apply(2, &[pool("tours", 1)])["code"] == "NC2111");
    let accepted = site.apply(0, &[pool("tours", 1)]);
    assert!(accepted["generation"].is_u64(), "{accepted}");
}
