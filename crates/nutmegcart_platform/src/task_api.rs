//! Client of the platform's task API: the worker list, reports of workers and commands to them.
//!
//! Tasks run on workers in attempts, each of which holds a lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::DataCentre;
use nutmegcart_model::PoolName;
use nutmegcart_model::Rack;
use nutmegcart_model::WorkerId;
use serde::Deserialize;
use serde::Serialize;

use crate::http;
use crate::http::HttpError;

/// Result of a [`TaskCall`].
pub type Result<T> = std::result::Result<T, HttpError>;

/// State of an attempt according to its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    /// The attempt is running.
    Running,
    /// The attempt finished successfully.
    Done,
    /// The attempt ended by itself with an error.
    Failed,
    /// The worker saved a checkpoint of the attempt and then ended it.
    Checkpointed,
    /// The attempt was stopped, its lease ended, or the worker ended it to protect itself.
    Stopped,
    /// The attempt never ran, and the worker refuses any later start under its identifier.
    NotRun,
    /// The attempt is not running and may have run: the worker rebooted after the attempt was to
    /// start.
    Lost,
}

/// Amounts of resources, in the form that the task API uses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ResourceAmounts {
    /// Processor in thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub memory: u64,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

/// A worker in the platform's worker list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ListedWorker {
    /// Identifier, stable over reboots.
    pub id: WorkerId,
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Rack in which it runs, a failure domain.
    pub rack: Rack,
    /// Total resources of the worker.
    pub capacity: ResourceAmounts,
    /// Whether its tasks must be moved away.
    #[serde(default)]
    pub leaving: bool,
}

/// Answer to the worker list call.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WorkerList {
    /// Workers in ascending order of identifier.
    pub workers: Vec<ListedWorker>,
}

/// State of one attempt in a worker's report.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// Identifier of the attempt.
    pub attempt: String,
    /// State when the report was made.
    pub outcome: AttemptState,
    /// Resources used when the report was made.
    #[serde(default)]
    pub usage: ResourceAmounts,
}

/// The latest report of a worker that the platform has received.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Worker that reports.
    pub worker: WorkerId,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
    /// Number of times that the worker has booted.
    pub boot: u64,
    /// Running attempts, and ended ones for which no [`CommandKind::Forget`] was received.
    pub attempts: Vec<AttemptReport>,
}

/// Answer to the report call.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ReportList {
    /// Reports in ascending order of worker identifier.
    pub reports: Vec<WorkerReport>,
}

/// Action that a worker is to take on an attempt.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "verb")]
pub enum CommandKind {
    /// Starts the attempt under a lease.
    Start {
        /// Boot of the worker for which the command is valid.
        boot: u64,
        /// End of the lease in milliseconds since the Unix epoch.
        until_ms: u64,
        /// Resources to reserve.
        size: ResourceAmounts,
        /// Attempt from whose checkpoint this one continues.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        from: Option<String>,
    },
    /// Extends the lease; an end before the current one has no effect.
    Renew {
        /// End of the lease in milliseconds since the Unix epoch.
        until_ms: u64,
    },
    /// Stops the attempt, or refuses any later start of it.
    Stop {
        /// Boot of the worker for which the command is valid.
        boot: u64,
    },
    /// Saves a checkpoint of the attempt, then ends it.
    Checkpoint {
        /// Boot of the worker for which the command is valid.
        boot: u64,
    },
    /// Limits the processor use of the attempt, or removes the limit.
    Throttle {
        /// Limit in thousandths of a core; if absent, the limit is removed.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        cpu: Option<u64>,
    },
    /// Omits an ended attempt from all later reports.
    Forget,
}

/// One command to a worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerCommand {
    /// Operation identifier; a repeated one has no effect.
    pub operation: String,
    /// Attempt to which the command applies.
    pub attempt: String,
    /// Action to take on the attempt.
    #[serde(flatten)]
    pub verb: CommandKind,
}

/// Body of the command call.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CommandList {
    /// Commands; the worker carries them out in this order.
    pub commands: Vec<WorkerCommand>,
}

/// State of an attempt after a command.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CommandAnswer {
    /// Attempt of the command.
    pub attempt: String,
    /// State after the command.
    pub outcome: AttemptState,
}

/// Answer to the command call.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CommandAnswerList {
    /// One answer for each command, in the same order.
    pub answers: Vec<CommandAnswer>,
}

/// One call to the task API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskCall {
    /// Lists the workers of a data centre.
    Workers(DataCentre),
    /// Reads the latest reports of a data centre's workers.
    Reports(DataCentre),
    /// Sends commands to a worker.
    Command(WorkerId, Vec<WorkerCommand>),
}

/// Answer of the task API to a [`TaskCall`].
#[derive(Clone, Debug)]
pub enum TaskReply {
    /// Answers [`TaskCall::Workers`].
    Workers(Vec<ListedWorker>),
    /// Answers [`TaskCall::Reports`].
    Reports(Vec<WorkerReport>),
    /// Answers [`TaskCall::Command`].
    Answers(Vec<CommandAnswer>),
}

/// Client of the platform's task API; a closure carries out its calls.
///
/// ```
/// # use nutmegcart_platform::TaskApi;
/// # use nutmegcart_platform::task_api::TaskReply;
/// let tasks = TaskApi::new(|_| Ok(TaskReply::Workers(Vec::new())));
/// assert!(tasks.workers(&"suva".into()).unwrap().is_empty());
/// ```
#[derive(Clone)]
pub struct TaskApi {
    call: Arc<dyn Fn(TaskCall) -> Result<TaskReply> + Send + Sync>,
}

macro_rules! expect_reply {
    ($reply:expr, $variant:path) => {
        match $reply {
            $variant(value) => Ok(value),
            other => Err(HttpError::NoAnswer {
                reason: format!("unexpected answer {other:?}"),
            }),
        }
    };
}

impl TaskApi {
    /// Creates a client from the closure that carries out its calls.
    pub fn new(call: impl Fn(TaskCall) -> Result<TaskReply> + Send + Sync + 'static) -> Self {
        Self {
            call: Arc::new(call),
        }
    }

    /// Creates a client that calls the platform at the address over HTTP, as described in
    /// `docs/interfaces.md`.
    #[must_use]
    pub fn http(address: SocketAddr, timeout: Duration) -> Self {
        let agent = http::agent(timeout);
        Self::new(move |call| match call {
            TaskCall::Workers(centre) => {
                let url = format!("http://{address}/v1/centres/{centre}/workers");
                http::get::<WorkerList>(&agent, &url).map(|list| TaskReply::Workers(list.workers))
            }
            TaskCall::Reports(centre) => {
                let url = format!("http://{address}/v1/centres/{centre}/reports");
                http::get::<ReportList>(&agent, &url).map(|list| TaskReply::Reports(list.reports))
            }
            TaskCall::Command(worker, commands) => {
                let url = format!("http://{address}/v1/workers/{worker}/tasks");
                let body = CommandList { commands };
                http::post::<CommandAnswerList>(&agent, &url, &body)
                    .map(|list| TaskReply::Answers(list.answers))
            }
        })
    }

    /// Lists the workers of a data centre.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    pub fn workers(&self, centre: &DataCentre) -> Result<Vec<ListedWorker>> {
        expect_reply!(
            (self.call)(TaskCall::Workers(centre.clone()))?,
            TaskReply::Workers
        )
    }

    /// Reads the latest reports of a data centre's workers.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    pub fn reports(&self, centre: &DataCentre) -> Result<Vec<WorkerReport>> {
        expect_reply!(
            (self.call)(TaskCall::Reports(centre.clone()))?,
            TaskReply::Reports
        )
    }

    /// Sends commands to a worker and returns the states of their attempts.
    ///
    /// # Errors
    ///
    /// Fails if the worker does not answer; the commands may be repeated.
    pub fn command(
        &self,
        worker: &WorkerId,
        commands: Vec<WorkerCommand>,
    ) -> Result<Vec<CommandAnswer>> {
        let call = TaskCall::Command(worker.clone(), commands);
        expect_reply!((self.call)(call)?, TaskReply::Answers)
    }
}
