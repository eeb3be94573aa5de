//! Shares of the jobs of a queue that are started while they can end in time, by size.
//!
//! Load pattern: a pool loses most of its machines for good, and a queue asks for several times what
//! is left, for long. Small jobs yield more value for each core-second, so they would take all
//! capacity, and large ones would never be served.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::job::QueueKey;
use crate::live_job::LiveJob;
use crate::live_job::Occurrence;

/// Number of latest jobs of a queue whose sizes divide the next ones into classes.
const SAMPLES: usize = 128;
/// Number of jobs of a queue below which all have one class.
const MIN_SAMPLES: usize = 20;
/// Shares of the jobs of a queue that are smaller than those of each class but the first.
const QUANTILES: [f64; CLASSES - 1] = [0.7, 0.9];
/// Number of classes of sizes.
const CLASSES: usize = 3;
/// Time constant of the counts, in seconds. It is longer than a burst.
const MEMORY_SECONDS: f64 = 8.0;

/// Decaying counts of the jobs of a class.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    arrived: f64,
    started: f64,
}

/// Recent jobs of one queue.
#[derive(Clone, Debug, Default)]
struct QueueShares {
    /// Work of the latest jobs in core-seconds, in order of arrival.
    works: VecDeque<f64>,
    /// Least work of each class but the first.
    bounds: Option<[f64; CLASSES - 1]>,
    counts: [Counts; CLASSES],
    updated_at: Duration,
}

impl QueueShares {
    fn decay(&mut self, now: Duration) {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let factor = (-age / MEMORY_SECONDS).exp();
        for counts in &mut self.counts {
            counts.arrived *= factor;
            counts.started *= factor;
        }
        self.updated_at = now;
    }

    fn class(&self, work: f64) -> usize {
        let bounds = self.bounds.iter().flatten();
        bounds.filter(|bound| work >= **bound).count()
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "positions in a short list"
    )]
    fn add_sample(&mut self, work: f64) {
        self.works.push_back(work);
        if self.works.len() > SAMPLES {
            self.works.pop_front();
        }
        if self.works.len() >= MIN_SAMPLES {
            let mut sorted: Vec<f64> = self.works.iter().copied().collect();
            sorted.sort_by(f64::total_cmp);
            let at = |share: f64| sorted[(sorted.len() as f64 * share) as usize];
            self.bounds = Some(QUANTILES.map(at));
        }
    }
}

/// Recent jobs of all queues.
#[derive(Clone, Debug, Default)]
pub struct SizeShares {
    queues: HashMap<QueueKey, QueueShares>,
}

impl SizeShares {
    /// Records a new job; `work` is in core-seconds.
    pub fn record_arrival(&mut self, queue: &QueueKey, work: f64, now: Duration) {
        let shares = self.queues.entry(queue.clone()).or_default();
        shares.decay(now);
        shares.add_sample(work);
        shares.counts[shares.class(work)].arrived += 1.0;
    }

    /// Records that a job is started; it counts if it can still end in time.
    pub(crate) fn record_start(&mut self, job: &LiveJob, now: Duration) {
        let in_time = |each: &Occurrence| now + each.remaining <= each.due + job.objective;
        if !job.occurrences.values().all(in_time) {
            return;
        }
        self.count_start(&job.accepted.queue.key, job.work, now);
    }

    /// Counts a start of a job that can end in time; `work` is in core-seconds.
    pub fn count_start(&mut self, queue: &QueueKey, work: f64, now: Duration) {
        let shares = self.queues.entry(queue.clone()).or_default();
        shares.decay(now);
        shares.counts[shares.class(work)].started += 1.0;
    }

    /// Returns the share of the class of a job that was started, as a part of the largest share of
    /// the classes of its queue, from 0 to 1. It is 1 in a queue whose jobs are all started.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_jobs::QueueKey;
    /// # use nutmegcart_jobs::size_shares::SizeShares;
    /// let (queue, now) = (QueueKey::default(), Duration::from_secs(1));
    /// let mut shares = SizeShares::default();
    /// for number in 0..100 {
    ///     let work = f64::from(number);
    ///     shares.record_arrival(&queue, work, now);
    ///     if work < 50.0 {
    ///         shares.count_start(&queue, work, now);
    ///     }
    /// }
    /// assert!(shares.relative(&queue, 99.0) < 0.5 * shares.relative(&queue, 10.0));
    /// ```
    #[must_use]
    pub fn relative(&self, queue: &QueueKey, work: f64) -> f64 {
        let Some(shares) = self.queues.get(queue) else {
            return 1.0;
        };
        let share = |counts: Counts| ((counts.started + 1.0) / (counts.arrived + 1.0)).min(1.0);
        let largest = shares.counts.map(share).into_iter().fold(0.0, f64::max);
        share(shares.counts[shares.class(work)]) / largest
    }
}
