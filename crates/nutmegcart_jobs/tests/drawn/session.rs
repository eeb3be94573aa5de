//! A drawn session: its cell, its course, and the promises that are checked.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fakes::cell::worker::FakeWorker;
use nutmegcart_fakes::cell::worker::listing;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::FinalState;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobState;
use nutmegcart_jobs::MachineState;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::job::TicketTiming;
use nutmegcart_model::WorkerId;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::features::Draw;
use super::features::Feature;
use super::work::RARE_LABEL;
use super::work::WORKER_CPU;
use super::work::WRONG_BY;
use crate::support::queue;
use crate::support::seconds;
use crate::support::world;

/// Time between two checks.
const STEP: Duration = Duration::from_millis(100);
/// Time between two checks once no fault is in force.
const CALM_STEP: Duration = Duration::from_secs(1);
/// Time in which jobs arrive and faults begin, without that of outages.
const SESSION: Duration = Duration::from_mins(1);
/// Time that the jobs have beyond their durations and the work that waits.
const SLACK: Duration = Duration::from_mins(2);
/// Largest time by which the clock of an owner is wrong, in milliseconds.
const MAX_AHEAD: i64 = 2_500;
/// Time from the end of a fault until no start follows from what a worker could not report.
const REPEAT_TIME: Duration = Duration::from_secs(10);
/// Sum of the unacknowledged ends from which a session counts as one with many.
const MANY_ENDS: usize = 1_000;
/// Largest number of open jobs that get another one.
const MAX_OPEN: usize = 40;

/// A session at play.
pub struct Session {
    pub world: CellSimulation,
    pub draw: Draw,
    pub rng: StdRng,
    pub workers: usize,
    pub max_ends: usize,
    pub jobs: Vec<JobId>,
    /// Time that the workers need together for all jobs.
    pub work: Duration,
    /// Latest end of a job that finds room at once.
    pub latest_end: Duration,
    /// Largest number of machines that each wave may take out of service.
    pub max_down: Vec<usize>,
    /// Features that the session has used.
    pub used: BTreeSet<Feature>,
    pub log: Vec<String>,
    /// Until when each worker was cut off from an owner.
    pub cut_off: BTreeMap<WorkerId, Duration>,
    /// Final states; the store forgets them after a while.
    ended: BTreeMap<JobId, FinalState>,
    alone: usize,
}

impl Session {
    pub fn new(draw: Draw) -> Self {
        let mut world = world(draw.seed, 0);
        world.pools.truncate(1);
        let mut rng = StdRng::seed_from_u64(draw.seed);
        let mut used = BTreeSet::new();
        let mut workers = rng.random_range(5..=20);
        if draw.has(Feature::LargePool) {
            workers = draw.details(Feature::LargePool).random_range(60..=300);
            used.insert(Feature::LargePool);
        }
        let labelled = draw.details(Feature::RareLabels).random_range(1..=3);
        let mut max_ends = 500;
        if draw.has(Feature::Outages) {
            max_ends = draw.details(Feature::Outages).random_range(20..=500);
        }
        for index in 0..workers {
            let (name, rack) = (format!("i-{index:03}"), format!("r1-{}", index / 4));
            let size = Resources::new(WORKER_CPU, 262_144, 0);
            let mut listing = listing(&name, "gates", &rack, size);
            if index + labelled >= workers {
                listing.labels.push(RARE_LABEL.into());
            }
            let mut worker = FakeWorker::new(listing, world.now);
            worker.max_ends = max_ends;
            world.add_worker(worker);
        }
        if draw.has(Feature::WrongEstimates) {
            world.duration_spread = WRONG_BY;
            used.insert(Feature::WrongEstimates);
        }
        if draw.has(Feature::ValueLimit) {
            let kib = 2_f64.powf(draw.details(Feature::ValueLimit).random_range(3.6..10.0));
            let limit = Duration::from_millis(1_024).mul_f64(kib).as_millis();
            world.settings.max_value = usize::try_from(limit).unwrap_or(usize::MAX);
            world.store.max_value = Some(world.settings.max_value);
            used.insert(Feature::ValueLimit);
        }
        if draw.has(Feature::Clocks) {
            let mut rng = draw.details(Feature::Clocks);
            let clocks = (0..4).map(|_| rng.random_range(-MAX_AHEAD..=MAX_AHEAD));
            world.clocks_ahead = clocks.collect();
        }
        if draw.has(Feature::Tickets) {
            let mut ticketed = queue("tickets");
            ticketed.pool = "gates".into();
            ticketed.ticket_timing = Some(TicketTiming {
                fixed_ms: 20,
                each_ms: 1,
                valid_ms: 2_000,
            });
            world.queues.push(ticketed);
            let permitted = draw.details(Feature::Tickets).random_range(1..=3);
            let last = world.workers.keys().rev().take(permitted);
            world.permitted = last.cloned().collect();
        }
        world.take_over();
        let mut session = Self {
            latest_end: world.now,
            world,
            draw,
            rng,
            workers,
            max_ends,
            jobs: Vec::new(),
            work: Duration::ZERO,
            max_down: Vec::new(),
            used,
            log: Vec::new(),
            cut_off: BTreeMap::new(),
            ended: BTreeMap::new(),
            alone: 0,
        };
        session.run(seconds(1.0));
        session
    }

    /// Advances the time and checks what holds at any time.
    pub fn run(&mut self, span: Duration) {
        self.run_by(span, STEP);
    }

    fn run_by(&mut self, span: Duration, step: Duration) {
        let end = self.world.now + span;
        while self.world.now < end {
            let left = end.saturating_sub(self.world.now);
            self.world.run(step.min(left));
            self.check();
        }
    }

    fn check(&mut self) {
        let (now, at) = (self.world.now, self.world.now.as_millis());
        let machines = self.world.machines.values();
        let down = machines.filter(|machine| machine.state == MachineState::Maintained);
        let (down, most) = (down.count(), self.max_down.iter().sum());
        if down > most {
            let broken = format!("{at} ms: {down} machines are maintained, {most} may be");
            self.world.checker.violations.push(broken);
        }
        if self.world.alone > self.alone && self.world.checker.is_calm(now) {
            let broken = format!("{at} ms: a member of a gang waited in vain without a fault");
            self.world.checker.violations.push(broken);
        }
        self.alone = self.world.alone;
        for (when, task, holder) in std::mem::take(&mut self.world.checker.repeated) {
            let until = self.cut_off.get(&holder);
            if until.is_none_or(|until| when >= *until + REPEAT_TIME) {
                let broken = format!(
                    "{} ms: {task} started although {holder} reports that it is done",
                    when.as_millis()
                );
                self.world.checker.violations.push(broken);
            }
        }
        let open: Vec<JobId> = self.open().into_iter().cloned().collect();
        for id in open {
            let Some(JobState::Ended(how)) = self.world.stored_state(&id) else {
                continue;
            };
            if how != FinalState::Completed {
                let broken = format!("{at} ms: job {id} ended as {how:?}");
                self.world.checker.violations.push(broken);
            }
            self.ended.insert(id, how);
        }
        let ends = self.world.workers.values().map(|worker| worker.ended.len());
        if ends.sum::<usize>() >= MANY_ENDS {
            self.used.insert(Feature::ManyEnds);
        }
    }

    /// Returns the size of the state that the store refuses at present, in bytes.
    fn rejected_state(&self) -> Option<usize> {
        self.world.owners.last()?.scheduler.rejected_state()
    }

    fn open(&self) -> Vec<&JobId> {
        let jobs = self.jobs.iter();
        jobs.filter(|id| !self.ended.contains_key(*id)).collect()
    }

    /// Plays the session and returns the promises that were broken.
    pub fn play(&mut self) -> Vec<String> {
        let end = self.world.now + SESSION;
        let mut outages = Duration::ZERO;
        while self.world.now < end + outages {
            if self.open().len() < MAX_OPEN {
                for _ in 0..self.rng.random_range(1..4) {
                    self.submit_any();
                }
            }
            let before = self.world.now;
            if self.rng.random_bool(0.5) {
                self.disturb();
            }
            outages += self.world.now.saturating_sub(before);
            let pause = seconds(self.rng.random_range(0.2..5.0));
            self.run(pause);
        }
        self.settle();
        let owners = self.world.owners.iter();
        let clocks: BTreeSet<i64> = owners.map(|owner| owner.clock_ahead).collect();
        if clocks.len() > 1 {
            self.used.insert(Feature::Clocks);
        }
        self.world.checker.violations.clone()
    }

    /// Waits until all jobs have completed, and records those that have not in time.
    fn settle(&mut self) {
        self.run(seconds(25.0));
        if !self.world.owners.iter().any(|owner| owner.up) {
            self.world.take_over();
        }
        let limit = self.world.now.max(self.latest_end) + 4 * self.work + SLACK;
        while !self.open().is_empty() && self.world.now < limit {
            self.run_by(CALM_STEP, CALM_STEP);
        }
        let at = self.world.now.as_millis();
        let open: Vec<JobId> = self.open().into_iter().cloned().collect();
        if !open.is_empty() {
            let (count, jobs) = (open.len(), self.jobs.len());
            let (limit, state) = (self.world.settings.max_value, self.rejected_state());
            self.log.push(format!(
                "{at} ms: {count} of {jobs} jobs are open; the store takes {limit} B, and refuses {state:?} B"
            ));
        }
        for id in open {
            let state = self.world.stored_state(&id);
            let owner = self.world.owners.last();
            let job = owner.and_then(|owner| owner.scheduler.jobs().find(|job| job.id == id));
            let steps = job.map(|job| &job.accepted.job.steps);
            let steps: Vec<String> = steps.into_iter().flatten().map(describe).collect();
            let broken = format!("{at} ms: job {id} is not completed: {state:?}, {steps:?}");
            self.world.checker.violations.push(broken);
        }
    }
}

fn describe(step: &Step) -> String {
    let (count, cpu, estimate) = (step.count, step.need.cpu, step.estimate_ms);
    format!("{count} tasks of {cpu} thousandths of a core and {estimate} ms")
}
