//! Operations that run at most once, with several entry instances over loopback.

mod site;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::spawn;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use nutmegcart_entry::EntryInstance;
use nutmegcart_entry::operation::Operations;
use nutmegcart_fakes::TcpRelay;
use nutmegcart_model::Incarnation;
use nutmegcart_request::Coordinator;
use nutmegcart_request::Member;
use nutmegcart_request::Roster;
use serde_json::Value;

use crate::site::Site;
use crate::site::Transcript;
use crate::site::pool;
use crate::site::wait_until;

/// Returns whether an entry instance has a roster of `size` members and can reach all of them.
fn has_joined(entry: &EntryInstance, size: usize) -> bool {
    let members = |c: &mut Coordinator| c.view().roster().members.len();
    entry.operations.with_coordinator(members) == size && entry.operations.is_joined(entry.now())
}

/// Starts three entry instances that serve a pool and agree on a roster.
fn start(service_time: Duration) -> Site {
    let site = Site::start(&["suva", "nadi", "labasa"], 1, service_time);
    site.apply(0, &[pool("gates", 3)]);
    wait_until(|| {
        site.nodes.iter().all(|node| {
            let maps = node.entry.tables.pool_maps.read().clone();
            let assigned: usize = maps.values().map(|map| map.instances.len()).sum();
            assigned == 3 && node.entry.is_ready() && has_joined(&node.entry, 3)
        })
    });
    site
}

fn ticket(site: &Site, node: usize) -> String {
    let answer = site.nodes[node].post("/v1/tickets", &Value::Null);
    answer["ticket"]
        .as_str()
        .expect("a ticket was issued")
        .to_owned()
}

fn call(site: &Site, node: usize, token: &str, ticket: &str, number: u64) -> String {
    let operation = format!("{ticket}/{number}");
    site.nodes[node].call("gates", token, &[("nutmegcart-operation", &operation)])
}

fn call_with_key(site: &Site, node: usize, token: &str, key: &str) -> String {
    site.nodes[node].call("gates", token, &[("idempotency-key", key)])
}

/// Simulates a crash of an entry instance: cuts all its links and ends its control loops.
fn isolate_and_stop(site: &Site, node: usize) {
    let lost = &site.nodes[node];
    lost.http_link.disconnect();
    lost.platform_link.disconnect();
    lost.remote_links.iter().for_each(TcpRelay::disconnect);
    for (index, other) in site.nodes.iter().enumerate() {
        for (centre, link) in &other.peer_links {
            if index == node || *centre == lost.centre {
                link.disconnect();
            }
        }
    }
    lost.entry.stop_control_loops();
}

/// Guards against retries that run again, and against different answers through different entry
/// instances.
#[test]
fn retries_through_any_entry_instance_get_the_first_answer() {
    let site = start(Duration::from_millis(2));
    let log = Transcript::default();
    let ticket = ticket(&site, 0);
    for node in 0..3 {
        log.note(format!("ticket: {}", call(&site, node, "t1", &ticket, 1)));
        log.note(format!(
            "key: {}",
            call_with_key(&site, node, "k1", "monday")
        ));
    }
    log.note(format!(
        "other body: {}",
        call_with_key(&site, 1, "k2", "monday")
    ));
    let forged = ticket.rsplit_once('.').unwrap().0.to_owned() + ".-";
    log.note(format!(
        "other witness: {}",
        call(&site, 1, "t2", &forged, 2)
    ));
    for token in ["t1", "k1", "k2", "t2"] {
        log.note(format!("{token} ran {}", site.oracle.runs(token).started));
    }
    insta::assert_snapshot!(log.text());
}

/// Guards against a second run, and against the verdict "not run" for an operation that may have
/// run, when the owner crashes between dispatch and answer.
#[test]
fn owner_lost_between_dispatch_and_answer() {
    let site = start(Duration::from_millis(2));
    let log = Transcript::default();
    let ticket = ticket(&site, 0);
    log.note(format!("first: {}", call(&site, 0, "t1", &ticket, 1)));
    wait_until(|| {
        let stored = |c: &mut Coordinator| c.ledger().stored_answers();
        site.nodes[1..]
            .iter()
            .any(|node| node.entry.operations.with_coordinator(stored) == 1)
    });
    for runner in &site.runners {
        runner.set_service_time(Duration::from_mins(5));
    }
    let site = Arc::new(site);
    let (caller, second) = (site.clone(), ticket.clone());
    let interrupted_call = spawn(move || call(&caller, 0, "t2", &second, 2));
    wait_until(|| site.oracle.runs("t2").started == 1);
    isolate_and_stop(&site, 0);
    log.note(format!("caller: {}", interrupted_call.join().unwrap()));
    log.note(format!("finished: {}", call(&site, 1, "t1", &ticket, 1)));
    log.note(format!("dispatched: {}", call(&site, 2, "t2", &ticket, 2)));
    log.note(format!("unsent: {}", call(&site, 1, "t3", &ticket, 3)));
    for token in ["t1", "t2", "t3"] {
        log.note(format!("{token} ran {}", site.oracle.runs(token).started));
    }
    insta::assert_snapshot!(log.text());
}

/// Guards against operations with plain keys that run again, or wait for the takeover barrier,
/// after their owner was shut down gracefully.
#[test]
fn keys_survive_the_graceful_shutdown_of_their_owner() {
    let site = start(Duration::from_millis(2));
    let keys: Vec<String> = (0..12).map(|number| format!("key {number}")).collect();
    for key in &keys {
        assert_eq!(call_with_key(&site, 1, key, key), format!("200 {key} done"));
    }
    site.nodes[0].entry.shut_down();
    assert!(
        site.nodes[0]
            .entry
            .lifecycle
            .stopped
            .load(Ordering::Acquire)
    );
    wait_until(|| has_joined(&site.nodes[1].entry, 2) && has_joined(&site.nodes[2].entry, 2));
    for key in &keys {
        assert_eq!(call_with_key(&site, 2, key, key), format!("200 {key} done"));
        assert_eq!(site.oracle.runs(key).started, 1);
    }
    assert_eq!(call_with_key(&site, 2, "new", "new"), "200 new done");
}

/// Guards against a dispatch by an owner whose virtual machine was suspended: other instances may
/// have taken over its operations in the meantime.
#[test]
fn clock_drift_after_suspension_forbids_dispatch_of_plain_keys() {
    let me = Member {
        centre: "suva".into(),
        instance: "entry-1".into(),
        incarnation: Incarnation(1),
        address: String::new(),
    };
    let (start, system) = (Instant::now(), SystemTime::now());
    for (monotonic, wall, kept) in [(60, 60, true), (1, 600, false), (60, 0, false)] {
        let operations = Operations::new(me.clone());
        let roster = Roster::initial(vec![me.clone()], 1);
        operations.offer(&roster, Duration::ZERO);
        operations.confirm(roster.version, Duration::ZERO, (start, system));
        let after = Duration::from_secs;
        operations.check_clocks(start + after(monotonic), system + after(wall));
        assert_eq!(operations.is_joined(after(monotonic)), kept);
    }
}
