//! Calls to workers: unconfirmed starts and ends, and renewals of leases.

use std::time::Duration;

use crate::scheduler_action::SchedulerAction;
use crate::scheduling_round::SchedulingRound;
use crate::task::AttemptId;
use crate::task::TaskPhase;
use crate::task_scheduler::TaskScheduler;

/// Time after which a call that ends a task is repeated; the answer tells when it has ended.
const END_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// A lease is renewed when less than three quarters of it are left, so one lost renewal is safe.
const RENEWALS_PER_LEASE: u32 = 4;

impl<'a> SchedulingRound<'a> {
    /// Emits the calls of tasks whose start or end is not confirmed.
    pub fn emit_calls(&mut self, actions: &mut Vec<SchedulerAction>) {
        for (number, (name, job)) in self.jobs.iter_mut().enumerate() {
            for (&index, task) in &mut job.tasks {
                let again = match task.phase {
                    TaskPhase::Starting => self.settings.start_retry,
                    TaskPhase::Checkpointing | TaskPhase::Stopping => END_POLL_INTERVAL,
                    TaskPhase::Waiting | TaskPhase::Running => continue,
                };
                if task.last_call.is_some_and(|last| self.now < last + again) {
                    continue;
                }
                let Some(worker) = task.worker.clone() else {
                    continue;
                };
                task.last_call = Some(self.now);
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
                        size: self.round_jobs[number].size,
                        boot: task.boot,
                        until: task.lease_end,
                        from: task.checkpoint.map(id),
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
        horizon: Duration,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let settings = scheduler.settings;
        let early = settings.lease * (RENEWALS_PER_LEASE - 1) / RENEWALS_PER_LEASE;
        let mut lists: Vec<Vec<(AttemptId, Duration)>> = vec![Vec::new(); scheduler.workers.len()];
        for (name, job) in &mut scheduler.state.jobs {
            let idempotent = job.spec.as_ref().is_some_and(|spec| spec.idempotent);
            for (&index, task) in &mut job.tasks {
                let held = matches!(task.phase, TaskPhase::Running | TaskPhase::Checkpointing);
                if !held || now + early < task.lease_end {
                    continue;
                }
                let slot = task.worker.as_ref().and_then(|id| scheduler.slots.get(id));
                let Some(&slot) = slot else {
                    continue;
                };
                let longest = now + settings.lease;
                let until = if idempotent {
                    longest
                } else {
                    longest.min(horizon)
                };
                if until <= task.lease_end || scheduler.workers[slot].is_silent(now, &settings) {
                    continue;
                }
                task.lease_end = until;
                let attempt = AttemptId {
                    job: name.clone(),
                    index,
                    number: task.attempt,
                };
                lists[slot].push((attempt, until));
            }
        }
        for (slot, leases) in lists.into_iter().enumerate() {
            if !leases.is_empty() {
                let worker = scheduler.workers[slot].worker.id.clone();
                actions.push(SchedulerAction::Renew { worker, leases });
            }
        }
    }
}
