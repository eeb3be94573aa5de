//! Ownership of cells. The owner of a cell holds a key under a lease; the revision at which the
//! key was written is its fencing token.

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
use crate::candidate::may_acquire;
use crate::clock::now;
use crate::earlier_owners;
use crate::handoff;
use crate::keys;
use crate::node::Acquired;
use crate::node::CellView;
use crate::node::Node;
use crate::node::OwnedCell;
use crate::node::OwnerRecord;
use crate::node::OwnershipState;
use crate::owner;
use crate::owner_log;
use crate::owner_log::Acquisition;
use crate::release;
use crate::shared_keys;

/// Renewals sent within the duration of one lease.
pub(crate) const RENEWALS_PER_LEASE: u32 = 4;
/// Delay between two attempts to acquire a cell; it bounds the load on a failing store.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest wait for a change of the owner before the owner is checked again.
const OWNER_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Watches the shared keys, and acquires cells that have no owner.
pub async fn run(node: Rc<Node>) {
    tokio::task::spawn_local(shared_keys::watch(node.clone()));
    tokio::task::spawn_local(shared_keys::maintain_membership(node.clone()));
    shared_keys::establish_layout(&node).await;
    for view in node.views() {
        tokio::task::spawn_local(acquire_when_vacant(node.clone(), view));
    }
}

/// Acquires a cell whenever it has no owner, until the instance shuts down.
async fn acquire_when_vacant(node: Rc<Node>, view: Rc<CellView>) {
    loop {
        let handed_over = view.handoff.take();
        if node.is_draining() {
            if let Some(acquired) = handed_over {
                release::abandon(&node, view.number, &acquired).await;
            }
            return;
        }
        if let Some(acquired) = handed_over {
            run_owner(&node, &view, acquired).await;
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
        if !may_acquire(&before, &candidate(&node)) {
            continue;
        }
        if node.owner(view.number).is_some() || node.is_draining() || view.has_handoff() {
            continue;
        }
        let acquiring = view.begin_acquisition();
        let acquired = try_acquire(&node, &view).await;
        drop(acquiring);
        match acquired {
            // The shutdown may have begun, and has released the other cells.
            Ok(Some(acquired)) if node.is_draining() => {
                release::abandon(&node, view.number, &acquired).await;
            }
            Ok(Some(acquired)) => run_owner(&node, &view, acquired).await,
            Ok(None) => tokio::time::sleep(RETRY_DELAY).await,
            Err(error) => {
                log::debug!("cell {} not acquired: {error}", view.number);
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
        owned: node.held_cells(),
        instances: members.len(),
    }
}

/// Records that the owner's key of a cell was deleted.
pub(crate) fn remove_owner(node: &Rc<Node>, cell: u32) {
    node.owners.borrow_mut().remove(&cell);
    let Some(owned) = owned_cell(node, cell) else {
        return;
    };
    // The deletion of an earlier owner's key may be reported after this instance acquired the cell.
    if u64::try_from(owned.view.owner_revision.get()).is_ok_and(|seen| seen >= owned.fence) {
        owned.end_ownership("the owner's key is gone");
    }
}

fn owned_cell(node: &Node, cell: u32) -> Option<Rc<OwnedCell>> {
    let cells = node.cells()?;
    let view = cells.views.get(usize::try_from(cell).ok()?)?;
    view.owned.borrow().clone()
}

/// Records the owner of a cell from its key.
pub(crate) fn update_owner(node: &Rc<Node>, cell: u32, item: &KeyValue) {
    let Ok(record) = nutmegcart_jobs::record::decode::<OwnerRecord>(&item.value) else {
        log_event!(Event::JobRecordInvalid, key = item.key);
        node.owners.borrow_mut().remove(&cell);
        return;
    };
    let written = u64::try_from(item.modified).unwrap_or_default();
    // A read or an answer that arrives late may show a key whose deletion has been reported, and
    // which no watch will report again.
    if node.owner_history.borrow().has_lease_ended(cell, written) {
        return;
    }
    if let Some(owned) = owned_cell(node, cell) {
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
        // Only one process runs under this name, so the earlier incarnation has ended.
        let node = node.clone();
        let lease = record.lease;
        tokio::task::spawn_local(async move {
            if let Err(error) = (node.platform.store.revoke_lease)(lease).await {
                log::debug!("lease {lease} of the earlier incarnation not revoked: {error}");
            }
        });
    }
    node.owners.borrow_mut().insert(cell, record);
}

/// Tries to create the owner's key. Returns `None` if another instance owns the cell.
async fn try_acquire(node: &Rc<Node>, view: &CellView) -> Result<Option<Acquired>, StoreError> {
    let store = &node.platform.store;
    let sent = now();
    let (stored, lease) = tokio::join!(
        owner_log::read(store, view.number),
        (store.grant_lease)(node.settings.lease),
    );
    let lease = lease?;
    let stored = match stored {
        Ok(stored) => stored,
        Err(error) => {
            revoke_lease(node, lease).await;
            return Err(error);
        }
    };
    let log = stored.succeed(Acquisition::Vacant);
    let key = view.keys.owner();
    let txn = Txn::default().absent(key.clone()).or_read(key);
    let txn = write_owner(node, view, txn, lease);
    let txn = stored.extend(txn, view.number, &log, owner_record(node, lease));
    let fence = commit_acquisition(node, view, &txn, (lease, sent)).await?;
    Ok(fence.map(|fence| Acquired {
        fence,
        lease,
        sent,
        log,
    }))
}

/// Runs the transaction that writes the owner's key under a lease that was requested at `sent`, and
/// returns the fencing token. Returns `None`, after ending the lease, if the conditions do not hold.
///
/// The transaction must read the owner's key if they do not.
pub(crate) async fn commit_acquisition(
    node: &Rc<Node>,
    view: &CellView,
    txn: &Txn,
    (lease, sent): (LeaseId, Duration),
) -> Result<Option<Revision>, StoreError> {
    let key = view.keys.owner();
    loop {
        match (node.platform.store.txn)(txn.clone()).await {
            Ok(reply) if reply.committed => return Ok(Some(reply.revision)),
            Ok(reply) => {
                let found = reply.found.iter().find(|found| found.key == key);
                // An earlier attempt whose answer was lost may have written the key.
                if let Some(own) = found.filter(|found| found.lease == lease) {
                    return Ok(Some(own.modified));
                }
                if let Some(found) = found {
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
        log::debug!("lease {lease} not revoked, it will expire: {error}");
    }
}

/// Runs the tasks of a cell's owner until ownership ends.
async fn run_owner(node: &Rc<Node>, view: &Rc<CellView>, acquired: Acquired) {
    let Acquired {
        fence,
        lease,
        sent,
        log,
    } = acquired;
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
    let mut scheduler = Scheduler::new(node.reloadable.get().jobs, fence, now());
    scheduler.allow_ranges(node.members_read_state());
    if let Some(cells) = node.cells() {
        scheduler.set_cells(view.number, cells.layout.cells());
    }
    let owned = Rc::new(OwnedCell {
        view: view.clone(),
        scheduler: RefCell::new(scheduler),
        fence: u64::try_from(fence).unwrap_or_default(),
        lease,
        renewed_at: Cell::new(sent),
        log,
        state: OwnershipState::default(),
        pass_wanted: Notify::new(),
        write_wanted: Notify::new(),
        ended: Notify::new(),
    });
    let taken_at = now();
    owned.state.since.set(taken_at);
    node.owner_history
        .borrow_mut()
        .record_log(view.number, owned.fence, &owned.log, taken_at);
    *view.owned.borrow_mut() = Some(owned.clone());
    let gone = {
        let history = node.owner_history.borrow();
        history.has_lease_ended(view.number, owned.fence)
    };
    if gone {
        owned.end_ownership("the owner's key is gone");
    } else {
        let mut owners = node.owners.borrow_mut();
        owners.insert(view.number, owner_record(node, lease));
    }
    tokio::task::spawn_local(renew(node.clone(), owned.clone()));
    tokio::task::spawn_local(handoff::hand_off_to_peer(node.clone(), owned.clone()));
    tokio::task::spawn_local(earlier_owners::confirm_ends(node.clone(), owned.clone()));
    owner::start(node, &owned);
    owned.ended.notified().await;
    *view.owned.borrow_mut() = None;
    node.metrics
        .ownership_changes
        .with_label_values(&["ended"])
        .inc();
    view.owner_changed.notify_one();
}

/// Adds the writes of the owner's key and its copy to a transaction.
pub(crate) fn write_owner(node: &Node, view: &CellView, txn: Txn, lease: LeaseId) -> Txn {
    let value = nutmegcart_jobs::record::encode(&owner_record(node, lease));
    txn.put_leased(view.keys.owner(), value.clone(), lease)
        .put_leased(keys::owner_copy(view.number), value, lease)
}

pub(crate) fn owner_record(node: &Node, lease: LeaseId) -> OwnerRecord {
    OwnerRecord {
        name: node.settings.name.clone(),
        incarnation: node.incarnation,
        peer: node.settings.peer,
        lease,
    }
}

/// Renews the lease until ownership ends; ends it when the lease is lost or could not be renewed
/// within the time for which the owner may act.
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
        if now() >= owned.renewed_at.get() + node.owner_validity() {
            owned.end_ownership("the lease could not be renewed");
        }
    }
}
