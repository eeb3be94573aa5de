//! The record of operations at one entry instance, as owner and as witness.

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

/// Time after the last change at which a record is forgotten.
///
/// The witness records up to [`PERMIT_TTL`] before the owner dispatches or refuses, and the owner
/// repeats a refusal for as long again.
pub const RECORD_TTL: Duration = Duration::from_secs(
    OPERATION_RETENTION.as_secs() + 2 * PERMIT_TTL.as_secs() + CLOCK_DRIFT_MARGIN.as_secs(),
);

/// Oldest records among which one is looked for when memory runs out.
const FORGET_SCAN: usize = 64;

/// Bounds of a ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LedgerLimits {
    /// Estimated memory of the ledger in bytes.
    pub memory_bytes: usize,
    /// Largest stored answer in bytes.
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

/// What became of an operation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum OperationOutcome {
    /// It ran, and this is the answer.
    Answered(Arc<Answer>),
    /// It ran, and the answer is not stored.
    Ran,
    /// It never ran and never will.
    Refused(CodeNumber),
    /// It may have run.
    Lost(CodeNumber),
}

/// A result code as its number in messages.
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

/// What a caller is told about an operation on record.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Resolution {
    /// The stored answer.
    Answer(Arc<Answer>),
    /// A code.
    Code(CodeNumber),
}

impl From<Code> for Resolution {
    fn from(code: Code) -> Self {
        Self::Code(CodeNumber(code))
    }
}

impl Resolution {
    /// Returns the code, [`Code::Ok`] for a stored answer.
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
    /// An attempt of this owner is under way, and nothing was dispatched.
    Intent { attempt: u64 },
    /// This owner dispatched the operation.
    Running { attempt: u64 },
    /// Another owner announced the operation and may have dispatched it.
    Recorded { by: Incarnation },
    /// This witness promised to record no intent.
    Sealed,
    /// The final state.
    Over(OperationOutcome),
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: u64,
    changed: Duration,
    /// Time under which the record stands in the queue; an older item is stale.
    queued: Duration,
    state: State,
}

impl Entry {
    fn resolution(&self, id: &OperationId, now: Duration) -> Resolution {
        let plain = matches!(id, OperationId::Key(_));
        match &self.state {
            // The other member of the pair may forget the key within the retention time from now.
            State::Over(OperationOutcome::Refused(_))
                if plain && now >= self.changed + PERMIT_TTL =>
            {
                Code::NotAttempted.into()
            }
            State::Intent { .. } | State::Running { .. } => Code::OperationRunning.into(),
            State::Recorded { .. } => Code::OperationUnknown.into(),
            State::Sealed => Code::OperationSealed.into(),
            State::Over(OperationOutcome::Answered(answer)) => Resolution::Answer(answer.clone()),
            State::Over(OperationOutcome::Ran) => Code::AnswerDropped.into(),
            State::Over(OperationOutcome::Refused(code) | OperationOutcome::Lost(code)) => {
                Resolution::Code(*code)
            }
        }
    }

    fn answer_size(&self) -> usize {
        match &self.state {
            State::Over(OperationOutcome::Answered(answer)) => answer.size(),
            _ => 0,
        }
    }
}

/// A record that a leaving entry instance hands over.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HandoverRecord {
    /// Operation.
    pub id: OperationId,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Outcome, or the owner that announced the operation.
    pub state: HandoverState,
}

/// State of a handed record.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum HandoverState {
    /// This owner announced the operation.
    Recorded(Incarnation),
    /// The operation is over.
    Over(OperationOutcome),
}

/// The record of operations at one entry instance.
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
    floors: ForgottenTickets,
    /// Records in the order in which they may be forgotten.
    due: VecDeque<(Duration, OperationId)>,
    /// Operations with a stored answer, oldest first; may name operations that lost theirs.
    answers: VecDeque<OperationId>,
    memory: usize,
    attempts: u64,
}

/// Memory of a record beside its key and answer: map and queue with spare capacity.
const RECORD_SIZE: usize =
    2 * (size_of::<OperationId>() + size_of::<Entry>()) + 2 * size_of::<(Duration, OperationId)>();

fn record_size(id: &OperationId) -> usize {
    match id {
        OperationId::Ticket(_) => RECORD_SIZE,
        OperationId::Key(key) => RECORD_SIZE + key.len(),
    }
}

/// Returns the outcome as another ledger keeps it.
///
/// A copy of a plain key's refusal may outlive the original: "not run" would be repeated by one
/// member of the pair, and the key run by the other, which has forgotten it.
fn copy(id: &OperationId, outcome: OperationOutcome) -> OperationOutcome {
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

    /// Returns the number of operations on record.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no operation is on record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the estimated memory in bytes.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.memory
    }

    /// Returns the number of stored answers.
    #[must_use]
    pub fn stored_answers(&self) -> usize {
        let answered =
            |entry: &&Entry| matches!(entry.state, State::Over(OperationOutcome::Answered(_)));
        self.entries.values().filter(answered).count()
    }

    /// Returns what is on record about the operation.
    #[must_use]
    pub fn find(&self, id: &OperationId, fingerprint: u64, now: Duration) -> Option<Resolution> {
        match self.entries.get(id) {
            // A seal holds for every request under the number.
            Some(entry) if entry.state == State::Sealed => Some(entry.resolution(id, now)),
            Some(entry) if entry.fingerprint != fingerprint => Some(Code::KeyReused.into()),
            Some(entry) => Some(entry.resolution(id, now)),
            None if self.floors.contains(id) => Some(Code::OperationForgotten.into()),
            None => None,
        }
    }

    /// Opens an attempt of this owner, and returns its number.
    ///
    /// # Errors
    ///
    /// Returns what is known of the operation, or that it cannot be recorded.
    pub fn open_attempt(
        &mut self,
        id: &OperationId,
        fingerprint: u64,
        now: Duration,
    ) -> Result<u64, Resolution> {
        if let Some(known) = self.find(id, fingerprint, now) {
            return Err(known);
        }
        self.attempts += 1;
        let attempt = self.attempts;
        self.insert(id, fingerprint, State::Intent { attempt }, now)?;
        Ok(attempt)
    }

    /// Marks the attempt as dispatched; it succeeds once per operation.
    ///
    /// # Errors
    ///
    /// Returns what became of the operation instead.
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

    /// Ends an attempt; false if it is not the attempt under way.
    ///
    /// An answer too large to be stored becomes [`OperationOutcome::Ran`]. [`OperationOutcome::Refused`] after
    /// [`Ledger::mark_dispatched`] requires that no byte was sent or that the runner refused.
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
        let under_way = match entry.state {
            State::Intent { attempt: open } | State::Running { attempt: open } => open == attempt,
            _ => false,
        };
        if under_way {
            self.set(id, State::Over(outcome), now);
        }
        under_way
    }

    /// Forgets an attempt at a plain key that was not dispatched, so that a retry starts afresh.
    pub fn abandon(&mut self, id: &OperationId, attempt: u64) {
        let open = |entry: &Entry| entry.state == State::Intent { attempt };
        if matches!(id, OperationId::Key(_)) && self.entries.get(id).is_some_and(open) {
            self.remove(id);
        }
    }

    /// Records the intent of another owner.
    ///
    /// # Errors
    ///
    /// Returns what is known of the operation, or that it cannot be recorded.
    pub fn record_intent(
        &mut self,
        id: &OperationId,
        fingerprint: u64,
        by: Incarnation,
        now: Duration,
    ) -> Result<(), Resolution> {
        match self.entries.get(id) {
            Some(entry) if entry.fingerprint == fingerprint => {
                // The first reply may have been lost; only this owner acts on the record.
                if entry.state == (State::Recorded { by }) {
                    self.set(id, State::Recorded { by }, now);
                    return Ok(());
                }
            }
            Some(_) => {}
            None if self.floors.contains(id) => {}
            None => return self.insert(id, fingerprint, State::Recorded { by }, now),
        }
        let known = self.find(id, fingerprint, now);
        Err(known.unwrap_or(Code::OperationUnknown.into()))
    }

    /// Notes the outcome that the owner reports for an intent on record.
    pub fn record_outcome(
        &mut self,
        id: &OperationId,
        by: Incarnation,
        outcome: OperationOutcome,
        now: Duration,
    ) {
        let recorded = |entry: &Entry| entry.state == State::Recorded { by };
        if self.entries.get(id).is_some_and(recorded) {
            self.set(id, State::Over(copy(id, outcome)), now);
        }
    }

    /// Promises to record no intent, or returns what the intent on record led to.
    pub fn seal(&mut self, id: &OperationId, fingerprint: u64, now: Duration) -> Resolution {
        if let Some(known) = self.find(id, fingerprint, now) {
            return known;
        }
        match self.insert(id, fingerprint, State::Sealed, now) {
            Ok(()) => Code::OperationSealed.into(),
            Err(full) => full,
        }
    }

    /// Ends the attempts at plain keys that were not dispatched, and returns the records of plain
    /// keys for a handover.
    pub fn export(&mut self, me: Incarnation, now: Duration) -> Vec<HandoverRecord> {
        let open = |entry: &Entry| matches!(entry.state, State::Intent { .. });
        let plain = |id: &OperationId| matches!(id, OperationId::Key(_));
        let entries = self.entries.iter();
        let revoked = entries.filter(|(id, entry)| plain(id) && open(entry));
        let revoked: Vec<OperationId> = revoked.map(|(id, _)| id.clone()).collect();
        for id in revoked {
            let lost = OperationOutcome::Lost(CodeNumber(Code::OperationUnknown));
            self.set(&id, State::Over(lost), now);
        }
        let entries = self.entries.iter().filter(|(id, _)| plain(id));
        let mut handed: Vec<HandoverRecord> = entries
            .map(|(id, entry)| HandoverRecord {
                id: id.clone(),
                fingerprint: entry.fingerprint,
                state: match &entry.state {
                    State::Over(outcome) => HandoverState::Over(copy(id, outcome.clone())),
                    State::Recorded { by } => HandoverState::Recorded(*by),
                    _ => HandoverState::Recorded(me),
                },
            })
            .collect();
        handed.sort_by(|a, b| a.id.cmp(&b.id));
        handed
    }

    /// Takes over the records of a leaving entry instance, beyond the memory limit if need be.
    pub fn import(&mut self, records: Vec<HandoverRecord>, now: Duration) {
        for HandoverRecord {
            id,
            fingerprint,
            state,
        } in records
        {
            let state = match state {
                HandoverState::Recorded(by) => State::Recorded { by },
                HandoverState::Over(outcome) => State::Over(outcome),
            };
            match self.entries.get(&id).map(|entry| &entry.state) {
                None => self.put(&id, fingerprint, state, now),
                // Neither of two owners may act on the record of the other.
                Some(State::Recorded { by }) if state != (State::Recorded { by: *by }) => {
                    let lost =
                        State::Over(OperationOutcome::Lost(CodeNumber(Code::OperationUnknown)));
                    let over = matches!(state, State::Over(_));
                    self.set(&id, if over { state } else { lost }, now);
                }
                // An attempt that has not been dispatched yields to what is now known.
                Some(State::Intent { .. }) => self.set(&id, state, now),
                Some(_) => {}
            }
        }
    }

    /// Forgets operations whose last change lies [`RECORD_TTL`] back; attempts under way are kept.
    pub fn remove_expired(&mut self, now: Duration) {
        while let Some((since, id)) = self.due.pop_front() {
            if since + RECORD_TTL > now {
                self.due.push_front((since, id));
                break;
            }
            let Some(entry) = self.entries.get_mut(&id) else {
                continue;
            };
            if entry.queued != since {
                continue;
            }
            let under_way = matches!(entry.state, State::Intent { .. } | State::Running { .. });
            if under_way || entry.changed + RECORD_TTL > now {
                // Order by time is kept only roughly; no record is forgotten early.
                entry.queued = if under_way { now } else { entry.changed };
                self.due.push_back((entry.queued, id));
            } else {
                self.remove(&id);
            }
        }
    }

    fn insert(
        &mut self,
        id: &OperationId,
        fingerprint: u64,
        state: State,
        now: Duration,
    ) -> Result<(), Resolution> {
        let size = record_size(id);
        self.shed(size);
        while self.memory + size > self.limits.memory_bytes {
            if !self.forget_ticket() {
                return Err(Code::NotAttempted.into());
            }
        }
        // Making room may have closed the ticket of this very operation.
        if self.floors.contains(id) {
            return Err(Code::OperationForgotten.into());
        }
        self.put(id, fingerprint, state, now);
        Ok(())
    }

    /// Forgets the oldest operation under a ticket that is not under way; false if none is old.
    ///
    /// The floors keep such an operation from running again. A plain key has no floor.
    fn forget_ticket(&mut self) -> bool {
        let old = self.due.iter().take(FORGET_SCAN).position(|(_, id)| {
            let state = self.entries.get(id).map(|entry| &entry.state);
            let under_way = matches!(state, Some(State::Intent { .. } | State::Running { .. }));
            matches!(id, OperationId::Ticket(_)) && !under_way
        });
        let Some((_, id)) = old.and_then(|index| self.due.remove(index)) else {
            return false;
        };
        self.remove(&id);
        true
    }

    fn put(&mut self, id: &OperationId, fingerprint: u64, state: State, now: Duration) {
        self.memory += record_size(id);
        self.floors.add_record(id);
        self.due.push_back((now, id.clone()));
        let entry = Entry {
            fingerprint,
            changed: now,
            queued: now,
            // An answer is accounted for by `set`.
            state: State::Sealed,
        };
        self.entries.insert(id.clone(), entry);
        self.set(id, state, now);
    }

    fn set(&mut self, id: &OperationId, state: State, now: Duration) {
        let state = match state {
            State::Over(OperationOutcome::Answered(answer))
                if answer.size() > self.limits.answer_bytes =>
            {
                State::Over(OperationOutcome::Ran)
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
        if matches!(entry.state, State::Over(OperationOutcome::Answered(_))) {
            self.answers.push_back(id.clone());
            self.shed(0);
        }
    }

    /// Drops the oldest stored answers until the bytes fit; that the operations ran is kept.
    fn shed(&mut self, bytes: usize) {
        while self.memory + bytes > self.limits.memory_bytes {
            let Some(id) = self.answers.pop_front() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&id) {
                let size = entry.answer_size();
                if size > 0 || matches!(entry.state, State::Over(OperationOutcome::Answered(_))) {
                    self.memory -= size;
                    entry.state = State::Over(OperationOutcome::Ran);
                }
            }
        }
    }

    fn remove(&mut self, id: &OperationId) {
        if let Some(entry) = self.entries.remove(id) {
            self.memory -= record_size(id) + entry.answer_size();
            self.floors.remove_record(id);
        }
        if let Some(front) = self.answers.front()
            && !self.entries.contains_key(front)
        {
            self.answers.pop_front();
        }
    }
}
