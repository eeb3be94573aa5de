//! Calls to workers: unconfirmed starts and ends, and renewals of leases.

use std::time::Duration;

use crate::action::Action;
use crate::pass::Pass;
use crate::scheduler::Scheduler;
use crate::task::AttemptId;
use crate::task::Phase;

/// Time after which a call that ends a task is repeated; the answer tells when it has ended.
const POLL: Duration = Duration::from_millis(200);
/// A lease is renewed when less than three quarters of it are left, so one lost renewal is safe.
const RENEW_PARTS: u32 = 4;

impl<'a> Pass<'a> {
    /// Emits the calls of tasks whose start or end is not confirmed.
    pub fn call(&mut self, actions: &mut Vec<Action>) {
        for (number, (name, job)) in self.jobs.iter_mut().enumerate() {
            for (&index, task) in &mut job.tasks {
                let again = match task.phase {
                    Phase::Starting => self.settings.repeat,
                    Phase::Checkpointing | Phase::Stopping => POLL,
                    Phase::Waiting | Phase::Running => continue,
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
                    Phase::Starting => Action::Start {
                        worker,
                        attempt,
                        size: self.entries[number].size,
                        boot: task.boot,
                        until: task.until,
                        from: task.saved.map(id),
                    },
                    Phase::Checkpointing => Action::Checkpoint {
                        worker,
                        attempt,
                        boot: task.boot,
                    },
                    _ => Action::Stop {
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
        scheduler: &'a mut Scheduler,
        now: Duration,
        permit: Duration,
        actions: &mut Vec<Action>,
    ) {
        let settings = scheduler.settings;
        let early = settings.lease * (RENEW_PARTS - 1) / RENEW_PARTS;
        let mut lists: Vec<Vec<(AttemptId, Duration)>> = vec![Vec::new(); scheduler.stations.len()];
        for (name, job) in &mut scheduler.state.jobs {
            let idempotent = job.spec.as_ref().is_some_and(|spec| spec.idempotent);
            for (&index, task) in &mut job.tasks {
                let held = matches!(task.phase, Phase::Running | Phase::Checkpointing);
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
                actions.push(Action::Renew { worker, leases });
            }
        }
    }
}
