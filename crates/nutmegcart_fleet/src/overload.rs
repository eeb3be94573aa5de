//! Relieves workers whose tasks use more than the worker's capacity.

use std::time::Duration;

use crate::placement::Reservation;
use crate::resources::Resources;
use crate::scheduler_action::SchedulerAction;
use crate::scheduling_round::SchedulingRound;
use crate::task::AttemptId;
use crate::task::TaskPhase;

/// Time after an action against overload in which no throttle is lifted, so that a task does not
/// alternate between the two states.
const THROTTLE_HOLD: Duration = Duration::from_secs(10);

impl SchedulingRound<'_> {
    /// Takes at most one action for each worker and report: throttle, else checkpoint, else stop.
    ///
    /// Reports lag, so a report made before the last action does not show its effect.
    pub fn relieve_overload(&mut self, actions: &mut Vec<SchedulerAction>) {
        for slot in 0..self.loads.len() {
            let tracked = &self.workers[slot];
            if tracked
                .last_report
                .is_none_or(|reported_at| reported_at <= tracked.last_relief)
            {
                continue;
            }
            let sum = tracked
                .usage
                .values()
                .fold(Resources::default(), |sum, usage| sum + *usage);
            let capacity = tracked.worker.capacity;
            let acted = if sum.memory > capacity.memory {
                self.evict(slot, |usage| usage.memory)
            } else if sum.cpu > capacity.cpu {
                self.throttle(slot, actions) || self.evict(slot, |usage| usage.cpu)
            } else {
                false
            };
            if acted {
                self.workers[slot].last_relief = self.now;
            }
        }
    }

    /// Returns the last reported usage of a task.
    fn usage(&self, slot: usize, reservation: Reservation) -> Resources {
        let usage = &self.workers[slot].usage;
        let task = self.task(reservation);
        task.and_then(|task| usage.get(&task.attempt).copied())
            .unwrap_or_default()
    }

    /// Throttles the deferrable task whose processor use exceeds its reservation at the start by the
    /// largest amount.
    fn throttle(&mut self, slot: usize, actions: &mut Vec<SchedulerAction>) -> bool {
        let granted =
            |reservation: Reservation| self.task(reservation).map_or(0, |task| task.granted_cpu);
        let excess = |reservation: &Reservation| {
            let used = self.usage(slot, *reservation).cpu;
            used.saturating_sub(granted(*reservation))
        };
        let candidates = self.loads[slot]
            .reservations
            .iter()
            .copied()
            .filter(|reservation| {
                let unthrottled = |task: &crate::Task| {
                    task.phase == TaskPhase::Running && task.cpu_limit.is_none()
                };
                !self.round_jobs[reservation.job].urgent
                    && self.task(*reservation).is_some_and(unthrottled)
            });
        let worst = candidates
            .max_by_key(excess)
            .filter(|reservation| excess(reservation) > 0);
        let Some(reservation) = worst else {
            return false;
        };
        let limit = Some(granted(reservation));
        self.set_cpu_limit(slot, reservation, limit, actions);
        true
    }

    /// Lifts the limits of throttled tasks whose learnt size fits again.
    ///
    /// This comes before the start of deferrable tasks, which would otherwise take the capacity.
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
                let full_cpu = self.round_jobs[reservation.job].size.cpu;
                let missing = full_cpu.saturating_sub(reservation.size.cpu);
                if missing <= self.loads[slot].spare().cpu {
                    self.loads[slot].reserved.cpu += missing;
                    self.loads[slot].reservations[at].size.cpu += missing;
                    self.set_cpu_limit(slot, reservation, None, actions);
                }
            }
        }
    }

    /// Sets or lifts the processor limit of a task.
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

    /// Ends the preemptible task that uses most of a resource, by a checkpoint if any task can be
    /// checkpointed and otherwise by a stop.
    fn evict(&mut self, slot: usize, resource: impl Fn(Resources) -> u64) -> bool {
        let reservations = &self.loads[slot].reservations;
        let candidates = (0..reservations.len()).filter(|&at| {
            let reservation = reservations[at];
            let running = |task: &crate::Task| task.phase == TaskPhase::Running;
            self.round_jobs[reservation.job].is_preemptible()
                && self.task(reservation).is_some_and(running)
        });
        let worst = candidates.max_by_key(|&at| {
            let reservation = reservations[at];
            let checkpoint = self.round_jobs[reservation.job].checkpoint;
            (checkpoint, resource(self.usage(slot, reservation)))
        });
        if let Some(at) = worst {
            self.end_task(slot, at);
        }
        worst.is_some()
    }
}
