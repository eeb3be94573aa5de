//! Passes waiting jobs of an owned cell to cells that can start them sooner.
//!
//! One transaction, fenced by the owner's key, removes a job from its cell, stores it in the other
//! one and records where it is. Until the outcome is known, the owner starts nothing of the job.

use std::rc::Rc;
use std::time::Duration;

use nutmegcart_jobs::JobId;
use nutmegcart_jobs::passing::CellLoad;
use nutmegcart_jobs::passing::JobPass;
use nutmegcart_jobs::passing::PassOutcome;
use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use nutmegcart_platform::KeyValue;
use nutmegcart_platform::Revision;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;

use crate::acceptor::encode_accepted;
use crate::clock::now;
use crate::keys;
use crate::keys::CellKeys;
use crate::node::Cells;
use crate::node::Node;
use crate::node::OwnedCell;
use crate::peer;
use crate::peer::PeerRequest;
use crate::peer::PeerResponse;
use crate::writer::STORE_RETRY_DELAY;
use crate::writer::fence_revision;

/// Interval at which an owner looks for jobs that should pass. The loads that it asks for are used
/// at once, so they are at most as old as the timeout of a request to an owner.
const ROUND_PERIOD: Duration = Duration::from_millis(500);

/// Runs rounds until the ownership ends.
pub(crate) async fn run(node: Rc<Node>, owned: Rc<OwnedCell>) {
    while !owned.has_ended() {
        tokio::time::sleep(ROUND_PERIOD).await;
        let Some(cells) = node.cells().filter(|cells| cells.views.len() > 1) else {
            continue;
        };
        let may_pass = owned.state.loaded.get()
            && !owned.state.shutting_down.get()
            && node.failing_since.get().is_none()
            && owned.scheduler.borrow().has_jobs_to_pass(now());
        if may_pass {
            round(&node, &owned, &cells).await;
        }
    }
}

async fn round(node: &Rc<Node>, owned: &Rc<OwnedCell>, cells: &Cells) {
    let loads = other_loads(node, owned, cells).await;
    if owned.has_ended() {
        return;
    }
    let count = cells.layout.cells();
    let passes = owned
        .scheduler
        .borrow_mut()
        .begin_passes(&loads, count, now());
    let tasks: Vec<_> = passes
        .into_iter()
        .map(|pass| tokio::task::spawn_local(complete(node.clone(), owned.clone(), pass)))
        .collect();
    for task in tasks {
        if let Err(error) = task.await {
            log::error!("task that passes a job failed: {error}");
        }
    }
}

/// Asks the owners of the other cells for their loads; cells without an answer get no job.
async fn other_loads(node: &Rc<Node>, owned: &Rc<OwnedCell>, cells: &Cells) -> Vec<CellLoad> {
    let others = cells.views.iter().map(|view| view.number);
    let others = others.filter(|cell| *cell != owned.view.number);
    let replies: Vec<_> = others
        .map(|cell| {
            let node = node.clone();
            tokio::task::spawn_local(async move {
                match peer::ask_owner(&node, &PeerRequest::Load(cell)).await {
                    Ok(PeerResponse::Load(pools)) => Some(CellLoad { cell, pools }),
                    _ => None,
                }
            })
        })
        .collect();
    let mut loads = Vec::new();
    for reply in replies {
        loads.extend(reply.await.ok().flatten());
    }
    loads
}

/// Sends the transaction until its outcome is known or the ownership has ended.
async fn complete(node: Rc<Node>, owned: Rc<OwnedCell>, pass: JobPass) {
    let Some(target) = node.cells().and_then(|cells| {
        let own = cells.layout.cell_of_job(&pass.job) == owned.view.number;
        cells.views.get(pass.cell as usize).filter(|_| own).cloned()
    }) else {
        // A job passes once, from the cell that its identifier determines.
        let outcome = PassOutcome::Kept(None);
        owned.scheduler.borrow_mut().finish_pass(&pass.job, outcome);
        return;
    };
    let txn = transaction(
        &owned.view.keys,
        fence_revision(&owned),
        &target.keys,
        &pass,
    );
    let mut answer_lost = false;
    while !owned.has_ended() {
        let outcome = match (node.platform.store.txn)(txn.clone()).await {
            Ok(reply) if reply.committed => Some(PassOutcome::Passed),
            Ok(reply) => {
                let fence = fence_revision(&owned);
                let outcome = conflict_outcome(&owned.view.keys, fence, &pass.job, &reply.found);
                if outcome.is_none() {
                    owned.end_ownership("the owner's key has changed");
                }
                Some(outcome.unwrap_or(PassOutcome::Kept(None)))
            }
            Err(StoreError::AnswerLost { .. }) => {
                answer_lost = true;
                None
            }
            // An earlier copy may have been committed, so only an answer settles the outcome.
            Err(_) if answer_lost => None,
            Err(_) => Some(PassOutcome::Kept(None)),
        };
        let Some(outcome) = outcome else {
            tokio::time::sleep(STORE_RETRY_DELAY).await;
            continue;
        };
        if outcome == PassOutcome::Passed {
            let cell = pass.cell.to_string();
            node.metrics.passed_jobs.with_label_values(&[&cell]).inc();
            log_event!(
                Event::JobPassed,
                job = pass.job,
                cell = owned.view.number,
                to = pass.cell,
                waited_ms = pass.accepted.waited_ms
            );
        }
        owned.scheduler.borrow_mut().finish_pass(&pass.job, outcome);
        owned.pass_wanted.notify_one();
        return;
    }
}

/// Returns the transaction that passes a job from an owned cell, given by its keys and the fencing
/// token as a revision, to another one.
#[must_use]
pub fn transaction(own: &CellKeys, fence: Revision, target: &CellKeys, pass: &JobPass) -> Txn {
    let (key, target_key) = (own.job(&pass.job), target.job(&pass.job));
    let location = keys::job_location(&pass.job);
    Txn::default()
        .unchanged(own.owner(), fence)
        .unchanged(key.clone(), pass.revision)
        .absent(target_key.clone())
        .absent(location.clone())
        .or_read(own.owner())
        .or_read(key.clone())
        .or_read(location.clone())
        .delete(key)
        .put(target_key, encode_accepted(&pass.accepted))
        .put(
            location,
            keys::location_value(pass.cell, pass.accepted.organisation.as_ref()),
        )
}

/// Determines the outcome of a pass from the keys that its failed transaction has read; `None` if
/// the cell has another owner.
#[must_use]
pub fn conflict_outcome(
    own: &CellKeys,
    fence: Revision,
    job: &JobId,
    found: &[KeyValue],
) -> Option<PassOutcome> {
    let find = |key: &str| found.iter().find(|item| item.key == key);
    find(&own.owner()).filter(|item| item.modified == fence)?;
    let stored = find(&own.job(job));
    if stored.is_none() && find(&keys::job_location(job)).is_some() {
        // An earlier copy of the transaction was committed, and its answer was lost.
        return Some(PassOutcome::Passed);
    }
    Some(PassOutcome::Kept(stored.map(|item| item.modified)))
}
