//! Finds out whether the store answers this instance, by reads.
//!
//! A write without an answer leaves it open whether a job is stored. A read leaves nothing open, so
//! while the store is suspected to be away, reads tell whether writes may be sent.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use tokio::sync::Notify;

use crate::clock::now;
use crate::keys;
use crate::node::Node;

/// Time without an answer after which the store is suspected to be away. An answer takes a few
/// milliseconds, and 0.2 s while the store is fifty times as slow.
pub(crate) const SUSPICION_DELAY: Duration = Duration::from_millis(300);
/// Timeout of a read; it exceeds the answer time of a store that is a hundred times as slow as usual.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between two reads while the store is away. Callers come again after a second, so it should
/// be known before whether the store is back.
const PROBE_PERIOD: Duration = Duration::from_millis(150);

/// What is known about the store, from its answers to this instance.
#[derive(Debug, Default)]
pub struct StoreHealth {
    /// Whether reads are under way to find out if the store answers.
    probing: Cell<bool>,
    /// Whether the latest read failed and the store has not answered since.
    away: Cell<bool>,
    suspected: Notify,
    decided: Notify,
}

impl StoreHealth {
    /// Returns whether the store is known not to answer.
    #[must_use]
    pub const fn is_away(&self) -> bool {
        self.away.get()
    }

    /// Starts probing, unless that is under way.
    pub(crate) fn suspect(&self) {
        self.suspected.notify_one();
    }

    /// Records an answer of the store.
    pub(crate) fn record_answer(&self) {
        self.away.set(false);
        self.probing.set(false);
        self.decided.notify_waiters();
    }

    /// Waits while it is being found out whether the store answers, at most for `limit`. Returns
    /// whether writes may be sent.
    pub(crate) async fn may_write(&self, limit: Duration) -> bool {
        if self.probing.get() && !self.away.get() {
            // A decision or the end of the time; both are read from the state.
            let _ = tokio::time::timeout(limit, self.decided.notified()).await;
        }
        !self.away.get() && !self.probing.get()
    }
}

/// Probes the store whenever it is suspected to be away, until it answers.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        node.store_health.suspected.notified().await;
        let health = &node.store_health;
        health.probing.set(true);
        let since = now();
        while health.probing.get() {
            if is_answered(&node).await {
                node.record_store_call(true);
                break;
            }
            if health.probing.get() && !health.away.replace(true) {
                let waited = now().saturating_sub(since).as_millis();
                log_event!(Event::StoreAway, waited_ms = waited);
            }
            health.decided.notify_waiters();
            tokio::time::sleep(PROBE_PERIOD).await;
        }
    }
}

async fn is_answered(node: &Node) -> bool {
    let read = (node.platform.store.get)(keys::layout());
    matches!(tokio::time::timeout(PROBE_TIMEOUT, read).await, Ok(Ok(_)))
}
