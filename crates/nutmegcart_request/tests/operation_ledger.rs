//! Tests that the ledger does not lose, confuse or repeat operations, and that the peer table does
//! not take a former incarnation of an instance for the current one.

use std::time::Duration;

use nutmegcart_model::CallerName;
use nutmegcart_model::Code;
use nutmegcart_model::Incarnation;
use nutmegcart_request::Answer;
use nutmegcart_request::HandoverRecord;
use nutmegcart_request::HandoverState;
use nutmegcart_request::HeartbeatEffect;
use nutmegcart_request::Ledger;
use nutmegcart_request::OperationId;
use nutmegcart_request::PeerTable;
use nutmegcart_request::Presence;
use nutmegcart_request::Resolution;
use nutmegcart_request::RosterVersion;
use nutmegcart_request::TicketOperationId;
use nutmegcart_request::ledger::LedgerLimits;
use nutmegcart_request::ledger::OperationOutcome;
use nutmegcart_request::ledger::RECORD_TTL;

const SECOND: Duration = Duration::from_secs(1);

fn plain(name: &str) -> OperationId {
    OperationId::key(&CallerName::from("caller"), name).unwrap()
}

#[test]
fn attempt_is_dispatched_once_and_a_ticketed_attempt_is_not_abandoned() {
    let mut ledger = Ledger::default();
    let id = OperationId::Ticket(TicketOperationId {
        owner: Incarnation(1),
        serial: 1,
        number: 1,
    });
    let attempt = ledger.open_attempt(&id, 1, SECOND).unwrap();
    ledger.abandon(&id, attempt);
    ledger.mark_dispatched(&id, attempt, SECOND).unwrap();
    assert!(ledger.mark_dispatched(&id, attempt, SECOND).is_err());
}

#[test]
fn oversized_answer_is_replaced_by_the_code_that_the_operation_ran() {
    let mut ledger = Ledger::default();
    let id = plain("key");
    let mut run = |size: usize, now| {
        let mut ledger = std::mem::take(&mut ledger);
        let attempt = ledger.open_attempt(&id, 1, now).unwrap();
        ledger.mark_dispatched(&id, attempt, now).unwrap();
        let answer = Answer {
            body: vec![0; size].into(),
            ..Answer::default()
        };
        ledger.finish(&id, attempt, OperationOutcome::Answered(answer.into()), now);
        ledger.find(&id, 1, now).unwrap().code()
    };
    assert_eq!(run(64 << 10, SECOND), Code::Ok);
    assert_eq!(run((64 << 10) + 1, SECOND), Code::AnswerDropped);
}

#[test]
fn full_ledger_drops_answers_first_and_then_refuses() {
    let limits = LedgerLimits {
        memory_bytes: 20_000,
        ..LedgerLimits::default()
    };
    let mut ledger = Ledger::new(limits);
    let mut opened = Vec::new();
    let refused = loop {
        let id = plain(&format!("{}", opened.len()));
        let attempt = match ledger.open_attempt(&id, 1, SECOND) {
            Ok(attempt) => attempt,
            Err(refused) => break refused,
        };
        ledger.mark_dispatched(&id, attempt, SECOND).unwrap();
        let answer = Answer {
            body: vec![0; 5_000].into(),
            ..Answer::default()
        };
        ledger.finish(
            &id,
            attempt,
            OperationOutcome::Answered(answer.into()),
            SECOND,
        );
        opened.push(id);
        assert!(ledger.memory() <= limits.memory_bytes);
    };
    assert_eq!(refused.code(), Code::NotAttempted);
    assert!(opened.len() > 10, "answers made room for records");
    for id in &opened {
        let found = ledger.find(id, 1, SECOND).unwrap();
        assert_eq!(found.code(), Code::AnswerDropped);
    }
    ledger.remove_expired(SECOND + RECORD_TTL);
    assert_eq!((ledger.len(), ledger.memory()), (0, 0));
}

#[test]
fn full_ledger_evicts_old_tickets_and_never_runs_them_again() {
    let limits = LedgerLimits {
        memory_bytes: 20_000,
        ..LedgerLimits::default()
    };
    let mut ledger = Ledger::new(limits);
    let numbered = |serial, number| {
        OperationId::Ticket(TicketOperationId {
            owner: Incarnation(1),
            serial,
            number,
        })
    };
    let id = |serial| numbered(serial, 1);
    for serial in 1..1_000 {
        let attempt = ledger.open_attempt(&id(serial), 1, SECOND).unwrap();
        ledger.finish(&id(serial), attempt, OperationOutcome::Ran, SECOND);
        assert!(ledger.memory() <= limits.memory_bytes);
    }
    let again = ledger.open_attempt(&id(1), 1, SECOND).unwrap_err();
    assert_eq!(again.code(), Code::OperationForgotten);
    let sealed = ledger.seal(&id(2), 1, SECOND);
    assert_eq!(sealed.code(), Code::OperationForgotten);
    // Eviction closes the oldest open ticket. Reopening it would lose the number of its highest
    // forgotten request.
    let kept = |ledger: &Ledger, serial| ledger.find(&id(serial), 1, SECOND).unwrap().code();
    let oldest = (1..1_000).find(|serial| kept(&ledger, *serial) == Code::AnswerDropped);
    let oldest = oldest.unwrap();
    let next = ledger
        .open_attempt(&numbered(oldest, 2), 1, SECOND)
        .unwrap_err();
    assert_eq!(next.code(), Code::OperationForgotten);
    assert_eq!(kept(&ledger, oldest), Code::OperationForgotten);
}

#[test]
fn records_of_two_owners_merge_to_unknown() {
    let mut ledger = Ledger::default();
    let id = plain("key");
    let (one, two) = (Incarnation(1), Incarnation(2));
    ledger.record_intent(&id, 1, one, SECOND).unwrap();
    let record = HandoverRecord {
        id: id.clone(),
        fingerprint: 1,
        state: HandoverState::Recorded(two),
    };
    ledger.import(vec![record], SECOND);
    for owner in [one, two] {
        let refused: Resolution = ledger.record_intent(&id, 1, owner, SECOND).unwrap_err();
        assert_eq!(refused.code(), Code::OperationUnknown);
    }
}

#[test]
fn unresponsive_peer_is_suspect_and_late_messages_of_a_former_incarnation_are_ignored() {
    let mut peers = PeerTable::default();
    let presence = |incarnation| Presence {
        centre: "suva".into(),
        instance: "e1".into(),
        incarnation: Incarnation(incarnation),
        address: String::new(),
        roster: RosterVersion::default(),
        draining: false,
    };
    peers.record_heartbeat(presence(1), SECOND);
    assert_eq!(
        peers.record_heartbeat(presence(2), 2 * SECOND),
        HeartbeatEffect::Restarted
    );
    assert_eq!(
        peers.record_heartbeat(presence(1), 3 * SECOND),
        HeartbeatEffect::Stale
    );
    assert!(peers.is_suspect(Incarnation(1), 3 * SECOND));
    assert!(!peers.is_suspect(Incarnation(2), 5 * SECOND));
    assert!(peers.is_suspect(Incarnation(2), 6 * SECOND));
    peers.retain(|listed| listed == Incarnation(2), 900 * SECOND);
    assert_eq!(
        peers.record_heartbeat(presence(2), 900 * SECOND),
        HeartbeatEffect::Returned
    );
    assert_eq!(peers.choose_witness(&"suva".into(), 7, 905 * SECOND), None);
}
