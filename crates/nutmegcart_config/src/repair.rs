//! Repairs a store that lost data, from the active configuration of an entry instance.

use nutmegcart_model::Code;
use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use nutmegcart_model::record::DocumentError;
use nutmegcart_platform::Revision;
use nutmegcart_platform::Store;
use nutmegcart_platform::Txn;

use crate::accept::ChangeOutcome;
use crate::accept::build_head;
use crate::cluster_state::ClusterState;
use crate::configuration::Configuration;
use crate::history::Relation;
use crate::stored_config::ConfigHead;
use crate::stored_config::HEAD_KEY;
use crate::stored_config::StoredConfig;
use crate::stored_config::TxnOutcome;
use crate::stored_config::commit_with_retries;
use crate::stored_config::document_key;
use crate::stored_config::is_head_unchanged;
use crate::stored_config::load_config;
use crate::stored_config::to_json;

/// Most keys written or deleted by one transaction of a repair.
const MAX_BATCH_KEYS: usize = 100;

/// A repair of the store requested by an operator.
#[derive(Clone, Debug, Default)]
pub struct RepairRequest {
    /// Random identifier of the repair; repeating it has no further effect.
    pub operation: String,
    /// Whether to overwrite a store with a different history, and to proceed without a quorum of
    /// peers.
    pub discard: bool,
}

/// Writes the active configuration of this entry instance to a store that lost it.
///
/// A store that is only behind is brought back to the active generation. No generation is added,
/// so that no entry instance sees a change. A store with a different history is overwritten only
/// if the request says so, with a generation above both. Instances that adopted the other history
/// refuse the new generation and must be restarted.
///
/// While documents are written, the head names the repair. During this time no change is accepted
/// and no configuration is adopted from the store. Any entry instance can repeat an interrupted
/// repair.
#[must_use]
pub fn repair_store(
    store: &Store,
    request: &RepairRequest,
    cluster: &ClusterState,
) -> ChangeOutcome {
    let refuse = |code, reason: &str| ChangeOutcome::Refused(DocumentError::new(code, "", reason));
    if !request.discard && !cluster.has_quorum {
        return refuse(Code::PeersUnheard, "");
    }
    if !cluster.is_newest() {
        return refuse(Code::PeersUnheard, "a peer has a newer configuration");
    }
    let Ok(stored) = load_config(store) else {
        return ChangeOutcome::Unavailable;
    };
    let newest = &cluster.configuration;
    let own = newest.history.config_id();
    let in_progress = stored.head.repair.is_some();
    let mut next = newest.clone();
    match stored.head.history.relation_to(&own) {
        _ if own.lineage.is_empty() => return refuse(Code::NothingToRepair, "nothing in force"),
        Relation::Same if in_progress => {}
        Relation::Same | Relation::Newer if !in_progress => {
            return match is_head_unchanged(store, &stored) {
                Ok(true) => refuse(Code::NothingToRepair, ""),
                _ => ChangeOutcome::Unknown,
            };
        }
        Relation::Older
            if newest.history.relation_to(&stored.head.history.config_id()) == Relation::Newer => {}
        _ if request.discard => {
            next.history.generation.0 = next
                .history
                .generation
                .0
                .max(stored.head.history.generation.0);
            next.history.push(&request.operation, 0, "");
        }
        _ => return refuse(Code::StoreForked, "the store has another history"),
    }
    match write_config(store, request, &stored, &next) {
        TxnOutcome::Committed(_) => {
            log_event!(Event::StoreRepaired, generation = next.generation());
            ChangeOutcome::Accepted(next.generation())
        }
        TxnOutcome::Failed => ChangeOutcome::Unavailable,
        TxnOutcome::Superseded(current) => ChangeOutcome::Conflict(current.history.generation),
        TxnOutcome::Unknown => ChangeOutcome::Unknown,
    }
}

fn write_config(
    store: &Store,
    request: &RepairRequest,
    stored: &StoredConfig,
    next: &Configuration,
) -> TxnOutcome {
    // Repairs that write different configurations must not take each other's head for their own.
    let config_id = next.history.config_id();
    let repair = format!(
        "{} to {} {}",
        request.operation, config_id.generation, config_id.operation
    );
    let repair_head = ConfigHead {
        repair: Some(repair),
        ..stored.head.clone()
    };
    let txn = Txn::default().put(HEAD_KEY, to_json(&repair_head));
    let fence = match commit_with_retries(
        store,
        &txn.unchanged(HEAD_KEY, stored.modified),
        &repair_head,
    ) {
        TxnOutcome::Committed(revision) => revision,
        other => return other,
    };
    for txn in build_batches(stored, next, fence) {
        match commit_with_retries(store, &txn, &repair_head) {
            TxnOutcome::Committed(_) => {}
            other => return other,
        }
    }
    let head = build_head(stored, next);
    let txn = Txn::default().put(HEAD_KEY, to_json(&head));
    commit_with_retries(store, &txn.unchanged(HEAD_KEY, fence), &head)
}

/// Returns the transactions that write the documents, each on condition that the head is still at
/// the fence revision.
fn build_batches(stored: &StoredConfig, next: &Configuration, fence: Revision) -> Vec<Txn> {
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
