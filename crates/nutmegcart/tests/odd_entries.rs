//! Tests of whole `nutmegcart manage` processes beside entries of other writers in the store.

mod support;

use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_stand_in::StandIn;
use nutmegcart_stand_in::runner::Runner;
use serde_json::Value;
use serde_json::json;
use support::Process;
use ureq::http::Request;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a job that is not completed counts as lost.
const LIMIT: Duration = Duration::from_mins(1);

impl Process {
    /// Sends a request as a caller; status 0 means that the connection failed.
    fn call(&self, method: &str, id: &str, body: &str) -> (u16, Value) {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .allow_non_standard_methods(true)
            .build()
            .into();
        let front = self.settings["listen"]["front"].as_str();
        let front = front.expect("an address");
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{front}/gates/{id}"))
            .header("host", "counts.example")
            .header("content-type", "application/json")
            .body(body.to_owned())
            .expect("a request");
        let Ok(mut answer) = agent.run(request) else {
            return (0, Value::Null);
        };
        let text = answer.body_mut().read_to_string().unwrap_or_default();
        let body = serde_json::from_str(&text).unwrap_or_default();
        (answer.status().as_u16(), body)
    }

    fn submit(&self, id: &str) {
        let step = json!({"count": 4, "cpu": 500, "mem-mb": 256, "est-ms": 80});
        let job = json!({"spec": "x", "steps": [step]}).to_string();
        let started = Instant::now();
        while !(200..300).contains(&self.call("POST", id, &job).0) {
            assert!(started.elapsed() < LIMIT, "job {id} is not accepted");
            sleep(POLL_INTERVAL);
        }
    }

    fn wait_until_completed(&self, id: &str) {
        let started = Instant::now();
        while self.call("GET", id, "").1["state"] != "completed" {
            assert!(started.elapsed() < LIMIT, "job {id} is lost");
            sleep(POLL_INTERVAL);
        }
    }
}

/// Writes the entry of a runner under another key, with another start time and address.
fn put_entry(platform: &StandIn, runner: &Runner, key: &str, born: u64, address: &str) {
    let mut entry = runner.entry();
    entry["born"] = born.into();
    entry["address"] = address.into();
    platform.store.put(key, &entry);
}

fn put_odd_entries(platform: &StandIn, runner: &Runner) {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    platform.store.put_bytes("servers/i-0", nested.into_bytes());
    platform.store.put_bytes("servers/i-8", vec![0xff; 4_000]);
    put_entry(platform, runner, "servers/i-9", u64::MAX, "0.0.0.0:70000");
    put_entry(platform, runner, "servers/j-0", u64::MAX, "127.0.0.1:1");
}

/// Guards against an instance that does not start beside odd entries, or leaves out the sound ones.
#[test]
fn instance_starts_beside_odd_entries() {
    let platform = StandIn::start();
    platform.configure(1, "gates", "counts.example", "/gates/");
    let runner = platform.add_runner("i-1", "gates");
    put_odd_entries(&platform, &runner);
    let mut first = Process::start(&platform, "odd-1");
    first.submit("00000000000000e1");
    first.wait_until_completed("00000000000000e1");
    assert!(first.child.try_wait().expect("a status").is_none());
}

/// Guards against jobs that are lost after the entry of a known worker was odd while its cell
/// changed the owner.
#[test]
fn jobs_complete_after_an_odd_entry_of_their_worker() {
    let platform = StandIn::start();
    platform.configure(1, "gates", "counts.example", "/gates/");
    let runner = platform.add_runner("i-1", "gates");
    let mut first = Process::start(&platform, "odd-2");
    first.submit("00000000000000e2");
    first.wait_until_completed("00000000000000e2");
    let address = runner.entry()["address"].clone();
    let address = address.as_str().expect("an address");
    put_entry(&platform, &runner, "servers/i-1", 1 << 63, address);
    sleep(Duration::from_secs(2));
    assert!(first.child.try_wait().expect("a status").is_none());
    let mut second = Process::start(&platform, "odd-3");
    first.child.kill().expect("the process runs");
    second.submit("00000000000000e3");
    platform.store.put_bytes("servers/i-1", vec![0xff; 4_000]);
    sleep(Duration::from_secs(1));
    runner.announce(&platform.store);
    second.wait_until_completed("00000000000000e3");
    assert!(second.child.try_wait().expect("a status").is_none());
}
