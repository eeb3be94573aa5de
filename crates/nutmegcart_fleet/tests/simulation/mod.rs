//! Simulated deployment with the true state of every instance.
#![allow(dead_code)] // Each test file uses only a part of the module.

mod oracle;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use nutmegcart_fleet::Demand;
use nutmegcart_fleet::DutyLease;
use nutmegcart_fleet::FleetView;
use nutmegcart_fleet::MapEntry;
use nutmegcart_fleet::ObservedInstances;
use nutmegcart_fleet::Plan;
use nutmegcart_fleet::PlannerMemory;
use nutmegcart_fleet::WaveProgress;
use nutmegcart_fleet::duty::DEFAULT_LEASE;
use nutmegcart_fleet::duty::DutyStep;
use nutmegcart_fleet::map::MAP_PREFIX;
use nutmegcart_fleet::map::PoolMaps;
use nutmegcart_fleet::map::Versioned;
use nutmegcart_fleet::planner;
use nutmegcart_fleet::planner::CallKind;
use nutmegcart_fleet::planner::FleetConfig;
use nutmegcart_fleet::planner::PlatformCall;
use nutmegcart_fleet::planner::ProgressByWave;
use nutmegcart_fleet::wave;
use nutmegcart_fleet::wave::WAVE_PREFIX;
use nutmegcart_model::Code;
use nutmegcart_model::DataCentre;
use nutmegcart_model::Incarnation;
use nutmegcart_model::PoolName;
use nutmegcart_model::record::Allowance;
use nutmegcart_model::record::Pool;
use nutmegcart_model::record::Wave;
use nutmegcart_model::record::Weights;
use nutmegcart_platform::Instance;
use nutmegcart_platform::InstanceState;
use nutmegcart_platform::LeaseId;
use nutmegcart_platform::MemoryStore;
use nutmegcart_platform::Role;
use nutmegcart_platform::Txn;
use nutmegcart_platform::store::Revision;

/// Time at which a simulation starts, in seconds.
pub const START: u64 = 1000;
/// Store key of the configuration's head.
pub const HEAD: &str = "/nutmegcart/config/head";
/// Name of the wave in all tests.
pub const WAVE: &str = "kernel";
/// Names of the data centres.
pub const CENTRES: [&str; 2] = ["a", "b"];
/// Names of the pools; the last one is the spare pool.
pub const POOLS: [&str; 3] = ["gates", "tours", "reports"];
/// Duration of a drain.
pub const DRAIN_TIME: Duration = Duration::from_secs(10);
/// Duration of a reboot.
pub const REBOOT_TIME: Duration = Duration::from_secs(30);

/// True state of an instance.
pub struct SimulatedInstance {
    pub instance: Instance,
    /// Time at which the drain or reboot under way ends.
    pub transition_end: Duration,
    /// Whether a reboot never ends.
    pub reboot_hangs: bool,
    /// Wave run of the reboot under way.
    pub reboot_run: Option<String>,
    /// Wave runs whose reboot succeeded.
    pub rebooted_runs: Vec<String>,
}

/// An entry instance that competes for the duty of a data centre.
pub struct Holder {
    pub centre: DataCentre,
    pub duty: DutyLease,
    pub memory: PlannerMemory,
    pub instances: ObservedInstances,
    pub pending: Option<(Plan, ObservedInstances, Revision)>,
    maps: PoolMaps,
    waves: ProgressByWave,
    settings: (FleetConfig, Revision),
}

/// Simulated store, platform, instances and duty holders.
pub struct Simulation {
    pub now: Duration,
    pub memory_store: MemoryStore,
    pub settings: FleetConfig,
    pub true_instances: BTreeMap<String, SimulatedInstance>,
    pub holders: Vec<Holder>,
    pub demand: BTreeMap<PoolName, Demand>,
    /// Age of the instance list that the platform returns.
    pub list_lag: Duration,
    pub store_down: bool,
    /// Whether holders keep planning with the configuration that they last read.
    pub stale_settings: bool,
    /// Number of next platform calls whose answers are lost.
    pub lost_answers: u32,
    used_operations: BTreeSet<(String, CallKind)>,
    /// Operations and states that were ever stored in a pool map.
    written_intents: BTreeSet<(String, String)>,
    lease_renewals: BTreeMap<LeaseId, Duration>,
    history: Vec<(Duration, Vec<Instance>)>,
    serial: u32,
    /// Committed changes with time and data centre.
    pub log: Vec<String>,
}

fn pool(name: &str, size: u32, workers: u32) -> (PoolName, Pool) {
    let pool = Pool {
        name: name.into(),
        service: name.into(),
        size,
        spare: name == POOLS[2],
        minimum: 0,
        workers,
    };
    (name.into(), pool)
}

impl Simulation {
    /// Creates pools with `per_rack` instances in each of two racks of each data centre.
    pub fn new(per_rack: u32, allowance: Allowance) -> Self {
        let mut settings = FleetConfig::default();
        for name in POOLS {
            settings.pools.extend([pool(name, 4 * per_rack, 0)]);
            settings.budgets.insert(name.into(), allowance);
        }
        let wave = Wave {
            name: WAVE.into(),
            pools: POOLS[..2].iter().map(|pool| (*pool).into()).collect(),
            deadline: None,
            weights: Weights::default(),
            width: None,
        };
        settings.waves.insert(WAVE.into(), wave);
        let mut sim = Self {
            now: Duration::from_secs(START),
            memory_store: MemoryStore::default(),
            settings,
            true_instances: BTreeMap::new(),
            holders: Vec::new(),
            demand: BTreeMap::new(),
            list_lag: Duration::ZERO,
            store_down: false,
            stale_settings: false,
            lost_answers: 0,
            used_operations: BTreeSet::new(),
            written_intents: BTreeSet::new(),
            lease_renewals: BTreeMap::new(),
            history: Vec::new(),
            serial: 0,
            log: Vec::new(),
        };
        for centre in CENTRES {
            for rack in ["r1", "r2"] {
                for _ in 0..per_rack * 3 {
                    sim.add_instance(centre, &format!("{centre}-{rack}"));
                }
            }
            for _ in 0..2 {
                let incarnation = Incarnation(sim.holders.len() as u64);
                sim.holders.push(Holder {
                    centre: centre.into(),
                    duty: DutyLease::new(&centre.into(), incarnation),
                    memory: PlannerMemory::default(),
                    instances: ObservedInstances::default(),
                    pending: None,
                    maps: PoolMaps::new(),
                    waves: ProgressByWave::new(),
                    settings: (FleetConfig::default(), 0),
                });
            }
        }
        sim.publish();
        sim.advance_time(0);
        sim.run_rounds(4);
        sim
    }

    pub fn add_instance(&mut self, centre: &str, rack: &str) {
        self.serial += 1;
        let id = format!("{centre}{:02}", self.serial);
        let instance = Instance {
            id: id.as_str().into(),
            role: Role::Runner,
            address: ([127, 0, 0, 1], 80).into(),
            centre: centre.into(),
            rack: rack.into(),
            state: InstanceState::Live,
            age_ms: 0,
            boots: 0,
        };
        let simulated = SimulatedInstance {
            instance,
            transition_end: Duration::ZERO,
            reboot_hangs: false,
            reboot_run: None,
            rebooted_runs: Vec::new(),
        };
        self.true_instances.insert(id, simulated);
    }

    /// Writes the configuration's head, as every accepted change of the configuration does.
    pub fn publish(&mut self) {
        let _ = self
            .memory_store
            .store()
            .txn(&Txn::default().put(HEAD, Vec::new()));
    }

    /// Advances the time: ends drains and reboots, expires leases and refreshes the instance list.
    pub fn advance_time(&mut self, seconds: u64) {
        self.now += Duration::from_secs(seconds);
        for simulated in self.true_instances.values_mut() {
            if simulated.transition_end > self.now {
                continue;
            }
            match simulated.instance.state {
                InstanceState::Leaving => simulated.instance.state = InstanceState::Drained,
                InstanceState::Rebooting if !simulated.reboot_hangs => {
                    simulated.instance.state = InstanceState::Live;
                    simulated.instance.boots += 1;
                    simulated.rebooted_runs.extend(simulated.reboot_run.take());
                }
                _ => {}
            }
        }
        if !self.store_down {
            let now = self.now;
            let ended = self
                .lease_renewals
                .extract_if(.., |_, at| now >= *at + DEFAULT_LEASE);
            for (lease, _) in ended {
                self.memory_store.expire_lease(lease);
            }
        }
        let list = self
            .true_instances
            .values()
            .map(|simulated| simulated.instance.clone());
        self.history.push((self.now, list.collect()));
        let oldest = self.now.saturating_sub(Duration::from_mins(2));
        self.history.retain(|(at, _)| *at >= oldest);
    }

    /// Returns the instance list as of `list_lag` ago.
    fn list(&self) -> Vec<Instance> {
        let seen = self.now.saturating_sub(self.list_lag);
        let found = self.history.iter().rev().find(|(at, _)| *at <= seen);
        let Some((at, list)) = found else {
            return Vec::new();
        };
        let age_ms = u64::try_from(self.now.saturating_sub(*at).as_millis()).unwrap_or(u64::MAX);
        let aged = |instance: &Instance| Instance {
            age_ms,
            ..instance.clone()
        };
        list.iter().map(aged).collect()
    }

    /// Reads the stored pool maps, even while the store does not answer the holders.
    pub fn maps(&self) -> PoolMaps {
        read(&self.memory_store, MAP_PREFIX)
            .into_iter()
            .map(|(key, map)| (DataCentre::from(key), map))
            .collect()
    }

    /// Returns the instances that an operation keeps out of service, with their entries.
    pub fn instances_out(&self) -> Vec<(String, MapEntry)> {
        let maps = self.maps();
        let entries = maps.values().flat_map(|map| &map.value.instances);
        let out = entries.filter(|(_, entry)| entry.state.is_out());
        out.map(|(id, entry)| (id.to_string(), entry.clone()))
            .collect()
    }

    /// Returns the pool of an instance.
    pub fn pool_of(&self, id: &str) -> String {
        let maps = self.maps();
        let entry = maps.values().find_map(|map| map.value.instances.get(id));
        entry.expect("the instance is in a map").pool.to_string()
    }

    /// Returns the instances of a pool.
    pub fn members(&self, pool: &str) -> Vec<String> {
        let maps = self.maps();
        let entries = maps.values().flat_map(|map| &map.value.instances);
        let members = entries.filter(|(_, entry)| &*entry.pool == pool);
        members.map(|(id, _)| id.to_string()).collect()
    }

    /// Reads the stored progress of the wave.
    pub fn progress(&self) -> WaveProgress {
        let waves: BTreeMap<String, Versioned<WaveProgress>> =
            read(&self.memory_store, WAVE_PREFIX);
        waves.get(WAVE).cloned().unwrap_or_default().value
    }

    fn revision(&self, key: &str) -> Revision {
        let snapshot = self.memory_store.store().range(key).unwrap_or_default();
        snapshot.get(key).map_or(0, |entry| entry.modified)
    }

    /// Renews the lease or claims the duty.
    fn renew_duty(&mut self, index: usize) {
        let (store, now) = (self.memory_store.store(), self.now);
        let duty = &mut self.holders[index].duty;
        for _ in 0..3 {
            match duty.next_step(now) {
                DutyStep::Grant(_) => {
                    // Leases expire by the simulated clock, so they must not expire by the real
                    // one.
                    let lease = store
                        .grant_lease(Duration::from_hours(24))
                        .unwrap_or_default();
                    self.lease_renewals.insert(lease, now);
                    duty.granted(lease, now);
                }
                DutyStep::Claim(txn) => {
                    let _ = store.txn(&txn);
                    let snapshot = store.range(&duty.key).unwrap_or_default();
                    duty.claim_read(snapshot.get(&duty.key), now);
                }
                DutyStep::Renew(lease) => {
                    let alive = store.keep_alive(lease).unwrap_or(false);
                    if alive {
                        self.lease_renewals.insert(lease, now);
                    }
                    duty.renewed(alive, now);
                }
                DutyStep::Wait(_) => return,
            }
        }
    }

    /// First part of a round: reads the store and plans.
    pub fn plan(&mut self, index: usize) {
        let online = !self.store_down;
        if online {
            self.renew_duty(index);
        }
        let list = self.list();
        let maps = self.maps();
        let waves = read(&self.memory_store, WAVE_PREFIX)
            .into_iter()
            .map(|(name, progress)| (name.into(), progress))
            .collect();
        let head = self.revision(HEAD);
        let holder = &mut self.holders[index];
        if online {
            holder.maps = maps;
            holder.waves = waves;
            holder
                .memory
                .store_returned(self.now, Duration::from_secs(3));
            if !self.stale_settings || holder.settings.1 == 0 {
                holder.settings = (self.settings.clone(), head);
            }
        } else {
            holder.memory.store_lost();
        }
        holder.instances.record(&list, self.now);
        holder.memory.demand.observe(&self.demand, self.now);
        let Some(created) = holder.duty.held(self.now) else {
            holder.pending = None;
            return;
        };
        let key = holder.duty.key.clone();
        let view = FleetView {
            centre: &holder.centre,
            duty: (&key, created),
            head: (HEAD, holder.settings.1),
            maps: &holder.maps,
            waves: &holder.waves,
            instances: &holder.instances,
            config: &holder.settings.0,
            store_online: online,
        };
        let plan = planner::plan(&view, &mut holder.memory, self.now);
        holder.pending = Some((plan, holder.instances.clone(), created));
    }

    /// Second part of a round: commits, at any time after planning.
    ///
    /// Lost answers need no simulation, since a holder reads the store again in every round.
    pub fn commit(&mut self, index: usize) -> bool {
        let Some((plan, instances, created)) = self.holders[index].pending.clone() else {
            return false;
        };
        let Some(txn) = plan.txn.as_ref().filter(|_| !self.store_down) else {
            return false;
        };
        let before = self.maps();
        let committed = self
            .memory_store
            .store()
            .txn(txn)
            .is_ok_and(|reply| reply.committed);
        if committed {
            self.check_commit(index, &plan, &instances, created, &before);
        }
        committed
    }

    /// Third part of a round: calls the platform, at any time after planning.
    pub fn make_calls(&mut self, index: usize) {
        let Some((plan, ..)) = self.holders[index].pending.clone() else {
            return;
        };
        for call in &plan.calls {
            self.carry_out(call);
            if self.lost_answers > 0 {
                self.lost_answers -= 1;
            } else {
                self.holders[index].memory.acknowledge(call, self.now);
            }
        }
    }

    pub fn run_round(&mut self, index: usize) {
        self.plan(index);
        self.make_calls(index);
        self.commit(index);
    }

    /// Runs rounds of all holders, 5 s apart.
    pub fn run_rounds(&mut self, count: usize) {
        for _ in 0..count {
            for index in 0..self.holders.len() {
                self.run_round(index);
            }
            self.advance_time(5);
        }
    }

    fn carry_out(&mut self, call: &PlatformCall) {
        self.check_call(call);
        let fresh = self
            .used_operations
            .insert((call.operation.to_string(), call.kind));
        let now = self.now;
        let Some(simulated) = self.true_instances.get_mut(&*call.instance) else {
            return;
        };
        let state = &mut simulated.instance.state;
        match (call.kind, *state) {
            _ if !fresh => {}
            (CallKind::Drain, InstanceState::Live) => {
                *state = InstanceState::Leaving;
                simulated.transition_end = now + DRAIN_TIME;
            }
            (CallKind::Reboot, InstanceState::Drained) => {
                *state = InstanceState::Rebooting;
                simulated.transition_end = now + REBOOT_TIME;
                let run = call.operation.rsplit_once('.').map(|(run, _)| run.into());
                simulated.reboot_run = run;
            }
            (CallKind::Restore, InstanceState::Leaving | InstanceState::Drained) => {
                *state = InstanceState::Live;
            }
            _ => {}
        }
    }

    /// Lets an instance fail.
    pub fn fail(&mut self, id: &str) {
        if let Some(simulated) = self.true_instances.get_mut(id) {
            simulated.instance.state = InstanceState::Failed;
            simulated.reboot_run = None;
        }
    }

    /// Repairs and reboots a failed instance or one whose reboot hangs.
    pub fn repair(&mut self, id: &str) {
        if let Some(simulated) = self.true_instances.get_mut(id) {
            let is_hanging =
                simulated.reboot_hangs && simulated.instance.state == InstanceState::Rebooting;
            if simulated.instance.state == InstanceState::Failed || is_hanging {
                simulated.instance.state = InstanceState::Live;
                simulated.instance.boots += 1;
            }
            simulated.reboot_hangs = false;
        }
    }

    fn with_operator_view<T>(&self, run: impl FnOnce(&FleetView) -> T) -> T {
        let holder = &self.holders[0];
        let (maps, revision) = (self.maps(), self.revision(HEAD));
        let waves = read(&self.memory_store, WAVE_PREFIX)
            .into_iter()
            .map(|(name, progress)| (name.into(), progress))
            .collect();
        run(&FleetView {
            centre: &holder.centre,
            duty: (&holder.duty.key, holder.duty.held(self.now).unwrap_or(-1)),
            head: (HEAD, revision),
            maps: &maps,
            waves: &waves,
            instances: &holder.instances,
            config: &self.settings,
            store_online: true,
        })
    }

    fn write(&self, txn: Result<Txn, Code>) -> Result<bool, Code> {
        let reply = self.memory_store.store().txn(&txn?);
        Ok(reply.is_ok_and(|reply| reply.committed))
    }

    /// Starts the wave, as an operator does.
    pub fn start(&self) -> Result<bool, Code> {
        self.write(self.with_operator_view(|view| wave::start(view, &WAVE.into(), self.now)))
    }

    /// Pauses the wave, as an operator does.
    pub fn pause(&self) -> Result<bool, Code> {
        self.write(self.with_operator_view(|view| wave::pause(view, &WAVE.into())))
    }

    /// Drains an instance of the first data centre, as an operator does.
    pub fn drain(&mut self, id: &str) -> Result<bool, Code> {
        self.serial += 1;
        let operation = self.serial.to_string();
        let txn =
            self.with_operator_view(|view| planner::drain(view, &id.into(), &operation, self.now));
        let done = self.write(txn)?;
        self.record_intents();
        Ok(done)
    }
}

/// Reads all values under a key prefix, by the rest of their keys.
fn read<T: serde::de::DeserializeOwned + Default>(
    memory: &MemoryStore,
    prefix: &str,
) -> BTreeMap<String, Versioned<T>> {
    let snapshot = memory.store().range(prefix).unwrap_or_default();
    let values = snapshot.entries.into_iter().map(|entry| {
        let value = planner::decode(&entry.value).expect("value is readable");
        let stored = Versioned {
            value,
            modified: entry.modified,
        };
        (entry.key[prefix.len()..].to_owned(), stored)
    });
    values.collect()
}
