//! The life of an entry instance, from its first read to its shutdown.

use std::rc::Rc;
use std::time::Duration;

use nutmegcart_model::Event;
use nutmegcart_model::log_event;

use crate::caller::Desk;
use crate::cell;
use crate::clock::now;
use crate::duty;
use crate::follow::Follower;
use crate::follow::Seen;
use crate::logger;
use crate::node::Node;
use crate::peer;
use crate::port::OperatorRecord;

/// Time after SIGTERM for which new connections may still arrive: the balancer takes an instance
/// out after two failed probes, a second apart.
const LAST_CONNECTIONS: Duration = Duration::from_millis(2_600);
/// Time kept back from the grace period for the process to end by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(900);

/// Starts the tasks of an instance other than its adapter's servers.
pub fn start(node: &Rc<Node>, desk: &Desk) {
    tokio::task::spawn_local(follow_operator(node.clone()));
    tokio::task::spawn_local(cell::run(node.clone()));
    tokio::task::spawn_local(serve_peers(node.clone(), desk.clone()));
    tokio::task::spawn_local(async {
        loop {
            tokio::time::sleep(logger::FLUSH_EVERY).await;
            logger::flush();
        }
    });
    log_event!(
        Event::EntryStarted,
        id = node.settings.name,
        peer = node.settings.peer
    );
}

async fn serve_peers(node: Rc<Node>, desk: Desk) {
    let address = node.settings.peer;
    while let Err(error) = peer::serve(node.clone(), desk.clone(), address).await {
        log::error!("peers not served on {address}: {error}");
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

/// Follows what operators write.
async fn follow_operator(node: Rc<Node>) {
    let directory = node.platform.directory.clone();
    let mut follower = Follower::new(&*directory.operator);
    loop {
        let seen = follower.next(&node.platform.store).await;
        node.note_store(follower.reached);
        for each in seen {
            let Seen::Put(item) = each else {
                continue;
            };
            match (directory.record)(&item) {
                Ok(OperatorRecord::Configuration(configuration)) => {
                    node.metrics
                        .version
                        .set(i64::try_from(configuration.version).unwrap_or(i64::MAX));
                    node.configure(*configuration);
                    for view in node.views() {
                        view.changed.notify_one();
                    }
                }
                Ok(OperatorRecord::Wave(wave)) => {
                    let mut waves = node.waves.borrow_mut();
                    waves.retain(|each| each.number != wave.number);
                    waves.push(wave);
                }
                Err(reason) => log_event!(Event::ConfigInvalid, key = item.key, reason = reason),
            }
        }
    }
}

/// Shuts down after SIGTERM: hands the cell over, and ends once no request is in flight.
pub async fn shut_down(node: &Rc<Node>) {
    let start = now();
    log_event!(
        Event::EntryDraining,
        id = node.settings.name,
        active = node.active.get()
    );
    node.refusing.set(true);
    duty::hand_over(node).await;
    logger::flush();
    let end = start + node.times.get().grace.saturating_sub(GRACE_MARGIN);
    let quiet = start + LAST_CONNECTIONS.min(node.times.get().grace / 2);
    while now() < quiet {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    // Connections end after their present request; the senders learn it with the answer.
    node.stopping.send_replace(true);
    while now() < end && node.active.get() > 0 {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    log_event!(
        Event::EntryStopped,
        id = node.settings.name,
        active = node.active.get()
    );
    logger::flush();
    tokio::time::sleep(Duration::from_millis(50)).await;
}
