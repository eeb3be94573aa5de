//! Division of a runner's slots and connections between entry instances.

use std::collections::BTreeSet;

use nutmegcart_model::DataCentre;
use nutmegcart_model::InstanceId;
use nutmegcart_model::ServiceName;
use nutmegcart_model::rendezvous::weight;

/// Number of requests that a runner handles concurrently.
pub const RUNNER_SLOTS: u32 = 8;

/// Number of connections that a runner accepts.
pub const RUNNER_CONNECTIONS: u32 = 64;

/// Slots of a runner reserved for entry instances of other data centres.
const REMOTE_SLOTS: u32 = 2;

/// A runner as assigned by the configuration and the pool map.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerSpec {
    /// Identifier of the runner in the instance list.
    pub id: InstanceId,
    /// Data centre of the runner.
    pub centre: DataCentre,
    /// Service of the pool that the runner belongs to.
    pub service: ServiceName,
}

/// An entry instance on the roster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntrySpec {
    /// Name of the entry instance.
    pub id: InstanceId,
    /// Data centre of the entry instance.
    pub centre: DataCentre,
}

/// Returns the number of a runner's slots that an entry instance may use.
///
/// The shares of all entry instances add up to the slots of the runner, so entry instances with the
/// same roster never overload it. Entry instances near the runner get all slots but those reserved
/// for requests from other data centres. An entry instance is near if it is in the data centre of
/// the runner, or if its own data centre has no runner of the service (`centres` are the data
/// centres that have one). Remainders go to the first entry instances in rendezvous order, which
/// differs between runners.
///
/// ```
/// use nutmegcart_request::share::{EntrySpec, RunnerSpec, slot_share};
/// let entry = |id: &str, centre: &str| EntrySpec { id: id.into(), centre: centre.into() };
/// let runner = RunnerSpec { id: "r".into(), centre: "a".into(), service: "gates".into() };
/// let entries = [entry("1", "a"), entry("2", "a"), entry("3", "b")];
/// let centres = ["a".into(), "b".into()].into();
/// let shares: Vec<u32> = entries
///     .iter()
///     .map(|own| slot_share(&entries, own, &runner, &centres))
///     .collect();
/// assert_eq!(shares, [3, 3, 2]);
/// ```
#[must_use]
pub fn slot_share(
    entries: &[EntrySpec],
    own: &EntrySpec,
    runner: &RunnerSpec,
    centres: &BTreeSet<DataCentre>,
) -> u32 {
    let is_near =
        |entry: &EntrySpec| entry.centre == runner.centre || !centres.contains(&entry.centre);
    let near = entries.iter().filter(|entry| is_near(entry)).count();
    let far = entries.len() - near;
    let reserved = match (near, far) {
        (0, _) => RUNNER_SLOTS,
        (_, 0) => 0,
        _ => REMOTE_SLOTS,
    };
    let (slots, group) = if is_near(own) {
        (RUNNER_SLOTS - reserved, near)
    } else {
        (reserved, far)
    };
    let rendezvous_order = |entry: &EntrySpec| {
        let weight = weight(runner.id.as_bytes(), entry.id.as_bytes());
        (weight, entry.id.clone())
    };
    let own_order = rendezvous_order(own);
    let ahead = entries
        .iter()
        .filter(|entry| is_near(entry) == is_near(own) && rendezvous_order(entry) > own_order)
        .count();
    let group = u32::try_from(group.max(1)).unwrap_or(u32::MAX);
    let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
    slots / group + u32::from(ahead < slots % group)
}

/// Returns the number of connections that each entry instance may open to a runner, at least 1.
///
/// ```
/// assert_eq!(nutmegcart_request::share::connection_share(9), 7);
/// ```
#[must_use]
pub fn connection_share(entries: usize) -> u32 {
    let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
    (RUNNER_CONNECTIONS / entries).max(1)
}
