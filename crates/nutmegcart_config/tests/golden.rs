//! Snapshots of whole sessions, so that a change of what operators and instances see is noticed.

mod common;

use std::time::Duration;

use common::change;
use common::cluster_state;
use nutmegcart_config::ActiveConfig;
use nutmegcart_config::ChangeRequest;
use nutmegcart_config::ConfigReport;
use nutmegcart_config::ConfigWatcher;
use nutmegcart_config::Generation;
use nutmegcart_config::accept_change;
use nutmegcart_fakes::FaultyStore;

/// Three entry instances with a log of their events, one line per event.
struct Session {
    store: FaultyStore,
    instances: Vec<(ActiveConfig, ConfigWatcher)>,
    lines: Vec<String>,
}

impl Session {
    fn new() -> Self {
        let store = FaultyStore::default();
        let instances =
            (0..3).map(|_| (ActiveConfig::default(), ConfigWatcher::new(store.store())));
        Self {
            instances: instances.collect(),
            store,
            lines: Vec::new(),
        }
    }

    fn apply(&mut self, at: usize, request: &ChangeRequest) {
        let others = self
            .instances
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != at);
        let others: Vec<Option<ConfigReport>> = others
            .map(|(_, (active, _))| {
                let config_id = active.get().configuration.history.config_id();
                Some(ConfigReport {
                    config_id,
                    established: true,
                })
            })
            .collect();
        let cluster = cluster_state(&self.instances[at].0, &others);
        let outcome = accept_change(&self.store.store(), request, &cluster);
        self.lines.push(format!(
            "instance {at}: apply {}: {outcome:?}",
            request.operation
        ));
    }

    fn read_store(&mut self) {
        for (at, (active, watcher)) in self.instances.iter_mut().enumerate() {
            let offer = watcher.wait_and_read(active, Duration::ZERO);
            let config_id = active.get().configuration.history.config_id();
            self.lines.push(format!(
                "instance {at}: store: {offer:?}, active generation {} by {:?}",
                config_id.generation, config_id.operation
            ));
        }
    }

    fn pull_from_peer(&mut self, at: usize, from: usize) {
        let generation = self.instances[at].0.get().configuration.generation();
        let changes = self.instances[from]
            .0
            .get()
            .configuration
            .delta_since(generation);
        let offer = self.instances[at].0.offer_delta(&changes, "peer");
        self.lines.push(format!(
            "instance {at}: {} documents from instance {from}: {offer:?}",
            changes.entries.len()
        ));
    }

    fn note(&mut self, text: &str) {
        self.lines.push(text.to_owned());
    }
}

#[test]
fn configuration_race() {
    let mut session = Session::new();
    session.apply(0, &change("first", 1));
    session.read_store();
    let based_on = Some(Generation(1));
    let one = ChangeRequest {
        based_on,
        ..change("one", 2)
    };
    let two = ChangeRequest {
        based_on,
        ..change("two", 3)
    };
    session.note("the store's answer to the first change is lost on all three attempts");
    session.store.set_faults(|faults| faults.lost_responses = 3);
    session.apply(1, &one);
    session.apply(2, &two);
    session.note("both operators repeat their requests at other instances");
    session.apply(2, &one);
    session.apply(0, &two);
    session.read_store();
    session.note("the refused change is repeated, based on the current generation");
    session.apply(
        0,
        &ChangeRequest {
            based_on: Some(Generation(2)),
            ..change("three", 3)
        },
    );
    session.read_store();
    insta::assert_snapshot!(session.lines.join("\n"));
}

#[test]
fn store_outage_with_an_instance_replaced() {
    let mut session = Session::new();
    session.apply(0, &change("first", 1));
    session.apply(0, &change("second", 2));
    session.read_store();
    session.note("the store becomes unreachable");
    session.store.set_faults(|faults| faults.down = true);
    session.read_store();
    session.apply(
        1,
        &ChangeRequest {
            first_attempt: true,
            ..change("third", 3)
        },
    );
    session.apply(1, &change("second", 2));
    session.note("instance 2 is replaced");
    session.instances[2] = (
        ActiveConfig::default(),
        ConfigWatcher::new(session.store.store()),
    );
    session.read_store();
    session.pull_from_peer(2, 0);
    session.note("the store is reachable again");
    session.store.set_faults(|faults| faults.down = false);
    session.read_store();
    session.apply(2, &change("third", 3));
    session.read_store();
    insta::assert_snapshot!(session.lines.join("\n"));
}
