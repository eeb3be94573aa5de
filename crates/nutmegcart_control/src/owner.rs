//! Tasks of the owner of a cell: reading the cell, polling workers, running placement passes and
//! sending orders.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegcart_jobs::Action;
use nutmegcart_jobs::JobRecord;
use nutmegcart_jobs::MachineOutcome;
use nutmegcart_jobs::OrderOutcome;
use nutmegcart_jobs::Refusal;
use nutmegcart_jobs::WorkerOrder;
use nutmegcart_jobs::record::decode_cell;
use nutmegcart_jobs::record::decode_job;
use nutmegcart_model::Event;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;
use nutmegcart_platform::KeyValue;
use tokio::sync::Semaphore;

use crate::clock::now;
use crate::clock::unix_ms;
use crate::limit_exchange;
use crate::node::Node;
use crate::node::OwnedCell;
use crate::node::configure_scheduler;
use crate::ownership;
use crate::passing;
use crate::port::MachineOrderRequest;
use crate::port::PollError;
use crate::port::Target;
use crate::prefix_watcher::KeyChange;
use crate::prefix_watcher::PrefixWatcher;
use crate::status;
use crate::waves;
use crate::writer;

/// Interval at which the scheduler's clock is advanced.
pub(crate) const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Interval of the log line about the state of the cell.
const STATUS_LOG_PERIOD: Duration = Duration::from_secs(1);
/// Delay before a placement pass, so that one pass handles several events.
const PASS_DELAY: Duration = Duration::from_millis(3);
/// Delay after a report with newly ended runs, so that the next one covers further ends.
const NEW_ENDS_DELAY: Duration = Duration::from_millis(30);
/// Delay after a report whose ended runs are all known and being acknowledged.
const KNOWN_ENDS_DELAY: Duration = Duration::from_millis(60);
/// Delay after a failed poll of a worker.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Concurrent orders to one worker, which bounds the connections to it.
const MAX_ORDERS_PER_WORKER: usize = 2;
/// Delay between two watches of the workers' entries. A leaving worker remains for two seconds.
const WORKER_BATCH_DELAY: Duration = Duration::from_millis(250);
/// The same delay while machines change their pool, because their new workers are awaited.
const WORKER_BATCH_DELAY_MOVING: Duration = Duration::from_millis(60);
/// Delay between two watches of the cell, so that one watch returns several jobs.
const CELL_BATCH_DELAY: Duration = Duration::from_millis(8);
/// Interval at which machines are listed while orders for machines are in progress.
const MACHINE_LIST_PERIOD_BUSY: Duration = Duration::from_millis(500);
/// Interval at which machines are listed otherwise.
const MACHINE_LIST_PERIOD: Duration = Duration::from_millis(1_500);
/// Margin before the end of the lease; without it, orders that the receiver does not fence could
/// take effect after the lease has expired.
const LEASE_MARGIN: Duration = Duration::from_millis(400);

/// Starts all tasks of an owner. They end when ownership ends.
pub fn start(node: &Rc<Node>, owned: &Rc<OwnedCell>) {
    tokio::task::spawn_local(watch_cell(node.clone(), owned.clone()));
    tokio::task::spawn_local(watch_workers(node.clone(), owned.clone()));
    tokio::task::spawn_local(writer::run(node.clone(), owned.clone()));
    tokio::task::spawn_local(run_passes(node.clone(), owned.clone()));
    tokio::task::spawn_local(run_ticks(node.clone(), owned.clone()));
    tokio::task::spawn_local(watch_machines(node.clone(), owned.clone()));
    tokio::task::spawn_local(waves::run(node.clone(), owned.clone()));
    tokio::task::spawn_local(passing::run(node.clone(), owned.clone()));
    tokio::task::spawn_local(limit_exchange::run(node.clone(), owned.clone()));
}

/// Reads all keys of the cell, then watches for submitted and cancelled jobs.
async fn watch_cell(node: Rc<Node>, owned: Rc<OwnedCell>) {
    let mut watcher = PrefixWatcher::new(owned.view.keys.prefix.clone());
    watcher.batch_delay = CELL_BATCH_DELAY;
    watcher.last_answer = node.last_answer.clone();
    let mut initial = Vec::new();
    while !owned.has_ended() {
        let changes = watcher.next(&node.platform.store).await;
        node.record_store_call(watcher.reachable);
        owned.state.view.set(watcher.view);
        // The owner's key and the jobs share one prefix, so their changes arrive in order of
        // revision: a change of the owner is seen before any job that was written after it.
        for each in &changes {
            match each {
                KeyChange::Put(item) if item.key == owned.view.keys.owner() => {
                    ownership::update_owner(&node, owned.view.number, item);
                }
                KeyChange::Deleted(key) if *key == owned.view.keys.owner() => {
                    owned.end_ownership("the owner's key is gone");
                }
                _ => {}
            }
        }
        if owned.has_ended() {
            break;
        }
        if changes.is_empty() {
            continue;
        }
        if owned.state.loaded.get() {
            for each in changes {
                apply_job_change(&owned, &each, false);
            }
        } else {
            let complete = changes.contains(&KeyChange::Synced);
            initial.extend(changes);
            if complete {
                load(&node, &owned, &std::mem::take(&mut initial));
            }
        }
        owned.pass_wanted.notify_one();
        owned.write_wanted.notify_one();
    }
}

/// Loads the jobs and the scheduler state that earlier owners stored.
fn load(node: &Rc<Node>, owned: &Rc<OwnedCell>, changes: &[KeyChange]) {
    {
        let mut scheduler = owned.scheduler.borrow_mut();
        if let Some(configuration) = node.configuration.borrow().as_ref() {
            configure_scheduler(&mut scheduler, configuration);
        }
    }
    for each in changes {
        apply_job_change(owned, each, true);
    }
    let state = owned.view.keys.state();
    let record = changes.iter().find_map(|each| match each {
        KeyChange::Put(item) if item.key == state => Some(item),
        _ => None,
    });
    if let Some(item) = record {
        owned.state.record_revision.set(item.modified);
        match decode_cell(&item.value) {
            Ok(mut record) => {
                record.check_writer(owned.log.state_writers().as_ref());
                owned.scheduler.borrow_mut().inherit(&record);
            }
            Err(error) => log_event!(Event::JobRecordInvalid, key = state, reason = error),
        }
    }
    owned.state.loaded.set(true);
    let scheduler = owned.scheduler.borrow();
    log_event!(
        Event::CellLoaded,
        cell = owned.view.number,
        fence = owned.fence,
        jobs = scheduler.jobs().count(),
        workers = scheduler.workers().count(),
        took_ms = now().saturating_sub(owned.renewed_at.get()).as_millis(),
    );
    let ids: Vec<WorkerId> = scheduler
        .workers()
        .map(|worker| worker.listing.id.clone())
        .collect();
    drop(scheduler);
    for id in ids {
        start_polling(node, owned, id);
    }
}

fn apply_job_change(owned: &Rc<OwnedCell>, change: &KeyChange, inherited: bool) {
    let KeyChange::Put(item) = change else {
        return;
    };
    let Some(id) = owned.view.keys.job_of(&item.key) else {
        return;
    };
    let mut scheduler = owned.scheduler.borrow_mut();
    match decode_job(&item.value) {
        Ok(JobRecord::Accepted(accepted)) => {
            let earlier = u64::try_from(item.created).is_ok_and(|created| created < owned.fence);
            scheduler.add_job(
                &id,
                *accepted,
                item.modified,
                inherited || earlier,
                unix_ms(),
                now(),
            );
        }
        Ok(JobRecord::Ended {
            how, organisation, ..
        }) => scheduler.record_stored_end(&id, how, organisation, now()),
        Ok(JobRecord::Tombstone { organisation, .. }) => {
            scheduler.record_tombstone(&id, organisation, now());
        }
        Err(error) => log_event!(Event::JobRecordInvalid, job = id, reason = error),
    }
}

/// Watches the workers' entries.
async fn watch_workers(node: Rc<Node>, owned: Rc<OwnedCell>) {
    let directory = node.platform.directory.clone();
    let mut watcher = PrefixWatcher::new(&*directory.worker_prefix);
    while !owned.has_ended() {
        if !owned.state.loaded.get() {
            tokio::time::sleep(PASS_DELAY).await;
            continue;
        }
        let moving = owned.scheduler.borrow().has_pending_machine_orders();
        watcher.batch_delay = if moving {
            WORKER_BATCH_DELAY_MOVING
        } else {
            WORKER_BATCH_DELAY
        };
        for each in watcher.next(&node.platform.store).await {
            match each {
                KeyChange::Put(item) => update_worker(&node, &owned, &item),
                KeyChange::Deleted(key) => {
                    if let Some(id) = (directory.worker_of)(&key) {
                        owned.scheduler.borrow_mut().worker_unlisted(&id, now());
                    }
                }
                KeyChange::Synced => {}
            }
        }
        owned.pass_wanted.notify_one();
        owned.write_wanted.notify_one();
    }
}

fn update_worker(node: &Rc<Node>, owned: &Rc<OwnedCell>, item: &KeyValue) {
    match (node.platform.directory.parse_listing)(item) {
        Ok(listing) => {
            let cells = node.cells();
            let cell = cells.map(|cells| cells.layout.cell_of_worker(&listing));
            if cell != Some(owned.view.number) {
                return;
            }
            let id = listing.id.clone();
            owned.scheduler.borrow_mut().worker_listed(listing, now());
            start_polling(node, owned, id);
        }
        Err(reason) => {
            log_event!(Event::WorkerInvalid, key = item.key, reason = reason);
            if let Some(id) = (node.platform.directory.worker_of)(&item.key) {
                owned.scheduler.borrow_mut().worker_unlisted(&id, now());
            }
        }
    }
}

/// Starts polling a worker unless it is already being polled.
fn start_polling(node: &Rc<Node>, owned: &Rc<OwnedCell>, id: WorkerId) {
    if owned.state.polled_workers.borrow_mut().insert(id.clone()) {
        tokio::task::spawn_local(poll_until_removed(node.clone(), owned.clone(), id));
    }
}

/// Polls a worker until the scheduler removes it.
async fn poll_until_removed(node: Rc<Node>, owned: Rc<OwnedCell>, id: WorkerId) {
    while !owned.has_ended() {
        let sent = now();
        if !owned.may_act_at(node.owner_validity(), sent) {
            tokio::time::sleep(POLL_RETRY_DELAY).await;
            continue;
        }
        let request = owned.scheduler.borrow_mut().next_poll(&id, sent);
        let target = target(&owned, &id);
        let (Some(request), Some(target)) = (request, target) else {
            break;
        };
        let polled = target.address;
        let renews = request.lease_end.is_some();
        let result = (node.platform.fleet.poll)(target, request).await;
        if owned.has_ended() {
            break;
        }
        match result {
            Ok(report) => {
                node.metrics.polls.with_label_values(&["answered"]).inc();
                let new_ends =
                    owned
                        .scheduler
                        .borrow_mut()
                        .handle_poll_response(&id, sent, &report, now());
                owned.pass_wanted.notify_one();
                owned.write_wanted.notify_one();
                let fresh = owned.scheduler.borrow().has_fresh_clock(&id, now());
                // The poll after one that did not renew the lease does so without a pause.
                if !fresh {
                    tokio::time::sleep(POLL_RETRY_DELAY).await;
                } else if renews && new_ends > 0 {
                    tokio::time::sleep(NEW_ENDS_DELAY).await;
                } else if renews && !report.ended.is_empty() {
                    tokio::time::sleep(KNOWN_ENDS_DELAY).await;
                }
            }
            Err(PollError::Fenced) => {
                owned.end_ownership("a worker has seen a higher fencing token");
            }
            Err(PollError::OtherIncarnation) => {
                node.metrics.polls.with_label_values(&["other_life"]).inc();
                // The worker may have started again at another address since the poll was sent.
                let current = self::target(&owned, &id).map(|target| target.address);
                if current == Some(polled) {
                    owned
                        .scheduler
                        .borrow_mut()
                        .handle_other_incarnation(&id, now());
                    owned.pass_wanted.notify_one();
                }
                tokio::time::sleep(POLL_RETRY_DELAY).await;
            }
            Err(PollError::Failed(reason)) => {
                node.metrics.polls.with_label_values(&["failed"]).inc();
                poll_failed(&owned, &id, &reason);
                owned.pass_wanted.notify_one();
                tokio::time::sleep(POLL_RETRY_DELAY).await;
            }
        }
    }
    owned.state.polled_workers.borrow_mut().remove(&id);
    owned.state.order_slots.borrow_mut().remove(&id);
}

fn poll_failed(owned: &OwnedCell, id: &WorkerId, reason: &str) {
    let mut scheduler = owned.scheduler.borrow_mut();
    scheduler.poll_failed(id, reason, now());
}

/// Polls a worker once, without waiting for a run to end.
async fn poll_immediately(node: Rc<Node>, owned: Rc<OwnedCell>, id: WorkerId) {
    let sent = now();
    // Ownership may have ended since the pass that asked for the poll.
    if !owned.may_act_at(node.owner_validity(), sent) {
        return;
    }
    let request = owned.scheduler.borrow_mut().immediate_poll(&id, sent);
    let (Some(request), Some(target)) = (request, target(&owned, &id)) else {
        return;
    };
    // Errors are handled by the long poll of `poll_until_removed`.
    if let Ok(report) = (node.platform.fleet.poll)(target, request).await
        && !owned.has_ended()
    {
        node.metrics.polls.with_label_values(&["quick"]).inc();
        owned
            .scheduler
            .borrow_mut()
            .handle_poll_response(&id, sent, &report, now());
        owned.pass_wanted.notify_one();
        owned.write_wanted.notify_one();
    }
}

fn target(owned: &OwnedCell, id: &WorkerId) -> Option<Target> {
    let scheduler = owned.scheduler.borrow();
    let worker = scheduler.worker(id)?;
    let address: SocketAddr = worker.listing.address.parse().ok()?;
    Some(Target {
        worker: id.clone(),
        address,
        fence: owned.fence,
    })
}

/// Runs a placement pass after each event, and executes the resulting actions.
async fn run_passes(node: Rc<Node>, owned: Rc<OwnedCell>) {
    while !owned.has_ended() {
        let due = owned.scheduler.borrow().next_attempt(now());
        let due = due.map_or(Duration::MAX, |due| due.saturating_sub(now() + PASS_DELAY));
        // A pass is due in either case.
        let _ = tokio::time::timeout(due, owned.pass_wanted.notified()).await;
        tokio::time::sleep(PASS_DELAY).await;
        let at = now();
        if !owned.state.loaded.get() || !owned.may_act_at(node.owner_validity(), at) {
            continue;
        }
        // Tasks run in the pool that the configuration names.
        let late =
            !owned.state.view.get().is_current(at) || node.current_configuration(at).is_err();
        if late {
            node.metrics.retries.with_label_values(&["view_late"]).inc();
            continue;
        }
        let actions = {
            let mut scheduler = owned.scheduler.borrow_mut();
            // An earlier owner that has not seen the loss of its key acts until its lease expires.
            let lease_validity = node.settings.lease.saturating_sub(LEASE_MARGIN);
            let inherited_until =
                owned.state.since.get() + node.reloadable.get().jobs.order_gap + lease_validity;
            scheduler.set_ownership(
                inherited_until,
                (owned.renewed_at.get() + node.settings.lease).saturating_sub(LEASE_MARGIN),
            );
            scheduler.run_pass(at);
            if scheduler.wants_limits() {
                owned.state.limits.wanted.notify_one();
            }
            scheduler.take_actions()
        };
        for action in actions {
            execute(&node, &owned, action);
        }
    }
}

/// Advances the scheduler's clock, updates gauges, and wakes the placement pass and the writer for
/// work that is due by time alone.
async fn run_ticks(node: Rc<Node>, owned: Rc<OwnedCell>) {
    let mut next_status = now();
    while !owned.has_ended() {
        tokio::time::sleep(TICK_PERIOD).await;
        if !owned.state.loaded.get() {
            continue;
        }
        if now() >= next_status {
            next_status = now() + STATUS_LOG_PERIOD;
            status::report(&node, &owned);
        }
        let mut scheduler = owned.scheduler.borrow_mut();
        scheduler.allow_ranges(node.members_read_state());
        scheduler.tick(unix_ms(), now());
        for wait in scheduler.take_start_delays() {
            node.metrics.first_start.observe(wait.as_secs_f64());
        }
        let waiting = i64::try_from(scheduler.waiting_total()).unwrap_or(i64::MAX);
        let cell = owned.view.number.to_string();
        node.metrics
            .waiting_jobs
            .with_label_values(&[&cell])
            .set(waiting);
        node.metrics
            .jobs
            .with_label_values(&[&cell])
            .set(i64::try_from(scheduler.jobs().count()).unwrap_or(i64::MAX));
        owned.pass_wanted.notify_one();
        owned.write_wanted.notify_one();
    }
    status::clear(&node, owned.view.number);
    status::clear_use(&node, &owned);
}

fn execute(node: &Rc<Node>, owned: &Rc<OwnedCell>, action: Action) {
    let (node, owned) = (node.clone(), owned.clone());
    match action {
        Action::Order { worker, order } => {
            tokio::task::spawn_local(send_order(node, owned, worker, order));
        }
        Action::Poll { worker } => {
            tokio::task::spawn_local(poll_immediately(node, owned, worker));
        }
        Action::RequestTickets { step, workers } => {
            tokio::task::spawn_local(async move {
                let sent = now();
                match (node.platform.fleet.request_tickets)(step.clone(), workers).await {
                    Ok(reply) => {
                        owned.scheduler.borrow_mut().add_tickets(
                            &step,
                            &reply.tickets,
                            reply.valid_for,
                            sent,
                        );
                        owned.pass_wanted.notify_one();
                    }
                    Err(reason) => log::info!("no tickets for step {step}: {reason}"),
                }
            });
        }
        Action::Machine { machine, order } => {
            tokio::task::spawn_local(async move {
                let lease_validity = node.settings.lease.saturating_sub(LEASE_MARGIN);
                let outcome = if owned.may_act(lease_validity) {
                    let request = MachineOrderRequest {
                        holder: node.settings.name.clone(),
                        fence: owned.fence,
                        machine: machine.clone(),
                        order: order.clone(),
                    };
                    (node.platform.fleet.send_machine_order)(request).await
                } else {
                    // It was not sent, so nothing was done.
                    MachineOutcome::Refused
                };
                node.metrics
                    .machine_orders
                    .with_label_values(&[order.label(), outcome.label()])
                    .inc();
                owned.scheduler.borrow_mut().handle_machine_outcome(
                    &machine,
                    &order,
                    outcome,
                    now(),
                );
                owned.pass_wanted.notify_one();
            });
        }
    }
}

/// Sends an order. Orders to one worker are sent in the order in which they were emitted, at most
/// [`MAX_ORDERS_PER_WORKER`] at a time.
async fn send_order(node: Rc<Node>, owned: Rc<OwnedCell>, id: WorkerId, order: WorkerOrder) {
    let slots = {
        let mut order_slots = owned.state.order_slots.borrow_mut();
        let slots = order_slots
            .entry(id.clone())
            .or_insert_with(|| Rc::new(Semaphore::new(MAX_ORDERS_PER_WORKER)));
        slots.clone()
    };
    let Ok(_permit) = slots.acquire().await else {
        return;
    };
    let sent = now();
    let target = target(&owned, &id);
    // While the order waited, it may have become obsolete, or this owner may have lost its right
    // to send orders.
    let wanted = owned.scheduler.borrow().is_still_wanted(&id, &order, sent);
    let outcome = match target {
        Some(target) if wanted && owned.may_act(node.owner_validity()) => {
            (node.platform.fleet.send_order)(target, order.clone()).await
        }
        _ => OrderOutcome::Withdrawn,
    };
    node.metrics
        .orders
        .with_label_values(&[order.label(), outcome.label()])
        .inc();
    if outcome != OrderOutcome::Withdrawn {
        let took = now().saturating_sub(sent);
        node.metrics.order_latency.observe(took.as_secs_f64());
    }
    if let OrderOutcome::Refused {
        why: Refusal::Fenced,
        ..
    } = outcome
    {
        owned.end_ownership("a worker has seen a higher fencing token");
    }
    owned
        .scheduler
        .borrow_mut()
        .handle_order_outcome(&id, &order, outcome, now());
    owned.pass_wanted.notify_one();
}

/// Returns whether the layout assigns a machine to the owner's cell.
fn in_cell(node: &Node, owned: &OwnedCell, machine: &str) -> bool {
    let cells = node.cells();
    cells.is_some_and(|cells| cells.layout.cell_of_machine(machine) == owned.view.number)
}

/// Lists the machines of the cell at intervals.
async fn watch_machines(node: Rc<Node>, owned: Rc<OwnedCell>) {
    while !owned.has_ended() {
        if owned.state.loaded.get() {
            let requested_at = now();
            match (node.platform.fleet.list_machines)().await {
                Ok(mut list) => {
                    // An entry without a name says to every owner that the list is incomplete.
                    list.retain(|machine| {
                        machine.name.is_empty() || in_cell(&node, &owned, &machine.name)
                    });
                    owned
                        .scheduler
                        .borrow_mut()
                        .update_machines(list, requested_at, now());
                }
                Err(reason) => log::debug!("list of machines not read: {reason}"),
            }
            owned.pass_wanted.notify_one();
        }
        let busy = owned.scheduler.borrow().has_pending_machine_orders();
        tokio::time::sleep(if busy {
            MACHINE_LIST_PERIOD_BUSY
        } else {
            MACHINE_LIST_PERIOD
        })
        .await;
    }
}
