//! When an instance tries to take a cell that nobody owns.

use std::time::Duration;

use nutmegcart_model::rendezvous::weight;

/// Delay by which each instance spreads its attempts, times the square root of their number. Of 40
/// instances three try within the 10 ms in which the others learn that the cell is taken.
const SPREAD: Duration = Duration::from_millis(20);
/// Delay of an instance without processor time, against the largest one.
const HANDICAP: Duration = Duration::from_millis(200);
/// Delay for each cell that an instance owns already; a small instance without one goes first.
const BUSY: Duration = Duration::from_millis(250);

/// Steps into which the spread is divided.
const STEPS: u64 = 1_000;

/// An instance that could own a cell.
#[derive(Clone, Copy, Debug, Default)]
pub struct Candidate {
    /// Life of its process.
    pub life: u64,
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
/// # use nutmegcart_control::candidacy::{Candidate, delay};
/// let large = Candidate { life: 7, cores: 0.5, largest: 0.5, owned: 0, instances: 9 };
/// let small = Candidate { cores: 0.12, ..large };
/// let busy = Candidate { owned: 1, ..large };
/// assert!(delay(&large, 0) < delay(&small, 0));
/// assert!(delay(&small, 0) < delay(&busy, 0));
/// ```
#[must_use]
pub fn delay(candidate: &Candidate, cell: u32) -> Duration {
    let spread = SPREAD.mul_f64((candidate.instances.max(1) as f64).sqrt());
    let turn = weight(&candidate.life.to_be_bytes(), &cell.to_be_bytes()) % STEPS;
    let turn = spread.mul_f64(turn as f64 / STEPS as f64);
    let share = if candidate.largest > 0.0 {
        (candidate.cores / candidate.largest).clamp(0.0, 1.0)
    } else {
        1.0
    };
    let owned = u32::try_from(candidate.owned).unwrap_or(u32::MAX);
    turn + HANDICAP.mul_f64(1.0 - share) + BUSY.saturating_mul(owned)
}
