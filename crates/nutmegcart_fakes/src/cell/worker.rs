//! Model of a worker that runs tasks under a lease and rejects outdated fencing tokens.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_fleet::Resources;
use nutmegcart_jobs::OrderOutcome;
use nutmegcart_jobs::PollRequest;
use nutmegcart_jobs::PollResponse;
use nutmegcart_jobs::Refusal;
use nutmegcart_jobs::ReportedEnd;
use nutmegcart_jobs::ReportedRun;
use nutmegcart_jobs::RunEnd;
use nutmegcart_jobs::TaskKey;
use nutmegcart_jobs::WorkerListing;
use nutmegcart_jobs::WorkerOrder;
use nutmegcart_jobs::worker::millis;

use crate::cell::gangs::Member;

/// Longest time from now for which a worker accepts a lease.
const MAX_LEASE: Duration = Duration::from_secs(10);
/// Largest number of ends in a response to a poll, unless a test sets another.
const DEFAULT_MAX_ENDS: usize = 500;

/// A run of a task on a worker.
#[derive(Clone, Debug)]
pub struct FakeRun {
    /// Number of the run; a higher number of the same task is newer.
    pub number: u32,
    /// Time of its start.
    pub started_at: Duration,
    /// Time from its start to its end, unless it is long-running.
    pub duration: Duration,
    /// Resources that it occupies.
    pub allocation: Resources,
    /// Whether it runs until it is stopped.
    pub long_running: bool,
    /// Whether it fails at its start.
    pub fails: bool,
    /// Set for a run of a gang's member.
    pub member: Option<Member>,
}

/// A worker in virtual time.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each one switches an independent property or fault"
)]
#[derive(Clone, Debug)]
pub struct FakeWorker {
    /// Entry in service discovery.
    pub listing: WorkerListing,
    /// Whether its process is running.
    pub up: bool,
    /// Time at which its clock was zero.
    pub started_at: Duration,
    /// Highest fencing token received.
    pub fence: u64,
    /// End of the lease in milliseconds on its own clock.
    pub lease_end: u64,
    /// Runs that have not ended.
    pub runs: BTreeMap<TaskKey, FakeRun>,
    /// Ends of runs that no owner has acknowledged.
    pub ended: Vec<ReportedEnd>,
    /// Sequence number of the latest end.
    pub last_end: u64,
    /// Highest run number that ended or was ordered to stop, by task.
    pub last_runs: HashMap<TaskKey, u32>,
    /// Whether each run fails at its start.
    pub failing: bool,
    /// Whether runs report no progress and new runs practically never end.
    pub hung: bool,
    /// Factor by which new runs take longer.
    pub slowdown: u32,
    /// Whether it refuses runs that exceed its free capacity.
    pub checks_capacity: bool,
    /// Time from the response to a stop order until the run ends.
    pub stop_duration: Duration,
    /// Largest number of ends in a response to a poll.
    pub max_ends: usize,
}

impl FakeWorker {
    /// Creates a running worker without faults whose clock starts now.
    #[must_use]
    pub fn new(listing: WorkerListing, now: Duration) -> Self {
        Self {
            listing,
            up: true,
            started_at: now,
            fence: 0,
            lease_end: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            last_runs: HashMap::new(),
            failing: false,
            hung: false,
            slowdown: 1,
            checks_capacity: true,
            stop_duration: Duration::ZERO,
            max_ends: DEFAULT_MAX_ENDS,
        }
    }

    /// Returns the time on its clock in milliseconds.
    #[must_use]
    pub fn clock_ms(&self, now: Duration) -> u64 {
        millis(now.saturating_sub(self.started_at))
    }

    /// Restarts the process under the same identifier as a new incarnation without any state.
    pub fn restart(&mut self, now: Duration) {
        let mut listing = self.listing.clone();
        listing.incarnation = listing.incarnation.max(millis(now)) + 1;
        *self = Self::new(listing, now);
    }

    /// Returns the resources that its runs occupy.
    #[must_use]
    pub fn used(&self) -> Resources {
        let allocations = self.runs.values().map(|run| run.allocation);
        allocations.fold(Resources::default(), |sum, allocation| sum + allocation)
    }

    /// Returns the time on its clock until the lease of its runs ends.
    #[must_use]
    pub fn lease_left(&self, now: Duration) -> Duration {
        Duration::from_millis(self.lease_end.saturating_sub(self.clock_ms(now)))
    }

    /// Extends the lease, up to the longest lease that it accepts.
    fn extend_lease(&mut self, until: u64, now: Duration) {
        let latest = self.clock_ms(now) + millis(MAX_LEASE);
        self.lease_end = self.lease_end.max(until.min(latest));
    }

    /// Ends the run of a task and keeps its end until an owner acknowledges it.
    pub fn end_run(&mut self, task: &TaskKey, how: RunEnd, now: Duration) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        let last_run = self.last_runs.entry(task.clone()).or_default();
        *last_run = (*last_run).max(run.number);
        self.last_end += 1;
        let saved = run
            .member
            .filter(|_| how != RunEnd::Done)
            .and_then(|member| member.saved(task.index, now, how == RunEnd::Stopped));
        self.ended.push(ReportedEnd {
            number: self.last_end,
            task: task.clone(),
            run: run.number,
            how,
            checkpoint: saved,
        });
    }

    /// Ends all runs if the lease has expired.
    pub fn expire_lease(&mut self, now: Duration) {
        if self.clock_ms(now) < self.lease_end {
            return;
        }
        let tasks: Vec<TaskKey> = self.runs.keys().cloned().collect();
        for task in tasks {
            self.end_run(&task, RunEnd::Lapsed, now);
        }
    }

    /// Applies a poll request; returns false if the worker has seen a higher fencing token.
    pub fn accept_poll(&mut self, fence: u64, request: &PollRequest, now: Duration) -> bool {
        if fence < self.fence {
            return false;
        }
        self.fence = fence;
        if let Some(until) = request.lease_end {
            self.extend_lease(until, now);
        }
        self.ended.retain(|end| end.number > request.acked_end);
        true
    }

    /// Returns the response to a poll: its running tasks and at most `max_ends` ends.
    #[must_use]
    pub fn poll_response(&self, now: Duration) -> PollResponse {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share between 0 and 99"
        )]
        let percent = |run: &FakeRun| {
            if self.hung {
                return 0;
            }
            let age = now.saturating_sub(run.started_at);
            if run.long_running {
                return if age > Duration::from_millis(300) {
                    100
                } else {
                    0
                };
            }
            let age = run.member.as_ref().map_or(age, |member| member.done(now));
            let share = age.as_secs_f64() / run.duration.as_secs_f64().max(0.001);
            (share * 100.0).min(99.0) as u32
        };
        let reported = |(task, run): (&TaskKey, &FakeRun)| ReportedRun {
            task: task.clone(),
            run: run.number,
            checkpoint: run
                .member
                .as_ref()
                .and_then(|member| member.saved(task.index, now, false)),
            progress: percent(run),
            metric: 0,
        };
        PollResponse {
            incarnation: self.listing.incarnation,
            clock: self.clock_ms(now),
            running: self.runs.iter().map(reported).collect(),
            ended: self.ended.iter().take(self.max_ends).cloned().collect(),
            ends_complete: self.ended.len() < self.max_ends,
            max_ends: self.max_ends,
        }
    }

    /// Executes an order; `run` is the run that a start order adds.
    pub fn execute_order(
        &mut self,
        fence: u64,
        order: &WorkerOrder,
        run: Option<FakeRun>,
        now: Duration,
    ) -> OrderOutcome {
        let clock = Some(self.clock_ms(now));
        let refused = |why| OrderOutcome::Refused { clock, why };
        if fence < self.fence {
            return refused(Refusal::Fenced);
        }
        self.fence = fence;
        match order {
            WorkerOrder::Start(start) => {
                if self.clock_ms(now) >= start.lease_end {
                    return refused(Refusal::Late);
                }
                // A refused start extends the lease as well.
                self.extend_lease(start.lease_end, now);
                if self
                    .last_runs
                    .get(&start.task)
                    .is_some_and(|last_run| *last_run >= start.run)
                {
                    return refused(Refusal::OldRun);
                }
                if self
                    .runs
                    .get(&start.task)
                    .is_some_and(|run| run.number == start.run)
                {
                    return OrderOutcome::Done { clock };
                }
                let Some(run) = run else {
                    return refused(Refusal::Malformed);
                };
                if self.checks_capacity
                    && !run
                        .allocation
                        .fits(self.listing.capacity.saturating_sub(self.used()))
                {
                    return refused(Refusal::Room);
                }
                let fails = self.failing || run.fails;
                self.runs.insert(start.task.clone(), run);
                if fails {
                    self.end_run(&start.task, RunEnd::Failed, now);
                }
            }
            WorkerOrder::Stop { task, run } => {
                if self.runs.get(task).is_some_and(|each| each.number <= *run) {
                    self.end_run(task, RunEnd::Stopped, now);
                }
                let last_run = self.last_runs.entry(task.clone()).or_default();
                *last_run = (*last_run).max(*run);
            }
            WorkerOrder::Throttle { .. } => {}
        }
        OrderOutcome::Done { clock }
    }
}

/// Creates the service discovery entry of a worker in the data centre `suva`.
#[must_use]
pub fn listing(id: &str, pool: &str, rack: &str, capacity: Resources) -> WorkerListing {
    WorkerListing {
        id: id.into(),
        incarnation: 1,
        machine: Some(Arc::from(format!("m-{id}"))),
        address: "127.0.0.1:1".into(),
        centre: "suva".into(),
        pool: pool.into(),
        draining: false,
        remaining: Duration::ZERO,
        capacity,
        labels: vec!["a".into(), rack.into()],
    }
}
