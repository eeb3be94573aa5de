//! Tickets for queues whose policy allows only some workers to run a step.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::WorkerId;

use crate::job::JobId;
use crate::job::TaskKey;
use crate::job::TicketTiming;
use crate::scheduler::Scheduler;

/// Workers named in one question; the latency objective counts one call of this size a step.
pub(crate) const MOST_NAMED: usize = 30;
/// Time that a ticket must still hold when its start is sent.
const MARGIN: Duration = Duration::from_millis(150);
/// Time after which a question without an answer is asked again, beyond its own duration.
const PATIENCE: Duration = Duration::from_millis(500);

/// A step of one occurrence of a job.
type StepKey = (JobId, u32, u16);

/// Tickets by step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tickets {
    steps: HashMap<StepKey, StepTickets>,
}

#[derive(Clone, Debug, Default)]
struct StepTickets {
    tickets: HashMap<WorkerId, (Arc<str>, Duration)>,
    asked_at: Option<Duration>,
}

impl Tickets {
    fn key(task: &TaskKey) -> StepKey {
        (task.job.clone(), task.occurrence, task.step)
    }

    /// Returns the ticket of a worker, if it holds long enough.
    pub(crate) fn get(&self, task: &TaskKey, worker: &WorkerId, now: Duration) -> Option<Arc<str>> {
        let known = self.steps.get(&Self::key(task))?;
        let (ticket, until) = known.tickets.get(worker)?;
        (now + MARGIN < *until).then(|| ticket.clone())
    }

    /// Returns whether a question is due, and notes that it is being asked.
    pub(crate) fn begin_request(
        &mut self,
        task: &TaskKey,
        advice: TicketTiming,
        now: Duration,
    ) -> bool {
        let known = self.steps.entry(Self::key(task)).or_default();
        let named = u64::try_from(MOST_NAMED).unwrap_or_default();
        let duration = Duration::from_millis(advice.fixed_ms + advice.each_ms * named);
        if known
            .asked_at
            .is_some_and(|at| now < at + duration + PATIENCE)
        {
            return false;
        }
        known.asked_at = Some(now);
        true
    }

    /// Notes the answer to a question that was asked at `sent`.
    pub(crate) fn add_tickets(
        &mut self,
        step: &TaskKey,
        good: &[(WorkerId, Arc<str>)],
        valid: Duration,
        sent: Duration,
    ) {
        let known = self.steps.entry(Self::key(step)).or_default();
        known.asked_at = None;
        for (worker, ticket) in good {
            known
                .tickets
                .insert(worker.clone(), (ticket.clone(), sent + valid));
        }
    }

    /// Forgets a ticket that a worker refused.
    pub(crate) fn forget(&mut self, task: &TaskKey, worker: &WorkerId) {
        if let Some(known) = self.steps.get_mut(&Self::key(task)) {
            known.tickets.remove(worker);
        }
    }

    /// Forgets the steps of jobs that are gone.
    pub(crate) fn retain(&mut self, keep: impl Fn(&JobId) -> bool) {
        self.steps.retain(|(job, _, _), _| keep(job));
    }
}

impl Scheduler {
    /// Takes in which workers may run a step, as asked at `sent`.
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
