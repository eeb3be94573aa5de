//! What organisations have running and waiting in a cell, for operators.

use std::collections::BTreeMap;

use nutmegcart_fleet::Resources;
use nutmegcart_model::OrganisationName;
use serde::Deserialize;
use serde::Serialize;

use crate::live_job::LiveJob;
use crate::scheduler::Scheduler;

/// What an organisation has running and waiting in a cell.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OrganisationStatus {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Limit over all cells; 0 in an amount for no limit.
    pub limit: Resources,
    /// Part of the limit that the cell may use, in millionths; 0 without a limit.
    pub allocation: u32,
    /// What may be running in the cell; only counted for organisations with a limit.
    pub used: Resources,
    /// Number of its jobs with tasks that wait.
    pub waiting_jobs: u64,
    /// Why most of these wait: the limit, workers that have not answered, or no room. Empty if none
    /// waits.
    pub reason: String,
}

impl Scheduler {
    /// Returns the status of each organisation, by name.
    #[must_use]
    pub fn organisation_statuses(&self) -> Vec<OrganisationStatus> {
        let mut waiting: BTreeMap<&OrganisationName, BTreeMap<&str, u64>> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.has_pending()) {
            let organisation = job.accepted.organisation.as_ref();
            if let Some(name) = organisation.filter(|_| job.ended.is_none()) {
                let reasons = waiting.entry(name).or_default();
                *reasons.entry(self.main_reason(job)).or_default() += 1;
            }
        }
        let mut status = |(name, organisation): (&OrganisationName, &crate::Organisation)| {
            let (allocation, used) = self.limit_use(name).unwrap_or_default();
            let reasons = waiting.remove(name).unwrap_or_default();
            let most = reasons.iter().max_by_key(|(_, count)| **count);
            OrganisationStatus {
                name: name.clone(),
                limit: organisation.limit,
                allocation,
                used,
                waiting_jobs: reasons.values().sum(),
                reason: most.map_or_else(String::new, |(reason, _)| (*reason).to_owned()),
            }
        };
        self.organisations.iter().map(&mut status).collect()
    }

    fn main_reason(&self, job: &LiveJob) -> &'static str {
        if self.is_wholly_blocked(job) {
            return "blocked";
        }
        let mut steps = job.accepted.job.steps.iter();
        let admitted = steps.any(|step| {
            let together = if step.gang { step.count } else { 1 };
            self.limit_admits(job, step, together)
        });
        if admitted {
            "no room"
        } else {
            "organisation's limit"
        }
    }
}
