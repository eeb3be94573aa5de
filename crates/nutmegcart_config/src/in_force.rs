//! The configuration in force at one entry instance.

use std::sync::Arc;

use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use parking_lot::RwLock;

use crate::configuration::Changes;
use crate::configuration::Configuration;
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
    /// The changes start later than the configuration in force, so more are needed.
    Gap,
    /// It cannot be read by this version and was refused.
    Unreadable,
}

/// Holds the configuration in force; it is replaced only by a higher generation of its lineage.
///
/// ```
/// # use nutmegcart_config::InForce;
/// assert_eq!(InForce::default().get().configuration.generation.0, 0);
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
        let known = !present.lineage.is_empty();
        let foreign = known && present.lineage != configuration.lineage;
        if foreign || configuration.generation < present.generation {
            log_event!(
                Event::ConfigOlderRefused,
                source = source,
                offered = configuration.generation,
                generation = present.generation,
            );
            return Offer::Older;
        }
        if configuration.generation == present.generation {
            return Offer::Same;
        }
        match View::build(&configuration) {
            Ok(view) => {
                log_event!(
                    Event::ConfigInForce,
                    source = source,
                    generation = configuration.generation,
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
        if changes.from > present.configuration.generation {
            return Offer::Gap;
        }
        if changes.to < present.configuration.generation {
            return Offer::Older;
        }
        match present.configuration.after(changes) {
            Some(next) => self.offer(next, source),
            None => Offer::Older,
        }
    }
}
