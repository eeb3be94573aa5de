//! Store client for the JSON-over-HTTP mapping of the etcd v3 API.
//!
//! Keys and values are base64, 64-bit numbers are decimal strings. A field with its default value
//! (zero, false, empty, `PUT`) may be absent from an answer. `docs/interfaces.md` has the details.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Lines;
use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use ureq::BodyReader;

use crate::http;
use crate::http::HttpError;
use crate::store::Compare;
use crate::store::KeyValue;
use crate::store::Result;
use crate::store::Revision;
use crate::store::Snapshot;
use crate::store::Store;
use crate::store::StoreCall;
use crate::store::StoreError;
use crate::store::StoreReply;
use crate::store::Txn;
use crate::store::TxnReply;
use crate::store::WriteOp;

/// Encodes bytes as base64, as the API expects.
#[must_use]
pub fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Decodes base64; returns none if the text is malformed.
#[must_use]
pub fn decode(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}

/// Returns the exclusive end of the key range that covers a prefix.
///
/// ```
/// assert_eq!(nutmegcart_platform::etcd::prefix_end(b"a/"), b"a0");
/// ```
#[must_use]
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

#[derive(Deserialize, Serialize, Default)]
#[serde(default)]
struct WireEntry {
    key: String,
    value: String,
    create_revision: String,
    mod_revision: String,
    lease: String,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct WireHeader {
    revision: String,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct WireRange {
    header: WireHeader,
    kvs: Vec<WireEntry>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct WireTxn {
    header: WireHeader,
    succeeded: bool,
    responses: Vec<WireResponse>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct WireResponse {
    #[serde(alias = "responseRange")]
    response_range: WireRange,
}

/// An error as the etcd gateway reports it; `code` is the numeric gRPC status.
///
/// Older gateways repeat the message in `error`; errors within a stream carry `grpc_code`.
#[derive(Deserialize, Default)]
#[serde(default)]
struct WireError {
    #[serde(alias = "grpc_code")]
    code: u16,
    message: String,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct WireWatch {
    result: WireWatchResult,
    error: Option<WireError>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct WireWatchResult {
    header: WireHeader,
    events: Vec<Value>,
    canceled: bool,
    compact_revision: String,
    cancel_reason: String,
}

/// gRPC status of a read at a revision that the store has compacted.
const GRPC_OUT_OF_RANGE: u16 = 11;
/// gRPC statuses that prove that a write had no effect: invalid argument, not found, already
/// exists, permission denied, resource exhausted, failed precondition, out of range, unimplemented,
/// unauthenticated. After any other status, such as "request timed out" (14), the write may have
/// been made.
const GRPC_WITHOUT_EFFECT: [u16; 9] = [3, 5, 6, 7, 8, 9, GRPC_OUT_OF_RANGE, 12, 16];

/// Parses a 64-bit number; an absent or malformed one is zero.
fn parse_number(text: &str) -> i64 {
    text.parse().unwrap_or(0)
}

fn key_value(wire: &WireEntry) -> Option<KeyValue> {
    Some(KeyValue {
        key: String::from_utf8(decode(&wire.key)?).ok()?,
        value: decode(&wire.value)?,
        created: parse_number(&wire.create_revision),
        modified: parse_number(&wire.mod_revision),
        lease: parse_number(&wire.lease),
    })
}

fn compare_json(condition: &Compare) -> Value {
    match condition {
        Compare::Modified(key, revision) => json!({
            "key": encode(key.as_bytes()), "target": "MOD", "result": "EQUAL",
            "mod_revision": revision.to_string(),
        }),
        Compare::Created(key, revision) => json!({
            "key": encode(key.as_bytes()), "target": "CREATE", "result": "EQUAL",
            "create_revision": revision.to_string(),
        }),
    }
}

fn write_json(write: &WriteOp) -> Value {
    match write {
        WriteOp::Put(key, value, lease) => json!({"requestPut": {
            "key": encode(key.as_bytes()), "value": encode(value), "lease": lease.to_string(),
        }}),
        WriteOp::Delete(key) => json!({"requestDeleteRange": {"key": encode(key.as_bytes())}}),
    }
}

impl From<HttpError> for StoreError {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::NotSent { reason } => Self::Unreachable { reason },
            HttpError::NoAnswer { reason } => Self::AnswerLost { reason },
            HttpError::Status { status, reason } => {
                match serde_json::from_str::<WireError>(&reason) {
                    Ok(wire) if wire.code != 0 => wire.into(),
                    // A 5xx from a proxy does not show whether the store made the write.
                    _ if status >= 500 => Self::AnswerLost { reason },
                    _ => Self::Refused { reason },
                }
            }
        }
    }
}

impl From<WireError> for StoreError {
    fn from(wire: WireError) -> Self {
        let reason = format!("{} (code {})", wire.message, wire.code);
        if GRPC_WITHOUT_EFFECT.contains(&wire.code) {
            Self::Refused { reason }
        } else {
            Self::AnswerLost { reason }
        }
    }
}

/// Returns a client of a store that provides the JSON mapping of the etcd v3 API.
///
/// The timeout limits each call except [`StoreCall::Wait`], which has its own.
#[must_use]
pub fn connect(address: SocketAddr, timeout: Duration) -> Store {
    let client = EtcdClient {
        watch: Mutex::new(None),
        agent: http::agent(timeout),
        base_url: format!("http://{address}/v3"),
    };
    Store::new(move |call| client.call(&call))
}

struct EtcdClient {
    /// Watch kept open between waits.
    watch: Mutex<Option<Watch>>,
    agent: ureq::Agent,
    /// URL to which the paths of the calls are appended.
    base_url: String,
}

impl EtcdClient {
    fn post<T: serde::de::DeserializeOwned>(&self, path: &str, body: &Value) -> Result<T> {
        Ok(http::post(
            &self.agent,
            &format!("{}{path}", self.base_url),
            body,
        )?)
    }

    fn call(&self, call: &StoreCall) -> Result<StoreReply> {
        match call {
            StoreCall::Range(prefix) => self.range(prefix, 0),
            StoreCall::RangeSince(prefix, from) => self.range(prefix, *from),
            StoreCall::Txn(txn) => self.txn(txn),
            StoreCall::Grant(ttl) => {
                let seconds = ttl.as_secs().max(1).to_string();
                let wire: Value = self.post("/lease/grant", &json!({"TTL": seconds}))?;
                Ok(StoreReply::Lease(number_field(&wire, "ID")))
            }
            StoreCall::KeepAlive(lease) => {
                let body = json!({"ID": lease.to_string()});
                let wire: Value = self.post("/lease/keepalive", &body)?;
                Ok(StoreReply::Flag(number_field(&wire["result"], "TTL") > 0))
            }
            StoreCall::Revoke(lease) => {
                let body = json!({"ID": lease.to_string()});
                match self.post::<Value>("/lease/revoke", &body) {
                    // The lease has ended already, so nothing is left to do.
                    Err(StoreError::Refused { reason }) if reason.contains("not found") => {}
                    other => drop(other?),
                }
                Ok(StoreReply::Done)
            }
            StoreCall::Wait(prefix, from, timeout) => self.wait(prefix, *from, *timeout),
        }
    }

    fn txn(&self, txn: &Txn) -> Result<StoreReply> {
        let reads = txn.else_reads.iter();
        let reads = reads.map(|key| json!({"requestRange": {"key": encode(key.as_bytes())}}));
        let body = json!({
            "compare": txn.compare.iter().map(compare_json).collect::<Vec<_>>(),
            "success": txn.writes.iter().map(write_json).collect::<Vec<_>>(),
            "failure": reads.collect::<Vec<_>>(),
        });
        let wire: WireTxn = self.post("/kv/txn", &body)?;
        let mut found = Vec::new();
        if !wire.succeeded {
            let entries = wire.responses.iter();
            let entries = entries.flat_map(|response| &response.response_range.kvs);
            found = read_entries(entries)?;
        }
        Ok(StoreReply::Txn(TxnReply {
            committed: wire.succeeded,
            revision: parse_number(&wire.header.revision),
            found,
        }))
    }

    fn range(&self, prefix: &str, from: Revision) -> Result<StoreReply> {
        let mut body = json!({
            "key": encode(prefix.as_bytes()),
            "range_end": encode(&prefix_end(prefix.as_bytes())),
        });
        if from > 0 {
            body["min_mod_revision"] = from.to_string().into();
        }
        let wire: WireRange = self.post("/kv/range", &body)?;
        Ok(StoreReply::Range(Snapshot {
            revision: parse_number(&wire.header.revision),
            entries: read_entries(&wire.kvs)?,
        }))
    }

    /// Waits on the open watch if it covers the prefix and revision, and opens a new one otherwise.
    fn wait(&self, prefix: &str, from: Revision, timeout: Duration) -> Result<StoreReply> {
        let open = self.watch.lock().take();
        let open = open.filter(|watch| watch.prefix == prefix && watch.next <= from);
        let watch = match open {
            Some(watch) => Some(watch),
            None => self.open_watch(prefix, from, timeout)?,
        };
        let Some(mut watch) = watch else {
            return Ok(StoreReply::Flag(false));
        };
        let changed = watch.wait(from)?;
        if changed {
            *self.watch.lock() = Some(watch);
        }
        Ok(StoreReply::Flag(changed))
    }

    /// Opens a watch that ends at the timeout; returns none if the store did not answer by then.
    fn open_watch(&self, prefix: &str, from: Revision, timeout: Duration) -> Result<Option<Watch>> {
        let body = json!({"create_request": {
            "key": encode(prefix.as_bytes()),
            "range_end": encode(&prefix_end(prefix.as_bytes())),
            "start_revision": from.to_string(),
        }});
        let request = self.agent.post(format!("{}/watch", self.base_url));
        let request = request.config().timeout_global(Some(timeout)).build();
        let body = body.to_string();
        let answer = request
            .content_type("application/json")
            .send(body.as_bytes());
        let mut answer = match answer {
            Ok(answer) => answer,
            Err(ureq::Error::Timeout(_)) => return Ok(None),
            Err(error) => return Err(http::call_error(&error).into()),
        };
        let status = answer.status().as_u16();
        if status >= 400 {
            let reason = answer.body_mut().read_to_string().unwrap_or_default();
            return Err(HttpError::Status { status, reason }.into());
        }
        Ok(Some(Watch {
            prefix: prefix.to_owned(),
            next: from,
            lines: BufReader::new(answer.into_body().into_reader()).lines(),
        }))
    }
}

/// An open watch: a streamed answer with one JSON object on each line.
///
/// It stays open between waits, so that each write arrives as a message without a new call.
struct Watch {
    prefix: String,
    /// Lowest revision that has not been reported.
    next: Revision,
    lines: Lines<BufReader<BodyReader<'static>>>,
}

impl Watch {
    /// Reads messages until one reports a write at or after the revision, or the watch ends.
    fn wait(&mut self, from: Revision) -> Result<bool> {
        for line in self.lines.by_ref() {
            let line = match line {
                Ok(line) => line,
                Err(error) if is_timeout(&error) => return Ok(false),
                Err(error) => {
                    let reason = error.to_string();
                    return Err(StoreError::AnswerLost { reason });
                }
            };
            if line.trim().is_empty() {
                continue;
            }
            if let Some(latest) = parse_watch_message(&line, from)? {
                self.next = latest + 1;
                return Ok(true);
            }
        }
        Ok(false)
    }
}

/// Parses one message of a watch and returns the latest revision that it reports; returns none if
/// the wait must continue.
fn parse_watch_message(line: &str, from: Revision) -> Result<Option<Revision>> {
    let wire: WireWatch = serde_json::from_str(line).map_err(|error| StoreError::AnswerLost {
        reason: error.to_string(),
    })?;
    if let Some(error) = wire.error {
        return Err(error.into());
    }
    let result = wire.result;
    let compacted = parse_number(&result.compact_revision);
    if compacted > 0 {
        return Err(StoreError::Compacted { oldest: compacted });
    }
    if result.canceled {
        let reason = result.cancel_reason;
        return Err(StoreError::Refused { reason });
    }
    let current = parse_number(&result.header.revision);
    let Some(latest) = result.events.iter().map(event_revision).max() else {
        // The first message has no events and gives the store's current revision. One below those
        // that the caller has seen shows that the store was restored from a backup.
        let restored = current + 1 < from;
        return Ok(restored.then_some(current));
    };
    Ok((latest >= from).then_some(latest))
}

fn event_revision(event: &Value) -> Revision {
    number_field(&event["kv"], "mod_revision")
}

fn is_timeout(error: &std::io::Error) -> bool {
    let inner = error.get_ref().and_then(|inner| inner.downcast_ref());
    matches!(inner, Some(ureq::Error::Timeout(_))) || error.kind() == std::io::ErrorKind::TimedOut
}

fn read_entries<'a>(wire: impl IntoIterator<Item = &'a WireEntry>) -> Result<Vec<KeyValue>> {
    let entries: Option<Vec<KeyValue>> = wire.into_iter().map(key_value).collect();
    entries.ok_or_else(|| StoreError::AnswerLost {
        reason: "malformed base64".into(),
    })
}

/// Reads a 64-bit number, which the mapping encodes as a string.
fn number_field(value: &Value, name: &str) -> i64 {
    match &value[name] {
        Value::String(text) => parse_number(text),
        other => other.as_i64().unwrap_or(0),
    }
}
