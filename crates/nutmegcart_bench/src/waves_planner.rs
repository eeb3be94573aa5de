//! The planners of all data centres as a policy, in virtual time with an in-memory store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use nutmegcart_fleet::DutyLease;
use nutmegcart_fleet::FleetView;
use nutmegcart_fleet::ObservedInstances;
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
use crate::waves::FleetPolicy;
use crate::waves::WaveDeployment;
use crate::waves::WaveSimulation;

/// Store key of the head record of the configuration.
const HEAD_KEY: &str = "/nutmegcart/config/head";

/// Planning rounds that a duty holder may run in one tick.
const ROUNDS_PER_TICK: usize = 3;

/// The holder of the planning duty of a data centre, with the state of its planner.
struct DutyHolder {
    centre: DataCentre,
    duty: DutyLease,
    memory: PlannerMemory,
    instances: ObservedInstances,
}

/// Runs the planner of every data centre.
pub struct PlannerPolicy {
    store: MemoryStore,
    holders: Vec<DutyHolder>,
    config: FleetConfig,
    /// Platform calls that were executed; a repeated one has no effect.
    executed: BTreeSet<(String, CallKind)>,
    pools: BTreeMap<InstanceId, PoolName>,
    moves: u32,
    started: bool,
}

/// Returns the records under a prefix by the rest of their key.
fn read_records<K: Ord + From<String>, T: DeserializeOwned>(
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

impl PlannerPolicy {
    /// Creates a policy; it needs nothing of the deployment.
    pub fn new(_deployment: &WaveDeployment) -> Self {
        Self {
            store: MemoryStore::default(),
            holders: Vec::new(),
            config: FleetConfig::default(),
            executed: BTreeSet::new(),
            pools: BTreeMap::new(),
            moves: 0,
            started: false,
        }
    }

    fn set_up(&mut self, simulation: &WaveSimulation) {
        for pool in &simulation.pools {
            self.config.pools.insert(pool.name.clone(), pool.clone());
            self.config.budgets.insert(pool.name.clone(), BUDGET);
        }
        let name = simulation.wave.name.clone();
        self.config.waves.insert(name, simulation.wave.clone());
        let centres: BTreeSet<DataCentre> = simulation
            .instances
            .values()
            .map(|instance| instance.entry.centre.clone())
            .collect();
        for (index, centre) in centres.into_iter().enumerate() {
            let duty = DutyLease::new(&centre, Incarnation(index as u64));
            self.holders.push(DutyHolder {
                centre,
                duty,
                memory: PlannerMemory::default(),
                instances: ObservedInstances::default(),
            });
        }
    }

    /// Acquires or renews the duty of a data centre.
    fn hold_duty(&mut self, index: usize, now: Duration) {
        let store = self.store.store();
        let duty = &mut self.holders[index].duty;
        for _ in 0..3 {
            match duty.next_step(now) {
                DutyStep::Grant(_) => {
                    // The store ends leases by the wall clock, not by virtual time: use a long one.
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

    /// Runs a planning round of a data centre, or starts the wave, and returns whether a write was
    /// committed.
    fn run_round(&mut self, index: usize, simulation: &mut WaveSimulation, start: bool) -> bool {
        self.hold_duty(index, simulation.now);
        let maps: PoolMaps = read_records(&self.store, MAP_PREFIX);
        let waves: ProgressByWave =
            read_records::<WaveName, WaveProgress>(&self.store, WAVE_PREFIX);
        let store = self.store.store();
        let holder = &mut self.holders[index];
        holder
            .instances
            .record(&simulation.instance_list(), simulation.now);
        holder
            .memory
            .demand
            .observe(&simulation.demand(), simulation.now);
        let created = holder
            .duty
            .held(simulation.now)
            .expect("nobody else wants the duty");
        let view = FleetView {
            centre: &holder.centre,
            duty: (&holder.duty.key, created),
            head: (HEAD_KEY, 0),
            maps: &maps,
            waves: &waves,
            instances: &holder.instances,
            config: &self.config,
            store_online: true,
        };
        if start {
            let txn = wave::start(&view, &simulation.wave.name, simulation.now)
                .expect("the wave may start");
            return store.txn(&txn).expect("store answers").committed;
        }
        let plan = planner::plan(&view, &mut holder.memory, simulation.now);
        for call in &plan.calls {
            holder.memory.acknowledge(call, simulation.now);
            execute_call(&mut self.executed, simulation, call);
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

fn execute_call(
    executed: &mut BTreeSet<(String, CallKind)>,
    simulation: &mut WaveSimulation,
    call: &PlatformCall,
) {
    if executed.insert((call.operation.to_string(), call.kind)) {
        match call.kind {
            CallKind::Drain => simulation.drain(&call.instance),
            CallKind::Reboot => simulation.reboot(&call.instance),
            CallKind::Restore => simulation.restore(&call.instance),
        }
    }
}

impl FleetPolicy for PlannerPolicy {
    fn tick(&mut self, simulation: &mut WaveSimulation, wave: bool) {
        if self.holders.is_empty() {
            self.set_up(simulation);
        }
        if wave && !self.started {
            self.started = true;
            self.run_round(0, simulation, true);
        }
        for index in 0..self.holders.len() {
            // A duty holder plans again immediately after a committed write.
            for _ in 0..ROUNDS_PER_TICK {
                if !self.run_round(index, simulation, false) {
                    break;
                }
            }
        }
        let maps: PoolMaps = read_records(&self.store, MAP_PREFIX);
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
