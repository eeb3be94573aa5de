//! Placement pass: assigns waiting tasks to the free capacity of their pool's workers.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_fleet::Resources;
use nutmegcart_model::PoolName;
use nutmegcart_model::Rack;
use nutmegcart_model::WorkerId;

use crate::action::Action;
use crate::action::StartOrder;
use crate::assignments::count_fitting;
use crate::assignments::is_assigned;
use crate::fair_shares::Candidate;
use crate::job::JobId;
use crate::job::Step;
use crate::job::TaskKey;
use crate::live_job::MAX_CONSIDERED;
use crate::live_task::LiveTask;
use crate::overload::Decision;
use crate::overload::Room;
use crate::overload::decide;
use crate::rank::Coverage;
use crate::rank::rank;
use crate::scheduler::Scheduler;
use crate::slot::Constraints;
use crate::slot::Slot;
use crate::slot::Slots;
use crate::worker::Run;
use crate::worker::RunState;
use crate::worker::StopReason;
use crate::worker::Worker;
use crate::worker::millis;

/// Time that a failed long-running task waits for another worker than the one on which it failed.
/// It suffices to stop shorter tasks for it.
const AVOID_TIME: Duration = Duration::from_secs(2);
/// Same for other tasks, whose attempts are limited. Bursts that fill a pool are shorter.
const BATCH_AVOID_TIME: Duration = Duration::from_secs(10);

/// Returns whether a step is a gang of more than [`MAX_CONSIDERED`] tasks that the workers of its pool
/// cannot run at the same time, so that its tasks need not be looked at.
fn exceeds_room(step: &Step, slots: &Slots) -> bool {
    if !step.gang || step.count as usize <= MAX_CONSIDERED {
        return false;
    }
    let room = slots.items.iter().map(|slot| {
        // Shorter tasks are stopped for a long-running gang.
        let size = if step.long_running {
            slot.capacity
        } else {
            slot.free
        };
        slot.startable.min(count_fitting(step, size) as usize)
    });
    room.sum::<usize>() < step.count as usize
}

impl Scheduler {
    /// Places waiting tasks, and emits all orders that are due.
    pub fn run_pass(&mut self, now: Duration) {
        self.evacuate(now);
        self.advance_waves(now);
        self.rebalance(now);
        self.drop_obsolete_reservations();
        self.count_use();
        let means = self.mean_work();
        self.update_fair_capacity(now);
        let mut waiting: BTreeMap<PoolName, Vec<Candidate>> = BTreeMap::new();
        for job in self.jobs.values() {
            let held = job.passing || self.is_wholly_blocked(job) || self.has_unstored_move(job);
            if held || !job.has_pending() {
                continue;
            }
            let mean = means
                .get(&job.accepted.queue.key)
                .copied()
                .unwrap_or(job.work);
            for (number, occurrence) in &job.occurrences {
                let share = self.size_shares.relative(&job.accepted.queue.key, job.work);
                let rank = rank(job, occurrence, mean, share, now);
                let pool = waiting.entry(job.pool.clone()).or_default();
                pool.push(
                    self.fair_shares
                        .candidate(job, *number, rank, occurrence.due),
                );
            }
        }
        for (pool, mut candidates) in waiting {
            self.fair_shares.arrange(&pool, &mut candidates, now);
            let mut slots = self.slots_of_pool(&pool, now);
            self.mark_scarce(&mut slots, &candidates);
            self.start_reserved(&mut slots, &pool, now);
            // Without organisations all work is placed, and no room is kept.
            let delays = self.fair_shares.is_active();
            let all = if delays {
                self.batch_room(&pool, now)
            } else {
                0
            };
            for candidate in candidates {
                let free = if delays { slots.free_cpu() } else { 0 };
                let age = now.saturating_sub(candidate.due);
                if decide(&candidate.rank, age, Room { free, all }) == Decision::Delay {
                    continue;
                }
                self.place_job(&mut slots, &candidate.job, candidate.occurrence, now);
                if candidate.rank.coverage == Coverage::Turn {
                    self.keep_room(&mut slots, &candidate);
                }
            }
        }
        self.send_stops();
        let jobs = &self.jobs;
        self.tickets.retain(|job| jobs.contains_key(job));
        let is_open = |job: &JobId| jobs.get(job).is_some_and(|job| job.ended.is_none());
        self.backoffs.retain(is_open);
        self.fair_shares.end_turns(is_open);
    }

    /// Returns the mean work of the known jobs of each queue, in core-seconds.
    fn mean_work(&self) -> BTreeMap<crate::job::QueueKey, f64> {
        let mut sums: BTreeMap<crate::job::QueueKey, (f64, f64)> = BTreeMap::new();
        for job in self.jobs.values() {
            let sum = sums.entry(job.accepted.queue.key.clone()).or_default();
            sum.0 += job.work;
            sum.1 += 1.0;
        }
        sums.into_iter()
            .map(|(queue, (sum, count))| (queue, sum / count))
            .collect()
    }

    pub(crate) fn slots_of_pool(&self, pool: &PoolName, now: Duration) -> Slots {
        let workers = self
            .workers
            .values()
            .filter(|worker| worker.listing.pool == *pool);
        let usable = workers.filter(|worker| worker.usable(now));
        let mut slots = Slots {
            items: usable.map(Slot::new).collect(),
            largest_free: Resources::default(),
        };
        slots.update_largest_free();
        slots
    }

    /// Marks the workers that have a label which waiting tasks require.
    fn mark_scarce(&self, slots: &mut Slots, candidates: &[Candidate]) {
        let mut labels: HashSet<Arc<str>> = HashSet::new();
        for candidate in candidates {
            let job = self.jobs.get(&candidate.job);
            let steps = job.iter().flat_map(|job| &job.accepted.job.steps);
            labels.extend(steps.filter_map(|step| step.label.clone()));
        }
        if labels.is_empty() {
            return;
        }
        for slot in &mut slots.items {
            slot.scarce = slot.labels.iter().any(|label| labels.contains(label));
        }
    }

    fn place_job(&mut self, slots: &mut Slots, id: &JobId, number: u32, now: Duration) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let Some(occurrence) = job.occurrences.get(&number) else {
            return;
        };
        let exclusive = self.is_exclusive(now);
        let blocked = self.is_blocked(job);
        let mut ready = Vec::new();
        let steps = job.accepted.job.steps.iter().zip(&occurrence.steps);
        for (step, (definition, state)) in (0_u16..).zip(steps) {
            let assigned = is_assigned(definition);
            let fits = definition.allocation().fits(slots.largest_free);
            let considered = (fits || definition.gang || definition.long_running)
                && !exceeds_room(definition, slots);
            if state.ready && (assigned || !blocked) && considered {
                let startable = |index: &u32| {
                    state.tasks[*index as usize].may_start(exclusive)
                        && (!assigned || self.may_assign(job, number, step, *index, now))
                };
                let most = if definition.gang {
                    usize::MAX
                } else {
                    MAX_CONSIDERED
                };
                let pending = state.pending().filter(startable).take(most);
                let pending: Vec<u32> = pending.collect();
                if !pending.is_empty() {
                    ready.push((step, pending));
                }
            }
        }
        for (step, pending) in ready {
            let key = TaskKey {
                job: id.clone(),
                occurrence: number,
                step,
                index: 0,
            };
            self.place_step(slots, &key, &pending, now);
        }
    }

    fn place_step(&mut self, slots: &mut Slots, key: &TaskKey, pending: &[u32], now: Duration) {
        let Some(step) = self
            .jobs
            .get(&key.job)
            .and_then(|job| job.step(key))
            .cloned()
        else {
            return;
        };
        if step.gang && pending.len() != step.count as usize {
            self.stop_incomplete_gang(key);
            return;
        }
        let job = self.jobs.get(&key.job).filter(|_| step.gang);
        if job.is_some_and(|job| self.backoff(job, key, now).is_some()) {
            return;
        }
        if !step.allocation().fits(slots.largest_free) && !step.long_running {
            return;
        }
        let together = if step.gang { step.count } else { 1 };
        let job = self.jobs.get(&key.job);
        if !job.is_some_and(|job| self.limit_admits(job, &step, together)) {
            self.record_lack(slots, key, &step, pending);
            return;
        }
        let mut counts = self.runs_per_worker(key);
        if step.gang {
            self.place_gang(slots, key, &step, pending, &mut counts, now);
            return;
        }
        let main_rack = if step.same_rack {
            self.main_rack(key)
        } else {
            None
        };
        for (placed, index) in pending.iter().enumerate() {
            let task = TaskKey {
                index: *index,
                ..key.clone()
            };
            let preferred_rack = step.rack.as_ref().or(main_rack.as_ref());
            if !self.limit_admits_task(&task, &step) {
                self.record_lack(slots, key, &step, &pending[placed..]);
                break;
            }
            match self.choose_slot(slots, &task, &step, &counts, preferred_rack, now) {
                Some(slot) => {
                    self.start_or_reserve(slots, slot, &task, &step, &mut counts, now);
                }
                // If no worker can make room for this task, none can for the later ones.
                None if step.long_running && !self.make_room(slots, &task, &step, &counts, now) => {
                    break;
                }
                None if step.long_running => {}
                // Later tasks find no worker either, unless this one avoids one.
                None if step.per_worker == 0
                    && self.avoided_worker(&task, &step, now).0.is_none() =>
                {
                    break;
                }
                None => {}
            }
        }
        slots.update_largest_free();
    }

    fn choose_slot(
        &mut self,
        slots: &Slots,
        task: &TaskKey,
        step: &Step,
        counts: &HashMap<WorkerId, u32>,
        preferred_rack: Option<&Rack>,
        now: Duration,
    ) -> Option<usize> {
        let timing = self
            .jobs
            .get(&task.job)
            .and_then(|job| job.accepted.queue.ticket_timing);
        let (avoid, waited) = self.avoided_worker(task, step, now);
        let permits = |worker: &WorkerId| self.tickets.get(task, worker, now).is_some();
        let constraints = Constraints {
            avoid: avoid.as_ref(),
            preferred_rack,
            runs_per_worker: counts,
            tickets: timing
                .as_ref()
                .map(|_| &permits as &dyn Fn(&WorkerId) -> bool),
        };
        let chosen = slots.choose(step, &constraints);
        let relaxed = Constraints {
            avoid: None,
            ..constraints
        };
        let acceptable = avoid.is_some() && (waited || slots.may_relax_avoid());
        let chosen = chosen.or_else(|| {
            if acceptable {
                slots.choose(step, &relaxed)
            } else {
                None
            }
        });
        if let (None, Some(timing)) = (chosen, timing) {
            let without_tickets = Constraints {
                avoid: None,
                preferred_rack,
                runs_per_worker: counts,
                tickets: None,
            };
            let candidates = slots.items.iter();
            let candidates =
                candidates.filter(|slot| slot.obstacle(step, &without_tickets).is_none());
            let candidates = candidates.map(|slot| slot.id.clone());
            let workers = self.tickets.begin_request(task, timing, candidates, now);
            if !workers.is_empty() {
                self.actions.push(Action::RequestTickets {
                    step: TaskKey {
                        index: 0,
                        ..task.clone()
                    },
                    workers,
                });
            }
        }
        chosen
    }

    /// Returns the worker on which the latest run of a task failed, and whether the task has waited
    /// so long for another one that it may return there.
    ///
    /// All others may stay full or at their limit for ever in a calm time.
    pub(crate) fn avoided_worker(
        &mut self,
        task: &TaskKey,
        step: &Step,
        now: Duration,
    ) -> (Option<WorkerId>, bool) {
        let state = self.jobs.get_mut(&task.job).and_then(|job| job.task(task));
        let Some(state) = state else {
            return (None, false);
        };
        (state.avoid.clone(), waited_to_return(state, step, now))
    }

    /// Counts the runs of a step on each worker, including those being stopped and those about to be
    /// started.
    pub(crate) fn runs_per_worker(&self, key: &TaskKey) -> HashMap<WorkerId, u32> {
        let mut counts = HashMap::new();
        for worker in self.workers.values() {
            let same = |task: &&TaskKey| {
                task.job == key.job && task.occurrence == key.occurrence && task.step == key.step
            };
            let count = worker.runs.keys().filter(same).count();
            if count > 0 {
                counts.insert(
                    worker.listing.id.clone(),
                    u32::try_from(count).unwrap_or(u32::MAX),
                );
            }
        }
        for worker in self.reservations_of(key) {
            *counts.entry(worker.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns the rack with most runs of a step.
    fn main_rack(&self, key: &TaskKey) -> Option<Rack> {
        let counts = self.runs_per_worker(key);
        let mut racks: HashMap<Rack, u32> = HashMap::new();
        for (id, count) in counts {
            if let Some(rack) = self.workers.get(&id).and_then(Worker::rack) {
                *racks.entry(rack).or_default() += count;
            }
        }
        racks
            .into_iter()
            .max_by_key(|(rack, count)| (*count, rack.clone()))
            .map(|(rack, _)| rack)
    }

    /// Starts all tasks of a gang step, or none.
    fn place_gang(
        &mut self,
        slots: &mut Slots,
        key: &TaskKey,
        step: &Step,
        pending: &[u32],
        counts: &mut HashMap<WorkerId, u32>,
        now: Duration,
    ) {
        let racks: Vec<Option<Rack>> = if step.same_rack && step.rack.is_none() {
            let mut racks: Vec<Rack> = slots
                .items
                .iter()
                .filter_map(|slot| slot.rack.clone())
                .collect();
            racks.sort();
            racks.dedup();
            racks.into_iter().map(Some).chain([None]).collect()
        } else {
            vec![step.rack.clone()]
        };
        for rack in racks {
            let mut trial = Slots {
                items: slots.items.clone(),
                largest_free: slots.largest_free,
            };
            let mut trial_counts = counts.clone();
            let mut chosen = Vec::new();
            for index in pending {
                let task = TaskKey {
                    index: *index,
                    ..key.clone()
                };
                let Some(slot) =
                    self.choose_slot(&trial, &task, step, &trial_counts, rack.as_ref(), now)
                else {
                    break;
                };
                trial.items[slot].assign(step);
                *trial_counts
                    .entry(trial.items[slot].id.clone())
                    .or_default() += 1;
                trial.update_largest_free();
                chosen.push((task, slot));
            }
            let one_rack = rack.is_none()
                || !step.same_rack
                || chosen
                    .iter()
                    .all(|(_, slot)| slots.items[*slot].rack == rack);
            if chosen.len() == pending.len() && one_rack {
                let run = self.gang_run(key);
                self.log_gang_start(key, run, chosen.len());
                for (task, slot) in chosen {
                    self.start(slots, slot, &task, step, Some(run), counts, now);
                }
                slots.update_largest_free();
                return;
            }
        }
        if step.long_running {
            self.make_room_for_gang(slots, key, step, pending, counts, now);
        }
    }

    /// Returns the run number of a gang's next start, above all that its tasks have used.
    fn gang_run(&mut self, key: &TaskKey) -> u32 {
        let state = self
            .jobs
            .get_mut(&key.job)
            .and_then(|job| job.step_state(key));
        let highest = state.and_then(|state| state.tasks.states().map(|task| task.last_run).max());
        highest.unwrap_or_default().saturating_add(1)
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "a start needs the slot, the step and the counts of runs"
    )]
    pub(crate) fn start(
        &mut self,
        slots: &mut Slots,
        slot: usize,
        key: &TaskKey,
        step: &Step,
        gang_run: Option<u32>,
        counts: &mut HashMap<WorkerId, u32>,
        now: Duration,
    ) {
        let id = slots.items[slot].id.clone();
        let lease = millis(self.settings.lease);
        let ticket = self.tickets.get(key, &id, now);
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let Some(lease_end) = worker.clock(now).map(|clock| clock + lease) else {
            return;
        };
        if worker.runs.contains_key(key) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let spec = job.accepted.job.spec.clone();
        let organisation = job.accepted.organisation.clone();
        if !std::mem::replace(&mut job.ordered, true) && !job.started {
            self.start_delays.push(now.saturating_sub(job.accepted_at));
            if !job.inherited && !job.accepted.job.is_long_running() {
                self.size_shares.record_start(job, now);
                job.excess = self.fair_shares.record_job(job, now);
            }
        }
        if !step.long_running {
            self.fair_shares.record_task(job, key.step, now);
        }
        let Some(task) = job.task(key) else {
            return;
        };
        task.last_run = gang_run.unwrap_or(task.last_run.saturating_add(1));
        task.live_runs += 1;
        task.started = true;
        let number = task.last_run;
        let checkpoint = task.checkpoint.clone();
        worker.extend_lease(lease_end);
        let run = Run {
            number,
            state: RunState::Ordered,
            ordered_at: now,
            confirmed_at: None,
            reported: false,
            allocation: step.allocation(),
            need: step.need,
            organisation,
            progress: 0,
            progressed_at: now,
            percent_time: Duration::ZERO,
            metric: 0,
            speed_limit: 100,
            limited_at: now,
            checkpoint: checkpoint.clone(),
            serving: step.target_ms > 0,
            best_effort: step.best_effort,
            long_running: step.long_running,
            was_at_work: false,
        };
        worker.runs.insert(key.clone(), run);
        self.add_use(key, step);
        slots.items[slot].assign(step);
        *counts.entry(id.clone()).or_default() += 1;
        let start = StartOrder {
            task: key.clone(),
            run: number,
            spec,
            lease_end,
            checkpoint,
            ticket,
        };
        self.order_start(&id, start, now);
    }

    /// Stops tasks on workers that are shutting down or missing, so that they start again on other
    /// workers.
    ///
    /// A task that should end before its worker exits is not stopped.
    fn evacuate(&mut self, now: Duration) {
        let mut stops = Vec::new();
        for worker in self.workers.values() {
            let leaving = worker.listing.draining || worker.is_missing(now);
            if !leaving || worker.unreachable_since.is_some() {
                continue;
            }
            for (key, run) in &worker.runs {
                if run.state != RunState::Running {
                    continue;
                }
                let job = self.jobs.get(&key.job);
                let duration = job.and_then(|job| job.durations.get(usize::from(key.step)));
                let left = duration
                    .map(|duration| duration.saturating_sub(now.saturating_sub(run.ordered_at)));
                let fits = left.is_some_and(|left| left < worker.listing.remaining);
                if run.long_running || !fits {
                    let missing = !worker.listing.draining;
                    stops.push((
                        worker.listing.id.clone(),
                        key.clone(),
                        run.long_running && missing,
                    ));
                }
            }
        }
        for (id, key, budgeted) in stops {
            if !budgeted || self.may_interrupt(&key, now) {
                self.stop(&id, &key, StopReason::Evacuated);
            }
        }
    }
}

/// Returns whether a task has waited so long that it may return to the worker that it avoids.
pub(crate) fn waited_to_return(task: &LiveTask, step: &Step, now: Duration) -> bool {
    let limit = if step.long_running {
        AVOID_TIME
    } else {
        BATCH_AVOID_TIME
    };
    now >= task.waiting_since + limit
}

impl Worker {
    /// Returns the rack that the worker's labels name.
    pub(crate) fn rack(&self) -> Option<Rack> {
        crate::listing::WorkerListing::rack_of(&self.listing.labels)
    }
}
