//! Clients of the platform: key-value store, instance list and task API.
//!
//! * [`Store`]: compare-and-swap, leases and watches, over HTTP ([`etcd`]) or in memory
//!   ([`MemoryStore`]);
//! * [`RateLimitedStore`]: a store with rate limits, health tracking and call counters;
//! * [`FleetApi`]: the instance list, and the drain, reboot and restore calls;
//! * [`TaskApi`]: the worker list, reports of workers and commands to them.
//!
//! Each client is a struct around a closure, so that tests and stand-ins can replace the transport.

pub mod etcd;
mod fixed_runners;
pub mod fleet_api;
pub mod health;
pub mod http;
pub mod memory;
pub mod rate_limited_store;
pub mod store;
pub mod task_api;
pub mod token_bucket;

pub use fleet_api::FleetApi;
pub use fleet_api::Instance;
pub use fleet_api::InstanceState;
pub use fleet_api::Role;
pub use health::Reachability;
pub use memory::MemoryStore;
pub use rate_limited_store::RateLimitedStore;
pub use store::Compare;
pub use store::KeyValue;
pub use store::LeaseId;
pub use store::Revision;
pub use store::Store;
pub use store::StoreError;
pub use store::Txn;
pub use store::TxnReply;
pub use store::WriteOp;
pub use task_api::TaskApi;
pub use token_bucket::TokenBucket;
