//! State that the owner of a cell keeps of its workers: capacity, runs and lease ends.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use nutmegcart_fleet::Resources;
use nutmegcart_model::OrganisationName;

use crate::action::JobSettings;
use crate::fresh_clock::HeldStarts;
use crate::job::JobId;
use crate::job::TaskKey;
use crate::listing::MAX_TIME;
use crate::listing::WorkerListing;

/// Largest relative drift by which a worker's clock is slow, from the published interface.
const MAX_CLOCK_DRIFT: f64 = 0.02;
/// Time that a worker may need to kill its runs after their lease expired.
pub(crate) const KILL_TIME: Duration = Duration::from_millis(300);
/// Time after which a call whose response was lost is no longer carried out; the platform states
/// a maximum delay of 12 s.
pub(crate) const MAX_ORDER_DELAY: Duration = Duration::from_secs(14);
/// Time from a start that is ordered until an incarnation that runs at the address by then may have
/// taken it, unless it is carried out late: it may wait for the worker's clock, and for its answer.
const START_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which a worker without a listing counts as gone; listings that expired while the
/// store was unavailable are back within 2 s.
const MISSING_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time at work since a worker's latest failure after which a run shows that the worker can run
/// tasks. It exceeds the time after which a hung run is stopped.
const PROOF_TIME: Duration = Duration::from_secs(2);
/// Share of the ends that a report lists, in percent, up to which a worker gets tasks. Each live run
/// counts as an end that is still to come. The rest is for runs of which the owner does not know yet.
const MAX_ENDS_PERCENT: usize = 75;
/// Number of different jobs with consecutive failures after which a worker counts as faulty.
const MAX_FAILED_JOBS: usize = 3;

/// Why a run is being stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// Its job ended or was cancelled.
    JobEnded,
    /// Another copy of the task finished.
    CopyDone,
    /// The response to its start order was lost.
    Unanswered,
    /// The worker no longer lists it.
    Vanished,
    /// It made no progress.
    Stalled,
    /// Its worker is shutting down or due for maintenance.
    Evacuated,
    /// Its resources are needed by work of a higher priority.
    Preempted,
    /// Another task of its gang has no run.
    Incomplete,
}

/// State of a run, as far as the owner knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunState {
    /// The start order was sent and has no response yet.
    Ordered,
    /// The worker confirmed the start.
    Running,
    /// A stop is due or was sent.
    Stopping {
        /// Cause, printed in logs.
        reason: StopReason,
        /// Whether a stop order was sent and need not be repeated, because it is in flight or the
        /// worker confirmed it.
        sent: bool,
        /// When the worker confirmed the stop.
        confirmed_at: Option<Duration>,
    },
}

/// Why a worker gets no new tasks.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Unusable {
    /// Service discovery does not list it.
    #[display("unlisted")]
    Unlisted,
    /// It is shutting down.
    #[display("draining")]
    Draining,
    /// It is reserved for a move or maintenance.
    #[display("reserved")]
    Reserved,
    /// It does not answer.
    #[display("unreachable")]
    Unreachable,
    /// It has not seen this owner's fencing token.
    #[display("not fenced")]
    NotFenced,
    /// The stored state of the cell does not contain it.
    #[display("not enrolled")]
    NotEnrolled,
    /// Its clock has not been read.
    #[display("no clock")]
    NoClock,
    /// It reports runs that belong to no job of this owner.
    #[display("unknown runs")]
    UnknownRuns,
    /// It failed or refused tasks recently.
    #[display("penalised")]
    Penalised,
    /// It was asked for its incarnation, and has not answered in time.
    #[display("unverified")]
    Unverified,
}

/// A run that may be live on a worker.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags come from independent sources"
)]
#[derive(Clone, Debug)]
pub struct Run {
    /// Run number, unique within the task.
    pub number: u32,
    /// Latest known state.
    pub state: RunState,
    /// When the start order was emitted, or the run adopted.
    pub ordered_at: Duration,
    /// When the worker confirmed the start.
    pub confirmed_at: Option<Duration>,
    /// Whether the current incarnation has listed it in a report. The response to a start order does
    /// not tell which incarnation sent it.
    pub reported: bool,
    /// Part of the worker's capacity that it occupies.
    pub allocation: Resources,
    /// Resources that it needs, which count for the limit of its organisation.
    pub need: Resources,
    /// Organisation whose job it belongs to, if any.
    pub organisation: Option<OrganisationName>,
    /// Latest reported progress in percent.
    pub progress: u32,
    /// When the progress or the checkpoint last changed.
    pub progressed_at: Duration,
    /// Longest time that it has needed for a percent so far.
    pub percent_time: Duration,
    /// Tail latency in milliseconds of a serving task, else processor use in thousandths.
    pub metric: u32,
    /// Speed limit in percent of full speed.
    pub speed_limit: u32,
    /// When the speed limit was last changed.
    pub limited_at: Duration,
    /// Latest reported checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Whether it serves users and has a latency target.
    pub serving: bool,
    /// Whether it only uses processor time that other runs leave idle.
    pub best_effort: bool,
    /// Whether it runs until its job is cancelled.
    pub long_running: bool,
    /// Whether it has ever been at work.
    pub was_at_work: bool,
}

impl Run {
    /// Returns until when the run may live if the worker restarted before it took the start, and has
    /// not answered it; an incarnation that is not known grants `max_lease`.
    pub(crate) fn unanswered_until(&self, max_lease: Duration) -> Option<Duration> {
        let answered = self.reported || self.confirmed_at.is_some();
        let end = self.ordered_at + START_TIMEOUT + max_elapsed(max_lease) + KILL_TIME;
        (!answered).then_some(end)
    }

    /// Returns whether it is a long-running task that reports full progress; such a task has no
    /// other success.
    #[must_use]
    pub fn is_at_work(&self) -> bool {
        self.long_running && self.progress >= 100
    }

    /// Returns whether the run is being stopped because it made no progress.
    pub(crate) const fn is_stalled(&self) -> bool {
        matches!(
            self.state,
            RunState::Stopping {
                reason: StopReason::Stalled,
                ..
            }
        )
    }
}

/// An end of a run that the worker still reports because it has not been acknowledged.
#[derive(Clone, Debug)]
pub struct PendingEnd {
    /// Sequence number of the end within the incarnation.
    pub number: u64,
    /// Job of the run.
    pub job: JobId,
    /// When it was first reported to this owner.
    pub seen_at: Duration,
}

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockReading {
    /// Worker's clock in milliseconds.
    pub clock: u64,
    /// When the response that carried it arrived.
    pub at: Duration,
}

/// One incarnation of a worker.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags come from independent sources"
)]
#[derive(Clone, Debug)]
pub struct Worker {
    /// Latest entry in service discovery.
    pub listing: WorkerListing,
    /// Whether service discovery still lists the worker.
    pub listed: bool,
    /// When the listing was removed.
    pub unlisted_at: Duration,
    /// Start time of this incarnation in milliseconds since 1970; 0 until the worker or its listing
    /// states it.
    pub incarnation: u64,
    /// When this owner learned of the incarnation; zero for one that an earlier owner knew.
    pub known_at: Duration,
    /// When this owner learned that the incarnation has replaced an earlier one under the same
    /// identifier, if it has.
    pub restarted_at: Option<Duration>,
    /// Whether this incarnation has seen this owner's fencing token.
    pub fenced: bool,
    /// Whether the stored state of the cell certainly contains this incarnation, so that it may get
    /// tasks.
    pub enrolled: bool,
    /// Latest response that carried the worker's clock.
    pub clock_reading: Option<ClockReading>,
    /// When this incarnation was heard last, unless another one may have replaced it since.
    pub heard_at: Option<Duration>,
    /// Since when calls have failed, if they do.
    pub unreachable_since: Option<Duration>,
    /// Latest lease end that any order carried, on the worker's clock in milliseconds.
    pub lease_end: u64,
    /// Runs that may be live, by task.
    pub runs: BTreeMap<TaskKey, Run>,
    /// Whether an earlier owner may have started tasks here that this owner does not know.
    pub inherited: bool,
    /// Long-running tasks that an earlier owner may have started here; `None` if it did not store
    /// which. It counts until the worker is reached.
    pub assigned: Option<BTreeSet<TaskKey>>,
    /// Number of reported runs that belong to no job of this owner, so their allocation is unknown.
    pub unknown_runs: usize,
    /// Tasks of these runs.
    pub unknown_tasks: Vec<TaskKey>,
    /// Starts whose response was lost, with the time at which that was noticed.
    pub unanswered: Vec<(TaskKey, u32, Duration)>,
    /// Starts that wait until the worker has told its incarnation.
    pub(crate) held: HeldStarts,
    /// Highest sequence number of an end that was processed.
    pub last_end: u64,
    /// Highest sequence number of an end that may be acknowledged.
    pub acked_end: u64,
    /// Ends that were processed and may not be acknowledged yet, because they are not stored.
    pub pending_ends: VecDeque<PendingEnd>,
    /// Whether the latest report certainly listed all unacknowledged ends.
    pub ends_complete: bool,
    /// Largest number of ends that a report lists; unlimited until the first report.
    pub max_ends: usize,
    /// Whether the worker is reserved for a move or maintenance.
    pub reserved: bool,
    /// Jobs with a failed task since the latest success.
    pub failed_jobs: Vec<JobId>,
    /// When the latest failure was recorded.
    pub failed_at: Duration,
    /// Until when no task is started because of failures or refusals.
    pub penalised_until: Duration,
    /// Number of penalties since the latest success.
    pub penalties: u32,
}

impl Worker {
    /// Creates the state of a newly listed worker.
    #[must_use]
    pub fn new(listing: WorkerListing) -> Self {
        Self {
            incarnation: listing.incarnation,
            listing,
            listed: true,
            unlisted_at: Duration::ZERO,
            known_at: Duration::ZERO,
            restarted_at: None,
            fenced: false,
            enrolled: false,
            clock_reading: None,
            heard_at: None,
            unreachable_since: None,
            lease_end: 0,
            runs: BTreeMap::new(),
            inherited: false,
            assigned: None,
            unknown_runs: 0,
            unknown_tasks: Vec::new(),
            unanswered: Vec::new(),
            held: HeldStarts::default(),
            last_end: 0,
            acked_end: 0,
            pending_ends: VecDeque::new(),
            ends_complete: true,
            max_ends: usize::MAX,
            reserved: false,
            failed_jobs: Vec::new(),
            failed_at: Duration::ZERO,
            penalised_until: Duration::ZERO,
            penalties: 0,
        }
    }

    /// Returns the capacity that runs occupy, including those being stopped.
    #[must_use]
    pub fn used(&self) -> Resources {
        let add = |sum: Resources, run: &Run| sum + run.allocation;
        self.runs.values().fold(Resources::default(), add)
    }

    /// Returns the free capacity.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.listing.capacity.saturating_sub(self.used())
    }

    /// Returns the number of tasks that may be started before an end is acknowledged.
    ///
    /// The ends of the runs then never exceed what a report lists, however long the store is
    /// unavailable.
    #[must_use]
    pub fn startable(&self) -> usize {
        if !self.ends_complete {
            return 0;
        }
        let limit = self.max_ends.saturating_mul(MAX_ENDS_PERCENT) / 100;
        let ends = self.pending_ends.len() + self.runs.len();
        limit.max(1).saturating_sub(ends)
    }

    /// Returns the least that the worker's clock may show, in milliseconds, if it was ever read.
    ///
    /// A lease that ends a span after it is not longer than the span, however old the reading is.
    #[must_use]
    pub fn clock(&self, now: Duration) -> Option<u64> {
        self.clock_reading.map(|reading| least_clock(reading, now))
    }

    /// Records the lease end of an order that is about to be sent, whether or not it arrives.
    pub fn extend_lease(&mut self, lease_end: u64) {
        self.lease_end = self.lease_end.max(lease_end);
    }

    /// Returns when every run of this incarnation has certainly ended, if no order extends the
    /// lease; none while its clock has not been read.
    ///
    /// When the latest reading arrived, the worker's clock was at least that, and it may run slow.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_jobs::worker::{ClockReading, lease_end};
    /// let reading = ClockReading { clock: 1_000, at: Duration::from_secs(5) };
    /// let end = lease_end(reading, 2_000);
    /// assert!(end > Duration::from_millis(6_020 + 300));
    /// assert!(end < Duration::from_millis(6_330));
    /// ```
    #[must_use]
    pub fn runs_end(&self) -> Option<Duration> {
        self.clock_reading
            .map(|reading| lease_end(reading, self.lease_end))
    }

    /// Returns the longest lease that orders of earlier owners, or to an earlier incarnation, may have
    /// granted.
    ///
    /// All leases have the same length, but a lease end on the clock of an earlier incarnation may be
    /// farther ahead on the clock that began anew.
    pub(crate) const fn longest_lease(&self, settings: JobSettings) -> Duration {
        if self.restarted_at.is_some() {
            settings.max_lease
        } else {
            settings.lease
        }
    }

    /// Returns until when an order that was meant for the earlier incarnation may be carried out, if
    /// this one has replaced another.
    pub(crate) fn late_orders_end(&self) -> Option<Duration> {
        self.restarted_at.map(|at| at + MAX_ORDER_DELAY)
    }

    /// Returns when the leases have certainly ended that orders for the earlier incarnation may have
    /// granted, if this one has replaced another.
    ///
    /// The lease ends in them are times on the clock of the earlier incarnation, so the worker
    /// shortens them to `max_lease`.
    pub(crate) fn late_leases_end(&self, max_lease: Duration) -> Option<Duration> {
        let lease = max_elapsed(max_lease);
        self.late_orders_end().map(|end| end + lease + KILL_TIME)
    }

    /// Returns the age in milliseconds of the latest reading of the worker's clock, for the log.
    pub(crate) fn clock_age(&self, now: Duration) -> String {
        let age = |reading: ClockReading| millis(now.saturating_sub(reading.at)).to_string();
        self.clock_reading.map_or_else(|| "never read".into(), age)
    }

    /// Records a response that carried the worker's clock.
    pub fn record_clock(&mut self, clock: u64, now: Duration) {
        // Lease ends are added to it.
        let clock = clock.min(MAX_TIME);
        self.clock_reading = Some(ClockReading { clock, at: now });
        self.heard_at = Some(now);
        self.unreachable_since = None;
    }

    /// Returns whether new tasks may be started.
    #[must_use]
    pub fn usable(&self, now: Duration) -> bool {
        self.unusable(now).is_none()
    }

    /// Returns the first reason why no new task may be started, if any.
    #[must_use]
    pub fn unusable(&self, now: Duration) -> Option<Unusable> {
        let causes = [
            (!self.listed, Unusable::Unlisted),
            (self.listing.draining, Unusable::Draining),
            (self.unreachable_since.is_some(), Unusable::Unreachable),
            (!self.fenced, Unusable::NotFenced),
            (!self.enrolled, Unusable::NotEnrolled),
            (self.clock_reading.is_none(), Unusable::NoClock),
            (self.unknown_runs != 0, Unusable::UnknownRuns),
            (now < self.penalised_until, Unusable::Penalised),
            (self.held.is_paused(now), Unusable::Unverified),
            // The owner's own decision hides none of the others.
            (self.reserved, Unusable::Reserved),
        ];
        let cause = causes.into_iter().find(|(applies, _)| *applies);
        cause.map(|(_, cause)| cause)
    }

    /// Returns whether an earlier owner may have started tasks here, and the worker has not told
    /// this owner of all their runs and ends.
    #[must_use]
    pub const fn is_unreached(&self) -> bool {
        self.inherited
    }

    /// Returns for how many milliseconds the worker has blocked inherited jobs since this owner took
    /// over; 0 if it does not.
    pub(crate) fn blocked_ms(&self, taken_over_at: Duration, now: Duration) -> u64 {
        if self.is_unreached() {
            millis(now.saturating_sub(taken_over_at))
        } else {
            0
        }
    }

    /// Returns whether the stored cell state should contain the worker, so that it may get tasks.
    #[must_use]
    pub const fn may_enrol(&self) -> bool {
        self.listed && self.incarnation != 0 && self.unreachable_since.is_none()
    }

    /// Returns whether the stored cell state contains the worker when it is written.
    #[must_use]
    pub fn is_stored(&self) -> bool {
        self.may_enrol() || self.enrolled || self.may_have_runs()
    }

    /// Returns whether tasks of the cell may run on the worker.
    #[must_use]
    pub fn may_have_runs(&self) -> bool {
        self.inherited || !self.runs.is_empty() || self.unknown_runs > 0
    }

    /// Returns whether the worker has been unlisted for so long that it counts as gone.
    #[must_use]
    pub fn is_missing(&self, now: Duration) -> bool {
        !self.listed && now >= self.unlisted_at + MISSING_TIMEOUT
    }

    /// Records a start whose response was lost.
    pub fn record_unanswered(&mut self, task: TaskKey, run: u32, now: Duration) {
        self.unanswered
            .retain(|(_, _, at)| now < *at + MAX_ORDER_DELAY);
        self.unanswered.push((task, run, now));
    }

    /// Returns the starts that may still be carried out although their response was lost.
    #[must_use]
    pub fn unanswered_starts(&self, now: Duration) -> Vec<(TaskKey, u32)> {
        let recent = self
            .unanswered
            .iter()
            .filter(|(_, _, at)| now < *at + MAX_ORDER_DELAY);
        recent.map(|(task, run, _)| (task.clone(), *run)).collect()
    }

    /// Records a failed run; returns whether the worker now counts as faulty.
    pub fn record_failure(&mut self, job: &JobId, now: Duration) -> bool {
        self.failed_at = now;
        if !self.failed_jobs.contains(job) {
            self.failed_jobs.push(job.clone());
        }
        self.failed_jobs.len() >= MAX_FAILED_JOBS
    }

    /// Returns the number of runs that may yet fail like the latest one that failed.
    ///
    /// A long-running task that is at work is none of them, and neither is a run that was still
    /// live some time after the latest failure.
    #[must_use]
    pub fn unproven_runs(&self) -> usize {
        let reported_at = self
            .clock_reading
            .map_or(Duration::ZERO, |reading| reading.at);
        let proven = |run: &&Run| {
            let since = run.confirmed_at.map(|at| at.max(self.failed_at));
            let lasted = since.is_some_and(|since| reported_at >= since + PROOF_TIME);
            run.state == RunState::Running && (lasted || run.is_at_work())
        };
        self.runs.values().filter(|run| !proven(run)).count()
    }

    /// Records a finished task, or a long-running one that came to work, which resets failures and
    /// penalties.
    pub fn record_success(&mut self) {
        self.failed_jobs.clear();
        self.penalties = 0;
    }
}

/// Returns the least that a worker's clock may show, in milliseconds.
///
/// ```
/// # use std::time::Duration;
/// # use nutmegcart_jobs::worker::{ClockReading, least_clock};
/// let reading = ClockReading { clock: 1_000, at: Duration::from_secs(5) };
/// assert_eq!(least_clock(reading, Duration::from_secs(15)), 1_000 + 9_800);
/// ```
#[must_use]
pub fn least_clock(reading: ClockReading, now: Duration) -> u64 {
    let elapsed = now.saturating_sub(reading.at);
    reading.clock + millis(elapsed.mul_f64(1.0 - MAX_CLOCK_DRIFT))
}

/// Returns when runs whose lease ends at `lease` on the worker's clock have certainly been killed.
#[must_use]
pub fn lease_end(reading: ClockReading, lease: u64) -> Duration {
    let left = Duration::from_millis(lease.saturating_sub(reading.clock));
    reading.at + max_elapsed(left) + KILL_TIME
}

/// Returns the longest time that a span on a worker's clock can take.
#[must_use]
pub fn max_elapsed(span: Duration) -> Duration {
    span.div_f64(1.0 - MAX_CLOCK_DRIFT)
}

/// Returns a span in whole milliseconds.
#[must_use]
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
