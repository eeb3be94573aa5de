//! What clients hold of a process: bytes and connections, by address, and whose are closed when
//! either is short.
//!
//! All connections of a process share one [`ClientGuard`]. Bytes are reserved before they are kept.
//! While there is room, nobody meets a limit. Above the high-water mark, addresses that hold more
//! than their share lose connections, those first that have held most bytes for the longest time.

use std::cell::Cell;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::net::Ipv6Addr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::client_connection::ClientConnection;
use crate::client_connection::ConnectionState;
use crate::client_connection::RESERVED_AT_ACCEPT;

/// Result of registering a connection; the error is the reason for refusing it.
pub(crate) type Result<T> = std::result::Result<T, CloseReason>;

/// Above this part of a limit, in eighths, connections are closed to make room. Connections that are
/// being closed still count, so the rest of the limit is for requests that arrive meanwhile.
const HIGH_WATER_EIGHTHS: usize = 7;
/// Part of a limit, in eighths, down to which connections are closed at a time, so that the search
/// for them is infrequent.
const LOW_WATER_EIGHTHS: usize = 6;
/// Part of the bytes that clients' requests may hold; the rest is for peers, operators and probes.
const CALLER_EIGHTHS: usize = 7;
/// Interval at which timeouts and data rates are checked.
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Time added to timeouts, so that a client that uses all of a permitted time is not closed.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// Age that every connection has at least when those to be closed are chosen, in milliseconds, so
/// that size counts among new ones.
const MIN_AGE_MS: u128 = 100;
/// Bits of an IPv6 address that one client usually controls entirely.
const IPV6_HOST_BITS: u32 = 64;

/// Listeners with connections of their own, so that clients cannot use up those of peers and
/// operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListenerKind {
    /// Clients' requests.
    Callers,
    /// Peers and operators.
    Peers,
    /// Readiness probes and metrics.
    Probes,
}

/// Limits of what all clients hold together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GuardLimits {
    /// Bytes of unfinished requests and unread responses, with the buffers of their connections.
    pub bytes: usize,
    /// Connections by [`ListenerKind`].
    pub connections: [usize; 3],
    /// Minimum data rate of a body, and of a response that does not fit the socket, in bytes per
    /// second.
    pub min_rate: u64,
    /// Time over which the data rate is measured.
    pub rate_window: Duration,
}

impl Default for GuardLimits {
    fn default() -> Self {
        Self {
            bytes: 20 << 20,
            connections: [2_048, 512, 256],
            min_rate: 16 << 10,
            rate_window: Duration::from_secs(5),
        }
    }
}

/// Limits of one request and of an idle connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Maximum size of a request's head in bytes; values below 8 KiB count as 8 KiB.
    pub head_bytes: usize,
    /// Time from the first byte of a request's head to its last.
    pub head_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Why a connection was refused or closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseReason {
    /// The byte budget is used up.
    Bytes,
    /// The connections of the listener are used up.
    Connections,
    /// The head of a request did not end in time.
    SlowHead,
    /// The body of a request arrived below the minimum data rate.
    SlowBody,
    /// A response was read below the minimum data rate.
    SlowReader,
    /// The connection was idle for too long.
    Idle,
}

impl CloseReason {
    /// All reasons.
    pub const ALL: [Self; 6] = [
        Self::Bytes,
        Self::Connections,
        Self::SlowHead,
        Self::SlowBody,
        Self::SlowReader,
        Self::Idle,
    ];

    /// Returns the name used as a metric label.
    ///
    /// ```
    /// assert_eq!(nutmegcart_http::CloseReason::SlowHead.label(), "slow_head");
    /// ```
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Bytes => "bytes",
            Self::Connections => "connections",
            Self::SlowHead => "slow_head",
            Self::SlowBody => "slow_body",
            Self::SlowReader => "slow_reader",
            Self::Idle => "idle",
        }
    }
}

/// What clients hold, and what was closed since the start.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GuardStatus {
    /// Bytes held.
    pub bytes: usize,
    /// Limit of the bytes held.
    pub max_bytes: usize,
    /// Connections by [`ConnectionState`].
    pub by_state: [usize; ConnectionState::ALL.len()],
    /// Connections refused or closed, by [`CloseReason`].
    pub closed: [u64; CloseReason::ALL.len()],
}

/// What the connections of one address hold.
#[derive(Clone, Copy, Debug, Default)]
struct AddressUse {
    bytes: usize,
    connections: usize,
}

#[derive(Debug, Default)]
struct Inner {
    limits: Cell<GuardLimits>,
    request_limits: Cell<RequestLimits>,
    bytes: Cell<usize>,
    connections: [Cell<usize>; 3],
    next_id: Cell<u64>,
    open: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    addresses: RefCell<HashMap<IpAddr, AddressUse>>,
    closed: [Cell<u64>; CloseReason::ALL.len()],
    checking: Cell<bool>,
}

/// Accounts for what clients hold. Clones share the account.
///
/// ```
/// let guard = nutmegcart_http::ClientGuard::default();
/// assert_eq!(guard.status().bytes, 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ClientGuard {
    inner: Rc<Inner>,
}

/// Scarce quantity that connections are closed for.
#[derive(Clone, Copy)]
enum Scarce {
    Bytes,
    Connections(ListenerKind),
}

impl ClientGuard {
    /// Replaces the limits of all clients together.
    pub fn set_limits(&self, limits: GuardLimits) {
        self.inner.limits.set(limits);
    }

    /// Replaces the limits of one request; the size of heads applies to new connections.
    pub fn set_request_limits(&self, limits: RequestLimits) {
        self.inner.request_limits.set(limits);
    }

    /// Returns the limits of all clients together.
    #[must_use]
    pub fn limits(&self) -> GuardLimits {
        self.inner.limits.get()
    }

    /// Returns the limits of one request.
    #[must_use]
    pub fn request_limits(&self) -> RequestLimits {
        self.inner.request_limits.get()
    }

    /// Returns what clients hold, and what was closed.
    #[must_use]
    pub fn status(&self) -> GuardStatus {
        let mut status = GuardStatus {
            bytes: self.inner.bytes.get(),
            max_bytes: self.limits().bytes,
            closed: self.inner.closed.each_ref().map(Cell::get),
            ..GuardStatus::default()
        };
        for connection in self.inner.open.borrow().values() {
            status.by_state[connection.state() as usize] += 1;
        }
        status
    }

    /// Registers a connection; the error is what is used up.
    pub(crate) fn accept(
        &self,
        kind: ListenerKind,
        address: IpAddr,
    ) -> Result<Rc<ClientConnection>> {
        let address = client_address(address);
        let limit = self.limits().connections[kind as usize];
        let open = &self.inner.connections[kind as usize];
        if open.get() >= eighths(limit, HIGH_WATER_EIGHTHS) {
            self.make_room(Scarce::Connections(kind), address, 1, None);
        }
        if open.get() >= limit {
            return Err(CloseReason::Connections);
        }
        let id = self.inner.next_id.get();
        self.inner.next_id.set(id + 1);
        open.update(|open| open + 1);
        let connection = Rc::new(ClientConnection::new(self.clone(), id, kind, address));
        self.inner.open.borrow_mut().insert(id, connection.clone());
        self.change_address(address, |usage| usage.connections += 1);
        if self.reserve(&connection, RESERVED_AT_ACCEPT) {
            return Ok(connection);
        }
        self.remove(&connection);
        Err(CloseReason::Bytes)
    }

    /// Ends the account of a connection.
    pub(crate) fn remove(&self, connection: &ClientConnection) {
        if self
            .inner
            .open
            .borrow_mut()
            .remove(&connection.id)
            .is_none()
        {
            return;
        }
        self.release(connection, connection.held.get());
        self.inner.connections[connection.kind as usize].update(|open| open.saturating_sub(1));
        self.change_address(connection.address, |usage| {
            usage.connections = usage.connections.saturating_sub(1);
        });
    }

    /// Reserves bytes for a connection; closes others for it if bytes are short.
    pub(crate) fn reserve(&self, connection: &ClientConnection, bytes: usize) -> bool {
        let limit = match connection.kind {
            // Peers and probes find room while clients' requests that are being handled hold all
            // of theirs.
            ListenerKind::Callers => eighths(self.limits().bytes, CALLER_EIGHTHS),
            ListenerKind::Peers | ListenerKind::Probes => self.limits().bytes,
        };
        let wanted = self.inner.bytes.get() + bytes;
        if wanted > eighths(limit, HIGH_WATER_EIGHTHS) {
            let id = Some(connection.id);
            self.make_room(Scarce::Bytes, connection.address, bytes, id);
        }
        if wanted > limit {
            return false;
        }
        self.inner.bytes.set(wanted);
        connection.held.update(|held| held + bytes);
        self.change_address(connection.address, |usage| usage.bytes += bytes);
        true
    }

    /// Returns reserved bytes.
    pub(crate) fn release(&self, connection: &ClientConnection, bytes: usize) {
        if bytes == 0 {
            return;
        }
        connection.held.update(|held| held.saturating_sub(bytes));
        self.inner.bytes.update(|held| held.saturating_sub(bytes));
        self.change_address(connection.address, |usage| {
            usage.bytes = usage.bytes.saturating_sub(bytes);
        });
    }

    /// Counts a connection that was refused or closed.
    pub(crate) fn count(&self, reason: CloseReason) {
        self.inner.closed[reason as usize].update(|count| count + 1);
    }

    fn change_address(&self, address: IpAddr, change: impl FnOnce(&mut AddressUse)) {
        let mut addresses = self.inner.addresses.borrow_mut();
        let usage = addresses.entry(address).or_default();
        change(usage);
        if usage.connections == 0 && usage.bytes == 0 {
            addresses.remove(&address);
        }
    }

    /// Closes connections of addresses that hold more than their share until the low-water mark is
    /// reached, counting those as closed that are still being closed.
    fn make_room(&self, scarce: Scarce, address: IpAddr, wanted: usize, except: Option<u64>) {
        let open = self.inner.open.borrow();
        let (held, limit, reason) = match scarce {
            Scarce::Bytes => {
                let limit = self.limits().bytes;
                (self.inner.bytes.get(), limit, CloseReason::Bytes)
            }
            Scarce::Connections(kind) => {
                let limit = self.limits().connections[kind as usize];
                let held = self.inner.connections[kind as usize].get();
                (held, limit, CloseReason::Connections)
            }
        };
        let amount = |connection: &ClientConnection| match scarce {
            Scarce::Bytes => connection.held.get(),
            Scarce::Connections(kind) => usize::from(connection.kind == kind),
        };
        let closing = open.values().filter(|each| each.closing.get());
        let closing: usize = closing.map(|each| amount(each)).sum();
        let low = eighths(limit, LOW_WATER_EIGHTHS);
        let mut excess = (held + wanted).saturating_sub(closing + low);
        if excess == 0 {
            return;
        }
        let over_share = self.addresses_over_share(scarce, limit, address, wanted);
        let now = Instant::now();
        let mut candidates: Vec<_> = open
            .values()
            .filter(|each| Some(each.id) != except && each.may_close() && amount(each) > 0)
            .filter(|each| over_share.contains(&each.address))
            // A client loses nothing with a connection on which it has no request.
            .map(|each| {
                (
                    (!each.is_idle(), Reverse(each.held_for(now, MIN_AGE_MS))),
                    each,
                )
            })
            .collect();
        candidates.sort_unstable_by_key(|(rank, _)| *rank);
        for (_, connection) in candidates {
            if excess == 0 {
                break;
            }
            excess = excess.saturating_sub(amount(connection));
            connection.close(reason);
        }
    }

    /// Returns the addresses that hold more than an equal share of a limit. Counting what is wanted,
    /// there is at least one while the limit is exceeded.
    fn addresses_over_share(
        &self,
        scarce: Scarce,
        limit: usize,
        wanting: IpAddr,
        wanted: usize,
    ) -> HashSet<IpAddr> {
        let addresses = self.inner.addresses.borrow();
        let share = eighths(limit, LOW_WATER_EIGHTHS) / addresses.len().max(1);
        let used = |address: &IpAddr, usage: &AddressUse| {
            let used = match scarce {
                Scarce::Bytes => usage.bytes,
                Scarce::Connections(_) => usage.connections,
            };
            used + if *address == wanting { wanted } else { 0 }
        };
        let over = addresses
            .iter()
            .filter(|(address, usage)| used(address, usage) > share);
        over.map(|(address, _)| *address).collect()
    }

    /// Starts the task that checks timeouts and data rates, unless it runs already.
    pub(crate) fn start_checks(&self) {
        if self.inner.checking.replace(true) {
            return;
        }
        let inner = Rc::downgrade(&self.inner);
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(CHECK_PERIOD).await;
                let Some(inner) = inner.upgrade() else {
                    return;
                };
                Self { inner }.check(Instant::now());
            }
        });
    }

    /// Closes connections that exceed a timeout or are below the minimum data rate.
    fn check(&self, now: Instant) {
        let limits = self.request_limits();
        let rates = self.limits();
        for connection in self.inner.open.borrow().values() {
            let age = now.saturating_duration_since(connection.since.get());
            match connection.state() {
                ConnectionState::New | ConnectionState::Idle
                    if age > limits.idle_timeout + TIMEOUT_MARGIN =>
                {
                    connection.close(CloseReason::Idle);
                }
                ConnectionState::Head if age > limits.head_timeout + TIMEOUT_MARGIN => {
                    connection.close(CloseReason::SlowHead);
                }
                ConnectionState::Body if connection.is_slow(now, &rates) => {
                    connection.interrupt_body();
                }
                ConnectionState::Answering if connection.is_slow(now, &rates) => {
                    connection.close(CloseReason::SlowReader);
                }
                _ => {}
            }
        }
    }
}

const fn eighths(limit: usize, count: usize) -> usize {
    limit / 8 * count
}

/// Returns the address by which a client is counted: the network for IPv6.
fn client_address(address: IpAddr) -> IpAddr {
    match address.to_canonical() {
        IpAddr::V6(address) => {
            let network = address.to_bits() >> IPV6_HOST_BITS << IPV6_HOST_BITS;
            Ipv6Addr::from_bits(network).into()
        }
        address @ IpAddr::V4(_) => address,
    }
}
