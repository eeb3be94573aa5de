//! Structured log lines on standard output, bounded in volume and never blocking the process.
//!
//! Lines collect in memory and a thread writes them. If the reader of standard output is slow and
//! the thread falls behind, lines are dropped and counted.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;

use crossbeam::channel::Sender;
use crossbeam::channel::TrySendError;
use crossbeam::channel::bounded;
use log::Level;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use nutmegcart_model::Event;
use nutmegcart_model::log_event;

use crate::clock::unix_ms;

/// Bytes of lines that wait in memory before they are handed to the writing thread at once.
const BATCH: usize = 16 << 10;
/// Bytes of lines that may wait in memory; further ones are dropped until the next hand-over.
const MOST_WAITING: usize = 128 << 10;
/// Lines of one event a second; a burst writes one line a job and failed run, far below it. More
/// would cost processor time that callers need.
const MOST_LINES: u32 = 300;
/// Batches that may wait for the writing thread.
const MOST_BATCHES: usize = 8;
/// Time between two hand-overs of what has collected.
pub const FLUSH_EVERY: Duration = Duration::from_millis(250);

static LOGGER: OnceLock<Logger> = OnceLock::new();

struct Logger {
    level: LevelFilter,
    waiting: Mutex<Waiting>,
    batches: Sender<String>,
}

#[derive(Default)]
struct Waiting {
    lines: String,
    dropped: u64,
    budgets: HashMap<u16, Budget>,
}

/// Lines of one event in the present second.
#[derive(Clone, Copy, Debug, Default)]
struct Budget {
    second: u64,
    lines: u32,
    left_out: u32,
}

impl Budget {
    /// Takes a line; returns how many were left out before it, or nothing if it is left out too.
    fn take(&mut self, second: u64) -> Option<u32> {
        if self.second != second {
            self.second = second;
            self.lines = 0;
        }
        if self.lines >= MOST_LINES {
            self.left_out += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}

/// Starts logging; lines below the level are left out.
///
/// A second call changes nothing.
pub fn start(level: LevelFilter) {
    let (batches, received) = bounded::<String>(MOST_BATCHES);
    let logger = Logger {
        level,
        waiting: Mutex::default(),
        batches,
    };
    if LOGGER.set(logger).is_err() {
        return;
    }
    std::thread::spawn(move || {
        for batch in received {
            // Nobody is left to tell when standard output fails.
            drop(std::io::stdout().write_all(batch.as_bytes()));
        }
    });
    if let Some(logger) = LOGGER.get()
        && log::set_logger(logger).is_ok()
    {
        log::set_max_level(level);
    }
}

/// Hands what has collected to the writing thread.
pub fn flush() {
    if let Some(logger) = LOGGER.get() {
        logger.hand_over();
        let dropped = logger
            .waiting
            .lock()
            .map(|mut waiting| std::mem::take(&mut waiting.dropped));
        if let Ok(dropped @ 1..) = dropped {
            log_event!(Event::LogDropped, lines = dropped);
        }
    }
}

impl Logger {
    fn hand_over(&self) {
        let Ok(mut waiting) = self.waiting.lock() else {
            return;
        };
        if waiting.lines.is_empty() {
            return;
        }
        match self.batches.try_send(std::mem::take(&mut waiting.lines)) {
            Ok(()) => {}
            Err(TrySendError::Full(lines) | TrySendError::Disconnected(lines)) => {
                waiting.lines = lines;
            }
        }
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let full = {
            let Ok(mut waiting) = self.waiting.lock() else {
                return;
            };
            if waiting.lines.len() > MOST_WAITING {
                waiting.dropped += 1;
                return;
            }
            let second = unix_ms() / 1_000;
            let budget = waiting.budgets.entry(event(record)).or_default();
            let Some(left_out) = budget.take(second) else {
                return;
            };
            write_line(&mut waiting.lines, record, left_out);
            waiting.lines.len() > BATCH
        };
        if full || record.level() == Level::Error {
            self.hand_over();
        }
    }

    fn flush(&self) {
        self.hand_over();
    }
}

/// Returns the number of a line's event, or 0.
fn event(record: &Record<'_>) -> u16 {
    let value = record.key_values().get(log::kv::Key::from("event"));
    let number = value.and_then(|value| value.to_string().parse().ok());
    number.unwrap_or_default()
}

fn write_line(lines: &mut String, record: &Record<'_>, left_out: u32) {
    // Writing to a string cannot fail.
    let _ = write!(
        lines,
        "{{\"at\":{},\"level\":\"{}\",\"text\":\"",
        unix_ms(),
        record.level()
    );
    escape(lines, &record.args().to_string());
    lines.push('"');
    let mut fields = Fields(lines);
    let _ = record.key_values().visit(&mut fields);
    if left_out > 0 {
        let _ = write!(lines, ",\"left_out\":\"{left_out}\"");
    }
    lines.push_str("}\n");
}

struct Fields<'a>(&'a mut String);

impl<'kvs> log::kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let _ = write!(self.0, ",\"{key}\":\"");
        escape(self.0, &value.to_string());
        self.0.push('"');
        Ok(())
    }
}

/// Appends text with the escapes that JSON asks for.
fn escape(lines: &mut String, text: &str) {
    for each in text.chars() {
        match each {
            '"' => lines.push_str("\\\""),
            '\\' => lines.push_str("\\\\"),
            control if control < ' ' => {
                let _ = write!(lines, "\\u{:04x}", u32::from(control));
            }
            plain => lines.push(plain),
        }
    }
}
