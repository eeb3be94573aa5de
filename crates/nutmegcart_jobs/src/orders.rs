//! Orders to workers and their outcomes.

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

/// Time without starts for a worker that refused a start because the task did not fit.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(60);
/// Time without starts for a worker that did not respond to an order; whether it counts as
/// unreachable is decided by polls.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(300);
/// Time without starts for a worker that refused a start as overloaded or failing.
const UNHEALTHY_PAUSE: Duration = Duration::from_millis(500);

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// A run of the task with this number or a higher one has been stopped or has ended.
    OldRun,
    /// The lease in the order had expired when it arrived.
    Late,
    /// The task does not fit into the free capacity.
    Room,
    /// The ticket is not valid.
    Ticket,
    /// The worker is overloaded or failing, and did not carry out the order.
    Unhealthy,
    /// The worker could not parse the order.
    Malformed,
}

/// Outcome of an order to a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OrderOutcome {
    /// The worker carried it out.
    Done {
        /// Worker's clock in milliseconds, if the response contains it.
        clock: Option<u64>,
    },
    /// The worker refused it.
    Refused {
        /// Worker's clock in milliseconds, if the response contains it.
        clock: Option<u64>,
        /// Reason, printed in logs.
        why: Refusal,
    },
    /// No byte of the order was sent.
    NotSent,
    /// No response was received; the order may still be carried out seconds later.
    Unknown,
    /// Another incarnation of the worker responds at the address.
    OtherIncarnation,
    /// It was not sent, because it became obsolete or the sender's ownership may have ended.
    Withdrawn,
}

impl OrderOutcome {
    /// Returns the metric label of the outcome.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Done { .. } => "done",
            Self::Refused { .. } => "refused",
            Self::NotSent => "not_sent",
            Self::Unknown => "unknown",
            Self::OtherIncarnation => "other_life",
            Self::Withdrawn => "withdrawn",
        }
    }
}

impl Scheduler {
    /// Returns whether an order that was queued should still be sent. The worker may have started
    /// again while a start waited for the answers to others.
    #[must_use]
    pub fn is_still_wanted(&self, id: &WorkerId, order: &WorkerOrder, now: Duration) -> bool {
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
                    && worker.is_clock_fresh(now)
            }
            WorkerOrder::Stop { .. } => true,
            WorkerOrder::Throttle {
                task, run: number, ..
            } => run(task, *number).is_some(),
        }
    }

    /// Records the outcome of an order.
    pub fn handle_order_outcome(
        &mut self,
        id: &WorkerId,
        order: &WorkerOrder,
        outcome: OrderOutcome,
        now: Duration,
    ) {
        if let OrderOutcome::Done { clock: Some(clock) }
        | OrderOutcome::Refused {
            clock: Some(clock), ..
        } = outcome
        {
            self.record_order_clock(id, clock, now);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            match outcome {
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
                    worker.penalised_until = worker.penalised_until.max(now + UNANSWERED_PAUSE);
                }
                _ => {}
            }
        }
        match order {
            WorkerOrder::Start(start) => {
                self.handle_start_outcome(id, &start.task, start.run, outcome, now);
            }
            WorkerOrder::Stop { task, run } => {
                self.handle_stop_outcome(id, task, *run, outcome, now);
            }
            WorkerOrder::Throttle { task, run, .. } => {
                let runs = self.workers.get_mut(id).map(|worker| &mut worker.runs);
                let run = runs
                    .and_then(|runs| runs.get_mut(task))
                    .filter(|each| each.number == *run);
                if let Some(run) = run.filter(|_| !matches!(outcome, OrderOutcome::Done { .. })) {
                    // The order may not have arrived. Full speed is assumed, so the limit is sent
                    // again.
                    run.speed_limit = 100;
                }
            }
        }
    }

    fn handle_start_outcome(
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
            worker.record_unanswered(key.clone(), number, now);
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
                if let Some(job) = self.jobs.get_mut(&key.job) {
                    job.started = true;
                }
            }
            OrderOutcome::Unknown => {
                if run.state == RunState::Ordered {
                    run.state = RunState::Stopping {
                        reason: StopReason::Unanswered,
                        sent: false,
                        confirmed_at: None,
                    };
                    // It is stopped even if it has begun, and its worker may keep it for seconds.
                    self.stop_rest_of_gang(key);
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
                        worker.penalised_until = worker.penalised_until.max(now + NO_ROOM_PAUSE);
                    }
                    Refusal::Unhealthy => {
                        worker.record_failure(&key.job, now);
                        worker.penalised_until = worker.penalised_until.max(now + UNHEALTHY_PAUSE);
                    }
                    Refusal::Ticket => self.tickets.forget(key, id),
                    Refusal::Fenced | Refusal::OldRun | Refusal::Late | Refusal::Malformed => {}
                }
                self.release_run(id, key, now);
            }
            OrderOutcome::NotSent | OrderOutcome::OtherIncarnation | OrderOutcome::Withdrawn => {
                self.release_run(id, key, now);
            }
        }
    }

    fn handle_stop_outcome(
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
        if outcome == OrderOutcome::OtherIncarnation {
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
            // The run may never have begun, so no end completes the poll that waits there.
            self.actions.push(Action::Poll { worker: id.clone() });
        }
    }

    /// Emits the stop orders that are due.
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
                    confirmed_at,
                } = run.state
                {
                    run.state = RunState::Stopping {
                        reason,
                        sent: true,
                        confirmed_at,
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
        let orphans: Vec<_> = self
            .orphan_runs
            .iter()
            .filter(|(id, _, _)| reachable(id))
            .cloned()
            .collect();
        self.orphan_runs
            .retain(|(id, _, _)| self.workers.contains_key(id));
        for orphan in orphans {
            self.orphan_runs.remove(&orphan);
            orders.push(orphan);
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
