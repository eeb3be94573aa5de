//! Counts of the runs that backend servers and workers started and finished.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;

/// Number of times that a request or task ran.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Runs {
    /// Number of runs that started.
    pub started: u32,
    /// Number of runs that ended.
    pub finished: u32,
}

/// Counts of all runs by request token or task; clones share them.
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
    /// Records that a run of the request or task started.
    pub fn record_start(&self, token: &str) {
        self.runs
            .lock()
            .entry(token.to_owned())
            .or_default()
            .started += 1;
    }

    /// Records that a run of the request or task ended.
    pub fn record_finish(&self, token: &str) {
        self.runs
            .lock()
            .entry(token.to_owned())
            .or_default()
            .finished += 1;
    }

    /// Records that a shutdown interrupted the given number of requests in flight.
    pub fn record_interrupted(&self, requests: u64) {
        *self.interrupted.lock() += requests;
    }

    /// Returns the number of requests that shutdowns have interrupted.
    #[must_use]
    pub fn interrupted(&self) -> u64 {
        *self.interrupted.lock()
    }

    /// Returns the counts of a request or task; zero if it never ran.
    #[must_use]
    pub fn runs(&self, token: &str) -> Runs {
        self.runs.lock().get(token).copied().unwrap_or_default()
    }
}
