//! A deployment in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use nutmegcart_request::admission::Class;
use nutmegcart_request::connection::ConnectionId;
use nutmegcart_request::outcome::Outcome;
use nutmegcart_request::request_path::Attempt;
use nutmegcart_request::request_path::AttemptEnd;
use nutmegcart_request::request_path::Decision;
use nutmegcart_request::request_path::Request;
use nutmegcart_request::share::EntrySpec;
use nutmegcart_request::share::RUNNER_SLOTS;
use nutmegcart_request::share::RunnerSpec;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::policy::Handle;
use super::policy::Kind;
use super::policy::Policy;
use super::policy::Pool;
use super::policy::Waiting;
use super::scenario::CALLERS;
use super::scenario::ENTRIES;
use super::scenario::Fault;
use super::scenario::Load;
use super::scenario::Tally;

/// Data centres.
const CENTRES: [&str; 4] = ["a", "b", "c", "d"];

/// Runners per service.
const RUNNERS: usize = 10;

/// Connections beyond the slots that wait at a runner.
const BACKLOG: usize = 56;

/// One way between entry instance and runner.
const LATENCY: Duration = Duration::from_micros(500);

/// Shortest time of a request on a runner; the rest is exponential with [`VARIABLE`] as mean.
const FIXED: Duration = Duration::from_millis(20);

/// Mean of the variable part of a request's time on a runner.
const VARIABLE: Duration = Duration::from_millis(80);

/// Time in which a failing runner answers with an error.
const FAILURE: Duration = Duration::from_millis(2);

/// Time of faults.
const FAULT: Duration = Duration::from_secs(10);

/// Lag of the instance list.
const LIST_LAG: Duration = Duration::from_secs(15);

/// First-byte timeout of random choice.
const PLAIN_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    /// An attempt reaches its runner.
    Reach(u64),
    /// A runner ends a run.
    Ran(u64),
    /// The answer to an attempt arrives.
    Answer(u64, Outcome),
    /// The first byte of an answer did not arrive in time.
    Timeout(u64),
    /// The backoff of a request ends.
    Retry(u64),
    Fault(usize),
    Listed,
    /// Load reports of all entry instances.
    Report,
    Tick,
}

#[derive(Default)]
struct Runner {
    running: usize,
    backlog: VecDeque<u64>,
    failing: bool,
    leaving: bool,
}

struct Sent {
    request: u64,
    entry: usize,
    runner: usize,
    handle: Option<Handle>,
    connection: ConnectionId,
    reused: bool,
    counted: bool,
}

struct Info {
    caller: usize,
    entry: usize,
    deadline: Duration,
    idempotent: bool,
    counted: bool,
    done: bool,
}

/// The deployment, the demand and the counts.
pub struct World {
    rng: SmallRng,
    kind: Kind,
    load: Load,
    faults: Vec<Fault>,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    order: u64,
    specs: Vec<RunnerSpec>,
    entries: Vec<EntrySpec>,
    runners: Vec<Runner>,
    policies: Vec<Policy>,
    pools: Vec<Vec<Pool>>,
    /// Connections of runner 0 with lower identifiers are silent, per entry instance.
    silent: Vec<ConnectionId>,
    first_silent: Vec<Option<Duration>>,
    requests: HashMap<u64, Info>,
    sent: HashMap<u64, Sent>,
    waiting: HashMap<u64, Waiting>,
    tally: Tally,
}

impl World {
    pub fn new(seed: u64, kind: Kind, load: &Load, faults: &[Fault]) -> Self {
        let specs: Vec<RunnerSpec> = ["gates", "portal"]
            .iter()
            .flat_map(|service| (0..RUNNERS).map(move |index| (service, index)))
            .map(|(service, index)| RunnerSpec {
                id: format!("{service}-{index}").into(),
                centre: CENTRES[index % CENTRES.len()].into(),
                service: (*service).into(),
            })
            .collect();
        let entries: Vec<EntrySpec> = (0..ENTRIES)
            .map(|index| EntrySpec {
                id: format!("entry-{index}").into(),
                centre: CENTRES[index % CENTRES.len()].into(),
            })
            .collect();
        // The baselines know no spare pool; they use the runners of the service.
        let known = if kind == Kind::Policy {
            &specs[..]
        } else {
            &specs[..RUNNERS]
        };
        let policies = (0..ENTRIES).map(|own| Policy::new(kind, own, &entries, known));
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            kind,
            load: *load,
            faults: faults.to_vec(),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            order: 0,
            runners: specs.iter().map(|_| Runner::default()).collect(),
            policies: policies.collect(),
            pools: (0..ENTRIES)
                .map(|_| specs.iter().map(|_| Pool::new(kind)).collect())
                .collect(),
            specs,
            entries,
            silent: vec![0; ENTRIES],
            first_silent: vec![None; ENTRIES],
            requests: HashMap::new(),
            sent: HashMap::new(),
            waiting: HashMap::new(),
            tally: Tally::default(),
        };
        for index in 0..faults.len() {
            world.at(FAULT, Event::Fault(index));
        }
        world.at(Duration::ZERO, Event::Arrive);
        world.at(Duration::ZERO, Event::Report);
        world.at(Duration::ZERO, Event::Tick);
        world
    }

    /// Runs until every request has ended.
    pub fn run(mut self) -> Tally {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
        self.tally
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach(id) => self.reach(id),
            Event::Ran(id) => self.ran(id),
            Event::Answer(id, outcome) => self.answer(id, outcome),
            Event::Timeout(id) => self.timeout(id),
            Event::Retry(request) => self.retry(request),
            Event::Fault(index) => self.fault(self.faults[index]),
            Event::Listed => {
                let id = self.specs[0].id.clone();
                for policy in &mut self.policies {
                    policy.listed_leaving(0, &id, self.now);
                }
            }
            Event::Report => self.report(),
            Event::Tick => self.tick(),
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::FailThird => {
                for index in 0..RUNNERS / 3 {
                    self.runners[index * 3].failing = true;
                }
            }
            Fault::Leave => {
                self.runners[0].leaving = true;
                self.after(LIST_LAG, Event::Listed);
            }
            Fault::Silence => {
                self.silent = self.pools.iter().map(|pools| pools[0].next()).collect();
            }
        }
    }

    fn arrive(&mut self) {
        if self.now >= self.load.end {
            return;
        }
        let gap = -self.rng.random::<f64>().max(1e-12).ln() / self.load.rate_at(self.now);
        self.after(Duration::from_secs_f64(gap), Event::Arrive);
        let id = self.requests.len() as u64;
        let caller = if self.rng.random_bool(0.5) {
            0
        } else {
            self.rng.random_range(1..CALLERS)
        };
        let counted = if self.faults.is_empty() {
            self.now >= self.load.burst.0 && self.now < self.load.burst.1
        } else {
            self.now >= FAULT
        };
        let info = Info {
            caller,
            entry: self.rng.random_range(0..self.load.entries),
            deadline: self.now + Duration::from_millis(self.rng.random_range(300..1500)),
            idempotent: self.rng.random_bool(0.8),
            counted,
            done: false,
        };
        if counted {
            self.tally.requests[caller] += 1.0;
        }
        let (entry, deadline, idempotent) = (info.entry, info.deadline, info.idempotent);
        self.requests.insert(id, info);
        let random = self.rng.random();
        if let Policy::Real(path) = &mut self.policies[entry] {
            let request = Request {
                id,
                service: "gates".into(),
                caller: format!("caller-{caller}").into(),
                class: Class::Urgent,
                deadline,
                idempotent,
                retried: false,
                cost: 1,
            };
            let decision = path.submit(request, self.now, random);
            self.decide(decision, entry);
        } else {
            self.send_plain(id, 1);
        }
    }

    fn decide(&mut self, decision: Decision, entry: usize) {
        match decision {
            Decision::Send(attempt) => self.send(*attempt, entry),
            Decision::Queued(_) => self.drive(entry),
            Decision::Refused(refused) => self.done(refused.id),
        }
    }

    fn done(&mut self, request: u64) {
        if let Some(info) = self.requests.get_mut(&request) {
            info.done = true;
        }
    }

    fn send(&mut self, attempt: Attempt, entry: usize) {
        let id = &attempt.runner.id;
        let runner = self.specs.iter().position(|spec| spec.id == *id);
        let runner = runner.expect("runner is known");
        let (request, timeout) = (attempt.request().id, attempt.timeout);
        self.dispatch(
            request,
            entry,
            runner,
            Handle::Real(Box::new(attempt)),
            timeout,
        );
    }

    fn send_plain(&mut self, request: u64, attempts: u32) {
        let info = &self.requests[&request];
        let (entry, left) = (info.entry, info.deadline.saturating_sub(self.now));
        let random: usize = self.rng.random_range(0..RUNNERS * 1000);
        let Policy::Plain {
            live,
            next,
            attempts: limit,
        } = &mut self.policies[entry]
        else {
            return;
        };
        *next += 1;
        let (runner, timeout) = match self.kind {
            Kind::RoundRobin => (live[*next % live.len()], left),
            _ => (live[random % live.len()], left.min(PLAIN_TIMEOUT)),
        };
        let timeout = if attempts < *limit { timeout } else { left };
        self.dispatch(request, entry, runner, Handle::Plain { attempts }, timeout);
    }

    fn dispatch(
        &mut self,
        request: u64,
        entry: usize,
        runner: usize,
        handle: Handle,
        timeout: Duration,
    ) {
        let (connection, reused) = self.pools[entry][runner].acquire(self.now);
        let counted = self.requests[&request].counted;
        if counted {
            self.tally.attempts += 1.0;
        }
        let late = self.now >= FAULT + Duration::from_secs(3);
        if self.runners[runner].leaving && late {
            self.tally.after_leaving += 1.0;
        }
        let id = self.order;
        self.sent.insert(
            id,
            Sent {
                request,
                entry,
                runner,
                handle: Some(handle),
                connection,
                reused,
                counted,
            },
        );
        self.after(timeout, Event::Timeout(id));
        if runner == 0 && connection < self.silent[entry] {
            let first = *self.first_silent[entry].get_or_insert(self.now);
            let used = self.now.saturating_sub(first).as_secs_f64();
            self.tally.silent += 1.0;
            self.tally.silent_for = self.tally.silent_for.max(used);
        } else {
            self.after(LATENCY, Event::Reach(id));
        }
    }

    fn reach(&mut self, id: u64) {
        let runner = self.sent[&id].runner;
        let state = &mut self.runners[runner];
        if state.leaving {
            self.after(LATENCY, Event::Answer(id, Outcome::RefusedBeforeStart));
        } else if state.failing {
            self.after(LATENCY + FAILURE, Event::Answer(id, Outcome::ServerError));
        } else if state.running < RUNNER_SLOTS as usize {
            self.start(id);
        } else if state.backlog.len() < BACKLOG {
            state.backlog.push_back(id);
        } else {
            self.after(LATENCY, Event::Answer(id, Outcome::ConnectFailed));
        }
    }

    fn start(&mut self, id: u64) {
        let variable = -self.rng.random::<f64>().max(1e-12).ln() * VARIABLE.as_secs_f64();
        let time = FIXED + Duration::from_secs_f64(variable);
        let runner = self.sent[&id].runner;
        self.runners[runner].running += 1;
        self.after(time, Event::Ran(id));
    }

    fn ran(&mut self, id: u64) {
        let runner = self.sent[&id].runner;
        self.runners[runner].running -= 1;
        if let Some(next) = self.runners[runner].backlog.pop_front() {
            self.start(next);
        }
        self.after(LATENCY, Event::Answer(id, Outcome::Success));
    }

    fn answer(&mut self, id: u64, outcome: Outcome) {
        let sent = &self.sent[&id];
        // A request in flight when its connection goes silent gets no answer.
        if sent.runner == 0 && sent.connection < self.silent[sent.entry] {
            return;
        }
        let info = &self.requests[&sent.request];
        let late = self.now > info.deadline;
        if sent.counted && outcome == Outcome::Success {
            self.tally.answers += 1.0;
            self.tally.overdue += f64::from(u8::from(late));
            if !late && !info.done && sent.handle.is_some() {
                self.tally.answered[info.caller] += 1.0;
            }
        }
        if sent.counted
            && matches!(
                outcome,
                Outcome::RefusedBeforeStart | Outcome::ConnectFailed
            )
        {
            self.tally.refused += 1.0;
        }
        let (entry, runner, connection) = (sent.entry, sent.runner, sent.connection);
        if sent.handle.is_some() {
            self.pools[entry][runner].release(connection, self.now);
        }
        self.end(id, outcome);
    }

    fn timeout(&mut self, id: u64) {
        let sent = &self.sent[&id];
        if sent.handle.is_none() {
            return;
        }
        let outcome = if sent.reused {
            Outcome::SilentReused
        } else {
            Outcome::SilentNew
        };
        let (entry, runner, connection) = (sent.entry, sent.runner, sent.connection);
        self.pools[entry][runner].silent(connection);
        self.end(id, outcome);
    }

    /// Reports the end of an attempt to its policy.
    fn end(&mut self, id: u64, outcome: Outcome) {
        let Some(sent) = self.sent.get_mut(&id) else {
            return;
        };
        let Some(handle) = sent.handle.take() else {
            return;
        };
        let (request, entry) = (sent.request, sent.entry);
        let random = self.rng.random();
        match (handle, &mut self.policies[entry]) {
            (Handle::Real(attempt), Policy::Real(path)) => {
                match path.finish(*attempt, outcome, self.now, random) {
                    AttemptEnd::Retry(at, _, retry) => {
                        self.waiting.insert(request, Waiting::Real(retry));
                        self.at(at, Event::Retry(request));
                    }
                    AttemptEnd::Answered | AttemptEnd::Failed(..) => self.done(request),
                }
                self.drive(entry);
            }
            (
                Handle::Plain { attempts },
                Policy::Plain {
                    attempts: limit, ..
                },
            ) => {
                let info = &self.requests[&request];
                let again = outcome != Outcome::Success
                    && attempts < *limit
                    && (info.idempotent || outcome.did_not_run())
                    && self.now < info.deadline;
                if again {
                    let waiting = Waiting::Plain {
                        attempts: attempts + 1,
                    };
                    self.waiting.insert(request, waiting);
                    self.after(Duration::ZERO, Event::Retry(request));
                } else {
                    self.done(request);
                }
            }
            _ => unreachable!("handles belong to their policy"),
        }
    }

    fn retry(&mut self, request: u64) {
        let entry = self.requests[&request].entry;
        match self.waiting.remove(&request) {
            Some(Waiting::Plain { attempts }) => self.send_plain(request, attempts),
            Some(Waiting::Real(retry)) => {
                let random = self.rng.random();
                if let Policy::Real(path) = &mut self.policies[entry] {
                    let decision = path.retry(*retry, self.now, random);
                    self.decide(decision, entry);
                }
            }
            None => {}
        }
    }

    /// Sends what a policy has room for and drops what it gave up.
    fn drive(&mut self, entry: usize) {
        loop {
            let random = self.rng.random();
            let Policy::Real(path) = &mut self.policies[entry] else {
                return;
            };
            let next = path.next_attempt(self.now, random);
            let refused = path.take_refused();
            for refused in refused {
                self.done(refused.id);
            }
            let Some(attempt) = next else {
                return;
            };
            self.send(attempt, entry);
        }
    }

    fn report(&mut self) {
        if self.now < self.load.end {
            self.after(Duration::from_secs(1), Event::Report);
        }
        for from in 0..ENTRIES {
            let Policy::Real(path) = &self.policies[from] else {
                return;
            };
            let report = path.router.load_report(self.now);
            let id = self.entries[from].id.clone();
            for (to, policy) in self.policies.iter_mut().enumerate() {
                if let Policy::Real(path) = policy
                    && to != from
                {
                    path.router.apply_load_report(&id, report.clone(), self.now);
                }
            }
        }
    }

    fn tick(&mut self) {
        if self.now < self.load.end + Duration::from_secs(2) {
            self.after(Duration::from_millis(10), Event::Tick);
        }
        for entry in 0..ENTRIES {
            if let Policy::Real(path) = &mut self.policies[entry] {
                path.tick(self.now);
            }
            self.drive(entry);
        }
    }
}

/// Spreads a counter over 64 bits, as a random number that is the same in every run.
pub fn mix(seed: u64) -> u64 {
    let mixed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
