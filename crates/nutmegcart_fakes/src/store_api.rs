//! The server side of the JSON mapping of the etcd v3 API, over a [`MemoryStore`].

use std::time::Duration;

use nutmegcart_platform::KeyValue;
use nutmegcart_platform::MemoryStore;
use nutmegcart_platform::Txn;
use nutmegcart_platform::etcd::decode;
use nutmegcart_platform::etcd::encode;
use nutmegcart_platform::store::Call;
use nutmegcart_platform::store::Reply;
use oxhttp::model::Body;
use oxhttp::model::Response;
use serde_json::Value;
use serde_json::json;

use crate::server;

/// Largest value in bytes.
const MAX_VALUE: usize = 1_000_000;
/// Longest time that a watch is held before it ends without an event.
const WATCH_TIME: Duration = Duration::from_mins(1);

/// Answers one call, given the path below `/v3/`.
pub fn handle(path: &str, body: &[u8], store: &MemoryStore) -> Response<Body> {
    let Ok(body) = serde_json::from_slice::<Value>(body) else {
        return server::answer(400, "not JSON");
    };
    let answer = match path {
        "kv/range" => range(&body, store),
        "kv/txn" => txn(&body, store),
        "lease/grant" => {
            let length = Duration::from_secs(number(&body["TTL"]).max(1).unsigned_abs());
            match store.call(Call::Grant(length)) {
                Reply::Lease(id) => json!({"ID": id.to_string(), "TTL": body["TTL"]}),
                _ => Value::Null,
            }
        }
        "lease/keepalive" => {
            let alive = matches!(
                store.call(Call::KeepAlive(number(&body["ID"]))),
                Reply::Flag(true)
            );
            json!({"result": {"ID": body["ID"], "TTL": if alive { "1" } else { "0" }}})
        }
        "lease/revoke" => {
            let _ = store.call(Call::Revoke(number(&body["ID"])));
            json!({})
        }
        "watch" => watch(&body["create_request"], store),
        _ => return server::answer(404, "no such call"),
    };
    if answer.is_null() {
        return server::answer(400, "malformed call or value above 1 MB");
    }
    server::answer(200, format!("{answer}\n"))
}

fn number(value: &Value) -> i64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_i64().unwrap_or(0),
    }
}

fn text(value: &Value) -> Option<String> {
    String::from_utf8(decode(value.as_str()?)?).ok()
}

fn entry(entry: &KeyValue) -> Value {
    json!({
        "key": encode(entry.key.as_bytes()),
        "value": encode(&entry.value),
        "create_revision": entry.created.to_string(),
        "mod_revision": entry.modified.to_string(),
        "lease": entry.lease.to_string(),
    })
}

/// Only prefix ranges are served: a `range_end` is taken as the end of the key's prefix.
fn range(body: &Value, store: &MemoryStore) -> Value {
    let Some(prefix) = text(&body["key"]) else {
        return Value::Null;
    };
    let whole = body.get("range_end").is_some();
    let Reply::Range(snapshot) = store.call(Call::Range(prefix.clone())) else {
        return Value::Null;
    };
    let entries = snapshot.entries.iter();
    let entries: Vec<Value> = entries
        .filter(|found| whole || found.key == prefix)
        .map(entry)
        .collect();
    json!({
        "header": {"revision": snapshot.revision.to_string()},
        "kvs": entries,
        "count": entries.len().to_string(),
    })
}

fn parse_txn(body: &Value) -> Option<Txn> {
    let empty = Vec::new();
    let mut txn = Txn::default();
    for compare in body["compare"].as_array().unwrap_or(&empty) {
        let key = text(&compare["key"])?;
        txn = match compare["target"].as_str()? {
            "MOD" => txn.unchanged(key, number(&compare["mod_revision"])),
            "CREATE" => txn.held(key, number(&compare["create_revision"])),
            _ => return None,
        };
    }
    for change in body["success"].as_array().unwrap_or(&empty) {
        let put = &change["requestPut"];
        if put.is_null() {
            txn = txn.delete(text(&change["requestDeleteRange"]["key"])?);
        } else {
            let value = decode(put["value"].as_str()?)?;
            if value.len() > MAX_VALUE {
                return None;
            }
            txn = txn.put_leased(text(&put["key"])?, value, number(&put["lease"]));
        }
    }
    Some(txn)
}

fn txn(body: &Value, store: &MemoryStore) -> Value {
    let Some(txn) = parse_txn(body) else {
        return Value::Null;
    };
    let Reply::Txn(reply) = store.call(Call::Txn(txn)) else {
        return Value::Null;
    };
    json!({
        "header": {"revision": reply.revision.to_string()},
        "succeeded": reply.committed,
    })
}

fn watch(create: &Value, store: &MemoryStore) -> Value {
    let Some(prefix) = text(&create["key"]) else {
        return Value::Null;
    };
    let from = number(&create["start_revision"]);
    let changed = store.call(Call::Wait(prefix.clone(), from, WATCH_TIME));
    let Reply::Range(snapshot) = store.call(Call::Range(prefix)) else {
        return Value::Null;
    };
    let written = snapshot
        .entries
        .iter()
        .filter(|found| found.modified >= from);
    let mut events: Vec<Value> = written
        .map(|found| json!({"type": "PUT", "kv": entry(found)}))
        .collect();
    if matches!(changed, Reply::Flag(true)) && events.is_empty() {
        events.push(json!({"type": "DELETE"}));
    }
    json!({"result": {
        "header": {"revision": snapshot.revision.to_string()},
        "events": events,
    }})
}
