//! Benchmarks against plain baselines, and capacity slopes.
//!
//! Each command prints one JSON object a line with name, unit, baseline, current and ratio.

mod capacity;
mod configuration;
mod cost;
mod jobs;
mod measure;
mod operation;
mod placement;
mod request_path;
mod slope;
mod steady;
mod waves;
mod waves_baseline;
mod waves_cost;
mod waves_planner;
mod wire;

use std::process::ExitCode;

use crate::measure::Measure;

mod flags {
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Measures nutmegcart's decisions against plain baselines.
        cmd bench {
            /// Request path: routing, admission, retries.
            cmd request-path {
                /// Seed of the generated load.
                optional --seed seed: u64
                /// Print one JSON object a line.
                optional --json
            }
            /// Fleet: waves, placement, moves.
            cmd fleet {
                /// Seed of the generated load.
                optional --seed seed: u64
                /// Print one JSON object a line.
                optional --json
            }
            /// Jobs of callers under demand that takes turns.
            cmd jobs {
                /// Seed of the generated load.
                optional --seed seed: u64
                /// Image file (SVG) for queue (red), machines in pools (blue) and machines in use (green).
                optional --image path: PathBuf
                /// Print one JSON object a line.
                optional --json
            }
            /// An order over HTTP: the blocking library against the event loop.
            cmd wire {
                /// Print one JSON object a line.
                optional --json
            }
            /// Capacity: slopes of bytes, messages, allocations and processor time.
            cmd capacity {
                /// Seed of the generated load.
                optional --seed seed: u64
                /// Print one JSON object a line.
                optional --json
            }
        }
    }
}

/// Seed used when none is given.
const DEFAULT_SEED: u64 = 1;

fn main() -> ExitCode {
    let flags = flags::Bench::from_env_or_exit();
    if let flags::BenchCmd::Capacity(flags) = &flags.subcommand {
        slope::print(&capacity::slopes(), flags.json);
        slope::print(&steady::slopes(), flags.json);
    }
    let (json, measures) = match flags.subcommand {
        flags::BenchCmd::RequestPath(flags) => (flags.json, request_path(seed(flags.seed))),
        flags::BenchCmd::Fleet(flags) => (flags.json, fleet(seed(flags.seed))),
        flags::BenchCmd::Capacity(flags) => (flags.json, capacity(seed(flags.seed))),
        flags::BenchCmd::Wire(flags) => (flags.json, wire::measures()),
        flags::BenchCmd::Jobs(flags) => {
            match jobs::measures(seed(flags.seed), flags.image.as_deref()) {
                Ok(measures) => (flags.json, measures),
                Err(reason) => {
                    eprintln!("{reason}");
                    return ExitCode::FAILURE;
                }
            }
        }
    };
    measure::print(&measures, json);
    ExitCode::SUCCESS
}

fn seed(given: Option<u64>) -> u64 {
    given.unwrap_or(DEFAULT_SEED)
}

/// Returns the measures of the request path.
fn request_path(seed: u64) -> Vec<Measure> {
    let mut measures = request_path::measures(seed);
    measures.extend(operation::measures(seed));
    measures
}

/// Returns the measures of the fleet decisions.
fn fleet(seed: u64) -> Vec<Measure> {
    let mut measures = waves::measures(seed);
    measures.extend(waves_cost::measures());
    measures.extend(placement::placement(seed));
    measures
}

/// Returns the capacity slopes.
fn capacity(seed: u64) -> Vec<Measure> {
    let mut measures = capacity::configuration();
    measures.extend(configuration::measures(seed));
    measures
}
