//! The configuration in force at one entry instance.

use std::sync::Arc;

use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use parking_lot::RwLock;

use crate::config_view::ConfigView;
use crate::configuration::ConfigDelta;
use crate::configuration::Configuration;
use crate::history::History;
use crate::history::Relation;

/// A configuration with its typed view.
#[derive(Clone, Debug, Default)]
pub struct LoadedConfig {
    /// Documents.
    pub configuration: Configuration,
    /// Records.
    pub view: ConfigView,
}

/// What became of an offered configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// It is now in force.
    Adopted,
    /// It is the one in force.
    Same,
    /// It is older, or of another lineage, and was refused.
    Older,
    /// Its history has another configuration at the generation in force, and it was refused.
    Forked,
    /// Changes are missing, so the whole configuration is needed.
    Gap,
    /// The store is being repaired and holds no configuration to adopt.
    Repairing,
    /// It cannot be read by this version and was refused.
    Unreadable,
}

/// Holds the configuration in force; it is replaced only by a higher generation of its lineage.
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
    /// Returns the configuration in force.
    #[must_use]
    pub fn get(&self) -> Arc<LoadedConfig> {
        self.loaded.read().clone()
    }

    /// Offers a whole configuration from the source, which is named in log events.
    pub fn offer(&self, configuration: Configuration, source: &str) -> OfferOutcome {
        let mut loaded = self.loaded.write();
        let present = &loaded.configuration;
        let fate = judge(&present.history, &configuration.history, source);
        if let Some(refused) = fate {
            return refused;
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

    /// Offers the changes since an earlier generation.
    pub fn offer_delta(&self, changes: &ConfigDelta, source: &str) -> OfferOutcome {
        let present = self.get();
        let fate = judge(&present.configuration.history, &changes.history, source);
        if let Some(refused) = fate {
            return refused;
        }
        if let Some(next) = present.configuration.with_delta(changes) {
            return self.offer(next, source);
        }
        log_event!(
            Event::ConfigGap,
            source = source,
            from = changes.from,
            generation = present.configuration.generation(),
        );
        OfferOutcome::Gap
    }
}

/// Returns why a history is not adopted, or none if it is newer than the present one.
fn judge(present: &History, offered: &History, source: &str) -> Option<OfferOutcome> {
    let config_id = present.config_id();
    let (event, offer) = match offered.relation_to(&config_id) {
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
    Some(offer)
}
