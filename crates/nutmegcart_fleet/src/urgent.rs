//! Starts of urgent tasks, and the room that is made for them.

use crate::placement::Reservation;
use crate::placement::WorkerLoad;
use crate::resources::Resources;
use crate::scheduler_action::SchedulerAction;
use crate::scheduling_round::SchedulingRound;
use crate::scheduling_round::enter_phase;
use crate::task::Task;
use crate::task::TaskPhase;

/// A task keeps this part of its learnt size when it is throttled for an urgent one.
const THROTTLE_FLOOR_DIVISOR: u64 = 4;

impl SchedulingRound<'_> {
    /// Starts urgent tasks, and ends deferrable ones where nothing is free.
    pub fn start_urgent(&mut self, actions: &mut Vec<SchedulerAction>) {
        let urgent: Vec<usize> = (0..self.jobs.len())
            .filter(|&job| self.round_jobs[job].urgent && self.jobs[job].1.may_start(self.now))
            .collect();
        for job in urgent {
            let mut claiming = false;
            while let Some(index) = self.next_task(job) {
                if !self.ledger.allows(&self.jobs[job].1.charge, self.teams) {
                    break;
                }
                // All tasks of the job have one size, so after a claim no further one fits now.
                let mut chosen = None;
                if !claiming {
                    chosen = self.choose_worker(job, index, WorkerLoad::spare);
                    chosen = chosen.or_else(|| self.throttle_for(job, actions));
                }
                if let Some(slot) = chosen {
                    self.start(job, index, slot);
                } else if self.claim_room(job, index) {
                    claiming = true;
                } else {
                    break;
                }
            }
        }
        self.cut_checkpoints_short();
    }

    /// Makes processor room by throttling deferrable tasks, which costs no progress already made.
    fn throttle_for(&mut self, job: usize, actions: &mut Vec<SchedulerAction>) -> Option<usize> {
        let size = self.round_jobs[job].size;
        let pool = &self.pools[self.round_jobs[job].pool?];
        let lacking = |slot: usize| size.cpu.saturating_sub(self.loads[slot].spare().cpu);
        let able = pool.iter().copied().filter(|&slot| {
            let load = &self.loads[slot];
            let mut room = load.spare();
            room.cpu = size.cpu;
            let given: u64 = load
                .reservations
                .iter()
                .map(|task| self.throttleable_cpu(*task))
                .sum();
            load.accepts() && size.fits(room) && lacking(slot) <= given
        });
        let slot = able.min_by_key(|&slot| lacking(slot))?;
        let mut rest = lacking(slot);
        for at in 0..self.loads[slot].reservations.len() {
            let reservation = self.loads[slot].reservations[at];
            let part = self.throttleable_cpu(reservation).min(rest);
            if part > 0 {
                rest -= part;
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

    /// Returns the processor use that throttling may take from a task.
    fn throttleable_cpu(&self, reservation: Reservation) -> u64 {
        let running = |task: &Task| task.phase == TaskPhase::Running;
        if self.round_jobs[reservation.job].urgent || !self.task(reservation).is_some_and(running) {
            return 0;
        }
        let floor = self.round_jobs[reservation.job].size.cpu / THROTTLE_FLOOR_DIVISOR;
        reservation.size.cpu.saturating_sub(floor)
    }

    /// Reserves room that will be free soon, and makes it if there is none.
    fn claim_room(&mut self, job: usize, index: u32) -> bool {
        let soon = self.choose_worker(job, index, WorkerLoad::room_later);
        let Some(slot) = soon.or_else(|| self.preempt(job)) else {
            return false;
        };
        self.loads[slot].claimed += self.round_jobs[job].size;
        self.ledger.charge(&self.jobs[job].1.charge);
        true
    }

    /// Ends the fewest and smallest deferrable tasks that make room on one worker.
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

    /// Returns deferrable tasks whose end makes room for the size, largest first.
    fn victims(&self, slot: usize, size: Resources) -> Option<Vec<usize>> {
        let load = &self.loads[slot];
        if !load.accepts() || !size.fits(load.capacity) {
            return None;
        }
        let mut able: Vec<usize> = (0..load.reservations.len())
            .filter(|&at| self.can_end(load.reservations[at]))
            .collect();
        able.sort_by(|&a, &b| {
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
        for at in able {
            if size.fits(after(&victims)) {
                break;
            }
            victims.push(at);
        }
        if !size.fits(after(&victims)) {
            return None;
        }
        // A task taken early may have become superfluous through a later one.
        for at in victims.clone() {
            let fewer: Vec<usize> = victims.iter().copied().filter(|&v| v != at).collect();
            if size.fits(after(&fewer)) {
                victims = fewer;
            }
        }
        Some(victims)
    }

    pub fn can_end(&self, reservation: Reservation) -> bool {
        let running = self
            .task(reservation)
            .is_some_and(|task| task.phase == TaskPhase::Running);
        running && self.round_jobs[reservation.job].is_preemptible()
    }

    /// Cuts checkpoints short that keep an urgent task waiting, if the task may run again.
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
