//! Stateful fuzz test of the request path against a simple oracle.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use nutmegcart_model::InstanceId;
use nutmegcart_model::ServiceName;
use nutmegcart_request::admission::Class;
use nutmegcart_request::ejector::max_ejected;
use nutmegcart_request::load::LoadReport;
use nutmegcart_request::outcome::Outcome;
use nutmegcart_request::request_path::Attempt;
use nutmegcart_request::request_path::AttemptEnd;
use nutmegcart_request::request_path::Decision;
use nutmegcart_request::request_path::PendingRetry;
use nutmegcart_request::request_path::RequestPath;
use nutmegcart_request::share::RunnerSpec;

use crate::common::entry;
use crate::common::ms;
use crate::common::new_path;
use crate::common::pseudo_random;
use crate::common::request;
use crate::common::runners;

/// Behaviour of a runner towards requests.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RunnerBehaviour {
    Healthy,
    Dead,
    Draining,
}

/// A random event: its kind and two numbers as its parameters.
type Event = (u8, u8, u16);

struct World {
    path: RequestPath,
    specs: Vec<RunnerSpec>,
    behaviours: BTreeMap<InstanceId, RunnerBehaviour>,
    now: Duration,
    submitted: u64,
    queued: BTreeMap<u64, ServiceName>,
    running: Vec<Attempt>,
    backoff: Vec<(Duration, Box<PendingRetry>, u64)>,
    ended: BTreeSet<u64>,
    in_flight: BTreeMap<InstanceId, u32>,
    /// Time of the first refusal of each runner that has been draining since then.
    first_refusals: BTreeMap<InstanceId, Duration>,
    /// Number of attempts after which a non-idempotent request may have run.
    possible_runs: BTreeMap<u64, u32>,
    random_draws: u64,
}

impl World {
    fn new() -> Self {
        let mut specs = runners("gates", 4, 2);
        specs.extend(runners("portal", 2, 1));
        let mut path = new_path(&specs);
        path.router.set_spare(&"portal".into(), true);
        let ids = specs.iter().map(|spec| spec.id.clone());
        Self {
            behaviours: ids.map(|id| (id, RunnerBehaviour::Healthy)).collect(),
            specs,
            path,
            now: Duration::ZERO,
            submitted: 0,
            queued: BTreeMap::new(),
            running: Vec::new(),
            backoff: Vec::new(),
            ended: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            first_refusals: BTreeMap::new(),
            possible_runs: BTreeMap::new(),
            random_draws: 0,
        }
    }

    fn random(&mut self) -> u64 {
        self.random_draws += 1;
        pseudo_random(self.random_draws)
    }

    fn step(&mut self, (kind, small, large): Event) {
        let runner = self.specs[usize::from(small) % self.specs.len()].id.clone();
        match kind % 12 {
            0..=2 => self.submit(small, large),
            3 | 4 => self.finish(usize::from(large)),
            5 => self.cancel(usize::from(large)),
            6 => self.advance(ms(u64::from(large) % 700)),
            7 => self.set_behaviour(&runner, large),
            8 => self.report_load(&runner, small, large),
            // The instance list may show an outdated state.
            9 => {
                let live = self.behaviours[&runner] != RunnerBehaviour::Draining;
                if !live || !self.first_refusals.contains_key(&runner) {
                    let age = ms(u64::from(large) % 5000);
                    self.path
                        .router
                        .update_listing(&runner, live, age, self.now);
                }
            }
            10 => {
                let entries = (0..=usize::from(small) % 9).map(|id| entry(id, ["a", "b"][id % 2]));
                self.path.router.set_entries(entries.collect(), self.now);
            }
            _ => self.advance(ms(u64::from(large) % 20)),
        }
        self.run_due();
        self.check_invariants();
    }

    fn submit(&mut self, small: u8, large: u16) {
        let id = self.submitted;
        self.submitted += 1;
        let mut request = request(id, self.now + ms(u64::from(large) % 3000));
        request.service = ["gates", "gates", "portal"][usize::from(small) % 3].into();
        request.caller = ["ferry", "reef", "market"][usize::from(small / 3) % 3].into();
        request.idempotent = small & 64 == 0;
        if small & 128 != 0 {
            request.class = Class::Deferrable;
        }
        let service = request.service.clone();
        let random = self.random();
        let decision = self.path.submit(request, self.now, random);
        self.decide(decision, id, &service);
    }

    fn decide(&mut self, decision: Decision, id: u64, service: &ServiceName) {
        match decision {
            Decision::Send(attempt) => self.begin_attempt(*attempt),
            Decision::Queued(_) => assert!(self.queued.insert(id, service.clone()).is_none()),
            Decision::Refused(refused) => {
                assert_eq!(refused.id, id);
                self.record_end(id);
            }
        }
    }

    fn begin_attempt(&mut self, attempt: Attempt) {
        let runner = &attempt.runner.id;
        let count = self.in_flight.entry(runner.clone()).or_default();
        *count += 1;
        let (slots, _) = self.path.router.shares(runner).expect("runner is known");
        assert!(*count <= slots, "share of {runner} exceeded");
        let deadline = attempt.request().deadline;
        assert!(self.now < deadline, "sent after the deadline");
        assert!(self.now + attempt.timeout <= deadline);
        if let Some(&first) = self.first_refusals.get(runner) {
            let since = self.now.saturating_sub(first);
            let blocked = ms(3000)..ms(30_000);
            assert!(
                !blocked.contains(&since),
                "{runner} got work {since:?} after its refusal"
            );
        }
        self.running.push(attempt);
    }

    fn finish(&mut self, pick: usize) {
        if self.running.is_empty() {
            return;
        }
        let attempt = self.running.swap_remove(pick % self.running.len());
        let runner = attempt.runner.id.clone();
        let outcome = match self.behaviours[&runner] {
            RunnerBehaviour::Healthy if pick.is_multiple_of(19) => Outcome::SilentReused,
            RunnerBehaviour::Healthy => Outcome::Success,
            RunnerBehaviour::Dead => [Outcome::ConnectFailed, Outcome::ConnectionLost][pick % 2],
            RunnerBehaviour::Draining => Outcome::RefusedBeforeStart,
        };
        if outcome == Outcome::RefusedBeforeStart {
            self.first_refusals
                .entry(runner.clone())
                .or_insert(self.now);
        }
        *self.in_flight.get_mut(&runner).expect("counted") -= 1;
        let request = attempt.request().clone();
        if !request.idempotent && !outcome.did_not_run() {
            let runs = self.possible_runs.entry(request.id).or_default();
            *runs += 1;
            assert!(*runs < 2, "request {} may have run twice", request.id);
        }
        let random = self.random();
        match self.path.finish(attempt, outcome, self.now, random) {
            AttemptEnd::Retry(at, _, retry) => {
                assert!(at < request.deadline);
                self.backoff.push((at, retry, request.id));
            }
            AttemptEnd::Answered | AttemptEnd::Failed(..) => self.record_end(request.id),
        }
    }

    fn cancel(&mut self, pick: usize) {
        let count = self.queued.len().max(1);
        let queued = self.queued.iter().nth(pick % count);
        if let Some((id, service)) = queued.map(|(id, service)| (*id, service.clone())) {
            assert!(self.path.cancel(&service, id));
            self.queued.remove(&id);
            self.record_end(id);
        }
    }

    fn set_behaviour(&mut self, runner: &InstanceId, large: u16) {
        let behaviour = [
            RunnerBehaviour::Healthy,
            RunnerBehaviour::Dead,
            RunnerBehaviour::Draining,
        ][usize::from(large) % 3];
        self.behaviours.insert(runner.clone(), behaviour);
        self.first_refusals.remove(runner);
    }

    /// Applies the load report of a peer, whose load may be outdated.
    fn report_load(&mut self, runner: &InstanceId, small: u8, large: u16) {
        let leaving = self.behaviours[runner] == RunnerBehaviour::Draining;
        let report = LoadReport {
            in_flight: [(runner.clone(), u32::from(large) % 9)].into(),
            leaving: leaving.then(|| runner.clone()).into_iter().collect(),
        };
        let peer = format!("e{}", 1 + small % 8).as_str().into();
        self.path.router.apply_load_report(&peer, report, self.now);
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.path.tick(self.now);
    }

    /// Runs retries that are due and dispatches queued requests.
    fn run_due(&mut self) {
        while let Some(due) = self.backoff.iter().position(|&(at, ..)| at <= self.now) {
            let (_, retry, id) = self.backoff.swap_remove(due);
            let service = retry.service_name().clone();
            let random = self.random();
            let decision = self.path.retry(*retry, self.now, random);
            self.decide(decision, id, &service);
        }
        loop {
            let random = self.random();
            let Some(attempt) = self.path.next_attempt(self.now, random) else {
                break;
            };
            let id = attempt.request().id;
            assert!(
                self.queued.remove(&id).is_some(),
                "request {id} did not wait"
            );
            self.begin_attempt(attempt);
        }
        for refused in self.path.take_refused() {
            let waited = self.queued.remove(&refused.id).is_some();
            assert!(waited, "request {} did not wait", refused.id);
            self.record_end(refused.id);
        }
    }

    fn record_end(&mut self, id: u64) {
        assert!(self.ended.insert(id), "request {id} ended twice");
    }

    fn check_invariants(&mut self) {
        let waiting: usize = ["gates", "portal"]
            .iter()
            .map(|&name| self.path.queue_len(&name.into()))
            .sum();
        assert_eq!(waiting, self.queued.len());
        let open = self.queued.len() + self.running.len() + self.backoff.len();
        assert_eq!(open as u64 + self.ended.len() as u64, self.submitted);
        let retries: u64 = self.path.counters.retries.values().sum();
        // Each of the two services has an initial budget of ten retries.
        assert!(retries <= 20 + self.submitted / 10);
        for (name, size) in [("gates", 6), ("portal", 3)] {
            let service = self.path.router.ensure_service(&name.into());
            assert!(self.path.router.ejected(service) <= max_ejected(size));
        }
    }

    /// Finishes all requests and checks that each has ended.
    fn finish_all(&mut self) {
        for _ in 0..200 {
            self.finish(0);
            self.advance(ms(100));
            self.run_due();
            self.check_invariants();
        }
        while !self.running.is_empty() {
            self.finish(0);
            self.run_due();
        }
        self.advance(ms(10_000));
        self.run_due();
        assert_eq!(
            self.ended.len() as u64,
            self.submitted,
            "a request never ended"
        );
    }
}

#[test]
fn random_events_keep_the_invariants_and_every_request_ends_once() {
    nutmegcart_fuzz::for_each(2_000, &bolero::produce::<Vec<Event>>(), |events| {
        let mut world = World::new();
        for &event in events {
            world.step(event);
        }
        world.finish_all();
    });
}

#[test]
fn long_sessions_keep_the_invariants() {
    for seed in 0..40 {
        let mut world = World::new();
        for index in 0..2000 {
            let bits = pseudo_random(seed << 32 | index);
            let [a, b, c, d, ..] = bits.to_le_bytes();
            world.step((a, b, u16::from_le_bytes([c, d])));
        }
        world.finish_all();
    }
}
