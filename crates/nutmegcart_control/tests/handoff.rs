//! Which instances take a cell over from an owner that does not reach the store.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use nutmegcart_control::Node;
use nutmegcart_control::candidate::Candidate;
use nutmegcart_control::candidate::accepts_handoff;
use nutmegcart_control::candidate::may_acquire;
use nutmegcart_control::handoff::accept_handoff;
use nutmegcart_control::keys;
use nutmegcart_control::keys::CellKeys;
use nutmegcart_control::member::MemberRecord;
use nutmegcart_control::metrics::Metrics;
use nutmegcart_control::owner_log::OwnerLog;
use nutmegcart_control::ownership;
use nutmegcart_control::port::CallerLimits;
use nutmegcart_control::port::KeyStore;
use nutmegcart_control::port::Platform;
use nutmegcart_control::port::PlatformConfig;
use nutmegcart_control::port::RangeReply;
use nutmegcart_jobs::layout::CELL_SIZE;
use nutmegcart_jobs::layout::CellLayout;
use nutmegcart_jobs::record::decode;
use nutmegcart_platform::MemoryStore;
use nutmegcart_platform::Store;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;
use tokio::task::LocalSet;

mod support;

/// Returns an instance of a fleet with two cells and as many instances as given, whose store does not
/// answer.
fn node(instances: u16) -> Rc<Node> {
    node_on(support::silent_platform(), instances)
}

fn node_on(platform: Platform, instances: u16) -> Rc<Node> {
    let node = Node::new(support::settings(), platform, Metrics::default(), 7);
    let machines = (0..2 * CELL_SIZE).map(|number| (format!("m-{number}").into(), "gates".into()));
    node.set_layout(CellLayout::divide(machines.collect()));
    for number in 1..=instances {
        let member = MemberRecord {
            peer: ([127, 0, 0, 1], number).into(),
            cores: 0.25,
            state_format: 0,
        };
        let name = format!("entry-{number}").into();
        node.members.borrow_mut().insert(name, member);
    }
    node
}

/// Starts the handoff of cell 0, whose transaction is not answered, and returns the answer to the
/// handoff of cell 1 if there is one at once.
fn second_handoff(node: &Rc<Node>) -> Option<bool> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let both = async {
        let first = accept_handoff(node, 0, 1);
        let second = accept_handoff(node, 1, 1);
        let neither = async {
            // Both calls above are polled before this one.
            tokio::task::yield_now().await;
        };
        tokio::select! {
            biased;
            answer = first => panic!("the store does not answer: {answer}"),
            answer = second => Some(answer),
            () = neither => None,
        }
    };
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), both)
}

/// Guards against an instance that takes over two cells at the same moment, because the owner of
/// both hands each to the first peer of its list.
#[test]
fn instance_that_takes_one_cell_over_declines_another() {
    assert_eq!(second_handoff(&node(3)), Some(false));
}

/// Guards against cells without an owner in a fleet with fewer instances than cells.
#[test]
fn instance_takes_two_cells_if_there_are_not_enough_instances() {
    assert_eq!(second_handoff(&node(2)), None);
}

/// Guards against an acquisition that counts for ever after its request was cancelled.
#[test]
fn cancelled_handoff_no_longer_counts() {
    let node = node(3);
    assert_eq!(second_handoff(&node), Some(false));
    assert_eq!(node.held_cells(), 0);
}

/// Guards against an instance that acquires all cells that lose their owner at the same moment.
#[test]
fn instance_that_is_about_to_own_a_cell_waits_again_for_another() {
    let node = node(3);
    let before = Candidate {
        owned: node.held_cells(),
        ..Candidate::default()
    };
    let views = node.views();
    let _first = views[0].begin_acquisition();
    let current = Candidate {
        owned: node.held_cells(),
        ..before
    };
    assert!(!may_acquire(&before, &current));
    assert!(may_acquire(&current, &current));
    assert!(accepts_handoff(&before, 2));
}

/// Time until the store answers a transaction.
const TXN_TIME: Duration = Duration::from_millis(40);

/// Returns a platform with the store, whose answers to transactions take time. The given number of
/// answers is lost.
fn platform(store: &Store, lost: usize) -> Platform {
    macro_rules! call {
        ($call:expr) => {{
            let store = store.clone();
            Rc::new(move |argument| Box::pin(std::future::ready($call(&store, argument))) as _)
        }};
    }
    let silent = support::silent_platform();
    let slow = store.clone();
    let left = Cell::new(lost);
    Platform {
        store: KeyStore {
            get: call!(|store: &Store, key: String| {
                let found = store.range(&key);
                found.map(|snapshot| snapshot.get(&key).cloned())
            }),
            range: call!(|store: &Store, prefix: String| {
                let found = store.range(&prefix);
                found.map(|snapshot| RangeReply {
                    items: snapshot.entries,
                    revision: snapshot.revision,
                })
            }),
            grant_lease: call!(Store::grant_lease),
            revoke_lease: call!(Store::revoke_lease),
            txn: Rc::new(move |txn| {
                let mut reply = slow.txn(&txn);
                if left.get() > 0 {
                    left.update(|left| left - 1);
                    let reason = "lost".into();
                    reply = Err(StoreError::AnswerLost { reason });
                }
                Box::pin(async move {
                    tokio::time::sleep(TXN_TIME).await;
                    reply
                })
            }),
            ..silent.store
        },
        ..silent
    }
}

/// Writes the key of an owner of cell 0, and returns its fencing token.
fn write_owner(store: &Store) -> u64 {
    let txn = Txn::default().put(CellKeys::new(0).owner(), Vec::new());
    let reply = store.txn(&txn).expect("answered");
    u64::try_from(reply.revision).expect("positive")
}

/// Hands cell 0 to the instance, cancels the request while the transaction is under way, and waits
/// until it has been answered.
fn cancelled_handoff(node: &Rc<Node>, fence: u64) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let request = async {
        let answer = tokio::time::timeout(TXN_TIME / 4, accept_handoff(node, 0, fence)).await;
        assert!(answer.is_err(), "{answer:?}");
        tokio::time::sleep(TXN_TIME * 3).await;
    };
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), request);
}

/// Guards against a cell that no instance owns, because the owner that handed it over stopped waiting
/// before the answer of the store arrived.
#[test]
fn cell_of_a_cancelled_handoff_is_owned() {
    let store = MemoryStore::default().store();
    let node = node_on(platform(&store, 0), 3);
    cancelled_handoff(&node, write_owner(&store));
    let key = CellKeys::new(0).owner();
    let written = store.range(&key).expect("answered").entries[0].modified;
    let acquired = node.views()[0].handoff.take();
    assert_eq!(acquired.map(|acquired| acquired.fence), Some(written));
}

/// Guards against an acquisition that counts for ever after a cancelled request for a handoff failed.
#[test]
fn failed_handoff_no_longer_counts() {
    let store = MemoryStore::default().store();
    let node = node_on(platform(&store, 0), 3);
    let fence = write_owner(&store);
    write_owner(&store);
    cancelled_handoff(&node, fence);
    assert_eq!(node.held_cells(), 0);
}

/// Guards against a cell that no instance owns, because the answer of the store to the handoff was lost.
#[test]
fn cell_whose_handoff_had_its_answer_lost_is_owned() {
    let store = MemoryStore::default().store();
    let node = node_on(platform(&store, 1), 3);
    let fence = write_owner(&store);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("the runtime starts");
    let taken = LocalSet::new().block_on(&runtime, accept_handoff(&node, 0, fence));
    assert!(taken);
    let key = CellKeys::new(0).owner();
    let written = store.range(&key).expect("answered").entries[0].modified;
    let acquired = node.views()[0].handoff.take();
    assert_eq!(acquired.map(|acquired| acquired.fence), Some(written));
}

/// Waits until the owner's key of cell 0 is newer than the given one, and starts the shutdown while the
/// answer of the store is under way.
async fn drain_after_write(node: &Rc<Node>, store: &Store, before: u64) {
    let owner = CellKeys::new(0).owner();
    let is_written = || {
        let found = store.range(&owner).expect("answered");
        let written = found.get(&owner).map_or(0, |item| item.modified);
        u64::try_from(written).is_ok_and(|written| written > before)
    };
    while !is_written() {
        tokio::time::sleep(TXN_TIME / 8).await;
    }
    node.draining.set(true);
    tokio::time::sleep(TXN_TIME * 4).await;
}

fn is_released(node: &Node, store: &Store) -> bool {
    let found = store.range(&CellKeys::new(0).owner()).expect("answered");
    node.held_cells() == 0 && found.entries.is_empty()
}

/// Panics if the stored log of cell 0 names an owner, whose process a successor would have to ask.
fn assert_not_logged(store: &Store) {
    let key = keys::owner_log(0);
    let found = store.range(&key).expect("answered");
    let item = found.get(&key).expect("the log is stored");
    let log: OwnerLog = decode(&item.value).expect("valid");
    assert_eq!(log.writer, None);
    assert_eq!(log.earlier, []);
}

/// Guards against a cell that was handed to an instance which shuts down, and has no owner until the
/// lease ends.
#[test]
fn instance_that_shuts_down_releases_a_handed_over_cell() {
    let store = MemoryStore::default().store();
    let node = node_on(platform(&store, 0), 3);
    let fence = write_owner(&store);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let both = async {
        tokio::join!(
            accept_handoff(&node, 0, fence),
            drain_after_write(&node, &store, fence)
        )
    };
    let (taken, ()) = LocalSet::new().block_on(&runtime.expect("the runtime starts"), both);
    assert!(!taken);
    assert!(is_released(&node, &store));
    assert_not_logged(&store);
}

/// Guards against an instance that becomes the owner of a cell after it has released all others.
#[test]
fn instance_that_shuts_down_does_not_become_the_owner() {
    let store = MemoryStore::default().store();
    let node = node_on(platform(&store, 0), 3);
    node.configure(PlatformConfig {
        version: 1,
        queues: Vec::new(),
        callers: Vec::new(),
        organisations: None,
        pools: Vec::new(),
        limits: CallerLimits {
            head_bytes: 1 << 10,
            head_timeout: Duration::from_secs(3),
            body_bytes: 1 << 10,
            idle_timeout: Duration::from_secs(1),
        },
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let both = async {
        tokio::task::spawn_local(ownership::run(node.clone()));
        drain_after_write(&node, &store, 0).await;
    };
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), both);
    assert!(is_released(&node, &store));
    assert_not_logged(&store);
}
