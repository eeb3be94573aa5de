//! Control loop that places a data centre's tasks on workers, run by the duty holder.
//!
//! The state is written to the store before any command is sent to a worker, and every write is
//! fenced by the duty key. While the store is unavailable, the controller only renews leases, and
//! only within the permit that it has written.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread::scope;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use nutmegcart_config::ConfigView;
use nutmegcart_config::Generation;
use nutmegcart_fleet::AttemptId;
use nutmegcart_fleet::ReceivedReport;
use nutmegcart_fleet::Resources;
use nutmegcart_fleet::SchedulerAction;
use nutmegcart_fleet::SchedulerSettings;
use nutmegcart_fleet::TaskScheduler;
use nutmegcart_fleet::Worker;
use nutmegcart_fleet::worker::ReportedAttempt;
use nutmegcart_model::DataCentre;
use nutmegcart_model::Event;
use nutmegcart_model::JobName;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;
use nutmegcart_platform::Revision;
use nutmegcart_platform::Store;
use nutmegcart_platform::TaskApi;
use nutmegcart_platform::Txn;
use nutmegcart_platform::http::HttpError;
use nutmegcart_platform::store::Result;
use nutmegcart_platform::task_api::CommandAnswer;
use nutmegcart_platform::task_api::CommandKind;
use nutmegcart_platform::task_api::ResourceAmounts;
use nutmegcart_platform::task_api::WorkerCommand;
use nutmegcart_platform::task_api::WorkerReport;

use crate::duty;
use crate::entry_instance::EntryInstance;
use crate::entry_settings::PlatformAddress;

/// Prefix of the keys that hold the task state of each data centre.
pub const TASK_STATE_PREFIX: &str = "/nutmegcart/task/";
/// Prefix of the keys that hold the data centre to which each job is assigned.
pub const JOB_CENTRE_PREFIX: &str = "/nutmegcart/home/";
/// Timeout of a call to the task API.
const TASK_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of workers that are called concurrently.
const MAX_CONCURRENT_CALLS: usize = 8;

/// The scheduler, with the revisions that its next write is conditional on.
struct LoadedScheduler {
    scheduler: TaskScheduler,
    state_revision: Revision,
    duty_revision: Revision,
    /// Generation of the configuration that the scheduler uses; `None` before the first one.
    generation: Option<Generation>,
    job_centres: BTreeMap<JobName, DataCentre>,
    /// State whose write got no answer, and the actions to execute once it is known to be stored.
    unanswered_write: Option<(Vec<u8>, Vec<SchedulerAction>)>,
}

/// Runs the scheduler of one data centre while its duty is held.
pub struct TaskController {
    store: Store,
    tasks: TaskApi,
    centre: DataCentre,
    duty_key: String,
    started: Instant,
    /// System time at the start, since the Unix epoch; later clock adjustments have no effect.
    unix_start: Duration,
    loaded: Option<LoadedScheduler>,
    is_reachable: bool,
}

impl TaskController {
    /// Creates a controller whose writes are conditional on the duty key.
    #[must_use]
    pub fn new(store: Store, tasks: TaskApi, centre: DataCentre, duty_key: String) -> Self {
        let epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Self {
            store,
            tasks,
            centre,
            duty_key,
            started: Instant::now(),
            unix_start: epoch.unwrap_or_default(),
            loaded: None,
            is_reachable: true,
        }
    }

    /// Returns the scheduler, or `None` unless the duty is held and the state has been read.
    #[must_use]
    pub fn scheduler(&self) -> Option<&TaskScheduler> {
        self.loaded.as_ref().map(|loaded| &loaded.scheduler)
    }

    /// Runs one round; `duty` is the creation revision of the duty key while it is held.
    ///
    /// The configuration must be complete: jobs that it lacks are cancelled.
    pub fn round(&mut self, duty: Option<Revision>, generation: Generation, view: &ConfigView) {
        let Some(created) = duty else {
            self.loaded = None;
            return;
        };
        if self
            .loaded
            .as_ref()
            .is_some_and(|loaded| loaded.duty_revision != created)
        {
            self.loaded = None;
        }
        let Some(mut loaded) = self.loaded.take().or_else(|| self.load(created)) else {
            return;
        };
        if self.update_inputs(&mut loaded, generation, view) {
            match self.decide(&mut loaded) {
                Ok(true) => {}
                Ok(false) => {
                    log_event!(Event::TaskStateConflict, centre = self.centre);
                    return;
                }
                Err(_) => self.renew_leases(&mut loaded),
            }
        } else {
            self.renew_leases(&mut loaded);
        }
        self.loaded = Some(loaded);
    }

    /// Renews the leases of running tasks while no decision can be made.
    fn renew_leases(&self, loaded: &mut LoadedScheduler) {
        let renewals = loaded.scheduler.renew(self.now());
        self.execute(&mut loaded.scheduler, renewals);
    }

    fn now(&self) -> Duration {
        self.unix_start + self.started.elapsed()
    }

    fn state_key(&self) -> String {
        format!("{TASK_STATE_PREFIX}{}", self.centre)
    }

    fn load(&self, created: Revision) -> Option<LoadedScheduler> {
        let key = self.state_key();
        let snapshot = self.store.range(&key).ok()?;
        let (state, modified) = match snapshot.get(&key) {
            None => (
                nutmegcart_fleet::task_scheduler::SchedulerState::default(),
                0,
            ),
            Some(found) => match serde_json::from_slice(&found.value) {
                Ok(state) => (state, found.modified),
                Err(error) => {
                    log_event!(Event::TaskStateInvalid, reason = error);
                    return None;
                }
            },
        };
        Some(LoadedScheduler {
            scheduler: TaskScheduler::load(SchedulerSettings::default(), state),
            state_revision: modified,
            duty_revision: created,
            generation: None,
            job_centres: BTreeMap::new(),
            unanswered_write: None,
        })
    }

    /// Updates the scheduler from configuration, workers and reports.
    ///
    /// Returns whether the scheduler has what it needs for a decision.
    fn update_inputs(
        &mut self,
        loaded: &mut LoadedScheduler,
        generation: Generation,
        view: &ConfigView,
    ) -> bool {
        let lists = self.tasks.workers(&self.centre).and_then(|workers| {
            let reports = self.tasks.reports(&self.centre)?;
            Ok((workers, reports))
        });
        let (listed, reports) = match lists {
            Ok(lists) => lists,
            Err(error) => {
                self.log_unreachable(&error);
                return false;
            }
        };
        self.is_reachable = true;
        let workers: Vec<Worker> = listed
            .into_iter()
            .map(|listed| Worker {
                id: listed.id,
                pool: listed.pool,
                rack: listed.rack,
                capacity: size(listed.capacity),
                leaving: listed.leaving,
            })
            .collect();
        // A successor with an older configuration than its predecessor must not cancel the jobs
        // that it does not know.
        let is_current = generation.0 >= loaded.scheduler.state().generation;
        let is_new = is_current && loaded.generation != Some(generation);
        if is_new && self.claim_jobs(loaded, view, &workers).is_ok() {
            let assigned = view.jobs.values();
            let assigned =
                assigned.filter(|job| loaded.job_centres.get(&job.name) == Some(&self.centre));
            loaded
                .scheduler
                .set_jobs(generation.0, assigned.cloned().map(Arc::new));
            loaded.scheduler.set_teams(view.teams.values().cloned());
            loaded.generation = Some(generation);
        }
        loaded.scheduler.set_workers(workers);
        let now = self.now();
        for report in reports {
            loaded.scheduler.apply_report(now, &to_report(now, report));
        }
        // Without a configuration every job would appear to be cancelled.
        loaded.generation.is_some()
    }

    fn log_unreachable(&mut self, error: &HttpError) {
        if self.is_reachable {
            log_event!(Event::WorkersUnreachable, reason = error);
        }
        self.is_reachable = false;
    }

    /// Claims jobs without a data centre whose pool has workers in this one.
    ///
    /// The data centre that creates the key first runs the job, so its tasks never start in two.
    fn claim_jobs(
        &self,
        loaded: &mut LoadedScheduler,
        view: &ConfigView,
        workers: &[Worker],
    ) -> Result<()> {
        let snapshot = self.store.range(JOB_CENTRE_PREFIX)?;
        loaded.job_centres = snapshot
            .entries
            .iter()
            .filter_map(|found| {
                let job = found.key.strip_prefix(JOB_CENTRE_PREFIX)?;
                let centre = std::str::from_utf8(&found.value).ok()?;
                Some((job.into(), centre.into()))
            })
            .collect();
        for job in view.jobs.values() {
            let has_workers = workers.iter().any(|worker| worker.pool == job.pool);
            if !has_workers || loaded.job_centres.contains_key(&job.name) {
                continue;
            }
            let key = format!("{JOB_CENTRE_PREFIX}{}", job.name);
            let txn = Txn::default()
                .created_at(&self.duty_key, loaded.duty_revision)
                .absent(&key)
                .put(key, self.centre.as_bytes().to_vec());
            if self.store.txn(&txn)?.committed {
                loaded
                    .job_centres
                    .insert(job.name.clone(), self.centre.clone());
            }
        }
        Ok(())
    }

    /// Plans, writes the state and executes the actions.
    ///
    /// Returns `false` if another duty holder wrote the state.
    fn decide(&self, loaded: &mut LoadedScheduler) -> Result<bool> {
        if let Some((attempted, actions)) = loaded.unanswered_write.take()
            && !self.write(loaded, &attempted, actions)?
        {
            return Ok(false);
        }
        let now = self.now();
        let decision = loaded.scheduler.plan(now);
        if decision.needs_write {
            return self.write(loaded, &[], decision.actions);
        }
        self.execute(&mut loaded.scheduler, decision.actions);
        Ok(true)
    }

    /// Writes the current state, then executes the actions that belong to it.
    ///
    /// A write whose answer was lost may have taken effect. If the new write is rejected, the
    /// stored value is therefore compared with the new state and with the `attempted` one.
    ///
    /// Returns `false` as [`TaskController::decide`] does.
    fn write(
        &self,
        loaded: &mut LoadedScheduler,
        attempted: &[u8],
        actions: Vec<SchedulerAction>,
    ) -> Result<bool> {
        let value = serde_json::to_vec(loaded.scheduler.state()).expect("state is serialisable");
        match self.compare_and_swap(loaded, attempted, &value) {
            Ok(true) => {
                loaded.scheduler.mark_written();
                self.execute(&mut loaded.scheduler, actions);
                Ok(true)
            }
            Ok(false) => Ok(false),
            Err(error) => {
                loaded.unanswered_write = Some((value, actions));
                Err(error)
            }
        }
    }

    fn compare_and_swap(
        &self,
        loaded: &mut LoadedScheduler,
        attempted: &[u8],
        value: &[u8],
    ) -> Result<bool> {
        let key = self.state_key();
        loop {
            let txn = Txn::default()
                .created_at(&self.duty_key, loaded.duty_revision)
                .unchanged(&key, loaded.state_revision)
                .put(&key, value.to_vec());
            let reply = self.store.txn(&txn)?;
            if reply.committed {
                loaded.state_revision = reply.revision;
                return Ok(true);
            }
            let duty = self.store.range(&self.duty_key)?;
            let duty = duty.get(&self.duty_key);
            let stored = self.store.range(&key)?;
            let Some(found) = stored.get(&key) else {
                return Ok(false);
            };
            let is_new = found.modified != loaded.state_revision;
            if !is_new || duty.is_none_or(|duty| duty.created != loaded.duty_revision) {
                return Ok(false);
            }
            loaded.state_revision = found.modified;
            if found.value == value {
                return Ok(true);
            }
            if found.value != attempted {
                return Ok(false);
            }
        }
    }

    /// Sends the commands of the actions, one call per worker, and applies the answers.
    fn execute(&self, scheduler: &mut TaskScheduler, actions: Vec<SchedulerAction>) {
        let mut commands: BTreeMap<WorkerId, Vec<WorkerCommand>> = BTreeMap::new();
        for action in actions {
            add_commands(action, &mut commands);
        }
        let calls: Vec<(WorkerId, Vec<WorkerCommand>)> = commands.into_iter().collect();
        for group in calls.chunks(MAX_CONCURRENT_CALLS) {
            let answers: Vec<(&WorkerId, &[WorkerCommand], Vec<CommandAnswer>)> = scope(|scope| {
                let threads: Vec<_> = group
                    .iter()
                    .map(|(worker, commands)| {
                        let call = || self.tasks.command(worker, commands.clone());
                        (worker, &commands[..], scope.spawn(call))
                    })
                    .collect();
                let joined = threads
                    .into_iter()
                    .filter_map(|(worker, commands, thread)| {
                        // A call without an answer is repeated in a later round under the same
                        // identifiers.
                        let answers = thread.join().ok()?.ok()?;
                        Some((worker, commands, answers))
                    });
                joined.collect()
            });
            let now = self.now();
            for (worker, commands, answers) in answers {
                for (command, answer) in commands.iter().zip(answers) {
                    // Applying the answer to a forget command would cause another one.
                    if command.verb == CommandKind::Forget {
                        continue;
                    }
                    if let Ok(attempt) = answer.attempt.parse::<AttemptId>() {
                        scheduler.record_outcome(now, worker, &attempt, answer.outcome);
                    }
                }
            }
        }
    }
}

/// Creates the controller of an entry instance; `None` for a platform in memory, which has no
/// workers.
pub fn new_controller(entry: &EntryInstance) -> Option<TaskController> {
    let PlatformAddress::Http(address) = entry.settings.platform else {
        return None;
    };
    Some(TaskController::new(
        entry.store.clone(),
        TaskApi::http(address, TASK_CALL_TIMEOUT),
        entry.settings.centre.clone(),
        duty::duty_key(entry),
    ))
}

/// Runs a round with the configuration in force, if there is one.
pub fn round(
    entry: &EntryInstance,
    controller: &mut Option<TaskController>,
    duty: Option<Revision>,
) {
    let loaded = entry.tables.in_force.get();
    if let Some(controller) = controller
        && !loaded.configuration.history.lineage.is_empty()
    {
        controller.round(duty, loaded.configuration.generation(), &loaded.view);
    }
}

fn size(amounts: ResourceAmounts) -> Resources {
    Resources::new(amounts.cpu, amounts.memory, amounts.accelerators)
}

fn to_report(now: Duration, report: WorkerReport) -> ReceivedReport {
    let lines = report.attempts.into_iter().filter_map(|line| {
        Some(ReportedAttempt {
            attempt: line.attempt.parse().ok()?,
            outcome: line.outcome,
            usage: size(line.usage),
        })
    });
    ReceivedReport {
        worker: report.worker,
        at: now.saturating_sub(Duration::from_millis(report.age_ms)),
        boot: report.boot,
        attempts: lines.collect(),
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Adds the commands of an action; an action without commands is logged instead.
fn add_commands(action: SchedulerAction, commands: &mut BTreeMap<WorkerId, Vec<WorkerCommand>>) {
    let operation = action.operation();
    let mut add = |worker: WorkerId, attempt: AttemptId, operation, verb| {
        commands.entry(worker).or_default().push(WorkerCommand {
            operation,
            attempt: attempt.to_string(),
            verb,
        });
    };
    match action {
        SchedulerAction::Start {
            worker,
            attempt,
            size,
            boot,
            until,
            from,
        } => {
            let verb = CommandKind::Start {
                boot,
                until_ms: millis(until),
                size: ResourceAmounts {
                    cpu: size.cpu,
                    memory: size.memory,
                    accelerators: size.accelerators,
                },
                from: from.map(|from| from.to_string()),
            };
            add(worker, attempt, operation, verb);
        }
        SchedulerAction::Stop {
            worker,
            attempt,
            boot,
        } => add(worker, attempt, operation, CommandKind::Stop { boot }),
        SchedulerAction::Checkpoint {
            worker,
            attempt,
            boot,
        } => add(worker, attempt, operation, CommandKind::Checkpoint { boot }),
        SchedulerAction::Throttle {
            worker,
            attempt,
            cpu,
            ..
        } => add(worker, attempt, operation, CommandKind::Throttle { cpu }),
        SchedulerAction::Renew { worker, leases } => {
            for (attempt, until) in leases {
                let until_ms = millis(until);
                let operation = format!("{attempt}-renew-{until_ms}");
                add(
                    worker.clone(),
                    attempt,
                    operation,
                    CommandKind::Renew { until_ms },
                );
            }
        }
        SchedulerAction::Forget { worker, attempts } => {
            for attempt in attempts {
                let operation = format!("{attempt}-forget");
                add(worker.clone(), attempt, operation, CommandKind::Forget);
            }
        }
        SchedulerAction::SetAside { job, reason, .. } => {
            log_event!(Event::JobSetAside, job = job, reason = reason.code());
        }
        SchedulerAction::Quarantine { worker, .. } => {
            log_event!(Event::WorkerQuarantined, worker = worker);
        }
        SchedulerAction::Release { worker, .. } => {
            log_event!(Event::WorkerReleased, worker = worker);
        }
    }
}
