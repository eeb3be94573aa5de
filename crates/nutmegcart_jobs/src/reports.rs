//! What workers answer: outcomes of orders, and reports of what runs and what ended.

use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;

use crate::job::TaskKey;
use crate::scheduler::Scheduler;
use crate::worker::PendingEnd;
use crate::worker::Run;
use crate::worker::RunState;
use crate::worker::StopReason;
use crate::worker::Worker;
use crate::worker::millis;

/// Time without progress after which a task counts as stalled.
const STALL: Duration = Duration::from_millis(1_500);
/// First penalty of a bad worker; it doubles with each further one.
const PENALTY: Duration = Duration::from_secs(2);
/// Largest exponent of the penalty.
const MOST_STRIKES: u32 = 2;
/// Share of a pool's workers that may be under a penalty at once.
const MOST_PENALISED: f64 = 0.34;
/// Time between looks while nothing ends.
const LOOK_WAIT: Duration = Duration::from_secs(1);
/// Time between looks at workers on which serving tasks and fillers share the processor.
const SHARED_WAIT: Duration = Duration::from_millis(400);

/// A run that a worker lists.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedRun {
    /// Task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Progress in percent.
    pub progress: u32,
    /// Tail of the response times in milliseconds, or processor use in thousandths.
    pub metric: u32,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// It finished.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the other members of its gang.
    Alone,
}

/// An end that a worker lists until it is acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEnd {
    /// Number of the end within the worker's life.
    pub number: u64,
    /// Task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub how: RunEnd,
    /// Latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
}

/// What a worker says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollResponse {
    /// Start of its life in milliseconds since 1970; 0 if it does not tell.
    pub incarnation: u64,
    /// Its clock in milliseconds.
    pub clock: u64,
    /// Runs that are alive.
    pub running: Vec<ListedRun>,
    /// Ends that are not acknowledged, in ascending order.
    pub ended: Vec<ListedEnd>,
}

/// A call that renews a worker's lease, acknowledges ends and asks for a report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PollRequest {
    /// New end of the lease on the worker's clock; none while its clock is not known.
    pub lease_end: Option<u64>,
    /// Highest end that is acknowledged.
    pub acked_end: u64,
    /// Longest time to wait for an end.
    pub max_wait: Duration,
}

impl Scheduler {
    /// Returns a look that is answered at once.
    pub fn immediate_poll(&mut self, id: &WorkerId, now: Duration) -> Option<PollRequest> {
        let look = self.next_poll(id, now)?;
        Some(PollRequest {
            max_wait: Duration::ZERO,
            ..look
        })
    }

    /// Returns the next look at a worker.
    ///
    /// A worker that does not answer gets no new lease, so that the time at which its runs have
    /// certainly ended stays fixed.
    pub fn next_poll(&mut self, id: &WorkerId, now: Duration) -> Option<PollRequest> {
        let hold = self.settings.lease;
        let worker = self.workers.get_mut(id)?;
        let fresh = worker.unreachable_since.is_none() && worker.fenced;
        let until = worker
            .clock(now)
            .filter(|_| fresh)
            .map(|clock| clock + millis(hold));
        if let Some(until) = until {
            worker.extend_lease(until);
        }
        let wait = if !worker.fenced || worker.unreachable_since.is_some() {
            Duration::ZERO
        } else if worker.shares_processor() {
            SHARED_WAIT
        } else {
            LOOK_WAIT
        };
        Some(PollRequest {
            lease_end: until,
            acked_end: worker.acked_end,
            max_wait: wait,
        })
    }

    /// Notes that a look failed.
    pub fn poll_failed(&mut self, id: &WorkerId, reason: &str, now: Duration) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.unreachable_since.is_none()
        {
            worker.unreachable_since = Some(now);
            log_event!(
                Event::WorkerSilent,
                worker = id,
                runs = worker.runs.len(),
                reason = reason
            );
        }
    }

    /// Takes in the answer to a look that was sent at `sent`; returns the number of new ends.
    pub fn handle_poll_response(
        &mut self,
        id: &WorkerId,
        sent: Duration,
        report: &PollResponse,
        now: Duration,
    ) -> usize {
        let Some(worker) = self.workers.get_mut(id) else {
            return 0;
        };
        if report.incarnation != 0
            && worker.incarnation != 0
            && report.incarnation != worker.incarnation
        {
            if report.incarnation < worker.incarnation {
                return 0;
            }
            self.replace_incarnation(id, report.incarnation, now);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return 0;
        };
        let seen = worker.last_end;
        if worker.incarnation == 0 {
            worker.incarnation = report.incarnation;
        }
        if let Some(since) = worker.unreachable_since {
            log_event!(
                Event::WorkerRecovered,
                worker = id,
                silent_ms = now.saturating_sub(since).as_millis()
            );
        }
        let first = !worker.fenced;
        worker.record_contact(report.clock, now);
        worker.fenced = true;
        if first {
            // What an earlier owner granted cannot be known; the worker shortens every lease.
            worker.extend_lease(report.clock + millis(self.settings.max_lease));
            worker.inherited = false;
        }
        let runs = worker.runs.len();
        if first {
            log_event!(
                Event::WorkerFenced,
                worker = id,
                running = report.running.len(),
                ended = report.ended.len(),
                known = runs
            );
        }
        for end in &report.ended {
            self.handle_end(id, end, now);
        }
        for run in &report.running {
            self.handle_running(id, run, now);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            let strange = |listed: &&ListedRun| {
                let known = worker.runs.get(&listed.task);
                known.is_none_or(|run| run.number != listed.run)
            };
            worker.unknown_runs = report.running.iter().filter(strange).count();
        }
        self.settle_unlisted_runs(id, sent, report, now);
        self.acknowledge_ends(id);
        let new = |end: &&ListedEnd| end.number > seen;
        report.ended.iter().filter(new).count()
    }

    /// Takes in a run that a worker lists as alive.
    fn handle_running(&mut self, id: &WorkerId, listed: &ListedRun, now: Duration) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if let Some(run) = worker.runs.get_mut(&listed.task)
            && run.number == listed.run
        {
            if run.state == RunState::Ordered {
                run.state = RunState::Running;
                run.confirmed_at = Some(now);
            }
            if run.progress != listed.progress || run.checkpoint != listed.checkpoint {
                run.progressed_at = now;
            }
            run.progress = listed.progress;
            run.metric = listed.metric;
            run.checkpoint.clone_from(&listed.checkpoint);
            return;
        }
        self.adopt_run(id, listed, now);
    }

    /// Adopts a run of an earlier owner, or has it stopped.
    fn adopt_run(&mut self, id: &WorkerId, listed: &ListedRun, now: Duration) {
        let occupied = self
            .workers
            .get(id)
            .is_some_and(|worker| worker.runs.contains_key(&listed.task));
        let step = self
            .jobs
            .get(&listed.task.job)
            .and_then(|job| job.step(&listed.task))
            .cloned();
        let wanted = step.filter(|step| {
            let job = self.jobs.get_mut(&listed.task.job);
            let open = job.filter(|job| job.ended.is_none());
            let task = open.and_then(|job| job.task(&listed.task));
            task.is_some_and(|task| !task.done && (task.live_runs == 0 || step.speculative))
        });
        let Some(step) = wanted.filter(|_| !occupied) else {
            self.orphan_runs
                .insert((id.clone(), listed.task.clone(), listed.run));
            return;
        };
        let Some(job) = self.jobs.get_mut(&listed.task.job) else {
            return;
        };
        job.started = true;
        if let Some(task) = job.task(&listed.task) {
            task.live_runs += 1;
            task.last_run = task.last_run.max(listed.run);
            task.started = true;
        }
        let run = Run {
            number: listed.run,
            state: RunState::Running,
            ordered_at: now,
            confirmed_at: Some(now),
            allocation: step.allocation(),
            progress: listed.progress,
            progressed_at: now,
            metric: listed.metric,
            speed_limit: 100,
            limited_at: now,
            checkpoint: listed.checkpoint.clone(),
            serving: step.target_ms > 0,
            best_effort: step.best_effort,
            long_running: step.long_running,
        };
        log_event!(
            Event::RunAdopted,
            task = listed.task,
            run = listed.run,
            worker = id
        );
        if let Some(worker) = self.workers.get_mut(id) {
            worker.runs.insert(listed.task.clone(), run);
        }
    }

    /// Takes in an end that a worker lists.
    fn handle_end(&mut self, id: &WorkerId, end: &ListedEnd, now: Duration) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if end.number <= worker.last_end {
            return;
        }
        worker.last_end = end.number;
        worker.pending_ends.push_back(PendingEnd {
            number: end.number,
            job: end.task.job.clone(),
            seen_at: now,
        });
        self.orphan_runs
            .remove(&(id.clone(), end.task.clone(), end.run));
        let known = worker
            .runs
            .get(&end.task)
            .is_some_and(|run| run.number == end.run);
        let started = worker.runs.get(&end.task).map(|run| run.ordered_at);
        let stalled = worker.runs.get(&end.task).is_some_and(Run::is_stalled);
        self.durable.note_task_end(&end.task);
        match end.how {
            RunEnd::Done => self.handle_done(id, end, started, now),
            RunEnd::Failed => self.handle_failed(id, end, now),
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => {
                if !(end.how == RunEnd::Stopped && known) {
                    log_event!(
                        Event::RunEnded,
                        task = end.task,
                        run = end.run,
                        worker = id,
                        how = format_args!("{:?}", end.how)
                    );
                }
                if stalled && let Some(worker) = self.workers.get_mut(id) {
                    worker.note_failure(&end.task.job);
                }
            }
        }
        if let Some(job) = self.jobs.get_mut(&end.task.job) {
            if let Some(task) = job.task(&end.task) {
                task.last_run = task.last_run.max(end.run);
                task.started = true;
                if end.checkpoint.is_some() {
                    task.checkpoint.clone_from(&end.checkpoint);
                }
            }
            job.started = true;
        }
        if known {
            if let Some(run) = self
                .workers
                .get_mut(id)
                .and_then(|worker| worker.runs.get_mut(&end.task))
            {
                run.checkpoint.clone_from(&end.checkpoint);
            }
            self.release_run(id, &end.task, now);
        }
        self.complete_if_finished(&end.task.job);
    }

    fn handle_done(
        &mut self,
        id: &WorkerId,
        end: &ListedEnd,
        started: Option<Duration>,
        now: Duration,
    ) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.note_success();
        }
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return;
        };
        let step = job.step(&end.task).cloned();
        let gang = step.as_ref().is_some_and(|step| step.gang);
        if gang {
            let count = step.as_ref().map_or(0, |step| step.count);
            for index in 0..count {
                let member = TaskKey {
                    index,
                    ..end.task.clone()
                };
                job.finish(&member);
                self.durable.note_task_end(&member);
            }
            return;
        }
        if !job.finish(&end.task) {
            return;
        }
        if let (Some(step), Some(started)) = (step, started) {
            let queue = job.accepted.queue.key.clone();
            self.estimates
                .learn(&queue, &step, now.saturating_sub(started));
        }
        let copies: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| worker.listing.id != *id && worker.runs.contains_key(&end.task))
            .map(|worker| worker.listing.id.clone())
            .collect();
        for copy in copies {
            self.stop(&copy, &end.task, StopReason::CopyDone);
        }
    }

    fn handle_failed(&mut self, id: &WorkerId, end: &ListedEnd, now: Duration) {
        log_event!(
            Event::RunFailed,
            task = end.task,
            run = end.run,
            worker = id
        );
        self.penalise(id, &end.task, now);
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return;
        };
        let attempts = job.accepted.queue.attempts.max(1) as usize;
        let lasting = job.step(&end.task).is_some_and(|step| step.long_running);
        let Some(task) = job.task(&end.task) else {
            return;
        };
        if !task.failed_runs.contains(&end.run) {
            task.failed_runs.push(end.run);
        }
        task.avoid = Some(id.clone());
        if !lasting && !task.done && task.failed_runs.len() >= attempts {
            self.fail_job(&end.task.job, now);
        }
    }

    /// Holds a worker that fails different jobs in a row back for a while.
    ///
    /// Answers the load pattern of a worker that fails at once all that it starts: it looks empty
    /// and would draw the whole queue. At most a third of a pool is held back, since jobs that
    /// can never be done fail everywhere.
    fn penalise(&mut self, id: &WorkerId, task: &TaskKey, now: Duration) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !worker.note_failure(&task.job) {
            return;
        }
        let pool = worker.listing.pool.clone();
        let peers = self
            .workers
            .values()
            .filter(|peer| peer.listing.pool == pool);
        let total = peers.clone().count() as f64;
        let held = peers.filter(|peer| peer.penalised_until > now).count() as f64;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.penalised_until <= now && held + 1.0 <= (total * MOST_PENALISED).max(1.0) {
            worker.penalised_until = now + PENALTY * 2_u32.pow(worker.penalties.min(MOST_STRIKES));
            worker.penalties += 1;
            log_event!(
                Event::WorkerPenalised,
                worker = id,
                failures = worker.failed_jobs.len()
            );
        }
    }

    /// Settles runs that the worker lists neither as alive nor as ended.
    fn settle_unlisted_runs(
        &mut self,
        id: &WorkerId,
        sent: Duration,
        report: &PollResponse,
        now: Duration,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let mut gone = Vec::new();
        let mut vanished = Vec::new();
        for (key, run) in &worker.runs {
            let listed = report
                .running
                .iter()
                .any(|each| each.task == *key && each.run == run.number);
            if listed {
                continue;
            }
            match run.state {
                RunState::Ordered => {}
                RunState::Running => {
                    if run.confirmed_at.is_some_and(|at| at < sent) {
                        vanished.push(key.clone());
                    }
                }
                RunState::Stopping {
                    confirmed_at: settled,
                    ..
                } => {
                    if settled.is_some_and(|at| at < sent) {
                        gone.push(key.clone());
                    }
                }
            }
        }
        for key in vanished {
            self.stop(id, &key, StopReason::Vanished);
        }
        for key in gone {
            self.release_run(id, &key, now);
        }
    }

    /// Stops tasks that make no progress, so that they start again elsewhere.
    ///
    /// Answers the load pattern of workers on which everything stands still while they look
    /// healthy. Only progress that reports have shown counts, so a silent worker stops nothing.
    pub(crate) fn stop_stalled(&mut self, now: Duration) {
        let mut stalled = Vec::new();
        for worker in self.workers.values() {
            let Some(contact) = worker
                .contact
                .filter(|_| worker.unreachable_since.is_none())
            else {
                continue;
            };
            for (key, run) in &worker.runs {
                let paced = run.speed_limit < 100 || run.best_effort;
                let idle = contact
                    .at
                    .saturating_sub(run.progressed_at.max(run.confirmed_at.unwrap_or(now)));
                if run.state == RunState::Running && !run.long_running && !paced && idle > STALL {
                    stalled.push((worker.listing.id.clone(), key.clone()));
                }
            }
        }
        for (id, key) in stalled {
            if let Some(task) = self.jobs.get_mut(&key.job).and_then(|job| job.task(&key)) {
                task.avoid = Some(id.clone());
            }
            self.stop(&id, &key, StopReason::Stalled);
            self.penalise(&id, &key, now);
        }
    }
}

impl Worker {
    /// Returns whether serving tasks and fillers share the processor.
    fn shares_processor(&self) -> bool {
        self.runs.values().any(|run| run.serving) && self.runs.values().any(|run| run.best_effort)
    }
}

impl Run {
    /// Returns whether the run was stopped for want of progress.
    fn is_stalled(&self) -> bool {
        matches!(
            self.state,
            RunState::Stopping {
                reason: StopReason::Stalled,
                ..
            }
        )
    }
}
