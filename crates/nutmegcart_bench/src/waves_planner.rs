//! The planner of every data centre, driven in virtual time against a store in memory.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use nutmegcart_fleet::DutyLease;
use nutmegcart_fleet::FleetView;
use nutmegcart_fleet::InstanceCache;
use nutmegcart_fleet::PlannerMemory;
use nutmegcart_fleet::WaveProgress;
use nutmegcart_fleet::duty::DutyStep;
use nutmegcart_fleet::map::MAP_PREFIX;
use nutmegcart_fleet::map::PoolMaps;
use nutmegcart_fleet::map::Versioned;
use nutmegcart_fleet::planner;
use nutmegcart_fleet::planner::CallKind;
use nutmegcart_fleet::planner::FleetConfig;
use nutmegcart_fleet::planner::PlannedChange;
use nutmegcart_fleet::planner::PlatformCall;
use nutmegcart_fleet::planner::ProgressByWave;
use nutmegcart_fleet::wave;
use nutmegcart_fleet::wave::WAVE_PREFIX;
use nutmegcart_model::DataCentre;
use nutmegcart_model::Incarnation;
use nutmegcart_model::InstanceId;
use nutmegcart_model::PoolName;
use nutmegcart_model::WaveName;
use nutmegcart_platform::MemoryStore;
use serde::de::DeserializeOwned;

use crate::waves::BUDGET;
use crate::waves::Contestant;
use crate::waves::Deployment;
use crate::waves::Site;

/// Key of the configuration's head.
const HEAD: &str = "/nutmegcart/config/head";

/// Rounds that a holder runs without waiting.
const ROUNDS_PER_TICK: usize = 3;

/// The duty holder of a data centre.
struct Holder {
    centre: DataCentre,
    duty: DutyLease,
    memory: PlannerMemory,
    instances: InstanceCache,
}

/// Drives the planner of every data centre.
pub struct Planner {
    store: MemoryStore,
    holders: Vec<Holder>,
    config: FleetConfig,
    used: BTreeSet<(String, CallKind)>,
    pools: BTreeMap<InstanceId, PoolName>,
    moves: u32,
    started: bool,
}

fn read<K: Ord + From<String>, T: DeserializeOwned>(
    store: &MemoryStore,
    prefix: &str,
) -> BTreeMap<K, Versioned<T>> {
    let snapshot = store.store().range(prefix).expect("store answers");
    let values = snapshot.entries.iter().map(|entry| {
        let value = planner::decode(&entry.value).expect("value is readable");
        let modified = entry.modified;
        let key = entry.key[prefix.len()..].to_owned();
        (K::from(key), Versioned { value, modified })
    });
    values.collect()
}

impl Planner {
    /// Creates a planner for a deployment.
    pub fn new(_deployment: &Deployment) -> Self {
        Self {
            store: MemoryStore::default(),
            holders: Vec::new(),
            config: FleetConfig::default(),
            used: BTreeSet::new(),
            pools: BTreeMap::new(),
            moves: 0,
            started: false,
        }
    }

    fn set_up(&mut self, site: &Site) {
        for pool in &site.pools {
            self.config.pools.insert(pool.name.clone(), pool.clone());
            self.config.budgets.insert(pool.name.clone(), BUDGET);
        }
        let name = site.wave.name.clone();
        self.config.waves.insert(name, site.wave.clone());
        let centres: BTreeSet<DataCentre> = site
            .machines
            .values()
            .map(|machine| machine.line.centre.clone())
            .collect();
        for (index, centre) in centres.into_iter().enumerate() {
            let duty = DutyLease::new(&centre, Incarnation(index as u64));
            self.holders.push(Holder {
                centre,
                duty,
                memory: PlannerMemory::default(),
                instances: InstanceCache::default(),
            });
        }
    }

    fn keep(&mut self, index: usize, now: Duration) {
        let store = self.store.store();
        let duty = &mut self.holders[index].duty;
        for _ in 0..3 {
            match duty.next_step(now) {
                DutyStep::Grant(_) => {
                    // Leases end by the wall clock, which has no part in virtual time.
                    let lease = store
                        .grant_lease(Duration::from_hours(24))
                        .expect("store answers");
                    duty.granted(lease, now);
                }
                DutyStep::Claim(txn) => {
                    store.txn(&txn).expect("store answers");
                    let snapshot = store.range(&duty.key).expect("store answers");
                    duty.claim_read(snapshot.get(&duty.key), now);
                }
                DutyStep::Renew(lease) => {
                    let alive = store.keep_alive(lease).expect("store answers");
                    duty.renewed(alive, now);
                }
                DutyStep::Wait(_) => return,
            }
        }
    }

    /// Runs one round and returns whether a write was committed.
    fn round(&mut self, index: usize, site: &mut Site, start: bool) -> bool {
        self.keep(index, site.now);
        let maps: PoolMaps = read(&self.store, MAP_PREFIX);
        let waves: ProgressByWave = read::<WaveName, WaveProgress>(&self.store, WAVE_PREFIX);
        let store = self.store.store();
        let holder = &mut self.holders[index];
        holder.instances.record(&site.list(), site.now);
        holder.memory.demand.observe(&site.demand(), site.now);
        let created = holder
            .duty
            .held(site.now)
            .expect("nobody else wants the duty");
        let view = FleetView {
            centre: &holder.centre,
            duty: (&holder.duty.key, created),
            head: (HEAD, 0),
            maps: &maps,
            waves: &waves,
            instances: &holder.instances,
            config: &self.config,
            store_online: true,
        };
        if start {
            let txn = wave::start(&view, &site.wave.name, site.now).expect("the wave may start");
            return store.txn(&txn).expect("store answers").committed;
        }
        let plan = planner::plan(&view, &mut holder.memory, site.now);
        for call in &plan.calls {
            holder.memory.acknowledge(call, site.now);
            carry_out(&mut self.used, site, call);
        }
        let committed = plan
            .txn
            .is_some_and(|txn| store.txn(&txn).expect("store answers").committed);
        if committed {
            let moved = |action: &&PlannedChange| matches!(action, PlannedChange::Move(..));
            let count = plan.changes.iter().filter(moved).count();
            self.moves += u32::try_from(count).unwrap_or(u32::MAX);
        }
        committed
    }
}

fn carry_out(used: &mut BTreeSet<(String, CallKind)>, site: &mut Site, call: &PlatformCall) {
    if used.insert((call.operation.to_string(), call.kind)) {
        match call.kind {
            CallKind::Drain => site.drain(&call.instance),
            CallKind::Reboot => site.reboot(&call.instance),
            CallKind::Restore => site.restore(&call.instance),
        }
    }
}

impl Contestant for Planner {
    fn tick(&mut self, site: &mut Site, wave: bool) {
        if self.holders.is_empty() {
            self.set_up(site);
        }
        if wave && !self.started {
            self.started = true;
            self.round(0, site, true);
        }
        for index in 0..self.holders.len() {
            // A holder whose write was committed plans again at once.
            for _ in 0..ROUNDS_PER_TICK {
                if !self.round(index, site, false) {
                    break;
                }
            }
        }
        let maps: PoolMaps = read(&self.store, MAP_PREFIX);
        self.pools = maps
            .into_values()
            .flat_map(|map| map.value.instances)
            .map(|(id, entry)| (id, entry.pool))
            .collect();
    }

    fn pool(&self, id: &str) -> Option<&PoolName> {
        self.pools.get(id)
    }

    fn moves(&self) -> u32 {
        self.moves
    }
}
