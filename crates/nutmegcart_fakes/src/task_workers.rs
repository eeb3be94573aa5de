//! Workers that run tasks under leases, over HTTP on loopback, with scripted faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use nutmegcart_model::WorkerId;
use nutmegcart_platform::task_api::AttemptReport;
use nutmegcart_platform::task_api::AttemptState;
use nutmegcart_platform::task_api::CommandAnswer;
use nutmegcart_platform::task_api::CommandAnswerList;
use nutmegcart_platform::task_api::CommandKind;
use nutmegcart_platform::task_api::CommandList;
use nutmegcart_platform::task_api::ListedWorker;
use nutmegcart_platform::task_api::ReportList;
use nutmegcart_platform::task_api::ResourceAmounts;
use nutmegcart_platform::task_api::WorkerCommand;
use nutmegcart_platform::task_api::WorkerList;
use nutmegcart_platform::task_api::WorkerReport;
use parking_lot::Mutex;

use crate::oracle::Oracle;
use crate::server;
use crate::server::Request;
use crate::server::Response;

/// Time for which a forgotten attempt is still refused, and longest lease of an attempt.
const TOMBSTONE_RETENTION: Duration = Duration::from_mins(1);

/// Faults of one worker; the default has none.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkerFaults {
    /// Commands do not reach the worker, and its reports are missing.
    pub disconnected: bool,
    /// Each attempt fails at its start.
    pub failing: bool,
    /// Number of next command requests whose response is lost after they took effect.
    pub lost_responses: u32,
}

struct TaskAttempt {
    outcome: AttemptState,
    lease_end: Duration,
    usage: ResourceAmounts,
    cpu_limit: Option<u64>,
    /// Time at which a forgotten attempt is dropped.
    dropped_at: Option<Duration>,
}

struct TaskWorker {
    listed: ListedWorker,
    boot: u64,
    faults: WorkerFaults,
    attempts: BTreeMap<String, TaskAttempt>,
}

#[derive(Default)]
struct State {
    workers: BTreeMap<WorkerId, TaskWorker>,
    /// Time by which the workers' clock is ahead of the system clock.
    clock_offset: Duration,
    command_requests: u64,
}

/// The workers of a data centre; clones share them.
#[derive(Clone)]
pub struct TaskWorkers {
    /// Address of the HTTP interface for tasks.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    oracle: Oracle,
}

impl TaskWorkers {
    /// Starts the HTTP interface without any workers; the oracle counts the runs of each task.
    #[must_use]
    pub fn start(oracle: &Oracle) -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let handler_state = state.clone();
        let handler_oracle = oracle.clone();
        let address =
            server::start(move |request| handle(request, &handler_state, &handler_oracle));
        Self {
            address,
            state,
            oracle: oracle.clone(),
        }
    }

    /// Adds a worker without faults and attempts.
    pub fn add(&self, listed: ListedWorker) {
        let worker = TaskWorker {
            boot: 1,
            faults: WorkerFaults::default(),
            attempts: BTreeMap::new(),
            listed,
        };
        let id = worker.listed.id.clone();
        self.state.lock().workers.insert(id, worker);
    }

    /// Changes the faults of a worker for all further requests.
    pub fn set_faults(&self, id: &str, change: impl FnOnce(&mut WorkerFaults)) {
        if let Some(worker) = self.state.lock().workers.get_mut(id) {
            change(&mut worker.faults);
        }
    }

    /// Sets whether the worker list shows that a worker is being drained.
    pub fn set_leaving(&self, id: &str, leaving: bool) {
        if let Some(worker) = self.state.lock().workers.get_mut(id) {
            worker.listed.leaving = leaving;
        }
    }

    /// Reboots a worker, which loses all its attempts.
    pub fn reboot(&self, id: &str) {
        if let Some(worker) = self.state.lock().workers.get_mut(id) {
            worker.boot += 1;
            worker.attempts.clear();
        }
    }

    /// Advances the workers' clock, so that leases expire without a wait.
    pub fn advance_clock(&self, time: Duration) {
        self.state.lock().clock_offset += time;
    }

    /// Ends every running attempt of a task with the given outcome.
    pub fn finish(&self, task: &str, outcome: AttemptState) {
        for worker in self.state.lock().workers.values_mut() {
            for (id, attempt) in &mut worker.attempts {
                if attempt.outcome == AttemptState::Running && task_of(id) == task {
                    attempt.outcome = outcome;
                    self.oracle.record_finish(task);
                }
            }
        }
    }

    /// Sets the resource usage that the attempts of a task report.
    pub fn set_usage(&self, task: &str, usage: ResourceAmounts) {
        for worker in self.state.lock().workers.values_mut() {
            let attempts = worker.attempts.iter_mut();
            for (_, attempt) in attempts.filter(|(id, _)| task_of(id) == task) {
                attempt.usage = usage;
            }
        }
    }

    /// Returns the running attempts with their workers.
    #[must_use]
    pub fn running(&self) -> Vec<(WorkerId, String)> {
        let mut state = self.state.lock();
        let now = state.clock();
        let mut running = Vec::new();
        for (id, worker) in &mut state.workers {
            worker.expire_leases(now);
            let attempts = worker.attempts.iter();
            let live = attempts.filter(|(_, attempt)| attempt.outcome == AttemptState::Running);
            running.extend(live.map(|(attempt, _)| (id.clone(), attempt.clone())));
        }
        running
    }

    /// Returns the number of command requests so far.
    #[must_use]
    pub fn command_requests(&self) -> u64 {
        self.state.lock().command_requests
    }
}

impl State {
    fn clock(&self) -> Duration {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        since.unwrap_or_default() + self.clock_offset
    }
}

impl TaskWorker {
    /// Stops attempts whose lease has expired, and drops forgotten ones after their retention.
    fn expire_leases(&mut self, now: Duration) {
        for attempt in self.attempts.values_mut() {
            if attempt.outcome == AttemptState::Running && attempt.lease_end <= now {
                attempt.outcome = AttemptState::Stopped;
            }
        }
        self.attempts
            .retain(|_, attempt| attempt.dropped_at.is_none_or(|end| now < end));
    }

    /// Executes a command and returns the outcome of its attempt so far.
    fn execute(&mut self, command: &WorkerCommand, now: Duration, oracle: &Oracle) -> AttemptState {
        let known = self.attempts.contains_key(&command.attempt);
        let boot = match command.verb {
            CommandKind::Start { boot, .. }
            | CommandKind::Stop { boot }
            | CommandKind::Checkpoint { boot } => boot,
            CommandKind::Renew { .. } | CommandKind::Throttle { .. } | CommandKind::Forget => {
                self.boot
            }
        };
        if !known && boot != self.boot {
            return AttemptState::Lost;
        }
        if !known
            && matches!(
                command.verb,
                CommandKind::Renew { .. } | CommandKind::Throttle { .. } | CommandKind::Forget
            )
        {
            return AttemptState::Lost;
        }
        let failing = self.faults.failing;
        let attempt = self
            .attempts
            .entry(command.attempt.clone())
            .or_insert_with(|| TaskAttempt {
                outcome: AttemptState::NotRun,
                lease_end: Duration::ZERO,
                usage: ResourceAmounts::default(),
                cpu_limit: None,
                dropped_at: None,
            });
        let running = attempt.outcome == AttemptState::Running;
        match &command.verb {
            CommandKind::Start { until_ms, size, .. } if !known => {
                let until = Duration::from_millis(*until_ms);
                if now < until && until <= now + TOMBSTONE_RETENTION {
                    oracle.record_start(task_of(&command.attempt));
                    attempt.lease_end = until;
                    attempt.usage = *size;
                    attempt.outcome = if failing {
                        AttemptState::Failed
                    } else {
                        AttemptState::Running
                    };
                }
            }
            CommandKind::Renew { until_ms } if running => {
                attempt.lease_end = attempt.lease_end.max(Duration::from_millis(*until_ms));
            }
            CommandKind::Stop { .. } if running => attempt.outcome = AttemptState::Stopped,
            CommandKind::Checkpoint { .. } if running => {
                attempt.outcome = AttemptState::Checkpointed;
            }
            CommandKind::Throttle { cpu } => attempt.cpu_limit = *cpu,
            CommandKind::Forget if !running => {
                attempt.dropped_at.get_or_insert(now + TOMBSTONE_RETENTION);
            }
            _ => {}
        }
        attempt.outcome
    }

    fn report(&self) -> WorkerReport {
        let attempts = self.attempts.iter();
        let lines = attempts
            .filter(|(_, attempt)| attempt.dropped_at.is_none())
            .map(|(id, attempt)| {
                let mut usage = attempt.usage;
                usage.cpu = usage.cpu.min(attempt.cpu_limit.unwrap_or(u64::MAX));
                AttemptReport {
                    attempt: id.clone(),
                    outcome: attempt.outcome,
                    usage,
                }
            });
        WorkerReport {
            worker: self.listed.id.clone(),
            age_ms: 0,
            boot: self.boot,
            attempts: lines.collect(),
        }
    }
}

/// Returns the task part of an attempt identifier, `<task>#<attempt>`.
fn task_of(attempt: &str) -> &str {
    attempt.split_once('#').map_or(attempt, |(task, _)| task)
}

fn handle(request: &Request, state: &Mutex<State>, oracle: &Oracle) -> Response {
    let path = request.uri().path().to_owned();
    let body = request.body();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    let mut state = state.lock();
    let now = state.clock();
    match parts[..] {
        ["v1", "centres", _, "workers"] => {
            let workers = state.workers.values();
            let workers = workers.map(|worker| worker.listed.clone()).collect();
            json(&WorkerList { workers })
        }
        ["v1", "centres", _, "reports"] => {
            let workers = state.workers.values_mut();
            let reports = workers
                .filter(|worker| !worker.faults.disconnected)
                .map(|worker| {
                    worker.expire_leases(now);
                    worker.report()
                });
            json(&ReportList {
                reports: reports.collect(),
            })
        }
        ["v1", "workers", id, "tasks"] => {
            state.command_requests += 1;
            let Some(worker) = state.workers.get_mut(id) else {
                return server::response(404, "no such worker");
            };
            if worker.faults.disconnected {
                drop(state);
                server::disconnect();
            }
            let Ok(list) = serde_json::from_slice::<CommandList>(body) else {
                return server::response(400, "malformed commands");
            };
            worker.expire_leases(now);
            let answers = list.commands.iter().map(|command| CommandAnswer {
                attempt: command.attempt.clone(),
                outcome: worker.execute(command, now, oracle),
            });
            let answers = answers.collect();
            if worker.faults.lost_responses > 0 {
                worker.faults.lost_responses -= 1;
                drop(state);
                server::disconnect();
            }
            json(&CommandAnswerList { answers })
        }
        _ => server::response(404, "no such call"),
    }
}

fn json(body: &impl serde::Serialize) -> Response {
    server::response(200, serde_json::to_vec(body).expect("body is serialisable"))
}
