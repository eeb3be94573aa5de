//! The steps of a planning round over working copies of the own map and the waves' progress.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::iter::once;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::Code;
use nutmegcart_model::DataCentre;
use nutmegcart_model::InstanceId;
use nutmegcart_model::PoolName;
use nutmegcart_model::WaveName;
use nutmegcart_platform::InstanceState;
use nutmegcart_platform::Txn;

use crate::advance::verb;
use crate::assign;
use crate::budget;
use crate::budget::AvailabilityByPool;
use crate::lending;
use crate::map::HOLD_PREFIX;
use crate::map::MaintenanceState;
use crate::map::MapEntry;
use crate::map::PoolMap;
use crate::planner::FleetView;
use crate::planner::Plan;
use crate::planner::PlannedChange;
use crate::planner::PlannerMemory;
use crate::planner::PlatformCall;
use crate::planner::encode;
use crate::planner::wave_of;
use crate::wave::CapacityPolicy;
use crate::wave::HEALTHY_PERIOD;
use crate::wave::WavePhase;
use crate::wave::WaveProgress;

pub(crate) struct PlanningRound<'a> {
    pub(crate) view: &'a FleetView<'a>,
    pub(crate) now: Duration,
    pub(crate) map: PoolMap,
    pub(crate) waves: BTreeMap<WaveName, WaveProgress>,
    pub(crate) touched: BTreeSet<WaveName>,
    /// Data centres whose maps the decisions rest on.
    fence: BTreeSet<DataCentre>,
    /// Whether the decisions rest on the configuration.
    configured: bool,
    pub(crate) changes: Vec<PlannedChange>,
}

/// What is left of a wave, over all data centres.
#[derive(Default)]
struct Remainder {
    pending: u32,
    out: u32,
    lost: u32,
}

impl<'a> PlanningRound<'a> {
    pub(crate) fn new(view: &'a FleetView<'a>, now: Duration) -> Self {
        let map = view
            .maps
            .get(view.centre)
            .map_or_else(PoolMap::default, |stored| stored.value.clone());
        let waves = view
            .waves
            .iter()
            .map(|(name, stored)| (name.clone(), stored.value.clone()))
            .collect();
        Self {
            view,
            now,
            map,
            waves,
            touched: BTreeSet::new(),
            fence: BTreeSet::new(),
            configured: false,
            changes: Vec::new(),
        }
    }

    pub(crate) const fn map(&self) -> &PoolMap {
        &self.map
    }

    /// Plans everything that a round can do while the store answers.
    pub(crate) fn run(mut self, memory: &mut PlannerMemory) -> Plan {
        let calls = self.calls(memory);
        self.advance(memory);
        let assigned = assign::assign(self.view, &mut self.map, self.now);
        if !assigned.is_empty() {
            // Two data centres must not fill the same gap at once.
            self.fence.extend(self.view.maps.keys().cloned());
        }
        let mut availability = self.availability_by_pool();
        self.resume_halted(&availability, memory);
        if self.now >= memory.quiet {
            let blocked = self.take_out(&mut availability, memory);
            // Lending waits until new instances have found their places.
            if assigned.is_empty() {
                self.lend(&mut availability, &blocked, memory);
            }
        }
        self.changes.extend(assigned);
        self.finish_waves(memory);
        Plan {
            txn: self.transaction(),
            changes: self.changes,
            calls,
        }
    }

    /// Returns the calls that written intents ask for and that were not answered yet.
    pub(crate) fn calls(&self, memory: &PlannerMemory) -> Vec<PlatformCall> {
        let mut calls = Vec::new();
        for (id, entry) in &self.map.instances {
            let Some(operation) = &entry.operation else {
                continue;
            };
            let next =
                verb(entry.state).filter(|verb| memory.acknowledged(operation, *verb).is_none());
            calls.extend(next.map(|kind| PlatformCall {
                kind,
                instance: id.clone(),
                operation: operation.clone(),
            }));
        }
        calls
    }

    /// Returns all maps, the own one with the changes planned so far.
    fn maps(&self) -> impl Iterator<Item = (&DataCentre, &PoolMap)> {
        let others = self.view.pool_maps();
        others
            .filter(|(centre, _)| *centre != self.view.centre)
            .chain(once((self.view.centre, &self.map)))
    }

    /// Returns the standing of every pool after the changes planned so far.
    fn availability_by_pool(&self) -> AvailabilityByPool {
        budget::availability_by_pool(self.maps(), self.view.instances, self.now)
    }

    fn resume_halted(&mut self, availability: &AvailabilityByPool, memory: &mut PlannerMemory) {
        let config = self.view.config;
        for (name, wave) in &config.waves {
            let Some(progress) = self.waves.get_mut(name) else {
                continue;
            };
            // Budgets keep the wave away from pools whose failed instances are still missing, so
            // they need not be repaired first.
            let counts = wave.pools.iter().filter_map(|pool| availability.get(pool));
            let (failed, out) = counts.fold((0, 0), |(failed, out), standing| {
                let total = standing.total();
                (failed + total.failed, out + total.out)
            });
            let (_, least) = memory.calm.get(name).copied().unwrap_or((self.now, failed));
            if progress.phase != WavePhase::Halted || out > 0 || failed > least {
                memory.calm.remove(name);
                continue;
            }
            let calm = memory.calm.entry(name.clone());
            let calm = calm.or_insert((self.now, failed));
            calm.1 = failed;
            let since = calm.0;
            let period = progress.recovery_period();
            if period.is_some_and(|period| self.now.saturating_sub(since) >= period) {
                progress.resume();
                self.touched.insert(name.clone());
                self.changes.push(PlannedChange::Resume(name.clone()));
            }
        }
    }

    /// Takes out as many instances as every limit allows, and returns the pools in which only
    /// free capacity was lacking.
    fn take_out(
        &mut self,
        availability: &mut AvailabilityByPool,
        memory: &mut PlannerMemory,
    ) -> BTreeSet<PoolName> {
        let mut blocked = BTreeSet::new();
        let mut taken = 0;
        let cap = memory.ramp.unwrap_or(u32::MAX);
        for (name, mut room) in self.open_waves() {
            let wave = &self.view.config.waves[&name];
            let policy = CapacityPolicy::from(wave.weights);
            let mark = self.waves[&name].run_id(&name);
            let pools: BTreeSet<&PoolName> = wave.pools.iter().collect();
            let mut map = std::mem::take(&mut self.map);
            for (id, entry) in &mut map.instances {
                if room == 0 || taken >= cap {
                    break;
                }
                if entry.last_run.as_ref() == Some(&mark) || !pools.contains(&entry.pool) {
                    continue;
                }
                let Some(boots) = self.may_go(id, entry, availability) else {
                    continue;
                };
                let spare = |standing: &budget::PoolAvailability| {
                    let free = standing.of(entry.role).available();
                    free > memory.demand.needed(&entry.pool, entry.role, policy)
                };
                if !availability.get(&entry.pool).is_some_and(spare) {
                    blocked.insert(entry.pool.clone());
                    continue;
                }
                let Some(progress) = self.waves.get_mut(&name) else {
                    break;
                };
                let operation = progress.next_operation(&name);
                self.take(id, entry, boots, operation, availability);
                self.touched.insert(name.clone());
                room -= 1;
                taken += 1;
            }
            self.map = map;
        }
        if taken > 0 {
            memory.ramp = memory.ramp.and_then(|ramp| ramp.checked_mul(2));
        }
        blocked
    }

    /// Returns the running waves with the number of instances that each may still take out.
    fn open_waves(&self) -> Vec<(WaveName, u32)> {
        let mut out: BTreeMap<WaveName, u32> = BTreeMap::new();
        for entry in self.maps().flat_map(|(_, map)| map.instances.values()) {
            if entry.state.is_out()
                && let Some((name, _)) = wave_of(entry)
            {
                *out.entry(name).or_default() += 1;
            }
        }
        let waves = self.view.config.waves.iter();
        waves
            .filter_map(|(name, wave)| {
                let progress = self.waves.get(name)?;
                let limit = progress
                    .step_size
                    .min(wave.width.unwrap_or(u32::MAX).max(1));
                let out = out.get(name).copied().unwrap_or(0);
                let running = progress.phase == WavePhase::Running;
                running.then(|| (name.clone(), limit.saturating_sub(out)))
            })
            .collect()
    }

    /// Returns the reboots so far of an instance that budget and failure domain let go.
    fn may_go(
        &self,
        id: &InstanceId,
        entry: &MapEntry,
        availability: &AvailabilityByPool,
    ) -> Option<u64> {
        let standing = availability.get(&entry.pool)?;
        let line = self.view.instances.known(id, self.now)?;
        let present = entry.state == MaintenanceState::Service && line.state == InstanceState::Live;
        let allowance = self.view.config.allowance(&entry.pool);
        let room = standing.room(entry.role, allowance) > 0;
        let domain = standing
            .open
            .as_ref()
            .is_none_or(|(centre, rack)| centre == self.view.centre && *rack == entry.rack);
        (present && room && domain).then_some(line.boots)
    }

    fn take(
        &mut self,
        id: &InstanceId,
        entry: &mut MapEntry,
        boots: u64,
        operation: Arc<str>,
        availability: &mut AvailabilityByPool,
    ) {
        if let Some(standing) = availability.get_mut(&entry.pool) {
            standing.of_mut(entry.role).out += 1;
            self.fence.extend(standing.centres.iter().cloned());
            if !operation.starts_with(HOLD_PREFIX) {
                standing.open = Some((self.view.centre.clone(), entry.rack.clone()));
            }
        }
        self.configured = true;
        entry.state = MaintenanceState::Draining;
        entry.boots_before = boots;
        entry.operation = Some(operation.clone());
        self.changes
            .push(PlannedChange::TakeOut(id.clone(), operation));
    }

    fn lend(
        &mut self,
        availability: &mut AvailabilityByPool,
        blocked: &BTreeSet<PoolName>,
        memory: &mut PlannerMemory,
    ) {
        let moves = lending::moves(
            self.view,
            &self.map,
            availability,
            blocked,
            &mut memory.demand,
            self.now,
        );
        for (id, to) in moves {
            let Some(entry) = self.map.instances.get_mut(&id) else {
                continue;
            };
            for pool in [&entry.pool, &to] {
                let centres = availability.get(pool).map(|standing| &standing.centres);
                self.fence.extend(centres.into_iter().flatten().cloned());
            }
            self.configured = true;
            entry.pool = to.clone();
            self.changes.push(PlannedChange::Move(id, to));
        }
    }

    fn finish_waves(&mut self, memory: &mut PlannerMemory) {
        for (name, wave) in &self.view.config.waves {
            let running = |progress: &&WaveProgress| progress.phase == WavePhase::Running;
            let Some(progress) = self.waves.get(name).filter(running) else {
                continue;
            };
            let mark = progress.run_id(name);
            let pools: BTreeSet<&PoolName> = wave.pools.iter().collect();
            let mut rest = Remainder::default();
            for (_, map) in self.maps() {
                for (id, entry) in &map.instances {
                    let out = entry.state.is_out() && entry.belongs_to(&mark);
                    rest.out += u32::from(out);
                    if out || entry.last_run.as_ref() == Some(&mark) || !pools.contains(&entry.pool)
                    {
                        continue;
                    }
                    let line = self.view.instances.known(id, self.now);
                    let lost = entry.state == MaintenanceState::Failed
                        || line.is_some_and(|line| line.state == InstanceState::Failed)
                        || self.view.instances.is_absent(id, self.now);
                    *(if lost {
                        &mut rest.lost
                    } else {
                        &mut rest.pending
                    }) += 1;
                }
            }
            if rest.out > 0 || rest.pending > 0 {
                memory.ending.remove(name);
                continue;
            }
            // Instances that are lost for a moment only may still be maintained.
            let since = *memory.ending.entry(name.clone()).or_insert(self.now);
            if rest.lost == 0 || self.now.saturating_sub(since) >= HEALTHY_PERIOD {
                let Some(progress) = self.waves.get_mut(name) else {
                    continue;
                };
                progress.phase = WavePhase::Finished;
                progress.unmaintained = rest.lost;
                self.fence.extend(self.view.maps.keys().cloned());
                self.configured = true;
                self.touched.insert(name.clone());
                self.changes
                    .push(PlannedChange::Finish(name.clone(), rest.lost));
            }
        }
    }

    /// Takes an instance out on an operator's behalf.
    pub(crate) fn drain(mut self, id: &InstanceId, operation: &str) -> Result<Txn, Code> {
        let mut availability = self.availability_by_pool();
        let mut entry = self.map.instances.get(id).cloned().ok_or(Code::NotInPool)?;
        let observed = self.view.instances.known(id, self.now);
        let live = observed.filter(|observed| observed.state == InstanceState::Live);
        let boots = live.ok_or(Code::InstanceBusy)?.boots;
        if entry.state != MaintenanceState::Service {
            return Err(Code::InstanceBusy);
        }
        let allowance = self.view.config.allowance(&entry.pool);
        let standing = availability.get(&entry.pool).ok_or(Code::NotInPool)?;
        if standing.room(entry.role, allowance) == 0 {
            return Err(Code::BudgetExhausted);
        }
        let operation = format!("{HOLD_PREFIX}{operation}").into();
        self.take(id, &mut entry, boots, operation, &mut availability);
        self.map.instances.insert(id.clone(), entry);
        Ok(self.transaction().unwrap_or_default())
    }

    /// Returns the compare-and-swap over everything that the decisions rest on.
    fn transaction(&self) -> Option<Txn> {
        if self.changes.is_empty() && self.touched.is_empty() {
            return None;
        }
        let view = self.view;
        let modified = |centre: &DataCentre| view.maps.get(centre).map_or(0, |map| map.modified);
        let mut txn = Txn::default().created_at(view.duty.0, view.duty.1);
        if self.configured {
            txn = txn.unchanged(view.head.0, view.head.1);
        }
        let own = PoolMap::key(view.centre);
        txn = txn.unchanged(own.clone(), modified(view.centre));
        for centre in self.fence.iter().filter(|centre| *centre != view.centre) {
            txn = txn.unchanged(PoolMap::key(centre), modified(centre));
        }
        let old = view.maps.get(view.centre);
        if old.is_none_or(|old| old.value != self.map) {
            txn = txn.put(own, encode(&self.map));
        }
        for name in &self.touched {
            let revision = view.waves.get(name).map_or(0, |stored| stored.modified);
            let key = WaveProgress::key(name);
            txn = txn
                .unchanged(key.clone(), revision)
                .put(key, encode(&self.waves[name]));
        }
        Some(txn)
    }
}
