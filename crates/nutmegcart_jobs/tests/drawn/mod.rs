//! Sessions of a simulated cell that a seed draws: jobs of every kind, faults, and their checks.

pub mod faults;
pub mod features;
pub mod session;
pub mod work;
