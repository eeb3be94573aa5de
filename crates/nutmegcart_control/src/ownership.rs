//! Ownership of a cell: a key under a lease, whose revision is the fencing token.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use nutmegcart_jobs::Scheduler;
use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use nutmegcart_platform::KeyValue;
use nutmegcart_platform::LeaseId;
use nutmegcart_platform::Revision;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;
use tokio::sync::Notify;

use crate::candidate::Candidate;
use crate::candidate::acquisition_delay;
use crate::clock::now;
use crate::keys;
use crate::node::CellView;
use crate::node::Node;
use crate::node::OwnedCell;
use crate::node::OwnerRecord;
use crate::node::OwnershipState;
use crate::owner;
use crate::peer;
use crate::peer::PeerRequest;
use crate::peer::PeerResponse;
use crate::shared_keys;

/// Fraction of the lease after which it is renewed.
pub(crate) const RENEWALS_PER_LEASE: u32 = 4;
/// Pause between two attempts at a vacant cell, as a bound on load when the store fails.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Time between two checks whether the store fails here.
const STORE_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Time for which the store has to fail here before a cell is handed to a peer.
const HANDOFF_AFTER: Duration = Duration::from_millis(200);
/// Longest wait for a peer that takes a cell over, which takes two calls to the store.
const HANDOFF_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait between two looks at who owns a cell.
const OWNER_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Follows the owners, and takes cells over whenever they are vacant.
pub async fn run(node: Rc<Node>) {
    tokio::task::spawn_local(shared_keys::watch(node.clone()));
    tokio::task::spawn_local(shared_keys::maintain_membership(node.clone()));
    shared_keys::establish_layout(&node).await;
    for view in node.views() {
        tokio::task::spawn_local(acquire_when_vacant(node.clone(), view));
    }
}

/// Takes a cell over whenever it is vacant, until the instance shuts down.
async fn acquire_when_vacant(node: Rc<Node>, view: Rc<CellView>) {
    loop {
        if node.is_draining() {
            return;
        }
        if let Some((fence, lease, sent)) = view.handoff.take() {
            hold(&node, &view, fence, lease, sent).await;
            continue;
        }
        let vacant = node.owners_known.get() && node.owner(view.number).is_none();
        if !vacant || node.configuration.borrow().is_none() {
            let changed = view.owner_changed.notified();
            let _ = tokio::time::timeout(OWNER_CHECK_PERIOD, changed).await;
            continue;
        }
        let before = candidate(&node);
        tokio::time::sleep(acquisition_delay(&before, view.number)).await;
        if node.owned_cells().len() > before.owned {
            // Another cell was taken meanwhile; instances without one go first now.
            continue;
        }
        if node.owner(view.number).is_some() || node.is_draining() || view.has_handoff() {
            continue;
        }
        match try_acquire(&node, &view).await {
            Ok(Some((fence, lease, sent))) => hold(&node, &view, fence, lease, sent).await,
            Ok(None) => tokio::time::sleep(RETRY_DELAY).await,
            Err(error) => {
                log::debug!("cell {} not taken: {error}", view.number);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Returns this instance as a candidate for a cell.
pub(crate) fn candidate(node: &Node) -> Candidate {
    let members = node.members.borrow();
    let cores = node.settings.cores;
    let largest = members.values().map(|member| member.cores);
    Candidate {
        incarnation: node.incarnation,
        cores,
        largest: largest.fold(cores, f64::max),
        owned: node.owned_cells().len(),
        instances: members.len(),
    }
}

/// Notes that nobody owns a cell.
pub(crate) fn remove_owner(node: &Rc<Node>, cell: u32) {
    node.owners.borrow_mut().remove(&cell);
    let Some(owned) = owned_cell(node, cell) else {
        return;
    };
    // The key of an earlier owner may be reported as gone after this instance has taken the cell.
    if u64::try_from(owned.view.owner_revision.get()).is_ok_and(|seen| seen >= owned.fence) {
        owned.end_ownership("the owner's key is gone");
    }
}

fn owned_cell(node: &Node, cell: u32) -> Option<Rc<OwnedCell>> {
    let cells = node.cells()?;
    let view = cells.views.get(usize::try_from(cell).ok()?)?;
    view.owned.borrow().clone()
}

/// Notes who owns a cell.
pub(crate) fn update_owner(node: &Rc<Node>, cell: u32, item: &KeyValue) {
    let Ok(record) = nutmegcart_jobs::record::decode::<OwnerRecord>(&item.value) else {
        log_event!(Event::JobRecordInvalid, key = item.key);
        node.owners.borrow_mut().remove(&cell);
        return;
    };
    if let Some(owned) = owned_cell(node, cell) {
        let written = u64::try_from(item.modified).unwrap_or_default();
        if written < owned.fence {
            return;
        }
        owned.view.owner_revision.set(item.modified);
        if written > owned.fence {
            owned.end_ownership("another instance owns the cell");
        }
    }
    let earlier_incarnation =
        record.name == node.settings.name && record.incarnation != node.incarnation;
    if earlier_incarnation {
        // This process is the only one of its name, so the earlier one has ended.
        let node = node.clone();
        let lease = record.lease;
        tokio::task::spawn_local(async move {
            if let Err(error) = (node.platform.store.revoke_lease)(lease).await {
                log::debug!("lease of the earlier life not ended: {error}");
            }
        });
    }
    node.owners.borrow_mut().insert(cell, record);
}

/// Tries to create the owner's key; returns fencing token, lease and when the lease was asked for.
async fn try_acquire(
    node: &Rc<Node>,
    view: &CellView,
) -> Result<Option<(Revision, LeaseId, Duration)>, StoreError> {
    let store = &node.platform.store;
    let sent = now();
    let lease = (store.grant_lease)(node.settings.lease).await?;
    let key = view.keys.owner();
    let value = nutmegcart_jobs::record::encode(&owner_record(node, lease));
    let txn = Txn::default()
        .absent(key.clone())
        .put_leased(key.clone(), value.clone(), lease)
        .put_leased(keys::owner_copy(view.number), value, lease)
        .or_read(key.clone());
    loop {
        match (store.txn)(txn.clone()).await {
            Ok(reply) if reply.committed => return Ok(Some((reply.revision, lease, sent))),
            Ok(reply) => {
                // An attempt of ours whose answer was lost may be the one that created the key.
                let own = reply
                    .found
                    .iter()
                    .find(|found| found.key == key && found.lease == lease);
                if let Some(found) = own {
                    return Ok(Some((found.modified, lease, sent)));
                }
                if let Some(found) = reply.found.iter().find(|found| found.key == key) {
                    update_owner(node, view.number, found);
                }
                revoke_lease(node, lease).await;
                return Ok(None);
            }
            Err(StoreError::AnswerLost { .. }) if now() < sent + node.settings.lease / 2 => {}
            Err(error) => {
                revoke_lease(node, lease).await;
                return Err(error);
            }
        }
    }
}

pub(crate) async fn revoke_lease(node: &Rc<Node>, lease: LeaseId) {
    if let Err(error) = (node.platform.store.revoke_lease)(lease).await {
        log::debug!("lease {lease} not ended, it will run out: {error}");
    }
}

/// Owns a cell until ownership ends.
async fn hold(
    node: &Rc<Node>,
    view: &Rc<CellView>,
    fence: Revision,
    lease: LeaseId,
    sent: Duration,
) {
    log_event!(
        Event::CellTaken,
        cell = view.number,
        fence = fence,
        lease = lease
    );
    node.metrics
        .ownership_changes
        .with_label_values(&["taken"])
        .inc();
    let scheduler = Scheduler::new(node.reloadable.get().jobs, fence, now());
    let owned = Rc::new(OwnedCell {
        view: view.clone(),
        scheduler: RefCell::new(scheduler),
        fence: u64::try_from(fence).unwrap_or_default(),
        lease,
        renewed_at: Cell::new(sent),
        state: OwnershipState::default(),
        pass_wanted: Notify::new(),
        write_wanted: Notify::new(),
        ended: Notify::new(),
    });
    owned.state.since.set(now());
    *view.owned.borrow_mut() = Some(owned.clone());
    node.owners
        .borrow_mut()
        .insert(view.number, owner_record(node, lease));
    tokio::task::spawn_local(renew(node.clone(), owned.clone()));
    tokio::task::spawn_local(hand_off_to_peer(node.clone(), owned.clone()));
    owner::start(node, &owned);
    owned.ended.notified().await;
    *view.owned.borrow_mut() = None;
    node.metrics
        .ownership_changes
        .with_label_values(&["ended"])
        .inc();
    view.owner_changed.notify_one();
}

/// Hands a cell to a peer when the store fails here and the peer reaches it.
///
/// Answers a store that turns single instances away: without it, jobs that others accept wait
/// until the lease has run out.
async fn hand_off_to_peer(node: Rc<Node>, owned: Rc<OwnedCell>) {
    while !owned.has_ended() {
        tokio::time::sleep(STORE_CHECK_PERIOD).await;
        let failing = node
            .failing_since
            .get()
            .is_some_and(|since| now() >= since + HANDOFF_AFTER);
        if !failing || owned.has_ended() {
            continue;
        }
        for helper in node.helpers(owned.view.number) {
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

/// Takes a cell over from an owner that asked for it and holds it with the fencing token.
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
    let store = &node.platform.store;
    let sent = now();
    let Ok(lease) = (store.grant_lease)(node.settings.lease).await else {
        return false;
    };
    let key = view.keys.owner();
    let value = nutmegcart_jobs::record::encode(&owner_record(node, lease));
    let txn = Txn::default()
        .unchanged(key.clone(), held)
        .put_leased(key.clone(), value.clone(), lease)
        .put_leased(keys::owner_copy(cell), value, lease)
        .or_read(key.clone());
    let taken = match (store.txn)(txn).await {
        Ok(reply) if reply.committed => Some(reply.revision),
        // A transaction whose answer was lost shows in the owner's key, which is followed.
        Ok(_) | Err(_) => None,
    };
    let Some(revision) = taken else {
        revoke_lease(node, lease).await;
        return false;
    };
    view.handoff.set(Some((revision, lease, sent)));
    view.owner_changed.notify_one();
    true
}

fn owner_record(node: &Node, lease: LeaseId) -> OwnerRecord {
    OwnerRecord {
        name: node.settings.name.clone(),
        incarnation: node.incarnation,
        peer: node.settings.peer,
        lease,
    }
}

/// Renews the lease until it is lost or nobody may act under it any more.
async fn renew(node: Rc<Node>, owned: Rc<OwnedCell>) {
    let period = node.settings.lease / RENEWALS_PER_LEASE;
    while !owned.has_ended() {
        tokio::time::sleep(period).await;
        let sent = now();
        match (node.platform.store.renew_lease)(owned.lease).await {
            Ok(true) => {
                owned.renewed_at.set(sent);
                node.record_store_call(true);
            }
            Ok(false) => owned.end_ownership("the lease has ended"),
            Err(error) => {
                node.record_store_call(false);
                node.metrics
                    .retries
                    .with_label_values(&["lease_renewal"])
                    .inc();
                log::debug!("lease not renewed: {error}");
            }
        }
        if now() >= owned.renewed_at.get() + node.authority() {
            owned.end_ownership("the lease could not be renewed");
        }
    }
}
