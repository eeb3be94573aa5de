//! The bounded queue of a service, ordered by deadline, fair between callers.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use nutmegcart_model::CallerName;
use nutmegcart_model::Code;

/// Requests taken from the urgent class before the deferrable class gets one.
///
/// Deferrable requests must not be lost, so a burst of urgent ones may not block them for ever.
const URGENT_TURNS: u32 = 15;

/// Largest cost of a request in quanta; more would let one request delay the others for long.
const MAX_COST: u32 = 64;

/// How urgent a request is.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Class {
    /// Served first.
    #[default]
    Urgent,
    /// Served when no urgent request waits, and at least every sixteenth time.
    Deferrable,
}

/// Why a request was not admitted or was dropped from the queue; it did not run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// The queue is full.
    QueueFull,
    /// The queue is full and the caller holds more of it than others.
    FairShare,
    /// The expected wait exceeds the deadline.
    DeadlineTooShort,
    /// The deadline passed before the request was sent.
    DeadlinePassed,
    /// No runner of the service is available.
    NoRunner,
    /// No pool carries the service.
    UnknownService,
    /// This entry instance is shutting down.
    ShuttingDown,
}

impl RefusalReason {
    /// Every refusal, for counters.
    pub const ALL: [Self; 7] = [
        Self::QueueFull,
        Self::FairShare,
        Self::DeadlineTooShort,
        Self::DeadlinePassed,
        Self::NoRunner,
        Self::UnknownService,
        Self::ShuttingDown,
    ];

    /// Returns the result code.
    ///
    /// ```
    /// # use nutmegcart_request::admission::RefusalReason;
    /// assert_eq!(RefusalReason::FairShare.code().number(), 1108);
    /// ```
    #[must_use]
    pub const fn code(self) -> Code {
        match self {
            Self::QueueFull => Code::QueueFull,
            Self::FairShare => Code::FairShare,
            Self::DeadlineTooShort => Code::DeadlineTooShort,
            Self::DeadlinePassed => Code::DeadlinePassed,
            Self::NoRunner => Code::NoRunner,
            Self::UnknownService => Code::UnknownService,
            Self::ShuttingDown => Code::ShuttingDown,
        }
    }
}

/// Settings of a service's queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueSettings {
    /// Largest number of waiting requests per class.
    pub limit: usize,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self { limit: 512 }
    }
}

/// A request as far as the queue is concerned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// Identifier, unique within the entry instance.
    pub id: u64,
    /// Unit of fairness.
    pub caller: CallerName,
    /// Class.
    pub class: Class,
    /// Time by which the answer must arrive.
    pub deadline: Duration,
    /// Whether the request may be sent to another data centre.
    pub allow_remote: bool,
    /// Expected work in multiples of an ordinary request.
    pub cost: u32,
}

/// How fast the queue is emptied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Throughput {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Mean time of a request on a runner.
    pub mean_time: Duration,
}

type Key = (Duration, u64);

/// The waiting requests of one caller in one class.
#[derive(Debug, Default)]
struct Lane {
    deficit: u32,
    home: BTreeSet<Key>,
    travelling: BTreeSet<Key>,
}

impl Lane {
    fn len(&self) -> usize {
        self.home.len() + self.travelling.len()
    }

    fn side(&mut self, travels: bool) -> &mut BTreeSet<Key> {
        if travels {
            &mut self.travelling
        } else {
            &mut self.home
        }
    }

    fn first(&self, travelling_only: bool) -> Option<Key> {
        let home = self.home.first().filter(|_| !travelling_only);
        [home, self.travelling.first()]
            .into_iter()
            .flatten()
            .min()
            .copied()
    }

    fn last(&self) -> Option<Key> {
        [self.home.last(), self.travelling.last()]
            .into_iter()
            .flatten()
            .max()
            .copied()
    }

    /// Returns the number of requests that are due no later than the deadline.
    fn ahead(&self, deadline: Duration) -> usize {
        let until = ..=(deadline, u64::MAX);
        self.home.range(until).count() + self.travelling.range(until).count()
    }
}

/// The lanes of one class in the order of deficit round robin.
#[derive(Debug, Default)]
struct Lanes {
    by_caller: HashMap<CallerName, Lane>,
    ring: VecDeque<CallerName>,
    len: usize,
}

/// The queue of one service.
#[derive(Debug, Default)]
pub struct Queue {
    settings: QueueSettings,
    classes: [Lanes; 2],
    waiting: HashMap<u64, QueuedRequest>,
    deadlines: BTreeSet<Key>,
    turns: u32,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the earliest deadline.
    #[must_use]
    pub fn first_deadline(&self) -> Option<Duration> {
        self.deadlines.first().map(|&(deadline, _)| deadline)
    }

    /// Adds a request; returns the one that was dropped to make room for it.
    ///
    /// # Errors
    ///
    /// Refuses a request that would wait beyond its deadline, and one that the queue has no room
    /// for.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_request::admission::{Class, Throughput, Queue, QueueSettings, RefusalReason, QueuedRequest};
    /// let mut queue = Queue::new(QueueSettings::default());
    /// let pace = Throughput { slots: 1, mean_time: Duration::from_millis(100) };
    /// let request = QueuedRequest {
    ///     id: 1,
    ///     caller: "ferry".into(),
    ///     class: Class::Urgent,
    ///     deadline: Duration::from_millis(50),
    ///     allow_remote: true,
    ///     cost: 1,
    /// };
    /// let refused = queue.offer(request, pace, Duration::ZERO);
    /// assert_eq!(refused, Err(RefusalReason::DeadlineTooShort));
    /// ```
    pub fn offer(
        &mut self,
        request: QueuedRequest,
        pace: Throughput,
        now: Duration,
    ) -> Result<Option<QueuedRequest>, RefusalReason> {
        if request.deadline <= now {
            return Err(RefusalReason::DeadlinePassed);
        }
        if now + self.expected_wait(&request, pace) + pace.mean_time > request.deadline {
            return Err(RefusalReason::DeadlineTooShort);
        }
        let dropped = self.make_room(&request)?;
        self.insert(request);
        Ok(dropped)
    }

    /// Returns the time for which a request would wait for a slot.
    #[must_use]
    pub fn expected_wait(&self, request: &QueuedRequest, pace: Throughput) -> Duration {
        let lanes = &self.classes[request.class as usize];
        let lane = lanes.by_caller.get(&request.caller);
        let own = lane.map_or(0, |lane| lane.ahead(request.deadline));
        let callers = lanes.by_caller.len() + usize::from(lane.is_none());
        // Each round of the round robin serves one request of every caller.
        let mut ahead = lanes.len.min((own + 1) * callers);
        if request.class == Class::Deferrable {
            ahead += self.classes[Class::Urgent as usize].len;
        }
        let ahead = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        pace.mean_time.saturating_mul(ahead) / pace.slots.max(1)
    }

    /// Takes the next request; with `travelling_only`, one that may leave the data centre.
    ///
    /// Requests whose answer can no longer arrive in time, given that a run needs `needed`, are
    /// appended to `dropped`.
    pub fn pop(
        &mut self,
        travelling_only: bool,
        needed: Duration,
        now: Duration,
        dropped: &mut Vec<(QueuedRequest, RefusalReason)>,
    ) -> Option<QueuedRequest> {
        loop {
            let deferrable_first = self.turns >= URGENT_TURNS;
            let order = if deferrable_first { [1, 0] } else { [0, 1] };
            let (class, (deadline, id)) = order
                .into_iter()
                .find_map(|class| Some((class, self.next(class, travelling_only)?)))?;
            let request = self.remove(id)?;
            if deadline <= now {
                dropped.push((request, RefusalReason::DeadlinePassed));
            } else if deadline < now + needed {
                dropped.push((request, RefusalReason::DeadlineTooShort));
            } else {
                self.charge(class, &request);
                return Some(request);
            }
        }
    }

    /// Removes a request.
    pub fn cancel(&mut self, id: u64) -> Option<QueuedRequest> {
        self.remove(id)
    }

    /// Removes the requests whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<QueuedRequest> {
        let mut expired = Vec::new();
        while let Some(&(deadline, id)) = self.deadlines.first()
            && deadline <= now
        {
            expired.extend(self.remove(id));
        }
        expired
    }

    /// Drops the last request of the caller that holds most, if the queue is full.
    fn make_room(
        &mut self,
        request: &QueuedRequest,
    ) -> Result<Option<QueuedRequest>, RefusalReason> {
        let lanes = &self.classes[request.class as usize];
        if lanes.len < self.settings.limit {
            return Ok(None);
        }
        let own = lanes.by_caller.get(&request.caller).map_or(0, Lane::len);
        let longest = lanes
            .by_caller
            .iter()
            .max_by_key(|(caller, lane)| (lane.len(), *caller));
        let Some((_, longest)) = longest else {
            return Err(RefusalReason::QueueFull);
        };
        if longest.len() <= own + 1 {
            let over = own * lanes.by_caller.len() > self.settings.limit;
            return Err(if over {
                RefusalReason::FairShare
            } else {
                RefusalReason::QueueFull
            });
        }
        let last = longest.last().map(|(_, id)| id);
        Ok(last.and_then(|id| self.remove(id)))
    }

    fn insert(&mut self, request: QueuedRequest) {
        let lanes = &mut self.classes[request.class as usize];
        let key = (request.deadline, request.id);
        if !lanes.by_caller.contains_key(&request.caller) {
            lanes.ring.push_back(request.caller.clone());
        }
        let lane = lanes.by_caller.entry(request.caller.clone()).or_default();
        lane.side(request.allow_remote).insert(key);
        lanes.len += 1;
        self.deadlines.insert(key);
        self.waiting.insert(request.id, request);
    }

    fn remove(&mut self, id: u64) -> Option<QueuedRequest> {
        let request = self.waiting.remove(&id)?;
        let key = (request.deadline, id);
        self.deadlines.remove(&key);
        let lanes = &mut self.classes[request.class as usize];
        lanes.len -= 1;
        if let Some(lane) = lanes.by_caller.get_mut(&request.caller) {
            lane.side(request.allow_remote).remove(&key);
            // An empty lane saves no deficit, as deficit round robin requires.
            if lane.len() == 0 {
                lanes.by_caller.remove(&request.caller);
                lanes.ring.retain(|caller| *caller != request.caller);
            }
        }
        Some(request)
    }

    /// Returns the next request of a class by deficit round robin.
    fn next(&mut self, class: usize, travelling_only: bool) -> Option<Key> {
        let waiting = &self.waiting;
        let lanes = &mut self.classes[class];
        let mut skipped = 0;
        while skipped < lanes.ring.len() {
            let caller = lanes.ring.front()?;
            let lane = lanes.by_caller.get_mut(caller)?;
            let first = lane.first(travelling_only);
            if let Some((deadline, id)) = first {
                if lane.deficit >= cost(waiting.get(&id)?) {
                    return Some((deadline, id));
                }
                lane.deficit += 1;
                skipped = 0;
            } else {
                skipped += 1;
            }
            lanes.ring.rotate_left(1);
        }
        None
    }

    fn charge(&mut self, class: usize, request: &QueuedRequest) {
        self.turns = if class == Class::Deferrable as usize {
            0
        } else {
            self.turns + u32::from(self.classes[Class::Deferrable as usize].len > 0)
        };
        let lanes = &mut self.classes[class];
        if let Some(lane) = lanes.by_caller.get_mut(&request.caller) {
            lane.deficit = lane.deficit.saturating_sub(cost(request));
        }
    }
}

fn cost(request: &QueuedRequest) -> u32 {
    request.cost.clamp(1, MAX_COST)
}
