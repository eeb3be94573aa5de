//! Monotonic time that includes suspension, and the time of day.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the time since the machine booted, including time in suspension.
///
/// A lease keeps expiring while its holder is suspended, so leases are measured by this clock.
///
/// ```
/// # use nutmegcart_control::clock::now;
/// assert!(now() <= now());
/// ```
#[must_use]
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Returns the time of day in milliseconds since the Unix epoch. The system may set this clock
/// forwards or backwards.
///
/// ```
/// # use nutmegcart_control::clock::unix_ms;
/// assert!(unix_ms() > 1_700_000_000_000);
/// ```
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
