//! Prints the status of the cells of a `manage` deployment.

use serde_json::Value;

use crate::table;

/// Titles of the columns.
const TITLES: [&str; 9] = [
    "CELL",
    "OWNER",
    "AGE",
    "WAITING JOBS",
    "WAITING TASKS",
    "LONGEST WAIT",
    "TASK",
    "REASON",
    "STALLED",
];

/// Formats a string without its quotes, and a missing value as a dash.
fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Formats milliseconds as seconds.
fn seconds(value: &Value) -> String {
    let seconds = |ms: f64| format!("{:.1} s", ms / 1_000.0);
    value.as_f64().map_or_else(|| "-".to_owned(), seconds)
}

fn row(report: &Value) -> Vec<String> {
    let status = &report["status"];
    let mut row = vec![text(&report["cell"]), text(&report["owner"])];
    if status.is_null() {
        row.push("unknown".to_owned());
        row.extend(["-"; 6].map(str::to_owned));
        return row;
    }
    let longest = &status["longest"];
    let details = longest["details"].as_str().unwrap_or_default();
    let reason = match text(&longest["reason"]) {
        reason if details.is_empty() => reason,
        reason => format!("{reason} ({details})"),
    };
    row.extend([
        seconds(&status["age_ms"]),
        text(&status["waiting_jobs"]),
        text(&status["waiting_tasks"]),
        seconds(&longest["waited_ms"]),
        text(&longest["task"]),
        reason,
        text(&status["stalled"]),
    ]);
    row
}

/// Returns processor in thousandths of a core, memory in MB and accelerators; 0 is no limit.
fn amounts(resources: &Value) -> String {
    let amount = |name: &str| resources[name].as_u64().unwrap_or_default();
    let (cpu, memory) = (amount("cpu"), amount("memory"));
    format!("{cpu}/{memory}/{}", amount("accelerators"))
}

/// Prints a table of the cells, then why a cell is unknown and which jobs are stalled.
pub fn print(answer: &Value) {
    println!("{}: ready {}", text(&answer["instance"]), answer["ready"]);
    let clients = &answer["clients"];
    if clients.is_object() {
        println!(
            "clients: {} connections hold {} of {} B; {} refused or closed by limits",
            clients["connections"], clients["bytes"], clients["max_bytes"], clients["closed"]
        );
    }
    let cells = answer["cells"].as_array().cloned().unwrap_or_default();
    table::print(&TITLES, &cells.iter().map(row).collect::<Vec<_>>());
    for report in &cells {
        if let Some(reason) = report["unknown"].as_str() {
            println!("cell {} is unknown: {reason}", report["cell"]);
        }
        if let Some(bytes) = report["status"]["rejected_bytes"].as_u64() {
            println!(
                "cell {}: the store does not accept its state of {bytes} B",
                report["cell"]
            );
        }
        for each in report["organisations"].as_array().into_iter().flatten() {
            println!(
                "{} in cell {}: {} of {} in use, allocation {} %, {} jobs wait{}",
                text(&each["name"]),
                report["cell"],
                amounts(&each["used"]),
                amounts(&each["limit"]),
                each["allocation"].as_f64().unwrap_or_default() / 10_000.0,
                each["waiting_jobs"],
                match each["reason"].as_str() {
                    None | Some("") => String::new(),
                    Some(reason) => format!(", most for: {reason}"),
                },
            );
        }
        let stalled = report["status"]["stalled_jobs"].as_array();
        for job in stalled.into_iter().flatten() {
            println!(
                "stalled in cell {}: {} job {} of {} for {}",
                report["cell"],
                text(&job["kind"]),
                text(&job["job"]),
                text(&job["pool"]),
                seconds(&job["waited_ms"]),
            );
        }
    }
}
