//! Records in the store: accepted jobs, final states and the state of a cell.

use std::collections::BTreeSet;
use std::io::Cursor;
use std::ops::RangeInclusive;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use nutmegcart_fleet::IndexRanges;
use nutmegcart_model::OrganisationName;
use nutmegcart_model::PoolName;
use nutmegcart_model::WorkerId;
use rmp_serde::decode::ReadReader;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::job::Job;
use crate::job::JobId;
use crate::job::Queue;
use crate::job::QueueKey;
use crate::job::TaskKey;

/// Result of decoding a record.
pub type Result<T> = std::result::Result<T, RecordError>;

/// Version of the records that this program writes.
///
/// Fields are encoded by position. New ones are added at the end of a record with a default, so
/// older records decode with defaults; records of newer versions are refused.
pub const SCHEMA: u32 = 1;
/// Form of the cell state that this program reads. Programs of form 0 do not read
/// [`CellRecord::finished`].
pub const STATE_FORMAT: u32 = 1;

/// Error of decoding a record.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum RecordError {
    /// The bytes are not a record.
    #[display("the record cannot be decoded: {reason}")]
    Malformed {
        /// Error message of the decoder.
        reason: String,
    },
    /// A newer program wrote the record.
    #[display("the record has schema {found}, above {SCHEMA}")]
    Newer {
        /// Version in the record.
        found: u32,
    },
}

/// Final state of a job.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum FinalState {
    /// All tasks finished.
    #[display("completed")]
    Completed,
    /// A task used up the attempts that its queue allows.
    #[display("failed")]
    Failed,
    /// The caller cancelled the job.
    #[display("cancelled")]
    Cancelled,
}

/// State of a job that callers see.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    #[display("pending")]
    Pending,
    /// At least one task has started.
    #[display("running")]
    Running,
    /// The job has ended.
    #[display("{_0}")]
    Ended(FinalState),
}

/// Record of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobRecord {
    /// The job is accepted and has not ended.
    Accepted(Box<AcceptedJob>),
    /// The job has ended; its description has been removed.
    Ended {
        /// Final state.
        how: FinalState,
        /// When it ended, in milliseconds since 1970.
        at: u64,
        /// Organisation that it belonged to, if any.
        #[serde(skip)]
        organisation: Option<OrganisationName>,
    },
    /// A job that was cancelled while the store did not hold it. A write of the job that is carried out
    /// later finds the key and has no effect.
    Tombstone {
        /// When it was cancelled, in milliseconds since 1970.
        at: u64,
        /// Organisation of the caller that cancelled it, if any.
        #[serde(skip)]
        organisation: Option<OrganisationName>,
    },
}

impl JobRecord {
    /// Returns the organisation that the job belongs to, if any.
    #[must_use]
    pub const fn organisation(&self) -> Option<&OrganisationName> {
        match self {
            Self::Accepted(accepted) => accepted.organisation.as_ref(),
            Self::Ended { organisation, .. } | Self::Tombstone { organisation, .. } => {
                organisation.as_ref()
            }
        }
    }
}

/// An accepted job with its queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// Queue, as configured when the job was accepted.
    pub queue: Queue,
    /// When it was accepted, in milliseconds since 1970.
    pub at: u64,
    /// Description from the caller.
    pub job: Job,
    /// Time that it waited in another cell before it passed to this one, in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub waited_ms: u64,
    /// Progress that it had made in another cell before it passed to this one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub progress: Vec<TaskProgress>,
    /// Organisation whose key the job was submitted with, if one was required.
    #[serde(skip)]
    pub organisation: Option<OrganisationName>,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(millis: &u64) -> bool {
    *millis == 0
}

/// A worker that may run tasks of the cell.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EnrolledWorker {
    /// Identifier of the worker.
    pub worker: WorkerId,
    /// Start time of its current incarnation in milliseconds since 1970.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Address that orders are sent to.
    pub address: Arc<str>,
    /// Machine that it runs on, if known.
    #[serde(default)]
    pub machine: Option<Arc<str>>,
}

/// Progress of a task whose ends may have been acknowledged, so that workers no longer report it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Task that the progress belongs to.
    pub task: TaskKey,
    /// Whether it has finished.
    pub done: bool,
    /// Failed runs, in the form of [`crate::failed_runs::FailedRuns::stored`].
    pub failed: Vec<u32>,
    /// Highest run number used.
    pub run: u32,
    /// Latest checkpoint.
    #[serde(rename = "saved")]
    pub checkpoint: Option<Arc<str>>,
}

/// State of a cell for the successor of its owner.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct CellRecord {
    /// Workers that may have been given tasks.
    pub workers: Vec<EnrolledWorker>,
    /// Progress of unfinished jobs.
    pub tasks: Vec<TaskProgress>,
    /// Machines that have been maintained, by wave.
    #[serde(default)]
    pub maintained: Vec<(u64, Vec<Arc<str>>)>,
    /// Machines for which an order was sent recently or is about to be sent.
    #[serde(default)]
    #[serde(rename = "commanded")]
    pub ordered_machines: Vec<Arc<str>>,
    /// Queues whose open jobs may have tasks in pools other than that of their configuration.
    #[serde(skip)]
    pub moved_queues: Vec<QueueKey>,
    /// Fencing token of the owner that wrote the record; 0 if it was of a version without
    /// assignments.
    #[serde(skip)]
    pub fence: u64,
    /// Long-running tasks of which runs may live on the workers. What may run on a worker without an
    /// entry is not known.
    #[serde(skip)]
    pub assignments: Vec<Assignment>,
    /// Finished occurrences of the schedules of unfinished jobs.
    #[serde(skip)]
    pub past: Vec<(JobId, IndexRanges)>,
    /// Finished tasks of unfinished jobs that `tasks` does not list.
    #[serde(skip)]
    pub finished: Vec<FinishedTasks>,
    /// Workers that may still carry out orders for an earlier incarnation.
    #[serde(skip)]
    pub restarted: Vec<RestartedWorker>,
}

/// A worker that has started again under its identifier a short time ago.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RestartedWorker {
    /// Identifier of the worker.
    pub worker: WorkerId,
    /// Time in milliseconds, from the writing of the record, in which an order for the earlier
    /// incarnation may be carried out.
    pub left_ms: u64,
}

/// Finished tasks of one step of a job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct FinishedTasks {
    /// Job that the tasks belong to.
    pub job: JobId,
    /// Number of the occurrence; 0 for a job without a schedule.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u16,
    /// Numbers of the tasks within their step.
    pub indexes: IndexRanges,
}

/// Long-running tasks of which runs may live on a worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// Identifier of the worker.
    pub worker: WorkerId,
    /// Tasks, without those of gangs.
    pub tasks: Vec<TaskKey>,
}

impl CellRecord {
    /// Drops the assignments unless one of the latest owners wrote the record, whose fencing tokens
    /// are `writers`. None of them starts a long-running task before it has written a record.
    ///
    /// An owner of a version without assignments does, so a record of an owner before it may lack
    /// them.
    ///
    /// ```
    /// # use nutmegcart_jobs::record::{Assignment, CellRecord};
    /// let assignments = vec![Assignment { worker: "i-01".into(), tasks: Vec::new() }];
    /// let mut record = CellRecord { assignments, fence: 7, ..CellRecord::default() };
    /// record.check_writer(Some(&(7..=9)));
    /// assert_eq!(record.assignments.len(), 1);
    /// record.check_writer(Some(&(8..=9)));
    /// assert!(record.assignments.is_empty());
    /// ```
    pub fn check_writer(&mut self, writers: Option<&RangeInclusive<u64>>) {
        if writers.is_none_or(|writers| !writers.contains(&self.fence)) {
            self.assignments.clear();
        }
    }

    /// Returns the long-running tasks of which runs may live on a worker; `None` if that is not
    /// known.
    #[must_use]
    pub fn assigned_to(&self, worker: &WorkerId) -> Option<BTreeSet<TaskKey>> {
        let mut assignments = self.assignments.iter();
        let of_worker = assignments.find(|each| each.worker == *worker);
        of_worker.map(|each| each.tasks.iter().cloned().collect())
    }
}

/// Encodes a record with [`SCHEMA`].
///
/// ```
/// # use nutmegcart_jobs::record::{CellRecord, decode, encode};
/// let bytes = encode(&CellRecord::default());
/// assert_eq!(decode::<CellRecord>(&bytes).unwrap(), CellRecord::default());
/// assert!(decode::<CellRecord>(b"x").is_err());
/// ```
///
/// # Panics
///
/// Never: writing to memory cannot fail, and all records are plain data.
#[must_use]
pub fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    rmp_serde::to_vec(&(SCHEMA, record)).expect("records encode to memory")
}

/// Encodes the record of a job. Its organisation follows the record, where programs of versions without
/// organisations do not read.
///
/// ```
/// # use nutmegcart_jobs::FinalState;
/// # use nutmegcart_jobs::JobRecord;
/// # use nutmegcart_jobs::record::{decode_job, encode, encode_job};
/// let how = FinalState::Completed;
/// let record = JobRecord::Ended { how, at: 7, organisation: None };
/// assert_eq!(encode_job(&record), encode(&record));
/// let owned = JobRecord::Ended { how, at: 7, organisation: Some("ferries".into()) };
/// assert_eq!(decode_job(&encode_job(&owned)).unwrap(), owned);
/// ```
#[must_use]
pub fn encode_job(record: &JobRecord) -> Vec<u8> {
    let mut bytes = encode(record);
    if let Some(organisation) = record.organisation() {
        bytes.extend(encode(organisation));
    }
    bytes
}

/// Decodes the record of a job, with its organisation if it has one.
///
/// # Errors
///
/// Fails if the bytes are malformed or a newer program wrote them.
pub fn decode_job(bytes: &[u8]) -> Result<JobRecord> {
    let (mut record, organisations) = decode_extended::<JobRecord, OrganisationName>(bytes)?;
    let stored = organisations.into_iter().next();
    match &mut record {
        JobRecord::Accepted(accepted) => accepted.organisation = stored,
        JobRecord::Ended { organisation, .. } | JobRecord::Tombstone { organisation, .. } => {
            *organisation = stored;
        }
    }
    Ok(record)
}

/// Encodes the state of a cell.
///
/// The assignments and the moved queues follow the record, where programs of versions without them
/// do not read: they refuse a longer record, and would know no worker. The finished occurrences
/// follow these for the same reason, then the finished tasks and the restarted workers if there are
/// any.
///
/// ```
/// # use nutmegcart_jobs::record::{Assignment, CellRecord, decode, decode_cell, encode_cell};
/// let assignments = vec![Assignment { worker: "i-01".into(), tasks: Vec::new() }];
/// let record = CellRecord { assignments, fence: 7, ..CellRecord::default() };
/// let bytes = encode_cell(&record);
/// assert_eq!(decode_cell(&bytes).unwrap(), record);
/// assert_eq!(decode::<CellRecord>(&bytes).unwrap(), CellRecord::default());
/// ```
#[must_use]
pub fn encode_cell(record: &CellRecord) -> Vec<u8> {
    let mut bytes = encode(record);
    let added = (record.fence, &record.assignments, &record.moved_queues);
    bytes.extend(encode(&added));
    bytes.extend(encode(&record.past));
    if !record.finished.is_empty() || !record.restarted.is_empty() {
        bytes.extend(encode(&record.finished));
    }
    if !record.restarted.is_empty() {
        bytes.extend(encode(&record.restarted));
    }
    bytes
}

/// Decodes the state of a cell, with what follows the record if it contains that.
///
/// # Errors
///
/// Fails if the bytes are malformed or a newer program wrote them.
pub fn decode_cell(bytes: &[u8]) -> Result<CellRecord> {
    let mut decoder = rmp_serde::Deserializer::new(Cursor::new(bytes));
    let mut record: CellRecord = decode_next(&mut decoder)?;
    if decoder.position() < bytes.len() as u64 {
        (record.fence, record.assignments, record.moved_queues) = decode_next(&mut decoder)?;
    }
    if decoder.position() < bytes.len() as u64 {
        record.past = decode_next(&mut decoder)?;
    }
    if decoder.position() < bytes.len() as u64 {
        record.finished = decode_next(&mut decoder)?;
    }
    if decoder.position() < bytes.len() as u64 {
        record.restarted = decode_next(&mut decoder)?;
    }
    Ok(record)
}

/// Decodes a record, and those of another type that follow it. Programs of versions without them
/// read only the first.
///
/// ```
/// # use nutmegcart_jobs::record::{decode, decode_extended, encode};
/// let mut bytes = encode(&1);
/// assert_eq!(decode_extended::<u64, u64>(&bytes).unwrap(), (1, vec![]));
/// bytes.extend(encode(&2));
/// bytes.extend(encode(&3));
/// assert_eq!(decode_extended::<u64, u64>(&bytes).unwrap(), (1, vec![2, 3]));
/// assert_eq!(decode::<u64>(&bytes).unwrap(), 1);
/// ```
///
/// # Errors
///
/// Fails if the bytes are malformed or a newer program wrote them.
pub fn decode_extended<T: DeserializeOwned, U: DeserializeOwned>(
    bytes: &[u8],
) -> Result<(T, Vec<U>)> {
    let mut decoder = rmp_serde::Deserializer::new(Cursor::new(bytes));
    let record = decode_next(&mut decoder)?;
    let mut added = Vec::new();
    while decoder.position() < bytes.len() as u64 {
        added.push(decode_next(&mut decoder)?);
    }
    Ok((record, added))
}

/// Decodes a record and checks its version.
///
/// # Errors
///
/// Fails if the bytes are malformed or a newer program wrote them.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    decode_next(&mut rmp_serde::Deserializer::new(Cursor::new(bytes)))
}

fn decode_next<T: DeserializeOwned>(
    decoder: &mut rmp_serde::Deserializer<ReadReader<Cursor<&[u8]>>>,
) -> Result<T> {
    let malformed = |error: rmp_serde::decode::Error| RecordError::Malformed {
        reason: error.to_string(),
    };
    let (found, record): (u32, T) = Deserialize::deserialize(decoder).map_err(malformed)?;
    if found > SCHEMA {
        return Err(RecordError::Newer { found });
    }
    Ok(record)
}
