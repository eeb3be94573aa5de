//! Age of what an instance has read from the store.
//!
//! An instance that was paused, or is short of processor time, reads changes late. Until it has
//! caught up it would start tasks of cancelled jobs, and answer callers by an old configuration.

use std::time::Duration;

/// Age of a view above which nothing is decided from it. A watch without changes is answered after
/// 1.2 s, and one that is not answered fails 0.9 s later.
const MAX_VIEW_AGE: Duration = Duration::from_millis(2_500);

/// Time without an answer after which the store counts as away for this instance again. A watch is
/// answered every 1.2 s while it is not.
const MAX_ANSWER_GAP: Duration = Duration::from_millis(1_500);

/// Times of an instance's latest calls for a part of the store.
///
/// A call that was answered while the process was paused is processed later, so both are the earliest
/// times that are possible.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ViewTimes {
    /// When the latest successful call was answered.
    pub read_at: Option<Duration>,
    /// When the latest call failed of those that failed while the store answered no other call.
    pub failed_at: Option<Duration>,
}

impl ViewTimes {
    /// Returns whether the view may be used at `at`.
    ///
    /// While the store is away, nobody has a later view, and other limits decide. A failure counts no
    /// longer than a read: the store may answer again while the process is paused.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_control::view_age::ViewTimes;
    /// let second = Duration::from_secs(1);
    /// let mut view = ViewTimes { read_at: Some(second), ..ViewTimes::default() };
    /// assert!(view.is_current(second * 3));
    /// assert!(!view.is_current(second * 5));
    /// view.failed_at = Some(second * 4);
    /// assert!(view.is_current(second * 5));
    /// assert!(!view.is_current(second * 7));
    /// ```
    #[must_use]
    pub fn is_current(&self, at: Duration) -> bool {
        let latest = self.read_at.max(self.failed_at);
        latest.is_some_and(|latest| at <= latest + MAX_VIEW_AGE)
    }

    /// Records that a call failed at `failed`, in a series of failures since `since`. `answered` is when
    /// the store last answered any call.
    ///
    /// The store is not away if it has answered since the series began: others may have a later view.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_control::view_age::ViewTimes;
    /// let second = Duration::from_secs(1);
    /// let mut view = ViewTimes::default();
    /// view.record_failure(second * 3, second * 2, Some(second));
    /// assert_eq!(view.failed_at, Some(second * 3));
    /// view.record_failure(second * 5, second * 2, Some(second * 4));
    /// assert_eq!(view.failed_at, Some(second * 3));
    /// ```
    pub fn record_failure(
        &mut self,
        failed: Duration,
        since: Duration,
        answered: Option<Duration>,
    ) {
        let answers = answered.is_some_and(|at| at > since && failed <= at + MAX_ANSWER_GAP);
        if !answers {
            self.failed_at = self.failed_at.max(Some(failed));
        }
    }
}
