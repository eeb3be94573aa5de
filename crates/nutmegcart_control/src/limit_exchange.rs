//! Allocations of organisations' limits that move between the owners of cells.
//!
//! The owner of a cell that lacks allocation asks the owners of the others. A donor lowers its own
//! allocation in memory, stores the new allocations in one transaction that is fenced by its owner's
//! key, and then responds with them. Nothing is sent or read while nothing is lacking.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use nutmegcart_fleet::Resources;
use nutmegcart_jobs::limit_moves::FALL_TIMEOUT;
use nutmegcart_jobs::limit_moves::Gift;
use nutmegcart_jobs::limit_moves::LimitRequest;
use nutmegcart_jobs::limit_moves::StoredAllocations;
use nutmegcart_jobs::limit_moves::excess;
use nutmegcart_jobs::record::decode;
use nutmegcart_jobs::record::encode;
use nutmegcart_model::Event;
use nutmegcart_model::OrganisationName;
use nutmegcart_model::log_event;
use nutmegcart_platform::KeyValue;
use nutmegcart_platform::Revision;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::clock::now;
use crate::keys;
use crate::keys::CellKeys;
use crate::node::Node;
use crate::node::OwnedCell;
use crate::peer;
use crate::peer::PeerRequest;
use crate::peer::PeerResponse;
use crate::writer::STORE_RETRY_DELAY;
use crate::writer::fence_revision;

/// Least time between two rounds of requests for the same organisation.
const ROUND_PERIOD: Duration = Duration::from_millis(100);
/// Cells that are asked in one round, one after the other, until nothing is lacking.
const MAX_ASKED: usize = 4;
/// Time for which a cell that gave nothing is not asked again for the same organisation.
const REFUSAL_PAUSE: Duration = Duration::from_millis(300);
/// Time for which a cell whose owner did not answer is not asked for any organisation, so that one
/// silent owner does not delay the requests for all.
const SILENCE_PAUSE: Duration = Duration::from_secs(1);
/// Interval at which the stored allocations are read while allocation is lacking.
const READ_PERIOD: Duration = Duration::from_secs(5);
/// Writes that a donor may send at once.
const WRITE_BURST: f64 = 6.0;
/// Writes of a donor a second beyond these.
const WRITES_PER_SECOND: f64 = 4.0;
/// Attempts of a donor to store a gift when others change the allocations at the same time.
const MAX_ATTEMPTS: usize = 3;

/// Value of the key of a limit. It names the organisation, since the key may contain a hash.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitRecord {
    /// Organisation whose limit it is.
    pub organisation: OrganisationName,
    /// Allocations by cell, in millionths.
    pub cells: Vec<u32>,
}

/// State of the exchange of one owner.
#[derive(Debug, Default)]
pub struct ExchangeState {
    /// Notified when a pass lacks allocation, or allocations have to be read or compared.
    pub wanted: Notify,
    /// Names and kinds of the gauges that are set.
    pub(crate) reported: RefCell<BTreeSet<(String, &'static str)>>,
    /// Writes that were sent and not yet made up for, and the time of that count.
    writes: Cell<(f64, Duration)>,
}

impl ExchangeState {
    /// Returns whether a write may be sent now, and counts it if so.
    fn takes_write(&self, now: Duration) -> bool {
        let (sent, at) = self.writes.get();
        let elapsed = now.saturating_sub(at).as_secs_f64();
        let sent = WRITES_PER_SECOND.mul_add(-elapsed, sent).max(0.0);
        let permitted = sent + 1.0 <= WRITE_BURST;
        self.writes
            .set((if permitted { sent + 1.0 } else { sent }, now));
        permitted
    }
}

/// What the recipient remembers between rounds.
#[derive(Default)]
struct Rounds {
    /// Organisations with a round under way.
    active: HashSet<OrganisationName>,
    next: HashMap<OrganisationName, Duration>,
    paused: HashMap<(OrganisationName, u32), Duration>,
    /// Until when cells whose owner did not answer are not asked.
    silent: HashMap<u32, Duration>,
    next_read: HashMap<OrganisationName, Duration>,
    held_since: HashMap<OrganisationName, Duration>,
    /// What cells last told to use above their allocations of held limits, and when.
    excesses: HashMap<(OrganisationName, u32), (Resources, Duration)>,
    /// Held limits of which an excess elsewhere was recorded.
    compared: HashSet<OrganisationName>,
}

type SharedRounds = Rc<RefCell<Rounds>>;

impl Rounds {
    /// Returns whether a round for the organisation is due, and records that it begins if so.
    fn begin(&mut self, name: &OrganisationName) -> bool {
        let at = now();
        let due = self.next.get(name).is_none_or(|due| at >= *due);
        let begins = due && self.active.insert(name.clone());
        if begins {
            self.next.insert(name.clone(), at + ROUND_PERIOD);
        }
        begins
    }

    /// Forgets the comparisons of limits that are no longer held, or that have fallen again since.
    fn keep_held(
        &mut self,
        is_held: impl Fn(&OrganisationName) -> bool,
        is_compared: impl Fn(&OrganisationName) -> bool,
    ) {
        let compared = &self.compared;
        let keep = |name: &OrganisationName| {
            is_held(name) && (is_compared(name) || !compared.contains(name))
        };
        self.held_since.retain(|name, _| keep(name));
        self.excesses.retain(|(name, _), _| keep(name));
        let held_since = &self.held_since;
        self.compared.retain(|name| held_since.contains_key(name));
    }

    /// Returns what the cells together use above their allocations; none while a cell has told
    /// nothing yet and is still waited for. A cell that falls silent counts with what it told last.
    fn excess(
        &mut self,
        name: &OrganisationName,
        cells: &[u32],
        timeout: Duration,
        at: Duration,
    ) -> Option<Resources> {
        let since = *self.held_since.entry(name.clone()).or_insert(at);
        let mut sum = Resources::default();
        for cell in cells {
            match self.excesses.get(&(name.clone(), *cell)) {
                Some((used, told_at)) if now() < *told_at + FALL_TIMEOUT => sum += *used,
                None if now() < since + timeout => return None,
                Some(_) | None => {}
            }
        }
        Some(sum)
    }

    /// Returns the end of the latest pause of a cell; zero if it had none.
    fn last_pause(&self, name: &OrganisationName, cell: u32) -> Duration {
        let until = self.paused.get(&(name.clone(), cell)).copied();
        let silent = self.silent.get(&cell).copied();
        until.max(silent).unwrap_or_default()
    }

    /// Returns whether a cell gave nothing, or did not answer, a short time ago.
    fn is_paused(&self, name: &OrganisationName, cell: u32) -> bool {
        let until = self.paused.get(&(name.clone(), cell));
        let silent = self.silent.get(&cell);
        until.into_iter().chain(silent).any(|until| now() < *until)
    }
}

/// Reads the allocations before anything of an organisation starts, requests what is lacking, and
/// compares uses after a limit has fallen, until the ownership ends.
pub async fn run(node: Rc<Node>, owned: Rc<OwnedCell>) {
    let rounds: SharedRounds = Rc::default();
    while !owned.has_ended() {
        // The timeout only ends the task with the ownership.
        let wanted = owned.state.limits.wanted.notified();
        if tokio::time::timeout(READ_PERIOD, wanted).await.is_err() {
            continue;
        }
        if !owned.state.loaded.get() || !owned.may_act(node.owner_validity()) {
            continue;
        }
        if owned.scheduler.borrow().needs_allocations() {
            load(&node, &owned).await;
            continue;
        }
        compare_uses(&node, &owned, &rounds).await;
        let requests = owned.scheduler.borrow().limit_requests();
        for request in requests {
            if rounds.borrow_mut().begin(&request.organisation) && !owned.has_ended() {
                let (node, owned, rounds) = (node.clone(), owned.clone(), rounds.clone());
                // Rounds of different organisations do not wait for each other.
                tokio::task::spawn_local(async move {
                    let name = request.organisation.clone();
                    round(&node, &owned, &rounds, request).await;
                    rounds.borrow_mut().active.remove(&name);
                });
            }
        }
    }
}

/// Reads all stored allocations.
async fn load(node: &Rc<Node>, owned: &Rc<OwnedCell>) {
    match (node.platform.store.range)(keys::LIMIT_PREFIX.into()).await {
        Ok(reply) => {
            let stored = reply.items.iter().filter_map(parse).collect();
            owned.scheduler.borrow_mut().load_allocations(stored);
            owned.pass_wanted.notify_one();
        }
        Err(error) => {
            log::debug!("allocations of limits not read: {error}");
            tokio::time::sleep(STORE_RETRY_DELAY).await;
        }
    }
}

fn parse(item: &KeyValue) -> Option<(OrganisationName, StoredAllocations)> {
    match decode::<LimitRecord>(&item.value) {
        Ok(record) => {
            let stored = StoredAllocations {
                revision: item.modified,
                cells: record.cells,
            };
            Some((record.organisation, stored))
        }
        Err(error) => {
            log_event!(Event::JobRecordInvalid, key = item.key, reason = error);
            None
        }
    }
}

/// Asks other owners, those with the largest allocation first, until nothing is lacking.
async fn round(
    node: &Rc<Node>,
    owned: &Rc<OwnedCell>,
    rounds: &SharedRounds,
    mut request: LimitRequest,
) {
    let name = request.organisation.clone();
    let mut donors = owned.scheduler.borrow().donors(&name);
    // Cells that gave nothing or did not answer come last, so that every cell is asked in turn.
    donors.sort_by_key(|cell| rounds.borrow().last_pause(&name, *cell));
    let mut asked_cells = 0;
    for cell in donors {
        // Another round may have found out meanwhile that its owner is silent.
        if asked_cells >= MAX_ASKED || rounds.borrow().is_paused(&name, cell) {
            continue;
        }
        asked_cells += 1;
        let asked = PeerRequest::Limit(cell, request.clone());
        let answer = peer::ask_owner(node, &asked).await;
        let outcome = if let Ok(PeerResponse::Limit(stored)) = answer {
            let newer = {
                let mut scheduler = owned.scheduler.borrow_mut();
                scheduler.adopt_allocations(&name, &stored)
            };
            // A pass starts what the allocation now permits.
            owned.pass_wanted.notify_one();
            if newer {
                "given"
            } else {
                let until = now() + REFUSAL_PAUSE;
                let key = (name.clone(), cell);
                rounds.borrow_mut().paused.insert(key, until);
                "refused"
            }
        } else {
            let until = now() + SILENCE_PAUSE;
            rounds.borrow_mut().silent.insert(cell, until);
            "unanswered"
        };
        node.metrics.limit_moves.with_label_values(&[outcome]).inc();
        let next = owned.scheduler.borrow().limit_request(&name);
        match next {
            Some(next) if !owned.has_ended() => request = next,
            _ => return,
        }
    }
    read_stored(node, owned, rounds, &name).await;
}

/// Reads the stored allocations of one limit now and then, in case that all responses were lost.
async fn read_stored(
    node: &Rc<Node>,
    owned: &Rc<OwnedCell>,
    rounds: &SharedRounds,
    name: &OrganisationName,
) {
    let at = now();
    {
        let mut rounds = rounds.borrow_mut();
        let due = rounds.next_read.entry(name.clone());
        let due = due.or_insert(at + READ_PERIOD);
        if at < *due {
            return;
        }
        *due = at + READ_PERIOD;
    }
    match (node.platform.store.get)(keys::limit(name)).await {
        Ok(item) => {
            if let Some((_, stored)) = item.as_ref().and_then(parse) {
                let mut scheduler = owned.scheduler.borrow_mut();
                scheduler.adopt_allocations(name, &stored);
                owned.pass_wanted.notify_one();
            }
        }
        Err(error) => log::debug!("allocations of {name} not read: {error}"),
    }
}

/// Answers a request of another instance for a part of an owned cell's allocation.
pub(crate) async fn answer(node: &Rc<Node>, cell: u32, request: &LimitRequest) -> PeerResponse {
    let cells = node.cells();
    let view = cells.and_then(|cells| cells.views.get(cell as usize).cloned());
    match view.and_then(|view| node.active_cell(&view)) {
        Some(owned) => give(node, &owned, request).await,
        None => PeerResponse::NotOwner,
    }
}

/// Gives a part of the allocation if it is not needed, and returns the stored allocations.
pub(crate) async fn give(
    node: &Rc<Node>,
    owned: &Rc<OwnedCell>,
    request: &LimitRequest,
) -> PeerResponse {
    let (node, owned, request) = (node.clone(), owned.clone(), request.clone());
    // The outcome must become known also if the recipient no longer waits.
    let given = tokio::task::spawn_local(async move {
        for _ in 0..MAX_ATTEMPTS {
            if node.failing_since.get().is_some() || !owned.state.limits.takes_write(now()) {
                break;
            }
            let gift = owned.scheduler.borrow_mut().begin_gift(&request);
            let Some(gift) = gift else {
                break;
            };
            if store(&node, &owned, &gift).await {
                log_event!(
                    Event::LimitMoved,
                    organisation = gift.organisation,
                    cell = owned.view.number,
                    to = request.cell,
                    millionths = gift.moved
                );
                break;
            }
        }
        let scheduler = owned.scheduler.borrow();
        PeerResponse::Limit(scheduler.stored_allocations(&request.organisation))
    });
    given.await.unwrap_or(PeerResponse::NotOwner)
}

/// Sends the transaction of a gift until its outcome is known or the ownership has ended; returns
/// whether this attempt was stored.
async fn store(node: &Rc<Node>, owned: &Rc<OwnedCell>, gift: &Gift) -> bool {
    let txn = transaction(&owned.view.keys, fence_revision(owned), gift);
    let key = keys::limit(&gift.organisation);
    let mut answer_lost = false;
    while !owned.has_ended() {
        match (node.platform.store.txn)(txn.clone()).await {
            Ok(reply) if reply.committed => {
                let mut scheduler = owned.scheduler.borrow_mut();
                scheduler.finish_gift(gift, Some(reply.revision));
                node.metrics
                    .limit_moves
                    .with_label_values(&["stored"])
                    .inc();
                return true;
            }
            Ok(reply) => {
                let find = |key: &str| reply.found.iter().find(|item| item.key == key);
                let holder = find(&owned.view.keys.owner());
                if holder.is_none_or(|item| item.modified != fence_revision(owned)) {
                    owned.end_ownership("the owner's key has changed");
                    return false;
                }
                let mut scheduler = owned.scheduler.borrow_mut();
                if let Some((name, stored)) = find(&key).and_then(parse) {
                    scheduler.adopt_allocations(&name, &stored);
                }
                scheduler.finish_gift(gift, None);
                node.metrics
                    .limit_moves
                    .with_label_values(&["conflict"])
                    .inc();
                return false;
            }
            Err(StoreError::AnswerLost { .. }) => answer_lost = true,
            Err(_) if answer_lost => {}
            Err(error) => {
                log::debug!("allocation of {} not moved: {error}", gift.organisation);
                owned.scheduler.borrow_mut().finish_gift(gift, None);
                return false;
            }
        }
        tokio::time::sleep(STORE_RETRY_DELAY).await;
    }
    false
}

/// Returns the transaction of a gift of a cell, given by its keys and the fencing token.
#[must_use]
pub fn transaction(own: &CellKeys, fence: Revision, gift: &Gift) -> Txn {
    let key = keys::limit(&gift.organisation);
    let txn = Txn::default().unchanged(own.owner(), fence);
    let txn = if gift.base == 0 {
        txn.absent(key.clone())
    } else {
        txn.unchanged(key.clone(), gift.base)
    };
    let record = LimitRecord {
        organisation: gift.organisation.clone(),
        cells: gift.cells.clone(),
    };
    txn.or_read(own.owner())
        .or_read(key.clone())
        .put(key, encode(&record))
}

/// Asks all other owners what they use above their allocations of limits that have fallen.
async fn compare_uses(node: &Rc<Node>, owned: &Rc<OwnedCell>, rounds: &SharedRounds) {
    let held = owned.scheduler.borrow().held_limits();
    let at = now();
    let is_held = |name: &OrganisationName| held.iter().any(|(other, _)| other == name);
    rounds
        .borrow_mut()
        .keep_held(is_held, |name| owned.scheduler.borrow().is_compared(name));
    let version = node
        .configuration
        .borrow()
        .as_ref()
        .map(|each| each.version);
    let (Some(cells), Some(version)) = (node.cells(), version) else {
        return;
    };
    if held.is_empty() {
        return;
    }
    let names: Vec<OrganisationName> = held.iter().map(|(name, _)| name.clone()).collect();
    let others = cells.views.iter().map(|view| view.number);
    let others = others.filter(|cell| *cell != owned.view.number);
    let asked: Vec<_> = others
        .map(|cell| {
            let (node, request) = (node.clone(), PeerRequest::LimitUse(cell, names.clone()));
            let answer = async move { peer::ask_owner(&node, &request).await };
            (cell, tokio::task::spawn_local(answer))
        })
        .collect();
    let mut cells = Vec::new();
    for (cell, answer) in asked {
        cells.push(cell);
        // An owner with an earlier configuration may still start under a higher limit.
        if let Ok(Ok(PeerResponse::LimitUse(seen, uses))) = answer.await
            && seen >= version
            && uses.len() == names.len()
        {
            let scheduler = owned.scheduler.borrow();
            let mut rounds = rounds.borrow_mut();
            for (name, (allocation, used)) in names.iter().zip(uses) {
                let limit = scheduler.limit(name).unwrap_or_default();
                let told = (excess(limit, allocation, used), now());
                rounds.excesses.insert((name.clone(), cell), told);
            }
        }
    }
    for (name, timeout) in held {
        let sum = rounds.borrow_mut().excess(&name, &cells, timeout, at);
        if let Some(sum) = sum {
            if sum != Resources::default() {
                rounds.borrow_mut().compared.insert(name.clone());
            }
            owned
                .scheduler
                .borrow_mut()
                .set_excess_elsewhere(&name, sum);
            owned.pass_wanted.notify_one();
        }
    }
    // The next pass asks for another comparison.
    tokio::time::sleep(ROUND_PERIOD / 2).await;
}
