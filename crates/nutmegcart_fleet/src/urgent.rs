//! Starts of urgent tasks, and the room that is made for them.

use crate::placement::Reservation;
use crate::placement::WorkerLoad;
use crate::resources::Resources;
use crate::scheduler_action::SchedulerAction;
use crate::scheduling_round::SchedulingRound;
use crate::scheduling_round::begin;
use crate::task::Task;
use crate::task::TaskPhase;

/// A task keeps this part of its learnt size when it is throttled for an urgent one.
const FLOOR_PARTS: u64 = 4;

impl SchedulingRound<'_> {
    /// Starts urgent tasks, and ends deferrable ones where nothing is free.
    pub fn start_urgent(&mut self, actions: &mut Vec<SchedulerAction>) {
        let urgent: Vec<usize> = (0..self.jobs.len())
            .filter(|&job| self.entries[job].urgent && self.jobs[job].1.may_start(self.now))
            .collect();
        for job in urgent {
            let mut claiming = false;
            while let Some(index) = self.candidate(job) {
                if !self.ledger.allows(&self.jobs[job].1.charge, self.teams) {
                    break;
                }
                // All tasks of the job have one size, so after a claim no further one fits now.
                let mut chosen = None;
                if !claiming {
                    chosen = self.choose(job, index, WorkerLoad::spare);
                    chosen = chosen.or_else(|| self.squeeze(job, actions));
                }
                if let Some(place) = chosen {
                    self.start(job, index, place);
                } else if self.claim(job, index) {
                    claiming = true;
                } else {
                    break;
                }
            }
        }
        self.hurry();
    }

    /// Makes processor room by throttling deferrable tasks, which costs no progress already made.
    fn squeeze(&mut self, job: usize, actions: &mut Vec<SchedulerAction>) -> Option<usize> {
        let size = self.entries[job].size;
        let pool = &self.pools[self.entries[job].pool?];
        let lacking = |place: usize| size.cpu.saturating_sub(self.seats[place].spare().cpu);
        let able = pool.iter().copied().filter(|&place| {
            let seat = &self.seats[place];
            let mut room = seat.spare();
            room.cpu = size.cpu;
            let given: u64 = seat.tasks.iter().map(|task| self.yields(*task)).sum();
            seat.accepts() && size.fits(room) && lacking(place) <= given
        });
        let place = able.min_by_key(|&place| lacking(place))?;
        let mut rest = lacking(place);
        for at in 0..self.seats[place].tasks.len() {
            let holding = self.seats[place].tasks[at];
            let part = self.yields(holding).min(rest);
            if part > 0 {
                rest -= part;
                self.limit(place, holding, Some(holding.size.cpu - part), actions);
                self.seats[place].used.cpu -= part;
                self.seats[place].tasks[at].size.cpu -= part;
            }
        }
        Some(place)
    }

    /// Returns the processor use that throttling may take from a task.
    fn yields(&self, holding: Reservation) -> u64 {
        let running = |task: &Task| task.phase == TaskPhase::Running;
        if self.entries[holding.job].urgent || !self.task(holding).is_some_and(running) {
            return 0;
        }
        let floor = self.entries[holding.job].size.cpu / FLOOR_PARTS;
        holding.size.cpu.saturating_sub(floor)
    }

    /// Reserves room that will be free soon, and makes it if there is none.
    fn claim(&mut self, job: usize, index: u32) -> bool {
        let soon = self.choose(job, index, WorkerLoad::later);
        let Some(place) = soon.or_else(|| self.make_room(job)) else {
            return false;
        };
        self.seats[place].claimed += self.entries[job].size;
        self.ledger.charge(&self.jobs[job].1.charge);
        true
    }

    /// Ends the fewest and smallest deferrable tasks that make room on one worker.
    fn make_room(&mut self, job: usize) -> Option<usize> {
        let size = self.entries[job].size;
        let pool = &self.pools[self.entries[job].pool?];
        let mut chosen: Option<(usize, f64, usize, Vec<usize>)> = None;
        for &place in pool {
            let Some(victims) = self.victims(place, size) else {
                continue;
            };
            let seat = &self.seats[place];
            let shares = victims.iter().map(|&at| seat.tasks[at].size);
            let lost = shares.map(|size| size.share(seat.capacity)).sum();
            let better = chosen
                .as_ref()
                .is_none_or(|(count, least, ..)| (victims.len(), lost) < (*count, *least));
            if better {
                chosen = Some((victims.len(), lost, place, victims));
            }
        }
        let (_, _, place, victims) = chosen?;
        for at in victims {
            self.end(place, at);
        }
        Some(place)
    }

    /// Returns deferrable tasks whose end makes room for the size, largest first.
    fn victims(&self, place: usize, size: Resources) -> Option<Vec<usize>> {
        let seat = &self.seats[place];
        if !seat.accepts() || !size.fits(seat.capacity) {
            return None;
        }
        let mut able: Vec<usize> = (0..seat.tasks.len())
            .filter(|&at| self.can_end(seat.tasks[at]))
            .collect();
        able.sort_by(|&a, &b| {
            let share = |at: usize| seat.tasks[at].size.share(seat.capacity);
            share(b).total_cmp(&share(a))
        });
        let after = |victims: &[usize]| {
            let freed = victims
                .iter()
                .fold(seat.leaving, |sum, &at| sum + seat.tasks[at].size);
            let rest = seat.used.saturating_sub(freed) + seat.claimed;
            seat.capacity.saturating_sub(rest)
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

    pub fn can_end(&self, holding: Reservation) -> bool {
        let running = self
            .task(holding)
            .is_some_and(|task| task.phase == TaskPhase::Running);
        running && self.entries[holding.job].gives_way()
    }

    /// Cuts checkpoints short that keep an urgent task waiting, if the task may run again.
    fn hurry(&mut self) {
        for seat in &self.seats {
            if seat.claimed == Resources::default() {
                continue;
            }
            for holding in &seat.tasks {
                let idempotent = self.entries[holding.job].idempotent;
                let Some(task) = self.jobs[holding.job].1.tasks.get_mut(&holding.index) else {
                    continue;
                };
                let late = self.now >= task.since + self.settings.checkpoint;
                if idempotent && late && task.phase == TaskPhase::Checkpointing {
                    begin(task, TaskPhase::Stopping, self.now);
                    *self.dirty = true;
                }
            }
        }
    }
}
