//! What the store keeps of jobs: accepted jobs, final states and the state of a cell.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use nutmegcart_model::PoolName;
use nutmegcart_model::WorkerId;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::job::Job;
use crate::job::Queue;
use crate::job::TaskKey;

/// Result of the functions of this module.
pub type Result<T> = std::result::Result<T, RecordError>;

/// Version of the records that this program writes.
///
/// Fields are only ever added at the end of a record, each with a default, so an older record
/// reads with defaults and a newer one is refused.
pub const SCHEMA: u32 = 1;

/// Why a record from the store cannot be used.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum RecordError {
    /// The bytes are not a record.
    #[display("the record cannot be decoded: {reason}")]
    Malformed {
        /// What the decoder reported.
        reason: String,
    },
    /// A newer program wrote the record.
    #[display("the record has schema {found}, above {SCHEMA}")]
    Newer {
        /// Version found.
        found: u32,
    },
}

/// How a job ended.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum FinalState {
    /// Every task finished.
    #[display("completed")]
    Completed,
    /// A task failed as often as its queue allows.
    #[display("failed")]
    Failed,
    /// The caller cancelled the job.
    #[display("cancelled")]
    Cancelled,
}

/// State of a job as callers see it.
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

/// A job in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobRecord {
    /// Accepted and not ended.
    Accepted(Box<AcceptedJob>),
    /// Ended; the description is no longer kept.
    Ended {
        /// How it ended.
        how: FinalState,
        /// When it ended, in milliseconds since 1970.
        at: u64,
    },
}

/// An accepted job with the queue as it was configured then.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// Queue.
    pub queue: Queue,
    /// When it was accepted, in milliseconds since 1970.
    pub at: u64,
    /// Job.
    pub job: Job,
}

/// A worker that may run tasks of the cell.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EnrolledWorker {
    /// Worker.
    pub worker: WorkerId,
    /// Start of its present life in milliseconds since 1970.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Pool.
    pub pool: PoolName,
    /// Address that the orders go to.
    pub address: Arc<str>,
    /// Machine that it runs on, if known.
    #[serde(default)]
    pub machine: Option<Arc<str>>,
}

/// Progress of one task that a successor cannot learn from the workers any more.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Task.
    pub task: TaskKey,
    /// Whether it has finished.
    pub done: bool,
    /// Numbers of the runs that failed.
    pub failed: Vec<u32>,
    /// Highest run number used.
    pub run: u32,
    /// Latest checkpoint.
    #[serde(rename = "saved")]
    pub checkpoint: Option<Arc<str>>,
}

/// State of a cell that outlives its owner.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct CellRecord {
    /// Workers that may have been given tasks.
    pub workers: Vec<EnrolledWorker>,
    /// Progress of unfinished jobs.
    pub tasks: Vec<TaskProgress>,
    /// Machines that have been maintained, by wave.
    #[serde(default)]
    pub maintained: Vec<(u64, Vec<Arc<str>>)>,
    /// Machines that were given an order lately, or are about to be.
    #[serde(default)]
    #[serde(rename = "commanded")]
    pub ordered_machines: Vec<Arc<str>>,
}

/// Encodes a record with its version.
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

/// Decodes a record and checks its version.
///
/// # Errors
///
/// Fails if the bytes are malformed or a newer program wrote them.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let malformed = |error: rmp_serde::decode::Error| RecordError::Malformed {
        reason: error.to_string(),
    };
    let (found, record): (u32, T) = rmp_serde::from_slice(bytes).map_err(malformed)?;
    if found > SCHEMA {
        return Err(RecordError::Newer { found });
    }
    Ok(record)
}
