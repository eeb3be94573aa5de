//! Decisions about callers' jobs, as pure state machines.
//!
//! Nothing here performs I/O; monotonic time and the time of day are passed in.
//!
//! * [`job`]: jobs, steps and queues as callers and operators describe them;
//! * [`record`]: records in the store;
//! * [`listing`]: entries of workers in service discovery;
//! * [`live_job`], [`worker`]: jobs and workers as the owner of a cell tracks them;
//! * [`layout`], [`wave_partition`]: division of a fleet, and of waves, into cells;
//! * [`scheduler`]: the [`Scheduler`] of a cell, with its event handlers in [`reports`], [`orders`]
//!   and [`flush`], and the requests that it emits in [`action`];
//! * `assignments`, `backoff`: long-running tasks whose workers are stored before they are started,
//!   and the waits between their attempts;
//! * [`waiting`], [`stalled`]: why waiting long-running tasks are not started, and jobs that have
//!   waited for too long;
//! * [`organisation`], [`fair_shares`], [`organisation_status`], [`fleet_limit`], [`limit_moves`]: organisations
//!   that share a deployment, their shares and limits, and allocations that move between cells;
//! * [`overload`]: what is delayed while a pool has little room;
//! * [`rank`], [`placement`](Scheduler::run_pass), `room`: priority of waiting work, choice of workers,
//!   and room for long-running tasks in a full pool;
//! * [`machines`], [`machine_orders`], [`maintenance`], [`rebalancing`](Scheduler::run_pass), [`burst_forecast`],
//!   [`arrivals`]: machines that move between pools or are maintained;
//! * [`estimate`], [`throttling`]: predicted task durations, and speed limits of best-effort tasks.

pub mod action;
pub mod arrivals;
mod assignments;
mod backoff;
pub mod burst_forecast;
pub mod estimate;
pub mod failed_runs;
pub mod fair_shares;
mod finished_tasks;
pub mod fleet_limit;
pub mod flush;
mod fresh_clock;
mod gang;
mod incarnations;
pub mod job;
pub mod layout;
pub mod limit_moves;
pub mod listing;
pub mod live_job;
pub mod live_task;
pub mod machine_orders;
pub mod machines;
pub mod maintenance;
mod moved_queues;
pub mod orders;
pub mod organisation;
pub mod organisation_status;
pub mod overload;
pub mod passing;
mod placement;
pub mod polls;
mod progress;
pub mod rank;
mod rebalancing;
pub mod record;
pub mod reports;
mod reservations;
mod restarts;
mod room;
pub mod scheduler;
pub mod size_shares;
mod slot;
pub mod stalled;
pub mod task_table;
pub mod throttling;
mod tickets;
mod vacating;
pub mod waiting;
pub mod wave_partition;
pub mod worker;

pub use action::Action;
pub use action::JobSettings;
pub use action::PoolConfig;
pub use action::StartOrder;
pub use action::WorkerOrder;
pub use flush::FinalWrite;
pub use flush::Flush;
pub use flush::FlushOutcome;
pub use flush::JobKeyState;
pub use job::Job;
pub use job::JobError;
pub use job::JobId;
pub use job::Queue;
pub use job::QueueKey;
pub use job::Schedule;
pub use job::Step;
pub use job::TaskKey;
pub use job::TicketTiming;
pub use listing::WorkerListing;
pub use live_job::LiveJob;
pub use machine_orders::MachineOrder;
pub use machine_orders::MachineOutcome;
pub use machines::Machine;
pub use machines::MachineState;
pub use maintenance::WaveRequest;
pub use maintenance::WaveState;
pub use orders::OrderOutcome;
pub use orders::Refusal;
pub use organisation::Organisation;
pub use polls::PollRequest;
pub use rebalancing::PoolDemand;
pub use record::AcceptedJob;
pub use record::CellRecord;
pub use record::FinalState;
pub use record::JobRecord;
pub use record::JobState;
pub use reports::PollResponse;
pub use reports::ReportedEnd;
pub use reports::ReportedRun;
pub use reports::RunEnd;
pub use scheduler::Scheduler;
pub use waiting::WaitReason;
