//! Stand-ins for the platform and backend servers, with scripted faults and an oracle.
//!
//! * [`FakePlatform`]: store, instance list, drain and reboot, over HTTP on loopback;
//! * [`FaultyStore`]: the store in memory with the platform's rates and scripted faults;
//! * [`Runner`]: a backend server with slots that can fail in scripted ways;
//! * [`TcpRelay`]: a TCP relay that can be cut or silenced;
//! * [`Oracle`]: counts what really ran, independent of the system under test.

pub mod cell;
mod list_log;
pub mod oracle;
pub mod platform;
pub mod runner;
pub mod server;
mod store_api;
pub mod store_faults;
pub mod task_workers;
pub mod tcp_relay;
mod watch_stream;

pub use oracle::Oracle;
pub use platform::FakePlatform;
pub use platform::PlatformFaults;
pub use runner::Behaviour;
pub use runner::FakeRunner;
pub use store_faults::FaultyStore;
pub use store_faults::StoreFaults;
pub use task_workers::TaskWorkers;
pub use task_workers::WorkerFaults;
pub use tcp_relay::TcpRelay;
