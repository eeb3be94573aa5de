//! The scheduler of a cell: its jobs, its workers, and the events that change them.
//!
//! A cell is a slice of the fleet with the jobs handed in to it. One entry instance owns it under
//! a lease of the store, and the revision of the owner's key is the fencing token of every order.
//! Workers refuse lower tokens, so once a worker has answered this owner, no order of an earlier
//! one takes effect there.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::PoolName;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;
use nutmegcart_platform::Revision;

use crate::action::Action;
use crate::action::JobSettings;
use crate::action::PoolConfig;
use crate::durable::Durable;
use crate::estimate::Estimates;
use crate::job::JobId;
use crate::job::Queue;
use crate::job::QueueKey;
use crate::job::TaskKey;
use crate::live_job::LiveJob;
use crate::machines::Machines;
use crate::maintenance::Maintenance;
use crate::rebalancing::Rebalancer;
use crate::record::AcceptedJob;
use crate::record::CellRecord;
use crate::record::FinalState;
use crate::record::JobState;
use crate::tickets::Tickets;
use crate::worker::RunState;
use crate::worker::StopReason;
use crate::worker::Worker;
use crate::worker::WorkerListing;

/// Run numbers that are left out for tasks that an earlier owner may have started unseen.
const INHERITED_GAP: u32 = 16;

/// The scheduler of a cell.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) settings: JobSettings,
    /// Fencing token.
    pub(crate) fence: u64,
    /// When this owner took over.
    pub(crate) taken_over_at: Duration,
    pub(crate) queues: HashMap<QueueKey, Queue>,
    pub(crate) pools: BTreeMap<PoolName, PoolConfig>,
    pub(crate) jobs: HashMap<JobId, LiveJob>,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    /// Lives that have certainly ended, whose entries may still be listed.
    pub(crate) ended_incarnations: HashMap<WorkerId, u64>,
    /// Runs to stop although no job accounts for them.
    pub(crate) orphan_runs: HashSet<(WorkerId, TaskKey, u32)>,
    pub(crate) estimates: Estimates,
    pub(crate) durable: Durable,
    pub(crate) tickets: Tickets,
    pub(crate) rebalancer: Rebalancer,
    pub(crate) machines: Machines,
    pub(crate) maintenance: Maintenance,
    pub(crate) actions: Vec<Action>,
    /// Times from acceptance to first start that nobody has taken yet.
    pub(crate) start_delays: Vec<Duration>,
}

impl Scheduler {
    /// Creates the scheduler of an owner that has just taken over with a fencing token.
    #[must_use]
    pub fn new(settings: JobSettings, fence: Revision, now: Duration) -> Self {
        Self {
            settings,
            fence: u64::try_from(fence).unwrap_or_default(),
            taken_over_at: now,
            queues: HashMap::new(),
            pools: BTreeMap::new(),
            jobs: HashMap::new(),
            workers: BTreeMap::new(),
            ended_incarnations: HashMap::new(),
            orphan_runs: HashSet::new(),
            estimates: Estimates::default(),
            durable: Durable::default(),
            tickets: Tickets::default(),
            rebalancer: Rebalancer::default(),
            machines: Machines::default(),
            maintenance: Maintenance::default(),
            actions: Vec::new(),
            start_delays: Vec::new(),
        }
    }

    /// Replaces times and bounds; they hold for what is decided from now on.
    pub const fn set_settings(&mut self, settings: JobSettings) {
        self.settings = settings;
    }

    /// Returns the fencing token.
    #[must_use]
    pub const fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns the jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &LiveJob> {
        self.jobs.values()
    }

    /// Returns the workers.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Takes the actions that have become due.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the times that jobs waited for their first start.
    pub fn take_start_delays(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.start_delays)
    }

    /// Returns how many accepted jobs have started no task.
    #[must_use]
    pub fn waiting_total(&self) -> usize {
        let waits = |job: &&LiveJob| job.ended.is_none() && !job.started;
        self.jobs.values().filter(waits).count()
    }

    /// Puts a configuration in force.
    pub fn configure(&mut self, queues: &[Queue], pools: &[(PoolName, PoolConfig)]) {
        self.queues = queues
            .iter()
            .map(|queue| (queue.key.clone(), queue.clone()))
            .collect();
        self.pools = pools.iter().cloned().collect();
        for job in self.jobs.values_mut() {
            if let Some(queue) = self.queues.get(&job.accepted.queue.key) {
                job.pool = queue.pool.clone();
            }
        }
    }

    /// Takes over the state of the cell that an earlier owner left.
    pub fn inherit(&mut self, record: &CellRecord) {
        for enrolled in &record.workers {
            let listing = WorkerListing {
                id: enrolled.worker.clone(),
                incarnation: enrolled.incarnation,
                machine: enrolled.machine.clone(),
                address: enrolled.address.clone(),
                centre: "".into(),
                pool: enrolled.pool.clone(),
                draining: false,
                remaining: Duration::ZERO,
                capacity: nutmegcart_fleet::Resources::default(),
                labels: Vec::new(),
            };
            let mut worker = Worker::new(listing);
            worker.listed = false;
            worker.unlisted_at = self.taken_over_at;
            worker.enrolled = true;
            worker.inherited = true;
            self.workers.insert(enrolled.worker.clone(), worker);
        }
        for progress in &record.tasks {
            let Some(job) = self.jobs.get_mut(&progress.task.job) else {
                continue;
            };
            if progress.done {
                job.finish(&progress.task);
            }
            if let Some(task) = job.task(&progress.task) {
                task.failed_runs.clone_from(&progress.failed);
                task.last_run = task.last_run.max(progress.run + INHERITED_GAP);
                task.checkpoint.clone_from(&progress.checkpoint);
                task.started = true;
                job.started = true;
            }
        }
        self.durable.inherit(record);
        self.maintenance.inherit(&record.maintained);
        self.machines.inherited = record.ordered_machines.iter().cloned().collect();
        self.machines.stored.clone_from(&record.ordered_machines);
        self.fail_inherited(record);
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.complete_if_finished(&id);
        }
    }

    /// Ends the jobs whose tasks failed too often under an earlier owner, which may have stored the
    /// failures and not the end.
    fn fail_inherited(&mut self, record: &CellRecord) {
        let hopeless = record.tasks.iter().filter(|progress| {
            let job = self.jobs.get(&progress.task.job);
            job.is_some_and(|job| {
                let attempts = job.accepted.queue.attempts.max(1) as usize;
                let lasting = job
                    .step(&progress.task)
                    .is_some_and(|step| step.long_running);
                !lasting && !progress.done && progress.failed.len() >= attempts
            })
        });
        let ids: Vec<JobId> = hopeless.map(|each| each.task.job.clone()).collect();
        for id in ids {
            self.fail_job(&id, self.taken_over_at);
        }
    }

    /// Adds an accepted job; `inherited` if an earlier owner may have started it.
    pub fn add_job(
        &mut self,
        id: &JobId,
        accepted: AcceptedJob,
        revision: Revision,
        inherited: bool,
        unix: u64,
        now: Duration,
    ) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.revision = job.revision.max(revision);
            return;
        }
        let age = Duration::from_millis(unix.saturating_sub(accepted.at));
        // The clocks of two instances may differ by seconds; a new job cannot be old.
        let age = if inherited {
            age.min(now)
        } else {
            Duration::ZERO
        };
        let since = now.saturating_sub(age);
        let mut job = LiveJob::new(id.clone(), accepted, revision, since, &self.estimates);
        job.inherited = inherited;
        if let Some(queue) = self.queues.get(&job.accepted.queue.key) {
            job.pool = queue.pool.clone();
        }
        job.spawn(unix, now);
        if inherited {
            let steps = job
                .occurrences
                .values_mut()
                .flat_map(|each| &mut each.steps);
            for task in steps.flat_map(|step| &mut step.tasks) {
                task.last_run = INHERITED_GAP;
            }
        }
        if !inherited && !job.accepted.job.is_long_running() {
            self.rebalancer.note_arrival(&job.pool, job.work, now);
        }
        self.jobs.insert(id.clone(), job);
    }

    /// Notes that the store holds the end of a job, its own or one that a caller asked for.
    pub fn note_ended(&mut self, id: &JobId, how: FinalState, now: Duration) {
        self.durable.note_ended(id, how, now);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if how == FinalState::Cancelled && job.ended.is_none() {
            log_event!(
                Event::CallerJobCancelled,
                job = id,
                age_ms = now.saturating_sub(job.accepted_at).as_millis()
            );
        }
        job.ended = Some(how);
        job.stored = true;
        self.stop_job(id, now);
    }

    /// Returns the state of a job that the owner knows.
    #[must_use]
    pub fn state(&self, id: &JobId) -> Option<JobState> {
        let live = self.jobs.get(id).map(LiveJob::state);
        live.or_else(|| self.durable.ended(id).map(JobState::Ended))
    }

    /// Returns how many accepted jobs of a queue have started no task.
    #[must_use]
    pub fn waiting(&self, queue: &QueueKey) -> usize {
        let waits = |job: &&LiveJob| {
            job.ended.is_none() && !job.started && job.accepted.queue.key == *queue
        };
        self.jobs.values().filter(waits).count()
    }

    /// Returns how many workers lasting tasks hold or wait for.
    #[must_use]
    pub fn long_running_workers(&self) -> usize {
        let holds = |worker: &&Worker| worker.runs.values().any(|run| run.long_running);
        let open = self.jobs.values().filter(|job| job.ended.is_none());
        let waiting: usize = open.map(LiveJob::missing_workers).sum();
        self.workers.values().filter(holds).count() + waiting
    }

    /// Returns a worker.
    #[must_use]
    pub fn worker(&self, id: &WorkerId) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Asks for the end of a run.
    pub(crate) fn stop(&mut self, id: &WorkerId, key: &TaskKey, reason: StopReason) {
        let Some(run) = self
            .workers
            .get_mut(id)
            .and_then(|worker| worker.runs.get_mut(key))
        else {
            return;
        };
        if matches!(run.state, RunState::Stopping { .. }) {
            return;
        }
        if reason != StopReason::JobEnded && reason != StopReason::CopyDone {
            log_event!(
                Event::RunStopped,
                task = key,
                run = run.number,
                worker = id,
                reason = format_args!("{reason:?}")
            );
        }
        run.state = RunState::Stopping {
            reason,
            sent: false,
            confirmed_at: None,
        };
    }

    /// Stops every run of a job that has ended.
    pub(crate) fn stop_job(&mut self, id: &JobId, _now: Duration) {
        let mut runs = Vec::new();
        for worker in self.workers.values() {
            for key in worker.runs.keys().filter(|key| key.job == *id) {
                runs.push((worker.listing.id.clone(), key.clone()));
            }
        }
        for (worker, key) in runs {
            self.stop(&worker, &key, StopReason::JobEnded);
        }
        self.forget_if_ended(id);
    }

    /// Ends a job whose tasks have all finished.
    pub(crate) fn complete_if_finished(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.ended.is_none() && job.finished() {
            job.ended = Some(FinalState::Completed);
        }
        if job.ended.is_some() && !job.stored {
            self.durable.queue_final(id);
        }
    }

    /// Ends a job of which a task failed too often.
    pub(crate) fn fail_job(&mut self, id: &JobId, now: Duration) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.ended.is_some() {
            return;
        }
        job.ended = Some(FinalState::Failed);
        log_event!(
            Event::CallerJobFailed,
            job = id,
            age_ms = now.saturating_sub(job.accepted_at).as_millis()
        );
        self.durable.queue_final(id);
        self.stop_job(id, now);
    }

    /// Forgets a job whose end is stored and of which nothing runs.
    pub(crate) fn forget_if_ended(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if !job.stored {
            return;
        }
        let runs = self
            .workers
            .values()
            .any(|worker| worker.runs.keys().any(|key| key.job == *id));
        if !runs {
            self.jobs.remove(id);
        }
    }

    /// Advances what depends on time alone; call it at least every 100 ms.
    pub fn tick(&mut self, unix: u64, now: Duration) {
        let scheduled = self
            .jobs
            .values_mut()
            .filter(|job| job.accepted.job.schedule.is_some());
        for job in scheduled {
            job.spawn(unix, now);
        }
        self.expire_workers(now);
        self.stop_stalled(now);
        self.throttle(now);
        self.durable.expire(self.settings.retention, now);
    }

    /// Logs a line about jobs and workers.
    pub fn log_status(&self, cell: u32, now: Duration) {
        let open = self.jobs.values().filter(|job| job.ended.is_none());
        let (waiting, active): (Vec<_>, Vec<_>) = open.partition(|job| !job.started);
        let blocked = self
            .jobs
            .values()
            .filter(|job| job.inherited && self.has_unreached_workers(&job.pool));
        let usable = self.workers.values().filter(|worker| worker.usable(now));
        let silent = self
            .workers
            .values()
            .filter(|worker| worker.unreachable_since.is_some());
        let runs: usize = self.workers.values().map(|worker| worker.runs.len()).sum();
        log_event!(
            Event::CellStatus,
            cell = cell,
            waiting = waiting.len(),
            active = active.len(),
            blocked = blocked.count(),
            ending = self.jobs.values().filter(|job| job.ended.is_some()).count(),
            workers = self.workers.len(),
            usable = usable.count(),
            silent = silent.count(),
            unenrolled = self
                .workers
                .values()
                .filter(|worker| worker.listed && !worker.enrolled)
                .count(),
            runs = runs,
        );
    }
}
