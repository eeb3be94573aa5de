//! A worker that runs tasks under a lease, refuses lower fencing tokens and numbers its ends.

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

/// Longest lease that a worker grants.
const LONGEST_LEASE: Duration = Duration::from_secs(10);

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct FakeRun {
    /// Number of the run.
    pub number: u32,
    /// When it started.
    pub started_at: Duration,
    /// How long it takes.
    pub duration: Duration,
    /// Room that it takes.
    pub allocation: Resources,
    /// Whether it runs until it is stopped.
    pub long_running: bool,
}

/// A worker.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a fault of its own that a test switches on"
)]
#[derive(Clone, Debug)]
pub struct FakeWorker {
    /// Entry in service discovery.
    pub listing: WorkerListing,
    /// Whether the process runs.
    pub up: bool,
    /// When its clock began.
    pub started_at: Duration,
    /// Highest fencing token seen.
    pub fence: u64,
    /// End of the lease on its clock, in milliseconds.
    pub lease_end: u64,
    /// Runs that are alive.
    pub runs: BTreeMap<TaskKey, FakeRun>,
    /// Ends that are not acknowledged.
    pub ended: Vec<ReportedEnd>,
    /// Number of the latest end.
    pub last_end: u64,
    /// Highest run stopped or ended, by task.
    pub last_runs: HashMap<TaskKey, u32>,
    /// Whether all that it starts fails at once.
    pub failing: bool,
    /// Whether nothing makes progress.
    pub hung: bool,
    /// Factor on the duration of what it starts.
    pub slowdown: u32,
    /// Whether it refuses what does not fit.
    pub checks_capacity: bool,
    /// Time that a run takes to stop.
    pub stop_duration: Duration,
}

impl FakeWorker {
    /// Starts a worker.
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
        }
    }

    /// Returns its clock in milliseconds.
    #[must_use]
    pub fn clock_ms(&self, now: Duration) -> u64 {
        millis(now.saturating_sub(self.started_at))
    }

    /// Begins a new life under the same identifier, which remembers nothing.
    pub fn restart(&mut self, now: Duration) {
        let mut listing = self.listing.clone();
        listing.incarnation = millis(now) + 1;
        *self = Self::new(listing, now);
    }

    /// Returns the room that its runs take.
    #[must_use]
    pub fn used(&self) -> Resources {
        let rooms = self.runs.values().map(|run| run.allocation);
        rooms.fold(Resources::default(), |sum, room| sum + room)
    }

    fn extend(&mut self, until: u64, now: Duration) {
        let most = self.clock_ms(now) + millis(LONGEST_LEASE);
        self.lease_end = self.lease_end.max(until.min(most));
    }

    /// Ends a run and lists its end.
    pub fn end_run(&mut self, task: &TaskKey, how: RunEnd) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        let past = self.last_runs.entry(task.clone()).or_default();
        *past = (*past).max(run.number);
        self.last_end += 1;
        self.ended.push(ReportedEnd {
            number: self.last_end,
            task: task.clone(),
            run: run.number,
            how,
            checkpoint: None,
        });
    }

    /// Ends what runs when the lease is over.
    pub fn expire_lease(&mut self, now: Duration) {
        if self.clock_ms(now) < self.lease_end {
            return;
        }
        let tasks: Vec<TaskKey> = self.runs.keys().cloned().collect();
        for task in tasks {
            self.end_run(&task, RunEnd::Lapsed);
        }
    }

    /// Takes in a look; nothing if a higher fencing token was seen.
    pub fn accept_poll(&mut self, fence: u64, look: &PollRequest, now: Duration) -> bool {
        if fence < self.fence {
            return false;
        }
        self.fence = fence;
        if let Some(until) = look.lease_end {
            self.extend(until, now);
        }
        self.ended.retain(|end| end.number > look.acked_end);
        true
    }

    /// Returns what it says of itself.
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
            let share = age.as_secs_f64() / run.duration.as_secs_f64().max(0.001);
            (share * 100.0).min(99.0) as u32
        };
        let listed = |(task, run): (&TaskKey, &FakeRun)| ReportedRun {
            task: task.clone(),
            run: run.number,
            checkpoint: None,
            progress: percent(run),
            metric: 0,
        };
        PollResponse {
            incarnation: self.listing.incarnation,
            clock: self.clock_ms(now),
            running: self.runs.iter().map(listed).collect(),
            ended: self.ended.iter().take(500).cloned().collect(),
        }
    }

    /// Carries an order out; `run` is what a start would begin.
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
                if self
                    .last_runs
                    .get(&start.task)
                    .is_some_and(|past| *past >= start.run)
                {
                    return refused(Refusal::OldRun);
                }
                self.extend(start.lease_end, now);
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
                self.runs.insert(start.task.clone(), run);
                if self.failing {
                    self.end_run(&start.task, RunEnd::Failed);
                }
            }
            WorkerOrder::Stop { task, run } => {
                if self.runs.get(task).is_some_and(|each| each.number <= *run) {
                    self.end_run(task, RunEnd::Stopped);
                }
                let past = self.last_runs.entry(task.clone()).or_default();
                *past = (*past).max(*run);
            }
            WorkerOrder::Throttle { .. } => {}
        }
        OrderOutcome::Done { clock }
    }
}

/// Creates the listing of a worker.
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
