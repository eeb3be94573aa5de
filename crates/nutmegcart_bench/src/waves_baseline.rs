//! Plain baseline for waves and lending: a fixed batch of a tenth and a static buffer per pool.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegcart_model::InstanceId;
use nutmegcart_model::PoolName;
use nutmegcart_platform::InstanceState;

use crate::waves::Contestant;
use crate::waves::Deployment;
use crate::waves::Site;
use crate::waves::TICK;

/// Static buffer of a pool as a share of its size: a tenth for the batch, a tenth for failures.
const BUFFER: f64 = 0.2;

/// Time over which the baseline averages demand.
const WINDOW: Duration = Duration::from_mins(1);

/// Maintains a tenth of the instances at a time and keeps a static buffer in every pool.
pub struct Baseline {
    pools: BTreeMap<InstanceId, PoolName>,
    averages: BTreeMap<PoolName, f64>,
    batch: Vec<InstanceId>,
    moves: u32,
}

impl Baseline {
    /// Creates a baseline for a deployment.
    pub fn new(_deployment: &Deployment) -> Self {
        Self {
            pools: BTreeMap::new(),
            averages: BTreeMap::new(),
            batch: Vec::new(),
            moves: 0,
        }
    }

    /// Takes the next tenth out once the last one is back.
    fn maintain(&mut self, site: &mut Site) {
        let state = |site: &Site, id: &InstanceId| site.machines[id].line.state;
        for id in &self.batch {
            if state(site, id) == InstanceState::Drained {
                site.reboot(id);
            }
        }
        let back = |id: &InstanceId| {
            let line = &site.machines[id].line;
            line.state == InstanceState::Failed
                || line.state == InstanceState::Live && line.boots > 0
        };
        if !self.batch.iter().all(back) {
            return;
        }
        let due = site
            .machines
            .values()
            .filter(|machine| machine.line.boots == 0 && machine.line.state == InstanceState::Live);
        let tenth = site.machines.len().div_ceil(10);
        // A tenth of each pool: identifiers are ordered by serial number first.
        let mut due: Vec<InstanceId> = due.map(|machine| machine.line.id.clone()).collect();
        due.sort_by_key(|id| id.rsplit('-').next().map(str::to_owned));
        self.batch = due.into_iter().take(tenth).collect();
        for id in &self.batch {
            site.drain(id);
        }
    }

    /// Borrows from the spare pool below demand plus buffer, and returns above it.
    fn lend(&mut self, site: &Site) {
        let rate = TICK.as_secs_f64() / WINDOW.as_secs_f64();
        for (pool, demand) in site.demand() {
            let average = self.averages.entry(pool).or_insert(demand.runners);
            *average += rate * (demand.runners - *average);
        }
        let Some(spare) = site.pools.iter().find(|pool| pool.spare) else {
            return;
        };
        for pool in site.pools.iter().filter(|pool| !pool.spare) {
            let buffer = (f64::from(pool.size) * BUFFER).ceil();
            let want = self.averages[&pool.name].ceil() + buffer;
            let members = self.pools.values().filter(|own| **own == pool.name).count() as f64;
            let (from, to) = if members < want {
                (&spare.name, &pool.name)
            } else if members > want.max(f64::from(pool.minimum)) {
                (&pool.name, &spare.name)
            } else {
                continue;
            };
            let live = |id: &InstanceId| site.machines[id].line.state == InstanceState::Live;
            let found = self.pools.iter().find(|(id, own)| *own == from && live(id));
            if let Some(id) = found.map(|(id, _)| id.clone()) {
                self.pools.insert(id, to.clone());
                self.moves += 1;
            }
        }
    }
}

impl Contestant for Baseline {
    fn tick(&mut self, site: &mut Site, wave: bool) {
        if self.pools.is_empty() {
            for id in site.machines.keys() {
                let index: usize = id.split('-').nth(1).map_or(0, |n| n.parse().unwrap_or(0));
                self.pools
                    .insert(id.clone(), site.pools[index].name.clone());
            }
        }
        self.lend(site);
        if wave {
            self.maintain(site);
        }
    }

    fn pool(&self, id: &str) -> Option<&PoolName> {
        self.pools.get(id)
    }

    fn moves(&self) -> u32 {
        self.moves
    }
}
