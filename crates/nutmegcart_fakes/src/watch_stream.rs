//! The streaming response to a watch: one JSON object per line while the connection is open.

use std::io::Read;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_platform::StoreError;
use nutmegcart_platform::memory::WriteEvent;
use nutmegcart_platform::store::StoreCall;
use nutmegcart_platform::store::StoreReply;
use oxhttp::model::Body;
use oxhttp::model::Response;
use serde_json::Value;
use serde_json::json;

use crate::faulty_store::FaultyStore;
use crate::store_api;
use crate::store_api::ApiError;

/// Longest duration of a watch; its thread cannot detect that the client has disconnected.
const MAX_WATCH_DURATION: Duration = Duration::from_mins(1);
/// Number of spaces after each line, which JSON allows before the next object.
///
/// The server library sends a streamed body only when its buffer of 16 KB is full.
const PADDING_BYTES: usize = 20 << 10;

/// Opens a watch and returns its streaming response.
pub fn start(create: &Value, store: &FaultyStore) -> Result<Response<Body>, ApiError> {
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
    let stream = WatchStream {
        store: store.clone(),
        prefix,
        from,
        end: Some(Instant::now() + MAX_WATCH_DURATION),
        line: padded_line(&created),
        read: 0,
    };
    Ok(Response::new(Body::from_read(stream)))
}

fn padded_line(value: &Value) -> Vec<u8> {
    format!("{value}\n{:PADDING_BYTES$}", "").into_bytes()
}

struct WatchStream {
    store: FaultyStore,
    prefix: String,
    from: i64,
    /// Time at which the watch ends, or `None` after its last line.
    end: Option<Instant>,
    line: Vec<u8>,
    read: usize,
}

impl Read for WatchStream {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if self.read == self.line.len() {
            (self.line, self.read) = (self.next_line()?, 0);
        }
        let count = (&self.line[self.read..]).read(buffer)?;
        self.read += count;
        Ok(count)
    }
}

impl WatchStream {
    fn next_line(&mut self) -> std::io::Result<Vec<u8>> {
        let Some(end) = self.end else {
            return Ok(Vec::new());
        };
        let remaining = end.saturating_duration_since(Instant::now());
        match self.store.wait(&self.prefix, self.from, remaining) {
            Ok(true) => {}
            Ok(false) => return Ok(Vec::new()),
            Err(StoreError::Compacted { oldest }) => {
                self.end = None;
                return Ok(padded_line(&json!({"result": {
                    "header": store_api::header(oldest),
                    "canceled": true,
                    "compact_revision": oldest.to_string(),
                }})));
            }
            Err(error) => return Err(std::io::Error::other(error)),
        }
        let events = self.store.memory.events(&self.prefix, self.from);
        let (events, revision) = events.map_err(std::io::Error::other)?;
        self.from = revision + 1;
        let events: Vec<Value> = events.iter().map(encode_event).collect();
        Ok(padded_line(&json!({"result": {
            "header": store_api::header(revision), "events": events,
        }})))
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
