//! Calls to workers: repeats of unconfirmed starts and ends, and renewals of leases.

use std::time::Duration;

use crate::scheduler_action::SchedulerAction;
use crate::scheduling_round::SchedulingRound;
use crate::task::AttemptId;
use crate::task::TaskPhase;
use crate::task_scheduler::TaskScheduler;

/// Time after which a call that ends a task is repeated; its answer contains whether the task has
/// ended.
const END_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// A lease is renewed once a quarter of its length has passed, so a single lost renewal is
/// harmless.
const RENEWALS_PER_LEASE: u32 = 4;

impl<'a> SchedulingRound<'a> {
    /// Appends the due calls of tasks whose start or end is not confirmed.
    pub fn emit_calls(&mut self, actions: &mut Vec<SchedulerAction>) {
        for (job_index, (name, job)) in self.jobs.iter_mut().enumerate() {
            let start_lease = self
                .settings
                .start_lease(self.round_jobs[job_index].idempotent);
            for (&index, task) in &mut job.tasks {
                let interval = match task.phase {
                    TaskPhase::Starting => self.settings.start_retry,
                    TaskPhase::Checkpointing | TaskPhase::Stopping => END_POLL_INTERVAL,
                    TaskPhase::Waiting | TaskPhase::Running => continue,
                };
                if task
                    .last_call
                    .is_some_and(|last| self.now < last + interval)
                {
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
                        size: self.round_jobs[job_index].size,
                        boot: task.boot,
                        // An earlier holder's horizon must not extend a repeated start.
                        until: task.phase_start + start_lease,
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

    /// Renews leases on workers that report.
    ///
    /// Leases of tasks that must not run twice end at the lease horizon at the latest.
    pub fn renew(
        scheduler: &'a mut TaskScheduler,
        now: Duration,
        horizon: Duration,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let settings = scheduler.settings;
        let renewal_margin = settings.lease * (RENEWALS_PER_LEASE - 1) / RENEWALS_PER_LEASE;
        let mut renewals: Vec<Vec<(AttemptId, Duration)>> =
            vec![Vec::new(); scheduler.workers.len()];
        for (name, job) in &mut scheduler.state.jobs {
            let idempotent = job.spec.as_ref().is_some_and(|spec| spec.idempotent);
            for (&index, task) in &mut job.tasks {
                let renewable = matches!(task.phase, TaskPhase::Running | TaskPhase::Checkpointing);
                if !renewable || now + renewal_margin < task.granted_until {
                    continue;
                }
                let slot = task.worker.as_ref().and_then(|id| scheduler.slots.get(id));
                let Some(&slot) = slot else {
                    continue;
                };
                let full_length = now + settings.lease;
                let lease_end = if idempotent {
                    full_length
                } else {
                    full_length.min(horizon)
                };
                let silent = scheduler.workers[slot].is_silent(now, &settings);
                if lease_end <= task.granted_until || silent {
                    continue;
                }
                task.granted_until = lease_end;
                // An earlier holder may have granted a later end.
                task.lease_end = task.lease_end.max(lease_end);
                let attempt = AttemptId {
                    job: name.clone(),
                    index,
                    number: task.attempt,
                };
                renewals[slot].push((attempt, lease_end));
            }
        }
        for (slot, leases) in renewals.into_iter().enumerate() {
            if !leases.is_empty() {
                let worker = scheduler.workers[slot].worker.id.clone();
                actions.push(SchedulerAction::Renew { worker, leases });
            }
        }
    }
}
