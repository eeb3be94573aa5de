//! What the scheduler is told and what it asks for: settings, orders and actions.

use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::WorkerId;

use crate::job::TaskKey;
use crate::machines::MachineOrder;

/// Times and bounds of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Length of the lease under which runs live.
    pub hold: Duration,
    /// Longest lease that a worker grants.
    pub hold_max: Duration,
    /// Time for which an owner may act after its last successful renewal in the store.
    pub authority: Duration,
    /// Time that orders of two owners for one machine are apart at least.
    pub apart: Duration,
    /// Time that a worker is away for a move.
    pub move_time: Duration,
    /// Time that a worker is away for maintenance.
    pub upkeep_time: Duration,
    /// Time for which the state of an ended job is shown at least.
    pub shown: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            hold: Duration::from_secs(5),
            hold_max: Duration::from_secs(10),
            authority: Duration::from_secs(6),
            apart: Duration::from_secs(3),
            move_time: Duration::from_millis(1_500),
            upkeep_time: Duration::from_secs(2),
            shown: Duration::from_mins(3),
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
    pub until: u64,
    /// Checkpoint to continue from.
    pub checkpoint: Option<Arc<str>>,
    /// Proof that the worker may run the step.
    pub ticket: Option<Arc<str>>,
}

/// What an order tells a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
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
    Pace {
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
        order: Order,
    },
    /// Looks at a worker at once, beside the look that may be waiting there.
    Look {
        /// Worker.
        worker: WorkerId,
    },
    /// Asks which workers may run a step.
    Advise {
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

impl Order {
    /// Returns the name of the kind of order, for metrics.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Start(_) => "start",
            Self::Stop { .. } => "stop",
            Self::Pace { .. } => "pace",
        }
    }
}
