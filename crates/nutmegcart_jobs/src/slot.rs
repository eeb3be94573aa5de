//! The room of a pool's workers during a pass, and the choice among them.

use std::collections::HashMap;
use std::sync::Arc;

use nutmegcart_fleet::Resources;
use nutmegcart_model::Rack;
use nutmegcart_model::WorkerId;

use crate::job::Step;
use crate::worker::Run;
use crate::worker::Worker;

/// Tasks that a worker with unexplained failures may run until one of them finishes.
const PROBES: usize = 1;

/// Disadvantage of a worker whose label waiting tasks require, for tasks that run anywhere; it is
/// that of half a worker left unused.
const SCARCE: f64 = 1.0;

/// A worker that can take tasks in this pass.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) id: WorkerId,
    pub(crate) free: Resources,
    pub(crate) capacity: Resources,
    pub(crate) rack: Option<Rack>,
    pub(crate) labels: Vec<Arc<str>>,
    pub(crate) long_running: usize,
    pub(crate) serving: usize,
    pub(crate) best_effort: usize,
    pub(crate) running: usize,
    pub(crate) suspect: bool,
    /// Whether waiting tasks require one of its labels.
    pub(crate) scarce: bool,
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
            rack: worker.rack(),
            labels: worker.listing.labels.clone(),
            long_running: count(&|run| run.long_running),
            serving: count(&|run| run.serving),
            best_effort: count(&|run| run.best_effort),
            running: worker.runs.len(),
            suspect: !worker.failed_jobs.is_empty(),
            scarce: false,
            reserved: false,
        }
    }

    /// Returns how well a task fits; the largest is best.
    pub(crate) fn score(&self, step: &Step, near: Option<&Rack>) -> f64 {
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
            // Fillers disturb what serves, and get what the others leave.
            unused - 8.0 * self.serving as f64 - self.best_effort as f64
        } else if step.long_running {
            // Lasting tasks share few workers, so that the others can be moved and maintained.
            (self.long_running.min(8) as f64) - unused
        } else {
            // The fullest worker that fits, so that large tasks find room and others fall empty.
            -unused + if self.long_running > 0 { 0.5 } else { 0.0 }
        };
        if step.target_ms > 0 {
            score -= 4.0 * self.best_effort as f64;
        }
        if near.is_some() && near == self.rack.as_ref() {
            score += 100.0;
        }
        if self.suspect {
            score -= 20.0;
        }
        if step.label.is_none() && self.scarce {
            score -= SCARCE;
        }
        score
    }

    pub(crate) fn assign(&mut self, step: &Step) {
        self.free = self.free.saturating_sub(step.allocation());
        self.running += 1;
        self.long_running += usize::from(step.long_running);
        self.serving += usize::from(step.target_ms > 0);
        self.best_effort += usize::from(step.best_effort);
    }
}

/// Workers of one pool during a pass.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    pub(crate) slots: Vec<Slot>,
    pub(crate) largest_free: Resources,
}

impl Slots {
    pub(crate) fn update_largest(&mut self) {
        let open = self.slots.iter().filter(|slot| !slot.reserved);
        self.largest_free = open.fold(Resources::default(), |largest, slot| largest.max(slot.free));
    }

    /// Finds the best worker for a task.
    pub(crate) fn choose(&self, step: &Step, wish: &Constraints<'_>) -> Option<usize> {
        if !step.allocation().fits(self.largest_free) {
            return None;
        }
        let mut best: Option<(usize, f64)> = None;
        for (index, slot) in self.slots.iter().enumerate() {
            if (slot.reserved && !step.long_running)
                || !slot.admits(step, wish)
                || !step.allocation().fits(slot.free)
            {
                continue;
            }
            let score = slot.score(step, wish.near);
            if best.is_none_or(|(_, top)| score > top) {
                best = Some((index, score));
            }
        }
        best.map(|(index, _)| index)
    }
}

/// What a task asks for beyond its step.
pub(crate) struct Constraints<'a> {
    pub(crate) avoid: Option<&'a WorkerId>,
    pub(crate) near: Option<&'a Rack>,
    pub(crate) runs_per_worker: &'a HashMap<WorkerId, u32>,
    pub(crate) tickets: Option<&'a dyn Fn(&WorkerId) -> bool>,
}

impl Slot {
    pub(crate) fn admits(&self, step: &Step, wish: &Constraints<'_>) -> bool {
        let labelled = step
            .label
            .as_ref()
            .is_none_or(|label| self.labels.contains(label));
        let sharing = wish
            .runs_per_worker
            .get(&self.id)
            .copied()
            .unwrap_or_default();
        let spread = step.per_worker == 0 || sharing < step.per_worker;
        let avoided = wish.avoid == Some(&self.id);
        let probing = !self.suspect || self.running < PROBES;
        let permitted = wish.tickets.is_none_or(|permits| permits(&self.id));
        labelled && spread && !avoided && probing && permitted
    }
}
