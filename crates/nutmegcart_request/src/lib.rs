//! Request path decisions as pure state machines: routing, admission, retries, at-most-once and membership.
//!
//! * [`admission`]: bounded queue of a service with deadlines, classes and fairness;
//! * [`connection`]: which open connection to use and when to distrust one;
//! * [`departure`]: whether a runner is leaving;
//! * [`ejector`]: which runners are left out because of their outcomes;
//! * [`load`]: load reports between entry instances and time estimates;
//! * [`outcome`]: what happened to an attempt;
//! * [`path`]: the request path that joins all of them;
//! * [`retry`]: retry budget, reasons and backoff;
//! * [`router`]: which runner an attempt is sent to;
//! * [`share`]: shares of a runner between entry instances.

pub mod admission;
pub mod connection;
pub mod departure;
pub mod ejector;
pub mod load;
pub mod outcome;
pub mod path;
pub mod retry;
pub mod router;
pub mod share;
mod table;
