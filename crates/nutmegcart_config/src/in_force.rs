//! The configuration in force at one entry instance.

use std::sync::Arc;

use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use parking_lot::RwLock;

use crate::configuration::Changes;
use crate::configuration::Configuration;
use crate::history::History;
use crate::history::Relation;
use crate::view::View;

/// A configuration with its typed view.
#[derive(Clone, Debug, Default)]
pub struct Loaded {
    /// Documents.
    pub configuration: Configuration,
    /// Records.
    pub view: View,
}

/// What became of an offered configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
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
/// # use nutmegcart_config::InForce;
/// assert_eq!(InForce::default().get().configuration.generation().0, 0);
/// ```
#[derive(Default)]
pub struct InForce {
    loaded: RwLock<Arc<Loaded>>,
}

impl InForce {
    /// Returns the configuration in force.
    #[must_use]
    pub fn get(&self) -> Arc<Loaded> {
        self.loaded.read().clone()
    }

    /// Offers a whole configuration from the source, which is named in log events.
    pub fn offer(&self, configuration: Configuration, source: &str) -> Offer {
        let mut loaded = self.loaded.write();
        let present = &loaded.configuration;
        let fate = judge(&present.history, &configuration.history, source);
        if let Some(refused) = fate {
            return refused;
        }
        match View::build(&configuration) {
            Ok(view) => {
                log_event!(
                    Event::ConfigInForce,
                    source = source,
                    generation = configuration.generation(),
                );
                *loaded = Arc::new(Loaded {
                    configuration,
                    view,
                });
                Offer::Adopted
            }
            Err(fault) => {
                log_event!(Event::ConfigInvalid, source = source, reason = fault);
                Offer::Unreadable
            }
        }
    }

    /// Offers the changes since an earlier generation.
    pub fn offer_changes(&self, changes: &Changes, source: &str) -> Offer {
        let present = self.get();
        let fate = judge(&present.configuration.history, &changes.history, source);
        if let Some(refused) = fate {
            return refused;
        }
        if let Some(next) = present.configuration.after(changes) {
            return self.offer(next, source);
        }
        log_event!(
            Event::ConfigGap,
            source = source,
            from = changes.from,
            generation = present.configuration.generation(),
        );
        Offer::Gap
    }
}

/// Returns why a history is not adopted, or none if it is newer than the present one.
fn judge(present: &History, offered: &History, source: &str) -> Option<Offer> {
    let mark = present.mark();
    let (event, offer) = match offered.relation(&mark) {
        Relation::Newer => return None,
        Relation::Same => return Some(Offer::Same),
        Relation::Older | Relation::Foreign => (Event::ConfigOlderRefused, Offer::Older),
        Relation::Forked => (Event::ConfigForked, Offer::Forked),
    };
    log_event!(
        event,
        source = source,
        offered = offered.generation,
        generation = mark.generation,
        lineage = offered.lineage,
    );
    Some(offer)
}
