//! The history of earlier owners, and the time until which they can have granted leases.

use std::time::Duration;

use nutmegcart_control::node::OwnerRecord;
use nutmegcart_control::owner_history::ActingEnd;
use nutmegcart_control::owner_history::OwnerHistory;

/// Time for which an owner may act after a renewal of its lease.
const VALIDITY: Duration = Duration::from_secs(6);
/// Cell of all owners in these tests.
const CELL: u32 = 2;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn record(incarnation: u64) -> OwnerRecord {
    OwnerRecord {
        name: "entry-1".into(),
        incarnation,
        peer: "127.0.0.1:1".parse().expect("an address"),
        lease: 5,
    }
}

/// Returns a history that is complete since second 100, with an owner from revision 10 on.
fn history() -> OwnerHistory {
    let mut history = OwnerHistory::default();
    history.record_read(at(100));
    history.record_owner(CELL, 10, Some(record(1)), at(101));
    history
}

fn end(history: &OwnerHistory, fence: u64) -> Option<Duration> {
    let end = history.acting_end(CELL, fence, VALIDITY, Duration::MAX);
    end.map(|end| end.until)
}

fn open(history: &OwnerHistory, fence: u64, now: Duration) -> Vec<u64> {
    let owners = history.possibly_acting(CELL, fence, VALIDITY, now);
    owners.iter().map(|owner| owner.fence).collect()
}

/// Guards against an owner that is taken for ended before the time for which it may act.
#[test]
fn owner_acts_for_its_validity_after_its_lease() {
    let mut history = history();
    history.record_vacancy(CELL, at(200));
    history.record_owner(CELL, 20, Some(record(2)), at(201));
    assert_eq!(end(&history, 20), Some(at(206)));
    assert_eq!(open(&history, 20, at(205)), [10]);
    assert!(open(&history, 20, at(206)).is_empty());
}

/// Guards against a bound that misses owners which the watch reports later than the own take-over.
#[test]
fn end_is_unknown_until_own_key_is_seen() {
    let mut history = history();
    history.record_vacancy(CELL, at(200));
    assert_eq!(end(&history, 20), None);
    history.record_owner(CELL, 15, Some(record(3)), at(202));
    history.record_vacancy(CELL, at(203));
    history.record_owner(CELL, 20, Some(record(2)), at(204));
    assert_eq!(end(&history, 20), Some(at(209)));
}

/// Guards against a bound that counts on owners being known after a gap in the watch, or after the
/// start of the instance.
#[test]
fn gap_in_the_watch_counts_as_an_unseen_owner() {
    let mut gap = history();
    gap.record_vacancy(CELL, at(200));
    gap.record_read(at(203));
    gap.record_owner(CELL, 20, Some(record(2)), at(203));
    gap.record_confirmation(CELL, 10, at(203));
    assert_eq!(end(&gap, 20), Some(at(209)));
    let mut unread = OwnerHistory::default();
    unread.record_owner(CELL, 20, Some(record(2)), at(201));
    assert_eq!(end(&unread, 20), None);
}

/// Guards against a chain of owners in which the answer of the latest one stands for all.
#[test]
fn every_owner_of_a_chain_must_have_ended() {
    let mut history = history();
    history.record_vacancy(CELL, at(200));
    history.record_owner(CELL, 20, Some(record(2)), at(200));
    history.record_vacancy(CELL, at(202));
    history.record_owner(CELL, 30, Some(record(3)), at(203));
    history.record_confirmation(CELL, 20, at(203));
    assert_eq!(end(&history, 30), Some(at(206)));
    assert_eq!(open(&history, 30, at(204)), [10]);
    history.record_confirmation(CELL, 10, at(204));
    assert_eq!(end(&history, 30), Some(at(204)));
    assert!(open(&history, 30, at(204)).is_empty());
}

/// Guards against an owner that handed its cell over, whose lease lives on and is renewed.
#[test]
fn replaced_owner_acts_until_its_lease_ends() {
    let mut history = history();
    history.record_owner(CELL, 20, Some(record(2)), at(200));
    assert_eq!(end(&history, 20), None);
    assert_eq!(open(&history, 20, at(300)), [10]);
    history.record_lease_end(CELL, 10, at(201));
    assert_eq!(end(&history, 20), Some(at(207)));
}

/// Guards against an instance that owned the cell before and takes its own earlier ownership, or
/// that of another incarnation of it, for ended without a confirmation.
#[test]
fn own_earlier_ownerships_are_earlier_owners() {
    let mut history = history();
    history.record_vacancy(CELL, at(200));
    history.record_owner(CELL, 20, Some(record(2)), at(201));
    history.record_vacancy(CELL, at(202));
    history.record_owner(CELL, 30, Some(record(2)), at(203));
    assert_eq!(open(&history, 30, at(203)), [10, 20]);
    assert_eq!(end(&history, 30), Some(at(208)));
    history.record_confirmation(CELL, 20, at(203));
    assert_eq!(end(&history, 30), Some(at(206)));
}

/// Guards against a history that forgets an owner which may still act.
#[test]
fn dropped_owners_count_as_unseen() {
    let mut history = history();
    for number in 0..20 {
        history.record_vacancy(CELL, at(200));
        history.record_owner(CELL, 20 + number, Some(record(number)), at(201));
        history.record_confirmation(CELL, 20 + number, at(201));
    }
    assert_eq!(end(&history, 39), Some(at(207)));
}

/// Guards against an unreadable record of an owner that is taken for no owner.
#[test]
fn unreadable_owner_acts_until_its_validity_ends() {
    let mut history = history();
    history.record_confirmation(CELL, 10, at(102));
    history.record_vacancy(CELL, at(102));
    history.record_owner(CELL, 20, None, at(150));
    history.record_vacancy(CELL, at(200));
    history.record_owner(CELL, 30, Some(record(2)), at(200));
    assert_eq!(end(&history, 30), Some(at(206)));
}

/// Guards against a wait that is prolonged by a complete read of the keys after the take-over.
#[test]
fn read_after_the_take_over_does_not_prolong_the_wait() {
    let mut history = OwnerHistory::default();
    history.record_read(at(100));
    history.record_owner(CELL, 20, Some(record(2)), at(200));
    history.record_read(at(203));
    let end = history.acting_end(CELL, 20, VALIDITY, at(200));
    let unseen = ActingEnd {
        until: at(200) + VALIDITY,
        unseen: true,
    };
    assert_eq!(end, Some(unseen));
}
