//! Reports of workers about their live and ended runs.

use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;

use crate::gang::Origin;
use crate::job::TaskKey;
use crate::listing::MAX_TIME;
use crate::scheduler::Scheduler;
use crate::worker::PendingEnd;
use crate::worker::Run;
use crate::worker::RunState;
use crate::worker::StopReason;
use crate::worker::millis;

/// First penalty of a faulty worker; it doubles with each further one.
const BASE_PENALTY: Duration = Duration::from_secs(2);
/// Largest number of doublings of the penalty.
const MAX_DOUBLINGS: u32 = 2;
/// Share of a pool's workers that may be penalised at once.
const MAX_PENALISED: f64 = 0.34;
/// A live run in a worker's report.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedRun {
    /// Task of the run.
    pub task: TaskKey,
    /// Run number, unique within the task.
    pub run: u32,
    /// Latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Progress in percent.
    pub progress: u32,
    /// Tail latency in milliseconds of a serving task, else processor use in thousandths.
    pub metric: u32,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// It finished.
    Done,
    /// It failed, because of the task or of the worker.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another task of its gang ended.
    Broken,
    /// It waited too long for the other tasks of its gang.
    Alone,
}

/// An ended run that a worker reports until it is acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedEnd {
    /// Sequence number of the end within the worker's incarnation.
    pub number: u64,
    /// Task of the run.
    pub task: TaskKey,
    /// Run number, unique within the task.
    pub run: u32,
    /// How it ended.
    pub how: RunEnd,
    /// Latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
}

/// Response of a worker to a poll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollResponse {
    /// Start time of the worker process in milliseconds since 1970; 0 if it does not state it.
    pub incarnation: u64,
    /// The worker's clock in milliseconds.
    pub clock: u64,
    /// Live runs.
    pub running: Vec<ReportedRun>,
    /// Unacknowledged ends, by ascending sequence number; the first ones if not all are listed.
    pub ended: Vec<ReportedEnd>,
    /// Whether `ended` certainly lists all unacknowledged ends.
    pub ends_complete: bool,
    /// Largest number of ends that a report of the worker lists.
    pub max_ends: usize,
}

impl Scheduler {
    /// Records that another incarnation answers at a worker's address. An address is used again only
    /// after the process that had it has ended.
    pub fn handle_other_incarnation(&mut self, id: &WorkerId, now: Duration) {
        self.log_replaced(id, "another incarnation", now);
        self.end_incarnation(id, now);
    }

    /// Processes the response to a poll that was sent at `sent`; returns the number of new ends.
    pub fn handle_poll_response(
        &mut self,
        id: &WorkerId,
        sent: Duration,
        report: &PollResponse,
        now: Duration,
    ) -> usize {
        if report.incarnation.max(report.clock) > MAX_TIME {
            self.poll_failed(id, "a time is out of range", now);
            return 0;
        }
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
        let last_end = worker.last_end;
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
        let blocked_ms = worker.blocked_ms(self.taken_over_at, now);
        worker.record_clock(report.clock, now);
        worker.fenced = true;
        if first {
            // The lease end that an earlier owner granted is unknown, but none can grant a lease any
            // more.
            let lease = worker.longest_lease(self.settings);
            worker.extend_lease(report.clock + millis(lease));
        }
        if report.ends_complete {
            // What an earlier owner started here is either listed or certainly never ran.
            worker.inherited = false;
        }
        if worker.ends_complete && !report.ends_complete {
            log_event!(
                Event::WorkerEndsTruncated,
                worker = id,
                ended = report.ended.len(),
                runs = worker.runs.len()
            );
        }
        worker.ends_complete = report.ends_complete;
        worker.max_ends = report.max_ends;
        let runs = worker.runs.len();
        if first {
            log_event!(
                Event::WorkerFenced,
                worker = id,
                running = report.running.len(),
                ended = report.ended.len(),
                known = runs,
                blocked_ms = blocked_ms
            );
        }
        for end in &report.ended {
            self.handle_end(id, end, now);
        }
        for run in &report.running {
            self.handle_running(id, run, now);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            let unknown = |reported: &&ReportedRun| {
                let known = worker.runs.get(&reported.task);
                known.is_none_or(|run| run.number != reported.run)
            };
            let unknown = report.running.iter().filter(unknown);
            worker.unknown_tasks = unknown.map(|reported| reported.task.clone()).collect();
            worker.unknown_runs = worker.unknown_tasks.len();
        }
        self.settle_unreported_runs(id, sent, report, now);
        self.acknowledge_ends(id);
        self.send_held_starts(id, now);
        let new = |end: &&ReportedEnd| end.number > last_end;
        report.ended.iter().filter(new).count()
    }

    /// Processes a run that a worker reports as live.
    fn handle_running(&mut self, id: &WorkerId, reported: &ReportedRun, now: Duration) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if let Some(run) = worker.runs.get_mut(&reported.task)
            && run.number == reported.run
        {
            if run.state == RunState::Ordered {
                run.state = RunState::Running;
                run.confirmed_at = Some(now);
            }
            run.reported = true;
            if run.progress != reported.progress || run.checkpoint != reported.checkpoint {
                run.record_progress(reported.progress, now);
            }
            if let Some(job) = self.jobs.get_mut(&reported.task.job) {
                job.started = true;
                if run.checkpoint != reported.checkpoint {
                    job.share_checkpoint(reported, now);
                }
            }
            let was_at_work = run.is_at_work();
            run.progress = reported.progress;
            run.metric = reported.metric;
            run.checkpoint.clone_from(&reported.checkpoint);
            if run.is_at_work() {
                run.was_at_work = true;
                if !was_at_work {
                    worker.record_success();
                }
                if let Some(job) = self.jobs.get(&reported.task.job) {
                    self.backoffs.reset(job, &reported.task);
                }
            }
            return;
        }
        self.adopt_run(id, reported, now);
    }

    /// Adopts a run that an earlier owner started, or marks it as an orphan to be stopped.
    fn adopt_run(&mut self, id: &WorkerId, reported: &ReportedRun, now: Duration) {
        let occupied = self
            .workers
            .get(id)
            .is_some_and(|worker| worker.runs.contains_key(&reported.task));
        let step = self
            .jobs
            .get(&reported.task.job)
            .and_then(|job| job.step(&reported.task))
            .cloned();
        let wanted = step.filter(|step| {
            let job = self.jobs.get_mut(&reported.task.job);
            let active = job.filter(|job| job.ended.is_none());
            let task = active.and_then(|job| job.started_task(&reported.task, now));
            task.is_some_and(|task| !task.done && (task.live_runs == 0 || step.speculative))
        });
        let Some(step) = wanted.filter(|_| !occupied) else {
            self.orphan_runs
                .insert((id.clone(), reported.task.clone(), reported.run));
            return;
        };
        let percent_time = self.inherited_percent_time(&reported.task, reported.progress, now);
        let Some(job) = self.jobs.get_mut(&reported.task.job) else {
            return;
        };
        job.started = true;
        if let Some(task) = job.task(&reported.task) {
            task.live_runs += 1;
            task.last_run = task.last_run.max(reported.run);
            task.started = true;
        }
        job.share_checkpoint(reported, now);
        let organisation = job.accepted.organisation.clone();
        let run = Run {
            number: reported.run,
            state: RunState::Running,
            ordered_at: now,
            confirmed_at: Some(now),
            reported: true,
            allocation: step.allocation(),
            need: step.need,
            organisation,
            progress: reported.progress,
            progressed_at: now,
            percent_time,
            metric: reported.metric,
            speed_limit: 100,
            limited_at: now,
            checkpoint: reported.checkpoint.clone(),
            serving: step.target_ms > 0,
            best_effort: step.best_effort,
            long_running: step.long_running,
            was_at_work: step.long_running && reported.progress >= 100,
        };
        log_event!(
            Event::RunAdopted,
            task = reported.task,
            run = reported.run,
            worker = id
        );
        if let Some(worker) = self.workers.get_mut(id) {
            worker.runs.insert(reported.task.clone(), run);
        }
    }

    /// Processes an end that a worker reports.
    fn handle_end(&mut self, id: &WorkerId, end: &ReportedEnd, now: Duration) {
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
        let progress = worker.runs.get(&end.task).map_or(0, |run| run.progress);
        let stalled = worker.runs.get(&end.task).is_some_and(Run::is_stalled);
        self.flush_queue.record_task_end(&end.task);
        if let Some(job) = self.jobs.get_mut(&end.task.job) {
            job.started_task(&end.task, now);
        }
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
                if stalled
                    && self.blames_worker(&end.task)
                    && let Some(worker) = self.workers.get_mut(id)
                {
                    worker.record_failure(&end.task.job, now);
                }
            }
        }
        if let Some(job) = self.jobs.get_mut(&end.task.job) {
            if let Some(task) = job.task(&end.task) {
                task.last_run = task.last_run.max(end.run);
                task.started = true;
            }
            let origin = Origin::ended(end, progress, now);
            job.record_checkpoint(&end.task, end.checkpoint.as_ref(), origin);
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
        end: &ReportedEnd,
        started: Option<Duration>,
        now: Duration,
    ) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.record_success();
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
                self.flush_queue.record_task_end(&member);
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

    fn handle_failed(&mut self, id: &WorkerId, end: &ReportedEnd, now: Duration) {
        log_event!(
            Event::RunFailed,
            task = end.task,
            run = end.run,
            worker = id
        );
        self.penalise(id, &end.task, now);
        self.record_failed_attempt(id, end, now);
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return;
        };
        let attempts = job.accepted.queue.attempts.max(1) as usize;
        let long_running = job.step(&end.task).is_some_and(|step| step.long_running);
        job.record_failure(&end.task, id, end.run);
        let failed = job.failed_attempts(&end.task);
        let Some(task) = job.task(&end.task) else {
            return;
        };
        if long_running {
            // Its attempts have no limit, and the list is part of the stored state.
            task.failed_runs.keep_latest();
        }
        task.avoid = Some(id.clone());
        if !long_running && !task.done && failed >= attempts {
            self.fail_job(&end.task.job, now);
        }
    }

    /// Gives no tasks for a while to a worker on which different jobs fail consecutively.
    ///
    /// A worker that fails every task at once always appears empty and would drain the whole queue.
    /// At most a third of a pool is penalised, since jobs that cannot succeed fail on every worker.
    pub(crate) fn penalise(&mut self, id: &WorkerId, task: &TaskKey, now: Duration) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !worker.record_failure(&task.job, now) {
            return;
        }
        let pool = worker.listing.pool.clone();
        let peers = self
            .workers
            .values()
            .filter(|peer| peer.listing.pool == pool);
        let total = peers.clone().count() as f64;
        let penalised = peers.filter(|peer| peer.penalised_until > now).count() as f64;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.penalised_until <= now && penalised + 1.0 <= (total * MAX_PENALISED).max(1.0) {
            worker.penalised_until =
                now + BASE_PENALTY * 2_u32.pow(worker.penalties.min(MAX_DOUBLINGS));
            worker.penalties += 1;
            log_event!(
                Event::WorkerPenalised,
                worker = id,
                failures = worker.failed_jobs.len()
            );
        }
    }

    /// Stops or releases runs that the worker reports neither as live nor as ended.
    ///
    /// A report that does not list all ends tells nothing about the runs that are missing from it.
    /// They wait until the ends before theirs have been acknowledged.
    fn settle_unreported_runs(
        &mut self,
        id: &WorkerId,
        sent: Duration,
        report: &PollResponse,
        now: Duration,
    ) {
        if !report.ends_complete {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let mut stopped = Vec::new();
        let mut missing = Vec::new();
        for (key, run) in &worker.runs {
            let reported = report
                .running
                .iter()
                .any(|each| each.task == *key && each.run == run.number);
            if reported {
                continue;
            }
            match run.state {
                RunState::Ordered => {}
                RunState::Running => {
                    if run.confirmed_at.is_some_and(|at| at < sent) {
                        missing.push(key.clone());
                    }
                }
                RunState::Stopping { confirmed_at, .. } => {
                    if confirmed_at.is_some_and(|at| at < sent) {
                        stopped.push(key.clone());
                    }
                }
            }
        }
        for key in missing {
            self.stop(id, &key, StopReason::Vanished);
        }
        for key in stopped {
            self.release_run(id, &key, now);
        }
    }
}
