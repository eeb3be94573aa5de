//! Planning rounds of a data centre's duty holder.
//!
//! A round reads the maps of all data centres and writes only the map of its own. It calls the
//! platform only for intents that this map already contains. No call is therefore made before its
//! intent is stored, and a successor repeats the call under the same operation identifier.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::DataCentre;
use nutmegcart_model::Event;
use nutmegcart_model::InstanceId;
use nutmegcart_model::PoolName;
use nutmegcart_model::WaveName;
use nutmegcart_model::record::Allowance;
use nutmegcart_model::record::Pool;
use nutmegcart_model::record::Wave;
use nutmegcart_model::record::Weights;
use nutmegcart_platform::Txn;
use nutmegcart_platform::store::Revision;
use serde::Serialize;

use crate::budget::NO_BUDGET;
use crate::lending::DemandEstimator;
use crate::map::MaintenanceState;
use crate::map::MapEntry;
use crate::map::ObservedInstances;
use crate::map::PoolMap;
use crate::map::PoolMaps;
use crate::map::Versioned;
use crate::planning_round::PlanningRound;
use crate::wave::WaveProgress;

/// The part of the configuration that the planner depends on.
#[derive(Clone, Debug, Default)]
pub struct FleetConfig {
    /// Pools by name, spare pools included.
    pub pools: BTreeMap<PoolName, Pool>,
    /// Availability budget of each pool; a pool without an entry has [`NO_BUDGET`].
    pub budgets: BTreeMap<PoolName, Allowance>,
    /// Waves by name, whether started or not.
    pub waves: BTreeMap<WaveName, Wave>,
}

impl FleetConfig {
    /// Returns the availability budget of a pool.
    ///
    /// ```
    /// # use nutmegcart_fleet::planner::FleetConfig;
    /// assert_eq!(FleetConfig::default().allowance(&"gates".into()).max_unavailable(10), 0);
    /// ```
    #[must_use]
    pub fn allowance(&self, pool: &PoolName) -> Allowance {
        self.budgets.get(pool).copied().unwrap_or(NO_BUDGET)
    }

    /// Returns the mean of the waves' weights, used for moves between pools.
    #[must_use]
    pub fn weights(&self) -> Weights {
        let count = self.waves.len() as f64;
        if self.waves.is_empty() {
            return Weights::default();
        }
        let mean = |field: fn(&Weights) -> f64| {
            let sum: f64 = self.waves.values().map(|wave| field(&wave.weights)).sum();
            sum / count
        };
        Weights {
            buffer: mean(|weights| weights.buffer),
            rollout: mean(|weights| weights.rollout),
            moves: mean(|weights| weights.moves),
        }
    }
}

/// Progress of all waves, with the revisions of the stored values.
pub type ProgressByWave = BTreeMap<WaveName, Versioned<WaveProgress>>;

/// Input of a planning round.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// Data centre that is planned.
    pub centre: &'a DataCentre,
    /// Duty key of the data centre and its creation revision; both fence the transaction.
    pub duty: (&'a str, Revision),
    /// Key of the configuration's head and the revision that `config` was read at.
    pub head: (&'a str, Revision),
    /// Pool maps of all data centres.
    pub maps: &'a PoolMaps,
    /// Progress of all waves.
    pub waves: &'a ProgressByWave,
    /// Instances as last listed by the platform.
    pub instances: &'a ObservedInstances,
    /// Configuration at the revision of `head`.
    pub config: &'a FleetConfig,
    /// Whether the store answers; if not, `maps` and `waves` are those last read.
    pub store_online: bool,
}

impl<'a> FleetView<'a> {
    /// Returns the maps without their revisions.
    pub fn pool_maps(&self) -> impl Iterator<Item = (&'a DataCentre, &'a PoolMap)> + use<'a> {
        self.maps.iter().map(|(centre, map)| (centre, &map.value))
    }
}

/// Kind of a platform call.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// Starts draining a live instance.
    Drain,
    /// Reboots a drained instance.
    Reboot,
    /// Returns a draining or drained instance to service.
    Restore,
}

/// A call to the platform, idempotent by its operation identifier.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PlatformCall {
    /// What the platform does with the instance.
    #[serde(rename = "verb")]
    pub kind: CallKind,
    /// Instance that the call is about.
    pub instance: InstanceId,
    /// Operation identifier, stored in the map before the call.
    pub operation: Arc<str>,
}

/// A change decided by a round, effective once the transaction is committed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlannedChange {
    /// Takes an instance out of service.
    TakeOut(InstanceId, Arc<str>),
    /// Reboots a drained instance.
    Reboot(InstanceId, Arc<str>),
    /// Returns a maintained instance to service.
    Return(InstanceId, Arc<str>),
    /// Cancels an operation; the instance returns to service without a reboot.
    Cancel(InstanceId, Arc<str>),
    /// Records that an instance failed during or after its maintenance.
    Fail(InstanceId),
    /// Returns an instance to service that had failed or whose operation was cancelled.
    Recover(InstanceId),
    /// Moves an instance to another pool.
    Move(InstanceId, PoolName),
    /// Assigns a new instance to a pool.
    Assign(InstanceId, PoolName),
    /// Gives the place of an instance that vanished (first) to a new one (second).
    Replace(InstanceId, InstanceId),
    /// Halts a wave.
    Halt(WaveName),
    /// Resumes a halted wave.
    Resume(WaveName),
    /// Finishes a wave, with the number of instances that could not be maintained.
    Finish(WaveName, u32),
}

impl PlannedChange {
    /// Returns the event to log once the change is committed.
    ///
    /// ```
    /// # use nutmegcart_fleet::planner::PlannedChange;
    /// assert_eq!(PlannedChange::Halt("kernel".into()).event().number(), 412);
    /// ```
    #[must_use]
    pub const fn event(&self) -> Event {
        match self {
            Self::TakeOut(..) | Self::Reboot(..) => Event::InstanceTakenOut,
            Self::Return(..) | Self::Recover(_) => Event::InstanceReturned,
            Self::Cancel(..) => Event::MaintenanceCancelled,
            Self::Fail(_) => Event::MaintenanceFailure,
            Self::Move(..) => Event::InstanceMoved,
            Self::Assign(..) => Event::InstanceAssigned,
            Self::Replace(..) => Event::InstanceReplaced,
            Self::Halt(_) => Event::WaveHalted,
            Self::Resume(_) => Event::WaveResumed,
            Self::Finish(..) => Event::WaveFinished,
        }
    }
}

/// Result of a planning round.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Changes, effective once the transaction is committed.
    pub changes: Vec<PlannedChange>,
    /// Transaction that writes the changes if their inputs are unchanged; none without changes.
    pub txn: Option<Txn>,
    /// Platform calls to make now, whether or not the transaction is committed.
    pub calls: Vec<PlatformCall>,
}

/// When a duty holder first saw an operation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OperationObservation {
    /// Current state.
    pub(crate) state: MaintenanceState,
    /// Time at which the current state was first seen.
    pub(crate) since: Duration,
    /// Time at which the operation was first seen, if it was draining then.
    pub(crate) begun: Option<Duration>,
}

/// What a duty holder keeps in memory between rounds; a successor starts without it.
#[derive(Clone, Debug, Default)]
pub struct PlannerMemory {
    /// Demand estimates of the pools.
    pub demand: DemandEstimator,
    /// Time of the platform's answer, by operation and kind of call.
    pub(crate) answered_calls: BTreeMap<(Arc<str>, CallKind), Duration>,
    /// When the operations under way and their states were first seen.
    pub(crate) seen: BTreeMap<Arc<str>, OperationObservation>,
    /// For each halted wave, since when no further instance failed, and how many are failed.
    pub(crate) halt_quiet_since: BTreeMap<WaveName, (Duration, u32)>,
    /// For each wave, since when all instances that are left are lost.
    pub(crate) ending_since: BTreeMap<WaveName, Duration>,
    /// Whether the store did not answer in the last round.
    pub(crate) store_down: bool,
    /// Time before which no instance is taken out or moved.
    pub(crate) quiet_until: Duration,
    /// Limit of instances that a round takes out after a store outage; it doubles with each round
    /// that takes some out.
    pub(crate) ramp_limit: Option<u32>,
}

impl PlannerMemory {
    /// Discards observations from an earlier term of the duty, since other holders may have acted
    /// since.
    pub fn reset_term(&mut self) {
        self.answered_calls.clear();
        self.seen.clear();
        self.halt_quiet_since.clear();
        self.ending_since.clear();
    }

    /// Records that the platform answered a call.
    pub fn acknowledge(&mut self, call: &PlatformCall, now: Duration) {
        self.answered_calls
            .insert((call.operation.clone(), call.kind), now);
    }

    /// Records that the store does not answer.
    pub fn store_lost(&mut self) {
        self.store_down = true;
    }

    /// Records that the store answers.
    ///
    /// After an outage no instance is taken out or moved until the jitter has passed, so that the
    /// duty holders do not all act at the same time.
    pub fn store_returned(&mut self, now: Duration, jitter: Duration) {
        if self.store_down {
            self.store_down = false;
            self.quiet_until = now + jitter;
            self.ramp_limit = Some(1);
            self.halt_quiet_since.clear();
            self.ending_since.clear();
            self.demand.reset_timers();
        }
    }

    /// Returns when the platform answered the call, if it did.
    pub(crate) fn acknowledged(&self, operation: &Arc<str>, kind: CallKind) -> Option<Duration> {
        self.answered_calls.get(&(operation.clone(), kind)).copied()
    }

    /// Records the operation's state and returns when the operation and this state were first seen.
    pub(crate) fn observe_state(
        &mut self,
        operation: &Arc<str>,
        state: MaintenanceState,
        now: Duration,
    ) -> OperationObservation {
        let seen = self
            .seen
            .entry(operation.clone())
            .or_insert(OperationObservation {
                state,
                since: now,
                begun: (state == MaintenanceState::Draining).then_some(now),
            });
        if seen.state != state {
            seen.state = state;
            seen.since = now;
        }
        *seen
    }

    /// Drops what is kept about operations that the map no longer contains.
    fn forget_ended(&mut self, map: &PoolMap) {
        let live: BTreeSet<&Arc<str>> = map
            .instances
            .values()
            .filter_map(|entry| entry.operation.as_ref())
            .collect();
        self.answered_calls
            .retain(|(operation, _), _| live.contains(operation));
        self.seen.retain(|operation, _| live.contains(operation));
    }
}

/// Plans one round.
///
/// The caller makes the platform calls only while its lease is certainly alive, then commits the
/// transaction. Whatever the answer is, it reads the store again before the next round.
pub fn plan(view: &FleetView, memory: &mut PlannerMemory, now: Duration) -> Plan {
    let round = PlanningRound::new(view, now);
    memory.forget_ended(round.map());
    if view.store_online {
        round.run(memory)
    } else {
        Plan {
            calls: round.calls(memory),
            ..Plan::default()
        }
    }
}

/// Returns the transaction that drains an instance for an operator.
///
/// The instance stays out until the instance list shows it live with a higher reboot count.
///
/// # Errors
///
/// Fails if the instance is in no pool of this data centre or not in service, or if its absence
/// would exceed the pool's budget.
pub fn drain(
    view: &FleetView,
    id: &InstanceId,
    operation: &str,
    now: Duration,
) -> Result<Txn, nutmegcart_model::Code> {
    PlanningRound::new(view, now).drain(id, operation)
}

/// Encodes a value for the store.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    // Pool maps and wave progress have string keys only, so encoding cannot fail.
    serde_json::to_vec(value).unwrap_or_default()
}

/// Decodes a pool map or wave progress; none if it is unreadable.
///
/// Do not plan while a value is unreadable, since the plan would overwrite it.
#[must_use]
pub fn decode<T: serde::de::DeserializeOwned>(value: &[u8]) -> Option<T> {
    serde_json::from_slice(value).ok()
}

/// Returns wave and run of an entry's operation identifier `<wave>.<run>.<serial>`.
///
/// An operator's drain belongs to no wave.
pub(crate) fn wave_run_of(entry: &MapEntry) -> Option<(WaveName, u64)> {
    let operation = entry.operation.as_ref().filter(|_| !entry.is_held())?;
    let mut parts = operation.rsplitn(3, '.');
    parts.next()?;
    let run = parts.next()?.parse().ok()?;
    Some((WaveName::from(parts.next()?), run))
}
