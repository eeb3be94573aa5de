//! Jobs that callers submit: steps of tasks with dependencies.

use std::collections::BTreeSet;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use nutmegcart_fleet::Resources;
use nutmegcart_model::PoolName;
use nutmegcart_model::Rack;
use serde::Deserialize;
use serde::Serialize;

/// Result of checking a job.
pub type Result<T> = std::result::Result<T, JobError>;

/// Maximum number of steps of a job; the largest declared kind of job has five.
pub const MAX_STEPS: usize = 64;
/// Maximum number of tasks of a step.
pub const MAX_TASKS: u32 = 10_000;
/// Maximum length of a job's opaque description, from the published interface.
pub const MAX_SPEC_BYTES: usize = 4_000;
/// Longest duration that is expected of a task, in milliseconds: a hundred years. A longer declared
/// one counts as this, so that sums and multiples of durations stay in range.
pub const MAX_ESTIMATE_MS: u64 = 100 * 365 * 24 * 3_600 * 1_000;

/// Error of checking a job.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum JobError {
    /// The identifier is not 16 hexadecimal digits.
    #[display("the job identifier is not 16 hexadecimal digits")]
    Identifier,
    /// The description is longer than [`MAX_SPEC_BYTES`].
    #[display("the description has {length} bytes, above {MAX_SPEC_BYTES}")]
    SpecLength {
        /// Length in bytes.
        length: usize,
    },
    /// The number of steps is zero or above [`MAX_STEPS`].
    #[display("the job has {count} steps; 1 to {MAX_STEPS} are allowed")]
    StepCount {
        /// Number of steps.
        count: usize,
    },
    /// The number of tasks of a step is zero or above [`MAX_TASKS`].
    #[display("step {step} has {count} tasks; 1 to {MAX_TASKS} are allowed")]
    TaskCount {
        /// Number of the step.
        step: usize,
        /// Number of tasks.
        count: u32,
    },
    /// A step depends on itself or on a later step.
    #[display("step {step} depends on step {on}, which is not an earlier one")]
    Dependency {
        /// Number of the step.
        step: usize,
        /// Number of the step that it depends on.
        on: u16,
    },
}

/// Identifier of a job, 16 hexadecimal digits chosen by the caller.
///
/// ```
/// # use nutmegcart_jobs::JobId;
/// assert!(JobId::parse("5c0e7a21d94b36f8").is_ok());
/// assert!(JobId::parse("../config").is_err());
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(Arc<str>);

impl JobId {
    /// Length of every identifier in characters.
    pub const LENGTH: usize = 16;

    /// Parses an identifier.
    ///
    /// # Errors
    ///
    /// Fails with [`JobError::Identifier`].
    pub fn parse(text: &str) -> Result<Self> {
        let hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() == Self::LENGTH && hex {
            Ok(Self(text.into()))
        } else {
            Err(JobError::Identifier)
        }
    }
}

impl Deref for JobId {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// One task of one occurrence of a job.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct TaskKey {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Number of the occurrence; 0 for a job without a schedule.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u16,
    /// Number of the task within its step.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl TaskKey {
    /// Parses the output of [`fmt::Display`].
    ///
    /// ```
    /// # use nutmegcart_jobs::TaskKey;
    /// let key = TaskKey::parse("5c0e7a21d94b36f8.0.1.17").unwrap();
    /// assert_eq!((key.step, key.index), (1, 17));
    /// assert_eq!(key.to_string(), "5c0e7a21d94b36f8.0.1.17");
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let job = JobId::parse(parts.next()?).ok()?;
        let occurrence = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        parts.next().is_none().then_some(Self {
            job,
            occurrence,
            step,
            index,
        })
    }
}

/// A step of a job: tasks with the same properties.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the properties are independent of each other"
)]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks, 1 to [`MAX_TASKS`].
    pub count: u32,
    /// Resources that each task needs.
    pub need: Resources,
    /// Duration of one task in milliseconds as declared by the caller; often wrong by a factor.
    #[serde(rename = "estimate")]
    pub estimate_ms: u64,
    /// Numbers of earlier steps whose tasks must have finished before this step starts.
    pub after: Vec<u16>,
    /// Whether the tasks can only run all at the same time.
    pub gang: bool,
    /// Whether the tasks are slow unless they run in the same rack.
    #[serde(rename = "together")]
    pub same_rack: bool,
    /// Label that the worker must have.
    pub label: Option<Arc<str>>,
    /// Rack that holds the tasks' data.
    pub rack: Option<Rack>,
    /// Maximum number of tasks of the step on one worker; 0 for no limit.
    #[serde(rename = "spread")]
    pub per_worker: u32,
    /// Whether several copies of a task may run in parallel.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Whether the tasks write checkpoints.
    pub checkpoints: bool,
    /// Image that the tasks run; tasks of one image have similar durations.
    pub image: Option<Arc<str>>,
    /// Bound on the tail latency of a serving task in milliseconds; 0 for none.
    #[serde(rename = "target")]
    pub target_ms: u64,
    /// Whether the tasks only use processor time that other tasks leave idle.
    #[serde(rename = "filler")]
    pub best_effort: bool,
    /// Availability budget of a long-running step: tasks that the scheduler may make unavailable at
    /// once; one if not set.
    #[serde(rename = "away")]
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// Returns the part of a worker's capacity that a task occupies.
    ///
    /// ```
    /// # use nutmegcart_jobs::Step;
    /// # use nutmegcart_fleet::Resources;
    /// let step = Step { need: Resources::new(500, 256, 0), best_effort: true, ..Step::default() };
    /// assert_eq!(step.allocation(), Resources::new(0, 256, 0));
    /// ```
    #[must_use]
    pub const fn allocation(&self) -> Resources {
        if self.best_effort {
            Resources::new(0, self.need.memory, self.need.accelerators)
        } else {
            self.need
        }
    }

    /// Returns the declared duration, at most [`MAX_ESTIMATE_MS`].
    #[must_use]
    pub fn declared(&self) -> Duration {
        Duration::from_millis(self.estimate_ms.min(MAX_ESTIMATE_MS))
    }
}

/// Schedule of a job that runs repeatedly.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// Time of the first occurrence in milliseconds since 1970.
    #[serde(rename = "first")]
    pub first_ms: u64,
    /// Time between occurrences in milliseconds.
    #[serde(rename = "period")]
    pub period_ms: u64,
    /// Number of occurrences.
    pub count: u32,
}

/// A job as its caller submitted it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Opaque description that is passed to every task.
    pub spec: Arc<str>,
    /// Steps; each depends only on earlier ones.
    pub steps: Vec<Step>,
    /// Schedule; none if the job runs once, at once.
    pub schedule: Option<Schedule>,
}

impl Job {
    /// Checks limits and dependencies between steps.
    ///
    /// ```
    /// # use nutmegcart_jobs::{Job, JobError, Step};
    /// let step = Step { count: 1, after: vec![0], ..Step::default() };
    /// let job = Job { steps: vec![step], ..Job::default() };
    /// assert_eq!(job.check(), Err(JobError::Dependency { step: 0, on: 0 }));
    /// ```
    ///
    /// # Errors
    ///
    /// Fails with the first violation.
    pub fn check(&self) -> Result<()> {
        if self.spec.len() > MAX_SPEC_BYTES {
            return Err(JobError::SpecLength {
                length: self.spec.len(),
            });
        }
        let count = self.steps.len();
        if count == 0 || count > MAX_STEPS {
            return Err(JobError::StepCount { count });
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_TASKS {
                return Err(JobError::TaskCount {
                    step: number,
                    count: step.count,
                });
            }
            let later = step.after.iter().find(|on| usize::from(**on) >= number);
            if let Some(on) = later {
                return Err(JobError::Dependency {
                    step: number,
                    on: *on,
                });
            }
        }
        Ok(())
    }

    /// Returns whether any step is long-running.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns the work of one occurrence in core-seconds, with the given duration for each step.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_fleet::Resources;
    /// # use nutmegcart_jobs::{Job, Step};
    /// let step = Step { count: 3, need: Resources::new(2_000, 0, 0), ..Step::default() };
    /// let job = Job { steps: vec![step], ..Job::default() };
    /// assert!((job.work(|_| Duration::from_secs(2)) - 12.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn work(&self, duration: impl Fn(&Step) -> Duration) -> f64 {
        let work = |step: &Step| {
            let cores = step.need.cpu as f64 / 1_000.0;
            cores * f64::from(step.count) * duration(step).as_secs_f64()
        };
        self.steps.iter().map(work).sum()
    }

    /// Returns the duration of the longest chain of dependent steps, not counting those in `done`.
    ///
    /// ```
    /// # use std::collections::BTreeSet;
    /// # use std::time::Duration;
    /// # use nutmegcart_jobs::{Job, Step};
    /// let first = Step { count: 1, ..Step::default() };
    /// let second = Step { count: 1, after: vec![0], ..Step::default() };
    /// let job = Job { steps: vec![first, second], ..Job::default() };
    /// let second = |_: &Step| Duration::from_secs(1);
    /// assert_eq!(job.critical_path(&BTreeSet::new(), second), Duration::from_secs(2));
    /// assert_eq!(job.critical_path(&BTreeSet::from([0]), second), Duration::from_secs(1));
    /// ```
    #[must_use]
    pub fn critical_path(
        &self,
        done: &BTreeSet<u16>,
        duration: impl Fn(&Step) -> Duration,
    ) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for (number, step) in self.steps.iter().enumerate() {
            let before = step.after.iter().map(|on| ends[usize::from(*on)]).max();
            let own = if done.contains(&u16::try_from(number).unwrap_or(u16::MAX)) {
                Duration::ZERO
            } else {
                duration(step)
            };
            ends.push(before.unwrap_or_default() + own);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}

/// Key of a queue: host and path prefix that jobs are submitted to.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct QueueKey {
    /// Host that jobs are submitted to.
    pub host: Arc<str>,
    /// Path prefix that jobs are submitted to.
    pub prefix: Arc<str>,
}

impl fmt::Display for QueueKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{}", self.host, self.prefix)
    }
}

/// Configuration of a queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Host and path prefix, unique among queues.
    pub key: QueueKey,
    /// Pool whose workers run the queue's tasks.
    pub pool: PoolName,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub attempts: u32,
    /// Factor of the critical path in the latency objective of a job.
    pub stretch: f64,
    /// Constant part of the latency objective in milliseconds.
    #[serde(rename = "target")]
    pub target_ms: u64,
    /// Durations of ticket requests, if the queue requires tickets.
    #[serde(rename = "advice")]
    pub ticket_timing: Option<TicketTiming>,
}

/// Durations of the service that issues tickets, which permit workers to run a step.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct TicketTiming {
    /// Fixed duration of a call in milliseconds.
    #[serde(rename = "fixed")]
    pub fixed_ms: u64,
    /// Duration for each candidate worker in milliseconds.
    #[serde(rename = "each")]
    pub each_ms: u64,
    /// Validity of a ticket in milliseconds.
    #[serde(rename = "valid")]
    pub valid_ms: u64,
}
