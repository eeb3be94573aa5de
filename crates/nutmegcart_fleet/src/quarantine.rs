//! Attributes failures of tasks to their job or to their worker, and quarantines workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use nutmegcart_model::JobName;
use nutmegcart_model::PoolName;
use nutmegcart_model::WorkerId;
use serde::Deserialize;
use serde::Serialize;

/// Distinct jobs whose tasks fail in a row on a worker before it is quarantined.
pub const WORKER_FAULT_JOBS: usize = 3;
/// Distinct healthy workers on which a job or task fails before it is set aside.
pub const JOB_FAULT_WORKERS: usize = 3;
/// One worker in this many of a pool may be quarantined.
pub const QUARANTINE_DIVISOR: usize = 10;
/// Time after which a worker leaves quarantine.
pub const QUARANTINE_TIME: Duration = Duration::from_mins(10);
/// Weight of a failure on a worker on which no other job failed.
const HEALTHY_WEIGHT: usize = 2;
/// Weight of a failure on a worker on which other jobs failed too. Half the weight keeps a few bad
/// workers from setting jobs aside, while several bad jobs at the same time are still detected.
const UNCERTAIN_WEIGHT: usize = 1;
/// Failures in a row that are kept for each worker.
const STREAK_CAPACITY: usize = 8;

/// Failures in a row on one worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct FailureStreak {
    /// Jobs that failed, latest last; a job may be repeated.
    jobs: Vec<JobName>,
    /// End of the quarantine; none if not quarantined.
    #[serde(rename = "quarantine", default)]
    quarantine_end: Option<Duration>,
}

impl FailureStreak {
    fn distinct_jobs<'a>(&'a self, bad: &'a BTreeSet<JobName>) -> usize {
        let jobs: BTreeSet<&JobName> = self.jobs.iter().filter(|job| !bad.contains(*job)).collect();
        jobs.len()
    }
}

/// Failures of tasks by job and by worker, and the decisions which of them are at fault.
///
/// A failure counts against its job only while its worker is not suspect, and against its worker
/// only while its job is not set aside. Therefore a bad job cannot cause the quarantine of its
/// pool's workers, and a bad worker cannot cause jobs to be set aside.
///
/// ```
/// # use nutmegcart_fleet::FailureTracker;
/// let mut failures = FailureTracker::default();
/// for worker in ["w1", "w2", "w3"] {
///     failures.record_failure(&"broken".into(), &worker.into());
/// }
/// assert!(failures.is_bad_job("broken"));
/// assert!(!failures.is_suspect("w1"));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FailureTracker {
    workers: BTreeMap<WorkerId, FailureStreak>,
    jobs: BTreeMap<JobName, BTreeSet<WorkerId>>,
    #[serde(rename = "bad")]
    bad_jobs: BTreeSet<JobName>,
}

/// Changes of quarantine in one round.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QuarantineChanges {
    /// Workers put into quarantine.
    pub quarantined: Vec<WorkerId>,
    /// Workers released from it.
    pub released: Vec<WorkerId>,
}

impl FailureTracker {
    /// Records that a task of the job failed on the worker.
    pub fn record_failure(&mut self, job: &JobName, worker: &WorkerId) {
        let streak = self.workers.entry(worker.clone()).or_default();
        if streak.jobs.len() == STREAK_CAPACITY {
            streak.jobs.remove(0);
        }
        streak.jobs.push(job.clone());
        let workers = self.jobs.entry(job.clone()).or_default();
        workers.insert(worker.clone());
        self.update_bad_jobs();
    }

    /// Records that a task of the job succeeded on the worker, which clears the failures of both.
    pub fn record_success(&mut self, job: &JobName, worker: &WorkerId) {
        let job_cleared = self.jobs.remove(job).is_some();
        let worker_cleared = self.workers.get_mut(worker).is_some_and(|streak| {
            streak.jobs.clear();
            true
        });
        if job_cleared || worker_cleared {
            self.update_bad_jobs();
        }
    }

    /// Discards the failures of a job, for example because its record changed.
    pub fn forget_job(&mut self, job: &JobName) {
        for streak in self.workers.values_mut() {
            streak.jobs.retain(|other| other != job);
        }
        if self.jobs.remove(job).is_some() {
            self.update_bad_jobs();
        }
    }

    /// Decides which jobs are bad; failures of jobs that are already bad do not make a worker
    /// suspect.
    fn update_bad_jobs(&mut self) {
        let mut bad = BTreeSet::new();
        for (job, workers) in &self.jobs {
            let weights = workers
                .iter()
                .map(|worker| self.evidence_weight(job, worker));
            if weights.sum::<usize>() >= JOB_FAULT_WORKERS * HEALTHY_WEIGHT {
                bad.insert(job.clone());
            }
        }
        self.bad_jobs = bad;
    }

    /// Returns the weight against the job of its failure on the worker.
    fn evidence_weight(&self, job: &str, worker: &str) -> usize {
        if self.is_suspect(worker) {
            0
        } else if self.is_healthy(job, worker) {
            HEALTHY_WEIGHT
        } else {
            UNCERTAIN_WEIGHT
        }
    }

    /// Returns whether the worker is not quarantined and no other job failed on it since its last
    /// success.
    #[must_use]
    pub fn is_healthy(&self, job: &str, worker: &str) -> bool {
        let streak = self.workers.get(worker);
        streak.is_none_or(|streak| {
            streak.quarantine_end.is_none() && streak.jobs.iter().all(|other| &**other == job)
        })
    }

    /// Returns whether the job failed on enough healthy workers to be set aside.
    #[must_use]
    pub fn is_bad_job(&self, job: &str) -> bool {
        self.bad_jobs.contains(job)
    }

    /// Returns whether enough distinct jobs failed in a row on the worker, quarantined or not.
    #[must_use]
    pub fn is_suspect(&self, worker: &str) -> bool {
        self.workers.get(worker).is_some_and(|streak| {
            streak.quarantine_end.is_some()
                || streak.distinct_jobs(&self.bad_jobs) >= WORKER_FAULT_JOBS
        })
    }

    /// Returns the number of failures in a row on the worker, without those of bad jobs.
    #[must_use]
    pub fn failure_streak(&self, worker: &str) -> usize {
        self.workers.get(worker).map_or(0, |streak| {
            let counted = streak
                .jobs
                .iter()
                .filter(|job| !self.bad_jobs.contains(*job));
            counted.count()
        })
    }

    /// Returns whether the worker is quarantined and receives no tasks.
    #[must_use]
    pub fn is_quarantined(&self, worker: &str) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|streak| streak.quarantine_end.is_some())
    }

    /// Returns whether the job failed since its last success.
    #[must_use]
    pub fn has_failed(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    /// Returns whether the job failed on the worker since its last success.
    #[must_use]
    pub fn has_failed_on(&self, job: &str, worker: &str) -> bool {
        self.jobs
            .get(job)
            .is_some_and(|workers| workers.contains(worker))
    }

    /// Ends expired quarantines and quarantines suspect workers up to the limit of each pool.
    ///
    /// The limit is a tenth of the pool, rounded down. In a pool of fewer than ten workers none is
    /// quarantined; placement gives a suspect worker one task at a time instead.
    pub fn update<'a>(
        &mut self,
        now: Duration,
        workers: impl Iterator<Item = (&'a WorkerId, &'a PoolName)>,
    ) -> QuarantineChanges {
        let mut changes = QuarantineChanges::default();
        let workers: Vec<_> = workers.collect();
        let mut pools: BTreeMap<&PoolName, (usize, usize)> = BTreeMap::new();
        for (_, pool) in &workers {
            pools.entry(pool).or_default().0 += 1;
        }
        let mut suspects = Vec::new();
        for (id, pool) in workers {
            let counts = pools.entry(pool).or_default();
            // A pool that lost workers may have more in quarantine than its limit; the excess is
            // released.
            let at_limit = (counts.1 + 1) * QUARANTINE_DIVISOR > counts.0;
            let Some(streak) = self.workers.get_mut(id) else {
                continue;
            };
            let is_suspect = streak.distinct_jobs(&self.bad_jobs) >= WORKER_FAULT_JOBS;
            if streak
                .quarantine_end
                .is_some_and(|end| end <= now || !is_suspect || at_limit)
            {
                let expired = streak.quarantine_end.is_some_and(|end| end <= now);
                streak.quarantine_end = None;
                if expired {
                    // The worker starts again without failures, so that a single one does not
                    // quarantine it.
                    streak.jobs.clear();
                }
                changes.released.push(id.clone());
            } else if streak.quarantine_end.is_some() {
                counts.1 += 1;
            } else if is_suspect {
                suspects.push((id, pool));
            }
        }
        for (id, pool) in suspects {
            let (size, quarantined) = pools.entry(pool).or_default();
            if (*quarantined + 1) * QUARANTINE_DIVISOR <= *size
                && let Some(streak) = self.workers.get_mut(id)
            {
                *quarantined += 1;
                streak.quarantine_end = Some(now + QUARANTINE_TIME);
                changes.quarantined.push(id.clone());
            }
        }
        changes
    }
}
