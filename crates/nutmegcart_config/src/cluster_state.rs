//! The active configurations of all entry instances, as known to one of them.
//!
//! An entry instance that has seen no newer configuration cannot detect that the store was
//! restored from a backup. A change is therefore accepted only if more than half of the roster
//! has reported, and only if the history in the store continues every reported configuration.
//! Instances that have not caught up since their start do not count towards this quorum.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::active_config::LoadedConfig;
use crate::configuration::Configuration;
use crate::configuration::Generation;
use crate::history::ConfigId;

/// What an entry instance reports to its peers about its configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigReport {
    /// Its active configuration.
    #[serde(rename = "mark")]
    pub config_id: ConfigId,
    /// Whether it has caught up with its peers since it started; see [`is_established`].
    pub established: bool,
}

/// The configurations of the cluster that a change or repair is checked against.
///
/// It must be collected before the store is read.
#[derive(Clone, Debug, Default)]
pub struct ClusterState {
    /// Active configuration of this instance.
    pub configuration: Configuration,
    /// Active configurations of the peers that have reported.
    pub peer_configs: Vec<ConfigId>,
    /// Whether more than half of the roster, this instance included, is established and has
    /// reported.
    pub has_quorum: bool,
    /// Random identifier of the lineage that the first change starts in an empty store.
    pub lineage: String,
}

impl ClusterState {
    /// Returns the state of a cluster of one entry instance without a configuration.
    #[must_use]
    pub fn standalone(lineage: &str) -> Self {
        Self {
            has_quorum: true,
            lineage: lineage.to_owned(),
            ..Self::default()
        }
    }

    /// Returns the state known to an entry instance, from its own report and one item per peer in
    /// the roster, which is `None` for a peer that has not reported.
    #[must_use]
    pub fn new(
        loaded: &Arc<LoadedConfig>,
        own: &ConfigReport,
        peers: &[Option<ConfigReport>],
    ) -> Self {
        let reports = peers.iter().flatten();
        let established = reports.clone().filter(|report| report.established).count();
        Self {
            configuration: loaded.configuration.clone(),
            has_quorum: (established + usize::from(own.established)) * 2 > peers.len() + 1,
            peer_configs: reports.map(|report| report.config_id.clone()).collect(),
            lineage: String::new(),
        }
    }

    /// Sets the identifier of the lineage that the first change starts in an empty store.
    #[must_use]
    pub fn with_lineage(mut self, lineage: impl Into<String>) -> Self {
        self.lineage = lineage.into();
        self
    }

    /// Returns the active configurations of the peers and of this instance.
    pub(crate) fn config_ids(&self) -> impl Iterator<Item = ConfigId> {
        let own = self.configuration.history.config_id();
        self.peer_configs.iter().cloned().chain([own])
    }

    /// Returns whether no peer has reported a newer generation.
    #[must_use]
    pub fn is_newest(&self) -> bool {
        let own: Generation = self.configuration.generation();
        self.peer_configs
            .iter()
            .all(|config_id| config_id.generation <= own)
    }
}

/// Returns whether an entry instance is established, which means that it counts towards the quorum.
///
/// An instance becomes established once it has the newest reported configuration, and either all
/// peers have reported, or the established peers that have reported are more than half of the
/// roster. It stays established until it restarts.
#[must_use]
pub fn is_established(own: &ConfigReport, peers: &[Option<ConfigReport>]) -> bool {
    let reports = peers.iter().flatten();
    let newest = reports
        .clone()
        .all(|report| report.config_id.generation <= own.config_id.generation);
    let established = reports.filter(|report| report.established).count();
    let all = peers.iter().all(Option::is_some);
    own.established || newest && (all || established * 2 > peers.len() + 1)
}
