//! Advances maintenance operations by the instance list and the answers of the platform.

use std::time::Duration;

use nutmegcart_model::InstanceId;
use nutmegcart_model::WaveName;
use nutmegcart_platform::InstanceState;

use crate::map::MaintenanceState;
use crate::map::MapEntry;
use crate::map::ObservedInstance;
use crate::planner::CallKind;
use crate::planner::OperationObservation;
use crate::planner::PlannedChange;
use crate::planner::PlannerMemory;
use crate::planner::wave_run_of;
use crate::planning_round::PlanningRound;
use crate::wave::WavePhase;

/// Time after which an unfinished drain is cancelled.
pub const DRAIN_LIMIT: Duration = Duration::from_mins(30);

/// Time after which an unfinished reboot counts as a failure.
pub const REBOOT_LIMIT: Duration = Duration::from_mins(15);

impl PlanningRound<'_> {
    /// Advances every operation by at most one state.
    ///
    /// An operation ends only after the platform answered its calls and a later observation of the
    /// instance confirms the result. The platform has then seen its identifiers, so a call that a
    /// paused former duty holder repeats has no effect.
    pub(crate) fn advance(&mut self, memory: &mut PlannerMemory) {
        let mut map = std::mem::take(&mut self.map);
        for (id, entry) in &mut map.instances {
            let observed = self.view.instances.known(id, self.now);
            let Some(operation) = entry.operation.clone() else {
                self.check_maintained(id, entry, observed);
                continue;
            };
            let seen = memory.observe_state(&operation, entry.state, self.now);
            let call = required_call(entry.state);
            let answered_at = call.and_then(|kind| memory.acknowledged(&operation, kind));
            let Some(answered_at) = answered_at else {
                continue;
            };
            let absent = self.view.instances.is_absent(id, self.now);
            let confirmed = observed.filter(|observed| observed.at > answered_at);
            match entry.state {
                MaintenanceState::Service => {}
                MaintenanceState::Draining => {
                    self.advance_drain(id, entry, confirmed, seen, absent);
                }
                MaintenanceState::Rebooting => self.advance_reboot(id, entry, confirmed, seen),
                MaintenanceState::Restoring
                    if absent || is_in_state(confirmed, InstanceState::Failed) =>
                {
                    self.fail(id, entry);
                }
                MaintenanceState::Restoring => {
                    if is_in_state(confirmed, InstanceState::Live) {
                        entry.finish();
                        self.changes.push(PlannedChange::Recover(id.clone()));
                    }
                }
                MaintenanceState::Failed => self.recover(id, entry, confirmed),
            }
        }
        self.map = map;
    }

    fn advance_drain(
        &mut self,
        id: &InstanceId,
        entry: &mut MapEntry,
        observed: Option<&ObservedInstance>,
        seen: OperationObservation,
        absent: bool,
    ) {
        let operation = entry.operation.clone().unwrap_or_default();
        if absent || is_in_state(observed, InstanceState::Failed) {
            self.fail(id, entry);
        } else if entry.is_held() {
            if is_rebooted(entry, observed) {
                entry.finish();
                self.changes
                    .push(PlannedChange::Return(id.clone(), operation));
            }
        } else if !self.is_running(entry) {
            entry.state = MaintenanceState::Restoring;
            self.changes
                .push(PlannedChange::Cancel(id.clone(), operation));
        } else if is_in_state(observed, InstanceState::Drained) {
            entry.state = MaintenanceState::Rebooting;
            // The list may have lagged when the operation began and missed an earlier reboot.
            entry.boots_before = observed.map_or(entry.boots_before, |observed| observed.boots);
            self.changes
                .push(PlannedChange::Reboot(id.clone(), operation));
        } else if self.now.saturating_sub(seen.since) > DRAIN_LIMIT {
            entry.state = MaintenanceState::Restoring;
            self.count_failure(entry);
            self.changes
                .push(PlannedChange::Cancel(id.clone(), operation));
        }
    }

    /// Ends or fails a reboot.
    ///
    /// An instance may be absent from the list while it reboots, so absence alone is not a failure.
    fn advance_reboot(
        &mut self,
        id: &InstanceId,
        entry: &mut MapEntry,
        observed: Option<&ObservedInstance>,
        seen: OperationObservation,
    ) {
        if is_rebooted(entry, observed) {
            let operation = entry.operation.clone().unwrap_or_default();
            let duration = seen.begun.map(|begun| self.now.saturating_sub(begun));
            self.succeed(entry, duration);
            entry.finish();
            self.changes
                .push(PlannedChange::Return(id.clone(), operation));
        } else if is_in_state(observed, InstanceState::Failed)
            || self.now.saturating_sub(seen.since) > REBOOT_LIMIT
        {
            self.fail(id, entry);
        }
    }

    /// Counts a failure against a running wave if the wave has already maintained the instance.
    fn check_maintained(
        &mut self,
        id: &InstanceId,
        entry: &mut MapEntry,
        observed: Option<&ObservedInstance>,
    ) {
        let state = observed.map(|observed| observed.state);
        match entry.state {
            MaintenanceState::Failed => self.recover(id, entry, observed),
            MaintenanceState::Service if state == Some(InstanceState::Failed) => {
                let Some(run_id) = entry.last_run.clone() else {
                    return;
                };
                let running = self.waves.iter().find(|(name, progress)| {
                    progress.phase == WavePhase::Running && progress.run_id(name) == run_id
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

    /// Puts a failed instance that is live again back into service.
    fn recover(
        &mut self,
        id: &InstanceId,
        entry: &mut MapEntry,
        observed: Option<&ObservedInstance>,
    ) {
        if !is_in_state(observed, InstanceState::Live) {
            return;
        }
        if is_rebooted(entry, observed) {
            // The repair included a reboot, so the maintenance is done.
            self.mark_maintained(entry);
        }
        entry.finish();
        self.changes.push(PlannedChange::Recover(id.clone()));
    }

    fn is_running(&self, entry: &MapEntry) -> bool {
        wave_run_of(entry).is_some_and(|(name, run)| {
            let phase = self.waves.get(&name).map(|wave| (wave.phase, wave.run));
            self.view.config.waves.contains_key(&name) && phase == Some((WavePhase::Running, run))
        })
    }

    fn mark_maintained(&mut self, entry: &mut MapEntry) -> Option<WaveName> {
        let (name, run) = wave_run_of(entry)?;
        entry.last_run = Some(format!("{name}.{run}").into());
        let progress = self.waves.get(&name)?;
        (progress.run == run).then_some(name)
    }

    fn succeed(&mut self, entry: &mut MapEntry, duration: Option<Duration>) {
        if let Some(name) = self.mark_maintained(entry) {
            if let Some(progress) = self.waves.get_mut(&name) {
                progress.record_success(duration.map(|duration| duration.as_secs_f64()));
            }
            self.changed_waves.insert(name);
        }
    }

    fn fail(&mut self, id: &InstanceId, entry: &mut MapEntry) {
        entry.state = MaintenanceState::Failed;
        self.changes.push(PlannedChange::Fail(id.clone()));
        self.count_failure(entry);
    }

    fn count_failure(&mut self, entry: &MapEntry) {
        if let Some((name, _)) = wave_run_of(entry) {
            self.count_failure_of(&name);
        }
    }

    fn count_failure_of(&mut self, name: &WaveName) {
        if let Some(progress) = self.waves.get_mut(name) {
            if progress.record_failure() {
                self.changes.push(PlannedChange::Halt(name.clone()));
            }
            self.changed_waves.insert(name.clone());
        }
    }
}

/// Returns the platform call that the state requires.
///
/// An operation is cancelled only after its drain was answered, so a drain that a paused former
/// duty holder sends after the restore has no effect. A failed instance is restored as well, so
/// that it is not drained when it comes back.
pub(crate) const fn required_call(state: MaintenanceState) -> Option<CallKind> {
    match state {
        MaintenanceState::Draining => Some(CallKind::Drain),
        MaintenanceState::Rebooting => Some(CallKind::Reboot),
        MaintenanceState::Restoring | MaintenanceState::Failed => Some(CallKind::Restore),
        MaintenanceState::Service => None,
    }
}

fn is_in_state(observed: Option<&ObservedInstance>, state: InstanceState) -> bool {
    observed.is_some_and(|observed| observed.state == state)
}

fn is_rebooted(entry: &MapEntry, observed: Option<&ObservedInstance>) -> bool {
    observed.is_some_and(|observed| {
        observed.state == InstanceState::Live && observed.boots > entry.boots_before
    })
}
