//! Messages between entry instances over HTTP with MessagePack bodies.
//!
//! * [`message`]: the typed messages;
//! * [`Client`]: sends them with a bounded wait.

pub mod client;
pub mod message;

pub use client::Client;
pub use client::PeerError;
pub use message::ConfigSince;
pub use message::Heartbeat;
pub use message::Message;
pub use message::Sender;
