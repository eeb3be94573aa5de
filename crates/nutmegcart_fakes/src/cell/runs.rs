//! Runs on the workers: orders that arrive, and the ends of runs and of leases.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegcart_jobs::OrderOutcome;
use nutmegcart_jobs::RunEnd;
use nutmegcart_jobs::StartOrder;
use nutmegcart_jobs::TaskKey;
use nutmegcart_jobs::WorkerOrder;
use nutmegcart_model::WorkerId;
use rand::Rng;

use crate::cell::CALL_TIMEOUT;
use crate::cell::CellSimulation;
use crate::cell::Event;
use crate::cell::LATENCY;
use crate::cell::gangs::Member;
use crate::cell::worker::FakeRun;

impl CellSimulation {
    pub(super) fn order_arrives(
        &mut self,
        index: usize,
        id: &WorkerId,
        order: &WorkerOrder,
        answered: bool,
        incarnation: u64,
    ) {
        let now = self.now;
        let fence = self.owners[index].fence;
        let new_run = match order {
            WorkerOrder::Start(start) => self.new_run(id, start),
            _ => None,
        };
        let reached = self
            .workers
            .get(id)
            .is_some_and(|worker| worker.up && worker.listing.incarnation == incarnation);
        if !reached {
            if answered {
                self.schedule(
                    CALL_TIMEOUT,
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
            let (duration, clock) = (worker.stop_duration, Some(worker.clock_ms(now)));
            let (id, order) = (id.clone(), order.clone());
            let accepted = OrderOutcome::Done { clock };
            let answer = Event::OrderAnswered(index, id.clone(), order.clone(), accepted);
            self.schedule(LATENCY, answer);
            self.schedule(
                duration,
                Event::OrderArrives(index, id, order, false, incarnation),
            );
            return;
        }
        let before: BTreeMap<TaskKey, u32> = worker
            .runs
            .iter()
            .map(|(task, run)| (task.clone(), run.number))
            .collect();
        let last_end = worker.last_end;
        let outcome = worker.execute_order(fence, order, new_run, now);
        let ended: Vec<_> = worker
            .ended
            .iter()
            .filter(|end| end.number > last_end)
            .cloned()
            .collect();
        if let (WorkerOrder::Start(start), OrderOutcome::Done { .. }) = (order, outcome)
            && before.get(&start.task) != Some(&start.run)
        {
            self.checker.check_start(id, &start.task, start.run, now);
            self.record_repeated(&start.task);
            let worker = &self.workers[id];
            if !worker.used().fits(worker.listing.capacity) {
                let at = now.as_millis();
                let task = &start.task;
                self.checker
                    .violations
                    .push(format!("{at} ms: {task} exceeds the capacity of {id}"));
            }
            let run = self.workers[id].runs.get(&start.task);
            if run.is_some_and(|run| run.member.is_some()) {
                self.member_started(id, &start.task, start.run);
            } else if let Some(run) = run
                && !run.long_running
            {
                let duration = run.duration;
                self.schedule(
                    duration,
                    Event::RunEnds(id.clone(), incarnation, start.task.clone(), start.run),
                );
            }
        }
        if matches!(order, WorkerOrder::Start(_)) {
            // Refused starts extend the lease as well.
            self.schedule_lease_end(id);
        }
        for end in &ended {
            self.checker.record_end(
                id,
                &end.task,
                end.run,
                end.how == RunEnd::Done,
                end.how == RunEnd::Failed,
            );
        }
        if !ended.is_empty() {
            self.answer_waiting_poll(id);
        }
        self.break_gangs(&ended);
        if answered {
            self.schedule(
                LATENCY,
                Event::OrderAnswered(index, id.clone(), order.clone(), outcome),
            );
        }
    }

    /// Records the start of a task of which a running worker holds an end as done.
    fn record_repeated(&mut self, task: &TaskKey) {
        if !self.checker.is_completed(task) {
            return;
        }
        let mut up = self.workers.iter().filter(|(_, worker)| worker.up);
        let holder = up.find(|(_, worker)| {
            let mut ended = worker.ended.iter();
            ended.any(|end| end.task == *task && end.how == RunEnd::Done)
        });
        if let Some((holder, _)) = holder {
            let repeated = (self.now, task.clone(), holder.clone());
            self.checker.repeated.push(repeated);
        }
    }

    /// Returns the run for a start order, as described by the step of its job.
    fn new_run(&mut self, id: &WorkerId, start: &StartOrder) -> Option<FakeRun> {
        let task = &start.task;
        let worker = self.workers.get(id)?;
        let (slow, hung) = (worker.slowdown, worker.hung);
        let step = self.owners.iter().rev().find_map(|owner| {
            let job = owner.scheduler.jobs().find(|job| job.id == task.job)?;
            job.step(task).cloned()
        })?;
        let factor = if self.duration_spread > 1.0 {
            let exponent = self.rng.random_range(-1.0..1.0);
            self.duration_spread.powf(exponent)
        } else {
            1.0
        };
        let duration = if hung {
            Duration::from_secs(1_000_000)
        } else {
            let factor = if step.gang { 1.0 } else { factor };
            step.declared().mul_f64(factor) * slow
        };
        Some(FakeRun {
            number: start.run,
            started_at: self.now,
            duration,
            allocation: step.allocation(),
            long_running: step.long_running,
            fails: step.long_running && self.failing_tasks.contains(task),
            member: step.gang.then(|| Member {
                size: step.count,
                saves: step.checkpoints,
                checkpoint: start.checkpoint.clone(),
                factor,
                began: None,
            }),
        })
    }

    pub(super) fn run_ends(&mut self, id: &WorkerId, incarnation: u64, task: &TaskKey, run: u32) {
        let fails = self.failing_tasks.contains(task);
        let Some(worker) = self
            .workers
            .get_mut(id)
            .filter(|worker| worker.up && worker.listing.incarnation == incarnation)
        else {
            return;
        };
        if worker.runs.get(task).is_none_or(|each| each.number != run) {
            return;
        }
        let how = if fails { RunEnd::Failed } else { RunEnd::Done };
        let now = self.now;
        worker.end_run(task, how, now);
        let ended: Vec<_> = worker.ended.last().cloned().into_iter().collect();
        self.checker.record_end(id, task, run, !fails, fails);
        self.answer_waiting_poll(id);
        self.break_gangs(&ended);
    }

    /// Schedules the end of the runs on a worker for the present end of its lease.
    pub(super) fn schedule_lease_end(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let clock = worker.clock_ms(self.now);
        let remaining = Duration::from_millis(worker.lease_end.saturating_sub(clock));
        let expires = Event::LeaseExpires(id.clone(), worker.listing.incarnation);
        self.schedule(remaining, expires);
    }

    pub(super) fn lease_expires(&mut self, id: &WorkerId, incarnation: u64) {
        let now = self.now;
        let Some(worker) = self
            .workers
            .get_mut(id)
            .filter(|worker| worker.up && worker.listing.incarnation == incarnation)
        else {
            return;
        };
        let last_end = worker.last_end;
        worker.expire_lease(now);
        let ended: Vec<_> = worker
            .ended
            .iter()
            .filter(|end| end.number > last_end)
            .cloned()
            .collect();
        for end in &ended {
            self.checker
                .record_end(id, &end.task, end.run, false, false);
        }
        self.break_gangs(&ended);
    }
}
