//! State of one task of an accepted job.

use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::WorkerId;

use crate::failed_runs::FailedRuns;

/// State of one task.
#[derive(Clone, Debug, Default)]
pub struct LiveTask {
    /// Whether a run of the task has finished.
    pub done: bool,
    /// Failed runs.
    pub failed_runs: FailedRuns,
    /// Highest run number used.
    pub last_run: u32,
    /// Number of runs that may be live.
    pub live_runs: u32,
    /// Whether any run was ever started, also by an earlier owner.
    pub started: bool,
    /// Latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Worker on which the latest run failed or stalled.
    pub avoid: Option<WorkerId>,
    /// Runs that stalled on workers without other failures, under this owner.
    pub stalls: u32,
    /// When its latest run ended, or when its occurrence became due.
    pub waiting_since: Duration,
}

impl LiveTask {
    /// Returns whether the task may be started; `exclusive` tells whether this owner is certainly
    /// the only one.
    ///
    /// Once another owner may exist, it may have processed the end of a task that was started
    /// before.
    #[must_use]
    pub const fn may_start(&self, exclusive: bool) -> bool {
        exclusive || !self.started
    }
}
