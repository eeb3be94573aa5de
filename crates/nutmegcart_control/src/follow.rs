//! Following the keys with a prefix through reads, watches and lost history.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use nutmegcart_model::Event as LogEvent;
use nutmegcart_model::log_event;
use nutmegcart_platform::KeyValue;
use nutmegcart_platform::Revision;
use nutmegcart_platform::StoreError;

use crate::clock::now;
use crate::port::Event;
use crate::port::KeyStore;

/// Longest wait of one watch. A connection that has gone silent is noticed when a watch overruns,
/// so the wait bounds the delay of a change that it hides; a configuration has two seconds.
const WATCH_WAIT: Duration = Duration::from_millis(1_200);
/// First pause after a failed call.
const PAUSE: Duration = Duration::from_millis(60);
/// Longest pause; the store's own bounds count from its return.
const MOST_PAUSE: Duration = Duration::from_millis(400);

/// What a follower hands on.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A key was written.
    Put(KeyValue),
    /// A key no longer exists.
    Gone(String),
    /// All keys that exist have been handed on at least once.
    Complete,
}

/// Follows the keys with a prefix; every change is handed on once, in order of revisions.
#[derive(Debug)]
pub struct Follower {
    prefix: String,
    revision: Option<Revision>,
    known: HashMap<String, Revision>,
    pause: Duration,
    failing: Option<Duration>,
    /// Pause after a watch that reported changes, which collects further ones into one call.
    pub gap: Duration,
    /// When a call last succeeded.
    pub heard: Option<Duration>,
    /// Whether the latest call succeeded.
    pub reached: bool,
}

impl Follower {
    /// Creates a follower that first reads all keys.
    #[must_use]
    pub fn new(prefix: impl Into<String>) -> Self {
        Self {
            prefix: prefix.into(),
            revision: None,
            known: HashMap::new(),
            pause: PAUSE,
            failing: None,
            gap: Duration::ZERO,
            heard: None,
            reached: false,
        }
    }

    /// Makes the next call and returns what it showed; a failed call returns nothing after a pause.
    pub async fn next(&mut self, store: &KeyStore) -> Vec<Seen> {
        let result = match self.revision {
            None => self.read(store).await,
            Some(revision) => self.watch(store, revision).await,
        };
        match result {
            Ok(seen) => {
                self.pause = PAUSE;
                self.heard = Some(now());
                self.reached = true;
                if let Some(since) = self.failing.take() {
                    let silent = now().saturating_sub(since).as_millis();
                    log_event!(
                        LogEvent::DependencyBack,
                        dependency = "store",
                        prefix = self.prefix,
                        silent_ms = silent
                    );
                }
                if !seen.is_empty() && !self.gap.is_zero() {
                    tokio::time::sleep(self.gap).await;
                }
                seen
            }
            Err(StoreError::Compacted { .. }) => {
                self.revision = None;
                Vec::new()
            }
            Err(error) => {
                self.reached = false;
                if self.failing.is_none() {
                    self.failing = Some(now());
                    log_event!(
                        LogEvent::DependencyLost,
                        dependency = "store",
                        prefix = self.prefix,
                        reason = error
                    );
                }
                tokio::time::sleep(self.pause).await;
                self.pause = (self.pause * 2).min(MOST_PAUSE);
                Vec::new()
            }
        }
    }

    async fn read(&mut self, store: &KeyStore) -> crate::port::StoreResult<Vec<Seen>> {
        let range = (store.range)(self.prefix.clone()).await?;
        let present: HashSet<&str> = range.items.iter().map(|item| item.key.as_str()).collect();
        let gone = self
            .known
            .keys()
            .filter(|key| !present.contains(key.as_str()));
        let mut seen: Vec<Seen> = gone.cloned().map(Seen::Gone).collect();
        for each in &seen {
            if let Seen::Gone(key) = each {
                self.known.remove(key);
            }
        }
        for item in range.items {
            if self
                .known
                .get(&item.key)
                .is_none_or(|known| *known < item.modified)
            {
                self.known.insert(item.key.clone(), item.modified);
                seen.push(Seen::Put(item));
            }
        }
        seen.push(Seen::Complete);
        self.revision = Some(range.revision);
        Ok(seen)
    }

    async fn watch(
        &mut self,
        store: &KeyStore,
        revision: Revision,
    ) -> crate::port::StoreResult<Vec<Seen>> {
        let changes = (store.watch)(self.prefix.clone(), revision, WATCH_WAIT).await?;
        let mut seen = Vec::new();
        for event in changes.events {
            match event {
                Event::Put(item) => {
                    if self
                        .known
                        .get(&item.key)
                        .is_none_or(|known| *known < item.modified)
                    {
                        self.known.insert(item.key.clone(), item.modified);
                        seen.push(Seen::Put(item));
                    }
                }
                Event::Removed(key, at) => {
                    if self.known.get(&key).is_some_and(|known| *known < at) {
                        self.known.remove(&key);
                        seen.push(Seen::Gone(key));
                    }
                }
            }
        }
        self.revision = Some(changes.revision.max(revision));
        Ok(seen)
    }
}
