//! Order in which waiting work is placed.

use std::cmp::Ordering;
use std::time::Duration;

use crate::live_job::LiveJob;
use crate::live_job::Occurrence;

/// Multiple of the latency objective after which a job's value no longer depends on when it ends.
const OVERDUE_FACTOR: u32 = 3;
/// Share of the predicted remaining time by which a started job may miss its deadline before it
/// counts as late, since the prediction may be too long.
const STARTED_TOLERANCE: f64 = 0.5;
/// Share of the predicted time by which a job that has not started must be able to end before its
/// deadline to count as in time, since its tasks rarely all start at once.
const START_MARGIN: f64 = 0.4;
/// Factor of the key of a started job. Capacity that is spread over many jobs in an overload lets all
/// of them end late.
const STARTED_ADVANTAGE: f64 = 0.1;
/// Exponent of the relative share of a job's size class that has been started.
const SHARE_EXPONENT: i32 = 4;
/// Part of a job's value that does not depend on its work; a job of mean size has value 1.
const FIXED_VALUE: f64 = 0.3;
/// Upper bound on a job's value; a job of mean size has value 1.
const MAX_VALUE: f64 = 4.0;

/// Urgency class of waiting work, most urgent first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Urgency {
    /// It runs until it is cancelled, and is useful only while it runs.
    LongRunning,
    /// It can still end within its latency objective.
    OnTime,
    /// It will miss its latency objective, which reduces its value.
    Late,
    /// It is so late that its value no longer decreases.
    Overdue,
}

/// How an occurrence stands among those of other organisations.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Coverage {
    /// It has waited for so long that it goes first.
    Turn,
    /// Its organisation sends no more than its weight covers, or there are no organisations.
    Covered,
    /// Its organisation sends more than its weight covers.
    Excess,
}

/// Rank of an occurrence of a job among waiting work; the lowest is placed first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rank {
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Urgency class, compared first.
    pub urgency: Urgency,
    /// Sort key within the same urgency and priority.
    pub key: f64,
    /// Whether any task of the occurrence has been started.
    pub started: bool,
    /// How it stands among those of other organisations.
    pub coverage: Coverage,
}

impl Rank {
    /// Returns the part of the order that fair shares of organisations determine. Excess work whose
    /// value still depends on its end goes before overdue work, which has no value to lose.
    const fn band(&self) -> u8 {
        match (self.urgency, self.coverage) {
            (Urgency::LongRunning, _) => 0,
            (_, Coverage::Turn) => 1,
            (Urgency::OnTime | Urgency::Late, Coverage::Covered) => 2,
            (Urgency::OnTime | Urgency::Late, Coverage::Excess) => 3,
            (Urgency::Overdue, Coverage::Covered) => 4,
            (Urgency::Overdue, Coverage::Excess) => 5,
        }
    }

    /// Orders ranks by fair share, urgency, priority and key.
    #[must_use]
    pub fn compare(&self, other: &Self) -> Ordering {
        let class = |rank: &Self| (rank.band(), rank.urgency, rank.priority);
        let class = class(self).cmp(&class(other));
        class.then(self.key.total_cmp(&other.key))
    }
}

/// Ranks an occurrence of a job; `mean` is the mean work of its queue's jobs in core-seconds, and
/// `share` the relative share of its size class that has been started lately, from 0 to 1.
///
/// During a burst a queue may request more than its pool can run. Work that can still meet its
/// objective goes first, ordered by value per core-second and by the slack until its deadline,
/// because serving in order of arrival would spend the capacity on jobs that are late by the time
/// they end. A started job goes before those that have not started, by its slack alone, since what
/// it has used is lost if it ends late. A size class of which fewer have been started than of others
/// gets an advantage; it ends as soon as they start, so it never takes all capacity. Late work
/// follows in the same order as long as its value depends on when it ends, then the rest by age.
#[must_use]
pub fn rank(job: &LiveJob, occurrence: &Occurrence, mean: f64, share: f64, now: Duration) -> Rank {
    let priority = job.accepted.queue.priority;
    let due = occurrence.due.as_secs_f64();
    let started = occurrence
        .steps
        .iter()
        .any(|step| step.done > 0 || step.has_live_runs());
    let rank_as = |urgency, key| Rank {
        priority,
        urgency,
        key,
        started,
        coverage: Coverage::Covered,
    };
    if job.accepted.job.is_long_running() {
        return rank_as(Urgency::LongRunning, due);
    }
    let tolerance = if started {
        occurrence.remaining.mul_f64(STARTED_TOLERANCE)
    } else {
        Duration::ZERO
    };
    let end = now + occurrence.remaining;
    let (margin, weight) = if started {
        (Duration::ZERO, STARTED_ADVANTAGE)
    } else {
        let margin = occurrence.remaining.mul_f64(START_MARGIN);
        let weight = cost(job.work, mean) * share.powi(SHARE_EXPONENT);
        (margin, weight)
    };
    let in_time = occurrence.due + job.objective + tolerance;
    let late = occurrence.due + job.objective * OVERDUE_FACTOR;
    for (urgency, deadline) in [(Urgency::OnTime, in_time), (Urgency::Late, late)] {
        if end + margin <= deadline {
            let slack = deadline.saturating_sub(end).as_secs_f64();
            return rank_as(urgency, weight * (1.0 + slack));
        }
    }
    rank_as(Urgency::Overdue, due)
}

/// Returns the work of a job per unit of its value.
///
/// ```
/// # use nutmegcart_jobs::rank::cost;
/// assert!(cost(5.0, 10.0) < cost(10.0, 10.0));
/// assert!(cost(10.0, 10.0) < cost(80.0, 10.0));
/// ```
#[must_use]
pub fn cost(work: f64, mean: f64) -> f64 {
    let size = if mean > 0.0 { work / mean } else { 1.0 };
    size / (FIXED_VALUE + (1.0 - FIXED_VALUE) * size).min(MAX_VALUE)
}
