//! Starts urgent tasks and frees resources for them.

use crate::placement::Reservation;
use crate::placement::WorkerLoad;
use crate::resources::Resources;
use crate::scheduler_action::SchedulerAction;
use crate::scheduling_round::SchedulingRound;
use crate::scheduling_round::enter_phase;
use crate::task::Task;
use crate::task::TaskPhase;

/// A throttled task keeps at least its learnt processor use divided by this.
const THROTTLE_FLOOR_DIVISOR: u64 = 4;

impl SchedulingRound<'_> {
    /// Starts urgent tasks; throttles or ends deferrable ones where too little is free.
    pub fn start_urgent(&mut self, actions: &mut Vec<SchedulerAction>) {
        let urgent: Vec<usize> = (0..self.jobs.len())
            .filter(|&job| self.round_jobs[job].urgent && self.jobs[job].1.may_start(self.now))
            .collect();
        for job in urgent {
            let mut has_claimed = false;
            while let Some(index) = self.next_task(job) {
                if !self.ledger.allows(&self.jobs[job].1.charge, self.teams) {
                    break;
                }
                // All tasks of the job have the same size, so once one had to wait no other one
                // fits now.
                let mut chosen = None;
                if !has_claimed {
                    chosen = self.choose_worker(job, index, WorkerLoad::spare);
                    chosen = chosen.or_else(|| self.throttle_for(job, actions));
                }
                if let Some(slot) = chosen {
                    self.start(job, index, slot);
                } else if self.claim_room(job, index) {
                    has_claimed = true;
                } else {
                    break;
                }
            }
        }
        self.cut_checkpoints_short();
    }

    /// Frees processor capacity by throttling deferrable tasks, which loses no progress.
    ///
    /// Returns the worker that needs the least throttling.
    fn throttle_for(&mut self, job: usize, actions: &mut Vec<SchedulerAction>) -> Option<usize> {
        let size = self.round_jobs[job].size;
        let pool = &self.pools[self.round_jobs[job].pool?];
        let missing = |slot: usize| size.cpu.saturating_sub(self.loads[slot].spare().cpu);
        let candidates = pool.iter().copied().filter(|&slot| {
            let load = &self.loads[slot];
            let mut room = load.spare();
            room.cpu = size.cpu;
            let throttleable: u64 = load
                .reservations
                .iter()
                .map(|task| self.throttleable_cpu(*task))
                .sum();
            load.accepts() && size.fits(room) && missing(slot) <= throttleable
        });
        let slot = candidates.min_by_key(|&slot| missing(slot))?;
        let mut remaining = missing(slot);
        for at in 0..self.loads[slot].reservations.len() {
            let reservation = self.loads[slot].reservations[at];
            let part = self.throttleable_cpu(reservation).min(remaining);
            if part > 0 {
                remaining -= part;
                self.set_cpu_limit(
                    slot,
                    reservation,
                    Some(reservation.size.cpu - part),
                    actions,
                );
                self.loads[slot].reserved.cpu -= part;
                self.loads[slot].reservations[at].size.cpu -= part;
            }
        }
        Some(slot)
    }

    /// Returns the processor capacity that throttling a task can free.
    fn throttleable_cpu(&self, reservation: Reservation) -> u64 {
        let running = |task: &Task| task.phase == TaskPhase::Running;
        if self.round_jobs[reservation.job].urgent || !self.task(reservation).is_some_and(running) {
            return 0;
        }
        let floor = self.round_jobs[reservation.job].size.cpu / THROTTLE_FLOOR_DIVISOR;
        reservation.size.cpu.saturating_sub(floor)
    }

    /// Claims resources that will be free soon, and ends deferrable tasks if there are none.
    ///
    /// Returns whether a worker was found.
    fn claim_room(&mut self, job: usize, index: u32) -> bool {
        let free_later = self.choose_worker(job, index, WorkerLoad::room_later);
        let Some(slot) = free_later.or_else(|| self.preempt(job)) else {
            return false;
        };
        self.loads[slot].claimed += self.round_jobs[job].size;
        self.ledger.charge(&self.jobs[job].1.charge);
        true
    }

    /// Ends the fewest and smallest deferrable tasks that free enough resources on one worker.
    fn preempt(&mut self, job: usize) -> Option<usize> {
        let size = self.round_jobs[job].size;
        let pool = &self.pools[self.round_jobs[job].pool?];
        let mut chosen: Option<(usize, f64, usize, Vec<usize>)> = None;
        for &slot in pool {
            let Some(victims) = self.victims(slot, size) else {
                continue;
            };
            let load = &self.loads[slot];
            let shares = victims.iter().map(|&at| load.reservations[at].size);
            let lost = shares.map(|size| size.share(load.capacity)).sum();
            let better = chosen
                .as_ref()
                .is_none_or(|(count, least, ..)| (victims.len(), lost) < (*count, *least));
            if better {
                chosen = Some((victims.len(), lost, slot, victims));
            }
        }
        let (_, _, slot, victims) = chosen?;
        for at in victims {
            self.end_task(slot, at);
        }
        Some(slot)
    }

    /// Returns positions in a worker's reservations of deferrable tasks whose end frees enough
    /// resources, largest first; none if ending all of them would not be enough.
    fn victims(&self, slot: usize, size: Resources) -> Option<Vec<usize>> {
        let load = &self.loads[slot];
        if !load.accepts() || !size.fits(load.capacity) {
            return None;
        }
        let mut candidates: Vec<usize> = (0..load.reservations.len())
            .filter(|&at| self.can_end(load.reservations[at]))
            .collect();
        candidates.sort_by(|&a, &b| {
            let share = |at: usize| load.reservations[at].size.share(load.capacity);
            share(b).total_cmp(&share(a))
        });
        let after = |victims: &[usize]| {
            let freed = victims
                .iter()
                .fold(load.ending, |sum, &at| sum + load.reservations[at].size);
            let rest = load.reserved.saturating_sub(freed) + load.claimed;
            load.capacity.saturating_sub(rest)
        };
        let mut victims = Vec::new();
        for at in candidates {
            if size.fits(after(&victims)) {
                break;
            }
            victims.push(at);
        }
        if !size.fits(after(&victims)) {
            return None;
        }
        // A task chosen later may make an earlier choice unnecessary.
        for at in victims.clone() {
            let fewer: Vec<usize> = victims.iter().copied().filter(|&v| v != at).collect();
            if size.fits(after(&fewer)) {
                victims = fewer;
            }
        }
        Some(victims)
    }

    /// Returns whether the task is running and may be ended for others.
    pub fn can_end(&self, reservation: Reservation) -> bool {
        let running = self
            .task(reservation)
            .is_some_and(|task| task.phase == TaskPhase::Running);
        running && self.round_jobs[reservation.job].is_preemptible()
    }

    /// Stops idempotent tasks whose checkpoints delay an urgent task for too long.
    fn cut_checkpoints_short(&mut self) {
        for load in &self.loads {
            if load.claimed == Resources::default() {
                continue;
            }
            for reservation in &load.reservations {
                let idempotent = self.round_jobs[reservation.job].idempotent;
                let Some(task) = self.jobs[reservation.job]
                    .1
                    .tasks
                    .get_mut(&reservation.index)
                else {
                    continue;
                };
                let late = self.now >= task.phase_start + self.settings.checkpoint_limit;
                if idempotent && late && task.phase == TaskPhase::Checkpointing {
                    enter_phase(task, TaskPhase::Stopping, self.now);
                    *self.needs_write = true;
                }
            }
        }
    }
}
