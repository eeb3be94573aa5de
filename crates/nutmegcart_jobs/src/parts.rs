//! How a maintenance wave is divided among cells.

use std::sync::Arc;

use crate::layout::Layout;
use crate::layout::shares;
use crate::upkeep::WaveRequest;

/// A wave's machines by cell.
///
/// ```
/// # use nutmegcart_jobs::WaveRequest;
/// # use nutmegcart_jobs::layout::Layout;
/// # use nutmegcart_jobs::parts::WaveParts;
/// let wave = WaveRequest { machines: vec!["m-1".into(), "m-2".into()], most: 1, ..WaveRequest::default() };
/// let parts = WaveParts::new(&Layout::default(), &wave);
/// assert_eq!(parts.lead(), 0);
/// assert_eq!(parts.of(0, &wave, |_| false), wave);
/// ```
#[derive(Clone, Debug)]
pub struct WaveParts {
    machines: Vec<Vec<Arc<str>>>,
}

impl WaveParts {
    /// Divides a wave.
    #[must_use]
    pub fn new(layout: &Layout, wave: &WaveRequest) -> Self {
        let mut machines = vec![Vec::new(); layout.cells() as usize];
        for machine in &wave.machines {
            machines[layout.cell_of_machine(machine) as usize].push(machine.clone());
        }
        Self { machines }
    }

    /// Returns the cell that tells operators of the wave, the first with a machine of it.
    #[must_use]
    pub fn lead(&self) -> usize {
        let first = self.machines.iter().position(|each| !each.is_empty());
        first.unwrap_or_default()
    }

    /// Returns a cell's part; `finished` tells which cells are known to have finished theirs.
    ///
    /// Answers a wave over whole racks, whose machines lie in all cells: no owner asks another
    /// one, and together they never exceed the wave's largest number.
    #[must_use]
    pub fn of(
        &self,
        cell: usize,
        wave: &WaveRequest,
        finished: impl Fn(usize) -> bool,
    ) -> WaveRequest {
        let open = |cell: usize| {
            if finished(cell) {
                0
            } else {
                self.machines[cell].len()
            }
        };
        let counts: Vec<usize> = (0..self.machines.len()).map(open).collect();
        WaveRequest {
            machines: self.machines[cell].clone(),
            most: shares(wave.most.max(1), &counts)[cell],
            ..wave.clone()
        }
    }

    /// Returns whether all cells other than one have finished their parts.
    #[must_use]
    pub fn others_finished(&self, cell: usize, finished: impl Fn(usize) -> bool) -> bool {
        let mut others = (0..self.machines.len()).filter(|other| *other != cell);
        others.all(|other| self.machines[other].is_empty() || finished(other))
    }
}
