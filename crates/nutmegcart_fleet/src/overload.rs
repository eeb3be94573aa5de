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
const CALM: Duration = Duration::from_secs(10);

impl SchedulingRound<'_> {
    /// Takes at most one step for each worker and report: throttle, then checkpoint, then stop.
    ///
    /// Reports lag, so a report made before the last step says nothing about its effect.
    pub fn relieve(&mut self, actions: &mut Vec<SchedulerAction>) {
        for place in 0..self.seats.len() {
            let station = &self.stations[place];
            if station.heard.is_none_or(|heard| heard <= station.acted) {
                continue;
            }
            let sum = station
                .usage
                .values()
                .fold(Resources::default(), |sum, usage| sum + *usage);
            let capacity = station.worker.capacity;
            let acted = if sum.memory > capacity.memory {
                self.evict(place, |usage| usage.memory)
            } else if sum.cpu > capacity.cpu {
                self.throttle(place, actions) || self.evict(place, |usage| usage.cpu)
            } else {
                false
            };
            if acted {
                self.stations[place].acted = self.now;
            }
        }
    }

    fn usage(&self, place: usize, holding: Reservation) -> Resources {
        let usage = &self.stations[place].usage;
        let task = self.task(holding);
        task.and_then(|task| usage.get(&task.attempt).copied())
            .unwrap_or_default()
    }

    /// Limits the deferrable task that exceeds what it was given at its start by most.
    fn throttle(&mut self, place: usize, actions: &mut Vec<SchedulerAction>) -> bool {
        let granted = |holding: Reservation| self.task(holding).map_or(0, |task| task.granted);
        let excess = |holding: &Reservation| {
            let used = self.usage(place, *holding).cpu;
            used.saturating_sub(granted(*holding))
        };
        let able = self.seats[place].tasks.iter().copied().filter(|holding| {
            let free =
                |task: &crate::Task| task.phase == TaskPhase::Running && task.limit.is_none();
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

    /// Releases throttled tasks whose learnt size fits again, before anything else may start there.
    pub fn restore(&mut self, actions: &mut Vec<SchedulerAction>) {
        for place in 0..self.seats.len() {
            if self.now < self.stations[place].acted + CALM {
                continue;
            }
            for at in 0..self.seats[place].tasks.len() {
                let holding = self.seats[place].tasks[at];
                if self.task(holding).is_none_or(|task| task.limit.is_none()) {
                    continue;
                }
                let full = self.entries[holding.job].size.cpu;
                let extra = full.saturating_sub(holding.size.cpu);
                if extra <= self.seats[place].spare().cpu {
                    self.seats[place].used.cpu += extra;
                    self.seats[place].tasks[at].size.cpu += extra;
                    self.limit(place, holding, None, actions);
                }
            }
        }
    }

    pub fn limit(
        &mut self,
        place: usize,
        holding: Reservation,
        cpu: Option<u64>,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let worker = self.stations[place].worker.id.clone();
        let (name, job) = &mut self.jobs[holding.job];
        let Some(task) = job.tasks.get_mut(&holding.index) else {
            return;
        };
        task.limit = cpu;
        *self.counter += 1;
        *self.dirty = true;
        actions.push(SchedulerAction::Throttle {
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
    fn evict(&mut self, place: usize, resource: impl Fn(Resources) -> u64) -> bool {
        let tasks = &self.seats[place].tasks;
        let able = (0..tasks.len()).filter(|&at| {
            let holding = tasks[at];
            let running = |task: &crate::Task| task.phase == TaskPhase::Running;
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
