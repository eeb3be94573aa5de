//! At-most-once execution of operations, with calls to their owners and witnesses.
//!
//! A caller names an operation by a ticket or by a plain key. The entry instance that owns the
//! operation dispatches it, and another one records it as its witness.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use hyper::Request;
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
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::timeout_at;

use crate::buffer_quota::BufferReservation;
use crate::entry_instance::EntryInstance;
use crate::forward;
use crate::forward::BufferedRequest;
use crate::forward::Result;
use crate::forward::RunnerAnswer;
use crate::http;

/// Time after the deadline in which the owner may still answer the instance that forwarded.
const OWNER_ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Header that identifies an operation by a ticket.
const OPERATION_HEADER: &str = "nutmegcart-operation";
/// Header with the admission class of a request.
const CLASS_HEADER: &str = "nutmegcart-class";
const CONTENT_TYPE_HEADER: &str = "content-type";
/// Header that identifies an operation by a plain key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Shared state of at-most-once execution; each lock is taken alone and not held across I/O.
pub struct Operations {
    coordinator: Mutex<Coordinator>,
    /// Notified when an operation that this instance owns ends.
    ended: Notify,
    peers: Mutex<PeerTable>,
    /// Address at which each incarnation of a peer last answered.
    addresses: Mutex<BTreeMap<Incarnation, SocketAddr>>,
    /// Monotonic and system clock just before the last read of the roster.
    clocks: Mutex<Option<(Instant, SystemTime)>>,
}

impl Operations {
    /// Creates the state of a new incarnation, which owns no operations yet.
    #[must_use]
    pub fn new(me: Member) -> Self {
        Self {
            coordinator: Mutex::new(Coordinator::new(me, LedgerLimits::default())),
            ended: Notify::new(),
            peers: Mutex::default(),
            addresses: Mutex::default(),
            clocks: Mutex::default(),
        }
    }

    /// Records that the store held the version at some moment after `asked`.
    ///
    /// `clocks` are the monotonic and the system clock, read before the store was asked.
    pub fn confirm(&self, version: RosterVersion, asked: Duration, clocks: (Instant, SystemTime)) {
        *self.clocks.lock() = Some(clocks);
        self.with_coordinator(|coordinator| coordinator.view_mut().confirm(version, asked));
    }

    /// Withdraws the roster's confirmation if the two clocks have drifted apart since then.
    ///
    /// The monotonic clock does not advance while a virtual machine is suspended, so a drift
    /// suggests that this machine was suspended.
    pub fn check_clocks(&self, instant: Instant, system: SystemTime) {
        let clocks = *self.clocks.lock();
        let Some((instant_then, system_then)) = clocks else {
            return;
        };
        let monotonic = instant.saturating_duration_since(instant_then);
        let drift = match system.duration_since(system_then) {
            Ok(elapsed) => elapsed.abs_diff(monotonic),
            Err(backwards) => backwards.duration() + monotonic,
        };
        if drift > CLOCK_DRIFT_MARGIN {
            self.with_coordinator(|coordinator| coordinator.view_mut().revoke_confirmation());
        }
    }

    /// Runs a closure on the locked coordinator; it must not perform I/O.
    pub fn with_coordinator<T>(&self, action: impl FnOnce(&mut Coordinator) -> T) -> T {
        action(&mut self.coordinator.lock())
    }

    /// Returns the version of the roster in force.
    pub fn roster_version(&self) -> RosterVersion {
        self.with_coordinator(|coordinator| coordinator.view().roster().version)
    }

    /// Returns the roster in force if it is newer than the version.
    pub fn roster_newer_than(&self, version: RosterVersion) -> Option<Roster> {
        self.with_coordinator(|coordinator| {
            let roster = coordinator.view().roster();
            (roster.version.epoch > version.epoch).then(|| roster.clone())
        })
    }

    /// Offers a roster for adoption and logs the result.
    pub fn offer(&self, roster: &Roster, now: Duration) -> Adoption {
        let adoption =
            self.with_coordinator(|coordinator| coordinator.view_mut().offer(roster, now));
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

    /// Records the presence of a peer from its heartbeat.
    pub fn record_heartbeat(&self, heartbeat: &Heartbeat, now: Duration) {
        let sender = heartbeat.sender.clone();
        let presence = Presence {
            centre: sender.centre,
            instance: sender.id,
            incarnation: sender.incarnation,
            address: sender.address.to_string(),
            roster: heartbeat.roster,
            draining: heartbeat.draining,
        };
        self.peers.lock().record_heartbeat(presence, now);
    }

    /// Returns the peers that have sent heartbeats.
    pub fn peers(&self) -> PeerTable {
        self.peers.lock().clone()
    }

    /// Records that an incarnation of a peer answered at the address.
    pub fn record_address(&self, incarnation: Incarnation, address: SocketAddr) {
        let mut addresses = self.addresses.lock();
        addresses.retain(|_, known| *known != address);
        addresses.insert(incarnation, address);
    }

    /// Returns whether plain keys may be dispatched now and every other member is reachable.
    pub fn is_joined(&self, now: Duration) -> bool {
        let (others, allowed) = self.with_coordinator(|coordinator| {
            let (me, view) = (coordinator.me().incarnation, coordinator.view());
            let roster = view.roster();
            let members = roster.members.iter().map(|member| member.incarnation);
            let others: Vec<Incarnation> = members.filter(|member| *member != me).collect();
            (others, view.may_dispatch(roster.version, me, now))
        });
        allowed
            && others
                .iter()
                .all(|other| self.peer_address(*other, now).is_some())
    }

    /// Returns the address of a peer, or `None` if it is suspect or never answered.
    pub fn peer_address(&self, incarnation: Incarnation, now: Duration) -> Option<SocketAddr> {
        if self.peers.lock().is_suspect(incarnation, now) {
            return None;
        }
        self.addresses.lock().get(&incarnation).copied()
    }

    /// Stops opening and witnessing operations, in preparation for the handover.
    pub fn freeze(&self) {
        self.with_coordinator(Coordinator::freeze);
    }
}

/// Returns the operation identifier that a request carries, if any.
///
/// # Errors
///
/// Fails if both headers are present, or if the value of one is not text.
pub fn identifier<B>(request: &Request<B>) -> Result<Option<OperationHeader>> {
    let given = |name| request.headers().contains_key(name);
    let text = |name| http::header(request, name).map(str::to_owned);
    match (given(OPERATION_HEADER), given(IDEMPOTENCY_KEY_HEADER)) {
        (false, false) => Ok(None),
        (true, true) => Err(Code::BadRequest),
        (true, false) => text(OPERATION_HEADER)
            .map(OperationHeader::Operation)
            .map(Some)
            .ok_or(Code::BadTicket),
        (false, true) => text(IDEMPOTENCY_KEY_HEADER)
            .map(OperationHeader::Key)
            .map(Some)
            .ok_or(Code::BadTicket),
    }
}

/// Returns the code of a refusal that was decided without asking the operation's owner.
pub fn refusal_before_lookup<B>(request: &Request<B>, code: Code) -> Code {
    match identifier(request) {
        Ok(None) => code,
        _ => refusal_with_identifier(code),
    }
}

/// Returns the code of a refused request that carries an operation identifier.
///
/// An earlier attempt may have run, so a verdict of "not run" would be wrong.
#[must_use]
pub fn refusal_with_identifier(code: Code) -> Code {
    if code.verdict() == Verdict::NotRun {
        Code::NotAttempted
    } else {
        code
    }
}

fn parse_operation(identifier: &OperationHeader, caller: &str) -> Result<RequestedOperation> {
    match identifier {
        OperationHeader::Operation(text) => text.parse().map(RequestedOperation::Ticketed),
        OperationHeader::Key(text) => {
            OperationId::key(&CallerName::from(caller), text).map(RequestedOperation::Plain)
        }
    }
    .map_err(|_| Code::BadTicket)
}

/// Runs a caller's operation, on this instance or through its owner.
///
/// # Errors
///
/// Returns the code for the caller.
pub async fn run(
    entry: &Arc<EntryInstance>,
    identifier: &OperationHeader,
    call: &BufferedRequest,
    reservation: &mut BufferReservation,
) -> Result<RunnerAnswer> {
    execute(entry, identifier, call, reservation, false).await
}

async fn execute(
    entry: &Arc<EntryInstance>,
    identifier: &OperationHeader,
    call: &BufferedRequest,
    reservation: &mut BufferReservation,
    forwarded: bool,
) -> Result<RunnerAnswer> {
    let operation = parse_operation(identifier, &call.request.caller)?;
    let request_fingerprint = fingerprint(&[
        call.request.caller.as_bytes(),
        call.method.as_bytes(),
        call.path.as_bytes(),
        &call.body,
    ]);
    let left = call.request.deadline.saturating_sub(entry.dispatcher.now());
    let mut run = OperationRun {
        entry,
        identifier,
        operation,
        fingerprint: request_fingerprint,
        call,
        reservation,
        deadline: Instant::now() + left,
        forwarded,
    };
    run.submit().await
}

/// A request with the operation that it belongs to.
struct OperationRun<'a> {
    entry: &'a Arc<EntryInstance>,
    identifier: &'a OperationHeader,
    operation: RequestedOperation,
    fingerprint: u64,
    call: &'a BufferedRequest,
    reservation: &'a mut BufferReservation,
    deadline: Instant,
    forwarded: bool,
}

impl OperationRun<'_> {
    async fn submit(&mut self) -> Result<RunnerAnswer> {
        let operations = &self.entry.operations;
        let step = loop {
            let ended = operations.ended.notified();
            tokio::pin!(ended);
            // An end between the submission and the wait must wake this task.
            ended.as_mut().enable();
            let now = self.entry.now();
            let step = operations.with_coordinator(|c| {
                c.submit(&self.operation, self.fingerprint, self.forwarded, now)
            });
            let running = NextStep::Reply(Code::OperationRunning.into());
            // A retry of a running operation waits for its end, up to the retry's own deadline.
            if step != running || timeout_at(self.deadline.into(), ended).await.is_err() {
                break step;
            }
        };
        match step {
            NextStep::Forward(owner) => self.forward(owner).await,
            NextStep::AskWitness(intent, attempt) => {
                let to = intent.to;
                let sender = self.entry.identity.clone();
                let answer = self.call_peer(to, &IntentMessage { sender, intent }).await;
                let now = self.entry.now();
                let step =
                    operations.with_coordinator(|c| c.on_witness_reply(attempt, answer, now));
                match step {
                    NextStep::Send(attempt) => self.dispatch(&attempt).await,
                    NextStep::Reply(resolution) => self.reply_without_dispatch(resolution),
                    _ => Err(Code::NotAttempted),
                }
            }
            NextStep::Send(attempt) => self.dispatch(&attempt).await,
            NextStep::Seal(witness) => self.seal(witness).await,
            NextStep::Reply(resolution) => resolution_result(resolution),
        }
    }

    /// Calls a peer; returns `None` if it is not reachable or does not answer in time.
    async fn call_peer<M: Message>(&self, to: Incarnation, message: &M) -> Option<M::Answer> {
        let address = self.entry.operations.peer_address(to, self.entry.now())?;
        let answer = self.entry.peer_client.call(address, message).await;
        answer.ok()
    }

    async fn dispatch(&mut self, attempt: &OperationAttempt) -> Result<RunnerAnswer> {
        let entry = self.entry;
        let operations = &entry.operations;
        let mut started = false;
        let permit = || {
            operations.check_clocks(Instant::now(), SystemTime::now());
            let now = entry.now();
            let granted = operations.with_coordinator(|c| c.grant_dispatch(attempt, now));
            started = granted.is_ok();
            granted.map_err(|resolution| resolution.code())
        };
        // An operation is dispatched once even if its method is idempotent.
        let call = BufferedRequest {
            id: self.call.id.clone(),
            method: self.call.method.clone(),
            path: self.call.path.clone(),
            content_type: self.call.content_type.clone(),
            body: self.call.body.clone(),
            request: request_path::Request {
                idempotent: false,
                ..self.call.request.clone()
            },
        };
        let result = forward::send_to_runner(entry, &call, self.reservation, permit).await;
        let now = entry.now();
        let (result, report) = match result {
            Ok(answer) => {
                let outcome = OperationOutcome::Answered(Arc::new(stored_answer(&answer)));
                let report = operations.with_coordinator(|c| c.finish(attempt, outcome, now));
                (Ok(answer), report)
            }
            Err(code) if started => {
                let outcome = if code.verdict() == Verdict::Unknown {
                    OperationOutcome::Lost(CodeNumber(code))
                } else {
                    OperationOutcome::Refused(CodeNumber(code))
                };
                let report = operations.with_coordinator(|c| c.finish(attempt, outcome, now));
                (Err(code), report)
            }
            Err(code) => {
                let (resolution, report) =
                    operations.with_coordinator(|c| c.refuse(attempt, code, now));
                (resolution_result(resolution), report)
            }
        };
        operations.ended.notify_waiters();
        if let Some(report) = report {
            self.send_outcome(report);
        }
        result
    }

    /// Replies to a request whose attempt was not dispatched, and wakes waiting retries.
    fn reply_without_dispatch(&self, resolution: Resolution) -> Result<RunnerAnswer> {
        self.entry.operations.ended.notify_waiters();
        resolution_result(resolution)
    }

    /// Sends the outcome to the witness in the background.
    ///
    /// If the message is lost, the witness reports the operation as "unknown".
    fn send_outcome(&self, report: OutcomeReport) {
        let entry = self.entry.clone();
        self.entry.spawn_call(move || async move {
            let Some(address) = entry.operations.peer_address(report.to, entry.now()) else {
                return;
            };
            let sender = entry.identity.clone();
            let message = OutcomeMessage { sender, report };
            let _ = entry.peer_client.call(address, &message).await;
        });
    }

    async fn forward(&self, owner: Incarnation) -> Result<RunnerAnswer> {
        let operations = &self.entry.operations;
        let Some(address) = operations.peer_address(owner, self.entry.now()) else {
            return self.owner_lost().await;
        };
        let left = self.deadline.saturating_duration_since(Instant::now());
        let request = &self.call.request;
        let mut headers = vec![(CLASS_HEADER.into(), class_name(request.class).into())];
        if let Some(kind) = &self.call.content_type {
            headers.push((CONTENT_TYPE_HEADER.into(), kind.clone()));
        }
        let message = ForwardMessage {
            sender: self.entry.identity.clone(),
            roster: operations.roster_version(),
            to: owner,
            operation: self.identifier.clone(),
            request_id: self.call.id.clone(),
            caller: request.caller.to_string(),
            method: self.call.method.clone(),
            path: self.call.path.clone(),
            headers,
            body: self.call.body.to_vec().into(),
            remaining_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        };
        let timeout = left + OWNER_ANSWER_MARGIN;
        match self
            .entry
            .peer_client
            .call_with_timeout(address, &message, timeout)
            .await
        {
            Ok(resolution) => resolution_result(resolution),
            Err(_) => self.owner_lost().await,
        }
    }

    async fn owner_lost(&self) -> Result<RunnerAnswer> {
        let RequestedOperation::Ticketed(operation) = &self.operation else {
            return Err(Code::OwnerUnreachable);
        };
        let now = self.entry.now();
        let operations = &self.entry.operations;
        match operations
            .with_coordinator(|c| c.on_owner_unreachable(operation, self.fingerprint, now))
        {
            NextStep::Seal(witness) => self.seal(witness).await,
            NextStep::Reply(resolution) => resolution_result(resolution),
            _ => Err(Code::OwnerUnreachable),
        }
    }

    async fn seal(&self, witness: Incarnation) -> Result<RunnerAnswer> {
        let message = SealMessage {
            sender: self.entry.identity.clone(),
            roster: self.entry.operations.roster_version(),
            to: witness,
            id: self.operation.id(),
            fingerprint: self.fingerprint,
        };
        let sealed = self.call_peer(witness, &message).await.flatten();
        resolution_result(sealed.unwrap_or(Code::OwnerUnreachable.into()))
    }
}

fn stored_answer(answer: &RunnerAnswer) -> nutmegcart_request::Answer {
    nutmegcart_request::Answer {
        status: answer.status,
        headers: vec![("content-type".into(), answer.content_type.clone())],
        body: answer.body.clone().into(),
    }
}

fn resolution_result(resolution: Resolution) -> Result<RunnerAnswer> {
    match resolution {
        Resolution::Answer(stored) => Ok(RunnerAnswer {
            status: stored.status,
            content_type: stored
                .headers
                .first()
                .map_or_else(String::new, |(_, kind)| kind.clone()),
            body: stored.body.0.to_vec(),
        }),
        Resolution::Code(code) => Err(code.0),
    }
}

/// Handles a request that a peer forwarded to this instance as the owner of its operation.
pub async fn on_forward(entry: &Arc<EntryInstance>, message: ForwardMessage) -> Resolution {
    if message.to != entry.identity.incarnation {
        return Code::OwnerUnreachable.into();
    }
    let rest = message.path.strip_prefix("/v1/services/").unwrap_or("");
    let service = rest.split(['/', '?']).next().unwrap_or("");
    let header = |name: &str| {
        let found = message.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.clone())
    };
    let class = match header(CLASS_HEADER).as_deref() {
        Some("deferrable") => Class::Deferrable,
        _ => Class::Urgent,
    };
    let left = Duration::from_millis(message.remaining_ms);
    let call = BufferedRequest {
        content_type: header(CONTENT_TYPE_HEADER),
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
        body: message.body.0.to_vec().into(),
    };
    let mut reservation = entry.buffer_quota.empty_reservation();
    if !reservation.try_grow(call.body.len()) {
        // An earlier attempt may have run.
        return Code::NotAttempted.into();
    }
    match execute(entry, &message.operation, &call, &mut reservation, true).await {
        Ok(answer) => Resolution::Answer(Arc::new(stored_answer(&answer))),
        Err(code) => code.into(),
    }
}

fn class_name(class: Class) -> &'static str {
    match class {
        Class::Urgent => "urgent",
        Class::Deferrable => "deferrable",
    }
}

/// Adds the handlers of the operation messages, except of [`ForwardMessage`], which waits.
#[must_use]
pub fn register(
    dispatcher: MessageDispatcher<Arc<EntryInstance>>,
) -> MessageDispatcher<Arc<EntryInstance>> {
    dispatcher
        .on(|entry: &Arc<EntryInstance>, message: IntentMessage| {
            let now = entry.now();
            let operations = &entry.operations;
            operations.with_coordinator(|c| c.on_intent(&message.intent, now))
        })
        .on(|entry: &Arc<EntryInstance>, message: OutcomeMessage| {
            let now = entry.now();
            let operations = &entry.operations;
            operations.with_coordinator(|c| c.on_report(message.report, now));
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
            operations.with_coordinator(|c| c.on_seal(to, &id, fingerprint, now))
        })
        .on(|entry: &Arc<EntryInstance>, message: HandoverMessage| {
            let now = entry.now();
            let operations = &entry.operations;
            operations.with_coordinator(|c| c.on_handover(message.to, message.records, now))
        })
}
