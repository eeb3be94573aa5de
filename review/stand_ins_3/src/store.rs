//! The platform's metadata store.
//!
//! A hook decides for each write what becomes of it. A write without an answer is carried out late if its
//! condition still holds by then.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{serve, Reply, Request};
use crate::json::{object, Json};

/// Items on a page; the page of the platform says about 500.
const PAGE: usize = 500;

/// What becomes of a write call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Answered,
    /// No answer; carried out after the delay.
    Late(Duration),
}

type Hook = Arc<dyn Fn(&Json) -> Fate + Send + Sync>;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
    hook: Option<Hook>,
}

/// The store; clones share their state.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

fn item_json(key: &str, item: &Item) -> Json {
    object([
        ("key", key.into()),
        ("value", item.value.as_str().into()),
        ("revision", item.revision.into()),
        ("created-rev", item.created.into()),
        ("lease", item.lease.into()),
    ])
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        self.revision += 1;
        for key in keys {
            self.remove(&key);
        }
        true
    }
}

impl Store {
    /// Starts the store on an address.
    pub fn start(address: SocketAddr) -> Self {
        let store = Self::default();
        store.state.lock().unwrap().revision = 1;
        let served = store.clone();
        serve(address, Arc::new(move |request| served.handle(&request)));
        let expiring = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            expiring.expire();
        });
        store
    }

    /// Sets the hook that decides what becomes of each transaction.
    pub fn set_hook(&self, hook: Hook) {
        self.state.lock().unwrap().hook = Some(hook);
    }

    /// Writes a key, as operators and runners do.
    pub fn put(&self, key: &str, value: &Json) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.write(key, encode(value.to_string().as_bytes()), 0);
        drop(state);
        self.changed.notify_all();
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.state.lock().unwrap();
        state.items.get(key).map(|item| decode(&item.value))
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended = state.leases.iter().filter(|(_, (_, end))| now >= *end);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in &ended {
            state.end_lease(*lease);
        }
        drop(state);
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        let whole = |name: &str| request.parameter(name).parse::<u64>().unwrap_or_default();
        let last = request.path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or_default();
        let (status, body) = match (&*request.method, &*request.path) {
            ("GET", "/api/kv-key") => self.read(&request.parameter("key")),
            ("GET", "/api/kv-range") => {
                self.range(&request.parameter("prefix"), &request.parameter("after"))
            }
            ("GET", "/api/kv-watch") => {
                let wait = Duration::from_millis(whole("wait-ms"));
                self.watch(&request.parameter("prefix"), whole("after"), wait)
            }
            ("POST", "/api/kv-txn") => {
                let body = request.json();
                let hook = self.state.lock().unwrap().hook.clone();
                match hook.map_or(Fate::Answered, |hook| hook(&body)) {
                    Fate::Answered => self.transaction(&body),
                    Fate::Late(delay) => {
                        let store = self.clone();
                        std::thread::spawn(move || {
                            std::thread::sleep(delay);
                            store.transaction(&body);
                        });
                        return Reply::Silence;
                    }
                }
            }
            ("POST", "/api/kv-lease") => self.grant(request.json().get("ttl-ms").number()),
            ("POST", path) if path.starts_with("/api/kv-keep/") => self.renew(last),
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let known = self.state.lock().unwrap().end_lease(last);
                self.changed.notify_all();
                (if known { 200 } else { 404 }, Json::Null)
            }
            _ => (400, Json::Null),
        };
        Reply::Answer(status, body)
    }

    fn read(&self, key: &str) -> (u16, Json) {
        let state = self.state.lock().unwrap();
        let revision = ("store-revision", Json::from(state.revision));
        match state.items.get(key) {
            Some(item) => {
                let Json::Object(mut fields) = item_json(key, item) else { unreachable!() };
                fields.insert(revision.0.to_owned(), revision.1);
                (200, Json::Object(fields))
            }
            None => (404, object([revision])),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, Json) {
        let state = self.state.lock().unwrap();
        let all = state.items.iter();
        let mut left = all.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let page = left.by_ref().take(PAGE);
        let items: Vec<Json> = page.map(|(key, item)| item_json(key, item)).collect();
        let more = left.next().is_some();
        let revision = state.revision.into();
        (200, object([("items", items.into()), ("has-more", more.into()), ("store-revision", revision)]))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, Json) {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let since = state.history.iter();
            let since = since.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let event = |(revision, key, item): &(u64, String, Option<Item>)| match item {
                Some(item) => item_json(key, item),
                None => object([
                    ("key", key.as_str().into()),
                    ("revision", (*revision).into()),
                    ("removed", true.into()),
                ]),
            };
            let events: Vec<Json> = since.map(event).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision.into();
                return (200, object([("events", events.into()), ("store-revision", revision)]));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transaction(&self, body: &Json) -> (u16, Json) {
        let (expected, puts, deletes) =
            (body.get("expected").list(), body.get("puts").list(), body.get("deletes").list());
        if expected.len() + puts.len() + deletes.len() > 32 {
            return (400, Json::Null);
        }
        let mut state = self.state.lock().unwrap();
        let holds = expected.iter().all(|row| {
            let present = state.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            present == row.get("revision").number()
        });
        if !holds {
            let items = expected.iter().map(|row| {
                let key = row.get("key").text();
                let absent = object([("key", key.into()), ("revision", 0.into())]);
                state.items.get(key).map_or(absent, |item| item_json(key, item))
            });
            let items: Vec<Json> = items.collect();
            return (412, object([("items", items.into()), ("revision", state.revision.into())]));
        }
        let lease = |row: &Json| row.get("lease").number();
        if puts.iter().any(|row| lease(row) != 0 && !state.leases.contains_key(&lease(row))) {
            return (404, Json::Null);
        }
        state.revision += 1;
        for row in puts {
            state.write(row.get("key").text(), row.get("value").text().to_owned(), lease(row));
        }
        for key in deletes {
            state.remove(key.text());
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        (200, object([("revision", revision.into())]))
    }

    fn grant(&self, ttl: u64) -> (u16, Json) {
        let mut state = self.state.lock().unwrap();
        state.last_lease += 1;
        let lease = state.last_lease;
        let length = Duration::from_millis(ttl);
        state.leases.insert(lease, (length, Instant::now() + length));
        (200, object([("lease", lease.into()), ("ttl-ms", ttl.into())]))
    }

    fn renew(&self, lease: u64) -> (u16, Json) {
        match self.state.lock().unwrap().leases.get_mut(&lease) {
            Some((length, end)) => {
                *end = Instant::now() + *length;
                (200, object([("ttl-ms", (length.as_millis() as u64).into())]))
            }
            None => (404, Json::Null),
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard base64 with padding.
pub fn encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = (0..3).fold(0_u32, |word, at| word << 8 | u32::from(*chunk.get(at).unwrap_or(&0)));
        for at in 0..4 {
            let index = (word >> (18 - 6 * at) & 63) as usize;
            out.push(if at <= chunk.len() { ALPHABET[index] as char } else { '=' });
        }
    }
    out
}

/// Decodes standard base64.
pub fn decode(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(value) = ALPHABET.iter().position(|each| *each == byte) else { break };
        word = word << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
        }
    }
    out
}
