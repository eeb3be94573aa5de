//! The `demo` command: runs a whole deployment in one process, with platform, runners, nine entry
//! instances, callers and a wave, and simulates a cell that runs jobs in virtual time.

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

/// Result of a step of the demo; the error is printed.
pub type Result<T> = std::result::Result<T, String>;

/// Time limit of each step.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs the demo and prints its report.
pub fn run(flags: &Demo) -> ExitCode {
    // Warnings would mix with the progress lines. The demo also runs without a logger.
    let _ = serve::init_logging("error", false);
    match run_scenario(flags.seed.unwrap_or(1)) {
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

/// Prints a progress line, but only to a terminal, so that redirected output is the report alone.
fn progress(text: &str) {
    if std::io::stdout().is_terminal() {
        println!("… {text}");
    }
}

fn error_text(error: &CallError) -> String {
    error.to_string()
}

/// Waits until the condition holds and returns the time that it took.
fn wait_for(step: &str, condition: impl Fn() -> bool) -> Result<Duration> {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > STEP_TIMEOUT {
            return Err(format!(
                "{step} took more than {} s",
                STEP_TIMEOUT.as_secs()
            ));
        }
        sleep(POLL_INTERVAL);
    }
    Ok(start.elapsed())
}

fn run_scenario(seed: u64) -> Result<Report> {
    progress("starting platform, 50 runners and 9 entry instances in 4 data centres");
    let deployment = Deployment::start();
    let operator = Client::new(Some(deployment.addresses()[0]))?;
    let documents = deployment::records();
    progress(&format!("applying {} records", documents.len()));
    let body = json!({"operation": format!("demo-{seed}"), "documents": documents});
    operator
        .post_until_known("apply", &body)
        .map_err(|error| error_text(&error))?;
    let first_propagation = wait_for_generation(&deployment, 1)?;
    wait_for("assigning runners to pools", || {
        deployment.assigned_runners() == deployment::RUNNER_COUNT
    })?;
    let observer = Observer::start(&deployment);
    progress("starting callers that send requests in bursts");
    let load = Load::start(&deployment, seed).map_err(|error| error.to_string())?;
    sleep(Duration::from_millis(500));
    progress("starting a wave");
    let start = Instant::now();
    operator
        .post("waves/nightly/start", &json!({}))
        .map_err(|error| error_text(&error))?;
    let second_propagation = change_pool_during_wave(&deployment, &operator)?;
    progress("shutting one entry instance down under load");
    deployment.shut_down_last();
    wait_for("completing the wave", || is_finished(&operator))?;
    let wave = start.elapsed();
    progress(&format!("wave finished after {:.1} s", wave.as_secs_f64()));
    sleep(Duration::from_millis(500));
    let requests = load.stop();
    let observations = observer.stop();
    let propagation = first_propagation.max(second_propagation);
    progress("simulating a cell that runs jobs while its owner fails and machines are maintained");
    let mut report = Report::build(
        &requests,
        &deployment.oracle,
        &observations,
        wave,
        propagation,
    );
    report.cell = jobs::simulate(seed);
    Ok(report)
}

/// Raises the minimum size of the spare pool and waits until the change is in force.
fn change_pool_during_wave(deployment: &Deployment, operator: &Client) -> Result<Duration> {
    progress("changing a pool during the wave");
    let record = deployment::pool_record("shared-reporting", true, 10, 2);
    let body = json!({"operation": "demo-change", "since": 1, "documents": [record]});
    operator
        .post_until_known("apply", &body)
        .map_err(|error| error_text(&error))?;
    wait_for_generation(deployment, 2)
}

/// Waits until the generation is in force on all entry instances and returns the time that it took.
fn wait_for_generation(deployment: &Deployment, generation: u64) -> Result<Duration> {
    wait_for("propagating the configuration", || {
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
