//! Server side of the JSON mapping of the etcd v3 API, backed by a [`FaultyStore`].
//!
//! As in the published mapping, 64-bit numbers are strings, fields with their default value are
//! omitted, and an error is an object with `code` (the numeric gRPC status) and `message`.

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
use serde_json::Value;
use serde_json::json;

use crate::faulty_store::FaultyStore;
use crate::server;
use crate::server::Response;
use crate::watch_stream;

/// An error response: HTTP status, gRPC status and message.
pub struct ApiError(u16, u16, String);

type Result<T> = std::result::Result<T, ApiError>;

impl From<StoreError> for ApiError {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Refused { reason } if reason.contains("too many requests") => {
                Self(429, 8, reason)
            }
            StoreError::Refused { reason } if reason.contains("not found") => Self(404, 5, reason),
            StoreError::Refused { reason } | StoreError::Rejected { reason } => {
                Self(400, 3, reason)
            }
            StoreError::Compacted { .. } => {
                let reason = "etcdserver: mvcc: required revision has been compacted";
                Self(400, 11, reason.into())
            }
            StoreError::Unreachable { .. }
            | StoreError::AnswerLost { .. }
            | StoreError::AnswerCut { .. } => server::disconnect(),
        }
    }
}

fn invalid_argument(reason: &str) -> ApiError {
    ApiError(400, 3, reason.into())
}

/// Handles a request, given its path below `/v3/`.
pub fn handle(path: &str, body: &[u8], store: &FaultyStore) -> Response {
    let response = match serde_json::from_slice::<Value>(body) {
        Ok(body) if path == "watch" => {
            return watch_stream::start(&body["create_request"], store)
                .unwrap_or_else(|error| error_response(&error));
        }
        Ok(body) => call(path, &body, store),
        Err(error) => Err(invalid_argument(&error.to_string())),
    };
    match response {
        Ok(response) => json(200, &response),
        Err(error) => error_response(&error),
    }
}

fn error_response(ApiError(status, code, reason): &ApiError) -> Response {
    let response = json!({"error": reason, "code": code, "message": reason});
    json(*status, &response)
}

fn json(status: u16, body: &Value) -> Response {
    let mut response = server::response(status, body.to_string());
    let content_type = "application/json".parse().expect("header value is valid");
    response.headers_mut().insert("content-type", content_type);
    response
}

fn call(path: &str, body: &Value, store: &FaultyStore) -> Result<Value> {
    match path {
        "kv/range" => range(body, store),
        "kv/txn" => txn(body, store),
        "lease/grant" => {
            let ttl = Duration::from_secs(parse_i64(&body["TTL"]).max(1).unsigned_abs());
            let StoreReply::Lease(id) = store.call(StoreCall::Grant(ttl))? else {
                return Err(invalid_argument("no lease"));
            };
            let ttl = ttl.as_secs().to_string();
            Ok(json!({"header": header(0), "ID": id.to_string(), "TTL": ttl}))
        }
        "lease/keepalive" => {
            let alive = store.call(StoreCall::KeepAlive(parse_i64(&body["ID"])))?;
            let mut result = json!({"header": header(0), "ID": body["ID"]});
            // The response for an expired lease has no TTL, since zero is the default.
            if matches!(alive, StoreReply::Flag(true)) {
                result["TTL"] = "1".into();
            }
            Ok(json!({"result": result}))
        }
        "lease/revoke" => {
            let lease = parse_i64(&body["ID"]);
            if !matches!(
                store.memory.call(StoreCall::KeepAlive(lease))?,
                StoreReply::Flag(true)
            ) {
                let reason = "etcdserver: requested lease not found".into();
                return Err(ApiError(404, 5, reason));
            }
            store.call(StoreCall::Revoke(lease))?;
            Ok(json!({"header": header(0)}))
        }
        _ => Err(ApiError(404, 5, "Not Found".into())),
    }
}

/// Parses a 64-bit number, which may be a string or a JSON number; zero if it is neither.
pub fn parse_i64(value: &Value) -> i64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_i64().unwrap_or(0),
    }
}

/// Returns a field by its name in the published API, or else by its camel-case alias.
fn field<'a>(body: &'a Value, name: &str, alias: &str) -> &'a Value {
    body.get(name).unwrap_or(&body[alias])
}

/// Returns the key of a request, and whether the request covers all keys with that prefix.
pub fn key_or_prefix(body: &Value) -> Result<(String, bool)> {
    let key = body["key"].as_str().and_then(decode);
    let key = key.ok_or_else(|| invalid_argument("key is not base64"))?;
    let end = field(body, "range_end", "rangeEnd");
    let is_prefix = !end.is_null();
    if is_prefix && end.as_str().and_then(decode) != Some(prefix_end(&key)) {
        let reason = "the stand-in serves single keys and prefixes";
        return Err(ApiError(501, 12, reason.into()));
    }
    let key = String::from_utf8(key).map_err(|error| invalid_argument(&error.to_string()))?;
    Ok((key, is_prefix))
}

/// Returns the header object that every response contains.
pub fn header(revision: i64) -> Value {
    json!({"cluster_id": "1", "member_id": "1", "revision": revision.to_string(), "raft_term": "1"})
}

/// Encodes an entry; fields with their default value are omitted.
pub fn encode_entry(entry: &KeyValue) -> Value {
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

fn add_entries(response: &mut Value, found: &[KeyValue]) {
    if !found.is_empty() {
        response["kvs"] = found.iter().map(encode_entry).collect();
        response["count"] = found.len().to_string().into();
    }
}

fn range(body: &Value, store: &FaultyStore) -> Result<Value> {
    let (key, is_prefix) = key_or_prefix(body)?;
    let from = parse_i64(field(body, "min_mod_revision", "minModRevision"));
    let reply = store.call(StoreCall::RangeSince(key.clone(), from))?;
    let StoreReply::Range(Snapshot {
        revision,
        entries: mut found,
    }) = reply
    else {
        return Err(invalid_argument("no range"));
    };
    found.retain(|entry| is_prefix || entry.key == key);
    let mut response = json!({"header": header(revision)});
    add_entries(&mut response, &found);
    Ok(response)
}

fn parse_txn(body: &Value) -> Result<Txn> {
    let empty = Vec::new();
    let list = |name| body[name].as_array().unwrap_or(&empty).iter();
    let mut txn = Txn::default();
    for compare in list("compare") {
        let (key, _) = key_or_prefix(compare)?;
        if compare["result"].as_str().unwrap_or("EQUAL") != "EQUAL" {
            return Err(ApiError(
                501,
                12,
                "the stand-in compares for equality".into(),
            ));
        }
        txn.compare.push(match compare["target"].as_str() {
            Some("MOD") => Compare::Modified(
                key,
                parse_i64(field(compare, "mod_revision", "modRevision")),
            ),
            Some("CREATE") => {
                let revision = field(compare, "create_revision", "createRevision");
                Compare::Created(key, parse_i64(revision))
            }
            _ => return Err(ApiError(501, 12, "the stand-in compares revisions".into())),
        });
    }
    for change in list("success") {
        let put = field(change, "request_put", "requestPut");
        if put.is_null() {
            let delete = field(change, "request_delete_range", "requestDeleteRange");
            txn = txn.delete(key_or_prefix(delete)?.0);
        } else {
            let value = put["value"].as_str().unwrap_or("");
            let value = decode(value).ok_or_else(|| invalid_argument("value is not base64"))?;
            txn = txn.put_leased(key_or_prefix(put)?.0, value, parse_i64(&put["lease"]));
        }
    }
    for read in list("failure") {
        txn = txn.or_read(key_or_prefix(field(read, "request_range", "requestRange"))?.0);
    }
    Ok(txn)
}

fn txn(body: &Value, store: &FaultyStore) -> Result<Value> {
    let txn = parse_txn(body)?;
    let StoreReply::Txn(reply) = store.call(StoreCall::Txn(txn.clone()))? else {
        return Err(invalid_argument("no transaction"));
    };
    let mut response = json!({"header": header(reply.revision)});
    if reply.committed {
        response["succeeded"] = true.into();
        return Ok(response);
    }
    let reads = txn.else_reads.iter().map(|key| {
        let found: Vec<KeyValue> = reply
            .found
            .iter()
            .filter(|entry| entry.key == *key)
            .cloned()
            .collect();
        let mut range = json!({"header": header(reply.revision)});
        add_entries(&mut range, &found);
        json!({"response_range": range})
    });
    response["responses"] = reads.collect();
    Ok(response)
}
