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
use crate::budget::Standings;
use crate::lending;
use crate::map::Entry;
use crate::map::HOLD_PREFIX;
use crate::map::PoolMap;
use crate::map::State;
use crate::planner::Action;
use crate::planner::Effect;
use crate::planner::Memory;
use crate::planner::Plan;
use crate::planner::View;
use crate::planner::encode;
use crate::planner::wave_of;
use crate::wave::HEALTHY_PERIOD;
use crate::wave::Phase;
use crate::wave::Policy;
use crate::wave::Progress;

/// One planning round.
pub(crate) struct Round<'a> {
    pub(crate) view: &'a View<'a>,
    pub(crate) now: Duration,
    pub(crate) map: PoolMap,
    pub(crate) waves: BTreeMap<WaveName, Progress>,
    pub(crate) touched: BTreeSet<WaveName>,
    /// Data centres whose maps the decisions rest on.
    fence: BTreeSet<DataCentre>,
    /// Whether the decisions rest on the configuration.
    configured: bool,
    pub(crate) actions: Vec<Action>,
}

/// What is left of a wave, over all data centres.
#[derive(Default)]
struct Remainder {
    pending: u32,
    out: u32,
    lost: u32,
}

impl<'a> Round<'a> {
    pub(crate) fn new(view: &'a View<'a>, now: Duration) -> Self {
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
            actions: Vec::new(),
        }
    }

    pub(crate) const fn map(&self) -> &PoolMap {
        &self.map
    }

    /// Plans everything that a round can do while the store answers.
    pub(crate) fn run(mut self, memory: &mut Memory) -> Plan {
        let effects = self.effects(memory);
        self.advance(memory);
        let assigned = assign::assign(self.view, &mut self.map, self.now);
        if !assigned.is_empty() {
            // Two data centres must not fill the same gap at once.
            self.fence.extend(self.view.maps.keys().cloned());
        }
        let mut standings = self.standings();
        self.resume_halted(&standings, memory);
        if self.now >= memory.quiet {
            let blocked = self.take_out(&mut standings, memory);
            // Lending waits until new instances have found their places.
            if assigned.is_empty() {
                self.lend(&mut standings, &blocked, memory);
            }
        }
        self.actions.extend(assigned);
        self.finish_waves(memory);
        Plan {
            txn: self.transaction(),
            actions: self.actions,
            effects,
        }
    }

    /// Returns the calls that written intents ask for and that were not answered yet.
    pub(crate) fn effects(&self, memory: &Memory) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (id, entry) in &self.map.instances {
            let Some(operation) = &entry.operation else {
                continue;
            };
            let next =
                verb(entry.state).filter(|verb| memory.acknowledged(operation, *verb).is_none());
            effects.extend(next.map(|verb| Effect {
                verb,
                instance: id.clone(),
                operation: operation.clone(),
            }));
        }
        effects
    }

    /// Returns all maps, the own one with the changes planned so far.
    fn maps(&self) -> impl Iterator<Item = (&DataCentre, &PoolMap)> {
        let others = self.view.pool_maps();
        others
            .filter(|(centre, _)| *centre != self.view.centre)
            .chain(once((self.view.centre, &self.map)))
    }

    /// Returns the standing of every pool after the changes planned so far.
    fn standings(&self) -> Standings {
        budget::standings(self.maps(), self.view.listing, self.now)
    }

    fn resume_halted(&mut self, standings: &Standings, memory: &mut Memory) {
        let settings = self.view.settings;
        for (name, wave) in &settings.waves {
            let Some(progress) = self.waves.get_mut(name) else {
                continue;
            };
            // Budgets keep the wave away from pools whose failed instances are still missing, so
            // they need not be repaired first.
            let counts = wave.pools.iter().filter_map(|pool| standings.get(pool));
            let (failed, out) = counts.fold((0, 0), |(failed, out), standing| {
                let total = standing.total();
                (failed + total.failed, out + total.out)
            });
            let (_, least) = memory.calm.get(name).copied().unwrap_or((self.now, failed));
            if progress.phase != Phase::Halted || out > 0 || failed > least {
                memory.calm.remove(name);
                continue;
            }
            let calm = memory.calm.entry(name.clone());
            let calm = calm.or_insert((self.now, failed));
            calm.1 = failed;
            let since = calm.0;
            let period = progress.recovery();
            if period.is_some_and(|period| self.now.saturating_sub(since) >= period) {
                progress.resume();
                self.touched.insert(name.clone());
                self.actions.push(Action::Resume(name.clone()));
            }
        }
    }

    /// Takes out as many instances as every limit allows, and returns the pools in which only
    /// free capacity was lacking.
    fn take_out(&mut self, standings: &mut Standings, memory: &mut Memory) -> BTreeSet<PoolName> {
        let mut blocked = BTreeSet::new();
        let mut taken = 0;
        let cap = memory.ramp.unwrap_or(u32::MAX);
        for (name, mut room) in self.open_waves() {
            let wave = &self.view.settings.waves[&name];
            let policy = Policy::from(wave.weights);
            let mark = self.waves[&name].mark(&name);
            let pools: BTreeSet<&PoolName> = wave.pools.iter().collect();
            let mut map = std::mem::take(&mut self.map);
            for (id, entry) in &mut map.instances {
                if room == 0 || taken >= cap {
                    break;
                }
                if entry.done.as_ref() == Some(&mark) || !pools.contains(&entry.pool) {
                    continue;
                }
                let Some(boots) = self.may_go(id, entry, standings) else {
                    continue;
                };
                let spare = |standing: &budget::Standing| {
                    let free = standing.of(entry.role).available();
                    free > memory.lending.needed(&entry.pool, entry.role, policy)
                };
                if !standings.get(&entry.pool).is_some_and(spare) {
                    blocked.insert(entry.pool.clone());
                    continue;
                }
                let Some(progress) = self.waves.get_mut(&name) else {
                    break;
                };
                let operation = progress.next_operation(&name);
                self.take(id, entry, boots, operation, standings);
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
        let waves = self.view.settings.waves.iter();
        waves
            .filter_map(|(name, wave)| {
                let progress = self.waves.get(name)?;
                let limit = progress.limit.min(wave.width.unwrap_or(u32::MAX).max(1));
                let out = out.get(name).copied().unwrap_or(0);
                let running = progress.phase == Phase::Running;
                running.then(|| (name.clone(), limit.saturating_sub(out)))
            })
            .collect()
    }

    /// Returns the reboots so far of an instance that budget and failure domain let go.
    fn may_go(&self, id: &InstanceId, entry: &Entry, standings: &Standings) -> Option<u64> {
        let standing = standings.get(&entry.pool)?;
        let line = self.view.listing.known(id, self.now)?;
        let present = entry.state == State::Service && line.state == InstanceState::Live;
        let allowance = self.view.settings.allowance(&entry.pool);
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
        entry: &mut Entry,
        boots: u64,
        operation: Arc<str>,
        standings: &mut Standings,
    ) {
        if let Some(standing) = standings.get_mut(&entry.pool) {
            standing.of_mut(entry.role).out += 1;
            self.fence.extend(standing.centres.iter().cloned());
            if !operation.starts_with(HOLD_PREFIX) {
                standing.open = Some((self.view.centre.clone(), entry.rack.clone()));
            }
        }
        self.configured = true;
        entry.state = State::Draining;
        entry.boots = boots;
        entry.operation = Some(operation.clone());
        self.actions.push(Action::TakeOut(id.clone(), operation));
    }

    fn lend(
        &mut self,
        standings: &mut Standings,
        blocked: &BTreeSet<PoolName>,
        memory: &mut Memory,
    ) {
        let moves = lending::moves(
            self.view,
            &self.map,
            standings,
            blocked,
            &mut memory.lending,
            self.now,
        );
        for (id, to) in moves {
            let Some(entry) = self.map.instances.get_mut(&id) else {
                continue;
            };
            for pool in [&entry.pool, &to] {
                let centres = standings.get(pool).map(|standing| &standing.centres);
                self.fence.extend(centres.into_iter().flatten().cloned());
            }
            self.configured = true;
            entry.pool = to.clone();
            self.actions.push(Action::Move(id, to));
        }
    }

    fn finish_waves(&mut self, memory: &mut Memory) {
        for (name, wave) in &self.view.settings.waves {
            let running = |progress: &&Progress| progress.phase == Phase::Running;
            let Some(progress) = self.waves.get(name).filter(running) else {
                continue;
            };
            let mark = progress.mark(name);
            let pools: BTreeSet<&PoolName> = wave.pools.iter().collect();
            let mut rest = Remainder::default();
            for (_, map) in self.maps() {
                for (id, entry) in &map.instances {
                    let out = entry.state.is_out() && entry.belongs(&mark);
                    rest.out += u32::from(out);
                    if out || entry.done.as_ref() == Some(&mark) || !pools.contains(&entry.pool) {
                        continue;
                    }
                    let line = self.view.listing.known(id, self.now);
                    let lost = entry.state == State::Failed
                        || line.is_some_and(|line| line.state == InstanceState::Failed)
                        || self.view.listing.lacks(id, self.now);
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
                progress.phase = Phase::Finished;
                progress.left = rest.lost;
                self.fence.extend(self.view.maps.keys().cloned());
                self.configured = true;
                self.touched.insert(name.clone());
                self.actions.push(Action::Finish(name.clone(), rest.lost));
            }
        }
    }

    /// Takes an instance out on an operator's behalf.
    pub(crate) fn drain(mut self, id: &InstanceId, operation: &str) -> Result<Txn, Code> {
        let mut standings = self.standings();
        let mut entry = self.map.instances.get(id).cloned().ok_or(Code::NotInPool)?;
        let observed = self.view.listing.known(id, self.now);
        let live = observed.filter(|observed| observed.state == InstanceState::Live);
        let boots = live.ok_or(Code::InstanceBusy)?.boots;
        if entry.state != State::Service {
            return Err(Code::InstanceBusy);
        }
        let allowance = self.view.settings.allowance(&entry.pool);
        let standing = standings.get(&entry.pool).ok_or(Code::NotInPool)?;
        if standing.room(entry.role, allowance) == 0 {
            return Err(Code::BudgetExhausted);
        }
        let operation = format!("{HOLD_PREFIX}{operation}").into();
        self.take(id, &mut entry, boots, operation, &mut standings);
        self.map.instances.insert(id.clone(), entry);
        Ok(self.transaction().unwrap_or_default())
    }

    /// Returns the compare-and-swap over everything that the decisions rest on.
    fn transaction(&self) -> Option<Txn> {
        if self.actions.is_empty() && self.touched.is_empty() {
            return None;
        }
        let view = self.view;
        let modified = |centre: &DataCentre| view.maps.get(centre).map_or(0, |map| map.modified);
        let mut txn = Txn::default().held(view.duty.0, view.duty.1);
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
            let key = Progress::key(name);
            txn = txn
                .unchanged(key.clone(), revision)
                .put(key, encode(&self.waves[name]));
        }
        Some(txn)
    }
}
