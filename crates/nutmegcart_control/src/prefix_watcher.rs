//! Watches the keys with a prefix, and reads them again after the store compacted its history or if the
//! changes since the latest answer may not pass the link.

use std::cell::Cell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use nutmegcart_platform::KeyValue;
use nutmegcart_platform::Revision;
use nutmegcart_platform::StoreError;

use crate::clock::now;
use crate::port::KeyStore;
use crate::port::WatchEvent;
use crate::view_age::ViewTimes;

/// Longest wait of one watch. A dead connection is detected when a watch exceeds this time, so it
/// bounds the delay of a change. A configuration must take effect within two seconds.
const WATCH_WAIT: Duration = Duration::from_millis(1_200);
/// Possible age of a view above which the next watch does not wait, to confirm the view.
const UNCONFIRMED_AGE: Duration = Duration::from_millis(100);
/// Delay after the first failed call; it doubles with each further failure.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Upper bound of the delay. Time limits that apply after an outage count from the return of the
/// store.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Age of a view above which a failed watch of present keys is not repeated from its revision.
const MAX_BACKLOG_AGE: Duration = Duration::from_secs(2);

/// How a watcher goes on after a failed watch.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CatchUp {
    /// With the changes since its revision, unless an answer with them was cut off.
    #[default]
    Changes,
    /// With a read of the present keys, unless the store refused the watch soon after an answer. For
    /// prefixes with large values, of which only the latest counts.
    PresentKeys,
}

/// A change reported by a [`PrefixWatcher`].
#[derive(Clone, Debug, PartialEq)]
pub enum KeyChange {
    /// A key was written.
    Put(KeyValue),
    /// A key no longer exists.
    Deleted(String),
    /// All existing keys have been reported at least once.
    Synced,
}

/// Watches the keys with a prefix. Each change is reported once, in order of revisions. A read of the
/// present keys reports only the latest of several changes of a key.
#[derive(Debug)]
pub struct PrefixWatcher {
    prefix: String,
    revision: Option<Revision>,
    revisions: HashMap<String, Revision>,
    retry_delay: Duration,
    failing_since: Option<Duration>,
    /// Earliest possible time of the first failure since the latest success.
    first_failure: Option<Duration>,
    /// How to go on after a failed watch.
    pub catch_up: CatchUp,
    /// When the store last answered any call of this instance.
    pub last_answer: Rc<Cell<Option<Duration>>>,
    /// Delay after a watch that reported changes, so that the next call covers further ones.
    pub batch_delay: Duration,
    /// Longest wait of the next watch.
    watch_wait: Duration,
    /// When the store answered and failed.
    pub view: ViewTimes,
    /// Whether the latest call succeeded.
    pub reachable: bool,
}

/// Returns the longest wait of the watch after a call that waited for the given time at most, and
/// that left a view of the given age.
///
/// A view may be old because the process was paused, or because changes were reported at the end of a
/// wait. One watch without a wait confirms it; in a process that is always late, a second one would only
/// add to the load.
fn next_wait(waited: Duration, age: Duration) -> Duration {
    let confirms = age > UNCONFIRMED_AGE && (!waited.is_zero() || age > WATCH_WAIT);
    if confirms { Duration::ZERO } else { WATCH_WAIT }
}

impl PrefixWatcher {
    /// Creates a watcher that first reads all keys.
    #[must_use]
    pub fn new(prefix: impl Into<String>) -> Self {
        Self {
            prefix: prefix.into(),
            revision: None,
            revisions: HashMap::new(),
            retry_delay: FIRST_RETRY_DELAY,
            failing_since: None,
            first_failure: None,
            catch_up: CatchUp::default(),
            last_answer: Rc::default(),
            batch_delay: Duration::ZERO,
            watch_wait: WATCH_WAIT,
            view: ViewTimes::default(),
            reachable: false,
        }
    }

    /// Makes the next call and returns its changes. A failed call returns none, after a delay.
    pub async fn next(&mut self, store: &KeyStore) -> Vec<KeyChange> {
        let sent = now();
        let waited = self.revision.map_or(Duration::ZERO, |_| self.watch_wait);
        let result = match self.revision {
            None => self.read(store).await,
            Some(revision) => self.watch(store, revision).await,
        };
        // The process may have been paused since the store answered, so the times are the earliest
        // ones possible. A watch without changes is answered at the end of its wait.
        let waited_until = now().min(sent + waited);
        match result {
            Ok(changes) => {
                self.retry_delay = FIRST_RETRY_DELAY;
                self.first_failure = None;
                self.last_answer.set(Some(now()));
                let read_at = if changes.is_empty() {
                    waited_until
                } else {
                    sent
                };
                self.view.read_at = Some(read_at);
                self.watch_wait = next_wait(waited, now().saturating_sub(read_at));
                self.reachable = true;
                if let Some(since) = self.failing_since.take() {
                    let silent = now().saturating_sub(since).as_millis();
                    log_event!(
                        Event::DependencyRecovered,
                        dependency = "store",
                        prefix = self.prefix,
                        silent_ms = silent
                    );
                }
                if !changes.is_empty() && !self.batch_delay.is_zero() {
                    tokio::time::sleep(self.batch_delay).await;
                }
                changes
            }
            Err(StoreError::Compacted { .. }) => {
                self.revision = None;
                Vec::new()
            }
            Err(error) => {
                self.reachable = false;
                self.record_failure(&error, sent, waited_until);
                self.watch_wait = Duration::ZERO;
                if self.failing_since.is_none() {
                    self.failing_since = Some(now());
                    log_event!(
                        Event::DependencyLost,
                        dependency = "store",
                        prefix = self.prefix,
                        reason = error
                    );
                }
                tokio::time::sleep(self.retry_delay).await;
                self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
                Vec::new()
            }
        }
    }

    fn record_failure(&mut self, error: &StoreError, sent: Duration, waited_until: Duration) {
        let cut = matches!(error, StoreError::AnswerCut { .. });
        let lost = cut || matches!(error, StoreError::AnswerLost { .. });
        let failed = if lost { waited_until } else { sent };
        let since = *self.first_failure.get_or_insert(failed);
        if cut {
            // Bytes of the answer arrived.
            self.last_answer.set(Some(now()));
        } else {
            let answered = self.last_answer.get();
            self.view.record_failure(failed, since, answered);
        }
        let old = self
            .view
            .read_at
            .is_none_or(|read| failed > read + MAX_BACKLOG_AGE);
        if cut || self.catch_up == CatchUp::PresentKeys && (lost || old) {
            self.revision = None;
        }
    }

    async fn read(&mut self, store: &KeyStore) -> crate::port::StoreResult<Vec<KeyChange>> {
        let range = (store.range)(self.prefix.clone()).await?;
        let present: HashSet<&str> = range.items.iter().map(|item| item.key.as_str()).collect();
        let gone = self
            .revisions
            .keys()
            .filter(|key| !present.contains(key.as_str()));
        let mut changes: Vec<KeyChange> = gone.cloned().map(KeyChange::Deleted).collect();
        for each in &changes {
            if let KeyChange::Deleted(key) = each {
                self.revisions.remove(key);
            }
        }
        for item in range.items {
            if self
                .revisions
                .get(&item.key)
                .is_none_or(|known| *known < item.modified)
            {
                self.revisions.insert(item.key.clone(), item.modified);
                changes.push(KeyChange::Put(item));
            }
        }
        changes.push(KeyChange::Synced);
        self.revision = Some(range.revision);
        Ok(changes)
    }

    async fn watch(
        &mut self,
        store: &KeyStore,
        revision: Revision,
    ) -> crate::port::StoreResult<Vec<KeyChange>> {
        let reply = (store.watch)(self.prefix.clone(), revision, self.watch_wait).await?;
        let mut changes = Vec::new();
        for event in reply.events {
            match event {
                WatchEvent::Put(item) => {
                    if self
                        .revisions
                        .get(&item.key)
                        .is_none_or(|known| *known < item.modified)
                    {
                        self.revisions.insert(item.key.clone(), item.modified);
                        changes.push(KeyChange::Put(item));
                    }
                }
                WatchEvent::Removed(key, at) => {
                    if self.revisions.get(&key).is_some_and(|known| *known < at) {
                        self.revisions.remove(&key);
                        changes.push(KeyChange::Deleted(key));
                    }
                }
            }
        }
        self.revision = Some(reply.revision.max(revision));
        Ok(changes)
    }
}
