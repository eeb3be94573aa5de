//! The map of a data centre's instances to pools.

use std::collections::BTreeMap;

use nutmegcart_model::InstanceId;
use nutmegcart_model::PoolName;
use nutmegcart_model::WaveName;
use serde::Deserialize;
use serde::Serialize;

/// Prefix of the maps in the store; the data centre follows.
pub const MAPS: &str = "/nutmegcart/map/";
/// Prefix of the wave progress in the store; the wave follows.
pub const WAVES: &str = "/nutmegcart/wave/";
/// Prefix of the duty keys in the store; the data centre follows.
pub const DUTIES: &str = "/nutmegcart/duty/";

/// Where an instance is on its way through maintenance.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// In service.
    Serving,
    /// Draining for a reboot.
    Draining,
    /// Rebooting.
    Rebooting,
}

/// An instance's place in the map.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Seat {
    /// Pool that the instance belongs to.
    pub pool: PoolName,
    /// Maintenance phase.
    pub phase: Phase,
    /// Identifier of the operation under way.
    pub operation: Option<String>,
    /// Reboots at the time when the instance was taken out.
    pub boots: u64,
}

/// All instances of one data centre; a map gives each instance exactly one pool.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct PoolMap {
    /// Seats by instance.
    pub seats: BTreeMap<InstanceId, Seat>,
}

/// State of a wave.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaveState {
    /// Taking instances out.
    #[default]
    Running,
    /// Paused by an operator.
    Paused,
    /// Every instance was maintained.
    Finished,
}

/// Progress of a wave, shared through the store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WaveProgress {
    /// Name of the wave.
    pub wave: WaveName,
    /// State.
    pub state: WaveState,
    /// Reboots of each instance when the wave started.
    pub baseline: BTreeMap<InstanceId, u64>,
}
