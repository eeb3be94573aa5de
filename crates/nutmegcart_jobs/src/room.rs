//! Room for long-running tasks in a pool that is full of shorter ones.
//!
//! Load pattern: the worker of a long-running task is lost during a burst. What becomes free on the
//! other workers would go to the next short task, so room is kept and, after a delay, made.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use nutmegcart_fleet::Resources;
use nutmegcart_model::WorkerId;

use crate::job::Step;
use crate::job::TaskKey;
use crate::scheduler::Scheduler;
use crate::slot::Constraints;
use crate::slot::Slot;
use crate::slot::Slots;
use crate::worker::RunState;
use crate::worker::StopReason;

/// Time that a long-running task waits for capacity before shorter ones are stopped for it.
const PREEMPTION_DELAY: Duration = Duration::from_millis(900);

impl Scheduler {
    /// Reserves a worker for a long-running task, and after a delay stops shorter ones to make
    /// room. Returns false if there is no such worker.
    ///
    /// A long-running task that fails during a burst has to start again within seconds, although
    /// the pool is full.
    pub(crate) fn make_room(
        &mut self,
        slots: &mut Slots,
        task: &TaskKey,
        step: &Step,
        counts: &HashMap<WorkerId, u32>,
        now: Duration,
    ) -> bool {
        let nothing = Resources::default();
        let Some(slot) = self.find_room(slots, task, step, counts, &|_| nothing, now) else {
            return false;
        };
        self.claim_room(slots, slot, task, step.allocation(), now);
        true
    }

    /// Makes room for all tasks of a long-running gang, which starts as a whole or not at all.
    ///
    /// Nothing is reserved or stopped if some of them have no room even then.
    pub(crate) fn make_room_for_gang(
        &mut self,
        slots: &mut Slots,
        key: &TaskKey,
        step: &Step,
        pending: &[u32],
        counts: &HashMap<WorkerId, u32>,
        now: Duration,
    ) {
        let mut counts = counts.clone();
        let mut claimed: BTreeMap<usize, Resources> = BTreeMap::new();
        for index in pending {
            let task = TaskKey {
                index: *index,
                ..key.clone()
            };
            let claims = |slot: usize| claimed.get(&slot).copied().unwrap_or_default();
            let Some(slot) = self.find_room(slots, &task, step, &counts, &claims, now) else {
                return;
            };
            let claim = claimed.entry(slot).or_default();
            *claim += step.allocation();
            *counts.entry(slots.items[slot].id.clone()).or_default() += 1;
        }
        for (slot, room) in claimed {
            self.claim_room(slots, slot, key, room, now);
        }
    }

    /// Returns the worker that has most room for a long-running task, if shorter ones are stopped;
    /// `claimed` is the room that other tasks are to get there.
    fn find_room(
        &mut self,
        slots: &Slots,
        task: &TaskKey,
        step: &Step,
        counts: &HashMap<WorkerId, u32>,
        claimed: &dyn Fn(usize) -> Resources,
        now: Duration,
    ) -> Option<usize> {
        let (avoid, waited) = self.avoided_worker(task, step, now);
        let acceptable = waited || slots.may_relax_avoid();
        let constraints = Constraints {
            avoid: avoid.as_ref().filter(|_| !acceptable),
            preferred_rack: None,
            runs_per_worker: counts,
            tickets: None,
        };
        let available = |slot: &Slot| {
            let worker = self.workers.get(&slot.id);
            let runs = worker.into_iter().flat_map(|worker| worker.runs.values());
            let preemptible = runs.filter(|run| !run.long_running);
            preemptible.fold(slot.free, |sum, run| sum + run.allocation)
        };
        let fitting = slots.items.iter().enumerate().filter(|(index, slot)| {
            let needed = claimed(*index) + step.allocation();
            slot.admits(step, &constraints) && needed.fits(available(slot))
        });
        let best = fitting.max_by_key(|(_, slot)| {
            let preferred = avoid.as_ref() != Some(&slot.id);
            (preferred, slot.reserved, slot.free.cpu)
        });
        best.map(|(index, _)| index)
    }

    /// Keeps shorter tasks from a worker, and after a delay stops those there until a task that waits
    /// has room.
    fn claim_room(
        &mut self,
        slots: &mut Slots,
        index: usize,
        task: &TaskKey,
        room: Resources,
        now: Duration,
    ) {
        slots.items[index].reserved = true;
        let id = slots.items[index].id.clone();
        let waiting = self
            .jobs
            .get_mut(&task.job)
            .and_then(|job| job.task(task))
            .map(|task| task.waiting_since);
        if waiting.is_none_or(|since| now < since + PREEMPTION_DELAY) {
            return;
        }
        let Some(worker) = self.workers.get(&id) else {
            return;
        };
        let mut preemptible: Vec<(Duration, TaskKey, Resources)> = worker
            .runs
            .iter()
            .filter(|(_, run)| !run.long_running && run.state == RunState::Running)
            .map(|(key, run)| (run.ordered_at, key.clone(), run.allocation))
            .collect();
        preemptible.sort_by_key(|(since, _, _)| std::cmp::Reverse(*since));
        let stopping = worker
            .runs
            .values()
            .filter(|run| matches!(run.state, RunState::Stopping { .. }));
        let unreserved = worker.free().saturating_sub(self.reserved_capacity(&id));
        let mut free = stopping.fold(unreserved, |sum, run| sum + run.allocation);
        for (_, key, size) in preemptible {
            if room.fits(free) {
                break;
            }
            free += size;
            self.stop(&id, &key, StopReason::Preempted);
        }
    }
}
