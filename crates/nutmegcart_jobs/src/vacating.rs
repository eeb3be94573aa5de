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
    /// Pools whose long-running tasks wait for a machine, with the time since when they do.
    urgent_since: BTreeMap<PoolName, Duration>,
    /// Machines by name, with the pool that each is to move to.
    machines: BTreeMap<Arc<str>, PoolName>,
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
        let urgent: BTreeSet<&PoolName> = balances
            .iter()
            .filter(|(_, balance)| balance.is_urgent())
            .map(|(pool, _)| pool)
            .collect();
        let mut vacations = std::mem::take(&mut self.rebalancer.vacations);
        vacations
            .urgent_since
            .retain(|pool, _| urgent.contains(pool));
        for pool in &urgent {
            let since = vacations.urgent_since.entry((*pool).clone());
            since.or_insert(now);
        }
        vacations.machines.retain(|name, pool| {
            let machine = self.machines.known.get(name);
            urgent.contains(pool) && machine.is_some_and(|machine| self.may_vacate(machine, now))
        });
        let mut moves = Vec::new();
        vacations.machines.retain(|name, pool| {
            let empty = self.is_empty(&self.machines.known[name]);
            let moves_now = empty && moves.len() < most;
            if moves_now {
                moves.push((name.clone(), pool.clone()));
            }
            !moves_now
        });
        if now >= vacations.next_choice {
            for pool in urgent.iter().copied() {
                if now < vacations.urgent_since[pool] + VACATION_DELAY {
                    continue;
                }
                vacations.next_choice = now + CHOICE_PERIOD;
                let moving = moves.iter().filter(|(_, to)| to == pool).count();
                let vacated = vacations.machines.values().filter(|to| *to == pool).count();
                let missing = balances[pool].urgent.saturating_sub(moving + vacated);
                let room = MAX_VACATED.saturating_sub(vacations.machines.len());
                if missing.min(room) == 0 {
                    continue;
                }
                let taken: BTreeSet<Arc<str>> = vacations.machines.keys().cloned().collect();
                let candidates = self.candidates(&urgent, spare, &taken, now);
                for name in candidates.into_iter().take(missing.min(room)) {
                    vacations.machines.insert(name, pool.clone());
                }
            }
        }
        self.rebalancer.vacations = vacations;
        self.reserve_vacated();
        moves
    }

    /// Returns whether a machine may be vacated, or go on being vacated.
    fn may_vacate(&self, machine: &Machine, now: Duration) -> bool {
        self.may_order(machine, now)
            && !self.is_leaving(machine, now)
            && !self.is_out_of_service(machine, now)
            && !self.maintenance.is_due(&machine.name)
            && self.load_of(machine).0 == 0
    }

    /// Returns the machines that may be vacated, those with the fewest tasks first.
    fn candidates(
        &self,
        urgent: &BTreeSet<&PoolName>,
        spare: Option<&PoolName>,
        taken: &BTreeSet<Arc<str>>,
        now: Duration,
    ) -> Vec<Arc<str>> {
        let mut by_pool: BTreeMap<&PoolName, Vec<(usize, &Arc<str>)>> = BTreeMap::new();
        for machine in self.machines.known.values() {
            let excluded = urgent.contains(&machine.pool)
                || Some(&machine.pool) == spare
                || taken.contains(&machine.name);
            if !excluded && self.may_vacate(machine, now) {
                let runs = self.load_of(machine).1;
                let machines = by_pool.entry(&machine.pool).or_default();
                machines.push((runs, &machine.name));
            }
        }
        let mut candidates = Vec::new();
        for mut machines in by_pool.into_values() {
            machines.sort();
            machines.truncate(machines.len().saturating_sub(MIN_KEPT));
            candidates.extend(machines);
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
