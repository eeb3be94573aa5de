//! Deterministic simulation of a cell in virtual time, with scripted faults.
//!
//! The workers, the machines and the store are models; each owner runs the real scheduler. The
//! simulation uses neither the system clock nor outside randomness, so a seed reproduces a run
//! exactly.

mod events;
mod faults;
pub mod gangs;
pub mod invariant_checker;
mod long_running;
mod machines;
mod runs;
mod transactions;
pub mod worker;

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;

use nutmegcart_jobs::AcceptedJob;
use nutmegcart_jobs::FinalState;
use nutmegcart_jobs::Flush;
use nutmegcart_jobs::FlushOutcome;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobRecord;
use nutmegcart_jobs::JobSettings;
use nutmegcart_jobs::JobState;
use nutmegcart_jobs::Machine;
use nutmegcart_jobs::MachineOrder;
use nutmegcart_jobs::MachineOutcome;
use nutmegcart_jobs::MachineState;
use nutmegcart_jobs::OrderOutcome;
use nutmegcart_jobs::Organisation;
use nutmegcart_jobs::PollRequest;
use nutmegcart_jobs::PollResponse;
use nutmegcart_jobs::PoolConfig;
use nutmegcart_jobs::Queue;
use nutmegcart_jobs::Scheduler;
use nutmegcart_jobs::TaskKey;
use nutmegcart_jobs::WorkerListing;
use nutmegcart_jobs::WorkerOrder;
use nutmegcart_jobs::record::decode_cell;
use nutmegcart_model::PoolName;
use nutmegcart_model::WorkerId;
use nutmegcart_platform::Revision;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::cell::invariant_checker::InvariantChecker;
pub use crate::cell::machines::MachineService;
use crate::cell::worker::FakeWorker;

/// One-way network latency between any two processes.
const LATENCY: Duration = Duration::from_millis(1);
/// Time after which the sender of a call that gets no response gives up.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed poll of a worker.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay until a store transaction takes effect, and until the platform answers a machine order.
const STORE_LATENCY: Duration = Duration::from_millis(4);
/// Time until a new owner has read the worker entries from service discovery.
const DISCOVERY_DELAY: Duration = Duration::from_millis(20);
/// Delay before a scheduler pass, so that one pass handles several events.
const PASS_DELAY: Duration = Duration::from_millis(3);
/// Time between two scheduler ticks of an owner.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Time between two reads of the machine list by an owner.
const MACHINE_LIST_PERIOD: Duration = Duration::from_millis(500);
/// Time from the end or restart of a worker's process until the list of machines shows it.
const MACHINE_LIST_LAG: Duration = Duration::from_millis(700);
/// Length of the lease that an owner holds on its key in the store.
pub const OWNER_LEASE: Duration = Duration::from_millis(2_500);
/// Unix time that corresponds to zero on the virtual clock, in milliseconds.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// A process that owns the cell or owned it earlier.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each one switches an independent property or fault"
)]
#[derive(Debug)]
pub struct Owner {
    /// Scheduler under test.
    pub scheduler: Scheduler,
    /// Fencing token: the store revision at which this owner took over.
    pub fence: u64,
    /// Virtual time of the last lease renewal.
    pub renewed_at: Duration,
    /// Whether its process is running; a fenced owner stops by itself.
    pub up: bool,
    /// Whether it is being released gracefully, and takes no further actions.
    pub released: bool,
    /// Whether it reaches the store.
    pub reaches_store: bool,
    /// Workers to which it has no connection.
    pub unreachable: BTreeSet<WorkerId>,
    /// Time by which its system clock is ahead, in milliseconds.
    pub clock_ahead: i64,
    /// Workers that this owner polls in a loop.
    polled: BTreeSet<WorkerId>,
    pass_scheduled: bool,
    /// End of a wait at which a pass runs.
    next_attempt: Option<Duration>,
    started_at: Duration,
}

/// Outcome of a poll.
#[derive(Clone, Debug)]
enum PollOutcome {
    Answered(PollResponse),
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another worker answers at the address.
    OtherIncarnation,
    Unanswered,
}

/// An event on the virtual timeline; a `usize` is the index of an owner in `owners`.
enum Event {
    Tick(usize),
    Pass(usize),
    /// Owner, and the end of a wait at which it runs a pass.
    Attempt(usize, Duration),
    /// Owner, worker, request and time of sending.
    PollArrives(usize, WorkerId, PollRequest, Duration),
    /// Owner, worker, time of sending, and outcome.
    PollAnswered(usize, WorkerId, Duration, PollOutcome),
    ImmediatePoll(usize, WorkerId, PollRequest, Duration),
    ImmediatePollAnswered(usize, WorkerId, Duration, PollResponse),
    /// Worker and sequence number of the waiting poll.
    PollWaitExpires(WorkerId, u64),
    /// Owner, worker, order, whether the owner gets the outcome, and incarnation of the worker.
    OrderArrives(usize, WorkerId, WorkerOrder, bool, u64),
    OrderAnswered(usize, WorkerId, WorkerOrder, OrderOutcome),
    FlushArrives(usize, Flush),
    FlushAnswered(usize, FlushOutcome),
    /// Worker, its incarnation, task and run number.
    RunEnds(WorkerId, u64, TaskKey, u32),
    /// Worker and its incarnation.
    LeaseExpires(WorkerId, u64),
    MachineOperationEnds(std::sync::Arc<str>),
    MachinesListed(usize),
    MachineAnswered(usize, std::sync::Arc<str>, MachineOrder, MachineOutcome),
    /// Owner, step, tickets with their validity, and time of sending.
    TicketsAnswered(
        usize,
        TaskKey,
        Vec<(WorkerId, std::sync::Arc<str>)>,
        Duration,
        Duration,
    ),
    Script(Box<dyn FnOnce(&mut CellSimulation)>),
}

struct Scheduled {
    at: Duration,
    /// Order of events with the same time.
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A poll that a worker holds until a run ends or the maximum wait has passed.
#[derive(Clone, Debug)]
struct WaitingPoll {
    owner: usize,
    sent: Duration,
    sequence: u64,
}

/// The keys of the store that a cell uses.
#[derive(Clone, Debug, Default)]
pub struct CellStore {
    /// Revision of the latest change.
    pub revision: Revision,
    /// Job records with the revision of their last change.
    pub jobs: BTreeMap<JobId, (JobRecord, Revision)>,
    /// Encoded [`CellRecord`] that an owner stored last.
    pub state: Option<Vec<u8>>,
    /// Fencing token of the current owner.
    pub owner: u64,
    /// Whether every transaction fails.
    pub down: bool,
    /// Size of the largest value that it accepts, in bytes.
    pub max_value: Option<usize>,
}

/// A simulated cell with its workers, machines, owners and store.
pub struct CellSimulation {
    /// Virtual time.
    pub now: Duration,
    /// Workers by identifier; a stopped one stays in the map.
    pub workers: BTreeMap<WorkerId, FakeWorker>,
    /// Machines by name, in the state that the platform reports.
    pub machines: BTreeMap<std::sync::Arc<str>, Machine>,
    /// Owners in the order in which they took over.
    pub owners: Vec<Owner>,
    /// Store that all owners share.
    pub store: CellStore,
    /// Checks every start of a run against the invariants.
    pub checker: InvariantChecker,
    /// Share of the worker orders that get no response, and that the worker carries out 2 to 12 s
    /// later.
    pub delayed_share: f64,
    /// Tasks whose runs always fail, those of long-running ones at once.
    pub failing_tasks: BTreeSet<TaskKey>,
    /// Number of members of gangs that ended because they waited too long for the others.
    pub alone: usize,
    /// Largest factor by which a run is shorter or longer than its step declares.
    pub duration_spread: f64,
    /// Queues with which a new owner is configured.
    pub queues: Vec<Queue>,
    /// Pools with which a new owner is configured.
    pub pools: Vec<(PoolName, PoolConfig)>,
    /// Organisations with which a new owner is configured.
    pub organisations: Vec<Organisation>,
    /// Number of this cell.
    pub cell: u32,
    /// Number of cells that share the limits of organisations.
    pub cells: u32,
    /// Workers at whose address another one has started, which rejects calls meant for them.
    pub reused_addresses: BTreeSet<WorkerId>,
    /// What the platform does with orders for machines.
    pub machine_service: MachineService,
    /// Whether the platform answers requests for the list of machines.
    pub lists_machines: bool,
    /// Workers that may run the steps of queues which require tickets.
    pub permitted: BTreeSet<WorkerId>,
    /// Time by which the system clock of each owner is ahead in milliseconds, in the order in
    /// which they take over and again from the first; none if all clocks are right.
    pub clocks_ahead: Vec<i64>,
    /// Number of requests for tickets.
    pub ticket_requests: usize,
    /// Settings of each owner's scheduler, and durations of machine operations.
    pub settings: JobSettings,
    /// Number of machine moves and maintenance operations started.
    pub operations_started: usize,
    /// Orders sent to the platform: the machine, the index of the owner, and the time of sending.
    pub machine_orders: Vec<(std::sync::Arc<str>, usize, Duration)>,
    /// Entries that new owners read although their workers have started again since.
    pub late_entries: BTreeMap<WorkerId, WorkerListing>,
    /// Workers with an entry in service discovery.
    entries: BTreeSet<WorkerId>,
    events: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
    waiting_polls: BTreeMap<WorkerId, WaitingPoll>,
    /// Waves and the machines that they have maintained.
    maintained: BTreeSet<(u64, std::sync::Arc<str>)>,
    rng: StdRng,
    /// Number of machine operations finished; makes identifiers of new workers unique.
    operations_finished: u64,
}

impl CellSimulation {
    /// Creates a cell without workers and owners; `seed` determines all random choices.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            now: Duration::from_secs(100),
            workers: BTreeMap::new(),
            machines: BTreeMap::new(),
            owners: Vec::new(),
            store: CellStore {
                revision: 1,
                ..CellStore::default()
            },
            checker: InvariantChecker::default(),
            delayed_share: 0.0,
            failing_tasks: BTreeSet::new(),
            alone: 0,
            duration_spread: 1.0,
            queues: Vec::new(),
            pools: Vec::new(),
            organisations: Vec::new(),
            cell: 0,
            cells: 1,
            reused_addresses: BTreeSet::new(),
            machine_service: MachineService::Answers,
            lists_machines: true,
            permitted: BTreeSet::new(),
            clocks_ahead: Vec::new(),
            ticket_requests: 0,
            settings: JobSettings::default(),
            operations_started: 0,
            machine_orders: Vec::new(),
            late_entries: BTreeMap::new(),
            entries: BTreeSet::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            waiting_polls: BTreeMap::new(),
            maintained: BTreeSet::new(),
            rng: StdRng::seed_from_u64(seed),
            operations_finished: 0,
        }
    }

    /// Returns the virtual time as Unix time in milliseconds.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        START_UNIX_MS + u64::try_from(self.now.as_millis()).unwrap_or_default()
    }

    /// Returns the Unix time in milliseconds according to the clock of an owner.
    fn owner_unix_ms(&self, index: usize) -> u64 {
        self.unix_ms()
            .saturating_add_signed(self.owners[index].clock_ahead)
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(Scheduled {
            at: self.now + after,
            sequence: self.sequence,
            event,
        }));
    }

    /// Schedules a closure to run after a delay.
    pub fn after(&mut self, delay: Duration, script: impl FnOnce(&mut Self) + 'static) {
        self.schedule(delay, Event::Script(Box::new(script)));
    }

    /// Processes all events of the given span and advances the clock to its end.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse(next)) = self.events.peek() {
            if next.at > end {
                break;
            }
            let Some(Reverse(next)) = self.events.pop() else {
                break;
            };
            self.now = self.now.max(next.at);
            self.handle(next.event);
        }
        self.now = end;
    }

    /// Adds a worker, and its machine if its listing names one.
    pub fn add_worker(&mut self, mut worker: FakeWorker) {
        let id = worker.listing.id.clone();
        worker.started_at = self.now;
        if let Some(name) = worker.listing.machine.clone() {
            self.machines.insert(
                name.clone(),
                Machine {
                    name,
                    pool: worker.listing.pool.clone(),
                    state: MachineState::Up,
                    worker: Some(id.clone()),
                    capacity: worker.listing.capacity,
                    labels: worker.listing.labels.clone(),
                },
            );
        }
        self.workers.insert(id.clone(), worker);
        self.list_worker(&id);
    }

    /// Publishes a worker's service discovery entry to all owners that reach the store.
    pub fn list_worker(&mut self, id: &WorkerId) {
        let Some(listing) = self.workers.get(id).map(|worker| worker.listing.clone()) else {
            return;
        };
        self.entries.insert(id.clone());
        self.late_entries.remove(id);
        for index in 0..self.owners.len() {
            if self.owners[index].up && self.owners[index].reaches_store {
                let now = self.now;
                self.owners[index]
                    .scheduler
                    .worker_listed(listing.clone(), now);
                self.start_polling(index, id);
                self.schedule_pass(index);
            }
        }
    }

    /// Removes a worker's service discovery entry for all owners that reach the store.
    pub fn unlist_worker(&mut self, id: &WorkerId) {
        self.entries.remove(id);
        for index in 0..self.owners.len() {
            if self.owners[index].up && self.owners[index].reaches_store {
                let now = self.now;
                self.owners[index].scheduler.worker_unlisted(id, now);
                self.schedule_pass(index);
            }
        }
    }

    /// Stores an accepted job and adds it to all owners that reach the store.
    pub fn submit(&mut self, id: &JobId, accepted: &AcceptedJob) {
        self.store.revision += 1;
        let revision = self.store.revision;
        let record = JobRecord::Accepted(Box::new(accepted.clone()));
        self.store.jobs.insert(id.clone(), (record, revision));
        self.checker.record_accepted(id);
        for index in 0..self.owners.len() {
            if self.owners[index].up && self.owners[index].reaches_store {
                let (unix, now) = (self.owner_unix_ms(index), self.now);
                let owner = &mut self.owners[index];
                let inherited =
                    u64::try_from(revision).is_ok_and(|revision| revision < owner.fence);
                owner
                    .scheduler
                    .add_job(id, accepted.clone(), revision, inherited, unix, now);
                self.schedule_pass(index);
            }
        }
    }

    /// Stores the cancellation of a job that has not ended, and notifies the owners.
    pub fn cancel(&mut self, id: &JobId) {
        let Some((JobRecord::Accepted(accepted), _)) = self.store.jobs.get(id) else {
            return;
        };
        let organisation = accepted.organisation.clone();
        self.store.revision += 1;
        let record = JobRecord::Ended {
            how: FinalState::Cancelled,
            at: self.unix_ms(),
            organisation,
        };
        self.store
            .jobs
            .insert(id.clone(), (record, self.store.revision));
        let now = self.now;
        self.checker.record_cancelled(id, now);
        for index in 0..self.owners.len() {
            if self.owners[index].up && self.owners[index].reaches_store {
                self.owners[index]
                    .scheduler
                    .record_final_state(id, FinalState::Cancelled, now);
                self.schedule_pass(index);
            }
        }
    }

    /// Returns the state of a job according to the store.
    #[must_use]
    pub fn stored_state(&self, id: &JobId) -> Option<JobState> {
        match self.store.jobs.get(id)?.0 {
            JobRecord::Accepted(_) => Some(JobState::Pending),
            JobRecord::Ended { how, .. } => Some(JobState::Ended(how)),
            JobRecord::Tombstone { .. } => None,
        }
    }

    /// Starts a new owner and returns its index; earlier owners keep running unless stopped.
    pub fn take_over(&mut self) -> usize {
        self.take_over_partitioned([])
    }

    /// Starts a new owner that cannot reach some workers, and returns its index.
    ///
    /// # Panics
    ///
    /// Panics if the state that an earlier owner stored cannot be decoded.
    pub fn take_over_partitioned(
        &mut self,
        unreachable: impl IntoIterator<Item = WorkerId>,
    ) -> usize {
        self.store.revision += 1;
        let fence = self.store.revision;
        self.store.owner = u64::try_from(fence).unwrap_or_default();
        let ahead = self.clocks_ahead.iter().cycle();
        let clock_ahead = ahead.copied().nth(self.owners.len()).unwrap_or_default();
        let unix = self.unix_ms().saturating_add_signed(clock_ahead);
        let mut scheduler = Scheduler::new(self.settings, fence, self.now);
        scheduler.configure(&self.queues, &self.pools);
        scheduler.set_cells(self.cell, self.cells);
        scheduler.set_organisations(&self.organisations);
        for (id, (record, revision)) in &self.store.jobs {
            match record {
                JobRecord::Accepted(accepted) => {
                    scheduler.add_job(id, (**accepted).clone(), *revision, true, unix, self.now);
                }
                JobRecord::Ended {
                    how, organisation, ..
                } => scheduler.record_stored_end(id, *how, organisation.clone(), self.now),
                JobRecord::Tombstone { organisation, .. } => {
                    scheduler.record_tombstone(id, organisation.clone(), self.now);
                }
            }
        }
        if let Some(state) = &self.store.state {
            let mut record = decode_cell(state).expect("the stored state decodes");
            let first = self.owners.first().map(|owner| owner.fence);
            let last = self.owners.last().map(|owner| owner.fence);
            let writers = first.zip(last).map(|(first, last)| first..=last);
            record.check_writer(writers.as_ref());
            scheduler.inherit(&record);
        }
        let known: Vec<WorkerId> = scheduler
            .workers()
            .map(|worker| worker.listing.id.clone())
            .collect();
        self.owners.push(Owner {
            scheduler,
            fence: self.store.owner,
            renewed_at: self.now,
            up: true,
            released: false,
            reaches_store: true,
            unreachable: unreachable.into_iter().collect(),
            clock_ahead,
            polled: BTreeSet::new(),
            pass_scheduled: false,
            next_attempt: None,
            started_at: self.now,
        });
        let index = self.owners.len() - 1;
        for id in known {
            self.start_polling(index, &id);
        }
        for id in self.entries.clone() {
            // A new owner reads service discovery after the keys of the cell.
            self.after(DISCOVERY_DELAY, move |cell| {
                if !cell.entries.contains(&id) {
                    return;
                }
                let late = cell.late_entries.get(&id).cloned();
                let listing = late.unwrap_or_else(|| cell.workers[&id].listing.clone());
                let now = cell.now;
                cell.owners[index].scheduler.worker_listed(listing, now);
                cell.start_polling(index, &id);
                cell.schedule_pass(index);
            });
        }
        self.schedule(TICK_PERIOD, Event::Tick(index));
        self.schedule(LATENCY, Event::MachinesListed(index));
        self.schedule_pass(index);
        index
    }

    fn start_polling(&mut self, index: usize, id: &WorkerId) {
        if self.owners[index].polled.insert(id.clone()) {
            self.poll(index, id);
        }
    }

    fn poll(&mut self, index: usize, id: &WorkerId) {
        let now = self.now;
        if !self.may_act(index) {
            self.owners[index].polled.remove(id);
            return;
        }
        let Some(request) = self.owners[index].scheduler.next_poll(id, now) else {
            self.owners[index].polled.remove(id);
            return;
        };
        if self.reaches(index, id) {
            self.schedule(LATENCY, Event::PollArrives(index, id.clone(), request, now));
            return;
        }
        let (delay, outcome) = if self.reaches_other(index, id) {
            (2 * LATENCY, PollOutcome::OtherIncarnation)
        } else {
            (CALL_TIMEOUT, PollOutcome::Unanswered)
        };
        self.schedule(delay, Event::PollAnswered(index, id.clone(), now, outcome));
    }

    /// Returns whether an owner has a connection to a running worker.
    fn reaches(&self, index: usize, id: &WorkerId) -> bool {
        !self.owners[index].unreachable.contains(id)
            && self.workers.get(id).is_some_and(|worker| worker.up)
    }

    /// Returns whether an owner has a connection to another worker that uses the address of this
    /// one.
    fn reaches_other(&self, index: usize, id: &WorkerId) -> bool {
        !self.owners[index].unreachable.contains(id) && self.reused_addresses.contains(id)
    }

    /// Returns whether an owner is running and its ownership is still valid.
    fn may_act(&self, index: usize) -> bool {
        let owner = &self.owners[index];
        owner.up && !owner.released && self.now < owner.renewed_at + self.settings.owner_validity
    }

    fn schedule_pass(&mut self, index: usize) {
        if !self.owners[index].pass_scheduled {
            self.owners[index].pass_scheduled = true;
            self.schedule(PASS_DELAY, Event::Pass(index));
        }
    }
}
