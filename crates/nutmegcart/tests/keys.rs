//! Tests of keys of organisations by a whole `nutmegcart manage` process on a stand-in platform.

mod support;

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::process::Command;
use std::thread::sleep;
use std::time::Duration;

use nutmegcart_stand_in::StandIn;
use serde_json::Value;
use serde_json::json;
use support::Process;

const HOST: &str = "counts.example";
const PREFIX: &str = "/gates/";
const PUBLIC_PREFIX: &str = "/open/";
const JOB: &str = "00000000000000f3";
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Requests after the first that is refused for its key.
const REPEATS: usize = 20;

/// A connection of a caller, which stays open.
struct Connection(TcpStream);

impl Connection {
    fn open(process: &Process) -> Self {
        let address = process.settings["listen"]["front"].as_str();
        let stream = TcpStream::connect(address.expect("an address"));
        Self(stream.expect("the process listens"))
    }

    /// Sends the head of a request, with the length of a body that may follow.
    fn send_head(&mut self, method: &str, path: &str, authorization: &str, length: usize) {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: {length}\r\n{authorization}\r\n"
        );
        self.0.write_all(head.as_bytes()).expect("the head is sent");
    }

    /// Reads a response and returns its status.
    fn status(&mut self) -> u16 {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.0.read_exact(&mut byte).expect("a response");
            head.extend(byte);
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let length = length.map_or(0, |length| length.parse().expect("a number"));
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).expect("a body");
        head[9..12].parse().expect("a status")
    }

    /// Makes a call, and repeats it while the process has not read the store in time, as beside load.
    fn call(&mut self, method: &str, path: &str, key: Option<&str>, body: &str) -> u16 {
        let authorization =
            key.map_or_else(String::new, |key| format!("authorization: Token {key}\r\n"));
        loop {
            self.send_head(method, path, &authorization, body.len());
            self.0.write_all(body.as_bytes()).expect("the body is sent");
            match self.status() {
                503 => sleep(POLL_INTERVAL),
                status => return status,
            }
        }
    }
}

fn configure(platform: &StandIn, version: u64, keys: &[&str]) {
    let tenants = json!([
        {"name": "ferries", "api-keys": keys, "weight": 1.0},
        {"name": "locks", "api-keys": ["k-of-locks"], "weight": 2.0},
    ]);
    let prefixes = [PREFIX, PUBLIC_PREFIX];
    platform.configure_organisations(version, "gates", HOST, prefixes, &tenants);
}

fn job() -> Value {
    json!({"spec": "count", "steps": [{"count": 1, "cpu": 500, "mem-mb": 64, "est-ms": 50}]})
}

/// Starts a process and submits a job of the first organisation to it.
fn start(platform: &StandIn) -> (Process, Connection) {
    configure(platform, 1, &["k-of-ferries", "k-revoked"]);
    let process = Process::start(platform, "entry-1");
    while TcpStream::connect(process.settings["listen"]["front"].as_str().expect("text")).is_err() {
        sleep(POLL_INTERVAL);
    }
    let mut connection = Connection::open(&process);
    let path = format!("{PREFIX}{JOB}");
    let body = job().to_string();
    assert_eq!(
        connection.call("POST", &path, Some("k-revoked"), &body),
        200
    );
    (process, connection)
}

/// Guards against requests with a revoked key that are served because their connection was opened
/// before.
#[test]
fn key_that_is_revoked_is_refused_on_an_open_connection() {
    let platform = StandIn::start();
    let _runner = platform.add_runner("i-1", "gates");
    let (process, mut connection) = start(&platform);
    let path = format!("{PREFIX}{JOB}");
    assert_eq!(connection.call("GET", &path, Some("k-revoked"), ""), 200);
    configure(&platform, 2, &["k-of-ferries"]);
    while connection.call("GET", &path, Some("k-revoked"), "") != 401 {
        sleep(POLL_INTERVAL);
    }
    for _ in 0..REPEATS {
        let other = format!("{PREFIX}00000000000000f4");
        let statuses = [
            connection.call("GET", &path, Some("k-revoked"), ""),
            connection.call("GET", PREFIX, Some("k-revoked"), ""),
            connection.call("DELETE", &path, Some("k-revoked"), ""),
            connection.call("GET", &path, Some("k-of-ferries"), ""),
            connection.call("GET", &other, Some("k-of-ferries"), ""),
        ];
        // The last one shows that the revoked key has submitted nothing.
        assert_eq!(statuses, [401, 401, 401, 200, 410]);
    }
    assert!(!process.log().contains("k-of-"), "keys are not logged");
    assert!(!process.log().contains("k-revoked"), "keys are not logged");
}

/// Guards against a body that is read, and held in memory, for a caller without a key; and against
/// callers who learn of jobs of another organisation.
#[test]
fn call_without_a_valid_key_is_refused_before_its_body() {
    let platform = StandIn::start();
    let (process, mut connection) = start(&platform);
    let path = format!("{PREFIX}{JOB}");
    let headers = [
        "",
        "authorization: Token k-unknown\r\n",
        "authorization: Token \r\n",
        "authorization: Bearer k-of-locks\r\n",
        "authorization: k-of-locks\r\n",
    ];
    for header in headers {
        let status = loop {
            let mut caller = Connection::open(&process);
            caller.send_head("POST", &path, header, 60_000);
            match caller.status() {
                503 => sleep(POLL_INTERVAL),
                status => break status,
            }
        };
        assert_eq!(status, 401, "{header:?}");
    }
    let as_locks = Some("k-of-locks");
    assert_eq!(connection.call("GET", &path, as_locks, ""), 403);
    assert_eq!(connection.call("DELETE", &path, as_locks, ""), 403);
    let body = job().to_string();
    assert_eq!(connection.call("POST", &path, as_locks, &body), 403);
    let open = format!("{PUBLIC_PREFIX}00000000000000f5");
    assert_eq!(connection.call("POST", &open, None, &body), 200);
    assert_eq!(connection.call("GET", &open, Some("k-unknown"), ""), 200);
}

/// Guards against an interface for jobs that needs no key beside one that does.
#[test]
fn job_command_needs_the_key_of_the_jobs_organisation() {
    let platform = StandIn::start();
    let (process, _connection) = start(&platform);
    let run = |arguments: &[&str], key: Option<&str>| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegcart"));
        command.arg("job").args(arguments);
        command.args(["--entry", &process.entry()]);
        command.env_remove("NUTMEGCART_KEY");
        if let Some(key) = key {
            command.env("NUTMEGCART_KEY", key);
        }
        let output = command.output().expect("the binary runs");
        let text = [output.stdout, output.stderr].concat();
        String::from_utf8_lossy(&text).into_owned()
    };
    assert!(run(&["show", JOB], None).contains("NC1410"));
    assert!(run(&["show", JOB], Some("k-unknown")).contains("NC1410"));
    assert!(run(&["cancel", JOB], Some("k-of-locks")).contains("NC1411"));
    let shown = run(&["show", JOB, "--key", "k-of-ferries"], Some("k-of-locks"));
    assert_eq!(shown, "pending\n");
    let queue = format!("{HOST}{PREFIX}");
    assert!(run(&["waiting", &queue], None).contains("NC1410"));
    assert_eq!(run(&["waiting", &queue], Some("k-of-locks")), "1\n");
    let file = process.directory.join("job.json");
    let submission = json!({
        "schema": 1, "queue": {"host": HOST, "prefix": PREFIX},
        "spec": "count", "steps": [{"tasks": 1, "cpu": 500, "duration_ms": 80}],
    });
    fs::write(&file, submission.to_string()).expect("the job is written");
    let file = file.to_string_lossy().into_owned();
    let submit = ["submit", JOB, "--file", &file];
    assert!(run(&submit, None).contains("NC1410"));
    assert!(run(&submit, Some("k-of-locks")).contains("NC1411"));
    assert_eq!(run(&submit, Some("k-of-ferries")), "pending\n");
}

/// Guards against an ended job whose stored final state lost its organisation, so that a later owner
/// shows it to all.
#[test]
fn ended_job_keeps_its_organisation_for_a_later_owner() {
    let platform = StandIn::start();
    let _runner = platform.add_runner("i-1", "gates");
    let (mut process, connection) = start(&platform);
    let path = format!("{PREFIX}{JOB}");
    let run = |process: &Process| {
        let output = Command::new(env!("CARGO_BIN_EXE_nutmegcart"))
            .args(["job", "show", JOB, "--key", "k-of-ferries"])
            .args(["--entry", &process.entry()])
            .output()
            .expect("the binary runs");
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    while run(&process) != "completed\n" {
        sleep(POLL_INTERVAL);
    }
    drop(connection);
    process.kill();
    let later = Process::start(&platform, "entry-2");
    while run(&later) != "completed\n" {
        sleep(POLL_INTERVAL);
    }
    // At first from the store, and then from the memory of the owner.
    while !later.log().contains("\"event\":\"702\"") {
        let mut caller = Connection::open(&later);
        assert_eq!(caller.call("GET", &path, Some("k-of-locks"), ""), 403);
        sleep(POLL_INTERVAL);
    }
    let mut caller = Connection::open(&later);
    for _ in 0..REPEATS {
        assert_eq!(caller.call("GET", &path, Some("k-of-locks"), ""), 403);
        assert_eq!(caller.call("GET", &path, Some("k-of-ferries"), ""), 200);
    }
}
