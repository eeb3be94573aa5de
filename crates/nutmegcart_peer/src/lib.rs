//! Messages between entry instances over HTTP with MessagePack bodies.
//!
//! * [`message`]: presence and configuration;
//! * [`operation`]: operations that run at most once;
//! * [`Client`]: sends messages with a bounded wait;
//! * [`Dispatcher`]: maps received paths and bytes to handlers.

pub mod client;
pub mod dispatcher;
pub mod message;
pub mod operation;

pub use client::Client;
pub use client::PeerError;
pub use dispatcher::DispatchError;
pub use dispatcher::Dispatcher;
pub use message::ConfigSince;
pub use message::Heartbeat;
pub use message::Message;
pub use message::Sender;
pub use operation::Forward;
pub use operation::HandoverMessage;
pub use operation::Identifier;
pub use operation::IntentMessage;
pub use operation::OutcomeMessage;
pub use operation::Seal;
