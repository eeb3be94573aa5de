//! The entry instance: HTTP for callers, operators and peers, worker pool, shared tables and
//! shutdown.
//!
//! [`Entry::start`] brings up an entry instance from checked [`Settings`].

pub mod admin;
pub mod backend;
pub mod config_sync;
pub mod dispatch;
pub mod duty;
pub mod entry;
pub mod fleet_state;
pub mod forward;
pub mod http;
pub mod limits;
pub mod metrics;
pub mod operation;
pub mod peering;
pub mod roster;
pub mod server;
pub mod settings;
pub mod tables;
pub mod tasks;
pub mod workers;

pub use entry::Entry;
pub use settings::Settings;
