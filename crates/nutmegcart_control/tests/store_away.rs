//! Submission of jobs while the store does not answer.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_control::Node;
use nutmegcart_control::caller_request::CallerRequest;
use nutmegcart_control::caller_request::CallerResponse;
use nutmegcart_control::job_service::JobService;
use nutmegcart_control::metrics::Metrics;
use nutmegcart_control::process;
use nutmegcart_jobs::Job;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::Queue;
use nutmegcart_jobs::QueueKey;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::layout::CellLayout;
use nutmegcart_model::Code;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::TxnReply;
use tokio::task::LocalSet;

/// Time for which a caller waits; longer than it takes to find out that the store is away.
const LIMIT: Duration = Duration::from_secs(3);

/// A store that answers only while it is present, and the transactions that it was sent.
#[derive(Default)]
struct SwitchedStore {
    present: Cell<bool>,
    transactions: Cell<usize>,
}

fn node(store: &Rc<SwitchedStore>) -> Rc<Node> {
    let mut platform = support::silent_platform();
    let (for_get, for_txn) = (store.clone(), store.clone());
    platform.store.get = Rc::new(move |_| {
        let store = for_get.clone();
        Box::pin(async move {
            if !store.present.get() {
                std::future::pending::<()>().await;
            }
            Ok(None)
        })
    });
    platform.store.txn = Rc::new(move |_| {
        for_txn.transactions.set(for_txn.transactions.get() + 1);
        let store = for_txn.clone();
        Box::pin(async move {
            if !store.present.get() {
                tokio::time::sleep(Duration::from_millis(900)).await;
                let reason = "no answer".into();
                return Err(StoreError::AnswerLost { reason });
            }
            Ok(TxnReply {
                committed: true,
                revision: 2,
                found: Vec::new(),
            })
        })
    });
    let node = Node::new(support::settings(), platform, Metrics::default(), 7);
    node.set_layout(CellLayout::default());
    node
}

fn submission(number: u64) -> CallerRequest {
    let queue = Queue {
        key: QueueKey::default(),
        pool: "gates".into(),
        priority: 0,
        attempts: 2,
        stretch: 1.6,
        target_ms: 600,
        ticket_timing: None,
    };
    let step = Step {
        count: 1,
        ..Step::default()
    };
    let job = Job {
        steps: vec![step],
        ..Job::default()
    };
    let id = JobId::parse(&format!("{number:016x}")).expect("sixteen digits");
    CallerRequest::Submit(Arc::new(queue), id, Box::new(job))
}

fn code(answer: &CallerResponse) -> Option<Code> {
    match answer {
        CallerResponse::Refused { code, .. } => Some(*code),
        _ => None,
    }
}

/// Guards against answers that leave it open whether a job is stored while the store is known to be
/// away: callers of jobs that must not run twice can't come again after these.
#[test]
fn jobs_are_refused_as_not_stored_while_the_store_is_away() {
    let store = Rc::new(SwitchedStore::default());
    let node = node(&store);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("runtime starts"), async {
        let service = JobService::default();
        process::start(&node, &service);
        let first = service.handle(&node, submission(1), LIMIT).await;
        assert_eq!(code(&first), Some(Code::AnswerTimeout), "its write is open");
        let sent = store.transactions.get();
        for number in 2..12 {
            let answer = service.handle(&node, submission(number), LIMIT).await;
            assert_eq!(code(&answer), Some(Code::StoreUnavailable), "{number}");
        }
        assert_eq!(store.transactions.get(), sent, "no write was sent");
        store.present.set(true);
        let mut answer = service.handle(&node, submission(12), LIMIT).await;
        while code(&answer) == Some(Code::StoreUnavailable) {
            tokio::time::sleep(Duration::from_millis(50)).await;
            answer = service.handle(&node, submission(12), LIMIT).await;
        }
        assert_eq!(answer, CallerResponse::Accepted);
    });
}

/// Guards against an unknown outcome for a job that waited for other transactions and was in none.
#[test]
fn job_that_was_in_no_transaction_is_refused_as_not_stored() {
    let store = Rc::new(SwitchedStore::default());
    let node = node(&store);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("runtime starts"), async {
        let service = JobService::default();
        let limit = Duration::from_millis(400);
        let submit = |number| {
            let (node, service) = (node.clone(), service.clone());
            tokio::task::spawn_local(async move {
                service.handle(&node, submission(number), limit).await
            })
        };
        let answers: Vec<_> = (1..=8).map(submit).collect();
        let mut refused = 0;
        for answer in answers {
            let answer = answer.await.expect("the task ends");
            refused += usize::from(code(&answer) == Some(Code::StoreUnavailable));
        }
        assert_eq!(
            refused,
            8 - store.transactions.get(),
            "each job in flight is alone in its own"
        );
    });
}

/// Guards against telling the caller of a repeated submission that its job is not stored while an earlier
/// write of it may still be carried out.
#[test]
fn repeated_job_with_an_open_write_is_not_refused_as_not_stored() {
    let store = Rc::new(SwitchedStore::default());
    let node = node(&store);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("runtime starts"), async {
        let service = JobService::default();
        process::start(&node, &service);
        let first = {
            let (node, service) = (node.clone(), service.clone());
            tokio::task::spawn_local(
                async move { service.handle(&node, submission(1), LIMIT).await },
            )
        };
        while !node.store_health.is_away() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let short = Duration::from_millis(300);
        let repeated = service.handle(&node, submission(1), short).await;
        assert_eq!(
            code(&repeated),
            Some(Code::AnswerTimeout),
            "it joins the open write"
        );
        let first = first.await.expect("the task ends");
        assert_eq!(code(&first), Some(Code::AnswerTimeout));
        let later = service.handle(&node, submission(1), short).await;
        assert_eq!(
            code(&later),
            Some(Code::AnswerTimeout),
            "its write may still be carried out"
        );
        let other = service.handle(&node, submission(2), short).await;
        assert_eq!(
            code(&other),
            Some(Code::StoreUnavailable),
            "it was never written"
        );
    });
}
