//! The streamed answer to a watch: one JSON object a line, while the connection lives.

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

use crate::store_api;
use crate::store_api::Refusal;
use crate::store_faults::FaultyStore;

/// Longest time that a watch is held; its thread cannot see that the client has gone.
const WATCH_TIME: Duration = Duration::from_mins(1);
/// Spaces after each line, which JSON allows before the next object, since the server library sends
/// a streamed body only when its buffer of 16 KB is full.
const PADDING: usize = 20 << 10;

/// Starts the streamed answer.
pub fn answer(create: &Value, store: &FaultyStore) -> Result<Response<Body>, Refusal> {
    let (prefix, _) = store_api::prefix(create)?;
    // The call that opens the watch is the one that counts.
    let StoreReply::Range(snapshot) =
        store.call(StoreCall::RangeSince(prefix.clone(), i64::MAX))?
    else {
        unreachable!("a range is answered by a range");
    };
    let from = match store_api::number(&create["start_revision"]) {
        0 => snapshot.revision + 1,
        from => from,
    };
    let created = json!({"result": {
        "header": store_api::header(snapshot.revision), "created": true,
    }});
    let stream = Stream {
        store: store.clone(),
        prefix,
        from,
        end: Some(Instant::now() + WATCH_TIME),
        line: padded(&created),
        read: 0,
    };
    Ok(Response::new(Body::from_read(stream)))
}

fn padded(value: &Value) -> Vec<u8> {
    format!("{value}\n{:PADDING$}", "").into_bytes()
}

struct Stream {
    store: FaultyStore,
    prefix: String,
    from: i64,
    /// None after the last line.
    end: Option<Instant>,
    line: Vec<u8>,
    read: usize,
}

impl Read for Stream {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if self.read == self.line.len() {
            (self.line, self.read) = (self.next()?, 0);
        }
        let count = (&self.line[self.read..]).read(buffer)?;
        self.read += count;
        Ok(count)
    }
}

impl Stream {
    fn next(&mut self) -> std::io::Result<Vec<u8>> {
        let Some(end) = self.end else {
            return Ok(Vec::new());
        };
        let left = end.saturating_duration_since(Instant::now());
        match self.store.wait(&self.prefix, self.from, left) {
            Ok(true) => {}
            Ok(false) => return Ok(Vec::new()),
            Err(StoreError::Compacted { oldest }) => {
                self.end = None;
                return Ok(padded(&json!({"result": {
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
        let events: Vec<Value> = events.iter().map(event).collect();
        Ok(padded(&json!({"result": {
            "header": store_api::header(revision), "events": events,
        }})))
    }
}

/// A write has no `type`, since `PUT` is the default.
fn event(event: &WriteEvent) -> Value {
    let kv = store_api::entry(&event.entry);
    if event.deleted {
        json!({"type": "DELETE", "kv": kv})
    } else {
        json!({"kv": kv})
    }
}
