//! Fencing of commands by epoch.

/// The highest epoch that a receiver has seen, to refuse commands of a lower one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Fence {
    highest: u64,
}

impl Fence {
    /// Returns whether a command of this epoch is accepted: no higher epoch was seen.
    pub fn admit(&mut self, epoch: u64) -> bool {
        if epoch < self.highest {
            return false;
        }
        self.highest = epoch;
        true
    }

    /// Returns the highest epoch seen.
    pub fn highest(&self) -> u64 {
        self.highest
    }
}
