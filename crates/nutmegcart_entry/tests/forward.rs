//! Forwarding to runners over loopback: retries, unknown outcomes, draining runners and limits.

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
use nutmegcart_platform::FleetApi;
use nutmegcart_platform::etcd;
use serde_json::json;

use crate::site::Node;
use crate::site::pool;
use crate::site::wait_until;

const IDEMPOTENT: &[(&str, &str)] = &[("nutmegcart-idempotent", "true")];

/// One entry instance with the runners of the service `gates`.
struct Fixture {
    entry: Arc<EntryInstance>,
    runners: Vec<FakeRunner>,
    /// Links to the runners.
    links: Vec<TcpRelay>,
    oracle: Oracle,
    node: Node,
}

impl Fixture {
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
        let fleet = FleetApi::http(platform.address, timeout);
        let settings = settings.expect("test settings are accepted");
        let entry = EntryInstance::start(settings, Incarnation::random(), store, fleet)
            .expect("the entry instance starts");
        let node = Node {
            entry: entry.clone(),
            centre: "local",
            http_link: link(listen),
            platform_link: link(platform.address),
            peer_links: Vec::new(),
            remote_links: Vec::new(),
        };
        let records = json!({"documents": [pool("gates", runners.len())]});
        wait_until(|| node.post("/admin/v1/apply", &records)["generation"] == 1);
        wait_until(|| assigned_instances(&entry) == runners.len() && entry.is_ready());
        // The dispatcher knows the runners once a request has been answered.
        wait_until(|| node.call("gates", "warm", IDEMPOTENT) == "200 warm done");
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

    /// Sends the headers and the first 3 of 10 body bytes of a request, and waits until it is being
    /// handled or has its answer.
    fn open(&self) -> TcpStream {
        let mut stream = TcpStream::connect(self.entry.settings.listen).expect("connected");
        stream
            .write_all(
                b"POST /v1/services/gates/x HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc",
            )
            .expect("sent");
        stream.set_nonblocking(true).expect("set");
        let answered = || stream.peek(&mut [0]).is_ok_and(|count| count > 0);
        let active = || self.entry.lifecycle.active_requests.load(Ordering::Acquire) == 1;
        wait_until(|| active() || answered());
        stream.set_nonblocking(false).expect("set");
        stream
    }
}

fn assigned_instances(entry: &EntryInstance) -> usize {
    let maps = entry.tables.pool_maps.read();
    maps.values().map(|map| map.instances.len()).sum()
}

#[test]
fn draining_runner_gets_no_new_work_and_callers_get_no_errors() {
    let fixture = Fixture::start(2, &[]);
    fixture.runners[0].set_behaviour(Behaviour::Draining);
    let started = fixture.runners[0].started();
    for index in 0..50 {
        let token = format!("t{index}");
        assert_eq!(
            fixture.node.call("gates", &token, &[]),
            format!("200 {token} done")
        );
        assert_eq!(fixture.oracle.runs(&token).started, 1);
    }
    assert_eq!(fixture.runners[0].started(), started);
    let refused = fixture.metric("nutmegcart_retries_total{reason=\"refused\"}");
    assert!((1..=5).contains(&refused), "{refused} refusals");
}

#[test]
fn silent_connection_is_replaced_and_the_runner_stays_in_use() {
    let fixture = Fixture::start(1, &[]);
    fixture.links[0].drop_traffic();
    for token in ["first", "second"] {
        let answer = fixture.node.call("gates", token, IDEMPOTENT);
        assert_eq!(answer, format!("200 {token} done"));
        // The second request must not use another connection from before the silence.
        let silent = fixture.metric("nutmegcart_retries_total{reason=\"silent\"}");
        assert_eq!(silent, 1, "after the {token} request");
    }
    assert_eq!(fixture.metric("nutmegcart_ejections_total"), 0);
}

macro_rules! faults {
    ($($name:ident: $behaviour:ident, $reason:literal => $answer:literal;)*) => {
        $(#[test]
        fn $name() {
            let fixture = Fixture::start(1, &[]);
            fixture.runners[0].set_behaviour(Behaviour::$behaviour);
            assert_eq!(fixture.node.call("gates", "once", &[]), $answer);
            fixture.node.call("gates", "again", IDEMPOTENT);
            let line = concat!("nutmegcart_retries_total{reason=\"", $reason, "\"}");
            assert!(fixture.metric(line) >= 1, "no retry counted");
            assert!(fixture.oracle.runs("once").started <= 1);
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
    let fixture = Fixture::start(1, &given);
    let call = |body: usize, headers: &[(&str, &str)]| {
        fixture.node.call("gates", &"b".repeat(body), headers)
    };
    let long = "h".repeat(2000);
    assert_eq!(call(5000, &[]), "413 NC1402 invalid");
    assert_eq!(call(3000, &[]), "503 NC1112 not_run");
    assert_eq!(call(1, &[("x-long", &long)]), "431 NC1403 invalid");
    assert_eq!(
        call(1, &[("nutmegcart-class", "soon")]),
        "400 NC1401 invalid"
    );
    // The request fits into the limit and its answer does not, so it has run.
    assert_eq!(call(1500, &[]), "503 NC1312 unknown");
    // The server releases the bytes after it has written the answer, which the caller may have read
    // before. If bytes stay reserved, this wait does not end.
    wait_until(|| fixture.entry.buffer_quota.used() == 0);
    assert_eq!(call(1, &[]), "200 b done");
}

#[test]
fn slow_body_is_refused_although_every_read_succeeds() {
    let fixture = Fixture::start(1, &[("body-ms", "10")]);
    let mut stream = fixture.open();
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
    let fixture = Fixture::start(1, &[("connections", "1")]);
    let _held = fixture.open();
    // Under load the server may handle the second request before the open one.
    wait_until(|| {
        fixture
            .entry
            .lifecycle
            .active_requests
            .load(Ordering::Acquire)
            == 1
    });
    assert_eq!(fixture.node.call("gates", "t", &[]), "503 NC1111 not_run");
}

#[test]
fn deadline_that_cannot_be_met_is_refused_and_nothing_runs() {
    let fixture = Fixture::start(1, &[]);
    let answer = fixture
        .node
        .call("gates", "late", &[("nutmegcart-deadline-ms", "0")]);
    assert_eq!(answer, "504 NC1103 not_run");
    assert_eq!(fixture.oracle.runs("late").started, 0);
}

/// Sends bytes on a connection of their own and returns what the instance answers until it closes
/// the connection.
fn send_bytes(address: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.write_all(bytes).expect("sent");
    stream
        .shutdown(std::net::Shutdown::Write)
        .expect("the end is sent");
    let mut answer = Vec::new();
    // A reset ends the answer too.
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against malformed bytes, messages and headers that end the thread which serves all
/// requests.
#[test]
fn malformed_input_leaves_the_instance_serving() {
    let fixture = Fixture::start(1, &[]);
    let address = fixture.entry.settings.listen;
    let message = |path: &str| {
        format!("POST /peer/v1/{path} HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n")
            .into_bytes()
            .into_iter()
            .chain(*b"\xc1\xc1\xc1\xc1")
            .collect::<Vec<u8>>()
    };
    for path in [
        "heartbeat",
        "forward",
        "intent",
        "seal",
        "handover",
        "config-since",
    ] {
        let answer = send_bytes(address, &message(path));
        assert!(answer.starts_with("HTTP/1.1 400"), "{path}: {answer}");
    }
    let broken: [&[u8]; 5] = [
        b"\x00\xff\xfe\r\n\r\n",
        b"POST /v1/services/gates/x HTTP/1.1\r\nhost: a\r\ncontent-length: nine\r\n\r\n",
        b"POST /v1/services/gates/x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        b"POST /admin/v1/apply HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{]",
        b"GET /admin/v1/records/\xff HTTP/1.1\r\nhost: a\r\n\r\n",
    ];
    for bytes in broken {
        let answer = send_bytes(address, bytes);
        assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    }
    assert_eq!(fixture.node.call("gates", "after", &[]), "200 after done");
}

/// Guards against an attempt that stays open, with its slot, when its caller leaves before the
/// answer.
#[test]
fn request_of_a_caller_that_leaves_runs_to_its_end() {
    let fixture = Fixture::start(1, &[]);
    fixture.runners[0].set_service_time(Duration::from_millis(200));
    let mut stream = TcpStream::connect(fixture.entry.settings.listen).expect("connected");
    stream
        .write_all(
            b"POST /v1/services/gates/x HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nleft",
        )
        .expect("sent");
    wait_until(|| fixture.oracle.runs("left").started == 1);
    drop(stream);
    wait_until(|| fixture.oracle.runs("left").finished == 1);
    wait_until(|| {
        fixture
            .entry
            .lifecycle
            .active_requests
            .load(Ordering::Acquire)
            == 0
    });
    assert_eq!(
        fixture.metric("nutmegcart_attempts_total"),
        2,
        "with the first request"
    );
    assert_eq!(fixture.node.call("gates", "after", &[]), "200 after done");
}

/// Guards against a caller without an answer that ends its side of the connection after its request,
/// as tools in scripts do.
#[test]
fn caller_that_ends_its_side_of_the_connection_is_answered() {
    let fixture = Fixture::start(1, &[]);
    fixture.runners[0].set_service_time(Duration::from_millis(200));
    let request = b"POST /v1/services/gates/x HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nhalf";
    let answer = send_bytes(fixture.entry.settings.listen, request);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("half done"), "{answer}");
}
