//! Machines as the platform lists them, and the workers on them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_fleet::Resources;
use nutmegcart_model::PoolName;
use nutmegcart_model::WorkerId;

use crate::listing::WorkerListing;
use crate::machine_orders::MachineOrder;
use crate::machine_orders::PendingOrder;
use crate::scheduler::Scheduler;
use crate::worker::Unusable;
use crate::worker::Worker;

/// Time after a change, such as an order, for which the platform's list may still show the state
/// before it.
const LIST_LAG: Duration = Duration::from_millis(700);
/// Time for which a machine gets no further order after the platform rejected one. A machine that is
/// leaving is announced or gone by then.
const REJECTION_PAUSE: Duration = Duration::from_secs(1);
/// Time after which the worker of a machine that is up should be known.
const WORKER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// State of a machine as the platform reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineState {
    /// Its worker runs, or may be started.
    Up,
    /// It is moving to another pool.
    Moving,
    /// It is being maintained.
    Maintained,
    /// It has failed or was switched off.
    Down,
    /// Its entry is invalid or in a state of a newer interface; it exists.
    Unknown,
}

/// Entry of a machine in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    /// Name, unique in the fleet; empty if the entry names none, so that the list is incomplete.
    pub name: Arc<str>,
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// State at the time of the list.
    pub state: MachineState,
    /// Worker that runs on it, if any.
    pub worker: Option<WorkerId>,
    /// Total capacity for tasks.
    pub capacity: Resources,
    /// Labels, which do not change when it moves.
    pub labels: Vec<Arc<str>>,
}

/// Names in the list of machines before the latest one, and when that list was requested.
struct EarlierList {
    names: BTreeSet<Arc<str>>,
    requested_at: Option<Duration>,
}

/// Machines of the cell, and orders for them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Machines {
    pub(crate) known: BTreeMap<Arc<str>, Machine>,
    /// Names in the latest list, also those of machines in an unknown state.
    pub(crate) listed: BTreeSet<Arc<str>>,
    /// Same for the list before it, if there is one.
    pub(crate) earlier: Option<BTreeSet<Arc<str>>>,
    pub(crate) pending: BTreeMap<Arc<str>, PendingOrder>,
    /// Worker with the latest start among those whose entries named the machine.
    latest_workers: HashMap<Arc<str>, WorkerId>,
    /// Machines for which an earlier owner may have sent orders.
    pub(crate) inherited: HashSet<Arc<str>>,
    /// Time of the latest order for each machine.
    pub(crate) last_orders: BTreeMap<Arc<str>, Duration>,
    /// Since when machines that are up have had no known worker.
    pub(crate) workerless_since: BTreeMap<Arc<str>, Duration>,
    /// Time of the latest rejection of an order, by machine.
    pub(crate) rejected: BTreeMap<Arc<str>, Duration>,
    /// Machines that the stored cell state names as ordered.
    pub(crate) stored: Vec<Arc<str>>,
    /// When the cell state was last stored.
    pub(crate) stored_at: Duration,
    /// Time until which no orders may be sent for `inherited` machines; `None` until it is known.
    pub(crate) inherited_until: Option<Duration>,
    /// Time until which this owner is certainly the only one.
    pub(crate) exclusive_until: Duration,
    /// When the latest list was requested.
    pub(crate) listed_at: Option<Duration>,
}

impl Machines {
    /// Returns whether a machine may exist. The pages of a list are not a snapshot, so one list may
    /// lack a machine that exists.
    pub(crate) fn may_exist(&self, name: &str) -> bool {
        let earlier = self.earlier.as_ref();
        self.listed.contains(name) || earlier.is_none_or(|names| names.contains(name))
    }
}

impl Scheduler {
    /// Sets the time until which no orders may be sent for machines that an earlier owner may have
    /// ordered, and the time until which this owner is certainly the only one.
    pub fn set_ownership(&mut self, inherited_until: Duration, exclusive_until: Duration) {
        self.machines.inherited_until = Some(inherited_until);
        self.machines.exclusive_until = exclusive_until;
    }

    /// Returns whether this owner is certainly the only one.
    pub(crate) fn is_exclusive(&self, now: Duration) -> bool {
        now < self.machines.exclusive_until
    }

    /// Returns whether orders for machines may be sent.
    pub(crate) fn may_order_machines(&self, now: Duration) -> bool {
        self.is_exclusive(now) && self.machines.listed_at.is_some()
    }

    /// Returns whether an order of an earlier owner for a machine may still take effect.
    pub(crate) fn may_have_inherited_order(&self, name: &str, now: Duration) -> bool {
        self.inherits_orders(now) && self.machines.inherited.contains(name)
    }

    /// Returns whether orders of an earlier owner may still take effect. The cell state may be stored
    /// before it is known until when.
    pub(crate) fn inherits_orders(&self, now: Duration) -> bool {
        let until = self.machines.inherited_until;
        until.is_none_or(|until| now < until)
    }

    /// Updates machines from the platform's list that was requested at `requested_at`.
    pub fn update_machines(&mut self, list: Vec<Machine>, requested_at: Duration, now: Duration) {
        if self
            .machines
            .listed_at
            .is_some_and(|latest| latest > requested_at)
        {
            return;
        }
        let names = list.iter().map(|machine| machine.name.clone()).collect();
        let earlier = EarlierList {
            names: std::mem::replace(&mut self.machines.listed, names),
            requested_at: self.machines.listed_at.replace(requested_at),
        };
        let readable = list
            .into_iter()
            .filter(|machine| machine.state != MachineState::Unknown);
        let by_name = |machine: Machine| (machine.name.clone(), machine);
        self.machines.known = readable.map(by_name).collect();
        let ended: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| self.list_shows_end(worker, &earlier, requested_at))
            .map(|worker| worker.listing.id.clone())
            .collect();
        for worker in ended {
            self.log_replaced(&worker, "list of machines", now);
            self.end_incarnation(&worker, now);
        }
        self.machines.earlier = earlier.requested_at.map(|_| earlier.names);
        let mut pending = std::mem::take(&mut self.machines.pending);
        let settings = &self.settings;
        let machines = &mut self.machines;
        machines
            .rejected
            .retain(|_, at| now < *at + REJECTION_PAUSE);
        pending.retain(|name, pending| {
            let Some(machine) = machines.known.get(name) else {
                return machines.may_exist(name);
            };
            let operation = match pending.order {
                MachineOrder::Move(_) => settings.move_time,
                MachineOrder::Maintain(_) => settings.maintenance_time,
            };
            // An operation on a machine that is down ends when it would have ended otherwise.
            let least = match machine.state {
                MachineState::Up => Some(LIST_LAG),
                MachineState::Down => Some(operation + LIST_LAG),
                _ => None,
            };
            let ended = pending.done_at.zip(least);
            ended.is_none_or(|(done, least)| requested_at <= done + least)
        });
        machines.pending = pending;
    }

    /// Returns whether the list that was requested at `requested_at` shows that a worker's
    /// incarnation has ended. Only a silent worker has ended because its machine is missing from this
    /// list and the earlier one, is in another pool, or is down.
    fn list_shows_end(
        &self,
        worker: &Worker,
        earlier: &EarlierList,
        requested_at: Duration,
    ) -> bool {
        let responded = worker
            .clock_reading
            .is_some_and(|reading| reading.at >= requested_at);
        let Some(name) = worker.listing.machine.as_ref().filter(|_| !responded) else {
            return false;
        };
        let silent = |since: Duration| worker.unreachable_since.is_some_and(|at| at <= since);
        let Some(machine) = self.machines.known.get(name) else {
            // The pages of a list are not a snapshot, so one list may miss a machine that exists.
            let missing = |names: &BTreeSet<Arc<str>>| {
                !names.is_empty() && !names.contains("") && !names.contains(name)
            };
            return missing(&self.machines.listed)
                && missing(&earlier.names)
                && earlier.requested_at.is_some_and(silent);
        };
        // The list may lag behind the start of the worker.
        let shown = worker.known_at + LIST_LAG <= requested_at;
        let replaced = machine
            .worker
            .as_ref()
            .is_some_and(|id| shown && *id != worker.listing.id);
        // A move ends the worker. The list may lag behind the entry of a new worker, which has no
        // runs.
        let moved = machine.pool != worker.listing.pool
            && (worker.inherited || !worker.runs.is_empty())
            && silent(requested_at);
        // The list may also lag behind a restart under the same identifier. A machine that was down
        // after its worker fell silent has ended the incarnation that answered before.
        let crashed = machine.state == MachineState::Down
            && requested_at.checked_sub(LIST_LAG).is_some_and(silent);
        let operated = matches!(
            machine.state,
            MachineState::Moving | MachineState::Maintained
        );
        let operated = operated && shown;
        replaced || moved || crashed || operated
    }

    /// Records the entry of a worker for its machine.
    pub(crate) fn record_machine_of(&mut self, listing: &WorkerListing) {
        let Some(name) = &listing.machine else {
            return;
        };
        let latest = self.machines.latest_workers.get(name);
        let latest = latest.and_then(|id| self.workers.get(id));
        if latest.is_none_or(|latest| latest.incarnation <= listing.incarnation) {
            let latest_workers = &mut self.machines.latest_workers;
            latest_workers.insert(name.clone(), listing.id.clone());
        }
    }

    /// Returns the worker of a machine: the one in the platform's list, or one with a later start in
    /// service discovery, since the list may be old.
    pub(crate) fn worker_of(&self, machine: &Machine) -> Option<WorkerId> {
        let known = |id: &WorkerId| self.workers.get(id);
        let named = machine.worker.as_ref().and_then(known);
        let latest = self.machines.latest_workers.get(&machine.name);
        let latest = latest.and_then(known).filter(|worker| worker.listed);
        let worker = match (named, latest) {
            (Some(named), Some(latest)) if latest.incarnation > named.incarnation => Some(latest),
            (named, latest) => named.or(latest),
        };
        worker.map(|worker| worker.listing.id.clone())
    }

    /// Returns whether a machine may get an order: it is up, and no other order for it is under way or
    /// was rejected a short time ago.
    pub(crate) fn may_order(&self, machine: &Machine, now: Duration) -> bool {
        let rejected = self.machines.rejected.get(&machine.name);
        machine.state == MachineState::Up
            && !self.machines.pending.contains_key(&machine.name)
            && !self.may_have_inherited_order(&machine.name, now)
            && rejected.is_none_or(|at| now >= *at + REJECTION_PAUSE)
    }

    /// Returns whether the worker of a machine is leaving, so that it takes no new tasks.
    pub(crate) fn is_leaving(&self, machine: &Machine, now: Duration) -> bool {
        let worker = self.worker_of(machine).and_then(|id| self.workers.get(&id));
        worker.is_some_and(|worker| worker.listing.draining || worker.is_missing(now))
    }

    /// Returns whether the worker of a machine takes no new tasks for a time that is not known: it is
    /// silent, runs unknown tasks, is faulty, or is not listed.
    ///
    /// A worker that has just started, or that is reserved, is not out of service.
    pub(crate) fn is_out_of_service(&self, machine: &Machine, now: Duration) -> bool {
        let worker = self.worker_of(machine).and_then(|id| self.workers.get(&id));
        let cause = worker.and_then(|worker| worker.unusable(now));
        matches!(
            cause,
            Some(
                Unusable::Unlisted
                    | Unusable::Unreachable
                    | Unusable::UnknownRuns
                    | Unusable::Penalised
                    | Unusable::Unverified
            )
        )
    }

    /// Notes since when machines that are up, except for those of the spare pool, have had no known
    /// worker.
    pub(crate) fn note_workerless(&mut self, now: Duration) {
        let mut since = std::mem::take(&mut self.machines.workerless_since);
        let is_spare = |pool| self.pools.get(pool).is_some_and(|config| config.spare);
        let machines = self.machines.known.values();
        let workerless = machines.filter(|machine| {
            machine.state == MachineState::Up
                && !is_spare(&machine.pool)
                && self.worker_of(machine).is_none()
        });
        let noted = workerless.map(|machine| {
            let known = since.remove(&machine.name);
            (machine.name.clone(), known.unwrap_or(now))
        });
        self.machines.workerless_since = noted.collect();
    }

    /// Returns whether the worker of a machine should have started, and is not known.
    pub(crate) fn lacks_worker(&self, machine: &Machine, now: Duration) -> bool {
        let since = self.machines.workerless_since.get(&machine.name);
        since.is_some_and(|since| now >= *since + WORKER_TIMEOUT)
    }
}
