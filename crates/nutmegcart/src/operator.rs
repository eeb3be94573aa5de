//! Operator commands.

use std::net::SocketAddr;
use std::process::ExitCode;

use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use crate::check;
use crate::client::CallError;
use crate::client::Client;
use crate::flags::Apply;
use crate::flags::Drain;
use crate::flags::Get;
use crate::flags::List;
use crate::flags::Repair;
use crate::flags::Status;
use crate::flags::Wave;
use crate::table;

/// Exit code of wrong usage.
const USAGE: u8 = 2;
/// Exit code when the outcome is not known and the command may be repeated.
const UNKNOWN: u8 = 3;

/// Makes a call and prints the answer as JSON or for people.
pub fn run(
    entry: Option<SocketAddr>,
    json: bool,
    call: impl FnOnce(&Client) -> Result<Value, CallError>,
    print: impl FnOnce(&Value),
) -> ExitCode {
    let client = match Client::new(entry) {
        Ok(client) => client,
        Err(reason) => return usage(&reason),
    };
    match call(&client) {
        Ok(answer) if json => println!("{answer}"),
        Ok(answer) => print(&answer),
        Err(error) => return failure(&error, json),
    }
    ExitCode::SUCCESS
}

/// Reports wrong usage.
pub fn usage(reason: &str) -> ExitCode {
    eprintln!("{reason}");
    ExitCode::from(USAGE)
}

fn failure(error: &CallError, json: bool) -> ExitCode {
    match error {
        CallError::Refused { answer } if json => println!("{answer}"),
        error => eprintln!("{error}"),
    }
    match error {
        CallError::Refused { answer } if answer["verdict"] == "unknown" => ExitCode::from(UNKNOWN),
        _ => ExitCode::FAILURE,
    }
}

fn text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

/// Applies record files.
pub fn apply(flags: &Apply) -> ExitCode {
    let mut documents = Vec::new();
    for file in &flags.files {
        match check::read(file) {
            Ok(values) => documents.extend(values),
            Err(reason) => return usage(&reason),
        }
    }
    if documents.is_empty() && flags.delete.is_empty() {
        return usage("nothing to apply: give record files or --delete kind/name");
    }
    let operation = flags
        .operation
        .clone()
        .unwrap_or_else(|| Uuid::new_v4().to_string());
    // A later repetition is recognised as long as the store remembers all changes since here.
    let since = match flags.since {
        None if flags.operation.is_none() => present(flags.entry),
        since => since,
    };
    let body = json!({
        "operation": operation,
        "since": since.unwrap_or(0),
        "based_on": flags.based_on,
        "documents": documents,
        "delete": flags.delete,
    });
    run(
        flags.entry,
        flags.json,
        |client| client.post("apply", &body),
        |answer| {
            println!("accepted as generation {}", answer["generation"]);
        },
    )
}

/// Returns the generation in force, if the entry instance tells it.
fn present(entry: Option<SocketAddr>) -> Option<u64> {
    let client = Client::new(entry).ok()?;
    client.get("status").ok()?["generation"].as_u64()
}

/// Prints one record.
pub fn get(flags: &Get) -> ExitCode {
    let path = format!("records/{}/{}", flags.kind, flags.name);
    run(
        flags.entry,
        flags.json,
        |client| client.get(&path),
        |answer| {
            let record = &answer["records"][0];
            println!(
                "{}",
                serde_json::to_string_pretty(record).unwrap_or_default()
            );
        },
    )
}

/// Lists records.
pub fn list(flags: &List) -> ExitCode {
    let path = match &flags.kind {
        Some(kind) => format!("records/{kind}"),
        None => "records".to_owned(),
    };
    run(
        flags.entry,
        flags.json,
        |client| client.get(&path),
        |answer| {
            let records = answer["records"].as_array().cloned().unwrap_or_default();
            let row = |record: &Value| {
                ["kind", "name", "schema"]
                    .map(|field| text(&record[field]))
                    .to_vec()
            };
            table::print(
                &["KIND", "NAME", "SCHEMA"],
                &records.iter().map(row).collect::<Vec<_>>(),
            );
            println!("generation {}", answer["generation"]);
        },
    )
}

/// Prints the state of an entry instance and its peers.
pub fn status(flags: &Status) -> ExitCode {
    run(
        flags.entry,
        flags.json,
        |client| client.get("status"),
        |answer| {
            println!(
                "{} in {}: generation {}, ready {}, {} instances listed",
                text(&answer["id"]),
                text(&answer["centre"]),
                answer["generation"],
                answer["ready"],
                answer["instances"],
            );
            let fields = [
                "id",
                "centre",
                "address",
                "generation",
                "draining",
                "suspect",
            ];
            let peers = answer["peers"].as_array().cloned().unwrap_or_default();
            let row = |peer: &Value| fields.map(|field| text(&peer[field])).to_vec();
            let titles = [
                "PEER",
                "CENTRE",
                "ADDRESS",
                "GENERATION",
                "DRAINING",
                "SUSPECT",
            ];
            table::print(&titles, &peers.iter().map(row).collect::<Vec<_>>());
        },
    )
}

/// Starts, pauses or follows a wave.
pub fn wave(flags: &Wave) -> ExitCode {
    let call = |client: &Client| match flags.action.as_str() {
        "status" => client.get(&format!("waves/{}", flags.name)),
        action => client.post(&format!("waves/{}/{action}", flags.name), &json!({})),
    };
    if !["start", "pause", "status"].contains(&flags.action.as_str()) {
        return usage(&format!("{:?} is not start, pause or status", flags.action));
    }
    run(flags.entry, flags.json, call, |answer| {
        let done = answer["done"]
            .as_u64()
            .map_or(String::new(), |done| format!("{done} of "));
        println!(
            "wave {} is {}: {done}{} instances",
            text(&answer["wave"]),
            text(&answer["state"]),
            answer["total"],
        );
    })
}

/// Takes an instance out for maintenance.
pub fn drain(flags: &Drain) -> ExitCode {
    let path = format!("drain/{}", flags.instance);
    run(
        flags.entry,
        flags.json,
        |client| client.post(&path, &json!({})),
        |answer| {
            let instance = text(&answer["instance"]);
            println!("{instance} drains, and returns after its next reboot");
        },
    )
}

/// Writes the configuration in force to a restored store.
pub fn repair(flags: &Repair) -> ExitCode {
    let body = json!({"discard": flags.discard});
    run(
        flags.entry,
        flags.json,
        |client| client.post("repair", &body),
        |answer| {
            println!("the store holds generation {} again", answer["generation"]);
        },
    )
}
