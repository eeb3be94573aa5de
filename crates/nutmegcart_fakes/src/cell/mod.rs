//! A cell in virtual time: workers, the part of the store that the cell uses, and owners that
//! drive the real scheduler, with faults that a test scripts.
//!
//! Nothing here waits or draws from outside, so a run with the same seed repeats exactly.

pub mod oracle;
pub mod worker;

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;

use nutmegcart_jobs::Accepted;
use nutmegcart_jobs::Action;
use nutmegcart_jobs::CellRecord;
use nutmegcart_jobs::Final;
use nutmegcart_jobs::Flush;
use nutmegcart_jobs::Flushed;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobRecord;
use nutmegcart_jobs::JobState;
use nutmegcart_jobs::KeyNow;
use nutmegcart_jobs::Look;
use nutmegcart_jobs::Machine;
use nutmegcart_jobs::MachineOrder;
use nutmegcart_jobs::MachineOutcome;
use nutmegcart_jobs::MachineState;
use nutmegcart_jobs::Order;
use nutmegcart_jobs::Outcome;
use nutmegcart_jobs::PoolConfig;
use nutmegcart_jobs::Queue;
use nutmegcart_jobs::Report;
use nutmegcart_jobs::RunEnd;
use nutmegcart_jobs::Scheduler;
use nutmegcart_jobs::Settings;
use nutmegcart_jobs::TaskKey;
use nutmegcart_jobs::record::decode;
use nutmegcart_model::PoolName;
use nutmegcart_model::WorkerId;
use nutmegcart_platform::Revision;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::cell::oracle::Oracle;
use crate::cell::worker::FakeRun;
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
pub const LEASE: Duration = Duration::from_millis(2_500);
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
    pub renewed: Duration,
    /// Whether its process runs.
    pub up: bool,
    /// Whether it reaches the store.
    pub store: bool,
    /// Workers that it does not reach.
    pub cut: BTreeSet<WorkerId>,
    looked: BTreeSet<WorkerId>,
    pass: bool,
    since: Duration,
}

/// What happens at a time.
enum Event {
    Tick(usize),
    Pass(usize),
    LookArrives(usize, WorkerId, Look, Duration),
    LookAnswered(usize, WorkerId, Duration, Option<Report>, bool),
    QuickLook(usize, WorkerId, Look, Duration),
    Reported(usize, WorkerId, Duration, Report),
    LookExpires(WorkerId, u64),
    OrderArrives(usize, WorkerId, Order, bool, u64),
    OrderAnswered(usize, WorkerId, Order, Outcome),
    FlushArrives(usize, Flush),
    FlushAnswered(usize, Flushed),
    RunEnds(WorkerId, u64, TaskKey, u32),
    LeaseEnds(WorkerId, u64),
    MachineReturns(std::sync::Arc<str>),
    Machines(usize),
    MachineAnswered(usize, std::sync::Arc<str>, MachineOrder, MachineOutcome),
    Script(Box<dyn FnOnce(&mut World)>),
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
pub struct World {
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
    pub oracle: Oracle,
    /// Share of the orders that get no answer and are carried out 2 to 12 s later.
    pub late: f64,
    /// Tasks that always fail.
    pub poison: BTreeSet<TaskKey>,
    /// Factor by which actual durations differ from declared ones at most.
    pub spread: f64,
    /// Queues in force.
    pub queues: Vec<Queue>,
    /// Pools in force.
    pub pools: Vec<(PoolName, PoolConfig)>,
    /// Settings of schedulers.
    pub settings: Settings,
    /// Moves and maintenance that were begun.
    pub moves: usize,
    /// Orders for machines: the machine, the owner and the time.
    pub commands: Vec<(std::sync::Arc<str>, usize, Duration)>,
    events: BinaryHeap<Reverse<Scheduled>>,
    numbers: u64,
    parked: BTreeMap<WorkerId, Parked>,
    maintained: BTreeSet<(u64, std::sync::Arc<str>)>,
    random: StdRng,
    lives: u64,
}

impl World {
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
            oracle: Oracle::default(),
            late: 0.0,
            poison: BTreeSet::new(),
            spread: 1.0,
            queues: Vec::new(),
            pools: Vec::new(),
            settings: Settings::default(),
            moves: 0,
            commands: Vec::new(),
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
    pub fn unix(&self) -> u64 {
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
        worker.started = self.now;
        if let Some(name) = worker.listing.machine.clone() {
            self.machines.insert(
                name.clone(),
                Machine {
                    name,
                    pool: worker.listing.pool.clone(),
                    state: MachineState::Up,
                    worker: Some(id.clone()),
                    capacity: worker.listing.capacity,
                },
            );
        }
        self.workers.insert(id.clone(), worker);
        self.announce(&id);
    }

    /// Shows a worker's entry to all owners that reach the store.
    pub fn announce(&mut self, id: &WorkerId) {
        let Some(listing) = self.workers.get(id).map(|worker| worker.listing.clone()) else {
            return;
        };
        for index in 0..self.owners.len() {
            if self.owners[index].up && self.owners[index].store {
                let now = self.now;
                self.owners[index]
                    .scheduler
                    .see_worker(listing.clone(), now);
                self.watch(index, id);
                self.wake(index);
            }
        }
    }

    /// Removes a worker's entry.
    pub fn unlist(&mut self, id: &WorkerId) {
        for index in 0..self.owners.len() {
            if self.owners[index].up && self.owners[index].store {
                let now = self.now;
                self.owners[index].scheduler.lose_worker(id, now);
                self.wake(index);
            }
        }
    }

    /// Accepts a job.
    pub fn submit(&mut self, id: &JobId, accepted: &Accepted) {
        self.store.revision += 1;
        let revision = self.store.revision;
        let record = JobRecord::Accepted(Box::new(accepted.clone()));
        self.store.jobs.insert(id.clone(), (record, revision));
        self.oracle.accept(id);
        for index in 0..self.owners.len() {
            if self.owners[index].up && self.owners[index].store {
                let (unix, now) = (self.unix(), self.now);
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
            how: Final::Cancelled,
            at: self.unix(),
        };
        self.store
            .jobs
            .insert(id.clone(), (record, self.store.revision));
        let now = self.now;
        self.oracle.cancel(id, now);
        for index in 0..self.owners.len() {
            if self.owners[index].up && self.owners[index].store {
                self.owners[index]
                    .scheduler
                    .note_ended(id, Final::Cancelled, now);
                self.wake(index);
            }
        }
    }

    /// Returns the state of a job in the store.
    #[must_use]
    pub fn stored(&self, id: &JobId) -> Option<JobState> {
        match self.store.jobs.get(id)?.0 {
            JobRecord::Accepted(_) => Some(JobState::Pending),
            JobRecord::Ended { how, .. } => Some(JobState::Ended(how)),
        }
    }

    /// Lets a new owner take over; earlier ones go on unless they were stopped.
    pub fn take_over(&mut self) -> usize {
        self.take_over_cut([])
    }

    /// Lets a new owner take over that does not reach some workers.
    ///
    /// # Panics
    ///
    /// Panics if an earlier owner stored a state that cannot be read.
    pub fn take_over_cut(&mut self, cut: impl IntoIterator<Item = WorkerId>) -> usize {
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
                        self.unix(),
                        self.now,
                    );
                }
                JobRecord::Ended { how, .. } => scheduler.note_ended(id, *how, self.now),
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
            renewed: self.now,
            up: true,
            store: true,
            cut: cut.into_iter().collect(),
            looked: BTreeSet::new(),
            pass: false,
            since: self.now,
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
                world.owners[index].scheduler.see_worker(listing, now);
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
        let Some(look) = self.owners[index].scheduler.next_look(id, now) else {
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
        !self.owners[index].cut.contains(id) && self.workers.get(id).is_some_and(|worker| worker.up)
    }

    /// Returns whether an owner may still act.
    fn acts(&self, index: usize) -> bool {
        let owner = &self.owners[index];
        owner.up && self.now < owner.renewed + self.settings.authority
    }

    fn wake(&mut self, index: usize) {
        if !self.owners[index].pass {
            self.owners[index].pass = true;
            self.schedule(PASS, Event::Pass(index));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Script(script) => script(self),
            Event::Tick(index) => self.tick(index),
            Event::Pass(index) => self.pass(index),
            Event::LookArrives(index, id, look, sent) => self.look_arrives(index, &id, look, sent),
            Event::LookAnswered(index, id, sent, report, fenced) => {
                self.look_answered(index, &id, sent, report.as_ref(), fenced);
            }
            Event::QuickLook(index, id, look, sent) => {
                let (now, fence) = (self.now, self.owners[index].fence);
                let worker = self.workers.get_mut(&id).filter(|worker| worker.up);
                if let Some(worker) = worker
                    && worker.look(fence, &look, now)
                {
                    let report = worker.report(now);
                    self.schedule(LATENCY, Event::Reported(index, id, sent, report));
                }
            }
            Event::Reported(index, id, sent, report) => {
                let now = self.now;
                if self.owners[index].up {
                    self.owners[index]
                        .scheduler
                        .reported(&id, sent, &report, now);
                    self.wake(index);
                }
            }
            Event::LookExpires(id, number) => {
                if self
                    .parked
                    .get(&id)
                    .is_some_and(|parked| parked.number == number)
                {
                    self.answer_parked(&id);
                }
            }
            Event::OrderArrives(index, id, order, answered, life) => {
                self.order_arrives(index, &id, &order, answered, life);
            }
            Event::OrderAnswered(index, id, order, outcome) => {
                if self.owners[index].up {
                    let now = self.now;
                    self.owners[index]
                        .scheduler
                        .answered(&id, &order, outcome, now);
                    self.wake(index);
                }
            }
            Event::FlushArrives(index, flush) => self.flush_arrives(index, &flush),
            Event::FlushAnswered(index, outcome) => {
                let now = self.now;
                self.owners[index].scheduler.flushed(&outcome, now);
                self.wake(index);
            }
            Event::RunEnds(id, life, task, run) => self.run_ends(&id, life, &task, run),
            Event::LeaseEnds(id, life) => self.lease_ends(&id, life),
            Event::Machines(index) => self.list_machines(index),
            Event::MachineReturns(name) => self.machine_returns(&name),
            Event::MachineAnswered(index, name, order, outcome) => {
                let now = self.now;
                self.owners[index]
                    .scheduler
                    .machine_answered(&name, &order, outcome, now);
                self.wake(index);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        if !self.owners[index].up {
            return;
        }
        let (unix, now) = (self.unix(), self.now);
        let reached = self.owners[index].store && !self.store.down;
        let holds = self.store.owner == self.owners[index].fence;
        if reached && holds {
            self.owners[index].renewed = now;
        } else if reached {
            // The owner's key names another instance.
            self.owners[index].up = false;
            return;
        }
        let owner = &mut self.owners[index];
        let from = owner.since + Duration::from_secs(3) + LEASE;
        owner.scheduler.set_ownership(
            from,
            (owner.renewed + LEASE).saturating_sub(Duration::from_millis(600)),
        );
        owner.scheduler.tick(unix, now);
        let looked: Vec<WorkerId> = owner
            .scheduler
            .workers()
            .map(|worker| worker.listing.id.clone())
            .collect();
        for id in looked {
            self.watch(index, &id);
        }
        self.wake(index);
        self.schedule(TICK, Event::Tick(index));
    }

    fn pass(&mut self, index: usize) {
        self.owners[index].pass = false;
        if !self.acts(index) {
            return;
        }
        let now = self.now;
        self.owners[index].scheduler.pass(now);
        for action in self.owners[index].scheduler.take_actions() {
            self.carry_out(index, action);
        }
        if self.owners[index].store
            && !self.store.down
            && let Some(flush) = self.owners[index].scheduler.next_flush(now)
        {
            self.schedule(STORE, Event::FlushArrives(index, flush));
        }
    }

    fn carry_out(&mut self, index: usize, action: Action) {
        match action {
            Action::Order { worker, order, .. } => {
                let late = self.late > 0.0 && self.random.random_bool(self.late);
                let life = self
                    .workers
                    .get(&worker)
                    .map_or(0, |worker| worker.listing.born);
                if !self.reaches(index, &worker) {
                    self.schedule(
                        TIMEOUT,
                        Event::OrderAnswered(index, worker, order, Outcome::Unknown),
                    );
                } else if late {
                    let delay = Duration::from_millis(self.random.random_range(2_000..12_000));
                    self.schedule(
                        delay,
                        Event::OrderArrives(index, worker.clone(), order.clone(), false, life),
                    );
                    self.schedule(
                        TIMEOUT,
                        Event::OrderAnswered(index, worker, order, Outcome::Unknown),
                    );
                } else {
                    self.schedule(
                        LATENCY,
                        Event::OrderArrives(index, worker, order, true, life),
                    );
                }
            }
            Action::Machine { machine, order } => {
                self.commands.push((machine.clone(), index, self.now));
                let outcome = self.command(&machine, &order);
                self.schedule(
                    STORE,
                    Event::MachineAnswered(index, machine, order, outcome),
                );
            }
            Action::Look { worker } => {
                let now = self.now;
                if let Some(look) = self.owners[index].scheduler.quick_look(&worker, now)
                    && self.reaches(index, &worker)
                {
                    self.schedule(LATENCY, Event::QuickLook(index, worker, look, now));
                }
            }
            Action::Advise { .. } => {}
        }
    }

    fn command(&mut self, name: &std::sync::Arc<str>, order: &MachineOrder) -> MachineOutcome {
        let Some(machine) = self.machines.get_mut(name) else {
            return MachineOutcome::Invalid;
        };
        if machine.state != MachineState::Up {
            return MachineOutcome::Busy;
        }
        let delay = match order {
            MachineOrder::Move(pool) => {
                if machine.pool == *pool {
                    return MachineOutcome::Done;
                }
                machine.pool = pool.clone();
                machine.state = MachineState::Moving;
                self.settings.move_time
            }
            MachineOrder::Maintain(wave) => {
                if !self.maintained.insert((*wave, name.clone())) {
                    return MachineOutcome::Done;
                }
                machine.state = MachineState::Maintained;
                self.settings.upkeep_time
            }
        };
        self.moves += 1;
        if let Some(id) = machine.worker.take() {
            self.crash(&id);
            self.unlist(&id);
        }
        self.schedule(delay, Event::MachineReturns(name.clone()));
        MachineOutcome::Done
    }

    fn machine_returns(&mut self, name: &std::sync::Arc<str>) {
        self.lives += 1;
        let id = WorkerId::from(format!("{name}-{}", self.lives));
        let spare = {
            let Some(machine) = self.machines.get_mut(name) else {
                return;
            };
            machine.state = MachineState::Up;
            let pools = self.pools.iter();
            let spare = pools
                .clone()
                .any(|(pool, config)| *pool == machine.pool && config.spare);
            machine.worker = (!spare).then(|| id.clone());
            spare
        };
        if spare {
            return;
        }
        let machine = &self.machines[name];
        let mut listing = worker::listing(&id, &machine.pool, "r1-1", machine.capacity);
        listing.machine = Some(name.clone());
        listing.born = self.unix();
        self.workers
            .insert(id.clone(), FakeWorker::new(listing, self.now));
        self.announce(&id);
    }

    fn list_machines(&mut self, index: usize) {
        if !self.owners[index].up {
            return;
        }
        let (list, now) = (self.machines.values().cloned().collect(), self.now);
        self.owners[index].scheduler.see_machines(list, now, now);
        self.wake(index);
        self.schedule(LIST, Event::Machines(index));
    }

    fn look_arrives(&mut self, index: usize, id: &WorkerId, look: Look, sent: Duration) {
        let now = self.now;
        let fence = self.owners[index].fence;
        let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.up) else {
            self.schedule(
                TIMEOUT,
                Event::LookAnswered(index, id.clone(), sent, None, false),
            );
            return;
        };
        let before = worker.ended.clone();
        if !worker.look(fence, &look, now) {
            self.schedule(
                LATENCY,
                Event::LookAnswered(index, id.clone(), sent, None, true),
            );
            return;
        }
        for end in before.iter().filter(|end| end.number <= look.acked) {
            self.oracle.acknowledge(&end.task, end.how == RunEnd::Done);
        }
        let (waits, life) = (
            worker.ended.is_empty() && !look.wait.is_zero(),
            worker.listing.born,
        );
        let left = Duration::from_millis(worker.lease.saturating_sub(worker.clock(now)));
        self.schedule(left, Event::LeaseEnds(id.clone(), life));
        if self.parked.contains_key(id) {
            self.answer_parked(id);
        }
        self.numbers += 1;
        let number = self.numbers;
        self.parked.insert(
            id.clone(),
            Parked {
                owner: index,
                sent,
                number,
            },
        );
        if waits {
            self.schedule(look.wait, Event::LookExpires(id.clone(), number));
        } else {
            self.answer_parked(id);
        }
    }

    fn answer_parked(&mut self, id: &WorkerId) {
        let Some(parked) = self.parked.remove(id) else {
            return;
        };
        let now = self.now;
        let report = self
            .workers
            .get(id)
            .filter(|worker| worker.up)
            .map(|worker| worker.report(now));
        let delay = if report.is_some() && self.reaches(parked.owner, id) {
            LATENCY
        } else {
            TIMEOUT
        };
        let report = report.filter(|_| self.reaches(parked.owner, id));
        self.schedule(
            delay,
            Event::LookAnswered(parked.owner, id.clone(), parked.sent, report, false),
        );
    }

    fn look_answered(
        &mut self,
        index: usize,
        id: &WorkerId,
        sent: Duration,
        report: Option<&Report>,
        fenced: bool,
    ) {
        let now = self.now;
        if !self.owners[index].up {
            return;
        }
        if fenced {
            self.owners[index].up = false;
            return;
        }
        let pause = if let Some(report) = report {
            self.owners[index].scheduler.reported(id, sent, report, now);
            let gap = Duration::from_millis(25);
            if report.ended.is_empty() {
                Duration::ZERO
            } else {
                gap
            }
        } else {
            self.owners[index].scheduler.look_failed(id, now);
            Duration::from_millis(200)
        };
        self.wake(index);
        let id = id.clone();
        self.after(pause, move |world| world.look(index, &id));
    }

    fn order_arrives(
        &mut self,
        index: usize,
        id: &WorkerId,
        order: &Order,
        answered: bool,
        life: u64,
    ) {
        let now = self.now;
        let fence = self.owners[index].fence;
        let begun = match order {
            Order::Start(start) => self.begin(id, start.run, &start.task),
            _ => None,
        };
        // A late order reaches whoever answers under the worker's identifier by then.
        let reached = self
            .workers
            .get(id)
            .is_some_and(|worker| worker.up && (!answered || worker.listing.born == life));
        if !reached {
            if answered {
                self.schedule(
                    TIMEOUT,
                    Event::OrderAnswered(index, id.clone(), order.clone(), Outcome::Unknown),
                );
            }
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let before: BTreeMap<TaskKey, u32> = worker
            .runs
            .iter()
            .map(|(task, run)| (task.clone(), run.number))
            .collect();
        let ends = worker.last;
        let outcome = worker.carry_out(fence, order, begun, now);
        let (born, left) = (
            worker.listing.born,
            worker.lease.saturating_sub(worker.clock(now)),
        );
        let ended: Vec<_> = worker
            .ended
            .iter()
            .filter(|end| end.number > ends)
            .cloned()
            .collect();
        if let (Order::Start(start), Outcome::Done { .. }) = (order, outcome)
            && before.get(&start.task) != Some(&start.run)
        {
            self.oracle.start(id, &start.task, start.run, now);
            if let Some(run) = self.workers[id].runs.get(&start.task)
                && !run.lasting
            {
                let takes = run.takes;
                self.schedule(
                    takes,
                    Event::RunEnds(id.clone(), born, start.task.clone(), start.run),
                );
            }
            self.schedule(
                Duration::from_millis(left),
                Event::LeaseEnds(id.clone(), born),
            );
        }
        for end in &ended {
            self.oracle.end(
                id,
                &end.task,
                end.run,
                end.how == RunEnd::Done,
                end.how == RunEnd::Failed,
            );
        }
        if !ended.is_empty() {
            self.answer_parked(id);
        }
        if answered {
            self.schedule(
                LATENCY,
                Event::OrderAnswered(index, id.clone(), order.clone(), outcome),
            );
        }
    }

    /// Returns the run that a start begins, as the job in the store describes it.
    fn begin(&mut self, id: &WorkerId, number: u32, task: &TaskKey) -> Option<FakeRun> {
        let worker = self.workers.get(id)?;
        let (slow, hung) = (worker.slow, worker.hung);
        let step = self.owners.iter().rev().find_map(|owner| {
            let job = owner.scheduler.jobs().find(|job| job.id == task.job)?;
            job.step(task).cloned()
        })?;
        let factor = if self.spread > 1.0 {
            let exponent = self.random.random_range(-1.0..1.0);
            self.spread.powf(exponent)
        } else {
            1.0
        };
        let takes = if hung {
            Duration::from_secs(1_000_000)
        } else {
            step.declared().mul_f64(factor) * slow
        };
        Some(FakeRun {
            number,
            since: self.now,
            takes,
            room: step.room(),
            lasting: step.lasting,
        })
    }

    fn run_ends(&mut self, id: &WorkerId, life: u64, task: &TaskKey, run: u32) {
        let poisoned = self.poison.contains(task);
        let Some(worker) = self
            .workers
            .get_mut(id)
            .filter(|worker| worker.up && worker.listing.born == life)
        else {
            return;
        };
        if worker.runs.get(task).is_none_or(|each| each.number != run) {
            return;
        }
        let how = if poisoned {
            RunEnd::Failed
        } else {
            RunEnd::Done
        };
        worker.end(task, how);
        self.oracle.end(id, task, run, !poisoned, poisoned);
        self.answer_parked(id);
    }

    fn lease_ends(&mut self, id: &WorkerId, life: u64) {
        let now = self.now;
        let Some(worker) = self
            .workers
            .get_mut(id)
            .filter(|worker| worker.up && worker.listing.born == life)
        else {
            return;
        };
        let last = worker.last;
        worker.lapse(now);
        let ended: Vec<_> = worker
            .ended
            .iter()
            .filter(|end| end.number > last)
            .cloned()
            .collect();
        for end in ended {
            self.oracle.end(id, &end.task, end.run, false, false);
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
            self.oracle.end(id, &task, run.number, false, false);
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
        self.announce(id);
    }

    fn flush_arrives(&mut self, index: usize, flush: &Flush) {
        if self.store.down || !self.owners[index].store {
            self.schedule(TIMEOUT, Event::FlushAnswered(index, Flushed::NotStored));
            return;
        }
        let outcome = self.commit(self.owners[index].fence, flush);
        self.schedule(LATENCY, Event::FlushAnswered(index, outcome));
    }

    fn commit(&mut self, fence: u64, flush: &Flush) -> Flushed {
        if fence != self.store.owner {
            return Flushed::NotStored;
        }
        let mut changed = Vec::new();
        for write in &flush.finals {
            match self.store.jobs.get(&write.job) {
                Some((JobRecord::Accepted(_), revision)) if *revision == write.revision => {}
                Some((JobRecord::Accepted(_), revision)) => {
                    changed.push((write.job.clone(), KeyNow::Accepted(*revision)));
                }
                Some((JobRecord::Ended { how, .. }, _)) => {
                    changed.push((write.job.clone(), KeyNow::Ended(*how)));
                }
                None => changed.push((write.job.clone(), KeyNow::Absent)),
            }
        }
        if !changed.is_empty() {
            return Flushed::Changed(changed);
        }
        self.store.revision += 1;
        let (revision, at) = (self.store.revision, self.unix());
        for write in &flush.finals {
            let record = JobRecord::Ended { how: write.how, at };
            self.store
                .jobs
                .insert(write.job.clone(), (record, revision));
        }
        for id in &flush.expired {
            self.store.jobs.remove(id);
        }
        if let Some(state) = &flush.state {
            self.store.state = Some(state.clone());
        }
        Flushed::Stored
    }
}
