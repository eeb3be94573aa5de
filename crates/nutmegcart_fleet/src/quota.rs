//! Quotas of teams.

use std::collections::BTreeMap;

use nutmegcart_model::TeamName;
use nutmegcart_model::record::Job;
use nutmegcart_model::record::Team;
use serde::Deserialize;
use serde::Serialize;

use crate::size::Size;

/// What a team's tasks hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Held {
    /// Sum of declared sizes.
    pub size: Size,
    /// Number of urgent tasks.
    pub urgent: u32,
}

/// What one task of a job counts for; stored, so that a removed job's tasks stay charged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Charge {
    /// Team that is charged, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
    /// Declared size.
    pub size: Size,
    /// Whether the task counts as urgent.
    #[serde(default)]
    pub urgent: bool,
}

impl From<&Job> for Charge {
    fn from(job: &Job) -> Self {
        Self {
            team: job.team.clone(),
            size: Size::declared(job),
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
/// # use nutmegcart_fleet::{Ledger, Size};
/// # use nutmegcart_fleet::quota::Charge;
/// # use nutmegcart_model::{Document, Record};
/// # let text = br#"{"schema":2,"kind":"team","name":"a","cpu":1000,"memory":100}"#;
/// # let Ok(Record::Team(team)) = Document::parse(text).unwrap().record() else { panic!() };
/// let charge = Charge {
///     team: Some("a".into()),
///     size: Size::new(600, 1, 0),
///     urgent: false,
/// };
/// let teams = [(team.name.clone(), team)].into();
/// let mut ledger = Ledger::default();
/// assert!(ledger.allows(&charge, &teams));
/// ledger.charge(&charge);
/// assert!(!ledger.allows(&charge, &teams));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    held: BTreeMap<TeamName, Held>,
}

impl Ledger {
    /// Charges one task.
    pub fn charge(&mut self, charge: &Charge) {
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
    pub fn allows(&self, charge: &Charge, teams: &BTreeMap<TeamName, Team>) -> bool {
        let Some(name) = &charge.team else {
            return true;
        };
        let Some(team) = teams.get(name) else {
            return false;
        };
        let held = self.held.get(name).copied().unwrap_or_default();
        let quota = Size::new(team.cpu, team.memory, team.accelerators);
        let urgent = !charge.urgent || team.urgent.is_none_or(|limit| held.urgent < limit);
        urgent && (held.size + charge.size).fits(quota)
    }

    /// Returns what a team holds.
    #[must_use]
    pub fn held(&self, team: &str) -> Held {
        self.held.get(team).copied().unwrap_or_default()
    }
}
