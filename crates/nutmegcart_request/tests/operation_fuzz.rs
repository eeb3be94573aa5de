//! Stateful fuzz tests: no sequence of faults leads to a second run or to a false "not run".

mod operation_model;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use bolero::TypeGenerator;
use bolero::produce;
use nutmegcart_model::CallerName;
use nutmegcart_model::Code;
use nutmegcart_request::OperationId;
use nutmegcart_request::RequestedOperation;
use nutmegcart_request::ledger::LedgerLimits;

use crate::operation_model::World;

/// Number of entry instances; the initial roster contains all but the last.
const NODES: usize = 6;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Action {
    Plain { entry: u8, key: u8, body: u8 },
    PlainSettled { entry: u8, key: u8 },
    Ticketed { owner: u8, witness: u8, entry: u8 },
    Retry { entry: u8, back: u8 },
    RetrySettled { entry: u8, back: u8 },
    Deliver { message: u8 },
    Progress { back: u8 },
    Dispatch { back: u8 },
    Refuse { back: u8, cancel: bool },
    TimeOut { back: u8 },
    Settle,
    SyncAll,
    Network(NetworkFault),
    Fault(Fault),
    Roster(RosterAction),
    Recover,
    Advance { step: u8 },
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum NetworkFault {
    Lose { message: u8 },
    Duplicate { message: u8 },
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Fault {
    Kill { node: u8 },
    KillOwner { back: u8 },
    Pause { node: u8 },
    PauseOwner { back: u8 },
    Partition { nodes: u8 },
    StoreDown,
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum RosterAction {
    Sync { node: u8 },
    Gossip { from: u8, to: u8 },
    Resume { node: u8 },
    Restart { node: u8 },
    Remove { by: u8, node: u8 },
    HandOver { node: u8 },
    Leave { node: u8 },
    LeaveGracefully { node: u8 },
    HealPartition,
    StoreUp,
}

/// Time steps just above the limits: heartbeat, lease, permit, half of the retention time, the
/// retention time, and barrier.
const TIME_STEPS_S: [u64; 8] = [1, 1, 11, 11, 31, 301, 661, 1_250];

fn index_of(value: u8, count: usize) -> Option<usize> {
    (count > 0).then(|| usize::from(value) % count)
}

/// Returns the index of one of the latest eight items.
fn recent_index(value: u8, count: usize) -> Option<usize> {
    index_of(value, count.min(8)).map(|back| count - 1 - back)
}

struct Session {
    world: World,
    operations: Vec<(RequestedOperation, u64)>,
}

impl Session {
    fn request(&mut self, entry: u8, operation: RequestedOperation, body: u64) {
        let entry = usize::from(entry) % NODES;
        self.world.request(entry, &operation, body);
        self.operations.push((operation, body));
    }

    fn plain(&mut self, entry: u8, key: u8, body: u8) {
        let key = OperationId::key(
            &CallerName::from("c"),
            ["a", "b", "c"][usize::from(key) % 3],
        );
        // One body in eight differs from the others under the same key.
        let body = u64::from(body % 8 == 7);
        self.request(entry, RequestedOperation::Plain(key.unwrap()), body);
    }

    fn retry(&mut self, entry: u8, back: u8) {
        if let Some(index) = recent_index(back, self.operations.len()) {
            let (operation, body) = self.operations[index].clone();
            self.request(entry, operation, body);
        }
    }

    fn apply(&mut self, action: Action) {
        let world = &mut self.world;
        match action {
            Action::Plain { entry, key, body } => self.plain(entry, key, body),
            Action::PlainSettled { entry, key } => {
                self.plain(entry, key, 0);
                self.world.settle();
            }
            Action::Ticketed {
                owner,
                witness,
                entry,
            } => {
                let other = Some(node(witness)).filter(|witness| *witness != node(owner));
                let number = 1 + u64::from(witness % 3);
                if let Some(operation) = world.ticket(node(owner), other, number) {
                    self.request(entry, operation, 0);
                }
            }
            Action::Retry { entry, back } => self.retry(entry, back),
            Action::RetrySettled { entry, back } => {
                self.retry(entry, back);
                self.world.settle();
                if let Some(last) = self.world.requests().checked_sub(1) {
                    self.world.time_out(last);
                }
                self.world.settle();
            }
            Action::Deliver { message } => {
                if let Some(index) = index_of(message, world.in_flight()) {
                    world.deliver(index);
                }
            }
            Action::Progress { back } | Action::Dispatch { back } => {
                if let Some(index) = recent_index(back, world.attempts()) {
                    world.advance_attempt(index);
                }
            }
            Action::Refuse { back, cancel } => {
                if let Some(index) = recent_index(back, world.attempts()) {
                    world.refuse(index, cancel);
                }
            }
            Action::TimeOut { back } => {
                if let Some(index) = recent_index(back, world.requests()) {
                    world.time_out(index);
                }
            }
            Action::Settle => world.settle(),
            Action::SyncAll => (0..NODES).for_each(|node| world.sync(node)),
            Action::Network(action) => self.apply_network_fault(action),
            Action::Fault(fault) => self.apply_fault(fault),
            Action::Roster(action) => self.apply_roster_action(action),
            Action::Recover => world.recover(),
            Action::Advance { step } => {
                world.now +=
                    Duration::from_secs(TIME_STEPS_S[usize::from(step) % TIME_STEPS_S.len()]);
            }
        }
    }

    fn apply_network_fault(&mut self, action: NetworkFault) {
        let world = &mut self.world;
        let (NetworkFault::Lose { message } | NetworkFault::Duplicate { message }) = action;
        let Some(index) = index_of(message, world.in_flight()) else {
            return;
        };
        match action {
            NetworkFault::Lose { .. } => world.drop_message(index),
            NetworkFault::Duplicate { .. } => world.duplicate_message(index),
        }
    }

    fn owner(&self, back: u8) -> Option<usize> {
        let index = recent_index(back, self.operations.len())?;
        let owner = match &self.operations[index].0 {
            RequestedOperation::Ticketed(operation) => operation.ticket.incarnation,
            RequestedOperation::Plain(OperationId::Key(key)) => self.world.roster.pair(key)?.owner,
            RequestedOperation::Plain(_) => return None,
        };
        usize::try_from(owner.0 % 100).ok()
    }

    fn apply_fault(&mut self, fault: Fault) {
        let owner = match fault {
            Fault::KillOwner { back } | Fault::PauseOwner { back } => self.owner(back),
            _ => Some(0),
        };
        let Some(owner) = owner else {
            return;
        };
        let world = &mut self.world;
        match fault {
            Fault::Kill { node: index } => world.kill(node(index)),
            Fault::KillOwner { .. } => world.kill(owner),
            Fault::Pause { node: index } => world.nodes[node(index)].paused = true,
            Fault::PauseOwner { .. } => world.nodes[owner].paused = true,
            Fault::Partition { nodes } => {
                for (index, node) in world.nodes.iter_mut().enumerate() {
                    node.partitioned = nodes >> index & 1 == 1;
                }
            }
            Fault::StoreDown => world.store_available = false,
        }
    }

    fn apply_roster_action(&mut self, action: RosterAction) {
        let world = &mut self.world;
        match action {
            RosterAction::Sync { node: index } => world.sync(node(index)),
            RosterAction::Gossip { from, to } => world.gossip(node(from), node(to)),
            RosterAction::Resume { node: index } => world.nodes[node(index)].paused = false,
            RosterAction::Restart { node: index } => world.restart(node(index)),
            RosterAction::Remove { by, node: gone } => world.remove(node(by), node(gone)),
            RosterAction::HandOver { node: index } => world.hand_over(node(index)),
            RosterAction::Leave { node: index } => world.leave(node(index)),
            RosterAction::LeaveGracefully { node: index } => {
                world.sync(node(index));
                world.hand_over(node(index));
                world.leave(node(index));
            }
            RosterAction::HealPartition => world
                .nodes
                .iter_mut()
                .for_each(|node| node.partitioned = false),
            RosterAction::StoreUp => world.store_available = true,
        }
    }
}

fn node(index: u8) -> usize {
    usize::from(index) % NODES
}

/// Number of sessions per test, each with its own fixed seed.
const SESSIONS: u64 = 2_000;

#[derive(Default)]
struct Totals {
    dispatches: usize,
    replies: BTreeMap<u16, usize>,
}

fn run(actions: &[Action], limits: LedgerLimits) -> Session {
    let mut session = Session {
        world: World::new(NODES, NODES - 1, limits),
        operations: Vec::new(),
    };
    for action in actions {
        session.apply(*action);
    }
    session
}

/// Regression test for a seed found by a longer run.
///
/// The report of a refusal reached the witness late. The owner repeated "not run" from the record
/// of the witness, and ran the key after the witness was gone.
#[test]
fn late_report_of_a_refusal_is_not_followed_by_a_run() {
    let actions = produce::<Vec<Action>>().with().len(20..250_usize);
    nutmegcart_fuzz::replay(419_182, &actions, |actions| {
        run(actions, LedgerLimits::default());
    });
}

fn fuzz(limits: LedgerLimits, totals: &Mutex<Totals>) {
    let actions = produce::<Vec<Action>>().with().len(20..250_usize);
    nutmegcart_fuzz::for_each(SESSIONS, &actions, |actions| {
        let session = run(actions, limits);
        let mut totals = totals.lock().unwrap();
        totals.dispatches += session.world.oracle.dispatches;
        for (code, count) in &session.world.oracle.replies {
            *totals.replies.entry(*code).or_default() += count;
        }
    });
}

#[test]
fn faults_with_a_full_ledger_never_cause_a_second_run_or_a_false_not_run() {
    // Room for about three records.
    let limits = LedgerLimits {
        memory_bytes: 1_200,
        ..LedgerLimits::default()
    };
    let totals = Mutex::default();
    fuzz(limits, &totals);
    let totals: Totals = totals.into_inner().unwrap();
    let dropped = totals.replies.get(&Code::AnswerDropped.number());
    assert!(dropped.is_some_and(|count| *count >= 20), "{dropped:?}");
}

#[test]
fn faults_never_cause_a_second_run_or_a_false_not_run() {
    let totals = Mutex::default();
    fuzz(LedgerLimits::default(), &totals);
    let totals: Totals = totals.into_inner().unwrap();
    println!(
        "{} dispatches, replies {:?}",
        totals.dispatches, totals.replies
    );
    // The test only proves something if the sessions reach these replies often enough.
    for code in [
        Code::Ok,
        Code::QueueFull,
        Code::OperationSealed,
        Code::OperationUnknown,
        Code::OperationRunning,
        Code::TakeoverBarrier,
        Code::KeyReused,
        Code::WitnessUnreachable,
        Code::OwnerUnreachable,
    ] {
        let count = totals.replies.get(&code.number()).copied().unwrap_or(0);
        assert!(count >= 20, "only {count} replies {code}");
    }
}
