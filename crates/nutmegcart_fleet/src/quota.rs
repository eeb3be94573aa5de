//! Quotas of teams.

use std::collections::BTreeMap;

use nutmegcart_model::TeamName;
use nutmegcart_model::record::Job;
use nutmegcart_model::record::Team;
use serde::Deserialize;
use serde::Serialize;

use crate::resources::Resources;

/// What a team's tasks hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QuotaUsage {
    /// Sum of declared sizes.
    pub size: Resources,
    /// Number of urgent tasks.
    pub urgent: u32,
}

/// What one task of a job counts for; stored, so that a removed job's tasks stay charged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaCharge {
    /// Team that is charged, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
    /// Declared size.
    pub size: Resources,
    /// Whether the task counts as urgent.
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

/// What each team holds against its quota.
///
/// Declared sizes are charged, since a team can compute them in advance and they do not change
/// while a task runs. Every attempt that may be running is charged.
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
    held: BTreeMap<TeamName, QuotaUsage>,
}

impl QuotaLedger {
    /// Charges one task.
    pub fn charge(&mut self, charge: &QuotaCharge) {
        let Some(team) = &charge.team else {
            return;
        };
        let held = self.held.entry(team.clone()).or_default();
        held.size += charge.size;
        held.urgent += u32::from(charge.urgent);
    }

    /// Returns whether one more such task is within its team's quota.
    ///
    /// A job without a team has no quota; a team without a record has none left.
    #[must_use]
    pub fn allows(&self, charge: &QuotaCharge, teams: &BTreeMap<TeamName, Team>) -> bool {
        let Some(name) = &charge.team else {
            return true;
        };
        let Some(team) = teams.get(name) else {
            return false;
        };
        let held = self.held.get(name).copied().unwrap_or_default();
        let quota = Resources::new(team.cpu, team.memory, team.accelerators);
        let urgent = !charge.urgent || team.urgent.is_none_or(|limit| held.urgent < limit);
        urgent && (held.size + charge.size).fits(quota)
    }

    /// Returns what a team holds.
    #[must_use]
    pub fn held(&self, team: &str) -> QuotaUsage {
        self.held.get(team).copied().unwrap_or_default()
    }
}
