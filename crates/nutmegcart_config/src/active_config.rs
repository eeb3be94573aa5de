//! The active configuration of an entry instance; log events and metrics call it "in force".

use std::sync::Arc;

use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use parking_lot::RwLock;

use crate::config_view::ConfigView;
use crate::configuration::ConfigDelta;
use crate::configuration::Configuration;
use crate::history::History;
use crate::history::Relation;

/// A configuration together with its parsed records.
#[derive(Clone, Debug, Default)]
pub struct LoadedConfig {
    /// The documents, which are passed on to peers as they are.
    pub configuration: Configuration,
    /// The records parsed from the documents.
    pub view: ConfigView,
}

/// Result of offering a configuration to [`ActiveConfig`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// It is newer and is now active.
    Adopted,
    /// It is already active.
    Same,
    /// It was refused because it is older or of another lineage.
    Older,
    /// It was refused because its history has another configuration at the active generation.
    Forked,
    /// The delta misses changes, so that the full configuration is needed.
    Gap,
    /// A repair of the store is in progress, so that there is no configuration to adopt.
    Repairing,
    /// It was refused because this version of the program cannot parse it.
    Unreadable,
}

/// Holds the active configuration, which only a later generation of its lineage can replace.
///
/// ```
/// # use nutmegcart_config::ActiveConfig;
/// assert_eq!(ActiveConfig::default().get().configuration.generation().0, 0);
/// ```
#[derive(Default)]
pub struct ActiveConfig {
    loaded: RwLock<Arc<LoadedConfig>>,
}

impl ActiveConfig {
    /// Returns the active configuration.
    #[must_use]
    pub fn get(&self) -> Arc<LoadedConfig> {
        self.loaded.read().clone()
    }

    /// Adopts a full configuration if it is newer than the active one.
    ///
    /// The source is named in log events.
    pub fn offer(&self, configuration: Configuration, source: &str) -> OfferOutcome {
        let mut loaded = self.loaded.write();
        let active = &loaded.configuration;
        let refusal = check_history(&active.history, &configuration.history, source);
        if let Some(outcome) = refusal {
            return outcome;
        }
        match ConfigView::build(&configuration) {
            Ok(view) => {
                log_event!(
                    Event::ConfigInForce,
                    source = source,
                    generation = configuration.generation(),
                );
                *loaded = Arc::new(LoadedConfig {
                    configuration,
                    view,
                });
                OfferOutcome::Adopted
            }
            Err(fault) => {
                log_event!(Event::ConfigInvalid, source = source, reason = fault);
                OfferOutcome::Unreadable
            }
        }
    }

    /// Adopts the configuration that results from a delta if it is newer than the active one.
    ///
    /// The source is named in log events.
    pub fn offer_delta(&self, delta: &ConfigDelta, source: &str) -> OfferOutcome {
        let active = self.get();
        let refusal = check_history(&active.configuration.history, &delta.history, source);
        if let Some(outcome) = refusal {
            return outcome;
        }
        if let Some(next) = active.configuration.with_delta(delta) {
            return self.offer(next, source);
        }
        log_event!(
            Event::ConfigGap,
            source = source,
            from = delta.from,
            generation = active.configuration.generation(),
        );
        OfferOutcome::Gap
    }
}

/// Returns the outcome for a history that is not newer than the active one, else `None`.
fn check_history(active: &History, offered: &History, source: &str) -> Option<OfferOutcome> {
    let config_id = active.config_id();
    let (event, outcome) = match offered.relation_to(&config_id) {
        Relation::Newer => return None,
        Relation::Same => return Some(OfferOutcome::Same),
        Relation::Older | Relation::OtherLineage => {
            (Event::ConfigOlderRefused, OfferOutcome::Older)
        }
        Relation::Forked => (Event::ConfigForked, OfferOutcome::Forked),
    };
    log_event!(
        event,
        source = source,
        offered = offered.generation,
        generation = config_id.generation,
        lineage = offered.lineage,
    );
    Some(outcome)
}
