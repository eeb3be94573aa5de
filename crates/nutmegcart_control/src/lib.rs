//! The `manage` process: an entry instance on a platform that provides its own store.
//!
//! The fleet is divided into cells. One instance owns each cell and schedules its jobs. One thread
//! serves callers and sends the orders of owned cells. `nutmegcart_jobs` makes the decisions about
//! jobs and machines; this crate executes them.
//!
//! * [`port`]: interfaces that an adapter to a platform implements;
//! * [`node`], [`process`]: shared state, start and shutdown;
//! * [`caller_request`], [`job_service`], [`acceptor`]: callers' requests, and storing each
//!   accepted job exactly once;
//! * `job_lookup`: finding a stored job, to show or cancel it;
//! * [`job_api`]: nutmegcart's own HTTP interface for jobs;
//! * [`ownership`], [`candidate`], [`handoff`], [`owner`]: ownership of cells, and the tasks of an
//!   owner;
//! * [`owner_history`], [`owner_log`]: earlier owners, and until when they can have granted leases;
//! * [`passing`]: waiting jobs that pass to another cell;
//! * [`limit_exchange`]: allocations of organisations' limits that move between cells;
//! * [`keys`], [`prefix_watcher`]: names of keys in the store, and watching them;
//! * [`view_age`]: until when decisions may be made from what was read;
//! * [`peer`]: requests between instances;
//! * [`operator_records`]: configurations and waves, from the store or from peers;
//! * [`organisations`]: what is wrong with the organisations of a configuration;
//! * [`api_keys`], [`access`]: keys of callers, and whose jobs they may show and cancel;
//! * [`cell_status`]: the status of all cells for operators;
//! * [`routing`]: mapping of requests to queues;
//! * [`clock`], [`logger`], [`metrics`]: infrastructure.

pub mod acceptor;
pub mod access;
pub mod api_keys;
pub mod caller_request;
pub mod candidate;
pub mod cell_status;
pub mod clients;
pub mod clock;
mod earlier_owners;
mod generated;
pub mod handoff;
pub mod job_api;
mod job_lookup;
pub mod job_service;
pub mod keys;
pub mod limit_exchange;
pub mod logger;
pub mod member;
pub mod metrics;
pub mod node;
pub mod operator_records;
pub mod organisations;
pub mod owner;
pub mod owner_history;
pub mod owner_log;
pub mod ownership;
pub mod passing;
pub mod peer;
pub mod port;
pub mod prefix_watcher;
pub mod process;
mod release;
pub mod routing;
mod shared_keys;
mod status;
pub mod store_probe;
pub mod view_age;
mod waves;
mod writer;

pub use node::Node;
pub use node::NodeSettings;
