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

use crate::cell;
use crate::clock::now;
use crate::clock::unix_ms;
use crate::follow::Follower;
use crate::follow::Seen;
use crate::node::Node;
use crate::node::Owned;
use crate::port::Command;
use crate::port::LookError;
use crate::port::Target;
use crate::waves;
use crate::writer::STORE_RETRY;
use crate::writer::write;

/// Time between two advances of what depends on time alone.
pub(crate) const TICK: Duration = Duration::from_millis(50);
/// Time between two lines about the state of the cell.
const STATUS: Duration = Duration::from_secs(1);
/// Pause before a placement pass, in which further events collect.
const PASS_GAP: Duration = Duration::from_millis(3);
/// Pause between two looks at a worker after one that showed new ends; further ends collect in it.
const LOOK_GAP: Duration = Duration::from_millis(30);
/// Pause after a look that showed only ends whose acknowledgement is under way.
const SEEN_GAP: Duration = Duration::from_millis(60);
/// Pause after a look that failed.
const LOOK_RETRY: Duration = Duration::from_millis(200);
/// Orders under way to one worker at once, and so its connections.
const ORDERS_AT_ONCE: usize = 2;
/// Pause between two watches of the workers' entries; a worker that leaves has two seconds.
const WORKERS_GAP: Duration = Duration::from_millis(250);
/// The same pause while machines change their pool, whose new workers are waited for.
const MOVING_GAP: Duration = Duration::from_millis(60);
/// Pause between two watches of the cell; jobs that arrive in it are taken in together.
const CELL_GAP: Duration = Duration::from_millis(8);
/// Time between two lists of machines while orders for some are under way.
const MACHINES_BUSY: Duration = Duration::from_millis(500);
/// Time between two lists of machines otherwise.
const MACHINES_IDLE: Duration = Duration::from_millis(1_500);
/// Time kept back from a lease before it ends, for orders that cannot be fenced.
const LEASE_MARGIN: Duration = Duration::from_millis(400);

/// Starts all tasks of an owner; they end with its ownership.
pub fn start(node: &Rc<Node>, owned: &Rc<Owned>) {
    tokio::task::spawn_local(follow_cell(node.clone(), owned.clone()));
    tokio::task::spawn_local(follow_workers(node.clone(), owned.clone()));
    tokio::task::spawn_local(write(node.clone(), owned.clone()));
    tokio::task::spawn_local(passes(node.clone(), owned.clone()));
    tokio::task::spawn_local(ticks(node.clone(), owned.clone()));
    tokio::task::spawn_local(machines(node.clone(), owned.clone()));
    tokio::task::spawn_local(waves::run(node.clone(), owned.clone()));
}

/// Reads the cell, then follows jobs that are handed in or cancelled.
async fn follow_cell(node: Rc<Node>, owned: Rc<Owned>) {
    let mut follower = Follower::new(owned.cell.keys.prefix.clone());
    follower.gap = CELL_GAP;
    let mut first = Vec::new();
    while !owned.is_over() {
        let seen = follower.next(&node.platform.store).await;
        node.note_store(follower.reached);
        // Ownership and jobs come in one order here: whoever has seen a job has seen before it
        // whether the cell had changed its owner by then.
        for each in &seen {
            match each {
                Seen::Put(item) if item.key == owned.cell.keys.owner() => {
                    cell::see_owner(&node, owned.cell.number, item);
                }
                Seen::Gone(key) if *key == owned.cell.keys.owner() => {
                    owned.give_up("the owner's key is gone");
                }
                _ => {}
            }
        }
        if owned.is_over() {
            break;
        }
        if seen.is_empty() {
            continue;
        }
        if owned.state.loaded.get() {
            for each in seen {
                take_in(&owned, &each, false);
            }
        } else {
            let complete = seen.contains(&Seen::Complete);
            first.extend(seen);
            if complete {
                load(&node, &owned, &std::mem::take(&mut first));
            }
        }
        owned.wake.notify_one();
        owned.store.notify_one();
    }
}

/// Takes over what earlier owners left.
fn load(node: &Rc<Node>, owned: &Rc<Owned>, seen: &[Seen]) {
    {
        let mut scheduler = owned.scheduler.borrow_mut();
        if let Some(configuration) = node.configuration.borrow().as_ref() {
            scheduler.configure(&configuration.queues, &configuration.pools);
        }
    }
    for each in seen {
        take_in(owned, each, true);
    }
    let state = owned.cell.keys.state();
    let record = seen.iter().find_map(|each| match each {
        Seen::Put(item) if item.key == state => Some(item),
        _ => None,
    });
    if let Some(item) = record {
        owned.state.written.set(item.modified);
        match decode::<CellRecord>(&item.value) {
            Ok(record) => owned.scheduler.borrow_mut().inherit(&record),
            Err(error) => log_event!(Event::JobRecordInvalid, key = state, reason = error),
        }
    }
    owned.state.loaded.set(true);
    let scheduler = owned.scheduler.borrow();
    log_event!(
        Event::CellLoaded,
        cell = owned.cell.number,
        fence = owned.fence,
        jobs = scheduler.jobs().count(),
        workers = scheduler.workers().count(),
        took_ms = now().saturating_sub(owned.renewed.get()).as_millis(),
    );
    let ids: Vec<WorkerId> = scheduler
        .workers()
        .map(|worker| worker.listing.id.clone())
        .collect();
    drop(scheduler);
    for id in ids {
        watch_worker(node, owned, id);
    }
}

fn take_in(owned: &Rc<Owned>, seen: &Seen, inherited: bool) {
    let Seen::Put(item) = seen else {
        return;
    };
    let Some(id) = owned.cell.keys.job_of(&item.key) else {
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
        Ok(JobRecord::Ended { how, .. }) => scheduler.record_final_state(&id, how, now()),
        Err(error) => log_event!(Event::JobRecordInvalid, job = id, reason = error),
    }
}

/// Follows the workers' entries.
async fn follow_workers(node: Rc<Node>, owned: Rc<Owned>) {
    let directory = node.platform.directory.clone();
    let mut follower = Follower::new(&*directory.workers);
    while !owned.is_over() {
        if !owned.state.loaded.get() {
            tokio::time::sleep(PASS_GAP).await;
            continue;
        }
        let moving = owned.scheduler.borrow().has_pending_machine_orders();
        follower.gap = if moving { MOVING_GAP } else { WORKERS_GAP };
        for each in follower.next(&node.platform.store).await {
            match each {
                Seen::Put(item) => see_listing(&node, &owned, &item),
                Seen::Gone(key) => {
                    if let Some(id) = (directory.worker)(&key) {
                        owned.scheduler.borrow_mut().worker_unlisted(&id, now());
                    }
                }
                Seen::Complete => {}
            }
        }
        owned.wake.notify_one();
        owned.store.notify_one();
    }
}

fn see_listing(node: &Rc<Node>, owned: &Rc<Owned>, item: &KeyValue) {
    match (node.platform.directory.listing)(item) {
        Ok(listing) => {
            let cells = node.cells();
            let cell = cells.map(|cells| cells.layout.cell_of_worker(&listing));
            if cell != Some(owned.cell.number) {
                return;
            }
            let id = listing.id.clone();
            owned.scheduler.borrow_mut().worker_listed(listing, now());
            watch_worker(node, owned, id);
        }
        Err(reason) => {
            log_event!(Event::WorkerInvalid, key = item.key, reason = reason);
            if let Some(id) = (node.platform.directory.worker)(&item.key) {
                owned.scheduler.borrow_mut().worker_unlisted(&id, now());
            }
        }
    }
}

/// Starts looking at a worker unless that is being done.
fn watch_worker(node: &Rc<Node>, owned: &Rc<Owned>, id: WorkerId) {
    if owned.state.watched.borrow_mut().insert(id.clone()) {
        tokio::task::spawn_local(looks(node.clone(), owned.clone(), id));
    }
}

/// Looks at a worker until the scheduler forgets it.
async fn looks(node: Rc<Node>, owned: Rc<Owned>, id: WorkerId) {
    while !owned.is_over() {
        if !owned.may_act(node.authority()) {
            tokio::time::sleep(LOOK_RETRY).await;
            continue;
        }
        let sent = now();
        let look = owned.scheduler.borrow_mut().next_poll(&id, sent);
        let target = target(&owned, &id);
        let (Some(look), Some(target)) = (look, target) else {
            break;
        };
        let result = (node.platform.fleet.look)(target, look).await;
        if owned.is_over() {
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
                owned.wake.notify_one();
                owned.store.notify_one();
                if fresh > 0 {
                    tokio::time::sleep(LOOK_GAP).await;
                } else if !report.ended.is_empty() {
                    tokio::time::sleep(SEEN_GAP).await;
                }
            }
            Err(LookError::Fenced) => {
                owned.give_up("a worker has seen a higher fencing token");
            }
            Err(LookError::OtherLife) => {
                node.metrics.looks.with_label_values(&["other_life"]).inc();
                look_failed(&owned, &id, "another life answers");
                tokio::time::sleep(LOOK_RETRY).await;
            }
            Err(LookError::Failed(reason)) => {
                node.metrics.looks.with_label_values(&["failed"]).inc();
                look_failed(&owned, &id, &reason);
                owned.wake.notify_one();
                tokio::time::sleep(LOOK_RETRY).await;
            }
        }
    }
    owned.state.watched.borrow_mut().remove(&id);
    owned.state.links.borrow_mut().remove(&id);
}

fn look_failed(owned: &Owned, id: &WorkerId, reason: &str) {
    let mut scheduler = owned.scheduler.borrow_mut();
    scheduler.poll_failed(id, reason, now());
}

/// Looks at a worker once, without waiting for an end.
async fn quick_look(node: Rc<Node>, owned: Rc<Owned>, id: WorkerId) {
    let sent = now();
    let look = owned.scheduler.borrow_mut().immediate_poll(&id, sent);
    let (Some(look), Some(target)) = (look, target(&owned, &id)) else {
        return;
    };
    // The look that waits at the worker notices what goes wrong there.
    if let Ok(report) = (node.platform.fleet.look)(target, look).await
        && !owned.is_over()
    {
        node.metrics.looks.with_label_values(&["quick"]).inc();
        owned
            .scheduler
            .borrow_mut()
            .handle_poll_response(&id, sent, &report, now());
        owned.wake.notify_one();
        owned.store.notify_one();
    }
}

fn target(owned: &Owned, id: &WorkerId) -> Option<Target> {
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
async fn passes(node: Rc<Node>, owned: Rc<Owned>) {
    while !owned.is_over() {
        owned.wake.notified().await;
        tokio::time::sleep(PASS_GAP).await;
        if !owned.state.loaded.get() || !owned.may_act(node.authority()) {
            continue;
        }
        let actions = {
            let mut scheduler = owned.scheduler.borrow_mut();
            // An earlier owner whose key was taken away unseen goes on until its lease ends.
            let last = node.settings.lease.saturating_sub(LEASE_MARGIN);
            let from = owned.state.since.get() + node.times.get().jobs.order_gap + last;
            scheduler.set_ownership(
                from,
                (owned.renewed.get() + node.settings.lease).saturating_sub(LEASE_MARGIN),
            );
            scheduler.run_pass(now());
            scheduler.take_actions()
        };
        for action in actions {
            carry_out(&node, &owned, action);
        }
    }
}

/// Advances time, and wakes the pass and the writer for what time alone makes due.
async fn ticks(node: Rc<Node>, owned: Rc<Owned>) {
    let mut status = now();
    while !owned.is_over() {
        tokio::time::sleep(TICK).await;
        if !owned.state.loaded.get() {
            continue;
        }
        if now() >= status {
            status = now() + STATUS;
            owned
                .scheduler
                .borrow()
                .log_status(owned.cell.number, now());
        }
        let mut scheduler = owned.scheduler.borrow_mut();
        scheduler.tick(unix_ms(), now());
        for wait in scheduler.take_start_delays() {
            node.metrics.waits.observe(wait.as_secs_f64());
        }
        let waiting = i64::try_from(scheduler.waiting_total()).unwrap_or(i64::MAX);
        let cell = owned.cell.number.to_string();
        node.metrics
            .waiting
            .with_label_values(&[&cell])
            .set(waiting);
        node.metrics
            .jobs
            .with_label_values(&[&cell])
            .set(i64::try_from(scheduler.jobs().count()).unwrap_or(i64::MAX));
        owned.wake.notify_one();
        owned.store.notify_one();
    }
}

fn carry_out(node: &Rc<Node>, owned: &Rc<Owned>, action: Action) {
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
                    Ok(permits) => {
                        owned.scheduler.borrow_mut().add_tickets(
                            &step,
                            &permits.tickets,
                            permits.valid,
                            sent,
                        );
                        owned.wake.notify_one();
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
                let command = Command {
                    holder: node.settings.name.clone(),
                    fence: owned.fence,
                    machine: machine.clone(),
                    order: order.clone(),
                };
                let outcome = (node.platform.fleet.command)(command).await;
                node.metrics
                    .machines
                    .with_label_values(&[order.label(), outcome.label()])
                    .inc();
                owned.scheduler.borrow_mut().handle_machine_outcome(
                    &machine,
                    &order,
                    outcome,
                    now(),
                );
                owned.wake.notify_one();
            });
        }
    }
}

/// Sends an order; a few go to one worker at once, in order of their emission.
async fn send_order(node: Rc<Node>, owned: Rc<Owned>, id: WorkerId, order: WorkerOrder) {
    let link = {
        let mut links = owned.state.links.borrow_mut();
        let link = links
            .entry(id.clone())
            .or_insert_with(|| Rc::new(Semaphore::new(ORDERS_AT_ONCE)));
        link.clone()
    };
    let Ok(_permit) = link.acquire().await else {
        return;
    };
    let sent = now();
    let target = target(&owned, &id);
    // An order that has waited may have lost its reason, or its sender its authority.
    let wanted = owned.scheduler.borrow().is_still_wanted(&id, &order);
    let outcome = match target {
        Some(target) if wanted && owned.may_act(node.authority()) => {
            (node.platform.fleet.order)(target, order.clone()).await
        }
        _ => OrderOutcome::Withdrawn,
    };
    node.metrics
        .orders
        .with_label_values(&[order.label(), outcome.label()])
        .inc();
    if outcome != OrderOutcome::Withdrawn {
        let took = now().saturating_sub(sent);
        node.metrics.order_time.observe(took.as_secs_f64());
    }
    if let OrderOutcome::Refused {
        why: Refusal::Fenced,
        ..
    } = outcome
    {
        owned.give_up("a worker has seen a higher fencing token");
    }
    owned
        .scheduler
        .borrow_mut()
        .handle_order_outcome(&id, &order, outcome, now());
    owned.wake.notify_one();
}

/// Returns whether a machine belongs to the owner's cell.
fn in_cell(node: &Node, owned: &Owned, machine: &str) -> bool {
    let cells = node.cells();
    cells.is_some_and(|cells| cells.layout.cell_of_machine(machine) == owned.cell.number)
}

/// Reads the list of machines.
async fn machines(node: Rc<Node>, owned: Rc<Owned>) {
    while !owned.is_over() {
        if owned.state.loaded.get() {
            let asked = now();
            match (node.platform.fleet.machines)().await {
                Ok(mut list) => {
                    list.retain(|machine| in_cell(&node, &owned, &machine.name));
                    owned
                        .scheduler
                        .borrow_mut()
                        .update_machines(list, asked, now());
                }
                Err(reason) => log::debug!("machines not listed: {reason}"),
            }
            owned.wake.notify_one();
        }
        let busy = owned.scheduler.borrow().has_pending_machine_orders();
        tokio::time::sleep(if busy { MACHINES_BUSY } else { MACHINES_IDLE }).await;
    }
}

/// Hands all cells over: no more orders, the last state stored, and the keys removed.
pub async fn hand_over(node: &Rc<Node>) {
    let owned = node.owned_cells();
    if owned.is_empty() {
        return;
    }
    for each in &owned {
        each.state.leaving.set(true);
    }
    // Orders and a transaction under way settle first, so that a successor finds them settled.
    tokio::time::sleep(STORE_RETRY).await;
    for each in owned {
        each.give_up("shutdown");
        release(node, &each).await;
        let released = node.metrics.ownership.with_label_values(&["released"]);
        released.inc();
        log_event!(
            Event::CellReleased,
            cell = each.cell.number,
            fence = each.fence
        );
    }
}

async fn release(node: &Rc<Node>, owned: &Rc<Owned>) {
    if let Err(error) = (node.platform.store.end)(owned.lease).await {
        log::info!("lease {} not ended, it will run out: {error}", owned.lease);
    }
}
