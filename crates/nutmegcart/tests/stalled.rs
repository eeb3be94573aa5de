//! Tests that stalled work is shown without anyone asking for its job: by the log and by
//! `nutmegcart status` on every instance of a `manage` deployment on a stand-in platform.

mod support;

use std::fs;
use std::process::Command;
use std::thread::sleep;
use std::time::Duration;

use nutmegcart_stand_in::StandIn;
use nutmegcart_stand_in::runner::LONG_RUNNING_SPEC;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;
use serde_json::json;
use support::Process;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const JOB: &str = "00000000000000f1";

impl Process {
    /// Returns the log lines of an event.
    fn events(&self, number: &str) -> Vec<Value> {
        let log = self.log();
        // The last line may be incomplete.
        let lines = log
            .lines()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines.filter(|line| line["event"] == number).collect()
    }

    fn wait_for_event(&self, number: &str) -> Value {
        loop {
            if let Some(line) = self.events(number).into_iter().next() {
                return line;
            }
            sleep(POLL_INTERVAL);
        }
    }

    /// Runs a command against this process; returns whether it succeeded, and what it printed.
    fn command(&self, arguments: &[&str]) -> (bool, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_nutmegcart"))
            .args(arguments)
            .args(["--entry", &self.entry()])
            .output()
            .expect("the binary runs");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        (output.status.success(), text)
    }

    /// Returns what `status --json` tells about cell 0.
    fn cell(&self) -> Value {
        let (done, text) = self.command(&["status", "--json"]);
        let answer: Value = serde_json::from_str(&text).unwrap_or_default();
        if done {
            answer["cells"][0].clone()
        } else {
            Value::Null
        }
    }

    fn wait_for_cell(&self, holds: impl Fn(&Value) -> bool) -> Value {
        loop {
            let cell = self.cell();
            if holds(&cell) {
                return cell;
            }
            sleep(POLL_INTERVAL);
        }
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("an identifier");
        let id = Pid::from_raw(id).expect("an identifier");
        kill_process(id, signal).expect("the process runs");
    }
}

fn platform() -> StandIn {
    let platform = StandIn::start();
    platform.configure(1, "gates", "counts.example", "/gates/");
    platform
}

fn submit(process: &Process) {
    let file = process.directory.join("job.json");
    let job = json!({
        "schema": 1, "queue": {"host": "counts.example", "prefix": "/gates/"},
        "spec": LONG_RUNNING_SPEC, "steps": [{"tasks": 1, "cpu": 500, "lasting": true}],
    });
    fs::write(&file, job.to_string()).expect("the job is written");
    let name = file.to_string_lossy().into_owned();
    while !process.command(&["job", "submit", JOB, "--file", &name]).0 {
        sleep(POLL_INTERVAL);
    }
}

/// Guards against a long-running job that waits unnoticed after its worker was taken away at short
/// notice, and against a stall that is told each second or does not end.
#[test]
fn stalled_job_is_told_without_asking_for_it() {
    let platform = platform();
    let runner = platform.add_runner("i-1", "gates");
    let first = Process::start(&platform, "entry-1");
    let known = |cell: &Value| cell["status"]["waiting_jobs"] == 0;
    first.wait_for_cell(known);
    let second = Process::start(&platform, "entry-2");
    submit(&first);
    while runner.running() == 0 {
        sleep(POLL_INTERVAL);
    }
    second.wait_for_cell(known);
    platform.store.remove("servers/i-1");
    runner.set_silent(true);
    let stalled = first.wait_for_event("727");
    assert_eq!(
        (&stalled["job"], &stalled["kind"]),
        (&json!(JOB), &json!("long-running"))
    );
    let cell = second.wait_for_cell(|cell| cell["status"]["stalled"] == 1);
    assert_eq!(cell["owner"], "entry-1");
    let status = &cell["status"];
    assert_eq!(status["stalled_jobs"][0]["job"], JOB, "{cell}");
    assert_eq!(status["longest"]["task"], format!("{JOB}.0.0.0"), "{cell}");
    assert_eq!(status["longest"]["reason"], "unusable", "{cell}");
    let (done, text) = second.command(&["status"]);
    assert!(done);
    let line = format!("stalled in cell 0: long-running job {JOB} of gates for ");
    assert!(text.contains(&line), "{text}");
    sleep(Duration::from_secs(2));
    assert!(first.events("728").is_empty());
    let other = platform.add_runner("i-2", "gates");
    first.wait_for_event("728");
    assert_eq!(first.events("727").len(), 1, "one line a stall");
    second.wait_for_cell(|cell| cell["status"]["stalled"] == 0);
    assert_eq!(other.running(), 1);
}

/// Guards against a status that leaves out a cell whose owner does not answer, or that waits for it.
#[test]
fn cell_of_a_silent_owner_is_unknown() {
    let platform = platform();
    let first = Process::start(&platform, "entry-1");
    let known = |cell: &Value| cell["status"].is_object();
    first.wait_for_cell(known);
    let second = Process::start(&platform, "entry-2");
    second.wait_for_cell(known);
    // The owner keeps its key while it is stopped.
    platform.store.set_holds_leases(true);
    first.signal(Signal::STOP);
    let cell = second.wait_for_cell(|cell| cell["unknown"].is_string());
    assert_eq!(cell["owner"], "entry-1");
    let (done, text) = second.command(&["status"]);
    assert!(done);
    assert!(text.contains("cell 0 is unknown: "), "{text}");
    first.signal(Signal::CONT);
    second.wait_for_cell(known);
}
