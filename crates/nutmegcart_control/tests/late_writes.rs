//! Cancelling of a job whose write the store carries out later, without having answered it.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_control::Node;
use nutmegcart_control::access::Access;
use nutmegcart_control::access::Caller;
use nutmegcart_control::caller_request::CallerRequest;
use nutmegcart_control::caller_request::CallerResponse;
use nutmegcart_control::job_service::JobService;
use nutmegcart_control::metrics::Metrics;
use nutmegcart_control::port::KeyStore;
use nutmegcart_control::port::Platform;
use nutmegcart_jobs::FinalState;
use nutmegcart_jobs::Job;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobState;
use nutmegcart_jobs::Queue;
use nutmegcart_jobs::QueueKey;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::layout::CELL_SIZE;
use nutmegcart_jobs::layout::CellLayout;
use nutmegcart_model::Code;
use nutmegcart_platform::MemoryStore;
use nutmegcart_platform::Store;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;
use tokio::task::LocalSet;

mod support;

const LIMIT: Duration = Duration::from_millis(600);

/// Transactions that the store has received and not yet carried out.
type LateTxns = Rc<RefCell<Vec<Txn>>>;

/// Creates an instance in whose calls the store answers no transaction and carries none out, as long as
/// `late` is given.
fn instance(store: &Store, cells: usize, late: Option<LateTxns>) -> Rc<Node> {
    let (for_get, for_txn) = (store.clone(), store.clone());
    let silent = support::silent_platform();
    let platform = Platform {
        store: KeyStore {
            get: Rc::new(move |key: String| {
                let found = for_get.range(&key).map(|found| found.get(&key).cloned());
                Box::pin(async move { found })
            }),
            txn: Rc::new(move |txn: Txn| {
                let answer = if let Some(late) = &late {
                    late.borrow_mut().push(txn);
                    Err(StoreError::AnswerLost {
                        reason: "scripted".into(),
                    })
                } else {
                    for_txn.txn(&txn)
                };
                Box::pin(async move { answer })
            }),
            ..silent.store
        },
        ..silent
    };
    let node = Node::new(support::settings(), platform, Metrics::default(), 7);
    let machine = |number| (format!("m-{number}").into(), "gates".into());
    let machines = (0..cells * CELL_SIZE).map(machine).collect();
    node.set_layout(if cells == 1 {
        CellLayout::default()
    } else {
        CellLayout::divide(machines)
    });
    node
}

fn id() -> JobId {
    JobId::parse("00000000000000aa").expect("sixteen digits")
}

fn submission(long_running: bool) -> CallerRequest {
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
        long_running,
        ..Step::default()
    };
    let job = Job {
        spec: "spec".into(),
        steps: vec![step],
        schedule: None,
    };
    CallerRequest::Submit(Arc::new(queue), id(), Box::new(job))
}

fn member(name: &str) -> Caller {
    Caller {
        organisation: Some(name.into()),
        access: Access::Organisation(name.into()),
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), test);
}

async fn ask(node: &Rc<Node>, caller: &Caller, request: CallerRequest) -> CallerResponse {
    let service = JobService::default();
    service.handle_for(node, caller, request, LIMIT).await
}

/// Submits a job whose write is not answered, cancels it at another instance, and lets the store carry
/// the write out.
fn cancelled_job_is_not_stored_late((cells, long_running): (usize, bool)) {
    run(async {
        let store = MemoryStore::default().store();
        let late = LateTxns::default();
        let accepting = instance(&store, cells, Some(late.clone()));
        let other = instance(&store, cells, None);
        let caller = Caller::default();
        let submitted = ask(&accepting, &caller, submission(long_running)).await;
        assert_eq!(submitted, CallerResponse::refused(Code::AnswerTimeout));
        let cancelled = ask(&other, &caller, CallerRequest::Cancel(id())).await;
        assert_eq!(cancelled, CallerResponse::NotFound);
        let late = late.take();
        assert!(!late.is_empty(), "the instance has sent a write");
        for txn in &late {
            let reply = store.txn(txn).expect("the store answers");
            assert!(!reply.committed, "the cancelled job was stored");
        }
        let shown = ask(&other, &caller, CallerRequest::Show(id())).await;
        assert_eq!(shown, CallerResponse::NotFound);
    });
}

macro_rules! cases {
    ($test:ident: $($(#[$doc:meta])* $name:ident => $argument:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $test($argument); })*
    };
}

// Guards against a job that runs although its cancelling was acknowledged, because its write was under
// way.
cases! { cancelled_job_is_not_stored_late:
    cancelled_job_is_not_stored_late_in_one_cell => (1, false);
    cancelled_job_is_not_stored_late_in_two_cells => (2, false);
    cancelled_long_running_job_is_not_stored_late => (2, true);
}

/// Guards against a repeated submission that runs a cancelled job, or is told that no such job exists
/// after its acceptance.
#[test]
fn repeated_submission_of_a_cancelled_job_is_shown_as_cancelled() {
    run(async {
        let store = MemoryStore::default().store();
        let node = instance(&store, 2, None);
        let caller = Caller::default();
        for _ in 0..2 {
            let cancelled = ask(&node, &caller, CallerRequest::Cancel(id())).await;
            assert_eq!(cancelled, CallerResponse::NotFound);
        }
        for _ in 0..2 {
            let repeated = ask(&node, &caller, submission(false)).await;
            assert_eq!(repeated, CallerResponse::Accepted);
            let shown = ask(&node, &caller, CallerRequest::Show(id())).await;
            let cancelled = JobState::Ended(FinalState::Cancelled);
            assert_eq!(shown, CallerResponse::State(cancelled));
        }
        let cancelled = ask(&node, &caller, CallerRequest::Cancel(id())).await;
        assert_eq!(cancelled, CallerResponse::Cancelled);
    });
}

/// Guards against an organisation that is told that its job is accepted, while a tombstone of another
/// one keeps it from running.
#[test]
fn tombstone_belongs_to_the_organisation_of_its_caller() {
    run(async {
        let store = MemoryStore::default().store();
        let node = instance(&store, 1, None);
        let (holder, other) = (member("ferries"), member("locks"));
        let cancelled = ask(&node, &holder, CallerRequest::Cancel(id())).await;
        assert_eq!(cancelled, CallerResponse::NotFound);
        let refused = CallerResponse::refused(Code::OtherOrganisation);
        let submitted = ask(&node, &other, submission(false)).await;
        assert_eq!(submitted, refused);
        let submitted = ask(&node, &holder, submission(false)).await;
        assert_eq!(submitted, CallerResponse::Accepted);
        let shown = ask(&node, &holder, CallerRequest::Show(id())).await;
        let cancelled = JobState::Ended(FinalState::Cancelled);
        assert_eq!(shown, CallerResponse::State(cancelled));
    });
}
