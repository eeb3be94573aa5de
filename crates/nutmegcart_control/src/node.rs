//! State that the tasks of one entry instance share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_jobs::JobId;
use nutmegcart_jobs::Scheduler;
use nutmegcart_jobs::Settings as JobSettings;
use nutmegcart_jobs::WaveRequest;
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
use crate::metrics::Metrics;
use crate::port::Configuration;
use crate::port::Platform;
use crate::routing::Routing;

/// Prefix of every key of this program.
const PREFIX: &str = "nutmegcart/";
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
    /// Times of the scheduler.
    pub jobs: JobSettings,
    /// Length of the lease under which a cell is owned.
    pub lease: Duration,
    /// Time that orders for machines of two owners are apart at least.
    pub handover: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
}

/// The owner of the cell as the store names it.
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

/// Keys of a cell.
#[derive(Clone, Debug)]
pub struct CellKeys {
    /// Prefix of the cell.
    pub prefix: String,
}

impl CellKeys {
    /// Returns the keys of a cell.
    ///
    /// ```
    /// # use nutmegcart_control::node::CellKeys;
    /// assert_eq!(CellKeys::new(0).owner(), "nutmegcart/cell/0/instance/owner");
    /// ```
    #[must_use]
    pub fn new(cell: u32) -> Self {
        Self {
            prefix: format!("{PREFIX}cell/{cell}/"),
        }
    }

    /// Prefix of the keys about entry instances.
    #[must_use]
    pub fn instances(&self) -> String {
        format!("{}instance/", self.prefix)
    }

    /// Key of the owner.
    #[must_use]
    pub fn owner(&self) -> String {
        format!("{}owner", self.instances())
    }

    /// Key under which an instance tells its address.
    #[must_use]
    pub fn member(&self, name: &str) -> String {
        format!("{}at/{name}", self.instances())
    }

    /// Returns the instance that a key names.
    #[must_use]
    pub fn member_of<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(&self.instances())?.strip_prefix("at/")
    }

    /// Key of the state that outlives an owner.
    #[must_use]
    pub fn state(&self) -> String {
        format!("{}state", self.prefix)
    }

    /// Key of a job.
    #[must_use]
    pub fn job(&self, id: &JobId) -> String {
        format!("{}job/{id}", self.prefix)
    }

    /// Returns the job that a key names.
    #[must_use]
    pub fn job_of(&self, key: &str) -> Option<JobId> {
        let id = key.strip_prefix(&self.prefix)?.strip_prefix("job/")?;
        JobId::parse(id).ok()
    }
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

/// The scheduler while this instance owns the cell.
#[derive(Debug)]
pub struct Owned {
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
            log_event!(Event::CellLost, fence = self.fence, reason = reason);
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
    /// Keys of the cell.
    pub keys: CellKeys,
    /// Configuration in force.
    pub configuration: RefCell<Option<Rc<Configuration>>>,
    /// Routes of the configuration in force.
    pub routing: RefCell<Rc<Routing>>,
    /// Waves that operators asked for.
    pub waves: RefCell<Vec<WaveRequest>>,
    /// Owner of the cell.
    pub owner: RefCell<Option<OwnerRecord>>,
    /// Whether the owner's key was read at least once.
    pub owner_known: Cell<bool>,
    /// Fencing token, lease and time of a cell that its owner handed to this instance.
    pub handed: Cell<Option<(Revision, LeaseId, Duration)>>,
    /// Scheduler while this instance is the owner.
    pub owned: RefCell<Option<Rc<Owned>>>,
    /// Addresses of the other instances.
    pub members: RefCell<BTreeMap<Arc<str>, SocketAddr>>,
    /// Since when calls to the store fail, if they do.
    pub trouble: Cell<Option<Duration>>,
    /// Wakes whoever waits for a change of the owner.
    pub owner_changed: Notify,
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
}

impl Node {
    /// Creates the state of an instance that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, platform: Platform, metrics: Metrics, life: u64) -> Rc<Self> {
        Rc::new(Self {
            settings,
            platform,
            client: Client::default(),
            life,
            keys: CellKeys::new(0),
            configuration: RefCell::new(None),
            routing: RefCell::new(Rc::default()),
            waves: RefCell::new(Vec::new()),
            owner: RefCell::new(None),
            owner_known: Cell::new(false),
            handed: Cell::new(None),
            owned: RefCell::new(None),
            members: RefCell::default(),
            trouble: Cell::new(None),
            owner_changed: Notify::new(),
            heard: Cell::new(None),
            stopping: watch::Sender::new(false),
            refusing: Cell::new(false),
            active: Cell::new(0),
            metrics,
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

    /// Returns peers to ask for help, the owner first.
    #[must_use]
    pub fn helpers(&self) -> Vec<SocketAddr> {
        let owner = self
            .owner
            .borrow()
            .as_ref()
            .filter(|owner| owner.life != self.life)
            .map(|owner| owner.peer);
        let members = self.members.borrow();
        let count = members.len().max(1);
        let turn = usize::try_from(self.life).unwrap_or_default() % count;
        let others = members.values().cycle().skip(turn).take(members.len());
        let mut helpers: Vec<SocketAddr> = owner.into_iter().collect();
        for other in others {
            if !helpers.contains(other) && *other != self.settings.peer {
                helpers.push(*other);
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
        self.configuration.borrow().is_some() && reached && !self.is_stopping()
    }

    /// Returns whether an owner has handed its cell to this instance.
    #[must_use]
    pub fn is_handed(&self) -> bool {
        let handed = self.handed.take();
        self.handed.set(handed);
        handed.is_some()
    }

    /// Returns whether the instance is shutting down.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.refusing.get()
    }

    /// Returns the scheduler if this instance owns the cell and knows all its jobs.
    #[must_use]
    pub fn owned(&self) -> Option<Rc<Owned>> {
        let owned = self.owned.borrow().clone()?;
        let active = owned.state.loaded.get() && owned.may_act(self.settings.jobs.authority);
        active.then_some(owned)
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
        if let Some(owned) = self.owned.borrow().as_ref() {
            let mut scheduler = owned.scheduler.borrow_mut();
            scheduler.configure(&configuration.queues, &configuration.pools);
            owned.wake.notify_one();
        }
        *self.configuration.borrow_mut() = Some(configuration);
    }
}
