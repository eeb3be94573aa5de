//! Release of the cells of an instance that shuts down.

use std::rc::Rc;
use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::log_event;

use crate::earlier_owners;
use crate::node::Node;
use crate::node::OwnedCell;
use crate::writer::STORE_RETRY_DELAY;

/// Time for which a shutdown tries to store the end of an ownership.
const STORE_END_TIMEOUT: Duration = Duration::from_millis(400);

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
    let stored = tokio::time::timeout(STORE_END_TIMEOUT, earlier_owners::store_end(&node, &owned));
    match stored.await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::info!("end of ownership {} not stored: {error}", owned.fence),
        Err(_) => log::info!("end of ownership {} not stored in time", owned.fence),
    }
    if let Err(error) = (node.platform.store.revoke_lease)(owned.lease).await {
        log::info!("lease {} not revoked, it will expire: {error}", owned.lease);
    }
    let released = node
        .metrics
        .ownership_changes
        .with_label_values(&["released"]);
    released.inc();
    log_event!(
        Event::CellReleased,
        cell = owned.view.number,
        fence = owned.fence
    );
}
