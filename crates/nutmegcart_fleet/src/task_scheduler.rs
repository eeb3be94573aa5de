//! The scheduler of a data centre: its state, and what changes the state.
//!
//! The state in [`TaskScheduler::state`] is written before any effect of a round is carried out, so a
//! successor that loads it repeats the same operations under the same identifiers.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::JobName;
use nutmegcart_model::PoolName;
use nutmegcart_model::Rack;
use nutmegcart_model::TeamName;
use nutmegcart_model::WorkerId;
use nutmegcart_model::record::Job;
use nutmegcart_model::record::Team;
use serde::Deserialize;
use serde::Serialize;

use crate::index_ranges::IndexRanges;
use crate::job_state::JobState;
use crate::job_state::SetAsideReason;
use crate::quarantine::FailureTracker;
use crate::quota::QuotaCharge;
use crate::resources::Resources;
use crate::scheduler_action::SchedulerAction;
use crate::scheduler_action::SchedulerPlan;
use crate::scheduling_round::SchedulingRound;
use crate::task::AttemptId;
use crate::task::TaskStatus;
use crate::task::millis;
use crate::worker::Worker;

/// Time between trials of a job that was set aside as failing.
pub(crate) const TRIAL_INTERVAL: Duration = Duration::from_mins(10);

/// Times of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// Length of a task's lease.
    pub lease: Duration,
    /// Bound on the difference between two clocks.
    pub clock_error: Duration,
    /// How far ahead leases may be granted without another write to the store.
    pub horizon: Duration,
    /// Time without a report after which a worker counts as silent.
    pub silence_limit: Duration,
    /// Time after which an unanswered start is repeated.
    pub start_retry: Duration,
    /// Time after which a checkpoint that an urgent task waits for is cut short.
    pub checkpoint_limit: Duration,
    /// Time for which a task waits for room before others are moved.
    pub blocked_limit: Duration,
    /// Progress that a move costs, as time of the moved task.
    pub move_cost: Duration,
    /// Time for which a moved task is left alone.
    pub move_cooldown: Duration,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(20),
            clock_error: Duration::from_secs(2),
            // Store outages last minutes; leases must be renewable for that long.
            horizon: Duration::from_mins(15),
            silence_limit: Duration::from_secs(10),
            start_retry: Duration::from_secs(1),
            // With a round every 250 ms this leaves two rounds for the start within 1.7 s.
            checkpoint_limit: Duration::from_millis(900),
            blocked_limit: Duration::from_secs(30),
            move_cost: Duration::from_mins(1),
            move_cooldown: Duration::from_mins(10),
        }
    }
}

/// The part of the state that outlives the process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SchedulerState {
    /// Number of the last operation.
    pub counter: u64,
    /// Latest end of a lease that may have been granted.
    #[serde(rename = "permit", with = "millis")]
    pub lease_horizon: Duration,
    /// Highest generation of the configuration that jobs were taken from.
    #[serde(default)]
    pub generation: u64,
    /// Jobs with their tasks.
    pub jobs: BTreeMap<JobName, JobState>,
    /// Evidence from failures.
    #[serde(rename = "blame")]
    pub failures: FailureTracker,
}

/// A worker and what was last heard of it.
#[derive(Clone, Debug)]
pub(crate) struct TrackedWorker {
    pub worker: Worker,
    pub pool: usize,
    pub rack: usize,
    pub boot: u64,
    pub last_report: Option<Duration>,
    /// Time of the last action against overload; a report from before it is no reason to act.
    pub last_relief: Duration,
    /// Usage by number of the attempt, from the last report.
    pub usage: HashMap<u64, Resources>,
}

/// Places tasks on workers.
///
/// `now` is the time since the Unix epoch by the process's own clock: ends of leases are compared
/// between processes, whose clocks differ by at most [`SchedulerSettings::clock_error`].
///
/// ```
/// # use std::time::Duration;
/// # use nutmegcart_fleet::{TaskScheduler, SchedulerSettings};
/// let mut scheduler = TaskScheduler::new(SchedulerSettings::default());
/// assert!(scheduler.plan(Duration::from_secs(1)).actions.is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct TaskScheduler {
    pub(crate) settings: SchedulerSettings,
    pub(crate) state: SchedulerState,
    pub(crate) teams: BTreeMap<TeamName, Team>,
    pub(crate) workers: Vec<TrackedWorker>,
    pub(crate) slots: HashMap<WorkerId, usize>,
    pub(crate) pools: HashMap<PoolName, usize>,
    /// Distinct capacities of the workers of each pool.
    capacities: Vec<Vec<Resources>>,
    /// Permit of the last written state.
    written_horizon: Duration,
    /// Ended attempts that their workers may forget after the next write.
    pub(crate) to_forget: Vec<(WorkerId, AttemptId)>,
    /// Attempts that run although the state does not know them.
    pub(crate) to_stop: Vec<(WorkerId, AttemptId)>,
    pub(crate) needs_write: bool,
    /// Time of the first round; workers are given time to report after a restart.
    pub(crate) first_round: Option<Duration>,
}

impl TaskScheduler {
    /// Creates a scheduler without any state.
    #[must_use]
    pub fn new(settings: SchedulerSettings) -> Self {
        Self::load(settings, SchedulerState::default())
    }

    /// Continues from the stored state.
    ///
    /// The previous holder may have renewed any lease up to the stored permit, so every lease
    /// counts as granted until then.
    #[must_use]
    pub fn load(settings: SchedulerSettings, mut state: SchedulerState) -> Self {
        for job in state.jobs.values_mut() {
            for task in job.tasks.values_mut().filter(|task| task.is_live()) {
                task.lease_end = state.lease_horizon;
            }
            for stray in &mut job.orphans {
                stray.lease_end = state.lease_horizon;
            }
        }
        Self {
            settings,
            written_horizon: state.lease_horizon,
            state,
            teams: BTreeMap::new(),
            workers: Vec::new(),
            slots: HashMap::new(),
            pools: HashMap::new(),
            capacities: Vec::new(),
            to_forget: Vec::new(),
            to_stop: Vec::new(),
            needs_write: false,
            first_round: None,
        }
    }

    /// Returns the state to write to the store.
    #[must_use]
    pub fn state(&self) -> &SchedulerState {
        &self.state
    }

    /// Notes that the state returned by [`TaskScheduler::state`] was written.
    pub fn mark_written(&mut self) {
        self.needs_write = false;
        self.written_horizon = self.state.lease_horizon;
    }

    /// Replaces the teams.
    pub fn set_teams(&mut self, teams: impl IntoIterator<Item = Team>) {
        let teams = teams.into_iter();
        self.teams = teams.map(|team| (team.name.clone(), team)).collect();
    }

    /// Replaces the jobs; a job that is missing is cancelled as a whole.
    ///
    /// Call it only with a whole configuration, since an empty one cancels everything. Jobs of a
    /// generation lower than the stored one are ignored.
    pub fn set_jobs(&mut self, generation: u64, jobs: impl IntoIterator<Item = Arc<Job>>) {
        if generation < self.state.generation {
            return;
        }
        self.state.generation = generation;
        let mut given: BTreeMap<JobName, Arc<Job>> = jobs
            .into_iter()
            .map(|job| (job.name.clone(), job))
            .collect();
        for (name, job) in &mut self.state.jobs {
            match given.remove(name) {
                Some(spec) if !job.removed => {
                    let changed = job.spec.as_deref().is_some_and(|old| *old != *spec);
                    if changed {
                        // An operator who changes a job wants it to be tried again.
                        job.set_aside = None;
                        self.state.failures.forget_job(name);
                    }
                    self.needs_write |= changed;
                    set_record(job, spec);
                }
                Some(_) => {}
                None => {
                    self.needs_write |= !job.removed;
                    job.removed = true;
                }
            }
        }
        for (name, spec) in given {
            let mut job = JobState::default();
            set_record(&mut job, spec);
            self.state.jobs.insert(name, job);
            self.needs_write = true;
        }
    }

    /// Replaces the list of workers.
    pub fn set_workers(&mut self, workers: impl IntoIterator<Item = Worker>) {
        let mut old: HashMap<WorkerId, TrackedWorker> = self
            .workers
            .drain(..)
            .map(|tracked| (tracked.worker.id.clone(), tracked))
            .collect();
        let mut racks: HashMap<Rack, usize> = HashMap::new();
        self.pools.clear();
        self.capacities.clear();
        for worker in workers {
            let next = self.pools.len();
            let pool = *self.pools.entry(worker.pool.clone()).or_insert(next);
            if pool == self.capacities.len() {
                self.capacities.push(Vec::new());
            }
            if !self.capacities[pool].contains(&worker.capacity) {
                self.capacities[pool].push(worker.capacity);
            }
            let next = racks.len();
            let rack = *racks.entry(worker.rack.clone()).or_insert(next);
            let tracked = match old.remove(&worker.id) {
                Some(tracked) => TrackedWorker {
                    worker,
                    pool,
                    rack,
                    ..tracked
                },
                None => TrackedWorker {
                    worker,
                    pool,
                    rack,
                    boot: 0,
                    last_report: None,
                    last_relief: Duration::ZERO,
                    usage: HashMap::new(),
                },
            };
            self.workers.push(tracked);
        }
        let workers = self.workers.iter().enumerate();
        self.slots = workers
            .map(|(slot, tracked)| (tracked.worker.id.clone(), slot))
            .collect();
    }

    /// Returns what may be said about a task.
    #[must_use]
    pub fn task_status(&self, job: &str, index: u32) -> TaskStatus {
        let job = self.state.jobs.get(job);
        job.map_or(TaskStatus::NotRun, |job| job.task_status(index))
    }

    /// Returns the state of a job.
    #[must_use]
    pub fn job(&self, name: &str) -> Option<&JobState> {
        self.state.jobs.get(name)
    }

    /// Returns whether a worker is in quarantine.
    #[must_use]
    pub fn is_quarantined(&self, worker: &str) -> bool {
        self.state.failures.is_quarantined(worker)
    }

    /// Returns the effects of one round; write the state first if the plan says so.
    pub fn plan(&mut self, now: Duration) -> SchedulerPlan {
        self.first_round.get_or_insert(now);
        let half = self.settings.horizon / 2;
        if self.state.lease_horizon < now + half {
            self.state.lease_horizon = now + self.settings.horizon;
            self.needs_write |= self.state.jobs.values().any(|job| !job.tasks.is_empty());
        }
        let mut actions = Vec::new();
        self.expire(now);
        self.apply_failures(now, &mut actions);
        SchedulingRound::run(self, now, &mut actions);
        let horizon = self.state.lease_horizon;
        SchedulingRound::renew(self, now, horizon, &mut actions);
        self.forget(&mut actions);
        let removed =
            |job: &JobState| job.removed && job.tasks.is_empty() && job.orphans.is_empty();
        let before = self.state.jobs.len();
        self.state.jobs.retain(|_, job| !removed(job));
        self.needs_write |= self.state.jobs.len() != before;
        SchedulerPlan {
            actions,
            needs_write: self.needs_write,
        }
    }

    /// Returns renewals within the written permit, for use while the store is unavailable.
    pub fn renew(&mut self, now: Duration) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        let horizon = self.written_horizon;
        SchedulingRound::renew(self, now, horizon, &mut actions);
        actions
    }

    /// Sets jobs aside that fail, resumes those whose evidence is void, updates quarantine.
    fn apply_failures(&mut self, now: Duration, actions: &mut Vec<SchedulerAction>) {
        let workers = self.workers.iter();
        let workers = workers.map(|tracked| (&tracked.worker.id, &tracked.worker.pool));
        let changes = self.state.failures.update(now, workers);
        self.update_set_aside();
        let counter = &mut self.state.counter;
        let mut number = || {
            *counter += 1;
            *counter
        };
        for worker in changes.quarantined {
            let number = number();
            actions.push(SchedulerAction::Quarantine { worker, number });
        }
        for worker in changes.released {
            let number = number();
            actions.push(SchedulerAction::Release { worker, number });
        }
        for (name, job) in &mut self.state.jobs {
            if let Some(reason) = job
                .set_aside
                .filter(|reason| job.reported_reason != Some(*reason))
            {
                job.next_trial = now + TRIAL_INTERVAL;
                actions.push(SchedulerAction::SetAside {
                    job: name.clone(),
                    reason,
                    number: number(),
                });
            }
            job.reported_reason = job.set_aside;
        }
        self.needs_write |= !actions.is_empty();
    }

    /// Decides which jobs are set aside: too large for every worker, or failing.
    fn update_set_aside(&mut self) {
        for (name, job) in &mut self.state.jobs {
            let Some(spec) = &job.spec else {
                continue;
            };
            let declared = Resources::declared(spec);
            let pool = self.pools.get(&spec.pool);
            let too_large = pool.is_some_and(|&pool| {
                let sizes = &self.capacities[pool];
                !sizes.iter().any(|size| declared.fits(*size))
            });
            job.set_aside = if too_large {
                Some(SetAsideReason::TooLarge)
            } else if self.state.failures.is_bad_job(name) {
                Some(SetAsideReason::Failing)
            } else {
                None
            };
        }
    }

    fn forget(&mut self, actions: &mut Vec<SchedulerAction>) {
        let mut lists: BTreeMap<WorkerId, Vec<AttemptId>> = BTreeMap::new();
        for (worker, attempt) in self.to_forget.drain(..) {
            lists.entry(worker).or_default().push(attempt);
        }
        for (worker, mut attempts) in lists {
            attempts.sort_unstable();
            attempts.dedup();
            actions.push(SchedulerAction::Forget { worker, attempts });
        }
        for (worker, attempt) in self.to_stop.drain(..) {
            let slot = self.slots.get(&worker);
            let boot = slot.map_or(0, |&slot| self.workers[slot].boot);
            actions.push(SchedulerAction::Stop {
                worker,
                attempt,
                boot,
            });
        }
    }
}

impl TrackedWorker {
    /// Returns whether the last report is too old to trust the worker's state.
    pub fn is_silent(&self, now: Duration, settings: &SchedulerSettings) -> bool {
        self.last_report
            .is_none_or(|last_report| last_report + settings.silence_limit < now)
    }
}

/// Takes over a job's record.
fn set_record(job: &mut JobState, spec: Arc<Job>) {
    let prefix = format!("{}/", spec.name);
    let indexes = spec.cancel.iter();
    let indexes = indexes.filter_map(|task| task.strip_prefix(&prefix)?.parse().ok());
    job.cancelled
        .merge(&IndexRanges::from_indexes(indexes.collect()));
    job.charge = QuotaCharge::from(&*spec);
    job.spec = Some(spec);
}
