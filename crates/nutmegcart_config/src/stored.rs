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

use crate::configuration::Changes;
use crate::configuration::Configuration;
use crate::configuration::Entry;
use crate::configuration::Generation;
use crate::history::History;

/// Prefix of all configuration keys.
pub const PREFIX: &str = "/nutmegcart/config/";
/// Key of the head.
pub const HEAD: &str = "/nutmegcart/config/head";
/// Prefix of the documents.
pub const DOCUMENTS: &str = "/nutmegcart/config/doc/";

/// Times that a transaction is sent until its fate counts as unknown.
const ATTEMPTS: usize = 3;

/// Result of reading the configuration from the store.
pub type Result<T> = std::result::Result<T, StoreError>;

/// The value of the head key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Lineage, generation and the latest operations.
    pub history: History,
    /// Generation of the latest deletion that was purged.
    #[serde(default)]
    pub purged: Generation,
    /// [`Configuration::sum`] of the documents.
    #[serde(default)]
    pub sum: u64,
    /// Repair that is under way; the documents belong to no generation meanwhile.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repair: Option<String>,
    /// Fields of newer versions, which an older version keeps when it writes the head.
    #[serde(flatten)]
    pub other: Map<String, Value>,
}

/// What the store holds.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// The configuration.
    pub configuration: Configuration,
    /// The head.
    pub head: Head,
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
pub fn load(store: &Store) -> Result<Stored> {
    let snapshot = store.range(PREFIX)?;
    let mut stored = Stored {
        revision: snapshot.revision,
        ..Stored::default()
    };
    if let Some(entry) = snapshot.get(HEAD) {
        stored.head = parse(entry)?;
        stored.modified = entry.modified;
    }
    stored.configuration = Configuration {
        history: stored.head.history.clone(),
        purged: stored.head.purged,
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
pub(crate) fn load_upon(store: &Store, at_hand: &Configuration) -> Result<Stored> {
    let snapshot = store.range(HEAD)?;
    let Some(entry) = snapshot.get(HEAD) else {
        return load(store);
    };
    let head: Head = parse(entry)?;
    let same = head.repair.is_none() && head.history.mark() == at_hand.history.mark();
    if !same || head.sum != at_hand.sum() {
        return load(store);
    }
    Ok(Stored {
        configuration: Configuration {
            history: head.history.clone(),
            purged: head.purged,
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
pub fn load_changes(
    store: &Store,
    since: Revision,
    from: Generation,
) -> Result<(Option<(Head, Changes)>, Revision)> {
    let snapshot = store.range_since(PREFIX, since)?;
    let Some(entry) = snapshot.get(HEAD) else {
        return Ok((None, snapshot.revision));
    };
    let head: Head = parse(entry)?;
    let changes = Changes {
        from,
        whole: false,
        history: head.history.clone(),
        purged: head.purged,
        sum: head.sum,
        entries: entries(&snapshot.entries)?,
    };
    Ok((Some((head, changes)), snapshot.revision))
}

fn entries(found: &[KeyValue]) -> Result<BTreeMap<String, Entry>> {
    let mut entries = BTreeMap::new();
    for entry in found {
        if let Some(key) = entry.key.strip_prefix(DOCUMENTS) {
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
    format!("{DOCUMENTS}{key}")
}

/// Returns whether the head is still as read, which a stale read alone cannot tell.
///
/// # Errors
///
/// Fails if the store does not answer.
pub(crate) fn confirm(store: &Store, stored: &Stored) -> Result<bool> {
    let txn = Txn::default().unchanged(HEAD, stored.modified);
    Ok(store.txn(&txn)?.committed)
}

/// What became of a transaction that compares the head's revision.
pub(crate) enum Settled {
    /// It was carried out, at this revision of the store.
    Committed(Revision),
    /// It was not carried out and never will be; the present head and its revision are given.
    Beaten(Box<Head>),
    /// It was never carried out; the store did not take it.
    Unsent,
    /// The answer was lost each time.
    Unknown,
}

/// Sends a transaction that compares and writes the head until its fate is known.
///
/// Since it compares the head's revision, sending it again is harmless: at most one copy can be
/// carried out, and a copy that fails proves that no other will succeed later.
pub(crate) fn settle(store: &Store, txn: &Txn, head: &Head) -> Settled {
    let txn = txn.clone().or_read(HEAD);
    let mut sent = false;
    for _ in 0..ATTEMPTS {
        match store.txn(&txn) {
            Ok(reply) if reply.committed => return Settled::Committed(reply.revision),
            Ok(reply) => {
                let Some(found) = reply.found.first() else {
                    return Settled::Beaten(Box::default());
                };
                return match parse::<Head>(found) {
                    // An earlier copy was carried out.
                    Ok(present) if present == *head => Settled::Committed(found.modified),
                    Ok(present) => Settled::Beaten(Box::new(present)),
                    Err(_) => Settled::Unknown,
                };
            }
            Err(StoreError::AnswerLost { .. }) => sent = true,
            Err(_) if sent => return Settled::Unknown,
            Err(_) => return Settled::Unsent,
        }
    }
    Settled::Unknown
}
