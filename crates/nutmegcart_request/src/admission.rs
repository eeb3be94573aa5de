//! Bounded request queue of one service: earliest deadline first within a caller, deficit round
//! robin between callers.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use nutmegcart_model::CallerName;
use nutmegcart_model::Code;

/// Urgent requests served in a row while deferrable ones wait.
///
/// The limit keeps a long burst of urgent requests from starving the deferrable class.
const MAX_URGENT_STREAK: u32 = 15;

/// Upper limit of a request's cost, in round-robin quanta.
///
/// A higher cost would delay a caller for many rounds because of a single request.
const MAX_COST_QUANTA: u32 = 64;

/// Priority class of a request.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Class {
    /// Served before any deferrable request; the default.
    #[default]
    Urgent,
    /// Served when no urgent request waits, and after at most 15 urgent requests in a row.
    Deferrable,
}

/// Why a request was not admitted or was dropped from the queue.
///
/// No attempt follows a refusal. A refused retry may have run in an earlier attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// The queue is full.
    QueueFull,
    /// The queue is full and the caller holds more than its fair share of it.
    FairShare,
    /// The answer is expected to arrive after the deadline.
    DeadlineTooShort,
    /// The deadline passed before the request was sent to a runner.
    DeadlinePassed,
    /// No runner that the request may use is available.
    NoRunner,
    /// No pool serves the requested service.
    UnknownService,
    /// This entry instance is shutting down.
    ShuttingDown,
}

impl RefusalReason {
    /// All reasons, for example to initialise counters.
    pub const ALL: [Self; 7] = [
        Self::QueueFull,
        Self::FairShare,
        Self::DeadlineTooShort,
        Self::DeadlinePassed,
        Self::NoRunner,
        Self::UnknownService,
        Self::ShuttingDown,
    ];

    /// Returns the result code for the caller.
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

/// Settings of the queue of one service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueSettings {
    /// Maximum number of waiting requests per class.
    pub limit: usize,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self { limit: 512 }
    }
}

/// The properties of a request that the queue uses for ordering.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// Identifier, unique within the entry instance.
    pub id: u64,
    /// Caller; queue capacity is shared fairly between callers.
    pub caller: CallerName,
    /// Priority class, each with its own limit.
    pub class: Class,
    /// Time by which the answer must arrive, on the clock of `now`.
    pub deadline: Duration,
    /// Whether the request may be sent to another data centre.
    pub allow_remote: bool,
    /// Expected work relative to an ordinary request; clamped to 1..=64.
    pub cost: u32,
}

/// Rate at which the runners of a service process requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Throughput {
    /// Requests that can run concurrently.
    pub slots: u32,
    /// Mean run time of a request.
    pub mean_time: Duration,
}

/// Deadline and identifier of a request.
type DeadlineKey = (Duration, u64);

/// Waiting requests of one caller in one class.
#[derive(Debug, Default)]
struct CallerQueue {
    deficit: u32,
    local_only: BTreeSet<DeadlineKey>,
    remote_allowed: BTreeSet<DeadlineKey>,
}

impl CallerQueue {
    fn len(&self) -> usize {
        self.local_only.len() + self.remote_allowed.len()
    }

    fn set_for(&mut self, allow_remote: bool) -> &mut BTreeSet<DeadlineKey> {
        if allow_remote {
            &mut self.remote_allowed
        } else {
            &mut self.local_only
        }
    }

    fn first(&self, remote_only: bool) -> Option<DeadlineKey> {
        let local_only = self.local_only.first().filter(|_| !remote_only);
        [local_only, self.remote_allowed.first()]
            .into_iter()
            .flatten()
            .min()
            .copied()
    }

    fn last(&self) -> Option<DeadlineKey> {
        [self.local_only.last(), self.remote_allowed.last()]
            .into_iter()
            .flatten()
            .max()
            .copied()
    }

    /// Returns the number of requests whose deadline is not later than the given one.
    fn ahead(&self, deadline: Duration) -> usize {
        let until = ..=(deadline, u64::MAX);
        self.local_only.range(until).count() + self.remote_allowed.range(until).count()
    }
}

/// Waiting requests of one class, served by deficit round robin between callers.
#[derive(Debug, Default)]
struct ClassQueue {
    by_caller: HashMap<CallerName, CallerQueue>,
    rotation: VecDeque<CallerName>,
    len: usize,
}

/// Bounded request queue of one service.
#[derive(Debug, Default)]
pub struct Queue {
    settings: QueueSettings,
    classes: [ClassQueue; 2],
    requests: HashMap<u64, QueuedRequest>,
    deadlines: BTreeSet<DeadlineKey>,
    urgent_streak: u32,
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
        self.requests.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the earliest deadline of all waiting requests.
    #[must_use]
    pub fn first_deadline(&self) -> Option<Duration> {
        self.deadlines.first().map(|&(deadline, _)| deadline)
    }

    /// Adds a request and returns the request that was evicted to make room, if any.
    ///
    /// # Errors
    ///
    /// Returns the reason if the answer would arrive after the deadline, or if the queue is full
    /// and no caller holds enough requests to evict one.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_request::admission::{Class, Queue, QueueSettings, QueuedRequest};
    /// # use nutmegcart_request::admission::{RefusalReason, Throughput};
    /// let mut queue = Queue::new(QueueSettings::default());
    /// let throughput = Throughput { slots: 1, mean_time: Duration::from_millis(100) };
    /// let request = QueuedRequest {
    ///     id: 1,
    ///     caller: "ferry".into(),
    ///     class: Class::Urgent,
    ///     deadline: Duration::from_millis(50),
    ///     allow_remote: true,
    ///     cost: 1,
    /// };
    /// let refused = queue.offer(request, throughput, Duration::ZERO);
    /// assert_eq!(refused, Err(RefusalReason::DeadlineTooShort));
    /// ```
    pub fn offer(
        &mut self,
        request: QueuedRequest,
        throughput: Throughput,
        now: Duration,
    ) -> Result<Option<QueuedRequest>, RefusalReason> {
        if request.deadline <= now {
            return Err(RefusalReason::DeadlinePassed);
        }
        if now + self.expected_wait(&request, throughput) + throughput.mean_time > request.deadline
        {
            return Err(RefusalReason::DeadlineTooShort);
        }
        let dropped = self.make_room(&request)?;
        self.insert(request);
        Ok(dropped)
    }

    /// Estimates how long a request would wait for a free slot.
    #[must_use]
    pub fn expected_wait(&self, request: &QueuedRequest, throughput: Throughput) -> Duration {
        let class_queue = &self.classes[request.class as usize];
        let caller_queue = class_queue.by_caller.get(&request.caller);
        let own = caller_queue.map_or(0, |caller_queue| caller_queue.ahead(request.deadline));
        let callers = class_queue.by_caller.len() + usize::from(caller_queue.is_none());
        // Each round serves one request of every caller.
        let mut ahead = class_queue.len.min((own + 1) * callers);
        if request.class == Class::Deferrable {
            ahead += self.classes[Class::Urgent as usize].len;
        }
        let ahead = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        throughput.mean_time.saturating_mul(ahead) / throughput.slots.max(1)
    }

    /// Removes and returns the next request.
    ///
    /// With `remote_only`, considers only requests that may be sent to another data centre.
    /// Requests that would finish after their deadline if they ran for `run_time` are removed and
    /// appended to `dropped`.
    pub fn pop(
        &mut self,
        remote_only: bool,
        run_time: Duration,
        now: Duration,
        dropped: &mut Vec<(QueuedRequest, RefusalReason)>,
    ) -> Option<QueuedRequest> {
        loop {
            let deferrable_first = self.urgent_streak >= MAX_URGENT_STREAK;
            let order = if deferrable_first { [1, 0] } else { [0, 1] };
            let (class, (deadline, id)) = order
                .into_iter()
                .find_map(|class| Some((class, self.next_key(class, remote_only)?)))?;
            let request = self.remove(id)?;
            if deadline <= now {
                dropped.push((request, RefusalReason::DeadlinePassed));
            } else if deadline < now + run_time {
                dropped.push((request, RefusalReason::DeadlineTooShort));
            } else {
                self.charge(class, &request);
                return Some(request);
            }
        }
    }

    /// Removes a request, for example because its caller disconnected.
    pub fn cancel(&mut self, id: u64) -> Option<QueuedRequest> {
        self.remove(id)
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<QueuedRequest> {
        let mut expired = Vec::new();
        while let Some(&(deadline, id)) = self.deadlines.first()
            && deadline <= now
        {
            expired.extend(self.remove(id));
        }
        expired
    }

    /// If the class is full, evicts the request with the latest deadline of the caller with the
    /// most waiting requests.
    fn make_room(
        &mut self,
        request: &QueuedRequest,
    ) -> Result<Option<QueuedRequest>, RefusalReason> {
        let class_queue = &self.classes[request.class as usize];
        if class_queue.len < self.settings.limit {
            return Ok(None);
        }
        let own = class_queue
            .by_caller
            .get(&request.caller)
            .map_or(0, CallerQueue::len);
        let longest = class_queue
            .by_caller
            .iter()
            .max_by_key(|(caller, caller_queue)| (caller_queue.len(), *caller));
        let Some((_, longest)) = longest else {
            return Err(RefusalReason::QueueFull);
        };
        if longest.len() <= own + 1 {
            let over_share = own * class_queue.by_caller.len() > self.settings.limit;
            return Err(if over_share {
                RefusalReason::FairShare
            } else {
                RefusalReason::QueueFull
            });
        }
        let last = longest.last().map(|(_, id)| id);
        Ok(last.and_then(|id| self.remove(id)))
    }

    fn insert(&mut self, request: QueuedRequest) {
        let class_queue = &mut self.classes[request.class as usize];
        let key = (request.deadline, request.id);
        if !class_queue.by_caller.contains_key(&request.caller) {
            class_queue.rotation.push_back(request.caller.clone());
        }
        let caller_queue = class_queue
            .by_caller
            .entry(request.caller.clone())
            .or_default();
        caller_queue.set_for(request.allow_remote).insert(key);
        class_queue.len += 1;
        self.deadlines.insert(key);
        self.requests.insert(request.id, request);
    }

    fn remove(&mut self, id: u64) -> Option<QueuedRequest> {
        let request = self.requests.remove(&id)?;
        let key = (request.deadline, id);
        self.deadlines.remove(&key);
        let class_queue = &mut self.classes[request.class as usize];
        class_queue.len -= 1;
        if let Some(caller_queue) = class_queue.by_caller.get_mut(&request.caller) {
            caller_queue.set_for(request.allow_remote).remove(&key);
            // Deficit round robin requires that an idle caller keeps no deficit.
            if caller_queue.len() == 0 {
                class_queue.by_caller.remove(&request.caller);
                class_queue
                    .rotation
                    .retain(|caller| *caller != request.caller);
            }
        }
        Some(request)
    }

    /// Selects the next request of a class by deficit round robin.
    fn next_key(&mut self, class: usize, remote_only: bool) -> Option<DeadlineKey> {
        let requests = &self.requests;
        let class_queue = &mut self.classes[class];
        let mut skipped = 0;
        while skipped < class_queue.rotation.len() {
            let caller = class_queue.rotation.front()?;
            let caller_queue = class_queue.by_caller.get_mut(caller)?;
            let first = caller_queue.first(remote_only);
            if let Some((deadline, id)) = first {
                if caller_queue.deficit >= cost(requests.get(&id)?) {
                    return Some((deadline, id));
                }
                caller_queue.deficit += 1;
                skipped = 0;
            } else {
                skipped += 1;
            }
            class_queue.rotation.rotate_left(1);
        }
        None
    }

    fn charge(&mut self, class: usize, request: &QueuedRequest) {
        self.urgent_streak = if class == Class::Deferrable as usize {
            0
        } else {
            self.urgent_streak + u32::from(self.classes[Class::Deferrable as usize].len > 0)
        };
        let class_queue = &mut self.classes[class];
        if let Some(caller_queue) = class_queue.by_caller.get_mut(&request.caller) {
            caller_queue.deficit = caller_queue.deficit.saturating_sub(cost(request));
        }
    }
}

fn cost(request: &QueuedRequest) -> u32 {
    request.cost.clamp(1, MAX_COST_QUANTA)
}
