//! Watches the configuration in the store.

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

/// Reads changes of the configuration from the store and offers them to an [`ActiveConfig`].
///
/// After an error it resumes from the revision that it read last.
///
/// ```
/// # use nutmegcart_config::{ConfigWatcher, ActiveConfig, active_config::OfferOutcome};
/// # use nutmegcart_platform::MemoryStore;
/// let mut watcher = ConfigWatcher::new(MemoryStore::default().store());
/// assert_eq!(watcher.read(&ActiveConfig::default()).unwrap(), OfferOutcome::Same);
/// ```
pub struct ConfigWatcher {
    store: Store,
    /// Store revision of the latest read; zero before the first.
    revision: Revision,
    /// Generation of the configuration at the latest read.
    generation: Generation,
}

impl ConfigWatcher {
    /// Creates a watcher whose first read loads the full configuration.
    #[must_use]
    pub fn new(store: Store) -> Self {
        Self {
            store,
            revision: 0,
            generation: Generation(0),
        }
    }

    /// Returns the store revision of the latest read; zero before the first.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Waits until the head is written or the timeout has passed, then reads the changes.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer; the next call resumes from the same revision.
    pub fn wait_and_read(
        &mut self,
        active: &ActiveConfig,
        timeout: Duration,
    ) -> Result<OfferOutcome> {
        match self
            .store
            .wait_for_write(HEAD_KEY, self.revision + 1, timeout)
        {
            Err(StoreError::Compacted { .. }) => return self.read_all(active),
            other => drop(other?),
        }
        self.read(active)
    }

    /// Reads the changes since the latest read, or the full configuration if they are not enough.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub fn read(&mut self, active: &ActiveConfig) -> Result<OfferOutcome> {
        if self.revision == 0 {
            return self.read_all(active);
        }
        let (written, revision) = load_delta(&self.store, self.revision + 1, self.generation)?;
        if revision < self.revision {
            // The store was restored, or the read was stale.
            return self.read_all(active);
        }
        let Some((head, delta)) = written else {
            // Documents are written only together with the head, or while the head names a repair.
            self.revision = revision;
            return Ok(OfferOutcome::Same);
        };
        if head.repair.is_some() {
            return Ok(OfferOutcome::Repairing);
        }
        let outcome = active.offer_delta(&delta, "store");
        if outcome == OfferOutcome::Gap {
            return self.read_all(active);
        }
        self.revision = revision;
        self.generation = head.history.generation;
        Ok(outcome)
    }

    fn read_all(&mut self, active: &ActiveConfig) -> Result<OfferOutcome> {
        let stored = load_config(&self.store)?;
        if stored.head.repair.is_some() {
            return Ok(OfferOutcome::Repairing);
        }
        // Documents that do not match the head must not be adopted: a later read would not replace
        // them.
        if stored.head.checksum != stored.configuration.checksum() {
            return Ok(OfferOutcome::Gap);
        }
        self.revision = stored.revision;
        self.generation = stored.head.history.generation;
        Ok(active.offer(stored.configuration, "store"))
    }
}
