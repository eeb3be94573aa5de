//! In which order waiting work is placed.

use std::cmp::Ordering;
use std::time::Duration;

use crate::live_job::LiveJob;
use crate::live_job::Occurrence;

/// Multiple of the latency objective after which a job is worth no more the sooner it ends.
const LATE_LIMIT: u32 = 3;
/// Share of the remaining work by which its prediction may be too long before a job that has
/// started counts as late.
const STARTED_TOLERANCE: f64 = 0.5;
/// Worth of a job that does not depend on its work, against 1 for a job of mean size.
const FIXED_WORTH: f64 = 0.3;
/// Largest worth of a job against 1 for a job of mean size.
const MOST_WORTH: f64 = 4.0;

/// How urgent a piece of waiting work is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Urgency {
    /// It runs until it is cancelled; every second without it is lost.
    Lasting,
    /// It can still end within its latency objective.
    OnTime,
    /// It will be late, and is worth less.
    Late,
    /// It is so late that only its end counts.
    Overdue,
}

/// Place of an occurrence of a job among waiting work; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rank {
    /// Priority of the queue.
    pub priority: u32,
    /// Urgency.
    pub urgency: Urgency,
    /// Order within the same urgency.
    pub key: f64,
}

impl Rank {
    /// Compares two standings.
    #[must_use]
    pub fn compare(&self, other: &Self) -> Ordering {
        let class = (self.urgency, self.priority).cmp(&(other.urgency, other.priority));
        class.then(self.key.total_cmp(&other.key))
    }
}

/// Ranks an occurrence of a job; `mean` is the mean work of its queue's jobs in core-seconds.
///
/// Answers the load pattern of a queue that asks in its turn for more than its pool holds. What
/// can still end in time goes first, the most worth for a core-second before the rest, because
/// serving in order of arrival spends the room on jobs that are late by the time they end. What
/// is late goes by age behind it, so that it ends as soon as the turn is over.
#[must_use]
pub fn rank(job: &LiveJob, occurrence: &Occurrence, mean: f64, now: Duration) -> Rank {
    let priority = job.accepted.queue.priority;
    let age = occurrence.due.as_secs_f64();
    let standing = |urgency, key| Rank {
        priority,
        urgency,
        key,
    };
    if job.accepted.job.is_long_running() {
        return standing(Urgency::Lasting, age);
    }
    let begun = occurrence
        .steps
        .iter()
        .any(|step| step.done > 0 || step.tasks.iter().any(|task| task.live_runs > 0));
    let tolerance = if begun {
        occurrence.remaining.mul_f64(STARTED_TOLERANCE)
    } else {
        Duration::ZERO
    };
    let end = now + occurrence.remaining;
    let deadline = occurrence.due + job.objective;
    if end <= deadline + tolerance {
        let slack = (deadline + tolerance).saturating_sub(end).as_secs_f64();
        return standing(Urgency::OnTime, cost(job.work, mean) * (1.0 + slack));
    }
    if end <= occurrence.due + job.objective * LATE_LIMIT {
        return standing(Urgency::Late, age);
    }
    standing(Urgency::Overdue, age)
}

/// Returns the work of a job for each unit of its worth.
///
/// ```
/// # use nutmegcart_jobs::rank::cost;
/// assert!(cost(5.0, 10.0) < cost(10.0, 10.0));
/// assert!(cost(10.0, 10.0) < cost(80.0, 10.0));
/// ```
#[must_use]
pub fn cost(work: f64, mean: f64) -> f64 {
    let size = if mean > 0.0 { work / mean } else { 1.0 };
    size / (FIXED_WORTH + (1.0 - FIXED_WORTH) * size).min(MOST_WORTH)
}
