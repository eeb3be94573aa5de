//! One job's history out of the logs of several instances.

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

/// Result of reading logs.
pub type Result<T> = std::result::Result<T, String>;

/// Exit code if no line is about the job.
const NOTHING: u8 = 1;
/// Exit code of wrong arguments and files that cannot be read.
const USAGE: u8 = 2;
/// Fields that are told in another way.
const TOLD: [&str; 5] = ["at", "level", "text", "event", "job"];
/// Events about the ownership of the cell, told between the first and the last line of the job.
const OWNERSHIP: [Event; 3] = [Event::CellTaken, Event::CellLost, Event::CellReleased];

/// A line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Time of day in milliseconds since 1970.
    pub at: u64,
    /// Where it was read.
    pub source: String,
    /// Number of the event.
    pub event: u16,
    /// All fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; text before the first brace, such as a collector's prefix, is passed over.
    fn parse(source: &str, text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let event = fields.get("event")?.as_str()?.parse().ok()?;
        Some(Self {
            at: fields.get("at")?.as_u64()?,
            source: source.to_string(),
            event,
            fields,
        })
    }

    fn is_about(&self, id: &str) -> bool {
        let text = |name: &str| self.fields.get(name).and_then(Value::as_str);
        let of_task = text("task").and_then(|task| task.split('.').next());
        text("job") == Some(id) || of_task == Some(id)
    }

    fn is(&self, event: Event) -> bool {
        self.event == event.number()
    }

    fn describe(&self, start: u64) -> String {
        let mut text = String::new();
        let since = i128::from(self.at) - i128::from(start);
        let words = self.fields.get("text").and_then(Value::as_str);
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "{since:>8} ms  {}  {} {}",
            self.source,
            self.event,
            words.unwrap_or_default()
        );
        for (name, value) in &self.fields {
            if !TOLD.contains(&name.as_str()) {
                let value = value
                    .as_str()
                    .map_or_else(|| value.to_string(), str::to_string);
                let _ = write!(text, " {name}={value}");
            }
        }
        text
    }
}

/// Tells a job's history in order, and what the lines do not show.
///
/// Nothing is told if no line is about the job.
pub fn explain(id: &str, lines: &[Line]) -> Option<String> {
    let mut about: Vec<&Line> = lines.iter().filter(|line| line.is_about(id)).collect();
    about.sort_by_key(|line| line.at);
    let (first, last) = (about.first()?.at, about.last()?.at);
    let ownership = lines.iter().filter(|line| {
        let within = (first..=last).contains(&line.at);
        within && OWNERSHIP.iter().any(|event| line.is(*event))
    });
    let mut told = about.clone();
    told.extend(ownership);
    told.sort_by_key(|line| line.at);
    let mut text = format!(
        "job {id}: {} lines of {} instances\n",
        about.len(),
        sources(&about)
    );
    for line in told {
        text.push_str(&line.describe(first));
        text.push('\n');
    }
    for missing in missing(&about) {
        let _ = writeln!(text, "not shown: {missing}");
    }
    Some(text)
}

fn sources(lines: &[&Line]) -> usize {
    let count: BTreeSet<&str> = lines.iter().map(|line| line.source.as_str()).collect();
    count.len()
}

/// Lists what the lines leave open.
fn missing(about: &[&Line]) -> Vec<&'static str> {
    let has = |event: Event| about.iter().any(|line| line.is(event));
    let answered =
        has(Event::JobAccepted) || has(Event::JobRefused) || has(Event::JobAcceptanceUnknown);
    let mut missing = Vec::new();
    if !answered {
        missing.push(
            "what its caller was told; the log of the accepting instance is missing or was cut",
        );
    }
    if has(Event::JobAcceptanceUnknown) && !has(Event::JobAccepted) && !has(Event::CallerJobEnded) {
        missing.push("whether the store took it");
    }
    let ended = has(Event::CallerJobEnded) || has(Event::CallerJobCancelled);
    if !ended && !has(Event::JobRefused) {
        missing.push("its end; it may still run, or the log of the owner is missing or was cut");
    }
    missing
}

fn read(files: &[PathBuf]) -> Result<Vec<Line>> {
    let mut lines = Vec::new();
    if files.is_empty() {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|error| format!("standard input: {error}"))?;
        lines.extend(text.lines().filter_map(|line| Line::parse("-", line)));
    }
    for file in files {
        let text =
            fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
        let source = file.file_name().unwrap_or_default().to_string_lossy();
        lines.extend(text.lines().filter_map(|line| Line::parse(&source, line)));
    }
    Ok(lines)
}

/// Runs the command.
pub fn run(flags: &Explain) -> ExitCode {
    let lines = match read(&flags.files) {
        Ok(lines) => lines,
        Err(reason) => {
            eprintln!("{reason}");
            return ExitCode::from(USAGE);
        }
    };
    if let Some(text) = explain(&flags.id, &lines) {
        print!("{text}");
        return ExitCode::SUCCESS;
    }
    eprintln!("no line of {} is about job {}", lines.len(), flags.id);
    ExitCode::from(NOTHING)
}
