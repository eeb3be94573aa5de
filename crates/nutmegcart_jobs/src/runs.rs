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
    pub saved: Option<Arc<str>>,
    /// Progress in percent.
    pub percent: u32,
    /// Tail of the response times in milliseconds, or processor use in thousandths.
    pub figure: u32,
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
    pub saved: Option<Arc<str>>,
}

/// What a worker says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Start of its life in milliseconds since 1970; 0 if it does not tell.
    pub born: u64,
    /// Its clock in milliseconds.
    pub clock: u64,
    /// Runs that are alive.
    pub running: Vec<ListedRun>,
    /// Ends that are not acknowledged, in ascending order.
    pub ended: Vec<ListedEnd>,
}

/// A call that renews a worker's lease, acknowledges ends and asks for a report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Look {
    /// New end of the lease on the worker's clock; none while its clock is not known.
    pub until: Option<u64>,
    /// Highest end that is acknowledged.
    pub acked: u64,
    /// Longest time to wait for an end.
    pub wait: Duration,
}

impl Scheduler {
    /// Returns a look that is answered at once.
    pub fn quick_look(&mut self, id: &WorkerId, now: Duration) -> Option<Look> {
        let look = self.next_look(id, now)?;
        Some(Look {
            wait: Duration::ZERO,
            ..look
        })
    }

    /// Returns the next look at a worker.
    ///
    /// A worker that does not answer gets no new lease, so that the time at which its runs have
    /// certainly ended stays fixed.
    pub fn next_look(&mut self, id: &WorkerId, now: Duration) -> Option<Look> {
        let hold = self.settings.hold;
        let worker = self.workers.get_mut(id)?;
        let fresh = worker.failing.is_none() && worker.fenced;
        let until = worker
            .clock(now)
            .filter(|_| fresh)
            .map(|clock| clock + millis(hold));
        if let Some(until) = until {
            worker.extend(until);
        }
        let wait = if !worker.fenced || worker.failing.is_some() {
            Duration::ZERO
        } else if worker.shares_processor() {
            SHARED_WAIT
        } else {
            LOOK_WAIT
        };
        Some(Look {
            until,
            acked: worker.acked,
            wait,
        })
    }

    /// Notes that a look failed.
    pub fn look_failed(&mut self, id: &WorkerId, reason: &str, now: Duration) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.failing.is_none()
        {
            worker.failing = Some(now);
            log_event!(
                Event::WorkerSilent,
                worker = id,
                runs = worker.runs.len(),
                reason = reason
            );
        }
    }

    /// Takes in the answer to a look that was sent at `sent`; returns the number of new ends.
    pub fn reported(
        &mut self,
        id: &WorkerId,
        sent: Duration,
        report: &Report,
        now: Duration,
    ) -> usize {
        let Some(worker) = self.workers.get_mut(id) else {
            return 0;
        };
        if report.born != 0 && worker.born != 0 && report.born != worker.born {
            if report.born < worker.born {
                return 0;
            }
            self.replace_life(id, report.born, now);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return 0;
        };
        let seen = worker.seen;
        if worker.born == 0 {
            worker.born = report.born;
        }
        if let Some(since) = worker.failing {
            log_event!(
                Event::WorkerBack,
                worker = id,
                silent_ms = now.saturating_sub(since).as_millis()
            );
        }
        let first = !worker.fenced;
        worker.heard(report.clock, now);
        worker.fenced = true;
        if first {
            // What an earlier owner granted cannot be known; the worker shortens every lease.
            worker.extend(report.clock + millis(self.settings.hold_max));
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
            self.take_end(id, end, now);
        }
        for run in &report.running {
            self.take_running(id, run, now);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            let strange = |listed: &&ListedRun| {
                let known = worker.runs.get(&listed.task);
                known.is_none_or(|run| run.number != listed.run)
            };
            worker.strangers = report.running.iter().filter(strange).count();
        }
        self.miss_runs(id, sent, report, now);
        self.advance_acks(id);
        let new = |end: &&ListedEnd| end.number > seen;
        report.ended.iter().filter(new).count()
    }

    /// Takes in a run that a worker lists as alive.
    fn take_running(&mut self, id: &WorkerId, listed: &ListedRun, now: Duration) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if let Some(run) = worker.runs.get_mut(&listed.task)
            && run.number == listed.run
        {
            if run.state == RunState::Ordered {
                run.state = RunState::Running;
                run.confirmed = Some(now);
            }
            if run.percent != listed.percent || run.saved != listed.saved {
                run.moved = now;
            }
            run.percent = listed.percent;
            run.figure = listed.figure;
            run.saved.clone_from(&listed.saved);
            return;
        }
        self.adopt(id, listed, now);
    }

    /// Adopts a run of an earlier owner, or has it stopped.
    fn adopt(&mut self, id: &WorkerId, listed: &ListedRun, now: Duration) {
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
            task.is_some_and(|task| !task.done && (task.live == 0 || step.speculative))
        });
        let Some(step) = wanted.filter(|_| !occupied) else {
            self.strays
                .insert((id.clone(), listed.task.clone(), listed.run));
            return;
        };
        let Some(job) = self.jobs.get_mut(&listed.task.job) else {
            return;
        };
        job.started = true;
        if let Some(task) = job.task(&listed.task) {
            task.live += 1;
            task.run = task.run.max(listed.run);
            task.started = true;
        }
        let run = Run {
            number: listed.run,
            state: RunState::Running,
            since: now,
            confirmed: Some(now),
            room: step.room(),
            percent: listed.percent,
            moved: now,
            figure: listed.figure,
            pace: 100,
            paced: now,
            saved: listed.saved.clone(),
            serving: step.target > 0,
            filler: step.filler,
            lasting: step.lasting,
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
    fn take_end(&mut self, id: &WorkerId, end: &ListedEnd, now: Duration) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if end.number <= worker.seen {
            return;
        }
        worker.seen = end.number;
        worker.ends.push_back(PendingEnd {
            number: end.number,
            job: end.task.job.clone(),
            seen: now,
        });
        self.strays.remove(&(id.clone(), end.task.clone(), end.run));
        let known = worker
            .runs
            .get(&end.task)
            .is_some_and(|run| run.number == end.run);
        let started = worker.runs.get(&end.task).map(|run| run.since);
        let stalled = worker.runs.get(&end.task).is_some_and(Run::is_stalled);
        self.durable.note_end(&end.task);
        match end.how {
            RunEnd::Done => self.take_done(id, end, started, now),
            RunEnd::Failed => self.take_failed(id, end, now),
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
                task.run = task.run.max(end.run);
                task.started = true;
                if end.saved.is_some() {
                    task.saved.clone_from(&end.saved);
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
                run.saved.clone_from(&end.saved);
            }
            self.release(id, &end.task, now);
        }
        self.settle_job(&end.task.job);
    }

    fn take_done(
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
                self.durable.note_end(&member);
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

    fn take_failed(&mut self, id: &WorkerId, end: &ListedEnd, now: Duration) {
        log_event!(
            Event::RunFailed,
            task = end.task,
            run = end.run,
            worker = id
        );
        self.blame(id, &end.task, now);
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return;
        };
        let attempts = job.accepted.queue.attempts.max(1) as usize;
        let lasting = job.step(&end.task).is_some_and(|step| step.lasting);
        let Some(task) = job.task(&end.task) else {
            return;
        };
        if !task.failed.contains(&end.run) {
            task.failed.push(end.run);
        }
        task.avoid = Some(id.clone());
        if !lasting && !task.done && task.failed.len() >= attempts {
            self.fail_job(&end.task.job, now);
        }
    }

    /// Holds a worker that fails different jobs in a row back for a while.
    ///
    /// Answers the load pattern of a worker that fails at once all that it starts: it looks empty
    /// and would draw the whole queue. At most a third of a pool is held back, since jobs that
    /// can never be done fail everywhere.
    fn blame(&mut self, id: &WorkerId, task: &TaskKey, now: Duration) {
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
        let held = peers.filter(|peer| peer.penalty > now).count() as f64;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.penalty <= now && held + 1.0 <= (total * MOST_PENALISED).max(1.0) {
            worker.penalty = now + PENALTY * 2_u32.pow(worker.strikes.min(MOST_STRIKES));
            worker.strikes += 1;
            log_event!(
                Event::WorkerPenalised,
                worker = id,
                failures = worker.streak.len()
            );
        }
    }

    /// Settles runs that the worker lists neither as alive nor as ended.
    fn miss_runs(&mut self, id: &WorkerId, sent: Duration, report: &Report, now: Duration) {
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
                    if run.confirmed.is_some_and(|at| at < sent) {
                        vanished.push(key.clone());
                    }
                }
                RunState::Stopping { settled, .. } => {
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
            self.release(id, &key, now);
        }
    }

    /// Stops tasks that make no progress, so that they start again elsewhere.
    ///
    /// Answers the load pattern of workers on which everything stands still while they look
    /// healthy. Only progress that reports have shown counts, so a silent worker stops nothing.
    pub(crate) fn stop_stalled(&mut self, now: Duration) {
        let mut stalled = Vec::new();
        for worker in self.workers.values() {
            let Some(contact) = worker.contact.filter(|_| worker.failing.is_none()) else {
                continue;
            };
            for (key, run) in &worker.runs {
                let paced = run.pace < 100 || run.filler;
                let idle = contact
                    .at
                    .saturating_sub(run.moved.max(run.confirmed.unwrap_or(now)));
                if run.state == RunState::Running && !run.lasting && !paced && idle > STALL {
                    stalled.push((worker.listing.id.clone(), key.clone()));
                }
            }
        }
        for (id, key) in stalled {
            if let Some(task) = self.jobs.get_mut(&key.job).and_then(|job| job.task(&key)) {
                task.avoid = Some(id.clone());
            }
            self.stop(&id, &key, StopReason::Stalled);
            self.blame(&id, &key, now);
        }
    }
}

impl Worker {
    /// Returns whether serving tasks and fillers share the processor.
    fn shares_processor(&self) -> bool {
        self.runs.values().any(|run| run.serving) && self.runs.values().any(|run| run.filler)
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
