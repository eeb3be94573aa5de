//! Guards against unnoticed changes of what operators and instances see in whole sessions.

mod common;

use std::time::Duration;

use common::change;
use common::standing;
use nutmegcart_config::ActiveConfig;
use nutmegcart_config::ChangeRequest;
use nutmegcart_config::ConfigReport;
use nutmegcart_config::ConfigWatcher;
use nutmegcart_config::Generation;
use nutmegcart_config::accept_change;
use nutmegcart_fakes::FaultyStore;

/// Three entry instances and what happened to them, one line each.
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

    fn apply(&mut self, at: usize, apply: &ChangeRequest) {
        let others = self
            .instances
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != at);
        let others: Vec<Option<ConfigReport>> = others
            .map(|(_, (in_force, _))| {
                let config_id = in_force.get().configuration.history.config_id();
                Some(ConfigReport {
                    config_id,
                    established: true,
                })
            })
            .collect();
        let standing = standing(&self.instances[at].0, &others);
        let outcome = accept_change(&self.store.store(), apply, &standing);
        self.lines.push(format!(
            "instance {at}: apply {}: {outcome:?}",
            apply.operation
        ));
    }

    fn follow(&mut self) {
        for (at, (in_force, follower)) in self.instances.iter_mut().enumerate() {
            let offer = follower.step(in_force, Duration::ZERO);
            let config_id = in_force.get().configuration.history.config_id();
            self.lines.push(format!(
                "instance {at}: store: {offer:?}, in force {} by {:?}",
                config_id.generation, config_id.operation
            ));
        }
    }

    fn pull(&mut self, at: usize, from: usize) {
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
    session.follow();
    let based_on = Some(Generation(1));
    let one = ChangeRequest {
        based_on,
        ..change("one", 2)
    };
    let two = ChangeRequest {
        based_on,
        ..change("two", 3)
    };
    session.note("the answer to the winner is lost, and so are two repetitions");
    session.store.set_faults(|faults| faults.lost_responses = 3);
    session.apply(1, &one);
    session.apply(2, &two);
    session.note("the operators repeat their calls at other instances");
    session.apply(2, &one);
    session.apply(0, &two);
    session.follow();
    session.note("the loser bases the change on the present generation");
    session.apply(
        0,
        &ChangeRequest {
            based_on: Some(Generation(2)),
            ..change("three", 3)
        },
    );
    session.follow();
    insta::assert_snapshot!(session.lines.join("\n"));
}

#[test]
fn store_outage_with_an_instance_replaced() {
    let mut session = Session::new();
    session.apply(0, &change("first", 1));
    session.apply(0, &change("second", 2));
    session.follow();
    session.note("the store goes away");
    session.store.set_faults(|faults| faults.down = true);
    session.follow();
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
    session.follow();
    session.pull(2, 0);
    session.note("the store returns");
    session.store.set_faults(|faults| faults.down = false);
    session.follow();
    session.apply(2, &change("third", 3));
    session.follow();
    insta::assert_snapshot!(session.lines.join("\n"));
}
