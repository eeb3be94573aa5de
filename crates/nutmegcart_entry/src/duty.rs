//! Duty for a data centre: assigns instances to pools and carries out waves.
//!
//! Every write compares the duty key, so a holder whose lease ended changes nothing.

use std::collections::BTreeMap;
use std::sync::Arc;

use nutmegcart_config::View;
use nutmegcart_model::Event;
use nutmegcart_model::InstanceId;
use nutmegcart_model::PoolName;
use nutmegcart_model::log_event;
use nutmegcart_platform::InstanceState;
use nutmegcart_platform::LeaseId;
use nutmegcart_platform::Revision;
use nutmegcart_platform::Role;
use nutmegcart_platform::Txn;
use nutmegcart_platform::store::Result;
use nutmegcart_platform::store::Snapshot;
use uuid::Uuid;

use crate::entry::Entry;
use crate::pool_map::DUTIES;
use crate::pool_map::MAPS;
use crate::pool_map::Phase;
use crate::pool_map::PoolMap;
use crate::pool_map::Seat;
use crate::pool_map::WAVES;
use crate::pool_map::WaveProgress;
use crate::pool_map::WaveState;
use crate::tables::Listed;
use crate::tasks;

/// Oldest instance list on which a decision may rest.
const LIST_AGE: std::time::Duration = std::time::Duration::from_secs(5);

/// The lease and the duty key as this instance knows them.
struct Duty {
    lease: LeaseId,
    created: Revision,
}

/// Runs control rounds until the instance stops.
pub fn run(entry: &Arc<Entry>) {
    let mut duty = None;
    let mut tasks = tasks::runner(entry);
    while !entry.is_stopped() {
        if round(entry, &mut duty).is_err() {
            // Effects that may or may not have happened are found in the store next time.
            entry.pause();
        }
        tasks::round(entry, &mut tasks, duty.as_ref().map(|duty| duty.created));
        entry.pause();
    }
    if let Some(duty) = duty {
        // The lease ends by itself if the store does not answer.
        let _ = entry.store.revoke(duty.lease);
    }
}

fn round(entry: &Entry, duty: &mut Option<Duty>) -> Result<()> {
    if let Some(held) = duty {
        if entry.store.keep_alive(held.lease)? {
            return decide(entry, held.created);
        }
        log_event!(Event::DutyLost, centre = entry.settings.centre);
        *duty = None;
    }
    *duty = take(entry)?;
    Ok(())
}

pub(crate) fn duty_key(entry: &Entry) -> String {
    format!("{DUTIES}{}", entry.settings.centre)
}

fn take(entry: &Entry) -> Result<Option<Duty>> {
    let key = duty_key(entry);
    if entry.store.range(&key)?.get(&key).is_some() {
        return Ok(None);
    }
    let lease = entry.store.grant(entry.settings.lease)?;
    let value = entry.settings.id.as_bytes().to_vec();
    let txn = Txn::default().absent(&key).put_leased(&key, value, lease);
    let reply = entry.store.txn(&txn)?;
    if !reply.committed {
        entry.store.revoke(lease)?;
        return Ok(None);
    }
    log_event!(
        Event::DutyTaken,
        centre = entry.settings.centre,
        id = entry.settings.id
    );
    Ok(Some(Duty {
        lease,
        created: reply.revision,
    }))
}

/// What a round decides on, read from store and instance list.
struct Scene {
    maps: BTreeMap<String, (Revision, PoolMap)>,
    waves: Vec<(Revision, WaveProgress)>,
    listed: Arc<Listed>,
}

fn parse_maps(snapshot: &Snapshot) -> BTreeMap<String, (Revision, PoolMap)> {
    let maps = snapshot.entries.iter().filter_map(|found| {
        let centre = found.key.strip_prefix(MAPS)?.to_owned();
        let map = serde_json::from_slice(&found.value).ok()?;
        Some((centre, (found.modified, map)))
    });
    maps.collect()
}

fn decide(entry: &Entry, created: Revision) -> Result<()> {
    let listed = entry.tables.instances.read().clone();
    if listed.age() > LIST_AGE {
        return Ok(());
    }
    let waves = entry.store.range(WAVES)?;
    let waves = waves.entries.iter().filter_map(|found| {
        let progress = serde_json::from_slice(&found.value).ok()?;
        Some((found.modified, progress))
    });
    let waves = waves.collect();
    let scene = Scene {
        maps: parse_maps(&entry.store.range(MAPS)?),
        waves,
        listed,
    };
    let view = &entry.tables.in_force.get().view;
    let centre = entry.settings.centre.to_string();
    let (modified, old) = scene.maps.get(&centre).cloned().unwrap_or_default();
    let mut map = old.clone();
    assign(entry, view, &scene, &mut map);
    advance(&scene.listed, &mut map);
    step(view, &scene, &centre, &mut map);
    if map != old && !write(entry, created, &scene, modified, &map)? {
        return Ok(());
    }
    effect(entry, &scene.listed, &map);
    finish(entry, created, view, &scene, &map)
}

/// Gives each listed runner of this data centre that has no pool to the pool that lacks most.
fn assign(entry: &Entry, view: &View, scene: &Scene, map: &mut PoolMap) {
    let mut sizes: BTreeMap<&PoolName, u32> = BTreeMap::new();
    let other_maps = scene
        .maps
        .iter()
        .filter(|(centre, _)| ***centre != *entry.settings.centre);
    let seats: Vec<Seat> = other_maps
        .flat_map(|(_, (_, map))| map.seats.values())
        .chain(map.seats.values())
        .cloned()
        .collect();
    for seat in &seats {
        if let Some((name, _)) = view.pools.get_key_value(&seat.pool) {
            *sizes.entry(name).or_default() += 1;
        }
    }
    for (id, instance) in &scene.listed.instances {
        let ours = instance.centre == entry.settings.centre && instance.role == Role::Runner;
        if !ours || map.seats.contains_key(id) {
            continue;
        }
        let lack = |pool: &&nutmegcart_model::record::Pool| {
            i64::from(pool.size) - i64::from(*sizes.get(&pool.name).unwrap_or(&0))
        };
        let Some(pool) = view.pools.values().max_by_key(lack) else {
            continue;
        };
        *sizes.entry(&pool.name).or_default() += 1;
        let seat = Seat {
            pool: pool.name.clone(),
            phase: Phase::Serving,
            operation: None,
            boots: instance.boots,
        };
        map.seats.insert(id.clone(), seat);
    }
}

/// Follows operations under way by what the list says.
fn advance(listed: &Listed, map: &mut PoolMap) {
    for (id, seat) in &mut map.seats {
        let Some(instance) = listed.instances.get(id) else {
            continue;
        };
        match (seat.phase, instance.state) {
            (Phase::Draining, InstanceState::Drained) => {
                seat.phase = Phase::Rebooting;
                seat.operation = Some(Uuid::new_v4().to_string());
            }
            (Phase::Draining | Phase::Rebooting, InstanceState::Live)
                if instance.boots > seat.boots =>
            {
                seat.phase = Phase::Serving;
                seat.operation = None;
                seat.boots = instance.boots;
                log_event!(Event::WaveReturned, instance = id);
            }
            _ => {}
        }
    }
}

/// Counts the pool's instances that do not serve, over all data centres.
fn unavailable(pool: &PoolName, scene: &Scene, centre: &str, map: &PoolMap) -> (u32, u32) {
    let others = scene.maps.iter().filter(|(name, _)| *name != centre);
    let seats = others
        .flat_map(|(_, (_, map))| &map.seats)
        .chain(&map.seats);
    let mut size = 0;
    let mut out = 0;
    for (id, _) in seats.clone().filter(|(_, seat)| seat.pool == *pool) {
        size += 1;
        let listed = scene.listed.instances.get(id);
        let live = listed.is_some_and(|instance| instance.state == InstanceState::Live);
        let serving = seats
            .clone()
            .any(|(other, seat)| other == id && seat.phase == Phase::Serving);
        out += u32::from(!live || !serving);
    }
    (size, out)
}

/// Takes out at most one instance of each pool in a running wave, if the budget allows it.
fn step(view: &View, scene: &Scene, centre: &str, map: &mut PoolMap) {
    for (_, progress) in &scene.waves {
        let Some(wave) = view.waves.get(&progress.wave) else {
            continue;
        };
        if progress.state != WaveState::Running {
            continue;
        }
        for pool in &wave.pools {
            let (size, out) = unavailable(pool, scene, centre, map);
            if out >= view.allowed(pool, size) {
                continue;
            }
            if let Some(id) = next(progress, pool, &scene.listed, map) {
                log_event!(Event::WaveStep, wave = wave.name, instance = id);
                if let Some(seat) = map.seats.get_mut(&id) {
                    seat.phase = Phase::Draining;
                    seat.operation = Some(Uuid::new_v4().to_string());
                }
            }
        }
    }
}

/// Returns an instance of this data centre that the wave has not maintained yet.
fn next(
    progress: &WaveProgress,
    pool: &PoolName,
    listed: &Listed,
    map: &PoolMap,
) -> Option<InstanceId> {
    let waiting = map.seats.iter().find(|(id, seat)| {
        let due = |instance: &&nutmegcart_platform::Instance| {
            instance.state == InstanceState::Live
                && instance.boots <= progress.baseline.get(*id).copied().unwrap_or(u64::MAX)
        };
        seat.pool == *pool
            && seat.phase == Phase::Serving
            && listed.instances.get(*id).as_ref().is_some_and(due)
    });
    waiting.map(|(id, _)| id.clone())
}

/// Writes the map if duty is still held and no other data centre's map changed meanwhile, since
/// the budget was checked against all of them.
fn write(
    entry: &Entry,
    created: Revision,
    scene: &Scene,
    modified: Revision,
    map: &PoolMap,
) -> Result<bool> {
    let own = format!("{MAPS}{}", entry.settings.centre);
    let mut txn = Txn::default()
        .held(duty_key(entry), created)
        .unchanged(&own, modified);
    for (centre, (revision, _)) in &scene.maps {
        txn = txn.unchanged(format!("{MAPS}{centre}"), *revision);
    }
    let value = serde_json::to_vec(map).expect("map is serialisable");
    Ok(entry.store.txn(&txn.put(own, value))?.committed)
}

/// Carries out written intents; the platform ignores repeated operation identifiers.
fn effect(entry: &Entry, listed: &Listed, map: &PoolMap) {
    for (id, seat) in &map.seats {
        let (Some(operation), Some(instance)) = (&seat.operation, listed.instances.get(id)) else {
            continue;
        };
        let call = match (seat.phase, instance.state) {
            (Phase::Draining, InstanceState::Live) => entry.fleet.drain(id, operation),
            (Phase::Rebooting, InstanceState::Drained) => entry.fleet.reboot(id, operation),
            _ => continue,
        };
        if let Err(error) = call {
            log_event!(Event::ListUnreachable, reason = error);
        }
    }
}

/// Marks waves as finished when every instance of their pools was maintained and serves.
fn finish(
    entry: &Entry,
    created: Revision,
    view: &View,
    scene: &Scene,
    map: &PoolMap,
) -> Result<()> {
    for (modified, progress) in &scene.waves {
        let Some(wave) = view.waves.get(&progress.wave) else {
            continue;
        };
        let centre = &*entry.settings.centre;
        let others = scene.maps.iter().filter(|(name, _)| **name != *centre);
        let mut seats = others
            .flat_map(|(_, (_, map))| &map.seats)
            .chain(&map.seats);
        let done = seats.all(|(id, seat)| {
            let boots = progress.baseline.get(id).copied();
            !wave.pools.contains(&seat.pool)
                || boots.is_none_or(|boots| seat.phase == Phase::Serving && seat.boots > boots)
        });
        if progress.state == WaveState::Running && done {
            let mut progress = progress.clone();
            progress.state = WaveState::Finished;
            let key = format!("{WAVES}{}", progress.wave);
            let value = serde_json::to_vec(&progress).expect("progress is serialisable");
            let txn = Txn::default()
                .held(duty_key(entry), created)
                .unchanged(&key, *modified)
                .put(key, value);
            if entry.store.txn(&txn)?.committed {
                log_event!(Event::WaveFinished, wave = progress.wave);
            }
        }
    }
    Ok(())
}
