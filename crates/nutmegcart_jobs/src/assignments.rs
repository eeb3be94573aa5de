//! Assignments of long-running tasks to workers, which are stored before the tasks are started.
//!
//! Failure that it answers: an owner is lost and cannot be asked, and one worker of a pool is silent.
//! From the stored assignments the successor knows on which workers a run of a long-running task may
//! live, and waits for these only. A transaction that stores them compares the owner's key, so an
//! owner adds none after its successor has written its key, and the successor reads them after that.
//!
//! Other tasks start hundreds of times a second, too often to store each start. Tasks of a gang start
//! together, and are not assigned either.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_fleet::Resources;
use nutmegcart_model::PoolName;
use nutmegcart_model::WorkerId;

use crate::job::Step;
use crate::job::TaskKey;
use crate::live_job::LiveJob;
use crate::scheduler::Scheduler;
use crate::slot::Constraints;
use crate::slot::Slots;
use crate::worker::Worker;

/// Tasks that the stored cell state lists, with their workers.
pub(crate) type Assigned = BTreeSet<(WorkerId, TaskKey)>;

/// Chosen workers of tasks that are not started yet, and what the stored cell state lists.
#[derive(Clone, Debug, Default)]
pub(crate) struct Assignments {
    /// Worker chosen for each task that is not started yet.
    reservations: BTreeMap<TaskKey, WorkerId>,
    /// What the stored cell state certainly lists, whichever transaction was stored last.
    stored: Assigned,
}

impl Assignments {
    /// Returns the worker that is reserved for a task.
    pub(crate) fn reserved(&self, task: &TaskKey) -> Option<&WorkerId> {
        self.reservations.get(task)
    }

    /// Returns whether a successor would learn from the store that the task may run on the worker.
    pub(crate) fn is_stored(&self, task: &TaskKey, worker: &WorkerId) -> bool {
        self.stored.contains(&(worker.clone(), task.clone()))
    }

    /// Returns whether a reservation on a worker that the state would contain waits to be stored.
    pub(crate) fn is_due(&self, contains: impl Fn(&WorkerId) -> bool) -> bool {
        let mut reservations = self.reservations.iter();
        reservations.any(|(task, worker)| !self.is_stored(task, worker) && contains(worker))
    }

    /// Records that a transaction which lists `listed` is about to be sent, and may be stored even
    /// if its answer is lost.
    pub(crate) fn begin_store(&mut self, listed: &Assigned) {
        self.stored.retain(|each| listed.contains(each));
    }

    /// Records that the transaction which lists `listed` was stored.
    pub(crate) fn finish_store(&mut self, listed: Assigned) {
        self.stored = listed;
    }

    /// Returns the tasks for which any worker is reserved.
    pub(crate) fn reserved_tasks(&self) -> impl Iterator<Item = &TaskKey> {
        self.reservations.keys()
    }

    /// Returns the tasks for which a worker is reserved.
    pub(crate) fn on<'a>(&'a self, worker: &'a WorkerId) -> impl Iterator<Item = &'a TaskKey> {
        let reservations = self.reservations.iter();
        let on = reservations.filter(move |(_, reserved)| *reserved == worker);
        on.map(|(task, _)| task)
    }
}

/// Returns whether the tasks of a step start only on workers to which they are stored as assigned.
pub(crate) const fn is_assigned(step: &Step) -> bool {
    step.long_running && !step.gang
}

impl Scheduler {
    /// Returns the workers that have not answered this owner, and on which an earlier owner may have
    /// started the task.
    pub(crate) fn blockers(&self, job: &LiveJob, task: &TaskKey) -> impl Iterator<Item = &Worker> {
        let assigned = job.step(task).is_some_and(is_assigned);
        let (task, inherited) = (task.clone(), job.inherited);
        let unreached = self.unreached_workers(job).filter(move |_| inherited);
        let known = move |worker: &Worker| worker.assigned.is_some() && assigned;
        let unknown = unreached.filter(move |worker| !known(worker));
        let all = self.workers.values();
        let assigned_to = all.filter(move |worker| inherited && worker.is_unreached());
        let assigned_to = assigned_to.filter(move |worker| {
            let tasks = worker.assigned.as_ref().filter(|_| assigned);
            tasks.is_some_and(|tasks| tasks.contains(&task))
        });
        unknown.chain(assigned_to)
    }

    /// Returns whether a long-running task that waits for a run may be given a worker.
    pub(crate) fn may_assign(
        &self,
        job: &LiveJob,
        occurrence: u32,
        step: u16,
        index: u32,
        now: Duration,
    ) -> bool {
        let task = TaskKey {
            job: job.id.clone(),
            occurrence,
            step,
            index,
        };
        self.assignments.reserved(&task).is_none()
            && self.backoff(job, &task, now).is_none()
            && !self.is_task_blocked(job, &task)
    }

    fn is_task_blocked(&self, job: &LiveJob, task: &TaskKey) -> bool {
        job.inherited && self.blockers(job, task).next().is_some()
    }

    /// Returns the long-running tasks of which a run may live on a worker, or is about to be started
    /// there; `None` if an earlier owner may have started others.
    pub(crate) fn tasks_assigned_to(
        &self,
        id: &WorkerId,
        worker: &Worker,
        now: Duration,
    ) -> Option<BTreeSet<TaskKey>> {
        let mut tasks = if worker.is_unreached() {
            worker.assigned.clone()?
        } else {
            BTreeSet::new()
        };
        let runs = worker.runs.iter().filter(|(_, run)| run.long_running);
        tasks.extend(runs.map(|(task, _)| task.clone()));
        tasks.extend(self.assignments.on(id).cloned());
        let unanswered = worker.unanswered_starts(now);
        let orphans = self.orphan_runs.iter().filter(|(on, _, _)| on == id);
        let orphans = orphans.map(|(_, task, _)| task);
        let others = unanswered.iter().map(|(task, _)| task).chain(orphans);
        let others = others.chain(&worker.unknown_tasks);
        tasks.extend(others.filter(|task| self.may_be_assigned(task)).cloned());
        Some(tasks)
    }

    fn may_be_assigned(&self, task: &TaskKey) -> bool {
        let step = self.jobs.get(&task.job).and_then(|job| job.step(task));
        step.is_none_or(is_assigned)
    }

    /// Returns the number of long-running tasks that are about to be started on a worker.
    pub(crate) fn reserved_tasks(&self, id: &WorkerId) -> usize {
        self.assignments.on(id).count()
    }

    /// Returns the part of a worker's capacity that is reserved for tasks which are not started yet.
    pub(crate) fn reserved_capacity(&self, id: &WorkerId) -> Resources {
        let jobs = &self.jobs;
        let steps = self.assignments.on(id).filter_map(|task| {
            let job = jobs.get(&task.job)?;
            job.step(task)
        });
        steps.fold(Resources::default(), |sum, step| sum + step.allocation())
    }

    /// Counts the reservations of a step by worker.
    pub(crate) fn reservations_of(&self, step: &TaskKey) -> impl Iterator<Item = &WorkerId> {
        let first = TaskKey {
            index: 0,
            ..step.clone()
        };
        let last = TaskKey {
            index: u32::MAX,
            ..step.clone()
        };
        let of_step = self.assignments.reservations.range(first..=last);
        of_step.map(|(_, worker)| worker)
    }

    /// Returns the largest number of workers that the tasks of one long-running step, or of a gang,
    /// of the job need and have not been given, by label that the workers must have.
    pub(crate) fn waiting_workers(&self, job: &LiveJob) -> BTreeMap<Option<Arc<str>>, usize> {
        self.workers_for(job, |_| true)
    }

    /// Same without the tasks that wait for their next attempt.
    pub(crate) fn missing_workers(
        &self,
        job: &LiveJob,
        now: Duration,
    ) -> BTreeMap<Option<Arc<str>>, usize> {
        self.workers_for(job, |task| !self.demands_nothing(job, task, now))
    }

    /// Same for the tasks that wait for their next attempt.
    pub(crate) fn delayed_workers(
        &self,
        job: &LiveJob,
        now: Duration,
    ) -> BTreeMap<Option<Arc<str>>, usize> {
        if !self.has_backoffs() {
            return BTreeMap::new();
        }
        self.workers_for(job, |task| self.demands_nothing(job, task, now))
    }

    fn workers_for(
        &self,
        job: &LiveJob,
        counts: impl Fn(&TaskKey) -> bool,
    ) -> BTreeMap<Option<Arc<str>>, usize> {
        let machines = self.machines.known.len();
        job.missing_workers(machines, |task| {
            self.assignments.reserved(task).is_some() || !counts(task)
        })
    }

    /// Returns the different capacities of the machines of the cell.
    pub(crate) fn machine_sizes(&self) -> Vec<Resources> {
        let known = self.machines.known.values();
        let mut sizes: Vec<Resources> = known.map(|machine| machine.capacity).collect();
        sizes.sort_unstable_by_key(|size| (size.cpu, size.memory, size.accelerators));
        sizes.dedup();
        sizes
    }

    /// Returns whether a task of each step fits on some machine, as far as these are known.
    pub(crate) fn machines_fit(&self, job: &LiveJob) -> bool {
        let sizes = self.machine_sizes();
        let mut steps = job.accepted.job.steps.iter();
        sizes.is_empty() || steps.all(|step| fits_any(step, &sizes))
    }

    /// Returns the number of machines that the largest waiting gang of the job needs if it may share
    /// them; 0 if the cell, whose machines have the given sizes, does not have as many.
    pub(crate) fn gang_machines(&self, job: &LiveJob, sizes: &[Resources]) -> usize {
        let needed = job.gang_workers(|step| {
            let most = sizes.iter().map(|size| count_fitting(step, *size));
            most.max().unwrap_or_default()
        });
        let most = self.machines.known.len();
        if needed <= most { needed } else { 0 }
    }

    /// Drops the reservations of tasks that do not wait for a run any more.
    pub(crate) fn drop_obsolete_reservations(&mut self) {
        let jobs = &mut self.jobs;
        self.assignments.reservations.retain(|task, _| {
            let job = jobs.get_mut(&task.job).filter(|job| job.ended.is_none());
            let state = job.and_then(|job| job.task(task));
            state.is_some_and(|state| !state.done && state.live_runs == 0)
        });
    }

    /// Starts the tasks of a pool whose reservations are stored, and sets the capacity of the others
    /// aside. Drops a reservation if its worker does not admit the task any more.
    pub(crate) fn start_reserved(&mut self, slots: &mut Slots, pool: &PoolName, now: Duration) {
        let jobs = &self.jobs;
        let in_pool = |task: &TaskKey| jobs.get(&task.job).is_some_and(|job| job.pool == *pool);
        let reservations = &mut self.assignments.reservations;
        let of_pool: Vec<_> = reservations
            .extract_if(.., |task, _| in_pool(task))
            .collect();
        if of_pool.is_empty() {
            return;
        }
        for (task, id) in of_pool {
            let index = slots.items.iter().position(|slot| slot.id == id);
            let job = self.jobs.get(&task.job);
            let step = job.and_then(|job| job.step(&task)).cloned();
            if let Some(step) = &step {
                self.remove_use(&task, step);
            }
            let (Some(index), Some(step)) = (index, step) else {
                continue;
            };
            let mut counts = self.runs_per_worker(&task);
            if !self.limit_admits_task(&task, &step) {
                continue;
            }
            if !self.may_start_on(slots, index, &task, &step, &counts, now) {
                continue;
            }
            self.start_or_reserve(slots, index, &task, &step, &mut counts, now);
        }
        slots.update_largest_free();
    }

    /// Starts a task on a worker, or reserves the worker until the assignment is stored.
    pub(crate) fn start_or_reserve(
        &mut self,
        slots: &mut Slots,
        slot: usize,
        task: &TaskKey,
        step: &Step,
        counts: &mut HashMap<WorkerId, u32>,
        now: Duration,
    ) {
        let id = slots.items[slot].id.clone();
        if !is_assigned(step) || self.assignments.is_stored(task, &id) {
            self.start(slots, slot, task, step, None, counts, now);
            return;
        }
        self.add_use(task, step);
        slots.items[slot].assign(step);
        *counts.entry(id.clone()).or_default() += 1;
        self.assignments.reservations.insert(task.clone(), id);
    }

    /// Returns whether a task for which a worker is reserved may be started there now.
    fn may_start_on(
        &mut self,
        slots: &Slots,
        slot: usize,
        task: &TaskKey,
        step: &Step,
        counts: &HashMap<WorkerId, u32>,
        now: Duration,
    ) -> bool {
        let exclusive = self.is_exclusive(now);
        let (avoid, waited) = self.avoided_worker(task, step, now);
        let blocked = |job: &LiveJob| self.is_task_blocked(job, task);
        if self.jobs.get(&task.job).is_none_or(blocked) {
            return false;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let ticketed = job.accepted.queue.ticket_timing.is_some();
        if !job.task(task).is_some_and(|task| task.may_start(exclusive)) {
            return false;
        }
        let permits = |worker: &WorkerId| self.tickets.get(task, worker, now).is_some();
        let acceptable = waited || slots.may_relax_avoid();
        let constraints = Constraints {
            avoid: avoid.as_ref().filter(|_| !acceptable),
            preferred_rack: None,
            runs_per_worker: counts,
            tickets: ticketed.then_some(&permits as &dyn Fn(&WorkerId) -> bool),
        };
        slots.items[slot].obstacle(step, &constraints).is_none()
    }

    /// Sets the reserved capacity of all workers aside.
    pub(crate) fn set_reservations_aside(&self, slots: &mut Slots) {
        for slot in &mut slots.items {
            for task in self.assignments.on(&slot.id.clone()) {
                let job = self.jobs.get(&task.job);
                if let Some(step) = job.and_then(|job| job.step(task)) {
                    slot.assign(step);
                }
            }
        }
        slots.update_largest_free();
    }
}

/// Returns whether a task of a step fits on a machine of one of the sizes.
pub(crate) fn fits_any(step: &Step, sizes: &[Resources]) -> bool {
    sizes.iter().any(|size| step.allocation().fits(*size))
}

/// Returns how many tasks of a step fit on an empty machine.
pub(crate) fn count_fitting(step: &Step, size: Resources) -> u32 {
    let need = step.allocation();
    let each = [
        size.cpu.checked_div(need.cpu),
        size.memory.checked_div(need.memory),
        size.accelerators
            .checked_div(need.accelerators)
            .map(u64::from),
    ];
    let most = each.into_iter().flatten().min();
    most.map_or(u32::MAX, |most| u32::try_from(most).unwrap_or(u32::MAX))
}
