//! Stores the state of a cell in transactions that are fenced by the owner's key.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use nutmegcart_jobs::FinalState;
use nutmegcart_jobs::Flush;
use nutmegcart_jobs::FlushOutcome;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobKeyState;
use nutmegcart_jobs::JobRecord;
use nutmegcart_jobs::record::decode;
use nutmegcart_jobs::record::encode_job;
use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use nutmegcart_platform::KeyValue;
use nutmegcart_platform::Revision;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;

use crate::clock::now;
use crate::clock::unix_ms;
use crate::keys;
use crate::node::Node;
use crate::node::OwnedCell;

/// Delay after a transaction that failed.
pub(crate) const STORE_RETRY_DELAY: Duration = Duration::from_millis(120);

/// Returns the fencing token as a revision of the store.
pub(crate) fn fence_revision(owned: &OwnedCell) -> Revision {
    Revision::try_from(owned.fence).unwrap_or(Revision::MAX)
}

/// Stores the scheduler's pending changes, one transaction at a time.
pub(crate) async fn run(node: Rc<Node>, owned: Rc<OwnedCell>) {
    while !owned.has_ended() {
        owned.write_wanted.notified().await;
        while owned.state.loaded.get() && !owned.has_ended() {
            let Some(flush) = owned.scheduler.borrow_mut().next_flush(now()) else {
                break;
            };
            let sent = now();
            let outcome = commit(&node, &owned, &flush).await;
            let took = now().saturating_sub(sent);
            node.metrics.store_latency.observe(took.as_secs_f64());
            let failed = matches!(outcome, FlushOutcome::NotStored | FlushOutcome::Rejected);
            owned
                .scheduler
                .borrow_mut()
                .handle_flush_outcome(&outcome, now());
            owned.pass_wanted.notify_one();
            if failed {
                tokio::time::sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}

/// Runs one transaction that is fenced by the owner's key, and returns its outcome.
async fn commit(node: &Rc<Node>, owned: &Rc<OwnedCell>, flush: &Flush) -> FlushOutcome {
    let state = owned.view.keys.state();
    let owner_key = owned.view.keys.owner();
    let mut txn = Txn::default()
        .unchanged(owner_key.clone(), fence_revision(owned))
        .or_read(owner_key);
    for write in &flush.finals {
        let key = owned.view.keys.job(&write.job);
        let record = JobRecord::Ended {
            how: write.how,
            at: unix_ms(),
            organisation: write.organisation.clone(),
        };
        txn = txn
            .unchanged(key.clone(), write.revision)
            .put(key.clone(), encode_job(&record))
            .or_read(key);
    }
    for id in &flush.expired {
        txn = txn.delete(owned.view.keys.job(id));
        let own = node.cells().map(|cells| cells.layout.cell_of_job(id));
        if own != Some(owned.view.number) {
            txn = txn.delete(keys::job_location(id));
        }
    }
    if let Some(bytes) = &flush.state {
        let written = owned.state.record_revision.get();
        txn = txn
            .unchanged(state.clone(), written)
            .put(state.clone(), bytes.clone())
            .or_read(state.clone());
    }
    match (node.platform.store.txn)(txn).await {
        Ok(reply) if reply.committed => {
            if flush.state.is_some() {
                owned.state.record_revision.set(reply.revision);
            }
            FlushOutcome::Stored
        }
        Ok(reply) => resolve_conflict(owned, flush, &reply.found),
        Err(StoreError::Rejected { reason }) => {
            log::warn!("transaction of the cell not accepted: {reason}");
            FlushOutcome::Rejected
        }
        Err(error) => {
            if matches!(error, StoreError::AnswerLost { .. }) {
                node.metrics
                    .retries
                    .with_label_values(&["store_answer_lost"])
                    .inc();
            }
            log::debug!("cell state not stored: {error}");
            FlushOutcome::NotStored
        }
    }
}

/// Determines why the conditions of a transaction did not hold. An earlier transaction whose answer
/// was lost may have made the change already.
fn resolve_conflict(owned: &Rc<OwnedCell>, flush: &Flush, found: &[KeyValue]) -> FlushOutcome {
    let owns_cell = found
        .iter()
        .any(|item| item.key == owned.view.keys.owner() && item.modified == fence_revision(owned));
    if !owns_cell {
        owned.end_ownership("the owner's key has changed");
        return FlushOutcome::NotStored;
    }
    if flush.state.is_some() {
        let state = owned.view.keys.state();
        let current = found.iter().find(|item| item.key == state);
        owned
            .state
            .record_revision
            .set(current.map_or(0, |item| item.modified));
    }
    let mut changed = Vec::new();
    let mut found_jobs: HashSet<JobId> = HashSet::new();
    for item in found {
        let Some(id) = owned.view.keys.job_of(&item.key) else {
            continue;
        };
        found_jobs.insert(id.clone());
        let key = match decode::<JobRecord>(&item.value) {
            Ok(JobRecord::Ended { how, .. }) => JobKeyState::Ended(how),
            Ok(JobRecord::Tombstone { .. }) => JobKeyState::Ended(FinalState::Cancelled),
            Ok(JobRecord::Accepted(_)) => JobKeyState::Accepted(item.modified),
            Err(error) => {
                log_event!(Event::JobRecordInvalid, job = id, reason = error);
                continue;
            }
        };
        changed.push((id, key));
    }
    let absent = flush
        .finals
        .iter()
        .filter(|write| !found_jobs.contains(&write.job));
    changed.extend(absent.map(|write| (write.job.clone(), JobKeyState::Absent)));
    FlushOutcome::Changed(changed)
}
