//! What callers, workers and processes have seen.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_jobs::RunEnd;
use nutmegcart_jobs::TaskKey;
use nutmegcart_stand_in::runner::Occurrence;

use crate::schedule::Fault;

/// What a job consists of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Nature {
    /// Its tasks end as done.
    Ordinary,
    /// Its tasks fail.
    Failing,
    /// Its tasks run until the job is cancelled.
    LongRunning,
}

/// Something that was seen.
#[derive(Clone, Debug)]
pub enum Fact {
    /// A job is about to be handed in for the first time.
    Planned {
        /// Its identifier.
        job: Arc<str>,
        /// What it consists of.
        nature: Nature,
        /// Number of its tasks.
        tasks: u32,
    },
    /// A submission is about to be sent.
    Submitting {
        /// The job.
        job: Arc<str>,
    },
    /// A submission was answered with a status, or not.
    Submitted {
        /// The job.
        job: Arc<str>,
        /// Status of the answer.
        answer: Option<u16>,
    },
    /// A cancellation is about to be sent.
    Cancelling {
        /// The job.
        job: Arc<str>,
    },
    /// A cancellation was answered with a status, or not.
    Cancelled {
        /// The job.
        job: Arc<str>,
        /// Status of the answer.
        answer: Option<u16>,
        /// Time at which the request was sent.
        sent: Duration,
    },
    /// The state of a job was answered.
    Shown {
        /// The job.
        job: Arc<str>,
        /// Status of the answer.
        answer: u16,
        /// State in the answer.
        state: Arc<str>,
        /// Time at which the request was sent.
        sent: Duration,
    },
    /// A submission with an unknown key was accepted.
    Admitted {
        /// Number of the instance.
        instance: usize,
    },
    /// A connection ended without an answer.
    Dropped {
        /// Number of the instance.
        instance: usize,
        /// Time from the request to the end.
        waited: Duration,
        /// Whether a part of the answer had arrived.
        partial: bool,
    },
    /// Something happened at a worker.
    Worker {
        /// Number of the worker.
        worker: usize,
        /// What happened.
        what: Occurrence,
    },
    /// A process has ended.
    Exited {
        /// Number of the instance.
        instance: usize,
        /// How it ended.
        how: Arc<str>,
        /// Whether its end was asked for.
        expected: bool,
    },
    /// A fault begins.
    Began(Fault),
    /// A fault has ended.
    Over(Fault),
    /// All jobs had settled without faults.
    Settled,
}

/// A fact and its time since the start of the run.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Time of the fact.
    pub at: Duration,
    /// The fact.
    pub fact: Fact,
}

/// Facts in the order of their times; clones share their facts.
#[derive(Clone, Debug)]
pub struct History {
    start: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Default for History {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            entries: Arc::default(),
        }
    }
}

impl History {
    fn lock(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the start of the run.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Adds a fact that was seen just now.
    ///
    /// ```
    /// use nutmegcart_soak::history::{Fact, History};
    ///
    /// let history = History::default();
    /// history.add(Fact::Settled);
    /// assert_eq!(history.take_until(history.now()).len(), 1);
    /// ```
    pub fn add(&self, fact: Fact) {
        let mut entries = self.lock();
        let at = self.now();
        entries.push(Entry { at, fact });
    }

    /// Adds a fact that was seen at a time.
    pub fn add_at(&self, time: Instant, fact: Fact) {
        let at = time.saturating_duration_since(self.start);
        self.lock().push(Entry { at, fact });
    }

    /// Removes and returns the facts before a time, ordered by their times.
    #[must_use]
    pub fn take_until(&self, time: Duration) -> Vec<Entry> {
        let mut entries = self.lock();
        let all = std::mem::take(&mut *entries);
        let (mut taken, left): (Vec<_>, Vec<_>) = all.into_iter().partition(|each| each.at < time);
        *entries = left;
        drop(entries);
        taken.sort_by_key(|entry| entry.at);
        taken
    }
}

/// Returns whether a run ended by itself with success.
#[must_use]
pub fn is_done(how: RunEnd) -> bool {
    how == RunEnd::Done
}

/// Returns the job of a task.
#[must_use]
pub fn job_of(task: &TaskKey) -> Arc<str> {
    task.job.to_string().into()
}
