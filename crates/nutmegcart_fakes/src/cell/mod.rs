//! A cell in virtual time: workers, the part of the store that the cell uses, and owners that
//! drive the real scheduler, with faults that a test scripts.
//!
//! Nothing here waits or draws from outside, so a run with the same seed repeats exactly.

mod events;
pub mod invariant_checker;
pub mod worker;

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;

use nutmegcart_jobs::AcceptedJob;
use nutmegcart_jobs::CellRecord;
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
use nutmegcart_jobs::PollRequest;
use nutmegcart_jobs::PollResponse;
use nutmegcart_jobs::PoolConfig;
use nutmegcart_jobs::Queue;
use nutmegcart_jobs::Scheduler;
use nutmegcart_jobs::TaskKey;
use nutmegcart_jobs::WorkerOrder;
use nutmegcart_jobs::record::decode;
use nutmegcart_model::PoolName;
use nutmegcart_model::WorkerId;
use nutmegcart_platform::Revision;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::cell::invariant_checker::InvariantChecker;
use crate::cell::worker::FakeWorker;

/// One way between any two processes.
const LATENCY: Duration = Duration::from_millis(1);
/// Time after which an unanswered call is given up.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Time that a transaction of the store takes.
const STORE: Duration = Duration::from_millis(4);
/// Time until a new owner has read service discovery.
const DISCOVERY: Duration = Duration::from_millis(20);
/// Pause in which events collect before a pass.
const PASS: Duration = Duration::from_millis(3);
/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);
/// Time between two lists of machines.
const LIST: Duration = Duration::from_millis(500);
/// Length of an owner's lease.
pub const OWNER_LEASE: Duration = Duration::from_millis(2_500);
/// Time of day at the start, in milliseconds since 1970.
const EPOCH: u64 = 1_700_000_000_000;

/// An owner of the cell, present or past.
#[derive(Debug)]
pub struct Owner {
    /// Scheduler.
    pub scheduler: Scheduler,
    /// Fencing token.
    pub fence: u64,
    /// When its lease was last renewed.
    pub renewed_at: Duration,
    /// Whether its process runs.
    pub up: bool,
    /// Whether it reaches the store.
    pub reaches_store: bool,
    /// Workers that it does not reach.
    pub unreachable: BTreeSet<WorkerId>,
    looked: BTreeSet<WorkerId>,
    pass: bool,
    started_at: Duration,
}

/// What happens at a time.
enum Event {
    Tick(usize),
    Pass(usize),
    LookArrives(usize, WorkerId, PollRequest, Duration),
    LookAnswered(usize, WorkerId, Duration, Option<PollResponse>, bool),
    QuickLook(usize, WorkerId, PollRequest, Duration),
    Reported(usize, WorkerId, Duration, PollResponse),
    LookExpires(WorkerId, u64),
    OrderArrives(usize, WorkerId, WorkerOrder, bool, u64),
    OrderAnswered(usize, WorkerId, WorkerOrder, OrderOutcome),
    FlushArrives(usize, Flush),
    FlushAnswered(usize, FlushOutcome),
    RunEnds(WorkerId, u64, TaskKey, u32),
    LeaseEnds(WorkerId, u64),
    MachineReturns(std::sync::Arc<str>),
    Machines(usize),
    MachineAnswered(usize, std::sync::Arc<str>, MachineOrder, MachineOutcome),
    Script(Box<dyn FnOnce(&mut CellSimulation)>),
}

struct Scheduled {
    at: Duration,
    number: u64,
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
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A look that waits at its worker for an end.
#[derive(Clone, Debug)]
struct Parked {
    owner: usize,
    sent: Duration,
    number: u64,
}

/// Part of the store that the cell uses.
#[derive(Clone, Debug, Default)]
pub struct CellStore {
    /// Revision.
    pub revision: Revision,
    /// Jobs with the revision of their last change.
    pub jobs: BTreeMap<JobId, (JobRecord, Revision)>,
    /// State of the cell.
    pub state: Option<Vec<u8>>,
    /// Fencing token of the owner.
    pub owner: u64,
    /// Whether it answers.
    pub down: bool,
}

/// The cell and everything around it.
pub struct CellSimulation {
    /// Present time.
    pub now: Duration,
    /// Workers.
    pub workers: BTreeMap<WorkerId, FakeWorker>,
    /// Machines.
    pub machines: BTreeMap<std::sync::Arc<str>, Machine>,
    /// Owners, the latest last.
    pub owners: Vec<Owner>,
    /// Store.
    pub store: CellStore,
    /// What must hold.
    pub checker: InvariantChecker,
    /// Share of the orders that get no answer and are carried out 2 to 12 s later.
    pub delayed_share: f64,
    /// Tasks that always fail.
    pub failing_tasks: BTreeSet<TaskKey>,
    /// Factor by which actual durations differ from declared ones at most.
    pub duration_spread: f64,
    /// Queues in force.
    pub queues: Vec<Queue>,
    /// Pools in force.
    pub pools: Vec<(PoolName, PoolConfig)>,
    /// Settings of schedulers.
    pub settings: JobSettings,
    /// Moves and maintenance that were begun.
    pub operations_started: usize,
    /// Orders for machines: the machine, the owner and the time.
    pub machine_orders: Vec<(std::sync::Arc<str>, usize, Duration)>,
    events: BinaryHeap<Reverse<Scheduled>>,
    numbers: u64,
    parked: BTreeMap<WorkerId, Parked>,
    maintained: BTreeSet<(u64, std::sync::Arc<str>)>,
    random: StdRng,
    lives: u64,
}

impl CellSimulation {
    /// Creates an empty world.
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
            duration_spread: 1.0,
            queues: Vec::new(),
            pools: Vec::new(),
            settings: JobSettings::default(),
            operations_started: 0,
            machine_orders: Vec::new(),
            events: BinaryHeap::new(),
            numbers: 0,
            parked: BTreeMap::new(),
            maintained: BTreeSet::new(),
            random: StdRng::seed_from_u64(seed),
            lives: 0,
        }
    }

    /// Returns the time of day in milliseconds since 1970.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        EPOCH + u64::try_from(self.now.as_millis()).unwrap_or_default()
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.numbers += 1;
        self.events.push(Reverse(Scheduled {
            at: self.now + after,
            number: self.numbers,
            event,
        }));
    }

    /// Runs a closure at a time from now.
    pub fn after(&mut self, delay: Duration, script: impl FnOnce(&mut Self) + 'static) {
        self.schedule(delay, Event::Script(Box::new(script)));
    }

    /// Lets time pass.
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

    /// Adds a worker with its machine.
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

    /// Shows a worker's entry to all owners that reach the store.
    pub fn list_worker(&mut self, id: &WorkerId) {
        let Some(listing) = self.workers.get(id).map(|worker| worker.listing.clone()) else {
            return;
        };
        for index in 0..self.owners.len() {
            if self.owners[index].up && self.owners[index].reaches_store {
                let now = self.now;
                self.owners[index]
                    .scheduler
                    .worker_listed(listing.clone(), now);
                self.watch(index, id);
                self.wake(index);
            }
        }
    }

    /// Removes a worker's entry.
    pub fn unlist_worker(&mut self, id: &WorkerId) {
        for index in 0..self.owners.len() {
            if self.owners[index].up && self.owners[index].reaches_store {
                let now = self.now;
                self.owners[index].scheduler.worker_unlisted(id, now);
                self.wake(index);
            }
        }
    }

    /// Accepts a job.
    pub fn submit(&mut self, id: &JobId, accepted: &AcceptedJob) {
        self.store.revision += 1;
        let revision = self.store.revision;
        let record = JobRecord::Accepted(Box::new(accepted.clone()));
        self.store.jobs.insert(id.clone(), (record, revision));
        self.checker.accept(id);
        for index in 0..self.owners.len() {
            if self.owners[index].up && self.owners[index].reaches_store {
                let (unix, now) = (self.unix_ms(), self.now);
                let owner = &mut self.owners[index];
                let inherited =
                    u64::try_from(revision).is_ok_and(|revision| revision < owner.fence);
                owner
                    .scheduler
                    .add_job(id, accepted.clone(), revision, inherited, unix, now);
                self.wake(index);
            }
        }
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: &JobId) {
        let Some((JobRecord::Accepted(_), _)) = self.store.jobs.get(id) else {
            return;
        };
        self.store.revision += 1;
        let record = JobRecord::Ended {
            how: FinalState::Cancelled,
            at: self.unix_ms(),
        };
        self.store
            .jobs
            .insert(id.clone(), (record, self.store.revision));
        let now = self.now;
        self.checker.cancel(id, now);
        for index in 0..self.owners.len() {
            if self.owners[index].up && self.owners[index].reaches_store {
                self.owners[index]
                    .scheduler
                    .record_final_state(id, FinalState::Cancelled, now);
                self.wake(index);
            }
        }
    }

    /// Returns the state of a job in the store.
    #[must_use]
    pub fn stored_state(&self, id: &JobId) -> Option<JobState> {
        match self.store.jobs.get(id)?.0 {
            JobRecord::Accepted(_) => Some(JobState::Pending),
            JobRecord::Ended { how, .. } => Some(JobState::Ended(how)),
        }
    }

    /// Lets a new owner take over; earlier ones go on unless they were stopped.
    pub fn take_over(&mut self) -> usize {
        self.take_over_partitioned([])
    }

    /// Lets a new owner take over that does not reach some workers.
    ///
    /// # Panics
    ///
    /// Panics if an earlier owner stored a state that cannot be read.
    pub fn take_over_partitioned(
        &mut self,
        unreachable: impl IntoIterator<Item = WorkerId>,
    ) -> usize {
        self.store.revision += 1;
        let fence = self.store.revision;
        self.store.owner = u64::try_from(fence).unwrap_or_default();
        let mut scheduler = Scheduler::new(self.settings, fence, self.now);
        scheduler.configure(&self.queues, &self.pools);
        for (id, (record, revision)) in &self.store.jobs {
            match record {
                JobRecord::Accepted(accepted) => {
                    scheduler.add_job(
                        id,
                        (**accepted).clone(),
                        *revision,
                        true,
                        self.unix_ms(),
                        self.now,
                    );
                }
                JobRecord::Ended { how, .. } => scheduler.record_final_state(id, *how, self.now),
            }
        }
        if let Some(state) = &self.store.state {
            let record: CellRecord = decode(state).expect("the stored state decodes");
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
            reaches_store: true,
            unreachable: unreachable.into_iter().collect(),
            looked: BTreeSet::new(),
            pass: false,
            started_at: self.now,
        });
        let index = self.owners.len() - 1;
        for id in known {
            self.watch(index, &id);
        }
        let listed: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.up)
            .map(|(id, _)| id.clone())
            .collect();
        for id in listed {
            // Service discovery is read after the cell.
            self.after(DISCOVERY, move |world| {
                let (listing, now) = (world.workers[&id].listing.clone(), world.now);
                world.owners[index].scheduler.worker_listed(listing, now);
                world.watch(index, &id);
                world.wake(index);
            });
        }
        self.schedule(TICK, Event::Tick(index));
        self.schedule(LATENCY, Event::Machines(index));
        self.wake(index);
        index
    }

    fn watch(&mut self, index: usize, id: &WorkerId) {
        if self.owners[index].looked.insert(id.clone()) {
            self.look(index, id);
        }
    }

    fn look(&mut self, index: usize, id: &WorkerId) {
        let now = self.now;
        if !self.acts(index) {
            self.owners[index].looked.remove(id);
            return;
        }
        let Some(look) = self.owners[index].scheduler.next_poll(id, now) else {
            self.owners[index].looked.remove(id);
            return;
        };
        if self.reaches(index, id) {
            self.schedule(LATENCY, Event::LookArrives(index, id.clone(), look, now));
        } else {
            self.schedule(
                TIMEOUT,
                Event::LookAnswered(index, id.clone(), now, None, false),
            );
        }
    }

    fn reaches(&self, index: usize, id: &WorkerId) -> bool {
        !self.owners[index].unreachable.contains(id)
            && self.workers.get(id).is_some_and(|worker| worker.up)
    }

    /// Returns whether an owner may still act.
    fn acts(&self, index: usize) -> bool {
        let owner = &self.owners[index];
        owner.up && self.now < owner.renewed_at + self.settings.owner_validity
    }

    fn wake(&mut self, index: usize) {
        if !self.owners[index].pass {
            self.owners[index].pass = true;
            self.schedule(PASS, Event::Pass(index));
        }
    }

    /// Ends a worker's process at once; its entry stays until somebody removes it.
    pub fn crash(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.up = false;
        let runs = std::mem::take(&mut worker.runs);
        for (task, run) in runs {
            self.checker.end(id, &task, run.number, false, false);
        }
        if let Some(parked) = self.parked.remove(id) {
            let unanswered =
                Event::LookAnswered(parked.owner, id.clone(), parked.sent, None, false);
            self.schedule(TIMEOUT, unanswered);
        }
    }

    /// Starts a crashed worker again under its identifier.
    pub fn restart(&mut self, id: &WorkerId) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.restart(now);
        }
        self.list_worker(id);
    }
}
