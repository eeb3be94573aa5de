//! Fleet decisions as pure functions: waves, placement, jobs, quotas, quarantine and lending.
//!
//! * [`Scheduler`]: places the tasks of jobs on workers and keeps their leases;
//! * [`Estimate`]: sizes learnt from usage, with the declared size as prior;
//! * [`Blame`]: decides whether a job or a worker is at fault when tasks fail;
//! * [`Ledger`]: quotas of teams.

pub mod action;
mod calls;
pub mod job;
mod outcome;
mod overload;
mod pass;
pub mod placement;
pub mod quarantine;
pub mod quota;
pub mod ranges;
pub mod scheduler;
pub mod size;
pub mod task;
mod urgent;
pub mod usage;
pub mod worker;

pub use action::Action;
pub use action::Decision;
pub use job::JobState;
pub use job::SetAside;
pub use quarantine::Blame;
pub use quota::Ledger;
pub use ranges::Ranges;
pub use scheduler::Scheduler;
pub use scheduler::Settings;
pub use size::Size;
pub use task::AttemptId;
pub use task::Fate;
pub use task::Task;
pub use usage::Estimate;
pub use worker::Outcome;
pub use worker::Report;
pub use worker::Worker;
