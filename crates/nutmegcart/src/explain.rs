//! The `explain` command: reconstructs the history of one job from the logs of several instances.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::fs;
use std::io::Read;
use std::path::PathBuf;
use std::process::ExitCode;

use nutmegcart_model::Event;
use serde_json::Map;
use serde_json::Value;

use crate::flags::Explain;

/// Result of reading logs; the error names the file and the cause.
pub type Result<T> = std::result::Result<T, String>;

/// Exit code if no log line belongs to the job.
const EXIT_NO_MATCH: u8 = 1;
/// Exit code for invalid arguments and unreadable files.
const EXIT_USAGE: u8 = 2;
/// Fields that are not printed as `name=value`: time, event and text are in the prefix of the line,
/// the job is in the heading, and the level is left out.
const OMITTED_FIELDS: [&str; 5] = ["at", "level", "text", "event", "job"];
/// Changes of cell ownership, shown if they fall between the first and the last line of the job.
const OWNERSHIP_EVENTS: [Event; 3] = [Event::CellTaken, Event::CellLost, Event::CellReleased];
/// Events that tell why a worker blocked a waiting task, and how that ended.
const WORKER_EVENTS: [Event; 5] = [
    Event::WorkerUnlisted,
    Event::WorkerFenced,
    Event::WorkerSilent,
    Event::WorkerReplaced,
    Event::WorkerLeasesExpired,
];

/// An event read from a log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Unix time in milliseconds.
    pub at_ms: u64,
    /// Name of the log file, or `-` for standard input.
    pub source: String,
    /// Event number, see [`Event::number`].
    pub event: u16,
    /// All fields of the line, the event number and the time included.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; returns `None` if it is not an event.
    ///
    /// Text before the first brace is skipped, because log collectors add prefixes.
    fn parse(source: &str, text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let event = fields.get("event")?.as_str()?.parse().ok()?;
        Some(Self {
            at_ms: fields.get("at")?.as_u64()?,
            source: source.to_string(),
            event,
            fields,
        })
    }

    /// Returns whether the line names the job or one of its tasks.
    fn belongs_to_job(&self, id: &str) -> bool {
        let job_of_task = self.text("task").and_then(|task| task.split('.').next());
        self.text("job") == Some(id) || job_of_task == Some(id)
    }

    /// Returns a field that holds text.
    fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    fn is_event(&self, event: Event) -> bool {
        self.event == event.number()
    }

    /// Formats the line with its time relative to `start_ms`.
    fn format(&self, start_ms: u64) -> String {
        let mut text = String::new();
        let offset_ms = i128::from(self.at_ms) - i128::from(start_ms);
        let message = self.text("text");
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "{offset_ms:>8} ms  {}  {} {}",
            self.source,
            self.event,
            message.unwrap_or_default()
        );
        for (name, value) in &self.fields {
            if !OMITTED_FIELDS.contains(&name.as_str()) {
                let value = value
                    .as_str()
                    .map_or_else(|| value.to_string(), str::to_string);
                let _ = write!(text, " {name}={value}");
            }
        }
        text
    }
}

/// Formats the history of a job in order of time, followed by what is missing from the logs.
///
/// Returns `None` if no line belongs to the job.
pub fn explain(id: &str, lines: &[LogLine]) -> Option<String> {
    let mut job_lines: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.belongs_to_job(id))
        .collect();
    job_lines.sort_by_key(|line| line.at_ms);
    let (first, last) = (job_lines.first()?.at_ms, job_lines.last()?.at_ms);
    let blockers: BTreeSet<&str> = job_lines
        .iter()
        .filter(|line| line.is_event(Event::TaskWaiting))
        .filter_map(|line| line.text("worker"))
        .collect();
    let is_context = |line: &LogLine| {
        let is_any = |events: &[Event]| events.iter().any(|event| line.is_event(*event));
        let blocker = line.text("worker").is_some_and(|id| blockers.contains(id));
        let shown = is_any(&OWNERSHIP_EVENTS) || (blocker && is_any(&WORKER_EVENTS));
        shown && (first..=last).contains(&line.at_ms)
    };
    // Lines of one log with the same time keep their order.
    let mut timeline: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.belongs_to_job(id) || is_context(line))
        .collect();
    timeline.sort_by_key(|line| line.at_ms);
    let mut text = format!(
        "job {id}: {} log lines from {} instances\n",
        job_lines.len(),
        count_sources(&job_lines)
    );
    for line in timeline {
        text.push_str(&line.format(first));
        text.push('\n');
    }
    for gap in find_gaps(&job_lines) {
        let _ = writeln!(text, "not in the logs: {gap}");
    }
    Some(text)
}

fn count_sources(lines: &[&LogLine]) -> usize {
    let sources: BTreeSet<&str> = lines.iter().map(|line| line.source.as_str()).collect();
    sources.len()
}

/// Describes the parts of the history for which the log lines are missing.
fn find_gaps(job_lines: &[&LogLine]) -> Vec<&'static str> {
    let has = |event: Event| job_lines.iter().any(|line| line.is_event(event));
    let answered =
        has(Event::JobAccepted) || has(Event::JobRefused) || has(Event::JobAcceptanceUnknown);
    let mut gaps = Vec::new();
    if !answered {
        gaps.push(
            "the answer to the caller; the log of the accepting instance is absent or truncated",
        );
    }
    let settled = has(Event::CallerJobEnded) || has(Event::TombstoneStored);
    if has(Event::JobAcceptanceUnknown) && !has(Event::JobAccepted) && !settled {
        gaps.push("whether the store recorded the job");
    }
    let cancelled = has(Event::CallerJobCancelled) || has(Event::TombstoneStored);
    let ended = has(Event::CallerJobEnded) || cancelled;
    if !ended && !has(Event::JobRefused) {
        gaps.push(
            "the end of the job; it may still run, or the log of the owner is absent or truncated",
        );
    }
    gaps
}

/// Reads the events of all files, or of standard input if there are none.
fn read_logs(files: &[PathBuf]) -> Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    if files.is_empty() {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|error| format!("standard input: {error}"))?;
        lines.extend(text.lines().filter_map(|line| LogLine::parse("-", line)));
    }
    for file in files {
        let text =
            fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
        let source = file.file_name().unwrap_or_default().to_string_lossy();
        lines.extend(
            text.lines()
                .filter_map(|line| LogLine::parse(&source, line)),
        );
    }
    Ok(lines)
}

/// Prints the history of the job.
pub fn run(flags: &Explain) -> ExitCode {
    let lines = match read_logs(&flags.files) {
        Ok(lines) => lines,
        Err(reason) => {
            eprintln!("{reason}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if let Some(text) = explain(&flags.id, &lines) {
        print!("{text}");
        return ExitCode::SUCCESS;
    }
    eprintln!(
        "none of {} log lines belongs to job {}",
        lines.len(),
        flags.id
    );
    ExitCode::from(EXIT_NO_MATCH)
}
