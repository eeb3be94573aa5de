//! Transactions of the owners on the store.

use nutmegcart_jobs::FinalState;
use nutmegcart_jobs::Flush;
use nutmegcart_jobs::FlushOutcome;
use nutmegcart_jobs::JobKeyState;
use nutmegcart_jobs::JobRecord;

use crate::cell::CALL_TIMEOUT;
use crate::cell::CellSimulation;
use crate::cell::Event;
use crate::cell::LATENCY;

impl CellSimulation {
    pub(super) fn flush_arrives(&mut self, index: usize, flush: &Flush) {
        if self.store.down || !self.owners[index].reaches_store {
            self.schedule(
                CALL_TIMEOUT,
                Event::FlushAnswered(index, FlushOutcome::NotStored),
            );
            return;
        }
        let outcome = self.commit(self.owners[index].fence, flush);
        self.schedule(LATENCY, Event::FlushAnswered(index, outcome));
    }

    fn commit(&mut self, fence: u64, flush: &Flush) -> FlushOutcome {
        if fence != self.store.owner {
            return FlushOutcome::NotStored;
        }
        let size = flush.state.as_ref().map_or(0, Vec::len);
        if self.store.max_value.is_some_and(|max| size > max) {
            return FlushOutcome::Rejected;
        }
        let mut changed = Vec::new();
        for write in &flush.finals {
            match self.store.jobs.get(&write.job) {
                Some((JobRecord::Accepted(_), revision)) if *revision == write.revision => {}
                Some((JobRecord::Accepted(_), revision)) => {
                    changed.push((write.job.clone(), JobKeyState::Accepted(*revision)));
                }
                Some((JobRecord::Ended { how, .. }, _)) => {
                    changed.push((write.job.clone(), JobKeyState::Ended(*how)));
                }
                Some((JobRecord::Tombstone { .. }, _)) => {
                    let cancelled = JobKeyState::Ended(FinalState::Cancelled);
                    changed.push((write.job.clone(), cancelled));
                }
                None => changed.push((write.job.clone(), JobKeyState::Absent)),
            }
        }
        if !changed.is_empty() {
            return FlushOutcome::Changed(changed);
        }
        self.store.revision += 1;
        let (revision, at) = (self.store.revision, self.unix_ms());
        for write in &flush.finals {
            let record = JobRecord::Ended {
                how: write.how,
                at,
                organisation: write.organisation.clone(),
            };
            self.store
                .jobs
                .insert(write.job.clone(), (record, revision));
        }
        for id in &flush.expired {
            self.store.jobs.remove(id);
        }
        if let Some(state) = &flush.state {
            self.store.state = Some(state.clone());
        }
        FlushOutcome::Stored
    }
}
