//! Runners of all services, with indices of those that have room.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use nutmegcart_model::DataCentre;
use nutmegcart_model::InstanceId;
use nutmegcart_model::ServiceName;

use crate::drain_detector::DispatchMode;
use crate::drain_detector::DrainDetector;
use crate::ejector::RunnerHealth;
use crate::load::DecayingSum;
use crate::share::EntrySpec;
use crate::share::RunnerSpec;
use crate::share::connection_share;
use crate::share::slot_share;

/// Index of the local data centre in [`ServiceRunners::available`] and [`ServiceRunners::usable`].
pub(crate) const LOCAL: usize = 0;

/// Index of all other data centres.
pub(crate) const REMOTE: usize = 1;

/// A runner with its share, load and health as seen by this entry instance.
#[derive(Debug)]
pub(crate) struct RunnerState {
    pub spec: RunnerSpec,
    pub service: usize,
    pub slots: u32,
    pub connections: u32,
    pub in_flight: u32,
    pub probe_in_flight: bool,
    pub peer_load: DecayingSum,
    pub health: RunnerHealth,
    pub drain_detector: DrainDetector,
    /// [`LOCAL`] or [`REMOTE`].
    locality: usize,
    /// Index in [`ServiceRunners::available`] while the runner has room.
    position: Option<usize>,
    /// Whether the runner is counted in the totals of its service.
    usable: bool,
    /// Whether the runner was removed and only waits for requests in flight to end.
    removed: bool,
}

/// Totals and lists of the runners of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceRunners {
    /// Runners with room, by locality.
    pub available: [Vec<usize>; 2],
    /// Number of runners that may receive requests, by locality.
    pub usable: [usize; 2],
    /// Number of all runners, ejected ones included.
    pub runners: usize,
    /// Number of ejected runners.
    pub ejected: usize,
    /// Total slot share of this entry instance on the usable runners.
    pub slots: u32,
    /// Requests of other services in flight on borrowed slots.
    pub lent: u32,
    /// Whether the runners form the spare pool.
    pub spare: bool,
    /// Whether requests of the service wait.
    pub has_demand: bool,
}

/// Runners and services by index; indices of removed runners are reused.
#[derive(Debug)]
pub(crate) struct RunnerTable {
    /// This entry instance.
    pub own: EntrySpec,
    /// Entry instances on the roster.
    pub entries: Vec<EntrySpec>,
    pub runners: Vec<RunnerState>,
    pub by_id: HashMap<InstanceId, usize>,
    pub services: Vec<ServiceRunners>,
    pub by_name: HashMap<ServiceName, usize>,
    /// Data centres that are unreachable from this one.
    pub partitioned: BTreeSet<DataCentre>,
    /// Times at which the state of a runner may change, with its index.
    pub timers: BTreeSet<(Duration, usize)>,
    free_indices: Vec<usize>,
}

impl RunnerTable {
    pub fn new(own: EntrySpec) -> Self {
        Self {
            entries: vec![own.clone()],
            own,
            runners: Vec::new(),
            by_id: HashMap::new(),
            services: Vec::new(),
            by_name: HashMap::new(),
            partitioned: BTreeSet::new(),
            timers: BTreeSet::new(),
            free_indices: Vec::new(),
        }
    }

    pub fn ensure_service(&mut self, name: &ServiceName) -> usize {
        if let Some(&index) = self.by_name.get(name) {
            return index;
        }
        self.services.push(ServiceRunners::default());
        self.by_name.insert(name.clone(), self.services.len() - 1);
        self.services.len() - 1
    }

    pub fn runner(&self, id: &InstanceId) -> Option<&RunnerState> {
        self.by_id.get(id).map(|&index| &self.runners[index])
    }

    pub fn set_runners(&mut self, specs: &[RunnerSpec], now: Duration) {
        let kept: BTreeSet<&InstanceId> = specs.iter().map(|spec| &spec.id).collect();
        let dropped: Vec<usize> = self
            .by_id
            .iter()
            .filter(|(id, _)| !kept.contains(id))
            .map(|(_, &index)| index)
            .collect();
        for index in dropped {
            self.remove(index);
        }
        for spec in specs {
            self.insert_or_move(spec);
        }
        self.recompute_shares(now);
    }

    fn insert_or_move(&mut self, spec: &RunnerSpec) {
        let service = self.ensure_service(&spec.service);
        let index = if let Some(&index) = self.by_id.get(&spec.id) {
            if self.runners[index].spec == *spec {
                return;
            }
            self.remove_from_service(index);
            self.runners[index].spec = spec.clone();
            self.runners[index].service = service;
            index
        } else {
            self.insert(RunnerState::new(spec.clone(), service))
        };
        let ejected = self.runners[index].health.ejected_until().is_some();
        self.services[service].runners += 1;
        self.services[service].ejected += usize::from(ejected);
    }

    fn insert(&mut self, runner: RunnerState) -> usize {
        let id = runner.spec.id.clone();
        let index = if let Some(index) = self.free_indices.pop() {
            self.runners[index] = runner;
            index
        } else {
            self.runners.push(runner);
            self.runners.len() - 1
        };
        self.by_id.insert(id, index);
        index
    }

    fn remove(&mut self, index: usize) {
        self.remove_from_service(index);
        let runner = &mut self.runners[index];
        runner.removed = true;
        self.by_id.remove(&runner.spec.id);
        if runner.in_flight == 0 {
            self.free_indices.push(index);
        }
    }

    /// Ends a request on a runner; returns `false` if the runner was removed meanwhile.
    pub fn end_request(&mut self, index: usize, probe: bool) -> bool {
        let runner = &mut self.runners[index];
        runner.in_flight -= 1;
        runner.probe_in_flight &= !probe;
        if runner.removed && runner.in_flight == 0 {
            self.free_indices.push(index);
        }
        !self.runners[index].removed
    }

    /// Recomputes the slot and connection shares of every runner.
    pub fn recompute_shares(&mut self, now: Duration) {
        let mut centres: BTreeMap<usize, BTreeSet<DataCentre>> = BTreeMap::new();
        for runner in self.runners.iter().filter(|runner| !runner.removed) {
            let centres = centres.entry(runner.service).or_default();
            centres.insert(runner.spec.centre.clone());
        }
        let mut totals = vec![0; self.services.len()];
        for index in 0..self.runners.len() {
            let runner = &self.runners[index];
            if runner.removed {
                continue;
            }
            let service = runner.service;
            let centres = &centres[&service];
            let slots = slot_share(&self.entries, &self.own, &runner.spec, centres);
            let remote =
                runner.spec.centre != self.own.centre && centres.contains(&self.own.centre);
            totals[service] += slots;
            self.set_share(index, slots, usize::from(remote), now);
        }
        // With more entry instances than slots, some would get none; each may use one slot.
        for index in 0..self.runners.len() {
            let runner = &self.runners[index];
            let (service, locality) = (runner.service, runner.locality);
            if !runner.removed && totals[service] == 0 {
                totals[service] = 1;
                self.set_share(index, 1, locality, now);
            }
        }
    }

    fn set_share(&mut self, index: usize, slots: u32, locality: usize, now: Duration) {
        // The totals contain the runner under its old share and locality, so it is removed from
        // them before these change.
        self.remove_available(index);
        self.set_usable(index, false);
        let connections = connection_share(self.entries.len());
        let runner = &mut self.runners[index];
        runner.slots = slots;
        runner.locality = locality;
        runner.connections = connections;
        self.refresh(index, now);
    }

    fn remove_from_service(&mut self, index: usize) {
        self.remove_available(index);
        self.set_usable(index, false);
        let runner = &self.runners[index];
        let service = &mut self.services[runner.service];
        service.runners -= 1;
        service.ejected -= usize::from(runner.health.ejected_until().is_some());
    }

    fn set_usable(&mut self, index: usize, usable: bool) {
        let runner = &mut self.runners[index];
        if runner.usable == usable {
            return;
        }
        runner.usable = usable;
        let service = &mut self.services[runner.service];
        if usable {
            service.usable[runner.locality] += 1;
            service.slots += runner.slots;
        } else {
            service.usable[runner.locality] -= 1;
            service.slots -= runner.slots;
        }
    }

    /// Updates the lists and totals of the service after a change of the runner's state.
    pub fn refresh(&mut self, index: usize, now: Duration) {
        let runner = &self.runners[index];
        if runner.removed {
            return;
        }
        let mode = runner.dispatch_mode(now);
        let usable =
            mode != DispatchMode::Blocked && !self.partitioned.contains(&runner.spec.centre);
        let has_room = usable
            && match mode {
                DispatchMode::Normal => runner.in_flight < runner.slots,
                DispatchMode::Probe => !runner.probe_in_flight && runner.in_flight < runner.slots,
                DispatchMode::Blocked => false,
            };
        let timers = runner.drain_detector.next_change(now).into_iter();
        let timers = timers
            .chain(runner.health.ejected_until())
            .filter(|&at| at > now);
        self.timers.extend(timers.map(|at| (at, index)));
        let position = runner.position;
        self.set_usable(index, usable);
        match (has_room, position) {
            (true, None) => self.add_available(index),
            (false, Some(_)) => self.remove_available(index),
            _ => {}
        }
    }

    fn add_available(&mut self, index: usize) {
        let runner = &mut self.runners[index];
        let available = &mut self.services[runner.service].available[runner.locality];
        runner.position = Some(available.len());
        available.push(index);
    }

    fn remove_available(&mut self, index: usize) {
        let runner = &mut self.runners[index];
        let Some(position) = runner.position.take() else {
            return;
        };
        let available = &mut self.services[runner.service].available[runner.locality];
        available.swap_remove(position);
        if let Some(&moved) = available.get(position) {
            self.runners[moved].position = Some(position);
        }
    }
}

impl RunnerState {
    fn new(spec: RunnerSpec, service: usize) -> Self {
        Self {
            spec,
            service,
            slots: 0,
            connections: 0,
            in_flight: 0,
            probe_in_flight: false,
            peer_load: DecayingSum::default(),
            health: RunnerHealth::default(),
            drain_detector: DrainDetector::default(),
            locality: LOCAL,
            position: None,
            usable: false,
            removed: false,
        }
    }

    /// Returns how many new requests may be dispatched to the runner.
    pub fn dispatch_mode(&self, now: Duration) -> DispatchMode {
        match (
            self.drain_detector.dispatch_mode(now),
            self.health.ejected_until(),
        ) {
            (DispatchMode::Blocked, _) => DispatchMode::Blocked,
            (_, Some(until)) if now < until => DispatchMode::Blocked,
            (_, Some(_)) => DispatchMode::Probe,
            (mode, None) => mode,
        }
    }
}
