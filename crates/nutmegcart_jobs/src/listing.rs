//! Entries of workers in service discovery, and the limits of their fields.

use std::sync::Arc;
use std::time::Duration;

use nutmegcart_fleet::Resources;
use nutmegcart_model::DataCentre;
use nutmegcart_model::PoolName;
use nutmegcart_model::Rack;
use nutmegcart_model::WorkerId;

/// Latest time that a worker may state, in milliseconds: the year 2100 as a time since 1970. One in
/// another unit is later.
pub(crate) const MAX_TIME: u64 = 4_102_444_800_000;
/// Longest name in an entry, in bytes. The stored cell state contains the names of many workers.
const MAX_NAME: usize = 256;
/// Largest number of labels of a worker.
const MAX_LABELS: usize = 64;
/// Largest capacity of a worker, far above that of any machine.
const MAX_CAPACITY: Resources = Resources::new(1 << 40, 1 << 40, 1 << 20);

/// Entry of a worker in service discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerListing {
    /// Identifier of the worker.
    pub id: WorkerId,
    /// Start time of the worker process in milliseconds since 1970, which identifies the
    /// incarnation; 0 if the listing does not contain it.
    pub incarnation: u64,
    /// Machine that it runs on, if known.
    pub machine: Option<Arc<str>>,
    /// Address that orders are sent to.
    pub address: Arc<str>,
    /// Data centre in which it runs.
    pub centre: DataCentre,
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Minimum time until it exits, while it shuts down.
    pub remaining: Duration,
    /// Total capacity for tasks.
    pub capacity: Resources,
    /// Labels, including the rack.
    pub labels: Vec<Arc<str>>,
}

impl WorkerListing {
    /// Checks the entry against the limits of its fields. It may be of another writer, and goes into
    /// the stored cell state, which successors read.
    ///
    /// # Errors
    ///
    /// Fails with the field that exceeds its limit.
    pub fn check(&self) -> Result<(), &'static str> {
        let names = [&*self.id, &self.address, &self.centre, &self.pool];
        let long = |name: &str| name.len() > MAX_NAME;
        let causes = [
            (self.incarnation > MAX_TIME, "the start time is too late"),
            (
                !self.capacity.fits(MAX_CAPACITY),
                "the capacity is too large",
            ),
            (names.into_iter().any(long), "a name is too long"),
            (
                self.machine.as_deref().is_some_and(long),
                "the machine's name is too long",
            ),
            (self.labels.len() > MAX_LABELS, "there are too many labels"),
            (
                self.labels.iter().any(|label| long(label)),
                "a label is too long",
            ),
        ];
        let cause = causes.into_iter().find(|(applies, _)| *applies);
        cause.map_or(Ok(()), |(_, reason)| Err(reason))
    }

    /// Returns the first label that names a rack.
    ///
    /// ```
    /// # use nutmegcart_jobs::listing::WorkerListing;
    /// assert_eq!(&*WorkerListing::rack_of(&["a".into(), "r1-3".into()]).unwrap(), "r1-3");
    /// ```
    #[must_use]
    pub fn rack_of(labels: &[Arc<str>]) -> Option<Rack> {
        let is_rack = |label: &&Arc<str>| {
            let rest = label.strip_prefix('r').unwrap_or_default();
            rest.contains('-') && rest.starts_with(|c: char| c.is_ascii_digit())
        };
        labels
            .iter()
            .find(is_rack)
            .map(|label| Rack::from(&**label))
    }
}
