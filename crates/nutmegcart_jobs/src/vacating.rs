//! Vacates machines of other pools for long-running tasks that wait.
//!
//! Load pattern: a cell has lost many machines for good while its other pools are in a burst. None
//! of their machines is ever idle, so none would move to the pool whose long-running tasks wait. A
//! vacated machine gets no new tasks, and moves as soon as those on it have ended.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::PoolName;

use crate::machines::Machine;
use crate::rebalancing::Balance;
use crate::rebalancing::Demand;
use crate::rebalancing::Need;
use crate::scheduler::Scheduler;

/// Time that long-running tasks wait for an idle machine before another one is vacated for them. It
/// equals the time after which placement stops shorter tasks for them.
const VACATION_DELAY: Duration = Duration::from_millis(900);
/// Machines that are vacated at the same time.
const MAX_VACATED: usize = 8;
/// Interval at which machines are chosen; a placement pass may run hundreds of times a second.
const CHOICE_PERIOD: Duration = Duration::from_millis(250);
/// Machines without long-running tasks that a pool keeps.
const MIN_KEPT: usize = 1;

/// Machines that are being vacated.
#[derive(Clone, Debug, Default)]
pub(crate) struct Vacations {
    /// Needs for which long-running tasks wait, with the time since when they do.
    urgent_since: BTreeMap<Need, Duration>,
    /// Machines by name, with the need that each is to serve.
    machines: BTreeMap<Arc<str>, Need>,
    /// When machines may be chosen again.
    next_choice: Duration,
}

impl Vacations {
    /// Returns the machines that are being vacated.
    pub(crate) fn machines(&self) -> impl Iterator<Item = &Arc<str>> {
        self.machines.keys()
    }
}

impl Scheduler {
    /// Chooses machines to vacate, and returns the moves of those that have become empty.
    ///
    /// At most `most` machines move.
    pub(crate) fn vacate(
        &mut self,
        balances: &BTreeMap<PoolName, Balance>,
        spare: Option<&PoolName>,
        most: usize,
        now: Duration,
    ) -> Vec<(Arc<str>, PoolName)> {
        let mut urgent: BTreeMap<Need, &Demand> = BTreeMap::new();
        for (pool, balance) in balances {
            let demands = balance.urgent();
            urgent.extend(demands.map(|(label, each)| ((pool.clone(), label.cloned()), each)));
        }
        let mut vacations = std::mem::take(&mut self.rebalancer.vacations);
        vacations
            .urgent_since
            .retain(|need, _| urgent.contains_key(need));
        for need in urgent.keys() {
            let since = vacations.urgent_since.entry(need.clone());
            since.or_insert(now);
        }
        vacations.machines.retain(|name, need| {
            let machine = self.machines.known.get(name);
            urgent.contains_key(need)
                && machine.is_some_and(|machine| self.may_vacate(machine, now))
        });
        let mut moves = Vec::new();
        vacations.machines.retain(|name, need| {
            let empty = self.is_empty(&self.machines.known[name]);
            let moves_now = empty && moves.len() < most;
            if moves_now {
                moves.push((name.clone(), need.clone()));
            }
            !moves_now
        });
        if now >= vacations.next_choice {
            for (need, demand) in &urgent {
                if now < vacations.urgent_since[need] + VACATION_DELAY {
                    continue;
                }
                vacations.next_choice = now + CHOICE_PERIOD;
                let moving = moves.iter().filter(|(_, to)| to == need).count();
                let vacated = vacations.machines.values().filter(|to| *to == need).count();
                let missing = demand.urgent.saturating_sub(moving + vacated);
                let room = MAX_VACATED.saturating_sub(vacations.machines.len());
                if missing.min(room) == 0 {
                    continue;
                }
                let taken: BTreeSet<Arc<str>> = vacations.machines.keys().cloned().collect();
                let label = need.1.as_ref();
                let candidates = self.candidates(&urgent, label, spare, &taken, now);
                for name in candidates.into_iter().take(missing.min(room)) {
                    vacations.machines.insert(name, need.clone());
                }
            }
        }
        self.rebalancer.vacations = vacations;
        self.reserve_vacated();
        let moves = moves.into_iter();
        moves.map(|(name, (pool, _))| (name, pool)).collect()
    }

    /// Returns whether a machine may be vacated, or go on being vacated.
    fn may_vacate(&self, machine: &Machine, now: Duration) -> bool {
        self.may_order(machine, now)
            && !self.is_leaving(machine, now)
            && !self.is_out_of_service(machine, now)
            && !self.maintenance.is_due(&machine.name)
            && self.load_of(machine).0 == 0
    }

    /// Returns the machines with the label, if one is given, that may be vacated, those with the
    /// fewest tasks first.
    fn candidates(
        &self,
        urgent: &BTreeMap<Need, &Demand>,
        label: Option<&Arc<str>>,
        spare: Option<&PoolName>,
        taken: &BTreeSet<Arc<str>>,
        now: Duration,
    ) -> Vec<Arc<str>> {
        let mut by_pool: BTreeMap<&PoolName, Vec<(usize, &Arc<str>)>> = BTreeMap::new();
        for machine in self.machines.known.values() {
            let needed = urgent.keys().any(|(pool, label)| {
                let serves = |label: &Arc<str>| machine.labels.contains(label);
                *pool == machine.pool && label.as_ref().is_none_or(serves)
            });
            let excluded = needed || Some(&machine.pool) == spare || taken.contains(&machine.name);
            if !excluded && self.may_vacate(machine, now) {
                let runs = self.load_of(machine).1;
                let machines = by_pool.entry(&machine.pool).or_default();
                machines.push((runs, &machine.name));
            }
        }
        let mut candidates = Vec::new();
        for mut machines in by_pool.into_values() {
            machines.sort();
            let most = machines.len().saturating_sub(MIN_KEPT);
            let fitting = machines.into_iter().filter(|(_, name)| {
                let labels = &self.machines.known[*name].labels;
                label.is_none_or(|label| labels.contains(label))
            });
            candidates.extend(fitting.take(most));
        }
        candidates.sort();
        candidates
            .into_iter()
            .map(|(_, name)| name.clone())
            .collect()
    }

    /// Keeps new tasks from the workers of vacated machines.
    fn reserve_vacated(&mut self) {
        let names = self.rebalancer.vacations.machines();
        let machines = names.filter_map(|name| self.machines.known.get(name));
        let ids: Vec<_> = machines
            .filter_map(|machine| self.worker_of(machine))
            .collect();
        for id in ids {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.reserved = true;
            }
        }
    }
}
