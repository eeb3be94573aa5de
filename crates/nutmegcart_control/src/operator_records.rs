//! Operators' records: configurations and waves, from the store or, while the store fails for this
//! instance, from the memory of peers.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use nutmegcart_platform::KeyValue;
use serde::Deserialize;
use serde::Serialize;

use crate::node::Node;
use crate::peer;
use crate::peer::PeerRequest;
use crate::peer::PeerResponse;
use crate::port::OperatorRecord;
use crate::prefix_watcher::CatchUp;
use crate::prefix_watcher::KeyChange;
use crate::prefix_watcher::PrefixWatcher;

/// Interval at which an instance asks peers for a newer configuration while the store fails for it.
/// An operator may rely on a change after a few seconds.
const PEER_PERIOD: Duration = Duration::from_secs(1);
/// Timeout of such a request. A configuration of 1 MB takes 0.8 s on a link of 10 Mbit/s.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of peers asked in one round. The store may fail for some peers too; it seldom fails for
/// three of them and not for all.
const MAX_PEERS: usize = 3;

/// The entry of a configuration, as the store holds it. It contains keys of callers, so its value is
/// left out of debug output.
#[derive(Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoredConfiguration {
    /// Name of the entry.
    pub key: String,
    /// Stored bytes.
    pub value: Vec<u8>,
}

impl fmt::Debug for StoredConfiguration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "StoredConfiguration({}, {} B)",
            self.key,
            self.value.len()
        )
    }
}

/// The response to a request for a newer configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum NewerConfiguration {
    /// The configuration in force at the peer is newer.
    Found(StoredConfiguration),
    /// The peer reads the store, and knows no newer configuration.
    Missing,
    /// The peer knows no newer configuration, and the store fails for it too.
    Unknown,
}

/// Watches operators' records and applies configurations and waves.
pub async fn watch(node: Rc<Node>) {
    let directory = node.platform.directory.clone();
    let mut watcher = PrefixWatcher::new(&*directory.operator_prefix);
    watcher.catch_up = CatchUp::PresentKeys;
    watcher.last_answer = node.last_answer.clone();
    loop {
        let changes = watcher.next(&node.platform.store).await;
        node.record_store_call(watcher.reachable);
        node.records_failing.set(!watcher.reachable);
        for each in changes {
            if let KeyChange::Put(item) = each {
                apply(&node, item);
            }
        }
        node.records_view.set(watcher.view);
    }
}

/// Applies a record that the store holds. A configuration has no effect unless its version is higher
/// than the one in force.
pub fn apply(node: &Node, item: KeyValue) {
    match (node.platform.directory.parse_record)(&item) {
        Ok(OperatorRecord::Configuration(configuration)) => {
            if !node.configure(*configuration) {
                return;
            }
            *node.stored_configuration.borrow_mut() = Some(StoredConfiguration {
                key: item.key,
                value: item.value,
            });
            for view in node.views() {
                view.owner_changed.notify_one();
            }
        }
        Ok(OperatorRecord::Wave(wave)) => {
            let mut waves = node.waves.borrow_mut();
            waves.retain(|each| each.number != wave.number);
            waves.push(wave);
        }
        Err(reason) => log_event!(Event::ConfigInvalid, key = item.key, reason = reason),
    }
}

/// Answers a peer that has the configuration with the given version.
#[must_use]
pub fn newer_than(node: &Node, version: u64) -> NewerConfiguration {
    let newer = node
        .configuration
        .borrow()
        .as_ref()
        .is_some_and(|configuration| configuration.version > version);
    let stored = node.stored_configuration.borrow();
    match &*stored {
        Some(stored) if newer => NewerConfiguration::Found(stored.clone()),
        _ if node.records_failing.get() => NewerConfiguration::Unknown,
        _ => NewerConfiguration::Missing,
    }
}

/// Asks peers for a newer configuration while the store fails for this instance.
///
/// An instance that has read none yet does not ask: its first one comes from the store, so that it does
/// not begin with the outdated view of a peer.
pub async fn follow_peers(node: Rc<Node>) {
    let mut round = 0;
    loop {
        tokio::time::sleep(PEER_PERIOD).await;
        if node.records_failing.get() {
            round += 1;
            ask_peers(&node, round).await;
        }
    }
}

/// Asks peers in turn until one tells whether there is a newer configuration. Each round begins with
/// another peer.
async fn ask_peers(node: &Rc<Node>, round: usize) {
    let Some(version) = node.config_version() else {
        return;
    };
    let peers = peers(node);
    let start = round % peers.len().max(1);
    for peer in peers
        .iter()
        .cycle()
        .skip(start)
        .take(MAX_PEERS.min(peers.len()))
    {
        let request = PeerRequest::NewerConfiguration(version);
        match peer::send(node, *peer, &request, PEER_TIMEOUT).await {
            Ok(PeerResponse::NewerConfiguration(NewerConfiguration::Found(stored))) => {
                let bytes = stored.value.len();
                let item = KeyValue {
                    key: stored.key,
                    value: stored.value,
                    ..KeyValue::default()
                };
                apply(node, item);
                if node.config_version() > Some(version) {
                    log_event!(Event::ConfigFromPeer, peer = peer, bytes = bytes);
                    return;
                }
            }
            Ok(PeerResponse::NewerConfiguration(NewerConfiguration::Missing)) => return,
            Ok(_) => {}
            Err(error) => log::debug!("peer {peer} did not tell its configuration: {error}"),
        }
    }
}

/// Returns the other instances. The incarnation rotates their order, so that instances ask different
/// ones.
fn peers(node: &Node) -> Vec<SocketAddr> {
    let members = node.members.borrow();
    let others = members.values().map(|member| member.peer);
    let mut peers: Vec<_> = others.filter(|peer| *peer != node.settings.peer).collect();
    let count = u64::try_from(peers.len().max(1)).unwrap_or(1);
    let offset = usize::try_from(node.incarnation % count).unwrap_or_default();
    peers.rotate_left(offset);
    peers
}
