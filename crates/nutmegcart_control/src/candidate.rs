//! Which instance becomes the owner of a cell: the delay before one tries to acquire a cell without
//! an owner, and which ones take a cell over from an owner that does not reach the store.
//!
//! An owner of two cells may be short of processor time. Its jobs then wait, and it learns of
//! changes of the configuration seconds late.

use std::net::SocketAddr;
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
    /// Number of cells that the instance owns or is about to own.
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

/// Returns whether an instance that has waited for the delay of the candidate `before` may try to
/// acquire a cell; `current` is the instance as it is now.
///
/// Several cells may lose their owner at the same moment. An instance that is about to own one of
/// them waits again for the others, so that instances without a cell go first.
///
/// ```
/// # use nutmegcart_control::candidate::{Candidate, may_acquire};
/// let idle = Candidate::default();
/// let acquiring = Candidate { owned: 1, ..idle };
/// assert!(may_acquire(&idle, &idle));
/// assert!(!may_acquire(&idle, &acquiring));
/// ```
#[must_use]
pub const fn may_acquire(before: &Candidate, current: &Candidate) -> bool {
    current.owned <= before.owned
}

/// Returns whether an instance takes a cell over from an owner that does not reach the store, in a
/// fleet with the given number of cells.
///
/// One that owns a cell declines while there are more instances than cells. If no other one reaches
/// the store, the cell is acquired once the owner's lease has ended.
///
/// ```
/// # use nutmegcart_control::candidate::{Candidate, accepts_handoff};
/// let idle = Candidate { instances: 9, ..Candidate::default() };
/// let owner = Candidate { owned: 1, ..idle };
/// assert!(accepts_handoff(&idle, 4));
/// assert!(!accepts_handoff(&owner, 4));
/// assert!(accepts_handoff(&owner, 9));
/// ```
#[must_use]
pub const fn accepts_handoff(candidate: &Candidate, cells: usize) -> bool {
    candidate.owned == 0 || candidate.instances <= cells
}

/// An instance that may take over a cell from an owner that does not reach the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Receiver {
    /// Its address for peers.
    pub peer: SocketAddr,
    /// Processor time that it may use, in cores.
    pub cores: f64,
    /// Number of cells that it is known to own.
    pub owned: usize,
}

/// Returns the receivers in the order in which they are asked to take over a cell: those with the
/// fewest cells first, and the largest of these.
///
/// ```
/// # use nutmegcart_control::candidate::{Receiver, handoff_order};
/// let receiver = |port, cores, owned| Receiver {
///     peer: std::net::SocketAddr::from(([127, 0, 0, 1], port)),
///     cores,
///     owned,
/// };
/// let order = handoff_order(vec![receiver(1, 0.5, 1), receiver(2, 0.1, 0), receiver(3, 0.5, 0)]);
/// assert_eq!(order.iter().map(|peer| peer.port()).collect::<Vec<_>>(), [3, 2, 1]);
/// ```
#[must_use]
pub fn handoff_order(mut receivers: Vec<Receiver>) -> Vec<SocketAddr> {
    receivers.sort_by(|a, b| {
        let cells = a.owned.cmp(&b.owned);
        cells.then(b.cores.total_cmp(&a.cores))
    });
    receivers.iter().map(|receiver| receiver.peer).collect()
}
