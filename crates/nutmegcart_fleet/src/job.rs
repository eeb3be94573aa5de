//! What is known of a job beyond its record.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::Code;
use nutmegcart_model::record::Job;
use serde::Deserialize;
use serde::Serialize;

use crate::quota::Charge;
use crate::ranges::Ranges;
use crate::size::Size;
use crate::task::Fate;
use crate::task::Task;
use crate::usage::Estimate;

/// Why a job is not started any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SetAside {
    /// The declared size exceeds every worker of the pool.
    TooLarge,
    /// Tasks failed on three distinct healthy workers in a row.
    Failing,
}

impl SetAside {
    /// Returns the code under which operators see the reason.
    ///
    /// ```
    /// # use nutmegcart_fleet::SetAside;
    /// assert_eq!(SetAside::TooLarge.code().number(), 3050);
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
pub struct Stray {
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
    pub charge: Charge,
    /// Whether the job was removed while tasks were open; it never starts again.
    #[serde(default)]
    pub removed: bool,
    /// Index from which no task was attempted.
    pub next: u32,
    /// Tasks that were attempted and have not ended, by index.
    pub tasks: BTreeMap<u32, Task>,
    /// Attempts that were given up on silent workers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub strays: Vec<Stray>,
    /// Cancelled tasks; never shrinks.
    pub cancelled: Ranges,
    /// Finished tasks.
    pub done: Ranges,
    /// Cancelled tasks that ran in part.
    pub stopped: Ranges,
    /// Tasks that failed on distinct workers.
    pub failed: Ranges,
    /// Cancelled tasks whose last attempt may have run.
    pub unknown: Ranges,
    /// Learnt size.
    pub estimate: Estimate,
    /// Why the job is not started.
    #[serde(default)]
    pub aside: Option<SetAside>,
    /// Time at which a failing job is tried again with one task.
    #[serde(default, with = "crate::task::millis")]
    pub trial: Duration,
    /// Reason that was reported last.
    #[serde(skip)]
    pub announced: Option<SetAside>,
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
    pub fn size(&self) -> Size {
        self.estimate.size(self.charge.size)
    }

    /// Returns whether tasks may start.
    ///
    /// A job that was set aside as failing gets one task at each trial, so that it recovers by
    /// itself once the cause is gone.
    #[must_use]
    pub fn may_start(&self, now: Duration) -> bool {
        match self.aside {
            None => true,
            Some(SetAside::TooLarge) => false,
            Some(SetAside::Failing) => self.trial <= now,
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
    pub fn fate(&self, index: u32) -> Fate {
        if self.done.contains(index) {
            Fate::Done
        } else if self.stopped.contains(index) {
            Fate::Stopped
        } else if self.failed.contains(index) {
            Fate::Failed
        } else if self.unknown.contains(index) {
            Fate::Unknown
        } else if self.wants(index) || self.tasks.contains_key(&index) {
            Fate::Open
        } else {
            Fate::NotRun
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
