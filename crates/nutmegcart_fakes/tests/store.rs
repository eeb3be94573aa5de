//! Guards against deviations of the client and the fake store from the published etcd v3 API.

use std::thread::spawn;
use std::time::Duration;

use nutmegcart_fakes::FakePlatform;
use nutmegcart_platform::Store;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;
use nutmegcart_platform::etcd;
use nutmegcart_platform::http::HttpError;
use serde_json::Value;
use serde_json::json;

/// Time limit of each call, long enough for a heavily loaded machine.
const TIMEOUT: Duration = Duration::from_secs(20);

fn start() -> (FakePlatform, Store) {
    let platform = FakePlatform::start(Duration::ZERO);
    let store = etcd::connect(platform.address, TIMEOUT);
    (platform, store)
}

fn put(key: &str, value: &[u8]) -> Txn {
    Txn::default().put(key, value.to_vec())
}

/// Posts a body without the store client, and returns the status and the response.
fn post(platform: &FakePlatform, path: &str, body: &Value) -> (u16, Value) {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let url = format!("http://{}/v3/{path}", platform.address);
    let mut response = agent.post(url).send(body.to_string().as_bytes()).unwrap();
    let text = response.body_mut().read_to_string().unwrap();
    (
        response.status().as_u16(),
        serde_json::from_str(&text).unwrap(),
    )
}

#[test]
fn responses_omit_default_values_and_encode_numbers_as_strings() {
    let (platform, store) = start();
    let body = json!({"key": etcd::encode(b"a")});
    let (_, empty) = post(&platform, "kv/range", &body);
    assert!(empty.get("kvs").is_none() && empty.get("count").is_none());
    store.txn(&put("a", b"1")).unwrap();
    let (_, found) = post(&platform, "kv/range", &body);
    assert_eq!(found["header"]["revision"], "1");
    assert_eq!(found["kvs"][0]["mod_revision"], "1");
    assert_eq!(found["kvs"][0]["value"], "MQ==");
    let (_, expired) = post(&platform, "lease/keepalive", &json!({"ID": "99"}));
    assert!(expired["result"].get("TTL").is_none());
}

#[test]
fn accepts_the_published_names_and_their_camel_case_aliases() {
    let (platform, _store) = start();
    let key = etcd::encode(b"a");
    let txn = json!({
        "compare": [{"key": key, "target": "CREATE", "createRevision": "0"}],
        "success": [{"request_put": {"key": key, "value": key}}],
        "failure": [{"requestRange": {"key": key}}],
    });
    assert_eq!(post(&platform, "kv/txn", &txn).1["succeeded"], true);
    let (_, second) = post(&platform, "kv/txn", &txn);
    assert!(second.get("succeeded").is_none());
    assert_eq!(second["responses"][0]["response_range"]["count"], "1");
}

macro_rules! refused_requests {
    ($($name:ident: $path:literal $body:expr => $status:literal, $code:literal;)*) => {$(
        #[test]
        fn $name() {
            let (platform, _store) = start();
            let (status, response) = post(&platform, $path, &$body);
            assert_eq!((status, response["code"].as_u64()), ($status, Some($code)));
            assert!(response["message"].is_string());
        }
    )*};
}

fn puts(count: usize) -> Value {
    let puts = (0..count).map(|index| {
        let key = etcd::encode(index.to_string().as_bytes());
        json!({"requestPut": {"key": key}})
    });
    json!({"success": puts.collect::<Vec<_>>()})
}

refused_requests! {
    refuses_text_that_is_not_base64: "kv/range" json!({"key": "*"}) => 400, 3;
    refuses_more_than_128_operations: "kv/txn" puts(129) => 400, 3;
    refuses_revoking_an_unknown_lease: "lease/revoke" json!({"ID": "9"}) => 404, 5;
    refuses_a_value_above_one_megabyte: "kv/txn" json!({"success": [{"requestPut":
        {"key": "YQ==", "value": etcd::encode(&vec![0; 1_000_001])}}]}) => 400, 3;
}

#[test]
fn only_definite_refusals_mean_that_a_write_had_no_effect() {
    let status = |status, reason: &str| {
        StoreError::from(HttpError::Status {
            status,
            reason: reason.into(),
        })
    };
    let limited = status(
        429,
        r#"{"code":8,"message":"etcdserver: too many requests"}"#,
    );
    assert!(matches!(limited, StoreError::Refused { .. }));
    let late = status(
        503,
        r#"{"code":14,"message":"etcdserver: request timed out"}"#,
    );
    assert!(matches!(late, StoreError::AnswerLost { .. }));
    let proxy = status(502, "bad gateway");
    assert!(matches!(proxy, StoreError::AnswerLost { .. }));
}

#[test]
fn failed_transaction_returns_the_requested_entries() {
    let (_platform, store) = start();
    let txn = put("a", b"1").absent("a").or_read("a").or_read("b");
    assert!(store.txn(&txn).unwrap().committed);
    let reply = store.txn(&txn).unwrap();
    assert_eq!(reply.found.len(), 1);
    assert_eq!(reply.found[0].value, b"1");
}

#[test]
fn a_range_returns_only_keys_written_since_a_revision() {
    let (_platform, store) = start();
    let first = store.txn(&put("a/1", b"")).unwrap().revision;
    store.txn(&put("a/2", b"")).unwrap();
    let found = store.range_since("a/", first + 1).unwrap().entries;
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].key, "a/2");
}

#[test]
fn watch_reports_writes_deletions_and_revoked_leases() {
    let (_platform, store) = start();
    let lease = store.grant_lease(TIMEOUT).unwrap();
    let leased = Txn::default().put_leased("w/a", Vec::new(), lease);
    for change in [put("w/b", b""), Txn::default().delete("w/b"), leased] {
        let from = store.range("w/").unwrap().revision + 1;
        let watch = store.clone();
        let waiter = spawn(move || watch.wait_for_write("w/", from, TIMEOUT));
        store.txn(&change).unwrap();
        assert_eq!(waiter.join().unwrap(), Ok(true));
    }
    let from = store.range("w/").unwrap().revision + 1;
    store.revoke_lease(lease).unwrap();
    assert_eq!(store.wait_for_write("w/", from, TIMEOUT), Ok(true));
    assert_eq!(store.revoke_lease(lease), Ok(()));
    assert_eq!(store.keep_alive(lease), Ok(false));
}

#[test]
fn watch_from_a_compacted_revision_fails() {
    let (platform, store) = start();
    store.txn(&put("w", b"")).unwrap();
    platform.store.compact();
    let error = store.wait_for_write("w", 1, TIMEOUT).unwrap_err();
    assert_eq!(error, StoreError::Compacted { oldest: 2 });
}

#[test]
fn watch_beyond_the_revision_of_a_restored_store_ends() {
    let (platform, store) = start();
    let backup = platform.store.backup();
    for _ in 0..3 {
        store.txn(&put("w", b"")).unwrap();
    }
    platform.store.restore(&backup);
    assert_eq!(store.wait_for_write("w", 4, TIMEOUT), Ok(true));
}

#[test]
fn rate_limits_are_enforced_and_every_call_is_counted() {
    let (platform, store) = start();
    platform.faulty_store.set_faults(|faults| {
        faults.read_rate = 1;
        faults.write_rate = 1;
    });
    let before = platform.store_calls();
    // Within the time limit, 50 calls cannot all fall into different seconds.
    let refused = (0..50).filter(|_| store.range("a").is_err()).count();
    assert_eq!(platform.store_calls() - before, 50);
    assert!(refused > 0);
    assert_eq!(platform.faulty_store.calls().refused, refused as u64);
}

#[test]
fn lost_responses_follow_the_write_and_outages_precede_it() {
    let (platform, store) = start();
    platform.set_faults(|faults| faults.lost_responses = 1);
    let lost = store.txn(&put("a", b"1")).unwrap_err();
    assert!(matches!(lost, StoreError::AnswerLost { .. }));
    assert_eq!(store.range("a").unwrap().entries.len(), 1);
    platform.set_faults(|faults| faults.store_down = true);
    assert!(store.txn(&put("b", b"1")).is_err());
    platform.set_faults(|faults| faults.store_down = false);
    assert!(store.range("b").unwrap().entries.is_empty());
}

#[test]
fn stale_reads_hide_writes_that_transactions_see() {
    let (platform, store) = start();
    platform.faulty_store.serve_stale_reads(true);
    store.txn(&put("a", b"1")).unwrap();
    assert!(store.range("a").unwrap().entries.is_empty());
    assert!(!store.txn(&Txn::default().absent("a")).unwrap().committed);
    platform.faulty_store.serve_stale_reads(false);
    assert_eq!(store.range("a").unwrap().entries.len(), 1);
}
