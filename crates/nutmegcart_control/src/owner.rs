//! What the owner of the cell does: it reads the cell, looks at workers, sends orders and stores
//! what happened.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegcart_jobs::Action;
use nutmegcart_jobs::JobRecord;
use nutmegcart_jobs::OrderOutcome;
use nutmegcart_jobs::Refusal;
use nutmegcart_jobs::WorkerOrder;
use nutmegcart_jobs::record::CellRecord;
use nutmegcart_jobs::record::decode;
use nutmegcart_model::Event;
use nutmegcart_model::WorkerId;
use nutmegcart_model::log_event;
use nutmegcart_platform::KeyValue;
use tokio::sync::Semaphore;

use crate::clock::now;
use crate::clock::unix_ms;
use crate::node::Node;
use crate::node::OwnedCell;
use crate::ownership;
use crate::port::LookError;
use crate::port::MachineCommand;
use crate::port::Target;
use crate::prefix_watcher::KeyChange;
use crate::prefix_watcher::PrefixWatcher;
use crate::waves;
use crate::writer;
use crate::writer::STORE_RETRY_DELAY;

/// Time between two advances of what depends on time alone.
pub(crate) const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Time between two lines about the state of the cell.
const STATUS_LOG_PERIOD: Duration = Duration::from_secs(1);
/// Pause before a placement pass, in which further events collect.
const PASS_DELAY: Duration = Duration::from_millis(3);
/// Pause between two looks at a worker after one that showed new ends; further ends collect in it.
const NEW_ENDS_DELAY: Duration = Duration::from_millis(30);
/// Pause after a look that showed only ends whose acknowledgement is under way.
const KNOWN_ENDS_DELAY: Duration = Duration::from_millis(60);
/// Pause after a look that failed.
const LOOK_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Orders under way to one worker at once, and so its connections.
const MAX_ORDERS_PER_WORKER: usize = 2;
/// Pause between two watches of the workers' entries; a worker that leaves has two seconds.
const WORKER_BATCH_DELAY: Duration = Duration::from_millis(250);
/// The same pause while machines change their pool, whose new workers are waited for.
const WORKER_BATCH_DELAY_MOVING: Duration = Duration::from_millis(60);
/// Pause between two watches of the cell; jobs that arrive in it are taken in together.
const CELL_BATCH_DELAY: Duration = Duration::from_millis(8);
/// Time between two lists of machines while orders for some are under way.
const MACHINE_LIST_PERIOD_BUSY: Duration = Duration::from_millis(500);
/// Time between two lists of machines otherwise.
const MACHINE_LIST_PERIOD: Duration = Duration::from_millis(1_500);
/// Time kept back from a lease before it ends, for orders that cannot be fenced.
const LEASE_MARGIN: Duration = Duration::from_millis(400);

/// Starts all tasks of an owner; they end with its ownership.
pub fn start(node: &Rc<Node>, owned: &Rc<OwnedCell>) {
    tokio::task::spawn_local(watch_cell(node.clone(), owned.clone()));
    tokio::task::spawn_local(watch_workers(node.clone(), owned.clone()));
    tokio::task::spawn_local(writer::run(node.clone(), owned.clone()));
    tokio::task::spawn_local(run_passes(node.clone(), owned.clone()));
    tokio::task::spawn_local(run_ticks(node.clone(), owned.clone()));
    tokio::task::spawn_local(watch_machines(node.clone(), owned.clone()));
    tokio::task::spawn_local(waves::run(node.clone(), owned.clone()));
}

/// Reads the cell, then follows jobs that are handed in or cancelled.
async fn watch_cell(node: Rc<Node>, owned: Rc<OwnedCell>) {
    let mut watcher = PrefixWatcher::new(owned.view.keys.prefix.clone());
    watcher.batch_delay = CELL_BATCH_DELAY;
    let mut first = Vec::new();
    while !owned.has_ended() {
        let seen = watcher.next(&node.platform.store).await;
        node.record_store_call(watcher.reachable);
        // Ownership and jobs come in one order here: whoever has seen a job has seen before it
        // whether the cell had changed its owner by then.
        for each in &seen {
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
        if seen.is_empty() {
            continue;
        }
        if owned.state.loaded.get() {
            for each in seen {
                apply_job_change(&owned, &each, false);
            }
        } else {
            let complete = seen.contains(&KeyChange::Synced);
            first.extend(seen);
            if complete {
                load(&node, &owned, &std::mem::take(&mut first));
            }
        }
        owned.pass_wanted.notify_one();
        owned.write_wanted.notify_one();
    }
}

/// Takes over what earlier owners left.
fn load(node: &Rc<Node>, owned: &Rc<OwnedCell>, seen: &[KeyChange]) {
    {
        let mut scheduler = owned.scheduler.borrow_mut();
        if let Some(configuration) = node.configuration.borrow().as_ref() {
            scheduler.configure(&configuration.queues, &configuration.pools);
        }
    }
    for each in seen {
        apply_job_change(owned, each, true);
    }
    let state = owned.view.keys.state();
    let record = seen.iter().find_map(|each| match each {
        KeyChange::Put(item) if item.key == state => Some(item),
        _ => None,
    });
    if let Some(item) = record {
        owned.state.record_revision.set(item.modified);
        match decode::<CellRecord>(&item.value) {
            Ok(record) => owned.scheduler.borrow_mut().inherit(&record),
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
        start_looks(node, owned, id);
    }
}

fn apply_job_change(owned: &Rc<OwnedCell>, seen: &KeyChange, inherited: bool) {
    let KeyChange::Put(item) = seen else {
        return;
    };
    let Some(id) = owned.view.keys.job_of(&item.key) else {
        return;
    };
    let mut scheduler = owned.scheduler.borrow_mut();
    match decode::<JobRecord>(&item.value) {
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
        Ok(JobRecord::Ended { how, .. }) => scheduler.note_ended(&id, how, now()),
        Err(error) => log_event!(Event::JobRecordInvalid, job = id, reason = error),
    }
}

/// Follows the workers' entries.
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
            start_looks(node, owned, id);
        }
        Err(reason) => {
            log_event!(Event::WorkerInvalid, key = item.key, reason = reason);
            if let Some(id) = (node.platform.directory.worker_of)(&item.key) {
                owned.scheduler.borrow_mut().worker_unlisted(&id, now());
            }
        }
    }
}

/// Starts looking at a worker unless that is being done.
fn start_looks(node: &Rc<Node>, owned: &Rc<OwnedCell>, id: WorkerId) {
    if owned.state.polled_workers.borrow_mut().insert(id.clone()) {
        tokio::task::spawn_local(run_looks(node.clone(), owned.clone(), id));
    }
}

/// Looks at a worker until the scheduler forgets it.
async fn run_looks(node: Rc<Node>, owned: Rc<OwnedCell>, id: WorkerId) {
    while !owned.has_ended() {
        if !owned.may_act(node.authority()) {
            tokio::time::sleep(LOOK_RETRY_DELAY).await;
            continue;
        }
        let sent = now();
        let look = owned.scheduler.borrow_mut().next_poll(&id, sent);
        let target = target(&owned, &id);
        let (Some(look), Some(target)) = (look, target) else {
            break;
        };
        let result = (node.platform.fleet.look)(target, look).await;
        if owned.has_ended() {
            break;
        }
        match result {
            Ok(report) => {
                node.metrics.looks.with_label_values(&["answered"]).inc();
                let fresh =
                    owned
                        .scheduler
                        .borrow_mut()
                        .handle_poll_response(&id, sent, &report, now());
                owned.pass_wanted.notify_one();
                owned.write_wanted.notify_one();
                if fresh > 0 {
                    tokio::time::sleep(NEW_ENDS_DELAY).await;
                } else if !report.ended.is_empty() {
                    tokio::time::sleep(KNOWN_ENDS_DELAY).await;
                }
            }
            Err(LookError::Fenced) => {
                owned.end_ownership("a worker has seen a higher fencing token");
            }
            Err(LookError::OtherIncarnation) => {
                node.metrics.looks.with_label_values(&["other_life"]).inc();
                look_failed(&owned, &id, "another life answers");
                tokio::time::sleep(LOOK_RETRY_DELAY).await;
            }
            Err(LookError::Failed(reason)) => {
                node.metrics.looks.with_label_values(&["failed"]).inc();
                look_failed(&owned, &id, &reason);
                owned.pass_wanted.notify_one();
                tokio::time::sleep(LOOK_RETRY_DELAY).await;
            }
        }
    }
    owned.state.polled_workers.borrow_mut().remove(&id);
    owned.state.order_slots.borrow_mut().remove(&id);
}

fn look_failed(owned: &OwnedCell, id: &WorkerId, reason: &str) {
    let mut scheduler = owned.scheduler.borrow_mut();
    scheduler.poll_failed(id, reason, now());
}

/// Looks at a worker once, without waiting for an end.
async fn quick_look(node: Rc<Node>, owned: Rc<OwnedCell>, id: WorkerId) {
    let sent = now();
    let look = owned.scheduler.borrow_mut().immediate_poll(&id, sent);
    let (Some(look), Some(target)) = (look, target(&owned, &id)) else {
        return;
    };
    // The look that waits at the worker notices what goes wrong there.
    if let Ok(report) = (node.platform.fleet.look)(target, look).await
        && !owned.has_ended()
    {
        node.metrics.looks.with_label_values(&["quick"]).inc();
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

/// Places work whenever something has happened.
async fn run_passes(node: Rc<Node>, owned: Rc<OwnedCell>) {
    while !owned.has_ended() {
        owned.pass_wanted.notified().await;
        tokio::time::sleep(PASS_DELAY).await;
        if !owned.state.loaded.get() || !owned.may_act(node.authority()) {
            continue;
        }
        let actions = {
            let mut scheduler = owned.scheduler.borrow_mut();
            // An earlier owner whose key was taken away unseen goes on until its lease ends.
            let last = node.settings.lease.saturating_sub(LEASE_MARGIN);
            let from = owned.state.since.get() + node.reloadable.get().jobs.order_gap + last;
            scheduler.set_ownership(
                from,
                (owned.renewed_at.get() + node.settings.lease).saturating_sub(LEASE_MARGIN),
            );
            scheduler.run_pass(now());
            scheduler.take_actions()
        };
        for action in actions {
            execute(&node, &owned, action);
        }
    }
}

/// Advances time, and wakes the pass and the writer for what time alone makes due.
async fn run_ticks(node: Rc<Node>, owned: Rc<OwnedCell>) {
    let mut status = now();
    while !owned.has_ended() {
        tokio::time::sleep(TICK_PERIOD).await;
        if !owned.state.loaded.get() {
            continue;
        }
        if now() >= status {
            status = now() + STATUS_LOG_PERIOD;
            owned
                .scheduler
                .borrow()
                .log_status(owned.view.number, now());
        }
        let mut scheduler = owned.scheduler.borrow_mut();
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
}

fn execute(node: &Rc<Node>, owned: &Rc<OwnedCell>, action: Action) {
    let (node, owned) = (node.clone(), owned.clone());
    match action {
        Action::Order { worker, order } => {
            tokio::task::spawn_local(send_order(node, owned, worker, order));
        }
        Action::Poll { worker } => {
            tokio::task::spawn_local(quick_look(node, owned, worker));
        }
        Action::RequestTickets { step, workers } => {
            tokio::task::spawn_local(async move {
                let sent = now();
                match (node.platform.fleet.advise)(step.clone(), workers).await {
                    Ok(reply) => {
                        owned.scheduler.borrow_mut().add_tickets(
                            &step,
                            &reply.tickets,
                            reply.valid_for,
                            sent,
                        );
                        owned.pass_wanted.notify_one();
                    }
                    Err(reason) => log::info!("no advice on {step}: {reason}"),
                }
            });
        }
        Action::Machine { machine, order } => {
            tokio::task::spawn_local(async move {
                let strict = node.settings.lease.saturating_sub(LEASE_MARGIN);
                if !owned.may_act(strict) {
                    return;
                }
                let command = MachineCommand {
                    holder: node.settings.name.clone(),
                    fence: owned.fence,
                    machine: machine.clone(),
                    order: order.clone(),
                };
                let outcome = (node.platform.fleet.command_machine)(command).await;
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

/// Sends an order; a few go to one worker at once, in order of their emission.
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
    // An order that has waited may have lost its reason, or its sender its authority.
    let wanted = owned.scheduler.borrow().wants(&id, &order);
    let outcome = match target {
        Some(target) if wanted && owned.may_act(node.authority()) => {
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

/// Returns whether a machine belongs to the owner's cell.
fn in_cell(node: &Node, owned: &OwnedCell, machine: &str) -> bool {
    let cells = node.cells();
    cells.is_some_and(|cells| cells.layout.cell_of_machine(machine) == owned.view.number)
}

/// Reads the list of machines.
async fn watch_machines(node: Rc<Node>, owned: Rc<OwnedCell>) {
    while !owned.has_ended() {
        if owned.state.loaded.get() {
            let asked = now();
            match (node.platform.fleet.list_machines)().await {
                Ok(mut list) => {
                    list.retain(|machine| in_cell(&node, &owned, &machine.name));
                    owned
                        .scheduler
                        .borrow_mut()
                        .update_machines(list, asked, now());
                }
                Err(reason) => log::debug!("machines not listed: {reason}"),
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

/// Hands all cells over: no more orders, the last state stored, and the keys removed.
pub async fn release_cells(node: &Rc<Node>) {
    let owned = node.owned_cells();
    if owned.is_empty() {
        return;
    }
    for each in &owned {
        each.state.shutting_down.set(true);
    }
    // Orders and a transaction under way settle first, so that a successor finds them settled.
    tokio::time::sleep(STORE_RETRY_DELAY).await;
    for each in owned {
        each.end_ownership("shutdown");
        release(node, &each).await;
        let released = node
            .metrics
            .ownership_changes
            .with_label_values(&["released"]);
        released.inc();
        log_event!(
            Event::CellReleased,
            cell = each.view.number,
            fence = each.fence
        );
    }
}

async fn release(node: &Rc<Node>, owned: &Rc<OwnedCell>) {
    if let Err(error) = (node.platform.store.revoke_lease)(owned.lease).await {
        log::info!("lease {} not ended, it will run out: {error}", owned.lease);
    }
}
