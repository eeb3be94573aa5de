//! Limit on the bytes that all requests of an entry instance buffer together.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Limit on buffered bytes; clones share one counter.
#[derive(Clone)]
pub struct BufferQuota {
    used: Arc<AtomicUsize>,
    limit: usize,
}

/// Bytes reserved for one request; released on drop.
pub struct BufferReservation {
    quota: BufferQuota,
    bytes: usize,
}

impl BufferQuota {
    /// Creates a quota with a limit in bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            used: Arc::default(),
            limit,
        }
    }

    /// Returns a reservation of zero bytes, to be extended by [`BufferReservation::try_grow`].
    ///
    /// ```
    /// let quota = nutmegcart_entry::buffer_quota::BufferQuota::new(10);
    /// let mut first = quota.empty_reservation();
    /// assert!(first.try_grow(6));
    /// assert!(!quota.empty_reservation().try_grow(5));
    /// drop(first);
    /// assert!(quota.empty_reservation().try_grow(5));
    /// ```
    #[must_use]
    pub fn empty_reservation(&self) -> BufferReservation {
        BufferReservation {
            quota: self.clone(),
            bytes: 0,
        }
    }

    /// Returns the reserved bytes.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Acquire)
    }
}

impl BufferReservation {
    /// Reserves more bytes; returns `false` and reserves nothing if the limit would be exceeded.
    #[must_use = "bytes beyond the limit must not be buffered"]
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let used = self.quota.used.fetch_add(bytes, Ordering::AcqRel);
        if used + bytes > self.quota.limit {
            self.quota.used.fetch_sub(bytes, Ordering::AcqRel);
            return false;
        }
        self.bytes += bytes;
        true
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.quota.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
