//! Acceptance of changes under store faults, races and invalid input.
//!
//! Guards against changes that are lost, applied twice or answered with a wrong outcome.

mod common;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use common::apply;
use common::change;
use common::document;
use common::pool;
use common::refusal;
use common::store_with_changes;
use nutmegcart_config::ChangeOutcome;
use nutmegcart_config::ChangeRequest;
use nutmegcart_config::ClusterState;
use nutmegcart_config::Configuration;
use nutmegcart_config::Generation;
use nutmegcart_config::accept_change;
use nutmegcart_config::load_config;
use nutmegcart_config::stored_config::HEAD_KEY;
use nutmegcart_fakes::FaultyStore;
use nutmegcart_model::Document;
use nutmegcart_platform::Store;
use nutmegcart_platform::StoreError;
use nutmegcart_platform::Txn;
use nutmegcart_platform::store::StoreCall;

const FIRST: ChangeOutcome = ChangeOutcome::Accepted(Generation(1));

fn generation(store: &FaultyStore) -> u64 {
    load_config(&store.memory.store())
        .unwrap()
        .head
        .history
        .generation
        .0
}

#[test]
fn a_lost_answer_is_resolved_by_sending_the_transaction_again() {
    let store = FaultyStore::default();
    store.set_faults(|faults| faults.lost_responses = 1);
    assert_eq!(apply(&store, &change("op", 1)), FIRST);
    assert_eq!(generation(&store), 1);
}

#[test]
fn a_lost_request_is_resent_and_applied_once() {
    let store = FaultyStore::default();
    store.set_faults(|faults| faults.lost_requests = 2);
    assert_eq!(apply(&store, &change("op", 1)), FIRST);
    assert_eq!(generation(&store), 1);
}

#[test]
fn an_unknown_change_is_resolved_by_repeating_it() {
    let store = FaultyStore::default();
    // Only the first copy is committed, and the answers to all copies are lost.
    store.set_faults(|faults| faults.lost_responses = 3);
    assert_eq!(apply(&store, &change("op", 1)), ChangeOutcome::Unknown);
    assert_eq!(apply(&store, &change("op", 1)), FIRST);
    assert_eq!(generation(&store), 1);
}

#[test]
fn a_repeated_change_is_unknown_instead_of_unavailable_during_an_outage() {
    let (store, _) = store_with_changes(1);
    store.set_faults(|faults| faults.down = true);
    assert_eq!(apply(&store, &change("op-1", 1)), ChangeOutcome::Unknown);
    let first_attempt = ChangeRequest {
        first_attempt: true,
        ..change("op-2", 2)
    };
    assert_eq!(apply(&store, &first_attempt), ChangeOutcome::Unavailable);
}

#[test]
fn a_stale_read_causes_neither_conflict_nor_refusal_of_an_accepted_change() {
    let store = FaultyStore::default();
    store.serve_stale_reads(true);
    let based_on_first = ChangeRequest {
        based_on: Some(Generation(1)),
        ..change("op-2", 2)
    };
    let deletion = ChangeRequest {
        deletions: vec!["pool/a".into()],
        operation: "op-3".into(),
        ..ChangeRequest::default()
    };
    let current_reads = FaultyStore::new(store.memory.clone());
    for change in [&change("op-1", 1), &based_on_first, &deletion] {
        let outcome = apply(&current_reads, change);
        assert!(matches!(outcome, ChangeOutcome::Accepted(_)), "{outcome:?}");
        // Stale reads show the store as empty, where the change would conflict or be refused.
        let again = apply(&store, change);
        assert!(
            !matches!(
                again,
                ChangeOutcome::Refused(_) | ChangeOutcome::Conflict(_)
            ),
            "{again:?}"
        );
    }
}

#[test]
fn a_concurrent_commit_of_the_same_operation_is_not_a_conflict() {
    let (racing, _) = store_with_changes(1);
    let memory = racing.memory.clone();
    let other = racing.clone();
    let raced = AtomicBool::new(false);
    // Another attempt of the same operation is committed between read and write; then reads fail.
    let store = Store::new(move |call| {
        let first = matches!(call, StoreCall::Txn(_)) && !raced.swap(true, Ordering::Relaxed);
        if first {
            assert!(matches!(
                apply(&other, &change("op-2", 2)),
                ChangeOutcome::Accepted(_)
            ));
        }
        match call {
            StoreCall::Range(_) if raced.load(Ordering::Relaxed) => {
                let reason = "scripted".into();
                Err(StoreError::Unreachable { reason })
            }
            call => memory.call(call),
        }
    });
    let cluster = ClusterState::standalone("lineage");
    let outcome = accept_change(&store, &change("op-2", 2), &cluster);
    assert_eq!(outcome, ChangeOutcome::Accepted(Generation(2)));
}

#[test]
fn concurrent_changes_get_one_acceptance_and_one_conflict() {
    let (store, _) = store_with_changes(1);
    let based_on = Some(Generation(1));
    let one = ChangeRequest {
        based_on,
        ..change("one", 2)
    };
    let two = ChangeRequest {
        based_on,
        ..change("two", 3)
    };
    assert_eq!(apply(&store, &one), ChangeOutcome::Accepted(Generation(2)));
    assert_eq!(apply(&store, &two), ChangeOutcome::Conflict(Generation(2)));
    assert_eq!(apply(&store, &one), ChangeOutcome::Accepted(Generation(2)));
}

#[test]
fn a_repeated_change_older_than_the_kept_operations_is_not_applied_again() {
    let (store, _) = store_with_changes(66);
    let outcome = apply(&store, &change("op-1", 1));
    assert_eq!(outcome, ChangeOutcome::Forgotten(Generation(66)));
    let based_on_first = ChangeRequest {
        based_on: Some(Generation(1)),
        ..change("op-2", 2)
    };
    assert_eq!(
        apply(&store, &based_on_first),
        ChangeOutcome::Forgotten(Generation(66))
    );
    // This change is accepted, because its first attempt is later than the oldest kept operation.
    let later = ChangeRequest {
        since: Generation(60),
        ..change("new", 1)
    };
    assert_eq!(
        apply(&store, &later),
        ChangeOutcome::Accepted(Generation(67))
    );
}

#[test]
fn the_head_keeps_the_last_64_operations_and_fields_of_newer_versions() {
    let (store, _) = store_with_changes(3);
    let client = store.memory.store();
    let mut head = serde_json::to_value(load_config(&client).unwrap().head).unwrap();
    head["colour"] = "red".into();
    let txn = Txn::default().put(HEAD_KEY, head.to_string().into_bytes());
    client.txn(&txn).unwrap();
    for index in 4..80 {
        let since = Generation(index - 1);
        apply(
            &store,
            &ChangeRequest {
                since,
                ..change(&format!("op-{index}"), index)
            },
        );
    }
    let head = load_config(&client).unwrap().head;
    assert_eq!(head.history.operations.len(), 64);
    assert_eq!(head.unknown_fields["colour"], "red");
}

macro_rules! refused {
    ($($name:ident: $apply:expr => $code:literal;)*) => {$(
        #[test]
        fn $name() {
            let (store, _) = store_with_changes(1);
            let team = r#"{"schema":1,"kind":"team","name":"t","cpu":1,"memory":1}"#;
            let job = r#"{"schema":2,"kind":"job","name":"j","pool":"a","team":"t","cpu":1,"memory":1}"#;
            let base = ChangeRequest {
                operation: "base".into(),
                documents: vec![document(team), document(job)],
                ..ChangeRequest::default()
            };
            assert_eq!(apply(&store, &base), ChangeOutcome::Accepted(Generation(2)));
            assert_eq!(refusal(&apply(&store, &$apply)), $code);
            assert_eq!(generation(&store), 2);
        }
    )*};
}

fn deletion_of(key: &str) -> ChangeRequest {
    ChangeRequest {
        operation: "op".into(),
        deletions: vec![key.into()],
        ..ChangeRequest::default()
    }
}

fn write_of(documents: Vec<Document>) -> ChangeRequest {
    ChangeRequest {
        operation: "op".into(),
        documents,
        ..ChangeRequest::default()
    }
}

refused! {
    // An empty identifier cannot start a lineage, and long ones would fill the head, which stores
    // the last 64 of them.
    refuses_an_empty_operation_identifier: change("", 1) => 2113;
    refuses_an_operation_identifier_over_64_bytes: change(&"x".repeat(65), 1) => 2113;
    refuses_an_operation_identifier_used_for_another_change: change("op-1", 9) => 2114;
    refuses_deleting_a_pool_that_a_job_refers_to: deletion_of("pool/a") => 2008;
    refuses_deleting_a_team_that_a_job_refers_to: deletion_of("team/t") => 2008;
    refuses_deleting_a_missing_document: deletion_of("pool/z") => 1406;
    refuses_a_reference_to_a_missing_record: write_of(vec![document(
        r#"{"schema":1,"kind":"budget","name":"b","pool":"z","unavailable":1}"#)]) => 2007;
    refuses_a_name_used_twice_in_one_change: write_of(vec![pool("b", 1), pool("b", 2)]) => 2006;
    refuses_more_documents_than_fit_into_a_transaction:
        write_of((0..101).map(|index| pool(&format!("p{index}"), 1)).collect()) => 2112;
    refuses_a_document_over_the_value_limit_of_the_store: write_of(vec![document(&format!(
        r#"{{"schema":1,"kind":"pool","name":"b","service":"b","size":1,"x":"{}"}}"#,
        "x".repeat(999_930)))]) => 2005;
}

#[test]
fn deletions_are_purged_and_instances_far_behind_receive_the_full_configuration() {
    let store = FaultyStore::default();
    let mut since = 0;
    let mut next = |change: ChangeRequest| {
        let change = ChangeRequest {
            first_attempt: true,
            operation: since.to_string(),
            ..change
        };
        since += 1;
        assert_eq!(
            apply(&store, &change),
            ChangeOutcome::Accepted(Generation(since))
        );
    };
    next(write_of(vec![pool("kept", 1)]));
    for _ in 0..4 {
        let pools: Vec<Document> = (0..100)
            .map(|index| pool(&format!("p{index}-{}", 0), 1))
            .collect();
        let keys = pools.iter().map(Document::key).collect();
        next(write_of(pools));
        next(ChangeRequest {
            deletions: keys,
            ..ChangeRequest::default()
        });
    }
    for index in 0..300 {
        next(write_of(vec![pool("gone", index)]));
        next(ChangeRequest {
            deletions: vec!["pool/gone".into()],
            ..ChangeRequest::default()
        });
        next(write_of(vec![pool(&format!("gone-{index}"), 1)]));
        next(ChangeRequest {
            deletions: vec![format!("pool/gone-{index}")],
            ..ChangeRequest::default()
        });
    }
    let client = store.memory.store();
    let stored = load_config(&client).unwrap();
    assert!(stored.configuration.entries.len() < 300);
    assert_eq!(stored.head.checksum, stored.configuration.checksum());
    assert!(stored.head.purged_through > Generation(1));
    // A delta would lack the purged deletions, so that the full configuration is sent.
    let behind = Configuration::default()
        .with_documents(&[pool("p0-0", 1)], &[])
        .unwrap();
    let changes = stored.configuration.delta_since(behind.generation());
    assert!(changes.is_full);
    let after = behind.with_delta(&changes).unwrap();
    assert_eq!(after.entries, stored.configuration.entries);
}
