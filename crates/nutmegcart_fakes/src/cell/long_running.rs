//! Check that long-running tasks run whenever there is room for them.

use nutmegcart_fleet::Resources;
use nutmegcart_jobs::JobRecord;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::TaskKey;
use nutmegcart_model::PoolName;

use crate::cell::CellSimulation;
use crate::cell::worker::FakeWorker;

/// Number of workers that have to have room for a long-running task before its restart is demanded.
const MIN_WORKERS_WITH_ROOM: usize = 2;

impl CellSimulation {
    /// Checks that no long-running task of an open job is left without a run although there is room
    /// for it, and returns the tasks that are; to be called at least every 100 ms.
    ///
    /// Other tasks do not count as occupying room, because they are stopped for long-running ones.
    pub fn check_long_running(&mut self) -> Vec<TaskKey> {
        let mut tasks = Vec::new();
        for (id, (record, _)) in &self.store.jobs {
            let JobRecord::Accepted(accepted) = record else {
                continue;
            };
            for (number, step) in (0_u16..).zip(&accepted.job.steps) {
                if !step.long_running || !step.after.is_empty() {
                    continue;
                }
                for index in 0..step.count {
                    let task = TaskKey {
                        job: id.clone(),
                        occurrence: 0,
                        step: number,
                        index,
                    };
                    let room = self.workers_with_room(&accepted.queue.pool, step, &task);
                    tasks.push((task, room >= MIN_WORKERS_WITH_ROOM));
                }
            }
        }
        let now = self.now;
        tasks.retain(|(task, room)| self.checker.check_long_running(task, *room, now));
        tasks.into_iter().map(|(task, _)| task).collect()
    }

    fn workers_with_room(&self, pool: &PoolName, step: &Step, task: &TaskKey) -> usize {
        let has_room = |worker: &&FakeWorker| {
            let same = worker
                .runs
                .keys()
                .filter(|other| other.job == task.job && other.step == task.step);
            let long_running = worker.runs.values().filter(|run| run.long_running);
            let used = long_running.fold(Resources::default(), |sum, run| sum + run.allocation);
            let free = worker.listing.capacity.saturating_sub(used);
            worker.up
                && worker.listing.pool == *pool
                && !worker.listing.draining
                && self.entries.contains(&worker.listing.id)
                && (step.per_worker == 0 || same.count() < step.per_worker as usize)
                && step.allocation().fits(free)
        };
        self.workers.values().filter(has_room).count()
    }
}
