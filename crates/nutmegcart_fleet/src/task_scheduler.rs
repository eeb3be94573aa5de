//! Scheduler of the tasks of configured jobs in a data centre.
//!
//! The caller stores [`TaskScheduler::state`] before it carries out the actions of a round, so a
//! successor that loads the state repeats the same operations under the same identifiers.

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
use crate::job_scheduling_state::JobSchedulingState;
use crate::job_scheduling_state::SetAsideReason;
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

/// Leases, time limits and costs of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// Length of a task's lease.
    pub lease: Duration,
    /// Largest difference between the clocks of any two processes.
    pub clock_error: Duration,
    /// How far ahead leases may be granted before the state must be stored again.
    pub horizon: Duration,
    /// Time without a report after which a worker is considered silent.
    pub silence_limit: Duration,
    /// Time after which a start without an answer is repeated.
    pub start_retry: Duration,
    /// Time after which a checkpoint that delays an urgent task is abandoned and the task stopped.
    pub checkpoint_limit: Duration,
    /// Time for which a task waits for free capacity before other tasks are moved.
    pub blocked_limit: Duration,
    /// Cost of a move, as running time that the moved task loses.
    pub move_cost: Duration,
    /// Time for which a moved task is not moved again.
    pub move_cooldown: Duration,
}

impl SchedulerSettings {
    /// Returns the length of the lease with which a task starts, after which its worker refuses the
    /// start.
    ///
    /// An idempotent task is given up as soon as its worker is silent. Its start must not be carried
    /// out after that, when another attempt may already have finished.
    #[must_use]
    pub fn start_lease(&self, idempotent: bool) -> Duration {
        if idempotent {
            self.lease
                .min(self.silence_limit.saturating_sub(self.clock_error))
        } else {
            self.lease
        }
    }
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(20),
            clock_error: Duration::from_secs(2),
            // Leases must stay renewable during store outages, which last minutes.
            horizon: Duration::from_mins(15),
            silence_limit: Duration::from_secs(10),
            start_retry: Duration::from_secs(1),
            // The urgent task must start within 1.7 s; with a round every 250 ms, this leaves two
            // rounds for the start.
            checkpoint_limit: Duration::from_millis(900),
            blocked_limit: Duration::from_secs(30),
            move_cost: Duration::from_mins(1),
            move_cooldown: Duration::from_mins(10),
        }
    }
}

/// State of the scheduler that is kept in the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SchedulerState {
    /// Last operation number that was used.
    pub counter: u64,
    /// Latest time to which any lease may have been granted.
    #[serde(rename = "permit", with = "millis")]
    pub lease_horizon: Duration,
    /// Highest configuration generation that the jobs were set from.
    #[serde(default)]
    pub generation: u64,
    /// State of each job and its tasks.
    pub jobs: BTreeMap<JobName, JobSchedulingState>,
    /// Recent failures by job and by worker.
    #[serde(rename = "blame")]
    pub failures: FailureTracker,
}

/// A worker and its last report.
#[derive(Clone, Debug)]
pub(crate) struct TrackedWorker {
    pub worker: Worker,
    /// Index of the pool.
    pub pool: usize,
    /// Index of the rack.
    pub rack: usize,
    /// Last reported boot count.
    pub boot: u64,
    /// Time of the last report.
    pub last_report: Option<Duration>,
    /// Time of the last action against overload; reports from before it are not acted on again.
    pub last_relief: Duration,
    /// Usage by attempt number, from the last report.
    pub usage: HashMap<u64, Resources>,
}

/// Places the tasks of jobs on workers and keeps their leases.
///
/// `now` is always the time since the Unix epoch by the process's own clock. Ends of leases are
/// compared between processes, whose clocks differ by at most [`SchedulerSettings::clock_error`].
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
    /// Index of each worker in `workers`.
    pub(crate) slots: HashMap<WorkerId, usize>,
    /// Index of each pool that has workers.
    pub(crate) pools: HashMap<PoolName, usize>,
    /// Distinct worker capacities of each pool, by pool index.
    capacities: Vec<Vec<Resources>>,
    /// Lease horizon of the last stored state.
    written_horizon: Duration,
    /// Ended attempts that their workers may forget once the state is stored.
    pub(crate) to_forget: Vec<(WorkerId, AttemptId)>,
    /// Running attempts that the state does not contain, to be stopped.
    pub(crate) to_stop: Vec<(WorkerId, AttemptId)>,
    /// Whether the state changed since it was last stored.
    pub(crate) needs_write: bool,
    /// Time of the first round, from which the silence of workers without a report counts.
    pub(crate) first_round: Option<Duration>,
}

impl TaskScheduler {
    /// Creates a scheduler with an empty state.
    #[must_use]
    pub fn new(settings: SchedulerSettings) -> Self {
        Self::load(settings, SchedulerState::default())
    }

    /// Creates a scheduler from a stored state.
    ///
    /// The previous duty holder may have renewed any lease up to the stored lease horizon, so every
    /// lease is considered granted until then.
    #[must_use]
    pub fn load(settings: SchedulerSettings, mut state: SchedulerState) -> Self {
        for job in state.jobs.values_mut() {
            for task in job.tasks.values_mut().filter(|task| task.is_live()) {
                task.lease_end = state.lease_horizon;
            }
            for orphan in &mut job.orphans {
                orphan.lease_end = state.lease_horizon;
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

    /// Returns the state to store.
    #[must_use]
    pub fn state(&self) -> &SchedulerState {
        &self.state
    }

    /// Records that the current [`TaskScheduler::state`] was stored.
    pub fn mark_written(&mut self) {
        self.needs_write = false;
        self.written_horizon = self.state.lease_horizon;
    }

    /// Replaces the teams, whose quotas limit the starts of tasks.
    pub fn set_teams(&mut self, teams: impl IntoIterator<Item = Team>) {
        let teams = teams.into_iter();
        self.teams = teams.map(|team| (team.name.clone(), team)).collect();
    }

    /// Replaces the jobs; all tasks of a job that is missing are cancelled.
    ///
    /// Call this only with a complete configuration, since an empty one cancels everything. A
    /// generation lower than the stored one is ignored.
    pub fn set_jobs(&mut self, generation: u64, jobs: impl IntoIterator<Item = Arc<Job>>) {
        if generation < self.state.generation {
            return;
        }
        self.state.generation = generation;
        let mut new_jobs: BTreeMap<JobName, Arc<Job>> = jobs
            .into_iter()
            .map(|job| (job.name.clone(), job))
            .collect();
        for (name, job) in &mut self.state.jobs {
            match new_jobs.remove(name) {
                Some(spec) if !job.removed => {
                    let changed = job.spec.as_deref().is_some_and(|old| *old != *spec);
                    if changed {
                        // A changed job is tried again, since the change may fix its failures.
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
        for (name, spec) in new_jobs {
            let mut job = JobSchedulingState::default();
            set_record(&mut job, spec);
            self.state.jobs.insert(name, job);
            self.needs_write = true;
        }
    }

    /// Replaces the list of workers; listed workers keep their last reports.
    pub fn set_workers(&mut self, workers: impl IntoIterator<Item = Worker>) {
        let mut previous: HashMap<WorkerId, TrackedWorker> = self
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
            let tracked = match previous.remove(&worker.id) {
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

    /// Returns the status of a task.
    #[must_use]
    pub fn task_status(&self, job: &str, index: u32) -> TaskStatus {
        let job = self.state.jobs.get(job);
        job.map_or(TaskStatus::NotRun, |job| job.task_status(index))
    }

    /// Returns the state of a job.
    #[must_use]
    pub fn job(&self, name: &str) -> Option<&JobSchedulingState> {
        self.state.jobs.get(name)
    }

    /// Returns whether a worker is in quarantine.
    #[must_use]
    pub fn is_quarantined(&self, worker: &str) -> bool {
        self.state.failures.is_quarantined(worker)
    }

    /// Plans a round and returns its actions.
    ///
    /// If [`SchedulerPlan::needs_write`] is set, store the state before carrying out the actions.
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
        self.forget_and_stop(&mut actions);
        let removed = |job: &JobSchedulingState| {
            job.removed && job.tasks.is_empty() && job.orphans.is_empty()
        };
        let before = self.state.jobs.len();
        self.state.jobs.retain(|_, job| !removed(job));
        self.needs_write |= self.state.jobs.len() != before;
        SchedulerPlan {
            actions,
            needs_write: self.needs_write,
        }
    }

    /// Returns lease renewals within the stored lease horizon, for use while the store is
    /// unavailable.
    pub fn renew(&mut self, now: Duration) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        let horizon = self.written_horizon;
        SchedulingRound::renew(self, now, horizon, &mut actions);
        actions
    }

    /// Sets failing jobs aside, resumes jobs whose failures no longer count, and updates
    /// quarantine.
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

    /// Decides which jobs are set aside because they are too large for every worker or failing.
    fn update_set_aside(&mut self) {
        for (name, job) in &mut self.state.jobs {
            let Some(spec) = &job.spec else {
                continue;
            };
            let declared = Resources::declared(spec);
            let pool = self.pools.get(&spec.pool);
            let too_large = pool.is_some_and(|&pool| {
                let capacities = &self.capacities[pool];
                !capacities.iter().any(|capacity| declared.fits(*capacity))
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

    /// Adds the actions that forget ended attempts and stop unknown ones.
    fn forget_and_stop(&mut self, actions: &mut Vec<SchedulerAction>) {
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
    /// Returns whether the last report is too old to rely on.
    pub fn is_silent(&self, now: Duration, settings: &SchedulerSettings) -> bool {
        self.last_report
            .is_none_or(|last_report| last_report + settings.silence_limit < now)
    }
}

/// Sets the record of a job and adds its cancellations.
fn set_record(job: &mut JobSchedulingState, spec: Arc<Job>) {
    let prefix = format!("{}/", spec.name);
    let indexes = spec.cancel.iter();
    let indexes = indexes.filter_map(|task| task.strip_prefix(&prefix)?.parse().ok());
    job.cancelled
        .merge(&IndexRanges::from_indexes(indexes.collect()));
    job.charge = QuotaCharge::from(&*spec);
    job.spec = Some(spec);
}
