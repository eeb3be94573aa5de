//! The operations that created the latest generations, and the relation between two histories.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::accept::ChangeRequest;
use crate::configuration::Generation;

/// Operations kept, to recognise a change repeated after a lost answer and to detect a fork.
pub const MAX_KEPT_OPERATIONS: usize = 64;

/// An accepted change, without its documents.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct AcceptedOperation {
    /// Identifier from the change request; see [`ChangeRequest::operation`].
    pub id: String,
    /// Generation that the operation created.
    pub generation: Generation,
    /// Digest of the change, to detect that its identifier is reused for a different change.
    pub digest: u64,
}

/// Identity of a configuration: two configurations with equal identities are equal.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigId {
    /// Identifies the store's history; empty before the first acceptance.
    pub lineage: String,
    /// Zero before the first acceptance.
    pub generation: Generation,
    /// Identifier of the operation that created the generation.
    pub operation: String,
}

/// Relation of a history to a configuration, which is given by its identity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Relation {
    /// The history ends with the configuration.
    Same,
    /// The history continues the configuration.
    Newer,
    /// The history ends at an earlier generation.
    Older,
    /// The history has another configuration at the same generation.
    Forked,
    /// The history belongs to another lineage.
    OtherLineage,
}

/// Lineage, current generation and latest operations of a configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Identifies the store's history; empty before the first acceptance.
    pub lineage: String,
    /// Current generation; zero before the first acceptance.
    pub generation: Generation,
    /// The latest operations, oldest first; at most [`MAX_KEPT_OPERATIONS`].
    pub operations: Vec<AcceptedOperation>,
}

impl History {
    /// Returns the identity of the current configuration.
    #[must_use]
    pub fn config_id(&self) -> ConfigId {
        let last = self.operations.last();
        ConfigId {
            lineage: self.lineage.clone(),
            generation: self.generation,
            operation: last.map(|last| last.id.clone()).unwrap_or_default(),
        }
    }

    /// Adds the operation that creates the next generation; the first operation sets the lineage.
    pub fn push(&mut self, id: &str, digest: u64, lineage: &str) {
        if self.lineage.is_empty() {
            lineage.clone_into(&mut self.lineage);
        }
        self.generation = self.generation.next();
        self.operations.push(AcceptedOperation {
            id: id.to_owned(),
            generation: self.generation,
            digest,
        });
        let surplus = self.operations.len().saturating_sub(MAX_KEPT_OPERATIONS);
        self.operations.drain(..surplus);
    }

    /// Returns a later history, extended with the older operations of this one if no operation
    /// between the two is missing.
    #[must_use]
    pub fn merged_with(&self, later: &Self) -> Self {
        let mut merged = later.clone();
        let oldest = later.operations.first().map(|oldest| oldest.generation);
        if self.lineage == later.lineage
            && let Some(oldest) = oldest
            && self.generation.next() >= oldest
        {
            let older = self.operations.iter();
            let older = older.filter(|operation| operation.generation < oldest);
            merged.operations = older.chain(&later.operations).cloned().collect();
            let surplus = merged.operations.len().saturating_sub(MAX_KEPT_OPERATIONS);
            merged.operations.drain(..surplus);
        }
        merged
    }

    /// Returns the operation with the identifier, if it is still kept.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<&AcceptedOperation> {
        self.operations.iter().find(|operation| operation.id == id)
    }

    /// Returns whether every operation after the generation is still kept.
    #[must_use]
    pub fn covers_since(&self, since: Generation) -> bool {
        let oldest = self.operations.first();
        self.generation <= since || oldest.is_some_and(|oldest| oldest.generation <= since.next())
    }

    /// Returns the relation of this history to a configuration.
    ///
    /// A fork before the oldest kept operation cannot be detected; such a history counts as newer.
    #[must_use]
    pub fn relation_to(&self, config_id: &ConfigId) -> Relation {
        if config_id.lineage.is_empty() {
            return if self.lineage.is_empty() {
                Relation::Same
            } else {
                Relation::Newer
            };
        }
        if self.lineage != config_id.lineage && !self.lineage.is_empty() {
            return Relation::OtherLineage;
        }
        if self.generation < config_id.generation {
            return Relation::Older;
        }
        let mut operations = self.operations.iter();
        let kept = operations.find(|operation| operation.generation == config_id.generation);
        match kept {
            Some(kept) if kept.id != config_id.operation => Relation::Forked,
            _ if self.generation == config_id.generation => Relation::Same,
            _ => Relation::Newer,
        }
    }
}

/// Returns the digest of the documents and deletions of a change.
///
/// # Panics
///
/// Panics if a document cannot be serialised as JSON, which cannot happen for a parsed document.
#[must_use]
pub fn change_digest(request: &ChangeRequest) -> u64 {
    let change = (&request.documents, &request.deletions);
    xxh3_64(&serde_json::to_vec(&change).expect("change is serialisable"))
}
