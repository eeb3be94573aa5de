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
use crate::live::LiveJob;
use crate::record::CellRecord;
use crate::record::Enrolled;
use crate::record::Final;
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
    pub how: Final,
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
pub enum Flushed {
    /// It was stored.
    Stored,
    /// Nothing was stored, and these job keys differ from what was expected.
    Changed(Vec<(JobId, KeyNow)>),
    /// Nothing was stored.
    NotStored,
}

/// What a job's key holds now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyNow {
    /// The key does not exist.
    Absent,
    /// The job has ended.
    Ended(Final),
    /// The job was written again at the revision.
    Accepted(Revision),
}

/// What has to be stored.
#[derive(Clone, Debug, Default)]
pub(crate) struct Durable {
    wanted: VecDeque<JobId>,
    queued: HashSet<JobId>,
    touched: HashSet<JobId>,
    flight: Option<Flight>,
    ended: HashMap<JobId, Final>,
    expiry: VecDeque<(Duration, JobId)>,
    expired: VecDeque<JobId>,
}

#[derive(Clone, Debug, Default)]
struct Flight {
    finals: Vec<(JobId, Final)>,
    enrolled: Vec<(WorkerId, u64)>,
    covered: Option<Vec<(WorkerId, u64, u64)>>,
    touched: HashSet<JobId>,
    commanded: Vec<Arc<str>>,
}

impl Durable {
    pub(crate) fn inherit(&mut self, record: &CellRecord) {
        for progress in &record.tasks {
            self.touched.insert(progress.task.job.clone());
        }
    }

    pub(crate) fn want_final(&mut self, id: &JobId) {
        if self.queued.insert(id.clone()) {
            self.wanted.push_back(id.clone());
        }
    }

    pub(crate) fn note_end(&mut self, task: &TaskKey) {
        self.touched.insert(task.job.clone());
    }

    pub(crate) fn note_ended(&mut self, id: &JobId, how: Final, now: Duration) {
        if self.ended.insert(id.clone(), how).is_none() {
            self.expiry.push_back((now, id.clone()));
        }
        self.touched.remove(id);
    }

    pub(crate) fn ended(&self, id: &JobId) -> Option<Final> {
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
        if self.durable.flight.is_some() {
            return None;
        }
        let mut flush = Flush::default();
        let mut flight = Flight::default();
        while flush.finals.len() < MOST_FINALS {
            let Some(id) = self.durable.wanted.pop_front() else {
                break;
            };
            self.durable.queued.remove(&id);
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
        if self.state_due(now) {
            self.upkeep.changed = false;
            flush.state = Some(self.snapshot(&mut flight, now));
        }
        if flush.is_empty() {
            return None;
        }
        self.durable.flight = Some(flight);
        Some(flush)
    }

    /// Returns whether a worker waits to be enrolled or ends wait for their progress record.
    fn state_due(&self, now: Duration) -> bool {
        let joins = self
            .workers
            .values()
            .any(|worker| worker.listed && !worker.enrolled && worker.born != 0);
        joins
            || self.upkeep.changed
            || self.commands_wait()
            || self.commands_stale(now)
            || self.workers.values().any(|worker| {
                let oldest = worker.ends.front();
                oldest.is_some_and(|end| now >= end.seen + PROGRESS_AGE)
            })
    }

    /// Encodes the workers that may hold tasks and the progress of unfinished jobs.
    fn snapshot(&self, flight: &mut Flight, now: Duration) -> Vec<u8> {
        let mut record = CellRecord {
            maintained: self.upkeep.maintained(),
            commanded: self.commanded(now),
            ..CellRecord::default()
        };
        flight.commanded.clone_from(&record.commanded);
        let mut covered = Vec::new();
        for (id, worker) in &self.workers {
            covered.push((id.clone(), worker.born, worker.seen));
            let joins = worker.listed && worker.born != 0;
            if joins && !worker.enrolled {
                flight.enrolled.push((id.clone(), worker.born));
            }
            if joins || worker.enrolled || !worker.runs.is_empty() {
                record.workers.push(Enrolled {
                    worker: id.clone(),
                    born: worker.born,
                    pool: worker.listing.pool.clone(),
                    address: worker.listing.address.clone(),
                    machine: worker.listing.machine.clone(),
                });
            }
        }
        let touched = self.durable.touched.iter();
        let mut jobs: Vec<&LiveJob> = touched.filter_map(|id| self.jobs.get(id)).collect();
        jobs.sort_by(|a, b| a.id.cmp(&b.id));
        for job in jobs {
            record.tasks.extend(progress(job));
        }
        flight.covered = Some(covered);
        flight.touched.clone_from(&self.durable.touched);
        encode(&record)
    }

    /// Notes what became of the transaction that [`Scheduler::next_flush`] returned.
    pub fn flushed(&mut self, outcome: &Flushed, now: Duration) {
        let Some(flight) = self.durable.flight.take() else {
            return;
        };
        match outcome {
            Flushed::Stored => self.stored(flight, now),
            Flushed::Changed(keys) => {
                for (id, key) in keys {
                    match key {
                        KeyNow::Ended(how) => self.note_ended(id, *how, now),
                        KeyNow::Absent => {
                            log_event!(Event::JobRecordLost, job = id);
                            self.note_ended(id, Final::Cancelled, now);
                        }
                        KeyNow::Accepted(revision) => {
                            if let Some(job) = self.jobs.get_mut(id) {
                                job.revision = *revision;
                            }
                        }
                    }
                }
                self.want_again(&flight);
            }
            Flushed::NotStored => self.want_again(&flight),
        }
        let ids: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for id in ids {
            self.advance_acks(&id);
        }
    }

    fn want_again(&mut self, flight: &Flight) {
        self.upkeep.changed |= flight.covered.is_some();
        for (id, _) in &flight.finals {
            if self.jobs.get(id).is_some_and(|job| !job.stored) {
                self.durable.want_final(id);
            }
        }
    }

    fn stored(&mut self, flight: Flight, now: Duration) {
        for (id, how) in &flight.finals {
            if let Some(job) = self.jobs.get_mut(id) {
                let age = now.saturating_sub(job.since);
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
        self.release_commands(&flight.commanded, now);
        if flight.covered.is_some() {
            self.machines.named.clone_from(&flight.commanded);
            self.machines.written = now;
        }
        for (id, born) in &flight.enrolled {
            if let Some(worker) = self
                .workers
                .get_mut(id)
                .filter(|worker| worker.born == *born)
            {
                worker.enrolled = true;
            }
        }
        if let Some(covered) = flight.covered {
            for (id, born, seen) in covered {
                if let Some(worker) = self
                    .workers
                    .get_mut(&id)
                    .filter(|worker| worker.born == born)
                {
                    while let Some(end) = worker.ends.front().filter(|end| end.number <= seen) {
                        worker.acked = end.number;
                        worker.ends.pop_front();
                    }
                }
            }
        }
    }

    /// Acknowledges the ends of jobs whose final state is stored.
    pub(crate) fn advance_acks(&mut self, id: &WorkerId) {
        let jobs = &self.jobs;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        while let Some(end) = worker.ends.front() {
            let durable = jobs.get(&end.job).is_none_or(|job| job.stored);
            if !durable {
                break;
            }
            worker.acked = end.number;
            worker.ends.pop_front();
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
                if !task.done && task.failed.is_empty() && task.saved.is_none() {
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
                    failed: task.failed.clone(),
                    run: task.run,
                    saved: task.saved.clone(),
                });
            }
        }
    }
    progress
}
