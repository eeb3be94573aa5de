//! Tickets that permit workers to run a step, for queues that require them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::WorkerId;

use crate::job::JobId;
use crate::job::TaskKey;
use crate::job::TicketTiming;
use crate::scheduler::Scheduler;

/// Candidate workers in one request. The latency objective of a job includes one request of this
/// size for each step.
const MAX_CANDIDATES: usize = 30;
/// Minimum remaining validity of a ticket when its start order is sent.
const MIN_VALIDITY: Duration = Duration::from_millis(150);
/// Time beyond the expected duration after which an unanswered request is repeated.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// A step of one occurrence of a job.
type StepKey = (JobId, u32, u16);

/// Valid tickets and pending requests, by step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tickets {
    steps: HashMap<StepKey, StepTickets>,
}

#[derive(Clone, Debug, Default)]
struct StepTickets {
    /// Tickets by worker, with the time until which they are valid.
    tickets: HashMap<WorkerId, (Arc<str>, Duration)>,
    /// When the pending request was sent.
    requested_at: Option<Duration>,
    /// When each worker was last named in a request.
    asked_at: HashMap<WorkerId, Duration>,
}

impl Tickets {
    fn key(task: &TaskKey) -> StepKey {
        (task.job.clone(), task.occurrence, task.step)
    }

    /// Returns the ticket of a worker if it stays valid for at least [`MIN_VALIDITY`].
    pub(crate) fn get(&self, task: &TaskKey, worker: &WorkerId, now: Duration) -> Option<Arc<str>> {
        let step = self.steps.get(&Self::key(task))?;
        let (ticket, valid_until) = step.tickets.get(worker)?;
        (now + MIN_VALIDITY < *valid_until).then(|| ticket.clone())
    }

    /// Returns the workers that a request now due names, and records that it is being sent. Empty if
    /// no request is due.
    ///
    /// Those go first that have not been asked for longest, so each of any number of candidates is
    /// asked after as many requests as it takes to name them all.
    pub(crate) fn begin_request(
        &mut self,
        task: &TaskKey,
        timing: TicketTiming,
        candidates: impl Iterator<Item = WorkerId>,
        now: Duration,
    ) -> Vec<WorkerId> {
        let step = self.steps.entry(Self::key(task)).or_default();
        let longest = u64::try_from(MAX_CANDIDATES).unwrap_or_default();
        let duration = timing.each_ms.saturating_mul(longest);
        let duration = Duration::from_millis(timing.fixed_ms.saturating_add(duration));
        let pending = step
            .requested_at
            .is_some_and(|at| now < at + duration + ANSWER_TIMEOUT);
        if pending {
            return Vec::new();
        }
        let mut candidates: Vec<WorkerId> = candidates.collect();
        if candidates.is_empty() {
            return candidates;
        }
        candidates.sort_by_key(|worker| step.asked_at.get(worker).copied());
        candidates.truncate(MAX_CANDIDATES);
        let asked = candidates.iter().map(|worker| (worker.clone(), now));
        step.asked_at.extend(asked);
        step.requested_at = Some(now);
        candidates
    }

    /// Adds the tickets of a request that was sent at `sent`.
    pub(crate) fn add_tickets(
        &mut self,
        step: &TaskKey,
        tickets: &[(WorkerId, Arc<str>)],
        valid: Duration,
        sent: Duration,
    ) {
        let step = self.steps.entry(Self::key(step)).or_default();
        step.requested_at = None;
        for (worker, ticket) in tickets {
            step.tickets
                .insert(worker.clone(), (ticket.clone(), sent + valid));
        }
    }

    /// Removes a ticket that a worker refused.
    pub(crate) fn forget(&mut self, task: &TaskKey, worker: &WorkerId) {
        if let Some(step) = self.steps.get_mut(&Self::key(task)) {
            step.tickets.remove(worker);
        }
    }

    /// Removes the steps of jobs that `keep` rejects.
    pub(crate) fn retain(&mut self, keep: impl Fn(&JobId) -> bool) {
        self.steps.retain(|(job, _, _), _| keep(job));
    }
}

impl Scheduler {
    /// Adds the tickets for a step that were requested at `sent`.
    pub fn add_tickets(
        &mut self,
        step: &TaskKey,
        tickets: &[(WorkerId, Arc<str>)],
        valid: Duration,
        sent: Duration,
    ) {
        self.tickets.add_tickets(step, tickets, valid, sent);
    }
}
