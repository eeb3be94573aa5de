//! Settings of the scheduler, and the orders and actions that it emits.

use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::WorkerId;

use crate::job::TaskKey;
use crate::machine_orders::MachineOrder;

/// Durations and limits that the scheduler works with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobSettings {
    /// Length of the lease that a worker's runs need to stay alive.
    pub lease: Duration,
    /// Longest lease that a worker accepts; it shortens longer ones.
    pub max_lease: Duration,
    /// Time after the latest renewal of its key in the store for which an owner may act.
    pub owner_validity: Duration,
    /// Minimum time between orders of two owners for the same machine.
    pub order_gap: Duration,
    /// Time for which a worker is unavailable while its machine moves.
    pub move_time: Duration,
    /// Time for which a worker is unavailable while its machine is maintained.
    pub maintenance_time: Duration,
    /// Minimum time for which callers can read the state of an ended job.
    pub retention: Duration,
    /// Size of the largest value that the store accepts, in bytes.
    pub max_value: usize,
}

impl Default for JobSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(5),
            max_lease: Duration::from_secs(10),
            owner_validity: Duration::from_secs(6),
            order_gap: Duration::from_secs(3),
            move_time: Duration::from_millis(1_500),
            maintenance_time: Duration::from_secs(2),
            retention: Duration::from_mins(3),
            max_value: 1 << 20,
        }
    }
}

/// Configuration of a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolConfig {
    /// Whether the pool holds switched-off machines that other pools use on demand.
    pub spare: bool,
}

/// An order to start a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// Task to start.
    pub task: TaskKey,
    /// Run number, unique within the task.
    pub run: u32,
    /// Opaque description from the job.
    pub spec: Arc<str>,
    /// End of the lease on the worker's clock in milliseconds.
    pub lease_end: u64,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// Ticket that permits the worker to run the step, if the queue requires one.
    pub ticket: Option<Arc<str>>,
}

/// An order to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerOrder {
    /// Starts a task.
    Start(StartOrder),
    /// Stops a run.
    Stop {
        /// Task of the run.
        task: TaskKey,
        /// Run number.
        run: u32,
    },
    /// Limits the speed of a run.
    Throttle {
        /// Task of the run.
        task: TaskKey,
        /// Run number.
        run: u32,
        /// Speed limit in percent of full speed.
        percent: u32,
    },
}

/// An I/O request from the scheduler to its owner.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an order to a worker.
    Order {
        /// Recipient.
        worker: WorkerId,
        /// Content.
        order: WorkerOrder,
    },
    /// Polls a worker at once, in parallel to a poll that may be waiting there.
    Poll {
        /// Worker to poll.
        worker: WorkerId,
    },
    /// Requests tickets that permit workers to run a step.
    RequestTickets {
        /// Task 0 of the step.
        step: TaskKey,
        /// Candidate workers.
        workers: Vec<WorkerId>,
    },
    /// Sends an order for a machine to the platform.
    Machine {
        /// Name of the machine.
        machine: Arc<str>,
        /// Content.
        order: MachineOrder,
    },
}

impl WorkerOrder {
    /// Returns the metric label of the kind of order.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Start(_) => "start",
            Self::Stop { .. } => "stop",
            Self::Throttle { .. } => "pace",
        }
    }
}
