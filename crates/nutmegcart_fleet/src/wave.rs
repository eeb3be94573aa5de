//! Progress of maintenance waves, their capacity policy and their estimated duration.

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

/// Store key prefix of wave progress.
pub const WAVE_PREFIX: &str = "/nutmegcart/wave/";

/// Failures that halt a wave, unless [`FAILURE_RESET_SUCCESSES`] successes in a row come between
/// them.
///
/// Of 2,600 instances, 23 a day fail for other reasons. Two failures within ten operations of a few
/// minutes are therefore far more likely to be caused by the wave.
pub const HALT_FAILURES: u32 = 2;

/// Successes in a row after which earlier failures no longer count towards a halt.
pub const FAILURE_RESET_SUCCESSES: u32 = 10;

/// Time without failures after which a halted wave resumes; doubles with each halt.
pub const HEALTHY_PERIOD: Duration = Duration::from_mins(5);

/// Halts of one run that are resumed automatically; after a further one only an operator resumes
/// the wave.
pub const MAX_HALTS: u32 = 3;

/// Assumed duration of an operation before one was measured, in seconds.
pub const ASSUMED_OPERATION_SECONDS: f64 = 300.0;

/// Weight of the latest operation in the moving average of the duration.
const LEARNING_RATE: f64 = 0.2;

/// Phase of a wave's run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WavePhase {
    /// Never started.
    #[default]
    Idle,
    /// Takes instances out as far as the limits allow.
    Running,
    /// Paused by an operator; resumes when an operator starts it again.
    Paused,
    /// Halted by failures; resumes after a period without failures.
    Halted,
    /// Every instance is maintained or lost.
    Finished,
}

/// Progress of a wave, shared by the duty holders of all data centres.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WaveProgress {
    /// Phase of the run.
    pub phase: WavePhase,
    /// Number of the current or last run; zero before the first.
    pub run: u64,
    /// Operations begun in all runs; numbers the operation identifiers.
    pub serial: u64,
    /// Largest number of instances that the wave has out at the same time.
    #[serde(rename = "limit")]
    pub step_size: u32,
    /// Successes in a row since the step size last changed.
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
    /// Lost instances that the finished run could not maintain.
    #[serde(rename = "left")]
    pub unmaintained: u32,
    /// Moving average of an operation's duration in seconds; zero before the first operation.
    #[serde(rename = "seconds")]
    pub mean_seconds: f64,
}

impl WaveProgress {
    /// Returns the store key of a wave's progress.
    ///
    /// ```
    /// # use nutmegcart_fleet::WaveProgress;
    /// assert_eq!(WaveProgress::key(&"kernel".into()), "/nutmegcart/wave/kernel");
    /// ```
    #[must_use]
    pub fn key(wave: &WaveName) -> String {
        format!("{WAVE_PREFIX}{wave}")
    }

    /// Returns the identifier `<wave>.<run>` of the current run.
    #[must_use]
    pub fn run_id(&self, wave: &WaveName) -> Arc<str> {
        format!("{wave}.{}", self.run).into()
    }

    /// Returns the next operation identifier, `<wave>.<run>.<serial>`.
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

    /// Starts a new run or resumes the current one, with a step size of one.
    pub fn start(&mut self) {
        if matches!(self.phase, WavePhase::Idle | WavePhase::Finished) {
            self.run += 1;
            self.maintained = 0;
            self.unmaintained = 0;
        }
        self.halts = 0;
        self.resume();
    }

    /// Resumes the run with a step size of one.
    pub fn resume(&mut self) {
        self.phase = WavePhase::Running;
        self.step_size = 1;
        self.step_successes = 0;
        self.success_streak = 0;
        self.failures = 0;
    }

    /// Counts a maintained instance.
    ///
    /// The step size doubles after as many successes in a row as the step size.
    pub fn record_success(&mut self, seconds: Option<f64>) {
        self.maintained += 1;
        self.step_successes += 1;
        self.success_streak += 1;
        if self.step_successes >= self.step_size {
            self.step_size = self.step_size.saturating_mul(2).max(1);
            self.step_successes = 0;
        }
        if self.success_streak >= FAILURE_RESET_SUCCESSES {
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

    /// Counts a failure and returns whether it halts the wave.
    pub fn record_failure(&mut self) -> bool {
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

    /// Returns how long a halted wave must be without failures before it resumes; none if only an
    /// operator may resume it.
    #[must_use]
    pub fn recovery_period(&self) -> Option<Duration> {
        (self.halts <= MAX_HALTS).then(|| HEALTHY_PERIOD * (1 << self.halts.saturating_sub(1)))
    }
}

/// How much free capacity is kept and how soon instances move, as derived from weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityPolicy {
    /// Free capacity that a pool keeps, as a part of its estimated need.
    pub reserve: f64,
    /// Time for which a shortage must last before an instance is moved to the pool.
    pub shortage_delay: Duration,
    /// Time for which a surplus must last before an instance is moved away.
    pub surplus_delay: Duration,
}

/// Reserve at equal weights.
const EQUAL_WEIGHT_RESERVE: f64 = 0.1;

/// [`CapacityPolicy::shortage_delay`] at equal weights.
const EQUAL_WEIGHT_SHORTAGE_SECONDS: f64 = 60.0;

/// [`CapacityPolicy::surplus_delay`] at equal weights.
const EQUAL_WEIGHT_SURPLUS_SECONDS: f64 = 240.0;

impl From<Weights> for CapacityPolicy {
    /// Derives the policy; only the proportions of the weights matter.
    fn from(weights: Weights) -> Self {
        let sum = weights.buffer + weights.rollout + weights.moves;
        // Three zero weights count as equal.
        let share = |weight: f64| if sum > 0.0 { 3.0 * weight / sum } else { 1.0 };
        let buffer = share(weights.buffer).max(0.25);
        let moves = share(weights.moves).max(0.25);
        Self {
            reserve: EQUAL_WEIGHT_RESERVE / buffer,
            shortage_delay: Duration::from_secs_f64(EQUAL_WEIGHT_SHORTAGE_SECONDS * moves),
            surplus_delay: Duration::from_secs_f64(EQUAL_WEIGHT_SURPLUS_SECONDS * moves / buffer),
        }
    }
}

/// Estimates the duration of a wave; none if a pool allows no instance out.
///
/// `pools` gives for each pool the number of instances and how many may be out at the same time.
/// All pools proceed in parallel, the width limits their sum, and the growth from a step size of
/// one adds rounds.
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
    for &(members, room) in pools.iter().filter(|(members, _)| *members > 0) {
        if room == 0 {
            return None;
        }
        rounds = rounds.max(members.div_ceil(room));
        total += members;
        parallel += room.min(members);
    }
    let parallel = width.map_or(parallel, |width| parallel.min(width.max(1)));
    let rounds = rounds.max(total.div_ceil(parallel.max(1)));
    let growth_rounds = u32::BITS - parallel.leading_zeros();
    Some(operation * (rounds + growth_rounds.min(rounds)))
}

/// Estimates the duration of a wave over all members of its pools; none if a budget allows no
/// instance out.
#[must_use]
pub fn estimate_wave(
    view: &FleetView,
    wave: &Wave,
    seconds: f64,
    now: Duration,
) -> Option<Duration> {
    let availability_by_pool = budget::availability_by_pool(view.pool_maps(), view.instances, now);
    let mut limits = Vec::new();
    for pool_availability in wave
        .pools
        .iter()
        .filter_map(|pool| availability_by_pool.get(pool).map(|s| (pool, s)))
    {
        let (pool, pool_availability) = pool_availability;
        let allowance = view.config.allowance(pool);
        let pool_allowed = allowance.max_unavailable(pool_availability.total().members);
        for counts in [pool_availability.runners, pool_availability.workers] {
            limits.push((
                counts.members,
                allowance.max_unavailable(counts.members).min(pool_allowed),
            ));
        }
    }
    let operation_seconds = if seconds > 0.0 {
        seconds
    } else {
        ASSUMED_OPERATION_SECONDS
    };
    estimate(
        &limits,
        wave.width,
        Duration::from_secs_f64(operation_seconds),
    )
}

/// Returns the transaction that starts or resumes a wave for an operator.
///
/// # Errors
///
/// Fails if the wave does not exist, if it cannot finish before its deadline by the durations of
/// earlier runs, or if the budget of one of its pools allows no instance out.
pub fn start(view: &FleetView, name: &WaveName, now: Duration) -> Result<Txn, Code> {
    let wave = view.config.waves.get(name).ok_or(Code::WaveNotFound)?;
    let mut stored = view.waves.get(name).cloned().unwrap_or_default();
    let estimate =
        estimate_wave(view, wave, stored.value.mean_seconds, now).ok_or(Code::WaveWithoutBudget)?;
    let is_new = matches!(stored.value.phase, WavePhase::Idle | WavePhase::Finished);
    let deadline = wave.deadline.map(Duration::from_secs);
    // An estimate from the assumed duration appears only in the status and refuses no wave.
    let measured = stored.value.mean_seconds > 0.0;
    if is_new && measured && deadline.is_some_and(|deadline| estimate > deadline) {
        return Err(Code::WavePastDeadline);
    }
    stored.value.start();
    Ok(write(name, &stored))
}

/// Returns the transaction that pauses a wave for an operator; draining instances return to
/// service.
///
/// # Errors
///
/// Fails if the wave does not exist or is neither running nor halted.
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
