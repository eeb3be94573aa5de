//! Moves machines to the pools that need them, and back to the spare pool.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_fleet::Resources;
use nutmegcart_model::Event;
use nutmegcart_model::PoolName;
use nutmegcart_model::log_event;

use crate::arrivals::Arrivals;
use crate::assignments::fits_any;
use crate::burst_forecast::BurstForecast;
use crate::machine_orders::MachineOrder;
use crate::machines::MachineState;
use crate::scheduler::Scheduler;
use crate::vacating::Vacations;

/// Time in seconds in which waiting work should be done; a moving machine is unavailable for most
/// of it.
const BACKLOG_SECONDS: f64 = 1.5;
/// Time for which a machine has to be idle before it moves to another pool.
const MIN_IDLE_MOVE: Duration = Duration::from_millis(300);
/// Time for which a machine has to be idle before it moves to the spare pool, which switches it
/// off.
const MIN_IDLE_SPARE: Duration = Duration::from_millis(1_200);
/// Machines that a pool keeps for its next burst, in addition to those with long-running tasks.
const MIN_MACHINES: usize = 2;
/// Upper bound on moves that one pass begins.
const MAX_MOVES: usize = 12;

/// Demand in machines below which nothing counts as a burst.
const MIN_BURST_MACHINES: f64 = 4.0;
/// Time from the end of a move until the machine's worker can start tasks.
const WORKER_START_TIME: Duration = Duration::from_millis(250);

/// Machines of a pool at the latest pass.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolDemand {
    /// Number of machines wanted.
    pub wanted: usize,
    /// Number of machines that count as held, including those that are moving to the pool.
    pub held: usize,
    /// Number of workers that waiting long-running tasks need and for which no machine is moving to
    /// the pool.
    pub urgent: usize,
    /// Number of idle machines.
    pub idle: usize,
}

/// State that is kept between passes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rebalancer {
    idle_since: BTreeMap<Arc<str>, Duration>,
    demands: BTreeMap<PoolName, PoolDemand>,
    arrivals: BTreeMap<PoolName, Arrivals>,
    forecast: BurstForecast,
    pub(crate) vacations: Vacations,
}

impl Rebalancer {
    /// Records the work of a new job in core-seconds.
    pub(crate) fn record_arrival(&mut self, pool: &PoolName, work: f64, now: Duration) {
        let arrivals = self.arrivals.entry(pool.clone()).or_default();
        arrivals.record(work, now);
    }

    /// Returns the averages of the work that arrives for a pool.
    fn arriving(&self, pool: &PoolName) -> Arrivals {
        self.arrivals.get(pool).copied().unwrap_or_default()
    }
}

/// A pool that lacks machines with a label, or of any kind.
pub(crate) type Need = (PoolName, Option<Arc<str>>);

/// Machines with a label, or of any kind, that a pool wants and holds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    /// Number of machines wanted.
    wanted: usize,
    /// Number of machines in the pool, including those that are moving to it, without those whose
    /// workers are leaving.
    held: usize,
    /// Number of workers that waiting long-running tasks need.
    missing: usize,
    /// Number of these for which no machine is moving to the pool yet.
    pub(crate) urgent: usize,
    /// Number of workers that long-running tasks need which wait for their next attempt.
    delayed: usize,
    /// Number of held machines without long-running tasks whose workers cannot take one.
    unusable: usize,
}

impl Demand {
    /// Returns how many machines the pool lacks.
    const fn shortage(self) -> usize {
        self.wanted.saturating_sub(self.held)
    }

    /// Returns whether long-running tasks wait for a machine that is not on its way.
    const fn is_urgent(self) -> bool {
        self.urgent > 0 && self.shortage() > 0
    }

    /// Counts machines as wanted on which tasks wait for their next attempt, as far as they are held.
    fn keep_delayed(&mut self) {
        let kept = self.wanted.saturating_add(self.delayed).min(self.held);
        self.wanted = self.wanted.max(kept);
    }

    /// Stops counting unusable machines as held, except for `kept`, until the pool is short of the
    /// workers that long-running tasks wait for, and of no more.
    fn discount_unusable(&mut self, kept: usize) {
        let unusable = self.unusable.saturating_sub(kept);
        let least = self.wanted.saturating_sub(self.urgent).min(self.held);
        let held = self.held.saturating_sub(unusable).max(least);
        self.unusable -= self.held - held;
        self.held = held;
    }
}

/// A machine on which nothing runs.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct IdleMachine {
    since: Duration,
    name: Arc<str>,
    /// Whether its worker takes no new tasks for a time that is not known.
    unusable: bool,
}

/// Machines that a pool wants and holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Balance {
    /// Machines of any kind. Those that are urgent are wanted by tasks that require no label.
    all: Demand,
    /// Machines by label that waiting work requires.
    labelled: BTreeMap<Arc<str>, Demand>,
    /// Idle machines, those that have been idle for longest first.
    idle: Vec<IdleMachine>,
}

impl Balance {
    fn demand(&self) -> PoolDemand {
        PoolDemand {
            wanted: self.all.wanted,
            held: self.all.held,
            urgent: self.demands().map(|(_, demand)| demand.urgent).sum(),
            idle: self.idle.len(),
        }
    }

    /// Returns the demand for machines with the label, or for those of any kind.
    fn demand_for(&mut self, label: Option<Arc<str>>) -> &mut Demand {
        match label {
            None => &mut self.all,
            Some(label) => self.labelled.entry(label).or_default(),
        }
    }

    /// Returns the demand for machines of any kind, and that for each label.
    fn demands(&self) -> impl Iterator<Item = (Option<&Arc<str>>, &Demand)> {
        let labelled = self.labelled.iter();
        let labelled = labelled.map(|(label, demand)| (Some(label), demand));
        std::iter::once((None, &self.all)).chain(labelled)
    }

    /// Returns the demands for which long-running tasks wait.
    pub(crate) fn urgent(&self) -> impl Iterator<Item = (Option<&Arc<str>>, &Demand)> {
        self.demands().filter(|(_, demand)| demand.is_urgent())
    }

    /// Returns the demands that a machine with these labels serves.
    fn served_by(&mut self, labels: &[Arc<str>]) -> impl Iterator<Item = &mut Demand> {
        let labelled = self.labelled.iter_mut();
        let labelled = labelled.filter(|(label, _)| labels.contains(label));
        std::iter::once(&mut self.all).chain(labelled.map(|(_, demand)| demand))
    }

    /// Counts a machine that joins.
    fn join(&mut self, labels: &[Arc<str>]) {
        for demand in self.served_by(labels) {
            demand.held += 1;
            demand.urgent = demand.urgent.saturating_sub(1);
        }
    }

    /// Removes an idle machine that leaves.
    fn leave(&mut self, name: &str, labels: &[Arc<str>]) {
        let Some(index) = self.idle.iter().position(|idle| &*idle.name == name) else {
            return;
        };
        let unusable = self.idle.remove(index).unusable;
        for demand in self.served_by(labels) {
            demand.held = demand.held.saturating_sub(1);
            demand.unusable = demand.unusable.saturating_sub(usize::from(unusable));
        }
    }

    /// Stops counting unusable machines as held where long-running tasks wait, and counts the
    /// workers that tasks with a label wait for as wanted, as far as their machines are held, and
    /// those of tasks that wait for their next attempt.
    fn settle(&mut self) {
        for demand in self.labelled.values_mut() {
            demand.discount_unusable(0);
            self.all.wanted += demand.missing.saturating_sub(demand.shortage());
            demand.keep_delayed();
        }
        // The machines that the pool keeps for its next burst may be unusable for a while.
        self.all.discount_unusable(MIN_MACHINES);
        self.all.keep_delayed();
    }

    /// Returns whether the pool does not need an idle machine with these labels. It keeps as many
    /// usable ones as it wants.
    fn can_spare(&self, idle: &IdleMachine, labels: &[Arc<str>]) -> bool {
        let surplus = |demand: &Demand| {
            let unusable = if idle.unusable { 0 } else { demand.unusable };
            demand.held.saturating_sub(unusable) > demand.wanted
        };
        let mut labelled = labels.iter().filter_map(|label| self.labelled.get(label));
        surplus(&self.all) && labelled.all(surplus)
    }
}

/// Returns the need that is served next.
fn next_need(
    balances: &BTreeMap<PoolName, Balance>,
    spare: Option<&PoolName>,
    unmet: &BTreeSet<Need>,
) -> Option<Need> {
    let pools = balances.iter().filter(|(pool, _)| Some(*pool) != spare);
    let needs = pools.flat_map(|(pool, balance)| {
        let demands = balance.demands();
        demands.map(|(label, demand)| ((pool.clone(), label.cloned()), demand))
    });
    let open = needs.filter(|(need, demand)| demand.shortage() > 0 && !unmet.contains(need));
    // As in placement, long-running tasks go first. The few machines that they need would otherwise
    // wait until the largest burst is over. A machine with a label also serves other work.
    let next = open.max_by_key(|((_, label), demand)| {
        (demand.is_urgent(), demand.shortage(), label.is_some())
    });
    next.map(|(need, _)| need)
}

impl Scheduler {
    /// Returns the machines that a pool wanted and held at the latest pass, before that pass began
    /// any move; `None` if this owner may not order machines or has not listed them.
    #[must_use]
    pub fn pool_demand(&self, pool: &PoolName) -> Option<PoolDemand> {
        self.rebalancer.demands.get(pool).copied()
    }

    /// Logs the machines of a pool in which a long-running task waits for a worker.
    ///
    /// The line tells whether the pool counts as short of machines, and whether there are any that
    /// could move.
    pub(crate) fn log_shortage(&self, cell: u32, pool: &PoolName, now: Duration) {
        let Some(demand) = self.pool_demand(pool) else {
            return;
        };
        let of_pool = self.workers.values();
        let of_pool = of_pool.filter(|worker| worker.listing.pool == *pool);
        let leaving = of_pool.filter(|worker| worker.listing.draining || worker.is_missing(now));
        let all = self.rebalancer.demands.values();
        let orders = self.machines.pending.values();
        let to_pool = MachineOrder::Move(pool.clone());
        log_event!(
            Event::PoolShortage,
            cell = cell,
            pool = pool,
            wanted = demand.wanted,
            held = demand.held,
            urgent = demand.urgent,
            leaving = leaving.count(),
            coming = orders.filter(|pending| pending.order == to_pool).count(),
            idle = demand.idle,
            idle_elsewhere = all.map(|each| each.idle).sum::<usize>() - demand.idle,
            vacating = self.rebalancer.vacations.machines().count(),
        );
    }

    /// Begins moves of idle machines to pools with a shortage.
    ///
    /// Queues burst one after another: each needs several times its pool while the others are
    /// nearly idle. Moving a machine pays off within a second of a burst.
    pub(crate) fn rebalance(&mut self, now: Duration) {
        self.release_reserved();
        if !self.may_order_machines(now) {
            return;
        }
        self.note_workerless(now);
        let mut balances = self.balances(now);
        let demands = balances.iter();
        let demands = demands.map(|(pool, balance)| (pool.clone(), balance.demand()));
        self.rebalancer.demands = demands.collect();
        let spare = self
            .pools
            .iter()
            .find(|(_, config)| config.spare)
            .map(|(name, _)| name.clone());
        let mut moves: Vec<(Arc<str>, PoolName)> = Vec::new();
        let mut unmet: BTreeSet<Need> = BTreeSet::new();
        while moves.len() < MAX_MOVES {
            let Some((receiver, label)) = next_need(&balances, spare.as_ref(), &unmet) else {
                break;
            };
            let request = (&receiver, label.as_ref());
            let Some((donor, machine)) = self.donor(&balances, request, spare.as_ref(), now) else {
                unmet.insert((receiver, label));
                continue;
            };
            let labels = self.machines.known[&machine].labels.clone();
            if let Some(balance) = balances.get_mut(&donor) {
                balance.leave(&machine, &labels);
            }
            if let Some(balance) = balances.get_mut(&receiver) {
                balance.join(&labels);
            }
            moves.push((machine, receiver));
        }
        moves.extend(self.vacate(&balances, spare.as_ref(), MAX_MOVES - moves.len(), now));
        if let Some(spare) = spare {
            for (pool, balance) in &mut balances {
                if *pool == spare {
                    continue;
                }
                while moves.len() < MAX_MOVES {
                    let surplus = balance.idle.iter().find(|idle| {
                        let labels = &self.machines.known[&idle.name].labels;
                        now >= idle.since + MIN_IDLE_SPARE && balance.can_spare(idle, labels)
                    });
                    let Some(machine) = surplus.map(|idle| idle.name.clone()) else {
                        break;
                    };
                    balance.leave(&machine, &self.machines.known[&machine].labels);
                    moves.push((machine, spare.clone()));
                }
            }
        }
        for (machine, pool) in moves {
            self.rebalancer.idle_since.remove(&machine);
            self.order_machine(&machine, &MachineOrder::Move(pool), now);
        }
    }

    /// Finds an idle machine, with the label if one is given: from the spare pool, else from the
    /// pool with the largest surplus.
    fn donor(
        &self,
        balances: &BTreeMap<PoolName, Balance>,
        (receiver, label): (&PoolName, Option<&Arc<str>>),
        spare: Option<&PoolName>,
        now: Duration,
    ) -> Option<(PoolName, Arc<str>)> {
        let fits = |name: &Arc<str>| {
            label.is_none_or(|label| self.machines.known[name].labels.contains(label))
        };
        let spare = spare.and_then(|spare| balances.get(spare).map(|balance| (spare, balance)));
        if let Some((pool, balance)) = spare
            && let Some(idle) = balance.idle.iter().find(|idle| fits(&idle.name))
        {
            return Some((pool.clone(), idle.name.clone()));
        }
        let idle_machine = |balance: &Balance| {
            let idle = balance.idle.iter().find(|idle| {
                let labels = &self.machines.known[&idle.name].labels;
                let rested = now >= idle.since + MIN_IDLE_MOVE;
                rested && fits(&idle.name) && balance.can_spare(idle, labels)
            });
            idle.map(|idle| idle.name.clone())
        };
        let donors = balances.iter().filter(|(pool, _)| *pool != receiver);
        let donors = donors.filter_map(|(pool, balance)| {
            let surplus = balance.all.held.saturating_sub(balance.all.wanted);
            idle_machine(balance).map(|machine| (surplus, pool, machine))
        });
        let (_, pool, machine) = donors.max_by_key(|(surplus, ..)| *surplus)?;
        Some((pool.clone(), machine))
    }

    /// Returns the median number of cores of the known machines.
    fn median_cores(&self) -> f64 {
        let mut capacities: Vec<u64> = self
            .machines
            .known
            .values()
            .map(|machine| machine.capacity.cpu)
            .collect();
        capacities.sort_unstable();
        capacities
            .get(capacities.len() / 2)
            .copied()
            .unwrap_or(1)
            .max(1) as f64
            / 1_000.0
    }

    /// Adds the workers that waiting tasks lack to the balances of their pools. Returns the machines
    /// that the largest waiting gang of each pool needs if it may share them.
    fn count_missing(
        &self,
        balances: &mut BTreeMap<PoolName, Balance>,
        sizes: &[Resources],
        now: Duration,
    ) -> BTreeMap<PoolName, usize> {
        let mut gangs: BTreeMap<PoolName, usize> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.ended.is_none()) {
            let balance = balances.entry(job.pool.clone()).or_default();
            for (label, missing) in self.missing_workers(job, now) {
                let demand = balance.demand_for(label);
                demand.wanted += missing;
                demand.missing += missing;
                demand.urgent += missing;
            }
            for (label, delayed) in self.delayed_workers(job, now) {
                balance.demand_for(label).delayed += delayed;
            }
            let gang = gangs.entry(job.pool.clone()).or_default();
            *gang = self.gang_machines(job, sizes).max(*gang);
        }
        gangs
    }

    /// Computes the machines that each pool wants and holds. Demand in cores is converted to
    /// machines of median capacity.
    fn balances(&mut self, now: Duration) -> BTreeMap<PoolName, Balance> {
        let mut balances: BTreeMap<PoolName, Balance> = BTreeMap::new();
        for pool in self.pools.keys() {
            balances.insert(pool.clone(), Balance::default());
        }
        let median_cores = self.median_cores();
        let sizes = self.machine_sizes();
        let mut cores: BTreeMap<PoolName, f64> = BTreeMap::new();
        let mut labelled: BTreeMap<(PoolName, Arc<str>), f64> = BTreeMap::new();
        for job in self
            .jobs
            .values()
            .filter(|job| job.ended.is_none() && !job.accepted.job.is_long_running())
        {
            for (label, work) in job.work_by_label(|step| fits_any(step, &sizes)) {
                *cores.entry(job.pool.clone()).or_default() += work / BACKLOG_SECONDS;
                if let Some(label) = label {
                    let key = (job.pool.clone(), label.clone());
                    *labelled.entry(key).or_default() += work / BACKLOG_SECONDS;
                }
            }
        }
        let gangs = self.count_missing(&mut balances, &sizes, now);
        for ((pool, label), cores) in labelled {
            let balance = balances.entry(pool).or_default();
            let demand = balance.labelled.entry(label).or_default();
            demand.wanted += round_up(cores / median_cores);
        }
        let names: Vec<Arc<str>> = self.machines.known.keys().cloned().collect();
        let mut idle_since: BTreeMap<Arc<str>, Duration> = BTreeMap::new();
        for name in names {
            let machine = &self.machines.known[&name];
            let pending = self.machines.pending.get(&name);
            let (target, arriving) = match pending.map(|pending| &pending.order) {
                Some(MachineOrder::Move(pool)) => (pool.clone(), true),
                _ => (machine.pool.clone(), false),
            };
            let (long_running, _) = self.load_of(machine);
            let empty = self.is_empty(machine);
            let balance = balances.entry(target).or_default();
            let leaving = !arriving && self.is_leaving(machine, now);
            let held = machine.state != MachineState::Down && !leaving;
            let out_of_service =
                self.is_out_of_service(machine, now) || self.lacks_worker(machine, now);
            let unusable = !arriving && !leaving && out_of_service;
            balance.all.wanted += usize::from(long_running > 0);
            for demand in balance.served_by(&machine.labels) {
                demand.held += usize::from(held);
                demand.unusable += usize::from(long_running == 0 && unusable);
                // The list of machines lags behind the worker that has started after a move.
                if arriving && long_running == 0 {
                    demand.urgent = demand.urgent.saturating_sub(1);
                }
            }
            let labelled = balance.labelled.iter_mut();
            for (_, demand) in labelled.filter(|(label, _)| machine.labels.contains(label)) {
                // Other work with the label runs beside long-running tasks.
                demand.wanted +=
                    usize::from(long_running > 0 && demand.missing + demand.delayed > 0);
            }
            let free = self.may_order(machine, now) && !leaving;
            if free && empty && !self.maintenance.is_due(&name) {
                let since = self
                    .rebalancer
                    .idle_since
                    .get(&name)
                    .copied()
                    .unwrap_or(now);
                idle_since.insert(name.clone(), since);
                balance.idle.push(IdleMachine {
                    since,
                    name,
                    unusable,
                });
            }
        }
        self.rebalancer.idle_since = idle_since;
        for (pool, balance) in &mut balances {
            let backlog = cores.get(pool).copied().unwrap_or_default();
            let arrivals = self.rebalancer.arriving(pool);
            let arriving = arrivals.mean(now);
            if arriving > 0.0 {
                let min_burst = MIN_BURST_MACHINES * median_cores;
                self.rebalancer
                    .forecast
                    .observe(pool, arriving, min_burst, now);
            }
            let lead = self.settings.move_time + WORKER_START_TIME;
            let expected = self.rebalancer.forecast.expected_demand(pool, lead, now);
            let rising = arrivals.expected(lead, now);
            let busy = backlog.max(rising).max(expected.unwrap_or_default()) / median_cores;
            let gang = gangs.get(pool).copied().unwrap_or_default();
            balance.all.wanted += MIN_MACHINES.max(round_up(busy)).max(gang);
            balance.settle();
            balance.idle.sort();
        }
        balances
    }
}

/// Rounds up to whole machines.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "fleets are far smaller than the range"
)]
fn round_up(machines: f64) -> usize {
    machines.max(0.0).ceil() as usize
}
