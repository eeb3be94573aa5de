//! Keeps the tables in step with the platform's store and instance list.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_config::ClusterState;
use nutmegcart_config::ConfigReport;
use nutmegcart_config::ConfigWatcher;
use nutmegcart_config::active_config::OfferOutcome;
use nutmegcart_config::cluster_state;
use nutmegcart_fleet::PoolMap;
use nutmegcart_fleet::map::MAP_PREFIX;
use nutmegcart_model::DataCentre;
use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use nutmegcart_platform::store::Result;
use uuid::Uuid;

use crate::entry_instance::EntryInstance;
use crate::tables::InstanceTable;

/// Prefix of all keys of the deployment.
const ALL: &str = "/nutmegcart/";
/// Longest wait for a change before everything is read again.
const WAIT: Duration = Duration::from_secs(10);

/// Time after which all maps are read again, in case a restored store has overtaken the revision
/// that was known here.
const WHOLE: Duration = Duration::from_mins(1);
/// Silence after which a peer's report no longer counts: three missed heartbeats.
const REPORT_AGE: Duration = Duration::from_secs(3);

/// Watches the store until the instance stops; the guard logs when it is away.
pub fn run(entry: &Arc<EntryInstance>) {
    let mut follower = ConfigWatcher::new(entry.store.clone());
    let mut whole = Instant::now();
    while !entry.is_stopped() {
        if whole.elapsed() > WHOLE {
            whole = Instant::now();
            entry.tables.maps_revision.store(0, Ordering::Release);
        }
        match read(entry, &mut follower) {
            // The store is behind or being repaired; reading it again at once would not help.
            Ok(OfferOutcome::Older | OfferOutcome::Forked | OfferOutcome::Repairing) | Err(_) => {
                entry.pause();
            }
            Ok(_) => {
                let from = follower.revision() + 1;
                if entry.store.wait(ALL, from, WAIT).is_err() {
                    entry.pause();
                }
            }
        }
    }
}

/// Reads what changed in the configuration, and the pool maps.
///
/// # Errors
///
/// Fails if the store does not answer.
pub fn read(entry: &EntryInstance, follower: &mut ConfigWatcher) -> Result<OfferOutcome> {
    let offer = follower.read(&entry.tables.in_force)?;
    // Taken before the maps are read, so that a later write is never missed.
    let revision = follower.revision();
    let generation = entry.tables.in_force.get().configuration.generation();
    let gauge = i64::try_from(generation.0).unwrap_or(i64::MAX);
    entry.metrics.generation.set(gauge);
    read_maps(entry)?;
    entry
        .tables
        .store_revision
        .store(revision, Ordering::Release);
    Ok(offer)
}

/// Reads the pool maps that were written since the latest read.
///
/// At 275 pools all maps take 0.2 MB, and other values of the deployment change every second.
fn read_maps(entry: &EntryInstance) -> Result<()> {
    loop {
        let known = entry.tables.maps_revision.load(Ordering::Acquire);
        let mut snapshot = entry.store.range_since(MAP_PREFIX, known + 1)?;
        // The store was restored, so that maps may have gone back without a later write.
        let restored = snapshot.revision < known;
        if restored {
            snapshot = entry.store.range(MAP_PREFIX)?;
        }
        let mut maps = BTreeMap::new();
        for found in &snapshot.entries {
            let centre = found.key.strip_prefix(MAP_PREFIX).unwrap_or("");
            if let Ok(map) = serde_json::from_slice::<PoolMap>(&found.value) {
                maps.insert(DataCentre::from(centre), map);
            }
        }
        let mut table = entry.tables.pool_maps.write();
        if entry.tables.maps_revision.load(Ordering::Acquire) != known {
            // Another thread has read meanwhile, and these changes may be older than its own.
            continue;
        }
        if known == 0 || restored {
            *table = Arc::new(maps);
        } else if !maps.is_empty() {
            Arc::make_mut(&mut table).extend(maps);
        }
        entry
            .tables
            .maps_revision
            .store(snapshot.revision, Ordering::Release);
        return Ok(());
    }
}

/// Returns what this instance tells its peers of its configuration.
pub fn report(entry: &EntryInstance) -> ConfigReport {
    ConfigReport {
        config_id: entry
            .tables
            .in_force
            .get()
            .configuration
            .history
            .config_id(),
        established: entry.tables.established.load(Ordering::Acquire),
    }
}

/// Returns one report for each peer in the settings; none for those that are silent.
fn reports(entry: &EntryInstance) -> Vec<Option<ConfigReport>> {
    let peers = entry.tables.peers.lock();
    // A peer may be reached by another address than the one that it serves.
    let heard = peers
        .values()
        .filter(|peer| peer.last_heard.elapsed() <= REPORT_AGE);
    let mut reports: Vec<Option<ConfigReport>> =
        heard.map(|peer| Some(peer.report.clone())).collect();
    reports.resize(reports.len().max(entry.settings.peers.len()), None);
    reports
}

/// Returns the basis on which this instance accepts a change now.
///
/// An instance that has just started waits for its first heartbeats.
pub fn standing(entry: &EntryInstance) -> ClusterState {
    let end = Instant::now() + REPORT_AGE;
    loop {
        establish(entry);
        let loaded = entry.tables.in_force.get();
        let standing = ClusterState::new(&loaded, &report(entry), &reports(entry));
        if standing.has_quorum || Instant::now() >= end || entry.is_stopped() {
            return standing.with_lineage(Uuid::new_v4().to_string());
        }
        entry.pause();
    }
}

/// Reads configuration and pool maps apart from the watch.
///
/// # Errors
///
/// Fails if the store does not answer.
pub fn read_once(entry: &EntryInstance) -> Result<OfferOutcome> {
    read(entry, &mut ConfigWatcher::new(entry.store.clone()))
}

/// Notes whether this instance has caught up with the others.
pub fn establish(entry: &EntryInstance) {
    let established = cluster_state::is_established(&report(entry), &reports(entry));
    if established {
        entry.tables.established.store(true, Ordering::Release);
    }
}

/// Polls the instance list until the instance stops.
pub fn run_list(entry: &Arc<EntryInstance>) {
    let mut reachable = true;
    while !entry.is_stopped() {
        // The list is at most as old as the call, which an answer's time would not ensure.
        let sent = Instant::now();
        match entry.fleet.list() {
            Ok(list) => {
                reachable = true;
                let instances = list.into_iter().map(|line| (line.id.clone(), line));
                *entry.tables.instances.write() = Arc::new(InstanceTable {
                    instances: instances.collect(),
                    read_at: Some(sent),
                });
            }
            Err(error) => {
                if reachable {
                    log_event!(Event::ListUnreachable, reason = error);
                }
                reachable = false;
            }
        }
        entry.pause();
    }
}
