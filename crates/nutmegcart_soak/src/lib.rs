//! Soak of whole `nutmegcart manage` processes on a stand-in platform under seeded faults.
//!
//! * [`schedule`]: the faults of a seed, a pure function;
//! * [`instance`]: processes and their signals;
//! * [`callers`]: threads that hand in, cancel and ask for jobs;
//! * [`reset`]: calls whose connection the caller resets;
//! * [`history`]: what callers, workers and processes have seen;
//! * [`checker`]: the promises, checked against the history;
//! * [`soak`]: one run of a schedule;
//! * [`plot`]: a picture of a run.

pub mod callers;
pub mod checker;
pub mod history;
pub mod instance;
pub mod plot;
pub mod reset;
pub mod schedule;
pub mod soak;
