//! Decides whether a job or a worker is at fault when tasks fail.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use nutmegcart_model::JobName;
use nutmegcart_model::PoolName;
use nutmegcart_model::WorkerId;
use serde::Deserialize;
use serde::Serialize;

/// Distinct jobs that a worker fails in a row before it is quarantined.
pub const BAD_WORKER: usize = 3;
/// Distinct healthy workers on which a job or task fails before it is set aside.
pub const BAD_JOB: usize = 3;
/// One worker in this many may be quarantined in a pool.
pub const QUARANTINE_SHARE: usize = 10;
/// Time after which a quarantined worker is tried with one task.
pub const QUARANTINE_TIME: Duration = Duration::from_mins(10);
/// Weight of a failure on a worker that no other job failed on.
const HEALTHY: usize = 2;
/// Weight of a failure on a worker that other jobs failed on too. Half the weight keeps a few bad
/// workers from setting jobs aside, while several bad jobs at once are still found.
const DOUBTFUL: usize = 1;
/// Failures in a row that are remembered for each worker.
const ROW: usize = 8;

/// Failures of one worker in a row.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct FailureStreak {
    /// Jobs that failed, latest last, with repeats.
    jobs: Vec<JobName>,
    /// End of the quarantine.
    #[serde(default)]
    quarantine: Option<Duration>,
}

impl FailureStreak {
    fn distinct<'a>(&'a self, bad: &'a BTreeSet<JobName>) -> usize {
        let jobs: BTreeSet<&JobName> = self.jobs.iter().filter(|job| !bad.contains(*job)).collect();
        jobs.len()
    }
}

/// Evidence from failed tasks, kept per job and per worker.
///
/// A failure counts against its job only while its worker is not suspect, and against its worker
/// only while its job is not set aside. A bad job therefore cannot quarantine a pool, and a bad
/// worker cannot set jobs aside.
///
/// ```
/// # use nutmegcart_fleet::FailureTracker;
/// let mut blame = FailureTracker::default();
/// for worker in ["w1", "w2", "w3"] {
///     blame.failed(&"broken".into(), &worker.into());
/// }
/// assert!(blame.is_bad_job("broken"));
/// assert!(!blame.is_suspect("w1"));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FailureTracker {
    workers: BTreeMap<WorkerId, FailureStreak>,
    jobs: BTreeMap<JobName, BTreeSet<WorkerId>>,
    bad: BTreeSet<JobName>,
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
    /// Records a failure by the task itself.
    pub fn failed(&mut self, job: &JobName, worker: &WorkerId) {
        let row = self.workers.entry(worker.clone()).or_default();
        if row.jobs.len() == ROW {
            row.jobs.remove(0);
        }
        row.jobs.push(job.clone());
        let workers = self.jobs.entry(job.clone()).or_default();
        workers.insert(worker.clone());
        self.judge();
    }

    /// Records a success, which clears the evidence against the job and the worker.
    pub fn succeeded(&mut self, job: &JobName, worker: &WorkerId) {
        let cleared = self.jobs.remove(job).is_some();
        let row = self.workers.get_mut(worker).is_some_and(|row| {
            row.jobs.clear();
            true
        });
        if cleared || row {
            self.judge();
        }
    }

    /// Forgets a job, for example because its record changed.
    pub fn forget(&mut self, job: &JobName) {
        for row in self.workers.values_mut() {
            row.jobs.retain(|other| other != job);
        }
        if self.jobs.remove(job).is_some() {
            self.judge();
        }
    }

    /// Decides anew which jobs are bad; jobs already judged bad stay out of the workers' rows.
    fn judge(&mut self) {
        let mut bad = BTreeSet::new();
        for (job, workers) in &self.jobs {
            let points = workers.iter().map(|worker| self.points(job, worker));
            if points.sum::<usize>() >= BAD_JOB * HEALTHY {
                bad.insert(job.clone());
            }
        }
        self.bad = bad;
    }

    /// Returns how much a failure on the worker says against the job.
    fn points(&self, job: &str, worker: &str) -> usize {
        if self.is_suspect(worker) {
            0
        } else if self.is_healthy(job, worker) {
            HEALTHY
        } else {
            DOUBTFUL
        }
    }

    /// Returns whether no other job has failed on the worker since its last success.
    #[must_use]
    pub fn is_healthy(&self, job: &str, worker: &str) -> bool {
        let row = self.workers.get(worker);
        row.is_none_or(|row| {
            row.quarantine.is_none() && row.jobs.iter().all(|other| &**other == job)
        })
    }

    /// Returns whether the job failed on enough healthy workers.
    #[must_use]
    pub fn is_bad_job(&self, job: &str) -> bool {
        self.bad.contains(job)
    }

    /// Returns whether the worker failed enough distinct jobs in a row, quarantined or not.
    #[must_use]
    pub fn is_suspect(&self, worker: &str) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|row| row.quarantine.is_some() || row.distinct(&self.bad) >= BAD_WORKER)
    }

    /// Returns the failures in a row of jobs that are not set aside.
    #[must_use]
    pub fn row(&self, worker: &str) -> usize {
        self.workers.get(worker).map_or(0, |row| {
            let counted = row.jobs.iter().filter(|job| !self.bad.contains(*job));
            counted.count()
        })
    }

    /// Returns whether the worker receives no tasks.
    #[must_use]
    pub fn is_quarantined(&self, worker: &str) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|row| row.quarantine.is_some())
    }

    /// Returns whether the job failed since its last success.
    #[must_use]
    pub fn has_evidence(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    /// Returns whether the job failed on the worker since its last success.
    #[must_use]
    pub fn has_failed_on(&self, job: &str, worker: &str) -> bool {
        self.jobs
            .get(job)
            .is_some_and(|workers| workers.contains(worker))
    }

    /// Releases workers whose time is over and quarantines suspects within each pool's cap.
    ///
    /// The cap is a tenth of the pool, rounded down. In a pool of fewer than ten workers nobody is
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
            // A pool that lost workers may hold more than its cap; the excess is released.
            let full = (counts.1 + 1) * QUARANTINE_SHARE > counts.0;
            let Some(row) = self.workers.get_mut(id) else {
                continue;
            };
            let guilty = row.distinct(&self.bad) >= BAD_WORKER;
            if row
                .quarantine
                .is_some_and(|end| end <= now || !guilty || full)
            {
                let over = row.quarantine.is_some_and(|end| end <= now);
                row.quarantine = None;
                if over {
                    // The trial starts without evidence, so one failure is not enough.
                    row.jobs.clear();
                }
                changes.released.push(id.clone());
            } else if row.quarantine.is_some() {
                counts.1 += 1;
            } else if guilty {
                suspects.push((id, pool));
            }
        }
        for (id, pool) in suspects {
            let (size, held) = pools.entry(pool).or_default();
            if (*held + 1) * QUARANTINE_SHARE <= *size
                && let Some(row) = self.workers.get_mut(id)
            {
                *held += 1;
                row.quarantine = Some(now + QUARANTINE_TIME);
                changes.quarantined.push(id.clone());
            }
        }
        changes
    }
}
