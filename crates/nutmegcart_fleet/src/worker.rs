//! Workers and what they report.

use std::time::Duration;

use nutmegcart_model::PoolName;
use nutmegcart_model::Rack;
use nutmegcart_model::WorkerId;
use serde::Deserialize;
use serde::Serialize;

pub use nutmegcart_platform::task_api::AttemptState;

use crate::resources::Resources;
use crate::task::AttemptId;

/// A worker as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// Identifier, stable over reboots.
    pub id: WorkerId,
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Rack, a failure domain.
    pub rack: Rack,
    /// What it has.
    pub capacity: Resources,
    /// Whether it is to be emptied for maintenance.
    pub leaving: bool,
}

/// One attempt in a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// Which attempt.
    pub attempt: AttemptId,
    /// How it stands.
    pub outcome: AttemptState,
    /// What it used when the report was made.
    #[serde(default)]
    pub usage: Resources,
}

/// What a worker said about its attempts; it lags.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedReport {
    /// Worker that reports.
    pub worker: WorkerId,
    /// Time at which the report was made, by the reader's clock.
    pub at: Duration,
    /// Number of boots so far; attempts of an earlier boot have stopped.
    pub boot: u64,
    /// Running attempts, and ended ones that were not acknowledged yet.
    pub attempts: Vec<AttemptReport>,
}
