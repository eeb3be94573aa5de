//! Validates a configuration change and commits it to the platform's store.

use nutmegcart_model::Code;
use nutmegcart_model::Document;
use nutmegcart_model::record::DocumentError;
use nutmegcart_platform::Store;
use nutmegcart_platform::Txn;

use crate::cluster_state::ClusterState;
use crate::configuration::Configuration;
use crate::configuration::Generation;
use crate::history::History;
use crate::history::Relation;
use crate::history::change_digest;
use crate::stored_config::ConfigHead;
use crate::stored_config::HEAD_KEY;
use crate::stored_config::StoredConfig;
use crate::stored_config::TxnOutcome;
use crate::stored_config::commit_with_retries;
use crate::stored_config::document_key;
use crate::stored_config::is_head_unchanged;
use crate::stored_config::load_reusing;
use crate::stored_config::to_json;

/// Longest operation identifier; the head stores the last 64 of them.
pub const MAX_OPERATION_BYTES: usize = 64;
/// Most documents and deletions in one change.
///
/// The store allows 128 operations in a transaction; the remainder is for the head and for purged
/// deletions.
pub const MAX_CHANGED_KEYS: usize = 100;
/// Largest change, and largest stored document; the store limits values and transactions to about
/// this size.
pub const MAX_CHANGE_BYTES: usize = 1_000_000;
/// Attempts to evaluate a change before stale reads make it count as unavailable.
const MAX_READ_ATTEMPTS: usize = 4;

/// A change of the configuration requested by an operator.
#[derive(Clone, Debug, Default)]
pub struct ChangeRequest {
    /// Idempotency key of the change: a repeated request with this identifier is not applied again.
    pub operation: String,
    /// Documents to write.
    pub documents: Vec<Document>,
    /// Keys of the documents to delete, as `<kind>/<name>`.
    pub deletions: Vec<String>,
    /// Generation that must still be current for the change to be accepted, if any.
    pub based_on: Option<Generation>,
    /// A generation that was active before the first attempt; zero if none is known.
    pub since: Generation,
    /// Whether the identifier was generated for this call, so that no earlier attempt exists.
    pub first_attempt: bool,
}

/// Result of a change or repair.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeOutcome {
    /// The change is committed, at this generation.
    Accepted(Generation),
    /// The change was refused and is not committed.
    Refused(DocumentError),
    /// Another change was accepted first; holds the current generation.
    Conflict(Generation),
    /// The store could not be reached, and the change is not committed.
    Unavailable,
    /// It is not known whether the change is committed; the caller can repeat it with the same
    /// operation identifier.
    Unknown,
    /// The stored operations no longer reach back to the first attempt, so that it is not known
    /// whether the change was accepted; holds the current generation.
    Forgotten(Generation),
}

/// Result of checking a change against a read of the store.
enum Evaluation {
    /// The change was accepted earlier.
    AlreadyAccepted(Generation),
    /// The change cannot be committed, unless the read was stale.
    Rejected(ChangeOutcome),
    /// The change can be committed and results in this configuration.
    Ready(Box<Configuration>),
}

/// Commits a change to the store.
///
/// Refuses it if the store may have lost a configuration that is active at an entry instance.
///
/// ```
/// # use nutmegcart_config::{ChangeOutcome, ChangeRequest, ClusterState, Generation};
/// # use nutmegcart_config::accept_change;
/// # use nutmegcart_platform::MemoryStore;
/// let store = MemoryStore::default().store();
/// let request = ChangeRequest { operation: "op-1".into(), ..ChangeRequest::default() };
/// let cluster = ClusterState::standalone("lineage");
/// assert_eq!(accept_change(&store, &request, &cluster), ChangeOutcome::Accepted(Generation(1)));
/// // Repeating the operation returns the same result.
/// assert_eq!(accept_change(&store, &request, &cluster), ChangeOutcome::Accepted(Generation(1)));
/// ```
#[must_use]
pub fn accept_change(
    store: &Store,
    request: &ChangeRequest,
    cluster: &ClusterState,
) -> ChangeOutcome {
    if request.operation.is_empty() || request.operation.len() > MAX_OPERATION_BYTES {
        let reason = format!("{} bytes", request.operation.len());
        return ChangeOutcome::Refused(DocumentError::new(
            Code::BadOperation,
            "/operation",
            reason,
        ));
    }
    if let Some(outcome) = find_earlier_outcome(&cluster.configuration.history, request) {
        return outcome;
    }
    for _ in 0..MAX_READ_ATTEMPTS {
        let Ok(stored) = load_reusing(store, &cluster.configuration) else {
            return unreachable_outcome(request);
        };
        let next = match evaluate(&stored, request, cluster) {
            Evaluation::AlreadyAccepted(generation) => return ChangeOutcome::Accepted(generation),
            Evaluation::Ready(next) => next,
            Evaluation::Rejected(outcome) => match is_head_unchanged(store, &stored) {
                Ok(true) => return outcome,
                Ok(false) => continue,
                Err(_) => return unreachable_outcome(request),
            },
        };
        let head = build_head(&stored, &next);
        let txn = build_transaction(&stored, &next, &head);
        return match commit_with_retries(store, &txn, &head) {
            TxnOutcome::Committed(_) => ChangeOutcome::Accepted(next.generation()),
            TxnOutcome::Superseded(current) => {
                match find_earlier_outcome(&current.history, request) {
                    Some(outcome) => outcome,
                    // The store was restored, or the read was stale; evaluate the change again.
                    None if current.history.generation <= stored.head.history.generation => {
                        continue;
                    }
                    None if proves_not_accepted(&current.history, request) => {
                        ChangeOutcome::Conflict(current.history.generation)
                    }
                    None => ChangeOutcome::Forgotten(current.history.generation),
                }
            }
            TxnOutcome::Failed => unreachable_outcome(request),
            TxnOutcome::Unknown => ChangeOutcome::Unknown,
        };
    }
    unreachable_outcome(request)
}

/// Returns the outcome when the store cannot be reached.
///
/// If there may have been an earlier attempt, it may have been committed, so that the outcome is
/// unknown.
fn unreachable_outcome(request: &ChangeRequest) -> ChangeOutcome {
    if request.first_attempt {
        ChangeOutcome::Unavailable
    } else {
        ChangeOutcome::Unknown
    }
}

/// Returns the outcome of an earlier change with the same operation identifier, if one is stored.
fn find_earlier_outcome(history: &History, request: &ChangeRequest) -> Option<ChangeOutcome> {
    let earlier = history.find(&request.operation)?;
    if earlier.digest == change_digest(request) {
        return Some(ChangeOutcome::Accepted(earlier.generation));
    }
    let reason = format!("used at generation {}", earlier.generation);
    let fault = DocumentError::new(Code::OperationReused, "/operation", reason);
    Some(ChangeOutcome::Refused(fault))
}

/// Returns whether a history without the operation proves that the change was not accepted.
fn proves_not_accepted(history: &History, request: &ChangeRequest) -> bool {
    let since = request.since.max(request.based_on.unwrap_or_default());
    request.first_attempt || history.covers_since(since)
}

fn evaluate(stored: &StoredConfig, request: &ChangeRequest, cluster: &ClusterState) -> Evaluation {
    let history = &stored.head.history;
    let current = history.generation;
    if let Some(fault) = find_lost_config(stored, cluster) {
        // The newest known configuration decides in place of the store's whether the change was
        // accepted.
        let own = &cluster.configuration.history;
        let not_accepted =
            cluster.has_quorum && cluster.is_newest() && proves_not_accepted(own, request);
        return Evaluation::Rejected(refused_or_unknown(fault, not_accepted, request));
    }
    match find_earlier_outcome(history, request) {
        Some(ChangeOutcome::Accepted(generation)) => {
            return Evaluation::AlreadyAccepted(generation);
        }
        Some(outcome) => return Evaluation::Rejected(outcome),
        None if !proves_not_accepted(history, request) => {
            return Evaluation::Rejected(ChangeOutcome::Forgotten(current));
        }
        None => {}
    }
    if !cluster.has_quorum {
        // The store may have lost the change, which may be active at a peer that did not report.
        let fault = DocumentError::new(Code::PeersUnheard, "", "");
        return Evaluation::Rejected(refused_or_unknown(fault, false, request));
    }
    if request.based_on.is_some_and(|based_on| based_on != current) {
        return Evaluation::Rejected(ChangeOutcome::Conflict(current));
    }
    let next = stored.configuration.with_change(request, &cluster.lineage);
    match next.and_then(|next| check_size(stored, next)) {
        Ok(next) => Evaluation::Ready(Box::new(next)),
        Err(fault) => Evaluation::Rejected(ChangeOutcome::Refused(fault)),
    }
}

/// Returns a refusal if the change is known not to be accepted anywhere, else an unknown outcome.
fn refused_or_unknown(
    fault: DocumentError,
    not_accepted: bool,
    request: &ChangeRequest,
) -> ChangeOutcome {
    if not_accepted || request.first_attempt {
        ChangeOutcome::Refused(fault)
    } else {
        ChangeOutcome::Unknown
    }
}

/// Returns a fault if the store may have lost a configuration that is active at an entry instance.
fn find_lost_config(stored: &StoredConfig, cluster: &ClusterState) -> Option<DocumentError> {
    if let Some(repair) = &stored.head.repair {
        let reason = format!("repair {repair} is not finished");
        return Some(DocumentError::new(Code::StoreReverted, "", reason));
    }
    let history = &stored.head.history;
    cluster.config_ids().find_map(|config_id| {
        let code = match history.relation_to(&config_id) {
            Relation::Same | Relation::Newer => return None,
            Relation::Older => Code::StoreReverted,
            Relation::Forked | Relation::OtherLineage => Code::StoreForked,
        };
        let reason = format!(
            "store at {} of {:?}, in force {} of {:?}",
            history.generation, history.lineage, config_id.generation, config_id.lineage
        );
        Some(DocumentError::new(code, "", reason))
    })
}

/// Checks that the changed documents fit into one transaction of the store.
fn check_size(stored: &StoredConfig, next: Configuration) -> Result<Configuration, DocumentError> {
    let mut bytes = 0;
    let mut count = 0;
    for (key, entry) in &next.entries {
        if entry.generation != next.generation() {
            continue;
        }
        let size = to_json(entry).len();
        if size > MAX_CHANGE_BYTES {
            let reason = format!("{key} takes {size} bytes in the store");
            return Err(DocumentError::new(Code::DocumentTooLarge, "", reason));
        }
        bytes += size;
        count += 1;
    }
    bytes += to_json(&build_head(stored, &next)).len();
    if count > MAX_CHANGED_KEYS || bytes > MAX_CHANGE_BYTES {
        let reason = format!(
            "{count} documents of {bytes} bytes; \
             at most {MAX_CHANGED_KEYS} of {MAX_CHANGE_BYTES} bytes"
        );
        return Err(DocumentError::new(
            Code::ChangeTooLarge,
            "/documents",
            reason,
        ));
    }
    Ok(next)
}

/// Returns the head for a configuration, with the unknown fields of the stored head.
pub(crate) fn build_head(stored: &StoredConfig, next: &Configuration) -> ConfigHead {
    ConfigHead {
        history: next.history.clone(),
        purged_through: next.purged_through,
        checksum: next.checksum(),
        repair: None,
        unknown_fields: stored.head.unknown_fields.clone(),
    }
}

fn build_transaction(stored: &StoredConfig, next: &Configuration, head: &ConfigHead) -> Txn {
    let mut txn = Txn::default()
        .unchanged(HEAD_KEY, stored.modified)
        .put(HEAD_KEY, to_json(head));
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
