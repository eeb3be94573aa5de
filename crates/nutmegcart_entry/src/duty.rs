//! Duty for a data centre: keeps the lease, commits the planner's writes and makes its calls.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nutmegcart_fleet::DutyLease;
use nutmegcart_fleet::Plan;
use nutmegcart_fleet::PlannerMemory;
use nutmegcart_fleet::duty::DUTY_PREFIX;
use nutmegcart_fleet::duty::DutyStep;
use nutmegcart_fleet::duty::RateLimiter;
use nutmegcart_fleet::duty::STORE_CALLS_PER_SECOND;
use nutmegcart_fleet::planner;
use nutmegcart_fleet::planner::CallKind;
use nutmegcart_fleet::planner::PlatformCall;
use nutmegcart_model::Event;
use nutmegcart_model::log_event;
use nutmegcart_platform::Revision;
use nutmegcart_platform::http::HttpError;
use nutmegcart_platform::store::Result;

use crate::entry_instance::EntryInstance;
use crate::fleet_state::FleetState;
use crate::tasks;

/// Calls that the keeper of a duty makes before it waits for the next round.
const CALLS_PER_ROUND: usize = 3;

/// One entry instance's part in the duty of its data centre.
struct Keeper {
    duty: DutyLease,
    memory: PlannerMemory,
    state: FleetState,
    pace: RateLimiter,
    /// Revision that the watch had seen before the state was read; none if it must be read again.
    read: Option<Revision>,
}

/// Runs control rounds until the instance stops.
pub fn run(entry: &Arc<EntryInstance>) {
    let duty = DutyLease::new(&entry.settings.centre, entry.identity.incarnation);
    let mut keeper = Keeper {
        duty: duty.with_length(entry.settings.duty_lease),
        memory: PlannerMemory::default(),
        state: FleetState::default(),
        pace: RateLimiter::share(STORE_CALLS_PER_SECOND, 1),
        read: None,
    };
    let mut tasks = tasks::runner(entry);
    while !entry.is_stopped() {
        let committed = keeper.round(entry).unwrap_or_else(|_| {
            keeper.store_lost(entry);
            false
        });
        let held = keeper.duty.held(entry.started.elapsed());
        tasks::round(entry, &mut tasks, held);
        if !committed {
            entry.pause();
        }
    }
    if let Some(lease) = keeper.duty.lease() {
        // The lease ends by itself if the store does not answer.
        let _ = entry.store.revoke_lease(lease);
    }
}

/// Returns the key under which the duty for this instance's data centre is held.
pub(crate) fn duty_key(entry: &EntryInstance) -> String {
    format!("{DUTY_PREFIX}{}", entry.settings.centre)
}

impl Keeper {
    /// Runs one round and returns whether a write was committed.
    fn round(&mut self, entry: &EntryInstance) -> Result<bool> {
        let peers = u32::try_from(entry.tables.peers.lock().len()).unwrap_or(u32::MAX);
        self.pace
            .set_share(STORE_CALLS_PER_SECOND, peers.saturating_add(1));
        if !self.pace.try_acquire(entry.started.elapsed()) {
            return Ok(false);
        }
        self.keep(entry)?;
        if self.duty.held(entry.started.elapsed()).is_none() {
            return Ok(false);
        }
        let fresh = self.refresh(entry)?;
        self.memory.store_returned(
            entry.started.elapsed(),
            jitter(entry.identity.incarnation.0, entry.settings.duty_lease),
        );
        let plan = self.plan(entry, fresh);
        self.call(entry, &plan);
        let Some(txn) = &plan.txn else {
            return Ok(false);
        };
        self.read = None;
        let committed = entry.store.txn(txn)?.committed;
        if committed {
            for action in &plan.changes {
                log_event!(action.event(), action = format!("{action:?}"));
            }
        } else {
            log_event!(Event::PlanConflict, centre = entry.settings.centre);
        }
        Ok(committed)
    }

    /// Renews the lease or claims the duty.
    fn keep(&mut self, entry: &EntryInstance) -> Result<()> {
        for _ in 0..CALLS_PER_ROUND {
            let now = entry.started.elapsed();
            let held = self.duty.held(now).is_some();
            match self.duty.next_step(now) {
                DutyStep::Grant(length) => self.duty.granted(entry.store.grant_lease(length)?, now),
                DutyStep::Claim(txn) => {
                    let claimed = entry.store.txn(&txn);
                    let snapshot = entry.store.range(&self.duty.key)?;
                    if self.duty.claim_read(snapshot.get(&self.duty.key), now) {
                        self.read = None;
                        self.memory.reset_term();
                        let centre = &entry.settings.centre;
                        log_event!(Event::DutyTaken, centre = centre, id = entry.settings.id);
                    }
                    claimed?;
                }
                DutyStep::Renew(lease) => {
                    let alive = entry.store.keep_alive(lease)?;
                    self.duty.renewed(alive, now);
                    if held && !alive {
                        log_event!(Event::DutyLost, centre = entry.settings.centre);
                    }
                }
                DutyStep::Wait(_) => break,
            }
        }
        Ok(())
    }

    /// Reads maps, waves and records again if anything changed; false if they cannot be planned
    /// on.
    fn refresh(&mut self, entry: &EntryInstance) -> Result<bool> {
        self.state.observe(entry);
        // The watch of the configuration covers maps and waves as well, so an unchanged
        // deployment costs no reads here.
        let watched = entry.tables.store_revision.load(Ordering::Acquire);
        if self.read == Some(watched) {
            return Ok(true);
        }
        let fresh = self.state.read(entry)?;
        self.read = fresh.then_some(watched);
        Ok(fresh)
    }

    fn plan(&mut self, entry: &EntryInstance, store: bool) -> Plan {
        let now = entry.started.elapsed();
        let Some(created) = self.duty.held(now) else {
            return Plan::default();
        };
        let duty = (self.duty.key.as_str(), created);
        let view = self.state.view(&entry.settings.centre, duty, store);
        planner::plan(&view, &mut self.memory, now)
    }

    /// Makes the calls of written intents while the lease is certainly alive.
    fn call(&mut self, entry: &EntryInstance, plan: &Plan) {
        for effect in &plan.calls {
            if self.duty.held(entry.started.elapsed()).is_none() {
                return;
            }
            match call(entry, effect) {
                // An error status is an answer as well: the identifier is used up.
                Ok(()) | Err(HttpError::Status { .. }) => {
                    self.memory.acknowledge(effect, entry.started.elapsed());
                }
                Err(error) => log_event!(Event::PlatformCallFailed, reason = error),
            }
        }
    }

    /// Goes on with written intents while the lease lasts; nothing new is started.
    fn store_lost(&mut self, entry: &EntryInstance) {
        self.read = None;
        self.memory.store_lost();
        self.state.observe(entry);
        let plan = self.plan(entry, false);
        self.call(entry, &plan);
    }
}

fn call(
    entry: &EntryInstance,
    effect: &PlatformCall,
) -> nutmegcart_platform::fleet_api::Result<()> {
    let call = match effect.kind {
        CallKind::Drain => nutmegcart_platform::FleetApi::drain,
        CallKind::Reboot => nutmegcart_platform::FleetApi::reboot,
        CallKind::Restore => nutmegcart_platform::FleetApi::restore,
    };
    call(&entry.fleet, &effect.instance, &effect.operation)
}

/// Spreads the holders' return after an outage over the length of a lease.
fn jitter(incarnation: u64, length: Duration) -> Duration {
    let millis = u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1);
    Duration::from_millis(incarnation % millis)
}
