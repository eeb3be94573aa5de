//! Sets of task indexes stored as ranges.

use std::ops::Range;

use serde::Deserialize;
use serde::Serialize;

/// A set of indexes, stored as ascending half-open ranges.
///
/// A job has up to 100,000 tasks, and neighbours mostly have the same state, so ranges keep the
/// stored value small.
///
/// ```
/// # use nutmegcart_fleet::IndexRanges;
/// let mut set = IndexRanges::default();
/// set.insert(1);
/// set.insert(2);
/// assert!(set.contains(2) && !set.contains(3));
/// assert_eq!(set.range_count(), 1);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IndexRanges(Vec<(u32, u32)>);

impl IndexRanges {
    /// Creates a set from indexes in any order.
    #[must_use]
    pub fn from_indexes(mut indexes: Vec<u32>) -> Self {
        indexes.sort_unstable();
        let mut ranges: Vec<(u32, u32)> = Vec::new();
        for index in indexes {
            match ranges.last_mut() {
                Some(last) if index < last.1 => {}
                Some(last) if index == last.1 => last.1 += 1,
                _ => ranges.push((index, index + 1)),
            }
        }
        Self(ranges)
    }

    /// Creates a set from ranges of indexes in ascending order, each with its end excluded.
    ///
    /// ```
    /// # use nutmegcart_fleet::IndexRanges;
    /// let ranges = IndexRanges::from_ranges([0..2, 2..5, 7..7, 9..10]);
    /// assert_eq!(ranges, IndexRanges::from_indexes(vec![0, 1, 2, 3, 4, 9]));
    /// ```
    #[must_use]
    pub fn from_ranges(ranges: impl IntoIterator<Item = Range<u32>>) -> Self {
        let mut merged: Vec<(u32, u32)> = Vec::new();
        for range in ranges.into_iter().filter(|range| !range.is_empty()) {
            match merged.last_mut() {
                Some(last) if range.start <= last.1 => last.1 = last.1.max(range.end),
                _ => merged.push((range.start, range.end)),
            }
        }
        Self(merged)
    }

    /// Returns whether the index is in the set.
    #[must_use]
    pub fn contains(&self, index: u32) -> bool {
        self.0[..self.after(index)]
            .last()
            .is_some_and(|range| index < range.1)
    }

    /// Adds an index and returns whether it is new.
    pub fn insert(&mut self, index: u32) -> bool {
        if self.contains(index) {
            return false;
        }
        let at = self.after(index);
        let joins_left = at > 0 && self.0[at - 1].1 == index;
        let joins_right = self.0.get(at).is_some_and(|range| range.0 == index + 1);
        match (joins_left, joins_right) {
            (true, true) => {
                self.0[at - 1].1 = self.0[at].1;
                self.0.remove(at);
            }
            (true, false) => self.0[at - 1].1 = index + 1,
            (false, true) => self.0[at].0 = index,
            (false, false) => self.0.insert(at, (index, index + 1)),
        }
        true
    }

    /// Adds every index of another set in one pass.
    pub fn merge(&mut self, other: &Self) {
        let mut all: Vec<(u32, u32)> = self.0.iter().chain(&other.0).copied().collect();
        all.sort_unstable();
        self.0.clear();
        for (from, to) in all {
            match self.0.last_mut() {
                Some(last) if from <= last.1 => last.1 = last.1.max(to),
                _ => self.0.push((from, to)),
            }
        }
    }

    /// Returns the first index at or after the given one that is not in the set.
    #[must_use]
    pub fn next_absent(&self, index: u32) -> u32 {
        match self.0[..self.after(index)].last() {
            Some(range) if index < range.1 => range.1,
            _ => index,
        }
    }

    /// Returns the number of indexes.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.0.iter().map(|range| range.1 - range.0).sum()
    }

    /// Returns whether the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of ranges.
    #[must_use]
    pub fn range_count(&self) -> usize {
        self.0.len()
    }

    /// Returns the position after the last range that starts at or before the index.
    fn after(&self, index: u32) -> usize {
        self.0.partition_point(|range| range.0 <= index)
    }
}
