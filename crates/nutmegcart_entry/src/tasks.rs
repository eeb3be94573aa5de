//! Placement of a data centre's tasks, run by its duty holder.
//!
//! The state is written, fenced by the duty key, before any command is sent to a worker. While
//! the store is unavailable, only leases within the written permit are renewed.

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
use nutmegcart_fleet::worker::AttemptReport;
use nutmegcart_model::DataCentre;
use nutmegcart_model::Event;
use nutmegcart_model::JobName;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;
use nutmegcart_platform::Revision;
use nutmegcart_platform::Store;
use nutmegcart_platform::Tasks;
use nutmegcart_platform::Txn;
use nutmegcart_platform::http::HttpError;
use nutmegcart_platform::store::Result;
use nutmegcart_platform::tasks::Amounts;
use nutmegcart_platform::tasks::Answer;
use nutmegcart_platform::tasks::Command;
use nutmegcart_platform::tasks::Verb;
use nutmegcart_platform::tasks::WorkerReport;

use crate::duty;
use crate::entry_instance::EntryInstance;
use crate::entry_settings::PlatformAddress;

/// Prefix of the task state of each data centre.
pub const TASKS: &str = "/nutmegcart/task/";
/// Prefix of the data centre that runs each job.
pub const HOMES: &str = "/nutmegcart/home/";
/// Longest wait for an answer of the task interface.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Workers that are called at the same time.
const CALLS: usize = 8;

/// The scheduler with the state of its last write.
struct Held {
    scheduler: TaskScheduler,
    modified: Revision,
    created: Revision,
    /// Generation of the configuration that the scheduler has.
    generation: Option<Generation>,
    homes: BTreeMap<JobName, DataCentre>,
    /// State whose write was not answered, with the effects that it announces.
    unwritten: Option<(Vec<u8>, Vec<SchedulerAction>)>,
}

/// Runs the scheduler of one data centre while its duty is held.
pub struct Runner {
    store: Store,
    tasks: Tasks,
    centre: DataCentre,
    duty_key: String,
    started: Instant,
    /// Time since the Unix epoch at the start; later adjustments of the clock have no effect.
    epoch: Duration,
    held: Option<Held>,
    is_reachable: bool,
}

impl Runner {
    /// Creates a runner that compares the duty key in every write.
    #[must_use]
    pub fn new(store: Store, tasks: Tasks, centre: DataCentre, duty_key: String) -> Self {
        let epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Self {
            store,
            tasks,
            centre,
            duty_key,
            started: Instant::now(),
            epoch: epoch.unwrap_or_default(),
            held: None,
            is_reachable: true,
        }
    }

    /// Returns the scheduler, if the duty is held and the state was read.
    #[must_use]
    pub fn scheduler(&self) -> Option<&TaskScheduler> {
        self.held.as_ref().map(|held| &held.scheduler)
    }

    /// Runs one round; `duty` is the creation revision of the duty key while it is held.
    ///
    /// Call it only with a whole configuration: a job that is missing is cancelled.
    pub fn round(&mut self, duty: Option<Revision>, generation: Generation, view: &ConfigView) {
        let Some(created) = duty else {
            self.held = None;
            return;
        };
        if self
            .held
            .as_ref()
            .is_some_and(|held| held.created != created)
        {
            self.held = None;
        }
        let Some(mut held) = self.held.take().or_else(|| self.load(created)) else {
            return;
        };
        if self.observe(&mut held, generation, view) {
            match self.decide(&mut held) {
                Ok(true) => {}
                Ok(false) => {
                    log_event!(Event::TaskStateConflict, centre = self.centre);
                    return;
                }
                Err(_) => self.renew(&mut held),
            }
        } else {
            self.renew(&mut held);
        }
        self.held = Some(held);
    }

    /// Keeps tasks running while nothing can be decided.
    fn renew(&self, held: &mut Held) {
        let renewals = held.scheduler.renew(self.now());
        self.carry_out(&mut held.scheduler, renewals);
    }

    fn now(&self) -> Duration {
        self.epoch + self.started.elapsed()
    }

    fn key(&self) -> String {
        format!("{TASKS}{}", self.centre)
    }

    fn load(&self, created: Revision) -> Option<Held> {
        let key = self.key();
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
        Some(Held {
            scheduler: TaskScheduler::load(SchedulerSettings::default(), state),
            modified,
            created,
            generation: None,
            homes: BTreeMap::new(),
            unwritten: None,
        })
    }

    /// Reads configuration, workers and reports; returns whether a decision can be made.
    fn observe(&mut self, held: &mut Held, generation: Generation, view: &ConfigView) -> bool {
        let lists = self.tasks.workers(&self.centre).and_then(|workers| {
            let reports = self.tasks.reports(&self.centre)?;
            Ok((workers, reports))
        });
        let (listed, reports) = match lists {
            Ok(lists) => lists,
            Err(error) => {
                self.note_unreachable(&error);
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
        // A successor that lags behind its predecessor's configuration must not cancel new jobs.
        let is_current = generation.0 >= held.scheduler.state().generation;
        let is_new = is_current && held.generation != Some(generation);
        if is_new && self.claim(held, view, &workers).is_ok() {
            let ours = view.jobs.values();
            let ours = ours.filter(|job| held.homes.get(&job.name) == Some(&self.centre));
            held.scheduler
                .set_jobs(generation.0, ours.cloned().map(Arc::new));
            held.scheduler.set_teams(view.teams.values().cloned());
            held.generation = Some(generation);
        }
        held.scheduler.set_workers(workers);
        let now = self.now();
        for report in reports {
            held.scheduler.apply_report(now, &convert(now, report));
        }
        // Without the configuration every job would look cancelled.
        held.generation.is_some()
    }

    fn note_unreachable(&mut self, error: &HttpError) {
        if self.is_reachable {
            log_event!(Event::WorkersUnreachable, reason = error);
        }
        self.is_reachable = false;
    }

    /// Claims jobs that no data centre runs and whose pool has workers here.
    ///
    /// The first data centre to create the key runs the job, so no two ever start its tasks.
    fn claim(&self, held: &mut Held, view: &ConfigView, workers: &[Worker]) -> Result<()> {
        let snapshot = self.store.range(HOMES)?;
        held.homes = snapshot
            .entries
            .iter()
            .filter_map(|found| {
                let job = found.key.strip_prefix(HOMES)?;
                let centre = std::str::from_utf8(&found.value).ok()?;
                Some((job.into(), centre.into()))
            })
            .collect();
        for job in view.jobs.values() {
            let is_ours = workers.iter().any(|worker| worker.pool == job.pool);
            if !is_ours || held.homes.contains_key(&job.name) {
                continue;
            }
            let key = format!("{HOMES}{}", job.name);
            let txn = Txn::default()
                .held(&self.duty_key, held.created)
                .absent(&key)
                .put(key, self.centre.as_bytes().to_vec());
            if self.store.txn(&txn)?.committed {
                held.homes.insert(job.name.clone(), self.centre.clone());
            }
        }
        Ok(())
    }

    /// Plans, writes and carries out; false if another holder wrote the state.
    fn decide(&self, held: &mut Held) -> Result<bool> {
        if let Some((attempted, actions)) = held.unwritten.take()
            && !self.write(held, &attempted, actions)?
        {
            return Ok(false);
        }
        let now = self.now();
        let decision = held.scheduler.plan(now);
        if decision.needs_write {
            return self.write(held, &[], decision.actions);
        }
        self.carry_out(&mut held.scheduler, decision.actions);
        Ok(true)
    }

    /// Writes the present state, then carries out the effects that it announces.
    ///
    /// A write whose answer was lost may have taken effect, so a refused write is compared with
    /// what the store holds: the same state, or the one attempted before.
    fn write(
        &self,
        held: &mut Held,
        attempted: &[u8],
        actions: Vec<SchedulerAction>,
    ) -> Result<bool> {
        let value = serde_json::to_vec(held.scheduler.state()).expect("state is serialisable");
        match self.swap(held, attempted, &value) {
            Ok(true) => {
                held.scheduler.mark_written();
                self.carry_out(&mut held.scheduler, actions);
                Ok(true)
            }
            Ok(false) => Ok(false),
            Err(error) => {
                held.unwritten = Some((value, actions));
                Err(error)
            }
        }
    }

    fn swap(&self, held: &mut Held, attempted: &[u8], value: &[u8]) -> Result<bool> {
        let key = self.key();
        loop {
            let txn = Txn::default()
                .held(&self.duty_key, held.created)
                .unchanged(&key, held.modified)
                .put(&key, value.to_vec());
            let reply = self.store.txn(&txn)?;
            if reply.committed {
                held.modified = reply.revision;
                return Ok(true);
            }
            let duty = self.store.range(&self.duty_key)?;
            let duty = duty.get(&self.duty_key);
            let stored = self.store.range(&key)?;
            let Some(found) = stored.get(&key) else {
                return Ok(false);
            };
            let is_new = found.modified != held.modified;
            if !is_new || duty.is_none_or(|duty| duty.created != held.created) {
                return Ok(false);
            }
            held.modified = found.modified;
            if found.value == value {
                return Ok(true);
            }
            if found.value != attempted {
                return Ok(false);
            }
        }
    }

    /// Sends all commands, those of one worker in one call, and takes in the answers.
    fn carry_out(&self, scheduler: &mut TaskScheduler, actions: Vec<SchedulerAction>) {
        let mut commands: BTreeMap<WorkerId, Vec<Command>> = BTreeMap::new();
        for action in actions {
            collect(action, &mut commands);
        }
        let calls: Vec<(WorkerId, Vec<Command>)> = commands.into_iter().collect();
        for group in calls.chunks(CALLS) {
            let answers: Vec<(&WorkerId, &[Command], Vec<Answer>)> = scope(|scope| {
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
                        // A call without an answer is repeated under the same identifiers.
                        let answers = thread.join().ok()?.ok()?;
                        Some((worker, commands, answers))
                    });
                joined.collect()
            });
            let now = self.now();
            for (worker, commands, answers) in answers {
                for (command, answer) in commands.iter().zip(answers) {
                    // The answer to a forgotten attempt would only ask for forgetting it again.
                    if command.verb == Verb::Forget {
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

/// Creates the runner of an entry instance; a platform in memory has no workers.
pub fn runner(entry: &EntryInstance) -> Option<Runner> {
    let PlatformAddress::Http(address) = entry.settings.platform else {
        return None;
    };
    Some(Runner::new(
        entry.store.clone(),
        Tasks::http(address, TIMEOUT),
        entry.settings.centre.clone(),
        duty::duty_key(entry),
    ))
}

/// Runs a round with the configuration in effect, once there is one.
pub fn round(entry: &EntryInstance, runner: &mut Option<Runner>, duty: Option<Revision>) {
    let loaded = entry.tables.in_force.get();
    if let Some(runner) = runner
        && !loaded.configuration.history.lineage.is_empty()
    {
        runner.round(duty, loaded.configuration.generation(), &loaded.view);
    }
}

fn size(amounts: Amounts) -> Resources {
    Resources::new(amounts.cpu, amounts.memory, amounts.accelerators)
}

fn convert(now: Duration, report: WorkerReport) -> ReceivedReport {
    let lines = report.attempts.into_iter().filter_map(|line| {
        Some(AttemptReport {
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

/// Adds the commands of an action; an action without any is logged.
fn collect(action: SchedulerAction, commands: &mut BTreeMap<WorkerId, Vec<Command>>) {
    let operation = action.operation();
    let mut add = |worker: WorkerId, attempt: AttemptId, operation, verb| {
        commands.entry(worker).or_default().push(Command {
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
            let verb = Verb::Start {
                boot,
                until_ms: millis(until),
                size: Amounts {
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
        } => add(worker, attempt, operation, Verb::Stop { boot }),
        SchedulerAction::Checkpoint {
            worker,
            attempt,
            boot,
        } => add(worker, attempt, operation, Verb::Checkpoint { boot }),
        SchedulerAction::Throttle {
            worker,
            attempt,
            cpu,
            ..
        } => add(worker, attempt, operation, Verb::Throttle { cpu }),
        SchedulerAction::Renew { worker, leases } => {
            for (attempt, until) in leases {
                let until_ms = millis(until);
                let operation = format!("{attempt}-renew-{until_ms}");
                add(worker.clone(), attempt, operation, Verb::Renew { until_ms });
            }
        }
        SchedulerAction::Forget { worker, attempts } => {
            for attempt in attempts {
                let operation = format!("{attempt}-forget");
                add(worker.clone(), attempt, operation, Verb::Forget);
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
