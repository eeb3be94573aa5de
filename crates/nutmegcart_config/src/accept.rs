//! Acceptance of a configuration change through the platform's store.

use std::collections::BTreeMap;

use nutmegcart_model::Code;
use nutmegcart_model::Document;
use nutmegcart_model::record::Fault;
use nutmegcart_platform::KeyValue;
use nutmegcart_platform::Revision;
use nutmegcart_platform::Store;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Configuration;
use crate::configuration::Entry;
use crate::configuration::Generation;

/// Prefix of all configuration keys.
pub const PREFIX: &str = "/nutmegcart/config/";
/// Key of the head.
pub const HEAD: &str = "/nutmegcart/config/head";
/// Prefix of the documents.
pub const DOCUMENTS: &str = "/nutmegcart/config/doc/";
/// Operation identifiers kept in the head, so that a lost answer can be resolved.
const KEPT_OPERATIONS: usize = 64;

/// Result of reading the configuration from the store.
pub type Result<T> = std::result::Result<T, StoreError>;

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
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The write is known to stand, at this generation.
    Accepted(Generation),
    /// The change was refused and nothing was written.
    Refused(Fault),
    /// Another change was accepted first; the present generation is given.
    Conflict(Generation),
    /// The store cannot be reached and nothing was written.
    Unavailable,
    /// The answer was lost and the store does not tell; repeat with the same operation.
    Unknown,
}

/// The value of the head key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Head {
    /// Identifies the store's history.
    pub lineage: String,
    /// Present generation.
    pub generation: Generation,
    /// The latest operations, oldest first, with the generation that each made.
    pub operations: Vec<(String, Generation)>,
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

/// Reads the configuration at one revision.
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
    let mut entries = BTreeMap::new();
    for entry in &snapshot.entries {
        if let Some(key) = entry.key.strip_prefix(DOCUMENTS) {
            entries.insert(key.to_owned(), parse::<Entry>(entry)?);
        }
    }
    stored.configuration = Configuration {
        lineage: stored.head.lineage.clone(),
        generation: stored.head.generation,
        entries,
    };
    Ok(stored)
}

fn parse<'a, T: Deserialize<'a>>(entry: &'a KeyValue) -> Result<T> {
    serde_json::from_slice(&entry.value).map_err(|error| StoreError::Refused {
        reason: format!("{}: {error}", entry.key),
    })
}

/// Commits a change; `floor` is the generation already in force here.
///
/// The store is refused as reverted if it holds less than the floor, since accepting on top of it
/// would number two different configurations alike.
///
/// ```
/// # use nutmegcart_config::{Apply, Generation, Outcome, accept};
/// # use nutmegcart_platform::MemoryStore;
/// let store = MemoryStore::default().store();
/// let apply = Apply { operation: "op-1".into(), ..Apply::default() };
/// assert_eq!(accept(&store, &apply, Generation(0)), Outcome::Accepted(Generation(1)));
/// // The repeated operation is recognised.
/// assert_eq!(accept(&store, &apply, Generation(1)), Outcome::Accepted(Generation(1)));
/// ```
#[must_use]
pub fn accept(store: &Store, apply: &Apply, floor: Generation) -> Outcome {
    let Ok(stored) = load(store) else {
        return Outcome::Unavailable;
    };
    if stored.head.generation < floor {
        let reason = format!("store at {}, in force {floor}", stored.head.generation);
        return Outcome::Refused(Fault::new(Code::StoreReverted, "", reason));
    }
    if let Some(done) = find(&stored.head, &apply.operation) {
        return Outcome::Accepted(done);
    }
    let present = stored.head.generation;
    if apply.based_on.is_some_and(|based_on| based_on != present) {
        return Outcome::Conflict(present);
    }
    let next = match stored
        .configuration
        .with(&apply.documents, &apply.deletions)
    {
        Ok(next) => next,
        Err(fault) => return Outcome::Refused(fault),
    };
    let txn = transaction(&stored, &next, &apply.operation);
    match store.txn(&txn) {
        Ok(reply) if reply.committed => Outcome::Accepted(next.generation),
        Ok(_) => resolve(store, &apply.operation, Some(present)),
        Err(StoreError::AnswerLost { .. }) => resolve(store, &apply.operation, None),
        Err(_) => Outcome::Unavailable,
    }
}

fn transaction(stored: &Stored, next: &Configuration, operation: &str) -> Txn {
    let mut head = stored.head.clone();
    if head.lineage.is_empty() {
        operation.clone_into(&mut head.lineage);
    }
    head.generation = next.generation;
    head.operations
        .push((operation.to_owned(), next.generation));
    let surplus = head.operations.len().saturating_sub(KEPT_OPERATIONS);
    head.operations.drain(..surplus);
    let mut txn = Txn::default().unchanged(HEAD, stored.modified);
    txn = txn.put(HEAD, to_json(&head));
    for (key, entry) in next.changes_since(stored.head.generation).entries {
        txn = txn.put(format!("{DOCUMENTS}{key}"), to_json(&entry));
    }
    txn
}

fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("value is serialisable")
}

fn find(head: &Head, operation: &str) -> Option<Generation> {
    let mut operations = head.operations.iter();
    operations
        .find(|done| done.0 == operation)
        .map(|done| done.1)
}

/// Finds out whether an operation took effect, after a lost answer or a lost race.
fn resolve(store: &Store, operation: &str, raced: Option<Generation>) -> Outcome {
    match load(store) {
        Ok(stored) => match find(&stored.head, operation) {
            Some(done) => Outcome::Accepted(done),
            None if raced.is_some() => Outcome::Conflict(stored.head.generation),
            // The write can still arrive after this read, so "refused" would be a guess.
            None => Outcome::Unknown,
        },
        Err(_) if raced.is_some() => Outcome::Conflict(raced.unwrap_or_default()),
        Err(_) => Outcome::Unknown,
    }
}
