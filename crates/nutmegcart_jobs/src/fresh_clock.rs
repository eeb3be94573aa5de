//! Starts and lease renewals that depend on a recent reading of the worker's clock.
//!
//! Failure that it answers: a worker loses power, and starts again under its identifier and address.
//! It takes orders that are meant for the former incarnation. The lease end in such an order is a time
//! on the former clock, far ahead on the clock that began anew, and the worker grants its longest
//! lease. Whoever computes the end of the lease without knowing of the restart comes to an earlier
//! time, and starts the task elsewhere while it still runs.
//!
//! A start therefore waits until the worker has told its incarnation a moment before, and a poll
//! states a lease end and acknowledges ends only then.

use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;

use crate::action::Action;
use crate::action::StartOrder;
use crate::action::WorkerOrder;
use crate::orders::OrderOutcome;
use crate::scheduler::Scheduler;
use crate::worker::Worker;
use crate::worker::millis;

/// Age of the reading of a worker's clock up to which the worker has not started again since; a
/// restart takes longer.
const FRESH_CLOCK: Duration = Duration::from_millis(200);
/// Longest time by which an answer may be used later than another one that was read after it.
const MAX_DISORDER: Duration = Duration::from_secs(2);
/// Time for which a start waits for the worker to tell its incarnation; no call takes longer.
const MAX_HOLD: Duration = Duration::from_millis(500);
/// Time without starts for a worker that did not tell its incarnation in time, unless it does.
const HOLD_PAUSE: Duration = Duration::from_millis(300);

/// Starts that are sent once their worker has told its incarnation.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldStarts {
    orders: Vec<StartOrder>,
    /// When the worker was asked.
    since: Duration,
    /// Until when the worker gets no starts, because it did not tell its incarnation.
    paused_until: Duration,
}

impl HeldStarts {
    /// Returns whether the worker gets no starts because it did not tell its incarnation.
    pub(crate) fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }
}

impl Worker {
    /// Returns whether the worker has certainly not started again since its clock was read.
    pub(crate) fn is_clock_fresh(&self, now: Duration) -> bool {
        self.heard_at.is_some_and(|at| now <= at + FRESH_CLOCK)
    }

    /// Returns whether a clock in an answer to an order is that of a later incarnation.
    fn is_clock_restarted(&self, clock: u64) -> bool {
        let latest = clock.saturating_add(millis(MAX_DISORDER));
        let reading = self.clock_reading;
        reading.is_some_and(|reading| latest < reading.clock)
    }
}

impl Scheduler {
    /// Returns whether a worker has told its clock a moment ago, so that a poll may renew its lease.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegcart_jobs::{JobSettings, Scheduler};
    /// let scheduler = Scheduler::new(JobSettings::default(), 1, Duration::ZERO);
    /// assert!(!scheduler.has_fresh_clock(&"i-01".into(), Duration::ZERO));
    /// ```
    #[must_use]
    pub fn has_fresh_clock(&self, id: &WorkerId, now: Duration) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| worker.is_clock_fresh(now))
    }

    /// Emits a start order, at once or when the worker has told its incarnation.
    pub(crate) fn order_start(&mut self, id: &WorkerId, start: StartOrder, now: Duration) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.is_clock_fresh(now) {
            self.order(id, WorkerOrder::Start(start));
            return;
        }
        if worker.held.orders.is_empty() {
            worker.held.since = now;
            self.actions.push(Action::Poll { worker: id.clone() });
        }
        worker.held.orders.push(start);
    }

    /// Emits the starts that waited for the worker's report.
    pub(crate) fn send_held_starts(&mut self, id: &WorkerId, now: Duration) {
        let lease = millis(self.settings.lease);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(lease_end) = worker.clock(now).map(|clock| clock + lease) else {
            return;
        };
        worker.held.paused_until = Duration::ZERO;
        let held = std::mem::take(&mut worker.held.orders);
        if !held.is_empty() {
            worker.extend_lease(lease_end);
        }
        for start in held {
            let order = WorkerOrder::Start(StartOrder { lease_end, ..start });
            if self.is_still_wanted(id, &order, now) {
                self.order(id, order);
            } else {
                self.handle_order_outcome(id, &order, OrderOutcome::Withdrawn, now);
            }
        }
    }

    /// Releases the runs whose starts still wait for the worker's report; they were not sent.
    pub(crate) fn withdraw_held_starts(&mut self, id: &WorkerId, now: Duration) {
        let worker = self.workers.get_mut(id);
        let held = worker.map(|worker| std::mem::take(&mut worker.held.orders));
        for start in held.unwrap_or_default() {
            let order = WorkerOrder::Start(start);
            self.handle_order_outcome(id, &order, OrderOutcome::Withdrawn, now);
        }
    }

    /// Withdraws the starts whose workers have not told their incarnation in time.
    pub(crate) fn expire_held_starts(&mut self, now: Duration) {
        let late =
            |worker: &Worker| !worker.held.orders.is_empty() && now >= worker.held.since + MAX_HOLD;
        let workers = self.workers.values_mut().filter(|worker| late(worker));
        let mut expired = Vec::new();
        for worker in workers {
            worker.held.paused_until = now + HOLD_PAUSE;
            expired.push(worker.listing.id.clone());
        }
        for id in expired {
            self.withdraw_held_starts(&id, now);
        }
    }

    /// Records the clock in the answer to an order, which does not state the incarnation.
    pub(crate) fn record_order_clock(&mut self, id: &WorkerId, clock: u64, now: Duration) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !worker.is_clock_restarted(clock) {
            worker.record_clock(clock, now);
            return;
        }
        log_event!(
            Event::WorkerClockRestarted,
            worker = id,
            clock_ms = clock,
            runs = worker.runs.len(),
            clock_age_ms = worker.clock_age(now)
        );
        worker.restarted_at = Some(now);
        worker.heard_at = None;
        self.withdraw_held_starts(id, now);
        self.actions.push(Action::Poll { worker: id.clone() });
    }
}
