//! Watches the platform's true state during the demo.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::thread::sleep;
use std::thread::spawn;
use std::time::Duration;

use nutmegcart_fakes::FakePlatform;
use nutmegcart_fakes::FakeRunner;
use nutmegcart_fakes::runner::SLOTS;
use nutmegcart_fleet::PoolMap;
use nutmegcart_fleet::map::MAP_PREFIX;
use nutmegcart_model::InstanceId;
use nutmegcart_model::PoolName;
use nutmegcart_platform::InstanceState;

use crate::demo::deployment::BUDGET;
use crate::demo::deployment::Deployment;

const PERIOD: Duration = Duration::from_millis(4);

/// What was seen.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// Samples in which a pool exceeded its budget.
    pub breaches: u64,
    /// Samples in which an instance was in two pools.
    pub double_pools: u64,
    /// Changes of an instance's pool.
    pub moves: u64,
    /// Largest number of unavailable instances of one pool.
    pub most_out: u32,
    /// Mean share of slots not in use, 0 to 1.
    pub buffer: f64,
    /// Reboots carried out.
    pub reboots: u64,
    samples: u64,
}

/// Samples the state on a thread.
pub struct Observer {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Observed>,
}

impl Observer {
    /// Starts sampling.
    pub fn start(deployment: &Deployment) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let ended = stop.clone();
        let platform = deployment.platform.clone();
        let runners = deployment.runners.clone();
        let thread = spawn(move || {
            let mut observed = Observed::default();
            let mut pools = BTreeMap::new();
            while !ended.load(Ordering::Acquire) {
                sample(&platform, &runners, &mut pools, &mut observed);
                sleep(PERIOD);
            }
            observed
        });
        Self { stop, thread }
    }

    /// Stops sampling and returns what was seen.
    pub fn stop(self) -> Observed {
        self.stop.store(true, Ordering::Release);
        self.thread.join().expect("the observer does not panic")
    }
}

fn sample(
    platform: &FakePlatform,
    runners: &[FakeRunner],
    pools: &mut BTreeMap<InstanceId, PoolName>,
    observed: &mut Observed,
) {
    let instances = platform.instances();
    let snapshot = platform.store.store().range(MAP_PREFIX).unwrap_or_default();
    let mut seen = BTreeMap::new();
    for entry in &snapshot.entries {
        let map: PoolMap = serde_json::from_slice(&entry.value).unwrap_or_default();
        for (id, seat) in map.instances {
            if seen.insert(id.clone(), seat.pool.clone()).is_some() {
                observed.double_pools += 1;
            }
            let old = pools.insert(id, seat.pool.clone());
            observed.moves += u64::from(old.is_some_and(|old| old != seat.pool));
        }
    }
    let mut out: BTreeMap<&PoolName, u32> = BTreeMap::new();
    for instance in &instances {
        if instance.state != InstanceState::Live
            && let Some(pool) = seen.get(&instance.id)
        {
            *out.entry(pool).or_default() += 1;
        }
    }
    let most = out.values().copied().max().unwrap_or(0);
    observed.most_out = observed.most_out.max(most);
    observed.breaches += u64::from(most > BUDGET);
    observed.reboots = instances.iter().map(|instance| instance.boots).sum();
    let busy: usize = runners.iter().map(FakeRunner::in_flight).sum();
    let free = 1.0 - busy as f64 / (runners.len() * SLOTS) as f64;
    observed.samples += 1;
    observed.buffer += (free - observed.buffer) / observed.samples as f64;
}
