//! Command line of the soak.

use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

use nutmegcart_soak::instance::build_binary;
use nutmegcart_soak::plot;
use nutmegcart_soak::schedule::Schedule;
use nutmegcart_soak::schedule::Size;
use nutmegcart_soak::schedule::VERSION;
use nutmegcart_soak::schedule::WORKERS;
use nutmegcart_soak::soak;
use nutmegcart_soak::soak::Options;
use nutmegcart_soak::soak::Report;
use serde_json::json;

mod flags {
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Soaks `nutmegcart manage` in seeded faults and checks its promises.
        ///
        /// Example: soak run --seeds 0..50 --plot /tmp/soak
        cmd soak {
            /// Plays seeds, each with its own processes, one after another.
            cmd run {
                /// Seeds, as FIRST..END or one number (default 0..5).
                optional --seeds range: String
                /// Number of instances, 1 to 40 (default 3).
                optional --instances number: usize
                /// Time of faults of each seed in seconds (default 16).
                optional --seconds number: u64
                /// Number of cells, 1 to 3 (default 1).
                optional --cells number: u32
                /// Version of the schedule, 1 to 3 (default 3).
                optional --schedule version: u32
                /// Binary to test (default: built from this workspace).
                optional --binary path: PathBuf
                /// Folder for the pictures of the seeds that break promises.
                optional --plot path: PathBuf
                /// Print the report as one JSON object on the last line.
                optional --json
            }
            /// Prints the faults of a seed and plays it.
            cmd replay {
                /// The seed.
                required seed: u64
                /// Number of instances, 1 to 40 (default 3).
                optional --instances number: usize
                /// Time of faults in seconds (default 16).
                optional --seconds number: u64
                /// Number of cells, 1 to 3 (default 1).
                optional --cells number: u32
                /// Version of the schedule, 1 to 3 (default 3).
                optional --schedule version: u32
                /// Binary to test (default: built from this workspace).
                optional --binary path: PathBuf
                /// Folder for the picture of the seed.
                optional --plot path: PathBuf
                /// Only print the faults.
                optional --dry
                /// Print the report as one JSON object on the last line.
                optional --json
            }
        }
    }
}

/// Result of the command line; the error is a message.
type Result<T> = std::result::Result<T, String>;

/// Seeds when `--seeds` is not given.
const DEFAULT_SEEDS: std::ops::Range<u64> = 0..5;
/// Most instances of a run.
const MAX_INSTANCES: usize = 40;
/// Exit code for invalid flags.
const EXIT_USAGE: u8 = 2;

/// What to play.
struct Plan {
    seeds: std::ops::Range<u64>,
    size: Size,
    binary: Option<PathBuf>,
    plot: Option<PathBuf>,
    json: bool,
    /// Whether the faults are printed, and pictures are also drawn of seeds that pass.
    verbose: bool,
    /// Whether the faults are only printed.
    dry: bool,
}

fn main() -> ExitCode {
    let flags = flags::Soak::from_env_or_exit();
    let default = Size::default();
    let plan = match flags.subcommand {
        flags::SoakCmd::Run(flags) => {
            let seeds = flags
                .seeds
                .as_deref()
                .map_or(Some(DEFAULT_SEEDS), parse_seeds);
            let Some(seeds) = seeds else {
                eprintln!("--seeds: expected FIRST..END or a number");
                return ExitCode::from(EXIT_USAGE);
            };
            Plan {
                seeds,
                size: Size {
                    version: flags.schedule.unwrap_or(default.version),
                    instances: flags.instances.unwrap_or(default.instances),
                    cells: flags.cells.unwrap_or(default.cells),
                    seconds: flags.seconds.unwrap_or(default.seconds),
                },
                binary: flags.binary,
                plot: flags.plot,
                json: flags.json,
                verbose: false,
                dry: false,
            }
        }
        flags::SoakCmd::Replay(flags) => Plan {
            seeds: flags.seed..flags.seed.saturating_add(1),
            size: Size {
                version: flags.schedule.unwrap_or(default.version),
                instances: flags.instances.unwrap_or(default.instances),
                cells: flags.cells.unwrap_or(default.cells),
                seconds: flags.seconds.unwrap_or(default.seconds),
            },
            binary: flags.binary,
            plot: flags.plot,
            json: flags.json,
            verbose: true,
            dry: flags.dry,
        },
    };
    if let Err(reason) = check_size(&plan.size) {
        eprintln!("{reason}");
        return ExitCode::from(EXIT_USAGE);
    }
    if plan.dry {
        for seed in plan.seeds {
            print_schedule(&Schedule::draw(seed, plan.size));
        }
        return ExitCode::SUCCESS;
    }
    match play(&plan) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(reason) => {
            eprintln!("cannot run: {reason}");
            ExitCode::FAILURE
        }
    }
}

fn check_size(size: &Size) -> Result<()> {
    if !(1..=MAX_INSTANCES).contains(&size.instances) {
        return Err(format!("--instances: expected 1 to {MAX_INSTANCES}"));
    }
    if !(1..=WORKERS).contains(&(size.cells as usize)) {
        return Err(format!("--cells: expected 1 to {WORKERS}"));
    }
    if !(1..=VERSION).contains(&size.version) {
        return Err(format!("--schedule: expected 1 to {VERSION}"));
    }
    Ok(())
}

fn parse_seeds(text: &str) -> Option<std::ops::Range<u64>> {
    let (first, end): (u64, u64) = if let Some((first, end)) = text.split_once("..") {
        (first.parse().ok()?, end.parse().ok()?)
    } else {
        let seed: u64 = text.parse().ok()?;
        (seed, seed.checked_add(1)?)
    };
    (first < end).then_some(first..end)
}

fn print_schedule(schedule: &Schedule) {
    for (number, round) in schedule.rounds.iter().enumerate() {
        println!("round {number}");
        for fault in round {
            println!("  {fault}");
        }
    }
}

/// Plays the seeds; returns whether all promises were kept.
fn play(plan: &Plan) -> Result<bool> {
    let binary = plan.binary.clone().map_or_else(build_binary, Ok)?;
    let options = Options {
        binary,
        timed: true,
        folder: std::env::temp_dir().join("nutmegcart-soak"),
    };
    let mut reports = Vec::new();
    let terminal = std::io::stderr().is_terminal();
    for seed in plan.seeds.clone() {
        let schedule = Schedule::draw(seed, plan.size);
        if plan.verbose {
            print_schedule(&schedule);
        }
        if terminal {
            eprint!("seed {seed} of {:?} ...\r", plan.seeds);
        }
        let report = soak::play(&schedule, &options)?;
        print_report(&report);
        if let Some(folder) = &plan.plot
            && (plan.verbose || !report.broken.is_empty())
        {
            std::fs::create_dir_all(folder)
                .map_err(|error| format!("{}: {error}", folder.display()))?;
            let path = folder.join(format!("seed-{seed}.svg"));
            plot::draw(&report, &path).map_err(|error| format!("{}: {error}", path.display()))?;
        }
        reports.push(report);
    }
    let failed = reports.iter().filter(|each| !each.broken.is_empty());
    let failed: Vec<u64> = failed.map(|each| each.seed).collect();
    eprintln!(
        "{} seeds, {} failed: {failed:?}",
        reports.len(),
        failed.len()
    );
    if plan.json {
        println!(
            "{}",
            json!({"seeds": reports.len(), "failed": failed, "reports": reports})
        );
    }
    Ok(failed.is_empty())
}

fn print_report(report: &Report) {
    let Report {
        seed,
        faults,
        seconds,
        accepted,
        cancelled,
        starts,
        calls,
        ..
    } = report;
    eprintln!(
        "seed {seed}: {faults} faults in {seconds:.0} s, {accepted} jobs accepted, {cancelled} \
         cancelled, {starts} starts, {calls} calls, {} promises broken",
        report.broken.len()
    );
    for broken in &report.broken {
        eprintln!(
            "  {} ms: {}: {}",
            broken.at_ms, broken.promise, broken.detail
        );
    }
    if let Some(logs) = &report.logs {
        eprintln!("  logs: {}", logs.display());
    }
}
