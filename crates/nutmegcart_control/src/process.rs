//! Start and shutdown of an entry instance.

use std::rc::Rc;
use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::log_event;

use crate::clients;
use crate::clock::now;
use crate::job_service::JobService;
use crate::logger;
use crate::node::Node;
use crate::operator_records;
use crate::ownership;
use crate::peer;
use crate::release;
use crate::store_probe;

/// Time after SIGTERM for which new connections may still arrive. The load balancer removes an
/// instance after two failed probes, one second apart.
const NEW_CONNECTION_PERIOD: Duration = Duration::from_millis(2_600);
/// Margin before the end of the grace period, so that the process exits before it is killed.
const EXIT_MARGIN: Duration = Duration::from_millis(900);

/// Starts the tasks of an instance, except for the servers of the adapter.
pub fn start(node: &Rc<Node>, service: &JobService) {
    tokio::task::spawn_local(operator_records::watch(node.clone()));
    tokio::task::spawn_local(operator_records::follow_peers(node.clone()));
    tokio::task::spawn_local(ownership::run(node.clone()));
    tokio::task::spawn_local(store_probe::run(node.clone()));
    tokio::task::spawn_local(serve_peers(node.clone(), service.clone()));
    tokio::task::spawn_local(clients::report(node.clone()));
    tokio::task::spawn_local(async {
        loop {
            tokio::time::sleep(logger::FLUSH_PERIOD).await;
            logger::flush();
        }
    });
    log_event!(
        Event::EntryStarted,
        id = node.settings.name,
        peer = node.settings.peer
    );
}

async fn serve_peers(node: Rc<Node>, service: JobService) {
    let address = node.settings.peer;
    while let Err(error) = peer::serve(node.clone(), service.clone(), address).await {
        log::error!("cannot serve peers on {address}: {error}");
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

/// Shuts down after SIGTERM: releases the cells, then returns once no request is in progress or
/// the grace period is nearly over.
pub async fn shut_down(node: &Rc<Node>) {
    let start = now();
    log_event!(
        Event::EntryDraining,
        id = node.settings.name,
        active = node.active_requests.get()
    );
    node.draining.set(true);
    release::release_cells(node).await;
    logger::flush();
    let end = start + node.reloadable.get().grace.saturating_sub(EXIT_MARGIN);
    let drained_at = start + NEW_CONNECTION_PERIOD.min(node.reloadable.get().grace / 2);
    while now() < drained_at {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    // Connections close after their current request; the response tells the client so.
    node.stop_servers.send_replace(true);
    while now() < end && node.active_requests.get() > 0 {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    log_event!(
        Event::EntryStopped,
        id = node.settings.name,
        active = node.active_requests.get()
    );
    // Lines that a slow reader has not taken by now are lost with the process.
    let _ = logger::shut_down();
}
