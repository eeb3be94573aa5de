//! State shared by the tasks of one entry instance.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_http::ClientGuard;
use nutmegcart_http::HttpClient;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobSettings;
use nutmegcart_jobs::Scheduler;
use nutmegcart_jobs::WaveRequest;
use nutmegcart_jobs::layout::CellLayout;
use nutmegcart_jobs::record::STATE_FORMAT;
use nutmegcart_jobs::stalled::StallLog;
use nutmegcart_model::Code;
use nutmegcart_model::Event;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;
use nutmegcart_platform::LeaseId;
use nutmegcart_platform::Revision;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::clients;
use crate::clock::now;
use crate::keys::CellKeys;
use crate::limit_exchange::ExchangeState;
use crate::member::MemberRecord;
use crate::metrics::Metrics;
use crate::operator_records::StoredConfiguration;
use crate::organisations;
use crate::owner_history::OwnerHistory;
use crate::owner_log::OwnerLog;
use crate::port::Platform;
use crate::port::PlatformConfig;
use crate::routing::Routing;
use crate::store_probe::StoreHealth;
use crate::view_age::ViewTimes;

/// Result of a question that may be refused; the error is the code of the refusal.
pub type Result<T> = std::result::Result<T, Code>;

/// Time without an answer of the store after which the instance reports not ready, so that the
/// load balancer prefers instances that reach the store.
const READY_STORE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Ended ownerships of a cell that a process remembers; one takes at least a lease.
const MAX_ENDED_FENCES: usize = 16;

/// Settings of an entry instance, fixed while the process runs except for `reloadable`.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Processor time that the instance may use, in cores.
    pub cores: f64,
    /// Duration of the lease under which a cell is owned.
    pub lease: Duration,
    /// Initial values of the settings that may change while the process runs.
    pub reloadable: ReloadableSettings,
}

/// Settings that may change while the process runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReloadableSettings {
    /// Settings of the schedulers.
    pub jobs: JobSettings,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
}

/// Record of a cell's owner in the store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Incarnation of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Lease that the key is attached to.
    pub lease: i64,
}

/// Progress of the ownership of a cell, and state of the owner's tasks.
#[derive(Debug, Default)]
pub struct OwnershipState {
    /// Whether ownership has ended.
    pub ended: Cell<bool>,
    /// Whether all jobs of the cell have been read.
    pub loaded: Cell<bool>,
    /// Whether the owner is shutting down and sends no more orders.
    pub shutting_down: Cell<bool>,
    /// When the cell's keys were last read.
    pub view: Cell<ViewTimes>,
    /// Time at which ownership began.
    pub since: Cell<Duration>,
    /// Revision of the stored scheduler state; 0 if none is stored.
    pub record_revision: Cell<Revision>,
    /// Workers that are being polled.
    pub polled_workers: RefCell<HashSet<WorkerId>>,
    /// Stalled jobs that the log has told about.
    pub stall_log: RefCell<StallLog>,
    /// Semaphores that limit concurrent orders, by worker.
    pub order_slots: RefCell<HashMap<WorkerId, Rc<Semaphore>>>,
    /// Exchange of allocations with other cells.
    pub limits: ExchangeState,
}

/// An owner's key that was written.
#[derive(Clone, Debug)]
pub struct Acquired {
    /// Revision at which it was written, the fencing token.
    pub fence: Revision,
    /// Lease that it is attached to.
    pub lease: LeaseId,
    /// Time at which the lease was requested.
    pub sent: Duration,
    /// Log of the earlier owners that was written with it.
    pub log: OwnerLog,
}

/// State of a cell on an instance that may or may not own it.
#[derive(Debug)]
pub struct CellView {
    /// Number of the cell, from 0.
    pub number: u32,
    /// Names of the cell's keys in the store.
    pub keys: CellKeys,
    /// The ownership, if the owner has handed the cell to this instance and its tasks have not started
    /// yet.
    pub handoff: RefCell<Option<Acquired>>,
    /// Number of transactions under way that make this instance the owner.
    pub acquisitions: Cell<usize>,
    /// Ownership, while this instance is the owner.
    pub owned: RefCell<Option<Rc<OwnedCell>>>,
    /// Latest revision of the owner's key that a watch has reported.
    pub owner_revision: Cell<Revision>,
    /// Notified when the owner may have changed.
    pub owner_changed: Notify,
    /// Fencing tokens of the latest ownerships of this process that have ended.
    pub ended_fences: RefCell<VecDeque<u64>>,
}

impl CellView {
    /// Creates the view of a cell that this instance does not own.
    #[must_use]
    pub fn new(number: u32) -> Self {
        Self {
            number,
            keys: CellKeys::new(number),
            handoff: RefCell::new(None),
            acquisitions: Cell::new(0),
            owned: RefCell::new(None),
            owner_revision: Cell::new(0),
            owner_changed: Notify::new(),
            ended_fences: RefCell::default(),
        }
    }

    /// Counts an acquisition as under way until the result is dropped.
    #[must_use]
    pub fn begin_acquisition(self: &Rc<Self>) -> AcquisitionGuard {
        self.acquisitions.update(|count| count + 1);
        AcquisitionGuard(self.clone())
    }

    /// Returns whether an owner has handed the cell to this instance.
    #[must_use]
    pub fn has_handoff(&self) -> bool {
        self.handoff.borrow().is_some()
    }
}

/// Ends the count of an acquisition when dropped, also if the acquisition is cancelled.
#[derive(Debug)]
pub struct AcquisitionGuard(Rc<CellView>);

impl Drop for AcquisitionGuard {
    fn drop(&mut self) {
        self.0.acquisitions.update(|count| count.saturating_sub(1));
    }
}

/// The layout of the fleet and the state of each cell.
#[derive(Debug)]
pub struct Cells {
    /// Assignment of machines, workers and jobs to cells.
    pub layout: CellLayout,
    /// Cells by number.
    pub views: Vec<Rc<CellView>>,
}

impl Cells {
    /// Creates the cells of a layout; this instance owns none of them.
    #[must_use]
    pub fn new(layout: CellLayout) -> Self {
        let views = (0..layout.cells()).map(|number| Rc::new(CellView::new(number)));
        Self {
            views: views.collect(),
            layout,
        }
    }

    /// Returns the cell that a job's identifier determines.
    #[must_use]
    pub fn of_job(&self, id: &JobId) -> &Rc<CellView> {
        &self.views[self.layout.cell_of_job(id) as usize]
    }
}

/// A cell while this instance owns it.
#[derive(Debug)]
pub struct OwnedCell {
    /// State of the cell that does not depend on ownership.
    pub view: Rc<CellView>,
    /// Scheduler of the cell's jobs.
    pub scheduler: RefCell<Scheduler>,
    /// Fencing token: the revision at which the owner's key was written.
    pub fence: u64,
    /// Lease that the owner's key is attached to.
    pub lease: LeaseId,
    /// Time at which the latest successful renewal of the lease was sent.
    pub renewed_at: Cell<Duration>,
    /// Log of the earlier owners that was written with the owner's key.
    pub log: OwnerLog,
    /// Progress of ownership.
    pub state: OwnershipState,
    /// Notified when a placement pass is needed.
    pub pass_wanted: Notify,
    /// Notified when the writer may have something to store.
    pub write_wanted: Notify,
    /// Notified when ownership ends.
    pub ended: Notify,
}

impl OwnedCell {
    /// Ends ownership; further calls have no effect.
    pub fn end_ownership(&self, reason: &str) {
        if !self.state.ended.replace(true) {
            log_event!(
                Event::CellLost,
                cell = self.view.number,
                fence = self.fence,
                reason = reason
            );
            let mut fences = self.view.ended_fences.borrow_mut();
            fences.push_back(self.fence);
            if fences.len() > MAX_ENDED_FENCES {
                fences.pop_front();
            }
            self.pass_wanted.notify_waiters();
            self.write_wanted.notify_waiters();
            self.ended.notify_one();
        }
    }

    /// Returns whether the owner may send orders, given the time for which it may after a renewal
    /// of its lease.
    #[must_use]
    pub fn may_act(&self, owner_validity: Duration) -> bool {
        self.may_act_at(owner_validity, now())
    }

    /// Returns whether the owner may grant leases that are computed from the time `at`.
    #[must_use]
    pub fn may_act_at(&self, owner_validity: Duration, at: Duration) -> bool {
        !self.has_ended()
            && !self.state.shutting_down.get()
            && at < self.renewed_at.get() + owner_validity
    }

    /// Returns whether ownership has ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.state.ended.get()
    }
}

/// State of an entry instance.
pub struct Node {
    /// Settings at start.
    pub settings: NodeSettings,
    /// Calls to the platform.
    pub platform: Platform,
    /// HTTP client for peers.
    pub client: HttpClient,
    /// Account of what clients hold, over all listeners.
    pub clients: ClientGuard,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Cells, once their layout is known.
    pub cells: RefCell<Option<Rc<Cells>>>,
    /// Configuration in force, once one is known.
    pub configuration: RefCell<Option<Rc<PlatformConfig>>>,
    /// Entry of the configuration in force, for peers for which the store fails.
    pub stored_configuration: RefCell<Option<StoredConfiguration>>,
    /// Whether the latest read of operators' records failed.
    pub records_failing: Cell<bool>,
    /// When operators' records were last read.
    pub records_view: Cell<ViewTimes>,
    /// Whether requests are refused because the configuration is read late.
    config_late: Cell<bool>,
    /// Routes of the configuration in force.
    pub routing: RefCell<Rc<Routing>>,
    /// Waves requested by operators.
    pub waves: RefCell<Vec<WaveRequest>>,
    /// Owners by cell.
    pub owners: RefCell<HashMap<u32, OwnerRecord>>,
    /// Owners that the watch of the shared keys has reported.
    pub owner_history: RefCell<OwnerHistory>,
    /// Whether the owners have been read at least once.
    pub owners_known: Cell<bool>,
    /// Finished parts of waves, as pairs of wave and cell.
    pub finished_parts: RefCell<BTreeSet<(u64, u32)>>,
    /// Instances by name, this one included once its record is stored.
    pub members: RefCell<BTreeMap<Arc<str>, MemberRecord>>,
    /// Time since which calls to the store have been failing.
    pub failing_since: Cell<Option<Duration>>,
    /// Time of the latest answer of the store.
    pub last_answer: Rc<Cell<Option<Duration>>>,
    /// Whether the store answers, as reads tell while that is in doubt.
    pub store_health: StoreHealth,
    /// Set to true when servers must close their connections.
    pub stop_servers: watch::Sender<bool>,
    /// Whether the instance is shutting down and reports not ready.
    pub draining: Cell<bool>,
    /// Number of callers' requests in progress.
    pub active_requests: Cell<usize>,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// Current values of the settings that may change.
    pub reloadable: Cell<ReloadableSettings>,
}

impl Node {
    /// Creates the state of an instance that has not read anything yet.
    #[must_use]
    pub fn new(
        settings: NodeSettings,
        platform: Platform,
        metrics: Metrics,
        incarnation: u64,
    ) -> Rc<Self> {
        let reloadable = settings.reloadable;
        Rc::new(Self {
            settings,
            platform,
            client: HttpClient::default(),
            clients: ClientGuard::default(),
            incarnation,
            cells: RefCell::new(None),
            configuration: RefCell::new(None),
            stored_configuration: RefCell::new(None),
            records_failing: Cell::new(false),
            records_view: Cell::default(),
            config_late: Cell::new(false),
            routing: RefCell::new(Rc::default()),
            waves: RefCell::new(Vec::new()),
            owners: RefCell::default(),
            owner_history: RefCell::default(),
            owners_known: Cell::new(false),
            finished_parts: RefCell::default(),
            members: RefCell::default(),
            failing_since: Cell::new(None),
            last_answer: Rc::default(),
            store_health: StoreHealth::default(),
            stop_servers: watch::Sender::new(false),
            draining: Cell::new(false),
            active_requests: Cell::new(0),
            metrics,
            reloadable: Cell::new(reloadable),
        })
    }

    /// Records whether a call to the store was answered.
    pub fn record_store_call(&self, answered: bool) {
        if answered {
            self.last_answer.set(Some(now()));
            self.failing_since.set(None);
            self.store_health.record_answer();
            return;
        }
        self.store_health.suspect();
        if self.failing_since.get().is_none() {
            self.failing_since.set(Some(now()));
        }
    }

    /// Returns the cells, once their layout is known.
    #[must_use]
    pub fn cells(&self) -> Option<Rc<Cells>> {
        self.cells.borrow().clone()
    }

    /// Returns all cells; none while the layout is unknown.
    #[must_use]
    pub fn views(&self) -> Vec<Rc<CellView>> {
        self.cells()
            .map_or_else(Vec::new, |cells| cells.views.clone())
    }

    /// Returns the number of cells that this instance owns or is about to own.
    #[must_use]
    pub fn held_cells(&self) -> usize {
        let views = self.views();
        let held = views.iter().filter(|view| {
            view.acquisitions.get() > 0 || view.has_handoff() || view.owned.borrow().is_some()
        });
        held.count()
    }

    /// Returns the cells that this instance owns.
    #[must_use]
    pub fn owned_cells(&self) -> Vec<Rc<OwnedCell>> {
        let views = self.views();
        let owned = views.iter().filter_map(|view| view.owned.borrow().clone());
        owned.collect()
    }

    /// Sets the layout of the cells; later calls have no effect.
    pub fn set_layout(&self, layout: CellLayout) {
        if self.cells.borrow().is_none() {
            log_event!(Event::LayoutLoaded, cells = layout.cells());
            *self.cells.borrow_mut() = Some(Rc::new(Cells::new(layout)));
        }
    }

    /// Returns the owner of a cell, if one is known.
    #[must_use]
    pub fn owner(&self, cell: u32) -> Option<OwnerRecord> {
        self.owners.borrow().get(&cell).cloned()
    }

    /// Returns whether all instances read cell states of the form that this version writes. An
    /// earlier one may acquire any cell.
    #[must_use]
    pub fn members_read_state(&self) -> bool {
        let members = self.members.borrow();
        let mut formats = members.values().map(|member| member.state_format);
        !members.is_empty() && formats.all(|format| format >= STATE_FORMAT)
    }

    /// Returns the peers that may call the store on behalf of this instance, the owner of the cell
    /// first. The incarnation rotates the order of the others, so it differs between instances.
    #[must_use]
    pub fn helpers(&self, cell: u32) -> Vec<SocketAddr> {
        let owner = self
            .owner(cell)
            .filter(|owner| owner.incarnation != self.incarnation)
            .map(|owner| owner.peer);
        let members = self.members.borrow();
        let count = members.len().max(1);
        let offset = usize::try_from(self.incarnation).unwrap_or_default() % count;
        let others = members.values().cycle().skip(offset).take(members.len());
        let mut helpers: Vec<SocketAddr> = owner.into_iter().collect();
        for other in others {
            if !helpers.contains(&other.peer) && other.peer != self.settings.peer {
                helpers.push(other.peer);
            }
        }
        helpers
    }

    /// Returns whether the load balancer should send callers to this instance.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let reached = self
            .last_answer
            .get()
            .is_some_and(|answered| now() < answered + READY_STORE_TIMEOUT);
        let prepared = self.current_configuration(now()).is_ok() && self.cells.borrow().is_some();
        prepared && reached && !self.is_draining()
    }

    /// Returns whether the instance is shutting down.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Returns the owned cell if this instance owns it, has loaded all its jobs and may act.
    #[must_use]
    pub fn active_cell(&self, cell: &CellView) -> Option<Rc<OwnedCell>> {
        let owned = cell.owned.borrow().clone()?;
        let active = owned.state.loaded.get() && owned.may_act(self.owner_validity());
        active.then_some(owned)
    }

    /// Replaces the reloadable settings, also in the schedulers of owned cells.
    pub fn apply_settings(&self, settings: ReloadableSettings) {
        self.reloadable.set(settings);
        for owned in self.owned_cells() {
            owned.scheduler.borrow_mut().set_settings(settings.jobs);
        }
    }

    /// Returns the time for which an owner may act after a renewal of its lease.
    #[must_use]
    pub fn owner_validity(&self) -> Duration {
        self.reloadable.get().jobs.owner_validity
    }

    /// Returns the configuration by which requests are answered at `at`.
    ///
    /// # Errors
    ///
    /// Fails if there is none yet, or if the instance reads operators' records late although the store
    /// answers: it was paused, is short of processor time, or gets no complete answer with them.
    pub fn current_configuration(&self, at: Duration) -> Result<Rc<PlatformConfig>> {
        let configuration = self.configuration.borrow().clone();
        let configuration = configuration.ok_or(Code::NoConfiguration)?;
        let view = self.records_view.get();
        let late = view.read_at.is_some_and(|read| {
            let current = view.is_current(at);
            if self.config_late.replace(!current) == current {
                let age = at.saturating_sub(read).as_millis();
                log_event!(Event::ConfigViewAge, late = !current, age_ms = age);
            }
            !current
        });
        if late {
            return Err(Code::ConfigurationLate);
        }
        Ok(configuration)
    }

    /// Returns the version of the configuration in force.
    #[must_use]
    pub fn config_version(&self) -> Option<u64> {
        let configuration = self.configuration.borrow();
        configuration.as_ref().map(|each| each.version)
    }

    /// Puts a configuration into force, and returns true, unless the current one is as new or newer.
    pub fn configure(&self, mut configuration: PlatformConfig) -> bool {
        if self.config_version() >= Some(configuration.version) {
            return false;
        }
        let version = i64::try_from(configuration.version).unwrap_or(i64::MAX);
        self.metrics.config_version.set(version);
        log_event!(
            Event::OperatorConfigInForce,
            version = configuration.version,
            queues = configuration.queues.len()
        );
        clients::apply_limits(&self.clients, &configuration.limits);
        if let Some(organisations) = &mut configuration.organisations {
            for (name, fault) in organisations::check(organisations) {
                log_event!(
                    Event::OrganisationInvalid,
                    organisation = name,
                    reason = fault
                );
            }
        }
        *self.routing.borrow_mut() = Rc::new(Routing::new(&configuration));
        let configuration = Rc::new(configuration);
        for owned in self.owned_cells() {
            let mut scheduler = owned.scheduler.borrow_mut();
            configure_scheduler(&mut scheduler, &configuration);
            owned.pass_wanted.notify_one();
            owned.write_wanted.notify_one();
        }
        *self.configuration.borrow_mut() = Some(configuration);
        true
    }
}

/// Applies a configuration to the scheduler of an owned cell.
pub(crate) fn configure_scheduler(scheduler: &mut Scheduler, configuration: &PlatformConfig) {
    scheduler.configure(&configuration.queues, &configuration.pools);
    let organisations = configuration.organisations.iter().flatten();
    let organisations: Vec<_> = organisations
        .map(|each| each.organisation.clone())
        .collect();
    scheduler.set_organisations(&organisations);
}
