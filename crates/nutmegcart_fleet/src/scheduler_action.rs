//! Actions that the scheduler orders.

use std::time::Duration;

use nutmegcart_model::JobName;
use nutmegcart_model::WorkerId;

use crate::job_scheduling_state::SetAsideReason;
use crate::resources::Resources;
use crate::task::AttemptId;

/// An action to carry out once the state that contains its intent is stored.
///
/// ```
/// # use nutmegcart_fleet::SchedulerAction;
/// let attempt = "report/0#1".parse().unwrap();
/// let action = SchedulerAction::Stop { worker: "w1".into(), attempt, boot: 1 };
/// assert_eq!(action.operation(), "report/0#1-stop");
/// ```
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerAction {
    /// Starts a task under a lease.
    Start {
        /// Worker to start the task on.
        worker: WorkerId,
        /// Attempt to start; also the operation identifier.
        attempt: AttemptId,
        /// Resources to reserve.
        size: Resources,
        /// Expected boot count of the worker; after a further reboot it refuses the start.
        boot: u64,
        /// End of the lease, after which the worker refuses the start.
        until: Duration,
        /// Earlier attempt from whose checkpoint the task resumes.
        from: Option<AttemptId>,
    },
    /// Stops an attempt, or prevents its start if it has not started yet.
    Stop {
        /// Worker of the attempt.
        worker: WorkerId,
        /// Attempt to stop.
        attempt: AttemptId,
        /// Expected boot count of the worker at the start of the attempt.
        boot: u64,
    },
    /// Saves a checkpoint of a task, then ends the task.
    Checkpoint {
        /// Worker of the attempt.
        worker: WorkerId,
        /// Attempt to checkpoint.
        attempt: AttemptId,
        /// Expected boot count of the worker at the start of the attempt.
        boot: u64,
    },
    /// Limits the processor use of a task, or lifts the limit.
    Throttle {
        /// Worker of the attempt.
        worker: WorkerId,
        /// Attempt to throttle.
        attempt: AttemptId,
        /// Limit in thousandths of a core; none lifts the limit.
        cpu: Option<u64>,
        /// Operation number, unique in the data centre.
        number: u64,
    },
    /// Extends the leases of a worker's tasks; idempotent.
    Renew {
        /// Worker of the attempts.
        worker: WorkerId,
        /// Attempts and the new ends of their leases.
        leases: Vec<(AttemptId, Duration)>,
    },
    /// Permits the worker to forget ended attempts, whose outcomes are stored.
    Forget {
        /// Worker of the attempts.
        worker: WorkerId,
        /// Ended attempts.
        attempts: Vec<AttemptId>,
    },
    /// Reports that a job was set aside.
    SetAside {
        /// Job that is not started any more.
        job: JobName,
        /// Why it was set aside.
        reason: SetAsideReason,
        /// Operation number, unique in the data centre.
        number: u64,
    },
    /// Reports that a worker was quarantined and receives no new tasks.
    Quarantine {
        /// Worker on which tasks of several jobs failed in a row.
        worker: WorkerId,
        /// Operation number, unique in the data centre.
        number: u64,
    },
    /// Reports that a worker left quarantine and receives tasks again.
    Release {
        /// Worker that left quarantine.
        worker: WorkerId,
        /// Operation number, unique in the data centre.
        number: u64,
    },
}

impl SchedulerAction {
    /// Returns the operation identifier, by which a repeated action has no effect.
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

/// Result of a scheduling round.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SchedulerPlan {
    /// Actions in the order in which to carry them out.
    pub actions: Vec<SchedulerAction>,
    /// Whether to store the state before the actions are carried out.
    pub needs_write: bool,
}
