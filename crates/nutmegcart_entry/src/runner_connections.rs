//! Connection pool for requests to runners.
//!
//! The HTTP client offers no control over which of its idle connections it uses. Each agent is
//! therefore limited to one connection, and [`Connections`] decides which agent is used or dropped.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use nutmegcart_platform::http::agent_with;
use nutmegcart_request::connection::ConnectionChoice;
use nutmegcart_request::connection::ConnectionId;
use nutmegcart_request::connection::Connections;
use parking_lot::Mutex;
use ureq::Agent;

/// Idle time after which the HTTP client closes a connection.
///
/// It is longer than the idle time of [`Connections`], which closes connections first.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_mins(5);

/// The open connections to all runners, by address.
#[derive(Default)]
pub struct RunnerConnections {
    runners: Mutex<HashMap<SocketAddr, RunnerAgents>>,
}

#[derive(Default)]
struct RunnerAgents {
    connections: Connections,
    agents: HashMap<ConnectionId, Agent>,
}

/// A connection that is checked out for one request.
pub struct PooledConnection {
    /// HTTP client that owns the connection.
    pub agent: Agent,
    /// Whether an earlier request used the connection.
    pub reused: bool,
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
            dropped.extend(runner.agents.remove(&id));
        }
        let (id, reused) = match choice {
            ConnectionChoice::Reuse(id) => (id, true),
            ConnectionChoice::Open(id) => (id, false),
            ConnectionChoice::Full => return None,
        };
        let agent = runner.agents.entry(id).or_insert_with(new_agent).clone();
        // Dropping an agent closes its connection, which is I/O and must not happen under the lock.
        drop(runners);
        drop(dropped);
        Some(PooledConnection {
            agent,
            reused,
            address,
            id,
        })
    }

    /// Returns a connection to the pool, or closes it if the outcome rules out its reuse.
    pub fn release(&self, connection: PooledConnection, outcome: ConnectionOutcome, now: Duration) {
        let PooledConnection {
            agent, address, id, ..
        } = connection;
        let mut closed = Vec::new();
        let mut dropped = Vec::new();
        let mut runners = self.runners.lock();
        if let Some(runner) = runners.get_mut(&address) {
            match outcome {
                ConnectionOutcome::Complete if runner.connections.release(id, now) => {}
                ConnectionOutcome::Complete => closed.push(id),
                ConnectionOutcome::Broken => {
                    runner.connections.remove(id);
                    closed.push(id);
                }
                ConnectionOutcome::Silent => {
                    runner.connections.remove_unresponsive(id, &mut closed);
                    closed.push(id);
                }
            }
            dropped.extend(closed.iter().filter_map(|id| runner.agents.remove(id)));
        }
        drop(runners);
        drop((agent, dropped));
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

fn new_agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .max_idle_connections(1)
        .max_idle_connections_per_host(1)
        .max_idle_age(CLIENT_IDLE_TIMEOUT)
        .build();
    agent_with(config)
}
