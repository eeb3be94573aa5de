//! Benchmarks of nutmegcart against simple baselines, and its costs over the size of a deployment.
//!
//! With `--json`, each command prints one JSON object per line: comparisons with name, unit,
//! baseline, current and ratio, and linear fits of a cost over a size.

mod capacity;
mod comparison;
mod configuration;
mod cost;
mod idle;
mod jobs;
mod linear_fit;
mod operation;
mod placement;
mod request_path;
mod waves;
mod waves_baseline;
mod waves_cost;
mod waves_planner;
mod wire;

use std::process::ExitCode;

use crate::comparison::Comparison;

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
            /// Jobs of callers while the peak of demand rotates over the queues.
            cmd jobs {
                /// Seed of the generated load.
                optional --seed seed: u64
                /// Image file (SVG) for queue (red), machines in pools (blue) and machines in use
                /// (green).
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

/// Seed when `--seed` is not given.
const DEFAULT_SEED: u64 = 1;

fn main() -> ExitCode {
    let flags = flags::Bench::from_env_or_exit();
    if let flags::BenchCmd::Capacity(flags) = &flags.subcommand {
        linear_fit::print(&capacity::fits(), flags.json);
        linear_fit::print(&idle::fits(), flags.json);
    }
    let (json, comparisons) = match flags.subcommand {
        flags::BenchCmd::RequestPath(flags) => (flags.json, request_path(seed(flags.seed))),
        flags::BenchCmd::Fleet(flags) => (flags.json, fleet(seed(flags.seed))),
        flags::BenchCmd::Capacity(flags) => (flags.json, capacity(seed(flags.seed))),
        flags::BenchCmd::Wire(flags) => (flags.json, wire::comparisons()),
        flags::BenchCmd::Jobs(flags) => {
            match jobs::comparisons(seed(flags.seed), flags.image.as_deref()) {
                Ok(comparisons) => (flags.json, comparisons),
                Err(reason) => {
                    eprintln!("{reason}");
                    return ExitCode::FAILURE;
                }
            }
        }
    };
    comparison::print(&comparisons, json);
    ExitCode::SUCCESS
}

fn seed(flag: Option<u64>) -> u64 {
    flag.unwrap_or(DEFAULT_SEED)
}

/// Returns the comparisons of the request path and of at-most-once execution.
fn request_path(seed: u64) -> Vec<Comparison> {
    let mut comparisons = request_path::comparisons(seed);
    comparisons.extend(operation::comparisons(seed));
    comparisons
}

/// Returns the comparisons of waves and of the placement of tasks.
fn fleet(seed: u64) -> Vec<Comparison> {
    let mut comparisons = waves::comparisons(seed);
    comparisons.extend(waves_cost::comparisons());
    comparisons.extend(placement::comparisons(seed));
    comparisons
}

/// Returns the comparisons of the costs of a configuration change.
fn capacity(seed: u64) -> Vec<Comparison> {
    let mut comparisons = capacity::change_messages();
    comparisons.extend(configuration::comparisons(seed));
    comparisons
}
