//! What has to be stored, and which ends may be acknowledged to workers.
//!
//! A worker forgets an end once it is acknowledged, so an end is acknowledged only after a
//! successor would learn it from the store: through the final state of its job, or through the
//! progress record of the cell. Until then the workers themselves remember it.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;
use nutmegcart_platform::Revision;

use crate::job::JobId;
use crate::job::TaskKey;
use crate::live_job::LiveJob;
use crate::record::CellRecord;
use crate::record::EnrolledWorker;
use crate::record::FinalState;
use crate::record::TaskProgress;
use crate::record::encode;
use crate::scheduler::Scheduler;

/// Age of an end after which the progress of its unfinished job is stored. A worker answers every
/// look at once while it lists an end, and a look costs nearly as much as a transaction.
const PROGRESS_AGE: Duration = Duration::from_millis(80);
/// Final states in one transaction. The store takes 32 entries, conditions included: two for a
/// final state, two for the state of the cell and one for the owner.
const MOST_FINALS: usize = 12;
/// Expired jobs removed in one transaction beside final states; each may have two keys.
const MOST_EXPIRED: usize = 2;
/// Expired jobs removed in one transaction without final states.
const EXPIRED_BATCH: usize = 14;

/// A final state to store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FinalWrite {
    /// Job.
    pub job: JobId,
    /// Revision of its key, which must not have changed.
    pub revision: Revision,
    /// How it ended.
    pub how: FinalState,
}

/// One transaction of the cell's owner.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Flush {
    /// Final states.
    pub finals: Vec<FinalWrite>,
    /// Jobs that no longer need to be shown.
    pub expired: Vec<JobId>,
    /// Encoded state of the cell, if it changed.
    pub state: Option<Vec<u8>>,
}

impl Flush {
    /// Returns whether there is nothing to store.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.finals.is_empty() && self.expired.is_empty() && self.state.is_none()
    }
}

/// What became of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FlushOutcome {
    /// It was stored.
    Stored,
    /// Nothing was stored, and these job keys differ from what was expected.
    Changed(Vec<(JobId, JobKeyState)>),
    /// Nothing was stored.
    NotStored,
}

/// What a job's key holds now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobKeyState {
    /// The key does not exist.
    Absent,
    /// The job has ended.
    Ended(FinalState),
    /// The job was written again at the revision.
    Accepted(Revision),
}

/// What has to be stored.
#[derive(Clone, Debug, Default)]
pub(crate) struct Durable {
    final_queue: VecDeque<JobId>,
    in_queue: HashSet<JobId>,
    jobs_with_ends: HashSet<JobId>,
    in_flight: Option<InFlight>,
    ended: HashMap<JobId, FinalState>,
    expiry: VecDeque<(Duration, JobId)>,
    expired: VecDeque<JobId>,
}

#[derive(Clone, Debug, Default)]
struct InFlight {
    finals: Vec<(JobId, FinalState)>,
    enrolled: Vec<(WorkerId, u64)>,
    covered: Option<Vec<(WorkerId, u64, u64)>>,
    touched: HashSet<JobId>,
    commanded: Vec<Arc<str>>,
}

impl Durable {
    pub(crate) fn inherit(&mut self, record: &CellRecord) {
        for progress in &record.tasks {
            self.jobs_with_ends.insert(progress.task.job.clone());
        }
    }

    pub(crate) fn queue_final(&mut self, id: &JobId) {
        if self.in_queue.insert(id.clone()) {
            self.final_queue.push_back(id.clone());
        }
    }

    pub(crate) fn note_task_end(&mut self, task: &TaskKey) {
        self.jobs_with_ends.insert(task.job.clone());
    }

    pub(crate) fn note_ended(&mut self, id: &JobId, how: FinalState, now: Duration) {
        if self.ended.insert(id.clone(), how).is_none() {
            self.expiry.push_back((now, id.clone()));
        }
        self.jobs_with_ends.remove(id);
    }

    pub(crate) fn ended(&self, id: &JobId) -> Option<FinalState> {
        self.ended.get(id).copied()
    }

    pub(crate) fn expire(&mut self, shown: Duration, now: Duration) {
        while let Some((at, _)) = self.expiry.front() {
            if now < *at + shown {
                break;
            }
            if let Some((_, id)) = self.expiry.pop_front() {
                self.expired.push_back(id);
            }
        }
    }
}

impl Scheduler {
    /// Returns the next transaction, unless one is under way or nothing is due.
    pub fn next_flush(&mut self, now: Duration) -> Option<Flush> {
        if self.durable.in_flight.is_some() {
            return None;
        }
        let mut flush = Flush::default();
        let mut flight = InFlight::default();
        while flush.finals.len() < MOST_FINALS {
            let Some(id) = self.durable.final_queue.pop_front() else {
                break;
            };
            self.durable.in_queue.remove(&id);
            let Some(job) = self.jobs.get(&id).filter(|job| !job.stored) else {
                continue;
            };
            let Some(how) = job.ended else {
                continue;
            };
            flight.finals.push((id.clone(), how));
            flush.finals.push(FinalWrite {
                job: id,
                revision: job.revision,
                how,
            });
        }
        let removable = if flush.finals.is_empty() {
            EXPIRED_BATCH
        } else {
            MOST_EXPIRED
        };
        if self.durable.expired.len() >= EXPIRED_BATCH {
            let count = removable.min(self.durable.expired.len());
            flush.expired = self.durable.expired.drain(..count).collect();
        }
        if self.cell_state_due(now) {
            self.maintenance.unsaved = false;
            flush.state = Some(self.encode_cell_state(&mut flight, now));
        }
        if flush.is_empty() {
            return None;
        }
        self.durable.in_flight = Some(flight);
        Some(flush)
    }

    /// Returns whether a worker waits to be enrolled or ends wait for their progress record.
    fn cell_state_due(&self, now: Duration) -> bool {
        let joins = self
            .workers
            .values()
            .any(|worker| worker.listed && !worker.enrolled && worker.incarnation != 0);
        joins
            || self.maintenance.unsaved
            || self.has_unstored_orders()
            || self.stored_orders_stale(now)
            || self.workers.values().any(|worker| {
                let oldest = worker.pending_ends.front();
                oldest.is_some_and(|end| now >= end.seen_at + PROGRESS_AGE)
            })
    }

    /// Encodes the workers that may hold tasks and the progress of unfinished jobs.
    fn encode_cell_state(&self, flight: &mut InFlight, now: Duration) -> Vec<u8> {
        let mut record = CellRecord {
            maintained: self.maintenance.maintained(),
            ordered_machines: self.recently_ordered(now),
            ..CellRecord::default()
        };
        flight.commanded.clone_from(&record.ordered_machines);
        let mut covered = Vec::new();
        for (id, worker) in &self.workers {
            covered.push((id.clone(), worker.incarnation, worker.last_end));
            let joins = worker.listed && worker.incarnation != 0;
            if joins && !worker.enrolled {
                flight.enrolled.push((id.clone(), worker.incarnation));
            }
            if joins || worker.enrolled || !worker.runs.is_empty() {
                record.workers.push(EnrolledWorker {
                    worker: id.clone(),
                    incarnation: worker.incarnation,
                    pool: worker.listing.pool.clone(),
                    address: worker.listing.address.clone(),
                    machine: worker.listing.machine.clone(),
                });
            }
        }
        let touched = self.durable.jobs_with_ends.iter();
        let mut jobs: Vec<&LiveJob> = touched.filter_map(|id| self.jobs.get(id)).collect();
        jobs.sort_by(|a, b| a.id.cmp(&b.id));
        for job in jobs {
            record.tasks.extend(progress(job));
        }
        flight.covered = Some(covered);
        flight.touched.clone_from(&self.durable.jobs_with_ends);
        encode(&record)
    }

    /// Notes what became of the transaction that [`Scheduler::next_flush`] returned.
    pub fn handle_flush_outcome(&mut self, outcome: &FlushOutcome, now: Duration) {
        let Some(flight) = self.durable.in_flight.take() else {
            return;
        };
        match outcome {
            FlushOutcome::Stored => self.stored(flight, now),
            FlushOutcome::Changed(keys) => {
                for (id, key) in keys {
                    match key {
                        JobKeyState::Ended(how) => self.note_ended(id, *how, now),
                        JobKeyState::Absent => {
                            log_event!(Event::JobRecordLost, job = id);
                            self.note_ended(id, FinalState::Cancelled, now);
                        }
                        JobKeyState::Accepted(revision) => {
                            if let Some(job) = self.jobs.get_mut(id) {
                                job.revision = *revision;
                            }
                        }
                    }
                }
                self.requeue(&flight);
            }
            FlushOutcome::NotStored => self.requeue(&flight),
        }
        let ids: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for id in ids {
            self.acknowledge_ends(&id);
        }
    }

    fn requeue(&mut self, flight: &InFlight) {
        self.maintenance.unsaved |= flight.covered.is_some();
        for (id, _) in &flight.finals {
            if self.jobs.get(id).is_some_and(|job| !job.stored) {
                self.durable.queue_final(id);
            }
        }
    }

    fn stored(&mut self, flight: InFlight, now: Duration) {
        for (id, how) in &flight.finals {
            if let Some(job) = self.jobs.get_mut(id) {
                let age = now.saturating_sub(job.accepted_at);
                let late = age > job.objective;
                log_event!(
                    Event::CallerJobEnded,
                    job = id,
                    how = how,
                    age_ms = age.as_millis(),
                    objective_ms = job.objective.as_millis(),
                    late = late
                );
            }
            self.note_ended(id, *how, now);
        }
        self.send_stored_orders(&flight.commanded, now);
        if flight.covered.is_some() {
            self.machines.stored.clone_from(&flight.commanded);
            self.machines.stored_at = now;
        }
        for (id, born) in &flight.enrolled {
            if let Some(worker) = self
                .workers
                .get_mut(id)
                .filter(|worker| worker.incarnation == *born)
            {
                worker.enrolled = true;
            }
        }
        if let Some(covered) = flight.covered {
            for (id, born, seen) in covered {
                if let Some(worker) = self
                    .workers
                    .get_mut(&id)
                    .filter(|worker| worker.incarnation == born)
                {
                    while let Some(end) =
                        worker.pending_ends.front().filter(|end| end.number <= seen)
                    {
                        worker.acked_end = end.number;
                        worker.pending_ends.pop_front();
                    }
                }
            }
        }
    }

    /// Acknowledges the ends of jobs whose final state is stored.
    pub(crate) fn acknowledge_ends(&mut self, id: &WorkerId) {
        let jobs = &self.jobs;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        while let Some(end) = worker.pending_ends.front() {
            let durable = jobs.get(&end.job).is_none_or(|job| job.stored);
            if !durable {
                break;
            }
            worker.acked_end = end.number;
            worker.pending_ends.pop_front();
        }
    }
}

/// Lists what a successor cannot learn from the workers once their ends are acknowledged.
fn progress(job: &LiveJob) -> Vec<TaskProgress> {
    let mut progress = Vec::new();
    if job.ended.is_some() && job.stored {
        return progress;
    }
    for (number, occurrence) in &job.occurrences {
        for (step, state) in (0_u16..).zip(&occurrence.steps) {
            for (index, task) in (0_u32..).zip(&state.tasks) {
                if !task.done && task.failed_runs.is_empty() && task.checkpoint.is_none() {
                    continue;
                }
                progress.push(TaskProgress {
                    task: TaskKey {
                        job: job.id.clone(),
                        occurrence: *number,
                        step,
                        index,
                    },
                    done: task.done,
                    failed: task.failed_runs.clone(),
                    run: task.last_run,
                    checkpoint: task.checkpoint.clone(),
                });
            }
        }
    }
    progress
}
