//! Scheduling state of a job.

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

/// Why no tasks of a job are started.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SetAsideReason {
    /// The declared size exceeds the capacity of every worker of the pool.
    TooLarge,
    /// Tasks failed on three distinct healthy workers in a row.
    Failing,
}

impl SetAsideReason {
    /// Returns the code that is logged for operators.
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

/// An attempt of an idempotent task that may still run while the task is started elsewhere.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrphanedAttempt {
    /// Attempt number.
    pub attempt: u64,
    /// Latest possible end of its lease.
    #[serde(rename = "until", with = "crate::task::millis")]
    pub lease_end: Duration,
}

/// State of a job; tasks without an attempt have no entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSchedulingState {
    /// Record of the job in the current configuration; none until the configuration is set.
    #[serde(skip)]
    pub spec: Option<Arc<Job>>,
    /// What each attempt charges to the team's quota.
    #[serde(default)]
    pub charge: QuotaCharge,
    /// Whether the job was removed from the configuration; its tasks never start again.
    #[serde(default)]
    pub removed: bool,
    /// Index from which on no task was attempted.
    #[serde(rename = "next")]
    pub first_unattempted: u32,
    /// Tasks by index that were attempted and have not ended.
    pub tasks: BTreeMap<u32, Task>,
    /// Attempts that were given up because their workers were silent.
    #[serde(rename = "strays", default, skip_serializing_if = "Vec::is_empty")]
    pub orphans: Vec<OrphanedAttempt>,
    /// Cancelled tasks; a cancellation is never withdrawn.
    pub cancelled: IndexRanges,
    /// Tasks that finished successfully.
    pub done: IndexRanges,
    /// Cancelled tasks that ran in part.
    pub stopped: IndexRanges,
    /// Tasks that failed on too many healthy workers and are not retried.
    pub failed: IndexRanges,
    /// Cancelled tasks of which an attempt may have run to an unknown end.
    pub unknown: IndexRanges,
    /// Resources of a task as learnt from usage.
    pub estimate: UsageEstimate,
    /// Why no tasks are started; none if they are.
    #[serde(rename = "aside", default)]
    pub set_aside: Option<SetAsideReason>,
    /// Time at which a failing job is tried again with one task.
    #[serde(rename = "trial", default, with = "crate::task::millis")]
    pub next_trial: Duration,
    /// Last reported reason for which the job was set aside.
    #[serde(skip)]
    pub reported_reason: Option<SetAsideReason>,
    /// Time of the last start of a task; jobs with the earliest one go first.
    #[serde(skip)]
    pub last_start: Duration,
    /// Time since which a task waits for free capacity.
    #[serde(skip)]
    pub blocked_since: Option<Duration>,
}

impl JobSchedulingState {
    /// Returns the resources to reserve for a task.
    #[must_use]
    pub fn size(&self) -> Resources {
        self.estimate.size(self.charge.size)
    }

    /// Returns whether tasks may start.
    ///
    /// A job that was set aside as failing may start one task per trial interval, so that it
    /// recovers without an operator once the cause is gone.
    #[must_use]
    pub fn may_start(&self, now: Duration) -> bool {
        match self.set_aside {
            None => true,
            Some(SetAsideReason::TooLarge) => false,
            Some(SetAsideReason::Failing) => self.next_trial <= now,
        }
    }

    /// Returns whether the configuration asks for the task.
    #[must_use]
    pub fn is_wanted(&self, index: u32) -> bool {
        let declared = self.spec.as_ref().map_or(0, |spec| spec.tasks);
        !self.removed && index < declared && !self.cancelled.contains(index)
    }

    /// Returns the first wanted task at or after an index from which on no task was attempted.
    #[must_use]
    pub fn next_unattempted(&self, from: u32) -> Option<u32> {
        let index = self.cancelled.next_absent(from);
        self.is_wanted(index).then_some(index)
    }

    /// Returns the status of a task.
    ///
    /// A task is reported as not run only if no attempt can have run.
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
        } else if self.is_wanted(index) || self.tasks.contains_key(&index) {
            TaskStatus::Open
        } else {
            TaskStatus::NotRun
        }
    }

    /// Moves a cancelled task that waits for another attempt to the set of its final status.
    pub(crate) fn close_unwanted(&mut self, index: u32) {
        let Some(task) = self.tasks.get(&index) else {
            return;
        };
        if task.is_live() || self.is_wanted(index) {
            return;
        }
        let cancelled = self.removed || self.cancelled.contains(index);
        // A task beyond a reduced number of tasks may be wanted again, unlike a cancelled one.
        if !cancelled {
            return;
        }
        let task = self.tasks.remove(&index).unwrap_or_default();
        if task.outcome_unknown {
            self.unknown.insert(index);
        } else if task.has_run {
            self.stopped.insert(index);
        }
    }
}
