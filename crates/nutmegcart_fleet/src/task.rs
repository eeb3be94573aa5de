//! Tasks, their attempts and their fates.

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

/// Durations as whole milliseconds in the stored state.
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

/// One start of a task, never reused; it is also the operation identifier of the start.
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
    /// Number of the operation, unique in the data centre.
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

/// An attempt identifier that cannot be read.
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

/// Where a task that was attempted is in its life.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// No attempt may be running.
    #[default]
    Waiting,
    /// The start is written; the worker has not confirmed it.
    Starting,
    /// The worker confirmed the start.
    Running,
    /// The task is being saved and then ends.
    Checkpointing,
    /// The task is being stopped.
    Stopping,
}

/// What may be said about a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStatus {
    /// It has not ended yet.
    Open,
    /// It was cancelled or set aside, and no attempt ever ran or ever will.
    NotRun,
    /// It finished.
    Done,
    /// It ran in part and is known to have stopped.
    Stopped,
    /// It failed on distinct workers and is not tried again.
    Failed,
    /// It may have run; the worker never said how it ended.
    Unknown,
}

/// A task that was attempted and has not ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// Where the task is in its life.
    pub phase: TaskPhase,
    /// Number of the current or last attempt.
    pub attempt: u64,
    /// Worker of the current attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<WorkerId>,
    /// Boot of the worker under which the attempt started, zero if not known.
    #[serde(default)]
    pub boot: u64,
    /// Latest end of the lease that any message has granted.
    #[serde(default, with = "millis")]
    pub until: Duration,
    /// Processor reserved at the start, in thousandths of a core; a throttled task keeps it.
    #[serde(default)]
    pub granted: u64,
    /// Attempt whose checkpoint the next start continues from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<u64>,
    /// Limit of the processor use in thousandths of a core, while the task is throttled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<u64>,
    /// Whether an earlier attempt ran or may have run.
    #[serde(default)]
    pub ran: bool,
    /// Whether the end of an earlier attempt is not known.
    #[serde(default)]
    pub unknown: bool,
    /// Distinct workers on which the task failed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<WorkerId>,
    /// Time before which the task is not started again.
    #[serde(skip)]
    pub not_before: Duration,
    /// Time at which the current phase began.
    #[serde(default, with = "millis")]
    pub since: Duration,
    /// Time of the last call to the worker; none after a restart, so that it is repeated at once.
    #[serde(skip)]
    pub sent: Option<Duration>,
    /// Time until which the task is not moved for others.
    #[serde(default, with = "millis")]
    pub settled: Duration,
}

impl Task {
    /// Returns whether an attempt may be running.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.phase != TaskPhase::Waiting
    }

    /// Ends an attempt of which the outcome will never be known.
    pub(crate) fn lose(&mut self) {
        self.phase = TaskPhase::Waiting;
        self.worker = None;
        self.limit = None;
        self.sent = None;
        self.ran = true;
        self.unknown = true;
    }

    /// Returns whether the task is about to free its worker.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        matches!(self.phase, TaskPhase::Checkpointing | TaskPhase::Stopping)
    }
}
