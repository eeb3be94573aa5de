//! Amounts of processor, memory and accelerators of a worker or a task.

use std::ops::Add;
use std::ops::AddAssign;

use nutmegcart_model::record::Job;
use serde::Deserialize;
use serde::Serialize;

/// Amounts of the resources that a worker has or a task needs.
///
/// ```
/// # use nutmegcart_fleet::Resources;
/// let worker = Resources::new(64_000, 256_000, 4);
/// assert!(Resources::new(1_000, 2_000, 1).fits(worker));
/// assert_eq!(worker.saturating_sub(Resources::new(80_000, 0, 0)).cpu, 0);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor in thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub memory: u64,
    /// Accelerators, each used by one task at a time.
    #[serde(default)]
    pub accelerators: u32,
}

impl Resources {
    /// Creates amounts from thousandths of a core, MB and a number of accelerators.
    #[must_use]
    pub const fn new(cpu: u64, memory: u64, accelerators: u32) -> Self {
        Self {
            cpu,
            memory,
            accelerators,
        }
    }

    /// Returns the resources that a job declares for each of its tasks.
    #[must_use]
    pub const fn declared(job: &Job) -> Self {
        Self::new(job.cpu, job.memory, job.accelerators)
    }

    /// Returns whether every amount is at most that of `room`.
    #[must_use]
    pub const fn fits(self, room: Self) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// Subtracts each amount, down to zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self::new(
            self.cpu.saturating_sub(other.cpu),
            self.memory.saturating_sub(other.memory),
            self.accelerators.saturating_sub(other.accelerators),
        )
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self::new(
            self.cpu.min(other.cpu),
            self.memory.min(other.memory),
            self.accelerators.min(other.accelerators),
        )
    }

    /// Returns the larger amount of each resource.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self::new(
            self.cpu.max(other.cpu),
            self.memory.max(other.memory),
            self.accelerators.max(other.accelerators),
        )
    }

    /// Returns the mean of the shares of processor and memory that this takes of `whole`.
    #[must_use]
    pub fn share(self, whole: Self) -> f64 {
        let part = |some: u64, all: u64| some as f64 / all.max(1) as f64;
        f64::midpoint(part(self.cpu, whole.cpu), part(self.memory, whole.memory))
    }
}

impl Add for Resources {
    type Output = Self;

    /// Adds each amount, up to the largest number: lists of other writers may state any.
    fn add(self, other: Self) -> Self {
        Self::new(
            self.cpu.saturating_add(other.cpu),
            self.memory.saturating_add(other.memory),
            self.accelerators.saturating_add(other.accelerators),
        )
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}
