//! State that the tasks of one entry instance share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobSettings;
use nutmegcart_jobs::Scheduler;
use nutmegcart_jobs::WaveRequest;
use nutmegcart_jobs::layout::CellLayout;
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

use crate::clock::now;
use crate::http::HttpClient;
use crate::keys::CellKeys;
use crate::metrics::Metrics;
use crate::port::Platform;
use crate::port::PlatformConfig;
use crate::routing::Routing;

/// Time without an answer of the store after which an instance no longer reports ready; the
/// balancer then prefers instances that reach the store.
const READY_STORE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Settings of an entry instance.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Processor time that the instance may use, in cores.
    pub cores: f64,
    /// Length of the lease under which a cell is owned.
    pub lease: Duration,
    /// Times that may change while the process runs.
    pub reloadable: ReloadableSettings,
}

/// Times that may change while the process runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReloadableSettings {
    /// Times of schedulers.
    pub jobs: JobSettings,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
}

/// An instance as it announces itself.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Address for peers.
    pub peer: SocketAddr,
    /// Processor time that it may use, in cores.
    pub cores: f64,
}

/// The owner of a cell as the store names it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Life of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Lease that the key is attached to.
    pub lease: i64,
}

/// How far ownership has come.
#[derive(Debug, Default)]
pub struct OwnershipState {
    /// Whether ownership has ended.
    pub ended: Cell<bool>,
    /// Whether all jobs of the cell have been read.
    pub loaded: Cell<bool>,
    /// Whether the owner is shutting down and gives no more orders.
    pub shutting_down: Cell<bool>,
    /// When ownership began.
    pub since: Cell<Duration>,
    /// Revision of the stored state of the cell.
    pub record_revision: Cell<Revision>,
    /// Workers that are being looked at.
    pub polled_workers: RefCell<HashSet<WorkerId>>,
    /// Orders under way by worker.
    pub order_slots: RefCell<HashMap<WorkerId, Rc<Semaphore>>>,
}

/// A cell as an instance sees it.
#[derive(Debug)]
pub struct CellView {
    /// Number.
    pub number: u32,
    /// Keys.
    pub keys: CellKeys,
    /// Fencing token, lease and time of the cell if its owner handed it to this instance.
    pub handoff: Cell<Option<(Revision, LeaseId, Duration)>>,
    /// Scheduler while this instance is the owner.
    pub owned: RefCell<Option<Rc<OwnedCell>>>,
    /// Latest revision of the owner's key that shared keys have shown.
    pub owner_revision: Cell<Revision>,
    /// Wakes whoever waits for a change of the owner.
    pub owner_changed: Notify,
}

impl CellView {
    /// Creates the view of a cell that this instance does not own.
    #[must_use]
    pub fn new(number: u32) -> Self {
        Self {
            number,
            keys: CellKeys::new(number),
            handoff: Cell::new(None),
            owned: RefCell::new(None),
            owner_revision: Cell::new(0),
            owner_changed: Notify::new(),
        }
    }

    /// Returns whether an owner has handed the cell to this instance.
    #[must_use]
    pub fn has_handoff(&self) -> bool {
        self.handoff.get().is_some()
    }
}

/// The division of the fleet, with a view of each cell.
#[derive(Debug)]
pub struct Cells {
    /// Division.
    pub layout: CellLayout,
    /// Views by number.
    pub views: Vec<Rc<CellView>>,
}

impl Cells {
    /// Creates the views of all cells.
    #[must_use]
    pub fn new(layout: CellLayout) -> Self {
        let views = (0..layout.cells()).map(|number| Rc::new(CellView::new(number)));
        Self {
            views: views.collect(),
            layout,
        }
    }

    /// Returns the cell of a job.
    #[must_use]
    pub fn of_job(&self, id: &JobId) -> &Rc<CellView> {
        &self.views[self.layout.cell_of_job(id) as usize]
    }
}

/// The scheduler while this instance owns a cell.
#[derive(Debug)]
pub struct OwnedCell {
    /// Cell.
    pub view: Rc<CellView>,
    /// Scheduler.
    pub scheduler: RefCell<Scheduler>,
    /// Fencing token.
    pub fence: u64,
    /// Lease that the owner's key is attached to.
    pub lease: LeaseId,
    /// When the lease was last renewed, by the time the call was sent.
    pub renewed_at: Cell<Duration>,
    /// How far ownership has come.
    pub state: OwnershipState,
    /// Wakes the placement pass.
    pub pass_wanted: Notify,
    /// Wakes the writer.
    pub write_wanted: Notify,
    /// Wakes whoever waits for the end of ownership.
    pub ended: Notify,
}

impl OwnedCell {
    /// Ends ownership.
    pub fn end_ownership(&self, reason: &str) {
        if !self.state.ended.replace(true) {
            log_event!(
                Event::CellLost,
                cell = self.view.number,
                fence = self.fence,
                reason = reason
            );
            self.pass_wanted.notify_waiters();
            self.write_wanted.notify_waiters();
            self.ended.notify_one();
        }
    }

    /// Returns whether orders may be given.
    #[must_use]
    pub fn may_act(&self, authority: Duration) -> bool {
        !self.has_ended()
            && !self.state.shutting_down.get()
            && now() < self.renewed_at.get() + authority
    }

    /// Returns whether ownership has ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.state.ended.get()
    }
}

/// State of an entry instance.
pub struct Node {
    /// Settings.
    pub settings: NodeSettings,
    /// Platform.
    pub platform: Platform,
    /// Client for peers.
    pub client: HttpClient,
    /// Life of this process.
    pub incarnation: u64,
    /// Cells, once their layout is known.
    pub cells: RefCell<Option<Rc<Cells>>>,
    /// Configuration in force.
    pub configuration: RefCell<Option<Rc<PlatformConfig>>>,
    /// Routes of the configuration in force.
    pub routing: RefCell<Rc<Routing>>,
    /// Waves that operators asked for.
    pub waves: RefCell<Vec<WaveRequest>>,
    /// Owners of cells.
    pub owners: RefCell<HashMap<u32, OwnerRecord>>,
    /// Whether the owners were read at least once.
    pub owners_known: Cell<bool>,
    /// Parts of waves that cells have finished, by wave and cell.
    pub finished_parts: RefCell<BTreeSet<(u64, u32)>>,
    /// The other instances, this one included once it has announced itself.
    pub members: RefCell<BTreeMap<Arc<str>, MemberRecord>>,
    /// Since when calls to the store fail, if they do.
    pub failing_since: Cell<Option<Duration>>,
    /// When the store last answered.
    pub last_answer: Cell<Option<Duration>>,
    /// Turns true when the instance shuts down.
    pub stop_servers: watch::Sender<bool>,
    /// Whether the instance reports not ready because it will stop.
    pub draining: Cell<bool>,
    /// Requests of callers in flight.
    pub active_requests: Cell<usize>,
    /// Metrics.
    pub metrics: Metrics,
    /// Times that a change of the settings replaces.
    pub reloadable: Cell<ReloadableSettings>,
}

impl Node {
    /// Creates the state of an instance that knows nothing yet.
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
            incarnation,
            cells: RefCell::new(None),
            configuration: RefCell::new(None),
            routing: RefCell::new(Rc::default()),
            waves: RefCell::new(Vec::new()),
            owners: RefCell::default(),
            owners_known: Cell::new(false),
            finished_parts: RefCell::default(),
            members: RefCell::default(),
            failing_since: Cell::new(None),
            last_answer: Cell::new(None),
            stop_servers: watch::Sender::new(false),
            draining: Cell::new(false),
            active_requests: Cell::new(0),
            metrics,
            reloadable: Cell::new(reloadable),
        })
    }

    /// Notes whether a call to the store was answered.
    pub fn record_store_call(&self, answered: bool) {
        if answered {
            self.last_answer.set(Some(now()));
            self.failing_since.set(None);
        } else if self.failing_since.get().is_none() {
            self.failing_since.set(Some(now()));
        }
    }

    /// Returns the cells, once their layout is known.
    #[must_use]
    pub fn cells(&self) -> Option<Rc<Cells>> {
        self.cells.borrow().clone()
    }

    /// Returns the views of all cells, none while the layout is not known.
    #[must_use]
    pub fn views(&self) -> Vec<Rc<CellView>> {
        self.cells()
            .map_or_else(Vec::new, |cells| cells.views.clone())
    }

    /// Returns the cells that this instance owns.
    #[must_use]
    pub fn owned_cells(&self) -> Vec<Rc<OwnedCell>> {
        let views = self.views();
        let owned = views.iter().filter_map(|view| view.owned.borrow().clone());
        owned.collect()
    }

    /// Takes in the layout of the cells; later ones change nothing.
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

    /// Returns peers to ask for help with a cell, its owner first.
    #[must_use]
    pub fn helpers(&self, cell: u32) -> Vec<SocketAddr> {
        let owner = self
            .owner(cell)
            .filter(|owner| owner.incarnation != self.incarnation)
            .map(|owner| owner.peer);
        let members = self.members.borrow();
        let count = members.len().max(1);
        let turn = usize::try_from(self.incarnation).unwrap_or_default() % count;
        let others = members.values().cycle().skip(turn).take(members.len());
        let mut helpers: Vec<SocketAddr> = owner.into_iter().collect();
        for other in others {
            if !helpers.contains(&other.peer) && other.peer != self.settings.peer {
                helpers.push(other.peer);
            }
        }
        helpers
    }

    /// Returns whether the balancer should send callers here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let reached = self
            .last_answer
            .get()
            .is_some_and(|answered| now() < answered + READY_STORE_TIMEOUT);
        let prepared = self.configuration.borrow().is_some() && self.cells.borrow().is_some();
        prepared && reached && !self.is_draining()
    }

    /// Returns whether the instance is shutting down.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Returns the scheduler of a cell if this instance owns it and knows all its jobs.
    #[must_use]
    pub fn owned(&self, cell: &CellView) -> Option<Rc<OwnedCell>> {
        let owned = cell.owned.borrow().clone()?;
        let active = owned.state.loaded.get() && owned.may_act(self.authority());
        active.then_some(owned)
    }

    /// Replaces the times, also those of the cells that this instance owns.
    pub fn reload(&self, settings: ReloadableSettings) {
        self.reloadable.set(settings);
        for owned in self.owned_cells() {
            owned.scheduler.borrow_mut().set_settings(settings.jobs);
        }
    }

    /// Returns the time for which an owner may act after it renewed its lease.
    #[must_use]
    pub fn authority(&self) -> Duration {
        self.reloadable.get().jobs.owner_validity
    }

    /// Puts a configuration in force unless a newer one is.
    pub fn configure(&self, configuration: PlatformConfig) {
        let newer = {
            let current = self.configuration.borrow();
            current
                .as_ref()
                .is_none_or(|current| current.version < configuration.version)
        };
        if !newer {
            return;
        }
        log_event!(
            Event::OperatorConfigInForce,
            version = configuration.version,
            queues = configuration.queues.len()
        );
        *self.routing.borrow_mut() = Rc::new(Routing::new(&configuration));
        let configuration = Rc::new(configuration);
        for owned in self.owned_cells() {
            let mut scheduler = owned.scheduler.borrow_mut();
            scheduler.configure(&configuration.queues, &configuration.pools);
            owned.pass_wanted.notify_one();
        }
        *self.configuration.borrow_mut() = Some(configuration);
    }
}
