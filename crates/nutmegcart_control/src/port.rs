//! What the process needs from its platform, as plain structs around closures.
//!
//! An adapter fills them in; it translates names, formats and calls and decides nothing.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_jobs::Machine;
use nutmegcart_jobs::MachineOrder;
use nutmegcart_jobs::MachineOutcome;
use nutmegcart_jobs::OrderOutcome;
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

/// A future on this thread.
pub type LocalBoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Result of a call to the store.
pub type StoreResult<T> = Result<T, StoreError>;

/// A call without an argument.
pub type Call0<T> = Rc<dyn Fn() -> LocalBoxFuture<T>>;
/// A call with an argument.
pub type Call1<A, T> = Rc<dyn Fn(A) -> LocalBoxFuture<T>>;
/// A call with two arguments.
pub type Call2<A, B, T> = Rc<dyn Fn(A, B) -> LocalBoxFuture<T>>;
/// A call with three arguments.
pub type Call3<A, B, C, T> = Rc<dyn Fn(A, B, C) -> LocalBoxFuture<T>>;
/// Reads an entry of the store.
pub type Parser<T> = Rc<dyn Fn(&KeyValue) -> Result<T, String>>;

/// A change that a watch reports.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// The key was written.
    Put(KeyValue),
    /// The key was removed at the revision.
    Removed(String, Revision),
}

/// Keys with a prefix.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RangeReply {
    /// Keys in ascending order.
    pub items: Vec<KeyValue>,
    /// Revision of the store before the first page was read.
    pub revision: Revision,
}

/// Changes since a revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WatchReply {
    /// Changes in order.
    pub events: Vec<WatchEvent>,
    /// Revision to continue from.
    pub revision: Revision,
}

/// The platform's store.
#[derive(Clone)]
pub struct KeyStore {
    /// Reads one key.
    pub get: Call1<String, StoreResult<Option<KeyValue>>>,
    /// Reads all keys with a prefix.
    pub range: Call1<String, StoreResult<RangeReply>>,
    /// Waits for changes of keys with a prefix after a revision.
    pub watch: Call3<String, Revision, Duration, StoreResult<WatchReply>>,
    /// Runs a transaction of at most 32 conditions and writes.
    pub txn: Call1<Txn, StoreResult<TxnReply>>,
    /// Grants a lease.
    pub grant_lease: Call1<Duration, StoreResult<LeaseId>>,
    /// Renews a lease; false if it has ended.
    pub renew_lease: Call1<LeaseId, StoreResult<bool>>,
    /// Ends a lease.
    pub revoke_lease: Call1<LeaseId, StoreResult<()>>,
}

/// A life of a worker that a call is meant for.
#[derive(Clone, Debug)]
pub struct Target {
    /// Worker.
    pub worker: WorkerId,
    /// Address.
    pub address: SocketAddr,
    /// Fencing token of the sender.
    pub fence: u64,
}

/// Why a look has no report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LookError {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another life of a worker answers at the address.
    OtherIncarnation,
    /// The worker refused, or cannot be reached.
    Failed(String),
}

/// An order for a machine.
#[derive(Clone, Debug)]
pub struct MachineCommand {
    /// Holder of the right to give orders for the machine.
    pub holder: Arc<str>,
    /// Fencing token of the holder.
    pub fence: u64,
    /// Machine.
    pub machine: Arc<str>,
    /// What to do.
    pub order: MachineOrder,
}

/// Workers, machines and the service that permits workers.
#[derive(Clone)]
pub struct FleetClient {
    /// Renews a lease, acknowledges ends and asks for a report.
    pub look: Call2<Target, PollRequest, Result<PollResponse, LookError>>,
    /// Sends an order.
    pub send_order: Call2<Target, WorkerOrder, OrderOutcome>,
    /// Lists all machines.
    pub list_machines: Call0<Result<Vec<Machine>, String>>,
    /// Gives an order for a machine.
    pub command_machine: Call1<MachineCommand, MachineOutcome>,
    /// Asks which workers may run a step; returns their tickets and how long these hold.
    pub advise: Call2<TaskKey, Vec<WorkerId>, Result<WorkerTickets, String>>,
}

/// Tickets of the workers that may run a step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerTickets {
    /// Tickets by worker.
    pub tickets: Vec<(WorkerId, Arc<str>)>,
    /// Time for which they hold.
    pub valid_for: Duration,
}

/// Limits of callers' connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// A configuration that an operator accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformConfig {
    /// Version; higher ones replace lower ones.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Time in milliseconds for which a queue's callers wait, in the order of the queues.
    pub timeouts_ms: Vec<u64>,
    /// Pools.
    pub pools: Vec<(PoolName, PoolConfig)>,
    /// Limits of callers' connections.
    pub limits: CallerLimits,
}

/// What an operator writes.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRecord {
    /// The configuration in full.
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

/// Where the platform keeps what others write, and how it reads.
#[derive(Clone)]
pub struct Directory {
    /// Prefix of operators' records.
    pub operator_prefix: Arc<str>,
    /// Reads an operator's record.
    pub parse_record: Parser<OperatorRecord>,
    /// Prefix of the workers' entries.
    pub worker_prefix: Arc<str>,
    /// Reads a worker's entry.
    pub parse_listing: Parser<WorkerListing>,
    /// Returns the worker that a key names.
    pub worker_of: WorkerOfKey,
    /// Returns key and value of a wave's progress.
    pub wave_progress: EncodeProgress,
}

/// The platform as a whole.
#[derive(Clone)]
pub struct Platform {
    /// Store.
    pub store: KeyStore,
    /// Workers and machines.
    pub fleet: FleetClient,
    /// Keys of others.
    pub directory: Directory,
}
