//! What the scheduler is told and what it asks for: settings, orders and actions.

use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::WorkerId;

use crate::job::TaskKey;
use crate::machines::MachineOrder;

/// Times and bounds of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobSettings {
    /// Length of the lease under which runs live.
    pub lease: Duration,
    /// Longest lease that a worker grants.
    pub max_lease: Duration,
    /// Time for which an owner may act after its last successful renewal in the store.
    pub owner_validity: Duration,
    /// Time that orders of two owners for one machine are apart at least.
    pub order_gap: Duration,
    /// Time that a worker is away for a move.
    pub move_time: Duration,
    /// Time that a worker is away for maintenance.
    pub maintenance_time: Duration,
    /// Time for which the state of an ended job is shown at least.
    pub retention: Duration,
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
        }
    }
}

/// What the configuration says about a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolConfig {
    /// Whether its machines are switched off and lent to other pools on demand.
    pub spare: bool,
}

/// An order to start a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// Task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Description for the task.
    pub spec: Arc<str>,
    /// End of the lease on the worker's clock in milliseconds.
    pub lease_end: u64,
    /// Checkpoint to continue from.
    pub checkpoint: Option<Arc<str>>,
    /// Proof that the worker may run the step.
    pub ticket: Option<Arc<str>>,
}

/// What an order tells a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerOrder {
    /// Starts a task.
    Start(StartOrder),
    /// Stops a run.
    Stop {
        /// Task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
    },
    /// Sets the share of its speed that a run is allowed.
    Throttle {
        /// Task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// Share in percent.
        percent: u32,
    },
}

/// What the owner's I/O has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an order to a worker.
    Order {
        /// Worker.
        worker: WorkerId,
        /// Order.
        order: WorkerOrder,
    },
    /// Looks at a worker at once, beside the look that may be waiting there.
    Poll {
        /// Worker.
        worker: WorkerId,
    },
    /// Asks which workers may run a step.
    RequestTickets {
        /// First task of the step.
        step: TaskKey,
        /// Workers in question.
        workers: Vec<WorkerId>,
    },
    /// Gives an order for a machine.
    Machine {
        /// Machine.
        machine: Arc<str>,
        /// Order.
        order: MachineOrder,
    },
}

impl WorkerOrder {
    /// Returns the name of the kind of order, for metrics.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Start(_) => "start",
            Self::Stop { .. } => "stop",
            Self::Throttle { .. } => "pace",
        }
    }
}
