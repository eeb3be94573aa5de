//! The typed messages between entry instances.

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

/// A message with its path and the type of its answer.
pub trait Message: Serialize + DeserializeOwned {
    /// Path below `/peer/v1/`.
    const PATH: &str;
    /// Type of the answer.
    type Answer: Serialize + DeserializeOwned;
}

/// Who sends a message.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// Entry instance.
    pub id: InstanceId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub centre: DataCentre,
    /// Address at which it serves.
    pub address: SocketAddr,
}

/// Tells a peer that the sender is alive, and what it has; the answer tells the same of the peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who sends it.
    pub sender: PeerIdentity,
    /// Generation of the configuration in force.
    pub generation: Generation,
    /// Configuration in force, and whether the sender has caught up with the others.
    #[serde(default)]
    pub report: ConfigReport,
    /// Whether the sender is shutting down.
    pub draining: bool,
    /// Version of the roster in force at the sender.
    #[serde(default)]
    pub roster: RosterVersion,
    /// The sender's roster, in an answer to a peer that has an older one.
    #[serde(default, rename = "newer")]
    pub newer_roster: Option<Roster>,
    /// Runners in use by the sender; older versions send none.
    #[serde(default)]
    pub load: LoadReport,
}

impl Message for Heartbeat {
    const PATH: &str = "heartbeat";
    type Answer = Self;
}

/// Asks for the configuration changes after a generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigChangesRequest {
    /// Who sends it.
    pub sender: PeerIdentity,
    /// Generation in force at the sender.
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
/// Panics if the value cannot be represented in MessagePack, which the message types rule out.
#[must_use]
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    // Named fields let versions with different fields read each other.
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
