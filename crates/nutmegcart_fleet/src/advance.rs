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
    /// An operation ends only after its calls were answered. Its identifiers are then used up, so
    /// a call that a paused former holder sends afterwards changes nothing.
    pub(crate) fn advance(&mut self, memory: &mut Memory) {
        let mut map = std::mem::take(&mut self.map);
        for (id, entry) in &mut map.instances {
            let observed = self.view.listing.known(id, self.now);
            let Some(operation) = entry.operation.clone() else {
                self.watch_maintained(id, entry, observed);
                continue;
            };
            let seen = memory.note(&operation, entry.state, self.now);
            let waited = self.now.saturating_sub(seen.since);
            let used = |verb| memory.acknowledged(&operation, verb);
            let failed = observed.is_some_and(|line| line.state == InstanceState::Failed);
            let rebooted = observed
                .is_some_and(|line| line.state == InstanceState::Live && line.boots > entry.boots);
            match entry.state {
                State::Service => entry.operation = None,
                State::Draining => {
                    let used = used(Verb::Drain);
                    let drained = is_since(observed, InstanceState::Drained, used);
                    if failed && used.is_some() {
                        self.fail(id, entry);
                    } else if entry.is_held() {
                        if rebooted && used.is_some() {
                            entry.finish();
                            self.actions.push(Action::Return(id.clone(), operation));
                        }
                    } else if !self.is_running(entry) {
                        entry.state = State::Restoring;
                        self.actions.push(Action::Cancel(id.clone(), operation));
                    } else if drained {
                        entry.state = State::Rebooting;
                        self.actions.push(Action::Reboot(id.clone(), operation));
                    } else if waited > DRAIN_LIMIT {
                        entry.state = State::Restoring;
                        self.count_failure(entry);
                        self.actions.push(Action::Cancel(id.clone(), operation));
                    }
                }
                State::Rebooting => {
                    if used(Verb::Reboot).is_none() {
                        continue;
                    }
                    if rebooted {
                        let begun = seen.begun.map(|begun| self.now.saturating_sub(begun));
                        self.succeed(entry, begun);
                        entry.finish();
                        self.actions.push(Action::Return(id.clone(), operation));
                    } else if failed || waited > REBOOT_LIMIT {
                        self.fail(id, entry);
                    }
                }
                State::Restoring => {
                    let used = used(Verb::Restore);
                    let restored = is_since(observed, InstanceState::Live, used);
                    if failed && used.is_some() {
                        self.fail(id, entry);
                    } else if restored {
                        entry.finish();
                        self.actions.push(Action::Recover(id.clone()));
                    }
                }
                State::Failed => self.recover(id, entry, observed),
            }
        }
        self.map = map;
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

    fn recover(&mut self, id: &InstanceId, entry: &mut Entry, line: Option<&Observed>) {
        let Some(line) = line else {
            return;
        };
        match line.state {
            InstanceState::Live => {
                if line.boots > entry.boots {
                    // Whoever repaired the instance also rebooted it.
                    self.mark_done(entry);
                }
                entry.finish();
                self.actions.push(Action::Recover(id.clone()));
            }
            InstanceState::Drained if entry.operation.is_some() => {
                entry.state = State::Restoring;
                let operation = entry.operation.clone().unwrap_or_default();
                self.actions.push(Action::Cancel(id.clone(), operation));
            }
            _ => {}
        }
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

/// Returns whether the list showed the state after the call was answered.
fn is_since(line: Option<&Observed>, state: InstanceState, answered: Option<Duration>) -> bool {
    line.is_some_and(|line| {
        line.state == state && answered.is_some_and(|answered| line.at >= answered)
    })
}
