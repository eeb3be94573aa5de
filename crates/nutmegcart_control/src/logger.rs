//! Non-blocking logger that writes JSON lines to standard output and bounds their volume.
//!
//! Lines are buffered in memory and written by a separate thread. If standard output is read too
//! slowly, lines are dropped and counted.

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

/// Size of the buffer above which it is sent to the writer thread at once.
const BATCH_BYTES: usize = 16 << 10;
/// Size of the buffer above which lines are dropped until the writer thread accepts it.
const MAX_BUFFERED_BYTES: usize = 128 << 10;
/// Maximum number of lines per event and second. A burst of jobs logs one line per job and failed
/// run, far less than this. More lines would use processor time that callers need.
const MAX_LINES_PER_SECOND: u32 = 300;
/// Capacity of the channel to the writer thread.
const MAX_QUEUED_BATCHES: usize = 8;
/// Interval at which the buffer should be flushed.
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

/// Number of lines of one event in the current second.
#[derive(Clone, Copy, Debug, Default)]
struct RateLimit {
    second: u64,
    lines: u32,
    suppressed: u32,
}

impl RateLimit {
    /// Counts a line. Returns the number of lines suppressed since the last written one, or `None`
    /// if this line is suppressed too.
    fn count(&mut self, second: u64) -> Option<u32> {
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

/// Installs the logger with a maximum level; further calls have no effect.
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
            // An error of standard output cannot be reported anywhere.
            drop(std::io::stdout().write_all(batch.as_bytes()));
        }
    });
    if let Some(logger) = LOGGER.get()
        && log::set_logger(logger).is_ok()
    {
        log::set_max_level(level);
    }
}

/// Sends the buffered lines to the writer thread, and logs how many lines were dropped.
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
            let rate_limit = buffer.rate_limits.entry(event_number(record)).or_default();
            let Some(suppressed) = rate_limit.count(second) else {
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

/// Returns the number of the record's event, or 0 if it has none.
fn event_number(record: &Record<'_>) -> u16 {
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

/// Appends text as the content of a JSON string.
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
