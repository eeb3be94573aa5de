//! Request path: the policy against plain baselines in virtual time.
//!
//! Every scenario runs a deployment of nine entry instances in four data centres. The baselines
//! are round robin without limits and random choice with up to three attempts.

mod policy;
mod scenario;
mod throughput;
mod world;

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

use self::policy::Kind;
use self::scenario::Fault;
use self::scenario::Load;
use self::scenario::Tally;
use self::world::World;
use crate::comparison::Comparison;

/// Numbers of backend servers at which the cost of a decision is measured.
const SERVERS: [usize; 3] = [50, 500, 2600];

/// Decisions timed per round.
const DECISIONS: u32 = 20_000;

/// Rounds, of which the fastest counts, since others share the processor.
const ROUNDS: u32 = 15;

/// Returns the measures of the request path.
pub fn comparisons(seed: u64) -> Vec<Comparison> {
    let mut comparisons = Vec::new();
    for baseline in [Kind::RoundRobin, Kind::Random] {
        comparisons.extend(burst(seed, baseline));
        comparisons.extend(failing_third(seed, baseline));
        comparisons.extend(leaving(seed, baseline));
        comparisons.extend(silent(seed, baseline));
    }
    comparisons.extend(cost());
    comparisons.extend(throughput::comparisons());
    comparisons
}

/// Runs a scenario with a baseline and with the policy.
fn both(seed: u64, baseline: Kind, load: &Load, faults: &[Fault]) -> [Tally; 2] {
    [baseline, Kind::Policy].map(|kind| World::new(seed, kind, load, faults).run())
}

/// Compares one figure of both runs.
fn compare(
    name: &str,
    unit: &str,
    kind: Kind,
    runs: &[Tally; 2],
    get: fn(&Tally) -> f64,
) -> Comparison {
    let name = format!("{name}, against {}", kind.label());
    Comparison::new(name, unit, get(&runs[0]), get(&runs[1]))
}

/// Five times the mean demand for five seconds; one caller sends half of it.
fn burst(seed: u64, kind: Kind) -> Vec<Comparison> {
    let runs = both(seed, kind, &Load::burst(), &[]);
    let skewed = both(
        seed,
        kind,
        &Load {
            entries: 3,
            ..Load::burst()
        },
        &[],
    );
    vec![
        compare("burst: useful answers", "share", kind, &runs, Tally::useful),
        compare(
            "burst: late answers",
            "share of answers",
            kind,
            &runs,
            Tally::late,
        ),
        compare(
            "burst: modest callers' useful answers",
            "share",
            kind,
            &runs,
            Tally::modest,
        ),
        compare(
            "burst: answers per caller, Jain's index",
            "index",
            kind,
            &runs,
            Tally::fairness,
        ),
        compare(
            "burst: attempts refused by runners",
            "attempts",
            kind,
            &runs,
            |tally| tally.refused,
        ),
        compare(
            "burst on 3 entry instances: useful answers",
            "share",
            kind,
            &skewed,
            Tally::useful,
        ),
        compare(
            "burst on 3 entry instances: late answers",
            "share of answers",
            kind,
            &skewed,
            Tally::late,
        ),
    ]
}

/// A third of the runners answers every request with an error.
fn failing_third(seed: u64, kind: Kind) -> Vec<Comparison> {
    let runs = both(seed, kind, &Load::steady(), &[Fault::FailThird]);
    vec![
        compare(
            "third failing: attempts per request",
            "attempts",
            kind,
            &runs,
            Tally::amplification,
        ),
        compare(
            "third failing: useful answers",
            "share",
            kind,
            &runs,
            Tally::useful,
        ),
    ]
}

/// A runner leaves while the instance list lags by 15 s.
fn leaving(seed: u64, kind: Kind) -> Vec<Comparison> {
    let runs = both(seed, kind, &Load::steady(), &[Fault::Leave]);
    let quiet = both(seed, kind, &Load::quiet(), &[Fault::Leave]);
    vec![
        compare(
            "leaving runner: attempts sent after 3 s",
            "attempts",
            kind,
            &runs,
            |tally| tally.after_leaving,
        ),
        compare(
            "leaving runner, low demand: attempts after 3 s",
            "attempts",
            kind,
            &quiet,
            |tally| tally.after_leaving,
        ),
        compare(
            "leaving runner: useful answers",
            "share",
            kind,
            &runs,
            Tally::useful,
        ),
    ]
}

/// The open connections to a runner go silent while new ones work.
fn silent(seed: u64, kind: Kind) -> Vec<Comparison> {
    let runs = both(seed, kind, &Load::dense(), &[Fault::Silence]);
    vec![
        compare(
            "silent connections: in use for",
            "s",
            kind,
            &runs,
            |tally| tally.silent_for,
        ),
        compare(
            "silent connections: attempts lost",
            "attempts",
            kind,
            &runs,
            |tally| tally.silent,
        ),
        compare(
            "silent connections: useful answers",
            "share",
            kind,
            &runs,
            Tally::useful,
        ),
    ]
}

fn specs(servers: usize) -> Vec<RunnerSpec> {
    (0..servers)
        .map(|index| RunnerSpec {
            id: format!("runner-{index}").into(),
            centre: "a".into(),
            service: "gates".into(),
        })
        .collect()
}

/// Cost of a decision with all backend servers in one service, against a scan for the least load.
fn cost() -> Vec<Comparison> {
    let costs = SERVERS.map(decision);
    let mut comparisons: Vec<Comparison> = SERVERS
        .iter()
        .zip(SERVERS.map(scan))
        .zip(costs)
        .map(|((servers, scan), cost)| {
            let name = format!("decision at {servers} backend servers, against a scan");
            Comparison::new(name, "ns", scan, cost)
        })
        .collect();
    let name = "decision at 2600 backend servers, against 50";
    comparisons.push(Comparison::new(name, "ns", costs[0], costs[2]));
    comparisons
}

/// Returns the time of the fastest round per decision in nanoseconds.
fn fastest(mut round: impl FnMut()) -> f64 {
    let times = (0..ROUNDS).map(|_| {
        let start = Instant::now();
        round();
        start.elapsed()
    });
    let best = times.min().unwrap_or_default();
    best.as_secs_f64() * 1e9 / f64::from(DECISIONS)
}

fn decision(servers: usize) -> f64 {
    let own = EntrySpec {
        id: "entry".into(),
        centre: "a".into(),
    };
    let mut router = Router::new(RouterSettings::default(), own);
    router.set_runners(&specs(servers), Duration::ZERO);
    let gates = router.ensure_service(&"gates".into());
    let wish = RunnerCriteria {
        scope: RoutingScope::Global,
        avoid: None,
        at_most_once: false,
    };
    let mut now = Duration::ZERO;
    fastest(|| {
        for step in 0..u64::from(DECISIONS) {
            now += Duration::from_micros(100);
            let random = world::mix(step);
            let chosen = router.choose(gates, wish, now, random);
            let chosen = black_box(chosen).expect("runners are idle");
            router.finish(&chosen, Outcome::Success, now, now, random);
        }
    })
}

fn scan(servers: usize) -> f64 {
    let ids: Vec<InstanceId> = specs(servers).into_iter().map(|spec| spec.id).collect();
    let mut loads = vec![0_u32; servers];
    fastest(|| {
        for step in 0..u64::from(DECISIONS) {
            let least =
                (0..servers).min_by_key(|&index| (loads[index], world::mix(step) >> (index % 8)));
            let least = black_box(least).expect("there are runners");
            loads[least] += 1;
            black_box(ids[least].clone());
            loads[least] -= 1;
        }
    })
}
