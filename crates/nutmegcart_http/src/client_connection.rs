//! The account of one client's connection.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::IpAddr;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use tokio::task::AbortHandle;

use crate::client_guard::ClientGuard;
use crate::client_guard::CloseReason;
use crate::client_guard::GuardLimits;
use crate::client_guard::ListenerKind;

/// Bytes reserved for a connection that has not sent anything: its tasks and registration.
pub(crate) const RESERVED_AT_ACCEPT: usize = 2 << 10;
/// Bytes reserved for the smallest read buffer of the HTTP library.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// Bytes reserved, besides the read buffer, once a connection has sent something: the HTTP library's
/// write buffer of 8 KiB and its other state.
const PROTOCOL_BYTES: usize = 10 << 10;
/// Responses up to this size fit the write buffer that is reserved already.
const SMALL_RESPONSE_BYTES: usize = 4 << 10;

/// Attempts to reserve what is short; connections that were closed for it end in between.
pub(crate) const RESERVE_ATTEMPTS: usize = 3;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionState {
    /// It has sent nothing yet.
    New,
    /// The head of a request is arriving.
    Head,
    /// The body of a request is arriving.
    Body,
    /// A request is being handled.
    Handling,
    /// A response is being written.
    Answering,
    /// It waits for the next request.
    Idle,
}

impl ConnectionState {
    /// All states.
    pub const ALL: [Self; 6] = [
        Self::New,
        Self::Head,
        Self::Body,
        Self::Handling,
        Self::Answering,
        Self::Idle,
    ];

    /// Returns the name used as a metric label.
    ///
    /// ```
    /// assert_eq!(nutmegcart_http::ConnectionState::Head.label(), "head");
    /// ```
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::New => "new",
            Self::Head => "head",
            Self::Body => "body",
            Self::Handling => "handling",
            Self::Answering => "answering",
            Self::Idle => "idle",
        }
    }
}

/// What one connection holds and what it is doing.
#[derive(Debug)]
pub struct ClientConnection {
    guard: ClientGuard,
    pub(crate) id: u64,
    pub(crate) kind: ListenerKind,
    pub(crate) address: IpAddr,
    /// Bytes reserved in total.
    pub(crate) held: Cell<usize>,
    /// Time since which it is in its state.
    pub(crate) since: Cell<Instant>,
    /// Whether it is being closed.
    pub(crate) closing: Cell<bool>,
    state: Cell<ConnectionState>,
    read_buffer: Cell<usize>,
    head_bytes: Cell<usize>,
    body_bytes: Cell<usize>,
    response_bytes: Cell<usize>,
    window_start: Cell<Instant>,
    window_bytes: Cell<u64>,
    body_too_slow: Cell<bool>,
    body_reader: RefCell<Option<Waker>>,
    task: RefCell<Option<AbortHandle>>,
}

impl ClientConnection {
    pub(crate) fn new(guard: ClientGuard, id: u64, kind: ListenerKind, address: IpAddr) -> Self {
        let now = Instant::now();
        Self {
            guard,
            id,
            kind,
            address,
            held: Cell::new(0),
            since: Cell::new(now),
            closing: Cell::new(false),
            state: Cell::new(ConnectionState::New),
            read_buffer: Cell::new(0),
            head_bytes: Cell::new(0),
            body_bytes: Cell::new(0),
            response_bytes: Cell::new(0),
            window_start: Cell::new(now),
            window_bytes: Cell::new(0),
            body_too_slow: Cell::new(false),
            body_reader: RefCell::new(None),
            task: RefCell::new(None),
        }
    }

    pub(crate) fn state(&self) -> ConnectionState {
        self.state.get()
    }

    fn enter(&self, state: ConnectionState) {
        let now = Instant::now();
        self.state.set(state);
        self.since.set(now);
        self.window_start.set(now);
        self.window_bytes.set(0);
    }

    /// Sets the task that serves the connection.
    pub(crate) fn set_task(&self, task: AbortHandle) {
        *self.task.borrow_mut() = Some(task);
    }

    /// Returns whether the connection may be closed to make room. A request that is being handled may
    /// already have an effect, so its client is to get the response.
    pub(crate) fn may_close(&self) -> bool {
        !self.closing.get() && self.state.get() != ConnectionState::Handling
    }

    /// Returns whether the client has no request on the connection.
    pub(crate) fn is_idle(&self) -> bool {
        matches!(
            self.state.get(),
            ConnectionState::New | ConnectionState::Idle
        )
    }

    /// Returns the bytes held times the milliseconds in the present state, which ranks the slowest and
    /// largest first.
    pub(crate) fn held_for(&self, now: Instant, min_age_ms: u128) -> u128 {
        let age = now.saturating_duration_since(self.since.get());
        (age.as_millis() + min_age_ms) * self.held.get() as u128
    }

    /// Closes the connection without a response.
    pub(crate) fn close(&self, reason: CloseReason) {
        if self.closing.replace(true) {
            return;
        }
        self.guard.count(reason);
        if let Some(task) = &*self.task.borrow() {
            task.abort();
        }
    }

    /// Reserves the buffers of the HTTP library, or closes the connection.
    pub(crate) async fn reserve_buffers(&self) -> bool {
        self.read_buffer.set(READ_BUFFER_BYTES);
        self.reserve_repeatedly(PROTOCOL_BYTES + READ_BUFFER_BYTES)
            .await
    }

    /// Reserves bytes, or closes the connection.
    fn reserve(&self, bytes: usize) -> bool {
        let reserved = !self.closing.get() && self.guard.reserve(self, bytes);
        if !reserved {
            self.close(CloseReason::Bytes);
        }
        reserved
    }

    /// Adjusts the reservation to a read buffer with `free` bytes left; returns `false` if bytes are
    /// short.
    pub(crate) fn reserve_read_buffer(&self, free: usize) -> bool {
        let (capacity, known) = match self.state.get() {
            ConnectionState::Head => (self.head_bytes.get() + free, false),
            ConnectionState::New | ConnectionState::Idle => (free, true),
            _ => (free, false),
        };
        let capacity = capacity.max(READ_BUFFER_BYTES);
        let before = self.read_buffer.get();
        if capacity > before {
            if !self.reserve(capacity - before) {
                return false;
            }
            self.read_buffer.set(capacity);
        } else if known && capacity < before {
            self.guard.release(self, before - capacity);
            self.read_buffer.set(capacity);
        }
        true
    }

    /// Records bytes that were read from the socket.
    pub(crate) fn record_read(&self, bytes: usize) {
        match self.state.get() {
            ConnectionState::New | ConnectionState::Idle if bytes > 0 => {
                self.enter(ConnectionState::Head);
                self.head_bytes.set(bytes);
            }
            ConnectionState::Head => self.head_bytes.update(|head| head + bytes),
            _ => {}
        }
    }

    /// Records bytes that were written to the socket.
    pub(crate) fn record_written(&self, bytes: usize) {
        if self.state.get() == ConnectionState::Answering {
            self.window_bytes.update(|window| window + bytes as u64);
        }
    }

    /// Records that all responses have been written to the socket.
    pub(crate) fn record_flushed(&self) {
        if self.state.get() == ConnectionState::Answering {
            self.guard.release(self, self.response_bytes.replace(0));
            self.enter(ConnectionState::Idle);
        }
    }

    /// Records that the head of a request is complete.
    pub(crate) fn begin_request(&self) {
        self.enter(ConnectionState::Handling);
        self.body_too_slow.set(false);
    }

    /// Records that the handler waits for the body.
    pub(crate) fn begin_body(&self) {
        self.enter(ConnectionState::Body);
    }

    /// Records that the body is complete or given up.
    pub(crate) fn end_body(&self) {
        self.body_reader.borrow_mut().take();
        self.enter(ConnectionState::Handling);
    }

    /// Reserves bytes of a body, until its request has been answered, or closes the connection.
    pub(crate) async fn reserve_body(&self, bytes: usize) -> bool {
        let reserved = self.reserve_repeatedly(bytes).await;
        if reserved {
            self.body_bytes.update(|body| body + bytes);
        }
        reserved
    }

    /// Reserves bytes, after others that were closed for it have ended, or closes the connection.
    async fn reserve_repeatedly(&self, bytes: usize) -> bool {
        for _ in 0..RESERVE_ATTEMPTS {
            if self.closing.get() {
                return false;
            }
            if self.guard.reserve(self, bytes) {
                return true;
            }
            tokio::task::yield_now().await;
        }
        self.close(CloseReason::Bytes);
        false
    }

    /// Records bytes of a body that have arrived.
    pub(crate) fn record_body(&self, bytes: usize) {
        self.window_bytes.update(|window| window + bytes as u64);
    }

    /// Records the waker of the body's reader; returns whether the body is too slow.
    pub(crate) fn is_body_too_slow(&self, reader: &Waker) -> bool {
        let mut known = self.body_reader.borrow_mut();
        match &mut *known {
            Some(known) => known.clone_from(reader),
            None => *known = Some(reader.clone()),
        }
        self.body_too_slow.get()
    }

    /// Makes the reader of the body give up.
    pub(crate) fn interrupt_body(&self) {
        if !self.body_too_slow.replace(true) {
            self.guard.count(CloseReason::SlowBody);
        }
        if let Some(reader) = self.body_reader.borrow_mut().take() {
            reader.wake();
        }
    }

    /// Records that a response is to be written; returns `false` if it must not be kept.
    pub(crate) fn end_request(&self, response_bytes: usize) -> bool {
        self.guard.release(self, self.body_bytes.replace(0));
        self.enter(ConnectionState::Answering);
        if response_bytes <= SMALL_RESPONSE_BYTES {
            return !self.closing.get();
        }
        let reserved = self.reserve(response_bytes);
        if reserved {
            self.response_bytes
                .update(|response| response + response_bytes);
        }
        reserved
    }

    /// Returns whether fewer bytes than the minimum data rate moved in the window that ends now.
    pub(crate) fn is_slow(&self, now: Instant, limits: &GuardLimits) -> bool {
        let elapsed = now.saturating_duration_since(self.window_start.get());
        if elapsed < limits.rate_window {
            return false;
        }
        let least = Duration::as_millis(&elapsed) * u128::from(limits.min_rate) / 1_000;
        let moved = u128::from(self.window_bytes.replace(0));
        self.window_start.set(now);
        moved < least
    }
}
