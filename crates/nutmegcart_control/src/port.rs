//! Interfaces to the platform, as structs of closures.
//!
//! An adapter provides the closures. It translates names, formats and calls, and makes no
//! decisions.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_http::RequestLimits;
use nutmegcart_jobs::Machine;
use nutmegcart_jobs::MachineOrder;
use nutmegcart_jobs::MachineOutcome;
use nutmegcart_jobs::OrderOutcome;
use nutmegcart_jobs::Organisation;
use nutmegcart_jobs::PollRequest;
use nutmegcart_jobs::PollResponse;
use nutmegcart_jobs::PoolConfig;
use nutmegcart_jobs::Queue;
use nutmegcart_jobs::TaskKey;
use nutmegcart_jobs::WaveRequest;
use nutmegcart_jobs::WaveState;
use nutmegcart_jobs::WorkerListing;
use nutmegcart_jobs::WorkerOrder;
use nutmegcart_model::PoolName;
use nutmegcart_model::WorkerId;
use nutmegcart_platform::KeyValue;
use nutmegcart_platform::LeaseId;
use nutmegcart_platform::Revision;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;
use nutmegcart_platform::TxnReply;

use crate::api_keys::ApiKey;

/// A boxed future that stays on the current thread.
pub type LocalBoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Result of a call to the store.
pub type StoreResult<T> = Result<T, StoreError>;

/// An asynchronous call without arguments.
pub type Call0<T> = Rc<dyn Fn() -> LocalBoxFuture<T>>;
/// An asynchronous call with one argument.
pub type Call1<A, T> = Rc<dyn Fn(A) -> LocalBoxFuture<T>>;
/// An asynchronous call with two arguments.
pub type Call2<A, B, T> = Rc<dyn Fn(A, B) -> LocalBoxFuture<T>>;
/// An asynchronous call with three arguments.
pub type Call3<A, B, C, T> = Rc<dyn Fn(A, B, C) -> LocalBoxFuture<T>>;
/// Parses an entry of the store; the error says why the entry is invalid.
pub type Parser<T> = Rc<dyn Fn(&KeyValue) -> Result<T, String>>;

/// A change that a watch reports.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// The key was written.
    Put(KeyValue),
    /// The key was removed at the revision.
    Removed(String, Revision),
}

/// The entries with a prefix, possibly read in several pages.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RangeReply {
    /// Entries in ascending order of their keys.
    pub items: Vec<KeyValue>,
    /// Revision of the store before the first page was read.
    pub revision: Revision,
}

/// The changes that a watch returned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WatchReply {
    /// Changes in order of revisions; empty if none happened in time.
    pub events: Vec<WatchEvent>,
    /// Revision from which the next watch continues.
    pub revision: Revision,
}

/// Calls to the platform's key-value store.
#[derive(Clone)]
pub struct KeyStore {
    /// Reads one key.
    pub get: Call1<String, StoreResult<Option<KeyValue>>>,
    /// Reads all keys with a prefix.
    pub range: Call1<String, StoreResult<RangeReply>>,
    /// Waits for changes of keys with a prefix after a revision, at most for the duration.
    pub watch: Call3<String, Revision, Duration, StoreResult<WatchReply>>,
    /// Runs a transaction of at most 32 conditions and writes.
    pub txn: Call1<Txn, StoreResult<TxnReply>>,
    /// Grants a lease with the duration.
    pub grant_lease: Call1<Duration, StoreResult<LeaseId>>,
    /// Renews a lease; returns false if it has ended.
    pub renew_lease: Call1<LeaseId, StoreResult<bool>>,
    /// Ends a lease and deletes its keys.
    pub revoke_lease: Call1<LeaseId, StoreResult<()>>,
}

/// Receiver of a call to a worker, and the sender's fencing token.
#[derive(Clone, Debug)]
pub struct Target {
    /// Identifier of the worker that the call is meant for.
    pub worker: WorkerId,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Fencing token of the sender.
    pub fence: u64,
}

/// Why a worker returned no report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PollError {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another incarnation of a worker answers at the address.
    OtherIncarnation,
    /// The worker refused the call, or could not be reached; with the reason.
    Failed(String),
}

/// An order for a machine, with its sender.
#[derive(Clone, Debug)]
pub struct MachineOrderRequest {
    /// Name of the instance that owns the machine's cell and sends the order.
    pub holder: Arc<str>,
    /// Fencing token of that instance.
    pub fence: u64,
    /// Name of the machine.
    pub machine: Arc<str>,
    /// The order itself.
    pub order: MachineOrder,
}

/// Calls to workers, to the machine service and to the service that grants tickets.
#[derive(Clone)]
pub struct FleetClient {
    /// Renews the lease of a worker's runs, acknowledges ended runs and returns a report.
    pub poll: Call2<Target, PollRequest, Result<PollResponse, PollError>>,
    /// Sends an order to a worker.
    pub send_order: Call2<Target, WorkerOrder, OrderOutcome>,
    /// Lists all machines.
    pub list_machines: Call0<Result<Vec<Machine>, String>>,
    /// Sends an order for a machine to the machine service.
    pub send_machine_order: Call1<MachineOrderRequest, MachineOutcome>,
    /// Asks which of the workers may run a step, and returns their tickets.
    pub request_tickets: Call2<TaskKey, Vec<WorkerId>, Result<WorkerTickets, String>>,
}

/// Tickets of the workers that may run a step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerTickets {
    /// Workers with their tickets.
    pub tickets: Vec<(WorkerId, Arc<str>)>,
    /// Time for which the tickets are valid.
    pub valid_for: Duration,
}

/// Limits of callers' connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes.
    pub head_bytes: usize,
    /// Timeout for a request's head.
    pub head_timeout: Duration,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Longest time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl CallerLimits {
    /// Returns the limits that the servers apply to each request.
    #[must_use]
    pub fn of_requests(&self) -> RequestLimits {
        RequestLimits {
            head_bytes: self.head_bytes,
            head_timeout: self.head_timeout,
            idle_timeout: self.idle_timeout,
        }
    }
}

/// Settings of the callers of a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerSettings {
    /// Longest time in milliseconds for which a caller waits.
    pub timeout_ms: u64,
    /// Whether callers need no key, also if there are organisations.
    pub public: bool,
}

/// An organisation with the keys of its callers.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationConfig {
    /// Name, share and limit.
    pub organisation: Organisation,
    /// Keys that its callers present.
    pub keys: Vec<ApiKey>,
}

/// A configuration that an operator accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformConfig {
    /// Version; higher ones replace lower ones.
    pub version: u64,
    /// Queues that callers may submit jobs to.
    pub queues: Vec<Queue>,
    /// Settings of the queues' callers, in the order of `queues`.
    pub callers: Vec<CallerSettings>,
    /// Organisations that share the deployment; `None` if callers need no key.
    pub organisations: Option<Vec<OrganisationConfig>>,
    /// Pools by name.
    pub pools: Vec<(PoolName, PoolConfig)>,
    /// Limits of callers' connections.
    pub limits: CallerLimits,
}

/// A record that an operator wrote to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRecord {
    /// The complete configuration.
    Configuration(Box<PlatformConfig>),
    /// A wave of machine maintenance.
    Wave(WaveRequest),
}

/// Returns the worker that a key names.
pub type WorkerOfKey = Rc<dyn Fn(&str) -> Option<WorkerId>>;
/// A key with its value.
pub type Entry = (String, Vec<u8>);
/// Returns key and value of a wave's progress.
pub type EncodeProgress = Rc<dyn Fn(u64, WaveState) -> Entry>;

/// Names and formats of the store entries that operators and workers write or read.
#[derive(Clone)]
pub struct Directory {
    /// Key prefix of operators' records.
    pub operator_prefix: Arc<str>,
    /// Parses an operator's record.
    pub parse_record: Parser<OperatorRecord>,
    /// Key prefix of the workers' entries.
    pub worker_prefix: Arc<str>,
    /// Parses a worker's entry.
    pub parse_listing: Parser<WorkerListing>,
    /// Returns the worker that a key names.
    pub worker_of: WorkerOfKey,
    /// Returns key and value of a wave's progress.
    pub wave_progress: EncodeProgress,
}

/// All interfaces to the platform.
#[derive(Clone)]
pub struct Platform {
    /// Calls to the key-value store.
    pub store: KeyStore,
    /// Calls to workers and services.
    pub fleet: FleetClient,
    /// Names and formats of store entries.
    pub directory: Directory,
}
