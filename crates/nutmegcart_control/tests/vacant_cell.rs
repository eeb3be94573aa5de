//! Instances that hear late about the owner of a cell which has no owner any more.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use nutmegcart_control::Node;
use nutmegcart_control::keys;
use nutmegcart_control::keys::CellKeys;
use nutmegcart_control::member::MemberRecord;
use nutmegcart_control::metrics::Metrics;
use nutmegcart_control::node::OwnerRecord;
use nutmegcart_control::ownership;
use nutmegcart_control::port::CallerLimits;
use nutmegcart_control::port::KeyStore;
use nutmegcart_control::port::PlatformConfig;
use nutmegcart_control::port::RangeReply;
use nutmegcart_control::port::WatchEvent;
use nutmegcart_control::port::WatchReply;
use nutmegcart_jobs::layout::CellLayout;
use nutmegcart_jobs::record::encode;
use nutmegcart_platform::Compare;
use nutmegcart_platform::KeyValue;
use nutmegcart_platform::LeaseId;
use nutmegcart_platform::TxnReply;
use tokio::sync::Notify;
use tokio::task::LocalSet;

mod support;

/// Revision at which the owner's key is written, and the one at which it is deleted.
const WRITTEN: i64 = 6;
const DELETED: i64 = 8;
/// Lease of the owner's key in the first attempt.
const FIRST_LEASE: LeaseId = 1;
/// Time after which the answer to a transaction has been processed.
const LATE: Duration = Duration::from_millis(100);
/// Time limit of a test, long enough for a heavily loaded machine.
const LIMIT: Duration = Duration::from_secs(20);

/// What the instance hears late, after the watch has told it that the owner's key is gone.
#[derive(Clone, Copy, PartialEq)]
enum LateAnswer {
    /// It has become the owner.
    Acquired,
    /// Another instance was the owner.
    Refused,
    /// It is the owner, in the keys of the cell.
    Read,
}

#[derive(Default)]
struct Script {
    leases: Cell<LeaseId>,
    attempts: Cell<usize>,
    attempted: Notify,
    /// The deletion of the owner's key has been processed.
    reported: Notify,
    again: Notify,
}

fn owner_key(key: String, lease: LeaseId) -> KeyValue {
    let record = OwnerRecord {
        name: "entry-1".into(),
        incarnation: 7,
        peer: "127.0.0.1:1".parse().expect("an address"),
        lease,
    };
    KeyValue {
        key,
        value: encode(&record),
        created: WRITTEN,
        modified: WRITTEN,
        lease,
    }
}

/// Answers an attempt to acquire the cell.
async fn answer_attempt(script: Rc<Script>, late: LateAnswer) -> TxnReply {
    script.attempts.set(script.attempts.get() + 1);
    if script.attempts.get() > 1 {
        script.again.notify_one();
        std::future::pending::<()>().await;
    }
    script.attempted.notify_one();
    if late != LateAnswer::Read {
        script.reported.notified().await;
    }
    let owner = CellKeys::new(0).owner();
    match late {
        LateAnswer::Refused => TxnReply {
            committed: false,
            revision: WRITTEN,
            found: vec![owner_key(owner, FIRST_LEASE + 100)],
        },
        _ => TxnReply {
            committed: true,
            revision: WRITTEN,
            found: Vec::new(),
        },
    }
}

fn store(script: &Rc<Script>, late: LateAnswer) -> KeyStore {
    let mut store = support::silent_platform().store;
    let leases = script.clone();
    store.grant_lease = Rc::new(move |_| {
        leases.leases.set(leases.leases.get() + 1);
        let lease = leases.leases.get();
        Box::pin(async move { Ok(lease) })
    });
    store.revoke_lease = Rc::new(|_| Box::pin(async { Ok(()) }));
    store.renew_lease = Rc::new(|lease| Box::pin(async move { Ok(lease != FIRST_LEASE) }));
    store.get = Rc::new(|_| Box::pin(async { Ok(None) }));
    let read = script.clone();
    store.range = Rc::new(move |prefix| {
        let read = read.clone();
        Box::pin(async move {
            let mut reply = RangeReply {
                items: Vec::new(),
                revision: WRITTEN - 1,
            };
            if prefix != keys::SHARED_PREFIX {
                read.reported.notified().await;
                reply.items = vec![owner_key(CellKeys::new(0).owner(), FIRST_LEASE)];
            }
            Ok(reply)
        })
    });
    let watched = script.clone();
    store.watch = Rc::new(move |prefix, after, _| {
        let watched = watched.clone();
        Box::pin(async move {
            if prefix != keys::SHARED_PREFIX {
                std::future::pending::<()>().await;
            }
            if after >= DELETED {
                watched.reported.notify_one();
                std::future::pending::<()>().await;
            }
            watched.attempted.notified().await;
            if late == LateAnswer::Read {
                // The instance becomes the owner before its key is gone.
                tokio::time::sleep(LATE).await;
            }
            let copy = keys::owner_copy(0);
            let written = WatchEvent::Put(owner_key(copy.clone(), FIRST_LEASE));
            Ok(WatchReply {
                events: vec![written, WatchEvent::Removed(copy, DELETED)],
                revision: DELETED,
            })
        })
    });
    let attempts = script.clone();
    store.txn = Rc::new(move |txn| {
        let absent = Compare::Created(CellKeys::new(0).owner(), 0);
        let acquires = txn.compare.contains(&absent);
        let script = attempts.clone();
        Box::pin(async move {
            if !acquires {
                std::future::pending::<()>().await;
            }
            Ok(answer_attempt(script, late).await)
        })
    });
    store
}

/// Guards against a cell that stays without an owner.
fn cell_is_acquired_again(late: LateAnswer) {
    let script = Rc::new(Script::default());
    let mut platform = support::silent_platform();
    platform.store = store(&script, late);
    let node = Node::new(support::settings(), platform, Metrics::default(), 7);
    node.set_layout(CellLayout::default());
    node.configure(PlatformConfig {
        version: 1,
        queues: Vec::new(),
        callers: Vec::new(),
        organisations: None,
        pools: Vec::new(),
        limits: CallerLimits {
            head_bytes: 4_096,
            head_timeout: Duration::from_secs(3),
            body_bytes: 4_096,
            idle_timeout: LIMIT,
        },
    });
    // Beside a larger instance, this one waits longer before it tries to acquire the cell.
    let larger = MemberRecord {
        peer: "127.0.0.1:2".parse().expect("an address"),
        cores: 4.0,
        state_format: 0,
    };
    node.members.borrow_mut().insert("entry-2".into(), larger);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let again = LocalSet::new().block_on(&runtime.expect("the runtime starts"), async {
        tokio::task::spawn_local(ownership::run(node));
        tokio::time::timeout(LIMIT, script.again.notified()).await
    });
    assert!(again.is_ok(), "the instance tries again");
}

macro_rules! cases {
    ($test:ident: $($(#[$doc:meta])* $name:ident => $argument:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $test($argument); })*
    };
}

cases! { cell_is_acquired_again:
    /// Guards against an owner that takes its own key, which is gone, for that of the owner.
    after_a_late_answer_to_its_transaction => LateAnswer::Acquired;
    /// Guards against an instance that takes an earlier owner for the present one.
    after_a_late_refusal => LateAnswer::Refused;
    /// Guards against a late read of the cell that brings back its earlier owner.
    after_a_late_read_of_the_cell => LateAnswer::Read;
}
