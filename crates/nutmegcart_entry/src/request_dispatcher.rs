//! The request path's decisions under one lock, and the threads that wait for them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel;
use crossbeam::channel::Sender;
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

use crate::entry_instance::EntryInstance;
use crate::metrics::Metrics;
use crate::tables::InstanceTable;

/// Time between looks for expired requests and for runners that return.
const TICK: Duration = Duration::from_millis(10);

/// What a waiting thread is told.
type Wake = Result<Box<Attempt>, RefusedRequest>;

/// The request path of an entry instance.
pub struct RequestDispatcher {
    state: Mutex<State>,
    started: Instant,
}

struct State {
    path: RequestPath,
    waiting: HashMap<u64, Sender<Wake>>,
    addresses: HashMap<InstanceId, SocketAddr>,
    seen: Seen,
    rng: SmallRng,
    next: u64,
}

/// What the runners were last derived from.
#[derive(Default)]
struct Seen {
    generation: Option<Generation>,
    maps: Arc<BTreeMap<DataCentre, PoolMap>>,
    listed: Arc<InstanceTable>,
    entries: Vec<EntrySpec>,
}

/// What follows from the end of an attempt.
pub enum Next {
    /// The runner's answer goes to the caller.
    Answered,
    /// The request is sent again.
    Again(Box<Attempt>),
    /// The request failed.
    Failed(Code),
}

impl RequestDispatcher {
    /// Creates the request path of an entry instance.
    #[must_use]
    pub fn new(own: EntrySpec, settings: RequestPathSettings, seed: u64) -> Self {
        Self {
            state: Mutex::new(State {
                path: RequestPath::new(settings, own),
                waiting: HashMap::new(),
                addresses: HashMap::new(),
                seen: Seen::default(),
                rng: SmallRng::seed_from_u64(seed),
                next: 0,
            }),
            started: Instant::now(),
        }
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the address of a runner.
    #[must_use]
    pub fn address(&self, runner: &InstanceId) -> Option<SocketAddr> {
        self.state.lock().addresses.get(runner).copied()
    }

    /// Admits a request, and blocks while it waits; the identifier is assigned here.
    ///
    /// # Errors
    ///
    /// Returns the code for the caller if the request is refused or dropped.
    pub fn admit(&self, mut request: Request, metrics: &Metrics) -> Result<Box<Attempt>, Code> {
        let deadline = request.deadline;
        self.decide(deadline, metrics, |path, id, now, random| {
            request.id = id;
            path.submit(request, now, random)
        })
    }

    /// Ends an attempt, and blocks until the request's next one may be sent.
    pub fn finish(&self, attempt: Attempt, outcome: Outcome, metrics: &Metrics) -> Next {
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
            state.pump(now);
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
            AttemptEnd::Answered => Next::Answered,
            AttemptEnd::Failed(code, denial) => {
                metrics.denials.with_label_values(&[denial.label()]).inc();
                Next::Failed(code)
            }
            AttemptEnd::Retry(at, reason, retry) => {
                metrics.retries.with_label_values(&[reason.label()]).inc();
                self.again(at, *retry, deadline, metrics)
            }
        }
    }

    fn again(
        &self,
        at: Duration,
        retry: PendingRetry,
        deadline: Duration,
        metrics: &Metrics,
    ) -> Next {
        sleep(at.saturating_sub(self.now()));
        let decided = self.decide(deadline, metrics, |path, _, now, random| {
            path.retry(retry, now, random)
        });
        match decided {
            Ok(attempt) => Next::Again(attempt),
            Err(code) => Next::Failed(code),
        }
    }

    fn decide(
        &self,
        deadline: Duration,
        metrics: &Metrics,
        ask: impl FnOnce(&mut RequestPath, u64, Duration, u64) -> Decision,
    ) -> Result<Box<Attempt>, Code> {
        let (wake, woken) = channel::bounded(1);
        let decision = {
            let mut state = self.state.lock();
            let state = &mut *state;
            let now = self.now();
            let (id, random) = (state.next, state.rng.random());
            state.next += 1;
            let decision = ask(&mut state.path, id, now, random);
            if let Decision::Queued(id) = decision {
                state.waiting.insert(id, wake);
                state.pump(now);
            }
            decision
        };
        let decided = match decision {
            Decision::Send(attempt) => Ok(attempt),
            Decision::Refused(refused) => Err(refused),
            Decision::Queued(_) => {
                let left = deadline.saturating_sub(self.now());
                woken
                    .recv_timeout(left + TICK)
                    .or_else(|_| {
                        // Every request that is still queued after its deadline is dropped here, so
                        // the second wait ends at once.
                        self.tick();
                        woken.recv()
                    })
                    .map_err(|_| Code::DeadlinePassed)?
            }
        };
        decided.map_err(|refused| {
            let label = refused.refusal.code().label();
            metrics.refusals.with_label_values(&[label]).inc();
            refused.code
        })
    }

    /// Drops expired requests and sends what runners that returned have room for.
    pub fn tick(&self) {
        let mut state = self.state.lock();
        let now = self.now();
        state.path.tick(now);
        state.pump(now);
    }

    /// Takes a peer's load report.
    pub fn report(&self, peer: &InstanceId, report: LoadReport) {
        let mut state = self.state.lock();
        let now = self.now();
        state.path.router.apply_load_report(peer, report, now);
    }

    /// Returns the load report for peers.
    #[must_use]
    pub fn load_report(&self) -> LoadReport {
        let state = self.state.lock();
        state.path.router.load_report(self.now())
    }

    /// Returns the counts since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.state.lock().path.counters.clone()
    }
}

impl State {
    /// Hands attempts and refusals to the threads that wait for them.
    fn pump(&mut self, now: Duration) {
        loop {
            let random = self.rng.random();
            let Some(attempt) = self.path.next_attempt(now, random) else {
                break;
            };
            let id = attempt.request().id;
            // A thread waits until it is told, so the channel is open and empty.
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

/// Keeps the runners in step with the tables, and time in motion, until the instance stops.
pub fn run(entry: &Arc<EntryInstance>) {
    while !entry.is_stopped() {
        refresh(entry);
        entry.dispatcher.tick();
        sleep(TICK);
    }
}

/// Derives the runners from configuration, pool maps, instance list and peers if any changed.
pub fn refresh(entry: &EntryInstance) {
    let loaded = entry.tables.in_force.get();
    let seen = Seen {
        generation: Some(loaded.configuration.generation()),
        maps: entry.tables.pool_maps.read().clone(),
        listed: entry.tables.instances.read().clone(),
        entries: entries(entry),
    };
    let mut state = entry.dispatcher.state.lock();
    let now = entry.dispatcher.now();
    let same = state.seen.generation == seen.generation
        && Arc::ptr_eq(&state.seen.maps, &seen.maps)
        && Arc::ptr_eq(&state.seen.listed, &seen.listed);
    if state.seen.entries != seen.entries {
        state.path.router.set_entries(seen.entries.clone(), now);
    }
    if same {
        state.seen = seen;
        return;
    }
    let mut specs = Vec::new();
    let mut live = Vec::new();
    let mut addresses = HashMap::new();
    for (centre, map) in seen.maps.iter() {
        for (id, seat) in &map.instances {
            let pool = loaded.view.pools.get(&seat.pool);
            let (Some(pool), Some(instance)) = (pool, seen.listed.instances.get(id)) else {
                continue;
            };
            let serving = instance.state == InstanceState::Live
                && seat.state == map::MaintenanceState::Service;
            let age = seen.listed.age() + Duration::from_millis(instance.age_ms);
            live.push((id.clone(), serving, age));
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
    for (id, serving, age) in live {
        router.update_listing(&id, serving, age, now);
    }
    let known: HashSet<SocketAddr> = addresses.values().copied().collect();
    state.addresses = addresses;
    state.seen = seen;
    state.pump(now);
    drop(state);
    entry
        .runner_connections
        .retain(|address| known.contains(address));
}

/// Returns this entry instance and every peer that was ever heard.
///
/// A silent peer keeps its share of the runners, since it may still use them.
fn entries(entry: &EntryInstance) -> Vec<EntrySpec> {
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
