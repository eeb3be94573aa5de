//! Age of what an instance has read from the store.
//!
//! An instance that was paused, or is short of processor time, reads changes late. Until it has
//! caught up it would start tasks of cancelled jobs, and answer callers by an old configuration.

use std::time::Duration;

/// Age of a view above which nothing is decided from it. A watch without changes is answered after
/// 1.2 s, and one that is not answered fails 0.9 s later.
const MAX_VIEW_AGE: Duration = Duration::from_millis(2_500);

/// Returns whether a view of the store that was read at `viewed_at` may be used at `at`.
///
/// While the store fails, nobody has a later view, and other limits decide.
///
/// ```
/// # use std::time::Duration;
/// # use nutmegcart_control::view_age::is_view_current;
/// let second = Duration::from_secs(1);
/// assert!(is_view_current(second, false, second * 3));
/// assert!(!is_view_current(second, false, second * 5));
/// assert!(is_view_current(second, true, second * 5));
/// ```
#[must_use]
pub fn is_view_current(viewed_at: Duration, store_fails: bool, at: Duration) -> bool {
    store_fails || at <= viewed_at + MAX_VIEW_AGE
}
