//! Counts what really ran on the backend side.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;

/// How often a request was started and finished.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Runs {
    /// Runs started.
    pub started: u32,
    /// Runs finished.
    pub finished: u32,
}

/// Shared record of all runs by request token; clones share the record.
///
/// ```
/// let oracle = nutmegcart_fakes::Oracle::default();
/// oracle.record_start("token");
/// assert_eq!(oracle.runs("token").started, 1);
/// ```
#[derive(Clone, Default)]
pub struct Oracle {
    runs: Arc<Mutex<BTreeMap<String, Runs>>>,
    interrupted: Arc<Mutex<u64>>,
}

impl Oracle {
    /// Records the start of a run.
    pub fn record_start(&self, token: &str) {
        self.runs
            .lock()
            .entry(token.to_owned())
            .or_default()
            .started += 1;
    }

    /// Records the end of a run.
    pub fn record_finish(&self, token: &str) {
        self.runs
            .lock()
            .entry(token.to_owned())
            .or_default()
            .finished += 1;
    }

    /// Records requests in flight that a shutdown cut.
    pub fn record_interrupted(&self, requests: u64) {
        *self.interrupted.lock() += requests;
    }

    /// Returns the number of requests cut by shutdowns.
    #[must_use]
    pub fn interrupted(&self) -> u64 {
        *self.interrupted.lock()
    }

    /// Returns how often the request ran.
    #[must_use]
    pub fn runs(&self, token: &str) -> Runs {
        self.runs.lock().get(token).copied().unwrap_or_default()
    }
}
