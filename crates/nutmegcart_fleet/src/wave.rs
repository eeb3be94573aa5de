//! Progress of a maintenance wave, its policy and its estimated duration.

use std::sync::Arc;
use std::time::Duration;

use nutmegcart_model::Code;
use nutmegcart_model::WaveName;
use nutmegcart_model::record::Wave;
use nutmegcart_model::record::Weights;
use nutmegcart_platform::Txn;
use serde::Deserialize;
use serde::Serialize;

use crate::budget;
use crate::map::Versioned;
use crate::planner::FleetView;
use crate::planner::encode;

/// Prefix of wave progress in the store.
pub const WAVE_PREFIX: &str = "/nutmegcart/wave/";

/// Failures without enough successes between them that halt a wave.
///
/// Of 2,600 instances 23 fail a day by themselves, so two within ten operations of a few minutes
/// are far more likely to have a common cause in the wave.
pub const HALT_FAILURES: u32 = 2;

/// Successes in a row after which earlier failures no longer count towards a halt.
pub const FORGIVE_AFTER: u32 = 10;

/// Time without failures after which a halted wave continues; doubles with each halt.
pub const HEALTHY_PERIOD: Duration = Duration::from_mins(5);

/// Halts of one run after which only an operator resumes the wave.
pub const MAX_HALTS: u32 = 3;

/// Duration of an operation that is assumed before any was seen, in seconds.
pub const ASSUMED_SECONDS: f64 = 300.0;

/// Weight of the latest operation in the learnt duration.
const LEARNING_RATE: f64 = 0.2;

/// What a wave is doing.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WavePhase {
    /// Never started.
    #[default]
    Idle,
    /// Takes instances out as limits allow.
    Running,
    /// Stopped by an operator; goes on when one starts it again.
    Paused,
    /// Stopped by failures; goes on after a healthy period.
    Halted,
    /// Every instance was maintained or has failed.
    Finished,
}

/// Progress of a wave, shared by the duty holders of all data centres.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WaveProgress {
    /// What the wave is doing.
    pub phase: WavePhase,
    /// Number of the present run.
    pub run: u64,
    /// Operations begun in all runs; the last part of their identifiers.
    pub serial: u64,
    /// Step size: the largest number of instances out at once.
    #[serde(rename = "limit")]
    pub step_size: u32,
    /// Successes since the step size last changed.
    #[serde(rename = "streak")]
    pub step_successes: u32,
    /// Successes since the last failure.
    #[serde(rename = "clean")]
    pub success_streak: u32,
    /// Failures that count towards a halt.
    pub failures: u32,
    /// Halts of this run.
    pub halts: u32,
    /// Instances maintained in this run.
    pub maintained: u32,
    /// Instances that the finished run could not maintain.
    #[serde(rename = "left")]
    pub unmaintained: u32,
    /// Learnt duration of an operation in seconds; zero before the first.
    #[serde(rename = "seconds")]
    pub mean_seconds: f64,
}

impl WaveProgress {
    /// Returns the store key of a wave.
    ///
    /// ```
    /// # use nutmegcart_fleet::WaveProgress;
    /// assert_eq!(WaveProgress::key(&"kernel".into()), "/nutmegcart/wave/kernel");
    /// ```
    #[must_use]
    pub fn key(wave: &WaveName) -> String {
        format!("{WAVE_PREFIX}{wave}")
    }

    /// Returns `<wave>.<run>`, the mark of an instance maintained in this run.
    #[must_use]
    pub fn run_id(&self, wave: &WaveName) -> Arc<str> {
        format!("{wave}.{}", self.run).into()
    }

    /// Returns a new operation identifier of the run.
    ///
    /// ```
    /// # use nutmegcart_fleet::WaveProgress;
    /// let mut progress = WaveProgress { run: 2, ..WaveProgress::default() };
    /// assert_eq!(&*progress.next_operation(&"kernel".into()), "kernel.2.1");
    /// ```
    pub fn next_operation(&mut self, wave: &WaveName) -> Arc<str> {
        self.serial += 1;
        format!("{wave}.{}.{}", self.run, self.serial).into()
    }

    /// Begins a new run, or resumes the present one, at a step size of one.
    pub fn start(&mut self) {
        if matches!(self.phase, WavePhase::Idle | WavePhase::Finished) {
            self.run += 1;
            self.maintained = 0;
            self.unmaintained = 0;
        }
        self.halts = 0;
        self.resume();
    }

    /// Goes on at a step size of one.
    pub fn resume(&mut self) {
        self.phase = WavePhase::Running;
        self.step_size = 1;
        self.step_successes = 0;
        self.success_streak = 0;
        self.failures = 0;
    }

    /// Counts a maintained instance; the step size doubles after as many successes in a row.
    pub fn succeed(&mut self, seconds: Option<f64>) {
        self.maintained += 1;
        self.step_successes += 1;
        self.success_streak += 1;
        if self.step_successes >= self.step_size {
            self.step_size = self.step_size.saturating_mul(2).max(1);
            self.step_successes = 0;
        }
        if self.success_streak >= FORGIVE_AFTER {
            self.failures = 0;
        }
        if let Some(seconds) = seconds {
            let rate = if self.mean_seconds > 0.0 {
                LEARNING_RATE
            } else {
                1.0
            };
            self.mean_seconds += rate * (seconds - self.mean_seconds);
        }
    }

    /// Counts a failure within the wave; returns whether it halts the wave.
    pub fn fail(&mut self) -> bool {
        self.failures += 1;
        self.step_size = 1;
        self.step_successes = 0;
        self.success_streak = 0;
        let halts = self.phase == WavePhase::Running && self.failures >= HALT_FAILURES;
        if halts {
            self.phase = WavePhase::Halted;
            self.halts += 1;
        }
        halts
    }

    /// Returns how long the wave's pools must stay healthy before a halted wave goes on; none if
    /// only an operator may resume it.
    #[must_use]
    pub fn recovery_period(&self) -> Option<Duration> {
        (self.halts <= MAX_HALTS).then(|| HEALTHY_PERIOD * (1 << self.halts.saturating_sub(1)))
    }
}

/// What the weights of a wave or a deployment decide.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityPolicy {
    /// Share of a pool's estimated need that is kept in addition to it.
    pub reserve: f64,
    /// Time for which a shortage must last before an instance moves.
    pub shortage: Duration,
    /// Time for which a surplus must last before an instance moves back to a spare pool.
    pub surplus: Duration,
}

/// Reserve at equal weights of buffer and roll-out time.
const EVEN_RESERVE: f64 = 0.1;

/// Time for which a shortage lasts before a move at an average weight of moves.
const EVEN_SHORTAGE: f64 = 60.0;

/// Time for which a surplus lasts before a move at an average weight of moves.
const EVEN_SURPLUS: f64 = 240.0;

impl From<Weights> for CapacityPolicy {
    /// Derives the policy; only the proportions of the weights matter.
    fn from(weights: Weights) -> Self {
        let sum = weights.buffer + weights.rollout + weights.moves;
        // Without any weight all three count the same.
        let share = |weight: f64| if sum > 0.0 { 3.0 * weight / sum } else { 1.0 };
        let buffer = share(weights.buffer).max(0.25);
        let moves = share(weights.moves).max(0.25);
        Self {
            reserve: EVEN_RESERVE / buffer,
            shortage: Duration::from_secs_f64(EVEN_SHORTAGE * moves),
            surplus: Duration::from_secs_f64(EVEN_SURPLUS * moves / buffer),
        }
    }
}

/// Estimates the duration of a wave from its start; none if a pool has no budget for it.
///
/// Each pool's instances go out as many at a time as its budget allows, all pools side by side;
/// the width limits the sum, and the growth from a step size of one adds its rounds.
///
/// ```
/// # use nutmegcart_fleet::wave::estimate;
/// # use std::time::Duration;
/// let minutes = Duration::from_mins;
/// assert_eq!(estimate(&[(10, 2), (10, 1)], None, minutes(1)), Some(minutes(12)));
/// assert_eq!(estimate(&[(10, 0)], None, minutes(1)), None);
/// ```
#[must_use]
pub fn estimate(pools: &[(u32, u32)], width: Option<u32>, operation: Duration) -> Option<Duration> {
    let mut rounds = 0;
    let mut total = 0;
    let mut parallel = 0;
    for &(pending, room) in pools.iter().filter(|(pending, _)| *pending > 0) {
        if room == 0 {
            return None;
        }
        rounds = rounds.max(pending.div_ceil(room));
        total += pending;
        parallel += room.min(pending);
    }
    let parallel = width.map_or(parallel, |width| parallel.min(width.max(1)));
    let rounds = rounds.max(total.div_ceil(parallel.max(1)));
    let growth = u32::BITS - parallel.leading_zeros();
    Some(operation * (rounds + growth.min(rounds)))
}

/// Estimates the duration of a wave over all members of its pools; none if a budget forbids it.
#[must_use]
pub fn estimate_wave(
    view: &FleetView,
    wave: &Wave,
    seconds: f64,
    now: Duration,
) -> Option<Duration> {
    let availability_by_pool = budget::availability_by_pool(view.pool_maps(), view.instances, now);
    let mut load = Vec::new();
    for standing in wave
        .pools
        .iter()
        .filter_map(|pool| availability_by_pool.get(pool).map(|s| (pool, s)))
    {
        let (pool, standing) = standing;
        let allowance = view.config.allowance(pool);
        let whole = allowance.max_unavailable(standing.total().members);
        for counts in [standing.runners, standing.workers] {
            load.push((
                counts.members,
                allowance.max_unavailable(counts.members).min(whole),
            ));
        }
    }
    let known = if seconds > 0.0 {
        seconds
    } else {
        ASSUMED_SECONDS
    };
    estimate(&load, wave.width, Duration::from_secs_f64(known))
}

/// Returns the transaction that starts or resumes a wave on an operator's behalf.
///
/// # Errors
///
/// Refuses a wave that does not exist, that cannot finish before its deadline as far as its earlier
/// runs show, or that contains a pool whose budget allows no instance out.
pub fn start(view: &FleetView, name: &WaveName, now: Duration) -> Result<Txn, Code> {
    let wave = view.config.waves.get(name).ok_or(Code::WaveNotFound)?;
    let mut stored = view.waves.get(name).cloned().unwrap_or_default();
    let estimate =
        estimate_wave(view, wave, stored.value.mean_seconds, now).ok_or(Code::WaveWithoutBudget)?;
    let fresh = matches!(stored.value.phase, WavePhase::Idle | WavePhase::Finished);
    let deadline = wave.deadline.map(Duration::from_secs);
    // An estimate that rests on an assumed duration is reported in the status only.
    let learnt = stored.value.mean_seconds > 0.0;
    if fresh && learnt && deadline.is_some_and(|deadline| estimate > deadline) {
        return Err(Code::WavePastDeadline);
    }
    stored.value.start();
    Ok(write(name, &stored))
}

/// Returns the transaction that pauses a wave; instances being drained return to service.
///
/// # Errors
///
/// Refuses a wave that is not under way.
pub fn pause(view: &FleetView, name: &WaveName) -> Result<Txn, Code> {
    let mut stored = view.waves.get(name).cloned().ok_or(Code::WaveNotFound)?;
    if !matches!(stored.value.phase, WavePhase::Running | WavePhase::Halted) {
        return Err(Code::WaveNotRunning);
    }
    stored.value.phase = WavePhase::Paused;
    Ok(write(name, &stored))
}

fn write(name: &WaveName, stored: &Versioned<WaveProgress>) -> Txn {
    let key = WaveProgress::key(name);
    Txn::default()
        .unchanged(key.clone(), stored.modified)
        .put(key, encode(&stored.value))
}
