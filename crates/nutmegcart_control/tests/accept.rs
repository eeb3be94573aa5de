//! Accepting jobs while the store loses answers or refuses.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_control::Node;
use nutmegcart_control::Settings;
use nutmegcart_control::caller::Answer;
use nutmegcart_control::caller::Desk;
use nutmegcart_control::caller::Request;
use nutmegcart_control::keys::CellKeys;
use nutmegcart_control::metrics::Metrics;
use nutmegcart_control::node::Times;
use nutmegcart_control::port::Changes;
use nutmegcart_control::port::Directory;
use nutmegcart_control::port::Fleet;
use nutmegcart_control::port::KeyStore;
use nutmegcart_control::port::LookError;
use nutmegcart_control::port::Platform;
use nutmegcart_control::port::Range;
use nutmegcart_jobs::Job;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobState;
use nutmegcart_jobs::MachineOutcome;
use nutmegcart_jobs::OrderOutcome;
use nutmegcart_jobs::Queue;
use nutmegcart_jobs::QueueKey;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::layout::CellLayout;
use nutmegcart_model::Code;
use nutmegcart_platform::Change;
use nutmegcart_platform::Compare;
use nutmegcart_platform::KeyValue;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;
use nutmegcart_platform::TxnReply;
use tokio::task::LocalSet;

/// How the store behaves, one entry for each transaction; the last one stays.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mood {
    Answers,
    Refuses,
    LosesBefore,
    LosesAfter,
}

/// A store in memory whose transactions fail as a script says.
struct Scripted {
    items: RefCell<BTreeMap<String, KeyValue>>,
    revision: Cell<i64>,
    moods: RefCell<Vec<Mood>>,
}

impl Scripted {
    fn mood(&self) -> Mood {
        let mut moods = self.moods.borrow_mut();
        if moods.len() > 1 {
            moods.remove(0)
        } else {
            moods[0]
        }
    }

    fn txn(&self, txn: &Txn) -> Result<TxnReply, StoreError> {
        let mood = self.mood();
        let lost = || StoreError::AnswerLost {
            reason: "scripted".into(),
        };
        match mood {
            Mood::Refuses => {
                return Err(StoreError::Refused {
                    reason: "scripted".into(),
                });
            }
            Mood::LosesBefore => return Err(lost()),
            Mood::Answers | Mood::LosesAfter => {}
        }
        let mut items = self.items.borrow_mut();
        let holds = txn.compare.iter().all(|compare| {
            let (Compare::Modified(key, revision) | Compare::Created(key, revision)) = compare;
            items.get(key).map_or(0, |item| item.modified) == *revision
        });
        let mut reply = TxnReply {
            committed: holds,
            revision: self.revision.get(),
            found: Vec::new(),
        };
        if holds {
            self.revision.set(self.revision.get() + 1);
            reply.revision = self.revision.get();
            for change in &txn.change {
                if let Change::Put(key, value, lease) = change {
                    let item = KeyValue {
                        key: key.clone(),
                        value: value.clone(),
                        created: reply.revision,
                        modified: reply.revision,
                        lease: *lease,
                    };
                    items.insert(key.clone(), item);
                }
            }
        } else {
            reply.found = txn
                .otherwise
                .iter()
                .filter_map(|key| items.get(key).cloned())
                .collect();
        }
        if mood == Mood::LosesAfter {
            Err(lost())
        } else {
            Ok(reply)
        }
    }
}

fn store(scripted: &Rc<Scripted>) -> KeyStore {
    let (for_get, for_txn) = (scripted.clone(), scripted.clone());
    KeyStore {
        get: Rc::new(move |key| {
            let item = for_get.items.borrow().get(&key).cloned();
            Box::pin(async move { Ok(item) })
        }),
        range: Rc::new(|_| Box::pin(async { Ok(Range::default()) })),
        watch: Rc::new(|_, _, _| Box::pin(async { Ok(Changes::default()) })),
        txn: Rc::new(move |txn| {
            let reply = for_txn.txn(&txn);
            Box::pin(async move { reply })
        }),
        grant: Rc::new(|_| Box::pin(async { Ok(1) })),
        keep: Rc::new(|_| Box::pin(async { Ok(true) })),
        end: Rc::new(|_| Box::pin(async { Ok(()) })),
    }
}

fn node(scripted: &Rc<Scripted>) -> Rc<Node> {
    let fleet = Fleet {
        look: Rc::new(|_, _| Box::pin(async { Err(LookError::OtherLife) })),
        order: Rc::new(|_, _| Box::pin(async { OrderOutcome::NotSent })),
        machines: Rc::new(|| Box::pin(async { Ok(Vec::new()) })),
        command: Rc::new(|_| Box::pin(async { MachineOutcome::Invalid })),
        advise: Rc::new(|_, _| Box::pin(async { Err(String::new()) })),
    };
    let directory = Directory {
        operator: "operator/".into(),
        record: Rc::new(|_| Err(String::new())),
        workers: "workers/".into(),
        listing: Rc::new(|_| Err(String::new())),
        worker: Rc::new(|_| None),
        progress: Rc::new(|_, _| (String::new(), Vec::new())),
    };
    let settings = Settings {
        name: "entry-1".into(),
        peer: "127.0.0.1:1".parse().expect("an address"),
        cores: 0.25,
        lease: Duration::from_secs(2),
        times: Times::default(),
    };
    let platform = Platform {
        store: store(scripted),
        fleet,
        directory,
    };
    let node = Node::new(settings, platform, Metrics::default(), 7);
    node.see_layout(CellLayout::default());
    node
}

fn queue() -> Arc<Queue> {
    Arc::new(Queue {
        key: QueueKey {
            host: "counts.example".into(),
            prefix: "/gates/".into(),
        },
        pool: "gates".into(),
        priority: 0,
        attempts: 2,
        stretch: 1.6,
        target_ms: 600,
        advice: None,
    })
}

fn job() -> Job {
    let step = Step {
        count: 2,
        ..Step::default()
    };
    Job {
        spec: "spec".into(),
        steps: vec![step],
        schedule: None,
    }
}

/// Hands a job in and returns the answer and whether the store holds the job afterwards.
fn submit(moods: &[Mood]) -> (Answer, bool) {
    let scripted = Rc::new(Scripted {
        items: RefCell::default(),
        revision: Cell::new(1),
        moods: RefCell::new(moods.to_vec()),
    });
    let node = node(&scripted);
    let id = JobId::parse("00000000000000aa").expect("sixteen digits");
    let request = Request::Submit(queue(), id.clone(), Box::new(job()));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let answer = LocalSet::new().block_on(&runtime.expect("runtime starts"), async {
        Desk::default()
            .handle(&node, request, Duration::from_millis(600))
            .await
    });
    let held = scripted
        .items
        .borrow()
        .contains_key(&CellKeys::new(0).job(&id));
    (answer, held)
}

/// Guards against a refusal of a job that runs all the same, and against an acceptance of one
/// that was never stored.
fn tells_the_truth(moods: &[Mood]) {
    let (answer, held) = submit(moods);
    match &answer {
        Answer::Accepted => assert!(held, "accepted and not stored: {moods:?}"),
        Answer::Refused {
            code: Code::StoreUnavailable,
            retry,
        } => {
            assert!(!held, "refused and stored: {moods:?}");
            assert!(retry.is_some(), "a refusal says when to come back");
        }
        Answer::Refused {
            code: Code::AnswerTimeout,
            ..
        } => {}
        other => panic!("unexpected answer {other:?} after {moods:?}"),
    }
}

macro_rules! cases {
    ($test:ident: $($(#[$doc:meta])* $name:ident => $argument:expr, [$($expected:tt)*];)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let moods = $argument;
            $test(&moods);
            let (answer, _) = submit(&moods);
            assert!(matches!(answer, $($expected)*), "{answer:?}");
        })*
    };
}

cases! { tells_the_truth:
    /// A store that answers.
    a_job_is_accepted => [Mood::Answers], [Answer::Accepted];
    /// A store that refuses everything: nothing was written, so the job never runs.
    a_refusing_store_refuses_the_job => [Mood::Refuses], [Answer::Refused { code: Code::StoreUnavailable, .. }];
    /// An answer lost after the write: the next attempt finds the job.
    a_lost_answer_after_the_write_is_settled => [Mood::LosesAfter, Mood::Answers], [Answer::Accepted];
    /// An answer lost before the write: the next attempt writes it.
    a_lost_answer_before_the_write_is_settled => [Mood::LosesBefore, Mood::Answers], [Answer::Accepted];
    /// A lost answer, then refusals: the first attempt may still take effect, so it is no refusal.
    a_refusal_after_a_lost_answer_stays_unknown => [Mood::LosesBefore, Mood::Refuses], [Answer::Refused { code: Code::AnswerTimeout, .. }];
    /// Answers lost for good.
    lost_answers_stay_unknown => [Mood::LosesAfter], [Answer::Accepted | Answer::Refused { code: Code::AnswerTimeout, .. }];
}

/// Guards against a second job for a request that arrives again after its job was accepted.
#[test]
fn a_late_repeat_finds_the_job() {
    let scripted = Rc::new(Scripted {
        items: RefCell::default(),
        revision: Cell::new(1),
        moods: RefCell::new(vec![Mood::Answers]),
    });
    let node = node(&scripted);
    let id = JobId::parse("00000000000000ab").expect("sixteen digits");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("runtime starts"), async {
        let desk = Desk::default();
        let limit = Duration::from_millis(600);
        for _ in 0..2 {
            let answer = desk
                .handle(
                    &node,
                    Request::Submit(queue(), id.clone(), Box::new(job())),
                    limit,
                )
                .await;
            assert_eq!(answer, Answer::Accepted);
        }
        assert_eq!(scripted.items.borrow().len(), 1);
        let shown = desk.handle(&node, Request::Show(id.clone()), limit).await;
        assert_eq!(shown, Answer::State(JobState::Pending));
        let cancelled = desk.handle(&node, Request::Cancel(id.clone()), limit).await;
        assert_eq!(cancelled, Answer::Cancelled);
        let again = desk
            .handle(
                &node,
                Request::Submit(queue(), id.clone(), Box::new(job())),
                limit,
            )
            .await;
        assert_eq!(
            again,
            Answer::Accepted,
            "a repeat after the end is still the same job"
        );
        let other = JobId::parse("00000000000000ac").expect("sixteen digits");
        let absent = desk.handle(&node, Request::Show(other), limit).await;
        assert_eq!(absent, Answer::Gone);
    });
}

/// Guards against a malformed job that is stored.
#[test]
fn a_malformed_job_is_refused_and_not_stored() {
    let scripted = Rc::new(Scripted {
        items: RefCell::default(),
        revision: Cell::new(1),
        moods: RefCell::new(vec![Mood::Answers]),
    });
    let node = node(&scripted);
    let id = JobId::parse("00000000000000ad").expect("sixteen digits");
    let step = Step {
        count: 1,
        after: vec![3],
        ..Step::default()
    };
    let job = Box::new(Job {
        spec: "spec".into(),
        steps: vec![step],
        schedule: None,
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let answer = LocalSet::new().block_on(&runtime.expect("runtime starts"), async {
        let request = Request::Submit(queue(), id, job);
        Desk::default()
            .handle(&node, request, Duration::from_millis(600))
            .await
    });
    assert_eq!(answer, Answer::refused(Code::BadRequest));
    assert!(scripted.items.borrow().is_empty());
}
