//! A whole deployment in one process: platform, runners, nine entry instances, callers, a wave;
//! and a cell that runs jobs in virtual time.

mod deployment;
mod jobs;
mod load;
mod observer;
mod report;

use std::io::IsTerminal;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::client::CallError;
use crate::client::Client;
use crate::demo::deployment::Deployment;
use crate::demo::load::Load;
use crate::demo::observer::Observer;
use crate::demo::report::Report;
use crate::flags::Demo;
use crate::serve;

/// Result of a step of the demo.
pub type Result<T> = std::result::Result<T, String>;

/// Longest time for any one step.
const STEP_LIMIT: Duration = Duration::from_secs(20);
/// Time between looks at the state while waiting.
const POLL: Duration = Duration::from_millis(10);

/// Runs the demo and prints its report.
pub fn run(flags: &Demo) -> ExitCode {
    // The report is the output; warnings would mix with its progress lines.
    let _ = serve::start_log("error", false);
    match play(flags.seed.unwrap_or(1)) {
        Ok(report) => {
            report.print(flags.json);
            if report.is_clean() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(reason) => {
            eprintln!("demo failed: {reason}");
            ExitCode::FAILURE
        }
    }
}

fn progress(text: &str) {
    if std::io::stdout().is_terminal() {
        println!("… {text}");
    }
}

fn failed(error: &CallError) -> String {
    error.to_string()
}

/// Waits until the condition holds and returns the time that it took.
fn wait_for(what: &str, condition: impl Fn() -> bool) -> Result<Duration> {
    let begin = Instant::now();
    while !condition() {
        if begin.elapsed() > STEP_LIMIT {
            return Err(format!("{what} took more than {} s", STEP_LIMIT.as_secs()));
        }
        sleep(POLL);
    }
    Ok(begin.elapsed())
}

fn play(seed: u64) -> Result<Report> {
    progress("starting platform, 50 runners and 9 entry instances in 4 data centres");
    let deployment = Deployment::start();
    let operator = Client::new(Some(deployment.addresses()[0]))?;
    let documents = deployment::records();
    progress(&format!("applying {} records", documents.len()));
    let body = json!({"operation": format!("demo-{seed}"), "documents": documents});
    operator
        .post("apply", &body)
        .map_err(|error| failed(&error))?;
    let first_spread = spread(&deployment, 1)?;
    wait_for("assigning runners to pools", || {
        deployment.assigned() == deployment::RUNNERS
    })?;
    let observer = Observer::start(&deployment);
    progress("callers send requests in bursts");
    let load = Load::start(&deployment, seed);
    sleep(Duration::from_secs(1));
    progress("wave starts");
    let begin = Instant::now();
    operator
        .post("waves/nightly/start", &json!({}))
        .map_err(|error| failed(&error))?;
    let second_spread = change_during_wave(&deployment, &operator)?;
    progress("one entry instance shuts down under load");
    deployment.shut_down_last();
    wait_for("the wave", || is_finished(&operator))?;
    let wave = begin.elapsed();
    progress(&format!("wave finished after {:.1} s", wave.as_secs_f64()));
    sleep(Duration::from_secs(1));
    let requests = load.stop();
    let sampled = observer.stop();
    let spread = first_spread.max(second_spread);
    progress("a cell runs jobs while its owner dies and machines are maintained");
    let mut report = Report::build(&requests, &deployment.oracle, &sampled, wave, spread);
    report.cell = jobs::play(seed);
    Ok(report)
}

fn change_during_wave(deployment: &Deployment, operator: &Client) -> Result<Duration> {
    progress("an operator changes a pool during the wave");
    let body = json!({"documents": [deployment::pool("shared-reporting", true, 10, 2)]});
    operator
        .post("apply", &body)
        .map_err(|error| failed(&error))?;
    spread(deployment, 2)
}

/// Waits until the generation is in force everywhere.
fn spread(deployment: &Deployment, generation: u64) -> Result<Duration> {
    wait_for("configuration spread", || {
        deployment
            .entries
            .iter()
            .all(|entry| entry.tables.in_force.get().configuration.generation().0 >= generation)
    })
}

fn is_finished(operator: &Client) -> bool {
    let answer = operator.get("waves/nightly").unwrap_or(Value::Null);
    answer["state"] == "finished"
}
