//! The `job` command: submits, shows and cancels jobs, and counts waiting ones.

use std::env;
use std::path::Path;
use std::process::ExitCode;

use serde_json::Value;

use crate::client::Client;
use crate::flags::Job;
use crate::operator;

/// Reads a submission from a JSON file.
fn read_submission(file: Option<&Path>) -> Result<Value, String> {
    let file = file.ok_or("submit needs --file")?;
    let text = std::fs::read(file).map_err(|error| format!("{}: {error}", file.display()))?;
    serde_json::from_slice(&text).map_err(|error| format!("{}: {error}", file.display()))
}

/// Converts a queue, given as host and path prefix, to URL query parameters.
fn queue_query(queue: &str) -> Result<String, String> {
    let (host, path) = queue
        .split_once('/')
        .ok_or(format!("{queue:?} is not a host and a path prefix"))?;
    Ok(format!("host={host}&prefix=/{path}"))
}

/// Prints the state of the job or, for `waiting`, the number of waiting jobs.
fn print_answer(answer: &Value) {
    if let Some(state) = answer["state"].as_str() {
        println!("{state}");
    } else {
        println!("{}", answer["waiting"]);
    }
}

/// Method, path and body of a call to an entry instance.
type HttpCall = (&'static str, String, Option<Value>);

/// Builds the call for an action.
fn build_call(flags: &Job) -> Result<HttpCall, String> {
    let path = format!("/v1/jobs/{}", flags.subject);
    match flags.action.as_str() {
        "submit" => Ok(("PUT", path, Some(read_submission(flags.file.as_deref())?))),
        "show" => Ok(("GET", path, None)),
        "cancel" => Ok(("DELETE", path, None)),
        "waiting" => Ok((
            "GET",
            format!("/v1/waiting?{}", queue_query(&flags.subject)?),
            None,
        )),
        other => Err(format!(
            "unknown action {other:?}: submit, show, cancel or waiting"
        )),
    }
}

/// Runs the action and prints its result.
pub fn run(flags: &Job) -> ExitCode {
    let (method, path, body) = match build_call(flags) {
        Ok(call) => call,
        Err(reason) => return operator::usage_error(&reason),
    };
    let key = flags
        .key
        .clone()
        .or_else(|| env::var("NUTMEGCART_KEY").ok());
    let send = |client: &Client| client.send(method, &path, key.as_deref(), body.as_ref());
    operator::call_and_print(flags.entry, flags.json, send, print_answer)
}
