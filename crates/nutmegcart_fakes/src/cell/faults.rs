//! Faults that tests script: ends of workers and of owners.

use std::time::Duration;

use nutmegcart_jobs::ReportedEnd;
use nutmegcart_jobs::RunEnd;
use nutmegcart_model::WorkerId;

use crate::cell::CALL_TIMEOUT;
use crate::cell::CellSimulation;
use crate::cell::Event;
use crate::cell::PollOutcome;
use crate::cell::worker::FakeWorker;

/// Time from the end of a worker that was removed for good until its service discovery entry is
/// removed.
pub const UNLISTING_DELAY: Duration = Duration::from_millis(4_500);
/// Time from the end of a worker that was removed for good until another one starts at its address.
pub const ADDRESS_REUSE_DELAY: Duration = Duration::from_secs(2);
/// Time from the start of an owner's release until its key is removed; calls in progress complete.
const RELEASE_DELAY: Duration = Duration::from_millis(120);

impl CellSimulation {
    /// Ends a worker's process at once; its service discovery entry stays.
    pub fn crash(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.up = false;
        let runs = std::mem::take(&mut worker.runs);
        let mut lost = Vec::new();
        for (task, run) in runs {
            self.checker.record_end(id, &task, run.number, false, false);
            lost.push(ReportedEnd {
                number: 0,
                task,
                run: run.number,
                how: RunEnd::Lapsed,
                checkpoint: None,
            });
        }
        self.break_gangs(&lost);
        if let Some(waiting) = self.waiting_polls.remove(id) {
            let unanswered = Event::PollAnswered(
                waiting.owner,
                id.clone(),
                waiting.sent,
                PollOutcome::Unanswered,
            );
            self.schedule(CALL_TIMEOUT, unanswered);
        }
        self.update_listed_state(id);
    }

    /// Restarts a crashed worker under the same identifier.
    pub fn restart(&mut self, id: &WorkerId) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.restart(now);
        }
        self.update_listed_state(id);
        self.list_worker(id);
    }

    /// Ends a worker's process for good, together with its machine.
    ///
    /// Its service discovery entry is removed after [`UNLISTING_DELAY`]. `next` is a worker that
    /// starts at the same address after [`ADDRESS_REUSE_DELAY`], and rejects calls that are meant
    /// for the removed one.
    pub fn remove_for_good(&mut self, id: &WorkerId, next: Option<FakeWorker>) {
        self.crash(id);
        let machine = self
            .workers
            .get(id)
            .and_then(|worker| worker.listing.machine.clone());
        if let Some(machine) = machine {
            self.machines.remove(&machine);
        }
        let removed = id.clone();
        self.after(UNLISTING_DELAY, move |cell| cell.unlist_worker(&removed));
        if let Some(next) = next {
            let removed = id.clone();
            self.after(ADDRESS_REUSE_DELAY, move |cell| {
                cell.reused_addresses.insert(removed);
                cell.add_worker(next);
            });
        }
    }

    /// Announces that a worker leaves, and removes it for good with its machine after a notice.
    ///
    /// The platform refuses orders for its machine from the announcement on.
    pub fn withdraw(&mut self, id: &WorkerId, notice: Duration) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.listing.draining = true;
        worker.listing.remaining = notice;
        self.list_worker(id);
        let leaving = id.clone();
        self.after(notice, move |cell| cell.remove_for_good(&leaving, None));
    }

    /// Releases an owner gracefully: it stops acting at once, and a successor takes over when its
    /// calls in progress have completed. The successor learns of the end of this owner at once, and
    /// knows of the others that they act no longer than their ownership is valid.
    pub fn release_owner(&mut self, index: usize) {
        self.owners[index].released = true;
        self.after(RELEASE_DELAY, move |cell| {
            let holds = cell.store.owner == cell.owners[index].fence;
            let up = std::mem::replace(&mut cell.owners[index].up, false);
            if holds && up {
                let successor = cell.take_over();
                let validity = cell.settings.owner_validity;
                let acting = cell.owners[..successor]
                    .iter()
                    .filter(|owner| !owner.released);
                let end = acting.map(|owner| owner.renewed_at + validity).max();
                let scheduler = &mut cell.owners[successor].scheduler;
                scheduler.set_earlier_owners_end(end.unwrap_or(cell.now));
            }
        });
    }
}
