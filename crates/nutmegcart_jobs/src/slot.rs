//! Free capacity of a pool's workers during a placement pass, and the choice among them.

use std::collections::HashMap;
use std::sync::Arc;

use derive_more::Display;
use nutmegcart_fleet::Resources;
use nutmegcart_model::Rack;
use nutmegcart_model::WorkerId;

use crate::job::Step;
use crate::worker::Run;
use crate::worker::Worker;

/// Number of runs that a worker with failures since its latest success may have that might fail
/// alike. Runs that have proved themselves do not count, since a long-running task never finishes.
const MAX_PROBES: usize = 1;

/// Score penalty of a worker whose label waiting tasks require, for tasks that can run anywhere. It
/// equals that of half a worker left unused.
const SCARCE_PENALTY: f64 = 1.0;

/// A worker to which tasks can be assigned in this pass.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) id: WorkerId,
    pub(crate) free: Resources,
    pub(crate) capacity: Resources,
    /// Number of tasks that may be started before an end is acknowledged.
    pub(crate) startable: usize,
    pub(crate) rack: Option<Rack>,
    pub(crate) labels: Vec<Arc<str>>,
    pub(crate) long_running: usize,
    pub(crate) serving: usize,
    pub(crate) best_effort: usize,
    /// Number of runs that may yet fail like the latest one that failed.
    pub(crate) unproven: usize,
    /// Whether tasks have failed on it since the latest success.
    pub(crate) suspect: bool,
    /// Whether waiting tasks require one of its labels.
    pub(crate) scarce: bool,
    /// Whether it is kept free for a long-running task.
    pub(crate) reserved: bool,
}

impl Slot {
    pub(crate) fn new(worker: &Worker) -> Self {
        let count =
            |test: &dyn Fn(&Run) -> bool| worker.runs.values().filter(|run| test(run)).count();
        Self {
            id: worker.listing.id.clone(),
            free: worker.free(),
            capacity: worker.listing.capacity,
            startable: worker.startable(),
            rack: worker.rack(),
            labels: worker.listing.labels.clone(),
            long_running: count(&|run| run.long_running),
            serving: count(&|run| run.serving),
            best_effort: count(&|run| run.best_effort),
            unproven: worker.unproven_runs(),
            suspect: !worker.failed_jobs.is_empty(),
            scarce: false,
            reserved: false,
        }
    }

    /// Returns the score of the worker for a task; the highest is best.
    pub(crate) fn score(&self, step: &Step, preferred_rack: Option<&Rack>) -> f64 {
        let left = self.free.saturating_sub(step.allocation());
        let share = |left: u64, all: u64| {
            if all == 0 {
                0.0
            } else {
                left as f64 / all as f64
            }
        };
        let unused = share(left.cpu, self.capacity.cpu) + share(left.memory, self.capacity.memory);
        let mut score = if step.best_effort {
            // Best-effort tasks disturb serving ones, and prefer workers with idle capacity.
            unused - 8.0 * self.serving as f64 - self.best_effort as f64
        } else if step.long_running {
            // Long-running tasks share few workers, so that the others can be moved and maintained.
            (self.long_running.min(8) as f64) - unused
        } else {
            // Best fit: keeps capacity for large tasks and empties other workers.
            -unused + if self.long_running > 0 { 0.5 } else { 0.0 }
        };
        if step.target_ms > 0 {
            score -= 4.0 * self.best_effort as f64;
        }
        if preferred_rack.is_some() && preferred_rack == self.rack.as_ref() {
            score += 100.0;
        }
        if self.suspect {
            score -= 20.0;
        }
        if step.label.is_none() && self.scarce {
            score -= SCARCE_PENALTY;
        }
        score
    }

    pub(crate) fn assign(&mut self, step: &Step) {
        self.free = self.free.saturating_sub(step.allocation());
        self.startable = self.startable.saturating_sub(1);
        self.unproven += 1;
        self.long_running += usize::from(step.long_running);
        self.serving += usize::from(step.target_ms > 0);
        self.best_effort += usize::from(step.best_effort);
    }
}

/// Workers of one pool during a pass.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    pub(crate) items: Vec<Slot>,
    /// Largest free amount of each resource on any worker that is not reserved and may get tasks.
    pub(crate) largest_free: Resources,
}

impl Slots {
    pub(crate) fn update_largest_free(&mut self) {
        let open = self.items.iter();
        let open = open.filter(|slot| !slot.reserved && slot.startable > 0);
        self.largest_free = open.fold(Resources::default(), |largest, slot| largest.max(slot.free));
    }

    /// Returns the processor that no task uses, in thousandths of a core.
    pub(crate) fn free_cpu(&self) -> u64 {
        let free = self.items.iter().map(|slot| slot.free.cpu);
        free.fold(0, u64::saturating_add)
    }

    /// Returns whether a task may run on the worker that it avoids, because there is no other.
    pub(crate) const fn may_relax_avoid(&self) -> bool {
        self.items.len() <= 1
    }

    /// Returns the index of the worker with the highest score for a task.
    pub(crate) fn choose(&self, step: &Step, constraints: &Constraints<'_>) -> Option<usize> {
        if !step.allocation().fits(self.largest_free) {
            return None;
        }
        let mut best: Option<(usize, f64)> = None;
        for (index, slot) in self.items.iter().enumerate() {
            if (slot.reserved && !step.long_running) || slot.obstacle(step, constraints).is_some() {
                continue;
            }
            let score = slot.score(step, constraints.preferred_rack);
            if best.is_none_or(|(_, top)| score > top) {
                best = Some((index, score));
            }
        }
        best.map(|(index, _)| index)
    }
}

/// Constraints and preferences of a task beyond those of its step.
pub(crate) struct Constraints<'a> {
    /// Worker that is not admitted, since the latest run of the task failed or stalled there.
    pub(crate) avoid: Option<&'a WorkerId>,
    pub(crate) preferred_rack: Option<&'a Rack>,
    /// Number of runs of the step on each worker.
    pub(crate) runs_per_worker: &'a HashMap<WorkerId, u32>,
    /// Returns whether a worker has a valid ticket; none if tickets are not checked.
    pub(crate) tickets: Option<&'a dyn Fn(&WorkerId) -> bool>,
}

/// Why a usable worker does not get a task.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Rejection {
    /// It lacks the label that the step requires.
    #[display("label")]
    Label,
    /// It has as many runs of the step as the step allows.
    #[display("per-worker limit")]
    WorkerLimit,
    /// The task's latest run failed or stalled there.
    #[display("avoided")]
    Avoided,
    /// Tasks failed there since the latest success, and it runs as many as it may until one
    /// finishes.
    #[display("suspect")]
    Suspect,
    /// The task has no valid ticket for it.
    #[display("ticket")]
    Ticket,
    /// The task does not fit into its free capacity.
    #[display("no room")]
    Room,
    /// It holds so many ends that are not acknowledged that its reports may soon not list all.
    #[display("unacknowledged ends")]
    Ends,
}

impl Slot {
    /// Returns the first reason why the task cannot be started on the worker now, if any.
    pub(crate) fn obstacle(&self, step: &Step, constraints: &Constraints<'_>) -> Option<Rejection> {
        let room = step.allocation().fits(self.free);
        let full = (!room).then_some(Rejection::Room);
        let ends = (self.startable == 0).then_some(Rejection::Ends);
        self.rejection(step, constraints).or(full).or(ends)
    }

    pub(crate) fn admits(&self, step: &Step, constraints: &Constraints<'_>) -> bool {
        self.rejection(step, constraints).is_none()
    }

    /// Returns the first reason why the worker may not run the task however much capacity is free,
    /// if any.
    pub(crate) fn rejection(
        &self,
        step: &Step,
        constraints: &Constraints<'_>,
    ) -> Option<Rejection> {
        let labelled = step
            .label
            .as_ref()
            .is_none_or(|label| self.labels.contains(label));
        let runs = constraints
            .runs_per_worker
            .get(&self.id)
            .copied()
            .unwrap_or_default();
        let below_limit = step.per_worker == 0 || runs < step.per_worker;
        let avoided = constraints.avoid == Some(&self.id);
        let probing = !self.suspect || self.unproven < MAX_PROBES;
        let permitted = constraints.tickets.is_none_or(|permits| permits(&self.id));
        let conditions = [
            (labelled, Rejection::Label),
            (below_limit, Rejection::WorkerLimit),
            (!avoided, Rejection::Avoided),
            (probing, Rejection::Suspect),
            (permitted, Rejection::Ticket),
        ];
        let failed = conditions.into_iter().find(|(holds, _)| !holds);
        failed.map(|(_, rejection)| rejection)
    }
}
