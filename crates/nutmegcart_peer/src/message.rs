//! The message trait, its encoding, and the messages on presence and configuration.

use std::net::SocketAddr;

use nutmegcart_config::ConfigDelta;
use nutmegcart_config::ConfigReport;
use nutmegcart_config::Generation;
use nutmegcart_model::DataCentre;
use nutmegcart_model::Incarnation;
use nutmegcart_model::InstanceId;
use nutmegcart_request::Roster;
use nutmegcart_request::RosterVersion;
use nutmegcart_request::load::LoadReport;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A message that one entry instance sends to another.
pub trait Message: Serialize + DeserializeOwned {
    /// Path below `/peer/v1/` to which the message is posted.
    const PATH: &str;
    /// Type of the answer in the response body.
    type Answer: Serialize + DeserializeOwned;
}

/// Identity of an entry instance in messages to its peers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// Identifier from its settings.
    pub id: InstanceId,
    /// Identifier of the running process; every start of the instance has a new one.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub centre: DataCentre,
    /// Address on which it serves.
    pub address: SocketAddr,
}

/// State of the sender, sent at regular intervals; the answer is the same state of the peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Identity of the sender.
    pub sender: PeerIdentity,
    /// Generation of the configuration in force at the sender.
    pub generation: Generation,
    /// Configuration in force at the sender, and whether the sender has caught up with the others.
    #[serde(default)]
    pub report: ConfigReport,
    /// Whether the sender is shutting down.
    pub draining: bool,
    /// Version of the roster in force at the sender.
    #[serde(default)]
    pub roster: RosterVersion,
    /// The sender's roster, in an answer to a peer with an older one.
    #[serde(default, rename = "newer")]
    pub newer_roster: Option<Roster>,
    /// Load of the sender on runners; absent in heartbeats of older versions.
    #[serde(default)]
    pub load: LoadReport,
}

impl Message for Heartbeat {
    const PATH: &str = "heartbeat";
    type Answer = Self;
}

/// Requests the configuration changes after a generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigChangesRequest {
    /// Identity of the sender.
    pub sender: PeerIdentity,
    /// Generation in force at the sender, or zero to request the complete configuration.
    pub from: Generation,
}

impl Message for ConfigChangesRequest {
    const PATH: &str = "config-since";
    type Answer = ConfigDelta;
}

/// Encodes a message or answer.
///
/// # Panics
///
/// Panics if the value cannot be represented in MessagePack; no message type has such values.
#[must_use]
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    // With named fields, versions whose messages have different fields can read each other.
    rmp_serde::to_vec_named(value).expect("message is serialisable")
}

/// Decodes a message or answer.
///
/// # Errors
///
/// Fails if the bytes are not a value of the type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}
