//! Times of a watcher's view of the store, in a process that handles answers late.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use nutmegcart_control::clock::now;
use nutmegcart_control::port::KeyStore;
use nutmegcart_control::port::RangeReply;
use nutmegcart_control::port::StoreResult;
use nutmegcart_control::port::WatchEvent;
use nutmegcart_control::port::WatchReply;
use nutmegcart_control::prefix_watcher::PrefixWatcher;
use nutmegcart_platform::KeyValue;
use nutmegcart_platform::StoreError;

mod support;

/// Time for which the process is paused after the store has answered.
const PAUSE: Duration = Duration::from_millis(300);

/// How the store answers a watch.
#[derive(Clone, Copy, Debug)]
enum Answer {
    /// At the end of the wait, without changes.
    Unchanged,
    /// At once, with a change.
    Changed,
    /// Not at all until the caller gives up.
    Lost,
    /// At once, with a refusal.
    Refused,
}

fn reply(answer: Answer, revision: i64) -> StoreResult<WatchReply> {
    let reason = String::from("test");
    match answer {
        Answer::Unchanged => Ok(WatchReply {
            events: Vec::new(),
            revision,
        }),
        Answer::Changed => Ok(WatchReply {
            events: vec![WatchEvent::Put(KeyValue {
                key: "op/config".into(),
                value: Vec::new(),
                created: revision + 1,
                modified: revision + 1,
                lease: 0,
            })],
            revision: revision + 1,
        }),
        Answer::Lost => Err(StoreError::AnswerLost { reason }),
        Answer::Refused => Err(StoreError::Refused { reason }),
    }
}

/// Returns a store that answers watches by turns, and records when it answers and how long a watch may
/// wait. The process is paused after each answer.
fn store(
    answers: Vec<Answer>,
    answered: &Rc<Cell<Duration>>,
    wait: &Rc<Cell<Duration>>,
    pause: Duration,
) -> KeyStore {
    let mut store = support::silent_platform().store;
    let at = answered.clone();
    store.range = Rc::new(move |_| {
        let at = at.clone();
        Box::pin(async move {
            at.set(now());
            std::thread::sleep(pause);
            Ok(RangeReply {
                items: Vec::new(),
                revision: 5,
            })
        })
    });
    let answers = Rc::new(answers);
    let (at, waits, next) = (answered.clone(), wait.clone(), Rc::new(Cell::new(0)));
    store.watch = Rc::new(move |_, revision, wait| {
        let (answers, at, waits, next) = (answers.clone(), at.clone(), waits.clone(), next.clone());
        Box::pin(async move {
            waits.set(wait);
            let answer = answers[next.replace(next.get() + 1)];
            if matches!(answer, Answer::Unchanged | Answer::Lost) {
                tokio::time::sleep(wait).await;
            }
            at.set(now());
            std::thread::sleep(pause);
            reply(answer, revision)
        })
    });
    store
}

/// Reads all keys, then watches once for each answer. Checks that no view counts as later than the
/// answer of the store, and returns the longest wait of each watch in milliseconds.
fn waits_of(answers: &[Answer], pause: Duration) -> Vec<u128> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let (answered, wait) = (Rc::new(Cell::default()), Rc::new(Cell::default()));
    let store = store(answers.to_vec(), &answered, &wait, pause);
    runtime.expect("the runtime starts").block_on(async {
        let mut watcher = PrefixWatcher::new("op/");
        watcher.next(&store).await;
        assert!(watcher.view.read_at.expect("read") <= answered.get());
        let mut waits = Vec::new();
        for answer in answers {
            let before = now();
            watcher.next(&store).await;
            let latest = watcher.view.read_at.max(watcher.view.failed_at);
            let latest = latest.expect("called");
            assert!(latest <= answered.get(), "{answer:?}");
            assert!(latest >= before, "{answer:?}");
            waits.push(wait.get().as_millis());
        }
        waits
    })
}

/// Guards against a configuration that counts as current because the answer without it was handled
/// late, and against an instance that needs long to find out.
#[test]
fn late_answer_does_not_make_a_view_later() {
    let answers = [Answer::Unchanged, Answer::Unchanged, Answer::Unchanged];
    assert_eq!(waits_of(&answers, PAUSE), [1_200, 0, 1_200]);
}

/// Guards against a view that counts as later than the store's answer with changes, and against one of
/// which the age is unknown for long.
#[test]
fn watch_after_changes_confirms_the_view() {
    let answers = [Answer::Changed, Answer::Unchanged, Answer::Changed];
    assert_eq!(waits_of(&answers, PAUSE), [1_200, 0, 1_200]);
}

/// Guards against a view that stays late after a second pause.
#[test]
fn view_that_is_late_again_is_confirmed_again() {
    let answers = [Answer::Changed, Answer::Changed, Answer::Changed];
    let pause = Duration::from_millis(1_300);
    assert_eq!(waits_of(&answers, pause), [0, 0, 0]);
}

/// Guards against a failure that counts as later than it was, and against an outage whose end is
/// noticed late.
#[test]
fn watch_after_a_failure_does_not_wait() {
    let answers = [
        Answer::Lost,
        Answer::Refused,
        Answer::Unchanged,
        Answer::Unchanged,
    ];
    assert_eq!(waits_of(&answers, PAUSE), [1_200, 0, 0, 1_200]);
}
