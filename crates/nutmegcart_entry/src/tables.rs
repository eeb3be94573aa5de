//! Tables shared by all threads of an entry instance.
//!
//! Lock order: `in_force` (inside [`ActiveConfig`]), `pool_maps`, `instances`, `peers`, then the
//! locks of [`RequestDispatcher`](crate::request_dispatcher::RequestDispatcher) and
//! [`RunnerConnections`](crate::runner_connections::RunnerConnections). A thread that holds one
//! lock takes only later ones, and none is held across I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicI64;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_config::ActiveConfig;
use nutmegcart_config::ConfigReport;
use nutmegcart_config::Generation;
use nutmegcart_fleet::PoolMap;
use nutmegcart_model::DataCentre;
use nutmegcart_model::InstanceId;
use nutmegcart_peer::PeerIdentity;
use nutmegcart_platform::Instance;
use parking_lot::Mutex;
use parking_lot::RwLock;

/// State of a peer as of its last heartbeat.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Identity that the peer sent.
    pub identity: PeerIdentity,
    /// Generation of the configuration in force on the peer.
    pub generation: Generation,
    /// Configuration in force on the peer, and whether the peer has caught up with the others.
    pub report: ConfigReport,
    /// Whether the peer is shutting down.
    pub draining: bool,
    /// Time of the last heartbeat.
    pub last_heard: Instant,
    /// Whether heartbeats have been missing for too long.
    pub suspect: bool,
}

/// The instance list as last read.
#[derive(Clone, Debug, Default)]
pub struct InstanceTable {
    /// Instances by identifier.
    pub instances: BTreeMap<InstanceId, Instance>,
    /// Time of the read; `None` before the first one.
    pub read_at: Option<Instant>,
}

impl InstanceTable {
    /// Returns the time since the list was read, or [`Duration::MAX`] before the first read.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.read_at.map_or(Duration::MAX, |read| read.elapsed())
    }
}

/// All shared tables.
#[derive(Default)]
pub struct Tables {
    /// Configuration in force.
    pub in_force: ActiveConfig,
    /// Whether this instance has caught up with the others since it started.
    pub established: AtomicBool,
    /// Store revision at the last read of configuration and maps.
    pub store_revision: AtomicI64,
    /// Store revision up to which the pool maps are known; zero requests a complete read.
    pub maps_revision: AtomicI64,
    /// Pool maps by data centre.
    pub pool_maps: RwLock<Arc<BTreeMap<DataCentre, PoolMap>>>,
    /// Instance list as last read.
    pub instances: RwLock<Arc<InstanceTable>>,
    /// Peers by the address that they report.
    pub peers: Mutex<BTreeMap<SocketAddr, PeerState>>,
}
