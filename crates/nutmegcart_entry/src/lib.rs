//! The entry instance: HTTP for callers, operators and peers, control loops, shared tables and
//! shutdown.
//!
//! [`EntryInstance::start`] starts an entry instance with checked [`EntrySettings`].

pub mod admin;
pub mod buffer_quota;
pub mod config_sync;
pub mod duty;
pub mod entry_instance;
pub mod entry_settings;
pub mod fleet_state;
pub mod forward;
pub mod http;
pub mod metrics;
pub mod operation;
pub mod peering;
pub mod request_dispatcher;
pub mod roster;
pub mod runner_connections;
pub mod server;
pub mod tables;
pub mod task_controller;
pub mod tickets;

pub use entry_instance::EntryInstance;
pub use entry_settings::EntrySettings;
