//! Relief of workers whose tasks use more than the worker has.

use crate::action::Action;
use crate::placement::Holding;
use crate::round::Round;
use crate::size::Size;
use crate::task::AttemptId;
use crate::task::Phase;

/// Share of the processors below which a throttled task is released, in percent. The distance to
/// 100 keeps a task from alternating between the two states.
const CALM_CPU: u64 = 80;

impl Round<'_> {
    /// Takes at most one step for each worker and report: throttle, then checkpoint, then stop.
    ///
    /// Reports lag, so a report made before the last step says nothing about its effect.
    pub fn relieve(&mut self, actions: &mut Vec<Action>) {
        for place in 0..self.seats.len() {
            let station = &self.stations[place];
            if station.heard.is_none_or(|heard| heard <= station.acted) {
                continue;
            }
            let sum = station
                .usage
                .values()
                .fold(Size::default(), |sum, usage| sum + *usage);
            let capacity = station.worker.capacity;
            let acted = if sum.memory > capacity.memory {
                self.evict(place, |usage| usage.memory)
            } else if sum.cpu > capacity.cpu {
                self.throttle(place, actions) || self.evict(place, |usage| usage.cpu)
            } else if sum.cpu * 100 < capacity.cpu * CALM_CPU {
                self.lift(place, sum, actions)
            } else {
                false
            };
            if acted {
                self.stations[place].acted = self.now;
            }
        }
    }

    fn usage(&self, place: usize, holding: Holding) -> Size {
        let usage = &self.stations[place].usage;
        let task = self.task(holding);
        task.and_then(|task| usage.get(&task.attempt).copied())
            .unwrap_or_default()
    }

    /// Limits the deferrable task that exceeds what it was given at its start by most.
    fn throttle(&mut self, place: usize, actions: &mut Vec<Action>) -> bool {
        let granted = |holding: Holding| self.task(holding).map_or(0, |task| task.granted);
        let excess = |holding: &Holding| {
            let used = self.usage(place, *holding).cpu;
            used.saturating_sub(granted(*holding))
        };
        let able = self.seats[place].tasks.iter().copied().filter(|holding| {
            let free = |task: &crate::Task| task.phase == Phase::Running && !task.throttled;
            !self.entries[holding.job].urgent && self.task(*holding).is_some_and(free)
        });
        let worst = able
            .max_by_key(excess)
            .filter(|holding| excess(holding) > 0);
        let Some(holding) = worst else {
            return false;
        };
        let limit = Some(granted(holding));
        self.limit(place, holding, limit, actions);
        true
    }

    /// Releases one throttled task if its learnt size would still fit.
    fn lift(&mut self, place: usize, sum: Size, actions: &mut Vec<Action>) -> bool {
        let capacity = self.seats[place].capacity.cpu;
        let throttled = self.seats[place].tasks.iter().copied().find(|holding| {
            let extra = self.entries[holding.job].size.cpu;
            self.task(*holding).is_some_and(|task| task.throttled)
                && (sum.cpu + extra) * 100 <= capacity * CALM_CPU
        });
        let Some(holding) = throttled else {
            return false;
        };
        self.limit(place, holding, None, actions);
        true
    }

    fn limit(
        &mut self,
        place: usize,
        holding: Holding,
        cpu: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        let worker = self.stations[place].worker.id.clone();
        let (name, job) = &mut self.jobs[holding.job];
        let Some(task) = job.tasks.get_mut(&holding.index) else {
            return;
        };
        task.throttled = cpu.is_some();
        *self.counter += 1;
        *self.dirty = true;
        actions.push(Action::Throttle {
            worker,
            attempt: AttemptId {
                job: (*name).clone(),
                index: holding.index,
                number: task.attempt,
            },
            cpu,
            number: *self.counter,
        });
    }

    /// Checkpoints the task that uses most; stops one if none can be checkpointed.
    fn evict(&mut self, place: usize, resource: impl Fn(Size) -> u64) -> bool {
        let tasks = &self.seats[place].tasks;
        let able = (0..tasks.len()).filter(|&at| {
            let holding = tasks[at];
            let running = |task: &crate::Task| task.phase == Phase::Running;
            self.entries[holding.job].gives_way() && self.task(holding).is_some_and(running)
        });
        let worst = able.max_by_key(|&at| {
            let holding = tasks[at];
            let checkpoint = self.entries[holding.job].checkpoint;
            (checkpoint, resource(self.usage(place, holding)))
        });
        if let Some(at) = worst {
            self.end(place, at);
        }
        worst.is_some()
    }
}
