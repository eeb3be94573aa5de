//! Sessions of several entry instances over loopback, compared with snapshots.

mod site;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::thread::sleep;
use std::thread::spawn;
use std::time::Duration;

use nutmegcart_fakes::FakePlatform;
use nutmegcart_platform::InstanceState;
use serde_json::json;

use crate::site::Site;
use crate::site::Transcript;
use crate::site::budget;
use crate::site::pool;
use crate::site::wait_until;
use crate::site::wave;

const SERVICE_TIME: Duration = Duration::from_millis(2);

/// Records the maximum number of runners that were out of service at the same time.
struct OutOfServiceMonitor {
    stop: Arc<AtomicBool>,
    maximum: Arc<AtomicUsize>,
}

impl OutOfServiceMonitor {
    fn start(platform: &FakePlatform) -> Self {
        let (stop, maximum) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicUsize::new(0)),
        );
        let (ended, seen, platform) = (stop.clone(), maximum.clone(), platform.clone());
        spawn(move || {
            while !ended.load(Ordering::Acquire) {
                let instances = platform.instances();
                let live = |state| state == InstanceState::Live;
                let out = instances
                    .iter()
                    .filter(|instance| !live(instance.state))
                    .count();
                seen.fetch_max(out, Ordering::AcqRel);
                sleep(Duration::from_millis(1));
            }
        });
        Self { stop, maximum }
    }

    /// Stops the recording and returns the maximum.
    fn maximum(&self) -> usize {
        self.stop.store(true, Ordering::Release);
        self.maximum.load(Ordering::Acquire)
    }
}

fn wait_until_ready(site: &Site, runners: usize) {
    wait_until(|| {
        site.nodes.iter().all(|node| {
            let assigned: usize = node
                .entry
                .tables
                .pool_maps
                .read()
                .values()
                .map(|map| map.instances.len())
                .sum();
            assigned == runners && node.entry.is_ready()
        })
    });
}

fn wave_state(site: &Site, node: usize) -> String {
    let answer = site.nodes[node].get("/admin/v1/waves/monthly");
    format!(
        "{} {} of {}",
        answer["state"], answer["done"], answer["total"]
    )
    .replace('"', "")
}

/// Guards against three faults when a data centre is cut off during a wave: it stops serving, its
/// instances are maintained although their state is unknown, or the availability budget is
/// exceeded when it is connected again.
#[test]
fn partition_of_a_data_centre_during_a_wave() {
    let site = Site::start(&["suva", "nadi", "labasa"], 2, SERVICE_TIME);
    let log = Transcript::default();
    let records = [
        pool("gates", 6),
        budget("gates", 1),
        wave("monthly", &["gates"]),
    ];
    log.note(format!("apply: {}", site.apply(0, &records)["generation"]));
    wait_until_ready(&site, 6);
    let monitor = OutOfServiceMonitor::start(&site.platform);
    site.isolate("labasa");
    log.note("labasa is cut off from the platform and the others");
    let started = site.nodes[0].post("/admin/v1/waves/monthly/start", &serde_json::Value::Null);
    log.note(format!("wave over {} instances", started["total"]));
    wait_until(|| site.reboots("suva") + site.reboots("nadi") == 4);
    wait_until(|| site.out_of_service() == 0);
    log.note(format!(
        "rebooted in labasa meanwhile: {}",
        site.reboots("labasa")
    ));
    log.note(format!(
        "call in labasa: {}",
        site.nodes[2].call("gates", "t1", &[])
    ));
    log.note(format!(
        "call in suva: {}",
        site.nodes[0].call("gates", "t2", &[])
    ));
    log.note(format!(
        "apply: {}",
        site.apply(0, &[pool("gates", 7)])["generation"]
    ));
    wait_until(|| site.generations()[..2] == [2, 2]);
    log.note(format!("generations: {:?}", site.generations()));
    site.rejoin("labasa");
    log.note("labasa is back");
    wait_until(|| site.generations() == [2, 2, 2]);
    log.note(format!("generations: {:?}", site.generations()));
    wait_until(|| wave_state(&site, 0).starts_with("finished"));
    log.note(format!("wave: {}", wave_state(&site, 0)));
    log.note(format!("rebooted in labasa: {}", site.reboots("labasa")));
    log.note(format!(
        "maximum out of service at once: {}",
        monitor.maximum()
    ));
    log.note(format!(
        "requests interrupted: {}",
        site.oracle.interrupted()
    ));
    insta::assert_snapshot!(log.text());
}

/// Sends requests through a node until `stop` is set, and returns the answers.
fn send_requests(site: &Arc<Site>, node: usize, stop: &Arc<AtomicBool>) -> JoinHandle<Vec<String>> {
    let (site, stop) = (site.clone(), stop.clone());
    spawn(move || {
        let mut answers = Vec::new();
        while !stop.load(Ordering::Acquire) {
            let token = format!("load-{node}-{}", answers.len());
            let answer = site.nodes[node].call("gates", &token, &[]);
            answers.push(answer.replace(&token, "token"));
        }
        answers
    })
}

/// Guards against a shutdown that interrupts requests in flight, or that refuses requests before
/// readiness has failed and the load balancer has had time to react.
#[test]
fn shutdown_under_load() {
    let site = Arc::new(Site::start(&["suva", "nadi"], 2, SERVICE_TIME));
    let log = Transcript::default();
    let records = [pool("gates", 4), budget("gates", 1)];
    log.note(format!("apply: {}", site.apply(0, &records)["generation"]));
    wait_until_ready(&site, 4);
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..8)
        .map(|index| send_requests(&site, index % 2, &stop))
        .collect();
    wait_until(|| site.runners.iter().all(|runner| runner.started() > 20));
    let entry = site.nodes[1].entry.clone();
    let shutdown = spawn(move || entry.shut_down());
    wait_until(|| !site.nodes[1].entry.is_ready());
    log.note(format!("readiness fails: {}", site.nodes[1].get("/readyz")));
    shutdown.join().expect("the shutdown ends");
    log.note("shutdown ended");
    log.note(format!(
        "call to the stopped instance: {}",
        site.nodes[1].call("gates", "t1", &[])
    ));
    log.note(format!(
        "call to the other instance: {}",
        site.nodes[0].call("gates", "t2", &[])
    ));
    stop.store(true, Ordering::Release);
    let answers = callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("a caller ends"));
    let distinct: BTreeSet<String> = answers.collect();
    for answer in distinct {
        log.note(format!("answer under load: {answer}"));
    }
    insta::assert_snapshot!(log.text());
}

/// Guards against an instance that drops unknown fields or refuses one of two schema versions
/// while old and new tools and instances are in use at the same time.
#[test]
fn schema_versions_side_by_side() {
    let site = Site::start(&["suva", "nadi", "labasa"], 1, SERVICE_TIME);
    let log = Transcript::default();
    let old = [pool("gates", 3), budget("gates", 1)];
    log.note(format!("old tool: {}", site.apply(0, &old)["generation"]));
    wait_until_ready(&site, 3);
    site.nodes[2].platform_link.disconnect();
    log.note("labasa loses the platform and keeps its peers");
    let new = json!({
        "schema": 2, "kind": "pool", "name": "gates", "service": "gates", "size": 3,
        "minimum": 1, "colour": "red",
    });
    log.note(format!("new tool: {}", site.apply(1, &[new])["generation"]));
    wait_until(|| site.generations() == [2, 2, 2]);
    let record =
        |node: usize| site.nodes[node].get("/admin/v1/records/pool/gates")["records"][0].clone();
    log.note(format!("in labasa: {}", record(2)));
    site.nodes[2].platform_link.reconnect();
    log.note("labasa reaches the platform again");
    // Repeated with one operation identifier until the instance has found the store healthy again.
    let change = json!({"operation": "old-tool", "since": 2, "documents": [budget("gates", 2)]});
    wait_until(|| site.nodes[2].post("/admin/v1/apply", &change)["generation"] == 3);
    wait_until(|| site.generations() == [3, 3, 3]);
    log.note("old tool in labasa: 3");
    log.note(format!("in suva: {}", record(0)));
    log.note(format!("call: {}", site.nodes[0].call("gates", "t1", &[])));
    insta::assert_snapshot!(log.text());
}
