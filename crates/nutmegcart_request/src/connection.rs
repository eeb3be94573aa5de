//! Connections to one runner: selects the connection for an attempt and closes stale ones.
//!
//! An established connection can stop delivering data for good while new connections work. When
//! that happens, connections that received data no later than the unresponsive one have probably
//! lost their network path too, so they are closed with it.

use std::time::Duration;

/// Time after which an idle connection is closed.
///
/// Firewalls and NAT devices drop idle connections; the shortest common limit is one minute.
const MAX_IDLE_TIME: Duration = Duration::from_secs(30);

/// Identifier of a connection, unique within one [`Connections`].
pub type ConnectionId = u64;

/// Connection that an attempt is to use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionChoice {
    /// Reuse this idle connection.
    Reuse(ConnectionId),
    /// Open a new connection under this identifier.
    Open(ConnectionId),
    /// All connections that this entry instance may open are busy.
    Full,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Connection {
    id: ConnectionId,
    /// Time of the last complete answer, or of opening.
    last_received: Duration,
    busy: bool,
    /// Close the connection when its current request ends.
    close_on_release: bool,
}

/// Connections of this entry instance to one runner.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Connections {
    open: Vec<Connection>,
    next: ConnectionId,
}

impl Connections {
    /// Selects a connection for an attempt; appends connections that the caller must close to
    /// `closed`.
    ///
    /// Prefers the idle connection that received data last, as it is the most likely to work.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_request::connection::{ConnectionChoice, Connections};
    /// let mut connections = Connections::default();
    /// let closed = &mut Vec::new();
    /// assert_eq!(connections.acquire(7, Duration::ZERO, closed), ConnectionChoice::Open(0));
    /// assert!(connections.release(0, Duration::ZERO));
    /// assert_eq!(connections.acquire(7, Duration::ZERO, closed), ConnectionChoice::Reuse(0));
    /// ```
    pub fn acquire(
        &mut self,
        limit: usize,
        now: Duration,
        closed: &mut Vec<ConnectionId>,
    ) -> ConnectionChoice {
        self.close_idle(closed, |connection| {
            now.saturating_sub(connection.last_received) > MAX_IDLE_TIME
        });
        let idle = self
            .open
            .iter_mut()
            .filter(|connection| !connection.busy)
            .max_by_key(|connection| connection.last_received);
        if let Some(connection) = idle {
            connection.busy = true;
            return ConnectionChoice::Reuse(connection.id);
        }
        if self.open.len() >= limit {
            return ConnectionChoice::Full;
        }
        let id = self.next;
        self.next += 1;
        self.open.push(Connection {
            id,
            last_received: now,
            busy: true,
            close_on_release: false,
        });
        ConnectionChoice::Open(id)
    }

    /// Makes a connection available for reuse after a complete answer.
    ///
    /// Returns `false` if the caller must close it instead.
    #[must_use = "the connection must be closed if this returns `false`"]
    pub fn release(&mut self, id: ConnectionId, now: Duration) -> bool {
        let Some(index) = self.open.iter().position(|connection| connection.id == id) else {
            return false;
        };
        let connection = &mut self.open[index];
        if connection.close_on_release {
            self.open.swap_remove(index);
            return false;
        }
        connection.busy = false;
        connection.last_received = now;
        true
    }

    /// Removes a connection after an I/O error or a protocol violation.
    pub fn remove(&mut self, id: ConnectionId) {
        self.open.retain(|connection| connection.id != id);
    }

    /// Removes a connection whose answer timed out, with all idle connections that received data
    /// no later than it; appends the idle ones to `closed`.
    ///
    /// Busy connections of the same age are closed when their request ends, as their answers may
    /// still arrive.
    pub fn remove_unresponsive(&mut self, id: ConnectionId, closed: &mut Vec<ConnectionId>) {
        let Some(unresponsive) = self.open.iter().find(|connection| connection.id == id) else {
            return;
        };
        let last_received = unresponsive.last_received;
        self.remove(id);
        self.close_idle(closed, |connection| {
            connection.last_received <= last_received
        });
        for connection in &mut self.open {
            connection.close_on_release |= connection.last_received <= last_received;
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns the identifier that the next new connection will get.
    #[must_use]
    pub fn next_id(&self) -> ConnectionId {
        self.next
    }

    fn close_idle(
        &mut self,
        closed: &mut Vec<ConnectionId>,
        condition: impl Fn(&Connection) -> bool,
    ) {
        self.open.retain(|connection| {
            let close = !connection.busy && condition(connection);
            if close {
                closed.push(connection.id);
            }
            !close
        });
    }
}
