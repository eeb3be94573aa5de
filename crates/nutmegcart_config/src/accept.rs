//! Acceptance of a configuration change through the platform's store.

use nutmegcart_model::Code;
use nutmegcart_model::Document;
use nutmegcart_model::record::DocumentError;
use nutmegcart_platform::Store;
use nutmegcart_platform::Txn;

use crate::configuration::Configuration;
use crate::configuration::Generation;
use crate::history::History;
use crate::history::Relation;
use crate::history::digest;
use crate::standing::Standing;
use crate::stored::HEAD;
use crate::stored::Head;
use crate::stored::Settled;
use crate::stored::Stored;
use crate::stored::confirm;
use crate::stored::document_key;
use crate::stored::load_upon;
use crate::stored::settle;
use crate::stored::to_json;

/// Longest operation identifier in bytes; the head holds 64 of them.
pub const MAX_OPERATION: usize = 64;
/// Documents and deletions of one change. The store takes 128 operations a transaction, of which
/// the head and purged deletions need some.
pub const MAX_CHANGES: usize = 100;
/// Bytes of one change; the store takes values and transactions of about this size.
pub const MAX_BYTES: usize = 1_000_000;
/// Times that a change is judged again because the read before was stale.
const ATTEMPTS: usize = 4;

/// A change asked for by an operator.
#[derive(Clone, Debug, Default)]
pub struct Apply {
    /// Identifier of the change; repeating it has no further effect.
    pub operation: String,
    /// Documents to write.
    pub documents: Vec<Document>,
    /// Keys `<kind>/<name>` to delete.
    pub deletions: Vec<String>,
    /// Generation that the change was based on, if the operator insists on it.
    pub based_on: Option<Generation>,
    /// A generation that was in force before the first attempt; zero if none is known.
    pub since: Generation,
    /// Whether the identifier was drawn for this call, so that there was no earlier attempt.
    pub fresh: bool,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The write is known to stand, at this generation.
    Accepted(Generation),
    /// The change was refused and does not stand.
    Refused(DocumentError),
    /// Another change was accepted first; the present generation is given.
    Conflict(Generation),
    /// The store cannot be reached and the change does not stand.
    Unavailable,
    /// It cannot be told whether the change stands; repeat with the same operation.
    Unknown,
    /// Too many changes were accepted since the first attempt to tell whether this one was.
    Forgotten(Generation),
}

/// What a read of the store says of a change.
enum Judgement {
    /// The change stands.
    Stands(Generation),
    /// The change is not possible, provided that the read was not stale.
    Not(Outcome),
    /// The change can be committed.
    Next(Box<Configuration>),
}

/// Commits a change, unless the store may have lost what is in force somewhere.
///
/// ```
/// # use nutmegcart_config::{Apply, Generation, Outcome, Standing, accept};
/// # use nutmegcart_platform::MemoryStore;
/// let store = MemoryStore::default().store();
/// let apply = Apply { operation: "op-1".into(), ..Apply::default() };
/// let standing = Standing::alone("lineage");
/// assert_eq!(accept(&store, &apply, &standing), Outcome::Accepted(Generation(1)));
/// // The repeated operation is recognised.
/// assert_eq!(accept(&store, &apply, &standing), Outcome::Accepted(Generation(1)));
/// ```
#[must_use]
pub fn accept(store: &Store, apply: &Apply, standing: &Standing) -> Outcome {
    if apply.operation.is_empty() || apply.operation.len() > MAX_OPERATION {
        let reason = format!("{} bytes", apply.operation.len());
        return Outcome::Refused(DocumentError::new(Code::BadOperation, "/operation", reason));
    }
    if let Some(outcome) = recall(&standing.configuration.history, apply) {
        return outcome;
    }
    for _ in 0..ATTEMPTS {
        let Ok(stored) = load_upon(store, &standing.configuration) else {
            return unavailable(apply);
        };
        let next = match judge(&stored, apply, standing) {
            Judgement::Stands(generation) => return Outcome::Accepted(generation),
            Judgement::Next(next) => next,
            Judgement::Not(outcome) => match confirm(store, &stored) {
                Ok(true) => return outcome,
                Ok(false) => continue,
                Err(_) => return unavailable(apply),
            },
        };
        let head = head(&stored, &next);
        let txn = transaction(&stored, &next, &head);
        return match settle(store, &txn, &head) {
            Settled::Committed(_) => Outcome::Accepted(next.generation()),
            Settled::Beaten(present) => match recall(&present.history, apply) {
                Some(outcome) => outcome,
                // The store was restored, or the read was stale; judge again.
                None if present.history.generation <= stored.head.history.generation => continue,
                None if provable(&present.history, apply) => {
                    Outcome::Conflict(present.history.generation)
                }
                None => Outcome::Forgotten(present.history.generation),
            },
            Settled::Unsent => unavailable(apply),
            Settled::Unknown => Outcome::Unknown,
        };
    }
    unavailable(apply)
}

/// A change that may have been attempted before may stand, although the store cannot tell now.
fn unavailable(apply: &Apply) -> Outcome {
    if apply.fresh {
        Outcome::Unavailable
    } else {
        Outcome::Unknown
    }
}

/// Finds an earlier attempt of the change.
fn recall(history: &History, apply: &Apply) -> Option<Outcome> {
    let done = history.find(&apply.operation)?;
    if done.digest == digest(apply) {
        return Some(Outcome::Accepted(done.generation));
    }
    let reason = format!("used at generation {}", done.generation);
    let fault = DocumentError::new(Code::OperationReused, "/operation", reason);
    Some(Outcome::Refused(fault))
}

/// Returns whether the history, which does not hold the change, proves that it was not accepted.
fn provable(history: &History, apply: &Apply) -> bool {
    let since = apply.since.max(apply.based_on.unwrap_or_default());
    apply.fresh || history.reaches(since)
}

fn judge(stored: &Stored, apply: &Apply, standing: &Standing) -> Judgement {
    let history = &stored.head.history;
    let present = history.generation;
    if let Some(fault) = lost(stored, standing) {
        // The newest history known here stands in for the store's.
        let own = &standing.configuration.history;
        let known = standing.heard && standing.is_newest() && provable(own, apply);
        return Judgement::Not(without_store(fault, known, apply));
    }
    match recall(history, apply) {
        Some(Outcome::Accepted(generation)) => return Judgement::Stands(generation),
        Some(outcome) => return Judgement::Not(outcome),
        None if !provable(history, apply) => return Judgement::Not(Outcome::Forgotten(present)),
        None => {}
    }
    if !standing.heard {
        // The store may have lost the change, and somebody who is silent may have it in force.
        let fault = DocumentError::new(Code::PeersUnheard, "", "");
        return Judgement::Not(without_store(fault, false, apply));
    }
    if apply.based_on.is_some_and(|based_on| based_on != present) {
        return Judgement::Not(Outcome::Conflict(present));
    }
    let next = stored.configuration.applied(apply, &standing.lineage);
    match next.and_then(|next| fits(stored, next)) {
        Ok(next) => Judgement::Next(Box::new(next)),
        Err(fault) => Judgement::Not(Outcome::Refused(fault)),
    }
}

/// Refuses a change that is known not to stand anywhere.
fn without_store(fault: DocumentError, known: bool, apply: &Apply) -> Outcome {
    if known || apply.fresh {
        Outcome::Refused(fault)
    } else {
        Outcome::Unknown
    }
}

/// Returns why the store may have lost what is in force somewhere.
fn lost(stored: &Stored, standing: &Standing) -> Option<DocumentError> {
    if let Some(repair) = &stored.head.repair {
        let reason = format!("repair {repair} is not finished");
        return Some(DocumentError::new(Code::StoreReverted, "", reason));
    }
    let history = &stored.head.history;
    standing.marks().find_map(|mark| {
        let code = match history.relation(&mark) {
            Relation::Same | Relation::Newer => return None,
            Relation::Older => Code::StoreReverted,
            Relation::Forked | Relation::Foreign => Code::StoreForked,
        };
        let reason = format!(
            "store at {} of {:?}, in force {} of {:?}",
            history.generation, history.lineage, mark.generation, mark.lineage
        );
        Some(DocumentError::new(code, "", reason))
    })
}

fn fits(stored: &Stored, next: Configuration) -> Result<Configuration, DocumentError> {
    let mut bytes = 0;
    let mut count = 0;
    for (key, entry) in &next.entries {
        if entry.generation != next.generation() {
            continue;
        }
        let size = to_json(entry).len();
        if size > MAX_BYTES {
            let reason = format!("{key} takes {size} bytes in the store");
            return Err(DocumentError::new(Code::DocumentTooLarge, "", reason));
        }
        bytes += size;
        count += 1;
    }
    bytes += to_json(&head(stored, &next)).len();
    if count > MAX_CHANGES || bytes > MAX_BYTES {
        let reason = format!(
            "{count} documents of {bytes} bytes; at most {MAX_CHANGES} of {MAX_BYTES} bytes"
        );
        return Err(DocumentError::new(
            Code::ChangeTooLarge,
            "/documents",
            reason,
        ));
    }
    Ok(next)
}

/// Returns the head that describes a configuration.
pub(crate) fn head(stored: &Stored, next: &Configuration) -> Head {
    Head {
        history: next.history.clone(),
        purged: next.purged,
        sum: next.sum(),
        repair: None,
        other: stored.head.other.clone(),
    }
}

fn transaction(stored: &Stored, next: &Configuration, head: &Head) -> Txn {
    let mut txn = Txn::default()
        .unchanged(HEAD, stored.modified)
        .put(HEAD, to_json(head));
    for (key, entry) in &next.entries {
        if entry.generation == next.generation() {
            txn = txn.put(document_key(key), to_json(entry));
        }
    }
    let entries = stored.configuration.entries.keys();
    for key in entries.filter(|key| !next.entries.contains_key(*key)) {
        txn = txn.delete(document_key(key));
    }
    txn
}
