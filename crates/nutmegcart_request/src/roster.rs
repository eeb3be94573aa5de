//! Roster of entry instances, and the assignment of plain keys to owner and witness.
//!
//! Owner and witness of a key are the first two members by rendezvous hashing. Every change of the
//! roster starts a new epoch. A key whose owner and witness were both lost without a complete
//! handover is not dispatched until [`TAKEOVER_BARRIER`] has passed.

use std::collections::VecDeque;
use std::time::Duration;

use nutmegcart_model::DataCentre;
use nutmegcart_model::Incarnation;
use nutmegcart_model::InstanceId;
use nutmegcart_model::rendezvous;
use serde::Deserialize;
use serde::Serialize;

/// Time after its last change for which an operation must be remembered.
pub const OPERATION_RETENTION: Duration = Duration::from_mins(10);

/// Time for which a read of the roster from the store permits dispatching plain keys.
///
/// An entry instance that was removed and cannot reach the store stops dispatching after this time.
pub const CONFIRMATION_TTL: Duration = Duration::from_mins(10);

/// Time after opening an attempt within which an owner must dispatch or refuse it.
///
/// A thread that was suspended for longer may hold a permit whose record the witness has removed.
/// A refusal is repeated for the same time.
pub const PERMIT_TTL: Duration = Duration::from_secs(30);

/// Margin for clocks of two processes that run at different rates: 1 % of the times above.
pub const CLOCK_DRIFT_MARGIN: Duration = Duration::from_secs(12);

/// Time after a roster change until no operation of an older epoch is within the retention time.
pub const TAKEOVER_BARRIER: Duration = Duration::from_secs(
    CONFIRMATION_TTL.as_secs()
        + PERMIT_TTL.as_secs()
        + OPERATION_RETENTION.as_secs()
        + CLOCK_DRIFT_MARGIN.as_secs(),
);

/// One incarnation of an entry instance.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Data centre in which the instance runs.
    pub centre: DataCentre,
    /// Name of the instance, stable over restarts.
    pub instance: InstanceId,
    /// Identifier of this run of the process.
    pub incarnation: Incarnation,
    /// Address of its peer interface.
    pub address: String,
}

/// Difference between two consecutive epochs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum RosterChange {
    /// A member was added.
    Join(Member),
    /// A member was removed.
    Leave {
        /// The removed member.
        member: Member,
        /// Whether it stopped dispatching and then handed its ledger to the next owners and
        /// witnesses.
        handed: bool,
    },
}

/// Identifies the content of a roster.
///
/// If the store is restored to an older state, an epoch can be used twice; the nonce distinguishes
/// the two histories.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct RosterVersion {
    /// Number of this roster; increases by one with every change.
    pub epoch: u64,
    /// Random number drawn by the writer.
    #[serde(rename = "mark")]
    pub nonce: u64,
}

/// The roster as stored in the key-value store.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Roster {
    /// Version of this roster.
    pub version: RosterVersion,
    /// Members, in order of joining.
    pub members: Vec<Member>,
    /// Recent changes, oldest first; the last one led to the current epoch.
    pub history: VecDeque<RosterChange>,
}

/// The two members that keep the records of a plain key.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReplicaPair {
    /// Member that dispatches the operations of the key.
    pub owner: Incarnation,
    /// Member that records each intent first; `None` if the roster has a single member.
    pub witness: Option<Incarnation>,
}

impl ReplicaPair {
    /// Returns whether the incarnation is owner or witness.
    #[must_use]
    pub fn contains(&self, incarnation: Incarnation) -> bool {
        self.iter().any(|member| member == incarnation)
    }

    /// Iterates over owner and witness.
    pub fn iter(&self) -> impl Iterator<Item = Incarnation> {
        std::iter::once(self.owner).chain(self.witness)
    }
}

impl Roster {
    /// Creates the first roster; none of the members may have dispatched a plain key yet.
    #[must_use]
    pub fn initial(members: Vec<Member>, nonce: u64) -> Self {
        Self {
            version: RosterVersion { epoch: 1, nonce },
            members,
            history: VecDeque::new(),
        }
    }

    /// Returns the member with the incarnation.
    #[must_use]
    pub fn member(&self, incarnation: Incarnation) -> Option<&Member> {
        let mut members = self.members.iter();
        members.find(|member| member.incarnation == incarnation)
    }

    /// Returns the next roster with the member added, or `None` if the instance is on the roster.
    ///
    /// An earlier incarnation must be removed first, as every epoch has only one change.
    #[must_use]
    pub fn with_member(&self, member: Member, nonce: u64) -> Option<Self> {
        let listed = |other: &Member| other.instance == member.instance;
        if self.members.iter().any(listed) {
            return None;
        }
        let mut next = self.next_version(nonce);
        next.members.push(member.clone());
        next.history.push_back(RosterChange::Join(member));
        Some(next)
    }

    /// Returns the next roster without the incarnation, or `None` if it is not on the roster.
    ///
    /// `handed` must be true only if the leaving member froze its ledger and the next owners and
    /// witnesses of its keys received it under exactly this version.
    #[must_use]
    pub fn without_member(
        &self,
        incarnation: Incarnation,
        handed: bool,
        nonce: u64,
    ) -> Option<Self> {
        let member = self.member(incarnation)?.clone();
        let mut next = self.next_version(nonce);
        next.members
            .retain(|other| other.incarnation != incarnation);
        next.history
            .push_back(RosterChange::Leave { member, handed });
        Some(next)
    }

    fn next_version(&self, nonce: u64) -> Self {
        let mut next = self.clone();
        next.version = RosterVersion {
            epoch: self.version.epoch + 1,
            nonce,
        };
        next
    }

    /// Returns owner and witness of a key, or `None` if the roster is empty.
    #[must_use]
    pub fn pair(&self, key: &str) -> Option<ReplicaPair> {
        pair(self.members.iter(), key)
    }

    /// Returns the owner and witness that a key will have after the incarnation has left.
    #[must_use]
    pub fn pair_without(&self, key: &str, incarnation: Incarnation) -> Option<ReplicaPair> {
        let others = |member: &&Member| member.incarnation != incarnation;
        pair(self.members.iter().filter(others), key)
    }

    /// Returns the members that know every operation of the key since the given epoch.
    ///
    /// Starts from owner and witness at that epoch, or at the oldest epoch in the history if that
    /// is later, and follows the changes since then.
    #[must_use]
    pub fn fully_informed(&self, key: &str, since: u64) -> Vec<Incarnation> {
        let epoch = self.version.epoch;
        let steps = epoch.saturating_sub(since).min(self.history.len() as u64);
        let steps = usize::try_from(steps).unwrap_or(usize::MAX);
        let recent = self.history.len() - steps;
        let mut members: Vec<&Member> = self.members.iter().collect();
        for change in self.history.iter().skip(recent).rev() {
            match change {
                RosterChange::Join(member) => {
                    members.retain(|other| other.incarnation != member.incarnation);
                }
                RosterChange::Leave { member, .. } => members.push(member),
            }
        }
        let at_start = pair(members.iter().copied(), key);
        let mut informed: Vec<Incarnation> = at_start.iter().flat_map(ReplicaPair::iter).collect();
        for change in self.history.iter().skip(recent) {
            let handed = match change {
                RosterChange::Join(member) => {
                    members.push(member);
                    false
                }
                RosterChange::Leave { member, handed } => {
                    members.retain(|other| other.incarnation != member.incarnation);
                    // Only the handover of a complete ledger informs the next owner and witness
                    // fully.
                    *handed && informed.contains(&member.incarnation)
                }
            };
            let Some(pair) = pair(members.iter().copied(), key) else {
                return Vec::new();
            };
            if handed {
                informed = pair.iter().collect();
            } else {
                informed.retain(|member| pair.contains(*member));
            }
        }
        informed
    }
}

fn pair<'a>(members: impl Iterator<Item = &'a Member>, key: &str) -> Option<ReplicaPair> {
    let key = key.as_bytes();
    // Ranking by data centre first puts owner and witness in the same one if possible.
    let rank = |member: &Member| {
        let centre = rendezvous::weight(key, member.centre.as_bytes());
        let own = rendezvous::weight(key, member.instance.as_bytes());
        (centre, own, member.incarnation)
    };
    let mut best = None;
    let mut second = None;
    for member in members {
        let rank = Some(rank(member));
        if rank > best {
            second = best;
            best = rank;
        } else if rank > second {
            second = rank;
        }
    }
    best.map(|(_, _, owner)| ReplicaPair {
        owner,
        witness: second.map(|(_, _, witness)| witness),
    })
}

/// Result of offering a roster that was received from the store or a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Adoption {
    /// It has replaced the current roster.
    Adopted,
    /// It is the current roster.
    Same,
    /// It is older than the current roster and was ignored.
    Older,
    /// It has the epoch of the current roster but other content; no plain keys are dispatched until
    /// a higher epoch arrives.
    Conflict,
}

/// The current roster of one entry instance, with the times of its adoption and confirmation.
#[derive(Clone, Debug, Default)]
pub struct RosterView {
    roster: Roster,
    adoptions: VecDeque<(u64, Duration)>,
    confirmed_at: Option<Duration>,
    conflict: bool,
}

impl RosterView {
    /// Returns the current roster.
    #[must_use]
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Offers a roster; only one with a higher epoch replaces the current roster.
    pub fn offer(&mut self, roster: &Roster, now: Duration) -> Adoption {
        let current = self.roster.version;
        if roster.version == current {
            return Adoption::Same;
        }
        if roster.version.epoch < current.epoch {
            return Adoption::Older;
        }
        if roster.version.epoch == current.epoch {
            self.conflict = true;
            return Adoption::Conflict;
        }
        self.roster = roster.clone();
        self.conflict = false;
        self.confirmed_at = None;
        while self.settled_epoch(now).is_some()
            && self.adoptions.len() > 1
            && self.oldest_is_stale(now)
        {
            self.adoptions.pop_front();
        }
        self.adoptions.push_back((roster.version.epoch, now));
        Adoption::Adopted
    }

    fn oldest_is_stale(&self, now: Duration) -> bool {
        let second = self.adoptions.get(1);
        second.is_some_and(|(_, since)| *since + TAKEOVER_BARRIER <= now)
    }

    /// Records that the store held this version at some time after `asked`.
    pub fn confirm(&mut self, version: RosterVersion, asked: Duration) {
        if version == self.roster.version {
            self.confirmed_at = self.confirmed_at.max(Some(asked));
        }
    }

    /// Revokes the confirmation, for example because the clock is found to be unreliable.
    pub fn revoke_confirmation(&mut self) {
        self.confirmed_at = None;
    }

    /// Returns whether the member may dispatch plain keys under the version.
    ///
    /// It must be on the roster, and the store must have confirmed the roster within
    /// [`CONFIRMATION_TTL`]; other members rely on it not dispatching after that.
    #[must_use]
    pub fn may_dispatch(&self, version: RosterVersion, me: Incarnation, now: Duration) -> bool {
        let fresh = |asked: Duration| now < asked + CONFIRMATION_TTL;
        version == self.roster.version
            && !self.conflict
            && self.confirmed_at.is_some_and(fresh)
            && self.roster.member(me).is_some()
    }

    /// Returns the newest epoch such that no operation of earlier epochs is within the retention
    /// time.
    #[must_use]
    pub fn settled_epoch(&self, now: Duration) -> Option<u64> {
        let mut epochs = self.adoptions.iter().rev();
        let settled = epochs.find(|(_, since)| *since + TAKEOVER_BARRIER <= now);
        settled.map(|(epoch, _)| *epoch)
    }

    /// Returns the members that know every operation of the key within the retention time.
    ///
    /// If there are none, the key must wait for the end of [`TAKEOVER_BARRIER`].
    #[must_use]
    pub fn fully_informed(&self, key: &str, now: Duration) -> Vec<Incarnation> {
        self.roster
            .fully_informed(key, self.settled_epoch(now).unwrap_or(0))
    }

    /// Returns the current roster without the changes that are no longer needed, ready to be
    /// changed and written to the store.
    #[must_use]
    pub fn pruned(&self, now: Duration) -> Roster {
        let mut roster = self.roster.clone();
        if let Some(settled) = self.settled_epoch(now) {
            let keep = roster.version.epoch.saturating_sub(settled);
            while roster.history.len() as u64 > keep {
                roster.history.pop_front();
            }
        }
        roster
    }
}
