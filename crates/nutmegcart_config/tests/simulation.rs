//! Stateful fuzzing of acceptance, propagation and repair against a simple oracle.
//!
//! Guards against an accepted configuration that is reverted, two configurations with the same
//! generation, operations that are applied twice, and refusals or conflicts for accepted changes.
//!
//! A backup is restored only when more than half of the instances are established with the
//! configuration in the store. An instance is replaced only while more than half of the instances
//! remain established without it. Section 5 of the design page states both as conditions.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use bolero::TypeGenerator;
use common::document;
use nutmegcart_config::ActiveConfig;
use nutmegcart_config::ChangeOutcome;
use nutmegcart_config::ChangeRequest;
use nutmegcart_config::ClusterState;
use nutmegcart_config::ConfigId;
use nutmegcart_config::ConfigReport;
use nutmegcart_config::ConfigWatcher;
use nutmegcart_config::Configuration;
use nutmegcart_config::Generation;
use nutmegcart_config::RepairRequest;
use nutmegcart_config::accept_change;
use nutmegcart_config::cluster_state::is_established;
use nutmegcart_config::load_config;
use nutmegcart_config::repair_store;
use nutmegcart_fakes::FaultyStore;
use nutmegcart_platform::memory::Backup;

/// Number of entry instances in the deployment.
const INSTANCES: usize = 5;
/// Number of runs; each has fewer than [`STEPS`] steps.
const RUNS: u64 = 1000;
const STEPS: usize = 200;
/// Events that must occur at least once over all runs.
const REQUIRED_EVENTS: [&str; 12] = [
    "accepted",
    "StillReferenced",
    "StoreReverted",
    "PeersUnheard",
    "conflict",
    "unavailable",
    "unknown",
    "repeated",
    "replaced",
    "restored",
    "repaired",
    "interrupted",
];
/// Number of documents that operators change.
const DOCUMENT_COUNT: u8 = 4;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// An operator submits a change of one document to an instance, with or without the generation
    /// that it is based on.
    Apply {
        at: u8,
        name: u8,
        based: bool,
        delete: bool,
    },
    /// An operator repeats an earlier change at any instance.
    Repeat { at: u8, which: u8 },
    /// An instance reads changes from the store.
    ReadStore { at: u8 },
    /// Every instance reads the store, then pulls changes from its neighbour.
    Round,
    /// An instance pulls changes from another one.
    PullFromPeer { at: u8, from: u8 },
    /// An instance loses or regains the connection to its peers.
    CutPeers { at: u8, odds: u8 },
    /// An instance loses or regains the connection to the store.
    CutStore { at: u8, odds: u8 },
    /// An instance is replaced by a new one without any state.
    Replace { at: u8 },
    /// The store becomes unreachable or reachable again.
    Outage { odds: u8 },
    /// The next answers of the store are lost.
    LoseAnswers { count: u8 },
    /// The next calls to the store are lost.
    LoseRequests { count: u8 },
    /// Reads of the store become stale or current again.
    Stale { odds: u8 },
    /// The store is backed up.
    Backup,
    /// The store is restored from the backup.
    Restore,
    /// An operator repairs the store from an instance.
    Repair { at: u8 },
}

struct Instance {
    active: ActiveConfig,
    watcher: ConfigWatcher,
    own: ConfigReport,
    cut_peers: bool,
    cut_store: bool,
    /// The active configuration at the previous check.
    last: ConfigId,
}

impl Instance {
    fn new(store: &FaultyStore) -> Self {
        Self {
            active: ActiveConfig::default(),
            watcher: ConfigWatcher::new(store.store()),
            own: ConfigReport::default(),
            cut_peers: false,
            cut_store: false,
            last: ConfigId::default(),
        }
    }
}

/// State from which the expected properties are checked, independent of the implementation.
#[derive(Default)]
struct ConfigOracle {
    /// Every configuration that was ever active or in the store, by lineage and generation.
    seen: BTreeMap<(String, Generation), Configuration>,
    /// Generation at which each operation was applied.
    applied: BTreeMap<String, Generation>,
}

impl ConfigOracle {
    fn record(&mut self, configuration: &Configuration) {
        let history = &configuration.history;
        let key = (history.lineage.clone(), history.generation);
        let first = self
            .seen
            .entry(key)
            .or_insert_with(|| configuration.clone());
        assert_eq!(
            first, configuration,
            "two configurations with one generation"
        );
        for operation in &history.operations {
            let first = self.applied.entry(operation.id.clone());
            let first = first.or_insert(operation.generation);
            assert_eq!(
                *first, operation.generation,
                "{} applied twice",
                operation.id
            );
        }
    }
}

struct World {
    store: FaultyStore,
    instances: Vec<Instance>,
    oracle: ConfigOracle,
    changes: Vec<ChangeRequest>,
    backup: Option<Backup>,
    counts: BTreeMap<&'static str, u32>,
}

impl World {
    fn new() -> Self {
        let store = FaultyStore::default();
        let instances = (0..INSTANCES).map(|_| Instance::new(&store)).collect();
        Self {
            store,
            instances,
            oracle: ConfigOracle::default(),
            changes: Vec::new(),
            backup: None,
            counts: BTreeMap::new(),
        }
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// Returns the reports of all peers that an instance can reach.
    fn peer_reports(&self, at: usize) -> Vec<Option<ConfigReport>> {
        let others = self
            .instances
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != at);
        let cut = self.instances[at].cut_peers;
        let reports =
            others.map(|(_, other)| (!cut && !other.cut_peers).then(|| other.own.clone()));
        reports.collect()
    }

    /// Runs calls of an instance to the store, which fail if the instance is cut off from it.
    fn with_partition<T>(&mut self, at: usize, run: impl FnOnce(&mut Self) -> T) -> T {
        let down = self.store.faults().down;
        let cut = self.instances[at].cut_store;
        self.store.set_faults(|faults| faults.down = down || cut);
        let result = run(self);
        self.store.set_faults(|faults| faults.down = down);
        result
    }

    fn cluster_state(&self, at: usize) -> ClusterState {
        let instance = &self.instances[at];
        let others = self.peer_reports(at);
        let loaded = instance.active.get();
        let lineage = format!("lineage-{}", self.changes.len());
        ClusterState::new(&loaded, &instance.own, &others).with_lineage(lineage)
    }

    fn submit(&mut self, at: usize, request: &ChangeRequest) {
        let cluster = self.cluster_state(at);
        let outcome = self.with_partition(at, |world| {
            accept_change(&world.store.store(), request, &cluster)
        });
        let current = load_config(&self.store.memory.store())
            .unwrap()
            .configuration;
        let id = &request.operation;
        self.count(match &outcome {
            ChangeOutcome::Accepted(_) if request.first_attempt => "accepted",
            ChangeOutcome::Accepted(_) => "repeated",
            ChangeOutcome::Refused(fault) => fault.code.label(),
            ChangeOutcome::Conflict(_) => "conflict",
            ChangeOutcome::Unavailable => "unavailable",
            ChangeOutcome::Unknown => "unknown",
            ChangeOutcome::Forgotten(_) => "forgotten",
        });
        match outcome {
            ChangeOutcome::Accepted(generation) => {
                let applied = self.oracle.applied.get(id).copied();
                let accepted = current.history.find(id).map(|done| done.generation);
                assert_eq!(
                    Some(generation),
                    applied.or(accepted),
                    "{id} accepted at the wrong generation"
                );
                self.read_store(at);
            }
            ChangeOutcome::Refused(_) | ChangeOutcome::Conflict(_) | ChangeOutcome::Unavailable => {
                let instances = self.instances.iter().map(|instance| instance.active.get());
                let mut histories: Vec<_> = instances
                    .map(|loaded| loaded.configuration.history.clone())
                    .collect();
                histories.push(current.history);
                let accepted = histories.iter().any(|history| history.find(id).is_some());
                assert!(
                    !accepted,
                    "{id} is accepted, but the outcome was {outcome:?}"
                );
            }
            ChangeOutcome::Unknown | ChangeOutcome::Forgotten(_) => {}
        }
    }

    fn read_store(&mut self, at: usize) {
        self.with_partition(at, |world| {
            let instance = &mut world.instances[at];
            let _ = instance
                .watcher
                .wait_and_read(&instance.active, Duration::ZERO);
        });
    }

    fn pull_from_peer(&mut self, at: usize, from: usize) {
        let (to, source) = (&self.instances[at], &self.instances[from]);
        if to.cut_peers || source.cut_peers {
            return;
        }
        let generation = to.active.get().configuration.generation();
        let changes = source.active.get().configuration.delta_since(generation);
        to.active.offer_delta(&changes, "peer");
    }

    fn step(&mut self, step: Step) {
        let index = |at: u8| usize::from(at) % INSTANCES;
        // Three in four of these steps end a fault, so that progress is possible most of the time.
        let fault = |odds: u8| odds.is_multiple_of(4);
        match step {
            Step::Apply {
                at,
                name,
                based,
                delete,
            } => {
                let request = self.change(index(at), name % DOCUMENT_COUNT, based, delete);
                self.changes.push(request.clone());
                self.submit(index(at), &request);
            }
            Step::Repeat { at, which } => {
                if let Some(earlier) = self
                    .changes
                    .iter()
                    .rev()
                    .nth(usize::from(which % 8))
                    .cloned()
                {
                    let repeated = ChangeRequest {
                        first_attempt: false,
                        ..earlier
                    };
                    self.submit(index(at), &repeated);
                }
            }
            Step::ReadStore { at } => self.read_store(index(at)),
            Step::Round => {
                for at in 0..INSTANCES {
                    self.read_store(at);
                    self.pull_from_peer(at, (at + 1) % INSTANCES);
                }
            }
            Step::PullFromPeer { at, from } => self.pull_from_peer(index(at), index(from)),
            Step::CutPeers { at, odds } => self.instances[index(at)].cut_peers = fault(odds),
            Step::CutStore { at, odds } => self.instances[index(at)].cut_store = fault(odds),
            Step::Replace { at } => self.replace(index(at)),
            Step::Outage { odds } => self.store.set_faults(|faults| faults.down = fault(odds)),
            Step::LoseAnswers { count } => {
                self.store
                    .set_faults(|faults| faults.lost_responses = u32::from(count % 4));
            }
            Step::LoseRequests { count } => {
                self.store
                    .set_faults(|faults| faults.lost_requests = u32::from(count % 4));
            }
            Step::Stale { odds } => self.store.serve_stale_reads(fault(odds)),
            Step::Backup => self.backup = Some(self.store.memory.backup()),
            Step::Restore => self.restore(),
            Step::Repair { at } => {
                let cluster = self.cluster_state(index(at));
                let request = RepairRequest {
                    operation: format!("repair-{}", self.changes.len()),
                    discard: false,
                };
                let outcome = self.with_partition(index(at), |world| {
                    repair_store(&world.store.store(), &request, &cluster)
                });
                let stored = load_config(&self.store.memory.store()).unwrap();
                if matches!(outcome, ChangeOutcome::Accepted(_)) {
                    self.count("repaired");
                } else if stored.head.repair.is_some() {
                    self.count("interrupted");
                }
            }
        }
        self.check();
    }

    fn change(&self, at: usize, name: u8, based: bool, delete: bool) -> ChangeRequest {
        let serial = self.changes.len();
        let generation = self.instances[at].active.get().configuration.generation();
        // Schema versions are mixed, and the field `new` is unknown to all of them.
        let version = 1 + serial % 2;
        let text = match name {
            0 => format!(
                r#"{{"schema":1,"kind":"budget","name":"p0","pool":"p1","unavailable":{serial}}}"#
            ),
            _ => format!(
                r#"{{"schema":{version},"kind":"pool","name":"p{name}","service":"p{name}","size":{serial},"new":1}}"#
            ),
        };
        let kind = if name == 0 { "budget" } else { "pool" };
        ChangeRequest {
            operation: format!("op-{serial}"),
            documents: if delete {
                Vec::new()
            } else {
                vec![document(&text)]
            },
            deletions: delete
                .then(|| format!("{kind}/p{name}"))
                .into_iter()
                .collect(),
            based_on: based.then_some(generation),
            since: Generation(0),
            first_attempt: true,
        }
    }

    fn replace(&mut self, at: usize) {
        let others = self
            .instances
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != at);
        let known = others.filter(|(_, other)| other.own.established).count();
        if known * 2 > INSTANCES {
            self.instances[at] = Instance::new(&self.store);
            self.count("replaced");
        }
    }

    fn restore(&mut self) {
        let Some(backup) = self.backup.clone() else {
            return;
        };
        let current = load_config(&self.store.memory.store())
            .unwrap()
            .head
            .history
            .config_id();
        let have = |instance: &&Instance| {
            instance.own.established && instance.own.config_id.generation >= current.generation
        };
        if self.instances.iter().filter(have).count() * 2 > INSTANCES {
            self.store.memory.restore(&backup);
            self.count("restored");
        }
    }

    fn check(&mut self) {
        let stored = load_config(&self.store.memory.store()).unwrap();
        if stored.head.repair.is_none() {
            self.oracle.record(&stored.configuration);
        }
        for at in 0..INSTANCES {
            let others = self.peer_reports(at);
            let instance = &mut self.instances[at];
            let configuration = &instance.active.get().configuration;
            let config_id = configuration.history.config_id();
            let last = &instance.last;
            assert!(
                config_id.generation >= last.generation,
                "{last:?} reverted to {config_id:?}"
            );
            let same = last.lineage.is_empty() || last.lineage == config_id.lineage;
            assert!(same, "{last:?} replaced by {config_id:?}");
            instance.last = config_id.clone();
            instance.own.config_id = config_id;
            instance.own.established = is_established(&instance.own, &others);
            self.oracle.record(configuration);
        }
    }
}

#[test]
fn configurations_never_revert_fork_or_repeat() {
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    let generator = bolero::produce::<Vec<Step>>().with().len(0..STEPS);
    nutmegcart_fuzz::for_each(RUNS, &generator, |steps| {
        let mut world = World::new();
        for &step in steps {
            world.step(step);
        }
        for (what, count) in world.counts {
            *counts.entry(what).or_default() += count;
        }
    });
    // The test shows nothing about an event that never occurs.
    for what in REQUIRED_EVENTS {
        assert!(
            counts.contains_key(what),
            "{what} never occurred: {counts:?}"
        );
    }
}
