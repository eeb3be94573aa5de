//! Allocations that move between cells: what a cell asks for, what it gives, and what is stored.
//!
//! A cell lowers only its own allocation, in favour of another cell, by one transaction that compares
//! the revision of the stored allocations and the owner's key. So all allocations together never
//! exceed the whole. The donor counts what it gives as given from before the transaction until the
//! outcome is known, and the recipient counts it once it has seen the stored allocations.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegcart_fleet::Resources;
use nutmegcart_model::OrganisationName;
use nutmegcart_model::PoolName;
use nutmegcart_platform::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet_limit::Allowance;
use crate::fleet_limit::WHOLE;
use crate::fleet_limit::amounts;
use crate::fleet_limit::equal_allocation;
use crate::job::Step;
use crate::job::TaskKey;
use crate::organisation::Organisation;
use crate::scheduler::Scheduler;
use crate::slot::Slots;
use crate::worker::millis;

/// Amount requested for each amount that is lacking, in percent, so that allocations do not move for
/// each task.
const REQUEST_PERCENT: u128 = 150;
/// Longest time for which starts wait for cells that do not tell their use, after a limit has fallen.
/// Runs whose owner is lost have ended by then: 6 s of validity, and a lease of 5 s on a slow clock.
pub const FALL_TIMEOUT: Duration = Duration::from_secs(12);
/// Same after a take-over, when a limit may have fallen before.
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Allocations of an organisation's limit, as the store holds them.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoredAllocations {
    /// Revision of the key; 0 while it does not exist.
    pub revision: Revision,
    /// Allocations by cell, in millionths.
    pub cells: Vec<u32>,
}

impl StoredAllocations {
    /// Returns the allocations while nothing is stored.
    ///
    /// ```
    /// # use nutmegcart_jobs::limit_moves::StoredAllocations;
    /// assert_eq!(StoredAllocations::equal(3).cells, [333_333; 3]);
    /// ```
    #[must_use]
    pub fn equal(cells: u32) -> Self {
        Self {
            revision: 0,
            cells: vec![equal_allocation(cells); cells as usize],
        }
    }

    fn is_valid(&self, cells: u32) -> bool {
        let sum: u64 = self.cells.iter().copied().map(u64::from).sum();
        self.cells.len() == cells as usize && sum <= u64::from(WHOLE)
    }
}

/// A request for a part of another cell's allocation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LimitRequest {
    /// Organisation whose limit it is.
    pub organisation: OrganisationName,
    /// Number of the cell that asks.
    pub cell: u32,
    /// Wanted allocation in addition to its own, in millionths.
    pub wanted: u32,
    /// Since when its oldest task that lacks allocation has waited, by its clock in milliseconds since
    /// 1970. A span would be compared a latency later, so that each of two cells could take itself for
    /// the one that has waited longer.
    pub since_ms: u64,
    /// Latest allocations that the cell knows.
    pub known: StoredAllocations,
}

/// What a cell gives: allocations to be stored if the key still has the revision `base`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Gift {
    /// Organisation whose limit it is.
    pub organisation: OrganisationName,
    /// Revision of the key; 0 if it must not exist.
    pub base: Revision,
    /// Allocations by cell after the move, in millionths.
    pub cells: Vec<u32>,
    /// Moved allocation in millionths.
    pub moved: u32,
}

/// What the latest placement pass would have started if the limit had permitted it.
#[derive(Clone, Debug)]
pub(crate) struct Lack {
    /// Need of all tasks that were not started.
    all: Resources,
    /// Need of one of the tasks that have waited longest, and how many start together.
    first: (Resources, u32),
    /// Since when they have waited.
    since: Duration,
    /// Free capacity of the pools in which tasks were not started; more could not start anyhow.
    free: Resources,
    /// The latest of these pools.
    pool: Option<PoolName>,
}

/// Known allocations of one organisation.
#[derive(Clone, Debug)]
pub(crate) struct Ledger {
    stored: StoredAllocations,
    /// Allocation of this cell once a transaction of which the outcome is open is stored.
    giving: Option<u32>,
}

/// Starts that wait until other cells have told their use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hold {
    /// What other cells use above their allocations; none if that is not known.
    elsewhere: Option<Resources>,
    timeout: Duration,
}

/// Allocations, lacks and holds by organisation.
#[derive(Clone, Debug)]
pub(crate) struct LimitMoves {
    pub(crate) cell: u32,
    pub(crate) cells: u32,
    /// Whether the stored allocations have been read.
    loaded: bool,
    /// Time of day at the time zero of this process, in milliseconds since 1970.
    clock_zero: Option<u64>,
    ledgers: BTreeMap<OrganisationName, Ledger>,
    lacks: BTreeMap<OrganisationName, Lack>,
    holds: BTreeMap<OrganisationName, Hold>,
}

impl Default for LimitMoves {
    fn default() -> Self {
        Self {
            cell: 0,
            cells: 1,
            loaded: false,
            clock_zero: None,
            ledgers: BTreeMap::new(),
            lacks: BTreeMap::new(),
            holds: BTreeMap::new(),
        }
    }
}

impl LimitMoves {
    const fn is_loaded(&self) -> bool {
        self.loaded || self.cells <= 1
    }

    /// Returns the allocation of this cell in millionths; 0 while it is not known.
    pub(crate) fn allocation(&self, organisation: &OrganisationName) -> u32 {
        if !self.is_loaded() {
            return 0;
        }
        let Some(ledger) = self.ledgers.get(organisation) else {
            return equal_allocation(self.cells);
        };
        let own = ledger.stored.cells.get(self.cell as usize).copied();
        own.unwrap_or_default()
            .min(ledger.giving.unwrap_or(u32::MAX))
    }

    /// Returns what counts as used in other cells, or `None` if nothing may start.
    pub(crate) fn elsewhere(&self, organisation: &OrganisationName) -> Option<Resources> {
        let hold = self.holds.get(organisation);
        hold.map_or(Some(Resources::default()), |hold| hold.elsewhere)
    }

    pub(crate) fn clear_lacks(&mut self) {
        self.lacks.clear();
    }

    fn stored(&self, organisation: &OrganisationName) -> StoredAllocations {
        let ledger = self.ledgers.get(organisation);
        ledger.map_or_else(
            || StoredAllocations::equal(self.cells),
            |ledger| ledger.stored.clone(),
        )
    }

    /// Records the time of day; only the first one counts, so that the order of waits never changes.
    pub(crate) fn record_clock(&mut self, unix: u64, now: Duration) {
        let zero = unix.saturating_sub(millis(now));
        self.clock_zero.get_or_insert(zero);
    }

    fn unix_ms(&self, at: Duration) -> u64 {
        self.clock_zero
            .unwrap_or_default()
            .saturating_add(millis(at))
    }

    /// Starts to wait for the other cells because a limit is lower than before, or was not known.
    pub(crate) fn hold(&mut self, organisation: &OrganisationName, timeout: Duration) {
        if self.cells > 1 {
            let hold = Hold {
                elsewhere: None,
                timeout,
            };
            self.holds.insert(organisation.clone(), hold);
        }
    }

    pub(crate) fn retain(&mut self, keep: impl Fn(&OrganisationName) -> bool) {
        self.holds.retain(|name, _| keep(name));
    }
}

/// Returns the allocation in millionths that covers a use in every limited amount.
fn covering(limit: Resources, used: [u128; 3]) -> u32 {
    let each = amounts(limit).into_iter().zip(used);
    let limited = each.filter(|(limit, _)| *limit > 0);
    let covering = limited.map(|(limit, used)| (used * u128::from(WHOLE)).div_ceil(limit));
    let most = covering.max().unwrap_or_default();
    u32::try_from(most).unwrap_or(u32::MAX).min(WHOLE)
}

fn sum(a: [u128; 3], b: [u128; 3]) -> [u128; 3] {
    [a[0] + b[0], a[1] + b[1], a[2] + b[2]]
}

fn times(amounts: [u128; 3], factor: u128, divisor: u128) -> [u128; 3] {
    amounts.map(|amount| (amount * factor).div_ceil(divisor))
}

/// Returns whether a limit is lower than another one in some amount; 0 is no limit.
pub(crate) fn has_fallen(before: Resources, after: Resources) -> bool {
    let each = amounts(before).into_iter().zip(amounts(after));
    let mut each = each.filter(|(_, after)| *after > 0);
    each.any(|(before, after)| before == 0 || after < before)
}

/// Returns by how much a use exceeds its allocation of a limit, in each limited amount.
///
/// ```
/// # use nutmegcart_fleet::Resources;
/// # use nutmegcart_jobs::limit_moves::excess;
/// let limit = Resources::new(8_000, 0, 0);
/// assert_eq!(excess(limit, 250_000, Resources::new(3_000, 9, 0)).cpu, 1_000);
/// ```
#[must_use]
pub fn excess(limit: Resources, allocation: u32, used: Resources) -> Resources {
    let over = |limit: u64, used: u64| {
        if limit == 0 {
            return 0;
        }
        let allocated = u128::from(limit) * u128::from(allocation) / u128::from(WHOLE);
        used.saturating_sub(u64::try_from(allocated).unwrap_or(u64::MAX))
    };
    let accelerators = over(limit.accelerators.into(), used.accelerators.into());
    Resources::new(
        over(limit.cpu, used.cpu),
        over(limit.memory, used.memory),
        u32::try_from(accelerators).unwrap_or(u32::MAX),
    )
}

impl Lack {
    /// Returns the allocation with which the first task starts once all but long-running tasks have
    /// ended.
    fn minimum(&self, allowance: &Allowance) -> u32 {
        let (need, count) = (amounts(self.first.0), u128::from(self.first.1));
        let lasting = amounts(allowance.long_running + allowance.excess_elsewhere());
        covering(allowance.limit, sum(lasting, times(need, count, 1)))
    }

    /// Returns the allocation with which at least the first task starts, and all if possible.
    fn target(&self, allowance: &Allowance) -> u32 {
        let used = amounts(allowance.used + allowance.excess_elsewhere());
        let (need, count) = (amounts(self.first.0), u128::from(self.first.1));
        let first = covering(allowance.limit, sum(used, times(need, count, 1)));
        let all = times(amounts(self.all), REQUEST_PERCENT, 100);
        first.max(covering(allowance.limit, sum(used, all)))
    }
}

impl Scheduler {
    /// Sets the number of this cell, and of all cells that share the limits of organisations.
    pub fn set_cells(&mut self, cell: u32, cells: u32) {
        self.moves.cell = cell;
        self.moves.cells = cells;
        self.fair_shares.set_cells(cells);
    }

    /// Returns whether nothing of organisations with limits starts until
    /// [`Scheduler::load_allocations`].
    #[must_use]
    pub fn needs_allocations(&self) -> bool {
        let mut organisations = self.organisations.values();
        !self.moves.is_loaded() && organisations.any(Organisation::has_limit)
    }

    /// Takes over all stored allocations, read after this owner's key was written.
    pub fn load_allocations(&mut self, stored: Vec<(OrganisationName, StoredAllocations)>) {
        self.moves.loaded = true;
        for (organisation, allocations) in stored {
            self.adopt_allocations(&organisation, &allocations);
        }
    }

    /// Takes over stored allocations that another owner or the store has told, if they are newer.
    /// Returns whether they are.
    pub fn adopt_allocations(
        &mut self,
        organisation: &OrganisationName,
        stored: &StoredAllocations,
    ) -> bool {
        let moves = &mut self.moves;
        let known = moves.ledgers.get(organisation);
        let known = known.map_or(0, |ledger| ledger.stored.revision);
        if !moves.is_loaded() || stored.revision <= known || !stored.is_valid(moves.cells) {
            return false;
        }
        // A transaction under way compares an earlier revision. So it was stored before these
        // allocations, which then contain it, or it can no longer be.
        let ledger = Ledger {
            stored: stored.clone(),
            giving: None,
        };
        moves.ledgers.insert(organisation.clone(), ledger);
        true
    }

    /// Returns the latest known stored allocations.
    #[must_use]
    pub fn stored_allocations(&self, organisation: &OrganisationName) -> StoredAllocations {
        self.moves.stored(organisation)
    }

    /// Records that a task could start now if the limit of its organisation permitted it.
    pub(crate) fn record_lack(
        &mut self,
        slots: &Slots,
        key: &TaskKey,
        step: &Step,
        pending: &[u32],
    ) {
        let job = self.jobs.get(&key.job);
        let organisation = job.and_then(|job| job.accepted.organisation.clone());
        let state = job.and_then(|job| job.occurrences.get(&key.occurrence));
        let state = state.and_then(|each| each.steps.get(usize::from(key.step)));
        let first = pending.first().zip(state);
        let task = first.and_then(|(index, state)| state.tasks.get(*index as usize));
        let (Some(organisation), Some(task)) = (organisation, task) else {
            return;
        };
        let together = if step.gang { step.count } else { 1 };
        let limit = self.allowance(&organisation).map(|each| each.limit);
        let whole = Allowance {
            limit: limit.unwrap_or_default(),
            allocation: WHOLE,
            used: Resources::default(),
            long_running: Resources::default(),
            elsewhere: Some(Resources::default()),
        };
        // A gang that exceeds the whole limit never starts, and would keep others from theirs.
        if !whole.admits(step.need, together) {
            return;
        }
        let pool = job.map(|job| job.pool.clone());
        let (since, count) = (task.waiting_since, pending.len() as u64);
        let all = Resources::new(
            step.need.cpu.saturating_mul(count),
            step.need.memory.saturating_mul(count),
            u32::try_from(u64::from(step.need.accelerators).saturating_mul(count))
                .unwrap_or(u32::MAX),
        );
        let first = (step.need, together);
        let lack = self.moves.lacks.entry(organisation).or_insert(Lack {
            all: Resources::default(),
            first,
            since,
            free: Resources::default(),
            pool: None,
        });
        if lack.pool != pool {
            lack.pool = pool;
            let open = slots.items.iter().filter(|slot| !slot.reserved);
            lack.free = open.fold(lack.free, |sum, slot| sum + slot.free);
        }
        lack.all = (lack.all + all).min(lack.free);
        if since < lack.since {
            (lack.since, lack.first) = (since, first);
        }
    }

    /// Returns what this cell asks other cells for.
    #[must_use]
    pub fn limit_requests(&self) -> Vec<LimitRequest> {
        let lacks = self.moves.lacks.keys();
        lacks.filter_map(|name| self.limit_request(name)).collect()
    }

    /// Returns what this cell asks other cells for of one limit, if anything is lacking.
    #[must_use]
    pub fn limit_request(&self, name: &OrganisationName) -> Option<LimitRequest> {
        let moves = &self.moves;
        let lack = moves.lacks.get(name)?;
        let allowance = self.allowance(name)?;
        if !moves.is_loaded() || moves.elsewhere(name).is_none() {
            return None;
        }
        let own = moves.allocation(name);
        let wanted = lack.target(allowance).saturating_sub(own);
        (wanted > 0).then(|| LimitRequest {
            organisation: name.clone(),
            cell: moves.cell,
            wanted,
            since_ms: moves.unix_ms(lack.since),
            known: moves.stored(name),
        })
    }

    /// Returns the other cells that have an allocation, those with the largest first; of equal ones
    /// the next higher number first, so that cells do not all ask the same one.
    #[must_use]
    pub fn donors(&self, organisation: &OrganisationName) -> Vec<u32> {
        let (cell, cells) = (self.moves.cell, self.moves.cells);
        let stored = self.moves.stored(organisation);
        let mut donors: Vec<(u32, u32)> = (0..cells)
            .map(|number| (number, stored.cells.get(number as usize).copied()))
            .filter(|(number, _)| *number != cell)
            .filter_map(|(number, allocation)| allocation.map(|allocation| (number, allocation)))
            .filter(|(_, allocation)| *allocation > 0)
            .collect();
        donors.sort_by_key(|(number, allocation)| {
            let distance = (number + cells - cell) % cells;
            (std::cmp::Reverse(*allocation), distance)
        });
        donors.into_iter().map(|(number, _)| number).collect()
    }

    /// Decides what this cell gives to another one, and counts it as given from now on.
    ///
    /// It gives what it neither uses nor needs. Of what both need, the cell whose task has waited
    /// longer gets what is above this cell's equal allocation, or all that is unused if this cell
    /// cannot start anything with it. Otherwise two cells with large tasks would wait for each other.
    pub fn begin_gift(&mut self, request: &LimitRequest) -> Option<Gift> {
        let name = &request.organisation;
        self.adopt_allocations(name, &request.known);
        let state = &self.moves;
        let open = state.ledgers.get(name).is_some_and(|l| l.giving.is_some());
        if !state.is_loaded() || open || request.cell == state.cell {
            return None;
        }
        let stored = state.stored(name);
        let allowance = self.allowance(name)?;
        let own = state.allocation(name);
        let used = covering(allowance.limit, amounts(allowance.used));
        let kept = match state.lacks.get(name) {
            None => used,
            Some(lack) => {
                let needed = lack.target(allowance);
                let own_wait = (state.unix_ms(lack.since), state.cell);
                let older = (request.since_ms, request.cell) < own_wait;
                let stuck = lack.minimum(allowance) > own;
                match (older, stuck) {
                    (true, true) => used,
                    (true, false) => needed.min(equal_allocation(state.cells)).max(used),
                    (false, _) => needed,
                }
            }
        };
        let moved = own.saturating_sub(kept).min(request.wanted);
        let (from, to) = (state.cell as usize, request.cell as usize);
        if moved == 0 || to >= stored.cells.len() {
            return None;
        }
        let mut cells = stored.cells.clone();
        cells[from] = cells[from].saturating_sub(moved);
        cells[to] = cells[to].saturating_add(moved);
        let gift = Gift {
            organisation: name.clone(),
            base: stored.revision,
            moved,
            cells,
        };
        let ledger = Ledger {
            giving: Some(gift.cells[from]),
            stored,
        };
        self.moves.ledgers.insert(name.clone(), ledger);
        self.refresh_allocation(&gift.organisation);
        Some(gift)
    }

    /// Records that the transaction of a gift was stored at a revision, or certainly never will be.
    pub fn finish_gift(&mut self, gift: &Gift, stored: Option<Revision>) {
        if let Some(revision) = stored {
            let cells = gift.cells.clone();
            self.adopt_allocations(&gift.organisation, &StoredAllocations { revision, cells });
        } else if let Some(ledger) = self.moves.ledgers.get_mut(&gift.organisation)
            && ledger.stored.revision == gift.base
        {
            ledger.giving = None;
        }
        self.refresh_allocation(&gift.organisation);
    }

    /// Returns whether allocations have to be read, moved, or compared with those of other cells.
    #[must_use]
    pub fn wants_limits(&self) -> bool {
        let moves = &self.moves;
        let alone = moves.cells <= 1;
        !alone && (!moves.lacks.is_empty() || !moves.holds.is_empty() || self.needs_allocations())
    }

    /// Returns the allocation of a limit in millionths and what is used of it, as of the latest pass.
    #[must_use]
    pub fn limit_use(&self, organisation: &OrganisationName) -> Option<(u32, Resources)> {
        let allowance = self.allowance(organisation)?;
        Some((allowance.allocation, allowance.used))
    }

    /// Returns the configured limit of an organisation.
    #[must_use]
    pub fn limit(&self, organisation: &OrganisationName) -> Option<Resources> {
        self.organisations.get(organisation).map(|each| each.limit)
    }

    /// Returns the organisations of which nothing starts, or less, until the other cells have told
    /// their use, with the longest time to wait for cells that do not answer.
    #[must_use]
    pub fn held_limits(&self) -> Vec<(OrganisationName, Duration)> {
        let holds = self.moves.holds.iter();
        holds
            .map(|(name, hold)| (name.clone(), hold.timeout))
            .collect()
    }

    /// Returns whether the uses of other cells have been compared since a limit fell.
    #[must_use]
    pub fn is_compared(&self, organisation: &OrganisationName) -> bool {
        let hold = self.moves.holds.get(organisation);
        hold.is_none_or(|hold| hold.elsewhere.is_some())
    }

    /// Records what other cells use above their allocations of a limit, after a fall. Nothing is held
    /// back once that is nothing.
    pub fn set_excess_elsewhere(&mut self, organisation: &OrganisationName, used: Resources) {
        if used == Resources::default() {
            self.moves.holds.remove(organisation);
        } else if let Some(hold) = self.moves.holds.get_mut(organisation) {
            hold.elsewhere = Some(used);
        }
    }
}
