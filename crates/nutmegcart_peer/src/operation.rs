//! Messages about operations that run at most once.
//!
//! Each names the life of the recipient that it is meant for: another life of the same entry
//! instance has an empty ledger, and must not speak about operations of the former.

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

/// Identifier that a caller gave to its request, as in the header.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum OperationHeader {
    /// Header `Nutmegcart-Operation`.
    Operation(String),
    /// Header `Idempotency-Key`.
    Key(String),
}

/// A caller's request on its way to the owner of its operation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ForwardMessage {
    /// Who sends it.
    pub sender: PeerIdentity,
    /// Version of the roster in force at the sender.
    pub roster: RosterVersion,
    /// The owner.
    pub to: Incarnation,
    /// Identifier of the operation.
    pub operation: OperationHeader,
    /// Identifier of the request.
    #[serde(rename = "request")]
    pub request_id: String,
    /// Caller.
    pub caller: String,
    /// HTTP method.
    pub method: String,
    /// Path below `/v1/services/`.
    pub path: String,
    /// Header fields that the owner needs.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// Time until the deadline in milliseconds.
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
    /// Who sends it.
    pub sender: PeerIdentity,
    /// The operation.
    pub intent: Intent,
}

impl Message for IntentMessage {
    const PATH: &str = "intent";
    type Answer = IntentReply;
}

/// Tells a witness what became of an operation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OutcomeMessage {
    /// Who sends it.
    pub sender: PeerIdentity,
    /// The outcome.
    pub report: OutcomeReport,
}

impl Message for OutcomeMessage {
    const PATH: &str = "outcome";
    type Answer = ();
}

/// Asks a witness to record no intent of an operation from now on.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SealMessage {
    /// Who sends it.
    pub sender: PeerIdentity,
    /// Version of the roster in force at the sender.
    pub roster: RosterVersion,
    /// The witness.
    pub to: Incarnation,
    /// Operation.
    pub id: OperationId,
    /// Fingerprint of the request.
    pub fingerprint: u64,
}

impl Message for SealMessage {
    const PATH: &str = "seal";
    /// None if the recipient is another life than the witness.
    type Answer = Option<Resolution>;
}

/// Passes records of a leaving entry instance on.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HandoverMessage {
    /// Who sends it.
    pub sender: PeerIdentity,
    /// Version of the roster for which the recipients were computed.
    pub roster: RosterVersion,
    /// The recipient.
    pub to: Incarnation,
    /// Records.
    pub records: Vec<HandoverRecord>,
}

impl Message for HandoverMessage {
    const PATH: &str = "handover";
    /// Whether the records were taken over.
    type Answer = bool;
}
