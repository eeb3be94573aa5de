//! Maintains the roster of entry instances in the store by compare-and-swap.
//!
//! Each incarnation in the roster holds a store lease with a key of its own. Another instance
//! removes a member only in a transaction that is conditional on the absence of this key.

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

/// Store key of the roster.
const ROSTER_KEY: &str = "/nutmegcart/roster";
/// Prefix of the leased keys of the members.
const MEMBER_PREFIX: &str = "/nutmegcart/member/";
/// Interval between reads of the roster; nine entry instances make 9 reads a second.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which the first roster is delayed while configured peers have not answered.
const INITIAL_PEER_WAIT: Duration = Duration::from_secs(5);
/// Length of a member's store lease; a process that is paused for less stays in the roster.
const MEMBER_LEASE: Duration = Duration::from_secs(10);
/// Maximum number of attempts to hand the ledger over and leave the roster.
const MAX_LEAVE_ATTEMPTS: usize = 5;

fn member_key(incarnation: Incarnation) -> String {
    format!("{MEMBER_PREFIX}{incarnation}")
}

/// Runs rounds until the instance stops.
pub fn run(entry: &Arc<EntryInstance>) {
    let mut lease = None;
    while !entry.is_stopped() {
        // Without the store the roster stays as it is, and the next round tries again.
        let _ = round(entry, &mut lease);
        let now = entry.now();
        entry
            .operations
            .with_coordinator(|coordinator| coordinator.remove_expired(now));
        sleep(ROUND_INTERVAL.min(entry.settings.round_interval * 2));
    }
    if let Some(lease) = lease {
        let _ = entry.store.revoke_lease(lease);
    }
}

fn round(entry: &EntryInstance, lease: &mut Option<LeaseId>) -> Result<()> {
    hold_lease(entry, lease)?;
    let (stored, revision) = read_roster(entry)?;
    let Some(stored) = stored else {
        return create_roster(entry);
    };
    let own = entry.operations.roster_version();
    if stored.version.epoch < own.epoch {
        log_event!(
            Event::RosterConflict,
            epoch = stored.version.epoch,
            own = own.epoch
        );
        return Ok(());
    }
    if !entry.is_refusing() {
        update_membership(entry, &stored, revision)?;
    }
    Ok(())
}

/// Renews the lease, or grants a new one and writes this incarnation's key under it.
fn hold_lease(entry: &EntryInstance, lease: &mut Option<LeaseId>) -> Result<()> {
    if let Some(held) = *lease
        && entry.store.keep_alive(held)?
    {
        return Ok(());
    }
    *lease = None;
    let granted = entry.store.grant_lease(MEMBER_LEASE)?;
    let key = member_key(entry.identity.incarnation);
    let value = entry.settings.id.as_bytes().to_vec();
    entry
        .store
        .txn(&Txn::default().put_leased(key, value, granted))?;
    *lease = Some(granted);
    Ok(())
}

/// Reads the roster with its revision, offers it for adoption and confirms its version.
fn read_roster(entry: &EntryInstance) -> Result<(Option<Roster>, Revision)> {
    let clocks = (Instant::now(), SystemTime::now());
    let asked = entry.now();
    let snapshot = entry.store.range(ROSTER_KEY)?;
    let Some(found) = snapshot.get(ROSTER_KEY) else {
        return Ok((None, 0));
    };
    let Ok(roster) = serde_json::from_slice::<Roster>(&found.value) else {
        log_event!(Event::RosterConflict, reason = "unreadable");
        return Ok((None, 0));
    };
    entry.operations.offer(&roster, entry.now());
    entry.operations.confirm(roster.version, asked, clocks);
    entry.limited_store.set_members(roster.members.len());
    Ok((Some(roster), found.modified))
}

fn own_member(entry: &EntryInstance) -> Member {
    entry
        .operations
        .with_coordinator(|coordinator| coordinator.me().clone())
}

/// Writes the first roster, with all entry instances that answer as its members.
///
/// It does so only if none of them knows a roster: if the store lost its roster, a second history
/// must not begin.
fn create_roster(entry: &EntryInstance) -> Result<()> {
    let known_peers = entry.operations.peers();
    let peers: Vec<_> = known_peers
        .iter()
        .map(|peer| peer.presence.clone())
        .collect();
    let is_known = peers.iter().any(|peer| peer.roster.epoch > 0);
    let is_waiting = peers.len() < entry.settings.peers.len() && entry.now() < INITIAL_PEER_WAIT;
    if is_known || entry.operations.roster_version().epoch > 0 || is_waiting {
        return Ok(());
    }
    let others = peers.into_iter().map(|peer| Member {
        centre: peer.centre,
        instance: peer.instance,
        incarnation: peer.incarnation,
        address: peer.address,
    });
    let first = std::iter::once(own_member(entry)).chain(others).collect();
    let roster = Roster::initial(first, Incarnation::random().0);
    write_roster(entry, Txn::default().absent(ROSTER_KEY), &roster)?;
    Ok(())
}

fn write_roster(entry: &EntryInstance, txn: Txn, roster: &Roster) -> Result<bool> {
    let value = serde_json::to_vec(roster).expect("a roster is serialisable");
    let reply = entry.store.txn(&txn.put(ROSTER_KEY, value))?;
    Ok(reply.committed)
}

/// Makes at most one change: removes a member whose lease has expired, or adds this instance.
fn update_membership(entry: &EntryInstance, stored: &Roster, revision: Revision) -> Result<()> {
    let own = entry.identity.incarnation;
    let now = entry.now();
    // Changes without further effect are pruned only from the roster that this instance adopted.
    let pruned = entry
        .operations
        .with_coordinator(|coordinator| coordinator.view().pruned(now));
    if pruned.version != stored.version {
        return Ok(());
    }
    let mark = Incarnation::random().0;
    let leases = entry.store.range(MEMBER_PREFIX)?;
    let txn = Txn::default().unchanged(ROSTER_KEY, revision);
    let mut listed = stored.members.iter();
    let gone = listed.find(|member| leases.get(&member_key(member.incarnation)).is_none());
    if let Some(gone) = gone.filter(|gone| gone.incarnation != own) {
        if let Some(next) = pruned.without_member(gone.incarnation, false, mark) {
            write_roster(entry, txn.absent(member_key(gone.incarnation)), &next)?;
        }
    } else if let Some(next) = pruned.with_member(own_member(entry), mark)
        && let Some(held) = leases.get(&member_key(own))
    {
        write_roster(entry, txn.created_at(member_key(own), held.created), &next)?;
    }
    Ok(())
}

/// Hands the ledger over and leaves the roster; call it when no request is in flight.
pub fn leave(entry: &EntryInstance) {
    let own = entry.identity.incarnation;
    for _ in 0..MAX_LEAVE_ATTEMPTS {
        let Ok((Some(stored), revision)) = read_roster(entry) else {
            break;
        };
        if stored.member(own).is_none() {
            return;
        }
        let is_handed_over = hand_over(entry) == Some(stored.version);
        if !is_handed_over {
            break;
        }
        let now = entry.now();
        let pruned = entry
            .operations
            .with_coordinator(|coordinator| coordinator.view().pruned(now));
        let next = pruned.without_member(own, true, Incarnation::random().0);
        let Some(next) = next.filter(|_| pruned.version == stored.version) else {
            continue;
        };
        let txn = Txn::default().unchanged(ROSTER_KEY, revision);
        if write_roster(entry, txn, &next) == Ok(true) {
            return;
        }
    }
    // When the lease expires, another entry instance removes this one from the roster.
    log_event!(Event::LedgerHandoverIncomplete, id = entry.settings.id);
}

/// Sends the ledger of a frozen entry instance to the owners and witnesses that succeed it.
///
/// Returns the version of the roster for which every recipient has confirmed, or `None` if one
/// did not.
fn hand_over(entry: &EntryInstance) -> Option<RosterVersion> {
    let now = entry.now();
    let handover = entry.operations.with_coordinator(|c| c.handover(now));
    for (to, records) in handover.records {
        let address = entry.operations.peer_address(to, entry.now())?;
        let count = records.len();
        let message = HandoverMessage {
            sender: entry.identity.clone(),
            roster: handover.version,
            to,
            records,
        };
        let client = entry.peer_client.clone();
        let confirmed = entry
            .executor
            .run(move || async move { client.call(address, &message).await })?;
        if !confirmed.ok()? {
            return None;
        }
        log_event!(Event::LedgerHandedOver, to = to, records = count);
    }
    Some(handover.version)
}
