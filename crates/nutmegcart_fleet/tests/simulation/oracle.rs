//! Invariants after every commit and platform call, checked without the planner's code.

use nutmegcart_fleet::MaintenanceState;
use nutmegcart_fleet::ObservedInstances;
use nutmegcart_fleet::Plan;
use nutmegcart_fleet::map::PoolMaps;
use nutmegcart_fleet::planner::PlannedChange;
use nutmegcart_fleet::planner::PlatformCall;
use nutmegcart_model::PoolName;
use nutmegcart_platform::InstanceState;
use nutmegcart_platform::Role;
use nutmegcart_platform::store::Revision;

use super::Simulation;

impl Simulation {
    /// Checks that the holder had the duty and that the changes keep to the budgets.
    pub(super) fn check_commit(
        &mut self,
        index: usize,
        plan: &Plan,
        instances: &ObservedInstances,
        created: Revision,
        before: &PoolMaps,
    ) {
        let key = self.holders[index].duty.key.clone();
        let duty = self.memory_store.store().range(&key).unwrap_or_default();
        let present = duty.get(&key).map(|entry| entry.created);
        assert_eq!(
            present,
            Some(created),
            "a former duty holder committed a change"
        );
        let maps = self.maps();
        for action in &plan.changes {
            let action_json = serde_json::to_string(action).expect("action is serialisable");
            let seconds = self.now.as_secs() - super::START;
            let centre = &self.holders[index].centre;
            self.log
                .push(format!("{seconds:>5} {centre} {action_json}"));
            let pool = match action {
                PlannedChange::TakeOut(id, _) => find(&maps, id),
                PlannedChange::Move(id, _) => find(before, id),
                _ => continue,
            };
            self.check_budget(&maps, &pool, instances);
        }
        self.record_intents();
    }

    /// Checks the budget of a pool, by role and overall.
    fn check_budget(&self, maps: &PoolMaps, pool: &PoolName, instances: &ObservedInstances) {
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
                    let instance = instances.known(id, self.now);
                    let serves =
                        instance.is_some_and(|instance| instance.state == InstanceState::Live);
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

    /// Records the operations and states in the stored pool maps.
    pub(super) fn record_intents(&mut self) {
        for map in self.maps().values() {
            for entry in map.value.instances.values() {
                if let Some(operation) = &entry.operation {
                    let state = format!("{:?}", entry.state);
                    self.written_intents.insert((operation.to_string(), state));
                }
            }
        }
    }

    /// Checks that the intent of a platform call was stored before the call.
    pub(super) fn check_call(&self, call: &PlatformCall) {
        let written = |state: MaintenanceState| {
            let intent = (call.operation.to_string(), format!("{state:?}"));
            self.written_intents.contains(&intent)
        };
        let intended = match call.kind {
            super::CallKind::Drain => written(MaintenanceState::Draining),
            super::CallKind::Reboot => written(MaintenanceState::Rebooting),
            super::CallKind::Restore => {
                written(MaintenanceState::Restoring) || written(MaintenanceState::Failed)
            }
        };
        assert!(
            intended,
            "the intent of {call:?} was not stored before the call"
        );
    }

    /// Checks the invariants that hold at any time.
    pub fn check(&self) {
        let maps = self.maps();
        let mut seen = std::collections::BTreeSet::new();
        for (centre, map) in &maps {
            for id in map.value.instances.keys() {
                assert!(seen.insert(id.clone()), "{id} is in two pools");
                if let Some(simulated) = self.true_instances.get(&**id) {
                    assert_eq!(
                        &simulated.instance.centre, centre,
                        "{id} is in the map of another data centre"
                    );
                }
            }
        }
        for (id, simulated) in &self.true_instances {
            let own = maps.get(&simulated.instance.centre);
            let entry = own.and_then(|map| map.value.instances.get(id.as_str()));
            let touched = matches!(
                simulated.instance.state,
                InstanceState::Leaving | InstanceState::Drained | InstanceState::Rebooting
            );
            if touched {
                let out = entry.is_some_and(|entry| entry.state != MaintenanceState::Service);
                assert!(
                    out,
                    "{id} is out although the map says that it is in service"
                );
            }
            let mut runs = simulated.rebooted_runs.clone();
            runs.sort();
            runs.dedup();
            assert_eq!(
                runs.len(),
                simulated.rebooted_runs.len(),
                "{id} was maintained twice"
            );
        }
    }
}

fn find(maps: &PoolMaps, id: &str) -> PoolName {
    let entry = maps.values().find_map(|map| map.value.instances.get(id));
    entry.expect("the instance is in a map").pool.clone()
}
