//! Rules of routing, shares, departure, ejection and connections.

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

use crate::common::count;
use crate::common::entry;
use crate::common::fill;
use crate::common::mix;
use crate::common::ms;
use crate::common::path;
use crate::common::request;
use crate::common::runners;
use crate::common::sent;

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
    let mut path = path(&runners("gates", 2, 0));
    let roster = (0..4).map(|id| entry(id, "a")).collect();
    path.router.set_entries(roster, Duration::ZERO);
    let attempts = fill(&mut path, true, Duration::ZERO);
    assert_eq!(attempts.len(), 4);
    assert_eq!(count(&attempts, "gates-0"), 2);
}

#[test]
fn requests_that_run_once_do_not_spill_and_idempotent_ones_spill_last() {
    let mut path = path(&runners("gates", 1, 1));
    path.router
        .set_entries(vec![entry(0, "a"), entry(1, "b")], Duration::ZERO);
    let once = fill(&mut path, false, Duration::ZERO);
    assert_eq!(count(&once, "gates-0"), once.len());
    let more = fill(&mut path, true, Duration::ZERO);
    assert_eq!(count(&more, "gates-1"), more.len());
    assert!(!more.is_empty());
}

#[test]
fn partitioned_data_centre_receives_nothing() {
    let mut path = path(&runners("gates", 1, 1));
    path.router
        .set_partitioned(&"b".into(), true, Duration::ZERO);
    let attempts = fill(&mut path, true, Duration::ZERO);
    assert_eq!(count(&attempts, "gates-1"), 0);
}

const ANY: RunnerCriteria<'static> = RunnerCriteria {
    scope: RoutingScope::Local,
    avoid: None,
    at_most_once: false,
};

/// Share of 200 single requests that go to `gates-0` while a peer reports load on it.
fn share_under_peer_load(age: Duration) -> usize {
    let mut path = path(&runners("gates", 2, 0));
    let report = LoadReport {
        in_flight: [("gates-0".into(), 6)].into(),
        leaving: Vec::new(),
    };
    path.router
        .apply_load_report(&"e1".into(), report, Duration::ZERO);
    let gates = path.router.service(&"gates".into());
    (0..200)
        .filter(|&draw| {
            let chosen = path
                .router
                .choose(gates, ANY, age, mix(draw))
                .expect("runners are idle");
            path.router.finish(&chosen, Outcome::Cancelled, age, age, 0);
            &*chosen.id == "gates-0"
        })
        .count()
}

#[test]
fn fresh_reports_of_peers_steer_away_and_old_ones_do_not() {
    assert_eq!(share_under_peer_load(Duration::ZERO), 0);
    let mut path = path(&runners("gates", 2, 0));
    let report = |load| LoadReport {
        in_flight: [("gates-0".into(), load)].into(),
        leaving: Vec::new(),
    };
    // Two local requests on gates-1 outweigh six reported ones after three half-lives.
    path.router
        .apply_load_report(&"e1".into(), report(6), Duration::ZERO);
    let gates = path.router.service(&"gates".into());
    for (now, expected) in [(0, "gates-1"), (0, "gates-1"), (3000, "gates-0")] {
        let chosen = path
            .router
            .choose(gates, ANY, ms(now), mix(now))
            .expect("a runner has room");
        assert_eq!(&*chosen.id, expected, "after {now} ms");
    }
}

#[test]
fn report_replaces_the_previous_one_of_the_same_peer() {
    let mut path = path(&runners("gates", 2, 0));
    for load in [100, 0] {
        let report = LoadReport {
            in_flight: [("gates-0".into(), load)].into(),
            leaving: Vec::new(),
        };
        path.router
            .apply_load_report(&"e1".into(), report, Duration::ZERO);
    }
    let attempts = fill(&mut path, true, Duration::ZERO);
    assert_eq!(count(&attempts[..8], "gates-0"), 4);
}

#[test]
fn leaving_runner_gets_nothing_after_three_seconds_although_the_list_lags() {
    let mut path = path(&runners("gates", 3, 0));
    let mut late = 0;
    let mut refused = 0;
    for step in 0..2000 {
        let now = ms(step * 10);
        path.router
            .update_listing(&"gates-0".into(), true, Duration::ZERO, ms(0));
        let attempt = sent(path.submit(request(step, now + ms(900)), now, mix(step)));
        let leaving = &*attempt.runner.id == "gates-0";
        late += u32::from(leaving && now > ms(3000));
        refused += u32::from(leaving);
        let outcome = if leaving {
            Outcome::RefusedBeforeStart
        } else {
            Outcome::Success
        };
        path.finish(attempt, outcome, now + ms(1), mix(step));
    }
    assert_eq!(late, 0);
    assert!((2..=5).contains(&refused), "{refused} refusals");
}

#[test]
fn full_runner_that_refused_once_is_used_again_within_two_seconds() {
    let mut path = path(&runners("gates", 1, 0));
    let attempt = sent(path.submit(request(1, ms(900)), ms(0), 0));
    path.finish(attempt, Outcome::RefusedBeforeStart, ms(1), 0);
    let probe = sent(path.submit(request(2, ms(900)), ms(150), 0));
    assert_eq!(
        fill(&mut path, true, ms(150)).len(),
        0,
        "one probe at a time"
    );
    path.finish(probe, Outcome::Success, ms(160), 0);
    assert_eq!(fill(&mut path, true, ms(160)).len(), 8);
}

#[test]
fn request_that_runs_once_does_not_test_a_doubtful_runner() {
    // A draining runner was tested just before its reboot, and the outcome was unknown.
    let mut path = path(&runners("gates", 2, 0));
    let attempt = sent(path.submit(request(1, ms(900)), ms(0), 0));
    let doubtful = attempt.runner.id.clone();
    path.finish(attempt, Outcome::RefusedBeforeStart, ms(1), 0);
    for id in 2..9 {
        let mut once = request(id, ms(900));
        once.idempotent = false;
        let attempt = sent(path.submit(once, ms(150), mix(id)));
        assert_ne!(attempt.runner.id, doubtful);
    }
    let intake = path.router.dispatch_mode(&doubtful, ms(150));
    assert_eq!(intake, Some(DispatchMode::Probe));
}

#[test]
fn probe_stays_within_a_share_that_shrank() {
    // Found by fuzzing: a probe was sent although the new share was already used up.
    let mut path = path(&runners("gates", 1, 0));
    let mut attempts = fill(&mut path, true, ms(0));
    path.finish(attempts.remove(0), Outcome::RefusedBeforeStart, ms(1), 0);
    let roster = (0..9).map(|id| entry(id, "a")).collect();
    path.router.set_entries(roster, ms(2));
    assert_eq!(fill(&mut path, true, ms(150)).len(), 0);
}

#[test]
fn answers_to_earlier_requests_do_not_reopen_a_leaving_runner() {
    let mut path = path(&runners("gates", 1, 0));
    let early = sent(path.submit(request(1, ms(900)), ms(0), 0));
    let refused = sent(path.submit(request(2, ms(900)), ms(1), 0));
    path.finish(refused, Outcome::RefusedBeforeStart, ms(2), 0);
    path.finish(early, Outcome::Success, ms(3), 0);
    let intake = path.router.dispatch_mode(&"gates-0".into(), ms(4));
    assert_eq!(intake, Some(DispatchMode::Blocked));
}

#[test]
fn refusals_heard_from_a_peer_close_a_runner_and_are_not_passed_on() {
    let mut path = path(&runners("gates", 2, 0));
    let report = LoadReport {
        leaving: vec!["gates-0".into()],
        ..LoadReport::default()
    };
    path.router
        .apply_load_report(&"e1".into(), report, Duration::ZERO);
    let attempts = fill(&mut path, true, ms(1));
    assert_eq!(count(&attempts, "gates-0"), 0);
    assert_eq!(path.router.load_report(ms(1)).leaving, []);
    // A peer that is answered again stops reporting; the runner is then tested.
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
fn report_of_a_peer_does_not_shorten_the_hold_after_an_own_refusal() {
    // Found by fuzzing: the runner was tested again 2.5 s after the report.
    let mut path = path(&runners("gates", 1, 0));
    let attempt = sent(path.submit(request(1, ms(900)), ms(0), 0));
    path.finish(attempt, Outcome::RefusedBeforeStart, ms(1), 0);
    let report = LoadReport {
        leaving: vec!["gates-0".into()],
        ..LoadReport::default()
    };
    path.router.apply_load_report(&"e1".into(), report, ms(50));
    let intake = path.router.dispatch_mode(&"gates-0".into(), ms(5000));
    assert_eq!(intake, Some(DispatchMode::Blocked));
}

#[test]
fn first_refusal_is_reported_to_peers() {
    // Entry instances with little traffic learn of a leaving runner in no other way in 3 s.
    let mut path = path(&runners("gates", 1, 0));
    let attempt = sent(path.submit(request(1, ms(900)), ms(0), 0));
    path.finish(attempt, Outcome::RefusedBeforeStart, ms(1), 0);
    assert_eq!(path.router.load_report(ms(2)).leaving, ["gates-0".into()]);
}

#[test]
fn listed_return_reopens_a_runner_that_was_listed_as_leaving() {
    let mut path = path(&runners("gates", 1, 0));
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
    let mut path = path(&runners("gates", 9, 0));
    let gates = path.router.service(&"gates".into());
    for step in 0..500 {
        let now = ms(step);
        let attempt = sent(path.submit(request(step, ms(10_000)), now, mix(step)));
        path.finish(attempt, Outcome::ServerError, now, mix(step));
    }
    assert_eq!(path.router.ejected(gates), 3);
}

#[test]
fn ejected_runner_returns_after_one_successful_probe() {
    let mut path = path(&runners("gates", 3, 0));
    for attempt in fill(&mut path, true, ms(0)) {
        let outcome = match &*attempt.runner.id {
            "gates-0" => Outcome::ConnectionLost,
            _ => Outcome::Success,
        };
        path.finish(attempt, outcome, ms(10), 0);
    }
    let running = fill(&mut path, true, ms(60));
    assert_eq!((running.len(), count(&running, "gates-0")), (16, 0));
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
    // With two runners none may be ejected; an idle look must not win every comparison.
    let mut path = path(&runners("gates", 2, 0));
    let mut running = Vec::new();
    let mut failed = 0;
    for step in 0..100 {
        let now = ms(step * 10);
        let attempt = sent(path.submit(request(step, now + ms(900)), now, mix(step)));
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
fn silent_connection_takes_older_idle_ones_with_it_and_spares_fresh_ones() {
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
fn connections_stay_within_the_share_and_do_not_idle_for_ever() {
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
