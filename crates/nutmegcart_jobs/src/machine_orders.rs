//! Orders for machines: when they are sent, repeated and withdrawn.
//!
//! Orders for a machine carry the owner's fencing token, but the platform need not check it. An
//! owner therefore stores the names of machines before it sends orders for them, and sends none
//! once its own lease may have expired. A new owner sends no orders for these machines for the
//! length of a lease and the minimum gap between orders of two owners. It may send orders for all
//! others at once.

use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::PoolName;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;

use crate::action::Action;
use crate::reservations::MAX_RESERVATION;
use crate::scheduler::Scheduler;
use crate::worker::MAX_ORDER_DELAY;

/// Time beyond [`JobSettings::order_gap`](crate::JobSettings::order_gap) for which a machine counts
/// as recently ordered.
const ORDER_GAP_MARGIN: Duration = Duration::from_millis(500);
/// Minimum age at which the stored list of recently ordered machines is replaced by a shorter one.
const MIN_STORED_AGE: Duration = Duration::from_secs(1);
/// Time after which an unconfirmed order is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(800);
/// Time for which an unconfirmed order is repeated, so that it is settled some time after.
const REPEAT_WINDOW: Duration = Duration::from_secs(20);

/// An order for a machine.
#[derive(Clone, Debug, PartialEq)]
pub enum MachineOrder {
    /// Moves the machine to a pool.
    Move(PoolName),
    /// Maintains the machine as part of the wave with the given number.
    Maintain(u64),
}

impl MachineOrder {
    /// Returns the metric label of the kind of order.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Move(_) => "move",
            Self::Maintain(_) => "maintain",
        }
    }
}

/// Outcome of an order for a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineOutcome {
    /// It was carried out, now or by an earlier identical order.
    Done,
    /// The machine is not up, or is leaving.
    Busy,
    /// The platform has seen a higher fencing token.
    Fenced,
    /// The platform rejected the order as invalid, for example because the machine does not exist.
    Invalid,
    /// The platform refused it temporarily; nothing was done.
    Refused,
    /// No response was received; it may have been carried out.
    Unknown,
}

impl MachineOutcome {
    /// Returns the metric label of the outcome.
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

/// An order that is not yet confirmed or not yet visible in the platform's list.
#[derive(Clone, Debug)]
pub(crate) struct PendingOrder {
    pub(crate) order: MachineOrder,
    pub(crate) worker: Option<WorkerId>,
    /// Whether the stored cell state names the machine, so that the order may be sent.
    pub(crate) stored: bool,
    /// When it was queued.
    pub(crate) queued_at: Duration,
    /// When it was last sent.
    pub(crate) sent_at: Option<Duration>,
    /// Number of times that it was sent without an outcome so far.
    pub(crate) in_flight: u32,
    /// When a response was last found to be lost.
    pub(crate) unknown_at: Option<Duration>,
    /// When it was confirmed.
    pub(crate) done_at: Option<Duration>,
}

impl PendingOrder {
    /// Returns whether the order has certainly not been carried out and no longer can be.
    fn is_undone(&self, now: Duration) -> bool {
        let unsettled = self.sent_at.filter(|_| self.in_flight > 0);
        let latest = unsettled.max(self.unknown_at);
        self.done_at.is_none() && latest.is_none_or(|at| now >= at + MAX_ORDER_DELAY)
    }
}

impl Scheduler {
    /// Lists the machines for which an order was sent recently or is about to be sent.
    pub(crate) fn recently_ordered(&self, now: Duration) -> Vec<Arc<str>> {
        let orders = self.machines.last_orders.iter();
        let span = self.settings.order_gap + ORDER_GAP_MARGIN;
        let recent = orders.filter(|(_, at)| now < **at + span);
        let mut names: Vec<Arc<str>> = recent.map(|(name, _)| name.clone()).collect();
        names.extend(self.machines.pending.keys().cloned());
        if self.inherits_orders(now) {
            names.extend(self.machines.inherited.iter().cloned());
        }
        names.sort();
        names.dedup();
        names
    }

    /// Returns whether the stored cell state names machines that a successor may order at once.
    ///
    /// If they stayed in the store and the owner died long after its latest order, a burst at that
    /// time would wait for the full gap between the orders of two owners.
    pub(crate) fn stored_orders_stale(&self, now: Duration) -> bool {
        let due =
            now >= self.machines.stored_at + MIN_STORED_AGE && !self.machines.stored.is_empty();
        due && self.recently_ordered(now).len() < self.machines.stored.len()
    }

    /// Returns whether an order waits until its machine is named in the stored cell state.
    pub(crate) fn has_unstored_orders(&self) -> bool {
        self.machines
            .pending
            .values()
            .any(|pending| !pending.stored)
    }

    /// Sends the orders whose machines a stored transaction has named.
    pub(crate) fn send_stored_orders(&mut self, stored: &[Arc<str>], now: Duration) {
        for name in stored {
            if let Some(pending) = self.machines.pending.get_mut(name) {
                pending.stored = true;
            }
        }
        self.send_machine_orders(now);
    }

    /// Returns whether orders for machines are pending, so that the list should be read often.
    #[must_use]
    pub fn has_pending_machine_orders(&self) -> bool {
        !self.machines.pending.is_empty()
    }

    /// Queues an order for a machine on which nothing runs, and reserves its worker.
    pub(crate) fn order_machine(&mut self, name: &Arc<str>, order: &MachineOrder, now: Duration) {
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
            queued_at: now,
            sent_at: None,
            in_flight: 0,
            unknown_at: None,
            done_at: None,
        };
        self.machines.pending.insert(name.clone(), pending);
    }

    /// Sends the orders that are due: those that a stored transaction has named, and again those
    /// whose response was lost or that were refused temporarily.
    ///
    /// An order ends whatever runs on its machine, so it is sent only while nothing does. It is
    /// repeated for a limited time, so that it is settled some time after.
    pub(crate) fn send_machine_orders(&mut self, now: Duration) {
        let is_due = |(name, pending): &(&Arc<str>, &PendingOrder)| {
            let waited = pending
                .sent_at
                .is_none_or(|sent| now >= sent + RETRY_INTERVAL);
            let machine = self.machines.known.get(*name);
            pending.done_at.is_none()
                && pending.stored
                && waited
                && now < pending.queued_at + REPEAT_WINDOW
                && machine.is_none_or(|machine| self.is_empty(machine))
        };
        let due = self.machines.pending.iter().filter(is_due);
        let names: Vec<Arc<str>> = due.map(|(name, _)| name.clone()).collect();
        for name in names {
            let Some(pending) = self.machines.pending.get_mut(&name) else {
                continue;
            };
            pending.sent_at = Some(now);
            pending.in_flight += 1;
            self.machines.last_orders.insert(name.clone(), now);
            self.actions.push(Action::Machine {
                machine: name,
                order: pending.order.clone(),
            });
        }
    }

    /// Withdraws orders that were certainly not carried out, if the machine has another worker by now
    /// or the platform has refused them for long. Other orders are kept, and keep new tasks from the
    /// machine's worker, since they may still end what runs there.
    pub(crate) fn review_machine_orders(&mut self, now: Duration) {
        let mut withdrawn = Vec::new();
        let mut replaced = Vec::new();
        for (name, pending) in &self.machines.pending {
            let machine = self.machines.known.get(name);
            let worker = machine.and_then(|machine| self.worker_of(machine));
            let another = worker.is_some() && worker != pending.worker;
            let expired = now >= pending.queued_at + MAX_RESERVATION;
            if pending.is_undone(now) && (another || expired) {
                withdrawn.push(name.clone());
            } else if another && pending.done_at.is_none() {
                replaced.push((name.clone(), worker));
            }
        }
        for name in withdrawn {
            if let Some(pending) = self.machines.pending.remove(&name) {
                log_event!(
                    Event::MachineOrdered,
                    machine = name,
                    order = format_args!("{:?}", pending.order),
                    outcome = "withdrawn"
                );
                self.machines.rejected.insert(name, now);
            }
        }
        for (name, id) in replaced {
            if let Some(worker) = id.as_ref().and_then(|id| self.workers.get_mut(id)) {
                worker.reserved = true;
            }
            if let Some(pending) = self.machines.pending.get_mut(&name) {
                pending.worker = id;
            }
        }
    }

    /// Records the outcome of an order for a machine.
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
        if pending.order != *order || pending.done_at.is_some() {
            return;
        }
        log_event!(
            Event::MachineOrdered,
            machine = name,
            order = format_args!("{order:?}"),
            outcome = format_args!("{outcome:?}")
        );
        pending.in_flight = pending.in_flight.saturating_sub(1);
        match outcome {
            MachineOutcome::Done => {
                pending.done_at = Some(now);
                // The order may have been carried out long before, so the worker is not removed
                // here. The platform's list shows whether it was replaced.
                if let MachineOrder::Maintain(wave) = order {
                    self.maintenance.record_done(*wave, name, now);
                }
            }
            MachineOutcome::Unknown => pending.unknown_at = Some(now),
            MachineOutcome::Refused => pending.sent_at = Some(now),
            MachineOutcome::Busy | MachineOutcome::Fenced | MachineOutcome::Invalid => {
                let worker = pending.worker.clone();
                self.machines.pending.remove(name);
                self.machines.rejected.insert(name.clone(), now);
                if let Some(worker) = worker.and_then(|id| self.workers.get_mut(&id)) {
                    worker.reserved = false;
                }
            }
        }
    }
}
