//! What an entry instance knows of the configurations in force at the others.
//!
//! A store that was restored from a backup looks like any other store to an entry instance that
//! has seen nothing newer. A change is therefore accepted only while more than half of the roster
//! was heard, and only on a store that goes on from every configuration in force there. Instances
//! that know nothing of the past yet do not count.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Configuration;
use crate::configuration::Generation;
use crate::history::Mark;
use crate::in_force::Loaded;

/// What an entry instance last told of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Configuration in force there.
    pub mark: Mark,
    /// Whether it has caught up with the others since it started.
    pub established: bool,
}

/// The basis on which a change is accepted; it must be taken before the store is read.
#[derive(Clone, Debug, Default)]
pub struct Standing {
    /// Configuration in force here.
    pub configuration: Configuration,
    /// Configurations in force at the others, as far as they were heard.
    pub others: Vec<Mark>,
    /// Whether more than half of the roster was heard.
    pub heard: bool,
    /// Lineage to start in an empty store, random.
    pub lineage: String,
}

impl Standing {
    /// Returns the standing of an entry instance without peers and without configuration.
    #[must_use]
    pub fn alone(lineage: &str) -> Self {
        Self {
            heard: true,
            lineage: lineage.to_owned(),
            ..Self::default()
        }
    }

    /// Returns the standing of an entry instance whose own report is given, next to the reports
    /// of all others in the roster; none for those that are silent.
    #[must_use]
    pub fn new(loaded: &Arc<Loaded>, own: &Report, others: &[Option<Report>]) -> Self {
        let reports = others.iter().flatten();
        let known = reports.clone().filter(|report| report.established).count();
        Self {
            configuration: loaded.configuration.clone(),
            heard: (known + usize::from(own.established)) * 2 > others.len() + 1,
            others: reports.map(|report| report.mark.clone()).collect(),
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
    pub(crate) fn marks(&self) -> impl Iterator<Item = Mark> {
        let own = self.configuration.history.mark();
        self.others.iter().cloned().chain([own])
    }

    /// Returns whether nothing newer is in force elsewhere.
    #[must_use]
    pub fn is_newest(&self) -> bool {
        let own: Generation = self.configuration.generation();
        self.others.iter().all(|mark| mark.generation <= own)
    }
}

/// Returns whether an entry instance now counts as one that knows the past: it has the newest
/// configuration of those heard, and has heard all others, or more than half of the roster's
/// established ones.
#[must_use]
pub fn establish(own: &Report, others: &[Option<Report>]) -> bool {
    let reports = others.iter().flatten();
    let newest = reports
        .clone()
        .all(|report| report.mark.generation <= own.mark.generation);
    let known = reports.filter(|report| report.established).count();
    let all = others.iter().all(Option::is_some);
    own.established || newest && (all || known * 2 > others.len() + 1)
}
