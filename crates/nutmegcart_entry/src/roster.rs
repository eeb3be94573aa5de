//! Keeps the roster of entry instances in the store, by compare-and-swap.
//!
//! Each listed life holds a store lease with a key of its own. A member is removed only in a
//! transaction that finds this key gone.

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use nutmegcart_model::Event;
use nutmegcart_model::Incarnation;
use nutmegcart_model::log_event;
use nutmegcart_peer::HandoverMessage;
use nutmegcart_platform::LeaseId;
use nutmegcart_platform::Revision;
use nutmegcart_platform::Txn;
use nutmegcart_platform::store::Result;
use nutmegcart_request::Member;
use nutmegcart_request::Roster;
use nutmegcart_request::RosterVersion;

use crate::entry_instance::EntryInstance;

/// Key of the roster.
const ROSTER: &str = "/nutmegcart/roster";
/// Prefix of the keys that the members' store leases hold.
const MEMBERS: &str = "/nutmegcart/member/";
/// Time between two reads of the roster: nine entry instances make 9 reads a second.
const ROUND: Duration = Duration::from_secs(1);
/// Time for which the first roster waits for configured peers that do not answer.
const FIRST_WAIT: Duration = Duration::from_secs(5);
/// Time of a member's store lease; a process that is paused for less stays listed.
const LEASE: Duration = Duration::from_secs(10);
/// Attempts to hand over and leave before the roster is left as it is.
const LEAVE_ATTEMPTS: usize = 5;

fn key(incarnation: Incarnation) -> String {
    format!("{MEMBERS}{incarnation}")
}

/// Runs rounds until the instance stops.
pub fn run(entry: &Arc<EntryInstance>) {
    let mut lease = None;
    while !entry.is_stopped() {
        // Without the store the roster is frozen; the next round starts over.
        let _ = round(entry, &mut lease);
        let now = entry.now();
        entry
            .operations
            .decide(|coordinator| coordinator.remove_expired(now));
        sleep(ROUND.min(entry.settings.round_interval * 2));
    }
    if let Some(lease) = lease {
        let _ = entry.store.revoke_lease(lease);
    }
}

fn round(entry: &EntryInstance, lease: &mut Option<LeaseId>) -> Result<()> {
    hold(entry, lease)?;
    let (stored, revision) = read(entry)?;
    let Some(stored) = stored else {
        return create(entry);
    };
    let own = entry.operations.version();
    if stored.version.epoch < own.epoch {
        log_event!(
            Event::RosterConflict,
            epoch = stored.version.epoch,
            own = own.epoch
        );
        return Ok(());
    }
    if !entry.is_leaving() {
        change(entry, &stored, revision)?;
    }
    Ok(())
}

/// Renews the lease, or takes a new one with this life's key.
fn hold(entry: &EntryInstance, lease: &mut Option<LeaseId>) -> Result<()> {
    if let Some(held) = *lease
        && entry.store.keep_alive(held)?
    {
        return Ok(());
    }
    *lease = None;
    let granted = entry.store.grant_lease(LEASE)?;
    let key = key(entry.identity.incarnation);
    let value = entry.settings.id.as_bytes().to_vec();
    entry
        .store
        .txn(&Txn::default().put_leased(key, value, granted))?;
    *lease = Some(granted);
    Ok(())
}

/// Reads the roster with its revision, and puts it in force.
fn read(entry: &EntryInstance) -> Result<(Option<Roster>, Revision)> {
    let clocks = (Instant::now(), SystemTime::now());
    let asked = entry.now();
    let snapshot = entry.store.range(ROSTER)?;
    let Some(found) = snapshot.get(ROSTER) else {
        return Ok((None, 0));
    };
    let Ok(roster) = serde_json::from_slice::<Roster>(&found.value) else {
        log_event!(Event::RosterConflict, reason = "unreadable");
        return Ok((None, 0));
    };
    entry.operations.offer(&roster, entry.now());
    entry.operations.confirm(roster.version, asked, clocks);
    entry.guard.set_members(roster.members.len());
    Ok((Some(roster), found.modified))
}

fn me(entry: &EntryInstance) -> Member {
    entry
        .operations
        .decide(|coordinator| coordinator.me().clone())
}

/// Writes the first roster with all entry instances that answer.
///
/// None of them may know a roster: a store that lost it must not start a second history.
fn create(entry: &EntryInstance) -> Result<()> {
    let members = entry.operations.members();
    let peers: Vec<_> = members.iter().map(|peer| peer.presence.clone()).collect();
    let known = peers.iter().any(|peer| peer.roster.epoch > 0);
    let waiting = peers.len() < entry.settings.peers.len() && entry.now() < FIRST_WAIT;
    if known || entry.operations.version().epoch > 0 || waiting {
        return Ok(());
    }
    let others = peers.into_iter().map(|peer| Member {
        centre: peer.centre,
        instance: peer.instance,
        incarnation: peer.incarnation,
        address: peer.address,
    });
    let first = std::iter::once(me(entry)).chain(others).collect();
    let roster = Roster::initial(first, Incarnation::random().0);
    write(entry, Txn::default().absent(ROSTER), &roster)?;
    Ok(())
}

fn write(entry: &EntryInstance, txn: Txn, roster: &Roster) -> Result<bool> {
    let value = serde_json::to_vec(roster).expect("a roster is serialisable");
    let reply = entry.store.txn(&txn.put(ROSTER, value))?;
    Ok(reply.committed)
}

/// Makes at most one change: removes a member whose lease has expired, or joins.
fn change(entry: &EntryInstance, stored: &Roster, revision: Revision) -> Result<()> {
    let own = entry.identity.incarnation;
    let now = entry.now();
    // Changes that no longer matter are dropped only on what this instance adopted itself.
    let pruned = entry
        .operations
        .decide(|coordinator| coordinator.view().pruned(now));
    if pruned.version != stored.version {
        return Ok(());
    }
    let mark = Incarnation::random().0;
    let leases = entry.store.range(MEMBERS)?;
    let base = Txn::default().unchanged(ROSTER, revision);
    let mut listed = stored.members.iter();
    let gone = listed.find(|member| leases.get(&key(member.incarnation)).is_none());
    if let Some(gone) = gone.filter(|gone| gone.incarnation != own) {
        if let Some(next) = pruned.without_member(gone.incarnation, false, mark) {
            write(entry, base.absent(key(gone.incarnation)), &next)?;
        }
    } else if let Some(next) = pruned.with_member(me(entry), mark)
        && let Some(held) = leases.get(&key(own))
    {
        write(entry, base.created_at(key(own), held.created), &next)?;
    }
    Ok(())
}

/// Hands the ledger over and leaves the roster, once no request is in flight.
pub fn leave(entry: &EntryInstance) {
    let own = entry.identity.incarnation;
    for _ in 0..LEAVE_ATTEMPTS {
        let Ok((Some(stored), revision)) = read(entry) else {
            break;
        };
        if stored.member(own).is_none() {
            return;
        }
        let handed = hand_over(entry) == Some(stored.version);
        if !handed {
            break;
        }
        let now = entry.now();
        let pruned = entry
            .operations
            .decide(|coordinator| coordinator.view().pruned(now));
        let next = pruned.without_member(own, true, Incarnation::random().0);
        let Some(next) = next.filter(|_| pruned.version == stored.version) else {
            continue;
        };
        let base = Txn::default().unchanged(ROSTER, revision);
        if write(entry, base, &next) == Ok(true) {
            return;
        }
    }
    // The lease expires, and another entry instance removes this one.
    log_event!(Event::LedgerHandoverIncomplete, id = entry.settings.id);
}

/// Sends the ledger of a frozen entry instance to the pairs that follow.
///
/// Returns the version of the roster for which every recipient confirmed.
fn hand_over(entry: &EntryInstance) -> Option<RosterVersion> {
    let now = entry.now();
    let handover = entry.operations.decide(|c| c.handover(now));
    for (to, records) in handover.records {
        let address = entry.operations.link(to, entry.now())?;
        let count = records.len();
        let message = HandoverMessage {
            sender: entry.identity.clone(),
            roster: handover.version,
            to,
            records,
        };
        if !entry.peer_client.call(address, &message).ok()? {
            return None;
        }
        log_event!(Event::LedgerHandedOver, to = to, records = count);
    }
    Some(handover.version)
}
