//! Connection pool for requests to runners.
//!
//! [`Connections`] decides which connection is used or closed; [`RunnerConnections`] holds them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use nutmegcart_http::HttpConnection;
use nutmegcart_request::connection::ConnectionChoice;
use nutmegcart_request::connection::ConnectionId;
use nutmegcart_request::connection::Connections;
use parking_lot::Mutex;

/// The open connections to all runners, by address.
#[derive(Default)]
pub struct RunnerConnections {
    runners: Mutex<HashMap<SocketAddr, RunnerPool>>,
}

#[derive(Default)]
struct RunnerPool {
    connections: Connections,
    idle: HashMap<ConnectionId, HttpConnection>,
}

/// A connection that is checked out for one request.
pub struct PooledConnection {
    /// The open connection, or none if it must be opened first.
    pub open: Option<HttpConnection>,
    address: SocketAddr,
    id: ConnectionId,
}

/// State of a connection after a request, which decides whether it is used again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionOutcome {
    /// A complete answer was read.
    Complete,
    /// The connection failed, or an unexpected answer arrived on it.
    Broken,
    /// The first byte of the answer did not arrive in time.
    Silent,
}

impl RunnerConnections {
    /// Checks out a connection to a runner; `None` if `share` connections are already in use.
    pub fn acquire(
        &self,
        address: SocketAddr,
        share: u32,
        now: Duration,
    ) -> Option<PooledConnection> {
        let mut closed = Vec::new();
        let mut dropped = Vec::new();
        let mut runners = self.runners.lock();
        let runner = runners.entry(address).or_default();
        let choice = runner.connections.acquire(share as usize, now, &mut closed);
        for id in closed {
            dropped.extend(runner.idle.remove(&id));
        }
        let (ConnectionChoice::Reuse(id) | ConnectionChoice::Open(id)) = choice else {
            return None;
        };
        let open = runner.idle.remove(&id);
        // Dropping a connection closes it, which is I/O and must not happen under the lock.
        drop(runners);
        drop(dropped);
        Some(PooledConnection { open, address, id })
    }

    /// Returns a connection to the pool, or closes it if the outcome rules out its reuse.
    pub fn release(&self, connection: PooledConnection, outcome: ConnectionOutcome, now: Duration) {
        let PooledConnection { open, address, id } = connection;
        let mut open = open;
        let mut closed = Vec::new();
        let mut dropped = Vec::new();
        let mut runners = self.runners.lock();
        if let Some(runner) = runners.get_mut(&address) {
            match outcome {
                ConnectionOutcome::Complete if runner.connections.release(id, now) => {
                    runner.idle.extend(open.take().map(|open| (id, open)));
                }
                ConnectionOutcome::Complete => {}
                ConnectionOutcome::Broken => {
                    runner.connections.remove(id);
                }
                ConnectionOutcome::Silent => {
                    runner.connections.remove_unresponsive(id, &mut closed);
                }
            }
            dropped.extend(closed.iter().filter_map(|id| runner.idle.remove(id)));
        }
        drop(runners);
        drop((open, dropped));
    }

    /// Closes the idle connections to runners whose address is not known any more.
    pub fn retain(&self, known: impl Fn(&SocketAddr) -> bool) {
        let mut gone = Vec::new();
        self.runners.lock().retain(|address, runner| {
            let keep = known(address);
            if !keep {
                gone.push(std::mem::take(runner));
            }
            keep
        });
    }
}
