//! Limit of the bytes that all requests of an entry instance buffer.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Bytes buffered by all requests; clones share the count.
#[derive(Clone)]
pub struct BufferQuota {
    used: Arc<AtomicUsize>,
    limit: usize,
}

/// Bytes of one request, given back when dropped.
pub struct BufferReservation {
    buffered: BufferQuota,
    bytes: usize,
}

impl BufferQuota {
    /// Creates a limit in bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            used: Arc::default(),
            limit,
        }
    }

    /// Returns a reservation of no bytes.
    ///
    /// ```
    /// let buffered = nutmegcart_entry::buffer_quota::BufferQuota::new(10);
    /// let mut first = buffered.reserve();
    /// assert!(first.grow(6));
    /// assert!(!buffered.reserve().grow(5));
    /// drop(first);
    /// assert!(buffered.reserve().grow(5));
    /// ```
    #[must_use]
    pub fn reserve(&self) -> BufferReservation {
        BufferReservation {
            buffered: self.clone(),
            bytes: 0,
        }
    }

    /// Returns the bytes in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Acquire)
    }
}

impl BufferReservation {
    /// Reserves further bytes; returns false, and reserves nothing, if the limit is reached.
    #[must_use = "bytes beyond the limit must not be buffered"]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let used = self.buffered.used.fetch_add(bytes, Ordering::AcqRel);
        if used + bytes > self.buffered.limit {
            self.buffered.used.fetch_sub(bytes, Ordering::AcqRel);
            return false;
        }
        self.bytes += bytes;
        true
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.buffered.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
