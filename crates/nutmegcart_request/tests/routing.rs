//! Rules of routing, shares, drain detection, ejection and connections.

mod common;

use std::time::Duration;

use nutmegcart_request::connection::ConnectionChoice;
use nutmegcart_request::connection::Connections;
use nutmegcart_request::drain_detector::DispatchMode;
use nutmegcart_request::load::LoadReport;
use nutmegcart_request::outcome::Outcome;
use nutmegcart_request::router::RoutingScope;
use nutmegcart_request::router::RunnerCriteria;
use nutmegcart_request::share::RUNNER_SLOTS;

use crate::common::count_on;
use crate::common::entry;
use crate::common::expect_attempt;
use crate::common::fill;
use crate::common::ms;
use crate::common::new_path;
use crate::common::pseudo_random;
use crate::common::request;
use crate::common::runners;

#[test]
fn shares_of_all_entry_instances_never_exceed_the_slots() {
    for entries in 1..=9 {
        let roster: Vec<_> = (0..entries)
            .map(|id| entry(id, ["a", "b", "c", "d"][id % 4]))
            .collect();
        for spec in runners("gates", 6, 6) {
            let centres = ["a".into(), "b".into()].into();
            let total: u32 = roster
                .iter()
                .map(|own| nutmegcart_request::share::slot_share(&roster, own, &spec, &centres))
                .sum();
            assert_eq!(
                total, RUNNER_SLOTS,
                "{entries} entry instances, {}",
                spec.id
            );
        }
    }
}

#[test]
fn requests_in_flight_stay_within_the_share_of_each_runner() {
    let mut path = new_path(&runners("gates", 2, 0));
    let roster = (0..4).map(|id| entry(id, "a")).collect();
    path.router.set_entries(roster, Duration::ZERO);
    let attempts = fill(&mut path, true, Duration::ZERO);
    assert_eq!(attempts.len(), 4);
    assert_eq!(count_on(&attempts, "gates-0"), 2);
}

#[test]
fn non_idempotent_requests_stay_local_and_idempotent_ones_use_remote_runners_last() {
    let mut path = new_path(&runners("gates", 1, 1));
    path.router
        .set_entries(vec![entry(0, "a"), entry(1, "b")], Duration::ZERO);
    let non_idempotent = fill(&mut path, false, Duration::ZERO);
    assert_eq!(count_on(&non_idempotent, "gates-0"), non_idempotent.len());
    let more = fill(&mut path, true, Duration::ZERO);
    assert_eq!(count_on(&more, "gates-1"), more.len());
    assert!(!more.is_empty());
}

#[test]
fn partitioned_data_centre_receives_nothing() {
    let mut path = new_path(&runners("gates", 1, 1));
    path.router
        .set_partitioned(&"b".into(), true, Duration::ZERO);
    let attempts = fill(&mut path, true, Duration::ZERO);
    assert_eq!(count_on(&attempts, "gates-1"), 0);
}

const ANY_LOCAL: RunnerCriteria<'static> = RunnerCriteria {
    scope: RoutingScope::Local,
    avoid: None,
    at_most_once: false,
};

/// Returns how many of 200 single requests go to `gates-0` after a peer reported load on it.
fn share_under_peer_load(age: Duration) -> usize {
    let mut path = new_path(&runners("gates", 2, 0));
    let report = LoadReport {
        in_flight: [("gates-0".into(), 6)].into(),
        leaving: Vec::new(),
    };
    path.router
        .apply_load_report(&"e1".into(), report, Duration::ZERO);
    let gates = path.router.ensure_service(&"gates".into());
    (0..200)
        .filter(|&draw| {
            let chosen = path
                .router
                .choose(gates, ANY_LOCAL, age, pseudo_random(draw))
                .expect("runners are idle");
            path.router.finish(&chosen, Outcome::Cancelled, age, age, 0);
            &*chosen.id == "gates-0"
        })
        .count()
}

#[test]
fn recent_peer_reports_shift_load_and_old_ones_do_not() {
    assert_eq!(share_under_peer_load(Duration::ZERO), 0);
    let mut path = new_path(&runners("gates", 2, 0));
    let report = |load| LoadReport {
        in_flight: [("gates-0".into(), load)].into(),
        leaving: Vec::new(),
    };
    // Two local requests on gates-1 outweigh six reported ones after three half-lives.
    path.router
        .apply_load_report(&"e1".into(), report(6), Duration::ZERO);
    let gates = path.router.ensure_service(&"gates".into());
    for (now, expected) in [(0, "gates-1"), (0, "gates-1"), (3000, "gates-0")] {
        let chosen = path
            .router
            .choose(gates, ANY_LOCAL, ms(now), pseudo_random(now))
            .expect("a runner has room");
        assert_eq!(&*chosen.id, expected, "after {now} ms");
    }
}

#[test]
fn report_replaces_the_previous_one_of_the_same_peer() {
    let mut path = new_path(&runners("gates", 2, 0));
    for load in [100, 0] {
        let report = LoadReport {
            in_flight: [("gates-0".into(), load)].into(),
            leaving: Vec::new(),
        };
        path.router
            .apply_load_report(&"e1".into(), report, Duration::ZERO);
    }
    let attempts = fill(&mut path, true, Duration::ZERO);
    assert_eq!(count_on(&attempts[..8], "gates-0"), 4);
}

#[test]
fn draining_runner_gets_no_requests_after_three_seconds_although_the_list_lags() {
    let mut path = new_path(&runners("gates", 3, 0));
    let mut late = 0;
    let mut refused = 0;
    for step in 0..2000 {
        let now = ms(step * 10);
        path.router
            .update_listing(&"gates-0".into(), true, Duration::ZERO, ms(0));
        let attempt =
            expect_attempt(path.submit(request(step, now + ms(900)), now, pseudo_random(step)));
        let leaving = &*attempt.runner.id == "gates-0";
        late += u32::from(leaving && now > ms(3000));
        refused += u32::from(leaving);
        let outcome = if leaving {
            Outcome::RefusedBeforeStart
        } else {
            Outcome::Success
        };
        path.finish(attempt, outcome, now + ms(1), pseudo_random(step));
    }
    assert_eq!(late, 0);
    assert!((2..=5).contains(&refused), "{refused} refusals");
}

#[test]
fn overloaded_runner_that_refused_once_is_used_again_within_two_seconds() {
    let mut path = new_path(&runners("gates", 1, 0));
    let attempt = expect_attempt(path.submit(request(1, ms(900)), ms(0), 0));
    path.finish(attempt, Outcome::RefusedBeforeStart, ms(1), 0);
    let probe = expect_attempt(path.submit(request(2, ms(900)), ms(150), 0));
    assert_eq!(
        fill(&mut path, true, ms(150)).len(),
        0,
        "one probe at a time"
    );
    path.finish(probe, Outcome::Success, ms(160), 0);
    assert_eq!(fill(&mut path, true, ms(160)).len(), 8);
}

#[test]
fn non_idempotent_request_does_not_probe_a_runner_that_refused() {
    // A non-idempotent request was once used to probe a draining runner just before its reboot, and
    // its outcome was unknown.
    let mut path = new_path(&runners("gates", 2, 0));
    let attempt = expect_attempt(path.submit(request(1, ms(900)), ms(0), 0));
    let refused_runner = attempt.runner.id.clone();
    path.finish(attempt, Outcome::RefusedBeforeStart, ms(1), 0);
    for id in 2..9 {
        let mut non_idempotent = request(id, ms(900));
        non_idempotent.idempotent = false;
        let attempt = expect_attempt(path.submit(non_idempotent, ms(150), pseudo_random(id)));
        assert_ne!(attempt.runner.id, refused_runner);
    }
    let mode = path.router.dispatch_mode(&refused_runner, ms(150));
    assert_eq!(mode, Some(DispatchMode::Probe));
}

#[test]
fn probe_respects_a_reduced_slot_share() {
    // Found by fuzzing: a probe was sent although all slots of the new share were in use.
    let mut path = new_path(&runners("gates", 1, 0));
    let mut attempts = fill(&mut path, true, ms(0));
    path.finish(attempts.remove(0), Outcome::RefusedBeforeStart, ms(1), 0);
    let roster = (0..9).map(|id| entry(id, "a")).collect();
    path.router.set_entries(roster, ms(2));
    assert_eq!(fill(&mut path, true, ms(150)).len(), 0);
}

#[test]
fn answers_to_earlier_requests_do_not_unblock_a_draining_runner() {
    let mut path = new_path(&runners("gates", 1, 0));
    let early = expect_attempt(path.submit(request(1, ms(900)), ms(0), 0));
    let refused = expect_attempt(path.submit(request(2, ms(900)), ms(1), 0));
    path.finish(refused, Outcome::RefusedBeforeStart, ms(2), 0);
    path.finish(early, Outcome::Success, ms(3), 0);
    let mode = path.router.dispatch_mode(&"gates-0".into(), ms(4));
    assert_eq!(mode, Some(DispatchMode::Blocked));
}

#[test]
fn refusals_reported_by_a_peer_block_a_runner_and_are_not_passed_on() {
    let mut path = new_path(&runners("gates", 2, 0));
    let report = LoadReport {
        leaving: vec!["gates-0".into()],
        ..LoadReport::default()
    };
    path.router
        .apply_load_report(&"e1".into(), report, Duration::ZERO);
    let attempts = fill(&mut path, true, ms(1));
    assert_eq!(count_on(&attempts, "gates-0"), 0);
    assert_eq!(path.router.load_report(ms(1)).leaving, []);
    // A peer whose requests are accepted again stops reporting; the runner is then probed.
    let id = "gates-0".into();
    assert_eq!(
        path.router.dispatch_mode(&id, ms(2499)),
        Some(DispatchMode::Blocked)
    );
    assert_eq!(
        path.router.dispatch_mode(&id, ms(2500)),
        Some(DispatchMode::Probe)
    );
}

#[test]
fn peer_report_does_not_shorten_the_hold_after_an_own_refusal() {
    // Found by fuzzing: the runner was probed 2.5 s after the report, before the end of the hold.
    let mut path = new_path(&runners("gates", 1, 0));
    let attempt = expect_attempt(path.submit(request(1, ms(900)), ms(0), 0));
    path.finish(attempt, Outcome::RefusedBeforeStart, ms(1), 0);
    let report = LoadReport {
        leaving: vec!["gates-0".into()],
        ..LoadReport::default()
    };
    path.router.apply_load_report(&"e1".into(), report, ms(50));
    let mode = path.router.dispatch_mode(&"gates-0".into(), ms(5000));
    assert_eq!(mode, Some(DispatchMode::Blocked));
}

#[test]
fn first_refusal_is_reported_to_peers() {
    // Entry instances with little traffic have no other way to detect a draining runner within 3 s.
    let mut path = new_path(&runners("gates", 1, 0));
    let attempt = expect_attempt(path.submit(request(1, ms(900)), ms(0), 0));
    path.finish(attempt, Outcome::RefusedBeforeStart, ms(1), 0);
    assert_eq!(path.router.load_report(ms(2)).leaving, ["gates-0".into()]);
}

#[test]
fn runner_that_is_listed_as_live_again_is_unblocked() {
    let mut path = new_path(&runners("gates", 1, 0));
    let id = "gates-0".into();
    path.router
        .update_listing(&id, false, Duration::ZERO, ms(0));
    assert_eq!(
        path.router.dispatch_mode(&id, ms(1)),
        Some(DispatchMode::Blocked)
    );
    path.router.update_listing(&id, true, Duration::ZERO, ms(2));
    assert_eq!(
        path.router.dispatch_mode(&id, ms(2)),
        Some(DispatchMode::Normal)
    );
}

#[test]
fn at_most_a_third_of_the_runners_is_ejected() {
    let mut path = new_path(&runners("gates", 9, 0));
    let gates = path.router.ensure_service(&"gates".into());
    for step in 0..500 {
        let now = ms(step);
        let attempt =
            expect_attempt(path.submit(request(step, ms(10_000)), now, pseudo_random(step)));
        path.finish(attempt, Outcome::ServerError, now, pseudo_random(step));
    }
    assert_eq!(path.router.ejected(gates), 3);
}

#[test]
fn ejected_runner_returns_after_one_successful_probe() {
    let mut path = new_path(&runners("gates", 3, 0));
    for attempt in fill(&mut path, true, ms(0)) {
        let outcome = match &*attempt.runner.id {
            "gates-0" => Outcome::ConnectionLost,
            _ => Outcome::Success,
        };
        path.finish(attempt, outcome, ms(10), 0);
    }
    let running = fill(&mut path, true, ms(60));
    assert_eq!((running.len(), count_on(&running, "gates-0")), (16, 0));
    let probes = fill(&mut path, true, ms(6000));
    assert_eq!(probes.len(), 1, "one probe at a time");
    for probe in probes {
        path.finish(probe, Outcome::Success, ms(6001), 0);
    }
    assert_eq!(path.counters.returned, 1);
    assert_eq!(fill(&mut path, true, ms(6002)).len(), 8);
}

#[test]
fn runner_that_fails_at_once_attracts_few_requests_when_no_more_may_be_ejected() {
    // With two runners none may be ejected. A runner that fails immediately has no requests in
    // flight and would win every comparison by load alone.
    let mut path = new_path(&runners("gates", 2, 0));
    let mut running = Vec::new();
    let mut failed = 0;
    for step in 0..100 {
        let now = ms(step * 10);
        let attempt =
            expect_attempt(path.submit(request(step, now + ms(900)), now, pseudo_random(step)));
        if &*attempt.runner.id == "gates-0" {
            failed += 1;
            path.finish(attempt, Outcome::ServerError, now, 0);
        } else {
            running.push(attempt);
        }
        if running.len() > 3 {
            path.finish(running.remove(0), Outcome::Success, now, 0);
        }
    }
    assert!(failed < 20, "{failed} of 100 requests failed");
}

#[test]
fn unresponsive_connection_closes_older_idle_ones_and_keeps_newer_ones() {
    let mut connections = Connections::default();
    let closed = &mut Vec::new();
    for id in 0..4 {
        assert_eq!(
            connections.acquire(7, ms(0), closed),
            ConnectionChoice::Open(id)
        );
    }
    for id in 0..4 {
        assert!(connections.release(id, ms(id)));
    }
    assert_eq!(
        connections.acquire(7, ms(10), closed),
        ConnectionChoice::Reuse(3)
    );
    assert_eq!(
        connections.acquire(7, ms(10), closed),
        ConnectionChoice::Reuse(2)
    );
    assert!(connections.release(3, ms(20)));
    connections.remove_unresponsive(2, closed);
    assert_eq!(closed, &[0, 1]);
    assert_eq!(
        connections.acquire(7, ms(30), closed),
        ConnectionChoice::Reuse(3)
    );
}

#[test]
fn connections_respect_the_share_and_the_idle_limit() {
    let mut connections = Connections::default();
    let closed = &mut Vec::new();
    assert_eq!(
        connections.acquire(1, ms(0), closed),
        ConnectionChoice::Open(0)
    );
    assert_eq!(
        connections.acquire(1, ms(0), closed),
        ConnectionChoice::Full
    );
    assert!(connections.release(0, ms(0)));
    assert_eq!(
        connections.acquire(1, ms(31_000), closed),
        ConnectionChoice::Open(1)
    );
    assert_eq!(closed, &[0]);
}
