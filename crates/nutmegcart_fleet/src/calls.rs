//! Calls to workers: unconfirmed starts and ends, and renewals of leases.

use std::time::Duration;

use crate::scheduler_action::SchedulerAction;
use crate::scheduling_round::SchedulingRound;
use crate::task::AttemptId;
use crate::task::TaskPhase;
use crate::task_scheduler::TaskScheduler;

/// Time after which a call that ends a task is repeated; the answer tells when it has ended.
const POLL: Duration = Duration::from_millis(200);
/// A lease is renewed when less than three quarters of it are left, so one lost renewal is safe.
const RENEW_PARTS: u32 = 4;

impl<'a> SchedulingRound<'a> {
    /// Emits the calls of tasks whose start or end is not confirmed.
    pub fn call(&mut self, actions: &mut Vec<SchedulerAction>) {
        for (number, (name, job)) in self.jobs.iter_mut().enumerate() {
            for (&index, task) in &mut job.tasks {
                let again = match task.phase {
                    TaskPhase::Starting => self.settings.repeat,
                    TaskPhase::Checkpointing | TaskPhase::Stopping => POLL,
                    TaskPhase::Waiting | TaskPhase::Running => continue,
                };
                if task.sent.is_some_and(|sent| self.now < sent + again) {
                    continue;
                }
                let Some(worker) = task.worker.clone() else {
                    continue;
                };
                task.sent = Some(self.now);
                let id = |number| AttemptId {
                    job: (*name).clone(),
                    index,
                    number,
                };
                let attempt = id(task.attempt);
                actions.push(match task.phase {
                    TaskPhase::Starting => SchedulerAction::Start {
                        worker,
                        attempt,
                        size: self.entries[number].size,
                        boot: task.boot,
                        until: task.until,
                        from: task.saved.map(id),
                    },
                    TaskPhase::Checkpointing => SchedulerAction::Checkpoint {
                        worker,
                        attempt,
                        boot: task.boot,
                    },
                    _ => SchedulerAction::Stop {
                        worker,
                        attempt,
                        boot: task.boot,
                    },
                });
            }
        }
    }

    /// Extends leases on workers that report, up to the permit for tasks that must not run twice.
    pub fn renew(
        scheduler: &'a mut TaskScheduler,
        now: Duration,
        permit: Duration,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let settings = scheduler.settings;
        let early = settings.lease * (RENEW_PARTS - 1) / RENEW_PARTS;
        let mut lists: Vec<Vec<(AttemptId, Duration)>> = vec![Vec::new(); scheduler.stations.len()];
        for (name, job) in &mut scheduler.state.jobs {
            let idempotent = job.spec.as_ref().is_some_and(|spec| spec.idempotent);
            for (&index, task) in &mut job.tasks {
                let held = matches!(task.phase, TaskPhase::Running | TaskPhase::Checkpointing);
                if !held || now + early < task.until {
                    continue;
                }
                let place = task.worker.as_ref().and_then(|id| scheduler.places.get(id));
                let Some(&place) = place else {
                    continue;
                };
                let longest = now + settings.lease;
                let until = if idempotent {
                    longest
                } else {
                    longest.min(permit)
                };
                if until <= task.until || scheduler.stations[place].is_silent(now, &settings) {
                    continue;
                }
                task.until = until;
                let attempt = AttemptId {
                    job: name.clone(),
                    index,
                    number: task.attempt,
                };
                lists[place].push((attempt, until));
            }
        }
        for (place, leases) in lists.into_iter().enumerate() {
            if !leases.is_empty() {
                let worker = scheduler.stations[place].worker.id.clone();
                actions.push(SchedulerAction::Renew { worker, leases });
            }
        }
    }
}
