//! Progress of the operations under way, from the instance list and the answered calls.

use std::time::Duration;

use nutmegcart_model::InstanceId;
use nutmegcart_model::WaveName;
use nutmegcart_platform::InstanceState;

use crate::map::Entry;
use crate::map::Observed;
use crate::map::State;
use crate::planner::Action;
use crate::planner::Memory;
use crate::planner::Seen;
use crate::planner::Verb;
use crate::planner::wave_of;
use crate::round::Round;
use crate::wave::Phase;

/// Time after which a drain that does not end is cancelled.
pub const DRAIN_LIMIT: Duration = Duration::from_mins(30);

/// Time after which a reboot that does not end counts as a failure.
pub const REBOOT_LIMIT: Duration = Duration::from_mins(15);

impl Round<'_> {
    /// Carries operations under way one state further.
    ///
    /// An operation ends only after its calls were answered, on a line of the list from after the
    /// answer. Its identifiers are then used up, so a call that a paused former holder sends
    /// afterwards changes nothing.
    pub(crate) fn advance(&mut self, memory: &mut Memory) {
        let mut map = std::mem::take(&mut self.map);
        for (id, entry) in &mut map.instances {
            let observed = self.view.listing.known(id, self.now);
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
            let gone = self.view.listing.lacks(id, self.now);
            let line = observed.filter(|line| line.at > answered);
            match entry.state {
                State::Service => {}
                State::Draining => self.advance_drain(id, entry, line, seen, gone),
                State::Rebooting => self.advance_reboot(id, entry, line, seen),
                State::Restoring if gone || is(line, InstanceState::Failed) => self.fail(id, entry),
                State::Restoring => {
                    if is(line, InstanceState::Live) {
                        entry.finish();
                        self.actions.push(Action::Recover(id.clone()));
                    }
                }
                State::Failed => self.recover(id, entry, line),
            }
        }
        self.map = map;
    }

    fn advance_drain(
        &mut self,
        id: &InstanceId,
        entry: &mut Entry,
        line: Option<&Observed>,
        seen: Seen,
        gone: bool,
    ) {
        let operation = entry.operation.clone().unwrap_or_default();
        if gone || is(line, InstanceState::Failed) {
            self.fail(id, entry);
        } else if entry.is_held() {
            if is_rebooted(entry, line) {
                entry.finish();
                self.actions.push(Action::Return(id.clone(), operation));
            }
        } else if !self.is_running(entry) {
            entry.state = State::Restoring;
            self.actions.push(Action::Cancel(id.clone(), operation));
        } else if is(line, InstanceState::Drained) {
            entry.state = State::Rebooting;
            // A lagging list may have hidden an earlier reboot at the start.
            entry.boots = line.map_or(entry.boots, |line| line.boots);
            self.actions.push(Action::Reboot(id.clone(), operation));
        } else if self.now.saturating_sub(seen.since) > DRAIN_LIMIT {
            entry.state = State::Restoring;
            self.count_failure(entry);
            self.actions.push(Action::Cancel(id.clone(), operation));
        }
    }

    /// An instance may leave the list while it reboots, so its absence alone is no failure.
    fn advance_reboot(
        &mut self,
        id: &InstanceId,
        entry: &mut Entry,
        line: Option<&Observed>,
        seen: Seen,
    ) {
        if is_rebooted(entry, line) {
            let operation = entry.operation.clone().unwrap_or_default();
            let begun = seen.begun.map(|begun| self.now.saturating_sub(begun));
            self.succeed(entry, begun);
            entry.finish();
            self.actions.push(Action::Return(id.clone(), operation));
        } else if is(line, InstanceState::Failed)
            || self.now.saturating_sub(seen.since) > REBOOT_LIMIT
        {
            self.fail(id, entry);
        }
    }

    /// Counts a failure of an instance that a running wave has already maintained.
    fn watch_maintained(&mut self, id: &InstanceId, entry: &mut Entry, line: Option<&Observed>) {
        let state = line.map(|line| line.state);
        match entry.state {
            State::Failed => self.recover(id, entry, line),
            State::Service if state == Some(InstanceState::Failed) => {
                let Some(mark) = entry.done.clone() else {
                    return;
                };
                let running = self.waves.iter().find(|(name, progress)| {
                    progress.phase == Phase::Running && progress.mark(name) == mark
                });
                if let Some(name) = running.map(|(name, _)| name.clone()) {
                    entry.state = State::Failed;
                    self.actions.push(Action::Fail(id.clone()));
                    self.count_failure_of(&name);
                }
            }
            _ => {}
        }
    }

    /// Returns a failed instance that is live again.
    fn recover(&mut self, id: &InstanceId, entry: &mut Entry, line: Option<&Observed>) {
        if !is(line, InstanceState::Live) {
            return;
        }
        if is_rebooted(entry, line) {
            // Whoever repaired the instance also rebooted it.
            self.mark_done(entry);
        }
        entry.finish();
        self.actions.push(Action::Recover(id.clone()));
    }

    fn is_running(&self, entry: &Entry) -> bool {
        wave_of(entry).is_some_and(|(name, run)| {
            let phase = self.waves.get(&name).map(|wave| (wave.phase, wave.run));
            self.view.settings.waves.contains_key(&name) && phase == Some((Phase::Running, run))
        })
    }

    fn mark_done(&mut self, entry: &mut Entry) -> Option<WaveName> {
        let (name, run) = wave_of(entry)?;
        entry.done = Some(format!("{name}.{run}").into());
        let progress = self.waves.get(&name)?;
        (progress.run == run).then_some(name)
    }

    fn succeed(&mut self, entry: &mut Entry, took: Option<Duration>) {
        if let Some(name) = self.mark_done(entry) {
            if let Some(progress) = self.waves.get_mut(&name) {
                progress.succeed(took.map(|took| took.as_secs_f64()));
            }
            self.touched.insert(name);
        }
    }

    fn fail(&mut self, id: &InstanceId, entry: &mut Entry) {
        entry.state = State::Failed;
        self.actions.push(Action::Fail(id.clone()));
        self.count_failure(entry);
    }

    fn count_failure(&mut self, entry: &Entry) {
        if let Some((name, _)) = wave_of(entry) {
            self.count_failure_of(&name);
        }
    }

    fn count_failure_of(&mut self, name: &WaveName) {
        if let Some(progress) = self.waves.get_mut(name) {
            if progress.fail() {
                self.actions.push(Action::Halt(name.clone()));
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
pub(crate) const fn verb(state: State) -> Option<Verb> {
    match state {
        State::Draining => Some(Verb::Drain),
        State::Rebooting => Some(Verb::Reboot),
        State::Restoring | State::Failed => Some(Verb::Restore),
        State::Service => None,
    }
}

fn is(line: Option<&Observed>, state: InstanceState) -> bool {
    line.is_some_and(|line| line.state == state)
}

fn is_rebooted(entry: &Entry, line: Option<&Observed>) -> bool {
    line.is_some_and(|line| line.state == InstanceState::Live && line.boots > entry.boots)
}
