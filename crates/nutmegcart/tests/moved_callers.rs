//! Test that a caller who moves to another data centre is shown its jobs there, by whole
//! `nutmegcart manage` processes on a stand-in platform.

mod support;

use std::fs;
use std::process::Command;
use std::thread::sleep;
use std::time::Duration;

use nutmegcart_stand_in::StandIn;
use nutmegcart_stand_in::gate::Conduct;
use nutmegcart_stand_in::gate::Gate;
use serde_json::json;
use support::Process;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const JOB: &str = "00000000000000f2";

/// A process of a data centre, which calls the store through a gate.
struct Instance {
    process: Process,
    gate: Gate,
}

impl Instance {
    fn start(platform: &StandIn, name: &str, centre: &str) -> Self {
        let mut settings = platform.settings(name);
        let gate = Gate::default();
        let store = platform.add_store_address(gate.clone());
        settings["zone"] = json!(centre);
        settings["platform"]["address"] = json!(store.to_string());
        let process = Process::start_with(settings);
        Self { process, gate }
    }

    /// Runs a `job` command against this process; returns what it printed, errors included.
    fn job(&self, arguments: &[&str]) -> String {
        let output = Command::new(env!("CARGO_BIN_EXE_nutmegcart"))
            .arg("job")
            .args(arguments)
            .args(["--entry", &self.process.entry()])
            .output()
            .expect("the binary runs");
        let text = [output.stdout, output.stderr].concat();
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Returns the state of the job as shown, or why it is not shown, which is never that there is no
    /// such job.
    fn show(&self) -> String {
        let text = self.job(&["show", JOB]);
        assert!(!text.contains("NC1408"), "{text}");
        text
    }

    fn wait_for(&self, state: &str) {
        while self.show() != format!("{state}\n") {
            sleep(POLL_INTERVAL);
        }
    }
}

/// Guards against an ended job that is told as missing, or run again, in another data centre than
/// the one that accepted it: while its store is away, while the owner is gone, and after a change of
/// the owner.
#[test]
fn ended_job_is_shown_in_another_data_centre() {
    let platform = StandIn::start();
    platform.configure(1, "gates", "counts.example", "/gates/");
    let runner = platform.add_runner("i-1", "gates");
    let mut first = Instance::start(&platform, "entry-1", "nadi");
    let file = first.process.directory.join("job.json");
    let job = json!({
        "schema": 1, "queue": {"host": "counts.example", "prefix": "/gates/"},
        "spec": "count", "steps": [{"tasks": 2, "cpu": 500, "duration_ms": 80}],
    });
    fs::write(&file, job.to_string()).expect("the job is written");
    let file = file.to_string_lossy().into_owned();
    let submit = ["submit", JOB, "--file", &file];
    while first.job(&submit) != "pending\n" {
        sleep(POLL_INTERVAL);
    }
    first.wait_for("completed");
    let second = Instance::start(&platform, "entry-2", "lautoka");
    second.wait_for("completed");
    second.gate.set(Conduct::Refuse, 1);
    // The owner remembers it.
    second.wait_for("completed");
    first.process.kill();
    // Neither the owner nor the store can tell.
    assert_ne!(second.show(), "completed\n");
    second.gate.set(Conduct::Answer, 1);
    second.wait_for("completed");
    while second.job(&submit) != "pending\n" {
        sleep(POLL_INTERVAL);
    }
    second.wait_for("completed");
    assert_eq!(runner.starts().len(), 2, "every task ran once");
}
