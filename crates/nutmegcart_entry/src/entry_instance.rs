//! An entry instance with its threads.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread::Builder;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_model::Event;
use nutmegcart_model::Incarnation;
use nutmegcart_model::log_event;
use nutmegcart_peer::PeerClient;
use nutmegcart_peer::PeerIdentity;
use nutmegcart_platform::FleetApi;
use nutmegcart_platform::RateLimitedStore;
use nutmegcart_platform::Store;
use nutmegcart_platform::rate_limited_store::Clock;
use nutmegcart_request::Member;
use nutmegcart_request::request_path::RequestPathSettings;
use nutmegcart_request::share::EntrySpec;
use parking_lot::Condvar;
use parking_lot::Mutex;

use crate::buffer_quota::BufferQuota;
use crate::config_sync;
use crate::duty;
use crate::entry_settings::EntrySettings;
use crate::metrics::Metrics;
use crate::operation::Operations;
use crate::peering;
use crate::request_dispatcher;
use crate::request_dispatcher::RequestDispatcher;
use crate::roster;
use crate::runner_connections::RunnerConnections;
use crate::server;
use crate::tables::Tables;
use crate::thread_pool::ThreadPool;

/// Result of starting an entry instance.
pub type Result<T> = std::io::Result<T>;

/// Longest wait for an answer of a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between checks for requests in flight at shutdown.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// How far the shutdown of an entry instance has come.
#[derive(Default)]
pub struct Lifecycle {
    /// The request path has known a runner; readiness fails before that.
    pub routable: AtomicBool,
    /// Readiness fails.
    pub draining: AtomicBool,
    /// New caller requests are refused.
    pub refusing: AtomicBool,
    /// Control loops end.
    pub stopped: AtomicBool,
    /// Guards the wait for [`Lifecycle::stop_signal`]; no other lock is taken while it is held.
    pub stop: Mutex<()>,
    /// Wakes control loops between two rounds when the instance stops.
    pub stop_signal: Condvar,
    /// Caller requests in flight.
    pub active: AtomicUsize,
}

/// A running entry instance.
pub struct EntryInstance {
    /// Checked settings.
    pub settings: EntrySettings,
    /// Identity in messages to peers.
    pub identity: PeerIdentity,
    /// Shared tables.
    pub tables: Tables,
    /// Metrics.
    pub metrics: Metrics,
    /// Shutdown state.
    pub lifecycle: Lifecycle,
    /// Store of the platform, behind this instance's share of its rates.
    pub store: Store,
    /// Rates, counters and health of the store.
    pub guard: RateLimitedStore,
    /// Instance list and maintenance calls of the platform.
    pub fleet: FleetApi,
    /// At-most-once execution.
    pub operations: Operations,
    /// Client for peers.
    pub peer_client: PeerClient,
    /// Connections to runners.
    pub runner_connections: RunnerConnections,
    /// Decisions of the request path.
    pub dispatcher: RequestDispatcher,
    /// Bytes buffered by requests and answers.
    pub buffer_quota: BufferQuota,
    /// Background threads.
    pub thread_pool: ThreadPool,
    /// Start of the process's monotonic time.
    pub started: Instant,
}

impl EntryInstance {
    /// Starts serving and all control loops.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or a thread cannot be started.
    pub fn start(
        settings: EntrySettings,
        incarnation: Incarnation,
        store: Store,
        fleet: FleetApi,
    ) -> Result<Arc<Self>> {
        let identity = PeerIdentity {
            id: settings.id.clone(),
            incarnation,
            centre: settings.centre.clone(),
            address: settings.listen,
        };
        let member = Member {
            centre: settings.centre.clone(),
            instance: settings.id.clone(),
            incarnation,
            address: settings.listen.to_string(),
        };
        let own = EntrySpec {
            id: settings.id.clone(),
            centre: settings.centre.clone(),
        };
        let guard = RateLimitedStore::new(store, settings.peers.len() + 1, Clock::default());
        let entry = Arc::new(Self {
            thread_pool: ThreadPool::start(settings.worker_threads),
            dispatcher: RequestDispatcher::new(own, RequestPathSettings::default(), incarnation.0),
            buffer_quota: BufferQuota::new(settings.buffer_limit),
            runner_connections: RunnerConnections::default(),
            settings,
            identity,
            operations: Operations::new(member),
            tables: Tables::default(),
            metrics: Metrics::default(),
            lifecycle: Lifecycle::default(),
            store: guard.store(),
            guard,
            fleet,
            peer_client: PeerClient::new(PEER_TIMEOUT),
            started: Instant::now(),
        });
        server::start(&entry)?;
        entry.spawn("config", config_sync::run)?;
        entry.spawn("instances", config_sync::run_list)?;
        entry.spawn("peering", peering::run)?;
        entry.spawn("dispatch", request_dispatcher::run)?;
        entry.spawn("duty", duty::run)?;
        entry.spawn("roster", roster::run)?;
        log_event!(
            Event::EntryStarted,
            id = entry.settings.id,
            address = entry.settings.listen,
            centre = entry.settings.centre,
            incarnation = incarnation,
        );
        Ok(entry)
    }

    fn spawn(self: &Arc<Self>, name: &str, run: fn(&Arc<Self>)) -> Result<()> {
        let entry = self.clone();
        Builder::new()
            .name(name.into())
            .spawn(move || run(&entry))?;
        Ok(())
    }

    /// Returns the time since the process started.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns whether the control loops should end.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.lifecycle.stopped.load(Ordering::Acquire)
    }

    /// Returns whether the shutdown refuses new work.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.lifecycle.refusing.load(Ordering::Acquire)
    }

    /// Returns whether new caller requests should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let draining = self.lifecycle.draining.load(Ordering::Acquire);
        let routable = self.lifecycle.routable.load(Ordering::Acquire);
        routable
            && !draining
            && !self
                .tables
                .in_force
                .get()
                .configuration
                .history
                .lineage
                .is_empty()
    }

    /// Sleeps for a control round, or less if the instance stops.
    pub fn pause(&self) {
        let end = Instant::now() + self.settings.round_interval;
        let mut stop = self.lifecycle.stop.lock();
        while !self.is_stopped() && Instant::now() < end {
            self.lifecycle.stop_signal.wait_until(&mut stop, end);
        }
    }

    /// Shuts down: fails readiness, waits for the grace time while still serving, refuses new
    /// requests, and returns when none is in flight.
    pub fn shut_down(&self) {
        log_event!(Event::EntryDraining, id = self.settings.id);
        self.lifecycle.draining.store(true, Ordering::Release);
        sleep(self.settings.shutdown_grace);
        self.lifecycle.refusing.store(true, Ordering::Release);
        self.operations.freeze();
        while self.lifecycle.active.load(Ordering::Acquire) > 0 {
            sleep(DRAIN_POLL);
        }
        roster::leave(self);
        self.stop_control_loops();
        log_event!(Event::EntryStopped, id = self.settings.id);
    }

    /// Ends the control loops without waiting for requests.
    pub fn stop_control_loops(&self) {
        self.lifecycle.stopped.store(true, Ordering::Release);
        // Taking the lock makes sure that no loop is between its check and its wait.
        drop(self.lifecycle.stop.lock());
        self.lifecycle.stop_signal.notify_all();
    }
}
