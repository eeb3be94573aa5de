//! Follows the configuration in the store.

use std::time::Duration;

use nutmegcart_platform::Revision;
use nutmegcart_platform::Store;
use nutmegcart_platform::StoreError;

use crate::configuration::Generation;
use crate::in_force::InForce;
use crate::in_force::Offer;
use crate::stored::HEAD;
use crate::stored::Result;
use crate::stored::load;
use crate::stored::load_changes;

/// Reads the store's changes as they come; resumes from the revision that it has read.
///
/// ```
/// # use nutmegcart_config::{Follower, InForce, in_force::Offer};
/// # use nutmegcart_platform::MemoryStore;
/// let mut follower = Follower::new(MemoryStore::default().store());
/// assert_eq!(follower.read(&InForce::default()).unwrap(), Offer::Same);
/// ```
pub struct Follower {
    store: Store,
    /// Revision of the latest read; zero before the first.
    revision: Revision,
    /// Generation that the latest read gave.
    generation: Generation,
}

impl Follower {
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
    pub fn step(&mut self, in_force: &InForce, time: Duration) -> Result<Offer> {
        match self.store.wait_for_write(HEAD, self.revision + 1, time) {
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
    pub fn read(&mut self, in_force: &InForce) -> Result<Offer> {
        if self.revision == 0 {
            return self.read_all(in_force);
        }
        let (written, revision) = load_changes(&self.store, self.revision + 1, self.generation)?;
        if revision < self.revision {
            // The store was restored, or the read was stale.
            return self.read_all(in_force);
        }
        let Some((head, changes)) = written else {
            // Documents are written only together with the head, or behind a marked one.
            self.revision = revision;
            return Ok(Offer::Same);
        };
        if head.repair.is_some() {
            return Ok(Offer::Repairing);
        }
        let offer = in_force.offer_changes(&changes, "store");
        if offer == Offer::Gap {
            return self.read_all(in_force);
        }
        self.revision = revision;
        self.generation = head.history.generation;
        Ok(offer)
    }

    fn read_all(&mut self, in_force: &InForce) -> Result<Offer> {
        let stored = load(&self.store)?;
        if stored.head.repair.is_some() {
            return Ok(Offer::Repairing);
        }
        // Documents that do not belong to the head would be adopted for good.
        if stored.head.sum != stored.configuration.sum() {
            return Ok(Offer::Gap);
        }
        self.revision = stored.revision;
        self.generation = stored.head.history.generation;
        Ok(in_force.offer(stored.configuration, "store"))
    }
}
