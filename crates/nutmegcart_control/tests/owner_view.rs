//! Whether an owner may start tasks, by the age of what it has read of its cell.

use std::time::Duration;

use nutmegcart_control::owner::is_view_current;

/// Guards against starts of jobs that were cancelled while their owner was short of processor time
/// and read the changes of its cell seconds late.
#[test]
fn owner_with_a_late_view_starts_nothing() {
    let read = Duration::from_secs(100);
    for millis in [0, 1_200, 2_500] {
        let at = read + Duration::from_millis(millis);
        assert!(is_view_current(read, false, at), "{millis} ms");
    }
    // Cancellations must take effect within three seconds on the strictest deployment.
    for millis in [2_501, 3_000, 5_000] {
        let at = read + Duration::from_millis(millis);
        assert!(!is_view_current(read, false, at), "{millis} ms");
    }
}

/// Guards against tasks that wait through an outage of the store, in which nobody can cancel a job
/// and the validity of the ownership decides.
#[test]
fn outage_of_the_store_does_not_make_a_view_late() {
    let read = Duration::from_secs(100);
    assert!(is_view_current(read, true, read + Duration::from_secs(5)));
}
