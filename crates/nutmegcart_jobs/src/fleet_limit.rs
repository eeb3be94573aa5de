//! Fleet-wide limits of organisations: what each has running in the cell, and the part of its limit
//! that the cell may use.
//!
//! Each cell has an allocation of every limit, in millionths. All allocations together are at most
//! the whole, so the owners of cells need not ask each other before a start. What may be running
//! counts: ordered, confirmed and stopping runs, reservations, and what an earlier owner may have
//! started on workers that this owner has not reached.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use nutmegcart_fleet::Resources;
use nutmegcart_model::OrganisationName;
use nutmegcart_model::PoolName;

use crate::assignments::is_assigned;
use crate::job::Step;
use crate::job::TaskKey;
use crate::live_job::LiveJob;
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// All allocations of a limit together, in millionths.
pub const WHOLE: u32 = 1_000_000;

/// Returns the allocation of each of `cells` cells while none has been moved, in millionths.
///
/// ```
/// # use nutmegcart_jobs::fleet_limit::equal_allocation;
/// assert_eq!(equal_allocation(4), 250_000);
/// assert_eq!(equal_allocation(3), 333_333);
/// ```
#[must_use]
pub const fn equal_allocation(cells: u32) -> u32 {
    let cells = if cells == 0 { 1 } else { cells };
    WHOLE / cells
}

/// What an organisation uses in a cell, and what it may use there.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Allowance {
    /// Limit over all cells; 0 in an amount for no limit.
    pub limit: Resources,
    /// Part of the limit that the cell may use, in millionths.
    pub allocation: u32,
    /// What may be running in the cell.
    pub used: Resources,
    /// Part of it that long-running tasks use.
    pub long_running: Resources,
    /// What other cells use above their allocations, after the limit has fallen; `None` if that is
    /// not known, so that nothing may start.
    pub elsewhere: Option<Resources>,
}

impl Allowance {
    /// Returns whether `count` tasks of the same need may start together.
    ///
    /// A cell with more than half of all allocations, of which there is at most one, may exceed its
    /// allocation by one task. Without that, a task larger than the limit would never run.
    ///
    /// ```
    /// # use nutmegcart_fleet::Resources;
    /// # use nutmegcart_jobs::fleet_limit::Allowance;
    /// let limit = Resources::new(8_000, 0, 0);
    /// let part = Allowance { limit, allocation: 500_000, used: Resources::new(3_000, 900, 0), long_running: Resources::default(), elsewhere: Some(Resources::default()) };
    /// assert!(part.admits(Resources::new(1_000, 900, 0), 1));
    /// assert!(!part.admits(Resources::new(2_000, 0, 0), 1));
    /// let whole = Allowance { allocation: 1_000_000, ..part };
    /// assert!(whole.admits(Resources::new(64_000, 0, 0), 1));
    /// ```
    #[must_use]
    pub fn admits(&self, need: Resources, count: u32) -> bool {
        let Some(elsewhere) = self.elsewhere else {
            return false;
        };
        let (all, before) = (u128::from(count), u128::from(count.saturating_sub(1)));
        let majority = self.allocation > WHOLE / 2;
        let (limit, used) = (amounts(self.limit), amounts(self.used + elsewhere));
        let each = limit.into_iter().zip(used).zip(amounts(need));
        let mut limited = each.filter(|((limit, _), _)| *limit > 0);
        limited.all(|((limit, used), need)| {
            let allocated = limit * u128::from(self.allocation);
            let used_with = |count: u128| (used + need * count) * u128::from(WHOLE);
            used_with(all) <= allocated || (majority && used_with(before) < allocated)
        })
    }
}

impl Allowance {
    /// Returns what other cells are known to use above their allocations.
    pub(crate) fn excess_elsewhere(&self) -> Resources {
        self.elsewhere.unwrap_or_default()
    }

    /// Returns the part of the limit that is in use in the cell, by the resource with the highest one.
    #[must_use]
    pub fn share(&self) -> f64 {
        let (limit, used) = (amounts(self.limit), amounts(self.used));
        let limited = limit.into_iter().zip(used).filter(|(limit, _)| *limit > 0);
        limited.fold(0.0, |most: f64, (limit, used)| {
            most.max(used as f64 / limit as f64)
        })
    }
}

/// Returns the amounts in a fixed order, wide enough for products.
pub(crate) fn amounts(resources: Resources) -> [u128; 3] {
    [
        resources.cpu.into(),
        resources.memory.into(),
        resources.accelerators.into(),
    ]
}

/// Limits of the organisations, as the owner of one cell tracks them.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetLimits {
    /// Use of the organisations with limits. A placement pass counts it once and then adds what it
    /// starts.
    allowances: BTreeMap<OrganisationName, Allowance>,
}

impl FleetLimits {
    fn add(&mut self, organisation: Option<&OrganisationName>, used: Resources) {
        let allowance = organisation.and_then(|name| self.allowances.get_mut(name));
        if let Some(allowance) = allowance {
            allowance.used += used;
        }
    }
}

/// Capacity of the workers of a pool that this owner has not reached, and what it knows of them.
struct Unreached {
    capacity: Resources,
    /// Whether the capacity of some of them is not known.
    unbounded: bool,
    /// Long-running tasks that may run there; `None` if an earlier owner did not store them.
    assigned: Option<BTreeSet<TaskKey>>,
}

impl Default for Unreached {
    fn default() -> Self {
        Self {
            capacity: Resources::default(),
            unbounded: false,
            assigned: Some(BTreeSet::new()),
        }
    }
}

impl Unreached {
    /// Adds a worker with its capacity, if that is known.
    fn add(&mut self, worker: &Worker, capacity: Option<Resources>) {
        self.capacity += capacity.unwrap_or_default();
        self.unbounded |= capacity.is_none();
        match (&mut self.assigned, &worker.assigned) {
            (Some(tasks), Some(more)) => tasks.extend(more.iter().cloned()),
            (assigned, _) => *assigned = None,
        }
    }

    /// Returns what tasks without a known run may occupy there: the part that the capacity bounds, and
    /// the processor use of best-effort tasks, which occupy none of it.
    fn possible_use(&self, job: &LiveJob) -> (Resources, Resources) {
        let (mut bounded, mut unbounded) = (Resources::default(), Resources::default());
        for (number, occurrence) in &job.occurrences {
            let steps = job.accepted.job.steps.iter().zip(&occurrence.steps);
            for (index, (step, state)) in (0_u16..).zip(steps) {
                let known = self.assigned.as_ref().filter(|_| is_assigned(step));
                let key = |task: u32| TaskKey {
                    job: job.id.clone(),
                    occurrence: *number,
                    step: index,
                    index: task,
                };
                let may_run = |task: &u32| known.is_none_or(|tasks| tasks.contains(&key(*task)));
                for _ in state.pending().filter(may_run) {
                    bounded += step.allocation();
                    unbounded += step.need.saturating_sub(step.allocation());
                }
            }
        }
        (bounded, unbounded)
    }

    fn bound(&self, used: Resources) -> Resources {
        if self.unbounded {
            used
        } else {
            used.min(self.capacity)
        }
    }
}

impl Scheduler {
    /// Returns the organisations with a limit, with their use in this cell as of the latest placement
    /// pass.
    pub fn allowances(&self) -> impl Iterator<Item = (&OrganisationName, &Allowance)> {
        self.limits.allowances.iter()
    }

    pub(crate) fn allowance(&self, organisation: &OrganisationName) -> Option<&Allowance> {
        self.limits.allowances.get(organisation)
    }

    /// Applies a changed allocation between two passes.
    pub(crate) fn refresh_allocation(&mut self, organisation: &OrganisationName) {
        let allocation = self.moves.allocation(organisation);
        if let Some(allowance) = self.limits.allowances.get_mut(organisation) {
            allowance.allocation = allocation;
        }
    }

    /// Counts the use of the organisations with limits, for a placement pass.
    pub(crate) fn count_use(&mut self) {
        let mut limits = std::mem::take(&mut self.limits);
        limits.allowances.clear();
        self.moves.clear_lacks();
        for (name, organisation) in &self.organisations {
            if organisation.has_limit() {
                let allowance = Allowance {
                    limit: organisation.limit,
                    allocation: self.moves.allocation(name),
                    used: Resources::default(),
                    long_running: Resources::default(),
                    elsewhere: self.moves.elsewhere(name),
                };
                limits.allowances.insert(name.clone(), allowance);
            }
        }
        if !limits.allowances.is_empty() {
            self.add_runs(&mut limits);
            for task in self.assignments.reserved_tasks() {
                if let Some(job) = self.jobs.get(&task.job) {
                    let need = job.step(task).map(|step| step.need).unwrap_or_default();
                    limits.add(job.accepted.organisation.as_ref(), need);
                }
            }
            self.add_possible_runs(&mut limits);
        }
        self.limits = limits;
    }

    /// Adds the runs that this owner knows.
    fn add_runs(&self, limits: &mut FleetLimits) {
        for worker in self.workers.values() {
            for run in worker.runs.values() {
                limits.add(run.organisation.as_ref(), run.need);
                let organisation = run.organisation.as_ref().filter(|_| run.long_running);
                if let Some(allowance) =
                    organisation.and_then(|name| limits.allowances.get_mut(name))
                {
                    allowance.long_running += run.need;
                }
            }
            let mut unknown = false;
            for task in &worker.unknown_tasks {
                if let Some(job) = self.jobs.get(&task.job) {
                    let need = job.step(task).map(|step| step.need).unwrap_or_default();
                    limits.add(job.accepted.organisation.as_ref(), need);
                } else {
                    unknown = true;
                }
            }
            if unknown {
                // Runs whose jobs have ended may be of any organisation, and fill the worker at most.
                for allowance in limits.allowances.values_mut() {
                    allowance.used += worker.free();
                }
            }
        }
    }

    /// Returns the capacity of a worker or, if service discovery does not list it, of its machine; that of
    /// the largest machine if this one is not known, and none without any machine.
    fn capacity_of(&self, worker: &Worker) -> Option<Resources> {
        if worker.listing.capacity != Resources::default() {
            return Some(worker.listing.capacity);
        }
        let machines = &self.machines.known;
        let machine = worker.listing.machine.as_ref();
        if let Some(machine) = machine.and_then(|name| machines.get(name)) {
            return Some(machine.capacity);
        }
        let capacities = machines.values().map(|machine| machine.capacity);
        capacities.reduce(Resources::max)
    }

    /// Adds what an earlier owner may have started on workers that this owner has not reached.
    fn add_possible_runs(&self, limits: &mut FleetLimits) {
        let mut all = Unreached::default();
        let mut pools: BTreeMap<&PoolName, Unreached> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.is_unreached()) {
            let capacity = self.capacity_of(worker);
            all.add(worker, capacity);
            let of_pool = pools.entry(&worker.listing.pool).or_default();
            of_pool.add(worker, capacity);
        }
        if pools.is_empty() {
            return;
        }
        // By organisation and pool; none for jobs that may have tasks in several pools.
        let mut sums: BTreeMap<(&OrganisationName, Option<&PoolName>), Resources> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.inherited) {
            let Some(name) = job.accepted.organisation.as_ref() else {
                continue;
            };
            let pool = (!job.moved).then_some(&job.pool);
            let unreached = pool.map_or(Some(&all), |pool| pools.get(pool));
            let Some(unreached) = unreached.filter(|_| limits.allowances.contains_key(name)) else {
                continue;
            };
            let (bounded, unbounded) = unreached.possible_use(job);
            *sums.entry((name, pool)).or_default() += bounded;
            limits.add(Some(name), unbounded);
        }
        for ((name, pool), sum) in sums {
            let unreached = pool.map_or(Some(&all), |pool| pools.get(pool));
            let bounded = unreached.map_or(sum, |unreached| unreached.bound(sum));
            limits.add(Some(name), bounded);
        }
    }

    /// Returns whether the limit of the job's organisation permits `count` tasks of a step to start
    /// together.
    pub(crate) fn limit_admits(&self, job: &LiveJob, step: &Step, count: u32) -> bool {
        let organisation = job.accepted.organisation.as_ref();
        let allowance = organisation.and_then(|name| self.limits.allowances.get(name));
        allowance.is_none_or(|allowance| allowance.admits(step.need, count))
    }

    /// Same for a task, whose job may be gone.
    pub(crate) fn limit_admits_task(&self, task: &TaskKey, step: &Step) -> bool {
        let job = self.jobs.get(&task.job);
        job.is_some_and(|job| self.limit_admits(job, step, 1))
    }

    /// Counts a task as used that is started or for which a worker is reserved.
    pub(crate) fn add_use(&mut self, task: &TaskKey, step: &Step) {
        if !self.limits.allowances.is_empty() {
            let job = self.jobs.get(&task.job);
            let organisation = job.and_then(|job| job.accepted.organisation.as_ref());
            self.limits.add(organisation, step.need);
        }
    }

    /// Takes back what [`Scheduler::add_use`] has counted.
    pub(crate) fn remove_use(&mut self, task: &TaskKey, step: &Step) {
        let job = self.jobs.get(&task.job);
        let organisation = job.and_then(|job| job.accepted.organisation.as_ref());
        let allowance = organisation.and_then(|name| self.limits.allowances.get_mut(name));
        if let Some(allowance) = allowance {
            allowance.used = allowance.used.saturating_sub(step.need);
        }
    }
}
