//! How a watcher catches up if the changes since its revision do not pass the link, and what its view
//! counts as meanwhile.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use nutmegcart_control::clock::now;
use nutmegcart_control::port::KeyStore;
use nutmegcart_control::port::RangeReply;
use nutmegcart_control::port::WatchReply;
use nutmegcart_control::prefix_watcher::CatchUp;
use nutmegcart_control::prefix_watcher::KeyChange;
use nutmegcart_control::prefix_watcher::PrefixWatcher;
use nutmegcart_platform::KeyValue;
use nutmegcart_platform::Revision;
use nutmegcart_platform::StoreError;

mod support;

/// How calls to the store end.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Link {
    /// All answers arrive.
    #[default]
    Sound,
    /// No bytes arrive.
    Silent,
    /// Answers with more than [`CAPACITY`] changes are lost.
    Slow,
    /// Answers with more than [`CAPACITY`] changes are cut off.
    SlowAndSteady,
    /// All calls are refused.
    Refused,
}

/// Number of changes that pass a slow link.
const CAPACITY: i64 = 20;

/// A store with a link, and the number of its calls by kind.
#[derive(Debug, Default)]
struct Store {
    keys: RefCell<BTreeMap<String, Revision>>,
    revision: Cell<Revision>,
    link: Cell<Link>,
    ranges: Cell<usize>,
    watches: Cell<usize>,
}

impl Store {
    fn put(&self, key: &str) {
        self.revision.update(|revision| revision + 1);
        self.keys
            .borrow_mut()
            .insert(key.into(), self.revision.get());
    }

    fn remove(&self, key: &str) {
        self.revision.update(|revision| revision + 1);
        self.keys.borrow_mut().remove(key);
    }

    fn deliver(&self, changes: i64) -> Result<(), StoreError> {
        let reason = String::from("test");
        match self.link.get() {
            Link::Silent => Err(StoreError::AnswerLost { reason }),
            Link::Slow if changes > CAPACITY => Err(StoreError::AnswerLost { reason }),
            Link::SlowAndSteady if changes > CAPACITY => Err(StoreError::AnswerCut { reason }),
            Link::Refused => Err(StoreError::Refused { reason }),
            _ => Ok(()),
        }
    }

    fn range(&self) -> Result<RangeReply, StoreError> {
        self.ranges.update(|count| count + 1);
        self.deliver(0)?;
        let keys = self.keys.borrow();
        let items = keys.iter().map(|(key, revision)| KeyValue {
            key: key.clone(),
            created: *revision,
            modified: *revision,
            ..KeyValue::default()
        });
        Ok(RangeReply {
            items: items.collect(),
            revision: self.revision.get(),
        })
    }

    /// Answers a watch as one that found no changes; its answer has one for each revision.
    fn watch(&self, after: Revision) -> Result<WatchReply, StoreError> {
        self.watches.update(|count| count + 1);
        self.deliver(self.revision.get() - after)?;
        Ok(WatchReply {
            events: Vec::new(),
            revision: self.revision.get(),
        })
    }
}

fn key_store(store: &Rc<Store>) -> KeyStore {
    let mut calls = support::silent_platform().store;
    let ranged = store.clone();
    calls.range = Rc::new(move |_| {
        let store = ranged.clone();
        Box::pin(async move { store.range() })
    });
    let watched = store.clone();
    calls.watch = Rc::new(move |_, after, _| {
        let store = watched.clone();
        Box::pin(async move { store.watch(after) })
    });
    calls
}

/// Runs a test with a watcher that has read the keys of a store.
fn run(catch_up: CatchUp, test: impl AsyncFnOnce(Rc<Store>, KeyStore, PrefixWatcher)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("the runtime starts").block_on(async {
        let store = Rc::new(Store::default());
        store.put("records/config");
        store.put("records/wave");
        let calls = key_store(&store);
        let mut watcher = PrefixWatcher::new("records/");
        watcher.catch_up = catch_up;
        watcher.next(&calls).await;
        test(store, calls, watcher).await;
    });
}

/// Makes calls until the watcher has read the present keys or 20 calls were made, and returns what it
/// reported.
async fn catch_up(calls: &KeyStore, watcher: &mut PrefixWatcher) -> Vec<KeyChange> {
    for _ in 0..20 {
        let changes = watcher.next(calls).await;
        if !changes.is_empty() {
            return changes;
        }
    }
    Vec::new()
}

fn storm(store: &Store) {
    for _ in 0..=CAPACITY {
        store.put("records/config");
    }
}

fn config(modified: Revision) -> KeyChange {
    KeyChange::Put(KeyValue {
        key: "records/config".into(),
        created: modified,
        modified,
        ..KeyValue::default()
    })
}

/// Guards against a watch that asks for changes which never pass the link, until the store forgets them.
#[test]
fn lost_changes_are_replaced_by_the_present_keys() {
    run(CatchUp::PresentKeys, async |store, calls, mut watcher| {
        storm(&store);
        store.remove("records/wave");
        store.link.set(Link::Slow);
        let changes = catch_up(&calls, &mut watcher).await;
        let gone = KeyChange::Deleted("records/wave".into());
        let latest = store.revision.get() - 1;
        assert_eq!(changes, [gone, config(latest), KeyChange::Synced]);
        assert_eq!((store.watches.get(), store.ranges.get()), (1, 2));
        // It goes on from there.
        watcher.next(&calls).await;
        assert!(watcher.reachable);
        assert_eq!((store.watches.get(), store.ranges.get()), (2, 2));
    });
}

/// Guards against the same in a watcher that is to see each change, as far as they pass.
#[test]
fn cut_off_changes_are_replaced_by_the_present_keys() {
    run(CatchUp::Changes, async |store, calls, mut watcher| {
        storm(&store);
        store.link.set(Link::SlowAndSteady);
        let changes = catch_up(&calls, &mut watcher).await;
        let latest = store.revision.get();
        assert_eq!(changes, [config(latest), KeyChange::Synced]);
        assert_eq!((store.watches.get(), store.ranges.get()), (1, 2));
    });
}

/// Guards against gaps in the history of owners after each outage.
#[test]
fn outage_leaves_no_gap_in_the_changes() {
    run(CatchUp::Changes, async |store, calls, mut watcher| {
        for link in [Link::Silent, Link::Refused, Link::Silent, Link::Sound] {
            store.link.set(link);
            watcher.next(&calls).await;
        }
        assert!(watcher.reachable);
        assert_eq!(store.ranges.get(), 1);
    });
}

/// Guards against reads of a large configuration by all instances whenever the store refuses a call.
#[test]
fn refused_watch_is_repeated() {
    run(CatchUp::PresentKeys, async |store, calls, mut watcher| {
        store.link.set(Link::Refused);
        watcher.next(&calls).await;
        store.link.set(Link::Sound);
        watcher.next(&calls).await;
        assert!(watcher.reachable);
        assert_eq!(store.ranges.get(), 1);
    });
}

/// Guards against answers by an old configuration from an instance to which the store answers other
/// calls.
#[test]
fn failures_while_the_store_answers_others_do_not_keep_a_view_current() {
    run(CatchUp::PresentKeys, async |store, calls, mut watcher| {
        let answer = watcher.last_answer.clone();
        store.link.set(Link::Silent);
        watcher.next(&calls).await;
        let counted = watcher.view.failed_at.expect("the store may be away");
        for _ in 0..4 {
            answer.set(Some(now()));
            watcher.next(&calls).await;
        }
        assert_eq!(watcher.view.failed_at, Some(counted));
        assert!(
            !watcher
                .view
                .is_current(counted + Duration::from_millis(2_501))
        );
        store.link.set(Link::Sound);
        watcher.next(&calls).await;
        assert!(watcher.view.is_current(now()));
    });
}

/// Guards against the same where the only bytes that arrive are those of the answer that is too large.
#[test]
fn cut_off_answer_does_not_keep_a_view_current() {
    run(CatchUp::Changes, async |store, calls, mut watcher| {
        storm(&store);
        store.link.set(Link::SlowAndSteady);
        watcher.next(&calls).await;
        assert_eq!(watcher.view.failed_at, None);
        assert!(watcher.last_answer.get().is_some());
    });
}

/// Guards against a deployment that serves nobody while its store is away.
#[test]
fn outage_keeps_a_view_current() {
    for link in [Link::Silent, Link::Refused] {
        run(CatchUp::PresentKeys, async |store, calls, mut watcher| {
            store.link.set(link);
            for _ in 0..6 {
                let before = now();
                watcher.next(&calls).await;
                assert!(watcher.view.failed_at >= Some(before), "{link:?}");
            }
        });
    }
}

/// Guards against an instance that refuses requests in a second outage because the store answered other
/// calls between the two.
#[test]
fn outage_after_a_short_return_keeps_a_view_current() {
    let at = |millis: u64| Duration::from_millis(10_000 + millis);
    let mut view = nutmegcart_control::view_age::ViewTimes::default();
    view.record_failure(at(0), at(0), None);
    view.record_failure(at(1_500), at(0), Some(at(1_000)));
    assert_eq!(view.failed_at, Some(at(0)));
    view.record_failure(at(2_600), at(0), Some(at(1_000)));
    assert_eq!(view.failed_at, Some(at(2_600)));
}
