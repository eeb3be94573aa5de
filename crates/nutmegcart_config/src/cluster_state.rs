//! What an entry instance knows of the configurations in force at the others.
//!
//! A store that was restored from a backup looks like any other store to an entry instance that
//! has seen nothing newer. A change is therefore accepted only while more than half of the roster
//! was heard, and only on a store that goes on from every configuration in force there. Instances
//! that know nothing of the past yet do not count.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::active_config::LoadedConfig;
use crate::configuration::Configuration;
use crate::configuration::Generation;
use crate::history::ConfigId;

/// What an entry instance last told of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigReport {
    /// Configuration in force there.
    #[serde(rename = "mark")]
    pub config_id: ConfigId,
    /// Whether it has caught up with the others since it started.
    pub established: bool,
}

/// The basis on which a change is accepted; it must be taken before the store is read.
#[derive(Clone, Debug, Default)]
pub struct ClusterState {
    /// Configuration in force here.
    pub configuration: Configuration,
    /// Configurations in force at the others, as far as they were heard.
    pub peer_configs: Vec<ConfigId>,
    /// Whether more than half of the roster was heard.
    pub has_quorum: bool,
    /// Lineage to start in an empty store, random.
    pub lineage: String,
}

impl ClusterState {
    /// Returns the standing of an entry instance without peers and without configuration.
    #[must_use]
    pub fn standalone(lineage: &str) -> Self {
        Self {
            has_quorum: true,
            lineage: lineage.to_owned(),
            ..Self::default()
        }
    }

    /// Returns the standing of an entry instance whose own report is given, next to the reports
    /// of all others in the roster; none for those that are silent.
    #[must_use]
    pub fn new(
        loaded: &Arc<LoadedConfig>,
        own: &ConfigReport,
        others: &[Option<ConfigReport>],
    ) -> Self {
        let reports = others.iter().flatten();
        let known = reports.clone().filter(|report| report.established).count();
        Self {
            configuration: loaded.configuration.clone(),
            has_quorum: (known + usize::from(own.established)) * 2 > others.len() + 1,
            peer_configs: reports.map(|report| report.config_id.clone()).collect(),
            lineage: String::new(),
        }
    }

    /// Sets the lineage to start in an empty store.
    #[must_use]
    pub fn with_lineage(mut self, lineage: impl Into<String>) -> Self {
        self.lineage = lineage.into();
        self
    }

    /// Returns the configurations in force here and elsewhere.
    pub(crate) fn config_ids(&self) -> impl Iterator<Item = ConfigId> {
        let own = self.configuration.history.config_id();
        self.peer_configs.iter().cloned().chain([own])
    }

    /// Returns whether nothing newer is in force elsewhere.
    #[must_use]
    pub fn is_newest(&self) -> bool {
        let own: Generation = self.configuration.generation();
        self.peer_configs
            .iter()
            .all(|config_id| config_id.generation <= own)
    }
}

/// Returns whether an entry instance now counts as one that knows the past: it has the newest
/// configuration of those heard, and has heard all others, or more than half of the roster's
/// established ones.
#[must_use]
pub fn is_established(own: &ConfigReport, others: &[Option<ConfigReport>]) -> bool {
    let reports = others.iter().flatten();
    let newest = reports
        .clone()
        .all(|report| report.config_id.generation <= own.config_id.generation);
    let known = reports.filter(|report| report.established).count();
    let all = others.iter().all(Option::is_some);
    own.established || newest && (all || known * 2 > others.len() + 1)
}
