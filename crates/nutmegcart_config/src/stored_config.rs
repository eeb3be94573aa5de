//! How the configuration lies in the store: a head, and one value a document.

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

/// Prefix of all configuration keys.
pub const CONFIG_PREFIX: &str = "/nutmegcart/config/";
/// Key of the head.
pub const HEAD_KEY: &str = "/nutmegcart/config/head";
/// Prefix of the documents.
pub const DOCUMENT_PREFIX: &str = "/nutmegcart/config/doc/";

/// Times that a transaction is sent until its fate counts as unknown.
const ATTEMPTS: usize = 3;

/// Result of reading the configuration from the store.
pub type Result<T> = std::result::Result<T, StoreError>;

/// The value of the head key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Lineage, generation and the latest operations.
    pub history: History,
    /// Generation of the latest deletion that was purged.
    #[serde(default, rename = "purged")]
    pub purged_through: Generation,
    /// [`Configuration::checksum`] of the documents.
    #[serde(default, rename = "sum")]
    pub checksum: u64,
    /// Repair that is under way; the documents belong to no generation meanwhile.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repair: Option<String>,
    /// Fields of newer versions, which an older version keeps when it writes the head.
    #[serde(flatten)]
    pub unknown_fields: Map<String, Value>,
}

/// What the store holds.
#[derive(Clone, Debug, Default)]
pub struct StoredConfig {
    /// The configuration.
    pub configuration: Configuration,
    /// The head.
    pub head: ConfigHead,
    /// Revision of the head's last write; zero if there is none.
    pub modified: Revision,
    /// Revision of the store at the read.
    pub revision: Revision,
}

/// Reads the configuration at one revision; the read may be stale.
///
/// # Errors
///
/// Fails if the store does not answer or holds something that cannot be read.
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
        entries: entries(&snapshot.entries)?,
    };
    Ok(stored)
}

/// Reads the head, and the documents only if they are not those of the configuration at hand; the
/// read may be stale.
///
/// # Errors
///
/// Fails as [`load`] does.
pub(crate) fn load_upon(store: &Store, at_hand: &Configuration) -> Result<StoredConfig> {
    let snapshot = store.range(HEAD_KEY)?;
    let Some(entry) = snapshot.get(HEAD_KEY) else {
        return load_config(store);
    };
    let head: ConfigHead = parse(entry)?;
    let same = head.repair.is_none() && head.history.config_id() == at_hand.history.config_id();
    if !same || head.checksum != at_hand.checksum() {
        return load_config(store);
    }
    Ok(StoredConfig {
        configuration: Configuration {
            history: head.history.clone(),
            purged_through: head.purged_through,
            entries: at_hand.entries.clone(),
        },
        head,
        modified: entry.modified,
        revision: snapshot.revision,
    })
}

/// Reads what was written at or after a revision, as changes to a configuration read before it;
/// no changes if the head was not written.
///
/// # Errors
///
/// Fails as [`load`] does.
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
        entries: entries(&snapshot.entries)?,
    };
    Ok((Some((head, changes)), snapshot.revision))
}

fn entries(found: &[KeyValue]) -> Result<BTreeMap<String, VersionedDocument>> {
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

/// Returns the key of a document.
pub(crate) fn document_key(key: &str) -> String {
    format!("{DOCUMENT_PREFIX}{key}")
}

/// Returns whether the head is still as read, which a stale read alone cannot tell.
///
/// # Errors
///
/// Fails if the store does not answer.
pub(crate) fn confirm(store: &Store, stored: &StoredConfig) -> Result<bool> {
    let txn = Txn::default().unchanged(HEAD_KEY, stored.modified);
    Ok(store.txn(&txn)?.committed)
}

/// What became of a transaction that compares the head's revision.
pub(crate) enum TxnOutcome {
    /// It was carried out, at this revision of the store.
    Committed(Revision),
    /// It was not carried out and never will be; the present head and its revision are given.
    Superseded(Box<ConfigHead>),
    /// It was never carried out; the store did not take it.
    NotSent,
    /// The answer was lost each time.
    Unknown,
}

/// Sends a transaction that compares and writes the head until its fate is known.
///
/// Since it compares the head's revision, sending it again is harmless: at most one copy can be
/// carried out, and a copy that fails proves that no other will succeed later.
pub(crate) fn settle(store: &Store, txn: &Txn, head: &ConfigHead) -> TxnOutcome {
    let txn = txn.clone().or_read(HEAD_KEY);
    let mut sent = false;
    for _ in 0..ATTEMPTS {
        match store.txn(&txn) {
            Ok(reply) if reply.committed => return TxnOutcome::Committed(reply.revision),
            Ok(reply) => {
                let Some(found) = reply.found.first() else {
                    return TxnOutcome::Superseded(Box::default());
                };
                return match parse::<ConfigHead>(found) {
                    // An earlier copy was carried out.
                    Ok(present) if present == *head => TxnOutcome::Committed(found.modified),
                    Ok(present) => TxnOutcome::Superseded(Box::new(present)),
                    Err(_) => TxnOutcome::Unknown,
                };
            }
            Err(StoreError::AnswerLost { .. }) => sent = true,
            Err(_) if sent => return TxnOutcome::Unknown,
            Err(_) => return TxnOutcome::NotSent,
        }
    }
    TxnOutcome::Unknown
}
