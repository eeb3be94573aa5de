//! Repair of a restored store from the configuration in force at an entry instance.

use nutmegcart_model::Code;
use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use nutmegcart_model::record::DocumentError;
use nutmegcart_platform::Revision;
use nutmegcart_platform::Store;
use nutmegcart_platform::Txn;

use crate::accept::Outcome;
use crate::accept::head;
use crate::configuration::Configuration;
use crate::history::Relation;
use crate::standing::Standing;
use crate::stored::HEAD;
use crate::stored::Head;
use crate::stored::Settled;
use crate::stored::Stored;
use crate::stored::confirm;
use crate::stored::document_key;
use crate::stored::load;
use crate::stored::settle;
use crate::stored::to_json;

/// Keys written by one transaction of a repair.
const BATCH: usize = 100;

/// A repair asked for by an operator.
#[derive(Clone, Debug, Default)]
pub struct Repair {
    /// Identifier of the repair, random; repeating it has no further effect.
    pub operation: String,
    /// Whether a store with another history is overwritten, and silent peers are disregarded.
    pub discard: bool,
}

/// Writes the configuration in force here to a store that lost it.
///
/// A store that is merely behind receives exactly what it had: no generation is added, so nothing
/// changes at any entry instance. A store with another history is overwritten only on request, by
/// a generation above both; instances that adopted the other history refuse it and are restarted.
///
/// The head carries the repair while documents are written. Meanwhile nothing is accepted, nothing
/// is read from the store, and an interrupted repair can be repeated by any entry instance.
#[must_use]
pub fn repair(store: &Store, repair: &Repair, standing: &Standing) -> Outcome {
    let refuse = |code, reason: &str| Outcome::Refused(DocumentError::new(code, "", reason));
    if !repair.discard && !standing.heard {
        return refuse(Code::PeersUnheard, "");
    }
    if !standing.is_newest() {
        return refuse(Code::PeersUnheard, "a peer has a newer configuration");
    }
    let Ok(stored) = load(store) else {
        return Outcome::Unavailable;
    };
    let newest = &standing.configuration;
    let own = newest.history.mark();
    let under_way = stored.head.repair.is_some();
    let mut next = newest.clone();
    match stored.head.history.relation(&own) {
        _ if own.lineage.is_empty() => return refuse(Code::NothingToRepair, "nothing in force"),
        Relation::Same if under_way => {}
        Relation::Same | Relation::Newer if !under_way => {
            return match confirm(store, &stored) {
                Ok(true) => refuse(Code::NothingToRepair, ""),
                _ => Outcome::Unknown,
            };
        }
        Relation::Older
            if newest.history.relation(&stored.head.history.mark()) == Relation::Newer => {}
        _ if repair.discard => {
            next.history.generation.0 = next
                .history
                .generation
                .0
                .max(stored.head.history.generation.0);
            next.history.push(&repair.operation, 0, "");
        }
        _ => return refuse(Code::StoreForked, "the store has another history"),
    }
    match write(store, repair, &stored, &next) {
        Settled::Committed(_) => {
            log_event!(Event::StoreRepaired, generation = next.generation());
            Outcome::Accepted(next.generation())
        }
        Settled::Unsent => Outcome::Unavailable,
        Settled::Beaten(present) => Outcome::Conflict(present.history.generation),
        Settled::Unknown => Outcome::Unknown,
    }
}

fn write(store: &Store, repair: &Repair, stored: &Stored, next: &Configuration) -> Settled {
    // Repairs from different configurations must not share a fence.
    let mark = next.history.mark();
    let repair = format!(
        "{} to {} {}",
        repair.operation, mark.generation, mark.operation
    );
    let marked = Head {
        repair: Some(repair),
        ..stored.head.clone()
    };
    let txn = Txn::default().put(HEAD, to_json(&marked));
    let fence = match settle(store, &txn.unchanged(HEAD, stored.modified), &marked) {
        Settled::Committed(revision) => revision,
        other => return other,
    };
    for txn in batches(stored, next, fence) {
        match settle(store, &txn, &marked) {
            Settled::Committed(_) => {}
            other => return other,
        }
    }
    let head = head(stored, next);
    let txn = Txn::default().put(HEAD, to_json(&head));
    settle(store, &txn.unchanged(HEAD, fence), &head)
}

/// Returns the transactions that write the documents while the head stays at the revision.
fn batches(stored: &Stored, next: &Configuration, fence: Revision) -> Vec<Txn> {
    let mut txns = Vec::new();
    let mut txn = Txn::default().unchanged(HEAD, fence);
    let mut bytes = 0;
    let old = &stored.configuration.entries;
    let written = next.entries.iter();
    let written = written.filter(|(key, entry)| old.get(*key) != Some(*entry));
    for (key, entry) in written {
        let value = to_json(entry);
        if txn.writes.len() >= BATCH || bytes + value.len() > crate::accept::MAX_BYTES {
            let next = Txn::default().unchanged(HEAD, fence);
            txns.push(std::mem::replace(&mut txn, next));
            bytes = 0;
        }
        bytes += value.len();
        txn = txn.put(document_key(key), value);
    }
    for key in old.keys().filter(|key| !next.entries.contains_key(*key)) {
        if txn.writes.len() >= BATCH {
            let next = Txn::default().unchanged(HEAD, fence);
            txns.push(std::mem::replace(&mut txn, next));
        }
        txn = txn.delete(document_key(key));
    }
    txns.push(txn);
    txns
}
