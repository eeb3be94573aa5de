//! The process of an entry instance on a platform with a store of its own.
//!
//! One thread serves callers and, on an instance that owns a cell, gives its orders. Decisions
//! about jobs and machines are in `nutmegcart_jobs`; this crate carries them out.
//!
//! * [`port`]: what an adapter provides;
//! * [`node`], [`process`]: shared state, start and shutdown;
//! * [`job_service`], [`acceptor`]: callers' requests, and how jobs are accepted exactly once;
//! * [`job_api`]: nutmegcart's own interface for jobs;
//! * [`ownership`], [`candidate`], [`owner`]: ownership of cells, and what their owners do;
//! * [`keys`], [`prefix_watcher`]: keys of the store, and following them;
//! * [`peer`]: questions to owners;
//! * [`http`], [`clock`], [`logger`], [`metrics`]: plumbing.

pub mod acceptor;
pub mod candidate;
pub mod clock;
mod generated;
pub mod http;
pub mod job_api;
pub mod job_service;
pub mod keys;
pub mod logger;
pub mod metrics;
pub mod node;
pub mod owner;
pub mod ownership;
pub mod peer;
pub mod port;
pub mod prefix_watcher;
pub mod process;
pub mod routing;
mod shared_keys;
mod waves;
mod writer;

pub use node::Node;
pub use node::NodeSettings;
