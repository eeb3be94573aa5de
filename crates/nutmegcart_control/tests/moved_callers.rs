//! Callers that ask or repeat their requests through another instance than the one that accepted
//! their job: whose store is away, that is of another data centre, or that has another
//! configuration.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_control::Node;
use nutmegcart_control::caller_request::CallerRequest;
use nutmegcart_control::caller_request::CallerResponse;
use nutmegcart_control::clock::now;
use nutmegcart_control::job_service::JobService;
use nutmegcart_control::keys;
use nutmegcart_control::keys::CellKeys;
use nutmegcart_control::metrics::Metrics;
use nutmegcart_control::node::OwnedCell;
use nutmegcart_control::node::OwnershipState;
use nutmegcart_control::owner_log::OwnerLog;
use nutmegcart_control::passing::transaction;
use nutmegcart_control::port::KeyStore;
use nutmegcart_control::port::Platform;
use nutmegcart_jobs::AcceptedJob;
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
use nutmegcart_jobs::record::decode;
use nutmegcart_model::Code;
use nutmegcart_platform::MemoryStore;
use nutmegcart_platform::Store;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;
use tokio::sync::Notify;
use tokio::task::LocalSet;

mod support;

macro_rules! cases {
    ($test:ident: $($name:ident => $argument:expr;)*) => {
        $(#[test] fn $name() { $test($argument); })*
    };
}

const LIMIT: Duration = Duration::from_millis(600);

/// What happens before an instance's call to the store, by the number of the call.
type BeforeCall = Rc<dyn Fn(usize)>;

/// An instance and the faults of its way to the store.
struct Instance {
    node: Rc<Node>,
    service: JobService,
    store_away: Rc<Cell<bool>>,
    before_call: Rc<RefCell<Option<BeforeCall>>>,
}

impl Instance {
    /// Starts an instance of a fleet with two cells.
    fn new(store: &Store) -> Self {
        let store_away = Rc::new(Cell::new(false));
        let before_call: Rc<RefCell<Option<BeforeCall>>> = Rc::default();
        let (away, before) = (store_away.clone(), before_call.clone());
        let calls = Cell::new(0);
        let begin = Rc::new(move || {
            calls.set(calls.get() + 1);
            if let Some(before) = &*before.borrow() {
                before(calls.get());
            }
            let unreachable = StoreError::Unreachable {
                reason: "scripted".into(),
            };
            if away.get() { Err(unreachable) } else { Ok(()) }
        });
        let (for_get, for_txn) = (store.clone(), store.clone());
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
        let node = Node::new(support::settings(), platform, Metrics::default(), 7);
        let machine = |number| (format!("m-{number}").into(), "gates".into());
        node.set_layout(CellLayout::divide(
            (0..2 * CELL_SIZE).map(machine).collect(),
        ));
        Self {
            node,
            service: JobService::default(),
            store_away,
            before_call,
        }
    }

    fn ask(&self, request: CallerRequest) -> CallerResponse {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let answer = self.service.handle(&self.node, request, LIMIT);
        LocalSet::new().block_on(&runtime.expect("the runtime starts"), answer)
    }

    fn submit(&self, queue: Queue, long_running: bool) -> CallerResponse {
        let job = Box::new(job(long_running));
        self.ask(CallerRequest::Submit(Arc::new(queue), id(), job))
    }

    fn show(&self) -> CallerResponse {
        self.ask(CallerRequest::Show(id()))
    }

    /// Makes the instance the owner of a cell, which has read its jobs from the store.
    fn own(&self, store: &Store, cell: u32) {
        let view = self.node.views()[cell as usize].clone();
        let settings = self.node.reloadable.get().jobs;
        let mut scheduler = Scheduler::new(settings, 1, now());
        let key = view.keys.job(&id());
        let found = store.range(&key).expect("the store answers");
        if let Some(item) = found.get(&key)
            && let Ok(JobRecord::Accepted(accepted)) = decode(&item.value)
        {
            scheduler.add_job(&id(), *accepted, item.modified, true, 0, now());
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

fn id() -> JobId {
    JobId::parse("00000000000000aa").expect("sixteen digits")
}

fn queue(pool: &str) -> Queue {
    Queue {
        key: QueueKey {
            host: "counts.example".into(),
            prefix: "/gates/".into(),
        },
        pool: pool.into(),
        priority: 0,
        attempts: 2,
        stretch: 1.6,
        target_ms: 600,
        ticket_timing: None,
    }
}

fn job(long_running: bool) -> Job {
    let step = Step {
        count: 1,
        long_running,
        ..Step::default()
    };
    Job {
        spec: "spec".into(),
        steps: vec![step],
        schedule: None,
    }
}

/// Returns the number of the cell that the job's identifier determines, and of the other one.
fn cells(instance: &Instance) -> (u32, u32) {
    let cells = instance.node.cells().expect("the layout is known");
    let own = cells.layout.cell_of_job(&id());
    (own, 1 - own)
}

/// Returns the cells that hold the job.
fn places(store: &Store) -> Vec<(u32, AcceptedJob)> {
    let found = [0, 1].map(|cell| {
        let key = CellKeys::new(cell).job(&id());
        let found = store.range(&key).expect("the store answers");
        let record = decode(&found.get(&key)?.value).expect("a record");
        let JobRecord::Accepted(accepted) = record else {
            return None;
        };
        Some((cell, *accepted))
    });
    found.into_iter().flatten().collect()
}

/// Passes the job from its own cell to the other one, as the owner of its cell does.
fn pass(store: &Store, (own, other): (u32, u32)) {
    let (own, target) = (CellKeys::new(own), CellKeys::new(other));
    let owner = Txn::default().put(own.owner(), b"owner".to_vec());
    let fence = store.txn(&owner).expect("the store answers").revision;
    let key = own.job(&id());
    let found = store.range(&key).expect("the store answers");
    let item = found.get(&key).expect("the job is stored");
    let Ok(JobRecord::Accepted(accepted)) = decode(&item.value) else {
        panic!("the job has not ended");
    };
    let pass = JobPass {
        job: id(),
        cell: other,
        revision: item.modified,
        accepted: *accepted,
    };
    let reply = store.txn(&transaction(&own, fence, &target, &pass));
    assert!(reply.expect("the store answers").committed);
}

/// Starts two instances on one store, and submits the job through the first.
fn submitted() -> (Store, Instance, Instance) {
    let store = MemoryStore::default().store();
    let (first, second) = (Instance::new(&store), Instance::new(&store));
    assert_eq!(
        first.submit(queue("gates"), false),
        CallerResponse::Accepted
    );
    (store, first, second)
}

/// Guards against a job that is told as missing, or that runs although its caller was told that it is
/// cancelled, because it passes to another cell before a call that a request makes to the store.
fn request_finds_a_job_that_passes(
    (request, call, answer): (CallerRequest, usize, CallerResponse),
) {
    let (store, _, second) = submitted();
    let cells = cells(&second);
    let passed = Rc::new(Cell::new(false));
    *second.before_call.borrow_mut() = Some(Rc::new({
        let (store, passed) = (store.clone(), passed.clone());
        move |number| {
            if number == call && !passed.replace(true) {
                pass(&store, cells);
            }
        }
    }));
    assert_eq!(second.ask(request), answer);
    assert!(passed.get());
    let open = usize::from(answer != CallerResponse::Cancelled);
    assert_eq!(places(&store).len(), open);
}

/// Guards against a job that is told as missing, or cannot be shown, by an instance that does not
/// reach the store although the owner of the job's cell knows it.
#[test]
fn job_in_another_cell_is_shown_without_the_store() {
    let (store, _, second) = submitted();
    let cells = cells(&second);
    pass(&store, cells);
    second.own(&store, cells.0);
    second.own(&store, cells.1);
    second.store_away.set(true);
    assert_eq!(second.show(), CallerResponse::State(JobState::Pending));
}

/// Guards against a job that is told as missing by an instance that reaches neither the store nor an
/// owner.
#[test]
fn job_is_not_missing_while_the_store_is_away() {
    let (_, _, second) = submitted();
    second.store_away.set(true);
    let unavailable = CallerResponse::unavailable(Code::StoreUnavailable);
    assert_eq!(second.show(), unavailable);
    second.store_away.set(false);
    assert_eq!(second.show(), CallerResponse::State(JobState::Pending));
}

/// Guards against a job that is told as missing because the note of its cell cannot be read.
#[test]
fn job_with_an_unreadable_note_of_its_cell_is_not_missing() {
    let (store, _, second) = submitted();
    pass(&store, cells(&second));
    let note = Txn::default().put(keys::job_location(&id()), b"x".to_vec());
    store.txn(&note).expect("the store answers");
    let unreadable = CallerResponse::refused(Code::JobUnreadable);
    assert_eq!(second.show(), unreadable);
    assert_eq!(second.ask(CallerRequest::Cancel(id())), unreadable);
}

/// Guards against a second job when a submission is repeated through an instance with another
/// configuration, or after the job has passed to another cell.
fn repeated_submission_is_the_same_job((passed, long_running): (bool, bool)) {
    let store = MemoryStore::default().store();
    let (first, second) = (Instance::new(&store), Instance::new(&store));
    let accepted = first.submit(queue("gates"), long_running);
    assert_eq!(accepted, CallerResponse::Accepted);
    if passed {
        pass(&store, cells(&first));
    }
    let before = places(&store);
    let moved = queue("boats");
    let again = second.submit(moved, long_running);
    assert_eq!(again, CallerResponse::Accepted);
    assert_eq!(places(&store), before);
    assert_eq!(before.len(), 1);
}

cases! { repeated_submission_is_the_same_job:
    submission_repeated_under_another_configuration_is_the_same_job => (false, false);
    submission_repeated_after_the_job_has_passed_is_the_same_job => (true, false);
    long_running_submission_repeated_under_another_configuration_is_the_same_job => (false, true);
}

cases! { request_finds_a_job_that_passes:
    job_that_passes_before_it_is_read_is_shown =>
        (CallerRequest::Show(id()), 1, CallerResponse::State(JobState::Pending));
    job_that_passes_before_it_is_read_is_cancelled =>
        (CallerRequest::Cancel(id()), 1, CallerResponse::Cancelled);
    job_that_passes_before_its_cancellation_is_written_is_cancelled =>
        (CallerRequest::Cancel(id()), 2, CallerResponse::Cancelled);
}
