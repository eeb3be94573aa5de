//! Machine maintenance in waves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;

use crate::job::TaskKey;
use crate::machine_orders::MachineOrder;
use crate::machines::Machine;
use crate::machines::MachineState;
use crate::reservations::Reservations;
use crate::scheduler::Scheduler;
use crate::worker::RunState;
use crate::worker::StopReason;

/// Number of machines drained ahead of those that may be down, so that the next is ready in time.
const DRAIN_AHEAD: usize = 2;
/// Age of a worker's latest response above which its tasks do not count as available.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);
/// Share of a wave's duration after which short tasks are stopped instead of awaited.
const AWAIT_SHARE: f64 = 0.5;

/// A maintenance wave that an operator requested.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WaveRequest {
    /// Number of the wave, unique in the fleet.
    pub number: u64,
    /// Machines to maintain.
    pub machines: Vec<Arc<str>>,
    /// Time in which all machines have to be maintained.
    pub duration: Duration,
    /// Number of machines of it that may be down at once; 0 if other cells currently use the whole
    /// limit.
    pub max_down: usize,
}

/// Progress of a wave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaveState {
    /// Machines are still to be maintained.
    Running,
    /// Every machine that still exists has been maintained.
    Completed,
}

#[derive(Clone, Debug)]
struct Wave {
    request: WaveRequest,
    received_at: Duration,
    /// Machines that have been maintained.
    done: BTreeSet<Arc<str>>,
    /// Machines whose workers are reserved, so that no new tasks start there.
    reserved: Reservations,
    /// When the latest of its machines was maintained.
    advanced_at: Duration,
    completed: bool,
}

/// Waves and their progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct Maintenance {
    waves: BTreeMap<u64, Wave>,
    /// Machines that were maintained under earlier owners, by wave.
    inherited: BTreeMap<u64, BTreeSet<Arc<str>>>,
    /// Whether there is progress that is not stored yet.
    pub(crate) unsaved: bool,
}

impl Maintenance {
    /// Restores the progress that an earlier owner stored.
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

    pub(crate) fn record_done(&mut self, wave: u64, machine: &Arc<str>, now: Duration) {
        if let Some(wave) = self.waves.get_mut(&wave) {
            wave.done.insert(machine.clone());
            wave.advanced_at = now;
            self.unsaved = true;
            wave.reserved.remove(machine);
        }
    }

    /// Returns whether a machine is still to be maintained.
    pub(crate) fn is_due(&self, machine: &str) -> bool {
        let mut waves = self.waves.values().filter(|wave| !wave.completed);
        waves.any(|wave| {
            let named = wave.request.machines.iter().any(|name| &**name == machine);
            named && !wave.done.contains(machine)
        })
    }
}

impl Scheduler {
    /// Adds or updates a wave; a known wave keeps its progress.
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
                    received_at: now,
                    done,
                    reserved: Reservations::default(),
                    advanced_at: now,
                    completed: false,
                }
            });
        wave.request = request;
    }

    /// Returns the state of a wave, if it is known.
    #[must_use]
    pub fn wave_state(&self, number: u64) -> Option<WaveState> {
        let wave = self.maintenance.waves.get(&number)?;
        Some(if wave.completed {
            WaveState::Completed
        } else {
            WaveState::Running
        })
    }

    /// Advances all waves.
    pub(crate) fn advance_waves(&mut self, now: Duration) {
        let numbers: Vec<u64> = self.maintenance.waves.keys().copied().collect();
        for number in &numbers {
            self.expire_reservations(*number, now);
        }
        if !self.may_order_machines(now) {
            return;
        }
        self.review_machine_orders(now);
        self.send_machine_orders(now);
        for number in numbers {
            self.advance_wave(number, now);
        }
    }

    /// Ends the reservations of a wave that has not gone on for too long, so that their workers get
    /// tasks again. While it goes on, those that wait for their turn or for a budget stay reserved.
    fn expire_reservations(&mut self, number: u64, now: Duration) {
        let Some(wave) = self.maintenance.waves.get_mut(&number) else {
            return;
        };
        let advanced_at = wave.advanced_at;
        let mut reserved = std::mem::take(&mut wave.reserved);
        for name in reserved.expire(advanced_at, now) {
            let machine = self.machines.known.get(&name);
            let (long_running, runs) = machine.map_or((0, 0), |machine| self.load_of(machine));
            log_event!(
                Event::ReservationExpired,
                wave = number,
                machine = name,
                long_running = long_running,
                runs = runs
            );
        }
        if let Some(wave) = self.maintenance.waves.get_mut(&number) {
            wave.reserved = reserved;
        }
    }

    /// Returns whether a machine counts as down for the wave.
    ///
    /// A machine that an earlier owner may have ordered counts as down, since that order may still
    /// be carried out.
    fn counts_as_down(&self, name: &str, number: u64, now: Duration) -> bool {
        let pending = self.machines.pending.get(name);
        let listed = self.machines.known.get(name);
        let ordered =
            pending.is_some_and(|pending| pending.order == MachineOrder::Maintain(number));
        ordered
            || listed.is_some_and(|machine| machine.state == MachineState::Maintained)
            || self.may_have_inherited_order(name, now)
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
        let stop_short = now >= wave.received_at + wave.request.duration.mul_f64(AWAIT_SHARE);
        let max_down = wave.request.max_down;
        let names = wave.request.machines.iter();
        let mut down = names
            .clone()
            .filter(|name| self.counts_as_down(name, number, now))
            .count();
        let open: Vec<&Arc<str>> = names
            .filter(|name| !wave.done.contains(*name) && self.machines.may_exist(name))
            .collect();
        let listed = open
            .iter()
            .filter_map(|name| self.machines.known.get(*name));
        let mut remaining: Vec<Machine> = listed.cloned().collect();
        if open.is_empty() {
            if let Some(wave) = self.maintenance.waves.get_mut(&number) {
                wave.completed = true;
                log_event!(
                    Event::WaveFinished,
                    wave = number,
                    ms = now.saturating_sub(wave.received_at).as_millis()
                );
            }
            return;
        }
        remaining.retain(|machine| self.may_order(machine, now) && !self.is_leaving(machine, now));
        let mut reserved = wave.reserved.clone();
        remaining.sort_by_cached_key(|machine| {
            let unreserved = !reserved.contains(&machine.name);
            (unreserved, self.load_of(machine), machine.name.clone())
        });
        let empty: Vec<Arc<str>> = remaining
            .iter()
            .filter(|machine| self.is_empty(machine))
            .map(|machine| machine.name.clone())
            .collect();
        for name in empty {
            if down >= max_down {
                break;
            }
            self.order_machine(&name, &MachineOrder::Maintain(number), now);
            down += 1;
        }
        if max_down == 0 {
            // Other cells use the whole limit; tasks keep running here until then.
            if let Some(wave) = self.maintenance.waves.get_mut(&number) {
                wave.reserved.clear();
            }
            return;
        }
        let max_drained = max_down.saturating_add(DRAIN_AHEAD);
        let busy: Vec<Machine> = remaining
            .into_iter()
            .filter(|machine| {
                !self.machines.pending.contains_key(&machine.name)
                    && reserved.allows(&machine.name, now)
                    && (!reserved.has_expired(&machine.name) || self.is_drainable(machine, now))
            })
            .collect();
        let drained = max_drained.saturating_sub(down).min(max_drained);
        let chosen: Vec<Machine> = busy.into_iter().take(drained).collect();
        // Those that the latest list lacks are still being drained.
        reserved.retain(|name| {
            let unlisted = !self.machines.known.contains_key(name);
            chosen.iter().any(|machine| machine.name == *name)
                || (unlisted && self.machines.may_exist(name))
        });
        for machine in chosen {
            self.drain_machine(&machine, stop_short, now);
            reserved.insert(machine.name, now);
        }
        // A machine whose order was rejected gets tasks again until its next turn.
        if let Some(wave) = self.maintenance.waves.get_mut(&number) {
            wave.reserved = reserved;
        }
    }

    /// Returns whether a machine certainly has no live runs.
    pub(crate) fn is_empty(&self, machine: &Machine) -> bool {
        match self.worker_of(machine).and_then(|id| self.workers.get(&id)) {
            Some(worker) => {
                let reserved = self.reserved_tasks(&worker.listing.id);
                worker.runs.is_empty() && worker.fenced && !worker.inherited && reserved == 0
            }
            None => machine
                .worker
                .as_ref()
                .is_none_or(|id| self.ended_incarnations.contains_key(id)),
        }
    }

    /// Returns the numbers of long-running and of all runs on a machine, including those about to be
    /// started.
    pub(crate) fn load_of(&self, machine: &Machine) -> (usize, usize) {
        let worker = self.worker_of(machine).and_then(|id| self.workers.get(&id));
        worker.map_or((0, 0), |worker| {
            let long_running = worker.runs.values().filter(|run| run.long_running).count();
            let reserved = self.reserved_tasks(&worker.listing.id);
            (long_running + reserved, worker.runs.len() + reserved)
        })
    }

    /// Returns whether draining a machine can begin with its long-running tasks: it has none, one is
    /// being stopped, or the budget of one allows that.
    fn is_drainable(&self, machine: &Machine, now: Duration) -> bool {
        let worker = self.worker_of(machine).and_then(|id| self.workers.get(&id));
        let runs = worker.into_iter().flat_map(|worker| &worker.runs);
        let mut long_running = runs.filter(|(_, run)| run.long_running).peekable();
        long_running.peek().is_none()
            || long_running
                .any(|(key, run)| run.state != RunState::Running || self.may_interrupt(key, now))
    }

    /// Stops new tasks on a machine, and evacuates long-running ones as their budgets allow.
    fn drain_machine(&mut self, machine: &Machine, stop_short: bool, now: Duration) {
        let Some(id) = self.worker_of(machine) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        worker.reserved = true;
        let mut long_running = Vec::new();
        let mut short = Vec::new();
        for (key, run) in &worker.runs {
            if run.state != RunState::Running {
                continue;
            }
            if run.long_running {
                long_running.push(key.clone());
            } else {
                short.push(key.clone());
            }
        }
        for key in long_running {
            if self.may_interrupt(&key, now) {
                self.stop(&id, &key, StopReason::Evacuated);
            }
        }
        if stop_short {
            for key in short {
                self.stop(&id, &key, StopReason::Evacuated);
            }
        }
    }

    /// Returns whether stopping a long-running task keeps its step within its availability budget.
    pub(crate) fn may_interrupt(&self, key: &TaskKey, now: Duration) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return true;
        };
        let Some(step) = job.step(key) else {
            return true;
        };
        let available = (0..step.count).filter(|index| {
            let other = TaskKey {
                index: *index,
                ..key.clone()
            };
            other != *key && self.is_available(&other, now)
        });
        let unavailable =
            (step.count - 1).saturating_sub(u32::try_from(available.count()).unwrap_or(u32::MAX));
        unavailable < step.max_unavailable.unwrap_or(1)
    }

    /// Returns whether a long-running task was available according to a recent report.
    fn is_available(&self, key: &TaskKey, now: Duration) -> bool {
        let mut runs = self.workers.values().filter(|worker| {
            let recent = worker
                .clock_reading
                .is_some_and(|reading| now <= reading.at + MAX_REPORT_AGE);
            recent && worker.unreachable_since.is_none() && !worker.listing.draining
        });
        runs.any(|worker| {
            let run = worker.runs.get(key);
            run.is_some_and(|run| run.state == RunState::Running && run.progress >= 100)
        })
    }

    /// Releases workers that are reserved and that neither a wave, a pending order nor a move needs.
    pub(crate) fn release_reserved(&mut self) {
        let wanted: BTreeSet<WorkerId> = self
            .maintenance
            .waves
            .values()
            .filter(|wave| !wave.completed)
            .flat_map(|wave| wave.reserved.machines())
            .chain(self.rebalancer.vacations.machines())
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
