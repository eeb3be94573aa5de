//! Steps of a planning round on working copies of the data centre's own pool map and the waves'
//! progress.

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

use crate::advance::required_call;
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
use crate::planner::wave_run_of;
use crate::wave::CapacityPolicy;
use crate::wave::HEALTHY_PERIOD;
use crate::wave::WavePhase;
use crate::wave::WaveProgress;

/// Working state of one planning round.
pub(crate) struct PlanningRound<'a> {
    pub(crate) view: &'a FleetView<'a>,
    pub(crate) now: Duration,
    /// Working copy of the data centre's own map.
    pub(crate) map: PoolMap,
    /// Working copy of the progress of all waves.
    pub(crate) waves: BTreeMap<WaveName, WaveProgress>,
    pub(crate) changed_waves: BTreeSet<WaveName>,
    /// Data centres whose maps the decisions depend on.
    read_centres: BTreeSet<DataCentre>,
    /// Whether the decisions depend on the configuration.
    reads_config: bool,
    pub(crate) changes: Vec<PlannedChange>,
}

/// Instances of a wave that are not maintained yet, over all data centres.
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
            changed_waves: BTreeSet::new(),
            read_centres: BTreeSet::new(),
            reads_config: false,
            changes: Vec::new(),
        }
    }

    pub(crate) const fn map(&self) -> &PoolMap {
        &self.map
    }

    /// Plans a whole round; used while the store answers.
    pub(crate) fn run(mut self, memory: &mut PlannerMemory) -> Plan {
        let calls = self.calls(memory);
        self.advance(memory);
        let assigned = assign::assign(self.view, &mut self.map, self.now);
        if !assigned.is_empty() {
            // Two data centres must not fill the same shortfall of a pool.
            self.read_centres.extend(self.view.maps.keys().cloned());
        }
        let mut availability = self.availability_by_pool();
        self.resume_halted(&availability, memory);
        if self.now >= memory.quiet_until {
            let blocked = self.take_out_instances(&mut availability, memory);
            // Instances move between pools only after all new instances are assigned.
            if assigned.is_empty() {
                self.move_instances(&mut availability, &blocked, memory);
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

    /// Returns the calls of written intents that the platform has not answered yet.
    pub(crate) fn calls(&self, memory: &PlannerMemory) -> Vec<PlatformCall> {
        let mut calls = Vec::new();
        for (id, entry) in &self.map.instances {
            let Some(operation) = &entry.operation else {
                continue;
            };
            let next = required_call(entry.state)
                .filter(|kind| memory.acknowledged(operation, *kind).is_none());
            calls.extend(next.map(|kind| PlatformCall {
                kind,
                instance: id.clone(),
                operation: operation.clone(),
            }));
        }
        calls
    }

    /// Returns the maps of all data centres, with the changes planned so far in the own map.
    fn maps(&self) -> impl Iterator<Item = (&DataCentre, &PoolMap)> {
        let others = self.view.pool_maps();
        others
            .filter(|(centre, _)| *centre != self.view.centre)
            .chain(once((self.view.centre, &self.map)))
    }

    /// Returns the availability of every pool with the changes planned so far.
    fn availability_by_pool(&self) -> AvailabilityByPool {
        budget::availability_by_pool(self.maps(), self.view.instances, self.now)
    }

    /// Resumes halted waves whose pools had no new failure for the recovery period.
    fn resume_halted(&mut self, availability: &AvailabilityByPool, memory: &mut PlannerMemory) {
        let config = self.view.config;
        for (name, wave) in &config.waves {
            let Some(progress) = self.waves.get_mut(name) else {
                continue;
            };
            // Failed instances need not be repaired before the wave resumes: they count against the
            // budgets of their pools, which keep the wave away.
            let counts = wave.pools.iter().filter_map(|pool| availability.get(pool));
            let (failed, out) = counts.fold((0, 0), |(failed, out), pool_availability| {
                let total = pool_availability.total();
                (failed + total.failed, out + total.out)
            });
            let (_, lowest_failed) = memory
                .halt_quiet_since
                .get(name)
                .copied()
                .unwrap_or((self.now, failed));
            if progress.phase != WavePhase::Halted || out > 0 || failed > lowest_failed {
                memory.halt_quiet_since.remove(name);
                continue;
            }
            let quiet = memory.halt_quiet_since.entry(name.clone());
            let quiet = quiet.or_insert((self.now, failed));
            quiet.1 = failed;
            let since = quiet.0;
            let period = progress.recovery_period();
            if period.is_some_and(|period| self.now.saturating_sub(since) >= period) {
                progress.resume();
                self.changed_waves.insert(name.clone());
                self.changes.push(PlannedChange::Resume(name.clone()));
            }
        }
    }

    /// Takes out as many instances as every limit allows.
    ///
    /// Returns the pools from which an instance could not be taken out only because its capacity is
    /// needed.
    fn take_out_instances(
        &mut self,
        availability: &mut AvailabilityByPool,
        memory: &mut PlannerMemory,
    ) -> BTreeSet<PoolName> {
        let mut blocked = BTreeSet::new();
        let mut taken = 0;
        let limit = memory.ramp_limit.unwrap_or(u32::MAX);
        for (name, mut room) in self.running_waves() {
            let wave = &self.view.config.waves[&name];
            let policy = CapacityPolicy::from(wave.weights);
            let run_id = self.waves[&name].run_id(&name);
            let pools: BTreeSet<&PoolName> = wave.pools.iter().collect();
            let mut map = std::mem::take(&mut self.map);
            for (id, entry) in &mut map.instances {
                if room == 0 || taken >= limit {
                    break;
                }
                if entry.last_run.as_ref() == Some(&run_id) || !pools.contains(&entry.pool) {
                    continue;
                }
                let Some(boots) = self.reboots_if_removable(id, entry, availability) else {
                    continue;
                };
                let has_spare = |pool_availability: &budget::PoolAvailability| {
                    let free = pool_availability.of(entry.role).available();
                    free > memory.demand.needed(&entry.pool, entry.role, policy)
                };
                if !availability.get(&entry.pool).is_some_and(has_spare) {
                    blocked.insert(entry.pool.clone());
                    continue;
                }
                let Some(progress) = self.waves.get_mut(&name) else {
                    break;
                };
                let operation = progress.next_operation(&name);
                self.mark_taken_out(id, entry, boots, operation, availability);
                self.changed_waves.insert(name.clone());
                room -= 1;
                taken += 1;
            }
            self.map = map;
        }
        if taken > 0 {
            memory.ramp_limit = memory.ramp_limit.and_then(|limit| limit.checked_mul(2));
        }
        blocked
    }

    /// Returns the running waves, each with the number of further instances that it may take out.
    fn running_waves(&self) -> Vec<(WaveName, u32)> {
        let mut out: BTreeMap<WaveName, u32> = BTreeMap::new();
        for entry in self.maps().flat_map(|(_, map)| map.instances.values()) {
            if entry.state.is_out()
                && let Some((name, _)) = wave_run_of(entry)
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

    /// Returns the instance's reboot count if budget and failure domain allow taking it out.
    fn reboots_if_removable(
        &self,
        id: &InstanceId,
        entry: &MapEntry,
        availability: &AvailabilityByPool,
    ) -> Option<u64> {
        let pool_availability = availability.get(&entry.pool)?;
        let observed = self.view.instances.known(id, self.now)?;
        let in_service =
            entry.state == MaintenanceState::Service && observed.state == InstanceState::Live;
        let allowance = self.view.config.allowance(&entry.pool);
        let within_budget = pool_availability.room(entry.role, allowance) > 0;
        let domain_allows = pool_availability
            .open_rack
            .as_ref()
            .is_none_or(|(centre, rack)| centre == self.view.centre && *rack == entry.rack);
        (in_service && within_budget && domain_allows).then_some(observed.boots)
    }

    /// Records the intent to drain an instance.
    fn mark_taken_out(
        &mut self,
        id: &InstanceId,
        entry: &mut MapEntry,
        boots: u64,
        operation: Arc<str>,
        availability: &mut AvailabilityByPool,
    ) {
        if let Some(pool_availability) = availability.get_mut(&entry.pool) {
            pool_availability.of_mut(entry.role).out += 1;
            self.read_centres
                .extend(pool_availability.centres.iter().cloned());
            if !operation.starts_with(HOLD_PREFIX) {
                pool_availability.open_rack = Some((self.view.centre.clone(), entry.rack.clone()));
            }
        }
        self.reads_config = true;
        entry.state = MaintenanceState::Draining;
        entry.boots_before = boots;
        entry.operation = Some(operation.clone());
        self.changes
            .push(PlannedChange::TakeOut(id.clone(), operation));
    }

    /// Moves instances between pools by their demand.
    fn move_instances(
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
                let centres = availability
                    .get(pool)
                    .map(|pool_availability| &pool_availability.centres);
                self.read_centres
                    .extend(centres.into_iter().flatten().cloned());
            }
            self.reads_config = true;
            entry.pool = to.clone();
            self.changes.push(PlannedChange::Move(id, to));
        }
    }

    /// Finishes running waves that have no instance left to maintain.
    fn finish_waves(&mut self, memory: &mut PlannerMemory) {
        for (name, wave) in &self.view.config.waves {
            let running = |progress: &&WaveProgress| progress.phase == WavePhase::Running;
            let Some(progress) = self.waves.get(name).filter(running) else {
                continue;
            };
            let run_id = progress.run_id(name);
            let pools: BTreeSet<&PoolName> = wave.pools.iter().collect();
            let mut remainder = Remainder::default();
            for (_, map) in self.maps() {
                for (id, entry) in &map.instances {
                    let out = entry.state.is_out() && entry.belongs_to(&run_id);
                    remainder.out += u32::from(out);
                    if out
                        || entry.last_run.as_ref() == Some(&run_id)
                        || !pools.contains(&entry.pool)
                    {
                        continue;
                    }
                    let observed = self.view.instances.known(id, self.now);
                    let lost = entry.state == MaintenanceState::Failed
                        || observed.is_some_and(|observed| observed.state == InstanceState::Failed)
                        || self.view.instances.is_absent(id, self.now);
                    *(if lost {
                        &mut remainder.lost
                    } else {
                        &mut remainder.pending
                    }) += 1;
                }
            }
            if remainder.out > 0 || remainder.pending > 0 {
                memory.ending_since.remove(name);
                continue;
            }
            // Lost instances may return, and are then still maintained.
            let since = *memory.ending_since.entry(name.clone()).or_insert(self.now);
            if remainder.lost == 0 || self.now.saturating_sub(since) >= HEALTHY_PERIOD {
                let Some(progress) = self.waves.get_mut(name) else {
                    continue;
                };
                progress.phase = WavePhase::Finished;
                progress.unmaintained = remainder.lost;
                self.read_centres.extend(self.view.maps.keys().cloned());
                self.reads_config = true;
                self.changed_waves.insert(name.clone());
                self.changes
                    .push(PlannedChange::Finish(name.clone(), remainder.lost));
            }
        }
    }

    /// Returns the transaction of an operator's drain.
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
        let pool_availability = availability.get(&entry.pool).ok_or(Code::NotInPool)?;
        if pool_availability.room(entry.role, allowance) == 0 {
            return Err(Code::BudgetExhausted);
        }
        let operation = format!("{HOLD_PREFIX}{operation}").into();
        self.mark_taken_out(id, &mut entry, boots, operation, &mut availability);
        self.map.instances.insert(id.clone(), entry);
        Ok(self.transaction().unwrap_or_default())
    }

    /// Returns the transaction, which is conditional on everything that the decisions depend on.
    fn transaction(&self) -> Option<Txn> {
        if self.changes.is_empty() && self.changed_waves.is_empty() {
            return None;
        }
        let view = self.view;
        let modified = |centre: &DataCentre| view.maps.get(centre).map_or(0, |map| map.modified);
        let mut txn = Txn::default().created_at(view.duty.0, view.duty.1);
        if self.reads_config {
            txn = txn.unchanged(view.head.0, view.head.1);
        }
        let own = PoolMap::key(view.centre);
        txn = txn.unchanged(own.clone(), modified(view.centre));
        for centre in self
            .read_centres
            .iter()
            .filter(|centre| *centre != view.centre)
        {
            txn = txn.unchanged(PoolMap::key(centre), modified(centre));
        }
        let stored = view.maps.get(view.centre);
        if stored.is_none_or(|stored| stored.value != self.map) {
            txn = txn.put(own, encode(&self.map));
        }
        for name in &self.changed_waves {
            let revision = view.waves.get(name).map_or(0, |stored| stored.modified);
            let key = WaveProgress::key(name);
            txn = txn
                .unchanged(key.clone(), revision)
                .put(key, encode(&self.waves[name]));
        }
        Some(txn)
    }
}
