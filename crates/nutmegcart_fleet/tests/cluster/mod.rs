//! Workers that really run attempts, and the oracle over what they run.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_fleet::AttemptId;
use nutmegcart_fleet::AttemptState;
use nutmegcart_fleet::ReceivedReport;
use nutmegcart_fleet::Resources;
use nutmegcart_fleet::SchedulerAction;
use nutmegcart_fleet::SchedulerSettings;
use nutmegcart_fleet::TaskScheduler;
use nutmegcart_fleet::TaskStatus;
use nutmegcart_fleet::Worker;
use nutmegcart_fleet::task_scheduler::SchedulerState;
use nutmegcart_fleet::worker::AttemptReport;
use nutmegcart_model::Document;
use nutmegcart_model::JobName;
use nutmegcart_model::Record;
use nutmegcart_model::TeamName;
use nutmegcart_model::WorkerId;
use nutmegcart_model::record::Job;
use nutmegcart_model::record::Team;
use serde_json::Value;
use serde_json::json;

/// Time for which a worker refuses attempts that it was told to forget or to stop.
const TOMBSTONE: Duration = Duration::from_mins(1);
/// Time between reports of a worker.
const REPORT: Duration = Duration::from_secs(1);

pub fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Parses a job; `extra` overrides fields of a small deferrable job of pool `a`.
pub fn job(name: &str, extra: &Value) -> Job {
    let mut value = json!({"schema": 2, "kind": "job", "name": name, "pool": "a",
        "cpu": 4000, "memory": 4000, "seconds": 5});
    let fields = extra
        .as_object()
        .expect("extra fields are an object")
        .clone();
    value.as_object_mut().expect("object").extend(fields);
    match Document::from_value(value).and_then(|document| document.record()) {
        Ok(Record::Job(job)) => job,
        other => panic!("not a job: {other:?}"),
    }
}

pub fn team(name: &str, cpu: u64) -> Team {
    Team {
        name: name.into(),
        cpu,
        memory: 1 << 40,
        accelerators: 100,
        urgent: None,
    }
}

struct Run {
    outcome: AttemptState,
    until: Duration,
    ends: Duration,
    with: AttemptState,
    forgotten: Option<Duration>,
    limit: Option<u64>,
}

/// A worker with a clock of its own.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a fault independent of the others"
)]
pub struct Machine {
    pub worker: Worker,
    pub boot: u64,
    pub up: bool,
    /// Whether calls and reports pass.
    pub linked: bool,
    pub fails: bool,
    /// Whether reports are lost while calls pass.
    pub mute: bool,
    /// How far the clock is behind, at most the bound on clock error.
    pub behind: Duration,
    runs: BTreeMap<AttemptId, Run>,
    reported: Duration,
}

impl Machine {
    pub fn running(&self) -> impl Iterator<Item = &AttemptId> {
        let runs = self.runs.iter();
        runs.filter(|(_, run)| run.outcome == AttemptState::Running)
            .map(|(attempt, _)| attempt)
    }

    fn clock(&self, now: Duration) -> Duration {
        now.saturating_sub(self.behind)
    }

    fn tick(&mut self, now: Duration) -> Vec<AttemptId> {
        let clock = self.clock(now);
        let mut done = Vec::new();
        for (attempt, run) in &mut self.runs {
            if run.outcome != AttemptState::Running {
                continue;
            }
            if run.ends <= now {
                run.outcome = run.with;
                if run.with == AttemptState::Done {
                    done.push(attempt.clone());
                }
            } else if clock >= run.until {
                run.outcome = AttemptState::Stopped;
            }
        }
        self.runs
            .retain(|_, run| run.forgotten.is_none_or(|end| now < end));
        done
    }
}

/// Scheduler, store and workers in virtual time.
pub struct Cluster {
    pub now: Duration,
    pub scheduler: TaskScheduler,
    pub machines: BTreeMap<WorkerId, Machine>,
    pub jobs: BTreeMap<JobName, Job>,
    pub teams: BTreeMap<TeamName, Team>,
    pub paused: bool,
    /// Messages to come whose answer, or which themselves, are lost or late.
    pub lose_answers: u32,
    pub lose_calls: u32,
    pub delay_calls: u32,
    pub lose_write: bool,
    pub lag: Duration,
    /// Time that a checkpoint takes.
    pub save: Duration,
    /// What happened, for golden files.
    pub log: Vec<String>,
    pub started: BTreeMap<AttemptId, Duration>,
    pub most_quarantined: usize,
    /// Real use of a task, by job; absent means the declared size.
    pub real: BTreeMap<JobName, Resources>,
    /// Jobs whose tasks fail everywhere.
    pub broken: BTreeSet<JobName>,
    stored: SchedulerState,
    cancelled: BTreeMap<(JobName, u32), u64>,
    succeeded: BTreeSet<(JobName, u32)>,
    late: Vec<(Duration, SchedulerAction)>,
    reports: Vec<(Duration, ReceivedReport)>,
}

impl Cluster {
    /// Creates workers `<pool><number>` of 16 cores and 64 GB, 4 to a rack.
    pub fn new(pools: &[(&str, usize)], jobs: Vec<Job>, teams: Vec<Team>) -> Self {
        let mut machines = BTreeMap::new();
        for (pool, size) in pools {
            for number in 0..*size {
                let worker = Worker {
                    id: format!("{pool}{number:02}").into(),
                    pool: (*pool).into(),
                    rack: format!("{pool}-r{}", number / 4).into(),
                    capacity: Resources::new(16_000, 64_000, 1),
                    leaving: false,
                };
                let machine = Machine {
                    worker: worker.clone(),
                    boot: 1,
                    up: true,
                    linked: true,
                    fails: false,
                    mute: false,
                    behind: ms(number as u64 % 3 * 900),
                    runs: BTreeMap::new(),
                    reported: Duration::ZERO,
                };
                machines.insert(worker.id.clone(), machine);
            }
        }
        let settings = SchedulerSettings::default();
        let mut cluster = Self {
            now: Duration::from_hours(1),
            scheduler: TaskScheduler::new(settings),
            machines,
            jobs: jobs
                .into_iter()
                .map(|job| (job.name.clone(), job))
                .collect(),
            teams: teams
                .into_iter()
                .map(|team| (team.name.clone(), team))
                .collect(),
            paused: false,
            lose_answers: 0,
            lose_calls: 0,
            delay_calls: 0,
            lose_write: false,
            lag: ms(0),
            save: ms(300),
            log: Vec::new(),
            started: BTreeMap::new(),
            most_quarantined: 0,
            real: BTreeMap::new(),
            broken: BTreeSet::new(),
            stored: SchedulerState::default(),
            cancelled: BTreeMap::new(),
            succeeded: BTreeSet::new(),
            late: Vec::new(),
            reports: Vec::new(),
        };
        cluster.configure();
        cluster
    }

    /// Hands the present configuration to the scheduler.
    pub fn configure(&mut self) {
        self.scheduler.set_teams(self.teams.values().cloned());
        self.scheduler
            .set_jobs(1, self.jobs.values().cloned().map(Arc::new));
        let workers = self.machines.values().map(|machine| machine.worker.clone());
        self.scheduler.set_workers(workers);
    }

    /// Replaces the scheduler by one that knows only what was written.
    pub fn restart(&mut self) {
        let text = serde_json::to_string(&self.stored).expect("state is JSON");
        let stored = serde_json::from_str(&text).expect("state is readable");
        self.scheduler = TaskScheduler::load(SchedulerSettings::default(), stored);
        self.configure();
    }

    pub fn cancel(&mut self, job: &str, indexes: impl Iterator<Item = u32>) {
        let counter = self.scheduler.state().counter;
        let spec = self.jobs.get_mut(job).expect("job exists");
        for index in indexes {
            spec.cancel.push(format!("{job}/{index}").into());
            let key = (spec.name.clone(), index);
            self.cancelled.entry(key).or_insert(counter);
        }
        self.configure();
    }

    pub fn step(&mut self, time: Duration) {
        self.now += time;
        let now = self.now;
        for machine in self.machines.values_mut().filter(|machine| machine.up) {
            for attempt in machine.tick(now) {
                self.succeeded.insert((attempt.job, attempt.index));
            }
            if machine.linked && !machine.mute && machine.reported + REPORT <= now {
                machine.reported = now;
                let report = report(machine, now, &self.jobs, &self.real);
                self.reports.push((now + self.lag, report));
            }
        }
        let late = std::mem::take(&mut self.late);
        for (due, action) in late {
            if due <= now {
                self.carry_out(&action);
            } else {
                self.late.push((due, action));
            }
        }
        if !self.paused {
            self.deliver_reports();
            self.round();
        }
        self.check();
    }

    /// Hands the reports that are due to the scheduler.
    pub fn deliver_reports(&mut self) {
        for (due, report) in std::mem::take(&mut self.reports) {
            if due <= self.now {
                self.scheduler.apply_report(self.now, &report);
            } else {
                self.reports.push((due, report));
            }
        }
    }

    /// Returns what a worker would report now.
    pub fn snapshot(&self, worker: &str) -> ReceivedReport {
        report(&self.machines[worker], self.now, &self.jobs, &self.real)
    }

    /// Runs for a time in steps of a quarter second.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step(ms(250));
        }
    }

    fn round(&mut self) {
        let plan = self.scheduler.plan(self.now);
        if plan.needs_write {
            if std::mem::take(&mut self.lose_write) {
                // The write may have been fenced off: the holder reads the state again.
                self.restart();
                return;
            }
            self.stored = self.scheduler.state().clone();
            self.scheduler.mark_written();
        }
        for action in plan.actions {
            self.log_action(&action);
            if take(&mut self.lose_calls) {
                continue;
            }
            if take(&mut self.delay_calls) {
                self.late.push((self.now + ms(7000), action));
                continue;
            }
            let answer = self.carry_out(&action);
            if let Some((worker, attempt, outcome)) = answer
                && !take(&mut self.lose_answers)
            {
                self.scheduler
                    .record_outcome(self.now, &worker, &attempt, outcome);
            }
        }
    }

    fn log_action(&mut self, action: &SchedulerAction) {
        if matches!(
            action,
            SchedulerAction::Renew { .. } | SchedulerAction::Forget { .. }
        ) {
            return;
        }
        let time = self
            .now
            .checked_sub(Duration::from_hours(1))
            .expect("later");
        let place = match action {
            SchedulerAction::Start { worker, size, .. } => {
                format!(" on {worker} with {} m", size.cpu)
            }
            SchedulerAction::Stop { worker, .. } | SchedulerAction::Checkpoint { worker, .. } => {
                format!(" on {worker}")
            }
            SchedulerAction::Throttle { worker, cpu, .. } => format!(" on {worker} to {cpu:?}"),
            SchedulerAction::SetAside { reason, .. } => format!(": {reason:?}"),
            _ => String::new(),
        };
        let line = format!("{:>7} {}{place}", time.as_millis(), action.operation());
        self.log.push(line);
    }

    pub fn carry_out(
        &mut self,
        action: &SchedulerAction,
    ) -> Option<(WorkerId, AttemptId, AttemptState)> {
        let (worker, attempt) = match action {
            SchedulerAction::Start {
                worker, attempt, ..
            }
            | SchedulerAction::Stop {
                worker, attempt, ..
            }
            | SchedulerAction::Checkpoint {
                worker, attempt, ..
            }
            | SchedulerAction::Throttle {
                worker, attempt, ..
            } => (worker, attempt),
            SchedulerAction::Renew { worker, leases } => {
                let machine = self.machines.get_mut(worker).filter(|m| m.up && m.linked)?;
                for (attempt, until) in leases {
                    if let Some(run) = machine.runs.get_mut(attempt) {
                        run.until = run.until.max(*until);
                    }
                }
                return None;
            }
            SchedulerAction::Forget { worker, attempts } => {
                let end = self.now + TOMBSTONE;
                let machine = self.machines.get_mut(worker).filter(|m| m.up && m.linked)?;
                for attempt in attempts {
                    if let Some(run) = machine.runs.get_mut(attempt) {
                        run.forgotten.get_or_insert(end);
                    }
                }
                return None;
            }
            _ => return None,
        };
        let now = self.now;
        let machine = self.machines.get_mut(worker).filter(|m| m.up && m.linked)?;
        let clock = machine.clock(now);
        let spec = self.jobs.get(&attempt.job);
        let fails = machine.fails || self.broken.contains(&attempt.job);
        let (time, with) = if fails {
            (ms(200), AttemptState::Failed)
        } else {
            let seconds = spec.and_then(|spec| spec.seconds).unwrap_or(1);
            (Duration::from_secs(seconds), AttemptState::Done)
        };
        let seal = Run {
            outcome: AttemptState::NotRun,
            until: Duration::ZERO,
            ends: Duration::ZERO,
            with,
            forgotten: None,
            limit: None,
        };
        let is_new = !machine.runs.contains_key(attempt);
        let meant = match action {
            SchedulerAction::Start { boot, .. }
            | SchedulerAction::Stop { boot, .. }
            | SchedulerAction::Checkpoint { boot, .. } => *boot,
            _ => machine.boot,
        };
        if is_new && meant != machine.boot {
            return Some((worker.clone(), attempt.clone(), AttemptState::Lost));
        }
        let run = machine.runs.entry(attempt.clone()).or_insert(seal);
        match action {
            SchedulerAction::Start { until, .. }
                if is_new && clock < *until && *until < clock + TOMBSTONE =>
            {
                run.outcome = AttemptState::Running;
                run.until = *until;
                run.ends = now + time;
            }
            SchedulerAction::Stop { .. } if run.outcome == AttemptState::Running => {
                run.outcome = AttemptState::Stopped;
            }
            SchedulerAction::Checkpoint { .. }
                if run.outcome == AttemptState::Running
                    && run.with != AttemptState::Checkpointed =>
            {
                run.ends = run.ends.min(now + self.save);
                run.with = AttemptState::Checkpointed;
            }
            SchedulerAction::Throttle { cpu, .. } => run.limit = *cpu,
            _ => {}
        }
        let outcome = run.outcome;
        if is_new && outcome == AttemptState::Running {
            self.check_start(attempt);
        }
        Some((worker.clone(), attempt.clone(), outcome))
    }

    /// The oracle's view of one real start.
    fn check_start(&mut self, attempt: &AttemptId) {
        self.started.insert(attempt.clone(), self.now);
        let key = (attempt.job.clone(), attempt.index);
        if let Some(counter) = self.cancelled.get(&key) {
            assert!(
                attempt.number <= *counter,
                "{attempt} was ordered after its cancellation"
            );
        }
        let fate = self.scheduler.task_status(&attempt.job, attempt.index);
        assert_ne!(
            fate,
            TaskStatus::NotRun,
            "{attempt} runs although reported as not run"
        );
        assert_ne!(
            fate,
            TaskStatus::Done,
            "{attempt} runs although its task is done"
        );
        let idempotent = self
            .jobs
            .get(&attempt.job)
            .is_some_and(|job| job.idempotent);
        let running = self.machines.values().flat_map(Machine::running);
        let same =
            running.filter(|other| (&other.job, other.index) == (&attempt.job, attempt.index));
        assert!(idempotent || same.count() == 1, "{attempt} runs twice");
    }

    /// Invariants that hold after every step.
    fn check(&mut self) {
        let mut held: BTreeMap<&TeamName, u64> = BTreeMap::new();
        for attempt in self.machines.values().flat_map(Machine::running) {
            let job = &self.jobs[&attempt.job];
            if let Some(team) = &job.team {
                *held.entry(team).or_default() += job.cpu;
            }
        }
        for (team, cpu) in held {
            assert!(
                cpu <= self.teams[team].cpu,
                "{team} holds {cpu} of its quota"
            );
        }
        let mut pools: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for machine in self.machines.values() {
            let counts = pools.entry(&machine.worker.pool).or_default();
            counts.0 += 1;
            counts.1 += usize::from(self.scheduler.is_quarantined(&machine.worker.id));
        }
        for (pool, (size, quarantined)) in pools {
            assert!(
                quarantined * 10 <= size,
                "{quarantined} of {size} quarantined in {pool}"
            );
            self.most_quarantined = self.most_quarantined.max(quarantined);
        }
    }

    /// Returns whether a task ever really started.
    pub fn ran(&self, job: &str, index: u32) -> bool {
        let mut started = self.started.keys();
        started.any(|attempt| &*attempt.job == job && attempt.index == index)
    }

    pub fn reboot(&mut self, worker: &str) {
        let machine = self.machines.get_mut(worker).expect("worker exists");
        machine.boot += 1;
        machine.runs.clear();
        machine.up = true;
    }

    pub fn machine(&mut self, worker: &str) -> &mut Machine {
        self.machines.get_mut(worker).expect("worker exists")
    }
}

fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}

fn report(
    machine: &Machine,
    now: Duration,
    jobs: &BTreeMap<JobName, Job>,
    real: &BTreeMap<JobName, Resources>,
) -> ReceivedReport {
    let runs = machine.runs.iter();
    let lines = runs.filter(|(_, run)| run.forgotten.is_none());
    let attempts = lines.map(|(attempt, run)| {
        let declared = jobs.get(&attempt.job).map(Resources::declared);
        let used = real.get(&attempt.job).copied().or(declared);
        let mut usage = used.unwrap_or_default();
        usage.cpu = usage.cpu.min(run.limit.unwrap_or(u64::MAX));
        AttemptReport {
            attempt: attempt.clone(),
            outcome: run.outcome,
            usage,
        }
    });
    ReceivedReport {
        worker: machine.worker.id.clone(),
        at: now,
        boot: machine.boot,
        attempts: attempts.collect(),
    }
}
