//! Placement of tasks: the scheduler against declared sizes, first fit and a static buffer.
//!
//! Both policies run the same generated work on the same simulated workers in virtual time.

mod baseline;
mod scale;
mod site;

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::measure::Measure;
use crate::placement::baseline::Baseline;
use crate::placement::site::Deployment;
use crate::placement::site::Figures;
use crate::placement::site::Scheduled;
use crate::placement::site::Site;

/// Deployments of today: five pools of ten workers with 64 cores.
const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "A",
        memory: 256_000,
    },
    Deployment {
        name: "B",
        memory: 128_000,
    },
];

/// Returns the measures of placement for a seed.
pub fn placement(seed: u64) -> Vec<Measure> {
    let mut measures = Vec::new();
    for deployment in DEPLOYMENTS {
        let site = || Site::new(deployment, &mut SmallRng::seed_from_u64(seed));
        let old = site().run(&mut Baseline::default());
        let new = site().run(&mut Scheduled::default());
        measures.extend(compare(deployment.name, &old, &new));
    }
    measures.extend(scale::rounds());
    measures
}

fn compare(name: &str, old: &Figures, new: &Figures) -> Vec<Measure> {
    let seconds = |time: Duration| time.as_secs_f64();
    let measure = |what: &str, unit: &str, old: f64, new: f64| {
        Measure::new(format!("placement {name}: {what}"), unit, old, new)
    };
    vec![
        measure("capacity held back", "core-h", old.held, new.held),
        measure("moves of tasks", "moves", old.moves, new.moves),
        measure(
            "time until all work is done",
            "s",
            seconds(old.done),
            seconds(new.done),
        ),
        measure(
            "urgent start, mean",
            "s",
            seconds(old.urgent_mean),
            seconds(new.urgent_mean),
        ),
        measure(
            "urgent start, worst",
            "s",
            seconds(old.urgent_worst),
            seconds(new.urgent_worst),
        ),
    ]
}
