//! Versioned configuration: acceptance of changes through the store, and their distribution to all
//! entry instances.
//!
//! * [`Configuration`]: the documents with their [`History`];
//! * [`ConfigView`]: the records parsed from the documents;
//! * [`accept`]: validates a change and commits it to the store;
//! * [`repair`]: writes the active configuration to a store that lost it;
//! * [`ClusterState`]: the active configurations of all entry instances, as far as they are known;
//! * [`ActiveConfig`]: the active configuration of this instance, which never goes back;
//! * [`ConfigWatcher`]: reads changes of the configuration from the store.

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
