//! Messages between the owners of cells, and their transactions on the store.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegcart_fleet::Resources;
use nutmegcart_jobs::Organisation;
use nutmegcart_jobs::limit_moves::Gift;
use nutmegcart_jobs::limit_moves::LimitRequest;
use nutmegcart_jobs::limit_moves::StoredAllocations;
use nutmegcart_jobs::limit_moves::excess;
use nutmegcart_model::OrganisationName;
use rand::Rng;

use super::Fleet;
use super::OwnerId;
use crate::support::seconds;

const LATENCY: Duration = Duration::from_millis(1);
const STORE_LATENCY: Duration = Duration::from_millis(4);
const RETRY: Duration = Duration::from_millis(50);
const ROUND_PERIOD: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_millis(350);
const REFUSAL_PAUSE: Duration = Duration::from_millis(300);
const MAX_ASKED: usize = 4;

/// A message that arrives, or an attempt that is made, at some time.
pub enum Message {
    Load(OwnerId),
    Loaded(OwnerId, Vec<(OrganisationName, StoredAllocations)>),
    Configure(OwnerId, u64, Vec<Organisation>),
    /// Recipient, number of cells asked before, donor's cell and request.
    Ask(OwnerId, usize, usize, LimitRequest),
    Reply(
        OwnerId,
        usize,
        usize,
        OrganisationName,
        Option<StoredAllocations>,
    ),
    /// Donor, gift, and the recipient that waits for the outcome; whether the response is lost.
    Commit(OwnerId, Gift, Waiting, bool),
    Outcome(
        OwnerId,
        Gift,
        Waiting,
        Option<i64>,
        Option<StoredAllocations>,
    ),
}

/// Recipient, number of cells that it has asked before, and its request.
pub type Waiting = Option<(OwnerId, usize, LimitRequest)>;

#[derive(Default)]
pub struct Exchange {
    loading: BTreeMap<OwnerId, Duration>,
    next_round: BTreeMap<(OwnerId, OrganisationName), Duration>,
    paused: BTreeMap<(OwnerId, OrganisationName, usize), Duration>,
    held_since: BTreeMap<(OwnerId, OrganisationName), Duration>,
    next_compare: BTreeMap<OwnerId, Duration>,
}

impl Fleet {
    fn send(&mut self, after: Duration, message: Message) {
        self.messages.push((self.now + after, message));
    }

    pub fn exchange(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.messages.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, message) in due {
            self.receive(message);
        }
        for id in self.acting() {
            self.begin_rounds(id);
        }
    }

    fn begin_rounds(&mut self, id: OwnerId) {
        let now = self.now;
        if self.owner(id).scheduler.needs_allocations() {
            let due = self.state.loading.get(&id).copied().unwrap_or_default();
            if now >= due {
                self.state.loading.insert(id, now + RETRY);
                self.send(STORE_LATENCY, Message::Load(id));
            }
            return;
        }
        self.compare_uses(id);
        for request in self.owner(id).scheduler.limit_requests() {
            let key = (id, request.organisation.clone());
            let due = self.state.next_round.get(&key).copied();
            if due.is_none_or(|due| now >= due) {
                self.state.next_round.insert(key, now + ROUND_PERIOD);
                self.ask_next(id, 0, request);
            }
        }
    }

    fn ask_next(&mut self, id: OwnerId, asked: usize, request: LimitRequest) {
        let now = self.now;
        let name = request.organisation.clone();
        let donors = self.owner(id).scheduler.donors(&name);
        let free = donors.into_iter().map(|cell| cell as usize).find(|cell| {
            let until = self.state.paused.get(&(id, name.clone(), *cell));
            until.is_none_or(|until| now >= *until)
        });
        if let Some(cell) = free.filter(|_| asked < MAX_ASKED) {
            self.send(LATENCY, Message::Ask(id, asked + 1, cell, request));
        }
    }

    /// Returns the owner that answers for a cell.
    fn answering(&self, cell: usize) -> Option<OwnerId> {
        let last = (cell, self.cells[cell].owners.len().checked_sub(1)?);
        let reached = self.isolated != Some(last);
        (reached && self.acting().contains(&last)).then_some(last)
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Load(id) => {
                if !self.store_down && self.owner(id).reaches_store {
                    self.calls += 1;
                    let stored = self.stored.clone().into_iter().collect();
                    self.send(LATENCY, Message::Loaded(id, stored));
                }
            }
            Message::Loaded(id, stored) => self.owner(id).scheduler.load_allocations(stored),
            Message::Configure(id, version, organisations) => {
                let seen = self.versions.get(&id).copied().unwrap_or(1);
                if version > seen {
                    self.versions.insert(id, version);
                    self.owner(id).scheduler.set_organisations(&organisations);
                }
            }
            Message::Ask(from, asked, cell, request) => self.asked(from, asked, cell, &request),
            Message::Reply(id, asked, cell, name, stored) => {
                self.replied(id, asked, cell, &name, stored);
            }
            Message::Commit(id, gift, waiting, lost) => self.commit(id, gift, waiting, lost),
            Message::Outcome(id, gift, waiting, stored, found) => {
                let scheduler = &mut self.owner(id).scheduler;
                if let Some(found) = found {
                    scheduler.adopt_allocations(&gift.organisation, &found);
                }
                scheduler.finish_gift(&gift, stored);
                if let Some((from, asked, request)) = waiting {
                    if stored.is_none() && self.give(id, from, asked, &request) {
                        return;
                    }
                    self.reply(id, from, asked, &request);
                }
            }
        }
    }

    fn asked(&mut self, from: OwnerId, asked: usize, cell: usize, request: &LimitRequest) {
        let name = request.organisation.clone();
        let isolated = self.isolated == Some(from);
        let Some(donor) = self.answering(cell).filter(|_| !isolated) else {
            self.send(TIMEOUT, Message::Reply(from, asked, cell, name, None));
            return;
        };
        let reaches = self.owner(donor).reaches_store && !self.store_down;
        if !reaches || !self.give(donor, from, asked, request) {
            self.reply(donor, from, asked, request);
        }
    }

    fn give(
        &mut self,
        donor: OwnerId,
        from: OwnerId,
        asked: usize,
        request: &LimitRequest,
    ) -> bool {
        let Some(gift) = self.owner(donor).scheduler.begin_gift(request) else {
            return false;
        };
        self.send_commit(donor, gift, Some((from, asked, request.clone())));
        true
    }

    fn send_commit(&mut self, donor: OwnerId, gift: Gift, waiting: Waiting) {
        let lost = self.rng.random_bool(self.lost);
        if lost && self.rng.random_bool(self.late) {
            let delay = seconds(self.rng.random_range(1.0..6.0));
            self.send(delay, Message::Commit(donor, gift.clone(), None, true));
            // The donor sends it again, as it does not know the outcome.
            let again = Message::Commit(donor, gift, waiting, false);
            self.send(RETRY + STORE_LATENCY, again);
            return;
        }
        self.send(STORE_LATENCY, Message::Commit(donor, gift, waiting, lost));
    }

    fn commit(&mut self, id: OwnerId, gift: Gift, waiting: Waiting, lost: bool) {
        if self.store_down {
            // Whether an earlier copy was stored is not known, so it is sent again.
            self.send(RETRY, Message::Commit(id, gift, waiting, lost));
            return;
        }
        self.calls += 1;
        let fence = self.owner(id).fence;
        if self.cells[id.0].store.owner != fence {
            return;
        }
        let found = self.stored.get(&gift.organisation).cloned();
        let current = found.as_ref().map_or(0, |stored| stored.revision);
        let mut outcome = None;
        if current == gift.base {
            self.revision += 1;
            outcome = Some(self.revision);
            let stored = StoredAllocations {
                revision: self.revision,
                cells: gift.cells.clone(),
            };
            self.checks.check_stored(self.now, &stored);
            self.stored.insert(gift.organisation.clone(), stored);
        }
        if lost {
            if waiting.is_some() {
                self.send(RETRY, Message::Commit(id, gift, waiting, false));
            }
            return;
        }
        self.send(LATENCY, Message::Outcome(id, gift, waiting, outcome, found));
    }

    fn reply(&mut self, donor: OwnerId, from: OwnerId, asked: usize, request: &LimitRequest) {
        let name = request.organisation.clone();
        let stored = self.owner(donor).scheduler.stored_allocations(&name);
        let reply = Message::Reply(from, asked, donor.0, name, Some(stored));
        self.send(LATENCY, reply);
    }

    fn replied(
        &mut self,
        id: OwnerId,
        asked: usize,
        cell: usize,
        name: &OrganisationName,
        stored: Option<StoredAllocations>,
    ) {
        let now = self.now;
        let scheduler = &mut self.owner(id).scheduler;
        let newer = stored.is_some_and(|stored| scheduler.adopt_allocations(name, &stored));
        let next = scheduler.limit_request(name);
        if !newer {
            let key = (id, name.clone(), cell);
            self.state.paused.insert(key, now + REFUSAL_PAUSE);
        }
        if let Some(request) = next {
            self.ask_next(id, asked, request);
        }
    }

    fn compare_uses(&mut self, id: OwnerId) {
        let now = self.now;
        let held = self.owner(id).scheduler.held_limits();
        let due = self.state.next_compare.get(&id).copied();
        if held.is_empty() {
            self.state.held_since.retain(|(owner, _), _| *owner != id);
            return;
        }
        if due.is_some_and(|due| now < due) {
            return;
        }
        self.state.next_compare.insert(id, now + RETRY);
        let version = self.versions.get(&id).copied().unwrap_or(1);
        for (name, timeout) in held {
            let limit = self.owner(id).scheduler.limit(&name).unwrap_or_default();
            let (mut complete, mut sum) = (true, Resources::default());
            for cell in (0..self.cells.len()).filter(|cell| *cell != id.0) {
                let other = self.answering(cell).filter(|other| {
                    self.versions.get(other).copied().unwrap_or(1) >= version
                        && self.isolated != Some(id)
                });
                let answer = other.and_then(|other| self.owner(other).scheduler.limit_use(&name));
                match answer {
                    Some((allocation, used)) => sum += excess(limit, allocation, used),
                    None => complete = false,
                }
            }
            let since = self.state.held_since.entry((id, name.clone()));
            let since = *since.or_insert(now);
            if complete || now >= since + timeout {
                self.owner(id).scheduler.set_excess_elsewhere(&name, sum);
            }
        }
    }
}
