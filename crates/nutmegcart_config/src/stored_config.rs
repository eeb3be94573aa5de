//! Layout of the configuration in the store: a head, and one value per document.

use std::collections::BTreeMap;

use nutmegcart_platform::KeyValue;
use nutmegcart_platform::Revision;
use nutmegcart_platform::Store;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::configuration::ConfigDelta;
use crate::configuration::Configuration;
use crate::configuration::Generation;
use crate::configuration::VersionedDocument;
use crate::history::History;

/// Prefix of the head and the documents, which are read together.
pub const CONFIG_PREFIX: &str = "/nutmegcart/config/";
/// Key of the head; every transaction that changes the configuration compares its revision.
pub const HEAD_KEY: &str = "/nutmegcart/config/head";
/// Prefix of the documents, followed by `<kind>/<name>`.
pub const DOCUMENT_PREFIX: &str = "/nutmegcart/config/doc/";

/// Attempts to send a transaction before its result counts as unknown.
const MAX_SEND_ATTEMPTS: usize = 3;

/// Result of reading the configuration from the store.
pub type Result<T> = std::result::Result<T, StoreError>;

/// The value at [`HEAD_KEY`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Lineage, current generation and latest operations.
    pub history: History,
    /// Highest generation whose deletions were purged.
    #[serde(default, rename = "purged")]
    pub purged_through: Generation,
    /// [`Configuration::checksum`] of the documents.
    #[serde(default, rename = "sum")]
    pub checksum: u64,
    /// Repair in progress, if any; meanwhile the documents belong to no single generation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repair: Option<String>,
    /// Fields written by newer versions of the program, kept when this version writes the head.
    #[serde(flatten)]
    pub unknown_fields: Map<String, Value>,
}

/// The configuration as read from the store.
#[derive(Clone, Debug, Default)]
pub struct StoredConfig {
    /// The documents, with history and purged generation copied from the head.
    pub configuration: Configuration,
    /// Empty if the store has no head yet.
    pub head: ConfigHead,
    /// Revision of the last write of the head; zero if there is none.
    pub modified: Revision,
    /// Revision of the store at which it was read.
    pub revision: Revision,
}

/// Reads the configuration at a single revision; the read may be stale.
///
/// # Errors
///
/// Fails if the store does not answer, or if a value cannot be parsed.
pub fn load_config(store: &Store) -> Result<StoredConfig> {
    let snapshot = store.range(CONFIG_PREFIX)?;
    let mut stored = StoredConfig {
        revision: snapshot.revision,
        ..StoredConfig::default()
    };
    if let Some(entry) = snapshot.get(HEAD_KEY) {
        stored.head = parse(entry)?;
        stored.modified = entry.modified;
    }
    stored.configuration = Configuration {
        history: stored.head.history.clone(),
        purged_through: stored.head.purged_through,
        entries: parse_documents(&snapshot.entries)?,
    };
    Ok(stored)
}

/// Reads the head, and the documents only if they differ from those of the given configuration;
/// the read may be stale.
///
/// # Errors
///
/// Fails as [`load_config`] does.
pub(crate) fn load_reusing(store: &Store, cached: &Configuration) -> Result<StoredConfig> {
    let snapshot = store.range(HEAD_KEY)?;
    let Some(entry) = snapshot.get(HEAD_KEY) else {
        return load_config(store);
    };
    let head: ConfigHead = parse(entry)?;
    let same = head.repair.is_none() && head.history.config_id() == cached.history.config_id();
    if !same || head.checksum != cached.checksum() {
        return load_config(store);
    }
    Ok(StoredConfig {
        configuration: Configuration {
            history: head.history.clone(),
            purged_through: head.purged_through,
            entries: cached.entries.clone(),
        },
        head,
        modified: entry.modified,
        revision: snapshot.revision,
    })
}

/// Reads the head and the documents written at or after revision `since`, as a delta from
/// generation `from`; returns no delta if the head was not written.
///
/// The second value is the store's revision at the read.
///
/// # Errors
///
/// Fails as [`load_config`] does.
pub fn load_delta(
    store: &Store,
    since: Revision,
    from: Generation,
) -> Result<(Option<(ConfigHead, ConfigDelta)>, Revision)> {
    let snapshot = store.range_since(CONFIG_PREFIX, since)?;
    let Some(entry) = snapshot.get(HEAD_KEY) else {
        return Ok((None, snapshot.revision));
    };
    let head: ConfigHead = parse(entry)?;
    let changes = ConfigDelta {
        from,
        is_full: false,
        history: head.history.clone(),
        purged_through: head.purged_through,
        checksum: head.checksum,
        entries: parse_documents(&snapshot.entries)?,
    };
    Ok((Some((head, changes)), snapshot.revision))
}

fn parse_documents(found: &[KeyValue]) -> Result<BTreeMap<String, VersionedDocument>> {
    let mut entries = BTreeMap::new();
    for entry in found {
        if let Some(key) = entry.key.strip_prefix(DOCUMENT_PREFIX) {
            entries.insert(key.to_owned(), parse(entry)?);
        }
    }
    Ok(entries)
}

pub(crate) fn parse<'a, T: Deserialize<'a>>(entry: &'a KeyValue) -> Result<T> {
    serde_json::from_slice(&entry.value).map_err(|error| StoreError::Refused {
        reason: format!("{}: {error}", entry.key),
    })
}

pub(crate) fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("value is serialisable")
}

/// Returns the store key of the document with the key `<kind>/<name>`.
pub(crate) fn document_key(key: &str) -> String {
    format!("{DOCUMENT_PREFIX}{key}")
}

/// Returns whether the head is unchanged since it was read.
///
/// A transaction checks this, because a plain read may be stale.
///
/// # Errors
///
/// Fails if the store does not answer.
pub(crate) fn is_head_unchanged(store: &Store, stored: &StoredConfig) -> Result<bool> {
    let txn = Txn::default().unchanged(HEAD_KEY, stored.modified);
    Ok(store.txn(&txn)?.committed)
}

/// Result of a transaction that compares the revision of the head.
pub(crate) enum TxnOutcome {
    /// It was committed at this revision of the store.
    Committed(Revision),
    /// It was not committed and never will be; holds the current head.
    Superseded(Box<ConfigHead>),
    /// It was not committed: the store could not be reached or refused it.
    Failed,
    /// It may have been committed or not: no answer showed the result.
    Unknown,
}

/// Sends a transaction that compares and writes the head, and repeats it if the answer is lost.
///
/// Repeating is safe because the transaction compares the revision of the head: at most one copy
/// can be committed, and a copy that fails proves that no other copy will succeed later. `head` is
/// the head that the transaction writes; if the store holds it, an earlier copy was committed.
pub(crate) fn commit_with_retries(store: &Store, txn: &Txn, head: &ConfigHead) -> TxnOutcome {
    let txn = txn.clone().or_read(HEAD_KEY);
    let mut answer_lost = false;
    for _ in 0..MAX_SEND_ATTEMPTS {
        match store.txn(&txn) {
            Ok(reply) if reply.committed => return TxnOutcome::Committed(reply.revision),
            Ok(reply) => {
                let Some(found) = reply.found.first() else {
                    return TxnOutcome::Superseded(Box::default());
                };
                return match parse::<ConfigHead>(found) {
                    // An earlier copy was committed.
                    Ok(current) if current == *head => TxnOutcome::Committed(found.modified),
                    Ok(current) => TxnOutcome::Superseded(Box::new(current)),
                    Err(_) => TxnOutcome::Unknown,
                };
            }
            Err(StoreError::AnswerLost { .. }) => answer_lost = true,
            Err(_) if answer_lost => return TxnOutcome::Unknown,
            Err(_) => return TxnOutcome::Failed,
        }
    }
    TxnOutcome::Unknown
}
