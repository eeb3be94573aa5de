//! The platform's workers, and the tasks that run on them under leases.

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

/// Result of a call to the task interface.
pub type Result<T> = std::result::Result<T, HttpError>;

/// How an attempt stands according to its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    /// It runs.
    Running,
    /// It finished.
    Done,
    /// It failed by itself.
    Failed,
    /// It was saved, and then ended.
    Checkpointed,
    /// It was stopped, its lease ended, or the worker ended it to protect itself.
    Stopped,
    /// It never ran, and the worker refuses any later start under this identifier.
    NotRun,
    /// It does not run, and the worker rebooted since it was meant to start, so nobody knows
    /// whether it ran.
    Lost,
}

/// Amounts of resources.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ResourceAmounts {
    /// Processor in thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub memory: u64,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

/// A worker as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ListedWorker {
    /// Identifier, stable over reboots.
    pub id: WorkerId,
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Rack, a failure domain.
    pub rack: Rack,
    /// What it has.
    pub capacity: ResourceAmounts,
    /// Whether it is to be emptied.
    #[serde(default)]
    pub leaving: bool,
}

/// Answer to the worker list call.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WorkerList {
    /// Workers in ascending order of identifier.
    pub workers: Vec<ListedWorker>,
}

/// One attempt in a report.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// Identifier of the attempt.
    pub attempt: String,
    /// How it stands.
    pub outcome: AttemptState,
    /// What it used when the report was made.
    #[serde(default)]
    pub usage: ResourceAmounts,
}

/// The latest report of a worker that reached the platform.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Worker that reports.
    pub worker: WorkerId,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
    /// Number of boots so far.
    pub boot: u64,
    /// Running attempts, and ended ones that were not forgotten.
    pub attempts: Vec<AttemptReport>,
}

/// Answer to the report call.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ReportList {
    /// Reports in ascending order of worker.
    pub reports: Vec<WorkerReport>,
}

/// What a worker is asked to do with an attempt.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "verb")]
pub enum CommandKind {
    /// Start under a lease.
    Start {
        /// Boot of the worker that is meant.
        boot: u64,
        /// End of the lease in milliseconds since the Unix epoch.
        until_ms: u64,
        /// Amounts to reserve.
        size: ResourceAmounts,
        /// Attempt whose checkpoint is continued.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        from: Option<String>,
    },
    /// Extend the lease; an earlier end than the present one changes nothing.
    Renew {
        /// End of the lease in milliseconds since the Unix epoch.
        until_ms: u64,
    },
    /// Stop, or never start.
    Stop {
        /// Boot of the worker that is meant.
        boot: u64,
    },
    /// Save, then end.
    Checkpoint {
        /// Boot of the worker that is meant.
        boot: u64,
    },
    /// Limit the processor use, or lift the limit.
    Throttle {
        /// Limit in thousandths of a core; absent lifts it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        cpu: Option<u64>,
    },
    /// Leave an ended attempt out of reports from now on.
    Forget,
}

/// One command to a worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerCommand {
    /// Operation identifier; a repeated one changes nothing.
    pub operation: String,
    /// Attempt that is meant.
    pub attempt: String,
    /// What to do.
    #[serde(flatten)]
    pub verb: CommandKind,
}

/// Body of the command call.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CommandList {
    /// Commands, carried out in this order.
    pub commands: Vec<WorkerCommand>,
}

/// How an attempt stands after a command.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CommandAnswer {
    /// Attempt of the command.
    pub attempt: String,
    /// How it stands.
    pub outcome: AttemptState,
}

/// Answer to the command call.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CommandAnswerList {
    /// One answer for each command, in the same order.
    pub answers: Vec<CommandAnswer>,
}

/// One call to the task interface.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskCall {
    /// Lists the workers of a data centre.
    Workers(DataCentre),
    /// Reads the latest reports of a data centre's workers.
    Reports(DataCentre),
    /// Sends commands to a worker.
    Command(WorkerId, Vec<WorkerCommand>),
}

/// Answer of the task interface.
#[derive(Clone, Debug)]
pub enum TaskReply {
    /// Answers [`TaskCall::Workers`].
    Workers(Vec<ListedWorker>),
    /// Answers [`TaskCall::Reports`].
    Reports(Vec<WorkerReport>),
    /// Answers [`TaskCall::Command`].
    Answers(Vec<CommandAnswer>),
}

/// The platform's task interface behind a closure.
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
    /// Creates the interface from the closure that carries its calls.
    pub fn new(call: impl Fn(TaskCall) -> Result<TaskReply> + Send + Sync + 'static) -> Self {
        Self {
            call: Arc::new(call),
        }
    }

    /// Talks to the platform at the address over HTTP; `docs/interfaces.md` has the details.
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

    /// Sends commands to a worker and returns how their attempts stand.
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
