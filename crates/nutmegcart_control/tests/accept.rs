//! Submission of jobs while the store loses answers or refuses transactions.

mod support;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_control::Node;
use nutmegcart_control::acceptor::Acceptance;
use nutmegcart_control::access::Access;
use nutmegcart_control::caller_request::CallerRequest;
use nutmegcart_control::caller_request::CallerResponse;
use nutmegcart_control::job_service::JobService;
use nutmegcart_control::keys::CellKeys;
use nutmegcart_control::metrics::Metrics;
use nutmegcart_control::port::FleetClient;
use nutmegcart_control::port::KeyStore;
use nutmegcart_control::port::Platform;
use nutmegcart_control::port::PollError;
use nutmegcart_control::port::RangeReply;
use nutmegcart_control::port::WatchReply;
use nutmegcart_jobs::AcceptedJob;
use nutmegcart_jobs::Job;
use nutmegcart_jobs::JobError;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobState;
use nutmegcart_jobs::MachineOutcome;
use nutmegcart_jobs::OrderOutcome;
use nutmegcart_jobs::Queue;
use nutmegcart_jobs::QueueKey;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::layout::CellLayout;
use nutmegcart_model::Code;
use nutmegcart_platform::Compare;
use nutmegcart_platform::KeyValue;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;
use nutmegcart_platform::TxnReply;
use nutmegcart_platform::WriteOp;
use tokio::task::LocalSet;

/// How the store handles a transaction.
#[derive(Clone, Copy, Debug, PartialEq)]
enum StoreBehaviour {
    Succeed,
    Refuse,
    LoseRequest,
    LoseAnswer,
}

/// An in-memory store. The script has one entry per transaction; the last one is repeated.
struct ScriptedStore {
    items: RefCell<BTreeMap<String, KeyValue>>,
    revision: Cell<i64>,
    script: RefCell<Vec<StoreBehaviour>>,
    /// Size of the largest value that it accepts, in bytes.
    max_value: usize,
    /// Bytes of the values of each transaction.
    txn_bytes: RefCell<Vec<usize>>,
}

impl ScriptedStore {
    fn new(script: &[StoreBehaviour], max_value: usize) -> Rc<Self> {
        Rc::new(Self {
            items: RefCell::default(),
            revision: Cell::new(1),
            script: RefCell::new(script.to_vec()),
            max_value,
            txn_bytes: RefCell::default(),
        })
    }

    fn behaviour(&self) -> StoreBehaviour {
        let mut script = self.script.borrow_mut();
        if script.len() > 1 {
            script.remove(0)
        } else {
            script[0]
        }
    }

    fn txn(&self, txn: &Txn) -> Result<TxnReply, StoreError> {
        let values = txn.writes.iter().map(|write| match write {
            WriteOp::Put(_, value, _) => value.len(),
            WriteOp::Delete(_) => 0,
        });
        self.txn_bytes.borrow_mut().push(values.clone().sum());
        if values.max().is_some_and(|largest| largest > self.max_value) {
            return Err(StoreError::Rejected {
                reason: "unexpected status 413".into(),
            });
        }
        let behaviour = self.behaviour();
        let lost = || StoreError::AnswerLost {
            reason: "scripted".into(),
        };
        match behaviour {
            StoreBehaviour::Refuse => {
                return Err(StoreError::Refused {
                    reason: "scripted".into(),
                });
            }
            StoreBehaviour::LoseRequest => return Err(lost()),
            StoreBehaviour::Succeed | StoreBehaviour::LoseAnswer => {}
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
            for change in &txn.writes {
                if let WriteOp::Put(key, value, lease) = change {
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
                .else_reads
                .iter()
                .filter_map(|key| items.get(key).cloned())
                .collect();
        }
        if behaviour == StoreBehaviour::LoseAnswer {
            Err(lost())
        } else {
            Ok(reply)
        }
    }
}

fn store(scripted: &Rc<ScriptedStore>) -> KeyStore {
    let (for_get, for_txn) = (scripted.clone(), scripted.clone());
    KeyStore {
        get: Rc::new(move |key| {
            let item = for_get.items.borrow().get(&key).cloned();
            Box::pin(async move { Ok(item) })
        }),
        range: Rc::new(|_| Box::pin(async { Ok(RangeReply::default()) })),
        watch: Rc::new(|_, _, _| Box::pin(async { Ok(WatchReply::default()) })),
        txn: Rc::new(move |txn| {
            let reply = for_txn.txn(&txn);
            Box::pin(async move { reply })
        }),
        grant_lease: Rc::new(|_| Box::pin(async { Ok(1) })),
        renew_lease: Rc::new(|_| Box::pin(async { Ok(true) })),
        revoke_lease: Rc::new(|_| Box::pin(async { Ok(()) })),
    }
}

fn node(scripted: &Rc<ScriptedStore>) -> Rc<Node> {
    let fleet = FleetClient {
        poll: Rc::new(|_, _| Box::pin(async { Err(PollError::OtherIncarnation) })),
        send_order: Rc::new(|_, _| Box::pin(async { OrderOutcome::NotSent })),
        list_machines: Rc::new(|| Box::pin(async { Ok(Vec::new()) })),
        send_machine_order: Rc::new(|_| Box::pin(async { MachineOutcome::Invalid })),
        request_tickets: Rc::new(|_, _| Box::pin(async { Err(String::new()) })),
    };
    let platform = Platform {
        store: store(scripted),
        fleet,
        directory: support::silent_platform().directory,
    };
    let node = Node::new(support::settings(), platform, Metrics::default(), 7);
    node.set_layout(CellLayout::default());
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
        ticket_timing: None,
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

/// Submits a job; returns the response and whether the store holds the job afterwards.
fn submit(script: &[StoreBehaviour]) -> (CallerResponse, bool) {
    let scripted = ScriptedStore::new(script, usize::MAX);
    let node = node(&scripted);
    let id = JobId::parse("00000000000000aa").expect("sixteen digits");
    let request = CallerRequest::Submit(queue(), id.clone(), Box::new(job()));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let answer = LocalSet::new().block_on(&runtime.expect("runtime starts"), async {
        JobService::default()
            .handle(&node, request, Duration::from_millis(600))
            .await
    });
    let held = scripted
        .items
        .borrow()
        .contains_key(&CellKeys::new(0).job(&id));
    (answer, held)
}

/// Guards against refusing a job that is stored and will run, and against accepting a job that
/// was never stored.
fn response_matches_store(script: &[StoreBehaviour]) {
    let (answer, held) = submit(script);
    match &answer {
        CallerResponse::Accepted => assert!(held, "accepted and not stored: {script:?}"),
        CallerResponse::Refused {
            code: Code::StoreUnavailable,
            retry_after,
        } => {
            assert!(!held, "refused and stored: {script:?}");
            assert!(retry_after.is_some(), "a refusal has a retry delay");
        }
        CallerResponse::Refused {
            code: Code::AnswerTimeout,
            ..
        } => {}
        other => panic!("unexpected response {other:?} after {script:?}"),
    }
}

macro_rules! cases {
    ($test:ident: $($(#[$doc:meta])* $name:ident => $argument:expr, [$($expected:tt)*];)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let script = $argument;
            $test(&script);
            let (answer, _) = submit(&script);
            assert!(matches!(answer, $($expected)*), "{answer:?}");
        })*
    };
}

cases! { response_matches_store:
    /// The store answers.
    job_is_accepted => [StoreBehaviour::Succeed], [CallerResponse::Accepted];
    /// The store refuses every transaction: nothing was written, so the job never runs.
    job_is_refused_if_store_refuses => [StoreBehaviour::Refuse], [CallerResponse::Refused { code: Code::StoreUnavailable, .. }];
    /// An answer is lost after the write: the next attempt finds the job.
    answer_lost_after_write_is_resolved_by_retry => [StoreBehaviour::LoseAnswer, StoreBehaviour::Succeed], [CallerResponse::Accepted];
    /// An answer is lost before the write: the next attempt writes the job.
    answer_lost_before_write_is_resolved_by_retry => [StoreBehaviour::LoseRequest, StoreBehaviour::Succeed], [CallerResponse::Accepted];
    /// An answer is lost, then the store refuses: the first attempt may still take effect, so the
    /// response must not be a refusal.
    refusal_after_lost_answer_is_reported_as_unknown => [StoreBehaviour::LoseRequest, StoreBehaviour::Refuse], [CallerResponse::Refused { code: Code::AnswerTimeout, .. }];
    /// Every answer is lost.
    repeatedly_lost_answers_are_reported_as_unknown => [StoreBehaviour::LoseAnswer], [CallerResponse::Accepted | CallerResponse::Refused { code: Code::AnswerTimeout, .. }];
}

/// Guards against storing a second job when a submission is repeated after its acceptance, also
/// when the job has ended meanwhile.
#[test]
fn repeated_submission_returns_the_same_job() {
    let scripted = ScriptedStore::new(&[StoreBehaviour::Succeed], usize::MAX);
    let node = node(&scripted);
    let id = JobId::parse("00000000000000ab").expect("sixteen digits");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("runtime starts"), async {
        let service = JobService::default();
        let limit = Duration::from_millis(600);
        for _ in 0..2 {
            let answer = service
                .handle(
                    &node,
                    CallerRequest::Submit(queue(), id.clone(), Box::new(job())),
                    limit,
                )
                .await;
            assert_eq!(answer, CallerResponse::Accepted);
        }
        assert_eq!(scripted.items.borrow().len(), 1);
        let shown = service
            .handle(&node, CallerRequest::Show(id.clone()), limit)
            .await;
        assert_eq!(shown, CallerResponse::State(JobState::Pending));
        let cancelled = service
            .handle(&node, CallerRequest::Cancel(id.clone()), limit)
            .await;
        assert_eq!(cancelled, CallerResponse::Cancelled);
        let again = service
            .handle(
                &node,
                CallerRequest::Submit(queue(), id.clone(), Box::new(job())),
                limit,
            )
            .await;
        assert_eq!(
            again,
            CallerResponse::Accepted,
            "a submission repeated after the end refers to the same job"
        );
        let other = JobId::parse("00000000000000ac").expect("sixteen digits");
        let absent = service
            .handle(&node, CallerRequest::Show(other), limit)
            .await;
        assert_eq!(absent, CallerResponse::NotFound);
    });
}

/// Guards against storing a malformed job, also on behalf of a peer.
#[test]
fn malformed_job_is_refused_and_not_stored() {
    let scripted = ScriptedStore::new(&[StoreBehaviour::Succeed], usize::MAX);
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
    let limit = Duration::from_millis(600);
    let accepted = AcceptedJob {
        queue: (*queue()).clone(),
        at: 1,
        job: (*job).clone(),
        waited_ms: 0,
        progress: Vec::new(),
        organisation: None,
    };
    let (answer, for_peer) = LocalSet::new().block_on(&runtime.expect("runtime starts"), async {
        let service = JobService::default();
        let request = CallerRequest::Submit(queue(), id.clone(), job);
        let answer = service.handle(&node, request, limit).await;
        let for_peer = service
            .store_for_peer(&node, id, accepted, &Access::All, limit)
            .await;
        (answer, for_peer)
    });
    let error = JobError::Dependency { step: 0, on: 3 };
    assert_eq!(answer, CallerResponse::Invalid(error));
    assert_eq!(for_peer, Acceptance::NotStored);
    assert!(scripted.items.borrow().is_empty());
}

/// Returns a job whose record has more than `bytes` bytes.
fn large_job(bytes: usize) -> Job {
    let mut job = job();
    job.steps[0].image = Some("x".repeat(bytes).into());
    job
}

/// Submits jobs at the same time, and returns the responses.
fn submit_all(node: &Rc<Node>, jobs: Vec<Job>) -> Vec<CallerResponse> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("runtime starts"), async {
        let service = JobService::default();
        let submit = |(number, job): (usize, Job)| {
            let id = JobId::parse(&format!("{number:016x}")).expect("sixteen digits");
            let (node, service) = (node.clone(), service.clone());
            tokio::task::spawn_local(async move {
                let request = CallerRequest::Submit(queue(), id, Box::new(job));
                let limit = Duration::from_millis(600);
                service.handle(&node, request, limit).await
            })
        };
        let tasks: Vec<_> = jobs.into_iter().enumerate().map(submit).collect();
        let mut answers = Vec::new();
        for task in tasks {
            answers.push(task.await.expect("a response"));
        }
        answers
    })
}

/// Guards against asking a caller to repeat a job that never fits the store, and against sending it.
#[test]
fn job_above_the_largest_value_is_refused_for_good() {
    let scripted = ScriptedStore::new(&[StoreBehaviour::Succeed], 1 << 20);
    let node = node(&scripted);
    let answers = submit_all(&node, vec![large_job(1 << 20)]);
    assert_eq!(answers, [CallerResponse::refused(Code::BodyTooLarge)]);
    assert!(scripted.txn_bytes.borrow().is_empty(), "it was sent");
}

/// Guards against refusing the jobs that share a transaction with one that the store rejects.
#[test]
fn jobs_are_stored_beside_one_that_the_store_rejects() {
    let scripted = ScriptedStore::new(&[StoreBehaviour::Succeed], 4_000);
    let node = node(&scripted);
    let mut jobs = vec![job(); 60];
    jobs[40] = large_job(5_000);
    let answers = submit_all(&node, jobs);
    let refused = |answer: &&CallerResponse| **answer != CallerResponse::Accepted;
    assert_eq!(answers.iter().filter(refused).count(), 1, "{answers:?}");
    assert_ne!(answers[40], CallerResponse::Accepted);
}

/// Guards against transactions that grow with the size of the jobs that wait.
#[test]
fn large_jobs_share_no_large_transaction() {
    let scripted = ScriptedStore::new(&[StoreBehaviour::Succeed], 1 << 20);
    let node = node(&scripted);
    let answers = submit_all(&node, vec![large_job(200_000); 40]);
    assert_eq!(answers, vec![CallerResponse::Accepted; 40]);
    let largest = scripted.txn_bytes.borrow().iter().max().copied();
    assert!(largest < Some(1 << 20), "{largest:?} bytes");
}
