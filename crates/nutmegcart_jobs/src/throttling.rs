//! Slowing fillers down while what serves beside them misses its response-time target.

use std::time::Duration;

use crate::action::WorkerOrder;
use crate::job::TaskKey;
use crate::scheduler::Scheduler;
use crate::worker::RunState;

/// Time between two changes of one run's pace; the platform's figures cover half a second.
const SETTLE: Duration = Duration::from_millis(700);
/// Share of the target above which fillers are slowed down, in percent.
const HIGH: u64 = 90;
/// Share of the target below which fillers are sped up again, in percent.
const LOW: u64 = 60;
/// Step by which fillers are sped up, in percent of their full speed.
const RAISE: u32 = 20;
/// Pace below which a filler is halted.
const LEAST: u32 = 15;

/// Returns the next pace of fillers beside a serving task whose tail is `tail` at most `target`.
///
/// Halving reaches a harmless pace within three readings, and small steps up find the most that
/// the target allows, so a target is not missed for seconds on end.
///
/// ```
/// # use nutmegcart_jobs::throttling::next_speed_limit;
/// assert_eq!(next_speed_limit(100, 120, 100), 50);
/// assert_eq!(next_speed_limit(100, 250, 100), 0);
/// assert_eq!(next_speed_limit(50, 40, 100), 70);
/// assert_eq!(next_speed_limit(50, 80, 100), 50);
/// ```
#[must_use]
pub fn next_speed_limit(pace: u32, tail: u64, target: u64) -> u32 {
    if tail * 100 > target * 2 * HIGH {
        return 0;
    }
    if tail * 100 > target * HIGH {
        let half = pace / 2;
        return if half < LEAST { 0 } else { half };
    }
    if tail * 100 < target * LOW {
        return (pace + RAISE).min(100);
    }
    pace
}

impl Scheduler {
    /// Sets the pace of fillers by the tails of the tasks that serve beside them.
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
                if worst.is_none_or(|(t, g)| tail * g > t * target) {
                    worst = Some((tail, target));
                }
            }
            for (key, run) in &mut worker.runs {
                if !run.best_effort
                    || run.state != RunState::Running
                    || now < run.limited_at + SETTLE
                {
                    continue;
                }
                let pace = worst.map_or(100, |(tail, target)| {
                    next_speed_limit(run.speed_limit, tail, target)
                });
                if pace != run.speed_limit {
                    run.speed_limit = pace;
                    run.limited_at = now;
                    orders.push((worker.listing.id.clone(), key.clone(), run.number, pace));
                }
            }
        }
        for (id, task, run, percent) in orders {
            let task: TaskKey = task;
            self.order(&id, WorkerOrder::Throttle { task, run, percent });
        }
    }
}
