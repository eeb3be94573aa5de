//! Guards against a restored or lagging store taking an accepted configuration back.

mod common;

use std::sync::Arc;
use std::sync::atomic::AtomicI32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::accepted;
use common::adopt;
use common::apply;
use common::change;
use common::refusal;
use common::standing;
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

/// A store at generation 3 that is restored to generation 1, and an instance that has 3 in force.
fn restored() -> (FaultyStore, Arc<ActiveConfig>) {
    let (store, in_force) = accepted(1);
    let backup = store.memory.backup();
    for index in 2..=3 {
        apply(&store, &change(&format!("op-{index}"), index));
    }
    adopt(&store, &in_force);
    store.memory.restore(&backup);
    (store, in_force)
}

fn request(discard: bool) -> RepairRequest {
    RepairRequest {
        operation: "repair".into(),
        discard,
    }
}

fn report(in_force: &ActiveConfig) -> ConfigReport {
    ConfigReport {
        config_id: in_force.get().configuration.history.config_id(),
        established: true,
    }
}

#[test]
fn an_older_configuration_is_refused_from_store_and_peer() {
    let (store, in_force) = restored();
    let old = load_config(&store.store()).unwrap().configuration;
    assert_eq!(in_force.offer(old.clone(), "store"), OfferOutcome::Older);
    assert_eq!(
        in_force.offer_delta(&old.delta_since(Generation(0)), "peer"),
        OfferOutcome::Older
    );
    assert_eq!(in_force.get().configuration.generation(), Generation(3));
}

#[test]
fn nothing_is_accepted_on_a_restored_store_by_an_instance_that_knows_better() {
    let (store, in_force) = restored();
    let repeated = change("op-3", 3);
    let behind = ActiveConfig::default();
    adopt(&store, &behind);
    // The change may be in the part that the store lost, which others know or may know.
    for others in [[Some(report(&in_force)), None, None], [None, None, None]] {
        let standing = standing(&behind, &others);
        assert_eq!(
            accept_change(&store.store(), &repeated, &standing),
            ChangeOutcome::Unknown
        );
    }
    let fresh = ChangeRequest {
        first_attempt: true,
        ..change("op-4", 4)
    };
    let outcome = accept_change(&store.store(), &fresh, &standing(&in_force, &[]));
    assert_eq!(refusal(&outcome), 2104);
}

#[test]
fn a_change_that_stands_is_recognised_although_the_store_lost_it() {
    let (store, in_force) = restored();
    let outcome = accept_change(
        &store.store(),
        &change("op-3", 3),
        &standing(&in_force, &[]),
    );
    assert_eq!(outcome, ChangeOutcome::Accepted(Generation(3)));
}

#[test]
fn a_replaced_instance_accepts_nothing_on_a_restored_store() {
    let (store, in_force) = restored();
    let replaced = ActiveConfig::default();
    adopt(&store, &replaced);
    let fresh = ChangeRequest {
        first_attempt: true,
        ..change("op-x", 9)
    };
    // It hears nobody, then a peer that knows better.
    let outcome = accept_change(&store.store(), &fresh, &standing(&replaced, &[None, None]));
    assert_eq!(refusal(&outcome), 2111);
    let heard = [Some(report(&in_force)), None];
    let outcome = accept_change(&store.store(), &fresh, &standing(&replaced, &heard));
    assert_eq!(refusal(&outcome), 2104);
}

#[test]
fn an_instance_counts_only_after_it_has_caught_up() {
    let (_, in_force) = restored();
    let known = Some(report(&in_force));
    let blank = ConfigReport::default();
    assert!(is_established(&blank, &[]));
    assert!(
        !is_established(&blank, &[known.clone(), known.clone()]),
        "it is behind"
    );
    let caught_up = ConfigReport {
        established: false,
        ..report(&in_force)
    };
    let three = [known.clone(), known.clone(), known.clone(), None];
    assert!(is_established(&caught_up, &three));
    assert!(!is_established(&caught_up, &[known, None, None]));
    assert!(is_established(
        &blank,
        &[Some(blank.clone()), Some(blank.clone())]
    ));
    let loaded = ActiveConfig::default().get();
    assert!(!ClusterState::new(&loaded, &blank, &[Some(blank.clone()), None]).has_quorum);
}

#[test]
fn a_repair_gives_the_store_exactly_what_is_in_force() {
    let (store, in_force) = restored();
    let outcome = repair_store(&store.store(), &request(false), &standing(&in_force, &[]));
    assert_eq!(outcome, ChangeOutcome::Accepted(Generation(3)));
    let stored = load_config(&store.store()).unwrap();
    assert_eq!(stored.configuration, in_force.get().configuration);
    assert_eq!(
        apply(&store, &change("op-4", 4)),
        ChangeOutcome::Accepted(Generation(4))
    );
    let again = repair_store(&store.store(), &request(false), &standing(&in_force, &[]));
    assert_eq!(refusal(&again), 2116);
}

#[test]
fn a_repair_from_an_instance_that_is_behind_is_refused() {
    let (store, in_force) = restored();
    let behind = ActiveConfig::default();
    adopt(&store, &behind);
    let outcome = repair_store(
        &store.store(),
        &request(true),
        &standing(&behind, &[Some(report(&in_force))]),
    );
    assert_eq!(refusal(&outcome), 2111);
}

#[test]
fn an_interrupted_repair_blocks_readers_and_writers_until_it_is_repeated() {
    let (store, in_force) = restored();
    let faulty = store.clone();
    let left = AtomicI32::new(3);
    // The read, the mark and the documents succeed; then the store goes away.
    let failing = Store::new(move |call| {
        if left.fetch_sub(1, Ordering::Relaxed) <= 0 {
            let reason = "scripted".into();
            return Err(StoreError::Unreachable { reason });
        }
        faulty.call(call)
    });
    let outcome = repair_store(&failing, &request(false), &standing(&in_force, &[]));
    assert_eq!(outcome, ChangeOutcome::Unavailable);
    let mut follower = ConfigWatcher::new(store.store());
    let replaced = ActiveConfig::default();
    assert_eq!(follower.read(&replaced).unwrap(), OfferOutcome::Repairing);
    assert_eq!(replaced.get().configuration.generation(), Generation(0));
    let fresh = ChangeRequest {
        first_attempt: true,
        ..change("op-x", 9)
    };
    assert_eq!(refusal(&apply(&store, &fresh)), 2104);
    let outcome = repair_store(&store.store(), &request(false), &standing(&in_force, &[]));
    assert_eq!(outcome, ChangeOutcome::Accepted(Generation(3)));
    assert_eq!(follower.read(&replaced).unwrap(), OfferOutcome::Adopted);
}

#[test]
fn a_forked_store_is_refused_and_overwritten_only_on_request() {
    let (store, in_force) = restored();
    for index in 2..=5 {
        apply(&store, &change(&format!("fork-{index}"), index));
    }
    let fork = load_config(&store.store()).unwrap().configuration;
    assert_eq!(in_force.offer(fork, "store"), OfferOutcome::Forked);
    let fresh = ChangeRequest {
        first_attempt: true,
        ..change("op-x", 9)
    };
    let outcome = accept_change(&store.store(), &fresh, &standing(&in_force, &[]));
    assert_eq!(refusal(&outcome), 2110);
    let outcome = repair_store(&store.store(), &request(false), &standing(&in_force, &[]));
    assert_eq!(refusal(&outcome), 2110);
    let outcome = repair_store(&store.store(), &request(true), &standing(&in_force, &[]));
    assert_eq!(outcome, ChangeOutcome::Accepted(Generation(6)));
    let stored = load_config(&store.store()).unwrap();
    assert_eq!(
        stored.configuration.entries,
        in_force.get().configuration.entries
    );
    assert_eq!(
        in_force.offer(stored.configuration, "store"),
        OfferOutcome::Adopted
    );
}

#[test]
fn a_wiped_store_is_recognised_and_repaired() {
    let (_, in_force) = restored();
    let store = FaultyStore::default();
    let fresh = ChangeRequest {
        first_attempt: true,
        ..change("op-x", 9)
    };
    let outcome = accept_change(&store.store(), &fresh, &standing(&in_force, &[]));
    assert_eq!(refusal(&outcome), 2104);
    let outcome = repair_store(&store.store(), &request(false), &standing(&in_force, &[]));
    assert_eq!(outcome, ChangeOutcome::Accepted(Generation(3)));
    assert_eq!(
        load_config(&store.store()).unwrap().configuration,
        in_force.get().configuration
    );
}

#[test]
fn a_follower_sees_that_a_repaired_store_numbers_its_writes_anew() {
    let (store, in_force) = accepted(2);
    let backup = store.memory.backup();
    apply(&store, &change("op-3", 3));
    let behind = ActiveConfig::default();
    let mut follower = ConfigWatcher::new(store.store());
    assert_eq!(follower.read(&behind).unwrap(), OfferOutcome::Adopted);
    adopt(&store, &in_force);
    store.memory.restore(&backup);
    let outcome = repair_store(&store.store(), &request(false), &standing(&in_force, &[]));
    assert_eq!(outcome, ChangeOutcome::Accepted(Generation(3)));
    // Changes below and above the revision that the follower has read, of different documents.
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
        follower.step(&behind, Duration::ZERO).unwrap(),
        OfferOutcome::Adopted
    );
    let stored = load_config(&store.store()).unwrap().configuration;
    assert_eq!(behind.get().configuration.entries, stored.entries);
}

#[test]
fn missing_changes_from_a_peer_are_noticed() {
    let (_, in_force) = accepted(5);
    let whole = in_force.get().configuration.clone();
    let behind = ActiveConfig::default();
    assert_eq!(
        behind.offer_delta(&whole.delta_since(Generation(3)), "peer"),
        OfferOutcome::Gap
    );
    let mut holed = whole.delta_since(Generation(0));
    holed.entries.clear();
    assert_eq!(behind.offer_delta(&holed, "peer"), OfferOutcome::Gap);
    assert_eq!(
        behind.offer_delta(&whole.delta_since(Generation(0)), "peer"),
        OfferOutcome::Adopted
    );
}

#[test]
fn an_instance_started_during_an_outage_learns_from_a_peer_and_passes_everything_on() {
    let (store, in_force) = accepted(3);
    let unknown = r#"{"schema":2,"kind":"pool","name":"n","service":"n","size":1,"colour":"red"}"#;
    let apply = ChangeRequest {
        documents: vec![common::document(unknown)],
        ..change("op-4", 4)
    };
    common::apply(&store, &apply);
    adopt(&store, &in_force);
    store.set_faults(|faults| faults.down = true);
    let started = ActiveConfig::default();
    let changes = in_force.get().configuration.delta_since(Generation(0));
    assert_eq!(started.offer_delta(&changes, "peer"), OfferOutcome::Adopted);
    assert_eq!(started.get().configuration, in_force.get().configuration);
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
fn a_follower_reports_a_restored_store_although_nothing_was_written_since() {
    let (store, _) = accepted(1);
    let backup = store.memory.backup();
    apply(&store, &change("op-2", 2));
    let in_force = ActiveConfig::default();
    let mut follower = ConfigWatcher::new(store.store());
    assert_eq!(follower.read(&in_force).unwrap(), OfferOutcome::Adopted);
    store.memory.restore(&backup);
    assert_eq!(
        follower.step(&in_force, Duration::ZERO).unwrap(),
        OfferOutcome::Older
    );
}

#[test]
fn another_lineage_is_refused_although_its_operations_have_the_same_names() {
    let (_, in_force) = accepted(2);
    let store = FaultyStore::default();
    for index in 1..=3 {
        let change = change(&format!("op-{index}"), index);
        let outcome = accept_change(&store.store(), &change, &ClusterState::standalone("other"));
        assert_eq!(outcome, ChangeOutcome::Accepted(Generation(index)));
    }
    let other = load_config(&store.store()).unwrap().configuration;
    assert_eq!(in_force.offer(other, "store"), OfferOutcome::Older);
}
