//! Selection of the runner for an attempt.
//!
//! The router draws two random runners that have room and takes the one with the lower score (power
//! of two choices). Runners with room are kept in lists, so the cost of a decision does not depend
//! on the number of runners.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::Duration;

use nutmegcart_model::DataCentre;
use nutmegcart_model::InstanceId;
use nutmegcart_model::ServiceName;

use crate::drain_detector::DispatchMode;
use crate::ejector;
use crate::ejector::EjectionChange;
use crate::ejector::EjectorSettings;
use crate::load::LoadReport;
use crate::load::report_weight;
use crate::outcome::Outcome;
use crate::runner_table::LOCAL;
use crate::runner_table::REMOTE;
use crate::runner_table::RunnerTable;
use crate::share::EntrySpec;
use crate::share::RunnerSpec;

/// Weight of the recent failure ratio in the score of a runner.
///
/// A runner that fails immediately always looks idle. The weight keeps it from attracting requests
/// before it is ejected, and when the limit of ejections is reached.
const FAILURE_WEIGHT: f64 = 8.0;

/// Settings of the router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterSettings {
    /// Settings of outlier ejection.
    pub ejector: EjectorSettings,
    /// Maximum percentage of the spare pool's slots that is lent to other services.
    pub max_lent_percent: u32,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            ejector: EjectorSettings::default(),
            max_lent_percent: 75,
        }
    }
}

/// Data centres that a request may be sent to.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RoutingScope {
    /// Only runners of the local data centre.
    Local,
    /// Runners of all data centres; the local one takes precedence.
    Global,
}

/// Criteria for the selection of a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunnerCriteria<'a> {
    /// Data centres that the request may be sent to.
    pub scope: RoutingScope,
    /// Runner of an earlier attempt, chosen only if no better one is drawn.
    pub avoid: Option<&'a InstanceId>,
    /// Whether the request may run only once.
    ///
    /// Such a request is not used as a probe as long as another runner has room: if the probed
    /// runner stops, the outcome of the request is unknown.
    pub at_most_once: bool,
}

/// Runner selected for an attempt; must be passed to [`Router::finish`] when the attempt ends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SelectedRunner {
    pub(crate) runner: usize,
    pub(crate) lender: Option<usize>,
    pub(crate) probe: bool,
    /// Identifier of the runner in the instance list.
    pub id: InstanceId,
    /// Maximum number of connections to the runner.
    pub connections: u32,
}

impl SelectedRunner {
    /// Returns whether the runner is borrowed from a spare pool.
    #[must_use]
    pub fn is_borrowed(&self) -> bool {
        self.lender.is_some()
    }
}

/// Routing state of one entry instance.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    table: RunnerTable,
    spare_services: Vec<usize>,
    reports: HashMap<InstanceId, (Duration, LoadReport)>,
}

impl Router {
    /// Creates a router without runners, with only this entry instance on the roster.
    #[must_use]
    pub fn new(settings: RouterSettings, own: EntrySpec) -> Self {
        Self {
            settings,
            table: RunnerTable::new(own),
            spare_services: Vec::new(),
            reports: HashMap::new(),
        }
    }

    /// Returns the index of a service, adding the service if it is new.
    pub fn ensure_service(&mut self, name: &ServiceName) -> usize {
        self.table.ensure_service(name)
    }

    /// Returns the index of a known service.
    #[must_use]
    pub fn find_service(&self, name: &ServiceName) -> Option<usize> {
        self.table.by_name.get(name).copied()
    }

    /// Sets whether a service runs on the spare pool, which lends free slots to other services.
    pub fn set_spare(&mut self, name: &ServiceName, spare: bool) {
        let service = self.ensure_service(name);
        self.table.services[service].spare = spare;
        self.spare_services.retain(|&other| other != service);
        if spare {
            self.spare_services.push(service);
        }
    }

    /// Sets whether requests of a service wait; a spare pool with demand lends no slots.
    pub fn set_demand(&mut self, service: usize, has_demand: bool) {
        self.table.services[service].has_demand = has_demand;
    }

    /// Replaces the runners; removed runners with requests in flight are kept until those end.
    pub fn set_runners(&mut self, specs: &[RunnerSpec], now: Duration) {
        self.table.set_runners(specs, now);
    }

    /// Replaces the entry instances on the roster and discards the load reports of removed ones.
    pub fn set_entries(&mut self, entries: Vec<EntrySpec>, now: Duration) {
        let dropped: Vec<InstanceId> = self
            .reports
            .keys()
            .filter(|peer| !entries.iter().any(|entry| entry.id == **peer))
            .cloned()
            .collect();
        for peer in dropped {
            self.apply_load_report(&peer, LoadReport::default(), now);
            self.reports.remove(&peer);
        }
        self.table.entries = entries;
        self.table.recompute_shares(now);
    }

    /// Sets whether a data centre is unreachable from this one; its runners are then not used.
    pub fn set_partitioned(&mut self, centre: &DataCentre, partitioned: bool, now: Duration) {
        if partitioned {
            self.table.partitioned.insert(centre.clone());
        } else {
            self.table.partitioned.remove(centre);
        }
        for index in 0..self.table.runners.len() {
            self.table.refresh(index, now);
        }
    }

    /// Applies a peer's load report, which replaces its previous one.
    pub fn apply_load_report(&mut self, peer: &InstanceId, report: LoadReport, now: Duration) {
        for id in &report.leaving {
            if let Some(&index) = self.table.by_id.get(id) {
                self.table.runners[index]
                    .drain_detector
                    .record_peer_report(now);
                self.table.refresh(index, now);
            }
        }
        let previous = self.reports.insert(peer.clone(), (now, report));
        if let Some((at, old)) = previous {
            let kept = report_weight(now.saturating_sub(at));
            for (id, &load) in &old.in_flight {
                self.add_peer_load(id, -f64::from(load) * kept, now);
            }
        }
        let added: Vec<(InstanceId, u32)> = self.reports[peer]
            .1
            .in_flight
            .iter()
            .map(|(id, &load)| (id.clone(), load))
            .collect();
        for (id, load) in added {
            self.add_peer_load(&id, f64::from(load), now);
        }
    }

    /// Returns the load report of this entry instance for its peers.
    #[must_use]
    pub fn load_report(&self, now: Duration) -> LoadReport {
        let known = self
            .table
            .by_id
            .values()
            .map(|&index| &self.table.runners[index]);
        let mut report = LoadReport::default();
        for runner in known {
            if runner.in_flight > 0 {
                let id = runner.spec.id.clone();
                report.in_flight.insert(id, runner.in_flight);
            }
            if runner.drain_detector.should_report(now) {
                report.leaving.push(runner.spec.id.clone());
            }
        }
        report.leaving.sort();
        report
    }

    /// Applies the state of a runner in the instance list, as observed `age` ago.
    pub fn update_listing(&mut self, id: &InstanceId, live: bool, age: Duration, now: Duration) {
        if let Some(&index) = self.table.by_id.get(id) {
            let observed = now.saturating_sub(age);
            self.table.runners[index]
                .drain_detector
                .update_listing(live, observed, now);
            self.table.refresh(index, now);
        }
    }

    /// Selects a runner and adds a request in flight to it.
    ///
    /// `random` selects the two runners that are compared.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_request::router::{RoutingScope, Router, RouterSettings, RunnerCriteria};
    /// # use nutmegcart_request::share::{EntrySpec, RunnerSpec};
    /// let own = EntrySpec { id: "entry-1".into(), centre: "suva".into() };
    /// let mut router = Router::new(RouterSettings::default(), own);
    /// let spec = RunnerSpec { id: "r1".into(), centre: "suva".into(), service: "gates".into() };
    /// router.set_runners(&[spec], Duration::ZERO);
    /// let gates = router.ensure_service(&"gates".into());
    /// let criteria = RunnerCriteria { scope: RoutingScope::Local, avoid: None, at_most_once: false };
    /// let chosen = router.choose(gates, criteria, Duration::ZERO, 0).unwrap();
    /// assert_eq!(&*chosen.id, "r1");
    /// ```
    pub fn choose(
        &mut self,
        service: usize,
        criteria: RunnerCriteria<'_>,
        now: Duration,
        random: u64,
    ) -> Option<SelectedRunner> {
        self.apply_timers(now);
        let avoid = criteria
            .avoid
            .and_then(|id| self.table.by_id.get(id).copied());
        let penalty = |index: usize| {
            let probe = criteria.at_most_once
                && self.table.runners[index].dispatch_mode(now) == DispatchMode::Probe;
            u32::from(Some(index) == avoid) + 2 * u32::from(probe)
        };
        if let Some(runner) = self.draw_runner(service, criteria.scope, penalty, now, random) {
            return Some(self.begin_attempt(runner, None, now));
        }
        let lender = self.lender(service)?;
        let runner = self.draw_runner(lender, criteria.scope, penalty, now, random)?;
        Some(self.begin_attempt(runner, Some(lender), now))
    }

    /// Returns whether a runner with room exists for the service.
    #[must_use]
    pub fn has_room(&self, service: usize, scope: RoutingScope) -> bool {
        let has_room = |service: usize| {
            let available = &self.table.services[service].available;
            !available[LOCAL].is_empty()
                || scope == RoutingScope::Global && !available[REMOTE].is_empty()
        };
        has_room(service) || self.lender(service).is_some_and(has_room)
    }

    /// Records the end of an attempt for which [`Router::choose`] selected a runner at `started`.
    pub fn finish(
        &mut self,
        chosen: &SelectedRunner,
        outcome: Outcome,
        started: Duration,
        now: Duration,
        random: u64,
    ) -> EjectionChange {
        if let Some(lender) = chosen.lender {
            self.table.services[lender].lent -= 1;
        }
        if !self.table.end_request(chosen.runner, chosen.probe) {
            return EjectionChange::None;
        }
        let runner = &mut self.table.runners[chosen.runner];
        match outcome {
            Outcome::RefusedBeforeStart => runner.drain_detector.record_refusal(now),
            Outcome::Success => runner.drain_detector.record_answer(started, now),
            _ => {}
        }
        let service = &mut self.table.services[runner.service];
        let may_eject = service.ejected < ejector::max_ejected(service.runners);
        let was_ejected = runner.health.ejected_until().is_some();
        let settings = &self.settings.ejector;
        let change = runner
            .health
            .record(outcome, may_eject, now, random, settings);
        service.ejected -= usize::from(was_ejected);
        service.ejected += usize::from(runner.health.ejected_until().is_some());
        self.table.refresh(chosen.runner, now);
        change
    }

    /// Returns the number of usable runners of a service within the scope.
    #[must_use]
    pub fn usable(&self, service: usize, scope: RoutingScope) -> usize {
        let [local, remote] = self.table.services[service].usable;
        match scope {
            RoutingScope::Local => local,
            RoutingScope::Global => local + remote,
        }
    }

    /// Returns the number of ejected runners of a service.
    #[must_use]
    pub fn ejected(&self, service: usize) -> usize {
        self.table.services[service].ejected
    }

    /// Returns the total slot share of this entry instance on the usable runners of a service.
    #[must_use]
    pub fn slots(&self, service: usize) -> u32 {
        self.table.services[service].slots
    }

    /// Returns the number of requests in flight on a runner.
    #[must_use]
    pub fn in_flight(&self, id: &InstanceId) -> u32 {
        self.table.runner(id).map_or(0, |runner| runner.in_flight)
    }

    /// Returns this entry instance's share of a runner's slots and connections.
    #[must_use]
    pub fn shares(&self, id: &InstanceId) -> Option<(u32, u32)> {
        let runner = self.table.runner(id)?;
        Some((runner.slots, runner.connections))
    }

    /// Returns how many new requests may be dispatched to a runner.
    #[must_use]
    pub fn dispatch_mode(&self, id: &InstanceId, now: Duration) -> Option<DispatchMode> {
        self.table
            .runner(id)
            .map(|runner| runner.dispatch_mode(now))
    }

    /// Updates the runners whose state changes by the passing of time.
    pub fn apply_timers(&mut self, now: Duration) {
        while let Some(&(at, index)) = self.table.timers.first() {
            if at > now {
                break;
            }
            self.table.timers.pop_first();
            self.table.refresh(index, now);
        }
    }

    /// Returns the next time at which [`Router::apply_timers`] may make a runner usable.
    #[must_use]
    pub fn next_timer(&self) -> Option<Duration> {
        self.table.timers.first().map(|&(at, _)| at)
    }

    /// Returns a spare service that can lend a slot to the service.
    fn lender(&self, service: usize) -> Option<usize> {
        self.spare_services.iter().copied().find(|&spare| {
            let lender = &self.table.services[spare];
            let cap = lender.slots * self.settings.max_lent_percent / 100;
            spare != service && !lender.has_demand && lender.lent < cap
        })
    }

    fn draw_runner(
        &self,
        service: usize,
        scope: RoutingScope,
        penalty: impl Fn(usize) -> u32,
        now: Duration,
        random: u64,
    ) -> Option<usize> {
        let available = &self.table.services[service].available;
        if !available[LOCAL].is_empty() {
            return self.better_of_two(&available[LOCAL], penalty, now, random);
        }
        if scope == RoutingScope::Global {
            return self.better_of_two(&available[REMOTE], penalty, now, random);
        }
        None
    }

    fn better_of_two(
        &self,
        available: &[usize],
        penalty: impl Fn(usize) -> u32,
        now: Duration,
        random: u64,
    ) -> Option<usize> {
        if available.len() < 2 {
            return available.first().copied();
        }
        let first = scale_to_index(random & 0xffff_ffff, available.len());
        let second = scale_to_index(random >> 32, available.len() - 1);
        let second = second + usize::from(second >= first);
        let (first, second) = (available[first], available[second]);
        let first_is_better = match penalty(first).cmp(&penalty(second)) {
            Ordering::Less => true,
            Ordering::Greater => false,
            Ordering::Equal => self.score(first, now) <= self.score(second, now),
        };
        Some(if first_is_better { first } else { second })
    }

    fn score(&self, index: usize, now: Duration) -> f64 {
        let runner = &self.table.runners[index];
        let load = 1.0 + f64::from(runner.in_flight) + runner.peer_load.value(now);
        load * (1.0 + FAILURE_WEIGHT * runner.health.failure_ratio())
    }

    fn begin_attempt(
        &mut self,
        index: usize,
        lender: Option<usize>,
        now: Duration,
    ) -> SelectedRunner {
        if let Some(lender) = lender {
            self.table.services[lender].lent += 1;
        }
        let runner = &mut self.table.runners[index];
        runner.in_flight += 1;
        let probe = runner.dispatch_mode(now) == DispatchMode::Probe;
        runner.probe_in_flight |= probe;
        let chosen = SelectedRunner {
            runner: index,
            lender,
            probe,
            id: runner.spec.id.clone(),
            connections: runner.connections,
        };
        self.table.refresh(index, now);
        chosen
    }

    fn add_peer_load(&mut self, id: &InstanceId, amount: f64, now: Duration) {
        if let Some(&index) = self.table.by_id.get(id) {
            self.table.runners[index].peer_load.add(amount, now);
        }
    }
}

/// Maps a random 32-bit number to an index below `len`.
fn scale_to_index(random: u64, len: usize) -> usize {
    usize::try_from((random * len as u64) >> 32).unwrap_or(0)
}
