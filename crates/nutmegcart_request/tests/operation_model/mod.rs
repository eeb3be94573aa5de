//! Entry instances, their network and the store in one process, with an oracle that counts runs.

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

/// Time to live of a member's store lease.
pub const LEASE: Duration = Duration::from_secs(10);

/// A caller's request at the entry instance that received it.
#[derive(Clone, Debug)]
struct Request {
    operation: RequestedOperation,
    fingerprint: u64,
    entry: usize,
    life: Incarnation,
    sealing: bool,
    reply: Option<Resolution>,
}

/// An attempt waits for its witness, then for its dispatch, then for the runner's answer.
#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Witness,
    Permit,
    Running,
    Over,
}

#[derive(Clone, Debug)]
struct Work {
    node: usize,
    life: Incarnation,
    request: usize,
    attempt: OperationAttempt,
    phase: Phase,
    /// Where the reply goes if a peer passed the request on.
    origin: Option<usize>,
}

/// An entry instance.
pub struct Node {
    /// Its decisions.
    pub coordinator: Coordinator,
    /// Whether the process exists.
    pub alive: bool,
    /// Whether the process is suspended.
    pub paused: bool,
    /// Whether it is cut off from the store and from nodes that are not cut off.
    pub cut: bool,
    synced: Duration,
    handed: Option<RosterVersion>,
}

/// All entry instances, the network and the store.
pub struct World {
    /// Time since start.
    pub now: Duration,
    /// Entry instances by index.
    pub nodes: Vec<Node>,
    /// Whether the store answers.
    pub store: bool,
    /// The roster in the store.
    pub roster: Roster,
    /// Runs and replies.
    pub oracle: Oracle,
    /// Lines of a recorded session; none unless recording was started.
    pub trace: Option<Vec<String>>,
    network: Vec<Envelope>,
    requests: Vec<Request>,
    work: Vec<Work>,
    limits: LedgerLimits,
    lives: u64,
}

fn member(node: usize, life: u64) -> Member {
    Member {
        centre: ["suva", "nadi"][node % 2].into(),
        instance: format!("e{node}").into(),
        incarnation: Incarnation(life * 100 + node as u64),
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
            cut: false,
            synced: Duration::ZERO,
            handed: None,
        });
        let mut world = Self {
            now: Duration::ZERO,
            nodes: nodes.collect(),
            store: true,
            roster,
            oracle: Oracle::default(),
            trace: None,
            network: Vec::new(),
            requests: Vec::new(),
            work: Vec::new(),
            limits,
            lives: 1,
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

    fn life(&self, node: usize) -> Incarnation {
        self.nodes[node].coordinator.me().incarnation
    }

    /// Returns whether the entry instance acts.
    pub fn acts(&self, node: usize) -> bool {
        self.nodes[node].alive && !self.nodes[node].paused
    }

    fn reaches_store(&self, node: usize) -> bool {
        self.store && self.acts(node) && !self.nodes[node].cut
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
            node.synced = self.now;
        }
    }

    /// Passes the roster on by a heartbeat.
    pub fn gossip(&mut self, from: usize, to: usize) {
        if self.acts(from) && self.acts(to) && self.nodes[from].cut == self.nodes[to].cut {
            let roster = self.nodes[from].coordinator.view().roster().clone();
            self.nodes[to]
                .coordinator
                .view_mut()
                .offer(&roster, self.now);
        }
    }

    /// Removes a silent member from the roster once its store lease has expired.
    pub fn remove(&mut self, by: usize, node: usize) {
        let expired = self.now > self.nodes[node].synced + LEASE;
        let gone = self.life(node);
        if expired {
            self.change(by, |roster, mark| roster.without_member(gone, false, mark));
        }
    }

    /// Adds an entry instance to the roster.
    pub fn join(&mut self, node: usize) {
        let me = self.nodes[node].coordinator.me().clone();
        self.change(node, |roster, mark| roster.with_member(me.clone(), mark));
    }

    fn change(&mut self, by: usize, next: impl Fn(&Roster, u64) -> Option<Roster>) {
        self.sync(by);
        let view = self.nodes[by].coordinator.view();
        let mark = self.roster.version.nonce + 1;
        if self.reaches_store(by)
            && let Some(next) = next(&view.pruned(self.now), mark)
        {
            self.roster = next;
            self.sync(by);
        }
    }

    /// Ends a process without notice.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
    }

    /// Starts a new life of a dead entry instance once its former one has left the roster.
    pub fn restart(&mut self, node: usize) {
        let former = self.life(node);
        if self.nodes[node].alive || self.roster.member(former).is_some() {
            return;
        }
        self.lives += 1;
        let member = member(node, self.lives);
        self.nodes[node] = Node {
            coordinator: Coordinator::new(member, self.limits),
            alive: true,
            paused: false,
            cut: self.nodes[node].cut,
            synced: self.now,
            handed: None,
        };
        self.join(node);
    }

    /// Stops the work of an entry instance and sends its ledger to the next pairs.
    pub fn hand_over(&mut self, node: usize) {
        if !self.acts(node) {
            return;
        }
        self.nodes[node].coordinator.freeze();
        let handover = self.nodes[node].coordinator.handover(self.now);
        let mut complete = true;
        for (to, records) in handover.records {
            let target = usize::try_from(to.0 % 100).unwrap();
            let near = self.acts(target) && self.nodes[target].cut == self.nodes[node].cut;
            let coordinator = &mut self.nodes[target].coordinator;
            complete &= near && coordinator.on_handover(to, records, self.now);
        }
        self.nodes[node].handed = complete.then_some(handover.version);
    }

    /// Leaves the roster after a handover and ends the process.
    pub fn leave(&mut self, node: usize) {
        let me = self.life(node);
        let version = self.roster.version;
        if self.nodes[node].handed == Some(version) {
            self.change(node, |roster, mark| roster.without_member(me, true, mark));
            if self.roster.member(me).is_none() {
                self.kill(node);
            }
        }
    }

    /// Issues a ticket with the witness, if the entry instance acts.
    pub fn ticket(
        &mut self,
        node: usize,
        witness: Option<usize>,
        number: u64,
    ) -> Option<RequestedOperation> {
        let witness = witness.map(|witness| self.life(witness));
        self.acts(node).then(|| {
            let ticket = self.nodes[node].coordinator.issue_ticket(witness);
            RequestedOperation::Ticketed(TicketedOperation { ticket, number })
        })
    }

    /// A caller sends a request, or a retry, to an entry instance. Returns its number.
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
            life: self.life(entry),
            sealing: false,
            reply: None,
        });
        if self.acts(entry) {
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
        let (operation, print) = {
            let request = &self.requests[request];
            (request.operation.clone(), request.fingerprint)
        };
        let coordinator = &mut self.nodes[node].coordinator;
        let step = coordinator.submit(&operation, print, origin.is_some(), self.now);
        self.follow(node, request, origin, step);
    }

    fn follow(&mut self, node: usize, request: usize, origin: Option<usize>, step: NextStep) {
        let life = self.life(node);
        let work = |attempt, phase| Work {
            node,
            life,
            request,
            attempt,
            phase,
            origin,
        };
        match step {
            NextStep::Forward(owner) => self.send(node, owner, Message::Forward(request)),
            NextStep::AskWitness(intent, attempt) => {
                self.work.push(work(attempt, Phase::Witness));
                let message = Message::Intent(intent.clone(), self.work.len() - 1);
                self.send(node, intent.to, message);
            }
            NextStep::Send(attempt) => self.work.push(work(attempt, Phase::Permit)),
            NextStep::Seal(witness) => self.send(node, witness, Message::Seal(request, witness)),
            NextStep::Reply(resolution) => self.answer(node, request, origin, resolution),
        }
    }

    fn answer(&mut self, node: usize, request: usize, origin: Option<usize>, with: Resolution) {
        // A verdict counts from when it is given, even if the answer is delayed or lost.
        let id = self.requests[request].operation.id();
        self.oracle.reply(&id, &with, self.now);
        match origin {
            Some(origin) => self.network.push(Envelope {
                from: node,
                to: origin,
                message: Message::Reply(request, with),
            }),
            None => self.conclude(node, request, with),
        }
    }

    /// The entry instance answers the caller, once.
    fn conclude(&mut self, node: usize, request: usize, resolution: Resolution) {
        let life = self.life(node);
        self.note(|| format!("e{node} -> caller  {}", resolution.code()));
        let request = &mut self.requests[request];
        if request.reply.is_none() && request.entry == node && request.life == life {
            request.reply = Some(resolution);
        }
    }

    /// Returns the number of messages in the network.
    pub fn in_flight(&self) -> usize {
        self.network.len()
    }

    /// Loses a message.
    pub fn lose(&mut self, index: usize) {
        self.network.remove(index);
    }

    /// Duplicates a message.
    pub fn duplicate(&mut self, index: usize) {
        let copy = self.network[index].clone();
        self.network.push(copy);
    }

    /// Delivers a message; one to a suspended process stays, one to a dead or cut off one is lost.
    pub fn deliver(&mut self, index: usize) {
        let Envelope { from, to, message } = self.network.remove(index);
        if self.nodes[to].paused && self.nodes[to].alive {
            self.network.push(Envelope { from, to, message });
            return;
        }
        if !self.nodes[to].alive || self.nodes[to].cut != self.nodes[from].cut {
            return;
        }
        self.note(|| format!("e{from} -> e{to}  {}", describe(&message)));
        let now = self.now;
        let coordinator = &mut self.nodes[to].coordinator;
        let back = match message {
            Message::Forward(request) => return self.submit(to, request, Some(from)),
            Message::Reply(request, resolution) => return self.conclude(to, request, resolution),
            Message::Report(report) => return coordinator.on_report(report, now),
            Message::Recorded(answer, work) => return self.witnessed(to, work, Some(answer)),
            Message::Sealed(request, resolution) => {
                let resolution = resolution.unwrap_or(Code::OwnerUnreachable.into());
                let id = self.requests[request].operation.id();
                self.oracle.reply(&id, &resolution, now);
                return self.conclude(to, request, resolution);
            }
            Message::Intent(intent, work) => {
                Message::Recorded(coordinator.on_intent(&intent, now), work)
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
            message: back,
        });
    }

    fn witnessed(&mut self, node: usize, index: usize, answer: Option<IntentReply>) {
        let life = self.life(node);
        let work = &mut self.work[index];
        if work.phase != Phase::Witness || work.life != life {
            return;
        }
        work.phase = Phase::Over;
        let (request, origin, attempt) = (work.request, work.origin, work.attempt.clone());
        let coordinator = &mut self.nodes[node].coordinator;
        let step = coordinator.on_witness_reply(attempt, answer, self.now);
        self.follow(node, request, origin, step);
    }

    /// Returns the number of attempts so far.
    pub fn attempts(&self) -> usize {
        self.work.len()
    }

    /// Lets an attempt make its next step: time-out of the witness, dispatch, runner's answer.
    pub fn progress(&mut self, index: usize) {
        let work = self.work[index].clone();
        if !self.acts(work.node) || self.life(work.node) != work.life {
            return;
        }
        let coordinator = &mut self.nodes[work.node].coordinator;
        let id = work.attempt.id();
        match work.phase {
            Phase::Witness => self.witnessed(work.node, index, None),
            Phase::Permit => match coordinator.grant_dispatch(&work.attempt, self.now) {
                Ok(()) => {
                    self.note(|| format!("e{} -> runner", work.node));
                    self.work[index].phase = Phase::Running;
                    self.oracle.dispatch(id, self.now);
                }
                Err(resolution) => {
                    self.work[index].phase = Phase::Over;
                    self.answer(work.node, work.request, work.origin, resolution);
                }
            },
            Phase::Running => {
                let answer = Arc::new(answer_of(id, self.oracle.runs(id)));
                let outcome = OperationOutcome::Answered(answer.clone());
                let report = coordinator.finish(&work.attempt, outcome, self.now);
                self.end(index, Resolution::Answer(answer), report);
            }
            Phase::Over => {}
        }
    }

    fn end(&mut self, index: usize, resolution: Resolution, report: Option<OutcomeReport>) {
        self.work[index].phase = Phase::Over;
        let work = self.work[index].clone();
        if let Some(report) = report {
            self.send(work.node, report.to, Message::Report(report));
        }
        self.answer(work.node, work.request, work.origin, resolution);
    }

    /// The owner refuses an attempt because its queue is full, or the caller cancels it.
    pub fn refuse(&mut self, index: usize, cancel: bool) {
        let work = self.work[index].clone();
        if !self.acts(work.node) || self.life(work.node) != work.life {
            return;
        }
        let coordinator = &mut self.nodes[work.node].coordinator;
        let recorded = work.phase == Phase::Permit;
        if cancel && (recorded || work.phase == Phase::Witness) {
            let report = coordinator.cancel(&work.attempt, recorded, self.now);
            self.work[index].phase = Phase::Over;
            if let Some(report) = report {
                self.send(work.node, report.to, Message::Report(report));
            }
        } else if recorded {
            let (resolution, report) = coordinator.refuse(&work.attempt, Code::QueueFull, self.now);
            self.end(index, resolution, report);
        }
    }

    /// The entry instance that received the request gives up waiting for the owner, then for the
    /// witness.
    pub fn time_out(&mut self, request: usize) {
        let Request {
            operation,
            fingerprint,
            entry,
            reply,
            sealing,
            ..
        } = self.requests[request].clone();
        if reply.is_some() || !self.acts(entry) || self.requests[request].life != self.life(entry) {
            return;
        }
        self.requests[request].sealing = true;
        let step = match &operation {
            _ if sealing => NextStep::Reply(Code::OwnerUnreachable.into()),
            RequestedOperation::Ticketed(ticketed)
                if ticketed.ticket.incarnation != self.life(entry) =>
            {
                let coordinator = &mut self.nodes[entry].coordinator;
                coordinator.on_owner_unreachable(ticketed, fingerprint, self.now)
            }
            _ => NextStep::Reply(Code::OwnerUnreachable.into()),
        };
        self.follow(entry, request, None, step);
    }

    /// Returns the number of requests so far.
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Ends all faults, replaces dead entry instances and lets heartbeats pass.
    pub fn recover(&mut self) {
        self.store = true;
        self.now += LEASE + Duration::from_secs(1);
        for index in 0..self.nodes.len() {
            self.nodes[index].paused = false;
            self.nodes[index].cut = false;
            self.sync(index);
        }
        for index in 0..self.nodes.len() {
            let by = (0..self.nodes.len()).find(|by| self.acts(*by));
            if let Some(by) = by
                && !self.nodes[index].alive
            {
                self.remove(by, index);
            }
            self.restart(index);
            if self.acts(index) && self.nodes[index].handed.is_none() {
                self.join(index);
            }
        }
        (0..self.nodes.len()).for_each(|node| self.sync(node));
    }

    /// Delivers everything and lets every attempt end.
    pub fn settle(&mut self) {
        for _ in 0..6 {
            for _ in 0..self.network.len().min(64) {
                self.deliver(0);
            }
            for index in self.work.len().saturating_sub(16)..self.work.len() {
                if self.work[index].phase != Phase::Witness {
                    self.progress(index);
                }
            }
        }
    }
}
