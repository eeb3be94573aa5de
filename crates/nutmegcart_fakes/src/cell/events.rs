//! Handlers of the events: scheduler ticks and passes, and messages.

use std::time::Duration;

use nutmegcart_jobs::Action;
use nutmegcart_jobs::OrderOutcome;
use nutmegcart_jobs::PollRequest;
use nutmegcart_jobs::RunEnd;
use nutmegcart_jobs::TaskKey;
use nutmegcart_jobs::WorkerOrder;
use nutmegcart_model::WorkerId;
use rand::Rng;

use crate::cell::CALL_TIMEOUT;
use crate::cell::CellSimulation;
use crate::cell::Event;
use crate::cell::LATENCY;
use crate::cell::OWNER_LEASE;
use crate::cell::POLL_RETRY_DELAY;
use crate::cell::PollOutcome;
use crate::cell::STORE_LATENCY;
use crate::cell::TICK_PERIOD;
use crate::cell::WaitingPoll;

impl CellSimulation {
    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Script(script) => script(self),
            Event::Tick(index) => self.tick(index),
            Event::Pass(index) => {
                self.owners[index].pass_scheduled = false;
                self.pass(index);
            }
            Event::Attempt(index, due) => {
                if self.owners[index].next_attempt == Some(due) {
                    self.owners[index].next_attempt = None;
                    self.pass(index);
                }
            }
            Event::PollArrives(index, id, request, sent) => {
                self.poll_arrives(index, &id, request, sent);
            }
            Event::PollAnswered(index, id, sent, outcome) => {
                self.poll_answered(index, &id, sent, &outcome);
            }
            Event::ImmediatePoll(index, id, request, sent) => {
                let (now, fence) = (self.now, self.owners[index].fence);
                let worker = self.workers.get_mut(&id).filter(|worker| worker.up);
                if let Some(worker) = worker
                    && worker.accept_poll(fence, &request, now)
                {
                    let response = worker.poll_response(now);
                    self.schedule_lease_end(&id);
                    self.schedule(
                        LATENCY,
                        Event::ImmediatePollAnswered(index, id, sent, response),
                    );
                }
            }
            Event::ImmediatePollAnswered(index, id, sent, response) => {
                let now = self.now;
                if self.owners[index].up {
                    self.owners[index]
                        .scheduler
                        .handle_poll_response(&id, sent, &response, now);
                    self.schedule_pass(index);
                }
            }
            Event::PollWaitExpires(id, sequence) => {
                if self
                    .waiting_polls
                    .get(&id)
                    .is_some_and(|waiting| waiting.sequence == sequence)
                {
                    self.answer_waiting_poll(&id);
                }
            }
            Event::OrderArrives(index, id, order, answered, incarnation) => {
                self.order_arrives(index, &id, &order, answered, incarnation);
            }
            Event::OrderAnswered(index, id, order, outcome) => {
                if self.owners[index].up {
                    let now = self.now;
                    self.owners[index]
                        .scheduler
                        .handle_order_outcome(&id, &order, outcome, now);
                    self.schedule_pass(index);
                }
            }
            Event::FlushArrives(index, flush) => self.flush_arrives(index, &flush),
            Event::FlushAnswered(index, outcome) => {
                let now = self.now;
                self.owners[index]
                    .scheduler
                    .handle_flush_outcome(&outcome, now);
                self.schedule_pass(index);
            }
            Event::RunEnds(id, incarnation, task, run) => {
                self.run_ends(&id, incarnation, &task, run);
            }
            Event::LeaseExpires(id, incarnation) => self.lease_expires(&id, incarnation),
            Event::MachinesListed(index) => self.list_machines(index),
            Event::MachineOperationEnds(name) => self.machine_operation_ends(&name),
            Event::TicketsAnswered(index, step, tickets, valid, sent) => {
                let scheduler = &mut self.owners[index].scheduler;
                scheduler.add_tickets(&step, &tickets, valid, sent);
                self.schedule_pass(index);
            }
            Event::MachineAnswered(index, name, order, outcome) => {
                let now = self.now;
                self.owners[index]
                    .scheduler
                    .handle_machine_outcome(&name, &order, outcome, now);
                self.schedule_pass(index);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        if !self.owners[index].up {
            return;
        }
        let (unix, now) = (self.owner_unix_ms(index), self.now);
        let reached = self.owners[index].reaches_store && !self.store.down;
        let holds = self.store.owner == self.owners[index].fence;
        if reached && holds {
            self.owners[index].renewed_at = now;
        } else if reached {
            // The owner key in the store names another instance.
            self.owners[index].up = false;
            return;
        }
        let owner = &mut self.owners[index];
        let inherited_until = owner.started_at + Duration::from_secs(3) + OWNER_LEASE;
        owner.scheduler.set_ownership(
            inherited_until,
            (owner.renewed_at + OWNER_LEASE).saturating_sub(Duration::from_millis(600)),
        );
        owner.scheduler.tick(unix, now);
        let known: Vec<WorkerId> = owner
            .scheduler
            .workers()
            .map(|worker| worker.listing.id.clone())
            .collect();
        for id in known {
            self.start_polling(index, &id);
        }
        self.schedule_pass(index);
        self.schedule(TICK_PERIOD, Event::Tick(index));
    }

    fn pass(&mut self, index: usize) {
        if !self.may_act(index) {
            return;
        }
        let now = self.now;
        self.owners[index].scheduler.run_pass(now);
        if let Some(due) = self.owners[index].scheduler.next_attempt(now) {
            self.schedule_pass_at(index, due);
        }
        for action in self.owners[index].scheduler.take_actions() {
            self.perform_action(index, action);
        }
        if self.owners[index].reaches_store
            && !self.store.down
            && let Some(flush) = self.owners[index].scheduler.next_flush(now)
        {
            self.schedule(STORE_LATENCY, Event::FlushArrives(index, flush));
        }
    }

    /// Schedules a pass for the end of a wait, in place of the one that was scheduled for such an end.
    fn schedule_pass_at(&mut self, index: usize, due: Duration) {
        let known = self.owners[index].next_attempt.replace(due);
        if known != Some(due) {
            let delay = due.saturating_sub(self.now);
            self.schedule(delay, Event::Attempt(index, due));
        }
    }

    fn perform_action(&mut self, index: usize, action: Action) {
        match action {
            Action::Order { worker, order } => self.send_order(index, worker, order),
            Action::Machine { machine, order } => {
                self.machine_orders.push((machine.clone(), index, self.now));
                if let Some(outcome) = self.order_machine(&machine, &order) {
                    let answer = Event::MachineAnswered(index, machine, order, outcome);
                    self.schedule(STORE_LATENCY, answer);
                }
            }
            Action::Poll { worker } => {
                let now = self.now;
                if let Some(request) = self.owners[index].scheduler.immediate_poll(&worker, now)
                    && self.reaches(index, &worker)
                {
                    self.schedule(LATENCY, Event::ImmediatePoll(index, worker, request, now));
                }
            }
            Action::RequestTickets { step, workers } => {
                self.request_tickets(index, step, &workers);
            }
        }
    }

    /// Answers a request for tickets after the time that the step's queue states.
    fn request_tickets(&mut self, index: usize, step: TaskKey, workers: &[WorkerId]) {
        self.ticket_requests += 1;
        let timing = {
            let mut jobs = self.owners[index].scheduler.jobs();
            let job = jobs.find(|job| job.id == step.job);
            job.and_then(|job| job.accepted.queue.ticket_timing)
        };
        let count = u64::try_from(workers.len()).unwrap_or_default();
        let timing = timing.unwrap_or_default();
        let duration = timing.each_ms.saturating_mul(count);
        let duration = duration.saturating_add(timing.fixed_ms);
        let valid = Duration::from_millis(timing.valid_ms);
        let permitted = workers.iter().filter(|id| self.permitted.contains(*id));
        let tickets = permitted.map(|id| (id.clone(), "ticket".into())).collect();
        let answer = Event::TicketsAnswered(index, step, tickets, valid, self.now);
        self.schedule(Duration::from_millis(duration), answer);
    }

    fn send_order(&mut self, index: usize, id: WorkerId, order: WorkerOrder) {
        let delayed = self.delayed_share > 0.0 && self.rng.random_bool(self.delayed_share);
        let worker = self.workers.get(&id);
        let reached = worker.is_some() && !self.owners[index].unreachable.contains(&id);
        let up = worker.is_some_and(|worker| worker.up);
        let incarnation = worker.map_or(0, |worker| worker.listing.incarnation);
        if self.reaches_other(index, &id) {
            let answer = Event::OrderAnswered(index, id, order, OrderOutcome::OtherIncarnation);
            self.schedule(2 * LATENCY, answer);
        } else if reached && up && !delayed {
            let arrival = Event::OrderArrives(index, id, order, true, incarnation);
            self.schedule(LATENCY, arrival);
        } else {
            if reached {
                let held = if delayed {
                    Duration::from_millis(self.rng.random_range(2_000..12_000))
                } else {
                    Duration::ZERO
                };
                self.send_unanswered(index, id.clone(), order.clone(), held);
            }
            let answer = Event::OrderAnswered(index, id, order, OrderOutcome::Unknown);
            self.schedule(CALL_TIMEOUT, answer);
        }
    }

    /// Delivers an order that gets no response.
    ///
    /// It reaches the incarnation that runs under the identifier at any time until its sender gives
    /// up. That incarnation carries it out when it has held it for a while, unless it has ended.
    fn send_unanswered(&mut self, index: usize, id: WorkerId, order: WorkerOrder, held: Duration) {
        let transit = LATENCY.max(self.rng.random_range(Duration::ZERO..CALL_TIMEOUT));
        self.after(transit, move |cell| {
            let reached = cell.workers.get(&id).filter(|worker| worker.up);
            let Some(incarnation) = reached.map(|worker| worker.listing.incarnation) else {
                return;
            };
            let arrival = Event::OrderArrives(index, id, order, false, incarnation);
            cell.schedule(held, arrival);
        });
    }

    fn poll_arrives(&mut self, index: usize, id: &WorkerId, request: PollRequest, sent: Duration) {
        let now = self.now;
        let fence = self.owners[index].fence;
        let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.up) else {
            self.schedule(
                CALL_TIMEOUT,
                Event::PollAnswered(index, id.clone(), sent, PollOutcome::Unanswered),
            );
            return;
        };
        let before = worker.ended.clone();
        if !worker.accept_poll(fence, &request, now) {
            self.schedule(
                LATENCY,
                Event::PollAnswered(index, id.clone(), sent, PollOutcome::Fenced),
            );
            return;
        }
        for end in before.iter().filter(|end| end.number <= request.acked_end) {
            self.checker
                .record_acknowledged(&end.task, end.how == RunEnd::Done);
        }
        let waits = worker.ended.is_empty() && !request.max_wait.is_zero();
        self.schedule_lease_end(id);
        if self.waiting_polls.contains_key(id) {
            self.answer_waiting_poll(id);
        }
        self.sequence += 1;
        let sequence = self.sequence;
        self.waiting_polls.insert(
            id.clone(),
            WaitingPoll {
                owner: index,
                sent,
                sequence,
            },
        );
        if waits {
            self.schedule(
                request.max_wait,
                Event::PollWaitExpires(id.clone(), sequence),
            );
        } else {
            self.answer_waiting_poll(id);
        }
    }

    pub(super) fn answer_waiting_poll(&mut self, id: &WorkerId) {
        let Some(waiting) = self.waiting_polls.remove(id) else {
            return;
        };
        let now = self.now;
        let response = self
            .workers
            .get(id)
            .filter(|worker| worker.up)
            .map(|worker| worker.poll_response(now));
        let delay = if response.is_some() && self.reaches(waiting.owner, id) {
            LATENCY
        } else {
            CALL_TIMEOUT
        };
        let response = response.filter(|_| self.reaches(waiting.owner, id));
        let outcome = response.map_or(PollOutcome::Unanswered, PollOutcome::Answered);
        self.schedule(
            delay,
            Event::PollAnswered(waiting.owner, id.clone(), waiting.sent, outcome),
        );
    }

    fn poll_answered(
        &mut self,
        index: usize,
        id: &WorkerId,
        sent: Duration,
        outcome: &PollOutcome,
    ) {
        let now = self.now;
        let owner = &mut self.owners[index];
        if !owner.up {
            return;
        }
        let pause = match outcome {
            PollOutcome::Answered(response) => {
                owner
                    .scheduler
                    .handle_poll_response(id, sent, response, now);
                if !owner.scheduler.has_fresh_clock(id, now) {
                    POLL_RETRY_DELAY
                } else if response.ended.is_empty() {
                    Duration::ZERO
                } else {
                    Duration::from_millis(25)
                }
            }
            PollOutcome::Fenced => {
                owner.up = false;
                return;
            }
            PollOutcome::OtherIncarnation => {
                owner.scheduler.handle_other_incarnation(id, now);
                POLL_RETRY_DELAY
            }
            PollOutcome::Unanswered => {
                owner.scheduler.poll_failed(id, "timeout", now);
                POLL_RETRY_DELAY
            }
        };
        self.schedule_pass(index);
        let id = id.clone();
        self.after(pause, move |cell| cell.poll(index, &id));
    }
}
