//! Throttles best-effort tasks while serving tasks on the same worker miss their latency target.

use std::time::Duration;

use crate::action::WorkerOrder;
use crate::job::TaskKey;
use crate::scheduler::Scheduler;
use crate::worker::RunState;

/// Minimum time between changes of a run's speed limit; the platform's metrics cover 500 ms.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(700);
/// Share of the latency target above which best-effort tasks are slowed down, in percent.
const HIGH_PERCENT: u64 = 90;
/// Share of the latency target below which best-effort tasks are sped up again, in percent.
const LOW_PERCENT: u64 = 60;
/// Increase of the speed limit at a time, in percent of full speed.
const INCREASE_PERCENT: u32 = 20;
/// Speed limit below which a best-effort task is paused, in percent of full speed.
const MIN_SPEED_PERCENT: u32 = 15;

/// Returns the next speed limit, in percent, of best-effort tasks beside a serving task.
///
/// `tail` is the tail latency of the serving task, and `target` the bound on it. Halving reaches a
/// harmless speed within three readings, and small increases find the highest speed that the
/// target allows, so the target is not missed for seconds on end.
///
/// ```
/// # use nutmegcart_jobs::throttling::next_speed_limit;
/// assert_eq!(next_speed_limit(100, 120, 100), 50);
/// assert_eq!(next_speed_limit(100, 250, 100), 0);
/// assert_eq!(next_speed_limit(50, 40, 100), 70);
/// assert_eq!(next_speed_limit(50, 80, 100), 50);
/// ```
#[must_use]
pub fn next_speed_limit(limit: u32, tail: u64, target: u64) -> u32 {
    if tail * 100 > target * 2 * HIGH_PERCENT {
        return 0;
    }
    if tail * 100 > target * HIGH_PERCENT {
        let half = limit / 2;
        return if half < MIN_SPEED_PERCENT { 0 } else { half };
    }
    if tail * 100 < target * LOW_PERCENT {
        return (limit + INCREASE_PERCENT).min(100);
    }
    limit
}

impl Scheduler {
    /// Sets the speed limits of best-effort tasks by the tail latency of serving tasks beside them.
    pub(crate) fn throttle(&mut self, now: Duration) {
        let mut orders = Vec::new();
        for worker in self.workers.values_mut() {
            if worker.unreachable_since.is_some() {
                continue;
            }
            let serving = worker
                .runs
                .iter()
                .filter(|(_, run)| run.serving && run.state == RunState::Running);
            let mut worst: Option<(u64, u64)> = None;
            for (key, run) in serving {
                let job = self.jobs.get(&key.job);
                let target = job
                    .and_then(|job| job.step(key))
                    .map_or(0, |step| step.target_ms);
                if target == 0 || run.progress < 100 {
                    continue;
                }
                let tail = u64::from(run.metric);
                if worst.is_none_or(|(other, bound)| tail * bound > other * target) {
                    worst = Some((tail, target));
                }
            }
            for (key, run) in &mut worker.runs {
                if !run.best_effort
                    || run.state != RunState::Running
                    || now < run.limited_at + MIN_CHANGE_INTERVAL
                {
                    continue;
                }
                let limit = worst.map_or(100, |(tail, target)| {
                    next_speed_limit(run.speed_limit, tail, target)
                });
                if limit != run.speed_limit {
                    run.speed_limit = limit;
                    run.limited_at = now;
                    orders.push((worker.listing.id.clone(), key.clone(), run.number, limit));
                }
            }
        }
        for (id, task, run, percent) in orders {
            let task: TaskKey = task;
            self.order(&id, WorkerOrder::Throttle { task, run, percent });
        }
    }
}
