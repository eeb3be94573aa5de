//! Stateful fuzzing: no sequence of faults leads to a second run or to a false "not run".

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

/// Entry instances: six, of which the roster lists five at first.
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
    Network(Network),
    Fault(Fault),
    Roster(RosterAction),
    Recover,
    Advance { step: u8 },
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Network {
    Lose { message: u8 },
    Duplicate { message: u8 },
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Fault {
    Kill { node: u8 },
    KillOwner { back: u8 },
    Pause { node: u8 },
    PauseOwner { back: u8 },
    Cut { nodes: u8 },
    StoreAway,
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum RosterAction {
    Sync { node: u8 },
    Gossip { from: u8, to: u8 },
    Wake { node: u8 },
    Restart { node: u8 },
    Remove { by: u8, node: u8 },
    HandOver { node: u8 },
    Leave { node: u8 },
    LeaveGracefully { node: u8 },
    Mend,
    StoreBack,
}

/// Steps of time around the limits: heartbeat, lease, permit, half the retention, barrier.
const STEPS: [u64; 8] = [1, 1, 11, 11, 31, 301, 661, 1_250];

fn pick(value: u8, count: usize) -> Option<usize> {
    (count > 0).then(|| usize::from(value) % count)
}

/// Chooses among the latest eight.
fn latest(value: u8, count: usize) -> Option<usize> {
    pick(value, count.min(8)).map(|back| count - 1 - back)
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
        if let Some(index) = latest(back, self.operations.len()) {
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
                if let Some(index) = pick(message, world.in_flight()) {
                    world.deliver(index);
                }
            }
            Action::Progress { back } | Action::Dispatch { back } => {
                if let Some(index) = latest(back, world.attempts()) {
                    world.progress(index);
                }
            }
            Action::Refuse { back, cancel } => {
                if let Some(index) = latest(back, world.attempts()) {
                    world.refuse(index, cancel);
                }
            }
            Action::TimeOut { back } => {
                if let Some(index) = latest(back, world.requests()) {
                    world.time_out(index);
                }
            }
            Action::Settle => world.settle(),
            Action::SyncAll => (0..NODES).for_each(|node| world.sync(node)),
            Action::Network(action) => self.disturb(action),
            Action::Fault(fault) => self.fail(fault),
            Action::Roster(action) => self.change(action),
            Action::Recover => world.recover(),
            Action::Advance { step } => {
                world.now += Duration::from_secs(STEPS[usize::from(step) % STEPS.len()]);
            }
        }
    }

    fn disturb(&mut self, action: Network) {
        let world = &mut self.world;
        let (Network::Lose { message } | Network::Duplicate { message }) = action;
        let Some(index) = pick(message, world.in_flight()) else {
            return;
        };
        match action {
            Network::Lose { .. } => world.lose(index),
            Network::Duplicate { .. } => world.duplicate(index),
        }
    }

    fn owner(&self, back: u8) -> Option<usize> {
        let index = latest(back, self.operations.len())?;
        let owner = match &self.operations[index].0 {
            RequestedOperation::Ticketed(operation) => operation.ticket.incarnation,
            RequestedOperation::Plain(OperationId::Key(key)) => self.world.roster.pair(key)?.owner,
            RequestedOperation::Plain(_) => return None,
        };
        usize::try_from(owner.0 % 100).ok()
    }

    fn fail(&mut self, fault: Fault) {
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
            Fault::Cut { nodes } => {
                for (index, node) in world.nodes.iter_mut().enumerate() {
                    node.cut = nodes >> index & 1 == 1;
                }
            }
            Fault::StoreAway => world.store = false,
        }
    }

    fn change(&mut self, action: RosterAction) {
        let world = &mut self.world;
        match action {
            RosterAction::Sync { node: index } => world.sync(node(index)),
            RosterAction::Gossip { from, to } => world.gossip(node(from), node(to)),
            RosterAction::Wake { node: index } => world.nodes[node(index)].paused = false,
            RosterAction::Restart { node: index } => world.restart(node(index)),
            RosterAction::Remove { by, node: gone } => world.remove(node(by), node(gone)),
            RosterAction::HandOver { node: index } => world.hand_over(node(index)),
            RosterAction::Leave { node: index } => world.leave(node(index)),
            RosterAction::LeaveGracefully { node: index } => {
                world.sync(node(index));
                world.hand_over(node(index));
                world.leave(node(index));
            }
            RosterAction::Mend => world.nodes.iter_mut().for_each(|node| node.cut = false),
            RosterAction::StoreBack => world.store = true,
        }
    }
}

fn node(index: u8) -> usize {
    usize::from(index) % NODES
}

/// Sessions of a run, each from its own fixed seed.
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

/// A seed that failed in a longer run: the report of a refusal reached the witness late, the owner
/// repeated "not run" from the witness's record and ran the key when that witness was gone.
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
    // A model that seldom gets as far as these replies would prove nothing.
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
