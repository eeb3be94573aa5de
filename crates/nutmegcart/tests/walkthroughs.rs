//! The walk-throughs of docs/OPERATIONS.md: from a job's identifier to the cause, by the logs of
//! whole processes on a stand-in for the platform.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::thread::sleep;
use std::time::Duration;

use nutmegcart_stand_in::StandIn;
use nutmegcart_stand_in::runner::LONG_RUNNING_SPEC;
use serde_json::Value;
use serde_json::json;

/// Time between two looks while a test waits.
const POLL: Duration = Duration::from_millis(10);
/// Time after which what was logged has been handed over.
const HANDED_OVER: Duration = Duration::from_millis(400);

/// A process whose log goes to a file.
struct Process {
    child: Child,
    folder: PathBuf,
    settings: Value,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Process {
    fn start(platform: &StandIn, name: &str) -> Self {
        let settings = platform.settings(name);
        let ip = settings["ip"].as_str().expect("an address");
        let folder = std::env::temp_dir().join(format!("nutmegcart-{}-{ip}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let file = folder.join("settings.json");
        fs::write(&file, settings.to_string()).expect("the settings are written");
        let log = File::create(folder.join(format!("{name}.log"))).expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_nutmegcart"))
            .arg("manage")
            .env("NUTMEGCART_SETTINGS", &file)
            .stdout(log)
            .spawn()
            .expect("the binary starts");
        let process = Self {
            child,
            folder,
            settings,
        };
        while process.call("ready", "GET", "/api/ready", None).0 != 200 {
            sleep(POLL);
        }
        process
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn log(&self) -> String {
        let name = self.settings["node"].as_str().expect("a name");
        let path = self.folder.join(format!("{name}.log"));
        path.to_string_lossy().into_owned()
    }

    fn call(&self, listen: &str, method: &str, path: &str, body: Option<&Value>) -> (u16, Value) {
        let text = self.settings["listen"][listen].as_str();
        let address: SocketAddr = text.and_then(|text| text.parse().ok()).expect("an address");
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .into();
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("host", "counts.example")
            .header("x-request-deadline", "1500")
            .body(body.map(Value::to_string).unwrap_or_default())
            .expect("a request");
        let Ok(mut answer) = agent.run(request) else {
            return (0, Value::Null);
        };
        let text = answer.body_mut().read_to_string().unwrap_or_default();
        let body = serde_json::from_str(&text).unwrap_or_default();
        (answer.status().as_u16(), body)
    }

    fn submit(&self, id: &str, spec: &str) -> u16 {
        let lasting = spec == LONG_RUNNING_SPEC;
        let job = json!({"spec": spec, "steps": [
            {"count": 1, "cpu": 500, "mem-mb": 256, "est-ms": 80, "long-running": lasting}
        ]});
        self.call("front", "POST", &format!("/gates/{id}"), Some(&job))
            .0
    }

    fn wait_for_state(&self, id: &str, state: &str) {
        let path = format!("/gates/{id}");
        while self.call("front", "GET", &path, None).1["state"] != state {
            sleep(POLL);
        }
    }
}

fn platform() -> StandIn {
    let platform = StandIn::start();
    platform.configure(1, "gates", "counts.example", "/gates/");
    platform
}

/// Returns the numbers of the events that `explain` tells of a job, in its order.
fn explained(id: &str, logs: &[String]) -> (Vec<u16>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_nutmegcart"))
        .args(["explain", id])
        .args(logs)
        .output()
        .expect("the binary runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let number = |line: &str| {
        let number = line.split_whitespace().nth(3);
        number?.parse().ok()
    };
    (text.lines().skip(1).filter_map(number).collect(), text)
}

/// Fails unless the events come in this order, others between them aside.
fn assert_in_order((events, text): &(Vec<u16>, String), wanted: &[u16]) {
    let mut left = wanted.iter().peekable();
    for event in events {
        if left.peek() == Some(&event) {
            left.next();
        }
    }
    assert!(
        left.peek().is_none(),
        "{wanted:?} not in {events:?}:\n{text}"
    );
}

/// "A caller was refused": the store does not answer, and the line says so.
#[test]
fn a_refused_job_leads_to_the_store() {
    let platform = platform();
    let process = Process::start(&platform, "entry-1");
    platform.store.set_down(true);
    let id = "0000000000000a01";
    assert_eq!(process.submit(id, "count"), 503);
    sleep(HANDED_OVER);
    let told = explained(id, &[process.log()]);
    assert_in_order(&told, &[711]);
    assert!(told.1.contains("reason=store"), "{}", told.1);
}

/// "A job was late": it was accepted while no worker was there, and ended long after its objective.
#[test]
fn a_late_job_leads_to_the_missing_room() {
    let platform = platform();
    let process = Process::start(&platform, "entry-1");
    let id = "0000000000000a02";
    assert_eq!(process.submit(id, "count"), 200);
    sleep(Duration::from_millis(1_800));
    let _runner = platform.add_runner("i-1", "gates");
    process.wait_for_state(id, "completed");
    sleep(HANDED_OVER);
    let told = explained(id, &[process.log()]);
    assert_in_order(&told, &[710, 713]);
    assert!(told.1.contains("late=true"), "{}", told.1);
    let log = fs::read_to_string(process.log()).expect("the log");
    let status = log.lines().find(|line| line.contains("\"event\":\"704\""));
    let status = status.expect("a line about the cell");
    assert!(status.contains("\"usable\":\"0\""), "{status}");
}

/// "A lasting task was away, or suspected of running twice": its owner died, and the next one
/// found the run alive and adopted it.
#[test]
fn a_take_over_shows_what_became_of_a_run() {
    let platform = platform();
    let runner = platform.add_runner("i-1", "gates");
    let mut first = Process::start(&platform, "entry-1");
    let id = "0000000000000a03";
    assert_eq!(first.submit(id, LONG_RUNNING_SPEC), 200);
    first.wait_for_state(id, "running");
    sleep(HANDED_OVER);
    first.kill();
    let second = Process::start(&platform, "entry-2");
    second.wait_for_state(id, "running");
    let path = format!("/gates/{id}");
    assert_eq!(second.call("front", "DELETE", &path, None).0, 200);
    second.wait_for_state(id, "canceled");
    sleep(HANDED_OVER);
    let told = explained(id, &[first.log(), second.log()]);
    assert_in_order(&told, &[710, 700, 720]);
    assert_eq!(runner.starts().len(), 1, "{}", told.1);
}
