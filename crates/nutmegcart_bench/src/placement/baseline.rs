//! Declared sizes, first fit and a static buffer for urgent tasks.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use nutmegcart_fleet::AttemptId;
use nutmegcart_fleet::AttemptState;
use nutmegcart_fleet::Resources;

use crate::placement::site::Order;
use crate::placement::site::Policy;
use crate::placement::site::Site;

/// Share of each worker that deferrable tasks may use, in percent; the rest is the buffer.
const DEFERRABLE: u64 = 80;

/// The plain policy.
#[derive(Default)]
pub struct Baseline {
    queue: VecDeque<(usize, u32)>,
    known: BTreeSet<(usize, u32)>,
    number: u64,
}

impl Policy for Baseline {
    fn step(&mut self, site: &Site) -> Vec<Order> {
        for (_, attempt, outcome) in &site.ended {
            if *outcome == AttemptState::Stopped {
                let work = site
                    .works
                    .iter()
                    .position(|work| work.job.name == attempt.job);
                self.queue.extend(work.map(|work| (work, attempt.index)));
            }
        }
        let mut taken = vec![Resources::default(); site.workers.len()];
        for task in &site.lives {
            taken[task.worker] += Resources::declared(&site.works[task.work].job);
        }
        let mut orders = Vec::new();
        let mut full = BTreeSet::new();
        self.queue.retain(|&(work, index)| {
            if full.contains(&work) {
                return true;
            }
            let job = &site.works[work].job;
            let needed = Resources::declared(job);
            let share = if job.urgent { 100 } else { DEFERRABLE };
            let fits = |&worker: &usize| {
                let capacity = site.workers[worker].capacity;
                let limit = Resources::new(
                    capacity.cpu * share / 100,
                    capacity.memory * share / 100,
                    capacity.accelerators,
                );
                site.workers[worker].pool == job.pool && (taken[worker] + needed).fits(limit)
            };
            let Some(worker) = (0..site.workers.len()).find(fits) else {
                full.insert(work);
                return true;
            };
            taken[worker] += needed;
            self.number += 1;
            let attempt = AttemptId {
                job: job.name.clone(),
                index,
                number: self.number,
            };
            orders.push(Order::Start(work, index, worker, attempt));
            false
        });
        orders
    }

    fn settle(&mut self, _: &Site, _: usize, _: &AttemptId, _: AttemptState) {}

    fn configure(&mut self, site: &Site) {
        for (work, entry) in site.works.iter().enumerate() {
            for index in 0..entry.job.tasks {
                if self.known.insert((work, index)) {
                    self.queue.push_back((work, index));
                }
            }
        }
    }
}
