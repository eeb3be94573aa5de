//! Guards against losing accepted configuration to a store that was restored or lags behind.

mod common;

use std::sync::Arc;
use std::sync::atomic::AtomicI32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::adopt;
use common::apply;
use common::change;
use common::cluster_state;
use common::refusal;
use common::store_with_changes;
use nutmegcart_config::ActiveConfig;
use nutmegcart_config::ChangeOutcome;
use nutmegcart_config::ChangeRequest;
use nutmegcart_config::ClusterState;
use nutmegcart_config::ConfigId;
use nutmegcart_config::ConfigReport;
use nutmegcart_config::ConfigWatcher;
use nutmegcart_config::Generation;
use nutmegcart_config::RepairRequest;
use nutmegcart_config::accept_change;
use nutmegcart_config::active_config::OfferOutcome;
use nutmegcart_config::cluster_state::is_established;
use nutmegcart_config::load_config;
use nutmegcart_config::repair_store;
use nutmegcart_fakes::FaultyStore;
use nutmegcart_platform::Store;
use nutmegcart_platform::StoreError;

/// Returns a store restored from generation 3 to generation 1, and an instance on which generation
/// 3 is active.
fn restored_store() -> (FaultyStore, Arc<ActiveConfig>) {
    let (store, active) = store_with_changes(1);
    let backup = store.memory.backup();
    for index in 2..=3 {
        apply(&store, &change(&format!("op-{index}"), index));
    }
    adopt(&store, &active);
    store.memory.restore(&backup);
    (store, active)
}

fn repair_request(discard: bool) -> RepairRequest {
    RepairRequest {
        operation: "repair".into(),
        discard,
    }
}

fn report(active: &ActiveConfig) -> ConfigReport {
    ConfigReport {
        config_id: active.get().configuration.history.config_id(),
        established: true,
    }
}

#[test]
fn an_older_configuration_is_refused_from_store_and_peer() {
    let (store, active) = restored_store();
    let old = load_config(&store.store()).unwrap().configuration;
    assert_eq!(active.offer(old.clone(), "store"), OfferOutcome::Older);
    assert_eq!(
        active.offer_delta(&old.delta_since(Generation(0)), "peer"),
        OfferOutcome::Older
    );
    assert_eq!(active.get().configuration.generation(), Generation(3));
}

#[test]
fn a_restored_store_accepts_nothing_while_a_newer_configuration_may_be_active() {
    let (store, active) = restored_store();
    let repeated = change("op-3", 3);
    let behind = ActiveConfig::default();
    adopt(&store, &behind);
    // The store may have lost the change, which peers have active in the first case and may have
    // active in the second.
    for others in [[Some(report(&active)), None, None], [None, None, None]] {
        let cluster = cluster_state(&behind, &others);
        assert_eq!(
            accept_change(&store.store(), &repeated, &cluster),
            ChangeOutcome::Unknown
        );
    }
    let first_attempt = ChangeRequest {
        first_attempt: true,
        ..change("op-4", 4)
    };
    let outcome = accept_change(&store.store(), &first_attempt, &cluster_state(&active, &[]));
    assert_eq!(refusal(&outcome), 2104);
}

#[test]
fn an_accepted_change_is_recognised_although_the_store_lost_it() {
    let (store, active) = restored_store();
    let outcome = accept_change(
        &store.store(),
        &change("op-3", 3),
        &cluster_state(&active, &[]),
    );
    assert_eq!(outcome, ChangeOutcome::Accepted(Generation(3)));
}

#[test]
fn a_replaced_instance_accepts_nothing_on_a_restored_store() {
    let (store, active) = restored_store();
    let replaced = ActiveConfig::default();
    adopt(&store, &replaced);
    let first_attempt = ChangeRequest {
        first_attempt: true,
        ..change("op-x", 9)
    };
    // First no peer reports, then one with a newer configuration.
    let outcome = accept_change(
        &store.store(),
        &first_attempt,
        &cluster_state(&replaced, &[None, None]),
    );
    assert_eq!(refusal(&outcome), 2111);
    let reports = [Some(report(&active)), None];
    let outcome = accept_change(
        &store.store(),
        &first_attempt,
        &cluster_state(&replaced, &reports),
    );
    assert_eq!(refusal(&outcome), 2104);
}

#[test]
fn an_instance_is_established_only_after_it_has_caught_up() {
    let (_, active) = restored_store();
    let known = Some(report(&active));
    let empty = ConfigReport::default();
    assert!(is_established(&empty, &[]));
    assert!(
        !is_established(&empty, &[known.clone(), known.clone()]),
        "it is behind"
    );
    let caught_up = ConfigReport {
        established: false,
        ..report(&active)
    };
    let three = [known.clone(), known.clone(), known.clone(), None];
    assert!(is_established(&caught_up, &three));
    assert!(!is_established(&caught_up, &[known, None, None]));
    assert!(is_established(
        &empty,
        &[Some(empty.clone()), Some(empty.clone())]
    ));
    let loaded = ActiveConfig::default().get();
    assert!(!ClusterState::new(&loaded, &empty, &[Some(empty.clone()), None]).has_quorum);
}

#[test]
fn a_repair_restores_exactly_the_active_configuration() {
    let (store, active) = restored_store();
    let outcome = repair_store(
        &store.store(),
        &repair_request(false),
        &cluster_state(&active, &[]),
    );
    assert_eq!(outcome, ChangeOutcome::Accepted(Generation(3)));
    let stored = load_config(&store.store()).unwrap();
    assert_eq!(stored.configuration, active.get().configuration);
    assert_eq!(
        apply(&store, &change("op-4", 4)),
        ChangeOutcome::Accepted(Generation(4))
    );
    let again = repair_store(
        &store.store(),
        &repair_request(false),
        &cluster_state(&active, &[]),
    );
    assert_eq!(refusal(&again), 2116);
}

#[test]
fn a_repair_from_an_instance_that_is_behind_is_refused() {
    let (store, active) = restored_store();
    let behind = ActiveConfig::default();
    adopt(&store, &behind);
    let outcome = repair_store(
        &store.store(),
        &repair_request(true),
        &cluster_state(&behind, &[Some(report(&active))]),
    );
    assert_eq!(refusal(&outcome), 2111);
}

#[test]
fn an_interrupted_repair_blocks_readers_and_writers_until_it_is_repeated() {
    let (store, active) = restored_store();
    let faulty = store.clone();
    let left = AtomicI32::new(3);
    // The read, the head that names the repair, and the documents succeed; then the store becomes
    // unreachable.
    let failing = Store::new(move |call| {
        if left.fetch_sub(1, Ordering::Relaxed) <= 0 {
            let reason = "scripted".into();
            return Err(StoreError::Unreachable { reason });
        }
        faulty.call(call)
    });
    let outcome = repair_store(
        &failing,
        &repair_request(false),
        &cluster_state(&active, &[]),
    );
    assert_eq!(outcome, ChangeOutcome::Unavailable);
    let mut watcher = ConfigWatcher::new(store.store());
    let replaced = ActiveConfig::default();
    assert_eq!(watcher.read(&replaced).unwrap(), OfferOutcome::Repairing);
    assert_eq!(replaced.get().configuration.generation(), Generation(0));
    let first_attempt = ChangeRequest {
        first_attempt: true,
        ..change("op-x", 9)
    };
    assert_eq!(refusal(&apply(&store, &first_attempt)), 2104);
    let outcome = repair_store(
        &store.store(),
        &repair_request(false),
        &cluster_state(&active, &[]),
    );
    assert_eq!(outcome, ChangeOutcome::Accepted(Generation(3)));
    assert_eq!(watcher.read(&replaced).unwrap(), OfferOutcome::Adopted);
}

#[test]
fn a_forked_store_is_refused_and_overwritten_only_on_request() {
    let (store, active) = restored_store();
    for index in 2..=5 {
        apply(&store, &change(&format!("fork-{index}"), index));
    }
    let fork = load_config(&store.store()).unwrap().configuration;
    assert_eq!(active.offer(fork, "store"), OfferOutcome::Forked);
    let first_attempt = ChangeRequest {
        first_attempt: true,
        ..change("op-x", 9)
    };
    let outcome = accept_change(&store.store(), &first_attempt, &cluster_state(&active, &[]));
    assert_eq!(refusal(&outcome), 2110);
    let outcome = repair_store(
        &store.store(),
        &repair_request(false),
        &cluster_state(&active, &[]),
    );
    assert_eq!(refusal(&outcome), 2110);
    let outcome = repair_store(
        &store.store(),
        &repair_request(true),
        &cluster_state(&active, &[]),
    );
    assert_eq!(outcome, ChangeOutcome::Accepted(Generation(6)));
    let stored = load_config(&store.store()).unwrap();
    assert_eq!(
        stored.configuration.entries,
        active.get().configuration.entries
    );
    assert_eq!(
        active.offer(stored.configuration, "store"),
        OfferOutcome::Adopted
    );
}

#[test]
fn an_emptied_store_is_detected_and_repaired() {
    let (_, active) = restored_store();
    let store = FaultyStore::default();
    let first_attempt = ChangeRequest {
        first_attempt: true,
        ..change("op-x", 9)
    };
    let outcome = accept_change(&store.store(), &first_attempt, &cluster_state(&active, &[]));
    assert_eq!(refusal(&outcome), 2104);
    let outcome = repair_store(
        &store.store(),
        &repair_request(false),
        &cluster_state(&active, &[]),
    );
    assert_eq!(outcome, ChangeOutcome::Accepted(Generation(3)));
    assert_eq!(
        load_config(&store.store()).unwrap().configuration,
        active.get().configuration
    );
}

#[test]
fn a_watcher_detects_that_a_restored_store_reuses_revisions() {
    let (store, active) = store_with_changes(2);
    let backup = store.memory.backup();
    apply(&store, &change("op-3", 3));
    let behind = ActiveConfig::default();
    let mut watcher = ConfigWatcher::new(store.store());
    assert_eq!(watcher.read(&behind).unwrap(), OfferOutcome::Adopted);
    adopt(&store, &active);
    store.memory.restore(&backup);
    let outcome = repair_store(
        &store.store(),
        &repair_request(false),
        &cluster_state(&active, &[]),
    );
    assert_eq!(outcome, ChangeOutcome::Accepted(Generation(3)));
    // These writes of different documents get revisions below and above the watcher's last read.
    for index in 4..20 {
        let apply = ChangeRequest {
            documents: vec![common::pool(&format!("p{index}"), 1)],
            first_attempt: true,
            ..change(&format!("op-{index}"), 1)
        };
        assert!(matches!(
            common::apply(&store, &apply),
            ChangeOutcome::Accepted(_)
        ));
    }
    assert_eq!(
        watcher.wait_and_read(&behind, Duration::ZERO).unwrap(),
        OfferOutcome::Adopted
    );
    let stored = load_config(&store.store()).unwrap().configuration;
    assert_eq!(behind.get().configuration.entries, stored.entries);
}

#[test]
fn an_incomplete_delta_from_a_peer_is_rejected() {
    let (_, active) = store_with_changes(5);
    let configuration = active.get().configuration.clone();
    let behind = ActiveConfig::default();
    assert_eq!(
        behind.offer_delta(&configuration.delta_since(Generation(3)), "peer"),
        OfferOutcome::Gap
    );
    let mut incomplete = configuration.delta_since(Generation(0));
    incomplete.entries.clear();
    assert_eq!(behind.offer_delta(&incomplete, "peer"), OfferOutcome::Gap);
    assert_eq!(
        behind.offer_delta(&configuration.delta_since(Generation(0)), "peer"),
        OfferOutcome::Adopted
    );
}

#[test]
fn an_instance_started_during_an_outage_adopts_a_peers_configuration_with_unknown_fields() {
    let (store, active) = store_with_changes(3);
    let unknown = r#"{"schema":2,"kind":"pool","name":"n","service":"n","size":1,"colour":"red"}"#;
    let apply = ChangeRequest {
        documents: vec![common::document(unknown)],
        ..change("op-4", 4)
    };
    common::apply(&store, &apply);
    adopt(&store, &active);
    store.set_faults(|faults| faults.down = true);
    let started = ActiveConfig::default();
    let changes = active.get().configuration.delta_since(Generation(0));
    assert_eq!(started.offer_delta(&changes, "peer"), OfferOutcome::Adopted);
    assert_eq!(started.get().configuration, active.get().configuration);
    let colour = &started
        .get()
        .configuration
        .document("pool/n")
        .unwrap()
        .value()["colour"]
        .clone();
    assert_eq!(colour, "red");
    assert_ne!(report(&started).config_id, ConfigId::default());
}

#[test]
fn a_watcher_detects_a_restored_store_without_a_later_write() {
    let (store, _) = store_with_changes(1);
    let backup = store.memory.backup();
    apply(&store, &change("op-2", 2));
    let active = ActiveConfig::default();
    let mut watcher = ConfigWatcher::new(store.store());
    assert_eq!(watcher.read(&active).unwrap(), OfferOutcome::Adopted);
    store.memory.restore(&backup);
    assert_eq!(
        watcher.wait_and_read(&active, Duration::ZERO).unwrap(),
        OfferOutcome::Older
    );
}

#[test]
fn another_lineage_is_refused_despite_equal_operation_identifiers() {
    let (_, active) = store_with_changes(2);
    let store = FaultyStore::default();
    for index in 1..=3 {
        let change = change(&format!("op-{index}"), index);
        let outcome = accept_change(&store.store(), &change, &ClusterState::standalone("other"));
        assert_eq!(outcome, ChangeOutcome::Accepted(Generation(index)));
    }
    let other = load_config(&store.store()).unwrap().configuration;
    assert_eq!(active.offer(other, "store"), OfferOutcome::Older);
}
