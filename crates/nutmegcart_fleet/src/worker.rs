//! Workers and their reports.

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
    /// Pool of the worker.
    pub pool: PoolName,
    /// Rack of the worker, its failure domain.
    pub rack: Rack,
    /// Resources of the worker.
    pub capacity: Resources,
    /// Whether its tasks are to be moved away for maintenance.
    pub leaving: bool,
}

/// State of one attempt in a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedAttempt {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Outcome, or that the attempt is still running.
    pub outcome: AttemptState,
    /// Resources used at the time of the report.
    #[serde(default)]
    pub usage: Resources,
}

/// A worker's report about its attempts, which may arrive late.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedReport {
    /// Worker that sent the report.
    pub worker: WorkerId,
    /// Time at which the report was made, converted to the scheduler's clock.
    pub at: Duration,
    /// Boot count of the worker; attempts of an earlier boot have ended.
    pub boot: u64,
    /// Running attempts, and ended ones that the scheduler has not acknowledged yet.
    pub attempts: Vec<ReportedAttempt>,
}
