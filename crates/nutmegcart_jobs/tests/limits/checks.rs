//! Invariants of limits, checked against the runs on the workers of all cells.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegcart_fakes::cell::CellSimulation;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::Organisation;
use nutmegcart_jobs::fleet_limit::WHOLE;
use nutmegcart_model::OrganisationName;

use super::CONFIG_TIME;

/// Time for which an organisation under half of its limit may wait.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// Time without faults before a wait counts: a lost owner is replaced, and leases have ended.
const CALM_TIME: Duration = Duration::from_secs(14);

#[derive(Default)]
pub struct Checks {
    pub violations: Vec<String>,
    pub fault_until: Duration,
    /// Largest part of a limit that was in use after a start, in percent.
    pub most_used: u64,
    limits: Vec<(Duration, BTreeMap<OrganisationName, u64>)>,
    jobs: BTreeMap<JobId, (OrganisationName, u64)>,
    largest: BTreeMap<OrganisationName, u64>,
    before: BTreeMap<OrganisationName, u64>,
    waits_since: BTreeMap<OrganisationName, Duration>,
}

impl Checks {
    pub fn add_job(&mut self, id: &JobId, organisation: &OrganisationName, need: Resources) {
        let job = (organisation.clone(), need.cpu);
        self.jobs.insert(id.clone(), job);
        let largest = self.largest.entry(organisation.clone()).or_default();
        *largest = need.cpu.max(*largest);
    }

    pub fn set_limits(&mut self, now: Duration, organisations: &[Organisation]) {
        let limits = organisations.iter();
        let limits = limits.map(|each| (each.name.clone(), each.limit.cpu));
        self.limits.push((now, limits.collect()));
    }

    /// Returns the highest limit that may be in force; 0 for none.
    fn limit(&self, name: &OrganisationName, now: Duration) -> u64 {
        let mut highest = 0;
        for (index, (_, limits)) in self.limits.iter().enumerate() {
            let replaced = self.limits.get(index + 1).map(|(at, _)| *at);
            if replaced.is_some_and(|at| now > at + CONFIG_TIME) {
                continue;
            }
            match limits.get(name).copied().unwrap_or_default() {
                0 => return 0,
                limit => highest = limit.max(highest),
            }
        }
        highest
    }

    pub fn check(&mut self, now: Duration, cells: &[CellSimulation]) -> Vec<String> {
        let mut problems = Vec::new();
        let mut running: BTreeMap<OrganisationName, u64> = BTreeMap::new();
        let workers = cells.iter().flat_map(|cell| cell.workers.values());
        for task in workers.flat_map(|worker| worker.runs.keys()) {
            let (name, need) = &self.jobs[&task.job];
            *running.entry(name.clone()).or_default() += need;
        }
        let at = now.as_millis();
        for name in self.largest.keys() {
            let used = running.get(name).copied().unwrap_or_default();
            let before = self.before.insert(name.clone(), used).unwrap_or_default();
            let limit = self.limit(name, now);
            if limit == 0 {
                continue;
            }
            if used > before {
                self.most_used = self.most_used.max(used * 100 / limit);
            }
            if used > before && used > limit + self.largest[name] {
                let largest = self.largest[name];
                problems.push(format!(
                    "{at} ms: a start brings {name} to {used}, its limit is {limit} and its largest task {largest}"
                ));
            }
            let waits = used * 2 < limit && used <= before && Self::has_waiting(name, cells);
            let calm = now >= self.fault_until + CALM_TIME;
            if !waits || !calm {
                self.waits_since.remove(name);
            } else if now > *self.waits_since.entry(name.clone()).or_insert(now) + MAX_WAIT {
                self.waits_since.insert(name.clone(), now);
                problems.push(format!(
                    "{at} ms: {name} uses {used} of {limit} and waits for 3 s"
                ));
            }
        }
        let mut sums: BTreeMap<&OrganisationName, u32> = BTreeMap::new();
        for owner in cells.iter().filter_map(|cell| cell.owners.last()) {
            for (name, allowance) in owner.scheduler.allowances() {
                *sums.entry(name).or_default() += allowance.allocation;
            }
        }
        for (name, sum) in sums.into_iter().filter(|(_, sum)| *sum > WHOLE) {
            problems.push(format!("{at} ms: allocations of {name} are {sum} together"));
        }
        problems
    }

    /// Returns whether a job waits in a cell, as the latest owner sees it.
    fn has_waiting(name: &OrganisationName, cells: &[CellSimulation]) -> bool {
        let owners = cells.iter().filter_map(|cell| cell.owners.last());
        let mut jobs = owners.flat_map(|owner| owner.scheduler.jobs());
        jobs.any(|job| {
            let tasks = job.occurrences.values().flat_map(|each| &each.steps);
            let waits = tasks
                .filter(|step| step.ready)
                .any(|s| s.pending().count() > 0);
            job.accepted.organisation.as_ref() == Some(name) && job.ended.is_none() && waits
        })
    }
}

impl Checks {
    /// Checks allocations that a transaction stores.
    pub fn check_stored(
        &mut self,
        now: Duration,
        stored: &nutmegcart_jobs::limit_moves::StoredAllocations,
    ) {
        let sum: u32 = stored.cells.iter().sum();
        if sum > WHOLE {
            let at = now.as_millis();
            self.violations
                .push(format!("{at} ms: stored allocations are {sum} together"));
        }
    }
}
