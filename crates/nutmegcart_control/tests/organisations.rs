//! Jobs of an organisation, which callers of others may not show, cancel or overwrite.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_control::Node;
use nutmegcart_control::NodeSettings;
use nutmegcart_control::access::Access;
use nutmegcart_control::access::Caller;
use nutmegcart_control::caller_request::CallerRequest;
use nutmegcart_control::caller_request::CallerResponse;
use nutmegcart_control::clock::now;
use nutmegcart_control::job_service::JobService;
use nutmegcart_control::keys::CellKeys;
use nutmegcart_control::member::MemberRecord;
use nutmegcart_control::metrics::Metrics;
use nutmegcart_control::node::OwnedCell;
use nutmegcart_control::node::OwnerRecord;
use nutmegcart_control::node::OwnershipState;
use nutmegcart_control::owner_log::OwnerLog;
use nutmegcart_control::passing::transaction;
use nutmegcart_control::peer;
use nutmegcart_control::port::KeyStore;
use nutmegcart_control::port::Platform;
use nutmegcart_jobs::FinalState;
use nutmegcart_jobs::Job;
use nutmegcart_jobs::JobId;
use nutmegcart_jobs::JobRecord;
use nutmegcart_jobs::JobState;
use nutmegcart_jobs::Queue;
use nutmegcart_jobs::QueueKey;
use nutmegcart_jobs::Scheduler;
use nutmegcart_jobs::Step;
use nutmegcart_jobs::layout::CELL_SIZE;
use nutmegcart_jobs::layout::CellLayout;
use nutmegcart_jobs::passing::JobPass;
use nutmegcart_jobs::record::decode_job;
use nutmegcart_model::Code;
use nutmegcart_platform::MemoryStore;
use nutmegcart_platform::Store;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;
use tokio::sync::Notify;
use tokio::task::LocalSet;

mod support;

const LIMIT: Duration = Duration::from_secs(5);
const HOLDER: &str = "ferries";

/// What has become of the job when the callers ask.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Accepted,
    Ended,
    Passed,
}

/// How the instance learns of the job.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    Store,
    OwnMemory,
    Peers,
}

/// Starts an instance of a fleet with two cells, which serves peers.
fn instance(store: &Store, away: bool) -> (Rc<Node>, JobService) {
    let (node, service, _) = counting_instance(store, away);
    (node, service)
}

/// Like [`instance`], with the number of its calls to the store.
fn counting_instance(store: &Store, away: bool) -> (Rc<Node>, JobService, Rc<Cell<usize>>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let peer = listener.local_addr().expect("an address");
    drop(listener);
    let (for_get, for_txn) = (store.clone(), store.clone());
    let calls = Rc::new(Cell::new(0));
    let count = calls.clone();
    let begin = move || {
        count.set(count.get() + 1);
        let unreachable = StoreError::Unreachable {
            reason: "scripted".into(),
        };
        if away { Err(unreachable) } else { Ok(()) }
    };
    let begin_txn = begin.clone();
    let silent = support::silent_platform();
    let platform = Platform {
        store: KeyStore {
            get: Rc::new(move |key: String| {
                let read = || for_get.range(&key).map(|found| found.get(&key).cloned());
                let answer = begin().and_then(|()| read());
                Box::pin(async move { answer })
            }),
            txn: Rc::new(move |txn: Txn| {
                let answer = begin_txn().and_then(|()| for_txn.txn(&txn));
                Box::pin(async move { answer })
            }),
            ..silent.store
        },
        ..silent
    };
    let settings = NodeSettings {
        peer,
        ..support::settings()
    };
    let node = Node::new(
        settings,
        platform,
        Metrics::default(),
        u64::from(peer.port()),
    );
    let machine = |number| (format!("m-{number}").into(), "gates".into());
    let machines = (0..2 * CELL_SIZE).map(machine).collect();
    node.set_layout(CellLayout::divide(machines));
    let service = JobService::default();
    tokio::task::spawn_local(peer::serve(node.clone(), service.clone(), peer));
    (node, service, calls)
}

/// Makes an instance the owner of both cells, with their jobs in memory.
fn own_cells(node: &Node, store: &Store) {
    for view in node.views() {
        let mut scheduler = Scheduler::new(node.reloadable.get().jobs, 1, now());
        let found = store.range(&view.keys.prefix).expect("the store answers");
        for item in &found.entries {
            let Some(id) = view.keys.job_of(&item.key) else {
                continue;
            };
            match decode_job(&item.value).expect("it decodes") {
                JobRecord::Accepted(accepted) => {
                    scheduler.add_job(&id, *accepted, item.modified, true, 0, now());
                }
                JobRecord::Ended {
                    how, organisation, ..
                } => scheduler.record_stored_end(&id, how, organisation, now()),
                JobRecord::Tombstone { organisation, .. } => {
                    scheduler.record_tombstone(&id, organisation, now());
                }
            }
        }
        let owned = Rc::new(OwnedCell {
            view: view.clone(),
            scheduler: RefCell::new(scheduler),
            fence: 1,
            lease: 1,
            renewed_at: Cell::new(now()),
            log: OwnerLog::default(),
            state: OwnershipState::default(),
            pass_wanted: Notify::new(),
            write_wanted: Notify::new(),
            ended: Notify::new(),
        });
        owned.state.loaded.set(true);
        *view.owned.borrow_mut() = Some(owned);
    }
}

/// Tells an instance of a peer that owns both cells.
fn introduce(node: &Node, address: SocketAddr) {
    let member = MemberRecord {
        peer: address,
        cores: 0.25,
        state_format: 0,
    };
    node.members.borrow_mut().insert("entry-2".into(), member);
    for cell in 0..2 {
        let owner = OwnerRecord {
            name: "entry-2".into(),
            incarnation: 1,
            peer: address,
            lease: 1,
        };
        node.owners.borrow_mut().insert(cell, owner);
    }
}

fn id() -> JobId {
    JobId::parse("00000000000000aa").expect("sixteen digits")
}

fn submission() -> CallerRequest {
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

fn public() -> Caller {
    Caller {
        organisation: None,
        access: Access::Public,
    }
}

/// Moves the job to the other cell, as its owner does.
fn pass(node: &Node, store: &Store) {
    let cells = node.cells().expect("the layout is known");
    let own = cells.layout.cell_of_job(&id());
    let keys = [own, 1 - own].map(CellKeys::new);
    let found = store.range(&keys[0].job(&id())).expect("the store answers");
    let item = found.entries.first().expect("the job is stored");
    let Ok(JobRecord::Accepted(accepted)) = decode_job(&item.value) else {
        panic!("the job is accepted");
    };
    let claim = Txn::default().put(keys[0].owner(), Vec::new());
    let fence = store.txn(&claim).expect("the store answers").revision;
    let pass = JobPass {
        job: id(),
        cell: 1 - own,
        revision: item.modified,
        accepted: *accepted,
    };
    let passed = store.txn(&transaction(&keys[0], fence, &keys[1], &pass));
    assert!(passed.expect("the store answers").committed);
}

/// Submits a job of an organisation and asks about it as other callers.
fn isolation((stage, way): (Stage, Way)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let test = async {
        let store = MemoryStore::default().store();
        let (owner, service) = instance(&store, false);
        let ask = async |caller: &Caller, request| {
            service.handle_for(&owner, caller, request, LIMIT).await
        };
        let holder = member(HOLDER);
        let accepted = ask(&holder, submission()).await;
        assert_eq!(accepted, CallerResponse::Accepted);
        match stage {
            Stage::Accepted => {}
            Stage::Ended => {
                let cancelled = ask(&holder, CallerRequest::Cancel(id())).await;
                assert_eq!(cancelled, CallerResponse::Cancelled);
            }
            Stage::Passed => pass(&owner, &store),
        }
        if way != Way::Store {
            own_cells(&owner, &store);
        }
        let (node, service) = match way {
            Way::Store | Way::OwnMemory => (owner.clone(), service.clone()),
            Way::Peers => {
                let (node, service) = instance(&store, true);
                introduce(&node, owner.settings.peer);
                node.record_store_call(false);
                (node, service)
            }
        };
        let ask = async |caller: &Caller, request| {
            service.handle_for(&node, caller, request, LIMIT).await
        };
        let refused = CallerResponse::refused(Code::OtherOrganisation);
        for other in [member("locks"), public()] {
            let answers = [
                ask(&other, CallerRequest::Show(id())).await,
                ask(&other, CallerRequest::Cancel(id())).await,
                ask(&other, submission()).await,
            ];
            assert_eq!(answers, [(); 3].map(|()| refused.clone()), "{other:?}");
        }
        let shown = match stage {
            Stage::Accepted | Stage::Passed => JobState::Pending,
            Stage::Ended => JobState::Ended(FinalState::Cancelled),
        };
        for same in [holder, Caller::default()] {
            let answers = [
                ask(&same, CallerRequest::Show(id())).await,
                ask(&same, submission()).await,
            ];
            let expected = [CallerResponse::State(shown), CallerResponse::Accepted];
            assert_eq!(answers, expected, "{same:?}");
        }
        let cancelled = ask(&member(HOLDER), CallerRequest::Cancel(id())).await;
        assert_eq!(cancelled, CallerResponse::Cancelled);
    };
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), test);
}

macro_rules! cases {
    ($test:ident: $($name:ident => $argument:expr;)*) => {
        $(#[test] fn $name() { $test($argument); })*
    };
}

// Guards against callers that read, cancel or take over the jobs of another organisation, wherever the
// record of the job is.
cases! { isolation:
    accepted_job_in_the_store => (Stage::Accepted, Way::Store);
    accepted_job_in_the_owners_memory => (Stage::Accepted, Way::OwnMemory);
    accepted_job_through_peers => (Stage::Accepted, Way::Peers);
    ended_job_in_the_store => (Stage::Ended, Way::Store);
    ended_job_in_the_owners_memory => (Stage::Ended, Way::OwnMemory);
    ended_job_through_peers => (Stage::Ended, Way::Peers);
    passed_job_in_the_store => (Stage::Passed, Way::Store);
    passed_job_in_the_owners_memory => (Stage::Passed, Way::OwnMemory);
    passed_job_through_peers => (Stage::Passed, Way::Peers);
}

/// Guards against a job that is accepted for an organisation because another one's job with the same
/// identifier is just being stored.
#[test]
fn concurrent_submissions_of_two_organisations_store_one_job() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let test = async {
        let store = MemoryStore::default().store();
        let (node, service) = instance(&store, false);
        let (first, second) = (member(HOLDER), member("locks"));
        let answers = tokio::join!(
            service.handle_for(&node, &first, submission(), LIMIT),
            service.handle_for(&node, &second, submission(), LIMIT),
        );
        let refused = CallerResponse::refused(Code::OtherOrganisation);
        assert_eq!(answers, (CallerResponse::Accepted, refused));
    };
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), test);
}

/// Guards against jobs of versions without organisations that callers can no longer reach.
#[test]
fn jobs_without_an_organisation_are_open_to_all() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let test = async {
        let store = MemoryStore::default().store();
        let (node, service) = instance(&store, false);
        let first = service.handle(&node, submission(), LIMIT).await;
        assert_eq!(first, CallerResponse::Accepted);
        for caller in [member(HOLDER), public()] {
            let answers = (
                service
                    .handle_for(&node, &caller, submission(), LIMIT)
                    .await,
                service
                    .handle_for(&node, &caller, CallerRequest::Show(id()), LIMIT)
                    .await,
            );
            let state = CallerResponse::State(JobState::Pending);
            assert_eq!(answers, (CallerResponse::Accepted, state));
        }
    };
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), test);
}

/// Guards against calls to the store that organisations add: none for a job in the owner's memory, one
/// read to show another, one transaction to submit.
#[test]
fn organisations_add_no_calls_to_the_store() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let test = async {
        for caller in [Caller::default(), member(HOLDER), member("locks")] {
            let store = MemoryStore::default().store();
            let (node, service, calls) = counting_instance(&store, false);
            let mut counts = Vec::new();
            let mut ask = async |caller: &Caller, request| {
                let before = calls.get();
                service.handle_for(&node, caller, request, LIMIT).await;
                counts.push(calls.get() - before);
            };
            ask(&member(HOLDER), submission()).await;
            ask(&caller, submission()).await;
            ask(&caller, CallerRequest::Show(id())).await;
            own_cells(&node, &store);
            ask(&caller, CallerRequest::Show(id())).await;
            assert_eq!(counts, [1, 1, 1, 0], "{caller:?}");
        }
    };
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), test);
}
