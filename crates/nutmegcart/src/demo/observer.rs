//! Samples the true state of platform and runners during the demo.

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

const SAMPLE_INTERVAL: Duration = Duration::from_millis(4);

/// Aggregate of all samples.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Samples in which a pool exceeded its budget.
    pub budget_breaches: u64,
    /// Samples in which an instance was in two pools.
    pub double_pools: u64,
    /// Changes of an instance's pool.
    pub moves: u64,
    /// Largest number of unavailable instances of one pool.
    pub max_unavailable: u32,
    /// Mean share of runner slots not in use, 0 to 1.
    pub idle_share: f64,
    /// Reboots of all instances since the start of the platform.
    pub reboots: u64,
    /// Number of samples.
    samples: u64,
}

/// Thread that samples the state periodically.
pub struct Observer {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Observations>,
}

impl Observer {
    /// Starts sampling.
    pub fn start(deployment: &Deployment) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let platform = deployment.platform.clone();
        let runners = deployment.runners.clone();
        let thread = spawn(move || {
            let mut observed = Observations::default();
            let mut pools = BTreeMap::new();
            while !stopped.load(Ordering::Acquire) {
                sample(&platform, &runners, &mut pools, &mut observed);
                sleep(SAMPLE_INTERVAL);
            }
            observed
        });
        Self { stop, thread }
    }

    /// Stops sampling and returns the observations.
    pub fn stop(self) -> Observations {
        self.stop.store(true, Ordering::Release);
        self.thread.join().expect("the observer does not panic")
    }
}

/// Takes one sample; `pools` holds the pool of each instance in the sample before.
fn sample(
    platform: &FakePlatform,
    runners: &[FakeRunner],
    pools: &mut BTreeMap<InstanceId, PoolName>,
    observed: &mut Observations,
) {
    let instances = platform.instances();
    let snapshot = platform.store.store().range(MAP_PREFIX).unwrap_or_default();
    let mut seen = BTreeMap::new();
    for entry in &snapshot.entries {
        let map: PoolMap = serde_json::from_slice(&entry.value).unwrap_or_default();
        for (id, assignment) in map.instances {
            if seen.insert(id.clone(), assignment.pool.clone()).is_some() {
                observed.double_pools += 1;
            }
            let old = pools.insert(id, assignment.pool.clone());
            observed.moves += u64::from(old.is_some_and(|old| old != assignment.pool));
        }
    }
    let mut unavailable: BTreeMap<&PoolName, u32> = BTreeMap::new();
    for instance in &instances {
        if instance.state != InstanceState::Live
            && let Some(pool) = seen.get(&instance.id)
        {
            *unavailable.entry(pool).or_default() += 1;
        }
    }
    let max = unavailable.values().copied().max().unwrap_or(0);
    observed.max_unavailable = observed.max_unavailable.max(max);
    observed.budget_breaches += u64::from(max > BUDGET);
    observed.reboots = instances.iter().map(|instance| instance.boots).sum();
    let busy: usize = runners.iter().map(FakeRunner::in_flight).sum();
    let idle = 1.0 - busy as f64 / (runners.len() * SLOTS) as f64;
    observed.samples += 1;
    observed.idle_share += (idle - observed.idle_share) / observed.samples as f64;
}
