//! Delay before an instance tries to acquire a cell without an owner.

use std::time::Duration;

use nutmegcart_model::rendezvous::weight;

/// Jitter of the delay, multiplied by the square root of the number of instances. The others see
/// within 10 ms that a cell was acquired; of 40 instances, three try in that time.
const JITTER: Duration = Duration::from_millis(20);
/// Extra delay of an instance without any processor time; less in proportion to its share of the
/// largest instance's cores.
const SMALL_INSTANCE_DELAY: Duration = Duration::from_millis(200);
/// Extra delay for each cell that the instance owns. It exceeds [`SMALL_INSTANCE_DELAY`], so that
/// a small instance without a cell goes first.
const OWNED_CELL_DELAY: Duration = Duration::from_millis(250);

/// Number of distinct jitter values.
const JITTER_STEPS: u64 = 1_000;

/// An instance that may acquire a cell.
#[derive(Clone, Copy, Debug, Default)]
pub struct Candidate {
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Processor time that the instance may use, in cores.
    pub cores: f64,
    /// Processor time of the largest instance, in cores.
    pub largest: f64,
    /// Number of cells that the instance owns.
    pub owned: usize,
    /// Number of known instances.
    pub instances: usize,
}

/// Returns how long a candidate waits before it tries to acquire a cell without an owner.
///
/// All instances see at the same moment that the owner is gone. The delay keeps them from sending
/// competing transactions to the store, and gives priority to instances without a cell and to
/// large ones.
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
