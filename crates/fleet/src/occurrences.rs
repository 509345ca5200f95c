//! A set of occurrences of a recurring job, stored as ranges.

use serde::Deserialize;
use serde::Serialize;

/// A set of occurrences; its size depends on the gaps between them, not on their number.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Occurrences {
    /// The first occurrence of each range and the one after its last; sorted, with a gap
    /// between any two.
    ranges: Vec<(u32, u32)>,
}

impl Occurrences {
    /// Returns whether the ranges are as this type keeps them; another writer's may not be.
    pub fn is_valid(&self) -> bool {
        let ascending = self.ranges.iter().all(|(start, end)| start < end);
        ascending && self.ranges.windows(2).all(|pair| pair[0].1 < pair[1].0)
    }

    /// Returns whether the set has no occurrence.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns the number of ranges that the set is stored as.
    pub fn ranges(&self) -> usize {
        self.ranges.len()
    }

    /// Returns the number of occurrences in the set.
    pub fn len(&self) -> u64 {
        let sizes = self
            .ranges
            .iter()
            .map(|(start, end)| u64::from(end - start));
        sizes.sum()
    }

    /// Returns whether the set has an occurrence.
    pub fn contains(&self, occurrence: u32) -> bool {
        self.next_missing(occurrence) != occurrence
    }

    /// Returns the first occurrence from `from` on that is not in the set.
    pub fn next_missing(&self, from: u32) -> u32 {
        let after = self.ranges.partition_point(|(start, _)| *start <= from);
        match after.checked_sub(1).map(|i| self.ranges[i]) {
            Some((_, end)) if from < end => end,
            _ => from,
        }
    }

    /// Adds an occurrence below `u32::MAX`; a range cannot end after the largest number.
    pub fn insert(&mut self, occurrence: u32) {
        let Some(next) = occurrence.checked_add(1) else {
            return;
        };
        if self.contains(occurrence) {
            return;
        }
        let after = self
            .ranges
            .partition_point(|(start, _)| *start <= occurrence);
        let joins_next = self
            .ranges
            .get(after)
            .is_some_and(|(start, _)| *start == next);
        let before = after.checked_sub(1);
        let before = before.filter(|i| self.ranges[*i].1 == occurrence);
        match (before, joins_next) {
            (Some(i), true) => {
                self.ranges[i].1 = self.ranges[after].1;
                self.ranges.remove(after);
            }
            (Some(i), false) => self.ranges[i].1 = next,
            (None, true) => self.ranges[after].0 = occurrence,
            (None, false) => self.ranges.insert(after, (occurrence, next)),
        }
    }
}
