//! The status of all cells, as their owners report it to an operator.

use std::rc::Rc;
use std::sync::Arc;

use nutmegcart_jobs::organisation_status::OrganisationStatus;
use nutmegcart_jobs::stalled::StalledJob;
use nutmegcart_jobs::worker::millis;
use serde::Deserialize;
use serde::Serialize;

use crate::clients::ClientsReport;
use crate::clock::now;
use crate::node::CellView;
use crate::node::Cells;
use crate::node::Node;
use crate::node::OwnedCell;
use crate::peer;
use crate::peer::PeerRequest;
use crate::peer::PeerResponse;

/// Stalled jobs of a cell that its status lists, those that have waited longest.
pub const MAX_LISTED: usize = 20;

/// A long-running task that waits for a start.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LongestWait {
    /// The task.
    pub task: String,
    /// Its pool.
    pub pool: String,
    /// Time for which it has waited under the present owner, in milliseconds.
    pub waited_ms: u64,
    /// Why it is not started, one of the reasons of event 726.
    pub reason: String,
    /// The worker that blocks it, or causes with numbers of workers.
    pub details: String,
}

/// A job that has waited too long for a start.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StalledEntry {
    /// The job.
    pub job: String,
    /// Its pool.
    pub pool: String,
    /// Whether a long-running task waits, or all that is left of another job.
    pub kind: String,
    /// Time for which it has waited, in milliseconds.
    pub waited_ms: u64,
}

/// The status of a cell.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct CellStatus {
    /// Time since the owner last read the changes of the cell, in milliseconds.
    pub age_ms: u64,
    /// Number of jobs that have started no task.
    pub waiting_jobs: u64,
    /// Number of long-running tasks that wait for a start.
    pub waiting_tasks: u64,
    /// The long-running task that has waited longest.
    pub longest: Option<LongestWait>,
    /// Number of jobs that have waited too long for a start.
    pub stalled: u64,
    /// The first [`MAX_LISTED`] of them.
    pub stalled_jobs: Vec<StalledEntry>,
    /// Size in bytes of the stored state of the cell if the store does not accept it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rejected_bytes: Option<u64>,
}

/// What an instance knows about a cell: its status, or why that is unknown.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct CellReport {
    /// Number of the cell.
    pub cell: u32,
    /// Name of its owner, if one is known.
    pub owner: Option<Arc<str>>,
    /// The status, if the owner has answered.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<CellStatus>,
    /// What organisations have running and waiting, if there are any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub organisations: Vec<OrganisationStatus>,
    /// Why the status is unknown.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub unknown: Option<String>,
}

/// The response to a request for the status of all cells.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct FleetStatus {
    /// Name of the instance that has asked the owners.
    pub instance: Arc<str>,
    /// Whether it is ready for callers.
    pub ready: bool,
    /// What clients hold of this instance.
    pub clients: ClientsReport,
    /// The cells by number.
    pub cells: Vec<CellReport>,
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}

/// Returns the status of a cell that this instance owns.
pub(crate) fn of_owned(owned: &OwnedCell) -> CellStatus {
    let now = now();
    let scheduler = owned.scheduler.borrow();
    let waited = |since| millis(now.saturating_sub(since));
    let pools = scheduler.waiting_long_running(now);
    let tasks = pools
        .iter()
        .flat_map(|pool| pool.tasks.iter().map(|task| (&pool.pool, task)));
    let longest = tasks.min_by_key(|(_, task)| task.since);
    let stalled = scheduler.stalled_jobs(now);
    let entry = |job: &StalledJob| StalledEntry {
        job: job.job.to_string(),
        pool: job.pool.to_string(),
        kind: job.kind.to_string(),
        waited_ms: waited(job.since),
    };
    CellStatus {
        age_ms: waited(owned.state.view.get().read_at.unwrap_or_default()),
        waiting_jobs: count(scheduler.waiting_total()),
        waiting_tasks: count(pools.iter().map(|pool| pool.total).sum()),
        longest: longest.map(|(pool, task)| LongestWait {
            task: task.task.to_string(),
            pool: pool.to_string(),
            waited_ms: waited(task.since),
            reason: task.reason.to_string(),
            details: task.reason.details(),
        }),
        stalled: count(stalled.len()),
        stalled_jobs: stalled.iter().take(MAX_LISTED).map(entry).collect(),
        rejected_bytes: scheduler.rejected_state().map(count),
    }
}

/// Asks the owner of a cell about organisations, if the configuration has any. Nothing is reported
/// while the owner does not answer, or is of a version that does not know the request.
async fn organisations(node: &Rc<Node>, cell: u32) -> Vec<OrganisationStatus> {
    let configuration = node.configuration.borrow().clone();
    if configuration.is_none_or(|each| each.organisations.is_none()) {
        return Vec::new();
    }
    match peer::ask_owner(node, &PeerRequest::Organisations(cell)).await {
        Ok(PeerResponse::Organisations(statuses)) => statuses,
        other => {
            log::debug!("organisations of cell {cell} unknown: {other:?}");
            Vec::new()
        }
    }
}

/// Asks the owners of all cells at the same time. A cell whose owner does not answer in time is
/// reported as unknown.
pub(crate) async fn of_fleet(node: &Rc<Node>, cells: &Cells) -> FleetStatus {
    let ask = |view: &Rc<CellView>| {
        let (node, number) = (node.clone(), view.number);
        let asked = tokio::task::spawn_local(async move {
            peer::ask_owner(&node, &PeerRequest::Status(number)).await
        });
        (number, asked)
    };
    let asked: Vec<_> = cells.views.iter().map(ask).collect();
    let mut reports = Vec::new();
    for (cell, task) in asked {
        let answer = match task.await {
            Ok(Ok(PeerResponse::Status(status))) => Ok(status),
            Ok(Ok(_)) => Err("the owner gave another answer".to_owned()),
            Ok(Err(error)) => Err(error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        if let Err(reason) = &answer {
            log::debug!("status of cell {cell} unknown: {reason}");
        }
        reports.push(CellReport {
            cell,
            owner: node.owner(cell).map(|owner| owner.name),
            unknown: answer.as_ref().err().cloned(),
            status: answer.ok(),
            organisations: organisations(node, cell).await,
        });
    }
    FleetStatus {
        instance: node.settings.name.clone(),
        ready: node.is_ready(),
        clients: ClientsReport::from(&node.clients.status()),
        cells: reports,
    }
}
