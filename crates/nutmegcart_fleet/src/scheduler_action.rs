//! What the scheduler asks for.

use std::time::Duration;

use nutmegcart_model::JobName;
use nutmegcart_model::WorkerId;

use crate::job_state::SetAsideReason;
use crate::resources::Resources;
use crate::task::AttemptId;

/// An effect, to be carried out after the state that contains its intent was written.
///
/// ```
/// # use nutmegcart_fleet::SchedulerAction;
/// let attempt = "report/0#1".parse().unwrap();
/// let action = SchedulerAction::Stop { worker: "w1".into(), attempt, boot: 1 };
/// assert_eq!(action.operation(), "report/0#1-stop");
/// ```
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerAction {
    /// Start a task under a lease.
    Start {
        /// Worker to start on.
        worker: WorkerId,
        /// Attempt, also the operation identifier.
        attempt: AttemptId,
        /// Size to reserve.
        size: Resources,
        /// Boot of the worker that is meant; after another reboot the worker refuses the start.
        boot: u64,
        /// End of the lease; the worker refuses the start after it.
        until: Duration,
        /// Attempt whose checkpoint is continued.
        from: Option<AttemptId>,
    },
    /// Stop a task; a task not started yet never will be.
    Stop {
        /// Worker of the attempt.
        worker: WorkerId,
        /// Attempt to stop.
        attempt: AttemptId,
        /// Boot of the worker under which the attempt was meant to start.
        boot: u64,
    },
    /// Save a task, then end it.
    Checkpoint {
        /// Worker of the attempt.
        worker: WorkerId,
        /// Attempt to save.
        attempt: AttemptId,
        /// Boot of the worker under which the attempt was meant to start.
        boot: u64,
    },
    /// Limit the processor use of a task, or lift the limit.
    Throttle {
        /// Worker of the attempt.
        worker: WorkerId,
        /// Attempt to limit.
        attempt: AttemptId,
        /// Limit in thousandths of a core; none lifts it.
        cpu: Option<u64>,
        /// Number of the operation.
        number: u64,
    },
    /// Extend the leases of a worker's tasks; repeating it changes nothing.
    Renew {
        /// Worker of the attempts.
        worker: WorkerId,
        /// Attempts with the new ends of their leases.
        leases: Vec<(AttemptId, Duration)>,
    },
    /// Let the worker forget ended attempts whose outcomes are stored.
    Forget {
        /// Worker of the attempts.
        worker: WorkerId,
        /// Ended attempts.
        attempts: Vec<AttemptId>,
    },
    /// Report that a job is set aside.
    SetAside {
        /// Job that is not started any more.
        job: JobName,
        /// Why.
        reason: SetAsideReason,
        /// Number of the operation.
        number: u64,
    },
    /// Report that a worker receives no new tasks.
    Quarantine {
        /// Worker that failed distinct jobs in a row.
        worker: WorkerId,
        /// Number of the operation.
        number: u64,
    },
    /// Report that a quarantined worker is tried again.
    Release {
        /// Worker that left quarantine.
        worker: WorkerId,
        /// Number of the operation.
        number: u64,
    },
}

impl SchedulerAction {
    /// Returns the operation identifier; a repeated one changes nothing.
    #[must_use]
    pub fn operation(&self) -> String {
        match self {
            Self::Start { attempt, .. } => attempt.to_string(),
            Self::Stop { attempt, .. } => format!("{attempt}-stop"),
            Self::Checkpoint { attempt, .. } => format!("{attempt}-checkpoint"),
            Self::Throttle {
                attempt, number, ..
            } => format!("{attempt}-throttle-{number}"),
            Self::Renew { worker, .. } => format!("{worker}-renew"),
            Self::Forget { worker, .. } => format!("{worker}-forget"),
            Self::SetAside { job, number, .. } => format!("{job}-set-aside-{number}"),
            Self::Quarantine { worker, number } => format!("{worker}-quarantine-{number}"),
            Self::Release { worker, number } => format!("{worker}-release-{number}"),
        }
    }
}

/// The result of one planning round.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SchedulerPlan {
    /// Effects in the order in which to carry them out.
    pub actions: Vec<SchedulerAction>,
    /// Whether the state must be written before the actions are carried out.
    pub needs_write: bool,
}
