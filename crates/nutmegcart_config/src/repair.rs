//! Repair of a restored store from the configuration in force at an entry instance.

use nutmegcart_model::Code;
use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use nutmegcart_model::record::DocumentError;
use nutmegcart_platform::Revision;
use nutmegcart_platform::Store;
use nutmegcart_platform::Txn;

use crate::accept::ChangeOutcome;
use crate::accept::head;
use crate::cluster_state::ClusterState;
use crate::configuration::Configuration;
use crate::history::Relation;
use crate::stored_config::ConfigHead;
use crate::stored_config::HEAD_KEY;
use crate::stored_config::StoredConfig;
use crate::stored_config::TxnOutcome;
use crate::stored_config::confirm;
use crate::stored_config::document_key;
use crate::stored_config::load_config;
use crate::stored_config::settle;
use crate::stored_config::to_json;

/// Keys written by one transaction of a repair.
const MAX_BATCH_KEYS: usize = 100;

/// A repair asked for by an operator.
#[derive(Clone, Debug, Default)]
pub struct RepairRequest {
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
pub fn repair_store(
    store: &Store,
    repair: &RepairRequest,
    standing: &ClusterState,
) -> ChangeOutcome {
    let refuse = |code, reason: &str| ChangeOutcome::Refused(DocumentError::new(code, "", reason));
    if !repair.discard && !standing.has_quorum {
        return refuse(Code::PeersUnheard, "");
    }
    if !standing.is_newest() {
        return refuse(Code::PeersUnheard, "a peer has a newer configuration");
    }
    let Ok(stored) = load_config(store) else {
        return ChangeOutcome::Unavailable;
    };
    let newest = &standing.configuration;
    let own = newest.history.config_id();
    let under_way = stored.head.repair.is_some();
    let mut next = newest.clone();
    match stored.head.history.relation_to(&own) {
        _ if own.lineage.is_empty() => return refuse(Code::NothingToRepair, "nothing in force"),
        Relation::Same if under_way => {}
        Relation::Same | Relation::Newer if !under_way => {
            return match confirm(store, &stored) {
                Ok(true) => refuse(Code::NothingToRepair, ""),
                _ => ChangeOutcome::Unknown,
            };
        }
        Relation::Older
            if newest.history.relation_to(&stored.head.history.config_id()) == Relation::Newer => {}
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
        TxnOutcome::Committed(_) => {
            log_event!(Event::StoreRepaired, generation = next.generation());
            ChangeOutcome::Accepted(next.generation())
        }
        TxnOutcome::NotSent => ChangeOutcome::Unavailable,
        TxnOutcome::Superseded(present) => ChangeOutcome::Conflict(present.history.generation),
        TxnOutcome::Unknown => ChangeOutcome::Unknown,
    }
}

fn write(
    store: &Store,
    repair: &RepairRequest,
    stored: &StoredConfig,
    next: &Configuration,
) -> TxnOutcome {
    // Repairs from different configurations must not share a fence.
    let config_id = next.history.config_id();
    let repair = format!(
        "{} to {} {}",
        repair.operation, config_id.generation, config_id.operation
    );
    let marked = ConfigHead {
        repair: Some(repair),
        ..stored.head.clone()
    };
    let txn = Txn::default().put(HEAD_KEY, to_json(&marked));
    let fence = match settle(store, &txn.unchanged(HEAD_KEY, stored.modified), &marked) {
        TxnOutcome::Committed(revision) => revision,
        other => return other,
    };
    for txn in batches(stored, next, fence) {
        match settle(store, &txn, &marked) {
            TxnOutcome::Committed(_) => {}
            other => return other,
        }
    }
    let head = head(stored, next);
    let txn = Txn::default().put(HEAD_KEY, to_json(&head));
    settle(store, &txn.unchanged(HEAD_KEY, fence), &head)
}

/// Returns the transactions that write the documents while the head stays at the revision.
fn batches(stored: &StoredConfig, next: &Configuration, fence: Revision) -> Vec<Txn> {
    let mut txns = Vec::new();
    let mut txn = Txn::default().unchanged(HEAD_KEY, fence);
    let mut bytes = 0;
    let old = &stored.configuration.entries;
    let written = next.entries.iter();
    let written = written.filter(|(key, entry)| old.get(*key) != Some(*entry));
    for (key, entry) in written {
        let value = to_json(entry);
        if txn.writes.len() >= MAX_BATCH_KEYS
            || bytes + value.len() > crate::accept::MAX_CHANGE_BYTES
        {
            let next = Txn::default().unchanged(HEAD_KEY, fence);
            txns.push(std::mem::replace(&mut txn, next));
            bytes = 0;
        }
        bytes += value.len();
        txn = txn.put(document_key(key), value);
    }
    for key in old.keys().filter(|key| !next.entries.contains_key(*key)) {
        if txn.writes.len() >= MAX_BATCH_KEYS {
            let next = Txn::default().unchanged(HEAD_KEY, fence);
            txns.push(std::mem::replace(&mut txn, next));
        }
        txn = txn.delete(document_key(key));
    }
    txns.push(txn);
    txns
}
