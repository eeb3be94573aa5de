//! Partition of a maintenance wave among cells.

use std::sync::Arc;

use crate::layout::CellLayout;
use crate::layout::apportion;
use crate::maintenance::WaveRequest;

/// Machines of a wave, by cell.
///
/// ```
/// # use nutmegcart_jobs::WaveRequest;
/// # use nutmegcart_jobs::layout::CellLayout;
/// # use nutmegcart_jobs::wave_partition::WavePartition;
/// let wave = WaveRequest { machines: vec!["m-1".into(), "m-2".into()], max_down: 1, ..WaveRequest::default() };
/// let parts = WavePartition::new(&CellLayout::default(), &wave);
/// assert_eq!(parts.reporting_cell(), 0);
/// assert_eq!(parts.part(0, &wave, |_| false), wave);
/// ```
#[derive(Clone, Debug)]
pub struct WavePartition {
    machines: Vec<Vec<Arc<str>>>,
}

impl WavePartition {
    /// Partitions the machines of a wave by the cells of `layout`.
    #[must_use]
    pub fn new(layout: &CellLayout, wave: &WaveRequest) -> Self {
        let mut machines = vec![Vec::new(); layout.cells() as usize];
        for machine in &wave.machines {
            machines[layout.cell_of_machine(machine) as usize].push(machine.clone());
        }
        Self { machines }
    }

    /// Returns the cell that reports the wave to operators, the first with a machine of it.
    #[must_use]
    pub fn reporting_cell(&self) -> usize {
        let first = self.machines.iter().position(|each| !each.is_empty());
        first.unwrap_or_default()
    }

    /// Returns the part of a cell; `finished` returns whether a cell is known to have finished its
    /// part.
    ///
    /// The machines of whole racks are spread over all cells. Owners do not consult each other, and
    /// together never exceed the wave's limit of machines that are down.
    #[must_use]
    pub fn part(
        &self,
        cell: usize,
        wave: &WaveRequest,
        finished: impl Fn(usize) -> bool,
    ) -> WaveRequest {
        let unfinished = |cell: usize| {
            if finished(cell) {
                0
            } else {
                self.machines[cell].len()
            }
        };
        let counts: Vec<usize> = (0..self.machines.len()).map(unfinished).collect();
        WaveRequest {
            machines: self.machines[cell].clone(),
            max_down: apportion(wave.max_down.max(1), &counts)[cell],
            ..wave.clone()
        }
    }

    /// Returns whether all cells other than `cell` have finished their parts.
    #[must_use]
    pub fn others_finished(&self, cell: usize, finished: impl Fn(usize) -> bool) -> bool {
        let mut others = (0..self.machines.len()).filter(|other| *other != cell);
        others.all(|other| self.machines[other].is_empty() || finished(other))
    }
}
