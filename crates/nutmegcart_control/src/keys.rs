//! Names of the keys that this program writes to the store.

use nutmegcart_jobs::JobId;
use nutmegcart_jobs::record;
use nutmegcart_model::OrganisationName;

/// Prefix of the keys that all instances watch: addresses of instances, the layout, owners, and
/// finished parts of waves.
pub const SHARED_PREFIX: &str = "nutmegcart/instance/";

/// Prefix of the keys that name the cells of jobs.
const LOCATION_PREFIX: &str = "nutmegcart/placed/";

/// Key of the layout, the division of the fleet into cells.
#[must_use]
pub fn layout() -> String {
    format!("{SHARED_PREFIX}layout")
}

/// Key of an instance's address.
#[must_use]
pub fn member(name: &str) -> String {
    format!("{SHARED_PREFIX}at/{name}")
}

/// Key of the copy of a cell's owner record that all instances watch.
#[must_use]
pub fn owner_copy(cell: u32) -> String {
    format!("{SHARED_PREFIX}owner/{cell}")
}

/// Key of the log of a cell's latest owners.
#[must_use]
pub fn owner_log(cell: u32) -> String {
    format!("nutmegcart/owners/{cell}")
}

/// Key that exists once a cell has finished its part of a wave.
#[must_use]
pub fn wave_part(wave: u64, cell: u32) -> String {
    format!("{SHARED_PREFIX}wave/{wave}/{cell}")
}

/// Key of the cell of a job that is not in the cell that its identifier determines.
#[must_use]
pub fn job_location(id: &JobId) -> String {
    format!("{LOCATION_PREFIX}{id}")
}

/// Returns whether a key names the cell of a job that is not in the cell of its identifier.
#[must_use]
pub fn is_job_location(key: &str) -> bool {
    key.starts_with(LOCATION_PREFIX)
}

/// Returns the value that names the cell of a job. The organisation of the job follows the cell, where
/// versions without organisations do not read.
///
/// ```
/// # use nutmegcart_control::keys::{location_holder, location_value};
/// # use nutmegcart_jobs::record::decode;
/// let note = location_value(3, Some(&"ferries".into()));
/// assert_eq!(decode::<u32>(&note), Ok(3));
/// assert_eq!(location_holder(&note), Ok(Some("ferries".into())));
/// assert_eq!(location_holder(&location_value(3, None)), Ok(None));
/// ```
#[must_use]
pub fn location_value(cell: u32, organisation: Option<&OrganisationName>) -> Vec<u8> {
    let mut bytes = record::encode(&cell);
    if let Some(organisation) = organisation {
        bytes.extend(record::encode(organisation));
    }
    bytes
}

/// Returns the organisation of the job whose cell a value names.
///
/// # Errors
///
/// Fails if the bytes are malformed or a newer program wrote them.
pub fn location_holder(bytes: &[u8]) -> record::Result<Option<OrganisationName>> {
    let (_, organisations) = record::decode_extended::<u32, OrganisationName>(bytes)?;
    Ok(organisations.into_iter().next())
}

/// Prefix of the allocations of organisations' limits.
pub const LIMIT_PREFIX: &str = "nutmegcart/limit/";
/// Longest name that a key contains as it is; keys have at most 200 bytes.
const MAX_PLAIN_NAME: usize = 120;

/// Key of the allocations of an organisation's limit.
///
/// A name that is long, or has characters other than letters, digits, `-`, `_` and `.`, is replaced by
/// two hashes of it after a `~`. The value contains the name.
///
/// ```
/// # use nutmegcart_control::keys::limit;
/// assert_eq!(limit(&"ferries".into()), "nutmegcart/limit/ferries");
/// assert!(limit(&"a/b".into()).starts_with("nutmegcart/limit/~"));
/// assert!(limit(&"x".repeat(500).as_str().into()).len() < 200);
/// ```
#[must_use]
pub fn limit(organisation: &OrganisationName) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if !organisation.is_empty()
        && organisation.len() <= MAX_PLAIN_NAME
        && organisation.bytes().all(plain)
    {
        return format!("{LIMIT_PREFIX}{organisation}");
    }
    let hash = |start: u64| {
        // FNV-1a; the same in all versions, unlike the hashes of the standard library.
        organisation.bytes().fold(start, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        })
    };
    let (first, second) = (hash(0xcbf2_9ce4_8422_2325), hash(0x6c62_272e_07bb_0142));
    format!("{LIMIT_PREFIX}~{first:016x}{second:016x}")
}

/// A parsed key that all instances watch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SharedKey<'a> {
    /// The division of the fleet into cells.
    Layout,
    /// The address of the named instance.
    Member(&'a str),
    /// The owner of the cell with the number.
    Owner(u32),
    /// A finished part, by the numbers of the wave and the cell.
    WavePart(u64, u32),
}

/// Parses a key that all instances watch; returns `None` if it is unknown.
///
/// ```
/// # use nutmegcart_control::keys::{SharedKey, owner_copy, parse_shared};
/// assert_eq!(parse_shared(&owner_copy(3)), Some(SharedKey::Owner(3)));
/// assert_eq!(parse_shared("nutmegcart/instance/other"), None);
/// ```
#[must_use]
pub fn parse_shared(key: &str) -> Option<SharedKey<'_>> {
    let rest = key.strip_prefix(SHARED_PREFIX)?;
    if rest == "layout" {
        return Some(SharedKey::Layout);
    }
    let (kind, name) = rest.split_once('/')?;
    match kind {
        "at" => Some(SharedKey::Member(name)),
        "owner" => name.parse().ok().map(SharedKey::Owner),
        "wave" => {
            let (wave, cell) = name.split_once('/')?;
            Some(SharedKey::WavePart(wave.parse().ok()?, cell.parse().ok()?))
        }
        _ => None,
    }
}

/// Names of the keys of one cell.
#[derive(Clone, Debug)]
pub struct CellKeys {
    /// Common prefix of the cell's keys.
    pub prefix: String,
}

impl CellKeys {
    /// Returns the names of the keys of a cell.
    ///
    /// ```
    /// # use nutmegcart_control::keys::CellKeys;
    /// assert_eq!(CellKeys::new(0).owner(), "nutmegcart/cell/0/owner");
    /// ```
    #[must_use]
    pub fn new(cell: u32) -> Self {
        Self {
            prefix: format!("nutmegcart/cell/{cell}/"),
        }
    }

    /// Key of the owner. It shares the prefix of the jobs, so one watch reports the changes of both
    /// in order.
    #[must_use]
    pub fn owner(&self) -> String {
        format!("{}owner", self.prefix)
    }

    /// Key of the scheduler state that the next owner loads.
    #[must_use]
    pub fn state(&self) -> String {
        format!("{}state", self.prefix)
    }

    /// Key of a job in this cell.
    #[must_use]
    pub fn job(&self, id: &JobId) -> String {
        format!("{}job/{id}", self.prefix)
    }

    /// Returns the job that a key belongs to, if it is the key of a job in this cell.
    #[must_use]
    pub fn job_of(&self, key: &str) -> Option<JobId> {
        let id = key.strip_prefix(&self.prefix)?.strip_prefix("job/")?;
        JobId::parse(id).ok()
    }
}
