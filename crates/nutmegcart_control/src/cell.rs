//! Ownership of the cell: a key under a lease, whose revision is the fencing token.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
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

use crate::clock::now;
use crate::duty;
use crate::follow::Follower;
use crate::follow::Seen;
use crate::node::Node;
use crate::node::Owned;
use crate::node::OwnedState;
use crate::node::OwnerRecord;

/// Fraction of the lease after which it is renewed.
const RENEWALS: u32 = 4;
/// Pause between two attempts at a vacant cell, as a bound on load when the store fails.
const RETRY: Duration = Duration::from_millis(150);
/// Length of the lease of an instance's address. A stale address costs a failed connection only.
const MEMBER_LEASE: Duration = Duration::from_secs(8);
/// Largest delay by which instances spread their attempts at a vacant cell.
const SPREAD: u64 = 60;

/// Follows the owner's key, and takes the cell over whenever it is vacant.
pub async fn run(node: Rc<Node>) {
    tokio::task::spawn_local(follow_owner(node.clone()));
    tokio::task::spawn_local(announce(node.clone()));
    loop {
        if node.is_stopping() {
            return;
        }
        let vacant = node.owner_known.get() && node.owner.borrow().is_none();
        if !vacant || node.configuration.borrow().is_none() {
            let changed = node.owner_changed.notified();
            let _ = tokio::time::timeout(Duration::from_millis(500), changed).await;
            continue;
        }
        // Instances that see the vacancy at the same time would only race each other.
        tokio::time::sleep(Duration::from_millis(node.life % SPREAD)).await;
        if node.owner.borrow().is_some() || node.is_stopping() {
            continue;
        }
        match take(&node).await {
            Ok(Some((fence, lease, sent))) => own(&node, fence, lease, sent).await,
            Ok(None) => tokio::time::sleep(RETRY).await,
            Err(error) => {
                log::debug!("cell not taken: {error}");
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

async fn follow_owner(node: Rc<Node>) {
    let key = node.keys.owner();
    let mut follower = Follower::new(node.keys.instances());
    loop {
        let seen = follower.next(&node.platform.store).await;
        node.note_store(follower.reached);
        for each in seen {
            match each {
                Seen::Put(item) if item.key == key => see_owner(&node, &item),
                Seen::Put(item) => see_member(&node, &item),
                Seen::Gone(gone) if gone == key => lose_owner(&node),
                Seen::Gone(gone) => {
                    if let Some(name) = node.keys.member_of(&gone) {
                        node.members.borrow_mut().remove(name);
                    }
                }
                Seen::Complete => node.owner_known.set(true),
            }
        }
        node.owner_changed.notify_waiters();
    }
}

/// Notes that nobody owns the cell.
pub fn lose_owner(node: &Rc<Node>) {
    *node.owner.borrow_mut() = None;
    if let Some(owned) = node.owned.borrow().as_ref() {
        owned.give_up("the owner's key is gone");
    }
}

fn see_member(node: &Rc<Node>, item: &KeyValue) {
    let Some(name) = node.keys.member_of(&item.key) else {
        return;
    };
    match nutmegcart_jobs::record::decode::<SocketAddr>(&item.value) {
        Ok(address) => {
            node.members.borrow_mut().insert(name.into(), address);
        }
        Err(error) => log_event!(Event::JobRecordInvalid, key = item.key, reason = error),
    }
}

/// Keeps the address of this instance in the store, where others find it.
pub async fn announce(node: Rc<Node>) {
    let key = node.keys.member(&node.settings.name);
    let value = nutmegcart_jobs::record::encode(&node.settings.peer);
    let mut lease = None;
    while !node.is_stopping() {
        let result = match lease {
            None => enter(&node, &key, &value).await.map(Some),
            Some(held) => {
                let kept = (node.platform.store.keep)(held).await;
                kept.map(|alive| alive.then_some(held))
            }
        };
        let pause = match result {
            Ok(held) => {
                lease = held;
                if held.is_some() {
                    MEMBER_LEASE / RENEWALS
                } else {
                    RETRY
                }
            }
            Err(error) => {
                log::debug!("address not announced: {error}");
                RETRY * 4
            }
        };
        tokio::time::sleep(pause).await;
    }
    if let Some(held) = lease {
        end_lease(&node, held).await;
    }
}

async fn enter(node: &Rc<Node>, key: &str, value: &[u8]) -> Result<LeaseId, StoreError> {
    let lease = (node.platform.store.grant)(MEMBER_LEASE).await?;
    let txn = Txn::default().put_leased(key, value.to_vec(), lease);
    (node.platform.store.txn)(txn).await?;
    Ok(lease)
}

/// Notes who owns the cell.
pub fn see_owner(node: &Rc<Node>, item: &KeyValue) {
    let Ok(record) = nutmegcart_jobs::record::decode::<OwnerRecord>(&item.value) else {
        log_event!(Event::JobRecordInvalid, key = item.key);
        *node.owner.borrow_mut() = None;
        return;
    };
    if let Some(owned) = node.owned.borrow().as_ref()
        && u64::try_from(item.created) != Ok(owned.fence)
        && u64::try_from(item.created).is_ok_and(|created| created > owned.fence)
    {
        owned.give_up("another instance owns the cell");
    }
    let earlier_life = record.name == node.settings.name && record.life != node.life;
    if earlier_life {
        // This process is the only one of its name, so the earlier one has ended.
        let node = node.clone();
        let lease = record.lease;
        tokio::task::spawn_local(async move {
            if let Err(error) = (node.platform.store.end)(lease).await {
                log::debug!("lease of the earlier life not ended: {error}");
            }
        });
    }
    *node.owner.borrow_mut() = Some(record);
}

/// Tries to create the owner's key; returns fencing token, lease and when the lease was asked for.
async fn take(node: &Rc<Node>) -> Result<Option<(Revision, LeaseId, Duration)>, StoreError> {
    let store = &node.platform.store;
    let sent = now();
    let lease = (store.grant)(node.settings.lease).await?;
    let record = OwnerRecord {
        name: node.settings.name.clone(),
        life: node.life,
        peer: node.settings.peer,
        lease,
    };
    let key = node.keys.owner();
    let value = nutmegcart_jobs::record::encode(&record);
    let txn = Txn::default()
        .absent(key.clone())
        .put_leased(key.clone(), value, lease)
        .or_read(key.clone());
    loop {
        match (store.txn)(txn.clone()).await {
            Ok(reply) if reply.committed => return Ok(Some((reply.revision, lease, sent))),
            Ok(reply) => {
                // An attempt of ours whose answer was lost may be the one that created the key.
                let ours = reply
                    .found
                    .iter()
                    .find(|found| found.key == key && found.lease == lease);
                if let Some(found) = ours {
                    return Ok(Some((found.created, lease, sent)));
                }
                if let Some(found) = reply.found.iter().find(|found| found.key == key) {
                    see_owner(node, found);
                }
                end_lease(node, lease).await;
                return Ok(None);
            }
            Err(StoreError::AnswerLost { .. }) if now() < sent + node.settings.lease / 2 => {}
            Err(error) => {
                end_lease(node, lease).await;
                return Err(error);
            }
        }
    }
}

async fn end_lease(node: &Rc<Node>, lease: LeaseId) {
    if let Err(error) = (node.platform.store.end)(lease).await {
        log::debug!("lease {lease} not ended, it will run out: {error}");
    }
}

/// Owns the cell until ownership ends.
async fn own(node: &Rc<Node>, fence: Revision, lease: LeaseId, sent: Duration) {
    log_event!(Event::CellTaken, fence = fence, lease = lease);
    let scheduler = Scheduler::new(node.settings.jobs, fence, now());
    let owned = Rc::new(Owned {
        scheduler: RefCell::new(scheduler),
        fence: u64::try_from(fence).unwrap_or_default(),
        lease,
        renewed: Cell::new(sent),
        state: OwnedState::default(),
        wake: Notify::new(),
        store: Notify::new(),
        ended: Notify::new(),
    });
    owned.state.since.set(now());
    *node.owned.borrow_mut() = Some(owned.clone());
    *node.owner.borrow_mut() = Some(OwnerRecord {
        name: node.settings.name.clone(),
        life: node.life,
        peer: node.settings.peer,
        lease,
    });
    tokio::task::spawn_local(renew(node.clone(), owned.clone()));
    duty::start(node, &owned);
    owned.ended.notified().await;
    *node.owned.borrow_mut() = None;
    node.owner_changed.notify_waiters();
}

/// Renews the lease until it is lost or nobody may act under it any more.
async fn renew(node: Rc<Node>, owned: Rc<Owned>) {
    let period = node.settings.lease / RENEWALS;
    while !owned.is_over() {
        tokio::time::sleep(period).await;
        let sent = now();
        match (node.platform.store.keep)(owned.lease).await {
            Ok(true) => {
                owned.renewed.set(sent);
                node.note_store(true);
            }
            Ok(false) => owned.give_up("the lease has ended"),
            Err(error) => {
                node.metrics
                    .retries
                    .with_label_values(&["lease_renewal"])
                    .inc();
                log::debug!("lease not renewed: {error}");
            }
        }
        if now() >= owned.renewed.get() + node.settings.jobs.authority {
            owned.give_up("the lease could not be renewed");
        }
    }
}
