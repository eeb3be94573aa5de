//! One planning round of a duty holder.
//!
//! A round reads the maps of all data centres and writes only the map of its own. Effects are
//! planned only for intents that the maps already contain, so an effect is never carried out
//! before its intent is written, and a successor repeats it under the same identifier.

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
use crate::map::InstanceCache;
use crate::map::MaintenanceState;
use crate::map::MapEntry;
use crate::map::PoolMap;
use crate::map::PoolMaps;
use crate::map::Versioned;
use crate::planning_round::PlanningRound;
use crate::wave::WaveProgress;

/// The records that fleet decisions depend on.
#[derive(Clone, Debug, Default)]
pub struct FleetConfig {
    /// Pools.
    pub pools: BTreeMap<PoolName, Pool>,
    /// Budgets by pool.
    pub budgets: BTreeMap<PoolName, Allowance>,
    /// Waves.
    pub waves: BTreeMap<WaveName, Wave>,
}

impl FleetConfig {
    /// Returns how many instances of a pool may be unavailable.
    ///
    /// ```
    /// # use nutmegcart_fleet::planner::FleetConfig;
    /// assert_eq!(FleetConfig::default().allowance(&"gates".into()).max_unavailable(10), 0);
    /// ```
    #[must_use]
    pub fn allowance(&self, pool: &PoolName) -> Allowance {
        self.budgets.get(pool).copied().unwrap_or(NO_BUDGET)
    }

    /// Returns the mean of the waves' weights, which governs lending.
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

/// Progress of all waves.
pub type ProgressByWave = BTreeMap<WaveName, Versioned<WaveProgress>>;

/// What a duty holder knows at the start of a round.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// Data centre whose duty is held.
    pub centre: &'a DataCentre,
    /// Key of the duty and the revision at which it was created.
    pub duty: (&'a str, Revision),
    /// Key of the configuration's head and the revision that the settings stem from.
    pub head: (&'a str, Revision),
    /// Maps of all data centres.
    pub maps: &'a PoolMaps,
    /// Progress of all waves.
    pub waves: &'a ProgressByWave,
    /// Instance list.
    pub instances: &'a InstanceCache,
    /// Configuration.
    pub config: &'a FleetConfig,
    /// Whether the store answers; if not, maps and waves are those last read.
    pub store_online: bool,
}

impl<'a> FleetView<'a> {
    /// Returns the maps without their revisions.
    pub fn pool_maps(&self) -> impl Iterator<Item = (&'a DataCentre, &'a PoolMap)> + use<'a> {
        self.maps.iter().map(|(centre, map)| (centre, &map.value))
    }
}

/// Kind of an effect outside the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// Start draining.
    Drain,
    /// Reboot a drained instance.
    Reboot,
    /// Return a draining or drained instance to service.
    Restore,
}

/// A call to the platform; a repeated one changes nothing.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PlatformCall {
    /// Kind of the call.
    #[serde(rename = "verb")]
    pub kind: CallKind,
    /// Instance.
    pub instance: InstanceId,
    /// Operation identifier, written in the map before.
    pub operation: Arc<str>,
}

/// A decision of a round; it holds once the transaction is committed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlannedChange {
    /// Takes an instance out of service.
    TakeOut(InstanceId, Arc<str>),
    /// Lets a drained instance reboot.
    Reboot(InstanceId, Arc<str>),
    /// Returns a maintained instance.
    Return(InstanceId, Arc<str>),
    /// Ends an operation early; the instance returns without a reboot.
    Cancel(InstanceId, Arc<str>),
    /// Records that an instance failed during or after its maintenance.
    Fail(InstanceId),
    /// Returns an instance that had failed or whose operation was cancelled.
    Recover(InstanceId),
    /// Moves an instance to another pool.
    Move(InstanceId, PoolName),
    /// Assigns a new instance to a pool.
    Assign(InstanceId, PoolName),
    /// Replaces an instance that vanished by a new one.
    Replace(InstanceId, InstanceId),
    /// Halts a wave.
    Halt(WaveName),
    /// Continues a halted wave.
    Resume(WaveName),
    /// Finishes a wave, with the number of instances that could not be maintained.
    Finish(WaveName, u32),
}

impl PlannedChange {
    /// Returns the event to log once the action is committed.
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

/// What a round decided.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Decisions, which hold once the transaction is committed.
    pub changes: Vec<PlannedChange>,
    /// Compare-and-swap that fences the decisions; none if nothing changes.
    pub txn: Option<Txn>,
    /// Calls to make now, whether or not the transaction is committed.
    pub calls: Vec<PlatformCall>,
}

/// When a holder first saw an operation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Seen {
    /// Present state.
    pub(crate) state: MaintenanceState,
    /// First sight of the present state.
    pub(crate) since: Duration,
    /// First sight of the operation, if that was while it was draining.
    pub(crate) begun: Option<Duration>,
}

/// What a duty holder keeps between rounds; a successor starts without it.
#[derive(Clone, Debug, Default)]
pub struct PlannerMemory {
    /// Demand estimates.
    pub demand: DemandEstimator,
    pub(crate) acks: BTreeMap<(Arc<str>, CallKind), Duration>,
    pub(crate) seen: BTreeMap<Arc<str>, Seen>,
    /// Since when a halted wave has seen no new failure, and how many instances are failed.
    pub(crate) calm: BTreeMap<WaveName, (Duration, u32)>,
    /// Since when the rest of a wave consists of lost instances.
    pub(crate) ending: BTreeMap<WaveName, Duration>,
    /// Whether the store did not answer in the last round.
    pub(crate) away: bool,
    /// Time before which nothing is taken out or moved.
    pub(crate) quiet: Duration,
    /// Instances that a round may take out; doubles after the store returned.
    pub(crate) ramp: Option<u32>,
}

impl PlannerMemory {
    /// Forgets what an earlier term of the duty saw; others may have acted in between.
    pub fn reset_term(&mut self) {
        self.acks.clear();
        self.seen.clear();
        self.calm.clear();
        self.ending.clear();
    }

    /// Records that the platform answered a call.
    pub fn acknowledge(&mut self, effect: &PlatformCall, now: Duration) {
        self.acks
            .insert((effect.operation.clone(), effect.kind), now);
    }

    /// Records that the store does not answer.
    pub fn store_lost(&mut self) {
        self.away = true;
    }

    /// Records that the store answers again; the jitter keeps the holders from acting at once.
    pub fn store_returned(&mut self, now: Duration, jitter: Duration) {
        if self.away {
            self.away = false;
            self.quiet = now + jitter;
            self.ramp = Some(1);
            self.calm.clear();
            self.ending.clear();
            self.demand.forget_timers();
        }
    }

    pub(crate) fn acknowledged(&self, operation: &Arc<str>, verb: CallKind) -> Option<Duration> {
        self.acks.get(&(operation.clone(), verb)).copied()
    }

    /// Notes the operation's state and returns when it was first seen in it.
    pub(crate) fn note(
        &mut self,
        operation: &Arc<str>,
        state: MaintenanceState,
        now: Duration,
    ) -> Seen {
        let seen = self.seen.entry(operation.clone()).or_insert(Seen {
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

    fn forget(&mut self, map: &PoolMap) {
        let live: BTreeSet<&Arc<str>> = map
            .instances
            .values()
            .filter_map(|entry| entry.operation.as_ref())
            .collect();
        self.acks
            .retain(|(operation, _), _| live.contains(operation));
        self.seen.retain(|operation, _| live.contains(operation));
    }
}

/// Plans one round.
///
/// The caller carries out the effects only while its lease is known to be alive, commits the
/// transaction, and starts the next round from a fresh read, whatever the answer was.
pub fn plan(view: &FleetView, memory: &mut PlannerMemory, now: Duration) -> Plan {
    let round = PlanningRound::new(view, now);
    memory.forget(round.map());
    if view.store_online {
        round.run(memory)
    } else {
        Plan {
            calls: round.calls(memory),
            ..Plan::default()
        }
    }
}

/// Returns the transaction that takes an instance out on an operator's behalf.
///
/// The instance stays out until the list shows it live with a higher number of reboots.
///
/// # Errors
///
/// Refuses an instance that is in no pool of this data centre or not in service, and one whose
/// absence would exceed the budget.
pub fn drain(
    view: &FleetView,
    id: &InstanceId,
    operation: &str,
    now: Duration,
) -> Result<Txn, nutmegcart_model::Code> {
    PlanningRound::new(view, now).drain(id, operation)
}

/// Returns the bytes of a value for the store.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    // Maps and progress have string keys only, so they are always representable.
    serde_json::to_vec(value).unwrap_or_default()
}

/// Reads a pool map or wave progress from the store; none if it is unreadable, in which case it
/// must not be planned on, since a plan would overwrite it.
#[must_use]
pub fn decode<T: serde::de::DeserializeOwned>(value: &[u8]) -> Option<T> {
    serde_json::from_slice(value).ok()
}

/// Returns the wave's name and run of an operation identifier `<wave>.<run>.<serial>`.
pub(crate) fn wave_of(entry: &MapEntry) -> Option<(WaveName, u64)> {
    let operation = entry.operation.as_ref().filter(|_| !entry.is_held())?;
    let mut parts = operation.rsplitn(3, '.');
    parts.next()?;
    let run = parts.next()?.parse().ok()?;
    Some((WaveName::from(parts.next()?), run))
}
