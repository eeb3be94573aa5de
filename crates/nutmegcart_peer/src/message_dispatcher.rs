//! Decodes received messages and calls their handlers; independent of the HTTP server.

use std::collections::BTreeMap;

use derive_more::Display;
use derive_more::Error;

use crate::message;
use crate::message::Message;

/// Result of dispatching a received message.
pub type Result<T> = std::result::Result<T, DispatchError>;

/// Reason for which no handler was called.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum DispatchError {
    /// No handler is registered for the path.
    #[display("no handler for messages to path {path}")]
    UnknownPath {
        /// Path below `/peer/v1/`.
        path: String,
    },
    /// The body is not a valid message of the path's type.
    #[display("message cannot be decoded: {reason}")]
    Malformed {
        /// Error text of the decoder.
        reason: String,
    },
}

type Handler<C> = Box<dyn Fn(&C, &[u8]) -> Result<Vec<u8>> + Send + Sync>;

/// Handlers by path; each is called with a context of type `C` and the decoded message.
///
/// ```
/// # use nutmegcart_peer::{MessageDispatcher, Message, message};
/// # use serde::{Deserialize, Serialize};
/// #[derive(Serialize, Deserialize)]
/// struct Ping(u8);
/// impl Message for Ping {
///     const PATH: &str = "ping";
///     type Answer = u8;
/// }
/// let dispatcher = MessageDispatcher::default().on(|add: &u8, ping: Ping| ping.0 + add);
/// let answer = dispatcher.dispatch(&1, "ping", &message::encode(&Ping(2))).unwrap();
/// assert_eq!(message::decode::<u8>(&answer).unwrap(), 3);
/// ```
pub struct MessageDispatcher<C> {
    handlers: BTreeMap<&'static str, Handler<C>>,
}

impl<C> Default for MessageDispatcher<C> {
    fn default() -> Self {
        Self {
            handlers: BTreeMap::new(),
        }
    }
}

impl<C> MessageDispatcher<C> {
    /// Adds the handler of a message type; replaces an earlier one for the same path.
    #[must_use]
    pub fn on<M: Message + 'static>(
        mut self,
        handler: impl Fn(&C, M) -> M::Answer + Send + Sync + 'static,
    ) -> Self {
        let handler: Handler<C> = Box::new(move |context, body| {
            let message = message::decode(body).map_err(|error| DispatchError::Malformed {
                reason: error.to_string(),
            })?;
            Ok(message::encode(&handler(context, message)))
        });
        self.handlers.insert(M::PATH, handler);
        self
    }

    /// Decodes the message, calls its handler and encodes the answer.
    ///
    /// # Errors
    ///
    /// Fails for unknown paths and malformed bodies; no handler is called then.
    pub fn dispatch(&self, context: &C, path: &str, body: &[u8]) -> Result<Vec<u8>> {
        let handler = self.handlers.get(path);
        let handler = handler.ok_or_else(|| DispatchError::UnknownPath { path: path.into() })?;
        handler(context, body)
    }
}
