//! Failure detection by heartbeats: a peer that does not answer becomes suspect, never dead.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use nutmegcart_model::DataCentre;
use nutmegcart_model::Incarnation;
use nutmegcart_model::InstanceId;
use serde::Deserialize;
use serde::Serialize;

use crate::roster::RosterVersion;

/// Interval between two heartbeats to the same peer.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a message after which a peer is suspect: three unanswered heartbeats in a row.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Former incarnations remembered per instance to recognise their late messages.
const MAX_FORMER_INCARNATIONS: usize = 8;

/// State of an entry instance as it announces it in heartbeats.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Presence {
    /// Data centre in which the instance runs.
    pub centre: DataCentre,
    /// Name of the instance, stable over restarts.
    pub instance: InstanceId,
    /// Identifier of this run of the process.
    pub incarnation: Incarnation,
    /// Address of its peer interface.
    pub address: String,
    /// Version of the roster that the instance currently uses.
    pub roster: RosterVersion,
    /// Whether the instance is shutting down.
    pub draining: bool,
}

/// A known peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// State that the peer announced last.
    pub presence: Presence,
    /// Time of the last message from the peer.
    pub last_heard: Duration,
    former_incarnations: VecDeque<Incarnation>,
}

/// Effect of a heartbeat on the peer table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatEffect {
    /// The peer was known and not suspect.
    Known,
    /// The peer is new.
    New,
    /// The peer was suspect and is reachable again.
    Returned,
    /// The instance restarted: the heartbeat is from a new incarnation.
    Restarted,
    /// The message is from a former incarnation and was ignored.
    Stale,
}

/// Known peers by instance name.
///
/// ```
/// # use std::time::Duration;
/// # use nutmegcart_model::Incarnation;
/// # use nutmegcart_request::{HeartbeatEffect, PeerTable, Presence};
/// let mut peers = PeerTable::default();
/// let presence = Presence {
///     centre: "suva".into(),
///     instance: "e1".into(),
///     incarnation: Incarnation(1),
///     address: "127.0.0.1:1".into(),
///     roster: Default::default(),
///     draining: false,
/// };
/// assert_eq!(peers.record_heartbeat(presence, Duration::ZERO), HeartbeatEffect::New);
/// assert!(peers.is_suspect(Incarnation(1), Duration::from_secs(9)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<InstanceId, Peer>,
}

impl PeerTable {
    /// Records a heartbeat or the answer to one.
    pub fn record_heartbeat(&mut self, presence: Presence, now: Duration) -> HeartbeatEffect {
        let Some(peer) = self.peers.get_mut(&presence.instance) else {
            let peer = Peer {
                presence,
                last_heard: now,
                former_incarnations: VecDeque::new(),
            };
            self.peers.insert(peer.presence.instance.clone(), peer);
            return HeartbeatEffect::New;
        };
        if peer.former_incarnations.contains(&presence.incarnation) {
            return HeartbeatEffect::Stale;
        }
        let effect = if peer.presence.incarnation != presence.incarnation {
            peer.former_incarnations
                .push_back(peer.presence.incarnation);
            if peer.former_incarnations.len() > MAX_FORMER_INCARNATIONS {
                peer.former_incarnations.pop_front();
            }
            HeartbeatEffect::Restarted
        } else if now > peer.last_heard + SUSPECT_TIMEOUT {
            HeartbeatEffect::Returned
        } else {
            HeartbeatEffect::Known
        };
        peer.presence = presence;
        peer.last_heard = now;
        effect
    }

    /// Returns the peer with the incarnation, or `None` for a former or unknown incarnation.
    #[must_use]
    pub fn peer(&self, incarnation: Incarnation) -> Option<&Peer> {
        let mut peers = self.peers.values();
        peers.find(|peer| peer.presence.incarnation == incarnation)
    }

    /// Iterates over all peers in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns whether the incarnation is unreachable, so that no requests should be forwarded to
    /// it.
    ///
    /// True also for an unknown incarnation. A suspect process may still be running and
    /// dispatching.
    #[must_use]
    pub fn is_suspect(&self, incarnation: Incarnation, now: Duration) -> bool {
        let peer = self.peer(incarnation);
        peer.is_none_or(|peer| now > peer.last_heard + SUSPECT_TIMEOUT)
    }

    /// Chooses the witness for new tickets among the reachable peers that are not draining.
    ///
    /// Peers of the given data centre take precedence. `random` distributes the load.
    #[must_use]
    pub fn choose_witness(
        &self,
        centre: &DataCentre,
        random: u64,
        now: Duration,
    ) -> Option<Incarnation> {
        let is_eligible =
            |peer: &&Peer| !peer.presence.draining && now <= peer.last_heard + SUSPECT_TIMEOUT;
        let eligible: Vec<&Peer> = self.iter().filter(is_eligible).collect();
        let same_centre = eligible
            .iter()
            .filter(|peer| peer.presence.centre == *centre);
        let same_centre: Vec<&Peer> = same_centre.copied().collect();
        let candidates = if same_centre.is_empty() {
            eligible
        } else {
            same_centre
        };
        let count = candidates.len() as u64;
        let index = usize::try_from(random.checked_rem(count)?).ok()?;
        candidates.get(index).map(|peer| peer.presence.incarnation)
    }

    /// Removes peers that are not on the roster and have sent no heartbeat for ten times
    /// [`SUSPECT_TIMEOUT`].
    pub fn retain(&mut self, listed: impl Fn(Incarnation) -> bool, now: Duration) {
        self.peers.retain(|_, peer| {
            listed(peer.presence.incarnation) || now <= peer.last_heard + 10 * SUSPECT_TIMEOUT
        });
    }
}
