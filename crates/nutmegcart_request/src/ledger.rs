//! Ledger of operations at one entry instance, in its roles as owner and as witness.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::mem::size_of;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::Code;
use nutmegcart_model::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::answer::Answer;
use crate::forgotten_tickets::ForgottenTickets;
use crate::roster::CLOCK_DRIFT_MARGIN;
use crate::roster::OPERATION_RETENTION;
use crate::roster::PERMIT_TTL;
use crate::ticket::OperationId;

/// Time after its last change at which a record is removed.
///
/// Longer than the retention time by twice [`PERMIT_TTL`] and the clock margin: the witness may
/// record the intent up to one `PERMIT_TTL` before the owner dispatches or refuses, and the owner
/// repeats a refusal for another one.
pub const RECORD_TTL: Duration = Duration::from_secs(
    OPERATION_RETENTION.as_secs() + 2 * PERMIT_TTL.as_secs() + CLOCK_DRIFT_MARGIN.as_secs(),
);

/// Number of oldest records that are searched for one to evict when memory runs out.
const EVICTION_SCAN_LIMIT: usize = 64;

/// Size limits of a ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LedgerLimits {
    /// Maximum estimated memory use of the ledger.
    pub memory_bytes: usize,
    /// Maximum size of a stored answer.
    pub answer_bytes: usize,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            // Half of the 128 MB that an entry instance may use.
            memory_bytes: 64 << 20,
            answer_bytes: 64 << 10,
        }
    }
}

/// Final outcome of an operation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum OperationOutcome {
    /// It ran and gave this answer.
    Answered(Arc<Answer>),
    /// It ran, but its answer is not stored.
    Ran,
    /// It did not run and never will; the code is the reason.
    Refused(CodeNumber),
    /// It may have run; the code is the reason for the uncertainty.
    Lost(CodeNumber),
}

/// A result code that is serialised as its number.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "u16", into = "u16")]
pub struct CodeNumber(pub Code);

impl From<CodeNumber> for u16 {
    fn from(code: CodeNumber) -> Self {
        code.0.number()
    }
}

impl TryFrom<u16> for CodeNumber {
    type Error = String;

    fn try_from(number: u16) -> Result<Self, String> {
        let mut codes = Code::ALL.iter();
        let code = codes.find(|code| code.number() == number);
        code.copied()
            .map(Self)
            .ok_or_else(|| format!("code {number} is not known"))
    }
}

/// Reply to a caller about an operation in the ledger.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Resolution {
    /// The stored answer.
    Answer(Arc<Answer>),
    /// A result code without an answer.
    Code(CodeNumber),
}

impl From<Code> for Resolution {
    fn from(code: Code) -> Self {
        Self::Code(CodeNumber(code))
    }
}

impl Resolution {
    /// Returns the result code; [`Code::Ok`] for a stored answer.
    #[must_use]
    pub fn code(&self) -> Code {
        match self {
            Self::Answer(_) => Code::Ok,
            Self::Code(code) => code.0,
        }
    }
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    /// This owner has an open attempt that is not dispatched yet.
    Intent { attempt: u64 },
    /// This owner dispatched the operation.
    Running { attempt: u64 },
    /// This witness recorded the intent of the given owner, which may have dispatched it.
    Recorded { by: Incarnation },
    /// This witness will refuse every intent for the operation.
    Sealed,
    /// The operation has ended.
    Finished(OperationOutcome),
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: u64,
    changed: Duration,
    /// Time of the record's current item in the expiry queue; other items are stale.
    queued: Duration,
    state: State,
}

impl Entry {
    fn resolution(&self, id: &OperationId, now: Duration) -> Resolution {
        let plain = matches!(id, OperationId::Key(_));
        match &self.state {
            // The other member of the pair may remove its record within the retention time from
            // now, so a repeated "not run" could be followed by a run there.
            State::Finished(OperationOutcome::Refused(_))
                if plain && now >= self.changed + PERMIT_TTL =>
            {
                Code::NotAttempted.into()
            }
            State::Intent { .. } | State::Running { .. } => Code::OperationRunning.into(),
            State::Recorded { .. } => Code::OperationUnknown.into(),
            State::Sealed => Code::OperationSealed.into(),
            State::Finished(OperationOutcome::Answered(answer)) => {
                Resolution::Answer(answer.clone())
            }
            State::Finished(OperationOutcome::Ran) => Code::AnswerDropped.into(),
            State::Finished(OperationOutcome::Refused(code) | OperationOutcome::Lost(code)) => {
                Resolution::Code(*code)
            }
        }
    }

    fn answer_size(&self) -> usize {
        match &self.state {
            State::Finished(OperationOutcome::Answered(answer)) => answer.size(),
            _ => 0,
        }
    }
}

/// A ledger record that a leaving entry instance hands over.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HandoverRecord {
    /// Operation to which the record belongs.
    pub id: OperationId,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Outcome, or the owner whose intent is recorded.
    pub state: HandoverState,
}

/// State of a record in a handover.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum HandoverState {
    /// The given owner sent its intent for the operation and may have dispatched it.
    Recorded(Incarnation),
    /// The operation has ended with this outcome.
    #[serde(rename = "Over")]
    Finished(OperationOutcome),
}

/// Operations known to one entry instance, with their states and stored answers.
///
/// ```
/// # use std::time::Duration;
/// # use nutmegcart_model::{CallerName, Code};
/// # use nutmegcart_request::{Ledger, OperationId};
/// let mut ledger = Ledger::default();
/// let id = OperationId::key(&CallerName::from("c"), "k").unwrap();
/// let attempt = ledger.open_attempt(&id, 1, Duration::ZERO).unwrap();
/// let again = ledger.open_attempt(&id, 1, Duration::ZERO).unwrap_err();
/// assert_eq!(again.code(), Code::OperationRunning);
/// assert!(ledger.mark_dispatched(&id, attempt, Duration::ZERO).is_ok());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    limits: LedgerLimits,
    entries: HashMap<OperationId, Entry>,
    forgotten_tickets: ForgottenTickets,
    /// Records in approximate order of expiry.
    expiry_queue: VecDeque<(Duration, OperationId)>,
    /// Operations with a stored answer, oldest first; may contain operations whose answer was
    /// dropped.
    answer_queue: VecDeque<OperationId>,
    memory: usize,
    last_attempt: u64,
}

/// Estimated memory of a record without its key and answer; the factors cover the spare capacity
/// of the map and the queue.
const RECORD_SIZE_BYTES: usize =
    2 * (size_of::<OperationId>() + size_of::<Entry>()) + 2 * size_of::<(Duration, OperationId)>();

fn record_size(id: &OperationId) -> usize {
    match id {
        OperationId::Ticket(_) => RECORD_SIZE_BYTES,
        OperationId::Key(key) => RECORD_SIZE_BYTES + key.len(),
    }
}

/// Converts an outcome for storage in another ledger.
///
/// A refusal of a plain key is not copied, as the copy may outlive the original: one member of the
/// pair would still answer "not run" while the other, which has removed its record, runs the key.
fn outcome_for_replica(id: &OperationId, outcome: OperationOutcome) -> OperationOutcome {
    match (id, outcome) {
        (OperationId::Key(_), OperationOutcome::Refused(_)) => {
            OperationOutcome::Lost(CodeNumber(Code::NotAttempted))
        }
        (_, outcome) => outcome,
    }
}

impl Ledger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Returns the number of operations in the ledger.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the ledger has no operations.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the estimated memory use in bytes.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.memory
    }

    /// Returns the number of stored answers.
    #[must_use]
    pub fn stored_answers(&self) -> usize {
        let answered =
            |entry: &&Entry| matches!(entry.state, State::Finished(OperationOutcome::Answered(_)));
        self.entries.values().filter(answered).count()
    }

    /// Returns the reply for an operation, or `None` if it is not known.
    #[must_use]
    pub fn find(&self, id: &OperationId, fingerprint: u64, now: Duration) -> Option<Resolution> {
        match self.entries.get(id) {
            // A seal applies to the operation whatever the content of the request.
            Some(entry) if entry.state == State::Sealed => Some(entry.resolution(id, now)),
            Some(entry) if entry.fingerprint != fingerprint => Some(Code::KeyReused.into()),
            Some(entry) => Some(entry.resolution(id, now)),
            None if self.forgotten_tickets.contains(id) => Some(Code::OperationForgotten.into()),
            None => None,
        }
    }

    /// Opens an attempt of this owner and returns its number.
    ///
    /// # Errors
    ///
    /// Returns the reply if the operation is known already or cannot be recorded.
    pub fn open_attempt(
        &mut self,
        id: &OperationId,
        fingerprint: u64,
        now: Duration,
    ) -> Result<u64, Resolution> {
        if let Some(known) = self.find(id, fingerprint, now) {
            return Err(known);
        }
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        self.try_insert(id, fingerprint, State::Intent { attempt }, now)?;
        Ok(attempt)
    }

    /// Marks an open attempt as dispatched; succeeds at most once per operation.
    ///
    /// # Errors
    ///
    /// Returns the reply that describes the actual state of the operation.
    pub fn mark_dispatched(
        &mut self,
        id: &OperationId,
        attempt: u64,
        now: Duration,
    ) -> Result<(), Resolution> {
        let entry = self.entries.get_mut(id);
        let entry = entry.ok_or(Resolution::from(Code::OperationUnknown))?;
        if entry.state != (State::Intent { attempt }) {
            return Err(entry.resolution(id, now));
        }
        entry.state = State::Running { attempt };
        entry.changed = now;
        Ok(())
    }

    /// Ends an attempt; returns `false` if it is not the current attempt of the operation.
    ///
    /// An answer too large to be stored becomes [`OperationOutcome::Ran`]. After
    /// [`Ledger::mark_dispatched`], [`OperationOutcome::Refused`] is only allowed if no byte was
    /// sent or the runner refused.
    pub fn finish(
        &mut self,
        id: &OperationId,
        attempt: u64,
        outcome: OperationOutcome,
        now: Duration,
    ) -> bool {
        let Some(entry) = self.entries.get(id) else {
            return false;
        };
        let in_progress = match entry.state {
            State::Intent { attempt: open } | State::Running { attempt: open } => open == attempt,
            _ => false,
        };
        if in_progress {
            self.set_state(id, State::Finished(outcome), now);
        }
        in_progress
    }

    /// Removes the record of a plain key whose attempt was not dispatched, so that a retry can open
    /// a new one.
    pub fn abandon(&mut self, id: &OperationId, attempt: u64) {
        let open = |entry: &Entry| entry.state == State::Intent { attempt };
        if matches!(id, OperationId::Key(_)) && self.entries.get(id).is_some_and(open) {
            self.remove(id);
        }
    }

    /// Records the intent of another owner, as its witness.
    ///
    /// # Errors
    ///
    /// Returns the reply if the operation is known already or cannot be recorded.
    pub fn record_intent(
        &mut self,
        id: &OperationId,
        fingerprint: u64,
        by: Incarnation,
        now: Duration,
    ) -> Result<(), Resolution> {
        match self.entries.get(id) {
            Some(entry) if entry.fingerprint == fingerprint => {
                // The owner repeats its intent if the first reply was lost. This is safe, as only
                // this owner may act on the record.
                if entry.state == (State::Recorded { by }) {
                    self.set_state(id, State::Recorded { by }, now);
                    return Ok(());
                }
            }
            Some(_) => {}
            None if self.forgotten_tickets.contains(id) => {}
            None => return self.try_insert(id, fingerprint, State::Recorded { by }, now),
        }
        let known = self.find(id, fingerprint, now);
        Err(known.unwrap_or(Code::OperationUnknown.into()))
    }

    /// Stores the outcome that the owner reports for its recorded intent.
    pub fn record_outcome(
        &mut self,
        id: &OperationId,
        by: Incarnation,
        outcome: OperationOutcome,
        now: Duration,
    ) {
        let recorded = |entry: &Entry| entry.state == State::Recorded { by };
        if self.entries.get(id).is_some_and(recorded) {
            self.set_state(id, State::Finished(outcome_for_replica(id, outcome)), now);
        }
    }

    /// Seals an unknown operation, so that every later intent for it is refused.
    ///
    /// Returns the reply for the operation: sealed, or its state if it is known already.
    pub fn seal(&mut self, id: &OperationId, fingerprint: u64, now: Duration) -> Resolution {
        if let Some(known) = self.find(id, fingerprint, now) {
            return known;
        }
        match self.try_insert(id, fingerprint, State::Sealed, now) {
            Ok(()) => Code::OperationSealed.into(),
            Err(full) => full,
        }
    }

    /// Ends the undispatched attempts at plain keys and returns the records of all plain keys for
    /// a handover.
    pub fn export(&mut self, me: Incarnation, now: Duration) -> Vec<HandoverRecord> {
        let open = |entry: &Entry| matches!(entry.state, State::Intent { .. });
        let plain = |id: &OperationId| matches!(id, OperationId::Key(_));
        let entries = self.entries.iter();
        let undispatched = entries.filter(|(id, entry)| plain(id) && open(entry));
        let undispatched: Vec<OperationId> = undispatched.map(|(id, _)| id.clone()).collect();
        for id in undispatched {
            let lost = OperationOutcome::Lost(CodeNumber(Code::OperationUnknown));
            self.set_state(&id, State::Finished(lost), now);
        }
        let entries = self.entries.iter().filter(|(id, _)| plain(id));
        let mut handed: Vec<HandoverRecord> = entries
            .map(|(id, entry)| HandoverRecord {
                id: id.clone(),
                fingerprint: entry.fingerprint,
                state: match &entry.state {
                    State::Finished(outcome) => {
                        HandoverState::Finished(outcome_for_replica(id, outcome.clone()))
                    }
                    State::Recorded { by } => HandoverState::Recorded(*by),
                    _ => HandoverState::Recorded(me),
                },
            })
            .collect();
        handed.sort_by(|a, b| a.id.cmp(&b.id));
        handed
    }

    /// Adds the records of a leaving entry instance, even if they exceed the memory limit.
    pub fn import(&mut self, records: Vec<HandoverRecord>, now: Duration) {
        for HandoverRecord {
            id,
            fingerprint,
            state,
        } in records
        {
            let state = match state {
                HandoverState::Recorded(by) => State::Recorded { by },
                HandoverState::Finished(outcome) => State::Finished(outcome),
            };
            match self.entries.get(&id).map(|entry| &entry.state) {
                None => self.insert(&id, fingerprint, state, now),
                // With intents of two owners on record, neither owner may act on it.
                Some(State::Recorded { by }) if state != (State::Recorded { by: *by }) => {
                    let lost =
                        State::Finished(OperationOutcome::Lost(CodeNumber(Code::OperationUnknown)));
                    let finished = matches!(state, State::Finished(_));
                    self.set_state(&id, if finished { state } else { lost }, now);
                }
                // The imported state replaces an attempt that is not dispatched yet.
                Some(State::Intent { .. }) => self.set_state(&id, state, now),
                Some(_) => {}
            }
        }
    }

    /// Removes records that have not changed for [`RECORD_TTL`]; attempts in progress are kept.
    pub fn remove_expired(&mut self, now: Duration) {
        while let Some((since, id)) = self.expiry_queue.pop_front() {
            if since + RECORD_TTL > now {
                self.expiry_queue.push_front((since, id));
                break;
            }
            let Some(entry) = self.entries.get_mut(&id) else {
                continue;
            };
            if entry.queued != since {
                continue;
            }
            let in_progress = matches!(entry.state, State::Intent { .. } | State::Running { .. });
            if in_progress || entry.changed + RECORD_TTL > now {
                // Appending keeps the queue only roughly in order of time, but removes no record
                // early.
                entry.queued = if in_progress { now } else { entry.changed };
                self.expiry_queue.push_back((entry.queued, id));
            } else {
                self.remove(&id);
            }
        }
    }

    fn try_insert(
        &mut self,
        id: &OperationId,
        fingerprint: u64,
        state: State,
        now: Duration,
    ) -> Result<(), Resolution> {
        let size = record_size(id);
        self.drop_answers(size);
        while self.memory + size > self.limits.memory_bytes {
            if !self.evict_ticket() {
                return Err(Code::NotAttempted.into());
            }
        }
        // Eviction may have closed the ticket of this operation.
        if self.forgotten_tickets.contains(id) {
            return Err(Code::OperationForgotten.into());
        }
        self.insert(id, fingerprint, state, now);
        Ok(())
    }

    /// Evicts the oldest ticketed operation that is not in progress; returns `false` if there is
    /// none among the oldest records.
    ///
    /// `forgotten_tickets` prevents such an operation from running again. Plain keys have no such
    /// protection and are never evicted.
    fn evict_ticket(&mut self) -> bool {
        let old = self
            .expiry_queue
            .iter()
            .take(EVICTION_SCAN_LIMIT)
            .position(|(_, id)| {
                let state = self.entries.get(id).map(|entry| &entry.state);
                let in_progress =
                    matches!(state, Some(State::Intent { .. } | State::Running { .. }));
                matches!(id, OperationId::Ticket(_)) && !in_progress
            });
        let Some((_, id)) = old.and_then(|index| self.expiry_queue.remove(index)) else {
            return false;
        };
        self.remove(&id);
        true
    }

    fn insert(&mut self, id: &OperationId, fingerprint: u64, state: State, now: Duration) {
        self.memory += record_size(id);
        self.forgotten_tickets.add_record(id);
        self.expiry_queue.push_back((now, id.clone()));
        let entry = Entry {
            fingerprint,
            changed: now,
            queued: now,
            // Replaced by `set_state`, which also accounts for the memory of an answer.
            state: State::Sealed,
        };
        self.entries.insert(id.clone(), entry);
        self.set_state(id, state, now);
    }

    fn set_state(&mut self, id: &OperationId, state: State, now: Duration) {
        let state = match state {
            State::Finished(OperationOutcome::Answered(answer))
                if answer.size() > self.limits.answer_bytes =>
            {
                State::Finished(OperationOutcome::Ran)
            }
            other => other,
        };
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        self.memory -= entry.answer_size();
        entry.state = state;
        entry.changed = now;
        let added = entry.answer_size();
        self.memory += added;
        if matches!(entry.state, State::Finished(OperationOutcome::Answered(_))) {
            self.answer_queue.push_back(id.clone());
            self.drop_answers(0);
        }
    }

    /// Drops the oldest stored answers until the given number of bytes fits; their records remain
    /// as [`OperationOutcome::Ran`].
    fn drop_answers(&mut self, bytes: usize) {
        while self.memory + bytes > self.limits.memory_bytes {
            let Some(id) = self.answer_queue.pop_front() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&id) {
                let size = entry.answer_size();
                if size > 0 || matches!(entry.state, State::Finished(OperationOutcome::Answered(_)))
                {
                    self.memory -= size;
                    entry.state = State::Finished(OperationOutcome::Ran);
                }
            }
        }
    }

    fn remove(&mut self, id: &OperationId) {
        if let Some(entry) = self.entries.remove(id) {
            self.memory -= record_size(id) + entry.answer_size();
            self.forgotten_tickets.remove_record(id);
        }
        if let Some(front) = self.answer_queue.front()
            && !self.entries.contains_key(front)
        {
            self.answer_queue.pop_front();
        }
    }
}
