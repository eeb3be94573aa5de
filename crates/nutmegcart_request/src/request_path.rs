//! The request path of one entry instance: admission, routing, retries and ejection together.
//!
//! The caller of this module performs the I/O. It announces requests with [`RequestPath::submit`], carries
//! out every [`Attempt`] that it receives, reports its end with [`RequestPath::finish`], takes further
//! attempts with [`RequestPath::next_attempt`], and looks for dropped requests with [`RequestPath::take_refused`].

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use nutmegcart_model::CallerName;
use nutmegcart_model::Code;
use nutmegcart_model::InstanceId;
use nutmegcart_model::ServiceName;

use crate::admission::Class;
use crate::admission::Queue;
use crate::admission::QueueSettings;
use crate::admission::QueuedRequest;
use crate::admission::RefusalReason;
use crate::admission::Throughput;
use crate::ejector::EjectionChange;
use crate::load::LatencyEstimate;
use crate::outcome::Outcome;
use crate::retry::FailedAttempt;
use crate::retry::RetryBudget;
use crate::retry::RetryDenial;
use crate::retry::RetryReason;
use crate::retry::RetrySettings;
use crate::router::Router;
use crate::router::RouterSettings;
use crate::router::RoutingScope;
use crate::router::RunnerCriteria;
use crate::router::SelectedRunner;
use crate::share::EntrySpec;

/// Deviations of the time on a runner beyond its mean that must remain when a waiting request is
/// sent.
///
/// Requests are ordered by deadline, so in a long queue every one is sent when little time is left.
/// Sending one whose answer will probably be late costs a slot that another could use.
const LATENESS: f64 = 2.0;

/// Settings of the request path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestPathSettings {
    /// Routing and ejection.
    pub router: RouterSettings,
    /// Queue of each service.
    pub queue: QueueSettings,
    /// Retries of each service.
    pub retry: RetrySettings,
    /// First guess of the time of a request on a runner.
    pub initial_estimate: Duration,
    /// Shortest time for which the first byte of an answer is awaited.
    pub min_timeout: Duration,
}

impl Default for RequestPathSettings {
    fn default() -> Self {
        Self {
            router: RouterSettings::default(),
            queue: QueueSettings::default(),
            retry: RetrySettings::default(),
            initial_estimate: Duration::from_millis(50),
            min_timeout: Duration::from_millis(250),
        }
    }
}

/// A request of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Identifier, unique within the entry instance.
    pub id: u64,
    /// Service addressed.
    pub service: ServiceName,
    /// Unit of fairness.
    pub caller: CallerName,
    /// Class.
    pub class: Class,
    /// Time by which the answer must arrive.
    pub deadline: Duration,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether another layer already retried the request.
    pub retried: bool,
    /// Expected work in multiples of an ordinary request.
    pub cost: u32,
}

/// A request with what its earlier attempts left behind.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Progress {
    request: Request,
    attempts: u32,
    avoid: Option<InstanceId>,
    /// The last outcome after which the request may have run.
    doubt: Option<Outcome>,
}

/// One attempt to be carried out.
#[derive(Debug)]
pub struct Attempt {
    progress: Progress,
    service: usize,
    /// The runner.
    pub runner: SelectedRunner,
    /// Time at which the attempt began.
    pub started: Duration,
    /// Time for which the first byte of the answer is awaited.
    pub timeout: Duration,
}

impl Attempt {
    /// Returns the request.
    #[must_use]
    pub fn request(&self) -> &Request {
        &self.progress.request
    }

    /// Returns the number of the attempt, 1 for the first.
    #[must_use]
    pub fn number(&self) -> u32 {
        self.progress.attempts
    }

    /// Returns the time that remains for the answer.
    #[must_use]
    pub fn remaining(&self, now: Duration) -> Duration {
        self.progress.request.deadline.saturating_sub(now)
    }
}

/// What to do with a request.
#[derive(Debug)]
pub enum Decision {
    /// Carry out the attempt.
    Send(Box<Attempt>),
    /// Wait for [`RequestPath::next_attempt`] or [`RequestPath::take_refused`] to return the request.
    Queued(u64),
    /// Answer the caller.
    Refused(RefusedRequest),
}

/// A request that will not be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RefusedRequest {
    /// The request.
    pub id: u64,
    /// The reason.
    pub refusal: RefusalReason,
    /// The code for the caller: that of an earlier attempt if the request may have run.
    pub code: Code,
}

/// What follows from the end of an attempt.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The answer goes to the caller.
    Answered,
    /// Pass the retry to [`RequestPath::retry`] at the given time.
    Retry(Duration, RetryReason, Box<PendingRetry>),
    /// The request failed; the code is for the caller.
    Failed(Code, RetryDenial),
}

/// A retry that waits for the end of its backoff.
#[derive(Debug)]
pub struct PendingRetry {
    progress: Progress,
    service: usize,
}

/// Counts since the start of the process.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Requests that arrived.
    pub requests: u64,
    /// Attempts begun.
    pub attempts: u64,
    /// Attempts on borrowed runners.
    pub borrowed: u64,
    /// Requests refused or dropped.
    pub refusals: BTreeMap<RefusalReason, u64>,
    /// Retries.
    pub retries: BTreeMap<RetryReason, u64>,
    /// Failed requests that were not retried.
    pub denials: BTreeMap<RetryDenial, u64>,
    /// Runners ejected.
    pub ejected: u64,
    /// Ejected runners that returned.
    pub returned: u64,
}

impl PendingRetry {
    /// Returns the service addressed.
    #[must_use]
    pub fn service_name(&self) -> &ServiceName {
        &self.progress.request.service
    }
}

#[derive(Debug)]
struct Lane {
    queue: Queue,
    budget: RetryBudget,
    estimate: LatencyEstimate,
    waiting: HashMap<u64, Progress>,
}

/// The request path of one entry instance.
#[derive(Debug)]
pub struct RequestPath {
    settings: RequestPathSettings,
    /// Routing state, for the roster, the pool map, the instance list and load reports.
    pub router: Router,
    /// Counts since the start of the process.
    pub counters: Counters,
    lanes: Vec<Lane>,
    /// Services with waiting requests, in the order of their turns.
    turns: VecDeque<usize>,
    refused: Vec<RefusedRequest>,
    draining: bool,
}

impl RequestPath {
    /// Creates a request path without runners.
    #[must_use]
    pub fn new(settings: RequestPathSettings, own: EntrySpec) -> Self {
        Self {
            settings,
            router: Router::new(settings.router, own),
            counters: Counters::default(),
            lanes: Vec::new(),
            turns: VecDeque::new(),
            refused: Vec::new(),
            draining: false,
        }
    }

    /// Refuses every further request; admitted ones are finished.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Decides on a new request.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_request::admission::{Class, RefusalReason};
    /// # use nutmegcart_request::request_path::{Decision, RequestPath, RequestPathSettings, Request};
    /// # use nutmegcart_request::share::EntrySpec;
    /// let own = EntrySpec { id: "entry-1".into(), centre: "suva".into() };
    /// let mut path = RequestPath::new(RequestPathSettings::default(), own);
    /// let request = Request {
    ///     id: 1,
    ///     service: "gates".into(),
    ///     caller: "ferry".into(),
    ///     class: Class::Urgent,
    ///     deadline: Duration::from_secs(1),
    ///     idempotent: true,
    ///     retried: false,
    ///     cost: 1,
    /// };
    /// let Decision::Refused(refused) = path.submit(request, Duration::ZERO, 0) else {
    ///     panic!("there is no such service");
    /// };
    /// assert_eq!(refused.refusal, RefusalReason::UnknownService);
    /// ```
    pub fn submit(&mut self, request: Request, now: Duration, random: u64) -> Decision {
        self.counters.requests += 1;
        let service = self.router.find(&request.service);
        let progress = Progress {
            request,
            attempts: 0,
            avoid: None,
            doubt: None,
        };
        if self.draining {
            return Decision::Refused(self.refuse(&progress, RefusalReason::ShuttingDown));
        }
        let Some(service) = service else {
            return Decision::Refused(self.refuse(&progress, RefusalReason::UnknownService));
        };
        self.lane(service).budget.deposit();
        self.admit(progress, service, now, random)
    }

    /// Sends a retry whose backoff has ended, or queues it.
    pub fn retry(&mut self, retry: PendingRetry, now: Duration, random: u64) -> Decision {
        self.admit(retry.progress, retry.service, now, random)
    }

    /// Takes a waiting request for which a runner has room.
    pub fn next_attempt(&mut self, now: Duration, random: u64) -> Option<Attempt> {
        self.router.apply_timers(now);
        for _ in 0..self.turns.len() {
            let service = self.turns.pop_front()?;
            let attempt = self.pop(service, now, random);
            if !self.lanes[service].queue.is_empty() {
                self.turns.push_back(service);
            }
            self.mark(service);
            if attempt.is_some() {
                return attempt;
            }
        }
        None
    }

    /// Ends an attempt.
    pub fn finish(
        &mut self,
        attempt: Attempt,
        outcome: Outcome,
        now: Duration,
        random: u64,
    ) -> AttemptEnd {
        let Attempt {
            mut progress,
            service,
            runner,
            started,
            ..
        } = attempt;
        match self.router.finish(&runner, outcome, started, now, random) {
            EjectionChange::None => {}
            EjectionChange::Ejected(_) => self.counters.ejected += 1,
            EjectionChange::Returned => self.counters.returned += 1,
        }
        if outcome == Outcome::Success {
            let lane = self.lane(service);
            lane.estimate.add(now.saturating_sub(started));
        }
        if matches!(outcome, Outcome::Success | Outcome::Cancelled) {
            return AttemptEnd::Answered;
        }
        let failed = FailedAttempt {
            outcome,
            idempotent: progress.request.idempotent,
            already_retried: progress.request.retried,
            attempts: progress.attempts,
            deadline: progress.request.deadline,
        };
        if !outcome.did_not_run() {
            progress.doubt = Some(outcome);
        }
        match self.lane(service).budget.decide(failed, now, random) {
            Ok((at, reason)) => {
                *self.counters.retries.entry(reason).or_default() += 1;
                progress.avoid = Some(runner.id);
                AttemptEnd::Retry(at, reason, Box::new(PendingRetry { progress, service }))
            }
            Err(denial) => {
                *self.counters.denials.entry(denial).or_default() += 1;
                let code = progress.doubt.unwrap_or(outcome).code();
                // A whole answer goes to the caller even if it reports a failure.
                if outcome == Outcome::ServerError {
                    return AttemptEnd::Answered;
                }
                AttemptEnd::Failed(code, denial)
            }
        }
    }

    /// Removes a waiting request whose caller went away; returns whether it was waiting.
    pub fn cancel(&mut self, service: &ServiceName, id: u64) -> bool {
        let Some(service) = self.router.find(service) else {
            return false;
        };
        let lane = self.lane(service);
        lane.waiting.remove(&id);
        let found = lane.queue.cancel(id).is_some();
        self.mark(service);
        found
    }

    /// Drops requests whose deadline has passed and applies what became due.
    pub fn tick(&mut self, now: Duration) {
        self.router.apply_timers(now);
        for service in 0..self.lanes.len() {
            for request in self.lanes[service].queue.expire(now) {
                self.drop_waiting(service, request.id, RefusalReason::DeadlinePassed);
            }
            self.mark(service);
        }
    }

    /// Takes the waiting requests that were dropped.
    pub fn take_refused(&mut self) -> Vec<RefusedRequest> {
        std::mem::take(&mut self.refused)
    }

    /// Returns the number of waiting requests of a service.
    #[must_use]
    pub fn waiting(&self, service: &ServiceName) -> usize {
        let lane = self
            .router
            .find(service)
            .and_then(|index| self.lanes.get(index));
        lane.map_or(0, |lane| lane.queue.len())
    }

    fn admit(
        &mut self,
        progress: Progress,
        service: usize,
        now: Duration,
        random: u64,
    ) -> Decision {
        let request = &progress.request;
        if request.deadline <= now {
            return Decision::Refused(self.refuse(&progress, RefusalReason::DeadlinePassed));
        }
        let reach = self.reach(service, request.idempotent);
        if self.lane(service).queue.is_empty() {
            let wish = RunnerCriteria {
                scope: reach,
                avoid: progress.avoid.as_ref(),
                at_most_once: !request.idempotent,
            };
            if let Some(runner) = self.router.choose(service, wish, now, random) {
                return Decision::Send(Box::new(self.begin(progress, service, runner, now)));
            }
        }
        if self.router.usable(service, reach) == 0 {
            return Decision::Refused(self.refuse(&progress, RefusalReason::NoRunner));
        }
        self.enqueue(progress, service, now)
    }

    fn enqueue(&mut self, progress: Progress, service: usize, now: Duration) -> Decision {
        let request = &progress.request;
        let waiting = QueuedRequest {
            id: request.id,
            caller: request.caller.clone(),
            class: request.class,
            deadline: request.deadline,
            allow_remote: request.idempotent,
            cost: request.cost,
        };
        let slots = self.router.slots(service);
        let lane = self.lane(service);
        let pace = Throughput {
            slots,
            mean_time: lane.estimate.mean(),
        };
        match lane.queue.offer(waiting, pace, now) {
            Ok(dropped) => {
                let id = progress.request.id;
                lane.waiting.insert(id, progress);
                if let Some(dropped) = dropped {
                    self.drop_waiting(service, dropped.id, RefusalReason::FairShare);
                }
                if !self.turns.contains(&service) {
                    self.turns.push_back(service);
                }
                self.mark(service);
                Decision::Queued(id)
            }
            Err(refusal) => Decision::Refused(self.refuse(&progress, refusal)),
        }
    }

    /// Takes one waiting request of a service if a runner has room for it.
    fn pop(&mut self, service: usize, now: Duration, random: u64) -> Option<Attempt> {
        let home = self.reach(service, false);
        let travelling_only = !self.router.has_room(service, home);
        if travelling_only && !self.router.has_room(service, RoutingScope::Global) {
            return None;
        }
        let lane = self.lane(service);
        let needed = lane.estimate.with_margin(LATENESS);
        let mut dropped = Vec::new();
        let request = lane.queue.pop(travelling_only, needed, now, &mut dropped);
        for (request, refusal) in dropped {
            self.drop_waiting(service, request.id, refusal);
        }
        let request = request?;
        let reach = self.reach(service, request.allow_remote);
        let avoid = self.lanes[service].waiting.get(&request.id);
        let avoid = avoid.and_then(|progress| progress.avoid.clone());
        let wish = RunnerCriteria {
            scope: reach,
            avoid: avoid.as_ref(),
            at_most_once: !request.allow_remote,
        };
        let chosen = self.router.choose(service, wish, now, random);
        let Some(runner) = chosen else {
            self.drop_waiting(service, request.id, RefusalReason::NoRunner);
            return None;
        };
        let progress = self.lane(service).waiting.remove(&request.id)?;
        Some(self.begin(progress, service, runner, now))
    }

    fn begin(
        &mut self,
        mut progress: Progress,
        service: usize,
        runner: SelectedRunner,
        now: Duration,
    ) -> Attempt {
        self.counters.attempts += 1;
        self.counters.borrowed += u64::from(runner.is_borrowed());
        progress.attempts += 1;
        let request = &progress.request;
        let remaining = request.deadline.saturating_sub(now);
        let last = progress.attempts >= self.settings.retry.max_attempts || request.retried;
        let timeout = if request.idempotent && !last {
            let patience = self.settings.min_timeout;
            remaining.min(self.lane(service).estimate.upper_bound().max(patience))
        } else {
            remaining
        };
        Attempt {
            progress,
            service,
            runner,
            started: now,
            timeout,
        }
    }

    /// Returns where requests may be sent.
    ///
    /// Requests that may run only once stay in the data centre, where answers are lost least
    /// often, as long as it has a usable runner.
    fn reach(&self, service: usize, travels: bool) -> RoutingScope {
        if travels || self.router.usable(service, RoutingScope::Local) == 0 {
            RoutingScope::Global
        } else {
            RoutingScope::Local
        }
    }

    fn refuse(&mut self, progress: &Progress, refusal: RefusalReason) -> RefusedRequest {
        *self.counters.refusals.entry(refusal).or_default() += 1;
        RefusedRequest {
            id: progress.request.id,
            refusal,
            code: progress.doubt.map_or(refusal.code(), Outcome::code),
        }
    }

    fn drop_waiting(&mut self, service: usize, id: u64, refusal: RefusalReason) {
        if let Some(progress) = self.lanes[service].waiting.remove(&id) {
            let refused = self.refuse(&progress, refusal);
            self.refused.push(refused);
        }
    }

    /// Tells the router whether the service has demand that its runners cannot serve.
    fn mark(&mut self, service: usize) {
        let wanted = !self.lanes[service].queue.is_empty();
        self.router.set_demand(service, wanted);
    }

    fn lane(&mut self, service: usize) -> &mut Lane {
        while self.lanes.len() <= service {
            self.lanes.push(Lane {
                queue: Queue::new(self.settings.queue),
                budget: RetryBudget::new(self.settings.retry),
                estimate: LatencyEstimate::new(self.settings.initial_estimate),
                waiting: HashMap::new(),
            });
        }
        &mut self.lanes[service]
    }
}
