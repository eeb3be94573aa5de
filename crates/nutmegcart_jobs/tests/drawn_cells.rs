//! Sessions whose jobs, surroundings and faults are drawn by seed from all that the protocol allows.

mod drawn;
mod support;

use std::collections::BTreeMap;
use std::time::Instant;

use drawn::features::Draw;
use drawn::features::Feature;
use drawn::features::VERSION;
use drawn::features::all;
use drawn::session::Session;

/// Short sessions of the test suite, which together use each feature.
const SEEDS: [u64; 7] = [10, 17, 20, 38, 68, 70, 119];
/// Environment variable with other sessions, as `first..end`.
const SEEDS_VARIABLE: &str = "DRAWN_SEEDS";
/// Environment variable with the version of the draws.
const VERSION_VARIABLE: &str = "DRAWN_VERSION";
/// Number of sessions from which each feature has to be used.
const FULL_RUN: usize = 50;

fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var(SEEDS_VARIABLE) else {
        return SEEDS.to_vec();
    };
    let parsed = range.split_once("..").and_then(|(first, end)| {
        let (first, end) = (first.parse().ok()?, end.parse().ok()?);
        Some((first..end).collect())
    });
    parsed.expect("a range of seeds")
}

fn version() -> u32 {
    let version = std::env::var(VERSION_VARIABLE);
    version.map_or(VERSION, |text| text.parse().expect("a version"))
}

/// Guards against broken promises in sessions that no test was written for.
#[test]
fn drawn_sessions_keep_the_promises() {
    let (seeds, version) = (seeds(), version());
    let full = seeds == SEEDS || seeds.len() >= FULL_RUN;
    let mut counts: BTreeMap<Feature, usize> = BTreeMap::new();
    let mut broken = Vec::new();
    for seed in seeds {
        let begin = Instant::now();
        let mut session = Session::new(Draw::new(seed, version));
        let found = session.play();
        let names: Vec<String> = session.used.iter().map(ToString::to_string).collect();
        println!(
            "seed {seed}: {} workers, {} jobs, {} starts, {} owners, {:.0} s played in {:.1} s, {} broken: {}",
            session.workers,
            session.jobs.len(),
            session.world.checker.starts,
            session.world.owners.len(),
            session.world.now.as_secs_f64(),
            begin.elapsed().as_secs_f64(),
            found.len(),
            names.join("; ")
        );
        for feature in &session.used {
            *counts.entry(*feature).or_default() += 1;
        }
        if !found.is_empty() {
            let lines = found.iter().take(20).chain(&session.log);
            let lines: Vec<&str> = lines.map(String::as_str).collect();
            broken.push(format!("seed {seed}:\n{}", lines.join("\n")));
        }
    }
    for feature in all() {
        println!("| {feature} | {} |", counts.get(&feature).unwrap_or(&0));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
    if full {
        let unused: Vec<Feature> = all().filter(|each| !counts.contains_key(each)).collect();
        assert!(unused.is_empty(), "no session used {unused:?}");
    }
}
