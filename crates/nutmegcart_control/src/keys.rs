//! Keys of this program in the store.

use nutmegcart_jobs::JobId;

/// Prefix of what all instances follow: each other's addresses, the layout and the owners.
pub const SHARED_PREFIX: &str = "nutmegcart/instance/";

/// Key of the division of the fleet into cells.
#[must_use]
pub fn layout() -> String {
    format!("{SHARED_PREFIX}layout")
}

/// Key under which an instance tells its address.
#[must_use]
pub fn member(name: &str) -> String {
    format!("{SHARED_PREFIX}at/{name}")
}

/// Key that tells all instances the owner of a cell.
#[must_use]
pub fn owner_copy(cell: u32) -> String {
    format!("{SHARED_PREFIX}owner/{cell}")
}

/// Key that tells that a cell has finished its part of a wave.
#[must_use]
pub fn wave_part(wave: u64, cell: u32) -> String {
    format!("{SHARED_PREFIX}wave/{wave}/{cell}")
}

/// Key that tells the cell of a job that its identifier does not tell.
#[must_use]
pub fn job_location(id: &JobId) -> String {
    format!("nutmegcart/placed/{id}")
}

/// What a key that all instances follow is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SharedKey<'a> {
    /// The layout.
    Layout,
    /// The address of an instance.
    Member(&'a str),
    /// The owner of a cell.
    Owner(u32),
    /// A cell's finished part of a wave.
    WavePart(u64, u32),
}

/// Reads a key that all instances follow.
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

/// Keys of a cell.
#[derive(Clone, Debug)]
pub struct CellKeys {
    /// Prefix of the cell.
    pub prefix: String,
}

impl CellKeys {
    /// Returns the keys of a cell.
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

    /// Key of the owner, in one order of changes with the cell's jobs.
    #[must_use]
    pub fn owner(&self) -> String {
        format!("{}owner", self.prefix)
    }

    /// Key of the state that outlives an owner.
    #[must_use]
    pub fn state(&self) -> String {
        format!("{}state", self.prefix)
    }

    /// Key of a job.
    #[must_use]
    pub fn job(&self, id: &JobId) -> String {
        format!("{}job/{id}", self.prefix)
    }

    /// Returns the job that a key names.
    #[must_use]
    pub fn job_of(&self, key: &str) -> Option<JobId> {
        let id = key.strip_prefix(&self.prefix)?.strip_prefix("job/")?;
        JobId::parse(id).ok()
    }
}
