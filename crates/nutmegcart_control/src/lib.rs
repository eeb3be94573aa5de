//! The process of an entry instance on a platform with a store of its own.
//!
//! One thread serves callers and, on the instance that owns the cell, gives the orders. Decisions
//! about jobs and machines are in `nutmegcart_jobs`; this crate carries them out.
//!
//! * [`port`]: what an adapter provides;
//! * [`node`], [`process`]: shared state, start and shutdown;
//! * [`caller`], [`accept`]: callers' requests, and how jobs are accepted exactly once;
//! * [`cell`], [`duty`]: ownership of the cell, and what its owner does;
//! * [`follow`]: following keys of the store;
//! * [`peer`]: questions to the owner;
//! * [`http`], [`clock`], [`logger`], [`metrics`]: plumbing.

pub mod accept;
pub mod caller;
pub mod cell;
pub mod clock;
pub mod duty;
pub mod follow;
pub mod http;
pub mod logger;
pub mod metrics;
pub mod node;
pub mod peer;
pub mod port;
pub mod process;
pub mod routing;
mod writer;

pub use node::Node;
pub use node::Settings;
