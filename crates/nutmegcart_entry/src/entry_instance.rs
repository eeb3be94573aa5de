//! An entry instance: its shared parts, its threads and its shutdown.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread::Builder;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_http::LocalExecutor;
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
use tokio::sync::Semaphore;

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

/// Result of starting an entry instance.
pub type Result<T> = std::io::Result<T>;

/// Timeout of a call to a peer, unless the call has one of its own.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Background calls to peers that may be under way, so that a slow peer cannot exhaust memory.
const MAX_BACKGROUND_CALLS: usize = 1024;
/// Interval between checks for requests in flight at shutdown.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// State of an entry instance between start and end of shutdown.
#[derive(Default)]
pub struct Lifecycle {
    /// Set once a runner is known; readiness fails before.
    pub routable: AtomicBool,
    /// Set when the shutdown begins; readiness fails from then on.
    pub draining: AtomicBool,
    /// Set after the grace time of the shutdown; new caller requests are refused from then on.
    pub refusing: AtomicBool,
    /// Set when the control loops are to end.
    pub stopped: AtomicBool,
    /// Mutex of [`Lifecycle::stop_signal`]; no other lock is taken while it is held.
    pub stop_mutex: Mutex<()>,
    /// Wakes control loops between two rounds when the instance stops.
    pub stop_signal: Condvar,
    /// Number of caller requests in flight, those that peers forwarded included.
    pub active_requests: AtomicUsize,
}

/// A running entry instance.
pub struct EntryInstance {
    /// Settings, checked when they were read.
    pub settings: EntrySettings,
    /// Identity in messages to peers.
    pub identity: PeerIdentity,
    /// Configuration, pool maps, instance list and peers.
    pub tables: Tables,
    /// Metrics that `/metrics` shows.
    pub metrics: Metrics,
    /// Progress of the shutdown.
    pub lifecycle: Lifecycle,
    /// The platform's store, limited to this instance's share of the permitted call rates.
    pub store: Store,
    /// Wrapper behind [`EntryInstance::store`], with its rate limits, call counters and health.
    pub limited_store: RateLimitedStore,
    /// Instance list and maintenance calls of the platform.
    pub fleet: FleetApi,
    /// State of operations that run at most once.
    pub operations: Operations,
    /// Client for messages to peers.
    pub peer_client: PeerClient,
    /// Connections to runners.
    pub runner_connections: RunnerConnections,
    /// Admission, routing and retries of caller requests.
    pub dispatcher: RequestDispatcher,
    /// Limit on the bytes that requests and answers buffer.
    pub buffer_quota: BufferQuota,
    /// Thread that serves requests, with the threads for operators' calls.
    pub executor: LocalExecutor,
    /// Permits of the background calls to peers that may be under way.
    pub background_calls: Arc<Semaphore>,
    /// Origin of [`EntryInstance::now`].
    pub started: Instant,
}

impl EntryInstance {
    /// Starts the HTTP server and all control loops.
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
        let executor = LocalExecutor::start("http", settings.call_threads)?;
        Self::start_on(executor, settings, incarnation, store, fleet)
    }

    /// Starts as [`EntryInstance::start`], on a thread that other instances of the process share.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or a thread cannot be started.
    pub fn start_on(
        executor: LocalExecutor,
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
        let limited_store =
            RateLimitedStore::new(store, settings.peers.len() + 1, Clock::default());
        let entry = Arc::new(Self {
            executor,
            background_calls: Arc::new(Semaphore::new(MAX_BACKGROUND_CALLS)),
            dispatcher: RequestDispatcher::new(own, RequestPathSettings::default(), incarnation.0),
            buffer_quota: BufferQuota::new(settings.buffer_limit),
            runner_connections: RunnerConnections::default(),
            settings,
            identity,
            operations: Operations::new(member),
            tables: Tables::default(),
            metrics: Metrics::default(),
            lifecycle: Lifecycle::default(),
            store: limited_store.store(),
            limited_store,
            fleet,
            peer_client: PeerClient::new(PEER_CALL_TIMEOUT),
            started: Instant::now(),
        });
        server::start(&entry)?;
        entry.spawn("config", config_sync::run)?;
        entry.spawn("instances", config_sync::poll_instances)?;
        entry.spawn("peering", peering::run)?;
        let dispatching = entry.clone();
        entry
            .executor
            .spawn(move || request_dispatcher::run(dispatching));
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

    /// Runs a call to a peer in the background; drops it if too many are under way.
    pub fn spawn_call<F: Future<Output = ()> + 'static>(
        &self,
        call: impl FnOnce() -> F + Send + 'static,
    ) {
        let Ok(permit) = self.background_calls.clone().try_acquire_owned() else {
            log_event!(Event::CallDropped, id = self.settings.id);
            return;
        };
        self.executor.spawn(move || async move {
            call().await;
            drop(permit);
        });
    }

    /// Returns the monotonic time since this instance was created.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns whether the control loops should end.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.lifecycle.stopped.load(Ordering::Acquire)
    }

    /// Returns whether the shutdown has reached the point where new work is refused.
    #[must_use]
    pub fn is_refusing(&self) -> bool {
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

    /// Sleeps until the next control round is due; returns early if the instance stops.
    pub fn wait_for_next_round(&self) {
        let end = Instant::now() + self.settings.round_interval;
        let mut stop = self.lifecycle.stop_mutex.lock();
        while !self.is_stopped() && Instant::now() < end {
            self.lifecycle.stop_signal.wait_until(&mut stop, end);
        }
    }

    /// Shuts down gracefully.
    ///
    /// Readiness fails while requests are still served for the grace time. Then new requests are
    /// refused, requests in flight are completed, and the instance leaves the roster.
    pub fn shut_down(&self) {
        log_event!(Event::EntryDraining, id = self.settings.id);
        self.lifecycle.draining.store(true, Ordering::Release);
        sleep(self.settings.shutdown_grace);
        self.lifecycle.refusing.store(true, Ordering::Release);
        self.operations.freeze();
        while self.lifecycle.active_requests.load(Ordering::Acquire) > 0 {
            sleep(SHUTDOWN_POLL_INTERVAL);
        }
        roster::leave(self);
        self.stop_control_loops();
        log_event!(Event::EntryStopped, id = self.settings.id);
    }

    /// Ends the control loops without waiting for requests in flight.
    pub fn stop_control_loops(&self) {
        self.lifecycle.stopped.store(true, Ordering::Release);
        // While the lock is held no loop is between its check and its wait, so none can miss the
        // notification.
        drop(self.lifecycle.stop_mutex.lock());
        self.lifecycle.stop_signal.notify_all();
    }
}
