//! Finished tasks of unfinished jobs in the stored state of a cell.
//!
//! Load pattern: jobs of thousands of tasks, of which most have finished. Listed one by one these
//! make the state larger than the store accepts. Workers then keep all ends of unfinished jobs and
//! get no more tasks, so that the jobs never end.

use std::time::Duration;

use nutmegcart_fleet::IndexRanges;

use crate::job::TaskKey;
use crate::live_job::LiveJob;
use crate::live_job::LiveStep;
use crate::live_task::LiveTask;
use crate::record::CellRecord;
use crate::record::FinishedTasks;
use crate::record::encode_cell;
use crate::scheduler::Scheduler;

/// Maximum number of tasks of finished occurrences that the cell state lists one by one, for programs
/// of versions that do not read [`CellRecord::past`]. Those would run the others once more.
const MAX_LISTED_PAST_TASKS: u64 = 500;
/// Smallest size in bytes of a finished task that the cell state lists.
const MIN_LISTED_SIZE: usize = 26;

/// An encoded cell state.
pub(crate) struct EncodedState {
    pub(crate) bytes: Vec<u8>,
    /// Whether it lists finished tasks that it may contain as ranges.
    pub(crate) listed: bool,
}

impl Scheduler {
    /// Sets whether every instance that may succeed this owner reads ranges of finished tasks, as
    /// programs of [`crate::record::STATE_FORMAT`] do. Another one would run these tasks again.
    pub const fn allow_ranges(&mut self, allowed: bool) {
        self.flush_queue.lists_only = !allowed;
    }

    /// Adds the progress of unfinished jobs to the state of the cell, which has none yet, and encodes
    /// it.
    ///
    /// Finished tasks are listed one by one, which all versions read, unless the store does not
    /// accept a state of that size. Then the state contains the ranges of their numbers if every
    /// instance reads those.
    pub(crate) fn encode_with_progress(&self, mut record: CellRecord) -> EncodedState {
        let with_ends = self.flush_queue.jobs_with_ends.iter();
        let mut jobs: Vec<&LiveJob> = with_ends.filter_map(|id| self.jobs.get(id)).collect();
        jobs.retain(|job| !job.stored);
        jobs.sort_by(|a, b| a.id.cmp(&b.id));
        let with_past = jobs.iter().filter(|job| !job.past.is_empty());
        record.past = with_past
            .map(|job| (job.id.clone(), job.past.clone()))
            .collect();
        let finished: usize = jobs.iter().map(|job| job.finished_count()).sum();
        let lists_only = self.flush_queue.lists_only;
        if lists_only || self.may_list(finished.saturating_mul(MIN_LISTED_SIZE)) {
            list_progress(&mut record, &jobs);
            let bytes = encode_cell(&record);
            if lists_only || self.may_list(bytes.len()) {
                return EncodedState {
                    bytes,
                    listed: finished > 0 && !lists_only,
                };
            }
            record.tasks.clear();
        }
        for job in jobs {
            record
                .tasks
                .extend(job.progress(|task| !task.done && has_progress(task)));
            record.finished.extend(job.finished_tasks());
        }
        EncodedState {
            bytes: encode_cell(&record),
            listed: false,
        }
    }

    /// Returns whether a cell state of `size` bytes may list finished tasks one by one.
    ///
    /// After a rejection this takes half the size, so that few states are rejected before it is
    /// below a limit which the owner doesn't know.
    fn may_list(&self, size: usize) -> bool {
        let refused = self.flush_queue.refused_size;
        size <= self.settings.max_value && refused.is_none_or(|refused| size <= refused / 2)
    }
}

/// Lists the progress of all tasks that have made some.
fn list_progress(record: &mut CellRecord, jobs: &[&LiveJob]) {
    let mut listed = 0;
    for job in jobs {
        record
            .tasks
            .extend(job.progress(|task| task.done || has_progress(task)));
        if listed + job.past_tasks() <= MAX_LISTED_PAST_TASKS {
            listed += job.past_tasks();
            record.tasks.extend(job.past_progress());
        }
    }
}

/// Returns whether a task that has not finished has progress that workers no longer report once its
/// ends are acknowledged.
fn has_progress(task: &LiveTask) -> bool {
    !task.failed_runs.is_empty() || task.checkpoint.is_some()
}

impl LiveJob {
    fn finished_count(&self) -> usize {
        let steps = self.occurrences.values().flat_map(|each| &each.steps);
        steps.map(|step| step.done as usize).sum()
    }

    /// Returns the finished tasks of each step that has some.
    fn finished_tasks(&self) -> Vec<FinishedTasks> {
        let mut finished = Vec::new();
        for (number, occurrence) in &self.occurrences {
            let steps = (0_u16..).zip(&occurrence.steps);
            for (step, state) in steps.filter(|(_, state)| state.done > 0) {
                finished.push(FinishedTasks {
                    job: self.id.clone(),
                    occurrence: *number,
                    step,
                    indexes: finished_indexes(state),
                });
            }
        }
        finished
    }

    /// Marks tasks as finished that another owner has recorded as such.
    pub(crate) fn restore_finished(&mut self, finished: &FinishedTasks, now: Duration) {
        let key = TaskKey {
            job: self.id.clone(),
            occurrence: finished.occurrence,
            step: finished.step,
            index: 0,
        };
        if finished.indexes.is_empty() || self.started_task(&key, now).is_none() {
            return;
        }
        self.started = true;
        self.finish_all(&key, &finished.indexes);
    }
}

fn finished_indexes(step: &LiveStep) -> IndexRanges {
    IndexRanges::from_ranges(step.tasks.matching_ranges(|task| task.done))
}
