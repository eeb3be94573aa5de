//! The `serve` command: runs an entry instance until SIGTERM or SIGINT.

use std::env;
use std::process::ExitCode;
use std::time::Duration;

use flexi_logger::Logger;
use nutmegcart_entry::EntryInstance;
use nutmegcart_entry::EntrySettings;
use nutmegcart_entry::entry_settings::PlatformAddress;
use nutmegcart_model::Event;
use nutmegcart_model::Incarnation;
use nutmegcart_model::log_event;
use nutmegcart_platform::FleetApi;
use nutmegcart_platform::MemoryStore;
use nutmegcart_platform::Store;
use nutmegcart_platform::etcd;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::flags::Serve;

/// Limit for one call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Exit code for invalid settings.
const EXIT_USAGE: u8 = 2;

/// Reads a setting from the environment, for example `NUTMEGCART_BODY_LIMIT` for `body-limit`.
pub fn setting_from_environment(name: &str) -> Option<String> {
    let name = name.to_uppercase().replace('-', "_");
    env::var(format!("NUTMEGCART_{name}")).ok()
}

/// Returns a setting that was given as a flag.
fn setting_from_flags(flags: &Serve, name: &str) -> Option<String> {
    let value = match name {
        "listen" => &flags.listen,
        "id" => &flags.id,
        "centre" => &flags.centre,
        "platform" => &flags.platform,
        "peers" => &flags.peers,
        "runners" => &flags.runners,
        "connections" => &flags.connections,
        "body-limit" => &flags.body_limit,
        "deadline-ms" => &flags.deadline_ms,
        "grace-ms" => &flags.grace_ms,
        "threads" => &flags.threads,
        "round-ms" => &flags.round_ms,
        "lease-ms" => &flags.lease_ms,
        "log" => &flags.log,
        _ => &None,
    };
    value.clone()
}

/// Starts logging to standard error, as JSON lines if `json` is set.
///
/// # Errors
///
/// Fails if the level is invalid or a logger is installed already.
pub fn init_logging(level: &str, json: bool) -> Result<(), String> {
    let logger = Logger::try_with_str(level).map_err(|error| format!("setting log: {error}"))?;
    let logger = if json {
        logger.format(flexi_logger::json_format)
    } else {
        logger.format(format_plain)
    };
    // The handle only changes the level at run time; logging continues when it is dropped.
    logger.start().map(drop).map_err(|error| error.to_string())
}

/// Writes a log line with time, level, message and the event's fields.
fn format_plain(
    out: &mut dyn std::io::Write,
    now: &mut flexi_logger::DeferredNow,
    record: &log::Record,
) -> std::io::Result<()> {
    let time = now.format_rfc3339();
    write!(out, "{time} {:<5} {}", record.level(), record.args())?;
    let mut fields = FieldWriter(out);
    let visited = record.key_values().visit(&mut fields);
    visited.map_err(std::io::Error::other)
}

/// Writes each visited field as ` key=value`.
struct FieldWriter<'a>(&'a mut dyn std::io::Write);

impl<'kvs> log::kv::VisitSource<'kvs> for FieldWriter<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        write!(self.0, " {key}={value}")?;
        Ok(())
    }
}

/// Runs an entry instance with the settings of flags and environment.
pub fn run(flags: &Serve) -> ExitCode {
    let lookup =
        |name: &str| setting_from_flags(flags, name).or_else(|| setting_from_environment(name));
    let level = lookup("log").unwrap_or_else(|| "info".into());
    let json = flags.log_json || setting_from_environment("log-json").is_some();
    if let Err(reason) = init_logging(&level, json) {
        eprintln!("{reason}");
        return ExitCode::from(EXIT_USAGE);
    }
    let settings = match EntrySettings::read(lookup) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match serve_until_signal(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cannot serve: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve_until_signal(settings: EntrySettings) -> std::io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let (store, fleet) = connect_platform(&settings);
    let incarnation = Incarnation::random();
    let entry = EntryInstance::start(settings, incarnation, store, fleet)?;
    signals.forever().next();
    entry.shut_down();
    Ok(())
}

/// Returns the store and the instance list of the configured platform.
fn connect_platform(settings: &EntrySettings) -> (Store, FleetApi) {
    match settings.platform {
        PlatformAddress::Memory => {
            log_event!(Event::MemoryStoreUsed, id = settings.id);
            let fleet = FleetApi::fixed(
                &settings.centre,
                &settings.runners,
                settings.default_deadline,
            );
            (MemoryStore::default().store(), fleet)
        }
        PlatformAddress::Http(address) => (
            etcd::connect(address, PLATFORM_TIMEOUT),
            FleetApi::http(address, PLATFORM_TIMEOUT),
        ),
    }
}
