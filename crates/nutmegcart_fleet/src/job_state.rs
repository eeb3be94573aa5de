//! What is known of a job beyond its record.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::Code;
use nutmegcart_model::record::Job;
use serde::Deserialize;
use serde::Serialize;

use crate::index_ranges::IndexRanges;
use crate::quota::QuotaCharge;
use crate::resources::Resources;
use crate::task::Task;
use crate::task::TaskStatus;
use crate::usage::UsageEstimate;

/// Why a job is not started any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SetAsideReason {
    /// The declared size exceeds every worker of the pool.
    TooLarge,
    /// Tasks failed on three distinct healthy workers in a row.
    Failing,
}

impl SetAsideReason {
    /// Returns the code under which operators see the reason.
    ///
    /// ```
    /// # use nutmegcart_fleet::SetAsideReason;
    /// assert_eq!(SetAsideReason::TooLarge.code().number(), 3050);
    /// ```
    #[must_use]
    pub const fn code(self) -> Code {
        match self {
            Self::TooLarge => Code::JobTooLarge,
            Self::Failing => Code::JobFailing,
        }
    }
}

/// An attempt that may still run although its task starts elsewhere; only idempotent tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrphanedAttempt {
    /// Number of the attempt.
    pub attempt: u64,
    /// Latest end of its lease.
    #[serde(with = "crate::task::millis")]
    pub until: Duration,
}

/// State of a job; tasks that were never attempted have no entry of their own.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    /// The record in effect; none if the job was removed.
    #[serde(skip)]
    pub spec: Option<Arc<Job>>,
    /// What a task counts for against its team's quota.
    #[serde(default)]
    pub charge: QuotaCharge,
    /// Whether the job was removed while tasks were open; it never starts again.
    #[serde(default)]
    pub removed: bool,
    /// Index from which no task was attempted.
    pub next: u32,
    /// Tasks that were attempted and have not ended, by index.
    pub tasks: BTreeMap<u32, Task>,
    /// Attempts that were given up on silent workers.
    #[serde(rename = "strays", default, skip_serializing_if = "Vec::is_empty")]
    pub orphans: Vec<OrphanedAttempt>,
    /// Cancelled tasks; never shrinks.
    pub cancelled: IndexRanges,
    /// Finished tasks.
    pub done: IndexRanges,
    /// Cancelled tasks that ran in part.
    pub stopped: IndexRanges,
    /// Tasks that failed on distinct workers.
    pub failed: IndexRanges,
    /// Cancelled tasks whose last attempt may have run.
    pub unknown: IndexRanges,
    /// Learnt size.
    pub estimate: UsageEstimate,
    /// Why the job is not started.
    #[serde(rename = "aside", default)]
    pub set_aside: Option<SetAsideReason>,
    /// Time at which a failing job is tried again with one task.
    #[serde(default, with = "crate::task::millis")]
    pub trial: Duration,
    /// Reason that was reported last.
    #[serde(skip)]
    pub announced: Option<SetAsideReason>,
    /// Time of the last start, for fairness between jobs.
    #[serde(skip)]
    pub started: Duration,
    /// Time since which a task waits for room.
    #[serde(skip)]
    pub blocked: Option<Duration>,
}

impl JobState {
    /// Returns the size to reserve for a task.
    #[must_use]
    pub fn size(&self) -> Resources {
        self.estimate.size(self.charge.size)
    }

    /// Returns whether tasks may start.
    ///
    /// A job that was set aside as failing gets one task at each trial, so that it recovers by
    /// itself once the cause is gone.
    #[must_use]
    pub fn may_start(&self, now: Duration) -> bool {
        match self.set_aside {
            None => true,
            Some(SetAsideReason::TooLarge) => false,
            Some(SetAsideReason::Failing) => self.trial <= now,
        }
    }

    /// Returns whether the task should run.
    #[must_use]
    pub fn wants(&self, index: u32) -> bool {
        let declared = self.spec.as_ref().map_or(0, |spec| spec.tasks);
        !self.removed && index < declared && !self.cancelled.contains(index)
    }

    /// Returns the first wanted task at or after the index, from which none was attempted.
    #[must_use]
    pub fn fresh(&self, from: u32) -> Option<u32> {
        let index = self.cancelled.next_absent(from);
        self.wants(index).then_some(index)
    }

    /// Returns what may be said about a task.
    ///
    /// Only a task without any attempt that may have run is reported as not run.
    #[must_use]
    pub fn task_status(&self, index: u32) -> TaskStatus {
        if self.done.contains(index) {
            TaskStatus::Done
        } else if self.stopped.contains(index) {
            TaskStatus::Stopped
        } else if self.failed.contains(index) {
            TaskStatus::Failed
        } else if self.unknown.contains(index) {
            TaskStatus::Unknown
        } else if self.wants(index) || self.tasks.contains_key(&index) {
            TaskStatus::Open
        } else {
            TaskStatus::NotRun
        }
    }

    /// Moves a waiting task that is not wanted any more to the set of its fate.
    pub(crate) fn close(&mut self, index: u32) {
        let Some(task) = self.tasks.get(&index) else {
            return;
        };
        if task.is_live() || self.wants(index) {
            return;
        }
        let cancelled = self.removed || self.cancelled.contains(index);
        // A task above a reduced `tasks` may be wanted again, unlike a cancelled one.
        if !cancelled {
            return;
        }
        let task = self.tasks.remove(&index).unwrap_or_default();
        if task.unknown {
            self.unknown.insert(index);
        } else if task.ran {
            self.stopped.insert(index);
        }
    }
}
