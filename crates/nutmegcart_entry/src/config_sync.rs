//! Keeps the tables in step with the platform's store and instance list.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_config::accept;
use nutmegcart_fleet::PoolMap;
use nutmegcart_fleet::map::MAP_PREFIX;
use nutmegcart_model::DataCentre;
use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use nutmegcart_platform::Revision;
use nutmegcart_platform::store::Result;

use crate::entry::Entry;
use crate::tables::Listed;

/// Prefix of all keys of the deployment.
const ALL: &str = "/nutmegcart/";
/// Longest wait for a change before everything is read again.
const WAIT: Duration = Duration::from_secs(10);

/// Watches the store until the instance stops.
pub fn run(entry: &Arc<Entry>) {
    let mut reachable = true;
    while !entry.is_stopped() {
        match read(entry) {
            Ok(revision) => {
                if !reachable {
                    log_event!(Event::StoreReachable, id = entry.settings.id);
                }
                reachable = true;
                if entry.store.wait(ALL, revision + 1, WAIT).is_err() {
                    entry.pause();
                }
            }
            Err(error) => {
                if reachable {
                    log_event!(Event::StoreUnreachable, reason = error);
                }
                reachable = false;
                entry.pause();
            }
        }
    }
}

/// Reads configuration and pool maps, and returns the revision of the older read.
///
/// # Errors
///
/// Fails if the store does not answer.
pub fn read(entry: &Entry) -> Result<Revision> {
    let stored = accept::load(&entry.store)?;
    entry.tables.in_force.offer(stored.configuration, "store");
    let generation = entry.tables.in_force.get().configuration.generation;
    let gauge = i64::try_from(generation.0).unwrap_or(i64::MAX);
    entry.metrics.generation.set(gauge);
    let snapshot = entry.store.range(MAP_PREFIX)?;
    let mut maps = BTreeMap::new();
    for found in &snapshot.entries {
        let centre = found.key.strip_prefix(MAP_PREFIX).unwrap_or("");
        if let Ok(map) = serde_json::from_slice::<PoolMap>(&found.value) {
            maps.insert(DataCentre::from(centre), map);
        }
    }
    *entry.tables.maps.write() = Arc::new(maps);
    entry
        .tables
        .revision
        .store(stored.revision, Ordering::Release);
    Ok(stored.revision)
}

/// Polls the instance list until the instance stops.
pub fn run_list(entry: &Arc<Entry>) {
    let mut reachable = true;
    while !entry.is_stopped() {
        // The list is at most as old as the call, which an answer's time would not ensure.
        let sent = Instant::now();
        match entry.fleet.list() {
            Ok(list) => {
                reachable = true;
                let instances = list.into_iter().map(|line| (line.id.clone(), line));
                *entry.tables.instances.write() = Arc::new(Listed {
                    instances: instances.collect(),
                    read: Some(sent),
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
