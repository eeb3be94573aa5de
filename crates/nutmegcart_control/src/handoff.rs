//! Handoff of a cell to a peer that reaches the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegcart_platform::Revision;
use nutmegcart_platform::Txn;

use crate::candidate::Receiver;
use crate::candidate::accepts_handoff;
use crate::candidate::handoff_order;
use crate::clock::now;
use crate::node::Acquired;
use crate::node::CellView;
use crate::node::Node;
use crate::node::OwnedCell;
use crate::owner_log;
use crate::owner_log::Acquisition;
use crate::ownership::candidate;
use crate::ownership::commit_acquisition;
use crate::ownership::owner_record;
use crate::ownership::revoke_lease;
use crate::ownership::write_owner;
use crate::peer;
use crate::peer::PeerRequest;
use crate::peer::PeerResponse;
use crate::release;

/// Interval at which an owner checks whether the store fails for this instance.
const STORE_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Time for which the store must have failed for an owner before it hands its cell to a peer.
const HANDOFF_AFTER: Duration = Duration::from_millis(200);
/// Timeout of a handoff request; the peer waits for two answers of the store in turn.
const HANDOFF_TIMEOUT: Duration = Duration::from_millis(400);

/// Hands a cell to a peer that reaches the store while the store fails for this instance.
///
/// The store may reject single instances. Without the handoff, jobs that other instances accept
/// would wait until the lease of this one expires.
pub(crate) async fn hand_off_to_peer(node: Rc<Node>, owned: Rc<OwnedCell>) {
    while !owned.has_ended() {
        tokio::time::sleep(STORE_CHECK_PERIOD).await;
        let failing = node
            .failing_since
            .get()
            .is_some_and(|since| now() >= since + HANDOFF_AFTER);
        if !failing || owned.has_ended() {
            continue;
        }
        for helper in receivers(&node, owned.view.number) {
            let request = PeerRequest::TakeOver(owned.view.number, owned.fence);
            let answer = peer::send(&node, helper, &request, HANDOFF_TIMEOUT).await;
            if owned.has_ended() {
                return;
            }
            if answer == Ok(PeerResponse::Taken(true)) {
                owned.end_ownership("handed to a peer that reaches the store");
                return;
            }
        }
    }
}

/// Acquires a cell from an owner that asked for the handoff. The owner holds the cell with the
/// given fencing token.
///
/// # Panics
///
/// Panics outside a [`tokio::task::LocalSet`].
pub async fn accept_handoff(node: &Rc<Node>, cell: u32, fence: u64) -> bool {
    let Some(view) = node
        .cells()
        .and_then(|cells| cells.views.get(cell as usize).cloned())
    else {
        return false;
    };
    if node.failing_since.get().is_some() || node.is_draining() || view.owned.borrow().is_some() {
        return false;
    }
    let Ok(held) = Revision::try_from(fence) else {
        return false;
    };
    if !accepts_handoff(&candidate(node), node.views().len()) {
        return false;
    }
    // The owner may stop waiting, which cancels the request, when the key has been written already.
    let acquiring = view.begin_acquisition();
    let node = node.clone();
    let acquisition = tokio::task::spawn_local(async move {
        let acquired = acquire_from(&node, &view, held).await;
        drop(acquiring);
        if let Some(acquired) = &acquired
            && node.is_draining()
        {
            release::abandon(&node, cell, acquired).await;
            return false;
        }
        let taken = acquired.is_some();
        if taken {
            *view.handoff.borrow_mut() = acquired;
            view.owner_changed.notify_one();
        }
        taken
    });
    acquisition.await.unwrap_or_else(|error| {
        log::error!("handoff of cell {cell} failed: {error}");
        false
    })
}

/// Replaces the key of an owner that holds the cell with the given fencing token.
async fn acquire_from(node: &Rc<Node>, view: &CellView, held: Revision) -> Option<Acquired> {
    let cell = view.number;
    let store = &node.platform.store;
    let sent = now();
    let (stored, lease) = tokio::join!(
        owner_log::read(store, cell),
        (store.grant_lease)(node.settings.lease),
    );
    let lease = lease.ok()?;
    let Ok(stored) = stored else {
        revoke_lease(node, lease).await;
        return None;
    };
    let log = stored.succeed(Acquisition::HandedOver);
    let key = view.keys.owner();
    let txn = Txn::default().unchanged(key.clone(), held).or_read(key);
    let txn = write_owner(node, view, txn, lease);
    let txn = stored.extend(txn, cell, &log, owner_record(node, lease));
    let committed = commit_acquisition(node, view, &txn, (lease, sent)).await;
    let fence = committed.unwrap_or_else(|error| {
        log::debug!("handed-over cell {cell} not acquired: {error}");
        None
    })?;
    Some(Acquired {
        fence,
        lease,
        sent,
        log,
    })
}

/// Returns the peers that may take over a cell, in the order in which they are asked.
fn receivers(node: &Node, cell: u32) -> Vec<SocketAddr> {
    let owners = node.owners.borrow();
    let members = node.members.borrow();
    let receivers = node.helpers(cell).into_iter().map(|peer| {
        let cores = members.values().find(|member| member.peer == peer);
        Receiver {
            peer,
            cores: cores.map_or(0.0, |member| member.cores),
            owned: owners.values().filter(|owner| owner.peer == peer).count(),
        }
    });
    handoff_order(receivers.collect())
}
