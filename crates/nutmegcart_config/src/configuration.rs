//! A configuration: documents with the generation that last changed each.
//!
//! A deletion is kept as an entry without document, so that it reaches instances that are behind.
//! The oldest deletions are purged; instances further behind then receive the whole configuration.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use derive_more::Display;
use nutmegcart_model::Code;
use nutmegcart_model::Document;
use nutmegcart_model::record::DocumentError;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::accept::ChangeRequest;
use crate::config_view::ConfigView;
use crate::history::History;
use crate::history::digest;

/// Deletions kept; about a day's worth at 2,500 changes a day of which a tenth deletes.
const MAX_KEPT_DELETIONS: usize = 256;
/// Keys that one transaction may write beside the head.
const MAX_WRITTEN_KEYS: usize = 126;

/// Result of checking a configuration.
pub type Result<T> = std::result::Result<T, DocumentError>;

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

impl Generation {
    /// Returns the generation after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A document, or its deletion, with the generation that made it so.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedDocument {
    /// Generation of the last change.
    pub generation: Generation,
    /// The document; none after a deletion.
    pub document: Option<Document>,
}

/// All documents at one generation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Lineage, generation and the latest operations.
    pub history: History,
    /// Generation of the latest deletion that was purged.
    #[serde(default, rename = "purged")]
    pub purged_through: Generation,
    /// Documents and deletions by `<kind>/<name>`.
    pub entries: BTreeMap<String, VersionedDocument>,
}

/// What changed between two generations of one lineage.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Generation that the changes start from.
    pub from: Generation,
    /// Whether the entries are all there are, and replace what the receiver has.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// History after the changes; operations up to `from` may be left out but for the last.
    pub history: History,
    /// Generation of the latest deletion that was purged.
    #[serde(default, rename = "purged")]
    pub purged_through: Generation,
    /// [`Configuration::checksum`] after the changes.
    #[serde(rename = "sum")]
    pub checksum: u64,
    /// Changed documents and deletions by `<kind>/<name>`.
    pub entries: BTreeMap<String, VersionedDocument>,
}

impl Configuration {
    /// Returns the present generation.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.history.generation
    }

    /// Returns the configuration with the documents written and the names deleted, by an
    /// operation that makes the next generation.
    ///
    /// # Errors
    ///
    /// Refuses a name used twice in the change, the deletion of something that does not exist or
    /// is still referred to, and results whose references do not hold.
    ///
    /// ```
    /// # use nutmegcart_config::{ChangeRequest, Configuration};
    /// let apply = ChangeRequest { operation: "op-1".into(), ..ChangeRequest::default() };
    /// let next = Configuration::default().with_change(&apply, "lineage").unwrap();
    /// assert_eq!(next.generation().0, 1);
    /// ```
    pub fn with_change(&self, apply: &ChangeRequest, lineage: &str) -> Result<Self> {
        let (documents, deletions) = (&apply.documents, &apply.deletions);
        let mut next = self.clone();
        next.history.push(&apply.operation, digest(apply), lineage);
        let mut named = BTreeSet::new();
        for document in documents {
            let key = document.key();
            if !named.insert(key.clone()) {
                let reason = format!("{key} appears twice in one change");
                return Err(DocumentError::new(Code::DuplicateName, "/name", reason));
            }
            next.write(key, Some(document.clone()));
        }
        for key in deletions {
            if self.document(key).is_none() {
                let reason = format!("there is no {key}");
                return Err(DocumentError::new(Code::NotFound, "/delete", reason));
            }
            if !named.insert(key.clone()) {
                let reason = format!("{key} is both written and deleted");
                return Err(DocumentError::new(Code::DuplicateName, "/delete", reason));
            }
            next.write(key.clone(), None);
        }
        let view = ConfigView::build_unchecked(&next)?;
        if let Some(dangling) = view.dangling_reference() {
            return Err(if deletions.contains(&dangling.key) {
                let reason = format!("{} refers to {}", dangling.referrer, dangling.key);
                DocumentError::new(Code::StillReferenced, "/delete", reason)
            } else {
                dangling.into()
            });
        }
        next.purge(MAX_WRITTEN_KEYS.saturating_sub(documents.len() + deletions.len()));
        Ok(next)
    }

    /// Returns the configuration with the documents written and the names deleted, by an
    /// operation without identifier, for checks outside of acceptance.
    ///
    /// # Errors
    ///
    /// Refuses what [`Configuration::with_change`] refuses.
    pub fn with(&self, documents: &[Document], deletions: &[String]) -> Result<Self> {
        let apply = ChangeRequest {
            documents: documents.to_vec(),
            deletions: deletions.to_vec(),
            ..ChangeRequest::default()
        };
        self.with_change(&apply, "")
    }

    /// Forgets the oldest deletions, so that the store and the instances do not fill up with them.
    ///
    /// All deletions of a generation are purged together, up to a number of keys.
    fn purge(&mut self, most: usize) {
        let mut deletions: BTreeMap<Generation, Vec<String>> = BTreeMap::new();
        let mut kept = 0;
        for (key, entry) in &self.entries {
            if entry.document.is_none() {
                let keys = deletions.entry(entry.generation).or_default();
                keys.push(key.clone());
                kept += 1;
            }
        }
        let mut purged = 0;
        for (generation, keys) in deletions {
            purged += keys.len();
            if kept <= MAX_KEPT_DELETIONS || purged > most {
                return;
            }
            kept -= keys.len();
            for key in keys {
                self.entries.remove(&key);
            }
            self.purged_through = generation;
        }
    }

    /// Returns a sum over all keys with their generations, by which a receiver of changes sees
    /// that some are missing.
    #[must_use]
    pub fn checksum(&self) -> u64 {
        let entries = self.entries.iter();
        entries.fold(0, |sum, (key, entry)| {
            let mut bytes = entry.generation.0.to_le_bytes().to_vec();
            bytes.extend(key.as_bytes());
            sum ^ xxh3_64(&bytes)
        })
    }

    fn write(&mut self, key: String, document: Option<Document>) {
        let generation = self.generation();
        self.entries.insert(
            key,
            VersionedDocument {
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
    /// assert!(Configuration::default().delta_since(Generation(0)).entries.is_empty());
    /// ```
    #[must_use]
    pub fn delta_since(&self, from: Generation) -> ConfigDelta {
        let is_full = from.0 == 0 || from < self.purged_through;
        let entries = self.entries.iter();
        let entries = entries.filter(|(_, entry)| is_full || entry.generation > from);
        let mut history = self.history.clone();
        if !is_full {
            // The operation at the receiver's generation tells it that the histories agree.
            history
                .operations
                .retain(|operation| operation.generation >= from);
        }
        ConfigDelta {
            from,
            is_full,
            history,
            purged_through: self.purged_through,
            checksum: self.checksum(),
            entries: entries
                .map(|(key, entry)| (key.clone(), entry.clone()))
                .collect(),
        }
    }

    /// Returns the configuration after the changes, or none if some are missing.
    #[must_use]
    pub fn with_delta(&self, changes: &ConfigDelta) -> Option<Self> {
        let missing =
            changes.from > self.generation() || changes.purged_through > self.generation();
        if !changes.is_full && missing {
            return None;
        }
        let mut next = self.clone();
        if changes.is_full {
            next.entries.clear();
        }
        next.entries.extend(changes.entries.clone());
        if next.purged_through < changes.purged_through {
            next.purged_through = changes.purged_through;
            let kept = |entry: &VersionedDocument| {
                entry.document.is_some() || entry.generation > next.purged_through
            };
            next.entries.retain(|_, entry| kept(entry));
        }
        next.history = self.history.merged_with(&changes.history);
        (next.checksum() == changes.checksum).then_some(next)
    }
}
