//! Request path: nutmegcart against simple baselines in virtual time.
//!
//! Each scenario simulates nine entry instances in four data centres. The baselines are round robin
//! without limits and random choice with up to three attempts.

mod policy;
mod scenario;
mod simulation;
mod throughput;

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use nutmegcart_model::InstanceId;
use nutmegcart_request::outcome::Outcome;
use nutmegcart_request::router::Router;
use nutmegcart_request::router::RouterSettings;
use nutmegcart_request::router::RoutingScope;
use nutmegcart_request::router::RunnerCriteria;
use nutmegcart_request::share::EntrySpec;
use nutmegcart_request::share::RunnerSpec;

use self::policy::PolicyKind;
use self::scenario::ArrivalPattern;
use self::scenario::Fault;
use self::scenario::RunStats;
use self::simulation::RequestSimulation;
use crate::comparison::Comparison;

/// Numbers of backend servers at which the time of a routing decision is measured.
const SERVER_COUNTS: [usize; 3] = [50, 500, 2600];

/// Routing decisions in a timed round.
const DECISIONS_PER_ROUND: u32 = 20_000;

/// Timed rounds. The fastest is reported, because other processes share the processor.
const ROUNDS: u32 = 15;

/// Returns the comparisons of all scenarios, of routing decisions and of forwarding.
pub fn comparisons(seed: u64) -> Vec<Comparison> {
    let mut comparisons = Vec::new();
    for baseline in [PolicyKind::RoundRobin, PolicyKind::Random] {
        comparisons.extend(burst(seed, baseline));
        comparisons.extend(failing_runners(seed, baseline));
        comparisons.extend(draining_runner(seed, baseline));
        comparisons.extend(silent_connections(seed, baseline));
    }
    comparisons.extend(decision_costs());
    comparisons.extend(throughput::comparisons());
    comparisons
}

/// Runs a scenario with a baseline and with the request path.
fn run_both(
    seed: u64,
    baseline: PolicyKind,
    arrivals: &ArrivalPattern,
    faults: &[Fault],
) -> [RunStats; 2] {
    [baseline, PolicyKind::RequestPath]
        .map(|kind| RequestSimulation::new(seed, kind, arrivals, faults).run())
}

/// Compares one statistic of the baseline run and the request-path run.
fn compare(
    name: &str,
    unit: &str,
    kind: PolicyKind,
    runs: &[RunStats; 2],
    field: fn(&RunStats) -> f64,
) -> Comparison {
    let name = format!("{name}, against {}", kind.label());
    Comparison::new(name, unit, field(&runs[0]), field(&runs[1]))
}

/// Burst of five times the usual demand for five seconds, half of it from one caller.
fn burst(seed: u64, kind: PolicyKind) -> Vec<Comparison> {
    let runs = run_both(seed, kind, &ArrivalPattern::burst(), &[]);
    let three_entries = run_both(
        seed,
        kind,
        &ArrivalPattern {
            entry_instances: 3,
            ..ArrivalPattern::burst()
        },
        &[],
    );
    vec![
        compare(
            "burst: useful answers",
            "share",
            kind,
            &runs,
            RunStats::useful_share,
        ),
        compare(
            "burst: late answers",
            "share of answers",
            kind,
            &runs,
            RunStats::late_share,
        ),
        compare(
            "burst: modest callers' useful answers",
            "share",
            kind,
            &runs,
            RunStats::other_share,
        ),
        compare(
            "burst: answers per caller, Jain's index",
            "index",
            kind,
            &runs,
            RunStats::fairness,
        ),
        compare(
            "burst: attempts refused by runners",
            "attempts",
            kind,
            &runs,
            |stats| stats.refused_attempts,
        ),
        compare(
            "burst on 3 entry instances: useful answers",
            "share",
            kind,
            &three_entries,
            RunStats::useful_share,
        ),
        compare(
            "burst on 3 entry instances: late answers",
            "share of answers",
            kind,
            &three_entries,
            RunStats::late_share,
        ),
    ]
}

/// A third of the runners answers every request with an error.
fn failing_runners(seed: u64, kind: PolicyKind) -> Vec<Comparison> {
    let runs = run_both(
        seed,
        kind,
        &ArrivalPattern::steady(),
        &[Fault::FailThirdOfRunners],
    );
    vec![
        compare(
            "third failing: attempts per request",
            "attempts",
            kind,
            &runs,
            RunStats::attempts_per_request,
        ),
        compare(
            "third failing: useful answers",
            "share",
            kind,
            &runs,
            RunStats::useful_share,
        ),
    ]
}

/// A runner drains, and the instance list shows it 15 s later.
fn draining_runner(seed: u64, kind: PolicyKind) -> Vec<Comparison> {
    let runs = run_both(seed, kind, &ArrivalPattern::steady(), &[Fault::DrainRunner]);
    let low_demand = run_both(seed, kind, &ArrivalPattern::low(), &[Fault::DrainRunner]);
    vec![
        compare(
            "leaving runner: attempts sent after 3 s",
            "attempts",
            kind,
            &runs,
            |stats| stats.draining_attempts,
        ),
        compare(
            "leaving runner, low demand: attempts after 3 s",
            "attempts",
            kind,
            &low_demand,
            |stats| stats.draining_attempts,
        ),
        compare(
            "leaving runner: useful answers",
            "share",
            kind,
            &runs,
            RunStats::useful_share,
        ),
    ]
}

/// The open connections to a runner go silent while new ones work.
fn silent_connections(seed: u64, kind: PolicyKind) -> Vec<Comparison> {
    let runs = run_both(
        seed,
        kind,
        &ArrivalPattern::near_capacity(),
        &[Fault::SilenceConnections],
    );
    vec![
        compare(
            "silent connections: in use for",
            "s",
            kind,
            &runs,
            |stats| stats.silent_seconds,
        ),
        compare(
            "silent connections: attempts lost",
            "attempts",
            kind,
            &runs,
            |stats| stats.silent_attempts,
        ),
        compare(
            "silent connections: useful answers",
            "share",
            kind,
            &runs,
            RunStats::useful_share,
        ),
    ]
}

fn runner_specs(servers: usize) -> Vec<RunnerSpec> {
    (0..servers)
        .map(|index| RunnerSpec {
            id: format!("runner-{index}").into(),
            centre: "a".into(),
            service: "gates".into(),
        })
        .collect()
}

/// Time of a routing decision with all backend servers in one service, against a scan for the least
/// loaded one.
fn decision_costs() -> Vec<Comparison> {
    let decision_ns = SERVER_COUNTS.map(decision_time);
    let mut comparisons: Vec<Comparison> = SERVER_COUNTS
        .iter()
        .zip(SERVER_COUNTS.map(scan_time))
        .zip(decision_ns)
        .map(|((servers, scan), decision)| {
            let name = format!("decision at {servers} backend servers, against a scan");
            Comparison::new(name, "ns", scan, decision)
        })
        .collect();
    let name = "decision at 2600 backend servers, against 50";
    comparisons.push(Comparison::new(name, "ns", decision_ns[0], decision_ns[2]));
    comparisons
}

/// Returns the time per decision in the fastest round, in nanoseconds.
fn fastest_round(mut round: impl FnMut()) -> f64 {
    let times = (0..ROUNDS).map(|_| {
        let start = Instant::now();
        round();
        start.elapsed()
    });
    let best = times.min().unwrap_or_default();
    best.as_secs_f64() * 1e9 / f64::from(DECISIONS_PER_ROUND)
}

fn decision_time(servers: usize) -> f64 {
    let entry = EntrySpec {
        id: "entry".into(),
        centre: "a".into(),
    };
    let mut router = Router::new(RouterSettings::default(), entry);
    router.set_runners(&runner_specs(servers), Duration::ZERO);
    let gates = router.ensure_service(&"gates".into());
    let criteria = RunnerCriteria {
        scope: RoutingScope::Global,
        avoid: None,
        at_most_once: false,
    };
    let mut now = Duration::ZERO;
    fastest_round(|| {
        for step in 0..u64::from(DECISIONS_PER_ROUND) {
            now += Duration::from_micros(100);
            let random = simulation::pseudo_random(step);
            let chosen = router.choose(gates, criteria, now, random);
            let chosen = black_box(chosen).expect("runners are idle");
            router.finish(&chosen, Outcome::Success, now, now, random);
        }
    })
}

fn scan_time(servers: usize) -> f64 {
    let ids: Vec<InstanceId> = runner_specs(servers)
        .into_iter()
        .map(|spec| spec.id)
        .collect();
    let mut loads = vec![0_u32; servers];
    fastest_round(|| {
        for step in 0..u64::from(DECISIONS_PER_ROUND) {
            let least = (0..servers).min_by_key(|&index| {
                (loads[index], simulation::pseudo_random(step) >> (index % 8))
            });
            let least = black_box(least).expect("there are runners");
            loads[least] += 1;
            black_box(ids[least].clone());
            loads[least] -= 1;
        }
    })
}
