//! Short forms for tests of accepted configuration.
#![allow(dead_code)]

use std::sync::Arc;

use nutmegcart_config::ActiveConfig;
use nutmegcart_config::ChangeOutcome;
use nutmegcart_config::ChangeRequest;
use nutmegcart_config::ClusterState;
use nutmegcart_config::ConfigReport;
use nutmegcart_config::Generation;
use nutmegcart_config::accept_change;
use nutmegcart_config::load_config;
use nutmegcart_fakes::FaultyStore;
use nutmegcart_model::Document;

/// Returns a pool document of a size.
pub fn pool(name: &str, size: u64) -> Document {
    document(&format!(
        r#"{{"schema":1,"kind":"pool","name":"{name}","service":"{name}","size":{size}}}"#
    ))
}

/// Parses a document.
pub fn document(text: &str) -> Document {
    Document::parse(text.as_bytes()).expect("document is valid")
}

/// Returns a change of one pool under an identifier that an operator chose.
pub fn change(operation: &str, size: u64) -> ChangeRequest {
    ChangeRequest {
        operation: operation.into(),
        documents: vec![pool("a", size)],
        ..ChangeRequest::default()
    }
}

/// Returns the standing of an instance that has the configuration in force and hears the others.
pub fn standing(in_force: &ActiveConfig, others: &[Option<ConfigReport>]) -> ClusterState {
    let loaded = in_force.get();
    let own = ConfigReport {
        config_id: loaded.configuration.history.config_id(),
        established: true,
    };
    ClusterState::new(&loaded, &own, others).with_lineage("lineage")
}

/// Accepts a change as an instance that is alone.
pub fn apply(store: &FaultyStore, apply: &ChangeRequest) -> ChangeOutcome {
    accept_change(&store.store(), apply, &ClusterState::standalone("lineage"))
}

/// Returns a store with the number of accepted changes, and an instance that has the last.
pub fn accepted(changes: u64) -> (FaultyStore, Arc<ActiveConfig>) {
    let store = FaultyStore::default();
    for index in 1..=changes {
        let change = ChangeRequest {
            since: Generation(index - 1),
            ..change(&format!("op-{index}"), index)
        };
        let outcome = apply(&store, &change);
        assert_eq!(outcome, ChangeOutcome::Accepted(Generation(index)));
    }
    let in_force = Arc::new(ActiveConfig::default());
    adopt(&store, &in_force);
    (store, in_force)
}

/// Offers what the store holds.
pub fn adopt(store: &FaultyStore, in_force: &ActiveConfig) {
    let stored = load_config(&store.memory.store()).expect("the store answers");
    in_force.offer(stored.configuration, "store");
}

/// Returns the number of a refusal.
pub fn refusal(outcome: &ChangeOutcome) -> u16 {
    match outcome {
        ChangeOutcome::Refused(fault) => fault.code.number(),
        other => panic!("expected a refusal, got {other:?}"),
    }
}
