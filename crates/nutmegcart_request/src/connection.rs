//! Which open connection to a runner is used next and which ones are no longer trusted.
//!
//! Open connections can go silent for ever while new ones work. A connection that was idle for
//! longer than a silent one has probably lost its path as well, so it is closed with it.

use std::time::Duration;

/// Longest time for which an idle connection is kept.
///
/// Devices on the path forget idle connections; the shortest limits in common use are a minute.
const LONGEST_IDLE: Duration = Duration::from_secs(30);

/// Identifier of a connection, unique within a runner's [`Connections`].
pub type ConnectionId = u64;

/// Which connection an attempt uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionChoice {
    /// An idle connection.
    Reuse(ConnectionId),
    /// A new connection with this identifier.
    Open(ConnectionId),
    /// The share of connections is in use.
    Full,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Connection {
    id: ConnectionId,
    /// Time of the last byte received, or of opening.
    heard: Duration,
    busy: bool,
    /// A busy connection that is closed once its request ends.
    distrusted: bool,
}

/// The connections of this entry instance to one runner.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Connections {
    open: Vec<Connection>,
    next: ConnectionId,
}

impl Connections {
    /// Chooses the connection for an attempt and appends the ones to close to `closed`.
    ///
    /// The connection that was heard last is the most likely to work.
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
        share: usize,
        now: Duration,
        closed: &mut Vec<ConnectionId>,
    ) -> ConnectionChoice {
        self.close(closed, |connection| {
            now.saturating_sub(connection.heard) > LONGEST_IDLE
        });
        let idle = self
            .open
            .iter_mut()
            .filter(|connection| !connection.busy)
            .max_by_key(|connection| connection.heard);
        if let Some(connection) = idle {
            connection.busy = true;
            return ConnectionChoice::Reuse(connection.id);
        }
        if self.open.len() >= share {
            return ConnectionChoice::Full;
        }
        let id = self.next;
        self.next += 1;
        self.open.push(Connection {
            id,
            heard: now,
            busy: true,
            distrusted: false,
        });
        ConnectionChoice::Open(id)
    }

    /// Returns a connection after a whole answer; `false` means that it must be closed.
    #[must_use = "a distrusted connection must be closed"]
    pub fn release(&mut self, id: ConnectionId, now: Duration) -> bool {
        let Some(index) = self.open.iter().position(|connection| connection.id == id) else {
            return false;
        };
        let connection = &mut self.open[index];
        if connection.distrusted {
            self.open.swap_remove(index);
            return false;
        }
        connection.busy = false;
        connection.heard = now;
        true
    }

    /// Removes a connection that broke or delivered anything unexpected.
    pub fn remove(&mut self, id: ConnectionId) {
        self.open.retain(|connection| connection.id != id);
    }

    /// Removes a silent connection and appends the idle ones to close to `closed`.
    ///
    /// Busy connections that are no fresher than the silent one are closed when their request
    /// ends, since their answers may still arrive.
    pub fn remove_unresponsive(&mut self, id: ConnectionId, closed: &mut Vec<ConnectionId>) {
        let Some(silent) = self.open.iter().find(|connection| connection.id == id) else {
            return;
        };
        let heard = silent.heard;
        self.remove(id);
        self.close(closed, |connection| connection.heard <= heard);
        for connection in &mut self.open {
            connection.distrusted |= connection.heard <= heard;
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

    /// Returns the identifier that the next new connection gets.
    #[must_use]
    pub fn next_id(&self) -> ConnectionId {
        self.next
    }

    fn close(&mut self, closed: &mut Vec<ConnectionId>, which: impl Fn(&Connection) -> bool) {
        self.open.retain(|connection| {
            let close = !connection.busy && which(connection);
            if close {
                closed.push(connection.id);
            }
            !close
        });
    }
}
