//! Stand-ins for the platform and backend servers, with scripted faults and an oracle.
//!
//! * [`Platform`]: store, instance list, drain and reboot, over HTTP on loopback;
//! * [`FaultyStore`]: the store in memory with the platform's rates and scripted faults;
//! * [`Runner`]: a backend server with slots that can fail in scripted ways;
//! * [`Link`]: a TCP relay that can be cut or silenced;
//! * [`Oracle`]: counts what really ran, independent of the system under test.

pub mod cell;
pub mod link;
mod list_log;
pub mod oracle;
pub mod platform;
pub mod runner;
pub mod server;
mod store_api;
pub mod store_faults;
mod watch_stream;
pub mod worker;

pub use link::Link;
pub use oracle::Oracle;
pub use platform::Faults;
pub use platform::Platform;
pub use runner::Behaviour;
pub use runner::Runner;
pub use store_faults::FaultyStore;
pub use store_faults::StoreFaults;
pub use worker::WorkerFaults;
pub use worker::Workers;
