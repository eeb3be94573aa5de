//! Accepted configuration: generations, acceptance through the store, and spread between entry
//! instances.
//!
//! * [`Configuration`]: documents in force with their [`History`], and the typed [`ConfigView`];
//! * [`accept`]: commits a change through the store, or says why not;
//! * [`repair`]: writes the configuration in force to a store that lost it;
//! * [`ClusterState`]: what the other entry instances have in force;
//! * [`ActiveConfig`]: the shared holder that only ever moves to a higher generation;
//! * [`ConfigWatcher`]: reads the store's changes as they come.

pub mod accept;
pub mod active_config;
pub mod cluster_state;
pub mod config_view;
pub mod config_watcher;
pub mod configuration;
pub mod history;
pub mod repair;
pub mod stored_config;

pub use accept::ChangeOutcome;
pub use accept::ChangeRequest;
pub use accept::accept_change;
pub use active_config::ActiveConfig;
pub use cluster_state::ClusterState;
pub use cluster_state::ConfigReport;
pub use config_view::ConfigView;
pub use config_watcher::ConfigWatcher;
pub use configuration::ConfigDelta;
pub use configuration::Configuration;
pub use configuration::Generation;
pub use history::ConfigId;
pub use history::History;
pub use repair::RepairRequest;
pub use repair::repair_store;
pub use stored_config::load_config;
