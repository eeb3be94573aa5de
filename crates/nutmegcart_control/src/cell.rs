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
use crate::peer;
use crate::peer::Answer;
use crate::peer::Question;

/// Fraction of the lease after which it is renewed.
const RENEWALS: u32 = 4;
/// Pause between two attempts at a vacant cell, as a bound on load when the store fails.
const RETRY: Duration = Duration::from_millis(150);
/// Length of the lease of an instance's address. A stale address costs a failed connection only.
const MEMBER_LEASE: Duration = Duration::from_secs(8);
/// Time between two checks whether the store fails here.
const TROUBLE_CHECK: Duration = Duration::from_millis(100);
/// Time for which the store has to fail here before the cell is handed to a peer.
const TROUBLE: Duration = Duration::from_millis(200);
/// Longest wait for a peer that takes the cell over, which takes two calls to the store.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_millis(400);
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
        if let Some((fence, lease, sent)) = node.handed.take() {
            own(&node, fence, lease, sent).await;
            continue;
        }
        let vacant = node.owner_known.get() && node.owner.borrow().is_none();
        if !vacant || node.configuration.borrow().is_none() {
            let changed = node.owner_changed.notified();
            let _ = tokio::time::timeout(Duration::from_millis(500), changed).await;
            continue;
        }
        // Instances that see the vacancy at the same time would only race each other.
        tokio::time::sleep(Duration::from_millis(node.life % SPREAD)).await;
        if node.owner.borrow().is_some() || node.is_stopping() || node.is_handed() {
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
        node.owner_changed.notify_one();
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
        && u64::try_from(item.modified).is_ok_and(|written| written > owned.fence)
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
    let key = node.keys.owner();
    let value = nutmegcart_jobs::record::encode(&record(node, lease));
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
                    return Ok(Some((found.modified, lease, sent)));
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
    *node.owner.borrow_mut() = Some(record(node, lease));
    tokio::task::spawn_local(renew(node.clone(), owned.clone()));
    tokio::task::spawn_local(hand_to_peer(node.clone(), owned.clone()));
    duty::start(node, &owned);
    owned.ended.notified().await;
    *node.owned.borrow_mut() = None;
    node.owner_changed.notify_one();
}

/// Hands the cell to a peer when the store fails here and the peer reaches it.
///
/// Answers a store that turns single instances away: without it, jobs that others accept wait
/// until the lease has run out.
async fn hand_to_peer(node: Rc<Node>, owned: Rc<Owned>) {
    while !owned.is_over() {
        tokio::time::sleep(TROUBLE_CHECK).await;
        let lasting = node
            .trouble
            .get()
            .is_some_and(|since| now() >= since + TROUBLE);
        if !lasting || owned.is_over() {
            continue;
        }
        for helper in node.helpers() {
            let question = Question::TakeOver(owned.fence);
            let answer = peer::ask_at(&node, helper, &question, TAKE_OVER_TIMEOUT).await;
            if owned.is_over() {
                return;
            }
            if answer == Ok(Answer::Taken(true)) {
                owned.give_up("handed to a peer that reaches the store");
                return;
            }
        }
    }
}

/// Takes the cell over from an owner that asked for it and holds it with the fencing token.
pub async fn take_from(node: &Rc<Node>, fence: u64) -> bool {
    if node.trouble.get().is_some() || node.is_stopping() || node.owned.borrow().is_some() {
        return false;
    }
    let Ok(held) = Revision::try_from(fence) else {
        return false;
    };
    let store = &node.platform.store;
    let sent = now();
    let Ok(lease) = (store.grant)(node.settings.lease).await else {
        return false;
    };
    let key = node.keys.owner();
    let value = nutmegcart_jobs::record::encode(&record(node, lease));
    let txn = Txn::default()
        .unchanged(key.clone(), held)
        .put_leased(key.clone(), value, lease)
        .or_read(key.clone());
    let taken = match (store.txn)(txn).await {
        Ok(reply) if reply.committed => Some(reply.revision),
        // A transaction whose answer was lost shows in the owner's key, which is followed.
        Ok(_) | Err(_) => None,
    };
    let Some(revision) = taken else {
        end_lease(node, lease).await;
        return false;
    };
    node.handed.set(Some((revision, lease, sent)));
    node.owner_changed.notify_one();
    true
}

fn record(node: &Node, lease: LeaseId) -> OwnerRecord {
    OwnerRecord {
        name: node.settings.name.clone(),
        life: node.life,
        peer: node.settings.peer,
        lease,
    }
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
                node.note_store(false);
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
