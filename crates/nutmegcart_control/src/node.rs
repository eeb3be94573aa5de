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
use crate::http::Client;
use crate::keys::CellKeys;
use crate::metrics::Metrics;
use crate::port::Configuration;
use crate::port::Platform;
use crate::routing::Routing;

/// Time without an answer of the store after which an instance no longer reports ready; the
/// balancer then prefers instances that reach the store.
const STORE_SILENCE: Duration = Duration::from_millis(2_500);

/// Settings of an entry instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Processor time that the instance may use, in cores.
    pub cores: f64,
    /// Length of the lease under which a cell is owned.
    pub lease: Duration,
    /// Times that may change while the process runs.
    pub times: Times,
}

/// Times that may change while the process runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Times {
    /// Times of schedulers.
    pub jobs: JobSettings,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
}

/// An instance as it announces itself.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
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
    pub life: u64,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Lease that the key is attached to.
    pub lease: i64,
}

/// How far ownership has come.
#[derive(Debug, Default)]
pub struct OwnedState {
    /// Whether ownership has ended.
    pub over: Cell<bool>,
    /// Whether all jobs of the cell have been read.
    pub loaded: Cell<bool>,
    /// Whether the owner is shutting down and gives no more orders.
    pub leaving: Cell<bool>,
    /// When ownership began.
    pub since: Cell<Duration>,
    /// Revision of the stored state of the cell.
    pub written: Cell<Revision>,
    /// Workers that are being looked at.
    pub watched: RefCell<HashSet<WorkerId>>,
    /// Orders under way by worker.
    pub links: RefCell<HashMap<WorkerId, Rc<Semaphore>>>,
}

/// A cell as an instance sees it.
#[derive(Debug)]
pub struct CellView {
    /// Number.
    pub number: u32,
    /// Keys.
    pub keys: CellKeys,
    /// Fencing token, lease and time of the cell if its owner handed it to this instance.
    pub handed: Cell<Option<(Revision, LeaseId, Duration)>>,
    /// Scheduler while this instance is the owner.
    pub owned: RefCell<Option<Rc<Owned>>>,
    /// Latest revision of the owner's key that shared keys have shown.
    pub seen: Cell<Revision>,
    /// Wakes whoever waits for a change of the owner.
    pub changed: Notify,
}

impl CellView {
    /// Creates the view of a cell that this instance does not own.
    #[must_use]
    pub fn new(number: u32) -> Self {
        Self {
            number,
            keys: CellKeys::new(number),
            handed: Cell::new(None),
            owned: RefCell::new(None),
            seen: Cell::new(0),
            changed: Notify::new(),
        }
    }

    /// Returns whether an owner has handed the cell to this instance.
    #[must_use]
    pub fn is_handed(&self) -> bool {
        self.handed.get().is_some()
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
pub struct Owned {
    /// Cell.
    pub cell: Rc<CellView>,
    /// Scheduler.
    pub scheduler: RefCell<Scheduler>,
    /// Fencing token.
    pub fence: u64,
    /// Lease that the owner's key is attached to.
    pub lease: LeaseId,
    /// When the lease was last renewed, by the time the call was sent.
    pub renewed: Cell<Duration>,
    /// How far ownership has come.
    pub state: OwnedState,
    /// Wakes the placement pass.
    pub wake: Notify,
    /// Wakes the writer.
    pub store: Notify,
    /// Wakes whoever waits for the end of ownership.
    pub ended: Notify,
}

impl Owned {
    /// Ends ownership.
    pub fn give_up(&self, reason: &str) {
        if !self.state.over.replace(true) {
            log_event!(
                Event::CellLost,
                cell = self.cell.number,
                fence = self.fence,
                reason = reason
            );
            self.wake.notify_waiters();
            self.store.notify_waiters();
            self.ended.notify_one();
        }
    }

    /// Returns whether orders may be given.
    #[must_use]
    pub fn may_act(&self, authority: Duration) -> bool {
        !self.is_over() && !self.state.leaving.get() && now() < self.renewed.get() + authority
    }

    /// Returns whether ownership has ended.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.state.over.get()
    }
}

/// State of an entry instance.
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// Platform.
    pub platform: Platform,
    /// Client for peers.
    pub client: Client,
    /// Life of this process.
    pub life: u64,
    /// Cells, once their layout is known.
    pub cells: RefCell<Option<Rc<Cells>>>,
    /// Configuration in force.
    pub configuration: RefCell<Option<Rc<Configuration>>>,
    /// Routes of the configuration in force.
    pub routing: RefCell<Rc<Routing>>,
    /// Waves that operators asked for.
    pub waves: RefCell<Vec<WaveRequest>>,
    /// Owners of cells.
    pub owners: RefCell<HashMap<u32, OwnerRecord>>,
    /// Whether the owners were read at least once.
    pub owners_known: Cell<bool>,
    /// Parts of waves that cells have finished, by wave and cell.
    pub parts: RefCell<BTreeSet<(u64, u32)>>,
    /// The other instances, this one included once it has announced itself.
    pub members: RefCell<BTreeMap<Arc<str>, Member>>,
    /// Since when calls to the store fail, if they do.
    pub trouble: Cell<Option<Duration>>,
    /// When the store last answered.
    pub heard: Cell<Option<Duration>>,
    /// Turns true when the instance shuts down.
    pub stopping: watch::Sender<bool>,
    /// Whether the instance reports not ready because it will stop.
    pub refusing: Cell<bool>,
    /// Requests of callers in flight.
    pub active: Cell<usize>,
    /// Metrics.
    pub metrics: Metrics,
    /// Times that a change of the settings replaces.
    pub times: Cell<Times>,
}

impl Node {
    /// Creates the state of an instance that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, platform: Platform, metrics: Metrics, life: u64) -> Rc<Self> {
        let times = settings.times;
        Rc::new(Self {
            settings,
            platform,
            client: Client::default(),
            life,
            cells: RefCell::new(None),
            configuration: RefCell::new(None),
            routing: RefCell::new(Rc::default()),
            waves: RefCell::new(Vec::new()),
            owners: RefCell::default(),
            owners_known: Cell::new(false),
            parts: RefCell::default(),
            members: RefCell::default(),
            trouble: Cell::new(None),
            heard: Cell::new(None),
            stopping: watch::Sender::new(false),
            refusing: Cell::new(false),
            active: Cell::new(0),
            metrics,
            times: Cell::new(times),
        })
    }

    /// Notes whether a call to the store was answered.
    pub fn note_store(&self, answered: bool) {
        if answered {
            self.heard.set(Some(now()));
            self.trouble.set(None);
        } else if self.trouble.get().is_none() {
            self.trouble.set(Some(now()));
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
    pub fn owned_cells(&self) -> Vec<Rc<Owned>> {
        let views = self.views();
        let owned = views.iter().filter_map(|view| view.owned.borrow().clone());
        owned.collect()
    }

    /// Takes in the layout of the cells; later ones change nothing.
    pub fn see_layout(&self, layout: CellLayout) {
        if self.cells.borrow().is_none() {
            log_event!(Event::LayoutSeen, cells = layout.cells());
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
            .filter(|owner| owner.life != self.life)
            .map(|owner| owner.peer);
        let members = self.members.borrow();
        let count = members.len().max(1);
        let turn = usize::try_from(self.life).unwrap_or_default() % count;
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
            .heard
            .get()
            .is_some_and(|heard| now() < heard + STORE_SILENCE);
        let prepared = self.configuration.borrow().is_some() && self.cells.borrow().is_some();
        prepared && reached && !self.is_stopping()
    }

    /// Returns whether the instance is shutting down.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.refusing.get()
    }

    /// Returns the scheduler of a cell if this instance owns it and knows all its jobs.
    #[must_use]
    pub fn owned(&self, cell: &CellView) -> Option<Rc<Owned>> {
        let owned = cell.owned.borrow().clone()?;
        let active = owned.state.loaded.get() && owned.may_act(self.authority());
        active.then_some(owned)
    }

    /// Replaces the times, also those of the cells that this instance owns.
    pub fn set_times(&self, times: Times) {
        self.times.set(times);
        for owned in self.owned_cells() {
            owned.scheduler.borrow_mut().set_settings(times.jobs);
        }
    }

    /// Returns the time for which an owner may act after it renewed its lease.
    #[must_use]
    pub fn authority(&self) -> Duration {
        self.times.get().jobs.owner_validity
    }

    /// Puts a configuration in force unless a newer one is.
    pub fn configure(&self, configuration: Configuration) {
        let newer = {
            let present = self.configuration.borrow();
            present
                .as_ref()
                .is_none_or(|present| present.version < configuration.version)
        };
        if !newer {
            return;
        }
        log_event!(
            Event::PlatformConfig,
            version = configuration.version,
            queues = configuration.queues.len()
        );
        *self.routing.borrow_mut() = Rc::new(Routing::new(&configuration));
        let configuration = Rc::new(configuration);
        for owned in self.owned_cells() {
            let mut scheduler = owned.scheduler.borrow_mut();
            scheduler.configure(&configuration.queues, &configuration.pools);
            owned.wake.notify_one();
        }
        *self.configuration.borrow_mut() = Some(configuration);
    }
}
