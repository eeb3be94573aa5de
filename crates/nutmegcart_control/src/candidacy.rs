//! When an instance tries to take a cell that nobody owns.

use std::time::Duration;

use nutmegcart_model::rendezvous::weight;

/// Largest delay by which the instances of a small fleet spread their attempts.
const SPREAD_MS: u64 = 60;
/// Instances for which [`SPREAD_MS`] suffices; more spread over proportionally more time.
const SMALL_FLEET: u64 = 9;
/// Delay of an instance without processor time, against the largest one.
const HANDICAP: Duration = Duration::from_millis(120);
/// Delay for each cell that an instance owns already.
const BUSY: Duration = Duration::from_millis(150);

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
    let instances = u64::try_from(candidate.instances).unwrap_or(u64::MAX);
    let spread = (SPREAD_MS * instances / SMALL_FLEET).max(SPREAD_MS);
    let turn = weight(&candidate.life.to_be_bytes(), &cell.to_be_bytes()) % spread;
    let share = if candidate.largest > 0.0 {
        (candidate.cores / candidate.largest).clamp(0.0, 1.0)
    } else {
        1.0
    };
    let owned = u32::try_from(candidate.owned).unwrap_or(u32::MAX);
    Duration::from_millis(turn) + HANDICAP.mul_f64(1.0 - share) + BUSY.saturating_mul(owned)
}
