//! Change log of the instance list, which serves changes since a version.

use std::collections::BTreeMap;

use nutmegcart_model::InstanceId;
use nutmegcart_platform::Instance;
use nutmegcart_platform::fleet_api::InstanceList;
use nutmegcart_platform::fleet_api::MAX_FRESH_AGE_MS;

/// The instance list with the version in which each entry last changed.
#[derive(Default)]
pub struct ListLog {
    version: u64,
    entries: BTreeMap<InstanceId, (Instance, u64)>,
    /// Instances that left the list, with the version of their removal.
    removed: BTreeMap<InstanceId, u64>,
}

impl ListLog {
    /// Updates the log with the current list and returns the changes after `version`.
    ///
    /// Version zero requests the whole list.
    pub fn since(&mut self, version: u64, current: Vec<Instance>) -> InstanceList {
        self.update(current);
        // A version from before a restart of the platform is unknown here.
        let full = version == 0 || version > self.version;
        let changed = self
            .entries
            .values()
            .filter(|entry| full || entry.1 > version);
        let removed = self
            .removed
            .iter()
            .filter(|(_, at)| !full && **at > version);
        InstanceList {
            version: self.version,
            full,
            instances: changed.map(|entry| entry.0.clone()).collect(),
            removed: removed.map(|(id, _)| id.clone()).collect(),
        }
    }

    fn update(&mut self, current: Vec<Instance>) {
        let next = self.version + 1;
        let mut changed = self.version == 0;
        let mut old = std::mem::take(&mut self.entries);
        for instance in current {
            let old = old.remove(&instance.id);
            let unchanged = old.filter(|entry| is_unchanged(&entry.0, &instance));
            changed |= unchanged.is_none();
            self.removed.remove(&instance.id);
            let at = unchanged.map_or(next, |entry| entry.1);
            self.entries.insert(instance.id.clone(), (instance, at));
        }
        changed |= !old.is_empty();
        for id in old.into_keys() {
            self.removed.insert(id, next);
        }
        if changed {
            self.version = next;
        }
    }
}

/// Returns whether an entry is unchanged apart from its age.
///
/// An entry whose state is too old always counts as changed, so that readers see its age grow.
fn is_unchanged(old: &Instance, new: &Instance) -> bool {
    let with_old_age = Instance {
        age_ms: old.age_ms,
        ..new.clone()
    };
    *old == with_old_age && old.age_ms.max(new.age_ms) <= MAX_FRESH_AGE_MS
}
