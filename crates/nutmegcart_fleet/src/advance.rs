//! Progress of the operations under way, from the instance list and the answered calls.

use std::time::Duration;

use nutmegcart_model::InstanceId;
use nutmegcart_model::WaveName;
use nutmegcart_platform::InstanceState;

use crate::map::MaintenanceState;
use crate::map::MapEntry;
use crate::map::ObservedInstance;
use crate::planner::CallKind;
use crate::planner::PlannedChange;
use crate::planner::PlannerMemory;
use crate::planner::Seen;
use crate::planner::wave_of;
use crate::planning_round::PlanningRound;
use crate::wave::WavePhase;

/// Time after which a drain that does not end is cancelled.
pub const DRAIN_LIMIT: Duration = Duration::from_mins(30);

/// Time after which a reboot that does not end counts as a failure.
pub const REBOOT_LIMIT: Duration = Duration::from_mins(15);

impl PlanningRound<'_> {
    /// Carries operations under way one state further.
    ///
    /// An operation ends only after its calls were answered, on a line of the list from after the
    /// answer. Its identifiers are then used up, so a call that a paused former holder sends
    /// afterwards changes nothing.
    pub(crate) fn advance(&mut self, memory: &mut PlannerMemory) {
        let mut map = std::mem::take(&mut self.map);
        for (id, entry) in &mut map.instances {
            let observed = self.view.instances.known(id, self.now);
            let Some(operation) = entry.operation.clone() else {
                self.watch_maintained(id, entry, observed);
                continue;
            };
            let seen = memory.note(&operation, entry.state, self.now);
            let verb = verb(entry.state);
            let answered = verb.and_then(|verb| memory.acknowledged(&operation, verb));
            let Some(answered) = answered else {
                continue;
            };
            let gone = self.view.instances.is_absent(id, self.now);
            let line = observed.filter(|line| line.at > answered);
            match entry.state {
                MaintenanceState::Service => {}
                MaintenanceState::Draining => self.advance_drain(id, entry, line, seen, gone),
                MaintenanceState::Rebooting => self.advance_reboot(id, entry, line, seen),
                MaintenanceState::Restoring if gone || is(line, InstanceState::Failed) => {
                    self.fail(id, entry);
                }
                MaintenanceState::Restoring => {
                    if is(line, InstanceState::Live) {
                        entry.finish();
                        self.changes.push(PlannedChange::Recover(id.clone()));
                    }
                }
                MaintenanceState::Failed => self.recover(id, entry, line),
            }
        }
        self.map = map;
    }

    fn advance_drain(
        &mut self,
        id: &InstanceId,
        entry: &mut MapEntry,
        line: Option<&ObservedInstance>,
        seen: Seen,
        gone: bool,
    ) {
        let operation = entry.operation.clone().unwrap_or_default();
        if gone || is(line, InstanceState::Failed) {
            self.fail(id, entry);
        } else if entry.is_held() {
            if is_rebooted(entry, line) {
                entry.finish();
                self.changes
                    .push(PlannedChange::Return(id.clone(), operation));
            }
        } else if !self.is_running(entry) {
            entry.state = MaintenanceState::Restoring;
            self.changes
                .push(PlannedChange::Cancel(id.clone(), operation));
        } else if is(line, InstanceState::Drained) {
            entry.state = MaintenanceState::Rebooting;
            // A lagging list may have hidden an earlier reboot at the start.
            entry.boots_before = line.map_or(entry.boots_before, |line| line.boots);
            self.changes
                .push(PlannedChange::Reboot(id.clone(), operation));
        } else if self.now.saturating_sub(seen.since) > DRAIN_LIMIT {
            entry.state = MaintenanceState::Restoring;
            self.count_failure(entry);
            self.changes
                .push(PlannedChange::Cancel(id.clone(), operation));
        }
    }

    /// An instance may leave the list while it reboots, so its absence alone is no failure.
    fn advance_reboot(
        &mut self,
        id: &InstanceId,
        entry: &mut MapEntry,
        line: Option<&ObservedInstance>,
        seen: Seen,
    ) {
        if is_rebooted(entry, line) {
            let operation = entry.operation.clone().unwrap_or_default();
            let begun = seen.begun.map(|begun| self.now.saturating_sub(begun));
            self.succeed(entry, begun);
            entry.finish();
            self.changes
                .push(PlannedChange::Return(id.clone(), operation));
        } else if is(line, InstanceState::Failed)
            || self.now.saturating_sub(seen.since) > REBOOT_LIMIT
        {
            self.fail(id, entry);
        }
    }

    /// Counts a failure of an instance that a running wave has already maintained.
    fn watch_maintained(
        &mut self,
        id: &InstanceId,
        entry: &mut MapEntry,
        line: Option<&ObservedInstance>,
    ) {
        let state = line.map(|line| line.state);
        match entry.state {
            MaintenanceState::Failed => self.recover(id, entry, line),
            MaintenanceState::Service if state == Some(InstanceState::Failed) => {
                let Some(mark) = entry.last_run.clone() else {
                    return;
                };
                let running = self.waves.iter().find(|(name, progress)| {
                    progress.phase == WavePhase::Running && progress.run_id(name) == mark
                });
                if let Some(name) = running.map(|(name, _)| name.clone()) {
                    entry.state = MaintenanceState::Failed;
                    self.changes.push(PlannedChange::Fail(id.clone()));
                    self.count_failure_of(&name);
                }
            }
            _ => {}
        }
    }

    /// Returns a failed instance that is live again.
    fn recover(&mut self, id: &InstanceId, entry: &mut MapEntry, line: Option<&ObservedInstance>) {
        if !is(line, InstanceState::Live) {
            return;
        }
        if is_rebooted(entry, line) {
            // Whoever repaired the instance also rebooted it.
            self.mark_done(entry);
        }
        entry.finish();
        self.changes.push(PlannedChange::Recover(id.clone()));
    }

    fn is_running(&self, entry: &MapEntry) -> bool {
        wave_of(entry).is_some_and(|(name, run)| {
            let phase = self.waves.get(&name).map(|wave| (wave.phase, wave.run));
            self.view.config.waves.contains_key(&name) && phase == Some((WavePhase::Running, run))
        })
    }

    fn mark_done(&mut self, entry: &mut MapEntry) -> Option<WaveName> {
        let (name, run) = wave_of(entry)?;
        entry.last_run = Some(format!("{name}.{run}").into());
        let progress = self.waves.get(&name)?;
        (progress.run == run).then_some(name)
    }

    fn succeed(&mut self, entry: &mut MapEntry, took: Option<Duration>) {
        if let Some(name) = self.mark_done(entry) {
            if let Some(progress) = self.waves.get_mut(&name) {
                progress.succeed(took.map(|took| took.as_secs_f64()));
            }
            self.touched.insert(name);
        }
    }

    fn fail(&mut self, id: &InstanceId, entry: &mut MapEntry) {
        entry.state = MaintenanceState::Failed;
        self.changes.push(PlannedChange::Fail(id.clone()));
        self.count_failure(entry);
    }

    fn count_failure(&mut self, entry: &MapEntry) {
        if let Some((name, _)) = wave_of(entry) {
            self.count_failure_of(&name);
        }
    }

    fn count_failure_of(&mut self, name: &WaveName) {
        if let Some(progress) = self.waves.get_mut(name) {
            if progress.fail() {
                self.changes.push(PlannedChange::Halt(name.clone()));
            }
            self.touched.insert(name.clone());
        }
    }
}

/// Returns the call that a state asks for.
///
/// An operation is cancelled only after its drain was answered, so a drain that a paused former
/// holder sends after the restore changes nothing. A failed instance is restored as well, so that
/// it is not drained any more when it comes back.
pub(crate) const fn verb(state: MaintenanceState) -> Option<CallKind> {
    match state {
        MaintenanceState::Draining => Some(CallKind::Drain),
        MaintenanceState::Rebooting => Some(CallKind::Reboot),
        MaintenanceState::Restoring | MaintenanceState::Failed => Some(CallKind::Restore),
        MaintenanceState::Service => None,
    }
}

fn is(line: Option<&ObservedInstance>, state: InstanceState) -> bool {
    line.is_some_and(|line| line.state == state)
}

fn is_rebooted(entry: &MapEntry, line: Option<&ObservedInstance>) -> bool {
    line.is_some_and(|line| line.state == InstanceState::Live && line.boots > entry.boots_before)
}
