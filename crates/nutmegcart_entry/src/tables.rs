//! Tables shared by all threads of an entry instance.
//!
//! Lock order: `in_force` (inside [`ActiveConfig`]), `pool_maps`, `instances`, `peers`, then the
//! locks of [`RequestDispatcher`](crate::request_dispatcher::RequestDispatcher) and
//! [`RunnerConnections`](crate::runner_connections::RunnerConnections). A thread that holds one lock
//! takes only later ones, and none is held across I/O.

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

/// What is known of a peer.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Who answered last at the address.
    pub identity: PeerIdentity,
    /// Generation of the configuration in force there.
    pub generation: Generation,
    /// Configuration in force there, and whether it has caught up with the others.
    pub report: ConfigReport,
    /// Whether it is shutting down.
    pub draining: bool,
    /// When it was last heard.
    pub last_heard: Instant,
    /// Whether it has been silent for too long.
    pub suspect: bool,
}

/// The instance list as last read.
#[derive(Clone, Debug, Default)]
pub struct InstanceTable {
    /// Instances by identifier.
    pub instances: BTreeMap<InstanceId, Instance>,
    /// When the list was read; none before the first time.
    pub read_at: Option<Instant>,
}

impl InstanceTable {
    /// Returns the time since the list was read.
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
    /// Revision of the store at the last read of configuration and maps.
    pub store_revision: AtomicI64,
    /// Revision up to which the pool maps are known; zero asks for a whole read.
    pub maps_revision: AtomicI64,
    /// Pool maps by data centre.
    pub pool_maps: RwLock<Arc<BTreeMap<DataCentre, PoolMap>>>,
    /// Instance list.
    pub instances: RwLock<Arc<InstanceTable>>,
    /// Peers by address.
    pub peers: Mutex<BTreeMap<SocketAddr, PeerState>>,
}
