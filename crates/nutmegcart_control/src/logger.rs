//! Non-blocking logger that writes JSON lines to standard output and bounds their volume.
//!
//! Lines are buffered in memory and written by a separate thread. If standard output is read too
//! slowly, lines are dropped and counted.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::os::fd::AsFd;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

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
use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::io::Errno;

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
/// Maximum size of one write, which a pipe takes as a whole (`PIPE_BUF` of Linux). Readers may cut
/// off what a larger write has beyond the size of their buffer.
const MAX_WRITE_BYTES: usize = 4 << 10;
/// Time that the last lines get to be written at the end of the process.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between checks whether the last lines are written.
const SHUTDOWN_POLL: Duration = Duration::from_millis(5);
/// Interval at which the buffer should be flushed.
pub const FLUSH_PERIOD: Duration = Duration::from_millis(250);

static LOGGER: OnceLock<Logger> = OnceLock::new();

struct Logger {
    level: LevelFilter,
    buffer: Mutex<Buffer>,
    batches: Sender<String>,
    /// Batches that were sent to the writer thread and are not written yet.
    unwritten: AtomicUsize,
    /// Lines that the writer thread could not write.
    lost: AtomicU64,
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
        unwritten: AtomicUsize::new(0),
        lost: AtomicU64::new(0),
    };
    if LOGGER.set(logger).is_err() {
        return;
    }
    std::thread::spawn(move || {
        for batch in received {
            let written = write_lines(rustix::stdio::stdout(), &batch);
            if let (Err(lost), Some(logger)) = (written, LOGGER.get()) {
                logger.lost.fetch_add(lost, Ordering::AcqRel);
            }
            if let Some(logger) = LOGGER.get() {
                logger.unwritten.fetch_sub(1, Ordering::AcqRel);
            }
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
        let dropped = logger.take_dropped();
        if dropped > 0 {
            log_event!(Event::LogDropped, lines = dropped);
        }
    }
}

/// Sends the last lines to the writer thread and waits until it has written them, at most for
/// [`SHUTDOWN_TIMEOUT`]; returns whether it has.
pub fn shut_down() -> bool {
    let Some(logger) = LOGGER.get() else {
        return true;
    };
    let end = Instant::now() + SHUTDOWN_TIMEOUT;
    loop {
        flush();
        if logger.unwritten.load(Ordering::Acquire) == 0 && logger.is_empty() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(SHUTDOWN_POLL);
    }
}

/// Writes all lines, also if the descriptor does not block and takes them in parts.
///
/// # Errors
///
/// Returns the number of lines that are not completely written.
fn write_lines(output: impl AsFd, lines: &str) -> Result<(), u64> {
    let mut rest = lines.as_bytes();
    while !rest.is_empty() {
        match rustix::io::write(&output, next_write(rest)) {
            Ok(count) => rest = &rest[count..],
            Err(Errno::INTR) => {}
            Err(Errno::AGAIN) => {
                let mut ready = [PollFd::new(&output, PollFlags::OUT)];
                // A failed wait is followed by another write, which reports the error.
                let _ = rustix::event::poll(&mut ready, None);
            }
            Err(_) => {
                let lost = rest.split(|byte| *byte == b'\n').count() - 1;
                return Err(u64::try_from(lost).unwrap_or(u64::MAX));
            }
        }
    }
    Ok(())
}

/// Returns as many whole lines as fit into one write, or the beginning of a line that is longer.
fn next_write(lines: &[u8]) -> &[u8] {
    let Some(fitting) = lines.get(..MAX_WRITE_BYTES) else {
        return lines;
    };
    let last = fitting.iter().rposition(|byte| *byte == b'\n');
    last.map_or(fitting, |last| &fitting[..=last])
}

impl Logger {
    fn send_batch(&self) {
        let Ok(mut buffer) = self.buffer.lock() else {
            return;
        };
        if buffer.lines.is_empty() {
            return;
        }
        // Counted first, so that a batch is never written before it counts.
        self.unwritten.fetch_add(1, Ordering::AcqRel);
        match self.batches.try_send(std::mem::take(&mut buffer.lines)) {
            Ok(()) => {}
            Err(TrySendError::Full(lines) | TrySendError::Disconnected(lines)) => {
                self.unwritten.fetch_sub(1, Ordering::AcqRel);
                buffer.lines = lines;
            }
        }
    }

    /// Takes the number of lines that were dropped; 0 while the buffer has no room for a line that
    /// tells it.
    fn take_dropped(&self) -> u64 {
        let Ok(mut buffer) = self.buffer.lock() else {
            return 0;
        };
        if buffer.lines.len() > MAX_BUFFERED_BYTES {
            return 0;
        }
        std::mem::take(&mut buffer.dropped) + self.lost.swap(0, Ordering::AcqRel)
    }

    /// Returns whether no line waits in the buffer.
    fn is_empty(&self) -> bool {
        self.buffer
            .lock()
            .is_ok_and(|buffer| buffer.lines.is_empty() && buffer.dropped == 0)
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
