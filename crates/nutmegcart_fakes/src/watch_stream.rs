//! The streaming response to a watch: one JSON object per line while the connection is open.

use std::io;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::memory::WriteEvent;
use nutmegcart_platform::store::StoreCall;
use nutmegcart_platform::store::StoreReply;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc::Sender;
use tokio::sync::mpsc::channel;

use crate::faulty_store::FaultyStore;
use crate::server::ReceiverStream;
use crate::server::Response;
use crate::store_api;
use crate::store_api::ApiError;

/// Longest duration of a watch.
const MAX_WATCH_DURATION: Duration = Duration::from_mins(1);
/// Interval at which a watch checks whether its client has disconnected.
const CLIENT_CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Lines that wait for a client that reads slowly.
const MAX_QUEUED_LINES: usize = 16;

/// Opens a watch and returns its streaming response.
pub fn start(create: &Value, store: &FaultyStore) -> Result<Response, ApiError> {
    let (prefix, _) = store_api::key_or_prefix(create)?;
    // A watch is counted, and limited by the read rate, once when it is opened.
    let StoreReply::Range(snapshot) =
        store.call(StoreCall::RangeSince(prefix.clone(), i64::MAX))?
    else {
        unreachable!("the store replies to a range call with a range");
    };
    let from = match store_api::parse_i64(&create["start_revision"]) {
        0 => snapshot.revision + 1,
        from => from,
    };
    let created = json!({"result": {
        "header": store_api::header(snapshot.revision), "created": true,
    }});
    let watch = Watch {
        store: store.clone(),
        prefix,
        from,
        end: Instant::now() + MAX_WATCH_DURATION,
    };
    let (lines, received) = channel(MAX_QUEUED_LINES);
    tokio::task::spawn_blocking(move || watch.send_lines(&created, &lines));
    let body = StreamBody::new(ReceiverStream(received)).boxed_unsync();
    Ok(Response::new(body))
}

type LineSender = Sender<io::Result<Frame<Bytes>>>;

fn frame(value: &Value) -> Frame<Bytes> {
    Frame::data(Bytes::from(format!("{value}\n")))
}

struct Watch {
    store: FaultyStore,
    prefix: String,
    from: i64,
    end: Instant,
}

impl Watch {
    /// Sends the lines of the watch until it ends or its client has disconnected.
    fn send_lines(mut self, created: &Value, lines: &LineSender) {
        let mut line = Ok(Some((created.clone(), false)));
        loop {
            let last = match line {
                Ok(Some((value, last))) => lines.blocking_send(Ok(frame(&value))).is_err() || last,
                Ok(None) => lines.is_closed() || Instant::now() >= self.end,
                Err(error) => {
                    // The client is told by the end of the connection.
                    let _ = lines.blocking_send(Err(error));
                    true
                }
            };
            if last {
                return;
            }
            line = self.next_line();
        }
    }

    /// Waits for the next line; returns whether it is the last one, or nothing without a line.
    fn next_line(&mut self) -> io::Result<Option<(Value, bool)>> {
        let remaining = self.end.saturating_duration_since(Instant::now());
        let wait = remaining.min(CLIENT_CHECK_PERIOD);
        match self.store.wait(&self.prefix, self.from, wait) {
            Ok(true) => {}
            Ok(false) => return Ok(None),
            Err(StoreError::Compacted { oldest }) => {
                let cancelled = json!({"result": {
                    "header": store_api::header(oldest),
                    "canceled": true,
                    "compact_revision": oldest.to_string(),
                }});
                return Ok(Some((cancelled, true)));
            }
            Err(error) => return Err(io::Error::other(error)),
        }
        let events = self.store.memory.events(&self.prefix, self.from);
        let (events, revision) = events.map_err(io::Error::other)?;
        self.from = revision + 1;
        let events: Vec<Value> = events.iter().map(encode_event).collect();
        let line = json!({"result": {
            "header": store_api::header(revision), "events": events,
        }});
        Ok(Some((line, false)))
    }
}

/// Encodes an event; a write has no `type`, since `PUT` is the default.
fn encode_event(event: &WriteEvent) -> Value {
    let kv = store_api::encode_entry(&event.entry);
    if event.deleted {
        json!({"type": "DELETE", "kv": kv})
    } else {
        json!({"kv": kv})
    }
}
