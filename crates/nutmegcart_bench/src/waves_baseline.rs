//! Simple baseline for waves and moves between pools: fixed batches of a tenth of the instances,
//! and a static buffer per pool.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegcart_model::InstanceId;
use nutmegcart_model::PoolName;
use nutmegcart_platform::InstanceState;

use crate::waves::FleetPolicy;
use crate::waves::TICK;
use crate::waves::WaveDeployment;
use crate::waves::WaveSimulation;

/// Static buffer of a pool, as a share of its size: a tenth for the batch and a tenth for failures.
const BUFFER_SHARE: f64 = 0.2;

/// Time constant of the moving average of demand.
const DEMAND_WINDOW: Duration = Duration::from_mins(1);

/// Reboots a tenth of the instances at a time and keeps a static buffer in every pool.
pub struct FixedBatchPolicy {
    pools: BTreeMap<InstanceId, PoolName>,
    averages: BTreeMap<PoolName, f64>,
    batch: Vec<InstanceId>,
    moves: u32,
}

impl FixedBatchPolicy {
    /// Creates a policy; it needs nothing of the deployment.
    pub fn new(_deployment: &WaveDeployment) -> Self {
        Self {
            pools: BTreeMap::new(),
            averages: BTreeMap::new(),
            batch: Vec::new(),
            moves: 0,
        }
    }

    /// Reboots the drained instances, and drains the next batch once the last one is back or
    /// failed.
    fn drain_next_batch(&mut self, simulation: &mut WaveSimulation) {
        let state =
            |simulation: &WaveSimulation, id: &InstanceId| simulation.instances[id].entry.state;
        for id in &self.batch {
            if state(simulation, id) == InstanceState::Drained {
                simulation.reboot(id);
            }
        }
        let is_finished = |id: &InstanceId| {
            let entry = &simulation.instances[id].entry;
            entry.state == InstanceState::Failed
                || entry.state == InstanceState::Live && entry.boots > 0
        };
        if !self.batch.iter().all(is_finished) {
            return;
        }
        let pending = simulation.instances.values().filter(|instance| {
            instance.entry.boots == 0 && instance.entry.state == InstanceState::Live
        });
        let tenth = simulation.instances.len().div_ceil(10);
        // Sort by serial number, the last part of the identifier, so that a batch spreads over the
        // pools.
        let mut pending: Vec<InstanceId> =
            pending.map(|instance| instance.entry.id.clone()).collect();
        pending.sort_by_key(|id| id.rsplit('-').next().map(str::to_owned));
        self.batch = pending.into_iter().take(tenth).collect();
        for id in &self.batch {
            simulation.drain(id);
        }
    }

    /// Moves an instance from the spare pool to each pool below demand plus buffer, and one back
    /// from each pool above it and above its minimum.
    fn balance_pools(&mut self, simulation: &WaveSimulation) {
        let rate = TICK.as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        for (pool, demand) in simulation.demand() {
            let average = self.averages.entry(pool).or_insert(demand.runners);
            *average += rate * (demand.runners - *average);
        }
        let Some(spare) = simulation.pools.iter().find(|pool| pool.spare) else {
            return;
        };
        for pool in simulation.pools.iter().filter(|pool| !pool.spare) {
            let buffer = (f64::from(pool.size) * BUFFER_SHARE).ceil();
            let target = self.averages[&pool.name].ceil() + buffer;
            let members = self
                .pools
                .values()
                .filter(|assigned| **assigned == pool.name)
                .count() as f64;
            let (from, to) = if members < target {
                (&spare.name, &pool.name)
            } else if members > target.max(f64::from(pool.minimum)) {
                (&pool.name, &spare.name)
            } else {
                continue;
            };
            let live =
                |id: &InstanceId| simulation.instances[id].entry.state == InstanceState::Live;
            let candidate = self
                .pools
                .iter()
                .find(|(id, assigned)| *assigned == from && live(id));
            if let Some(id) = candidate.map(|(id, _)| id.clone()) {
                self.pools.insert(id, to.clone());
                self.moves += 1;
            }
        }
    }
}

impl FleetPolicy for FixedBatchPolicy {
    fn tick(&mut self, simulation: &mut WaveSimulation, wave: bool) {
        if self.pools.is_empty() {
            for id in simulation.instances.keys() {
                let index: usize = id.split('-').nth(1).map_or(0, |n| n.parse().unwrap_or(0));
                self.pools
                    .insert(id.clone(), simulation.pools[index].name.clone());
            }
        }
        self.balance_pools(simulation);
        if wave {
            self.drain_next_batch(simulation);
        }
    }

    fn pool(&self, id: &str) -> Option<&PoolName> {
        self.pools.get(id)
    }

    fn moves(&self) -> u32 {
        self.moves
    }
}
