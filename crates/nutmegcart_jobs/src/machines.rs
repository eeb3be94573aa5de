//! Machines as the platform lists them, and the orders given for them.
//!
//! Orders for a machine carry the owner's fencing token, but the platform need not check it. An
//! owner therefore stores which machines it is about to order before it does, and gives no order
//! once its own lease may have ended. A new owner leaves those machines alone for a lease time and
//! may order all others at once.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_fleet::Resources;
use nutmegcart_model::Event;
use nutmegcart_model::PoolName;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;

use crate::action::Action;
use crate::scheduler::Scheduler;

/// Time for which a machine stays among those that were given an order lately, beyond the time
/// that orders of two owners are apart.
const LATELY_MARGIN: Duration = Duration::from_millis(500);
/// Age of the stored list of those machines from which it is stored again once it is too long.
const LIST_AGE: Duration = Duration::from_secs(1);
/// Time after an order during which the list may still show the state before it.
const LIST_LAG: Duration = Duration::from_millis(700);
/// Time after which an order without an answer is given again.
const REPEAT: Duration = Duration::from_millis(800);

/// State of a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineState {
    /// Its worker runs, or could run.
    Up,
    /// It moves to another pool.
    Moving,
    /// It is being maintained.
    Maintained,
    /// It has failed or was switched off.
    Down,
}

/// A machine as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    /// Name.
    pub name: Arc<str>,
    /// Pool.
    pub pool: PoolName,
    /// State.
    pub state: MachineState,
    /// Its worker, if one runs.
    pub worker: Option<WorkerId>,
    /// Capacity.
    pub capacity: Resources,
    /// Labels, which stay with it when it moves.
    pub labels: Vec<Arc<str>>,
}

/// What an order does to a machine.
#[derive(Clone, Debug, PartialEq)]
pub enum MachineOrder {
    /// Moves it to a pool.
    Move(PoolName),
    /// Maintains it within a wave.
    Maintain(u64),
}

impl MachineOrder {
    /// Returns the name of the kind of order, for metrics.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Move(_) => "move",
            Self::Maintain(_) => "maintain",
        }
    }
}

/// What became of an order for a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineOutcome {
    /// It was carried out, now or before.
    Done,
    /// The machine is not up, or is leaving.
    Busy,
    /// The platform has seen a higher fencing token.
    Fenced,
    /// The order makes no sense to the platform, for example because the machine is gone.
    Invalid,
    /// The platform refused it for the moment; nothing was done.
    Refused,
    /// It may have been carried out.
    Unknown,
}

impl MachineOutcome {
    /// Returns the name of the outcome, for metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Busy => "busy",
            Self::Fenced => "fenced",
            Self::Invalid => "invalid",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// An order under way.
#[derive(Clone, Debug)]
pub(crate) struct PendingOrder {
    pub(crate) order: MachineOrder,
    pub(crate) worker: Option<WorkerId>,
    /// Whether the store knows that the order is about to be given.
    pub(crate) stored: bool,
    /// When it was last sent.
    pub(crate) sent: Option<Duration>,
    /// When it was confirmed.
    pub(crate) done: Option<Duration>,
}

/// What is known about machines.
#[derive(Clone, Debug, Default)]
pub(crate) struct Machines {
    pub(crate) known: BTreeMap<Arc<str>, Machine>,
    pub(crate) pending: HashMap<Arc<str>, PendingOrder>,
    /// Machines that an earlier owner may have given orders.
    pub(crate) inherited: HashSet<Arc<str>>,
    /// Machines that were given an order, with the time of the latest.
    pub(crate) last_orders: BTreeMap<Arc<str>, Duration>,
    /// Machines that the stored state names as ordered, and when it was last written.
    pub(crate) stored: Vec<Arc<str>>,
    pub(crate) stored_at: Duration,
    /// Time from which orders may be given for held machines.
    pub(crate) inherited_until: Duration,
    /// Time until which this owner is certainly the only one.
    pub(crate) exclusive_until: Duration,
    /// When the latest list was asked for.
    pub(crate) listed_at: Option<Duration>,
}

impl Scheduler {
    /// Sets the time from which machines that an earlier owner may have ordered may be given
    /// orders, and the time until which this owner is certainly the only one.
    pub fn set_ownership(&mut self, from: Duration, until: Duration) {
        self.machines.inherited_until = from;
        self.machines.exclusive_until = until;
    }

    /// Returns whether an order for a machine may be given.
    pub(crate) fn may_order_machines(&self, now: Duration) -> bool {
        now < self.machines.exclusive_until && self.machines.listed_at.is_some()
    }

    /// Returns whether an earlier owner may just have given a machine an order.
    pub(crate) fn may_have_inherited_order(&self, name: &str, now: Duration) -> bool {
        now < self.machines.inherited_until && self.machines.inherited.contains(name)
    }

    /// Lists the machines that were given an order lately or are about to be.
    pub(crate) fn recently_ordered(&self, now: Duration) -> Vec<Arc<str>> {
        let lately = self.machines.last_orders.iter();
        let span = self.settings.order_gap + LATELY_MARGIN;
        let recent = lately.filter(|(_, at)| now < **at + span);
        let mut names: Vec<Arc<str>> = recent.map(|(name, _)| name.clone()).collect();
        names.extend(self.machines.pending.keys().cloned());
        if now < self.machines.inherited_until {
            names.extend(self.machines.inherited.iter().cloned());
        }
        names.sort();
        names.dedup();
        names
    }

    /// Returns whether the store names machines that a successor need not leave alone any more.
    ///
    /// Answers an owner that dies long after its latest order: without it, a burst that comes then
    /// waits for as long as the orders of two owners have to be apart.
    pub(crate) fn stored_orders_stale(&self, now: Duration) -> bool {
        let due = now >= self.machines.stored_at + LIST_AGE && !self.machines.stored.is_empty();
        due && self.recently_ordered(now).len() < self.machines.stored.len()
    }

    /// Returns whether an order waits until the store knows of it.
    pub(crate) fn has_unstored_orders(&self) -> bool {
        self.machines
            .pending
            .values()
            .any(|pending| !pending.stored)
    }

    /// Gives the orders of which the store knows since a transaction that listed them.
    pub(crate) fn send_stored_orders(&mut self, listed: &[Arc<str>], now: Duration) {
        let mut due = Vec::new();
        for name in listed {
            if let Some(pending) = self.machines.pending.get_mut(name)
                && !pending.stored
            {
                pending.stored = true;
                pending.sent = Some(now);
                due.push((name.clone(), pending.order.clone()));
            }
        }
        for (name, order) in due {
            self.send_machine_order(&name, &order, now);
        }
    }

    /// Returns whether any machine changes its state, so that the list should be read often.
    #[must_use]
    pub fn has_pending_machine_orders(&self) -> bool {
        !self.machines.pending.is_empty()
    }

    /// Takes in the list of machines that was asked for at `asked`.
    pub fn update_machines(&mut self, list: Vec<Machine>, asked: Duration, now: Duration) {
        if self.machines.listed_at.is_some_and(|latest| latest > asked) {
            return;
        }
        self.machines.listed_at = Some(asked);
        let by_name = |machine: Machine| (machine.name.clone(), machine);
        self.machines.known = list.into_iter().map(by_name).collect();
        let mut ended = Vec::new();
        for worker in self.workers.values() {
            let machine = worker
                .listing
                .machine
                .as_ref()
                .and_then(|name| self.machines.known.get(name));
            let Some(machine) = machine else {
                continue;
            };
            let other = machine
                .worker
                .as_ref()
                .is_some_and(|id| *id != worker.listing.id);
            let heard = worker.contact.is_some_and(|contact| contact.at >= asked);
            if (other || machine.state != MachineState::Up) && !heard {
                ended.push(worker.listing.id.clone());
            }
        }
        for worker in ended {
            log_event!(Event::WorkerReplaced, worker = worker);
            self.end_incarnation(&worker, now);
        }
        let known = &self.machines.known;
        self.machines.pending.retain(|name, pending| {
            let Some(machine) = known.get(name) else {
                return false;
            };
            let settled = pending.done.is_some_and(|done| asked > done + LIST_LAG);
            !(settled && machine.state == MachineState::Up)
        });
    }

    /// Returns the worker of a machine.
    pub(crate) fn worker_of(&self, machine: &Machine) -> Option<WorkerId> {
        let listed = machine
            .worker
            .clone()
            .filter(|id| self.workers.contains_key(id));
        listed.or_else(|| {
            let on_it = |id: &&WorkerId| {
                let worker = &self.workers[*id];
                worker.listed && worker.listing.machine.as_ref() == Some(&machine.name)
            };
            self.workers.keys().find(on_it).cloned()
        })
    }

    /// Gives an order for a machine on which nothing runs that matters.
    pub(crate) fn order_machine(&mut self, name: &Arc<str>, order: &MachineOrder) {
        let Some(machine) = self.machines.known.get(name) else {
            return;
        };
        let worker = self.worker_of(machine);
        if let Some(worker) = worker.as_ref().and_then(|id| self.workers.get_mut(id)) {
            worker.reserved = true;
        }
        let pending = PendingOrder {
            order: order.clone(),
            worker,
            stored: false,
            sent: None,
            done: None,
        };
        self.machines.pending.insert(name.clone(), pending);
    }

    fn send_machine_order(&mut self, name: &Arc<str>, order: &MachineOrder, now: Duration) {
        self.machines.last_orders.insert(name.clone(), now);
        self.actions.push(Action::Machine {
            machine: name.clone(),
            order: order.clone(),
        });
    }

    /// Gives orders again whose answer was lost or that were refused for the moment.
    pub(crate) fn retry_machine_orders(&mut self, now: Duration) {
        let mut due = Vec::new();
        for (name, pending) in &mut self.machines.pending {
            let waited = pending.sent.is_none_or(|sent| now >= sent + REPEAT);
            if pending.done.is_none() && pending.stored && waited {
                pending.sent = Some(now);
                due.push((name.clone(), pending.order.clone()));
            }
        }
        for (name, order) in due {
            self.send_machine_order(&name, &order, now);
        }
    }

    /// Notes what became of an order for a machine.
    pub fn handle_machine_outcome(
        &mut self,
        name: &Arc<str>,
        order: &MachineOrder,
        outcome: MachineOutcome,
        now: Duration,
    ) {
        let Some(pending) = self.machines.pending.get_mut(name) else {
            return;
        };
        if pending.order != *order || pending.done.is_some() {
            return;
        }
        log_event!(
            Event::MachineOrdered,
            machine = name,
            order = format_args!("{order:?}"),
            outcome = format_args!("{outcome:?}")
        );
        match outcome {
            MachineOutcome::Done => {
                pending.done = Some(now);
                // The order may have been carried out long before; the list tells whether the worker
                // that ran when it was given has ended.
                if let MachineOrder::Maintain(wave) = order {
                    self.maintenance.note_done(*wave, name);
                }
            }
            MachineOutcome::Unknown => {}
            MachineOutcome::Refused => pending.sent = Some(now),
            MachineOutcome::Busy | MachineOutcome::Fenced | MachineOutcome::Invalid => {
                let worker = pending.worker.clone();
                self.machines.pending.remove(name);
                if let Some(worker) = worker.and_then(|id| self.workers.get_mut(&id)) {
                    worker.reserved = false;
                }
            }
        }
    }
}
