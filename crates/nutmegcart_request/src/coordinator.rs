//! At-most-once coordination: decides at one entry instance whether an operation may be dispatched.
//!
//! Every operation has one owner, which alone may dispatch it, and usually a witness, which records
//! the owner's intent before any byte is sent. For a ticket the owner is the issuing incarnation;
//! for a plain key owner and witness follow from the roster. When the owner is unreachable, the
//! witness answers for it, and seals operations whose intent it has not recorded.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegcart_model::Code;
use nutmegcart_model::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::ledger::CodeNumber;
use crate::ledger::HandoverRecord;
use crate::ledger::Ledger;
use crate::ledger::LedgerLimits;
use crate::ledger::OperationOutcome;
use crate::ledger::Resolution;
use crate::roster::Member;
use crate::roster::PERMIT_TTL;
use crate::roster::Roster;
use crate::roster::RosterVersion;
use crate::roster::RosterView;
use crate::ticket::OperationId;
use crate::ticket::Ticket;
use crate::ticket::TicketedOperation;

/// Maximum size of an answer that is sent to the witness.
///
/// A report with 4 KB of answer has 33 times the bytes of one without an answer; with 64 KB it has
/// 517 times.
pub const MAX_WITNESS_ANSWER_BYTES: usize = 4 << 10;

/// Operation that a caller requests, as identified by a request header.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestedOperation {
    /// Header `Nutmegcart-Operation`.
    Ticketed(TicketedOperation),
    /// Header `Idempotency-Key`, see [`OperationId::key`].
    Plain(OperationId),
}

impl RequestedOperation {
    /// Returns the identifier of the operation in a ledger.
    #[must_use]
    pub fn id(&self) -> OperationId {
        match self {
            Self::Ticketed(operation) => operation.id(),
            Self::Plain(id) => id.clone(),
        }
    }
}

/// An open attempt of this owner, passed to the calls that dispatch or end it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperationAttempt {
    id: OperationId,
    fingerprint: u64,
    number: u64,
    witness: Option<Incarnation>,
    /// Version of the roster under which a plain key is owned.
    version: Option<RosterVersion>,
    opened_at: Duration,
}

impl OperationAttempt {
    /// Returns the identifier of the operation.
    #[must_use]
    pub fn id(&self) -> &OperationId {
        &self.id
    }
}

/// Request to a witness to record an operation before any byte of it is sent to a runner.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Intent {
    /// Operation to record.
    pub id: OperationId,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Owner that sends the intent.
    pub by: Incarnation,
    /// Witness; another incarnation of the same instance has an empty ledger and must not answer.
    pub to: Incarnation,
    /// Version of the owner's roster for a plain key, `None` for a ticket.
    pub version: Option<RosterVersion>,
}

/// Reply of a witness to an [`Intent`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum IntentReply {
    /// The intent is recorded; the owner may dispatch.
    Recorded,
    /// The operation is known already, or cannot be recorded.
    Known(Resolution),
    /// The receiver is not, or no longer, the witness of the operation.
    NotWitness,
}

/// Report of an operation's outcome from its owner to its witness.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// Operation that ended.
    pub id: OperationId,
    /// Owner that sends the report.
    pub by: Incarnation,
    /// Witness that recorded the intent.
    pub to: Incarnation,
    /// Outcome as the witness is to store it.
    pub outcome: OperationOutcome,
}

/// Next action for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Forward the request to the owner of the operation.
    Forward(Incarnation),
    /// Send the intent, then call [`Coordinator::on_witness_reply`].
    AskWitness(Intent, OperationAttempt),
    /// Admit the request, then call [`Coordinator::grant_dispatch`] right before the first byte.
    Send(OperationAttempt),
    /// Ask the witness to seal the operation.
    Seal(Incarnation),
    /// Reply to the caller.
    Reply(Resolution),
}

/// Records of plain keys that a leaving entry instance sends to the next owners and witnesses.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Handover {
    /// Version of the roster from which the recipients were computed.
    pub version: RosterVersion,
    /// Records by recipient; the handover is complete when all recipients have confirmed.
    pub records: BTreeMap<Incarnation, Vec<HandoverRecord>>,
}

/// At-most-once coordinator of one entry instance.
#[derive(Clone, Debug)]
pub struct Coordinator {
    me: Member,
    ledger: Ledger,
    view: RosterView,
    last_serial: u64,
    /// Witness of issued tickets, as first serial and witness, in ascending order of serial.
    witnesses: Vec<(u64, Option<Incarnation>)>,
    frozen: bool,
}

impl Coordinator {
    /// Creates the coordinator of a new incarnation.
    #[must_use]
    pub fn new(me: Member, limits: LedgerLimits) -> Self {
        Self {
            me,
            ledger: Ledger::new(limits),
            view: RosterView::default(),
            last_serial: 0,
            witnesses: Vec::new(),
            frozen: false,
        }
    }

    /// Returns this incarnation of the entry instance.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the ledger of operations.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the current roster and the times of its confirmation.
    #[must_use]
    pub fn view(&self) -> &RosterView {
        &self.view
    }

    /// Returns the roster view for offers and confirmations of a roster.
    pub fn view_mut(&mut self) -> &mut RosterView {
        &mut self.view
    }

    /// Removes operations from the ledger that are past the retention time.
    pub fn remove_expired(&mut self, now: Duration) {
        self.ledger.remove_expired(now);
    }

    /// Issues a ticket under this incarnation with the given witness.
    pub fn issue_ticket(&mut self, witness: Option<Incarnation>) -> Ticket {
        self.last_serial += 1;
        let last = self.witnesses.last();
        if last.is_none_or(|(_, last)| *last != witness) {
            self.witnesses.push((self.last_serial, witness));
        }
        Ticket {
            centre: self.me.centre.clone(),
            instance: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            serial: self.last_serial,
            witness,
        }
    }

    /// Returns whether this incarnation issued the ticket with the witness that it names.
    fn is_issued(&self, ticket: &Ticket) -> bool {
        let from = |(from, _): &(u64, _)| *from <= ticket.serial;
        let after = self.witnesses.partition_point(from);
        let witness = after.checked_sub(1).map(|index| self.witnesses[index].1);
        ticket.serial <= self.last_serial && witness == Some(ticket.witness)
    }

    /// Decides on a new request.
    ///
    /// `forwarded` is whether a peer forwarded the request; if so, it is not forwarded again.
    pub fn submit(
        &mut self,
        operation: &RequestedOperation,
        fingerprint: u64,
        forwarded: bool,
        now: Duration,
    ) -> NextStep {
        let id = operation.id();
        let pair = match (operation, &id) {
            (RequestedOperation::Ticketed(operation), _) => {
                return self.submit_ticketed(&operation.ticket, &id, fingerprint, forwarded, now);
            }
            (_, OperationId::Key(key)) => self.view.roster().pair(key),
            (_, OperationId::Ticket(_)) => None,
        };
        let Some(pair) = pair else {
            return reply(Code::NotAttempted);
        };
        if pair.owner != self.me.incarnation {
            if forwarded {
                return reply(Code::RosterDisagreement);
            }
            return NextStep::Forward(pair.owner);
        }
        if let Some(known) = self.ledger.find(&id, fingerprint, now) {
            return NextStep::Reply(known);
        }
        let version = self.view.roster().version;
        if self.frozen || !self.view.may_dispatch(version, self.me.incarnation, now) {
            return reply(Code::NotAttempted);
        }
        if self.is_behind_barrier(&id, now) {
            return reply(Code::TakeoverBarrier);
        }
        self.open_attempt(id, fingerprint, pair.witness, Some(version), now)
    }

    fn is_behind_barrier(&self, id: &OperationId, now: Duration) -> bool {
        match id {
            OperationId::Key(key) => self.view.fully_informed(key, now).is_empty(),
            OperationId::Ticket(_) => false,
        }
    }

    fn submit_ticketed(
        &mut self,
        ticket: &Ticket,
        id: &OperationId,
        fingerprint: u64,
        forwarded: bool,
        now: Duration,
    ) -> NextStep {
        if ticket.incarnation != self.me.incarnation {
            if forwarded {
                return reply(Code::OwnerUnreachable);
            }
            return NextStep::Forward(ticket.incarnation);
        }
        // An altered ticket must be refused: a seal by a witness that was not assigned to it would
        // not stop the owner.
        if !self.is_issued(ticket) {
            return reply(Code::BadTicket);
        }
        if !self.frozen {
            return self.open_attempt(id.clone(), fingerprint, ticket.witness, None, now);
        }
        match self.ledger.open_attempt(id, fingerprint, now) {
            Ok(number) => {
                let code = Code::ShuttingDown;
                let refused = OperationOutcome::Refused(CodeNumber(code));
                self.ledger.finish(id, number, refused, now);
                reply(code)
            }
            Err(known) => NextStep::Reply(known),
        }
    }

    fn open_attempt(
        &mut self,
        id: OperationId,
        fingerprint: u64,
        witness: Option<Incarnation>,
        version: Option<RosterVersion>,
        now: Duration,
    ) -> NextStep {
        let number = match self.ledger.open_attempt(&id, fingerprint, now) {
            Ok(number) => number,
            Err(known) => return NextStep::Reply(known),
        };
        let attempt = OperationAttempt {
            id,
            fingerprint,
            number,
            witness,
            version,
            opened_at: now,
        };
        let Some(to) = witness else {
            return NextStep::Send(attempt);
        };
        let intent = Intent {
            id: attempt.id.clone(),
            fingerprint,
            by: self.me.incarnation,
            to,
            version,
        };
        NextStep::AskWitness(intent, attempt)
    }

    /// Continues an attempt with the reply of its witness; `None` if it timed out.
    pub fn on_witness_reply(
        &mut self,
        attempt: OperationAttempt,
        reply: Option<IntentReply>,
        now: Duration,
    ) -> NextStep {
        let known = match reply {
            Some(IntentReply::Recorded) => return NextStep::Send(attempt),
            Some(IntentReply::Known(known)) => Some(known),
            Some(IntentReply::NotWitness) | None => None,
        };
        if attempt.version.is_none() {
            // Only this incarnation dispatches the ticket, so this refusal is final.
            let sealed = known.is_some_and(|known| known.code() == Code::OperationSealed);
            let code = if sealed {
                Code::OperationSealed
            } else {
                Code::WitnessUnreachable
            };
            return NextStep::Reply(self.refuse(&attempt, code, now).0);
        }
        let known = known.unwrap_or(Code::NotAttempted.into());
        let outcome = match &known {
            Resolution::Answer(answer) => Some(OperationOutcome::Answered(answer.clone())),
            Resolution::Code(CodeNumber(Code::AnswerDropped)) => Some(OperationOutcome::Ran),
            Resolution::Code(_) => None,
        };
        let OperationAttempt { id, number, .. } = &attempt;
        match outcome {
            Some(outcome) => {
                self.ledger.finish(id, *number, outcome, now);
            }
            // A retry asks the witness again, which may know the outcome by then. A refusal is not
            // copied, as the copy would outlive the witness's record.
            None => self.ledger.abandon(id, *number),
        }
        NextStep::Reply(known)
    }

    /// Grants the right to dispatch, at most once per operation.
    ///
    /// Must be called right before the first byte is sent to the runner.
    ///
    /// # Errors
    ///
    /// Returns the reply for the caller if the right to dispatch has expired.
    pub fn grant_dispatch(
        &mut self,
        attempt: &OperationAttempt,
        now: Duration,
    ) -> Result<(), Resolution> {
        let OperationAttempt { id, number, .. } = attempt;
        if let Some(version) = attempt.version {
            let in_time = now < attempt.opened_at + PERMIT_TTL;
            if !in_time || !self.view.may_dispatch(version, self.me.incarnation, now) {
                // A new owner may have dispatched the operation, so it must not count as "not run".
                let code = CodeNumber(Code::OperationUnknown);
                self.ledger
                    .finish(id, *number, OperationOutcome::Lost(code), now);
                return Err(Resolution::Code(code));
            }
        }
        self.ledger.mark_dispatched(id, *number, now)
    }

    /// Ends an attempt before its dispatch, for example because the queue is full.
    ///
    /// Returns the reply for the caller and the report for the witness. The refusal is final; to
    /// try again, the caller must use a new request number or plain key.
    pub fn refuse(
        &mut self,
        attempt: &OperationAttempt,
        code: Code,
        now: Duration,
    ) -> (Resolution, Option<OutcomeReport>) {
        let stale = attempt.version.is_some_and(|version| {
            now >= attempt.opened_at + PERMIT_TTL
                || !self.view.may_dispatch(version, self.me.incarnation, now)
        });
        let outcome = if stale {
            OperationOutcome::Lost(CodeNumber(Code::OperationUnknown))
        } else {
            OperationOutcome::Refused(CodeNumber(code))
        };
        let report = self.finish(attempt, outcome, now);
        let known = self.ledger.find(&attempt.id, attempt.fingerprint, now);
        (known.unwrap_or(Code::OperationUnknown.into()), report)
    }

    /// Ends an attempt and returns the report for the witness.
    pub fn finish(
        &mut self,
        attempt: &OperationAttempt,
        outcome: OperationOutcome,
        now: Duration,
    ) -> Option<OutcomeReport> {
        let OperationAttempt { id, number, .. } = attempt;
        if !self.ledger.finish(id, *number, outcome.clone(), now) {
            return None;
        }
        let outcome = match outcome {
            OperationOutcome::Answered(answer) if answer.size() > MAX_WITNESS_ANSWER_BYTES => {
                OperationOutcome::Ran
            }
            outcome => outcome,
        };
        attempt.witness.map(|to| OutcomeReport {
            id: id.clone(),
            by: self.me.incarnation,
            to,
            outcome,
        })
    }

    /// Cancels an attempt before its dispatch; `recorded` is whether the witness has replied.
    pub fn cancel(
        &mut self,
        attempt: &OperationAttempt,
        recorded: bool,
        now: Duration,
    ) -> Option<OutcomeReport> {
        if attempt.version.is_some() && !recorded {
            self.ledger.abandon(&attempt.id, attempt.number);
            return None;
        }
        self.refuse(attempt, Code::OperationCancelled, now).1
    }

    /// Decides on a ticketed operation whose owner does not answer.
    pub fn on_owner_unreachable(
        &mut self,
        operation: &TicketedOperation,
        fingerprint: u64,
        now: Duration,
    ) -> NextStep {
        match operation.ticket.witness {
            Some(witness) if witness == self.me.incarnation => {
                NextStep::Reply(self.ledger.seal(&operation.id(), fingerprint, now))
            }
            Some(witness) => NextStep::Seal(witness),
            None => reply(Code::OwnerUnreachable),
        }
    }

    /// Handles the intent of an owner, as its witness.
    pub fn on_intent(&mut self, intent: &Intent, now: Duration) -> IntentReply {
        if intent.to != self.me.incarnation || self.frozen {
            return IntentReply::NotWitness;
        }
        if let OperationId::Key(key) = &intent.id {
            let roster = self.view.roster();
            let pair = roster.pair(key);
            let owned = pair.is_some_and(|pair| pair.owner == intent.by);
            let witnessed = pair.and_then(|pair| pair.witness) == Some(intent.to);
            if intent.version != Some(roster.version) || !owned || !witnessed {
                return IntentReply::NotWitness;
            }
        }
        let Intent {
            id,
            fingerprint,
            by,
            ..
        } = intent;
        match self.ledger.record_intent(id, *fingerprint, *by, now) {
            Ok(()) => IntentReply::Recorded,
            Err(known) => IntentReply::Known(known),
        }
    }

    /// Handles the outcome report of an owner, as its witness.
    pub fn on_report(&mut self, report: OutcomeReport, now: Duration) {
        if report.to == self.me.incarnation {
            self.ledger
                .record_outcome(&report.id, report.by, report.outcome, now);
        }
    }

    /// Seals a ticketed operation; `None` if the request is for another incarnation.
    pub fn on_seal(
        &mut self,
        to: Incarnation,
        id: &OperationId,
        fingerprint: u64,
        now: Duration,
    ) -> Option<Resolution> {
        let ticketed = matches!(id, OperationId::Ticket(_));
        (ticketed && to == self.me.incarnation).then(|| self.ledger.seal(id, fingerprint, now))
    }

    /// Permanently stops opening and witnessing operations, before a handover.
    pub fn freeze(&mut self) {
        self.frozen = true;
    }

    /// Returns the records to hand over; must be called after [`Coordinator::freeze`].
    ///
    /// Attempts at plain keys that are not dispatched yet lose the right to dispatch.
    pub fn handover(&mut self, now: Duration) -> Handover {
        debug_assert!(self.frozen, "the ledger must be frozen before a handover");
        let me = self.me.incarnation;
        let roster: Roster = self.view.roster().clone();
        let mut records: BTreeMap<Incarnation, Vec<HandoverRecord>> = BTreeMap::new();
        for record in self.ledger.export(me, now) {
            let OperationId::Key(key) = &record.id else {
                continue;
            };
            if !roster.pair(key).is_some_and(|pair| pair.contains(me)) {
                continue;
            }
            let Some(next) = roster.pair_without(key, me) else {
                continue;
            };
            for to in next.iter() {
                records.entry(to).or_default().push(record.clone());
            }
        }
        Handover {
            version: roster.version,
            records,
        }
    }

    /// Adds the records of a leaving entry instance to the ledger.
    ///
    /// Returns `false` if they are for another incarnation or if this instance is leaving too.
    pub fn on_handover(
        &mut self,
        to: Incarnation,
        records: Vec<HandoverRecord>,
        now: Duration,
    ) -> bool {
        // A frozen ledger has been handed over, so the records would be lost with this process.
        let accepted = to == self.me.incarnation && !self.frozen;
        if accepted {
            self.ledger.import(records, now);
        }
        accepted
    }
}

fn reply(code: Code) -> NextStep {
    NextStep::Reply(code.into())
}
