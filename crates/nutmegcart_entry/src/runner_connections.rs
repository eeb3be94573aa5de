//! Connections to runners.
//!
//! The HTTP client chooses among its idle connections itself. Each of its agents therefore holds
//! one connection, and [`Connections`] decides which agent is used and which one is dropped.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use nutmegcart_request::connection::ConnectionChoice;
use nutmegcart_request::connection::ConnectionId;
use nutmegcart_request::connection::Connections;
use parking_lot::Mutex;
use ureq::Agent;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::ResolvedSocketAddrs;
use ureq::unversioned::resolver::Resolver;
use ureq::unversioned::transport::DefaultConnector;
use ureq::unversioned::transport::NextTimeout;

/// Idle time after which the client would close a connection; longer than the one of
/// [`Connections`], which decides.
const IDLE: Duration = Duration::from_mins(5);

/// The connections to all runners.
#[derive(Default)]
pub struct RunnerConnections {
    runners: Mutex<HashMap<SocketAddr, Runner>>,
}

#[derive(Default)]
struct Runner {
    connections: Connections,
    agents: HashMap<ConnectionId, Agent>,
}

/// A connection in use.
pub struct Lease {
    /// Client that holds the connection.
    pub agent: Agent,
    /// Whether the connection was used before.
    pub reused: bool,
    address: SocketAddr,
    id: ConnectionId,
}

/// How a request left its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// A whole answer was read.
    Whole,
    /// It broke or delivered something unexpected.
    Broken,
    /// No first byte arrived in time.
    Silent,
}

impl RunnerConnections {
    /// Takes a connection to a runner; none if the share is in use.
    pub fn acquire(&self, address: SocketAddr, share: u32, now: Duration) -> Option<Lease> {
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
        let agent = runner.agents.entry(id).or_insert_with(agent).clone();
        // Dropping an agent closes its connection, which must not happen under the lock.
        drop(runners);
        drop(dropped);
        Some(Lease {
            agent,
            reused,
            address,
            id,
        })
    }

    /// Gives a connection back.
    pub fn release(&self, lease: Lease, condition: Condition, now: Duration) {
        let Lease {
            agent, address, id, ..
        } = lease;
        let mut closed = Vec::new();
        let mut dropped = Vec::new();
        let mut runners = self.runners.lock();
        if let Some(runner) = runners.get_mut(&address) {
            match condition {
                Condition::Whole if runner.connections.release(id, now) => {}
                Condition::Whole => closed.push(id),
                Condition::Broken => {
                    runner.connections.remove(id);
                    closed.push(id);
                }
                Condition::Silent => {
                    runner.connections.remove_unresponsive(id, &mut closed);
                    closed.push(id);
                }
            }
            dropped.extend(closed.iter().filter_map(|id| runner.agents.remove(id)));
        }
        drop(runners);
        drop((agent, dropped));
    }

    /// Forgets the runners that are no longer known.
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

/// Reads the IP address and port of a URI.
///
/// Runners are known by IP address. The client's own resolver starts a thread for each request
/// that has a timeout, even for an address.
#[derive(Debug)]
struct Addresses;

impl Resolver for Addresses {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let authority = uri.authority();
        let address = authority.and_then(|authority| authority.as_str().parse().ok());
        let mut found = self.empty();
        let address: SocketAddr = address.ok_or(ureq::Error::HostNotFound)?;
        found.push(address);
        Ok(found)
    }
}

fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .max_idle_connections(1)
        .max_idle_connections_per_host(1)
        .max_idle_age(IDLE)
        .build();
    Agent::with_parts(config, DefaultConnector::default(), Addresses)
}
