//! The roster of entry instances, and who knows the operations of a plain key.

use std::collections::VecDeque;
use std::time::Duration;

use nutmegcart_model::DataCentre;
use nutmegcart_model::Incarnation;
use nutmegcart_model::InstanceId;
use nutmegcart_model::rendezvous;
use serde::Deserialize;
use serde::Serialize;

/// Time for which an operation is remembered after its last change.
pub const OPERATION_RETENTION: Duration = Duration::from_mins(10);

/// Time for which a read of the roster from the store entitles to dispatch plain keys.
///
/// A removed entry instance that cannot learn of its removal has stopped dispatching after this.
pub const CONFIRMATION_TTL: Duration = Duration::from_mins(10);

/// Time within which an owner dispatches or refuses after it asked its witness.
///
/// A thread that was suspended for longer may hold a permit that the witness has forgotten. A
/// refusal is repeated for as long.
pub const PERMIT_TTL: Duration = Duration::from_secs(30);

/// Allowance for clocks of two processes that run at different rates (1 % of the times above).
pub const CLOCK_DRIFT_MARGIN: Duration = Duration::from_secs(12);

/// Time after which no operation of an older epoch can lie within the retention time.
pub const TAKEOVER_BARRIER: Duration = Duration::from_secs(
    CONFIRMATION_TTL.as_secs()
        + PERMIT_TTL.as_secs()
        + OPERATION_RETENTION.as_secs()
        + CLOCK_DRIFT_MARGIN.as_secs(),
);

/// One life of an entry instance.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Data centre.
    pub centre: DataCentre,
    /// Name, stable over restarts.
    pub instance: InstanceId,
    /// Life of the process.
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
        /// Whether it handed its ledger to the pairs of the next epoch and stopped before.
        handed: bool,
    },
}

/// Identifies the content of a roster.
///
/// The mark tells two histories apart if a store that was restored to an older state gives out an
/// epoch twice.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct RosterVersion {
    /// Number of changes so far.
    pub epoch: u64,
    /// Random number drawn by the writer.
    #[serde(rename = "mark")]
    pub nonce: u64,
}

/// The roster as the store holds it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Roster {
    /// Version of this content.
    pub version: RosterVersion,
    /// Members, in order of joining.
    pub members: Vec<Member>,
    /// Latest changes in ascending order; the last one led to this epoch.
    pub history: VecDeque<RosterChange>,
}

/// The first two members for a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReplicaPair {
    /// Dispatches the operations of the key.
    pub owner: Incarnation,
    /// Records each intent first; none if the roster has a single member.
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
    /// Creates the first roster, from entry instances of which none has dispatched a plain key.
    #[must_use]
    pub fn initial(members: Vec<Member>, mark: u64) -> Self {
        Self {
            version: RosterVersion {
                epoch: 1,
                nonce: mark,
            },
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

    /// Returns the next roster with the member added, or none if it is listed.
    ///
    /// An earlier life of the same instance must leave first: one change per epoch.
    #[must_use]
    pub fn with_member(&self, member: Member, mark: u64) -> Option<Self> {
        let listed = |other: &Member| other.instance == member.instance;
        if self.members.iter().any(listed) {
            return None;
        }
        let mut next = self.advance(mark);
        next.members.push(member.clone());
        next.history.push_back(RosterChange::Join(member));
        Some(next)
    }

    /// Returns the next roster without the incarnation, or none if it is not listed.
    ///
    /// `handed` must be true only if the leaving member froze its ledger and every new pair of its
    /// keys received it under this very version.
    #[must_use]
    pub fn without_member(
        &self,
        incarnation: Incarnation,
        handed: bool,
        mark: u64,
    ) -> Option<Self> {
        let member = self.member(incarnation)?.clone();
        let mut next = self.advance(mark);
        next.members
            .retain(|other| other.incarnation != incarnation);
        next.history
            .push_back(RosterChange::Leave { member, handed });
        Some(next)
    }

    fn advance(&self, mark: u64) -> Self {
        let mut next = self.clone();
        next.version = RosterVersion {
            epoch: self.version.epoch + 1,
            nonce: mark,
        };
        next
    }

    /// Returns owner and witness of a key, or none if the roster is empty.
    #[must_use]
    pub fn pair(&self, key: &str) -> Option<ReplicaPair> {
        pair(self.members.iter(), key)
    }

    /// Returns owner and witness of a key once the incarnation has left.
    #[must_use]
    pub fn pair_without(&self, key: &str, incarnation: Incarnation) -> Option<ReplicaPair> {
        let others = |member: &&Member| member.incarnation != incarnation;
        pair(self.members.iter().filter(others), key)
    }

    /// Returns the members that know every operation of the key since the given epoch.
    ///
    /// Starts at the pair of that epoch, or of the oldest epoch in the history if that is later.
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
        let mut complete: Vec<Incarnation> = at_start.iter().flat_map(ReplicaPair::iter).collect();
        for change in self.history.iter().skip(recent) {
            let handed = match change {
                RosterChange::Join(member) => {
                    members.push(member);
                    false
                }
                RosterChange::Leave { member, handed } => {
                    members.retain(|other| other.incarnation != member.incarnation);
                    // A ledger that lacks operations makes nobody complete.
                    *handed && complete.contains(&member.incarnation)
                }
            };
            let Some(pair) = pair(members.iter().copied(), key) else {
                return Vec::new();
            };
            if handed {
                complete = pair.iter().collect();
            } else {
                complete.retain(|member| pair.contains(*member));
            }
        }
        complete
    }
}

fn pair<'a>(members: impl Iterator<Item = &'a Member>, key: &str) -> Option<ReplicaPair> {
    let key = key.as_bytes();
    // The data centre ranks first, so that owner and witness are near to each other.
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

/// What became of a roster that was offered by the store or a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Adoption {
    /// It is now in force.
    Adopted,
    /// It is the one in force.
    Same,
    /// It is older than the one in force.
    Older,
    /// It has the same epoch and another content; plain keys stop until a higher epoch.
    Conflict,
}

/// The roster in force at one entry instance, with the times that the barrier needs.
#[derive(Clone, Debug, Default)]
pub struct RosterView {
    roster: Roster,
    adopted: VecDeque<(u64, Duration)>,
    confirmed: Option<Duration>,
    conflict: bool,
}

impl RosterView {
    /// Returns the roster in force.
    #[must_use]
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Offers a roster; only a higher epoch replaces the one in force.
    pub fn offer(&mut self, roster: &Roster, now: Duration) -> Adoption {
        let present = self.roster.version;
        if roster.version == present {
            return Adoption::Same;
        }
        if roster.version.epoch < present.epoch {
            return Adoption::Older;
        }
        if roster.version.epoch == present.epoch {
            self.conflict = true;
            return Adoption::Conflict;
        }
        self.roster = roster.clone();
        self.conflict = false;
        self.confirmed = None;
        while self.settled_epoch(now).is_some()
            && self.adopted.len() > 1
            && self.first_is_stale(now)
        {
            self.adopted.pop_front();
        }
        self.adopted.push_back((roster.version.epoch, now));
        Adoption::Adopted
    }

    fn first_is_stale(&self, now: Duration) -> bool {
        let second = self.adopted.get(1);
        second.is_some_and(|(_, since)| *since + TAKEOVER_BARRIER <= now)
    }

    /// Notes that the store held this version at some moment after `asked`.
    pub fn confirm(&mut self, version: RosterVersion, asked: Duration) {
        if version == self.roster.version {
            self.confirmed = self.confirmed.max(Some(asked));
        }
    }

    /// Withdraws the confirmation, because the clock that it rests on cannot be trusted.
    pub fn revoke_confirmation(&mut self) {
        self.confirmed = None;
    }

    /// Returns whether plain keys may be dispatched under the version.
    ///
    /// The entry instance must be listed, and the store must have confirmed this within
    /// [`CONFIRMATION_TTL`]: others may count on its silence after that.
    #[must_use]
    pub fn may_dispatch(&self, version: RosterVersion, me: Incarnation, now: Duration) -> bool {
        let fresh = |asked: Duration| now < asked + CONFIRMATION_TTL;
        version == self.roster.version
            && !self.conflict
            && self.confirmed.is_some_and(fresh)
            && self.roster.member(me).is_some()
    }

    /// Returns the newest epoch before which no operation lies within the retention time.
    #[must_use]
    pub fn settled_epoch(&self, now: Duration) -> Option<u64> {
        let mut epochs = self.adopted.iter().rev();
        let settled = epochs.find(|(_, since)| *since + TAKEOVER_BARRIER <= now);
        settled.map(|(epoch, _)| *epoch)
    }

    /// Returns the members that know every operation of the key within the retention time.
    ///
    /// An empty list means that the key is behind the barrier.
    #[must_use]
    pub fn fully_informed(&self, key: &str, now: Duration) -> Vec<Incarnation> {
        self.roster
            .fully_informed(key, self.settled_epoch(now).unwrap_or(0))
    }

    /// Drops changes of the roster that no longer matter, before this instance writes it.
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
