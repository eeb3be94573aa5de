//! What all instances follow: each other, the layout of the cells, and who owns them.

use std::rc::Rc;
use std::time::Duration;

use nutmegcart_jobs::layout::CellLayout;
use nutmegcart_jobs::record::decode;
use nutmegcart_jobs::record::encode;
use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use nutmegcart_platform::KeyValue;
use nutmegcart_platform::LeaseId;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;

use crate::candidacy::delay;
use crate::cell::RENEWALS;
use crate::cell::RETRY;
use crate::cell::candidate;
use crate::cell::end_lease;
use crate::cell::lose_owner;
use crate::cell::see_owner;
use crate::clock::now;
use crate::follow::Follower;
use crate::follow::Seen;
use crate::keys;
use crate::keys::Shared;
use crate::node::Member;
use crate::node::Node;

/// Length of the lease of an instance's address. A stale address costs a failed connection only.
const MEMBER_LEASE: Duration = Duration::from_secs(8);
/// Time for which the list of machines is waited for before workers' entries make the layout.
const MACHINES_PATIENCE: Duration = Duration::from_secs(2);

/// Follows the shared keys.
pub async fn follow(node: Rc<Node>) {
    let mut follower = Follower::new(keys::SHARED);
    loop {
        let seen = follower.next(&node.platform.store).await;
        node.note_store(follower.reached);
        for each in seen {
            match each {
                Seen::Put(item) => take_in(&node, &item),
                Seen::Gone(key) => forget(&node, &key),
                Seen::Complete => node.owners_known.set(true),
            }
        }
        for view in node.views() {
            view.changed.notify_one();
        }
    }
}

fn take_in(node: &Rc<Node>, item: &KeyValue) {
    let invalid = |error| log_event!(Event::JobRecordInvalid, key = item.key, reason = error);
    match keys::shared(&item.key) {
        Some(Shared::Layout) => match decode::<CellLayout>(&item.value) {
            Ok(layout) => node.see_layout(layout),
            Err(error) => invalid(error),
        },
        Some(Shared::Member(name)) => match decode::<Member>(&item.value) {
            Ok(member) => {
                node.members.borrow_mut().insert(name.into(), member);
            }
            Err(error) => invalid(error),
        },
        Some(Shared::Owner(cell)) => see_owner(node, cell, item),
        Some(Shared::WavePart(wave, cell)) => {
            node.parts.borrow_mut().insert((wave, cell));
        }
        None => log::debug!("key {} is not known", item.key),
    }
}

fn forget(node: &Rc<Node>, key: &str) {
    match keys::shared(key) {
        Some(Shared::Member(name)) => {
            node.members.borrow_mut().remove(name);
        }
        Some(Shared::Owner(cell)) => lose_owner(node, cell),
        Some(Shared::WavePart(wave, cell)) => {
            node.parts.borrow_mut().remove(&(wave, cell));
        }
        Some(Shared::Layout) | None => log::warn!("key {key} was removed"),
    }
}

/// Keeps the address of this instance in the store, where others find it.
pub async fn announce(node: Rc<Node>) {
    let key = keys::member(&node.settings.name);
    let member = Member {
        peer: node.settings.peer,
        cores: node.settings.cores,
    };
    let value = encode(&member);
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

/// Waits for the layout of the cells, and makes it if there is none.
pub async fn establish(node: &Rc<Node>) {
    let mut since = None;
    while node.cells().is_none() && !node.is_stopping() {
        if !node.owners_known.get() {
            tokio::time::sleep(RETRY / 4).await;
            continue;
        }
        let begun = *since.get_or_insert_with(now);
        // Instances that start together would all read the list and race each other.
        tokio::time::sleep(delay(&candidate(node), u32::MAX)).await;
        if node.cells().is_some() {
            return;
        }
        let Some(layout) = plan(node, begun).await else {
            tokio::time::sleep(RETRY).await;
            continue;
        };
        let txn = Txn::default()
            .absent(keys::layout())
            .put(keys::layout(), encode(&layout))
            .or_read(keys::layout());
        match (node.platform.store.txn)(txn).await {
            Ok(reply) if reply.committed => node.see_layout(layout),
            Ok(reply) => reply.found.iter().for_each(|item| take_in(node, item)),
            Err(error) => {
                log::debug!("layout not stored: {error}");
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

/// Divides the fleet by the list of machines or, where none is to be had, by workers' entries.
async fn plan(node: &Rc<Node>, begun: Duration) -> Option<CellLayout> {
    match (node.platform.fleet.machines)().await {
        Ok(machines) if !machines.is_empty() => {
            let named = machines.into_iter().map(|each| (each.name, each.pool));
            return Some(CellLayout::divide(named.collect()));
        }
        Ok(_) => {}
        Err(reason) if now() < begun + MACHINES_PATIENCE => {
            log::debug!("layout waits for the list of machines: {reason}");
            return None;
        }
        Err(reason) => log::warn!("layout made without the list of machines: {reason}"),
    }
    let directory = &node.platform.directory;
    let range = (node.platform.store.range)(directory.workers.to_string()).await;
    let entries = range.ok()?.items;
    let listings = entries.iter().filter_map(|item| {
        let listing = (directory.listing)(item).ok()?;
        let name = listing.machine.unwrap_or_else(|| (&*listing.id).into());
        Some((name, listing.pool))
    });
    Some(CellLayout::divide(listings.collect()))
}
