//! Tests of the command line: help, error output, exit codes and shutdown on SIGTERM.

use std::fs;
use std::io::Read;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::sleep;
use std::thread::spawn;
use std::time::Duration;

use nutmegcart_fakes::FakeRunner;
use nutmegcart_fakes::Oracle;
use nutmegcart_fakes::server;
use nutmegcart_fakes::server::free_address;

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegcart"));
    command.args(arguments);
    command
}

fn run(arguments: &[&str]) -> Output {
    command(arguments).output().expect("the binary runs")
}

/// Formats exit code and output for a snapshot.
fn transcript(output: &Output) -> String {
    format!(
        "exit {:?}\n--- stdout\n{}--- stderr\n{}",
        output.status.code(),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    )
}

macro_rules! snapshot_tests {
    ($($name:ident: $($argument:literal)*;)*) => {$(
        #[test]
        fn $name() {
            insta::assert_snapshot!(transcript(&run(&[$($argument),*])));
        }
    )*};
}

snapshot_tests! {
    help_lists_every_command: "--help";
    serve_reports_the_invalid_setting: "serve" "--threads" "0";
    serve_refuses_a_host_name: "serve" "--listen" "localhost:80";
    serve_refuses_runners_unless_platform_is_memory:
        "serve" "--platform" "127.0.0.1:1" "--runners" "127.0.0.1:2";
    apply_requires_files_or_deletions: "apply";
    wave_refuses_an_unknown_action: "wave" "stop" "monthly";
    drain_requires_an_instance: "drain";
    status_reports_the_unreachable_address: "status" "--entry" "127.0.0.1:1";
}

#[test]
fn flag_takes_precedence_over_environment() {
    let output = command(&["serve"])
        .env("NUTMEGCART_THREADS", "999")
        .output()
        .unwrap();
    assert!(String::from_utf8_lossy(&output.stderr).contains("setting threads: \"999\""));
    let flags = ["serve", "--threads", "998"];
    let output = command(&flags)
        .env("NUTMEGCART_THREADS", "0")
        .output()
        .unwrap();
    assert!(String::from_utf8_lossy(&output.stderr).contains("setting threads: \"998\""));
}

#[test]
fn check_reports_references_between_files() {
    let directory = std::env::temp_dir().join(format!("nutmegcart-check-{}", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    let file = directory.join("jobs.json");
    let job = r#"{"schema":1,"kind":"job","name":"j","pool":"none","cpu":1,"memory":1}"#;
    fs::write(&file, job).unwrap();
    let output = run(&["check", file.to_str().unwrap()]);
    fs::remove_dir_all(&directory).unwrap();
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("NC2007"), "{text}");
    assert!(text.contains("/pool"), "{text}");
}

/// Kills the process when dropped, in case a test fails before the process exits.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has exited already, which is the usual case.
        let _ = self.0.kill();
    }
}

fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let answer = agent.get(format!("http://{address}{path}")).call().ok()?;
    Some(answer.status().as_u16())
}

fn wait_for(address: SocketAddr, path: &str, status: u16) {
    while get(address, path) != Some(status) {
        sleep(Duration::from_millis(10));
    }
}

/// Guards against a shutdown that interrupts a request in flight: its caller must get the complete
/// answer before the process exits with 0.
#[test]
fn sigterm_completes_requests_in_flight() {
    let oracle = Oracle::default();
    let runner = FakeRunner::start("runner-1", &oracle, Duration::from_millis(600));
    let listen = free_address();
    let child = command(&["serve", "--platform", "memory", "--round-ms", "20"])
        .args(["--listen", &listen.to_string()])
        .args(["--runners", &runner.address.to_string()])
        .args(["--grace-ms", "100"])
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let mut process = Process(child);
    wait_for(listen, "/healthz", 200);
    let directory = std::env::temp_dir().join(format!("nutmegcart-drain-{}", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    let file = directory.join("pool.json");
    let pool = r#"{"schema":1,"kind":"pool","name":"gates","service":"gates","size":1}"#;
    fs::write(&file, pool).unwrap();
    let applied = run(&[
        "apply",
        file.to_str().unwrap(),
        "--entry",
        &listen.to_string(),
    ]);
    fs::remove_dir_all(&directory).unwrap();
    assert_eq!(applied.status.code(), Some(0), "{}", transcript(&applied));
    let url = format!("http://{listen}/v1/services/gates/tally");
    while ureq::post(&url).send(&b"probe"[..]).is_err() {
        sleep(Duration::from_millis(20));
    }
    let request = spawn(move || {
        let mut answer = ureq::post(&url)
            .send(&b"tally"[..])
            .expect("the request succeeds");
        answer
            .body_mut()
            .read_to_string()
            .expect("the answer is complete")
    });
    while oracle.runs("tally").started == 0 {
        sleep(Duration::from_millis(5));
    }
    let id = process.0.id().to_string();
    let signalled = Command::new("kill").args(["-TERM", &id]).status().unwrap();
    assert!(signalled.success());
    assert_eq!(request.join().unwrap(), "tally done");
    assert_eq!(process.0.wait().unwrap().code(), Some(0));
    let mut log = String::new();
    process
        .0
        .stderr
        .take()
        .unwrap()
        .read_to_string(&mut log)
        .unwrap();
    assert!(log.contains("lost when this process ends"), "{log}");
    assert!(log.contains("event=102"), "{log}");
}

/// Guards against a command that leaves an operator with an unknown outcome, although it was told
/// to repeat the call with the same operation identifier.
#[test]
fn apply_repeats_a_call_with_an_unknown_outcome_under_its_operation() {
    let operations: Arc<Mutex<Vec<String>>> = Arc::default();
    let seen = operations.clone();
    let address = server::start(move |request| {
        if request.uri().path() != "/admin/v1/apply" {
            return server::response(200, r#"{"generation": 4}"#);
        }
        let body: serde_json::Value = serde_json::from_slice(request.body()).expect("JSON");
        let operation = body["operation"].as_str().unwrap_or_default().to_owned();
        let mut seen = seen.lock().expect("no handler panicked");
        seen.push(operation);
        if seen.len() < 3 {
            server::response(503, r#"{"code": "NC2103", "verdict": "unknown"}"#)
        } else {
            server::response(200, r#"{"generation": 5}"#)
        }
    });
    let address = address.to_string();
    let applied = run(&["apply", "--delete", "pool/gates", "--entry", &address]);
    assert_eq!(applied.status.code(), Some(0), "{}", transcript(&applied));
    let operations = operations.lock().expect("no handler panicked");
    assert_eq!(operations.len(), 3);
    assert!(
        operations
            .iter()
            .all(|operation| *operation == operations[0])
    );
    assert!(!operations[0].is_empty());
}
