//! The process of an entry instance on a platform with a store of its own.
//!
//! One thread serves callers and, on an instance that owns a cell, gives its orders. Decisions
//! about jobs and machines are in `nutmegcart_jobs`; this crate carries them out.
//!
//! * [`port`]: what an adapter provides;
//! * [`node`], [`process`]: shared state, start and shutdown;
//! * [`caller`], [`accept`]: callers' requests, and how jobs are accepted exactly once;
//! * [`interface`]: nutmegcart's own interface for jobs;
//! * [`cell`], [`candidacy`], [`duty`]: ownership of cells, and what their owners do;
//! * [`keys`], [`follow`]: keys of the store, and following them;
//! * [`peer`]: questions to owners;
//! * [`http`], [`clock`], [`logger`], [`metrics`]: plumbing.

pub mod accept;
pub mod caller;
pub mod candidacy;
pub mod cell;
pub mod clock;
pub mod duty;
pub mod follow;
mod generated;
pub mod http;
pub mod interface;
pub mod keys;
pub mod logger;
pub mod metrics;
pub mod node;
pub mod peer;
pub mod port;
pub mod process;
pub mod routing;
mod shared;
mod waves;
mod writer;

pub use node::Node;
pub use node::Settings;
