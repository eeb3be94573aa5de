//! Commands about jobs that callers hand in.

use std::path::Path;
use std::process::ExitCode;

use serde_json::Value;

use crate::client::CallError;
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

/// Hands a job in, shows or cancels it, or counts waiting ones.
pub fn run(flags: &Job) -> ExitCode {
    let path = format!("/v1/jobs/{}", flags.subject);
    let submission = match flags.action.as_str() {
        "submit" => match read(flags.file.as_deref()) {
            Ok(submission) => submission,
            Err(reason) => return operator::usage(&reason),
        },
        _ => Value::Null,
    };
    let call: Box<dyn FnOnce(&Client) -> Result<Value, CallError>> = match flags.action.as_str() {
        "submit" => Box::new(move |client| client.send("PUT", &path, Some(&submission))),
        "show" => Box::new(move |client| client.send("GET", &path, None)),
        "cancel" => Box::new(move |client| client.send("DELETE", &path, None)),
        "waiting" => match query(&flags.subject) {
            Ok(query) => {
                Box::new(move |client| client.send("GET", &format!("/v1/waiting?{query}"), None))
            }
            Err(reason) => return operator::usage(&reason),
        },
        other => {
            return operator::usage(&format!(
                "unknown action {other:?}: submit, show, cancel or waiting"
            ));
        }
    };
    operator::run(flags.entry, flags.json, call, show)
}
