//! Follows the configuration in the store.

use std::time::Duration;

use nutmegcart_platform::Revision;
use nutmegcart_platform::Store;
use nutmegcart_platform::StoreError;

use crate::active_config::ActiveConfig;
use crate::active_config::OfferOutcome;
use crate::configuration::Generation;
use crate::stored_config::HEAD_KEY;
use crate::stored_config::Result;
use crate::stored_config::load_config;
use crate::stored_config::load_delta;

/// Reads the store's changes as they come; resumes from the revision that it has read.
///
/// ```
/// # use nutmegcart_config::{ConfigWatcher, ActiveConfig, active_config::OfferOutcome};
/// # use nutmegcart_platform::MemoryStore;
/// let mut follower = ConfigWatcher::new(MemoryStore::default().store());
/// assert_eq!(follower.read(&ActiveConfig::default()).unwrap(), OfferOutcome::Same);
/// ```
pub struct ConfigWatcher {
    store: Store,
    /// Revision of the latest read; zero before the first.
    revision: Revision,
    /// Generation that the latest read gave.
    generation: Generation,
}

impl ConfigWatcher {
    /// Creates a follower that reads everything first.
    #[must_use]
    pub fn new(store: Store) -> Self {
        Self {
            store,
            revision: 0,
            generation: Generation(0),
        }
    }

    /// Returns the revision of the latest read; zero before the first.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Waits until the head is written or the time is over, then reads what changed.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer; the next step goes on from the same revision.
    pub fn step(&mut self, in_force: &ActiveConfig, time: Duration) -> Result<OfferOutcome> {
        match self.store.wait_for_write(HEAD_KEY, self.revision + 1, time) {
            Err(StoreError::Compacted { .. }) => return self.read_all(in_force),
            other => drop(other?),
        }
        self.read(in_force)
    }

    /// Reads what changed since the latest read.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub fn read(&mut self, in_force: &ActiveConfig) -> Result<OfferOutcome> {
        if self.revision == 0 {
            return self.read_all(in_force);
        }
        let (written, revision) = load_delta(&self.store, self.revision + 1, self.generation)?;
        if revision < self.revision {
            // The store was restored, or the read was stale.
            return self.read_all(in_force);
        }
        let Some((head, changes)) = written else {
            // Documents are written only together with the head, or behind a marked one.
            self.revision = revision;
            return Ok(OfferOutcome::Same);
        };
        if head.repair.is_some() {
            return Ok(OfferOutcome::Repairing);
        }
        let offer = in_force.offer_delta(&changes, "store");
        if offer == OfferOutcome::Gap {
            return self.read_all(in_force);
        }
        self.revision = revision;
        self.generation = head.history.generation;
        Ok(offer)
    }

    fn read_all(&mut self, in_force: &ActiveConfig) -> Result<OfferOutcome> {
        let stored = load_config(&self.store)?;
        if stored.head.repair.is_some() {
            return Ok(OfferOutcome::Repairing);
        }
        // Documents that do not belong to the head would be adopted for good.
        if stored.head.checksum != stored.configuration.checksum() {
            return Ok(OfferOutcome::Gap);
        }
        self.revision = stored.revision;
        self.generation = stored.head.history.generation;
        Ok(in_force.offer(stored.configuration, "store"))
    }
}
