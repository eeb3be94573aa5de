//! Decisions about jobs that callers hand in, as pure state machines.
//!
//! Nothing here performs I/O; time and the time of day are passed in.
//!
//! * [`job`]: jobs, steps and queues as callers and operators describe them;
//! * [`record`]: what the store keeps;
//! * [`live`], [`worker`]: jobs and workers as the owner of a cell knows them;
//! * [`layout`], [`parts`]: the division of a fleet, and of waves, into cells;
//! * [`scheduler`]: the [`Scheduler`] of a cell, with its events in [`runs`], [`orders`] and
//!   [`durable`], and what it asks for in [`action`];
//! * [`order`], [`pass`](Scheduler::pass): which work goes first, and where;
//! * [`machines`], [`upkeep`], [`lending`](Scheduler::pass), [`turns`]: machines that change their pool or
//!   are maintained;
//! * [`estimate`], [`pacing`]: what is learnt, and how work that shares a worker is kept apart.

pub mod action;
mod advice;
pub mod durable;
pub mod estimate;
pub mod job;
pub mod layout;
mod lending;
pub mod live;
mod lives;
pub mod machines;
pub mod order;
pub mod orders;
pub mod pacing;
pub mod parts;
mod pass;
pub mod record;
pub mod runs;
pub mod scheduler;
mod slot;
pub mod turns;
pub mod upkeep;
pub mod worker;

pub use action::Action;
pub use action::Order;
pub use action::PoolConfig;
pub use action::Settings;
pub use action::StartOrder;
pub use durable::FinalWrite;
pub use durable::Flush;
pub use durable::Flushed;
pub use durable::KeyNow;
pub use job::Advice;
pub use job::Job;
pub use job::JobError;
pub use job::JobId;
pub use job::Queue;
pub use job::QueueKey;
pub use job::Schedule;
pub use job::Step;
pub use job::TaskKey;
pub use live::LiveJob;
pub use machines::Machine;
pub use machines::MachineOrder;
pub use machines::MachineOutcome;
pub use machines::MachineState;
pub use orders::Outcome;
pub use orders::Refusal;
pub use record::Accepted;
pub use record::CellRecord;
pub use record::Final;
pub use record::JobRecord;
pub use record::JobState;
pub use runs::ListedEnd;
pub use runs::ListedRun;
pub use runs::Look;
pub use runs::Report;
pub use runs::RunEnd;
pub use scheduler::Scheduler;
pub use upkeep::WaveRequest;
pub use upkeep::WaveState;
pub use worker::Listing;
