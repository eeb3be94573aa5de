//! Messages between entry instances over HTTP with MessagePack bodies.
//!
//! * [`message`]: the message trait, and messages on presence and configuration;
//! * [`operation`]: messages on operations that run at most once;
//! * [`PeerClient`]: sends messages with a timeout;
//! * [`MessageDispatcher`]: decodes received messages and calls their handlers.

pub mod message;
pub mod message_dispatcher;
pub mod operation;
pub mod peer_client;

pub use message::ConfigChangesRequest;
pub use message::Heartbeat;
pub use message::Message;
pub use message::PeerIdentity;
pub use message_dispatcher::DispatchError;
pub use message_dispatcher::MessageDispatcher;
pub use operation::ForwardMessage;
pub use operation::HandoverMessage;
pub use operation::IntentMessage;
pub use operation::OperationHeader;
pub use operation::OutcomeMessage;
pub use operation::SealMessage;
pub use peer_client::PeerCallError;
pub use peer_client::PeerClient;
