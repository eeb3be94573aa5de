//! The owner's part of maintenance waves, and the progress records that operators read.

use std::collections::HashSet;
use std::rc::Rc;

use nutmegcart_jobs::WaveState;
use nutmegcart_jobs::wave_partition::WavePartition;
use nutmegcart_platform::Txn;

use crate::clock::now;
use crate::keys;
use crate::node::Node;
use crate::node::OwnedCell;
use crate::owner::TICK_PERIOD;
use crate::writer::fence_revision;

/// Passes the cell's parts of the waves to the scheduler and stores their progress.
pub(crate) async fn run(node: Rc<Node>, owned: Rc<OwnedCell>) {
    let mut written: HashSet<String> = HashSet::new();
    while !owned.has_ended() {
        if owned.state.loaded.get() {
            advance(&node, &owned, &mut written).await;
        }
        tokio::time::sleep(TICK_PERIOD * 2).await;
    }
}

async fn advance(node: &Rc<Node>, owned: &Rc<OwnedCell>, written: &mut HashSet<String>) {
    let Some(cells) = node.cells() else {
        return;
    };
    let own = owned.view.number as usize;
    let waves = node.waves.borrow().clone();
    for wave in waves {
        let number = wave.number;
        let parts = WavePartition::new(&cells.layout, &wave);
        let finished_parts = node.finished_parts.borrow().clone();
        let finished = |cell: usize| {
            u32::try_from(cell).is_ok_and(|cell| finished_parts.contains(&(number, cell)))
        };
        let part = parts.part(own, &wave, finished);
        if part.machines.is_empty() && parts.reporting_cell() != own {
            continue;
        }
        owned.scheduler.borrow_mut().update_wave(part, now());
        let state = owned.scheduler.borrow().wave_state(number);
        let done = state == Some(WaveState::Completed);
        if done && cells.layout.cells() > 1 && !finished(own) {
            let key = keys::wave_part(number, owned.view.number);
            write_once(node, owned, written, (key, Vec::new())).await;
        }
        if parts.reporting_cell() == own {
            let complete = done && parts.others_finished(own, finished);
            let state = if complete {
                WaveState::Completed
            } else {
                WaveState::Running
            };
            let entry = (node.platform.directory.wave_progress)(number, state);
            write_once(node, owned, written, entry).await;
        }
    }
}

/// Writes an entry unless this owner has written it before.
async fn write_once(
    node: &Rc<Node>,
    owned: &Rc<OwnedCell>,
    written: &mut HashSet<String>,
    (key, value): (String, Vec<u8>),
) {
    let content = format!("{key} {}", String::from_utf8_lossy(&value));
    if written.contains(&content) || owned.has_ended() {
        return;
    }
    let txn = Txn::default()
        .unchanged(owned.view.keys.owner(), fence_revision(owned))
        .put(key.clone(), value);
    match (node.platform.store.txn)(txn).await {
        Ok(reply) if reply.committed => {
            written.insert(content);
        }
        Ok(_) => owned.end_ownership("the owner's key has changed"),
        Err(error) => log::debug!("{key} not written: {error}"),
    }
}
