//! Messages about operations that run at most once.
//!
//! Messages that concern a ledger name the incarnation of the recipient. A restarted entry instance
//! has an empty ledger, so it must not answer for operations of an earlier incarnation.

use nutmegcart_model::Incarnation;
use nutmegcart_request::Bytes;
use nutmegcart_request::HandoverRecord;
use nutmegcart_request::Intent;
use nutmegcart_request::IntentReply;
use nutmegcart_request::OperationId;
use nutmegcart_request::OutcomeReport;
use nutmegcart_request::Resolution;
use nutmegcart_request::RosterVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::message::Message;
use crate::message::PeerIdentity;

/// Header value with which a caller identifies the operation of its request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum OperationHeader {
    /// Value of `Nutmegcart-Operation`: a ticket and a number.
    Operation(String),
    /// Value of `Idempotency-Key`: a plain key.
    Key(String),
}

/// Forwards a caller's request to the owner of its operation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ForwardMessage {
    /// Identity of the sender.
    pub sender: PeerIdentity,
    /// Version of the roster in force at the sender.
    pub roster: RosterVersion,
    /// Incarnation of the owner.
    pub to: Incarnation,
    /// Header value that identifies the operation.
    pub operation: OperationHeader,
    /// Identifier of the request, which the runner returns in its answer.
    #[serde(rename = "request")]
    pub request_id: String,
    /// Name of the caller.
    pub caller: String,
    /// HTTP method of the request.
    pub method: String,
    /// Path and query, from `/v1/services/`.
    pub path: String,
    /// Headers with the admission class and the content type, as far as present.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Bytes,
    /// Time until the deadline in milliseconds, as of sending.
    #[serde(rename = "left")]
    pub remaining_ms: u64,
}

impl Message for ForwardMessage {
    const PATH: &str = "forward";
    type Answer = Resolution;
}

/// Asks a witness to record an operation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct IntentMessage {
    /// Identity of the sender.
    pub sender: PeerIdentity,
    /// The operation with its owner and witness.
    pub intent: Intent,
}

impl Message for IntentMessage {
    const PATH: &str = "intent";
    type Answer = IntentReply;
}

/// Reports the outcome of an operation to its witness.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OutcomeMessage {
    /// Identity of the sender.
    pub sender: PeerIdentity,
    /// Operation and outcome.
    pub report: OutcomeReport,
}

impl Message for OutcomeMessage {
    const PATH: &str = "outcome";
    type Answer = ();
}

/// Asks a witness to record no more intents for an operation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SealMessage {
    /// Identity of the sender.
    pub sender: PeerIdentity,
    /// Version of the roster in force at the sender.
    pub roster: RosterVersion,
    /// Incarnation of the witness.
    pub to: Incarnation,
    /// Identifier of the operation.
    pub id: OperationId,
    /// Fingerprint of the request, which must be the same for every retry.
    pub fingerprint: u64,
}

impl Message for SealMessage {
    const PATH: &str = "seal";
    /// `None` if the recipient is another incarnation than the witness.
    type Answer = Option<Resolution>;
}

/// Transfers ledger records of an entry instance that leaves the roster.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HandoverMessage {
    /// Identity of the sender.
    pub sender: PeerIdentity,
    /// Version of the roster for which the recipients were computed.
    pub roster: RosterVersion,
    /// Incarnation of the recipient.
    pub to: Incarnation,
    /// Records that the recipient owns or witnesses after the departure.
    pub records: Vec<HandoverRecord>,
}

impl Message for HandoverMessage {
    const PATH: &str = "handover";
    /// Whether the recipient has stored the records.
    type Answer = bool;
}
