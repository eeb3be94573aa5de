//! Runs an entry instance until a signal ends it.

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

/// Longest wait for an answer of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Exit code of wrong settings.
const USAGE: u8 = 2;

/// Returns a setting from the environment, for example `NUTMEGCART_BODY_LIMIT` for `body-limit`.
pub fn from_environment(name: &str) -> Option<String> {
    let name = name.to_uppercase().replace('-', "_");
    env::var(format!("NUTMEGCART_{name}")).ok()
}

fn from_flags(flags: &Serve, name: &str) -> Option<String> {
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

/// Starts logging to standard error.
///
/// # Errors
///
/// Fails if the level is malformed.
pub fn start_log(level: &str, json: bool) -> Result<(), String> {
    let logger = Logger::try_with_str(level).map_err(|error| format!("setting log: {error}"))?;
    let logger = if json {
        logger.format(flexi_logger::json_format)
    } else {
        logger.format(plain_format)
    };
    // The handle only serves to change the level at run time; logging goes on without it.
    logger.start().map(drop).map_err(|error| error.to_string())
}

/// Formats a line with time, level, message and the event's fields.
fn plain_format(
    out: &mut dyn std::io::Write,
    now: &mut flexi_logger::DeferredNow,
    record: &log::Record,
) -> std::io::Result<()> {
    let time = now.format_rfc3339();
    write!(out, "{time} {:<5} {}", record.level(), record.args())?;
    let mut fields = Fields(out);
    let visited = record.key_values().visit(&mut fields);
    visited.map_err(std::io::Error::other)
}

/// Writes each field as ` key=value`.
struct Fields<'a>(&'a mut dyn std::io::Write);

impl<'kvs> log::kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        write!(self.0, " {key}={value}")?;
        Ok(())
    }
}

/// Runs an entry instance.
pub fn run(flags: &Serve) -> ExitCode {
    let lookup = |name: &str| from_flags(flags, name).or_else(|| from_environment(name));
    let level = lookup("log").unwrap_or_else(|| "info".into());
    let json = flags.log_json || from_environment("log-json").is_some();
    if let Err(reason) = start_log(&level, json) {
        eprintln!("{reason}");
        return ExitCode::from(USAGE);
    }
    let settings = match EntrySettings::read(lookup) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(USAGE);
        }
    };
    match start_and_wait(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cannot serve: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start_and_wait(settings: EntrySettings) -> std::io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let (store, fleet) = platform(&settings);
    let incarnation = Incarnation::random();
    let entry = EntryInstance::start(settings, incarnation, store, fleet)?;
    signals.forever().next();
    entry.shut_down();
    Ok(())
}

fn platform(settings: &EntrySettings) -> (Store, FleetApi) {
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
