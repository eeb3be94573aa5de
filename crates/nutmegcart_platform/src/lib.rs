//! Clients of the platform: key-value store, instance list and task interface.
//!
//! * [`Store`]: compare-and-swap, leases and watches, over HTTP ([`etcd`]) or in memory
//!   ([`MemoryStore`]);
//! * [`Guard`]: a store behind an entry instance's share of the rates, with its health;
//! * [`Fleet`]: the list of instances, draining and rebooting;
//! * [`Tasks`]: workers, and the tasks that run on them under leases.
//!
//! All are plain structs around a closure, so tests and stand-ins replace the transport.

pub mod etcd;
mod fixed;
pub mod fleet;
pub mod guard;
pub mod health;
pub mod http;
pub mod limit;
pub mod memory;
pub mod store;
pub mod tasks;

pub use fleet::Fleet;
pub use fleet::Instance;
pub use fleet::InstanceState;
pub use fleet::Role;
pub use guard::Guard;
pub use health::Reach;
pub use limit::TokenBucket;
pub use memory::MemoryStore;
pub use store::Change;
pub use store::Compare;
pub use store::KeyValue;
pub use store::LeaseId;
pub use store::Revision;
pub use store::Store;
pub use store::StoreError;
pub use store::Txn;
pub use store::TxnReply;
pub use tasks::Tasks;
