//! Commands about jobs that callers hand in.

use std::path::Path;
use std::process::ExitCode;

use serde_json::Value;

use crate::client::Client;
use crate::flags::Job;
use crate::operator;

/// Reads a submission from a file.
fn read(file: Option<&Path>) -> Result<Value, String> {
    let file = file.ok_or("submit needs --file")?;
    let text = std::fs::read(file).map_err(|error| format!("{}: {error}", file.display()))?;
    serde_json::from_slice(&text).map_err(|error| format!("{}: {error}", file.display()))
}

/// Splits a queue into host and path prefix.
fn query(queue: &str) -> Result<String, String> {
    let (host, path) = queue
        .split_once('/')
        .ok_or(format!("{queue:?} is not a host and a path prefix"))?;
    Ok(format!("host={host}&prefix=/{path}"))
}

fn show(answer: &Value) {
    if let Some(state) = answer["state"].as_str() {
        println!("{state}");
    } else {
        println!("{}", answer["waiting"]);
    }
}

/// A call to an entry instance: method, path and body.
type Call = (&'static str, String, Option<Value>);

/// Returns the call that an action asks for.
fn call(flags: &Job) -> Result<Call, String> {
    let path = format!("/v1/jobs/{}", flags.subject);
    match flags.action.as_str() {
        "submit" => Ok(("PUT", path, Some(read(flags.file.as_deref())?))),
        "show" => Ok(("GET", path, None)),
        "cancel" => Ok(("DELETE", path, None)),
        "waiting" => Ok((
            "GET",
            format!("/v1/waiting?{}", query(&flags.subject)?),
            None,
        )),
        other => Err(format!(
            "unknown action {other:?}: submit, show, cancel or waiting"
        )),
    }
}

/// Hands a job in, shows or cancels it, or counts waiting ones.
pub fn run(flags: &Job) -> ExitCode {
    let (method, path, body) = match call(flags) {
        Ok(call) => call,
        Err(reason) => return operator::usage(&reason),
    };
    let send = |client: &Client| client.send(method, &path, body.as_ref());
    operator::run(flags.entry, flags.json, send, show)
}
