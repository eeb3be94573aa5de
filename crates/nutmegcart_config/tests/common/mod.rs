//! Helpers shared by the tests of configuration.
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

/// Returns the document of a pool with the given size.
pub fn pool(name: &str, size: u64) -> Document {
    document(&format!(
        r#"{{"schema":1,"kind":"pool","name":"{name}","service":"{name}","size":{size}}}"#
    ))
}

/// Parses a document; panics if it is invalid.
pub fn document(text: &str) -> Document {
    Document::parse(text.as_bytes()).expect("document is valid")
}

/// Returns a change of pool `a` with an operation identifier chosen by the operator.
pub fn change(operation: &str, size: u64) -> ChangeRequest {
    ChangeRequest {
        operation: operation.into(),
        documents: vec![pool("a", size)],
        ..ChangeRequest::default()
    }
}

/// Returns the cluster state of an established instance with the given peer reports.
pub fn cluster_state(active: &ActiveConfig, others: &[Option<ConfigReport>]) -> ClusterState {
    let loaded = active.get();
    let own = ConfigReport {
        config_id: loaded.configuration.history.config_id(),
        established: true,
    };
    ClusterState::new(&loaded, &own, others).with_lineage("lineage")
}

/// Submits a change at an instance without peers.
pub fn apply(store: &FaultyStore, request: &ChangeRequest) -> ChangeOutcome {
    accept_change(
        &store.store(),
        request,
        &ClusterState::standalone("lineage"),
    )
}

/// Returns a store with the given number of accepted changes, and an instance that has adopted the
/// last one.
pub fn store_with_changes(changes: u64) -> (FaultyStore, Arc<ActiveConfig>) {
    let store = FaultyStore::default();
    for index in 1..=changes {
        let change = ChangeRequest {
            since: Generation(index - 1),
            ..change(&format!("op-{index}"), index)
        };
        let outcome = apply(&store, &change);
        assert_eq!(outcome, ChangeOutcome::Accepted(Generation(index)));
    }
    let active = Arc::new(ActiveConfig::default());
    adopt(&store, &active);
    (store, active)
}

/// Offers the configuration in the store to an instance.
pub fn adopt(store: &FaultyStore, active: &ActiveConfig) {
    let stored = load_config(&store.memory.store()).expect("the store answers");
    active.offer(stored.configuration, "store");
}

/// Returns the number of the refusal's code; panics on any other outcome.
pub fn refusal(outcome: &ChangeOutcome) -> u16 {
    match outcome {
        ChangeOutcome::Refused(fault) => fault.code.number(),
        other => panic!("expected a refusal, got {other:?}"),
    }
}
