//! Costs of a configuration change, against a plain design that keeps and sends everything at once.

use std::sync::Arc;
use std::time::Duration;

use nutmegcart_config::ActiveConfig;
use nutmegcart_config::ChangeOutcome;
use nutmegcart_config::ChangeRequest;
use nutmegcart_config::ClusterState;
use nutmegcart_config::ConfigView;
use nutmegcart_config::ConfigWatcher;
use nutmegcart_config::Configuration;
use nutmegcart_config::accept::MAX_CHANGED_KEYS;
use nutmegcart_config::accept_change;
use nutmegcart_config::load_config;
use nutmegcart_model::Document;
use nutmegcart_platform::MemoryStore;
use nutmegcart_platform::RateLimitedStore;
use nutmegcart_platform::Store;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::WriteOp;
use nutmegcart_platform::rate_limited_store::Clock;
use nutmegcart_platform::store::StoreCall;
use nutmegcart_platform::store::StoreReply;
use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::cost;
use crate::measure::Measure;

/// Numbers of pools, up to the size to come.
const POOLS: [usize; 3] = [25, 75, 275];
/// Teams at every size.
const TEAMS: usize = 120;
/// Repetitions of each timed call.
const REPETITIONS: usize = 21;
/// Entry instances of a deployment.
const MEMBERS: usize = 9;

/// Calls and bytes between an entry instance and the store, apart from the encoding.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    calls: u32,
    read: usize,
    written: usize,
}

fn counted(memory: &MemoryStore) -> (Store, Arc<Mutex<Traffic>>) {
    let traffic: Arc<Mutex<Traffic>> = Arc::default();
    let (memory, counts) = (memory.clone(), traffic.clone());
    let store = Store::new(move |call| {
        let mut written = 0;
        if let StoreCall::Txn(txn) = &call {
            for change in &txn.writes {
                if let WriteOp::Put(key, value, _) = change {
                    written += key.len() + value.len();
                }
            }
        }
        let reply = memory.call(call)?;
        let mut counts = counts.lock();
        counts.calls += 1;
        counts.written += written;
        if let StoreReply::Range(snapshot) = &reply {
            let sizes = snapshot.entries.iter();
            counts.read += sizes
                .map(|entry| entry.key.len() + entry.value.len())
                .sum::<usize>();
        }
        Ok(reply)
    });
    (store, traffic)
}

fn documents(pools: usize) -> Vec<Document> {
    let teams = (0..TEAMS).map(|index| {
        format!(r#"{{"schema":2,"kind":"team","name":"team-{index}","cpu":64000,"memory":262144}}"#)
    });
    let pools = (0..pools).flat_map(|index| {
        let team = index % TEAMS;
        [
            pool(index, 10),
            format!(
                r#"{{"schema":2,"kind":"budget","name":"budget-{index}","pool":"pool-{index}","percent":20}}"#
            ),
            format!(
                r#"{{"schema":2,"kind":"job","name":"job-{index}","pool":"pool-{index}","team":"team-{team}","cpu":2000,"memory":4096}}"#
            ),
        ]
    });
    teams.chain(pools).map(|text| parse(&text)).collect()
}

fn pool(index: usize, size: usize) -> String {
    format!(
        r#"{{"schema":1,"kind":"pool","name":"pool-{index}","service":"service-{index}","size":{size}}}"#
    )
}

fn parse(text: &str) -> Document {
    Document::parse(text.as_bytes()).expect("document is valid")
}

fn change(serial: usize) -> ChangeRequest {
    ChangeRequest {
        operation: format!("0b7d1f7e-9d1c-4d4e-8b1f-{serial:012}"),
        documents: vec![parse(&pool(0, 100 + serial))],
        first_attempt: true,
        ..ChangeRequest::default()
    }
}

/// A store that holds the documents, with an instance that has them in force.
struct Deployment {
    memory: MemoryStore,
    in_force: ActiveConfig,
    serial: usize,
}

impl Deployment {
    fn new(pools: usize) -> Self {
        let mut deployment = Self {
            memory: MemoryStore::default(),
            in_force: ActiveConfig::default(),
            serial: 0,
        };
        for part in documents(pools).chunks(MAX_CHANGED_KEYS) {
            deployment.accept(part.to_vec(), &deployment.memory.store());
        }
        // The head then holds as many operations as it ever does.
        for _ in 0..64 {
            deployment.accept(
                change(deployment.serial).documents,
                &deployment.memory.store(),
            );
        }
        deployment
    }

    fn standing(&self) -> ClusterState {
        ClusterState {
            configuration: self.in_force.get().configuration.clone(),
            ..ClusterState::standalone("lineage")
        }
    }

    fn accept(&mut self, documents: Vec<Document>, store: &Store) {
        let apply = ChangeRequest {
            documents,
            ..change(self.serial)
        };
        self.serial += 1;
        let outcome = accept_change(store, &apply, &self.standing());
        assert!(matches!(outcome, ChangeOutcome::Accepted(_)), "{outcome:?}");
        self.adopt();
    }

    fn adopt(&self) {
        let stored = load_config(&self.memory.store()).expect("the store answers");
        self.in_force.offer(stored.configuration, "store");
    }
}

/// Returns the measures of changes, and of the store's return after an outage.
pub fn measures(seed: u64) -> Vec<Measure> {
    let mut measures: Vec<Measure> = POOLS.into_iter().flat_map(at_size).collect();
    measures.extend(outage(seed));
    measures
}

fn at_size(pools: usize) -> Vec<Measure> {
    let mut deployment = Deployment::new(pools);
    let name = |what: &str| format!("{what}, {pools} pools");
    let whole = deployment.in_force.get().configuration.clone();
    let whole_bytes = serde_json::to_vec(&whole).expect("configuration is serialisable");

    let (store, follows) = counted(&deployment.memory);
    let behind = ActiveConfig::default();
    let mut follower = ConfigWatcher::new(store);
    follower.read(&behind).expect("the store answers");
    *follows.lock() = Traffic::default();

    let (store, accepts) = counted(&deployment.memory);
    deployment.accept(change(1).documents, &store);
    follower
        .wait_and_read(&behind, Duration::ZERO)
        .expect("the store answers");
    let (accepts, follows) = (*accepts.lock(), *follows.lock());

    let next = deployment.in_force.get().configuration.clone();
    let changes = next.delta_since(whole.generation());
    let encoded = |bytes: Result<Vec<u8>, _>| bytes.expect("serialisable").len() as f64;
    let size = whole_bytes.len() as f64;
    vec![
        Measure::new(
            name("peer message per change"),
            "bytes",
            encoded(rmp_serde::to_vec_named(&next)),
            encoded(rmp_serde::to_vec_named(&changes)),
        ),
        Measure::new(
            name("read per change and instance"),
            "bytes",
            size,
            follows.read as f64,
        ),
        Measure::new(
            name("read per acceptance"),
            "bytes",
            size,
            accepts.read as f64,
        ),
        Measure::new(
            name("written per acceptance"),
            "bytes",
            size,
            accepts.written as f64,
        ),
        // The plain design waits and reads; it reads and writes at an acceptance.
        Measure::new(
            name("store calls per change and instance"),
            "calls",
            2.0,
            f64::from(follows.calls),
        ),
        Measure::new(
            name("store calls per acceptance"),
            "calls",
            2.0,
            f64::from(accepts.calls),
        ),
        Measure::new(
            name("acceptance"),
            "us",
            plain_acceptance(&whole_bytes),
            acceptance(&mut deployment),
        ),
    ]
}

/// Parses one value, changes a document, checks references and writes one value.
fn plain_acceptance(value: &[u8]) -> f64 {
    cost::processor(REPETITIONS, || {
        let whole: Configuration = serde_json::from_slice(value).expect("value is readable");
        let next = whole
            .with_documents(&change(1).documents, &[])
            .expect("references hold");
        ConfigView::build(&next).expect("references hold");
        serde_json::to_vec(&next).expect("configuration is serialisable")
    })
}

fn acceptance(deployment: &mut Deployment) -> f64 {
    let store = deployment.memory.store();
    let mut times: Vec<f64> = (0..REPETITIONS)
        .map(|_| {
            let apply = change(deployment.serial);
            deployment.serial += 1;
            let standing = deployment.standing();
            let time = cost::processor(1, || accept_change(&store, &apply, &standing));
            deployment.adopt();
            time
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// Nine instances ask every 10 ms through a minute's outage and the second after it, on a scripted
/// clock; the plain design asks without limit.
fn outage(seed: u64) -> Vec<Measure> {
    let plain = rush(|store, _| store);
    let guarded = rush(|store, member| {
        let random = Mutex::new(StdRng::seed_from_u64(seed + member));
        let now = store.1.clone();
        let clock = Clock {
            now: Arc::new(move || *now.lock()),
            sleep: Arc::new(|_| ()),
            random: Arc::new(move || random.lock().random()),
        };
        (
            RateLimitedStore::new(store.0, MEMBERS, clock).store(),
            store.1,
        )
    });
    vec![
        Measure::new(
            "store calls in a minute's outage",
            "calls",
            plain.0,
            guarded.0,
        ),
        Measure::new(
            "store calls in the second after",
            "calls",
            plain.1,
            guarded.1,
        ),
        Measure::new("busiest 100 ms in that second", "calls", plain.2, guarded.2),
    ]
}

type Timed = (Store, Arc<Mutex<Duration>>);

fn rush(wrap: impl Fn(Timed, u64) -> Timed) -> (f64, f64, f64) {
    const STEP: Duration = Duration::from_millis(10);
    const OUTAGE: Duration = Duration::from_mins(1);
    let now: Arc<Mutex<Duration>> = Arc::default();
    let calls: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let memory = MemoryStore::default();
    let (clock, log) = (now.clone(), calls.clone());
    let inner = Store::new(move |call| {
        let now = *clock.lock();
        log.lock().push(now);
        if now < OUTAGE {
            let reason = "outage".into();
            return Err(StoreError::Unreachable { reason });
        }
        memory.call(call)
    });
    let members = (0..MEMBERS as u64).map(|member| wrap((inner.clone(), now.clone()), member).0);
    let members: Vec<Store> = members.collect();
    while *now.lock() < OUTAGE + Duration::from_secs(1) {
        for member in &members {
            // Refused and unanswered calls are what is counted.
            let _ = member.range("/");
        }
        *now.lock() += STEP;
    }
    let calls = calls.lock();
    let during = calls.partition_point(|&time| time < OUTAGE);
    let after = &calls[during..];
    let windows = after
        .iter()
        .enumerate()
        .map(|(index, &start)| after[index..].partition_point(|&time| time < start + 10 * STEP));
    let peak = windows.max().unwrap_or(0);
    (during as f64, after.len() as f64, peak as f64)
}
