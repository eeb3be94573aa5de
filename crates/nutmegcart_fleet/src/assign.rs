//! Assignment of new instances to pools, and replacement of instances that vanished.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use nutmegcart_model::DataCentre;
use nutmegcart_model::InstanceId;
use nutmegcart_model::PoolName;
use nutmegcart_model::record::Pool;
use nutmegcart_platform::InstanceState;
use nutmegcart_platform::Role;

use crate::map::MaintenanceState;
use crate::map::MapEntry;
use crate::map::PoolMap;
use crate::planner::FleetView;
use crate::planner::PlannedChange;

/// Returns the instances of a role that a pool should have.
const fn declared(pool: &Pool, role: Role) -> u32 {
    match role {
        Role::Runner => pool.size,
        Role::Worker | Role::Entry => pool.workers,
    }
}

/// Gives every live instance of the data centre that is in no pool a place.
///
/// An instance that vanished from the list is replaced by a new one of its role, so the pool
/// keeps its size. Other new instances go to the pool that lacks most of its declared size, each
/// data centre filling an equal part of it; without any shortfall they go to the spare pool.
pub(crate) fn assign(view: &FleetView, map: &mut PoolMap, now: Duration) -> Vec<PlannedChange> {
    let mut actions = Vec::new();
    let fresh: Vec<_> = view
        .instances
        .iter()
        .filter(|(id, line)| {
            let place = line.centre == *view.centre && line.role != Role::Entry;
            place && line.state == InstanceState::Live && !map.instances.contains_key(*id)
        })
        .filter(|(id, _)| view.instances.known(id, now).is_some())
        .collect();
    if fresh.is_empty() {
        return actions;
    }
    let mut vanished = vanished(view, map, now);
    let mut members = members(view, map);
    let centres = centres(view);
    for (id, line) in fresh {
        let place = vanished.iter().position(|(_, role)| *role == line.role);
        let pool = if let Some((old, _)) = place.map(|place| vanished.remove(place)) {
            let Some(entry) = map.instances.remove(&old) else {
                continue;
            };
            actions.push(PlannedChange::Replace(old, id.clone()));
            entry.pool
        } else {
            let Some(pool) = neediest(view, &members, centres, line.role) else {
                continue;
            };
            actions.push(PlannedChange::Assign(id.clone(), pool.clone()));
            let counts = members.entry((pool.clone(), line.role == Role::Runner));
            let counts = counts.or_default();
            counts.0 += 1;
            counts.1 += 1;
            pool
        };
        let entry = MapEntry::new(pool, line.role, line.rack.clone());
        map.instances.insert(id.clone(), entry);
    }
    actions
}

/// Members over all data centres and in this one, by pool and whether they are runners.
type Members = BTreeMap<(PoolName, bool), (u32, u32)>;

fn members(view: &FleetView, map: &PoolMap) -> Members {
    let mut members = Members::new();
    let others = view
        .pool_maps()
        .filter(|(centre, _)| *centre != view.centre);
    let maps = others
        .map(|(_, map)| (map, 0))
        .chain(std::iter::once((map, 1)));
    for (map, own) in maps {
        for entry in map.instances.values() {
            let key = (entry.pool.clone(), entry.role == Role::Runner);
            let counts = members.entry(key).or_default();
            counts.0 += 1;
            counts.1 += own;
        }
    }
    members
}

/// Returns the number of data centres that have instances.
fn centres(view: &FleetView) -> u32 {
    let listed = view.instances.iter().map(|(_, line)| &line.centre);
    let centres: BTreeSet<&DataCentre> = listed.chain(view.maps.keys()).collect();
    u32::try_from(centres.len()).unwrap_or(u32::MAX).max(1)
}

fn vanished(view: &FleetView, map: &PoolMap, now: Duration) -> Vec<(InstanceId, Role)> {
    let idle = |entry: &MapEntry| {
        matches!(
            entry.state,
            MaintenanceState::Service | MaintenanceState::Failed
        )
    };
    map.instances
        .iter()
        .filter(|(id, entry)| idle(entry) && view.instances.is_absent(id, now))
        .map(|(id, entry)| (id.clone(), entry.role))
        .collect()
}

fn neediest(view: &FleetView, members: &Members, centres: u32, role: Role) -> Option<PoolName> {
    let lacking = |pool: &&Pool| {
        let key = (pool.name.clone(), role == Role::Runner);
        let (all, own) = members.get(&key).copied().unwrap_or_default();
        let size = declared(pool, role);
        if all >= size {
            return 0;
        }
        // The equal part first; a rest that other data centres cannot fill comes last.
        1 + size.div_ceil(centres).saturating_sub(own)
    };
    let pools = view.config.pools.values();
    let most = pools
        .clone()
        .max_by_key(lacking)
        .filter(|pool| lacking(pool) > 0);
    let spare = || pools.clone().find(|pool| pool.spare);
    most.or_else(spare).map(|pool| pool.name.clone())
}
