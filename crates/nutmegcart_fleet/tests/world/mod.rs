//! A simulated deployment that knows the true state of every instance.
#![allow(dead_code)] // Each test binary uses its own part.

mod oracle;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use nutmegcart_fleet::Demand;
use nutmegcart_fleet::DutyLease;
use nutmegcart_fleet::FleetView;
use nutmegcart_fleet::InstanceCache;
use nutmegcart_fleet::MapEntry;
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

/// Time at which a world starts, in seconds.
pub const START: u64 = 1000;
/// Key of the configuration's head.
pub const HEAD: &str = "/nutmegcart/config/head";
/// The wave of all tests.
pub const WAVE: &str = "kernel";
/// Data centres.
pub const CENTRES: [&str; 2] = ["a", "b"];
/// Pools; the last one is the spare pool.
pub const POOLS: [&str; 3] = ["gates", "tours", "reports"];
/// Time that a drain takes.
pub const DRAIN: Duration = Duration::from_secs(10);
/// Time that a reboot takes.
pub const REBOOT: Duration = Duration::from_secs(30);

/// The true state of an instance.
pub struct Machine {
    pub line: Instance,
    pub ends: Duration,
    /// A reboot never comes back.
    pub stuck: bool,
    /// Run of the reboot under way, and runs whose reboot succeeded.
    pub booting: Option<String>,
    pub booted: Vec<String>,
}

/// An entry instance that competes for the duty of a data centre.
pub struct Holder {
    pub centre: DataCentre,
    pub duty: DutyLease,
    pub memory: PlannerMemory,
    pub listing: InstanceCache,
    pub pending: Option<(Plan, InstanceCache, Revision)>,
    maps: PoolMaps,
    waves: ProgressByWave,
    settings: (FleetConfig, Revision),
}

/// Everything outside the planner.
pub struct World {
    pub now: Duration,
    pub memory: MemoryStore,
    pub settings: FleetConfig,
    pub machines: BTreeMap<String, Machine>,
    pub holders: Vec<Holder>,
    pub demand: BTreeMap<PoolName, Demand>,
    pub lag: Duration,
    pub store_down: bool,
    pub stale_settings: bool,
    pub lose_calls: u32,
    used: BTreeSet<(String, CallKind)>,
    /// Operations that were ever written, with the state they were in.
    written: BTreeSet<(String, String)>,
    renewed: BTreeMap<LeaseId, Duration>,
    history: Vec<(Duration, Vec<Instance>)>,
    serial: u32,
    /// Committed actions with time and data centre.
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

impl World {
    /// Creates pools of `per_rack` instances in each of two racks of each data centre.
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
        let mut world = Self {
            now: Duration::from_secs(START),
            memory: MemoryStore::default(),
            settings,
            machines: BTreeMap::new(),
            holders: Vec::new(),
            demand: BTreeMap::new(),
            lag: Duration::ZERO,
            store_down: false,
            stale_settings: false,
            lose_calls: 0,
            used: BTreeSet::new(),
            written: BTreeSet::new(),
            renewed: BTreeMap::new(),
            history: Vec::new(),
            serial: 0,
            log: Vec::new(),
        };
        for centre in CENTRES {
            for rack in ["r1", "r2"] {
                for _ in 0..per_rack * 3 {
                    world.add_machine(centre, &format!("{centre}-{rack}"));
                }
            }
            for _ in 0..2 {
                let incarnation = Incarnation(world.holders.len() as u64);
                world.holders.push(Holder {
                    centre: centre.into(),
                    duty: DutyLease::new(&centre.into(), incarnation),
                    memory: PlannerMemory::default(),
                    listing: InstanceCache::default(),
                    pending: None,
                    maps: PoolMaps::new(),
                    waves: ProgressByWave::new(),
                    settings: (FleetConfig::default(), 0),
                });
            }
        }
        world.publish();
        world.pass(0);
        world.rounds(4);
        world
    }

    pub fn add_machine(&mut self, centre: &str, rack: &str) {
        self.serial += 1;
        let id = format!("{centre}{:02}", self.serial);
        let line = Instance {
            id: id.as_str().into(),
            role: Role::Runner,
            address: ([127, 0, 0, 1], 80).into(),
            centre: centre.into(),
            rack: rack.into(),
            state: InstanceState::Live,
            age_ms: 0,
            boots: 0,
        };
        let machine = Machine {
            line,
            ends: Duration::ZERO,
            stuck: false,
            booting: None,
            booted: Vec::new(),
        };
        self.machines.insert(id, machine);
    }

    /// Writes the configuration's head, as every accepted change does.
    pub fn publish(&mut self) {
        let _ = self
            .memory
            .store()
            .txn(&Txn::default().put(HEAD, Vec::new()));
    }

    /// Lets time pass: drains and reboots end, leases expire, the list is refreshed.
    pub fn pass(&mut self, seconds: u64) {
        self.now += Duration::from_secs(seconds);
        for machine in self.machines.values_mut() {
            if machine.ends > self.now {
                continue;
            }
            match machine.line.state {
                InstanceState::Leaving => machine.line.state = InstanceState::Drained,
                InstanceState::Rebooting if !machine.stuck => {
                    machine.line.state = InstanceState::Live;
                    machine.line.boots += 1;
                    machine.booted.extend(machine.booting.take());
                }
                _ => {}
            }
        }
        if !self.store_down {
            let now = self.now;
            let ended = self
                .renewed
                .extract_if(.., |_, at| now >= *at + DEFAULT_LEASE);
            for (lease, _) in ended {
                self.memory.expire_lease(lease);
            }
        }
        let list = self.machines.values().map(|machine| machine.line.clone());
        self.history.push((self.now, list.collect()));
        let oldest = self.now.saturating_sub(Duration::from_mins(2));
        self.history.retain(|(at, _)| *at >= oldest);
    }

    /// Returns the list as it was when the lag began.
    fn list(&self) -> Vec<Instance> {
        let seen = self.now.saturating_sub(self.lag);
        let found = self.history.iter().rev().find(|(at, _)| *at <= seen);
        let Some((at, list)) = found else {
            return Vec::new();
        };
        let age_ms = u64::try_from(self.now.saturating_sub(*at).as_millis()).unwrap_or(u64::MAX);
        let aged = |line: &Instance| Instance {
            age_ms,
            ..line.clone()
        };
        list.iter().map(aged).collect()
    }

    /// Reads the true maps, whether or not the store answers.
    pub fn maps(&self) -> PoolMaps {
        read(&self.memory, MAP_PREFIX)
            .into_iter()
            .map(|(key, map)| (DataCentre::from(key), map))
            .collect()
    }

    /// Returns the instances that are out, with their entries.
    pub fn out(&self) -> Vec<(String, MapEntry)> {
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

    /// Reads the true progress of the wave.
    pub fn progress(&self) -> WaveProgress {
        let waves: BTreeMap<String, Versioned<WaveProgress>> = read(&self.memory, WAVE_PREFIX);
        waves.get(WAVE).cloned().unwrap_or_default().value
    }

    fn revision(&self, key: &str) -> Revision {
        let snapshot = self.memory.store().range(key).unwrap_or_default();
        snapshot.get(key).map_or(0, |entry| entry.modified)
    }

    /// Keeps the lease alive or claims the duty.
    fn keep(&mut self, index: usize) {
        let (store, now) = (self.memory.store(), self.now);
        let duty = &mut self.holders[index].duty;
        for _ in 0..3 {
            match duty.next_step(now) {
                DutyStep::Grant(_) => {
                    // The simulated clock expires leases, so the real one must not.
                    let lease = store
                        .grant_lease(Duration::from_hours(24))
                        .unwrap_or_default();
                    self.renewed.insert(lease, now);
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
                        self.renewed.insert(lease, now);
                    }
                    duty.renewed(alive, now);
                }
                DutyStep::Wait(_) => return,
            }
        }
    }

    /// First part of a round: reads and plans.
    pub fn plan(&mut self, index: usize) {
        let online = !self.store_down;
        if online {
            self.keep(index);
        }
        let list = self.list();
        let maps = self.maps();
        let waves = read(&self.memory, WAVE_PREFIX)
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
        holder.listing.record(&list, self.now);
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
            instances: &holder.listing,
            config: &holder.settings.0,
            store_online: online,
        };
        let plan = planner::plan(&view, &mut holder.memory, self.now);
        holder.pending = Some((plan, holder.listing.clone(), created));
    }

    /// Second part of a round: commits, however long after planning. Whether the answer is lost
    /// makes no difference, since a holder starts every round from a fresh read.
    pub fn commit(&mut self, index: usize) -> bool {
        let Some((plan, listing, created)) = self.holders[index].pending.clone() else {
            return false;
        };
        let Some(txn) = plan.txn.as_ref().filter(|_| !self.store_down) else {
            return false;
        };
        let before = self.maps();
        let committed = self
            .memory
            .store()
            .txn(txn)
            .is_ok_and(|reply| reply.committed);
        if committed {
            self.check_commit(index, &plan, &listing, created, &before);
        }
        committed
    }

    /// Third part of a round: calls the platform, however long after planning.
    pub fn call(&mut self, index: usize) {
        let Some((plan, ..)) = self.holders[index].pending.clone() else {
            return;
        };
        for effect in &plan.calls {
            self.carry_out(effect);
            if self.lose_calls > 0 {
                self.lose_calls -= 1;
            } else {
                self.holders[index].memory.acknowledge(effect, self.now);
            }
        }
    }

    pub fn round(&mut self, index: usize) {
        self.plan(index);
        self.call(index);
        self.commit(index);
    }

    /// Runs rounds of all holders, five seconds apart.
    pub fn rounds(&mut self, count: usize) {
        for _ in 0..count {
            for index in 0..self.holders.len() {
                self.round(index);
            }
            self.pass(5);
        }
    }

    fn carry_out(&mut self, effect: &PlatformCall) {
        self.check_effect(effect);
        let fresh = self
            .used
            .insert((effect.operation.to_string(), effect.kind));
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&*effect.instance) else {
            return;
        };
        let state = &mut machine.line.state;
        match (effect.kind, *state) {
            _ if !fresh => {}
            (CallKind::Drain, InstanceState::Live) => {
                *state = InstanceState::Leaving;
                machine.ends = now + DRAIN;
            }
            (CallKind::Reboot, InstanceState::Drained) => {
                *state = InstanceState::Rebooting;
                machine.ends = now + REBOOT;
                let run = effect.operation.rsplit_once('.').map(|(run, _)| run.into());
                machine.booting = run;
            }
            (CallKind::Restore, InstanceState::Leaving | InstanceState::Drained) => {
                *state = InstanceState::Live;
            }
            _ => {}
        }
    }

    /// An instance fails by itself.
    pub fn fail(&mut self, id: &str) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.line.state = InstanceState::Failed;
            machine.booting = None;
        }
    }

    /// Somebody repairs and reboots a failed or hanging instance.
    pub fn repair(&mut self, id: &str) {
        if let Some(machine) = self.machines.get_mut(id) {
            let hangs = machine.stuck && machine.line.state == InstanceState::Rebooting;
            if machine.line.state == InstanceState::Failed || hangs {
                machine.line.state = InstanceState::Live;
                machine.line.boots += 1;
            }
            machine.stuck = false;
        }
    }

    fn operator<T>(&self, run: impl FnOnce(&FleetView) -> T) -> T {
        let holder = &self.holders[0];
        let (maps, revision) = (self.maps(), self.revision(HEAD));
        let waves = read(&self.memory, WAVE_PREFIX)
            .into_iter()
            .map(|(name, progress)| (name.into(), progress))
            .collect();
        run(&FleetView {
            centre: &holder.centre,
            duty: (&holder.duty.key, holder.duty.held(self.now).unwrap_or(-1)),
            head: (HEAD, revision),
            maps: &maps,
            waves: &waves,
            instances: &holder.listing,
            config: &self.settings,
            store_online: true,
        })
    }

    fn write(&self, txn: Result<Txn, Code>) -> Result<bool, Code> {
        let reply = self.memory.store().txn(&txn?);
        Ok(reply.is_ok_and(|reply| reply.committed))
    }

    /// An operator starts the wave.
    pub fn start(&self) -> Result<bool, Code> {
        self.write(self.operator(|view| wave::start(view, &WAVE.into(), self.now)))
    }

    /// An operator pauses the wave.
    pub fn pause(&self) -> Result<bool, Code> {
        self.write(self.operator(|view| wave::pause(view, &WAVE.into())))
    }

    /// An operator drains an instance of the first data centre.
    pub fn drain(&mut self, id: &str) -> Result<bool, Code> {
        self.serial += 1;
        let operation = self.serial.to_string();
        let txn = self.operator(|view| planner::drain(view, &id.into(), &operation, self.now));
        let done = self.write(txn)?;
        self.note_written();
        Ok(done)
    }
}

/// Reads all values with a prefix, by the rest of their keys.
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
