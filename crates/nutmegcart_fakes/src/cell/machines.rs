//! Machines of the cell as the platform operates and lists them.

use std::sync::Arc;

use nutmegcart_jobs::MachineOrder;
use nutmegcart_jobs::MachineOutcome;
use nutmegcart_jobs::MachineState;
use nutmegcart_model::WorkerId;

use crate::cell::CellSimulation;
use crate::cell::Event;
use crate::cell::MACHINE_LIST_LAG;
use crate::cell::MACHINE_LIST_PERIOD;
use crate::cell::worker;
use crate::cell::worker::FakeWorker;

/// What the platform does with orders for machines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineService {
    /// It carries them out or rejects them.
    Answers,
    /// It refuses them temporarily.
    Refuses,
    /// Orders are lost, and their sender learns that it gets no response.
    Loses,
    /// Orders are lost, and their sender never learns of any outcome.
    Hangs,
}

impl CellSimulation {
    /// Handles an order for a machine; returns its outcome, unless the sender learns of none.
    pub(super) fn order_machine(
        &mut self,
        name: &Arc<str>,
        order: &MachineOrder,
    ) -> Option<MachineOutcome> {
        match self.machine_service {
            MachineService::Answers => Some(self.start_operation(name, order)),
            MachineService::Refuses => Some(MachineOutcome::Refused),
            MachineService::Loses => Some(MachineOutcome::Unknown),
            MachineService::Hangs => None,
        }
    }

    fn start_operation(&mut self, name: &Arc<str>, order: &MachineOrder) -> MachineOutcome {
        let Some(machine) = self.machines.get_mut(name) else {
            return MachineOutcome::Invalid;
        };
        let worker = machine.worker.as_ref().and_then(|id| self.workers.get(id));
        if machine.state != MachineState::Up || worker.is_some_and(is_leaving) {
            return MachineOutcome::Busy;
        }
        let delay = match order {
            MachineOrder::Move(pool) => {
                if machine.pool == *pool {
                    return MachineOutcome::Done;
                }
                machine.pool = pool.clone();
                machine.state = MachineState::Moving;
                self.settings.move_time
            }
            MachineOrder::Maintain(wave) => {
                if !self.maintained.insert((*wave, name.clone())) {
                    return MachineOutcome::Done;
                }
                machine.state = MachineState::Maintained;
                self.settings.maintenance_time
            }
        };
        self.operations_started += 1;
        if let Some(id) = machine.worker.take() {
            self.crash(&id);
            self.unlist_worker(&id);
        }
        self.schedule(delay, Event::MachineOperationEnds(name.clone()));
        MachineOutcome::Done
    }

    pub(super) fn machine_operation_ends(&mut self, name: &Arc<str>) {
        self.operations_finished += 1;
        let id = WorkerId::from(format!("{name}-{}", self.operations_finished));
        let spare = {
            let Some(machine) = self.machines.get_mut(name) else {
                return;
            };
            machine.state = MachineState::Up;
            let pools = self.pools.iter();
            let spare = pools
                .clone()
                .any(|(pool, config)| *pool == machine.pool && config.spare);
            machine.worker = (!spare).then(|| id.clone());
            spare
        };
        if spare {
            return;
        }
        let machine = &self.machines[name];
        let mut listing = worker::listing(&id, &machine.pool, "r1-1", machine.capacity);
        listing.machine = Some(name.clone());
        listing.labels.clone_from(&machine.labels);
        listing.incarnation = self.unix_ms();
        self.workers
            .insert(id.clone(), FakeWorker::new(listing, self.now));
        self.list_worker(&id);
    }

    /// Shows in the list of machines, after a delay, whether the process of a worker is running.
    pub(super) fn update_listed_state(&mut self, id: &WorkerId) {
        let id = id.clone();
        self.after(MACHINE_LIST_LAG, move |cell| {
            let Some(worker) = cell.workers.get(&id) else {
                return;
            };
            let name = worker.listing.machine.as_ref();
            let machine = name.and_then(|name| cell.machines.get_mut(name));
            let machine = machine.filter(|machine| machine.worker.as_ref() == Some(&id));
            if let Some(machine) = machine {
                machine.state = match machine.state {
                    MachineState::Up if !worker.up => MachineState::Down,
                    MachineState::Down if worker.up => MachineState::Up,
                    state => state,
                };
            }
        });
    }

    pub(super) fn list_machines(&mut self, index: usize) {
        if !self.owners[index].up {
            return;
        }
        if self.lists_machines {
            let (list, now) = (self.machines.values().cloned().collect(), self.now);
            self.owners[index].scheduler.update_machines(list, now, now);
            self.schedule_pass(index);
        }
        self.schedule(MACHINE_LIST_PERIOD, Event::MachinesListed(index));
    }
}

/// Returns whether the platform refuses orders for the machine of a worker.
fn is_leaving(worker: &FakeWorker) -> bool {
    !worker.up || worker.listing.draining
}
