//! Relief of workers whose tasks use more than the worker has.

use std::time::Duration;

use crate::placement::Reservation;
use crate::resources::Resources;
use crate::scheduler_action::SchedulerAction;
use crate::scheduling_round::SchedulingRound;
use crate::task::AttemptId;
use crate::task::TaskPhase;

/// Time after a step against overload in which no throttled task is released, so that a task does
/// not alternate between the two states.
const THROTTLE_HOLD: Duration = Duration::from_secs(10);

impl SchedulingRound<'_> {
    /// Takes at most one step for each worker and report: throttle, then checkpoint, then stop.
    ///
    /// Reports lag, so a report made before the last step says nothing about its effect.
    pub fn relieve_overload(&mut self, actions: &mut Vec<SchedulerAction>) {
        for slot in 0..self.loads.len() {
            let tracked = &self.workers[slot];
            if tracked
                .last_report
                .is_none_or(|last_report| last_report <= tracked.last_relief)
            {
                continue;
            }
            let sum = tracked
                .usage
                .values()
                .fold(Resources::default(), |sum, usage| sum + *usage);
            let capacity = tracked.worker.capacity;
            let last_relief = if sum.memory > capacity.memory {
                self.evict(slot, |usage| usage.memory)
            } else if sum.cpu > capacity.cpu {
                self.throttle(slot, actions) || self.evict(slot, |usage| usage.cpu)
            } else {
                false
            };
            if last_relief {
                self.workers[slot].last_relief = self.now;
            }
        }
    }

    fn usage(&self, slot: usize, reservation: Reservation) -> Resources {
        let usage = &self.workers[slot].usage;
        let task = self.task(reservation);
        task.and_then(|task| usage.get(&task.attempt).copied())
            .unwrap_or_default()
    }

    /// Limits the deferrable task that exceeds what it was given at its start by most.
    fn throttle(&mut self, slot: usize, actions: &mut Vec<SchedulerAction>) -> bool {
        let granted =
            |reservation: Reservation| self.task(reservation).map_or(0, |task| task.granted_cpu);
        let excess = |reservation: &Reservation| {
            let used = self.usage(slot, *reservation).cpu;
            used.saturating_sub(granted(*reservation))
        };
        let able = self.loads[slot]
            .reservations
            .iter()
            .copied()
            .filter(|reservation| {
                let free = |task: &crate::Task| {
                    task.phase == TaskPhase::Running && task.cpu_limit.is_none()
                };
                !self.round_jobs[reservation.job].urgent
                    && self.task(*reservation).is_some_and(free)
            });
        let worst = able
            .max_by_key(excess)
            .filter(|reservation| excess(reservation) > 0);
        let Some(reservation) = worst else {
            return false;
        };
        let limit = Some(granted(reservation));
        self.set_cpu_limit(slot, reservation, limit, actions);
        true
    }

    /// Releases throttled tasks whose learnt size fits again, before anything else may start there.
    pub fn lift_throttles(&mut self, actions: &mut Vec<SchedulerAction>) {
        for slot in 0..self.loads.len() {
            if self.now < self.workers[slot].last_relief + THROTTLE_HOLD {
                continue;
            }
            for at in 0..self.loads[slot].reservations.len() {
                let reservation = self.loads[slot].reservations[at];
                if self
                    .task(reservation)
                    .is_none_or(|task| task.cpu_limit.is_none())
                {
                    continue;
                }
                let full = self.round_jobs[reservation.job].size.cpu;
                let extra = full.saturating_sub(reservation.size.cpu);
                if extra <= self.loads[slot].spare().cpu {
                    self.loads[slot].reserved.cpu += extra;
                    self.loads[slot].reservations[at].size.cpu += extra;
                    self.set_cpu_limit(slot, reservation, None, actions);
                }
            }
        }
    }

    pub fn set_cpu_limit(
        &mut self,
        slot: usize,
        reservation: Reservation,
        cpu: Option<u64>,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let worker = self.workers[slot].worker.id.clone();
        let (name, job) = &mut self.jobs[reservation.job];
        let Some(task) = job.tasks.get_mut(&reservation.index) else {
            return;
        };
        task.cpu_limit = cpu;
        *self.counter += 1;
        *self.needs_write = true;
        actions.push(SchedulerAction::Throttle {
            worker,
            attempt: AttemptId {
                job: (*name).clone(),
                index: reservation.index,
                number: task.attempt,
            },
            cpu,
            number: *self.counter,
        });
    }

    /// Checkpoints the task that uses most; stops one if none can be checkpointed.
    fn evict(&mut self, slot: usize, resource: impl Fn(Resources) -> u64) -> bool {
        let tasks = &self.loads[slot].reservations;
        let able = (0..tasks.len()).filter(|&at| {
            let reservation = tasks[at];
            let running = |task: &crate::Task| task.phase == TaskPhase::Running;
            self.round_jobs[reservation.job].is_preemptible()
                && self.task(reservation).is_some_and(running)
        });
        let worst = able.max_by_key(|&at| {
            let reservation = tasks[at];
            let checkpoint = self.round_jobs[reservation.job].checkpoint;
            (checkpoint, resource(self.usage(slot, reservation)))
        });
        if let Some(at) = worst {
            self.end_task(slot, at);
        }
        worst.is_some()
    }
}
