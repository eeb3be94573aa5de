//! Versions of the instance list, so that a reader can ask for the changes only.

use std::collections::BTreeMap;

use nutmegcart_model::InstanceId;
use nutmegcart_platform::Instance;
use nutmegcart_platform::fleet_api::InstanceList;
use nutmegcart_platform::fleet_api::MAX_FRESH_AGE_MS;

/// The list with the version that last changed each line.
#[derive(Default)]
pub struct ListLog {
    version: u64,
    lines: BTreeMap<InstanceId, (Instance, u64)>,
    removed: BTreeMap<InstanceId, u64>,
}

impl ListLog {
    /// Takes the present list and returns what changed after the version; zero asks for all.
    pub fn since(&mut self, version: u64, present: Vec<Instance>) -> InstanceList {
        self.update(present);
        // A version from an earlier life of the platform means nothing here.
        let full = version == 0 || version > self.version;
        let changed = self.lines.values().filter(|line| full || line.1 > version);
        let gone = self
            .removed
            .iter()
            .filter(|(_, at)| !full && **at > version);
        InstanceList {
            version: self.version,
            full,
            instances: changed.map(|line| line.0.clone()).collect(),
            removed: gone.map(|(id, _)| id.clone()).collect(),
        }
    }

    fn update(&mut self, present: Vec<Instance>) {
        let next = self.version + 1;
        let mut changed = self.version == 0;
        let mut old = std::mem::take(&mut self.lines);
        for instance in present {
            let old = old.remove(&instance.id);
            let same = old.filter(|line| is_same(&line.0, &instance));
            changed |= same.is_none();
            self.removed.remove(&instance.id);
            let at = same.map_or(next, |line| line.1);
            self.lines.insert(instance.id.clone(), (instance, at));
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

/// A line whose state is too old counts as changed, since its reader must see the age grow.
fn is_same(old: &Instance, new: &Instance) -> bool {
    let ageless = Instance {
        age_ms: old.age_ms,
        ..new.clone()
    };
    *old == ageless && old.age_ms.max(new.age_ms) <= MAX_FRESH_AGE_MS
}
