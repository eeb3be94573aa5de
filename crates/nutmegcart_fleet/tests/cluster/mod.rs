//! Simulated cluster of workers that run attempts, with checks independent of the scheduler.

#![allow(dead_code, reason = "each test file uses only a part of the module")]

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
use nutmegcart_fleet::worker::ReportedAttempt;
use nutmegcart_model::Document;
use nutmegcart_model::JobName;
use nutmegcart_model::Record;
use nutmegcart_model::TeamName;
use nutmegcart_model::WorkerId;
use nutmegcart_model::record::Job;
use nutmegcart_model::record::Team;
use serde_json::Value;
use serde_json::json;

/// Time for which a worker keeps the record of a forgotten attempt and refuses its start.
const TOMBSTONE_TIME: Duration = Duration::from_mins(1);
/// Interval between reports of a worker.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

pub fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Creates a job; `extra` adds to or overrides the fields of a small deferrable job of pool `a`.
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

struct AttemptRun {
    outcome: AttemptState,
    lease_end: Duration,
    end: Duration,
    end_outcome: AttemptState,
    removed_at: Option<Duration>,
    cpu_limit: Option<u64>,
}

/// A simulated worker with its own clock.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the faults are independent of each other"
)]
pub struct SimulatedWorker {
    pub worker: Worker,
    pub boot: u64,
    pub up: bool,
    /// Whether calls and reports get through.
    pub reachable: bool,
    pub fails_all: bool,
    /// Whether reports are lost while calls get through.
    pub reports_lost: bool,
    /// How far the worker's clock is behind, at most `clock_error` of the scheduler's settings.
    pub clock_behind: Duration,
    runs: BTreeMap<AttemptId, AttemptRun>,
    last_report: Duration,
}

impl SimulatedWorker {
    pub fn running(&self) -> impl Iterator<Item = &AttemptId> {
        let runs = self.runs.iter();
        runs.filter(|(_, run)| run.outcome == AttemptState::Running)
            .map(|(attempt, _)| attempt)
    }

    fn clock(&self, now: Duration) -> Duration {
        now.saturating_sub(self.clock_behind)
    }

    fn tick(&mut self, now: Duration) -> Vec<AttemptId> {
        let clock = self.clock(now);
        let mut done = Vec::new();
        for (attempt, run) in &mut self.runs {
            if run.outcome != AttemptState::Running {
                continue;
            }
            if run.end <= now {
                run.outcome = run.end_outcome;
                if run.end_outcome == AttemptState::Done {
                    done.push(attempt.clone());
                }
            } else if clock >= run.lease_end {
                run.outcome = AttemptState::Stopped;
            }
        }
        self.runs
            .retain(|_, run| run.removed_at.is_none_or(|end| now < end));
        done
    }
}

/// Scheduler, store and workers in simulated time.
pub struct Cluster {
    pub now: Duration,
    pub scheduler: TaskScheduler,
    pub workers: BTreeMap<WorkerId, SimulatedWorker>,
    pub jobs: BTreeMap<JobName, Job>,
    pub teams: BTreeMap<TeamName, Team>,
    pub paused: bool,
    /// Number of next calls whose answers are lost.
    pub lose_answers: u32,
    /// Number of next calls that are lost.
    pub lose_calls: u32,
    /// Number of next calls that arrive late.
    pub delay_calls: u32,
    /// Whether the next write of the state is lost.
    pub lose_write: bool,
    pub report_delay: Duration,
    /// Time that a checkpoint takes.
    pub checkpoint_time: Duration,
    /// Actions and remarks, for snapshots.
    pub log: Vec<String>,
    /// Attempts that started on a worker, with the time.
    pub started: BTreeMap<AttemptId, Duration>,
    pub most_quarantined: usize,
    /// Actual usage of a task, by job; the declared size if absent.
    pub real_usage: BTreeMap<JobName, Resources>,
    /// Jobs whose tasks fail on every worker.
    pub failing_jobs: BTreeSet<JobName>,
    stored: SchedulerState,
    /// Cancelled tasks, with the last operation number before the cancellation.
    cancelled: BTreeMap<(JobName, u32), u64>,
    succeeded: BTreeSet<(JobName, u32)>,
    delayed_actions: Vec<(Duration, SchedulerAction)>,
    reports: Vec<(Duration, ReceivedReport)>,
}

impl Cluster {
    /// Creates workers `<pool><number>` of 16 cores and 64 GB, four to a rack.
    pub fn new(pools: &[(&str, usize)], jobs: Vec<Job>, teams: Vec<Team>) -> Self {
        let mut workers = BTreeMap::new();
        for (pool, size) in pools {
            for number in 0..*size {
                let worker = Worker {
                    id: format!("{pool}{number:02}").into(),
                    pool: (*pool).into(),
                    rack: format!("{pool}-r{}", number / 4).into(),
                    capacity: Resources::new(16_000, 64_000, 1),
                    leaving: false,
                };
                let simulated = SimulatedWorker {
                    worker: worker.clone(),
                    boot: 1,
                    up: true,
                    reachable: true,
                    fails_all: false,
                    reports_lost: false,
                    clock_behind: ms(number as u64 % 3 * 900),
                    runs: BTreeMap::new(),
                    last_report: Duration::ZERO,
                };
                workers.insert(worker.id.clone(), simulated);
            }
        }
        let settings = SchedulerSettings::default();
        let mut cluster = Self {
            now: Duration::from_hours(1),
            scheduler: TaskScheduler::new(settings),
            workers,
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
            report_delay: ms(0),
            checkpoint_time: ms(300),
            log: Vec::new(),
            started: BTreeMap::new(),
            most_quarantined: 0,
            real_usage: BTreeMap::new(),
            failing_jobs: BTreeSet::new(),
            stored: SchedulerState::default(),
            cancelled: BTreeMap::new(),
            succeeded: BTreeSet::new(),
            delayed_actions: Vec::new(),
            reports: Vec::new(),
        };
        cluster.configure();
        cluster
    }

    /// Passes the current configuration to the scheduler.
    pub fn configure(&mut self) {
        self.scheduler.set_teams(self.teams.values().cloned());
        self.scheduler
            .set_jobs(1, self.jobs.values().cloned().map(Arc::new));
        let workers = self
            .workers
            .values()
            .map(|simulated| simulated.worker.clone());
        self.scheduler.set_workers(workers);
    }

    /// Replaces the scheduler by one that loads the stored state.
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

    /// Advances the time by one step and runs a scheduling round unless paused.
    pub fn step(&mut self, time: Duration) {
        self.now += time;
        let now = self.now;
        for simulated in self.workers.values_mut().filter(|simulated| simulated.up) {
            for attempt in simulated.tick(now) {
                self.succeeded.insert((attempt.job, attempt.index));
            }
            if simulated.reachable
                && !simulated.reports_lost
                && simulated.last_report + REPORT_INTERVAL <= now
            {
                simulated.last_report = now;
                let report = report(simulated, now, &self.jobs, &self.real_usage);
                self.reports.push((now + self.report_delay, report));
            }
        }
        let delayed_actions = std::mem::take(&mut self.delayed_actions);
        for (due, action) in delayed_actions {
            if due <= now {
                self.carry_out(&action);
            } else {
                self.delayed_actions.push((due, action));
            }
        }
        if !self.paused {
            self.deliver_reports();
            self.round();
        }
        self.check();
    }

    /// Passes the reports that are due to the scheduler.
    pub fn deliver_reports(&mut self) {
        for (due, report) in std::mem::take(&mut self.reports) {
            if due <= self.now {
                self.scheduler.apply_report(self.now, &report);
            } else {
                self.reports.push((due, report));
            }
        }
    }

    /// Returns the report that a worker would send now.
    pub fn current_report(&self, worker: &str) -> ReceivedReport {
        report(
            &self.workers[worker],
            self.now,
            &self.jobs,
            &self.real_usage,
        )
    }

    /// Advances the time in steps of 250 ms.
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
                // The write may have been rejected by its fence, so the duty holder loads the state
                // again.
                self.restart();
                return;
            }
            self.stored = self.scheduler.state().clone();
            self.scheduler.mark_written();
        }
        for action in plan.actions {
            self.log_action(&action);
            if consume(&mut self.lose_calls) {
                continue;
            }
            if consume(&mut self.delay_calls) {
                self.delayed_actions.push((self.now + ms(7000), action));
                continue;
            }
            let answer = self.carry_out(&action);
            if let Some((worker, attempt, outcome)) = answer
                && !consume(&mut self.lose_answers)
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
                let simulated = self
                    .workers
                    .get_mut(worker)
                    .filter(|simulated| simulated.up && simulated.reachable)?;
                for (attempt, until) in leases {
                    if let Some(run) = simulated.runs.get_mut(attempt) {
                        run.lease_end = run.lease_end.max(*until);
                    }
                }
                return None;
            }
            SchedulerAction::Forget { worker, attempts } => {
                let end = self.now + TOMBSTONE_TIME;
                let simulated = self
                    .workers
                    .get_mut(worker)
                    .filter(|simulated| simulated.up && simulated.reachable)?;
                for attempt in attempts {
                    if let Some(run) = simulated.runs.get_mut(attempt) {
                        run.removed_at.get_or_insert(end);
                    }
                }
                return None;
            }
            _ => return None,
        };
        let now = self.now;
        let simulated = self
            .workers
            .get_mut(worker)
            .filter(|simulated| simulated.up && simulated.reachable)?;
        let clock = simulated.clock(now);
        let spec = self.jobs.get(&attempt.job);
        let fails = simulated.fails_all || self.failing_jobs.contains(&attempt.job);
        let (time, end_outcome) = if fails {
            (ms(200), AttemptState::Failed)
        } else {
            let seconds = spec.and_then(|spec| spec.seconds).unwrap_or(1);
            (Duration::from_secs(seconds), AttemptState::Done)
        };
        let tombstone = AttemptRun {
            outcome: AttemptState::NotRun,
            lease_end: Duration::ZERO,
            end: Duration::ZERO,
            end_outcome,
            removed_at: None,
            cpu_limit: None,
        };
        let is_new = !simulated.runs.contains_key(attempt);
        let expected_boot = match action {
            SchedulerAction::Start { boot, .. }
            | SchedulerAction::Stop { boot, .. }
            | SchedulerAction::Checkpoint { boot, .. } => *boot,
            _ => simulated.boot,
        };
        if is_new && expected_boot != simulated.boot {
            return Some((worker.clone(), attempt.clone(), AttemptState::Lost));
        }
        let run = simulated.runs.entry(attempt.clone()).or_insert(tombstone);
        match action {
            SchedulerAction::Start { until, .. }
                if is_new && clock < *until && *until < clock + TOMBSTONE_TIME =>
            {
                run.outcome = AttemptState::Running;
                run.lease_end = *until;
                run.end = now + time;
            }
            SchedulerAction::Stop { .. } if run.outcome == AttemptState::Running => {
                run.outcome = AttemptState::Stopped;
            }
            SchedulerAction::Checkpoint { .. }
                if run.outcome == AttemptState::Running
                    && run.end_outcome != AttemptState::Checkpointed =>
            {
                run.end = run.end.min(now + self.checkpoint_time);
                run.end_outcome = AttemptState::Checkpointed;
            }
            SchedulerAction::Throttle { cpu, .. } => run.cpu_limit = *cpu,
            _ => {}
        }
        let outcome = run.outcome;
        if is_new && outcome == AttemptState::Running {
            self.check_start(attempt);
        }
        Some((worker.clone(), attempt.clone(), outcome))
    }

    /// Checks the invariants of an actual start.
    fn check_start(&mut self, attempt: &AttemptId) {
        self.started.insert(attempt.clone(), self.now);
        let key = (attempt.job.clone(), attempt.index);
        if let Some(counter) = self.cancelled.get(&key) {
            assert!(
                attempt.number <= *counter,
                "{attempt} was ordered after its cancellation"
            );
        }
        let status = self.scheduler.task_status(&attempt.job, attempt.index);
        assert_ne!(
            status,
            TaskStatus::NotRun,
            "{attempt} runs although reported as not run"
        );
        assert_ne!(
            status,
            TaskStatus::Done,
            "{attempt} runs although its task is done"
        );
        let idempotent = self
            .jobs
            .get(&attempt.job)
            .is_some_and(|job| job.idempotent);
        let running = self.workers.values().flat_map(SimulatedWorker::running);
        let same =
            running.filter(|other| (&other.job, other.index) == (&attempt.job, attempt.index));
        assert!(idempotent || same.count() == 1, "{attempt} runs twice");
    }

    /// Checks the invariants that hold after every step.
    fn check(&mut self) {
        let mut held: BTreeMap<&TeamName, u64> = BTreeMap::new();
        for attempt in self.workers.values().flat_map(SimulatedWorker::running) {
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
        for simulated in self.workers.values() {
            let counts = pools.entry(&simulated.worker.pool).or_default();
            counts.0 += 1;
            counts.1 += usize::from(self.scheduler.is_quarantined(&simulated.worker.id));
        }
        for (pool, (size, quarantined)) in pools {
            assert!(
                quarantined * 10 <= size,
                "{quarantined} of {size} quarantined in {pool}"
            );
            self.most_quarantined = self.most_quarantined.max(quarantined);
        }
    }

    /// Returns whether a task ever started on a worker.
    pub fn ran(&self, job: &str, index: u32) -> bool {
        let mut started = self.started.keys();
        started.any(|attempt| &*attempt.job == job && attempt.index == index)
    }

    pub fn reboot(&mut self, worker: &str) {
        let simulated = self.workers.get_mut(worker).expect("worker exists");
        simulated.boot += 1;
        simulated.runs.clear();
        simulated.up = true;
    }

    pub fn worker_mut(&mut self, worker: &str) -> &mut SimulatedWorker {
        self.workers.get_mut(worker).expect("worker exists")
    }
}

/// Decrements a counter and returns whether it was above zero.
fn consume(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}

fn report(
    simulated: &SimulatedWorker,
    now: Duration,
    jobs: &BTreeMap<JobName, Job>,
    real: &BTreeMap<JobName, Resources>,
) -> ReceivedReport {
    let runs = simulated.runs.iter();
    let kept_runs = runs.filter(|(_, run)| run.removed_at.is_none());
    let attempts = kept_runs.map(|(attempt, run)| {
        let declared = jobs.get(&attempt.job).map(Resources::declared);
        let used = real.get(&attempt.job).copied().or(declared);
        let mut usage = used.unwrap_or_default();
        usage.cpu = usage.cpu.min(run.cpu_limit.unwrap_or(u64::MAX));
        ReportedAttempt {
            attempt: attempt.clone(),
            outcome: run.outcome,
            usage,
        }
    });
    ReceivedReport {
        worker: simulated.worker.id.clone(),
        at: now,
        boot: simulated.boot,
        attempts: attempts.collect(),
    }
}
