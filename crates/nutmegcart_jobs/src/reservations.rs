//! Reservations of machines whose workers get no new tasks until they are empty, and their ends.
//!
//! Load pattern: a machine is to become empty, but a task on it may not be stopped or takes long.
//! Without an end, work that only its worker may run would wait for as long, beside free capacity.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Longest time that machines stay reserved while none of them is dealt with. Work that needs one of
/// their workers waits for as long.
pub(crate) const MAX_RESERVATION: Duration = Duration::from_secs(8);
/// Time for which a machine is not reserved again after its reservation has expired.
pub(crate) const RESERVATION_PAUSE: Duration = Duration::from_secs(3);

/// Reserved machines by name, and those whose reservation has expired.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reservations {
    since: BTreeMap<Arc<str>, Duration>,
    expired: BTreeMap<Arc<str>, Duration>,
}

impl Reservations {
    /// Returns the names of the reserved machines.
    pub(crate) fn machines(&self) -> impl Iterator<Item = &Arc<str>> {
        self.since.keys()
    }

    pub(crate) fn contains(&self, name: &str) -> bool {
        self.since.contains_key(name)
    }

    /// Returns whether a reservation of the machine has expired; its end is then no reason to expect
    /// that the next one succeeds.
    pub(crate) fn has_expired(&self, name: &str) -> bool {
        self.expired.contains_key(name)
    }

    /// Returns whether the machine may be reserved, or stay reserved.
    pub(crate) fn allows(&self, name: &str, now: Duration) -> bool {
        let expired = self.expired.get(name);
        expired.is_none_or(|at| now >= *at + RESERVATION_PAUSE)
    }

    /// Reserves a machine; an existing reservation keeps its time.
    pub(crate) fn insert(&mut self, name: Arc<str>, now: Duration) {
        self.since.entry(name).or_insert(now);
    }

    pub(crate) fn remove(&mut self, name: &str) {
        self.since.remove(name);
    }

    /// Keeps only the reservations that the closure returns true for.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&Arc<str>) -> bool) {
        self.since.retain(|name, _| keep(name));
    }

    /// Ends all reservations.
    pub(crate) fn clear(&mut self) {
        self.since.clear();
    }

    /// Ends the reservations that have lasted for [`MAX_RESERVATION`] since they began and since
    /// `advanced_at`, when a machine was last dealt with, and returns their machines.
    pub(crate) fn expire(&mut self, advanced_at: Duration, now: Duration) -> Vec<Arc<str>> {
        let over = |since: Duration| now >= since.max(advanced_at) + MAX_RESERVATION;
        let over = self.since.iter().filter(|(_, since)| over(**since));
        let names: Vec<Arc<str>> = over.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.since.remove(name);
            self.expired.insert(name.clone(), now);
        }
        names
    }
}
