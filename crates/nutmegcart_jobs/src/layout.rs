//! Partition of a fleet into cells, each with its own owner.
//!
//! The layout is created once and never changes, so that a machine, and the jobs that run on it,
//! never move from one cell to another. Machines that are added later, and jobs, are assigned by a
//! hash of their names.

use std::collections::BTreeMap;
use std::sync::Arc;

use nutmegcart_model::PoolName;
use nutmegcart_model::rendezvous::weight;
use serde::Deserialize;
use serde::Serialize;

use crate::job::JobId;
use crate::listing::WorkerListing;

/// Maximum number of machines of a cell. An owner spends 0.2 ms of processor time on a task, and a
/// fleet of this size starts 400 tasks/s, which the smallest instances with 0.12 cores can just
/// sustain.
pub const CELL_SIZE: usize = 100;

/// Number of workers with long-running tasks by which the loads of two cells have to differ before
/// a pool's jobs go to another cell; a wide job occupies about half as many.
const LOAD_BUCKET: u64 = 40;

/// Assignment of machines, workers and jobs to cells.
///
/// ```
/// # use nutmegcart_jobs::JobId;
/// # use nutmegcart_jobs::layout::CellLayout;
/// let layout = CellLayout::divide(vec![("m-1".into(), "gates".into())]);
/// assert_eq!(layout.cells(), 1);
/// assert_eq!(layout.cell_of_machine("m-2"), 0);
/// ```
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CellLayout {
    cells: u32,
    machines: BTreeMap<Arc<str>, u32>,
}

impl Default for CellLayout {
    fn default() -> Self {
        Self {
            cells: 1,
            machines: BTreeMap::new(),
        }
    }
}

impl CellLayout {
    /// Partitions machines, given with their pools, into equal cells of at most [`CELL_SIZE`].
    ///
    /// Every cell gets an equal part of every pool, and so of every rack: a job runs in one cell
    /// and may require any rack, and the pools have their bursts at different times.
    #[must_use]
    pub fn divide(mut machines: Vec<(Arc<str>, PoolName)>) -> Self {
        let cells = machines.len().div_ceil(CELL_SIZE).max(1);
        let cells = u32::try_from(cells).unwrap_or(u32::MAX);
        machines.sort_by(|a, b| (&a.1, &a.0).cmp(&(&b.1, &b.0)));
        let names = machines.into_iter().map(|(name, _)| name);
        let cell_numbers = (0..cells).cycle();
        Self {
            cells,
            machines: if cells > 1 {
                names.zip(cell_numbers).collect()
            } else {
                BTreeMap::new()
            },
        }
    }

    /// Returns the number of cells.
    #[must_use]
    pub const fn cells(&self) -> u32 {
        self.cells
    }

    /// Returns the cell of a job.
    #[must_use]
    pub fn cell_of_job(&self, id: &JobId) -> u32 {
        self.by_hash(id)
    }

    /// Returns the cell of a machine.
    #[must_use]
    pub fn cell_of_machine(&self, name: &str) -> u32 {
        let assigned = self.machines.get(name).copied();
        assigned.unwrap_or_else(|| self.by_hash(name))
    }

    /// Returns the cell of a worker, which is that of its machine if it is known.
    #[must_use]
    pub fn cell_of_worker(&self, listing: &WorkerListing) -> u32 {
        match &listing.machine {
            Some(machine) => self.cell_of_machine(machine),
            None => self.by_hash(&listing.id),
        }
    }

    fn by_hash(&self, name: &str) -> u32 {
        let cells = u64::from(self.cells.max(1));
        u32::try_from(weight(name.as_bytes(), b"cell") % cells).unwrap_or_default()
    }
}

/// Chooses the cell of a long-running job.
///
/// `loads` contains the number of workers with long-running tasks in each cell whose owner reported
/// it, and `rank` is the index of the job's pool among all pools. A few wide jobs may be submitted
/// at the same time and run all day; if they were assigned by a hash, some cells would use most of
/// their machines for them. Jobs of one pool share machines, so they go to the same cell unless its
/// load is far above that of another.
///
/// ```
/// # use nutmegcart_jobs::layout::cell_for_long_running;
/// assert_eq!(cell_for_long_running(&[Some(0), Some(0), Some(0)], 4), 1);
/// assert_eq!(cell_for_long_running(&[Some(9), Some(9), Some(2)], 0), 0);
/// assert_eq!(cell_for_long_running(&[Some(60), Some(45), Some(2)], 0), 2);
/// assert_eq!(cell_for_long_running(&[None, Some(9), Some(9)], 0), 1);
/// ```
#[must_use]
pub fn cell_for_long_running(loads: &[Option<u64>], rank: usize) -> u32 {
    let count = loads.len().max(1);
    let distance = |cell: usize| (cell + count - rank % count) % count;
    let load = |cell: usize| loads[cell].map_or(u64::MAX, |workers| workers / LOAD_BUCKET);
    let best = (0..loads.len()).min_by_key(|cell| (load(*cell), distance(*cell)));
    u32::try_from(best.unwrap_or_default()).unwrap_or_default()
}

/// Divides the number of machines of a wave that may be down at once among cells.
///
/// `machines` contains the number of machines of each cell, 0 if it has finished its part. Seats
/// are apportioned by the D'Hondt method: each goes to the cell with the largest quotient, so no
/// cell loses a seat when another one finishes. Owners that do not know yet that another cell has
/// finished therefore never exceed `max_down` together.
///
/// ```
/// # use nutmegcart_jobs::layout::apportion;
/// assert_eq!(apportion(5, &[10, 10, 5]), [2, 2, 1]);
/// assert_eq!(apportion(1, &[3, 9]), [0, 1]);
/// assert_eq!(apportion(9, &[2, 3]), [2, 3]);
/// ```
#[must_use]
pub fn apportion(max_down: usize, machines: &[usize]) -> Vec<usize> {
    let mut seats = vec![0; machines.len()];
    for _ in 0..max_down {
        let open = (0..machines.len()).filter(|cell| seats[*cell] < machines[*cell]);
        let quotient = |cell: &usize| machines[*cell] as f64 / (seats[*cell] + 1) as f64;
        // Among equal quotients the first cell wins, whatever the other cells are.
        let Some(next) = open.reduce(|best, cell| {
            if quotient(&cell) > quotient(&best) {
                cell
            } else {
                best
            }
        }) else {
            break;
        };
        seats[next] += 1;
    }
    seats
}
