//! Test doubles for the platform and for backend servers, with scripted faults.
//!
//! * [`FakePlatform`]: store, instance list and instance operations, over HTTP on loopback;
//! * [`FaultyStore`]: an in-memory store with rate limits and scripted faults;
//! * [`FakeRunner`]: a backend server with a limited number of slots and scripted faults;
//! * [`TaskWorkers`]: workers that run tasks under leases, over HTTP on loopback;
//! * [`TcpRelay`]: a TCP relay that can close connections or discard their traffic;
//! * [`Oracle`]: counts the runs on backend servers, independently of the system under test;
//! * [`cell`]: a deterministic simulation of a cell of workers and its owners.

pub mod cell;
pub mod faulty_store;
mod list_log;
pub mod oracle;
pub mod platform;
pub mod runner;
pub mod server;
mod store_api;
pub mod task_workers;
pub mod tcp_relay;
mod watch_stream;

pub use faulty_store::FaultyStore;
pub use faulty_store::StoreFaults;
pub use oracle::Oracle;
pub use platform::FakePlatform;
pub use platform::PlatformFaults;
pub use runner::Behaviour;
pub use runner::FakeRunner;
pub use task_workers::TaskWorkers;
pub use task_workers::WorkerFaults;
pub use tcp_relay::TcpRelay;
