//! Pool maps, wave progress and records, as read from the store for fleet decisions.

use std::collections::BTreeMap;

use nutmegcart_config::stored_config::ConfigHead;
use nutmegcart_config::stored_config::HEAD_KEY;
use nutmegcart_fleet::FleetView;
use nutmegcart_fleet::ObservedInstances;
use nutmegcart_fleet::map::MAP_PREFIX;
use nutmegcart_fleet::map::PoolMaps;
use nutmegcart_fleet::map::Versioned;
use nutmegcart_fleet::planner;
use nutmegcart_fleet::planner::FleetConfig;
use nutmegcart_fleet::planner::ProgressByWave;
use nutmegcart_fleet::wave::WAVE_PREFIX;
use nutmegcart_model::DataCentre;
use nutmegcart_platform::Instance;
use nutmegcart_platform::Revision;
use nutmegcart_platform::store::Result;
use serde::de::DeserializeOwned;

use crate::entry_instance::EntryInstance;

/// Input of fleet decisions as of the last read.
#[derive(Default)]
pub struct FleetState {
    /// Pool maps by data centre.
    pub maps: PoolMaps,
    /// Progress of each wave.
    pub waves: ProgressByWave,
    /// Pools, budgets and waves of the configuration in force.
    pub config: FleetConfig,
    /// Instance list as last fetched.
    pub instances: ObservedInstances,
    /// Store revision of the head of the configuration from which `config` was taken.
    pub head: Revision,
}

/// Reads all values below a prefix.
///
/// Returns `None` if one cannot be decoded, since a plan without it would overwrite it.
fn read_all<K: Ord + From<String>, T: DeserializeOwned>(
    entry: &EntryInstance,
    prefix: &str,
) -> Result<Option<BTreeMap<K, Versioned<T>>>> {
    let snapshot = entry.store.range(prefix)?;
    let values = snapshot.entries.iter().map(|found| {
        let stored = Versioned {
            value: planner::decode(&found.value)?,
            modified: found.modified,
        };
        Some((K::from(found.key[prefix.len()..].to_owned()), stored))
    });
    Ok(values.collect())
}

impl FleetState {
    /// Reads maps, waves and the configuration's head.
    ///
    /// Returns `false` if they cannot be decoded, or if the head does not match the configuration
    /// in force.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub fn read(&mut self, entry: &EntryInstance) -> Result<bool> {
        let loaded = entry.tables.in_force.get();
        let snapshot = entry.store.range(HEAD_KEY)?;
        let found = snapshot.get(HEAD_KEY);
        let head = found.and_then(|found| planner::decode::<ConfigHead>(&found.value));
        let config_id = loaded.configuration.history.config_id();
        let current =
            |head: &ConfigHead| head.repair.is_none() && head.history.config_id() == config_id;
        if !head.as_ref().is_some_and(current) {
            return Ok(false);
        }
        let waves = read_all(entry, WAVE_PREFIX)?;
        let (Some(waves), Some(maps)) = (waves, read_all(entry, MAP_PREFIX)?) else {
            return Ok(false);
        };
        self.head = found.map_or(0, |found| found.modified);
        self.waves = waves;
        self.maps = maps;
        let budgets = loaded.view.budgets.iter();
        self.config = FleetConfig {
            pools: loaded.view.pools.clone(),
            budgets: budgets
                .map(|(pool, budget)| (pool.clone(), budget.allowance))
                .collect(),
            waves: loaded.view.waves.clone(),
        };
        Ok(true)
    }

    /// Records the instance list as last fetched in `instances`.
    pub fn update_listing(&mut self, entry: &EntryInstance) {
        let listed = entry.tables.instances.read().clone();
        if let Some(read) = listed.read_at {
            let list: Vec<Instance> = listed.instances.values().cloned().collect();
            let at = read.saturating_duration_since(entry.started);
            self.instances.record(&list, at);
        }
    }

    /// Returns the input of a planning round.
    #[must_use]
    pub const fn view<'a>(
        &'a self,
        centre: &'a DataCentre,
        duty: (&'a str, Revision),
        store_online: bool,
    ) -> FleetView<'a> {
        FleetView {
            centre,
            duty,
            head: (HEAD_KEY, self.head),
            maps: &self.maps,
            waves: &self.waves,
            instances: &self.instances,
            config: &self.config,
            store_online,
        }
    }
}
