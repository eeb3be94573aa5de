//! Waves of machine maintenance.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;

use crate::job::TaskKey;
use crate::machines::Machine;
use crate::machines::MachineOrder;
use crate::machines::MachineState;
use crate::scheduler::Scheduler;
use crate::worker::RunState;
use crate::worker::StopReason;

/// Machines emptied ahead of the ones that may be down, so that the next is ready in time.
const AHEAD: usize = 2;
/// Age of a worker's latest answer above which its tasks do not count as at work.
const FRESH: Duration = Duration::from_millis(1_500);
/// Share of a wave's time after which short tasks are stopped instead of waited for.
const PATIENCE: f64 = 0.5;

/// A wave that an operator asked for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WaveRequest {
    /// Number.
    pub number: u64,
    /// Machines.
    pub machines: Vec<Arc<str>>,
    /// Time in which all have to be maintained.
    pub duration: Duration,
    /// Machines that may be down for it at once; 0 while other cells have their turn.
    pub max_down: usize,
}

/// Progress of a wave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaveState {
    /// Machines are still to be maintained.
    Running,
    /// Every machine that is still there has been.
    Completed,
}

#[derive(Clone, Debug)]
struct Wave {
    request: WaveRequest,
    seen: Duration,
    done: BTreeSet<Arc<str>>,
    reserved: BTreeSet<Arc<str>>,
    completed: bool,
}

/// Waves under way.
#[derive(Clone, Debug, Default)]
pub(crate) struct Maintenance {
    waves: BTreeMap<u64, Wave>,
    inherited: BTreeMap<u64, BTreeSet<Arc<str>>>,
    /// Whether progress is not stored yet.
    pub(crate) unsaved: bool,
}

impl Maintenance {
    /// Takes over the progress that an earlier owner stored.
    pub(crate) fn inherit(&mut self, maintained: &[(u64, Vec<Arc<str>>)]) {
        for (wave, machines) in maintained {
            self.inherited
                .insert(*wave, machines.iter().cloned().collect());
        }
    }

    /// Returns the machines that have been maintained, by wave.
    pub(crate) fn maintained(&self) -> Vec<(u64, Vec<Arc<str>>)> {
        let mut all = self.inherited.clone();
        for (number, wave) in &self.waves {
            all.insert(*number, wave.done.clone());
        }
        let listed = all
            .into_iter()
            .map(|(number, done)| (number, done.into_iter().collect()));
        listed.collect()
    }

    pub(crate) fn note_done(&mut self, wave: u64, machine: &Arc<str>) {
        if let Some(wave) = self.waves.get_mut(&wave) {
            wave.done.insert(machine.clone());
            self.unsaved = true;
            wave.reserved.remove(machine);
        }
    }

    /// Returns whether a machine waits for its maintenance.
    pub(crate) fn wants(&self, machine: &str) -> bool {
        let mut waves = self.waves.values().filter(|wave| !wave.completed);
        waves.any(|wave| {
            let named = wave.request.machines.iter().any(|name| &**name == machine);
            named && !wave.done.contains(machine)
        })
    }
}

impl Scheduler {
    /// Takes in a wave; one that is known already keeps its progress.
    pub fn update_wave(&mut self, request: WaveRequest, now: Duration) {
        let done = self
            .maintenance
            .inherited
            .get(&request.number)
            .cloned()
            .unwrap_or_default();
        let wave = self
            .maintenance
            .waves
            .entry(request.number)
            .or_insert_with(|| {
                log_event!(
                    Event::WaveDetected,
                    wave = request.number,
                    machines = request.machines.len(),
                    most = request.max_down
                );
                Wave {
                    request: request.clone(),
                    seen: now,
                    done,
                    reserved: BTreeSet::new(),
                    completed: false,
                }
            });
        wave.request = request;
    }

    /// Returns the state of a wave, if it is known.
    #[must_use]
    pub fn wave(&self, number: u64) -> Option<WaveState> {
        let wave = self.maintenance.waves.get(&number)?;
        Some(if wave.completed {
            WaveState::Completed
        } else {
            WaveState::Running
        })
    }

    /// Advances all waves.
    pub(crate) fn advance_waves(&mut self, now: Duration) {
        if !self.may_order_machines(now) {
            return;
        }
        self.retry_machine_orders(now);
        let numbers: Vec<u64> = self.maintenance.waves.keys().copied().collect();
        for number in numbers {
            self.advance_wave(number, now);
        }
    }

    /// Returns whether a machine counts as down for the wave.
    ///
    /// A machine that an earlier owner may just have ordered counts as down, since its order may
    /// still be carried out.
    fn counts_as_down(&self, machine: &Machine, number: u64, now: Duration) -> bool {
        let pending = self.machines.pending.get(&machine.name);
        let ours = pending.is_some_and(|pending| pending.order == MachineOrder::Maintain(number));
        ours || machine.state == MachineState::Maintained
            || self.may_have_inherited_order(&machine.name, now)
    }

    fn advance_wave(&mut self, number: u64, now: Duration) {
        let Some(wave) = self
            .maintenance
            .waves
            .get(&number)
            .filter(|wave| !wave.completed)
        else {
            return;
        };
        let hurry = now >= wave.seen + wave.request.duration.mul_f64(PATIENCE);
        let most = wave.request.max_down;
        let present: Vec<Machine> = wave
            .request
            .machines
            .iter()
            .filter_map(|name| self.machines.known.get(name).cloned())
            .collect();
        let down = present
            .iter()
            .filter(|machine| self.counts_as_down(machine, number, now))
            .count();
        let mut open: Vec<Machine> = present
            .into_iter()
            .filter(|machine| !wave.done.contains(&machine.name))
            .collect();
        if open.is_empty() {
            if let Some(wave) = self.maintenance.waves.get_mut(&number) {
                wave.completed = true;
                log_event!(
                    Event::WaveFinished,
                    wave = number,
                    ms = now.saturating_sub(wave.seen).as_millis()
                );
            }
            return;
        }
        open.retain(|machine| {
            machine.state == MachineState::Up && !self.machines.pending.contains_key(&machine.name)
        });
        let reserved = wave.reserved.clone();
        open.sort_by_cached_key(|machine| {
            let first = !reserved.contains(&machine.name);
            (first, self.load_of(machine), machine.name.clone())
        });
        let mut room = most.saturating_sub(down);
        let empty: Vec<Arc<str>> = open
            .iter()
            .filter(|machine| self.is_empty(machine))
            .map(|machine| machine.name.clone())
            .collect();
        for name in empty {
            if room == 0 {
                break;
            }
            self.order_machine(&name, &MachineOrder::Maintain(number));
            room -= 1;
        }
        if most == 0 {
            // It is the turn of another cell; work stays where it is until then.
            return;
        }
        let ahead = most + AHEAD;
        let busy: Vec<Machine> = open
            .into_iter()
            .filter(|machine| !self.machines.pending.contains_key(&machine.name))
            .collect();
        for machine in busy.into_iter().take(ahead.saturating_sub(down).min(ahead)) {
            self.drain_machine(&machine, hurry, now);
            if let Some(wave) = self.maintenance.waves.get_mut(&number) {
                wave.reserved.insert(machine.name.clone());
            }
        }
    }

    /// Returns whether certainly nothing runs on a machine.
    pub(crate) fn is_empty(&self, machine: &Machine) -> bool {
        match self.worker_of(machine).and_then(|id| self.workers.get(&id)) {
            Some(worker) => worker.runs.is_empty() && worker.fenced,
            None => machine
                .worker
                .as_ref()
                .is_none_or(|id| self.ended_incarnations.contains_key(id)),
        }
    }

    /// Returns the numbers of lasting and of all runs on a machine.
    pub(crate) fn load_of(&self, machine: &Machine) -> (usize, usize) {
        let worker = self.worker_of(machine).and_then(|id| self.workers.get(&id));
        worker.map_or((0, 0), |worker| {
            let lasting = worker.runs.values().filter(|run| run.long_running).count();
            (lasting, worker.runs.len())
        })
    }

    /// Keeps a machine free of new tasks and moves lasting ones away as their budgets allow.
    fn drain_machine(&mut self, machine: &Machine, hurry: bool, now: Duration) {
        let Some(id) = self.worker_of(machine) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        worker.reserved = true;
        let mut lasting = Vec::new();
        let mut short = Vec::new();
        for (key, run) in &worker.runs {
            if run.state != RunState::Running {
                continue;
            }
            if run.long_running {
                lasting.push(key.clone());
            } else {
                short.push(key.clone());
            }
        }
        for key in lasting {
            if self.may_interrupt(&key, now) {
                self.stop(&id, &key, StopReason::Evacuated);
            }
        }
        if hurry {
            for key in short {
                self.stop(&id, &key, StopReason::Evacuated);
            }
        }
    }

    /// Returns whether stopping a lasting task keeps its step within its availability budget.
    pub(crate) fn may_interrupt(&self, key: &TaskKey, now: Duration) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return true;
        };
        let Some(step) = job.step(key) else {
            return true;
        };
        let at_work = (0..step.count).filter(|index| {
            let other = TaskKey {
                index: *index,
                ..key.clone()
            };
            other != *key && self.is_available(&other, now)
        });
        let away =
            (step.count - 1).saturating_sub(u32::try_from(at_work.count()).unwrap_or(u32::MAX));
        away < step.max_unavailable.unwrap_or(1)
    }

    /// Returns whether a lasting task was at work by a recent report.
    fn is_available(&self, key: &TaskKey, now: Duration) -> bool {
        let mut runs = self.workers.values().filter(|worker| {
            let fresh = worker
                .contact
                .is_some_and(|contact| now <= contact.at + FRESH);
            fresh && worker.unreachable_since.is_none() && !worker.listing.draining
        });
        runs.any(|worker| {
            let run = worker.runs.get(key);
            run.is_some_and(|run| run.state == RunState::Running && run.progress >= 100)
        })
    }

    /// Releases workers that no machine order needs any more.
    pub(crate) fn release_reserved(&mut self) {
        let wanted: BTreeSet<WorkerId> = self
            .maintenance
            .waves
            .values()
            .filter(|wave| !wave.completed)
            .flat_map(|wave| wave.reserved.iter())
            .filter_map(|name| self.machines.known.get(name))
            .filter_map(|machine| self.worker_of(machine))
            .chain(
                self.machines
                    .pending
                    .values()
                    .filter_map(|pending| pending.worker.clone()),
            )
            .collect();
        for (id, worker) in &mut self.workers {
            if worker.reserved && !wanted.contains(id) {
                worker.reserved = false;
            }
        }
    }
}
