//! Transactions on the store, and acknowledgement of ended runs to workers.
//!
//! A worker removes an end from its reports once it is acknowledged. An end is therefore
//! acknowledged only after a successor could read it from the store, either in the final state of
//! its job or in the progress record of the cell.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::OrganisationName;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;
use nutmegcart_platform::Revision;

use crate::assignments::Assigned;
use crate::job::JobId;
use crate::job::QueueKey;
use crate::job::TaskKey;
use crate::record::Assignment;
use crate::record::CellRecord;
use crate::record::EnrolledWorker;
use crate::record::FinalState;
use crate::scheduler::Scheduler;
use crate::worker::Worker;

/// Age of an end after which the progress of its unfinished job is stored. While a worker reports
/// an end it answers every poll at once, and a poll costs nearly as much as a transaction.
const MAX_END_AGE: Duration = Duration::from_millis(80);
/// Time for which a cell state that the store does not accept is not tried again. Meanwhile final
/// states are stored without it, which makes it smaller.
const STATE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of final states in one transaction. The store accepts 32 entries, conditions
/// included: two for each final state, two for the state of the cell and one for the owner.
const MAX_FINALS: usize = 12;
/// Maximum number of expired jobs removed in a transaction with final states; each may have two
/// keys.
const MAX_EXPIRED_WITH_FINALS: usize = 2;
/// Maximum number of expired jobs removed in a transaction without final states.
const MAX_EXPIRED: usize = 14;

/// A final state to store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FinalWrite {
    /// Job that ended.
    pub job: JobId,
    /// Revision of the job's key, which must not have changed.
    pub revision: Revision,
    /// Final state to store.
    pub how: FinalState,
    /// Organisation of the job, which stays with the final state.
    pub organisation: Option<OrganisationName>,
}

/// A transaction of the cell's owner.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Flush {
    /// Final states to store.
    pub finals: Vec<FinalWrite>,
    /// Jobs whose retention time has expired, to be removed.
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

/// Outcome of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FlushOutcome {
    /// It was stored.
    Stored,
    /// Nothing was stored, because these job keys differ from what was expected.
    Changed(Vec<(JobId, JobKeyState)>),
    /// Nothing was stored.
    NotStored,
    /// Nothing was stored, because the store does not accept the content of the transaction.
    Rejected,
}

/// Content of a job's key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobKeyState {
    /// The key does not exist.
    Absent,
    /// The job has ended.
    Ended(FinalState),
    /// The job is accepted, and was written at the given revision.
    Accepted(Revision),
}

/// Queues of what has to be stored, and the transaction in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlushQueue {
    /// Jobs whose final state is to be stored.
    final_queue: VecDeque<JobId>,
    /// Jobs in `final_queue`.
    in_queue: HashSet<JobId>,
    /// Unfinished jobs with ended runs, whose progress is part of the cell state.
    pub(crate) jobs_with_ends: HashSet<JobId>,
    in_flight: Option<InFlight>,
    /// Stored final states, for requests about jobs that are no longer live.
    ended: HashMap<JobId, EndedJob>,
    /// Ended jobs with the time at which their end was stored, oldest first.
    expiry: VecDeque<(Duration, JobId)>,
    /// Ended jobs whose retention time has expired.
    expired: VecDeque<JobId>,
    /// Whether the stored cell state names workers on which certainly nothing runs any more.
    pub(crate) outdated: bool,
    /// Size in bytes of the cell state that the store does not accept.
    rejected_state: Option<usize>,
    /// Size in bytes of the smallest cell state that the store has rejected, unless it has accepted a
    /// larger one since.
    pub(crate) refused_size: Option<usize>,
    /// Whether the cell state has to list finished tasks one by one, since an instance may not read
    /// ranges.
    pub(crate) lists_only: bool,
    /// Until when the cell state is not tried again.
    state_held_until: Duration,
    /// Whether the store did not accept the latest final states, so that the next ones go one by one.
    rejected_finals: bool,
}

/// A job whose final state is stored, or that was cancelled before it was stored.
#[derive(Clone, Debug)]
pub(crate) struct EndedJob {
    /// Final state; none if the job was never stored.
    pub(crate) how: Option<FinalState>,
    pub(crate) organisation: Option<OrganisationName>,
}

/// What the transaction in flight stores.
#[derive(Clone, Debug, Default)]
struct InFlight {
    finals: Vec<(JobId, FinalState)>,
    /// Jobs whose keys it removes.
    expired: Vec<JobId>,
    /// Workers that the cell state enrols, with their incarnation.
    enrolled: Vec<(WorkerId, u64)>,
    /// Size of the cell state in bytes.
    state_size: usize,
    /// Whether the cell state lists finished tasks that it may contain as ranges.
    listed: bool,
    /// Worker, incarnation and highest covered end, if the transaction stores the cell state.
    covered_ends: Option<Vec<(WorkerId, u64, u64)>>,
    jobs_with_ends: HashSet<JobId>,
    /// Long-running tasks that the cell state lists, with their workers.
    assigned: Assigned,
    /// Machines for which orders may be sent once the cell state is stored.
    ordered_machines: Vec<Arc<str>>,
    /// Moved queues that the cell state names.
    moved_queues: BTreeSet<QueueKey>,
    /// Restarted workers that the cell state names.
    restarts: BTreeSet<WorkerId>,
}

impl FlushQueue {
    pub(crate) fn inherit(&mut self, record: &CellRecord) {
        for progress in &record.tasks {
            self.jobs_with_ends.insert(progress.task.job.clone());
        }
        let past = record.past.iter().map(|(job, _)| job.clone());
        self.jobs_with_ends.extend(past);
        let finished = record.finished.iter().map(|each| each.job.clone());
        self.jobs_with_ends.extend(finished);
    }

    pub(crate) fn queue_final(&mut self, id: &JobId) {
        if self.in_queue.insert(id.clone()) {
            self.final_queue.push_back(id.clone());
        }
    }

    pub(crate) fn record_task_end(&mut self, task: &TaskKey) {
        self.jobs_with_ends.insert(task.job.clone());
    }

    pub(crate) fn record_ended(&mut self, id: &JobId, ended: EndedJob, now: Duration) {
        if self.ended.insert(id.clone(), ended).is_none() {
            self.expiry.push_back((now, id.clone()));
        }
        self.jobs_with_ends.remove(id);
    }

    pub(crate) fn ended(&self, id: &JobId) -> Option<&EndedJob> {
        self.ended.get(id)
    }

    pub(crate) fn expire(&mut self, retention: Duration, now: Duration) {
        while let Some((at, _)) = self.expiry.front() {
            if now < *at + retention {
                break;
            }
            if let Some((_, id)) = self.expiry.pop_front() {
                self.expired.push_back(id);
            }
        }
    }
}

impl Scheduler {
    /// Returns the next transaction, unless one is in flight or nothing is due.
    pub fn next_flush(&mut self, now: Duration) -> Option<Flush> {
        if self.flush_queue.in_flight.is_some() {
            return None;
        }
        let mut flush = Flush::default();
        let mut in_flight = InFlight::default();
        let max_finals = if self.flush_queue.rejected_finals {
            1
        } else {
            MAX_FINALS
        };
        while flush.finals.len() < max_finals {
            let Some(id) = self.flush_queue.final_queue.pop_front() else {
                break;
            };
            self.flush_queue.in_queue.remove(&id);
            let Some(job) = self.jobs.get(&id).filter(|job| !job.stored) else {
                continue;
            };
            let Some(how) = job.ended else {
                continue;
            };
            in_flight.finals.push((id.clone(), how));
            flush.finals.push(FinalWrite {
                job: id,
                revision: job.revision,
                how,
                organisation: job.accepted.organisation.clone(),
            });
        }
        let removable = if flush.finals.is_empty() {
            MAX_EXPIRED
        } else {
            MAX_EXPIRED_WITH_FINALS
        };
        if self.flush_queue.expired.len() >= MAX_EXPIRED {
            let count = removable.min(self.flush_queue.expired.len());
            flush.expired = self.flush_queue.expired.drain(..count).collect();
            in_flight.expired.clone_from(&flush.expired);
        }
        if now >= self.flush_queue.state_held_until && self.cell_state_due(now) {
            let mut covered = InFlight {
                finals: in_flight.finals.clone(),
                expired: in_flight.expired.clone(),
                ..InFlight::default()
            };
            let state = self.encode_cell_state(&mut covered, now);
            if state.len() <= self.settings.max_value {
                self.maintenance.unsaved = false;
                self.flush_queue.outdated = false;
                covered.state_size = state.len();
                flush.state = Some(state);
                in_flight = covered;
                self.assignments.begin_store(&in_flight.assigned);
            } else {
                self.hold_state(state.len(), now);
            }
        }
        if flush.is_empty() {
            return None;
        }
        self.flush_queue.in_flight = Some(in_flight);
        Some(flush)
    }

    /// Keeps a cell state that the store does not accept from being tried again at once.
    fn hold_state(&mut self, size: usize, now: Duration) {
        self.flush_queue.state_held_until = now + STATE_RETRY_DELAY;
        if self.flush_queue.rejected_state.replace(size).is_none() {
            log_event!(
                Event::CellStateRejected,
                bytes = size,
                max_bytes = self.settings.max_value
            );
        }
    }

    fn handle_rejected_state(&mut self, in_flight: &InFlight, now: Duration) {
        let size = in_flight.state_size;
        let smallest = self.flush_queue.refused_size.unwrap_or(size);
        self.flush_queue.refused_size = Some(smallest.min(size));
        self.hold_state(size, now);
        if in_flight.listed {
            // The next state is smaller.
            self.flush_queue.state_held_until = now;
        }
    }

    /// Returns the size of the cell state in bytes if the store does not accept it.
    #[must_use]
    pub const fn rejected_state(&self) -> Option<usize> {
        self.flush_queue.rejected_state
    }

    /// Returns whether the cell state has to be stored: a worker waits to be enrolled or need not be
    /// any more, a long-running task waits for its assignment, an end has reached [`MAX_END_AGE`], or
    /// maintenance progress, ordered machines or moved queues have changed.
    fn cell_state_due(&self, now: Duration) -> bool {
        let mut workers = self.workers.values();
        let contains = |id: &WorkerId| self.workers.get(id).is_some_and(Worker::is_stored);
        workers.any(|worker| worker.may_enrol() && !worker.enrolled)
            || self.flush_queue.outdated
            || self.assignments.is_due(contains)
            || self.maintenance.unsaved
            || self.has_unstored_orders()
            || self.stored_orders_stale(now)
            || self.moved_queues() != self.stored_moves
            || self.has_unstored_restarts(now)
            || self.workers.values().any(|worker| {
                let oldest = worker.pending_ends.front();
                oldest.is_some_and(|end| now >= end.seen_at + MAX_END_AGE)
            })
    }

    /// Encodes the state of the cell, and records in `in_flight` what it covers.
    fn encode_cell_state(&self, in_flight: &mut InFlight, now: Duration) -> Vec<u8> {
        let mut record = CellRecord {
            fence: self.fence,
            maintained: self.maintenance.maintained(),
            ordered_machines: self.recently_ordered(now),
            ..CellRecord::default()
        };
        in_flight.moved_queues = self.moved_queues();
        record.moved_queues = in_flight.moved_queues.iter().cloned().collect();
        record.restarted = self.recent_restarts(now);
        let restarted = record.restarted.iter();
        in_flight.restarts = restarted.map(|each| each.worker.clone()).collect();
        in_flight
            .ordered_machines
            .clone_from(&record.ordered_machines);
        let mut covered_ends = Vec::new();
        for (id, worker) in &self.workers {
            covered_ends.push((id.clone(), worker.incarnation, worker.last_end));
            if worker.may_enrol() && !worker.enrolled {
                in_flight.enrolled.push((id.clone(), worker.incarnation));
            }
            if worker.is_stored() {
                record.workers.push(EnrolledWorker {
                    worker: id.clone(),
                    incarnation: worker.incarnation,
                    pool: worker.listing.pool.clone(),
                    address: worker.listing.address.clone(),
                    machine: worker.listing.machine.clone(),
                });
                if let Some(tasks) = self.tasks_assigned_to(id, worker, now) {
                    let pairs = tasks.iter().map(|task| (id.clone(), task.clone()));
                    in_flight.assigned.extend(pairs);
                    record.assignments.push(Assignment {
                        worker: id.clone(),
                        tasks: tasks.into_iter().collect(),
                    });
                }
            }
        }
        in_flight.covered_ends = Some(covered_ends);
        in_flight
            .jobs_with_ends
            .clone_from(&self.flush_queue.jobs_with_ends);
        let encoded = self.encode_with_progress(record);
        in_flight.listed = encoded.listed;
        encoded.bytes
    }

    /// Processes the outcome of the transaction that [`Scheduler::next_flush`] returned.
    pub fn handle_flush_outcome(&mut self, outcome: &FlushOutcome, now: Duration) {
        let Some(in_flight) = self.flush_queue.in_flight.take() else {
            return;
        };
        match outcome {
            FlushOutcome::Stored => self.handle_stored(in_flight, now),
            FlushOutcome::Changed(keys) => {
                for (id, key) in keys {
                    match key {
                        JobKeyState::Ended(how) => self.record_final_state(id, *how, now),
                        JobKeyState::Absent => {
                            log_event!(Event::JobRecordLost, job = id);
                            self.record_final_state(id, FinalState::Cancelled, now);
                        }
                        JobKeyState::Accepted(revision) => {
                            if let Some(job) = self.jobs.get_mut(id) {
                                job.revision = *revision;
                            }
                        }
                    }
                }
                self.requeue(in_flight);
            }
            FlushOutcome::NotStored => self.requeue(in_flight),
            FlushOutcome::Rejected => {
                if in_flight.covered_ends.is_some() {
                    self.handle_rejected_state(&in_flight, now);
                } else {
                    self.flush_queue.rejected_finals = true;
                }
                self.requeue(in_flight);
            }
        }
        let ids: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for id in ids {
            self.acknowledge_ends(&id);
        }
    }

    fn requeue(&mut self, in_flight: InFlight) {
        self.maintenance.unsaved |= in_flight.covered_ends.is_some();
        for (id, _) in &in_flight.finals {
            if self.jobs.get(id).is_some_and(|job| !job.stored) {
                self.flush_queue.queue_final(id);
            }
        }
        self.flush_queue.expired.extend(in_flight.expired);
    }

    fn handle_stored(&mut self, in_flight: InFlight, now: Duration) {
        self.flush_queue.rejected_finals = false;
        if in_flight.covered_ends.is_some() && self.flush_queue.rejected_state.take().is_some() {
            log_event!(Event::CellStateStored, bytes = in_flight.state_size);
        }
        if in_flight.covered_ends.is_some() {
            let refused = &mut self.flush_queue.refused_size;
            *refused = refused.filter(|size| *size > in_flight.state_size);
        }
        for (id, how) in &in_flight.finals {
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
            self.record_final_state(id, *how, now);
        }
        for id in &in_flight.expired {
            self.flush_queue.ended.remove(id);
        }
        self.send_stored_orders(&in_flight.ordered_machines, now);
        if in_flight.covered_ends.is_some() {
            self.machines.stored.clone_from(&in_flight.ordered_machines);
            self.machines.stored_at = now;
            self.stored_moves.clone_from(&in_flight.moved_queues);
            self.stored_restarts.clone_from(&in_flight.restarts);
            self.assignments.finish_store(in_flight.assigned);
        }
        for (id, incarnation) in &in_flight.enrolled {
            if let Some(worker) = self
                .workers
                .get_mut(id)
                .filter(|worker| worker.incarnation == *incarnation)
            {
                worker.enrolled = true;
            }
        }
        if let Some(covered_ends) = in_flight.covered_ends {
            for (id, incarnation, last_end) in covered_ends {
                if let Some(worker) = self
                    .workers
                    .get_mut(&id)
                    .filter(|worker| worker.incarnation == incarnation)
                {
                    while let Some(end) = worker
                        .pending_ends
                        .front()
                        .filter(|end| end.number <= last_end)
                    {
                        worker.acked_end = end.number;
                        worker.pending_ends.pop_front();
                    }
                }
            }
        }
    }

    /// Acknowledges the ends of jobs whose final state is stored, up to the first other one.
    pub(crate) fn acknowledge_ends(&mut self, id: &WorkerId) {
        let jobs = &self.jobs;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        while let Some(end) = worker.pending_ends.front() {
            let stored = jobs.get(&end.job).is_none_or(|job| job.stored);
            if !stored {
                break;
            }
            worker.acked_end = end.number;
            worker.pending_ends.pop_front();
        }
    }
}
