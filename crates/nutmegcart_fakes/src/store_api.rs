//! The server side of the JSON mapping of the etcd v3 API, over a [`FaultyStore`].
//!
//! As in the published mapping, 64-bit numbers are strings, fields with their default value are
//! absent, and an error is an object with `code` (the numeric gRPC status) and `message`.

use std::time::Duration;

use nutmegcart_platform::Compare;
use nutmegcart_platform::KeyValue;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;
use nutmegcart_platform::etcd::decode;
use nutmegcart_platform::etcd::encode;
use nutmegcart_platform::etcd::prefix_end;
use nutmegcart_platform::store::Snapshot;
use nutmegcart_platform::store::StoreCall;
use nutmegcart_platform::store::StoreReply;
use oxhttp::model::Body;
use oxhttp::model::Response;
use serde_json::Value;
use serde_json::json;

use crate::server;
use crate::store_faults::FaultyStore;
use crate::watch_stream;

/// A refused call: HTTP status, gRPC status and message.
pub struct Refusal(u16, u16, String);

type Result<T> = std::result::Result<T, Refusal>;

impl From<StoreError> for Refusal {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Refused { reason } if reason.contains("too many requests") => {
                Self(429, 8, reason)
            }
            StoreError::Refused { reason } if reason.contains("not found") => Self(404, 5, reason),
            StoreError::Refused { reason } => Self(400, 3, reason),
            StoreError::Compacted { .. } => {
                let reason = "etcdserver: mvcc: required revision has been compacted";
                Self(400, 11, reason.into())
            }
            StoreError::Unreachable { .. } | StoreError::AnswerLost { .. } => server::disconnect(),
        }
    }
}

fn malformed(reason: &str) -> Refusal {
    Refusal(400, 3, reason.into())
}

/// Answers one call, given the path below `/v3/`.
pub fn handle(path: &str, body: &[u8], store: &FaultyStore) -> Response<Body> {
    let answer = match serde_json::from_slice::<Value>(body) {
        Ok(body) if path == "watch" => {
            return watch_stream::answer(&body["create_request"], store)
                .unwrap_or_else(|refusal| refuse(&refusal));
        }
        Ok(body) => call(path, &body, store),
        Err(error) => Err(malformed(&error.to_string())),
    };
    match answer {
        Ok(answer) => json(200, &answer),
        Err(refusal) => refuse(&refusal),
    }
}

fn refuse(Refusal(status, code, reason): &Refusal) -> Response<Body> {
    let answer = json!({"error": reason, "code": code, "message": reason});
    json(*status, &answer)
}

fn json(status: u16, answer: &Value) -> Response<Body> {
    let mut response = server::response(status, answer.to_string());
    let kind = "application/json".parse().expect("header value is valid");
    response.headers_mut().insert("content-type", kind);
    response
}

fn call(path: &str, body: &Value, store: &FaultyStore) -> Result<Value> {
    match path {
        "kv/range" => range(body, store),
        "kv/txn" => txn(body, store),
        "lease/grant" => {
            let length = Duration::from_secs(number(&body["TTL"]).max(1).unsigned_abs());
            let StoreReply::Lease(id) = store.call(StoreCall::Grant(length))? else {
                return Err(malformed("no lease"));
            };
            let length = length.as_secs().to_string();
            Ok(json!({"header": header(0), "ID": id.to_string(), "TTL": length}))
        }
        "lease/keepalive" => {
            let alive = store.call(StoreCall::KeepAlive(number(&body["ID"])))?;
            let mut result = json!({"header": header(0), "ID": body["ID"]});
            // An ended lease has no TTL in the answer, since zero is the default.
            if matches!(alive, StoreReply::Flag(true)) {
                result["TTL"] = "1".into();
            }
            Ok(json!({"result": result}))
        }
        "lease/revoke" => {
            let lease = number(&body["ID"]);
            if !matches!(
                store.memory.call(StoreCall::KeepAlive(lease))?,
                StoreReply::Flag(true)
            ) {
                let reason = "etcdserver: requested lease not found".into();
                return Err(Refusal(404, 5, reason));
            }
            store.call(StoreCall::Revoke(lease))?;
            Ok(json!({"header": header(0)}))
        }
        _ => Err(Refusal(404, 5, "Not Found".into())),
    }
}

/// Reads a 64-bit number, which may be a string or a JSON number.
pub fn number(value: &Value) -> i64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_i64().unwrap_or(0),
    }
}

/// Returns a field under its published name or its camel-case alias.
fn field<'a>(body: &'a Value, name: &str, alias: &str) -> &'a Value {
    body.get(name).unwrap_or(&body[alias])
}

/// Returns the key of a call, and whether the call covers the whole prefix.
pub fn prefix(body: &Value) -> Result<(String, bool)> {
    let key = body["key"].as_str().and_then(decode);
    let key = key.ok_or_else(|| malformed("key is not base64"))?;
    let end = field(body, "range_end", "rangeEnd");
    let whole = !end.is_null();
    if whole && end.as_str().and_then(decode) != Some(prefix_end(&key)) {
        let reason = "the stand-in serves single keys and prefixes";
        return Err(Refusal(501, 12, reason.into()));
    }
    let key = String::from_utf8(key).map_err(|error| malformed(&error.to_string()))?;
    Ok((key, whole))
}

/// Returns the header of every answer.
pub fn header(revision: i64) -> Value {
    json!({"cluster_id": "1", "member_id": "1", "revision": revision.to_string(), "raft_term": "1"})
}

/// Returns a key with its value, without fields that have their default value.
pub fn entry(entry: &KeyValue) -> Value {
    let mut value = json!({
        "key": encode(entry.key.as_bytes()),
        "mod_revision": entry.modified.to_string(),
    });
    if entry.created != 0 {
        value["create_revision"] = entry.created.to_string().into();
    }
    if !entry.value.is_empty() {
        value["value"] = encode(&entry.value).into();
    }
    if entry.lease != 0 {
        value["lease"] = entry.lease.to_string().into();
    }
    value
}

fn entries(answer: &mut Value, found: &[KeyValue]) {
    if !found.is_empty() {
        answer["kvs"] = found.iter().map(entry).collect();
        answer["count"] = found.len().to_string().into();
    }
}

fn range(body: &Value, store: &FaultyStore) -> Result<Value> {
    let (key, whole) = prefix(body)?;
    let from = number(field(body, "min_mod_revision", "minModRevision"));
    let reply = store.call(StoreCall::RangeSince(key.clone(), from))?;
    let StoreReply::Range(Snapshot {
        revision,
        entries: mut found,
    }) = reply
    else {
        return Err(malformed("no range"));
    };
    found.retain(|entry| whole || entry.key == key);
    let mut answer = json!({"header": header(revision)});
    entries(&mut answer, &found);
    Ok(answer)
}

fn parse_txn(body: &Value) -> Result<Txn> {
    let empty = Vec::new();
    let list = |name| body[name].as_array().unwrap_or(&empty).iter();
    let mut txn = Txn::default();
    for compare in list("compare") {
        let (key, _) = prefix(compare)?;
        if compare["result"].as_str().unwrap_or("EQUAL") != "EQUAL" {
            return Err(Refusal(
                501,
                12,
                "the stand-in compares for equality".into(),
            ));
        }
        txn.compare.push(match compare["target"].as_str() {
            Some("MOD") => {
                Compare::Modified(key, number(field(compare, "mod_revision", "modRevision")))
            }
            Some("CREATE") => {
                let revision = field(compare, "create_revision", "createRevision");
                Compare::Created(key, number(revision))
            }
            _ => return Err(Refusal(501, 12, "the stand-in compares revisions".into())),
        });
    }
    for change in list("success") {
        let put = field(change, "request_put", "requestPut");
        if put.is_null() {
            let delete = field(change, "request_delete_range", "requestDeleteRange");
            txn = txn.delete(prefix(delete)?.0);
        } else {
            let value = put["value"].as_str().unwrap_or("");
            let value = decode(value).ok_or_else(|| malformed("value is not base64"))?;
            txn = txn.put_leased(prefix(put)?.0, value, number(&put["lease"]));
        }
    }
    for read in list("failure") {
        txn = txn.or_read(prefix(field(read, "request_range", "requestRange"))?.0);
    }
    Ok(txn)
}

fn txn(body: &Value, store: &FaultyStore) -> Result<Value> {
    let txn = parse_txn(body)?;
    let StoreReply::Txn(reply) = store.call(StoreCall::Txn(txn.clone()))? else {
        return Err(malformed("no transaction"));
    };
    let mut answer = json!({"header": header(reply.revision)});
    if reply.committed {
        answer["succeeded"] = true.into();
        return Ok(answer);
    }
    let reads = txn.else_reads.iter().map(|key| {
        let found: Vec<KeyValue> = reply
            .found
            .iter()
            .filter(|entry| entry.key == *key)
            .cloned()
            .collect();
        let mut range = json!({"header": header(reply.revision)});
        entries(&mut range, &found);
        json!({"response_range": range})
    });
    answer["responses"] = reads.collect();
    Ok(answer)
}
