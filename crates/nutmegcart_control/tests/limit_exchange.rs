//! Transactions that move allocations of organisations' limits.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use nutmegcart_control::Node;
use nutmegcart_control::clock::now;
use nutmegcart_control::keys;
use nutmegcart_control::keys::CellKeys;
use nutmegcart_control::limit_exchange;
use nutmegcart_control::limit_exchange::LimitRecord;
use nutmegcart_control::limit_exchange::transaction;
use nutmegcart_control::metrics::Metrics;
use nutmegcart_control::node::OwnedCell;
use nutmegcart_control::node::OwnershipState;
use nutmegcart_control::owner_log::OwnerLog;
use nutmegcart_control::peer;
use nutmegcart_control::peer::PeerRequest;
use nutmegcart_control::peer::PeerResponse;
use nutmegcart_control::port::CallerLimits;
use nutmegcart_control::port::KeyStore;
use nutmegcart_control::port::OrganisationConfig;
use nutmegcart_control::port::Platform;
use nutmegcart_control::port::PlatformConfig;
use nutmegcart_control::port::RangeReply;
use nutmegcart_fleet::Resources;
use nutmegcart_jobs::Organisation;
use nutmegcart_jobs::Scheduler;
use nutmegcart_jobs::layout::CELL_SIZE;
use nutmegcart_jobs::layout::CellLayout;
use nutmegcart_jobs::limit_moves::Gift;
use nutmegcart_jobs::limit_moves::LimitRequest;
use nutmegcart_jobs::limit_moves::StoredAllocations;
use nutmegcart_jobs::record::decode;
use nutmegcart_platform::MemoryStore;
use nutmegcart_platform::Txn;
use tokio::sync::Notify;
use tokio::task::LocalSet;

mod support;

/// Time limit of a test, long enough for a heavily loaded machine.
const LIMIT: Duration = Duration::from_secs(20);

/// Defines a named test for each argument of a test function.
macro_rules! cases {
    ($test:ident: $($(#[$doc:meta])* $name:ident => $argument:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $test($argument); })*
    };
}

#[derive(Clone, Copy)]
struct Case {
    /// Revisions by which fencing token and compared revision are wrong.
    wrong_fence: i64,
    wrong_base: i64,
    /// Whether allocations are stored before.
    stored: bool,
    committed: bool,
}

fn moves(case: Case) {
    let memory = MemoryStore::default();
    let store = memory.store();
    let own = CellKeys::new(2);
    let owner = Txn::default().put(own.owner(), b"owner".to_vec());
    let fence = store.txn(&owner).expect("an answer").revision;
    let mut gift = Gift {
        organisation: "ferries".into(),
        base: 0,
        cells: vec![250_000, 400_000, 100_000, 250_000],
        moved: 150_000,
    };
    if case.stored {
        let first = transaction(&own, fence, &gift);
        gift.base = store.txn(&first).expect("an answer").revision;
    }
    gift.base += case.wrong_base;
    gift.cells = vec![300_000, 400_000, 50_000, 250_000];
    let txn = transaction(&own, fence + case.wrong_fence, &gift);
    let reply = store.txn(&txn).expect("an answer");
    assert_eq!(reply.committed, case.committed);
    if !case.committed {
        let found: Vec<&str> = reply.found.iter().map(|item| &*item.key).collect();
        assert!(found.contains(&&*own.owner()), "{found:?}");
        return;
    }
    let key = keys::limit(&gift.organisation);
    let found = store.range(&key).expect("an answer");
    let item = found.get(&key).expect("a value");
    let record: LimitRecord = decode(&item.value).expect("it decodes");
    assert_eq!(record.cells, gift.cells);
    assert_eq!(record.organisation, gift.organisation);
}

cases! { moves:
    first_move_is_stored => Case { wrong_fence: 0, wrong_base: 0, stored: false, committed: true };
    later_move_is_stored => Case { wrong_fence: 0, wrong_base: 0, stored: true, committed: true };
    /// Guards against a late transaction of a former owner.
    former_owner_moves_nothing => Case {
        wrong_fence: -1, wrong_base: 0, stored: true, committed: false,
    };
    /// Guards against two donors that overwrite each other's move.
    move_of_older_allocations_is_not_stored => Case {
        wrong_fence: 0, wrong_base: -1, stored: true, committed: false,
    };
}

/// Guards against two organisations that share a key, and keys that the store does not accept.
#[test]
fn odd_names_have_keys_of_their_own() {
    let long = "x".repeat(300);
    let names = ["ferries", "a/b", "a.b", "~", "", "ä", &long, &long[1..]];
    let keys: Vec<String> = names
        .iter()
        .map(|name| keys::limit(&(*name).into()))
        .collect();
    for (index, key) in keys.iter().enumerate() {
        assert!(key.len() <= 200 && key.is_ascii(), "{key}");
        assert!(!keys[..index].contains(key), "{key}");
    }
}

/// A process that owns both cells of a fleet, on a store in memory.
struct Instance {
    node: Rc<Node>,
    cells: Vec<Rc<OwnedCell>>,
    memory: MemoryStore,
    reads: Rc<Cell<usize>>,
}

impl Instance {
    fn new() -> Self {
        let memory = MemoryStore::default();
        let (for_range, for_txn) = (memory.store(), memory.store());
        let reads = Rc::new(Cell::new(0));
        let silent = support::silent_platform();
        let counted = reads.clone();
        let platform = Platform {
            store: KeyStore {
                range: Rc::new(move |prefix: String| {
                    counted.update(|count| count + 1);
                    let found = for_range.range(&prefix);
                    let reply = found.map(|found| RangeReply {
                        items: found.entries.into_iter().collect(),
                        revision: found.revision,
                    });
                    Box::pin(async move { reply })
                }),
                txn: Rc::new(move |txn: Txn| {
                    let reply = for_txn.txn(&txn);
                    Box::pin(async move { reply })
                }),
                ..silent.store
            },
            ..silent
        };
        let mut settings = support::settings();
        settings.reloadable.jobs.owner_validity = LIMIT;
        let node = Node::new(settings, platform, Metrics::default(), 7);
        let machine = |number| (format!("m-{number}").into(), "gates".into());
        let machines = (0..2 * CELL_SIZE).map(machine).collect();
        node.set_layout(CellLayout::divide(machines));
        let owned = node.views().into_iter().map(|view| {
            let txn = Txn::default().put(view.keys.owner(), b"owner".to_vec());
            let fence = memory.store().txn(&txn).expect("an answer").revision;
            let mut scheduler = Scheduler::new(node.reloadable.get().jobs, fence, now());
            scheduler.set_cells(view.number, 2);
            let owned = Rc::new(OwnedCell {
                view: view.clone(),
                scheduler: RefCell::new(scheduler),
                fence: u64::try_from(fence).expect("a revision"),
                lease: 1,
                renewed_at: Cell::new(now()),
                log: OwnerLog::default(),
                state: OwnershipState::default(),
                pass_wanted: Notify::new(),
                write_wanted: Notify::new(),
                ended: Notify::new(),
            });
            owned.state.loaded.set(true);
            *view.owned.borrow_mut() = Some(owned.clone());
            owned
        });
        let cells = owned.collect();
        Self {
            node,
            cells,
            memory,
            reads,
        }
    }

    fn configure(&self, organisations: Option<Vec<OrganisationConfig>>) {
        self.node.configure(PlatformConfig {
            version: 1,
            queues: Vec::new(),
            callers: Vec::new(),
            organisations,
            pools: Vec::new(),
            limits: CallerLimits {
                head_timeout: Duration::from_secs(3),
                head_bytes: 1,
                body_bytes: 1,
                idle_timeout: LIMIT,
            },
        });
    }

    /// Runs passes of both owners until neither needs anything of other cells or the store.
    async fn settle(&self) {
        for owned in &self.cells {
            let run = limit_exchange::run(self.node.clone(), owned.clone());
            tokio::task::spawn_local(run);
        }
        let settled = async {
            loop {
                let mut wants = false;
                for owned in &self.cells {
                    let mut scheduler = owned.scheduler.borrow_mut();
                    scheduler.run_pass(now());
                    if scheduler.wants_limits() {
                        owned.state.limits.wanted.notify_one();
                        wants = true;
                    }
                }
                if !wants {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        let settled = tokio::time::timeout(LIMIT, settled).await;
        settled.expect("allocations are read, and uses compared");
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), test);
}

/// Guards against an owner that never starts anything of an organisation because it has not read the
/// allocations or heard of the other owners' use, and against a gift that is not stored.
#[test]
fn new_owners_read_allocations_and_give() {
    let instance = Instance::new();
    let limit = Resources::new(8_000, 0, 0);
    instance.configure(Some(vec![OrganisationConfig {
        organisation: Organisation::new("ferries".into(), 1.0, limit),
        keys: Vec::new(),
    }]));
    run(async {
        instance.settle().await;
        let request = LimitRequest {
            organisation: "ferries".into(),
            cell: 0,
            wanted: 200_000,
            since_ms: 0,
            known: StoredAllocations::equal(2),
        };
        let answer = peer::ask_owner(&instance.node, &PeerRequest::Limit(1, request)).await;
        let Ok(PeerResponse::Limit(stored)) = answer else {
            panic!("{answer:?}");
        };
        assert_eq!(stored.cells, [700_000, 300_000]);
        let key = keys::limit(&"ferries".into());
        let found = instance.memory.store().range(&key).expect("an answer");
        let item = found.get(&key).expect("a value");
        assert_eq!(item.modified, stored.revision);
        let record: LimitRecord = decode(&item.value).expect("it decodes");
        assert_eq!(record.cells, stored.cells);
    });
    assert_eq!(instance.reads.get(), 2);
}

/// Guards against calls to the store of deployments without limits.
#[test]
fn deployment_without_limits_reads_nothing() {
    let instance = Instance::new();
    instance.configure(None);
    run(instance.settle());
    assert_eq!(instance.reads.get(), 0);
}
