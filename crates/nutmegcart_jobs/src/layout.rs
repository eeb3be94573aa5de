//! Division of a fleet into cells, each with an owner of its own.
//!
//! The layout is made once and never changes, so that a machine, and the jobs that run on it,
//! never pass from one cell to another. Machines that join later, and jobs, are spread by their
//! names.

use std::collections::BTreeMap;
use std::sync::Arc;

use nutmegcart_model::PoolName;
use nutmegcart_model::rendezvous::weight;
use serde::Deserialize;
use serde::Serialize;

use crate::job::JobId;
use crate::worker::WorkerListing;

/// Machines of a cell. An owner spends 0.2 ms of processor time on a task, and a fleet of this
/// size starts 400 tasks a second, which the smallest instances of 0.12 cores can just give.
pub const CELL_SIZE: usize = 100;

/// Workers with lasting tasks by which the loads of two cells have to differ before a pool's jobs
/// leave their cell; a wide job holds about half as many.
const LASTING_STEP: u64 = 40;

/// Which cell a machine, a worker or a job belongs to.
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
    /// Divides machines, given with their pools, into cells of about [`CELL_SIZE`].
    ///
    /// Every cell gets its part of every pool, and so of every rack: a job runs in one cell and
    /// may want any rack, and the pools take turns in their demand.
    #[must_use]
    pub fn divide(mut machines: Vec<(Arc<str>, PoolName)>) -> Self {
        let cells = machines.len().div_ceil(CELL_SIZE).max(1);
        let cells = u32::try_from(cells).unwrap_or(u32::MAX);
        machines.sort_by(|a, b| (&a.1, &a.0).cmp(&(&b.1, &b.0)));
        let names = machines.into_iter().map(|(name, _)| name);
        let turns = (0..cells).cycle();
        Self {
            cells,
            machines: if cells > 1 {
                names.zip(turns).collect()
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

    /// Returns the cell of a worker, which is that of its machine.
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

/// Chooses the cell of a job whose tasks last.
///
/// `loads` holds the workers with lasting tasks in each cell, where its owner tells, and `rank`
/// the place of the job's pool among all pools. Answers the load pattern of a few wide jobs that
/// last all day and are handed in at the same moment: spread by their names, some cells would
/// give most of their machines to them. Jobs of one pool share machines, so they go to one cell
/// unless it has far more to carry than another.
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
    let turn = |cell: usize| (cell + count - rank % count) % count;
    let load = |cell: usize| loads[cell].map_or(u64::MAX, |workers| workers / LASTING_STEP);
    let best = (0..loads.len()).min_by_key(|cell| (load(*cell), turn(*cell)));
    u32::try_from(best.unwrap_or_default()).unwrap_or_default()
}

/// Divides what a wave may take out at once among the cells that have machines of it.
///
/// `machines` holds the machines of each cell that has not finished its part. Seats go one by one
/// to the cell with the most machines a seat, so a cell never loses a seat when another one
/// finishes. Two owners, one of which does not know yet that a third has finished, therefore never
/// take out more than `most` together.
///
/// ```
/// # use nutmegcart_jobs::layout::apportion;
/// assert_eq!(apportion(5, &[10, 10, 5]), [2, 2, 1]);
/// assert_eq!(apportion(1, &[3, 9]), [0, 1]);
/// assert_eq!(apportion(9, &[2, 3]), [2, 3]);
/// ```
#[must_use]
pub fn apportion(most: usize, machines: &[usize]) -> Vec<usize> {
    let mut seats = vec![0; machines.len()];
    for _ in 0..most {
        let open = (0..machines.len()).filter(|cell| seats[*cell] < machines[*cell]);
        let quotient = |cell: &usize| machines[*cell] as f64 / (seats[*cell] + 1) as f64;
        // The first of equals wins, whatever the others are.
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
