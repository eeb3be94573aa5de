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
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::Response;
use parking_lot::Mutex;

use crate::oracle::Oracle;
use crate::server;

/// Time for which an attempt that was forgotten or sealed is still refused, and longest lease.
const TOMBSTONE: Duration = Duration::from_mins(1);

/// Faults of one worker, switchable at any time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkerFaults {
    /// Neither commands nor reports pass.
    pub cut: bool,
    /// Every task fails at once.
    pub fails: bool,
    /// Number of command calls to come whose answer is lost after they took effect.
    pub lost_responses: u32,
}

struct Attempt {
    outcome: AttemptState,
    until: Duration,
    usage: ResourceAmounts,
    limit: Option<u64>,
    forgotten: Option<Duration>,
}

struct Machine {
    listed: ListedWorker,
    boot: u64,
    faults: WorkerFaults,
    attempts: BTreeMap<String, Attempt>,
}

#[derive(Default)]
struct State {
    machines: BTreeMap<WorkerId, Machine>,
    /// How far the workers' clock is ahead of this machine's.
    ahead: Duration,
    commands: u64,
}

/// All workers of a data centre; clones share them.
#[derive(Clone)]
pub struct TaskWorkers {
    /// Address of the task interface.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    oracle: Oracle,
}

impl TaskWorkers {
    /// Starts the task interface without any worker; the oracle counts starts by task.
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

    /// Adds a worker.
    pub fn add(&self, listed: ListedWorker) {
        let machine = Machine {
            boot: 1,
            faults: WorkerFaults::default(),
            attempts: BTreeMap::new(),
            listed,
        };
        let id = machine.listed.id.clone();
        self.state.lock().machines.insert(id, machine);
    }

    /// Changes the faults of a worker.
    pub fn set_faults(&self, worker: &str, change: impl FnOnce(&mut WorkerFaults)) {
        if let Some(machine) = self.state.lock().machines.get_mut(worker) {
            change(&mut machine.faults);
        }
    }

    /// Marks a worker as one to be emptied, or not.
    pub fn set_leaving(&self, worker: &str, leaving: bool) {
        if let Some(machine) = self.state.lock().machines.get_mut(worker) {
            machine.listed.leaving = leaving;
        }
    }

    /// Reboots a worker: running attempts end, and nothing is known of earlier ones.
    pub fn reboot(&self, worker: &str) {
        if let Some(machine) = self.state.lock().machines.get_mut(worker) {
            machine.boot += 1;
            machine.attempts.clear();
        }
    }

    /// Lets time pass on the workers' clock, so that leases lapse without waiting.
    pub fn advance_clock(&self, time: Duration) {
        self.state.lock().ahead += time;
    }

    /// Ends every running attempt of a task with the outcome.
    pub fn finish(&self, task: &str, outcome: AttemptState) {
        for machine in self.state.lock().machines.values_mut() {
            for (id, attempt) in &mut machine.attempts {
                if attempt.outcome == AttemptState::Running && task_of(id) == task {
                    attempt.outcome = outcome;
                    self.oracle.record_finish(task);
                }
            }
        }
    }

    /// Sets what the running attempts of a task use from now on.
    pub fn set_usage(&self, task: &str, usage: ResourceAmounts) {
        for machine in self.state.lock().machines.values_mut() {
            let attempts = machine.attempts.iter_mut();
            for (_, attempt) in attempts.filter(|(id, _)| task_of(id) == task) {
                attempt.usage = usage;
            }
        }
    }

    /// Returns the attempts that run now, with their workers.
    #[must_use]
    pub fn running(&self) -> Vec<(WorkerId, String)> {
        let mut state = self.state.lock();
        let now = state.clock();
        let mut running = Vec::new();
        for (id, machine) in &mut state.machines {
            machine.lapse(now);
            let attempts = machine.attempts.iter();
            let live = attempts.filter(|(_, attempt)| attempt.outcome == AttemptState::Running);
            running.extend(live.map(|(attempt, _)| (id.clone(), attempt.clone())));
        }
        running
    }

    /// Returns the number of command calls so far.
    #[must_use]
    pub fn commands(&self) -> u64 {
        self.state.lock().commands
    }
}

impl State {
    fn clock(&self) -> Duration {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        since.unwrap_or_default() + self.ahead
    }
}

impl Machine {
    /// Ends attempts whose lease is over and drops what may be forgotten.
    fn lapse(&mut self, now: Duration) {
        for attempt in self.attempts.values_mut() {
            if attempt.outcome == AttemptState::Running && attempt.until <= now {
                attempt.outcome = AttemptState::Stopped;
            }
        }
        self.attempts
            .retain(|_, attempt| attempt.forgotten.is_none_or(|end| now < end));
    }

    /// Carries out a command and returns how its attempt stands.
    fn carry_out(
        &mut self,
        command: &WorkerCommand,
        now: Duration,
        oracle: &Oracle,
    ) -> AttemptState {
        let known = self.attempts.contains_key(&command.attempt);
        let meant = match command.verb {
            CommandKind::Start { boot, .. }
            | CommandKind::Stop { boot }
            | CommandKind::Checkpoint { boot } => boot,
            CommandKind::Renew { .. } | CommandKind::Throttle { .. } | CommandKind::Forget => {
                self.boot
            }
        };
        if !known && meant != self.boot {
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
        let fails = self.faults.fails;
        let attempt = self
            .attempts
            .entry(command.attempt.clone())
            .or_insert_with(|| Attempt {
                outcome: AttemptState::NotRun,
                until: Duration::ZERO,
                usage: ResourceAmounts::default(),
                limit: None,
                forgotten: None,
            });
        let running = attempt.outcome == AttemptState::Running;
        match &command.verb {
            CommandKind::Start { until_ms, size, .. } if !known => {
                let until = Duration::from_millis(*until_ms);
                if now < until && until <= now + TOMBSTONE {
                    oracle.record_start(task_of(&command.attempt));
                    attempt.until = until;
                    attempt.usage = *size;
                    attempt.outcome = if fails {
                        AttemptState::Failed
                    } else {
                        AttemptState::Running
                    };
                }
            }
            CommandKind::Renew { until_ms } if running => {
                attempt.until = attempt.until.max(Duration::from_millis(*until_ms));
            }
            CommandKind::Stop { .. } if running => attempt.outcome = AttemptState::Stopped,
            CommandKind::Checkpoint { .. } if running => {
                attempt.outcome = AttemptState::Checkpointed;
            }
            CommandKind::Throttle { cpu } => attempt.limit = *cpu,
            CommandKind::Forget if !running => {
                attempt.forgotten.get_or_insert(now + TOMBSTONE);
            }
            _ => {}
        }
        attempt.outcome
    }

    fn report(&self) -> WorkerReport {
        let attempts = self.attempts.iter();
        let lines = attempts
            .filter(|(_, attempt)| attempt.forgotten.is_none())
            .map(|(id, attempt)| {
                let mut usage = attempt.usage;
                usage.cpu = usage.cpu.min(attempt.limit.unwrap_or(u64::MAX));
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

/// Returns the task of an attempt identifier.
fn task_of(attempt: &str) -> &str {
    attempt.split_once('#').map_or(attempt, |(task, _)| task)
}

fn handle(request: &mut Request<Body>, state: &Mutex<State>, oracle: &Oracle) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let body = server::read_body(request);
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    let mut state = state.lock();
    let now = state.clock();
    match parts[..] {
        ["v1", "centres", _, "workers"] => {
            let machines = state.machines.values();
            let workers = machines.map(|machine| machine.listed.clone()).collect();
            json(&WorkerList { workers })
        }
        ["v1", "centres", _, "reports"] => {
            let linked = state.machines.values_mut();
            let reports = linked.filter(|machine| !machine.faults.cut).map(|machine| {
                machine.lapse(now);
                machine.report()
            });
            json(&ReportList {
                reports: reports.collect(),
            })
        }
        ["v1", "workers", id, "tasks"] => {
            state.commands += 1;
            let Some(machine) = state.machines.get_mut(id) else {
                return server::response(404, "no such worker");
            };
            if machine.faults.cut {
                drop(state);
                server::disconnect();
            }
            let Ok(list) = serde_json::from_slice::<CommandList>(&body) else {
                return server::response(400, "malformed commands");
            };
            machine.lapse(now);
            let answers = list.commands.iter().map(|command| CommandAnswer {
                attempt: command.attempt.clone(),
                outcome: machine.carry_out(command, now, oracle),
            });
            let answers = answers.collect();
            if machine.faults.lost_responses > 0 {
                machine.faults.lost_responses -= 1;
                drop(state);
                server::disconnect();
            }
            json(&CommandAnswerList { answers })
        }
        _ => server::response(404, "no such call"),
    }
}

fn json(body: &impl serde::Serialize) -> Response<Body> {
    server::response(200, serde_json::to_vec(body).expect("body is serialisable"))
}
