//! The `manage` command: runs an entry instance on the platform that a settings file describes.

use std::path::PathBuf;
use std::process::ExitCode;

use log::LevelFilter;
use nutmegcart_site::settings::PATH_VARIABLE;
use nutmegcart_site::start;
use nutmegcart_site::start::Options;

use crate::flags::Manage;

/// Exit code for invalid flags or a missing settings path.
const EXIT_USAGE: u8 = 2;

/// Combines flags, environment and defaults.
fn read_options(flags: &Manage) -> Result<Options, String> {
    let from_environment = std::env::var_os(PATH_VARIABLE).map(PathBuf::from);
    let settings = flags.settings.clone().or(from_environment);
    let level = flags.log.as_deref().unwrap_or("info");
    Ok(Options {
        settings: settings.ok_or(format!("neither --settings nor {PATH_VARIABLE} is set"))?,
        metrics: flags.metrics,
        level: level
            .parse::<LevelFilter>()
            .map_err(|error| format!("--log {level}: {error}"))?,
    })
}

/// Runs an entry instance until SIGTERM.
pub fn run(flags: &Manage) -> ExitCode {
    let options = match read_options(flags) {
        Ok(options) => options,
        Err(reason) => {
            eprintln!("{reason}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match start::run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("cannot run: {reason}");
            ExitCode::FAILURE
        }
    }
}
