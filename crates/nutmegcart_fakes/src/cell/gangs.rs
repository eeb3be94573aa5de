//! Gangs: tasks that work only together, from the moment when all of them are present.

use std::sync::Arc;
use std::time::Duration;

use nutmegcart_jobs::ReportedEnd;
use nutmegcart_jobs::RunEnd;
use nutmegcart_jobs::TaskKey;
use nutmegcart_model::WorkerId;

use crate::cell::CellSimulation;
use crate::cell::Event;
use crate::cell::worker::FakeRun;

/// Time for which a member waits for the others.
pub const GANG_TIMEOUT: Duration = Duration::from_secs(3);
/// Time from the start until a run that has got a checkpoint works again.
const RESTORE_TIME: Duration = Duration::from_millis(600);
/// Work between two checkpoints.
const SAVE_PERIOD: Duration = Duration::from_millis(500);

/// What a run of a gang's member has in addition to other runs.
#[derive(Clone, Debug)]
pub struct Member {
    /// Number of tasks of the gang.
    pub size: u32,
    /// Whether it writes checkpoints.
    pub saves: bool,
    /// Checkpoint that its start carried.
    pub checkpoint: Option<Arc<str>>,
    /// Factor of its duration, drawn at its start. That of the last member holds for all.
    pub factor: f64,
    /// When all members were present, if they were.
    pub began: Option<Duration>,
}

impl Member {
    /// Returns the work that the checkpoint of its start contains.
    fn restored(&self) -> Duration {
        let millis = self
            .checkpoint
            .as_deref()
            .and_then(|text| text.split('-').next()?.parse().ok());
        Duration::from_millis(millis.unwrap_or_default())
    }

    /// Returns the time from the start of a run to its work.
    fn delay(&self) -> Duration {
        if self.checkpoint.is_some() {
            RESTORE_TIME
        } else {
            Duration::ZERO
        }
    }

    fn worked(&self, now: Duration) -> Duration {
        let begun = self.began.map(|began| began + self.delay());
        begun.map_or(Duration::ZERO, |begun| now.saturating_sub(begun))
    }

    /// Returns the work that is done, that of earlier runs included.
    #[must_use]
    pub fn done(&self, now: Duration) -> Duration {
        self.restored() + self.worked(now)
    }

    /// Returns its latest checkpoint; a stop writes one. The checkpoints of two members differ.
    #[must_use]
    pub fn saved(&self, index: u32, now: Duration, stopped: bool) -> Option<Arc<str>> {
        let worked = self.worked(now);
        let periods = worked.as_millis() / SAVE_PERIOD.as_millis();
        let kept = if stopped {
            worked
        } else {
            SAVE_PERIOD * u32::try_from(periods).unwrap_or_default()
        };
        if !self.saves || kept.is_zero() {
            return self.checkpoint.clone();
        }
        let total = (self.restored() + kept).as_millis();
        Some(format!("{total}-{index}").into())
    }
}

fn is_member(task: &TaskKey, other: &TaskKey) -> bool {
    (&task.job, task.occurrence, task.step) == (&other.job, other.occurrence, other.step)
}

impl CellSimulation {
    /// Returns the runs of a gang that are present.
    fn members(&self, task: &TaskKey, number: u32) -> Vec<(WorkerId, TaskKey)> {
        let up = self.workers.iter().filter(|(_, worker)| worker.up);
        let runs = up.flat_map(|(id, worker)| {
            let runs = worker.runs.iter();
            let members = runs.filter(|(key, run)| {
                is_member(task, key) && run.number == number && run.member.is_some()
            });
            members.map(|(key, _)| (id.clone(), key.clone()))
        });
        runs.collect()
    }

    fn member_run(&mut self, id: &WorkerId, task: &TaskKey) -> Option<&mut FakeRun> {
        self.workers.get_mut(id)?.runs.get_mut(task)
    }

    /// Lets the live run of a gang's member fail, which ends the others.
    pub fn fail_member(&mut self, task: &TaskKey) {
        let hosts = self.workers.iter();
        let hosts = hosts.filter_map(|(id, worker)| Some((id, worker.runs.get(task)?.number)));
        let Some((id, number)) = hosts.map(|(id, number)| (id.clone(), number)).next() else {
            return;
        };
        self.end_member(&id, task, number, RunEnd::Failed);
        let ended = self.workers[&id].ended.last().cloned();
        self.break_gangs(&Vec::from_iter(ended));
    }

    /// Begins the work of a gang if all members are present with the same checkpoint, and ends the
    /// member that has just started after a while if it does not.
    pub(super) fn member_started(&mut self, id: &WorkerId, task: &TaskKey, number: u32) {
        let (worker, key) = (id.clone(), task.clone());
        self.after(GANG_TIMEOUT, move |cell| {
            let run = cell.member_run(&worker, &key);
            let waits = run.filter(|run| run.number == number);
            let member = waits.and_then(|run| run.member.as_ref());
            if member.is_some_and(|member| member.began.is_none()) {
                cell.alone += 1;
                cell.end_member(&worker, &key, number, RunEnd::Alone);
            }
        });
        let members = self.members(task, number);
        let mut checkpoints = Vec::new();
        let mut size = 0;
        for (id, key) in &members {
            if let Some(member) = self.member_run(id, key).and_then(|run| run.member.clone()) {
                size = member.size;
                checkpoints.push(member.checkpoint);
            }
        }
        checkpoints.dedup();
        if checkpoints.len() > 1 {
            let at = self.now.as_millis();
            self.checker.violations.push(format!(
                "{at} ms: {task} run {number} started beside members with another checkpoint"
            ));
        }
        if members.len() != size as usize || checkpoints.len() != 1 {
            return;
        }
        let now = self.now;
        // The members of a gang are done together.
        let last = self.member_run(id, task);
        let factor = last.and_then(|run| Some(run.member.as_ref()?.factor));
        let factor = factor.unwrap_or(1.0);
        for (id, key) in members {
            let incarnation = self.workers[&id].listing.incarnation;
            let Some(run) = self.member_run(&id, &key) else {
                continue;
            };
            run.duration = run.duration.mul_f64(factor);
            let duration = run.duration;
            let Some(member) = run.member.as_mut() else {
                continue;
            };
            member.began = Some(now);
            let left = member.delay() + duration.saturating_sub(member.restored());
            if !run.long_running {
                self.schedule(left, Event::RunEnds(id, incarnation, key, number));
            }
        }
    }

    /// Ends the other members of gangs that were at work with members that have ended.
    pub(super) fn break_gangs(&mut self, ended: &[ReportedEnd]) {
        for end in ended {
            if matches!(end.how, RunEnd::Done | RunEnd::Alone) {
                continue;
            }
            for (id, key) in self.members(&end.task, end.run) {
                let run = self.member_run(&id, &key);
                let member = run.and_then(|run| run.member.as_ref());
                if member.is_some_and(|member| member.began.is_some()) {
                    self.end_member(&id, &key, end.run, RunEnd::Broken);
                }
            }
        }
    }

    fn end_member(&mut self, id: &WorkerId, task: &TaskKey, number: u32, how: RunEnd) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.end_run(task, how, now);
        }
        let failed = how == RunEnd::Failed;
        self.checker.record_end(id, task, number, false, failed);
        self.answer_waiting_poll(id);
    }
}
