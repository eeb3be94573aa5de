//! A configuration: documents, each with the generation that last changed it.
//!
//! A deletion is kept as an entry without a document, so that it reaches instances that are behind.
//! The oldest deletions are purged; instances that are further behind receive the full
//! configuration instead of a delta.

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
use crate::history::change_digest;

/// Deletions kept before the oldest are purged: about one day at 2,500 changes a day, of which one
/// in ten deletes a document.
const MAX_KEPT_DELETIONS: usize = 256;
/// Most keys that one transaction may write or delete in addition to the head.
const MAX_WRITTEN_KEYS: usize = 126;

/// Result of an operation that checks a configuration.
pub type Result<T> = std::result::Result<T, DocumentError>;

/// Number of an accepted configuration; each accepted change adds one.
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

/// A document or its deletion, with the generation of that change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedDocument {
    /// Generation that last wrote or deleted the document.
    pub generation: Generation,
    /// The document, or `None` after a deletion.
    pub document: Option<Document>,
}

/// All documents and kept deletions at one generation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Lineage, current generation and latest operations.
    pub history: History,
    /// Highest generation whose deletions were purged.
    #[serde(default, rename = "purged")]
    pub purged_through: Generation,
    /// Documents and deletions by `<kind>/<name>`.
    pub entries: BTreeMap<String, VersionedDocument>,
}

/// The changes between two generations of one lineage.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Generation after which the changes were made.
    pub from: Generation,
    /// Whether the entries are the full configuration and replace all entries of the receiver.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// History after the changes; operations before generation `from` may be left out.
    pub history: History,
    /// Highest generation whose deletions were purged.
    #[serde(default, rename = "purged")]
    pub purged_through: Generation,
    /// [`Configuration::checksum`] after the changes.
    #[serde(rename = "sum")]
    pub checksum: u64,
    /// Changed documents and deletions by `<kind>/<name>`.
    pub entries: BTreeMap<String, VersionedDocument>,
}

impl Configuration {
    /// Returns the current generation.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.history.generation
    }

    /// Returns the configuration of the next generation, which results from a change.
    ///
    /// The lineage applies only if the change is the first one.
    ///
    /// # Errors
    ///
    /// Fails if a name occurs twice in the change, if a deleted document does not exist or is still
    /// referenced, or if the resulting records are invalid or refer to a missing record.
    ///
    /// ```
    /// # use nutmegcart_config::{ChangeRequest, Configuration};
    /// let request = ChangeRequest { operation: "op-1".into(), ..ChangeRequest::default() };
    /// let next = Configuration::default().with_change(&request, "lineage").unwrap();
    /// assert_eq!(next.generation().0, 1);
    /// ```
    pub fn with_change(&self, request: &ChangeRequest, lineage: &str) -> Result<Self> {
        let (documents, deletions) = (&request.documents, &request.deletions);
        let mut next = self.clone();
        next.history
            .push(&request.operation, change_digest(request), lineage);
        let mut seen = BTreeSet::new();
        for document in documents {
            let key = document.key();
            if !seen.insert(key.clone()) {
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
            if !seen.insert(key.clone()) {
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

    /// Returns the configuration with the documents written and the keys deleted.
    ///
    /// The change has no operation identifier; this serves checks outside of acceptance.
    ///
    /// # Errors
    ///
    /// Fails as [`Configuration::with_change`] does.
    pub fn with_documents(&self, documents: &[Document], deletions: &[String]) -> Result<Self> {
        let request = ChangeRequest {
            documents: documents.to_vec(),
            deletions: deletions.to_vec(),
            ..ChangeRequest::default()
        };
        self.with_change(&request, "")
    }

    /// Removes the oldest deletions, which would otherwise accumulate in the store and in all
    /// instances.
    ///
    /// The deletions of a generation are removed together, up to `max_keys` keys in total.
    fn purge(&mut self, max_keys: usize) {
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
            if kept <= MAX_KEPT_DELETIONS || purged > max_keys {
                return;
            }
            kept -= keys.len();
            for key in keys {
                self.entries.remove(&key);
            }
            self.purged_through = generation;
        }
    }

    /// Returns a checksum over all keys and their generations, by which the receiver of a delta
    /// detects missing changes.
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

    /// Returns all documents in ascending order of their keys.
    pub fn documents(&self) -> impl Iterator<Item = &Document> {
        self.entries
            .values()
            .filter_map(|entry| entry.document.as_ref())
    }

    /// Returns the changes after a generation.
    ///
    /// The delta is full for generation zero, and if deletions after the generation were purged.
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
            // The operation at `from` is kept: the receiver compares it with its own to check that
            // the histories agree.
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

    /// Returns the configuration after a delta, or `None` if the delta misses changes.
    #[must_use]
    pub fn with_delta(&self, delta: &ConfigDelta) -> Option<Self> {
        let missing = delta.from > self.generation() || delta.purged_through > self.generation();
        if !delta.is_full && missing {
            return None;
        }
        let mut next = self.clone();
        if delta.is_full {
            next.entries.clear();
        }
        next.entries.extend(delta.entries.clone());
        if next.purged_through < delta.purged_through {
            next.purged_through = delta.purged_through;
            let kept = |entry: &VersionedDocument| {
                entry.document.is_some() || entry.generation > next.purged_through
            };
            next.entries.retain(|_, entry| kept(entry));
        }
        next.history = self.history.merged_with(&delta.history);
        (next.checksum() == delta.checksum).then_some(next)
    }
}
