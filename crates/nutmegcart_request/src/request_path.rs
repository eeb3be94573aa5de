//! Request path of one entry instance: combines admission, routing, retries and ejection.
//!
//! The user of this module performs the I/O: it passes new requests to [`RequestPath::submit`],
//! carries out every returned [`Attempt`], and reports the result to [`RequestPath::finish`].
//! After each change it polls [`RequestPath::next_attempt`] for queued requests that can be sent
//! and [`RequestPath::take_refused`] for queued requests that were dropped.

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

/// Mean deviations of the run time, beyond its mean, that must remain before the deadline when a
/// queued request is sent.
///
/// Requests are ordered by deadline, so in a long queue all of them are sent shortly before their
/// deadline. A request whose answer will probably be late would occupy a slot in vain.
const DISPATCH_MARGIN_DEVIATIONS: f64 = 2.0;

/// Settings of the request path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestPathSettings {
    /// Settings of routing and ejection.
    pub router: RouterSettings,
    /// Settings of the queue of each service.
    pub queue: QueueSettings,
    /// Settings of the retries of each service.
    pub retry: RetrySettings,
    /// Assumed mean run time of a service until requests have been measured.
    pub initial_estimate: Duration,
    /// Minimum timeout for the first byte of an answer.
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

/// A request of a caller with the properties that determine its handling.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Identifier, unique within the entry instance.
    pub id: u64,
    /// Name of the requested service.
    pub service: ServiceName,
    /// Caller; queue capacity is shared fairly between callers.
    pub caller: CallerName,
    /// Priority class.
    pub class: Class,
    /// Time by which the answer must arrive, on the clock of `now`.
    pub deadline: Duration,
    /// Whether the request may run more than once; only then is it retried after it may have run.
    pub idempotent: bool,
    /// Whether the request is a retry by another layer; it is then not retried here.
    pub retried: bool,
    /// Expected work relative to an ordinary request.
    pub cost: u32,
}

/// A request with the state that its attempts have left.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Progress {
    request: Request,
    attempts: u32,
    avoid: Option<InstanceId>,
    /// Latest outcome after which the request may have run.
    possible_run: Option<Outcome>,
}

/// An attempt to be carried out by the user of this module.
#[derive(Debug)]
pub struct Attempt {
    progress: Progress,
    service: usize,
    /// Runner to send the request to.
    pub runner: SelectedRunner,
    /// Time at which the attempt started.
    pub started: Duration,
    /// Timeout for the first byte of the answer.
    pub timeout: Duration,
}

impl Attempt {
    /// Returns the request of the attempt.
    #[must_use]
    pub fn request(&self) -> &Request {
        &self.progress.request
    }

    /// Returns the number of the attempt, 1 for the first.
    #[must_use]
    pub fn number(&self) -> u32 {
        self.progress.attempts
    }

    /// Returns the time left until the deadline.
    #[must_use]
    pub fn remaining(&self, now: Duration) -> Duration {
        self.progress.request.deadline.saturating_sub(now)
    }
}

/// Decision on a new request or a retry.
#[derive(Debug)]
pub enum Decision {
    /// Carry out the attempt.
    Send(Box<Attempt>),
    /// Wait for [`RequestPath::next_attempt`] or [`RequestPath::take_refused`] to return the
    /// request with this identifier.
    Queued(u64),
    /// Reply to the caller with the result code of the refusal.
    Refused(RefusedRequest),
}

/// A request that was refused or dropped from the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RefusedRequest {
    /// Identifier of the request.
    pub id: u64,
    /// Reason of the refusal.
    pub refusal: RefusalReason,
    /// Result code for the caller; that of an earlier attempt if the request may have run.
    pub code: Code,
}

/// Consequence of the end of an attempt.
#[derive(Debug)]
pub enum AttemptEnd {
    /// Pass the answer, if any, on to the caller.
    Answered,
    /// Pass the retry to [`RequestPath::retry`] at the given time.
    Retry(Duration, RetryReason, Box<PendingRetry>),
    /// Reply to the caller with the code; the request is not retried.
    Failed(Code, RetryDenial),
}

/// A retry whose backoff has not ended yet.
#[derive(Debug)]
pub struct PendingRetry {
    progress: Progress,
    service: usize,
}

/// Event counters since the start of the process.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Requests received.
    pub requests: u64,
    /// Attempts started, retries included.
    pub attempts: u64,
    /// Attempts on runners borrowed from the spare pool.
    pub borrowed: u64,
    /// Requests refused or dropped, by reason.
    pub refusals: BTreeMap<RefusalReason, u64>,
    /// Retries, by reason.
    pub retries: BTreeMap<RetryReason, u64>,
    /// Failed attempts that were not retried, by reason.
    pub denials: BTreeMap<RetryDenial, u64>,
    /// Number of ejections of runners.
    pub ejected: u64,
    /// Number of ejections that ended with a successful probe.
    pub returned: u64,
}

impl PendingRetry {
    /// Returns the name of the requested service.
    #[must_use]
    pub fn service_name(&self) -> &ServiceName {
        &self.progress.request.service
    }
}

#[derive(Debug)]
struct ServiceState {
    queue: Queue,
    budget: RetryBudget,
    estimate: LatencyEstimate,
    waiting: HashMap<u64, Progress>,
}

/// The request path of one entry instance.
#[derive(Debug)]
pub struct RequestPath {
    settings: RequestPathSettings,
    /// Routing state; receives the roster, the pool map, the instance list and load reports.
    pub router: Router,
    /// Event counters, for metrics.
    pub counters: Counters,
    services: Vec<ServiceState>,
    /// Services with waiting requests, in round-robin order.
    service_rotation: VecDeque<usize>,
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
            services: Vec::new(),
            service_rotation: VecDeque::new(),
            refused: Vec::new(),
            draining: false,
        }
    }

    /// Refuses all new requests from now on; admitted requests are finished.
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
        let service = self.router.find_service(&request.service);
        let progress = Progress {
            request,
            attempts: 0,
            avoid: None,
            possible_run: None,
        };
        if self.draining {
            return Decision::Refused(self.refuse(&progress, RefusalReason::ShuttingDown));
        }
        let Some(service) = service else {
            return Decision::Refused(self.refuse(&progress, RefusalReason::UnknownService));
        };
        self.service_state(service).budget.deposit();
        self.admit(progress, service, now, random)
    }

    /// Decides on a retry whose backoff has ended.
    pub fn retry(&mut self, retry: PendingRetry, now: Duration, random: u64) -> Decision {
        self.admit(retry.progress, retry.service, now, random)
    }

    /// Returns the next queued request that a runner has room for.
    pub fn next_attempt(&mut self, now: Duration, random: u64) -> Option<Attempt> {
        self.router.apply_timers(now);
        for _ in 0..self.service_rotation.len() {
            let service = self.service_rotation.pop_front()?;
            let attempt = self.dispatch_queued(service, now, random);
            if !self.services[service].queue.is_empty() {
                self.service_rotation.push_back(service);
            }
            self.update_demand(service);
            if attempt.is_some() {
                return attempt;
            }
        }
        None
    }

    /// Records the outcome of an attempt and decides on a retry.
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
            let state = self.service_state(service);
            state.estimate.add(now.saturating_sub(started));
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
            progress.possible_run = Some(outcome);
        }
        match self
            .service_state(service)
            .budget
            .decide(failed, now, random)
        {
            Ok((at, reason)) => {
                *self.counters.retries.entry(reason).or_default() += 1;
                progress.avoid = Some(runner.id);
                AttemptEnd::Retry(at, reason, Box::new(PendingRetry { progress, service }))
            }
            Err(denial) => {
                *self.counters.denials.entry(denial).or_default() += 1;
                let code = progress.possible_run.unwrap_or(outcome).code();
                // A complete answer is passed on even if its status reports an error.
                if outcome == Outcome::ServerError {
                    return AttemptEnd::Answered;
                }
                AttemptEnd::Failed(code, denial)
            }
        }
    }

    /// Removes a queued request whose caller disconnected; returns whether it was queued.
    pub fn cancel(&mut self, service: &ServiceName, id: u64) -> bool {
        let Some(service) = self.router.find_service(service) else {
            return false;
        };
        let state = self.service_state(service);
        state.waiting.remove(&id);
        let found = state.queue.cancel(id).is_some();
        self.update_demand(service);
        found
    }

    /// Drops queued requests whose deadline has passed and applies expired timers of the router.
    pub fn tick(&mut self, now: Duration) {
        self.router.apply_timers(now);
        for service in 0..self.services.len() {
            for request in self.services[service].queue.expire(now) {
                self.drop_waiting(service, request.id, RefusalReason::DeadlinePassed);
            }
            self.update_demand(service);
        }
    }

    /// Returns the queued requests that were dropped since the last call.
    pub fn take_refused(&mut self) -> Vec<RefusedRequest> {
        std::mem::take(&mut self.refused)
    }

    /// Returns the number of queued requests of a service.
    #[must_use]
    pub fn queue_len(&self, service: &ServiceName) -> usize {
        let state = self
            .router
            .find_service(service)
            .and_then(|index| self.services.get(index));
        state.map_or(0, |state| state.queue.len())
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
        let scope = self.scope(service, request.idempotent);
        if self.service_state(service).queue.is_empty() {
            let criteria = RunnerCriteria {
                scope,
                avoid: progress.avoid.as_ref(),
                at_most_once: !request.idempotent,
            };
            if let Some(runner) = self.router.choose(service, criteria, now, random) {
                return Decision::Send(Box::new(
                    self.begin_attempt(progress, service, runner, now),
                ));
            }
        }
        if self.router.usable(service, scope) == 0 {
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
        let state = self.service_state(service);
        let throughput = Throughput {
            slots,
            mean_time: state.estimate.mean(),
        };
        match state.queue.offer(waiting, throughput, now) {
            Ok(dropped) => {
                let id = progress.request.id;
                state.waiting.insert(id, progress);
                if let Some(dropped) = dropped {
                    self.drop_waiting(service, dropped.id, RefusalReason::FairShare);
                }
                if !self.service_rotation.contains(&service) {
                    self.service_rotation.push_back(service);
                }
                self.update_demand(service);
                Decision::Queued(id)
            }
            Err(refusal) => Decision::Refused(self.refuse(&progress, refusal)),
        }
    }

    /// Dispatches one queued request of a service if a runner has room for it.
    fn dispatch_queued(&mut self, service: usize, now: Duration, random: u64) -> Option<Attempt> {
        let local_scope = self.scope(service, false);
        let remote_only = !self.router.has_room(service, local_scope);
        if remote_only && !self.router.has_room(service, RoutingScope::Global) {
            return None;
        }
        let state = self.service_state(service);
        let run_time = state.estimate.with_margin(DISPATCH_MARGIN_DEVIATIONS);
        let mut dropped = Vec::new();
        let request = state.queue.pop(remote_only, run_time, now, &mut dropped);
        for (request, refusal) in dropped {
            self.drop_waiting(service, request.id, refusal);
        }
        let request = request?;
        let scope = self.scope(service, request.allow_remote);
        let avoid = self.services[service].waiting.get(&request.id);
        let avoid = avoid.and_then(|progress| progress.avoid.clone());
        let criteria = RunnerCriteria {
            scope,
            avoid: avoid.as_ref(),
            at_most_once: !request.allow_remote,
        };
        let chosen = self.router.choose(service, criteria, now, random);
        let Some(runner) = chosen else {
            self.drop_waiting(service, request.id, RefusalReason::NoRunner);
            return None;
        };
        let progress = self.service_state(service).waiting.remove(&request.id)?;
        Some(self.begin_attempt(progress, service, runner, now))
    }

    fn begin_attempt(
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
            let min_timeout = self.settings.min_timeout;
            remaining.min(
                self.service_state(service)
                    .estimate
                    .upper_bound()
                    .max(min_timeout),
            )
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

    /// Returns the runners that a request may be sent to.
    ///
    /// Requests that may run only once stay in the local data centre, where answers are lost least
    /// often, as long as it has a usable runner.
    fn scope(&self, service: usize, allow_remote: bool) -> RoutingScope {
        if allow_remote || self.router.usable(service, RoutingScope::Local) == 0 {
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
            code: progress.possible_run.map_or(refusal.code(), Outcome::code),
        }
    }

    fn drop_waiting(&mut self, service: usize, id: u64, refusal: RefusalReason) {
        if let Some(progress) = self.services[service].waiting.remove(&id) {
            let refused = self.refuse(&progress, refusal);
            self.refused.push(refused);
        }
    }

    /// Updates the router's knowledge of whether requests of the service wait.
    fn update_demand(&mut self, service: usize) {
        let has_demand = !self.services[service].queue.is_empty();
        self.router.set_demand(service, has_demand);
    }

    fn service_state(&mut self, service: usize) -> &mut ServiceState {
        while self.services.len() <= service {
            self.services.push(ServiceState {
                queue: Queue::new(self.settings.queue),
                budget: RetryBudget::new(self.settings.retry),
                estimate: LatencyEstimate::new(self.settings.initial_estimate),
                waiting: HashMap::new(),
            });
        }
        &mut self.services[service]
    }
}
