//! Simulation of entry instances, their network and the store, with an oracle that counts runs.

// Each test binary uses a part of the model.
#![allow(dead_code)]

mod message;
mod oracle;

use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::Code;
use nutmegcart_model::Incarnation;
use nutmegcart_request::Coordinator;
use nutmegcart_request::IntentReply;
use nutmegcart_request::Member;
use nutmegcart_request::NextStep;
use nutmegcart_request::OperationAttempt;
use nutmegcart_request::OutcomeReport;
use nutmegcart_request::RequestedOperation;
use nutmegcart_request::Resolution;
use nutmegcart_request::Roster;
use nutmegcart_request::RosterVersion;
use nutmegcart_request::TicketedOperation;
use nutmegcart_request::ledger::LedgerLimits;
use nutmegcart_request::ledger::OperationOutcome;

use self::message::Envelope;
use self::message::Message;
use self::message::describe;
use self::oracle::Oracle;
use self::oracle::answer_of;

/// Time to live of a member's lease in the store.
pub const STORE_LEASE_TTL: Duration = Duration::from_secs(10);

/// A request of a caller at the entry instance that received it.
#[derive(Clone, Debug)]
struct Request {
    operation: RequestedOperation,
    fingerprint: u64,
    entry: usize,
    incarnation: Incarnation,
    sealing: bool,
    reply: Option<Resolution>,
}

/// Phase of an attempt: it waits for its witness, then for its dispatch, then for the runner.
#[derive(Clone, Debug, PartialEq)]
enum Phase {
    AwaitingWitness,
    AwaitingDispatch,
    Running,
    Finished,
}

#[derive(Clone, Debug)]
struct TrackedAttempt {
    node: usize,
    incarnation: Incarnation,
    request: usize,
    attempt: OperationAttempt,
    phase: Phase,
    /// Entry instance that forwarded the request and gets the reply.
    origin: Option<usize>,
}

/// An entry instance.
pub struct Node {
    /// Coordinator under test.
    pub coordinator: Coordinator,
    /// Whether the process exists.
    pub alive: bool,
    /// Whether the process is suspended.
    pub paused: bool,
    /// Whether it is partitioned from the store and from all nodes that are not.
    pub partitioned: bool,
    last_sync: Duration,
    handed_over: Option<RosterVersion>,
}

/// All entry instances, the network and the store.
pub struct World {
    /// Time since the start of the simulation.
    pub now: Duration,
    /// Entry instances by index.
    pub nodes: Vec<Node>,
    /// Whether the store is reachable.
    pub store_available: bool,
    /// The roster in the store.
    pub roster: Roster,
    /// Checks runs and replies.
    pub oracle: Oracle,
    /// Lines of a recorded session, or `None` without recording.
    pub trace: Option<Vec<String>>,
    network: Vec<Envelope>,
    requests: Vec<Request>,
    attempts: Vec<TrackedAttempt>,
    limits: LedgerLimits,
    last_run: u64,
}

fn member(node: usize, run: u64) -> Member {
    Member {
        centre: ["suva", "nadi"][node % 2].into(),
        instance: format!("e{node}").into(),
        incarnation: Incarnation(run * 100 + node as u64),
        address: format!("{node}"),
    }
}

impl World {
    /// Creates entry instances of which the first `listed` are in the roster.
    pub fn new(count: usize, listed: usize, limits: LedgerLimits) -> Self {
        let members: Vec<Member> = (0..count).map(|node| member(node, 1)).collect();
        let roster = Roster::initial(members[..listed].to_vec(), 0);
        let nodes = members.into_iter().map(|member| Node {
            coordinator: Coordinator::new(member, limits),
            alive: true,
            paused: false,
            partitioned: false,
            last_sync: Duration::ZERO,
            handed_over: None,
        });
        let mut world = Self {
            now: Duration::ZERO,
            nodes: nodes.collect(),
            store_available: true,
            roster,
            oracle: Oracle::default(),
            trace: None,
            network: Vec::new(),
            requests: Vec::new(),
            attempts: Vec::new(),
            limits,
            last_run: 1,
        };
        (0..count).for_each(|node| world.sync(node));
        world
    }

    /// Adds a line to a recorded session.
    pub fn note(&mut self, line: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:>5} s  {}", self.now.as_secs(), line()));
        }
    }

    fn incarnation(&self, node: usize) -> Incarnation {
        self.nodes[node].coordinator.me().incarnation
    }

    /// Returns whether the process is alive and not suspended.
    pub fn is_running(&self, node: usize) -> bool {
        self.nodes[node].alive && !self.nodes[node].paused
    }

    fn reaches_store(&self, node: usize) -> bool {
        self.store_available && self.is_running(node) && !self.nodes[node].partitioned
    }

    fn send(&mut self, from: usize, to: Incarnation, message: Message) {
        let to = usize::try_from(to.0 % 100).unwrap();
        self.network.push(Envelope { from, to, message });
    }

    /// Reads the roster from the store and renews the store lease.
    pub fn sync(&mut self, node: usize) {
        if self.reaches_store(node) {
            let node = &mut self.nodes[node];
            let view = node.coordinator.view_mut();
            view.offer(&self.roster, self.now);
            view.confirm(self.roster.version, self.now);
            node.coordinator.remove_expired(self.now);
            node.last_sync = self.now;
        }
    }

    /// Sends the roster to a peer with a heartbeat.
    pub fn gossip(&mut self, from: usize, to: usize) {
        if self.is_running(from)
            && self.is_running(to)
            && self.nodes[from].partitioned == self.nodes[to].partitioned
        {
            let roster = self.nodes[from].coordinator.view().roster().clone();
            self.nodes[to]
                .coordinator
                .view_mut()
                .offer(&roster, self.now);
        }
    }

    /// Removes a member from the roster if its store lease has expired.
    pub fn remove(&mut self, by: usize, node: usize) {
        let expired = self.now > self.nodes[node].last_sync + STORE_LEASE_TTL;
        let gone = self.incarnation(node);
        if expired {
            self.change(by, |roster, nonce| {
                roster.without_member(gone, false, nonce)
            });
        }
    }

    /// Adds an entry instance to the roster.
    pub fn join(&mut self, node: usize) {
        let me = self.nodes[node].coordinator.me().clone();
        self.change(node, |roster, nonce| roster.with_member(me.clone(), nonce));
    }

    fn change(&mut self, by: usize, next: impl Fn(&Roster, u64) -> Option<Roster>) {
        self.sync(by);
        let view = self.nodes[by].coordinator.view();
        let nonce = self.roster.version.nonce + 1;
        if self.reaches_store(by)
            && let Some(next) = next(&view.pruned(self.now), nonce)
        {
            self.roster = next;
            self.sync(by);
        }
    }

    /// Ends a process as a crash would.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
    }

    /// Restarts a dead entry instance if its former incarnation is no longer on the roster.
    pub fn restart(&mut self, node: usize) {
        let former = self.incarnation(node);
        if self.nodes[node].alive || self.roster.member(former).is_some() {
            return;
        }
        self.last_run += 1;
        let member = member(node, self.last_run);
        self.nodes[node] = Node {
            coordinator: Coordinator::new(member, self.limits),
            alive: true,
            paused: false,
            partitioned: self.nodes[node].partitioned,
            last_sync: self.now,
            handed_over: None,
        };
        self.join(node);
    }

    /// Freezes an entry instance and sends its ledger to the next owners and witnesses.
    pub fn hand_over(&mut self, node: usize) {
        if !self.is_running(node) {
            return;
        }
        self.nodes[node].coordinator.freeze();
        let handover = self.nodes[node].coordinator.handover(self.now);
        let mut complete = true;
        for (to, records) in handover.records {
            let target = usize::try_from(to.0 % 100).unwrap();
            let connected = self.is_running(target)
                && self.nodes[target].partitioned == self.nodes[node].partitioned;
            let coordinator = &mut self.nodes[target].coordinator;
            complete &= connected && coordinator.on_handover(to, records, self.now);
        }
        self.nodes[node].handed_over = complete.then_some(handover.version);
    }

    /// Leaves the roster after a handover and ends the process.
    pub fn leave(&mut self, node: usize) {
        let me = self.incarnation(node);
        let version = self.roster.version;
        if self.nodes[node].handed_over == Some(version) {
            self.change(node, |roster, nonce| roster.without_member(me, true, nonce));
            if self.roster.member(me).is_none() {
                self.kill(node);
            }
        }
    }

    /// Issues a ticket with the witness if the entry instance is running.
    pub fn ticket(
        &mut self,
        node: usize,
        witness: Option<usize>,
        number: u64,
    ) -> Option<RequestedOperation> {
        let witness = witness.map(|witness| self.incarnation(witness));
        self.is_running(node).then(|| {
            let ticket = self.nodes[node].coordinator.issue_ticket(witness);
            RequestedOperation::Ticketed(TicketedOperation { ticket, number })
        })
    }

    /// Sends a request or a retry to an entry instance and returns its index.
    pub fn request(
        &mut self,
        entry: usize,
        operation: &RequestedOperation,
        fingerprint: u64,
    ) -> usize {
        let request = self.requests.len();
        self.requests.push(Request {
            operation: operation.clone(),
            fingerprint,
            entry,
            incarnation: self.incarnation(entry),
            sealing: false,
            reply: None,
        });
        if self.is_running(entry) {
            self.note(|| format!("caller -> e{entry}"));
            self.submit(entry, request, None);
        }
        request
    }

    /// Returns the reply to a request.
    pub fn reply(&self, request: usize) -> Option<&Resolution> {
        self.requests[request].reply.as_ref()
    }

    /// Returns the code of the reply to a request.
    pub fn code(&self, request: usize) -> Option<Code> {
        self.reply(request).map(Resolution::code)
    }

    fn submit(&mut self, node: usize, request: usize, origin: Option<usize>) {
        let (operation, fingerprint) = {
            let request = &self.requests[request];
            (request.operation.clone(), request.fingerprint)
        };
        let coordinator = &mut self.nodes[node].coordinator;
        let step = coordinator.submit(&operation, fingerprint, origin.is_some(), self.now);
        self.apply_step(node, request, origin, step);
    }

    fn apply_step(&mut self, node: usize, request: usize, origin: Option<usize>, step: NextStep) {
        let incarnation = self.incarnation(node);
        let tracked = |attempt, phase| TrackedAttempt {
            node,
            incarnation,
            request,
            attempt,
            phase,
            origin,
        };
        match step {
            NextStep::Forward(owner) => self.send(node, owner, Message::Forward(request)),
            NextStep::AskWitness(intent, attempt) => {
                self.attempts.push(tracked(attempt, Phase::AwaitingWitness));
                let message = Message::Intent(intent.clone(), self.attempts.len() - 1);
                self.send(node, intent.to, message);
            }
            NextStep::Send(attempt) => self
                .attempts
                .push(tracked(attempt, Phase::AwaitingDispatch)),
            NextStep::Seal(witness) => self.send(node, witness, Message::Seal(request, witness)),
            NextStep::Reply(resolution) => self.send_reply(node, request, origin, resolution),
        }
    }

    fn send_reply(
        &mut self,
        node: usize,
        request: usize,
        origin: Option<usize>,
        resolution: Resolution,
    ) {
        // The oracle checks a reply when it is sent, even if it is delayed or lost afterwards.
        let id = self.requests[request].operation.id();
        self.oracle.reply(&id, &resolution, self.now);
        match origin {
            Some(origin) => self.network.push(Envelope {
                from: node,
                to: origin,
                message: Message::Reply(request, resolution),
            }),
            None => self.reply_to_caller(node, request, resolution),
        }
    }

    /// Records the reply to the caller; only the first one counts.
    fn reply_to_caller(&mut self, node: usize, request: usize, resolution: Resolution) {
        let incarnation = self.incarnation(node);
        self.note(|| format!("e{node} -> caller  {}", resolution.code()));
        let request = &mut self.requests[request];
        if request.reply.is_none() && request.entry == node && request.incarnation == incarnation {
            request.reply = Some(resolution);
        }
    }

    /// Returns the number of messages in the network.
    pub fn in_flight(&self) -> usize {
        self.network.len()
    }

    /// Drops a message from the network.
    pub fn drop_message(&mut self, index: usize) {
        self.network.remove(index);
    }

    /// Adds a copy of a message to the network.
    pub fn duplicate_message(&mut self, index: usize) {
        let copy = self.network[index].clone();
        self.network.push(copy);
    }

    /// Delivers a message.
    ///
    /// A message to a suspended process stays in the network; one to a dead process or across the
    /// partition is lost.
    pub fn deliver(&mut self, index: usize) {
        let Envelope { from, to, message } = self.network.remove(index);
        if self.nodes[to].paused && self.nodes[to].alive {
            self.network.push(Envelope { from, to, message });
            return;
        }
        if !self.nodes[to].alive || self.nodes[to].partitioned != self.nodes[from].partitioned {
            return;
        }
        self.note(|| format!("e{from} -> e{to}  {}", describe(&message)));
        let now = self.now;
        let coordinator = &mut self.nodes[to].coordinator;
        let reply = match message {
            Message::Forward(request) => return self.submit(to, request, Some(from)),
            Message::Reply(request, resolution) => {
                return self.reply_to_caller(to, request, resolution);
            }
            Message::Report(report) => return coordinator.on_report(report, now),
            Message::Recorded(answer, tracked) => {
                return self.on_witness_reply(to, tracked, Some(answer));
            }
            Message::Sealed(request, resolution) => {
                let resolution = resolution.unwrap_or(Code::OwnerUnreachable.into());
                let id = self.requests[request].operation.id();
                self.oracle.reply(&id, &resolution, now);
                return self.reply_to_caller(to, request, resolution);
            }
            Message::Intent(intent, tracked) => {
                Message::Recorded(coordinator.on_intent(&intent, now), tracked)
            }
            Message::Seal(request, witness) => {
                let Request {
                    operation,
                    fingerprint,
                    ..
                } = &self.requests[request];
                let sealed = coordinator.on_seal(witness, &operation.id(), *fingerprint, now);
                Message::Sealed(request, sealed)
            }
        };
        self.network.push(Envelope {
            from: to,
            to: from,
            message: reply,
        });
    }

    fn on_witness_reply(&mut self, node: usize, index: usize, answer: Option<IntentReply>) {
        let incarnation = self.incarnation(node);
        let tracked = &mut self.attempts[index];
        if tracked.phase != Phase::AwaitingWitness || tracked.incarnation != incarnation {
            return;
        }
        tracked.phase = Phase::Finished;
        let (request, origin, attempt) = (tracked.request, tracked.origin, tracked.attempt.clone());
        let coordinator = &mut self.nodes[node].coordinator;
        let step = coordinator.on_witness_reply(attempt, answer, self.now);
        self.apply_step(node, request, origin, step);
    }

    /// Returns the number of attempts so far.
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Advances an attempt to its next phase: timeout of the witness, dispatch, or the runner's
    /// answer.
    pub fn advance_attempt(&mut self, index: usize) {
        let tracked = self.attempts[index].clone();
        if !self.is_running(tracked.node) || self.incarnation(tracked.node) != tracked.incarnation {
            return;
        }
        let coordinator = &mut self.nodes[tracked.node].coordinator;
        let id = tracked.attempt.id();
        match tracked.phase {
            Phase::AwaitingWitness => self.on_witness_reply(tracked.node, index, None),
            Phase::AwaitingDispatch => match coordinator.grant_dispatch(&tracked.attempt, self.now)
            {
                Ok(()) => {
                    self.note(|| format!("e{} -> runner", tracked.node));
                    self.attempts[index].phase = Phase::Running;
                    self.oracle.dispatch(id, self.now);
                }
                Err(resolution) => {
                    self.attempts[index].phase = Phase::Finished;
                    self.send_reply(tracked.node, tracked.request, tracked.origin, resolution);
                }
            },
            Phase::Running => {
                let answer = Arc::new(answer_of(id, self.oracle.runs(id)));
                let outcome = OperationOutcome::Answered(answer.clone());
                let report = coordinator.finish(&tracked.attempt, outcome, self.now);
                self.finish_attempt(index, Resolution::Answer(answer), report);
            }
            Phase::Finished => {}
        }
    }

    fn finish_attempt(
        &mut self,
        index: usize,
        resolution: Resolution,
        report: Option<OutcomeReport>,
    ) {
        self.attempts[index].phase = Phase::Finished;
        let tracked = self.attempts[index].clone();
        if let Some(report) = report {
            self.send(tracked.node, report.to, Message::Report(report));
        }
        self.send_reply(tracked.node, tracked.request, tracked.origin, resolution);
    }

    /// Ends an attempt before its dispatch: the caller cancels it, or the owner's queue is full.
    pub fn refuse(&mut self, index: usize, cancel: bool) {
        let tracked = self.attempts[index].clone();
        if !self.is_running(tracked.node) || self.incarnation(tracked.node) != tracked.incarnation {
            return;
        }
        let coordinator = &mut self.nodes[tracked.node].coordinator;
        let recorded = tracked.phase == Phase::AwaitingDispatch;
        if cancel && (recorded || tracked.phase == Phase::AwaitingWitness) {
            let report = coordinator.cancel(&tracked.attempt, recorded, self.now);
            self.attempts[index].phase = Phase::Finished;
            if let Some(report) = report {
                self.send(tracked.node, report.to, Message::Report(report));
            }
        } else if recorded {
            let (resolution, report) =
                coordinator.refuse(&tracked.attempt, Code::QueueFull, self.now);
            self.finish_attempt(index, resolution, report);
        }
    }

    /// Times out a request at the entry instance that received it: first its wait for the owner,
    /// then its wait for the witness.
    pub fn time_out(&mut self, request: usize) {
        let Request {
            operation,
            fingerprint,
            entry,
            reply,
            sealing,
            ..
        } = self.requests[request].clone();
        if reply.is_some()
            || !self.is_running(entry)
            || self.requests[request].incarnation != self.incarnation(entry)
        {
            return;
        }
        self.requests[request].sealing = true;
        let step = match &operation {
            _ if sealing => NextStep::Reply(Code::OwnerUnreachable.into()),
            RequestedOperation::Ticketed(ticketed)
                if ticketed.ticket.incarnation != self.incarnation(entry) =>
            {
                let coordinator = &mut self.nodes[entry].coordinator;
                coordinator.on_owner_unreachable(ticketed, fingerprint, self.now)
            }
            _ => NextStep::Reply(Code::OwnerUnreachable.into()),
        };
        self.apply_step(entry, request, None, step);
    }

    /// Returns the number of requests so far.
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Ends all faults, restarts dead entry instances and synchronises all rosters.
    pub fn recover(&mut self) {
        self.store_available = true;
        self.now += STORE_LEASE_TTL + Duration::from_secs(1);
        for index in 0..self.nodes.len() {
            self.nodes[index].paused = false;
            self.nodes[index].partitioned = false;
            self.sync(index);
        }
        for index in 0..self.nodes.len() {
            let by = (0..self.nodes.len()).find(|by| self.is_running(*by));
            if let Some(by) = by
                && !self.nodes[index].alive
            {
                self.remove(by, index);
            }
            self.restart(index);
            if self.is_running(index) && self.nodes[index].handed_over.is_none() {
                self.join(index);
            }
        }
        (0..self.nodes.len()).for_each(|node| self.sync(node));
    }

    /// Delivers messages and advances attempts until the system has usually come to rest.
    pub fn settle(&mut self) {
        for _ in 0..6 {
            for _ in 0..self.network.len().min(64) {
                self.deliver(0);
            }
            for index in self.attempts.len().saturating_sub(16)..self.attempts.len() {
                if self.attempts[index].phase != Phase::AwaitingWitness {
                    self.advance_attempt(index);
                }
            }
        }
    }
}
