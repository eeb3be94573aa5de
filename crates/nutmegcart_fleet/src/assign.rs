//! Assigns new instances to pools and replaces vanished ones.

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

/// Returns the declared number of instances of a role in a pool.
const fn declared_size(pool: &Pool, role: Role) -> u32 {
    match role {
        Role::Runner => pool.size,
        Role::Worker | Role::Entry => pool.workers,
    }
}

/// Assigns every live instance of the data centre that is in no pool.
///
/// A new instance first replaces one of its role that vanished from the instance list, so the pool
/// keeps its size. Otherwise it goes to the pool that is furthest below its declared size, of which
/// each data centre provides an equal part; instances that have failed or are leaving do not count.
/// Without a shortfall it goes to the spare pool.
pub(crate) fn assign(view: &FleetView, map: &mut PoolMap, now: Duration) -> Vec<PlannedChange> {
    let mut changes = Vec::new();
    let unassigned: Vec<_> = view
        .instances
        .iter()
        .filter(|(id, observed)| {
            let is_ours = observed.centre == *view.centre && observed.role != Role::Entry;
            is_ours && observed.state == InstanceState::Live && !map.instances.contains_key(*id)
        })
        .filter(|(id, _)| view.instances.known(id, now).is_some())
        .collect();
    if unassigned.is_empty() {
        return changes;
    }
    let mut vanished = vanished(view, map, now);
    let mut members = members(view, map, now);
    let centres = centres(view);
    for (id, observed) in unassigned {
        let found = vanished.iter().position(|(_, role)| *role == observed.role);
        let pool = if let Some((old, _)) = found.map(|index| vanished.remove(index)) {
            let Some(entry) = map.instances.remove(&old) else {
                continue;
            };
            changes.push(PlannedChange::Replace(old, id.clone()));
            entry.pool
        } else {
            let Some(pool) = most_short(view, &members, centres, observed.role) else {
                continue;
            };
            changes.push(PlannedChange::Assign(id.clone(), pool.clone()));
            let counts = members.entry((pool.clone(), observed.role == Role::Runner));
            let counts = counts.or_default();
            counts.0 += 1;
            counts.1 += 1;
            pool
        };
        let entry = MapEntry::new(pool, observed.role, observed.rack.clone());
        map.instances.insert(id.clone(), entry);
    }
    changes
}

/// Number of members that stay in service, in all data centres and in this one, by pool and whether
/// they are runners.
type Members = BTreeMap<(PoolName, bool), (u32, u32)>;

fn members(view: &FleetView, map: &PoolMap, now: Duration) -> Members {
    let mut members = Members::new();
    let others = view
        .pool_maps()
        .filter(|(centre, _)| *centre != view.centre);
    let maps = others
        .map(|(_, map)| (map, 0))
        .chain(std::iter::once((map, 1)));
    for (map, own) in maps {
        let staying = map.instances.iter();
        let staying = staying.filter(|(id, entry)| !is_lost(view, id, entry, now));
        for (_, entry) in staying {
            let key = (entry.pool.clone(), entry.role == Role::Runner);
            let counts = members.entry(key).or_default();
            counts.0 += 1;
            counts.1 += own;
        }
    }
    members
}

/// Returns whether an instance has failed, or leaves without an operation that returns it to service.
fn is_lost(view: &FleetView, id: &InstanceId, entry: &MapEntry, now: Duration) -> bool {
    if entry.state != MaintenanceState::Service {
        return entry.state == MaintenanceState::Failed;
    }
    let observed = view.instances.known(id, now);
    observed.is_some_and(|observed| observed.state != InstanceState::Live)
}

/// Returns the number of data centres that have a map or listed instances, at least one.
fn centres(view: &FleetView) -> u32 {
    let listed = view.instances.iter().map(|(_, observed)| &observed.centre);
    let centres: BTreeSet<&DataCentre> = listed.chain(view.maps.keys()).collect();
    u32::try_from(centres.len()).unwrap_or(u32::MAX).max(1)
}

/// Returns the instances without an operation that are absent from a recent list.
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

/// Returns the pool that a new instance of a role goes to.
fn most_short(view: &FleetView, members: &Members, centres: u32, role: Role) -> Option<PoolName> {
    let shortfall = |pool: &&Pool| {
        let key = (pool.name.clone(), role == Role::Runner);
        let (all, own) = members.get(&key).copied().unwrap_or_default();
        let size = declared_size(pool, role);
        if all >= size {
            return 0;
        }
        // Pools below this data centre's equal part come first, then those that are only short
        // overall.
        1 + size.div_ceil(centres).saturating_sub(own)
    };
    let pools = view.config.pools.values();
    let shortest = pools
        .clone()
        .max_by_key(shortfall)
        .filter(|pool| shortfall(pool) > 0);
    let spare = || pools.clone().find(|pool| pool.spare);
    shortest.or_else(spare).map(|pool| pool.name.clone())
}
