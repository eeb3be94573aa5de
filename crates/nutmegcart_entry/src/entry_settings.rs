//! Settings of an entry instance, each checked at start.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use nutmegcart_model::DataCentre;
use nutmegcart_model::InstanceId;

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, SettingError>;

/// A setting that is missing or out of range.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("NC4001 setting {name}: {value:?} is not accepted; accepted: {accepted}")]
pub struct SettingError {
    /// Name of the setting.
    pub name: String,
    /// The value as given, empty if missing.
    pub value: String,
    /// What would be accepted.
    pub accepted: String,
}

/// Location of the platform's store and instance list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformAddress {
    /// In the memory of this process; nothing persists beyond it.
    Memory,
    /// On a server at this address.
    Http(SocketAddr),
}

/// Settings of an entry instance, all within their accepted ranges.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// Address on which callers, operators and peers are served.
    pub listen: SocketAddr,
    /// Identifier of this entry instance.
    pub id: InstanceId,
    /// Data centre of this entry instance.
    pub centre: DataCentre,
    /// Location of the platform.
    pub platform: PlatformAddress,
    /// Addresses of the other entry instances.
    pub peers: Vec<SocketAddr>,
    /// Addresses of runners; only with [`PlatformAddress::Memory`].
    pub runners: Vec<SocketAddr>,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum size of a request or answer body in bytes.
    pub body_limit: usize,
    /// Maximum size of a request's headers and path in bytes.
    pub header_limit: usize,
    /// Maximum number of bytes that all requests and answers buffer together.
    pub buffer_limit: usize,
    /// Time within which a request body must arrive.
    pub body_timeout: Duration,
    /// Time limit of requests without a deadline of their own.
    pub default_deadline: Duration,
    /// Time between the failure of readiness and the refusal of requests at shutdown.
    pub shutdown_grace: Duration,
    /// Maximum number of threads for operators' calls, which wait for the store.
    pub call_threads: usize,
    /// Interval between rounds of the control loops.
    pub round_interval: Duration,
    /// Length of the duty lease.
    pub duty_lease: Duration,
}

/// Names of all settings with a line of help, in the order of `--help`.
pub const SETTINGS_HELP: &[(&str, &str)] = &[
    (
        "listen",
        "IP address and port to serve, default 127.0.0.1:8080",
    ),
    ("id", "identifier of this entry instance, default entry-1"),
    ("centre", "data centre, default local"),
    (
        "platform",
        "IP address and port of the platform, or memory; default memory",
    ),
    (
        "peers",
        "comma-separated addresses of the other entry instances",
    ),
    (
        "runners",
        "comma-separated addresses of runners, with platform memory",
    ),
    ("connections", "open connections, 1 to 100000, default 1024"),
    (
        "body-limit",
        "bytes of a body, 1024 to 67108864, default 1048576",
    ),
    (
        "header-limit",
        "bytes of a request's headers and path, 256 to 65536, default 8192",
    ),
    (
        "buffer-limit",
        "bytes buffered by all requests and answers, 1024 to 1073741824, default 67108864",
    ),
    (
        "body-ms",
        "time in which a request body must arrive, 10 to 600000, default 10000",
    ),
    (
        "deadline-ms",
        "deadline of requests without one, 10 to 3600000, default 10000",
    ),
    (
        "grace-ms",
        "time from failing readiness to refusing requests, 0 to 600000, default 3000",
    ),
    (
        "threads",
        "threads for calls of operators, 1 to 256, default 8",
    ),
    (
        "round-ms",
        "time between control rounds, 10 to 60000, default 500",
    ),
    (
        "lease-ms",
        "time of the duty lease, 1000 to 60000, default 10000",
    ),
];

fn setting_error(name: &str, value: &str, accepted: impl Into<String>) -> SettingError {
    SettingError {
        name: name.into(),
        value: value.into(),
        accepted: accepted.into(),
    }
}

struct SettingReader<F>(F);

impl<F: Fn(&str) -> Option<String>> SettingReader<F> {
    fn text(&self, name: &str, default: &str) -> String {
        (self.0)(name).unwrap_or_else(|| default.to_owned())
    }

    fn name(&self, name: &str, default: &str) -> Result<String> {
        let value = self.text(name, default);
        let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if value.is_empty() || value.len() > 63 || !value.chars().all(is_allowed) {
            return Err(setting_error(name, &value, "1 to 63 of a-z, 0-9 and -"));
        }
        Ok(value)
    }

    fn number<T: FromStr + PartialOrd + fmt::Display + Copy>(
        &self,
        name: &str,
        default: T,
        min: T,
        max: T,
    ) -> Result<T> {
        let Some(value) = (self.0)(name) else {
            return Ok(default);
        };
        let number = value.parse().ok().filter(|n| *n >= min && *n <= max);
        number.ok_or_else(|| setting_error(name, &value, format!("{min} to {max}")))
    }

    fn millis(&self, name: &str, default: u64, min: u64, max: u64) -> Result<Duration> {
        self.number(name, default, min, max)
            .map(Duration::from_millis)
    }

    fn addresses(&self, name: &str) -> Result<Vec<SocketAddr>> {
        let value = self.text(name, "");
        let parts = value.split(',').filter(|part| !part.trim().is_empty());
        parts.map(|part| parse_address(name, part.trim())).collect()
    }
}

fn parse_address(name: &str, value: &str) -> Result<SocketAddr> {
    let parsed = value.parse();
    parsed.map_err(|_| {
        setting_error(
            name,
            value,
            "an IP address and port, such as 127.0.0.1:8080",
        )
    })
}

impl EntrySettings {
    /// Reads and checks all settings; the lookup returns the value of a setting if it is given.
    ///
    /// # Errors
    ///
    /// Names the first setting that is not accepted, its value and the accepted range.
    ///
    /// ```
    /// # use nutmegcart_entry::EntrySettings;
    /// let settings = EntrySettings::read(|name| (name == "threads").then(|| "4".into())).unwrap();
    /// assert_eq!(settings.call_threads, 4);
    /// let refused = EntrySettings::read(|name| (name == "threads").then(|| "0".into()));
    /// assert_eq!(refused.unwrap_err().accepted, "1 to 256");
    /// ```
    pub fn read(lookup: impl Fn(&str) -> Option<String>) -> Result<Self> {
        let reader = SettingReader(lookup);
        let platform = reader.text("platform", "memory");
        let platform = match platform.as_str() {
            "memory" => PlatformAddress::Memory,
            value => PlatformAddress::Http(value.parse().map_err(|_| {
                setting_error("platform", value, "memory, or an IP address and port")
            })?),
        };
        let settings = Self {
            listen: parse_address("listen", &reader.text("listen", "127.0.0.1:8080"))?,
            id: reader.name("id", "entry-1")?.into(),
            centre: reader.name("centre", "local")?.into(),
            platform,
            peers: reader.addresses("peers")?,
            runners: reader.addresses("runners")?,
            max_connections: reader.number("connections", 1024, 1, 100_000)?,
            body_limit: reader.number("body-limit", 1 << 20, 1024, 64 << 20)?,
            header_limit: reader.number("header-limit", 8 << 10, 256, 64 << 10)?,
            buffer_limit: reader.number("buffer-limit", 64 << 20, 1024, 1 << 30)?,
            body_timeout: reader.millis("body-ms", 10_000, 10, 600_000)?,
            default_deadline: reader.millis("deadline-ms", 10_000, 10, 3_600_000)?,
            shutdown_grace: reader.millis("grace-ms", 3_000, 0, 600_000)?,
            call_threads: reader.number("threads", 8, 1, 256)?,
            round_interval: reader.millis("round-ms", 500, 10, 60_000)?,
            duty_lease: reader.millis("lease-ms", 10_000, 1_000, 60_000)?,
        };
        if !settings.runners.is_empty() && settings.platform != PlatformAddress::Memory {
            let value = format!("{} addresses", settings.runners.len());
            return Err(setting_error(
                "runners",
                &value,
                "nothing, unless platform is memory",
            ));
        }
        Ok(settings)
    }
}
