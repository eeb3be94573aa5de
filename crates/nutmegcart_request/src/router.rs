//! Which runner an attempt is sent to.
//!
//! The cost of a decision does not depend on the number of runners: the runners of a service that
//! have room are kept in lists from which two are drawn.

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

/// Weight of the recent share of failures in the score of a runner.
///
/// A runner that fails at once always looks idle; the weight keeps it from attracting requests
/// before it is ejected, and after the cap on ejections is reached.
const FAILURE_WEIGHT: f64 = 8.0;

/// Settings of the router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterSettings {
    /// Outlier ejection.
    pub ejector: EjectorSettings,
    /// Largest part of the spare pool's slots that may be lent, in percent.
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

/// Where a request may be sent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RoutingScope {
    /// Runners of the local data centre.
    Local,
    /// Runners of every data centre, the local one first.
    Global,
}

/// What is asked of a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunnerCriteria<'a> {
    /// Where the request may be sent.
    pub scope: RoutingScope,
    /// Runner that an earlier attempt used.
    pub avoid: Option<&'a InstanceId>,
    /// Whether the request may run only once.
    ///
    /// Such a request tests no doubtful runner as long as another has room: if the runner dies,
    /// its outcome is unknown.
    pub at_most_once: bool,
}

/// A runner chosen for an attempt; [`Router::finish`] takes it back.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SelectedRunner {
    pub(crate) runner: usize,
    pub(crate) lender: Option<usize>,
    pub(crate) probe: bool,
    /// Identifier of the runner.
    pub id: InstanceId,
    /// Largest number of connections to the runner.
    pub connections: u32,
}

impl SelectedRunner {
    /// Returns whether the runner belongs to the spare pool and was borrowed.
    #[must_use]
    pub fn is_borrowed(&self) -> bool {
        self.lender.is_some()
    }
}

/// The routing state of one entry instance.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    table: RunnerTable,
    spares: Vec<usize>,
    reports: HashMap<InstanceId, (Duration, LoadReport)>,
}

impl Router {
    /// Creates a router without runners whose roster holds only this entry instance.
    #[must_use]
    pub fn new(settings: RouterSettings, own: EntrySpec) -> Self {
        Self {
            settings,
            table: RunnerTable::new(own),
            spares: Vec::new(),
            reports: HashMap::new(),
        }
    }

    /// Returns the index of a service, creating it if it is new.
    pub fn service(&mut self, name: &ServiceName) -> usize {
        self.table.service(name)
    }

    /// Returns the index of a known service.
    #[must_use]
    pub fn find(&self, name: &ServiceName) -> Option<usize> {
        self.table.by_name.get(name).copied()
    }

    /// Marks a service as carried by the spare pool.
    pub fn set_spare(&mut self, name: &ServiceName, spare: bool) {
        let service = self.service(name);
        self.table.services[service].spare = spare;
        self.spares.retain(|&other| other != service);
        if spare {
            self.spares.push(service);
        }
    }

    /// States whether requests of a service wait; a spare pool with demand lends nothing.
    pub fn set_demand(&mut self, service: usize, wanted: bool) {
        self.table.services[service].wanted = wanted;
    }

    /// Replaces the runners; runners with requests in flight are forgotten when those end.
    pub fn set_runners(&mut self, specs: &[RunnerSpec], now: Duration) {
        self.table.set_runners(specs, now);
    }

    /// Replaces the roster; the reports of dropped entry instances are forgotten.
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
        self.table.share(now);
    }

    /// States whether a data centre is partitioned from this one.
    pub fn set_partitioned(&mut self, centre: &DataCentre, cut: bool, now: Duration) {
        if cut {
            self.table.cut.insert(centre.clone());
        } else {
            self.table.cut.remove(centre);
        }
        for index in 0..self.table.runners.len() {
            self.table.refresh(index, now);
        }
    }

    /// Takes a peer's load report in place of its previous one.
    pub fn apply_load_report(&mut self, peer: &InstanceId, report: LoadReport, now: Duration) {
        for id in &report.leaving {
            if let Some(&index) = self.table.by_id.get(id) {
                self.table.runners[index].departure.record_peer_report(now);
                self.table.refresh(index, now);
            }
        }
        let previous = self.reports.insert(peer.clone(), (now, report));
        if let Some((at, old)) = previous {
            let kept = report_weight(now.saturating_sub(at));
            for (id, &load) in &old.in_flight {
                self.add_peers(id, -f64::from(load) * kept, now);
            }
        }
        let added: Vec<(InstanceId, u32)> = self.reports[peer]
            .1
            .in_flight
            .iter()
            .map(|(id, &load)| (id.clone(), load))
            .collect();
        for (id, load) in added {
            self.add_peers(&id, f64::from(load), now);
        }
    }

    /// Returns what peers should know of the runners in use.
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
            if runner.departure.should_report(now) {
                report.leaving.push(runner.spec.id.clone());
            }
        }
        report.leaving.sort();
        report
    }

    /// Notes what the instance list said of a runner `age` ago.
    pub fn update_listing(&mut self, id: &InstanceId, live: bool, age: Duration, now: Duration) {
        if let Some(&index) = self.table.by_id.get(id) {
            let observed = now.saturating_sub(age);
            self.table.runners[index]
                .departure
                .update_listing(live, observed, now);
            self.table.refresh(index, now);
        }
    }

    /// Chooses a runner and counts a request in flight on it.
    ///
    /// `random` decides between the runners.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_request::router::{RoutingScope, Router, RouterSettings, RunnerCriteria};
    /// # use nutmegcart_request::share::{EntrySpec, RunnerSpec};
    /// let own = EntrySpec { id: "entry-1".into(), centre: "suva".into() };
    /// let mut router = Router::new(RouterSettings::default(), own);
    /// let spec = RunnerSpec { id: "r1".into(), centre: "suva".into(), service: "gates".into() };
    /// router.set_runners(&[spec], Duration::ZERO);
    /// let gates = router.service(&"gates".into());
    /// let wish = RunnerCriteria { scope: RoutingScope::Local, avoid: None, at_most_once: false };
    /// let chosen = router.choose(gates, wish, Duration::ZERO, 0).unwrap();
    /// assert_eq!(&*chosen.id, "r1");
    /// ```
    pub fn choose(
        &mut self,
        service: usize,
        wish: RunnerCriteria<'_>,
        now: Duration,
        random: u64,
    ) -> Option<SelectedRunner> {
        self.apply_timers(now);
        let avoid = wish.avoid.and_then(|id| self.table.by_id.get(id).copied());
        let rank = |index: usize| {
            let probe =
                wish.at_most_once && self.table.runners[index].intake(now) == DispatchMode::Probe;
            u32::from(Some(index) == avoid) + 2 * u32::from(probe)
        };
        if let Some(runner) = self.draw(service, wish.scope, rank, now, random) {
            return Some(self.begin(runner, None, now));
        }
        let lender = self.lender(service)?;
        let runner = self.draw(lender, wish.scope, rank, now, random)?;
        Some(self.begin(runner, Some(lender), now))
    }

    /// Returns whether a runner with room exists for the service.
    #[must_use]
    pub fn has_room(&self, service: usize, reach: RoutingScope) -> bool {
        let open = |service: usize| {
            let open = &self.table.services[service].open;
            !open[LOCAL].is_empty() || reach == RoutingScope::Global && !open[REMOTE].is_empty()
        };
        open(service) || self.lender(service).is_some_and(open)
    }

    /// Ends an attempt that [`Router::choose`] began at `started`.
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
        if !self.table.end(chosen.runner, chosen.probe) {
            return EjectionChange::None;
        }
        let runner = &mut self.table.runners[chosen.runner];
        match outcome {
            Outcome::RefusedBeforeStart => runner.departure.record_refusal(now),
            Outcome::Success => runner.departure.record_answer(started, now),
            _ => {}
        }
        let service = &mut self.table.services[runner.service];
        let room = service.ejected < ejector::max_ejected(service.runners);
        let was = runner.health.ejected_until().is_some();
        let settings = &self.settings.ejector;
        let change = runner.health.record(outcome, room, now, random, settings);
        service.ejected -= usize::from(was);
        service.ejected += usize::from(runner.health.ejected_until().is_some());
        self.table.refresh(chosen.runner, now);
        change
    }

    /// Returns the number of usable runners of a service in the reach.
    #[must_use]
    pub fn usable(&self, service: usize, reach: RoutingScope) -> usize {
        let [local, remote] = self.table.services[service].usable;
        match reach {
            RoutingScope::Local => local,
            RoutingScope::Global => local + remote,
        }
    }

    /// Returns the number of ejected runners of a service.
    #[must_use]
    pub fn ejected(&self, service: usize) -> usize {
        self.table.services[service].ejected
    }

    /// Returns the slots of usable runners that this entry instance may use for a service.
    #[must_use]
    pub fn slots(&self, service: usize) -> u32 {
        self.table.services[service].slots
    }

    /// Returns the requests in flight on a runner.
    #[must_use]
    pub fn in_flight(&self, id: &InstanceId) -> u32 {
        self.table.runner(id).map_or(0, |runner| runner.in_flight)
    }

    /// Returns the share of a runner's slots and connections of this entry instance.
    #[must_use]
    pub fn shares(&self, id: &InstanceId) -> Option<(u32, u32)> {
        let runner = self.table.runner(id)?;
        Some((runner.slots, runner.connections))
    }

    /// Returns how much new work a runner may receive.
    #[must_use]
    pub fn dispatch_mode(&self, id: &InstanceId, now: Duration) -> Option<DispatchMode> {
        self.table.runner(id).map(|runner| runner.intake(now))
    }

    /// Applies what became due by time alone.
    pub fn apply_timers(&mut self, now: Duration) {
        while let Some(&(at, index)) = self.table.timers.first() {
            if at > now {
                break;
            }
            self.table.timers.pop_first();
            self.table.refresh(index, now);
        }
    }

    /// Returns the next time at which a runner may become usable by time alone.
    #[must_use]
    pub fn next_timer(&self) -> Option<Duration> {
        self.table.timers.first().map(|&(at, _)| at)
    }

    /// Returns a spare pool that lends a slot to the service.
    fn lender(&self, service: usize) -> Option<usize> {
        self.spares.iter().copied().find(|&spare| {
            let lender = &self.table.services[spare];
            let cap = lender.slots * self.settings.max_lent_percent / 100;
            spare != service && !lender.wanted && lender.lent < cap
        })
    }

    fn draw(
        &self,
        service: usize,
        reach: RoutingScope,
        rank: impl Fn(usize) -> u32,
        now: Duration,
        random: u64,
    ) -> Option<usize> {
        let open = &self.table.services[service].open;
        if !open[LOCAL].is_empty() {
            return self.better(&open[LOCAL], rank, now, random);
        }
        if reach == RoutingScope::Global {
            return self.better(&open[REMOTE], rank, now, random);
        }
        None
    }

    fn better(
        &self,
        open: &[usize],
        rank: impl Fn(usize) -> u32,
        now: Duration,
        random: u64,
    ) -> Option<usize> {
        if open.len() < 2 {
            return open.first().copied();
        }
        let first = pick(random & 0xffff_ffff, open.len());
        let second = pick(random >> 32, open.len() - 1);
        let second = second + usize::from(second >= first);
        let (first, second) = (open[first], open[second]);
        let better = match rank(first).cmp(&rank(second)) {
            Ordering::Less => true,
            Ordering::Greater => false,
            Ordering::Equal => self.score(first, now) <= self.score(second, now),
        };
        Some(if better { first } else { second })
    }

    fn score(&self, index: usize, now: Duration) -> f64 {
        let runner = &self.table.runners[index];
        let load = 1.0 + f64::from(runner.in_flight) + runner.peers.value(now);
        load * (1.0 + FAILURE_WEIGHT * runner.health.failure_ratio())
    }

    fn begin(&mut self, index: usize, lender: Option<usize>, now: Duration) -> SelectedRunner {
        if let Some(lender) = lender {
            self.table.services[lender].lent += 1;
        }
        let runner = &mut self.table.runners[index];
        runner.in_flight += 1;
        let probe = runner.intake(now) == DispatchMode::Probe;
        runner.probing |= probe;
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

    fn add_peers(&mut self, id: &InstanceId, amount: f64, now: Duration) {
        if let Some(&index) = self.table.by_id.get(id) {
            self.table.runners[index].peers.add(amount, now);
        }
    }
}

/// Scales the low 32 bits of a random number to an index below `len`.
fn pick(random: u64, len: usize) -> usize {
    usize::try_from((random * len as u64) >> 32).unwrap_or(0)
}
