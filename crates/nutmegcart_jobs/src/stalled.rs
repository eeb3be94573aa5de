//! Jobs that have waited for a start for so long that an operator should know without asking.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use derive_more::Display;
use nutmegcart_model::PoolName;

use crate::job::JobId;
use crate::live_job::LiveJob;
use crate::live_job::LiveStep;
use crate::scheduler::Scheduler;

/// Wait of a long-running task above which its job counts as stalled.
pub const LONG_RUNNING_LIMIT: Duration = Duration::from_secs(10);
/// Time without a run after which any other job with waiting tasks counts as stalled.
pub const BATCH_LIMIT: Duration = Duration::from_mins(1);
/// Stalled jobs of a cell that the log tells about at a time.
pub const MAX_TOLD: usize = 50;

/// What kind of work waits.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum StalledKind {
    /// A job of which no task runs while some wait.
    #[display("batch")]
    Batch,
    /// A long-running task, whether or not others of its job run.
    #[display("long-running")]
    LongRunning,
}

impl StalledKind {
    /// All kinds, which are the values of a metric's label.
    pub const ALL: [Self; 2] = [Self::Batch, Self::LongRunning];

    /// Returns whether work of this kind that has waited for `wait` counts as stalled.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_jobs::stalled::StalledKind;
    /// let wait = Duration::from_secs(30);
    /// assert!(StalledKind::LongRunning.is_stalled(wait));
    /// assert!(!StalledKind::Batch.is_stalled(wait));
    /// ```
    #[must_use]
    pub fn is_stalled(self, wait: Duration) -> bool {
        match self {
            Self::Batch => wait >= BATCH_LIMIT,
            Self::LongRunning => wait >= LONG_RUNNING_LIMIT,
        }
    }
}

/// A job that has stalled.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StalledJob {
    /// The job.
    pub job: JobId,
    /// Its pool.
    pub pool: PoolName,
    /// What waits.
    pub kind: StalledKind,
    /// Since when it waits.
    pub since: Duration,
}

impl Scheduler {
    /// Returns the stalled jobs, those that have waited longest first.
    #[must_use]
    pub fn stalled_jobs(&self, now: Duration) -> Vec<StalledJob> {
        let open = self.jobs.values().filter(|job| job.ended.is_none());
        let mut stalled: Vec<StalledJob> = open
            .filter_map(|job| {
                let (kind, since) = self.waits_since(job)?;
                kind.is_stalled(now.saturating_sub(since))
                    .then(|| StalledJob {
                        job: job.id.clone(),
                        pool: job.pool.clone(),
                        kind,
                        since,
                    })
            })
            .collect();
        stalled.sort_by(|a, b| a.since.cmp(&b.since).then_with(|| a.job.cmp(&b.job)));
        stalled
    }

    /// Returns what of the job waits for a start, and since when.
    fn waits_since(&self, job: &LiveJob) -> Option<(StalledKind, Duration)> {
        let long_running = self.waiting_tasks(job).into_iter();
        let long_running = long_running.map(|(since, _)| since).min();
        if let Some(since) = long_running {
            return Some((StalledKind::LongRunning, since));
        }
        if !job.started {
            let due = job.occurrences.values().map(|each| each.due);
            return Some((StalledKind::Batch, due.min()?));
        }
        let steps = job.occurrences.values().flat_map(|each| &each.steps);
        if !job.has_pending() || steps.clone().any(LiveStep::has_live_runs) {
            return None;
        }
        let since = steps.filter_map(LiveStep::latest_end).max()?;
        Some((StalledKind::Batch, since.max(self.taken_over_at)))
    }
}

/// Jobs whose stall has been told, so that each is told once.
#[derive(Clone, Debug, Default)]
pub struct StallLog {
    told: BTreeMap<JobId, Duration>,
}

/// What has changed about the stalled jobs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StallChanges {
    /// Jobs that have stalled.
    pub stalled: Vec<StalledJob>,
    /// Jobs that are no longer stalled, and since when they had waited.
    pub resumed: Vec<(JobId, Duration)>,
}

impl StallLog {
    /// Compares the stalled jobs with those that were told. At most [`MAX_TOLD`] are told at a time;
    /// further ones follow as these are started or end.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_jobs::JobId;
    /// # use nutmegcart_jobs::stalled::{StallLog, StalledJob, StalledKind};
    /// let job = StalledJob {
    ///     job: JobId::parse("5c0e7a21d94b36f8").unwrap(),
    ///     pool: "gates".into(),
    ///     kind: StalledKind::Batch,
    ///     since: Duration::ZERO,
    /// };
    /// let mut log = StallLog::default();
    /// assert_eq!(log.update(&[job.clone()]).stalled.len(), 1);
    /// assert!(log.update(&[job]).stalled.is_empty());
    /// assert_eq!(log.update(&[]).resumed.len(), 1);
    /// ```
    pub fn update(&mut self, stalled: &[StalledJob]) -> StallChanges {
        let present: BTreeSet<&JobId> = stalled.iter().map(|each| &each.job).collect();
        let resumed = self.told.extract_if(.., |job, _| !present.contains(job));
        let resumed = resumed.collect();
        let mut changes = StallChanges {
            resumed,
            stalled: Vec::new(),
        };
        for each in stalled {
            if self.told.len() < MAX_TOLD && !self.told.contains_key(&each.job) {
                self.told.insert(each.job.clone(), each.since);
                changes.stalled.push(each.clone());
            }
        }
        changes
    }
}
