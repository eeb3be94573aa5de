//! Stateful fuzzing of the request path against a simple oracle.

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
use crate::common::mix;
use crate::common::ms;
use crate::common::path;
use crate::common::request;
use crate::common::runners;

/// What a runner does with requests.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mood {
    Healthy,
    Dead,
    Leaving,
}

/// A step: its kind and two numbers that it interprets.
type Step = (u8, u8, u16);

struct World {
    path: RequestPath,
    specs: Vec<RunnerSpec>,
    moods: BTreeMap<InstanceId, Mood>,
    now: Duration,
    arrived: u64,
    queued: BTreeMap<u64, ServiceName>,
    running: Vec<Attempt>,
    backoff: Vec<(Duration, Box<PendingRetry>, u64)>,
    ended: BTreeSet<u64>,
    in_flight: BTreeMap<InstanceId, u32>,
    /// First refusal of a runner that has been leaving ever since.
    refused: BTreeMap<InstanceId, Duration>,
    /// Attempts after which a request that may run only once may have run.
    ran: BTreeMap<u64, u32>,
    draws: u64,
}

impl World {
    fn new() -> Self {
        let mut specs = runners("gates", 4, 2);
        specs.extend(runners("portal", 2, 1));
        let mut path = path(&specs);
        path.router.set_spare(&"portal".into(), true);
        let ids = specs.iter().map(|spec| spec.id.clone());
        Self {
            moods: ids.map(|id| (id, Mood::Healthy)).collect(),
            specs,
            path,
            now: Duration::ZERO,
            arrived: 0,
            queued: BTreeMap::new(),
            running: Vec::new(),
            backoff: Vec::new(),
            ended: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            refused: BTreeMap::new(),
            ran: BTreeMap::new(),
            draws: 0,
        }
    }

    fn random(&mut self) -> u64 {
        self.draws += 1;
        mix(self.draws)
    }

    fn step(&mut self, (kind, small, large): Step) {
        let runner = self.specs[usize::from(small) % self.specs.len()].id.clone();
        match kind % 12 {
            0..=2 => self.arrive(small, large),
            3 | 4 => self.finish(usize::from(large)),
            5 => self.cancel(usize::from(large)),
            6 => self.advance(ms(u64::from(large) % 700)),
            7 => self.set_mood(&runner, large),
            8 => self.report(&runner, small, large),
            // The list may still state what was true some time ago.
            9 => {
                let live = self.moods[&runner] != Mood::Leaving;
                if !live || !self.refused.contains_key(&runner) {
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
        self.drive();
        self.check();
    }

    fn arrive(&mut self, small: u8, large: u16) {
        let id = self.arrived;
        self.arrived += 1;
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
            Decision::Send(attempt) => self.begin(*attempt),
            Decision::Queued(_) => assert!(self.queued.insert(id, service.clone()).is_none()),
            Decision::Refused(refused) => {
                assert_eq!(refused.id, id);
                self.end(id);
            }
        }
    }

    fn begin(&mut self, attempt: Attempt) {
        let runner = &attempt.runner.id;
        let count = self.in_flight.entry(runner.clone()).or_default();
        *count += 1;
        let (slots, _) = self.path.router.shares(runner).expect("runner is known");
        assert!(*count <= slots, "share of {runner} exceeded");
        let deadline = attempt.request().deadline;
        assert!(self.now < deadline, "sent after the deadline");
        assert!(self.now + attempt.timeout <= deadline);
        if let Some(&first) = self.refused.get(runner) {
            let since = self.now.saturating_sub(first);
            let hold = ms(3000)..ms(30_000);
            assert!(
                !hold.contains(&since),
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
        let outcome = match self.moods[&runner] {
            Mood::Healthy if pick.is_multiple_of(19) => Outcome::SilentReused,
            Mood::Healthy => Outcome::Success,
            Mood::Dead => [Outcome::ConnectFailed, Outcome::ConnectionLost][pick % 2],
            Mood::Leaving => Outcome::RefusedBeforeStart,
        };
        if outcome == Outcome::RefusedBeforeStart {
            self.refused.entry(runner.clone()).or_insert(self.now);
        }
        *self.in_flight.get_mut(&runner).expect("counted") -= 1;
        let request = attempt.request().clone();
        if !request.idempotent && !outcome.did_not_run() {
            let runs = self.ran.entry(request.id).or_default();
            *runs += 1;
            assert!(*runs < 2, "request {} may have run twice", request.id);
        }
        let random = self.random();
        match self.path.finish(attempt, outcome, self.now, random) {
            AttemptEnd::Retry(at, _, retry) => {
                assert!(at < request.deadline);
                self.backoff.push((at, retry, request.id));
            }
            AttemptEnd::Answered | AttemptEnd::Failed(..) => self.end(request.id),
        }
    }

    fn cancel(&mut self, pick: usize) {
        let count = self.queued.len().max(1);
        let queued = self.queued.iter().nth(pick % count);
        if let Some((id, service)) = queued.map(|(id, service)| (*id, service.clone())) {
            assert!(self.path.cancel(&service, id));
            self.queued.remove(&id);
            self.end(id);
        }
    }

    fn set_mood(&mut self, runner: &InstanceId, large: u16) {
        let mood = [Mood::Healthy, Mood::Dead, Mood::Leaving][usize::from(large) % 3];
        self.moods.insert(runner.clone(), mood);
        self.refused.remove(runner);
    }

    /// A peer's report, which may describe a state of long ago.
    fn report(&mut self, runner: &InstanceId, small: u8, large: u16) {
        let leaving = self.moods[runner] == Mood::Leaving;
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

    /// Carries out what became due.
    fn drive(&mut self) {
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
            self.begin(attempt);
        }
        for refused in self.path.take_refused() {
            let waited = self.queued.remove(&refused.id).is_some();
            assert!(waited, "request {} did not wait", refused.id);
            self.end(refused.id);
        }
    }

    fn end(&mut self, id: u64) {
        assert!(self.ended.insert(id), "request {id} ended twice");
    }

    fn check(&mut self) {
        let waiting: usize = ["gates", "portal"]
            .iter()
            .map(|&name| self.path.waiting(&name.into()))
            .sum();
        assert_eq!(waiting, self.queued.len());
        let open = self.queued.len() + self.running.len() + self.backoff.len();
        assert_eq!(open as u64 + self.ended.len() as u64, self.arrived);
        let retries: u64 = self.path.counters.retries.values().sum();
        // Two services, each with ten retries saved at the start.
        assert!(retries <= 20 + self.arrived / 10);
        for (name, size) in [("gates", 6), ("portal", 3)] {
            let service = self.path.router.service(&name.into());
            assert!(self.path.router.ejected(service) <= max_ejected(size));
        }
    }

    /// Ends everything, as a shutdown would.
    fn settle(&mut self) {
        for _ in 0..200 {
            self.finish(0);
            self.advance(ms(100));
            self.drive();
            self.check();
        }
        while !self.running.is_empty() {
            self.finish(0);
            self.drive();
        }
        self.advance(ms(10_000));
        self.drive();
        assert_eq!(
            self.ended.len() as u64,
            self.arrived,
            "a request never ended"
        );
    }
}

#[test]
fn every_request_ends_once_and_no_rule_is_broken() {
    nutmegcart_fuzz::for_each(2_000, &bolero::produce::<Vec<Step>>(), |steps| {
        let mut world = World::new();
        for &step in steps {
            world.step(step);
        }
        world.settle();
    });
}

#[test]
fn long_sessions_break_no_rule() {
    for seed in 0..40 {
        let mut world = World::new();
        for index in 0..2000 {
            let bits = mix(seed << 32 | index);
            let [a, b, c, d, ..] = bits.to_le_bytes();
            world.step((a, b, u16::from_le_bytes([c, d])));
        }
        world.settle();
    }
}
