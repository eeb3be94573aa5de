//! What must hold after every commit and every call, computed without the planner's code.

use nutmegcart_fleet::InstanceCache;
use nutmegcart_fleet::MaintenanceState;
use nutmegcart_fleet::Plan;
use nutmegcart_fleet::map::PoolMaps;
use nutmegcart_fleet::planner::PlannedChange;
use nutmegcart_fleet::planner::PlatformCall;
use nutmegcart_model::PoolName;
use nutmegcart_platform::InstanceState;
use nutmegcart_platform::Role;
use nutmegcart_platform::store::Revision;

use super::World;

impl World {
    pub(super) fn check_commit(
        &mut self,
        index: usize,
        plan: &Plan,
        listing: &InstanceCache,
        created: Revision,
        before: &PoolMaps,
    ) {
        let key = self.holders[index].duty.key.clone();
        let duty = self.memory.store().range(&key).unwrap_or_default();
        let present = duty.get(&key).map(|entry| entry.created);
        assert_eq!(present, Some(created), "a stale holder changed something");
        let maps = self.maps();
        for action in &plan.changes {
            let line = serde_json::to_string(action).expect("action is serialisable");
            let seconds = self.now.as_secs() - super::START;
            let centre = &self.holders[index].centre;
            self.log.push(format!("{seconds:>5} {centre} {line}"));
            let pool = match action {
                PlannedChange::TakeOut(id, _) => find(&maps, id),
                PlannedChange::Move(id, _) => find(before, id),
                _ => continue,
            };
            self.check_budget(&maps, &pool, listing);
        }
        self.note_written();
    }

    fn check_budget(&self, maps: &PoolMaps, pool: &PoolName, listing: &InstanceCache) {
        let allowance = self.settings.allowance(pool);
        for roles in [
            &[Role::Runner][..],
            &[Role::Worker],
            &[Role::Runner, Role::Worker],
        ] {
            let mut size = 0;
            let mut unavailable = 0;
            let entries = maps.values().flat_map(|map| &map.value.instances);
            for (id, entry) in entries {
                if entry.pool == *pool && roles.contains(&entry.role) {
                    size += 1;
                    let line = listing.known(id, self.now);
                    let serves = line.is_some_and(|line| line.state == InstanceState::Live);
                    unavailable += u32::from(entry.state != MaintenanceState::Service || !serves);
                }
            }
            let allowed = allowance.max_unavailable(size);
            assert!(
                unavailable <= allowed,
                "{unavailable} of {size} in {pool} are unavailable, {allowed} are allowed"
            );
        }
    }

    pub(super) fn note_written(&mut self) {
        for map in self.maps().values() {
            for entry in map.value.instances.values() {
                if let Some(operation) = &entry.operation {
                    let state = format!("{:?}", entry.state);
                    self.written.insert((operation.to_string(), state));
                }
            }
        }
    }

    pub(super) fn check_effect(&self, effect: &PlatformCall) {
        let written = |state: MaintenanceState| {
            let entry = (effect.operation.to_string(), format!("{state:?}"));
            self.written.contains(&entry)
        };
        let intended = match effect.kind {
            super::CallKind::Drain => written(MaintenanceState::Draining),
            super::CallKind::Reboot => written(MaintenanceState::Rebooting),
            super::CallKind::Restore => {
                written(MaintenanceState::Restoring) || written(MaintenanceState::Failed)
            }
        };
        assert!(intended, "{effect:?} was not written before");
    }

    /// Checks what must hold at any time.
    pub fn check(&self) {
        let maps = self.maps();
        let mut seen = std::collections::BTreeSet::new();
        for (centre, map) in &maps {
            for id in map.value.instances.keys() {
                assert!(seen.insert(id.clone()), "{id} is in two pools");
                if let Some(machine) = self.machines.get(&**id) {
                    assert_eq!(&machine.line.centre, centre, "{id} is in another map");
                }
            }
        }
        for (id, machine) in &self.machines {
            let own = maps.get(&machine.line.centre);
            let entry = own.and_then(|map| map.value.instances.get(id.as_str()));
            let touched = matches!(
                machine.line.state,
                InstanceState::Leaving | InstanceState::Drained | InstanceState::Rebooting
            );
            if touched {
                let out = entry.is_some_and(|entry| entry.state != MaintenanceState::Service);
                assert!(
                    out,
                    "{id} is out although the map says that it is in service"
                );
            }
            let mut runs = machine.booted.clone();
            runs.sort();
            runs.dedup();
            assert_eq!(
                runs.len(),
                machine.booted.len(),
                "{id} was maintained twice"
            );
        }
    }
}

fn find(maps: &PoolMaps, id: &str) -> PoolName {
    let entry = maps.values().find_map(|map| map.value.instances.get(id));
    entry.expect("the instance is in a map").pool.clone()
}
