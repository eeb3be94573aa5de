//! Membership by heartbeats: silence makes a peer suspect, never dead.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use nutmegcart_model::DataCentre;
use nutmegcart_model::Incarnation;
use nutmegcart_model::InstanceId;
use serde::Deserialize;
use serde::Serialize;

use crate::roster::Version;

/// Time between two heartbeats to the same peer.
pub const HEARTBEAT: Duration = Duration::from_secs(1);

/// Silence after which a peer is suspect: three heartbeats in a row got no answer.
pub const SILENCE: Duration = Duration::from_millis(3_500);

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
    pub roster: Version,
    /// Whether it is leaving.
    pub draining: bool,
}

/// A peer that was heard of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// What it last said.
    pub presence: Presence,
    /// When it was last heard.
    pub heard: Duration,
    former: VecDeque<Incarnation>,
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Heard {
    /// The peer was known and not suspect.
    Again,
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
/// # use nutmegcart_request::{Heard, Members, Presence};
/// let mut members = Members::default();
/// let presence = Presence {
///     centre: "suva".into(),
///     instance: "e1".into(),
///     incarnation: Incarnation(1),
///     address: "127.0.0.1:1".into(),
///     roster: Default::default(),
///     draining: false,
/// };
/// assert_eq!(members.hear(presence, Duration::ZERO), Heard::New);
/// assert!(members.is_suspect(Incarnation(1), Duration::from_secs(9)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Members {
    peers: BTreeMap<InstanceId, Peer>,
}

impl Members {
    /// Notes a heartbeat or the answer to one.
    pub fn hear(&mut self, presence: Presence, now: Duration) -> Heard {
        let Some(peer) = self.peers.get_mut(&presence.instance) else {
            let peer = Peer {
                presence,
                heard: now,
                former: VecDeque::new(),
            };
            self.peers.insert(peer.presence.instance.clone(), peer);
            return Heard::New;
        };
        if peer.former.contains(&presence.incarnation) {
            return Heard::Stale;
        }
        let heard = if peer.presence.incarnation != presence.incarnation {
            peer.former.push_back(peer.presence.incarnation);
            if peer.former.len() > FORMER_LIVES {
                peer.former.pop_front();
            }
            Heard::Restarted
        } else if now > peer.heard + SILENCE {
            Heard::Returned
        } else {
            Heard::Again
        };
        peer.presence = presence;
        peer.heard = now;
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
        peer.is_none_or(|peer| now > peer.heard + SILENCE)
    }

    /// Chooses the witness of new tickets: a peer of the same data centre if one answers.
    ///
    /// The random number spreads the load. A draining peer is not chosen.
    #[must_use]
    pub fn witness(&self, centre: &DataCentre, random: u64, now: Duration) -> Option<Incarnation> {
        let answers = |peer: &&Peer| !peer.presence.draining && now <= peer.heard + SILENCE;
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
            listed(peer.presence.incarnation) || now <= peer.heard + 10 * SILENCE
        });
    }
}
