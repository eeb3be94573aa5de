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
const BATCH_BYTES: usize = 16 << 10;
/// Bytes of lines that may wait in memory; further ones are dropped until the next hand-over.
const MAX_BUFFERED_BYTES: usize = 128 << 10;
/// Lines of one event a second; a burst writes one line a job and failed run, far below it. More
/// would cost processor time that callers need.
const MAX_LINES_PER_SECOND: u32 = 300;
/// Batches that may wait for the writing thread.
const MAX_QUEUED_BATCHES: usize = 8;
/// Time between two hand-overs of what has collected.
pub const FLUSH_PERIOD: Duration = Duration::from_millis(250);

static LOGGER: OnceLock<Logger> = OnceLock::new();

struct Logger {
    level: LevelFilter,
    buffer: Mutex<Buffer>,
    batches: Sender<String>,
}

#[derive(Default)]
struct Buffer {
    lines: String,
    dropped: u64,
    rate_limits: HashMap<u16, RateLimit>,
}

/// Lines of one event in the present second.
#[derive(Clone, Copy, Debug, Default)]
struct RateLimit {
    second: u64,
    lines: u32,
    suppressed: u32,
}

impl RateLimit {
    /// Takes a line; returns how many were left out before it, or nothing if it is left out too.
    fn take(&mut self, second: u64) -> Option<u32> {
        if self.second != second {
            self.second = second;
            self.lines = 0;
        }
        if self.lines >= MAX_LINES_PER_SECOND {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// Starts logging; lines below the level are left out.
///
/// A second call changes nothing.
pub fn start(level: LevelFilter) {
    let (batches, received) = bounded::<String>(MAX_QUEUED_BATCHES);
    let logger = Logger {
        level,
        buffer: Mutex::default(),
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
        logger.send_batch();
        let dropped = logger
            .buffer
            .lock()
            .map(|mut buffer| std::mem::take(&mut buffer.dropped));
        if let Ok(dropped @ 1..) = dropped {
            log_event!(Event::LogDropped, lines = dropped);
        }
    }
}

impl Logger {
    fn send_batch(&self) {
        let Ok(mut buffer) = self.buffer.lock() else {
            return;
        };
        if buffer.lines.is_empty() {
            return;
        }
        match self.batches.try_send(std::mem::take(&mut buffer.lines)) {
            Ok(()) => {}
            Err(TrySendError::Full(lines) | TrySendError::Disconnected(lines)) => {
                buffer.lines = lines;
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
            let Ok(mut buffer) = self.buffer.lock() else {
                return;
            };
            if buffer.lines.len() > MAX_BUFFERED_BYTES {
                buffer.dropped += 1;
                return;
            }
            let second = unix_ms() / 1_000;
            let rate_limit = buffer.rate_limits.entry(event(record)).or_default();
            let Some(suppressed) = rate_limit.take(second) else {
                return;
            };
            write_line(&mut buffer.lines, record, suppressed);
            buffer.lines.len() > BATCH_BYTES
        };
        if full || record.level() == Level::Error {
            self.send_batch();
        }
    }

    fn flush(&self) {
        self.send_batch();
    }
}

/// Returns the number of a line's event, or 0.
fn event(record: &Record<'_>) -> u16 {
    let value = record.key_values().get(log::kv::Key::from("event"));
    let number = value.and_then(|value| value.to_string().parse().ok());
    number.unwrap_or_default()
}

fn write_line(lines: &mut String, record: &Record<'_>, suppressed: u32) {
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
    if suppressed > 0 {
        let _ = write!(lines, ",\"left_out\":\"{suppressed}\"");
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
