//! Placement of tasks: the scheduler against first fit by declared size with a static buffer.
//!
//! Both policies run the same generated jobs on the same simulated workers in virtual time.

mod first_fit;
mod scale;
mod simulation;

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::comparison::Comparison;
use crate::placement::first_fit::FirstFit;
use crate::placement::simulation::PlacementDeployment;
use crate::placement::simulation::PlacementResults;
use crate::placement::simulation::PlacementSimulation;
use crate::placement::simulation::SchedulerPolicy;

/// Present-day deployments: five pools of ten workers with 64 cores each.
const DEPLOYMENTS: [PlacementDeployment; 2] = [
    PlacementDeployment {
        name: "A",
        memory: 256_000,
    },
    PlacementDeployment {
        name: "B",
        memory: 128_000,
    },
];

/// Compares placement for jobs generated from a seed, and the cost of planning rounds.
pub fn comparisons(seed: u64) -> Vec<Comparison> {
    let mut comparisons = Vec::new();
    for deployment in DEPLOYMENTS {
        let simulation =
            || PlacementSimulation::new(deployment, &mut SmallRng::seed_from_u64(seed));
        let baseline = simulation().run(&mut FirstFit::default());
        let current = simulation().run(&mut SchedulerPolicy::default());
        comparisons.extend(compare(deployment.name, &baseline, &current));
    }
    comparisons.extend(scale::comparisons());
    comparisons
}

fn compare(name: &str, baseline: &PlacementResults, current: &PlacementResults) -> Vec<Comparison> {
    let seconds = |time: Duration| time.as_secs_f64();
    let comparison = |what: &str, unit: &str, baseline: f64, current: f64| {
        Comparison::new(format!("placement {name}: {what}"), unit, baseline, current)
    };
    vec![
        comparison(
            "capacity held back",
            "core-h",
            baseline.idle_core_hours,
            current.idle_core_hours,
        ),
        comparison("moves of tasks", "moves", baseline.moves, current.moves),
        comparison(
            "time until all work is done",
            "s",
            seconds(baseline.completion),
            seconds(current.completion),
        ),
        comparison(
            "urgent start, mean",
            "s",
            seconds(baseline.urgent_mean),
            seconds(current.urgent_mean),
        ),
        comparison(
            "urgent start, worst",
            "s",
            seconds(baseline.urgent_worst),
            seconds(current.urgent_worst),
        ),
    ]
}
