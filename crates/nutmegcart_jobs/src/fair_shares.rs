//! Fair shares of organisations in the work that a cell starts.
//!
//! Load pattern: one organisation sends 7.5 times its usual rate for 7 s. Its jobs are as urgent as
//! those of others, so in order of urgency alone it would get most of the capacity, and the others
//! would lose value although they send no more than usual.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegcart_fleet::Resources;
use nutmegcart_model::OrganisationName;
use nutmegcart_model::PoolName;

use crate::job::JobId;
use crate::live_job::LiveJob;
use crate::organisation::Organisation;
use crate::rank::Coverage;
use crate::rank::Rank;
use crate::rank::Urgency;
use crate::scheduler::Scheduler;

/// Weight of all jobs together that belong to no configured organisation.
const PUBLIC_WEIGHT: f64 = 1.0;
/// Time for which an organisation collects covered starts that it does not use, and longest time
/// until it has paid back starts beyond them.
pub const CREDIT_TIME: Duration = Duration::from_secs(8);
/// Multiple of its weight that counts as covered. An organisation whose mean rate equals its weight
/// would else be in excess for half of the time, by chance alone.
const MARGIN: f64 = 1.25;
/// Least number of covered starts that an organisation collects. Its jobs are spread over cells by
/// a hash, so a small one sends none to a cell for long and then several.
const MIN_CREDIT: f64 = 3.0;
/// Time constant of the use of resources. It is shorter than a burst, so that what an organisation
/// borrows counts against it only briefly.
const USE_SECONDS: f64 = 4.0;
/// Multiple of its fair share above which the use of an organisation makes no further difference.
const MAX_LEVEL: f64 = 8.0;
/// Exponent of the multiple of its fair share that an organisation uses.
const LEVEL_EXPONENT: i32 = 3;
/// Age of a waiting job from which on it may take the turn of the oldest one.
pub const MAX_AGE: Duration = Duration::from_secs(20);
/// Number of jobs of a pool of which one is the oldest waiting one, if that is older than
/// [`MAX_AGE`]. So the least important work gets a sixteenth of the starts at least.
pub const TURN: u32 = 16;

/// Use and covered starts of one organisation.
#[derive(Clone, Debug)]
struct Member {
    weight: f64,
    /// Jobs that it may start before the next ones count as excess; below 0 if it has started more.
    credit: f64,
    /// Decayed sum of dominant share times predicted duration in seconds.
    used: f64,
    updated_at: Duration,
}

impl Member {
    fn new(weight: f64, cells: u32) -> Self {
        Self {
            weight,
            credit: depth(weight, cells),
            used: 0.0,
            updated_at: Duration::ZERO,
        }
    }

    fn update(&mut self, cells: u32, now: Duration) {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let earned = age * MARGIN * self.weight / f64::from(cells);
        self.credit = (self.credit + earned).min(depth(self.weight, cells));
        self.used *= (-age / USE_SECONDS).exp();
        self.updated_at = now;
    }
}

/// Returns the largest credit of an organisation, and the largest number of jobs that it may owe.
fn depth(weight: f64, cells: u32) -> f64 {
    (CREDIT_TIME.as_secs_f64() * weight / f64::from(cells)).max(MIN_CREDIT)
}

/// Turn of the oldest waiting job of a pool.
#[derive(Clone, Debug, Default)]
struct Turn {
    /// Jobs that have been started since the latest turn ended.
    started: u32,
    /// Job that goes first until it has ended.
    holder: Option<JobId>,
}

/// Name under which an organisation is known here; `None` for all jobs without a configured one.
pub(crate) type Name = Option<OrganisationName>;

/// An occurrence that waits, in the order of [`FairShares::arrange`].
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) rank: Rank,
    pub(crate) organisation: Name,
    /// Whether its job was started in excess of what the weight of its organisation covers.
    pub(crate) excess: bool,
    /// When it became due.
    pub(crate) due: Duration,
    pub(crate) job: JobId,
    /// Number of the occurrence of the job.
    pub(crate) occurrence: u32,
}

/// Use of a cell by organisation; without organisations it changes no order.
#[derive(Clone, Debug)]
pub(crate) struct FairShares {
    cells: u32,
    /// Capacity of all usable workers of the cell.
    capacity: Resources,
    members: BTreeMap<Name, Member>,
    turns: BTreeMap<PoolName, Turn>,
}

impl Default for FairShares {
    fn default() -> Self {
        Self {
            cells: 1,
            capacity: Resources::default(),
            members: BTreeMap::new(),
            turns: BTreeMap::new(),
        }
    }
}

impl FairShares {
    /// Applies the organisations of a configuration; known ones keep their use and credit.
    pub(crate) fn configure<'a>(&mut self, organisations: impl Iterator<Item = &'a Organisation>) {
        let weights = organisations.map(|each| (Some(each.name.clone()), each.weight));
        let mut weights: BTreeMap<Name, f64> = weights.collect();
        if !weights.is_empty() {
            weights.insert(None, PUBLIC_WEIGHT);
        }
        self.members.retain(|name, _| weights.contains_key(name));
        for (name, weight) in weights {
            let cells = self.cells;
            let member = self.members.entry(name);
            let member = member.or_insert_with(|| Member::new(weight, cells));
            member.weight = weight;
            let depth = depth(weight, cells);
            member.credit = member.credit.clamp(-depth, depth);
        }
    }

    /// Sets the number of cells, among which the jobs that the weights cover are divided.
    pub(crate) fn set_cells(&mut self, cells: u32) {
        self.cells = cells.max(1);
        for member in self.members.values_mut() {
            member.credit = member.credit.min(depth(member.weight, self.cells));
        }
    }

    /// Sets the capacity of all usable workers of the cell.
    pub(crate) const fn set_capacity(&mut self, capacity: Resources) {
        self.capacity = capacity;
    }

    /// Returns whether there are organisations.
    #[must_use]
    pub(crate) fn is_active(&self) -> bool {
        !self.members.is_empty()
    }

    /// Returns the name under which a job counts.
    fn name(&self, job: &LiveJob) -> Name {
        let known = job.accepted.organisation.clone();
        known.filter(|name| self.members.contains_key(&Some(name.clone())))
    }

    /// Counts the start of a task of a step for its predicted duration.
    pub(crate) fn record_task(&mut self, job: &LiveJob, step: u16, now: Duration) {
        let number = usize::from(step);
        let definition = job.accepted.job.steps.get(number);
        let (Some(step), Some(duration)) = (definition, job.durations.get(number)) else {
            return;
        };
        let (cells, share) = (self.cells, self.dominant_share(step.need));
        if let Some(member) = self.members.get_mut(&self.name(job)) {
            member.update(cells, now);
            member.used += share * duration.as_secs_f64();
        }
    }

    /// Counts the first start of a job in a pool; returns whether the job is in excess of what the
    /// weight of its organisation covers.
    pub(crate) fn record_job(&mut self, job: &LiveJob, now: Duration) -> bool {
        let (cells, name) = (self.cells, self.name(job));
        let Some(member) = self.members.get_mut(&name) else {
            return false;
        };
        member.update(cells, now);
        let excess = member.credit < 1.0;
        let least = -depth(member.weight, cells);
        member.credit = (member.credit - 1.0).max(least);
        let turn = self.turns.entry(job.pool.clone()).or_default();
        turn.started = turn.started.saturating_add(1);
        excess
    }

    /// Returns the largest share of any resource of the cell that a task needs.
    fn dominant_share(&self, need: Resources) -> f64 {
        let resources = [
            (need.cpu, self.capacity.cpu),
            (need.memory, self.capacity.memory),
            (need.accelerators.into(), self.capacity.accelerators.into()),
        ];
        let existing = resources.into_iter().filter(|(_, all)| *all > 0);
        let shares = existing.map(|(need, all)| need as f64 / all as f64);
        shares.fold(0.0, f64::max)
    }

    /// Sorts the waiting occurrences of a pool into the order in which they are placed.
    ///
    /// Of the jobs of an organisation that have not started, those that go first by their own rank
    /// are covered, as many as its credit allows; the others go behind the covered ones of all, also
    /// once they have started in room that was idle, as their later steps would else take the room of
    /// covered work. An
    /// organisation that uses more than its fair share goes behind others of the same class.
    pub(crate) fn arrange(&mut self, pool: &PoolName, candidates: &mut [Candidate], now: Duration) {
        sort(candidates);
        if !self.is_active() {
            return;
        }
        let levels = self.levels(candidates, now);
        let mut covered: BTreeMap<Name, f64> = BTreeMap::new();
        for candidate in &mut *candidates {
            let name = &candidate.organisation;
            let rank = &mut candidate.rank;
            if rank.urgency == Urgency::LongRunning {
                continue;
            }
            let credit = self.members.get(name).map_or(0.0, |member| member.credit);
            if rank.started {
                if candidate.excess && credit < 1.0 {
                    rank.coverage = Coverage::Excess;
                }
                continue;
            }
            let count = covered.entry(name.clone()).or_default();
            *count += 1.0;
            if *count > credit {
                rank.coverage = Coverage::Excess;
            }
            if rank.urgency != Urgency::Overdue {
                rank.key *= levels.get(name).copied().unwrap_or(1.0);
            }
        }
        self.give_turn(pool, candidates, now);
        sort(candidates);
    }

    /// Lets the holder of the turn go first; it is the oldest waiting job when the turn begins.
    fn give_turn(&mut self, pool: &PoolName, candidates: &mut [Candidate], now: Duration) {
        let Some(turn) = self.turns.get_mut(pool) else {
            return;
        };
        if turn.holder.is_none() && turn.started >= TURN {
            let waits = |each: &&Candidate| {
                !each.rank.started
                    && each.rank.urgency != Urgency::LongRunning
                    && now >= each.due + MAX_AGE
            };
            let oldest = candidates.iter().filter(waits).min_by_key(|each| each.due);
            turn.holder = oldest.map(|oldest| oldest.job.clone());
        }
        let Some(holder) = &turn.holder else {
            return;
        };
        for candidate in candidates.iter_mut().filter(|each| each.job == *holder) {
            candidate.rank.coverage = Coverage::Turn;
        }
    }

    /// Ends the turns whose job has ended, or is no longer in the cell.
    pub(crate) fn end_turns(&mut self, is_open: impl Fn(&JobId) -> bool) {
        for turn in self.turns.values_mut() {
            if turn.holder.as_ref().is_some_and(|holder| !is_open(holder)) {
                *turn = Turn::default();
            }
        }
    }

    /// Returns the factor of the sort key of each organisation that uses the cell or waits for it.
    fn levels(&mut self, candidates: &[Candidate], now: Duration) -> BTreeMap<Name, f64> {
        let cells = self.cells;
        for member in self.members.values_mut() {
            member.update(cells, now);
        }
        let waits = |name: &Name| candidates.iter().any(|each| each.organisation == *name);
        let active = |name: &Name, member: &Member| member.used > 0.01 || waits(name);
        let members = self.members.iter();
        let active: Vec<_> = members.filter(|each| active(each.0, each.1)).collect();
        let weights: f64 = active.iter().map(|(_, member)| member.weight).sum();
        let factor = |member: &Member| {
            let share = member.used / USE_SECONDS;
            let level = share * weights / member.weight;
            level.clamp(1.0, MAX_LEVEL).powi(LEVEL_EXPONENT)
        };
        let factors = active.into_iter();
        factors
            .map(|(name, member)| (name.clone(), factor(member)))
            .collect()
    }

    /// Returns an occurrence of a job that waits.
    pub(crate) fn candidate(
        &self,
        job: &LiveJob,
        occurrence: u32,
        rank: Rank,
        due: Duration,
    ) -> Candidate {
        Candidate {
            rank,
            organisation: self.is_active().then(|| self.name(job)).flatten(),
            excess: job.excess,
            due,
            job: job.id.clone(),
            occurrence,
        }
    }
}

impl Scheduler {
    /// Tells fair shares the capacity of the cell, if there are organisations.
    pub(crate) fn update_fair_capacity(&mut self, now: Duration) {
        if self.fair_shares.is_active() {
            let usable = self.workers.values().filter(|worker| worker.usable(now));
            let capacities = usable.map(|worker| worker.listing.capacity);
            let capacity = capacities.fold(Resources::default(), |sum, each| sum + each);
            self.fair_shares.set_capacity(capacity);
        }
    }
}

fn sort(candidates: &mut [Candidate]) {
    candidates.sort_by(|a, b| a.rank.compare(&b.rank).then_with(|| a.job.cmp(&b.job)));
}
