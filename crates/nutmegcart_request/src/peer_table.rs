//! Membership by heartbeats: silence makes a peer suspect, never dead.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use nutmegcart_model::DataCentre;
use nutmegcart_model::Incarnation;
use nutmegcart_model::InstanceId;
use serde::Deserialize;
use serde::Serialize;

use crate::roster::RosterVersion;

/// Time between two heartbeats to the same peer.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Silence after which a peer is suspect: three heartbeats in a row got no answer.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Former lives remembered per instance, against messages that arrive late.
const FORMER_LIVES: usize = 8;

/// What a peer says about itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Presence {
    /// Data centre.
    pub centre: DataCentre,
    /// Name, stable over restarts.
    pub instance: InstanceId,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Address of its peer interface.
    pub address: String,
    /// Version of the roster in force there.
    pub roster: RosterVersion,
    /// Whether it is leaving.
    pub draining: bool,
}

/// A peer that was heard of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// What it last said.
    pub presence: Presence,
    /// When it was last heard.
    pub last_heard: Duration,
    former: VecDeque<Incarnation>,
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatEffect {
    /// The peer was known and not suspect.
    Known,
    /// The peer is new.
    New,
    /// The peer was suspect.
    Returned,
    /// The peer was replaced by a new life of the same instance.
    Restarted,
    /// The message is from a former life and was ignored.
    Stale,
}

/// Peers by name.
///
/// ```
/// # use std::time::Duration;
/// # use nutmegcart_model::Incarnation;
/// # use nutmegcart_request::{HeartbeatEffect, PeerTable, Presence};
/// let mut members = PeerTable::default();
/// let presence = Presence {
///     centre: "suva".into(),
///     instance: "e1".into(),
///     incarnation: Incarnation(1),
///     address: "127.0.0.1:1".into(),
///     roster: Default::default(),
///     draining: false,
/// };
/// assert_eq!(members.record_heartbeat(presence, Duration::ZERO), HeartbeatEffect::New);
/// assert!(members.is_suspect(Incarnation(1), Duration::from_secs(9)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<InstanceId, Peer>,
}

impl PeerTable {
    /// Notes a heartbeat or the answer to one.
    pub fn record_heartbeat(&mut self, presence: Presence, now: Duration) -> HeartbeatEffect {
        let Some(peer) = self.peers.get_mut(&presence.instance) else {
            let peer = Peer {
                presence,
                last_heard: now,
                former: VecDeque::new(),
            };
            self.peers.insert(peer.presence.instance.clone(), peer);
            return HeartbeatEffect::New;
        };
        if peer.former.contains(&presence.incarnation) {
            return HeartbeatEffect::Stale;
        }
        let heard = if peer.presence.incarnation != presence.incarnation {
            peer.former.push_back(peer.presence.incarnation);
            if peer.former.len() > FORMER_LIVES {
                peer.former.pop_front();
            }
            HeartbeatEffect::Restarted
        } else if now > peer.last_heard + SUSPECT_TIMEOUT {
            HeartbeatEffect::Returned
        } else {
            HeartbeatEffect::Known
        };
        peer.presence = presence;
        peer.last_heard = now;
        heard
    }

    /// Returns the peer with the incarnation; none for a former life.
    #[must_use]
    pub fn peer(&self, incarnation: Incarnation) -> Option<&Peer> {
        let mut peers = self.peers.values();
        peers.find(|peer| peer.presence.incarnation == incarnation)
    }

    /// Iterates over all peers by name.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns whether nothing should be forwarded to the incarnation.
    ///
    /// True also for one that was never heard. It says nothing about what that incarnation does.
    #[must_use]
    pub fn is_suspect(&self, incarnation: Incarnation, now: Duration) -> bool {
        let peer = self.peer(incarnation);
        peer.is_none_or(|peer| now > peer.last_heard + SUSPECT_TIMEOUT)
    }

    /// Chooses the witness of new tickets: a peer of the same data centre if one answers.
    ///
    /// The random number spreads the load. A draining peer is not chosen.
    #[must_use]
    pub fn choose_witness(
        &self,
        centre: &DataCentre,
        random: u64,
        now: Duration,
    ) -> Option<Incarnation> {
        let answers =
            |peer: &&Peer| !peer.presence.draining && now <= peer.last_heard + SUSPECT_TIMEOUT;
        let able: Vec<&Peer> = self.iter().filter(answers).collect();
        let near = able.iter().filter(|peer| peer.presence.centre == *centre);
        let near: Vec<&Peer> = near.copied().collect();
        let choice = if near.is_empty() { able } else { near };
        let count = choice.len() as u64;
        let index = usize::try_from(random.checked_rem(count)?).ok()?;
        choice.get(index).map(|peer| peer.presence.incarnation)
    }

    /// Drops peers that neither the roster nor a recent heartbeat names.
    pub fn retain(&mut self, listed: impl Fn(Incarnation) -> bool, now: Duration) {
        self.peers.retain(|_, peer| {
            listed(peer.presence.incarnation) || now <= peer.last_heard + 10 * SUSPECT_TIMEOUT
        });
    }
}
