//! Commands that call the admin API of an entry instance.

use std::net::SocketAddr;
use std::process::ExitCode;

use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use crate::cell_table;
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

/// Exit code for invalid arguments.
const EXIT_USAGE: u8 = 2;
/// Exit code if the outcome is unknown; the command may be repeated.
const EXIT_UNKNOWN: u8 = 3;

/// Makes a call and prints the answer, as JSON if `json` is set and with `print` otherwise.
pub fn call_and_print(
    entry: Option<SocketAddr>,
    json: bool,
    call: impl FnOnce(&Client) -> Result<Value, CallError>,
    print: impl FnOnce(&Value),
) -> ExitCode {
    let client = match Client::new(entry) {
        Ok(client) => client,
        Err(reason) => return usage_error(&reason),
    };
    match call(&client) {
        Ok(answer) if json => println!("{answer}"),
        Ok(answer) => print(&answer),
        Err(error) => return report_failure(&error, json),
    }
    ExitCode::SUCCESS
}

/// Prints why the arguments are invalid.
pub fn usage_error(reason: &str) -> ExitCode {
    eprintln!("{reason}");
    ExitCode::from(EXIT_USAGE)
}

/// Prints a failed call, an error answer as JSON if `json` is set, and returns the exit code.
fn report_failure(error: &CallError, json: bool) -> ExitCode {
    match error {
        CallError::Refused { answer } if json => println!("{answer}"),
        error => eprintln!("{error}"),
    }
    match error {
        CallError::Refused { answer } if answer["verdict"] == "unknown" => {
            ExitCode::from(EXIT_UNKNOWN)
        }
        _ => ExitCode::FAILURE,
    }
}

/// Formats a JSON value, a string without its quotes.
fn plain_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

/// Applies record files and deletions as one change.
pub fn apply(flags: &Apply) -> ExitCode {
    let mut documents = Vec::new();
    for file in &flags.files {
        match check::read_records(file) {
            Ok(values) => documents.extend(values),
            Err(reason) => return usage_error(&reason),
        }
    }
    if documents.is_empty() && flags.delete.is_empty() {
        return usage_error("nothing to apply: give record files or --delete kind/name");
    }
    let operation = flags
        .operation
        .clone()
        .unwrap_or_else(|| Uuid::new_v4().to_string());
    // A repeat is recognised as long as the store keeps every change after this generation.
    let since = match flags.since {
        None if flags.operation.is_none() => current_generation(flags.entry),
        since => since,
    };
    let body = json!({
        "operation": operation,
        "since": since.unwrap_or(0),
        "based_on": flags.based_on,
        "documents": documents,
        "delete": flags.delete,
    });
    call_and_print(
        flags.entry,
        flags.json,
        |client| client.post_until_known("apply", &body),
        |answer| {
            println!("accepted as generation {}", answer["generation"]);
        },
    )
}

/// Asks the entry instance for the generation in force; `None` if the call fails.
fn current_generation(entry: Option<SocketAddr>) -> Option<u64> {
    let client = Client::new(entry).ok()?;
    client.get("status").ok()?["generation"].as_u64()
}

/// Prints one record.
pub fn get(flags: &Get) -> ExitCode {
    let path = format!("records/{}/{}", flags.kind, flags.name);
    call_and_print(
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
    call_and_print(
        flags.entry,
        flags.json,
        |client| client.get(&path),
        |answer| {
            let records = answer["records"].as_array().cloned().unwrap_or_default();
            let row = |record: &Value| {
                ["kind", "name", "schema"]
                    .map(|field| plain_text(&record[field]))
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

/// Prints the state of an entry instance and a table of its peers or, if it runs `manage`, a table of
/// the cells.
pub fn status(flags: &Status) -> ExitCode {
    call_and_print(
        flags.entry,
        flags.json,
        |client| match client.get_if_found("status")? {
            Some(answer) => Ok(answer),
            None => client.send("GET", "/v1/status", None, None),
        },
        |answer| {
            if answer["cells"].is_array() {
                cell_table::print(answer);
                return;
            }
            println!(
                "{} in {}: generation {}, ready {}, {} instances listed",
                plain_text(&answer["id"]),
                plain_text(&answer["centre"]),
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
            let row = |peer: &Value| fields.map(|field| plain_text(&peer[field])).to_vec();
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

/// Starts or pauses a wave, or shows its progress.
pub fn wave(flags: &Wave) -> ExitCode {
    let call = |client: &Client| match flags.action.as_str() {
        "status" => client.get(&format!("waves/{}", flags.name)),
        action => client.post(&format!("waves/{}/{action}", flags.name), &json!({})),
    };
    if !["start", "pause", "status"].contains(&flags.action.as_str()) {
        return usage_error(&format!("{:?} is not start, pause or status", flags.action));
    }
    call_and_print(flags.entry, flags.json, call, |answer| {
        let done = answer["done"]
            .as_u64()
            .map_or(String::new(), |done| format!("{done} of "));
        println!(
            "wave {} is {}: {done}{} instances",
            plain_text(&answer["wave"]),
            plain_text(&answer["state"]),
            answer["total"],
        );
    })
}

/// Drains an instance for maintenance.
pub fn drain(flags: &Drain) -> ExitCode {
    let path = format!("drain/{}", flags.instance);
    call_and_print(
        flags.entry,
        flags.json,
        |client| client.post(&path, &json!({})),
        |answer| {
            let instance = plain_text(&answer["instance"]);
            println!("{instance} is draining; it returns after its next reboot");
        },
    )
}

/// Writes the configuration in force to a store that was restored to an older state.
pub fn repair(flags: &Repair) -> ExitCode {
    let body = json!({"discard": flags.discard});
    call_and_print(
        flags.entry,
        flags.json,
        |client| client.post("repair", &body),
        |answer| {
            println!("the store holds generation {} again", answer["generation"]);
        },
    )
}
