//! The runners of every service and which of them have room.

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

/// Index of the runners of the local data centre in [`ServiceRunners::open`] and [`ServiceRunners::usable`].
pub(crate) const LOCAL: usize = 0;

/// Index of the runners of other data centres.
pub(crate) const REMOTE: usize = 1;

#[derive(Debug)]
pub(crate) struct RunnerState {
    pub spec: RunnerSpec,
    pub service: usize,
    pub slots: u32,
    pub connections: u32,
    pub in_flight: u32,
    pub probing: bool,
    pub peers: DecayingSum,
    pub health: RunnerHealth,
    pub departure: DrainDetector,
    side: usize,
    position: Option<usize>,
    usable: bool,
    gone: bool,
}

#[derive(Debug, Default)]
pub(crate) struct ServiceRunners {
    /// Runners with room, local and remote.
    pub open: [Vec<usize>; 2],
    /// Number of runners that take new work, local and remote.
    pub usable: [usize; 2],
    /// Number of all runners.
    pub runners: usize,
    /// Number of ejected runners.
    pub ejected: usize,
    /// Slots of the usable runners that this entry instance may use.
    pub slots: u32,
    /// Requests of other services in flight on the runners.
    pub lent: u32,
    /// Whether the runners are the spare pool.
    pub spare: bool,
    /// Whether requests of the service wait.
    pub wanted: bool,
}

#[derive(Debug)]
pub(crate) struct RunnerTable {
    pub own: EntrySpec,
    pub entries: Vec<EntrySpec>,
    pub runners: Vec<RunnerState>,
    pub by_id: HashMap<InstanceId, usize>,
    pub services: Vec<ServiceRunners>,
    pub by_name: HashMap<ServiceName, usize>,
    pub cut: BTreeSet<DataCentre>,
    pub timers: BTreeSet<(Duration, usize)>,
    free: Vec<usize>,
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
            cut: BTreeSet::new(),
            timers: BTreeSet::new(),
            free: Vec::new(),
        }
    }

    pub fn service(&mut self, name: &ServiceName) -> usize {
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
            self.place(spec);
        }
        self.share(now);
    }

    fn place(&mut self, spec: &RunnerSpec) {
        let service = self.service(&spec.service);
        let index = if let Some(&index) = self.by_id.get(&spec.id) {
            if self.runners[index].spec == *spec {
                return;
            }
            self.leave_service(index);
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
        let index = if let Some(index) = self.free.pop() {
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
        self.leave_service(index);
        let runner = &mut self.runners[index];
        runner.gone = true;
        self.by_id.remove(&runner.spec.id);
        if runner.in_flight == 0 {
            self.free.push(index);
        }
    }

    /// Ends a request on a runner and returns whether the runner is still known.
    pub fn end(&mut self, index: usize, probe: bool) -> bool {
        let runner = &mut self.runners[index];
        runner.in_flight -= 1;
        runner.probing &= !probe;
        if runner.gone && runner.in_flight == 0 {
            self.free.push(index);
        }
        !self.runners[index].gone
    }

    /// Deals the slots and connections of every runner out again.
    pub fn share(&mut self, now: Duration) {
        let mut centres: BTreeMap<usize, BTreeSet<DataCentre>> = BTreeMap::new();
        for runner in self.runners.iter().filter(|runner| !runner.gone) {
            let centres = centres.entry(runner.service).or_default();
            centres.insert(runner.spec.centre.clone());
        }
        let mut totals = vec![0; self.services.len()];
        for index in 0..self.runners.len() {
            let runner = &self.runners[index];
            if runner.gone {
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
        // More entry instances than slots leave some with nothing; each may send one request.
        for index in 0..self.runners.len() {
            let runner = &self.runners[index];
            let (service, side) = (runner.service, runner.side);
            if !runner.gone && totals[service] == 0 {
                totals[service] = 1;
                self.set_share(index, 1, side, now);
            }
        }
    }

    fn set_share(&mut self, index: usize, slots: u32, side: usize, now: Duration) {
        // Counted under the old share and side, so it leaves the lists before they change.
        self.unlist(index);
        self.set_usable(index, false);
        let connections = connection_share(self.entries.len());
        let runner = &mut self.runners[index];
        runner.slots = slots;
        runner.side = side;
        runner.connections = connections;
        self.refresh(index, now);
    }

    fn leave_service(&mut self, index: usize) {
        self.unlist(index);
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
            service.usable[runner.side] += 1;
            service.slots += runner.slots;
        } else {
            service.usable[runner.side] -= 1;
            service.slots -= runner.slots;
        }
    }

    /// Brings the lists of the service in line with the state of a runner.
    pub fn refresh(&mut self, index: usize, now: Duration) {
        let runner = &self.runners[index];
        if runner.gone {
            return;
        }
        let intake = runner.intake(now);
        let usable = intake != DispatchMode::Blocked && !self.cut.contains(&runner.spec.centre);
        let room = usable
            && match intake {
                DispatchMode::Normal => runner.in_flight < runner.slots,
                DispatchMode::Probe => !runner.probing && runner.in_flight < runner.slots,
                DispatchMode::Blocked => false,
            };
        let wake = runner.departure.next_change(now).into_iter();
        let wake = wake
            .chain(runner.health.ejected_until())
            .filter(|&at| at > now);
        self.timers.extend(wake.map(|at| (at, index)));
        let position = runner.position;
        self.set_usable(index, usable);
        match (room, position) {
            (true, None) => self.enlist(index),
            (false, Some(_)) => self.unlist(index),
            _ => {}
        }
    }

    fn enlist(&mut self, index: usize) {
        let runner = &mut self.runners[index];
        let open = &mut self.services[runner.service].open[runner.side];
        runner.position = Some(open.len());
        open.push(index);
    }

    fn unlist(&mut self, index: usize) {
        let runner = &mut self.runners[index];
        let Some(position) = runner.position.take() else {
            return;
        };
        let open = &mut self.services[runner.service].open[runner.side];
        open.swap_remove(position);
        if let Some(&moved) = open.get(position) {
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
            probing: false,
            peers: DecayingSum::default(),
            health: RunnerHealth::default(),
            departure: DrainDetector::default(),
            side: LOCAL,
            position: None,
            usable: false,
            gone: false,
        }
    }

    /// Returns how much new work the runner may receive.
    pub fn intake(&self, now: Duration) -> DispatchMode {
        match (
            self.departure.dispatch_mode(now),
            self.health.ejected_until(),
        ) {
            (DispatchMode::Blocked, _) => DispatchMode::Blocked,
            (_, Some(until)) if now < until => DispatchMode::Blocked,
            (_, Some(_)) => DispatchMode::Probe,
            (intake, None) => intake,
        }
    }
}
