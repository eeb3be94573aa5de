//! Duty for a data centre: renews its lease, commits the planner's writes and makes its calls.
//!
//! At most one entry instance holds the duty of a data centre at a time.

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
use crate::task_controller;

/// Maximum number of lease operations before the controller waits for the next round.
const MAX_LEASE_STEPS_PER_ROUND: usize = 3;

/// Competes for the duty of the data centre and performs it while it is held.
struct DutyController {
    duty: DutyLease,
    memory: PlannerMemory,
    state: FleetState,
    rate_limiter: RateLimiter,
    /// Store revision that the watch had reached before the state was read; `None` forces a read.
    read_revision: Option<Revision>,
}

/// Runs control rounds until the instance stops.
pub fn run(entry: &Arc<EntryInstance>) {
    let duty = DutyLease::new(&entry.settings.centre, entry.identity.incarnation);
    let mut controller = DutyController {
        duty: duty.with_length(entry.settings.duty_lease),
        memory: PlannerMemory::default(),
        state: FleetState::default(),
        rate_limiter: RateLimiter::share(STORE_CALLS_PER_SECOND, 1),
        read_revision: None,
    };
    let mut tasks = task_controller::new_controller(entry);
    while !entry.is_stopped() {
        let committed = controller.round(entry).unwrap_or_else(|_| {
            controller.continue_without_store(entry);
            false
        });
        let held = controller.duty.held(entry.started.elapsed());
        task_controller::round(entry, &mut tasks, held);
        if !committed {
            entry.wait_for_next_round();
        }
    }
    if let Some(lease) = controller.duty.lease() {
        // If the store does not answer, the lease expires.
        let _ = entry.store.revoke_lease(lease);
    }
}

/// Returns the store key of the duty for this instance's data centre.
pub(crate) fn duty_key(entry: &EntryInstance) -> String {
    format!("{DUTY_PREFIX}{}", entry.settings.centre)
}

impl DutyController {
    /// Runs one round and returns whether a write was committed.
    fn round(&mut self, entry: &EntryInstance) -> Result<bool> {
        let peers = u32::try_from(entry.tables.peers.lock().len()).unwrap_or(u32::MAX);
        self.rate_limiter
            .set_share(STORE_CALLS_PER_SECOND, peers.saturating_add(1));
        if !self.rate_limiter.try_acquire(entry.started.elapsed()) {
            return Ok(false);
        }
        self.maintain_lease(entry)?;
        if self.duty.held(entry.started.elapsed()).is_none() {
            return Ok(false);
        }
        let is_current = self.refresh(entry)?;
        self.memory.store_returned(
            entry.started.elapsed(),
            outage_end_jitter(entry.identity.incarnation.0, entry.settings.duty_lease),
        );
        let plan = self.plan(entry, is_current);
        self.make_calls(entry, &plan);
        let Some(txn) = &plan.txn else {
            return Ok(false);
        };
        self.read_revision = None;
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

    /// Grants or renews the lease, and claims the duty if it is vacant.
    fn maintain_lease(&mut self, entry: &EntryInstance) -> Result<()> {
        for _ in 0..MAX_LEASE_STEPS_PER_ROUND {
            let now = entry.started.elapsed();
            let held = self.duty.held(now).is_some();
            match self.duty.next_step(now) {
                DutyStep::Grant(length) => self.duty.granted(entry.store.grant_lease(length)?, now),
                DutyStep::Claim(txn) => {
                    let claimed = entry.store.txn(&txn);
                    let snapshot = entry.store.range(&self.duty.key)?;
                    if self.duty.claim_read(snapshot.get(&self.duty.key), now) {
                        self.read_revision = None;
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

    /// Reads maps, waves and records again if anything changed.
    ///
    /// Returns `false` if the planner cannot use them.
    fn refresh(&mut self, entry: &EntryInstance) -> Result<bool> {
        self.state.update_listing(entry);
        // The configuration watch also covers maps and waves, so nothing is read here while the
        // deployment is unchanged.
        let watched = entry.tables.store_revision.load(Ordering::Acquire);
        if self.read_revision == Some(watched) {
            return Ok(true);
        }
        let is_current = self.state.read(entry)?;
        self.read_revision = is_current.then_some(watched);
        Ok(is_current)
    }

    fn plan(&mut self, entry: &EntryInstance, store_online: bool) -> Plan {
        let now = entry.started.elapsed();
        let Some(created) = self.duty.held(now) else {
            return Plan::default();
        };
        let duty = (self.duty.key.as_str(), created);
        let view = self.state.view(&entry.settings.centre, duty, store_online);
        planner::plan(&view, &mut self.memory, now)
    }

    /// Makes the calls whose intents are stored, as long as the lease has certainly not expired.
    fn make_calls(&mut self, entry: &EntryInstance, plan: &Plan) {
        for call in &plan.calls {
            if self.duty.held(entry.started.elapsed()).is_none() {
                return;
            }
            match make_call(entry, call) {
                // An error status is an answer too, after which the identifier is not used again.
                Ok(()) | Err(HttpError::Status { .. }) => {
                    self.memory.acknowledge(call, entry.started.elapsed());
                }
                Err(error) => log_event!(Event::PlatformCallFailed, reason = error),
            }
        }
    }

    /// Continues with stored intents until the lease expires; starts nothing new.
    fn continue_without_store(&mut self, entry: &EntryInstance) {
        self.read_revision = None;
        self.memory.store_lost();
        self.state.update_listing(entry);
        let plan = self.plan(entry, false);
        self.make_calls(entry, &plan);
    }
}

fn make_call(
    entry: &EntryInstance,
    call: &PlatformCall,
) -> nutmegcart_platform::fleet_api::Result<()> {
    let method = match call.kind {
        CallKind::Drain => nutmegcart_platform::FleetApi::drain,
        CallKind::Reboot => nutmegcart_platform::FleetApi::reboot,
        CallKind::Restore => nutmegcart_platform::FleetApi::restore,
    };
    method(&entry.fleet, &call.instance, &call.operation)
}

/// Returns a delay that is shorter than a lease and depends on the incarnation.
///
/// It keeps the duty holders from resuming all at once after a store outage.
fn outage_end_jitter(incarnation: u64, length: Duration) -> Duration {
    let millis = u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1);
    Duration::from_millis(incarnation % millis)
}
