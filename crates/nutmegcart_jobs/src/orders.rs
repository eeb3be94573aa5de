//! Orders to workers and what becomes of them.

use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;

use crate::action::Action;
use crate::action::WorkerOrder;
use crate::job::TaskKey;
use crate::scheduler::Scheduler;
use crate::worker::RunState;
use crate::worker::StopReason;

/// Time for which a worker that rejected a start for want of room gets no other.
const ROOM_PAUSE: Duration = Duration::from_millis(60);
/// Time for which a worker that left an order unanswered gets no other start; its looks decide
/// whether it counts as silent.
const SILENT_PAUSE: Duration = Duration::from_millis(300);
/// Time for which a worker that refused as overloaded or failing gets no other start.
const UNHEALTHY_PAUSE: Duration = Duration::from_millis(500);

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// It has stopped or ended a run with this number or a higher one.
    OldRun,
    /// The lease of the order had ended.
    Late,
    /// The task does not fit.
    Room,
    /// The ticket does not hold.
    Ticket,
    /// The worker is overloaded or failing; it has done nothing.
    Unhealthy,
    /// The order is malformed to the worker.
    Malformed,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OrderOutcome {
    /// The worker carried it out.
    Done {
        /// Worker's clock in milliseconds.
        clock: Option<u64>,
    },
    /// The worker refused it.
    Refused {
        /// Worker's clock in milliseconds.
        clock: Option<u64>,
        /// Why.
        why: Refusal,
    },
    /// No byte of it was sent.
    NotSent,
    /// It may be carried out, now or seconds later.
    Unknown,
    /// Another life of a worker answers at the address.
    OtherLife,
    /// It was not sent, because its reason or its sender's authority is gone.
    Withdrawn,
}

impl OrderOutcome {
    /// Returns the name of the outcome, for metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Done { .. } => "done",
            Self::Refused { .. } => "refused",
            Self::NotSent => "not_sent",
            Self::Unknown => "unknown",
            Self::OtherLife => "other_life",
            Self::Withdrawn => "withdrawn",
        }
    }
}

impl Scheduler {
    /// Returns whether an order that has waited should still be sent.
    #[must_use]
    pub fn wants(&self, id: &WorkerId, order: &WorkerOrder) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        let run = |task: &TaskKey, number: u32| {
            let run = worker.runs.get(task);
            run.filter(|run| run.number == number)
        };
        match order {
            WorkerOrder::Start(start) => {
                let ordered =
                    run(&start.task, start.run).is_some_and(|run| run.state == RunState::Ordered);
                ordered
                    && worker.listed
                    && !worker.listing.draining
                    && worker.unreachable_since.is_none()
            }
            WorkerOrder::Stop { .. } => true,
            WorkerOrder::Throttle {
                task, run: number, ..
            } => run(task, *number).is_some(),
        }
    }

    /// Notes what became of an order.
    pub fn handle_order_outcome(
        &mut self,
        id: &WorkerId,
        order: &WorkerOrder,
        outcome: OrderOutcome,
        now: Duration,
    ) {
        if let Some(worker) = self.workers.get_mut(id) {
            match outcome {
                OrderOutcome::Done { clock: Some(clock) }
                | OrderOutcome::Refused {
                    clock: Some(clock), ..
                } => worker.record_contact(clock, now),
                OrderOutcome::NotSent if worker.unreachable_since.is_none() => {
                    worker.unreachable_since = Some(now);
                    log_event!(
                        Event::WorkerSilent,
                        worker = id,
                        runs = worker.runs.len(),
                        reason = "an order was not sent"
                    );
                }
                OrderOutcome::Unknown => {
                    worker.penalised_until = worker.penalised_until.max(now + SILENT_PAUSE);
                }
                _ => {}
            }
        }
        match order {
            WorkerOrder::Start(start) => {
                self.start_answered(id, &start.task, start.run, outcome, now);
            }
            WorkerOrder::Stop { task, run } => self.stop_answered(id, task, *run, outcome, now),
            WorkerOrder::Throttle { task, run, .. } => {
                let runs = self.workers.get_mut(id).map(|worker| &mut worker.runs);
                let run = runs
                    .and_then(|runs| runs.get_mut(task))
                    .filter(|each| each.number == *run);
                if let Some(run) = run.filter(|_| !matches!(outcome, OrderOutcome::Done { .. })) {
                    // The order may not have arrived; full speed is assumed, so it is repeated.
                    run.speed_limit = 100;
                }
            }
        }
    }

    fn start_answered(
        &mut self,
        id: &WorkerId,
        key: &TaskKey,
        number: u32,
        outcome: OrderOutcome,
        now: Duration,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if outcome == OrderOutcome::Unknown {
            log_event!(
                Event::StartUnanswered,
                task = key,
                run = number,
                worker = id
            );
            worker.note_unanswered(key.clone(), number, now);
        }
        let Some(run) = worker.runs.get_mut(key).filter(|run| run.number == number) else {
            return;
        };
        match outcome {
            OrderOutcome::Done { .. } => {
                run.confirmed_at = Some(now);
                if run.state == RunState::Ordered {
                    run.state = RunState::Running;
                }
            }
            OrderOutcome::Unknown => {
                if run.state == RunState::Ordered {
                    run.state = RunState::Stopping {
                        reason: StopReason::Unanswered,
                        sent: false,
                        confirmed_at: None,
                    };
                }
            }
            OrderOutcome::Refused { why, .. } => {
                log_event!(
                    Event::StartRefused,
                    task = key,
                    run = number,
                    worker = id,
                    why = format_args!("{why:?}")
                );
                match why {
                    Refusal::Room => {
                        worker.penalised_until = worker.penalised_until.max(now + ROOM_PAUSE);
                    }
                    Refusal::Unhealthy => {
                        worker.note_failure(&key.job);
                        worker.penalised_until = worker.penalised_until.max(now + UNHEALTHY_PAUSE);
                    }
                    Refusal::Ticket => self.tickets.forget(key, id),
                    Refusal::Fenced | Refusal::OldRun | Refusal::Late | Refusal::Malformed => {}
                }
                self.release_run(id, key, now);
            }
            OrderOutcome::NotSent | OrderOutcome::OtherLife | OrderOutcome::Withdrawn => {
                self.release_run(id, key, now);
            }
        }
    }

    fn stop_answered(
        &mut self,
        id: &WorkerId,
        key: &TaskKey,
        number: u32,
        outcome: OrderOutcome,
        now: Duration,
    ) {
        let confirmed = matches!(outcome, OrderOutcome::Done { .. })
            || matches!(
                outcome,
                OrderOutcome::Refused {
                    why: Refusal::OldRun,
                    ..
                }
            );
        if confirmed {
            self.orphan_runs.remove(&(id.clone(), key.clone(), number));
        }
        if outcome == OrderOutcome::OtherLife {
            self.orphan_runs.remove(&(id.clone(), key.clone(), number));
            self.release_run(id, key, now);
            return;
        }
        let runs = self.workers.get_mut(id).map(|worker| &mut worker.runs);
        let run = runs.and_then(|runs| runs.get_mut(key));
        let Some(run) = run.filter(|run| run.number == number) else {
            if !confirmed && self.workers.contains_key(id) {
                self.orphan_runs.insert((id.clone(), key.clone(), number));
            }
            return;
        };
        if let RunState::Stopping { reason, .. } = run.state {
            run.state = RunState::Stopping {
                reason,
                sent: confirmed,
                confirmed_at: confirmed.then_some(now),
            };
        }
        if confirmed && run.confirmed_at.is_none() {
            // The run may never have begun, so no end will wake the look that waits there.
            self.actions.push(Action::Poll { worker: id.clone() });
        }
    }

    /// Emits the stops that are due.
    pub(crate) fn send_stops(&mut self) {
        let mut orders = Vec::new();
        for worker in self.workers.values_mut() {
            if worker.unreachable_since.is_some() {
                continue;
            }
            for (key, run) in &mut worker.runs {
                if let RunState::Stopping {
                    reason,
                    sent: false,
                    confirmed_at: settled,
                } = run.state
                {
                    run.state = RunState::Stopping {
                        reason,
                        sent: true,
                        confirmed_at: settled,
                    };
                    orders.push((worker.listing.id.clone(), key.clone(), run.number));
                }
            }
        }
        let reachable = |id: &WorkerId| {
            self.workers
                .get(id)
                .is_some_and(|worker| worker.unreachable_since.is_none() && worker.fenced)
        };
        let strays: Vec<_> = self
            .orphan_runs
            .iter()
            .filter(|(id, _, _)| reachable(id))
            .cloned()
            .collect();
        self.orphan_runs
            .retain(|(id, _, _)| self.workers.contains_key(id));
        for stray in strays {
            self.orphan_runs.remove(&stray);
            orders.push(stray);
        }
        for (id, task, run) in orders {
            self.order(&id, WorkerOrder::Stop { task, run });
        }
    }

    /// Emits an order to a worker.
    pub(crate) fn order(&mut self, id: &WorkerId, order: WorkerOrder) {
        if self.workers.contains_key(id) {
            self.actions.push(Action::Order {
                worker: id.clone(),
                order,
            });
        }
    }
}
