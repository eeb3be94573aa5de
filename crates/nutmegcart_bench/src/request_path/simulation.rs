//! Discrete-event simulation of a deployment in virtual time.

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

use super::policy::AttemptHandle;
use super::policy::ConnectionPool;
use super::policy::DelayedRetry;
use super::policy::Policy;
use super::policy::PolicyKind;
use super::scenario::ArrivalPattern;
use super::scenario::CALLERS;
use super::scenario::ENTRY_INSTANCES;
use super::scenario::Fault;
use super::scenario::RunStats;

/// Names of the data centres.
const CENTRES: [&str; 4] = ["a", "b", "c", "d"];

/// Runners per service.
const RUNNERS_PER_SERVICE: usize = 10;

/// Number of requests beyond its slots that a runner keeps waiting.
const BACKLOG_LIMIT: usize = 56;

/// Network latency between entry instance and runner, in one direction.
const ONE_WAY_LATENCY: Duration = Duration::from_micros(500);

/// Minimum service time of a request. An exponentially distributed part with mean
/// [`MEAN_EXTRA_SERVICE_TIME`] comes on top.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(20);

/// Mean of the variable part of the service time.
const MEAN_EXTRA_SERVICE_TIME: Duration = Duration::from_millis(80);

/// Time until a failing runner answers with an error.
const ERROR_RESPONSE_TIME: Duration = Duration::from_millis(2);

/// Time at which the faults are injected.
const FAULT_TIME: Duration = Duration::from_secs(10);

/// Time until the instance list shows that a runner is draining.
const LIST_LAG: Duration = Duration::from_secs(15);

/// First-byte timeout of every attempt under random choice except the last.
const RANDOM_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    RequestArrival,
    /// An attempt arrives at its runner.
    RunnerReceives(u64),
    /// A runner finishes executing an attempt.
    RunEnds(u64),
    /// The answer to an attempt arrives at the entry instance.
    AnswerArrives(u64, Outcome),
    /// The first byte of an answer did not arrive in time.
    AttemptTimeout(u64),
    /// The backoff of a request ends.
    Retry(u64),
    Fault(usize),
    /// The instance list shows runner 0 as draining.
    ListUpdate,
    /// All entry instances exchange their load reports.
    LoadReports,
    Tick,
}

#[derive(Default)]
struct RunnerState {
    running: usize,
    backlog: VecDeque<u64>,
    failing: bool,
    draining: bool,
}

struct SentAttempt {
    request: u64,
    entry: usize,
    runner: usize,
    /// `None` after the answer or the time-out, whichever came first.
    handle: Option<AttemptHandle>,
    connection: ConnectionId,
    reused: bool,
    counted: bool,
}

struct RequestState {
    caller: usize,
    entry: usize,
    deadline: Duration,
    idempotent: bool,
    counted: bool,
    done: bool,
}

/// State of the simulated deployment, its pending events and the statistics.
pub struct RequestSimulation {
    rng: SmallRng,
    kind: PolicyKind,
    arrivals: ArrivalPattern,
    faults: Vec<Fault>,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    specs: Vec<RunnerSpec>,
    entries: Vec<EntrySpec>,
    runners: Vec<RunnerState>,
    policies: Vec<Policy>,
    connections: Vec<Vec<ConnectionPool>>,
    /// Connections to runner 0 with identifiers below this one are silent, by entry instance.
    silent_below: Vec<ConnectionId>,
    /// Time of the first attempt on a silent connection, by entry instance.
    first_use: Vec<Option<Duration>>,
    requests: HashMap<u64, RequestState>,
    attempts: HashMap<u64, SentAttempt>,
    retries: HashMap<u64, DelayedRetry>,
    stats: RunStats,
}

impl RequestSimulation {
    pub fn new(seed: u64, kind: PolicyKind, arrivals: &ArrivalPattern, faults: &[Fault]) -> Self {
        let specs: Vec<RunnerSpec> = ["gates", "portal"]
            .iter()
            .flat_map(|service| (0..RUNNERS_PER_SERVICE).map(move |index| (service, index)))
            .map(|(service, index)| RunnerSpec {
                id: format!("{service}-{index}").into(),
                centre: CENTRES[index % CENTRES.len()].into(),
                service: (*service).into(),
            })
            .collect();
        let entries: Vec<EntrySpec> = (0..ENTRY_INSTANCES)
            .map(|index| EntrySpec {
                id: format!("entry-{index}").into(),
                centre: CENTRES[index % CENTRES.len()].into(),
            })
            .collect();
        // The baselines do not use a spare pool, only the runners of the service itself.
        let visible = if kind == PolicyKind::RequestPath {
            &specs[..]
        } else {
            &specs[..RUNNERS_PER_SERVICE]
        };
        let policies = (0..ENTRY_INSTANCES).map(|own| Policy::new(kind, own, &entries, visible));
        let mut simulation = Self {
            rng: SmallRng::seed_from_u64(seed),
            kind,
            arrivals: *arrivals,
            faults: faults.to_vec(),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            runners: specs.iter().map(|_| RunnerState::default()).collect(),
            policies: policies.collect(),
            connections: (0..ENTRY_INSTANCES)
                .map(|_| specs.iter().map(|_| ConnectionPool::new(kind)).collect())
                .collect(),
            specs,
            entries,
            silent_below: vec![0; ENTRY_INSTANCES],
            first_use: vec![None; ENTRY_INSTANCES],
            requests: HashMap::new(),
            attempts: HashMap::new(),
            retries: HashMap::new(),
            stats: RunStats::default(),
        };
        for index in 0..faults.len() {
            simulation.schedule_at(FAULT_TIME, Event::Fault(index));
        }
        simulation.schedule_at(Duration::ZERO, Event::RequestArrival);
        simulation.schedule_at(Duration::ZERO, Event::LoadReports);
        simulation.schedule_at(Duration::ZERO, Event::Tick);
        simulation
    }

    /// Runs until no event is pending, so that every request has ended.
    pub fn run(mut self) -> RunStats {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.process_event(event);
        }
        self.stats
    }

    fn schedule_at(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn process_event(&mut self, event: Event) {
        match event {
            Event::RequestArrival => self.request_arrives(),
            Event::RunnerReceives(id) => self.runner_receives(id),
            Event::RunEnds(id) => self.run_ends(id),
            Event::AnswerArrives(id, outcome) => self.answer_arrives(id, outcome),
            Event::AttemptTimeout(id) => self.attempt_times_out(id),
            Event::Retry(request) => self.retry(request),
            Event::Fault(index) => self.inject_fault(self.faults[index]),
            Event::ListUpdate => {
                let id = self.specs[0].id.clone();
                for policy in &mut self.policies {
                    policy.set_listed_draining(0, &id, self.now);
                }
            }
            Event::LoadReports => self.exchange_load_reports(),
            Event::Tick => self.tick(),
        }
    }

    fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::FailThirdOfRunners => {
                for index in 0..RUNNERS_PER_SERVICE / 3 {
                    self.runners[index * 3].failing = true;
                }
            }
            Fault::DrainRunner => {
                self.runners[0].draining = true;
                self.schedule_after(LIST_LAG, Event::ListUpdate);
            }
            Fault::SilenceConnections => {
                self.silent_below = self
                    .connections
                    .iter()
                    .map(|pools| pools[0].next_id())
                    .collect();
            }
        }
    }

    fn request_arrives(&mut self) {
        if self.now >= self.arrivals.end {
            return;
        }
        let interval = -self.rng.random::<f64>().max(1e-12).ln() / self.arrivals.rate_at(self.now);
        self.schedule_after(Duration::from_secs_f64(interval), Event::RequestArrival);
        let id = self.requests.len() as u64;
        let caller = if self.rng.random_bool(0.5) {
            0
        } else {
            self.rng.random_range(1..CALLERS)
        };
        let counted = if self.faults.is_empty() {
            self.now >= self.arrivals.burst.0 && self.now < self.arrivals.burst.1
        } else {
            self.now >= FAULT_TIME
        };
        let state = RequestState {
            caller,
            entry: self.rng.random_range(0..self.arrivals.entry_instances),
            deadline: self.now + Duration::from_millis(self.rng.random_range(300..1500)),
            idempotent: self.rng.random_bool(0.8),
            counted,
            done: false,
        };
        if counted {
            self.stats.requests[caller] += 1.0;
        }
        let (entry, deadline, idempotent) = (state.entry, state.deadline, state.idempotent);
        self.requests.insert(id, state);
        let random = self.rng.random();
        if let Policy::RequestPath(path) = &mut self.policies[entry] {
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
            self.apply_decision(decision, entry);
        } else {
            self.send_baseline(id, 1);
        }
    }

    fn apply_decision(&mut self, decision: Decision, entry: usize) {
        match decision {
            Decision::Send(attempt) => self.send(*attempt, entry),
            Decision::Queued(_) => self.send_queued(entry),
            Decision::Refused(refused) => self.mark_done(refused.id),
        }
    }

    fn mark_done(&mut self, request: u64) {
        if let Some(state) = self.requests.get_mut(&request) {
            state.done = true;
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
            AttemptHandle::RequestPath(Box::new(attempt)),
            timeout,
        );
    }

    fn send_baseline(&mut self, request: u64, attempts: u32) {
        let state = &self.requests[&request];
        let (entry, left) = (state.entry, state.deadline.saturating_sub(self.now));
        let random: usize = self.rng.random_range(0..RUNNERS_PER_SERVICE * 1000);
        let Policy::Baseline {
            runners,
            next_runner,
            max_attempts,
        } = &mut self.policies[entry]
        else {
            return;
        };
        *next_runner += 1;
        let (runner, timeout) = match self.kind {
            PolicyKind::RoundRobin => (runners[*next_runner % runners.len()], left),
            _ => (
                runners[random % runners.len()],
                left.min(RANDOM_FIRST_BYTE_TIMEOUT),
            ),
        };
        let timeout = if attempts < *max_attempts {
            timeout
        } else {
            left
        };
        self.dispatch(
            request,
            entry,
            runner,
            AttemptHandle::Baseline { attempts },
            timeout,
        );
    }

    fn dispatch(
        &mut self,
        request: u64,
        entry: usize,
        runner: usize,
        handle: AttemptHandle,
        timeout: Duration,
    ) {
        let (connection, reused) = self.connections[entry][runner].acquire(self.now);
        let counted = self.requests[&request].counted;
        if counted {
            self.stats.attempts += 1.0;
        }
        let late = self.now >= FAULT_TIME + Duration::from_secs(3);
        if self.runners[runner].draining && late {
            self.stats.draining_attempts += 1.0;
        }
        let id = self.sequence;
        self.attempts.insert(
            id,
            SentAttempt {
                request,
                entry,
                runner,
                handle: Some(handle),
                connection,
                reused,
                counted,
            },
        );
        self.schedule_after(timeout, Event::AttemptTimeout(id));
        if runner == 0 && connection < self.silent_below[entry] {
            let first = *self.first_use[entry].get_or_insert(self.now);
            let used = self.now.saturating_sub(first).as_secs_f64();
            self.stats.silent_attempts += 1.0;
            self.stats.silent_seconds = self.stats.silent_seconds.max(used);
        } else {
            self.schedule_after(ONE_WAY_LATENCY, Event::RunnerReceives(id));
        }
    }

    fn runner_receives(&mut self, id: u64) {
        let runner = self.attempts[&id].runner;
        let state = &mut self.runners[runner];
        if state.draining {
            self.schedule_after(
                ONE_WAY_LATENCY,
                Event::AnswerArrives(id, Outcome::RefusedBeforeStart),
            );
        } else if state.failing {
            self.schedule_after(
                ONE_WAY_LATENCY + ERROR_RESPONSE_TIME,
                Event::AnswerArrives(id, Outcome::ServerError),
            );
        } else if state.running < RUNNER_SLOTS as usize {
            self.start_run(id);
        } else if state.backlog.len() < BACKLOG_LIMIT {
            state.backlog.push_back(id);
        } else {
            self.schedule_after(
                ONE_WAY_LATENCY,
                Event::AnswerArrives(id, Outcome::ConnectFailed),
            );
        }
    }

    fn start_run(&mut self, id: u64) {
        let variable =
            -self.rng.random::<f64>().max(1e-12).ln() * MEAN_EXTRA_SERVICE_TIME.as_secs_f64();
        let time = MIN_SERVICE_TIME + Duration::from_secs_f64(variable);
        let runner = self.attempts[&id].runner;
        self.runners[runner].running += 1;
        self.schedule_after(time, Event::RunEnds(id));
    }

    fn run_ends(&mut self, id: u64) {
        let runner = self.attempts[&id].runner;
        self.runners[runner].running -= 1;
        if let Some(next) = self.runners[runner].backlog.pop_front() {
            self.start_run(next);
        }
        self.schedule_after(ONE_WAY_LATENCY, Event::AnswerArrives(id, Outcome::Success));
    }

    fn answer_arrives(&mut self, id: u64, outcome: Outcome) {
        let sent = &self.attempts[&id];
        // An attempt in flight when its connection goes silent gets no answer.
        if sent.runner == 0 && sent.connection < self.silent_below[sent.entry] {
            return;
        }
        let state = &self.requests[&sent.request];
        let late = self.now > state.deadline;
        if sent.counted && outcome == Outcome::Success {
            self.stats.runner_answers += 1.0;
            self.stats.late_answers += f64::from(u8::from(late));
            if !late && !state.done && sent.handle.is_some() {
                self.stats.useful_answers[state.caller] += 1.0;
            }
        }
        if sent.counted
            && matches!(
                outcome,
                Outcome::RefusedBeforeStart | Outcome::ConnectFailed
            )
        {
            self.stats.refused_attempts += 1.0;
        }
        let (entry, runner, connection) = (sent.entry, sent.runner, sent.connection);
        if sent.handle.is_some() {
            self.connections[entry][runner].release(connection, self.now);
        }
        self.end_attempt(id, outcome);
    }

    fn attempt_times_out(&mut self, id: u64) {
        let sent = &self.attempts[&id];
        if sent.handle.is_none() {
            return;
        }
        let outcome = if sent.reused {
            Outcome::SilentReused
        } else {
            Outcome::SilentNew
        };
        let (entry, runner, connection) = (sent.entry, sent.runner, sent.connection);
        self.connections[entry][runner].remove_unresponsive(connection);
        self.end_attempt(id, outcome);
    }

    /// Reports the outcome of an attempt to the policy and schedules a retry if there is one.
    fn end_attempt(&mut self, id: u64, outcome: Outcome) {
        let Some(sent) = self.attempts.get_mut(&id) else {
            return;
        };
        let Some(handle) = sent.handle.take() else {
            return;
        };
        let (request, entry) = (sent.request, sent.entry);
        let random = self.rng.random();
        match (handle, &mut self.policies[entry]) {
            (AttemptHandle::RequestPath(attempt), Policy::RequestPath(path)) => {
                match path.finish(*attempt, outcome, self.now, random) {
                    AttemptEnd::Retry(at, _, retry) => {
                        self.retries
                            .insert(request, DelayedRetry::RequestPath(retry));
                        self.schedule_at(at, Event::Retry(request));
                    }
                    AttemptEnd::Answered | AttemptEnd::Failed(..) => self.mark_done(request),
                }
                self.send_queued(entry);
            }
            (AttemptHandle::Baseline { attempts }, Policy::Baseline { max_attempts, .. }) => {
                let state = &self.requests[&request];
                let again = outcome != Outcome::Success
                    && attempts < *max_attempts
                    && (state.idempotent || outcome.did_not_run())
                    && self.now < state.deadline;
                if again {
                    let retry = DelayedRetry::Baseline {
                        attempts: attempts + 1,
                    };
                    self.retries.insert(request, retry);
                    self.schedule_after(Duration::ZERO, Event::Retry(request));
                } else {
                    self.mark_done(request);
                }
            }
            _ => unreachable!("handles belong to their policy"),
        }
    }

    fn retry(&mut self, request: u64) {
        let entry = self.requests[&request].entry;
        match self.retries.remove(&request) {
            Some(DelayedRetry::Baseline { attempts }) => self.send_baseline(request, attempts),
            Some(DelayedRetry::RequestPath(retry)) => {
                let random = self.rng.random();
                if let Policy::RequestPath(path) = &mut self.policies[entry] {
                    let decision = path.retry(*retry, self.now, random);
                    self.apply_decision(decision, entry);
                }
            }
            None => {}
        }
    }

    /// Sends the queued requests that can start now and ends those that the policy refused.
    fn send_queued(&mut self, entry: usize) {
        loop {
            let random = self.rng.random();
            let Policy::RequestPath(path) = &mut self.policies[entry] else {
                return;
            };
            let next = path.next_attempt(self.now, random);
            let refused = path.take_refused();
            for refused in refused {
                self.mark_done(refused.id);
            }
            let Some(attempt) = next else {
                return;
            };
            self.send(attempt, entry);
        }
    }

    fn exchange_load_reports(&mut self) {
        if self.now < self.arrivals.end {
            self.schedule_after(Duration::from_secs(1), Event::LoadReports);
        }
        for from in 0..ENTRY_INSTANCES {
            let Policy::RequestPath(path) = &self.policies[from] else {
                return;
            };
            let report = path.router.load_report(self.now);
            let id = self.entries[from].id.clone();
            for (to, policy) in self.policies.iter_mut().enumerate() {
                if let Policy::RequestPath(path) = policy
                    && to != from
                {
                    path.router.apply_load_report(&id, report.clone(), self.now);
                }
            }
        }
    }

    fn tick(&mut self) {
        if self.now < self.arrivals.end + Duration::from_secs(2) {
            self.schedule_after(Duration::from_millis(10), Event::Tick);
        }
        for entry in 0..ENTRY_INSTANCES {
            if let Policy::RequestPath(path) = &mut self.policies[entry] {
                path.tick(self.now);
            }
            self.send_queued(entry);
        }
    }
}

/// Returns a pseudo-random number for a counter value, the same in every run (the finaliser of
/// `SplitMix64`).
pub fn pseudo_random(seed: u64) -> u64 {
    let bits = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
