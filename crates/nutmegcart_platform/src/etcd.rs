//! The JSON-over-HTTP mapping of the etcd v3 API.
//!
//! Keys and values are base64, 64-bit numbers are decimal strings. The types serve both the
//! client here and stand-ins of the server.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::HttpError;
use crate::store::Call;
use crate::store::Change;
use crate::store::Compare;
use crate::store::KeyValue;
use crate::store::Reply;
use crate::store::Result;
use crate::store::Snapshot;
use crate::store::Store;
use crate::store::StoreError;
use crate::store::TxnReply;

/// Encodes bytes as the API expects them.
#[must_use]
pub fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Decodes base64 text; malformed text gives no bytes.
#[must_use]
pub fn decode(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}

/// Returns the end of the range that covers a prefix.
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
}

fn number(text: &str) -> i64 {
    text.parse().unwrap_or(0)
}

fn entry(wire: &WireEntry) -> Option<KeyValue> {
    Some(KeyValue {
        key: String::from_utf8(decode(&wire.key)?).ok()?,
        value: decode(&wire.value)?,
        created: number(&wire.create_revision),
        modified: number(&wire.mod_revision),
        lease: number(&wire.lease),
    })
}

fn compare(condition: &Compare) -> Value {
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

fn change(change: &Change) -> Value {
    match change {
        Change::Put(key, value, lease) => json!({"requestPut": {
            "key": encode(key.as_bytes()), "value": encode(value), "lease": lease.to_string(),
        }}),
        Change::Delete(key) => json!({"requestDeleteRange": {"key": encode(key.as_bytes())}}),
    }
}

impl From<HttpError> for StoreError {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::NotSent { reason } => Self::Unreachable { reason },
            HttpError::NoAnswer { reason } => Self::AnswerLost { reason },
            HttpError::Status { reason, .. } => Self::Refused { reason },
        }
    }
}

/// Connects to a store that speaks the JSON mapping of the etcd v3 API.
///
/// Each call except a wait is bounded by the timeout.
#[must_use]
pub fn connect(address: SocketAddr, timeout: Duration) -> Store {
    let client = Client {
        agent: http::agent(timeout),
        base: format!("http://{address}/v3"),
    };
    Store::new(move |call| client.call(&call))
}

struct Client {
    agent: ureq::Agent,
    base: String,
}

impl Client {
    fn post<T: serde::de::DeserializeOwned>(&self, path: &str, body: &Value) -> Result<T> {
        Ok(http::post(
            &self.agent,
            &format!("{}{path}", self.base),
            body,
        )?)
    }

    fn call(&self, call: &Call) -> Result<Reply> {
        match call {
            Call::Range(prefix) => self.range(prefix),
            Call::Txn(txn) => {
                let body = json!({
                    "compare": txn.compare.iter().map(compare).collect::<Vec<_>>(),
                    "success": txn.change.iter().map(change).collect::<Vec<_>>(),
                });
                let wire: WireTxn = self.post("/kv/txn", &body)?;
                Ok(Reply::Txn(TxnReply {
                    committed: wire.succeeded,
                    revision: number(&wire.header.revision),
                }))
            }
            Call::Grant(time) => {
                let seconds = time.as_secs().max(1).to_string();
                let wire: Value = self.post("/lease/grant", &json!({"TTL": seconds}))?;
                Ok(Reply::Lease(field(&wire, "ID")))
            }
            Call::KeepAlive(lease) => {
                let body = json!({"ID": lease.to_string()});
                let wire: Value = self.post("/lease/keepalive", &body)?;
                Ok(Reply::Flag(field(&wire["result"], "TTL") > 0))
            }
            Call::Revoke(lease) => {
                let body = json!({"ID": lease.to_string()});
                self.post::<Value>("/lease/revoke", &body)?;
                Ok(Reply::Done)
            }
            Call::Wait(prefix, from, time) => self.wait(prefix, *from, *time),
        }
    }

    fn range(&self, prefix: &str) -> Result<Reply> {
        let body = json!({
            "key": encode(prefix.as_bytes()),
            "range_end": encode(&prefix_end(prefix.as_bytes())),
        });
        let wire: WireRange = self.post("/kv/range", &body)?;
        let entries: Option<Vec<KeyValue>> = wire.kvs.iter().map(entry).collect();
        let entries = entries.ok_or_else(|| StoreError::AnswerLost {
            reason: "malformed base64".into(),
        })?;
        Ok(Reply::Range(Snapshot {
            revision: number(&wire.header.revision),
            entries,
        }))
    }

    /// A watch is a streamed answer with one JSON object a line; the first write ends the wait.
    fn wait(&self, prefix: &str, from: i64, time: Duration) -> Result<Reply> {
        let body = json!({"create_request": {
            "key": encode(prefix.as_bytes()),
            "range_end": encode(&prefix_end(prefix.as_bytes())),
            "start_revision": from.to_string(),
        }});
        let request = self.agent.post(format!("{}/watch", self.base));
        let request = request.config().timeout_global(Some(time)).build();
        let body = body.to_string();
        let answer = match request
            .content_type("application/json")
            .send(body.as_bytes())
        {
            Ok(answer) if answer.status().is_success() => answer,
            Ok(answer) => {
                let reason = format!("status {}", answer.status());
                return Err(StoreError::Refused { reason });
            }
            Err(ureq::Error::Timeout(_)) => return Ok(Reply::Flag(false)),
            Err(error) => {
                let reason = error.to_string();
                return Err(StoreError::Unreachable { reason });
            }
        };
        for line in BufReader::new(answer.into_body().into_reader()).lines() {
            let Ok(line) = line else {
                return Ok(Reply::Flag(false));
            };
            let wire: Value = serde_json::from_str(&line).unwrap_or_default();
            let events = wire["result"]["events"].as_array();
            if events.is_some_and(|events| !events.is_empty()) {
                return Ok(Reply::Flag(true));
            }
        }
        Ok(Reply::Flag(false))
    }
}

/// Reads a 64-bit number that the mapping writes as a string.
fn field(value: &Value, name: &str) -> i64 {
    match &value[name] {
        Value::String(text) => number(text),
        other => other.as_i64().unwrap_or(0),
    }
}
