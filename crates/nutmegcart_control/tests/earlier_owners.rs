//! Answers of an instance to the question whether an earlier ownership of a cell has ended.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use nutmegcart_control::Node;
use nutmegcart_control::NodeSettings;
use nutmegcart_control::job_service::JobService;
use nutmegcart_control::metrics::Metrics;
use nutmegcart_control::node::Acquired;
use nutmegcart_control::node::OwnedCell;
use nutmegcart_control::node::OwnershipState;
use nutmegcart_control::owner_log::OwnerLog;
use nutmegcart_control::peer;
use nutmegcart_control::peer::PeerRequest;
use nutmegcart_control::peer::PeerResponse;
use nutmegcart_jobs::Scheduler;
use nutmegcart_jobs::layout::CellLayout;
use tokio::sync::Notify;
use tokio::task::LocalSet;

mod support;

/// Incarnation of the instance that is asked.
const INCARNATION: u64 = 7;
/// Fencing token of its ownership that has ended.
const ENDED: u64 = 10;
/// Fencing token of its ownership that goes on.
const PRESENT: u64 = 20;
/// Timeout of a question; no test waits for it.
const LIMIT: Duration = Duration::from_secs(20);

fn node(name: &str, peer: SocketAddr, incarnation: u64) -> Rc<Node> {
    let settings = NodeSettings {
        name: name.into(),
        peer,
        ..support::settings()
    };
    let node = Node::new(
        settings,
        support::silent_platform(),
        Metrics::default(),
        incarnation,
    );
    node.set_layout(CellLayout::default());
    node
}

/// Makes the instance the owner of cell 0.
fn own(node: &Rc<Node>, fence: u64) -> Rc<OwnedCell> {
    let view = node.views()[0].clone();
    let settings = node.reloadable.get().jobs;
    let revision = i64::try_from(fence).expect("a small number");
    let owned = Rc::new(OwnedCell {
        view: view.clone(),
        scheduler: RefCell::new(Scheduler::new(settings, revision, Duration::ZERO)),
        fence,
        lease: 1,
        renewed_at: Cell::new(Duration::ZERO),
        log: OwnerLog::default(),
        state: OwnershipState::default(),
        pass_wanted: Notify::new(),
        write_wanted: Notify::new(),
        ended: Notify::new(),
    });
    *view.owned.borrow_mut() = Some(owned.clone());
    owned
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Runs the future on one thread, as the process does.
fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), future)
}

/// Sends the question until the server listens.
async fn ask(address: SocketAddr, request: &PeerRequest) -> peer::Result<PeerResponse> {
    let asking = node("entry-2", address, INCARNATION + 1);
    loop {
        match peer::send(&asking, address, request, LIMIT).await {
            Err(peer::PeerError::Unreachable { .. }) => {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            answer => return answer,
        }
    }
}

fn question(cell: u32, fence: u64, name: &str, incarnation: u64) -> PeerRequest {
    PeerRequest::HasEnded(cell, fence, name.into(), incarnation)
}

/// Returns the answer of an instance after the set-up.
fn answer_after(request: &PeerRequest, set_up: impl FnOnce(&Rc<Node>)) -> bool {
    let answer = block_on(async {
        let address = free_address();
        let asked = node("entry-1", address, INCARNATION);
        set_up(&asked);
        tokio::task::spawn_local(peer::serve(asked, JobService::default(), address));
        ask(address, request).await
    });
    match answer {
        Ok(PeerResponse::HasEnded(ended)) => ended,
        other => panic!("another answer: {other:?}"),
    }
}

/// Asks an instance that owns cell 0 for the second time.
fn answer_is((request, ended): (PeerRequest, bool)) {
    let answer = answer_after(&request, |asked| {
        own(asked, ENDED).end_ownership("test");
        own(asked, PRESENT);
    });
    assert_eq!(answer, ended);
}

macro_rules! cases {
    ($test:ident: $($(#[$doc:meta])* $name:ident => $argument:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $test($argument); })*
    };
}

cases! { answer_is:
    /// Guards against a wait for an ownership that has ended.
    ended_ownership_is_confirmed => (question(0, ENDED, "entry-1", INCARNATION), true);
    /// Guards against the confirmation of an ownership that goes on.
    present_ownership_is_not_confirmed => (question(0, PRESENT, "entry-1", INCARNATION), false);
    /// Guards against a wait for an ownership that never begins, because the answer of the store that
    /// granted it was lost.
    ownership_that_never_begins_is_confirmed => (question(0, 15, "entry-1", INCARNATION), true);
    /// Guards against the confirmation of an ownership of another cell.
    other_cell_is_not_confirmed => (question(3, ENDED, "entry-1", INCARNATION), false);
    /// Guards against a wait for a process that another incarnation has replaced at its address.
    other_incarnation_has_ended => (question(0, PRESENT, "entry-1", INCARNATION - 1), true);
    /// Guards against an instance that answers for another one whose address it was given.
    other_instance_is_not_confirmed => (question(0, ENDED, "entry-3", INCARNATION - 1), false);
}

/// Guards against the confirmation of an ownership whose key was written, and that begins when the
/// answer of the store arrives.
#[test]
fn ownership_that_is_being_acquired_is_not_confirmed() {
    let question = question(0, PRESENT, "entry-1", INCARNATION);
    let acquiring = |asked: &Rc<Node>| std::mem::forget(asked.views()[0].begin_acquisition());
    assert!(!answer_after(&question, acquiring));
    let failed = |asked: &Rc<Node>| drop(asked.views()[0].begin_acquisition());
    assert!(answer_after(&question, failed));
}

/// Guards against the confirmation of an ownership that was handed to an instance, and whose tasks have
/// not started yet.
#[test]
fn ownership_that_was_handed_over_is_not_confirmed() {
    let answer = |fence| {
        answer_after(&question(0, fence, "entry-1", INCARNATION), |asked| {
            *asked.views()[0].handoff.borrow_mut() = Some(Acquired {
                fence: i64::try_from(PRESENT).expect("a small number"),
                lease: 1,
                sent: Duration::ZERO,
                log: OwnerLog::default(),
            });
        })
    };
    assert!(!answer(PRESENT));
    assert!(answer(ENDED));
}

/// Guards against a confirmation by an instance of a version that does not know the question.
#[test]
fn older_version_does_not_confirm() {
    let answer = block_on(async {
        let address = free_address();
        let listener = tokio::net::TcpListener::bind(address).await.expect("free");
        let (_stop, stopped) = tokio::sync::watch::channel(false);
        let refuse = |_| async {
            let mut response = Response::new(Full::<Bytes>::default());
            *response.status_mut() = hyper::StatusCode::BAD_REQUEST;
            response
        };
        let limits = nutmegcart_http::ServerLimits::default();
        tokio::task::spawn_local(nutmegcart_http::serve(listener, limits, stopped, refuse));
        ask(address, &question(0, ENDED, "entry-1", INCARNATION)).await
    });
    assert!(
        matches!(answer, Err(peer::PeerError::NoResponse { .. })),
        "{answer:?}"
    );
}
