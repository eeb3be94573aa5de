//! Forwarding over loopback: retries, unknown outcomes, departure and limits.

mod site;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use nutmegcart_entry::EntryInstance;
use nutmegcart_entry::EntrySettings;
use nutmegcart_fakes::FakePlatform;
use nutmegcart_fakes::FakeRunner;
use nutmegcart_fakes::Oracle;
use nutmegcart_fakes::TcpRelay;
use nutmegcart_fakes::runner::Behaviour;
use nutmegcart_fakes::server::free_address;
use nutmegcart_model::Incarnation;
use nutmegcart_platform::Fleet;
use nutmegcart_platform::etcd;
use serde_json::json;

use crate::site::Node;
use crate::site::pool;
use crate::site::until;

const IDEMPOTENT: &[(&str, &str)] = &[("nutmegcart-idempotent", "true")];

/// One entry instance and the runners of a service.
struct Stage {
    entry: Arc<EntryInstance>,
    runners: Vec<FakeRunner>,
    /// Links to the runners.
    links: Vec<TcpRelay>,
    oracle: Oracle,
    node: Node,
}

impl Stage {
    fn start(runners: usize, given: &[(&str, &str)]) -> Self {
        let oracle = Oracle::default();
        let platform = FakePlatform::start(Duration::ZERO);
        let runners: Vec<FakeRunner> = (0..runners)
            .map(|index| FakeRunner::start(format!("r{index}"), &oracle, Duration::from_millis(1)))
            .collect();
        let link = |target| TcpRelay::start(target).expect("a link can be started");
        let links: Vec<TcpRelay> = runners.iter().map(|runner| link(runner.address)).collect();
        for (runner, link) in runners.iter().zip(&links) {
            let mut listed = runner.clone();
            listed.address = link.address;
            platform.add_runner(&listed, &"local".into(), &"rack".into());
        }
        let listen = free_address();
        let settings = EntrySettings::read(|name| match name {
            "listen" => Some(listen.to_string()),
            "platform" => Some(platform.address.to_string()),
            "round-ms" => Some("20".into()),
            _ => given
                .iter()
                .find(|(key, _)| *key == name)
                .map(|(_, value)| (*value).to_owned()),
        });
        let timeout = Duration::from_millis(500);
        let store = etcd::connect(platform.address, timeout);
        let fleet = Fleet::http(platform.address, timeout);
        let settings = settings.expect("test settings are accepted");
        let entry = EntryInstance::start(settings, Incarnation::random(), store, fleet)
            .expect("the entry instance starts");
        let node = Node {
            entry: entry.clone(),
            centre: "local",
            front: link(listen),
            platform: link(platform.address),
            peers: Vec::new(),
            remote: Vec::new(),
        };
        let records = json!({"documents": [pool("gates", runners.len())]});
        until(|| node.post("/admin/v1/apply", &records)["generation"] == 1);
        until(|| seats(&entry) == runners.len() && entry.is_ready());
        // The runners are known once a request is answered.
        until(|| node.call("gates", "warm", IDEMPOTENT) == "200 warm done");
        Self {
            entry,
            runners,
            links,
            oracle,
            node,
        }
    }

    fn metric(&self, line: &str) -> u64 {
        let text = String::from_utf8(self.entry.metrics.text()).expect("metrics are text");
        let value = text.lines().find_map(|found| found.strip_prefix(line));
        value.map_or(0, |value| value.trim().parse().expect("a count"))
    }

    /// Sends the start of a request whose body has 10 bytes.
    fn open(&self) -> TcpStream {
        let mut stream = TcpStream::connect(self.entry.settings.listen).expect("connected");
        stream
            .write_all(
                b"POST /v1/services/gates/x HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc",
            )
            .expect("sent");
        until(|| self.entry.lifecycle.active.load(Ordering::Acquire) == 1);
        stream
    }
}

fn seats(entry: &EntryInstance) -> usize {
    let maps = entry.tables.pool_maps.read();
    maps.values().map(|map| map.instances.len()).sum()
}

#[test]
fn draining_runner_costs_no_caller_an_error_and_gets_no_further_work() {
    let stage = Stage::start(2, &[]);
    stage.runners[0].set_behaviour(Behaviour::Draining);
    let started = stage.runners[0].started();
    for index in 0..50 {
        let token = format!("t{index}");
        assert_eq!(
            stage.node.call("gates", &token, &[]),
            format!("200 {token} done")
        );
        assert_eq!(stage.oracle.runs(&token).started, 1);
    }
    assert_eq!(stage.runners[0].started(), started);
    let refused = stage.metric("nutmegcart_retries_total{reason=\"refused\"}");
    assert!((1..=5).contains(&refused), "{refused} refusals");
}

#[test]
fn silent_connection_is_replaced_and_the_runner_stays_in_use() {
    let stage = Stage::start(1, &[]);
    stage.links[0].drop_traffic();
    for token in ["first", "second"] {
        let told = stage.node.call("gates", token, IDEMPOTENT);
        assert_eq!(told, format!("200 {token} done"));
        // The second request must not meet another connection from before the silence.
        let silent = stage.metric("nutmegcart_retries_total{reason=\"silent\"}");
        assert_eq!(silent, 1, "after the {token} request");
    }
    assert_eq!(stage.metric("nutmegcart_ejections_total"), 0);
}

macro_rules! faults {
    ($($name:ident: $behaviour:ident, $reason:literal => $told:literal;)*) => {
        $(#[test]
        fn $name() {
            let stage = Stage::start(1, &[]);
            stage.runners[0].set_behaviour(Behaviour::$behaviour);
            assert_eq!(stage.node.call("gates", "once", &[]), $told);
            stage.node.call("gates", "again", IDEMPOTENT);
            let line = concat!("nutmegcart_retries_total{reason=\"", $reason, "\"}");
            assert!(stage.metric(line) >= 1, "no retry counted");
            assert!(stage.oracle.runs("once").started <= 1);
        })*
    };
}

faults! {
    truncated_answer_is_unknown_once_and_retried_if_idempotent:
        TruncatesResponses, "truncated" => "502 NC1303 unknown";
    answer_to_another_request_is_never_passed_on:
        MismatchesResponses, "mismatched" => "502 NC1305 unknown";
    lost_answer_is_unknown_once_and_retried_if_idempotent:
        DropsResponses, "connection_lost" => "502 NC1302 unknown";
    server_error_is_passed_on_once_and_retried_if_idempotent:
        ReturnsErrors, "server_error" => "500 null null";
}

#[test]
fn requests_over_a_limit_receive_its_code() {
    let given = [
        ("body-limit", "4096"),
        ("buffer-limit", "2048"),
        ("header-limit", "1024"),
    ];
    let stage = Stage::start(1, &given);
    let call = |body: usize, headers: &[(&str, &str)]| {
        stage.node.call("gates", &"b".repeat(body), headers)
    };
    let long = "h".repeat(2000);
    assert_eq!(call(5000, &[]), "413 NC1402 invalid");
    assert_eq!(call(3000, &[]), "503 NC1112 not_run");
    assert_eq!(call(1, &[("x-long", &long)]), "431 NC1403 invalid");
    assert_eq!(
        call(1, &[("nutmegcart-class", "soon")]),
        "400 NC1401 invalid"
    );
    // The request fits and its answer does not: it ran.
    assert_eq!(call(1500, &[]), "503 NC1312 unknown");
    // The server gives the bytes back after it has written the answer, which the caller may read
    // before that; bytes that stay reserved keep the test from ending.
    until(|| stage.entry.buffer_quota.used() == 0);
    assert_eq!(call(1, &[]), "200 b done");
}

#[test]
fn slow_body_is_refused_although_every_read_succeeds() {
    let stage = Stage::start(1, &[("body-ms", "10")]);
    let mut stream = stage.open();
    sleep(Duration::from_millis(30));
    stream.write_all(b"defghij").expect("sent");
    let mut answer = Vec::new();
    let mut byte = [0];
    while !String::from_utf8_lossy(&answer).contains("NC1407") {
        assert_eq!(stream.read(&mut byte).expect("readable"), 1);
        answer.push(byte[0]);
    }
}

#[test]
fn request_beyond_the_connection_limit_is_refused_with_a_code() {
    let stage = Stage::start(1, &[("connections", "1")]);
    let _held = stage.open();
    // Under load the server may take up the second request before the one that is held.
    until(|| stage.entry.lifecycle.active.load(Ordering::Acquire) == 1);
    assert_eq!(stage.node.call("gates", "t", &[]), "503 NC1111 not_run");
}

#[test]
fn deadline_that_cannot_be_met_is_refused_and_nothing_runs() {
    let stage = Stage::start(1, &[]);
    let told = stage
        .node
        .call("gates", "late", &[("nutmegcart-deadline-ms", "0")]);
    assert_eq!(told, "504 NC1103 not_run");
    assert_eq!(stage.oracle.runs("late").started, 0);
}
