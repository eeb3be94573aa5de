//! Quotas of teams and their usage.

use std::collections::BTreeMap;

use nutmegcart_model::TeamName;
use nutmegcart_model::record::Job;
use nutmegcart_model::record::Team;
use serde::Deserialize;
use serde::Serialize;

use crate::resources::Resources;

/// Resources charged to a team.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QuotaUsage {
    /// Sum of declared sizes.
    pub size: Resources,
    /// Number of urgent tasks.
    pub urgent: u32,
}

/// Charge of one task of a job.
///
/// It is stored with the job, so that tasks of a removed job stay charged until they end.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaCharge {
    /// Charged team; none if the job belongs to no team.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
    /// Declared size of the task.
    pub size: Resources,
    /// Whether the task counts against the quota of urgent tasks.
    #[serde(default)]
    pub urgent: bool,
}

impl From<&Job> for QuotaCharge {
    fn from(job: &Job) -> Self {
        Self {
            team: job.team.clone(),
            size: Resources::declared(job),
            urgent: job.urgent,
        }
    }
}

/// Resources charged to each team against its quota.
///
/// Every attempt that may be running is charged with the declared size of its task, which a team
/// can compute in advance and which does not change while a task runs.
///
/// ```
/// # use nutmegcart_fleet::{QuotaLedger, Resources};
/// # use nutmegcart_fleet::quota::QuotaCharge;
/// # use nutmegcart_model::{Document, Record};
/// # let text = br#"{"schema":2,"kind":"team","name":"a","cpu":1000,"memory":100}"#;
/// # let Ok(Record::Team(team)) = Document::parse(text).unwrap().record() else { panic!() };
/// let charge = QuotaCharge {
///     team: Some("a".into()),
///     size: Resources::new(600, 1, 0),
///     urgent: false,
/// };
/// let teams = [(team.name.clone(), team)].into();
/// let mut ledger = QuotaLedger::default();
/// assert!(ledger.allows(&charge, &teams));
/// ledger.charge(&charge);
/// assert!(!ledger.allows(&charge, &teams));
/// ```
#[derive(Clone, Debug, Default)]
pub struct QuotaLedger {
    usage: BTreeMap<TeamName, QuotaUsage>,
}

impl QuotaLedger {
    /// Charges one attempt.
    pub fn charge(&mut self, charge: &QuotaCharge) {
        let Some(team) = &charge.team else {
            return;
        };
        let usage = self.usage.entry(team.clone()).or_default();
        usage.size += charge.size;
        usage.urgent += u32::from(charge.urgent);
    }

    /// Returns whether a further attempt is within the team's quota.
    ///
    /// A job without a team is unlimited. A team without a record has no quota, so none of its
    /// tasks start.
    #[must_use]
    pub fn allows(&self, charge: &QuotaCharge, teams: &BTreeMap<TeamName, Team>) -> bool {
        let Some(name) = &charge.team else {
            return true;
        };
        let Some(team) = teams.get(name) else {
            return false;
        };
        let usage = self.usage.get(name).copied().unwrap_or_default();
        let quota = Resources::new(team.cpu, team.memory, team.accelerators);
        let urgent = !charge.urgent || team.urgent.is_none_or(|limit| usage.urgent < limit);
        urgent && (usage.size + charge.size).fits(quota)
    }

    /// Returns the resources charged to a team.
    #[must_use]
    pub fn usage(&self, team: &str) -> QuotaUsage {
        self.usage.get(team).copied().unwrap_or_default()
    }
}
