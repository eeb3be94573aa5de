//! What happens at a time: ticks, passes, calls under way and ends of runs.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegcart_jobs::Action;
use nutmegcart_jobs::Flush;
use nutmegcart_jobs::FlushOutcome;
use nutmegcart_jobs::JobKeyState;
use nutmegcart_jobs::JobRecord;
use nutmegcart_jobs::MachineOrder;
use nutmegcart_jobs::MachineOutcome;
use nutmegcart_jobs::MachineState;
use nutmegcart_jobs::OrderOutcome;
use nutmegcart_jobs::PollRequest;
use nutmegcart_jobs::PollResponse;
use nutmegcart_jobs::RunEnd;
use nutmegcart_jobs::TaskKey;
use nutmegcart_jobs::WorkerOrder;
use nutmegcart_model::WorkerId;
use rand::Rng;

use crate::cell::CellSimulation;
use crate::cell::Event;
use crate::cell::LATENCY;
use crate::cell::LIST;
use crate::cell::OWNER_LEASE;
use crate::cell::Parked;
use crate::cell::STORE;
use crate::cell::TICK;
use crate::cell::TIMEOUT;
use crate::cell::worker;
use crate::cell::worker::FakeRun;
use crate::cell::worker::FakeWorker;

impl CellSimulation {
    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Script(script) => script(self),
            Event::Tick(index) => self.tick(index),
            Event::Pass(index) => self.pass(index),
            Event::LookArrives(index, id, look, sent) => self.look_arrives(index, &id, look, sent),
            Event::LookAnswered(index, id, sent, report, fenced) => {
                self.look_answered(index, &id, sent, report.as_ref(), fenced);
            }
            Event::QuickLook(index, id, look, sent) => {
                let (now, fence) = (self.now, self.owners[index].fence);
                let worker = self.workers.get_mut(&id).filter(|worker| worker.up);
                if let Some(worker) = worker
                    && worker.accept_poll(fence, &look, now)
                {
                    let report = worker.poll_response(now);
                    self.schedule(LATENCY, Event::Reported(index, id, sent, report));
                }
            }
            Event::Reported(index, id, sent, report) => {
                let now = self.now;
                if self.owners[index].up {
                    self.owners[index]
                        .scheduler
                        .handle_poll_response(&id, sent, &report, now);
                    self.wake(index);
                }
            }
            Event::LookExpires(id, number) => {
                if self
                    .parked
                    .get(&id)
                    .is_some_and(|parked| parked.number == number)
                {
                    self.answer_parked(&id);
                }
            }
            Event::OrderArrives(index, id, order, answered, life) => {
                self.order_arrives(index, &id, &order, answered, life);
            }
            Event::OrderAnswered(index, id, order, outcome) => {
                if self.owners[index].up {
                    let now = self.now;
                    self.owners[index]
                        .scheduler
                        .handle_order_outcome(&id, &order, outcome, now);
                    self.wake(index);
                }
            }
            Event::FlushArrives(index, flush) => self.flush_arrives(index, &flush),
            Event::FlushAnswered(index, outcome) => {
                let now = self.now;
                self.owners[index]
                    .scheduler
                    .handle_flush_outcome(&outcome, now);
                self.wake(index);
            }
            Event::RunEnds(id, life, task, run) => self.run_ends(&id, life, &task, run),
            Event::LeaseEnds(id, life) => self.lease_ends(&id, life),
            Event::Machines(index) => self.list_machines(index),
            Event::MachineReturns(name) => self.machine_returns(&name),
            Event::MachineAnswered(index, name, order, outcome) => {
                let now = self.now;
                self.owners[index]
                    .scheduler
                    .handle_machine_outcome(&name, &order, outcome, now);
                self.wake(index);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        if !self.owners[index].up {
            return;
        }
        let (unix, now) = (self.unix_ms(), self.now);
        let reached = self.owners[index].reaches_store && !self.store.down;
        let holds = self.store.owner == self.owners[index].fence;
        if reached && holds {
            self.owners[index].renewed_at = now;
        } else if reached {
            // The owner's key names another instance.
            self.owners[index].up = false;
            return;
        }
        let owner = &mut self.owners[index];
        let from = owner.started_at + Duration::from_secs(3) + OWNER_LEASE;
        owner.scheduler.set_ownership(
            from,
            (owner.renewed_at + OWNER_LEASE).saturating_sub(Duration::from_millis(600)),
        );
        owner.scheduler.tick(unix, now);
        let looked: Vec<WorkerId> = owner
            .scheduler
            .workers()
            .map(|worker| worker.listing.id.clone())
            .collect();
        for id in looked {
            self.watch(index, &id);
        }
        self.wake(index);
        self.schedule(TICK, Event::Tick(index));
    }

    fn pass(&mut self, index: usize) {
        self.owners[index].pass = false;
        if !self.acts(index) {
            return;
        }
        let now = self.now;
        self.owners[index].scheduler.run_pass(now);
        for action in self.owners[index].scheduler.take_actions() {
            self.carry_out(index, action);
        }
        if self.owners[index].reaches_store
            && !self.store.down
            && let Some(flush) = self.owners[index].scheduler.next_flush(now)
        {
            self.schedule(STORE, Event::FlushArrives(index, flush));
        }
    }

    fn carry_out(&mut self, index: usize, action: Action) {
        match action {
            Action::Order { worker, order } => {
                let late = self.delayed_share > 0.0 && self.random.random_bool(self.delayed_share);
                let life = self
                    .workers
                    .get(&worker)
                    .map_or(0, |worker| worker.listing.incarnation);
                if !self.reaches(index, &worker) {
                    self.schedule(
                        TIMEOUT,
                        Event::OrderAnswered(index, worker, order, OrderOutcome::Unknown),
                    );
                } else if late {
                    let delay = Duration::from_millis(self.random.random_range(2_000..12_000));
                    self.schedule(
                        delay,
                        Event::OrderArrives(index, worker.clone(), order.clone(), false, life),
                    );
                    self.schedule(
                        TIMEOUT,
                        Event::OrderAnswered(index, worker, order, OrderOutcome::Unknown),
                    );
                } else {
                    self.schedule(
                        LATENCY,
                        Event::OrderArrives(index, worker, order, true, life),
                    );
                }
            }
            Action::Machine { machine, order } => {
                self.machine_orders.push((machine.clone(), index, self.now));
                let outcome = self.command(&machine, &order);
                self.schedule(
                    STORE,
                    Event::MachineAnswered(index, machine, order, outcome),
                );
            }
            Action::Poll { worker } => {
                let now = self.now;
                if let Some(look) = self.owners[index].scheduler.immediate_poll(&worker, now)
                    && self.reaches(index, &worker)
                {
                    self.schedule(LATENCY, Event::QuickLook(index, worker, look, now));
                }
            }
            Action::RequestTickets { .. } => {}
        }
    }

    fn command(&mut self, name: &std::sync::Arc<str>, order: &MachineOrder) -> MachineOutcome {
        let Some(machine) = self.machines.get_mut(name) else {
            return MachineOutcome::Invalid;
        };
        if machine.state != MachineState::Up {
            return MachineOutcome::Busy;
        }
        let delay = match order {
            MachineOrder::Move(pool) => {
                if machine.pool == *pool {
                    return MachineOutcome::Done;
                }
                machine.pool = pool.clone();
                machine.state = MachineState::Moving;
                self.settings.move_time
            }
            MachineOrder::Maintain(wave) => {
                if !self.maintained.insert((*wave, name.clone())) {
                    return MachineOutcome::Done;
                }
                machine.state = MachineState::Maintained;
                self.settings.maintenance_time
            }
        };
        self.operations_started += 1;
        if let Some(id) = machine.worker.take() {
            self.crash(&id);
            self.unlist_worker(&id);
        }
        self.schedule(delay, Event::MachineReturns(name.clone()));
        MachineOutcome::Done
    }

    fn machine_returns(&mut self, name: &std::sync::Arc<str>) {
        self.lives += 1;
        let id = WorkerId::from(format!("{name}-{}", self.lives));
        let spare = {
            let Some(machine) = self.machines.get_mut(name) else {
                return;
            };
            machine.state = MachineState::Up;
            let pools = self.pools.iter();
            let spare = pools
                .clone()
                .any(|(pool, config)| *pool == machine.pool && config.spare);
            machine.worker = (!spare).then(|| id.clone());
            spare
        };
        if spare {
            return;
        }
        let machine = &self.machines[name];
        let mut listing = worker::listing(&id, &machine.pool, "r1-1", machine.capacity);
        listing.machine = Some(name.clone());
        listing.labels.clone_from(&machine.labels);
        listing.incarnation = self.unix_ms();
        self.workers
            .insert(id.clone(), FakeWorker::new(listing, self.now));
        self.list_worker(&id);
    }

    fn list_machines(&mut self, index: usize) {
        if !self.owners[index].up {
            return;
        }
        let (list, now) = (self.machines.values().cloned().collect(), self.now);
        self.owners[index].scheduler.update_machines(list, now, now);
        self.wake(index);
        self.schedule(LIST, Event::Machines(index));
    }

    fn look_arrives(&mut self, index: usize, id: &WorkerId, look: PollRequest, sent: Duration) {
        let now = self.now;
        let fence = self.owners[index].fence;
        let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.up) else {
            self.schedule(
                TIMEOUT,
                Event::LookAnswered(index, id.clone(), sent, None, false),
            );
            return;
        };
        let before = worker.ended.clone();
        if !worker.accept_poll(fence, &look, now) {
            self.schedule(
                LATENCY,
                Event::LookAnswered(index, id.clone(), sent, None, true),
            );
            return;
        }
        for end in before.iter().filter(|end| end.number <= look.acked_end) {
            self.checker.acknowledge(&end.task, end.how == RunEnd::Done);
        }
        let (waits, life) = (
            worker.ended.is_empty() && !look.max_wait.is_zero(),
            worker.listing.incarnation,
        );
        let left = Duration::from_millis(worker.lease_end.saturating_sub(worker.clock_ms(now)));
        self.schedule(left, Event::LeaseEnds(id.clone(), life));
        if self.parked.contains_key(id) {
            self.answer_parked(id);
        }
        self.numbers += 1;
        let number = self.numbers;
        self.parked.insert(
            id.clone(),
            Parked {
                owner: index,
                sent,
                number,
            },
        );
        if waits {
            self.schedule(look.max_wait, Event::LookExpires(id.clone(), number));
        } else {
            self.answer_parked(id);
        }
    }

    fn answer_parked(&mut self, id: &WorkerId) {
        let Some(parked) = self.parked.remove(id) else {
            return;
        };
        let now = self.now;
        let report = self
            .workers
            .get(id)
            .filter(|worker| worker.up)
            .map(|worker| worker.poll_response(now));
        let delay = if report.is_some() && self.reaches(parked.owner, id) {
            LATENCY
        } else {
            TIMEOUT
        };
        let report = report.filter(|_| self.reaches(parked.owner, id));
        self.schedule(
            delay,
            Event::LookAnswered(parked.owner, id.clone(), parked.sent, report, false),
        );
    }

    fn look_answered(
        &mut self,
        index: usize,
        id: &WorkerId,
        sent: Duration,
        report: Option<&PollResponse>,
        fenced: bool,
    ) {
        let now = self.now;
        if !self.owners[index].up {
            return;
        }
        if fenced {
            self.owners[index].up = false;
            return;
        }
        let pause = if let Some(report) = report {
            self.owners[index]
                .scheduler
                .handle_poll_response(id, sent, report, now);
            let gap = Duration::from_millis(25);
            if report.ended.is_empty() {
                Duration::ZERO
            } else {
                gap
            }
        } else {
            self.owners[index].scheduler.poll_failed(id, "timeout", now);
            Duration::from_millis(200)
        };
        self.wake(index);
        let id = id.clone();
        self.after(pause, move |world| world.look(index, &id));
    }

    fn order_arrives(
        &mut self,
        index: usize,
        id: &WorkerId,
        order: &WorkerOrder,
        answered: bool,
        life: u64,
    ) {
        let now = self.now;
        let fence = self.owners[index].fence;
        let begun = match order {
            WorkerOrder::Start(start) => self.begin(id, start.run, &start.task),
            _ => None,
        };
        // A late order reaches whoever answers under the worker's identifier by then.
        let reached = self
            .workers
            .get(id)
            .is_some_and(|worker| worker.up && (!answered || worker.listing.incarnation == life));
        if !reached {
            if answered {
                self.schedule(
                    TIMEOUT,
                    Event::OrderAnswered(index, id.clone(), order.clone(), OrderOutcome::Unknown),
                );
            }
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if answered && !worker.stop_duration.is_zero() && matches!(order, WorkerOrder::Stop { .. })
        {
            let (takes, clock) = (worker.stop_duration, Some(worker.clock_ms(now)));
            let (id, order) = (id.clone(), order.clone());
            let told = OrderOutcome::Done { clock };
            let answer = Event::OrderAnswered(index, id.clone(), order.clone(), told);
            self.schedule(LATENCY, answer);
            self.schedule(takes, Event::OrderArrives(index, id, order, false, life));
            return;
        }
        let before: BTreeMap<TaskKey, u32> = worker
            .runs
            .iter()
            .map(|(task, run)| (task.clone(), run.number))
            .collect();
        let ends = worker.last_end;
        let outcome = worker.execute_order(fence, order, begun, now);
        let (born, left) = (
            worker.listing.incarnation,
            worker.lease_end.saturating_sub(worker.clock_ms(now)),
        );
        let ended: Vec<_> = worker
            .ended
            .iter()
            .filter(|end| end.number > ends)
            .cloned()
            .collect();
        if let (WorkerOrder::Start(start), OrderOutcome::Done { .. }) = (order, outcome)
            && before.get(&start.task) != Some(&start.run)
        {
            self.checker.start(id, &start.task, start.run, now);
            let worker = &self.workers[id];
            if !worker.used().fits(worker.listing.capacity) {
                let at = now.as_millis();
                let task = &start.task;
                self.checker
                    .violations
                    .push(format!("{at} ms: {task} overloads {id}"));
            }
            if let Some(run) = self.workers[id].runs.get(&start.task)
                && !run.long_running
            {
                let takes = run.duration;
                self.schedule(
                    takes,
                    Event::RunEnds(id.clone(), born, start.task.clone(), start.run),
                );
            }
            self.schedule(
                Duration::from_millis(left),
                Event::LeaseEnds(id.clone(), born),
            );
        }
        for end in &ended {
            self.checker.end(
                id,
                &end.task,
                end.run,
                end.how == RunEnd::Done,
                end.how == RunEnd::Failed,
            );
        }
        if !ended.is_empty() {
            self.answer_parked(id);
        }
        if answered {
            self.schedule(
                LATENCY,
                Event::OrderAnswered(index, id.clone(), order.clone(), outcome),
            );
        }
    }

    /// Returns the run that a start begins, as the job in the store describes it.
    fn begin(&mut self, id: &WorkerId, number: u32, task: &TaskKey) -> Option<FakeRun> {
        let worker = self.workers.get(id)?;
        let (slow, hung) = (worker.slowdown, worker.hung);
        let step = self.owners.iter().rev().find_map(|owner| {
            let job = owner.scheduler.jobs().find(|job| job.id == task.job)?;
            job.step(task).cloned()
        })?;
        let factor = if self.duration_spread > 1.0 {
            let exponent = self.random.random_range(-1.0..1.0);
            self.duration_spread.powf(exponent)
        } else {
            1.0
        };
        let takes = if hung {
            Duration::from_secs(1_000_000)
        } else {
            step.declared().mul_f64(factor) * slow
        };
        Some(FakeRun {
            number,
            started_at: self.now,
            duration: takes,
            allocation: step.allocation(),
            long_running: step.long_running,
        })
    }

    fn run_ends(&mut self, id: &WorkerId, life: u64, task: &TaskKey, run: u32) {
        let poisoned = self.failing_tasks.contains(task);
        let Some(worker) = self
            .workers
            .get_mut(id)
            .filter(|worker| worker.up && worker.listing.incarnation == life)
        else {
            return;
        };
        if worker.runs.get(task).is_none_or(|each| each.number != run) {
            return;
        }
        let how = if poisoned {
            RunEnd::Failed
        } else {
            RunEnd::Done
        };
        worker.end_run(task, how);
        self.checker.end(id, task, run, !poisoned, poisoned);
        self.answer_parked(id);
    }

    fn lease_ends(&mut self, id: &WorkerId, life: u64) {
        let now = self.now;
        let Some(worker) = self
            .workers
            .get_mut(id)
            .filter(|worker| worker.up && worker.listing.incarnation == life)
        else {
            return;
        };
        let last = worker.last_end;
        worker.expire_lease(now);
        let ended: Vec<_> = worker
            .ended
            .iter()
            .filter(|end| end.number > last)
            .cloned()
            .collect();
        for end in ended {
            self.checker.end(id, &end.task, end.run, false, false);
        }
    }

    fn flush_arrives(&mut self, index: usize, flush: &Flush) {
        if self.store.down || !self.owners[index].reaches_store {
            self.schedule(
                TIMEOUT,
                Event::FlushAnswered(index, FlushOutcome::NotStored),
            );
            return;
        }
        let outcome = self.commit(self.owners[index].fence, flush);
        self.schedule(LATENCY, Event::FlushAnswered(index, outcome));
    }

    fn commit(&mut self, fence: u64, flush: &Flush) -> FlushOutcome {
        if fence != self.store.owner {
            return FlushOutcome::NotStored;
        }
        let mut changed = Vec::new();
        for write in &flush.finals {
            match self.store.jobs.get(&write.job) {
                Some((JobRecord::Accepted(_), revision)) if *revision == write.revision => {}
                Some((JobRecord::Accepted(_), revision)) => {
                    changed.push((write.job.clone(), JobKeyState::Accepted(*revision)));
                }
                Some((JobRecord::Ended { how, .. }, _)) => {
                    changed.push((write.job.clone(), JobKeyState::Ended(*how)));
                }
                None => changed.push((write.job.clone(), JobKeyState::Absent)),
            }
        }
        if !changed.is_empty() {
            return FlushOutcome::Changed(changed);
        }
        self.store.revision += 1;
        let (revision, at) = (self.store.revision, self.unix_ms());
        for write in &flush.finals {
            let record = JobRecord::Ended { how: write.how, at };
            self.store
                .jobs
                .insert(write.job.clone(), (record, revision));
        }
        for id in &flush.expired {
            self.store.jobs.remove(id);
        }
        if let Some(state) = &flush.state {
            self.store.state = Some(state.clone());
        }
        FlushOutcome::Stored
    }
}
