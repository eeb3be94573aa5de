//! Baseline for placement: first fit by declared size, with a static buffer for urgent tasks.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use nutmegcart_fleet::AttemptId;
use nutmegcart_fleet::AttemptState;
use nutmegcart_fleet::Resources;

use crate::placement::simulation::PlacementSimulation;
use crate::placement::simulation::Policy;
use crate::placement::simulation::PolicyAction;

/// Share of each worker that deferrable tasks may use, in percent; the rest is the buffer.
const DEFERRABLE_PERCENT: u64 = 80;

/// Places each task on the first worker of its pool with enough unreserved capacity.
#[derive(Default)]
pub struct FirstFit {
    queue: VecDeque<(usize, u32)>,
    submitted: BTreeSet<(usize, u32)>,
    last_number: u64,
}

impl Policy for FirstFit {
    fn plan(&mut self, simulation: &PlacementSimulation) -> Vec<PolicyAction> {
        for (_, attempt, outcome) in &simulation.ended {
            if *outcome == AttemptState::Stopped {
                let job = simulation
                    .jobs
                    .iter()
                    .position(|job| job.spec.name == attempt.job);
                self.queue.extend(job.map(|job| (job, attempt.index)));
            }
        }
        let mut reserved = vec![Resources::default(); simulation.workers.len()];
        for task in &simulation.running {
            reserved[task.worker] += Resources::declared(&simulation.jobs[task.job].spec);
        }
        let mut actions = Vec::new();
        let mut full = BTreeSet::new();
        self.queue.retain(|&(job, index)| {
            if full.contains(&job) {
                return true;
            }
            let spec = &simulation.jobs[job].spec;
            let needed = Resources::declared(spec);
            let share = if spec.urgent { 100 } else { DEFERRABLE_PERCENT };
            let fits = |&worker: &usize| {
                let capacity = simulation.workers[worker].capacity;
                let limit = Resources::new(
                    capacity.cpu * share / 100,
                    capacity.memory * share / 100,
                    capacity.accelerators,
                );
                simulation.workers[worker].pool == spec.pool
                    && (reserved[worker] + needed).fits(limit)
            };
            let Some(worker) = (0..simulation.workers.len()).find(fits) else {
                full.insert(job);
                return true;
            };
            reserved[worker] += needed;
            self.last_number += 1;
            let attempt = AttemptId {
                job: spec.name.clone(),
                index,
                number: self.last_number,
            };
            actions.push(PolicyAction::Start(job, index, worker, attempt));
            false
        });
        actions
    }

    fn record_outcome(
        &mut self,
        _: &PlacementSimulation,
        _: usize,
        _: &AttemptId,
        _: AttemptState,
    ) {
    }

    fn update_jobs(&mut self, simulation: &PlacementSimulation) {
        for (job, simulated) in simulation.jobs.iter().enumerate() {
            for index in 0..simulated.spec.tasks {
                if self.submitted.insert((job, index)) {
                    self.queue.push_back((job, index));
                }
            }
        }
    }
}
