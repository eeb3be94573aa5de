//! The stored log of a cell's owners, and what a successor concludes from it.

use std::rc::Rc;
use std::time::Duration;

use nutmegcart_control::keys;
use nutmegcart_control::keys::CellKeys;
use nutmegcart_control::node::OwnerRecord;
use nutmegcart_control::owner_history::OwnerHistory;
use nutmegcart_control::owner_log;
use nutmegcart_control::owner_log::Acquisition;
use nutmegcart_control::owner_log::LoggedOwner;
use nutmegcart_control::owner_log::OwnerLog;
use nutmegcart_control::owner_log::StoredLog;
use nutmegcart_control::port::KeyStore;
use nutmegcart_jobs::record::decode;
use nutmegcart_jobs::record::encode;
use nutmegcart_platform::MemoryStore;
use nutmegcart_platform::Store;
use nutmegcart_platform::Txn;

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

fn logged(fence: u64, lease_ended: bool) -> LoggedOwner {
    LoggedOwner {
        fence,
        record: record(fence),
        lease_ended,
    }
}

fn log(earlier: Vec<LoggedOwner>) -> OwnerLog {
    OwnerLog {
        earlier,
        complete: true,
        ..OwnerLog::default()
    }
}

/// Returns the history of an instance that has just started, whose watch has read only its own key.
fn history(fence: u64, log: &OwnerLog) -> OwnerHistory {
    let mut history = OwnerHistory::default();
    history.record_read(at(200));
    history.record_log(CELL, fence, log, at(200));
    history.record_owner(CELL, fence, Some(record(fence)), at(200));
    history
}

/// Returns until when earlier owners may have acted, in seconds, and whether some may be unseen.
fn end(history: &OwnerHistory, fence: u64) -> Option<(u64, bool)> {
    let end = history.acting_end(CELL, fence, VALIDITY, at(200))?;
    Some((end.until.as_secs(), end.unseen))
}

/// Guards against a wait for owners that nobody has seen, although all earlier ones have confirmed
/// their end.
#[test]
fn confirmations_of_all_logged_owners_end_the_wait() {
    let mut history = history(30, &log(vec![logged(10, true), logged(20, true)]));
    assert_eq!(end(&history, 30), Some((206, false)));
    history.record_confirmation(CELL, 20, at(201));
    assert_eq!(end(&history, 30), Some((206, false)));
    history.record_confirmation(CELL, 10, at(202));
    assert_eq!(end(&history, 30), Some((202, false)));
}

/// Guards against a logged owner that is taken for ended without an answer.
#[test]
fn silent_logged_owner_acts_for_its_validity() {
    let history = history(30, &log(vec![logged(20, true)]));
    let open = |now| history.possibly_acting(CELL, 30, VALIDITY, now).len();
    assert_eq!(end(&history, 30), Some((206, false)));
    assert_eq!(open(at(205)), 1);
    assert_eq!(open(at(206)), 0);
}

/// Guards against an owner that handed its cell over, whose lease lives on and is renewed.
#[test]
fn logged_owner_with_a_live_lease_has_no_known_end() {
    let mut history = history(30, &log(vec![logged(20, false)]));
    assert_eq!(end(&history, 30), None);
    history.record_lease_end(CELL, 20, at(201));
    assert_eq!(end(&history, 30), Some((207, false)));
}

/// Guards against a log that stands for more than it knows.
#[test]
fn incomplete_log_counts_on_unseen_owners() {
    let incomplete = OwnerLog {
        complete: false,
        ..log(vec![logged(20, true)])
    };
    let mut history = history(30, &incomplete);
    history.record_confirmation(CELL, 20, at(200));
    assert_eq!(end(&history, 30), Some((206, true)));
}

/// Guards against the log of one ownership that stands for a later one.
#[test]
fn log_of_an_earlier_ownership_does_not_count() {
    let mut history = history(30, &log(Vec::new()));
    history.record_read(at(300));
    history.record_owner(CELL, 50, Some(record(50)), at(301));
    let end = history.acting_end(CELL, 50, VALIDITY, at(301));
    assert!(end.is_none_or(|end| end.until >= at(306)), "{end:?}");
}

/// Guards against an owner in the log whose end was seen, and that counts as acting again.
#[test]
fn log_keeps_what_the_watch_has_shown() {
    let mut history = OwnerHistory::default();
    history.record_read(at(100));
    history.record_owner(CELL, 20, Some(record(20)), at(101));
    history.record_vacancy(CELL, at(150));
    history.record_log(CELL, 30, &log(vec![logged(20, true)]), at(200));
    assert_eq!(end(&history, 30), Some((156, false)));
}

/// Guards against a wait for an owner that the watch has shown and the log no longer names, since it has
/// ended.
#[test]
fn owner_that_the_log_has_dropped_is_not_awaited() {
    let mut history = OwnerHistory::default();
    history.record_read(at(100));
    history.record_owner(CELL, 10, Some(record(10)), at(101));
    // The first owner handed its cell over, so the watch never shows the end of its lease.
    history.record_owner(CELL, 20, Some(record(20)), at(110));
    history.record_vacancy(CELL, at(199));
    history.record_log(CELL, 30, &log(vec![logged(20, true)]), at(200));
    history.record_owner(CELL, 30, Some(record(30)), at(200));
    history.record_confirmation(CELL, 20, at(200));
    assert_eq!(end(&history, 30), Some((200, false)));
    assert!(
        history
            .possibly_acting(CELL, 30, VALIDITY, at(200))
            .is_empty()
    );
}

/// Guards against the same wait if the watch shows the owner after the log was written.
#[test]
fn late_report_of_a_dropped_owner_is_not_awaited() {
    let mut history = OwnerHistory::default();
    history.record_read(at(100));
    history.record_log(CELL, 30, &log(Vec::new()), at(200));
    history.record_owner(CELL, 10, Some(record(10)), at(201));
    history.record_owner(CELL, 30, Some(record(30)), at(201));
    assert_eq!(end(&history, 30), Some((0, false)));
}

/// Guards against a late report that the key of an earlier owner is gone, which counts as the end of an
/// owner whose lease lives on.
#[test]
fn late_vacancy_does_not_end_a_logged_owner_with_a_live_lease() {
    let mut history = OwnerHistory::default();
    history.record_read(at(100));
    history.record_owner(CELL, 10, Some(record(10)), at(101));
    let log = log(vec![logged(10, true), logged(20, false)]);
    history.record_log(CELL, 30, &log, at(200));
    history.record_vacancy(CELL, at(201));
    assert_eq!(end(&history, 30), None);
    history.record_owner(CELL, 20, Some(record(20)), at(201));
    history.record_owner(CELL, 30, Some(record(30)), at(201));
    assert_eq!(end(&history, 30), None);
    history.record_vacancy(CELL, at(300));
    let open = history.possibly_acting(CELL, 40, VALIDITY, at(306));
    let fences: Vec<u64> = open.iter().map(|owner| owner.fence).collect();
    assert_eq!(fences, [20]);
}

/// Returns the fencing tokens in the log that the owner stores at the given second.
fn settled(history: &OwnerHistory, log: &OwnerLog, second: u64) -> (Vec<u64>, bool) {
    let settled = history.settle(log, (CELL, 30), VALIDITY, at(second));
    let fences = settled.earlier.iter().map(|logged| logged.fence);
    (fences.collect(), settled.complete)
}

/// Guards against a stored log that grows with owners that have ended.
#[test]
fn ended_owners_leave_the_stored_log() {
    let log = log(vec![logged(10, true), logged(20, true)]);
    let mut history = history(30, &log);
    history.record_confirmation(CELL, 20, at(201));
    assert_eq!(settled(&history, &log, 202), (vec![10], true));
    assert_eq!(settled(&history, &log, 206), (vec![], true));
}

/// Guards against a stored log that stands for all owners and lacks one that the instance had no room
/// for in its memory.
#[test]
fn stored_log_keeps_an_owner_that_the_history_has_dropped() {
    let fences: Vec<u64> = (1..=16).collect();
    let log = log(fences.iter().map(|fence| logged(*fence, true)).collect());
    let mut history = OwnerHistory::default();
    history.record_read(at(199));
    history.record_owner(CELL, 30, Some(record(30)), at(200));
    history.record_log(CELL, 30, &log, at(200));
    assert_eq!(settled(&history, &log, 201), (fences, true));
}

/// Guards against a stored log that stands for all owners and lacks one of a version that writes no log,
/// whose lease may live on.
#[test]
fn stored_log_adds_owners_that_only_the_watch_has_shown() {
    let unknown = OwnerLog {
        complete: false,
        ..log(Vec::new())
    };
    let mut history = OwnerHistory::default();
    history.record_read(at(100));
    history.record_owner(CELL, 20, Some(record(20)), at(110));
    history.record_log(CELL, 30, &unknown, at(200));
    history.record_owner(CELL, 30, Some(record(30)), at(200));
    assert_eq!(settled(&history, &unknown, 206), (vec![20], true));
    let mut unreadable = OwnerHistory::default();
    unreadable.record_owner(CELL, 20, None, at(110));
    assert_eq!(settled(&unreadable, &unknown, 206), (vec![], false));
}

/// Guards against a log that loses an owner between two that write it.
#[test]
fn successor_adds_the_writer_and_its_own_predecessors() {
    let stored = StoredLog {
        log: OwnerLog {
            writer: Some(record(20)),
            ..log(vec![logged(10, true)])
        },
        revision: 20,
        unused: false,
    };
    let vacant = stored.succeed(Acquisition::Vacant);
    assert_eq!(vacant, log(vec![logged(10, true), logged(20, true)]));
    let handed = stored.succeed(Acquisition::HandedOver);
    assert_eq!(handed, log(vec![logged(10, true), logged(20, false)]));
}

/// Guards against a log that grows without bound, and against one that forgets an owner and still
/// counts as complete.
#[test]
fn log_from_which_an_owner_was_dropped_is_not_complete() {
    let mut stored = StoredLog {
        unused: true,
        ..StoredLog::default()
    };
    for fence in 1..=40 {
        let next = stored.succeed(Acquisition::Vacant);
        assert!(next.earlier.len() <= 16);
        assert_eq!(next.complete, fence <= 17, "{fence}");
        stored = StoredLog {
            log: OwnerLog {
                writer: Some(record(u64::try_from(fence).expect("positive"))),
                ..next
            },
            revision: fence,
            unused: false,
        };
    }
}

/// Returns an interface to the store that only reads single keys.
fn reader(store: &Store) -> KeyStore {
    let store = store.clone();
    KeyStore {
        get: Rc::new(move |key: String| {
            let found = store
                .range(&key)
                .map(|snapshot| snapshot.get(&key).cloned());
            Box::pin(std::future::ready(found))
        }),
        range: Rc::new(|_| Box::pin(std::future::pending())),
        watch: Rc::new(|_, _, _| Box::pin(std::future::pending())),
        txn: Rc::new(|_| Box::pin(std::future::pending())),
        grant_lease: Rc::new(|_| Box::pin(std::future::pending())),
        renew_lease: Rc::new(|_| Box::pin(std::future::pending())),
        revoke_lease: Rc::new(|_| Box::pin(std::future::pending())),
    }
}

fn read(store: &Store) -> StoredLog {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    let runtime = runtime.expect("the runtime starts");
    let stored = runtime.block_on(owner_log::read(&reader(store), CELL));
    stored.expect("answered")
}

/// Writes the owner's key with the log that was read before, if the conditions hold.
fn acquire(store: &Store, stored: &StoredLog, incarnation: u64) -> Option<u64> {
    let key = CellKeys::new(CELL).owner();
    let log = stored.succeed(Acquisition::Vacant);
    let txn = Txn::default().absent(key.clone()).put(key, Vec::new());
    let txn = stored.extend(txn, CELL, &log, record(incarnation));
    let reply = store.txn(&txn).expect("answered");
    let revision = u64::try_from(reply.revision).expect("positive");
    reply.committed.then_some(revision)
}

fn vacate(store: &Store) {
    let txn = Txn::default().delete(CellKeys::new(CELL).owner());
    assert!(store.txn(&txn).expect("answered").committed);
}

/// Guards against a successor that has read the log before another owner came and went, and would
/// not know of it.
#[test]
fn owner_that_came_and_went_after_the_read_is_not_missed() {
    let store = MemoryStore::default().store();
    let stale = read(&store);
    let fence = acquire(&store, &stale, 1).expect("the cell has no owner");
    vacate(&store);
    assert_eq!(acquire(&store, &stale, 2), None);
    let current = read(&store);
    assert!(acquire(&store, &current, 2).is_some());
    let fences: Vec<u64> = read(&store)
        .log
        .earlier
        .iter()
        .map(|each| each.fence)
        .collect();
    assert_eq!(fences, [fence]);
}

/// Guards against a cell of an older version, which writes no log, that counts as one without an
/// earlier owner.
#[test]
fn cell_with_a_state_and_no_log_has_unknown_owners() {
    let store = MemoryStore::default().store();
    let unused = read(&store);
    let state = Txn::default().put(CellKeys::new(CELL).state(), Vec::new());
    assert!(store.txn(&state).expect("answered").committed);
    assert_eq!(acquire(&store, &unused, 1), None);
    let used = read(&store);
    assert!(acquire(&store, &used, 1).is_some());
    assert!(!read(&store).log.complete);
}

/// Guards against an owner that cannot take the cell because the log cannot be decoded, and against
/// such a log that counts as one without owners.
#[test]
fn unreadable_log_is_replaced_and_not_complete() {
    let store = MemoryStore::default().store();
    let key = keys::owner_log(CELL);
    let broken = Txn::default().put(key.clone(), b"x".to_vec());
    assert!(store.txn(&broken).expect("answered").committed);
    let stored = read(&store);
    assert!(acquire(&store, &stored, 1).is_some());
    let replaced = read(&store).log;
    assert!(!replaced.complete);
    assert_eq!(replaced.writer, Some(record(1)));
}

/// Writes the end of an ownership.
fn release(store: &Store, fence: u64, left: &[LoggedOwner]) -> bool {
    let fence = i64::try_from(fence).expect("a small number");
    let log = OwnerLog {
        released: u64::try_from(fence).ok(),
        ..log(left.to_vec())
    };
    let txn = log.release(CELL, fence);
    store.txn(&txn).expect("answered").committed
}

/// Guards against a successor that asks an owner which has shut down.
#[test]
fn released_owner_is_not_in_the_log_of_its_successor() {
    let store = MemoryStore::default().store();
    let fence = acquire(&store, &read(&store), 1).expect("the cell has no owner");
    assert!(release(&store, fence, &[logged(3, true)]));
    let next = read(&store).succeed(Acquisition::Vacant);
    let left = OwnerLog {
        released: Some(fence),
        ..log(vec![logged(3, true)])
    };
    assert_eq!(next, left);
}

/// Guards against a successor that does not know who wrote the state of the cell after a shutdown, and
/// takes an owner for it that acted before, or that never acted.
#[test]
fn released_owner_is_the_latest_one() {
    let store = MemoryStore::default().store();
    let first = acquire(&store, &read(&store), 1).expect("the cell has no owner");
    assert!(release(&store, first, &[logged(0, true)]));
    let stored = read(&store);
    let abandoned = stored.succeed(Acquisition::Vacant);
    assert_eq!(abandoned.latest(), Some(first));
    // An owner that never acts leaves the log as it found it.
    let second = acquire(&store, &stored, 2).expect("the cell has no owner");
    let second = i64::try_from(second).expect("a small number");
    let reply = store.txn(&abandoned.release(CELL, second));
    assert!(reply.expect("answered").committed);
    let stored = read(&store);
    assert_eq!(stored.succeed(Acquisition::Vacant).latest(), Some(first));
    // One that is lost is in the log.
    let third = acquire(&store, &stored, 3).expect("the cell has no owner");
    vacate(&store);
    let next = read(&store).succeed(Acquisition::Vacant);
    assert_eq!(next.latest(), Some(third));
}

/// Guards against a state that does not count because owners which stored none followed its writer,
/// also one that was released before it acted.
#[test]
fn state_counts_until_a_later_owner_stores_one() {
    let store = MemoryStore::default().store();
    let first = acquire(&store, &read(&store), 1).expect("the cell has no owner");
    vacate(&store);
    let log = read(&store).succeed(Acquisition::Vacant);
    assert_eq!(log.state_writers(), Some(first..=first));
    let second = acquire(&store, &read(&store), 2).expect("the cell has no owner");
    vacate(&store);
    let log = read(&store).succeed(Acquisition::Vacant);
    assert_eq!(log.state_writers(), Some(first..=second));
    let third = acquire(&store, &read(&store), 3).expect("the cell has no owner");
    let third = i64::try_from(third).expect("a small number");
    let reply = store.txn(&log.release(CELL, third));
    assert!(reply.expect("answered").committed);
    let log = read(&store).succeed(Acquisition::Vacant);
    assert_eq!(log.state_writers(), Some(first..=second));
    assert_eq!(log.released, Some(second));
    let fourth = acquire(&store, &read(&store), 4).expect("the cell has no owner");
    vacate(&store);
    let log = read(&store).succeed(Acquisition::Vacant);
    assert_eq!(log.state_writers(), Some(first..=fourth));
}

/// Guards against a state that counts although an owner of a version followed its writer that does
/// not tell whether it starts tasks before it has stored anything.
#[test]
fn state_before_an_owner_of_an_earlier_version_does_not_count() {
    let store = MemoryStore::default().store();
    acquire(&store, &read(&store), 1).expect("the cell has no owner");
    vacate(&store);
    let second = acquire(&store, &read(&store), 2).expect("the cell has no owner");
    let key = keys::owner_log(CELL);
    let bytes = store.range(&key).expect("answered").get(&key).cloned();
    let written: OwnerLog = decode(&bytes.expect("the log is stored").value).expect("a log");
    // The earlier version writes the record alone.
    let reply = store.txn(&Txn::default().put(key, encode(&written)));
    let third = u64::try_from(reply.expect("answered").revision).expect("positive");
    assert!(third > second);
    vacate(&store);
    let log = read(&store).succeed(Acquisition::Vacant);
    assert_eq!(log.state_writers(), Some(third..=third));
}

/// Guards against a log that an earlier version, which does not know of the released owner, cannot
/// read.
#[test]
fn released_log_is_readable_without_the_owner() {
    let store = MemoryStore::default().store();
    let fence = acquire(&store, &read(&store), 1).expect("the cell has no owner");
    assert!(release(&store, fence, &[logged(3, true)]));
    let key = keys::owner_log(CELL);
    let bytes = store.range(&key).expect("answered").get(&key).cloned();
    let bytes = bytes.expect("the log is stored").value;
    assert_eq!(decode(&bytes), Ok(log(vec![logged(3, true)])));
}

/// Guards against the end of an ownership that reaches the store late or twice, and removes the key
/// or the log of a successor.
#[test]
fn late_end_of_an_ownership_changes_nothing() {
    let store = MemoryStore::default().store();
    let first = acquire(&store, &read(&store), 1).expect("the cell has no owner");
    vacate(&store);
    assert!(!release(&store, first, &[]), "its lease has ended");
    let second = acquire(&store, &read(&store), 2).expect("the cell has no owner");
    assert!(!release(&store, first, &[]), "a successor owns the cell");
    assert!(release(&store, second, &[logged(first, true)]));
    let third = acquire(&store, &read(&store), 3).expect("the cell has no owner");
    assert!(!release(&store, second, &[]), "sent again");
    let stored = read(&store).log;
    let fences: Vec<u64> = stored.earlier.iter().map(|owner| owner.fence).collect();
    assert_eq!(fences, [first]);
    assert_eq!(stored.writer, Some(record(3)));
    assert!(third > second);
}

/// Guards against a successor that has read the log before the end of an ownership was stored, and
/// writes an owner back that has ended.
#[test]
fn log_read_before_the_end_of_an_ownership_is_not_written() {
    let store = MemoryStore::default().store();
    let fence = acquire(&store, &read(&store), 1).expect("the cell has no owner");
    let stale = read(&store);
    assert!(release(&store, fence, &[]));
    assert_eq!(acquire(&store, &stale, 2), None);
    assert!(acquire(&store, &read(&store), 2).is_some());
}
