//! Operations that made the latest generations, and how two histories relate.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::accept::ChangeRequest;
use crate::configuration::Generation;

/// Operations kept, so that a lost answer can be resolved and a fork of the history is seen.
pub const MAX_KEPT_OPERATIONS: usize = 64;

/// An accepted operation.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct AcceptedOperation {
    /// Identifier given with the change.
    pub id: String,
    /// Generation that the operation made.
    pub generation: Generation,
    /// Digest of the change, so that an identifier used for another change is seen.
    pub digest: u64,
}

/// Identity of a configuration: two configurations with one mark are the same.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigId {
    /// Identifies the store's history; empty before the first acceptance.
    pub lineage: String,
    /// Generation.
    pub generation: Generation,
    /// Operation that made the generation.
    pub operation: String,
}

/// How a history relates to the configuration with a mark.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Relation {
    /// It ends with the same configuration.
    Same,
    /// It goes on from it.
    Newer,
    /// It ends before it.
    Older,
    /// It has another configuration at the mark's generation.
    Forked,
    /// It is of another lineage.
    OtherLineage,
}

/// The latest operations of a lineage, oldest first.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Identifies the store's history; empty before the first acceptance.
    pub lineage: String,
    /// Present generation.
    pub generation: Generation,
    /// The latest operations, oldest first.
    pub operations: Vec<AcceptedOperation>,
}

impl History {
    /// Returns the identity of the present configuration.
    #[must_use]
    pub fn config_id(&self) -> ConfigId {
        let last = self.operations.last();
        ConfigId {
            lineage: self.lineage.clone(),
            generation: self.generation,
            operation: last.map(|last| last.id.clone()).unwrap_or_default(),
        }
    }

    /// Adds the operation that makes the next generation; the first one starts the lineage.
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

    /// Returns the later history completed by the older operations of this one.
    #[must_use]
    pub fn merged_with(&self, later: &Self) -> Self {
        let mut joined = later.clone();
        let oldest = later.operations.first().map(|oldest| oldest.generation);
        if self.lineage == later.lineage
            && let Some(oldest) = oldest
            && self.generation.next() >= oldest
        {
            let older = self.operations.iter();
            let older = older.filter(|operation| operation.generation < oldest);
            joined.operations = older.chain(&later.operations).cloned().collect();
            let surplus = joined.operations.len().saturating_sub(MAX_KEPT_OPERATIONS);
            joined.operations.drain(..surplus);
        }
        joined
    }

    /// Returns the operation with the identifier, if it is among the kept ones.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<&AcceptedOperation> {
        self.operations.iter().find(|operation| operation.id == id)
    }

    /// Returns whether every operation after the generation is among the kept ones.
    #[must_use]
    pub fn covers_since(&self, since: Generation) -> bool {
        let oldest = self.operations.first();
        self.generation <= since || oldest.is_some_and(|oldest| oldest.generation <= since.next())
    }

    /// Returns how this history relates to the configuration with the mark.
    ///
    /// A fork older than the kept operations cannot be seen; such a history counts as newer.
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
        let there = operations.find(|operation| operation.generation == config_id.generation);
        match there {
            Some(there) if there.id != config_id.operation => Relation::Forked,
            _ if self.generation == config_id.generation => Relation::Same,
            _ => Relation::Newer,
        }
    }
}

/// Returns the digest of a change.
///
/// # Panics
///
/// Panics if a document cannot be written as JSON, which reading it rules out.
#[must_use]
pub fn digest(apply: &ChangeRequest) -> u64 {
    let change = (&apply.documents, &apply.deletions);
    xxh3_64(&serde_json::to_vec(&change).expect("change is serialisable"))
}
