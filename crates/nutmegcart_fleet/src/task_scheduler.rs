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
pub(crate) const TRIAL: Duration = Duration::from_mins(10);

/// Times of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// Length of a task's lease.
    pub lease: Duration,
    /// Bound on the difference between two clocks.
    pub clock_error: Duration,
    /// How far ahead leases may be granted without another write to the store.
    pub permit: Duration,
    /// Time without a report after which a worker counts as silent.
    pub silent: Duration,
    /// Time after which an unanswered start is repeated.
    pub repeat: Duration,
    /// Time after which a checkpoint that an urgent task waits for is cut short.
    pub checkpoint: Duration,
    /// Time for which a task waits for room before others are moved.
    pub blocked: Duration,
    /// Progress that a move costs, as time of the moved task.
    pub move_cost: Duration,
    /// Time for which a moved task is left alone.
    pub settle: Duration,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(20),
            clock_error: Duration::from_secs(2),
            // Store outages last minutes; leases must be renewable for that long.
            permit: Duration::from_mins(15),
            silent: Duration::from_secs(10),
            repeat: Duration::from_secs(1),
            // With a round every 250 ms this leaves two rounds for the start within 1.7 s.
            checkpoint: Duration::from_millis(900),
            blocked: Duration::from_secs(30),
            move_cost: Duration::from_mins(1),
            settle: Duration::from_mins(10),
        }
    }
}

/// The part of the state that outlives the process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SchedulerState {
    /// Number of the last operation.
    pub counter: u64,
    /// Latest end of a lease that may have been granted.
    #[serde(with = "millis")]
    pub permit: Duration,
    /// Highest generation of the configuration that jobs were taken from.
    #[serde(default)]
    pub generation: u64,
    /// Jobs with their tasks.
    pub jobs: BTreeMap<JobName, JobState>,
    /// Evidence from failures.
    pub blame: FailureTracker,
}

/// A worker and what was last heard of it.
#[derive(Clone, Debug)]
pub(crate) struct TrackedWorker {
    pub worker: Worker,
    pub pool: usize,
    pub rack: usize,
    pub boot: u64,
    pub heard: Option<Duration>,
    /// Time of the last action against overload; a report from before it is no reason to act.
    pub acted: Duration,
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
    pub(crate) stations: Vec<TrackedWorker>,
    pub(crate) places: HashMap<WorkerId, usize>,
    pub(crate) pools: HashMap<PoolName, usize>,
    /// Distinct capacities of the workers of each pool.
    capacities: Vec<Vec<Resources>>,
    /// Permit of the last written state.
    permitted: Duration,
    /// Ended attempts that their workers may forget after the next write.
    pub(crate) ended: Vec<(WorkerId, AttemptId)>,
    /// Attempts that run although the state does not know them.
    pub(crate) foreign: Vec<(WorkerId, AttemptId)>,
    pub(crate) dirty: bool,
    /// Time of the first round; workers are given time to report after a restart.
    pub(crate) began: Option<Duration>,
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
                task.until = state.permit;
            }
            for stray in &mut job.orphans {
                stray.until = state.permit;
            }
        }
        Self {
            settings,
            permitted: state.permit,
            state,
            teams: BTreeMap::new(),
            stations: Vec::new(),
            places: HashMap::new(),
            pools: HashMap::new(),
            capacities: Vec::new(),
            ended: Vec::new(),
            foreign: Vec::new(),
            dirty: false,
            began: None,
        }
    }

    /// Returns the state to write to the store.
    #[must_use]
    pub fn state(&self) -> &SchedulerState {
        &self.state
    }

    /// Notes that the state returned by [`TaskScheduler::state`] was written.
    pub fn mark_written(&mut self) {
        self.dirty = false;
        self.permitted = self.state.permit;
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
                        self.state.blame.forget(name);
                    }
                    self.dirty |= changed;
                    adopt(job, spec);
                }
                Some(_) => {}
                None => {
                    self.dirty |= !job.removed;
                    job.removed = true;
                }
            }
        }
        for (name, spec) in given {
            let mut job = JobState::default();
            adopt(&mut job, spec);
            self.state.jobs.insert(name, job);
            self.dirty = true;
        }
    }

    /// Replaces the list of workers.
    pub fn set_workers(&mut self, workers: impl IntoIterator<Item = Worker>) {
        let mut old: HashMap<WorkerId, TrackedWorker> = self
            .stations
            .drain(..)
            .map(|station| (station.worker.id.clone(), station))
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
            let station = match old.remove(&worker.id) {
                Some(station) => TrackedWorker {
                    worker,
                    pool,
                    rack,
                    ..station
                },
                None => TrackedWorker {
                    worker,
                    pool,
                    rack,
                    boot: 0,
                    heard: None,
                    acted: Duration::ZERO,
                    usage: HashMap::new(),
                },
            };
            self.stations.push(station);
        }
        let stations = self.stations.iter().enumerate();
        self.places = stations
            .map(|(place, station)| (station.worker.id.clone(), place))
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
        self.state.blame.is_quarantined(worker)
    }

    /// Returns the effects of one round; write the state first if the plan says so.
    pub fn plan(&mut self, now: Duration) -> SchedulerPlan {
        self.began.get_or_insert(now);
        let half = self.settings.permit / 2;
        if self.state.permit < now + half {
            self.state.permit = now + self.settings.permit;
            self.dirty |= self.state.jobs.values().any(|job| !job.tasks.is_empty());
        }
        let mut actions = Vec::new();
        self.expire(now);
        self.judge_failures(now, &mut actions);
        SchedulingRound::run(self, now, &mut actions);
        let permit = self.state.permit;
        SchedulingRound::renew(self, now, permit, &mut actions);
        self.forget(&mut actions);
        let removed =
            |job: &JobState| job.removed && job.tasks.is_empty() && job.orphans.is_empty();
        let before = self.state.jobs.len();
        self.state.jobs.retain(|_, job| !removed(job));
        self.dirty |= self.state.jobs.len() != before;
        SchedulerPlan {
            actions,
            needs_write: self.dirty,
        }
    }

    /// Returns renewals within the written permit, for use while the store is unavailable.
    pub fn renew(&mut self, now: Duration) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        let permitted = self.permitted;
        SchedulingRound::renew(self, now, permitted, &mut actions);
        actions
    }

    /// Sets jobs aside that fail, resumes those whose evidence is void, updates quarantine.
    fn judge_failures(&mut self, now: Duration, actions: &mut Vec<SchedulerAction>) {
        let stations = self.stations.iter();
        let workers = stations.map(|station| (&station.worker.id, &station.worker.pool));
        let changes = self.state.blame.update(now, workers);
        self.judge_jobs();
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
                .filter(|reason| job.announced != Some(*reason))
            {
                job.trial = now + TRIAL;
                actions.push(SchedulerAction::SetAside {
                    job: name.clone(),
                    reason,
                    number: number(),
                });
            }
            job.announced = job.set_aside;
        }
        self.dirty |= !actions.is_empty();
    }

    /// Decides which jobs are set aside: too large for every worker, or failing.
    fn judge_jobs(&mut self) {
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
            } else if self.state.blame.is_bad_job(name) {
                Some(SetAsideReason::Failing)
            } else {
                None
            };
        }
    }

    fn forget(&mut self, actions: &mut Vec<SchedulerAction>) {
        let mut lists: BTreeMap<WorkerId, Vec<AttemptId>> = BTreeMap::new();
        for (worker, attempt) in self.ended.drain(..) {
            lists.entry(worker).or_default().push(attempt);
        }
        for (worker, mut attempts) in lists {
            attempts.sort_unstable();
            attempts.dedup();
            actions.push(SchedulerAction::Forget { worker, attempts });
        }
        for (worker, attempt) in self.foreign.drain(..) {
            let place = self.places.get(&worker);
            let boot = place.map_or(0, |&place| self.stations[place].boot);
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
        self.heard.is_none_or(|heard| heard + settings.silent < now)
    }
}

/// Takes over a job's record.
fn adopt(job: &mut JobState, spec: Arc<Job>) {
    let prefix = format!("{}/", spec.name);
    let indexes = spec.cancel.iter();
    let indexes = indexes.filter_map(|task| task.strip_prefix(&prefix)?.parse().ok());
    job.cancelled
        .merge(&IndexRanges::from_indexes(indexes.collect()));
    job.charge = QuotaCharge::from(&*spec);
    job.spec = Some(spec);
}
