//! Keys that all instances watch: each other's addresses, the layout of the cells, their owners,
//! and finished parts of waves.

use std::rc::Rc;
use std::time::Duration;

use nutmegcart_jobs::layout::CellLayout;
use nutmegcart_jobs::record::STATE_FORMAT;
use nutmegcart_jobs::record::decode;
use nutmegcart_jobs::record::encode;
use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use nutmegcart_platform::KeyValue;
use nutmegcart_platform::LeaseId;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;

use crate::candidate::acquisition_delay;
use crate::clock::now;
use crate::keys;
use crate::keys::SharedKey;
use crate::member::MemberRecord;
use crate::node::Node;
use crate::node::OwnerRecord;
use crate::ownership::RENEWALS_PER_LEASE;
use crate::ownership::RETRY_DELAY;
use crate::ownership::candidate;
use crate::ownership::remove_owner;
use crate::ownership::revoke_lease;
use crate::ownership::update_owner;
use crate::prefix_watcher::KeyChange;
use crate::prefix_watcher::PrefixWatcher;

/// Lease under which an instance's address is stored. A stale address costs one failed connection.
const MEMBER_LEASE: Duration = Duration::from_secs(8);
/// Time for which the list of machines may be unavailable before the layout is computed from the
/// workers' entries instead.
const MACHINE_LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Watches the shared keys and updates the node's state.
pub async fn watch(node: Rc<Node>) {
    let mut watcher = PrefixWatcher::new(keys::SHARED_PREFIX);
    watcher.last_answer = node.last_answer.clone();
    loop {
        let changes = watcher.next(&node.platform.store).await;
        node.record_store_call(watcher.reachable);
        for each in changes {
            match each {
                KeyChange::Put(item) => apply_put(&node, &item),
                KeyChange::Deleted(key) => apply_delete(&node, &key),
                KeyChange::Synced => {
                    node.owner_history.borrow_mut().record_read(now());
                    node.owners_known.set(true);
                }
            }
        }
        for view in node.views() {
            view.owner_changed.notify_one();
        }
    }
}

fn apply_put(node: &Rc<Node>, item: &KeyValue) {
    let invalid = |error| log_event!(Event::JobRecordInvalid, key = item.key, reason = error);
    match keys::parse_shared(&item.key) {
        Some(SharedKey::Layout) => match decode::<CellLayout>(&item.value) {
            Ok(layout) => node.set_layout(layout),
            Err(error) => invalid(error),
        },
        Some(SharedKey::Member(name)) => match MemberRecord::decode(&item.value) {
            Ok(member) => {
                node.members.borrow_mut().insert(name.into(), member);
            }
            Err(error) => invalid(error),
        },
        Some(SharedKey::Owner(cell)) => {
            let fence = u64::try_from(item.modified).unwrap_or_default();
            let record = decode::<OwnerRecord>(&item.value).ok();
            let mut history = node.owner_history.borrow_mut();
            history.record_owner(cell, fence, record, now());
            drop(history);
            update_owner(node, cell, item);
        }
        Some(SharedKey::WavePart(wave, cell)) => {
            node.finished_parts.borrow_mut().insert((wave, cell));
        }
        None => log::debug!("unknown shared key {}", item.key),
    }
}

fn apply_delete(node: &Rc<Node>, key: &str) {
    match keys::parse_shared(key) {
        Some(SharedKey::Member(name)) => {
            node.members.borrow_mut().remove(name);
        }
        Some(SharedKey::Owner(cell)) => {
            node.owner_history.borrow_mut().record_vacancy(cell, now());
            remove_owner(node, cell);
        }
        Some(SharedKey::WavePart(wave, cell)) => {
            node.finished_parts.borrow_mut().remove(&(wave, cell));
        }
        Some(SharedKey::Layout) | None => log::warn!("unexpected deletion of shared key {key}"),
    }
}

/// Keeps the address of this instance in the store under a lease.
pub async fn maintain_membership(node: Rc<Node>) {
    let key = keys::member(&node.settings.name);
    let member = MemberRecord {
        peer: node.settings.peer,
        cores: node.settings.cores,
        state_format: STATE_FORMAT,
    };
    let value = member.encode();
    let mut lease = None;
    while !node.is_draining() {
        let result = match lease {
            None => register(&node, &key, &value).await.map(Some),
            Some(lease_id) => {
                let renewed = (node.platform.store.renew_lease)(lease_id).await;
                renewed.map(|alive| alive.then_some(lease_id))
            }
        };
        let pause = match result {
            Ok(lease_id) => {
                lease = lease_id;
                if lease_id.is_some() {
                    MEMBER_LEASE / RENEWALS_PER_LEASE
                } else {
                    RETRY_DELAY
                }
            }
            Err(error) => {
                log::debug!("address of this instance not stored: {error}");
                RETRY_DELAY * 4
            }
        };
        tokio::time::sleep(pause).await;
    }
    if let Some(lease_id) = lease {
        revoke_lease(&node, lease_id).await;
    }
}

async fn register(node: &Rc<Node>, key: &str, value: &[u8]) -> Result<LeaseId, StoreError> {
    let lease = (node.platform.store.grant_lease)(MEMBER_LEASE).await?;
    let txn = Txn::default().put_leased(key, value.to_vec(), lease);
    (node.platform.store.txn)(txn).await?;
    Ok(lease)
}

/// Waits until the layout of the cells is known, and stores one if there is none.
pub async fn establish_layout(node: &Rc<Node>) {
    let mut since = None;
    while node.cells().is_none() && !node.is_draining() {
        if !node.owners_known.get() {
            tokio::time::sleep(RETRY_DELAY / 4).await;
            continue;
        }
        let started = *since.get_or_insert_with(now);
        // Without the delay, instances that start together would all list the machines and send
        // competing transactions.
        tokio::time::sleep(acquisition_delay(&candidate(node), u32::MAX)).await;
        if node.cells().is_some() {
            return;
        }
        let Some(layout) = compute_layout(node, started).await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let txn = Txn::default()
            .absent(keys::layout())
            .put(keys::layout(), encode(&layout))
            .or_read(keys::layout());
        match (node.platform.store.txn)(txn).await {
            Ok(reply) if reply.committed => node.set_layout(layout),
            Ok(reply) => reply.found.iter().for_each(|item| apply_put(node, item)),
            Err(error) => {
                log::debug!("layout not stored: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Divides the fleet into cells by the list of machines or, if there is none, by the workers'
/// entries. Returns `None` if neither is available yet.
async fn compute_layout(node: &Rc<Node>, started: Duration) -> Option<CellLayout> {
    match (node.platform.fleet.list_machines)().await {
        Ok(machines) if !machines.is_empty() => {
            let named = machines.into_iter().filter(|each| !each.name.is_empty());
            let locations = named.map(|each| (each.name, each.pool));
            return Some(CellLayout::divide(locations.collect()));
        }
        Ok(_) => {}
        Err(reason) if now() < started + MACHINE_LIST_TIMEOUT => {
            log::debug!("layout not computed: list of machines unavailable: {reason}");
            return None;
        }
        Err(reason) => log::warn!(
            "layout computed from workers' entries: list of machines unavailable: {reason}"
        ),
    }
    let directory = &node.platform.directory;
    let range = (node.platform.store.range)(directory.worker_prefix.to_string()).await;
    let entries = range.ok()?.items;
    let listings = entries.iter().filter_map(|item| {
        let listing = (directory.parse_listing)(item).ok()?;
        listing.check().ok()?;
        let name = listing.machine.unwrap_or_else(|| (&*listing.id).into());
        Some((name, listing.pool))
    });
    Some(CellLayout::divide(listings.collect()))
}
