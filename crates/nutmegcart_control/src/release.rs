//! Release of the cells of an instance that shuts down.

use std::rc::Rc;
use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use nutmegcart_platform::Revision;
use nutmegcart_platform::StoreError;

use crate::earlier_owners;
use crate::node::Acquired;
use crate::node::Node;
use crate::node::OwnedCell;
use crate::owner_log::OwnerLog;
use crate::ownership::revoke_lease;
use crate::writer::STORE_RETRY_DELAY;
use crate::writer::fence_revision;

/// Time for which a shutdown tries to store the end of an ownership.
const STORE_END_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Releases all cells at shutdown: stops sending orders, lets the last state be stored, stores the end
/// of the ownerships, which deletes the owner's keys, and revokes the leases.
pub async fn release_cells(node: &Rc<Node>) {
    let owned = node.owned_cells();
    if owned.is_empty() {
        return;
    }
    for each in &owned {
        each.state.shutting_down.set(true);
    }
    // Orders and a transaction in progress complete first, so that the next owner finds their
    // results.
    tokio::time::sleep(STORE_RETRY_DELAY).await;
    for each in &owned {
        each.end_ownership("shutdown");
    }
    let releases = owned
        .into_iter()
        .map(|each| tokio::task::spawn_local(release(node.clone(), each)));
    for release in releases.collect::<Vec<_>>() {
        if let Err(error) = release.await {
            log::error!("a cell was not released: {error}");
        }
    }
}

async fn release(node: Rc<Node>, owned: Rc<OwnedCell>) {
    let cell = owned.view.number;
    let log = earlier_owners::final_log(&node, &owned);
    store_end(&node, cell, fence_revision(&owned), &log).await;
    if let Err(error) = (node.platform.store.revoke_lease)(owned.lease).await {
        log::info!("lease {} not revoked, it will expire: {error}", owned.lease);
    }
    let released = node
        .metrics
        .ownership_changes
        .with_label_values(&["released"]);
    released.inc();
    log_event!(Event::CellReleased, cell = cell, fence = owned.fence);
}

/// Gives up a cell whose key was written for this instance, before its ownership begins.
pub(crate) async fn abandon(node: &Rc<Node>, cell: u32, acquired: &Acquired) {
    store_end(node, cell, acquired.fence, &acquired.log).await;
    revoke_lease(node, acquired.lease).await;
}

/// Gives up the key of an ownership that has ended, and stores with it that this owner acts no more,
/// so that a successor need not ask a process which may be gone by then.
///
/// Calls that are still under way carry lease ends which were set before the ownership ended, as when
/// the process confirms the end to a successor.
async fn store_end(node: &Rc<Node>, cell: u32, fence: Revision, log: &OwnerLog) {
    let txn = log.release(cell, fence);
    let stored = async {
        loop {
            match (node.platform.store.txn)(txn.clone()).await {
                Err(StoreError::AnswerLost { .. }) => tokio::time::sleep(RETRY_DELAY).await,
                // If the conditions do not hold, an attempt whose answer was lost was made, or the
                // lease has ended.
                other => return other,
            }
        }
    };
    match tokio::time::timeout(STORE_END_TIMEOUT, stored).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => log::info!("end of ownership {fence} not stored: {error}"),
        Err(_) => log::info!("end of ownership {fence} not stored in time"),
    }
}
