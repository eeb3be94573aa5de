//! Costs of a configuration change against a baseline that stores and sends the whole configuration
//! as one value.

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

use crate::comparison::Comparison;
use crate::cost;

/// Numbers of pools; the last is the planned size.
const POOL_COUNTS: [usize; 3] = [25, 75, 275];
/// Teams, at every number of pools.
const TEAMS: usize = 120;
/// Repetitions of each timed call, of which the median is reported.
const REPETITIONS: usize = 21;
/// Entry instances in a deployment.
const ENTRY_INSTANCES: usize = 9;

/// Calls to the store, and bytes of keys and values without the encoding of the messages.
#[derive(Clone, Copy, Debug, Default)]
struct StoreTraffic {
    calls: u32,
    read: usize,
    written: usize,
}

/// Returns a store that counts its traffic, and the counters.
fn counting_store(backend: &MemoryStore) -> (Store, Arc<Mutex<StoreTraffic>>) {
    let traffic: Arc<Mutex<StoreTraffic>> = Arc::default();
    let (backend, counters) = (backend.clone(), traffic.clone());
    let store = Store::new(move |call| {
        let mut written = 0;
        if let StoreCall::Txn(txn) = &call {
            for change in &txn.writes {
                if let WriteOp::Put(key, value, _) = change {
                    written += key.len() + value.len();
                }
            }
        }
        let reply = backend.call(call)?;
        let mut counters = counters.lock();
        counters.calls += 1;
        counters.written += written;
        if let StoreReply::Range(snapshot) = &reply {
            let sizes = snapshot.entries.iter();
            counters.read += sizes
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
            pool_text(index, 10),
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

fn pool_text(index: usize, size: usize) -> String {
    format!(
        r#"{{"schema":1,"kind":"pool","name":"pool-{index}","service":"service-{index}","size":{size}}}"#
    )
}

fn parse(text: &str) -> Document {
    Document::parse(text.as_bytes()).expect("document is valid")
}

/// Returns a change of the size of pool 0.
fn resize_pool(serial: usize) -> ChangeRequest {
    ChangeRequest {
        operation: format!("0b7d1f7e-9d1c-4d4e-8b1f-{serial:012}"),
        documents: vec![parse(&pool_text(0, 100 + serial))],
        first_attempt: true,
        ..ChangeRequest::default()
    }
}

/// A store with documents, and an entry instance that has loaded them.
struct StoredDeployment {
    backend: MemoryStore,
    in_force: ActiveConfig,
    serial: usize,
}

impl StoredDeployment {
    fn new(pools: usize) -> Self {
        let mut deployment = Self {
            backend: MemoryStore::default(),
            in_force: ActiveConfig::default(),
            serial: 0,
        };
        for batch in documents(pools).chunks(MAX_CHANGED_KEYS) {
            deployment.accept(batch.to_vec(), &deployment.backend.store());
        }
        // Fill the list of recent operations in the head record, so that it has its largest size.
        for _ in 0..64 {
            deployment.accept(
                resize_pool(deployment.serial).documents,
                &deployment.backend.store(),
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
            ..resize_pool(self.serial)
        };
        self.serial += 1;
        let outcome = accept_change(store, &apply, &self.standing());
        assert!(matches!(outcome, ChangeOutcome::Accepted(_)), "{outcome:?}");
        self.load_stored();
    }

    fn load_stored(&self) {
        let stored = load_config(&self.backend.store()).expect("the store answers");
        self.in_force.offer(stored.configuration, "store");
    }
}

/// Compares the costs of a change, and the store calls during and after an outage.
pub fn comparisons(seed: u64) -> Vec<Comparison> {
    let mut comparisons: Vec<Comparison> = POOL_COUNTS.into_iter().flat_map(change_costs).collect();
    comparisons.extend(outage_comparisons(seed));
    comparisons
}

fn change_costs(pools: usize) -> Vec<Comparison> {
    let mut deployment = StoredDeployment::new(pools);
    let name = |what: &str| format!("{what}, {pools} pools");
    let full = deployment.in_force.get().configuration.clone();
    let full_json = serde_json::to_vec(&full).expect("configuration is serialisable");

    let (store, follower_traffic) = counting_store(&deployment.backend);
    let follower_state = ActiveConfig::default();
    let mut follower = ConfigWatcher::new(store);
    follower.read(&follower_state).expect("the store answers");
    *follower_traffic.lock() = StoreTraffic::default();

    let (store, accept_traffic) = counting_store(&deployment.backend);
    deployment.accept(resize_pool(1).documents, &store);
    follower
        .wait_and_read(&follower_state, Duration::ZERO)
        .expect("the store answers");
    let (accept_traffic, follower_traffic) = (*accept_traffic.lock(), *follower_traffic.lock());

    let next = deployment.in_force.get().configuration.clone();
    let changes = next.delta_since(full.generation());
    let encoded = |bytes: Result<Vec<u8>, _>| bytes.expect("serialisable").len() as f64;
    let size = full_json.len() as f64;
    vec![
        Comparison::new(
            name("peer message per change"),
            "bytes",
            encoded(rmp_serde::to_vec_named(&next)),
            encoded(rmp_serde::to_vec_named(&changes)),
        ),
        Comparison::new(
            name("read per change and instance"),
            "bytes",
            size,
            follower_traffic.read as f64,
        ),
        Comparison::new(
            name("read per acceptance"),
            "bytes",
            size,
            accept_traffic.read as f64,
        ),
        Comparison::new(
            name("written per acceptance"),
            "bytes",
            size,
            accept_traffic.written as f64,
        ),
        // The baseline waits and then reads; to accept a change it reads and writes.
        Comparison::new(
            name("store calls per change and instance"),
            "calls",
            2.0,
            f64::from(follower_traffic.calls),
        ),
        Comparison::new(
            name("store calls per acceptance"),
            "calls",
            2.0,
            f64::from(accept_traffic.calls),
        ),
        Comparison::new(
            name("acceptance"),
            "us",
            baseline_acceptance_us(&full_json),
            acceptance_us(&mut deployment),
        ),
    ]
}

/// Returns the CPU time to parse the value, change a document, check references and serialise it.
fn baseline_acceptance_us(value: &[u8]) -> f64 {
    cost::cpu_time_us(REPETITIONS, || {
        let full: Configuration = serde_json::from_slice(value).expect("value is readable");
        let next = full
            .with_documents(&resize_pool(1).documents, &[])
            .expect("references hold");
        ConfigView::build(&next).expect("references hold");
        serde_json::to_vec(&next).expect("configuration is serialisable")
    })
}

/// Returns the median CPU time to accept a change.
fn acceptance_us(deployment: &mut StoredDeployment) -> f64 {
    let store = deployment.backend.store();
    let mut times: Vec<f64> = (0..REPETITIONS)
        .map(|_| {
            let apply = resize_pool(deployment.serial);
            deployment.serial += 1;
            let standing = deployment.standing();
            let time = cost::cpu_time_us(1, || accept_change(&store, &apply, &standing));
            deployment.load_stored();
            time
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// Simulates entry instances that call the store every 10 ms during an outage of a minute and the
/// second after it. The baseline does not limit its calls.
fn outage_comparisons(seed: u64) -> Vec<Comparison> {
    let baseline = outage_calls(|store, _| store);
    let guarded = outage_calls(|store, member| {
        let random = Mutex::new(StdRng::seed_from_u64(seed + member));
        let now = store.1.clone();
        let clock = Clock {
            now: Arc::new(move || *now.lock()),
            sleep: Arc::new(|_| ()),
            random: Arc::new(move || random.lock().random()),
        };
        (
            RateLimitedStore::new(store.0, ENTRY_INSTANCES, clock).store(),
            store.1,
        )
    });
    vec![
        Comparison::new(
            "store calls in a minute's outage",
            "calls",
            baseline.0,
            guarded.0,
        ),
        Comparison::new(
            "store calls in the second after",
            "calls",
            baseline.1,
            guarded.1,
        ),
        Comparison::new(
            "busiest 100 ms in that second",
            "calls",
            baseline.2,
            guarded.2,
        ),
    ]
}

/// A store, and the clock of the simulation.
type ClockedStore = (Store, Arc<Mutex<Duration>>);

/// Returns the calls that reach the store during the outage and in the second after it, and the
/// most calls within 100 ms of that second.
fn outage_calls(wrap: impl Fn(ClockedStore, u64) -> ClockedStore) -> (f64, f64, f64) {
    const STEP: Duration = Duration::from_millis(10);
    const OUTAGE: Duration = Duration::from_mins(1);
    let now: Arc<Mutex<Duration>> = Arc::default();
    let calls: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let backend = MemoryStore::default();
    let (clock, log) = (now.clone(), calls.clone());
    let inner = Store::new(move |call| {
        let now = *clock.lock();
        log.lock().push(now);
        if now < OUTAGE {
            let reason = "outage".into();
            return Err(StoreError::Unreachable { reason });
        }
        backend.call(call)
    });
    let members =
        (0..ENTRY_INSTANCES as u64).map(|member| wrap((inner.clone(), now.clone()), member).0);
    let members: Vec<Store> = members.collect();
    while *now.lock() < OUTAGE + Duration::from_secs(1) {
        for member in &members {
            // The result does not matter: the store counts the calls, failed ones included.
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
