//! Rules of admission, borrowing and retries.

mod common;

use std::time::Duration;

use nutmegcart_model::Code;
use nutmegcart_model::Verdict;
use nutmegcart_request::admission::Class;
use nutmegcart_request::admission::Queue;
use nutmegcart_request::admission::QueueSettings;
use nutmegcart_request::admission::QueuedRequest;
use nutmegcart_request::admission::RefusalReason;
use nutmegcart_request::admission::Throughput;
use nutmegcart_request::outcome::Outcome;
use nutmegcart_request::request_path::AttemptEnd;
use nutmegcart_request::request_path::Decision;
use nutmegcart_request::retry::RetryDenial;

use crate::common::expect_attempt;
use crate::common::fill;
use crate::common::ms;
use crate::common::new_path;
use crate::common::pseudo_random;
use crate::common::request;
use crate::common::runners;

const FAST: Throughput = Throughput {
    slots: 100,
    mean_time: Duration::from_millis(1),
};

fn queued(id: u64, caller: &str, deadline: u64) -> QueuedRequest {
    QueuedRequest {
        id,
        caller: caller.into(),
        class: Class::Urgent,
        deadline: ms(deadline),
        allow_remote: true,
        cost: 1,
    }
}

fn pop_all(queue: &mut Queue) -> Vec<u64> {
    let dropped = &mut Vec::new();
    std::iter::from_fn(|| queue.pop(false, ms(0), ms(0), dropped))
        .map(|request| request.id)
        .collect()
}

#[test]
fn earliest_deadline_of_a_caller_goes_first() {
    let mut queue = Queue::default();
    for (id, deadline) in [(1, 900), (2, 700), (3, 800)] {
        queue.offer(queued(id, "a", deadline), FAST, ms(0)).unwrap();
    }
    assert_eq!(pop_all(&mut queue), [2, 3, 1]);
}

#[test]
fn callers_are_served_in_turn_regardless_of_their_queue_length() {
    let mut queue = Queue::default();
    for id in 0..6 {
        queue.offer(queued(id, "greedy", 500), FAST, ms(0)).unwrap();
    }
    for id in 6..8 {
        queue.offer(queued(id, "modest", 900), FAST, ms(0)).unwrap();
    }
    let order = pop_all(&mut queue);
    assert!(
        order[..4].contains(&6) && order[..4].contains(&7),
        "{order:?}"
    );
}

#[test]
fn request_cost_reduces_the_turns_of_a_caller() {
    let mut queue = Queue::default();
    for id in 0..4 {
        let mut costly = queued(id, "costly", 900);
        costly.cost = 3;
        queue.offer(costly, FAST, ms(0)).unwrap();
        queue
            .offer(queued(10 + id, "cheap", 900), FAST, ms(0))
            .unwrap();
    }
    let order = pop_all(&mut queue);
    let cheap = order[..4].iter().filter(|&&id| id >= 10).count();
    assert_eq!(cheap, 3, "{order:?}");
}

#[test]
fn full_queue_drops_the_last_request_of_the_caller_that_holds_most() {
    let mut queue = Queue::new(QueueSettings { limit: 4 });
    for id in 0..4 {
        queue
            .offer(queued(id, "greedy", 500 + id), FAST, ms(0))
            .unwrap();
    }
    let dropped = queue.offer(queued(9, "modest", 900), FAST, ms(0)).unwrap();
    assert_eq!(dropped.map(|request| request.id), Some(3));
    let refused = queue.offer(queued(10, "greedy", 900), FAST, ms(0));
    assert_eq!(refused, Err(RefusalReason::FairShare));
    assert_eq!(queue.len(), 4);
}

#[test]
fn urgent_requests_go_first_without_starving_deferrable_ones() {
    let mut queue = Queue::default();
    for id in 0..40 {
        queue.offer(queued(id, "a", 900), FAST, ms(0)).unwrap();
    }
    let mut deferrable = queued(99, "a", 100);
    deferrable.class = Class::Deferrable;
    queue.offer(deferrable, FAST, ms(0)).unwrap();
    let order = pop_all(&mut queue);
    assert_eq!(order.iter().position(|&id| id == 99), Some(15));
}

#[test]
fn request_that_would_wait_beyond_its_deadline_is_refused_early() {
    let mut queue = Queue::default();
    let throughput = Throughput {
        slots: 2,
        mean_time: ms(100),
    };
    let admitted = (0..100)
        .filter(|&id| {
            queue
                .offer(queued(id, "a", 1000), throughput, ms(0))
                .is_ok()
        })
        .count();
    assert!((16..=20).contains(&admitted), "{admitted} admitted");
}

#[test]
fn waiting_request_is_dropped_at_its_deadline() {
    let mut path = new_path(&runners("gates", 1, 0));
    let running = fill(&mut path, true, ms(0));
    let decision = path.submit(request(1, ms(500)), ms(0), 0);
    assert!(matches!(decision, Decision::Queued(_)));
    path.tick(ms(499));
    assert!(path.take_refused().is_empty());
    path.tick(ms(500));
    let refused = path.take_refused();
    assert_eq!(refused[0].refusal, RefusalReason::DeadlinePassed);
    assert_eq!(refused[0].code.verdict(), Verdict::NotRun);
    drop(running);
}

#[test]
fn queued_request_that_would_finish_late_is_dropped_in_favour_of_the_next() {
    let mut path = new_path(&runners("gates", 1, 0));
    let mut running = fill(&mut path, true, ms(0));
    path.submit(request(1, ms(500)), ms(0), 0);
    path.submit(request(2, ms(5000)), ms(0), 0);
    path.finish(running.remove(0), Outcome::Success, ms(490), 0);
    let next = path.next_attempt(ms(490), 0).expect("a slot is free");
    assert_eq!(next.request().id, 2);
    let refused = path.take_refused();
    assert_eq!(refused[0].refusal, RefusalReason::DeadlineTooShort);
}

#[test]
fn spare_pool_lends_up_to_its_cap_and_stops_when_it_has_demand() {
    let mut specs = runners("gates", 1, 0);
    specs.extend(runners("portal", 1, 0));
    let mut path = new_path(&specs);
    path.router.set_spare(&"portal".into(), true);
    let mut running = fill(&mut path, true, ms(0));
    assert_eq!(running.len(), 8 + 6, "three quarters of the spare slots");
    let portal = |id| {
        let mut own = request(id, ms(5000));
        own.service = "portal".into();
        own
    };
    for id in 0..2 {
        expect_attempt(path.submit(portal(id), ms(0), 0));
    }
    assert!(matches!(
        path.submit(portal(2), ms(0), 0),
        Decision::Queued(_)
    ));
    assert!(matches!(
        path.submit(request(3, ms(5000)), ms(0), 0),
        Decision::Queued(_)
    ));
    // A borrowed slot that becomes free serves the request of the spare pool's own service.
    let borrowed = running
        .iter()
        .position(|attempt| attempt.runner.is_borrowed());
    let attempt = running.remove(borrowed.expect("slots were borrowed"));
    path.finish(attempt, Outcome::Success, ms(5), 0);
    let next = path.next_attempt(ms(5), 0).expect("a slot is free");
    assert_eq!(&*next.request().service, "portal");
    assert!(path.next_attempt(ms(5), 0).is_none());
}

#[test]
fn cancelled_request_leaves_the_queue() {
    let mut path = new_path(&runners("gates", 1, 0));
    let mut running = fill(&mut path, true, ms(0));
    path.submit(request(1, ms(5000)), ms(0), 0);
    assert!(path.cancel(&"gates".into(), 1));
    path.finish(running.remove(0), Outcome::Success, ms(1), 0);
    assert!(path.next_attempt(ms(1), 0).is_none());
}

#[test]
fn retries_stay_within_a_tenth_of_fresh_requests() {
    let mut path = new_path(&runners("gates", 2, 0));
    for step in 0..1000 {
        let now = ms(step * 10);
        let attempt =
            expect_attempt(path.submit(request(step, now + ms(900)), now, pseudo_random(step)));
        if let AttemptEnd::Retry(at, _, retry) = path.finish(attempt, Outcome::ServerError, now, 0)
        {
            let attempt = expect_attempt(path.retry(*retry, at, 0));
            path.finish(attempt, Outcome::ServerError, at, 0);
        }
    }
    // 100 from 1,000 new requests and the initial budget of 10.
    let retries: u64 = path.counters.retries.values().sum();
    assert!((109..=110).contains(&retries), "{retries} retries");
    assert!(path.counters.denials[&RetryDenial::BudgetUsed] > 0);
}

macro_rules! denied_retries {
    ($($name:ident: $change:expr, $outcome:ident => $denial:ident;)*) => {
        $(#[test]
        fn $name() {
            let mut path = new_path(&runners("gates", 2, 0));
            let mut request = request(1, ms(900));
            let change: fn(&mut nutmegcart_request::request_path::Request) = $change;
            change(&mut request);
            let attempt = expect_attempt(path.submit(request, ms(0), 0));
            let end = path.finish(attempt, Outcome::$outcome, ms(1), u64::MAX);
            match end {
                AttemptEnd::Failed(_, denial) => assert_eq!(denial, RetryDenial::$denial),
                other => panic!("not denied: {other:?}"),
            }
        })*
    };
}

denied_retries! {
    request_that_may_have_run_once_is_not_retried:
        |request| request.idempotent = false, ConnectionLost => NotIdempotent;
    request_retried_by_another_layer_is_not_retried_again:
        |request| request.retried = true, ConnectionLost => RetriedElsewhere;
    retry_after_the_deadline_is_denied:
        |request| request.deadline = ms(10), ConnectionLost => DeadlineClose;
    oversized_answer_is_not_retried:
        |_| {}, TooLarge => Final;
}

#[test]
fn request_that_provably_did_not_run_is_retried_on_another_runner() {
    // The outcome does not count as a failure, so the runner is avoided only because of the earlier
    // attempt.
    let mut path = new_path(&runners("gates", 2, 0));
    for id in 0..8 {
        let mut non_idempotent = request(id, ms(900));
        non_idempotent.idempotent = false;
        let attempt = expect_attempt(path.submit(non_idempotent, ms(0), pseudo_random(id)));
        let first = attempt.runner.id.clone();
        let AttemptEnd::Retry(at, _, retry) = path.finish(attempt, Outcome::NotSent, ms(1), 0)
        else {
            panic!("not retried");
        };
        let second = expect_attempt(path.retry(*retry, at, pseudo_random(id)));
        assert_ne!(second.runner.id, first);
        path.finish(second, Outcome::Success, at, 0);
    }
}

#[test]
fn refused_retry_returns_the_code_of_the_earlier_attempt() {
    let mut path = new_path(&runners("gates", 1, 0));
    let attempt = expect_attempt(path.submit(request(1, ms(900)), ms(0), 0));
    let AttemptEnd::Retry(_, _, retry) = path.finish(attempt, Outcome::ConnectionLost, ms(1), 0)
    else {
        panic!("not retried");
    };
    let Decision::Refused(refused) = path.retry(*retry, ms(900), 0) else {
        panic!("sent after its deadline");
    };
    assert_eq!(refused.code, Code::ConnectionLost);
}

#[test]
fn idempotent_attempt_leaves_time_for_a_retry_and_a_non_idempotent_one_does_not() {
    let mut path = new_path(&runners("gates", 2, 0));
    let attempt = expect_attempt(path.submit(request(1, ms(5000)), ms(0), 0));
    assert!(attempt.timeout < ms(2500));
    let mut non_idempotent = request(2, ms(5000));
    non_idempotent.idempotent = false;
    assert_eq!(
        expect_attempt(path.submit(non_idempotent, ms(0), 0)).timeout,
        ms(5000)
    );
}

#[test]
fn draining_entry_instance_refuses_new_requests_and_finishes_queued_ones() {
    let mut path = new_path(&runners("gates", 1, 0));
    let mut running = fill(&mut path, true, ms(0));
    path.submit(request(1, ms(5000)), ms(0), 0);
    path.drain();
    let Decision::Refused(refused) = path.submit(request(2, ms(5000)), ms(0), 0) else {
        panic!("admitted while draining");
    };
    assert_eq!(refused.refusal, RefusalReason::ShuttingDown);
    path.finish(running.remove(0), Outcome::Success, ms(1), 0);
    assert!(path.next_attempt(ms(1), 0).is_some());
}
