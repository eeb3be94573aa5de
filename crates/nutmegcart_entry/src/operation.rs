//! Operations that run at most once: tickets, keys, and calls to owners and witnesses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use nutmegcart_model::CallerName;
use nutmegcart_model::Code;
use nutmegcart_model::Event;
use nutmegcart_model::Incarnation;
use nutmegcart_model::ServiceName;
use nutmegcart_model::Verdict;
use nutmegcart_model::log_event;
use nutmegcart_peer::ForwardMessage;
use nutmegcart_peer::HandoverMessage;
use nutmegcart_peer::Heartbeat;
use nutmegcart_peer::IntentMessage;
use nutmegcart_peer::Message;
use nutmegcart_peer::MessageDispatcher;
use nutmegcart_peer::OperationHeader;
use nutmegcart_peer::OutcomeMessage;
use nutmegcart_peer::SealMessage;
use nutmegcart_request::Adoption;
use nutmegcart_request::CodeNumber;
use nutmegcart_request::Coordinator;
use nutmegcart_request::Member;
use nutmegcart_request::NextStep;
use nutmegcart_request::OperationAttempt;
use nutmegcart_request::OperationId;
use nutmegcart_request::OutcomeReport;
use nutmegcart_request::PeerTable;
use nutmegcart_request::Presence;
use nutmegcart_request::RequestedOperation;
use nutmegcart_request::Resolution;
use nutmegcart_request::Roster;
use nutmegcart_request::RosterVersion;
use nutmegcart_request::admission::Class;
use nutmegcart_request::fingerprint;
use nutmegcart_request::ledger::LedgerLimits;
use nutmegcart_request::ledger::OperationOutcome;
use nutmegcart_request::request_path;
use nutmegcart_request::roster::CLOCK_DRIFT_MARGIN;
use oxhttp::model::Body;
use oxhttp::model::Request;
use parking_lot::Condvar;
use parking_lot::Mutex;

use crate::buffer_quota::BufferReservation;
use crate::entry_instance::EntryInstance;
use crate::forward;
use crate::forward::Answer;
use crate::forward::Call;
use crate::forward::Result;
use crate::http;

/// Time that the owner has, beyond the deadline, to answer the entry instance that forwarded.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Header of a ticketed operation.
const OPERATION: &str = "nutmegcart-operation";
/// Header with the class of a request.
const CLASS: &str = "nutmegcart-class";
/// Header with the content type.
const KIND: &str = "content-type";
/// Header of a plain key.
const KEY: &str = "idempotency-key";

/// Shared state of at-most-once execution; each lock is taken alone and not held across I/O.
pub struct Operations {
    coordinator: Mutex<Coordinator>,
    /// Signals that an operation of this owner ended.
    ended: Condvar,
    members: Mutex<PeerTable>,
    /// Address at which each life of a peer last answered.
    links: Mutex<BTreeMap<Incarnation, SocketAddr>>,
    /// Both clocks at the last read of the roster.
    clocks: Mutex<Option<(Instant, SystemTime)>>,
}

impl Operations {
    /// Creates the state of a new incarnation.
    #[must_use]
    pub fn new(me: Member) -> Self {
        Self {
            coordinator: Mutex::new(Coordinator::new(me, LedgerLimits::default())),
            ended: Condvar::new(),
            members: Mutex::default(),
            links: Mutex::default(),
            clocks: Mutex::default(),
        }
    }

    /// Notes that the store held the version at some moment after `asked`.
    pub fn confirm(&self, version: RosterVersion, asked: Duration, clocks: (Instant, SystemTime)) {
        *self.clocks.lock() = Some(clocks);
        self.decide(|coordinator| coordinator.view_mut().confirm(version, asked));
    }

    /// Withdraws the confirmation if the machine seems to have been suspended since it was given.
    ///
    /// The monotonic clock does not count the time for which a virtual machine is suspended.
    pub fn check_clocks(&self, instant: Instant, system: SystemTime) {
        let clocks = *self.clocks.lock();
        let Some((then, then_system)) = clocks else {
            return;
        };
        let monotonic = instant.saturating_duration_since(then);
        let drift = match system.duration_since(then_system) {
            Ok(elapsed) => elapsed.abs_diff(monotonic),
            Err(backwards) => backwards.duration() + monotonic,
        };
        if drift > CLOCK_DRIFT_MARGIN {
            self.decide(|coordinator| coordinator.view_mut().revoke_confirmation());
        }
    }

    /// Runs a closure on the decisions; it must not perform I/O.
    pub fn decide<T>(&self, decide: impl FnOnce(&mut Coordinator) -> T) -> T {
        decide(&mut self.coordinator.lock())
    }

    /// Returns the version of the roster in force.
    pub fn version(&self) -> RosterVersion {
        self.decide(|coordinator| coordinator.view().roster().version)
    }

    /// Returns the roster in force if it is newer than the version.
    pub fn newer(&self, version: RosterVersion) -> Option<Roster> {
        self.decide(|coordinator| {
            let roster = coordinator.view().roster();
            (roster.version.epoch > version.epoch).then(|| roster.clone())
        })
    }

    /// Offers a roster and logs what became of it.
    pub fn offer(&self, roster: &Roster, now: Duration) -> Adoption {
        let adoption = self.decide(|coordinator| coordinator.view_mut().offer(roster, now));
        match adoption {
            Adoption::Adopted => {
                let members = roster.members.len();
                let epoch = roster.version.epoch;
                log_event!(Event::RosterChanged, epoch = epoch, members = members);
            }
            Adoption::Conflict => {
                log_event!(Event::RosterConflict, epoch = roster.version.epoch);
            }
            Adoption::Same | Adoption::Older => {}
        }
        adoption
    }

    /// Notes a heartbeat.
    pub fn hear(&self, heartbeat: &Heartbeat, now: Duration) {
        let sender = heartbeat.sender.clone();
        let presence = Presence {
            centre: sender.centre,
            instance: sender.id,
            incarnation: sender.incarnation,
            address: sender.address.to_string(),
            roster: heartbeat.roster,
            draining: heartbeat.draining,
        };
        self.members.lock().record_heartbeat(presence, now);
    }

    /// Returns the peers that were heard.
    pub fn members(&self) -> PeerTable {
        self.members.lock().clone()
    }

    /// Notes that a life of a peer answered at the address.
    pub fn reached(&self, incarnation: Incarnation, address: SocketAddr) {
        let mut links = self.links.lock();
        links.retain(|_, known| *known != address);
        links.insert(incarnation, address);
    }

    /// Returns whether plain keys may be dispatched now and every other member can be reached.
    pub fn is_joined(&self, now: Duration) -> bool {
        let (others, allowed) = self.decide(|coordinator| {
            let (me, view) = (coordinator.me().incarnation, coordinator.view());
            let roster = view.roster();
            let members = roster.members.iter().map(|member| member.incarnation);
            let others: Vec<Incarnation> = members.filter(|member| *member != me).collect();
            (others, view.may_dispatch(roster.version, me, now))
        });
        allowed && others.iter().all(|other| self.link(*other, now).is_some())
    }

    /// Returns the address of a peer that is not suspect.
    pub fn link(&self, incarnation: Incarnation, now: Duration) -> Option<SocketAddr> {
        if self.members.lock().is_suspect(incarnation, now) {
            return None;
        }
        self.links.lock().get(&incarnation).copied()
    }

    /// Stops opening and witnessing operations.
    pub fn freeze(&self) {
        self.decide(Coordinator::freeze);
    }
}

/// Returns the identifier that a request carries.
///
/// # Errors
///
/// Refuses a request with both headers, or with one that is not text.
pub fn identifier(request: &Request<Body>) -> Result<Option<OperationHeader>> {
    let given = |name| request.headers().contains_key(name);
    let text = |name| http::header(request, name).map(str::to_owned);
    match (given(OPERATION), given(KEY)) {
        (false, false) => Ok(None),
        (true, true) => Err(Code::BadRequest),
        (true, false) => text(OPERATION)
            .map(OperationHeader::Operation)
            .map(Some)
            .ok_or(Code::BadTicket),
        (false, true) => text(KEY)
            .map(OperationHeader::Key)
            .map(Some)
            .ok_or(Code::BadTicket),
    }
}

/// Returns the code of a refusal that was made without asking the owner.
pub fn unheard(request: &Request<Body>, code: Code) -> Code {
    match identifier(request) {
        Ok(None) => code,
        _ => withheld(code),
    }
}

/// Replaces "not run" for a request with an identifier: an earlier attempt may have run.
#[must_use]
pub fn withheld(code: Code) -> Code {
    if code.verdict() == Verdict::NotRun {
        Code::NotAttempted
    } else {
        code
    }
}

fn parse(identifier: &OperationHeader, caller: &str) -> Result<RequestedOperation> {
    match identifier {
        OperationHeader::Operation(text) => text.parse().map(RequestedOperation::Ticketed),
        OperationHeader::Key(text) => {
            OperationId::key(&CallerName::from(caller), text).map(RequestedOperation::Plain)
        }
    }
    .map_err(|_| Code::BadTicket)
}

/// Runs a caller's operation, here or at its owner.
///
/// # Errors
///
/// Returns the code for the caller.
pub fn run(
    entry: &Arc<EntryInstance>,
    identifier: &OperationHeader,
    call: &Call,
    reserved: &mut BufferReservation,
) -> Result<Answer> {
    start(entry, identifier, call, reserved, false)
}

fn start(
    entry: &Arc<EntryInstance>,
    identifier: &OperationHeader,
    call: &Call,
    reserved: &mut BufferReservation,
    forwarded: bool,
) -> Result<Answer> {
    let operation = parse(identifier, &call.request.caller)?;
    let print = fingerprint(&[
        call.request.caller.as_bytes(),
        call.method.as_bytes(),
        call.path.as_bytes(),
        &call.body,
    ]);
    let left = call.request.deadline.saturating_sub(entry.dispatcher.now());
    let mut run = Run {
        entry,
        identifier,
        operation,
        fingerprint: print,
        call,
        reserved,
        end: Instant::now() + left,
        forwarded,
    };
    run.submit()
}

/// A request with its operation.
struct Run<'a> {
    entry: &'a Arc<EntryInstance>,
    identifier: &'a OperationHeader,
    operation: RequestedOperation,
    fingerprint: u64,
    call: &'a Call,
    reserved: &'a mut BufferReservation,
    end: Instant,
    forwarded: bool,
}

impl Run<'_> {
    fn submit(&mut self) -> Result<Answer> {
        let operations = &self.entry.operations;
        let mut coordinator = operations.coordinator.lock();
        let step = loop {
            let now = self.entry.now();
            let print = self.fingerprint;
            let step = coordinator.submit(&self.operation, print, self.forwarded, now);
            let running = NextStep::Reply(Code::OperationRunning.into());
            // A retry waits for the first attempt until its own deadline.
            let over = Instant::now() >= self.end;
            if step != running || over {
                break step;
            }
            operations.ended.wait_until(&mut coordinator, self.end);
        };
        drop(coordinator);
        match step {
            NextStep::Forward(owner) => self.forward(owner),
            NextStep::AskWitness(intent, attempt) => {
                let to = intent.to;
                let sender = self.entry.identity.clone();
                let answer = self.ask(to, &IntentMessage { sender, intent });
                let now = self.entry.now();
                let step = operations.decide(|c| c.on_witness_reply(attempt, answer, now));
                match step {
                    NextStep::Send(attempt) => self.dispatch(&attempt),
                    NextStep::Reply(resolution) => self.end(resolution),
                    _ => Err(Code::NotAttempted),
                }
            }
            NextStep::Send(attempt) => self.dispatch(&attempt),
            NextStep::Seal(witness) => self.seal(witness),
            NextStep::Reply(resolution) => answer(resolution),
        }
    }

    /// Calls a peer within the time that is left; none without an answer.
    fn ask<M: Message>(&self, to: Incarnation, message: &M) -> Option<M::Answer> {
        let address = self.entry.operations.link(to, self.entry.now())?;
        let answer = self.entry.peer_client.call(address, message);
        answer.ok()
    }

    fn dispatch(&mut self, attempt: &OperationAttempt) -> Result<Answer> {
        let entry = self.entry;
        let operations = &entry.operations;
        let mut started = false;
        let permit = || {
            operations.check_clocks(Instant::now(), SystemTime::now());
            let now = entry.now();
            let granted = operations.decide(|c| c.grant_dispatch(attempt, now));
            started = granted.is_ok();
            granted.map_err(|resolution| resolution.code())
        };
        // An operation is dispatched once, whatever its method says.
        let call = Call {
            id: self.call.id.clone(),
            method: self.call.method.clone(),
            path: self.call.path.clone(),
            kind: self.call.kind.clone(),
            body: self.call.body.clone(),
            request: request_path::Request {
                idempotent: false,
                ..self.call.request.clone()
            },
        };
        let result = forward::send(entry, &call, self.reserved, permit);
        let now = entry.now();
        let (result, report) = match result {
            Ok(answer) => {
                let outcome = OperationOutcome::Answered(Arc::new(stored(&answer)));
                let report = operations.decide(|c| c.finish(attempt, outcome, now));
                (Ok(answer), report)
            }
            Err(code) if started => {
                let outcome = if code.verdict() == Verdict::Unknown {
                    OperationOutcome::Lost(CodeNumber(code))
                } else {
                    OperationOutcome::Refused(CodeNumber(code))
                };
                let report = operations.decide(|c| c.finish(attempt, outcome, now));
                (Err(code), report)
            }
            Err(code) => {
                let (resolution, report) = operations.decide(|c| c.refuse(attempt, code, now));
                (answer(resolution), report)
            }
        };
        operations.ended.notify_all();
        if let Some(report) = report {
            self.report(report);
        }
        result
    }

    /// Ends a request whose attempt ended without a dispatch.
    fn end(&self, resolution: Resolution) -> Result<Answer> {
        self.entry.operations.ended.notify_all();
        answer(resolution)
    }

    /// Sends the outcome to the witness; if it is lost, the witness answers "unknown".
    fn report(&self, report: OutcomeReport) {
        let entry = self.entry.clone();
        self.entry.thread_pool.submit(move || {
            let Some(address) = entry.operations.link(report.to, entry.now()) else {
                return;
            };
            let sender = entry.identity.clone();
            let _ = entry
                .peer_client
                .call(address, &OutcomeMessage { sender, report });
        });
    }

    fn forward(&self, owner: Incarnation) -> Result<Answer> {
        let operations = &self.entry.operations;
        let Some(address) = operations.link(owner, self.entry.now()) else {
            return self.owner_lost();
        };
        let left = self.end.saturating_duration_since(Instant::now());
        let request = &self.call.request;
        let mut headers = vec![(CLASS.into(), class_name(request.class).into())];
        if let Some(kind) = &self.call.kind {
            headers.push((KIND.into(), kind.clone()));
        }
        let message = ForwardMessage {
            sender: self.entry.identity.clone(),
            roster: operations.version(),
            to: owner,
            operation: self.identifier.clone(),
            request_id: self.call.id.clone(),
            caller: request.caller.to_string(),
            method: self.call.method.clone(),
            path: self.call.path.clone(),
            headers,
            body: self.call.body.clone().into(),
            remaining_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        };
        let within = left + ANSWER_MARGIN;
        match self
            .entry
            .peer_client
            .call_with_timeout(address, &message, within)
        {
            Ok(resolution) => answer(resolution),
            Err(_) => self.owner_lost(),
        }
    }

    fn owner_lost(&self) -> Result<Answer> {
        let RequestedOperation::Ticketed(operation) = &self.operation else {
            return Err(Code::OwnerUnreachable);
        };
        let now = self.entry.now();
        let operations = &self.entry.operations;
        match operations.decide(|c| c.on_owner_unreachable(operation, self.fingerprint, now)) {
            NextStep::Seal(witness) => self.seal(witness),
            NextStep::Reply(resolution) => answer(resolution),
            _ => Err(Code::OwnerUnreachable),
        }
    }

    fn seal(&self, witness: Incarnation) -> Result<Answer> {
        let message = SealMessage {
            sender: self.entry.identity.clone(),
            roster: self.entry.operations.version(),
            to: witness,
            id: self.operation.id(),
            fingerprint: self.fingerprint,
        };
        let sealed = self.ask(witness, &message).flatten();
        answer(sealed.unwrap_or(Code::OwnerUnreachable.into()))
    }
}

fn stored(answer: &Answer) -> nutmegcart_request::Answer {
    nutmegcart_request::Answer {
        status: answer.status,
        headers: vec![("content-type".into(), answer.kind.clone())],
        body: answer.body.clone().into(),
    }
}

fn answer(resolution: Resolution) -> Result<Answer> {
    match resolution {
        Resolution::Answer(stored) => Ok(Answer {
            status: stored.status,
            kind: stored
                .headers
                .first()
                .map_or_else(String::new, |(_, kind)| kind.clone()),
            body: stored.body.0.to_vec(),
        }),
        Resolution::Code(code) => Err(code.0),
    }
}

/// Handles a request that a peer passed on to its owner.
fn on_forward(entry: &Arc<EntryInstance>, message: ForwardMessage) -> Resolution {
    if message.to != entry.identity.incarnation {
        return Code::OwnerUnreachable.into();
    }
    let rest = message.path.strip_prefix("/v1/services/").unwrap_or("");
    let service = rest.split(['/', '?']).next().unwrap_or("");
    let header = |name: &str| {
        let found = message.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.clone())
    };
    let class = match header(CLASS).as_deref() {
        Some("deferrable") => Class::Deferrable,
        _ => Class::Urgent,
    };
    let left = Duration::from_millis(message.remaining_ms);
    let call = Call {
        kind: header(KIND),
        request: request_path::Request {
            id: 0,
            service: ServiceName::from(service),
            caller: CallerName::from(message.caller),
            class,
            deadline: entry.dispatcher.now().saturating_add(left),
            idempotent: false,
            retried: false,
            cost: 1,
        },
        id: message.request_id,
        method: message.method,
        path: message.path,
        body: message.body.0.to_vec(),
    };
    let mut reserved = entry.buffer_quota.reserve();
    if !reserved.grow(call.body.len()) {
        // An earlier attempt may have run.
        return Code::NotAttempted.into();
    }
    match start(entry, &message.operation, &call, &mut reserved, true) {
        Ok(answer) => Resolution::Answer(Arc::new(stored(&answer))),
        Err(code) => code.into(),
    }
}

fn class_name(class: Class) -> &'static str {
    match class {
        Class::Urgent => "urgent",
        Class::Deferrable => "deferrable",
    }
}

/// Adds the handlers of the operation messages.
pub fn register(
    dispatcher: MessageDispatcher<Arc<EntryInstance>>,
) -> MessageDispatcher<Arc<EntryInstance>> {
    dispatcher
        .on(on_forward)
        .on(|entry: &Arc<EntryInstance>, message: IntentMessage| {
            let now = entry.now();
            let operations = &entry.operations;
            operations.decide(|c| c.on_intent(&message.intent, now))
        })
        .on(|entry: &Arc<EntryInstance>, message: OutcomeMessage| {
            let now = entry.now();
            let operations = &entry.operations;
            operations.decide(|c| c.on_report(message.report, now));
        })
        .on(|entry: &Arc<EntryInstance>, message: SealMessage| {
            let now = entry.now();
            let SealMessage {
                to,
                id,
                fingerprint,
                ..
            } = message;
            let operations = &entry.operations;
            operations.decide(|c| c.on_seal(to, &id, fingerprint, now))
        })
        .on(|entry: &Arc<EntryInstance>, message: HandoverMessage| {
            let now = entry.now();
            let operations = &entry.operations;
            operations.decide(|c| c.on_handover(message.to, message.records, now))
        })
}
