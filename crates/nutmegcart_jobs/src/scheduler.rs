//! Scheduler of a cell: jobs, workers, and the events that change them.
//!
//! A cell is a partition of the fleet, together with the jobs assigned to it. One entry instance
//! owns it under a lease of the store, and the revision of the owner's key is the fencing token of
//! every order. Workers refuse lower tokens, so once a worker has answered this owner, no order of
//! an earlier owner takes effect there.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::OrganisationName;
use nutmegcart_model::PoolName;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;
use nutmegcart_platform::Revision;

use crate::action::Action;
use crate::action::JobSettings;
use crate::action::PoolConfig;
use crate::assignments::Assignments;
use crate::backoff::Backoffs;
use crate::estimate::Estimates;
use crate::fair_shares::FairShares;
use crate::fleet_limit::FleetLimits;
use crate::flush::EndedJob;
use crate::flush::FlushQueue;
use crate::job::JobId;
use crate::job::Queue;
use crate::job::QueueKey;
use crate::job::TaskKey;
use crate::limit_moves::FALL_TIMEOUT;
use crate::limit_moves::LimitMoves;
use crate::limit_moves::TAKEOVER_TIMEOUT;
use crate::limit_moves::has_fallen;
use crate::listing::MAX_TIME;
use crate::listing::WorkerListing;
use crate::live_job::LiveJob;
use crate::machines::Machines;
use crate::maintenance::Maintenance;
use crate::organisation::Organisation;
use crate::rebalancing::Rebalancer;
use crate::record::AcceptedJob;
use crate::record::CellRecord;
use crate::record::FinalState;
use crate::record::JobState;
use crate::size_shares::SizeShares;
use crate::tickets::Tickets;
use crate::worker::RunState;
use crate::worker::StopReason;
use crate::worker::Worker;

/// Number of run numbers to skip for tasks that an earlier owner may have started since it last
/// stored their progress.
pub(crate) const INHERITED_RUN_GAP: u32 = 16;

/// State of a cell, and the decisions of its owner.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) settings: JobSettings,
    /// Fencing token.
    pub(crate) fence: u64,
    /// When this owner took over.
    pub(crate) taken_over_at: Duration,
    /// By when every earlier owner has certainly stopped granting leases, as far as that is known.
    pub(crate) earlier_end: Option<Duration>,
    pub(crate) queues: HashMap<QueueKey, Queue>,
    pub(crate) pools: BTreeMap<PoolName, PoolConfig>,
    /// Organisations by name; none if the configuration has none.
    pub(crate) organisations: BTreeMap<OrganisationName, Organisation>,
    /// Whether a configuration has been applied to this scheduler.
    has_organisations: bool,
    pub(crate) limits: FleetLimits,
    pub(crate) moves: LimitMoves,
    /// Moved queues that the stored cell state names.
    pub(crate) stored_moves: BTreeSet<QueueKey>,
    /// Restarted workers that the stored cell state names.
    pub(crate) stored_restarts: BTreeSet<WorkerId>,
    pub(crate) jobs: BTreeMap<JobId, LiveJob>,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    /// Latest incarnations that have certainly ended, whose entries may still be listed.
    pub(crate) ended_incarnations: HashMap<WorkerId, u64>,
    /// Runs to stop that belong to no job of this owner.
    pub(crate) orphan_runs: BTreeSet<(WorkerId, TaskKey, u32)>,
    pub(crate) estimates: Estimates,
    pub(crate) flush_queue: FlushQueue,
    pub(crate) assignments: Assignments,
    pub(crate) backoffs: Backoffs,
    pub(crate) tickets: Tickets,
    pub(crate) rebalancer: Rebalancer,
    pub(crate) size_shares: SizeShares,
    pub(crate) fair_shares: FairShares,
    pub(crate) machines: Machines,
    pub(crate) maintenance: Maintenance,
    pub(crate) actions: Vec<Action>,
    /// Times from acceptance to first start since the latest [`Scheduler::take_start_delays`].
    pub(crate) start_delays: Vec<Duration>,
}

impl Scheduler {
    /// Creates the scheduler of an owner that has just taken over with the fencing token `fence`.
    #[must_use]
    pub fn new(settings: JobSettings, fence: Revision, now: Duration) -> Self {
        Self {
            settings,
            fence: u64::try_from(fence).unwrap_or_default(),
            taken_over_at: now,
            earlier_end: None,
            queues: HashMap::new(),
            pools: BTreeMap::new(),
            organisations: BTreeMap::new(),
            has_organisations: false,
            limits: FleetLimits::default(),
            moves: LimitMoves::default(),
            stored_moves: BTreeSet::new(),
            stored_restarts: BTreeSet::new(),
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            ended_incarnations: HashMap::new(),
            orphan_runs: BTreeSet::new(),
            estimates: Estimates::default(),
            flush_queue: FlushQueue::default(),
            assignments: Assignments::default(),
            backoffs: Backoffs::default(),
            tickets: Tickets::default(),
            rebalancer: Rebalancer::default(),
            size_shares: SizeShares::default(),
            fair_shares: FairShares::default(),
            machines: Machines::default(),
            maintenance: Maintenance::default(),
            actions: Vec::new(),
            start_delays: Vec::new(),
        }
    }

    /// Replaces the settings; they apply to later decisions.
    pub const fn set_settings(&mut self, settings: JobSettings) {
        self.settings = settings;
    }

    /// Records that every earlier owner has certainly stopped granting leases by `until`.
    ///
    /// Without it, they count as acting for the whole time for which an owner may act.
    pub const fn set_earlier_owners_end(&mut self, until: Duration) {
        self.earlier_end = Some(until);
    }

    /// Returns the fencing token that all orders carry.
    #[must_use]
    pub const fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns the known jobs; an ended one is kept until its final state is stored and its runs
    /// have ended.
    pub fn jobs(&self) -> impl Iterator<Item = &LiveJob> {
        self.jobs.values()
    }

    /// Returns the known workers, including unlisted ones that may have live runs.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Takes the actions that were emitted since the latest call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the times from acceptance to first start of jobs that started since the latest call.
    pub fn take_start_delays(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.start_delays)
    }

    /// Returns the number of accepted jobs of which no task has started.
    #[must_use]
    pub fn waiting_total(&self) -> usize {
        let waits = |job: &&LiveJob| job.ended.is_none() && !job.started;
        self.jobs.values().filter(waits).count()
    }

    /// Applies a configuration; jobs follow their queue to its pool.
    pub fn configure(&mut self, queues: &[Queue], pools: &[(PoolName, PoolConfig)]) {
        self.queues = queues
            .iter()
            .map(|queue| (queue.key.clone(), queue.clone()))
            .collect();
        self.pools = pools.iter().cloned().collect();
        for job in self.jobs.values_mut() {
            if let Some(queue) = self.queues.get(&job.accepted.queue.key) {
                job.set_pool(&queue.pool);
            }
        }
    }

    /// Applies the organisations of a configuration.
    pub fn set_organisations(&mut self, organisations: &[Organisation]) {
        let named = organisations
            .iter()
            .map(|each| (each.name.clone(), each.clone()));
        let before = std::mem::replace(&mut self.organisations, named.collect());
        let first = !std::mem::replace(&mut self.has_organisations, true);
        for (name, organisation) in &self.organisations {
            let limit = before.get(name).map(|each| each.limit).unwrap_or_default();
            if has_fallen(limit, organisation.limit) {
                let timeout = if first {
                    TAKEOVER_TIMEOUT
                } else {
                    FALL_TIMEOUT
                };
                self.moves.hold(name, timeout);
            }
        }
        let organisations = &self.organisations;
        self.moves.retain(|name| {
            let organisation = organisations.get(name);
            organisation.is_some_and(Organisation::has_limit)
        });
        self.fair_shares.configure(self.organisations.values());
    }

    /// Restores the state of the cell that an earlier owner stored.
    pub fn inherit(&mut self, record: &CellRecord) {
        for enrolled in &record.workers {
            // Versions before stored what an invalid entry stated; the worker's answer tells.
            let incarnation = Some(enrolled.incarnation).filter(|stated| *stated <= MAX_TIME);
            let incarnation = incarnation.unwrap_or_default();
            let listing = WorkerListing {
                id: enrolled.worker.clone(),
                incarnation,
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
            worker.assigned = record.assigned_to(&enrolled.worker);
            self.workers.insert(enrolled.worker.clone(), worker);
        }
        self.inherit_restarts(&record.restarted);
        self.inherit_moved_queues(&record.moved_queues);
        for (id, past) in &record.past {
            if let Some(job) = self.jobs.get_mut(id) {
                job.restore_past(past);
            }
        }
        for finished in &record.finished {
            if let Some(job) = self.jobs.get_mut(&finished.job) {
                job.restore_finished(finished, self.taken_over_at);
            }
        }
        for progress in &record.tasks {
            let Some(job) = self.jobs.get_mut(&progress.task.job) else {
                continue;
            };
            job.started_task(&progress.task, self.taken_over_at);
            job.restore(progress, INHERITED_RUN_GAP);
        }
        self.flush_queue.inherit(record);
        // A successor trusts only the assignments that its predecessor has written.
        self.flush_queue.outdated = true;
        self.maintenance.inherit(&record.maintained);
        self.machines.inherited = record.ordered_machines.iter().cloned().collect();
        self.machines.stored.clone_from(&record.ordered_machines);
        self.fail_inherited(record);
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.complete_if_finished(&id);
        }
    }

    /// Fails the jobs with a task that has used up its attempts.
    ///
    /// The earlier owner may have stored the failed runs and died before it stored the final state.
    fn fail_inherited(&mut self, record: &CellRecord) {
        let exhausted = record.tasks.iter().filter(|progress| {
            let job = self.jobs.get(&progress.task.job);
            job.is_some_and(|job| {
                let attempts = job.accepted.queue.attempts.max(1) as usize;
                let long_running = job
                    .step(&progress.task)
                    .is_some_and(|step| step.long_running);
                let failed = job.failed_attempts(&progress.task);
                !long_running && !progress.done && failed.max(progress.failed.len()) >= attempts
            })
        });
        let ids: Vec<JobId> = exhausted.map(|each| each.task.job.clone()).collect();
        for id in ids {
            self.fail_job(&id, self.taken_over_at);
        }
    }

    /// Adds an accepted job, unless it is malformed; `inherited` is true if an earlier owner may have started it.
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
        // The record may be of another writer, and every successor would fail on it too.
        if let Err(error) = accepted.job.check() {
            log_event!(Event::JobRecordInvalid, job = id, reason = error);
            return;
        }
        let age = Duration::from_millis(unix.saturating_sub(accepted.at));
        // The clocks of two instances may differ by seconds, so the age of a new job is not taken
        // from its time of acceptance.
        let age = if inherited {
            age.min(now)
        } else {
            Duration::from_millis(accepted.waited_ms)
        };
        let since = now.saturating_sub(age);
        let mut job = LiveJob::new(id.clone(), accepted, revision, since, &self.estimates);
        job.inherited = inherited;
        if let Some(queue) = self.queues.get(&job.accepted.queue.key) {
            job.set_pool(&queue.pool);
        }
        job.moved |= inherited && self.stored_moves.contains(&job.accepted.queue.key);
        job.spawn(unix, now);
        if inherited {
            for occurrence in job.occurrences.values_mut() {
                occurrence.skip_runs(INHERITED_RUN_GAP);
            }
        }
        // What the job had done in another cell before it passed to this one.
        for progress in std::mem::take(&mut job.accepted.progress) {
            job.restore(&progress, if inherited { INHERITED_RUN_GAP } else { 0 });
        }
        if !inherited && !job.accepted.job.is_long_running() {
            if self.machines_fit(&job) {
                self.rebalancer.record_arrival(&job.pool, job.work, now);
            }
            let queue = &job.accepted.queue.key;
            self.size_shares.record_arrival(queue, job.work, now);
        }
        self.jobs.insert(id.clone(), job);
    }

    /// Records that the store holds the final state of a job, written by this owner or by a cancel
    /// request.
    pub fn record_final_state(&mut self, id: &JobId, how: FinalState, now: Duration) {
        let organisation = self.job_organisation(id).cloned();
        self.record_stored_end(id, how, organisation, now);
    }

    /// Records a final state that was read from the store with the job's organisation.
    pub fn record_stored_end(
        &mut self,
        id: &JobId,
        how: FinalState,
        organisation: Option<OrganisationName>,
        now: Duration,
    ) {
        let ended = EndedJob {
            how: Some(how),
            organisation,
        };
        self.flush_queue.record_ended(id, ended, now);
        self.end_job(id, how, now);
    }

    /// Records that the store holds a tombstone of a job. Like the final states of jobs, it is removed
    /// after the retention time.
    pub fn record_tombstone(
        &mut self,
        id: &JobId,
        organisation: Option<OrganisationName>,
        now: Duration,
    ) {
        let ended = EndedJob {
            how: None,
            organisation,
        };
        self.flush_queue.record_ended(id, ended, now);
        self.end_job(id, FinalState::Cancelled, now);
    }

    /// Ends a live job whose final state is stored.
    fn end_job(&mut self, id: &JobId, how: FinalState, now: Duration) {
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

    /// Returns the state of a job, if the owner knows it.
    #[must_use]
    pub fn job_state(&self, id: &JobId) -> Option<JobState> {
        let live = self.jobs.get(id).map(LiveJob::state);
        live.or_else(|| Some(JobState::Ended(self.flush_queue.ended(id)?.how?)))
    }

    /// Returns the organisation that a known job belongs to, if any.
    #[must_use]
    pub fn job_organisation(&self, id: &JobId) -> Option<&OrganisationName> {
        match self.jobs.get(id) {
            Some(job) => job.accepted.organisation.as_ref(),
            None => self.flush_queue.ended(id)?.organisation.as_ref(),
        }
    }

    /// Returns the number of accepted jobs of a queue of which no task has started.
    #[must_use]
    pub fn waiting_in(&self, queue: &QueueKey) -> usize {
        let waits = |job: &&LiveJob| {
            job.ended.is_none() && !job.started && job.accepted.queue.key == *queue
        };
        self.jobs.values().filter(waits).count()
    }

    /// Returns the number of workers that long-running tasks occupy or wait for.
    #[must_use]
    pub fn long_running_workers(&self) -> usize {
        let holds = |worker: &&Worker| {
            worker.runs.values().any(|run| run.long_running)
                || self.reserved_tasks(&worker.listing.id) > 0
        };
        let open = self.jobs.values().filter(|job| job.ended.is_none());
        let lasting = open.filter(|job| job.accepted.job.is_long_running());
        let missing = lasting.map(|job| self.waiting_workers(job).into_values().max());
        let waiting: usize = missing.flatten().sum();
        self.workers.values().filter(holds).count() + waiting
    }

    /// Returns the state of a worker, if the owner knows it.
    #[must_use]
    pub fn worker(&self, id: &WorkerId) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// Marks a run to be stopped.
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

    /// Stops all runs of a job that has ended.
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

    /// Completes a job whose tasks have all finished, and queues its final state to be stored.
    pub(crate) fn complete_if_finished(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.ended.is_none() && job.finished() {
            job.ended = Some(FinalState::Completed);
        }
        if job.ended.is_some() && !job.stored {
            self.flush_queue.queue_final(id);
        }
    }

    /// Fails a job with a task that has used up its attempts.
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
        self.flush_queue.queue_final(id);
        self.stop_job(id, now);
    }

    /// Removes a job whose final state is stored and that has no live runs.
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

    /// Applies changes that depend on time alone; to be called at least every 100 ms.
    pub fn tick(&mut self, unix: u64, now: Duration) {
        self.moves.record_clock(unix, now);
        let scheduled = self
            .jobs
            .values_mut()
            .filter(|job| job.accepted.job.schedule.is_some());
        for job in scheduled {
            job.spawn(unix, now);
        }
        self.expire_workers(now);
        self.expire_held_starts(now);
        self.unenrol_idle_workers(now);
        self.stop_stalled(now);
        self.throttle(now);
        self.flush_queue.expire(self.settings.retention, now);
    }

    /// Logs the numbers of jobs, workers and runs by state.
    pub fn log_status(&self, cell: u32, now: Duration) {
        let open = self.jobs.values().filter(|job| job.ended.is_none());
        let (waiting, active): (Vec<_>, Vec<_>) = open.partition(|job| !job.started);
        let blocked = self.jobs.values().filter(|job| self.has_blocked_tasks(job));
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
