//! Decides at one entry instance who may dispatch an operation, and when.

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

/// Largest answer in bytes that is sent to the witness: 4 KB cost 33 times the bytes of the message
/// without an answer, 64 KB 517 times.
pub const MAX_WITNESS_ANSWER_BYTES: usize = 4 << 10;

/// Identifier that the caller gave to its request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestedOperation {
    /// Header `Nutmegcart-RequestedOperation`.
    Ticketed(TicketedOperation),
    /// Header `Idempotency-Key`, see [`OperationId::key`].
    Plain(OperationId),
}

impl RequestedOperation {
    /// Returns the key of the operation in a ledger.
    #[must_use]
    pub fn id(&self) -> OperationId {
        match self {
            Self::Ticketed(operation) => operation.id(),
            Self::Plain(id) => id.clone(),
        }
    }
}

/// An attempt of this owner; a token for the following calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperationAttempt {
    id: OperationId,
    fingerprint: u64,
    number: u64,
    witness: Option<Incarnation>,
    /// Version of the roster under which a plain key is owned.
    version: Option<RosterVersion>,
    begun: Duration,
}

impl OperationAttempt {
    /// Returns the operation.
    #[must_use]
    pub fn id(&self) -> &OperationId {
        &self.id
    }
}

/// Asks a witness to record an operation before any byte is sent.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Intent {
    /// Operation.
    pub id: OperationId,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Owner.
    pub by: Incarnation,
    /// Witness; another life of the same entry instance has an empty ledger and must not answer.
    pub to: Incarnation,
    /// Version of the roster, for a plain key.
    pub version: Option<RosterVersion>,
}

/// Answer of a witness.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum IntentReply {
    /// The intent is on record.
    Recorded,
    /// The operation is on record already, or cannot be recorded.
    Known(Resolution),
    /// The entry instance is not, or no longer, the witness.
    NotWitness,
}

/// Tells a witness what became of an operation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// Operation.
    pub id: OperationId,
    /// Owner.
    pub by: Incarnation,
    /// Witness.
    pub to: Incarnation,
    /// Outcome.
    pub outcome: OperationOutcome,
}

/// What to do next with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Pass the request to its owner.
    Forward(Incarnation),
    /// Send the intent, then call [`Coordinator::on_witness_reply`].
    AskWitness(Intent, OperationAttempt),
    /// Admit the request, then call [`Coordinator::grant_dispatch`] right before the first byte.
    Send(OperationAttempt),
    /// Ask the witness to seal the operation.
    Seal(Incarnation),
    /// Answer the caller.
    Reply(Resolution),
}

/// A ledger's plain keys, ready to be sent to the pairs that follow.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Handover {
    /// Version of the roster for which the pairs were computed.
    pub version: RosterVersion,
    /// Records by recipient; all recipients must confirm.
    pub records: BTreeMap<Incarnation, Vec<HandoverRecord>>,
}

/// At-most-once decisions of one entry instance.
#[derive(Clone, Debug)]
pub struct Coordinator {
    me: Member,
    ledger: Ledger,
    view: RosterView,
    serial: u64,
    /// Witness of the tickets from a serial on.
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
            serial: 0,
            witnesses: Vec::new(),
            frozen: false,
        }
    }

    /// Returns this life of the entry instance.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the ledger.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the roster in force.
    #[must_use]
    pub fn view(&self) -> &RosterView {
        &self.view
    }

    /// Returns the roster in force for offers and confirmations.
    pub fn view_mut(&mut self) -> &mut RosterView {
        &mut self.view
    }

    /// Forgets operations that are past the retention time.
    pub fn remove_expired(&mut self, now: Duration) {
        self.ledger.remove_expired(now);
    }

    /// Issues a ticket whose intents the witness records.
    pub fn issue_ticket(&mut self, witness: Option<Incarnation>) -> Ticket {
        self.serial += 1;
        let last = self.witnesses.last();
        if last.is_none_or(|(_, last)| *last != witness) {
            self.witnesses.push((self.serial, witness));
        }
        Ticket {
            centre: self.me.centre.clone(),
            instance: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            serial: self.serial,
            witness,
        }
    }

    /// Returns whether the ticket was issued here with this witness.
    fn is_issued(&self, ticket: &Ticket) -> bool {
        let from = |(from, _): &(u64, _)| *from <= ticket.serial;
        let after = self.witnesses.partition_point(from);
        let witness = after.checked_sub(1).map(|index| self.witnesses[index].1);
        ticket.serial <= self.serial && witness == Some(ticket.witness)
    }

    /// Starts a request; `forwarded` if a peer passed it on, so that it is not passed on again.
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
        if self.is_barred(&id, now) {
            return reply(Code::TakeoverBarrier);
        }
        self.open(id, fingerprint, pair.witness, Some(version), now)
    }

    fn is_barred(&self, id: &OperationId, now: Duration) -> bool {
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
        // A ticket with another witness was not issued here: its seal would mean nothing.
        if !self.is_issued(ticket) {
            return reply(Code::BadTicket);
        }
        if !self.frozen {
            return self.open(id.clone(), fingerprint, ticket.witness, None, now);
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

    fn open(
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
            begun: now,
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

    /// Continues with the witness's reply; none if there was no answer in time.
    pub fn on_witness_reply(
        &mut self,
        attempt: OperationAttempt,
        answer: Option<IntentReply>,
        now: Duration,
    ) -> NextStep {
        let known = match answer {
            Some(IntentReply::Recorded) => return NextStep::Send(attempt),
            Some(IntentReply::Known(known)) => Some(known),
            Some(IntentReply::NotWitness) | None => None,
        };
        if attempt.version.is_none() {
            // Nobody else dispatches it, so this refusal is final.
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
            // A retry asks the witness again, which may know more by then. A refusal is not
            // copied: a copy would outlive the original.
            None => self.ledger.abandon(id, *number),
        }
        NextStep::Reply(known)
    }

    /// Grants the dispatch, at most once per operation; to be called right before the first byte.
    ///
    /// # Errors
    ///
    /// Returns the answer for the caller if the right to dispatch has lapsed.
    pub fn grant_dispatch(
        &mut self,
        attempt: &OperationAttempt,
        now: Duration,
    ) -> Result<(), Resolution> {
        let OperationAttempt { id, number, .. } = attempt;
        if let Some(version) = attempt.version {
            let in_time = now < attempt.begun + PERMIT_TTL;
            if !in_time || !self.view.may_dispatch(version, self.me.incarnation, now) {
                // A successor may have dispatched it meanwhile, so this is not "not run".
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
    /// Returns the answer for the caller and the report for the witness. The refusal is final: a
    /// caller that wants another try uses a new number or key.
    pub fn refuse(
        &mut self,
        attempt: &OperationAttempt,
        code: Code,
        now: Duration,
    ) -> (Resolution, Option<OutcomeReport>) {
        let stale = attempt.version.is_some_and(|version| {
            now >= attempt.begun + PERMIT_TTL
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

    /// Cancels an attempt whose witness has not replied yet, or that was not dispatched yet.
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

    /// Decides what to do when the owner of a ticket gives no answer.
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

    /// Answers an owner's intent.
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

    /// Notes an owner's report.
    pub fn on_report(&mut self, report: OutcomeReport, now: Duration) {
        if report.to == self.me.incarnation {
            self.ledger
                .record_outcome(&report.id, report.by, report.outcome, now);
        }
    }

    /// Seals an operation under a ticket; none if another incarnation was asked.
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

    /// Stops opening and witnessing operations, for good.
    pub fn freeze(&mut self) {
        self.frozen = true;
    }

    /// Returns the records to hand over, after [`Coordinator::freeze`].
    ///
    /// Attempts at plain keys that were not dispatched lose the right to it.
    pub fn handover(&mut self, now: Duration) -> Handover {
        debug_assert!(self.frozen, "a ledger in use cannot be handed over");
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

    /// Takes over records; false if they were meant for another incarnation.
    pub fn on_handover(
        &mut self,
        to: Incarnation,
        records: Vec<HandoverRecord>,
        now: Duration,
    ) -> bool {
        // A leaving recipient would take the records with it.
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
