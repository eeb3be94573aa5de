//! Admission, routing and retries of callers' requests, decided under one lock.
//!
//! The task that handles a request waits while its request is queued.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_config::Generation;
use nutmegcart_fleet::PoolMap;
use nutmegcart_fleet::map;
use nutmegcart_model::Code;
use nutmegcart_model::DataCentre;
use nutmegcart_model::Event;
use nutmegcart_model::InstanceId;
use nutmegcart_model::log_event;
use nutmegcart_platform::InstanceState;
use nutmegcart_request::load::LoadReport;
use nutmegcart_request::outcome::Outcome;
use nutmegcart_request::request_path::Attempt;
use nutmegcart_request::request_path::AttemptEnd;
use nutmegcart_request::request_path::Counters;
use nutmegcart_request::request_path::Decision;
use nutmegcart_request::request_path::PendingRetry;
use nutmegcart_request::request_path::RefusedRequest;
use nutmegcart_request::request_path::Request;
use nutmegcart_request::request_path::RequestPath;
use nutmegcart_request::request_path::RequestPathSettings;
use nutmegcart_request::share::EntrySpec;
use nutmegcart_request::share::RunnerSpec;
use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::entry_instance::EntryInstance;
use crate::metrics::Metrics;
use crate::tables::InstanceTable;

/// Interval at which expired requests are dropped while any are queued.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which changed runners are taken over and ejected ones may return while no request
/// is queued.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Result sent to the task that waits for a queued request.
type QueueResult = Result<Box<Attempt>, RefusedRequest>;

/// Serialises access to the admission, routing and retry decisions of an entry instance.
pub struct RequestDispatcher {
    state: Mutex<State>,
    started: Instant,
}

struct State {
    path: RequestPath,
    waiting: HashMap<u64, oneshot::Sender<QueueResult>>,
    addresses: HashMap<InstanceId, SocketAddr>,
    inputs: RunnerInputs,
    rng: SmallRng,
    next_id: u64,
}

/// Inputs from which the set of runners was last computed.
#[derive(Default)]
struct RunnerInputs {
    generation: Option<Generation>,
    maps: Arc<BTreeMap<DataCentre, PoolMap>>,
    instances: Arc<InstanceTable>,
    entries: Vec<EntrySpec>,
}

/// What the caller of [`RequestDispatcher::finish_attempt`] does after an attempt.
pub enum RetryDecision {
    /// Pass the runner's answer on to the caller.
    Answered,
    /// Send the request again as this attempt.
    Retry(Box<Attempt>),
    /// Return this code to the caller.
    Failed(Code),
}

impl RequestDispatcher {
    /// Creates a dispatcher without runners; `seed` seeds its random number generator.
    #[must_use]
    pub fn new(own: EntrySpec, settings: RequestPathSettings, seed: u64) -> Self {
        Self {
            state: Mutex::new(State {
                path: RequestPath::new(settings, own),
                waiting: HashMap::new(),
                addresses: HashMap::new(),
                inputs: RunnerInputs::default(),
                rng: SmallRng::seed_from_u64(seed),
                next_id: 0,
            }),
            started: Instant::now(),
        }
    }

    /// Returns the time since the dispatcher was created, which deadlines refer to.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the address of a runner, or `None` if it is not listed.
    #[must_use]
    pub fn address(&self, runner: &InstanceId) -> Option<SocketAddr> {
        self.state.lock().addresses.get(runner).copied()
    }

    /// Assigns an identifier to a request and admits it; waits while it is queued.
    ///
    /// # Errors
    ///
    /// Returns the code for the caller if the request is refused, or dropped from the queue.
    pub async fn admit(
        &self,
        mut request: Request,
        metrics: &Metrics,
    ) -> Result<Box<Attempt>, Code> {
        let deadline = request.deadline;
        self.decide_and_wait(deadline, metrics, |path, id, now, random| {
            request.id = id;
            path.submit(request, now, random)
        })
        .await
    }

    /// Records the outcome of an attempt; waits until a retry, if there is one, may be sent.
    pub async fn finish_attempt(
        &self,
        attempt: Attempt,
        outcome: Outcome,
        metrics: &Metrics,
    ) -> RetryDecision {
        let deadline = attempt.request().deadline;
        let runner = attempt.runner.id.clone();
        let end = {
            let mut state = self.state.lock();
            let now = self.now();
            let random = state.rng.random();
            let before = (state.path.counters.ejected, state.path.counters.returned);
            let end = state.path.finish(attempt, outcome, now, random);
            let counters = &state.path.counters;
            let after = (counters.ejected, counters.returned);
            state.wake_waiting(now);
            drop(state);
            metrics.ejections.inc_by(after.0 - before.0);
            if after.0 > before.0 {
                log_event!(
                    Event::RunnerEjected,
                    runner = runner,
                    outcome = format!("{outcome:?}")
                );
            }
            if after.1 > before.1 {
                log_event!(Event::RunnerReturned, runner = runner);
            }
            end
        };
        match end {
            AttemptEnd::Answered => RetryDecision::Answered,
            AttemptEnd::Failed(code, denial) => {
                metrics.denials.with_label_values(&[denial.label()]).inc();
                RetryDecision::Failed(code)
            }
            AttemptEnd::Retry(at, reason, retry) => {
                metrics.retries.with_label_values(&[reason.label()]).inc();
                self.wait_and_retry(at, *retry, deadline, metrics).await
            }
        }
    }

    async fn wait_and_retry(
        &self,
        at: Duration,
        retry: PendingRetry,
        deadline: Duration,
        metrics: &Metrics,
    ) -> RetryDecision {
        sleep(at.saturating_sub(self.now())).await;
        let decided = self.decide_and_wait(deadline, metrics, |path, _, now, random| {
            path.retry(retry, now, random)
        });
        match decided.await {
            Ok(attempt) => RetryDecision::Retry(attempt),
            Err(code) => RetryDecision::Failed(code),
        }
    }

    async fn decide_and_wait(
        &self,
        deadline: Duration,
        metrics: &Metrics,
        ask: impl FnOnce(&mut RequestPath, u64, Duration, u64) -> Decision,
    ) -> Result<Box<Attempt>, Code> {
        let (wake, mut result) = oneshot::channel();
        let decision = {
            let mut state = self.state.lock();
            let state = &mut *state;
            let now = self.now();
            let (id, random) = (state.next_id, state.rng.random());
            state.next_id += 1;
            let decision = ask(&mut state.path, id, now, random);
            if let Decision::Queued(id) = decision {
                state.waiting.insert(id, wake);
                state.wake_waiting(now);
            }
            decision
        };
        let decided = match decision {
            Decision::Send(attempt) => Ok(attempt),
            Decision::Refused(refused) => Err(refused),
            Decision::Queued(_) => {
                let left = deadline.saturating_sub(self.now());
                let received = timeout(left + TICK_INTERVAL, &mut result).await;
                let received = if let Ok(received) = received {
                    received
                } else {
                    // This drops every queued request that is past its deadline, so the second wait
                    // returns at once.
                    self.tick();
                    result.await
                };
                received.map_err(|_| Code::DeadlinePassed)?
            }
        };
        decided.map_err(|refused| {
            let label = refused.refusal.code().label();
            metrics.refusals.with_label_values(&[label]).inc();
            refused.code
        })
    }

    /// Drops expired requests, and dispatches queued ones to runners that have capacity again.
    pub fn tick(&self) {
        let mut state = self.state.lock();
        let now = self.now();
        state.path.tick(now);
        state.wake_waiting(now);
    }

    /// Returns whether a request waits for a runner.
    fn has_queued(&self) -> bool {
        !self.state.lock().waiting.is_empty()
    }

    /// Records a peer's load report.
    pub fn record_load_report(&self, peer: &InstanceId, report: LoadReport) {
        let mut state = self.state.lock();
        let now = self.now();
        state.path.router.apply_load_report(peer, report, now);
    }

    /// Returns the load report that is sent to peers.
    #[must_use]
    pub fn load_report(&self) -> LoadReport {
        let state = self.state.lock();
        state.path.router.load_report(self.now())
    }

    /// Returns a copy of the counters, which start at zero with the process.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.state.lock().path.counters.clone()
    }
}

impl State {
    /// Sends attempts and refusals to the tasks that wait for them.
    fn wake_waiting(&mut self, now: Duration) {
        loop {
            let random = self.rng.random();
            let Some(attempt) = self.path.next_attempt(now, random) else {
                break;
            };
            let id = attempt.request().id;
            // The task waits until it receives a result, so the channel is open.
            if let Some(wake) = self.waiting.remove(&id) {
                let _ = wake.send(Ok(Box::new(attempt)));
            }
        }
        for refused in self.path.take_refused() {
            if let Some(wake) = self.waiting.remove(&refused.id) {
                let _ = wake.send(Err(refused));
            }
        }
    }
}

/// Updates the runners from the tables and drops expired requests until the instance stops.
pub async fn run(entry: Arc<EntryInstance>) {
    while !entry.is_stopped() {
        refresh_runners(&entry);
        entry.dispatcher.tick();
        let interval = if entry.dispatcher.has_queued() {
            TICK_INTERVAL
        } else {
            IDLE_TICK_INTERVAL
        };
        sleep(interval).await;
    }
}

/// Recomputes the runners if configuration, pool maps, instance list or peers changed.
pub fn refresh_runners(entry: &EntryInstance) {
    let loaded = entry.tables.in_force.get();
    let inputs = RunnerInputs {
        generation: Some(loaded.configuration.generation()),
        maps: entry.tables.pool_maps.read().clone(),
        instances: entry.tables.instances.read().clone(),
        entries: entry_specs(entry),
    };
    let mut state = entry.dispatcher.state.lock();
    let now = entry.dispatcher.now();
    let is_unchanged = state.inputs.generation == inputs.generation
        && Arc::ptr_eq(&state.inputs.maps, &inputs.maps)
        && Arc::ptr_eq(&state.inputs.instances, &inputs.instances);
    if state.inputs.entries != inputs.entries {
        state.path.router.set_entries(inputs.entries.clone(), now);
    }
    if is_unchanged {
        state.inputs = inputs;
        return;
    }
    let mut specs = Vec::new();
    let mut listings = Vec::new();
    let mut addresses = HashMap::new();
    for (centre, map) in inputs.maps.iter() {
        for (id, assignment) in &map.instances {
            let pool = loaded.view.pools.get(&assignment.pool);
            let (Some(pool), Some(instance)) = (pool, inputs.instances.instances.get(id)) else {
                continue;
            };
            let serving = instance.state == InstanceState::Live
                && assignment.state == map::MaintenanceState::Service;
            let age = inputs.instances.age() + Duration::from_millis(instance.age_ms);
            listings.push((id.clone(), serving, age));
            addresses.insert(id.clone(), instance.address);
            specs.push(RunnerSpec {
                id: id.clone(),
                centre: centre.clone(),
                service: pool.service.clone(),
            });
        }
    }
    let router = &mut state.path.router;
    router.set_runners(&specs, now);
    if !specs.is_empty() {
        entry.lifecycle.routable.store(true, Ordering::Release);
    }
    for pool in loaded.view.pools.values() {
        router.set_spare(&pool.service, pool.spare);
    }
    for (id, serving, age) in listings {
        router.update_listing(&id, serving, age, now);
    }
    let known: HashSet<SocketAddr> = addresses.values().copied().collect();
    state.addresses = addresses;
    state.inputs = inputs;
    state.wake_waiting(now);
    drop(state);
    entry
        .runner_connections
        .retain(|address| known.contains(address));
}

/// Returns this entry instance and every peer that ever sent a heartbeat.
///
/// A peer that no longer sends heartbeats keeps its share of the runners, since it may still use
/// them.
fn entry_specs(entry: &EntryInstance) -> Vec<EntrySpec> {
    let own = EntrySpec {
        id: entry.settings.id.clone(),
        centre: entry.settings.centre.clone(),
    };
    let peers = entry.tables.peers.lock();
    let peers = peers.values().map(|peer| EntrySpec {
        id: peer.identity.id.clone(),
        centre: peer.identity.centre.clone(),
    });
    let mut entries: Vec<EntrySpec> = peers.chain([own]).collect();
    entries.sort_by(|a, b| a.id.cmp(&b.id));
    entries.dedup_by(|a, b| a.id == b.id);
    entries
}
