//! A configuration: documents with the generation that last changed each.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use derive_more::Display;
use nutmegcart_model::Code;
use nutmegcart_model::Document;
use nutmegcart_model::record::Fault;
use serde::Deserialize;
use serde::Serialize;

use crate::view::View;

/// Result of checking a configuration.
pub type Result<T> = std::result::Result<T, Fault>;

/// Number of an accepted configuration; each acceptance adds one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

/// A document, or its deletion, with the generation that made it so.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Generation of the last change.
    pub generation: Generation,
    /// The document; none after a deletion.
    pub document: Option<Document>,
}

/// All documents at one generation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Identifies the store's history; empty before the first acceptance.
    pub lineage: String,
    /// Present generation.
    pub generation: Generation,
    /// Documents and deletions by `<kind>/<name>`.
    pub entries: BTreeMap<String, Entry>,
}

/// What changed between two generations of one lineage.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Lineage of both generations.
    pub lineage: String,
    /// Generation that the changes start from.
    pub from: Generation,
    /// Generation after the changes.
    pub to: Generation,
    /// Changed documents and deletions by `<kind>/<name>`.
    pub entries: BTreeMap<String, Entry>,
}

impl Configuration {
    /// Returns the configuration with the documents written and the names deleted, at the next
    /// generation.
    ///
    /// # Errors
    ///
    /// Refuses a name used twice in the change, and results whose references do not hold.
    pub fn with(&self, documents: &[Document], deletions: &[String]) -> Result<Self> {
        let mut next = self.clone();
        next.generation = Generation(self.generation.0 + 1);
        let mut named = BTreeSet::new();
        for document in documents {
            let key = document.key();
            if !named.insert(key.clone()) {
                let reason = format!("{key} appears twice in one change");
                return Err(Fault::new(Code::DuplicateName, "/name", reason));
            }
            next.write(key, Some(document.clone()));
        }
        for key in deletions {
            if self.document(key).is_none() {
                let reason = format!("there is no {key}");
                return Err(Fault::new(Code::NotFound, "/delete", reason));
            }
            if !named.insert(key.clone()) {
                let reason = format!("{key} is both written and deleted");
                return Err(Fault::new(Code::DuplicateName, "/delete", reason));
            }
            next.write(key.clone(), None);
        }
        View::build(&next)?;
        Ok(next)
    }

    fn write(&mut self, key: String, document: Option<Document>) {
        let generation = self.generation;
        self.entries.insert(
            key,
            Entry {
                generation,
                document,
            },
        );
    }

    /// Returns the document with the key `<kind>/<name>`.
    #[must_use]
    pub fn document(&self, key: &str) -> Option<&Document> {
        self.entries.get(key)?.document.as_ref()
    }

    /// Returns all documents in ascending order of key.
    pub fn documents(&self) -> impl Iterator<Item = &Document> {
        self.entries
            .values()
            .filter_map(|entry| entry.document.as_ref())
    }

    /// Returns what changed after the generation.
    ///
    /// ```
    /// # use nutmegcart_config::{Configuration, Generation};
    /// assert!(Configuration::default().changes_since(Generation(0)).entries.is_empty());
    /// ```
    #[must_use]
    pub fn changes_since(&self, from: Generation) -> Changes {
        Changes {
            lineage: self.lineage.clone(),
            from,
            to: self.generation,
            entries: self
                .entries
                .iter()
                .filter(|(_, entry)| entry.generation > from)
                .map(|(key, entry)| (key.clone(), entry.clone()))
                .collect(),
        }
    }

    /// Returns the configuration after the changes, or none if they start later than it ends or
    /// belong to another lineage.
    #[must_use]
    pub fn after(&self, changes: &Changes) -> Option<Self> {
        let same = self.lineage.is_empty() || self.lineage == changes.lineage;
        if !same || changes.from > self.generation {
            return None;
        }
        let mut next = self.clone();
        next.lineage.clone_from(&changes.lineage);
        next.generation = changes.to;
        next.entries.extend(changes.entries.clone());
        Some(next)
    }
}
