//! Questions of a new owner to the earlier owners of its cell, whether they have ended.
//!
//! A worker that answers nobody keeps its runs until its lease ends. The new owner waits for that
//! from the time at which the last earlier owner has certainly stopped granting leases.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use nutmegcart_platform::Revision;
use nutmegcart_platform::Txn;

use crate::clock::now;
use crate::keys;
use crate::node::Node;
use crate::node::OwnedCell;
use crate::node::OwnerRecord;
use crate::owner_history::ActingEnd;
use crate::owner_history::SeenOwner;
use crate::owner_log::LoggedOwner;
use crate::owner_log::OwnerLog;
use crate::ownership::owner_record;
use crate::peer;
use crate::peer::PeerRequest;
use crate::peer::PeerResponse;

/// Interval at which earlier owners are asked again.
const QUESTION_PERIOD: Duration = Duration::from_millis(250);
/// Timeout of one question; the answer comes from memory.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(350);

/// Delay after a failed write of the log.
const LOG_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Asks the earlier owners of a cell until all have ended, or none can act any more in any case,
/// and passes the time at which the last one had ended to the scheduler.
pub(crate) async fn confirm_ends(node: Rc<Node>, owned: Rc<OwnedCell>) {
    let (cell, fence) = (owned.view.number, owned.fence);
    let taken_at = owned.state.since.get();
    let mut bound = None;
    while !owned.has_ended() && now() < taken_at + node.owner_validity() {
        for earlier in open_owners(&node, &owned) {
            if confirm_end(&node, cell, &earlier).await {
                log_answer(&owned, &earlier, true);
            }
        }
        let validity = node.owner_validity();
        let end = node
            .owner_history
            .borrow()
            .acting_end(cell, fence, validity, taken_at);
        if let Some(end) = end {
            if bound.replace(end) != Some(end) {
                log_bound(&owned, end);
            }
            owned
                .scheduler
                .borrow_mut()
                .set_earlier_owners_end(end.until);
            if open_owners(&node, &owned).is_empty() {
                break;
            }
        }
        tokio::time::sleep(QUESTION_PERIOD).await;
    }
    if owned.has_ended() {
        return;
    }
    log_unconfirmed(&node, &owned);
    settle_log(&node, &owned).await;
}

/// Logs the earlier owners that could act after the take-over and did not confirm their end.
fn log_unconfirmed(node: &Node, owned: &OwnedCell) {
    let taken_at = owned.state.since.get();
    let history = node.owner_history.borrow();
    let validity = node.owner_validity();
    let asked = history.possibly_acting(owned.view.number, owned.fence, validity, taken_at);
    let unconfirmed = asked.iter().filter(|each| each.confirmed_at.is_none());
    for earlier in unconfirmed {
        log_answer(owned, earlier, false);
    }
}

/// Removes the owners that can no longer act from the stored log, so that successors do not ask them,
/// once no other owner than those in the log can act.
async fn settle_log(node: &Rc<Node>, owned: &Rc<OwnedCell>) {
    let validity = node.owner_validity();
    if !owned.log.complete {
        let settled_at = owned.state.since.get() + validity;
        tokio::time::sleep(settled_at.saturating_sub(now())).await;
    }
    let cell = owned.view.number;
    let revision = Revision::try_from(owned.fence).unwrap_or_default();
    let owner_key = owned.view.keys.owner();
    let log_key = keys::owner_log(cell);
    while !owned.has_ended() {
        let mut log =
            node.owner_history
                .borrow()
                .settle(&owned.log, (cell, owned.fence), validity, now());
        if log == owned.log {
            return;
        }
        log.extend_states();
        log.released = None;
        log.earlier.push(LoggedOwner {
            fence: owned.fence,
            record: owner_record(node, owned.lease),
            lease_ended: false,
        });
        let txn = Txn::default()
            .unchanged(owner_key.clone(), revision)
            .unchanged(log_key.clone(), revision)
            .put(log_key.clone(), log.encode());
        match (node.platform.store.txn)(txn).await {
            Ok(_) => return,
            // An attempt whose answer was lost may have been made; the next one then changes nothing.
            Err(error) => log::debug!("log of the owners of cell {cell} not stored: {error}"),
        }
        tokio::time::sleep(LOG_RETRY_DELAY).await;
    }
}

/// Returns the log of an ownership that ends, without the owners that can no longer act.
pub(crate) fn final_log(node: &Node, owned: &OwnedCell) -> OwnerLog {
    let validity = node.owner_validity();
    let cell = (owned.view.number, owned.fence);
    let history = node.owner_history.borrow();
    let mut log = history.settle(&owned.log, cell, validity, now());
    log.extend_states();
    log.released = Some(owned.fence);
    log.complete &= owned.log.complete || now() >= owned.state.since.get() + validity;
    log
}

/// Returns the earlier owners that could still act and have not confirmed their end.
fn open_owners(node: &Node, owned: &OwnedCell) -> Vec<SeenOwner> {
    let history = node.owner_history.borrow();
    let validity = node.owner_validity();
    history.possibly_acting(owned.view.number, owned.fence, validity, now())
}

fn log_answer(owned: &OwnedCell, earlier: &SeenOwner, confirmed: bool) {
    log_event!(
        Event::EarlierOwnerAsked,
        cell = owned.view.number,
        fence = earlier.fence,
        id = earlier.record.as_ref().map_or("", |record| &*record.name),
        confirmed = confirmed,
        waited_ms = now().saturating_sub(owned.state.since.get()).as_millis()
    );
}

fn log_bound(owned: &OwnedCell, end: ActingEnd) {
    let taken_at = owned.state.since.get();
    log_event!(
        Event::EarlierOwnersBounded,
        cell = owned.view.number,
        fence = owned.fence,
        acting_ms = end.until.saturating_sub(taken_at).as_millis(),
        unseen = end.unseen,
        waited_ms = now().saturating_sub(taken_at).as_millis()
    );
}

/// Asks an earlier owner once, and returns whether it has certainly ended.
async fn confirm_end(node: &Rc<Node>, cell: u32, owner: &SeenOwner) -> bool {
    let Some(record) = &owner.record else {
        return false;
    };
    let ended = if record.incarnation == node.incarnation {
        has_ended(node, cell, owner.fence)
    } else {
        ask(node, record.peer, cell, owner.fence, record).await
    };
    let mut history = node.owner_history.borrow_mut();
    if ended {
        history.record_confirmation(cell, owner.fence, now());
        return true;
    }
    drop(history);
    if owner.replaced_at.is_some() && owner.lease_end.is_none() {
        // A handed-over cell leaves the lease of the earlier owner alive, and the owner acts as
        // long as it can renew it.
        let revoked = (node.platform.store.revoke_lease)(record.lease).await;
        if revoked.is_ok() {
            let mut history = node.owner_history.borrow_mut();
            history.record_lease_end(cell, owner.fence, now());
        }
    }
    false
}

async fn ask(
    node: &Rc<Node>,
    peer: SocketAddr,
    cell: u32,
    fence: u64,
    record: &OwnerRecord,
) -> bool {
    let request = PeerRequest::HasEnded(cell, fence, record.name.clone(), record.incarnation);
    let answer = peer::send(node, peer, &request, QUESTION_TIMEOUT).await;
    answer == Ok(PeerResponse::HasEnded(true))
}

/// Returns whether this process grants no more leases as the owner of a cell with the fencing token,
/// because that ownership has ended or never begins.
///
/// An ownership begins only with the result of an acquisition. If the answer of the store was lost,
/// or the request for a handoff was cancelled, the key was written and nobody runs as its owner.
fn has_ended(node: &Node, cell: u32, fence: u64) -> bool {
    let views = node.views();
    let view = usize::try_from(cell).ok().and_then(|cell| views.get(cell));
    view.is_some_and(|view| {
        let owned = view.owned.borrow();
        let handoff = view.handoff.borrow();
        let is_owner = owned
            .as_ref()
            .is_some_and(|owned| owned.fence == fence && !owned.has_ended());
        let is_receiver = handoff
            .as_ref()
            .is_some_and(|acquired| u64::try_from(acquired.fence) == Ok(fence));
        let is_past = view.ended_fences.borrow().contains(&fence);
        is_past || !(is_owner || is_receiver || view.acquisitions.get() > 0)
    })
}

/// Answers whether the ownership of a cell by an incarnation of the named instance has ended.
///
/// Another incarnation than this process has ended, since the two share their name and address.
/// While an acquisition of the cell is under way, an ownership that this process does not know may
/// begin when the answer of the store arrives, so it counts as not ended.
pub(crate) fn answer(node: &Node, cell: u32, fence: u64, name: &str, incarnation: u64) -> bool {
    let own_name = *name == *node.settings.name;
    own_name && (incarnation != node.incarnation || has_ended(node, cell, fence))
}
