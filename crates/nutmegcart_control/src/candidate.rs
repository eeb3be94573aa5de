//! When an instance tries to take a cell that nobody owns.

use std::time::Duration;

use nutmegcart_model::rendezvous::weight;

/// Delay by which each instance spreads its attempts, times the square root of their number. Of 40
/// instances three try within the 10 ms in which the others learn that the cell is taken.
const JITTER: Duration = Duration::from_millis(20);
/// Delay of an instance without processor time, against the largest one.
const SMALL_INSTANCE_DELAY: Duration = Duration::from_millis(200);
/// Delay for each cell that an instance owns already; a small instance without one goes first.
const OWNED_CELL_DELAY: Duration = Duration::from_millis(250);

/// Steps into which the spread is divided.
const JITTER_STEPS: u64 = 1_000;

/// An instance that could own a cell.
#[derive(Clone, Copy, Debug, Default)]
pub struct Candidate {
    /// Life of its process.
    pub incarnation: u64,
    /// Processor time that it may use, in cores.
    pub cores: f64,
    /// Processor time of the largest instance, in cores.
    pub largest: f64,
    /// Cells that it owns.
    pub owned: usize,
    /// Instances that are known.
    pub instances: usize,
}

/// Returns how long a candidate waits before it tries to take a vacant cell.
///
/// All instances see a vacancy at the same moment. The delay keeps them from racing each other in
/// the store, and lets the largest ones and those without a cell go first.
///
/// ```
/// # use nutmegcart_control::candidate::{Candidate, acquisition_delay};
/// let large = Candidate { incarnation: 7, cores: 0.5, largest: 0.5, owned: 0, instances: 9 };
/// let small = Candidate { cores: 0.12, ..large };
/// let busy = Candidate { owned: 1, ..large };
/// assert!(acquisition_delay(&large, 0) < acquisition_delay(&small, 0));
/// assert!(acquisition_delay(&small, 0) < acquisition_delay(&busy, 0));
/// ```
#[must_use]
pub fn acquisition_delay(candidate: &Candidate, cell: u32) -> Duration {
    let max_jitter = JITTER.mul_f64((candidate.instances.max(1) as f64).sqrt());
    let jitter = weight(&candidate.incarnation.to_be_bytes(), &cell.to_be_bytes()) % JITTER_STEPS;
    let jitter = max_jitter.mul_f64(jitter as f64 / JITTER_STEPS as f64);
    let share = if candidate.largest > 0.0 {
        (candidate.cores / candidate.largest).clamp(0.0, 1.0)
    } else {
        1.0
    };
    let owned = u32::try_from(candidate.owned).unwrap_or(u32::MAX);
    jitter + SMALL_INSTANCE_DELAY.mul_f64(1.0 - share) + OWNED_CELL_DELAY.saturating_mul(owned)
}
