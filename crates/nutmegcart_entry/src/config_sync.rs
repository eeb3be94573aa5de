//! Updates the shared tables from the platform's store and instance list.

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

/// Prefix of all store keys of the deployment.
const DEPLOYMENT_PREFIX: &str = "/nutmegcart/";
/// Maximum wait for a change before configuration and pool maps are read again.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which all pool maps are read again.
///
/// A restored store may already have passed the revision that is known here, which hides that its
/// maps have changed.
const FULL_READ_INTERVAL: Duration = Duration::from_mins(1);
/// Age above which a peer's report is ignored: three missed heartbeats.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// Watches the store until the instance stops; [`EntryInstance::limited_store`] logs outages.
pub fn run(entry: &Arc<EntryInstance>) {
    let mut watcher = ConfigWatcher::new(entry.store.clone());
    let mut last_full_read = Instant::now();
    while !entry.is_stopped() {
        if last_full_read.elapsed() > FULL_READ_INTERVAL {
            last_full_read = Instant::now();
            entry.tables.maps_revision.store(0, Ordering::Release);
        }
        match read(entry, &mut watcher) {
            // The store is older or being repaired, so an immediate read would change nothing.
            Ok(OfferOutcome::Older | OfferOutcome::Forked | OfferOutcome::Repairing) | Err(_) => {
                entry.wait_for_next_round();
            }
            Ok(_) => {
                let from = watcher.revision() + 1;
                if entry
                    .store
                    .wait_for_write(DEPLOYMENT_PREFIX, from, WATCH_TIMEOUT)
                    .is_err()
                {
                    entry.wait_for_next_round();
                }
            }
        }
    }
}

/// Reads the changes of the configuration and of the pool maps.
///
/// # Errors
///
/// Fails if the store does not answer.
pub fn read(entry: &EntryInstance, watcher: &mut ConfigWatcher) -> Result<OfferOutcome> {
    let offer = watcher.read(&entry.tables.in_force)?;
    // Taken before the maps are read, so that no later write to them is missed.
    let revision = watcher.revision();
    let generation = entry.tables.in_force.get().configuration.generation();
    let gauge_value = i64::try_from(generation.0).unwrap_or(i64::MAX);
    entry.metrics.generation.set(gauge_value);
    read_maps(entry)?;
    entry
        .tables
        .store_revision
        .store(revision, Ordering::Release);
    Ok(offer)
}

/// Reads the pool maps that were written since the last read.
///
/// With 275 pools, all maps together are 0.2 MB, and a read is due every second since other values
/// of the deployment change that often.
fn read_maps(entry: &EntryInstance) -> Result<()> {
    loop {
        let known_revision = entry.tables.maps_revision.load(Ordering::Acquire);
        let mut snapshot = entry.store.range_since(MAP_PREFIX, known_revision + 1)?;
        // The store was restored, so maps may be older without a later write to them.
        let is_restored = snapshot.revision < known_revision;
        if is_restored {
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
        if entry.tables.maps_revision.load(Ordering::Acquire) != known_revision {
            // Another thread has read in the meantime, and its changes may be newer.
            continue;
        }
        if known_revision == 0 || is_restored {
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

/// Returns the report on this instance's configuration for its peers.
pub fn own_report(entry: &EntryInstance) -> ConfigReport {
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

/// Returns the reports of peers with recent heartbeats.
///
/// For each further peer in the settings there is a `None`.
fn peer_reports(entry: &EntryInstance) -> Vec<Option<ConfigReport>> {
    let peers = entry.tables.peers.lock();
    // A peer may be listed in the settings by another address than the one that it reports, so
    // the two are matched by number only.
    let heard = peers
        .values()
        .filter(|peer| peer.last_heard.elapsed() <= MAX_REPORT_AGE);
    let mut reports: Vec<Option<ConfigReport>> =
        heard.map(|peer| Some(peer.report.clone())).collect();
    reports.resize(reports.len().max(entry.settings.peers.len()), None);
    reports
}

/// Returns the state of this instance and its peers that decides whether a change is accepted.
///
/// An instance that has just started has no heartbeats yet, so it waits for them up to the maximum
/// age of a report.
pub fn collect_cluster_state(entry: &EntryInstance) -> ClusterState {
    let end = Instant::now() + MAX_REPORT_AGE;
    loop {
        update_established(entry);
        let loaded = entry.tables.in_force.get();
        let cluster = ClusterState::new(&loaded, &own_report(entry), &peer_reports(entry));
        if cluster.has_quorum || Instant::now() >= end || entry.is_stopped() {
            return cluster.with_lineage(Uuid::new_v4().to_string());
        }
        entry.wait_for_next_round();
    }
}

/// Reads configuration and pool maps once, independently of the watch.
///
/// # Errors
///
/// Fails if the store does not answer.
pub fn read_once(entry: &EntryInstance) -> Result<OfferOutcome> {
    read(entry, &mut ConfigWatcher::new(entry.store.clone()))
}

/// Marks this instance as established once it has caught up with the others.
pub fn update_established(entry: &EntryInstance) {
    let established = cluster_state::is_established(&own_report(entry), &peer_reports(entry));
    if established {
        entry.tables.established.store(true, Ordering::Release);
    }
}

/// Polls the instance list until the instance stops.
pub fn poll_instances(entry: &Arc<EntryInstance>) {
    let mut is_reachable = true;
    while !entry.is_stopped() {
        // Taken before the call: the list may be older than its answer, but not than the call.
        let sent = Instant::now();
        match entry.fleet.list() {
            Ok(list) => {
                is_reachable = true;
                let instances = list.into_iter().map(|line| (line.id.clone(), line));
                *entry.tables.instances.write() = Arc::new(InstanceTable {
                    instances: instances.collect(),
                    read_at: Some(sent),
                });
            }
            Err(error) => {
                if is_reachable {
                    log_event!(Event::ListUnreachable, reason = error);
                }
                is_reachable = false;
            }
        }
        entry.wait_for_next_round();
    }
}
