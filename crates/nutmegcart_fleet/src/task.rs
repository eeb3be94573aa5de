//! Tasks and their attempts.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use nutmegcart_model::JobName;
use nutmegcart_model::TaskId;
use nutmegcart_model::WorkerId;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// Serialises durations as whole milliseconds.
pub(crate) mod millis {
    use super::Deserialize;
    use super::Deserializer;
    use super::Duration;
    use super::Serializer;

    pub fn serialize<S: Serializer>(time: &Duration, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_u64(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<Duration, D::Error> {
        u64::deserialize(input).map(Duration::from_millis)
    }
}

/// Identifier of one attempt to run a task, never reused; also the operation identifier of its
/// start.
///
/// ```
/// # use nutmegcart_fleet::AttemptId;
/// let attempt: AttemptId = "report/17#42".parse().unwrap();
/// assert_eq!((attempt.index, attempt.number), (17, 42));
/// assert_eq!(attempt.to_string(), "report/17#42");
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId {
    /// Job of the task.
    pub job: JobName,
    /// Index of the task within its job.
    pub index: u32,
    /// Operation number, unique in the data centre.
    pub number: u64,
}

impl AttemptId {
    /// Returns the identifier of the task, `<job>/<index>`.
    #[must_use]
    pub fn task(&self) -> TaskId {
        format!("{}/{}", self.job, self.index).into()
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}#{}", self.job, self.index, self.number)
    }
}

/// Error for an attempt identifier that cannot be parsed.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("an attempt identifier has the form <job>/<index>#<number>")]
pub struct MalformedAttempt;

impl FromStr for AttemptId {
    type Err = MalformedAttempt;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (job, rest) = text.split_once('/').ok_or(MalformedAttempt)?;
        let (index, number) = rest.split_once('#').ok_or(MalformedAttempt)?;
        Ok(Self {
            job: job.into(),
            index: index.parse().map_err(|_| MalformedAttempt)?,
            number: number.parse().map_err(|_| MalformedAttempt)?,
        })
    }
}

impl Serialize for AttemptId {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        out.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for AttemptId {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        let text = String::deserialize(input)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Phase of a task that was attempted and has not ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// No attempt can be running; the task waits for the next one.
    #[default]
    Waiting,
    /// The start is stored, and the worker has not confirmed it.
    Starting,
    /// The worker confirmed the start.
    Running,
    /// A checkpoint is being saved, after which the attempt ends.
    Checkpointing,
    /// The attempt is being stopped.
    Stopping,
}

/// Status of a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStatus {
    /// It may still run.
    Open,
    /// It was cancelled or is not configured, and no attempt has run or ever will.
    NotRun,
    /// It finished successfully.
    Done,
    /// It ran in part and is known to have stopped.
    Stopped,
    /// It failed on distinct healthy workers and is not retried.
    Failed,
    /// It was cancelled, and an attempt may have run, but its end is unknown.
    Unknown,
}

/// A task that was attempted and has not ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// Phase of the current attempt.
    pub phase: TaskPhase,
    /// Number of the current or last attempt.
    pub attempt: u64,
    /// Worker of the current attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<WorkerId>,
    /// Boot count of the worker at the start of the attempt; zero if unknown.
    #[serde(default)]
    pub boot: u64,
    /// Latest end of the lease that may have been granted to the worker.
    #[serde(rename = "until", default, with = "millis")]
    pub lease_end: Duration,
    /// End of the lease that this duty holder has granted; zero if only an earlier holder has.
    ///
    /// Not stored: a successor renews the lease at once, whatever the earlier holder granted.
    #[serde(skip)]
    pub granted_until: Duration,
    /// Processor reserved at the start, in thousandths of a core; unchanged by throttling.
    #[serde(rename = "granted", default)]
    pub granted_cpu: u64,
    /// Number of the attempt from whose checkpoint the next one resumes.
    #[serde(rename = "saved", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<u64>,
    /// Limit of processor use in thousandths of a core; none unless throttled.
    #[serde(rename = "limit", default, skip_serializing_if = "Option::is_none")]
    pub cpu_limit: Option<u64>,
    /// Whether an earlier attempt ran or may have run.
    #[serde(rename = "ran", default)]
    pub has_run: bool,
    /// Whether the outcome of an earlier attempt is unknown.
    #[serde(rename = "unknown", default)]
    pub outcome_unknown: bool,
    /// Workers on which the task failed, each once.
    #[serde(rename = "failed", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_workers: Vec<WorkerId>,
    /// Time before which the task is not retried.
    #[serde(skip)]
    pub not_before: Duration,
    /// Time at which the current phase began.
    #[serde(rename = "since", default, with = "millis")]
    pub phase_start: Duration,
    /// Time of the last call to the worker; not stored, so a restart repeats the call immediately.
    #[serde(skip)]
    pub last_call: Option<Duration>,
    /// Time until which the task is not moved to make room for others.
    #[serde(rename = "settled", default, with = "millis")]
    pub pinned_until: Duration,
}

impl Task {
    /// Returns whether an attempt may be running.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.phase != TaskPhase::Waiting
    }

    /// Ends an attempt whose outcome will never be known.
    pub(crate) fn mark_lost(&mut self) {
        self.phase = TaskPhase::Waiting;
        self.worker = None;
        self.cpu_limit = None;
        self.last_call = None;
        self.has_run = true;
        self.outcome_unknown = true;
    }

    /// Returns whether the attempt is being ended, so that its resources become free soon.
    #[must_use]
    pub fn is_ending(&self) -> bool {
        matches!(self.phase, TaskPhase::Checkpointing | TaskPhase::Stopping)
    }
}
